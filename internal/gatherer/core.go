// Package gatherer is the core of the gatherer process. It holds the state of
// open queries, passes events to an aggregator, which makes the decisions,
// carries out the resulting actions, and enforces the rules that do not depend
// on decisions. It knows no protocol, does no I/O and reads no clock. A Core
// must be used from one goroutine only.
//
// Each stage that a query passes has its own file:
//
//	live_settings  settings that can change at run time; each query keeps those it started with
//	epoch          binds a query to one epoch of the layout
//	intake         validates queries and accepts updates of the member list
//	admission      refuses queries over the limits on open queries
//	turn           runs a turn of the aggregator and carries out its actions
//	attempts       starts, cancels and times out attempts
//	sending        until when an attempt may be sent
//	answers        the answers to a part, which decide whether it is over
//	results        records what becomes of attempts and of their answers
//	completion     gives clients their final answers
//	attempt_log    logs the changes of attempts
//	records        the records of queries, parts and members
//	used_ids       the ids of ended queries, which are not taken again
//	start_times    converts reported start times of searchers to the monotonic clock
package gatherer

import (
	"log/slog"
	"time"

	"eiderwinch"
	"eiderwinch/internal/layout"
	"eiderwinch/internal/querystats"
	"eiderwinch/internal/stats"
	"eiderwinch/internal/timerqueue"
)

// Decider makes the decisions. An eiderwinch.Aggregator implements it.
type Decider interface {
	Turn(now time.Duration, events []eiderwinch.Event) []eiderwinch.Action
}

// Searchers sends calls to searchers. For each attempt passed to Call it calls
// one of Core.Result, Core.ProvisionalResult, Core.UnreadableAnswer, Core.NotSent, Core.ConnectionBroken and
// Core.ConnectionClosed, unless Abandon is called first; after that, it calls Core.LateResult if the attempt
// is answered all the same. It may do so before Call returns.
type Searchers interface {
	// Call sends attempts to their common searcher as one call.
	Call(now time.Time, attempts []*Attempt)
	// Abandon reports that the result of an attempt is no longer needed.
	Abandon(a *Attempt)
	// DataUnread reports whether something was received on the connection of an attempt that was not read yet: it may be the
	// attempt's answer. The attempt is in flight, or it was abandoned and is not answered yet.
	DataUnread(a *Attempt) bool
	// DataBehind reports whether an incomplete frame was read behind the answer of an attempt whose result is provisional: it
	// may refute that answer.
	DataBehind(a *Attempt) bool
	// CloseIdle closes the idle connections to a searcher.
	CloseIdle(searcher string)
}

// Client is the sender of a query.
type Client interface {
	// Reply delivers the final answer. It is called at most once, and not after Core.ClientDisconnected.
	Reply(Reply)
	// Disconnected reports whether the client has disconnected. It can be true before
	// Core.ClientDisconnected is called, because the end of the connection may have arrived and not been read yet.
	Disconnected() bool
	// MayHold reports whether there is room for an open query of this client that takes a number of bytes.
	MayHold(bytes int) bool
	// Hold is called with the number of bytes that the client's open query takes, whenever that changes; 0 once it has ended.
	Hold(bytes int)
}

// ReplyKind is the kind of a final answer.
type ReplyKind int

// The kinds of final answers.
const (
	Answered ReplyKind = iota
	Refused            // not executed; the client may safely ask again
	Failed             // promises nothing; the query may have been executed
)

// Reply is a final answer.
type Reply struct {
	Kind       ReplyKind
	Whole      bool          // Answered: the answer is whole
	Values     []ShardValue  // Answered: the values that the searchers returned
	RetryAfter time.Duration // Refused: how long to wait before asking again; 0 means no advice
	Overdue    bool          // Failed: the deadline had passed
	Generation uint64        // of the settings in force when the query was taken; 0 if settings can't change
	Epoch      layout.Epoch  // of the layout that the query was bound to; 0 if there is no layout
}

// ShardValue is the value that a searcher returned for one shard.
type ShardValue struct {
	Shard int
	Value string
}

// Settings configures a Core.
type Settings struct {
	Module  eiderwinch.Settings
	Tick    time.Duration
	MaxOpen int // limit on open queries plus their parts, used if LiveSettings is nil; 0 means no limit

	// Layout is the initial layout. If it is nil, the shards are those of
	// Module.Shards, and the cells of the searchers determine which shards they hold.
	Layout *layout.Layout

	// LiveSettings holds the initial values of the settings that can change at run time.
	// Nil means that MaxOpen is the only one.
	LiveSettings *LiveSettings

	// Recorder records the outcomes of queries by class number. Nil means that
	// they are not recorded.
	Recorder *querystats.Recorder
}

