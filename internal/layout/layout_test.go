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

	"eiderwinch/internal/trial/steady"
)

func TestMain(m *testing.M) { steady.Main(m) }

// even returns n segments of equal width on a fleet of so many searchers in three zones.
func even(t testing.TB, n, searchers int) (*Layout, Fleet) {
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

func TestWhatIsNoLayout(t *testing.T) {
	at := func(id SegmentID, from, to Key) Segment { return Segment{ID: id, Keys: Range{from, to}} }
	for name, c := range map[string]struct {
		segments []Segment
		want     error
	}{
		"nothing":       {nil, ErrGap},
		"late start":    {[]Segment{at(0, "b", "")}, ErrGap},
		"early end":     {[]Segment{at(0, "", "b")}, ErrGap},
		"gap":           {[]Segment{at(0, "", "b"), at(1, "c", "")}, ErrGap},
		"overlap":       {[]Segment{at(0, "", "c"), at(1, "b", "")}, ErrOverlap},
		"two of all":    {[]Segment{at(0, "", ""), at(1, "", "")}, ErrOverlap},
		"behind an end": {[]Segment{at(0, "", ""), at(1, "b", "")}, ErrOverlap},
		"no keys":       {[]Segment{at(0, "", "b"), at(1, "b", "b"), at(2, "b", "")}, ErrEmpty},
		"one":           {[]Segment{at(7, "", "")}, nil},
		"any order":     {[]Segment{at(3, "b", ""), at(1, "", "b")}, nil},
	} {
		if _, err := First(c.segments...); !errors.Is(err, c.want) {
			t.Errorf("%s: have %v, want %v", name, err, c.want)
		}
	}
}

func TestCheckNamesEveryFault(t *testing.T) {
	f := Fleet{Zones: map[string]string{"a": "x", "b": "y", "c": "z", "d": "x"}, Replicas: 3}
	for name, c := range map[string]struct {
		holders []string
		want    error
	}{
		"good":         {[]string{"a", "b", "c"}, nil},
		"too few":      {[]string{"a", "b"}, ErrHolders},
		"one zone":     {[]string{"a", "b", "d"}, ErrZones},
		"unknown":      {[]string{"a", "b", "q"}, ErrUnknown},
		"none at all":  {nil, ErrHolders},
		"more than so": {[]string{"a", "b", "c", "d"}, nil},
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
			t.Errorf("%q does not name %s", text, want)
		}
	}
	// Two data centres can't hold three copies apart.
	two := Fleet{Zones: map[string]string{"a": "x", "b": "y", "d": "x"}, Replicas: 3}
	l, _ = First(Segment{Keys: All, Holders: []string{"a", "b", "d"}})
	if err := l.Check(two); err != nil {
		t.Errorf("as far as data centres go: %v", err)
	}
}

func TestASplitKeepsTheOldNumberForOldQueries(t *testing.T) {
	l, f := even(t, 3, 9)
	c := Change{Kind: Split, Segments: []SegmentID{1}, At: key(1) + "5", Share: 0.25, Holders: [][]string{{"s0000", "s0001", "s0002"}, {"s0003", "s0004", "s0005"}}}
	prepared, heirs, err := l.Prepare(c)
	if err != nil {
		t.Fatal(err)
	}
	if _, _, err := prepared.Prepare(c); !errors.Is(err, ErrConflict) {
		t.Errorf("two changes to one segment: %v", err)
	}
	if _, _, err := prepared.Translate([]Part{{heirs[0], 1}}); !errors.Is(err, ErrNotYet) {
		t.Errorf("a query for what is being prepared: %v", err)
	}
	cut, err := prepared.CutOver(c, heirs)
	if err != nil {
		t.Fatal(err)
	}
	if s := cut.Segment(1); s == nil || s.State != Retiring || !slices.Equal(s.Holders, l.Segment(1).Holders) {
		t.Errorf("the parent is %+v", s)
	}
	out, changed, err := cut.Translate([]Part{{0, 0.2}, {1, 0.8}})
	if want := []Part{{0, 0.2}, {heirs[0], 0.2}, {heirs[1], 0.6000000000000001}}; err != nil || !changed || !slices.Equal(out, want) {
		t.Errorf("have %v, %v, want %v", out, err, want)
	}
	if _, err := cut.Abort(c, heirs); !errors.Is(err, ErrConflict) {
		t.Errorf("an abort after the cut-over: %v", err)
	}
	done, err := cut.Retire(c)
	if err != nil || done.Segment(1) != nil || done.Check(f) != nil {
		t.Errorf("after all: %v, %v", err, done.Check(f))
	}
	if again, _, err := done.Translate([]Part{{1, 1}}); err != nil || len(again) != 2 {
		t.Errorf("a query of long ago: %v, %v", again, err)
	}
	if _, _, err := done.Translate([]Part{{99, 1}}); !errors.Is(err, ErrNoSegment) {
		t.Errorf("a number never given out: %v", err)
	}
	if done.Segment(0) != l.Segment(0) {
		t.Error("what stayed the same is not shared")
	}
}

