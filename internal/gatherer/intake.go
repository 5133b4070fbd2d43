package gatherer

import (
	"errors"
	"fmt"
	"math"
	"slices"
	"time"

	"eiderwinch"
	"eiderwinch/internal/layout"
	"eiderwinch/internal/querystats"
)

// QueryRequest is a query as a client sends it.
type QueryRequest struct {
	Trace          string // identifies the query to the searchers
	Class          string
	IdempotencyKey string        // idempotency key; required in keyed classes
	SubjectKey     string        // what the query is about; may be empty
	Timeout        time.Duration // how long the client waits; 0 means the deadline of the class
	Waited         time.Duration // time since its last byte arrived, in which it waited for another request on its connection
	Repeat         bool          // marked as a repeat by the client
	Tenant         string
	Text           string       // query text, sent with every part
	Epoch          layout.Epoch // of the layout that the client used; 0 if the client gives none
	Parts          []PartRequest
}

// PartRequest is one part of a QueryRequest.
type PartRequest struct {
	Shard  int
	Weight float64
}

// Errors that Core.Take returns for a query that it does not accept; see also ErrUnknownEpoch.
var (
	ErrInvalid      = errors.New("malformed query")
	ErrUnknownClass = errors.New("unknown class")
	ErrDuplicate    = errors.New("a query with this trace id is open or may have run")
)

// maxWeightError is how far the sum of the weights may be from 1, however many parts there are.
const maxWeightError = 0.01

// Take accepts a query whose last byte arrived request.Waited before now, and returns its ID.
// If the query exceeds a limit on open queries, or there is no room for it, Take refuses it by client.Reply and returns 0.
// If it returns an error, the query was not accepted and the caller must answer the client.
func (c *Core) Take(now time.Time, request QueryRequest, client Client) (uint64, error) {
	class, err := c.validate(now, request)
	if err != nil {
		return 0, err
	}
	if request.Parts, err = c.translateParts(request); err != nil {
		return 0, err
	}
	c.stats.Taken++
	if c.settings.Recorder != nil {
		c.settings.Recorder.Take(now, class)
	}
	if retryAfter, ok := c.admit(request, class, client); !ok {
		c.recordOutcome(now, class, Reply{Kind: Refused}, 0)
		client.Reply(Reply{Kind: Refused, RetryAfter: retryAfter, Generation: c.liveSettings.Generation})
		return 0, nil
	}
	if longest := c.settings.Module.Classes[class].Deadline; request.Timeout == 0 || request.Timeout > longest {
		request.Timeout = longest // the class's deadline is the upper bound, whatever the client states
	}
	limits := c.liveSettings.class(class)
	if limits.MaxDuration > 0 {
		request.Timeout = min(request.Timeout, limits.MaxDuration)
	}
	q := c.addQuery(now, request, class, client)
	event := eiderwinch.Query{
		ID: q.id, Class: class, Key: request.SubjectKey, Repeat: request.Repeat, Tenant: c.tenantNumber(request.Tenant),
		Attempts: limits.Attempts,
	}
	for _, p := range q.parts {
		event.Parts = append(event.Parts, p.modulePart())
	}
	c.addEvent(now, event) // runTurn sets Left
	return q.id, nil
}

// validate returns the class number of a query, or an error that says why it is malformed.
func (c *Core) validate(now time.Time, request QueryRequest) (class int, err error) {
	class = -1
	for i, k := range c.settings.Module.Classes {
		if k.Name == request.Class {
			class = i
		}
	}
	if class < 0 {
		return 0, fmt.Errorf("%w %q", ErrUnknownClass, request.Class)
	}
	switch {
	case request.Trace == "":
		return 0, fmt.Errorf("%w: no trace id", ErrInvalid)
	case request.IdempotencyKey == "" && c.settings.Module.Classes[class].Effect == eiderwinch.Keyed:
		return 0, fmt.Errorf("%w: class %q needs an idempotency key", ErrInvalid, request.Class)
	case request.Timeout < 0:
		return 0, fmt.Errorf("%w: already expired", ErrInvalid)
	case len(request.Parts) == 0:
		return 0, fmt.Errorf("%w: no parts", ErrInvalid)
	case c.queriesByTrace[request.Trace] != nil || c.usedIDs.contains(now, request.Trace):
		return 0, ErrDuplicate
	}
	seen, sum := make(map[int]bool), 0.0
	for _, p := range request.Parts {
		sum += p.Weight
		switch {
		case c.layout == nil && (p.Shard < 0 || p.Shard >= c.settings.Module.Shards):
			return 0, fmt.Errorf("%w: unknown shard %d", ErrInvalid, p.Shard)
		case seen[p.Shard]:
			return 0, fmt.Errorf("%w: shard %d appears twice", ErrInvalid, p.Shard)
		case !(p.Weight >= 0 && p.Weight <= 1):
			return 0, fmt.Errorf("%w: shard %d has weight %v, want 0 to 1", ErrInvalid, p.Shard, p.Weight)
		}
		seen[p.Shard] = true
	}
	// Clients round weights to at least three decimal places. A larger error is a mistake of the client.
	if rounding := 0.0005 * float64(len(request.Parts)); math.Abs(sum-1) > min(rounding, maxWeightError)+weightTolerance {
		return 0, fmt.Errorf("%w: weights add up to %v, want 1", ErrInvalid, sum)
	}
	return class, nil
}

