package netio

import (
	"slices"
	"time"

	"eiderwinch/internal/gatherer"
)

// A call is unsent until the system has accepted the last byte of its frame. A connection has at most one unsent call: it
// takes no other while bytes wait in its buffer. Whether the call may be sent is asked again before each write of its rest.

// unsentCheckInterval is how often an unsent call is checked while its connection is not writable. It is well below the
// 0.1 s within which nothing more may be sent for a client that has left.
const unsentCheckInterval = 20 * time.Millisecond

// promptBytes is how many bytes the system accepts at once on a connection whose searcher has read everything before: the
// smallest usual send buffer.
const promptBytes = 16 << 10

// maySendSlowly reports whether the system may accept a frame of the given size only once the searcher reads.
func (c *searcherConn) maySendSlowly(size int) bool {
	return c.written-c.read+uint64(size) > promptBytes
}

// callKept is called when the system did not accept the frame of a call whole.
func (c *searcherConn) callKept(now time.Time) {
	c.pool.node.stats.KeptCalls++
	c.pool.timers.Set(&c.unsentTimer, now.Add(unsentCheckInterval))
}

// MayFlush implements eventloop.Handler. A call of which no byte was sent waits until updates from discovery have been read:
// its searcher may have begun to leave.
func (c *searcherConn) MayFlush() bool {
	now := time.Now()
	if c.callNotBegun() && c.pool.node.deferForUpdates(now) {
		return false
	}
	return c.checkUnsentCall(now)
}

// Flushed implements eventloop.Handler.
func (c *searcherConn) Flushed() { c.pool.timers.Stop(&c.unsentTimer) }

// flushed returns how many of the bytes written to the connection the system has accepted.
func (c *searcherConn) flushed() uint64 { return c.written - uint64(c.conn.Buffered()) }

// unsentCall returns the attempts of the unsent call.
func (c *searcherConn) unsentCall() (attempts []*gatherer.Attempt) {
	flushed := c.flushed()
	for _, f := range c.inFlight {
		if f.endByte > flushed {
			attempts = append(attempts, f.attempt)
		}
	}
	return attempts
}

// isUnsent reports whether an attempt in flight on the connection belongs to the unsent call.
func (c *searcherConn) isUnsent(a *gatherer.Attempt) bool { return slices.Contains(c.unsentCall(), a) }

// callNotBegun reports whether no byte of the unsent call was sent.
func (c *searcherConn) callNotBegun() bool {
	flushed := c.flushed()
	return slices.ContainsFunc(c.inFlight, func(f sentAttempt) bool { return f.firstByte >= flushed })
}

// checkUnsentCall gives up the unsent call if one of its parts might not be sent any more: a frame can't be completed
// without one of its parts. It reports whether the rest of the frame may be written.
func (c *searcherConn) checkUnsentCall(now time.Time) bool {
	attempts := c.unsentCall()
	barOf := c.pool.node.core.CompletionBar
	if c.callNotBegun() {
		barOf = c.pool.node.core.SendBar
	}
	unread := false
	for _, a := range attempts {
		switch bar := barOf(now, a); bar {
		case gatherer.SendAllowed:
		case gatherer.AnswerUnread:
			unread = true
		default:
			c.giveUpUnsentCall(now, bar)
			return false
		}
	}
	if len(attempts) > 0 {
		c.pool.timers.Set(&c.unsentTimer, now.Add(unsentCheckInterval))
	}
	return !c.unreadAnswers.wait(c.pool.node, unread)
}

// giveUpUnsentCall ends the unsent call because a part of it might not be sent any more.
func (c *searcherConn) giveUpUnsentCall(now time.Time, bar gatherer.SendBar) {
	node := c.pool.node
	node.log.Debug("call given up before it was sent whole", "searcher", c.searcher.id, "unsent", c.conn.Buffered(), "reason", bar)
	node.stats.GivenUpCalls[bar.String()]++
	if blamesSearcher(bar, c.conn.Stalled()) {
		c.stopSending(now, node.core.NotSent)
	} else {
		c.stopSending(now, node.core.TakenBack)
	}
}

// blamesSearcher reports whether a call that was given up counts against its searcher: not if one of its parts was answered by
// another one, or ended by the client or the aggregator, nor if this machine was short of buffers.
func blamesSearcher(bar gatherer.SendBar, stalled bool) bool {
	return bar != gatherer.ResultUnwanted && bar != gatherer.PartAnswered && bar != gatherer.AttemptOver && !stalled
}

// stopSending ends the attempts of the unsent call by the given function. Nothing more is written to the connection, so they have
// certainly not run and can go elsewhere. The connection stays open until the parts that were sent whole on it have ended.
func (c *searcherConn) stopSending(now time.Time, end func(time.Time, *gatherer.Attempt)) {
	attempts := c.unsentCall()
	c.retired = true
	c.pool.timers.Stop(&c.unsentTimer)
	c.conn.StopWriting()
	for _, a := range attempts {
		if c.answers.NotSent(a.PartID()) != "" {
			c.confirmProvisional(now)
		}
		c.removeAttempt(a)
		end(now, a)
	}
	if c.idle() {
		c.close()
	}
}

// cancelUnsent ends what has not been sent yet to a searcher that is leaving: calls that wait for a connection,
// and those whose first byte is still in a connection's buffer. These have certainly not run; the parts that were sent
// whole on such a connection are still answered.
func (p *pool) cancelUnsent(now time.Time, id string) {
	s := p.searchers[id]
	if s == nil {
		return
	}
	p.sendQueued(now, s)
	for _, c := range s.conns {
		if c.conn != nil && c.callNotBegun() {
			p.node.stats.StoppedForDrain++
			c.giveUpUnsentCall(now, gatherer.SearcherNotReady)
		}
	}
}

// boundUnsent stops sending on the connection with the most unsent bytes while the connections to searchers hold more of these
// than they may. The parts whose frames were not sent whole have not run and can go elsewhere.
func (p *pool) boundUnsent() {
	for {
		held := 0
		var largest *searcherConn
		for _, s := range p.searchers {
			for _, c := range s.conns {
				if c.conn == nil || !c.conn.Blocked() {
					continue
				}
				held += c.conn.Held()
				if !c.retired && (largest == nil || c.conn.Held() > largest.conn.Held()) {
					largest = c
				}
			}
		}
		if held <= p.maxUnsent || largest == nil {
			return
		}
		p.node.stats.StoppedForMemory++
		largest.stopSending(time.Now(), p.node.core.NotSent)
	}
}
