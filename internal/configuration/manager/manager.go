// Package manager is the configuration manager of a running gatherer. It runs each
// change as a transaction (package change), does a dry run before the change is
// applied, swaps the configuration on the gatherer's event loop, watches service
// (package guard) and records the transactions (package history). All decisions are made
// by those packages.
//
// A Manager has two goroutines: one owns the transactions, the other executes swaps in
// order, so that a blocked event loop of the gatherer does not delay an undo that is due.
// A third one runs for a short time when files that had to wait are applied.
package manager

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"sync"
	"time"

	"eiderwinch/internal/configuration/bundle"
	"eiderwinch/internal/configuration/change"
	"eiderwinch/internal/configuration/guard"
	"eiderwinch/internal/discovery"
	"eiderwinch/internal/durable"
	"eiderwinch/internal/layout"
	"eiderwinch/internal/netio"
)

// Node is the gatherer whose configuration is managed; netio.Node implements it. The
// results of type bool are false if the gatherer has not started or has ended.
type Node interface {
	// State returns the state of the gatherer, with its finished seconds after the given one.
	State(ctx context.Context, after int64) (netio.State, bool)
	// Apply puts other settings in force.
	Apply(ctx context.Context, l netio.LiveSettings) error
	// Searchers returns the searchers in the member list.
	Searchers(ctx context.Context) ([]netio.Searcher, bool)
	// Generations returns the generation in force and those under which open queries were accepted.
	Generations(ctx context.Context) ([]uint64, bool)
	// DiscoveryAddress returns the address at which discovery is asked.
	DiscoveryAddress() discovery.Address
}

// History stores the transactions durably; history.History implements it.
type History interface {
	// Append writes records, and the text of the one that is staged.
	Append(records []change.Record, text *bundle.Bundle) error
	// SetBase replaces the base and drops all records.
	SetBase(b change.Base, text bundle.Bundle) error
	// NeedsCompaction reports whether SetBase should be called as soon as no change is under way.
	NeedsCompaction() bool
}

// Options are the dependencies and settings of a Manager.
type Options struct {
	Node      Node
	Initial   *bundle.Candidate // in force at the start; the last one that Machine has confirmed
	AtStart   change.Files      // the files that were read at the start, which may differ from Initial
	Machine   *change.Machine
	History   History      // nil: transactions are held in memory only
	Names     bundle.Names // of the files that ReadFiles reads
	ReadFiles func() (b bundle.Bundle, signature string, err error)
	// FollowPlatform reads the platform's file and puts in force what the platform alone decides. A reload calls it
	// before anything else, and whatever becomes of the rest; nil: nothing is the platform's.
	FollowPlatform func() error
	ReloadFailed   func(error) // called if files that waited could not be applied; may be nil
	// Verify returns an error if the signature of a hash is not valid; nil: no
	// signature is required.
	Verify func(hash change.Hash, signature string) error
	// LiveSettings returns the settings that the node is given for a candidate.
	LiveSettings func(*bundle.Candidate, change.Generation) netio.LiveSettings
	Applied      func(*bundle.Candidate) // called after a successful swap, for settings outside the node; may be nil
	Logger       *slog.Logger
}

const (
	clockInterval = 100 * time.Millisecond // how often the state machine checks for passed deadlines
	guardInterval = 250 * time.Millisecond // how often the node is asked for finished seconds
	queueCapacity = 64                     // of the channels of requests and of swaps
	swapTimeout   = 5 * time.Second        // the default of change.Limits.ApplyTimeout
	endTime       = 2 * time.Second
	// maxKeptCandidates is how many candidates of finished transactions are held in
	// memory, so that Show can return them. Without a history on disk, Show can return no
	// others. It also bounds the list of regressions.
	maxKeptCandidates = 16
)

// Manager is the configuration manager of one gatherer. Create it with Start.
type Manager struct {
	opts           Options
	machine        *change.Machine
	reloads        *change.Reloads
	waiting        *readFiles // that are applied when the active transaction has ended; nil if there are none
	guard          *guard.Guard
	candidates     map[change.Hash]*bundle.Candidate
	candidateOrder []change.Hash // keys of candidates, oldest first
	inForce        *bundle.Candidate
	generation     change.Generation // of inForce
	layout         *layout.Layout    // the last one given to the node; its epoch may be higher than the one in layoutText
	layoutText     []byte
	lastSecond     int64    // the last second passed to the guard
	regressions    []string // found by the guard, latest first

	reloading sync.Mutex // held by the reload that runs

	ctx      context.Context // ends when the manager is to stop
	requests chan func()
	swaps    chan change.Effect
	done     chan struct{}
	err      error
}

