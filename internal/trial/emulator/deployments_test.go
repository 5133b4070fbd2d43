package emulator

import (
	"strings"
	"testing"
	"time"
)

// archive is a deployment of the second kind: a ring, answers in part, tenants, keys, queues in
// answers, second copies, and cancelled work that is served all the same.
func archive(faults ...Fault) Scenario {
	return Scenario{
		Name: "archive", Duration: 12 * time.Second, Searchers: 24, Cells: 24, PerCell: 2, Reach: 2, Batch: 16, Classes: Wide(48),
		Copies: true, Deaf: true, Reports: 500 * time.Millisecond, Tenants: 3, Keys: 1000, Faults: faults,
	}
}

func TestAnArchiveIsServed(t *testing.T) {
	r := run(t, archive(), 1)
	for _, c := range r.Classes {
		if c.InTimeShare() < 0.99 || c.Asked == 0 {
			t.Errorf("%s: %+v", c.Name, *c)
		}
	}
	if s := run(t, archive(), 1); s.Digest != r.Digest {
		t.Error("the same seed gives another run")
	}
}

func TestFaultsOfAnArchiveDoWhatTheySay(t *testing.T) {
	at, long := 4*time.Second, 5*time.Second
	calm := run(t, archive(), 3)
	heat := func(r *Result) (n int) { // of the holders of the hot key's first segments, while it is hot
		for _, s := range r.Load[:4] {
			for _, parts := range s[5:9] {
				n += parts
			}
		}
		return n
	}
	asked := func(r *Result) int { return r.class("lookup").Asked }
	for name, c := range map[string]struct {
		fault Fault
		holds func(r *Result) bool
	}{
		"kill":  {Fault{Kind: Kill, At: at, For: 2 * time.Second, Many: 2}, func(r *Result) bool { return r.class("lookup").Failed > 0 }},
		"focus": {Fault{Kind: Focus, At: at, For: long, Factor: 0.24}, func(r *Result) bool { return heat(r) > heat(calm)*5/4 }},
		"swell": {Fault{Kind: Swell, At: at, For: long, First: 0, Factor: 4}, func(r *Result) bool { return asked(r) > asked(calm)*5/4 }},
		"pause": {Fault{Kind: Pause, At: at, For: 3 * time.Second, Many: 2}, func(r *Result) bool { return r.Copies > calm.Copies }},
		"lose":  {Fault{Kind: Lose, At: at, For: long, Factor: 0.02}, func(r *Result) bool { return r.Sent > calm.Sent }},
		"stale": {Fault{Kind: Stale, At: at, For: long, Factor: 4}, func(r *Result) bool { return asked(r) == asked(calm) }},
	} {
		if r := run(t, archive(c.fault), 3); !c.holds(r) {
			t.Errorf("%s: it shows nothing: %+v", name, *r.class("lookup"))
		}
	}
	odd := archive(Fault{Kind: Swell, First: 3, Factor: 2}, Fault{Kind: Focus, Factor: 2})
	odd.Reach = 25
	if _, err := Run(odd, 1); err == nil || !strings.Contains(err.Error(), "tenant 3") || !strings.Contains(err.Error(), "share of 2") ||
		!strings.Contains(err.Error(), "25 of 24 cells") {
		t.Errorf("have %v", err)
	}
}

// A searcher whose answer is lost must not be kept from work until the query that waits for it ends.
// Reservations are not sent again while one may run, so their own loss stays.
func TestLostAnswersCostLittle(t *testing.T) {
	lose := Fault{Kind: Lose, At: 2 * time.Second, For: 8 * time.Second, Factor: 0.01}
	for name, s := range map[string]Scenario{
		"archive": archive(lose),
		"stock":   {Name: "stock", Duration: 12 * time.Second, Faults: []Fault{lose}},
	} {
		for _, c := range run(t, s, 1).Classes {
			if share := c.InTimeShare(); share < 0.97 && c.Name != "reserve" {
				t.Errorf("%s, %s: %.3f in time, 99%% within %v", name, c.Name, share, c.P99)
			}
		}
	}
}
