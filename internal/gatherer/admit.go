package gatherer

import "time"

// admit tells whether a query and its parts fit under the limit on open ones
// and, where they do not, when to come back. Such a query must not reach the
// aggregator: what is held is bounded by that, and so is memory.
func (c *Core) admit(a Ask) (retryAfter time.Duration, ok bool) {
	if c.set.MaxOpen == 0 || c.open+1+len(a.Parts) <= c.set.MaxOpen {
		return 0, true
	}
	c.stats.Refused++
	c.stats.Full++
	return c.set.Module.MaxRetryAdvice / 2, false
}
