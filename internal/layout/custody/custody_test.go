package custody

import (
	"fmt"
	"maps"
	"slices"
	"testing"

	"pgregory.net/rapid"

	"eiderwinch/internal/layout"
	"eiderwinch/internal/layout/reshard"
	"eiderwinch/internal/trial/steady"
)

func TestMain(m *testing.M) { steady.Main(m) }

// model is a searcher that obeys orders.
type model struct {
	log          string
	term, number uint64
	held         map[layout.SegmentID]reshard.JobID // with the job that it was filled for; 0 from the beginning on
	fills        []Fill
}

func (m *model) take(o Order) Report {
	if m.log == "" {
		m.log = o.Log
	}
	if o.Log == m.log && o.After(m.term, m.number) {
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

func first(t rapid.TB) *layout.Layout {
	l, err := layout.First(
		layout.Segment{ID: 0, Keys: layout.Range{To: "m"}, Holders: []string{"a", "b"}},
		layout.Segment{ID: 1, Keys: layout.Range{From: "m"}, Holders: []string{"b", "c"}})
	if err != nil {
		t.Fatal(err)
	}
	return l
}

// TestNothingNeededIsForgotten moves segments to and fro while orders and reports
// get lost, come twice, come late or after a restart of the coordinator.
func TestNothingNeededIsForgotten(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := first(t)
		names := []string{"a", "b", "c"}
		models := make(map[string]*model)
		for _, n := range names {
			models[n] = &model{held: make(map[layout.SegmentID]reshard.JobID)}
		}
		for s := range now.Serving() {
			for _, h := range s.Holders {
				models[h].held[s.ID] = 0
			}
		}
		term, job := uint64(1), reshard.JobID(0)
		l := New("x", term, names, 100, Limits{})
		l.Publish(now)
		var late []Order // on their way, by whom below
		var to []string
		open := make(map[layout.SegmentID]layout.Change)
		exchange := func(id string) { l.Took(id, models[id].take(l.Order(id))) }
		settle := func() {
			for range 3 {
				for _, id := range names {
					exchange(id)
				}
			}
		}
		t.Repeat(map[string]func(*rapid.T){
			"prepare": func(t *rapid.T) {
				s := rapid.SampledFrom(slices.Collect(now.Serving())).Draw(t, "segment")
				i := rapid.IntRange(0, 2).Draw(t, "not to")
				c := layout.Change{Kind: layout.Move, Segments: []layout.SegmentID{s.ID}, Holders: [][]string{{names[(i+1)%3], names[(i+2)%3]}}}
				next, _, err := now.Prepare(c)
				if err != nil {
					t.Skip(err)
				}
				job++
				now, open[s.ID] = next, c
				l.Publish(now)
				for _, h := range next.Segment(s.ID).Next {
					if !slices.Contains(s.Holders, h) {
						l.Fill(reshard.Fill{Job: job, Target: reshard.Target{Segment: s.ID, Searcher: h}, From: s.Holders})
					}
				}
			},
			"finish": func(t *rapid.T) {
				for _, id := range slices.Sorted(maps.Keys(open)) {
					c := open[id]
					if settle(); rapid.Bool().Draw(t, "abort") {
						now, _ = now.Abort(c, nil)
					} else {
						now, _ = now.CutOver(c, nil)
						now, _ = now.Retire(c)
					}
					for j := reshard.JobID(1); j <= job; j++ {
						l.Stop(j)
					}
					l.Publish(now)
					delete(open, id)
				}
			},
			"exchange": func(t *rapid.T) { exchange(rapid.SampledFrom(names).Draw(t, "searcher")) },
			"lost answer": func(t *rapid.T) {
				id := rapid.SampledFrom(names).Draw(t, "searcher")
				models[id].take(l.Order(id))
				l.Missed(id)
			},
			"held up": func(t *rapid.T) {
				id := rapid.SampledFrom(names).Draw(t, "searcher")
				late, to = append(late, l.Order(id)), append(to, id)
				l.Missed(id)
			},
			"arrives late": func(t *rapid.T) {
				if len(late) == 0 {
					t.Skip("none")
				}
				i := rapid.IntRange(0, len(late)-1).Draw(t, "order")
				l.Took(to[i], models[to[i]].take(late[i]))
			},
			"coordinator restarts": func(t *rapid.T) {
				if len(open) > 0 {
					t.Skip("a change is open: its fills would be told again")
				}
				term++
				l = New("x", term, names, 100, Limits{})
				l.Publish(now)
			},
			"": func(t *rapid.T) {
				for s := range now.Serving() {
					for _, h := range s.Holders {
						if _, ok := models[h].held[s.ID]; !ok {
							t.Fatalf("%s does not hold %d in epoch %d", h, s.ID, now.Epoch())
						}
					}
				}
			},
		})
		if len(open) == 0 {
			settle()
			for id, m := range models {
				for segment := range m.held {
					if !slices.Contains(now.Segment(segment).Holders, id) {
						t.Fatalf("%s still holds %d: %v", id, segment, now.Segment(segment).Holders)
					}
				}
			}
		}
	})
}

