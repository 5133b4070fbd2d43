package transport

import (
	"context"
	"errors"
	"io"
	"math/rand/v2"
	"sync"
	"syscall"
	"time"

	"github.com/fxamacker/cbor/v2"

	"eiderwinch/internal/fleet/membership"
	"eiderwinch/internal/fleet/share"
)

// slotManager determines which slots of the fleet's limits this member may use. It dials the addresses of
// slots whose gatherers seem gone, and when it starts it questions the gatherers after it in the ring.
type slotManager struct {
	node     *Node
	addrs    []string
	settings share.Settings
	results  chan dialResult // outcomes of dials and questions
	updates  chan share.Share
	dials    sync.WaitGroup

	mu      sync.Mutex // guards the fields below; the holder's methods take only some microseconds
	holder  *share.Holder
	current share.Share
}

// dialResult is the outcome of a connection to a slot's address.
type dialResult struct {
	dial       share.Dial
	isQuestion bool
	reply      share.Reply
}

// questionMessage is a starting gatherer's question about its slot, and the reply to it. It is CBOR with
// numbered fields, sent over a stream whose first byte is 0. The asker draws Nonce, so that an older reply is
// not accepted.
type questionMessage struct {
	Slot  int             `cbor:"1,keyasint"` // of the asker
	Nonce uint64          `cbor:"2,keyasint"`
	Kind  share.ReplyKind `cbor:"3,keyasint,omitempty"`
	Wait  time.Duration   `cbor:"4,keyasint,omitempty"`
}

func newSlotManager(n *Node, addrs []string, settings share.Settings) (*slotManager, error) {
	holder, err := share.New(settings, time.Now())
	if err != nil {
		return nil, err
	}
	manager := &slotManager{
		node: n, holder: holder, addrs: addrs, settings: settings, results: make(chan dialResult), updates: make(chan share.Share, 1),
	}
	manager.current = holder.Share(time.Now())
	return manager, nil
}

// Share returns what the member may use of the fleet's limits. ok is false if they are not divided, or if n is
// nil. It is safe for concurrent use.
func (n *Node) Share() (s share.Share, ok bool) {
	if n == nil || n.slots == nil {
		return s, false
	}
	s, _ = n.slots.state()
	return s, true
}

// WatchShare returns a channel that receives the member's share each time it changes. A slow reader misses
// intermediate values, never the latest. The channel is closed when the node ends. There is one channel, which
// every call returns, so it is meant for one reader.
func (n *Node) WatchShare() <-chan share.Share { return n.slots.updates }

// state returns the current share and the holder's counters.
func (s *slotManager) state() (share.Share, share.Counts) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.current, s.holder.Counts()
}

// aliveSlots returns a function that reports whether the membership view has an alive member at a slot's address.
func aliveSlots(v membership.View, slots []string) func(slot int) bool {
	alive := make(map[string]bool)
	for _, m := range v.Members {
		if m.State == membership.Alive {
			alive[m.Addr] = true
		}
	}
	return func(slot int) bool { return alive[slots[slot]] }
}

// run carries out dials and questions until the node ends.
func (s *slotManager) run() {
	defer s.node.done.Done()
	defer close(s.updates)
	defer s.dials.Wait() // all dials end with the node's context
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-s.node.ctx.Done():
			return
		case result := <-s.results:
			s.handleResult(result)
		case <-timer.C:
		}
		timer.Reset(time.Until(s.step()))
	}
}

// handleResult passes the outcome of a connection to the holder.
func (s *slotManager) handleResult(result dialResult) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if result.isQuestion {
		s.holder.QuestionEnded(time.Now(), result.reply)
	} else {
		s.holder.DialEnded(time.Now(), result.dial, result.reply.Kind == share.Refused)
	}
}

// step starts the dials and questions that are due, and returns when the next step is due.
func (s *slotManager) step() time.Time {
	alive := aliveSlots(s.node.View(), s.addrs)
	s.mu.Lock()
	now := time.Now()
	dials := s.holder.NextDials(now, alive)
	slot, question := s.holder.NextQuestion(now)
	usable, due := s.holder.Share(now), s.holder.Due(now)
	s.mu.Unlock()
	s.dials.Add(len(dials))
	for _, dial := range dials {
		go s.connect(dialResult{dial: dial})
	}
	if question {
		s.dials.Add(1)
		go s.connect(dialResult{dial: share.Dial{Slot: slot}, isQuestion: true})
	}
	s.publish(usable)
	return due
}

// connect dials a slot's address, to find out whether the connection is refused, or to ask a question.
func (s *slotManager) connect(result dialResult) {
	defer s.dials.Done()
	ctx, cancel := context.WithTimeout(s.node.ctx, s.settings.Lease/2)
	defer cancel()
	conn, err := s.node.dialer().DialContext(ctx, "tcp", s.addrs[result.dial.Slot])
	switch {
	case errors.Is(err, syscall.ECONNREFUSED):
		result.reply.Kind = share.Refused
	case err == nil:
		if result.isQuestion {
			_ = conn.SetDeadline(time.Now().Add(s.settings.Lease / 2))
			result.reply = s.exchangeQuestion(conn)
		}
		_ = conn.Close()
	}
	select {
	case s.results <- result:
	case <-s.node.ctx.Done():
	}
}

// exchangeQuestion sends the question and reads the reply. An unreadable or invalid reply counts as none.
func (s *slotManager) exchangeQuestion(conn io.ReadWriter) (r share.Reply) {
	request := questionMessage{Slot: s.settings.Number, Nonce: rand.Uint64()} // from the runtime's generator, because a seeded one could repeat a nonce
	b, err := cbor.Marshal(request)
	if err != nil {
		return r
	}
	var sealed []byte
	if !s.node.call(func() { sealed, err = s.node.cfg.Sealer.Seal(time.Now(), append([]byte{0}, b...)) }) || err != nil {
		return r
	}
	if _, err := conn.Write(frame(sealed)); err != nil {
		return r
	}
	if sealed, err = readFrame(conn); err != nil {
		return r
	}
	var response questionMessage
	if !s.node.call(func() { b, err = s.node.cfg.Sealer.Open(time.Now(), sealed) }) || err != nil ||
		cbor.Unmarshal(b, &response) != nil || response.Slot != request.Slot || response.Nonce != request.Nonce ||
		response.Kind > share.Clear || response.Wait < 0 || response.Wait > time.Hour {
		return r
	}
	return share.Reply{Kind: response.Kind, Wait: response.Wait}
}

// answerQuestion returns the reply to a question, or nil if it can't be answered.
func (s *slotManager) answerQuestion(data []byte) []byte {
	var question questionMessage
	if s == nil || cbor.Unmarshal(data, &question) != nil ||
		question.Slot < 0 || question.Slot >= s.settings.Slots || question.Slot == s.settings.Number {
		return nil
	}
	s.mu.Lock()
	reply := s.holder.Answer(time.Now(), question.Slot)
	s.mu.Unlock()
	question.Kind, question.Wait = reply.Kind, reply.Wait
	data, err := cbor.Marshal(question)
	if err != nil {
		return nil
	}
	return data
}

// publish hands the share to the reader if it has changed.
func (s *slotManager) publish(next share.Share) {
	s.mu.Lock()
	previous := s.current
	s.current = next
	s.mu.Unlock()
	if next == previous {
		return
	}
	if next.Slots != previous.Slots {
		s.node.cfg.Log.Info("share", "slots", next.Slots, "of", s.settings.Slots, "until", next.Until)
	}
	select {
	case <-s.updates: // discards the previous share if it was not read
	default:
	}
	s.updates <- next
}
