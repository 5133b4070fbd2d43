package backoff

import (
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"eiderwinch/internal/timerqueue"
	"eiderwinch/internal/trial/fixedseed"
)

func TestMain(m *testing.M) { fixedseed.Main(m) }

func TestWaitsAreBoundedAndReproducible(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		seed, clients := rapid.Uint64().Draw(t, "seed"), rapid.IntRange(-1, 5000).Draw(t, "clients")
		a, b := New(seed, clients), New(seed, clients)
		for range rapid.IntRange(1, 60).Draw(t, "failures") {
			wait := a.Next()
			if wait < minInitialWindow/8 || wait > maxFinalWindow {
				t.Fatalf("wait of %v, want %v to %v", wait, minInitialWindow/8, maxFinalWindow)
			}
			if again := b.Next(); again != wait {
				t.Fatalf("the same seed gives %v and %v", wait, again)
			}
			if rapid.Bool().Draw(t, "succeeds") {
				a.Reset()
				b.Reset()
			}
		}
	})
}

// A service handles five calls a second, in order, and fails a call that has waited in its
// queue for 2 s. All its clients lose it at once. Clients that wait equal times retry in
// waves that each fill the queue, so most calls time out; with random waits all clients are
// served with few calls.
func TestManyClientsLosingAServiceAtOnceAreServed(t *testing.T) {
	const clients, callTime, queueTimeout = 80, 200 * time.Millisecond, 2 * time.Second
	for seed := range uint64(5) {
		served, calls := serve(clients, callTime, queueTimeout, func(i int) func() time.Duration {
			return New(seed*1000+uint64(i), clients).Next
		})
		servedEqual, callsEqual := serve(clients, callTime, queueTimeout, func(int) func() time.Duration {
			wait := minInitialWindow / 2
			return func() time.Duration { wait = min(2*wait, minFinalWindow); return wait }
		})
		last, lastEqual := slices.Max(served), slices.Max(servedEqual)
		t.Logf("seed %d: all served after %v with %d calls, after %v with %d calls with equal waits", seed, last, calls, lastEqual, callsEqual)
		if last > 60*time.Second || calls > 4*clients {
			t.Errorf("seed %d: all served after %v with %d calls, want at most 60s and %d calls", seed, last, calls, 4*clients)
		}
		if callsEqual < calls*3/2 {
			t.Errorf("seed %d: %d calls with equal waits, %d with random ones: too few to show that random waits help", seed, callsEqual, calls)
		}
	}
}

// serve simulates a service and its clients until all are served or 90 s are over.
func serve(clients int, callTime, queueTimeout time.Duration, waits func(int) func() time.Duration) (served []time.Duration, calls int) {
	var pending timerqueue.Queue[int] // clients by the time of their next call
	start := time.Unix(0, 0)
	next := make([]func() time.Duration, clients)
	for i := range clients {
		next[i] = waits(i)
		pending.Set(&timerqueue.Timer[int]{Value: i}, start)
	}
	freeAt := time.Duration(0) // when the service's queue is empty
	for pending.Len() > 0 {
		c := pending.Pop(pending.Next())
		at := c.At().Sub(start)
		calls++
		begin := max(freeAt, at)
		if begin-at <= queueTimeout {
			freeAt = begin + callTime
			served = append(served, freeAt)
		} else if at < 90*time.Second {
			pending.Set(c, c.At().Add(queueTimeout+next[c.Value]()))
		} else {
			served = append(served, at)
		}
	}
	return served, calls
}
