// Package custody decides what each searcher is told to hold, to copy and to
// forget while a layout changes. It has no I/O and no clock.
//
// A searcher is not sent commands that could get lost: each time it is told the
// whole of what is wanted of it, an Order, and answers with the whole of how far
// it is, a Report. What got lost is made good by the next exchange, and so is a
// searcher or a coordinator that was started again (level-triggered
// reconciliation, as in control loops).
//
// Orders are numbered within the coordinator's term, which is one higher at each
// start. A searcher passes over what is not newer than the last order that it
// took: one that was held up on its way must not make it forget a segment that it
// has been filled with since. It obeys one log for ever: a coordinator with another,
// begun at an older layout, would have it forget all that came later.
package custody

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"eiderwinch/internal/layout"
	"eiderwinch/internal/layout/reshard"
)

// Order is all that is wanted of a searcher. Drops come before Fills.
type Order struct {
	Log    string             `json:"log"` // of the coordinator's log
	Term   uint64             `json:"term"`
	Number uint64             `json:"number"`
	Rows   float64            `json:"rows_per_second"` // of each fill
	Drops  []layout.SegmentID `json:"drops,omitempty"` // held without need, to be forgotten
	Fills  []Fill             `json:"fills,omitempty"` // to be copied, then kept up; all others end
}

// After tells that an order is newer than one of the same log.
func (o Order) After(term, number uint64) bool {
	return o.Term > term || o.Term == term && o.Number > number
}

// Fill is one segment to be copied. What a searcher holds of the segment from
// another job is cleared first: it may be of long ago.
type Fill struct {
	Job     reshard.JobID      `json:"job"`
	Segment layout.SegmentID   `json:"segment"`
	From    layout.Key         `json:"from,omitempty"`
	To      layout.Key         `json:"to,omitempty"`
	Sources []layout.SegmentID `json:"sources"`
	Holders []string           `json:"holders"` // of the sources
}

// Report is how far a searcher is with an order.
type Report struct {
	Log    string             `json:"log"`
	Term   uint64             `json:"term"`
	Number uint64             `json:"number"`         // of the order that it answers
	Held   []layout.SegmentID `json:"held,omitempty"` // whole or in part, once the order's drops were carried out
	Fills  []Progress         `json:"fills,omitempty"`
}

// Progress is how far one fill is.
type Progress struct {
	Job      reshard.JobID    `json:"job"`
	Segment  layout.SegmentID `json:"segment"`
	Copied   bool             `json:"copied"`
	BehindMS int64            `json:"behind_ms"` // how far it is behind its sources, once copied
}

// Limits bound a Ledger. The zero value of a field means its default.
type Limits struct {
	Misses int // exchanges in a row that fail until a searcher counts as down; 3
	Held   int // segments of one searcher that are looked at; 65,536
}

// Counts are what a Ledger has done.
type Counts struct {
	Orders, Reports int
	Stale           int // reports of orders that are not the last
	Fenced          int // reports of orders of another log or a later term
	Misses          int
	Downs, Ups      int
	Drops           int // segments named to be forgotten, each time they were
	Unseen          int // segments reported beyond Limits.Held
}

// Ledger is what is wanted of each searcher, and who of them answers.
type Ledger struct {
	limits    Limits
	log       string
	term      uint64
	rows      float64
	published bool
	searchers map[string]*searcher
	counts    Counts
}

type searcher struct {
	number   uint64                        // of the last order
	assigned map[layout.SegmentID]struct{} // by the layout: held, being taken over, or held for older epochs
	held     []layout.SegmentID            // as it reported last
	fills    []Fill
	leaving  map[layout.SegmentID]struct{}      // to be told of once they are not held
	copied   map[layout.SegmentID]reshard.JobID // fills that it has reported to be copied
	misses   int
	down     bool
	fresh    bool // something has changed since the last order
}

// New returns a ledger for the searchers of a fleet, in a term of a log that no
// ledger before has had.
func New(log string, term uint64, searchers []string, rows float64, limits Limits) *Ledger {
	limits.Misses, limits.Held = cmp.Or(limits.Misses, 3), cmp.Or(limits.Held, 1<<16)
	l := &Ledger{limits: limits, log: log, term: term, rows: rows, searchers: make(map[string]*searcher)}
	for _, id := range searchers {
		l.searchers[id] = &searcher{leaving: make(map[layout.SegmentID]struct{}), copied: make(map[layout.SegmentID]reshard.JobID)}
	}
	return l
}

// Counts are what was done so far.
func (l *Ledger) Counts() Counts { return l.counts }

// Fenced tells that a searcher obeys a later term or another log: another
// coordinator was started since, or this one's log is not the one. It must end.
func (l *Ledger) Fenced() bool { return l.counts.Fenced > 0 }

// Rows is the speed of fills in rows a second.
func (l *Ledger) Rows() float64 { return l.rows }

// Down are the searchers that do not answer, in order.
func (l *Ledger) Down() (out []string) {
	for id, s := range l.searchers {
		if s.down {
			out = append(out, id)
		}
	}
	slices.Sort(out)
	return out
}

// Fill wants a target to be filled. Of the same job again it changes nothing.
func (l *Ledger) Fill(f reshard.Fill) {
	s := l.searchers[f.Target.Searcher]
	if s == nil {
		return // not of the fleet: the coordinator does not choose such
	}
	want := Fill{f.Job, f.Target.Segment, f.Keys.From, f.Keys.To, f.Sources, f.From}
	delete(s.leaving, want.Segment)
	i := slices.IndexFunc(s.fills, func(o Fill) bool { return o.Segment == want.Segment })
	if i < 0 {
		s.fills = append(s.fills, want)
	} else {
		if s.fills[i].Job != want.Job {
			delete(s.copied, want.Segment)
		}
		s.fills[i] = want
	}
	s.fresh = true
}

