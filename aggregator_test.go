package eiderwinch

import (
	"fmt"
	"reflect"
	"testing"
	"time"
)

const ms = time.Millisecond

// driver runs one Aggregator with a fake clock.
type driver struct {
	t          *testing.T
	aggregator *Aggregator
	now        time.Duration
}

// testSettings returns settings with four cells in a ring, each shard on two of them.
func testSettings() Settings {
	class := Class{
		Name: "read", Aim: 1000 * ms, Deadline: 4000 * ms, Worth: 1, Effect: Safe, WholeShare: 1, MinShare: 1, PartialWorth: 0.9,
		RepeatWindow: 2000 * ms,
	}
	keyed, unsafe, some := class, class, class
	keyed.Name, keyed.Effect, keyed.LateWorth = "keyed", Keyed, 0.5
	unsafe.Name, unsafe.Effect, unsafe.LateWorth = "unsafe", Unsafe, 0.5
	some.Name, some.MinShare = "some", 0.5
	return Settings{
		Gatherers: 2, Tick: 5 * ms, Classes: []Class{class, keyed, unsafe, some},
		Shards: 4, Cells: 4, ReplicasPerShard: 2, MaxBatch: 4, CallCost: 50 * ms,
		MaxAttempts: 3, MayCancel: true, SecondCopies: true, RetryAdvice: true, MaxRetryAdvice: 1000 * ms,
		ColdShare: 0.2, ColdDuration: 10_000 * ms, ColdMultiple: 2, ColdOverloadWindow: 2000 * ms,
	}
}

// startAggregator returns a driver whose Aggregator has a list of the searchers a to d.
func startAggregator(t *testing.T, s Settings) *driver {
	c := &driver{t: t, aggregator: New(s), now: 100_000 * ms}
	c.turn(ListChange{Kind: Stale, Replicas: replicaRing("a", "b", "c", "d")})
	return c
}

// replicaRing returns replicas in cells 0, 1, 2 and so on.
func replicaRing(ids ...string) []Replica {
	var list []Replica
	for i, id := range ids {
		list = append(list, Replica{ID: id, Cell: i, State: Ready})
	}
	return list
}

func (c *driver) turn(events ...Event) []Action { return c.aggregator.Turn(c.now, events) }

func (c *driver) after(d time.Duration, events ...Event) []Action {
	c.now += d
	return c.turn(events...)
}

// newQuery returns a query of parts of equal weight; part IDs count up from 10 times the query's ID.
func newQuery(id uint64, class int, shards ...int) Query {
	q := Query{ID: id, Class: class, Key: fmt.Sprint("key", id), Left: 3000 * ms}
	for i, s := range shards {
		q.Parts = append(q.Parts, Part{ID: 10*id + uint64(i), Shard: s, Weight: 1 / float64(len(shards))})
	}
	return q
}

func okOutcome(part uint64, attempt int, replica string) Outcome {
	return Outcome{Part: part, Attempt: attempt, Replica: replica, Status: OK}
}

// withStatus returns the outcome with another status.
func withStatus(o Outcome, s Status) Outcome { o.Status = s; return o }

// actionsOf returns the actions of one type.
func actionsOf[T Action](actions []Action) []T {
	var found []T
	for _, a := range actions {
		if x, ok := a.(T); ok {
			found = append(found, x)
		}
	}
	return found
}

// sendsByReplica counts the Sends to each replica.
func sendsByReplica(actions []Action) map[string]int {
	n := make(map[string]int)
	for _, s := range actionsOf[Send](actions) {
		n[s.Replica]++
	}
	return n
}

func (c *driver) want(what string, have, want any) {
	c.t.Helper()
	if !reflect.DeepEqual(have, want) {
		c.t.Errorf("%s: have %v, want %v", what, have, want)
	}
}

func TestFewestSearchers(t *testing.T) {
	c := startAggregator(t, testSettings())
	// Shard 0 is on a and b, shard 1 on b and c: b covers both.
	c.want("sends", sendsByReplica(c.turn(newQuery(1, 0, 0, 1))), map[string]int{"b": 2})
}

func TestQueriesOfATurnShareCalls(t *testing.T) {
	c := startAggregator(t, testSettings())
	c.want("sends", sendsByReplica(c.turn(newQuery(1, 0, 0), newQuery(2, 0, 1))), map[string]int{"b": 2})
}

func TestBatchOverflowsToTheNextBestCover(t *testing.T) {
	s := testSettings()
	s.MaxBatch = 1
	c := startAggregator(t, s)
	n := sendsByReplica(c.turn(newQuery(1, 0, 0, 0)))
	c.want("sends", n, map[string]int{"a": 1, "b": 1})
}

func TestBalanceBound(t *testing.T) {
	c := startAggregator(t, testSettings())
	c.turn(newQuery(1, 0, 0, 1)) // b has two parts in flight
	// b would cover both again, but has two more parts in flight than a and c.
	n := sendsByReplica(c.turn(newQuery(2, 0, 0, 1)))
	c.want("sends to b", n["b"], 0)
	c.want("sends", len(n), 2)
}

func TestWholeAnswerAtOnce(t *testing.T) {
	c := startAggregator(t, testSettings())
	c.turn(newQuery(1, 0, 0, 1))
	c.want("answers of half", len(actionsOf[Answer](c.after(100*ms, okOutcome(10, 0, "b")))), 0)
	c.want("answers", actionsOf[Answer](c.after(5*ms, okOutcome(11, 0, "b"))), []Answer{{1, true}})
	c.want("answers to a repeated outcome", len(actionsOf[Answer](c.after(5*ms, okOutcome(11, 0, "b")))), 0)
}

