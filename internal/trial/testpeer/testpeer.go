// Package testpeer hands the parties round a gatherer to a test, which decides
// what each says and when: searchers, discovery and clients on loopback sockets.
// Its searchers read as those of package standin do, which decide for themselves.
package testpeer

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"eiderwinch/internal/trial/standin"
)

// Patience is how long a test waits for what must come; only a failing test uses it up.
const Patience = 20 * time.Second

// Get receives from a channel, or ends the test.
func Get[T any](t testing.TB, from <-chan T, what string) T {
	t.Helper()
	select {
	case v := <-from:
		return v
	case <-time.After(Patience):
		t.Fatalf("%s did not come", what)
		panic("not reached")
	}
}

// Until waits until something is so, or ends the test.
func Until(t testing.TB, what string, is func() bool) {
	t.Helper()
	for end := time.Now().Add(Patience); !is(); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("%s: not so after %v", what, Patience)
		}
	}
}

// KeyFile is the text of a key file with one shared secret that holds.
func KeyFile(name string) string {
	return fmt.Sprintf(`<keys xmlns="urn:eiderwinch:keys:1"><key name=%q algorithm="blake3" value="%s=" from="2020-01-01T00:00:00Z" until="9000-01-01T00:00:00Z"/></keys>`,
		name, strings.Repeat("A", 43))
}

func listen(t testing.TB, serve func(net.Conn)) string {
	s, err := standin.Listen(serve)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = s.Close() })
	return s.Addr()
}

// Searcher takes frames and leaves it to the test to answer.
type Searcher struct {
	Addr    string
	Parts   chan Part
	Cancels chan string
	Ends    chan struct{} // one for each connection that the gatherer has closed
}

// Part is one part that has arrived. Call numbers the frames of a connection.
type Part struct {
	ID, List, Text string
	Shard, Call    int
	Conn           net.Conn
}

// NewSearcher starts a Searcher.
func NewSearcher(t testing.TB) *Searcher {
	s := &Searcher{Parts: make(chan Part, 100), Cancels: make(chan string, 100), Ends: make(chan struct{}, 100)}
	s.Addr = listen(t, s.serve)
	return s
}

func (s *Searcher) serve(c net.Conn) {
	defer func() { s.Ends <- struct{}{} }()
	for call := 0; ; call++ {
		letter, rest, err := standin.ReadFrame(c)
		if err != nil {
			return
		}
		if letter == 'c' {
			s.Cancels <- rest
			continue
		}
		parts, err := standin.ParseCall(rest)
		if err != nil {
			panic("malformed call: " + err.Error())
		}
		for _, p := range parts {
			s.Parts <- Part{p.ID, p.List, p.Text, p.Shard, call, c}
		}
	}
}

// Answer answers a part.
func (p Part) Answer(end string, score int, value string) {
	p.Write(fmt.Sprintf("a%s %s %d -\n%s", p.ID, end, score, value))
}

// Write sends a frame.
func (p Part) Write(rest string) { standin.WriteFrame(p.Conn, rest) }

// Raw sends bytes that need not be a frame.
func (p Part) Raw(text string) { _, _ = io.WriteString(p.Conn, text) }

// Discovery hands the watches that are opened to the test.
type Discovery struct {
	Addr    string
	Watches chan *Watch

	whole chan string // holds the answer to those who ask for the whole list
}

// Watch is one open watch.
type Watch struct {
	From string // the revision asked from
	Conn net.Conn
}

// NewDiscovery starts a Discovery.
func NewDiscovery(t testing.TB) *Discovery {
	d := &Discovery{Watches: make(chan *Watch, 100), whole: make(chan string, 1)}
	ended := make(chan struct{})
	d.Addr = listen(t, func(c net.Conn) {
		in := bufio.NewReader(c)
		r, err := http.ReadRequest(in)
		if err == nil && r.URL.Path == "/catalog/members" && r.URL.RawQuery == "" {
			var list string
			select {
			case list = <-d.whole:
				d.whole <- list
			case <-ended: // it was asked and never told: the listener waits for its connections
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
		<-ended // the test has it until then
	})
	t.Cleanup(func() { close(ended) }) // before the listener's own
	return d
}

// Tell answers those who ask for the whole list, or have asked for it, from now on.
func (d *Discovery) Tell(list string) { d.whole <- list }

// Send writes a line.
func (w *Watch) Send(line string) { fmt.Fprintf(w.Conn, "%x\r\n%s\n\r\n", len(line)+1, line) }

// Member is a searcher in a list.
func Member(id, addr, phase string, upSinceMS int64) string {
	return fmt.Sprintf(`{"id":%q,"host_port":%q,"locality":"a","flavor":"m","cell":0,"phase":%q,"size":1,"up_since_ms":%d}`,
		id, addr, phase, upSinceMS)
}

// List is a list, or changes to one.
func List(revision int, complete bool, members ...string) string {
	return fmt.Sprintf(`{"revision":%d,"complete":%t,"members":[%s]}`, revision, complete, strings.Join(members, ","))
}

// Query is the text of a request for a query of so many parts.
func Query(class, trace string, expires time.Duration, parts int) string {
	var list []string
	for i := range parts {
		list = append(list, fmt.Sprintf(`{"tablet":%d,"fraction":%v}`, i, 1/float64(parts)))
	}
	body := fmt.Sprintf(`{"tablets":[%s],"statement":"text"}`, strings.Join(list, ","))
	return fmt.Sprintf("POST /%s HTTP/1.1\r\nHost: b\r\nX-Qos: %s\r\nX-Trace-Id: %s\r\nIdempotency-Key: k\r\n"+
		"X-Expires-In-Ms: %d\r\nContent-Length: %d\r\n\r\n%s", class, class, trace, expires.Milliseconds(), len(body), body)
}

// Client is one client connection.
type Client struct {
	net.Conn
	t   testing.TB
	buf *bufio.Reader
}

// NewClient connects to a gatherer.
func NewClient(t testing.TB, addr string) *Client {
	c, err := net.Dial("tcp", addr)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { c.Close() })
	_ = c.SetDeadline(time.Now().Add(Patience))
	return &Client{c, t, bufio.NewReader(c)}
}

// Say writes text as it is.
func (c *Client) Say(text string) *Client {
	if _, err := io.WriteString(c, text); err != nil {
		c.t.Fatal(err)
	}
	return c
}

// Hear reads one answer.
func (c *Client) Hear() (*http.Response, string) {
	c.t.Helper()
	r, err := http.ReadResponse(c.buf, nil)
	if err != nil {
		c.t.Fatal(err)
	}
	b, err := io.ReadAll(r.Body)
	if err != nil {
		c.t.Fatal(err)
	}
	return r, string(b)
}

// Closed waits until the gatherer has closed the connection.
func (c *Client) Closed() {
	c.t.Helper()
	if b, err := io.ReadAll(c.buf); len(b) > 0 || err != nil {
		c.t.Errorf("instead of an end: %q, %v", b, err)
	}
}

// CloseWrite ends the way from the client to the gatherer.
func (c *Client) CloseWrite() { _ = c.Conn.(*net.TCPConn).CloseWrite() }

// Reset ends the connection as a process that has died does.
func (c *Client) Reset() {
	_ = c.Conn.(*net.TCPConn).SetLinger(0)
	c.Close()
}

// ReadAhead bounds what waits on the client's side until it is heard.
func (c *Client) ReadAhead(bytes int) { _ = c.Conn.(*net.TCPConn).SetReadBuffer(bytes) }
