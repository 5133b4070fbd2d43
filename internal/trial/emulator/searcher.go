package emulator

import (
	"fmt"
	"slices"
	"time"

	"eiderwinch"
	"eiderwinch/internal/gatherer"
)

// searcher is a model of one: slots, a queue, a thrash that grows with the queue, a
// cold start, pauses and drains.
type searcher struct {
	w        *world
	id       string
	number   int
	zone     int
	cell     int
	revision int // of what is told of it

	up          bool
	draining    bool
	life        int // counts its processes
	started     time.Time
	slow        float64
	pausedUntil time.Time
	busy        int
	waiting     []*flight
	told        []float64 // queues as they were at the last reports, the newest last
	over        time.Time // since when it has had too much for a cold one; zero if it has not
	links       []*link
}

func (w *world) add(i int) {
	// Replicas of one cell lie in different zones.
	s := &searcher{w: w, id: fmt.Sprintf("s-%04d", i), number: i, cell: i % w.Cells, zone: i / w.Cells % w.Zones, up: true, slow: 1}
	w.searchers = append(w.searchers, s)
	w.byID[s.id] = s
}

func (s *searcher) member(state eiderwinch.State) gatherer.Member {
	return gatherer.Member{ID: s.id, Zone: zoneName(s.zone), Cell: s.cell, State: state, Started: s.started}
}

func zoneName(z int) string { return fmt.Sprintf("z%d", z) }

// warmth is the share of its speed that it has.
func (s *searcher) warmth() float64 {
	if s.started.IsZero() {
		return 1
	}
	age := s.w.now.Sub(s.started)
	if age >= s.w.ColdFor {
		return 1
	}
	return s.w.ColdShare + (1-s.w.ColdShare)*age.Seconds()/s.w.ColdFor.Seconds()
}

// take takes in a part.
func (s *searcher) take(f *flight) {
	s.w.result.heat(s, 1)
	switch {
	case s.draining || len(s.waiting) >= s.w.Queue:
		s.answer(f, eiderwinch.Full)
		return
	case s.busy >= s.w.Slots:
		s.waiting = append(s.waiting, f)
	default:
		s.serve(f)
	}
	s.strain()
}

// strain crashes a cold searcher that has had too much for too long.
func (s *searcher) strain() {
	most := s.w.ColdMost * float64(s.w.Slots) * s.warmth()
	if s.warmth() == 1 || float64(s.busy+len(s.waiting)) <= most {
		s.over = time.Time{}
		return
	}
	if s.over.IsZero() {
		s.over = s.w.now
	} else if s.w.now.Sub(s.over) >= s.w.ColdFalls {
		s.over = time.Time{}
		s.w.result.Fallen++
		s.crash(4 * time.Second)
	}
}

// serve begins a part.
func (s *searcher) serve(f *flight) {
	s.busy++
	life := s.life
	takes := float64(s.w.Classes[f.class].Work) * s.w.logNormal() * s.slow / s.warmth()
	takes *= 1 + s.w.Thrash*float64(len(s.waiting))/float64(s.w.Queue)
	if f.first {
		takes += float64(s.w.CallCost)
	}
	s.w.after(time.Duration(takes), func() { s.done(f, life) })
}

// done ends a part, later where the searcher stands still.
func (s *searcher) done(f *flight, life int) {
	if s.life != life {
		return // it died meanwhile
	}
	if s.w.now.Before(s.pausedUntil) {
		s.w.after(s.pausedUntil.Sub(s.w.now), func() { s.done(f, life) })
		return
	}
	s.busy--
	s.run(f)
	s.answer(f, eiderwinch.OK)
	for s.busy < s.w.Slots && len(s.waiting) > 0 {
		next := s.waiting[0]
		s.waiting = s.waiting[1:]
		s.serve(next)
	}
	s.strain()
}

// run books what a part has done.
func (s *searcher) run(f *flight) {
	c := s.w.Classes[f.class]
	if c.Effect != eiderwinch.Keyed {
		return
	}
	first, before := s.w.made[f.key]
	switch {
	case !before:
		s.w.made[f.key] = s.w.now
	case s.w.now.Sub(first) > c.RepeatWindow:
		s.w.result.breach("reservation %s was made twice, %v apart", f.key, s.w.now.Sub(first))
	}
}

// answer sends an answer back, if its connection is still there.
func (s *searcher) answer(f *flight, status eiderwinch.Status) {
	if s.w.lose > 0 && s.w.rng.Float64() < s.w.lose {
		return // it has run, and nobody hears of it
	}
	l := f.link
	load := s.load()
	s.w.after(s.w.way(s.zone, l.node.zone), func() {
		if !l.open || s.w.severed(s.zone, l.node.zone) {
			return
		}
		l.node.result(f, status, load)
	})
}

// holds tells that a segment is one of its own: those that begin at its cell, and at the ones before.
func (s *searcher) holds(segment int) bool {
	cells := s.w.Cells
	return ((s.cell-segment)%cells+cells)%cells < s.w.Reach
}

// maxTold bounds the reports that are kept.
const maxTold = 64

// report notes the queue's length, from time to time.
func (s *searcher) report() {
	if len(s.told) == maxTold {
		s.told = s.told[1:]
	}
	s.told = append(s.told, float64(len(s.waiting)))
	s.w.after(s.w.Reports/2+s.w.exp(s.w.Reports/2), s.report)
}

// load is what it reports with an answer: the last queue that it noted, or an older one while
// reports are stale; nil where answers carry none.
func (s *searcher) load() *eiderwinch.Load {
	if len(s.told) == 0 {
		return nil
	}
	back := int(s.w.stale / max(s.w.Reports, time.Millisecond))
	return &eiderwinch.Load{Waiting: s.told[max(len(s.told)-1-back, 0)]}
}

// cancel takes a part out of the queue; one that is served goes on.
func (s *searcher) cancel(f *flight) {
	if s.w.Deaf {
		return
	}
	s.waiting = slices.DeleteFunc(s.waiting, func(x *flight) bool { return x == f })
}

// crash ends the process: connections break, and it comes back cold.
func (s *searcher) crash(away time.Duration) {
	if !s.up {
		return
	}
	s.stop()
	s.w.told(s, eiderwinch.Removed)
	s.w.after(away, s.start)
}

func (s *searcher) stop() {
	s.up, s.draining = false, false
	s.life++
	s.busy, s.waiting = 0, nil
	links := s.links
	s.links = nil
	for _, l := range links {
		s.w.after(s.w.way(s.zone, l.node.zone), func() {
			if !s.w.severed(s.zone, l.node.zone) {
				l.broken()
			}
		})
	}
}

func (s *searcher) start() {
	if s.up {
		return
	}
	s.up, s.started, s.slow = true, s.w.now, 1
	s.w.told(s, eiderwinch.Ready)
}

// drain lets it leave in order, and come back.
func (s *searcher) drain(within time.Duration) {
	if !s.up || s.draining {
		return
	}
	s.draining = true
	s.w.told(s, eiderwinch.Draining)
	s.w.after(max(within, time.Second), func() {
		if s.up && s.draining {
			s.crash(2 * time.Second)
		}
	})
}
