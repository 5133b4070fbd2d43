// Package change implements the transaction that each change of the configuration
// goes through: it is staged, applied and watched on probation, then confirmed or
// undone. It is a state machine without I/O: Step handles one event and returns the
// records to write and the effects to carry out. The caller writes the records
// first, durably where it has a disk, and carries out the effects only afterwards.
// After a crash it passes the records to Recover.
//
//	staged -> applying -> probation -> confirmed
//	   |         |            |
//	   |         +------------+---> undoing -> undone
//	   +---> discarded
//
// This is the confirmed commit of routers (RFC 6241, 8.4): a change that is applied
// and not confirmed in time is undone automatically, and so is one after which service
// regresses.
//
// At most one transaction is being applied, on probation or being undone. Others may
// be staged meanwhile, but applying one is refused, not queued: the generation that
// it was made against may be replaced by then, and whoever applies it should first see
// the outcome of the change under way.
package change

import (
	"errors"
	"fmt"
	"slices"
	"time"
)

// Generation is the number of a configuration that was put in force, counted from 1.
// Numbers are never reused, not even that of a configuration that was undone.
type Generation uint64

// Tx is the number of a transaction, counted from 1.
type Tx uint64

// Hash is the BLAKE3 hash of a configuration's text.
type Hash [32]byte

// State is the state of a transaction.
type State uint8

// The states of a transaction. A change that is refused when it is staged never
// becomes a transaction.
const (
	Staged    State = iota // checked, also by a dry run against the current environment
	Applying               // being put in force
	Probation              // in force, watched by the guard, waiting for confirmation
	Confirmed              // in force permanently
	Undoing                // the last confirmed generation is being put in force again
	Undone                 // the last confirmed generation is in force again
	Discarded              // never applied
	stateCount
)

var stateNames = [stateCount]string{"staged", "applying", "probation", "confirmed", "undoing", "undone", "discarded"}

func (s State) String() string {
	if s < stateCount {
		return stateNames[s]
	}
	return fmt.Sprintf("State(%d)", uint8(s))
}

// IsFinal reports whether s is a final state.
func (s State) IsFinal() bool { return s == Confirmed || s == Undone || s == Discarded }

// Active reports whether a transaction in state s prevents others from being applied.
func (s State) Active() bool { return s == Applying || s == Probation || s == Undoing }

// Limits bound a Machine. A field that is zero means its default.
type Limits struct {
	MaxStaged    int           // transactions staged at the same time; further ones are refused; default 16
	MaxFinished  int           // finished transactions that Txs still returns; default 256
	ApplyTimeout time.Duration // an apply that has not finished after this time is undone; default 5 s
	MinProbation time.Duration // shortest probation that Apply accepts; default 1 s
	MaxProbation time.Duration // longest probation that Apply accepts; default 24 h
}

// An apply replaces one pointer on the event loop: 5 s are far longer than any pause
// of the loop.
var defaults = Limits{MaxStaged: 16, MaxFinished: 256, ApplyTimeout: 5 * time.Second, MinProbation: time.Second, MaxProbation: 24 * time.Hour}

func (l Limits) withDefaults() Limits {
	if l.MaxStaged <= 0 {
		l.MaxStaged = defaults.MaxStaged
	}
	if l.MaxFinished <= 0 {
		l.MaxFinished = defaults.MaxFinished
	}
	if l.ApplyTimeout <= 0 {
		l.ApplyTimeout = defaults.ApplyTimeout
	}
	if l.MinProbation <= 0 {
		l.MinProbation = defaults.MinProbation
	}
	if l.MaxProbation <= 0 {
		l.MaxProbation = defaults.MaxProbation
	}
	return l
}

// Record is one state transition. A Base and the records that follow it, in the order
// of Seq, are the persistent state of a Machine. Records are stored as JSON under
// these field names.
type Record struct {
	Seq     uint64
	Tx      Tx
	State   State
	Hash    Hash       // set for Staged
	Against Generation // set for Staged: the generation that the change was made against
	Gen     Generation // set for Applying: the number that the new generation gets
	Reason  string     // why it was undone or discarded; for Staged, the submitter's note
	At      time.Time  // wall clock time, for display
}

// Event is an input of Step: Stage, Apply, Applied, Confirm, Undo, Regressed, Reverted or
// Tick.
type Event interface{ event() }

// Stage submits a configuration that was checked. Result.Tx is its transaction.
type Stage struct {
	Hash    Hash
	Against Generation // 0: the generation that is confirmed now
	Note    string
}

// Apply requests that a staged transaction is put in force.
type Apply struct {
	Tx          Tx
	Probation   time.Duration // length of the probation
	AutoConfirm bool          // confirm at the end of the probation instead of undoing
}

// Applied reports that a Swap was carried out, or why it failed.
type Applied struct {
	Tx  Tx
	Err error
}

// Confirm confirms the transaction that is on probation.
type Confirm struct{ Tx Tx }

// Undo discards a staged transaction, or undoes one that is not confirmed yet.
type Undo struct {
	Tx     Tx
	Reason string
}

// Regressed reports that service has regressed since an apply.
type Regressed struct {
	Tx     Tx
	Reason string
}

// Reverted reports that a Revert was carried out: the last confirmed generation is in
// force again.
type Reverted struct{ Tx Tx }

// Tick reports that time has passed.
type Tick struct{}

func (Stage) event()     {}
func (Apply) event()     {}
func (Applied) event()   {}
func (Confirm) event()   {}
func (Undo) event()      {}
func (Regressed) event() {}
func (Reverted) event()  {}
func (Tick) event()      {}

// Effect is an action that the caller carries out: Swap, Revert or Ended. Effects are
// carried out in their order. The caller acknowledges Swap with an Applied event and
// Revert with a Reverted event.
type Effect interface{ effect() }

// Swap puts a generation in force.
type Swap struct {
	Tx         Tx
	Generation Generation
	Hash       Hash
}

// Revert puts the last confirmed generation in force again.
type Revert struct {
	Tx         Tx
	Generation Generation
	Hash       Hash
}

// Ended reports that a transaction has reached a final state.
type Ended struct {
	Tx     Tx
	State  State
	Reason string
}

func (Swap) effect()   {}
func (Revert) effect() {}
func (Ended) effect()  {}

// Result is the outcome of one event.
type Result struct {
	Records []Record // to be written before the effects are carried out
	Effects []Effect
	Tx      Tx    // of a Stage: the new transaction
	Err     error // why the event was refused
}

// The reasons for refusing an event.
var (
	ErrBusy       = errors.New("another change is under way")
	ErrStale      = errors.New("the change was made against another generation")
	ErrNoTx       = errors.New("no such transaction")
	ErrWrongState = errors.New("it is in another state")
	ErrFull       = errors.New("too many changes are staged")
	ErrProbation  = errors.New("the probation time is out of bounds")
	ErrUnchanged  = errors.New("the configuration is confirmed already")
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
