// Package answerstream decides which of the answers that arrive on a connection to a searcher may
// be used. It does no I/O and reads no clock.
//
// The length of a searcher's frame may be wrong. If it is too short, the frame still parses, and
// its value lacks the bytes that stand behind it. The frame itself does not show that. So the
// package maintains one invariant:
//
//	No value is used once data behind its frame has shown that the length of the frame may be wrong.
//
// While other parts wait on the connection, the data behind an answer has to be another answer to
// a part that was sent there, and whatever else follows shows that the answer can't be trusted.
// While none waits, a searcher may send surplus data behind a good answer, and such data shows
// nothing.
//
// An answer with other parts waiting is therefore held for up to HoldTime, unless the next answer
// confirms it earlier. After that it is handed over, but it can still be withdrawn until its query
// has been answered; see Stream.Withdrawn.
package answerstream

import (
	"errors"
	"fmt"
	"time"

	"eiderwinch/internal/format/frame"
)

// HoldTime is how long an answer is held while nothing behind it confirms or refutes it. The rest
// of what a searcher has written in one piece arrives within this time.
const HoldTime = 10 * time.Millisecond

var (
	errFrameRejected = errors.New("searcher rejected a frame")
	errUnsolicited   = errors.New("unsolicited frame")
	errSwallowed     = errors.New("value contains the start of another answer")
)

// Answer is an answer that may be used.
type Answer struct {
	frame.Result
	ReceivedAt time.Time
}

// trust is how far the last answer on a connection is trusted.
type trust int

const (
	settled     trust = iota // final, or there is none
	held                     // not handed over yet
	provisional              // handed over, but may be withdrawn
)

// Basis is why an answer counts.
type Basis string

// The reasons.
const (
	Unconfirmed Basis = "unconfirmed"    // it does not count yet, or there is none
	Alone       Basis = "alone"          // nothing else waited on the connection when it arrived
	Confirmed   Basis = "confirmed"      // another answer stands behind it
	HoldOver    Basis = "hold time over" // HoldTime has passed
	ConnEnded   Basis = "connection ended"
)

// Stream is what is received on one connection to a searcher. It knows the parts that were sent on
// the connection. The zero value is not usable; see New. A Stream is not safe for concurrent use.
type Stream struct {
	parser    frame.Parser
	sent      uint64            // number of parts and cancels sent so far
	read      uint64            // how many of these the searcher has certainly read
	inFlight  map[string]uint64 // parts that wait for their answer, by ID; the value of sent behind each
	abandoned map[string]uint64 // cancelled parts that may still be answered; the value of sent behind each cancel
	last      Answer            // the last answer to a part in flight
	lastTrust trust
	basis     Basis // why the last answer counts
}

// New returns a Stream for a new connection.
func New() *Stream {
	return &Stream{inFlight: make(map[string]uint64), abandoned: make(map[string]uint64)}
}

// Sent records that a part was sent on the connection.
func (s *Stream) Sent(id string) {
	s.sent++
	s.inFlight[id] = s.sent
}

// NotSent takes back Sent for a part whose frame will not be sent whole: it has no answer.
func (s *Stream) NotSent(id string) { delete(s.inFlight, id) }

// Abandon records that the answer to a part in flight is no longer wanted. It reports whether the
// searcher has to be sent a cancel: not if the part's answer has arrived and is still held.
func (s *Stream) Abandon(id string) (cancel bool) {
	if s.lastTrust == held && s.last.ID == id {
		s.lastTrust = settled
		return false
	}
	delete(s.inFlight, id)
	s.sent++
	s.abandoned[id] = s.sent
	return true
}

// MayAnswerAbandoned reports whether an answer to an abandoned part may still arrive.
func (s *Stream) MayAnswerAbandoned(id string) bool { return s.abandoned[id] > 0 }

// Abandoned returns the number of abandoned parts that may still be answered.
func (s *Stream) Abandoned() int { return len(s.abandoned) }

// Incomplete returns the bytes received of a frame whose rest is missing. They are valid until the
// next call of Receive.
func (s *Stream) Incomplete() []byte { return s.parser.Unparsed() }

// LastAnswered returns the ID of the part that was answered last, when its answer arrived and why it counts.
func (s *Stream) LastAnswered() (id string, at time.Time, basis Basis) {
	return s.last.ID, s.last.ReceivedAt, s.basis
}

// Received is what Receive has found in the data.
type Received struct {
	Usable []Answer // the answers that may be used now, in the order of their arrival
	Late   []string // IDs of abandoned parts whose answers have arrived
	Frames int      // complete frames
	// Answered is whether a part was answered, be it that its answer is held or that nobody waits for it any more.
	Answered bool
}

// Receive takes data that has arrived. An error means that nothing more can be read from the
// connection. The answers returned with it may be used all the same, that which is held may not;
// see also Withdrawn.
func (s *Stream) Receive(now time.Time, data []byte) (r Received, err error) {
	s.parser.Feed(data)
	for {
		if s.namesKnownPart(s.parser.Unparsed()) {
			s.confirm(&r)
		}
		f, ok, err := s.parser.Next()
		if err != nil || !ok {
			return r, err
		}
		r.Frames++
		if err := s.receiveFrame(now, f, &r); err != nil {
			return r, err
		}
	}
}

