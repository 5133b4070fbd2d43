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
	"eiderwinch/internal/service"
	"eiderwinch/internal/stats"
)

// limits are limits of the class 'search' as a generation.
func limits(gen uint64, l ClassLimits) *Live {
	return &Live{Generation: gen, MaxOpen: 20, Classes: []ClassLimits{l, {}, {}, {}}}
}

// A query ends under the settings that it was taken under, whatever is put in
// force meanwhile.
func TestEachQueryKeepsItsGeneration(t *testing.T) {
	r := newRig(t)
	r.Apply(limits(1, ClassLimits{Within: 200 * ms, Attempts: 1}))
	old := r.take("search", "old", 0)
	r.after(0)
	r.Apply(limits(2, ClassLimits{Within: 100 * ms, Attempts: 2}))
	r.take("search", "new", 0)
	r.after(0)
	r.want("generations", r.Generations()[0], uint64(2))
	r.want("how many", len(r.Generations()), 2)

	// One attempt each by the older one, and no more, whatever is asked for.
	part := r.queries[old].parts[0].id
	r.after(5*ms, send(part, "a"))
	r.want("calls", len(r.calls), 1)
	r.Core.Result(r.at, r.calls[0][0], eiderwinch.Failed, 0, "")
	r.after(10*ms, send(part, "b"))
	r.want("a second attempt", len(r.calls), 1)
	r.want("it is told so", slices.Contains(r.outcomes(), eiderwinch.NotSent), true)

	r.after(time.Second) // the newer one ends first
	var gens []uint64
	for _, x := range r.replies {
		gens = append(gens, x.Generation)
	}
	r.want("answers", gens, []uint64{2, 1})
	r.want("generations", r.Generations(), []uint64{2})
}

func TestAClassHasItsOwnLimitOfOpenQueries(t *testing.T) {
	r := newRig(t)
	r.Apply(limits(3, ClassLimits{Open: 2}))
	r.take("search", "a", 0)
	r.take("search", "b", 0)
	r.take("search", "c", 0)
	r.want("refused at once", r.replies, []Reply{{Verdict: Refused, RetryAfter: 500 * ms, Generation: 3}})
	r.want("counted", []int{r.stats.Full, r.stats.ClassFull}, []int{1, 1})
	r.take("half", "d", 0) // another class
	r.want("refused", len(r.replies), 1)
	r.after(time.Second)
	r.take("search", "e", 0) // there is room again
	r.want("refused", r.stats.Refused, 1)
	r.Apply(&Live{Generation: 4, MaxOpen: 1})
	r.take("half", "f", 0)
	r.want("the limit of all", r.stats.ClassFull, 1)
	r.want("refused", r.stats.Refused, 2)
}

func TestHowQueriesFareIsRecorded(t *testing.T) {
	r := newRig(t)
	r.set.Service = service.New([]string{"search", "reserve", "report", "half"})
	r.take("search", "a", 0)
	gone := r.take("search", "b", 0)
	r.Gone(r.at, gone)
	r.Apply(limits(1, ClassLimits{Open: 1}))
	r.take("search", "c", 0)
	r.after(2 * time.Second)
	var sum service.Class
	for _, w := range r.set.Service.Since(r.at.Add(time.Hour), 0) {
		for _, c := range w.Classes {
			sum.Taken, sum.Refused, sum.Failed, sum.Gone = sum.Taken+c.Taken, sum.Refused+c.Refused, sum.Failed+c.Failed, sum.Gone+c.Gone
		}
	}
	r.want("of 3", sum, service.Class{Taken: 3, Refused: 1, Failed: 1, Gone: 1})
}

