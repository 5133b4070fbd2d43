package limit

import "time"

// list is a doubly linked list of entries, in the order in which they were added.
// All its operations take constant time and none allocates: an entry carries its
// own links, one pair for each kind of list.
type list[T any] struct {
	kind        int // stageList or timeoutList: index into Entry.links
	first, last *Entry[T]
	size        int
}

// links are an entry's neighbors on one list; list is nil while it is on none.
type links[T any] struct {
	list       *list[T]
	prev, next *Entry[T]
}

// add appends an entry to the list.
func (l *list[T]) add(e *Entry[T]) {
	k := &e.links[l.kind]
	*k = links[T]{list: l, prev: l.last}
	if l.last == nil {
		l.first = e
	} else {
		l.last.links[l.kind].next = e
	}
	l.last = e
	l.size++
}

// unlink removes an entry from the list of the given kind that it is on, if any.
func (e *Entry[T]) unlink(kind int) {
	k := e.links[kind]
	l := k.list
	if l == nil {
		return
	}
	if k.prev == nil {
		l.first = k.next
	} else {
		k.prev.links[kind].next = k.next
	}
	if k.next == nil {
		l.last = k.prev
	} else {
		k.next.links[kind].prev = k.prev
	}
	l.size--
	e.links[kind] = links[T]{}
}

// due returns the time at which the first entry has been on the list for d; zero
// if the list is empty.
func (l *list[T]) due(d time.Duration) time.Time {
	if l.first == nil {
		return time.Time{}
	}
	return l.first.joined[l.kind].Add(d)
}
