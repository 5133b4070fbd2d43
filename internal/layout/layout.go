// Package layout says which segments a catalogue is split into, which keys each
// covers and which searchers hold it, and how that changes while queries run.
//
// A Layout is one epoch: it never changes. A change makes the next epoch out of
// it, which shares with it all that stayed the same. Segments have numbers that
// are never used again, so a query, an answer or a log line that names a segment
// means the same keys for ever; what became of a number is kept as its lineage,
// along which Translate carries a query's parts.
//
// The package does no I/O, reads no clock and starts no goroutine. A Layout may
// be read from many goroutines at once.
package layout

import (
	"cmp"
	"errors"
	"fmt"
	"iter"
	"slices"
)

// SegmentID is a segment's number. Numbers start at 0 and are never used again.
type SegmentID uint32

// Epoch numbers the layouts, one after the other. The first is 1.
type Epoch uint64

// Key is a key of the catalogue. Keys are ordered as strings are, by bytes.
type Key string

// Range is the keys from From, included, to To, excluded. An empty From means
// from the first key on, an empty To up to the last and with it.
type Range struct{ From, To Key }

// All is the range of all keys.
var All = Range{}

// Holds tells that a key lies in the range.
func (r Range) Holds(k Key) bool { return k >= r.From && (r.To == "" || k < r.To) }

// Empty tells that no key lies in the range.
func (r Range) Empty() bool { return r.To != "" && r.From >= r.To }

func (r Range) String() string { return fmt.Sprintf("[%q, %q)", string(r.From), string(r.To)) }

// State is what a segment is for.
type State uint8

// The states of a segment. Of each key exactly one Serving segment holds it.
const (
	Preparing State = iota // being filled; queries do not name it yet
	Serving                // queries of this epoch name it
	Retiring               // only queries of older epochs name it
	states
)

var stateNames = [states]string{"preparing", "serving", "retiring"}

func (s State) String() string {
	if s < states {
		return stateNames[s]
	}
	return fmt.Sprintf("State(%d)", uint8(s))
}

// ParseState reads a state's name.
func ParseState(name string) (State, error) {
	for s, n := range stateNames {
		if n == name {
			return State(s), nil
		}
	}
	return 0, fmt.Errorf("state %q, want preparing, serving or retiring", name)
}

// Segment is one segment in one epoch. It is not changed once it is in a Layout.
type Segment struct {
	ID    SegmentID
	Keys  Range
	State State

	// Holders are the searchers that answer for it, sorted. Next are those that
	// are being filled to take their place, and Prev those that had it before
	// and still answer queries of older epochs.
	Holders, Next, Prev []string

	Of []SegmentID // Preparing: those whose keys it takes over
}

// clone returns a copy that may be changed.
func (s *Segment) clone() *Segment {
	c := *s
	return &c
}

func (s *Segment) equal(o *Segment) bool {
	return s == o || s.ID == o.ID && s.Keys == o.Keys && s.State == o.State &&
		slices.Equal(s.Holders, o.Holders) && slices.Equal(s.Next, o.Next) && slices.Equal(s.Prev, o.Prev) &&
		slices.Equal(s.Of, o.Of)
}

// Share is a segment and the part of another's weight that fell to it.
type Share struct {
	To     SegmentID
	Weight float64 // above 0; those of one Line add up to 1
}

// Line is what became of a segment's number: its keys are served by others from
// an epoch on.
type Line struct {
	From  SegmentID
	Since Epoch
	Heirs []Share
}

// Layout is one epoch. Its zero value is no layout; see First and Edit.
type Layout struct {
	epoch    Epoch
	next     SegmentID  // the number that the next new segment gets
	segments []*Segment // by number
	serving  []*Segment // by key
	lines    []*Line    // by number
}

// Reissue makes a new epoch of l, after the one that is in force: what l says
// comes back under a number that no epoch had. Numbers of segments that only the
// one in force has are not given out again; queries that name them are turned away.
func (l *Layout) Reissue(inForce *Layout) *Layout {
	again := *l
	again.epoch, again.next = inForce.epoch+1, max(l.next, inForce.next)
	return &again
}

