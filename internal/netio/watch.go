package netio

import (
	"errors"
	"fmt"
	"strconv"
	"time"

	"github.com/panjf2000/gnet/v2"

	"eiderwinch"
	"eiderwinch/internal/catalog"
	"eiderwinch/internal/http1"
)

const (
	watchPath     = "/catalog/members?watch=1&from="
	watchDial     = time.Second
	watchSilent   = 7 * time.Second // an empty line comes every 2 s
	watchBackoff  = 100 * time.Millisecond
	watchBackoffs = 2 * time.Second
)

var (
	errLetter = errors.New("unknown letter")
	errWatch  = errors.New("discovery has ended the watch")
)

// watch follows discovery's list of searchers.
type watch struct {
	n        *Node
	silence  time.Duration // after which it is taken to be dead
	revision int64         // of the last list or change
	conn     gnet.Conn
	dialing  bool
	parser   http1.ResponseParser
	lines    catalog.Lines
	heard    time.Time
	again    time.Time // when to open it next
	backoff  time.Duration
}

// open opens the watch from the last revision on.
func (w *watch) open() {
	w.dialing = true
	w.n.stats.Watches++
	w.n.dial(w.n.cfg.Discovery, watchDial, w, w.lost)
}

// lost tells that the watch could not be opened or has ended.
func (w *watch) lost(err error) {
	w.conn, w.dialing = nil, false
	w.backoff = min(max(2*w.backoff, watchBackoff), watchBackoffs)
	w.again = time.Now().Add(w.backoff)
	w.n.log.Warn("watch lost", "err", err, "revision", w.revision, "again_in", w.backoff)
}

// check opens the watch again when it is time, and closes a silent one.
func (w *watch) check(now time.Time) {
	switch {
	case w.conn != nil && now.Sub(w.heard) > w.silence:
		_ = w.conn.Close()
	case w.conn == nil && !w.dialing && !now.Before(w.again):
		w.open()
	}
}

// opened implements handler.
func (w *watch) opened(c gnet.Conn) {
	w.conn, w.dialing, w.heard = c, false, time.Now()
	w.parser, w.lines = http1.ResponseParser{}, catalog.Lines{}
	target := watchPath + strconv.FormatInt(w.revision, 10)
	_, _ = c.Write(http1.AppendRequest(nil, "GET", target, w.n.cfg.Discovery))
}

// traffic implements handler.
func (w *watch) traffic(b []byte) {
	w.heard = time.Now()
	r, err := w.parser.Feed(b, w.body)
	switch {
	case err == nil && r != nil && r.Status != 200:
		err = fmt.Errorf("%w: status %d", errWatch, r.Status)
	case err == nil && w.parser.Done():
		err = errWatch
	}
	if err != nil {
		w.n.log.Warn("watch ends", "err", err)
		_ = w.conn.Close()
	}
}

// body takes in a piece of the watch's body.
func (w *watch) body(b []byte) error {
	return w.lines.Feed(b, func(line []byte) error {
		u, err := catalog.Parse(line)
		if err != nil {
			return err
		}
		kind := eiderwinch.Changes
		if u.Complete {
			kind = eiderwinch.Whole
		}
		w.revision, w.backoff = u.Revision, 0
		w.n.apply(time.Now(), kind, u.Members)
		return nil
	})
}

// closed implements handler.
func (w *watch) closed(err error) { w.lost(err) }
