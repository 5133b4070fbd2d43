package eiderwinch

import (
	"testing"
	"time"
)

// Where worth grows with work, a wide query of a valuable class earns most for its work. If its worth were
// counted by the query, as where all queries of a class are worth the same, it would be shed first.
func TestMostValuableQueriesStartUnderLoad(t *testing.T) {
	wideQueriesStarted := func(byWork bool) (sends int) {
		s := testSettings()
		s.Classes[1].Worth, s.Classes[1].Effect = 3, Safe
		s.WorthByWork = byWork
		c := startAggregator(t, s)
		for i := range uint64(120) {
			q := newQuery(i+1, 0, int(i%4))
			if i%4 == 0 {
				q = newQuery(i+1, 1, 0, 1, 2, 3)
			}
			if i == 40 {
				setAdmissionShare(c.aggregator, 0.4, -1)
			}
			for _, x := range actionsOf[Send](c.after(20*ms, q)) {
				if i >= 40 && q.Class == 1 {
					sends++
				}
				c.turn(okOutcome(x.Part, 0, x.Replica))
				if i >= 40 {
					setAdmissionShare(c.aggregator, 0.4, -1)
				}
			}
		}
		return sends / 4
	}
	startedByWork, startedByQuery := wideQueriesStarted(true), wideQueriesStarted(false)
	c := &driver{t: t}
	c.want("of twenty wide queries, by work", startedByWork >= 12, true)
	c.want("by the query", startedByQuery <= 10, true)
	t.Logf("%d of 20 by work, %d by the query", startedByWork, startedByQuery)
}

// Parts of other aggregators are visible only in reports. Of two searchers that cover the same parts and have
// as many calls in flight, the one with the shorter queue is chosen while the reports are current. Without
// that, parts would wait at crowded searchers.
func TestCurrentReportOfLongQueueMovesPartsElsewhere(t *testing.T) {
	chosenReplica := func(queues [2]float64, later time.Duration) string {
		c := startAggregator(t, testSettings())
		c.turn(newQuery(1, 0, 0, 0)) // both holders get a part, one after the other
		for _, id := range []uint64{10, 11} {
			if p := c.aggregator.parts[id]; p != nil && len(p.attempts) == 0 {
				t.Fatal("a part was not sent")
			}
		}
		for i, s := range []string{"a", "b"} {
			searcher := c.aggregator.searchersByID[s]
			searcher.reportedQueue, searcher.reportedAt, searcher.lastAnswerAt, searcher.relativeLatency =
				queues[i], c.now, c.now, 1
			searcher.inFlight, searcher.callsInFlight = nil, 0
		}
		c.aggregator.typicalLatency = float64(100 * ms)
		c.now += later
		return actionsOf[Send](c.turn(newQuery(2, 0, 0)))[0].Replica
	}
	c := &driver{t: t}
	c.want("the shorter queue", chosenReplica([2]float64{0, 9}, 5*ms), "a")
	c.want("the other way round", chosenReplica([2]float64{9, 0}, 5*ms), "b")
	c.want("old reports do not count", chosenReplica([2]float64{0, 9}, 300*ms), chosenReplica([2]float64{9, 0}, 300*ms))
	c.want("nor do queues that hardly differ",
		chosenReplica([2]float64{0, 1}, 5*ms), chosenReplica([2]float64{1, 0}, 5*ms))
}

// A searcher that reports a long queue counts as busy in the balance bound although this aggregator has nothing
// in flight there.
func TestReportedQueueCountsAsLoad(t *testing.T) {
	c := startAggregator(t, testSettings())
	c.aggregator.typicalLatency = float64(100 * ms)
	c.turn(newQuery(1, 0, 0))
	first := c.aggregator.parts[10].attempts[0].searcher
	o := okOutcome(10, 0, first.ID)
	o.Load = &Load{Waiting: 40}
	c.after(5*ms, o)
	c.want("queue", first.reportedQueue, 40.0)
	c.want("load", c.aggregator.load(first) > 10, true)
	c.want("shard 0 goes to its other holder", sendsByReplica(c.after(5*ms, newQuery(2, 0, 0)))[first.ID], 0)
	o = okOutcome(20, 0, "")
	o.Replica = c.aggregator.parts[20].attempts[0].searcher.ID
	c.after(5*ms, o) // without a report: the last one counts until it is old
	c.want("load of one that never reported", c.aggregator.load(c.aggregator.searchersByID[o.Replica]), 1.0)
}

// A query of an unknown tenant must not be served on the shares of the known ones.
func TestUnknownTenantHasNoShare(t *testing.T) {
	s := testSettings()
	s.Tenants, s.OverShareWorth = []Tenant{{"small", 0.2}, {"large", 0.8}}, 0.1
	a := New(s)
	c := &driver{t: t}
	c.want("unknown", a.tenantWorthFactor(-1), 0.1)
	c.want("beyond the last", a.tenantWorthFactor(2), 0.1)
	c.want("where there are none", New(testSettings()).tenantWorthFactor(-1), 1.0)
}

// A searcher that answers other attempts will reach a part as well: a second copy would only be additional work.
// A part at a searcher that answers nothing any more must get a copy in time.
func TestSecondCopiesAreSentOnlyForSilentSearchers(t *testing.T) {
	copies := func(answers bool) (n int) {
		c := startAggregator(t, testSettings())
		for i := range uint64(20) { // calls take 50 ms
			for _, x := range actionsOf[Send](c.turn(newQuery(100+i, 0, int(i%4)))) {
				c.after(50*ms, okOutcome(x.Part, 0, x.Replica))
			}
		}
		c.aggregator.secondCopyCredit = maxSecondCopyCredit
		c.turn(newQuery(1, 0, 0))
		p := c.aggregator.parts[10]
		id := p.attempts[0].searcher.ID
		for i := range uint64(80) { // 400 ms, eight times as long, below half of the aim
			if answers && i%10 == 5 {
				c.aggregator.searchersByID[id].lastAnswerAt = c.now
			}
			c.after(5 * ms)
		}
		return len(p.attempts) - 1
	}
	c := &driver{t: t}
	c.want("of a part at a silent searcher", copies(false), 1)
	c.want("of a part at a searcher that answers", copies(true), 0)
}
