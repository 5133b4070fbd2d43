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

// rig is a core between a scripted aggregator, searchers and clients, on a clock of its own.
type rig struct {
	*Core
	t         *testing.T
	at        time.Time
	turns     [][]eiderwinch.Event // what each turn brought
	clocks    []time.Duration
	script    func([]eiderwinch.Event) []eiderwinch.Action // nil: do nothing
	calls     [][]*Attempt
	abandoned []*Attempt
	closed    []string
	replies   []Reply
	gone      bool // the client has left, which nobody has read
}

func (r *rig) Turn(now time.Duration, events []eiderwinch.Event) []eiderwinch.Action {
	r.turns, r.clocks = append(r.turns, events), append(r.clocks, now)
	if r.script == nil {
		return nil
	}
	return r.script(events)
}

func (r *rig) Call(_ time.Time, attempts []*Attempt) { r.calls = append(r.calls, attempts) }
func (r *rig) Abandon(a *Attempt)                    { r.abandoned = append(r.abandoned, a) }
func (r *rig) CloseIdle(searcher string)             { r.closed = append(r.closed, searcher) }
func (r *rig) Reply(x Reply)                         { r.replies = append(r.replies, x) }
func (r *rig) Left() bool                            { return r.gone }

func newRig(t *testing.T) *rig {
	set := Settings{Tick: 5 * ms, MaxOpen: 20, Module: eiderwinch.Settings{
		Shards: 12, Batch: 2, MaxAttempts: 2, RetryAdvice: true, MaxRetryAdvice: time.Second,
		Classes: []eiderwinch.Class{
			{Name: "search", Deadline: time.Second, Need: 1, Floor: 1},
			{Name: "reserve", Deadline: time.Second, Need: 1, Floor: 1, Effect: eiderwinch.Keyed},
			{Name: "report", Deadline: time.Second, Need: 1, Floor: 1, Fetch: 2},
			{Name: "half", Deadline: time.Second, Need: 1, Floor: 0.5},
		},
	}}
	r := &rig{t: t, at: time.Unix(1_000_000, 0)}
	r.Core = New(set, r, r, stats.New(), slog.New(slog.DiscardHandler), r.at)
	r.List(r.at, eiderwinch.Whole, []Member{{ID: "a", State: eiderwinch.Ready}, {ID: "b", State: eiderwinch.Ready}})
	r.after(0)
	return r
}

// after lets d go by, running whatever falls due, with a script for the turns.
func (r *rig) after(d time.Duration, actions ...eiderwinch.Action) {
	r.script = func([]eiderwinch.Event) []eiderwinch.Action {
		out := actions
		actions = nil
		return out
	}
	end := r.at.Add(d)
	for due := r.Due(); !due.IsZero() && !due.After(end); due = r.Due() {
		r.at = due
		r.Run(due)
	}
	r.at = end
}

func (r *rig) take(class, trace string, shards ...int) uint64 {
	r.t.Helper()
	a := Ask{Trace: trace, Class: class, Key: "k", Expires: 300 * ms, Text: "text"}
	for _, s := range shards {
		a.Parts = append(a.Parts, AskPart{s, 1 / float64(len(shards))})
	}
	id, err := r.Take(r.at, a, r)
	if err != nil {
		r.t.Fatal(err)
	}
	return id
}

func (r *rig) want(what string, have, want any) {
	r.t.Helper()
	if !reflect.DeepEqual(have, want) {
		r.t.Errorf("%s: have %+v, want %+v", what, have, want)
	}
}

// outcomes returns how the attempts ended that the aggregator was told of.
func (r *rig) outcomes() (out []eiderwinch.Status) {
	for _, events := range r.turns {
		for _, e := range events {
			if e, ok := e.(eiderwinch.Outcome); ok {
				out = append(out, e.Status)
			}
		}
	}
	return out
}

func send(part uint64, to string) eiderwinch.Send { return eiderwinch.Send{Part: part, Replica: to} }

