// Package netio puts the gatherer's core on real sockets: clients and
// discovery over HTTP/1.1, searchers over frames. One event loop owns the
// listener, all connections and the core; nothing on it blocks, and there are
// no locks.
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
	"eiderwinch/internal/follow"
	"eiderwinch/internal/format/catalog"
	"eiderwinch/internal/gatherer"
	"eiderwinch/internal/layout"
	"eiderwinch/internal/limit"
	"eiderwinch/internal/netio/eventloop"
	"eiderwinch/internal/service"
	"eiderwinch/internal/stats"
)

// Config is what a Node is told.
type Config struct {
	Listen         string
	Discovery      string
	Known          catalog.Update
	Memory         int64 // bytes that the process may take; 0: the least that a list needs is taken for its bound
	Sockets        int   // descriptors that the process may hold
	Multiplex      int   // parts on one connection
	ConnectTimeout time.Duration
	ConnIdle       time.Duration // searchers close connections idle for so long
	DrainGrace     time.Duration // after the news that a searcher leaves, until which it may be sent something
	AnswerSlack    time.Duration // a final answer may be so late
	Clients        limit.Bounds  // of client connections; zero means limit.Defaults for Sockets
	ReportEvery    time.Duration // the counters are logged so often, to housekeeping's grain; 0 means on request only
	Gatherer       gatherer.Settings
	NoShareUntil   time.Time // nothing of the fleet's limits may be used until then; zero: the own part from the start
}

// Times that are ours.
const (
	housekeeping = 250 * time.Millisecond // how often idle things are looked at
	drainAccept  = 600 * time.Millisecond // new connections come for 0.4 s after SIGTERM
	drainPartial = time.Second            // how much longer a half-sent request is waited for
	bootTimeout  = 5 * time.Second        // for the listener to be opened
	bootWait     = 10 * time.Millisecond  // before the second try; twice as long before each further one, up to
	bootMostWait = 500 * time.Millisecond

	// The kill comes no sooner after SIGTERM than the longest deadline, counted
	// as killMost where it is longer, plus killMore. Until killReserve before it
	// kept connections are served: their clients use them as long as they are
	// open, and a gatherer that would take them instead may be down as well.
	killMost    = 3 * time.Second
	killMore    = 700 * time.Millisecond
	killReserve = time.Second            // most answers take a small part of it; the longest deadline, if that is shorter, but room for some
	killMargin  = 200 * time.Millisecond // the answers must be out so long before the kill
)

// spare is how many descriptors are left to the runtime, the poller, the
// listener and the standard streams.
const spare = 32

// Node is one gatherer on sockets. Its fields belong to the event loop.
type Node struct {
	cfg   Config
	log   *slog.Logger
	stats *stats.Counters
	core  *gatherer.Core
	pool  *pool
	watch *watch
	next  *watch // on its way to take the place of watch; nil if none is

	roster follow.Roster // the searchers that were told to leave

	rounds   int       // how often the loop has come to what is due
	held     time.Time // since when that waits for news that is to be read; zero while it does not
	heldFrom int       // the round in which it began to

	dialer dialer          // of searchers and discovery
	ctx    context.Context // of all dials
	stop   context.CancelFunc
	loop   *eventloop.Loop // nil until Run has opened it
	timer  *time.Timer
	armed  time.Time
	kept   time.Time // last housekeeping
	told   time.Time // when the counters were last logged unasked
	table  *limit.Table[*client]

	flushing map[*client]time.Time // ending ones whose answer has not left, and until when it may

	halfOpenAfter time.Duration // see pool.patience
	acceptFor     time.Duration // how long new connections may come once it drains
	serveFor      time.Duration // how long kept ones are served then
	draining      bool
	drainUntil    time.Time // the end of acceptFor
	serveUntil    time.Time // the end of serveFor
	killAt        time.Time // the process may be killed from then on
	closing       bool      // the loop is about to end

	started chan struct{} // closed once queries are taken
}

// New returns a Node that is to be started with Run.
func New(cfg Config, d gatherer.Decider, counters *stats.Counters, log *slog.Logger) *Node {
	if cfg.Clients == (limit.Bounds{}) {
		cfg.Clients = limit.Defaults(cfg.Sockets - spare)
	}
	n := &Node{
		cfg: cfg, log: log, stats: counters,
		table:    limit.New[*client](cfg.Clients),
		flushing: make(map[*client]time.Time),
		started:  make(chan struct{}), acceptFor: drainAccept, halfOpenAfter: cfg.ConnectTimeout,
		dialer: new(net.Dialer).DialContext,
	}
	n.serveFor = cfg.serveFor()
	n.ctx, n.stop = context.WithCancel(context.Background())
	n.pool = newPool(n)
	n.watch = newWatch(n, cfg.Discovery, cfg.Known.Revision)
	now := time.Now()
	n.core = gatherer.New(cfg.Gatherer, d, n.pool, counters, log, now)
	if !cfg.NoShareUntil.IsZero() {
		n.core.Share(now, 0, cfg.NoShareUntil)
	}
	return n
}

