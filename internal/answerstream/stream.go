// Package answerstream decides which of the answers that arrive on a connection to a searcher may
// be used. It does no I/O and reads no clock.
//
// The length of a searcher's frame may be wrong. If it is too short, the frame still parses, and
// its value lacks the bytes that stand behind it. The frame itself does not show that. So the
// package maintains one invariant:
//
//	No answer is confirmed if data behind its frame has shown that the length of the frame may be wrong.
//
// While other parts wait on the connection, the data behind an answer has to be another answer to
// a part that was sent there, and whatever else follows shows that the answer can't be trusted.
// While none waits, a searcher may send surplus data behind a good answer, and such data shows
// nothing.
//
// An answer with other parts waiting is therefore provisional until the next answer confirms it.
// No time limit does: nothing bounds the time between two pieces of what a searcher sends. At the end of
// the connection it is in doubt, since the end may have cut off what was to stand behind the answer. Whoever
// uses a provisional answer has to wait for its confirmation for as long as its query allows.
package answerstream

import (
	"bytes"
	"errors"
	"fmt"
	"strings"
	"time"

	"eiderwinch/internal/format/frame"
)

// ErrFrameRejected reports that the searcher could not use a frame that was sent to it, and closes the connection.
var ErrFrameRejected = errors.New("searcher rejected a frame")

var (
	errUnsolicited = errors.New("unsolicited frame")
	errSwallowed   = errors.New("value contains the start of another answer")
)

// Answer is an answer to a part in flight.
type Answer struct {
	frame.Result
	ReceivedAt  time.Time
	Late        bool // the part was abandoned before: the searcher may have answered before it read the cancel
	Provisional bool // what follows on the connection may still show that the value is cut short
}

// Basis is why an answer counts.
type Basis string

// The reasons.
const (
	Unconfirmed Basis = "unconfirmed" // it is provisional, or there is none
	Alone       Basis = "alone"       // nothing else waited on the connection when it arrived, or waits any more
	Confirmed   Basis = "confirmed"   // another answer stands behind it
)

// Stream is what is received on one connection to a searcher. It knows the parts that were sent on
// the connection. The zero value is not usable; see New. A Stream is not safe for concurrent use.
type Stream struct {
	parser    frame.Parser
	sent      uint64            // number of parts and cancels sent so far
	read      uint64            // how many of these the searcher has certainly read
	inFlight  map[string]uint64 // parts that wait for their answer, by ID; the value of sent behind each
	abandoned map[string]uint64 // cancelled parts that may still be answered; the value of sent behind each cancel
	last      Answer            // the last answer
	basis     Basis             // why the last answer counts
	rejected  []byte            // the payload of the frame that Receive returned an error for
}

// New returns a Stream for a new connection.
func New() *Stream {
	return &Stream{inFlight: make(map[string]uint64), abandoned: make(map[string]uint64), basis: Unconfirmed}
}

// Sent records that a part was sent on the connection.
func (s *Stream) Sent(id string) {
	s.sent++
	s.inFlight[id] = s.sent
}

// NotSent takes back Sent for a part whose frame will not be sent whole: it has no answer. If nothing
// else waits now, that confirms the provisional answer, whose ID is returned; otherwise confirmed is empty.
func (s *Stream) NotSent(id string) (confirmed string) {
	delete(s.inFlight, id)
	if !s.last.Provisional || s.othersWait() {
		return ""
	}
	s.settle(Alone)
	return s.last.ID
}

// Abandon records that the answer to a part in flight is no longer wanted, and that its cancel was sent.
func (s *Stream) Abandon(id string) {
	delete(s.inFlight, id)
	s.sent++
	s.abandoned[id] = s.sent
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
	Answers   []Answer // in the order of their arrival; only the last may be provisional
	Confirmed string   // ID of the provisional answer of an earlier Receive that is confirmed now; empty if there is none
	Frames    int      // complete frames
}

// Receive takes data that has arrived. An error means that nothing more can be read from the
// connection. The answers returned with it are valid all the same, but a provisional one is in doubt
// then; see Doubtful.
func (s *Stream) Receive(now time.Time, data []byte) (r Received, err error) {
	s.parser.Feed(data)
	err = s.receiveFrames(now, &r)
	return r, err
}

