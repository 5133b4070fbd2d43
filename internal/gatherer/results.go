package gatherer

import (
	"time"

	"eiderwinch"
)

// Result records a searcher's answer to an attempt: OK with a score and a value, or
// Failed or Full. Results of attempts that have ended are ignored.
func (c *Core) Result(now time.Time, a *Attempt, status eiderwinch.Status, score int64, value string) {
	if c.endAttempt(now, a, status, false) && status == eiderwinch.OK {
		a.part.addAnswer(&answer{attempt: a, state: finalAnswer, readAt: now, finalAt: now, score: score, value: value})
	}
}

// ProvisionalResult records an answer that was OK, as Result does, but may still turn out to be spoilt. Unless its query
// ends first, Confirm or Doubt follows.
func (c *Core) ProvisionalResult(now time.Time, a *Attempt, score int64, value string) {
	c.stats.Provisional++
	if c.endAttempt(now, a, eiderwinch.OK, true) {
		a.part.addAnswer(&answer{attempt: a, state: provisionalAnswer, readAt: now, score: score, value: value})
	}
}

// LateResult records an answer that was OK to an attempt that had ended before: it had timed out or was cancelled, and its
// searcher answered before it read that. The answer counts as any other does.
func (c *Core) LateResult(now time.Time, a *Attempt, provisional bool, score int64, value string) {
	p := a.part
	if p.removed || p.answers.of(a) != nil {
		return
	}
	x := &answer{attempt: a, state: finalAnswer, readAt: now, finalAt: now, score: score, value: value}
	if provisional {
		x.state, x.finalAt = provisionalAnswer, time.Time{}
	}
	c.stats.LateAnswers++
	c.logAttempt(a, answeredLate, "provisional", provisional, "took", now.Sub(a.decidedAt))
	p.addAnswer(x)
	c.addEvent(now, eiderwinch.LateAnswer{Part: p.id, Attempt: a.number, Provisional: provisional})
}

// Confirm makes a provisional answer final.
func (c *Core) Confirm(now time.Time, a *Attempt) {
	x := a.part.answers.of(a)
	if x == nil || x.state != provisionalAnswer {
		return
	}
	x.state, x.finalAt = finalAnswer, now
	c.logAttempt(a, answerConfirmed, "used", a.part.used == x)
	if !a.part.removed {
		c.addEvent(now, eiderwinch.Confirmed{Part: a.part.id, Attempt: a.number})
	}
}

// DoubtReason is why an answer is in doubt, as counters and the log name it.
type DoubtReason string

// The reasons.
const (
	ConnectionEnded DoubtReason = "ended"      // by the searcher
	ConnectionReset DoubtReason = "reset"      // by the searcher or the network
	ClosedHere      DoubtReason = "closed"     // by this gatherer
	InvalidData     DoubtReason = "invalid"    // data that is no answer to a part that waits
	IncompleteFrame DoubtReason = "incomplete" // a frame whose rest did not come in time
)

// Doubt takes back a provisional answer, because nothing can show any more whether it is good or spoilt. It must
// not be used then; and the part stays over, since a good answer has ended it. Once the query has its final answer, nothing
// can be taken back: Doubt returns false.
func (c *Core) Doubt(now time.Time, a *Attempt, reason DoubtReason) bool {
	p := a.part
	x := p.answers.of(a)
	if x == nil || x.state != provisionalAnswer {
		return false
	}
	if p.used == x {
		c.stats.RefutedLate++
		c.log.Warn("answer refuted after it was used", "trace", a.Trace, "shard", a.Shard, "searcher", a.Searcher, "since_answer", now.Sub(x.readAt))
	}
	x.state = doubtfulAnswer
	p.dropValue(x)
	return c.recordDoubt(now, x, reason)
}

// UnreadableAnswer ends an attempt that may have been answered in data of its connection that can't be read. The answer is in
// doubt, as in Doubt. An attempt that had timed out or was cancelled may have been answered so as well.
func (c *Core) UnreadableAnswer(now time.Time, a *Attempt) {
	a.closedHere = true
	c.endAttempt(now, a, eiderwinch.Reset, false)
	if a.part.answers.of(a) != nil {
		return
	}
	x := &answer{attempt: a, state: doubtfulAnswer, readAt: now}
	a.part.addAnswer(x)
	c.recordDoubt(now, x, InvalidData)
}

// recordDoubt counts and logs an answer in doubt, and tells the aggregator. It returns false if the answer is not wanted any more.
func (c *Core) recordDoubt(now time.Time, x *answer, reason DoubtReason) bool {
	p := x.attempt.part
	c.logAttempt(x.attempt, answerInDoubt, "reason", string(reason), "used", p.used == x, "query_open", !p.removed, "since_answer", now.Sub(x.readAt))
	if p.removed {
		return false
	}
	c.stats.InDoubt++
	c.stats.InDoubtBy[string(reason)]++
	c.addEvent(now, eiderwinch.InDoubt{Part: p.id, Attempt: x.attempt.number, ClosedByGatherer: reason == ClosedHere})
	return true
}

// NotSent ends an attempt that was never written, so it certainly was not executed. The outcome
// is NoConnection, which counts against the searcher, only if the result was still wanted.
func (c *Core) NotSent(now time.Time, a *Attempt) {
	if !a.ended && a.unwanted() {
		c.TakenBack(now, a)
		return
	}
	c.endAttempt(now, a, eiderwinch.NoConnection, false)
}

// TakenBack ends an attempt that was never written whole, so it certainly was not executed, for a reason that does not count
// against its searcher.
func (c *Core) TakenBack(now time.Time, a *Attempt) { c.endAttempt(now, a, eiderwinch.NotSent, false) }

// ConnectionBroken ends an attempt whose connection broke after the attempt may have arrived.
func (c *Core) ConnectionBroken(now time.Time, a *Attempt) {
	c.endAttempt(now, a, eiderwinch.Reset, false)
}

// ConnectionClosed ends an attempt whose connection was closed here because of another attempt, after it may have arrived.
func (c *Core) ConnectionClosed(now time.Time, a *Attempt) {
	a.closedHere = true
	c.endAttempt(now, a, eiderwinch.Reset, false)
}
