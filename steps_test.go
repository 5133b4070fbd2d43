package eiderwinch

import "testing"

// stepped starts an aggregator whose class 3 has a second step of two parts and may be answered from half.
func stepped(t *testing.T) *script {
	s := testSettings()
	s.Classes[3].Fetch = 2
	return start(t, s)
}

func second(query uint64, shards ...int) SecondStep {
	q := ask(query, 0, shards...)
	for i := range q.Parts {
		q.Parts[i].ID += 5
	}
	return SecondStep{query, q.Parts}
}

func TestSecondStepIsSentAndAnsweredOnceMore(t *testing.T) {
	c := stepped(t)
	c.turn(ask(1, 3, 0, 1))
	c.want("first answer", only[Answer](c.after(100*ms, ok(10, 0, "b"), ok(11, 0, "b"))), []Answer{{1, true}})
	c.want("sends", len(only[Send](c.after(5*ms, second(1, 0, 1)))), 2)
	c.want("answers of half", len(only[Answer](c.after(100*ms, ok(15, 0, "b")))), 0)
	c.want("final answer", only[Answer](c.after(100*ms, ok(16, 0, "b"))), []Answer{{1, true}})
	c.want("it is over", c.a.open[1] == nil && len(c.a.parts) == 0, true)
	c.want("a late second step", len(c.after(5*ms, second(1, 0, 1))), 0)
}

func TestSecondStepAfterAPartialFirstIsNeverWhole(t *testing.T) {
	c := stepped(t)
	c.turn(ask(1, 3, 0, 1))
	c.after(100*ms, ok(10, 0, "b"))
	var first []Answer
	for c.now < c.a.open[1].last && len(first) == 0 {
		first = only[Answer](c.after(20 * ms))
	}
	c.want("first answer, before the aim", first, []Answer{{1, false}})
	c.want("time is left for the second", c.a.open[1].last-c.now >= 200*ms, true)
	sends := only[Send](c.after(5*ms, second(1, 0)))
	c.want("sends", len(sends), 1)
	c.want("final answer", only[Answer](c.after(100*ms, ok(15, 0, sends[0].Replica))), []Answer{{1, false}})
}

func TestNoFirstAnswerTooLateForASecond(t *testing.T) {
	c := stepped(t)
	q := ask(1, 3, 0, 1)
	q.Left = 300 * ms
	c.turn(q)
	finals := c.after(285*ms, ok(10, 0, "b"), ok(11, 0, "b"))
	c.want("answers", len(only[Answer](finals)), 0)
	c.want("refusals", len(only[Refuse](finals)), 1)
}

func TestSecondStepThatNeverComesOrComesLate(t *testing.T) {
	c := stepped(t)
	c.turn(ask(1, 3, 0, 1), second(7, 0), second(1, 0)) // of no query, and before its first answer
	c.want("first answer", only[Answer](c.after(100*ms, ok(10, 0, "b"), ok(11, 0, "b"))), []Answer{{1, true}})
	finals := 0
	for range 200 {
		finals += len(only[Refuse](c.after(20 * ms)))
	}
	c.want("refusals", finals, 1)

	c = stepped(t)
	c.turn(ask(1, 3, 0, 1))
	c.after(100*ms, ok(10, 0, "b"), ok(11, 0, "b"))
	c.want("actions for a client gone", len(only[Send](c.after(5*ms, Gone{1}, second(1, 0, 1)))), 0)
}
