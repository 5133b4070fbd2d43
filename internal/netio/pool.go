package netio

import (
	"slices"
	"time"

	"eiderwinch/internal/format/frame"
	"eiderwinch/internal/gatherer"
	"eiderwinch/internal/timerqueue"
)

const (
	idleMargin       = 2 * time.Second // idle connections are closed this long before the searcher would close them
	halfOpenMultiple = 8               // a connection counts as half-open after this multiple of the typical latency without data
	latencyWeight    = 0.05            // weight of one call in the typical latency
	maxAbandoned     = 256             // abandoned parts without an answer; a connection that has this many takes no more calls
)

// pool holds the connections to the searchers. It implements gatherer.Searchers.
type pool struct {
	node                *Node
	searchers           map[string]*searcher
	connByAttempt       map[*gatherer.Attempt]*searcherConn // the connection of each attempt in flight
	provisional         map[*gatherer.Attempt]*searcherConn // the connection of each attempt whose answer is provisional
	connCount           int                                 // all connections, including those being dialed
	dialing             int                                 // connections being dialed, also those past their time limit until the dial has returned
	awaitingDescriptors []*searcher                         // searchers whose calls wait for descriptors, the longest waiting first
	timers              timerqueue.Queue[func(now time.Time)]
	maxUnsent           int           // bytes that the connections may hold together that the system has not accepted
	callBuffer          []byte        // for frames, which are copied where the system does not accept them at once
	typicalLatency      time.Duration // smoothed latency of answered attempts; 0 until the first answer
}

// timer is a timer of the pool. Its value is run when it is due.
type timer = timerqueue.Timer[func(now time.Time)]

func newPool(n *Node) *pool {
	return &pool{
		node: n, searchers: make(map[string]*searcher), connByAttempt: make(map[*gatherer.Attempt]*searcherConn),
		provisional: make(map[*gatherer.Attempt]*searcherConn),
	}
}

// searcher is the pool's state of one searcher.
type searcher struct {
	id, addr            string
	started             time.Time // last reported start of its process; zero: long ago
	conns               []*searcherConn
	queue               []*pendingCall // calls that wait for a connection
	awaitingDescriptors bool           // whether it is in pool.awaitingDescriptors
}

// pendingCall is a call that waits for a connection.
type pendingCall struct {
	attempts      []*gatherer.Attempt
	timer         timer // when the call is given up
	unreadAnswers rounds
}

// updateSearcher records a searcher's address and when its process started. Connections to a previous address are
// not used for new calls. Connections that were opened before the start led to a process that is gone, and are
// closed: the machine of that process may have failed without closing them. Parts in flight on them may have run.
func (p *pool) updateSearcher(now time.Time, id, addr string, started time.Time) {
	s := p.searchers[id]
	if s == nil {
		s = &searcher{id: id}
		p.searchers[id] = s
	}
	moved := addr != "" && addr != s.addr
	if moved {
		s.addr = addr
	}
	restarted := !started.IsZero() && !started.Equal(s.started) // the member filter passes on no older start; Unix times may go back
	if restarted {
		s.started = started
	}
	for _, c := range s.conns {
		switch {
		case restarted && c.conn != nil && c.openedAtWallClock(now).Before(started):
			p.node.stats.ConnsToRestartedSearcher++
			c.close()
		case moved:
			c.retired = c.retired || c.addr != addr
		}
	}
}

// resumeMoved sends the calls that waited for a connection to a searcher's previous address to its current one.
func (p *pool) resumeMoved(now time.Time, id string) {
	if s := p.searchers[id]; s != nil && len(s.queue) > 0 {
		p.resumeQueued(now, s)
	}
}

// Call implements gatherer.Searchers.
func (p *pool) Call(now time.Time, attempts []*gatherer.Attempt) {
	s := p.searchers[attempts[0].Searcher]
	if s == nil || s.addr == "" {
		for _, a := range attempts {
			p.node.core.NotSent(now, a)
		}
		return
	}
	call := &pendingCall{attempts: attempts}
	call.timer.Value = func(now time.Time) { s.failCall(p, now, call) }
	p.timers.Set(&call.timer, now.Add(p.node.connectWait()))
	s.queue = append(s.queue, call)
	p.sendQueued(time.Now(), s) // not now: the turn may have taken long
}