// First makes the first epoch out of segments that serve. Their numbers may
// have gaps.
func First(segments ...Segment) (*Layout, error) {
	l := &Layout{}
	e := l.Edit()
	for i := range segments {
		s := segments[i]
		s.State = Serving
		e.next = max(e.next, s.ID+1)
		e.put(&s)
	}
	return e.Commit()
}

// Epoch is the layout's number.
func (l *Layout) Epoch() Epoch { return l.epoch }

// NextID is the number that the next new segment will get.
func (l *Layout) NextID() SegmentID { return l.next }

// Len is how many segments there are, in all states.
func (l *Layout) Len() int { return len(l.segments) }

// Segments are all segments in the order of their numbers.
func (l *Layout) Segments() iter.Seq[*Segment] { return slices.Values(l.segments) }

// Serving are those that serve in the order of their keys.
func (l *Layout) Serving() iter.Seq[*Segment] { return slices.Values(l.serving) }

// Lines are the lineage in the order of the numbers that it begins at.
func (l *Layout) Lines() iter.Seq[*Line] { return slices.Values(l.lines) }

// Segment returns a segment by its number, or nil.
func (l *Layout) Segment(id SegmentID) *Segment {
	if i, ok := find(l.segments, id); ok {
		return l.segments[i]
	}
	return nil
}

// Line returns what became of a number, or nil where it is in use or not known.
func (l *Layout) Line(id SegmentID) *Line {
	i, ok := slices.BinarySearchFunc(l.lines, id, func(n *Line, id SegmentID) int { return cmp.Compare(n.From, id) })
	if ok {
		return l.lines[i]
	}
	return nil
}

// Find returns the serving segment that holds a key.
func (l *Layout) Find(k Key) *Segment {
	i, ok := slices.BinarySearchFunc(l.serving, k, func(s *Segment, k Key) int { return cmp.Compare(s.Keys.From, k) })
	if !ok {
		i--
	}
	if i < 0 {
		return nil
	}
	return l.serving[i]
}

// find looks for a number. Numbers are mostly without gaps, so the place that
// the number itself names is tried first.
func find(list []*Segment, id SegmentID) (int, bool) {
	if i := int(id); i < len(list) && list[i].ID == id {
		return i, true
	}
	return slices.BinarySearchFunc(list, id, func(s *Segment, id SegmentID) int { return cmp.Compare(s.ID, id) })
}

// maxLines bounds the lineage. The oldest lines are forgotten first: clients
// that name one are told that it no longer exists. A change a minute fills it in
// six weeks, and it takes 6 MB.
const maxLines = 1 << 16

// Edit is a change in the making.
type Edit struct {
	from *Layout
	next SegmentID
	puts map[SegmentID]*Segment // nil: dropped
	line map[SegmentID]*Line
}

// Edit begins a change. The layout itself stays as it is.
func (l *Layout) Edit() *Edit {
	return &Edit{from: l, next: l.next, puts: make(map[SegmentID]*Segment), line: make(map[SegmentID]*Line)}
}

func (e *Edit) put(s *Segment) {
	for _, list := range []*[]string{&s.Holders, &s.Next, &s.Prev} {
		if !slices.IsSorted(*list) {
			*list = slices.Sorted(slices.Values(*list))
		}
	}
	e.puts[s.ID] = s
}

// add makes a new segment with a number of its own.
func (e *Edit) add(keys Range, state State, holders []string) *Segment {
	s := &Segment{ID: e.next, Keys: keys, State: state, Holders: slices.Clone(holders)}
	e.next++
	e.put(s)
	return s
}

func (e *Edit) drop(id SegmentID) { e.puts[id] = nil }

func (e *Edit) inherit(id SegmentID, heirs ...Share) {
	e.line[id] = &Line{From: id, Since: e.from.epoch + 1, Heirs: heirs}
}

