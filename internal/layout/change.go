package layout

import (
	"fmt"
	"slices"
)

// ChangeKind is a kind of change.
type ChangeKind uint8

// The kinds of changes.
const (
	Split ChangeKind = iota // one segment becomes two
	Merge                   // two neighbours become one
	Move                    // other searchers hold a segment
	changeKinds
)

var changeNames = [changeKinds]string{"split", "merge", "move"}

func (k ChangeKind) String() string {
	if k < changeKinds {
		return changeNames[k]
	}
	return fmt.Sprintf("ChangeKind(%d)", uint8(k))
}

// ParseChangeKind reads a kind's name.
func ParseChangeKind(name string) (ChangeKind, error) {
	for k, n := range changeNames {
		if n == name {
			return ChangeKind(k), nil
		}
	}
	return 0, fmt.Errorf("change %q, want split, merge or move", name)
}

// Change is one change to a layout. It goes through Prepare, CutOver and
// Retire, each of which makes an epoch; before CutOver, Abort takes it back.
type Change struct {
	Kind     ChangeKind
	Segments []SegmentID // Split, Move: one. Merge: two, the one with the lower keys first
	At       Key         // Split: the first key of the upper half
	Share    float64     // Split: the part of the weight that falls to the lower half, between 0 and 1
	Holders  [][]string  // Split: of the lower and the upper half. Merge, Move: one list
}

func (c Change) String() string {
	switch c.Kind {
	case Split:
		return fmt.Sprintf("split %d at %q", c.Segments, string(c.At))
	default:
		return fmt.Sprintf("%v %d", c.Kind, c.Segments)
	}
}

// check tells whether a change has the form that its kind wants.
func (c Change) check() error {
	segments, lists := 1, 1
	switch c.Kind {
	case Split:
		lists = 2
	case Merge:
		segments = 2
	case Move:
	default:
		return fmt.Errorf("unknown kind %d", c.Kind)
	}
	if len(c.Segments) != segments {
		return fmt.Errorf("%v: %d segments, want %d", c.Kind, len(c.Segments), segments)
	}
	if len(c.Holders) != lists {
		return fmt.Errorf("%v: %d lists of holders, want %d", c.Kind, len(c.Holders), lists)
	}
	for _, h := range c.Holders {
		if len(h) == 0 {
			return fmt.Errorf("%v: %w: none", c.Kind, ErrHolders)
		}
	}
	if c.Kind == Split && !(c.Share > 0 && c.Share < 1) {
		return fmt.Errorf("split: share %v, want between 0 and 1", c.Share)
	}
	return nil
}

// Prepare makes the epoch in which the heirs of a change are being filled, and
// returns their numbers; a Move has none. Nothing changes for queries.
func (l *Layout) Prepare(c Change) (*Layout, []SegmentID, error) {
	if err := c.check(); err != nil {
		return nil, nil, err
	}
	parents := make([]*Segment, len(c.Segments))
	for i, id := range c.Segments {
		parents[i] = l.Segment(id)
		switch s := parents[i]; {
		case s == nil:
			return nil, nil, fmt.Errorf("%v: segment %d: %w", c.Kind, id, ErrUnknown)
		case s.State != Serving:
			return nil, nil, fmt.Errorf("%v: segment %d is %v: %w", c.Kind, id, s.State, ErrConflict)
		case len(s.Next) > 0 || len(s.Prev) > 0 || l.heirs(id) != nil:
			return nil, nil, fmt.Errorf("%v: segment %d: %w", c.Kind, id, ErrConflict)
		}
	}
	e := l.Edit()
	var heirs []SegmentID
	heir := func(keys Range, holders []string) {
		s := e.add(keys, Preparing, holders)
		s.Of = slices.Clone(c.Segments)
		heirs = append(heirs, s.ID)
	}
	switch first := parents[0]; c.Kind {
	case Split:
		if !first.Keys.Holds(c.At) || c.At == first.Keys.From {
			return nil, nil, fmt.Errorf("split: key %q does not divide %v", string(c.At), first.Keys)
		}
		heir(Range{first.Keys.From, c.At}, c.Holders[0])
		heir(Range{c.At, first.Keys.To}, c.Holders[1])
	case Merge:
		second := parents[1]
		if first.Keys.To == "" || first.Keys.To != second.Keys.From {
			return nil, nil, fmt.Errorf("merge: segment %d %v does not come right before %d %v",
				first.ID, first.Keys, second.ID, second.Keys)
		}
		heir(Range{first.Keys.From, second.Keys.To}, c.Holders[0])
	case Move:
		s := first.clone()
		s.Next = slices.Sorted(slices.Values(c.Holders[0]))
		if slices.Equal(s.Next, s.Holders) {
			return nil, nil, fmt.Errorf("move: segment %d is held by %v already", s.ID, s.Holders)
		}
		e.put(s)
	}
	next, err := e.Commit()
	return next, heirs, err
}

