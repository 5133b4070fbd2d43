package reshard

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"time"

	"eiderwinch/internal/layout"
)

// Load is the load of a segment in one window.
type Load struct {
	PerSecond float64    // parts per second, over all its holders
	Median    layout.Key // the key that divides the load most evenly; empty if unknown
	Below     float64    // the share of the load below Median
}

// PlannerLimits determine when a Planner proposes changes. The zero value of a
// field means its default, the last value in its comment.
type PlannerLimits struct {
	Target       float64       // intended load of a segment in parts per second; 50
	SplitRatio   float64       // a segment is split at or above this multiple of Target; 2
	MergeRatio   float64       // two neighbours are merged if their sum is below this multiple of Target; 0.8
	MoveRatio    float64       // a searcher gives a segment away at or above this multiple of the mean load; 1.25
	Windows      int           // consecutive windows that must agree before a split or merge; 3
	Cooldown     time.Duration // time after a change in which its segments and successors are not changed; 10 min
	MaxProposals int           // maximum number of proposals per window; 4
	MinSegments  int           // merges leave at least this number of segments; 1
}

// Neighbours are merged below 0.8 times the target load and a segment is split from 2
// times on, so the load must change by a factor of 2.5 before a change is reversed. A
// burst of load ends within three windows.
var defaultPlannerLimits = PlannerLimits{
	Target: 50, SplitRatio: 2, MergeRatio: 0.8, MoveRatio: 1.25,
	Windows: 3, Cooldown: 10 * time.Minute, MaxProposals: 4, MinSegments: 1,
}

// minHysteresis is the smallest permitted ratio of SplitRatio to MergeRatio.
const minHysteresis = 1.5

func (l PlannerLimits) withDefaults() (PlannerLimits, error) {
	d := defaultPlannerLimits
	l.Target, l.SplitRatio, l.MergeRatio, l.MoveRatio = cmp.Or(l.Target, d.Target), cmp.Or(l.SplitRatio, d.SplitRatio),
		cmp.Or(l.MergeRatio, d.MergeRatio), cmp.Or(l.MoveRatio, d.MoveRatio)
	l.Windows, l.Cooldown, l.MaxProposals, l.MinSegments = cmp.Or(l.Windows, d.Windows), cmp.Or(l.Cooldown, d.Cooldown),
		cmp.Or(l.MaxProposals, d.MaxProposals), cmp.Or(l.MinSegments, d.MinSegments)
	switch {
	case !(l.Target > 0):
		return l, fmt.Errorf("target is %v, want more than 0", l.Target)
	case !(l.SplitRatio >= minHysteresis*l.MergeRatio) || !(l.MergeRatio > 0):
		return l, fmt.Errorf("split ratio is %v and merge ratio %v, want a merge ratio above 0 and a split ratio of at least %v times that: "+
			"otherwise split segments would be merged again",
			l.SplitRatio, l.MergeRatio, minHysteresis)
	case !(l.MoveRatio > 1):
		return l, fmt.Errorf("move ratio is %v, want more than 1", l.MoveRatio)
	case l.Windows < 1 || l.Cooldown < 0 || l.MaxProposals < 1 || l.MinSegments < 1:
		return l, fmt.Errorf("windows is %d, cooldown %v, maximum of proposals %d, minimum of segments %d, want at least 1, 0, 1 and 1",
			l.Windows, l.Cooldown, l.MaxProposals, l.MinSegments)
	}
	return l, nil
}

// Planner proposes splits, merges and moves from the load of each segment. It does
// not oscillate: under constant load it never proposes to reverse a change that it
// proposed, and it stops proposing after a finite number of changes.
type Planner struct {
	limits             PlannerLimits
	overloadedWindows  map[layout.SegmentID]int       // consecutive windows at or above the split threshold
	underloadedWindows map[segmentPair]int            // consecutive windows below the merge threshold
	cooldownUntil      map[layout.SegmentID]time.Time // end of a segment's cooldown
	lastLoads          map[layout.SegmentID]Load      // of the last window
}

// segmentPair is two neighbours, the one with the lower keys first.
type segmentPair [2]layout.SegmentID

// NewPlanner returns a Planner, or an error if its limits are invalid or would make
// it oscillate.
func NewPlanner(l PlannerLimits) (*Planner, error) {
	l, err := l.withDefaults()
	if err != nil {
		return nil, err
	}
	return &Planner{
		limits: l, overloadedWindows: make(map[layout.SegmentID]int), underloadedWindows: make(map[segmentPair]int),
		cooldownUntil: make(map[layout.SegmentID]time.Time),
	}, nil
}

