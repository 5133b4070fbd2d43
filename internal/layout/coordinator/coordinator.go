// Package coordinator runs changes of the layout at real gatherers and searchers:
// it puts the coordinator's state machine (reshard), its durable log (reshardlog,
// migrate) and what searchers are told (custody) on sockets. One goroutine for
// each peer talks to it; all that is decided, is decided in those packages.
package coordinator

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"log/slog"
	"maps"
	"net/http"
	"slices"
	"sync"
	"time"

	"eiderwinch/internal/admin"
	"eiderwinch/internal/layout"
	"eiderwinch/internal/layout/custody"
	"eiderwinch/internal/layout/layoutfile"
	"eiderwinch/internal/layout/migrate"
	"eiderwinch/internal/layout/reshard"
	"eiderwinch/internal/service"
)

// Peer is a gatherer or searcher, and where its admin socket is.
type Peer struct{ Name, Endpoint string }

// Options is how a coordinator is started.
type Options struct {
	Log       string         // the file of its log
	First     *layout.Layout // where the log is new
	Fleet     layout.Fleet
	Limits    reshard.Limits
	Gatherers []Peer
	Searchers []Peer // each of the fleet
	Measure   string // the safe class whose p99 says how queries fare; empty: none does

	Poll    time.Duration // a peer is asked so often; 200 ms where it is 0
	Timeout time.Duration // and has so long to answer; 2 s where it is 0

	Wrap      func(http.RoundTripper) http.RoundTripper // may be nil; for tests
	Published func(*layout.Layout)                      // told of each epoch before any peer is; may be nil
	Ended     func(reshard.Ended)                       // told of each change that is over; may be nil
	Logger    *slog.Logger
}

const (
	defaultPoll    = 200 * time.Millisecond
	defaultTimeout = 2 * time.Second
)

// Coordinator is a running one.
type Coordinator struct {
	began  time.Time
	opts   Options
	driver *migrate.Driver
	peers  sync.WaitGroup
	stop   context.CancelFunc

	mu        sync.Mutex // of all below
	fenced    bool
	term      uint64
	layout    *layout.Layout
	text      []byte // of layout, as gatherers are told it
	ledger    *custody.Ledger
	meter     *reshard.Meter
	gatherers map[string]layout.Epoch // those that answered last time, with their epochs
	seen      map[string]int64        // the last second of each whose service was taken in
	copied    map[int64]bool          // seconds in which rows were copied
	kicks     map[string]chan struct{}
}

// Start starts a coordinator, which runs until ctx ends or its log can't be
// written.
func Start(ctx context.Context, o Options) (*Coordinator, error) {
	if o.Poll <= 0 {
		o.Poll = defaultPoll
	}
	if o.Timeout <= 0 {
		o.Timeout = defaultTimeout
	}
	if err := o.check(); err != nil {
		return nil, err
	}
	c := &Coordinator{
		opts: o, began: time.Now(), meter: reshard.NewMeter(),
		gatherers: make(map[string]layout.Epoch), kicks: make(map[string]chan struct{}),
		seen: make(map[string]int64), copied: make(map[int64]bool),
	}
	for _, p := range slices.Concat(o.Gatherers, o.Searchers) {
		c.kicks[p.Name] = make(chan struct{}, 1)
	}
	ctx, c.stop = context.WithCancel(ctx)
	d, err := migrate.Start(ctx, migrate.Options{
		Path: o.Log, First: o.First, Fleet: o.Fleet, Limits: o.Limits, Ended: c.ended, Logger: o.Logger,
	}, c)
	if err != nil {
		c.stop()
		return nil, err
	}
	c.driver = d
	for _, p := range o.Gatherers {
		c.talk(ctx, p, c.gatherer)
	}
	for _, p := range o.Searchers {
		c.talk(ctx, p, c.searcher)
	}
	return c, nil
}

