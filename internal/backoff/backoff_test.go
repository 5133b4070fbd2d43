package backoff

import (
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"eiderwinch/internal/due"
	"eiderwinch/internal/trial/steady"
)

func TestMain(m *testing.M) { steady.Main(m) }

func TestWaitsAreBoundedAndReplay(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		seed, clients := rapid.Uint64().Draw(t, "seed"), rapid.IntRange(-1, 5000).Draw(t, "clients")
		a, b := New(seed, clients), New(seed, clients)
		for range rapid.IntRange(1, 60).Draw(t, "failures") {
			wait := a.Next()
			if wait < first/8 || wait > longestAll {
				t.Fatalf("wait %v", wait)
			}
			if again := b.Next(); again != wait {
				t.Fatalf("the same seed gives %v and %v", wait, again)
			}
			if rapid.Bool().Draw(t, "succeeds") {
				a.Succeeded()
				b.Succeeded()
			}
		}
	})
}

// A service that can answer five calls a second, and lets a call wait for 2 s at most in a
// queue that it works through in turn, loses all its clients at once. Clients whose waits are
// alike come in waves that each fill the queue: then most wait for longer than all need.
func TestManyClientsThatLoseAServiceAtOnceAreServedInTurn(t *testing.T) {
	const clients, each, patience = 80, 200 * time.Millisecond, 2 * time.Second
	for seed := range uint64(5) {
		served, calls := serve(clients, each, patience, func(i int) func() time.Duration {
			return New(seed*1000+uint64(i), clients).Next
		})
		lockstep, more := serve(clients, each, patience, func(int) func() time.Duration {
			wait := first / 2
			return func() time.Duration { wait = min(2*wait, longest); return wait }
		})
		last, lastAlike := slices.Max(served), slices.Max(lockstep)
		t.Logf("seed %d: all served after %v with %d calls, after %v with %d calls where waits are alike", seed, last, calls, lastAlike, more)
		if last > 60*time.Second || calls > 4*clients {
			t.Errorf("seed %d: all served after %v with %d calls", seed, last, calls)
		}
		if more < calls*3/2 {
			t.Errorf("seed %d: %d calls where waits are alike, %d at random: the test shows nothing", seed, more, calls)
		}
	}
}

// serve plays a service and its clients until all are served or a minute and a half is over.
func serve(clients int, each, patience time.Duration, waits func(int) func() time.Duration) (served []time.Duration, calls int) {
	var coming due.Queue[int] // clients
	began := time.Unix(0, 0)
	next := make([]func() time.Duration, clients)
	for i := range clients {
		next[i] = waits(i)
		coming.Set(&due.Timer[int]{Value: i}, began)
	}
	free := time.Duration(0) // when the service has worked through its queue
	for coming.Len() > 0 {
		c := coming.Pop(coming.Next())
		at := c.At().Sub(began)
		calls++
		begin := max(free, at)
		if begin-at <= patience {
			free = begin + each
			served = append(served, free)
		} else if at < 90*time.Second {
			coming.Set(c, c.At().Add(patience+next[c.Value]()))
		} else {
			served = append(served, at)
		}
	}
	return served, calls
}
