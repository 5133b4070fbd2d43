package emulator

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"eiderwinch/internal/gatherer"
)

func run(t testing.TB, s Scenario, seed uint64) *Result {
	t.Helper()
	r, err := Run(s, seed)
	if err != nil {
		t.Fatal(err)
	}
	if r.Breaches > 0 {
		t.Errorf("%s, seed %d: %d breaches: %v", s.Name, seed, r.Breaches, r.Faults)
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

func TestACalmMinuteIsServed(t *testing.T) {
	r := run(t, Scenario{Name: "calm", Duration: 20 * time.Second}, 1)
	for _, c := range r.Classes {
		if c.InTimeShare() < 0.99 || c.Asked == 0 {
			t.Errorf("%s: %+v", c.Name, *c)
		}
		t.Logf("%s: %d asked, %.4f in time, p50 %v, p99 %v", c.Name, c.Asked, c.InTimeShare(), c.P50, c.P99)
	}
	t.Logf("%d events, %d turns", r.Events, r.Turns)
}

func TestTheSameSeedGivesTheSameRun(t *testing.T) {
	s := Scenario{Name: "mixed", Duration: 10 * time.Second, Faults: []Fault{
		{Kind: Crash, At: 2 * time.Second, For: 2 * time.Second, Many: 2}, {Kind: Cut, At: 5 * time.Second, For: time.Second, Zone: 1},
		{Kind: Restart, At: 7 * time.Second, For: time.Second, Many: 2},
	}}
	a, b, c := run(t, s, 1), run(t, s, 1), run(t, s, 2)
	if a.Digest != b.Digest || a.Events != b.Events || a.Turns != b.Turns {
		t.Errorf("seed 1 gives %s with %d events, and %s with %d", a.Digest, a.Events, b.Digest, b.Events)
	}
	if a.Digest == c.Digest {
		t.Error("another seed gives the same run")
	}
}

// TestEachFaultDoesWhatItSays holds each fault to what must come of it.
func TestEachFaultDoesWhatItSays(t *testing.T) {
	at := 4 * time.Second
	base := Scenario{Duration: 14 * time.Second}
	calm := run(t, base, 3)
	for name, c := range map[string]struct {
		fault Fault
		holds func(r *Result) bool
	}{
		"crash":   {Fault{Kind: Crash, At: at, For: 5 * time.Second, Many: 4}, func(r *Result) bool { return r.Load[0][6] == 0 && r.Load[0][2] > 0 }},
		"pause":   {Fault{Kind: Pause, At: at, For: 3 * time.Second, Many: 3}, func(r *Result) bool { return r.class("search").P99 > calm.class("search").P99 }},
		"slow":    {Fault{Kind: Slow, At: at, For: 8 * time.Second, Many: 1, Factor: 20}, func(r *Result) bool { return r.Load[0][10] < calm.Load[0][10] }},
		"drain":   {Fault{Kind: Drain, At: at, For: 4 * time.Second, Many: 2}, func(r *Result) bool { return r.Load[0][6] == 0 }},
		"cut":     {Fault{Kind: Cut, At: at, For: 2 * time.Second, Zone: 1}, func(r *Result) bool { return r.class("search").P99 > calm.class("search").P99 }},
		"flood":   {Fault{Kind: Flood, At: at, For: 5 * time.Second, Class: "search", Factor: 3}, func(r *Result) bool { return r.class("search").Asked > calm.class("search").Asked*3/2 }},
		"restart": {Fault{Kind: Restart, At: at, For: time.Second, Many: 3}, func(r *Result) bool { return r.class("search").Failed > 0 }},
	} {
		s := base
		s.Name, s.Faults = name, []Fault{c.fault}
		if r := run(t, s, 3); !c.holds(r) {
			t.Errorf("%s: it shows nothing: %+v", name, *r.class("search"))
		}
	}
}

// The audit must see what it is there to see.
func TestBreachesAreSeen(t *testing.T) {
	s := Scenario{Name: "odd", Duration: 5 * time.Second}
	if _, err := Run(Scenario{Searchers: 2, Cells: 3}, 1); err == nil || !strings.Contains(err.Error(), "a searcher for each cell") {
		t.Errorf("too few searchers: %v", err)
	}
	if _, err := Run(Scenario{Faults: []Fault{{Kind: "odd"}, {Kind: Slow, Many: 1}}}, 1); err == nil || !strings.Contains(err.Error(), "factor 0") {
		t.Errorf("odd faults: %v", err)
	}
	w, err := newWorld(s, 1)
	if err != nil {
		t.Fatal(err)
	}
	breaches := func(what, want string) {
		t.Helper()
		if n := len(w.result.Faults); n != 1 || !strings.Contains(w.result.Faults[0], want) {
			t.Errorf("%s: %v", what, w.result.Faults)
		}
		w.result.Faults = nil
	}
	f := &flight{class: 2, key: "k"}
	w.searchers[0].run(f)
	w.now = w.now.Add(2 * time.Second)
	w.searchers[0].run(f) // within its window: it is known there
	w.now = w.now.Add(time.Second)
	w.searchers[0].run(f)
	breaches("a reservation after its window", "made twice, 3s apart")
	n := w.nodes[0]
	a, b := &gatherer.Attempt{Searcher: "s-0000", Trace: "1-1-1"}, &gatherer.Attempt{Searcher: "s-0000", Trace: "1-1-1"}
	n.Call(w.now, []*gatherer.Attempt{a})
	n.Call(w.now, []*gatherer.Attempt{b})
	breaches("two attempts of one part", "has two attempts out")
	n.leaving["s-0000"] = w.now.Add(-501 * time.Millisecond)
	n.links["s-0000"].send(n.flights[a])
	breaches("a part to one that drains", "after its drain was told")
	c := newClient(w, 1)
	c.Reply(gatherer.Reply{})
	c.Reply(gatherer.Reply{})
	breaches("two answers", "was answered twice")
}

// scaled is the usual deployment so many times over.
func scaled(times int, d time.Duration) Scenario {
	s := Scenario{Name: "scaled", Duration: d, Gatherers: 3 * times, Searchers: 12 * times, Classes: Usual()}
	for i := range s.Classes {
		s.Classes[i].Rate *= float64(times)
	}
	return s
}

func BenchmarkSize(b *testing.B) {
	for _, times := range []int{1, 10, 25, 100} {
		b.Run(fmt.Sprintf("%d gatherers", 3*times), func(b *testing.B) {
			s := scaled(times, 5*time.Second)
			for range b.N {
				r, err := Run(s, 1)
				if err != nil || r.Breaches > 0 {
					b.Fatal(err, r.Faults)
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
