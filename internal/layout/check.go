package layout

import (
	"errors"
	"fmt"
	"math"
	"slices"
)

// Fleet describes the searchers that can hold segments.
type Fleet struct {
	Zones    map[string]string // the data centre of each searcher
	Replicas int               // the number of holders that each serving segment needs; at least 1
}

// zoneCount returns the number of distinct data centres.
func (f Fleet) zoneCount() int {
	seen := make(map[string]struct{})
	for _, z := range f.Zones {
		seen[z] = struct{}{}
	}
	return len(seen)
}

// maxFaults is the number of faults that Check lists; further ones are only counted.
const maxFaults = 20

// Check returns all faults of the layout on a fleet, joined, or nil. It checks the
// segment numbers, the lineages, and that each segment that is not Retiring has enough
// holders, in different data centres as far as there are enough of these. It need not
// check that each key is in exactly one serving segment: this is true of every Layout.
func (l *Layout) Check(f Fleet) error {
	var faults []error
	omitted := 0
	addFault := func(format string, args ...any) {
		if len(faults) < maxFaults {
			faults = append(faults, fmt.Errorf(format, args...))
		} else {
			omitted++
		}
	}
	zones := min(max(f.Replicas, 1), max(f.zoneCount(), 1))
	var seen []string
	for _, s := range l.segments {
		if s.ID >= l.nextID {
			addFault("segment %d: number is not assigned yet, the next is %d", s.ID, l.nextID)
		}
		for listIndex, list := range [...][]string{s.Holders, s.Next, s.Prev} {
			for i, h := range list {
				_, known := f.Zones[h]
				if i > 0 && list[i-1] == h {
					addFault("segment %d: searcher %q is listed twice in %s", s.ID, h, listNames[listIndex])
				}
				// Previous holders may have left the fleet.
				if !known && listIndex != prevList {
					addFault("segment %d: %w: %s lists searcher %q", s.ID, ErrUnknown, listNames[listIndex], h)
				}
			}
		}
		if s.State == Retiring {
			continue
		}
		for listIndex, list := range [...][]string{s.Holders, s.Next} {
			if listIndex == nextList && len(list) == 0 {
				continue
			}
			if len(list) < max(f.Replicas, 1) {
				addFault("segment %d (%v): %w: %d in %s, want %d", s.ID, s.State, ErrHolders, len(list), listNames[listIndex], max(f.Replicas, 1))
				continue
			}
			seen = seen[:0]
			for _, h := range list {
				if z := f.Zones[h]; !slices.Contains(seen, z) {
					seen = append(seen, z)
				}
			}
			if len(seen) < zones {
				addFault("segment %d (%v): %w: %d for %s, want %d", s.ID, s.State, ErrZones, len(seen), listNames[listIndex], zones)
			}
		}
	}
	for _, lineage := range l.lineages {
		sum := 0.0
		for _, s := range lineage.Successors {
			sum += s.Weight
			if !(s.Weight > 0) || l.Segment(s.Segment) == nil && l.Lineage(s.Segment) == nil {
				addFault("segment %d: %w: share %v to segment %d", lineage.From, ErrLineage, s.Weight, s.Segment)
			}
		}
		if math.Abs(sum-1) > weightTolerance {
			addFault("segment %d: %w: the shares add up to %v", lineage.From, ErrLineage, sum)
		}
	}
	if omitted > 0 {
		faults = append(faults, fmt.Errorf("and %d more faults", omitted))
	}
	return errors.Join(faults...)
}

// Indices into listNames of the lists of a Segment for which Check makes exceptions.
const (
	nextList = 1
	prevList = 2
)

var listNames = [...]string{"holders", "next", "prev"}

// DifferenceKind is the kind of a difference between two epochs.
type DifferenceKind uint8

// The kinds of differences between two epochs.
const (
	Added          DifferenceKind = iota // the segment is new
	Removed                              // the segment no longer exists
	HoldersChanged                       // its holders, next holders or previous holders are different
	StateChanged                         // its state is different
	KeysChanged                          // its key range is different; the changes of this package never do that
)

func (k DifferenceKind) String() string {
	return [...]string{"added", "removed", "moved", "turned", "resized"}[k]
}

// Difference is one difference between two epochs. Old is nil if Kind is Added, New is
// nil if it is Removed.
type Difference struct {
	Kind     DifferenceKind
	ID       SegmentID
	Old, New *Segment
}

func (d Difference) String() string {
	switch d.Kind {
	case Added:
		return fmt.Sprintf("+ segment %d %v %v on %v", d.ID, d.New.State, d.New.Keys, d.New.Holders)
	case Removed:
		return fmt.Sprintf("- segment %d %v %v", d.ID, d.Old.State, d.Old.Keys)
	case StateChanged:
		return fmt.Sprintf("~ segment %d: %v, was %v", d.ID, d.New.State, d.Old.State)
	case KeysChanged:
		return fmt.Sprintf("~ segment %d: %v, was %v", d.ID, d.New.Keys, d.Old.Keys)
	default:
		return fmt.Sprintf("~ segment %d: holders %v next %v prev %v, was %v next %v prev %v",
			d.ID, d.New.Holders, d.New.Next, d.New.Prev, d.Old.Holders, d.Old.Next, d.Old.Prev)
	}
}

// Diff returns the differences between two epochs, ordered by segment number. A
// segment that both share in memory is not compared field by field.
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
				out = append(out, Difference{KeysChanged, a.ID, a, b})
			}
			if a.State != b.State {
				out = append(out, Difference{StateChanged, a.ID, a, b})
			}
			if !slices.Equal(a.Holders, b.Holders) || !slices.Equal(a.Next, b.Next) || !slices.Equal(a.Prev, b.Prev) {
				out = append(out, Difference{HoldersChanged, a.ID, a, b})
			}
		}
	}
	return out
}
