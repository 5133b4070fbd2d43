// Package fairqueue decides in which order connections with requests are served, and how much of the requests in one
// round of an event loop. It does no I/O and is not safe for concurrent use.
//
// Each round has a budget of cost. Connections take turns in the order in which they came, each up to a quantum of cost.
// Those that are known to send unsound requests come after the others, but get a part of each round.
package fairqueue

import "slices"

const (
	// unsoundShare is the part (1/4) of a round's budget that unsound connections get while sound ones wait as well.
	unsoundShare = 4
	// turnsPerBudget is the number of turns (8) that a round's budget is meant for.
	turnsPerBudget = 8
)

// Turn is what a connection has done with its turn.
type Turn struct {
	Cost  int  // of the requests that were served
	Again bool // it has further requests
	// Unsound is whether its requests are unsound.
	Unsound bool
}

// Queue holds the connections that wait for a turn.
type Queue[T comparable] struct {
	sound, unsound []T
}

// Push adds a connection that is not in the queue.
func (q *Queue[T]) Push(conn T, unsound bool) {
	if unsound {
		q.unsound = append(q.unsound, conn)
	} else {
		q.sound = append(q.sound, conn)
	}
}

// Remove removes a connection.
func (q *Queue[T]) Remove(conn T) {
	matches := func(other T) bool { return other == conn }
	q.sound, q.unsound = slices.DeleteFunc(q.sound, matches), slices.DeleteFunc(q.unsound, matches)
}

// Len returns the number of connections that wait.
func (q *Queue[T]) Len() int { return len(q.sound) + len(q.unsound) }

// Round gives connections their turns until the budget is spent, each at most once. serve serves the requests of a
// connection up to the quantum; a single request may cost more. If sound or unsound connections wait, at least one of
// them gets a turn.
func (q *Queue[T]) Round(budget int, serve func(conn T, quantum int) Turn) {
	sound, unsound := q.sound, q.unsound
	q.sound, q.unsound = nil, nil
	soundBudget := budget
	if len(unsound) > 0 {
		soundBudget -= budget / unsoundShare
	}
	spent, soundLeft := q.serveList(sound, soundBudget, budget/turnsPerBudget, serve)
	_, unsoundLeft := q.serveList(unsound, budget-spent, budget/turnsPerBudget, serve)
	q.sound, q.unsound = append(soundLeft, q.sound...), append(unsoundLeft, q.unsound...)
}

// serveList gives connections their turns, at least the first of them, until the budget is spent. It returns the cost and
// those that had no turn.
func (q *Queue[T]) serveList(list []T, budget, quantum int, serve func(T, int) Turn) (spent int, left []T) {
	for i, conn := range list {
		if i > 0 && spent >= budget {
			return spent, slices.Clone(list[i:])
		}
		turn := serve(conn, quantum)
		spent += turn.Cost
		if turn.Again {
			q.Push(conn, turn.Unsound)
		}
	}
	return spent, nil
}
