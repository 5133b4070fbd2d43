package gatherer

import (
	"errors"
	"fmt"
	"log/slog"
	"math"
	"reflect"
	"slices"
	"testing"
	"time"

	"eiderwinch"
	"eiderwinch/internal/stats"
)

const ms = time.Millisecond

// harness runs a Core on a simulated clock. It implements Decider by a script, and records
// the calls to Searchers and Client.
type harness struct {
	*Core
	t          *testing.T
	at         time.Time
	turns      [][]eiderwinch.Event // events of each turn
	clocks     []time.Duration
	script     func([]eiderwinch.Event) []eiderwinch.Action // nil: no actions
	calls      [][]*Attempt
	abandoned  []*Attempt
	closed     []string
	replies    []Reply
	clientLeft bool // the client has disconnected, and the end of its connection has not been read yet
	dataUnread bool // something was received from searchers and not read yet
	dataBehind bool // something stands behind provisional answers that does not confirm them
	noRoom     bool // there is no room for further queries
	held       int  // bytes that the open query takes
}

func (h *harness) Turn(now time.Duration, events []eiderwinch.Event) []eiderwinch.Action {
	h.turns, h.clocks = append(h.turns, events), append(h.clocks, now)
	if h.script == nil {
		return nil
	}
	return h.script(events)
}

func (h *harness) Call(_ time.Time, attempts []*Attempt) { h.calls = append(h.calls, attempts) }
func (h *harness) Abandon(a *Attempt)                    { h.abandoned = append(h.abandoned, a) }
func (h *harness) CloseIdle(searcher string)             { h.closed = append(h.closed, searcher) }
func (h *harness) DataUnread(*Attempt) bool              { return h.dataUnread }
func (h *harness) DataBehind(*Attempt) bool              { return h.dataBehind }
func (h *harness) Reply(x Reply)                         { h.replies = append(h.replies, x) }
func (h *harness) Disconnected() bool                    { return h.clientLeft }
func (h *harness) MayHold(int) bool                      { return !h.noRoom }
func (h *harness) Hold(bytes int)                        { h.held = bytes }

func newHarness(t *testing.T) *harness {
	settings := Settings{Tick: 5 * ms, MaxOpen: 20, Module: eiderwinch.Settings{
		Shards: 12, MaxBatch: 2, MaxAttempts: 2, RetryAdvice: true, MaxRetryAdvice: time.Second,
		Classes: []eiderwinch.Class{
			{Name: "search", Deadline: time.Second, WholeShare: 1, MinShare: 1},
			{Name: "reserve", Deadline: time.Second, WholeShare: 1, MinShare: 1, Effect: eiderwinch.Keyed},
			{Name: "report", Deadline: time.Second, WholeShare: 1, MinShare: 1, SecondStepParts: 2},
			{Name: "half", Deadline: time.Second, WholeShare: 1, MinShare: 0.5},
		},
	}}
	h := &harness{t: t, at: time.Unix(1_000_000, 0)}
	h.Core = New(settings, h, h, stats.New(), slog.New(slog.DiscardHandler), h.at)
	h.UpdateMembers(h.at, eiderwinch.Whole, []Member{{ID: "a", State: eiderwinch.Ready}, {ID: "b", State: eiderwinch.Ready}})
	h.advance(0)
	return h
}

// advance moves the clock by d and runs the core whenever it is due. The first turn in that time
// returns the given actions.
func (h *harness) advance(d time.Duration, actions ...eiderwinch.Action) {
	h.script = func([]eiderwinch.Event) []eiderwinch.Action {
		out := actions
		actions = nil
		return out
	}
	end := h.at.Add(d)
	for due := h.NextRun(); !due.IsZero() && !due.After(end); due = h.NextRun() {
		h.at = due
		h.Run(due)
	}
	h.at = end
}

// submit passes a query to Take.
func (h *harness) submit(class, trace string, shards ...int) uint64 {
	h.t.Helper()
	request := QueryRequest{Trace: trace, Class: class, IdempotencyKey: "k", Timeout: 300 * ms, Text: "text"}
	for _, s := range shards {
		request.Parts = append(request.Parts, PartRequest{s, 1 / float64(len(shards))})
	}
	id, err := h.Take(h.at, request, h)
	if err != nil {
		h.t.Fatal(err)
	}
	return id
}

