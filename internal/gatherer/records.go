package gatherer

import (
	"strconv"
	"time"

	"eiderwinch"
	"eiderwinch/internal/layout"
	"eiderwinch/internal/timerqueue"
)

// query is the record of an open query.
type query struct {
	id            uint64
	trace         string
	class         int
	key           string
	text          string
	client        Client
	liveSettings  *LiveSettings // the settings in force when the query was taken
	takenAt       time.Time
	backstopTimer timerqueue.Timer[*query] // ends the query at its backstop
	deadline      time.Time
	layout        *layout.Layout // the epoch that the query is bound to; nil if there is no layout
	parts         []*part        // of the current step
	size          int            // bytes that the query takes, with the values of its parts

	sent            bool      // an attempt of a part was started
	disconnected    bool      // the client was found to have disconnected
	clientCheckedAt time.Time // time of the turn in which the client was last checked
	secondStep      bool      // the second step has begun
	firstStepShards []int
	firstStepWhole  bool
}

// backstop returns when the core ends a query by itself: shortly after the
// deadline, at which the aggregator should have ended it.
func (q *query) backstop(tick time.Duration) time.Time { return q.deadline.Add(2 * tick) }

// usableParts returns the answered parts of a query's current step and their total weight, without those whose answer
// something stands behind that may refute it.
func (c *Core) usableParts(q *query) (usable []*part, weight float64) {
	for _, p := range q.parts {
		best := p.answers.best()
		if best != nil && !(best.state == provisionalAnswer && c.searchers.DataBehind(best.attempt)) {
			usable = append(usable, p)
			weight += p.weight
		}
	}
	return usable, weight
}

// part is the record of one part of a query. It is kept until its step or query has
// ended and none of its attempts is in flight.
type part struct {
	id             uint64
	query          *query
	shard          int
	weight         float64
	secondStep     bool
	attempts       int        // number of attempts so far, including sends that were rejected
	inFlight       []*Attempt // at most one, or maxInFlight where second copies are allowed
	givenUp        []*Attempt // those that timed out or were cancelled: their answers may still come
	removed        bool       // the step or query has ended; results are ignored
	mayHaveRunFrom time.Time  // time of the turn that started the earliest attempt that has ended and may have run; zero if there is none
	answers        partAnswers
	used           *answer // the answer that stands in the query's final one, or for which its second step names the part
}

// partID returns the ID of a part as sent to searchers.
func partID(trace string, shard int, secondStep bool) string {
	id := trace + "." + strconv.Itoa(shard)
	if secondStep {
		id += ".b"
	}
	return id
}

// modulePart returns the part in the form that the decision module takes.
func (p *part) modulePart() eiderwinch.Part {
	return eiderwinch.Part{ID: p.id, Shard: p.shard, Weight: p.weight, Holders: p.query.holders(p.shard)}
}

func (c *Core) newID() uint64 {
	c.lastID++
	return c.lastID
}

// addQuery registers a query and its parts.
func (c *Core) addQuery(now time.Time, request QueryRequest, class int, client Client) *query {
	q := &query{
		id: c.newID(), trace: request.Trace, class: class, text: request.Text, client: client, liveSettings: c.liveSettings, layout: c.layout,
		takenAt: now.Add(-request.Waited), deadline: now.Add(request.Timeout - request.Waited),
	}
	q.backstopTimer.Value = q
	backstop := q.backstop(c.settings.Tick)
	if !c.endBy.IsZero() && c.endBy.Before(backstop) {
		backstop = c.endBy
	}
	if turn := now.Add(2 * c.settings.Tick); backstop.Before(turn) {
		backstop = turn // even with little or no time left, the aggregator gets a turn to end the query
	}
	c.backstops.Set(&q.backstopTimer, backstop)
	c.openByEpoch[q.epoch()]++
	c.openByClass[class]++
	if c.settings.Module.Classes[class].Effect == eiderwinch.Keyed {
		q.key = request.IdempotencyKey
	}
	c.queries[q.id] = q
	q.hold(querySize(len(q.text), len(request.Parts)))
	c.queriesByTrace[q.trace] = q
	c.openCount++
	sum := 0.0
	for _, p := range request.Parts {
		sum += p.Weight
	}
	for _, p := range request.Parts {
		// Clients send rounded weights. Without this normalization, a query whose
		// parts are all answered could miss the weight of a whole answer by more
		// than the module tolerates.
		c.addPart(q, p.Shard, p.Weight/sum, false)
	}
	return q
}

func (c *Core) addPart(q *query, shard int, weight float64, secondStep bool) *part {
	p := &part{id: c.newID(), query: q, shard: shard, weight: weight, secondStep: secondStep}
	q.parts = append(q.parts, p)
	c.parts[p.id] = p
	c.openCount++
	return p
}

// removeParts removes the parts of a query's current step. Parts with an attempt
// in flight stay in c.parts until that attempt has ended.
func (c *Core) removeParts(q *query) {
	for _, p := range q.parts {
		p.removed = true
		p.answers.forgetValues()
		if len(p.inFlight) == 0 {
			delete(c.parts, p.id)
		}
	}
	c.openCount -= len(q.parts)
	q.parts = nil
}

// removeQuery removes a query and its parts.
func (c *Core) removeQuery(now time.Time, q *query) {
	if q.sent {
		c.usedIDs.add(now, q.trace)
	}
	c.releaseEpoch(q)
	c.backstops.Stop(&q.backstopTimer)
	c.openByClass[q.class]--
	c.removeParts(q)
	c.openCount--
	delete(c.queries, q.id)
	delete(c.queriesByTrace, q.trace)
	q.hold(-q.size)
	q.text, q.client = "", nil // attempts that are in flight, or were abandoned and may be answered, keep the record
}

// removeEndedAttempts drops the attempts that have ended, and the removed parts
// that were kept because of them.
func (c *Core) removeEndedAttempts() {
	for i, a := range c.endedAttempts {
		if a.part.removed && len(a.part.inFlight) == 0 {
			delete(c.parts, a.part.id)
		}
		c.endedAttempts[i] = nil
	}
	c.endedAttempts = c.endedAttempts[:0]
}

// member is a searcher's entry in the member list.
type member struct {
	state         eiderwinch.State
	reportedStart time.Time // time of the last start, as reported by discovery
	startedAt     time.Time // the same on the monotonic clock, see startTimes; zero means long ago
}

// setMember records a searcher's state. A removed searcher is deleted: an unknown searcher
// counts as not ready anyway, and because new searchers have new IDs, entries that are never
// deleted would accumulate.
func (c *Core) setMember(id string, state eiderwinch.State, reported, started time.Time) {
	if state == eiderwinch.Removed {
		delete(c.members, id)
		return
	}
	c.members[id] = member{state: state, reportedStart: reported, startedAt: started}
}

// notReady reports whether nothing may be sent to a searcher, because it is not in the
// member list or is draining. The drain grace may have begun long before the update
// arrived here, so nothing more is sent once the update is read; the grace only covers
// what was sent before that.
func (c *Core) notReady(id string) bool { return !c.Ready(id) }

// Ready reports whether a searcher is in the member list and takes new work.
func (c *Core) Ready(id string) bool {
	m, ok := c.members[id]
	return ok && m.state == eiderwinch.Ready
}

// Listed reports whether a searcher is in the member list.
func (c *Core) Listed(id string) bool {
	_, ok := c.members[id]
	return ok
}
