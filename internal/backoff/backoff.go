// Package backoff determines how long to wait before a service that has refused a
// call or failed is called again. It does no I/O and reads no clock.
//
// If many clients lose a service at the same time and each waits a fixed time, all
// of them retry at the same times: the service's queue fills, every call in it has
// timed out before it is served, and no client succeeds. So waits are drawn at
// random from a window that grows with each failure, and the windows grow with the
// number of clients, because they share the capacity of the service.
package backoff

import (
	"math/rand/v2"
	"time"
)

// Bounds of the windows. The initial window is the one after a first failure, the
// final window the longest one, which is reached after several failures in a row.
const (
	minInitialWindow = 100 * time.Millisecond
	minFinalWindow   = 2 * time.Second

	// What each client adds to the windows: all clients together make 20 calls a second
	// with initial windows, and 5 calls a second with final ones.
	initialWindowPerClient = 50 * time.Millisecond
	finalWindowPerClient   = 200 * time.Millisecond
	maxFinalWindow         = 16 * time.Second // updates of the member list must not be delayed for much longer
)

// Backoff draws waits at random. It is not safe for concurrent use.
type Backoff struct {
	rng     *rand.Rand
	clients int
	window  time.Duration // of the last wait; 0 after a success
}

// New returns the Backoff of one of the given number of clients of a service. Its
// waits are determined by the seed. A number of clients below 1 counts as 1.
func New(seed uint64, clients int) *Backoff {
	return &Backoff{rng: rand.New(rand.NewPCG(seed, 0x6261636b)), clients: max(clients, 1)}
}

// Next returns how long to wait after a further failure: a random time between an
// eighth of the window and the whole window.
func (b *Backoff) Next() time.Duration { return b.NextWithin(0) }

// NextWithin is like Next, but returns at most maxWait if that is above 0. It is for
// callers that count as notified of the requested data after that time, whether they
// have received it or not.
func (b *Backoff) NextWithin(maxWait time.Duration) time.Duration {
	n := time.Duration(b.clients)
	maxWindow := min(max(n*finalWindowPerClient, minFinalWindow), maxFinalWindow)
	if maxWait > 0 {
		maxWindow = min(maxWindow, maxWait)
	}
	b.window = min(max(2*b.window, n*initialWindowPerClient, minInitialWindow), maxWindow)
	return b.window/8 + time.Duration(b.rng.Int64N(int64(b.window-b.window/8)+1))
}

// Reset records that the service has answered: the next window is the initial one.
func (b *Backoff) Reset() { b.window = 0 }
