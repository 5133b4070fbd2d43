package eiderwinch

import (
	"fmt"
	"testing"
	"time"
)

// The books must not grow with the day: queries and servers come with new ids for as long as it lasts.
func TestTheBooksDoNotGrowWithTheDay(t *testing.T) {
	a := New(Settings{
		Tick: time.Millisecond, Shards: 1, Cells: 1, Reach: 1, Batch: 1,
		Classes: []Class{{Name: "c", Aim: time.Second, Deadline: time.Second, Worth: 1, Need: 1, Floor: 1}},
	})
	for i := range 200 {
		now := time.Duration(i+1) * time.Second
		id := fmt.Sprint("s", i)
		a.Turn(now, []Event{ListChange{Kind: Whole, Replicas: []Replica{{ID: id, State: Ready}}}})
		query, part := uint64(2*i+1), uint64(2*i+2)
		a.Turn(now+1, []Event{Query{ID: query, Left: time.Second, Parts: []Part{{ID: part, Weight: 1}}}})
		a.Turn(now+2, []Event{Outcome{Part: part, Replica: id, Status: OK, Took: 1}})
		// It drains, and the next whole list has it no more.
		a.Turn(now+3, []Event{ListChange{Kind: Changes, Replicas: []Replica{{ID: id, State: Draining}}}})
	}
	held := []int{len(a.servers), len(a.byID), len(a.queries), len(a.open), len(a.parts), len(a.taken), len(a.further), len(a.crashes)}
	for i, n := range held {
		if n > 2 {
			t.Errorf("books %v: number %d holds %d entries", held, i, n)
		}
	}
}
