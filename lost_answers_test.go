package eiderwinch

import (
	"slices"
	"testing"
)

// sendTwoPartsToOneSearcher sends part 10 to a searcher, and then other parts until that searcher has one of
// them too. It returns the searcher and that part, the last one sent there.
func (c *driver) sendTwoPartsToOneSearcher() (searcher string, later uint64) {
	c.aggregator.classes[0].typicalLatency, c.aggregator.typicalLatency = float64(50*ms), float64(50*ms)
	searcher = actionsOf[Send](c.turn(newQuery(1, 0, 0)))[0].Replica
	elsewhere := make(map[uint64]string)
	for id := uint64(2); later == 0; id++ {
		for _, x := range actionsOf[Send](c.after(5*ms, newQuery(id, 0, 0))) {
			if x.Replica == searcher {
				later = x.Part
			} else {
				elsewhere[x.Part] = x.Replica
			}
		}
	}
	for id, s := range elsewhere {
		c.turn(okOutcome(id, 0, s))
	}
	return searcher, later
}

// A searcher that answers what it was sent later has lost the answer to a part, or its connection was cut. If the
// part waited until the end of its query, its searcher would get nothing new for as long.
func TestOvertakenPartIsRetried(t *testing.T) {
	for _, copies := range []bool{false, true} {
		s := testSettings()
		s.SecondCopies = copies
		c := startAggregator(t, s)
		searcher, later := c.sendTwoPartsToOneSearcher()
		c.after(40*ms, okOutcome(later, 0, searcher))
		var retries []Send
		for until := c.now + 500*ms; len(retries) == 0 && c.now < until; {
			for _, x := range actionsOf[Cancel](c.after(20 * ms)) {
				retries = append(retries, actionsOf[Send](
					c.after(5*ms, withStatus(okOutcome(x.Part, x.Attempt, searcher), Cancelled)))...)
			}
			if p := c.aggregator.parts[10]; len(p.attempts) > 1 && len(retries) == 0 {
				retries = append(retries, Send{Part: 10, Replica: p.attempts[1].searcher.ID})
			}
		}
		if len(retries) != 1 || retries[0].Part != 10 || retries[0].Replica == searcher {
			t.Fatalf("copies allowed %v: retried by %v, want one retry at another searcher than %s", copies, retries, searcher)
		}
		c.want("not while the part may only be heavy", c.now-c.aggregator.parts[10].attempts[0].sentAt >= 350*ms, true)
		c.after(40*ms, okOutcome(10, 1, retries[0].Replica))
		for range 2 {
			c.after(5*ms, withStatus(okOutcome(10, 0, searcher), Cancelled))
		}
		c.want("its searcher is busy", c.aggregator.searchersByID[searcher].hasOverduePart ||
			len(c.aggregator.searchersByID[searcher].inFlight) > 0, false)
	}
}

// One lost answer must not prevent the cancelling of what was sent after it on a connection that is dead.
func TestLostAnswerDoesNotHideSilentSearcher(t *testing.T) {
	s := testSettings()
	s.SecondCopies = false
	c := startAggregator(t, s)
	searcher, later := c.sendTwoPartsToOneSearcher()
	// It was answering while part 10 was in flight.
	c.aggregator.searchersByID[searcher].lastAnswerAt = c.aggregator.parts[later].attempts[0].sentAt - ms
	var cancelled []uint64
	for until := c.now + 600*ms; c.now < until; {
		for _, x := range actionsOf[Cancel](c.after(20 * ms)) {
			cancelled = append(cancelled, x.Part)
		}
	}
	slices.Sort(cancelled)
	c.want("both are cancelled", cancelled, []uint64{10, later})
}

// The answer of a copy cancels the part's other attempt at once, not only when the whole query ends: that frees
// its place at the searcher.
func TestOtherAttemptsAreCancelledAfterAnAnswer(t *testing.T) {
	c := startAggregator(t, testSettings())
	c.aggregator.secondCopyCredit = 1
	c.want("calls", len(actionsOf[Send](c.turn(newQuery(1, 1, 0, 2)))), 2) // keyed work is not cancelled before that
	copies := actionsOf[Send](c.after(300 * ms))
	c.want("copies", len(copies), 1)
	part := copies[0].Part
	c.want("cancels", actionsOf[Cancel](c.after(20*ms, okOutcome(part, 1, copies[0].Replica))), []Cancel{{part, 0}})
	c.want("again", len(actionsOf[Cancel](c.after(20*ms))), 0)
	c.want("the query goes on", c.aggregator.openQueries[1] != nil, true)
}
