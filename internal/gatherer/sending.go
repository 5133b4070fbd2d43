package gatherer

import (
	"slices"
	"time"

	"eiderwinch"
)

// SendBar is why an attempt must not be sent, or must not be sent any further.
type SendBar int

// The reasons, in the order in which they are looked for.
const (
	SendAllowed      SendBar = iota
	ResultUnwanted           // the query or its step has ended, or the client has disconnected
	AttemptOver              // the attempt has timed out or was cancelled
	ToldTooMuch              // the client has less time left than the searcher is told
	RepeatWindowOver         // the searcher may not recognize the attempt as a repeat any more
	SearcherNotReady         // the searcher is draining or not in the member list
	SecondCopyBarred         // another attempt of the part is in flight
	AttemptsUsed             // the part has had as many attempts as it may
	NotHolder                // the searcher does not hold the part's segment in the query's epoch
	PartAnswered             // the part has an answer, be it one that can't be used
	AnswerUnread             // what was received and not read yet may answer the part; this passes once it is read
)

// sendBarNames are the names of the reasons in counters and logs.
var sendBarNames = map[SendBar]string{
	SendAllowed: "allowed", ResultUnwanted: "unwanted", AttemptOver: "over", ToldTooMuch: "told", RepeatWindowOver: "window", SearcherNotReady: "not_ready",
	SecondCopyBarred: "second_copy", AttemptsUsed: "attempts", NotHolder: "not_holder", PartAnswered: "answered", AnswerUnread: "unread",
}

// String returns the reason's name in counters and logs.
func (b SendBar) String() string { return sendBarNames[b] }

// MaySend reports whether the first byte of an attempt that has waited for a connection may be written.
func (c *Core) MaySend(now time.Time, a *Attempt) bool { return c.SendBar(now, a) == SendAllowed }

// SendBar returns why the first byte of an attempt must not be written.
func (c *Core) SendBar(now time.Time, a *Attempt) SendBar {
	bar := c.CompletionBar(now, a)
	if passes := bar == SendAllowed || bar == AnswerUnread; passes && c.notReady(a.Searcher) {
		return SearcherNotReady
	}
	return bar
}

// CompletionBar returns why the rest of an attempt must not be written whose first byte was. An attempt takes effect with
// its last byte, so whatever bars its start bars its completion as well, except that its searcher has begun to drain: a
// drain allows what was begun before it.
func (c *Core) CompletionBar(now time.Time, a *Attempt) SendBar {
	over := a.part.overBar()
	switch {
	case over != SendAllowed:
		return over
	case a.part.query.client.Disconnected():
		return ResultUnwanted
	case a.ended || !now.Before(a.Deadline):
		return AttemptOver
	case !a.sendBy.IsZero() && !now.Before(a.sendBy):
		return ToldTooMuch
	case c.repeatWindowOver(now, a):
		return RepeatWindowOver
	case c.answerUnread(a):
		return AnswerUnread
	}
	return SendAllowed
}

// answerUnread reports whether data was received and not read on a connection that may bring the answer to another attempt of the
// part: one in flight, or one that timed out or was cancelled.
func (c *Core) answerUnread(a *Attempt) bool {
	for _, other := range a.part.inFlight {
		if other != a && c.searchers.DataUnread(other) {
			return true
		}
	}
	return slices.ContainsFunc(a.part.givenUp, c.searchers.DataUnread)
}

const (
	// toldSlack is by how much the time that a searcher is told may exceed what is left to the client when the attempt's last
	// byte is sent. Searchers allow 150 ms; the rest is for delays behind this process and between its clock and its write.
	toldSlack = 50 * time.Millisecond
	// sendShare is the part (1/2) of the time left to the client that sending an attempt may take where that may be slow.
	sendShare = 2
)

// TellWait returns the time that the searcher of an attempt is told that the gatherer waits for its answer, and bars the
// attempt from when the client has less than that left. A searcher counts the time from the last byte, so where sending may
// be slow, it is told less.
func (a *Attempt) TellWait(now time.Time, maySendSlowly bool) time.Duration {
	wait := a.Deadline.Sub(now)
	if maySendSlowly {
		wait = min(wait, a.part.query.deadline.Sub(now)/sendShare)
	}
	a.sendBy = a.part.query.deadline.Add(toldSlack - wait)
	return wait
}

// unwanted reports whether the result of an attempt in flight is no longer needed: its part is over
// and the aggregator has not cancelled the attempt yet or may not, or the client has disconnected.
func (a *Attempt) unwanted() bool {
	return a.part.overBar() != SendAllowed || a.part.query.client.Disconnected()
}

// repeatWindowOver reports whether an attempt of a keyed part, of which another attempt may have
// been executed, would arrive too late for its searcher to recognize it as a repeat. The aggregator
// checked this when it decided, but the attempt may since have waited for too long.
func (c *Core) repeatWindowOver(now time.Time, a *Attempt) bool {
	class := c.settings.Module.Classes[a.part.query.class]
	from := a.part.otherMayHaveRunFrom(a)
	return class.Effect == eiderwinch.Keyed && !from.IsZero() && !now.Add(c.settings.Tick).Before(from.Add(class.RepeatWindow))
}

// otherMayHaveRunFrom returns when the first attempt of a part was started that may have run or is in flight, other than the
// given one; zero if there is none. An attempt that was not sent whole has not run, so no searcher remembers it.
func (p *part) otherMayHaveRunFrom(a *Attempt) (from time.Time) {
	from = p.mayHaveRunFrom
	for _, other := range p.inFlight {
		if other != a {
			from = earlier(from, other.decidedAt)
		}
	}
	return from
}

// earlier returns the earlier of two times, of which zero means none.
func earlier(x, y time.Time) time.Time {
	if x.IsZero() || !y.IsZero() && y.Before(x) {
		return y
	}
	return x
}