func TestTurnsLieOnTheGridOfTicks(t *testing.T) {
	r := newRig(t)
	r.turns = nil
	r.after(7 * ms)
	r.take("search", "t1", 0)
	r.after(1 * ms)
	r.take("search", "t2", 0)
	r.after(1 * ms)
	r.want("turns before the tick", len(r.turns), 0)
	r.after(1 * ms)
	r.want("turns at the tick", len(r.turns), 1)
	r.want("queries in it", len(r.turns[0]), 2)
	// Time spent waiting for the turn is the client's: Left must not start anew.
	r.want("time left", r.turns[0][0].(eiderwinch.Query).Left, 297*ms)
	r.want("clock", r.clocks[len(r.clocks)-1], time.Duration(time.Unix(1_000_000, 0).UnixNano())+10*ms)
}

func TestWakes(t *testing.T) {
	r := newRig(t)
	r.take("search", "t", 0)
	r.after(5*ms, eiderwinch.Wake{After: 30 * ms}, eiderwinch.Wake{After: 12 * ms})
	r.turns = nil
	r.after(14 * ms)
	r.want("turns before", len(r.turns), 0)
	r.after(1 * ms)
	r.want("events", r.turns, [][]eiderwinch.Event{{eiderwinch.Woken{}}})
}

func TestAskIsChecked(t *testing.T) {
	r := newRig(t)
	r.take("search", "open", 0)
	good := Ask{Trace: "t", Class: "reserve", Key: "k", Parts: []AskPart{{0, 1}}}
	for name, c := range map[string]struct {
		spoil func(*Ask)
		want  error
	}{
		"class":     {func(a *Ask) { a.Class = "odd" }, ErrUnknownClass},
		"duplicate": {func(a *Ask) { a.Trace = "open" }, ErrDuplicate},
		"trace":     {func(a *Ask) { a.Trace = "" }, ErrInvalid},
		"key":       {func(a *Ask) { a.Key = "" }, ErrInvalid},
		"time":      {func(a *Ask) { a.Expires = -1 }, ErrInvalid},
		"no parts":  {func(a *Ask) { a.Parts = nil }, ErrInvalid},
		"shard":     {func(a *Ask) { a.Parts = []AskPart{{12, 1}} }, ErrInvalid},
		"negative":  {func(a *Ask) { a.Parts = []AskPart{{-1, 1}} }, ErrInvalid},
		"twice":     {func(a *Ask) { a.Parts = []AskPart{{1, 1}, {1, 1}} }, ErrInvalid},
		"no weight": {func(a *Ask) { a.Parts = []AskPart{{1, 0}} }, ErrInvalid},
		"weight":    {func(a *Ask) { a.Parts = []AskPart{{1, math.NaN()}} }, ErrInvalid},
		"below 0":   {func(a *Ask) { a.Parts = []AskPart{{1, 1}, {2, -0.5}, {3, 0.5}} }, ErrInvalid},
		"above 1":   {func(a *Ask) { a.Parts = []AskPart{{1, 1.5}} }, ErrInvalid},
		"too light": {func(a *Ask) { a.Parts = []AskPart{{1, 0.4}, {2, 0.5}} }, ErrInvalid},
		"too heavy": {func(a *Ask) { a.Parts = []AskPart{{1, 0.5}, {2, 0.51}} }, ErrInvalid},
	} {
		a := good
		c.spoil(&a)
		if _, err := r.Take(r.at, a, r); !errors.Is(err, c.want) {
			t.Errorf("%s: have %v", name, err)
		}
	}
	if _, err := r.Take(r.at, good, r); err != nil {
		t.Errorf("a good one: %v", err)
	}
}

func TestTheLimitOnOpenOnesRefusesAtOnce(t *testing.T) {
	r := newRig(t)
	for i := range 5 { // 4 each: 20
		r.take("search", fmt.Sprint("t", i), 0, 1, 2)
	}
	r.want("refused below the limit", len(r.replies), 0)
	r.want("id", r.take("search", "t6", 0), uint64(0))
	r.want("replies", r.replies, []Reply{{Verdict: Refused, RetryAfter: 500 * ms}})
	r.after(5*ms, eiderwinch.Refuse{Query: 1}) // its client is told, and there is room again
	if r.take("search", "t7", 0, 1, 2) == 0 {
		t.Error("refused below the limit")
	}
}

