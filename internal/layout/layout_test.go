package layout

import (
	"errors"
	"fmt"
	"math"
	"runtime"
	"slices"
	"strings"
	"testing"

	"pgregory.net/rapid"

	"eiderwinch/internal/trial/fixedseed"
)

func TestMain(m *testing.M) { fixedseed.Main(m) }

// newTestLayout returns a layout of n segments with equal key ranges, on a fleet with the
// given number of searchers in three zones.
func newTestLayout(t testing.TB, n, searchers int) (*Layout, Fleet) {
	t.Helper()
	f := Fleet{Zones: make(map[string]string), Replicas: 3}
	name := func(i int) string { return fmt.Sprintf("s%04d", i%searchers) }
	for i := range searchers {
		f.Zones[name(i)] = fmt.Sprint("z", i%3)
	}
	segments := make([]Segment, n)
	for i := range segments {
		segments[i] = Segment{ID: SegmentID(i), Keys: Range{key(i), key(i + 1)}, Holders: []string{name(i % (searchers - 2)), name(i%(searchers-2) + 1), name(i%(searchers-2) + 2)}}
	}
	segments[0].Keys.From, segments[n-1].Keys.To = "", ""
	l, err := First(segments...)
	if err != nil {
		t.Fatal(err)
	}
	if err := l.Check(f); err != nil {
		t.Fatal(err)
	}
	return l, f
}

func key(i int) Key { return Key(fmt.Sprintf("k%06d", i)) }

// First must reject layouts in which a key is in no segment or in two, and empty
// segments. Numbers may have gaps and come in any order.
func TestFirstRejectsInvalidLayouts(t *testing.T) {
	at := func(id SegmentID, from, to Key) Segment { return Segment{ID: id, Keys: Range{from, to}} }
	for name, c := range map[string]struct {
		segments []Segment
		want     error
	}{
		"nothing":           {nil, ErrGap},
		"late start":        {[]Segment{at(0, "b", "")}, ErrGap},
		"early end":         {[]Segment{at(0, "", "b")}, ErrGap},
		"gap":               {[]Segment{at(0, "", "b"), at(1, "c", "")}, ErrGap},
		"overlap":           {[]Segment{at(0, "", "c"), at(1, "b", "")}, ErrOverlap},
		"two of all keys":   {[]Segment{at(0, "", ""), at(1, "", "")}, ErrOverlap},
		"after an open end": {[]Segment{at(0, "", ""), at(1, "b", "")}, ErrOverlap},
		"no keys":           {[]Segment{at(0, "", "b"), at(1, "b", "b"), at(2, "b", "")}, ErrEmpty},
		"one":               {[]Segment{at(7, "", "")}, nil},
		"any order":         {[]Segment{at(3, "b", ""), at(1, "", "b")}, nil},
	} {
		if _, err := First(c.segments...); !errors.Is(err, c.want) {
			t.Errorf("%s: have %v, want %v", name, err, c.want)
		}
	}
}

// Check must report all faults of holders on a fleet, not only the first one.
func TestCheckReportsEveryFault(t *testing.T) {
	f := Fleet{Zones: map[string]string{"a": "x", "b": "y", "c": "z", "d": "x"}, Replicas: 3}
	for name, c := range map[string]struct {
		holders []string
		want    error
	}{
		"valid":        {[]string{"a", "b", "c"}, nil},
		"too few":      {[]string{"a", "b"}, ErrHolders},
		"one zone":     {[]string{"a", "b", "d"}, ErrZones},
		"unknown":      {[]string{"a", "b", "q"}, ErrUnknown},
		"none at all":  {nil, ErrHolders},
		"four holders": {[]string{"a", "b", "c", "d"}, nil},
	} {
		l, err := First(Segment{Keys: All, Holders: c.holders})
		if err != nil {
			t.Fatal(err)
		}
		if err := l.Check(f); !errors.Is(err, c.want) {
			t.Errorf("%s: have %v, want %v", name, err, c.want)
		}
	}
	l, _ := First(Segment{Keys: Range{"", "m"}, Holders: []string{"a"}}, Segment{ID: 1, Keys: Range{"m", ""}, Holders: []string{"q", "q", "b"}})
	text := l.Check(f).Error()
	for _, want := range []string{"segment 0", "segment 1", "twice", `"q"`} {
		if !strings.Contains(text, want) {
			t.Errorf("%q does not contain %s", text, want)
		}
	}
	// Three replicas cannot be in different data centres if there are only two of them.
	twoZones := Fleet{Zones: map[string]string{"a": "x", "b": "y", "d": "x"}, Replicas: 3}
	l, _ = First(Segment{Keys: All, Holders: []string{"a", "b", "d"}})
	if err := l.Check(twoZones); err != nil {
		t.Errorf("three replicas in two data centres: %v", err)
	}
}