func TestPartialAnswerWhenTimeIsUp(t *testing.T) {
	c := startAggregator(t, testSettings())
	c.turn(newQuery(1, 3, 0, 1))
	c.after(100*ms, okOutcome(10, 0, "b"))
	c.want("answers before the aim", len(actionsOf[Answer](c.after(500*ms))), 0)
	c.want("answers", actionsOf[Answer](c.after(395*ms)), []Answer{{1, false}})
}

func TestNoAnswerUnderTheFloor(t *testing.T) {
	c := startAggregator(t, testSettings())
	c.turn(newQuery(1, 3, 0, 1, 2))
	c.after(100*ms, okOutcome(10, 0, "b"))
	actions := c.after(895 * ms)
	c.want("answers", len(actionsOf[Answer](actions)), 0)
	c.want("refusals", len(actionsOf[Refuse](actions)), 1)
}

func TestLatePartsStayUnsent(t *testing.T) {
	c := startAggregator(t, testSettings())
	q := newQuery(1, 0, 0)
	q.Left = 40 * ms // less than a call costs
	actions := c.turn(q)
	c.want("sends", len(actionsOf[Send](actions)), 0)
	c.want("final answers", len(actionsOf[Refuse](actions)), 1)
}

func TestWorthlessRepeatsAreRefusedAtOnce(t *testing.T) {
	for _, x := range []struct {
		marks, marked bool
		expected      float64
		refused       bool
	}{
		{false, false, 0, false}, // nothing was given up here: a client with a short timeout
		{false, false, 1, true},
		{true, false, 1, false},
		{true, true, 0, true},
	} {
		c := startAggregator(t, testSettings())
		c.aggregator.settings.MarksRepeats, c.aggregator.expectedRepeats = x.marks, x.expected
		c.turn(newQuery(1, 0, 0), newQuery(2, 0, 1), newQuery(3, 0, 2))
		q := newQuery(4, 0, 3)
		q.Left, q.Repeat = 2500*ms, x.marked // of a deadline of 4 s: 1.5 s have passed, the aim is 1 s
		actions := c.turn(q)
		c.want(fmt.Sprint("refused ", x), len(actionsOf[Refuse](actions)) == 1, x.refused)
		c.want(fmt.Sprint("sent ", x), len(actionsOf[Send](actions)) == 1, !x.refused)
	}
}

func TestUnsafePartIsRetriedOnlyIfItNeverRan(t *testing.T) {
	for status, again := range map[Status]bool{
		Full: true, NoConnection: true, Failed: false, Reset: false, TimedOut: false,
	} {
		c := startAggregator(t, testSettings())
		c.turn(newQuery(1, 2, 0))
		first := c.aggregator.parts[10].attempts[0].searcher.ID
		c.want("copies while overdue", len(actionsOf[Send](c.after(900*ms))), 0)
		actions := c.turn(withStatus(okOutcome(10, 0, first), status))
		c.want(fmt.Sprint("sent again after status ", status), len(actionsOf[Send](actions)) == 1, again)
		if !again {
			c.want("failed", actionsOf[Fail](actions), []Fail{{1}})
			c.want("refused", len(actionsOf[Refuse](actions)), 0)
		}
	}
}

func TestKeyedPartIsRetriedOnlyWithinItsWindow(t *testing.T) {
	for wait, again := range map[time.Duration]bool{1900 * ms: true, 2100 * ms: false} {
		c := startAggregator(t, testSettings())
		c.turn(newQuery(1, 1, 0))
		first := c.aggregator.parts[10].attempts[0].searcher.ID
		c.aggregator.settings.SecondCopies = false
		c.after(wait)
		c.want(fmt.Sprint("sent again after ", wait),
			len(actionsOf[Send](c.turn(withStatus(okOutcome(10, 0, first), Failed)))) == 1, again)
	}
}

func TestDrainingAndRemovedSearchersGetNothing(t *testing.T) {
	for _, state := range []State{Draining, Removed} {
		c := startAggregator(t, testSettings())
		c.turn(ListChange{Kind: Changes, Replicas: []Replica{{ID: "b", Cell: 1, State: state}}})
		c.want("sends to b", sendsByReplica(c.turn(newQuery(1, 0, 0, 1)))["b"], 0)
	}
	c := startAggregator(t, testSettings())
	c.turn(ListChange{Kind: Whole, Replicas: []Replica{{ID: "a"}, {ID: "c", Cell: 2}}})
	c.want("no sends to a replica missing from the whole list", sendsByReplica(c.turn(newQuery(1, 0, 1))), map[string]int{})
}

func TestColdSearchersGetOnlyTheirShare(t *testing.T) {
	c := startAggregator(t, testSettings())
	list := replicaRing("a", "b", "c", "d")
	list[1].Started = c.now
	list[0].State, list[2].State = Removed, Removed
	c.turn(ListChange{Kind: Changes, Replicas: list})
	c.aggregator.searchersByID["b"].window = 8
	n := 0
	for i := range uint64(20) {
		n += sendsByReplica(c.after(5*ms, newQuery(i+1, 0, 0)))["b"]
	}
	// Twice 0.2 x 2 x 2 s for 2 gatherers: 800 ms of work; a call with one part is estimated at 175 ms.
	c.want("sends to the cold searcher just after its start", n, 4)
}

func TestManyAggregatorsTakeTurnsAtColdSearcher(t *testing.T) {
	for age := range time.Duration(6) {
		turns := 0
		for number := range 40 {
			s := testSettings()
			s.Gatherers, s.GathererNumber = 40, number
			c := startAggregator(t, s)
			list := replicaRing("a", "b", "c", "d")
			list[0].Started = c.now - age*1000*ms
			c.turn(ListChange{Kind: Changes, Replicas: list})
			if c.aggregator.hasColdCapacity(c.aggregator.searchersByID["a"], 175*ms) {
				turns++
			}
		}
		// 0.2 x 2 x 2 s and a growing share of 1.6 s, given out twice: capacity for 9 calls and soon for more.
		if turns < 8 || turns > 32 {
			t.Errorf("%d of 40 have capacity for a call at %d s", turns, age)
		}
	}
}

