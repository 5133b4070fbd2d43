package eiderwinch

import (
	"cmp"
	"slices"
	"time"
)

// Ending the queries that are whole, too late, without hope or deadly to servers.

// close forgets a query and takes back what it still has out.
func (a *Aggregator) close(q *query) {
	q.ended = true
	delete(a.open, q.ID)
	a.withdraw(q)
}

func (a *Aggregator) withdraw(q *query) {
	a.forgetParts(q)
	for _, p := range q.parts {
		a.recall(p)
	}
}

// recall takes back what a part has out.
func (a *Aggregator) recall(p *part) {
	for _, t := range p.attempts {
		if a.set.MayCancel && !t.over && !t.recalled {
			t.recalled = true
			a.do(Cancel{p.ID, t.number})
		}
	}
}

// settle ends the queries that are whole, and those whose time or hope is gone.
func (a *Aggregator) settle() {
	for _, q := range a.queries {
		reach := a.reach(q)
		switch {
		case q.ended || q.step == stepAsked && a.now < q.end:
		case q.step != stepAsked && q.in >= q.want-slack && !a.stepLate(q):
			a.answer(q, q.in >= q.need-slack && (q.step == stepFirst || q.whole))
		case q.shed || a.now >= q.end || reach < q.floor-slack,
			q.in >= q.floor-slack && (a.now >= q.goal || reach <= q.in+slack):
			a.giveUp(q)
		case a.deadly(q):
			a.crashes[a.kin(q)] = a.now
			q.goal = a.now // so that the client is told to stay away for long
			a.giveUp(q)
		}
	}
}

// stepLate tells that a first answer would leave its second step no time: the query would be lost.
func (a *Aggregator) stepLate(q *query) bool {
	return q.step == stepFirst && q.class.Fetch > 0 && (a.now >= q.end || a.late(q))
}

// answer ends a query, or its first step where there is a second: the same query then waits for more parts.
func (a *Aggregator) answer(q *query, whole bool) {
	if q.step == stepFirst && q.class.Fetch > 0 {
		a.withdraw(q)
		q.step, q.whole = stepAsked, whole
	} else {
		a.close(q)
		if q.in >= q.want-slack {
			q.class.whole = blend(q.class.whole, float64(a.now-q.started), learn)
			a.ease(q)
		}
	}
	a.do(Answer{q.ID, whole})
}

// reach is the weight of a query's parts that are in or may still come.
func (a *Aggregator) reach(q *query) float64 {
	reach := q.in
	for _, p := range q.parts {
		if !p.in && (p.open > 0 || a.mayTry(p)) {
			reach += p.Weight
		}
	}
	return reach
}

// kin names the queries that are likely to do to servers what this one does: by its key, else its class.
func (a *Aggregator) kin(q *query) string { return cmp.Or(q.Key, q.class.Name) }

// suspect tells that a query may crash the servers that begin it: one of its kin did so lately.
func (a *Aggregator) suspect(q *query) bool { return a.crashes[a.kin(q)] > 0 }

// deadly tells that a query has crashed the servers that began it: each call of it that has ended was reset,
// on two servers, or on one if it was suspect. Others' queries caught in it have answers elsewhere.
func (a *Aggregator) deadly(q *query) bool {
	out, crashed := q.crashed()
	return q.in == 0 && out == 0 && (crashed > 1 || crashed > 0 && a.suspect(q))
}

// scouting tells that a query may send one part only, and whether it may now: it is suspect or was reset and
// has no answer yet. It spares servers that it would crash; where connections break for other reasons it
// costs a call's time.
func (a *Aggregator) scouting(q *query) (scout, now bool) {
	if q.in > 0 {
		return false, true
	}
	out, crashed := q.crashed()
	return crashed > 0 || a.suspect(q), out == 0
}

// giveUp ends a query with what is in if that may be answered, else by a refusal where a repeat is harmless.
func (a *Aggregator) giveUp(q *query) {
	if q.going {
		a.ease(q)
	}
	if q.step != stepAsked && q.in > 0 && q.in >= q.floor-slack && !a.stepLate(q) {
		a.answer(q, false)
		return
	}
	a.close(q)
	if a.now > q.came {
		a.repeats = min(a.repeats+repeatsEach, firstVotes)
	}
	if q.class.Effect != Safe && (q.step != stepFirst || slices.ContainsFunc(q.parts, mayHaveRun)) {
		a.do(Fail{q.ID})
		return
	}
	r := Refuse{Query: q.ID}
	if a.set.RetryAdvice && a.now < q.goal {
		r.RetryAfter = min(time.Duration(a.usual), a.set.MaxRetryAdvice)
	} else if a.set.RetryAdvice {
		r.RetryAfter = a.set.MaxRetryAdvice // nothing is gained by coming back soon
	}
	a.do(r)
}

// late tells that a part has too little time left for a call.
func (a *Aggregator) late(q *query) bool {
	least := max(time.Duration(quickShare*q.class.usual), a.set.CallCost)
	if q.started == 0 {
		least = max(least, min(time.Duration(q.class.whole), q.class.Aim/overdueMost))
	}
	return q.end-a.now < least
}
