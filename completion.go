package eiderwinch

import (
	"cmp"
	"slices"
	"time"
)

// Completion of the queries that are whole, are too late, can no longer succeed or crash searchers.

// closeQuery removes a query and cancels its attempts in flight.
func (a *Aggregator) closeQuery(q *query) {
	q.ended = true
	delete(a.openQueries, q.ID)
	a.withdrawParts(q)
}

// withdrawParts removes the parts of a query's current step and cancels their attempts in flight.
func (a *Aggregator) withdrawParts(q *query) {
	a.removeParts(q)
	for _, p := range q.parts {
		a.cancelAttempts(p)
	}
}

// cancelAttempts cancels a part's attempts in flight.
func (a *Aggregator) cancelAttempts(p *part) {
	for _, attempt := range p.attempts {
		if a.settings.MayCancel && !attempt.ended && !attempt.cancelled {
			attempt.cancelled = true
			a.emit(Cancel{p.ID, attempt.number})
		}
	}
}

// completeQueries ends the queries that are whole, and those that have no time left or can no longer
// succeed.
func (a *Aggregator) completeQueries() {
	for _, q := range a.queries {
		reachable := a.reachableWeight(q)
		switch {
		case q.ended || q.step == stepAwaitingSecond && a.now < q.endAt:
		case q.step != stepAwaitingSecond && q.answeredWeight >= q.wantedWeight-weightSlack &&
			!a.isTooLateForSecondStep(q) && !a.awaitsConfirmation(q):
			a.answer(q, q.answeredWeight >= q.neededWeight-weightSlack &&
				(q.step == stepFirst || q.firstStepWhole))
		case q.shed || a.now >= q.endAt || reachable < q.floorWeight-weightSlack,
			q.answeredWeight >= q.floorWeight-weightSlack &&
				(a.now >= q.aimAt || reachable <= q.answeredWeight+weightSlack) && !a.awaitsConfirmation(q):
			a.giveUp(q)
		case a.crashesSearchers(q):
			a.crashesBySignature[a.querySignature(q)] = a.now
			q.aimAt = a.now // so that the client is advised to retry much later
			a.giveUp(q)
		}
	}
}

// awaitsConfirmation reports whether a query that could be answered has to wait because an answer of its
// parts is provisional. It waits until that is confirmed or in doubt, but not until the wait would cost the
// query some of its worth.
func (a *Aggregator) awaitsConfirmation(q *query) bool {
	isProvisional := func(p *part) bool {
		return p.answeredBy != nil && p.answeredBy.answer == provisionalAnswer
	}
	if !slices.ContainsFunc(q.parts, isProvisional) {
		q.confirmBy = 0
		return false
	}
	q.confirmBy = a.latestAnswer(q)
	return a.now < q.confirmBy
}

// latestAnswer returns until when an answer of a query's current step can wait without losing worth: until
// its aim, or if its last part was answered later, until there is only enough time left for its rest.
func (a *Aggregator) latestAnswer(q *query) time.Duration {
	last := q.endAt - 2*a.settings.Tick // an answer leaves up to a turn late and then has to travel
	if q.step == stepFirst && q.class.SecondStepParts > 0 {
		last -= a.minCallTime(q)
	}
	reserve := q.class.Aim / confirmReserveAimDivisor
	for _, latest := range []time.Duration{min(q.aimAt, last) - reserve, min(q.aimAt, last), last - reserve} {
		if q.lastAnswerAt < latest {
			return latest
		}
	}
	return last
}

// isTooLateForSecondStep reports whether a first answer now would leave no time for the second step, so
// that the query would be lost.
func (a *Aggregator) isTooLateForSecondStep(q *query) bool {
	return q.step == stepFirst && q.class.SecondStepParts > 0 && (a.now >= q.endAt || a.isTooLateForCall(q))
}

