package netio

import (
	"log/slog"
	"maps"
	"slices"
	"time"

	"eiderwinch/internal/answerstream"
	"eiderwinch/internal/format/frame"
	"eiderwinch/internal/gatherer"
	"eiderwinch/internal/netio/eventloop"
)

// searcherConn is one connection to a searcher.
type searcherConn struct {
	pool          *pool
	searcher      *searcher
	addr          string
	conn          *eventloop.Conn // nil while it is being dialed
	dialTimer     timer           // set while it is being dialed: the time limit of that
	retired       bool            // not to be used for new calls
	malformed     bool            // it carried invalid data and is being closed
	closedHere    bool            // this gatherer closes it because of one part, so the end shows nothing about the searcher of the others
	answers       *answerstream.Stream
	inFlight      []sentAttempt
	openedAt      time.Time
	abandoned     map[string]*gatherer.Attempt // attempts that were abandoned and may still be answered, by part
	unreadCancels map[string]bool              // abandoned parts whose cancel frame waits unread at the searcher
	written       uint64                       // bytes written to the connection, including its buffer
	read          uint64                       // how many of these the searcher has certainly read: it has answered a part behind them
	idleSince     time.Time                    // when the last attempt in flight ended
	lastReceived  time.Time                    // when data was last received
	frameTimer    timer                        // set while a frame is incomplete: the time limit for its rest
	provisional   *gatherer.Attempt            // the attempt whose answer is provisional; nil if none is
	halfOpen      bool                         // it may be cut off, see checkHalfOpen
	unreadAnswers rounds                       // for which the unsent call waits
	unsentTimer   timer                        // set while there is an unsent call: when it is checked again
}

// sentAttempt is an attempt that is in flight on a connection.
type sentAttempt struct {
	partID    string
	attempt   *gatherer.Attempt
	sent      time.Time
	firstByte uint64 // offset of its frame in the bytes written to the connection
	endByte   uint64 // offset behind its frame: it was sent once this many bytes have left the buffer
}

// idle reports whether the connection is open and nothing on it is wanted any more.
func (c *searcherConn) idle() bool {
	return c.conn != nil && len(c.inFlight) == 0 && (c.provisional == nil || !c.provisional.AwaitsConfirmation())
}

// openedAtWallClock returns when the connection was opened, by the wall clock as it reads now.
func (c *searcherConn) openedAtWallClock(now time.Time) time.Time {
	return now.Round(0).Add(-now.Sub(c.openedAt))
}

// full reports whether a connection carries as many parts as it may. What is written on it then waits unread, as
// it does if the system accepts no more data. That includes cancel frames: until an answer has been received, a part
// can be cancelled only by closing the connection.
func (c *searcherConn) full() bool {
	return c.carried() >= c.pool.node.cfg.Multiplex
}

// carried returns how many parts the connection carries.
func (c *searcherConn) carried() int { return c.answers.Waiting() + len(c.unreadCancels) }

// clearUnreadCancels is called when an answer has been received. If the connection has room again, the searcher has read
// everything that was written, including the cancel frames.
func (c *searcherConn) clearUnreadCancels() {
	if !c.full() {
		clear(c.unreadCancels)
	}
}

// checkHalfOpen marks a connection as half-open if it has received nothing for far longer than calls take, while
// an attempt was in flight on it: it may be cut off. TCP does not report that, and an attempt sent on it would
// hang until its query ends. The connection takes no new calls until it receives something again. The next call
// opens another connection, which a searcher that is cut off does not accept: that call has then certainly not run
// and can go elsewhere.
func (c *searcherConn) checkHalfOpen(now, sent time.Time) {
	since := c.lastReceived
	if since.Before(sent) {
		since = sent
	}
	if !c.halfOpen && now.Sub(since) >= c.pool.silenceTimeout() {
		c.halfOpen = true
		c.pool.node.stats.HalfOpen++
	}
}

// Kind implements eventloop.Handler.
func (c *searcherConn) Kind() string { return "searcher" }

// ReadLimit implements eventloop.Handler.
func (c *searcherConn) ReadLimit() int { return eventloop.ReadBufferSize }

// Opened implements eventloop.Handler.
func (c *searcherConn) Opened(conn *eventloop.Conn) {
	now := time.Now()
	c.conn, c.idleSince, c.openedAt = conn, now, now
	c.pool.dialing--
	c.pool.timers.Stop(&c.dialTimer)
	c.pool.node.stats.Dialed++
	if c.retired {
		c.close()
		return
	}
	c.pool.resumeQueued(now, c.searcher)
	c.pool.descriptorsFreed(now)
}

// dialFailed is called when the connection could not be opened.
func (c *searcherConn) dialFailed(err error) {
	p, now := c.pool, time.Now()
	p.node.log.Debug("could not connect to searcher", "searcher", c.searcher.id, "addr", c.addr, "calls", len(c.searcher.queue), "err", err)
	p.node.stats.DialFails++
	p.dialing--
	c.remove()
	defer p.descriptorsFreed(now)
	for _, other := range c.searcher.conns {
		if !other.retired {
			return // the calls can still go there
		}
	}
	for len(c.searcher.queue) > 0 {
		c.searcher.failCall(p, now, c.searcher.queue[0])
	}
}

// remove removes the connection from the pool.
func (c *searcherConn) remove() {
	c.retired = true
	c.pool.timers.Stop(&c.dialTimer)
	c.pool.timers.Stop(&c.frameTimer)
	c.pool.timers.Stop(&c.unsentTimer)
	c.pool.connCount--
	c.searcher.conns = slices.DeleteFunc(c.searcher.conns, func(x *searcherConn) bool { return x == c })
}

