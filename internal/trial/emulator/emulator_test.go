package emulator

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"eiderwinch"
	"eiderwinch/internal/gatherer"
)

func run(t testing.TB, s Scenario, seed uint64) *Result {
	t.Helper()
	r, err := Run(s, seed)
	if err != nil {
		t.Fatal(err)
	}
	if r.Breaches > 0 {
		t.Errorf("%s, seed %d: %d breaches: %v", s.Name, seed, r.Breaches, r.BreachMessages)
	}
	return r
}

func (r *Result) class(name string) *ClassResult {
	for _, c := range r.Classes {
		if c.Name == name {
			return c
		}
	}
	return nil
}

// Guards against queries that miss their aim without any fault.
func TestStockServiceIsServedInTime(t *testing.T) {
	r := run(t, Scenario{Name: "calm", Duration: 20 * time.Second}, 1)
	for _, c := range r.Classes {
		if c.InTimeShare() < 0.99 || c.Asked == 0 {
			t.Errorf("%s: %+v", c.Name, *c)
		}
		t.Logf("%s: %d asked, %.4f in time, p50 %v, p99 %v", c.Name, c.Asked, c.InTimeShare(), c.P50, c.P99)
	}
	t.Logf("%d events, %d turns", r.Events, r.Turns)
}

// Guards against runs that depend on more than the scenario and the seed, such as the order of a map.
func TestSameSeedGivesSameRun(t *testing.T) {
	s := Scenario{Name: "mixed", Duration: 10 * time.Second, Faults: []Fault{
		{Kind: Crash, At: 2 * time.Second, For: 2 * time.Second, Count: 2}, {Kind: Partition, At: 5 * time.Second, For: time.Second, Zone: 1},
		{Kind: Restart, At: 7 * time.Second, For: time.Second, Count: 2},
	}}
	a, b, c := run(t, s, 1), run(t, s, 1), run(t, s, 2)
	if a.Digest != b.Digest || a.Events != b.Events || a.Turns != b.Turns {
		t.Errorf("seed 1 gives %s with %d events, and %s with %d", a.Digest, a.Events, b.Digest, b.Events)
	}
	if a.Digest == c.Digest {
		t.Error("a different seed gives the same run")
	}
}

// Guards against a fault that has no effect, which would make the experiments with it meaningless.
func TestEachFaultAffectsAStockService(t *testing.T) {
	at := 4 * time.Second
	base := Scenario{Duration: 14 * time.Second}
	calm := run(t, base, 3)
	for name, c := range map[string]struct {
		fault     Fault
		hasEffect func(r *Result) bool
	}{
		"crash":   {Fault{Kind: Crash, At: at, For: 5 * time.Second, Count: 4}, func(r *Result) bool { return r.Load[0][6] == 0 && r.Load[0][2] > 0 }},
		"pause":   {Fault{Kind: Pause, At: at, For: 3 * time.Second, Count: 3}, func(r *Result) bool { return r.class("search").P99 > calm.class("search").P99 }},
		"slow":    {Fault{Kind: Slow, At: at, For: 8 * time.Second, Count: 1, Factor: 20}, func(r *Result) bool { return r.Load[0][10] < calm.Load[0][10] }},
		"drain":   {Fault{Kind: Drain, At: at, For: 4 * time.Second, Count: 2}, func(r *Result) bool { return r.Load[0][6] == 0 }},
		"cut":     {Fault{Kind: Partition, At: at, For: 2 * time.Second, Zone: 1}, func(r *Result) bool { return r.class("search").P99 > calm.class("search").P99 }},
		"flood":   {Fault{Kind: ClassLoad, At: at, For: 5 * time.Second, Class: "search", Factor: 3}, func(r *Result) bool { return r.class("search").Asked > calm.class("search").Asked*3/2 }},
		"restart": {Fault{Kind: Restart, At: at, For: time.Second, Count: 3}, func(r *Result) bool { return r.class("search").Failed > 0 }},
	} {
		s := base
		s.Name, s.Faults = name, []Fault{c.fault}
		if r := run(t, s, 3); !c.hasEffect(r) {
			t.Errorf("fault %s has no effect: %+v", name, *r.class("search"))
		}
	}
}

