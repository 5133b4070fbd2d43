package netio

import (
	"errors"
	"net/http"
	"runtime"
	"time"

	"eiderwinch/internal/fairqueue"
	"eiderwinch/internal/format/http1"
	"eiderwinch/internal/limit"
)

// Costs of requests, in bytes of bodies. To serve a request costs as much as to parse some bytes of a body.
const (
	requestCost   = 1 << 10
	roundBudget   = 64 << 10 // of the requests that are served in one round of the loop behind those that have just arrived
	maxInlineBody = 4 << 10  // the longest body, in bytes, of a request that is served when it arrives
)

// serveInput serves the request that has just been received, unless it is costly, its client has sent unsound ones or
// others wait in front of it. What stands behind it waits for its turn in the backlog. So no connection takes the event
// loop from the others.
func (c *clientConn) serveInput() {
	if c.queued || c.busy || c.ending || c.room.waits() {
		return
	}
	r := c.nextRequest()
	if r == nil {
		return
	}
	if c.unsound || len(r.Body) > maxInlineBody {
		c.deferred, c.deferredSize = r, c.parser.Detach(r)
		c.setStage(limit.Busy)
	} else {
		c.serve(r)
	}
	c.enqueue()
}

// nextRequest returns the next complete request, or nil. It answers what can't be read.
func (c *clientConn) nextRequest() *http1.Request {
	if r := c.deferred; r != nil {
		c.deferred, c.deferredSize = nil, 0
		return r
	}
	r, err := c.parser.Next()
	var invalid *http1.Error
	switch {
	case errors.Is(err, http1.ErrNoRoom): // the body is received once there is room
		c.awaitRequest()
		return nil
	case errors.As(err, &invalid):
		c.reject(invalid.Status, invalid.Reason, true)
		return nil
	case err != nil:
		c.reject(http.StatusBadRequest, err.Error(), true)
		return nil
	}
	if r == nil {
		c.incomplete = true
		if c.parser.TakeContinue() {
			c.write(http1.AppendContinue(nil))
		}
		c.awaitRequest()
	}
	return r
}

// hasInput reports whether there may be a request to serve now.
func (c *clientConn) hasInput() bool {
	if c.busy || c.ending || c.room.waits() || c.conn.Blocked() {
		return false
	}
	return c.deferred != nil || c.parser.Buffered() > 0 && !c.incomplete
}

// enqueue puts the connection into the backlog if it has input.
func (c *clientConn) enqueue() {
	if !c.queued && c.hasInput() {
		c.queued = true
		c.node.backlog.Push(c, c.unsound)
		c.node.scheduleRound()
	}
}

// leaveBacklog takes the connection out of the backlog.
func (c *clientConn) leaveBacklog() {
	if c.queued {
		c.queued = false
		c.node.backlog.Remove(c)
	}
}

// scheduleRound has the backlog served in the loop's next round.
func (n *Node) scheduleRound() {
	if !n.roundScheduled {
		n.roundScheduled = true
		n.exec(n.serveBacklog)
	}
}

// serveBacklog serves requests that wait for their turn. While there are any, the loop does not rest, so other goroutines
// and timers get their chance here.
func (n *Node) serveBacklog() {
	n.roundScheduled = false
	if now := time.Now(); n.roundBegan.IsZero() {
		n.roundBegan = now
	} else {
		n.stats.LongestRound = max(n.stats.LongestRound, now.Sub(n.roundBegan))
		n.roundBegan = now
	}
	n.backlog.Round(roundBudget, func(c *clientConn, quantum int) fairqueue.Turn { return c.serveTurn(quantum) })
	if n.backlog.Len() > 0 {
		n.scheduleRound()
	} else {
		n.roundBegan = time.Time{}
	}
	if !n.timerAt.IsZero() && !time.Now().Before(n.timerAt) {
		n.runDue()
	}
	runtime.Gosched()
}

// serveTurn serves requests of a connection until they have cost the quantum. Their answers are sent together.
func (c *clientConn) serveTurn(quantum int) fairqueue.Turn {
	c.queued = false
	cost := 0
	c.conn.Cork()
	for cost < quantum && c.hasInput() {
		cost += requestCost
		r := c.nextRequest()
		if r == nil {
			break
		}
		cost += len(r.Body)
		if c.leftBefore(r) {
			break
		}
		c.serve(r)
	}
	_ = c.conn.Uncork() // if it fails, Closed has been called
	c.queued = c.hasInput()
	c.recordHeld()
	return fairqueue.Turn{Cost: cost, Again: c.queued, Unsound: c.unsound}
}

// leftBefore reports whether the client has left before the query that is to be served, which has waited for its turn.
// The connection is closed then.
func (c *clientConn) leftBefore(r *http1.Request) bool {
	if r.Method != http.MethodPost || !remoteClosed(c.conn.FD()) {
		return false
	}
	c.node.stats.LeftUnread++
	c.closeNow(leftByClient)
	return true
}
