package netio

import (
	"slices"
	"time"

	"eiderwinch/internal/answerstream"
	"eiderwinch/internal/gatherer"
)

// dial opens connections for queued calls while there are descriptors for them. A connection takes two descriptors from
// the time it is up until the loop has taken it over, and the loop may be busy in between, so each connection
// being dialed counts as two.
func (p *pool) dial(now time.Time, s *searcher) {
	room := 0
	for _, c := range s.conns {
		if c.conn == nil && !c.retired {
			room += p.node.cfg.Multiplex
		}
	}
	wanted := 0
	for _, call := range s.queue {
		// A call is sent whole: parts beyond the limit wait unread on its connection.
		wanted += min(len(call.attempts), p.node.cfg.Multiplex)
	}
	for ; wanted > room; room += p.node.cfg.Multiplex {
		if p.connCount+p.dialing+2 > p.descriptorLimit() {
			if !s.awaitingDescriptors {
				s.awaitingDescriptors = true
				p.awaitingDescriptors = append(p.awaitingDescriptors, s)
			}
			if p.connCount+2 > p.descriptorLimit() { // otherwise the connections being dialed free descriptors once they are up
				p.closeLongestIdle()
			}
			return
		}
		c := &searcherConn{
			pool: p, searcher: s, addr: s.addr, answers: answerstream.New(), abandoned: make(map[string]*gatherer.Attempt), unreadCancels: make(map[string]bool),
		}
		c.dialTimer.Value = func(time.Time) { c.retired = true } // the dial itself has the same time limit
		c.frameTimer.Value = func(time.Time) { c.closeIncomplete() }
		c.unsentTimer.Value = func(now time.Time) { c.checkUnsentCall(now) }
		p.timers.Set(&c.dialTimer, now.Add(p.node.cfg.ConnectTimeout))
		if slices.ContainsFunc(s.conns, func(c *searcherConn) bool { return c.conn != nil && !c.retired }) {
			p.node.stats.ParallelDials++
		}
		s.conns = append(s.conns, c)
		p.connCount++
		p.dialing++
		p.node.dial(s.addr, p.node.cfg.ConnectTimeout, c, c.dialFailed)
	}
}

// descriptorLimit returns how many descriptors connections to searchers may take, where those being dialed count
// twice. It is half of the available ones, or what clients leave of usableDescriptors if that is less, but never less
// than a quarter: a gatherer calls hundreds of searchers, and has to open a connection for each call to a searcher that
// has none.
func (p *pool) descriptorLimit() int {
	usable := p.node.cfg.MaxDescriptors - reservedDescriptors
	return max(usable/4, min(usable/2, p.node.usableDescriptors()-p.node.clientTable.Len()))
}

// descriptorsFreed sends calls that wait for descriptors. It is called when there may be free descriptors, or a
// connection that can be closed to free them.
func (p *pool) descriptorsFreed(now time.Time) {
	for range len(p.awaitingDescriptors) {
		s := p.awaitingDescriptors[0]
		p.awaitingDescriptors, s.awaitingDescriptors = p.awaitingDescriptors[1:], false
		p.resumeQueued(now, s)
		if s.awaitingDescriptors { // there is no room for those behind it either: it stays in front of them
			p.awaitingDescriptors = slices.Insert(p.awaitingDescriptors[:len(p.awaitingDescriptors)-1], 0, s)
			return
		}
	}
}

// closeLongestIdle closes the connection that has been idle for longest. The close happens later on the loop; the
// calls wait for it, see descriptorsFreed.
func (p *pool) closeLongestIdle() {
	var longestIdle *searcherConn
	for _, s := range p.searchers {
		for _, c := range s.conns {
			if c.idle() && !c.retired && (longestIdle == nil || c.idleSince.Before(longestIdle.idleSince)) {
				longestIdle = c
			}
		}
	}
	if longestIdle != nil {
		longestIdle.close()
	}
}
