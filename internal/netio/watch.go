package netio

import (
	"errors"
	"fmt"
	"strconv"
	"time"

	"eiderwinch"
	"eiderwinch/internal/discovery"
	"eiderwinch/internal/format/catalog"
	"eiderwinch/internal/format/http1"
	"eiderwinch/internal/netio/eventloop"
)

const (
	listPath         = "/catalog/members"
	watchPath        = listPath + "?watch=1&from="
	watchDialTimeout = time.Second

	// objectMemoryShare is the fraction of the memory limit (1/16) that one member list may take, within
	// minObjectLimit, which holds 1,024 searchers with long names, and maxObjectLimit.
	objectMemoryShare = 16
	minObjectLimit    = 1 << 20
	maxObjectLimit    = 16 << 20
)

var (
	errWatchEnded = errors.New("discovery ended the watch")
	errNoList     = errors.New("answer of discovery holds no member list")
)

// watch follows discovery's member list at one address. Its follower, of package discovery, decides when a request
// is sent and which of the open ones is used. Each request is a subscription with a connection of its own.
type watch struct {
	node           *Node
	addr           string
	source         string // unique: an address that is followed again is another source, see discovery.MemberFilter
	follower       *discovery.Follower
	subscriptions  map[discovery.RequestID]*subscription
	needsWholeList bool      // nothing was received from this address yet: the whole list is requested first
	revision       int64     // of the last list or change received
	failures       int       // failed requests since the last update
	lastFailure    string    // reason of the last failure; a reason that repeats is logged once
	lastUpdate     time.Time // when an update, or the empty line in its place, was last received
}

// subscription is one request of a watch to discovery.
type subscription struct {
	watch          *watch
	id             discovery.RequestID
	conn           *eventloop.Conn // nil while it is being dialed
	ended          bool            // whatever it still receives is ignored
	needsWholeList bool            // the whole list has not been received in full yet
	wholeList      *catalog.Update // set once parsed, while needsWholeList
	parser         http1.ResponseParser
	objects        catalog.ObjectSplitter
	headReceived   bool // the head of the answer was received
	bodyReceived   bool // data of changes was received since the last call of recordUpdate
	updateReceived bool // an update was received since then
	endsAfterList  bool // nothing can follow the whole list on this connection
}

// newWatch returns a watch for changes after a revision of the list.
func newWatch(n *Node, addr string, revision int64) *watch {
	m, now := n.cfg.Gatherer.Module, time.Now()
	n.watchesOpened++
	return &watch{
		node: n, addr: addr, source: fmt.Sprintf("%s#%d", addr, n.watchesOpened), revision: revision, subscriptions: make(map[discovery.RequestID]*subscription), lastUpdate: now,
		follower: discovery.New(discovery.Settings{
			Pushed: !m.SubscribeToList, DrainGrace: n.cfg.DrainGrace, MaxTimeWithoutWatch: m.SubscribeWithin, Gatherers: m.Gatherers, Seed: m.Seed,
		}, now),
	}
}

// run sends the request that is due, if any, and gives up those that have received nothing for too long.
func (w *watch) run(now time.Time) {
	id, drop := w.follower.Run(now)
	w.drop(drop)
	if id == 0 {
		return
	}
	s := &subscription{watch: w, id: id, needsWholeList: w.needsWholeList}
	w.subscriptions[id] = s
	w.node.stats.Watches++
	w.node.dial(w.addr, watchDialTimeout, s, s.Closed)
}

// objectLimit returns how many bytes one member list may take.
func (n *Node) objectLimit() int {
	return int(min(max(n.cfg.MemoryLimit/objectMemoryShare, minObjectLimit), maxObjectLimit))
}

// drop gives up requests.
func (w *watch) drop(ids []discovery.RequestID) {
	for _, id := range ids {
		if s := w.subscriptions[id]; s != nil {
			s.end()
			w.recordFailure("no data received in time")
		}
	}
}

// end removes a subscription from its watch. Its connection is closed later, on the loop.
func (s *subscription) end() {
	s.ended = true
	delete(s.watch.subscriptions, s.id)
	if s.conn != nil {
		s.conn.Close()
	}
}

// recordFailure counts a request that has failed. The reason is logged once, until it changes or an update is
// received: discovery may be unreachable for long and is asked several times a second.
func (w *watch) recordFailure(reason string) {
	w.failures++
	w.node.stats.WatchFails++
	if reason != w.lastFailure {
		w.lastFailure = reason
		w.node.log.Warn("request to discovery failed", "discovery", w.addr, "reason", reason, "revision", w.revision, "last_news", time.Since(w.lastUpdate))
	}
}

// Kind implements eventloop.Handler.
func (s *subscription) Kind() string { return "discovery" }

// ReadLimit implements eventloop.Handler.
func (s *subscription) ReadLimit() int { return eventloop.ReadBufferSize }

// MayFlush implements eventloop.Handler.
func (s *subscription) MayFlush() bool { return true }

// Flushed implements eventloop.Handler.
func (s *subscription) Flushed() {}

// Opened implements eventloop.Handler.
func (s *subscription) Opened(conn *eventloop.Conn) {
	s.conn = conn
	if s.ended {
		conn.Close()
		return
	}
	s.request()
}

// request asks for the whole list if nothing was received from this address yet, otherwise for changes.
func (s *subscription) request() {
	s.parser, s.objects = http1.ResponseParser{}, catalog.ObjectSplitter{MaxSize: s.watch.node.objectLimit()}
	target := listPath
	if !s.needsWholeList {
		target = watchPath + strconv.FormatInt(s.watch.revision, 10)
	}
	_ = s.conn.Write(http1.AppendRequest(nil, "GET", target, s.watch.addr))
}

