package netio

import (
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/panjf2000/gnet/v2"

	"eiderwinch/internal/gatherer"
	"eiderwinch/internal/http1"
)

const (
	requestTimeout = 2 * time.Second               // for a request to come in whole, the first from connecting on: 3 s are owed
	lingerTimeout  = 2 * time.Second               // for a client to read an answer given before its request was read
	maxLinger      = 64 << 20                      // bytes of such a request that are read and thrown away: 60 MB come
	silentFor      = 500 * time.Millisecond        // a connection that said nothing for less may be a usual client's: it asks at once
	keptFor        = 2 * time.Second               // a connection idle for less is left open: its client will use it again
	maxAhead       = http1.MaxHead + http1.MaxBody // bytes of requests that wait for an answer before theirs
	maxUnread      = 1 << 20                       // bytes of answers that a client has not read
	healthPath     = "/_health"
)

// client is one client's connection. Requests are answered one at a time.
type client struct {
	n      *Node
	conn   gnet.Conn
	parser http1.RequestParser
	since  time.Time // when the connection was last between requests
	begun  time.Time // when the request that is coming in began
	asked  bool      // a whole request has come
	spilt  int       // ending: bytes thrown away
	query  uint64    // the open query; 0 if none
	busy   bool      // a request waits for its answer
	last   bool      // the request in hand is the last one here
	deaf   bool      // nothing more is taken in; what is open is still answered
	ending bool      // the connection is about to be closed
	until  time.Time // ending: when the connection is closed at the latest
}

func newClient(n *Node) *client { return &client{n: n} }

// unsent tells that an answer has not left whole.
func (c *client) unsent() bool { return c.busy || c.conn.OutboundBuffered() > 0 }

func (c *client) opened(conn gnet.Conn) {
	n := c.n
	c.conn, c.since = conn, time.Now()
	c.begun = c.since
	n.stats.Clients++
	n.clients[c] = struct{}{}
	if len(n.clients) > (n.cfg.Sockets-spare)*5/8 { // the pool takes a quarter, twice that while it dials
		n.dropIdlest(c)
	}
}

func (c *client) closed(error) {
	delete(c.n.clients, c)
	c.ending = true
	if c.query != 0 {
		c.n.core.Gone(time.Now(), c.query)
		c.query = 0
	}
}

func (c *client) traffic(b []byte) {
	if c.ending {
		// Closing at once would reset the connection and take the error along.
		if c.spilt += len(b); c.spilt > maxLinger {
			c.drop()
		}
		return
	}
	if c.deaf {
		return
	}
	if c.asked && !c.busy && c.parser.Idle() {
		c.begun = time.Now()
	}
	c.parser.Feed(b)
	if c.busy && c.parser.Buffered() > maxAhead {
		// Nobody needs to send so far ahead. What is open still gets its answer.
		c.deaf, c.last, c.parser = true, true, http1.RequestParser{}
	}
	c.pump()
}

// pump serves the requests that are in.
func (c *client) pump() {
	for !c.busy && !c.ending {
		r, err := c.parser.Next()
		if err != nil {
			var e *http1.Error
			status, reason := http.StatusBadRequest, err.Error()
			if errors.As(err, &e) {
				status, reason = e.Status, e.Reason
			}
			c.reject(status, reason, true)
			return
		}
		if r == nil {
			if c.parser.Continue() {
				c.write(http1.AppendContinue(nil))
			}
			return
		}
		c.serve(r)
	}
}

// serve takes in one request.
func (c *client) serve(r *http1.Request) {
	c.busy, c.last, c.asked = true, r.Close, true
	path, _, _ := strings.Cut(r.Target, "?")
	switch {
	case path == healthPath && (r.Method == "GET" || r.Method == "HEAD"):
		status := http.StatusOK
		if c.n.draining {
			status = http.StatusServiceUnavailable
		}
		c.respond(status, nil)
	case r.Method != "POST":
		c.reject(http.StatusMethodNotAllowed, "queries are POSTed", false)
	default:
		c.ask(path, r)
	}
}