// Queries of older epochs that name the parent of a split must be translated to its
// successors, during the change and after the parent was retired.
func TestSplitKeepsParentForOlderQueries(t *testing.T) {
	l, f := newTestLayout(t, 3, 9)
	c := Change{Kind: Split, Segments: []SegmentID{1}, At: key(1) + "5", Share: 0.25, Holders: [][]string{{"s0000", "s0001", "s0002"}, {"s0003", "s0004", "s0005"}}}
	prepared, successors, err := l.Prepare(c)
	if err != nil {
		t.Fatal(err)
	}
	if _, _, err := prepared.Prepare(c); !errors.Is(err, ErrConflict) {
		t.Errorf("second change of a segment: %v", err)
	}
	if _, _, err := prepared.Translate([]Part{{successors[0], 1}}); !errors.Is(err, ErrPreparing) {
		t.Errorf("query for a preparing segment: %v", err)
	}
	cut, err := prepared.CutOver(c, successors)
	if err != nil {
		t.Fatal(err)
	}
	if s := cut.Segment(1); s == nil || s.State != Retiring || !slices.Equal(s.Holders, l.Segment(1).Holders) {
		t.Errorf("the parent is %+v, want it retiring with its old holders", s)
	}
	out, changed, err := cut.Translate([]Part{{0, 0.2}, {1, 0.8}})
	if want := []Part{{0, 0.2}, {successors[0], 0.2}, {successors[1], 0.6000000000000001}}; err != nil || !changed || !slices.Equal(out, want) {
		t.Errorf("have %v, %v, want %v", out, err, want)
	}
	if _, err := cut.Abort(c, successors); !errors.Is(err, ErrConflict) {
		t.Errorf("abort after the cut-over: %v", err)
	}
	done, err := cut.Retire(c)
	if err != nil || done.Segment(1) != nil || done.Check(f) != nil {
		t.Errorf("after Retire: %v, %v", err, done.Check(f))
	}
	if again, _, err := done.Translate([]Part{{1, 1}}); err != nil || len(again) != 2 {
		t.Errorf("query for a retired parent: %v, %v", again, err)
	}
	if _, _, err := done.Translate([]Part{{99, 1}}); !errors.Is(err, ErrNoSegment) {
		t.Errorf("query for a number that was never assigned: %v", err)
	}
	if done.Segment(0) != l.Segment(0) {
		t.Error("an unchanged segment is not shared between epochs")
	}
}

// A query that names both parents of a merge must name their successor only once,
// with the sum of the weights: two parts would ask the same segment twice.
func TestMergeAddsWeightsOfParents(t *testing.T) {
	l, _ := newTestLayout(t, 3, 9)
	c := Change{Kind: Merge, Segments: []SegmentID{0, 1}, Holders: [][]string{{"s0000", "s0001", "s0002"}}}
	next, successors, err := l.Prepare(c)
	if err == nil {
		next, err = next.CutOver(c, successors)
	}
	if err != nil {
		t.Fatal(err)
	}
	out, _, err := next.Translate([]Part{{1, 0.25}, {2, 0.5}, {0, 0.25}})
	if want := []Part{{successors[0], 0.5}, {2, 0.5}}; err != nil || !slices.Equal(out, want) {
		t.Errorf("have %v, %v, want %v", out, err, want)
	}
	for _, segments := range [][]SegmentID{{1, 0}, {0, 2}, {0, 0}, {2, 9}} {
		if _, _, err := l.Prepare(Change{Kind: Merge, Segments: segments, Holders: c.Holders}); err == nil {
			t.Errorf("merge of %v was accepted", segments)
		}
	}
}

