package gatherer

import (
	"slices"
	"strconv"
	"time"

	"eiderwinch"
	"eiderwinch/internal/due"
)

// Attempt is one attempt of a part at a searcher.
type Attempt struct {
	Searcher string
	Trace    string
	Shard    int
	Text     string
	Key      string
	Second   bool  // of a second step
	From     []int // Second: the shards that were in
	Whole    bool  // Second: the first step was whole
	Deadline time.Time

	// Load is what the searcher reported of itself with its answer, set before
	// Core.Result is called; nil if it did not.
	Load *eiderwinch.Load

	part   *part
	number int
	sent   time.Time
	over   bool
	timer  due.Timer[*Attempt] // of Deadline
}

// Decided is when the aggregator's turn was in which it was sent.
func (a *Attempt) Decided() time.Time { return a.sent }

// MayGoAgain tells that its part may be sent again: nothing of that has come, and its query goes on.
func (a *Attempt) MayGoAgain() bool { return !a.part.over && !a.part.in }

// PartID names its part to the searchers: by the query's trace, the shard, and ".b" in a
// second step. All attempts of a part bear the same.
func (a *Attempt) PartID() string {
	id := a.Trace + "." + strconv.Itoa(a.Shard)
	if a.Second {
		id += ".b"
	}
	return id
}

// begin starts one attempt. It lets out none that would break a rule,
// whatever the aggregator thinks: for a part that is over, beside another
// attempt of the part where mayCopy says no, beyond the limit on attempts, or at a
// searcher that does not hold the part's segment in the query's epoch.
func (c *Core) begin(x eiderwinch.Send) *Attempt {
	p := c.parts[x.Part]
	if p == nil {
		c.log.Error("send for an unknown part", "part", x.Part)
		return nil
	}
	most := c.set.Module.MaxAttempts
	if own := p.query.live.class(p.query.class).Attempts; own > 0 && (most == 0 || own < most) {
		most = own
	}
	holders := p.query.holders(p.shard)
	stranger := holders != nil && !slices.Contains(holders, x.Replica)
	breaks := p.over || len(p.out) > 0 && !c.mayCopy(p, x.Replica) || most > 0 && p.tries >= most || stranger || c.barred(x.Replica)
	if breaks || c.hasLeft(p.query) {
		if breaks {
			c.log.Warn("send not let out", "trace", p.query.trace, "shard", p.shard, "searcher", x.Replica)
			c.stats.NotSent++
		}
		c.tell(c.now, eiderwinch.Outcome{
			Part: p.id, Attempt: p.tries, Replica: x.Replica, Status: eiderwinch.NotSent,
		})
		p.tries++
		return nil
	}
	wait := p.query.deadline.Sub(c.now)
	if x.TimeOut > 0 {
		wait = min(wait, x.TimeOut)
	}
	a := &Attempt{
		Searcher: x.Replica, Trace: p.query.trace, Shard: p.shard, Text: p.query.text, Key: p.query.key,
		Second: p.second, Deadline: c.now.Add(wait), part: p, number: p.tries, sent: c.now,
	}
	if p.second {
		a.From, a.Whole = p.query.from, p.query.firstWhole
	}
	p.query.sent = true
	if p.first.IsZero() {
		p.first = c.now
	}
	if p.tries > 0 {
		c.stats.Further++
	}
	if started := c.members[x.Replica].started; !started.IsZero() && c.now.Sub(started) < c.set.Module.ColdFor {
		c.stats.Cold++
	}
	p.tries++
	if len(p.out) > 0 {
		c.stats.Copies++
	}
	p.out = append(p.out, a)
	a.timer.Value = a
	c.attempts.Set(&a.timer, a.Deadline)
	return a
}

// mostOut is how many attempts of a part may be out where second copies are allowed.
const mostOut = 2

