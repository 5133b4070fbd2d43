// Package hostile plays clients that behave badly towards a gatherer, beside usual ones. A Kind says
// what such a client does; an Attack is a number of them. Addresses are expected to be on loopback.
package hostile

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"maps"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

// Kind is what a hostile client does.
type Kind string

// The kinds of clients.
const (
	StalledBody     Kind = "stalled body"     // sends nine tenths of a 64 KiB request, then a byte each 0.2 s
	PiecewiseBody   Kind = "piecewise body"   // sends a 64 KiB query in pieces of 1,500 bytes, over one second
	ShortFields     Kind = "short fields"     // sends a 16 KiB head of shortest fields, then half a body
	LongHead        Kind = "long head"        // sends a 16 KiB head of few fields, then stops
	TrickledHead    Kind = "trickled head"    // sends a head byte by byte
	TinyChunks      Kind = "tiny chunks"      // sends a 64 KiB body in chunks of one byte with extensions, then stops
	LargeQueries    Kind = "large queries"    // sends sound queries of 60 KiB, one after the other
	WideQueries     Kind = "wide queries"     // sends 64 KiB of parts
	NestedQueries   Kind = "nested queries"   // sends 64 KiB of opening brackets
	UnreadAnswers   Kind = "unread answers"   // sends requests at full speed and reads nothing
	LargePipeline   Kind = "large pipeline"   // sends a query and 80 KiB of further requests behind it
	HealthFlood     Kind = "health flood"     // sends health requests at full speed and reads the answers
	UnsoundFlood    Kind = "unsound flood"    // sends unsound queries at full speed, each with a new id
	NewClasses      Kind = "new classes"      // sends queries at full speed, each with a new class
	NewTenants      Kind = "new tenants"      // sends sound queries, each with a new tenant, key and id
	Leavers         Kind = "leavers"          // send hundreds of queries at once and close at once
	ConnectionChurn Kind = "connection churn" // opens and closes connections at full speed
	Silent          Kind = "silent"           // opens a connection and says nothing
)

// Kinds returns all kinds.
func Kinds() []Kind {
	return []Kind{
		StalledBody, PiecewiseBody, ShortFields, LongHead, TrickledHead, TinyChunks, LargeQueries, WideQueries, NestedQueries,
		UnreadAnswers, LargePipeline, HealthFlood, UnsoundFlood, NewClasses, NewTenants, Leavers, ConnectionChurn, Silent,
	}
}

// Attack is a number of clients of one kind.
type Attack struct {
	Kind     Kind
	Clients  int
	Addr     string // of the gatherer
	Segments int    // number of segments of the catalogue
	Seed     uint64
	KeepOpen bool // clients keep their connections when the attack ends, until the gatherer closes them
}

// Report is what the clients of an attack have seen.
type Report struct {
	Connections   int
	Answers       map[int]int   // by status
	LongestToEnd  time.Duration // longest time from connecting to an error or a close, of the clients that are owed one
	Unended       int           // connections that were owed an error or a close and got neither
	ConnectFailed int
	Left          map[string]time.Time // when a client of kind Leavers closed its connection, by the prefix of its ids
}

// String returns the report as one line.
func (r Report) String() string {
	return fmt.Sprintf("connections %d (%d failed), answers %v, longest time to an error or a close %v, without either %d",
		r.Connections, r.ConnectFailed, r.Answers, r.LongestToEnd.Round(time.Millisecond), r.Unended)
}

// endsBy is how long after connecting a client that stops or is unsound is owed an error or a close.
const endsBy = 3 * time.Second

// dialTimeout bounds a connect. The system's queue of the listener may be full.
const dialTimeout = 5 * time.Second

// attacker runs one attack.
type attacker struct {
	Attack
	body   []byte // of the messages, if they share one
	mu     sync.Mutex
	report Report
}