// One query that asks both parents of a merge asks their heir once, for the sum.
func TestAMergeAddsTheWeightsOfItsParents(t *testing.T) {
	l, _ := even(t, 3, 9)
	c := Change{Kind: Merge, Segments: []SegmentID{0, 1}, Holders: [][]string{{"s0000", "s0001", "s0002"}}}
	next, heirs, err := l.Prepare(c)
	if err == nil {
		next, err = next.CutOver(c, heirs)
	}
	if err != nil {
		t.Fatal(err)
	}
	out, _, err := next.Translate([]Part{{1, 0.25}, {2, 0.5}, {0, 0.25}})
	if want := []Part{{heirs[0], 0.5}, {2, 0.5}}; err != nil || !slices.Equal(out, want) {
		t.Errorf("have %v, %v, want %v", out, err, want)
	}
	for _, bad := range [][]SegmentID{{1, 0}, {0, 2}, {0, 0}, {2, 9}} {
		if _, _, err := l.Prepare(Change{Kind: Merge, Segments: bad, Holders: c.Holders}); err == nil {
			t.Errorf("%v were merged", bad)
		}
	}
}

func TestAMoveKeepsItsNumberAndItsOldHolders(t *testing.T) {
	l, _ := even(t, 2, 9)
	c := Change{Kind: Move, Segments: []SegmentID{0}, Holders: [][]string{{"s0008", "s0001", "s0006"}}}
	next, heirs, err := l.Prepare(c)
	if err != nil || heirs != nil || !slices.Equal(next.Segment(0).Next, []string{"s0001", "s0006", "s0008"}) {
		t.Fatalf("have %+v, %v", next.Segment(0), err)
	}
	if back, err := next.Abort(c, heirs); err != nil || len(Diff(l, back)) != 0 {
		t.Errorf("an abort leaves %v, %v", Diff(l, back), err)
	}
	cut, err := next.CutOver(c, heirs)
	if err != nil || !slices.Equal(cut.Segment(0).Prev, []string{"s0000", "s0002"}) {
		t.Fatalf("have %+v, %v", cut.Segment(0), err)
	}
	if out, changed, err := cut.Translate([]Part{{0, 1}}); changed || err != nil || out[0] != (Part{0, 1}) {
		t.Errorf("a query for it: %v, %v", out, err)
	}
	if done, err := cut.Retire(c); err != nil || done.Segment(0).Prev != nil {
		t.Errorf("have %+v, %v", done.Segment(0), err)
	}
}

