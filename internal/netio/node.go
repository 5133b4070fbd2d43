// Package netio runs the gatherer's core on sockets: it serves clients and follows discovery over HTTP/1.1, and
// calls searchers over framed connections. One event loop owns the listener, all connections and the core. Nothing
// on the loop blocks, so no locks are needed.
package netio

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"time"

	"golang.org/x/sys/unix"

	"eiderwinch"
	"eiderwinch/internal/discovery"
	"eiderwinch/internal/fairqueue"
	"eiderwinch/internal/format/catalog"
	"eiderwinch/internal/gatherer"
	"eiderwinch/internal/layout"
	"eiderwinch/internal/limit"
	"eiderwinch/internal/memory"
	"eiderwinch/internal/netio/eventloop"
	"eiderwinch/internal/querystats"
	"eiderwinch/internal/stats"
)

// Config holds the settings of a Node.
type Config struct {
	Listen         string
	Discovery      string // the address that discovery is asked at until FollowDiscovery names another
	InitialMembers catalog.Update
	MemoryLimit    int64 // memory limit of the process in bytes; 0 gives member lists the lowest size limit
	ClientMemory   int   // bytes that clients may make the node hold; 0 selects a share of MemoryLimit
	MaxDescriptors int   // file descriptors that the process may hold
	Multiplex      int   // most parts on one connection to a searcher
	ConnectTimeout time.Duration
	ConnIdle       time.Duration // searchers close connections that have been idle for this long
	DrainGrace     time.Duration // how long a searcher may still be sent attempts after the update that it is draining
	AnswerSlack    time.Duration // how late a final answer may be
	Clients        limit.Bounds  // bounds on client connections; the zero value selects limit.Defaults for MaxDescriptors
	ReportEvery    time.Duration // interval at which the counters are logged, rounded up to housekeepingInterval; 0: on request only
	Gatherer       gatherer.Settings
	NoShareUntil   time.Time // no slots of the fleet's limits are used until then; zero: the gatherer's share is used from the start
}

// Durations that are not configurable.
const (
	housekeepingInterval = 250 * time.Millisecond // how often idle connections, client time limits and rejected members are checked
	readGrace            = 80 * time.Millisecond  // past the time of the answers, for requests that were read; the rest of answerMargin is for closing
	drainCheckInterval   = 20 * time.Millisecond  // how often a draining node checks whether it is done
	drainAcceptTime      = 600 * time.Millisecond // new connections keep arriving for 0.4 s after SIGTERM
	partialRequestWait   = time.Second            // how much longer a draining node waits for the rest of incomplete requests
	bootTimeout          = 5 * time.Second        // for opening the listener
	bootRetryWait        = 10 * time.Millisecond  // before the second try; doubled for each further try, up to bootMaxRetryWait
	bootMaxRetryWait     = 500 * time.Millisecond

	// After SIGTERM the process is killed no sooner than after the longest deadline, counted as at most
	// maxCountedDeadline, plus killDelay. Kept connections are served until answerReserve before that: their
	// clients use them for as long as they are open, and the gatherer that would serve these clients instead may
	// be down as well.
	maxCountedDeadline = 3 * time.Second
	killDelay          = 700 * time.Millisecond
	// answerReserve is capped at the longest deadline, but is at least twice answerMargin. Most answers take a small
	// part of it.
	answerReserve = time.Second
	answerMargin  = 200 * time.Millisecond // all answers must be written this long before the kill
)

// unsentShare is the part (1/4) of the clients' memory that unsent frames to searchers may take in addition to it.
const unsentShare = 4

// reservedDescriptors is the number of file descriptors reserved for the runtime, the poller, the listener and the
// standard streams.
const reservedDescriptors = 32