func (h *harness) checkEqual(what string, got, want any) {
	h.t.Helper()
	if !reflect.DeepEqual(got, want) {
		h.t.Errorf("%s: got %+v, want %+v", what, got, want)
	}
}

// outcomes returns the statuses of the Outcome events that the aggregator has received.
func (h *harness) outcomes() (out []eiderwinch.Status) {
	for _, events := range h.turns {
		for _, e := range events {
			if e, ok := e.(eiderwinch.Outcome); ok {
				out = append(out, e.Status)
			}
		}
	}
	return out
}

func send(part uint64, to string) eiderwinch.Send { return eiderwinch.Send{Part: part, Replica: to} }

func TestTurnsRunOnTheTickGrid(t *testing.T) {
	h := newHarness(t)
	h.turns = nil
	h.advance(7 * ms)
	h.submit("search", "t1", 0)
	h.advance(1 * ms)
	h.submit("search", "t2", 0)
	h.advance(1 * ms)
	h.checkEqual("turns before the tick", len(h.turns), 0)
	h.advance(1 * ms)
	h.checkEqual("turns at the tick", len(h.turns), 1)
	h.checkEqual("queries in that turn", len(h.turns[0]), 2)
	// The time spent waiting for the turn counts against the client's: Left must not restart from 300 ms.
	h.checkEqual("time left", h.turns[0][0].(eiderwinch.Query).Left, 297*ms)
	h.checkEqual("clock", h.clocks[len(h.clocks)-1], time.Duration(time.Unix(1_000_000, 0).UnixNano())+10*ms)
}

func TestEarliestWakeIsDelivered(t *testing.T) {
	h := newHarness(t)
	h.submit("search", "t", 0)
	h.advance(5*ms, eiderwinch.Wake{After: 30 * ms}, eiderwinch.Wake{After: 12 * ms})
	h.turns = nil
	h.advance(14 * ms)
	h.checkEqual("turns before", len(h.turns), 0)
	h.advance(1 * ms)
	h.checkEqual("events", h.turns, [][]eiderwinch.Event{{eiderwinch.Woken{}}})
}

func TestTakeValidatesQueries(t *testing.T) {
	h := newHarness(t)
	h.submit("search", "open", 0)
	valid := QueryRequest{Trace: "t", Class: "reserve", IdempotencyKey: "k", Parts: []PartRequest{{0, 1}}}
	for name, c := range map[string]struct {
		modify func(*QueryRequest)
		want   error
	}{
		"unknown class":     {func(a *QueryRequest) { a.Class = "unknown" }, ErrUnknownClass},
		"open trace":        {func(a *QueryRequest) { a.Trace = "open" }, ErrDuplicate},
		"no trace":          {func(a *QueryRequest) { a.Trace = "" }, ErrInvalid},
		"no key":            {func(a *QueryRequest) { a.IdempotencyKey = "" }, ErrInvalid},
		"negative timeout":  {func(a *QueryRequest) { a.Timeout = -1 }, ErrInvalid},
		"no parts":          {func(a *QueryRequest) { a.Parts = nil }, ErrInvalid},
		"unknown shard":     {func(a *QueryRequest) { a.Parts = []PartRequest{{12, 1}} }, ErrInvalid},
		"negative shard":    {func(a *QueryRequest) { a.Parts = []PartRequest{{-1, 1}} }, ErrInvalid},
		"shard named twice": {func(a *QueryRequest) { a.Parts = []PartRequest{{1, 1}, {1, 1}} }, ErrInvalid},
		"zero weight":       {func(a *QueryRequest) { a.Parts = []PartRequest{{1, 0}} }, ErrInvalid},
		"NaN weight":        {func(a *QueryRequest) { a.Parts = []PartRequest{{1, math.NaN()}} }, ErrInvalid},
		"weight below 0":    {func(a *QueryRequest) { a.Parts = []PartRequest{{1, 1}, {2, -0.5}, {3, 0.5}} }, ErrInvalid},
		"weight above 1":    {func(a *QueryRequest) { a.Parts = []PartRequest{{1, 1.5}} }, ErrInvalid},
		"sum below 1":       {func(a *QueryRequest) { a.Parts = []PartRequest{{1, 0.4}, {2, 0.5}} }, ErrInvalid},
		"sum above 1":       {func(a *QueryRequest) { a.Parts = []PartRequest{{1, 0.5}, {2, 0.51}} }, ErrInvalid},
	} {
		request := valid
		c.modify(&request)
		if _, err := h.Take(h.at, request, h); !errors.Is(err, c.want) {
			t.Errorf("%s: got %v, want %v", name, err, c.want)
		}
	}
	if _, err := h.Take(h.at, valid, h); err != nil {
		t.Errorf("valid query: %v", err)
	}
}

