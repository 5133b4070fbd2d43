package netio

import (
	"errors"
	"fmt"
	"log/slog"
	"slices"
	"time"

	"eiderwinch"
	"eiderwinch/internal/format/frame"
	"eiderwinch/internal/gatherer"
	"eiderwinch/internal/netio/eventloop"
)

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

// upSince is when the connection came up, by the wall clock as it reads now.
func (l *link) upSince(now time.Time) time.Time { return now.Round(0).Add(-now.Sub(l.up)) }

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