// Stop ends the fills of a job.
func (l *Ledger) Stop(job reshard.JobID) {
	for _, s := range l.searchers {
		before := len(s.fills)
		s.fills = slices.DeleteFunc(s.fills, func(f Fill) bool { return f.Job == job })
		maps.DeleteFunc(s.copied, func(_ layout.SegmentID, by reshard.JobID) bool { return by == job })
		s.fresh = s.fresh || len(s.fills) != before
	}
}

// Copying tells that rows are being copied somewhere. Where they only follow what
// changes nothing is.
func (l *Ledger) Copying() bool {
	for _, s := range l.searchers {
		if len(s.copied) < len(s.fills) {
			return true
		}
	}
	return false
}

// Rate sets the speed of fills in rows a second.
func (l *Ledger) Rate(rows float64) {
	l.rows = rows
	for _, s := range l.searchers {
		s.fresh = s.fresh || len(s.fills) > 0
	}
}

// Publish takes in the layout in force. What a searcher holds that it does not
// assign is to be forgotten: that holds as well for what an earlier coordinator
// did not get round to, or a searcher brought back from an old disk.
func (l *Ledger) Publish(now *layout.Layout) {
	assigned := make(map[string]map[layout.SegmentID]struct{}, len(l.searchers))
	for s := range now.Segments() {
		for _, list := range [...][]string{s.Holders, s.Next, s.Prev} {
			for _, h := range list {
				if assigned[h] == nil {
					assigned[h] = make(map[layout.SegmentID]struct{})
				}
				assigned[h][s.ID] = struct{}{}
			}
		}
	}
	l.published = true
	for id, s := range l.searchers {
		s.fresh = s.fresh || len(s.assigned) > len(assigned[id])
		s.assigned = assigned[id]
	}
}

// needs tells that a searcher is to hold a segment.
func (s *searcher) needs(id layout.SegmentID) bool {
	_, ok := s.assigned[id]
	return ok || slices.ContainsFunc(s.fills, func(f Fill) bool { return f.Segment == id })
}

// Drop wants to be told when a searcher does not hold a segment any more. That it
// is to forget it follows from the layout.
func (l *Ledger) Drop(t reshard.Target) {
	if s := l.searchers[t.Searcher]; s != nil {
		s.leaving[t.Segment] = struct{}{}
		s.fresh = true
	}
}

// Fresh tells that a searcher has not been told yet what has changed.
func (l *Ledger) Fresh(id string) bool { return l.searchers[id].fresh }

// Order is the next order to a searcher of the fleet.
func (l *Ledger) Order(id string) Order {
	s := l.searchers[id]
	s.number++
	s.fresh = false
	l.counts.Orders++
	o := Order{Log: l.log, Term: l.term, Number: s.number, Rows: l.rows, Fills: slices.Clone(s.fills)}
	for _, id := range s.held {
		if l.published && !s.needs(id) { // before the first layout nothing is known to be without need
			o.Drops = append(o.Drops, id)
			l.counts.Drops++
		}
	}
	return o
}

// Took takes in a searcher's report, and returns what it tells the coordinator.
// Only the report of the last order counts: an older one says nothing of what was
// wanted since.
func (l *Ledger) Took(who string, r Report) (events []reshard.Event) {
	s := l.searchers[who]
	if s.down {
		s.down = false
		l.counts.Ups++
		events = append(events, reshard.Up{Searcher: who})
	}
	s.misses = 0
	if r.Log != l.log || r.Term > l.term {
		l.counts.Fenced++
		return events
	}
	if r.Term != l.term || r.Number != s.number {
		l.counts.Stale++
		return events
	}
	l.counts.Reports++
	if n := len(r.Held) - l.limits.Held; n > 0 {
		r.Held = r.Held[:l.limits.Held]
		l.counts.Unseen += n
	}
	s.held = r.Held
	for _, id := range slices.Sorted(maps.Keys(s.leaving)) {
		if !slices.Contains(s.held, id) {
			delete(s.leaving, id)
			events = append(events, reshard.Dropped{Target: reshard.Target{Segment: id, Searcher: who}})
		}
	}
	s.fresh = s.fresh || slices.ContainsFunc(s.held, func(id layout.SegmentID) bool { return !s.needs(id) })
	for _, p := range r.Fills {
		i := slices.IndexFunc(s.fills, func(f Fill) bool { return f.Job == p.Job && f.Segment == p.Segment })
		if i < 0 || !p.Copied || p.BehindMS < 0 {
			continue
		}
		s.copied[p.Segment] = p.Job
		t := reshard.Target{Segment: p.Segment, Searcher: who}
		events = append(events, reshard.Copied{Job: p.Job, Target: t},
			reshard.Lag{Job: p.Job, Target: t, Behind: time.Duration(p.BehindMS) * time.Millisecond})
	}
	return events
}

// Missed books an exchange that failed, and returns what that tells the coordinator.
func (l *Ledger) Missed(id string) []reshard.Event {
	s := l.searchers[id]
	l.counts.Misses++
	s.misses++
	if s.down || s.misses < l.limits.Misses {
		return nil
	}
	s.down = true
	l.counts.Downs++
	return []reshard.Event{reshard.Down{Searcher: id}}
}

// Searchers are those of the fleet, in order.
func (l *Ledger) Searchers() []string { return slices.Sorted(maps.Keys(l.searchers)) }