func TestQueriesOverTheOpenLimitAreRefused(t *testing.T) {
	h := newHarness(t)
	for i := range 5 { // 4 each (query and parts): 20
		h.submit("search", fmt.Sprint("t", i), 0, 1, 2)
	}
	h.checkEqual("refused below the limit", len(h.replies), 0)
	h.checkEqual("id", h.submit("search", "t6", 0), uint64(0))
	h.checkEqual("replies", h.replies, []Reply{{Kind: Refused, RetryAfter: 500 * ms}})
	h.advance(5*ms, eiderwinch.Refuse{Query: 1}) // ends the query, so there is room again
	if h.submit("search", "t7", 0, 1, 2) == 0 {
		t.Error("refused below the limit")
	}
}

func TestSendsOfOneTurnAreBatchedBySearcher(t *testing.T) {
	h := newHarness(t)
	h.submit("search", "t", 0, 1, 2, 3) // parts 2 to 5
	h.advance(5*ms, send(2, "a"), send(3, "b"), send(4, "a"), send(5, "a"))
	var got []string
	for _, call := range h.calls {
		s := call[0].Searcher
		for _, a := range call {
			s += fmt.Sprint(" ", a.Shard)
		}
		got = append(got, s)
	}
	h.checkEqual("calls", got, []string{"a 0 2", "a 3", "b 1"})
}

func TestEachSendGetsOneOutcome(t *testing.T) {
	for name, c := range map[string]struct {
		end  func(*harness, *Attempt)
		want eiderwinch.Status
	}{
		"ok":       {func(h *harness, a *Attempt) { h.Result(h.at, a, eiderwinch.OK, 1, "v") }, eiderwinch.OK},
		"error":    {func(h *harness, a *Attempt) { h.Result(h.at, a, eiderwinch.Failed, 0, "") }, eiderwinch.Failed},
		"full":     {func(h *harness, a *Attempt) { h.Result(h.at, a, eiderwinch.Full, 0, "") }, eiderwinch.Full},
		"unsent":   {func(h *harness, a *Attempt) { h.NotSent(h.at, a) }, eiderwinch.NoConnection},
		"broken":   {func(h *harness, a *Attempt) { h.ConnectionBroken(h.at, a) }, eiderwinch.Reset},
		"cancel":   {func(h *harness, a *Attempt) { h.advance(5*ms, eiderwinch.Cancel{Part: 2}) }, eiderwinch.Cancelled},
		"time-out": {func(h *harness, a *Attempt) { h.advance(60 * ms) }, eiderwinch.TimedOut},
	} {
		h := newHarness(t)
		h.submit("search", "t", 0)
		h.advance(5*ms, eiderwinch.Send{Part: 2, Replica: "a", TimeOut: 50 * ms})
		a := h.calls[0][0]
		h.submit("search", "u", 0) // causes a turn, which can then cancel the attempt
		c.end(h, a)
		h.Result(h.at, a, eiderwinch.OK, 1, "late") // later results are dropped
		h.ConnectionBroken(h.at, a)
		h.advance(100 * ms)
		h.checkEqual(name, h.outcomes(), []eiderwinch.Status{c.want})
		abandoned := c.want == eiderwinch.TimedOut || c.want == eiderwinch.Cancelled
		h.checkEqual(name+": attempts abandoned", len(h.abandoned), map[bool]int{abandoned: 1}[true])
	}
}

