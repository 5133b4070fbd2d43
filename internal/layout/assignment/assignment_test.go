package assignment

import (
	"fmt"
	"maps"
	"slices"
	"testing"

	"pgregory.net/rapid"

	"eiderwinch/internal/layout"
	"eiderwinch/internal/layout/reshard"
	"eiderwinch/internal/trial/fixedseed"
)

func TestMain(m *testing.M) { fixedseed.Main(m) }

// fakeSearcher carries out orders and reports its state, like a searcher.
type fakeSearcher struct {
	log          string
	term, number uint64
	held         map[layout.SegmentID]reshard.JobID // with the job that filled it; 0 if held from the start
	fills        []Fill
}

func (m *fakeSearcher) apply(o Order) Report {
	if m.log == "" {
		m.log = o.Log
	}
	if o.Log == m.log && o.IsNewer(m.term, m.number) {
		m.term, m.number = o.Term, o.Number
		for _, id := range o.Drops {
			delete(m.held, id)
		}
		m.fills = o.Fills
		for _, f := range o.Fills {
			m.held[f.Segment] = f.Job
		}
	}
	r := Report{Log: m.log, Term: m.term, Number: m.number}
	r.Held = slices.Sorted(maps.Keys(m.held))
	for _, f := range m.fills {
		r.Fills = append(r.Fills, Progress{Job: f.Job, Segment: f.Segment, Copied: true})
	}
	return r
}

func firstLayout(t rapid.TB) *layout.Layout {
	l, err := layout.First(
		layout.Segment{ID: 0, Keys: layout.Range{To: "m"}, Holders: []string{"a", "b"}},
		layout.Segment{ID: 1, Keys: layout.Range{From: "m"}, Holders: []string{"b", "c"}})
	if err != nil {
		t.Fatal(err)
	}
	return l
}

// TestNeededSegmentsAreNotDropped moves segments between searchers while orders and
// reports are lost, duplicated, delayed or arrive after a restart of the coordinator. A
// holder must never drop a segment that it serves, and when all moves are over, former
// holders must have dropped theirs.
func TestNeededSegmentsAreNotDropped(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		current := firstLayout(t)
		names := []string{"a", "b", "c"}
		searchers := make(map[string]*fakeSearcher)
		for _, n := range names {
			searchers[n] = &fakeSearcher{held: make(map[layout.SegmentID]reshard.JobID)}
		}
		for s := range current.Serving() {
			for _, h := range s.Holders {
				searchers[h].held[s.ID] = 0
			}
		}
		term, job := uint64(1), reshard.JobID(0)
		tracker := New("x", term, names, 100, Limits{})
		tracker.SetLayout(current)
		var delayed []Order    // not delivered yet
		var delayedTo []string // the searcher of each delayed order
		pending := make(map[layout.SegmentID]layout.Change)
		exchange := func(id string) { tracker.HandleReport(id, searchers[id].apply(tracker.Order(id))) }
		exchangeAll := func() {
			for range 3 {
				for _, id := range names {
					exchange(id)
				}
			}
		}
		t.Repeat(map[string]func(*rapid.T){
			"prepare": func(t *rapid.T) {
				s := rapid.SampledFrom(slices.Collect(current.Serving())).Draw(t, "segment")
				i := rapid.IntRange(0, 2).Draw(t, "not to")
				c := layout.Change{Kind: layout.Move, Segments: []layout.SegmentID{s.ID}, Holders: [][]string{{names[(i+1)%3], names[(i+2)%3]}}}
				next, _, err := current.Prepare(c)
				if err != nil {
					t.Skip(err)
				}
				job++
				current, pending[s.ID] = next, c
				tracker.SetLayout(current)
				for _, h := range next.Segment(s.ID).Next {
					if !slices.Contains(s.Holders, h) {
						tracker.AddFill(reshard.Fill{Job: job, Target: reshard.Target{Segment: s.ID, Searcher: h}, SourceHolders: s.Holders})
					}
				}
			},
			"finish": func(t *rapid.T) {
				for _, id := range slices.Sorted(maps.Keys(pending)) {
					c := pending[id]
					if exchangeAll(); rapid.Bool().Draw(t, "abort") {
						current, _ = current.Abort(c, nil)
					} else {
						current, _ = current.CutOver(c, nil)
						current, _ = current.Retire(c)
					}
					for j := reshard.JobID(1); j <= job; j++ {
						tracker.RemoveFills(j)
					}
					tracker.SetLayout(current)
					delete(pending, id)
				}
			},
			"exchange": func(t *rapid.T) { exchange(rapid.SampledFrom(names).Draw(t, "searcher")) },
			"lost report": func(t *rapid.T) {
				id := rapid.SampledFrom(names).Draw(t, "searcher")
				searchers[id].apply(tracker.Order(id))
				tracker.HandleMiss(id)
			},
			"held-back order": func(t *rapid.T) {
				id := rapid.SampledFrom(names).Draw(t, "searcher")
				delayed, delayedTo = append(delayed, tracker.Order(id)), append(delayedTo, id)
				tracker.HandleMiss(id)
			},
			"arrival of a held-back order": func(t *rapid.T) {
				if len(delayed) == 0 {
					t.Skip("no order is held back")
				}
				i := rapid.IntRange(0, len(delayed)-1).Draw(t, "order")
				tracker.HandleReport(delayedTo[i], searchers[delayedTo[i]].apply(delayed[i]))
			},
			"coordinator restarts": func(t *rapid.T) {
				if len(pending) > 0 {
					t.Skip("a change is pending: its fills would have to be added again")
				}
				term++
				tracker = New("x", term, names, 100, Limits{})
				tracker.SetLayout(current)
			},
			"": func(t *rapid.T) {
				for s := range current.Serving() {
					for _, h := range s.Holders {
						if _, ok := searchers[h].held[s.ID]; !ok {
							t.Fatalf("searcher %s does not hold segment %d, which it serves in epoch %d", h, s.ID, current.Epoch())
						}
					}
				}
			},
		})
		if len(pending) == 0 {
			exchangeAll()
			for id, m := range searchers {
				for segment := range m.held {
					if !slices.Contains(current.Segment(segment).Holders, id) {
						t.Fatalf("searcher %s still holds segment %d, whose holders are %v", id, segment, current.Segment(segment).Holders)
					}
				}
			}
		}
	})
}

