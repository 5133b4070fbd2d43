package eiderwinch

import (
	"fmt"
	"testing"
	"time"
)

// The state must not grow over time. Queries and searchers keep arriving with new IDs, so an entry that is not
// removed would be a memory leak.
func TestStateDoesNotGrowOverTime(t *testing.T) {
	a := New(Settings{
		Tick: time.Millisecond, Shards: 1, Cells: 1, ReplicasPerShard: 1, MaxBatch: 1,
		Classes: []Class{{Name: "c", Aim: time.Second, Deadline: time.Second, Worth: 1, WholeShare: 1, MinShare: 1}},
	})
	for i := range 200 {
		now := time.Duration(i+1) * time.Second
		id := fmt.Sprint("s", i)
		a.Turn(now, []Event{ListChange{Kind: Whole, Replicas: []Replica{{ID: id, State: Ready}}}})
		query, part := uint64(2*i+1), uint64(2*i+2)
		a.Turn(now+1, []Event{Query{ID: query, Left: time.Second, Parts: []Part{{ID: part, Weight: 1}}}})
		a.Turn(now+2, []Event{Outcome{Part: part, Replica: id, Status: OK, Took: 1}})
		// The searcher drains, and the next whole list does not contain it.
		a.Turn(now+3, []Event{ListChange{Kind: Changes, Replicas: []Replica{{ID: id, State: Draining}}}})
	}
	sizes := []int{
		len(a.searchers), len(a.searchersByID), len(a.queries), len(a.openQueries), len(a.parts),
		len(a.arrivalTimes), len(a.retryTimes), len(a.crashesBySignature),
	}
	for i, n := range sizes {
		if n > 2 {
			t.Errorf("sizes %v: number %d has %d entries, want at most 2", sizes, i, n)
		}
	}
}
