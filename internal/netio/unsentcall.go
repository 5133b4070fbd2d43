package netio

import (
	"time"

	"eiderwinch/internal/gatherer"
)

// A call is unsent from when the system did not accept its frame whole until it has accepted the last byte. A connection
// has at most one unsent call: it takes no other while bytes wait in its buffer. Whether the call may be sent is asked again
// before each write of its rest.

// unsentCheckInterval is how often an unsent call is checked while its connection is not writable. It is well below the
// 0.1 s within which nothing more may be sent for a client that has left.
const unsentCheckInterval = 20 * time.Millisecond

// keepCall records that a call's frame was not accepted whole.
func (c *searcherConn) keepCall(now time.Time, attempts []*gatherer.Attempt) {
	c.unsentCall = attempts
	c.pool.node.stats.KeptCalls++
	c.pool.timers.Set(&c.unsentTimer, now.Add(unsentCheckInterval))
}

// MayFlush implements eventloop.Handler.
func (c *searcherConn) MayFlush() bool {
	return c.checkUnsentCall(time.Now())
}

// Flushed implements eventloop.Handler.
func (c *searcherConn) Flushed() { c.forgetUnsentCall() }

func (c *searcherConn) forgetUnsentCall() {
	c.unsentCall = nil
	c.pool.timers.Stop(&c.unsentTimer)
}

// checkUnsentCall gives up the unsent call if one of its parts might not be sent any more: a frame can't be completed
// without one of its parts. It reports whether the rest of the frame may be written.
func (c *searcherConn) checkUnsentCall(now time.Time) bool {
	for _, a := range c.unsentCall {
		if bar := c.unsentBar(now, a); bar != gatherer.SendAllowed {
			c.giveUpUnsentCall(now, bar)
			return false
		}
	}
	if len(c.unsentCall) > 0 {
		c.pool.timers.Set(&c.unsentTimer, now.Add(unsentCheckInterval))
	}
	return true
}

// unsentBar returns why the rest of an attempt's frame must not be written.
func (c *searcherConn) unsentBar(now time.Time, a *gatherer.Attempt) gatherer.SendBar {
	return c.pool.node.core.CompletionBar(now, a)
}

// giveUpUnsentCall ends the attempts of the unsent call. Nothing more is written to the connection, so they have certainly not
// run and can go elsewhere. The connection stays open until the parts that were sent whole on it have ended.
func (c *searcherConn) giveUpUnsentCall(now time.Time, bar gatherer.SendBar) {
	node := c.pool.node
	attempts := c.unsentCall
	node.log.Debug("call given up before it was sent whole", "searcher", c.searcher.id, "parts", len(attempts),
		"unsent", c.conn.Buffered(), "reason", bar, "after", now.Sub(attempts[0].DecidedAt()))
	node.stats.GivenUpCalls[bar.String()]++
	c.forgetUnsentCall()
	c.retired = true
	c.conn.StopWriting()
	for _, a := range attempts {
		if c.pool.connByAttempt[a] != c {
			continue // it was abandoned
		}
		c.answers.NotSent(a.PartID())
		c.removeAttempt(a)
		if bar == gatherer.RepeatWindowOver { // the searcher has read too little for too long
			node.core.NotSent(now, a)
		} else {
			node.core.TakenBack(now, a)
		}
	}
	if len(c.inFlight) == 0 {
		c.close()
	}
}
