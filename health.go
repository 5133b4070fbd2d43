package eiderwinch

import (
	"cmp"
	"slices"
	"time"
)

// Health of the searchers, from their attempts in flight and from how calls ended.

// recordFailure raises a searcher's failure score by a failed or late call. It counts each call once, since
// the parts of a call have the same outcome. A searcher with a high score is ejected: it gets only probe
// attempts, at growing intervals, until one succeeds. This protects against searchers that fail, fail fast
// (and so look idle), are very slow or do not respond. It could do harm when all searchers fail at once, so
// the last replica of a shard is not ejected unless it is unreachable.
func (a *Aggregator) recordFailure(searcher *searcher, attempt *attempt, weight float64) {
	if attempt.sentAt < searcher.failureRecordedAt {
		return
	}
	searcher.failureRecordedAt = a.now
	searcher.failureScore += fastSmoothing * (weight - searcher.failureScore*weight)
	if searcher.ejected {
		searcher.probeBackoff = min(2*searcher.probeBackoff,
			max(a.settings.ColdDuration, searcher.probeBackoff))
		searcher.probeAt = a.now + searcher.probeBackoff
	} else if searcher.failureScore >= ejectionScore && (searcher.unreachable || !a.isLastReplica(searcher)) {
		searcher.ejected = true
		searcher.probeBackoff = a.capWait(attempt.part.query.class.Aim/2, firstProbeFactor)
		searcher.probeAt = a.now + searcher.probeBackoff
		a.logf("searcher %s ejected", searcher.ID)
	}
}

// recordSuccess lowers the failure score of a searcher and reinstates it after a successful probe attempt.
func (a *Aggregator) recordSuccess(searcher *searcher, attempt *attempt) {
	searcher.failureScore *= 1 - fastSmoothing/2
	if searcher.ejected && attempt.sentAt >= searcher.probeAt {
		searcher.ejected = false
		searcher.failureScore = min(searcher.failureScore, ejectionScore/2)
		searcher.window = 1
		a.logf("searcher %s reinstated", searcher.ID)
	}
}

// overdueAfter returns how long a part of a class may be in flight before it is overdue.
func (a *Aggregator) overdueAfter(c *class) time.Duration { return a.waitLimit(c, overdueFactor) }

// waitLimit returns a multiple of the typical latency of a class's calls, bounded by fractions of its
// aim.
func (a *Aggregator) waitLimit(c *class, factor float64) time.Duration {
	minWait := a.capWait(c.Aim/overdueMinAimDivisor, overdueCapFactor)
	return min(max(time.Duration(c.typicalLatency*factor), minWait), c.Aim/overdueMaxAimDivisor)
}

// capWait bounds a wait that is derived from an aim by a multiple of the typical latency. Without the
// bound, one bad call could keep a searcher unused for as long as fifty short calls take, and the other
// searchers would be congested.
func (a *Aggregator) capWait(wait time.Duration, factor float64) time.Duration {
	return min(wait, max(time.Duration(factor*cmp.Or(a.typicalLatency, float64(wait))), 2*a.settings.Tick))
}

// isOverdue reports whether an attempt has been in flight for too long.
func (a *Aggregator) isOverdue(attempt *attempt) bool {
	return a.now-attempt.sentAt >= a.overdueAfter(attempt.part.query.class)
}

// isSilent reports whether an attempt is unlikely to be answered, so that its part should get a second
// copy. A searcher that has answered since the attempt was sent is slow or crowded and will reach the
// attempt. A second copy would then only add work, which a cancel does not always stop, while there is too
// much work already. So at such a searcher an attempt counts as silent only much later, see isLongSilent.
func (a *Aggregator) isSilent(attempt *attempt) bool {
	return a.silentFor(attempt) >= a.waitLimit(attempt.part.query.class, secondCopyFactor) &&
		(attempt.noResponseSince() || a.isLongSilent(attempt))
}

// silentFor returns for how long there has been no sign that an attempt will be answered. That is the time
// since its searcher's last answer or since the attempt was sent, whichever is shorter. If the searcher has
// answered an attempt that was sent later, and so has overtaken this one, it is the time since this attempt
// was sent.
func (a *Aggregator) silentFor(attempt *attempt) time.Duration {
	if attempt.sentAt < attempt.searcher.newestAnsweredSentAt {
		return a.now - attempt.sentAt
	}
	return a.now - max(attempt.sentAt, attempt.searcher.lastAnswerAt)
}

// isLongSilent reports whether silentFor is so long that few calls take half as long. Being overtaken alone
// is no proof of a lost answer, because parts with much work are overtaken too.
func (a *Aggregator) isLongSilent(attempt *attempt) bool {
	return float64(a.silentFor(attempt)) >= overdueCapFactor*attempt.part.query.class.typicalLatency
}

// updateHealth marks the searchers that have an overdue part: they get nothing new until its outcome has
// arrived. It also cancels attempts that are unlikely to be answered.
func (a *Aggregator) updateHealth() {
	for _, s := range a.busySearchers {
		s.hasOverduePart = slices.ContainsFunc(s.inFlight, a.isOverdue)
		a.cancelUnanswered(s)
	}
	a.dropIdleSearchers()
}

// cancelUnanswered cancels the attempts of safe queries that a searcher is unlikely to answer while calls
// are typically far faster. The conditions are: the part may be retried, another quick searcher can take
// it, its replica group is not overloaded, and either some calls were lost on idle connections or calls
// are quick. This recovers from dead connections, hung searchers and lost answers. It wastes work that
// would have been completed and adds to congestion, and in a large fleet all aggregators do it at once;
// therefore it is done late, and only where there is capacity. Keyed work is not cancelled: a stalled
// searcher may execute it after all, once the repeat window is over and it no longer counts as a repeat of
// the retry elsewhere.
func (a *Aggregator) cancelUnanswered(s *searcher) {
	if !s.hasOverduePart || !a.settings.MayCancel {
		return
	}
	isQuickAlternative := func(other *searcher) bool {
		return other != s && a.isHealthy(other) && other.relativeLatency < slowRelativeLatency
	}
	// A slow searcher takes longer for each call.
	factor := deadConnFactor * min(max(s.relativeLatency, 1), slowRelativeLatency)
	// Where second copies are allowed they are sent instead, and a cancel may stop nothing.
	withoutCopies := !a.settings.SecondCopies
	for _, attempt := range s.inFlight {
		class := attempt.part.query.class
		if class.Effect == Safe && !attempt.cancelled && !attempt.part.isOver() && class.typicalLatency > 0 &&
			float64(a.silentFor(attempt)) >= factor*class.typicalLatency &&
			(attempt.noResponseSince() &&
				(a.deadConnEvidence >= 1 || withoutCopies && class.hasQuickCalls()) ||
				a.isLongSilent(attempt) && class.hasQuickCalls()) &&
			a.mayRetry(attempt.part) && a.replicaGroup(attempt.part.Part).admissionShare >= 1 &&
			slices.ContainsFunc(a.replicasOf(attempt.part), isQuickAlternative) {
			attempt.cancelled = true
			a.emit(Cancel{attempt.part.ID, attempt.number})
		}
	}
}
