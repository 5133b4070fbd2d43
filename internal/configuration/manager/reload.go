package manager

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"time"

	"eiderwinch/internal/configuration/bundle"
	"eiderwinch/internal/configuration/change"
)

// readFiles are configuration files that a reload has read, and the candidate that they make.
type readFiles struct {
	bundle    bundle.Bundle
	signature string
	readAt    time.Time
	candidate *bundle.Candidate
}

// ErrWaits is returned for a reload whose files are applied later.
var ErrWaits = errors.New("the files that were read now are applied when it has ended")

// Reload follows the platform's file, and then applies the configuration files as a transaction; SIGHUP triggers it.
func (m *Manager) Reload(ctx context.Context) error {
	platformErr := m.followPlatform()
	if err := m.reloadFiles(ctx); err != nil {
		return err // names the faults of the platform's file as well
	}
	return platformErr
}

func (m *Manager) followPlatform() error {
	if m.opts.FollowPlatform == nil {
		return nil
	}
	return m.opts.FollowPlatform()
}

// reloadFiles reads the configuration files and decides what becomes of them. One reload runs at a time, so that the
// files that were read last are the ones decided about last.
func (m *Manager) reloadFiles(ctx context.Context) error {
	m.reloading.Lock()
	defer m.reloading.Unlock()
	b, signature, err := m.opts.ReadFiles()
	if err != nil {
		return err
	}
	return m.submitFiles(ctx, &readFiles{bundle: b, signature: signature, readAt: time.Now()})
}

// takeUpWaiting applies the files that wait, now that a change has ended.
func (m *Manager) takeUpWaiting(ctx context.Context) {
	m.reloading.Lock()
	defer m.reloading.Unlock()
	var f *readFiles
	if m.runInLoop(ctx, func() { f = m.waiting }) != nil || f == nil {
		return
	}
	m.opts.Logger.Info("configuration files that waited are taken up", "read_at", f.readAt)
	err := m.submitWaiting(ctx, f)
	if err == nil || errors.Is(err, ErrWaits) || ctx.Err() != nil {
		return
	}
	_ = m.runInLoop(ctx, m.forgetWaiting) // it fails only if the manager has ended
	if m.opts.ReloadFailed != nil {
		m.opts.ReloadFailed(err)
	}
}

// forgetWaiting is called on the goroutine that owns the transactions.
func (m *Manager) forgetWaiting() {
	m.reloads.Forget()
	m.waiting = nil
}

// submitFiles checks files and carries out what is decided about them.
func (m *Manager) submitFiles(ctx context.Context, f *readFiles) (err error) {
	if f.candidate, err = m.check(ctx, f.bundle); err != nil {
		return err
	}
	unsigned := m.verify(f.bundle, f.signature)
	o, err := m.decide(ctx, f, func(s change.Situation) change.ReloadDecision {
		return m.reloads.Read(f.candidate.Files(), unsigned == nil, s)
	})
	if err == nil && o.decision == change.ReloadUnsigned {
		return unsigned
	}
	return m.carryOut(ctx, f, o, err)
}

// submitWaiting is submitFiles for files that wait. What they fit to may have changed, so they are checked again.
func (m *Manager) submitWaiting(ctx context.Context, f *readFiles) (err error) {
	if f.candidate, err = m.check(ctx, f.bundle); err != nil {
		return err
	}
	if err := m.verify(f.bundle, f.signature); err != nil {
		return err
	}
	o, err := m.decide(ctx, f, func(s change.Situation) change.ReloadDecision {
		return m.reloads.Decide(f.candidate.Files().Subject, s)
	})
	return m.carryOut(ctx, f, o, err)
}

// decide runs a decision about files on the goroutine that owns the transactions.
func (m *Manager) decide(ctx context.Context, f *readFiles, decision func(change.Situation) change.ReloadDecision) (o reloadOutcome, err error) {
	err = m.runInLoop(ctx, func() { o = m.record(f, decision(m.situation())) })
	return o, err
}

// carryOut applies files if that was decided, else reports what was.
func (m *Manager) carryOut(ctx context.Context, f *readFiles, o reloadOutcome, err error) error {
	switch {
	case err != nil:
		return err
	case o.decision == change.ReloadApply:
		return m.applyFiles(ctx, f)
	}
	return o.report(m.opts.Logger)
}

// reloadOutcome is what was decided about files, with the error with which another change would have been refused.
type reloadOutcome struct {
	decision change.ReloadDecision
	busy     error
}

// record remembers files that wait. It is called on the goroutine that owns the transactions.
func (m *Manager) record(f *readFiles, d change.ReloadDecision) reloadOutcome {
	switch {
	case d == change.ReloadWait:
		m.waiting = f
	case !m.reloads.Waits():
		m.waiting = nil
	}
	return reloadOutcome{d, m.machine.Busy()}
}

// report logs what was decided about files that were not applied. It returns an error for files that wait.
func (o reloadOutcome) report(log *slog.Logger) error {
	switch o.decision {
	case change.ReloadUnchanged:
		log.Info("configuration not changed")
	case change.ReloadOnProbation:
		log.Info("configuration not changed: it is on probation already", "reason", o.busy)
	case change.ReloadPlatformOnly:
		log.Info("configuration not changed: only the platform's file has changed since the files were read last")
	case change.ReloadWait:
		return fmt.Errorf("%w; %w", o.busy, ErrWaits)
	}
	return nil
}

// situation returns what decisions about reloads depend on. It is called on the goroutine that owns the transactions.
func (m *Manager) situation() change.Situation {
	_, confirmed := m.machine.Confirmed()
	s := change.Situation{Confirmed: m.subject(confirmed)}
	if t, ok := m.machine.Active(); ok {
		s.Busy, s.Active = true, m.subject(t.Hash)
	}
	return s
}

// subject returns the subject of a configuration that is confirmed or belongs to an unfinished transaction.
func (m *Manager) subject(hash change.Hash) change.Hash {
	c := m.candidates[hash]
	if c == nil {
		return change.Hash{} // of no configuration
	}
	return c.Files().Subject
}

// applyFiles stages files and applies them, unless another change has begun meanwhile.
func (m *Manager) applyFiles(ctx context.Context, f *readFiles) error {
	if err := m.dryRun(ctx, f.candidate); err != nil {
		return err
	}
	var o reloadOutcome
	var err error
	loopErr := m.runInLoop(ctx, func() {
		if o = m.record(f, m.reloads.Decide(f.candidate.Files().Subject, m.situation())); o.decision == change.ReloadApply {
			err = m.stageAndApply(f.candidate)
		}
	})
	if err := errors.Join(loopErr, err); err != nil {
		return err
	}
	return o.report(m.opts.Logger)
}

// stageAndApply is called on the goroutine that owns the transactions.
func (m *Manager) stageAndApply(c *bundle.Candidate) error {
	tx, err := m.stage(c, 0, "reload")
	if err != nil {
		return err
	}
	if keys := bundle.RestartKeys(m.opts.Initial, c); len(keys) > 0 {
		m.opts.Logger.Warn("some changed settings take effect only at the next start", "keys", keys)
	}
	if err := m.step(m.applyEvent(tx, 0, nil), nil).Err; err != nil {
		// Otherwise the transaction would stay staged for ever, because nobody knows its number.
		return errors.Join(err, m.step(change.Undo{Tx: tx, Reason: err.Error()}, nil).Err)
	}
	return nil
}
