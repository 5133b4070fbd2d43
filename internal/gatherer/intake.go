package gatherer

import (
	"errors"
	"fmt"
	"math"
	"slices"
	"time"

	"eiderwinch"
	"eiderwinch/internal/layout"
	"eiderwinch/internal/service"
)

// Ask is a query as a client asks it.
type Ask struct {
	Trace   string // names the query to the searchers
	Class   string
	Key     string        // idempotency key; needed in keyed classes
	About   string        // what the query is about; may be empty
	Expires time.Duration // how long the client will wait; 0 means as long as its class allows
	Waited  time.Duration // for how long it has been here: behind another request of its connection
	Repeat  bool          // marked as a repeat by the client
	Tenant  string
	Text    string       // what every part carries
	Epoch   layout.Epoch // of the layout that the client knew; 0 if it does not say
	Parts   []AskPart
}

// AskPart is one part of an Ask.
type AskPart struct {
	Shard  int
	Weight float64
}

// The reasons for which an Ask is not taken.
var (
	ErrInvalid      = errors.New("malformed query")
	ErrUnknownClass = errors.New("unknown class")
	ErrDuplicate    = errors.New("a query of that trace id is open")
)

// mostOff is how far the weights of many parts may be from 1 in all.
const mostOff = 0.01

// Take takes in a query whose last byte came Waited before now, and returns its id. Where
// it returns an error the query was not taken, and the caller owes the answer.
func (c *Core) Take(now time.Time, a Ask, client Client) (uint64, error) {
	class, err := c.check(a)
	if err != nil {
		return 0, err
	}
	if a.Parts, err = c.bind(a); err != nil {
		return 0, err
	}
	c.stats.Taken++
	if c.set.Service != nil {
		c.set.Service.Take(now, class)
	}
	if wait, ok := c.admit(a, class); !ok {
		c.record(now, class, Reply{Verdict: Refused}, 0)
		client.Reply(Reply{Verdict: Refused, RetryAfter: wait, Generation: c.live.Generation})
		return 0, nil
	}
	if longest := c.set.Module.Classes[class].Deadline; a.Expires == 0 || a.Expires > longest {
		a.Expires = longest // nobody's patience is longer, whatever a client states
	}
	own := c.live.class(class)
	if own.Within > 0 {
		a.Expires = min(a.Expires, own.Within)
	}
	q := c.book(now, a, class, client)
	event := eiderwinch.Query{
		ID: q.id, Class: class, Key: a.About, Repeat: a.Repeat, Tenant: c.tenant(a.Tenant),
		Attempts: own.Attempts,
	}
	for _, p := range q.parts {
		event.Parts = append(event.Parts, p.told())
	}
	c.tell(now, event) // Left is set when the turn comes
	return q.id, nil
}

// check tells what is wrong with a query, and which class it has.
func (c *Core) check(a Ask) (class int, err error) {
	class = -1
	for i, k := range c.set.Module.Classes {
		if k.Name == a.Class {
			class = i
		}
	}
	if class < 0 {
		return 0, fmt.Errorf("%w %q", ErrUnknownClass, a.Class)
	}
	switch {
	case a.Trace == "":
		return 0, fmt.Errorf("%w: no trace id", ErrInvalid)
	case a.Key == "" && c.set.Module.Classes[class].Effect == eiderwinch.Keyed:
		return 0, fmt.Errorf("%w: class %q needs an idempotency key", ErrInvalid, a.Class)
	case a.Expires < 0:
		return 0, fmt.Errorf("%w: it has expired", ErrInvalid)
	case len(a.Parts) == 0:
		return 0, fmt.Errorf("%w: no parts", ErrInvalid)
	case c.traces[a.Trace] != nil:
		return 0, ErrDuplicate
	}
	seen, sum := make(map[int]bool), 0.0
	for _, p := range a.Parts {
		sum += p.Weight
		switch {
		case c.layout == nil && (p.Shard < 0 || p.Shard >= c.set.Module.Shards):
			return 0, fmt.Errorf("%w: no shard %d", ErrInvalid, p.Shard)
		case seen[p.Shard]:
			return 0, fmt.Errorf("%w: shard %d comes twice", ErrInvalid, p.Shard)
		case !(p.Weight >= 0 && p.Weight <= 1):
			return 0, fmt.Errorf("%w: shard %d has weight %v", ErrInvalid, p.Shard, p.Weight)
		}
		seen[p.Shard] = true
	}
	// Shares come rounded, to three digits at the worst; what is further off is a mistake.
	if rounding := 0.0005 * float64(len(a.Parts)); math.Abs(sum-1) > min(rounding, mostOff)+slack {
		return 0, fmt.Errorf("%w: the weights add up to %v", ErrInvalid, sum)
	}
	return class, nil
}