// sendQueued sends queued calls on the connections that have room for them, and opens connections for the rest.
func (p *pool) sendQueued(now time.Time, s *searcher) {
	for len(s.queue) > 0 {
		call := s.queue[0]
		if p.awaitsUnreadAnswer(now, call) {
			retry := &timer{Value: func(now time.Time) { p.sendQueued(now, s) }}
			p.timers.Set(retry, now.Add(unreadCheckInterval))
			break
		}
		p.dropBarred(now, call)
		if len(call.attempts) == 0 {
			s.dequeue(p, call)
			continue
		}
		c := s.pickConn(now, call.attempts, p.node.cfg.Multiplex, p.maxIdle())
		if c == nil {
			call.unreadAnswers = rounds{} // what is unread once there is a connection is another matter
			break
		}
		s.dequeue(p, call)
		c.sendCall(call.attempts)
	}
	p.dial(now, s)
}

// unreadCheckInterval is how long a call waits until it looks again whether unread data was read: a round of the loop.
const unreadCheckInterval = time.Millisecond

// awaitsUnreadAnswer reports whether a call has to wait because one of its parts may be answered by what was received and not
// read yet. It waits until all of that must have been read.
func (p *pool) awaitsUnreadAnswer(now time.Time, call *pendingCall) bool {
	unread := func(a *gatherer.Attempt) bool { return p.node.core.SendBar(now, a) == gatherer.AnswerUnread }
	return call.unreadAnswers.wait(p.node, slices.ContainsFunc(call.attempts, unread))
}

// dropBarred ends the attempts of a call that must not be sent any more. A call may have waited past its searcher's drain grace,
// or past the end of its parts.
func (p *pool) dropBarred(now time.Time, call *pendingCall) {
	var sendable []*gatherer.Attempt
	for _, a := range call.attempts {
		if bar := p.node.core.SendBar(now, a); bar == gatherer.SendAllowed || bar == gatherer.AnswerUnread {
			sendable = append(sendable, a)
		} else {
			p.node.core.NotSent(now, a)
		}
	}
	call.attempts = sendable
}

// resumeQueued sends queued calls. If an update from discovery has to be read first, it tries again after that.
func (p *pool) resumeQueued(now time.Time, s *searcher) {
	if len(s.queue) > 0 && p.node.deferForUpdates(now) {
		retry := &timer{Value: func(now time.Time) { p.resumeQueued(now, s) }}
		p.timers.Set(retry, now.Add(time.Millisecond)) // the loop's next round is over by then
		return
	}
	p.sendQueued(now, s)
}

// pickConn returns a connection with room for a call, or nil. It passes over connections that may still bring an
// answer to an earlier attempt of a part: frames carry only the part id, so that answer would be taken for the new
// attempt's. It also passes over connections that have received half a frame, and those that the searcher may be
// closing as idle or has ended: a frame that crosses the close is answered by a reset, and the part may have run.
func (s *searcher) pickConn(now time.Time, attempts []*gatherer.Attempt, multiplex int, maxIdle time.Duration) *searcherConn {
	for _, c := range s.conns {
		if len(c.inFlight) > 0 {
			c.checkHalfOpen(now, c.inFlight[0].sent)
		}
		if c.conn == nil || c.retired || c.halfOpen || c.frameTimer.IsSet() ||
			now.Sub(c.idleSince) >= maxIdle && len(c.inFlight) == 0 ||
			c.carried() > 0 && c.carried()+len(attempts) > multiplex ||
			c.answers.Abandoned() >= maxAbandoned || c.conn.Buffered() > 0 {
			continue
		}
		awaited := func(a *gatherer.Attempt) bool { return c.answers.MayAnswerAbandoned(a.PartID()) }
		if slices.ContainsFunc(attempts, awaited) {
			continue
		}
		if remoteClosed(c.conn.FD()) {
			c.pool.node.stats.SkippedClosed++ // the loop reads the end next
			continue
		}
		return c
	}
	return nil
}

// Abandon implements gatherer.Searchers.
func (p *pool) Abandon(a *gatherer.Attempt) {
	c := p.connByAttempt[a]
	if c == nil {
		return // it is still queued, and is dropped from the queue
	}
	now := time.Now()
	if c.isUnsent(a) {
		c.giveUpUnsentCall(now, p.node.core.CompletionBar(now, a))
		return
	}
	id, blocked := a.PartID(), c.full() || c.conn.Buffered() > 0
	c.checkHalfOpen(now, c.removeAttempt(a))
	c.answers.Abandon(id)
	c.abandoned[id] = a
	if blocked && a.MayRetry() {
		c.pool.node.stats.ClosedToAbandon++
		c.closedHere = true
		c.close()
		return
	}
	if blocked {
		c.unreadCancels[id] = true
	}
	c.write(frame.AppendCancel(nil, id))
}

