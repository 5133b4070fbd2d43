package fake

import (
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"net"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"eiderwinch/internal/trial/partaudit"
)

// Part is one part of a call, as parsed by a searcher.
type Part struct {
	ID        string // query id, dot, shard; with the suffix ".b" in a second step
	Shard     int
	WaitLimit time.Duration // how long the gatherer waits for the answer
	Key       string        // idempotency key; empty for classes without keys
	Answered  []int         // second step: the shards that answered the first step
	Text      string
	Fields    string // the list of fields as received
}

// IsSecondStep reports whether the part belongs to a second step.
func (p Part) IsSecondStep() bool { return strings.HasSuffix(p.ID, ".b") }

// Outcome is the outcome of a part.
type Outcome string

// The outcomes of parts.
const (
	Served  Outcome = "served"
	Broke   Outcome = "broke"   // the part failed
	Skipped Outcome = "skipped" // the part was not run
)

// Answer is a searcher's answer to a part.
type Answer struct {
	Outcome Outcome
	Score   int64
	Value   string
}

// Handler computes the answer to a part and how long serving it takes. It must be safe for
// concurrent use.
type Handler interface {
	// Handle runs a part at the searcher with the given id.
	Handle(searcher string, p Part) (Answer, time.Duration)
}

// SearcherOptions configures a Searcher.
type SearcherOptions struct {
	ID       string
	Handler  Handler
	Slots    int           // number of parts served at the same time; 0 means 4, as on the platform's two cores
	Queue    int           // number of parts that can wait for a slot, further ones are skipped; 0 means 64
	CallCost time.Duration // time that a call takes in addition to its parts

	// Received is called with each part as soon as its frame has arrived; nil for none. It must be safe for concurrent use.
	Received func(Part)

	// Audit is told of all parts that are received and answered; nil means one of the searcher's own.
	Audit *partaudit.Audit
	// Trouble returns the trouble that comes with an answer to a part, beside which a number of other parts wait on the
	// connection; nil for none. It must be safe for concurrent use.
	Trouble func(p Part, waiting int) Trouble
}

// Searcher is a fake searcher on loopback. Its methods are safe for concurrent use.
type Searcher struct {
	opts     SearcherOptions
	server   *Server
	admitted chan struct{} // semaphore: parts that are served or wait for a slot
	running  chan struct{} // semaphore: parts that are served
	closed   chan struct{} // closed by Close

	mu       sync.Mutex
	draining bool
	counts   Counts
}

// Counts holds the counters of a Searcher.
type Counts struct {
	Calls, Parts, Cancels  int
	Served, Broke, Skipped int
	AfterDrain             int // parts received while draining
}

const (
	defaultSlots = 4
	defaultQueue = 64
	maxFrameSize = 1 << 20 // in bytes, without the length field; the longest call has a few texts of 64 KiB
)

// NewSearcher starts a Searcher on a free loopback port.
func NewSearcher(o SearcherOptions) (*Searcher, error) {
	if o.Slots == 0 {
		o.Slots = defaultSlots
	}
	if o.Queue == 0 {
		o.Queue = defaultQueue
	}
	if o.Audit == nil {
		o.Audit = partaudit.New()
	}
	s := &Searcher{
		opts: o, admitted: make(chan struct{}, o.Slots+o.Queue), running: make(chan struct{}, o.Slots), closed: make(chan struct{}),
	}
	var err error
	if s.server, err = Listen(s.serve); err != nil {
		return nil, err
	}
	return s, nil
}

// Addr returns the address that s listens on.
func (s *Searcher) Addr() string { return s.server.Addr() }

// ID returns the searcher's id in discovery.
func (s *Searcher) ID() string { return s.opts.ID }

// Drain makes the searcher skip all parts that it receives from now on.
func (s *Searcher) Drain() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.draining = true
}

// Counts returns the counters so far.
func (s *Searcher) Counts() Counts {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.counts
}

func (s *Searcher) updateCounts(f func(*Counts)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	f(&s.counts)
}

