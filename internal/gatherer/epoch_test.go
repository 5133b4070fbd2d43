package gatherer

import (
	"errors"
	"slices"
	"testing"
	"time"

	"eiderwinch"
	"eiderwinch/internal/layout"
)

// split is a layout of three segments, and what becomes of it as 1 is split.
func split(t *testing.T) (first, prepared, cut, done *layout.Layout, heirs []layout.SegmentID) {
	t.Helper()
	first, err := layout.First(
		layout.Segment{ID: 0, Keys: layout.Range{To: "d"}, Holders: []string{"a", "b"}},
		layout.Segment{ID: 1, Keys: layout.Range{From: "d", To: "m"}, Holders: []string{"a", "b"}},
		layout.Segment{ID: 2, Keys: layout.Range{From: "m"}, Holders: []string{"a", "b"}},
	)
	if err != nil {
		t.Fatal(err)
	}
	c := layout.Change{Kind: layout.Split, Segments: []layout.SegmentID{1}, At: "g", Share: 0.25, Holders: [][]string{{"c"}, {"d"}}}
	prepared, heirs, err = first.Prepare(c)
	if err == nil {
		cut, err = prepared.CutOver(c, heirs)
	}
	if err == nil {
		done, err = cut.Retire(c)
	}
	if err != nil {
		t.Fatal(err)
	}
	return first, prepared, cut, done, heirs
}

// laidOut is a rig whose layout is l, with searchers a to d.
func laidOut(t *testing.T, l *layout.Layout) *rig {
	r := newRig(t)
	r.List(r.at, eiderwinch.Changes, []Member{{ID: "c", State: eiderwinch.Ready}, {ID: "d", State: eiderwinch.Ready}})
	r.Adopt(l)
	r.after(5 * ms)
	r.turns = nil
	return r
}

// told are the parts of the queries that the aggregator was told of.
func (r *rig) told() (out []eiderwinch.Part) {
	for _, events := range r.turns {
		for _, e := range events {
			if q, ok := e.(eiderwinch.Query); ok {
				out = append(out, q.Parts...)
			}
		}
	}
	return out
}

func TestASearchInFlightEndsInItsEpoch(t *testing.T) {
	first, _, cut, done, heirs := split(t)
	r := laidOut(t, first)
	r.take("search", "old", 0, 1) // query 1, parts 2 and 3
	r.after(5*ms, send(2, "a"), send(3, "a"))
	r.Adopt(cut)
	r.take("search", "new", 0, 1) // query 4, parts 5 to 7
	r.after(5 * ms)
	r.want("parts told", len(r.told()), 5)
	r.want("the old query's holders", []any{r.told()[1].Shard, r.told()[1].Holders}, []any{1, []string{"a", "b"}})
	r.want("the new query's parts", []any{r.told()[3].Shard, r.told()[3].Holders, r.told()[4].Shard, r.told()[4].Holders, r.told()[4].Weight},
		[]any{int(heirs[0]), []string{"c"}, int(heirs[1]), []string{"d"}, 0.375})
	// The old one's attempt breaks; another goes to an old holder, though the epoch is over.
	r.Broken(r.at, r.calls[0][1])
	r.want("oldest epoch asked", r.OldestEpoch(), first.Epoch())
	r.Adopt(done)
	r.after(5*ms, send(3, "c"))
	r.want("a send to a new holder", r.outcomes(), []eiderwinch.Status{eiderwinch.Reset})
	r.after(5 * ms)
	r.want("is not let out", r.outcomes(), []eiderwinch.Status{eiderwinch.Reset, eiderwinch.NotSent})
	r.Result(r.at, r.calls[0][0], eiderwinch.OK, 1, "v")
	r.after(5*ms, eiderwinch.Fail{Query: 1}, eiderwinch.Fail{Query: 4})
	r.want("epochs of the answers", []layout.Epoch{r.replies[0].Epoch, r.replies[1].Epoch}, []layout.Epoch{first.Epoch(), cut.Epoch()})
	r.want("nobody is bound to an old one", r.OldestEpoch(), done.Epoch())
	r.want("nothing is held", len(r.bound), 0)
}

// A second step asks the segments that were in, at those who hold them in the query's epoch.
func TestASecondStepStaysInItsEpoch(t *testing.T) {
	first, _, cut, _, _ := split(t)
	r := laidOut(t, first)
	r.take("report", "t", 0, 1)
	r.after(5*ms, send(2, "a"), send(3, "b"))
	r.Adopt(cut)
	for i, a := range slices.Concat(r.calls...) {
		r.Result(r.at, a, eiderwinch.OK, int64(i), "first")
	}
	r.after(5*ms, eiderwinch.Answer{Query: 1, Whole: true})
	r.turns = nil
	r.after(5*ms, send(4, "b"), send(5, "a"))
	step := r.turns[0][0].(eiderwinch.SecondStep)
	r.want("the second step", []any{step.Parts[0].Shard, step.Parts[0].Holders}, []any{1, []string{"a", "b"}})
	r.want("its calls", len(slices.Concat(r.calls[2:]...)), 2)
}

func TestAMergeAskedByBothParentsIsOnePart(t *testing.T) {
	first, _, _, _, _ := split(t)
	c := layout.Change{Kind: layout.Merge, Segments: []layout.SegmentID{0, 1}, Holders: [][]string{{"c"}}}
	next, heirs, err := first.Prepare(c)
	if err == nil {
		next, err = next.CutOver(c, heirs)
	}
	if err != nil {
		t.Fatal(err)
	}
	r := laidOut(t, next)
	r.take("search", "t", 0, 1, 2)
	r.after(5 * ms)
	parts := r.told()
	r.want("parts", []int{len(parts), parts[0].Shard, parts[1].Shard}, []int{2, int(heirs[0]), 2})
	if w := parts[0].Weight; w < 0.6666 || w > 0.6667 {
		t.Errorf("the heir weighs %v", w)
	}
}

func TestEpochsComeLateOrNotAtAll(t *testing.T) {
	first, prepared, cut, done, heirs := split(t)
	r := laidOut(t, first)
	ask := Ask{Trace: "t", Class: "search", Epoch: cut.Epoch(), Parts: []AskPart{{int(heirs[0]), 1}}}
	if _, err := r.Take(r.at, ask, r); !errors.Is(err, ErrAhead) {
		t.Errorf("a query of an epoch not known yet: %v", err)
	}
	r.want("two epochs are missed", r.Adopt(done), true)
	for _, old := range []*layout.Layout{first, prepared, cut, done} {
		r.want("an older one comes late", r.Adopt(old), false)
	}
	if _, err := r.Take(r.at, ask, r); err != nil {
		t.Errorf("the same once it is known: %v", err)
	}
	for _, bad := range []int{-1, 99, 1 << 40} {
		_, err := r.Take(r.at, Ask{Trace: "u", Class: "search", Parts: []AskPart{{bad, 1}}}, r)
		if !errors.Is(err, ErrInvalid) || !errors.Is(err, layout.ErrNoSegment) {
			t.Errorf("segment %d: %v", bad, err)
		}
	}
	r.want("counted", []int{r.stats.EpochsAhead, r.stats.EpochsOld, r.stats.Epochs}, []int{1, 4, 2})
	r.after(time.Second)
}