// Run serves until the node has drained. Where it returns an error, it has ended untold.
func (n *Node) Run() error {
	defer n.stop()
	loop, err := n.openLoop()
	if err == nil {
		n.loop = loop
		n.boot()
		err = n.loop.Run()
		n.countSystem()
	}
	if err != nil {
		n.log.Error("not serving any more", "listen", n.cfg.Listen, "err", err)
		return fmt.Errorf("serving on %s: %w", n.cfg.Listen, err)
	}
	n.log.Info("ended", "drained", n.draining, "open", n.core.Open())
	return nil
}

// openLoop opens the listener. What fails at first is tried again: the process before may still hold the
// address, and the system may be short of descriptors for a moment.
func (n *Node) openLoop() (*eventloop.Loop, error) {
	options := eventloop.Options{
		Accepted: func() eventloop.Handler { return newClient(n) }, After: n.arm, Log: n.log, Seed: n.cfg.Gatherer.Module.Seed,
	}
	for wait, end := bootWait, time.Now().Add(bootTimeout); ; wait = min(2*wait, bootMostWait) {
		loop, err := eventloop.Open(n.cfg.Listen, options)
		if err == nil || !eventloop.Transient(err) && !errors.Is(err, unix.EADDRINUSE) || time.Now().Add(wait).After(end) {
			return loop, err
		}
		n.log.Warn("the listener can't be opened yet", "listen", n.cfg.Listen, "err", err)
		time.Sleep(wait)
	}
}

// Started is closed once queries are taken; Addr is known from then on.
func (n *Node) Started() <-chan struct{} { return n.started }

// Addr is the address listened on.
func (n *Node) Addr() string { return n.loop.Addr() }

// Adopt takes up an epoch of the layout for the queries that come from now on.
// It may be called from any goroutine.
func (n *Node) Adopt(l *layout.Layout) {
	n.exec(func() {
		if n.core.Adopt(l) {
			n.log.Info("layout", "epoch", l.Epoch(), "segments", l.Len())
		}
	})
}

// State is what a node tells of itself.
type State struct {
	Epoch      layout.Epoch     // that new queries are bound to
	Oldest     layout.Epoch     // that an open query is bound to
	Generation uint64           // of the settings that new queries are taken under; 0 if they can't change
	Service    []service.Window // seconds that are over, where they are recorded
	Draining   bool
}

// Searcher is one as the node knows it.
type Searcher struct {
	ID, Addr string
	Ready    bool
}

// Searchers returns those that discovery has listed; ok is false where the node
// has not started or has ended. It may be called from any goroutine and waits for
// the loop.
func (n *Node) Searchers(ctx context.Context) (list []Searcher, ok bool) {
	return wait(ctx, n, func() (list []Searcher) {
		for id, p := range n.pool.peers {
			if n.core.Listed(id) {
				list = append(list, Searcher{id, p.addr, n.core.Ready(id)})
			}
		}
		return list
	})
}

// State returns what the node tells of itself, with the seconds after one; ok is
// as for Searchers.
func (n *Node) State(ctx context.Context, after int64) (s State, ok bool) {
	return wait(ctx, n, func() State {
		s := State{Epoch: n.core.Epoch(), Oldest: n.core.OldestEpoch(), Generation: n.core.Generation(), Draining: n.draining}
		if r := n.cfg.Gatherer.Service; r != nil {
			s.Service = r.Since(time.Now(), after)
		}
		return s
	})
}

// Generations returns those of the settings that open queries were taken under, and
// that in force; ok is as for Searchers. It goes through all open queries.
func (n *Node) Generations(ctx context.Context) (list []uint64, ok bool) {
	return wait(ctx, n, n.core.Generations)
}

