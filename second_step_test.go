package eiderwinch

import "testing"

// startWithSecondStep starts an aggregator whose class 3 has a second step of two parts and may be answered from
// half of the parts of each step.
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
	d := startWithSecondStep(t)
	d.turn(newQuery(1, 3, 0, 1))
	d.checkEqual("first answer",
		actionsOf[Answer](d.after(100*ms, okOutcome(10, 0, "b"), okOutcome(11, 0, "b"))), []Answer{{1, true}})
	d.checkEqual("sends", len(actionsOf[Send](d.after(5*ms, secondStep(1, 0, 1)))), 2)
	d.checkEqual("answers when half of the parts are answered", len(actionsOf[Answer](d.after(100*ms, okOutcome(15, 0, "b")))), 0)
	d.checkEqual("final answer", actionsOf[Answer](d.after(100*ms, okOutcome(16, 0, "b"))), []Answer{{1, true}})
	d.checkEqual("the query has ended", d.aggregator.openQueries[1] == nil && len(d.aggregator.parts) == 0, true)
	d.checkEqual("actions for a late second step", len(d.after(5*ms, secondStep(1, 0, 1))), 0)
}

func TestSecondStepAfterAPartialFirstIsNeverWhole(t *testing.T) {
	d := startWithSecondStep(t)
	d.turn(newQuery(1, 3, 0, 1))
	d.after(100*ms, okOutcome(10, 0, "b"))
	var first []Answer
	for d.now < d.aggregator.openQueries[1].finalAimAt && len(first) == 0 {
		first = actionsOf[Answer](d.after(20 * ms))
	}
	d.checkEqual("first answer, before the aim", first, []Answer{{1, false}})
	d.checkEqual("at least 200 ms are left for the second step", d.aggregator.openQueries[1].finalAimAt-d.now >= 200*ms, true)
	sends := actionsOf[Send](d.after(5*ms, secondStep(1, 0)))
	d.checkEqual("sends", len(sends), 1)
	d.checkEqual("final answer", actionsOf[Answer](d.after(100*ms, okOutcome(15, 0, sends[0].Replica))), []Answer{{1, false}})
}

func TestNoFirstAnswerTooLateForSecondStep(t *testing.T) {
	d := startWithSecondStep(t)
	q := newQuery(1, 3, 0, 1)
	q.Left = 300 * ms
	d.turn(q)
	finals := d.after(285*ms, okOutcome(10, 0, "b"), okOutcome(11, 0, "b"))
	d.checkEqual("answers", len(actionsOf[Answer](finals)), 0)
	d.checkEqual("refusals", len(actionsOf[Refuse](finals)), 1)
}

func TestSecondStepMissingOrLate(t *testing.T) {
	d := startWithSecondStep(t)
	d.turn(newQuery(1, 3, 0, 1), secondStep(7, 0), secondStep(1, 0)) // for an unknown query, and before the first answer
	d.checkEqual("first answer",
		actionsOf[Answer](d.after(100*ms, okOutcome(10, 0, "b"), okOutcome(11, 0, "b"))), []Answer{{1, true}})
	finals := 0
	for range 200 {
		finals += len(actionsOf[Refuse](d.after(20 * ms)))
	}
	d.checkEqual("refusals", finals, 1)

	d = startWithSecondStep(t)
	d.turn(newQuery(1, 3, 0, 1))
	d.after(100*ms, okOutcome(10, 0, "b"), okOutcome(11, 0, "b"))
	d.checkEqual("sends for a client that has left", len(actionsOf[Send](d.after(5*ms, Gone{1}, secondStep(1, 0, 1)))), 0)
}
