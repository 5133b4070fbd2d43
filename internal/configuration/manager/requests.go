package manager

import (
	"context"
	"errors"
	"fmt"
	"time"

	"eiderwinch/internal/configuration/bundle"
	"eiderwinch/internal/configuration/change"
)

// StageResult is the result of staging a configuration.
type StageResult struct {
	Tx      change.Tx `json:"transaction"`
	Hash    string    `json:"hash"`
	Restart []string  `json:"restart,omitempty"` // settings that take effect at the next start only
	Ignored []string  `json:"ignored,omitempty"` // settings that never take effect, because the platform alone decides them
}

// Stage checks a configuration, does a dry run and stages it. Files that are empty
// in the bundle are taken from the configuration in force. against is the generation
// that the configuration was made against; 0 means the last confirmed one. The signature,
// if one is required, must be that of the bundle as passed in.
func (m *Manager) Stage(ctx context.Context, b bundle.Bundle, against change.Generation, note, signature string) (StageResult, error) {
	if err := m.verify(b, signature); err != nil {
		return StageResult{}, err
	}
	c, err := m.check(ctx, b)
	if err != nil {
		return StageResult{}, err
	}
	if err := m.dryRun(ctx, c); err != nil {
		return StageResult{}, err
	}
	result := StageResult{Hash: fmt.Sprintf("%x", c.Hash), Restart: bundle.RestartKeys(m.opts.Initial, c)}
	if len(b.Platform) > 0 && c.Config.Discovery != m.opts.Node.DiscoveryAddress().Value {
		result.Ignored = []string{"discovery"}
	}
	loopErr := m.runInLoop(ctx, func() { result.Tx, err = m.stage(c, against, note) })
	if err := errors.Join(loopErr, err); err != nil {
		return StageResult{}, err
	}
	return result, nil
}

// verify checks the signature of a bundle, if one is required.
func (m *Manager) verify(b bundle.Bundle, signature string) error {
	if m.opts.Verify == nil {
		return nil
	}
	return m.opts.Verify(b.Hash(), signature)
}

// check parses and checks a bundle whose empty files are taken from the configuration in force.
func (m *Manager) check(ctx context.Context, b bundle.Bundle) (*bundle.Candidate, error) {
	var inForce *bundle.Candidate
	if err := m.runInLoop(ctx, func() { inForce = m.inForce }); err != nil {
		return nil, err
	}
	if len(b.Platform) == 0 {
		b.Platform = inForce.Platform
	}
	if len(b.Operators) == 0 {
		b.Operators = inForce.Operators
	}
	if len(b.Layout) == 0 {
		b.Layout = inForce.Bundle.Layout
	}
	return bundle.Check(b, m.opts.Names)
}

// stage stages a candidate. It is called on the goroutine that owns the transactions.
func (m *Manager) stage(c *bundle.Candidate, against change.Generation, note string) (change.Tx, error) {
	r := m.step(change.Stage{Hash: c.Hash, Against: against, Note: note}, c)
	if r.Err != nil {
		return 0, r.Err
	}
	m.addCandidate(c)
	return r.Tx, nil
}

// Apply puts a staged configuration in force and on probation for the given time. auto
// says whether it is confirmed at the end of its probation. If probation is 0 or auto is
// nil, the configuration's own setting applies.
func (m *Manager) Apply(ctx context.Context, tx change.Tx, probation time.Duration, auto *bool) error {
	return m.submit(ctx, func() change.Event { return m.applyEvent(tx, probation, auto) })
}

// applyEvent returns the event that Apply submits. It is called on the goroutine that owns the transactions.
func (m *Manager) applyEvent(tx change.Tx, probation time.Duration, auto *bool) change.Apply {
	e := change.Apply{Tx: tx, Probation: probation}
	for _, t := range m.machine.Txs() {
		if c := m.candidates[t.Hash]; t.Tx == tx && c != nil {
			if e.AutoConfirm = c.File.Guard.Auto; e.Probation == 0 {
				e.Probation = c.File.Guard.Probation
			}
		}
	}
	if auto != nil {
		e.AutoConfirm = *auto
	}
	return e
}

// Confirm ends the probation of a transaction and keeps its configuration in force.
func (m *Manager) Confirm(ctx context.Context, tx change.Tx) error {
	return m.submit(ctx, func() change.Event { return change.Confirm{Tx: tx} })
}

// Undo takes back a transaction that is not confirmed yet.
func (m *Manager) Undo(ctx context.Context, tx change.Tx, reason string) error {
	return m.submit(ctx, func() change.Event { return change.Undo{Tx: tx, Reason: reason} })
}

// submit passes an event, made on the goroutine that owns the transactions, to the
// state machine.
func (m *Manager) submit(ctx context.Context, event func() change.Event) error {
	var err error
	if loopErr := m.runInLoop(ctx, func() { err = m.step(event(), nil).Err }); loopErr != nil {
		return loopErr
	}
	return err
}