// tenantNumber returns a tenant's number, counted from 1; 0 if there is no such tenant.
func (c *Core) tenantNumber(name string) int {
	for i, t := range c.settings.Module.Tenants {
		if t.Name == name {
			return i + 1
		}
	}
	return 0
}

// ClientDisconnected removes a query whose client has disconnected.
func (c *Core) ClientDisconnected(now time.Time, id uint64) {
	if q := c.queries[id]; q != nil {
		c.stats.ClientsDisconnected++
		if c.settings.Recorder != nil {
			c.settings.Recorder.Record(now, q.class, querystats.Gone, now.Sub(q.takenAt))
		}
		c.addEvent(now, eiderwinch.Gone{Query: id})
		c.removeQuery(now, q)
	}
}

// Member is an entry of the member list that discovery gives.
type Member struct {
	ID      string
	Zone    string
	Cell    int
	State   eiderwinch.State
	Started time.Time // zero means long ago
}

// UpdateMembers applies the member list, or changes to it, received at now. A complete list
// without any searcher is ignored if some are known: a discovery service that has lost
// its state sends one to all gatherers at once, and none could serve. Any other complete
// list is applied: a searcher that it omits is removed.
func (c *Core) UpdateMembers(now time.Time, kind eiderwinch.ListKind, list []Member) {
	c.stats.Updates++
	if len(list) == 0 && len(c.members) > 0 && (kind == eiderwinch.Whole || kind == eiderwinch.Stale) {
		c.stats.EmptyLists++
		c.log.Warn("ignored a member list without searchers", "known", len(c.members))
		return
	}
	event := eiderwinch.ListChange{Kind: kind}
	listed := make(map[string]bool)
	var unconfirmed []eiderwinch.Replica // for ConfirmMembers
	c.startTimes.detectClockStep(now)
	for _, m := range list {
		started := c.startTimes.toMonotonic(now, m.Started, c.members[m.ID])
		r := eiderwinch.Replica{ID: m.ID, Zone: m.Zone, Cell: m.Cell, State: m.State}
		if !started.IsZero() {
			r.Started = c.moduleTime(started)
		}
		if kind == eiderwinch.Stale && m.State == eiderwinch.Ready && c.settings.Module.ColdDuration > 0 {
			unconfirmed = append(unconfirmed, r)
			r.Started = c.moduleTime(now) // the list is old; the searcher may have started since
		}
		event.Replicas = append(event.Replicas, r)
		listed[m.ID] = true
		c.setMember(m.ID, m.State, m.Started, started)
	}
	if kind == eiderwinch.Whole || kind == eiderwinch.Stale {
		for id := range c.members {
			if !listed[id] {
				c.setMember(id, eiderwinch.Removed, time.Time{}, time.Time{})
			}
		}
	}
	if kind == eiderwinch.Changes {
		unconfirmed = slices.DeleteFunc(c.unconfirmed, func(r eiderwinch.Replica) bool { return listed[r.ID] })
	}
	c.unconfirmed = unconfirmed
	c.addEvent(now, event)
}

// ConfirmMembers confirms the member list that the gatherer started with, because discovery has reported
// no changes to it or does not answer. Until then each ready searcher in it counts as started when the list
// was received: the list does not show starts since it was made, and this gatherer counts as notified of
// those from its own start on.
func (c *Core) ConfirmMembers(now time.Time) {
	if len(c.unconfirmed) > 0 {
		c.addEvent(now, eiderwinch.ListChange{Kind: eiderwinch.Changes, Replicas: c.unconfirmed})
		c.unconfirmed = nil
	}
}

// SetShare sets how many slots of the fleet's limits this gatherer may use until the given time;
// see eiderwinch.Share.
func (c *Core) SetShare(now time.Time, slots int, until time.Time) {
	c.addEvent(now, eiderwinch.Share{Slots: slots, Until: c.moduleTime(until)})
}
