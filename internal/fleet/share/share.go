// Package share divides the fleet's limits among the gatherers that are running. It does no I/O, reads no clock
// and starts no goroutine; a Holder belongs to one goroutine.
//
// The limits are divided into as many slots as gatherers are planned. Each gatherer has one slot, numbered below
// Settings.Slots, and without any communication uses no other. The slot of a gatherer that is gone is used by the
// next running gatherer after it in the ring of numbers, and by no other: however much membership views differ, two
// gatherers never use one slot at the same time.
//
// A membership view is no sufficient evidence that a gatherer is gone: it can't distinguish a dead gatherer from a
// partitioned one, and both sides of a partition would take over the slots of the other. So a Holder relies only on
// refused connections: if the host of a slot's address refuses one, nothing listens there, so no process of that
// slot runs. A missing reply proves nothing. A gatherer whose process is paused no longer answers, but its host still
// accepts connections; a host that has lost its power refuses nothing, and its slots stay unused.
//
// A refusal is valid for Settings.Lease from the start of the connection, on the clock of the gatherer that was
// refused. A starting gatherer first listens, and then uses no slot, not even its own, for Settings.Wait, which is
// longer: any gatherer that was refused before this one listened has stopped using its slot by then.
//
// A starting gatherer may shorten the wait by asking. The only gatherers that may use its slot are those after it in
// the ring, up to the first one that is running and has completed its own wait: none beyond that one can have found
// it gone since. So it questions them one after the other. A gatherer that has completed its wait replies for how
// long its claims remain valid, on the asker's slot and on all slots beyond it in the ring, and discards its findings
// about them. A gatherer that is still waiting uses nothing, and neither does one whose host refuses the connection.
// If one does not reply, the full wait remains.
//
// What a process did in the window before its end is not counted any more after its end, as is the case when limits
// are not divided and a gatherer restarts.
package share

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"time"
)

// Settings configure a Holder. All gatherers of a fleet must have the same Slots and Window.
type Settings struct {
	Slots  int // number of planned gatherers
	Number int // own slot, from 0
	// Lease is how long a refusal is valid. A shorter lease shortens the wait of a starting gatherer, and costs
	// proportionally more connections to each slot before its own whose gatherer is gone.
	Lease time.Duration
	// Window is the span over which the limits count. A slot is taken over only after it has been gone for that
	// long, and a starting gatherer uses its slot only that long after all other running gatherers have stopped
	// using it. So no window contains the use of one slot by two running gatherers.
	Window time.Duration
	Seed   uint64 // of the random times between dials
}

const (
	// DefaultLease is long compared with a dial, which takes some milliseconds, and with a turn of the loop. Without
	// a Window, a starting gatherer waits little longer than the lease.
	DefaultLease = time.Second

	// driftDivisor is the inverse of the fraction (1/50) by which the clocks of two machines may drift apart: some
	// hundred times the drift of a bad quartz.
	driftDivisor = 50

	renewDivisor     = 3 // a refusal is renewed after a third of its lease, so two dials may fail
	maxQuestionTries = 2 // of a question without a reply, because one connection may be lost
	maxSlots         = 4096
)

var errInvalidSettings = errors.New("share: invalid settings")

// Check returns an error that describes the first invalid setting, if there is one.
func (s Settings) Check() error {
	switch {
	case s.Slots < 1 || s.Slots > maxSlots:
		return fmt.Errorf("%w: %d slots, want 1 to %d", errInvalidSettings, s.Slots, maxSlots)
	case s.Number < 0 || s.Number >= s.Slots:
		return fmt.Errorf("%w: number %d, want 0 to %d", errInvalidSettings, s.Number, s.Slots-1)
	case s.Lease < 10*time.Millisecond || s.Lease > time.Minute:
		return fmt.Errorf("%w: a lease of %v, want 10ms to 1m", errInvalidSettings, s.Lease)
	case s.Window < 0 || s.Window > time.Hour:
		return fmt.Errorf("%w: a window of %v, want 0 to 1h", errInvalidSettings, s.Window)
	}
	return nil
}

// Wait returns how long a starting gatherer uses no slot, counted from when it listens.
func (s Settings) Wait() time.Duration {
	return s.Lease + s.Lease/driftDivisor + s.Window + s.Window/driftDivisor
}

// Share is what a gatherer may use: its own slot and those directly before it, Slots in all, until Until. After
// that it may use its own slot only. If Until is zero, the share has no end.
type Share struct {
	Slots int
	Until time.Time
}

// Counts are the counters of a Holder. They are written as JSON under the names of the fields.
type Counts struct {
	Asked, Refused, Silent int // dials to slots that seem gone; those that were refused; those that were not
	Questions              int // sent at the start
	Most                   int // the maximum number of slots that were held at the same time
}

