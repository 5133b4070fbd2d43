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
	keyed, unsafe, partial := class, class, class
	keyed.Name, keyed.Effect, keyed.LateWorth = "keyed", Keyed, 0.5
	unsafe.Name, unsafe.Effect, unsafe.LateWorth = "unsafe", Unsafe, 0.5
	partial.Name, partial.MinShare = "partial", 0.5
	return Settings{
		Gatherers: 2, Tick: 5 * ms, Classes: []Class{class, keyed, unsafe, partial},
		Shards: 4, Cells: 4, ReplicasPerShard: 2, MaxBatch: 4, CallCost: 50 * ms,
		MaxAttempts: 3, MayCancel: true, SecondCopies: true, RetryAdvice: true, MaxRetryAdvice: 1000 * ms,
		ColdShare: 0.2, ColdDuration: 10_000 * ms, ColdMultiple: 2, ColdOverloadWindow: 2000 * ms,
	}
}

// startAggregator returns a driver whose Aggregator has a member list of the searchers a to d.
func startAggregator(t *testing.T, s Settings) *driver {
	d := &driver{t: t, aggregator: New(s), now: 100_000 * ms}
	d.turn(ListChange{Kind: Stale, Replicas: replicaRing("a", "b", "c", "d")})
	return d
}

// replicaRing returns replicas in cells 0, 1, 2 and so on.
func replicaRing(ids ...string) []Replica {
	var list []Replica
	for i, id := range ids {
		list = append(list, Replica{ID: id, Cell: i, State: Ready})
	}
	return list
}

func (d *driver) turn(events ...Event) []Action { return d.aggregator.Turn(d.now, events) }

