// Package seal puts the messages between gatherers into envelopes that only members of their fleet can make, and
// opens them. It rejects envelopes that come from strangers or other fleets, or are replayed. It does no I/O and reads
// no clock.
//
// An envelope is CBOR (RFC 8949) with numbered fields. Its MAC is BLAKE3 in keyed mode over all other fields,
// under a shared secret of a key file (package signature). Each key is valid for a limited time, so that keys can
// be replaced one after the other.
//
// A replayed envelope is recognized by its sender's sequence number, provided that the receiver has opened an
// envelope of that process before. A receiver that has just started has not: what an old envelope can make it
// believe is limited by how package membership treats old updates.
package seal

import (
	"crypto/subtle"
	"errors"
	"fmt"
	"time"

	"github.com/fxamacker/cbor/v2"

	"eiderwinch/internal/configuration/signature"
)

// macDomain separates the MACs of envelopes from those for other purposes under the same key.
const macDomain = "eiderwinch fleet 1\n"

// The reasons for which an envelope is rejected.
var (
	ErrMalformed       = errors.New("malformed envelope")
	ErrWrongFleet      = errors.New("envelope of another fleet")
	ErrUnauthenticated = errors.New("envelope authentication failed")
	ErrReplayed        = errors.New("envelope replayed or too old to check")
)

// Overhead is the size that an envelope adds to its message, with names of at most 128 bytes.
const Overhead = 2*(128+3) + 64

const (
	replayWindow = 1024 // envelopes of one process that may arrive out of order
	maxProcesses = 4096 // processes whose replay state is kept; the least recently used one is evicted
)

// envelope is the encoded form of a sealed message.
type envelope struct {
	Key      string `cbor:"1,keyasint"`
	Fleet    string `cbor:"2,keyasint"`
	Process  uint64 `cbor:"3,keyasint"` // random, new at each start
	Sequence uint64 `cbor:"4,keyasint"` // from 1
	Data     []byte `cbor:"5,keyasint"`
	MAC      []byte `cbor:"6,keyasint,omitempty"`
}

// Counts are the counters of a Sealer: envelopes opened, envelopes rejected by reason, and processes whose replay
// state was evicted. They are written as JSON under the names of the fields.
type Counts struct{ Opened, Malformed, Fleet, Stranger, Replayed, Forgotten int }

// Sealer seals and opens the envelopes of one process. It belongs to one goroutine.
type Sealer struct {
	keys         *signature.Keys
	keyName      string
	fleet        string
	process      uint64
	sequence     uint64
	replayStates map[uint64]*replayState
	useClock     uint64 // logical clock: number of uses of replayStates
	counts       Counts
	encMode      cbor.EncMode
	decMode      cbor.DecMode
}

// replayState records which envelopes of a process have arrived: the highest sequence number, and a bitmap of those
// below it, indexed by sequence number modulo replayWindow.
type replayState struct {
	highest uint64
	seen    [replayWindow / 64]uint64
	lastUse uint64 // Sealer.useClock at the last use
}

// New returns a Sealer that seals with the named key. process distinguishes this start of the program from all
// others: it must be random and not 0.
func New(keys *signature.Keys, keyName, fleet string, process uint64) (*Sealer, error) {
	if process == 0 || len(fleet) > 128 || len(keyName) > 128 {
		return nil, fmt.Errorf("seal: process %d, fleet %.128q, key %.128q: want a process other than 0 and names of 128 bytes at most", process, fleet, keyName)
	}
	encMode, err := cbor.CoreDetEncOptions().EncMode()
	if err != nil {
		return nil, fmt.Errorf("seal: %w", err)
	}
	decMode, err := cbor.DecOptions{MaxNestedLevels: 4, MaxArrayElements: 16, MaxMapPairs: 16, IndefLength: cbor.IndefLengthForbidden}.DecMode()
	if err != nil {
		return nil, fmt.Errorf("seal: %w", err)
	}
	return &Sealer{keys: keys, keyName: keyName, fleet: fleet, process: process, replayStates: make(map[uint64]*replayState), encMode: encMode, decMode: decMode}, nil
}

// Counts returns the counters.
func (s *Sealer) Counts() Counts { return s.counts }

// Seal puts a message into an envelope. It fails if the key is not valid now.
func (s *Sealer) Seal(now time.Time, data []byte) ([]byte, error) {
	s.sequence++
	e := envelope{Key: s.keyName, Fleet: s.fleet, Process: s.process, Sequence: s.sequence, Data: data}
	var err error
	if e.MAC, err = s.mac(now, e); err != nil {
		return nil, fmt.Errorf("seal: %w", err)
	}
	return s.encMode.Marshal(e)
}

// mac computes an envelope's MAC under the key that it names.
func (s *Sealer) mac(now time.Time, e envelope) ([]byte, error) {
	e.MAC = nil
	b, err := s.encMode.Marshal(e)
	if err != nil {
		return nil, err
	}
	return s.keys.MAC(now, e.Key, macDomain, b)
}

// Open returns the message in an envelope, or the reason for which the envelope is rejected.
func (s *Sealer) Open(now time.Time, b []byte) ([]byte, error) {
	var e envelope
	if err := s.decMode.Unmarshal(b, &e); err != nil || e.Process == 0 || e.Sequence == 0 {
		s.counts.Malformed++
		return nil, fmt.Errorf("seal: %w of %d bytes", ErrMalformed, len(b))
	}
	if e.Fleet != s.fleet {
		s.counts.Fleet++
		return nil, fmt.Errorf("seal: %w: have %.128q, want %q", ErrWrongFleet, e.Fleet, s.fleet)
	}
	mac, err := s.mac(now, e)
	if err != nil || subtle.ConstantTimeCompare(mac, e.MAC) != 1 {
		s.counts.Stranger++
		return nil, errors.Join(fmt.Errorf("seal: %w", ErrUnauthenticated), err)
	}
	if !s.acceptSequence(e.Process, e.Sequence) {
		s.counts.Replayed++
		return nil, fmt.Errorf("seal: %w: sequence number %d of process %x", ErrReplayed, e.Sequence, e.Process)
	}
	s.counts.Opened++
	return e.Data, nil
}

// acceptSequence records an envelope's sequence number, and reports whether it has not arrived before.
func (s *Sealer) acceptSequence(process, sequence uint64) bool {
	state := s.replayStates[process]
	if state == nil {
		s.evictOldest()
		state = new(replayState)
		s.replayStates[process] = state
	}
	s.useClock++
	state.lastUse = s.useClock
	switch {
	case sequence > state.highest:
		for c := state.highest + 1; c <= sequence && c-state.highest <= replayWindow; c++ { // clears bits that were set for older envelopes
			state.seen[c%replayWindow/64] &^= 1 << (c % 64)
		}
		state.highest = sequence
	case state.highest-sequence >= replayWindow, state.seen[sequence%replayWindow/64]&(1<<(sequence%64)) != 0:
		return false
	}
	state.seen[sequence%replayWindow/64] |= 1 << (sequence % 64)
	return true
}

// evictOldest removes the replay state that was used least recently if maxProcesses are kept.
func (s *Sealer) evictOldest() {
	if len(s.replayStates) < maxProcesses {
		return
	}
	var oldest uint64
	for process, state := range s.replayStates {
		if oldest == 0 || state.lastUse < s.replayStates[oldest].lastUse {
			oldest = process
		}
	}
	delete(s.replayStates, oldest)
	s.counts.Forgotten++
}
