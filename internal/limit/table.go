// Package limit decides how many client connections a gatherer holds, which
// clients are told to open a new connection for their next request, and which
// connection is closed when there is no room. It does no I/O, reads no clock
// and is not safe for concurrent use. Each call takes constant time, whatever
// the number of connections.
//
// Closing a connection between requests races with a request that the client
// may already have sent. So the table frees connections in three ways, of which
// only the last can affect a client that behaves normally:
//
//  1. ShouldClose. Before each answer the caller asks ShouldClose whether the connection
//     should end with it. If Bounds.Soft or more connections are idle, a connection
//     ends if this is its first answer; if Bounds.Firm or more are idle, every
//     connection ends. The client reads "Connection: close" together with its
//     answer (RFC 9112, section 9.6), so there is no race.
//  2. SurplusIdle. While Bounds.Soft or more connections are idle, those idle for
//     Bounds.IdleGrace or longer are closed, the longest idle first. Otherwise
//     clients that send one request and keep the connection open would take
//     the room of those that send more.
//  3. Victim. While Bounds.Hard connections are open, each new one causes one
//     connection to be closed, see Rank.
package limit

import "time"

// Stage is the state of a connection in the cycle of requests and answers.
type Stage int

// The stages. A connection starts as Silent and is Idle after each answer.
const (
	Silent       Stage = iota // nothing has been received
	FirstRequest              // the first request is being received
	Busy                      // a request waits for its answer
	Idle                      // between requests
	NextRequest               // a request after the first is being received
	Closing                   // about to be closed
	numStages                 // the number of stages
)

// Stages returns all stages.
func Stages() []Stage { return []Stage{Silent, FirstRequest, Busy, Idle, NextRequest, Closing} }

var stageNames = [numStages]string{"silent", "first", "busy", "idle", "further", "ending"}

// String returns the name of the stage, which is a metric key.
func (s Stage) String() string {
	if s < 0 || s >= numStages {
		return "unknown"
	}
	return stageNames[s]
}

// Rank is the order in which connections are evicted for new ones: the lowest
// rank first, and within a rank the connection that has been in its stage for
// longest. Busy and NextRequest connections are never evicted.
type Rank int

// The ranks. A flood of connections that send nothing must not evict those of
// normal clients. So silent connections are evicted first once they are older
// than a normal client takes to send its first request. Younger silent ones are
// evicted only after all idle ones, whose clients can resend a request that
// was lost when the connection closed.
const (
	RankClosing          Rank = iota // in stage Closing
	RankSilent                       // silent for Bounds.SilentGrace or longer
	RankIdleOnce                     // idle for Bounds.IdleGrace or longer, one request answered
	RankIdleReused                   // idle for Bounds.IdleGrace or longer, several answered
	RankIdleOnceRecent               // idle for less, one request answered
	RankIdleReusedRecent             // idle for less, several answered
	RankSilentRecent                 // silent for less: the first request may be on its way
	RankFirstRequest                 // the first request is being received
	RankNewest                       // all others are in use: the new connection itself is closed
	NumRanks                         // the number of ranks
)

var rankNames = [NumRanks]string{"ending", "mute", "once", "kept", "once_new", "kept_new", "new", "first", "newest"}

// String returns the name of the rank, which is a metric key.
func (r Rank) String() string {
	if r < 0 || r >= NumRanks {
		return "unknown"
	}
	return rankNames[r]
}

// Bounds are the limits that a Table enforces.
type Bounds struct {
	Soft int // number of idle connections from which connections end with their first answer; at least 1
	Firm int // number of idle connections from which all connections end with their next answer; at least Soft
	Hard int // most connections in total; at least 1

	SilentGrace    time.Duration // see RankSilent
	IdleGrace      time.Duration // idle time that clients may rely on, see RankIdleOnce
	RequestTimeout time.Duration // to receive a whole request, the first counted from connecting
	CloseTimeout   time.Duration // for a client to read its last answer and close
}

// Default bounds. The shares are of a process's file descriptors. Clients use at
// most a third of the descriptors for requests. A sixteenth of the descriptors
// held by idle connections leaves four fifths of that third to requests, and an
// eighth leaves more than half of it.
const (
	softShare = 16
	firmShare = 8
	hardShare = 5. / 8 // the pool of searcher connections may always take a quarter, and up to half if clients leave it free

	silentGrace    = 500 * time.Millisecond // normal clients send a request right after connecting
	idleGrace      = 2 * time.Second        // the platform allows an idle connection to be closed after this time
	requestTimeout = 2 * time.Second        // a malformed request must be answered within 3 s
	closeTimeout   = 2 * time.Second        // a longer one, such as a minute, would let clients hold descriptors unused
)

