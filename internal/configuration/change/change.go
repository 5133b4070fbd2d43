// Package change takes changes of the configuration through their transaction:
// staged, applied, on probation, then confirmed or undone. It is a state machine
// without I/O: Step takes one event and returns what must be written and what
// must be done then. The caller writes the records first, durably where it has a
// disk, and only then carries out the effects; after a crash it hands the records
// to Recover.
//
//	staged -> applying -> probation -> confirmed
//	   |         |            |
//	   |         +------------+---> undoing -> undone
//	   +---> discarded
//
// It is the confirmed commit of routers (RFC 6241, 8.4): what is applied and not
// confirmed in time is undone by itself, and so is what makes service fall.
//
// The rule for a second change: at most one transaction is being applied, on
// probation or being undone. Another may be staged meanwhile; to apply it is
// refused, not queued. What it was made against is not in force for certain then,
// and whoever wants it applied should see what came of the first.
package change

import (
	"errors"
	"fmt"
	"slices"
	"time"
)

// Generation numbers the configurations that were put in force, from 1. Numbers
// are never used again, also not that of one that was undone.
type Generation uint64

// Tx numbers the transactions, from 1.
type Tx uint64

// Hash is the BLAKE3 hash of a configuration's text.
type Hash [32]byte

// State is how far a transaction is.
type State uint8

// The states of a transaction. One that was refused never becomes a transaction.
const (
	Staged    State = iota // checked, and tried on the world as it is
	Applying               // being put in force
	Probation              // in force; watched, and to be confirmed
	Confirmed              // in force for good
	Undoing                // the last confirmed one is being put in force again
	Undone                 // it is
	Discarded              // it was never applied
	states
)

var stateNames = [states]string{"staged", "applying", "probation", "confirmed", "undoing", "undone", "discarded"}

func (s State) String() string {
	if s < states {
		return stateNames[s]
	}
	return fmt.Sprintf("State(%d)", uint8(s))
}

// Over tells that nothing more happens to the transaction.
func (s State) Over() bool { return s == Confirmed || s == Undone || s == Discarded }

// Active tells that another one can't be applied beside it.
func (s State) Active() bool { return s == Applying || s == Probation || s == Undoing }

// Limits bound a Machine. The zero value of a field means its default.
type Limits struct {
	Staged    int           // transactions that are staged at once; 16. More are refused
	Kept      int           // transactions that are over and still shown; 256
	ApplyMost time.Duration // an apply that is not through by then is undone; 5 s
	Shortest  time.Duration // bounds of the time in which to confirm; 1 s
	Longest   time.Duration // 24 h
}

// An apply is one pointer on the event loop: 5 s are far beyond any pause of it.
var defaults = Limits{Staged: 16, Kept: 256, ApplyMost: 5 * time.Second, Shortest: time.Second, Longest: 24 * time.Hour}

func (l Limits) complete() Limits {
	if l.Staged <= 0 {
		l.Staged = defaults.Staged
	}
	if l.Kept <= 0 {
		l.Kept = defaults.Kept
	}
	if l.ApplyMost <= 0 {
		l.ApplyMost = defaults.ApplyMost
	}
	if l.Shortest <= 0 {
		l.Shortest = defaults.Shortest
	}
	if l.Longest <= 0 {
		l.Longest = defaults.Longest
	}
	return l
}

// Record is one transition. The records in the order of Seq are the machine's
// state, on top of the generation that they begin with.
type Record struct {
	Seq     uint64
	Tx      Tx
	State   State
	Hash    Hash       // of Staged
	Against Generation // of Staged: what it was made against
	Gen     Generation // of Applying: the number that it gets
	Reason  string     // why it was undone or discarded; who staged it
	At      time.Time  // by the wall clock, for people
}

// Event is something that has happened: Stage, Apply, Applied, Confirm, Undo,
// Fell, Reverted or Tick.
type Event interface{ event() }

// Stage brings a configuration that was checked. Result.Tx is its transaction.
type Stage struct {
	Hash    Hash
	Against Generation // 0: the one that is confirmed now
	Note    string
}

// Apply asks for a staged one to be put in force.
type Apply struct {
	Tx     Tx
	Within time.Duration // of probation
	Auto   bool          // at the end of probation it is confirmed, not undone
}