// ask gives a query to the core.
func (c *client) ask(path string, r *http1.Request) {
	a, err := readAsk(path, r)
	if err == nil {
		a.Expires = c.n.cut(time.Now(), a.Expires)
		var id uint64
		id, err = c.n.core.Take(time.Now(), a, c)
		if id != 0 {
			c.query = id
			return
		}
	}
	switch {
	case err == nil: // refused; Reply has been called
	case errors.Is(err, gatherer.ErrUnknownClass):
		c.reject(http.StatusNotFound, err.Error(), false)
	case errors.Is(err, gatherer.ErrDuplicate):
		c.reject(http.StatusConflict, err.Error(), false)
	default:
		c.reject(http.StatusBadRequest, err.Error(), false)
	}
}

// cut shortens the time of a query that comes late in a drain, so that it is
// answered before the process may be killed.
func (n *Node) cut(now time.Time, expires time.Duration) time.Duration {
	if !n.draining || now.Before(n.drainUntil) {
		return expires
	}
	left := max(n.killAt.Add(-killMargin).Sub(now), n.cfg.Gatherer.Tick)
	if expires == 0 {
		return left
	}
	return min(expires, left)
}

// askBody is the body of a query.
type askBody struct {
	Tablets []struct {
		Tablet   *int     `json:"tablet"`
		Fraction *float64 `json:"fraction"`
		Token    string   `json:"token"`
	} `json:"tablets"`
	Statement *string `json:"statement"`
}

// readAsk reads a query from a request.
func readAsk(path string, r *http1.Request) (gatherer.Ask, error) {
	a := gatherer.Ask{
		Trace:  r.Header.Get("x-trace-id"),
		Class:  r.Header.Get("x-qos"),
		Key:    r.Header.Get("idempotency-key"),
		Repeat: r.Header.Get("x-second-try") == "1",
		Tenant: r.Header.Get("x-customer"),
	}
	first, _, _ := strings.Cut(strings.TrimPrefix(path, "/"), "/")
	if a.Class == "" {
		a.Class = first
	}
	if first != a.Class {
		return a, fmt.Errorf("%w: the path is not of class %q", gatherer.ErrInvalid, a.Class)
	}
	if !isName(a.Trace) || a.Key != "" && !isName(a.Key) {
		return a, fmt.Errorf("%w: malformed trace id or idempotency key", gatherer.ErrInvalid)
	}
	if s := r.Header.Get("x-expires-in-ms"); s != "" {
		ms, err := strconv.ParseUint(s, 10, 31)
		if err != nil || ms == 0 {
			return a, fmt.Errorf("%w: X-Expires-In-Ms is %q", gatherer.ErrInvalid, s)
		}
		a.Expires = time.Duration(ms) * time.Millisecond
	}
	var b askBody
	if err := json.Unmarshal(r.Body, &b); err != nil {
		return a, fmt.Errorf("%w: %w", gatherer.ErrInvalid, err)
	}
	if b.Statement == nil {
		return a, fmt.Errorf("%w: statement is missing", gatherer.ErrInvalid)
	}
	a.Text = *b.Statement
	for i, t := range b.Tablets {
		if t.Tablet == nil || t.Fraction == nil {
			return a, fmt.Errorf("%w: tablets[%d] lacks tablet or fraction", gatherer.ErrInvalid, i)
		}
		if i == 0 {
			a.About = t.Token
		}
		a.Parts = append(a.Parts, gatherer.AskPart{Shard: *t.Tablet, Weight: *t.Fraction})
	}
	return a, nil
}

const maxName = 128

// isName tells whether s can stand in a searcher's frame: no blanks, and none
// of the signs that set its fields apart.
func isName(s string) bool {
	for i := range len(s) {
		if s[i] <= ' ' || s[i] > '~' || s[i] == ',' || s[i] == '=' || s[i] == '+' {
			return false
		}
	}
	return s != "" && len(s) <= maxName
}

type answerBody struct {
	Full   bool    `json:"full"`
	Pieces []piece `json:"pieces"`
}

type piece struct {
	Tablet int    `json:"tablet"`
	Cell   string `json:"cell"`
}