// Defaults returns the bounds for a process that may open the given number of
// descriptors for connections, not counting those it needs for itself.
func Defaults(descriptors int) Bounds {
	return Bounds{
		Soft: max(descriptors/softShare, 1), Firm: max(descriptors/firmShare, 1),
		Hard:        max(int(float64(descriptors)*hardShare), 1),
		SilentGrace: silentGrace, IdleGrace: idleGrace, RequestTimeout: requestTimeout, CloseTimeout: closeTimeout,
	}
}

// Entry is the entry of a connection in a Table. The zero value is in no table.
type Entry[T any] struct {
	Owner T

	stage    Stage
	answered int // requests answered on the connection
	links    [2]links[T]
	joined   [2]time.Time // when it was added to the list of each kind
}

// Stage returns the connection's stage.
func (e *Entry[T]) Stage() Stage { return e.stage }

// Answered returns the number of requests answered on the connection.
func (e *Entry[T]) Answered() int { return e.answered }

// Since returns the time at which the connection entered its stage.
func (e *Entry[T]) Since() time.Time { return e.joined[stageList] }

// InTable reports whether the entry is in a table.
func (e *Entry[T]) InTable() bool { return e.links[stageList].list != nil }

// The kinds of lists. An entry can be on one list of each kind.
const (
	stageList   = iota // of a stage, in the order in which it was entered
	timeoutList        // of a timeout, in the order in which it expires
)

// Table holds the entries. New creates one.
type Table[T any] struct {
	bounds   Bounds
	held     int
	lists    [numStages]list[T] // by stage; that of Idle has only connections with several requests answered
	idleOnce list[T]            // connections in stage Idle with one request answered

	// All entries on one of these lists have the same timeout, so the entry that was
	// added first expires first and no heap is needed.
	firstRequests list[T] // to receive a first request, since connecting
	nextRequests  list[T] // to receive another request, since its first byte
	closing       list[T] // for the client to close, since the connection became Closing
}

// New returns an empty Table with the given bounds.
func New[T any](b Bounds) *Table[T] {
	t := &Table[T]{bounds: b}
	for i := range t.lists {
		t.lists[i].kind = stageList
	}
	t.idleOnce.kind = stageList
	t.firstRequests.kind, t.nextRequests.kind, t.closing.kind = timeoutList, timeoutList, timeoutList
	return t
}

// Bounds returns the limits in force.
func (t *Table[T]) Bounds() Bounds { return t.bounds }

// Len returns the number of connections in the table.
func (t *Table[T]) Len() int { return t.held }

// Count returns the number of connections in a stage.
func (t *Table[T]) Count(s Stage) int {
	if s == Idle {
		return t.idle()
	}
	return t.lists[s].size
}

func (t *Table[T]) idle() int { return t.lists[Idle].size + t.idleOnce.size }

// Oldest returns the connection that has been in a stage for longest, or nil if
// there is none. Of the Idle ones, those with a single request answered come
// before the others.
func (t *Table[T]) Oldest(s Stage) *Entry[T] {
	if s == Idle && t.idleOnce.first != nil {
		return t.idleOnce.first
	}
	return t.lists[s].first
}

// Each calls f for each connection in a stage.
func (t *Table[T]) Each(s Stage, f func(T)) {
	for e := t.lists[s].first; e != nil; e = e.links[stageList].next {
		f(e.Owner)
	}
	if s == Idle {
		for e := t.idleOnce.first; e != nil; e = e.links[stageList].next {
			f(e.Owner)
		}
	}
}

// Add adds a connection that has just been accepted.
func (t *Table[T]) Add(now time.Time, e *Entry[T]) {
	t.held++
	e.answered = 0
	t.move(now, e, Silent)
}

// Remove removes a connection that is closed. Further calls do nothing.
func (t *Table[T]) Remove(e *Entry[T]) {
	if !e.InTable() {
		return
	}
	t.held--
	e.unlink(stageList)
	e.unlink(timeoutList)
}

// SetStage sets the stage of a connection. A move to the stage it is already in does
// nothing: the time in the stage counts from the first move.
func (t *Table[T]) SetStage(now time.Time, e *Entry[T], to Stage) {
	if e.InTable() && e.stage != to {
		t.move(now, e, to)
	}
}

func (t *Table[T]) move(now time.Time, e *Entry[T], to Stage) {
	from := e.stage
	e.unlink(stageList)
	if to == Idle && from == Busy {
		e.answered++
	}
	e.stage, e.joined[stageList] = to, now
	if to == Idle && e.answered <= 1 {
		t.idleOnce.add(e)
	} else {
		t.lists[to].add(e)
	}
	timeouts := t.timeoutsOf(to)
	if timeouts != nil && e.links[timeoutList].list == timeouts {
		return // the timeout of a first request runs from connecting
	}
	e.unlink(timeoutList)
	if timeouts != nil {
		e.joined[timeoutList] = now
		timeouts.add(e)
	}
}

