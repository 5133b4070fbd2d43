package netio

import (
	"errors"
	"fmt"
	"strconv"
	"time"

	"eiderwinch"
	"eiderwinch/internal/follow"
	"eiderwinch/internal/format/catalog"
	"eiderwinch/internal/format/http1"
	"eiderwinch/internal/netio/eventloop"
)

const (
	listPath  = "/catalog/members"
	watchPath = listPath + "?watch=1&from="
	watchDial = time.Second

	// objectShare is the part of the memory limit (1/16) that one list may take, within
	// leastObject, which holds 1,024 searchers with long names, and mostObject.
	objectShare = 16
	leastObject = 1 << 20
	mostObject  = 16 << 20
)

var (
	errWatch  = errors.New("discovery has ended the watch")
	errNoList = errors.New("the answer holds no list")
)

// watch follows discovery's list of searchers at one address. Package follow says when it
// asks, and which of the asks counts; each has a connection of its own, a tap.
type watch struct {
	n        *Node
	addr     string
	follow   *follow.Follower
	taps     map[follow.Ask]*tap
	fresh    bool      // this address has told nothing yet: the whole list is asked for first
	revision int64     // of the last list or change
	fails    int       // asks that have failed since the last news
	last     string    // why the last one did; told once
	news     time.Time // when something came last
}

// tap is one ask of a watch.
type tap struct {
	w       *watch
	id      follow.Ask
	conn    *eventloop.Conn // nil while it is being dialed
	over    bool            // nothing of it counts any more
	fresh   bool            // the whole list is being read
	list    *catalog.Update // fresh: the list
	parser  http1.ResponseParser
	objects catalog.Objects
	headed  bool // the answer's head has come
	came    bool // something has come since
	whole   bool // news has
	spent   bool // the whole list was all that can come on this connection
}

// newWatch returns a watch of the list after a revision.
func newWatch(n *Node, addr string, revision int64) *watch {
	m, now := n.cfg.Gatherer.Module, time.Now()
	return &watch{
		n: n, addr: addr, revision: revision, taps: make(map[follow.Ask]*tap), news: now,
		follow: follow.New(follow.Settings{
			Pushed: !m.AskForList, Grace: n.cfg.DrainGrace, Within: m.AskWithin, Clients: m.Brokers, Seed: m.Seed,
		}, now),
	}
}

// run asks and gives up asks as it is time.
func (w *watch) run(now time.Time) {
	id, drop := w.follow.Run(now)
	w.drop(drop)
	if id == 0 {
		return
	}
	t := &tap{w: w, id: id, fresh: w.fresh}
	w.taps[id] = t
	w.n.stats.Watches++
	w.n.dial(w.addr, watchDial, t, t.Closed)
}

// objectMost bounds what one list may take.
func (n *Node) objectMost() int {
	return int(min(max(n.cfg.Memory/objectShare, leastObject), mostObject))
}

// drop gives up asks.
func (w *watch) drop(ids []follow.Ask) {
	for _, id := range ids {
		if t := w.taps[id]; t != nil {
			t.end()
			w.failed("nothing came in time")
		}
	}
}

// end takes a tap off its watch; its connection is closed later, on the loop.
func (t *tap) end() {
	t.over = true
	delete(t.w.taps, t.id)
	if t.conn != nil {
		t.conn.Close()
	}
}

// failed books an ask that has failed. Why is logged once, until it is another reason or
// news has come: discovery may be away for long, and is asked some times a second.
func (w *watch) failed(reason string) {
	w.fails++
	w.n.stats.WatchFails++
	if reason != w.last {
		w.last = reason
		w.n.log.Warn("discovery gave no news", "discovery", w.addr, "reason", reason, "revision", w.revision, "last_news", time.Since(w.news))
	}
}

// Opened implements eventloop.Handler.
func (t *tap) Opened(c *eventloop.Conn) {
	t.conn = c
	if t.over {
		c.Close()
		return
	}
	t.ask()
}

// ask asks for the whole list where this address has told nothing yet, else for the changes.
func (t *tap) ask() {
	t.parser, t.objects = http1.ResponseParser{}, catalog.Objects{Most: t.w.n.objectMost()}
	target := listPath
	if !t.fresh {
		target = watchPath + strconv.FormatInt(t.w.revision, 10)
	}
	_ = t.conn.Write(http1.AppendRequest(nil, "GET", target, t.w.addr))
}

