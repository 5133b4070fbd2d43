package eiderwinch

import (
	"cmp"
	"slices"
	"time"
)

// Judging the servers by what they have out and by how calls ended.

// blame and praise keep a server's record, once for each call: the parts of a call share its fate. A server
// whose record is bad is set aside: only trials go there, at growing intervals, until one goes well. It
// guards against servers that fail, fail fast (and so look idle), crawl or keep silent. It could do harm when
// all servers are in trouble alike: hence no shard's last server is set aside, unless it can't be reached.
func (a *Aggregator) blame(s *server, t *attempt, weight float64) {
	if t.sent < s.judged {
		return
	}
	s.judged = a.now
	s.record += learnOne * (weight - s.record*weight)
	if s.aside {
		s.backoff = min(2*s.backoff, max(a.set.ColdFor, s.backoff))
		s.trialAt = a.now + s.backoff
	} else if s.record >= asideAt && (s.down || !a.last(s)) {
		s.aside = true
		s.backoff = a.soon(t.part.query.class.Aim/2, trialTimes)
		s.trialAt = a.now + s.backoff
		a.logf("server %s set aside", s.ID)
	}
}

func (a *Aggregator) praise(s *server, t *attempt) {
	s.record *= 1 - learnOne/2
	if s.aside && t.sent >= s.trialAt {
		s.aside = false
		s.record = min(s.record, asideAt/2)
		s.window = 1
		a.logf("server %s taken back", s.ID)
	}
}

// overdueAfter is how long a part of a class may be out before something is taken to be wrong.
func (a *Aggregator) overdueAfter(c *class) time.Duration { return a.patience(c, overdueTimes) }

// patience is so many usual times of a class's calls, within what its aim bears.
func (a *Aggregator) patience(c *class, times float64) time.Duration {
	least := a.soon(c.Aim/overdueLeast, overdueFar)
	return min(max(time.Duration(c.usual*times), least), c.Aim/overdueMost)
}

// soon cuts a wait that an aim sets: else a server would miss fifty short calls for one, and the others jam.
func (a *Aggregator) soon(aim time.Duration, times float64) time.Duration {
	return min(aim, max(time.Duration(times*cmp.Or(a.usual, float64(aim))), 2*a.set.Tick))
}

func (a *Aggregator) tooLong(t *attempt) bool {
	return a.now-t.sent >= a.overdueAfter(t.part.query.class)
}

// silent tells that an attempt is not likely to be answered. A server that answers what it was sent before
// is slow or crowded and will come to it; a second copy would be work on top, which a cancel need not stop,
// just when there is too much of it: hence far later.
func (a *Aggregator) silent(t *attempt) bool {
	return a.waited(t) >= a.patience(t.part.query.class, copyTimes) && (t.unheard() || a.far(t))
}

// waited is for how long nothing has told that an attempt will be answered: since its server's last answer,
// or since it was sent if that was later, or if a later one was answered, which has overtaken it.
func (a *Aggregator) waited(t *attempt) time.Duration {
	if t.sent < t.server.newest {
		return a.now - t.sent
	}
	return a.now - max(t.sent, t.server.lastOK)
}

// far tells that this is for so long that few calls take half as long: heavy parts are overtaken, too.
func (a *Aggregator) far(t *attempt) bool {
	return float64(a.waited(t)) >= overdueFar*t.part.query.class.usual
}

// judge marks the servers that hold a part for too long; they get nothing new until its outcome is in.
func (a *Aggregator) judge() {
	for _, s := range a.working {
		s.overdue = slices.ContainsFunc(s.out, a.tooLong)
		a.freeDead(s)
	}
	a.rest()
}

// freeDead takes back safe work that a server is not likely to answer while calls are usually far faster, if
// it may be sent again, another quick server can take it, its spot is not overloaded, and some calls were
// lost on idle connections or calls are quick: from dead connections, hung servers, lost answers. It harms
// work that would end and feeds jams, and a large fleet does it all at once: hence late, with room only.
// Keyed work stays: a server that stands still may do it when the repeat elsewhere is past its window.
func (a *Aggregator) freeDead(s *server) {
	if !s.overdue || !a.set.MayCancel {
		return
	}
	other := func(o *server) bool { return o != s && a.sound(o) && o.pace < deadSlow }
	patience := deadTimes * min(max(s.pace, 1), deadSlow) // a slow one takes its time for each
	alone := !a.set.SecondCopies                          // else copies go, and a cancel may stop nothing
	for _, t := range s.out {
		c := t.part.query.class
		if c.Effect == Safe && !t.recalled && c.usual > 0 && float64(a.waited(t)) >= patience*c.usual &&
			(t.unheard() && (a.dead >= 1 || alone && c.easy()) || a.far(t) && c.easy()) &&
			a.mayAgain(t.part) && a.spot(t.part.Part).share >= 1 &&
			slices.ContainsFunc(a.holding(t.part), other) {
			t.recalled = true
			a.do(Cancel{t.part.ID, t.number})
		}
	}
}
