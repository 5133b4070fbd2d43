// Package keeper keeps the configuration of a running gatherer: it takes changes
// through their transaction (change), tries them on the world before they are
// applied, swaps them in on the event loop, watches service (guard) and writes all
// of it down (history). All that is decided, is decided in those packages.
//
// Two goroutines run: one owns the transactions, one carries out swaps in their
// order, so that a loop that hangs does not stop the clock of an undo.
package keeper

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"time"

	"eiderwinch/internal/configuration/bundle"
	"eiderwinch/internal/configuration/change"
	"eiderwinch/internal/configuration/guard"
	"eiderwinch/internal/durable"
	"eiderwinch/internal/layout"
	"eiderwinch/internal/netio"
)

// Node is the gatherer.
type Node interface {
	State(ctx context.Context, after int64) (netio.State, bool)
	Apply(ctx context.Context, l netio.Live) error
	Searchers(ctx context.Context) ([]netio.Searcher, bool)
	Generations(ctx context.Context) ([]uint64, bool)
}

// History is where transactions are written down; history.History is one.
type History interface {
	Append(records []change.Record, text *bundle.Bundle) error
	Begin(b change.Base, text bundle.Bundle) error
	Full() bool
}

// Options is how a Keeper is started.
type Options struct {
	Node    Node
	Boot    *bundle.Candidate // in force at the start: what Machine has confirmed
	Machine *change.Machine
	History History      // nil: history is in memory only
	Names   bundle.Names // of the files that a reload reads
	Read    func() (b bundle.Bundle, signature string, err error)
	// Verify tells why the signature of a hash does not hold; nil: none is needed.
	Verify  func(hash change.Hash, signature string) error
	Live    func(*bundle.Candidate, change.Generation) netio.Live
	Applied func(*bundle.Candidate) // called beside the swap, for what is not the node's; may be nil
	Logger  *slog.Logger
}

const (
	tick      = 100 * time.Millisecond // how soon an overdue probation is seen
	guardTick = 250 * time.Millisecond // how often finished seconds are asked for
	queued    = 64                     // requests that wait
	swapTime  = 5 * time.Second        // change.Limits.ApplyMost
	endTime   = 2 * time.Second
	// keptTexts is how many candidates that are over are held in memory, to be
	// shown. Without a disk there are no others.
	keptTexts = 16
)

// Keeper runs. Start it with Start.
type Keeper struct {
	opts    Options
	m       *change.Machine
	guard   *guard.Guard
	texts   map[change.Hash]*bundle.Candidate
	recent  []change.Hash // of texts, the oldest first
	inForce *bundle.Candidate
	gen     change.Generation // in force
	layout  *layout.Layout    // the last that the node was given; its epoch may be newer than its text
	text    []byte            // of layout
	seen    int64             // the last second that the guard was told of
	falls   []string          // what the guard saw, the last first

	ctx      context.Context // until it is told to end
	requests chan func()
	swaps    chan change.Effect
	done     chan struct{}
	err      error
}

// Start starts a keeper, which runs until ctx ends or the history can never be written.
func Start(ctx context.Context, o Options) *Keeper {
	k := &Keeper{
		opts: o, m: o.Machine, texts: make(map[change.Hash]*bundle.Candidate),
		requests: make(chan func(), queued), swaps: make(chan change.Effect, queued), done: make(chan struct{}),
	}
	k.inForce = o.Boot
	k.gen, _ = k.m.Confirmed()
	k.remember(o.Boot)
	var classes []guard.Class
	for _, c := range o.Boot.Config.Settings.Module.Classes {
		classes = append(classes, guard.Class{Name: c.Name, Aim: c.Aim})
	}
	k.guard = guard.New(classes, o.Boot.File.Guard.Limits)
	k.layout, k.text = o.Boot.Layout, o.Boot.Bundle.Layout
	ctx, stop := context.WithCancel(ctx)
	k.ctx = ctx
	go k.swapper(ctx)
	go func() {
		defer stop()
		k.run(ctx)
	}()
	return k
}

// Wait waits for its end and returns why it ended; nil if ctx did.
func (k *Keeper) Wait() error {
	<-k.done
	return k.err
}

func (k *Keeper) run(ctx context.Context) {
	defer close(k.done)
	clock, watch := time.NewTicker(tick), time.NewTicker(guardTick)
	defer clock.Stop()
	defer watch.Stop()
	for k.err == nil {
		select {
		case <-ctx.Done():
			return
		case f := <-k.requests:
			f()
		case <-clock.C:
			k.step(change.Tick{}, nil)
		case <-watch.C:
			k.watch(ctx)
		}
	}
}

// do runs f on the keeper's goroutine and waits for it.
func (k *Keeper) do(ctx context.Context, f func()) error {
	ran := make(chan struct{})
	select {
	case k.requests <- func() { f(); close(ran) }:
	case <-ctx.Done():
		return ctx.Err()
	case <-k.done:
		return ErrEnded
	}
	select {
	case <-ran:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	case <-k.done:
		return ErrEnded
	}
}

// ErrEnded is why nothing is taken any more.
var ErrEnded = errors.New("the keeper of the configuration has ended")