// echo answers every part at once, and every query once its parts are in.
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
		if e.core.parts[parts[0].ID] != nil && e.core.parts[parts[0].ID].in {
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
func (*echo) Reply(Reply)      {}
func (*echo) Left() bool       { return false }

// BenchmarkQuery is a query's way through the core, without and with settings
// that can change and records of how it fared.
func BenchmarkQuery(b *testing.B) {
	set := Settings{Tick: 5 * ms, MaxOpen: 1000, Module: eiderwinch.Settings{
		Shards: 12, Batch: 4, Classes: []eiderwinch.Class{{Name: "search", Deadline: time.Second, Need: 1, Floor: 1}},
	}}
	with := set
	with.Live = &Live{Generation: 7, MaxOpen: 1000, Classes: []ClassLimits{{Within: 900 * ms, Attempts: 3, Open: 500}}}
	with.Service = service.New([]string{"search"})
	for _, c := range []struct {
		name string
		set  Settings
	}{{"plain", set}, {"live", with}} {
		b.Run(c.name, func(b *testing.B) {
			e := &echo{parts: make(map[uint64][]eiderwinch.Part)}
			at := time.Unix(1_000_000, 0)
			e.core = New(c.set, e, e, stats.New(), slog.New(slog.DiscardHandler), at)
			e.core.List(at, eiderwinch.Whole, []Member{{ID: "a", State: eiderwinch.Ready}})
			ask := Ask{Class: "search", Text: "text", Parts: []AskPart{{0, 0.25}, {1, 0.25}, {2, 0.25}, {3, 0.25}}}
			b.ReportAllocs()
			for i := range b.N {
				ask.Trace = strconv.Itoa(i)
				if _, err := e.core.Take(at, ask, e); err != nil {
					b.Fatal(err)
				}
				for range 2 { // sent in the one turn, answered in the next
					at = at.Add(5 * ms)
					e.core.Run(at)
				}
			}
			if e.core.Open() > 1 {
				b.Fatalf("%d queries are open", e.core.Open())
			}
		})
	}
}

// BenchmarkApply is what an apply takes on the event loop, a layout of 10,000
// segments included.
func BenchmarkApply(b *testing.B) {
	var list []layout.Segment
	for i := range 10_000 {
		s := layout.Segment{ID: layout.SegmentID(i), Keys: layout.Range{From: layout.Key(fmt.Sprintf("k%05d", i)), To: layout.Key(fmt.Sprintf("k%05d", i+1))}, Holders: []string{"a"}}
		list = append(list, s)
	}
	list[0].Keys.From, list[len(list)-1].Keys.To = "", ""
	l, err := layout.First(list...)
	if err != nil {
		b.Fatal(err)
	}
	c := New(Settings{Tick: 5 * ms, Layout: l, Module: eiderwinch.Settings{Classes: []eiderwinch.Class{{Name: "search"}}}},
		nil, nil, stats.New(), slog.New(slog.DiscardHandler), time.Unix(1, 0))
	live := []*Live{{Generation: 1}, {Generation: 2}}
	b.ResetTimer()
	for i := range b.N {
		c.Apply(live[i%2])
		if l = l.Reissue(l); !c.Adopt(l) {
			b.Fatal("an epoch was not taken up")
		}
	}
}

// BenchmarkDue asks when the core is wanted next with 10,000 queries and as many
// attempts open, by its queues and by a search through everything, as it was.
func BenchmarkDue(b *testing.B) {
	r := newRig(&testing.T{})
	r.live = &Live{}
	for i := range 10_000 {
		ask := Ask{Trace: strconv.Itoa(i), Class: "search", Text: "text", Parts: []AskPart{{0, 1}}}
		id, err := r.Take(r.at, ask, r)
		if err != nil {
			b.Fatal(err)
		}
		r.begin(eiderwinch.Send{Part: r.queries[id].parts[0].id, Replica: "a"})
	}
	var attempts []*Attempt
	for _, p := range r.parts {
		attempts = append(attempts, p.out...)
	}
	b.Run("queues", func(b *testing.B) {
		for range b.N {
			if r.Due().IsZero() {
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
			for _, q := range r.queries {
				if t := q.backstop(r.set.Tick); t.Before(next) {
					next = t
				}
			}
			if next.IsZero() {
				b.Fatal("nothing is due")
			}
		}
	})
}