// Exchanges must produce the events that the coordinator relies on: Down after three
// misses, Up at the next report, Dropped only from a report on the latest order. Reports
// of a later term or of another log must fence the tracker.
func TestEventsAndFencing(t *testing.T) {
	tracker := New("x", 7, []string{"a", "b"}, 100, Limits{})
	if o := tracker.Order("a"); len(o.Drops) > 0 {
		t.Errorf("drops ordered before a layout is known: %v", o.Drops)
	}
	tracker.HandleReport("a", Report{Log: "x", Term: 7, Number: 1, Held: []layout.SegmentID{0, 9}})
	tracker.SetLayout(firstLayout(t))
	tracker.AwaitDrop(reshard.Target{Segment: 9, Searcher: "a"})
	o := tracker.Order("a")
	if !slices.Equal(o.Drops, []layout.SegmentID{9}) {
		t.Errorf("drops %v, want only segment 9", o.Drops)
	}
	for i, want := range []int{0, 0, 1, 0} {
		if got := tracker.HandleMiss("a"); len(got) != want {
			t.Errorf("miss %d returns the events %v", i+1, got)
		}
	}
	if got := fmt.Sprint(tracker.HandleReport("a", Report{Log: "x", Term: 7, Number: 1})); got != "[{a }]" || tracker.Counts().Stale != 1 {
		t.Errorf("an old report returns %s, want Up only", got)
	}
	if got := fmt.Sprint(tracker.HandleReport("a", Report{Log: "x", Term: 7, Number: 2, Held: []layout.SegmentID{0}})); got != "[{{9 a}}]" {
		t.Errorf("the report returns %s, want Dropped", got)
	}
	for name, r := range map[string]Report{"a later term": {Log: "x", Term: 8, Number: 1}, "another log": {Log: "y", Term: 7, Number: 1}} {
		tracker := New("x", 7, []string{"b"}, 100, Limits{})
		tracker.Order("b")
		if tracker.Fenced() || len(tracker.HandleReport("b", r)) > 0 || !tracker.Fenced() {
			t.Errorf("%s must fence the tracker and return no events", name)
		}
	}
}

// A fill counts as copying until its own job has reported it as copied: a report of an
// earlier job for the same segment must not end it.
func TestCopyingEndsWhenAllFillsAreCopied(t *testing.T) {
	tracker := New("x", 1, []string{"a"}, 100, Limits{})
	tracker.SetLayout(firstLayout(t))
	target := reshard.Target{Segment: 5, Searcher: "a"}
	tracker.AddFill(reshard.Fill{Job: 3, Target: target})
	if !tracker.IsCopying() {
		t.Error("a new fill does not count as copying")
	}
	r := Report{Log: "x", Term: 1, Number: tracker.Order("a").Number, Fills: []Progress{{Job: 2, Segment: 5, Copied: true}, {Job: 3, Segment: 5, Copied: true, BehindMS: 4}}}
	if got := tracker.HandleReport("a", r); len(got) != 2 || tracker.IsCopying() {
		t.Errorf("the report returns %v, copying is %v, want two events and false", got, tracker.IsCopying())
	}
	tracker.RemoveFills(3)
	if o := tracker.Order("a"); len(o.Fills) > 0 {
		t.Errorf("fills of a removed job are still ordered: %v", o.Fills)
	}
}