// sendCall writes a call as one frame.
func (c *searcherConn) sendCall(attempts []*gatherer.Attempt) {
	now := time.Now() // parts carry the time that is left to their clients at this moment
	parts, size := c.callParts(now, attempts)
	frameBytes := c.pool.appendCall(parts, size)
	for i, a := range attempts {
		c.inFlight = append(c.inFlight, sentAttempt{
			partID: parts[i].ID, attempt: a, sent: now, firstByte: c.written, endByte: c.written + uint64(len(frameBytes)),
		})
		c.answers.Sent(parts[i].ID)
		c.pool.connByAttempt[a] = c
		a.Text = "" // an attempt is sent once
	}
	if !c.write(frameBytes) {
		return
	}
	if c.conn.Buffered() > 0 {
		c.callKept(now)
	}
	c.logCall(now, attempts)
}

// callParts returns the parts of a call's frame, and about how many bytes it takes.
func (c *searcherConn) callParts(now time.Time, attempts []*gatherer.Attempt) (parts []frame.Part, size int) {
	parts = make([]frame.Part, len(attempts))
	for i, a := range attempts {
		parts[i] = frame.Part{ID: a.PartID(), Shard: a.Shard, Text: a.Text, Options: frame.PartOptions{
			Key: a.Key, From: a.FirstStepShards, Whole: a.FirstStepWhole,
		}}
	}
	size = callSize(parts)
	for i, a := range attempts {
		parts[i].Options.Wait = a.TellWait(now, c.maySendSlowly(size))
	}
	return parts, size
}

// logCall logs the parts of a call that was written.
func (c *searcherConn) logCall(now time.Time, attempts []*gatherer.Attempt) {
	node := c.pool.node
	if !node.log.Enabled(node.ctx, slog.LevelDebug) {
		return
	}
	for _, a := range attempts {
		node.log.Debug("part sent", "part", a.PartID(), "attempt", a.Number(), "searcher", c.searcher.id, "waited", now.Sub(a.DecidedAt()),
			"buffered", c.conn.Buffered(), "last_news", now.Sub(node.watch.lastUpdate))
	}
}

// write writes a frame to the connection. If that fails, Closed has been called before write returns, and none of
// the frame counts as written.
func (c *searcherConn) write(frameBytes []byte) bool {
	err := c.conn.Write(frameBytes)
	if err == nil {
		c.written += uint64(len(frameBytes))
		c.pool.boundUnsent()
	}
	return err == nil
}

// removeAttempt removes an attempt from the connection and returns when it was sent.
func (c *searcherConn) removeAttempt(a *gatherer.Attempt) (sent time.Time) {
	delete(c.pool.connByAttempt, a)
	index := slices.IndexFunc(c.inFlight, func(f sentAttempt) bool { return f.attempt == a })
	sent = c.inFlight[index].sent
	c.inFlight = slices.Delete(c.inFlight, index, index+1)
	if len(c.inFlight) == 0 {
		c.idleSince = time.Now()
	}
	return sent
}

// close closes the connection; Closed is called later, on the loop. Nothing more is written until then: the loop could
// otherwise complete a frame whose parts are sent elsewhere.
func (c *searcherConn) close() {
	c.retired = true
	c.conn.StopWriting()
	c.conn.Close()
}

// Closed implements eventloop.Handler. Data still in the connection's buffer was not sent and is dropped.
func (c *searcherConn) Closed(reason error) {
	now := time.Now()
	closedBySearcher := !c.retired
	c.retired = true
	c.receiveRest(now)
	if len(c.inFlight) > 0 {
		c.pool.node.log.Debug("connection to a searcher closed with parts in flight", "searcher", c.searcher.id, "parts", len(c.inFlight),
			"buffered", c.conn.Buffered(), "abandoned", c.answers.Abandoned(), "provisional", c.answers.HasProvisional(), "reason", reason)
	}
	c.doubtAtEnd(now, endReason(reason))
	flushed := c.flushed()
	unanswered := c.inFlight
	if closedBySearcher {
		c.pool.node.stats.ClosedBySearcher++
		if len(unanswered) > 0 {
			c.pool.node.stats.ClosedBySearcherInFlight++
		}
	}
	c.inFlight = nil
	c.remove()
	for _, f := range unanswered {
		delete(c.pool.connByAttempt, f.attempt)
		c.endUnanswered(now, f, f.endByte <= flushed)
	}
	c.doubtAbandoned(now)
	c.pool.resumeQueued(now, c.searcher)
	c.pool.descriptorsFreed(now)
}

// endUnanswered ends an attempt that was in flight at the end of the connection. sentWhole is whether the system has accepted its
// whole frame.
func (c *searcherConn) endUnanswered(now time.Time, f sentAttempt, sentWhole bool) {
	core := c.pool.node.core
	switch {
	case !sentWhole:
		core.NotSent(now, f.attempt)
	case c.answers.MayHaveAnswered(f.partID):
		core.UnreadableAnswer(now, f.attempt)
	case c.closedHere:
		core.ConnectionClosed(now, f.attempt)
	default:
		core.ConnectionBroken(now, f.attempt)
	}
}

// doubtAbandoned passes on which abandoned attempts may have been answered in data that can't be read.
func (c *searcherConn) doubtAbandoned(now time.Time) {
	for _, id := range slices.Sorted(maps.Keys(c.abandoned)) {
		if c.answers.MayHaveAnswered(id) {
			c.pool.node.core.UnreadableAnswer(now, c.abandoned[id])
		}
	}
}