// Node is one gatherer on sockets. Its fields belong to the event loop.
type Node struct {
	cfg       Config
	log       *slog.Logger
	stats     *stats.Counters
	core      *gatherer.Core
	pool      *pool
	watch     *watch
	nextWatch *watch // replaces watch once it has received a list; nil if discovery's address is not changing

	watchesOpened int // number of watches so far

	discoveryAddress *discovery.AddressOwner

	memberFilter discovery.MemberFilter // searchers that were reported as leaving

	wakeups          int       // calls of runDue
	deferredSince    time.Time // since when due work has waited for unread updates; zero if it does not wait
	deferredAtWakeup int       // value of wakeups when that wait began

	unreadAnswers rounds // for which due work waits

	dialContext      dialFunc        // dials searchers and discovery
	ctx              context.Context // of all dials
	cancel           context.CancelFunc
	loop             *eventloop.Loop // nil until Run has opened it
	timer            *time.Timer     // runs runDue
	timerAt          time.Time       // when timer fires; zero if it is not armed
	timerSetAt       time.Time       // when it was armed
	lastHousekeeping time.Time
	lastReport       time.Time // when the counters were last logged on schedule
	clientTable      *limit.Table[*clientConn]

	backlog        fairqueue.Queue[*clientConn] // connections with requests that wait for their turn
	roundScheduled bool                         // serveBacklog is called in the loop's next round
	roundBegan     time.Time                    // the last call of serveBacklog, if requests were left behind

	trimmer       trimmer
	account       *memory.Account
	roomQueue     []*clientConn // connections that wait for room in account, the longest waiting first
	lastRoomCheck time.Time

	lastPresenceCheck time.Time // see checkPresence

	flushing map[*clientConn]*flush // connections whose answers are not fully written

	halfOpenAfter time.Duration // see pool.silenceTimeout
	acceptFor     time.Duration // how long new connections are accepted in a drain
	serveFor      time.Duration // how long kept connections are served in a drain
	draining      bool
	drainUntil    time.Time // end of acceptFor
	serveUntil    time.Time // end of serveFor
	killAt        time.Time // the process may be killed from then on
	stopping      bool      // the loop is about to end

	started chan struct{} // closed once queries are accepted
}

// New returns a Node, to be started with Run.
func New(cfg Config, d gatherer.Decider, counters *stats.Counters, log *slog.Logger) *Node {
	if cfg.Clients == (limit.Bounds{}) {
		cfg.Clients = limit.Defaults(cfg.MaxDescriptors - reservedDescriptors)
	}
	n := &Node{
		cfg: cfg, log: log, stats: counters,
		clientTable: limit.New[*clientConn](cfg.Clients), account: newAccount(cfg), trimmer: newTrimmer(),
		flushing: make(map[*clientConn]*flush),
		started:  make(chan struct{}), acceptFor: drainAcceptTime, halfOpenAfter: cfg.ConnectTimeout,
		dialContext: new(net.Dialer).DialContext,
	}
	n.serveFor = cfg.serveFor()
	n.ctx, n.cancel = context.WithCancel(context.Background())
	n.pool = newPool(n)
	n.pool.maxUnsent = n.account.Capacity() / unsentShare
	n.watch = newWatch(n, cfg.Discovery, cfg.InitialMembers.Revision)
	now := time.Now()
	n.discoveryAddress = discovery.NewAddressOwner(cfg.Discovery, now)
	n.core = gatherer.New(cfg.Gatherer, d, n.pool, counters, log, now)
	if !cfg.NoShareUntil.IsZero() {
		n.core.SetShare(now, 0, cfg.NoShareUntil)
	}
	return n
}

// Run serves until the node has drained. It returns an error if the node stopped serving for any other reason.
func (n *Node) Run() error {
	defer n.cancel()
	loop, err := n.openLoop()
	if err == nil {
		n.loop = loop
		n.boot()
		err = n.loop.Run()
		n.copyLoopCounters()
	}
	if err != nil {
		n.log.Error("not serving any more", "listen", n.cfg.Listen, "err", err)
		return fmt.Errorf("serving on %s: %w", n.cfg.Listen, err)
	}
	n.log.Info("ended", "drained", n.draining, "open", n.core.OpenQueries())
	return nil
}

