// Package testpeer provides searchers, a discovery service and clients on loopback sockets.
// The test decides which messages each of them sends, and when. The searchers parse frames
// with package fake, whose own searchers answer without the test.
package testpeer

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"eiderwinch/internal/trial/fake"
)

// Timeout bounds each wait of a test for an event that must happen. Only a failing test
// waits that long.
const Timeout = 20 * time.Second

// Receive receives a value from a channel. It fails the test if none arrives within Timeout.
func Receive[T any](t testing.TB, from <-chan T, what string) T {
	t.Helper()
	select {
	case v := <-from:
		return v
	case <-time.After(Timeout):
		t.Fatalf("timed out waiting for %s", what)
		panic("not reached")
	}
}

// WaitUntil waits until a condition holds. It fails the test if that takes longer than Timeout.
func WaitUntil(t testing.TB, what string, condition func() bool) {
	t.Helper()
	for end := time.Now().Add(Timeout); !condition(); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("%s: condition does not hold after %v", what, Timeout)
		}
	}
}

// KeyFile returns the text of a key file with one valid shared secret.
func KeyFile(name string) string {
	return fmt.Sprintf(`<keys xmlns="urn:eiderwinch:keys:1"><key name=%q algorithm="blake3" value="%s=" from="2020-01-01T00:00:00Z" until="9000-01-01T00:00:00Z"/></keys>`,
		name, strings.Repeat("A", 43))
}

// listen serves connections on a loopback port until the test ends, and returns its address.
func listen(t testing.TB, serve func(net.Conn)) string {
	s, err := fake.Listen(serve)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = s.Close() })
	return s.Addr()
}

// Searcher is a searcher that passes the parts and cancels it receives to the test, which
// sends the answers.
type Searcher struct {
	Addr        string
	Parts       chan Part
	Cancels     chan string   // ids of cancelled parts
	ClosedConns chan struct{} // receives a value for each connection that has ended

	readsFirst int           // frames that each connection reads before it waits for resumed
	resumed    chan struct{} // nil if the searcher reads all the time
}

// Part is a part that a Searcher has received. Call is the number of the frame that carried
// it, counted from 0 on its connection; cancels are counted too.
type Part struct {
	ID, Fields, Text string
	Shard, Call      int
	Conn             net.Conn
}

// NewSearcher starts a Searcher that runs until the test ends.
func NewSearcher(t testing.TB) *Searcher {
	s := &Searcher{Parts: make(chan Part, 100), Cancels: make(chan string, 100), ClosedConns: make(chan struct{}, 100)}
	s.Addr = listen(t, s.serve)
	return s
}

// The receive buffers of a stalled searcher, in bytes: the first bounds what the system accepts for it, beside the sender's
// buffer.
const (
	stalledReadBuffer = 4 << 10
	resumedReadBuffer = 1 << 20
)

// NewStalledSearcher starts a Searcher that reads the given number of frames on each connection, and then nothing until
// resume is called.
func NewStalledSearcher(t testing.TB, frames int) (s *Searcher, resume func()) {
	s = &Searcher{
		Parts: make(chan Part, 100), Cancels: make(chan string, 100), ClosedConns: make(chan struct{}, 100),
		readsFirst: frames, resumed: make(chan struct{}),
	}
	s.Addr = listen(t, s.serve)
	resume = sync.OnceFunc(func() { close(s.resumed) })
	t.Cleanup(resume) // runs before the cleanup of the listener, which waits for the connections
	return s, resume
}

// awaitResume waits until the searcher may read a frame of a connection. Then it reads at full speed.
func (s *Searcher) awaitResume(c net.Conn, framesRead int) {
	if s.resumed != nil && framesRead == s.readsFirst {
		<-s.resumed
		_ = c.(*net.TCPConn).SetReadBuffer(resumedReadBuffer)
	}
}

func (s *Searcher) serve(c net.Conn) {
	defer func() { s.ClosedConns <- struct{}{} }()
	if s.resumed != nil {
		_ = c.(*net.TCPConn).SetReadBuffer(stalledReadBuffer)
	}
	for call := 0; ; call++ {
		s.awaitResume(c, call)
		letter, payload, err := fake.ReadFrame(c)
		if err != nil {
			return
		}
		if letter == 'c' {
			s.Cancels <- payload
			continue
		}
		parts, err := fake.ParseCall(payload)
		if err != nil {
			panic("malformed call: " + err.Error())
		}
		for _, p := range parts {
			s.Parts <- Part{p.ID, p.Fields, p.Text, p.Shard, call, c}
		}
	}
}

// Answer sends the answer to the part: how the part ended, its score and its value.
func (p Part) Answer(end string, score int, value string) {
	p.Write(fmt.Sprintf("a%s %s %d -\n%s", p.ID, end, score, value))
}

// Write sends a frame on the part's connection.
func (p Part) Write(body string) { fake.WriteFrame(p.Conn, body) }

// WriteRaw sends bytes on the part's connection, which need not form a frame.
func (p Part) WriteRaw(text string) { _, _ = io.WriteString(p.Conn, text) }

// Discovery is a discovery service that passes the open watches to the test, which writes to
// them.
type Discovery struct {
	Addr    string
	Watches chan *Watch

	list chan string // holds the response to requests for the whole member list
}