// Applied tells that an apply is through, or why it failed.
type Applied struct {
	Tx  Tx
	Err error
}

// Confirm makes one that is on probation stay.
type Confirm struct{ Tx Tx }

// Undo takes one back that is not confirmed.
type Undo struct {
	Tx     Tx
	Reason string
}

// Fell tells that service has fallen since an apply.
type Fell struct {
	Tx     Tx
	Reason string
}

// Reverted tells that the last confirmed generation is in force again.
type Reverted struct{ Tx Tx }

// Tick tells that time has gone by.
type Tick struct{}

func (Stage) event()    {}
func (Apply) event()    {}
func (Applied) event()  {}
func (Confirm) event()  {}
func (Undo) event()     {}
func (Fell) event()     {}
func (Reverted) event() {}
func (Tick) event()     {}

// Effect is something to be done: Swap, Revert or Ended. Effects are carried out
// in their order; Swap and Revert are answered by Applied and Reverted.
type Effect interface{ effect() }

// Swap puts a generation in force.
type Swap struct {
	Tx   Tx
	Gen  Generation
	Hash Hash
}

// Revert puts the last confirmed generation in force again.
type Revert struct {
	Tx   Tx
	Gen  Generation
	Hash Hash
}

// Ended tells that a transaction is over.
type Ended struct {
	Tx     Tx
	State  State
	Reason string
}

func (Swap) effect()   {}
func (Revert) effect() {}
func (Ended) effect()  {}

// Result is what a step asks for.
type Result struct {
	Records []Record
	Effects []Effect
	Tx      Tx    // of a Stage
	Err     error // why the event was refused
}

// The reasons for a refusal.
var (
	ErrBusy    = errors.New("another change is under way")
	ErrStale   = errors.New("it was made against another generation")
	ErrNoTx    = errors.New("no such transaction")
	ErrState   = errors.New("it is in another state")
	ErrFull    = errors.New("too many changes are staged")
	ErrWithin  = errors.New("the time to confirm is out of bounds")
	ErrNothing = errors.New("it is what is in force already")
)

// tx is one transaction.
type tx struct {
	id      Tx
	state   State
	hash    Hash
	against Generation
	gen     Generation
	within  time.Duration
	auto    bool
	due     time.Time // of Applying and Probation: undone, or confirmed, by then
	reason  string
	at      time.Time
}

// Counts are what a Machine has done and turned away.
type Counts struct {
	Staged, Applied, Confirmed, Undone, Discarded, Refused int
	Fell, Unconfirmed, Crashed                             int // why they were undone
}

// Machine is the state machine. Make it with New or Recover.
type Machine struct {
	limits    Limits
	seq       uint64
	last      Tx
	lastGen   Generation
	confirmed Generation
	hash      Hash // of confirmed
	txs       map[Tx]*tx
	order     []Tx
	active    Tx // 0: none
	counts    Counts
}

// New returns a machine with a first generation in force.
func New(first Hash, l Limits) *Machine {
	return &Machine{limits: l.complete(), lastGen: 1, confirmed: 1, hash: first, txs: make(map[Tx]*tx)}
}

// Confirmed is the last confirmed generation.
func (m *Machine) Confirmed() (Generation, Hash) { return m.confirmed, m.hash }

// Counts are what was done so far.
func (m *Machine) Counts() Counts { return m.counts }

// Status is a transaction as it is shown.
type Status struct {
	Tx      Tx
	State   State
	Hash    Hash
	Against Generation
	Gen     Generation // 0 until it is applied
	Auto    bool
	Due     time.Time // of Probation
	Reason  string
	At      time.Time // of the last transition
}

// Txs are those that are not over and the last that are, in the order they came.
func (m *Machine) Txs() (out []Status) {
	for _, id := range m.order {
		t := m.txs[id]
		out = append(out, Status{t.id, t.state, t.hash, t.against, t.gen, t.auto, t.due, t.reason, t.at})
	}
	return out
}

// step is one Step in the making.
type step struct {
	*Machine
	now    time.Time
	result Result
}