// Traffic implements eventloop.Handler.
func (t *tap) Traffic(b []byte) {
	if t.over {
		return
	}
	now := time.Now()
	r, err := t.parser.Feed(b, func(b []byte) error { return t.body(now, b) })
	switch {
	case t.over: // what came has had another take its place
		return
	case err == nil && r != nil && r.Status != 200:
		err = fmt.Errorf("%w: status %d, want 200", errWatch, r.Status)
	case err == nil && t.fresh && (t.parser.Done() || t.parser.Endless() && t.list != nil): // an object is whole without an end behind it
		err = t.listed(now)
	case err == nil && t.parser.Done():
		err = errWatch
	}
	switch {
	case err != nil:
		t.fail(err)
	case t.whole, t.came && !t.objects.Inside(): // an object that does not end is no sign of life
		t.whole, t.came = false, false
		t.w.brought(now, t)
		if t.spent {
			t.w.follow.Lost(t.id, now)
			t.end()
		}
	case r != nil && !t.headed:
		t.headed = true
		t.w.follow.Heard(t.id, now)
	}
}

// body takes in a piece of an answer's body.
func (t *tap) body(now time.Time, b []byte) error {
	t.came = t.came || !t.fresh
	return t.objects.Feed(b, func(text []byte) error {
		u, err := catalog.Parse(text)
		if err != nil {
			// It is not served half; but what it says of searchers that leave only makes careful.
			t.w.n.stats.ListsBad++
			t.w.n.apply(now, eiderwinch.Changes, t.w.addr, u.Leaving())
			return err
		}
		if t.fresh {
			t.list = &u
			return nil
		}
		kind := eiderwinch.Changes
		if u.Complete {
			kind = eiderwinch.Whole
		}
		t.whole, t.w.revision = true, u.Revision
		t.w.n.apply(now, kind, t.w.addr, u)
		return nil
	})
}

// listed takes in the whole list, and goes on with the changes to it.
func (t *tap) listed(now time.Time) error {
	if t.list == nil {
		return errNoList
	}
	w, u := t.w, *t.list
	w.fresh, w.revision = false, u.Revision
	w.n.succeed(w)
	w.n.apply(now, eiderwinch.Whole, w.addr, u)
	t.fresh, t.headed, t.whole, t.spent = false, false, true, t.parser.Endless()
	if !t.spent {
		t.ask()
	}
	return nil
}

// brought books that a tap has brought news, or the empty line that says there is none.
func (w *watch) brought(now time.Time, t *tap) {
	for _, id := range w.follow.Brought(t.id, now) {
		if other := w.taps[id]; other != nil {
			other.end()
		}
	}
	if w.last != "" {
		w.n.log.Info("discovery gives news again", "discovery", w.addr, "away", now.Sub(w.news), "fails", w.fails, "revision", w.revision)
	}
	w.fails, w.last, w.news = 0, "", now
	w.n.core.Believe(now)
}

// fail ends an ask for what it has brought.
func (t *tap) fail(err error) {
	if t.over {
		return
	}
	t.w.follow.Lost(t.id, time.Now())
	t.end()
	t.w.failed(err.Error())
}

// Closed implements eventloop.Handler; it is told dials that failed as well.
func (t *tap) Closed(err error) {
	if err == nil {
		err = errWatch
	}
	t.conn = nil
	t.fail(err)
}

// retire ends a watch whose place another has taken.
func (w *watch) retire() {
	for _, t := range w.taps {
		t.end()
	}
}

// follow turns to discovery at another address, as a new configuration names
// it. The watch in use goes on until the new one has brought a list, so that no
// news is missed. Revisions of two addresses need not compare, not even 0: what
// is asked from there holds changes only. So the whole list is asked for first.
func (n *Node) follow(addr string) {
	wanted := n.watch
	if n.next != nil {
		wanted = n.next
	}
	if wanted.addr == addr {
		return
	}
	if n.next != nil {
		n.next.retire()
		n.next = nil
	}
	if addr == n.watch.addr { // back again before the other has brought a list
		return
	}
	n.log.Info("discovery moves", "from", wanted.addr, "to", addr)
	n.next = newWatch(n, addr, 0)
	n.next.fresh = true
	n.next.run(time.Now())
}

// succeed puts a watch that has brought its first list in the place of the one before.
func (n *Node) succeed(w *watch) {
	if w == n.next {
		n.log.Info("discovery moved", "to", w.addr, "revision", w.revision, "before", n.watch.revision)
		n.watch.retire()
		n.watch, n.next = w, nil
	}
}
