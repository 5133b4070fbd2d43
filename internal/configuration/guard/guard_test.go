package guard

import (
	"math/rand/v2"
	"strings"
	"testing"
	"time"

	"eiderwinch/internal/service"
)

// world draws seconds of service.
type world struct {
	rng  *rand.Rand
	rate int
	now  int64
}

// bad is how a second differs from an ordinary one.
type bad struct {
	failed, refused, late, lost float64 // shares
	times                       float64 // factor on the time of answers
}

// second draws one second of 'search': a hundredth fails, in bunches, and times
// spread log-normally round 40 ms.
func (w *world) second(b bad) service.Window {
	w.now++
	sum := make(map[int64]int64)
	c := service.Class{Name: "search"}
	burst := 0.0
	if w.rng.Float64() < 0.1 {
		burst = 0.08
	}
	for range w.rate {
		c.Taken++
		switch x := w.rng.Float64(); {
		case x < b.lost:
		case x < b.lost+b.failed+burst+0.002:
			c.Failed++
		case x < b.lost+b.failed+burst+0.002+b.refused:
			c.Refused++
		default:
			c.Whole++
			ms := 40 * max(b.times, 1)
			for range 3 {
				ms *= 1 + 0.5*w.rng.Float64()
			}
			if w.rng.Float64() < b.late {
				ms = 2000
			}
			sum[int64(ms*1000)]++
		}
	}
	for us, n := range sum {
		c.Times = append(c.Times, service.Count{Micros: us, N: n})
	}
	return service.Window{Second: w.now, Classes: []service.Class{c}}
}

func watch(seed uint64, rate int) (*Guard, *world) {
	g := New([]Class{{"search", 1500 * time.Millisecond}}, Limits{})
	w := &world{rng: rand.New(rand.NewPCG(seed, 1)), rate: rate, now: 1000}
	for range 60 {
		g.Add(w.second(bad{}))
	}
	g.Begin(w.now + 1)
	g.Add(w.second(bad{}))
	return g, w
}

func TestARealFallIsSeenSoon(t *testing.T) {
	for name, c := range map[string]struct {
		bad  bad
		want string
		most int // seconds
	}{
		"a third fails":      {bad{failed: 0.33}, "failed", 3},
		"all are refused":    {bad{refused: 1}, "refused", 3},
		"half come late":     {bad{late: 0.5}, "not answered in time", 3},
		"twice as slow":      {bad{times: 2}, "slower than before", 3},
		"one in ten refused": {bad{refused: 0.15}, "refused", 6},
		"none is answered":   {bad{lost: 1}, "without an answer", 6},
	} {
		for seed := range uint64(20) {
			g, w := watch(seed, 120)
			found := false
			for s := 1; s <= c.most && !found; s++ {
				f, ok := g.Add(w.second(c.bad))
				if found = ok; ok && (f.Class != "search" || !strings.Contains(f.String(), c.want) && name != "half come late") {
					t.Errorf("%s, seed %d: %v", name, seed, f)
				}
			}
			if !found {
				t.Errorf("%s, seed %d: not seen within %d s", name, seed, c.most)
			}
		}
	}
}

// Of 400 probations of a minute without any fall none may end in an undo; the
// bound says at most one in 1,000.
func TestChanceAloneUndoesNothing(t *testing.T) {
	for seed := range uint64(400) {
		g, w := watch(seed, 10+int(seed%10)*20)
		for range 60 {
			if f, ok := g.Add(w.second(bad{})); ok {
				t.Errorf("seed %d: %v", seed, f)
				break
			}
		}
	}
}

func TestAFallThatIsTooSmallOrTooShortIsLeft(t *testing.T) {
	for seed := range uint64(20) {
		g, w := watch(seed, 500)
		for s := range 30 {
			b := bad{failed: 0.01, times: 1.2}
			if s == 10 {
				b = bad{} // and a bunch in one second
			}
			if f, ok := g.Add(w.second(b)); ok {
				t.Errorf("seed %d: %v", seed, f)
			}
		}
	}
}

func TestWithoutABeforeOnlyAGreatFallCounts(t *testing.T) {
	g := New([]Class{{"search", time.Second}, {"reserve", time.Second}}, Limits{})
	w := &world{rng: rand.New(rand.NewPCG(1, 1)), rate: 50}
	g.Begin(0)
	for range 20 {
		if f, ok := g.Add(w.second(bad{failed: 0.03})); ok {
			t.Errorf("have %v", f)
		}
	}
	g.End(false, w.now)
	g.Begin(w.now + 1)
	g.Add(w.second(bad{}))
	g.Add(w.second(bad{failed: 0.9}))
	if _, ok := g.Add(w.second(bad{failed: 0.9})); !ok {
		t.Error("nine of ten fail, and nothing is said")
	}
}

func TestWhatWasUndoneIsNotTheMeasureOfTheNext(t *testing.T) {
	g, w := watch(1, 100)
	for range 5 {
		g.Add(w.second(bad{failed: 0.5}))
	}
	g.End(false, w.now)
	for range lingers { // queries of the bad generation still end
		g.Add(w.second(bad{failed: 0.5}))
	}
	g.Begin(w.now + 1)
	g.Add(w.second(bad{}))
	g.Add(w.second(bad{failed: 0.5}))
	if _, ok := g.Add(w.second(bad{failed: 0.5})); !ok {
		t.Error("it takes the bad seconds for what is usual")
	}
}
