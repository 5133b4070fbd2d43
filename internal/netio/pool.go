package netio

import (
	"slices"
	"time"

	"eiderwinch/internal/due"
	"eiderwinch/internal/format/frame"
	"eiderwinch/internal/gatherer"
)

const (
	idleMargin    = 2 * time.Second // idle connections are closed so long before the searcher does
	halfOpenTimes = 8               // a connection is taken for half-open when nothing comes for so many usual times of calls
	halfOpenLearn = 0.05            // weight of one call in their usual time
	maxAbandoned  = 256             // given-up parts without an answer; then a connection is not used again
)

// pool holds the connections to the searchers. It implements gatherer.Searchers.
type pool struct {
	n       *Node
	peers   map[string]*peer
	flights map[*gatherer.Attempt]*link // where attempts were written
	links   int                         // all connections, those being dialed included
	dialing int                         // those being dialed, or given up and not heard of since
	short   []*peer                     // those whose calls wait for descriptors, the one that has waited for longest first
	timers  due.Queue[func(now time.Time)]
	usual   time.Duration // of calls that were answered; 0 while none was
}

// timer is one of the pool's; it does what is due.
type timer = due.Timer[func(now time.Time)]

func newPool(n *Node) *pool {
	return &pool{n: n, peers: make(map[string]*peer), flights: make(map[*gatherer.Attempt]*link)}
}

// peer is one searcher.
type peer struct {
	id, addr string
	started  time.Time // its last start, as told; zero means long ago
	links    []*link
	queue    []*waiting // calls that wait for a connection
	short    bool       // it is among pool.short
}

// waiting is a call that waits for a connection.
type waiting struct {
	attempts []*gatherer.Attempt
	timer    timer // when it is given up
}

// locate books a searcher's address, and when its process started. Connections to another address
// are not used for new calls. Those that were up before the start led to a process that is gone: they
// are closed, though its machine may have gone without a word, and what is out on them may have run.
func (p *pool) locate(now time.Time, id, addr string, started time.Time) {
	at := p.peers[id]
	if at == nil {
		at = &peer{id: id}
		p.peers[id] = at
	}
	moved := addr != "" && addr != at.addr
	if moved {
		at.addr = addr
	}
	fresh := !started.IsZero() && !started.Equal(at.started) // the roster lets no older one through; Unix times may go back
	if fresh {
		at.started = started
	}
	for _, l := range at.links {
		switch {
		case fresh && l.conn != nil && l.upSince(now).Before(started):
			p.n.stats.Outlived++
			l.close()
		case moved:
			l.shut = l.shut || l.addr != addr
		}
	}
}

// relocated has calls go on that waited for a connection to where a searcher was before.
func (p *pool) relocated(now time.Time, id string) {
	if at := p.peers[id]; at != nil && len(at.queue) > 0 {
		p.resume(now, at)
	}
}

// Call implements gatherer.Searchers.
func (p *pool) Call(now time.Time, attempts []*gatherer.Attempt) {
	at := p.peers[attempts[0].Searcher]
	if at == nil || at.addr == "" {
		for _, a := range attempts {
			p.n.core.Unsent(now, a)
		}
		return
	}
	w := &waiting{attempts: attempts}
	w.timer.Value = func(now time.Time) { at.giveUp(p, now, w) }
	p.timers.Set(&w.timer, now.Add(p.n.connectWait()))
	at.queue = append(at.queue, w)
	p.pump(time.Now(), at) // the turn may have taken its time
}

// pump writes the calls that wait for a connection, as far as there are any,
// and dials for the rest.
func (p *pool) pump(now time.Time, at *peer) {
	for len(at.queue) > 0 {
		w := at.queue[0]
		var still []*gatherer.Attempt
		for _, a := range w.attempts {
			// A call may have waited past its searcher's drain grace, or its end.
			if p.n.core.MaySend(now, a) {
				still = append(still, a)
			} else {
				p.n.core.Unsent(now, a)
			}
		}
		w.attempts = still
		if len(still) > 0 {
			l := at.pick(now, still, p.n.cfg.Multiplex, p.longestIdle())
			if l == nil {
				break
			}
			at.drop(p, w)
			l.send(still)
			continue
		}
		at.drop(p, w)
	}
	p.dial(now, at)
}

