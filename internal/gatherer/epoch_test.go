package gatherer

import (
	"errors"
	"slices"
	"testing"
	"time"

	"eiderwinch"
	"eiderwinch/internal/layout"
)

// splitLayouts returns a layout of three segments, the three layouts that follow from it
// as segment 1 is split, and the successors of segment 1.
func splitLayouts(t *testing.T) (first, prepared, cutOver, retired *layout.Layout, successors []layout.SegmentID) {
	t.Helper()
	first, err := layout.First(
		layout.Segment{ID: 0, Keys: layout.Range{To: "d"}, Holders: []string{"a", "b"}},
		layout.Segment{ID: 1, Keys: layout.Range{From: "d", To: "m"}, Holders: []string{"a", "b"}},
		layout.Segment{ID: 2, Keys: layout.Range{From: "m"}, Holders: []string{"a", "b"}},
	)
	if err != nil {
		t.Fatal(err)
	}
	change := layout.Change{Kind: layout.Split, Segments: []layout.SegmentID{1}, At: "g", Share: 0.25, Holders: [][]string{{"c"}, {"d"}}}
	prepared, successors, err = first.Prepare(change)
	if err == nil {
		cutOver, err = prepared.CutOver(change, successors)
	}
	if err == nil {
		retired, err = cutOver.Retire(change)
	}
	if err != nil {
		t.Fatal(err)
	}
	return first, prepared, cutOver, retired, successors
}

// newHarnessWithLayout returns a harness with the layout l and the searchers a to d.
func newHarnessWithLayout(t *testing.T, l *layout.Layout) *harness {
	h := newHarness(t)
	h.UpdateMembers(h.at, eiderwinch.Changes, []Member{{ID: "c", State: eiderwinch.Ready}, {ID: "d", State: eiderwinch.Ready}})
	h.Adopt(l)
	h.advance(5 * ms)
	h.turns = nil
	return h
}

// queryParts returns the parts of all Query events that the aggregator has received.
func (h *harness) queryParts() (out []eiderwinch.Part) {
	for _, events := range h.turns {
		for _, e := range events {
			if q, ok := e.(eiderwinch.Query); ok {
				out = append(out, q.Parts...)
			}
		}
	}
	return out
}

func TestOpenQueryEndsInItsEpoch(t *testing.T) {
	first, _, cutOver, retired, successors := splitLayouts(t)
	h := newHarnessWithLayout(t, first)
	h.submit("search", "old", 0, 1) // query 1, parts 2 and 3
	h.advance(5*ms, send(2, "a"), send(3, "a"))
	h.Adopt(cutOver)
	h.submit("search", "new", 0, 1) // query 4, parts 5 to 7
	h.advance(5 * ms)
	h.checkEqual("parts received by the aggregator", len(h.queryParts()), 5)
	h.checkEqual("the old query's holders", []any{h.queryParts()[1].Shard, h.queryParts()[1].Holders}, []any{1, []string{"a", "b"}})
	h.checkEqual("the new query's parts", []any{h.queryParts()[3].Shard, h.queryParts()[3].Holders, h.queryParts()[4].Shard, h.queryParts()[4].Holders, h.queryParts()[4].Weight},
		[]any{int(successors[0]), []string{"c"}, int(successors[1]), []string{"d"}, 0.375})
	// The connection of an attempt of the old query breaks. A retry may go only to a holder in
	// the query's epoch, although newer epochs are in force.
	h.ConnectionBroken(h.at, h.calls[0][1])
	h.checkEqual("oldest epoch in use", h.OldestEpoch(), first.Epoch())
	h.Adopt(retired)
	h.advance(5*ms, send(3, "c"))
	h.checkEqual("a send to a new holder", h.outcomes(), []eiderwinch.Status{eiderwinch.Reset})
	h.advance(5 * ms)
	h.checkEqual("it is rejected", h.outcomes(), []eiderwinch.Status{eiderwinch.Reset, eiderwinch.NotSent})
	h.Result(h.at, h.calls[0][0], eiderwinch.OK, 1, "v")
	h.advance(5*ms, eiderwinch.Fail{Query: 1}, eiderwinch.Fail{Query: 4})
	h.checkEqual("epochs of the answers", []layout.Epoch{h.replies[0].Epoch, h.replies[1].Epoch}, []layout.Epoch{first.Epoch(), cutOver.Epoch()})
	h.checkEqual("oldest epoch in use after the answers", h.OldestEpoch(), retired.Epoch())
	h.checkEqual("epochs with open queries", len(h.openByEpoch), 0)
}

