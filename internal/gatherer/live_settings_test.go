package gatherer

import (
	"fmt"
	"log/slog"
	"slices"
	"strconv"
	"testing"
	"time"

	"eiderwinch"
	"eiderwinch/internal/layout"
	"eiderwinch/internal/querystats"
	"eiderwinch/internal/stats"
)

// searchLimits returns settings with limits for the class 'search' only.
func searchLimits(generation uint64, limits ClassLimits) *LiveSettings {
	return &LiveSettings{Generation: generation, MaxOpen: 20, Classes: []ClassLimits{limits, {}, {}, {}}}
}

// A query keeps the settings that were in force when it was taken, whichever settings are
// put in force while it is open.
func TestEachQueryKeepsItsGeneration(t *testing.T) {
	h := newHarness(t)
	h.Apply(searchLimits(1, ClassLimits{MaxDuration: 200 * ms, Attempts: 1}))
	old := h.submit("search", "old", 0)
	h.advance(0)
	h.Apply(searchLimits(2, ClassLimits{MaxDuration: 100 * ms, Attempts: 2}))
	h.submit("search", "new", 0)
	h.advance(0)
	h.checkEqual("generations", h.Generations()[0], uint64(2))
	h.checkEqual("number of generations", len(h.Generations()), 2)

	// The older settings allow one attempt of each part, whatever the aggregator sends.
	part := h.queries[old].parts[0].id
	h.advance(5*ms, send(part, "a"))
	h.checkEqual("calls", len(h.calls), 1)
	h.Core.Result(h.at, h.calls[0][0], eiderwinch.Failed, 0, "")
	h.advance(10*ms, send(part, "b"))
	h.checkEqual("calls after a second send", len(h.calls), 1)
	h.checkEqual("the aggregator receives NotSent", slices.Contains(h.outcomes(), eiderwinch.NotSent), true)

	h.advance(time.Second) // the newer query ends first
	var generations []uint64
	for _, x := range h.replies {
		generations = append(generations, x.Generation)
	}
	h.checkEqual("generations of the answers", generations, []uint64{2, 1})
	h.checkEqual("generations", h.Generations(), []uint64{2})
}

func TestClassLimitOnOpenQueries(t *testing.T) {
	h := newHarness(t)
	h.Apply(searchLimits(3, ClassLimits{MaxOpen: 2}))
	h.submit("search", "a", 0)
	h.submit("search", "b", 0)
	h.submit("search", "c", 0)
	h.checkEqual("refused at once", h.replies, []Reply{{Kind: Refused, RetryAfter: 500 * ms, Generation: 3}})
	h.checkEqual("counted", []int{h.stats.RefusedAtLimit, h.stats.RefusedAtClassLimit}, []int{1, 1})
	h.submit("half", "d", 0) // another class
	h.checkEqual("refused", len(h.replies), 1)
	h.advance(time.Second)
	h.submit("search", "e", 0) // there is room again
	h.checkEqual("refused", h.stats.Refused, 1)
	h.Apply(&LiveSettings{Generation: 4, MaxOpen: 1})
	h.submit("half", "f", 0)
	h.checkEqual("refusals by the class limit", h.stats.RefusedAtClassLimit, 1)
	h.checkEqual("refused", h.stats.Refused, 2)
}

func TestOutcomesAreRecorded(t *testing.T) {
	h := newHarness(t)
	h.settings.Recorder = querystats.New([]string{"search", "reserve", "report", "half"})
	h.submit("search", "a", 0)
	gone := h.submit("search", "b", 0)
	h.ClientDisconnected(h.at, gone)
	h.Apply(searchLimits(1, ClassLimits{MaxOpen: 1}))
	h.submit("search", "c", 0)
	h.advance(2 * time.Second)
	var sum querystats.ClassCounts
	for _, w := range h.settings.Recorder.Since(h.at.Add(time.Hour), 0) {
		for _, c := range w.Classes {
			sum.Taken, sum.Refused, sum.Failed, sum.Gone = sum.Taken+c.Taken, sum.Refused+c.Refused, sum.Failed+c.Failed, sum.Gone+c.Gone
		}
	}
	h.checkEqual("outcomes of 3 queries", sum, querystats.ClassCounts{Taken: 3, Refused: 1, Failed: 1, Gone: 1})
}

// echo is a Decider, Searchers and Client in one: each part is answered at once, and each query
// when its first part is answered.
type echo struct {
	core  *Core
	parts map[uint64][]eiderwinch.Part
}

func (e *echo) Turn(_ time.Duration, events []eiderwinch.Event) (actions []eiderwinch.Action) {
	for _, x := range events {
		if q, ok := x.(eiderwinch.Query); ok {
			e.parts[q.ID] = q.Parts
			for _, p := range q.Parts {
				actions = append(actions, eiderwinch.Send{Part: p.ID, Replica: "a"})
			}
		}
	}
	for id, parts := range e.parts {
		if e.core.parts[parts[0].ID] != nil && len(e.core.parts[parts[0].ID].answers.list) > 0 {
			actions = append(actions, eiderwinch.Answer{Query: id, Whole: true})
			delete(e.parts, id)
		}
	}
	return actions
}

