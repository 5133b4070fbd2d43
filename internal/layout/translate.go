package layout

import (
	"errors"
	"fmt"
)

// Part is a part of a query: a segment and its share of the whole answer.
type Part struct {
	Segment SegmentID
	Weight  float64
}

// weightSlack is how far weights may be off through rounding. A weight is a
// product of few shares, each exact to 1e-16.
const weightSlack = 1e-9

// The reasons for which a part can't be translated.
var (
	ErrNoSegment = errors.New("no such segment")           // its number was never given out
	ErrForgotten = errors.New("a segment that is no more") // its lineage is not kept any more, or it never served
	ErrNotYet    = errors.New("a segment not in use yet")  // it is being prepared
	errDeep      = errors.New("lineage that does not end") // can't be: heirs have higher numbers
)

// maxDepth bounds the lines that are followed from one number.
const maxDepth = maxLines

// Translate returns the parts that ask, in this epoch, for what parts ask for.
// Where all of them serve, that is parts itself, and nothing is allocated. A
// segment that was split becomes its heirs, each with its share of the weight;
// several that were merged become one part, with the sum of their weights. The
// order is that of the parts, the first mention counting.
func (l *Layout) Translate(parts []Part) (out []Part, changed bool, err error) {
	same := 0
	for same < len(parts) && l.serves(parts[same].Segment) {
		same++
	}
	if same == len(parts) {
		return parts, false, nil
	}
	t := translation{l: l, at: make(map[SegmentID]int)}
	for _, p := range parts {
		if err := t.add(p.Segment, p.Weight, 0); err != nil {
			return nil, false, fmt.Errorf("segment %d: %w", p.Segment, err)
		}
	}
	return t.parts, true, nil
}

func (l *Layout) serves(id SegmentID) bool {
	i, ok := find(l.segments, id)
	return ok && l.segments[i].State == Serving
}

type translation struct {
	l     *Layout
	parts []Part
	at    map[SegmentID]int
}

func (t *translation) add(id SegmentID, weight float64, depth int) error {
	if t.l.serves(id) {
		if i, ok := t.at[id]; ok {
			t.parts[i].Weight += weight
		} else {
			t.at[id] = len(t.parts)
			t.parts = append(t.parts, Part{id, weight})
		}
		return nil
	}
	line := t.l.Line(id)
	switch {
	case depth > maxDepth:
		return errDeep
	case line != nil:
	case t.l.Segment(id) != nil:
		return ErrNotYet
	case id < t.l.next:
		return ErrForgotten
	default:
		return ErrNoSegment
	}
	for _, h := range line.Heirs {
		if err := t.add(h.To, weight*h.Weight, depth+1); err != nil {
			return err
		}
	}
	return nil
}