// Proposal is a proposed change and the reason for it.
type Proposal struct {
	Change layout.Change
	Reason string
}

// Window processes the load of one window and returns proposed changes, the most
// urgent first: splits, then merges, then moves. Segments that are being changed, or
// were changed within the cooldown, are left out.
func (p *Planner) Window(now time.Time, l *layout.Layout, f layout.Fleet, loads map[layout.SegmentID]Load) []Proposal {
	p.lastLoads = loads
	maps.DeleteFunc(p.cooldownUntil, func(_ layout.SegmentID, until time.Time) bool { return !now.Before(until) })
	w := &windowPlan{
		planner: p, now: now, layout: l, fleet: f,
		searcherLoads: make(map[string]float64), excluded: make(map[layout.SegmentID]bool),
	}
	w.sumLoads()
	w.proposeSplits()
	w.proposeMerges()
	w.proposeMoves()
	return w.proposals
}

// windowPlan holds the state of one call of Window.
type windowPlan struct {
	planner       *Planner
	now           time.Time
	layout        *layout.Layout
	fleet         layout.Fleet
	serving       []*layout.Segment
	searcherLoads map[string]float64
	excluded      map[layout.SegmentID]bool // under change or already in a proposal
	proposals     []Proposal
}

// sumLoads computes the load of each searcher, and excludes segments that are being
// changed.
func (w *windowPlan) sumLoads() {
	for id := range w.fleet.Zones {
		w.searcherLoads[id] = 0
	}
	for s := range w.layout.Segments() {
		if s.State == layout.Preparing {
			for _, id := range s.Parents {
				w.excluded[id] = true
			}
		}
		if len(s.Next) > 0 || len(s.Prev) > 0 {
			w.excluded[s.ID] = true
		}
	}
	for s := range w.layout.Serving() {
		w.serving = append(w.serving, s)
		for _, h := range s.Holders {
			w.searcherLoads[h] += w.load(s) / float64(len(s.Holders))
		}
	}
}

func (w *windowPlan) load(s *layout.Segment) float64 { return w.planner.lastLoads[s.ID].PerSecond }

// mayChange reports whether a further change of a segment may be proposed.
func (w *windowPlan) mayChange(s *layout.Segment) bool {
	return !w.excluded[s.ID] && w.planner.cooldownUntil[s.ID].IsZero() && len(w.proposals) < w.planner.limits.MaxProposals
}

func (w *windowPlan) propose(c layout.Change, why string, args ...any) {
	for _, id := range c.Segments {
		w.excluded[id] = true
	}
	w.proposals = append(w.proposals, Proposal{c, fmt.Sprintf(why, args...)})
}

// RecordChange records that a change was made, which starts the cooldown of its
// segments and successors.
func (p *Planner) RecordChange(now time.Time, c layout.Change, successors []layout.SegmentID) {
	for _, id := range slices.Concat(c.Segments, successors) {
		p.cooldownUntil[id] = now.Add(p.limits.Cooldown)
	}
}

// minSplitShare is the smallest share of the load that each half of a split must get.
const minSplitShare = 0.2

func (w *windowPlan) proposeSplits() {
	limits := w.planner.limits
	overloaded := make(map[layout.SegmentID]int)
	var hot []*layout.Segment
	for _, s := range w.serving {
		if w.load(s) < limits.SplitRatio*limits.Target {
			continue
		}
		if overloaded[s.ID] = w.planner.overloadedWindows[s.ID] + 1; overloaded[s.ID] >= limits.Windows {
			hot = append(hot, s)
		}
	}
	w.planner.overloadedWindows = overloaded
	slices.SortStableFunc(hot, func(a, b *layout.Segment) int { return cmp.Compare(w.load(b), w.load(a)) })
	for _, s := range hot {
		splitKey := w.planner.lastLoads[s.ID].Median
		below := w.planner.lastLoads[s.ID].Below
		if !w.mayChange(s) || !s.Keys.Contains(splitKey) || splitKey == s.Keys.From || !(below >= minSplitShare && below <= 1-minSplitShare) {
			continue // a split does not help if most of the load is on a single key
		}
		// The lower half stays on the holders that have its rows, the upper goes to the
		// least loaded searchers.
		upper := w.leastLoaded(len(s.Holders))
		if len(upper) < len(s.Holders) {
			continue
		}
		w.shiftLoad(s.Holders, upper, w.load(s)*(1-below)/float64(len(upper)))
		w.propose(layout.Change{Kind: layout.Split, Segments: []layout.SegmentID{s.ID}, At: splitKey, Share: below,
			Holders: [][]string{s.Holders, upper}}, "%.1f parts a second for %d windows, target %.1f", w.load(s), w.planner.overloadedWindows[s.ID], limits.Target)
	}
}

