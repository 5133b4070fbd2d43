package netio

import (
	"errors"
	"fmt"
	"strconv"
	"time"

	"github.com/panjf2000/gnet/v2"

	"eiderwinch"
	"eiderwinch/internal/backoff"
	"eiderwinch/internal/format/catalog"
	"eiderwinch/internal/format/http1"
)

const (
	listPath  = "/catalog/members"
	watchPath = listPath + "?watch=1&from="
	watchDial = time.Second
	// An empty line comes every 2 s, and news counts as told 6 s late at the latest,
	// whether it came or not: a watch that hangs must be opened again twice by then.
	watchSilent  = 2500 * time.Millisecond
	watchBackoff = 100 * time.Millisecond // to a new address, while the old one is about to end
)

var (
	errList  = errors.New("the list is too long")
	errWatch = errors.New("discovery has ended the watch")
)

// watch follows discovery's list of searchers.
type watch struct {
	n        *Node
	addr     string
	fresh    bool          // this address has told nothing yet: the whole list is asked for first
	list     []byte        // fresh: what has come of it
	retired  bool          // another has taken its place
	silence  time.Duration // after which it is taken to be dead
	revision int64         // of the last list or change
	conn     gnet.Conn
	dialing  bool
	parser   http1.ResponseParser
	lines    catalog.Lines
	heard    time.Time
	again    time.Time // when to open it next
	backoff  *backoff.Backoff
}

// newWatch returns a watch of the list after a revision.
func newWatch(n *Node, addr string, revision int64, silence time.Duration) *watch {
	m := n.cfg.Gatherer.Module
	return &watch{n: n, addr: addr, revision: revision, silence: silence, backoff: backoff.New(m.Seed, m.Brokers)}
}

// open opens the watch from the last revision on.
func (w *watch) open() {
	w.dialing = true
	w.n.stats.Watches++
	w.n.dial(w.addr, watchDial, w, w.lost)
}

// lost tells that the watch could not be opened or has ended.
func (w *watch) lost(err error) {
	w.conn, w.dialing = nil, false
	if w.retired {
		return
	}
	wait := watchBackoff // the old address is about to end: there is no time for more
	if !w.fresh {
		wait = w.backoff.Next()
	}
	w.again = time.Now().Add(wait)
	w.n.stats.WatchFails++
	w.n.log.Warn("watch lost", "err", err, "revision", w.revision, "again_in", wait)
}

// check opens the watch again when it is time, and closes a silent one.
func (w *watch) check(now time.Time) {
	switch {
	case w.conn != nil && now.Sub(w.heard) > w.silence:
		_ = w.conn.Close()
	case w.conn == nil && !w.dialing && !now.Before(w.again) && !(w == w.n.watch && w.n.next != nil):
		w.open()
	}
}

// opened implements handler.
func (w *watch) opened(c gnet.Conn) {
	w.conn, w.dialing, w.heard = c, false, time.Now()
	if w.retired {
		_ = c.Close()
		return
	}
	w.ask()
}

// ask asks for the whole list where this address has told nothing yet, else for the changes.
func (w *watch) ask() {
	w.parser, w.lines, w.list = http1.ResponseParser{}, catalog.Lines{}, nil
	target := listPath
	if !w.fresh {
		target = watchPath + strconv.FormatInt(w.revision, 10)
	}
	_, _ = w.conn.Write(http1.AppendRequest(nil, "GET", target, w.addr))
}

// traffic implements handler.
func (w *watch) traffic(b []byte) {
	if w.retired {
		return
	}
	w.heard = time.Now()
	r, err := w.parser.Feed(b, w.body)
	switch {
	case err == nil && r != nil && r.Status != 200:
		err = fmt.Errorf("%w: status %d", errWatch, r.Status)
	case err == nil && w.parser.Done() && w.fresh:
		err = w.listed()
	case err == nil && w.parser.Done():
		err = errWatch
	}
	if err != nil {
		w.n.log.Warn("watch ends", "err", err)
		_ = w.conn.Close()
	}
}

// listed takes in the whole list, and goes on with the changes to it.
func (w *watch) listed() error {
	u, err := catalog.Parse(w.list)
	if err != nil {
		return err
	}
	w.fresh, w.revision = false, u.Revision
	w.backoff.Succeeded()
	w.n.succeed(w)
	w.n.apply(time.Now(), eiderwinch.Whole, u.Members)
	w.ask()
	return nil
}

// body takes in a piece of an answer's body.
func (w *watch) body(b []byte) error {
	if w.fresh {
		if len(w.list)+len(b) > catalog.MaxLine {
			return errList
		}
		w.list = append(w.list, b...)
		return nil
	}
	return w.lines.Feed(b, func(line []byte) error {
		u, err := catalog.Parse(line)
		if err != nil {
			return err
		}
		kind := eiderwinch.Changes
		if u.Complete {
			kind = eiderwinch.Whole
		}
		w.revision = u.Revision
		w.backoff.Succeeded()
		w.n.apply(time.Now(), kind, u.Members)
		return nil
	})
}

// retire ends a watch whose place another has taken.
func (w *watch) retire() {
	w.retired = true
	if w.conn != nil {
		_ = w.conn.Close()
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
	}
	n.log.Info("discovery moves", "from", wanted.addr, "to", addr)
	n.next = newWatch(n, addr, 0, n.watch.silence)
	n.next.fresh = true
	n.next.open()
}

// succeed puts a watch that has brought its first list in the place of the one before.
func (n *Node) succeed(w *watch) {
	if w == n.next {
		n.log.Info("discovery moved", "to", w.addr, "revision", w.revision, "before", n.watch.revision)
		n.watch.retire()
		n.watch, n.next = w, nil
	}
}

// closed implements handler.
func (w *watch) closed(err error) { w.lost(err) }
