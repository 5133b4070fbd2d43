// Package assignment decides which segments each searcher holds, copies and drops while
// a layout changes. It does no I/O and reads no clock.
//
// Searchers are not sent individual commands, which could get lost. Each exchange
// carries the whole desired state of a searcher, an Order, and is answered with its
// whole actual state, a Report. The next exchange thus makes up for lost messages and
// for restarts of a searcher or of the coordinator (level-triggered reconciliation, as
// in control loops).
//
// Orders are numbered within the coordinator's term, which increases by one at each
// start of the coordinator. A searcher ignores an order that is not newer than the last
// one it accepted: a delayed order must not make it drop a segment that it has been
// filled with since. A searcher accepts orders of one log only: a coordinator with
// another log, started from an older layout, would make it drop all segments that were
// added later.
package assignment

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"eiderwinch/internal/layout"
	"eiderwinch/internal/layout/reshard"
)

// Order is the whole desired state of a searcher. Drops are carried out before Fills.
type Order struct {
	Log           string             `json:"log"` // identifies the coordinator's log
	Term          uint64             `json:"term"`
	Number        uint64             `json:"number"`
	RowsPerSecond float64            `json:"rows_per_second"` // rate limit of each fill
	Drops         []layout.SegmentID `json:"drops,omitempty"` // segments that it holds and no longer needs
	Fills         []Fill             `json:"fills,omitempty"` // segments to be copied, then kept up to date; all other fills are stopped
}

// IsNewer reports whether the order is newer than the order of the same log with the
// given term and number.
func (o Order) IsNewer(term, number uint64) bool {
	return o.Term > term || o.Term == term && o.Number > number
}

// Fill is one segment to be copied. Data of the segment that the searcher holds from
// another job is deleted first, as it may be outdated.
type Fill struct {
	Job     reshard.JobID      `json:"job"`
	Segment layout.SegmentID   `json:"segment"`
	From    layout.Key         `json:"from,omitempty"`
	To      layout.Key         `json:"to,omitempty"`
	Sources []layout.SegmentID `json:"sources"`
	Holders []string           `json:"holders"` // the holders of the sources
}

// Report is the state of a searcher in response to an order.
type Report struct {
	Log    string             `json:"log"`
	Term   uint64             `json:"term"`
	Number uint64             `json:"number"`         // of the last order that it accepted
	Held   []layout.SegmentID `json:"held,omitempty"` // complete or partial segments, after the order's drops
	Fills  []Progress         `json:"fills,omitempty"`
}

// Progress is the progress of one fill.
type Progress struct {
	Job      reshard.JobID    `json:"job"`
	Segment  layout.SegmentID `json:"segment"`
	Copied   bool             `json:"copied"`
	BehindMS int64            `json:"behind_ms"` // replication lag behind the sources, once copied
}

// Limits bound a Tracker. The zero value of a field means its default.
type Limits struct {
	MaxMisses int // consecutive failed exchanges after which a searcher counts as down; default 3
	MaxHeld   int // segments in one report that are considered; default 65,536
}

// Counts are the counters of a Tracker. They are written as JSON under the names of the
// fields.
type Counts struct {
	Orders, Reports int
	Stale           int // reports on an order that is not the latest
	Fenced          int // reports on orders of another log or a later term
	Misses          int // failed exchanges
	Downs, Ups      int // times that a searcher counted as down, and as available again
	Drops           int // segments listed in drops, counted once per order
	Unseen          int // segments in reports that exceed Limits.MaxHeld
}

// Tracker keeps the desired and the reported state of each searcher, and whether it
// responds.
type Tracker struct {
	limits        Limits
	log           string
	term          uint64
	rowsPerSecond float64
	published     bool // SetLayout has been called
	searchers     map[string]*searcher
	counts        Counts
}

type searcher struct {
	number       uint64                        // of the latest order
	assigned     map[layout.SegmentID]struct{} // by the layout: held, being filled, or held for older epochs
	held         []layout.SegmentID            // according to its latest report
	fills        []Fill
	awaitingDrop map[layout.SegmentID]struct{}      // a Dropped event follows once they are no longer held
	copied       map[layout.SegmentID]reshard.JobID // fills that it has reported as copied
	misses       int                                // consecutive failed exchanges
	down         bool
	orderDue     bool // something has changed since the latest order
}

