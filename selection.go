package eiderwinch

import (
	"cmp"
	"slices"
)

// Selection of the parts to send: first attempts, retries, second copies.

// mayAttempt reports whether a part may get a first attempt or a retry now.
func (a *Aggregator) mayAttempt(p *part) bool {
	anotherAllowed := p.inFlight == 0 || a.settings.SecondCopies
	return !p.isOver() && !a.isTooLateForCall(p.query) &&
		(len(p.attempts) == 0 || anotherAllowed && a.mayRetry(p))
}

// mayRetry reports whether the rules allow a retry of a part once no attempt of it is in flight.
func (a *Aggregator) mayRetry(p *part) bool {
	q, limit := p.query, a.settings.MaxAttempts
	if q.Attempts > 0 && (limit == 0 || q.Attempts < limit) {
		limit = q.Attempts
	}
	if limit > 0 && len(p.attempts) >= limit {
		return false
	}
	first := firstThatMayHaveRun(p)
	return q.class.Effect == Safe || first == nil ||
		q.class.Effect == Keyed && a.now+a.settings.Tick < first.sentAt+q.class.RepeatWindow
}

// firstThatMayHaveRun returns the first attempt of a part that is not proved never to have run, or nil.
func firstThatMayHaveRun(p *part) *attempt {
	for _, attempt := range p.attempts {
		if !attempt.neverRan {
			return attempt
		}
	}
	return nil
}

// mayHaveRun reports whether any attempt of a part may have run.
func mayHaveRun(p *part) bool { return firstThatMayHaveRun(p) != nil }

// needsAttempt reports whether a part should get an attempt: it has none in flight, or those in flight
// are silent or at ejected searchers.
func (a *Aggregator) needsAttempt(p *part) bool {
	for _, attempt := range p.attempts {
		if !attempt.ended && !attempt.searcher.ejected && !a.isSilent(attempt) {
			return false
		}
	}
	return true
}

// selectParts returns the parts to send, by worthDensity: the parts that are worth the most for their work
// come first, and those with a longer aim can wait.
func (a *Aggregator) selectParts() []*part {
	var pending []*part
	for _, q := range a.queries {
		if q.ended || q.step == stepAwaitingSecond {
			continue
		}
		q.mayStart = q.mayStart || a.isStartable(q)
		probing, maySend := a.probesFirst(q)
		expected := a.expectedWeight(q)
		for _, p := range q.parts {
			if q.wantedWeight < q.neededWeight && expected >= q.wantedWeight-weightSlack {
				break // the remaining parts were trimmed
			}
			if (q.mayStart || a.lacksHealthyReplica(p)) && a.mayAttempt(p) && a.needsAttempt(p) &&
				(!probing || maySend) {
				pending = append(pending, p)
				expected += p.Weight
				maySend = !probing
			}
		}
		q.worthDensity = a.worthPerPart(q) / q.class.Aim.Seconds()
	}
	byDensity := func(x, y *part) int { return cmp.Compare(y.query.worthDensity, x.query.worthDensity) }
	slices.SortStableFunc(pending, byDensity)
	return pending
}

// isStartable reports whether enough of a query's parts for an answer (a partial one, where that is
// allowed) have a healthy searcher with capacity. Otherwise the query waits, which avoids useless work
// while whole shards are out of service.
func (a *Aggregator) isStartable(q *query) bool {
	startable := 0.0
	for _, p := range q.parts {
		for _, s := range a.replicasOf(p) {
			if a.isHealthy(s) && len(s.inFlight) < int(s.window) {
				startable += p.Weight
				break
			}
		}
	}
	return startable >= q.floorWeight-weightSlack
}

// lacksHealthyReplica reports whether a part's shard has no healthy searcher. Such a part is sent first,
// as a probe attempt; the rest of its query waits.
func (a *Aggregator) lacksHealthyReplica(p *part) bool {
	return !slices.ContainsFunc(a.replicasOf(p), a.isHealthy)
}

// expectedWeight returns the weight of a query's parts that are answered, or in flight and likely to be
// answered.
func (a *Aggregator) expectedWeight(q *query) float64 {
	weight := 0.0
	for _, p := range q.parts {
		if p.answeredBy != nil || p.inFlight > 0 && !a.needsAttempt(p) {
			weight += p.Weight
		}
	}
	return weight
}

// withinRetryBudget reports whether this many more retries are within the retry budget now.
func (a *Aggregator) withinRetryBudget(retries int) bool {
	if a.settings.RetryBudgetWindow <= 0 {
		return true
	}
	windowStart := a.now - a.settings.RetryBudgetWindow
	for len(a.arrivalTimes) > 0 && a.arrivalTimes[0] <= windowStart {
		a.arrivalTimes = a.arrivalTimes[1:]
	}
	for len(a.retryTimes) > 0 && a.retryTimes[0] < windowStart-a.settings.Tick {
		a.retryTimes = a.retryTimes[1:]
	}
	return float64(len(a.retryTimes)+retries) <=
		a.settings.RetryBudgetFree+a.settings.RetryBudgetRatio*float64(len(a.arrivalTimes))
}