// Close stops the searcher as if it had crashed: open connections are closed and
// new ones are refused.
func (s *Searcher) Close() error {
	s.mu.Lock()
	select {
	case <-s.closed:
	default:
		close(s.closed)
	}
	s.mu.Unlock()
	return s.server.Close()
}

// gathererConn is a gatherer's connection to the searcher.
type gathererConn struct {
	conn     net.Conn
	mu       sync.Mutex   // guards writes and unusable
	unusable bool         // nothing more is answered on the connection: it has had trouble, or has ended
	waiting  atomic.Int64 // parts that are not answered and whose cancel was not read

	cancelByPart sync.Map // part id -> chan struct{}, closed by a cancel frame
}

// end is called when the gatherer has closed the connection, which gives up all parts on it.
func (g *gathererConn) end() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.unusable = true
}

func (g *gathererConn) write(body string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	WriteFrame(g.conn, body)
}

// WriteFrame writes a frame in one call of Write. The body starts with the frame's
// letter. Errors are ignored, because the reader of a broken connection fails as well
// and closes it.
func WriteFrame(w io.Writer, body string) {
	b := binary.BigEndian.AppendUint32(make([]byte, 0, 4+len(body)), uint32(len(body)))
	_, _ = w.Write(append(b, body...))
}

func (s *Searcher) serve(c net.Conn) {
	g := &gathererConn{conn: c}
	var activeParts sync.WaitGroup
	defer activeParts.Wait()
	defer g.end()
	for {
		letter, payload, err := ReadFrame(c)
		if err != nil {
			if errors.Is(err, errMalformedFrame) {
				g.write("e" + err.Error())
			}
			return
		}
		switch letter {
		case 'p':
			g.write("pserved")
		case 'l':
			g.write("l-")
		case 'c':
			s.updateCounts(func(n *Counts) { n.Cancels++ })
			if c, ok := g.cancelByPart.LoadAndDelete(payload); ok {
				g.waiting.Add(-1)
				close(c.(chan struct{}))
			}
		case 'q':
			list, err := ParseCall(payload)
			if err != nil {
				g.write("e" + err.Error())
				return
			}
			s.acceptCall(g, list, &activeParts)
		default:
			g.write("eunknown letter")
			return
		}
	}
}

// acceptCall starts serving the parts of a call. It skips parts for which the queue has no
// room, and all parts while the searcher drains. The cost of the call is added to the first
// part that is not skipped.
func (s *Searcher) acceptCall(g *gathererConn, list []Part, activeParts *sync.WaitGroup) {
	cost := s.opts.CallCost
	s.updateCounts(func(n *Counts) { n.Calls++; n.Parts += len(list) })
	for _, p := range list {
		if s.opts.Received != nil {
			s.opts.Received(p)
		}
		s.opts.Audit.Received(p.ID, s.opts.ID, time.Now())
		s.mu.Lock()
		draining := s.draining
		if draining {
			s.counts.AfterDrain++
		}
		s.mu.Unlock()
		skip := draining
		if !draining {
			select {
			case s.admitted <- struct{}{}:
			default:
				skip = true
			}
		}
		if skip {
			s.answer(g, p, Answer{Outcome: Skipped})
			continue
		}
		cancelled := make(chan struct{})
		g.cancelByPart.Store(p.ID, cancelled)
		g.waiting.Add(1)
		activeParts.Add(1)
		go func(cost time.Duration) {
			defer activeParts.Done()
			defer func() { <-s.admitted }()
			s.servePart(g, p, cost, cancelled)
		}(cost)
		cost = 0
	}
}

// servePart waits for a slot and serves a part. A cancel frame has an effect only while
// the part waits.
func (s *Searcher) servePart(g *gathererConn, p Part, cost time.Duration, cancelled chan struct{}) {
	defer g.stopWaiting(p.ID, cancelled)
	select {
	case s.running <- struct{}{}:
	case <-cancelled:
		return
	case <-s.closed:
		return
	}
	defer func() { <-s.running }()
	a, duration := s.opts.Handler.Handle(s.opts.ID, p)
	if duration += cost; duration > 0 {
		t := time.NewTimer(duration)
		defer t.Stop()
		select {
		case <-t.C:
		case <-s.closed:
			return
		}
	}
	g.stopWaiting(p.ID, cancelled)
	good := s.answer(g, p, a)
	select {
	case <-cancelled: // the part was given up before: its answer does not end it
	default:
		if good {
			s.opts.Audit.Answered(p.ID, s.opts.ID, time.Now())
		}
	}
}

