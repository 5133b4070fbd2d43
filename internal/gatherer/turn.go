package gatherer

import "eiderwinch"

// runTurn gives the aggregator a turn and carries out the actions that it returns.
// The sends to one searcher are batched into calls of at most Settings.Module.MaxBatch parts.
func (c *Core) runTurn() {
	c.stats.Turns++
	events := c.pendingEvents
	c.pendingEvents = nil // events that actions cause are for the next turn
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
	for _, action := range c.decider.Turn(c.moduleTime(c.now), events) {
		switch x := action.(type) {
		case eiderwinch.Send:
			if a := c.startAttempt(x); a != nil {
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
	for _, q := range c.disconnected {
		c.ClientDisconnected(c.now, q.id)
	}
	c.disconnected = c.disconnected[:0]
	maxParts := max(c.settings.Module.MaxBatch, 1)
	for _, searcher := range order {
		for remaining := calls[searcher]; len(remaining) > 0; {
			n := min(len(remaining), maxParts)
			c.stats.Calls++
			c.stats.Sent += n
			c.searchers.Call(c.now, remaining[:n:n])
			remaining = remaining[n:]
		}
	}
}