// Run runs the attack until ctx ends, and reports what its clients have seen.
func (a Attack) Run(ctx context.Context) Report {
	r := &attacker{Attack: a, report: Report{Answers: make(map[int]int), Left: make(map[string]time.Time)}}
	if body := behaviors[a.Kind].body; body != nil {
		r.body = []byte(body(a.Segments))
	}
	var clients sync.WaitGroup
	for i := range a.Clients {
		clients.Add(1)
		go func() {
			defer clients.Done()
			r.runClient(ctx, i)
		}()
	}
	clients.Wait()
	return r.result()
}

// result returns a copy of the report: some readers may still be ending.
func (a *attacker) result() Report {
	a.mu.Lock()
	defer a.mu.Unlock()
	report := a.report
	report.Answers, report.Left = maps.Clone(report.Answers), maps.Clone(report.Left)
	return report
}

// session is one connection of a hostile client.
type session struct {
	net.Conn
	behavior
	attacker  *attacker
	name      string // unique among the connections of all attacks
	rng       *rand.Rand
	first     *message // until it is taken
	number    int      // of the message that was built last
	connected time.Time
	owed      bool // an error or a close is owed within endsBy
	stopping  sync.Once
	once      sync.Once
	ended     chan struct{} // closed once an error or a close has been received
	endedAt   time.Time     // when that was; set before ended is closed
}

// message is what a client writes at once.
type message struct {
	head string
	body []byte // shared by all clients of an attack: hundreds that each copied 64 KiB would wait for a processor, not for the gatherer
}

// behavior is what a client of a kind does.
type behavior struct {
	run func(context.Context, *session) // uses an open connection
	// request builds a message, numbered from 1 on. The first is built before the client connects, so that the time this takes
	// doesn't count as the gatherer's. It is nil for kinds that write otherwise.
	request func(s *session, number int) message
	body    func(segments int) string // of the messages of an attack, if they share one
}

// behaviors holds what a client of each kind does.
var behaviors = map[Kind]behavior{
	StalledBody:     {sendAndTrickle, stalledBody, largeBody},
	PiecewiseBody:   {run: sendPieces},
	ShortFields:     {run: sendAndTrickle, request: shortFields},
	LongHead:        {run: sendAndTrickle, request: longHead},
	TrickledHead:    {run: sendAndTrickle, request: shortHead},
	TinyChunks:      {run: sendAndTrickle, request: tinyChunks},
	LargeQueries:    {converse, sharedQuery, largeBodyForAll},
	WideQueries:     {converse, sharedQuery, wideBody},
	NestedQueries:   {converse, sharedQuery, nestedBody},
	UnreadAnswers:   {run: ignoreAnswers},
	LargePipeline:   {run: pipeline},
	HealthFlood:     {run: flood, request: oneWrite(health)},
	UnsoundFlood:    {run: flood, request: oneWrite(unsoundQuery)},
	NewClasses:      {run: flood, request: oneWrite(newClass)},
	NewTenants:      {run: converse, request: newTenant},
	Leavers:         {run: leave},
	ConnectionChurn: {run: churn},
	Silent:          {run: stayWithoutRequest},
}

// owesEnd holds the kinds whose clients stop in a request or are unsound.
var owesEnd = map[Kind]bool{
	StalledBody: true, ShortFields: true, LongHead: true, TrickledHead: true, TinyChunks: true, WideQueries: true, NestedQueries: true,
	UnsoundFlood: true, NewClasses: true, Silent: true,
}

// runClient uses one connection after the other until ctx ends.
func (a *attacker) runClient(ctx context.Context, number int) {
	rng := rand.New(rand.NewPCG(a.Seed, uint64(number)))
	for i := 0; ctx.Err() == nil; i++ {
		s := a.newSession(fmt.Sprintf("h%s-%d-%d-%d", strings.ReplaceAll(string(a.Kind), " ", ""), a.Seed, number, i), rng)
		if !s.connect(ctx) {
			sleep(ctx, 10*time.Millisecond)
			continue
		}
		stop := context.AfterFunc(ctx, s.stop)
		s.run(ctx, s)
		stop()
		s.finish(ctx)
	}
}

