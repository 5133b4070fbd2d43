// Package migrate runs a reshard.Coordinator: it feeds it events, writes its
// records to disk before anything else is done, and carries out its effects
// through Peers. All decisions are the coordinator's.
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

// Peers carries out effects at the gatherers and searchers. Its methods must not
// block; each may be called again with the same values.
type Peers interface {
	// Begin comes before all else.
	Begin(log string, term uint64)
	Publish(*layout.Layout)
	Fill(reshard.Fill)
	Stop(reshard.JobID)
	Rate(rows float64)
	Drop(reshard.Target)
}

// Driver runs one coordinator. Start it with Start.
type Driver struct {
	peers  Peers
	log    *reshardlog.Log
	c      *reshard.Coordinator
	fleet  layout.Fleet
	events chan request
	ended  func(reshard.Ended)
	ctx    context.Context // until it is told to end
	logger *slog.Logger
	done   chan struct{}
	err    error
}

type request struct {
	event  reshard.Event
	look   func(*reshard.Coordinator)
	result chan<- reshard.Result // nil: nobody waits
}

const (
	tick   = 50 * time.Millisecond // how soon what only waits for time is seen
	queued = 1024                  // events that wait; those that bring them are held up beyond
)

// Options is how a Driver is started.
type Options struct {
	Path   string         // of the log
	First  *layout.Layout // of a new log
	Fleet  layout.Fleet
	Limits reshard.Limits
	Ended  func(reshard.Ended) // told of each job that is over; may be nil
	Logger *slog.Logger        // nil: nothing is logged
}

// Start opens the log, goes on from where it ends, and runs until ctx ends or
// the log can never be written. Wait returns why.
func Start(ctx context.Context, o Options, p Peers) (*Driver, error) {
	logger := cmp.Or(o.Logger, slog.New(slog.DiscardHandler))
	var log *reshardlog.Log
	err := durable.Within(durable.StartTime, func() (err error) {
		log, err = reshardlog.Open(o.Path)
		return err
	})
	if err != nil {
		return nil, err
	}
	base, fleet, records, err := log.Load()
	if errors.Is(err, reshardlog.ErrEmpty) {
		base, fleet = reshard.Base{Layout: o.First}, o.Fleet
		err = durable.AtStart(logger, "new change log", func() error { return log.Begin(base, fleet) })
	}
	if err != nil {
		return nil, errors.Join(err, log.Close())
	}
	if o.Fleet.Zones != nil {
		fleet = o.Fleet // what the list of searchers says now
	}
	c, effects, err := reshard.Recover(time.Now(), base, fleet, o.Limits, records)
	if err != nil {
		return nil, errors.Join(fmt.Errorf("change log %s: %w", o.Path, err), log.Close())
	}
	d := &Driver{peers: p, log: log, c: c, fleet: fleet, events: make(chan request, queued), ended: o.Ended, ctx: ctx, logger: logger, done: make(chan struct{})}
	p.Begin(log.ID(), log.Term())
	for _, e := range effects {
		d.carryOut(e)
	}
	go d.run(ctx)
	return d, nil
}

func (d *Driver) run(ctx context.Context) {
	defer close(d.done)
	t := time.NewTicker(tick)
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
		if r.look != nil {
			r.look(d.c)
			continue
		}
		result, err := d.step(r.event)
		if err != nil {
			// Nothing of this step was done, and nothing more is: what is not on
			// disk must not happen. A new start goes on from the disk.
			d.err = errors.Join(err, d.log.Close())
			return
		}
		if r.result != nil {
			r.result <- result
		}
	}
}

// step takes in one event: first the disk, then the effects.
func (d *Driver) step(e reshard.Event) (reshard.Result, error) {
	result := d.c.Step(time.Now(), e)
	if err := d.write("records of layout changes", func() error { return d.log.Append(result.Records) }); err != nil {
		return result, err
	}
	for _, x := range result.Effects {
		d.carryOut(x)
	}
	if d.log.Full() {
		if b, ok := d.c.Base(); ok {
			if err := d.write("compacted change log", func() error { return d.log.Begin(b, d.fleet) }); err != nil {
				return result, err
			}
		}
	}
	return result, nil
}

// write writes to the log, until that succeeds or the driver is told to end.
func (d *Driver) write(what string, f func() error) error {
	return durable.Retry(d.ctx, d.logger, what, f)
}

func (d *Driver) carryOut(e reshard.Effect) {
	switch e := e.(type) {
	case reshard.Publish:
		d.peers.Publish(e.Layout)
	case reshard.Fill:
		d.peers.Fill(e)
	case reshard.Stop:
		d.peers.Stop(e.Job)
	case reshard.Rate:
		d.peers.Rate(e.Rows)
	case reshard.Drop:
		d.peers.Drop(e.Target)
	case reshard.Ended:
		if d.ended != nil {
			d.ended(e)
		}
	}
}

// Tell brings an event; it is dropped once the driver has ended.
func (d *Driver) Tell(e reshard.Event) {
	select {
	case d.events <- request{event: e}:
	case <-d.done:
	}
}

// ErrEnded is why nothing is taken on any more.
var ErrEnded = errors.New("the coordinator has ended")

// Submit asks for a change, and returns its number or why it was refused.
func (d *Driver) Submit(c layout.Change) (reshard.JobID, error) {
	r, err := d.ask(reshard.Submit{Change: c})
	if err != nil {
		return 0, err
	}
	return r.Job, r.Err
}

// Abort asks for a change to be undone.
func (d *Driver) Abort(id reshard.JobID, reason string) error {
	r, err := d.ask(reshard.Abort{Job: id, Reason: reason})
	if err != nil {
		return err
	}
	return r.Err
}

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

// Look lets f look at the coordinator, and returns once it has.
func (d *Driver) Look(f func(*reshard.Coordinator)) error {
	seen := make(chan struct{})
	r := request{look: func(c *reshard.Coordinator) { f(c); close(seen) }}
	select {
	case d.events <- r:
	case <-d.done:
		return ErrEnded
	}
	select {
	case <-seen:
		return nil
	case <-d.done:
		return ErrEnded
	}
}

// Wait waits for the end and returns why the driver ended; nil if ctx did.
func (d *Driver) Wait() error {
	<-d.done
	return d.err
}
