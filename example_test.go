package eiderwinch_test

import (
	"fmt"
	"time"

	"eiderwinch"
)

// A gatherer passes the events to Turn and carries out the actions that it returns.
func Example() {
	a := eiderwinch.New(eiderwinch.Settings{
		Gatherers: 1, Tick: time.Millisecond, Shards: 2, Cells: 2, ReplicasPerShard: 2, MaxBatch: 8, MaxAttempts: 3,
		Classes: []eiderwinch.Class{{
			Name: "lookup", Aim: time.Second, Deadline: 3 * time.Second, Worth: 1, WholeShare: 1, MinShare: 1, SecondStepParts: 1,
		}},
	})
	now := 10 * time.Second // any clock that never goes back
	show := func(actions []eiderwinch.Action) {
		for _, x := range actions {
			switch x := x.(type) {
			case eiderwinch.Send:
				fmt.Printf("send part %d to %s, time-out %v\n", x.Part, x.Replica, x.TimeOut)
			case eiderwinch.Answer:
				fmt.Printf("answer query %d, whole: %v\n", x.Query, x.Whole)
			}
		}
	}
	show(a.Turn(now, []eiderwinch.Event{
		eiderwinch.ListChange{Kind: eiderwinch.Whole, Replicas: []eiderwinch.Replica{
			{ID: "s1", Cell: 0, State: eiderwinch.Ready},
		}},
		eiderwinch.Query{ID: 1, Left: 2 * time.Second, Parts: []eiderwinch.Part{
			{ID: 2, Shard: 0, Weight: 0.5}, {ID: 3, Shard: 1, Weight: 0.5},
		}},
	}))
	now += 20 * time.Millisecond
	show(a.Turn(now, []eiderwinch.Event{
		eiderwinch.Outcome{Part: 2, Replica: "s1", Status: eiderwinch.OK, Took: 20 * time.Millisecond},
		eiderwinch.Outcome{Part: 3, Replica: "s1", Status: eiderwinch.OK, Took: 20 * time.Millisecond},
	}))
	// The class has a second step: its parts come after the first answer, and one more answer is due.
	now += 5 * time.Millisecond
	show(a.Turn(now, []eiderwinch.Event{
		eiderwinch.SecondStep{Query: 1, Parts: []eiderwinch.Part{{ID: 4, Shard: 1, Weight: 1}}},
	}))
	now += 20 * time.Millisecond
	show(a.Turn(now, []eiderwinch.Event{
		eiderwinch.Outcome{Part: 4, Replica: "s1", Status: eiderwinch.OK, Took: 20 * time.Millisecond},
	}))
	// Output:
	// send part 2 to s1, time-out 998ms
	// send part 3 to s1, time-out 998ms
	// answer query 1, whole: true
	// send part 4 to s1, time-out 973ms
	// answer query 1, whole: true
}
