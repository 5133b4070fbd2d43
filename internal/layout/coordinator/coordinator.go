// Package coordinator runs changes of the layout at gatherers and searchers over
// their admin sockets. It connects the coordinator's state machine (reshard), its
// durable log (reshardlog, migrate) and the orders to searchers (assignment) to the
// network. Each gatherer and each searcher is polled by a goroutine of its own. The
// packages named above make all decisions.
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
	"eiderwinch/internal/layout/assignment"
	"eiderwinch/internal/layout/layoutfile"
	"eiderwinch/internal/layout/migrate"
	"eiderwinch/internal/layout/reshard"
	"eiderwinch/internal/querystats"
)

// Process is a gatherer or searcher, with the endpoint of its admin socket.
type Process struct{ Name, Endpoint string }

// Options configure a Coordinator.
type Options struct {
	LogPath       string         // file of the change log
	InitialLayout *layout.Layout // base of a new log
	Fleet         layout.Fleet
	Limits        reshard.Limits
	Gatherers     []Process
	Searchers     []Process // must name each searcher of the fleet
	MeasuredClass string    // safe class whose p99 controls the copy rate; empty: none

	PollInterval time.Duration // interval between polls of a process; 0 means 200 ms
	Timeout      time.Duration // time limit of a request to a process; 0 means 2 s

	Wrap      func(http.RoundTripper) http.RoundTripper // may be nil; for tests
	OnPublish func(*layout.Layout)                      // called for each epoch before any process is notified; may be nil
	OnEnded   func(reshard.Ended)                       // called for each change that is over; may be nil
	Logger    *slog.Logger
}

const (
	defaultPollInterval = 200 * time.Millisecond
	defaultTimeout      = 2 * time.Second
)

// Coordinator is a running coordinator of layout changes. Use Start to create one.
type Coordinator struct {
	startedAt time.Time
	options   Options
	driver    *migrate.Driver
	pollers   sync.WaitGroup
	stop      context.CancelFunc

	mu             sync.Mutex // guards the fields below
	fenced         bool
	term           uint64
	layout         *layout.Layout
	layoutXML      []byte // layout, as sent to gatherers
	tracker        *assignment.Tracker
	meter          *reshard.Meter
	gathererEpochs map[string]layout.Epoch  // epochs of the gatherers that answered their last poll
	lastSecond     map[string]int64         // by gatherer: last second whose service record was processed
	copySeconds    map[int64]bool           // seconds, as Unix time, in which rows were copied
	wakeups        map[string]chan struct{} // by process: requests for an immediate poll
}

// Start starts a coordinator. It runs until ctx ends, its log cannot be written, or a
// searcher has accepted orders of another coordinator (ErrFenced).
func Start(ctx context.Context, o Options) (*Coordinator, error) {
	if o.PollInterval <= 0 {
		o.PollInterval = defaultPollInterval
	}
	if o.Timeout <= 0 {
		o.Timeout = defaultTimeout
	}
	if err := o.validate(); err != nil {
		return nil, err
	}
	c := &Coordinator{
		options: o, startedAt: time.Now(), meter: reshard.NewMeter(),
		gathererEpochs: make(map[string]layout.Epoch), wakeups: make(map[string]chan struct{}),
		lastSecond: make(map[string]int64), copySeconds: make(map[int64]bool),
	}
	for _, p := range slices.Concat(o.Gatherers, o.Searchers) {
		c.wakeups[p.Name] = make(chan struct{}, 1)
	}
	ctx, c.stop = context.WithCancel(ctx)
	d, err := migrate.Start(ctx, migrate.Options{
		Path: o.LogPath, First: o.InitialLayout, Fleet: o.Fleet, Limits: o.Limits, OnEnded: c.jobEnded, Logger: o.Logger,
	}, c)
	if err != nil {
		c.stop()
		return nil, err
	}
	c.driver = d
	for _, p := range o.Gatherers {
		c.pollProcess(ctx, p, c.exchangeWithGatherer)
	}
	for _, p := range o.Searchers {
		c.pollProcess(ctx, p, c.exchangeWithSearcher)
	}
	return c, nil
}

