package limit

import "time"

// list is a doubly linked list of seats, the one that joined first in front.
// All its operations take constant time and none allocates: a seat carries its
// own links, one pair for each of the two lists it may be on.
type list[T any] struct {
	which       int // index into Seat.links
	first, last *Seat[T]
	size        int
}

// links are a seat's neighbours on one list; on is nil while it is on none.
type links[T any] struct {
	on         *list[T]
	prev, next *Seat[T]
}

func (l *list[T]) add(s *Seat[T]) {
	k := &s.links[l.which]
	*k = links[T]{on: l, prev: l.last}
	if l.last == nil {
		l.first = s
	} else {
		l.last.links[l.which].next = s
	}
	l.last = s
	l.size++
}

// quit takes a seat off the list that its pair of links is on, if any.
func (s *Seat[T]) quit(which int) {
	k := s.links[which]
	l := k.on
	if l == nil {
		return
	}
	if k.prev == nil {
		l.first = k.next
	} else {
		k.prev.links[which].next = k.next
	}
	if k.next == nil {
		l.last = k.prev
	} else {
		k.next.links[which].prev = k.prev
	}
	l.size--
	s.links[which] = links[T]{}
}

// due is when the seat in front has been on the list for d; zero if it is empty.
func (l *list[T]) due(d time.Duration) time.Time {
	if l.first == nil {
		return time.Time{}
	}
	return l.first.joined[l.which].Add(d)
}
