package layout

import (
	"errors"
	"fmt"
	"math"
	"slices"
)

// Fleet is the searchers that may hold segments.
type Fleet struct {
	Zones    map[string]string // data centre by searcher
	Replicas int               // holders that each serving segment needs; at least 1
}

// zoneCount is how many data centres there are.
func (f Fleet) zoneCount() int {
	seen := make(map[string]struct{})
	for _, z := range f.Zones {
		seen[z] = struct{}{}
	}
	return len(seen)
}

// mostFaults is how many faults Check lists; the rest is counted.
const mostFaults = 20

// Check tells all that is wrong with a layout on a fleet, or nil: numbers,
// lineage, and that each serving segment has its holders, in different data
// centres as far as these go. That each key is served once holds for any Layout.
func (l *Layout) Check(f Fleet) error {
	var faults []error
	more := 0
	fault := func(format string, args ...any) {
		if len(faults) < mostFaults {
			faults = append(faults, fmt.Errorf(format, args...))
		} else {
			more++
		}
	}
	zones := min(max(f.Replicas, 1), max(f.zoneCount(), 1))
	var seen []string
	for _, s := range l.segments {
		if s.ID >= l.next {
			fault("segment %d: number not given out yet, the next is %d", s.ID, l.next)
		}
		for what, list := range [...][]string{s.Holders, s.Next, s.Prev} {
			for i, h := range list {
				_, known := f.Zones[h]
				if i > 0 && list[i-1] == h {
					fault("segment %d: searcher %q stands twice in %s", s.ID, h, listNames[what])
				}
				// Those that had it before may be gone by now.
				if !known && what != prevList {
					fault("segment %d: %w: %s holds searcher %q", s.ID, ErrUnknown, listNames[what], h)
				}
			}
		}
		if s.State == Retiring {
			continue
		}
		for what, list := range [...][]string{s.Holders, s.Next} {
			if what == nextList && len(list) == 0 {
				continue
			}
			if len(list) < max(f.Replicas, 1) {
				fault("segment %d (%v): %w: %d in %s, want %d", s.ID, s.State, ErrHolders, len(list), listNames[what], max(f.Replicas, 1))
				continue
			}
			seen = seen[:0]
			for _, h := range list {
				if z := f.Zones[h]; !slices.Contains(seen, z) {
					seen = append(seen, z)
				}
			}
			if len(seen) < zones {
				fault("segment %d (%v): %w: %d for %s, want %d", s.ID, s.State, ErrZones, len(seen), listNames[what], zones)
			}
		}
	}
	for _, n := range l.lines {
		sum := 0.0
		for _, h := range n.Heirs {
			sum += h.Weight
			if !(h.Weight > 0) || l.Segment(h.To) == nil && l.Line(h.To) == nil {
				fault("segment %d: %w: share %v to segment %d", n.From, ErrLineage, h.Weight, h.To)
			}
		}
		if math.Abs(sum-1) > weightSlack {
			fault("segment %d: %w: the shares add up to %v", n.From, ErrLineage, sum)
		}
	}
	if more > 0 {
		faults = append(faults, fmt.Errorf("and %d faults more", more))
	}
	return errors.Join(faults...)
}

// The lists of a Segment, as Check numbers them.
const (
	nextList = 1
	prevList = 2
)

var listNames = [...]string{"holders", "next", "prev"}

// Kind is a kind of difference.
type Kind uint8

// The kinds of differences.
const (
	Added   Kind = iota // a new segment
	Removed             // its number is in use no more
	Moved               // its holders, next or previous ones, are others
	Turned              // its state is another
	Resized             // its keys are others; Edit never does that
)

func (k Kind) String() string {
	return [...]string{"added", "removed", "moved", "turned", "resized"}[k]
}

// Difference is one way in which two epochs differ. Old is nil for Added, New for Removed.
type Difference struct {
	Kind     Kind
	ID       SegmentID
	Old, New *Segment
}

func (d Difference) String() string {
	switch d.Kind {
	case Added:
		return fmt.Sprintf("+ segment %d %v %v on %v", d.ID, d.New.State, d.New.Keys, d.New.Holders)
	case Removed:
		return fmt.Sprintf("- segment %d %v %v", d.ID, d.Old.State, d.Old.Keys)
	case Turned:
		return fmt.Sprintf("~ segment %d: %v, was %v", d.ID, d.New.State, d.Old.State)
	case Resized:
		return fmt.Sprintf("~ segment %d: %v, was %v", d.ID, d.New.Keys, d.Old.Keys)
	default:
		return fmt.Sprintf("~ segment %d: holders %v next %v prev %v, was %v next %v prev %v",
			d.ID, d.New.Holders, d.New.Next, d.New.Prev, d.Old.Holders, d.Old.Next, d.Old.Prev)
	}
}

// Diff lists in which ways new differs from old, by number. What the two share
// is not looked into.
func Diff(old, new *Layout) []Difference {
	var out []Difference
	i, j := 0, 0
	for i < len(old.segments) || j < len(new.segments) {
		switch {
		case j == len(new.segments) || i < len(old.segments) && old.segments[i].ID < new.segments[j].ID:
			out = append(out, Difference{Removed, old.segments[i].ID, old.segments[i], nil})
			i++
		case i == len(old.segments) || new.segments[j].ID < old.segments[i].ID:
			out = append(out, Difference{Added, new.segments[j].ID, nil, new.segments[j]})
			j++
		default:
			a, b := old.segments[i], new.segments[j]
			i, j = i+1, j+1
			if a.equal(b) {
				continue
			}
			if a.Keys != b.Keys {
				out = append(out, Difference{Resized, a.ID, a, b})
			}
			if a.State != b.State {
				out = append(out, Difference{Turned, a.ID, a, b})
			}
			if !slices.Equal(a.Holders, b.Holders) || !slices.Equal(a.Next, b.Next) || !slices.Equal(a.Prev, b.Prev) {
				out = append(out, Difference{Moved, a.ID, a, b})
			}
		}
	}
	return out
}