// openLoop opens the listener. It retries failures that may be temporary: the previous process may still hold the
// address, and the system may be short of descriptors for a moment.
func (n *Node) openLoop() (*eventloop.Loop, error) {
	options := eventloop.Options{
		Accepted: func() eventloop.Handler { return newClientConn(n) }, MayAccept: n.mayAccept, AfterEvent: n.afterEvent, Log: n.log, Seed: n.cfg.Gatherer.Module.Seed,
	}
	for wait, end := bootRetryWait, time.Now().Add(bootTimeout); ; wait = min(2*wait, bootMaxRetryWait) {
		loop, err := eventloop.Open(n.cfg.Listen, options)
		if err == nil || !eventloop.IsTransient(err) && !errors.Is(err, unix.EADDRINUSE) || time.Now().Add(wait).After(end) {
			return loop, err
		}
		n.log.Warn("listener could not be opened; retrying", "listen", n.cfg.Listen, "err", err)
		time.Sleep(wait)
	}
}

// Started returns a channel that is closed once queries are accepted. Addr may be called from then on.
func (n *Node) Started() <-chan struct{} { return n.started }

// Addr returns the address that the node listens on.
func (n *Node) Addr() string { return n.loop.Addr() }

// Adopt puts an epoch of the layout in force for queries that arrive from now on. It may be called from any
// goroutine.
func (n *Node) Adopt(l *layout.Layout) {
	n.exec(func() {
		if n.core.Adopt(l) {
			n.log.Info("layout", "epoch", l.Epoch(), "segments", l.Len())
		}
	})
}

// State describes a running node.
type State struct {
	Epoch       layout.Epoch        // that new queries are bound to
	OldestEpoch layout.Epoch        // oldest epoch that an open query is bound to
	Generation  uint64              // of the configuration that new queries are taken under; 0 if it can't change
	Service     []querystats.Window // completed seconds, if service is recorded
	Draining    bool
}

// Searcher is a searcher as the node knows it.
type Searcher struct {
	ID, Addr string
	Ready    bool
}

// Searchers returns the searchers in the member list. ok is false if the node has not started or has ended. It may
// be called from any goroutine and waits for the loop.
func (n *Node) Searchers(ctx context.Context) (list []Searcher, ok bool) {
	return runOnLoop(ctx, n, func() (list []Searcher) {
		for id, s := range n.pool.searchers {
			if n.core.Listed(id) {
				list = append(list, Searcher{id, s.addr, n.core.Ready(id)})
			}
		}
		return list
	})
}

// State returns the state of the node, with the recorded seconds after the given one; ok is as for Searchers.
func (n *Node) State(ctx context.Context, after int64) (s State, ok bool) {
	return runOnLoop(ctx, n, func() State {
		s := State{Epoch: n.core.Epoch(), OldestEpoch: n.core.OldestEpoch(), Generation: n.core.Generation(), Draining: n.draining}
		if r := n.cfg.Gatherer.Recorder; r != nil {
			s.Service = r.Since(time.Now(), after)
		}
		return s
	})
}

// Generations returns the configuration generations that open queries were taken under, and the one in force; ok
// is as for Searchers. It goes through all open queries.
func (n *Node) Generations(ctx context.Context) (list []uint64, ok bool) {
	return runOnLoop(ctx, n, n.core.Generations)
}

// runOnLoop runs f on the event loop and waits for its result. ok is false if the node has not started or has
// ended, or if ctx ends first.
func runOnLoop[T any](ctx context.Context, n *Node, f func() T) (v T, ok bool) {
	select {
	case <-n.started:
	default:
		return v, false
	}
	got := make(chan T, 1)
	n.exec(func() {
		got <- f()
	})
	select {
	case v = <-got:
		return v, true
	case <-ctx.Done():
	case <-n.ctx.Done():
	}
	return v, false
}