// slotState is what a Holder knows about another slot.
type slotState struct {
	dialBegun time.Time // start of the dial in progress; zero if there is none
	lastDial  time.Time // start of the last dial
	goneSince time.Time // since when all dials have been refused; zero if the slot is not known to be gone
	goneUntil time.Time // when the last refusal expires
}

// Dial is a connection to a slot's address, made to find out whether it is refused.
type Dial struct {
	Slot  int
	Begun time.Time
}

// Reply is the outcome of a starting gatherer's question to another one about its slot.
type Reply struct {
	Kind ReplyKind
	Wait time.Duration // Clear: time until the asker may use its slot
}

// ReplyKind is the kind of a Reply.
type ReplyKind int

// The kinds of replies.
const (
	NoReply ReplyKind = iota // no reply arrived
	Refused                  // the host refused the connection
	Waiting                  // the gatherer has started itself, and uses no slot yet
	Clear                    // the gatherer has completed its wait, and uses the asker's slot no longer than Wait
)

// Holder tracks which slots one gatherer may use. Create it with New once the gatherer listens at its slot's address.
type Holder struct {
	settings       Settings
	randN          func(n int64) int64 // returns a random number below n
	readyAt        time.Time           // no slot is used before this time
	questionOffset int                 // how many places after its own slot the next one to question is; 0 if there is none
	questionOpen   bool                // a question is in progress
	questionTries  int                 // unanswered tries of the current question
	slotStates     map[int]*slotState  // from the slot before its own back to the first one not known to be gone
	usedUntil      map[int]time.Time   // slots used recently, and until when their use was claimed
	counts         Counts
}

// New returns a Holder for a gatherer that has begun to listen.
func New(settings Settings, now time.Time) (*Holder, error) {
	if err := settings.Check(); err != nil {
		return nil, err
	}
	randN := rand.New(rand.NewPCG(settings.Seed, 0x73686172)).Int64N
	h := &Holder{settings: settings, randN: randN, readyAt: now.Add(settings.Wait()), slotStates: make(map[int]*slotState), usedUntil: make(map[int]time.Time)}
	if settings.Slots > 1 {
		h.questionOffset = 1
	} else {
		h.readyAt = now
	}
	return h, nil
}

// slotBefore returns the slot n places before the Holder's own slot.
func (h *Holder) slotBefore(n int) int {
	return ((h.settings.Number-n)%h.settings.Slots + h.settings.Slots) % h.settings.Slots
}

// distance returns how many places before the Holder's own slot another slot is.
func (h *Holder) distance(slot int) int { return h.slotBefore(slot) } // the calculation is its own inverse

// forgetFrom drops the states of all slots at the given distance before the Holder's own slot, and beyond.
func (h *Holder) forgetFrom(distance int) {
	for n := distance; n < h.settings.Slots; n++ {
		delete(h.slotStates, h.slotBefore(n))
	}
}

// isGone reports whether the gatherer of a slot is certainly gone now.
func (s *slotState) isGone(now time.Time) bool {
	return s != nil && !s.goneSince.IsZero() && now.Before(s.goneUntil)
}

// redialInterval returns the time between two dials to the same slot.
func (h *Holder) redialInterval() time.Duration {
	longest := h.settings.Lease / renewDivisor
	return longest*3/4 + time.Duration(h.randN(int64(longest/4)+1))
}

// NextQuestion returns the slot whose gatherer this one, while it starts, must question now about its own slot. ok is
// false if there is none. The caller must report the outcome of each question with QuestionEnded.
func (h *Holder) NextQuestion(now time.Time) (slot int, ok bool) {
	if h.questionOffset == 0 || h.questionOpen || !now.Before(h.readyAt) {
		return 0, false
	}
	h.questionOpen = true
	h.counts.Questions++
	return (h.settings.Number + h.questionOffset) % h.settings.Slots, true
}

// QuestionEnded processes the outcome of a question.
func (h *Holder) QuestionEnded(now time.Time, r Reply) {
	if !h.questionOpen {
		return
	}
	h.questionOpen = false
	if r.Kind == NoReply {
		if h.questionTries++; h.questionTries >= maxQuestionTries {
			h.questionOffset = 0
		}
		return
	}
	h.questionTries = 0
	switch h.questionOffset++; {
	case r.Kind == Clear:
		h.questionOffset = 0
		h.advanceReady(now.Add(r.Wait + r.Wait/driftDivisor))
	case h.questionOffset == h.settings.Slots: // all others have just started too, or are gone
		h.questionOffset = 0
		h.advanceReady(now)
	}
}