func TestDiffNamesWhatChanged(t *testing.T) {
	l, _ := even(t, 3, 9)
	c := Change{Kind: Split, Segments: []SegmentID{1}, At: key(1) + "5", Share: 0.5, Holders: [][]string{{"a"}, {"b"}}}
	next, heirs, err := l.Prepare(c)
	if err == nil {
		next, err = next.CutOver(c, heirs)
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

// TestAnyChangesKeepTheRules makes random changes, some of them taken back, and
// holds every epoch against what must be true of it.
func TestAnyChangesKeepTheRules(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		first, err := First(Segment{Keys: Range{"", "h"}, Holders: []string{"a", "b"}}, Segment{ID: 1, Keys: Range{"h", ""}, Holders: []string{"b", "c"}})
		if err != nil {
			t.Fatal(err)
		}
		type open struct {
			Change
			heirs []SegmentID
			cut   bool
		}
		l, epochs, texts := first, []*Layout{first}, []string{dump(first)}
		var under []*open
		used := map[SegmentID]bool{0: true, 1: true}
		accept := func(next *Layout) {
			if next.Epoch() != l.Epoch()+1 {
				t.Fatalf("epoch %d follows %d", next.Epoch(), l.Epoch())
			}
			l = next
			epochs, texts = append(epochs, l), append(texts, dump(l))
		}
		serving := func(t *rapid.T) *Segment {
			return rapid.SampledFrom(slices.Collect(l.Serving())).Draw(t, "segment")
		}
		holders := rapid.SliceOfNDistinct(rapid.SampledFrom([]string{"a", "b", "c", "d", "e"}), 2, 3, rapid.ID[string])
		prepare := func(t *rapid.T, c Change) {
			next, heirs, err := l.Prepare(c)
			if err != nil {
				t.Skip(err)
			}
			for _, id := range heirs {
				if used[id] {
					t.Fatalf("number %d was used before", id)
				}
				used[id] = true
			}
			under = append(under, &open{c, heirs, false})
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
					t.Skip("one is left")
				}
				i := rapid.IntRange(0, len(list)-2).Draw(t, "first")
				prepare(t, Change{Kind: Merge, Segments: []SegmentID{list[i].ID, list[i+1].ID}, Holders: [][]string{holders.Draw(t, "holders")}})
			},
			"move": func(t *rapid.T) {
				prepare(t, Change{Kind: Move, Segments: []SegmentID{serving(t).ID}, Holders: [][]string{holders.Draw(t, "holders")}})
			},
			"step": func(t *rapid.T) {
				if len(under) == 0 {
					t.Skip("nothing is under way")
				}
				i := rapid.IntRange(0, len(under)-1).Draw(t, "change")
				c := under[i]
				var next *Layout
				var err error
				switch {
				case !c.cut && rapid.Bool().Draw(t, "abort"):
					next, err = l.Abort(c.Change, c.heirs)
					under = slices.Delete(under, i, i+1)
				case !c.cut:
					next, err = l.CutOver(c.Change, c.heirs)
					c.cut = true
				default:
					next, err = l.Retire(c.Change)
					under = slices.Delete(under, i, i+1)
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
						if s.State == Serving && s.Keys.Holds(k) {
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
				// From whichever epoch a query comes: its weight stays, nothing is
				// asked twice, and the way there does not matter.
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
						t.Fatalf("segment %d is asked twice or does not serve", p.Segment)
					}
					seen[p.Segment] = true
				}
				if math.Abs(sum-1) > weightSlack || len(out) != len(l.serving) {
					t.Fatalf("%d parts weigh %v, of %d", len(out), sum, len(l.serving))
				}
				way := parts
				for _, e := range epochs[from.Epoch():] {
					if way, _, err = e.Translate(way); err != nil {
						t.Fatal(err)
					}
				}
				for _, p := range way {
					i := slices.IndexFunc(out, func(o Part) bool { return o.Segment == p.Segment })
					if i < 0 || math.Abs(out[i].Weight-p.Weight) > weightSlack {
						t.Fatalf("segment %d: %v by one way, %v by the other", p.Segment, p, out)
					}
				}
			},
		})
		for i, e := range epochs {
			if dump(e) != texts[i] {
				t.Fatalf("epoch %d was changed by later ones", e.Epoch())
			}
		}
	})
}

