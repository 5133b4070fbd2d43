package change

import (
	"fmt"
	"slices"
	"time"
)

// transaction is the state of one transaction.
type transaction struct {
	id          Tx
	state       State
	hash        Hash
	against     Generation
	generation  Generation
	probation   time.Duration
	autoConfirm bool
	deadline    time.Time // in Applying and Probation: when it is undone, or confirmed by autoConfirm
	reason      string
	changedAt   time.Time // of the last transition
}

// Counts counts the events that a Machine has accepted and refused. Its field names
// are keys of the admin status.
type Counts struct {
	Staged, Applied, Confirmed, Undone, Discarded, Refused int
	Fell, Unconfirmed, Crashed                             int // undone transactions by reason
}

// Machine is the state machine. Create it with New or Recover.
type Machine struct {
	limits         Limits
	lastSeq        uint64
	lastTx         Tx
	lastGeneration Generation
	confirmed      Generation
	confirmedHash  Hash
	txs            map[Tx]*transaction
	order          []Tx // keys of txs in the order in which they were staged
	active         Tx   // 0: none
	counts         Counts
}

// New returns a machine whose first generation is in force.
func New(first Hash, l Limits) *Machine {
	return &Machine{limits: l.withDefaults(), lastGeneration: 1, confirmed: 1, confirmedHash: first, txs: make(map[Tx]*transaction)}
}

// Confirmed returns the last confirmed generation.
func (m *Machine) Confirmed() (Generation, Hash) { return m.confirmed, m.confirmedHash }

// Counts returns the counts since the machine was created.
func (m *Machine) Counts() Counts { return m.counts }

// Status describes a transaction for display.
type Status struct {
	Tx          Tx
	State       State
	Hash        Hash
	Against     Generation
	Generation  Generation // 0 until it is applied
	AutoConfirm bool
	Deadline    time.Time // end of its Probation
	Reason      string
	At          time.Time // of the last transition
}

// Txs returns the unfinished transactions and the latest finished ones, in the order
// in which they were staged.
func (m *Machine) Txs() (out []Status) {
	for _, id := range m.order {
		out = append(out, m.txs[id].status())
	}
	return out
}

// Active returns the transaction that prevents others from being applied, if there is one.
func (m *Machine) Active() (Status, bool) {
	t := m.txs[m.active]
	if t == nil {
		return Status{}, false
	}
	return t.status(), true
}

// Busy returns the error with which applying another transaction is refused now, or nil.
func (m *Machine) Busy() error {
	t := m.txs[m.active]
	if t == nil {
		return nil
	}
	return fmt.Errorf("%w: transaction %d is %v", ErrBusy, t.id, t.state)
}

func (t *transaction) status() Status {
	return Status{t.id, t.state, t.hash, t.against, t.generation, t.autoConfirm, t.deadline, t.reason, t.changedAt}
}

// step holds the state of one call of Step.
type step struct {
	*Machine
	now    time.Time
	result Result
}

// Step handles one event. Times are compared by the monotonic clock where now carries
// one, so setting the wall clock does not end a probation.
func (m *Machine) Step(now time.Time, e Event) Result {
	s := &step{Machine: m, now: now}
	switch e := e.(type) {
	case Stage:
		s.stage(e)
	case Apply:
		s.apply(e)
	case Applied:
		s.applied(e)
	case Confirm:
		if t := s.require(e.Tx, Probation); t != nil {
			s.confirm(t)
		}
	case Undo:
		if t := s.require(e.Tx, Staged, Applying, Probation); t != nil && t.state == Staged {
			s.finish(t, Discarded, e.Reason)
		} else if t != nil {
			s.undo(t, e.Reason)
		}
	case Regressed:
		// The guard may report a regression after the transaction has ended for another reason.
		if t := m.txs[e.Tx]; t != nil && (t.state == Probation || t.state == Applying) {
			s.counts.Fell++
			s.undo(t, e.Reason)
		}
	case Reverted:
		if t := m.txs[e.Tx]; t != nil && t.state == Undoing {
			s.finish(t, Undone, t.reason)
		}
	}
	s.expire()
	if s.result.Err != nil {
		s.counts.Refused++
	}
	m.dropFinished()
	return s.result
}

func (s *step) addEffect(e Effect) { s.result.Effects = append(s.result.Effects, e) }

// transition changes the state of a transaction and records the change.
func (s *step) transition(t *transaction, to State) {
	s.lastSeq++
	t.state, t.changedAt = to, s.now
	if s.active == t.id && !to.Active() {
		s.active = 0
	} else if to.Active() {
		s.active = t.id
	}
	r := Record{Seq: s.lastSeq, Tx: t.id, State: to, Reason: t.reason, At: s.now.Round(0)}
	switch to {
	case Staged:
		r.Hash, r.Against = t.hash, t.against
	case Applying:
		r.Gen = t.generation
	}
	s.result.Records = append(s.result.Records, r)
}