func TestSendsOfATurnShareCalls(t *testing.T) {
	r := newRig(t)
	r.take("search", "t", 0, 1, 2, 3) // parts 2 to 5
	r.after(5*ms, send(2, "a"), send(3, "b"), send(4, "a"), send(5, "a"))
	var got []string
	for _, call := range r.calls {
		s := call[0].Searcher
		for _, a := range call {
			s += fmt.Sprint(" ", a.Shard)
		}
		got = append(got, s)
	}
	r.want("calls", got, []string{"a 0 2", "a 3", "b 1"})
}

func TestEachSendGetsOneOutcome(t *testing.T) {
	for name, c := range map[string]struct {
		end  func(*rig, *Attempt)
		want eiderwinch.Status
	}{
		"ok":       {func(r *rig, a *Attempt) { r.Result(r.at, a, eiderwinch.OK, 1, "v") }, eiderwinch.OK},
		"error":    {func(r *rig, a *Attempt) { r.Result(r.at, a, eiderwinch.Failed, 0, "") }, eiderwinch.Failed},
		"full":     {func(r *rig, a *Attempt) { r.Result(r.at, a, eiderwinch.Full, 0, "") }, eiderwinch.Full},
		"unsent":   {func(r *rig, a *Attempt) { r.Unsent(r.at, a) }, eiderwinch.NoConnection},
		"broken":   {func(r *rig, a *Attempt) { r.Broken(r.at, a) }, eiderwinch.Reset},
		"cancel":   {func(r *rig, a *Attempt) { r.after(5*ms, eiderwinch.Cancel{Part: 2}) }, eiderwinch.Cancelled},
		"time-out": {func(r *rig, a *Attempt) { r.after(60 * ms) }, eiderwinch.TimedOut},
	} {
		r := newRig(t)
		r.take("search", "t", 0)
		r.after(5*ms, eiderwinch.Send{Part: 2, Replica: "a", TimeOut: 50 * ms})
		a := r.calls[0][0]
		r.take("search", "u", 0) // so that there is a turn in which to cancel
		c.end(r, a)
		r.Result(r.at, a, eiderwinch.OK, 1, "late") // whatever comes later is dropped
		r.Broken(r.at, a)
		r.after(100 * ms)
		r.want(name, r.outcomes(), []eiderwinch.Status{c.want})
		given := c.want == eiderwinch.TimedOut || c.want == eiderwinch.Cancelled
		r.want(name+": searcher told", len(r.abandoned), map[bool]int{given: 1}[true])
	}
}

func TestNoSecondCopyNorTooManyAttempts(t *testing.T) {
	r := newRig(t)
	r.take("search", "t", 0)
	r.after(5*ms, send(2, "a"), send(2, "b")) // the second while the first is out
	r.want("calls", len(r.calls), 1)
	r.after(5 * ms)
	r.want("outcomes", r.outcomes(), []eiderwinch.Status{eiderwinch.NotSent})
	r.Broken(r.at, r.calls[0][0])
	r.after(5*ms, send(2, "b")) // the third, where two are allowed
	r.want("calls", len(r.calls), 1)
}