func TestQueryThatCrashesSearchersIsEndedAtOnce(t *testing.T) {
	c := startAggregator(t, testSettings())
	c.turn(newQuery(1, 0, 0, 2)) // on two searchers
	for _, p := range []uint64{10, 11} {
		c.want("refusals so far", len(c.aggregator.queries), 1)
		s := c.aggregator.parts[p].attempts[0].searcher.ID
		actions := c.after(5*ms, withStatus(okOutcome(p, 0, s), Reset))
		c.want("further sends", len(actionsOf[Send](actions)), 0)
		c.want("refusals", len(actionsOf[Refuse](actions)), int(p-10))
	}
	q := newQuery(2, 0, 0, 2)
	q.Key = "key1"
	sends := actionsOf[Send](c.after(5*ms, q))
	c.want("first sends of a query with the same signature", len(sends), 1)
	actions := c.after(5*ms, okOutcome(sends[0].Part, 0, sends[0].Replica))
	c.want("sends once that is answered", len(actionsOf[Send](actions)), 1)
}

func TestQueryCaughtInACrashGoesOn(t *testing.T) {
	c := startAggregator(t, testSettings())
	c.turn(newQuery(1, 0, 0, 2))
	first, second := c.aggregator.parts[10].attempts[0].searcher.ID, c.aggregator.parts[11].attempts[0].searcher.ID
	c.want("sends while another call is in flight",
		len(actionsOf[Send](c.after(5*ms, withStatus(okOutcome(10, 0, first), Reset)))), 0)
	c.want("sends after an answer", len(actionsOf[Send](c.after(5*ms, okOutcome(11, 0, second)))), 1)
}

func TestRetryBudget(t *testing.T) {
	s := testSettings()
	s.RetryBudgetFree, s.RetryBudgetRatio, s.RetryBudgetWindow = 1, 0, 5000*ms
	c := startAggregator(t, s)
	c.turn(newQuery(1, 0, 0), newQuery(2, 0, 0))
	n := 0
	for _, id := range []uint64{10, 20} {
		first := c.aggregator.parts[id].attempts[0].searcher.ID
		n += len(actionsOf[Send](c.after(5*ms, withStatus(okOutcome(id, 0, first), Failed))))
	}
	c.want("retries within the budget", n, 1)
}

func TestFailingSearcherIsEjectedAndProbed(t *testing.T) {
	c := startAggregator(t, testSettings())
	c.turn(newQuery(1, 0, 0, 1)) // to b
	c.after(5*ms, withStatus(okOutcome(10, 0, "b"), Failed), withStatus(okOutcome(11, 0, "b"), Failed))
	c.want("b is ejected", c.aggregator.searchersByID["b"].ejected, true)
	c.want("sends to b", sendsByReplica(c.after(5*ms, newQuery(2, 0, 0, 1)))["b"], 0)
	c.after(50*ms, okOutcome(20, 0, "a"), okOutcome(21, 0, "c"), okOutcome(20, 0, "d"),
		okOutcome(10, 1, "a"), okOutcome(11, 1, "c"))
	c.want("unsafe probe attempts", sendsByReplica(c.after(600*ms, newQuery(3, 2, 0)))["b"], 0)
	c.want("at most one probe attempt", sendsByReplica(c.turn(newQuery(4, 0, 0), newQuery(5, 0, 1)))["b"] <= 1, true)
}

func TestPartReturnsToSearcherWhenNoUntriedOneIsLeft(t *testing.T) {
	c := startAggregator(t, testSettings())
	first := actionsOf[Send](c.turn(newQuery(1, 0, 0)))[0].Replica
	second := actionsOf[Send](c.after(5*ms, withStatus(okOutcome(10, 0, first), Failed)))[0].Replica
	c.want("the second attempt is at the same searcher", first == second, false)
	c.want("third attempts", len(actionsOf[Send](c.after(5*ms, withStatus(okOutcome(10, 1, second), Failed)))), 1)
	third := c.aggregator.parts[10].attempts[2].searcher.ID
	c.want("no fourth attempt of three",
		len(actionsOf[Send](c.after(5*ms, withStatus(okOutcome(10, 2, third), Failed)))), 0)
}

func TestUnreachableSearcherIsEjectedEvenIfLastReplica(t *testing.T) {
	c := startAggregator(t, testSettings())
	// Shard 0 has only b left.
	c.aggregator.searchersByID["a"].ejected, c.aggregator.searchersByID["a"].probeAt = true, c.now+time.Hour
	c.turn(newQuery(1, 0, 0))
	c.after(5*ms, withStatus(okOutcome(10, 0, "b"), NoConnection))
	c.want("b is ejected", c.aggregator.searchersByID["b"].ejected, true)
	c.aggregator.searchersByID["a"].unreachable = true
	c.want("sends to a shard without a reachable searcher",
		len(actionsOf[Send](c.after(5*ms, newQuery(2, 0, 0, 1)))), 0)
	restart := ListChange{Kind: Changes, Replicas: []Replica{{ID: "b", Cell: 1, State: Ready, Started: c.now}}}
	c.want("sends after its restart", sendsByReplica(c.turn(restart))["b"], 2)
}

func TestLastReplicaOfAShardIsNotEjected(t *testing.T) {
	c := startAggregator(t, testSettings())
	// Shard 0 has only b left.
	c.aggregator.searchersByID["a"].ejected, c.aggregator.searchersByID["a"].probeAt = true, c.now+time.Hour
	c.turn(newQuery(1, 0, 0))
	c.after(5*ms, withStatus(okOutcome(10, 0, "b"), Failed))
	c.want("b is ejected", c.aggregator.searchersByID["b"].ejected, false)
}

