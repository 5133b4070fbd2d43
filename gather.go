package eiderwinch

import (
	"cmp"
	"slices"
)

// Gathering the parts to be sent: first tries, other tries, second copies.

// mayTry tells that a part may get a first try or another one now.
func (a *Aggregator) mayTry(p *part) bool {
	free := p.open == 0 || a.set.SecondCopies
	return !p.in && !a.late(p.query) && (len(p.attempts) == 0 || free && a.mayAgain(p))
}

// mayAgain tells that a part may get another try by the rules, once none is out.
func (a *Aggregator) mayAgain(p *part) bool {
	q, most := p.query, a.set.MaxAttempts
	if q.Attempts > 0 && (most == 0 || q.Attempts < most) {
		most = q.Attempts
	}
	if most > 0 && len(p.attempts) >= most {
		return false
	}
	return q.class.Effect == Safe || !mayHaveRun(p) ||
		q.class.Effect == Keyed && a.now+a.set.Tick < p.attempts[0].sent+q.class.RepeatWindow
}

// mayHaveRun tells that not every attempt of a part is proved never to have run.
func mayHaveRun(p *part) bool {
	return slices.ContainsFunc(p.attempts, func(t *attempt) bool { return !t.never })
}

// needsTry tells that a part should get an attempt: it has none out, or those out are on servers that are
// silent or set aside.
func (a *Aggregator) needsTry(p *part) bool {
	for _, t := range p.attempts {
		if !t.over && !t.server.aside && !a.silent(t) {
			return false
		}
	}
	return true
}

// gather returns the parts to be sent, those first that are worth most for their work and the time they have:
// what is wanted later can wait.
func (a *Aggregator) gather() []*part {
	var pending []*part
	for _, q := range a.queries {
		if q.ended || q.step == stepAsked {
			continue
		}
		q.going = q.going || a.startable(q)
		scout, free := a.scouting(q)
		w := a.promised(q)
		for _, p := range q.parts {
			if q.want < q.need && w >= q.want-slack {
				break // trimmed
			}
			if (q.going || a.orphan(p)) && a.mayTry(p) && a.needsTry(p) && (!scout || free) {
				pending = append(pending, p)
				w += p.Weight
				free = !scout
			}
		}
		q.density = a.worthOf(q) / q.class.Aim.Seconds()
	}
	dearer := func(x, y *part) int { return cmp.Compare(y.query.density, x.query.density) }
	slices.SortStableFunc(pending, dearer)
	return pending
}

// startable tells that enough of a query's parts for an answer, if only in part where that may be, have a
// sound server with room. It spares work for nothing in outages of whole shards; the query waits.
func (a *Aggregator) startable(q *query) bool {
	able := 0.0
	for _, p := range q.parts {
		for _, s := range a.holding(p) {
			if a.sound(s) && len(s.out) < int(s.window) {
				able += p.Weight
				break
			}
		}
	}
	return able >= q.floor-slack
}

// orphan tells that a part's shard has no sound server: it goes first, as a trial; its query's rest waits.
func (a *Aggregator) orphan(p *part) bool {
	return !slices.ContainsFunc(a.holding(p), a.sound)
}

// promised is the weight of a query's parts that are in or out without doubt.
func (a *Aggregator) promised(q *query) float64 {
	w := 0.0
	for _, p := range q.parts {
		if p.in || p.open > 0 && !a.needsTry(p) {
			w += p.Weight
		}
	}
	return w
}

// budget tells that so many more further attempts are within the budget now.
func (a *Aggregator) budget(more int) bool {
	if a.set.BudgetWindow <= 0 {
		return true
	}
	from := a.now - a.set.BudgetWindow
	for len(a.taken) > 0 && a.taken[0] <= from {
		a.taken = a.taken[1:]
	}
	for len(a.further) > 0 && a.further[0] < from-a.set.Tick {
		a.further = a.further[1:]
	}
	return float64(len(a.further)+more) <= a.set.BudgetFree+a.set.BudgetRatio*float64(len(a.taken))
}