// resume pumps for calls that have waited, unless there is news to be read first.
func (p *pool) resume(now time.Time, at *peer) {
	if len(at.queue) > 0 && p.n.behind(now) {
		again := &timer{Value: func(now time.Time) { p.resume(now, at) }}
		p.timers.Set(again, now.Add(time.Millisecond)) // the loop's next round is over by then
		return
	}
	p.pump(now, at)
}

// leave ends what has not left for a searcher that is told to be leaving: calls that wait for a
// connection, and frames of which the connection's buffer still holds the first byte. Those have
// surely not run; what else is out on such a connection may have.
func (p *pool) leave(now time.Time, id string) {
	at := p.peers[id]
	if at == nil {
		return
	}
	p.pump(now, at)
	for _, l := range at.links {
		if l.conn == nil {
			continue
		}
		left := l.given - uint64(l.conn.Buffered())
		if slices.ContainsFunc(l.out, func(f flight) bool { return f.begin >= left }) {
			p.n.stats.HeldBack++
			l.conn.Mute() // the loop could write once more before it closes
			l.close()
		}
	}
}

// pick returns a connection with room for a call. One that still may bring an
// answer to an earlier attempt of a part has none: the frames bear the part's
// id only, so that answer would be taken for the new attempt's. Nor has one on
// which half a frame lies, or one that its searcher may be closing as idle or has
// ended: what crosses that is a reset, which may have run.
func (at *peer) pick(now time.Time, attempts []*gatherer.Attempt, multiplex int, idle time.Duration) *link {
	for _, l := range at.links {
		if len(l.out) > 0 {
			l.quiet(now, l.out[0].sent)
		}
		if l.conn == nil || l.shut || l.halfOpen || l.frame.Set() || now.Sub(l.idle) >= idle && len(l.out) == 0 || len(l.out)+len(l.blocked) > 0 && len(l.out)+len(l.blocked)+len(attempts) > multiplex ||
			len(l.abandoned) >= maxAbandoned || l.conn.Buffered() > 0 {
			continue
		}
		awaited := func(a *gatherer.Attempt) bool { return l.abandoned[a.PartID()] }
		if slices.ContainsFunc(attempts, awaited) {
			continue
		}
		if peerClosed(l.conn.Fd()) {
			l.pool.n.stats.EndUnread++ // the loop reads it next
			continue
		}
		return l
	}
	return nil
}

// dial opens connections for the calls that wait, as far as descriptors allow. Each takes two
// from when it comes up until the loop has taken it over, which may be busy meanwhile, so each
// that is being dialed counts as two.
func (p *pool) dial(now time.Time, at *peer) {
	room := 0
	for _, l := range at.links {
		if l.conn == nil && !l.shut {
			room += p.n.cfg.Multiplex
		}
	}
	want := 0
	for _, w := range at.queue {
		want += min(len(w.attempts), p.n.cfg.Multiplex) // a call travels whole: what is beyond that waits unread
	}
	for ; want > room; room += p.n.cfg.Multiplex {
		if p.links+p.dialing+2 > p.most() {
			if !at.short {
				at.short = true
				p.short = append(p.short, at)
			}
			if p.links+2 > p.most() { // else those that are being dialed take less once they are up
				p.dropIdlest()
			}
			return
		}
		l := &link{
			pool: p, peer: at, addr: at.addr, abandoned: make(map[string]bool), blocked: make(map[string]bool),
		}
		l.dialed.Value = func(time.Time) { l.shut = true } // its dialer gives up by itself
		l.frame.Value = func(time.Time) { l.spoil("frame that does not end", l.parser.Buffered()) }
		p.timers.Set(&l.dialed, now.Add(p.n.cfg.ConnectTimeout))
		if slices.ContainsFunc(at.links, func(l *link) bool { return l.conn != nil && !l.shut }) {
			p.n.stats.Beside++
		}
		at.links = append(at.links, l)
		p.links++
		p.dialing++
		p.n.dial(at.addr, p.n.cfg.ConnectTimeout, l, l.failed)
	}
}

