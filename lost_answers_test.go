package eiderwinch

import (
	"slices"
	"testing"
)

// sendTwoPartsToOneSearcher sends part 10 to a searcher, and then other parts until that searcher has one of
// them too. It returns the searcher and that part, the last one sent there.
func (d *driver) sendTwoPartsToOneSearcher() (searcher string, later uint64) {
	d.aggregator.classes[0].typicalLatency, d.aggregator.typicalLatency = float64(50*ms), float64(50*ms)
	searcher = actionsOf[Send](d.turn(newQuery(1, 0, 0)))[0].Replica
	elsewhere := make(map[uint64]string)
	for id := uint64(2); later == 0; id++ {
		for _, x := range actionsOf[Send](d.after(5*ms, newQuery(id, 0, 0))) {
			if x.Replica == searcher {
				later = x.Part
			} else {
				elsewhere[x.Part] = x.Replica
			}
		}
	}
	for id, s := range elsewhere {
		d.turn(okOutcome(id, 0, s))
	}
	return searcher, later
}

// A searcher that answers attempts that were sent after a part has lost the part's answer, or the connection broke.
// If the part waited until the end of its query, its searcher would get nothing new until then.
func TestOvertakenPartIsRetried(t *testing.T) {
	for _, copies := range []bool{false, true} {
		s := testSettings()
		s.SecondCopies = copies
		d := startAggregator(t, s)
		searcher, later := d.sendTwoPartsToOneSearcher()
		d.after(40*ms, okOutcome(later, 0, searcher))
		var retries []Send
		for until := d.now + 500*ms; len(retries) == 0 && d.now < until; {
			for _, x := range actionsOf[Cancel](d.after(20 * ms)) {
				retries = append(retries, actionsOf[Send](
					d.after(5*ms, withStatus(okOutcome(x.Part, x.Attempt, searcher), Cancelled)))...)
			}
			if p := d.aggregator.parts[10]; len(p.attempts) > 1 && len(retries) == 0 {
				retries = append(retries, Send{Part: 10, Replica: p.attempts[1].searcher.ID})
			}
		}
		if len(retries) != 1 || retries[0].Part != 10 || retries[0].Replica == searcher {
			t.Fatalf("copies allowed %v: retried by %v, want one retry at another searcher than %s", copies, retries, searcher)
		}
		d.checkEqual("retried only after a part with much work would have been answered", d.now-d.aggregator.parts[10].attempts[0].sentAt >= 350*ms, true)
		d.after(40*ms, okOutcome(10, 1, retries[0].Replica))
		for range 2 {
			d.after(5*ms, withStatus(okOutcome(10, 0, searcher), Cancelled))
		}
		d.checkEqual("its searcher counts as busy", d.aggregator.searchersByID[searcher].hasOverduePart ||
			len(d.aggregator.searchersByID[searcher].inFlight) > 0, false)
	}
}

// A lost answer must not prevent the cancellation of attempts that were sent later on a dead connection.
func TestLostAnswerDoesNotHideSilentSearcher(t *testing.T) {
	s := testSettings()
	s.SecondCopies = false
	d := startAggregator(t, s)
	searcher, later := d.sendTwoPartsToOneSearcher()
	// The searcher last answered while part 10 was in flight, before the other part was sent.
	d.aggregator.searchersByID[searcher].lastAnswerAt = d.aggregator.parts[later].attempts[0].sentAt - ms
	var cancelled []uint64
	for until := d.now + 600*ms; d.now < until; {
		for _, x := range actionsOf[Cancel](d.after(20 * ms)) {
			cancelled = append(cancelled, x.Part)
		}
	}
	slices.Sort(cancelled)
	d.checkEqual("cancelled parts", cancelled, []uint64{10, later})
}

// The answer to one copy cancels the part's other attempt at once, not only when the whole query ends. This frees
// its place in the searcher's window.
func TestOtherAttemptsAreCancelledAfterAnAnswer(t *testing.T) {
	d := startAggregator(t, testSettings())
	d.aggregator.secondCopyCredit = 1
	d.checkEqual("sends", len(actionsOf[Send](d.turn(newQuery(1, 1, 0, 2)))), 2) // keyed parts are not cancelled while unanswered
	copies := actionsOf[Send](d.after(300 * ms))
	d.checkEqual("copies", len(copies), 1)
	part := copies[0].Part
	d.checkEqual("cancels", actionsOf[Cancel](d.after(20*ms, okOutcome(part, 1, copies[0].Replica))), []Cancel{{part, 0}})
	d.checkEqual("cancels in a later turn", len(actionsOf[Cancel](d.after(20*ms))), 0)
	d.checkEqual("the query is still open", d.aggregator.openQueries[1] != nil, true)
}
