package eiderwinch

import (
	"testing"
	"time"
)

// Where worth grows with work, a query with many parts of a valuable class earns the most for its work. If its
// worth were divided by its number of parts, as where all queries of a class are worth the same, it would be
// shed first.
func TestMostValuableQueriesStartUnderLoad(t *testing.T) {
	wideQueriesStarted := func(byWork bool) (sends int) {
		s := testSettings()
		s.Classes[1].Worth, s.Classes[1].Effect = 3, Safe
		s.WorthByWork = byWork
		d := startAggregator(t, s)
		for i := range uint64(120) {
			q := newQuery(i+1, 0, int(i%4))
			if i%4 == 0 {
				q = newQuery(i+1, 1, 0, 1, 2, 3)
			}
			if i == 40 {
				setAdmissionShare(d.aggregator, 0.4, -1)
			}
			for _, x := range actionsOf[Send](d.after(20*ms, q)) {
				if i >= 40 && q.Class == 1 {
					sends++
				}
				d.turn(okOutcome(x.Part, 0, x.Replica))
				if i >= 40 {
					setAdmissionShare(d.aggregator, 0.4, -1)
				}
			}
		}
		return sends / 4
	}
	startedByWork, startedByQuery := wideQueriesStarted(true), wideQueriesStarted(false)
	d := &driver{t: t}
	d.checkEqual("at least 12 of 20 queries with four parts start where worth grows with work", startedByWork >= 12, true)
	d.checkEqual("at most 10 of them start where it does not", startedByQuery <= 10, true)
	t.Logf("%d of 20 start where worth grows with work, %d where it does not", startedByWork, startedByQuery)
}

// Parts of other aggregators are visible only in load reports. Of two searchers that cover the same parts and have
// equally many calls in flight, the one with the shorter queue is chosen while the reports are current. Otherwise
// parts would wait at crowded searchers.
func TestCurrentReportOfLongQueueMovesPartsElsewhere(t *testing.T) {
	chosenReplica := func(queues [2]float64, later time.Duration) string {
		d := startAggregator(t, testSettings())
		d.turn(newQuery(1, 0, 0, 0)) // shard 0 is held by a and b
		for _, id := range []uint64{10, 11} {
			if p := d.aggregator.parts[id]; p != nil && len(p.attempts) == 0 {
				t.Fatal("a part was not sent")
			}
		}
		for i, s := range []string{"a", "b"} {
			searcher := d.aggregator.searchersByID[s]
			searcher.reportedQueue, searcher.reportedAt, searcher.lastAnswerAt, searcher.relativeLatency =
				queues[i], d.now, d.now, 1
			searcher.inFlight, searcher.callsInFlight = nil, 0
		}
		d.aggregator.typicalLatency = float64(100 * ms)
		d.now += later
		return actionsOf[Send](d.turn(newQuery(2, 0, 0)))[0].Replica
	}
	d := &driver{t: t}
	d.checkEqual("with a shorter queue at a", chosenReplica([2]float64{0, 9}, 5*ms), "a")
	d.checkEqual("with a shorter queue at b", chosenReplica([2]float64{9, 0}, 5*ms), "b")
	d.checkEqual("with old reports, whichever queue is shorter", chosenReplica([2]float64{0, 9}, 300*ms), chosenReplica([2]float64{9, 0}, 300*ms))
	d.checkEqual("with queues that hardly differ, whichever is shorter",
		chosenReplica([2]float64{0, 1}, 5*ms), chosenReplica([2]float64{1, 0}, 5*ms))
}

// A searcher that reports a long queue counts as loaded although this aggregator has nothing in flight there.
func TestReportedQueueCountsAsLoad(t *testing.T) {
	d := startAggregator(t, testSettings())
	d.aggregator.typicalLatency = float64(100 * ms)
	d.turn(newQuery(1, 0, 0))
	first := d.aggregator.parts[10].attempts[0].searcher
	o := okOutcome(10, 0, first.ID)
	o.Load = &Load{Waiting: 40}
	d.after(5*ms, o)
	d.checkEqual("reported queue", first.reportedQueue, 40.0)
	d.checkEqual("the load is above 10", d.aggregator.load(first) > 10, true)
	d.checkEqual("sends to it of a part that another searcher holds too", sendsByReplica(d.after(5*ms, newQuery(2, 0, 0)))[first.ID], 0)
	o = okOutcome(20, 0, "")
	o.Replica = d.aggregator.parts[20].attempts[0].searcher.ID
	d.after(5*ms, o) // without a report: the last one counts until it is old
	d.checkEqual("load of a searcher that never reported", d.aggregator.load(d.aggregator.searchersByID[o.Replica]), 1.0)
}

// A query of an unknown tenant must not be served on the shares of the known ones.
func TestUnknownTenantHasNoShare(t *testing.T) {
	s := testSettings()
	s.Tenants, s.OverShareWorth = []Tenant{{"small", 0.2}, {"large", 0.8}}, 0.1
	a := New(s)
	d := &driver{t: t}
	d.checkEqual("worth factor of an unknown tenant", a.tenantWorthFactor(-1), 0.1)
	d.checkEqual("worth factor of a tenant beyond the last", a.tenantWorthFactor(2), 0.1)
	d.checkEqual("worth factor without tenants in the settings", New(testSettings()).tenantWorthFactor(-1), 1.0)
}

// A searcher that answers other attempts will reach a part as well: a second copy would only add work. A part at a
// searcher that no longer answers anything must get a second copy in time.
func TestSecondCopiesAreSentOnlyForSilentSearchers(t *testing.T) {
	copies := func(answers bool) (n int) {
		d := startAggregator(t, testSettings())
		for i := range uint64(20) { // calls take 50 ms
			for _, x := range actionsOf[Send](d.turn(newQuery(100+i, 0, int(i%4)))) {
				d.after(50*ms, okOutcome(x.Part, 0, x.Replica))
			}
		}
		d.aggregator.secondCopyCredit = maxSecondCopyCredit
		d.turn(newQuery(1, 0, 0))
		p := d.aggregator.parts[10]
		id := p.attempts[0].searcher.ID
		for i := range uint64(80) { // 400 ms: eight times the typical latency, less than half of the aim
			if answers && i%10 == 5 {
				d.aggregator.searchersByID[id].lastAnswerAt = d.now
			}
			d.after(5 * ms)
		}
		return len(p.attempts) - 1
	}
	d := &driver{t: t}
	d.checkEqual("copies of a part at a silent searcher", copies(false), 1)
	d.checkEqual("copies of a part at a searcher that answers", copies(true), 0)
}