func TestSecondCopiesAndExtraAttemptsAreNotSent(t *testing.T) {
	h := newHarness(t)
	h.submit("search", "t", 0)
	h.advance(5*ms, send(2, "a"), send(2, "b")) // the second while the first is in flight
	h.checkEqual("calls", len(h.calls), 1)
	h.advance(5 * ms)
	h.checkEqual("outcomes", h.outcomes(), []eiderwinch.Status{eiderwinch.NotSent})
	h.ConnectionBroken(h.at, h.calls[0][0])
	h.advance(5*ms, send(2, "b")) // the third attempt, where two are allowed
	h.checkEqual("calls", len(h.calls), 1)
}

// Where the settings allow second copies, the module relies on them. A core that rejects
// a second copy as a broken rule costs the part one of its few attempts.
func TestSecondCopyWhereAllowed(t *testing.T) {
	for _, first := range []int{0, 1} {
		h := newHarness(t)
		h.settings.Module.SecondCopies, h.settings.Module.MaxAttempts = true, 4
		h.submit("search", "t", 0)
		again := eiderwinch.Wake{After: 5 * ms}
		h.advance(5*ms, send(2, "a"), again)
		h.advance(5*ms, send(2, "a"), send(2, "b"), again) // a copy at the same searcher could not be told apart from the first
		h.checkEqual("calls", len(h.calls), 2)
		h.advance(5*ms, send(2, "b")) // two are in flight
		h.checkEqual("calls", len(h.calls), 2)
		h.checkEqual("copies", h.stats.SecondCopies, 1)
		winner, loser := h.calls[first][0], h.calls[1-first][0]
		h.Result(h.at, winner, eiderwinch.OK, 1, "won")
		h.advance(5*ms, eiderwinch.Answer{Query: 1, Whole: true}, eiderwinch.Cancel{Part: 2, Attempt: loser.number})
		h.checkEqual("replies", h.replies, []Reply{{Kind: Answered, Whole: true, Values: []ShardValue{{0, "won"}}}})
		h.Result(h.at, loser, eiderwinch.OK, 1, "lost")
		h.advance(300 * ms)
		h.checkEqual("outcomes", h.outcomes(), []eiderwinch.Status{
			eiderwinch.NotSent, eiderwinch.NotSent, eiderwinch.OK, eiderwinch.Cancelled,
		})
		h.checkEqual("abandoned", h.abandoned, []*Attempt{loser})
		h.checkEqual("replies", len(h.replies), 1)
		h.checkEqual("parts kept", len(h.parts), 0)
	}
}

// A part that must not run twice gets no second copy, whatever the module sends.
func TestNoSecondCopyOfAnUnsafePart(t *testing.T) {
	h := newHarness(t)
	h.settings.Module.SecondCopies = true
	h.settings.Module.Classes[0].Effect = eiderwinch.Unsafe
	h.submit("search", "t", 0)
	h.advance(5*ms, send(2, "a"), send(2, "b"))
	h.checkEqual("calls", len(h.calls), 1)
}

func TestResultOfACancelledAttemptIsIgnored(t *testing.T) {
	h := newHarness(t)
	h.submit("search", "t", 0)
	h.advance(5*ms, send(2, "a"))
	old := h.calls[0][0]
	h.submit("search", "u", 0)
	h.advance(5*ms, eiderwinch.Cancel{Part: 2}, send(2, "b"))
	h.Result(h.at, old, eiderwinch.OK, 1, "old")
	h.advance(5*ms, eiderwinch.Answer{Query: 1, Whole: true})
	h.checkEqual("answer from a cancelled attempt", h.replies, []Reply{{Kind: Failed}})
}