// require returns the transaction if it is in one of the wanted states. Otherwise it
// refuses the event and returns nil.
func (s *step) require(id Tx, wanted ...State) *transaction {
	t := s.txs[id]
	switch {
	case t == nil:
		s.result.Err = fmt.Errorf("transaction %d: %w", id, ErrNoTx)
	case !slices.Contains(wanted, t.state):
		s.result.Err = fmt.Errorf("transaction %d is %v, want %v: %w", id, t.state, wanted, ErrWrongState)
	default:
		return t
	}
	return nil
}

func (s *step) stage(e Stage) {
	if e.Against == 0 {
		e.Against = s.confirmed
	}
	staged := 0
	for _, t := range s.txs {
		if t.state == Staged {
			staged++
		}
	}
	switch {
	case staged >= s.limits.MaxStaged:
		s.result.Err = fmt.Errorf("%w: %d, at most %d", ErrFull, staged, s.limits.MaxStaged)
	case e.Against != s.confirmed:
		s.result.Err = fmt.Errorf("%w: found %d, want %d, the last confirmed one", ErrStale, e.Against, s.confirmed)
	case e.Hash == s.confirmedHash:
		s.result.Err = fmt.Errorf("generation %d: %w", s.confirmed, ErrUnchanged)
	default:
		s.lastTx++
		t := &transaction{id: s.lastTx, hash: e.Hash, against: e.Against, reason: e.Note}
		s.txs[t.id] = t
		s.order = append(s.order, t.id)
		s.counts.Staged++
		s.result.Tx = t.id
		s.transition(t, Staged)
	}
}

func (s *step) apply(e Apply) {
	t := s.require(e.Tx, Staged)
	switch {
	case t == nil:
	case s.active != 0:
		s.result.Err = s.Busy()
	case t.against != s.confirmed:
		s.result.Err = fmt.Errorf("%w: found %d, want %d, the last confirmed one", ErrStale, t.against, s.confirmed)
	case e.Probation < s.limits.MinProbation || e.Probation > s.limits.MaxProbation:
		s.result.Err = fmt.Errorf("%w: %v, want %v to %v", ErrProbation, e.Probation, s.limits.MinProbation, s.limits.MaxProbation)
	default:
		s.lastGeneration++
		t.generation, t.probation, t.autoConfirm, t.deadline = s.lastGeneration, e.Probation, e.AutoConfirm, s.now.Add(s.limits.ApplyTimeout)
		s.counts.Applied++
		s.transition(t, Applying)
		s.addEffect(Swap{t.id, t.generation, t.hash})
	}
}

func (s *step) applied(e Applied) {
	t := s.txs[e.Tx]
	switch {
	case t == nil || t.state != Applying: // the transaction is being undone or has ended
	case e.Err != nil:
		s.undo(t, "could not be applied: "+e.Err.Error())
	default:
		t.deadline = s.now.Add(t.probation)
		s.transition(t, Probation)
	}
}

func (s *step) confirm(t *transaction) {
	s.confirmed, s.confirmedHash = t.generation, t.hash
	s.counts.Confirmed++
	s.transition(t, Confirmed)
	s.addEffect(Ended{t.id, Confirmed, t.reason})
}

// undo starts to undo a transaction: the last confirmed generation is put in force again.
func (s *step) undo(t *transaction, reason string) {
	t.reason = reason
	s.transition(t, Undoing)
	s.addEffect(Revert{t.id, s.confirmed, s.confirmedHash})
}

// finish takes a transaction that is not confirmed to its final state.
func (s *step) finish(t *transaction, to State, reason string) {
	t.reason = reason
	if to == Undone {
		s.counts.Undone++
	} else {
		s.counts.Discarded++
	}
	s.transition(t, to)
	s.addEffect(Ended{t.id, to, reason})
}

// expire undoes, or automatically confirms, the active transaction once its deadline
// has passed.
func (s *step) expire() {
	t := s.txs[s.active]
	if t == nil || t.state == Undoing || s.now.Before(t.deadline) {
		return
	}
	switch {
	case t.state == Applying:
		s.undo(t, fmt.Sprintf("not applied within %v", s.limits.ApplyTimeout))
	case t.autoConfirm:
		s.confirm(t)
	default:
		s.counts.Unconfirmed++
		s.undo(t, fmt.Sprintf("not confirmed within %v", t.probation))
	}
}

// dropFinished removes the oldest finished transactions beyond Limits.MaxFinished.
func (m *Machine) dropFinished() {
	finished := 0
	for _, t := range m.txs {
		if t.state.IsFinal() {
			finished++
		}
	}
	m.order = slices.DeleteFunc(m.order, func(id Tx) bool {
		if finished <= m.limits.MaxFinished || !m.txs[id].state.IsFinal() {
			return false
		}
		finished--
		delete(m.txs, id)
		return true
	})
}
