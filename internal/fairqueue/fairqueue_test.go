package fairqueue

import (
	"math/rand/v2"
	"testing"
)

// worker is a connection with a number of requests of the same cost.
type worker struct {
	requests, cost int
	unsound        bool
	waited         int // rounds since its last turn
}

func (w *worker) serve(quantum int) (t Turn) {
	for w.requests > 0 && t.Cost < quantum {
		w.requests--
		t.Cost += w.cost
	}
	w.waited = 0
	return Turn{Cost: t.Cost, Again: w.requests > 0, Unsound: w.unsound}
}

// However many connections there are and whatever their requests cost, a round costs little more than its budget, no
// request is lost, and each connection gets its turn after a number of rounds that its place in the queue gives.
func TestRoundsAreBoundedAndFair(t *testing.T) {
	const budget, maxCost = 64, 100
	for seed := range uint64(200) {
		rng := rand.New(rand.NewPCG(seed, 0))
		var q Queue[*worker]
		var all []*worker
		left := 0
		for range 1 + rng.IntN(60) {
			w := &worker{requests: 1 + rng.IntN(30), cost: 1 + rng.IntN(maxCost), unsound: rng.IntN(2) == 0}
			left += w.requests
			all = append(all, w)
			q.Push(w, w.unsound)
		}
		served := 0
		for round := 0; q.Len() > 0; round++ {
			cost := 0
			for _, w := range all {
				w.waited++
			}
			q.Round(budget, func(w *worker, quantum int) Turn {
				before := w.requests
				turn := w.serve(quantum)
				served += before - w.requests
				cost += turn.Cost
				return turn
			})
			if cost > budget+2*maxCost || round > left {
				t.Fatalf("seed %d: round %d cost %d", seed, round, cost)
			}
			for _, w := range all {
				if w.requests > 0 && w.waited > len(all) { // at least one of each kind has a turn in each round
					t.Fatalf("seed %d: a connection has waited for %d rounds among %d", seed, w.waited, len(all))
				}
			}
		}
		if served != left {
			t.Fatalf("seed %d: served %d of %d", seed, served, left)
		}
	}
}

// Sound connections come first, and unsound ones get their part of the round all the same.
func TestSoundConnectionsComeFirst(t *testing.T) {
	var q Queue[*worker]
	for range 100 {
		q.Push(&worker{requests: 100, cost: 1, unsound: true}, true)
		q.Push(&worker{requests: 100, cost: 1}, false)
	}
	sound, unsound := 0, 0
	q.Round(64, func(w *worker, quantum int) Turn {
		turn := w.serve(quantum)
		if w.unsound {
			unsound += turn.Cost
		} else if sound += turn.Cost; unsound > 0 {
			t.Error("an unsound connection was served before a sound one")
		}
		return turn
	})
	if sound != 48 || unsound != 16 {
		t.Errorf("cost of sound requests %d, of unsound ones %d; want 48 and 16", sound, unsound)
	}
	removed := &worker{requests: 1, cost: 1}
	q.Push(removed, false)
	q.Remove(removed)
	if q.Len() != 200 {
		t.Errorf("%d wait, want 200", q.Len())
	}
}