func dump(l *Layout) string {
	var b strings.Builder
	fmt.Fprintln(&b, l.epoch, l.next)
	for _, s := range l.segments {
		fmt.Fprintf(&b, "%+v\n", *s)
	}
	for _, n := range l.lines {
		fmt.Fprintf(&b, "%+v\n", *n)
	}
	return b.String()
}

// The oldest lines go first, not those of the lowest numbers: a segment may have
// had its number for years when it is split.
func TestTheLineageIsBounded(t *testing.T) {
	l, _ := even(t, 2, 9)
	l.epoch, l.next = maxLines+1, maxLines+2
	for i := range maxLines {
		l.lines = append(l.lines, &Line{From: SegmentID(2 + i), Since: Epoch(2 + i), Heirs: []Share{{0, 1}}})
	}
	c := Change{Kind: Merge, Segments: []SegmentID{0, 1}, Holders: [][]string{{"s0000"}}}
	next, heirs, err := l.Prepare(c)
	if err == nil {
		next, err = next.CutOver(c, heirs)
	}
	if err != nil || len(next.lines) != maxLines || len(l.lines) != maxLines {
		t.Fatalf("%d lines, %v", len(next.lines), err)
	}
	for id, want := range map[SegmentID]error{0: nil, 1: nil, 2: ErrForgotten, 3: ErrForgotten, 4: nil, maxLines + 1: nil} {
		out, _, err := next.Translate([]Part{{id, 1}})
		if !errors.Is(err, want) || want == nil && out[0].Segment != heirs[0] {
			t.Errorf("segment %d: %v, %v", id, out, err)
		}
	}
}

const many, fleet = 10_000, 1_000

// changed returns a large layout in which one segment has been split.
func changed(b testing.TB) (old, next *Layout) {
	old, _ = even(b, many, fleet)
	c := Change{Kind: Split, Segments: []SegmentID{5000}, At: key(5000) + "5", Share: 0.5, Holders: [][]string{{"s0001", "s0002", "s0003"}, {"s0002", "s0003", "s0004"}}}
	next, heirs, err := old.Prepare(c)
	if err == nil {
		next, err = next.CutOver(c, heirs)
	}
	if err != nil {
		b.Fatal(err)
	}
	return old, next
}

func BenchmarkEpoch(b *testing.B) {
	old, f := even(b, many, fleet)
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
	_, next := changed(b)
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

// BenchmarkEpochMemory reports what a further epoch holds beside what it shares.
func BenchmarkEpochMemory(b *testing.B) {
	old, _ := even(b, many, fleet)
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

func TestTranslatingWhatDidNotChangeAllocatesNothing(t *testing.T) {
	_, next := changed(t)
	parts := []Part{{100, 0.5}, {9999, 0.5}}
	if n := testing.AllocsPerRun(100, func() { _, _, _ = next.Translate(parts) }); n != 0 {
		t.Errorf("%v allocations", n)
	}
}

// Found by chance: a move that only adds holders leaves nobody behind, so its
// segment may be merged, and gone, before the move is retired.
func TestAMoveThatOnlyAddsHoldersLeavesNothingToRetire(t *testing.T) {
	l, _ := even(t, 2, 9)
	move := Change{Kind: Move, Segments: []SegmentID{0}, Holders: [][]string{append([]string{"s0008"}, l.Segment(0).Holders...)}}
	merge := Change{Kind: Merge, Segments: []SegmentID{0, 1}, Holders: [][]string{{"s0000"}}}
	var heirs []SegmentID
	var err error
	for i, step := range []func() (*Layout, error){
		func() (*Layout, error) { next, _, err := l.Prepare(move); return next, err },
		func() (*Layout, error) { return l.CutOver(move, nil) },
		func() (next *Layout, err error) { next, heirs, err = l.Prepare(merge); return next, err },
		func() (*Layout, error) { return l.CutOver(merge, heirs) },
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