// New returns a tracker for the searchers of a fleet. The term must not have been used
// with the same log before.
func New(log string, term uint64, searchers []string, rowsPerSecond float64, limits Limits) *Tracker {
	limits.MaxMisses, limits.MaxHeld = cmp.Or(limits.MaxMisses, 3), cmp.Or(limits.MaxHeld, 1<<16)
	t := &Tracker{limits: limits, log: log, term: term, rowsPerSecond: rowsPerSecond, searchers: make(map[string]*searcher)}
	for _, id := range searchers {
		t.searchers[id] = &searcher{awaitingDrop: make(map[layout.SegmentID]struct{}), copied: make(map[layout.SegmentID]reshard.JobID)}
	}
	return t
}

// Counts returns the counters.
func (t *Tracker) Counts() Counts { return t.counts }

// Fenced reports whether a searcher has accepted an order of a later term or of another
// log: another coordinator has been started since, or this coordinator has the wrong
// log. This coordinator must then stop.
func (t *Tracker) Fenced() bool { return t.counts.Fenced > 0 }

// Rate returns the rate limit of fills in rows per second.
func (t *Tracker) Rate() float64 { return t.rowsPerSecond }

// DownSearchers returns the searchers that do not respond, sorted.
func (t *Tracker) DownSearchers() (out []string) {
	for id, s := range t.searchers {
		if s.down {
			out = append(out, id)
		}
	}
	slices.Sort(out)
	return out
}

// AddFill adds a fill of a target. Repeating a fill of the same job keeps its
// progress.
func (t *Tracker) AddFill(f reshard.Fill) {
	s := t.searchers[f.Target.Searcher]
	if s == nil {
		return // not in the fleet: the coordinator does not choose such targets
	}
	want := Fill{f.Job, f.Target.Segment, f.Keys.From, f.Keys.To, f.Sources, f.SourceHolders}
	delete(s.awaitingDrop, want.Segment)
	i := slices.IndexFunc(s.fills, func(o Fill) bool { return o.Segment == want.Segment })
	if i < 0 {
		s.fills = append(s.fills, want)
	} else {
		if s.fills[i].Job != want.Job {
			delete(s.copied, want.Segment)
		}
		s.fills[i] = want
	}
	s.orderDue = true
}

// RemoveFills removes the fills of a job.
func (t *Tracker) RemoveFills(job reshard.JobID) {
	for _, s := range t.searchers {
		before := len(s.fills)
		s.fills = slices.DeleteFunc(s.fills, func(f Fill) bool { return f.Job == job })
		maps.DeleteFunc(s.copied, func(_ layout.SegmentID, copiedBy reshard.JobID) bool { return copiedBy == job })
		s.orderDue = s.orderDue || len(s.fills) != before
	}
}

// IsCopying reports whether any fill is still copying rows. Fills that have been copied
// and only follow the changes of their sources do not count.
func (t *Tracker) IsCopying() bool {
	for _, s := range t.searchers {
		if len(s.copied) < len(s.fills) {
			return true
		}
	}
	return false
}

// SetRate sets the rate limit of fills in rows per second.
func (t *Tracker) SetRate(rowsPerSecond float64) {
	t.rowsPerSecond = rowsPerSecond
	for _, s := range t.searchers {
		s.orderDue = s.orderDue || len(s.fills) > 0
	}
}

// SetLayout sets the layout in force. Segments that a searcher holds but that are not
// assigned to it are dropped. This includes segments that an earlier coordinator had
// not dropped yet, and those of a searcher that was restored from an old disk.
func (t *Tracker) SetLayout(current *layout.Layout) {
	assigned := make(map[string]map[layout.SegmentID]struct{}, len(t.searchers))
	for s := range current.Segments() {
		for _, list := range [...][]string{s.Holders, s.Next, s.Prev} {
			for _, h := range list {
				if assigned[h] == nil {
					assigned[h] = make(map[layout.SegmentID]struct{})
				}
				assigned[h][s.ID] = struct{}{}
			}
		}
	}
	t.published = true
	for id, s := range t.searchers {
		s.orderDue = s.orderDue || len(s.assigned) > len(assigned[id])
		s.assigned = assigned[id]
	}
}

