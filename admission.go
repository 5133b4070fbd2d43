package eiderwinch

import (
	"cmp"
	"slices"
	"time"
)

// Arriving queries and admission control: while searchers are overloaded, only a share of the queries
// starts.

// handleQuery adds a query. First tries of a class all have the same time left. A try with another time
// left is a client's repeat: it has all that remains of the deadline, and its aim has been running since
// the first try. This avoids work for repeats that can no longer earn anything.
func (a *Aggregator) handleQuery(event Query) {
	if a.openQueries[event.ID] != nil || event.Class < 0 || event.Class >= len(a.classes) {
		return
	}
	c := a.classes[event.Class]
	q := &query{Query: event, class: c, arrivedAt: a.now, endAt: a.now + event.Left, aimAt: a.now + c.Aim}
	if waited := c.firstTryTimeLeft - event.Left; a.stallDuration > 0 &&
		waited > 0 && waited <= a.stallDuration {
		q.aimAt -= waited // it arrived while this aggregator was stalled
	} else if !c.isFirstTry(event.Left, 2*a.settings.Tick) && a.isRepeat(event) {
		q.aimAt -= max(c.Deadline-event.Left, 0)
	}
	q.aimAt -= 2 * a.settings.Tick // an answer leaves up to a turn late and then has to travel
	if c.LateWorth <= 0 {
		q.endAt = min(q.endAt, q.aimAt)
	}
	q.aimAt = min(q.aimAt, q.endAt)
	q.neededWeight, q.floorWeight, q.finalAimAt = c.WholeShare, c.MinShare, q.aimAt
	if c.SecondStepParts > 0 {
		q.aimAt -= a.overdueAfter(c) // the second step takes another call
	}
	slices.SortStableFunc(q.Parts, func(x, y Part) int { return cmp.Compare(y.Weight, x.Weight) })
	q.shed = !a.admit(q)
	a.addQuery(q)
}

// trimParts sets the weight that a query asks for and returns how many of its parts, the heaviest first,
// make up that weight. Under load, a query that may be answered partially omits the parts that earn less
// than the queries that are shed.
func (a *Aggregator) trimParts(query *query) int {
	query.wantedWeight = query.neededWeight
	share := a.admissionShare(query)
	if share >= 1 || query.floorWeight >= query.neededWeight {
		return len(query.Parts)
	}
	weight, partialWorth := 0.0, a.worthPerPart(query)*float64(len(query.Parts))*
		query.class.PartialWorth/query.class.WholeShare
	for i, p := range query.Parts {
		if weight >= query.floorWeight && partialWorth*p.Weight < (1-share)*a.typicalWorth {
			query.wantedWeight = min(weight, query.neededWeight)
			return i
		}
		weight += p.Weight
	}
	return len(query.Parts)
}

// handleSecondStep adds the parts of a query's second step. A whole answer needs all of them.
func (a *Aggregator) handleSecondStep(event SecondStep) {
	q := a.openQueries[event.Query]
	if q == nil || q.step != stepAwaitingSecond {
		return
	}
	q.step, q.Parts, q.parts, q.answeredWeight, q.aimAt = stepSecond, event.Parts, nil, 0, q.finalAimAt
	if q.floorWeight >= q.neededWeight {
		q.floorWeight = 1
	}
	q.neededWeight, q.wantedWeight = 1, 1
	a.addParts(q)
}

// admit reports whether a query may start, given the admission shares of its replica groups.
// adjustAdmission sets those shares by how the started queries have ended. An answer before the aim raises
// them by the square of how early it is, since barely early answers show that searchers are full. Any other
// end reduces those of the replica groups of the unanswered parts. They are shares of the typical rate of
// queries, not of the current one, so that bursts and clients' repeats do not start more queries.
//
// Without admission control, all aggregators together could start more than the searchers can complete
// while each searcher looks idle to each aggregator. It also prevents congestion after a burst or an
// outage. The shares are kept by replica group because in a large fleet a few overloaded searchers would
// otherwise cause queries to be shed that do not need them.
func (a *Aggregator) admit(query *query) bool {
	wantedParts := float64(max(a.trimParts(query), 1))
	worth := a.worthPerPart(query)
	if query.aimAt-a.now < time.Duration(query.class.typicalQueryTime) {
		worth *= query.class.LateWorth // the answer will most likely be late
	}
	worth *= a.tenantWorthFactor(query.Tenant - 1)
	a.typicalWorth = smooth(a.typicalWorth, worth, slowSmoothing)
	worth *= float64(max(len(query.Parts), 1)) / wantedParts / max(a.typicalWorth, weightSlack)
	groups, admitted := a.partsByGroup(query), true
	cost := func(g *replicaGroup) float64 { return groups[g] / max(worth, g.admissionShare) }
	for g, parts := range groups {
		gaps := 1.0 // time since the last query, in typical gaps; 1 until the typical gap is known
		if g.typicalGap > 0 {
			gaps = float64(a.now-g.lastQueryAt) / g.typicalGap
		}
		if g.admissionShare >= 1 && g.lastQueryAt > 0 {
			g.typicalGap = smooth(g.typicalGap, float64(a.now-g.lastQueryAt), slowSmoothing)
		}
		g.lastQueryAt, g.typicalParts = a.now, smooth(g.typicalParts, parts, slowSmoothing)
		g.credit = min(g.credit+g.admissionShare*g.typicalParts*gaps, 2*max(cost(g), g.typicalParts))
		admitted = admitted && (g.admissionShare >= 1 || g.credit >= cost(g))
	}
	for g := range groups {
		if admitted && g.admissionShare < 1 {
			g.credit -= cost(g)
		}
	}
	return admitted
}