// heirs are the segments that are being prepared in a segment's place.
func (l *Layout) heirs(of SegmentID) (out []SegmentID) {
	for _, s := range l.segments {
		if s.State == Preparing && slices.Contains(s.Of, of) {
			out = append(out, s.ID)
		}
	}
	return out
}

// CutOver makes the epoch in which the heirs serve. Those that had the keys
// before go on answering queries of older epochs: the parents of a Split or
// Merge are Retiring, the old holders of a Move are in Prev.
func (l *Layout) CutOver(c Change, heirs []SegmentID) (*Layout, error) {
	e := l.Edit()
	if c.Kind == Move {
		s := l.Segment(c.Segments[0])
		if s == nil || len(s.Next) == 0 {
			return nil, fmt.Errorf("move: segment %d is not prepared: %w", c.Segments[0], ErrUnknown)
		}
		s = s.clone()
		s.Holders, s.Next = s.Next, nil
		for _, old := range l.Segment(s.ID).Holders {
			if !slices.Contains(s.Holders, old) {
				s.Prev = append(s.Prev, old)
			}
		}
		e.put(s)
		return e.Commit()
	}
	for _, id := range heirs {
		s := l.Segment(id)
		if s == nil || s.State != Preparing {
			return nil, fmt.Errorf("%v: heir %d is not prepared: %w", c.Kind, id, ErrUnknown)
		}
		s = s.clone()
		s.State, s.Of = Serving, nil
		e.put(s)
	}
	for _, id := range c.Segments {
		s := l.Segment(id)
		if s == nil || s.State != Serving {
			return nil, fmt.Errorf("%v: segment %d does not serve: %w", c.Kind, id, ErrUnknown)
		}
		s = s.clone()
		s.State = Retiring
		e.put(s)
		if c.Kind == Split {
			e.inherit(id, Share{heirs[0], c.Share}, Share{heirs[1], 1 - c.Share})
		} else {
			e.inherit(id, Share{heirs[0], 1})
		}
	}
	return e.Commit()
}

// Retire makes the epoch in which nobody answers queries of before CutOver any
// more. It is for when the last of them has ended.
func (l *Layout) Retire(c Change) (*Layout, error) {
	e := l.Edit()
	for _, id := range c.Segments {
		switch s := l.Segment(id); {
		case s == nil && c.Kind == Move:
			// One that only gained holders left nobody behind, so another change may
			// have had the segment since.
		case s == nil:
			return nil, fmt.Errorf("%v: segment %d: %w", c.Kind, id, ErrUnknown)
		case c.Kind == Move:
			s = s.clone()
			s.Prev = nil
			e.put(s)
		case s.State != Retiring:
			return nil, fmt.Errorf("%v: segment %d is %v, not retiring: %w", c.Kind, id, s.State, ErrConflict)
		default:
			e.drop(id)
		}
	}
	return e.Commit()
}

// Abort makes the epoch in which a change that was not cut over has left
// nothing behind but the numbers of its heirs, which are not used again.
func (l *Layout) Abort(c Change, heirs []SegmentID) (*Layout, error) {
	e := l.Edit()
	if c.Kind == Move {
		s := l.Segment(c.Segments[0])
		if s == nil {
			return nil, fmt.Errorf("move: segment %d: %w", c.Segments[0], ErrUnknown)
		}
		s = s.clone()
		s.Next = nil
		e.put(s)
		return e.Commit()
	}
	for _, id := range heirs {
		s := l.Segment(id)
		if s == nil || s.State != Preparing {
			return nil, fmt.Errorf("%v: heir %d is past its cut-over: %w", c.Kind, id, ErrConflict)
		}
		e.drop(id)
	}
	return e.Commit()
}
