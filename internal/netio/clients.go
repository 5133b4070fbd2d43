package netio

import (
	"net/http"
	"time"

	"eiderwinch/internal/limit"
)

// usableDescriptors returns how many descriptors clients and searchers may take together. The rest is for
// discovery, and for connections accepted in one round of the loop.
func (n *Node) usableDescriptors() int { return (n.cfg.MaxDescriptors - reservedDescriptors) * 7 / 8 }

// excessClients returns by how many clients exceed their bound, or what the connections to searchers leave them.
func (n *Node) excessClients() int {
	return max(n.clientTable.Len()-n.clientTable.Bounds().Hard, n.clientTable.Len()+n.pool.connCount+n.pool.dialing-n.usableDescriptors())
}

// maxTransientExcess is how many connections may be held beyond the bound until the loop's next round.
const maxTransientExcess = 8

// mayAccept reports whether a further connection may be accepted before the loop's next round, in which others are closed
// for those that exceed the bound.
func (n *Node) mayAccept() bool { return n.excessClients() < maxTransientExcess }

// evict makes room for a connection that is being opened, so that descriptors are never used up. If all others are
// in use, or more than maxTransientExcess connections are held beyond the bound, it closes the new one, unread.
func (n *Node) evict(newest *clientConn) {
	if _, rank := n.chooseVictim(&newest.entry); rank == limit.RankNewest || n.excessClients() > maxTransientExcess {
		n.stats.Evicted[limit.RankNewest.String()]++
		newest.closeNow(evicted)
		return
	}
	n.exec(func() {
		n.evictOthers(newest)
	})
}

// evictOthers closes the connections that are least needed, but not the newest. It runs between two rounds of the
// loop: if data were read between the check of a connection and its close, it would be lost.
func (n *Node) evictOthers(newest *clientConn) {
	for n.excessClients() > 0 {
		entry, rank := n.chooseVictim(&newest.entry)
		if rank == limit.RankNewest {
			return // all others have come into use; while that lasts, each further connection is closed
		}
		n.stats.Evicted[rank.String()]++
		if rank != limit.RankClosing && entry.Owner.hasPendingData() {
			n.stats.EvictedInUse++
		}
		entry.Owner.closeNow(evicted)
	}
}

// chooseVictim returns the connection that is least needed, and its rank.
func (n *Node) chooseVictim(newest *limit.Entry[*clientConn]) (*limit.Entry[*clientConn], limit.Rank) {
	return n.clientTable.Victim(time.Now(), newest, func(entry *limit.Entry[*clientConn]) bool {
		unread := entry.Owner.hasPendingData()
		if unread {
			n.stats.NotClosed++
		}
		return unread
	})
}

// closeIdleClients closes the connections that are between requests, and reports whether none is left.
func (n *Node) closeIdleClients() bool {
	for _, stage := range [...]limit.Stage{limit.Silent, limit.Idle} {
		for entry := n.clientTable.Oldest(stage); entry != nil; entry = n.clientTable.Oldest(stage) {
			if !entry.Owner.closeIfUnused(closedInDrain) {
				return false // its request is read next
			}
		}
	}
	return true
}

// checkClients closes the connections whose time limit is over, and the longest idle ones if there are too many.
func (n *Node) checkClients(now time.Time) {
	n.closeOverdue(now)
	for entry := n.clientTable.SurplusIdle(now); entry != nil && !n.draining && entry.Owner.closeIfUnused(closedIdle); entry = n.clientTable.SurplusIdle(now) {
		n.stats.ClosedIdle++
	}
	n.checkFlushing(now)
}

// closeOverdue closes the connections whose time limit is over.
func (n *Node) closeOverdue(now time.Time) {
	for entry := n.clientTable.Overdue(now); entry != nil; entry = n.clientTable.Overdue(now) {
		switch c := entry.Owner; {
		case entry.Stage() == limit.Closing:
			c.drop(closedAfterAnswer)
		case c.parser.Idle():
			if !c.closeIfUnused(closedSilent) {
				return // its request is read next
			}
			n.stats.ClosedSilent++
		default:
			c.reject(http.StatusRequestTimeout, "time-out: the request is incomplete", true)
		}
	}
}

// checkFlushing ends the connections whose last answer has been written, or whose answers take too long.
func (n *Node) checkFlushing(now time.Time) {
	for c, f := range n.flushing {
		switch {
		case c.conn.Buffered() == 0:
			delete(n.flushing, c)
			if c.ending {
				c.closeGracefully()
			}
		case !now.Before(f.until):
			n.stats.ClosedUnread++
			c.drop(closedForUnreadAnswers)
		}
	}
}