// The drain grace may have begun before the update of the member list arrives. So nothing may be sent after the
// update, however little of the grace seems to have passed: neither attempts that wait for a connection nor those
// that are decided in the same turn.
func TestNothingIsSentToADrainingSearcher(t *testing.T) {
	h := newHarness(t)
	h.submit("search", "t", 0, 1, 2)
	h.advance(5*ms, send(2, "a"), send(3, "b"))
	a, b := h.calls[0][0], h.calls[1][0] // both wait for a connection
	h.checkEqual("before the update", []bool{h.MaySend(h.at, a), h.MaySend(h.at, b)}, []bool{true, true})
	h.UpdateMembers(h.at, eiderwinch.Changes, []Member{{ID: "a", State: eiderwinch.Draining}})
	h.checkEqual("a is draining", []bool{h.MaySend(h.at, a), h.MaySend(h.at, b)}, []bool{false, true})
	h.UpdateMembers(h.at, eiderwinch.Whole, []Member{{ID: "a", State: eiderwinch.Draining}}) // b is removed
	h.checkEqual("b is removed", []bool{h.MaySend(h.at, a), h.MaySend(h.at, b)}, []bool{false, false})
	h.submit("search", "v", 7)
	h.calls = nil
	h.advance(5*ms, send(6, "a"), send(6, "nobody"))
	h.checkEqual("calls to draining or unknown searchers", len(h.calls), 0)
	h.UpdateMembers(h.at, eiderwinch.Changes, []Member{{ID: "a", State: eiderwinch.Ready}})
	h.checkEqual("ready again", h.notReady("a"), false)
}

// Searchers keep being replaced by new ones with new IDs, so entries that are never deleted would accumulate.
func TestRemovedSearchersAreForgotten(t *testing.T) {
	h := newHarness(t)
	for i := range 100 {
		h.at = h.at.Add(time.Second)
		h.UpdateMembers(h.at, eiderwinch.Changes, []Member{
			{ID: fmt.Sprint("s", i), State: eiderwinch.Ready}, {ID: fmt.Sprint("s", i-1), State: eiderwinch.Removed},
		})
	}
	if len(h.members) > 3 { // a, b and the new one
		t.Errorf("%d members are kept, want at most 3", len(h.members))
	}
}

func TestQueryIsAnsweredWithoutAnyDecision(t *testing.T) {
	h := newHarness(t)
	h.submit("search", "t", 0)
	h.advance(309 * ms)
	h.checkEqual("replies before two ticks after the deadline", len(h.replies), 0)
	h.advance(1 * ms)
	h.checkEqual("replies two ticks after the deadline", h.replies, []Reply{{Kind: Failed, Overdue: true}})
	h.advance(time.Second, eiderwinch.Answer{Query: 1})
	h.checkEqual("replies in total", len(h.replies), 1)
	h.checkEqual("records left", []int{h.openCount, len(h.parts), len(h.queries), len(h.queriesByTrace)}, []int{0, 0, 0, 0})
}

func TestDisconnectedClientGetsNoReply(t *testing.T) {
	h := newHarness(t)
	id := h.submit("search", "t", 0)
	h.advance(5*ms, send(2, "a"))
	h.ClientDisconnected(h.at, id)
	h.advance(5*ms, eiderwinch.Cancel{Part: 2}, eiderwinch.Fail{Query: id})
	h.checkEqual("replies", len(h.replies), 0)
	h.checkEqual("abandoned attempts", len(h.abandoned), 1)
	h.advance(5 * ms)
	h.checkEqual("records left", []int{h.openCount, len(h.parts), h.inFlight.Len()}, []int{0, 0, 0})
}

func TestRoundedWeightsAreNormalized(t *testing.T) {
	h := newHarness(t)
	h.turns = nil
	request := QueryRequest{Trace: "t", Class: "search", Parts: []PartRequest{{0, 0.333}, {1, 0.333}, {2, 0.333}}}
	if _, err := h.Take(h.at, request, h); err != nil {
		t.Fatal(err)
	}
	h.advance(5 * ms)
	sum := 0.0
	for _, p := range h.turns[0][0].(eiderwinch.Query).Parts {
		sum += p.Weight
	}
	if math.Abs(sum-1) > 1e-9 {
		t.Errorf("the weights add up to %v, want 1", sum)
	}
}

