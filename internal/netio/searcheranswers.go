package netio

import (
	"fmt"
	"slices"
	"time"

	"eiderwinch"
	"eiderwinch/internal/answerstream"
	"eiderwinch/internal/format/frame"
	"eiderwinch/internal/gatherer"
)

// Traffic implements eventloop.Handler.
func (c *searcherConn) Traffic(data []byte) {
	if c.malformed {
		return // it is being closed
	}
	now := time.Now()
	c.lastReceived, c.halfOpen = now, false
	received, err := c.answers.Receive(now, data)
	for _, id := range received.Late {
		delete(c.unreadCancels, id)
	}
	if received.Answered {
		c.clearUnreadCancels()
	}
	for _, answer := range received.Usable {
		c.useAnswer(now, answer)
	}
	if err != nil {
		c.closeMalformed("malformed frame from searcher", err)
		return
	}
	if received.Frames > 0 {
		c.pool.timers.Stop(&c.frameTimer)
		c.provisional = nil
	}
	if len(c.answers.Incomplete()) > 0 && !c.frameTimer.IsSet() {
		c.pool.timers.Set(&c.frameTimer, now.Add(c.pool.node.cfg.ConnectTimeout))
	}
	c.setHoldTimer()
	c.attemptsEnded(now)
}

// attemptsEnded sends calls that have waited for what ended attempts have freed.
func (c *searcherConn) attemptsEnded(now time.Time) {
	c.pool.resumeQueued(now, c.searcher)
	if len(c.inFlight) == 0 {
		c.pool.descriptorsFreed(now) // the connection can be closed for another searcher's calls
	}
}

// setHoldTimer sets the timer that settles the answer that is held, if there is one.
func (c *searcherConn) setHoldTimer() {
	c.pool.timers.Stop(&c.holdTimer)
	if until := c.answers.HeldUntil(); !until.IsZero() {
		c.pool.timers.Set(&c.holdTimer, until)
	}
}

// settleHeld uses the answer that is held. Data that was received and not read yet may show that it is spoilt, so
// it is read first.
func (c *searcherConn) settleHeld(now time.Time) {
	if pendingBytes(c.conn.FD()) > 0 {
		c.pool.timers.Set(&c.holdTimer, now.Add(time.Millisecond)) // the loop's next round is over by then
		return
	}
	if answer, ok := c.answers.Settle(now); ok {
		c.provisional = c.useAnswer(now, answer)
		c.attemptsEnded(now)
	}
}

// useAnswer passes an answer on to the core, and returns its attempt.
func (c *searcherConn) useAnswer(now time.Time, answer answerstream.Answer) *gatherer.Attempt {
	index := slices.IndexFunc(c.inFlight, func(f sentAttempt) bool { return f.partID == answer.ID })
	a := c.inFlight[index].attempt
	c.read = max(c.read, c.inFlight[index].endByte)
	c.pool.recordLatency(answer.ReceivedAt.Sub(c.removeAttempt(a)))
	switch {
	case answer.Report.Present:
		c.pool.node.stats.Reports++
		a.Load = &eiderwinch.Load{Waiting: answer.Report.Waiting}
	case answer.Report.Malformed:
		c.pool.node.stats.MalformedReports++
	}
	c.pool.node.core.Result(now, a, statusByEnd[answer.End], answer.Score, answer.Value)
	return a
}

// closeMalformed closes a connection that carried a frame that is invalid, unsolicited or incomplete for too long:
// the attempts in flight on it would only wait for their time-out. They end as those of a broken connection, as does
// that whose answer is held. An answer that was used already is withdrawn if it is in doubt; all others stay.
func (c *searcherConn) closeMalformed(message string, detail any) {
	if c.malformed {
		return
	}
	now := time.Now()
	lastAnswered, answeredAt, basis := c.answers.LastAnswered()
	withdrawn := c.withdrawProvisional(now)
	c.pool.node.stats.MalformedConns++
	c.pool.node.log.Warn(message, "searcher", c.searcher.id, "parts", len(c.inFlight), "detail", detail, "last_answered", lastAnswered,
		"since_answer", now.Sub(answeredAt), "basis", basis, "withdrawn", withdrawn, "unparsed", fmt.Sprintf("%.32q", c.answers.Incomplete()))
	c.malformed = true
	c.pool.timers.Stop(&c.frameTimer)
	c.pool.timers.Stop(&c.holdTimer)
	c.close()
}

// withdrawProvisional withdraws the answer that was settled last if it is in doubt, and reports whether it could still
// do so. It is called when data behind that answer can't be read.
func (c *searcherConn) withdrawProvisional(now time.Time) bool {
	id, inDoubt := c.answers.Withdrawn()
	if !inDoubt || c.provisional == nil || c.provisional.PartID() != id {
		return false
	}
	return c.pool.node.core.Withdraw(now, c.provisional)
}

var statusByEnd = map[frame.PartOutcome]eiderwinch.Status{
	frame.Served: eiderwinch.OK, frame.Failed: eiderwinch.Failed, frame.Skipped: eiderwinch.Full,
}

// settleAtEnd settles the last answer when the connection has ended: it counts unless something stands behind it.
func (c *searcherConn) settleAtEnd(now time.Time) {
	if c.malformed {
		return
	}
	if len(c.answers.Incomplete()) > 0 {
		c.withdrawProvisional(now)
		return
	}
	if pendingBytes(c.conn.FD()) > 0 {
		return
	}
	if answer, ok := c.answers.End(); ok {
		c.useAnswer(now, answer)
	}
}
