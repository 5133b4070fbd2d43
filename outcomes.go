package eiderwinch

// Outcomes of attempts, what they show about the searchers, and updates of the member list.

// handleOutcome records how an attempt ended.
func (a *Aggregator) handleOutcome(outcome Outcome) {
	part := a.parts[outcome.Part]
	if part == nil || outcome.Attempt < 0 || outcome.Attempt >= len(part.attempts) {
		return
	}
	attempt := part.attempts[outcome.Attempt]
	if attempt.ended {
		return
	}
	attempt.ended = true
	part.inFlight--
	a.removeFromSearcher(attempt)
	a.recordOutcome(attempt, outcome)
	attempt.neverRan = outcome.Status == Full || outcome.Status == NoConnection || outcome.Status == NotSent
	if outcome.Status == OK && !part.ended {
		a.useAnswer(attempt, outcome.Provisional)
	}
	if part.ended && part.inFlight == 0 {
		delete(a.parts, part.ID)
	}
}

// recordOutcome updates the typical latencies and the searcher's window and failure score by an outcome.
func (a *Aggregator) recordOutcome(attempt *attempt, outcome Outcome) {
	searcher, class := attempt.searcher, attempt.part.query.class
	if outcome.Load != nil {
		searcher.reportedQueue, searcher.reportedAt = outcome.Load.Waiting, a.now
	}
	took := float64(a.now - attempt.sentAt)
	if outcome.Took > 0 {
		took = min(took, float64(outcome.Took))
	}
	relativeLatency := smooth(searcher.relativeLatency, took/max(a.typicalLatency, 1), fastSmoothing)
	if a.typicalLatency == 0 {
		relativeLatency = searcher.relativeLatency
	}
	switch outcome.Status {
	case OK:
		searcher.lastAnswerAt, searcher.newestAnsweredSentAt, searcher.unreachable =
			a.now, max(searcher.newestAnsweredSentAt, attempt.sentAt), false
		if attempt.onNewConn {
			// The evidence decays with each such answer, so that it expires after some time.
			a.deadConnEvidence = max(a.deadConnEvidence-slowSmoothing*slowSmoothing, 0)
		} else if float64(attempt.searcherIdle) >= a.deadAfterIdle {
			a.deadConnEvidence = max(a.deadConnEvidence-fastSmoothing, 0)
		}
		if attempt.aloneInCall {
			adjustment := uncontendedQuantile // moves partWork towards this quantile of the latencies
			if took < class.partWork {
				adjustment -= 1
			}
			class.partWork *= 1 + slowSmoothing*adjustment
		}
		searcher.relativeLatency = relativeLatency
		a.typicalLatency = smooth(a.typicalLatency, took, slowSmoothing)
		class.typicalLatency = smooth(class.typicalLatency, took, slowSmoothing)
		if took > float64(class.Aim)/quickCallAimDivisor {
			a.narrowWindow(searcher, attempt)
		} else if float64(len(searcher.inFlight)+1) >= searcher.window/2 {
			searcher.window = min(searcher.window+1/searcher.window, float64(2*a.settings.MaxBatch))
		}
		if took > float64(a.overdueAfter(class)) {
			a.recordFailure(searcher, attempt, lateFailureWeight)
		} else {
			a.recordSuccess(searcher, attempt)
		}
	case Failed, Reset, NoConnection:
		if outcome.Status == Reset && !outcome.ClosedByGatherer {
			attempt.connReset = true
			a.recordLostCall(attempt, outcome)
		}
		if outcome.Status == NoConnection {
			searcher.unreachable, a.disconnectAllowedAt = true, a.now+a.settings.ColdDuration
		}
		a.recordFailure(searcher, attempt, 1)
	case TimedOut, Full, Cancelled:
		if outcome.Status == Full {
			a.replicaGroup(attempt.part.Part).reduceAdmission(admissionDecrease / 4)
		}
		a.recordLostCall(attempt, outcome)
		// The call would have taken longer than this.
		searcher.relativeLatency = max(searcher.relativeLatency, relativeLatency)
		if outcome.Status != Cancelled {
			a.narrowWindow(searcher, attempt)
		}
		if outcome.Status != Cancelled || took > float64(a.overdueAfter(class)) {
			a.recordFailure(searcher, attempt, lateFailureWeight)
		}
	}
}

// recordLostCall counts the calls that were lost after their searcher had been idle, and keeps the
// shortest such idle time. Once more calls are lost than answered after that time, closeDeadConns closes
// a searcher's connections before a call if the searcher has answered nothing for as long. This protects
// against connections that die while idle, of which an aggregator has many if its calls are rare. Hung
// searchers look the same, which costs handshakes. No connections are closed for a while after a new one
// could not be established.
func (a *Aggregator) recordLostCall(attempt *attempt, outcome Outcome) {
	afterIdle := attempt.searcherIdle > 0 && !attempt.onNewConn && outcome.Status != Full &&
		(outcome.Status == Reset || attempt.searcher.hasOverduePart)
	if !afterIdle || attempt.sentAt < attempt.searcher.failureRecordedAt {
		return
	}
	if a.deadConnEvidence == 0 || float64(attempt.searcherIdle) < a.deadAfterIdle {
		a.deadAfterIdle = float64(attempt.searcherIdle)
	}
	a.deadConnEvidence = min(a.deadConnEvidence+1, 2*deadConnThreshold)
}

// closeDeadConns closes the connections to a searcher that has been idle for so long that they are likely
// to be dead, and reports whether it did.
func (a *Aggregator) closeDeadConns(s *searcher) bool {
	idle := float64(a.now - s.lastAnswerAt)
	if a.deadConnEvidence < deadConnThreshold || s.lastAnswerAt == 0 || idle < a.deadAfterIdle ||
		len(s.inFlight) > 0 || a.now < a.disconnectAllowedAt {
		return false
	}
	a.emit(Disconnect{s.ID})
	return true
}

// narrowWindow shrinks a searcher's window, once for each call.
func (a *Aggregator) narrowWindow(s *searcher, attempt *attempt) {
	if attempt.sentAt >= s.failureRecordedAt {
		s.window = max(s.window*windowDecrease, 1)
	}
}

// handleListChange applies an update of the member list.
func (a *Aggregator) handleListChange(event ListChange) {
	if event.Kind == NoList {
		a.subscribed = false
		a.subscribeBackoff = max(2*a.subscribeBackoff, 20*a.settings.Tick)
		if a.settings.SubscribeWithin > 0 {
			a.subscribeBackoff = min(a.subscribeBackoff, a.settings.SubscribeWithin/8)
		}
		a.subscribeAt = a.now + a.subscribeBackoff
		return
	}
	a.subscribeBackoff, a.someUnlisted = 0, true
	a.invalidateReplicas()
	if event.Kind != Changes {
		for _, s := range a.searchers {
			s.listed, s.State = false, Removed // those in the list are set again below
		}
	}
	for _, r := range event.Replicas {
		s := a.searchersByID[r.ID]
		if s == nil {
			s = a.addSearcher(r.ID)
			s.window = float64(a.settings.MaxBatch)
		} else if r.Started > s.Started { // a new process: the observations of the old one no longer apply
			s.failureScore, s.ejected, s.unreachable, s.window, s.relativeLatency, s.reportedAt =
				0, false, false, 1, 0, 0
		}
		s.Replica = r
		s.listed = r.State == Ready
	}
}