// worthPerPart returns what a query earns for each part if it is answered whole and in time. Where worth
// grows with work, that is the worth of its class: if it were divided by the number of parts, queries with
// many parts would seem to be worth the least although they earn the most.
func (a *Aggregator) worthPerPart(q *query) float64 {
	if a.settings.WorthByWork {
		return q.class.Worth
	}
	return q.class.Worth / float64(max(len(q.Parts), 1))
}

// tenantWorthFactor returns the factor by which the worth of a tenant's query is reduced if the tenant
// exceeds its share; tenant is an index into Settings.Tenants. The other tenants are assumed to send what
// they typically do, and this tenant the rest. An unknown tenant has no share; otherwise it would be served
// on the shares of others.
func (a *Aggregator) tenantWorthFactor(tenant int) float64 {
	if len(a.tenantMix) == 0 {
		return 1
	} else if tenant < 0 || tenant >= len(a.tenantMix) {
		return a.settings.OverShareWorth
	}
	for i := range a.tenantMix {
		a.tenantMix[i] *= 1 - slowSmoothing
	}
	a.tenantMix[tenant] += slowSmoothing
	share, mix := a.settings.Tenants[tenant].Share, a.tenantMix[tenant]
	withinShare := min(share*(1-mix)/max((1-share)*mix, weightSlack), 1)
	return withinShare + (1-withinShare)*a.settings.OverShareWorth
}

// adjustAdmission raises the admission shares of a query's replica groups after an answer before the aim,
// and reduces those of the groups with unanswered parts otherwise. Queries that arrived before the end of
// this aggregator's last stall do not count.
func (a *Aggregator) adjustAdmission(query *query) {
	if query.arrivedAt <= a.stallEndedAt {
		return
	}
	isAnswered := query.answeredWeight >= query.wantedWeight-weightSlack
	early := 1 - float64(query.lastAnswerAt-query.arrivedAt)/float64(query.class.Aim)
	if early > 0 && isAnswered {
		for g := range a.partsByGroup(query) {
			g.admissionShare = min(g.admissionShare+admissionIncrease*early*early, 1)
		}
		return
	}
	if query.class.hasQuickCalls() {
		return // load is not the reason: other calls are quick
	}
	for _, p := range query.parts {
		if !p.isOver() && len(p.attempts) > 0 {
			a.replicaGroup(p.Part).reduceAdmission(admissionDecrease)
		}
	}
}

// isRepeat reports whether a try that does not look like a first one is a client's repeat rather than a
// try of a client with a shorter timeout. It decides by the mark where clients mark repeats, else by
// whether queries given up here account for a repeat.
func (a *Aggregator) isRepeat(event Query) bool {
	if a.settings.MarksRepeats {
		return event.Repeat
	}
	if a.expectedRepeats < 1 {
		return false
	}
	a.expectedRepeats--
	return true
}

// isFirstTry reports whether a try with this time left looks like a first one, that is, has as much time
// left as most tries had. It keeps a running majority vote.
func (c *class) isFirstTry(left, tolerance time.Duration) bool {
	if (left - c.firstTryTimeLeft).Abs() <= tolerance {
		c.firstTryVotes = min(c.firstTryVotes+1, maxFirstTryVotes)
		return true
	}
	c.firstTryVotes--
	if c.firstTryVotes > 0 {
		return false
	}
	c.firstTryTimeLeft, c.firstTryVotes = left, 1
	return true
}
