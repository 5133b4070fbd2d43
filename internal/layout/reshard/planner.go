package reshard

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"time"

	"eiderwinch/internal/layout"
)

// Load is what a segment was asked in one window.
type Load struct {
	PerSecond float64    // parts a second, over all its holders
	Median    layout.Key // the key that divides it most evenly; empty if that is not known
	Below     float64    // the share of what was asked that lay below it
}

// PlannerLimits say when a Planner proposes changes. The zero value of a field
// means its default.
type PlannerLimits struct {
	Target  float64       // parts a second that a segment is meant for; 50
	Over    float64       // a segment is split from so many times Target on; 2
	Under   float64       // two neighbours are merged below so many times Target together; 0.8
	Uneven  float64       // a searcher gives a segment away from so many times the mean on; 1.25
	Windows int           // windows in a row that must say the same; 3
	Rest    time.Duration // a segment, and its heirs, are left alone so long after a change; 10 min
	Most    int           // proposals at a time; 4
	Least   int           // segments are not merged below so many; 1
}

// A pair is merged below 0.8 and a segment split from 2 on: the load must change
// by 2.5 times before what was done is undone. Three windows outlast a burst.
var plannerDefaults = PlannerLimits{
	Target: 50, Over: 2, Under: 0.8, Uneven: 1.25, Windows: 3, Rest: 10 * time.Minute, Most: 4, Least: 1,
}

// hysteresis is how far Over must lie above Under at least.
const hysteresis = 1.5

func (l PlannerLimits) complete() (PlannerLimits, error) {
	d := plannerDefaults
	l.Target, l.Over, l.Under, l.Uneven = cmp.Or(l.Target, d.Target), cmp.Or(l.Over, d.Over), cmp.Or(l.Under, d.Under), cmp.Or(l.Uneven, d.Uneven)
	l.Windows, l.Rest, l.Most, l.Least = cmp.Or(l.Windows, d.Windows), cmp.Or(l.Rest, d.Rest), cmp.Or(l.Most, d.Most), cmp.Or(l.Least, d.Least)
	switch {
	case !(l.Target > 0):
		return l, fmt.Errorf("target is %v, want more than 0", l.Target)
	case !(l.Over >= hysteresis*l.Under) || !(l.Under > 0):
		return l, fmt.Errorf("over is %v and under %v, want under above 0 and over %v times that: else what is split would be merged again",
			l.Over, l.Under, hysteresis)
	case !(l.Uneven > 1):
		return l, fmt.Errorf("uneven is %v, want more than 1", l.Uneven)
	case l.Windows < 1 || l.Rest < 0 || l.Most < 1 || l.Least < 1:
		return l, fmt.Errorf("windows is %d, rest %v, most %d, least %d, want 1, 0, 1 and 1 or more", l.Windows, l.Rest, l.Most, l.Least)
	}
	return l, nil
}

// Planner proposes splits, merges and moves from load by segment. It never goes
// back and forth: with the same load, what it proposed it does not propose to
// undo, and it comes to an end.
type Planner struct {
	limits PlannerLimits
	over   map[layout.SegmentID]int // windows in a row
	under  map[pair]int
	rest   map[layout.SegmentID]time.Time // until when a segment is left alone
	loads  map[layout.SegmentID]Load      // of the last window
}

// pair is two neighbours, the one with the lower keys first.
type pair [2]layout.SegmentID

// NewPlanner returns a Planner, or an error where its limits would make it go
// back and forth.
func NewPlanner(l PlannerLimits) (*Planner, error) {
	l, err := l.complete()
	if err != nil {
		return nil, err
	}
	return &Planner{limits: l, over: make(map[layout.SegmentID]int), under: make(map[pair]int), rest: make(map[layout.SegmentID]time.Time)}, nil
}

// Proposal is a change with the reason for it.
type Proposal struct {
	Change layout.Change
	Why    string
}

