package emulator

import (
	"strings"
	"testing"
	"time"
)

// archive returns the deployment of an archive: a ring, partial answers, tenants, keys, load reports in answers,
// second copies, and searchers that serve cancelled work.
func archive(faults ...Fault) Scenario {
	return Scenario{
		Name: "archive", Duration: 12 * time.Second, Searchers: 24, Cells: 24, SegmentsPerCell: 2, CellsPerSegment: 2, MaxPartsPerCall: 16, Classes: ArchiveClasses(48),
		SecondCopies: true, IgnoresCancel: true, ReportInterval: 500 * time.Millisecond, Tenants: 3, Keys: 1000, Faults: faults,
	}
}

// Guards against an archive whose queries miss their aim without any fault, and against runs that depend on more
// than the scenario and the seed.
func TestArchiveIsServedInTime(t *testing.T) {
	r := run(t, archive(), 1)
	for _, c := range r.Classes {
		if c.InTimeShare() < 0.99 || c.Asked == 0 {
			t.Errorf("%s: %+v", c.Name, *c)
		}
	}
	if s := run(t, archive(), 1); s.Digest != r.Digest {
		t.Error("the same seed gives a different run")
	}
}

// Guards against a fault that has no effect in an archive, which would make the experiments with it meaningless, and
// against invalid faults that are accepted.
func TestEachFaultAffectsAnArchive(t *testing.T) {
	at, duration := 4*time.Second, 5*time.Second
	calm := run(t, archive(), 3)
	hotParts := func(r *Result) (n int) { // sent to the holders of the hot key's first segments, during the fault
		for _, s := range r.Load[:4] {
			for _, parts := range s[5:9] {
				n += parts
			}
		}
		return n
	}
	asked := func(r *Result) int { return r.class("lookup").Asked }
	for name, c := range map[string]struct {
		fault     Fault
		hasEffect func(r *Result) bool
	}{
		"kill":  {Fault{Kind: Kill, At: at, For: 2 * time.Second, Count: 2}, func(r *Result) bool { return r.class("lookup").Failed > 0 }},
		"focus": {Fault{Kind: HotKey, At: at, For: duration, Factor: 0.24}, func(r *Result) bool { return hotParts(r) > hotParts(calm)*5/4 }},
		"swell": {Fault{Kind: TenantLoad, At: at, For: duration, First: 0, Factor: 4}, func(r *Result) bool { return asked(r) > asked(calm)*5/4 }},
		"pause": {Fault{Kind: Pause, At: at, For: 3 * time.Second, Count: 2}, func(r *Result) bool { return r.SecondCopies > calm.SecondCopies }},
		"lose":  {Fault{Kind: LostAnswers, At: at, For: duration, Factor: 0.02}, func(r *Result) bool { return r.Sent > calm.Sent }},
		"stale": {Fault{Kind: StaleReports, At: at, For: duration, Factor: 4}, func(r *Result) bool { return asked(r) == asked(calm) }},
	} {
		if r := run(t, archive(c.fault), 3); !c.hasEffect(r) {
			t.Errorf("fault %s has no effect: %+v", name, *r.class("lookup"))
		}
	}
	invalid := archive(Fault{Kind: TenantLoad, First: 3, Factor: 2}, Fault{Kind: HotKey, Factor: 2})
	invalid.CellsPerSegment = 25
	if _, err := Run(invalid, 1); err == nil || !strings.Contains(err.Error(), "tenant 3") || !strings.Contains(err.Error(), "share of 2") ||
		!strings.Contains(err.Error(), "25 of 24 cells") {
		t.Errorf("invalid scenario: have error %v", err)
	}
}

// Guards against a lost answer that keeps its searcher from getting further work until the query that waits for the
// answer ends. Reservations are not checked: they are not sent again while an attempt may still run, so a lost
// answer does fail them.
func TestLostAnswersCostLittle(t *testing.T) {
	lost := Fault{Kind: LostAnswers, At: 2 * time.Second, For: 8 * time.Second, Factor: 0.01}
	for name, s := range map[string]Scenario{
		"archive": archive(lost),
		"stock":   {Name: "stock", Duration: 12 * time.Second, Faults: []Fault{lost}},
	} {
		for _, c := range run(t, s, 1).Classes {
			if share := c.InTimeShare(); share < 0.97 && c.Name != "reserve" {
				t.Errorf("%s, class %s: %.3f answered in time, 99%% of the answers within %v", name, c.Name, share, c.P99)
			}
		}
	}
}