// Where the settings allow second copies the module counts on them. Before, the core
// held each one back as a rule broken, and the part had lost one of its few attempts.
func TestASecondCopyRunsBesideTheFirstWhereItIsAllowed(t *testing.T) {
	for _, first := range []int{0, 1} {
		r := newRig(t)
		r.set.Module.SecondCopies, r.set.Module.MaxAttempts = true, 4
		r.take("search", "t", 0)
		again := eiderwinch.Wake{After: 5 * ms}
		r.after(5*ms, send(2, "a"), again)
		r.after(5*ms, send(2, "a"), send(2, "b"), again) // one at the same searcher could not be told from the first
		r.want("calls", len(r.calls), 2)
		r.after(5*ms, send(2, "b")) // two are out
		r.want("calls", len(r.calls), 2)
		r.want("copies", r.stats.Copies, 1)
		winner, loser := r.calls[first][0], r.calls[1-first][0]
		r.Result(r.at, winner, eiderwinch.OK, 1, "won")
		r.after(5*ms, eiderwinch.Answer{Query: 1, Whole: true}, eiderwinch.Cancel{Part: 2, Attempt: loser.number})
		r.want("replies", r.replies, []Reply{{Verdict: Answered, Whole: true, Pieces: []Piece{{0, "won"}}}})
		r.Result(r.at, loser, eiderwinch.OK, 1, "lost")
		r.after(300 * ms)
		r.want("outcomes", r.outcomes(), []eiderwinch.Status{
			eiderwinch.NotSent, eiderwinch.NotSent, eiderwinch.OK, eiderwinch.Cancelled,
		})
		r.want("abandoned", r.abandoned, []*Attempt{loser})
		r.want("replies", len(r.replies), 1)
		r.want("parts kept", len(r.parts), 0)
	}
}

// A part that must not run twice has no second copy, whatever the module sends.
func TestNoSecondCopyOfAnUnsafePart(t *testing.T) {
	r := newRig(t)
	r.set.Module.SecondCopies = true
	r.set.Module.Classes[0].Effect = eiderwinch.Unsafe
	r.take("search", "t", 0)
	r.after(5*ms, send(2, "a"), send(2, "b"))
	r.want("calls", len(r.calls), 1)
}

func TestOldAttemptsDoNotCountForNewOnes(t *testing.T) {
	r := newRig(t)
	r.take("search", "t", 0)
	r.after(5*ms, send(2, "a"))
	old := r.calls[0][0]
	r.take("search", "u", 0)
	r.after(5*ms, eiderwinch.Cancel{Part: 2}, send(2, "b"))
	r.Result(r.at, old, eiderwinch.OK, 1, "old")
	r.after(5*ms, eiderwinch.Answer{Query: 1, Whole: true})
	r.want("an answer from it", r.replies, []Reply{{Verdict: Failed}})
}

// News may have counted as told before it came, so nothing that has not left by then may go, however little
// of the grace seems to be over: neither what waits for a connection, nor what is decided in the same turn.
func TestNothingIsSentOnceASearcherIsToldToLeave(t *testing.T) {
	r := newRig(t)
	r.take("search", "t", 0, 1, 2)
	r.after(5*ms, send(2, "a"), send(3, "b"))
	a, b := r.calls[0][0], r.calls[1][0] // wait for a connection
	r.want("before the news", []bool{r.MaySend(r.at, a), r.MaySend(r.at, b)}, []bool{true, true})
	r.List(r.at, eiderwinch.Changes, []Member{{ID: "a", State: eiderwinch.Draining}})
	r.want("a is told", []bool{r.MaySend(r.at, a), r.MaySend(r.at, b)}, []bool{false, true})
	r.List(r.at, eiderwinch.Whole, []Member{{ID: "a", State: eiderwinch.Draining}}) // b is gone
	r.want("b is told", []bool{r.MaySend(r.at, a), r.MaySend(r.at, b)}, []bool{false, false})
	r.take("search", "v", 7)
	r.calls = nil
	r.after(5*ms, send(6, "a"), send(6, "nobody"))
	r.want("calls to the leaving or unknown", len(r.calls), 0)
	r.List(r.at, eiderwinch.Changes, []Member{{ID: "a", State: eiderwinch.Ready}})
	r.want("back again", r.barred("a"), false)
}

// Searchers are replaced all day by new ones with new ids.
func TestGoneSearchersAreForgotten(t *testing.T) {
	r := newRig(t)
	for i := range 100 {
		r.at = r.at.Add(time.Second)
		r.List(r.at, eiderwinch.Changes, []Member{
			{ID: fmt.Sprint("s", i), State: eiderwinch.Ready}, {ID: fmt.Sprint("s", i-1), State: eiderwinch.Removed},
		})
	}
	if len(r.members) > 3 { // a, b and the new one
		t.Errorf("%d are held", len(r.members))
	}
}

