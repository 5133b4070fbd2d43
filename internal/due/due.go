// Package due holds what falls due at some time, so that the next of it is found at
// once and each is set, moved and stopped in logarithmic time, however many there
// are. It reads no clock and belongs to one goroutine.
package due

import (
	"container/heap"
	"time"
)

// Timer is one thing that falls due. Its zero value is not set.
type Timer[T any] struct {
	Value T

	at    time.Time
	order uint64 // of those due at the same time the one set first comes first
	index int    // in the queue, from 1; 0 is not set
}

// Set tells that the timer is in a queue.
func (t *Timer[T]) Set() bool { return t.index > 0 }

// At is when it falls due.
func (t *Timer[T]) At() time.Time { return t.at }

// Queue holds timers. Its zero value is empty. A timer is in one queue at a time.
type Queue[T any] struct {
	list  list[T]
	order uint64
}

// Len is how many timers are set.
func (q *Queue[T]) Len() int { return len(q.list) }

// Set sets a timer, or moves it.
func (q *Queue[T]) Set(t *Timer[T], at time.Time) {
	q.order++
	t.at, t.order = at, q.order
	if t.index > 0 {
		heap.Fix(&q.list, t.index-1)
		return
	}
	heap.Push(&q.list, t)
}

// Stop takes a timer out; one that is not set stays so.
func (q *Queue[T]) Stop(t *Timer[T]) {
	if t.index > 0 {
		heap.Remove(&q.list, t.index-1)
	}
}

// Next is when the next one falls due; zero if none is set.
func (q *Queue[T]) Next() time.Time {
	if len(q.list) == 0 {
		return time.Time{}
	}
	return q.list[0].at
}

// Pop takes out the next timer that is due at now; nil if none is.
func (q *Queue[T]) Pop(now time.Time) *Timer[T] {
	if len(q.list) == 0 || now.Before(q.list[0].at) {
		return nil
	}
	return heap.Pop(&q.list).(*Timer[T])
}

// list is the heap itself.
type list[T any] []*Timer[T]

func (l list[T]) Len() int { return len(l) }

func (l list[T]) Less(i, j int) bool {
	if c := l[i].at.Compare(l[j].at); c != 0 {
		return c < 0
	}
	return l[i].order < l[j].order
}

func (l list[T]) Swap(i, j int) {
	l[i], l[j] = l[j], l[i]
	l[i].index, l[j].index = i+1, j+1
}

// Push is for package heap.
func (l *list[T]) Push(x any) {
	t := x.(*Timer[T])
	*l = append(*l, t)
	t.index = len(*l)
}

// Pop is for package heap.
func (l *list[T]) Pop() any {
	last := len(*l) - 1
	t := (*l)[last]
	(*l)[last] = nil
	*l = (*l)[:last]
	t.index = 0
	return t
}