func (e *echo) Call(now time.Time, attempts []*Attempt) {
	for _, a := range attempts {
		e.core.Result(now, a, eiderwinch.OK, 1, "v")
	}
}
func (*echo) Abandon(*Attempt) {}
func (*echo) CloseIdle(string) {}

// DataUnread implements gatherer.Searchers.
func (*echo) DataUnread(*Attempt) bool { return false }

// DataBehind implements gatherer.Searchers.
func (*echo) DataBehind(*Attempt) bool { return false }
func (*echo) Reply(Reply)              {}
func (*echo) Disconnected() bool       { return false }
func (*echo) MayHold(int) bool         { return true }
func (*echo) Hold(int)                 {}

// BenchmarkQuery measures a query's path through the core, first with plain settings, then with
// settings that can change at run time and recorded outcomes.
func BenchmarkQuery(b *testing.B) {
	plain := Settings{Tick: 5 * ms, MaxOpen: 1000, Module: eiderwinch.Settings{
		Shards: 12, MaxBatch: 4, Classes: []eiderwinch.Class{{Name: "search", Deadline: time.Second, WholeShare: 1, MinShare: 1}},
	}}
	live := plain
	live.LiveSettings = &LiveSettings{Generation: 7, MaxOpen: 1000, Classes: []ClassLimits{{MaxDuration: 900 * ms, Attempts: 3, MaxOpen: 500}}}
	live.Recorder = querystats.New([]string{"search"})
	for _, c := range []struct {
		name string
		set  Settings
	}{{"plain", plain}, {"live", live}} {
		b.Run(c.name, func(b *testing.B) {
			e := &echo{parts: make(map[uint64][]eiderwinch.Part)}
			at := time.Unix(1_000_000, 0)
			e.core = New(c.set, e, e, stats.New(), slog.New(slog.DiscardHandler), at)
			e.core.UpdateMembers(at, eiderwinch.Whole, []Member{{ID: "a", State: eiderwinch.Ready}})
			request := QueryRequest{Class: "search", Text: "text", Parts: []PartRequest{{0, 0.25}, {1, 0.25}, {2, 0.25}, {3, 0.25}}}
			b.ReportAllocs()
			for i := range b.N {
				request.Trace = strconv.Itoa(i)
				if _, err := e.core.Take(at, request, e); err != nil {
					b.Fatal(err)
				}
				for range 2 { // sent in the first turn, answered in the second
					at = at.Add(5 * ms)
					e.core.Run(at)
				}
			}
			if e.core.OpenQueries() > 1 {
				b.Fatalf("%d queries are open", e.core.OpenQueries())
			}
		})
	}
}

// BenchmarkApply measures the time on the event loop to put new settings and a new layout of
// 10,000 segments in force.
func BenchmarkApply(b *testing.B) {
	var segments []layout.Segment
	for i := range 10_000 {
		s := layout.Segment{ID: layout.SegmentID(i), Keys: layout.Range{From: layout.Key(fmt.Sprintf("k%05d", i)), To: layout.Key(fmt.Sprintf("k%05d", i+1))}, Holders: []string{"a"}}
		segments = append(segments, s)
	}
	segments[0].Keys.From, segments[len(segments)-1].Keys.To = "", ""
	current, err := layout.First(segments...)
	if err != nil {
		b.Fatal(err)
	}
	core := New(Settings{Tick: 5 * ms, Layout: current, Module: eiderwinch.Settings{Classes: []eiderwinch.Class{{Name: "search"}}}},
		nil, nil, stats.New(), slog.New(slog.DiscardHandler), time.Unix(1, 0))
	live := []*LiveSettings{{Generation: 1}, {Generation: 2}}
	b.ResetTimer()
	for i := range b.N {
		core.Apply(live[i%2])
		if current = current.Reissue(current); !core.Adopt(current) {
			b.Fatal("a new epoch was not adopted")
		}
	}
}

// BenchmarkDue measures how long it takes to find when the core is due next with 10,000 open
// queries and as many attempts in flight: by the timer queues, and by a search through all
// queries and attempts.
func BenchmarkDue(b *testing.B) {
	h := newHarness(&testing.T{})
	h.liveSettings = &LiveSettings{}
	for i := range 10_000 {
		request := QueryRequest{Trace: strconv.Itoa(i), Class: "search", Text: "text", Parts: []PartRequest{{0, 1}}}
		id, err := h.Take(h.at, request, h)
		if err != nil {
			b.Fatal(err)
		}
		h.startAttempt(eiderwinch.Send{Part: h.queries[id].parts[0].id, Replica: "a"})
	}
	var attempts []*Attempt
	for _, p := range h.parts {
		attempts = append(attempts, p.inFlight...)
	}
	b.Run("queues", func(b *testing.B) {
		for range b.N {
			if h.NextRun().IsZero() {
				b.Fatal("nothing is due")
			}
		}
	})
	b.Run("search", func(b *testing.B) {
		for range b.N {
			var next time.Time
			for _, a := range attempts {
				if next.IsZero() || a.Deadline.Before(next) {
					next = a.Deadline
				}
			}
			for _, q := range h.queries {
				if t := q.backstop(h.settings.Tick); t.Before(next) {
					next = t
				}
			}
			if next.IsZero() {
				b.Fatal("nothing is due")
			}
		}
	})
}