// Step takes in one event. Times are compared by the monotonic clock where now
// carries one, so a clock that is set does not end a probation.
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
		if t := s.in(e.Tx, Probation); t != nil {
			s.confirm(t)
		}
	case Undo:
		if t := s.in(e.Tx, Staged, Applying, Probation); t != nil && t.state == Staged {
			s.end(t, Discarded, e.Reason)
		} else if t != nil {
			s.undo(t, e.Reason)
		}
	case Fell:
		// The guard may see a fall while the transaction ends by itself.
		if t := m.txs[e.Tx]; t != nil && (t.state == Probation || t.state == Applying) {
			s.counts.Fell++
			s.undo(t, e.Reason)
		}
	case Reverted:
		if t := m.txs[e.Tx]; t != nil && t.state == Undoing {
			s.end(t, Undone, t.reason)
		}
	}
	s.expire()
	if s.result.Err != nil {
		s.counts.Refused++
	}
	m.forget()
	return s.result
}

func (s *step) do(e Effect) { s.result.Effects = append(s.result.Effects, e) }

// turn takes a transaction to a state and records it.
func (s *step) turn(t *tx, to State) {
	s.seq++
	t.state, t.at = to, s.now
	if s.active == t.id && !to.Active() {
		s.active = 0
	} else if to.Active() {
		s.active = t.id
	}
	r := Record{Seq: s.seq, Tx: t.id, State: to, Reason: t.reason, At: s.now.Round(0)}
	switch to {
	case Staged:
		r.Hash, r.Against = t.hash, t.against
	case Applying:
		r.Gen = t.gen
	}
	s.result.Records = append(s.result.Records, r)
}

// in returns a transaction in one of some states, else it refuses the event.
func (s *step) in(id Tx, wanted ...State) *tx {
	t := s.txs[id]
	switch {
	case t == nil:
		s.result.Err = fmt.Errorf("transaction %d: %w", id, ErrNoTx)
	case !slices.Contains(wanted, t.state):
		s.result.Err = fmt.Errorf("transaction %d is %v, want %v: %w", id, t.state, wanted, ErrState)
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
	case staged >= s.limits.Staged:
		s.result.Err = fmt.Errorf("%w: %d, at most %d", ErrFull, staged, s.limits.Staged)
	case e.Against != s.confirmed:
		s.result.Err = fmt.Errorf("%w: %d, in force is %d", ErrStale, e.Against, s.confirmed)
	case e.Hash == s.hash:
		s.result.Err = fmt.Errorf("generation %d: %w", s.confirmed, ErrNothing)
	default:
		s.last++
		t := &tx{id: s.last, hash: e.Hash, against: e.Against, reason: e.Note}
		s.txs[t.id] = t
		s.order = append(s.order, t.id)
		s.counts.Staged++
		s.result.Tx = t.id
		s.turn(t, Staged)
	}
}

func (s *step) apply(e Apply) {
	t := s.in(e.Tx, Staged)
	switch {
	case t == nil:
	case s.active != 0:
		s.result.Err = fmt.Errorf("%w: transaction %d is %v", ErrBusy, s.active, s.txs[s.active].state)
	case t.against != s.confirmed:
		s.result.Err = fmt.Errorf("%w: %d, in force is %d", ErrStale, t.against, s.confirmed)
	case e.Within < s.limits.Shortest || e.Within > s.limits.Longest:
		s.result.Err = fmt.Errorf("%w: %v, want %v to %v", ErrWithin, e.Within, s.limits.Shortest, s.limits.Longest)
	default:
		s.lastGen++
		t.gen, t.within, t.auto, t.due = s.lastGen, e.Within, e.Auto, s.now.Add(s.limits.ApplyMost)
		s.counts.Applied++
		s.turn(t, Applying)
		s.do(Swap{t.id, t.gen, t.hash})
	}
}

func (s *step) applied(e Applied) {
	t := s.txs[e.Tx]
	switch {
	case t == nil || t.state != Applying: // it is being undone by now
	case e.Err != nil:
		s.undo(t, "could not be applied: "+e.Err.Error())
	default:
		t.due = s.now.Add(t.within)
		s.turn(t, Probation)
	}
}

func (s *step) confirm(t *tx) {
	s.confirmed, s.hash = t.gen, t.hash
	s.counts.Confirmed++
	s.turn(t, Confirmed)
	s.do(Ended{t.id, Confirmed, t.reason})
}