// A moved segment keeps its number, and its old holders answer older queries until the
// move is retired. An aborted move must leave no difference.
func TestMoveKeepsNumberAndOldHolders(t *testing.T) {
	l, _ := newTestLayout(t, 2, 9)
	c := Change{Kind: Move, Segments: []SegmentID{0}, Holders: [][]string{{"s0008", "s0001", "s0006"}}}
	next, successors, err := l.Prepare(c)
	if err != nil || successors != nil || !slices.Equal(next.Segment(0).Next, []string{"s0001", "s0006", "s0008"}) {
		t.Fatalf("have %+v, %v", next.Segment(0), err)
	}
	if back, err := next.Abort(c, successors); err != nil || len(Diff(l, back)) != 0 {
		t.Errorf("abort leaves the differences %v, %v", Diff(l, back), err)
	}
	cut, err := next.CutOver(c, successors)
	if err != nil || !slices.Equal(cut.Segment(0).Prev, []string{"s0000", "s0002"}) {
		t.Fatalf("have %+v, %v", cut.Segment(0), err)
	}
	if out, changed, err := cut.Translate([]Part{{0, 1}}); changed || err != nil || out[0] != (Part{0, 1}) {
		t.Errorf("query for the moved segment: %v, %v", out, err)
	}
	if done, err := cut.Retire(c); err != nil || done.Segment(0).Prev != nil {
		t.Errorf("have %+v, %v", done.Segment(0), err)
	}
}

// A split must appear as a change of the parent's state and two new segments, and
// unchanged segments must not appear.
func TestDiffReportsChanges(t *testing.T) {
	l, _ := newTestLayout(t, 3, 9)
	c := Change{Kind: Split, Segments: []SegmentID{1}, At: key(1) + "5", Share: 0.5, Holders: [][]string{{"a"}, {"b"}}}
	next, successors, err := l.Prepare(c)
	if err == nil {
		next, err = next.CutOver(c, successors)
	}
	if err != nil {
		t.Fatal(err)
	}
	var got []string
	for _, d := range Diff(l, next) {
		got = append(got, fmt.Sprint(d.Kind, " ", d.ID))
	}
	if want := []string{"turned 1", "added 3", "added 4"}; !slices.Equal(got, want) {
		t.Errorf("have %v, want %v", got, want)
	}
}

// TestRandomChangesKeepInvariants makes random changes, some of them aborted. In each
// epoch every key must be served exactly once, queries of all earlier epochs must be
// translated with their full weight, and earlier epochs must stay unmodified.
func TestRandomChangesKeepInvariants(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		first, err := First(Segment{Keys: Range{"", "h"}, Holders: []string{"a", "b"}}, Segment{ID: 1, Keys: Range{"h", ""}, Holders: []string{"b", "c"}})
		if err != nil {
			t.Fatal(err)
		}
		type pendingChange struct {
			Change
			successors []SegmentID
			cut        bool
		}
		l, epochs, dumps := first, []*Layout{first}, []string{dump(first)}
		var pending []*pendingChange
		used := map[SegmentID]bool{0: true, 1: true}
		accept := func(next *Layout) {
			if next.Epoch() != l.Epoch()+1 {
				t.Fatalf("epoch %d follows %d", next.Epoch(), l.Epoch())
			}
			l = next
			epochs, dumps = append(epochs, l), append(dumps, dump(l))
		}
		serving := func(t *rapid.T) *Segment {
			return rapid.SampledFrom(slices.Collect(l.Serving())).Draw(t, "segment")
		}
		holders := rapid.SliceOfNDistinct(rapid.SampledFrom([]string{"a", "b", "c", "d", "e"}), 2, 3, rapid.ID[string])
		prepare := func(t *rapid.T, c Change) {
			next, successors, err := l.Prepare(c)
			if err != nil {
				t.Skip(err)
			}
			for _, id := range successors {
				if used[id] {
					t.Fatalf("number %d was used before", id)
				}
				used[id] = true
			}
			pending = append(pending, &pendingChange{c, successors, false})
			accept(next)
		}
		t.Repeat(map[string]func(*rapid.T){
			"split": func(t *rapid.T) {
				s := serving(t)
				at := Key(rapid.StringMatching("[a-p]{1,3}").Draw(t, "at"))
				prepare(t, Change{Kind: Split, Segments: []SegmentID{s.ID}, At: at, Share: rapid.Float64Range(0.001, 0.999).Draw(t, "share"),
					Holders: [][]string{holders.Draw(t, "lower"), holders.Draw(t, "upper")}})
			},
			"merge": func(t *rapid.T) {
				list := slices.Collect(l.Serving())
				if len(list) < 2 {
					t.Skip("only one segment")
				}
				i := rapid.IntRange(0, len(list)-2).Draw(t, "first")
				prepare(t, Change{Kind: Merge, Segments: []SegmentID{list[i].ID, list[i+1].ID}, Holders: [][]string{holders.Draw(t, "holders")}})
			},
			"move": func(t *rapid.T) {
				prepare(t, Change{Kind: Move, Segments: []SegmentID{serving(t).ID}, Holders: [][]string{holders.Draw(t, "holders")}})
			},
			"step": func(t *rapid.T) {
				if len(pending) == 0 {
					t.Skip("no change is pending")
				}
				i := rapid.IntRange(0, len(pending)-1).Draw(t, "change")
				c := pending[i]
				var next *Layout
				var err error
				switch {
				case !c.cut && rapid.Bool().Draw(t, "abort"):
					next, err = l.Abort(c.Change, c.successors)
					pending = slices.Delete(pending, i, i+1)
				case !c.cut:
					next, err = l.CutOver(c.Change, c.successors)
					c.cut = true
				default:
					next, err = l.Retire(c.Change)
					pending = slices.Delete(pending, i, i+1)
				}
				if err != nil {
					t.Fatal(err)
				}
				accept(next)
			},
			"": func(t *rapid.T) {
				for _, k := range []Key{"", "a", "b", "bz", "h", "hh", "m", "zzz"} {
					n := 0
					for s := range l.Segments() {
						if s.State == Serving && s.Keys.Contains(k) {
							n++
							if l.Find(k) != s {
								t.Fatalf("key %q: found %v, want segment %d", k, l.Find(k), s.ID)
							}
						}
					}
					if n != 1 {
						t.Fatalf("key %q is served %d times", k, n)
					}
				}
				// For a query of any epoch, translation keeps the total weight, names no
				// segment twice, and gives the same result directly as epoch by epoch.
				from := epochs[rapid.IntRange(0, len(epochs)-1).Draw(t, "epoch")]
				var parts []Part
				for s := range from.Serving() {
					parts = append(parts, Part{s.ID, 1 / float64(len(from.serving))})
				}
				out, _, err := l.Translate(parts)
				if err != nil {
					t.Fatal(err)
				}
				sum, seen := 0.0, make(map[SegmentID]bool)
				for _, p := range out {
					sum += p.Weight
					if seen[p.Segment] || !l.serves(p.Segment) {
						t.Fatalf("segment %d is named twice or is not serving", p.Segment)
					}
					seen[p.Segment] = true
				}
				if math.Abs(sum-1) > weightTolerance || len(out) != len(l.serving) {
					t.Fatalf("%d parts with a total weight of %v, want %d parts", len(out), sum, len(l.serving))
				}
				stepwise := parts
				for _, e := range epochs[from.Epoch():] {
					if stepwise, _, err = e.Translate(stepwise); err != nil {
						t.Fatal(err)
					}
				}
				for _, p := range stepwise {
					i := slices.IndexFunc(out, func(o Part) bool { return o.Segment == p.Segment })
					if i < 0 || math.Abs(out[i].Weight-p.Weight) > weightTolerance {
						t.Fatalf("segment %d: %v epoch by epoch, %v directly", p.Segment, p, out)
					}
				}
			},
		})
		for i, e := range epochs {
			if dump(e) != dumps[i] {
				t.Fatalf("epoch %d was modified by later changes", e.Epoch())
			}
		}
	})
}