// answer ends a query, or its first step where there is a second one: the query then waits for more
// parts.
func (a *Aggregator) answer(q *query, whole bool) {
	if q.step == stepFirst && q.class.SecondStepParts > 0 {
		a.withdrawParts(q)
		q.step, q.firstStepWhole = stepAwaitingSecond, whole
	} else {
		a.closeQuery(q)
		if q.answeredWeight >= q.wantedWeight-weightSlack {
			q.class.typicalQueryTime =
				smooth(q.class.typicalQueryTime, float64(q.lastAnswerAt-q.startedAt), slowSmoothing)
			a.adjustAdmission(q)
		}
	}
	a.emit(Answer{q.ID, whole})
}

// reachableWeight returns the weight of a query's parts that are answered or may still be.
func (a *Aggregator) reachableWeight(q *query) float64 {
	reachable := q.answeredWeight
	for _, p := range q.parts {
		if p.answeredBy == nil && (p.inFlight > 0 || a.mayAttempt(p)) {
			reachable += p.Weight
		}
	}
	return reachable
}

// querySignature returns what the queries have in common that are likely to affect searchers as this one
// does: its key, or its class if it has no key.
func (a *Aggregator) querySignature(q *query) string { return cmp.Or(q.Key, q.class.Name) }

// mayCrashSearchers reports whether a query may crash the searchers that execute it: a query with the same
// signature did so recently.
func (a *Aggregator) mayCrashSearchers(q *query) bool {
	return a.crashesBySignature[a.querySignature(q)] > 0
}

// crashesSearchers reports whether a query has crashed the searchers that began to execute it: it has no
// answer and no call in flight, and its calls to two searchers were reset, or to one if mayCrashSearchers.
// Other queries that such a crash interrupts are told apart by their answers from other searchers.
func (a *Aggregator) crashesSearchers(q *query) bool {
	inFlight, crashes := q.connResets()
	return q.answeredWeight == 0 && inFlight == 0 && (crashes > 1 || crashes > 0 && a.mayCrashSearchers(q))
}

// probesFirst reports whether a query may send only one part, as a probe, and whether it may send that
// now. This applies to a query that has no answer yet and may crash searchers or had a call reset. It
// spares the searchers that the query would crash; where connections break for other reasons it costs the
// time of a call.
func (a *Aggregator) probesFirst(q *query) (probing, maySend bool) {
	if q.answeredWeight > 0 {
		return false, true
	}
	inFlight, crashes := q.connResets()
	return crashes > 0 || a.mayCrashSearchers(q), inFlight == 0
}

// giveUp ends a query: with an answer from the parts that are in if that is allowed, else with a refusal
// where a repeat is harmless, else with a failure.
func (a *Aggregator) giveUp(query *query) {
	if query.mayStart {
		a.adjustAdmission(query)
	}
	if query.step != stepAwaitingSecond && query.answeredWeight > 0 &&
		query.answeredWeight >= query.floorWeight-weightSlack && !a.isTooLateForSecondStep(query) {
		a.answer(query, false)
		return
	}
	a.closeQuery(query)
	if a.now > query.arrivedAt {
		a.expectedRepeats = min(a.expectedRepeats+repeatsPerGivenUpQuery, maxFirstTryVotes)
	}
	if query.class.Effect != Safe &&
		(query.step != stepFirst || slices.ContainsFunc(query.parts, mayHaveRun)) {
		a.emit(Fail{query.ID})
		return
	}
	refusal := Refuse{Query: query.ID}
	if a.settings.RetryAdvice && a.now < query.aimAt {
		refusal.RetryAfter = min(time.Duration(a.typicalLatency), a.settings.MaxRetryAdvice)
	} else if a.settings.RetryAdvice {
		refusal.RetryAfter = a.settings.MaxRetryAdvice // an early retry gains nothing
	}
	a.emit(refusal)
}

// isTooLateForCall reports whether a query has too little time left for a call.
func (a *Aggregator) isTooLateForCall(q *query) bool { return q.endAt-a.now < a.minCallTime(q) }

// minCallTime returns the least time that a query must have left for a call.
func (a *Aggregator) minCallTime(q *query) time.Duration {
	minLeft := max(time.Duration(minTimeLeftRatio*q.class.typicalLatency), a.settings.CallCost)
	if q.startedAt == 0 {
		minLeft = max(minLeft, min(time.Duration(q.class.typicalQueryTime), q.class.Aim/overdueMaxAimDivisor))
	}
	return minLeft
}