// Watch is an open watch of a Discovery.
type Watch struct {
	From string // the revision in the request
	Conn net.Conn
}

// NewDiscovery starts a Discovery that runs until the test ends.
func NewDiscovery(t testing.TB) *Discovery {
	d := &Discovery{Watches: make(chan *Watch, 100), list: make(chan string, 1)}
	ended := make(chan struct{})
	d.Addr = listen(t, func(c net.Conn) {
		in := bufio.NewReader(c)
		r, err := http.ReadRequest(in)
		if err == nil && r.URL.Path == "/catalog/members" && r.URL.RawQuery == "" {
			var list string
			select {
			case list = <-d.list:
				d.list <- list
			case <-ended: // SetList was never called; return, since closing the listener waits for its connections
				return
			}
			fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(list), list)
			r, err = http.ReadRequest(in)
		}
		if err != nil || r.URL.Path != "/catalog/members" || r.URL.Query().Get("watch") != "1" {
			c.Close()
			return
		}
		fmt.Fprint(c, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
		select {
		case d.Watches <- &Watch{r.URL.Query().Get("from"), c}:
		case <-ended:
		}
		<-ended // the test uses the connection until then
	})
	t.Cleanup(func() { close(ended) }) // runs before the cleanup of the listener, which waits for the connections
	return d
}

// SetList sets the response to requests for the whole member list, including those that
// already wait for it. A second call blocks.
func (d *Discovery) SetList(list string) { d.list <- list }

// Send sends a line on the watch, as one HTTP chunk.
func (w *Watch) Send(line string) { fmt.Fprintf(w.Conn, "%x\r\n%s\n\r\n", len(line)+1, line) }

// Member returns an entry of a member list, in JSON.
func Member(id, addr, phase string, upSinceMS int64) string {
	return fmt.Sprintf(`{"id":%q,"host_port":%q,"locality":"a","flavor":"m","cell":0,"phase":%q,"size":1,"up_since_ms":%d}`,
		id, addr, phase, upSinceMS)
}

// MemberList returns a member list in JSON, or an update of one if complete is false.
func MemberList(revision int, complete bool, members ...string) string {
	return fmt.Sprintf(`{"revision":%d,"complete":%t,"members":[%s]}`, revision, complete, strings.Join(members, ","))
}

// Query returns the text of an HTTP request for a query of the given number of parts.
func Query(class, trace string, expires time.Duration, parts int) string {
	return QueryWithStatement(class, trace, expires, parts, "text")
}

// QueryWithStatement is Query with a statement, which must not need escapes in JSON.
func QueryWithStatement(class, trace string, expires time.Duration, parts int, statement string) string {
	var list []string
	for i := range parts {
		list = append(list, fmt.Sprintf(`{"tablet":%d,"fraction":%v}`, i, 1/float64(parts)))
	}
	body := fmt.Sprintf(`{"tablets":[%s],"statement":%q}`, strings.Join(list, ","), statement)
	return fmt.Sprintf("POST /%s HTTP/1.1\r\nHost: b\r\nX-Qos: %s\r\nX-Trace-Id: %s\r\nIdempotency-Key: k\r\n"+
		"X-Expires-In-Ms: %d\r\nContent-Length: %d\r\n\r\n%s", class, class, trace, expires.Milliseconds(), len(body), body)
}

// Client is a client's connection to a gatherer.
type Client struct {
	net.Conn
	t  testing.TB
	in *bufio.Reader
}

// NewClient connects to a gatherer. The connection has a deadline of Timeout and is closed
// when the test ends.
func NewClient(t testing.TB, addr string) *Client {
	c, err := net.Dial("tcp", addr)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { c.Close() })
	_ = c.SetDeadline(time.Now().Add(Timeout))
	return &Client{c, t, bufio.NewReader(c)}
}

// Send sends text unchanged and returns the client.
func (c *Client) Send(text string) *Client {
	if _, err := io.WriteString(c, text); err != nil {
		c.t.Fatal(err)
	}
	return c
}

// ReadResponse reads one response and returns it with its body.
func (c *Client) ReadResponse() (*http.Response, string) {
	c.t.Helper()
	r, err := http.ReadResponse(c.in, nil)
	if err != nil {
		c.t.Fatal(err)
	}
	b, err := io.ReadAll(r.Body)
	if err != nil {
		c.t.Fatal(err)
	}
	return r, string(b)
}

// ExpectClosed waits until the gatherer has closed the connection, and fails the test if it sends
// anything before.
func (c *Client) ExpectClosed() {
	c.t.Helper()
	if b, err := io.ReadAll(c.in); len(b) > 0 || err != nil {
		c.t.Errorf("want the connection closed, got %q, %v", b, err)
	}
}

// CloseWrite closes the client's sending direction of the connection.
func (c *Client) CloseWrite() { _ = c.Conn.(*net.TCPConn).CloseWrite() }

// Reset resets the connection, as when the client's process dies.
func (c *Client) Reset() {
	_ = c.Conn.(*net.TCPConn).SetLinger(0)
	c.Close()
}

// SetReadBuffer sets the size of the socket's receive buffer: it bounds the data that the
// client has received but not yet read.
func (c *Client) SetReadBuffer(bytes int) { _ = c.Conn.(*net.TCPConn).SetReadBuffer(bytes) }
