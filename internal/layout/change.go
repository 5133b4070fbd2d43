package layout

import (
	"fmt"
	"slices"
)

// ChangeKind is the kind of a change to a layout.
type ChangeKind uint8

// The kinds of changes to a layout.
const (
	Split ChangeKind = iota // replaces one segment by two
	Merge                   // replaces two adjacent segments by one
	Move                    // moves a segment to other searchers
	changeKindCount
)

var changeKindNames = [changeKindCount]string{"split", "merge", "move"}

func (k ChangeKind) String() string {
	if k < changeKindCount {
		return changeKindNames[k]
	}
	return fmt.Sprintf("ChangeKind(%d)", uint8(k))
}

// ParseChangeKind parses the name of a kind of change.
func ParseChangeKind(name string) (ChangeKind, error) {
	for k, n := range changeKindNames {
		if n == name {
			return ChangeKind(k), nil
		}
	}
	return 0, fmt.Errorf("change %q, want split, merge or move", name)
}

// Change is one change to a layout. It takes three steps, Prepare, CutOver and
// Retire, each of which creates an epoch. Between Prepare and CutOver, Abort cancels it.
type Change struct {
	Kind     ChangeKind
	Segments []SegmentID // Split, Move: one. Merge: two, the one with the lower keys first
	At       Key         // Split: the first key of the upper half
	Share    float64     // Split: the fraction of the weight that the lower half gets, between 0 and 1
	Holders  [][]string  // Split: two lists, for the lower and the upper half. Merge, Move: one list
}

func (c Change) String() string {
	switch c.Kind {
	case Split:
		return fmt.Sprintf("split %d at %q", c.Segments, string(c.At))
	default:
		return fmt.Sprintf("%v %d", c.Kind, c.Segments)
	}
}

// validate returns an error if the fields of the change do not suit its kind.
func (c Change) validate() error {
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
			return fmt.Errorf("%v: %w: found none, want at least one", c.Kind, ErrHolders)
		}
	}
	if c.Kind == Split && !(c.Share > 0 && c.Share < 1) {
		return fmt.Errorf("split: share %v, want between 0 and 1", c.Share)
	}
	return nil
}

// Prepare creates the epoch in which the successor segments of a change are filled. It
// returns their numbers; a Move has none. Queries are not affected yet.
func (l *Layout) Prepare(c Change) (*Layout, []SegmentID, error) {
	if err := c.validate(); err != nil {
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
		case len(s.Next) > 0 || len(s.Prev) > 0 || l.successorsOf(id) != nil:
			return nil, nil, fmt.Errorf("%v: segment %d: %w", c.Kind, id, ErrConflict)
		}
	}
	e := l.Edit()
	var successors []SegmentID
	addSuccessor := func(keys Range, holders []string) {
		s := e.add(keys, Preparing, holders)
		s.Parents = slices.Clone(c.Segments)
		successors = append(successors, s.ID)
	}
	switch first := parents[0]; c.Kind {
	case Split:
		if !first.Keys.Contains(c.At) || c.At == first.Keys.From {
			return nil, nil, fmt.Errorf("split: key %q does not divide %v", string(c.At), first.Keys)
		}
		addSuccessor(Range{first.Keys.From, c.At}, c.Holders[0])
		addSuccessor(Range{c.At, first.Keys.To}, c.Holders[1])
	case Merge:
		second := parents[1]
		if first.Keys.To == "" || first.Keys.To != second.Keys.From {
			return nil, nil, fmt.Errorf("merge: segment %d %v is not directly followed by segment %d %v",
				first.ID, first.Keys, second.ID, second.Keys)
		}
		addSuccessor(Range{first.Keys.From, second.Keys.To}, c.Holders[0])
	case Move:
		s := first.clone()
		s.Next = slices.Sorted(slices.Values(c.Holders[0]))
		if slices.Equal(s.Next, s.Holders) {
			return nil, nil, fmt.Errorf("move: segment %d is already held by %v", s.ID, s.Holders)
		}
		e.put(s)
	}
	next, err := e.Commit()
	return next, successors, err
}

// successorsOf returns the segments that are being prepared to replace a segment.
func (l *Layout) successorsOf(of SegmentID) (out []SegmentID) {
	for _, s := range l.segments {
		if s.State == Preparing && slices.Contains(s.Parents, of) {
			out = append(out, s.ID)
		}
	}
	return out
}

// CutOver creates the epoch in which the successors serve. The former holders
// continue to answer queries of older epochs: the parents of a Split or Merge become
// Retiring, and the old holders of a Move are listed in Prev.
func (l *Layout) CutOver(c Change, successors []SegmentID) (*Layout, error) {
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
	for _, id := range successors {
		s := l.Segment(id)
		if s == nil || s.State != Preparing {
			return nil, fmt.Errorf("%v: successor %d is not prepared: %w", c.Kind, id, ErrUnknown)
		}
		s = s.clone()
		s.State, s.Parents = Serving, nil
		e.put(s)
	}
	for _, id := range c.Segments {
		s := l.Segment(id)
		if s == nil || s.State != Serving {
			return nil, fmt.Errorf("%v: segment %d is not serving: %w", c.Kind, id, ErrUnknown)
		}
		s = s.clone()
		s.State = Retiring
		e.put(s)
		if c.Kind == Split {
			e.addLineage(id, Successor{successors[0], c.Share}, Successor{successors[1], 1 - c.Share})
		} else {
			e.addLineage(id, Successor{successors[0], 1})
		}
	}
	return e.Commit()
}

// Retire creates the epoch in which queries from before CutOver are no longer
// answered. It is called when the last of these queries has ended.
func (l *Layout) Retire(c Change) (*Layout, error) {
	e := l.Edit()
	for _, id := range c.Segments {
		switch s := l.Segment(id); {
		case s == nil && c.Kind == Move:
			// A move that only added holders leaves no previous holders, so another
			// change may already have replaced the segment.
		case s == nil:
			return nil, fmt.Errorf("%v: segment %d: %w", c.Kind, id, ErrUnknown)
		case c.Kind == Move:
			s = s.clone()
			s.Prev = nil
			e.put(s)
		case s.State != Retiring:
			return nil, fmt.Errorf("%v: segment %d is %v, not retiring: %w", c.Kind, id, s.State, ErrConflict)
		default:
			e.remove(id)
		}
	}
	return e.Commit()
}

// Abort creates the epoch in which a change that was not cut over is undone. The
// numbers of its successors are not reused.
func (l *Layout) Abort(c Change, successors []SegmentID) (*Layout, error) {
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
	for _, id := range successors {
		s := l.Segment(id)
		if s == nil || s.State != Preparing {
			return nil, fmt.Errorf("%v: successor %d is already cut over: %w", c.Kind, id, ErrConflict)
		}
		e.remove(id)
	}
	return e.Commit()
}
