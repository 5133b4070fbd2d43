package guard

import (
	"math/rand/v2"
	"strings"
	"testing"
	"time"

	"eiderwinch/internal/querystats"
)

// generator generates random seconds of service.
type generator struct {
	rng  *rand.Rand
	rate int
	now  int64
}

// fault describes how a second differs from an ordinary one.
type fault struct {
	failed, refused, late, lost float64 // shares of the queries; lost ones are never answered
	slowdown                    float64 // factor on the latency of answers
}

// second generates one second of the class 'search': one in a hundred queries fails,
// in bursts, and latencies are distributed log-normally from 40 ms.
func (g *generator) second(f fault) querystats.Window {
	g.now++
	countByMicros := make(map[int64]int64)
	c := querystats.ClassCounts{Name: "search"}
	burst := 0.0
	if g.rng.Float64() < 0.1 {
		burst = 0.08
	}
	for range g.rate {
		c.Taken++
		switch x := g.rng.Float64(); {
		case x < f.lost:
		case x < f.lost+f.failed+burst+0.002:
			c.Failed++
		case x < f.lost+f.failed+burst+0.002+f.refused:
			c.Refused++
		default:
			c.Whole++
			ms := 40 * max(f.slowdown, 1)
			for range 3 {
				ms *= 1 + 0.5*g.rng.Float64()
			}
			if g.rng.Float64() < f.late {
				ms = 2000
			}
			countByMicros[int64(ms*1000)]++
		}
	}
	for us, n := range countByMicros {
		c.Times = append(c.Times, querystats.Bucket{Micros: us, N: n})
	}
	return querystats.Window{Second: g.now, Classes: []querystats.ClassCounts{c}}
}

func startWatching(seed uint64, rate int) (*Guard, *generator) {
	g := New([]Class{{"search", 1500 * time.Millisecond}}, Limits{})
	gen := &generator{rng: rand.New(rand.NewPCG(seed, 1)), rate: rate, now: 1000}
	for range 60 {
		g.Add(gen.second(fault{}))
	}
	g.Begin(gen.now + 1)
	g.Add(gen.second(fault{}))
	return g, gen
}

func TestRegressionsAreDetectedWithinSeconds(t *testing.T) {
	for name, c := range map[string]struct {
		fault      fault
		want       string
		maxSeconds int
	}{
		"a third fails":      {fault{failed: 0.33}, "failed", 3},
		"all are refused":    {fault{refused: 1}, "refused", 3},
		"half come late":     {fault{late: 0.5}, "not answered in time", 3},
		"twice as slow":      {fault{slowdown: 2}, "slower than before", 3},
		"15 percent refused": {fault{refused: 0.15}, "refused", 6},
		"none is answered":   {fault{lost: 1}, "without an answer", 6},
	} {
		for seed := range uint64(20) {
			g, gen := startWatching(seed, 120)
			found := false
			for s := 1; s <= c.maxSeconds && !found; s++ {
				r, ok := g.Add(gen.second(c.fault))
				if found = ok; ok && (r.Class != "search" || !strings.Contains(r.String(), c.want) && name != "half come late") {
					t.Errorf("%s, seed %d: %v", name, seed, r)
				}
			}
			if !found {
				t.Errorf("%s, seed %d: not detected within %d s", name, seed, c.maxSeconds)
			}
		}
	}
}

// Guards against undoing changes by chance: in 400 probations of a minute without a
// regression, none may be reported. Limits.Chance allows one in 1,000.
func TestChanceAloneIsNoRegression(t *testing.T) {
	for seed := range uint64(400) {
		g, gen := startWatching(seed, 10+int(seed%10)*20)
		for range 60 {
			if r, ok := g.Add(gen.second(fault{})); ok {
				t.Errorf("seed %d: %v", seed, r)
				break
			}
		}
	}
}

func TestTooSmallOrTooShortRegressionsAreIgnored(t *testing.T) {
	for seed := range uint64(20) {
		g, gen := startWatching(seed, 500)
		for s := range 30 {
			f := fault{failed: 0.01, slowdown: 1.2}
			if s == 10 {
				f = fault{} // and an ordinary second in between
			}
			if r, ok := g.Add(gen.second(f)); ok {
				t.Errorf("seed %d: %v", seed, r)
			}
		}
	}
}

// Guards against undoing the first change after a start: without a baseline, 5 percent of
// the queries are assumed to be bad, so only a large regression counts.
func TestWithoutABaselineOnlyLargeRegressionsCount(t *testing.T) {
	g := New([]Class{{"search", time.Second}, {"reserve", time.Second}}, Limits{})
	gen := &generator{rng: rand.New(rand.NewPCG(1, 1)), rate: 50}
	g.Begin(0)
	for range 20 {
		if r, ok := g.Add(gen.second(fault{failed: 0.03})); ok {
			t.Errorf("have %v", r)
		}
	}
	g.End(false, gen.now)
	g.Begin(gen.now + 1)
	g.Add(gen.second(fault{}))
	g.Add(gen.second(fault{failed: 0.9}))
	if _, ok := g.Add(gen.second(fault{failed: 0.9})); !ok {
		t.Error("nine of ten queries fail, but no regression is reported")
	}
}

// Guards against late detection after an undo: queries of the undone generation still end
// for a few seconds, and counting them into the baseline would hide the next regression.
func TestUndoneSecondsDoNotJoinTheBaseline(t *testing.T) {
	g, gen := startWatching(1, 100)
	for range 5 {
		g.Add(gen.second(fault{failed: 0.5}))
	}
	g.End(false, gen.now)
	for range undoSettleSeconds { // queries of the undone generation still end
		g.Add(gen.second(fault{failed: 0.5}))
	}
	g.Begin(gen.now + 1)
	g.Add(gen.second(fault{}))
	g.Add(gen.second(fault{failed: 0.5}))
	if _, ok := g.Add(gen.second(fault{failed: 0.5})); !ok {
		t.Error("the bad seconds were counted into the baseline")
	}
}
