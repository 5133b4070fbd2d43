// Package layout describes how a catalogue is divided into segments: the key range
// of each segment, the searchers that hold it, and how both change while queries run.
//
// A Layout is one epoch and is immutable. A change creates the next epoch, which
// shares all unchanged data with the previous one. Segment numbers are never reused,
// so a segment number in a query, an answer or a log line always refers to the same
// keys. When a segment is replaced, its lineage records its successors, and Translate
// follows the lineage to map the parts of a query to current segments.
//
// The package does no I/O, reads no clock and starts no goroutines. A Layout is
// safe for concurrent use.
package layout

import (
	"cmp"
	"errors"
	"fmt"
	"iter"
	"slices"
)

// SegmentID is the number of a segment. Numbers start at 0 and are never reused.
type SegmentID uint32

// Epoch is the version number of a layout. Epochs are consecutive and start at 1.
type Epoch uint64

// Key is a key of the catalogue. Keys are ordered bytewise, like strings.
type Key string

// Range is the half-open key range from From (inclusive) to To (exclusive). An empty
// From means no lower bound, an empty To no upper bound.
type Range struct{ From, To Key }

// All is the range of all keys.
var All = Range{}

// Contains reports whether the range contains key k.
func (r Range) Contains(k Key) bool { return k >= r.From && (r.To == "" || k < r.To) }

// Empty reports whether the range contains no keys.
func (r Range) Empty() bool { return r.To != "" && r.From >= r.To }

func (r Range) String() string { return fmt.Sprintf("[%q, %q)", string(r.From), string(r.To)) }

// State is the state of a segment.
type State uint8

// The states of a segment. Each key is in exactly one Serving segment.
const (
	Preparing State = iota // being filled; not yet used by queries
	Serving                // used by queries of this epoch
	Retiring               // used by queries of older epochs only
	stateCount
)

var stateNames = [stateCount]string{"preparing", "serving", "retiring"}

func (s State) String() string {
	if s < stateCount {
		return stateNames[s]
	}
	return fmt.Sprintf("State(%d)", uint8(s))
}

// ParseState parses the name of a state.
func ParseState(name string) (State, error) {
	for s, n := range stateNames {
		if n == name {
			return State(s), nil
		}
	}
	return 0, fmt.Errorf("state %q, want preparing, serving or retiring", name)
}

// Segment is one segment in one epoch. It must not be modified once it is in a Layout.
type Segment struct {
	ID    SegmentID
	Keys  Range
	State State

	// Holders are the searchers that serve the segment. Next are the searchers that
	// are being filled to replace them. Prev are former holders that still answer
	// queries of older epochs. All three are sorted.
	Holders, Next, Prev []string

	Parents []SegmentID // if Preparing: the segments whose keys it takes over
}

// clone returns a shallow copy whose fields may be replaced.
func (s *Segment) clone() *Segment {
	c := *s
	return &c
}

func (s *Segment) equal(o *Segment) bool {
	return s == o || s.ID == o.ID && s.Keys == o.Keys && s.State == o.State &&
		slices.Equal(s.Holders, o.Holders) && slices.Equal(s.Next, o.Next) && slices.Equal(s.Prev, o.Prev) &&
		slices.Equal(s.Parents, o.Parents)
}

// Successor is a segment that has taken over keys of another segment, with the
// fraction of that segment's weight that it received.
type Successor struct {
	Segment SegmentID
	Weight  float64 // above 0; the weights of one Lineage add up to 1
}

// Lineage records the replacement of a segment: from epoch Since on, the keys of
// segment From are served by its successors.
type Lineage struct {
	From       SegmentID
	Since      Epoch
	Successors []Successor
}

// Layout is one epoch. The zero value is not a valid layout: First, Restore and
// Edit create them.
type Layout struct {
	epoch    Epoch
	nextID   SegmentID  // the number that the next new segment gets
	segments []*Segment // by number
	serving  []*Segment // by key
	lineages []*Lineage // by number
}

// Reissue returns a copy of l with the epoch that follows that of the layout in
// force, so that an older layout can be restored under an epoch not used before.
// Numbers of segments that exist only in the layout in force are not assigned again;
// queries that name these segments are rejected.
func (l *Layout) Reissue(inForce *Layout) *Layout {
	again := *l
	again.epoch, again.nextID = inForce.epoch+1, max(l.nextID, inForce.nextID)
	return &again
}

// First creates the first epoch from the given segments, which all become Serving. Their
// numbers may have gaps.
func First(segments ...Segment) (*Layout, error) {
	l := &Layout{}
	e := l.Edit()
	for i := range segments {
		s := segments[i]
		s.State = Serving
		e.nextID = max(e.nextID, s.ID+1)
		e.put(&s)
	}
	return e.Commit()
}

// Epoch returns the epoch of the layout.
func (l *Layout) Epoch() Epoch { return l.epoch }

// NextID returns the number that the next new segment will get.
func (l *Layout) NextID() SegmentID { return l.nextID }

// Len returns the number of segments in all states.
func (l *Layout) Len() int { return len(l.segments) }

// Segments returns all segments, ordered by number.
func (l *Layout) Segments() iter.Seq[*Segment] { return slices.Values(l.segments) }

// Serving returns the serving segments, ordered by key.
func (l *Layout) Serving() iter.Seq[*Segment] { return slices.Values(l.serving) }

// Lineages returns the lineages of all replaced segments, ordered by the number of
// the replaced segment.
func (l *Layout) Lineages() iter.Seq[*Lineage] { return slices.Values(l.lineages) }