// wait runs f on the event loop and waits for what it returns; ok is false where the
// node has not started or has ended, or ctx ends first.
func wait[T any](ctx context.Context, n *Node, f func() T) (v T, ok bool) {
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

// Live is what of a Config can change while the node runs.
type Live struct {
	Core           *gatherer.Live
	Multiplex      int
	ConnectTimeout time.Duration
	ConnIdle       time.Duration
	Discovery      string
	Layout         *layout.Layout // taken up where it is newer than the one at hand; nil: that stays
}

// ErrNotServing is why a node can't be changed.
var ErrNotServing = errors.New("the gatherer does not serve yet, or has ended")

// Apply puts other settings in force, all at once between two events: what comes
// before it sees the old ones, what comes after it the new ones. It waits for the
// loop. It may be called from any goroutine.
func (n *Node) Apply(ctx context.Context, l Live) error {
	_, ok := wait(ctx, n, func() struct{} {
		n.core.Apply(l.Core)
		n.cfg.Multiplex, n.cfg.ConnectTimeout, n.cfg.ConnIdle = l.Multiplex, l.ConnectTimeout, l.ConnIdle
		n.halfOpenAfter = l.ConnectTimeout
		if l.Layout != nil && l.Layout.Epoch() > n.core.Epoch() {
			n.core.Adopt(l.Layout)
		}
		n.follow(l.Discovery)
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

// Reload follows discovery at the address that a new configuration names. What
// is open is not touched. It may be called from any goroutine.
func (n *Node) Reload(discovery string) {
	n.exec(func() {
		n.stats.Reloads++
		n.follow(discovery)
	})
}

// ReloadFailed counts a configuration that could not be used.
func (n *Node) ReloadFailed() {
	n.exec(func() {
		n.stats.ReloadFails++
	})
}

// Share tells how many slots of the fleet's limits may be used until then, see package share.
// It may be called from any goroutine.
func (n *Node) Share(slots int, until time.Time) {
	n.exec(func() {
		n.core.Share(time.Now(), slots, until)
	})
}

// Report logs the counters. It may be called from any goroutine.
func (n *Node) Report() {
	n.exec(func() {
		n.report()
	})
}

func (n *Node) report() {
	n.countSystem()
	n.log.Info("counters", "counters", n.stats)
}

// countSystem takes over what the loop has counted.
func (n *Node) countSystem() {
	c := n.loop.Counters()
	n.stats.SystemFails, n.stats.WakeFails = c.Fails, c.WakeFails
	n.stats.PollRetries, n.stats.Stalls = c.Retries, c.Stalls
}

// exec runs f on the event loop.
func (n *Node) exec(f func()) {
	select {
	case <-n.started:
	default:
		return
	}
	_ = n.loop.Execute(func() { // it fails only where the loop has ended
		f()
		n.arm()
	})
}

// boot starts all that needs the loop, before it runs.
func (n *Node) boot() {
	now := time.Now()
	n.apply(now, eiderwinch.Stale, n.cfg.Discovery, n.cfg.Known)
	n.pool.timers.Set(&timer{Value: n.core.Believe}, now.Add(n.cfg.DrainGrace)) // an agent answers at once; one that is silent learns nothing
	n.core.Run(now)
	n.timer = time.AfterFunc(time.Hour, func() { n.exec(n.wake) })
	close(n.started)
	n.watch.run(now)
	m := n.cfg.Gatherer.Module
	n.log.Info("serving", "addr", n.Addr(), "searchers", len(n.cfg.Known.Members), "gatherers", m.Brokers,
		"sockets", n.cfg.Sockets, "multiplex", n.cfg.Multiplex, "connect_timeout", n.cfg.ConnectTimeout,
		"conn_idle", n.cfg.ConnIdle, "max_open", n.cfg.Gatherer.MaxOpen, "cells", m.Cells, "shards", m.Shards,
		"batch", m.Batch, "call_cost", m.CallCost)
}

// wake does all that is due.
func (n *Node) wake() {
	n.armed = time.Time{}
	n.rounds++
	now := time.Now()
	for _, w := range n.watches() {
		if !now.Before(w.follow.Due()) {
			w.run(now)
		}
	}
	n.pool.expire(now)
	if !n.behind(now) { // else the loop reads first, and comes back here at once
		n.core.Run(now)
	}
	if now.Sub(n.kept) >= housekeeping {
		n.kept = now
		n.pool.closeIdle(now)
		n.review(now)
		n.checkClients(now)
		if every := n.cfg.ReportEvery; every > 0 && now.Sub(n.told) >= every {
			n.told = now
			n.report()
		}
	}
	if n.drained(now) {
		n.closing = true
		n.loop.Stop()
	}
}

// arm sets the timer for what is due next.
func (n *Node) arm() {
	if n.timer == nil || n.closing {
		return
	}
	due := n.kept.Add(housekeeping)
	for _, t := range []time.Time{n.core.Due(), n.pool.due()} {
		if !t.IsZero() && t.Before(due) {
			due = t
		}
	}
	for _, w := range n.watches() {
		if t := w.follow.Due(); t.Before(due) {
			due = t
		}
	}
	if n.armed.IsZero() || due.Before(n.armed) {
		n.armed = due
		n.timer.Reset(max(time.Until(due), 0))
	}
}