// validate checks that the gatherers and searchers match the fleet.
func (o Options) validate() error {
	var errs []error
	seen := make(map[string]bool)
	for _, p := range slices.Concat(o.Gatherers, o.Searchers) {
		if seen[p.Name] {
			errs = append(errs, fmt.Errorf("coordinator: found process %q twice, want unique names", p.Name))
		}
		seen[p.Name] = true
	}
	for _, p := range o.Searchers {
		if _, ok := o.Fleet.Zones[p.Name]; !ok {
			errs = append(errs, fmt.Errorf("coordinator: searcher %q is not in the layout's fleet", p.Name))
		}
	}
	for id := range o.Fleet.Zones {
		if !slices.ContainsFunc(o.Searchers, func(p Process) bool { return p.Name == id }) {
			errs = append(errs, fmt.Errorf("coordinator: searcher %q of the layout's fleet has no address", id))
		}
	}
	return errors.Join(errs...)
}

// Wait waits until the coordinator has ended and returns the reason; nil if its
// context ended.
func (c *Coordinator) Wait() error {
	err := c.driver.Wait()
	c.stop()
	c.pollers.Wait()
	if c.fenced {
		err = errors.Join(ErrFenced, err)
	}
	return err
}

// pollProcess starts a goroutine that calls exchange at each poll interval, and
// immediately when wake has requested it.
func (c *Coordinator) pollProcess(ctx context.Context, p Process, exchange func(context.Context, Process, *admin.Client)) {
	client := admin.NewClient(p.Endpoint, c.options.Timeout, c.options.Wrap)
	c.mu.Lock()
	wakeup := c.wakeups[p.Name]
	c.mu.Unlock()
	c.pollers.Add(1)
	go func() {
		defer c.pollers.Done()
		defer client.Close()
		t := time.NewTicker(c.options.PollInterval)
		defer t.Stop()
		for {
			exchange(ctx, p, client)
			select {
			case <-ctx.Done():
				return
			case <-t.C:
			case <-wakeup:
			}
		}
	}()
}

// wake requests an immediate poll of a process. c.mu must be held.
func (c *Coordinator) wake(name string) {
	select {
	case c.wakeups[name] <- struct{}{}:
	default: // already requested
	}
}

// wakeSearchersWithNewOrders requests an immediate poll of each searcher whose order
// has changed. c.mu must be held.
func (c *Coordinator) wakeSearchersWithNewOrders() {
	for _, id := range c.tracker.Searchers() {
		if c.tracker.OrderDue(id) {
			c.wake(id)
		}
	}
}

// exchangeWithGatherer fetches a gatherer's state, and sends it the layout in force
// if it has an older epoch.
func (c *Coordinator) exchangeWithGatherer(ctx context.Context, p Process, client *admin.Client) {
	var s admin.GathererState
	c.mu.Lock()
	after := c.lastSecond[p.Name]
	c.mu.Unlock()
	if err := client.Do(ctx, http.MethodGet, fmt.Sprintf("/v1/state?after=%d", after), nil, &s); err != nil {
		c.mu.Lock()
		delete(c.gathererEpochs, p.Name)
		c.mu.Unlock()
		return
	}
	c.mu.Lock()
	behind := s.Epoch < c.layout.Epoch()
	text, epoch := c.layoutXML, c.layout.Epoch()
	c.gathererEpochs[p.Name] = s.Epoch
	events := c.addServiceWindows(p.Name, s.Service)
	c.mu.Unlock()
	for _, e := range append(events, reshard.GathererReport{Gatherer: p.Name, Epoch: s.Epoch, Oldest: s.Oldest}) {
		c.driver.Notify(e)
	}
	if !behind {
		return
	}
	if err := client.Do(ctx, http.MethodPut, "/v1/layout", text, &s); err != nil {
		c.options.Logger.Warn("sending the layout to a gatherer failed", "gatherer", p.Name, "epoch", epoch, "err", err)
		return
	}
	c.mu.Lock()
	c.gathererEpochs[p.Name] = s.Epoch
	c.wake(p.Name) // to learn at once which epochs its open queries are bound to
	c.mu.Unlock()
}

// exchangeWithSearcher sends a searcher its order and processes the report.
func (c *Coordinator) exchangeWithSearcher(ctx context.Context, p Process, client *admin.Client) {
	c.mu.Lock()
	order := c.tracker.Order(p.Name)
	c.mu.Unlock()
	var r assignment.Report
	err := client.Do(ctx, http.MethodPut, "/v1/custody", order, &r)
	if ctx.Err() != nil {
		return
	}
	c.mu.Lock()
	var events []reshard.Event
	if err != nil {
		events = c.tracker.HandleMiss(p.Name)
	} else {
		events = c.tracker.HandleReport(p.Name, r)
	}
	c.recordCopying()
	fenced := c.tracker.Fenced()
	c.mu.Unlock()
	if fenced {
		c.fence(p.Name)
		return
	}
	for _, e := range events {
		switch e := e.(type) {
		case reshard.Down:
			c.options.Logger.Warn("searcher does not answer", "searcher", p.Name, "err", err)
		case reshard.Up:
			c.options.Logger.Info("searcher answers again", "searcher", e.Searcher)
		}
		c.driver.Notify(e)
	}
}

