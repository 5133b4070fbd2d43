package netio

import (
	"net/http"
	"time"

	"eiderwinch/internal/limit"
)

// longestDeadline returns the longest deadline of all classes.
func (c Config) longestDeadline() (longest time.Duration) {
	for _, class := range c.Gatherer.Module.Classes {
		longest = max(longest, class.Deadline)
	}
	return longest
}

// killAfter returns how long after SIGTERM the process is certain not to be killed.
func (c Config) killAfter() time.Duration {
	return min(c.longestDeadline(), maxCountedDeadline) + killDelay
}

// serveFor returns how long after SIGTERM kept client connections are served.
func (c Config) serveFor() time.Duration {
	return max(c.killAfter()-max(min(c.longestDeadline(), answerReserve), 2*answerMargin), drainAcceptTime)
}

// Drain makes the node end once it has answered all queries it has taken. It may be called from any goroutine once
// the node has started.
func (n *Node) Drain() {
	n.exec(func() {
		if !n.draining {
			n.log.Info("draining", "open", n.core.OpenQueries())
			now := time.Now()
			n.draining, n.drainUntil, n.serveUntil = true, now.Add(n.acceptFor), now.Add(n.serveFor)
			n.killAt = now.Add(n.cfg.killAfter())
			n.core.EndBy(n.answerDeadline())
		}
	})
}

// answerDeadline returns the time by which a draining node must have written all answers.
func (n *Node) answerDeadline() time.Time { return n.killAt.Add(-answerMargin) }

// pastAnswers reports whether a draining node has passed the time by which it must have written all answers. What is
// received from then on is refused, and its connection ends.
func (n *Node) pastAnswers(now time.Time) bool {
	return n.draining && !now.Before(n.answerDeadline())
}

// drained reports whether a draining node has nothing left to do. It closes idle client connections, and refuses
// incomplete requests once it has waited long enough for the rest of them. Clients that go on sending, or do not read, do
// not hold it up: shortly before the kill it is done once no query is open.
func (n *Node) drained(now time.Time) bool {
	if n.pastAnswers(now.Add(-drainCheckInterval)) {
		return n.core.OpenQueries() == 0 && !n.someFlush(now) && (n.allReadAnswered() || n.pastAnswers(now.Add(-readGrace)))
	}
	if !n.draining || now.Before(n.drainUntil) || now.Before(n.serveUntil) && n.clientTable.Len() > 0 {
		return false
	}
	closed := n.closeIdleClients()
	deadline := n.answerDeadline()
	if until := n.serveUntil.Add(partialRequestWait); !now.Before(until) || !now.Before(deadline) {
		n.refusePartialRequests()
	}
	incomplete := n.clientTable.Count(limit.FirstRequest)+n.clientTable.Count(limit.NextRequest) > 0
	// Closing a connection that holds unread bytes would reset it, and the client could lose its last answer. A
	// client whose connection is not accepted yet may already have sent a query.
	inputUnread := (n.clientTable.Count(limit.Closing) > 0 || readable(n.loop.ListenerFD())) && now.Before(deadline)
	return closed && !incomplete && !inputUnread && n.core.OpenQueries() == 0 && n.clientTable.Count(limit.Busy) == 0
}

// allReadAnswered refuses the requests that were received in part, and reports whether there was none and no request that
// was received waits for its turn.
func (n *Node) allReadAnswered() bool {
	partial := n.clientTable.Count(limit.FirstRequest) + n.clientTable.Count(limit.NextRequest)
	n.refusePartialRequests()
	return partial == 0 && n.backlog.Len() == 0
}

// someFlush reports whether a client is reading its answers, so that more of them can be written. A client that has read
// nothing for flushStall does not count.
func (n *Node) someFlush(now time.Time) bool {
	some := false
	for c, f := range n.flushing {
		f.update(now, c.conn.Buffered())
		some = some || now.Sub(f.progressAt) < flushStall
	}
	return some
}

// flush is the state of a connection whose answers are not fully written.
type flush struct {
	until      time.Time // when it is given up
	buffered   int       // bytes that were left at the last look
	progressAt time.Time // when some of them were last seen to have been written
}

func newFlush(now time.Time, buffered int) *flush {
	return &flush{until: now.Add(flushTimeout), buffered: buffered, progressAt: now}
}

// update records how many bytes are left.
func (f *flush) update(now time.Time, buffered int) {
	if buffered < f.buffered {
		f.progressAt = now
	}
	f.buffered = buffered
}

// refusePartialRequests refuses the requests that are incomplete: their rest may arrive after the end of the
// process, and nobody would answer them.
func (n *Node) refusePartialRequests() {
	for _, stage := range [...]limit.Stage{limit.FirstRequest, limit.NextRequest} {
		for entry := n.clientTable.Oldest(stage); entry != nil; entry = n.clientTable.Oldest(stage) {
			entry.Owner.lastRequest = true
			entry.Owner.respond(http.StatusServiceUnavailable, nil)
		}
	}
}