// Window takes in the load of one window and returns what should be changed,
// the most urgent first. What is under way already, or has just been, is left alone.
func (p *Planner) Window(now time.Time, l *layout.Layout, f layout.Fleet, loads map[layout.SegmentID]Load) []Proposal {
	p.loads = loads
	maps.DeleteFunc(p.rest, func(_ layout.SegmentID, until time.Time) bool { return !now.Before(until) })
	w := &window{p: p, now: now, l: l, f: f, searchers: make(map[string]float64), taken: make(map[layout.SegmentID]bool)}
	w.weigh()
	w.splits()
	w.merges()
	w.moves()
	return w.out
}

// window is one Window in the making.
type window struct {
	p         *Planner
	now       time.Time
	l         *layout.Layout
	f         layout.Fleet
	serving   []*layout.Segment
	searchers map[string]float64 // load by searcher
	taken     map[layout.SegmentID]bool
	out       []Proposal
}

// weigh adds the load up by searcher, and notes what is being changed.
func (w *window) weigh() {
	for id := range w.f.Zones {
		w.searchers[id] = 0
	}
	for s := range w.l.Segments() {
		if s.State == layout.Preparing {
			for _, id := range s.Of {
				w.taken[id] = true
			}
		}
		if len(s.Next) > 0 || len(s.Prev) > 0 {
			w.taken[s.ID] = true
		}
	}
	for s := range w.l.Serving() {
		w.serving = append(w.serving, s)
		for _, h := range s.Holders {
			w.searchers[h] += w.load(s) / float64(len(s.Holders))
		}
	}
}

func (w *window) load(s *layout.Segment) float64 { return w.p.loads[s.ID].PerSecond }

// free tells that a segment may be changed.
func (w *window) free(s *layout.Segment) bool {
	return !w.taken[s.ID] && w.p.rest[s.ID].IsZero() && len(w.out) < w.p.limits.Most
}

func (w *window) propose(c layout.Change, why string, args ...any) {
	for _, id := range c.Segments {
		w.taken[id] = true
	}
	w.out = append(w.out, Proposal{c, fmt.Sprintf(why, args...)})
}

// Changed tells that a change was made: its segments and heirs rest.
func (p *Planner) Changed(now time.Time, c layout.Change, heirs []layout.SegmentID) {
	for _, id := range slices.Concat(c.Segments, heirs) {
		p.rest[id] = now.Add(p.limits.Rest)
	}
}

// splitLeast is the least share of the load that a half must get.
const splitLeast = 0.2

func (w *window) splits() {
	limits := w.p.limits
	over := make(map[layout.SegmentID]int)
	var hot []*layout.Segment
	for _, s := range w.serving {
		if w.load(s) < limits.Over*limits.Target {
			continue
		}
		if over[s.ID] = w.p.over[s.ID] + 1; over[s.ID] >= limits.Windows {
			hot = append(hot, s)
		}
	}
	w.p.over = over
	slices.SortStableFunc(hot, func(a, b *layout.Segment) int { return cmp.Compare(w.load(b), w.load(a)) })
	for _, s := range hot {
		at := w.p.loads[s.ID].Median
		below := w.p.loads[s.ID].Below
		if !w.free(s) || !s.Keys.Holds(at) || at == s.Keys.From || !(below >= splitLeast && below <= 1-splitLeast) {
			continue // one key alone may be that hot: no split helps
		}
		// The lower half stays where the rows are, the upper goes to who has least to do.
		upper := w.coolest(len(s.Holders))
		if len(upper) < len(s.Holders) {
			continue
		}
		w.shift(s.Holders, upper, w.load(s)*(1-below)/float64(len(upper)))
		w.propose(layout.Change{Kind: layout.Split, Segments: []layout.SegmentID{s.ID}, At: at, Share: below,
			Holders: [][]string{s.Holders, upper}}, "%.1f parts a second for %d windows, meant for %.1f", w.load(s), w.p.over[s.ID], limits.Target)
	}
}