func TestQueryWaitsForShardWithoutHealthySearcher(t *testing.T) {
	c := startAggregator(t, testSettings())
	c.aggregator.searchersByID["a"].ejected, c.aggregator.searchersByID["b"].ejected = true, true
	sends := actionsOf[Send](c.turn(newQuery(1, 0, 0, 1, 2)))
	c.want("the part without a healthy replica is sent alone, as a probe", len(sends) == 1 && sends[0].Part == 10, true)
	c.want("sends while the probe is in flight", len(actionsOf[Send](c.after(50*ms))), 0)
	c.want("final answer", len(actionsOf[Refuse](c.after(990*ms))), 1)
}

func TestOverduePartGetsASecondCopyElsewhere(t *testing.T) {
	c := startAggregator(t, testSettings())
	c.aggregator.secondCopyCredit = 1
	first := actionsOf[Send](c.turn(newQuery(1, 0, 0)))[0].Replica
	second := actionsOf[Send](c.after(300 * ms))
	c.want("copies", len(second), 1)
	c.want("same searcher", second[0].Replica == first, false)
	actions := c.after(50*ms, okOutcome(10, 1, second[0].Replica))
	c.want("answers", actionsOf[Answer](actions), []Answer{{1, true}})
	c.want("cancels", actionsOf[Cancel](actions), []Cancel{{10, 0}})
}

func TestSecondCopiesNeedCredit(t *testing.T) {
	c := startAggregator(t, testSettings())
	c.turn(newQuery(1, 0, 0), newQuery(2, 0, 1))
	c.want("copies without any credit", len(actionsOf[Send](c.after(300*ms))), 0)
}

func TestIdleSearcherGetsAFullCall(t *testing.T) {
	c := startAggregator(t, testSettings())
	c.aggregator.searchersByID["b"].window = 1
	c.want("sends", sendsByReplica(c.turn(newQuery(1, 0, 0, 1))), map[string]int{"b": 2})
}

func TestBusySearcherWithoutRoomForAllPartsWaits(t *testing.T) {
	c := startAggregator(t, testSettings())
	c.aggregator.searchersByID["b"].window = 2
	for _, id := range []string{"a", "c"} {
		c.aggregator.searchersByID[id].listed = false
	}
	c.turn(newQuery(1, 0, 0))
	c.want("calls that the window would cut", len(actionsOf[Send](c.after(5*ms, newQuery(2, 0, 0, 1)))), 0)
	c.want("the whole call once idle", sendsByReplica(c.after(50*ms, okOutcome(10, 0, "b"))), map[string]int{"b": 2})
}

func TestSecondCopiesAvoidBusySearchers(t *testing.T) {
	for busy, copies := range map[int]int{1: 1, 2: 0} {
		c := startAggregator(t, testSettings())
		c.aggregator.secondCopyCredit = 5
		first := actionsOf[Send](c.turn(newQuery(1, 0, 0)))[0].Replica
		other := map[string]string{"a": "b", "b": "a"}[first]
		c.now += 300 * ms
		for range busy {
			s, p := c.aggregator.searchersByID[other], &part{query: c.aggregator.openQueries[1]}
			s.inFlight = append(s.inFlight, &attempt{part: p, searcher: s, sentAt: c.now})
		}
		c.want(fmt.Sprint("copies with ", busy, " in flight"), len(actionsOf[Send](c.turn())), copies)
	}
}

func TestAttemptOnDeadConnectionIsCancelled(t *testing.T) {
	c := startAggregator(t, testSettings())
	for i := range uint64(3) { // calls typically take 50 ms
		searcher := actionsOf[Send](c.after(5*ms, newQuery(i+1, 0, 0)))[0].Replica
		c.after(50*ms, okOutcome(10*(i+1), 0, searcher))
	}
	// A call was lost on an idle connection before.
	c.aggregator.deadConnEvidence, c.aggregator.deadAfterIdle = 1, float64(time.Hour)
	searcher := actionsOf[Send](c.after(5*ms, newQuery(9, 0, 0)))[0].Replica
	actions := c.after(260 * ms)
	c.want("cancels", actionsOf[Cancel](actions), []Cancel{{90, 0}})
	c.want("connections closed so far", len(actionsOf[Disconnect](actions)), 0)
	c.turn(withStatus(okOutcome(90, 0, searcher), Cancelled), Gone{9})
	for _, s := range c.aggregator.searchers {
		s.inFlight = nil
	}
	// Now all connections that have been idle for as long are suspect, and closed before their next call.
	disconnects := actionsOf[Disconnect](c.after(100*ms, newQuery(10, 0, 0)))
	c.want("connections closed before the next call", len(disconnects), 1)
}

func TestListIsRequestedAgainAfterFailure(t *testing.T) {
	s := testSettings()
	s.SubscribeToList, s.SubscribeWithin = true, 10_000*ms
	c := &driver{t: t, aggregator: New(s), now: 1000 * ms}
	c.want("at start", len(actionsOf[Subscribe](c.turn(ListChange{Kind: Stale}))), 1)
	c.want("at once after a failure", len(actionsOf[Subscribe](c.turn(ListChange{Kind: NoList}))), 0)
	c.want("a while later", len(actionsOf[Subscribe](c.after(2000*ms))), 1)
}

