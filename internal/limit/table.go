// Package limit decides how many client connections a gatherer holds, which
// clients are told to open a new one for their next request, and which
// connection goes when there is no room. It knows no sockets, reads no clock
// and belongs to one goroutine; each call takes constant time, however many
// connections there are.
//
// A connection that is closed between requests may cross a request that is on
// its way. So the table works in three steps, of which only the last can hit a
// client that did nothing wrong:
//
//  1. Notice. Every answer asks Notice whether the connection shall end with
//     it. From Bounds.Soft idle connections on, the ones that have carried one
//     request only do, from Bounds.Firm on all. The client reads
//     "Connection: close" together with its answer (RFC 9112, section 9.6), so
//     nothing crosses.
//  2. Trim. While Bounds.Soft connections are idle, those idle for
//     Bounds.KeptFor are closed, the one idle for longest first: clients that
//     ask once and stay would fill the room for those that come back.
//  3. Evict. From Bounds.Hard connections in all on, each new one costs
//     another its place, see Rank.
package limit

import "time"

// Stage is what a connection is doing.
type Stage int

// The stages. A connection begins as Silent, and is Idle after each answer.
const (
	Silent  Stage = iota // nothing has come on it
	First                // its first request is coming in
	Busy                 // a request waits for its answer
	Idle                 // between requests
	Further              // a request after the first is coming in
	Ending               // it is about to be closed
	stages
)

var stageNames = [stages]string{"silent", "first", "busy", "idle", "further", "ending"}

func (s Stage) String() string {
	if s < 0 || s >= stages {
		return "unknown"
	}
	return stageNames[s]
}

// Rank is the order in which connections lose their place to new ones: the
// lowest first, and of one rank the one that has been in its stage for longest.
// Busy and Further connections are never chosen.
type Rank int

// The ranks. A flood of connections that say nothing must not cost usual
// clients theirs, so silent ones go first once they are older than a usual
// client's first request needs; one that is younger goes only after all that
// are idle, whose clients can send what crosses the close once more.
const (
	RankEnding  Rank = iota // being closed already
	RankMute                // silent for Bounds.SilentFor or longer
	RankOnce                // idle for Bounds.KeptFor or longer after one request
	RankKept                // the same after several
	RankOnceNew             // idle for less after one request
	RankKeptNew             // the same after several
	RankNew                 // silent for less: its first request may be on its way
	RankFirst               // its first request is coming in
	RankNewest              // all others are in use: the new connection itself goes
	Ranks                   // how many there are
)

var rankNames = [Ranks]string{"ending", "mute", "once", "kept", "once_new", "kept_new", "new", "first", "newest"}

func (r Rank) String() string {
	if r < 0 || r >= Ranks {
		return "unknown"
	}
	return rankNames[r]
}

// Bounds are the limits that a Table keeps.
type Bounds struct {
	Soft int // idle connections from which on fresh ones end with their answer; at least 1
	Firm int // idle connections from which on all end with their answer; at least Soft
	Hard int // connections in all; at least 1

	SilentFor time.Duration // see RankMute
	KeptFor   time.Duration // see RankOnce; a client is owed so long
	Request   time.Duration // for a request to come in whole, the first from connecting on
	Linger    time.Duration // for a client to read its last answer and close
}

// Shares of a process's descriptors. A platform's clients hold a third of them
// for requests at the most (DEPLOY, LATER). Idle ones in a sixteenth leave four
// fifths of that third to requests, and an eighth leaves more than half.
const (
	softShare = 16
	firmShare = 8
	hardShare = 5. / 8 // the searchers' pool may take a quarter in any case, and a half of them where clients leave it

	silentFor = 500 * time.Millisecond // a usual client asks at once
	keptFor   = 2 * time.Second        // what the platform's page allows
	request   = 2 * time.Second        // a client that sends rubbish is owed an answer within 3 s
	linger    = 2 * time.Second        // a minute would let each hold a descriptor for nothing
)

