package gatherer

import (
	"slices"
	"time"

	"eiderwinch"
	"eiderwinch/internal/timerqueue"
)

// Attempt is one attempt of a part at a searcher.
type Attempt struct {
	Searcher        string
	Trace           string
	Shard           int
	Text            string
	Key             string
	IsSecondStep    bool  // the part belongs to a second step
	FirstStepShards []int // IsSecondStep: the shards whose parts were answered in the first step
	FirstStepWhole  bool  // IsSecondStep: the first step was whole
	Deadline        time.Time

	// Load is the load that the searcher reported with its answer; nil if it reported
	// none. It is set before Core.Result is called.
	Load *eiderwinch.Load

	part          *part
	number        int
	decidedAt     time.Time
	sendBy        time.Time // when its last byte must have been sent, see TellWait; zero if its searcher was told nothing yet
	ended         bool
	closedHere    bool                       // its connection was closed here because of another attempt
	deadlineTimer timerqueue.Timer[*Attempt] // expires at Deadline
}

// DecidedAt returns the time of the turn in which the aggregator decided on the attempt.
func (a *Attempt) DecidedAt() time.Time { return a.decidedAt }

// MayRetry reports whether the attempt's part may be sent again: it is not over.
func (a *Attempt) MayRetry() bool { return a.part.overBar() == SendAllowed }

// AwaitsConfirmation reports whether the attempt's answer is provisional and to be used, and its query is still open.
func (a *Attempt) AwaitsConfirmation() bool {
	best := a.part.answers.best()
	return !a.part.removed && best != nil && best.attempt == a && best.state == provisionalAnswer
}

// PartID returns the ID of the attempt's part as sent to searchers: the query's trace, the
// shard, and ".b" in a second step. All attempts of a part have the same ID.
func (a *Attempt) PartID() string { return partID(a.Trace, a.Shard, a.IsSecondStep) }

// Number returns the number of the attempt among those of its part, counted from 0.
func (a *Attempt) Number() int { return a.number }

// startAttempt starts one attempt, or returns nil if it must not be sent. Whatever the
// aggregator decided, a send is rejected if it would break a rule: for a part that is over, while
// another attempt is in flight unless maySendSecondCopy allows it, beyond the limit on
// attempts, to a searcher that does not hold the part's segment in the query's epoch, or to
// one that is not ready. Nothing is sent for a client that has disconnected either.
func (c *Core) startAttempt(send eiderwinch.Send) *Attempt {
	p := c.parts[send.Part]
	if p == nil {
		c.log.Error("send for an unknown part", "part", send.Part)
		return nil
	}
	bar := c.startBar(p, send.Replica)
	if bar != SendAllowed || c.clientDisconnected(p.query) {
		c.rejectSend(p, send.Replica, bar)
		return nil
	}
	timeout := p.query.deadline.Sub(c.now)
	if send.TimeOut > 0 {
		timeout = min(timeout, send.TimeOut)
	}
	a := &Attempt{
		Searcher: send.Replica, Trace: p.query.trace, Shard: p.shard, Text: p.query.text, Key: p.query.key,
		IsSecondStep: p.secondStep, Deadline: c.now.Add(timeout), part: p, number: p.attempts, decidedAt: c.now,
	}
	if p.secondStep {
		a.FirstStepShards, a.FirstStepWhole = p.query.firstStepShards, p.query.firstStepWhole
	}
	p.query.sent = true
	if p.attempts > 0 {
		c.stats.Retries++
	}
	if started := c.members[send.Replica].startedAt; !started.IsZero() && c.now.Sub(started) < c.settings.Module.ColdDuration {
		c.stats.SentToCold++
	}
	p.attempts++
	if len(p.inFlight) > 0 {
		c.stats.SecondCopies++
	}
	p.inFlight = append(p.inFlight, a)
	a.deadlineTimer.Value = a
	c.inFlight.Set(&a.deadlineTimer, a.Deadline)
	c.logAttempt(a, attemptDecided, "timeout", timeout)
	return a
}

// startBar returns why the core rejects an attempt of a part that the aggregator has decided on.
func (c *Core) startBar(p *part, searcher string) SendBar {
	maxAttempts := c.settings.Module.MaxAttempts
	if classLimit := p.query.liveSettings.class(p.query.class).Attempts; classLimit > 0 && (maxAttempts == 0 || classLimit < maxAttempts) {
		maxAttempts = classLimit
	}
	holders := p.query.holders(p.shard)
	over := p.overBar()
	switch {
	case over != SendAllowed:
		return over
	case len(p.inFlight) > 0 && !c.maySendSecondCopy(p, searcher):
		return SecondCopyBarred
	case maxAttempts > 0 && p.attempts >= maxAttempts:
		return AttemptsUsed
	case holders != nil && !slices.Contains(holders, searcher):
		return NotHolder
	case c.notReady(searcher):
		return SearcherNotReady
	}
	return SendAllowed
}

