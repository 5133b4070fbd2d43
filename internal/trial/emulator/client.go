package emulator

import (
	"cmp"
	"slices"
	"strconv"
	"time"

	"eiderwinch/internal/gatherer"
)

// client is one that asks a query, and asks again where it is refused.
type client struct {
	w      *world
	class  int
	id     uint64
	node   *node
	trace  string
	key    string
	first  int    // of its segments
	about  string // its key
	tenant int    // -1 where there are none
	tries  int
	asked  time.Time // its first try
	query  uint64
	over   bool // the try at hand is over
	slot   int  // its place among the open ones
}

func newClient(w *world, class int) *client {
	c := &client{
		w: w, class: class, id: w.asked, key: "k" + strconv.FormatUint(w.asked, 10),
		first: w.rng.IntN(w.Cells * w.PerCell), asked: w.now, tenant: w.drawTenant(),
	}
	if w.Keys > 0 {
		about := 1 + w.rng.IntN(w.Keys)
		if w.focus > 0 && w.rng.Float64() < w.focus {
			about, c.first = 0, 0 // queries about one key need the same segments
		}
		c.about = "a" + strconv.Itoa(about)
	}
	return c
}

// frontNotes is how long the front goes on sending to a gatherer that is gone.
const frontNotes = 2 * time.Second

// front picks any gatherer but those that it has noted to be gone; any at all where all are.
func (w *world) front() *node {
	var list []*node
	for _, n := range w.nodes {
		if !n.down || w.now.Sub(n.downAt) < frontNotes {
			list = append(list, n)
		}
	}
	if len(list) == 0 {
		list = w.nodes
	}
	return list[w.rng.IntN(len(list))]
}

// ask sends the query to any gatherer that the front knows.
func (c *client) ask() {
	w := c.w
	c.tries++
	c.over = false
	c.node = w.front()
	c.trace = strconv.Itoa(c.class) + "-" + strconv.FormatUint(c.id, 10) + "-" + strconv.Itoa(c.tries)
	if c.tries == 1 {
		w.result.ask(c)
	}
	n, life := c.node, c.node.life
	w.after(w.Near, func() {
		if n.life != life || n.down {
			c.broken()
			return
		}
		k := w.Classes[c.class]
		left := k.Deadline - w.now.Sub(c.asked)
		if left <= 0 {
			c.end(failed)
			return
		}
		a := gatherer.Ask{Trace: c.trace, Class: k.Name, Key: c.key, Expires: left, Repeat: c.tries > 1, Text: "q", About: c.about}
		if c.tenant >= 0 {
			a.Tenant = tenantName(c.tenant)
		}
		for i := range k.Parts {
			a.Parts = append(a.Parts, gatherer.AskPart{Shard: (c.first + i) % (w.Cells * w.PerCell), Weight: 1 / float64(k.Parts)})
		}
		w.result.enter(c)
		id, err := n.core.Take(w.now, a, c)
		if err != nil {
			w.result.breach("query %s was not taken: %v", c.trace, err)
			c.end(failed)
			return
		}
		c.query = id
		n.arm()
	})
}

// Reply implements gatherer.Client.
func (c *client) Reply(r gatherer.Reply) {
	if c.over {
		c.w.result.breach("query %s was answered twice", c.trace)
		return
	}
	c.over = true
	c.w.result.leave(c)
	c.w.after(c.w.Near, func() { c.heard(r) })
}

// Left implements gatherer.Client. Who leaves here is told at once.
func (*client) Left() bool { return false }

// heard is when the answer is there.
func (c *client) heard(r gatherer.Reply) {
	switch {
	case r.Verdict == gatherer.Answered && r.Whole:
		c.end(whole)
	case r.Verdict == gatherer.Answered:
		c.end(partial)
	case r.Verdict == gatherer.Refused && c.again(r.RetryAfter):
	case r.Verdict == gatherer.Refused:
		c.end(refused)
	default:
		c.end(failed)
	}
}

// again asks once more where there are tries and time left.
func (c *client) again(wait time.Duration) bool {
	w := c.w
	deadline := w.Classes[c.class].Deadline
	if wait == 0 {
		wait = 100 * time.Millisecond
	}
	if c.tries >= w.Tries || w.now.Add(wait).Sub(c.asked) >= deadline {
		return false
	}
	w.after(wait, c.ask)
	return true
}

// broken is when its gatherer died: a keyed query is not repeated, since it may have
// been carried out, and nobody tells.
func (c *client) broken() {
	c.over = true
	c.w.result.leave(c)
	c.end(failed)
}

func (c *client) end(o outcome) { c.w.result.end(c, o) }

func sortFlights(list []*flight) {
	slices.SortFunc(list, func(a, b *flight) int { return cmp.Compare(a.id, b.id) })
}
