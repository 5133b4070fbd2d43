package eiderwinch

import "time"

// Assignment of the parts to the fewest searchers that can take them, one call each.

// assign assigns the pending parts to the fewest searchers: it repeatedly takes the searcher that covers
// most of them and sends it one call.
func (a *Aggregator) assign(pending []*part) {
	a.indexPending(pending)
	for {
		var best *searcher
		var bestParts []*part
		for _, s := range a.candidates {
			if s.hasCall || !s.listed {
				continue
			}
			parts := a.coveredParts(s)
			if len(parts) == 0 || len(parts) < len(bestParts) {
				continue
			}
			if best == nil || len(parts) > len(bestParts) || a.isPreferred(s, best, parts[0]) {
				best, bestParts = s, parts
			}
		}
		if best == nil {
			return
		}
		best.hasCall = true
		best.callsInFlight++
		onNewConn := a.closeDeadConns(best)
		for _, p := range bestParts {
			a.sendPart(best, p, len(bestParts) == 1, onNewConn)
		}
	}
}

// isPreferred reports whether a searcher is preferred to another that covers as many parts. The criteria
// are, in order: fewer calls in flight; a clearly shorter queue by current reports; the own zone, where
// crossing zones has a cost; a clearly lower relative latency, so that crowded and slow searchers are
// avoided before they are late; the order of searchers for the query's key that all aggregators share,
// since a searcher does less work for a key that it has had recently.
func (a *Aggregator) isPreferred(searcher, other *searcher, part *part) bool {
	if searcher.callsInFlight != other.callsInFlight {
		return searcher.callsInFlight < other.callsInFlight
	}
	if d := searcher.reportedQueue - other.reportedQueue; a.hasCurrentReport(searcher) &&
		a.hasCurrentReport(other) && (d < -queueMargin || d > queueMargin) {
		return d < 0
	}
	if a.settings.CrossZoneCosts && (searcher.Zone == a.settings.Zone) != (other.Zone == a.settings.Zone) {
		return searcher.Zone == a.settings.Zone
	}
	if d := searcher.relativeLatency - other.relativeLatency; d < -latencyMargin || d > latencyMargin {
		return d < 0
	}
	return stableHash(part.query.Key, searcher.ID) < stableHash(part.query.Key, other.ID)
}

// coveredParts returns the pending parts that a searcher would get: as many as its window and the batch
// limit allow, and of each query no more than make it whole. An idle searcher may get a full call, which
// costs little more than a small one. A busy one gets no call that its window would cut short, and second
// copies only if it has no more than one part in flight.
func (a *Aggregator) coveredParts(searcher *searcher) []*part {
	room := min(int(searcher.window)-len(searcher.inFlight), a.settings.MaxBatch)
	if len(searcher.inFlight) == 0 {
		room = a.settings.MaxBatch
	}
	if searcher.ejected {
		room = min(room, 1)
	}
	var covered []*part
	expected := make(map[*query]float64)
	retries := 0
	var work time.Duration
	for _, p := range searcher.pendingParts {
		if len(covered) >= room && (room <= 0 || len(covered) >= a.settings.MaxBatch || searcher.ejected) {
			break
		}
		if p.inFlight > 0 && p.attempts[len(p.attempts)-1].sentAt == a.now || !a.isEligible(searcher, p) {
			continue
		}
		weight, ok := expected[p.query]
		if !ok {
			weight = a.expectedWeight(p.query)
		}
		if weight >= p.query.wantedWeight-weightSlack && p.inFlight == 0 {
			continue
		}
		if len(p.attempts) > 0 {
			busy := len(searcher.inFlight) > 1 ||
				a.replicaGroup(p.Part).admissionShare < 1 && !p.query.class.hasQuickCalls()
			copyBarred := p.inFlight > 0 && (busy || a.secondCopyCredit < float64(retries+1))
			if copyBarred || !a.withinRetryBudget(retries+1) {
				continue
			}
			retries++
		}
		cost := a.estimatedWork(p)
		if len(covered) == 0 {
			cost += a.settings.CallCost
		}
		if !a.hasColdCapacity(searcher, work+cost) {
			break
		}
		work += cost
		if len(covered) >= room {
			return nil // the call would be cut short: waiting costs less than a second call for the rest
		}
		expected[p.query] = weight + p.Weight
		covered = append(covered, p)
	}
	return covered
}

// isHealthy reports whether a searcher is listed, has no overdue part and is not ejected. Whether it may
// get a given part depends on more, see isEligible.
func (a *Aggregator) isHealthy(s *searcher) bool { return s.listed && !s.hasOverduePart && !s.ejected }

// load returns the number of a searcher's parts in flight plus one, or a share of its queue if that is
// more and was reported recently, since other aggregators have filled the queue. For a searcher whose
// calls take more than twice the typical latency the number is multiplied by its relative latency minus
// one. Calls of up to twice the typical latency occur by chance.
func (a *Aggregator) load(s *searcher) float64 {
	n := float64(len(s.inFlight) + 1)
	if a.hasCurrentReport(s) {
		n = max(n, queueWeight*s.reportedQueue)
	}
	return n * max(s.relativeLatency-1, 1)
}

// hasCurrentReport reports whether a searcher's last report is so recent that some of the parts that waited
// then are probably still waiting.
func (a *Aggregator) hasCurrentReport(s *searcher) bool {
	return s.reportedAt > 0 && float64(a.now-s.reportedAt) < reportLifetimeFactor*a.typicalLatency
}