// rejectSend ends an attempt that is not started. It counts and logs those that would have broken a rule: a bar other than
// SendAllowed. The others are for clients that have disconnected.
func (c *Core) rejectSend(p *part, searcher string, bar SendBar) {
	if bar != SendAllowed {
		c.log.Warn("send rejected", "part", partID(p.query.trace, p.shard, p.secondStep), "attempt", p.attempts, "searcher", searcher, "reason", bar)
		c.stats.RejectedSends++
		c.stats.RejectedSendsBy[bar.String()]++
	}
	c.addEvent(c.now, eiderwinch.Outcome{Part: p.id, Attempt: p.attempts, Replica: searcher, Status: eiderwinch.NotSent})
	p.attempts++
}

// maxInFlight is the most attempts of a part in flight where second copies are allowed.
const maxInFlight = 2

// maySendSecondCopy reports whether a second attempt of a part may go to a searcher while the
// first is in flight. The settings must allow second copies and the class must allow repeats.
// The searcher must not be the one that has the first attempt: both carry the same part ID, so
// its answers could not be told apart.
func (c *Core) maySendSecondCopy(p *part, searcher string) bool {
	return c.settings.Module.SecondCopies && c.settings.Module.Classes[p.query.class].Effect != eiderwinch.Unsafe &&
		len(p.inFlight) < maxInFlight && !slices.ContainsFunc(p.inFlight, func(a *Attempt) bool { return a.Searcher == searcher })
}

// cancel ends an attempt as cancelled.
func (c *Core) cancel(action eiderwinch.Cancel) {
	p := c.parts[action.Part]
	if p == nil {
		return
	}
	if i := slices.IndexFunc(p.inFlight, func(a *Attempt) bool { return a.number == action.Attempt }); i >= 0 {
		a := p.inFlight[i]
		c.endAttempt(c.now, a, eiderwinch.Cancelled, false)
		c.searchers.Abandon(a)
	}
}

// unreadGrace is how long, in ticks, an attempt waits past its deadline for received data to be read.
const unreadGrace = 4

// expireAttempts ends the attempts whose deadline has passed. While data from their searcher has arrived and was not read,
// the delay is this gatherer's own, and must not count against the searcher: the data is read first.
func (c *Core) expireAttempts() {
	for t := c.inFlight.Pop(c.now); t != nil; t = c.inFlight.Pop(c.now) {
		if c.now.Before(t.Value.Deadline.Add(unreadGrace*c.settings.Tick)) && c.searchers.DataUnread(t.Value) {
			c.stats.ExpiredUnread++
			c.inFlight.Set(&t.Value.deadlineTimer, c.nextTurn)
			continue
		}
		c.endAttempt(c.now, t.Value, eiderwinch.TimedOut, false)
		c.searchers.Abandon(t.Value)
	}
}

// clientDisconnected reports whether a query's client has disconnected, even if the end of its
// connection has not been read yet: a delayed event loop runs the turn before it reads.
// Attempts for such a client would be wasted. It asks the client at most once in a turn.
func (c *Core) clientDisconnected(q *query) bool {
	if !q.disconnected && !q.clientCheckedAt.Equal(c.now) {
		q.clientCheckedAt = c.now
		if q.disconnected = q.client.Disconnected(); q.disconnected {
			c.disconnected = append(c.disconnected, q)
			c.stats.DisconnectedUnread++
		}
	}
	return q.disconnected
}

// endAttempt ends an attempt and adds the Outcome event for the aggregator. provisional is whether it has a provisional
// answer. It returns false if the attempt had ended before.
func (c *Core) endAttempt(now time.Time, a *Attempt, status eiderwinch.Status, provisional bool) bool {
	if a.ended {
		return false
	}
	a.ended = true
	c.inFlight.Stop(&a.deadlineTimer)
	c.endedAttempts = append(c.endedAttempts, a)
	a.part.inFlight = slices.DeleteFunc(a.part.inFlight, func(x *Attempt) bool { return x == a })
	if status == eiderwinch.TimedOut || status == eiderwinch.Cancelled {
		a.part.givenUp = append(a.part.givenUp, a)
	}
	if status != eiderwinch.Full && status != eiderwinch.NoConnection && status != eiderwinch.NotSent {
		a.part.mayHaveRunFrom = earlier(a.part.mayHaveRunFrom, a.decidedAt)
	}
	c.countOutcome(status)
	c.logAttempt(a, attemptEnded, "status", status, "took", now.Sub(a.decidedAt), "provisional", provisional, "closed_here", a.closedHere)
	c.addEvent(now, eiderwinch.Outcome{
		Part: a.part.id, Attempt: a.number, Replica: a.Searcher, Status: status, Took: now.Sub(a.decidedAt), Load: a.Load,
		Provisional: provisional, ClosedByGatherer: a.closedHere,
	})
	return true
}

// countOutcome counts the end of an attempt by its status.
func (c *Core) countOutcome(status eiderwinch.Status) {
	switch status {
	case eiderwinch.OK:
		c.stats.OK++
	case eiderwinch.Failed:
		c.stats.Errors++
	case eiderwinch.Full:
		c.stats.Skipped++
	case eiderwinch.TimedOut:
		c.stats.TimedOut++
	case eiderwinch.NoConnection:
		c.stats.Unconnected++
	case eiderwinch.Reset:
		c.stats.Reset++
	case eiderwinch.Cancelled:
		c.stats.Cancelled++
	}
}
