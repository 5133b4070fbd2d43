package change

import (
	"errors"
	"time"
)

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