// Traffic implements eventloop.Handler.
func (s *subscription) Traffic(data []byte) {
	if s.ended {
		return
	}
	now := time.Now()
	r, err := s.parser.Feed(data, func(data []byte) error { return s.readBody(now, data) })
	switch {
	case s.ended: // another subscription has replaced this one because of the data
		return
	case err == nil && r != nil && r.Status != 200:
		err = fmt.Errorf("%w: status %d, want 200", errWatchEnded, r.Status)
	case err == nil && s.needsWholeList && (s.parser.Done() || s.parser.EndsAtClose() && s.wholeList != nil): // the list is complete, whether or not the body has ended
		err = s.acceptWholeList(now)
	case err == nil && s.parser.Done():
		err = errWatchEnded
	}
	switch {
	case err != nil:
		s.fail(err)
	case s.updateReceived, s.bodyReceived && !s.objects.InObject(): // data that leaves an object incomplete does not show that the watch is alive
		s.updateReceived, s.bodyReceived = false, false
		s.watch.recordUpdate(now, s)
		if s.endsAfterList {
			s.watch.follower.RequestEnded(s.id, now)
			s.end()
		}
	case r != nil && !s.headReceived:
		s.headReceived = true
		s.watch.follower.MarkAlive(s.id, now)
	}
}

// readBody handles a piece of an answer's body.
func (s *subscription) readBody(now time.Time, data []byte) error {
	s.bodyReceived = s.bodyReceived || !s.needsWholeList
	return s.objects.Feed(data, func(text []byte) error {
		u, err := catalog.Parse(text)
		if err != nil {
			// The list is not used in part, except for its leaving searchers: taking these
			// out of service errs on the safe side.
			s.watch.node.stats.MalformedLists++
			s.watch.node.applyUpdate(now, eiderwinch.Changes, s.watch, u.Leaving())
			return err
		}
		if s.needsWholeList {
			s.wholeList = &u
			return nil
		}
		kind := eiderwinch.Changes
		if u.Complete {
			kind = eiderwinch.Whole
		}
		s.updateReceived, s.watch.revision = true, u.Revision
		s.watch.node.applyUpdate(now, kind, s.watch, u)
		return nil
	})
}

// acceptWholeList applies the whole list, and requests the changes to it.
func (s *subscription) acceptWholeList(now time.Time) error {
	if s.wholeList == nil {
		return errNoList
	}
	w, u := s.watch, *s.wholeList
	w.needsWholeList, w.revision = false, u.Revision
	w.node.promoteWatch(w)
	w.node.applyUpdate(now, eiderwinch.Whole, w, u)
	s.needsWholeList, s.headReceived, s.updateReceived, s.endsAfterList = false, false, true, s.parser.EndsAtClose()
	if !s.endsAfterList {
		s.request()
	}
	return nil
}

// recordUpdate records that a subscription has received an update, or the empty line that says there is none.
func (w *watch) recordUpdate(now time.Time, s *subscription) {
	for _, id := range w.follower.RecordUpdate(s.id, now) {
		if other := w.subscriptions[id]; other != nil {
			other.end()
		}
	}
	if w.lastFailure != "" {
		w.node.log.Info("discovery responds again", "discovery", w.addr, "away", now.Sub(w.lastUpdate), "fails", w.failures, "revision", w.revision)
	}
	w.failures, w.lastFailure, w.lastUpdate = 0, "", now
	w.node.memberFilter.Alive(now, w.source)
	w.node.core.ConfirmMembers(now)
}

// fail ends a subscription for an error.
func (s *subscription) fail(err error) {
	if s.ended {
		return
	}
	s.watch.follower.RequestEnded(s.id, time.Now())
	s.end()
	s.watch.recordFailure(err.Error())
}

// Closed implements eventloop.Handler. It is also called for dials that fail.
func (s *subscription) Closed(err error) {
	if err == nil {
		err = errWatchEnded
	}
	s.conn = nil
	s.fail(err)
}

// stop ends a watch that another one has replaced.
func (w *watch) stop() {
	for _, s := range w.subscriptions {
		s.end()
	}
}

// followDiscovery switches to discovery at the address that the platform has named last. The watch in use goes on
// until the new one has received a list, so that no update is missed. Revisions of two addresses can't be compared,
// not even revision 0, and the answer to a revision holds changes only. So the whole list is requested first.
func (n *Node) followDiscovery() {
	addr := n.discoveryAddress.Address().Value
	latest := n.watch
	if n.nextWatch != nil {
		latest = n.nextWatch
	}
	if latest.addr == addr {
		return
	}
	if n.nextWatch != nil {
		n.nextWatch.stop()
		n.nextWatch = nil
	}
	if addr == n.watch.addr { // back at the address in use before the other one has sent a list
		return
	}
	n.log.Info("discovery address is changing", "from", latest.addr, "to", addr)
	n.nextWatch = newWatch(n, addr, 0)
	n.nextWatch.needsWholeList = true
	n.nextWatch.run(time.Now())
}

// promoteWatch replaces the watch in use by the next one, which has received its first list.
func (n *Node) promoteWatch(w *watch) {
	if w == n.nextWatch {
		n.log.Info("discovery address changed", "to", w.addr, "revision", w.revision, "before", n.watch.revision)
		n.watch.stop()
		n.watch, n.nextWatch = w, nil
	}
}