// step takes in one event: first the history, then the effects.
func (k *Keeper) step(e change.Event, text *bundle.Candidate) change.Result {
	r := k.m.Step(time.Now(), e)
	if k.opts.History != nil {
		var b *bundle.Bundle
		if text != nil {
			b = &text.Bundle
		}
		// What is not on disk must not happen. A disk that fails for a while holds up all changes.
		if err := k.write("records of configuration changes", func() error { return k.opts.History.Append(r.Records, b) }); err != nil {
			// The gatherer goes on as it is; a new start goes on from the disk.
			k.err = err
			k.opts.Logger.Error("the history can't be written: no change is taken any more", "err", err)
			r.Err = errors.Join(r.Err, err)
			return r
		}
	}
	for _, x := range r.Effects {
		k.carryOut(x)
	}
	if k.opts.History != nil && k.opts.History.Full() {
		if base, ok := k.m.Base(); ok {
			k.err = k.write("compacted history", func() error { return k.opts.History.Begin(base, k.texts[base.Hash].Bundle) })
		}
	}
	return r
}

// write writes to the history, until that succeeds or the keeper is told to end.
func (k *Keeper) write(what string, f func() error) error {
	return durable.Retry(k.ctx, k.opts.Logger, what, f)
}

func (k *Keeper) carryOut(e change.Effect) {
	switch e := e.(type) {
	case change.Swap, change.Revert:
		k.swaps <- e // there are two for each transaction at the most, and one at a time
	case change.Ended:
		k.opts.Logger.Info("configuration change over", "transaction", uint64(e.Tx), "state", e.State.String(), "reason", e.Reason)
		if e.State != change.Discarded {
			k.guard.End(e.State == change.Confirmed, k.seen+1)
		}
	}
}

// swapper carries out swaps one after the other.
func (k *Keeper) swapper(ctx context.Context) {
	for {
		var e change.Effect
		select {
		case <-ctx.Done():
			return
		case e = <-k.swaps:
		}
		var to *bundle.Candidate
		var live netio.Live
		var gen change.Generation
		prepare := func() {
			switch e := e.(type) {
			case change.Swap:
				to, gen = k.texts[e.Hash], e.Gen
			case change.Revert:
				to, gen = k.texts[e.Hash], e.Gen
			}
			live = k.live(to, gen)
		}
		if k.do(ctx, prepare) != nil {
			return
		}
		swap, stop := context.WithTimeout(ctx, swapTime)
		err := k.opts.Node.Apply(swap, live)
		stop()
		if err == nil && k.opts.Applied != nil {
			k.opts.Applied(to)
		}
		finish := func() { k.swapped(e, to, gen, err) }
		if k.do(ctx, finish) != nil {
			return
		}
	}
}

// live is what the node is told of a candidate. A layout that is put in force
// again comes as a newer epoch: epochs only go forward.
func (k *Keeper) live(to *bundle.Candidate, gen change.Generation) netio.Live {
	live := k.opts.Live(to, gen)
	live.Layout = nil
	if k.layout == nil || to.Layout == nil || to.File.Follow {
		return live // without one at the start it waits for the next; a coordinator brings its own
	}
	if text := to.Bundle.Layout; string(text) != string(k.text) {
		live.Layout = to.Layout
		if live.Layout.Epoch() <= k.layout.Epoch() {
			live.Layout = to.Layout.Reissue(k.layout)
		}
		k.layout, k.text = live.Layout, text
	}
	return live
}

// swapped books what came of a swap.
func (k *Keeper) swapped(e change.Effect, to *bundle.Candidate, gen change.Generation, err error) {
	if err == nil {
		k.inForce, k.gen = to, gen
		k.opts.Logger.Info("configuration in force", "generation", uint64(gen), "hash", fmt.Sprintf("%x", to.Hash[:8]))
	} else {
		k.opts.Logger.Error("configuration not put in force", "generation", uint64(gen), "err", err)
	}
	switch e := e.(type) {
	case change.Swap:
		if err == nil {
			k.watch(context.Background()) // what is over by now was before the change
			k.guard.Begin(k.seen + 1)
		}
		k.step(change.Applied{Tx: e.Tx, Err: err}, nil)
	case change.Revert:
		if err != nil && !errors.Is(err, netio.ErrNotServing) {
			k.swaps <- e // it must come about: nothing else can be applied until then
			return
		}
		k.step(change.Reverted{Tx: e.Tx}, nil)
	}
}

// watch tells the guard of the seconds that are over.
func (k *Keeper) watch(ctx context.Context) {
	ctx, stop := context.WithTimeout(ctx, guardTick)
	defer stop()
	s, ok := k.opts.Node.State(ctx, k.seen)
	if !ok {
		return
	}
	for _, w := range s.Service {
		k.seen = max(k.seen, w.Second)
		fall, fell := k.guard.Add(w)
		if !fell {
			continue
		}
		k.falls = append([]string{fall.String()}, k.falls[:min(len(k.falls), keptTexts-1)]...)
		for _, t := range k.m.Txs() {
			if t.State == change.Probation {
				k.opts.Logger.Warn("service has fallen since a change", "transaction", uint64(t.Tx), "fall", fall.String())
				k.step(change.Fell{Tx: t.Tx, Reason: "service fell: " + fall.String()}, nil)
			}
		}
	}
}

// remember holds a candidate's text. Those of transactions that are not over, and
// the one that is confirmed, are never let go.
func (k *Keeper) remember(c *bundle.Candidate) {
	if _, there := k.texts[c.Hash]; there {
		return
	}
	k.texts[c.Hash] = c
	k.recent = append(k.recent, c.Hash)
	needed := map[change.Hash]bool{c.Hash: true, k.inForce.Hash: true}
	_, confirmed := k.m.Confirmed()
	needed[confirmed] = true
	for _, t := range k.m.Txs() {
		if !t.State.Over() {
			needed[t.Hash] = true
		}
	}
	var kept []change.Hash
	for i, h := range k.recent {
		if needed[h] || len(k.recent)-i <= keptTexts {
			kept = append(kept, h)
		} else {
			delete(k.texts, h)
		}
	}
	k.recent = kept
}