func TestUnknownInputIsIgnored(t *testing.T) {
	c := startAggregator(t, testSettings())
	c.turn(okOutcome(99, 0, "zz"), Gone{77}, Woken{}, ListChange{Kind: Whole}, ListChange{Kind: Changes,
		Replicas: []Replica{{ID: "x", Cell: -7, State: Removed}}})
	q := newQuery(1, 0, -3, 99)
	q.Class = 42
	c.turn(q)
	c.turn(newQuery(2, 0, -3, 99))
	c.turn(newQuery(2, 0, 0))
	c.want("open", len(c.aggregator.openQueries), 1)
	n := len(actionsOf[Refuse](c.after(2000 * ms)))
	c.want("final answers", n, 1)
	c.want("forgotten", len(c.aggregator.openQueries)+len(c.aggregator.parts)+
		len(c.aggregator.queries)+len(c.aggregator.searchers), 0)
}

func TestEmptySettings(t *testing.T) {
	c := startAggregator(t, Settings{
		Shards: 1, ReplicasPerShard: 1, Classes: []Class{{Aim: 1000 * ms, Deadline: 2000 * ms, WholeShare: 1, MinShare: 1}},
	})
	c.want("sends", len(actionsOf[Send](c.turn(newQuery(1, 0, 0)))), 1)
	c.want("final answers", len(actionsOf[Refuse](c.after(3000*ms))), 1)
}

func TestInstancesAreIndependent(t *testing.T) {
	alone, one, two := startAggregator(t, testSettings()),
		startAggregator(t, testSettings()), startAggregator(t, testSettings())
	for i := range uint64(30) {
		q := newQuery(i+1, int(i%4), int(i%4), int((i+2)%4))
		want := alone.after(40*ms, q)
		have := one.after(40*ms, q)
		two.after(15*ms, newQuery(i+1, 0, int(i%3)))
		c := fmt.Sprint("turn ", i)
		one.want(c, have, want)
	}
}

func TestPartsAreRemovedAfterTheirOutcomes(t *testing.T) {
	c := startAggregator(t, testSettings())
	c.turn(newQuery(1, 0, 0, 1))
	c.after(2000 * ms)
	c.want("parts held for their outcomes", len(c.aggregator.parts), 2)
	c.after(5*ms, withStatus(okOutcome(10, 0, "b"), Cancelled), withStatus(okOutcome(11, 0, "b"), Cancelled))
	c.want("parts", len(c.aggregator.parts), 0)
}

func TestSameEventsSameActions(t *testing.T) {
	run := func() (log []Action) {
		c := startAggregator(t, testSettings())
		for i := range uint64(50) {
			log = append(log, c.after(20*ms, newQuery(i+1, int(i%4), int(i%4), int((i+1)%4)))...)
			if i > 5 {
				log = append(log, c.turn(okOutcome(10*(i-5), 0, "b"),
					withStatus(okOutcome(10*(i-5)+1, 0, "b"), Status(i%8)))...)
			}
		}
		return log
	}
	if !reflect.DeepEqual(run(), run()) {
		t.Error("the same events gave other actions the second time")
	}
}

func TestFewerQueriesStartWhileManyAreLate(t *testing.T) {
	c := startAggregator(t, testSettings())
	sent := func() (n int) {
		for i := range uint64(10) {
			id := 1000 + uint64(c.now/ms) + i
			n += len(actionsOf[Send](c.after(5*ms, newQuery(id, 0, 0))))
			c.turn(Gone{id})
			for _, t := range c.aggregator.searchersByID["a"].inFlight {
				c.turn(okOutcome(t.part.ID, t.number, "a"))
			}
			for _, t := range c.aggregator.searchersByID["b"].inFlight {
				c.turn(okOutcome(t.part.ID, t.number, "b"))
			}
		}
		return n
	}
	c.want("of ten", sent(), 10)
	for i := range uint64(6) {
		c.turn(newQuery(i+1, 0, 0, 1, 2, 3))
		for c.aggregator.openQueries[i+1] != nil { // nothing answers
			c.after(20 * ms)
		}
		for _, s := range c.aggregator.searchers {
			for len(s.inFlight) > 0 {
				c.turn(withStatus(okOutcome(s.inFlight[0].part.ID, s.inFlight[0].number, s.ID), TimedOut))
			}
			s.ejected, s.failureScore = false, 0
		}
	}
	if n := sent(); n > 8 { // capacity that the wide queries left unused goes to these
		t.Errorf("%d of ten start although six were late", n)
	}
	setAdmissionShare(c.aggregator, 1, -1)
	c.want("of ten after recovery", sent() >= 9, true)
}

func TestPartsAreTrimmedUnderLoad(t *testing.T) {
	wide := newQuery(1, 3, 0, 1, 2, 3)
	for i, w := range []float64{0.1, 0.6, 0.1, 0.2} {
		wide.Parts[i].Weight = w
	}
	c := startAggregator(t, testSettings())
	c.want("sends while all may start", len(actionsOf[Send](c.turn(wide))), 4)
	c = startAggregator(t, testSettings())
	c.aggregator.typicalWorth = 1
	setAdmissionShare(c.aggregator, 0.5, 10)
	sends := actionsOf[Send](c.turn(wide))
	c.want("sends under load", len(sends), 1)
	c.want("the heaviest", sends[0].Part, uint64(11))
	c.want("answered at once",
		actionsOf[Answer](c.after(50*ms, okOutcome(11, 0, sends[0].Replica))), []Answer{{1, false}})
}

func TestBarelyEarlyAnswersRaiseAdmissionLittle(t *testing.T) {
	increase := func(took time.Duration) float64 {
		c := startAggregator(t, testSettings())
		c.turn(newQuery(1, 0, 0, 1))
		setAdmissionShare(c.aggregator, 0.2, -1)
		for range took/(20*ms) - 1 {
			c.after(20 * ms)
		}
		c.after(20*ms, okOutcome(10, 0, "b"), okOutcome(11, 0, "b"))
		return c.aggregator.replicaGroup(Part{}).admissionShare - 0.2
	}
	c := startAggregator(t, testSettings())
	c.want("raised a tenth as much for a third as early", increase(100*ms) > 8*increase(700*ms) && increase(700*ms) > 0, true)
}

