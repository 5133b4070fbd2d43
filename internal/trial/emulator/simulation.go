package emulator

import (
	"encoding/binary"
	"fmt"
	"io"
	"log/slog"
	"math"
	"math/rand/v2"
	"time"

	"github.com/zeebo/blake3"

	"eiderwinch"
	"eiderwinch/internal/due"
)

// epoch is when every run begins. Searchers that are there at first came up long ago.
var epoch = time.Unix(1_700_000_000, 0).UTC()

// event is something that happens at a time of a run.
type event = due.Timer[func()]

// world is one run.
type world struct {
	Scenario
	rng       *rand.Rand
	now       time.Time
	events    due.Queue[func()]
	nodes     []*node
	searchers []*searcher
	byID      map[string]*searcher
	cut       []bool // zones that are cut off
	flood     []float64
	swell     []float64     // by tenant
	focus     float64       // share of the queries that are about one key
	stale     time.Duration // load reports are so old
	lose      float64       // share of answers that is lost
	asked     uint64
	made      map[string]time.Time // reservations by key: when they were made first
	result    *Result
	digest    *blake3.Hasher
	log       *slog.Logger
}

// Run plays a scenario from a seed.
func Run(s Scenario, seed uint64) (*Result, error) {
	w, err := newWorld(s, seed)
	if err != nil {
		return nil, err
	}
	w.play()
	return w.result, nil
}

// newWorld sets a scenario up.
func newWorld(s Scenario, seed uint64) (*world, error) {
	s, err := s.complete()
	if err != nil {
		return nil, fmt.Errorf("scenario %q: %w", s.Name, err)
	}
	w := &world{
		Scenario: s, rng: rand.New(rand.NewPCG(seed, 0x65696465)), now: epoch, byID: make(map[string]*searcher),
		cut: make([]bool, s.Zones), made: make(map[string]time.Time), result: newResult(s, seed), digest: blake3.New(),
		log: slog.New(slog.NewTextHandler(io.Discard, &slog.HandlerOptions{Level: slog.LevelError + 1})),
	}
	for range s.Classes {
		w.flood = append(w.flood, 1)
	}
	for range s.Tenants {
		w.swell = append(w.swell, 1)
	}
	for i := range s.Searchers {
		w.add(i)
		if s.Reports > 0 {
			w.searchers[i].report()
		}
	}
	for i := range s.Gatherers {
		n := &node{w: w, number: i, zone: i % s.Zones}
		w.nodes = append(w.nodes, n)
		n.start()
	}
	for i, c := range s.Classes {
		if c.Rate > 0 {
			w.arrive(i)
		}
	}
	for _, f := range s.Faults {
		w.after(f.At, func() { w.strike(f) })
	}
	return w, nil
}

// play lets all happen until the last query is over.
func (w *world) play() {
	longest := time.Duration(0)
	for _, c := range w.Classes {
		longest = max(longest, c.Deadline)
	}
	end := epoch.Add(w.Duration + longest + time.Second)
	for {
		next := w.events.Next()
		if next.IsZero() || next.After(end) {
			break
		}
		e := w.events.Pop(next)
		w.now = next
		w.result.Events++
		e.Value()
	}
	w.result.finish(w)
}

// after lets f happen after d.
func (w *world) after(d time.Duration, f func()) *event {
	e := &event{Value: f}
	w.events.Set(e, w.now.Add(d))
	return e
}

// elapsed is the time of the run.
func (w *world) elapsed() time.Duration { return w.now.Sub(epoch) }

// way is how long something takes from one zone to another.
func (w *world) way(a, b int) time.Duration {
	if a == b {
		return w.Near
	}
	return w.Far
}

// severed tells that nothing comes through between two zones.
func (w *world) severed(a, b int) bool { return a != b && (w.cut[a] || w.cut[b]) }

// exp draws an exponentially distributed time.
func (w *world) exp(mean time.Duration) time.Duration {
	return time.Duration(w.rng.ExpFloat64() * float64(mean))
}