func TestDownUpDroppedAndFenced(t *testing.T) {
	l := New("x", 7, []string{"a", "b"}, 100, Limits{})
	if o := l.Order("a"); len(o.Drops) > 0 {
		t.Errorf("before a layout is known %v are dropped", o.Drops)
	}
	l.Took("a", Report{Log: "x", Term: 7, Number: 1, Held: []layout.SegmentID{0, 9}})
	l.Publish(first(t))
	l.Drop(reshard.Target{Segment: 9, Searcher: "a"})
	o := l.Order("a")
	if !slices.Equal(o.Drops, []layout.SegmentID{9}) {
		t.Errorf("drops %v", o.Drops)
	}
	for i, want := range []int{0, 0, 1, 0} {
		if got := l.Missed("a"); len(got) != want {
			t.Errorf("miss %d tells %v", i+1, got)
		}
	}
	if got := fmt.Sprint(l.Took("a", Report{Log: "x", Term: 7, Number: 1})); got != "[{a }]" || l.Counts().Stale != 1 {
		t.Errorf("an old report tells %s, want Up alone", got)
	}
	if got := fmt.Sprint(l.Took("a", Report{Log: "x", Term: 7, Number: 2, Held: []layout.SegmentID{0}})); got != "[{{9 a}}]" {
		t.Errorf("the report tells %s, want Dropped", got)
	}
	for name, r := range map[string]Report{"a later term": {Log: "x", Term: 8, Number: 1}, "another log": {Log: "y", Term: 7, Number: 1}} {
		l := New("x", 7, []string{"b"}, 100, Limits{})
		l.Order("b")
		if l.Fenced() || len(l.Took("b", r)) > 0 || !l.Fenced() {
			t.Errorf("%s must fence, and tell nothing else", name)
		}
	}
}

func TestCopyingEndsWithTheLastCopy(t *testing.T) {
	l := New("x", 1, []string{"a"}, 100, Limits{})
	l.Publish(first(t))
	target := reshard.Target{Segment: 5, Searcher: "a"}
	l.Fill(reshard.Fill{Job: 3, Target: target})
	if !l.Copying() {
		t.Error("a fill has begun")
	}
	r := Report{Log: "x", Term: 1, Number: l.Order("a").Number, Fills: []Progress{{Job: 2, Segment: 5, Copied: true}, {Job: 3, Segment: 5, Copied: true, BehindMS: 4}}}
	if got := l.Took("a", r); len(got) != 2 || l.Copying() {
		t.Errorf("copied: %v, copying %v", got, l.Copying())
	}
	l.Stop(3)
	if o := l.Order("a"); len(o.Fills) > 0 {
		t.Errorf("stopped: %v", o.Fills)
	}
}