// dump returns all contents of a layout as text.
func dump(l *Layout) string {
	var b strings.Builder
	fmt.Fprintln(&b, l.epoch, l.nextID)
	for _, s := range l.segments {
		fmt.Fprintf(&b, "%+v\n", *s)
	}
	for _, n := range l.lineages {
		fmt.Fprintf(&b, "%+v\n", *n)
	}
	return b.String()
}

// When the number of lineages exceeds its bound, the oldest must be removed, not those
// with the lowest numbers: a segment may be old, with a low number, when it is split.
func TestLineageIsBounded(t *testing.T) {
	l, _ := newTestLayout(t, 2, 9)
	l.epoch, l.nextID = maxLineages+1, maxLineages+2
	for i := range maxLineages {
		l.lineages = append(l.lineages, &Lineage{From: SegmentID(2 + i), Since: Epoch(2 + i), Successors: []Successor{{0, 1}}})
	}
	c := Change{Kind: Merge, Segments: []SegmentID{0, 1}, Holders: [][]string{{"s0000"}}}
	next, successors, err := l.Prepare(c)
	if err == nil {
		next, err = next.CutOver(c, successors)
	}
	if err != nil || len(next.lineages) != maxLineages || len(l.lineages) != maxLineages {
		t.Fatalf("%d lineages, %v", len(next.lineages), err)
	}
	for id, want := range map[SegmentID]error{0: nil, 1: nil, 2: ErrRemoved, 3: ErrRemoved, 4: nil, maxLineages + 1: nil} {
		out, _, err := next.Translate([]Part{{id, 1}})
		if !errors.Is(err, want) || want == nil && out[0].Segment != successors[0] {
			t.Errorf("segment %d: %v, %v", id, out, err)
		}
	}
}