func TestEveryQueryIsAnsweredThoughNothingDecides(t *testing.T) {
	r := newRig(t)
	r.take("search", "t", 0)
	r.after(309 * ms)
	r.want("before the deadline and two ticks", len(r.replies), 0)
	r.after(1 * ms)
	r.want("then", r.replies, []Reply{{Verdict: Failed, Overdue: true}})
	r.after(time.Second, eiderwinch.Answer{Query: 1})
	r.want("once only", len(r.replies), 1)
	r.want("nothing is held", []int{r.open, len(r.parts), len(r.queries), len(r.traces)}, []int{0, 0, 0, 0})
}

func TestAClientThatLeftIsNotAnswered(t *testing.T) {
	r := newRig(t)
	id := r.take("search", "t", 0)
	r.after(5*ms, send(2, "a"))
	r.Gone(r.at, id)
	r.after(5*ms, eiderwinch.Cancel{Part: 2}, eiderwinch.Fail{Query: id})
	r.want("replies", len(r.replies), 0)
	r.want("its attempt is called off", len(r.abandoned), 1)
	r.after(5 * ms)
	r.want("nothing is held", []int{r.open, len(r.parts), r.attempts.Len()}, []int{0, 0, 0})
}

func TestRoundedSharesMakeAWhole(t *testing.T) {
	r := newRig(t)
	r.turns = nil
	ask := Ask{Trace: "t", Class: "search", Parts: []AskPart{{0, 0.333}, {1, 0.333}, {2, 0.333}}}
	if _, err := r.Take(r.at, ask, r); err != nil {
		t.Fatal(err)
	}
	r.after(5 * ms)
	sum := 0.0
	for _, p := range r.turns[0][0].(eiderwinch.Query).Parts {
		sum += p.Weight
	}
	if math.Abs(sum-1) > 1e-9 {
		t.Errorf("the parts weigh %v", sum)
	}
}

func TestAnswersAreHonest(t *testing.T) {
	for name, c := range map[string]struct {
		class string
		in    int // of two parts
		whole bool
		want  Reply
	}{
		"whole":              {"search", 2, true, Reply{Whole: true, Pieces: []Piece{{0, "v0"}, {1, "v1"}}}},
		"one missing":        {"search", 1, true, Reply{Verdict: Failed}},
		"none in":            {"half", 0, false, Reply{Verdict: Failed}},
		"half":               {"half", 1, false, Reply{Pieces: []Piece{{0, "v0"}}}},
		"half, called whole": {"half", 1, true, Reply{Pieces: []Piece{{0, "v0"}}}},
	} {
		r := newRig(t)
		r.take(c.class, "t", 0, 1)
		r.after(5*ms, send(2, "a"), send(3, "b"))
		for i := range c.in {
			r.Result(r.at, r.calls[i][0], eiderwinch.OK, 1, fmt.Sprint("v", i))
		}
		r.Result(r.at, r.calls[1][0], eiderwinch.Failed, 0, "not a value")
		r.after(5*ms, eiderwinch.Answer{Query: 1, Whole: c.whole})
		r.want(name, r.replies, []Reply{c.want})
	}
}

func TestSecondStep(t *testing.T) {
	r := newRig(t)
	r.take("report", "t", 3, 5, 7)
	r.after(5*ms, send(2, "a"), send(3, "a"), send(4, "b"))
	for i, score := range []int64{20, 10, 30} {
		a := slices.Concat(r.calls...)[i]
		r.Result(r.at, a, eiderwinch.OK, score, "first")
	}
	r.after(5*ms, eiderwinch.Answer{Query: 1, Whole: true})
	r.want("no answer yet", len(r.replies), 0)
	r.turns = nil
	r.after(5*ms, send(5, "a"), send(6, "b"))
	r.want("parts at the highest scores", r.turns[0][0], eiderwinch.SecondStep{Query: 1, Parts: []eiderwinch.Part{
		{ID: 5, Shard: 7, Weight: 0.5}, {ID: 6, Shard: 3, Weight: 0.5},
	}})
	seconds := slices.Concat(r.calls[2:]...)
	r.want("what they tell", []any{seconds[0].Second, seconds[0].From, seconds[0].Whole}, []any{true, []int{3, 5, 7}, true})
	r.Result(r.at, seconds[0], eiderwinch.OK, 0, "x")
	r.Result(r.at, seconds[1], eiderwinch.OK, 0, "y")
	r.after(5*ms, eiderwinch.Answer{Query: 1, Whole: true})
	r.want("the answer", r.replies, []Reply{{Whole: true, Pieces: []Piece{{7, "x"}, {3, "y"}}}})
}

