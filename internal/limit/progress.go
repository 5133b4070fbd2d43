package limit

import "time"

// progressInterval is the time over which the progress of a request is measured.
const progressInterval = 250 * time.Millisecond

// slowShare is the part (1/2) of the rate that a request needs to come in time below which it counts as slow.
const slowShare = 2

// Progress measures whether a request comes in fast enough to be whole in time. The zero value has measured nothing.
type Progress struct {
	since    time.Time // when the measurement began
	received int       // bytes received by then
	slow     bool      // the result of the last measurement
}

// Slow reports whether a request came in at less than half of the rate at which all its length comes within timeout, in
// the last measurement. It is to be called now and then while the request is received.
func (p *Progress) Slow(now time.Time, received, length int, timeout time.Duration) bool {
	switch took := now.Sub(p.since); {
	case p.since.IsZero() || received < p.received:
		*p = Progress{since: now, received: received}
	case took >= progressInterval:
		needed := int64(length) * int64(took) / int64(timeout) / slowShare
		*p = Progress{since: now, received: received, slow: int64(received-p.received) < needed}
	}
	return p.slow
}
