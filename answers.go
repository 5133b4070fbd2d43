package eiderwinch

import "slices"

// What becomes of the answers to parts. A part with an answer is over: it is not sent again, whether its
// answer counts or not.

// answerState is what is known of the answer to an attempt.
type answerState int

const (
	noAnswer          answerState = iota
	doubtfulAnswer                // it may be spoilt, and nothing can show that any more: it must not be used
	provisionalAnswer             // it may still turn out to be spoilt
	finalAnswer
)

// isOver reports whether a part has an answer, or may have one that is in doubt.
func (p *part) isOver() bool {
	return slices.ContainsFunc(p.attempts, func(t *attempt) bool { return t.answer != noAnswer })
}

// chooseAnswer returns the attempt whose answer is to be used: the first final one or, without any, the first
// provisional one; nil if there is none.
func (p *part) chooseAnswer() (chosen *attempt) {
	for _, t := range p.attempts {
		if t.answer >= provisionalAnswer && (chosen == nil || t.answer > chosen.answer) {
			chosen = t
		}
	}
	return chosen
}

// attemptOf returns an attempt of a part that is still known, or nil.
func (a *Aggregator) attemptOf(id uint64, number int) *attempt {
	part := a.parts[id]
	if part == nil || number < 0 || number >= len(part.attempts) {
		return nil
	}
	return part.attempts[number]
}

// useAnswer records that an attempt has answered its part. Until there is a final answer, the part's other
// attempt in flight may still be needed.
func (a *Aggregator) useAnswer(attempt *attempt, provisional bool) {
	part := attempt.part
	attempt.answer = finalAnswer
	if provisional {
		attempt.answer = provisionalAnswer
	}
	if part.answeredBy == nil {
		if part.inFlight > 0 && attempt.number > 0 {
			// The copy was useful, so its credit is returned.
			a.secondCopyCredit = min(a.secondCopyCredit+1, maxSecondCopyCredit)
		}
		part.query.lastAnswerAt = a.now
	}
	a.updateAnswer(part)
}

// updateAnswer chooses the part's answer anew, and cancels its attempts in flight if the answer is final.
func (a *Aggregator) updateAnswer(part *part) {
	part.answeredBy = part.chooseAnswer()
	part.query.answeredWeight = 0 // taken anew, so that no rounding error is left of an answer in doubt
	for _, p := range part.query.parts {
		if p.answeredBy != nil {
			part.query.answeredWeight += p.Weight
		}
	}
	if part.answeredBy != nil && part.answeredBy.answer == finalAnswer {
		a.cancelAttempts(part)
	}
}

// handleConfirmed makes a provisional answer final.
func (a *Aggregator) handleConfirmed(event Confirmed) {
	attempt := a.attemptOf(event.Part, event.Attempt)
	if attempt == nil || attempt.answer != provisionalAnswer {
		return
	}
	attempt.answer = finalAnswer
	if !attempt.part.ended {
		a.updateAnswer(attempt.part)
	}
}

// handleInDoubt records that a part may have an answer that must not be used.
func (a *Aggregator) handleInDoubt(event InDoubt) {
	attempt := a.attemptOf(event.Part, event.Attempt)
	if attempt == nil || attempt.answer == doubtfulAnswer || attempt.answer == finalAnswer {
		return
	}
	attempt.answer = doubtfulAnswer
	if attempt.part.ended {
		return
	}
	a.updateAnswer(attempt.part)
	if !event.ClosedByGatherer {
		a.recordFailure(attempt.searcher, attempt, 1)
	}
}

// handleLateAnswer uses an answer that came after the end of its attempt.
func (a *Aggregator) handleLateAnswer(event LateAnswer) {
	attempt := a.attemptOf(event.Part, event.Attempt)
	if attempt == nil || !attempt.ended || attempt.answer != noAnswer || attempt.part.ended {
		return
	}
	attempt.searcher.lastAnswerAt = a.now
	a.useAnswer(attempt, event.Provisional)
}