// Guards against a run that breaks a rule and counts no breach, and against invalid scenarios that are accepted.
func TestBreachesAreDetected(t *testing.T) {
	s := Scenario{Name: "odd", Duration: 5 * time.Second}
	if _, err := Run(Scenario{Searchers: 2, Cells: 3}, 1); err == nil || !strings.Contains(err.Error(), "a searcher for each cell") {
		t.Errorf("too few searchers: %v", err)
	}
	if _, err := Run(Scenario{Faults: []Fault{{Kind: "odd"}, {Kind: Slow, Count: 1}}}, 1); err == nil || !strings.Contains(err.Error(), "factor 0") {
		t.Errorf("invalid faults: %v", err)
	}
	sim, err := newSimulation(s, 1)
	if err != nil {
		t.Fatal(err)
	}
	checkBreach := func(what, want string) {
		t.Helper()
		if n := len(sim.result.BreachMessages); n != 1 || !strings.Contains(sim.result.BreachMessages[0], want) {
			t.Errorf("%s: %v", what, sim.result.BreachMessages)
		}
		sim.result.BreachMessages = nil
	}
	p := &pendingAttempt{class: 2, idempotencyKey: "k"}
	sim.searchers[0].recordEffect(p)
	sim.now = sim.now.Add(2 * time.Second)
	sim.searchers[0].recordEffect(p) // within its repeat window: the searchers still know the key
	sim.now = sim.now.Add(time.Second)
	sim.searchers[0].recordEffect(p)
	checkBreach("a reservation after its window", "made twice, 3s apart")
	n := sim.nodes[0]
	a, b := &gatherer.Attempt{Searcher: "s-0000", Trace: "1-1-1"}, &gatherer.Attempt{Searcher: "s-0000", Trace: "1-1-1"}
	n.Call(sim.now, []*gatherer.Attempt{a})
	n.Call(sim.now, []*gatherer.Attempt{b})
	checkBreach("two attempts of one part", "has two attempts in flight")
	n.drainingSince["s-0000"] = sim.now.Add(-501 * time.Millisecond)
	n.conns["s-0000"].send(n.pending[a])
	checkBreach("a part for a searcher that is draining", "after notice of its drain")
	delete(n.drainingSince, "s-0000")
	n.recordAnswer(n.pending[a], eiderwinch.OK)
	n.conns["s-0000"].send(n.pending[a])
	checkBreach("a part that was answered", "after its answer")
	c := newClient(sim, 1)
	c.Reply(gatherer.Reply{})
	c.Reply(gatherer.Reply{})
	checkBreach("two answers", "was answered twice")
}

// scaled returns the stock deployment, enlarged by a factor.
func scaled(factor int, d time.Duration) Scenario {
	s := Scenario{Name: "scaled", Duration: d, Gatherers: 3 * factor, Searchers: 12 * factor, Classes: StockClasses()}
	for i := range s.Classes {
		s.Classes[i].Rate *= float64(factor)
	}
	return s
}

func BenchmarkSize(b *testing.B) {
	for _, factor := range []int{1, 10, 25, 100} {
		b.Run(fmt.Sprintf("%d gatherers", 3*factor), func(b *testing.B) {
			s := scaled(factor, 5*time.Second)
			for range b.N {
				r, err := Run(s, 1)
				if err != nil || r.Breaches > 0 {
					b.Fatal(err, r.BreachMessages)
				}
				b.ReportMetric(float64(r.Turns), "turns")
				b.ReportMetric(float64(r.Events), "events")
			}
			b.ReportMetric(5*float64(b.N)/b.Elapsed().Seconds(), "times_real_time")
		})
	}
}

func BenchmarkSmall(b *testing.B) {
	for range b.N {
		if _, err := Run(Scenario{Name: "small"}, 1); err != nil {
			b.Fatal(err)
		}
	}
}