// LiveSettings holds the settings that can change while the node runs.
type LiveSettings struct {
	Core           *gatherer.LiveSettings
	Multiplex      int
	ConnectTimeout time.Duration
	ConnIdle       time.Duration
	Layout         *layout.Layout // adopted if it is newer than the one in force; nil keeps the one in force
}

// ErrNotServing reports that a node can't be changed because it has not started or has ended.
var ErrNotServing = errors.New("the gatherer does not serve yet, or has ended")

// Apply puts other settings in force, all at once between two events: events before it see the old settings,
// events after it the new ones. It waits for the loop and may be called from any goroutine.
func (n *Node) Apply(ctx context.Context, l LiveSettings) error {
	_, ok := runOnLoop(ctx, n, func() struct{} {
		n.core.Apply(l.Core)
		n.cfg.Multiplex, n.cfg.ConnectTimeout, n.cfg.ConnIdle = l.Multiplex, l.ConnectTimeout, l.ConnIdle
		n.halfOpenAfter = l.ConnectTimeout
		if l.Layout != nil && l.Layout.Epoch() > n.core.Epoch() {
			n.core.Adopt(l.Layout)
		}
		return struct{}{}
	})
	switch {
	case ok:
		return nil
	case ctx.Err() != nil:
		return ctx.Err()
	}
	return ErrNotServing
}

// FollowDiscovery follows discovery at the address that the platform's configuration names now. Open connections are
// not affected. It may be called from any goroutine; before the start the address is kept for it.
func (n *Node) FollowDiscovery(addr string) {
	n.discoveryAddress.Move(addr, time.Now())
	n.exec(func() {
		n.stats.Reloads++
		n.followDiscovery()
	})
}

// DiscoveryAddress returns the address at which discovery is asked. It may be called from any goroutine.
func (n *Node) DiscoveryAddress() discovery.Address { return n.discoveryAddress.Address() }

// ReloadFailed counts a configuration that could not be used.
func (n *Node) ReloadFailed() {
	n.exec(func() {
		n.stats.ReloadFails++
	})
}

// SetShare sets how many slots of the fleet's limits may be used until the given time, see package share. It may be
// called from any goroutine.
func (n *Node) SetShare(slots int, until time.Time) {
	n.exec(func() {
		n.core.SetShare(time.Now(), slots, until)
	})
}

// Report logs the counters. It may be called from any goroutine.
func (n *Node) Report() {
	n.exec(func() {
		n.report()
	})
}

func (n *Node) report() {
	n.copyLoopCounters()
	n.log.Info("counters", "counters", n.stats)
}

// copyLoopCounters copies the event loop's counters to those of the node.
func (n *Node) copyLoopCounters() {
	c := n.loop.Counters()
	n.stats.SystemFails, n.stats.WakeFails = c.Failures, c.WakeFails
	n.stats.PollRetries, n.stats.Stalls = c.RegistrationRetries, c.Pauses
	n.stats.LongestEvents = c.LongestEvents
	n.stats.HeldBytes = n.heldBytes()
}

// heldBytes returns how many bytes are held, by kind.
func (n *Node) heldBytes() map[string]int {
	held := make(map[string]int)
	for _, kind := range memory.Kinds() {
		held[kind.String()] = n.account.Held(kind)
	}
	held["clients_peak"] = n.account.Peak()
	held["trims"] = n.trimmer.trims
	for _, s := range n.pool.searchers {
		for _, c := range s.conns {
			if c.conn != nil {
				held["calls"] += c.conn.Held()
				held["results"] += len(c.answers.Incomplete())
			}
		}
	}
	return held
}

// exec runs f on the event loop, without waiting for it. It does nothing if the node has not started or has ended.
func (n *Node) exec(f func()) {
	select {
	case <-n.started:
	default:
		return
	}
	_ = n.loop.Execute(func() { // it fails only if the loop has ended
		f()
		n.afterEvent()
	})
}