func (d *driver) after(elapsed time.Duration, events ...Event) []Action {
	d.now += elapsed
	return d.turn(events...)
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

func (d *driver) checkEqual(what string, got, want any) {
	d.t.Helper()
	if !reflect.DeepEqual(got, want) {
		d.t.Errorf("%s: got %v, want %v", what, got, want)
	}
}

func TestPartsGoToTheFewestSearchers(t *testing.T) {
	d := startAggregator(t, testSettings())
	// Shard 0 is held by a and b, shard 1 by b and c: b covers both.
	d.checkEqual("sends", sendsByReplica(d.turn(newQuery(1, 0, 0, 1))), map[string]int{"b": 2})
}

func TestQueriesOfATurnShareCalls(t *testing.T) {
	d := startAggregator(t, testSettings())
	d.checkEqual("sends", sendsByReplica(d.turn(newQuery(1, 0, 0), newQuery(2, 0, 1))), map[string]int{"b": 2})
}

func TestPartsBeyondTheBatchGoToAnotherSearcher(t *testing.T) {
	s := testSettings()
	s.MaxBatch = 1
	d := startAggregator(t, s)
	n := sendsByReplica(d.turn(newQuery(1, 0, 0, 0)))
	d.checkEqual("sends", n, map[string]int{"a": 1, "b": 1})
}

func TestLoadDifferenceBetweenSearchersIsBounded(t *testing.T) {
	d := startAggregator(t, testSettings())
	d.turn(newQuery(1, 0, 0, 1)) // b has two parts in flight
	// b would cover both again, but has two more parts in flight than a and c.
	n := sendsByReplica(d.turn(newQuery(2, 0, 0, 1)))
	d.checkEqual("sends to b", n["b"], 0)
	d.checkEqual("sends", len(n), 2)
}

func TestWholeQueryIsAnsweredAtOnce(t *testing.T) {
	d := startAggregator(t, testSettings())
	d.turn(newQuery(1, 0, 0, 1))
	d.checkEqual("answers when half of the parts are answered", len(actionsOf[Answer](d.after(100*ms, okOutcome(10, 0, "b")))), 0)
	d.checkEqual("answers", actionsOf[Answer](d.after(5*ms, okOutcome(11, 0, "b"))), []Answer{{1, true}})
	d.checkEqual("answers to a repeated outcome", len(actionsOf[Answer](d.after(5*ms, okOutcome(11, 0, "b")))), 0)
}

func TestPartialAnswerWhenTimeIsUp(t *testing.T) {
	d := startAggregator(t, testSettings())
	d.turn(newQuery(1, 3, 0, 1))
	d.after(100*ms, okOutcome(10, 0, "b"))
	d.checkEqual("answers before the aim", len(actionsOf[Answer](d.after(500*ms))), 0)
	d.checkEqual("answers", actionsOf[Answer](d.after(395*ms)), []Answer{{1, false}})
}

func TestNoAnswerBelowMinShare(t *testing.T) {
	d := startAggregator(t, testSettings())
	d.turn(newQuery(1, 3, 0, 1, 2))
	d.after(100*ms, okOutcome(10, 0, "b"))
	actions := d.after(895 * ms)
	d.checkEqual("answers", len(actionsOf[Answer](actions)), 0)
	d.checkEqual("refusals", len(actionsOf[Refuse](actions)), 1)
}

func TestPartsAreNotSentWithTooLittleTimeLeft(t *testing.T) {
	d := startAggregator(t, testSettings())
	q := newQuery(1, 0, 0)
	q.Left = 40 * ms // less than a call costs
	actions := d.turn(q)
	d.checkEqual("sends", len(actionsOf[Send](actions)), 0)
	d.checkEqual("final answers", len(actionsOf[Refuse](actions)), 1)
}

func TestRepeatsPastTheAimAreRefusedAtOnce(t *testing.T) {
	for _, x := range []struct {
		marks, marked bool
		expected      float64
		refused       bool
	}{
		{false, false, 0, false}, // no query was given up here: a client with a short timeout
		{false, false, 1, true},
		{true, false, 1, false},
		{true, true, 0, true},
	} {
		d := startAggregator(t, testSettings())
		d.aggregator.settings.MarksRepeats, d.aggregator.expectedRepeats = x.marks, x.expected
		d.turn(newQuery(1, 0, 0), newQuery(2, 0, 1), newQuery(3, 0, 2))
		q := newQuery(4, 0, 3)
		q.Left, q.Repeat = 2500*ms, x.marked // 1.5 s of the deadline of 4 s have passed; the aim is 1 s
		actions := d.turn(q)
		d.checkEqual(fmt.Sprint("refused ", x), len(actionsOf[Refuse](actions)) == 1, x.refused)
		d.checkEqual(fmt.Sprint("sent ", x), len(actionsOf[Send](actions)) == 1, !x.refused)
	}
}

func TestUnsafePartIsRetriedOnlyIfItNeverRan(t *testing.T) {
	for status, again := range map[Status]bool{
		Full: true, NoConnection: true, Failed: false, Reset: false, TimedOut: false,
	} {
		d := startAggregator(t, testSettings())
		d.turn(newQuery(1, 2, 0))
		first := d.aggregator.parts[10].attempts[0].searcher.ID
		d.checkEqual("copies while overdue", len(actionsOf[Send](d.after(900*ms))), 0)
		actions := d.turn(withStatus(okOutcome(10, 0, first), status))
		d.checkEqual(fmt.Sprint("sent again after status ", status), len(actionsOf[Send](actions)) == 1, again)
		if !again {
			d.checkEqual("failed", actionsOf[Fail](actions), []Fail{{1}})
			d.checkEqual("refused", len(actionsOf[Refuse](actions)), 0)
		}
	}
}

func TestKeyedPartIsRetriedOnlyWithinItsWindow(t *testing.T) {
	for wait, again := range map[time.Duration]bool{1900 * ms: true, 2100 * ms: false} {
		d := startAggregator(t, testSettings())
		d.turn(newQuery(1, 1, 0))
		first := d.aggregator.parts[10].attempts[0].searcher.ID
		d.aggregator.settings.SecondCopies = false
		d.after(wait)
		d.checkEqual(fmt.Sprint("sent again after ", wait),
			len(actionsOf[Send](d.turn(withStatus(okOutcome(10, 0, first), Failed)))) == 1, again)
	}
}

// Guards against a query that fails early: an attempt that never ran does not begin the repeat window.
func TestRepeatWindowBeginsWithTheFirstAttemptThatMayHaveRun(t *testing.T) {
	const unsent = 1000 * ms // how long the first attempt waits until it is given up unsent
	for wait, again := range map[time.Duration]bool{1900 * ms: true, 2100 * ms: false} {
		d := startAggregator(t, testSettings())
		d.aggregator.settings.SecondCopies = false
		query := newQuery(1, 1, 0)
		query.Left = 5000 * ms
		d.turn(query)
		first := d.aggregator.parts[10].attempts[0].searcher.ID
		d.after(unsent)
		second := actionsOf[Send](d.turn(withStatus(okOutcome(10, 0, first), NotSent)))[0].Replica
		d.after(wait)
		d.checkEqual(fmt.Sprint("sent again ", wait, " after the first attempt that may have run"),
			len(actionsOf[Send](d.turn(withStatus(okOutcome(10, 1, second), Failed)))) == 1, again)
	}
}

func TestDrainingAndRemovedSearchersGetNothing(t *testing.T) {
	for _, state := range []State{Draining, Removed} {
		d := startAggregator(t, testSettings())
		d.turn(ListChange{Kind: Changes, Replicas: []Replica{{ID: "b", Cell: 1, State: state}}})
		d.checkEqual("sends to b", sendsByReplica(d.turn(newQuery(1, 0, 0, 1)))["b"], 0)
	}
	d := startAggregator(t, testSettings())
	d.turn(ListChange{Kind: Whole, Replicas: []Replica{{ID: "a"}, {ID: "c", Cell: 2}}})
	d.checkEqual("sends to a replica missing from the whole list", sendsByReplica(d.turn(newQuery(1, 0, 1))), map[string]int{})
}

func TestColdSearchersGetOnlyTheirShare(t *testing.T) {
	d := startAggregator(t, testSettings())
	list := replicaRing("a", "b", "c", "d")
	list[1].Started = d.now
	list[0].State, list[2].State = Removed, Removed
	d.turn(ListChange{Kind: Changes, Replicas: list})
	d.aggregator.searchersByID["b"].window = 8
	n := 0
	for i := range uint64(20) {
		n += sendsByReplica(d.after(5*ms, newQuery(i+1, 0, 0)))["b"]
	}
	// Twice 0.2 x 2 x 2 s for 2 gatherers: 800 ms of work; a call with one part is estimated at 175 ms.
	d.checkEqual("sends to the cold searcher just after its start", n, 4)
}

func TestSomeOfManyAggregatorsMaySendToColdSearcher(t *testing.T) {
	for age := range time.Duration(6) {
		allowed := 0
		for number := range 40 {
			s := testSettings()
			s.Gatherers, s.GathererNumber = 40, number
			d := startAggregator(t, s)
			list := replicaRing("a", "b", "c", "d")
			list[0].Started = d.now - age*1000*ms
			d.turn(ListChange{Kind: Changes, Replicas: list})
			if d.aggregator.hasColdCapacity(d.aggregator.searchersByID["a"], 175*ms) {
				allowed++
			}
		}
		// Capacity for 0.2 x 2 x 2 s of work, which grows by 1.6 s in 5 s, is given out twice: for 9 calls, and soon more.
		if allowed < 8 || allowed > 32 {
			t.Errorf("%d of 40 have capacity for a call at %d s, want 8 to 32", allowed, age)
		}
	}
}

func TestQueryThatCrashesSearchersIsEndedAtOnce(t *testing.T) {
	d := startAggregator(t, testSettings())
	d.turn(newQuery(1, 0, 0, 2)) // on two searchers
	for _, p := range []uint64{10, 11} {
		d.checkEqual("open queries", len(d.aggregator.queries), 1)
		s := d.aggregator.parts[p].attempts[0].searcher.ID
		actions := d.after(5*ms, withStatus(okOutcome(p, 0, s), Reset))
		d.checkEqual("further sends", len(actionsOf[Send](actions)), 0)
		d.checkEqual("refusals", len(actionsOf[Refuse](actions)), int(p-10))
	}
	q := newQuery(2, 0, 0, 2)
	q.Key = "key1"
	sends := actionsOf[Send](d.after(5*ms, q))
	d.checkEqual("first sends of a query with the same signature", len(sends), 1)
	actions := d.after(5*ms, okOutcome(sends[0].Part, 0, sends[0].Replica))
	d.checkEqual("sends once the first part is answered", len(actionsOf[Send](actions)), 1)
}

func TestQueryInterruptedByAnotherQuerysCrashContinues(t *testing.T) {
	d := startAggregator(t, testSettings())
	d.turn(newQuery(1, 0, 0, 2))
	first, second := d.aggregator.parts[10].attempts[0].searcher.ID, d.aggregator.parts[11].attempts[0].searcher.ID
	d.checkEqual("sends while another call is in flight",
		len(actionsOf[Send](d.after(5*ms, withStatus(okOutcome(10, 0, first), Reset)))), 0)
	d.checkEqual("sends after an answer", len(actionsOf[Send](d.after(5*ms, okOutcome(11, 0, second)))), 1)
}

func TestRetryBudget(t *testing.T) {
	s := testSettings()
	s.RetryBudgetFree, s.RetryBudgetRatio, s.RetryBudgetWindow = 1, 0, 5000*ms
	d := startAggregator(t, s)
	d.turn(newQuery(1, 0, 0), newQuery(2, 0, 0))
	n := 0
	for _, id := range []uint64{10, 20} {
		first := d.aggregator.parts[id].attempts[0].searcher.ID
		n += len(actionsOf[Send](d.after(5*ms, withStatus(okOutcome(id, 0, first), Failed))))
	}
	d.checkEqual("retries within the budget", n, 1)
}

func TestFailingSearcherIsEjectedAndProbed(t *testing.T) {
	d := startAggregator(t, testSettings())
	d.turn(newQuery(1, 0, 0, 1)) // to b
	d.after(5*ms, withStatus(okOutcome(10, 0, "b"), Failed), withStatus(okOutcome(11, 0, "b"), Failed))
	d.checkEqual("b is ejected", d.aggregator.searchersByID["b"].ejected, true)
	d.checkEqual("sends to b", sendsByReplica(d.after(5*ms, newQuery(2, 0, 0, 1)))["b"], 0)
	d.after(50*ms, okOutcome(20, 0, "a"), okOutcome(21, 0, "c"), okOutcome(20, 0, "d"),
		okOutcome(10, 1, "a"), okOutcome(11, 1, "c"))
	d.checkEqual("unsafe probe attempts", sendsByReplica(d.after(600*ms, newQuery(3, 2, 0)))["b"], 0)
	d.checkEqual("at most one probe attempt", sendsByReplica(d.turn(newQuery(4, 0, 0), newQuery(5, 0, 1)))["b"] <= 1, true)
}

func TestPartReturnsToSearcherWhenNoUntriedOneIsLeft(t *testing.T) {
	d := startAggregator(t, testSettings())
	first := actionsOf[Send](d.turn(newQuery(1, 0, 0)))[0].Replica
	second := actionsOf[Send](d.after(5*ms, withStatus(okOutcome(10, 0, first), Failed)))[0].Replica
	d.checkEqual("the second attempt is at the first searcher", first == second, false)
	d.checkEqual("third attempts", len(actionsOf[Send](d.after(5*ms, withStatus(okOutcome(10, 1, second), Failed)))), 1)
	third := d.aggregator.parts[10].attempts[2].searcher.ID
	d.checkEqual("fourth attempts, where three are allowed",
		len(actionsOf[Send](d.after(5*ms, withStatus(okOutcome(10, 2, third), Failed)))), 0)
}

func TestUnreachableSearcherIsEjectedEvenIfLastReplica(t *testing.T) {
	d := startAggregator(t, testSettings())
	// Shard 0 has only b left.
	d.aggregator.searchersByID["a"].ejected, d.aggregator.searchersByID["a"].probeAt = true, d.now+time.Hour
	d.turn(newQuery(1, 0, 0))
	d.after(5*ms, withStatus(okOutcome(10, 0, "b"), NoConnection))
	d.checkEqual("b is ejected", d.aggregator.searchersByID["b"].ejected, true)
	d.aggregator.searchersByID["a"].unreachable = true
	d.checkEqual("sends to a shard without a reachable searcher",
		len(actionsOf[Send](d.after(5*ms, newQuery(2, 0, 0, 1)))), 0)
	restart := ListChange{Kind: Changes, Replicas: []Replica{{ID: "b", Cell: 1, State: Ready, Started: d.now}}}
	d.checkEqual("sends after its restart", sendsByReplica(d.turn(restart))["b"], 2)
}

func TestLastReplicaOfAShardIsNotEjected(t *testing.T) {
	d := startAggregator(t, testSettings())
	// Shard 0 has only b left.
	d.aggregator.searchersByID["a"].ejected, d.aggregator.searchersByID["a"].probeAt = true, d.now+time.Hour
	d.turn(newQuery(1, 0, 0))
	d.after(5*ms, withStatus(okOutcome(10, 0, "b"), Failed))
	d.checkEqual("b is ejected", d.aggregator.searchersByID["b"].ejected, false)
}

func TestQueryWaitsForShardWithoutHealthySearcher(t *testing.T) {
	d := startAggregator(t, testSettings())
	d.aggregator.searchersByID["a"].ejected, d.aggregator.searchersByID["b"].ejected = true, true
	sends := actionsOf[Send](d.turn(newQuery(1, 0, 0, 1, 2)))
	d.checkEqual("the part without a healthy replica is sent alone, as a probe", len(sends) == 1 && sends[0].Part == 10, true)
	d.checkEqual("sends while the probe is in flight", len(actionsOf[Send](d.after(50*ms))), 0)
	d.checkEqual("final answer", len(actionsOf[Refuse](d.after(990*ms))), 1)
}

func TestOverduePartGetsASecondCopyElsewhere(t *testing.T) {
	d := startAggregator(t, testSettings())
	d.aggregator.secondCopyCredit = 1
	first := actionsOf[Send](d.turn(newQuery(1, 0, 0)))[0].Replica
	second := actionsOf[Send](d.after(300 * ms))
	d.checkEqual("copies", len(second), 1)
	d.checkEqual("the copy is at the same searcher", second[0].Replica == first, false)
	actions := d.after(50*ms, okOutcome(10, 1, second[0].Replica))
	d.checkEqual("answers", actionsOf[Answer](actions), []Answer{{1, true}})
	d.checkEqual("cancels", actionsOf[Cancel](actions), []Cancel{{10, 0}})
}

func TestSecondCopiesNeedCredit(t *testing.T) {
	d := startAggregator(t, testSettings())
	d.turn(newQuery(1, 0, 0), newQuery(2, 0, 1))
	d.checkEqual("copies without any credit", len(actionsOf[Send](d.after(300*ms))), 0)
}

func TestIdleSearcherGetsAFullCall(t *testing.T) {
	d := startAggregator(t, testSettings())
	d.aggregator.searchersByID["b"].window = 1
	d.checkEqual("sends", sendsByReplica(d.turn(newQuery(1, 0, 0, 1))), map[string]int{"b": 2})
}

func TestBusySearcherWithoutRoomForAllPartsWaits(t *testing.T) {
	d := startAggregator(t, testSettings())
	d.aggregator.searchersByID["b"].window = 2
	for _, id := range []string{"a", "c"} {
		d.aggregator.searchersByID[id].listed = false
	}
	d.turn(newQuery(1, 0, 0))
	d.checkEqual("sends when the window would cut the call short", len(actionsOf[Send](d.after(5*ms, newQuery(2, 0, 0, 1)))), 0)
	d.checkEqual("sends once b is idle", sendsByReplica(d.after(50*ms, okOutcome(10, 0, "b"))), map[string]int{"b": 2})
}

func TestSecondCopiesAvoidBusySearchers(t *testing.T) {
	for busy, copies := range map[int]int{1: 1, 2: 0} {
		d := startAggregator(t, testSettings())
		d.aggregator.secondCopyCredit = 5
		first := actionsOf[Send](d.turn(newQuery(1, 0, 0)))[0].Replica
		other := map[string]string{"a": "b", "b": "a"}[first]
		d.now += 300 * ms
		for range busy {
			s, p := d.aggregator.searchersByID[other], &part{query: d.aggregator.openQueries[1]}
			s.inFlight = append(s.inFlight, &attempt{part: p, searcher: s, sentAt: d.now})
		}
		d.checkEqual(fmt.Sprint("copies with ", busy, " in flight"), len(actionsOf[Send](d.turn())), copies)
	}
}

func TestAttemptOnDeadConnectionIsCancelled(t *testing.T) {
	d := startAggregator(t, testSettings())
	for i := range uint64(3) { // calls typically take 50 ms
		searcher := actionsOf[Send](d.after(5*ms, newQuery(i+1, 0, 0)))[0].Replica
		d.after(50*ms, okOutcome(10*(i+1), 0, searcher))
	}
	// A call was lost on an idle connection before.
	d.aggregator.deadConnEvidence, d.aggregator.deadAfterIdle = 1, float64(time.Hour)
	searcher := actionsOf[Send](d.after(5*ms, newQuery(9, 0, 0)))[0].Replica
	actions := d.after(260 * ms)
	d.checkEqual("cancels", actionsOf[Cancel](actions), []Cancel{{90, 0}})
	d.checkEqual("connections closed so far", len(actionsOf[Disconnect](actions)), 0)
	d.turn(withStatus(okOutcome(90, 0, searcher), Cancelled), Gone{9})
	for _, s := range d.aggregator.searchers {
		s.inFlight = nil
	}
	// Now all connections that have been idle for as long may be dead, and are closed before their next call.
	disconnects := actionsOf[Disconnect](d.after(100*ms, newQuery(10, 0, 0)))
	d.checkEqual("searchers whose connections are closed before the next call", len(disconnects), 1)
}

func TestListIsRequestedAgainAfterFailure(t *testing.T) {
	s := testSettings()
	s.SubscribeToList, s.SubscribeWithin = true, 10_000*ms
	d := &driver{t: t, aggregator: New(s), now: 1000 * ms}
	d.checkEqual("subscriptions at the start", len(actionsOf[Subscribe](d.turn(ListChange{Kind: Stale}))), 1)
	d.checkEqual("subscriptions at once after a failure", len(actionsOf[Subscribe](d.turn(ListChange{Kind: NoList}))), 0)
	d.checkEqual("subscriptions 2 s later", len(actionsOf[Subscribe](d.after(2000*ms))), 1)
}

func TestUnknownInputIsIgnored(t *testing.T) {
	d := startAggregator(t, testSettings())
	d.turn(okOutcome(99, 0, "zz"), Gone{77}, Woken{}, ListChange{Kind: Whole}, ListChange{Kind: Changes,
		Replicas: []Replica{{ID: "x", Cell: -7, State: Removed}}})
	q := newQuery(1, 0, -3, 99)
	q.Class = 42
	d.turn(q)
	d.turn(newQuery(2, 0, -3, 99))
	d.turn(newQuery(2, 0, 0))
	d.checkEqual("open queries", len(d.aggregator.openQueries), 1)
	n := len(actionsOf[Refuse](d.after(2000 * ms)))
	d.checkEqual("final answers", n, 1)
	d.checkEqual("open queries, parts and searchers left", len(d.aggregator.openQueries)+len(d.aggregator.parts)+
		len(d.aggregator.queries)+len(d.aggregator.searchers), 0)
}

func TestEmptySettings(t *testing.T) {
	d := startAggregator(t, Settings{
		Shards: 1, ReplicasPerShard: 1, Classes: []Class{{Aim: 1000 * ms, Deadline: 2000 * ms, WholeShare: 1, MinShare: 1}},
	})
	d.checkEqual("sends", len(actionsOf[Send](d.turn(newQuery(1, 0, 0)))), 1)
	d.checkEqual("final answers", len(actionsOf[Refuse](d.after(3000*ms))), 1)
}

func TestInstancesAreIndependent(t *testing.T) {
	alone, one, two := startAggregator(t, testSettings()),
		startAggregator(t, testSettings()), startAggregator(t, testSettings())
	for i := range uint64(30) {
		q := newQuery(i+1, int(i%4), int(i%4), int((i+2)%4))
		want := alone.after(40*ms, q)
		got := one.after(40*ms, q)
		two.after(15*ms, newQuery(i+1, 0, int(i%3)))
		what := fmt.Sprint("turn ", i)
		one.checkEqual(what, got, want)
	}
}

func TestPartsAreRemovedAfterTheirOutcomes(t *testing.T) {
	d := startAggregator(t, testSettings())
	d.turn(newQuery(1, 0, 0, 1))
	d.after(2000 * ms)
	d.checkEqual("parts held for their outcomes", len(d.aggregator.parts), 2)
	d.after(5*ms, withStatus(okOutcome(10, 0, "b"), Cancelled), withStatus(okOutcome(11, 0, "b"), Cancelled))
	d.checkEqual("parts", len(d.aggregator.parts), 0)
}

func TestSameEventsGiveSameActions(t *testing.T) {
	run := func() (log []Action) {
		d := startAggregator(t, testSettings())
		for i := range uint64(50) {
			log = append(log, d.after(20*ms, newQuery(i+1, int(i%4), int(i%4), int((i+1)%4)))...)
			if i > 5 {
				log = append(log, d.turn(okOutcome(10*(i-5), 0, "b"),
					withStatus(okOutcome(10*(i-5)+1, 0, "b"), Status(i%8)))...)
			}
		}
		return log
	}
	if !reflect.DeepEqual(run(), run()) {
		t.Error("the same events gave different actions the second time")
	}
}

func TestFewerQueriesStartWhileManyAreLate(t *testing.T) {
	d := startAggregator(t, testSettings())
	sent := func() (n int) {
		for i := range uint64(10) {
			id := 1000 + uint64(d.now/ms) + i
			n += len(actionsOf[Send](d.after(5*ms, newQuery(id, 0, 0))))
			d.turn(Gone{id})
			for _, t := range d.aggregator.searchersByID["a"].inFlight {
				d.turn(okOutcome(t.part.ID, t.number, "a"))
			}
			for _, t := range d.aggregator.searchersByID["b"].inFlight {
				d.turn(okOutcome(t.part.ID, t.number, "b"))
			}
		}
		return n
	}
	d.checkEqual("sends of ten queries", sent(), 10)
	for i := range uint64(6) {
		d.turn(newQuery(i+1, 0, 0, 1, 2, 3))
		for d.aggregator.openQueries[i+1] != nil { // nothing answers
			d.after(20 * ms)
		}
		for _, s := range d.aggregator.searchers {
			for len(s.inFlight) > 0 {
				d.turn(withStatus(okOutcome(s.inFlight[0].part.ID, s.inFlight[0].number, s.ID), TimedOut))
			}
			s.ejected, s.failureScore = false, 0
		}
	}
	if n := sent(); n > 8 { // they also get the capacity that the queries with four parts left unused
		t.Errorf("%d of ten queries start although six were late, want at most 8", n)
	}
	setAdmissionShare(d.aggregator, 1, -1)
	d.checkEqual("at least nine of ten start after recovery", sent() >= 9, true)
}

func TestPartsAreTrimmedUnderLoad(t *testing.T) {
	wide := newQuery(1, 3, 0, 1, 2, 3)
	for i, w := range []float64{0.1, 0.6, 0.1, 0.2} {
		wide.Parts[i].Weight = w
	}
	d := startAggregator(t, testSettings())
	d.checkEqual("sends without load", len(actionsOf[Send](d.turn(wide))), 4)
	d = startAggregator(t, testSettings())
	d.aggregator.typicalWorth = 1
	setAdmissionShare(d.aggregator, 0.5, 10)
	sends := actionsOf[Send](d.turn(wide))
	d.checkEqual("sends under load", len(sends), 1)
	d.checkEqual("the heaviest part", sends[0].Part, uint64(11))
	d.checkEqual("answers once it is answered",
		actionsOf[Answer](d.after(50*ms, okOutcome(11, 0, sends[0].Replica))), []Answer{{1, false}})
}

func TestBarelyEarlyAnswersRaiseAdmissionLittle(t *testing.T) {
	increase := func(took time.Duration) float64 {
		d := startAggregator(t, testSettings())
		d.turn(newQuery(1, 0, 0, 1))
		setAdmissionShare(d.aggregator, 0.2, -1)
		for range took/(20*ms) - 1 {
			d.after(20 * ms)
		}
		d.after(20*ms, okOutcome(10, 0, "b"), okOutcome(11, 0, "b"))
		return d.aggregator.replicaGroup(Part{}).admissionShare - 0.2
	}
	d := startAggregator(t, testSettings())
	d.checkEqual("a third as early an answer raises the share by less than an eighth as much", increase(100*ms) > 8*increase(700*ms) && increase(700*ms) > 0, true)
}

func TestRepeatsAndBurstsStartNoMoreUnderLoad(t *testing.T) {
	sent := func(every time.Duration) (n int) {
		d := startAggregator(t, testSettings())
		for i := range uint64(40) { // the typical rate
			for _, x := range actionsOf[Send](d.after(100*ms, newQuery(i+1, 0, int(i%4)))) {
				d.after(5*ms, okOutcome(x.Part, 0, x.Replica))
			}
		}
		setAdmissionShare(d.aggregator, 0.3, -1)
		for i := range uint64(4000 * ms / every) {
			for _, x := range actionsOf[Send](d.after(every, newQuery(1000+i, 0, int(i%4)))) {
				n++
				d.turn(okOutcome(x.Part, 0, x.Replica))
				setAdmissionShare(d.aggregator, 0.3, -1)
			}
		}
		return n
	}
	steady, burst := sent(100*ms), sent(10*ms)
	d := &driver{t: t}
	d.checkEqual("at the typical rate some start", steady > 5, true)
	d.checkEqual("ten times as many queries start hardly more", burst <= steady+3, true)
}

func TestPartAtSilentSearcherIsCancelledWithoutSecondCopies(t *testing.T) {
	s := testSettings()
	s.SecondCopies = false
	d := startAggregator(t, s)
	d.aggregator.classes[0].typicalLatency, d.aggregator.typicalLatency = float64(50*ms), float64(50*ms)
	first := actionsOf[Send](d.turn(newQuery(1, 0, 0)))[0].Replica
	var cancels []Cancel
	for len(cancels) == 0 && d.now < 101_000*ms {
		cancels = actionsOf[Cancel](d.after(20 * ms))
	}
	d.checkEqual("cancelled long before the aim", d.now < 100_500*ms && len(cancels) == 1, true)
	retries := actionsOf[Send](d.after(5*ms, withStatus(okOutcome(10, 0, first), Cancelled)))
	d.checkEqual("retried on the other searcher", len(retries) == 1 && retries[0].Replica != first, true)

	d = startAggregator(t, s)
	d.aggregator.classes[0].typicalLatency, d.aggregator.typicalLatency = float64(50*ms), float64(50*ms)
	setAdmissionShare(d.aggregator, 0.5, 5)
	d.turn(newQuery(1, 0, 0))
	cancels = nil
	for range 45 {
		cancels = append(cancels, actionsOf[Cancel](d.after(20*ms))...)
	}
	d.checkEqual("cancels during an overload", len(cancels), 0)
}

func TestSlowSearcherDoesNotCountAsIdle(t *testing.T) {
	d := startAggregator(t, testSettings())
	d.aggregator.searchersByID["a"].relativeLatency = 6
	d.checkEqual("sends of the first query", sendsByReplica(d.turn(newQuery(1, 0, 0))), map[string]int{"b": 1})
	d.checkEqual("sends of the second query", sendsByReplica(d.after(5*ms, newQuery(2, 0, 0))), map[string]int{"b": 1})
}

func TestFullOutcomesReduceAdmissionAtOnce(t *testing.T) {
	d := startAggregator(t, testSettings())
	first := actionsOf[Send](d.turn(newQuery(1, 0, 0)))[0].Replica
	d.turn(withStatus(okOutcome(10, 0, first), Full))
	d.checkEqual("admission is reduced while the query is open",
		lowestAdmissionShare(d.aggregator) < 1 && d.aggregator.openQueries[1] != nil, true)
}

func TestRelativeLatencyCountsLostCalls(t *testing.T) {
	d := startAggregator(t, testSettings())
	d.aggregator.typicalLatency, d.aggregator.classes[0].typicalLatency = float64(50*ms), float64(50*ms)
	first := actionsOf[Send](d.turn(newQuery(1, 0, 0)))[0].Replica
	for range 10 {
		d.after(20 * ms)
	}
	d.turn(Outcome{Part: 10, Replica: first, Status: TimedOut, Took: 200 * ms})
	d.checkEqual("the relative latency is at least 4 after a lost call", d.aggregator.searchersByID[first].relativeLatency >= 4, true)
}

func TestOwnStallIsNotCountedAgainstSearchers(t *testing.T) {
	d := startAggregator(t, testSettings())
	d.turn(newQuery(1, 0, 0, 1, 2))
	var outcomes []Event
	for id, p := range map[uint64]*part{
		10: d.aggregator.parts[10], 11: d.aggregator.parts[11], 12: d.aggregator.parts[12],
	} {
		o := okOutcome(id, 0, p.attempts[0].searcher.ID)
		o.Took = 100 * ms
		outcomes = append(outcomes, o)
	}
	q := newQuery(2, 0, 3)
	q.Left -= 300 * ms
	actions := d.after(1200*ms, append(outcomes, q)...)
	for _, s := range d.aggregator.searchers {
		d.checkEqual("failure score of "+s.ID, s.failureScore, 0.0)
	}
	d.checkEqual("lowest admission share", lowestAdmissionShare(d.aggregator), 1.0)
	d.checkEqual("sends, of the second query's part only", len(actionsOf[Send](actions)), 1)
	d.checkEqual("aim of the query that arrived during the stall", d.aggregator.openQueries[2].aimAt, d.now+690*ms)
}

func TestProbeAnswerReleasesRemainingParts(t *testing.T) {
	d := startAggregator(t, testSettings())
	d.aggregator.searchersByID["a"].ejected, d.aggregator.searchersByID["b"].ejected = true, true
	s := actionsOf[Send](d.turn(newQuery(1, 0, 0, 1, 2)))[0]
	d.checkEqual("sends after the answer", len(actionsOf[Send](d.after(50*ms, okOutcome(10, 0, s.Replica)))), 2)
}

func TestQuickerOfEqualSearchersIsChosen(t *testing.T) {
	d := startAggregator(t, testSettings())
	first := actionsOf[Send](d.turn(newQuery(1, 0, 0)))[0].Replica
	d.after(100*ms, okOutcome(10, 0, first))
	d.checkEqual("searcher while both are equally quick", actionsOf[Send](d.turn(newQuery(1, 0, 0)))[0].Replica, first)
	d.after(200*ms, okOutcome(10, 0, first))
	d.checkEqual("sent to the same searcher once it is slow", actionsOf[Send](d.turn(newQuery(1, 0, 0)))[0].Replica == first, false)
}

func TestQueryStartsForAPartialAnswer(t *testing.T) {
	d := startAggregator(t, testSettings())
	// Only a probe attempt can reach shard 0.
	d.aggregator.searchersByID["a"].ejected, d.aggregator.searchersByID["b"].ejected = true, true
	d.checkEqual("sends", len(actionsOf[Send](d.turn(newQuery(1, 3, 0, 1, 2)))), 3)
	d = startAggregator(t, testSettings())
	d.turn(newQuery(1, 3, 0, 1, 2))
	for range 3 {
		p := d.aggregator.parts[10]
		d.after(5*ms, withStatus(okOutcome(10, len(p.attempts)-1, p.attempts[len(p.attempts)-1].searcher.ID), Full))
	}
	d.checkEqual("the query continues without the lost part", len(d.aggregator.queries), 1)
	answer := func(id uint64) []Action {
		return d.after(50*ms, okOutcome(id, 0, d.aggregator.parts[id].attempts[0].searcher.ID))
	}
	d.checkEqual("answers so far", len(actionsOf[Answer](answer(11))), 0)
	d.checkEqual("answers once no more parts can arrive", actionsOf[Answer](answer(12)), []Answer{{1, false}})
}

func TestSuccessfulSecondCopyReturnsItsCredit(t *testing.T) {
	d := startAggregator(t, testSettings())
	d.turn(newQuery(1, 0, 0))
	d.aggregator.secondCopyCredit = 1
	copies := actionsOf[Send](d.after(500 * ms))
	d.checkEqual("copies", len(copies), 1)
	d.checkEqual("credit once the copy is sent", d.aggregator.secondCopyCredit, 0.0)
	d.after(100*ms, okOutcome(10, 1, copies[0].Replica))
	d.checkEqual("credit once the copy is answered", d.aggregator.secondCopyCredit, 1.0)
}

func TestLateCallsAmongQuickOnesDoNotReduceAdmission(t *testing.T) {
	d := startAggregator(t, testSettings())
	d.turn(newQuery(1, 0, 0, 2))
	d.aggregator.classes[0].typicalLatency = float64(50 * ms)
	for d.aggregator.openQueries[1] != nil {
		d.after(20 * ms)
	}
	d.checkEqual("lowest admission share while other calls are quick", lowestAdmissionShare(d.aggregator), 1.0)
	d = startAggregator(t, testSettings())
	d.turn(newQuery(2, 0, 1, 3))
	d.aggregator.classes[0].typicalLatency = float64(600 * ms)
	for d.aggregator.openQueries[2] != nil {
		d.after(20 * ms)
	}
	d.checkEqual("admission is reduced once all calls are slow", lowestAdmissionShare(d.aggregator) < 1, true)
}

func TestCrashesDoNotStopOtherQueries(t *testing.T) {
	d := startAggregator(t, testSettings())
	d.turn(newQuery(1, 0, 0), newQuery(2, 0, 2))
	first := d.aggregator.parts[10].attempts[0].searcher.ID
	d.after(5*ms, withStatus(okOutcome(10, 0, first), Reset))
	d.checkEqual("another query is sent in more than one part", len(actionsOf[Send](d.after(5*ms, newQuery(9, 0, 0, 1, 2, 3, 0)))) > 1, true)
}

func TestTenantOverItsShareIsShedFirst(t *testing.T) {
	sent := func(tenant int) (n int) {
		s := testSettings()
		s.Tenants, s.OverShareWorth = []Tenant{{"small", 0.2}, {"large", 0.8}}, 0.1
		d := startAggregator(t, s)
		for i := range uint64(120) { // the small tenant sends nine in ten
			q := newQuery(i+1, 0, int(i%4))
			if q.Tenant = 1; i%10 == 0 {
				q.Tenant = 2
			}
			if i == 40 {
				setAdmissionShare(d.aggregator, 0.5, -1)
			}
			for _, x := range actionsOf[Send](d.after(20*ms, q)) {
				if i >= 40 && q.Tenant == tenant {
					n++
				}
				d.turn(okOutcome(x.Part, 0, x.Replica))
				if i >= 40 {
					setAdmissionShare(d.aggregator, 0.5, -1)
				}
			}
		}
		return n
	}
	overShare, withinShare := sent(1), sent(2)
	d := &driver{t: t}
	d.checkEqual("of 8 queries within the share at least 7 start", withinShare >= 7, true)
	d.checkEqual("of 72 queries over the share fewer than 60 start", overShare < 60, true)
	q := newQuery(1, 0, 0)
	q.Tenant = 7
	d.checkEqual("sends for an unknown tenant", len(actionsOf[Send](startAggregator(t, testSettings()).turn(q))), 1)
}

func TestQueriesTurnedAwayEverywhereReduceAdmission(t *testing.T) {
	d := startAggregator(t, testSettings())
	d.turn(newQuery(1, 0, 0, 2))
	for id := uint64(10); d.aggregator.openQueries[1] != nil; { // every attempt of the first part is turned away
		p := d.aggregator.parts[id]
		d.after(5*ms, withStatus(okOutcome(id, len(p.attempts)-1, p.attempts[len(p.attempts)-1].searcher.ID), Full))
	}
	d.checkEqual("ended long before the aim", d.now < 100_500*ms, true)
	d.checkEqual("admission is reduced", lowestAdmissionShare(d.aggregator) < 1, true)
}

func TestAllQueriesOfALargeTurnAreAnswered(t *testing.T) {
	d := startAggregator(t, testSettings())
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
	count(d.after(time.Hour, events...))
	for range 150 {
		count(d.after(20 * ms))
	}
	d.checkEqual("queries with a final answer", len(finals), 2000)
	for id, n := range finals {
		if n != 1 {
			t.Errorf("query %d has %d final answers", id, n)
		}
	}
}

// An overload of a few searchers must not cause queries to be shed that do not need them. In a large fleet
// most queries do not need a given shard.
func TestOverloadOfOneReplicaGroupShedsNothingElsewhere(t *testing.T) {
	d := startAggregator(t, testSettings())
	d.aggregator.classes[0].typicalLatency = float64(600 * ms) // calls are not quick
	d.turn(newQuery(1, 0, 0, 2))
	d.after(5*ms, okOutcome(11, 0, d.aggregator.parts[11].attempts[0].searcher.ID))
	for d.aggregator.openQueries[1] != nil { // shard 0 answers nothing
		d.after(20 * ms)
	}
	d.checkEqual("admission to the overloaded group is reduced", d.aggregator.replicaGroup(Part{Shard: 0}).admissionShare < 1, true)
	d.checkEqual("admission share of the other group", d.aggregator.replicaGroup(Part{Shard: 2}).admissionShare, 1.0)
	d.aggregator.replicaGroup(Part{Shard: 0}).admissionShare = 0.2
	for i := range uint64(5) {
		d.checkEqual("sends of a query that does not need it", len(actionsOf[Send](d.after(5*ms, newQuery(100+10*i, 0, 2)))), 1)
	}
	refused := 0
	for i := range uint64(5) {
		refused += len(actionsOf[Refuse](d.after(5*ms, newQuery(200+10*i, 0, 0, 2))))
	}
	d.checkEqual("some queries that need both are refused at once", refused >= 3, true)
}

// Attempts that would be answered must not be cancelled: in a large fleet every aggregator would do so in the
// same second.
func TestAttemptsAreCancelledOnlyWhereThereIsCapacity(t *testing.T) {
	cancels := func(set func(*Aggregator)) int {
		s := testSettings()
		s.SecondCopies = false
		d := startAggregator(t, s)
		d.aggregator.classes[0].typicalLatency, d.aggregator.typicalLatency = float64(50*ms), float64(50*ms)
		set(d.aggregator)
		d.turn(newQuery(1, 0, 0))
		n := 0
		for range 13 { // for more than four typical latencies, and less than six
			n += len(actionsOf[Cancel](d.after(20 * ms)))
		}
		return n
	}
	first := actionsOf[Send](startAggregator(t, testSettings()).turn(newQuery(1, 0, 0)))[0].Replica
	d := &driver{t: t}
	d.checkEqual("cancels at a silent searcher", cancels(func(*Aggregator) {}), 1)
	d.checkEqual("cancels at a slow searcher", cancels(func(a *Aggregator) {
		a.searchersByID["a"].relativeLatency, a.searchersByID["b"].relativeLatency = 5, 5
	}), 0)
	d.checkEqual("cancels where no other searcher could take the part", cancels(func(a *Aggregator) {
		for _, s := range a.searchers {
			s.listed = s.ID == "a"
		}
	}), 0)
	d.checkEqual("cancels where the only other searcher is crowded", cancels(func(a *Aggregator) {
		for _, s := range a.searchers {
			if s.ID != first {
				s.relativeLatency = 3
			}
		}
	}), 0)
	d.checkEqual("cancels where calls were lost but the replica group is overloaded", cancels(func(a *Aggregator) {
		a.deadConnEvidence = 2
		setAdmissionShare(a, 0.9, 10)
	}), 0)
}

// A cold searcher that answers quickly has cores to spare. One that answers slowly, or whose last answer is old,
// may not.
func TestQuickColdSearcherGetsMore(t *testing.T) {
	coldCapacityOf := func(relativeLatency float64, answered time.Duration) (work time.Duration) {
		d := startAggregator(t, testSettings())
		s := d.aggregator.searchersByID["a"]
		s.Started, s.relativeLatency = d.now-1000*ms, relativeLatency
		if answered > 0 {
			s.lastAnswerAt = d.now - answered
		}
		for work = 0; d.aggregator.hasColdCapacity(s, work+ms); work += ms {
		}
		return work
	}
	plain := coldCapacityOf(0, 0)
	d := &driver{t: t}
	d.checkEqual("at least twice the capacity with a quick answer", coldCapacityOf(1, 500*ms) >= 2*plain-2*ms, true)
	d.checkEqual("capacity with a slow answer", coldCapacityOf(3, 500*ms), plain)
	d.checkEqual("capacity with an old answer", coldCapacityOf(1, 2500*ms), plain)
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
