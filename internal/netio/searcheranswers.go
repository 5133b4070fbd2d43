package netio

import (
	"errors"
	"fmt"
	"io"
	"slices"
	"time"

	"eiderwinch"
	"eiderwinch/internal/answerstream"
	"eiderwinch/internal/format/frame"
	"eiderwinch/internal/gatherer"
)

// Traffic implements eventloop.Handler.
func (c *searcherConn) Traffic(data []byte) {
	now := time.Now()
	if c.receive(now, data) {
		c.attemptsEnded(now)
	}
}

// maxRest bounds the bytes, received and not read, that are read when a connection is closed.
const maxRest = 4 << 20

// receiveRest handles what was received and not read when the connection is closed: it may hold answers.
func (c *searcherConn) receiveRest(now time.Time) {
	if pendingBytes(c.conn.FD()) > 0 {
		c.conn.ReadRest(maxRest, func(piece []byte) { c.receive(now, piece) })
	}
}

// receive handles data that was received. It reports whether the connection can be read further.
func (c *searcherConn) receive(now time.Time, data []byte) bool {
	if c.malformed { // it is being closed
		c.answers.Skip(data)
		return false
	}
	c.lastReceived, c.halfOpen = now, false
	received, err := c.answers.Receive(now, data)
	if received.Confirmed != "" {
		c.confirmProvisional(now)
	}
	for _, answer := range received.Answers {
		c.useAnswer(now, answer)
	}
	if len(received.Answers) > 0 {
		c.clearUnreadCancels()
	}
	if err != nil {
		c.closedHere = !errors.Is(err, answerstream.ErrFrameRejected)
		c.closeMalformed("malformed frame from searcher", gatherer.InvalidData, err)
		return false
	}
	if received.Frames > 0 {
		c.pool.timers.Stop(&c.frameTimer)
	}
	if len(c.answers.Incomplete()) > 0 && !c.frameTimer.IsSet() {
		c.pool.timers.Set(&c.frameTimer, now.Add(c.pool.node.cfg.ConnectTimeout))
	}
	return true
}

// attemptsEnded sends calls that have waited for what ended attempts have freed.
func (c *searcherConn) attemptsEnded(now time.Time) {
	c.pool.resumeQueued(now, c.searcher)
	if len(c.inFlight) == 0 {
		c.pool.descriptorsFreed(now) // the connection can be closed for another searcher's calls
	}
}

// useAnswer passes an answer on to the core.
func (c *searcherConn) useAnswer(now time.Time, answer answerstream.Answer) {
	if answer.Late {
		c.useLateAnswer(now, answer)
		return
	}
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
	if answer.Provisional {
		c.setProvisional(a)
		c.pool.node.core.ProvisionalResult(now, a, answer.Score, answer.Value)
		return
	}
	c.pool.node.core.Result(now, a, statusByEnd[answer.End], answer.Score, answer.Value)
}

// useLateAnswer passes an answer to an abandoned attempt on to the core.
func (c *searcherConn) useLateAnswer(now time.Time, answer answerstream.Answer) {
	delete(c.unreadCancels, answer.ID)
	a := c.abandoned[answer.ID]
	delete(c.abandoned, answer.ID)
	if a == nil || answer.End != frame.Served {
		return
	}
	if answer.Provisional {
		c.setProvisional(a)
	}
	c.pool.node.core.LateResult(now, a, answer.Provisional, answer.Score, answer.Value)
}

// setProvisional records the attempt whose answer is provisional.
func (c *searcherConn) setProvisional(a *gatherer.Attempt) {
	c.provisional = a
	c.pool.provisional[a] = c
}

// endProvisional returns the attempt whose answer is provisional no more.
func (c *searcherConn) endProvisional() *gatherer.Attempt {
	a := c.provisional
	c.provisional = nil
	delete(c.pool.provisional, a)
	return a
}

// confirmProvisional passes on that the provisional answer is final.
func (c *searcherConn) confirmProvisional(now time.Time) {
	c.pool.node.core.Confirm(now, c.endProvisional())
}

// doubtProvisional takes back the provisional answer, if there is one, because nothing can confirm it any more. It reports
// whether it could still do so.
func (c *searcherConn) doubtProvisional(now time.Time, reason gatherer.DoubtReason) bool {
	if _, ok := c.answers.Doubtful(); !ok {
		return false
	}
	return c.pool.node.core.Doubt(now, c.endProvisional(), reason)
}

// closeMalformed closes a connection that carried a frame that is invalid, unsolicited or incomplete for too long:
// the attempts in flight on it would only wait for their time-out. They end as those of a broken connection. A provisional
// answer is in doubt then; all others stay.
func (c *searcherConn) closeMalformed(message string, reason gatherer.DoubtReason, detail any) {
	if c.malformed {
		return
	}
	now := time.Now()
	lastAnswered, answeredAt, basis := c.answers.LastAnswered()
	inDoubt := c.doubtProvisional(now, reason)
	c.pool.node.stats.MalformedConns++
	c.pool.node.log.Warn(message, "searcher", c.searcher.id, "parts", len(c.inFlight), "detail", detail, "last_answered", lastAnswered,
		"since_answer", now.Sub(answeredAt), "basis", basis, "in_doubt", inDoubt, "unparsed", fmt.Sprintf("%.32q", c.answers.Incomplete()))
	c.malformed = true
	c.pool.timers.Stop(&c.frameTimer)
	c.close()
}

// closeIncomplete closes a connection on which a frame has stayed incomplete for too long.
func (c *searcherConn) closeIncomplete() {
	c.closedHere = true
	c.closeMalformed("incomplete frame from searcher", gatherer.IncompleteFrame, len(c.answers.Incomplete()))
}

// doubtAtEnd takes back the provisional answer when the connection has ended. If it was used before, the end shows nothing of it.
func (c *searcherConn) doubtAtEnd(now time.Time, reason gatherer.DoubtReason) {
	if c.provisional == nil || c.provisional.AwaitsConfirmation() {
		c.doubtProvisional(now, reason)
		return
	}
	c.answers.Doubtful()
	c.endProvisional()
}

// endReason returns why a provisional answer is in doubt at the end of its connection, which the event loop explains by err.
func endReason(err error) gatherer.DoubtReason {
	switch {
	case err == nil:
		return gatherer.ClosedHere
	case errors.Is(err, io.EOF):
		return gatherer.ConnectionEnded
	}
	return gatherer.ConnectionReset
}

var statusByEnd = map[frame.PartOutcome]eiderwinch.Status{
	frame.Served: eiderwinch.OK, frame.Failed: eiderwinch.Failed, frame.Skipped: eiderwinch.Full,
}