// advanceReady lets the gatherer use its own slot from t on, unless it may use it earlier.
func (h *Holder) advanceReady(t time.Time) {
	if t.Before(h.readyAt) {
		h.readyAt = t
	}
}

// Answer replies to the question of another slot's gatherer, which has started and listens. What the Holder has found
// out about that slot before is discarded.
func (h *Holder) Answer(now time.Time, slot int) Reply {
	reply := Reply{Kind: Clear}
	distance := h.distance(slot)
	h.forgetFrom(distance) // the slots beyond it are reached only through it
	for n := distance; n < h.settings.Slots; n++ {
		if until, ok := h.usedUntil[h.slotBefore(n)]; ok {
			reply.Wait = max(reply.Wait, until.Sub(now)+h.windowWithDrift())
		}
	}
	if now.Before(h.readyAt) {
		return Reply{Kind: Waiting}
	}
	return reply
}

// windowWithDrift returns the window, measured on the slower of two clocks.
func (h *Holder) windowWithDrift() time.Duration {
	return h.settings.Window + h.settings.Window/driftDivisor
}

// NextDials returns the dials to make now. alive reports whether the membership view has an alive member for a slot: such
// slots are not dialed. The caller must report the outcome of each dial with DialEnded.
func (h *Holder) NextDials(now time.Time, alive func(slot int) bool) (dials []Dial) {
	// reach covers the slots that are known to be gone, and the next one. No slot is dialed before all nearer ones are
	// known to be gone: a starting gatherer then needs to question only as far as the first running one.
	reach := 1
	for reach < h.settings.Slots && h.slotStates[h.slotBefore(reach)].isGone(now) {
		reach++
	}
	reach = min(reach+1, h.settings.Slots)
	inReach := make(map[int]bool)
	for n := 1; n < reach; n++ {
		slot := h.slotBefore(n)
		if alive(slot) { // no slot beyond it can be taken over
			break
		}
		inReach[slot] = true
		state := h.slotStates[slot]
		if state == nil {
			state = &slotState{}
			h.slotStates[slot] = state
		}
		if state.dialBegun.IsZero() && (state.lastDial.IsZero() || now.Sub(state.lastDial) >= h.redialInterval()) {
			state.dialBegun, state.lastDial = now, now
			h.counts.Asked++
			dials = append(dials, Dial{slot, now})
		}
	}
	for slot := range h.slotStates {
		if !inReach[slot] {
			delete(h.slotStates, slot)
		}
	}
	for slot, until := range h.usedUntil {
		if now.Sub(until) > h.windowWithDrift() {
			delete(h.usedUntil, slot)
		}
	}
	return dials
}

// DialEnded processes the outcome of a dial: refused by the slot's host, or not. Not refused are an accepted
// connection, a missing response and a missing route.
func (h *Holder) DialEnded(now time.Time, dial Dial, refused bool) {
	state := h.slotStates[dial.Slot]
	if state == nil || !state.dialBegun.Equal(dial.Begun) || state.dialBegun.IsZero() {
		return // the state that the dial belongs to was dropped
	}
	state.dialBegun = time.Time{}
	if !refused {
		// Earlier refusals stay valid until they expire: the slot's gatherer waits for that.
		h.counts.Silent++
		return
	}
	h.counts.Refused++
	if !state.isGone(now) {
		state.goneSince = now // the process may have ended while the dial was in progress
		h.forgetFrom(h.distance(dial.Slot) + 1)
	}
	state.goneUntil = dial.Begun.Add(h.settings.Lease)
}

// Share returns what may be used now.
func (h *Holder) Share(now time.Time) Share {
	if now.Before(h.readyAt) {
		return Share{0, h.readyAt}
	}
	share := Share{Slots: 1}
	for share.Slots < h.settings.Slots {
		state := h.slotStates[h.slotBefore(share.Slots)]
		if !state.isGone(now) || now.Sub(state.goneSince) < h.windowWithDrift() {
			break
		}
		if share.Until.IsZero() || state.goneUntil.Before(share.Until) {
			share.Until = state.goneUntil
		}
		share.Slots++
	}
	for n := 1; n < share.Slots; n++ {
		if slot := h.slotBefore(n); share.Until.After(h.usedUntil[slot]) { // never shortened: what was claimed before may still be in use
			h.usedUntil[slot] = share.Until
		}
	}
	h.counts.Most = max(h.counts.Most, share.Slots)
	return share
}

// Due returns when NextDials and Share are to be called next, at the latest.
func (h *Holder) Due(now time.Time) time.Time { return now.Add(h.settings.Lease / renewDivisor / 4) }

// Counts returns the counters.
func (h *Holder) Counts() Counts { return h.counts }
