package emulator

import (
	"testing"
	"time"
)

// fleet returns a deployment of 80 gatherers and 60 searchers, with aims, deadlines and repeat windows a tenth of the
// stock ones. Its load is the given multiple of one that leaves the searchers idle for two thirds of the time. No
// gatherer sends any searcher more than one call in two seconds, so effects that are harmless in one gatherer can
// add up over all of them.
func fleet(load float64, faults ...Fault) Scenario {
	classes := StockClasses()
	for i, spec := range []struct {
		rate  float64
		parts int
		work  time.Duration
	}{{34, 12, 11 * time.Millisecond}, {175, 9, 8 * time.Millisecond}, {70, 1, 8 * time.Millisecond}} {
		c := &classes[i]
		c.Rate, c.Parts, c.Work = spec.rate*load, spec.parts, spec.work
		c.Aim, c.Deadline, c.RepeatWindow = c.Aim/10, c.Deadline/10, c.RepeatWindow/10
	}
	return Scenario{
		Name: "fleet", Duration: 14 * time.Second, Gatherers: 80, Searchers: 60, Cells: 20, SearcherSlots: 2, MaxQueue: 30,
		CallCost: 7 * time.Millisecond, DiscoveryLag: time.Second, MaxOpen: 180, Faults: faults, Classes: classes,
	}
}

// shares returns the shares of all queries that were answered in time and that were refused.
func shares(r *Result) (inTime, refused float64) {
	asked := 0
	for _, c := range r.Classes {
		asked += c.Asked
		inTime += float64(c.InTime)
		refused += float64(c.Refused)
	}
	return inTime / float64(asked), refused / float64(asked)
}

// Guards against all gatherers shedding queries that need no slow searcher: under load, two of a cell's three
// searchers are slow, and three searchers of other cells.
func TestFewSlowSearchersDoNotMakeAFleetShed(t *testing.T) {
	slow := func(first, count int) Fault {
		return Fault{Kind: Slow, At: 3 * time.Second, For: 9 * time.Second, First: first, Count: count, Factor: 10}
	}
	for seed := range uint64(3) {
		r := run(t, fleet(1.6, slow(0, 1), slow(20, 1), slow(5, 3)), seed)
		if in, refused := shares(r); in < 0.8 || refused > 0.12 {
			t.Errorf("seed %d: %.3f answered in time, %.3f refused", seed, in, refused)
		}
	}
}
