package netio

import (
	"time"

	"eiderwinch"
	"eiderwinch/internal/format/catalog"
	"eiderwinch/internal/gatherer"
)

// watches returns those that are followed: the one in use and the one to take its place.
func (n *Node) watches() []*watch {
	if n.next == nil {
		return []*watch{n.watch}
	}
	return []*watch{n.watch, n.next}
}

// heldShare is the part of the grace (1/5) for which what is due waits for news that has come and was not
// read, within the time that a final answer may be late. What came before the first of heldRounds of the loop
// is read in these; only discovery that sends without end takes longer.
const (
	heldShare  = 5
	heldRounds = 3
)

// behind tells that news has come which the loop has not read: it may have waited behind clients' traffic, or
// for the processor, and may say that a searcher leaves. What is sent before it is read may be late for the rule.
func (n *Node) behind(now time.Time) bool {
	for _, w := range n.watches() {
		for _, t := range w.taps {
			if t.conn == nil || pending(t.conn.Fd()) == 0 {
				continue
			}
			if n.held.IsZero() {
				n.held, n.heldFrom = now, n.rounds
				n.stats.NewsFirst++
			}
			return n.rounds-n.heldFrom < heldRounds || now.Sub(n.held) < min(n.cfg.DrainGrace/heldShare, n.cfg.AnswerSlack)
		}
	}
	n.held = time.Time{}
	return false
}

// apply hands news of the searchers, that an address has told, to the core and the connections.
func (n *Node) apply(now time.Time, kind eiderwinch.ListKind, source string, u catalog.Update) {
	n.stats.Twice += u.Twice
	members := n.roster.Take(now, source, u)
	n.stats.Doubted = n.roster.Doubted
	n.hand(now, kind, members)
	for _, m := range members {
		if m.Phase != catalog.Ready {
			n.log.Debug("searcher told to leave", "searcher", m.ID, "phase", m.Phase, "revision", u.Revision, "discovery", source)
			n.pool.leave(now, m.ID)
		}
	}
	if u.Complete { // who is left out of it has left as well
		for id := range n.pool.peers {
			if !n.core.Ready(id) {
				n.pool.leave(now, id)
			}
		}
	}
}

// review has back the searchers of which a list said so that could have been an old one, and can't be now.
func (n *Node) review(now time.Time) {
	if back := n.roster.Review(n.watch.news); len(back) > 0 {
		n.hand(now, eiderwinch.Changes, back)
	}
}

func (n *Node) hand(now time.Time, kind eiderwinch.ListKind, members []catalog.Member) {
	states := map[catalog.Phase]eiderwinch.State{
		catalog.Ready: eiderwinch.Ready, catalog.Terminating: eiderwinch.Draining, catalog.Gone: eiderwinch.Removed,
	}
	var list []gatherer.Member
	for _, m := range members {
		list = append(list, gatherer.Member{
			ID: m.ID, Zone: m.Locality, Cell: m.Cell, State: states[m.Phase], Started: m.Started(),
		})
		n.pool.locate(now, m.ID, m.HostPort, m.Started())
	}
	n.core.List(now, kind, list)
	for _, m := range members {
		n.pool.relocated(now, m.ID)
	}
}
