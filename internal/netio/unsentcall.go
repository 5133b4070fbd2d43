package netio

import (
	"time"

	"eiderwinch/internal/gatherer"
)

// A call is unsent from when the system did not accept its frame whole until it has accepted the last byte. A connection
// has at most one unsent call: it takes no other while bytes wait in its buffer.

// keepCall records that a call's frame was not accepted whole.
func (c *searcherConn) keepCall(attempts []*gatherer.Attempt) {
	c.unsentCall = attempts
	c.pool.node.stats.KeptCalls++
}

// Flushed implements eventloop.Handler.
func (c *searcherConn) Flushed() {
	c.recordBarred(time.Now())
	c.unsentCall = nil
}

// recordBarred counts the parts of the unsent call, whose last byte has just been sent, that might not be sent any more.
func (c *searcherConn) recordBarred(now time.Time) {
	node := c.pool.node
	for _, a := range c.unsentCall {
		if bar := node.core.CompletionBar(now, a); bar != gatherer.SendAllowed {
			node.stats.SentBarred[bar.String()]++
			node.log.Warn("a part was sent too late", "part", a.PartID(), "searcher", c.searcher.id, "reason", bar, "after", now.Sub(a.DecidedAt()))
		}
	}
}