// Segment returns the segment with the given number, or nil if there is none.
func (l *Layout) Segment(id SegmentID) *Segment {
	if i, ok := search(l.segments, id); ok {
		return l.segments[i]
	}
	return nil
}

// Lineage returns the lineage of a replaced segment, or nil if the number has none.
func (l *Layout) Lineage(id SegmentID) *Lineage {
	i, ok := slices.BinarySearchFunc(l.lineages, id, func(n *Lineage, id SegmentID) int { return cmp.Compare(n.From, id) })
	if ok {
		return l.lineages[i]
	}
	return nil
}

// Find returns the serving segment that contains key k.
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

// search looks up a segment number in a list that is sorted by number. The numbers
// mostly have no gaps, so the index equal to the number is tried first.
func search(list []*Segment, id SegmentID) (int, bool) {
	if i := int(id); i < len(list) && list[i].ID == id {
		return i, true
	}
	return slices.BinarySearchFunc(list, id, func(s *Segment, id SegmentID) int { return cmp.Compare(s.ID, id) })
}

// maxLineages bounds the number of lineages kept. The oldest ones are removed first; a
// query that names a segment whose lineage was removed gets ErrRemoved. At one change
// per minute the bound is reached in six weeks; the lineages then take 6 MB.
const maxLineages = 1 << 16

// Edit collects modifications of a layout; Commit creates the next epoch from them.
type Edit struct {
	base     *Layout
	nextID   SegmentID
	segments map[SegmentID]*Segment // new and replaced segments; nil: removed
	lineages map[SegmentID]*Lineage // new lineages
}

// Edit starts an edit of the layout. The layout itself is not modified.
func (l *Layout) Edit() *Edit {
	return &Edit{base: l, nextID: l.nextID, segments: make(map[SegmentID]*Segment), lineages: make(map[SegmentID]*Lineage)}
}

// put adds or replaces a segment and sorts its lists of searchers.
func (e *Edit) put(s *Segment) {
	for _, list := range []*[]string{&s.Holders, &s.Next, &s.Prev} {
		if !slices.IsSorted(*list) {
			*list = slices.Sorted(slices.Values(*list))
		}
	}
	e.segments[s.ID] = s
}

// add creates a segment with the next free number.
func (e *Edit) add(keys Range, state State, holders []string) *Segment {
	s := &Segment{ID: e.nextID, Keys: keys, State: state, Holders: slices.Clone(holders)}
	e.nextID++
	e.put(s)
	return s
}

// remove removes a segment.
func (e *Edit) remove(id SegmentID) { e.segments[id] = nil }

// addLineage records the successors of a segment from the next epoch on.
func (e *Edit) addLineage(id SegmentID, successors ...Successor) {
	e.lineages[id] = &Lineage{From: id, Since: e.base.epoch + 1, Successors: successors}
}

// Commit creates the next epoch. It fails if a key would be in no serving segment or
// in two of them. Check verifies the conditions that depend on the fleet.
func (e *Edit) Commit() (*Layout, error) {
	l := &Layout{epoch: e.base.epoch + 1, nextID: e.nextID}
	l.segments = mergeByID(e.base.segments, e.segments, func(s *Segment) SegmentID { return s.ID })
	l.lineages = mergeByID(e.base.lineages, e.lineages, func(n *Lineage) SegmentID { return n.From })
	l.trimLineages(len(l.lineages) - maxLineages)
	if err := l.orderServing(e.base); err != nil {
		return nil, err
	}
	return l, nil
}

// trimLineages removes the n oldest lineages. A lineage that names a successor is
// older than the successor's own lineage, so no remaining lineage refers to a removed
// one. The list is not shared with another epoch: it can be too long only if Commit
// has just created it.
func (l *Layout) trimLineages(n int) {
	for ; n > 0; n-- {
		oldest := 0
		for i, lineage := range l.lineages {
			if lineage.Since < l.lineages[oldest].Since {
				oldest = i
			}
		}
		l.lineages = slices.Delete(l.lineages, oldest, oldest+1)
	}
}

// mergeByID returns a copy of a list that is sorted by number, with the given updates
// applied: an element is inserted, replaced or, if the update is nil, removed. The list
// itself is not modified; without updates it is returned as it is.
func mergeByID[T any](list []*T, updates map[SegmentID]*T, id func(*T) SegmentID) []*T {
	if len(updates) == 0 {
		return list
	}
	out := make([]*T, 0, len(list)+len(updates))
	ids := make([]SegmentID, 0, len(updates))
	for n := range updates {
		ids = append(ids, n)
	}
	slices.Sort(ids)
	for _, n := range ids {
		i, found := slices.BinarySearchFunc(list, n, func(x *T, n SegmentID) int { return cmp.Compare(id(x), n) })
		out = append(out, list[:i]...)
		if list = list[i:]; found {
			list = list[1:]
		}
		if x := updates[n]; x != nil {
			out = append(out, x)
		}
	}
	return append(out, list...)
}

// The errors for invalid layouts and changes.
var (
	ErrGap      = errors.New("keys that no serving segment holds")
	ErrOverlap  = errors.New("keys that two serving segments hold")
	ErrEmpty    = errors.New("empty key range")
	ErrHolders  = errors.New("too few holders")
	ErrZones    = errors.New("holders in too few data centres")
	ErrUnknown  = errors.New("unknown segment or searcher")
	ErrLineage  = errors.New("broken lineage")
	ErrConflict = errors.New("another change of the segment is in progress")
)

// orderServing sorts the serving segments by key and checks that each key is in
// exactly one. If they are the same as in the old layout, both layouts share one slice.
func (l *Layout) orderServing(old *Layout) error {
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
		return fmt.Errorf("%w: there is no serving segment", ErrGap)
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
