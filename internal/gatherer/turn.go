package gatherer

import "eiderwinch"

// turn gives the aggregator a turn and carries out what it decides. Its sends
// to one searcher travel as calls of as many parts as one may have.
func (c *Core) turn() {
	c.stats.Turns++
	events := c.events
	c.events = nil // actions add to those of the next turn
	for i, e := range events {
		if e, ok := e.(eiderwinch.Query); ok {
			if q := c.queries[e.ID]; q != nil {
				e.Left = q.deadline.Sub(c.now)
			}
			events[i] = e
		}
	}
	calls := make(map[string][]*Attempt)
	var order []string
	for _, action := range c.decide.Turn(c.clock(c.now), events) {
		switch x := action.(type) {
		case eiderwinch.Send:
			if a := c.begin(x); a != nil {
				if calls[a.Searcher] == nil {
					order = append(order, a.Searcher)
				}
				calls[a.Searcher] = append(calls[a.Searcher], a)
			}
		case eiderwinch.Cancel:
			c.cancel(x)
		case eiderwinch.Answer:
			c.answer(x)
		case eiderwinch.Refuse:
			c.refuse(x)
		case eiderwinch.Fail:
			c.fail(x)
		case eiderwinch.Wake:
			if at := c.now.Add(x.After); c.wakeAt.IsZero() || at.Before(c.wakeAt) {
				c.wakeAt = at
			}
		case eiderwinch.Disconnect:
			c.searchers.CloseIdle(x.Replica)
		case eiderwinch.Log:
			c.log.Info(x.Text)
		}
	}
	for _, q := range c.left {
		c.Gone(c.now, q.id)
	}
	c.left = c.left[:0]
	most := max(c.set.Module.Batch, 1)
	for _, to := range order {
		for rest := calls[to]; len(rest) > 0; {
			n := min(len(rest), most)
			c.stats.Calls++
			c.stats.Sent += n
			c.searchers.Call(c.now, rest[:n:n])
			rest = rest[n:]
		}
	}
}