// A second step queries segments that were answered in the first, at the searchers that hold them in the query's epoch.
func TestSecondStepStaysInItsEpoch(t *testing.T) {
	first, _, cutOver, _, _ := splitLayouts(t)
	h := newHarnessWithLayout(t, first)
	h.submit("report", "t", 0, 1)
	h.advance(5*ms, send(2, "a"), send(3, "b"))
	h.Adopt(cutOver)
	for i, a := range slices.Concat(h.calls...) {
		h.Result(h.at, a, eiderwinch.OK, int64(i), "first")
	}
	h.advance(5*ms, eiderwinch.Answer{Query: 1, Whole: true})
	h.turns = nil
	h.advance(5*ms, send(4, "b"), send(5, "a"))
	step := h.turns[0][0].(eiderwinch.SecondStep)
	h.checkEqual("the second step", []any{step.Parts[0].Shard, step.Parts[0].Holders}, []any{1, []string{"a", "b"}})
	h.checkEqual("its attempts", len(slices.Concat(h.calls[2:]...)), 2)
}

func TestMergedSegmentsBecomeOnePart(t *testing.T) {
	first, _, _, _, _ := splitLayouts(t)
	change := layout.Change{Kind: layout.Merge, Segments: []layout.SegmentID{0, 1}, Holders: [][]string{{"c"}}}
	next, successors, err := first.Prepare(change)
	if err == nil {
		next, err = next.CutOver(change, successors)
	}
	if err != nil {
		t.Fatal(err)
	}
	h := newHarnessWithLayout(t, next)
	h.submit("search", "t", 0, 1, 2)
	h.advance(5 * ms)
	parts := h.queryParts()
	h.checkEqual("parts", []int{len(parts), parts[0].Shard, parts[1].Shard}, []int{2, int(successors[0]), 2})
	if w := parts[0].Weight; w < 0.6666 || w > 0.6667 {
		t.Errorf("the successor has weight %v, want 2/3", w)
	}
}

func TestLateAndMissedEpochs(t *testing.T) {
	first, prepared, cutOver, retired, successors := splitLayouts(t)
	h := newHarnessWithLayout(t, first)
	request := QueryRequest{Trace: "t", Class: "search", Epoch: cutOver.Epoch(), Parts: []PartRequest{{int(successors[0]), 1}}}
	if _, err := h.Take(h.at, request, h); !errors.Is(err, ErrUnknownEpoch) {
		t.Errorf("query with an epoch not known yet: %v", err)
	}
	h.checkEqual("newer epoch after two missed ones", h.Adopt(retired), true)
	for _, old := range []*layout.Layout{first, prepared, cutOver, retired} {
		h.checkEqual("late older epoch", h.Adopt(old), false)
	}
	if _, err := h.Take(h.at, request, h); err != nil {
		t.Errorf("the same query with a known epoch: %v", err)
	}
	for _, unknown := range []int{-1, 99, 1 << 40} {
		_, err := h.Take(h.at, QueryRequest{Trace: "u", Class: "search", Parts: []PartRequest{{unknown, 1}}}, h)
		if !errors.Is(err, ErrInvalid) || !errors.Is(err, layout.ErrNoSegment) {
			t.Errorf("segment %d: %v", unknown, err)
		}
	}
	h.checkEqual("counted", []int{h.stats.UnknownEpochs, h.stats.EpochsIgnored, h.stats.Epochs}, []int{1, 4, 2})
	h.advance(time.Second)
}
