package netio

import (
	"errors"
	"io"
	"log/slog"
)

// closeReason is why a client's connection was closed. Its value is a metric key.
type closeReason string

// The reasons. The first two are the client's.
const (
	leftByClient           closeReason = "left"
	brokenByClient         closeReason = "reset"
	closedAfterAnswer      closeReason = "answered" // its last answer was sent, and the client did not close
	closedForLength        closeReason = "too_long" // too much was received behind its last answer
	closedForUnreadAnswers closeReason = "unread"
	closedForMemory        closeReason = "memory"
	closedSilent           closeReason = "silent"
	closedIdle             closeReason = "idle"
	closedInDrain          closeReason = "drain"
	evicted                closeReason = "evicted"
)

// closedFor sets why the connection is closed, unless there is a reason already.
func (c *clientConn) closedFor(why closeReason) {
	if c.closeReason == "" {
		c.closeReason = why
	}
}

// recordClose counts and logs the end of the connection. err is the reason that the event loop gives.
func (c *clientConn) recordClose(err error) {
	switch {
	case errors.Is(err, io.EOF):
		c.closedFor(leftByClient)
	case err != nil:
		c.closedFor(brokenByClient)
	}
	c.node.stats.ClosedClients[string(c.closeReason)]++
	if log := c.node.log; log.Enabled(c.node.ctx, slog.LevelDebug) {
		log.Debug("client connection closed", "reason", string(c.closeReason), "err", err, "answered", c.entry.Answered(),
			"unparsed", c.parser.Buffered(), "unsent", c.conn.Buffered(), "query", c.queryID)
	}
}