// Start starts a configuration manager. It runs until ctx ends or a write to the
// history fails permanently.
func Start(ctx context.Context, o Options) *Manager {
	m := &Manager{
		opts: o, machine: o.Machine, reloads: change.NewReloads(o.AtStart), candidates: make(map[change.Hash]*bundle.Candidate),
		requests: make(chan func(), queueCapacity), swaps: make(chan change.Effect, queueCapacity), done: make(chan struct{}),
	}
	m.inForce = o.Initial
	m.generation, _ = m.machine.Confirmed()
	m.addCandidate(o.Initial)
	var classes []guard.Class
	for _, c := range o.Initial.Config.Settings.Module.Classes {
		classes = append(classes, guard.Class{Name: c.Name, Aim: c.Aim})
	}
	m.guard = guard.New(classes, o.Initial.File.Guard.Limits)
	m.layout, m.layoutText = o.Initial.Layout, o.Initial.Bundle.Layout
	ctx, stop := context.WithCancel(ctx)
	m.ctx = ctx
	go m.runSwaps(ctx)
	go func() {
		defer stop()
		m.run(ctx)
	}()
	return m
}

// Wait waits until the manager has stopped. It returns nil if ctx ended, else the
// error that stopped the manager.
func (m *Manager) Wait() error {
	<-m.done
	return m.err
}

func (m *Manager) run(ctx context.Context) {
	defer close(m.done)
	clockTicker, guardTicker := time.NewTicker(clockInterval), time.NewTicker(guardInterval)
	defer clockTicker.Stop()
	defer guardTicker.Stop()
	for m.err == nil {
		select {
		case <-ctx.Done():
			return
		case f := <-m.requests:
			f()
		case <-clockTicker.C:
			m.step(change.Tick{}, nil)
		case <-guardTicker.C:
			m.updateGuard(ctx)
		}
	}
}

// runInLoop runs f on the goroutine that owns the transactions and waits for it.
func (m *Manager) runInLoop(ctx context.Context, f func()) error {
	ran := make(chan struct{})
	select {
	case m.requests <- func() { f(); close(ran) }:
	case <-ctx.Done():
		return ctx.Err()
	case <-m.done:
		return ErrEnded
	}
	select {
	case <-ran:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	case <-m.done:
		return ErrEnded
	}
}

// ErrEnded is returned for requests after the configuration manager has stopped.
var ErrEnded = errors.New("the configuration manager has stopped")

// step passes one event to the state machine. It writes the records to the history
// before it executes the effects. candidate is the one that is staged; it is nil for other
// events.
func (m *Manager) step(e change.Event, candidate *bundle.Candidate) change.Result {
	r := m.machine.Step(time.Now(), e)
	if m.opts.History != nil {
		var b *bundle.Bundle
		if candidate != nil {
			b = &candidate.Bundle
		}
		// No effect may happen before its records are on disk, so a temporary disk failure delays all changes.
		if err := m.writeHistory("records of configuration changes", func() error { return m.opts.History.Append(r.Records, b) }); err != nil {
			// The gatherer keeps the configuration in force; the next start recovers from the disk.
			m.err = err
			m.opts.Logger.Error("cannot write the configuration history: no further changes are accepted", "err", err)
			r.Err = errors.Join(r.Err, err)
			return r
		}
	}
	for _, effect := range r.Effects {
		m.execute(effect)
	}
	if m.opts.History != nil && m.opts.History.NeedsCompaction() {
		if base, ok := m.machine.Base(); ok {
			m.err = m.writeHistory("compacted history", func() error { return m.opts.History.SetBase(base, m.candidates[base.Hash].Bundle) })
		}
	}
	return r
}

// writeHistory repeats a write to the history until it succeeds, fails permanently or
// the manager is to stop.
func (m *Manager) writeHistory(what string, f func() error) error {
	return durable.Retry(m.ctx, m.opts.Logger, what, f)
}

func (m *Manager) execute(e change.Effect) {
	switch e := e.(type) {
	case change.Swap, change.Revert:
		m.swaps <- e // does not block: at most two per transaction, and only one transaction is active
	case change.Ended:
		m.opts.Logger.Info("configuration change finished", "transaction", uint64(e.Tx), "state", e.State.String(), "reason", e.Reason)
		if e.State == change.Discarded {
			return
		}
		m.guard.End(e.State == change.Confirmed, m.lastSecond+1)
		if m.waiting != nil {
			go m.takeUpWaiting(m.ctx)
		}
	}
}