// stopWaiting records that a part does not wait for its answer any more, unless its cancel was read.
func (g *gathererConn) stopWaiting(part string, cancelled chan struct{}) {
	if g.cancelByPart.CompareAndDelete(part, cancelled) {
		g.waiting.Add(-1)
	}
}

// answer writes the answer to a part. It reports whether that was a whole good answer.
func (s *Searcher) answer(g *gathererConn, p Part, a Answer) (good bool) {
	s.updateCounts(func(n *Counts) {
		switch a.Outcome {
		case Served:
			n.Served++
		case Broke:
			n.Broke++
		default:
			n.Skipped++
		}
	})
	good = g.writeTroubled(fmt.Sprintf("a%s %s %d -\n%s", p.ID, a.Outcome, a.Score, a.Value), s.drawTrouble(g, p, a))
	return good && a.Outcome == Served
}

// errMalformedFrame is wrapped by the errors about malformed frames and calls.
var errMalformedFrame = errors.New("malformed frame")

// ReadFrame reads one frame and returns its letter, which tells its type, and its payload.
func ReadFrame(r io.Reader) (letter byte, payload string, err error) {
	var size [4]byte
	if _, err := io.ReadFull(r, size[:]); err != nil {
		return 0, "", err
	}
	n := binary.BigEndian.Uint32(size[:])
	if n == 0 || n > maxFrameSize {
		return 0, "", fmt.Errorf("%w: length %d", errMalformedFrame, n)
	}
	b := make([]byte, n)
	if _, err := io.ReadFull(r, b); err != nil {
		return 0, "", err
	}
	return b[0], string(b[1:]), nil
}

// ParseCall parses the payload of a call. Each part is a line "ID SHARD LIST LENGTH"
// followed by a text of LENGTH bytes.
func ParseCall(payload string) ([]Part, error) {
	var list []Part
	for payload != "" {
		line, after, ok := strings.Cut(payload, "\n")
		f := strings.Split(line, " ")
		if !ok || len(f) != 4 {
			return nil, fmt.Errorf("%w: part line %.60q", errMalformedFrame, line)
		}
		p := Part{ID: f[0], Fields: f[2]}
		n, err := strconv.Atoi(f[3])
		if err != nil || n < 0 || n > len(after) {
			return nil, fmt.Errorf("%w: text length %.20q", errMalformedFrame, f[3])
		}
		if p.Shard, err = strconv.Atoi(f[1]); err != nil {
			return nil, fmt.Errorf("%w: shard %.20q", errMalformedFrame, f[1])
		}
		if err := p.parseFields(f[2]); err != nil {
			return nil, err
		}
		p.Text, payload = after[:n], after[n:]
		list = append(list, p)
	}
	return list, nil
}

// parseFields parses the list of fields of a part.
func (p *Part) parseFields(text string) error {
	for _, field := range strings.Split(text, ",") {
		key, value, ok := strings.Cut(field, "=")
		if !ok {
			return fmt.Errorf("%w: list field %.40q", errMalformedFrame, field)
		}
		switch key {
		case "d":
			ms, err := strconv.Atoi(value)
			if err != nil || ms < 1 {
				return fmt.Errorf("%w: d is %.20q", errMalformedFrame, value)
			}
			p.WaitLimit = time.Duration(ms) * time.Millisecond
		case "k":
			p.Key = value
		case "from":
			for _, s := range strings.Split(value, "+") {
				shard, err := strconv.Atoi(s)
				if err != nil {
					return fmt.Errorf("%w: from is %.40q", errMalformedFrame, value)
				}
				p.Answered = append(p.Answered, shard)
			}
		}
	}
	return nil
}
