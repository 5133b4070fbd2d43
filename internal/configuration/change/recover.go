package change

import (
	"fmt"
	"time"
)

// Base is the state of a machine without unfinished transactions, onto which later
// records are replayed. It is stored as JSON under these field names.
type Base struct {
	Seq       uint64     // number of the last record before the base
	Tx        Tx         // the last transaction number that was assigned
	Gen       Generation // the last generation number that was assigned
	Confirmed Generation
	Hash      Hash // of the confirmed generation
}

// Base returns the current state as a base for later records, so that the earlier
// records need not be kept. It returns false while a transaction is unfinished.
func (m *Machine) Base() (Base, bool) {
	for _, t := range m.txs {
		if !t.state.IsFinal() {
			return Base{}, false
		}
	}
	return Base{m.lastSeq, m.lastTx, m.lastGeneration, m.confirmed, m.confirmedHash}, true
}

// Recover restores a machine from the records of an earlier process. A transaction
// that was active is undone, because its configuration was in force in that process only.
// Before anything else, the caller must put the last confirmed generation in force and
// write the records of the result. Staged transactions stay staged.
func Recover(now time.Time, b Base, l Limits, records []Record) (*Machine, Result, error) {
	m := &Machine{
		limits: l.withDefaults(), lastSeq: b.Seq, lastTx: b.Tx, lastGeneration: b.Gen, confirmed: b.Confirmed, confirmedHash: b.Hash,
		txs: make(map[Tx]*transaction),
	}
	for i, r := range records {
		if err := m.replay(r); err != nil {
			return nil, Result{}, fmt.Errorf("record %d (number %d): %w", i, r.Seq, err)
		}
	}
	s := &step{Machine: m, now: now}
	if t := m.txs[m.active]; t != nil {
		reason := t.reason
		if t.state != Undoing {
			reason = "the process ended while it was " + t.state.String()
			t.reason = reason
			s.transition(t, Undoing)
		}
		m.counts.Crashed++
		s.finish(t, Undone, reason)
	}
	m.dropFinished()
	return m, s.result, nil
}

// replay checks one record and applies it to the machine.
func (m *Machine) replay(r Record) error {
	if r.Seq != m.lastSeq+1 {
		return fmt.Errorf("follows number %d", m.lastSeq)
	}
	m.lastSeq = r.Seq
	t := m.txs[r.Tx]
	if (t == nil) != (r.State == Staged) {
		return fmt.Errorf("transaction %d becomes %v: %w", r.Tx, r.State, ErrNoTx)
	}
	if t == nil {
		t = &transaction{id: r.Tx, hash: r.Hash, against: r.Against}
		m.txs[r.Tx], m.lastTx = t, max(m.lastTx, r.Tx)
		m.order = append(m.order, r.Tx)
	} else if !t.state.canBecome(r.State) {
		return fmt.Errorf("transaction %d becomes %v, but is %v", r.Tx, r.State, t.state)
	}
	t.state, t.reason, t.changedAt = r.State, r.Reason, r.At
	switch {
	case r.State.Active():
		if m.active != 0 && m.active != r.Tx {
			return fmt.Errorf("transaction %d becomes %v while %d is active", r.Tx, r.State, m.active)
		}
		m.active = r.Tx
	case m.active == r.Tx:
		m.active = 0
	}
	switch r.State {
	case Applying:
		if r.Gen <= m.lastGeneration {
			return fmt.Errorf("generation %d was assigned before", r.Gen)
		}
		t.generation, m.lastGeneration = r.Gen, r.Gen
	case Confirmed:
		m.confirmed, m.confirmedHash = t.generation, t.hash
	}
	return nil
}

// canBecome reports whether a transaction may go from state s directly to state to.
func (s State) canBecome(to State) bool {
	switch s {
	case Staged:
		return to == Applying || to == Discarded
	case Applying:
		return to == Probation || to == Undoing
	case Probation:
		return to == Confirmed || to == Undoing
	case Undoing:
		return to == Undone
	}
	return false
}
