package gatherer

import "time"

// admit reports whether a query and its parts are within the limits on open
// queries, the total one and that of the class. If they are not, it returns the
// retry advice for the client, which is 0 if clients get no advice. A query that is
// not admitted must not reach the aggregator: this bounds the open queries, and so
// the memory in use.
func (c *Core) admit(request QueryRequest, class int) (retryAfter time.Duration, ok bool) {
	classLimit := c.liveSettings.class(class).MaxOpen
	switch {
	case classLimit > 0 && c.openByClass[class] >= classLimit:
		c.stats.RefusedAtClassLimit++
	case c.liveSettings.MaxOpen == 0 || c.openCount+1+len(request.Parts) <= c.liveSettings.MaxOpen:
		return 0, true
	}
	c.stats.Refused++
	c.stats.RefusedAtLimit++
	return c.retryAdvice(), false
}

// retryAdvice returns how long a client that the core refuses should wait before it
// asks again; 0 if clients get no advice.
func (c *Core) retryAdvice() time.Duration {
	if !c.settings.Module.RetryAdvice {
		return 0
	}
	return c.settings.Module.MaxRetryAdvice / 2
}