func TestRepeatsAndBurstsStartNoMoreUnderLoad(t *testing.T) {
	sent := func(every time.Duration) (n int) {
		c := startAggregator(t, testSettings())
		for i := range uint64(40) { // the typical rate
			for _, x := range actionsOf[Send](c.after(100*ms, newQuery(i+1, 0, int(i%4)))) {
				c.after(5*ms, okOutcome(x.Part, 0, x.Replica))
			}
		}
		setAdmissionShare(c.aggregator, 0.3, -1)
		for i := range uint64(4000 * ms / every) {
			for _, x := range actionsOf[Send](c.after(every, newQuery(1000+i, 0, int(i%4)))) {
				n++
				c.turn(okOutcome(x.Part, 0, x.Replica))
				setAdmissionShare(c.aggregator, 0.3, -1)
			}
		}
		return n
	}
	steady, burst := sent(100*ms), sent(10*ms)
	c := &driver{t: t}
	c.want("some start", steady > 5, true)
	c.want("ten times as many queries start hardly more", burst <= steady+3, true)
}

func TestPartAtSilentSearcherIsCancelledWithoutSecondCopies(t *testing.T) {
	s := testSettings()
	s.SecondCopies = false
	c := startAggregator(t, s)
	c.aggregator.classes[0].typicalLatency, c.aggregator.typicalLatency = float64(50*ms), float64(50*ms)
	first := actionsOf[Send](c.turn(newQuery(1, 0, 0)))[0].Replica
	var cancels []Cancel
	for len(cancels) == 0 && c.now < 101_000*ms {
		cancels = actionsOf[Cancel](c.after(20 * ms))
	}
	c.want("cancelled long before the aim", c.now < 100_500*ms && len(cancels) == 1, true)
	retries := actionsOf[Send](c.after(5*ms, withStatus(okOutcome(10, 0, first), Cancelled)))
	c.want("retried on the other searcher", len(retries) == 1 && retries[0].Replica != first, true)

	c = startAggregator(t, s)
	c.aggregator.classes[0].typicalLatency, c.aggregator.typicalLatency = float64(50*ms), float64(50*ms)
	setAdmissionShare(c.aggregator, 0.5, 5)
	c.turn(newQuery(1, 0, 0))
	cancels = nil
	for range 45 {
		cancels = append(cancels, actionsOf[Cancel](c.after(20*ms))...)
	}
	c.want("not in an overload", len(cancels), 0)
}

func TestSlowSearcherDoesNotCountAsIdle(t *testing.T) {
	c := startAggregator(t, testSettings())
	c.aggregator.searchersByID["a"].relativeLatency = 6
	c.want("first to the quick searcher", sendsByReplica(c.turn(newQuery(1, 0, 0))), map[string]int{"b": 1})
	c.want("the next one too", sendsByReplica(c.after(5*ms, newQuery(2, 0, 0))), map[string]int{"b": 1})
}

func TestFullOutcomesReduceAdmissionAtOnce(t *testing.T) {
	c := startAggregator(t, testSettings())
	first := actionsOf[Send](c.turn(newQuery(1, 0, 0)))[0].Replica
	c.turn(withStatus(okOutcome(10, 0, first), Full))
	c.want("less may start before the query ends",
		lowestAdmissionShare(c.aggregator) < 1 && c.aggregator.openQueries[1] != nil, true)
}

func TestRelativeLatencyCountsLostCalls(t *testing.T) {
	c := startAggregator(t, testSettings())
	c.aggregator.typicalLatency, c.aggregator.classes[0].typicalLatency = float64(50*ms), float64(50*ms)
	first := actionsOf[Send](c.turn(newQuery(1, 0, 0)))[0].Replica
	for range 10 {
		c.after(20 * ms)
	}
	c.turn(Outcome{Part: 10, Replica: first, Status: TimedOut, Took: 200 * ms})
	c.want("slow after its lost call", c.aggregator.searchersByID[first].relativeLatency >= 4, true)
}

func TestOwnStallIsNotCountedAgainstSearchers(t *testing.T) {
	c := startAggregator(t, testSettings())
	c.turn(newQuery(1, 0, 0, 1, 2))
	var outcomes []Event
	for id, p := range map[uint64]*part{
		10: c.aggregator.parts[10], 11: c.aggregator.parts[11], 12: c.aggregator.parts[12],
	} {
		o := okOutcome(id, 0, p.attempts[0].searcher.ID)
		o.Took = 100 * ms
		outcomes = append(outcomes, o)
	}
	q := newQuery(2, 0, 3)
	q.Left -= 300 * ms
	actions := c.after(1200*ms, append(outcomes, q)...)
	for _, s := range c.aggregator.searchers {
		c.want("failure score of "+s.ID, s.failureScore, 0.0)
	}
	c.want("share", lowestAdmissionShare(c.aggregator), 1.0)
	c.want("copies", len(actionsOf[Send](actions)), 1)
	c.want("aim of the query that waited meanwhile", c.aggregator.openQueries[2].aimAt, c.now+690*ms)
}

func TestProbeAnswerReleasesRemainingParts(t *testing.T) {
	c := startAggregator(t, testSettings())
	c.aggregator.searchersByID["a"].ejected, c.aggregator.searchersByID["b"].ejected = true, true
	s := actionsOf[Send](c.turn(newQuery(1, 0, 0, 1, 2)))[0]
	c.want("sends after the answer", len(actionsOf[Send](c.after(50*ms, okOutcome(10, 0, s.Replica)))), 2)
}

