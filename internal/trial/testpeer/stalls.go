package testpeer

import (
	"sync/atomic"
	"testing"
	"time"
)

// A probe of Stalls sleeps for stallProbe; what it sleeps longer than stallTolerance counts as a stall.
const (
	stallProbe     = time.Millisecond
	stallTolerance = 2 * time.Millisecond
)

// Stalls measures for how long the processes of a busy machine keep this one from running. A test that bounds the time that the
// gatherer in it takes of its own accord takes them off.
type Stalls struct{ total atomic.Int64 }

// MeasureStalls measures until the test ends.
func MeasureStalls(t testing.TB) *Stalls {
	s, ended := &Stalls{}, make(chan struct{})
	t.Cleanup(func() { close(ended) })
	go func() {
		for {
			began := time.Now()
			select {
			case <-ended:
				return
			case <-time.After(stallProbe):
			}
			if over := time.Since(began) - stallProbe; over > stallTolerance {
				s.total.Add(int64(over))
			}
		}
	}()
	return s
}

// Total returns how long all stalls took together that have ended so far.
func (s *Stalls) Total() time.Duration { return time.Duration(s.total.Load()) }