func TestAnswersMatchReceivedParts(t *testing.T) {
	for name, c := range map[string]struct {
		class string
		in    int // number of answered parts, of two
		whole bool
		want  Reply
	}{
		"whole":              {"search", 2, true, Reply{Whole: true, Values: []ShardValue{{0, "v0"}, {1, "v1"}}}},
		"one missing":        {"search", 1, true, Reply{Kind: Failed}},
		"none answered":      {"half", 0, false, Reply{Kind: Failed}},
		"half":               {"half", 1, false, Reply{Values: []ShardValue{{0, "v0"}}}},
		"half, marked whole": {"half", 1, true, Reply{Values: []ShardValue{{0, "v0"}}}},
	} {
		h := newHarness(t)
		h.submit(c.class, "t", 0, 1)
		h.advance(5*ms, send(2, "a"), send(3, "b"))
		for i := range c.in {
			h.Result(h.at, h.calls[i][0], eiderwinch.OK, 1, fmt.Sprint("v", i))
		}
		h.Result(h.at, h.calls[1][0], eiderwinch.Failed, 0, "not a value")
		h.advance(5*ms, eiderwinch.Answer{Query: 1, Whole: c.whole})
		h.checkEqual(name, h.replies, []Reply{c.want})
	}
}

func TestSecondStep(t *testing.T) {
	h := newHarness(t)
	h.submit("report", "t", 3, 5, 7)
	h.advance(5*ms, send(2, "a"), send(3, "a"), send(4, "b"))
	for i, score := range []int64{20, 10, 30} {
		a := slices.Concat(h.calls...)[i]
		h.Result(h.at, a, eiderwinch.OK, score, "first")
	}
	h.advance(5*ms, eiderwinch.Answer{Query: 1, Whole: true})
	h.checkEqual("replies after the first step", len(h.replies), 0)
	h.turns = nil
	h.advance(5*ms, send(5, "a"), send(6, "b"))
	h.checkEqual("parts at the highest scores", h.turns[0][0], eiderwinch.SecondStep{Query: 1, Parts: []eiderwinch.Part{
		{ID: 5, Shard: 7, Weight: 0.5}, {ID: 6, Shard: 3, Weight: 0.5},
	}})
	seconds := slices.Concat(h.calls[2:]...)
	h.checkEqual("details of the first step", []any{seconds[0].IsSecondStep, seconds[0].FirstStepShards, seconds[0].FirstStepWhole}, []any{true, []int{3, 5, 7}, true})
	h.Result(h.at, seconds[0], eiderwinch.OK, 0, "x")
	h.Result(h.at, seconds[1], eiderwinch.OK, 0, "y")
	h.advance(5*ms, eiderwinch.Answer{Query: 1, Whole: true})
	h.checkEqual("the answer", h.replies, []Reply{{Whole: true, Values: []ShardValue{{7, "x"}, {3, "y"}}}})
}

func TestStartBeforeThisProcessIsNotReportedAsLongAgo(t *testing.T) {
	// The module takes a start time of 0 or less for "long ago" and would overload a cold searcher.
	h := newHarness(t)
	h.turns = nil
	h.UpdateMembers(h.at, eiderwinch.Changes, []Member{
		{ID: "a", State: eiderwinch.Ready, Started: h.at.Add(-2 * time.Second)}, {ID: "b", State: eiderwinch.Ready},
	})
	h.advance(5 * ms)
	list := h.turns[0][0].(eiderwinch.ListChange).Replicas
	h.checkEqual("age", h.clocks[len(h.clocks)-1]-list[0].Started, 2*time.Second+5*ms)
	h.checkEqual("long ago", list[1].Started, time.Duration(0))
}

// A discovery service that has lost its state sends an empty list to all gatherers at once, which must not stop
// them. A list that leaves out some searchers does remove these.
func TestEmptyListIsIgnored(t *testing.T) {
	h := newHarness(t)
	h.UpdateMembers(h.at, eiderwinch.Whole, nil)
	h.advance(time.Second)
	h.checkEqual("ready after an empty list", h.Ready("a") && h.Ready("b"), true)
	h.checkEqual("empty lists", h.stats.EmptyLists, 1)
	h.UpdateMembers(h.at, eiderwinch.Changes, nil)
	h.checkEqual("empty lists after no changes", h.stats.EmptyLists, 1)
	h.UpdateMembers(h.at, eiderwinch.Whole, []Member{{ID: "b", State: eiderwinch.Ready}})
	h.advance(time.Second)
	h.checkEqual("ready after a list without a", h.Ready("a"), false)
	h.checkEqual("b is ready", h.Ready("b"), true)
}