// isEligible reports whether a searcher may get a part. No attempt of the part may be in flight there. If
// one has ended there, no healthy searcher that has not had the part may be left; returning to a searcher
// helps against failures that affect calls rather than searchers. And its load may exceed that of the
// least loaded healthy searcher of the shard by at most one part. Load grows with the relative latency, so
// that queries with many parts need not wait for slow searchers. This can do harm if the latency of a
// single call is misleading.
//
// A searcher that is not healthy gets a part only as a probe attempt or if the shard has no healthy
// searcher.
func (a *Aggregator) isEligible(searcher *searcher, part *part) bool {
	inFlight, ended := part.attemptsAt(searcher)
	if inFlight {
		return false
	}
	minLoad, anyHealthy := a.load(searcher), false
	for _, other := range a.replicasOf(part) {
		if !a.isHealthy(other) || !a.hasColdCapacity(other, a.settings.CallCost) {
			continue
		}
		if otherInFlight, otherEnded := part.attemptsAt(other); ended && !otherInFlight && !otherEnded {
			return false
		}
		minLoad, anyHealthy = min(minLoad, a.load(other)), true
	}
	if a.isHealthy(searcher) {
		return a.load(searcher) <= minLoad+1
	}
	if !anyHealthy {
		return !searcher.ejected ||
			len(searcher.inFlight) == 0 && (!searcher.unreachable || a.now >= searcher.probeAt)
	}
	return searcher.ejected && len(searcher.inFlight) == 0 && a.now >= searcher.probeAt &&
		part.query.class.Effect != Unsafe
}

// hasColdCapacity reports whether a searcher is warm, or whether this aggregator's share of the capacity
// that a cold searcher certainly has, with at least one core, has room for more work of the given demand.
// This protects a searcher that has just started from the sum of what all aggregators send. Among many
// aggregators an equal share would be less than one call. Therefore only some slots may send during a
// ColdOverloadWindow, as many as the capacity allows with one call each, and other slots during the next
// one. If all of them did send, a searcher with one core could be overloaded, see coldOvercommit.
func (a *Aggregator) hasColdCapacity(searcher *searcher, demand time.Duration) bool {
	age := a.now - searcher.Started
	if searcher.Started <= 0 || a.settings.ColdDuration <= 0 || age >= a.settings.ColdDuration {
		searcher.coldWork = nil
		return true
	}
	for len(searcher.coldWork) > 0 && searcher.coldWork[0].sentAt <= a.now-a.settings.ColdOverloadWindow {
		searcher.coldWork = searcher.coldWork[1:]
	}
	for _, sent := range searcher.coldWork {
		demand += sent.work
	}
	share := a.settings.ColdShare +
		(1-a.settings.ColdShare)*max(float64(age), 0)/float64(a.settings.ColdDuration)
	capacity := share * a.settings.ColdMultiple * float64(a.settings.ColdOverloadWindow) * coldOvercommit
	if searcher.lastAnswerAt > searcher.Started &&
		a.now-searcher.lastAnswerAt < a.settings.ColdOverloadWindow &&
		searcher.relativeLatency < 1+latencyMargin {
		capacity *= quickColdFactor
	}
	// The number of slots that may send at the same time: the capacity allows one call for each.
	senders := min(
		max(int(capacity/float64(a.settings.CallCost+a.estimatedWork(nil))), 1), a.settings.Gatherers)
	position := a.settings.GathererNumber + int(stableHash("", searcher.ID)%uint64(a.settings.Gatherers))
	position += senders * int(max(age, 0)/max(a.settings.ColdOverloadWindow, 1))
	sendingSlots := 0.0
	for n := range a.ownSlots() {
		if (position+a.settings.Gatherers-n)%a.settings.Gatherers < senders {
			sendingSlots++
		}
	}
	return sendingSlots > 0 && float64(demand) <= capacity/float64(senders)*sendingSlots
}

// sendPart starts one attempt of a part. aloneInCall reports whether its call has no other part,
// onNewConn whether idle connections were closed before it.
func (a *Aggregator) sendPart(searcher *searcher, part *part, aloneInCall, onNewConn bool) {
	switch {
	case len(part.attempts) == 0:
		ratio := secondCopyRatio
		if part.query.class.hasQuickCalls() {
			ratio = secondCopyRatioQuick
		}
		a.secondCopyCredit = min(a.secondCopyCredit+ratio, maxSecondCopyCredit)
	case part.inFlight > 0:
		a.secondCopyCredit--
		fallthrough
	default:
		a.recordForBudget(&a.retryTimes)
	}
	if part.query.startedAt == 0 {
		part.query.startedAt = a.now
	}
	started := &attempt{
		part: part, number: len(part.attempts), searcher: searcher, sentAt: a.now,
		aloneInCall: aloneInCall, onNewConn: onNewConn,
	}
	if searcher.lastAnswerAt > 0 {
		started.searcherIdle = a.now - searcher.lastAnswerAt
	}
	part.attempts = append(part.attempts, started)
	part.inFlight++
	work := a.estimatedWork(part)
	if len(searcher.inFlight) == 0 || searcher.inFlight[len(searcher.inFlight)-1].sentAt != a.now {
		work += a.settings.CallCost
	}
	a.markBusy(searcher)
	searcher.inFlight = append(searcher.inFlight, started)
	if searcher.Started > 0 && a.now-searcher.Started < a.settings.ColdDuration {
		searcher.coldWork = append(searcher.coldWork, sentWork{a.now, work})
	}
	if searcher.ejected {
		searcher.probeAt = a.now
	}
	a.emit(Send{part.ID, searcher.ID, part.query.endAt - a.now})
}