// Defaults are the bounds for a process that may hold so many descriptors,
// those it needs for itself taken off.
func Defaults(descriptors int) Bounds {
	return Bounds{
		Soft: max(descriptors/softShare, 1), Firm: max(descriptors/firmShare, 1),
		Hard:      max(int(float64(descriptors)*hardShare), 1),
		SilentFor: silentFor, KeptFor: keptFor, Request: request, Linger: linger,
	}
}

// Seat is a connection's place in a Table. Its zero value is not seated.
type Seat[T any] struct {
	Owner T

	stage  Stage
	asked  int // answers given on it
	links  [2]links[T]
	joined [2]time.Time // since when it is on each list
}

// Stage is what the connection is doing.
func (s *Seat[T]) Stage() Stage { return s.stage }

// Asked is how many requests were answered on the connection.
func (s *Seat[T]) Asked() int { return s.asked }

// Since is when the connection came to its stage.
func (s *Seat[T]) Since() time.Time { return s.joined[byStage] }

// Seated tells that the seat is in a table.
func (s *Seat[T]) Seated() bool { return s.links[byStage].on != nil }

// The two lists that a seat can be on.
const (
	byStage = iota // of its stage: in the order in which they came to it
	byDue          // of its time limit: in the order in which it ends
)

// Table holds the seats. Make it with New.
type Table[T any] struct {
	bounds Bounds
	held   int
	lists  [stages]list[T] // by stage; Idle holds those that came back
	once   list[T]         // Idle ones after one request

	// Each time limit is the same for all it holds for, so the seat that joined
	// first is due first and no heap is needed.
	first   list[T] // for a first request, since connecting
	further list[T] // for another request, since its first byte
	ending  list[T] // for a client to close, since the end was told
}

// New returns an empty Table.
func New[T any](b Bounds) *Table[T] {
	t := &Table[T]{bounds: b}
	for i := range t.lists {
		t.lists[i].which = byStage
	}
	t.once.which = byStage
	t.first.which, t.further.which, t.ending.which = byDue, byDue, byDue
	return t
}

// Bounds are the limits in force.
func (t *Table[T]) Bounds() Bounds { return t.bounds }

// Held is how many connections there are.
func (t *Table[T]) Held() int { return t.held }

// Count is how many connections are in a stage.
func (t *Table[T]) Count(s Stage) int {
	if s == Idle {
		return t.idle()
	}
	return t.lists[s].size
}

func (t *Table[T]) idle() int { return t.lists[Idle].size + t.once.size }

// Oldest is the connection that has been in a stage for longest, or nil; of
// the Idle ones, those that carried a single request come before the others.
func (t *Table[T]) Oldest(s Stage) *Seat[T] {
	if s == Idle && t.once.first != nil {
		return t.once.first
	}
	return t.lists[s].first
}

// Enter seats a connection that has just been accepted.
func (t *Table[T]) Enter(now time.Time, s *Seat[T]) {
	t.held++
	s.asked = 0
	t.move(now, s, Silent)
}

// Leave takes away the seat of a connection that is closed. It may be called again.
func (t *Table[T]) Leave(s *Seat[T]) {
	if !s.Seated() {
		return
	}
	t.held--
	s.quit(byStage)
	s.quit(byDue)
}

// Move tells what a connection does from now on. A move to the same stage
// counts from the first time.
func (t *Table[T]) Move(now time.Time, s *Seat[T], to Stage) {
	if s.Seated() && s.stage != to {
		t.move(now, s, to)
	}
}

func (t *Table[T]) move(now time.Time, s *Seat[T], to Stage) {
	from := s.stage
	s.quit(byStage)
	if to == Idle && from == Busy {
		s.asked++
	}
	s.stage, s.joined[byStage] = to, now
	if to == Idle && s.asked <= 1 {
		t.once.add(s)
	} else {
		t.lists[to].add(s)
	}
	due := t.limit(to)
	if due != nil && s.links[byDue].on == due {
		return // the time for a first request runs from connecting on
	}
	s.quit(byDue)
	if due != nil {
		s.joined[byDue] = now
		due.add(s)
	}
}

