package emulator

import (
	"testing"
	"time"
)

// fleet is 80 gatherers before 60 searchers, with work, aims and deadlines a tenth of the
// usual ones, at so many times a load that leaves two thirds idle. No gatherer sends any
// searcher more than a call in two seconds, and what is harmless in one adds up.
func fleet(load float64, faults ...Fault) Scenario {
	classes := Usual()
	for i, k := range []struct {
		rate  float64
		parts int
		work  time.Duration
	}{{34, 12, 11 * time.Millisecond}, {175, 9, 8 * time.Millisecond}, {70, 1, 8 * time.Millisecond}} {
		c := &classes[i]
		c.Rate, c.Parts, c.Work = k.rate*load, k.parts, k.work
		c.Aim, c.Deadline, c.RepeatWindow = c.Aim/10, c.Deadline/10, c.RepeatWindow/10
	}
	return Scenario{
		Name: "fleet", Duration: 14 * time.Second, Gatherers: 80, Searchers: 60, Cells: 20, Slots: 2, Queue: 30,
		CallCost: 7 * time.Millisecond, Lag: time.Second, MaxOpen: 180, Faults: faults, Classes: classes,
	}
}

// shares sums over all classes and gatherers what was answered in time and what refused.
func shares(r *Result) (inTime, refused float64) {
	asked := 0
	for _, c := range r.Classes {
		asked += c.Asked
		inTime += float64(c.InTime)
		refused += float64(c.Refused)
	}
	return inTime / float64(asked), refused / float64(asked)
}

// Two of a cell's three searchers are slow, and three of other cells, under load: that must
// not have all gatherers shed the queries that need none of them.
func TestAFleetDoesNotShedForAFewSlowSearchers(t *testing.T) {
	slow := func(first, many int) Fault {
		return Fault{Kind: Slow, At: 3 * time.Second, For: 9 * time.Second, First: first, Many: many, Factor: 10}
	}
	for seed := range uint64(3) {
		r := run(t, fleet(1.6, slow(0, 1), slow(20, 1), slow(5, 3)), seed)
		if in, refused := shares(r); in < 0.8 || refused > 0.12 {
			t.Errorf("seed %d: %.3f in time, %.3f refused", seed, in, refused)
		}
	}
}
