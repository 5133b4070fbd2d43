// Package timerqueue implements a queue of timers. The next timer is found in constant time;
// setting, moving and stopping one takes logarithmic time. The package reads no clock.
// A Queue must be used from one goroutine only.
package timerqueue

import (
	"container/heap"
	"time"
)

// Timer is an entry of a Queue. The zero value is a timer that is not set.
type Timer[T any] struct {
	Value T

	at       time.Time
	sequence uint64 // of timers due at the same time, the one set first comes first
	index    int    // position in the queue plus 1; 0 if the timer is not set
}

// IsSet reports whether the timer is in a queue.
func (t *Timer[T]) IsSet() bool { return t.index > 0 }

// At returns the time for which the timer was last set.
func (t *Timer[T]) At() time.Time { return t.at }

// Queue holds timers by the time at which they are due. The zero value is an empty
// queue. A timer can be in one queue at a time.
type Queue[T any] struct {
	timers       timerHeap[T]
	lastSequence uint64
}

// Len returns the number of timers in the queue.
func (q *Queue[T]) Len() int { return len(q.timers) }

// Set adds a timer that is due at the given time, or moves one that is set.
func (q *Queue[T]) Set(t *Timer[T], at time.Time) {
	q.lastSequence++
	t.at, t.sequence = at, q.lastSequence
	if t.index > 0 {
		heap.Fix(&q.timers, t.index-1)
		return
	}
	heap.Push(&q.timers, t)
}

// Stop removes a timer. It does nothing if the timer is not set.
func (q *Queue[T]) Stop(t *Timer[T]) {
	if t.index > 0 {
		heap.Remove(&q.timers, t.index-1)
	}
}

// Next returns when the next timer is due; zero if the queue is empty.
func (q *Queue[T]) Next() time.Time {
	if len(q.timers) == 0 {
		return time.Time{}
	}
	return q.timers[0].at
}

// Pop removes and returns the next timer if it is due at now; else it returns nil.
func (q *Queue[T]) Pop(now time.Time) *Timer[T] {
	if len(q.timers) == 0 || now.Before(q.timers[0].at) {
		return nil
	}
	return heap.Pop(&q.timers).(*Timer[T])
}

// timerHeap implements heap.Interface.
type timerHeap[T any] []*Timer[T]

func (h timerHeap[T]) Len() int { return len(h) }

func (h timerHeap[T]) Less(i, j int) bool {
	if c := h[i].at.Compare(h[j].at); c != 0 {
		return c < 0
	}
	return h[i].sequence < h[j].sequence
}

func (h timerHeap[T]) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].index, h[j].index = i+1, j+1
}

// Push implements heap.Interface.
func (h *timerHeap[T]) Push(x any) {
	t := x.(*Timer[T])
	*h = append(*h, t)
	t.index = len(*h)
}

// Pop implements heap.Interface.
func (h *timerHeap[T]) Pop() any {
	last := len(*h) - 1
	t := (*h)[last]
	(*h)[last] = nil
	*h = (*h)[:last]
	t.index = 0
	return t
}
