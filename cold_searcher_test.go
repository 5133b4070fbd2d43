package eiderwinch

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"
)

// coldFleet is a fleet of gatherers and three searchers that hold the same shard, of which one has just
// started. It runs in virtual time from a seed. Searchers serve calls one after the other at their capacity,
// which rises linearly while they are cold.
type coldFleet struct {
	Settings
	gatherers      int
	unevenTraffic  bool          // the n-th gatherer gets 1/n of the first one's traffic
	maxNotifyDelay time.Duration // each gatherer is notified of the start within this delay
	queryRate      float64       // queries per second of all gatherers together
	partWork       time.Duration // of one part
	seed           uint64
	restartAfter   time.Duration // when after the start seven in ten gatherers are killed and restarted; 0: never
}

const coldCapacity = 2 * 0.7 // of a warm searcher: two slow cores

// worstLoad returns the largest load that the cold searcher gets within any Settings.ColdOverloadWindow from the
// gatherers that have been notified. It is relative to what the settings allow plus what is attributed to
// chance: N calls and 2 x root of N + 2.
func (f coldFleet) worstLoad() (worst float64) {
	type attemptInFlight struct {
		gatherer int
		part     uint64
		searcher string
		sentAt   time.Duration
		endsAt   time.Duration
	}
	type call struct {
		at   time.Duration
		work float64
	}
	rng := rand.New(rand.NewPCG(f.seed, 0))
	startedAt := 100 * time.Second
	list := func(started time.Duration) ListChange {
		return ListChange{Kind: Whole, Replicas: []Replica{
			{ID: "cold", State: Ready, Started: started}, {ID: "w1", State: Ready}, {ID: "w2", State: Ready},
		}}
	}
	gatherers := make([]struct {
		*Aggregator
		events                        []Event
		notifyAt, nextQueryAt, wakeAt time.Duration
		queryGap                      float64
	}, f.gatherers)
	for i := range gatherers {
		g := &gatherers[i]
		s := f.Settings
		s.Gatherers, s.GathererNumber = f.gatherers, i
		g.Aggregator, g.queryGap = New(s), float64(f.gatherers)/f.queryRate
		if f.unevenTraffic {
			g.queryGap = float64(i+1) * math.Log(float64(f.gatherers)+1) / f.queryRate
		}
		g.notifyAt = startedAt + time.Duration(rng.Float64()*float64(f.maxNotifyDelay))
		g.nextQueryAt = startedAt + time.Duration(rng.ExpFloat64()*g.queryGap*1e9)
		g.events = []Event{list(0)}
	}
	share := func(at time.Duration) float64 {
		return min(f.ColdShare+(1-f.ColdShare)*float64(at-startedAt)/float64(f.ColdDuration), 1)
	}
	freeAt, id := make(map[string]time.Duration), uint64(0)
	var inFlight []attemptInFlight
	var received []call
	for now := startedAt; now < startedAt+f.ColdDuration; now += f.Tick {
		kept := inFlight[:0]
		for _, x := range inFlight {
			if x.endsAt > now {
				kept = append(kept, x)
				continue
			}
			gatherers[x.gatherer].events = append(gatherers[x.gatherer].events,
				Outcome{Part: x.part, Replica: x.searcher, Took: now - x.sentAt})
		}
		inFlight = kept
		if f.restartAfter > 0 && now == startedAt+f.restartAfter {
			killed := func(i int) bool { return i%10 < 7 }
			inFlight = slices.DeleteFunc(inFlight, func(x attemptInFlight) bool { return killed(x.gatherer) })
			for i := range gatherers {
				if g := &gatherers[i]; killed(i) {
					g.Aggregator = New(g.settings)
					g.events, g.notifyAt, g.wakeAt = []Event{list(startedAt)}, 0, 0
				}
			}
		}
		for i := range gatherers {
			g := &gatherers[i]
			if g.notifyAt > 0 && g.notifyAt <= now {
				g.events, g.notifyAt = append(g.events, list(startedAt)), 0
			}
			for ; g.nextQueryAt <= now; g.nextQueryAt += time.Duration(rng.ExpFloat64() * g.queryGap * 1e9) {
				id += 2
				g.events = append(g.events,
					Query{ID: id, Left: f.Classes[0].Deadline, Parts: []Part{{ID: id + 1, Weight: 1}}})
			}
			if len(g.events) == 0 && now < g.wakeAt {
				continue
			}
			events := g.events
			g.events = nil
			sent := make(map[string][]uint64)
			for _, x := range g.Turn(now, events) {
				switch x := x.(type) {
				case Send:
					sent[x.Replica] = append(sent[x.Replica], x.Part)
				case Wake:
					g.wakeAt = now + x.After
				}
			}
			for _, searcher := range []string{"cold", "w1", "w2"} {
				if len(sent[searcher]) == 0 {
					continue
				}
				work, capacity := float64(f.CallCost)+float64(len(sent[searcher]))*float64(f.partWork), coldCapacity
				beginAt := max(freeAt[searcher], now)
				if searcher == "cold" {
					capacity *= share(beginAt)
					if g.notifyAt == 0 {
						received = append(received, call{now, work})
					}
				}
				freeAt[searcher] = beginAt + time.Duration(work/capacity)
				for _, part := range sent[searcher] {
					inFlight = append(inFlight, attemptInFlight{i, part, searcher, now, freeAt[searcher]})
				}
			}
		}
		for len(received) > 0 && received[0].at <= now-f.ColdOverloadWindow {
			received = received[1:]
		}
		sum := 0.0
		for _, c := range received {
			sum += c.work
		}
		mean := float64(f.CallCost + f.partWork)
		n := f.ColdMultiple * coldCapacity * share(now) * float64(f.ColdOverloadWindow) / mean
		worst = max(worst, sum/mean/(n+2*math.Sqrt(n)+2))
	}
	return worst
}

