package gatherer

import "time"

// admit tells whether a query and its parts fit under the limits on open ones, of
// all and of its class, and, where they do not, when to come back if clients are told that. Such a query must not reach the
// aggregator: what is held is bounded by that, and so is memory.
func (c *Core) admit(a Ask, class int) (retryAfter time.Duration, ok bool) {
	own := c.live.class(class).Open
	switch {
	case own > 0 && c.openOf[class] >= own:
		c.stats.ClassFull++
	case c.live.MaxOpen == 0 || c.open+1+len(a.Parts) <= c.live.MaxOpen:
		return 0, true
	}
	c.stats.Refused++
	c.stats.Full++
	return c.advice(), false
}

// advice is when a client that the core refuses is to come back; 0 where clients are not told.
func (c *Core) advice() time.Duration {
	if !c.set.Module.RetryAdvice {
		return 0
	}
	return c.set.Module.MaxRetryAdvice / 2
}