func (w *window) merges() {
	limits := w.p.limits
	under := make(map[pair]int)
	left := len(w.serving)
	for i := 1; i < len(w.serving); i++ {
		a, b := w.serving[i-1], w.serving[i]
		sum := w.load(a) + w.load(b)
		if sum >= limits.Under*limits.Target {
			continue
		}
		at := pair{a.ID, b.ID}
		if under[at] = w.p.under[at] + 1; under[at] < limits.Windows || !w.free(a) || !w.free(b) || left <= limits.Least {
			continue
		}
		left--
		home := a.Holders // where more of it is asked, less has to be copied in a hurry
		if w.load(b) > w.load(a) {
			home = b.Holders
		}
		w.propose(layout.Change{Kind: layout.Merge, Segments: []layout.SegmentID{a.ID, b.ID}, Holders: [][]string{home}},
			"%.1f parts a second together for %d windows, meant for %.1f each", sum, under[at], limits.Target)
	}
	w.p.under = under
}

// moveLeast is the least that a move must shift, as a share of the mean. What
// loads swing by of themselves, some 5%, must not move a segment back.
const moveLeast = 0.1

// moves lets the searcher with most to do give a segment to the one with least
// in its own data centre, if that evens them out. Afterwards the giver still has
// no less than the taker, so nothing is ever given back.
func (w *window) moves() {
	if len(w.searchers) == 0 {
		return
	}
	sum := 0.0
	for _, load := range w.searchers {
		sum += load
	}
	mean := sum / float64(len(w.searchers))
	names := slices.SortedFunc(maps.Keys(w.searchers), func(a, b string) int {
		return cmp.Or(cmp.Compare(w.searchers[b], w.searchers[a]), cmp.Compare(a, b))
	})
	for _, from := range names {
		if w.searchers[from] < w.p.limits.Uneven*mean || mean == 0 {
			return
		}
		var best *layout.Segment
		var to string
		gain := 0.0
		for _, s := range w.serving {
			if !w.free(s) || !slices.Contains(s.Holders, from) {
				continue
			}
			part := w.load(s) / float64(len(s.Holders))
			for i := len(names) - 1; i >= 0; i-- {
				taker := names[i]
				if w.f.Zones[taker] != w.f.Zones[from] || slices.Contains(s.Holders, taker) {
					continue
				}
				if part > gain && part >= moveLeast*mean && w.searchers[from]-part >= w.searchers[taker]+part {
					best, to, gain = s, taker, part
				}
				break // those before it have more to do
			}
		}
		if best == nil {
			continue
		}
		holders := slices.Clone(best.Holders)
		holders[slices.Index(holders, from)] = to
		slices.Sort(holders)
		why := fmt.Sprintf("%s has %.1f parts a second, the mean is %.1f, %s has %.1f", from, w.searchers[from], mean, to, w.searchers[to])
		w.shift([]string{from}, []string{to}, gain)
		w.propose(layout.Change{Kind: layout.Move, Segments: []layout.SegmentID{best.ID}, Holders: [][]string{holders}}, "%s", why)
	}
}

// shift books that load goes from some searchers to others.
func (w *window) shift(from, to []string, each float64) {
	for _, s := range from {
		w.searchers[s] -= each
	}
	for _, s := range to {
		w.searchers[s] += each
	}
}

// coolest returns the n searchers with least to do, in different data centres as far as these go.
func (w *window) coolest(n int) (out []string) {
	names := slices.SortedFunc(maps.Keys(w.searchers), func(a, b string) int {
		return cmp.Or(cmp.Compare(w.searchers[a], w.searchers[b]), cmp.Compare(a, b))
	})
	zones := make(map[string]bool)
	for _, apart := range []bool{true, false} {
		for _, s := range names {
			if len(out) < n && !slices.Contains(out, s) && !(apart && zones[w.f.Zones[s]]) {
				out = append(out, s)
				zones[w.f.Zones[s]] = true
			}
		}
	}
	slices.Sort(out)
	return out
}