// runSwaps executes swaps one after the other.
func (m *Manager) runSwaps(ctx context.Context) {
	for {
		var e change.Effect
		select {
		case <-ctx.Done():
			return
		case e = <-m.swaps:
		}
		var to *bundle.Candidate
		var live netio.LiveSettings
		var generation change.Generation
		prepare := func() {
			switch e := e.(type) {
			case change.Swap:
				to, generation = m.candidates[e.Hash], e.Generation
			case change.Revert:
				to, generation = m.candidates[e.Hash], e.Generation
			}
			live = m.liveSettings(to, generation)
		}
		if m.runInLoop(ctx, prepare) != nil {
			return
		}
		swapCtx, stop := context.WithTimeout(ctx, swapTimeout)
		err := m.opts.Node.Apply(swapCtx, live)
		stop()
		if err == nil && m.opts.Applied != nil {
			m.opts.Applied(to)
		}
		finish := func() { m.finishSwap(e, to, generation, err) }
		if m.runInLoop(ctx, finish) != nil {
			return
		}
	}
}

// liveSettings returns the settings that the node is given for a candidate. A layout
// whose epoch is not above that of the last one is reissued under a higher epoch, because
// epochs only increase.
func (m *Manager) liveSettings(to *bundle.Candidate, generation change.Generation) netio.LiveSettings {
	live := m.opts.LiveSettings(to, generation)
	live.Layout = nil
	if m.layout == nil || to.Layout == nil || to.File.Follow {
		// A gatherer that started without a layout takes one at its next start only. One
		// that follows a coordinator gets its layouts from there.
		return live
	}
	if text := to.Bundle.Layout; string(text) != string(m.layoutText) {
		live.Layout = to.Layout
		if live.Layout.Epoch() <= m.layout.Epoch() {
			live.Layout = to.Layout.Reissue(m.layout)
		}
		m.layout, m.layoutText = live.Layout, text
	}
	return live
}

// finishSwap records the outcome of a swap.
func (m *Manager) finishSwap(e change.Effect, to *bundle.Candidate, generation change.Generation, err error) {
	if err == nil {
		m.inForce, m.generation = to, generation
		m.opts.Logger.Info("configuration in force", "generation", uint64(generation), "hash", fmt.Sprintf("%x", to.Hash[:8]))
	} else {
		m.opts.Logger.Error("cannot put the configuration in force", "generation", uint64(generation), "err", err)
	}
	switch e := e.(type) {
	case change.Swap:
		if err == nil {
			m.updateGuard(context.Background()) // the seconds finished by now precede the change
			m.guard.Begin(m.lastSecond + 1)
		}
		m.step(change.Applied{Tx: e.Tx, Err: err}, nil)
	case change.Revert:
		if err != nil && !errors.Is(err, netio.ErrNotServing) {
			m.swaps <- e // retried until it succeeds: no other change can be applied before
			return
		}
		m.step(change.Reverted{Tx: e.Tx}, nil)
	}
}

// updateGuard passes finished seconds to the guard. If the guard finds a regression,
// the change on probation is undone.
func (m *Manager) updateGuard(ctx context.Context) {
	ctx, stop := context.WithTimeout(ctx, guardInterval)
	defer stop()
	s, ok := m.opts.Node.State(ctx, m.lastSecond)
	if !ok {
		return
	}
	for _, w := range s.Service {
		m.lastSecond = max(m.lastSecond, w.Second)
		regression, regressed := m.guard.Add(w)
		if !regressed {
			continue
		}
		m.regressions = append([]string{regression.String()}, m.regressions[:min(len(m.regressions), maxKeptCandidates-1)]...)
		for _, t := range m.machine.Txs() {
			if t.State == change.Probation {
				m.opts.Logger.Warn("service has regressed since a configuration change", "transaction", uint64(t.Tx), "fall", regression.String())
				m.step(change.Regressed{Tx: t.Tx, Reason: "service fell: " + regression.String()}, nil)
			}
		}
	}
}

// addCandidate holds a candidate in memory and evicts old ones. It never evicts the one in
// force, the confirmed one or those of unfinished transactions.
func (m *Manager) addCandidate(c *bundle.Candidate) {
	if _, ok := m.candidates[c.Hash]; ok {
		return
	}
	m.candidates[c.Hash] = c
	m.candidateOrder = append(m.candidateOrder, c.Hash)
	needed := map[change.Hash]bool{c.Hash: true, m.inForce.Hash: true}
	_, confirmed := m.machine.Confirmed()
	needed[confirmed] = true
	for _, t := range m.machine.Txs() {
		if !t.State.IsFinal() {
			needed[t.Hash] = true
		}
	}
	var kept []change.Hash
	for i, h := range m.candidateOrder {
		if needed[h] || len(m.candidateOrder)-i <= maxKeptCandidates {
			kept = append(kept, h)
		} else {
			delete(m.candidates, h)
		}
	}
	m.candidateOrder = kept
}
