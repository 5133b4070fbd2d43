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
	"fmt"
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