// receiveFrames handles all complete frames.
func (s *Stream) receiveFrames(now time.Time, r *Received) error {
	for {
		if s.namesKnownPart(s.parser.Unparsed()) {
			s.confirm(r)
		}
		f, ok, err := s.parser.Next()
		if err != nil || !ok {
			return err
		}
		r.Frames++
		if err := s.receiveFrame(now, f, r); err != nil {
			s.rejected = bytes.Clone(f.Payload)
			return err
		}
	}
}

// confirm makes the provisional answer final, if there is one.
func (s *Stream) confirm(r *Received) {
	if !s.last.Provisional {
		return
	}
	s.settle(Confirmed)
	if n := len(r.Answers); n > 0 {
		r.Answers[n-1].Provisional = false // it is the last answer
		return
	}
	r.Confirmed = s.last.ID
}

// settle makes the last answer final.
func (s *Stream) settle(basis Basis) { s.last.Provisional, s.basis = false, basis }

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
		return fmt.Errorf("%w: %.80q", ErrFrameRejected, f.Payload)
	default:
		return s.unsolicited(f.Type)
	}
	answer, err := frame.ParseAnswer(f.Payload)
	if err != nil {
		return err
	}
	position := s.inFlight[answer.ID]
	a := Answer{Result: answer, ReceivedAt: now, Late: position == 0 && s.abandoned[answer.ID] > 0}
	if position > 0 || a.Late {
		s.confirm(r)                   // unless its ID was too long to be found before
		s.read = max(s.read, position) // the searcher reads in order
		return s.receiveAnswer(a, r)
	}
	if answer.ID == s.last.ID {
		return nil
	}
	return s.unsolicited(f.Type)
}

// receiveAnswer handles an answer to a part in flight or an abandoned one.
func (s *Stream) receiveAnswer(a Answer, r *Received) error {
	delete(s.inFlight, a.ID)
	delete(s.abandoned, a.ID)
	if s.containsAnswer(a.Value) {
		return errSwallowed
	}
	a.Provisional = a.End == frame.Served && s.othersWait()
	s.last, s.basis = a, Alone
	if a.Provisional {
		s.basis = Unconfirmed
	}
	r.Answers = append(r.Answers, a)
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

// containsAnswer reports whether a value contains the start of an answer to another part that may be
// answered: the length of its frame was too long.
func (s *Stream) containsAnswer(value string) bool {
	if !strings.Contains(value, "\x00") { // a valid length of a frame begins with this byte
		return false
	}
	for _, parts := range []map[string]uint64{s.inFlight, s.abandoned} {
		for id := range parts {
			if frame.ContainsAnswer(value, id) {
				return true
			}
		}
	}
	return false
}

// maxSkipped bounds the data, in bytes, that Skip keeps.
const maxSkipped = 256 << 10

// Skip takes data that arrives after Receive has returned an error.
func (s *Stream) Skip(data []byte) {
	if s.parser.Buffered()+len(data) <= maxSkipped {
		s.parser.Feed(data)
	}
}

// MayHaveAnswered reports whether a whole answer to a part stands in data that can't be read as frames: behind an error of
// Receive, in the frame that has caused it, or in a frame that is incomplete. Whether that answer is good can't be told.
func (s *Stream) MayHaveAnswered(id string) bool {
	unparsed := s.parser.Unparsed()
	if len(s.rejected) == 0 {
		return frame.ContainsWholeAnswer(unparsed, id)
	}
	return frame.ContainsWholeAnswer(append(bytes.Clone(s.rejected), unparsed...), id) // it may begin in the one and end in the other
}

// Waiting returns the number of parts in flight whose answers have not arrived.
func (s *Stream) Waiting() int { return len(s.inFlight) }

// HasProvisional reports whether the last answer is provisional.
func (s *Stream) HasProvisional() bool { return s.last.Provisional }

// Doubtful returns the ID of the provisional answer, if there is one, which must not be used any more. It is
// called once the connection can't be read any further: after an error of Receive, if a frame has stayed
// incomplete for too long, or at the end of the connection, since what stood behind the answer may be missing.
// The answer may have been good all the same: data that is no answer may be the rest of it, or what a searcher
// has sent in place of the answer to another part.
func (s *Stream) Doubtful() (id string, ok bool) {
	if !s.last.Provisional {
		return "", false
	}
	s.last.Provisional = false
	return s.last.ID, true
}