// The wall clock may be stepped while searchers start, which would shift their start times and make cold searchers
// look warm. A start reported before the step keeps its converted time; after a step, a searcher may count as
// colder than it is, never as warmer.
func TestWallClockStepDoesNotMakeAColdSearcherWarm(t *testing.T) {
	for name, step := range map[string]time.Duration{"forward": time.Hour, "back": -time.Hour, "by seconds": 7 * time.Second} {
		t.Run(name, func(t *testing.T) {
			h := newHarness(t)
			offset := time.Duration(0)
			h.startTimes = newStartTimes(h.start, 18*time.Second)
			h.startTimes.wallClock = func(now time.Time) time.Time {
				if now.Equal(h.start) {
					return now
				}
				return now.Add(offset)
			}
			ageOf := func(id string, reported time.Time) time.Duration {
				h.UpdateMembers(h.at, eiderwinch.Changes, []Member{{ID: id, State: eiderwinch.Ready, Started: reported}})
				return h.at.Sub(h.members[id].startedAt)
			}
			h.at = h.at.Add(10 * time.Second)
			before := h.at.Add(-4 * time.Second)
			if age := ageOf("a", before); age != 4*time.Second {
				t.Errorf("without a step: %v old, want 4 s", age)
			}
			offset = step
			h.at = h.at.Add(time.Second)
			if age := ageOf("a", before); age != 5*time.Second {
				t.Errorf("reported again after the step: %v old, want 5 s", age)
			}
			if age := ageOf("b", h.at.Add(step-2*time.Second)); age != 0 {
				t.Errorf("started and reported after the step: %v old, want 0", age)
			}
			if age := ageOf("c", before); age != 0 {
				t.Errorf("started before and reported after the step: %v old, want 0", age)
			}
			h.at = h.at.Add(time.Minute)
			if age := ageOf("d", h.at.Add(step-2*time.Second)); age != 2*time.Second {
				t.Errorf("long after the step: %v old, want 2 s", age)
			}
			if age := ageOf("e", h.at.Add(step+time.Minute)); age != 0 {
				t.Errorf("a start in the future: %v old, want 0", age)
			}
		})
	}
}

// WIRE, rule 1: "A `hand_off` for a part that is over [...] breaks the rule"; LATER: "serving a client anything but the value made for its
// request loses that request". Whatever is decided, an answer in doubt is neither served nor asked for again.
func TestDoubtfulAnswerIsNeitherServedNorSentAgain(t *testing.T) {
	h := newHarness(t)
	h.settings.Module.MaxAttempts = 4
	id := h.submit("search", "x", 3, 4)
	h.advance(5*ms, send(id+1, "a"), send(id+2, "b"))
	first, second := h.calls[0][0], h.calls[1][0]
	h.ProvisionalResult(h.at, first, 1, "in doubt")
	h.advance(5 * ms)
	h.checkEqual("taken back", []bool{h.Doubt(h.at, first, InvalidData), h.Doubt(h.at, first, InvalidData)}, []bool{true, false})
	h.Result(h.at, second, eiderwinch.OK, 1, "good")
	h.advance(5*ms, send(id+1, "b"), send(id+2, "a"))
	h.checkEqual("calls", len(h.calls), 2)
	h.checkEqual("rejected", h.stats.RejectedSendsBy, map[string]int{"answered": 2})
	h.advance(5*ms, eiderwinch.Answer{Query: id, Whole: true})
	h.checkEqual("taken back after the reply", h.Doubt(h.at, second, InvalidData), false)
	h.advance(5 * ms)
	h.checkEqual("replies", h.replies, []Reply{{Kind: Failed}})
	h.checkEqual("outcomes", h.outcomes(), []eiderwinch.Status{eiderwinch.OK, eiderwinch.OK, eiderwinch.NotSent, eiderwinch.NotSent})
	h.checkEqual("in doubt", h.stats.InDoubt, 1)
}