// needs reports whether the searcher has to hold a segment.
func (s *searcher) needs(id layout.SegmentID) bool {
	_, ok := s.assigned[id]
	return ok || slices.ContainsFunc(s.fills, func(f Fill) bool { return f.Segment == id })
}

// AwaitDrop requests a Dropped event, which HandleReport returns once the searcher no
// longer holds the segment. The order to drop it follows from the layout in force.
func (t *Tracker) AwaitDrop(target reshard.Target) {
	if s := t.searchers[target.Searcher]; s != nil {
		s.awaitingDrop[target.Segment] = struct{}{}
		s.orderDue = true
	}
}

// OrderDue reports whether something has changed since the latest order to a searcher.
func (t *Tracker) OrderDue(id string) bool { return t.searchers[id].orderDue }

// Order returns the next order to a searcher of the fleet.
func (t *Tracker) Order(id string) Order {
	s := t.searchers[id]
	s.number++
	s.orderDue = false
	t.counts.Orders++
	o := Order{Log: t.log, Term: t.term, Number: s.number, RowsPerSecond: t.rowsPerSecond, Fills: slices.Clone(s.fills)}
	for _, id := range s.held {
		if t.published && !s.needs(id) { // before the first layout it is not known which segments are needed
			o.Drops = append(o.Drops, id)
			t.counts.Drops++
		}
	}
	return o
}

// HandleReport records a searcher's report and returns the resulting events for the
// coordinator. A report on an order other than the latest only shows that the searcher
// responds: it says nothing about what has been ordered since.
func (t *Tracker) HandleReport(searcherID string, r Report) (events []reshard.Event) {
	s := t.searchers[searcherID]
	if s.down {
		s.down = false
		t.counts.Ups++
		events = append(events, reshard.Up{Searcher: searcherID})
	}
	s.misses = 0
	if r.Log != t.log || r.Term > t.term {
		t.counts.Fenced++
		return events
	}
	if r.Term != t.term || r.Number != s.number {
		t.counts.Stale++
		return events
	}
	t.counts.Reports++
	if n := len(r.Held) - t.limits.MaxHeld; n > 0 {
		r.Held = r.Held[:t.limits.MaxHeld]
		t.counts.Unseen += n
	}
	s.held = r.Held
	for _, id := range slices.Sorted(maps.Keys(s.awaitingDrop)) {
		if !slices.Contains(s.held, id) {
			delete(s.awaitingDrop, id)
			events = append(events, reshard.Dropped{Target: reshard.Target{Segment: id, Searcher: searcherID}})
		}
	}
	s.orderDue = s.orderDue || slices.ContainsFunc(s.held, func(id layout.SegmentID) bool { return !s.needs(id) })
	for _, p := range r.Fills {
		i := slices.IndexFunc(s.fills, func(f Fill) bool { return f.Job == p.Job && f.Segment == p.Segment })
		if i < 0 || !p.Copied || p.BehindMS < 0 {
			continue
		}
		s.copied[p.Segment] = p.Job
		target := reshard.Target{Segment: p.Segment, Searcher: searcherID}
		events = append(events, reshard.Copied{Job: p.Job, Target: target},
			reshard.Lag{Job: p.Job, Target: target, Behind: time.Duration(p.BehindMS) * time.Millisecond})
	}
	return events
}

// HandleMiss records a failed exchange with a searcher and returns the resulting events
// for the coordinator.
func (t *Tracker) HandleMiss(id string) []reshard.Event {
	s := t.searchers[id]
	t.counts.Misses++
	s.misses++
	if s.down || s.misses < t.limits.MaxMisses {
		return nil
	}
	s.down = true
	t.counts.Downs++
	return []reshard.Event{reshard.Down{Searcher: id}}
}

// Searchers returns the searchers of the fleet, sorted.
func (t *Tracker) Searchers() []string { return slices.Sorted(maps.Keys(t.searchers)) }