func TestQuickerOfEqualSearchersIsChosen(t *testing.T) {
	c := startAggregator(t, testSettings())
	first := actionsOf[Send](c.turn(newQuery(1, 0, 0)))[0].Replica
	c.after(100*ms, okOutcome(10, 0, first))
	c.want("the same again while both are alike", actionsOf[Send](c.turn(newQuery(1, 0, 0)))[0].Replica, first)
	c.after(200*ms, okOutcome(10, 0, first))
	c.want("the same once it is slow", actionsOf[Send](c.turn(newQuery(1, 0, 0)))[0].Replica == first, false)
}

func TestQueryStartsForAPartialAnswer(t *testing.T) {
	c := startAggregator(t, testSettings())
	// Shard 0 can be reached by a probe attempt only.
	c.aggregator.searchersByID["a"].ejected, c.aggregator.searchersByID["b"].ejected = true, true
	c.want("sends", len(actionsOf[Send](c.turn(newQuery(1, 3, 0, 1, 2)))), 3)
	c = startAggregator(t, testSettings())
	c.turn(newQuery(1, 3, 0, 1, 2))
	for range 3 {
		p := c.aggregator.parts[10]
		c.after(5*ms, withStatus(okOutcome(10, len(p.attempts)-1, p.attempts[len(p.attempts)-1].searcher.ID), Full))
	}
	c.want("the query continues without the lost part", len(c.aggregator.queries), 1)
	answer := func(id uint64) []Action {
		return c.after(50*ms, okOutcome(id, 0, c.aggregator.parts[id].attempts[0].searcher.ID))
	}
	c.want("answers so far", len(actionsOf[Answer](answer(11))), 0)
	c.want("answers once no more parts can arrive", actionsOf[Answer](answer(12)), []Answer{{1, false}})
}

func TestSuccessfulSecondCopyReturnsItsCredit(t *testing.T) {
	c := startAggregator(t, testSettings())
	c.turn(newQuery(1, 0, 0))
	c.aggregator.secondCopyCredit = 1
	copies := actionsOf[Send](c.after(500 * ms))
	c.want("copies", len(copies), 1)
	c.want("left", c.aggregator.secondCopyCredit, 0.0)
	c.after(100*ms, okOutcome(10, 1, copies[0].Replica))
	c.want("given back", c.aggregator.secondCopyCredit, 1.0)
}

func TestLateCallsAmongQuickOnesDoNotReduceAdmission(t *testing.T) {
	c := startAggregator(t, testSettings())
	c.turn(newQuery(1, 0, 0, 2))
	c.aggregator.classes[0].typicalLatency = float64(50 * ms)
	for c.aggregator.openQueries[1] != nil {
		c.after(20 * ms)
	}
	c.want("share while other calls are quick", lowestAdmissionShare(c.aggregator), 1.0)
	c = startAggregator(t, testSettings())
	c.turn(newQuery(2, 0, 1, 3))
	c.aggregator.classes[0].typicalLatency = float64(600 * ms)
	for c.aggregator.openQueries[2] != nil {
		c.after(20 * ms)
	}
	c.want("reduced once all calls are slow", lowestAdmissionShare(c.aggregator) < 1, true)
}

func TestCrashesDoNotStopOtherQueries(t *testing.T) {
	c := startAggregator(t, testSettings())
	c.turn(newQuery(1, 0, 0), newQuery(2, 0, 2))
	first := c.aggregator.parts[10].attempts[0].searcher.ID
	c.after(5*ms, withStatus(okOutcome(10, 0, first), Reset))
	c.want("sends of another", len(actionsOf[Send](c.after(5*ms, newQuery(9, 0, 0, 1, 2, 3, 0)))) > 1, true)
}

func TestTenantOverItsShareIsShedFirst(t *testing.T) {
	sent := func(tenant int) (n int) {
		s := testSettings()
		s.Tenants, s.OverShareWorth = []Tenant{{"small", 0.2}, {"large", 0.8}}, 0.1
		c := startAggregator(t, s)
		for i := range uint64(120) { // the small tenant sends nine in ten
			q := newQuery(i+1, 0, int(i%4))
			if q.Tenant = 1; i%10 == 0 {
				q.Tenant = 2
			}
			if i == 40 {
				setAdmissionShare(c.aggregator, 0.5, -1)
			}
			for _, x := range actionsOf[Send](c.after(20*ms, q)) {
				if i >= 40 && q.Tenant == tenant {
					n++
				}
				c.turn(okOutcome(x.Part, 0, x.Replica))
				if i >= 40 {
					setAdmissionShare(c.aggregator, 0.5, -1)
				}
			}
		}
		return n
	}
	overShare, withinShare := sent(1), sent(2)
	c := &driver{t: t}
	c.want("of 8 within the share nearly all start", withinShare >= 7, true)
	c.want("of 72 over the share far from all start", overShare < 60, true)
	q := newQuery(1, 0, 0)
	q.Tenant = 7
	c.want("sends for an unknown tenant", len(actionsOf[Send](startAggregator(t, testSettings()).turn(q))), 1)
}

func TestQueriesTurnedAwayEverywhereReduceAdmission(t *testing.T) {
	c := startAggregator(t, testSettings())
	c.turn(newQuery(1, 0, 0, 2))
	for id := uint64(10); c.aggregator.openQueries[1] != nil; { // every attempt of the first part is turned away
		p := c.aggregator.parts[id]
		c.after(5*ms, withStatus(okOutcome(id, len(p.attempts)-1, p.attempts[len(p.attempts)-1].searcher.ID), Full))
	}
	c.want("long before the aim", c.now < 100_500*ms, true)
	c.want("admission is reduced", lowestAdmissionShare(c.aggregator) < 1, true)
}

