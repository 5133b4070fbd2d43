package layout

import (
	"errors"
	"fmt"
)

// Part is a part of a query: a segment and its weight in the whole answer.
type Part struct {
	Segment SegmentID
	Weight  float64
}

// weightTolerance is the rounding error allowed in weights. A weight is a product of
// a few fractions, each exact to 1e-16.
const weightTolerance = 1e-9

// The errors for parts that cannot be translated.
var (
	ErrNoSegment      = errors.New("no such segment")          // its number was never assigned
	ErrRemoved        = errors.New("segment no longer exists") // its lineage is no longer kept, or it never served
	ErrPreparing      = errors.New("segment not in use yet")   // it is being prepared
	errLineageTooDeep = errors.New("lineage too deep")         // cannot happen: successors have higher numbers
)

// maxDepth bounds the number of lineages that are followed in a row from one segment.
const maxDepth = maxLineages

// Translate maps the parts of a query from another epoch to serving segments of this
// epoch. If all segments serve, it returns parts itself and does not allocate. A part
// for a split segment becomes one part for each successor, with its fraction of the
// weight; parts for merged segments become one part with the sum of their weights.
// The result has the order of parts; a merged part takes the position of the first.
func (l *Layout) Translate(parts []Part) (out []Part, changed bool, err error) {
	unchanged := 0
	for unchanged < len(parts) && l.serves(parts[unchanged].Segment) {
		unchanged++
	}
	if unchanged == len(parts) {
		return parts, false, nil
	}
	t := translation{layout: l, index: make(map[SegmentID]int)}
	for _, p := range parts {
		if err := t.add(p.Segment, p.Weight, 0); err != nil {
			return nil, false, fmt.Errorf("segment %d: %w", p.Segment, err)
		}
	}
	return t.parts, true, nil
}

func (l *Layout) serves(id SegmentID) bool {
	i, ok := search(l.segments, id)
	return ok && l.segments[i].State == Serving
}

// translation is the state of one call of Translate.
type translation struct {
	layout *Layout
	parts  []Part
	index  map[SegmentID]int // of a segment's part in parts
}

// add adds a part for a segment, or for its successors if it does not serve.
func (t *translation) add(id SegmentID, weight float64, depth int) error {
	if t.layout.serves(id) {
		if i, ok := t.index[id]; ok {
			t.parts[i].Weight += weight
		} else {
			t.index[id] = len(t.parts)
			t.parts = append(t.parts, Part{id, weight})
		}
		return nil
	}
	lineage := t.layout.Lineage(id)
	switch {
	case depth > maxDepth:
		return errLineageTooDeep
	case lineage != nil:
	case t.layout.Segment(id) != nil:
		return ErrPreparing
	case id < t.layout.nextID:
		return ErrRemoved
	default:
		return ErrNoSegment
	}
	for _, s := range lineage.Successors {
		if err := t.add(s.Segment, weight*s.Weight, depth+1); err != nil {
			return err
		}
	}
	return nil
}
