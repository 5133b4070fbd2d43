package gatherer

import (
	"time"

	"eiderwinch"
	"eiderwinch/internal/due"
	"eiderwinch/internal/layout"
)

type query struct {
	id       uint64
	trace    string
	class    int
	key      string
	text     string
	client   Client
	live     *Live // the settings that it was taken under
	taken    time.Time
	timer    due.Timer[*query] // of its backstop
	deadline time.Time
	layout   *layout.Layout // the epoch that it is bound to; nil if there is no layout
	parts    []*part        // of the present step

	sent       bool      // a part of it was sent
	left       bool      // its client turned out to have left
	looked     time.Time // the turn in which that was asked last
	second     bool      // the second step has begun
	from       []int
	firstWhole bool
}

// backstop is when the core ends a query by itself: a little behind the
// deadline, at which the aggregator ends it.
func (q *query) backstop(tick time.Duration) time.Time { return q.deadline.Add(2 * tick) }

// in returns the parts of the present step that are in, and their weight.
func (q *query) in() (in []*part, weight float64) {
	for _, p := range q.parts {
		if p.in {
			in = append(in, p)
			weight += p.weight
		}
	}
	return in, weight
}

type part struct {
	id     uint64
	query  *query
	shard  int
	weight float64
	second bool
	tries  int        // attempts so far
	out    []*Attempt // those that are out: one, or two where second copies are allowed
	over   bool       // nothing comes of it any more
	first  time.Time  // when its first attempt was decided
	ran    bool       // one that has ended may have run

	in    bool
	score int64
	value string
}

// told is the part as the aggregator is told of it.
func (p *part) told() eiderwinch.Part {
	return eiderwinch.Part{ID: p.id, Shard: p.shard, Weight: p.weight, Holders: p.query.holders(p.shard)}
}

func (c *Core) newID() uint64 {
	c.lastID++
	return c.lastID
}

func (c *Core) book(now time.Time, a Ask, class int, client Client) *query {
	q := &query{
		id: c.newID(), trace: a.Trace, class: class, text: a.Text, client: client, live: c.live, layout: c.layout,
		taken: now.Add(-a.Waited), deadline: now.Add(a.Expires - a.Waited),
	}
	q.timer.Value = q
	backstop := q.backstop(c.set.Tick)
	if !c.endBy.IsZero() && c.endBy.Before(backstop) {
		backstop = c.endBy
	}
	if turn := now.Add(2 * c.set.Tick); backstop.Before(turn) {
		backstop = turn // its time is over already: the aggregator has a turn to end it all the same
	}
	c.overdue.Set(&q.timer, backstop)
	c.bound[q.epoch()]++
	c.openOf[class]++
	if c.set.Module.Classes[class].Effect == eiderwinch.Keyed {
		q.key = a.Key
	}
	c.queries[q.id] = q
	c.traces[q.trace] = q
	c.open++
	sum := 0.0
	for _, p := range a.Parts {
		sum += p.Weight
	}
	for _, p := range a.Parts {
		// Shares are rounded on their way. Left so, a query whose parts are all
		// in could fall short of a whole answer by more than the module allows.
		c.bookPart(q, p.Shard, p.Weight/sum, false)
	}
	return q
}

func (c *Core) bookPart(q *query, shard int, weight float64, second bool) *part {
	p := &part{id: c.newID(), query: q, shard: shard, weight: weight, second: second}
	q.parts = append(q.parts, p)
	c.parts[p.id] = p
	c.open++
	return p
}

// dropParts takes the parts of a query's present step off the books. Those
// with an attempt out stay known until it has ended.
func (c *Core) dropParts(q *query) {
	for _, p := range q.parts {
		p.over = true
		if len(p.out) == 0 {
			delete(c.parts, p.id)
		}
	}
	c.open -= len(q.parts)
	q.parts = nil
}

func (c *Core) close(q *query) {
	c.unbind(q)
	c.overdue.Stop(&q.timer)
	c.openOf[q.class]--
	c.dropParts(q)
	c.open--
	delete(c.queries, q.id)
	delete(c.traces, q.trace)
}

// sweep forgets the attempts that have ended, and the parts that waited for them.
func (c *Core) sweep() {
	for i, a := range c.ended {
		if a.part.over && len(a.part.out) == 0 {
			delete(c.parts, a.part.id)
		}
		c.ended[i] = nil
	}
	c.ended = c.ended[:0]
}

// member is what is known of a searcher's state.
type member struct {
	state    eiderwinch.State
	reported time.Time // its last start, as discovery tells it
	started  time.Time // the same on the monotonic clock, see starts; zero means long ago
}

// told books a searcher's state. One that is gone is forgotten: who is not known is
// barred too, and new ones come with new ids all day long.
func (c *Core) told(id string, s eiderwinch.State, reported, started time.Time) {
	if s == eiderwinch.Removed {
		delete(c.members, id)
		return
	}
	c.members[id] = member{state: s, reported: reported, started: started}
}

// barred tells that a searcher must not be sent anything: it is not known, or it
// has been told to be leaving. News may have counted as told long before it came,
// so none of the grace after it is used up: it is there for what is late.
func (c *Core) barred(id string) bool { return !c.Ready(id) }

// Ready tells that a searcher is in the list and takes new work.
func (c *Core) Ready(id string) bool {
	m, ok := c.members[id]
	return ok && m.state == eiderwinch.Ready
}

// Listed tells that a searcher is in the list.
func (c *Core) Listed(id string) bool {
	_, ok := c.members[id]
	return ok
}