func (w *windowPlan) proposeMerges() {
	limits := w.planner.limits
	underloaded := make(map[segmentPair]int)
	remaining := len(w.serving)
	for i := 1; i < len(w.serving); i++ {
		a, b := w.serving[i-1], w.serving[i]
		sum := w.load(a) + w.load(b)
		if sum >= limits.MergeRatio*limits.Target {
			continue
		}
		neighbours := segmentPair{a.ID, b.ID}
		if underloaded[neighbours] = w.planner.underloadedWindows[neighbours] + 1; underloaded[neighbours] < limits.Windows ||
			!w.mayChange(a) || !w.mayChange(b) || remaining <= limits.MinSegments {
			continue
		}
		remaining--
		holders := a.Holders // holders of the busier segment, so that less must be copied quickly
		if w.load(b) > w.load(a) {
			holders = b.Holders
		}
		w.propose(layout.Change{Kind: layout.Merge, Segments: []layout.SegmentID{a.ID, b.ID}, Holders: [][]string{holders}},
			"%.1f parts a second together for %d windows, target %.1f each", sum, underloaded[neighbours], limits.Target)
	}
	w.planner.underloadedWindows = underloaded
}

// minMoveShare is the smallest load that a move must shift, as a share of the mean.
// The normal variation of load, some 5%, must not cause a move back.
const minMoveShare = 0.1

// proposeMoves moves segments from the most loaded searchers to the least loaded
// ones of the same data centre. After a move the giving searcher still has at
// least the load of the receiving one, so no move is ever reversed.
func (w *windowPlan) proposeMoves() {
	if len(w.searcherLoads) == 0 {
		return
	}
	sum := 0.0
	for _, load := range w.searcherLoads {
		sum += load
	}
	mean := sum / float64(len(w.searcherLoads))
	names := slices.SortedFunc(maps.Keys(w.searcherLoads), func(a, b string) int {
		return cmp.Or(cmp.Compare(w.searcherLoads[b], w.searcherLoads[a]), cmp.Compare(a, b))
	})
	for _, from := range names {
		if w.searcherLoads[from] < w.planner.limits.MoveRatio*mean || mean == 0 {
			return
		}
		var best *layout.Segment
		var to string
		gain := 0.0
		for _, s := range w.serving {
			if !w.mayChange(s) || !slices.Contains(s.Holders, from) {
				continue
			}
			share := w.load(s) / float64(len(s.Holders))
			for i := len(names) - 1; i >= 0; i-- {
				receiver := names[i]
				if w.fleet.Zones[receiver] != w.fleet.Zones[from] || slices.Contains(s.Holders, receiver) {
					continue
				}
				if share > gain && share >= minMoveShare*mean && w.searcherLoads[from]-share >= w.searcherLoads[receiver]+share {
					best, to, gain = s, receiver, share
				}
				break // the remaining searchers have more load
			}
		}
		if best == nil {
			continue
		}
		holders := slices.Clone(best.Holders)
		holders[slices.Index(holders, from)] = to
		slices.Sort(holders)
		why := fmt.Sprintf("%s has %.1f parts a second, the mean is %.1f, %s has %.1f", from, w.searcherLoads[from], mean, to, w.searcherLoads[to])
		w.shiftLoad([]string{from}, []string{to}, gain)
		w.propose(layout.Change{Kind: layout.Move, Segments: []layout.SegmentID{best.ID}, Holders: [][]string{holders}}, "%s", why)
	}
}

// shiftLoad records that each searcher in from loses a load, and each in to gains it.
func (w *windowPlan) shiftLoad(from, to []string, each float64) {
	for _, s := range from {
		w.searcherLoads[s] -= each
	}
	for _, s := range to {
		w.searcherLoads[s] += each
	}
}

// leastLoaded returns the n searchers with the lowest load, in different data
// centres as long as there are enough of these.
func (w *windowPlan) leastLoaded(n int) (out []string) {
	names := slices.SortedFunc(maps.Keys(w.searcherLoads), func(a, b string) int {
		return cmp.Or(cmp.Compare(w.searcherLoads[a], w.searcherLoads[b]), cmp.Compare(a, b))
	})
	zones := make(map[string]bool)
	for _, distinctZones := range []bool{true, false} {
		for _, s := range names {
			if len(out) < n && !slices.Contains(out, s) && !(distinctZones && zones[w.fleet.Zones[s]]) {
				out = append(out, s)
				zones[w.fleet.Zones[s]] = true
			}
		}
	}
	slices.Sort(out)
	return out
}