// arrive lets the next query of a class come: a Poisson process.
func (w *world) arrive(class int) {
	rate := w.Classes[class].Rate * w.flood[class] * w.swollen()
	w.after(w.exp(time.Duration(float64(time.Second)/rate)), func() {
		if w.elapsed() >= w.Duration {
			return
		}
		w.asked++
		newClient(w, class).ask()
		w.arrive(class)
	})
}

// drawTenant draws whose a query is; -1 where there are none.
func (w *world) drawTenant() int {
	if w.Tenants == 0 {
		return -1
	}
	sum := 0.0
	for i, f := range w.swell {
		sum += f * w.shareOf(i)
	}
	at := w.rng.Float64() * sum
	for i, f := range w.swell {
		if at -= f * w.shareOf(i); at < 0 {
			return i
		}
	}
	return w.Tenants - 1
}

// swollen is the traffic of all tenants together, in usual ones.
func (w *world) swollen() float64 {
	if w.Tenants == 0 {
		return 1
	}
	sum := 0.0
	for i, f := range w.swell {
		sum += f * w.shareOf(i)
	}
	return sum
}

// strike lets a fault happen.
func (w *world) strike(f Fault) {
	each := func(list func(*searcher)) {
		for _, s := range w.searchers[f.First : f.First+f.Many] {
			list(s)
		}
	}
	step := f.For / time.Duration(max(f.Many, 1))
	switch f.Kind {
	case Crash:
		each(func(s *searcher) { s.crash(f.For) })
	case Pause:
		each(func(s *searcher) { s.pausedUntil = w.now.Add(f.For) })
	case Slow:
		each(func(s *searcher) { s.slow = f.Factor })
		w.after(f.For, func() { each(func(s *searcher) { s.slow = 1 }) })
	case Drain:
		for i := range f.Many {
			s := w.searchers[f.First+i]
			w.after(step*time.Duration(i), func() { s.drain(step) })
		}
	case Cut:
		w.cut[f.Zone] = true
		w.after(f.For, func() { w.cut[f.Zone] = false })
	case Flood:
		for i, c := range w.Classes {
			if c.Name == f.Class {
				w.flood[i] = f.Factor
				w.after(f.For, func() { w.flood[i] = 1 })
			}
		}
	case Kill:
		for _, n := range w.nodes[f.First : f.First+f.Many] {
			n.kill()
			w.after(f.For, n.start)
		}
	case Focus:
		w.focus = f.Factor
		w.after(f.For, func() { w.focus = 0 })
	case Swell:
		w.swell[f.First] = f.Factor
		w.after(f.For, func() { w.swell[f.First] = 1 })
	case Stale:
		w.stale = time.Duration(f.Factor * float64(time.Second))
		w.after(f.For, func() { w.stale = 0 })
	case Lose:
		w.lose = f.Factor
		w.after(f.For, func() { w.lose = 0 })
	case Restart:
		for i := range f.Many {
			n := w.nodes[f.First+i]
			w.after(step*time.Duration(i), n.restart)
		}
	}
}

// told brings news of a searcher to all gatherers, late.
func (w *world) told(s *searcher, state eiderwinch.State) {
	s.revision++
	revision := s.revision
	for _, n := range w.nodes {
		lag := min(w.exp(w.Lag), 6*time.Second)
		w.after(lag, func() { n.hear(s, revision, state) })
	}
}

// note adds something to the run's digest.
func (w *world) note(kind byte, numbers ...uint64) {
	b := append(make([]byte, 0, 64), kind)
	b = binary.BigEndian.AppendUint64(b, uint64(w.now.UnixNano()))
	for _, n := range numbers {
		b = binary.BigEndian.AppendUint64(b, n)
	}
	_, _ = w.digest.Write(b) // never fails
}

// logNormal draws a factor whose middle is 1.
func (w *world) logNormal() float64 { return math.Exp(w.Spread * w.rng.NormFloat64()) }