// check tells what is wrong with the peers.
func (o Options) check() error {
	var errs []error
	seen := make(map[string]bool)
	for _, p := range slices.Concat(o.Gatherers, o.Searchers) {
		if seen[p.Name] {
			errs = append(errs, fmt.Errorf("coordinator: %q is named twice", p.Name))
		}
		seen[p.Name] = true
	}
	for _, p := range o.Searchers {
		if _, ok := o.Fleet.Zones[p.Name]; !ok {
			errs = append(errs, fmt.Errorf("coordinator: searcher %q is not in the layout's fleet", p.Name))
		}
	}
	for id := range o.Fleet.Zones {
		if !slices.ContainsFunc(o.Searchers, func(p Peer) bool { return p.Name == id }) {
			errs = append(errs, fmt.Errorf("coordinator: searcher %q of the layout's fleet has no address", id))
		}
	}
	return errors.Join(errs...)
}

// Wait waits for its end and returns why it ended; nil if ctx did.
func (c *Coordinator) Wait() error {
	err := c.driver.Wait()
	c.stop()
	c.peers.Wait()
	if c.fenced {
		err = errors.Join(ErrFenced, err)
	}
	return err
}

// talk asks a peer every now and then, and at once where there is news for it.
func (c *Coordinator) talk(ctx context.Context, p Peer, exchange func(context.Context, Peer, *admin.Client)) {
	client := admin.NewClient(p.Endpoint, c.opts.Timeout, c.opts.Wrap)
	c.mu.Lock()
	kick := c.kicks[p.Name]
	c.mu.Unlock()
	c.peers.Add(1)
	go func() {
		defer c.peers.Done()
		defer client.Close()
		t := time.NewTicker(c.opts.Poll)
		defer t.Stop()
		for {
			exchange(ctx, p, client)
			select {
			case <-ctx.Done():
				return
			case <-t.C:
			case <-kick:
			}
		}
	}()
}

// kick lets a peer be asked at once. c.mu is held.
func (c *Coordinator) kick(name string) {
	select {
	case c.kicks[name] <- struct{}{}:
	default: // it is to be asked already
	}
}

// kickFresh lets those searchers be asked that are to be told something.
func (c *Coordinator) kickFresh() {
	for _, id := range c.ledger.Searchers() {
		if c.ledger.Fresh(id) {
			c.kick(id)
		}
	}
}

// gatherer asks a gatherer what it knows, and tells it the epoch in force.
func (c *Coordinator) gatherer(ctx context.Context, p Peer, client *admin.Client) {
	var s admin.GathererState
	c.mu.Lock()
	after := c.seen[p.Name]
	c.mu.Unlock()
	if err := client.Do(ctx, http.MethodGet, fmt.Sprintf("/v1/state?after=%d", after), nil, &s); err != nil {
		c.mu.Lock()
		delete(c.gatherers, p.Name)
		c.mu.Unlock()
		return
	}
	c.mu.Lock()
	behind := s.Epoch < c.layout.Epoch()
	text, epoch := c.text, c.layout.Epoch()
	c.gatherers[p.Name] = s.Epoch
	events := c.fared(p.Name, s.Service)
	c.mu.Unlock()
	for _, e := range append(events, reshard.Heard{Gatherer: p.Name, Epoch: s.Epoch, Oldest: s.Oldest}) {
		c.driver.Tell(e)
	}
	if !behind {
		return
	}
	if err := client.Do(ctx, http.MethodPut, "/v1/layout", text, &s); err != nil {
		c.opts.Logger.Warn("a gatherer did not take an epoch", "gatherer", p.Name, "epoch", epoch, "err", err)
		return
	}
	c.mu.Lock()
	c.gatherers[p.Name] = s.Epoch
	c.kick(p.Name) // to hear at once what it is bound to now
	c.mu.Unlock()
}

// searcher gives a searcher its order.
func (c *Coordinator) searcher(ctx context.Context, p Peer, client *admin.Client) {
	c.mu.Lock()
	order := c.ledger.Order(p.Name)
	c.mu.Unlock()
	var r custody.Report
	err := client.Do(ctx, http.MethodPut, "/v1/custody", order, &r)
	if ctx.Err() != nil {
		return
	}
	c.mu.Lock()
	var events []reshard.Event
	if err != nil {
		events = c.ledger.Missed(p.Name)
	} else {
		events = c.ledger.Took(p.Name, r)
	}
	c.mark()
	fenced := c.ledger.Fenced()
	c.mu.Unlock()
	if fenced {
		c.fence(p.Name)
		return
	}
	for _, e := range events {
		switch e := e.(type) {
		case reshard.Down:
			c.opts.Logger.Warn("a searcher does not answer", "searcher", p.Name, "err", err)
		case reshard.Up:
			c.opts.Logger.Info("a searcher answers again", "searcher", e.Searcher)
		}
		c.driver.Tell(e)
	}
}