// most is how many descriptors connections to searchers may take, those that are being dialed twice: half, as
// far as clients leave them, and a quarter in any case. A gatherer calls hundreds of searchers, and one without
// a connection has to be opened for each call.
func (p *pool) most() int {
	all := p.n.cfg.Sockets - spare
	return max(all/4, min(all/2, p.n.usable()-p.n.table.Held()))
}

// freed has calls go on that wait for descriptors, when there may be some, or a connection that can be closed for them.
func (p *pool) freed(now time.Time) {
	for range len(p.short) {
		at := p.short[0]
		p.short, at.short = p.short[1:], false
		p.resume(now, at)
		if at.short { // nor is there room for those behind it: it stays before them
			p.short = slices.Insert(p.short[:len(p.short)-1], 0, at)
			return
		}
	}
}

// dropIdlest closes the connection that has been idle for longest. That is
// done later in the loop; the calls wait for it, see freed.
func (p *pool) dropIdlest() {
	var idlest *link
	for _, at := range p.peers {
		for _, l := range at.links {
			if l.conn != nil && !l.shut && len(l.out) == 0 && (idlest == nil || l.idle.Before(idlest.idle)) {
				idlest = l
			}
		}
	}
	if idlest != nil {
		idlest.close()
	}
}

// Abandon implements gatherer.Searchers.
func (p *pool) Abandon(a *gatherer.Attempt) {
	l := p.flights[a]
	if l == nil {
		return // it waits for a connection, and is dropped there
	}
	id, full := a.PartID(), l.full() || l.conn.Buffered() > 0
	l.quiet(time.Now(), l.land(a))
	if full && a.MayGoAgain() {
		l.pool.n.stats.GivenUp++
		l.close()
		return
	}
	if full {
		l.blocked[id] = true
	}
	l.abandoned[id] = true
	l.write(frame.AppendCancel(nil, id))
}

// patience is how long a connection may bring nothing while something is out on it.
func (p *pool) patience() time.Duration {
	if p.usual == 0 {
		return p.n.halfOpenAfter
	}
	return min(p.n.halfOpenAfter, max(halfOpenTimes*p.usual, halfOpenTimes*p.n.cfg.Gatherer.Tick))
}

// CloseIdle implements gatherer.Searchers. It closes those that may be cut off, see
// quiet. The aggregator judges connections by calls that took too long at any
// searcher; what is known here is each connection's own. Where calls are few, nearly
// all come on an idle one: to open that again before each costs a large fleet's
// searchers a handshake for every call.
func (p *pool) CloseIdle(searcher string) {
	if at := p.peers[searcher]; at != nil {
		for _, l := range at.links {
			if l.conn != nil && len(l.out) == 0 && l.halfOpen {
				l.close()
			}
		}
	}
}

// due is when expire is wanted next; zero if nothing is due.
func (p *pool) due() time.Time { return p.timers.Next() }

// expire gives up what has waited too long.
func (p *pool) expire(now time.Time) {
	for t := p.timers.Pop(now); t != nil; t = p.timers.Pop(now) {
		t.Value(now)
	}
}

// drop takes a call out of the queue.
func (at *peer) drop(p *pool, w *waiting) {
	p.timers.Stop(&w.timer)
	at.queue = slices.DeleteFunc(at.queue, func(x *waiting) bool { return x == w })
}

// giveUp ends a call that waited in vain: it surely has not run.
func (at *peer) giveUp(p *pool, now time.Time, w *waiting) {
	at.drop(p, w)
	for _, a := range w.attempts {
		p.n.core.Unsent(now, a)
	}
}

// longestIdle is how long a connection may be idle and yet be used.
func (p *pool) longestIdle() time.Duration {
	return max(p.n.cfg.ConnIdle-idleMargin, p.n.cfg.ConnIdle/2)
}

// closeIdle closes the connections that are idle, before the searchers do.
func (p *pool) closeIdle(now time.Time) {
	longest := p.longestIdle()
	for id, at := range p.peers {
		for _, l := range at.links {
			if l.conn != nil && len(l.out) == 0 && (l.shut || now.Sub(l.idle) >= longest) {
				p.n.stats.IdleClosed++
				l.close()
			}
		}
		if len(at.links) == 0 && len(at.queue) == 0 && !p.n.core.Listed(id) {
			delete(p.peers, id)
		}
	}
}