const manySegments, manySearchers = 10_000, 1_000

// newSplitLayout returns a large layout, and the same with one segment split.
func newSplitLayout(b testing.TB) (old, next *Layout) {
	old, _ = newTestLayout(b, manySegments, manySearchers)
	c := Change{Kind: Split, Segments: []SegmentID{5000}, At: key(5000) + "5", Share: 0.5, Holders: [][]string{{"s0001", "s0002", "s0003"}, {"s0002", "s0003", "s0004"}}}
	next, successors, err := old.Prepare(c)
	if err == nil {
		next, err = next.CutOver(c, successors)
	}
	if err != nil {
		b.Fatal(err)
	}
	return old, next
}

func BenchmarkEpoch(b *testing.B) {
	old, f := newTestLayout(b, manySegments, manySearchers)
	c := Change{Kind: Move, Segments: []SegmentID{5000}, Holders: [][]string{{"s0001", "s0002", "s0003"}}}
	b.ReportAllocs()
	for b.Loop() {
		next, _, err := old.Prepare(c)
		if err != nil {
			b.Fatal(err)
		}
		if err := next.Check(f); err != nil {
			b.Fatal(err)
		}
	}
}

func BenchmarkTranslate(b *testing.B) {
	_, next := newSplitLayout(b)
	for name, parts := range map[string][]Part{
		"unchanged": {{100, 0.2}, {101, 0.2}, {102, 0.2}, {103, 0.2}, {104, 0.2}},
		"split":     {{4998, 0.2}, {4999, 0.2}, {5000, 0.2}, {5001, 0.2}, {5002, 0.2}},
	} {
		b.Run(name, func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				if _, _, err := next.Translate(parts); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}

// BenchmarkEpochMemory reports the memory that each further epoch takes in addition to
// what it shares with the previous one.
func BenchmarkEpochMemory(b *testing.B) {
	old, _ := newTestLayout(b, manySegments, manySearchers)
	heap := func() uint64 {
		runtime.GC()
		var m runtime.MemStats
		runtime.ReadMemStats(&m)
		return m.HeapAlloc
	}
	const epochs = 50
	for b.Loop() {
		before := heap()
		kept := []*Layout{old}
		for i := range epochs {
			c := Change{Kind: Move, Segments: []SegmentID{SegmentID(i)}, Holders: [][]string{{"s0901", "s0902", "s0903"}}}
			next, _, err := kept[i].Prepare(c)
			if err != nil {
				b.Fatal(err)
			}
			kept = append(kept, next)
		}
		b.ReportMetric(float64(heap()-before)/epochs, "B/epoch")
		runtime.KeepAlive(kept)
	}
}

// Most queries name only segments that have not changed. Translate must not allocate
// for them.
func TestTranslateOfUnchangedSegmentsDoesNotAllocate(t *testing.T) {
	_, next := newSplitLayout(t)
	parts := []Part{{100, 0.5}, {9999, 0.5}}
	if n := testing.AllocsPerRun(100, func() { _, _, _ = next.Translate(parts) }); n != 0 {
		t.Errorf("%v allocations", n)
	}
}

// A move that only adds holders leaves no previous holders, so another change can
// replace its segment before the move is retired. Retire must accept that the segment
// no longer exists.
func TestRetireOfMoveWhoseSegmentIsGone(t *testing.T) {
	l, _ := newTestLayout(t, 2, 9)
	move := Change{Kind: Move, Segments: []SegmentID{0}, Holders: [][]string{append([]string{"s0008"}, l.Segment(0).Holders...)}}
	merge := Change{Kind: Merge, Segments: []SegmentID{0, 1}, Holders: [][]string{{"s0000"}}}
	var successors []SegmentID
	var err error
	for i, step := range []func() (*Layout, error){
		func() (*Layout, error) { next, _, err := l.Prepare(move); return next, err },
		func() (*Layout, error) { return l.CutOver(move, nil) },
		func() (next *Layout, err error) { next, successors, err = l.Prepare(merge); return next, err },
		func() (*Layout, error) { return l.CutOver(merge, successors) },
		func() (*Layout, error) { return l.Retire(merge) },
		func() (*Layout, error) { return l.Retire(move) },
	} {
		if l, err = step(); err != nil {
			t.Fatalf("step %d: %v", i, err)
		}
	}
	if l.Epoch() != 7 || l.Len() != 1 {
		t.Errorf("epoch %d with %d segments", l.Epoch(), l.Len())
	}
}
