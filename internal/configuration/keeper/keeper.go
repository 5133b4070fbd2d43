// Package keeper is the configuration manager of a running gatherer. It runs each
// change as a transaction (package change), does a dry run before the change is
// applied, swaps the configuration on the gatherer's event loop, watches service
// (package guard) and records the transactions (package history). It makes no
// decisions of its own: those packages make them.
//
// Two goroutines run: one owns the transactions, the other executes swaps in
// order, so that a blocked event loop does not delay the deadline of an undo.
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

// Node is the gatherer whose configuration is managed.
type Node interface {
	State(ctx context.Context, after int64) (netio.State, bool)
	Apply(ctx context.Context, l netio.LiveSettings) error
	Searchers(ctx context.Context) ([]netio.Searcher, bool)
	Generations(ctx context.Context) ([]uint64, bool)
}

// History stores the transactions durably; history.History implements it.
type History interface {
	Append(records []change.Record, text *bundle.Bundle) error
	SetBase(b change.Base, text bundle.Bundle) error
	NeedsCompaction() bool
}

// Options are the dependencies and settings of a Keeper.
type Options struct {
	Node      Node
	Initial   *bundle.Candidate // in force at the start: the configuration that Machine has confirmed
	Machine   *change.Machine
	History   History      // nil: transactions are held in memory only
	Names     bundle.Names // of the files that ReadFiles reads
	ReadFiles func() (b bundle.Bundle, signature string, err error)
	// Verify returns an error if the signature of a hash is not valid; nil: no
	// signature is required.
	Verify       func(hash change.Hash, signature string) error
	LiveSettings func(*bundle.Candidate, change.Generation) netio.LiveSettings
	Applied      func(*bundle.Candidate) // called after a successful swap, for settings outside the node; may be nil
	Logger       *slog.Logger
}

const (
	clockInterval = 100 * time.Millisecond // an overdue probation is noticed within this time
	guardInterval = 250 * time.Millisecond // how often the node is asked for finished seconds
	queueCapacity = 64                     // of the channels of requests and of swaps
	swapTimeout   = 5 * time.Second        // the default of change.Limits.ApplyTimeout
	endTime       = 2 * time.Second
	// maxKeptCandidates is how many candidates of finished transactions are held in
	// memory to be shown. Without a history on disk, only these can be shown. It also
	// bounds the list of regressions.
	maxKeptCandidates = 16
)

// Keeper is the configuration manager of one gatherer. Create it with Start.
type Keeper struct {
	opts           Options
	machine        *change.Machine
	guard          *guard.Guard
	candidates     map[change.Hash]*bundle.Candidate
	candidateOrder []change.Hash // keys of candidates, oldest first
	inForce        *bundle.Candidate
	generation     change.Generation // of inForce
	layout         *layout.Layout    // the last one given to the node; its epoch may be newer than the one in layoutText
	layoutText     []byte
	lastSecond     int64    // the last second passed to the guard
	regressions    []string // found by the guard, latest first

	ctx      context.Context // ends when the manager is to stop
	requests chan func()
	swaps    chan change.Effect
	done     chan struct{}
	err      error
}

// Start starts a configuration manager. It runs until ctx ends or a write to the
// history fails permanently.
func Start(ctx context.Context, o Options) *Keeper {
	k := &Keeper{
		opts: o, machine: o.Machine, candidates: make(map[change.Hash]*bundle.Candidate),
		requests: make(chan func(), queueCapacity), swaps: make(chan change.Effect, queueCapacity), done: make(chan struct{}),
	}
	k.inForce = o.Initial
	k.generation, _ = k.machine.Confirmed()
	k.addCandidate(o.Initial)
	var classes []guard.Class
	for _, c := range o.Initial.Config.Settings.Module.Classes {
		classes = append(classes, guard.Class{Name: c.Name, Aim: c.Aim})
	}
	k.guard = guard.New(classes, o.Initial.File.Guard.Limits)
	k.layout, k.layoutText = o.Initial.Layout, o.Initial.Bundle.Layout
	ctx, stop := context.WithCancel(ctx)
	k.ctx = ctx
	go k.runSwaps(ctx)
	go func() {
		defer stop()
		k.run(ctx)
	}()
	return k
}