// limit is the list of the time limit that holds in a stage; nil if none does.
func (t *Table[T]) limit(s Stage) *list[T] {
	switch s {
	case Silent, First:
		return &t.first
	case Further:
		return &t.further
	case Ending:
		return &t.ending
	}
	return nil
}

// Notice tells whether a connection, whose answer is about to be given, shall
// end with it.
func (t *Table[T]) Notice(s *Seat[T]) bool {
	idle := t.idle()
	return idle >= t.bounds.Firm || idle >= t.bounds.Soft && s.asked == 0
}

// Overdue returns a connection whose time limit is over, or nil. The caller
// closes it, or moves it to Ending, and asks again.
func (t *Table[T]) Overdue(now time.Time) *Seat[T] {
	for _, l := range t.limits() {
		if due := l.due(l.wait); !due.IsZero() && !now.Before(due) {
			return l.first
		}
	}
	return nil
}

// Due is when Overdue or Trim has the next connection; zero if none is waited for.
func (t *Table[T]) Due() time.Time {
	var due time.Time
	sooner := func(at time.Time) {
		if !at.IsZero() && (due.IsZero() || at.Before(due)) {
			due = at
		}
	}
	for _, l := range t.limits() {
		sooner(l.due(l.wait))
	}
	if t.idle() >= t.bounds.Soft {
		sooner(t.once.due(t.bounds.KeptFor))
		sooner(t.lists[Idle].due(t.bounds.KeptFor))
	}
	return due
}

// timed is a list with the time that its seats have.
type timed[T any] struct {
	*list[T]
	wait time.Duration
}

func (t *Table[T]) limits() [3]timed[T] {
	return [3]timed[T]{
		{&t.first, t.bounds.Request}, {&t.further, t.bounds.Request}, {&t.ending, t.bounds.Linger},
	}
}

// Trim returns an idle connection that shall be closed since others need its
// room, or nil. The caller moves it to Ending and asks again. One that carried
// a single request goes before one that came back.
func (t *Table[T]) Trim(now time.Time) *Seat[T] {
	if t.idle() < t.bounds.Soft {
		return nil
	}
	for _, l := range [...]*list[T]{&t.once, &t.lists[Idle]} {
		if due := l.due(t.bounds.KeptFor); !due.IsZero() && !now.Before(due) {
			return l.first
		}
	}
	return nil
}

// Over tells that more connections are held than may be.
func (t *Table[T]) Over() bool { return t.held > t.bounds.Hard }

// tries is how many candidates of one rank Victim offers to its caller.
const tries = 4

// Victim chooses the connection that loses its place to newest, and says by
// which rank. Where spare reports true for a connection, something has come on
// it that was not read yet: another one of its rank is chosen, as far as the
// first few go, and then the next rank. Where nothing else is left it is newest.
func (t *Table[T]) Victim(now time.Time, newest *Seat[T], spare func(*Seat[T]) bool) (*Seat[T], Rank) {
	for r := RankEnding; r < RankNewest; r++ {
		l, least := t.ranked(r)
		s := l.first
		for range tries {
			if s == nil {
				break
			}
			if now.Sub(s.joined[byStage]) < least {
				break // nor are those behind it old enough
			}
			if s != newest && (r == RankEnding || !spare(s)) {
				return s, r
			}
			s = s.links[byStage].next
		}
	}
	return newest, RankNewest
}

// ranked returns the list that a rank stands for, and how long its connections
// have been in their stage at least.
func (t *Table[T]) ranked(r Rank) (l *list[T], least time.Duration) {
	b := t.bounds
	switch r {
	case RankEnding:
		return &t.lists[Ending], 0
	case RankMute:
		return &t.lists[Silent], b.SilentFor
	case RankOnce:
		return &t.once, b.KeptFor
	case RankKept:
		return &t.lists[Idle], b.KeptFor
	case RankOnceNew:
		return &t.once, 0
	case RankKeptNew:
		return &t.lists[Idle], 0
	case RankNew:
		return &t.lists[Silent], 0
	default:
		return &t.lists[First], 0
	}
}