func TestAllQueriesOfALargeTurnAreAnswered(t *testing.T) {
	c := startAggregator(t, testSettings())
	var events []Event
	for i := range uint64(2000) {
		q := newQuery(i+1, int(i%4), int(i%4))
		q.Left = 2000 * ms
		events = append(events, q, Outcome{Part: 1_000_000 + i}, Gone{1_000_000 + i}, Woken{})
	}
	finals := make(map[uint64]int)
	count := func(actions []Action) {
		for _, x := range actionsOf[Refuse](actions) {
			finals[x.Query]++
		}
		for _, x := range actionsOf[Answer](actions) {
			finals[x.Query]++
		}
		for _, x := range actionsOf[Fail](actions) {
			finals[x.Query]++
		}
	}
	count(c.after(time.Hour, events...))
	for range 150 {
		count(c.after(20 * ms))
	}
	c.want("queries with a final answer", len(finals), 2000)
	for id, n := range finals {
		if n != 1 {
			t.Errorf("query %d has %d final answers", id, n)
		}
	}
}

// An overload of a few searchers must not cause queries to be shed that do not need them. In a large fleet
// most queries do not need a given shard.
func TestOverloadOfOneReplicaGroupShedsNothingElsewhere(t *testing.T) {
	c := startAggregator(t, testSettings())
	c.aggregator.classes[0].typicalLatency = float64(600 * ms) // calls are not quick
	c.turn(newQuery(1, 0, 0, 2))
	c.after(5*ms, okOutcome(11, 0, c.aggregator.parts[11].attempts[0].searcher.ID))
	for c.aggregator.openQueries[1] != nil { // shard 0 answers nothing
		c.after(20 * ms)
	}
	c.want("admission to the overloaded group is reduced", c.aggregator.replicaGroup(Part{Shard: 0}).admissionShare < 1, true)
	c.want("share of the other group", c.aggregator.replicaGroup(Part{Shard: 2}).admissionShare, 1.0)
	c.aggregator.replicaGroup(Part{Shard: 0}).admissionShare = 0.2
	for i := range uint64(5) {
		c.want("sends of a query that does not need it", len(actionsOf[Send](c.after(5*ms, newQuery(100+10*i, 0, 2)))), 1)
	}
	refused := 0
	for i := range uint64(5) {
		refused += len(actionsOf[Refuse](c.after(5*ms, newQuery(200+10*i, 0, 0, 2))))
	}
	c.want("some queries that need both are refused at once", refused >= 3, true)
}

// Attempts that would be answered must not be cancelled: in a large fleet every aggregator would do so in the
// same second.
func TestAttemptsAreCancelledOnlyWhereThereIsCapacity(t *testing.T) {
	cancels := func(set func(*Aggregator)) int {
		s := testSettings()
		s.SecondCopies = false
		c := startAggregator(t, s)
		c.aggregator.classes[0].typicalLatency, c.aggregator.typicalLatency = float64(50*ms), float64(50*ms)
		set(c.aggregator)
		c.turn(newQuery(1, 0, 0))
		n := 0
		for range 13 { // for more than four typical latencies, and less than six
			n += len(actionsOf[Cancel](c.after(20 * ms)))
		}
		return n
	}
	first := actionsOf[Send](startAggregator(t, testSettings()).turn(newQuery(1, 0, 0)))[0].Replica
	c := &driver{t: t}
	c.want("at a silent searcher", cancels(func(*Aggregator) {}), 1)
	c.want("at a slow searcher", cancels(func(a *Aggregator) {
		a.searchersByID["a"].relativeLatency, a.searchersByID["b"].relativeLatency = 5, 5
	}), 0)
	c.want("where no other searcher could take the part", cancels(func(a *Aggregator) {
		for _, s := range a.searchers {
			s.listed = s.ID == "a"
		}
	}), 0)
	c.want("where the only other searcher is crowded", cancels(func(a *Aggregator) {
		for _, s := range a.searchers {
			if s.ID != first {
				s.relativeLatency = 3
			}
		}
	}), 0)
	c.want("where calls were lost but the replica group is overloaded", cancels(func(a *Aggregator) {
		a.deadConnEvidence = 2
		setAdmissionShare(a, 0.9, 10)
	}), 0)
}

// A cold searcher that answers quickly has cores to spare. One that answers slowly, or whose last answer is old,
// may not.
func TestQuickColdSearcherGetsMore(t *testing.T) {
	coldCapacityOf := func(relativeLatency float64, answered time.Duration) (work time.Duration) {
		c := startAggregator(t, testSettings())
		s := c.aggregator.searchersByID["a"]
		s.Started, s.relativeLatency = c.now-1000*ms, relativeLatency
		if answered > 0 {
			s.lastAnswerAt = c.now - answered
		}
		for work = 0; c.aggregator.hasColdCapacity(s, work+ms); work += ms {
		}
		return work
	}
	plain := coldCapacityOf(0, 0)
	c := &driver{t: t}
	c.want("with a quick answer", coldCapacityOf(1, 500*ms) >= 2*plain-2*ms, true)
	c.want("with a slow answer", coldCapacityOf(3, 500*ms), plain)
	c.want("with an old answer", coldCapacityOf(1, 2500*ms), plain)
}

// setAdmissionShare sets the admission shares of all replica groups, and their credits unless credit is negative.
func setAdmissionShare(a *Aggregator, share, credit float64) {
	for shard := range a.settings.Shards {
		s := a.replicaGroup(Part{Shard: shard})
		if s.admissionShare = share; credit >= 0 {
			s.credit = credit
		}
	}
}

// lowestAdmissionShare returns the least admission share of all replica groups.
func lowestAdmissionShare(a *Aggregator) float64 {
	least := 1.0
	for shard := range a.settings.Shards {
		least = min(least, a.replicaGroup(Part{Shard: shard}).admissionShare)
	}
	return least
}
