package netio

import (
	"time"

	"eiderwinch"
	"eiderwinch/internal/format/catalog"
	"eiderwinch/internal/gatherer"
)

// watches returns the watch in use and, if there is one, the watch that is to replace it.
func (n *Node) watches() []*watch {
	if n.nextWatch == nil {
		return []*watch{n.watch}
	}
	return []*watch{n.watch, n.nextWatch}
}

// Due work waits for unread updates for up to minDeferWakeups rounds of the loop: within these, everything is read that
// was received before the first one. If discovery goes on sending, due work waits for longer, until a fraction of the
// drain grace (1/5, deferGraceShare) is over, but no longer than a final answer may be late.
const (
	deferGraceShare = 5
	minDeferWakeups = 3
)

// deferForUpdates reports whether due work has to wait because data from discovery was received and not read. The
// data may have waited behind traffic of clients or for the processor, and may report that a searcher is leaving.
// An attempt sent before it is read might be sent after the drain grace.
func (n *Node) deferForUpdates(now time.Time) bool {
	for _, w := range n.watches() {
		for _, s := range w.subscriptions {
			if s.conn == nil || pendingBytes(s.conn.FD()) == 0 {
				continue
			}
			if n.deferredSince.IsZero() {
				n.deferredSince, n.deferredAtWakeup = now, n.wakeups
				n.stats.DelayedForUpdates++
			}
			return n.wakeups-n.deferredAtWakeup < minDeferWakeups || now.Sub(n.deferredSince) < min(n.cfg.DrainGrace/deferGraceShare, n.cfg.AnswerSlack)
		}
	}
	n.deferredSince = time.Time{}
	return false
}

// deferForAnswers reports whether due work has to wait because data was received behind a provisional answer and not read: it may
// refute that answer, and a turn of a gatherer that was held up might use it. It waits for up to minDeferWakeups rounds of the loop.
func (n *Node) deferForAnswers() bool {
	return n.unreadAnswers.wait(n, n.pool.provisionalUnread())
}

// rounds counts rounds of the loop for which something waits until data that was received is read. The zero value waits for
// nothing.
type rounds struct {
	waiting bool
	since   int // value of Node.wakeups when the wait began
}

// wait reports whether to wait on: there is unread data, and the wait has not lasted for minDeferWakeups rounds.
func (r *rounds) wait(n *Node, unread bool) bool {
	if !unread {
		r.waiting = false
		return false
	}
	if !r.waiting {
		r.waiting, r.since = true, n.wakeups
	}
	return n.wakeups-r.since < minDeferWakeups
}

// applyUpdate passes an update that a watch has received on to the core and the pool.
func (n *Node) applyUpdate(now time.Time, kind eiderwinch.ListKind, w *watch, u catalog.Update) {
	n.stats.DuplicateMembers += u.Duplicates
	rejectedBefore := n.memberFilter.Rejected
	members := n.memberFilter.Apply(now, w.source, u)
	n.stats.RejectedMembers, n.stats.ForgottenMembers = n.memberFilter.Rejected, n.memberFilter.Forgotten
	n.log.Debug("update from discovery", "discovery", w.addr, "revision", u.Revision, "complete", u.Complete, "members", len(u.Members),
		"rejected", n.memberFilter.Rejected-rejectedBefore)
	n.forwardMembers(now, kind, members)
	for _, m := range members {
		if m.Phase != catalog.Ready {
			n.log.Debug("searcher is leaving", "searcher", m.ID, "phase", m.Phase, "revision", u.Revision, "discovery", w.addr)
			n.pool.cancelUnsent(now, m.ID)
		}
	}
	if u.Complete { // searchers that a whole list leaves out have left as well
		for id := range n.pool.searchers {
			if !n.core.Ready(id) {
				n.pool.cancelUnsent(now, id)
			}
		}
	}
}

// reinstateRejected reinstates the searchers that were reported as ready again by a list that might have been outdated,
// once it can't be outdated any more.
func (n *Node) reinstateRejected(now time.Time) {
	if reinstated := n.memberFilter.Reinstated(n.watch.lastUpdate); len(reinstated) > 0 {
		n.stats.ReinstatedMembers += len(reinstated)
		for _, m := range reinstated {
			n.log.Info("searcher is ready again by a list that was rejected before", "searcher", m.ID, "addr", m.HostPort, "discovery", n.watch.addr)
		}
		n.forwardMembers(now, eiderwinch.Changes, reinstated)
	}
}

// forwardMembers passes members on to the core and the pool.
func (n *Node) forwardMembers(now time.Time, kind eiderwinch.ListKind, members []catalog.Member) {
	states := map[catalog.Phase]eiderwinch.State{
		catalog.Ready: eiderwinch.Ready, catalog.Terminating: eiderwinch.Draining, catalog.Gone: eiderwinch.Removed,
	}
	var list []gatherer.Member
	for _, m := range members {
		list = append(list, gatherer.Member{
			ID: m.ID, Zone: m.Locality, Cell: m.Cell, State: states[m.Phase], Started: m.Started(),
		})
		n.pool.updateSearcher(now, m.ID, m.HostPort, m.Started())
	}
	n.core.UpdateMembers(now, kind, list)
	for _, m := range members {
		n.pool.resumeMoved(now, m.ID)
	}
}