// mark books that rows are being copied in this second. c.mu is held.
func (c *Coordinator) mark() {
	if !c.ledger.Copying() {
		return
	}
	now := c.began.Unix() + int64(time.Since(c.began)/time.Second) // as service.Recorder counts: a step of the clock moves nothing
	c.copied[now] = true
	maps.DeleteFunc(c.copied, func(second int64, _ bool) bool { return second < now-service.Kept })
}

// fared takes in how queries fared at a gatherer. c.mu is held.
func (c *Coordinator) fared(gatherer string, windows []service.Window) (events []reshard.Event) {
	for _, w := range windows {
		c.seen[gatherer] = max(c.seen[gatherer], w.Second)
		for _, class := range w.Classes {
			if class.Name != c.opts.Measure {
				continue
			}
			if p, ok := c.meter.Add(c.copied[w.Second], class); ok {
				events = append(events, p)
			}
		}
	}
	return events
}

// ErrFenced is why a coordinator ends that searchers do not obey any more.
var ErrFenced = errors.New("searchers obey a coordinator of a later term or another log: another was started since, or this log is an older copy or a new one")

// fence ends the coordinator.
func (c *Coordinator) fence(searcher string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.fenced {
		c.fenced = true
		c.opts.Logger.Error("this coordinator ends", "searcher", searcher, "err", ErrFenced)
	}
	c.stop()
}

// Begin implements migrate.Peers.
func (c *Coordinator) Begin(log string, term uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.term = term
	c.ledger = custody.New(log, term, slices.Sorted(maps.Keys(c.opts.Fleet.Zones)), c.opts.Limits.RateMost, custody.Limits{})
}

// Publish implements migrate.Peers.
func (c *Coordinator) Publish(l *layout.Layout) {
	if c.opts.Published != nil {
		c.opts.Published(l)
	}
	var text bytes.Buffer
	err := layoutfile.Write(&text, l, c.opts.Fleet)
	c.mu.Lock()
	defer c.mu.Unlock()
	if err != nil { // a key that XML can't hold: the log, which is written first, would have refused it
		c.opts.Logger.Error("an epoch can't be told", "epoch", l.Epoch(), "err", err)
		return
	}
	c.layout, c.text = l, text.Bytes()
	c.ledger.Publish(l)
	c.kickFresh()
	for _, p := range c.opts.Gatherers {
		c.kick(p.Name)
	}
}

// Fill implements migrate.Peers.
func (c *Coordinator) Fill(f reshard.Fill) {
	c.want(func(l *custody.Ledger) {
		l.Rate(f.Rate)
		l.Fill(f)
		c.mark()
	})
}

// want changes what is wanted of searchers, and lets those be asked at once that it
// is news for.
func (c *Coordinator) want(change func(*custody.Ledger)) {
	c.mu.Lock()
	defer c.mu.Unlock()
	change(c.ledger)
	c.kickFresh()
}

// Stop implements migrate.Peers.
func (c *Coordinator) Stop(job reshard.JobID) {
	c.want(func(l *custody.Ledger) { l.Stop(job) })
}

// Rate implements migrate.Peers.
func (c *Coordinator) Rate(rows float64) {
	c.want(func(l *custody.Ledger) { l.Rate(rows) })
}

// Drop implements migrate.Peers. That a searcher is to forget what the layout in
// force does not assign to it, the ledger knows by itself.
func (c *Coordinator) Drop(t reshard.Target) {
	c.want(func(l *custody.Ledger) { l.Drop(t) })
}

func (c *Coordinator) ended(e reshard.Ended) {
	c.opts.Logger.Info("change over", "change", e.Job, "phase", e.Phase.String(), "reason", e.Reason)
	if c.opts.Ended != nil {
		c.opts.Ended(e)
	}
}