// boot starts everything that needs the loop. It is called before the loop runs.
func (n *Node) boot() {
	now := time.Now()
	n.applyUpdate(now, eiderwinch.Stale, n.watch, n.cfg.InitialMembers)
	// An agent answers at once, so if it stays silent until then, there is no update to wait for.
	n.pool.timers.Set(&timer{Value: n.core.ConfirmMembers}, now.Add(n.cfg.DrainGrace))
	n.core.Run(now)
	n.timer = time.AfterFunc(time.Hour, func() { n.exec(n.runDue) })
	close(n.started)
	n.watch.run(now)
	n.followDiscovery() // it may have moved since New
	module := n.cfg.Gatherer.Module
	n.log.Info("serving", "addr", n.Addr(), "searchers", len(n.cfg.InitialMembers.Members), "gatherers", module.Gatherers,
		"sockets", n.cfg.MaxDescriptors, "multiplex", n.cfg.Multiplex, "connect_timeout", n.cfg.ConnectTimeout,
		"conn_idle", n.cfg.ConnIdle, "max_open", n.cfg.Gatherer.MaxOpen, "cells", module.Cells, "shards", module.Shards,
		"batch", module.MaxBatch, "call_cost", module.CallCost)
}

// runDue does everything that is due.
func (n *Node) runDue() {
	now := time.Now()
	if !n.timerAt.IsZero() {
		waited := min(now.Sub(n.timerAt), now.Sub(n.timerSetAt)) // what is due may have been so for long when the timer is set
		n.stats.LongestDelay = max(n.stats.LongestDelay, waited)
	}
	n.timerAt = time.Time{}
	n.wakeups++
	for _, w := range n.watches() {
		if !now.Before(w.follower.Due()) {
			w.run(now)
		}
	}
	n.pool.runTimers(now)
	if !n.deferForUpdates(now) && !n.deferForAnswers() { // otherwise the loop reads first, and runDue is called again at once
		n.core.Run(now)
	}
	if n.loop.UnreadConns() > 0 && now.Sub(n.lastPresenceCheck) >= presenceInterval {
		n.lastPresenceCheck = now
		n.checkPresence()
	}
	if now.Sub(n.lastRoomCheck) >= roomCheckInterval {
		n.lastRoomCheck = now
		n.checkRoom(now)
	}
	if now.Sub(n.lastHousekeeping) >= housekeepingInterval {
		n.lastHousekeeping = now
		n.pool.closeIdleConns(now)
		n.reinstateRejected(now)
		n.checkClients(now)
		n.trimmer.check(now, n.account.Total()-n.account.Held(memory.Connections))
		if every := n.cfg.ReportEvery; every > 0 && now.Sub(n.lastReport) >= every {
			n.lastReport = now
			n.report()
		}
	}
	if n.drained(now) {
		n.stopping = true
		n.loop.Stop()
	}
}

// afterEvent is called after each event of the loop.
func (n *Node) afterEvent() {
	n.shedExcess()
	n.grantRoom()
	n.armTimer()
}

// armTimer sets the timer to the time when the next work is due.
func (n *Node) armTimer() {
	if n.timer == nil || n.stopping {
		return
	}
	due := n.lastHousekeeping.Add(housekeepingInterval)
	if n.draining && n.timerAt.IsZero() {
		due = time.Now().Add(drainCheckInterval)
	}
	if next := n.lastRoomCheck.Add(roomCheckInterval); len(n.roomQueue) > 0 && next.Before(due) {
		due = next
	}
	if next := n.lastPresenceCheck.Add(presenceInterval); n.loop.UnreadConns() > 0 && next.Before(due) {
		due = next
	}
	for _, t := range []time.Time{n.core.NextRun(), n.pool.nextDue()} {
		if !t.IsZero() && t.Before(due) {
			due = t
		}
	}
	for _, w := range n.watches() {
		if t := w.follower.Due(); t.Before(due) {
			due = t
		}
	}
	if n.timerAt.IsZero() || due.Before(n.timerAt) {
		n.timerAt, n.timerSetAt = due, time.Now()
		n.timer.Reset(max(due.Sub(n.timerSetAt), 0))
	}
}
