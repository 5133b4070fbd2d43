package manager

import (
	"context"
	"errors"
	"fmt"
	"time"

	"eiderwinch/internal/configuration/bundle"
	"eiderwinch/internal/configuration/change"
)

// Transaction describes a transaction in Status.
type Transaction struct {
	Tx            change.Tx         `json:"transaction"`
	State         string            `json:"state"`
	Over          bool              `json:"over"` // whether State is final
	Hash          string            `json:"hash"`
	Against       change.Generation `json:"against"`
	Generation    change.Generation `json:"generation,omitempty"`
	Reason        string            `json:"reason,omitempty"`
	At            time.Time         `json:"at"`
	ProbationLeft string            `json:"left,omitempty"` // remaining time of its probation
}

// DiscoveryStatus describes the address at which discovery is asked.
type DiscoveryStatus struct {
	Address string    `json:"address"`
	Source  string    `json:"source"` // what has named it: start or reload
	Since   time.Time `json:"since"`
}

// WaitingStatus describes configuration files that are applied when the change under way has ended.
type WaitingStatus struct {
	Hash   string    `json:"hash"`
	Reason string    `json:"reason"`
	ReadAt time.Time `json:"read_at"`
}

// Status is the state of a gatherer's configuration.
type Status struct {
	Confirmed       change.Generation `json:"confirmed"`
	InForce         change.Generation `json:"in_force"`
	Hash            string            `json:"hash"`
	OpenGenerations []uint64          `json:"open"`    // the generation in force, and those under which open queries were accepted
	Durable         bool              `json:"durable"` // whether the history is on disk
	Discovery       DiscoveryStatus   `json:"discovery"`
	Waiting         *WaitingStatus    `json:"waiting,omitempty"`
	Regressions     []string          `json:"falls,omitempty"`
	Transactions    []Transaction     `json:"transactions"`
	Counts          change.Counts     `json:"counts"`
}

// Status returns the state of the configuration and its transactions.
func (m *Manager) Status(ctx context.Context) (s Status, err error) {
	s.OpenGenerations, _ = m.opts.Node.Generations(ctx)
	address := m.opts.Node.DiscoveryAddress()
	s.Discovery = DiscoveryStatus{Address: address.Value, Source: address.Source.String(), Since: address.Since}
	err = m.runInLoop(ctx, func() {
		s.Confirmed, _ = m.machine.Confirmed()
		s.InForce, s.Hash = m.generation, fmt.Sprintf("%x", m.inForce.Hash)
		s.Durable, s.Regressions, s.Counts = m.opts.History != nil, m.regressions, m.machine.Counts()
		if f, busy := m.waiting, m.machine.Busy(); f != nil && busy != nil {
			s.Waiting = &WaitingStatus{Hash: fmt.Sprintf("%x", f.candidate.Hash), Reason: busy.Error(), ReadAt: f.readAt}
		}
		s.Transactions = []Transaction{}
		for _, t := range m.machine.Txs() {
			x := Transaction{
				Tx: t.Tx, State: t.State.String(), Over: t.State.IsFinal(), Hash: fmt.Sprintf("%x", t.Hash),
				Against: t.Against, Generation: t.Generation, Reason: t.Reason, At: t.At,
			}
			if t.State == change.Probation {
				x.ProbationLeft = time.Until(t.Deadline).Round(time.Millisecond).String()
			}
			s.Transactions = append(s.Transactions, x)
		}
	})
	return s, err
}

// ErrNoText is returned for a generation whose text is no longer kept.
var ErrNoText = errors.New("its text is no longer kept")

// Show returns the files of a generation that is or was in force.
func (m *Manager) Show(ctx context.Context, generation change.Generation) (b bundle.Bundle, err error) {
	lookupErr := errors.New("no such generation")
	loopErr := m.runInLoop(ctx, func() {
		hash := change.Hash{}
		if confirmed, h := m.machine.Confirmed(); confirmed == generation {
			hash, lookupErr = h, nil
		}
		for _, t := range m.machine.Txs() {
			if t.Generation == generation {
				hash, lookupErr = t.Hash, nil
			}
		}
		if lookupErr != nil {
			return
		}
		if c := m.candidates[hash]; c != nil {
			b = c.Bundle
			return
		}
		store, ok := m.opts.History.(interface {
			Text(change.Hash) (bundle.Bundle, error)
		})
		if !ok {
			lookupErr = ErrNoText
			return
		}
		b, lookupErr = store.Text(hash)
	})
	if err := errors.Join(loopErr, lookupErr); err != nil {
		return bundle.Bundle{}, fmt.Errorf("generation %d: %w", generation, err)
	}
	return b, nil
}
