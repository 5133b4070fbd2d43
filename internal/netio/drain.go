package netio

import (
	"net/http"
	"time"

	"eiderwinch/internal/limit"
)

// longest is the longest deadline.
func (c Config) longest() (longest time.Duration) {
	for _, class := range c.Gatherer.Module.Classes {
		longest = max(longest, class.Deadline)
	}
	return longest
}

// killAfter is how long after SIGTERM the process surely lives.
func (c Config) killAfter() time.Duration { return min(c.longest(), killMost) + killMore }

// serveFor is how long after SIGTERM connections that clients have kept are served.
func (c Config) serveFor() time.Duration {
	return max(c.killAfter()-max(min(c.longest(), killReserve), 2*killMargin), drainAccept)
}

// Drain lets the node end once it has answered all it has taken. It may be
// called from any goroutine once the node has started.
func (n *Node) Drain() {
	n.exec(func() {
		if !n.draining {
			n.log.Info("draining", "open", n.core.Open())
			now := time.Now()
			n.draining, n.drainUntil, n.serveUntil = true, now.Add(n.acceptFor), now.Add(n.serveFor)
			n.killAt = now.Add(n.cfg.killAfter())
			n.core.EndBy(n.answersBy())
		}
	})
}

// answersBy is when all answers of a draining node must be out.
func (n *Node) answersBy() time.Time { return n.killAt.Add(-killMargin) }

// drained tells that a draining node has nothing left to do.
func (n *Node) drained(now time.Time) bool {
	if !n.draining || now.Before(n.drainUntil) || now.Before(n.serveUntil) && n.table.Held() > 0 {
		return false
	}
	closed := n.closeIdleClients()
	last := n.answersBy()
	if until := n.serveUntil.Add(drainPartial); !now.Before(until) || !now.Before(last) {
		n.refuseHalf()
	}
	half := n.table.Count(limit.First)+n.table.Count(limit.Further) > 0
	// A close over what a client has sent on would reset the connection and take its last answer along.
	// Who has connected and was not accepted yet may have asked already.
	unheard := (n.table.Count(limit.Ending) > 0 || readable(n.loop.ListenerFd())) && now.Before(last)
	return closed && !half && !unheard && n.core.Open() == 0 && n.table.Count(limit.Busy) == 0
}

// refuseHalf refuses the requests that have begun and are not whole: their rest may come after the
// end of the process, and would be a request that nobody answers.
func (n *Node) refuseHalf() {
	for _, stage := range [...]limit.Stage{limit.First, limit.Further} {
		for s := n.table.Oldest(stage); s != nil; s = n.table.Oldest(stage) {
			s.Owner.last = true
			s.Owner.respond(http.StatusServiceUnavailable, nil)
		}
	}
}
