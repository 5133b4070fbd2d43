// Package gatherer is the core round the decisions: it holds the queries that
// clients ask, lets an aggregator decide what becomes of them, and keeps the
// rules that do not depend on decisions. It knows no protocol, does no I/O and
// reads no clock; it belongs to one goroutine.
//
// A query passes these stages, each in a file of its own:
//
//	live    the settings that can change, of which each query keeps its own
//	epoch   binds a query to one epoch of the layout
//	intake  checks what a client asks and what discovery tells
//	admit   refuses at once what is over the limit on open queries
//	route   hands the aggregator a turn and carries out its actions
//	send    starts attempts, calls them off, times them out
//	relay   takes in results and gives clients their final answers
//	book    keeps the records
package gatherer

import (
	"log/slog"
	"time"

	"eiderwinch"
	"eiderwinch/internal/due"
	"eiderwinch/internal/layout"
	"eiderwinch/internal/service"
	"eiderwinch/internal/stats"
)

// Decider makes the decisions; an eiderwinch.Aggregator is one.
type Decider interface {
	Turn(now time.Duration, events []eiderwinch.Event) []eiderwinch.Action
}

// Searchers carries calls to the searchers. For each attempt it is given it
// calls one of Core's Result, Unsent and Broken, unless Abandon comes first.
// It may do so before Call returns.
type Searchers interface {
	// Call sends attempts to their searcher as one shared call.
	Call(now time.Time, attempts []*Attempt)
	// Abandon tells that nobody waits for an attempt any more.
	Abandon(a *Attempt)
	// CloseIdle closes the idle connections to a searcher.
	CloseIdle(searcher string)
}

// Client is whoever has asked a query.
type Client interface {
	// Reply is called once at the most, with the final answer, and not after Core.Gone.
	Reply(Reply)
	// Left tells that the client has gone, though Core.Gone was not called yet: its end may
	// have come and not been read.
	Left() bool
}

// Verdict is the kind of a final answer.
type Verdict int

// The kinds of final answers.
const (
	Answered Verdict = iota
	Refused          // not done; asking again is harmless
	Failed           // promises nothing
)

// Reply is a final answer.
type Reply struct {
	Verdict    Verdict
	Whole      bool          // Answered: nothing is missing
	Pieces     []Piece       // Answered: what the searchers gave
	RetryAfter time.Duration // Refused: when to come back; 0 means no advice
	Overdue    bool          // Failed: its time was over
	Generation uint64        // of the settings that the query was taken under; 0 if they can't change
	Epoch      layout.Epoch  // of the layout that the query was bound to; 0 if there is none
}

// Piece is one searcher's value.
type Piece struct {
	Shard int
	Value string
}

// Settings is what the core keeps to.
type Settings struct {
	Module  eiderwinch.Settings
	Tick    time.Duration
	MaxOpen int // queries and parts held at once, where Live is nil; 0 means no limit

	// Layout is the epoch to begin with. Nil means that the module's settings say
	// which segments there are and that searchers' cells say who holds them.
	Layout *layout.Layout

	// Live is what can change while queries run. Nil means MaxOpen and no more.
	Live *Live

	// Service records how queries fare, by the numbers of their classes. Nil: nothing does.
	Service *service.Recorder
}

// Core is the gatherer's core.
type Core struct {
	set       Settings
	decide    Decider
	searchers Searchers
	stats     *stats.Counters
	log       *slog.Logger

	start    time.Time // turns lie on a grid of ticks from here
	now      time.Time // of the run in hand
	next     time.Time // no turn before
	wakeAt   time.Time // when the aggregator wants a turn; zero if it does not
	events   []eiderwinch.Event
	since    time.Time // when the first of events came
	lastID   uint64
	queries  map[uint64]*query
	traces   map[string]*query
	parts    map[uint64]*part    // of open queries or with an attempt out
	attempts due.Queue[*Attempt] // that are out, by their deadlines
	ended    []*Attempt          // that ended in this run
	left     []*query            // whose client turned out to have left in this turn
	overdue  due.Queue[*query]   // open queries by their backstops
	endBy    time.Time           // when all queries are to be ended at the latest; zero while that is not known
	open     int                 // open queries and parts
	members  map[string]member
	starts   starts
	given    []eiderwinch.Replica // the ready ones of the list it started with, until discovery has spoken
	live     *Live
	openOf   []int // open queries by class
	layout   *layout.Layout
	bound    map[layout.Epoch]int // open queries by the epoch they are bound to
}

// New returns a core whose clock starts at start.
func New(set Settings, d Decider, s Searchers, counters *stats.Counters, log *slog.Logger, start time.Time) *Core {
	if set.Live == nil {
		set.Live = &Live{MaxOpen: set.MaxOpen}
	}
	return &Core{
		live: set.Live, openOf: make([]int, len(set.Module.Classes)),
		set: set, decide: d, searchers: s, stats: counters, log: log,
		start: start, next: start,
		queries: make(map[uint64]*query),
		traces:  make(map[string]*query),
		parts:   make(map[uint64]*part),
		members: make(map[string]member),
		starts:  newStarts(start, set.Module.ColdFor),
		layout:  set.Layout,
		bound:   make(map[layout.Epoch]int),
	}
}

// Open is how many queries wait for their final answer.
func (c *Core) Open() int { return len(c.queries) }

// tell adds to what the aggregator is told in its next turn.
func (c *Core) tell(now time.Time, e eiderwinch.Event) {
	if len(c.events) == 0 {
		c.since = now
	}
	c.events = append(c.events, e)
}

// Due is when Run is wanted next, on the grid of ticks; zero if nothing is due.
func (c *Core) Due() time.Time {
	next := c.wakeAt
	sooner := func(t time.Time) {
		if next.IsZero() || t.Before(next) {
			next = t
		}
	}
	if len(c.events) > 0 {
		sooner(c.since)
	}
	for _, t := range [...]time.Time{c.attempts.Next(), c.overdue.Next()} {
		if !t.IsZero() {
			sooner(t)
		}
	}
	if next.IsZero() {
		return next
	}
	if next.Before(c.next) {
		return c.next
	}
	ticks := (next.Sub(c.start) + c.set.Tick - 1) / c.set.Tick
	return c.start.Add(ticks * c.set.Tick)
}

// Run does what is due. It gives the aggregator one turn with all that has
// happened, on a grid of ticks: what comes within a tick is decided together.
func (c *Core) Run(now time.Time) {
	if now.Before(c.next) {
		return
	}
	c.now = now
	c.next = c.start.Add((now.Sub(c.start)/c.set.Tick + 1) * c.set.Tick)
	c.expire()
	if !c.wakeAt.IsZero() && !now.Before(c.wakeAt) {
		c.wakeAt = time.Time{}
		c.tell(now, eiderwinch.Woken{})
	}
	if len(c.events) > 0 {
		c.turn()
	}
	c.endOverdue()
	c.sweep()
}

// clock is the aggregator's clock: Unix time as it was at the start, carried
// on by the monotonic clock. It is far above 0, so that the start of a
// searcher that came up before this process is not taken for "long ago".
func (c *Core) clock(t time.Time) time.Duration {
	return time.Duration(c.start.UnixNano()) + t.Sub(c.start)
}