// DataUnread implements gatherer.Searchers.
func (p *pool) DataUnread(a *gatherer.Attempt) bool {
	c := p.connByAttempt[a]
	if c == nil {
		c = p.connOfAbandoned(a)
	}
	return c != nil && c.conn != nil && pendingBytes(c.conn.FD()) > 0
}

// connOfAbandoned returns the connection on which an abandoned attempt may still be answered, or nil.
func (p *pool) connOfAbandoned(a *gatherer.Attempt) *searcherConn {
	s := p.searchers[a.Searcher]
	if s == nil {
		return nil
	}
	id := a.PartID()
	if i := slices.IndexFunc(s.conns, func(c *searcherConn) bool { return c.abandoned[id] == a }); i >= 0 {
		return s.conns[i]
	}
	return nil
}

// DataBehind implements gatherer.Searchers.
func (p *pool) DataBehind(a *gatherer.Attempt) bool {
	c := p.provisional[a]
	return c != nil && len(c.answers.Incomplete()) > 0
}

// provisionalUnread reports whether something was received behind a provisional answer that was not read yet.
func (p *pool) provisionalUnread() bool {
	for _, c := range p.provisional {
		if pendingBytes(c.conn.FD()) > 0 {
			return true
		}
	}
	return false
}

// recordLatency updates the typical latency by one answered attempt.
func (p *pool) recordLatency(took time.Duration) {
	if p.typicalLatency == 0 {
		p.typicalLatency = took
		return
	}
	p.typicalLatency += time.Duration(latencyWeight * float64(took-p.typicalLatency))
}

// silenceTimeout returns how long a connection may receive nothing while an attempt is in flight on it.
func (p *pool) silenceTimeout() time.Duration {
	if p.typicalLatency == 0 {
		return p.node.halfOpenAfter
	}
	return min(p.node.halfOpenAfter, max(halfOpenMultiple*p.typicalLatency, halfOpenMultiple*p.node.cfg.Gatherer.Tick))
}

// CloseIdle implements gatherer.Searchers. It closes only the idle connections that may be cut off, see
// checkHalfOpen. The aggregator calls for it because of slow calls to any searcher, whereas the pool knows the
// state of each connection. Where calls are few, nearly all of them use an idle connection: reopening it before
// each call would cost the searchers of a large fleet a handshake for every call.
func (p *pool) CloseIdle(searcher string) {
	if s := p.searchers[searcher]; s != nil {
		for _, c := range s.conns {
			if c.idle() && c.halfOpen {
				c.close()
			}
		}
	}
}

// nextDue returns when runTimers is to be called next; zero if no timer is set.
func (p *pool) nextDue() time.Time { return p.timers.Next() }

// runTimers runs the timers that are due.
func (p *pool) runTimers(now time.Time) {
	for t := p.timers.Pop(now); t != nil; t = p.timers.Pop(now) {
		t.Value(now)
	}
}

// dequeue removes a call from the queue.
func (s *searcher) dequeue(p *pool, call *pendingCall) {
	p.timers.Stop(&call.timer)
	s.queue = slices.DeleteFunc(s.queue, func(x *pendingCall) bool { return x == call })
}

// failCall ends a queued call that gets no connection. It has certainly not run.
func (s *searcher) failCall(p *pool, now time.Time, call *pendingCall) {
	s.dequeue(p, call)
	for _, a := range call.attempts {
		p.node.core.NotSent(now, a)
	}
}

// maxIdle returns how long a connection may be idle and still be used.
func (p *pool) maxIdle() time.Duration {
	return max(p.node.cfg.ConnIdle-idleMargin, p.node.cfg.ConnIdle/2)
}

// closeIdleConns closes idle connections before their searchers do, and removes unlisted searchers that have no
// connections and no calls.
func (p *pool) closeIdleConns(now time.Time) {
	longest := p.maxIdle()
	for id, s := range p.searchers {
		for _, c := range s.conns {
			if c.idle() && (c.retired || now.Sub(c.idleSince) >= longest) {
				p.node.stats.IdleClosed++
				c.close()
			}
		}
		if len(s.conns) == 0 && len(s.queue) == 0 && !p.node.core.Listed(id) {
			delete(p.searchers, id)
		}
	}
}