// recordCopying adds the current second to copySeconds if rows are being copied.
// c.mu must be held.
func (c *Coordinator) recordCopying() {
	if !c.tracker.IsCopying() {
		return
	}
	now := c.startedAt.Unix() + int64(time.Since(c.startedAt)/time.Second) // numbered as in querystats.Recorder, which clock steps do not affect
	c.copySeconds[now] = true
	maps.DeleteFunc(c.copySeconds, func(second int64, _ bool) bool { return second < now-querystats.MaxWindows })
}

// addServiceWindows passes a gatherer's service records to the meter, and returns
// the resulting events. c.mu must be held.
func (c *Coordinator) addServiceWindows(gatherer string, windows []querystats.Window) (events []reshard.Event) {
	for _, w := range windows {
		c.lastSecond[gatherer] = max(c.lastSecond[gatherer], w.Second)
		for _, class := range w.Classes {
			if class.Name != c.options.MeasuredClass {
				continue
			}
			if p, ok := c.meter.Add(c.copySeconds[w.Second], class); ok {
				events = append(events, p)
			}
		}
	}
	return events
}

// ErrFenced is the reason for which a coordinator ends when searchers have accepted
// orders of another one.
var ErrFenced = errors.New("searchers obey a coordinator of a later term or another log: another was started since, or this log is an older copy or a new one")

// fence ends the coordinator after a searcher has reported a later term or another log.
func (c *Coordinator) fence(searcher string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.fenced {
		c.fenced = true
		c.options.Logger.Error("coordinator ends: a searcher has accepted orders of another one", "searcher", searcher, "err", ErrFenced)
	}
	c.stop()
}

// StartTerm implements migrate.Executor.
func (c *Coordinator) StartTerm(log string, term uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.term = term
	c.tracker = assignment.New(log, term, slices.Sorted(maps.Keys(c.options.Fleet.Zones)), c.options.Limits.MaxRate, assignment.Limits{})
}

// Publish implements migrate.Executor.
func (c *Coordinator) Publish(l *layout.Layout) {
	if c.options.OnPublish != nil {
		c.options.OnPublish(l)
	}
	var text bytes.Buffer
	err := layoutfile.Write(&text, l, c.options.Fleet)
	c.mu.Lock()
	defer c.mu.Unlock()
	if err != nil { // a key that XML cannot represent; the log is written first and rejects it
		c.options.Logger.Error("layout cannot be encoded", "epoch", l.Epoch(), "err", err)
		return
	}
	c.layout, c.layoutXML = l, text.Bytes()
	c.tracker.SetLayout(l)
	c.wakeSearchersWithNewOrders()
	for _, p := range c.options.Gatherers {
		c.wake(p.Name)
	}
}

// Fill implements migrate.Executor.
func (c *Coordinator) Fill(f reshard.Fill) {
	c.updateOrders(func(tracker *assignment.Tracker) {
		tracker.SetRate(f.Rate)
		tracker.AddFill(f)
		c.recordCopying()
	})
}

// updateOrders changes the orders to searchers, and requests an immediate poll of
// those whose order has changed.
func (c *Coordinator) updateOrders(change func(*assignment.Tracker)) {
	c.mu.Lock()
	defer c.mu.Unlock()
	change(c.tracker)
	c.wakeSearchersWithNewOrders()
}

// Stop implements migrate.Executor.
func (c *Coordinator) Stop(job reshard.JobID) {
	c.updateOrders(func(tracker *assignment.Tracker) { tracker.RemoveFills(job) })
}

// SetRate implements migrate.Executor.
func (c *Coordinator) SetRate(rows float64) {
	c.updateOrders(func(tracker *assignment.Tracker) { tracker.SetRate(rows) })
}

// Drop implements migrate.Executor. The tracker derives from the layout in force which
// segments a searcher must drop; this call requests an event for when it has.
func (c *Coordinator) Drop(target reshard.Target) {
	c.updateOrders(func(tracker *assignment.Tracker) { tracker.AwaitDrop(target) })
}

func (c *Coordinator) jobEnded(e reshard.Ended) {
	c.options.Logger.Info("layout change is over", "change", e.Job, "phase", e.Phase.String(), "reason", e.Reason)
	if c.options.OnEnded != nil {
		c.options.OnEnded(e)
	}
}
