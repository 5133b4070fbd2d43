package eiderwinch

import "testing"

// startWithSecondStep starts an aggregator whose class 3 has a second step of two parts and may be answered from
// half of them.
func startWithSecondStep(t *testing.T) *driver {
	s := testSettings()
	s.Classes[3].SecondStepParts = 2
	return startAggregator(t, s)
}

// secondStep returns the second step of a query, with one part for each shard.
func secondStep(query uint64, shards ...int) SecondStep {
	q := newQuery(query, 0, shards...)
	for i := range q.Parts {
		q.Parts[i].ID += 5
	}
	return SecondStep{query, q.Parts}
}

func TestSecondStepIsSentAndAnsweredOnceMore(t *testing.T) {
	c := startWithSecondStep(t)
	c.turn(newQuery(1, 3, 0, 1))
	c.want("first answer",
		actionsOf[Answer](c.after(100*ms, okOutcome(10, 0, "b"), okOutcome(11, 0, "b"))), []Answer{{1, true}})
	c.want("sends", len(actionsOf[Send](c.after(5*ms, secondStep(1, 0, 1)))), 2)
	c.want("answers of half", len(actionsOf[Answer](c.after(100*ms, okOutcome(15, 0, "b")))), 0)
	c.want("final answer", actionsOf[Answer](c.after(100*ms, okOutcome(16, 0, "b"))), []Answer{{1, true}})
	c.want("the query has ended", c.aggregator.openQueries[1] == nil && len(c.aggregator.parts) == 0, true)
	c.want("a late second step", len(c.after(5*ms, secondStep(1, 0, 1))), 0)
}

func TestSecondStepAfterAPartialFirstIsNeverWhole(t *testing.T) {
	c := startWithSecondStep(t)
	c.turn(newQuery(1, 3, 0, 1))
	c.after(100*ms, okOutcome(10, 0, "b"))
	var first []Answer
	for c.now < c.aggregator.openQueries[1].finalAimAt && len(first) == 0 {
		first = actionsOf[Answer](c.after(20 * ms))
	}
	c.want("first answer, before the aim", first, []Answer{{1, false}})
	c.want("time is left for the second", c.aggregator.openQueries[1].finalAimAt-c.now >= 200*ms, true)
	sends := actionsOf[Send](c.after(5*ms, secondStep(1, 0)))
	c.want("sends", len(sends), 1)
	c.want("final answer", actionsOf[Answer](c.after(100*ms, okOutcome(15, 0, sends[0].Replica))), []Answer{{1, false}})
}

func TestNoFirstAnswerTooLateForSecondStep(t *testing.T) {
	c := startWithSecondStep(t)
	q := newQuery(1, 3, 0, 1)
	q.Left = 300 * ms
	c.turn(q)
	finals := c.after(285*ms, okOutcome(10, 0, "b"), okOutcome(11, 0, "b"))
	c.want("answers", len(actionsOf[Answer](finals)), 0)
	c.want("refusals", len(actionsOf[Refuse](finals)), 1)
}

func TestSecondStepMissingOrLate(t *testing.T) {
	c := startWithSecondStep(t)
	c.turn(newQuery(1, 3, 0, 1), secondStep(7, 0), secondStep(1, 0)) // one of no query, and one before its first answer
	c.want("first answer",
		actionsOf[Answer](c.after(100*ms, okOutcome(10, 0, "b"), okOutcome(11, 0, "b"))), []Answer{{1, true}})
	finals := 0
	for range 200 {
		finals += len(actionsOf[Refuse](c.after(20 * ms)))
	}
	c.want("refusals", finals, 1)

	c = startWithSecondStep(t)
	c.turn(newQuery(1, 3, 0, 1))
	c.after(100*ms, okOutcome(10, 0, "b"), okOutcome(11, 0, "b"))
	c.want("sends for a client that has left", len(actionsOf[Send](c.after(5*ms, Gone{1}, secondStep(1, 0, 1)))), 0)
}