// confirm makes the last answer final, and usable if it was held.
func (s *Stream) confirm(r *Received) {
	if s.lastTrust == held {
		r.Usable = append(r.Usable, s.last)
	}
	if s.lastTrust != settled {
		s.basis = Confirmed
	}
	s.lastTrust = settled
}

// namesKnownPart reports whether data begins like an answer to a part that was sent on the
// connection. The rest of a value that was cut off does not.
func (s *Stream) namesKnownPart(data []byte) bool {
	id, ok := frame.AnswerID(data)
	return ok && (s.inFlight[id] > 0 || s.abandoned[id] > 0 || id == s.last.ID)
}

// othersWait reports whether the searcher may still have to answer a part on this connection. An
// abandoned part waits until the searcher has read its cancel.
func (s *Stream) othersWait() bool {
	if len(s.inFlight) > 0 {
		return true
	}
	for _, cancel := range s.abandoned {
		if cancel > s.read {
			return true
		}
	}
	return false
}

// receiveFrame handles one frame.
func (s *Stream) receiveFrame(now time.Time, f frame.Frame, r *Received) error {
	switch f.Type {
	case frame.Answer:
	case frame.Error:
		return fmt.Errorf("%w: %.80q", errFrameRejected, f.Payload)
	default:
		return s.unsolicited(f.Type)
	}
	answer, err := frame.ParseAnswer(f.Payload)
	if err != nil {
		return err
	}
	if position := s.inFlight[answer.ID]; position > 0 {
		s.confirm(r) // unless its ID was too long to be found before
		return s.receiveAnswer(Answer{answer, now}, position, r)
	}
	if s.abandoned[answer.ID] > 0 {
		delete(s.abandoned, answer.ID)
		r.Late = append(r.Late, answer.ID)
		r.Answered = true
		return nil
	}
	if answer.ID == s.last.ID {
		return nil
	}
	return s.unsolicited(f.Type)
}

// receiveAnswer handles an answer to a part in flight.
func (s *Stream) receiveAnswer(a Answer, position uint64, r *Received) error {
	r.Answered = true
	delete(s.inFlight, a.ID)
	if s.containsAnswer(a.Value) {
		return errSwallowed
	}
	s.read = max(s.read, position) // the searcher reads in order
	s.last, s.lastTrust, s.basis = a, settled, Alone
	if a.End == frame.Served && s.othersWait() {
		s.lastTrust, s.basis = held, Unconfirmed
		return nil
	}
	r.Usable = append(r.Usable, a)
	return nil
}

// unsolicited handles a frame that nothing has asked for. While parts wait, it stands in place of
// an answer and is an error; otherwise it is surplus data behind an answer.
func (s *Stream) unsolicited(frameType byte) error {
	if s.othersWait() {
		return fmt.Errorf("%w: type %q", errUnsolicited, frameType)
	}
	return nil
}

// containsAnswer reports whether a value contains the start of an answer to another part in flight:
// the length of its frame was too long.
func (s *Stream) containsAnswer(value string) bool {
	for id := range s.inFlight {
		if frame.ContainsAnswer(value, id) {
			return true
		}
	}
	return false
}

// Waiting returns the number of parts in flight whose answers have not arrived.
func (s *Stream) Waiting() int { return len(s.inFlight) }

// HeldUntil returns when Settle is to be called; zero if no answer is held, or if the data behind
// it has to be completed first.
func (s *Stream) HeldUntil() time.Time {
	if s.lastTrust != held || len(s.Incomplete()) > 0 {
		return time.Time{}
	}
	return s.last.ReceivedAt.Add(HoldTime)
}

// Settle returns the held answer if its time is over and nothing stands behind it. All data that
// was received until now has to be passed to Receive before.
func (s *Stream) Settle(now time.Time) (a Answer, ok bool) {
	if until := s.HeldUntil(); until.IsZero() || now.Before(until) {
		return Answer{}, false
	}
	s.lastTrust, s.basis = provisional, HoldOver
	return s.last, true
}

// End returns the held answer if it may be used although its connection has ended: nothing stands
// behind it.
func (s *Stream) End() (a Answer, ok bool) {
	if s.HeldUntil().IsZero() {
		return Answer{}, false
	}
	s.lastTrust, s.basis = settled, ConnEnded
	return s.last, true
}

// Withdrawn returns the ID of an answer that was handed over and must not be used any more. It is
// called once the connection can't be read any further: after an error of Receive, or if a frame
// has stayed incomplete for too long.
func (s *Stream) Withdrawn() (id string, ok bool) {
	if s.lastTrust != provisional || !s.othersWait() {
		return "", false
	}
	s.lastTrust = settled
	return s.last.ID, true
}