// A cold searcher could be overloaded by the sum of what all gatherers send. The load from those that have been
// notified of its start must stay within what is attributed to chance, whatever their number, however uneven
// their traffic, and even if most of them lose the record of what they have sent in a restart. The rate of queries
// is a third more than all searchers can serve.
func TestColdSearcherIsNotOverloadedByAllGatherers(t *testing.T) {
	base := Settings{
		Tick: 5 * ms, Shards: 1, Cells: 1, ReplicasPerShard: 1, MaxBatch: 4, CallCost: 68 * ms, MaxAttempts: 4, MayCancel: true,
		Classes: []Class{{
			Name: "c", Aim: 1500 * ms, Deadline: 4000 * ms, Worth: 1, LateWorth: 0.1, WholeShare: 1, MinShare: 1, PartialWorth: 1,
		}},
		ColdShare: 0.18, ColdDuration: 18_000 * ms, ColdMultiple: 2.5, ColdOverloadWindow: 3000 * ms,
	}
	short, expensive := base, base
	short.CallCost, short.ColdShare, short.ColdOverloadWindow = 57*ms, 0.17, 1500*ms
	expensive.CallCost, expensive.ColdMultiple, expensive.ColdOverloadWindow = 95*ms, 2.2, 2000*ms
	for name, c := range map[string]struct {
		s    Settings
		work time.Duration
	}{
		"typical": {base, 80 * ms}, "a short window": {short, 140 * ms},
		"expensive calls, cheap parts": {expensive, 25 * ms},
	} {
		// Queries per second that three warm searchers can serve.
		capacity := 3 * coldCapacity / (c.s.CallCost + c.work).Seconds()
		for _, gatherers := range []int{1, 3, 30, 300} {
			for _, unevenTraffic := range []bool{false, true} {
				for _, faults := range []struct{ maxNotifyDelay, restartAfter time.Duration }{
					{}, {maxNotifyDelay: 2000 * ms}, {restartAfter: 1000 * ms}, {restartAfter: 4000 * ms},
				} {
					f := coldFleet{
						c.s, gatherers, unevenTraffic, faults.maxNotifyDelay, capacity * 4 / 3, c.work, 1, faults.restartAfter,
					}
					what := fmt.Sprintf("%s, %d gatherers, uneven %v, notified up to %v late, most restarted after %v",
						name, gatherers, unevenTraffic, faults.maxNotifyDelay, faults.restartAfter)
					if worst := f.worstLoad(); worst > 1 {
						t.Errorf("%s: %.2f of what is attributed to chance, want at most 1", what, worst)
					} else {
						t.Logf("%s: %.2f", what, worst)
					}
				}
			}
		}
	}
}
