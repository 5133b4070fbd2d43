package manager

import (
	"context"
	"errors"

	"eiderwinch/internal/configuration/bundle"
	"eiderwinch/internal/configuration/change"
)

// readFiles are configuration files that a reload has read, and the candidate that they make.
type readFiles struct {
	bundle    bundle.Bundle
	signature string
	candidate *bundle.Candidate
}

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

// reloadFiles reads the configuration files and decides what becomes of them.
func (m *Manager) reloadFiles(ctx context.Context) error {
	b, signature, err := m.opts.ReadFiles()
	if err != nil {
		return err
	}
	f := &readFiles{bundle: b, signature: signature}
	if f.candidate, err = m.check(ctx, b); err != nil {
		return err
	}
	var decision change.ReloadDecision
	var busy error
	if err := m.runInLoop(ctx, func() {
		decision = m.reloads.Read(f.candidate.Files(), m.situation())
		busy = m.machine.Busy()
	}); err != nil {
		return err
	}
	log := m.opts.Logger
	switch decision {
	case change.ReloadUnchanged:
		log.Info("configuration not changed")
	case change.ReloadOnProbation:
		log.Info("configuration not changed: it is on probation already", "reason", busy)
	case change.ReloadPlatformOnly:
		log.Info("configuration not changed: only the platform's file has changed since the files were read last")
	case change.ReloadApply:
		return m.applyFiles(ctx, f)
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

// applyFiles stages the files and applies them.
func (m *Manager) applyFiles(ctx context.Context, f *readFiles) error {
	s, err := m.Stage(ctx, f.bundle, 0, "reload", f.signature)
	if err != nil {
		return err
	}
	if len(s.Restart) > 0 {
		m.opts.Logger.Warn("some changed settings take effect only at the next start", "keys", s.Restart)
	}
	if err := m.Apply(ctx, s.Tx, 0, nil); err != nil {
		// Otherwise the transaction would stay staged for ever, because nobody knows its number.
		return errors.Join(err, m.Undo(ctx, s.Tx, err.Error()))
	}
	return nil
}