// tenant returns a tenant's number, counted from 1; 0 if it is none.
func (c *Core) tenant(name string) int {
	for i, t := range c.set.Module.Tenants {
		if t.Name == name {
			return i + 1
		}
	}
	return 0
}

// Gone tells that a query's client has left.
func (c *Core) Gone(now time.Time, id uint64) {
	if q := c.queries[id]; q != nil {
		c.stats.Gone++
		if c.set.Service != nil {
			c.set.Service.Record(now, q.class, service.Gone, now.Sub(q.taken))
		}
		c.tell(now, eiderwinch.Gone{Query: id})
		c.close(q)
	}
}

// Member is one searcher as discovery has it.
type Member struct {
	ID      string
	Zone    string
	Cell    int
	State   eiderwinch.State
	Started time.Time // zero means long ago
}

// List takes in a list of searchers, or changes to it, told at now. A whole list
// without a single searcher is passed over where some are known: discovery that has
// lost its memory says so to all gatherers at once, and none could serve. Shorter
// lists count: a searcher that is left out of one is told to be gone.
func (c *Core) List(now time.Time, kind eiderwinch.ListKind, list []Member) {
	c.stats.Updates++
	if len(list) == 0 && len(c.members) > 0 && (kind == eiderwinch.Whole || kind == eiderwinch.Stale) {
		c.stats.EmptyLists++
		c.log.Warn("a list without searchers is passed over", "known", len(c.members))
		return
	}
	event := eiderwinch.ListChange{Kind: kind}
	listed := make(map[string]bool)
	var given []eiderwinch.Replica // what is left to Believe
	c.starts.look(now)
	for _, m := range list {
		started := c.starts.place(now, m.Started, c.members[m.ID])
		r := eiderwinch.Replica{ID: m.ID, Zone: m.Zone, Cell: m.Cell, State: m.State}
		if !started.IsZero() {
			r.Started = c.clock(started)
		}
		if kind == eiderwinch.Stale && m.State == eiderwinch.Ready && c.set.Module.ColdFor > 0 {
			given = append(given, r)
			r.Started = c.clock(now) // for all that is known it may have started this moment
		}
		event.Replicas = append(event.Replicas, r)
		listed[m.ID] = true
		c.told(m.ID, m.State, m.Started, started)
	}
	if kind == eiderwinch.Whole || kind == eiderwinch.Stale {
		for id := range c.members {
			if !listed[id] {
				c.told(id, eiderwinch.Removed, time.Time{}, time.Time{})
			}
		}
	}
	if kind == eiderwinch.Changes {
		given = slices.DeleteFunc(c.given, func(r eiderwinch.Replica) bool { return listed[r.ID] })
	}
	c.given = given
	c.tell(now, event)
}

// Believe has the list that a gatherer started with believed as it was given: discovery has said
// that nothing has changed since, or stays silent. Until then each searcher in it counts as started
// at this gatherer's own start, since the list does not know which have started since it was made,
// and discovery's word on that counts as told from the first moment on.
func (c *Core) Believe(now time.Time) {
	if len(c.given) > 0 {
		c.tell(now, eiderwinch.ListChange{Kind: eiderwinch.Changes, Replicas: c.given})
		c.given = nil
	}
}

// Share tells how many parts of the fleet's limits may be used until then; see eiderwinch.Share.
func (c *Core) Share(now time.Time, slots int, until time.Time) {
	c.tell(now, eiderwinch.Share{Slots: slots, Until: c.clock(until)})
}