// Core holds the queries of a gatherer and carries out the aggregator's decisions.
type Core struct {
	settings  Settings
	decider   Decider
	searchers Searchers
	stats     *stats.Counters
	log       *slog.Logger

	start          time.Time // origin of the grid of ticks
	now            time.Time // time of the current Run
	nextTurn       time.Time // no turn runs before this time
	wakeAt         time.Time // when the aggregator has asked for a turn; zero if it has not
	pendingEvents  []eiderwinch.Event
	firstEventAt   time.Time // when the first of pendingEvents was added
	lastID         uint64
	queries        map[uint64]*query
	queriesByTrace map[string]*query
	usedIDs        usedIDs                    // of queries that have ended
	parts          map[uint64]*part           // parts of open queries, and parts with an attempt in flight
	inFlight       timerqueue.Queue[*Attempt] // attempts in flight, by deadline
	endedAttempts  []*Attempt                 // attempts that ended since the last Run
	disconnected   []*query                   // queries whose client was found disconnected in this turn
	backstops      timerqueue.Queue[*query]   // open queries by the time at which the core ends them itself
	endBy          time.Time                  // when all queries must have ended, see EndBy; zero if there is no such time
	openCount      int                        // number of open queries plus their parts
	members        map[string]member
	startTimes     startTimes
	unconfirmed    []eiderwinch.Replica // ready entries of a stale member list, with their listed start times, see ConfirmMembers
	liveSettings   *LiveSettings
	openByClass    []int // number of open queries by class
	layout         *layout.Layout
	openByEpoch    map[layout.Epoch]int // number of open queries by the epoch they are bound to
}

// New returns a Core whose grid of ticks starts at start.
func New(settings Settings, decider Decider, searchers Searchers, counters *stats.Counters, log *slog.Logger, start time.Time) *Core {
	if settings.LiveSettings == nil {
		settings.LiveSettings = &LiveSettings{MaxOpen: settings.MaxOpen}
	}
	return &Core{
		liveSettings: settings.LiveSettings, openByClass: make([]int, len(settings.Module.Classes)),
		settings: settings, decider: decider, searchers: searchers, stats: counters, log: log,
		start: start, nextTurn: start,
		queries:        make(map[uint64]*query),
		queriesByTrace: make(map[string]*query),
		usedIDs:        newUsedIDs(settings.Module.Classes),
		parts:          make(map[uint64]*part),
		members:        make(map[string]member),
		startTimes:     newStartTimes(start, settings.Module.ColdDuration),
		layout:         settings.Layout,
		openByEpoch:    make(map[layout.Epoch]int),
	}
}

// OpenQueries returns the number of queries without a final answer.
func (c *Core) OpenQueries() int { return len(c.queries) }

// addEvent adds an event to those that the aggregator receives in its next turn.
func (c *Core) addEvent(now time.Time, e eiderwinch.Event) {
	if len(c.pendingEvents) == 0 {
		c.firstEventAt = now
	}
	c.pendingEvents = append(c.pendingEvents, e)
}

// NextRun returns the time at which Run must be called next, on the grid of ticks;
// zero if nothing is due.
func (c *Core) NextRun() time.Time {
	next := c.wakeAt
	consider := func(t time.Time) {
		if next.IsZero() || t.Before(next) {
			next = t
		}
	}
	if len(c.pendingEvents) > 0 {
		consider(c.firstEventAt)
	}
	for _, t := range [...]time.Time{c.inFlight.Next(), c.backstops.Next()} {
		if !t.IsZero() {
			consider(t)
		}
	}
	if next.IsZero() {
		return next
	}
	if next.Before(c.nextTurn) {
		return c.nextTurn
	}
	ticks := (next.Sub(c.start) + c.settings.Tick - 1) / c.settings.Tick
	return c.start.Add(ticks * c.settings.Tick)
}

// Run does all work that is due at now. It gives the aggregator one turn with all
// pending events. Turns lie on a grid of ticks, so the events that arrive within
// one tick are decided together.
func (c *Core) Run(now time.Time) {
	if now.Before(c.nextTurn) {
		return
	}
	c.now = now
	c.nextTurn = c.start.Add((now.Sub(c.start)/c.settings.Tick + 1) * c.settings.Tick)
	c.expireAttempts()
	if !c.wakeAt.IsZero() && !now.Before(c.wakeAt) {
		c.wakeAt = time.Time{}
		c.addEvent(now, eiderwinch.Woken{})
	}
	if len(c.pendingEvents) > 0 {
		c.runTurn()
	}
	c.endOverdueQueries()
	c.removeEndedAttempts()
}

// moduleTime converts t to the clock of the decision module: the Unix time at the
// start of the core, advanced by the monotonic clock. Its values are far above 0,
// which eiderwinch.Replica.Started uses for "long ago", so a searcher that started
// shortly before this process is not mistaken for one that started long ago.
func (c *Core) moduleTime(t time.Time) time.Duration {
	return time.Duration(c.start.UnixNano()) + t.Sub(c.start)
}