// A class that may be answered from less than all parts goes on without one in doubt.
func TestPartialAnswerWithoutAPartInDoubt(t *testing.T) {
	h := newHarness(t)
	id := h.submit("half", "x", 3, 4)
	h.advance(5*ms, send(id+1, "a"), send(id+2, "b"))
	h.ProvisionalResult(h.at, h.calls[0][0], 1, "in doubt")
	h.Result(h.at, h.calls[1][0], eiderwinch.OK, 1, "good")
	h.Doubt(h.at, h.calls[0][0], ConnectionReset)
	h.advance(5*ms, eiderwinch.Answer{Query: id, Whole: true})
	h.checkEqual("replies", h.replies, []Reply{{Values: []ShardValue{{4, "good"}}}})
}

// Whatever is decided, a provisional value is not served while something stands behind it that does not confirm it.
func TestDoubtfulValueIsNotServed(t *testing.T) {
	for name, c := range map[string]struct {
		confirmed, dataBehind bool
		want                  ReplyKind
		held, unconfirmed     int
	}{
		"nothing behind":         {false, false, Answered, 1, 1},
		"something behind":       {false, true, Failed, 0, 0},
		"something behind later": {true, true, Answered, 1, 0}, // it is not behind this answer any more
	} {
		h := newHarness(t)
		id := h.submit("search", "x", 3)
		h.advance(5*ms, send(id+1, "a"))
		a := h.calls[0][0]
		h.ProvisionalResult(h.at, a, 1, "v")
		h.checkEqual(name+": awaits confirmation", a.AwaitsConfirmation(), true)
		if c.confirmed {
			h.at = h.at.Add(2 * ms)
			h.Confirm(h.at, a)
			h.checkEqual(name+": still awaits it", a.AwaitsConfirmation(), false)
		}
		h.dataBehind = c.dataBehind
		h.advance(5*ms, eiderwinch.Answer{Query: id, Whole: true})
		h.checkEqual(name+": reply", h.replies[0].Kind, c.want)
		h.checkEqual(name+": held", []int{h.stats.Held, h.stats.Unconfirmed}, []int{c.held, c.unconfirmed})
		if !c.confirmed {
			h.Doubt(h.at, a, InvalidData)
		}
		h.checkEqual(name+": refuted late", h.stats.RefutedLate, c.unconfirmed)
	}
}

// A final answer of a second copy replaces a provisional one, and stays when that is in doubt.
func TestFinalAnswerReplacesProvisionalOne(t *testing.T) {
	h := newHarness(t)
	h.settings.Module.SecondCopies = true
	id := h.submit("search", "x", 3)
	h.advance(5*ms, send(id+1, "a"), send(id+1, "b"))
	first, second := h.calls[0][0], h.calls[1][0]
	h.ProvisionalResult(h.at, first, 1, "spoilt")
	h.Result(h.at, second, eiderwinch.OK, 1, "whole")
	h.checkEqual("awaits confirmation", first.AwaitsConfirmation(), false)
	h.checkEqual("the first one is taken back", h.Doubt(h.at, first, InvalidData), true)
	h.advance(5*ms, eiderwinch.Answer{Query: id, Whole: true})
	h.checkEqual("reply", h.replies, []Reply{{Kind: Answered, Whole: true, Values: []ShardValue{{3, "whole"}}}})
}

// A query whose time is cut short is answered from a provisional value, but not from one that something stands behind.
func TestEarlyEndWithProvisionalValue(t *testing.T) {
	for name, c := range map[string]struct {
		class      string
		dataBehind bool
		want       ReplyKind
	}{
		"nothing behind":                 {"reserve", false, Answered},
		"something behind":               {"search", true, Refused},
		"something behind, may have run": {"reserve", true, Failed},
	} {
		h := newHarness(t)
		id := h.submit(c.class, "x", 3)
		h.advance(5*ms, send(id+1, "a"))
		h.ProvisionalResult(h.at, h.calls[0][0], 1, "v")
		h.dataBehind = c.dataBehind
		h.EndBy(h.at.Add(50 * ms))
		h.advance(60 * ms)
		if len(h.replies) != 1 || h.replies[0].Kind != c.want {
			t.Errorf("%s: have %+v, want kind %d", name, h.replies, c.want)
		}
	}
}
