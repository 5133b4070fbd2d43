package gatherer

import (
	"time"

	"eiderwinch/internal/memory"
)

// admit reports whether a query and its parts are within the limits on open
// queries, the total one and that of the class, and whether there is room for them in
// memory. If not, it returns the retry advice for the client, which is 0 if clients get
// no advice. A query that is not admitted must not reach the aggregator: this bounds the
// open queries, and so the memory in use.
func (c *Core) admit(request QueryRequest, class int, client Client) (retryAfter time.Duration, ok bool) {
	classLimit := c.liveSettings.class(class).MaxOpen
	switch {
	case classLimit > 0 && c.openByClass[class] >= classLimit:
		c.stats.RefusedAtClassLimit++
	case c.liveSettings.MaxOpen > 0 && c.openCount+1+len(request.Parts) > c.liveSettings.MaxOpen:
	case !client.MayHold(querySize(len(request.Text), len(request.Parts))):
		c.stats.RefusedForMemory++
	default:
		return 0, true
	}
	c.stats.Refused++
	c.stats.RefusedAtLimit++
	return c.retryAdvice(), false
}

// Memory that an open query takes, in bytes, in addition to its texts.
const (
	queryRecordSize = 1 << 10 // of a query
	partRecordSize  = 512     // of a part with its attempt
)

// querySize returns the memory that an open query takes, in bytes. The frames that carry its text to searchers belong to
// the connections of these.
func querySize(textLength, parts int) int {
	return queryRecordSize + memory.BufferSize(textLength) + parts*partRecordSize
}

// hold adds bytes to what a query takes, and tells its client.
func (q *query) hold(bytes int) {
	q.size += bytes
	q.client.Hold(q.size)
}

// retryAdvice returns how long a client that the core refuses should wait before it
// asks again; 0 if clients get no advice.
func (c *Core) retryAdvice() time.Duration {
	if !c.settings.Module.RetryAdvice {
		return 0
	}
	return c.settings.Module.MaxRetryAdvice / 2
}
