package layout

import "fmt"

// Restore makes an epoch from what a file or store holds of it, and checks what
// Commit checks. The numbers of segments must be below next.
func Restore(epoch Epoch, next SegmentID, segments []Segment, lines []Line) (*Layout, error) {
	if epoch == 0 {
		return nil, fmt.Errorf("epoch 0, want 1 or more")
	}
	l := &Layout{epoch: epoch - 1}
	e := l.Edit()
	e.next = next
	for i := range segments {
		s := segments[i]
		if s.ID >= next {
			return nil, fmt.Errorf("segment %d: its number was not given out yet, the next is %d", s.ID, next)
		}
		if e.puts[s.ID] != nil {
			return nil, fmt.Errorf("segment %d stands there twice", s.ID)
		}
		e.put(&s)
	}
	for _, n := range lines {
		if e.line[n.From] != nil {
			return nil, fmt.Errorf("what became of segment %d stands there twice", n.From)
		}
		e.line[n.From] = &n
	}
	if len(lines) > maxLines {
		return nil, fmt.Errorf("%d segments of before, at most %d", len(lines), maxLines)
	}
	return e.Commit()
}