func TestASearcherStartedBeforeThisProcessIsNotStartedLongAgo(t *testing.T) {
	// The module takes 0 or less for "long ago", and would push a cold searcher over.
	r := newRig(t)
	r.turns = nil
	r.List(r.at, eiderwinch.Changes, []Member{
		{ID: "a", State: eiderwinch.Ready, Started: r.at.Add(-2 * time.Second)}, {ID: "b", State: eiderwinch.Ready},
	})
	r.after(5 * ms)
	list := r.turns[0][0].(eiderwinch.ListChange).Replicas
	r.want("age", r.clocks[len(r.clocks)-1]-list[0].Started, 2*time.Second+5*ms)
	r.want("long ago", list[1].Started, time.Duration(0))
}

// Discovery that has lost its memory must not stop all gatherers at once; one that leaves a searcher out has told that it is gone.
func TestAListWithoutSearchersLeavesTheLastGoodOneInUse(t *testing.T) {
	r := newRig(t)
	r.List(r.at, eiderwinch.Whole, nil)
	r.after(time.Second)
	r.want("ready after an empty list", r.Ready("a") && r.Ready("b"), true)
	r.want("empty lists", r.stats.EmptyLists, 1)
	r.List(r.at, eiderwinch.Changes, nil)
	r.want("empty lists after no changes", r.stats.EmptyLists, 1)
	r.List(r.at, eiderwinch.Whole, []Member{{ID: "b", State: eiderwinch.Ready}})
	r.after(time.Second)
	r.want("ready after one without a", r.Ready("a"), false)
	r.want("still ready", r.Ready("b"), true)
}

// The wall clock may be stepped while searchers start. What was told before the step stays where it was, and
// what is told after it is taken for colder than it may be, never for warmer.
func TestAStepOfTheWallClockMakesNoSearcherWarm(t *testing.T) {
	for name, step := range map[string]time.Duration{"forward": time.Hour, "back": -time.Hour, "by seconds": 7 * time.Second} {
		t.Run(name, func(t *testing.T) {
			r := newRig(t)
			stepped := time.Duration(0)
			r.starts = newStarts(r.start, 18*time.Second)
			r.starts.wall = func(now time.Time) time.Time {
				if now.Equal(r.start) {
					return now
				}
				return now.Add(stepped)
			}
			tell := func(id string, reported time.Time) time.Duration {
				r.List(r.at, eiderwinch.Changes, []Member{{ID: id, State: eiderwinch.Ready, Started: reported}})
				return r.at.Sub(r.members[id].started)
			}
			r.at = r.at.Add(10 * time.Second)
			before := r.at.Add(-4 * time.Second)
			if age := tell("a", before); age != 4*time.Second {
				t.Errorf("without a step: %v old, want 4 s", age)
			}
			stepped = step
			r.at = r.at.Add(time.Second)
			if age := tell("a", before); age != 5*time.Second {
				t.Errorf("told again after the step: %v old, want 5 s", age)
			}
			if age := tell("b", r.at.Add(step-2*time.Second)); age != 0 {
				t.Errorf("started and told after the step: %v old, want 0", age)
			}
			if age := tell("c", before); age != 0 {
				t.Errorf("started before and told after the step: %v old, want 0", age)
			}
			r.at = r.at.Add(time.Minute)
			if age := tell("d", r.at.Add(step-2*time.Second)); age != 2*time.Second {
				t.Errorf("long after the step: %v old, want 2 s", age)
			}
			if age := tell("e", r.at.Add(step+time.Minute)); age != 0 {
				t.Errorf("a start to come: %v old, want 0", age)
			}
		})
	}
}