// Commit makes the next epoch. It returns an error, and no layout, where the
// change would leave a key without a serving segment or with two; see Check for
// what does not depend on the layout alone.
func (e *Edit) Commit() (*Layout, error) {
	l := &Layout{epoch: e.from.epoch + 1, next: e.next}
	l.segments = merge(e.from.segments, e.puts, func(s *Segment) SegmentID { return s.ID })
	l.lines = merge(e.from.lines, e.line, func(n *Line) SegmentID { return n.From })
	l.forget(len(l.lines) - maxLines)
	if err := l.order(e.from); err != nil {
		return nil, err
	}
	return l, nil
}

// forget drops the lines that are oldest. What leads to an heir is older than
// the heir's own line, so none is left that leads nowhere. The list is not shared:
// it can only be too long where Commit has just made it.
func (l *Layout) forget(n int) {
	for ; n > 0; n-- {
		oldest := 0
		for i, line := range l.lines {
			if line.Since < l.lines[oldest].Since {
				oldest = i
			}
		}
		l.lines = slices.Delete(l.lines, oldest, oldest+1)
	}
}

// merge returns a list sorted by number with some elements put in, replaced or,
// where they are nil, left out. The list itself stays as it is.
func merge[T any](list []*T, puts map[SegmentID]*T, id func(*T) SegmentID) []*T {
	if len(puts) == 0 {
		return list
	}
	out := make([]*T, 0, len(list)+len(puts))
	fresh := make([]SegmentID, 0, len(puts))
	for n := range puts {
		fresh = append(fresh, n)
	}
	slices.Sort(fresh)
	for _, n := range fresh {
		i, found := slices.BinarySearchFunc(list, n, func(x *T, n SegmentID) int { return cmp.Compare(id(x), n) })
		out = append(out, list[:i]...)
		if list = list[i:]; found {
			list = list[1:]
		}
		if x := puts[n]; x != nil {
			out = append(out, x)
		}
	}
	return append(out, list...)
}

// The reasons for which a layout is not valid.
var (
	ErrGap      = errors.New("keys that no serving segment holds")
	ErrOverlap  = errors.New("keys that two serving segments hold")
	ErrEmpty    = errors.New("a segment without keys")
	ErrHolders  = errors.New("too few holders")
	ErrZones    = errors.New("holders in too few data centres")
	ErrUnknown  = errors.New("unknown segment or searcher")
	ErrLineage  = errors.New("broken lineage")
	ErrConflict = errors.New("another change holds the segment")
)

// order sorts the serving segments by key and checks that each key has exactly
// one. Where the serving ones are those of old, its order is shared.
func (l *Layout) order(old *Layout) error {
	serving := make([]*Segment, 0, len(old.serving)+2)
	for _, s := range l.segments {
		if s.Keys.Empty() {
			return fmt.Errorf("segment %d: %w: %v", s.ID, ErrEmpty, s.Keys)
		}
		if s.State == Serving {
			serving = append(serving, s)
		}
	}
	slices.SortFunc(serving, func(a, b *Segment) int { return cmp.Compare(a.Keys.From, b.Keys.From) })
	if len(serving) == 0 {
		return fmt.Errorf("%w: there is no segment", ErrGap)
	}
	end, last := Key(""), (*Segment)(nil)
	for i, s := range serving {
		switch {
		case i > 0 && last.Keys.To == "" || s.Keys.From < end:
			return fmt.Errorf("segments %d and %d: %w: %v and %v", last.ID, s.ID, ErrOverlap, last.Keys, s.Keys)
		case s.Keys.From > end:
			return fmt.Errorf("before segment %d: %w: [%q, %q)", s.ID, ErrGap, string(end), string(s.Keys.From))
		}
		end, last = s.Keys.To, s
	}
	if end != "" {
		return fmt.Errorf("after segment %d: %w: from %q on", last.ID, ErrGap, string(end))
	}
	if slices.Equal(serving, old.serving) {
		serving = old.serving
	}
	l.serving = serving
	return nil
}
