package emulator

import (
	"cmp"
	"slices"
	"strconv"
	"time"

	"eiderwinch/internal/gatherer"
)

// client sends one query, and sends it again when it is refused.
type client struct {
	sim            *simulation
	class          int
	id             uint64 // number of the query in the run
	node           *node
	trace          string
	idempotencyKey string
	firstSegment   int    // its parts go to consecutive segments, from this one on
	subject        string // the key that the query is about; empty if there is none
	tenant         int    // -1 if the scenario has no tenants
	tries          int
	askedAt        time.Time // time of the first try
	queryID        uint64    // id of the current try at its gatherer
	ended          bool      // the current try has ended
	openIndex      int       // index in Result.open
}

func newClient(sim *simulation, class int) *client {
	c := &client{
		sim: sim, class: class, id: sim.queryCount, idempotencyKey: "k" + strconv.FormatUint(sim.queryCount, 10),
		firstSegment: sim.rng.IntN(sim.Cells * sim.SegmentsPerCell), askedAt: sim.now, tenant: sim.drawTenant(),
	}
	if sim.Keys > 0 {
		subject := 1 + sim.rng.IntN(sim.Keys)
		if sim.hotKeyShare > 0 && sim.rng.Float64() < sim.hotKeyShare {
			subject, c.firstSegment = 0, 0 // queries about one key need the same segments
		}
		c.subject = "a" + strconv.Itoa(subject)
	}
	return c
}

// frontEndDetectionDelay is how long the front end keeps sending queries to a gatherer that has died.
const frontEndDetectionDelay = 2 * time.Second

// chooseNode picks a random gatherer as the front end does: one that it does not know to be dead, or any one if
// it knows all of them to be dead.
func (sim *simulation) chooseNode() *node {
	var candidates []*node
	for _, n := range sim.nodes {
		if !n.down || sim.now.Sub(n.downAt) < frontEndDetectionDelay {
			candidates = append(candidates, n)
		}
	}
	if len(candidates) == 0 {
		candidates = sim.nodes
	}
	return candidates[sim.rng.IntN(len(candidates))]
}

// ask sends the query to a gatherer that the front end chooses.
func (c *client) ask() {
	sim := c.sim
	c.tries++
	c.ended = false
	c.node = sim.chooseNode()
	c.trace = strconv.Itoa(c.class) + "-" + strconv.FormatUint(c.id, 10) + "-" + strconv.Itoa(c.tries)
	if c.tries == 1 {
		sim.result.recordQuery(c)
	}
	n, process := c.node, c.node.process
	sim.after(sim.NearDelay, func() {
		if n.process != process || n.down {
			c.gathererDied()
			return
		}
		spec := sim.Classes[c.class]
		left := spec.Deadline - sim.now.Sub(c.askedAt)
		if left <= 0 {
			c.finish(failed)
			return
		}
		request := gatherer.QueryRequest{Trace: c.trace, Class: spec.Name, IdempotencyKey: c.idempotencyKey, Timeout: left, Repeat: c.tries > 1, Text: "q", SubjectKey: c.subject}
		if c.tenant >= 0 {
			request.Tenant = tenantName(c.tenant)
		}
		for i := range spec.Parts {
			request.Parts = append(request.Parts, gatherer.PartRequest{Shard: (c.firstSegment + i) % (sim.Cells * sim.SegmentsPerCell), Weight: 1 / float64(spec.Parts)})
		}
		sim.result.addOpen(c)
		id, err := n.core.Take(sim.now, request, c)
		if err != nil {
			sim.result.addBreach("query %s was not accepted: %v", c.trace, err)
			c.finish(failed)
			return
		}
		c.queryID = id
		n.scheduleRun()
	})
}

// Reply implements gatherer.Client.
func (c *client) Reply(r gatherer.Reply) {
	if c.ended {
		c.sim.result.addBreach("query %s was answered twice", c.trace)
		return
	}
	c.ended = true
	c.sim.result.removeOpen(c)
	c.sim.after(c.sim.NearDelay, func() { c.receive(r) })
}

// Disconnected implements gatherer.Client. It is always false: in this model the core learns at once that a client
// has left.
func (*client) Disconnected() bool { return false }

// MayHold implements gatherer.Client.
func (*client) MayHold(int) bool { return true }

// Hold implements gatherer.Client.
func (*client) Hold(int) {}

// receive handles the gatherer's answer once it has reached the client.
func (c *client) receive(r gatherer.Reply) {
	switch {
	case r.Kind == gatherer.Answered && r.Whole:
		c.finish(whole)
	case r.Kind == gatherer.Answered:
		c.finish(partial)
	case r.Kind == gatherer.Refused && c.tryAgain(r.RetryAfter):
	case r.Kind == gatherer.Refused:
		c.finish(refused)
	default:
		c.finish(failed)
	}
}

// tryAgain schedules another try after wait, or after a default wait if it is 0. It returns false if the
// client has no tries or no time left.
func (c *client) tryAgain(wait time.Duration) bool {
	sim := c.sim
	deadline := sim.Classes[c.class].Deadline
	if wait == 0 {
		wait = 100 * time.Millisecond
	}
	if c.tries >= sim.MaxTries || sim.now.Add(wait).Sub(c.askedAt) >= deadline {
		return false
	}
	sim.after(wait, c.ask)
	return true
}

// gathererDied fails the query when its gatherer has died. The client does not send it again: a keyed
// query may have been executed, and the client can't find out whether it was.
func (c *client) gathererDied() {
	c.ended = true
	c.sim.result.removeOpen(c)
	c.finish(failed)
}

func (c *client) finish(o outcome) { c.sim.result.recordOutcome(c, o) }

func sortAttempts(list []*pendingAttempt) {
	slices.SortFunc(list, func(a, b *pendingAttempt) int { return cmp.Compare(a.partID, b.partID) })
}