// undo begins to put the last confirmed generation in force again.
func (s *step) undo(t *tx, reason string) {
	t.reason = reason
	s.turn(t, Undoing)
	s.do(Revert{t.id, s.confirmed, s.hash})
}

func (s *step) end(t *tx, to State, reason string) {
	t.reason = reason
	if to == Undone {
		s.counts.Undone++
	} else {
		s.counts.Discarded++
	}
	s.turn(t, to)
	s.do(Ended{t.id, to, reason})
}

// expire ends what has lasted too long.
func (s *step) expire() {
	t := s.txs[s.active]
	if t == nil || t.state == Undoing || s.now.Before(t.due) {
		return
	}
	switch {
	case t.state == Applying:
		s.undo(t, fmt.Sprintf("not applied within %v", s.limits.ApplyMost))
	case t.auto:
		s.confirm(t)
	default:
		s.counts.Unconfirmed++
		s.undo(t, fmt.Sprintf("not confirmed within %v", t.within))
	}
}

// forget drops the oldest that are over beyond those that are kept.
func (m *Machine) forget() {
	over := 0
	for _, t := range m.txs {
		if t.state.Over() {
			over++
		}
	}
	m.order = slices.DeleteFunc(m.order, func(id Tx) bool {
		if over <= m.limits.Kept || !m.txs[id].state.Over() {
			return false
		}
		over--
		delete(m.txs, id)
		return true
	})
}

// Base is where records begin.
type Base struct {
	Seq       uint64 // of the last record before
	Tx        Tx     // the last that was given out
	Gen       Generation
	Confirmed Generation
	Hash      Hash
}

// Base is where later records can begin, so that those so far need not be kept.
// There is none while a transaction is not over.
func (m *Machine) Base() (Base, bool) {
	for _, t := range m.txs {
		if !t.state.Over() {
			return Base{}, false
		}
	}
	return Base{m.seq, m.last, m.lastGen, m.confirmed, m.hash}, true
}

// Recover makes a machine from what one before has written. A transaction that
// was under way is undone, since what was in force is gone with the process: the
// last confirmed generation is to be put in force, and the result's records are
// to be written, before anything else is done. Staged ones stay.
func Recover(now time.Time, b Base, l Limits, records []Record) (*Machine, Result, error) {
	m := &Machine{
		limits: l.complete(), seq: b.Seq, last: b.Tx, lastGen: b.Gen, confirmed: b.Confirmed, hash: b.Hash,
		txs: make(map[Tx]*tx),
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
			s.turn(t, Undoing)
		}
		m.counts.Crashed++
		s.end(t, Undone, reason)
	}
	m.forget()
	return m, s.result, nil
}

// replay takes in one record.
func (m *Machine) replay(r Record) error {
	if r.Seq != m.seq+1 {
		return fmt.Errorf("follows number %d", m.seq)
	}
	m.seq = r.Seq
	t := m.txs[r.Tx]
	if (t == nil) != (r.State == Staged) {
		return fmt.Errorf("transaction %d turns %v: %w", r.Tx, r.State, ErrNoTx)
	}
	if t == nil {
		t = &tx{id: r.Tx, hash: r.Hash, against: r.Against}
		m.txs[r.Tx], m.last = t, max(m.last, r.Tx)
		m.order = append(m.order, r.Tx)
	} else if !t.state.leads(r.State) {
		return fmt.Errorf("transaction %d turns %v, but is %v", r.Tx, r.State, t.state)
	}
	t.state, t.reason, t.at = r.State, r.Reason, r.At
	switch {
	case r.State.Active():
		if m.active != 0 && m.active != r.Tx {
			return fmt.Errorf("transaction %d turns %v while %d is under way", r.Tx, r.State, m.active)
		}
		m.active = r.Tx
	case m.active == r.Tx:
		m.active = 0
	}
	switch r.State {
	case Applying:
		if r.Gen <= m.lastGen {
			return fmt.Errorf("generation %d was given out before", r.Gen)
		}
		t.gen, m.lastGen = r.Gen, r.Gen
	case Confirmed:
		m.confirmed, m.hash = t.gen, t.hash
	}
	return nil
}

// leads tells that a state can come right after s.
func (s State) leads(to State) bool {
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
