package layout

import "fmt"

// Restore creates a layout from its stored form, with the checks of Commit. The
// numbers of the segments must be below nextID.
func Restore(epoch Epoch, nextID SegmentID, segments []Segment, lineages []Lineage) (*Layout, error) {
	if epoch == 0 {
		return nil, fmt.Errorf("epoch 0, want 1 or more")
	}
	l := &Layout{epoch: epoch - 1}
	e := l.Edit()
	e.nextID = nextID
	for i := range segments {
		s := segments[i]
		if s.ID >= nextID {
			return nil, fmt.Errorf("segment %d: number is not assigned yet, the next is %d", s.ID, nextID)
		}
		if e.segments[s.ID] != nil {
			return nil, fmt.Errorf("segment %d is listed twice", s.ID)
		}
		e.put(&s)
	}
	for _, lineage := range lineages {
		if e.lineages[lineage.From] != nil {
			return nil, fmt.Errorf("lineage of segment %d is listed twice", lineage.From)
		}
		e.lineages[lineage.From] = &lineage
	}
	if len(lineages) > maxLineages {
		return nil, fmt.Errorf("%d lineages, want at most %d", len(lineages), maxLineages)
	}
	return e.Commit()
}