// timeoutsOf returns the list of the timeout that applies in a stage, or nil if
// none does.
func (t *Table[T]) timeoutsOf(s Stage) *list[T] {
	switch s {
	case Silent, FirstRequest:
		return &t.firstRequests
	case NextRequest:
		return &t.nextRequests
	case Closing:
		return &t.closing
	}
	return nil
}

// ShouldClose reports whether a connection should end with the answer that is about
// to be sent on it.
func (t *Table[T]) ShouldClose(e *Entry[T]) bool {
	idle := t.idle()
	return idle >= t.bounds.Firm || idle >= t.bounds.Soft && e.answered == 0
}

// Overdue returns a connection whose timeout has expired, or nil. The caller
// closes the connection or moves it to Closing, and calls Overdue again.
func (t *Table[T]) Overdue(now time.Time) *Entry[T] {
	for _, l := range t.timeouts() {
		if due := l.due(l.timeout); !due.IsZero() && !now.Before(due) {
			return l.first
		}
	}
	return nil
}

// Due returns the time from which Overdue or SurplusIdle returns a connection; zero if
// no connection has a timeout or may have to be closed as surplus.
func (t *Table[T]) Due() time.Time {
	var due time.Time
	consider := func(at time.Time) {
		if !at.IsZero() && (due.IsZero() || at.Before(due)) {
			due = at
		}
	}
	for _, l := range t.timeouts() {
		consider(l.due(l.timeout))
	}
	if t.idle() >= t.bounds.Soft {
		consider(t.idleOnce.due(t.bounds.IdleGrace))
		consider(t.lists[Idle].due(t.bounds.IdleGrace))
	}
	return due
}

// timedList is a list with the timeout of its entries.
type timedList[T any] struct {
	*list[T]
	timeout time.Duration
}

func (t *Table[T]) timeouts() [3]timedList[T] {
	return [3]timedList[T]{
		{&t.firstRequests, t.bounds.RequestTimeout},
		{&t.nextRequests, t.bounds.RequestTimeout},
		{&t.closing, t.bounds.CloseTimeout},
	}
}

// SurplusIdle returns an idle connection that should be closed because others need its
// room, or nil. The caller moves it to Closing and calls SurplusIdle again. Connections
// with a single request answered come before those with several.
func (t *Table[T]) SurplusIdle(now time.Time) *Entry[T] {
	if t.idle() < t.bounds.Soft {
		return nil
	}
	for _, l := range [...]*list[T]{&t.idleOnce, &t.lists[Idle]} {
		if due := l.due(t.bounds.IdleGrace); !due.IsZero() && !now.Before(due) {
			return l.first
		}
	}
	return nil
}

// OverLimit reports whether the table holds more connections than Bounds.Hard.
func (t *Table[T]) OverLimit() bool { return t.held > t.bounds.Hard }

// maxCandidates is the most connections of one rank that Victim considers: each
// call of skip costs a system call.
const maxCandidates = 4

// Victim chooses the connection to evict for newest, and returns its rank. skip
// reports whether a connection must not be evicted, because it has received
// bytes that were not read yet. Then the next connection of its rank is
// considered, up to maxCandidates, then the next rank. If no connection is left,
// Victim returns newest.
func (t *Table[T]) Victim(now time.Time, newest *Entry[T], skip func(*Entry[T]) bool) (*Entry[T], Rank) {
	for r := RankClosing; r < RankNewest; r++ {
		l, minAge := t.candidates(r)
		e := l.first
		for range maxCandidates {
			if e == nil {
				break
			}
			if now.Sub(e.joined[stageList]) < minAge {
				break // those after it are younger still
			}
			if e != newest && (r == RankClosing || !skip(e)) {
				return e, r
			}
			e = e.links[stageList].next
		}
	}
	return newest, RankNewest
}

// candidates returns the list that the connections of a rank are on, and the
// minimum time that they have been in their stage.
func (t *Table[T]) candidates(r Rank) (l *list[T], minAge time.Duration) {
	b := t.bounds
	switch r {
	case RankClosing:
		return &t.lists[Closing], 0
	case RankSilent:
		return &t.lists[Silent], b.SilentGrace
	case RankIdleOnce:
		return &t.idleOnce, b.IdleGrace
	case RankIdleReused:
		return &t.lists[Idle], b.IdleGrace
	case RankIdleOnceRecent:
		return &t.idleOnce, 0
	case RankIdleReusedRecent:
		return &t.lists[Idle], 0
	case RankSilentRecent:
		return &t.lists[Silent], 0
	default:
		return &t.lists[FirstRequest], 0
	}
}