// mayCopy tells that a second attempt of a part may go to a searcher while the first is
// out: only where the settings allow second copies and the class repeats, and never to the
// searcher that has the first: both bear the part's id, so its answers could not be told apart.
func (c *Core) mayCopy(p *part, searcher string) bool {
	return c.set.Module.SecondCopies && c.set.Module.Classes[p.query.class].Effect != eiderwinch.Unsafe &&
		len(p.out) < mostOut && !slices.ContainsFunc(p.out, func(a *Attempt) bool { return a.Searcher == searcher })
}

// cancel calls an attempt off.
func (c *Core) cancel(x eiderwinch.Cancel) {
	p := c.parts[x.Part]
	if p == nil {
		return
	}
	if i := slices.IndexFunc(p.out, func(a *Attempt) bool { return a.number == x.Attempt }); i >= 0 {
		a := p.out[i]
		c.end(c.now, a, eiderwinch.Cancelled)
		c.searchers.Abandon(a)
	}
}

// expire ends the attempts whose time is up.
func (c *Core) expire() {
	for t := c.attempts.Pop(c.now); t != nil; t = c.attempts.Pop(c.now) {
		c.end(c.now, t.Value, eiderwinch.TimedOut)
		c.searchers.Abandon(t.Value)
	}
}

// hasLeft tells, once in a turn, that a query's client has left, though nobody has read that
// yet: a loop that was late reads what has come after the turn. What begins then is work for nobody.
func (c *Core) hasLeft(q *query) bool {
	if !q.left && !q.looked.Equal(c.now) {
		q.looked = c.now
		if q.left = q.client.Left(); q.left {
			c.left = append(c.left, q)
			c.stats.LeftUnread++
		}
	}
	return q.left
}

// MaySend tells whether an attempt that has waited for a connection may still
// be written: somebody waits for it, its searcher takes new work, and its window allows it.
func (c *Core) MaySend(now time.Time, a *Attempt) bool {
	return !a.over && now.Before(a.Deadline) && !c.barred(a.Searcher) && !a.unwanted() && !c.windowOver(now, a)
}

// unwanted tells that nobody waits for an attempt that is out: its query has ended, and the
// aggregator has not taken it back yet or may not, or its client has left.
func (a *Attempt) unwanted() bool { return a.part.over || a.part.query.client.Left() }

// windowOver tells that an attempt of a keyed part, of which another may have run, comes too late
// for its searchers to know it for a repeat. The aggregator has asked that of the time when it
// decided; since then the attempt may have waited for a connection for longer than was left.
func (c *Core) windowOver(now time.Time, a *Attempt) bool {
	class, p := c.set.Module.Classes[a.part.query.class], a.part
	others := p.ran || len(p.out) > 1
	return class.Effect == eiderwinch.Keyed && others && !now.Add(c.set.Tick).Before(p.first.Add(class.RepeatWindow))
}

// end ends an attempt, once, and tells the aggregator how.
func (c *Core) end(now time.Time, a *Attempt, s eiderwinch.Status) bool {
	if a.over {
		return false
	}
	a.over = true
	c.attempts.Stop(&a.timer)
	c.ended = append(c.ended, a)
	a.part.out = slices.DeleteFunc(a.part.out, func(x *Attempt) bool { return x == a })
	a.part.ran = a.part.ran || s != eiderwinch.Full && s != eiderwinch.NoConnection && s != eiderwinch.NotSent
	c.count(s)
	c.tell(now, eiderwinch.Outcome{
		Part: a.part.id, Attempt: a.number, Replica: a.Searcher, Status: s, Took: now.Sub(a.sent), Load: a.Load,
	})
	return true
}

func (c *Core) count(s eiderwinch.Status) {
	switch s {
	case eiderwinch.OK:
		c.stats.OK++
	case eiderwinch.Failed:
		c.stats.Errors++
	case eiderwinch.Full:
		c.stats.Skipped++
	case eiderwinch.TimedOut:
		c.stats.TimedOut++
	case eiderwinch.NoConnection:
		c.stats.Unconnected++
	case eiderwinch.Reset:
		c.stats.Reset++
	case eiderwinch.Cancelled:
		c.stats.Cancelled++
	}
}
