package netio

import (
	"errors"
	"fmt"
	"log/slog"
	"slices"
	"time"

	"eiderwinch"
	"eiderwinch/internal/due"
	"eiderwinch/internal/format/frame"
	"eiderwinch/internal/gatherer"
	"eiderwinch/internal/netio/eventloop"
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

// link is one connection to a searcher.
type link struct {
	pool      *pool
	peer      *peer
	addr      string
	conn      *eventloop.Conn // nil while it is being dialed
	dialed    timer           // being dialed: when that is given up
	shut      bool            // not to be used any more
	spoilt    bool            // it carried what can't be used, and is being closed
	parser    frame.Parser
	out       []flight
	up        time.Time       // when it came up
	blocked   map[string]bool // of the given-up parts: those whose frame that says so waits unread
	abandoned map[string]bool // ids of given-up parts that may still be answered
	given     uint64          // bytes given to the connection
	idle      time.Time       // when nothing was out here last
	heard     time.Time       // when anything came last
	frame     timer           // set while a frame is coming: when it must have ended
	last      string          // the id that was answered last
	halfOpen  bool            // it may be cut off: see quiet
}

// flight is an attempt that is out on a connection.
type flight struct {
	id      string
	attempt *gatherer.Attempt
	sent    time.Time
	begin   uint64 // its first byte is behind so many
	end     uint64 // it has left once so many bytes have
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

// upSince is when the connection came up, by the wall clock as it reads now.
func (l *link) upSince(now time.Time) time.Time { return now.Round(0).Add(-now.Sub(l.up)) }

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

// full tells that a connection carries as many parts as it may. What is written on it then waits unread,
// also the frame that gives a part up, as it does where the system takes no more: until an answer has come,
// only closing the connection gives a part up.
func (l *link) full() bool { return len(l.out)+len(l.blocked) >= l.pool.n.cfg.Multiplex }

// readOn books, when an answer has come, that the searcher has read all there is, if it has room again.
func (l *link) readOn() {
	if !l.full() {
		clear(l.blocked)
	}
}

// quiet marks a connection as half-open on which nothing has come for far longer than calls take, though an attempt
// has been out on it since then: it may be cut off. TCP does not tell, and what is sent there hangs until its
// query ends. It gets nothing new until something comes on it again. The next call opens another, which a
// searcher that is cut off does not take: then the call surely has not run, and can go elsewhere.
func (l *link) quiet(now, sent time.Time) {
	since := l.heard
	if since.Before(sent) {
		since = sent
	}
	if !l.halfOpen && now.Sub(since) >= l.pool.patience() {
		l.halfOpen = true
		l.pool.n.stats.HalfOpen++
	}
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

// Opened implements eventloop.Handler.
func (l *link) Opened(c *eventloop.Conn) {
	now := time.Now()
	l.conn, l.idle, l.up = c, now, now
	l.pool.dialing--
	l.pool.timers.Stop(&l.dialed)
	l.pool.n.stats.Dialed++
	if l.shut {
		l.close()
		return
	}
	l.pool.resume(now, l.peer)
	l.pool.freed(now)
}

// failed tells that the connection did not come up.
func (l *link) failed(err error) {
	p, now := l.pool, time.Now()
	p.n.log.Debug("searcher not reached", "searcher", l.peer.id, "addr", l.addr, "calls", len(l.peer.queue), "err", err)
	p.n.stats.DialFails++
	p.dialing--
	l.forget()
	defer p.freed(now)
	for _, other := range l.peer.links {
		if !other.shut {
			return // the calls can still go there
		}
	}
	for len(l.peer.queue) > 0 {
		l.peer.giveUp(p, now, l.peer.queue[0])
	}
}

func (l *link) forget() {
	l.shut = true
	l.pool.timers.Stop(&l.dialed)
	l.pool.timers.Stop(&l.frame)
	l.pool.links--
	l.peer.links = slices.DeleteFunc(l.peer.links, func(x *link) bool { return x == l })
}

// send writes a call as one frame.
func (l *link) send(attempts []*gatherer.Attempt) {
	now := time.Now() // what they tell the searcher is what is left to their clients
	parts := make([]frame.Part, len(attempts))
	for i, a := range attempts {
		parts[i] = frame.Part{ID: a.PartID(), Shard: a.Shard, Text: a.Text, List: frame.List{
			Wait: a.Deadline.Sub(now), Key: a.Key, From: a.From, Whole: a.Whole,
		}}
	}
	b := frame.AppendCall(nil, parts)
	for i, a := range attempts {
		l.out = append(l.out, flight{id: parts[i].ID, attempt: a, sent: now, begin: l.given, end: l.given + uint64(len(b))})
		l.pool.flights[a] = l
	}
	if n := l.pool.n; l.write(b) && n.log.Enabled(n.ctx, slog.LevelDebug) {
		for i, a := range attempts {
			n.log.Debug("part left", "part", parts[i].ID, "searcher", l.peer.id, "waited", now.Sub(a.Decided()),
				"buffered", l.conn.Buffered(), "last_news", now.Sub(n.watch.news))
		}
	}
}

// write gives a frame to the connection. Where it fails, Closed has been called before
// it returns, and none of the frame counts as given.
func (l *link) write(b []byte) bool {
	err := l.conn.Write(b)
	if err == nil {
		l.given += uint64(len(b))
	}
	return err == nil
}

// land takes an attempt off the connection and returns when it was sent.
func (l *link) land(a *gatherer.Attempt) (sent time.Time) {
	delete(l.pool.flights, a)
	i := slices.IndexFunc(l.out, func(f flight) bool { return f.attempt == a })
	sent = l.out[i].sent
	l.out = slices.Delete(l.out, i, i+1)
	if len(l.out) == 0 {
		l.idle = time.Now()
	}
	return sent
}

// close closes the connection; closed is called later, on the loop.
func (l *link) close() {
	l.shut = true
	l.conn.Close()
}

// Traffic implements eventloop.Handler.
func (l *link) Traffic(b []byte) {
	if l.spoilt {
		return // it is being closed
	}
	now := time.Now()
	l.heard, l.halfOpen = now, false
	l.parser.Feed(b)
	for {
		f, ok, err := l.parser.Next()
		if err == nil && ok {
			l.pool.timers.Stop(&l.frame)
			err = l.take(now, f)
		}
		if err != nil {
			l.spoil("bad frame", err)
			return
		}
		if !ok {
			break
		}
	}
	if l.parser.Buffered() > 0 && !l.frame.Set() {
		l.pool.timers.Set(&l.frame, now.Add(l.pool.n.cfg.ConnectTimeout))
	}
	l.pool.resume(now, l.peer)
	if len(l.out) == 0 {
		l.pool.freed(now) // it can be closed for others
	}
}

// spoil gives up a connection that carried what can't be read, was not asked
// for or does not end: what is out on it would wait in vain for its time-out.
// Its attempts end as those of a broken connection. What has been answered on it
// before stays answered.
func (l *link) spoil(what string, detail any) {
	if l.spoilt {
		return
	}
	l.pool.n.stats.Spoilt++
	l.pool.n.log.Warn(what, "searcher", l.peer.id, "parts", len(l.out), "detail", detail)
	l.spoilt = true
	l.pool.timers.Stop(&l.frame)
	l.close()
}

// take takes in one frame.
func (l *link) take(now time.Time, f frame.Frame) error {
	switch f.Letter {
	case frame.Answer:
	case frame.Error:
		return fmt.Errorf("%w: %.80q", errUnused, f.Rest)
	default:
		return l.unasked(f.Letter)
	}
	r, err := frame.ParseAnswer(f.Rest)
	if err != nil {
		return err
	}
	i := slices.IndexFunc(l.out, func(f flight) bool { return f.id == r.ID })
	if delete(l.blocked, r.ID); i < 0 {
		l.readOn()
		if l.abandoned[r.ID] || r.ID == l.last {
			delete(l.abandoned, r.ID) // nobody waits for it any more, or it is a second copy
			return nil
		}
		return l.unasked(f.Letter)
	}
	a := l.out[i].attempt
	if took := now.Sub(l.land(a)); l.pool.usual == 0 {
		l.pool.usual = took
	} else {
		l.pool.usual += time.Duration(halfOpenLearn * float64(took-l.pool.usual))
	}
	l.readOn()
	l.last = r.ID
	switch {
	case r.Report.Given:
		l.pool.n.stats.Reports++
		a.Load = &eiderwinch.Load{Waiting: r.Report.Waiting}
	case r.Report.Spoilt:
		l.pool.n.stats.ReportsBad++
	}
	l.pool.n.core.Result(now, a, statuses[r.End], r.Score, r.Value)
	return nil
}

// unasked judges a frame that nothing has asked for. It stands in the place of
// an answer that is out, if any is; else it is more than belongs to an answer.
func (l *link) unasked(letter byte) error {
	if len(l.out) > 0 {
		return fmt.Errorf("%w: letter %q", errUnasked, letter)
	}
	return nil
}

var (
	errUnused  = errors.New("the searcher could not use a frame")
	errUnasked = errors.New("a frame that was not asked for")
)

var statuses = map[frame.End]eiderwinch.Status{
	frame.Served: eiderwinch.OK, frame.Broke: eiderwinch.Failed, frame.Skipped: eiderwinch.Full,
}

// Closed implements eventloop.Handler. What the connection still holds has not left, and is dropped with it.
func (l *link) Closed(reason error) {
	now := time.Now()
	if len(l.out) > 0 {
		l.pool.n.log.Debug("connection to a searcher closed with parts out", "searcher", l.peer.id, "parts", len(l.out),
			"buffered", l.conn.Buffered(), "reason", reason)
	}
	left := l.given - uint64(l.conn.Buffered())
	out := l.out
	if !l.shut {
		l.pool.n.stats.Left++
		if len(out) > 0 {
			l.pool.n.stats.LeftOut++
		}
	}
	l.out = nil
	l.forget()
	for _, f := range out {
		delete(l.pool.flights, f.attempt)
		if f.end <= left {
			l.pool.n.core.Broken(now, f.attempt)
		} else {
			l.pool.n.core.Unsent(now, f.attempt)
		}
	}
	l.pool.resume(now, l.peer)
	l.pool.freed(now)
}