// Reply implements gatherer.Client.
func (c *client) Reply(r gatherer.Reply) {
	c.query = 0
	switch {
	case r.Verdict == gatherer.Answered:
		b := answerBody{Full: r.Whole, Pieces: []piece{}}
		for _, p := range r.Pieces {
			b.Pieces = append(b.Pieces, piece{Tablet: p.Shard, Cell: p.Value})
		}
		text, err := json.Marshal(b)
		if err != nil { // can't be: it is numbers and text
			c.reject(http.StatusInternalServerError, err.Error(), false)
			return
		}
		c.respond(http.StatusOK, text, http1.Field{Name: "Content-Type", Value: "application/json"})
	case r.Verdict == gatherer.Refused && r.RetryAfter > 0:
		c.respond(http.StatusServiceUnavailable, nil, http1.Field{
			Name: "Retry-After", Value: strconv.FormatFloat(r.RetryAfter.Seconds(), 'f', 3, 64),
		})
	case r.Verdict == gatherer.Refused:
		c.respond(http.StatusServiceUnavailable, nil)
	case r.Overdue:
		c.respond(http.StatusGatewayTimeout, nil)
	default:
		c.respond(http.StatusBadGateway, nil)
	}
	c.pump()
}

// reject answers a request that is no query; with end, what follows it can't be read.
func (c *client) reject(status int, reason string, end bool) {
	c.n.stats.Malformed++
	c.last = c.last || end
	c.respond(status, []byte(reason+"\n"), http1.Field{Name: "Content-Type", Value: "text/plain"})
}

// respond writes an answer whole and closes the connection if it was the last.
func (c *client) respond(status int, body []byte, fields ...http1.Field) {
	end := c.last || c.n.draining && !time.Now().Before(c.n.serveUntil)
	c.busy, c.since = false, time.Now()
	c.begun = c.since
	c.write(http1.AppendResponse(nil, status, body, end, fields...))
	switch {
	case c.ending: // the write has failed
	case c.conn.OutboundBuffered() > maxUnread:
		c.drop()
	case end:
		c.end()
	}
}

func (c *client) write(b []byte) {
	if !c.ending {
		_, _ = c.conn.Write(b) // where it fails, gnet has called closed
	}
}

// end closes the connection so that the client can still read its answer:
// closing with unread bytes at hand would reset it and take the answer along.
func (c *client) end() {
	c.ending, c.until = true, time.Now().Add(lingerTimeout)
	if c.conn.OutboundBuffered() == 0 {
		shutWrite(c.conn.Fd())
	}
}

// drop closes the connection as it is.
func (c *client) drop() {
	c.ending = true
	delete(c.n.clients, c)
	_ = c.conn.Close()
}

// idle tells that the connection is between requests.
func (c *client) idle() bool { return !c.busy && !c.ending && c.parser.Idle() }

// dropIdlest closes the connection that is missed least, so that descriptors
// are never used up: gnet ends its loop when accept finds none. Those come
// first that are ending, then those that have said nothing for a while, that
// have been idle for long, that are idle at all, that have said nothing yet,
// that have not got a request whole; of each sort the oldest. A flood of silent
// connections must not cost usual clients theirs: a new one's first request may
// be on its way, and is not sent again. Where all are in use, the newest goes.
func (n *Node) dropIdlest(newest *client) {
	const none = 6
	now := time.Now()
	rank := func(c *client) int {
		switch {
		case c.ending:
			return 0
		case !c.asked && c.parser.Idle() && now.Sub(c.since) >= silentFor:
			return 1
		case c.idle() && now.Sub(c.since) >= keptFor:
			return 2
		case c.idle() && c.asked:
			return 3
		case !c.asked && c.parser.Idle():
			return 4
		case !c.asked && !c.busy:
			return 5
		}
		return none
	}
	idlest, lowest := newest, none
	for c := range n.clients {
		at := rank(c)
		if c != newest && (at < lowest || at == lowest && at < none && c.since.Before(idlest.since)) {
			idlest, lowest = c, at
		}
	}
	n.stats.Crowded++
	idlest.drop()
}

// closeIdleClients closes the connections that are between requests.
func (n *Node) closeIdleClients() {
	for c := range n.clients {
		if c.idle() {
			c.end()
		}
	}
}

// checkClients closes the connections whose time is up.
func (n *Node) checkClients(now time.Time) {
	for c := range n.clients {
		switch {
		case c.ending && !now.Before(c.until):
			c.drop()
		case c.ending && c.conn.OutboundBuffered() == 0:
			shutWrite(c.conn.Fd())
		case c.busy || c.ending || c.asked && c.parser.Idle() || now.Sub(c.begun) < requestTimeout:
		case c.parser.Idle():
			n.stats.Silent++
			c.end()
		default:
			c.reject(http.StatusRequestTimeout, "the request did not come in whole in time", true)
		}
	}
}
