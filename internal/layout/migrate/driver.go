// Package migrate runs a reshard.Coordinator: it passes events to it, writes its
// records to disk before anything else, and executes its effects through an Executor.
// The coordinator makes all decisions.
package migrate

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"log/slog"
	"time"

	"eiderwinch/internal/durable"
	"eiderwinch/internal/layout"
	"eiderwinch/internal/layout/reshard"
	"eiderwinch/internal/layout/reshardlog"
)

// Executor executes effects at the gatherers and searchers. Its methods must not
// block, and must be idempotent: each may be called again with the same values.
type Executor interface {
	// StartTerm is called before all other methods.
	StartTerm(log string, term uint64)
	Publish(*layout.Layout)
	Fill(reshard.Fill)
	Stop(reshard.JobID)
	SetRate(rows float64)
	Drop(reshard.Target)
}

// Driver runs one coordinator. Use Start to create one.
type Driver struct {
	executor    Executor
	log         *reshardlog.Log
	coordinator *reshard.Coordinator
	fleet       layout.Fleet
	events      chan request
	onEnded     func(reshard.Ended)
	ctx         context.Context // ends the driver
	logger      *slog.Logger
	done        chan struct{}
	err         error
}

// request is an event for the coordinator, or a function that inspects it.
type request struct {
	event   reshard.Event
	inspect func(*reshard.Coordinator)
	result  chan<- reshard.Result // nil: no caller waits for it
}

const (
	tickInterval   = 50 * time.Millisecond // maximum delay with which time-outs are noticed
	eventQueueSize = 1024                  // callers block while this many events are queued
)

// Options configure a Driver.
type Options struct {
	Path    string         // file of the change log
	First   *layout.Layout // base of a new log
	Fleet   layout.Fleet
	Limits  reshard.Limits
	OnEnded func(reshard.Ended) // called for each job that is over; may be nil
	Logger  *slog.Logger        // nil disables logging
}

// Start opens the log, restores the coordinator from it, and runs it until ctx ends
// or a write to the log fails permanently. Wait returns the reason.
func Start(ctx context.Context, o Options, executor Executor) (*Driver, error) {
	logger := cmp.Or(o.Logger, slog.New(slog.DiscardHandler))
	var log *reshardlog.Log
	err := durable.RetryTransient(durable.StartTimeout, func() (err error) {
		log, err = reshardlog.Open(o.Path)
		return err
	})
	if err != nil {
		return nil, err
	}
	base, fleet, records, err := log.Load()
	if errors.Is(err, reshardlog.ErrEmpty) {
		base, fleet = reshard.Base{Layout: o.First}, o.Fleet
		err = durable.RetryAtStart(logger, "new change log", func() error { return log.SetBase(base, fleet) })
	}
	if err != nil {
		return nil, errors.Join(err, log.Close())
	}
	if o.Fleet.Zones != nil {
		fleet = o.Fleet // the current fleet takes precedence over the stored one
	}
	c, effects, err := reshard.Recover(time.Now(), base, fleet, o.Limits, records)
	if err != nil {
		return nil, errors.Join(fmt.Errorf("change log %s: %w", o.Path, err), log.Close())
	}
	d := &Driver{executor: executor, log: log, coordinator: c, fleet: fleet, events: make(chan request, eventQueueSize), onEnded: o.OnEnded, ctx: ctx, logger: logger, done: make(chan struct{})}
	executor.StartTerm(log.ID(), log.Term())
	for _, e := range effects {
		d.execute(e)
	}
	go d.run(ctx)
	return d, nil
}

func (d *Driver) run(ctx context.Context) {
	defer close(d.done)
	t := time.NewTicker(tickInterval)
	defer t.Stop()
	for {
		r := request{event: reshard.Tick{}}
		select {
		case <-ctx.Done():
			d.err = d.log.Close()
			return
		case r = <-d.events:
		case <-t.C:
		}
		if r.inspect != nil {
			r.inspect(d.coordinator)
			continue
		}
		result, err := d.step(r.event)
		if err != nil {
			// No effect of a step may be executed before its records are on disk, so
			// the driver ends. The next start continues from the disk.
			d.err = errors.Join(err, d.log.Close())
			return
		}
		if r.result != nil {
			r.result <- result
		}
	}
}

// step processes one event: it writes the records, then executes the effects.
func (d *Driver) step(e reshard.Event) (reshard.Result, error) {
	result := d.coordinator.Step(time.Now(), e)
	if err := d.write("records of layout changes", func() error { return d.log.Append(result.Records) }); err != nil {
		return result, err
	}
	for _, x := range result.Effects {
		d.execute(x)
	}
	if d.log.NeedsCompaction() {
		if b, ok := d.coordinator.Base(); ok {
			if err := d.write("compacted change log", func() error { return d.log.SetBase(b, d.fleet) }); err != nil {
				return result, err
			}
		}
	}
	return result, nil
}

// write retries a write to the log until it succeeds, fails permanently, or the
// driver's context ends.
func (d *Driver) write(what string, f func() error) error {
	return durable.Retry(d.ctx, d.logger, what, f)
}

func (d *Driver) execute(e reshard.Effect) {
	switch e := e.(type) {
	case reshard.Publish:
		d.executor.Publish(e.Layout)
	case reshard.Fill:
		d.executor.Fill(e)
	case reshard.Stop:
		d.executor.Stop(e.Job)
	case reshard.SetRate:
		d.executor.SetRate(e.Rows)
	case reshard.Drop:
		d.executor.Drop(e.Target)
	case reshard.Ended:
		if d.onEnded != nil {
			d.onEnded(e)
		}
	}
}

// Notify queues an event. Once the driver has ended, events are discarded.
func (d *Driver) Notify(e reshard.Event) {
	select {
	case d.events <- request{event: e}:
	case <-d.done:
	}
}

// ErrEnded is returned for requests after the driver has ended.
var ErrEnded = errors.New("the coordinator has ended")

// Submit requests a change. It returns the change's job, or why the change was refused.
func (d *Driver) Submit(c layout.Change) (reshard.JobID, error) {
	r, err := d.ask(reshard.Submit{Change: c})
	if err != nil {
		return 0, err
	}
	return r.Job, r.Err
}

// Abort requests that a job be undone.
func (d *Driver) Abort(id reshard.JobID, reason string) error {
	r, err := d.ask(reshard.Abort{Job: id, Reason: reason})
	if err != nil {
		return err
	}
	return r.Err
}

// ask passes an event to the coordinator and waits for the result.
func (d *Driver) ask(e reshard.Event) (reshard.Result, error) {
	result := make(chan reshard.Result, 1)
	select {
	case d.events <- request{event: e, result: result}:
	case <-d.done:
		return reshard.Result{}, ErrEnded
	}
	select {
	case r := <-result:
		return r, nil
	case <-d.done:
		return reshard.Result{}, ErrEnded
	}
}

// Inspect calls f with the coordinator on the driver's goroutine, and returns after
// f has.
func (d *Driver) Inspect(f func(*reshard.Coordinator)) error {
	finished := make(chan struct{})
	r := request{inspect: func(c *reshard.Coordinator) { f(c); close(finished) }}
	select {
	case d.events <- r:
	case <-d.done:
		return ErrEnded
	}
	select {
	case <-finished:
		return nil
	case <-d.done:
		return ErrEnded
	}
}

// Wait waits until the driver has ended and returns the reason; nil if its context
// ended.
func (d *Driver) Wait() error {
	<-d.done
	return d.err
}