// newSession returns a session with its first request, not connected yet.
func (a *attacker) newSession(name string, rng *rand.Rand) *session {
	s := &session{behavior: behaviors[a.Kind], attacker: a, name: name, rng: rng, owed: owesEnd[a.Kind], ended: make(chan struct{})}
	if s.request != nil {
		first := s.next()
		s.first = &first
	}
	return s
}

// next returns the next message.
func (s *session) next() message {
	if first := s.first; first != nil {
		s.first = nil
		return *first
	}
	s.number++
	return s.request(s, s.number)
}

// send writes a message.
func (s *session) send(m message) error {
	buffers := net.Buffers{[]byte(m.head), m.body}
	_, err := buffers.WriteTo(s.Conn)
	return err
}

// requestName returns the id of a request, unique among all attacks.
func (s *session) requestName(number int) string { return fmt.Sprintf("%s-%d", s.name, number) }

// connect opens the connection, and reports whether it is open.
func (s *session) connect(ctx context.Context) bool {
	a := s.attacker
	dialer := net.Dialer{Timeout: dialTimeout}
	conn, err := dialer.DialContext(ctx, "tcp", a.Addr)
	s.connected = time.Now()
	a.mu.Lock()
	defer a.mu.Unlock()
	if err != nil {
		a.report.ConnectFailed++
		return false
	}
	a.report.Connections++
	s.Conn = conn
	return true
}

// stop ends what the client is doing when the attack ends. What has arrived by then counts, though the client had no
// processor to read it.
func (s *session) stop() {
	if s.attacker.KeepOpen {
		return
	}
	s.stopping.Do(func() {
		if at, received := unreadEnd(s.Conn); received {
			s.markEnded(at)
		}
		s.once.Do(func() {}) // what the reader sees from here on is this close
		_ = s.Close()
	})
}

// finish closes the connection and counts whether an error or a close came that was owed. A client that keeps its
// connection open waits for the gatherer to close it.
func (s *session) finish(ctx context.Context) {
	if s.owed {
		select {
		case <-s.ended:
		case <-ctx.Done():
			s.stop()
		case <-time.After(time.Until(s.connected.Add(2 * endsBy))):
		}
		s.countEnd(ctx)
	}
	if s.attacker.KeepOpen && ctx.Err() != nil {
		_, _ = io.Copy(io.Discard, s)
	}
	_ = s.Close()
}

func (s *session) countEnd(ctx context.Context) {
	a := s.attacker
	a.mu.Lock()
	defer a.mu.Unlock()
	select {
	case <-s.ended:
		a.report.LongestToEnd = max(a.report.LongestToEnd, s.endedAt.Sub(s.connected))
	default:
		if ctx.Err() == nil || time.Since(s.connected) > endsBy {
			a.report.Unended++
		}
	}
}

// markEnded records that an error or a close was received.
func (s *session) markEnded(at time.Time) {
	s.once.Do(func() {
		s.endedAt = at
		close(s.ended)
	})
}

// readAnswers reads answers until the connection ends.
func (s *session) readAnswers() { s.readEach(func() {}) }

// readEach reads answers until the connection ends, and calls read after each.
func (s *session) readEach(read func()) {
	defer func() { s.markEnded(time.Now()) }()
	in := bufio.NewReader(s)
	for {
		response, err := http.ReadResponse(in, nil)
		if errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) {
			s.markEnded(arrivedAt(s.Conn, sinceSegment))
		}
		if err != nil {
			return
		}
		_, err = io.Copy(io.Discard, response.Body)
		_ = response.Body.Close()
		s.countAnswer(response.StatusCode)
		if response.StatusCode >= http.StatusBadRequest {
			s.markEnded(arrivedAt(s.Conn, sinceData))
		}
		if err != nil {
			return
		}
		read()
	}
}

func (s *session) countAnswer(status int) {
	s.attacker.mu.Lock()
	defer s.attacker.mu.Unlock()
	s.attacker.report.Answers[status]++
}

// sleep waits, and reports whether ctx is still open.
func sleep(ctx context.Context, d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-t.C:
		return true
	}
}

// reset makes the close of a connection send RST in place of FIN.
func reset(c net.Conn) {
	if tcp, ok := c.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
}
