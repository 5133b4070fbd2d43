package eiderwinch

import (
	"testing"
	"time"
)

// An ejected searcher must be probed again after a delay that follows the typical latency of calls, not only
// their aim: with short calls it would otherwise be left unused for a long time.
func TestProbeDelayFollowsTypicalLatency(t *testing.T) {
	for _, c := range []struct{ call, latest time.Duration }{
		{5 * time.Millisecond, 40 * time.Millisecond}, {200 * time.Millisecond, 600 * time.Millisecond},
	} {
		a := New(Settings{
			Tick: time.Millisecond, Shards: 1, Cells: 1, ReplicasPerShard: 1, MaxBatch: 4, MaxAttempts: 4, ColdDuration: time.Hour,
			Classes: []Class{{Name: "c", Aim: time.Second, Deadline: time.Minute, Worth: 1, WholeShare: 1, MinShare: 1}},
		})
		now := time.Second
		a.Turn(now, []Event{
			ListChange{Kind: Whole, Replicas: []Replica{{ID: "a", State: Ready}, {ID: "b", State: Ready}}},
		})
		id := uint64(0)
		// sendQuery sends one query, ends its call and returns the searcher that got it.
		sendQuery := func(s Status) (to string) {
			id += 2
			for _, x := range a.Turn(now, []Event{
				Query{ID: id, Left: time.Minute, Parts: []Part{{ID: id + 1, Weight: 1}}},
			}) {
				if x, ok := x.(Send); ok {
					to = x.Replica
				}
			}
			now += c.call
			a.Turn(now, []Event{Outcome{Part: id + 1, Replica: to, Status: s, Took: c.call}, Gone{Query: id}})
			return to
		}
		for range 100 {
			sendQuery(OK)
		}
		failed, failedAt := sendQuery(Failed), now
		for sendQuery(OK) != failed {
			if now-failedAt > time.Minute {
				t.Fatalf("calls of %v: not probed within a minute", c.call)
			}
		}
		if took := now - c.call - failedAt; took > c.latest {
			t.Errorf("calls of %v: probed after %v, want at most %v", c.call, took, c.latest)
		}
	}
}