// Wait waits until the manager has stopped. It returns nil if ctx ended, else the
// error that stopped the manager.
func (k *Keeper) Wait() error {
	<-k.done
	return k.err
}

func (k *Keeper) run(ctx context.Context) {
	defer close(k.done)
	clockTicker, guardTicker := time.NewTicker(clockInterval), time.NewTicker(guardInterval)
	defer clockTicker.Stop()
	defer guardTicker.Stop()
	for k.err == nil {
		select {
		case <-ctx.Done():
			return
		case f := <-k.requests:
			f()
		case <-clockTicker.C:
			k.step(change.Tick{}, nil)
		case <-guardTicker.C:
			k.updateGuard(ctx)
		}
	}
}

// runInLoop runs f on the goroutine that owns the transactions and waits for it.
func (k *Keeper) runInLoop(ctx context.Context, f func()) error {
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

// ErrEnded is returned for requests after the configuration manager has stopped.
var ErrEnded = errors.New("the configuration manager has stopped")

// step passes one event to the state machine. It writes the records to the history
// before it executes the effects.
func (k *Keeper) step(e change.Event, text *bundle.Candidate) change.Result {
	r := k.machine.Step(time.Now(), e)
	if k.opts.History != nil {
		var b *bundle.Bundle
		if text != nil {
			b = &text.Bundle
		}
		// No effect may happen before its records are on disk, so a temporary disk failure delays all changes.
		if err := k.writeHistory("records of configuration changes", func() error { return k.opts.History.Append(r.Records, b) }); err != nil {
			// The gatherer keeps the configuration in force; the next start recovers from the disk.
			k.err = err
			k.opts.Logger.Error("cannot write the configuration history: no further changes are accepted", "err", err)
			r.Err = errors.Join(r.Err, err)
			return r
		}
	}
	for _, x := range r.Effects {
		k.execute(x)
	}
	if k.opts.History != nil && k.opts.History.NeedsCompaction() {
		if base, ok := k.machine.Base(); ok {
			k.err = k.writeHistory("compacted history", func() error { return k.opts.History.SetBase(base, k.candidates[base.Hash].Bundle) })
		}
	}
	return r
}

// writeHistory repeats a write to the history until it succeeds, fails permanently or
// the manager is to stop.
func (k *Keeper) writeHistory(what string, f func() error) error {
	return durable.Retry(k.ctx, k.opts.Logger, what, f)
}

func (k *Keeper) execute(e change.Effect) {
	switch e := e.(type) {
	case change.Swap, change.Revert:
		k.swaps <- e // at most two per transaction, and one at a time
	case change.Ended:
		k.opts.Logger.Info("configuration change finished", "transaction", uint64(e.Tx), "state", e.State.String(), "reason", e.Reason)
		if e.State != change.Discarded {
			k.guard.End(e.State == change.Confirmed, k.lastSecond+1)
		}
	}
}

// runSwaps executes swaps one after the other.
func (k *Keeper) runSwaps(ctx context.Context) {
	for {
		var e change.Effect
		select {
		case <-ctx.Done():
			return
		case e = <-k.swaps:
		}
		var to *bundle.Candidate
		var live netio.LiveSettings
		var gen change.Generation
		prepare := func() {
			switch e := e.(type) {
			case change.Swap:
				to, gen = k.candidates[e.Hash], e.Gen
			case change.Revert:
				to, gen = k.candidates[e.Hash], e.Gen
			}
			live = k.liveSettings(to, gen)
		}
		if k.runInLoop(ctx, prepare) != nil {
			return
		}
		swap, stop := context.WithTimeout(ctx, swapTimeout)
		err := k.opts.Node.Apply(swap, live)
		stop()
		if err == nil && k.opts.Applied != nil {
			k.opts.Applied(to)
		}
		finish := func() { k.finishSwap(e, to, gen, err) }
		if k.runInLoop(ctx, finish) != nil {
			return
		}
	}
}

// liveSettings returns the settings that the node is given for a candidate. A layout
// that is put in force again gets a newer epoch, because epochs only increase.
func (k *Keeper) liveSettings(to *bundle.Candidate, gen change.Generation) netio.LiveSettings {
	live := k.opts.LiveSettings(to, gen)
	live.Layout = nil
	if k.layout == nil || to.Layout == nil || to.File.Follow {
		// A gatherer that started without a layout takes one at its next start only. One
		// that follows a coordinator gets its layouts from there.
		return live
	}
	if text := to.Bundle.Layout; string(text) != string(k.layoutText) {
		live.Layout = to.Layout
		if live.Layout.Epoch() <= k.layout.Epoch() {
			live.Layout = to.Layout.Reissue(k.layout)
		}
		k.layout, k.layoutText = live.Layout, text
	}
	return live
}

// finishSwap records the outcome of a swap.
func (k *Keeper) finishSwap(e change.Effect, to *bundle.Candidate, gen change.Generation, err error) {
	if err == nil {
		k.inForce, k.generation = to, gen
		k.opts.Logger.Info("configuration in force", "generation", uint64(gen), "hash", fmt.Sprintf("%x", to.Hash[:8]))
	} else {
		k.opts.Logger.Error("configuration not put in force", "generation", uint64(gen), "err", err)
	}
	switch e := e.(type) {
	case change.Swap:
		if err == nil {
			k.updateGuard(context.Background()) // the seconds finished by now precede the change
			k.guard.Begin(k.lastSecond + 1)
		}
		k.step(change.Applied{Tx: e.Tx, Err: err}, nil)
	case change.Revert:
		if err != nil && !errors.Is(err, netio.ErrNotServing) {
			k.swaps <- e // retried until it succeeds: nothing else can be applied until then
			return
		}
		k.step(change.Reverted{Tx: e.Tx}, nil)
	}
}

// updateGuard passes finished seconds to the guard. If the guard finds a regression,
// the change on probation is undone.
func (k *Keeper) updateGuard(ctx context.Context) {
	ctx, stop := context.WithTimeout(ctx, guardInterval)
	defer stop()
	s, ok := k.opts.Node.State(ctx, k.lastSecond)
	if !ok {
		return
	}
	for _, w := range s.Service {
		k.lastSecond = max(k.lastSecond, w.Second)
		regression, regressed := k.guard.Add(w)
		if !regressed {
			continue
		}
		k.regressions = append([]string{regression.String()}, k.regressions[:min(len(k.regressions), maxKeptCandidates-1)]...)
		for _, t := range k.machine.Txs() {
			if t.State == change.Probation {
				k.opts.Logger.Warn("service has regressed since a configuration change", "transaction", uint64(t.Tx), "fall", regression.String())
				k.step(change.Regressed{Tx: t.Tx, Reason: "service fell: " + regression.String()}, nil)
			}
		}
	}
}

// addCandidate holds a candidate in memory and evicts old ones. The candidates in
// force, confirmed, or of unfinished transactions are never evicted.
func (k *Keeper) addCandidate(c *bundle.Candidate) {
	if _, ok := k.candidates[c.Hash]; ok {
		return
	}
	k.candidates[c.Hash] = c
	k.candidateOrder = append(k.candidateOrder, c.Hash)
	needed := map[change.Hash]bool{c.Hash: true, k.inForce.Hash: true}
	_, confirmed := k.machine.Confirmed()
	needed[confirmed] = true
	for _, t := range k.machine.Txs() {
		if !t.State.IsFinal() {
			needed[t.Hash] = true
		}
	}
	var kept []change.Hash
	for i, h := range k.candidateOrder {
		if needed[h] || len(k.candidateOrder)-i <= maxKeptCandidates {
			kept = append(kept, h)
		} else {
			delete(k.candidates, h)
		}
	}
	k.candidateOrder = kept
}
