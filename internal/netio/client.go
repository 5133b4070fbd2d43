package netio

import (
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"time"

	"eiderwinch/internal/format/http1"
	"eiderwinch/internal/gatherer"
	"eiderwinch/internal/layout"
	"eiderwinch/internal/limit"
	"eiderwinch/internal/netio/eventloop"
)

const (
	maxLinger  = 64 << 20                      // bytes of a request answered before its end that are read and thrown away: 60 MB come
	maxAhead   = http1.MaxHead + http1.MaxBody // bytes of requests that wait for an answer before theirs
	maxUnread  = 1 << 20                       // bytes of answers that a client has not read
	maxMarks   = 32                            // times kept of when what waits for an answer before it came
	flushFor   = 10 * time.Second              // for a client to read an answer that its connection ends with: 64 KiB at 6 KiB/s
	healthPath = "/_health"

	epochField = "x-layout-epoch" // of requests and answers, where there is a layout

	generationField = "x-config-generation" // of answers, where the settings can change
	aheadRetry      = time.Second           // gatherers learn an epoch within seconds of each other
)

// client is one client's connection. Requests are answered one at a time.
type client struct {
	n         *Node
	conn      *eventloop.Conn
	parser    http1.RequestParser
	seat      limit.Seat[*client]
	fed       uint64 // bytes given to the parser
	marks     []mark // when those came that belong to no request passed on yet
	discarded int    // ending: bytes thrown away
	query     uint64 // the open query; 0 if none
	busy      bool   // a request waits for its answer
	last      bool   // the request in hand is the last one here
	readShut  bool   // nothing more is taken in; what is open is still answered
	ending    bool   // the connection is about to be closed
}

// mark says when bytes of a client came.
type mark struct {
	end uint64 // the last of them is behind so many
	at  time.Time
}

func newClient(n *Node) *client {
	c := &client{n: n}
	c.seat.Owner = c
	return c
}

func (c *client) Opened(conn *eventloop.Conn) {
	n := c.n
	c.conn = conn
	n.stats.Clients++
	n.table.Enter(time.Now(), &c.seat)
	if n.excess() > 0 {
		n.evict(c)
	}
}

func (c *client) Closed(reason error) {
	c.leave()
	c.ending = true
	if c.query != 0 {
		c.n.log.Debug("client left with a query open", "query", c.query, "reason", reason)
		c.n.core.Gone(time.Now(), c.query)
		c.query = 0
	}
}

func (c *client) Traffic(b []byte) {
	if c.ending {
		// Closing at once would reset the connection and take the error along.
		if c.discarded += len(b); c.discarded > maxLinger {
			c.drop()
		}
		return
	}
	if c.readShut {
		return
	}
	c.mark(time.Now(), len(b))
	c.parser.Feed(b)
	if c.busy && c.parser.Buffered() > maxAhead {
		// Nobody needs to send so far ahead. What is open still gets its answer.
		c.readShut, c.last, c.parser = true, true, http1.RequestParser{}
	}
	c.pump()
}

// mark books when bytes have come. What has come of a request in hand that is not whole counts as come
// with the latest. Behind a request that waits, what comes in more pieces than there are marks counts as
// come with the last that has one: its time may end early, never late.
func (c *client) mark(now time.Time, bytes int) {
	c.fed += uint64(bytes)
	if !c.busy {
		c.marks = c.marks[:0]
	}
	if n := len(c.marks); n == maxMarks {
		c.marks[n-1].end = c.fed
		return
	}
	c.marks = append(c.marks, mark{c.fed, now})
}

// waited is how long ago the last byte of the request came that the parser has just passed on. Its
// client counts from when it sent it, also where it has waited here behind another request.
func (c *client) waited(now time.Time) time.Duration {
	end := c.fed - uint64(c.parser.Buffered())
	for len(c.marks) > 0 && c.marks[0].end < end {
		c.marks = c.marks[1:]
	}
	if len(c.marks) == 0 {
		return 0
	}
	at := c.marks[0].at
	if c.marks[0].end == end {
		c.marks = c.marks[1:]
	}
	return now.Sub(at)
}

// Left implements gatherer.Client.
func (c *client) Left() bool { return c.ending || peerClosed(c.conn.Fd()) }

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
			c.wait()
			return
		}
		c.serve(r)
	}
}

// wait books that no whole request is at hand.
func (c *client) wait() {
	stage := c.seat.Stage()
	if c.parser.Idle() {
		c.marks = nil // a connection that stays open must not keep the room
	}
	switch {
	case c.ending:
	case stage == limit.Silent:
		c.move(limit.First)
	case stage == limit.Idle && !c.parser.Idle():
		c.move(limit.Further)
	case stage == limit.Further && c.parser.Idle(): // only blank lines came
		c.move(limit.Idle)
	}
}

func (c *client) move(to limit.Stage) { c.n.table.Move(time.Now(), &c.seat, to) }

// serve takes in one request.
func (c *client) serve(r *http1.Request) {
	c.busy, c.last = true, r.Close
	if c.seat.Asked() > 0 {
		c.n.stats.Reused++
	}
	c.move(limit.Busy)
	path, _, _ := strings.Cut(r.Target, "?")
	switch {
	case path == healthPath && (r.Method == "GET" || r.Method == "HEAD"):
		status := http.StatusOK
		if c.n.draining {
			status = http.StatusServiceUnavailable
			c.last = c.last || c.seat.Asked() == 0 && !c.more() // those who keep a connection need the place: they can open no new one
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
		now := time.Now()
		a.Waited = c.waited(now)
		a.Expires = c.n.cut(now, a.Expires, a.Waited)
		var id uint64
		id, err = c.n.core.Take(now, a, c)
		if id != 0 {
			c.query = id
			return
		}
	}
	switch {
	case err == nil: // refused; Reply has been called
	case errors.Is(err, gatherer.ErrAhead):
		fields := []http1.Field{{Name: "Content-Type", Value: "text/plain"}}
		if m := c.n.cfg.Gatherer.Module; m.RetryAdvice {
			fields = append(fields, retryAfter(min(aheadRetry, m.MaxRetryAdvice)))
		}
		c.respond(http.StatusServiceUnavailable, []byte(err.Error()+"\n"), fields...)
	case errors.Is(err, gatherer.ErrUnknownClass):
		c.reject(http.StatusNotFound, err.Error(), false)
	case errors.Is(err, gatherer.ErrDuplicate):
		c.reject(http.StatusConflict, err.Error(), false)
	default:
		c.reject(http.StatusBadRequest, err.Error(), false)
	}
}

// cut shortens the time of a query that comes late in a drain, so that it is
// answered before the process may be killed. waited of that time is over.
func (n *Node) cut(now time.Time, expires, waited time.Duration) time.Duration {
	if !n.draining || now.Before(n.drainUntil) {
		return expires
	}
	left := max(n.answersBy().Sub(now), n.cfg.Gatherer.Tick) + waited
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
		Tenant: r.Header.Sole("x-customer"),
		About:  about(r.Header),
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
	if s := r.Header.Get(epochField); s != "" {
		epoch, err := strconv.ParseUint(s, 10, 64)
		if err != nil || epoch == 0 {
			return a, fmt.Errorf("%w: %s is %q, want a number from 1 on", gatherer.ErrInvalid, epochField, s)
		}
		a.Epoch = layout.Epoch(epoch)
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
		if i == 0 && a.About == "" && isKey(t.Token) {
			a.About = t.Token // it stands for the key and this part's shard
		}
		a.Parts = append(a.Parts, gatherer.AskPart{Shard: *t.Tablet, Weight: *t.Fraction})
	}
	return a, nil
}

// userCookie holds what a query is about, where queries have such a key.
const userCookie = "user"

// about reads what a query is about from its cookies. What can't be a key is none: a query
// without one is served all the same. So are two that differ: neither can be believed.
func about(h http1.Header) string {
	key := ""
	for _, f := range h {
		if f.Name != "cookie" {
			continue
		}
		for pair := range strings.SplitSeq(f.Value, ";") {
			name, value, _ := strings.Cut(strings.TrimSpace(pair), "=")
			switch {
			case name != userCookie:
			case !isKey(value), key != "" && key != value:
				return ""
			default:
				key = value
			}
		}
	}
	return key
}

// maxKey bounds a key: clients send 16 hex digits.
const maxKey = 64

// isKey tells whether s can be what a query is about.
func isKey(s string) bool { return len(s) <= maxKey && isName(s) }

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
	var fields []http1.Field
	if r.Generation != 0 {
		fields = append(fields, http1.Field{Name: generationField, Value: strconv.FormatUint(r.Generation, 10)})
	}
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
		fields = append(fields, http1.Field{Name: "Content-Type", Value: "application/json"})
		if r.Epoch != 0 {
			fields = append(fields, http1.Field{Name: epochField, Value: strconv.FormatUint(uint64(r.Epoch), 10)})
		}
		c.respond(http.StatusOK, text, fields...)
	case r.Verdict == gatherer.Refused && r.RetryAfter > 0:
		c.respond(http.StatusServiceUnavailable, nil, append(fields, retryAfter(r.RetryAfter))...)
	case r.Verdict == gatherer.Refused:
		c.respond(http.StatusServiceUnavailable, nil, fields...)
	case r.Overdue:
		c.respond(http.StatusGatewayTimeout, nil, fields...)
	default:
		c.respond(http.StatusBadGateway, nil, fields...)
	}
	c.pump()
}

// retryAfter tells a client when to come back.
func retryAfter(wait time.Duration) http1.Field {
	return http1.Field{Name: "Retry-After", Value: strconv.FormatFloat(wait.Seconds(), 'f', 3, 64)}
}

// reject answers a request that is no query; with end, what follows it can't be read.
func (c *client) reject(status int, reason string, end bool) {
	c.n.stats.Malformed++
	c.last = c.last || end
	c.respond(status, []byte(reason+"\n"), http1.Field{Name: "Content-Type", Value: "text/plain"})
}

// more tells that something has come behind the request in hand. To end the connection with this
// one's answer would leave the next, which may be whole, without any.
func (c *client) more() bool { return !c.parser.Idle() || pending(c.conn.Fd()) > 0 }

// mayEnd tells that the answer that is about to be given may be a connection's last, though its
// client has not asked for that: it is told with the answer, so that nothing crosses the end.
func (c *client) mayEnd(now time.Time) bool {
	if c.n.draining { // no new one could be opened: it is kept for as long as there is time
		return !now.Before(c.n.serveUntil) && (!now.Before(c.n.killAt) || !c.more())
	}
	return c.n.table.Notice(&c.seat) && !c.more()
}

// respond writes an answer whole and closes the connection if it was the last.
func (c *client) respond(status int, body []byte, fields ...http1.Field) {
	end := c.last
	if !end && c.mayEnd(time.Now()) {
		end = true
		if !c.n.draining {
			c.n.stats.Noticed++
		}
	}
	c.busy = false
	c.move(limit.Busy) // a request that did not come in whole is answered as well
	c.move(limit.Idle)
	c.write(http1.AppendResponse(nil, status, body, end, fields...))
	switch {
	case c.ending: // the write has failed
	case c.conn.Buffered() > maxUnread:
		c.n.stats.Unread++
		c.drop()
	case end:
		c.end()
	}
}

func (c *client) write(b []byte) {
	if !c.ending {
		_ = c.conn.Write(b) // where it fails, Closed has been called
	}
}

// end closes the connection so that the client can still read its answer:
// closing with unread bytes at hand would reset it and take the answer along.
func (c *client) end() {
	c.ending = true
	if c.conn.Buffered() > 0 {
		c.move(limit.Busy) // the answer comes first
		c.n.flushing[c] = time.Now().Add(flushFor)
		return
	}
	c.move(limit.Ending)
	shutWrite(c.conn.Fd())
}

// drop closes the connection as it is.
func (c *client) drop() {
	c.ending = true
	c.leave()
	c.conn.Close()
}

func (c *client) leave() {
	c.n.table.Leave(&c.seat)
	delete(c.n.flushing, c)
}

// unread tells that something has come on the connection that was not read
// yet, or that its answer has not left: closing it would hit a client.
func (c *client) unread() bool { return c.conn.Buffered() > 0 || pending(c.conn.Fd()) > 0 }

// usable is how many descriptors clients and searchers may take together. The rest is for discovery, and for
// what one round of the loop accepts.
func (n *Node) usable() int { return (n.cfg.Sockets - spare) * 7 / 8 }

// excess is how many clients are beyond their bound, or beyond what the connections to searchers leave them.
func (n *Node) excess() int {
	return max(n.table.Held()-n.table.Bounds().Hard, n.table.Held()+n.pool.links+n.pool.dialing-n.usable())
}

// maxOver is how many connections may be held beyond the hard bound until the loop's next round.
const maxOver = 8

// evict makes room for a connection that is being opened, so that descriptors are never used up. Where all others are in use it is the new one that goes, unread.
func (n *Node) evict(newest *client) {
	if _, rank := n.victim(&newest.seat); rank == limit.RankNewest || n.excess() > maxOver {
		n.stats.Evicted[limit.RankNewest.String()]++
		newest.closeNow()
		return
	}
	n.exec(func() {
		n.makeRoom(newest)
	})
}

// makeRoom closes the connections that are missed least, but not the newest. It runs between two rounds of the loop, so that
// nothing is read between the look at a connection and its close: what was would be thrown away.
func (n *Node) makeRoom(newest *client) {
	for n.excess() > 0 {
		seat, rank := n.victim(&newest.seat)
		if rank == limit.RankNewest {
			return // all others have come to use; each further one is closed as long as they are
		}
		n.stats.Evicted[rank.String()]++
		if rank != limit.RankEnding && seat.Owner.unread() {
			n.stats.Crossed++
		}
		seat.Owner.closeNow()
	}
}

// victim chooses the connection that is missed least, and tells by which rank.
func (n *Node) victim(newest *limit.Seat[*client]) (*limit.Seat[*client], limit.Rank) {
	return n.table.Victim(time.Now(), newest, func(s *limit.Seat[*client]) bool {
		unread := s.Owner.unread()
		if unread {
			n.stats.Spared++
		}
		return unread
	})
}

// dismiss closes a connection between requests, whose client could not be told, and tells
// whether it did: not where a request has come. It is closed whole at once. A client sends once
// more what crosses that and was not read; were only the way out shut and the rest read and
// thrown away, a request would be taken that nobody answers.
func (c *client) dismiss() bool {
	if c.unread() {
		c.n.stats.Spared++
		return false
	}
	c.closeNow()
	return true
}

// closeNow closes the connection at once: Close of the connection itself waits for the loop's next round,
// which may read first.
func (c *client) closeNow() {
	c.ending = true
	c.leave()
	c.conn.CloseNow(nil)
}

// closeIdleClients closes the connections that are between requests, and tells whether
// none is left.
func (n *Node) closeIdleClients() bool {
	for _, stage := range [...]limit.Stage{limit.Silent, limit.Idle} {
		for s := n.table.Oldest(stage); s != nil; s = n.table.Oldest(stage) {
			if !s.Owner.dismiss() {
				return false // its request is read next
			}
		}
	}
	return true
}

// checkClients closes the connections whose time is up, and those that are
// idle for longest where there are too many.
func (n *Node) checkClients(now time.Time) {
	n.closeOverdue(now)
	for s := n.table.Trim(now); s != nil && !n.draining && s.Owner.dismiss(); s = n.table.Trim(now) {
		n.stats.Trimmed++
	}
	n.checkFlushing(now)
}

// closeOverdue closes the connections whose time is up.
func (n *Node) closeOverdue(now time.Time) {
	for s := n.table.Overdue(now); s != nil; s = n.table.Overdue(now) {
		switch c := s.Owner; {
		case s.Stage() == limit.Ending:
			c.drop()
		case c.parser.Idle():
			if !c.dismiss() {
				return // its request is read next
			}
			n.stats.Silent++
		default:
			c.reject(http.StatusRequestTimeout, "the request did not come in whole in time", true)
		}
	}
}

// checkFlushing ends the connections whose last answer has left or takes too long.
func (n *Node) checkFlushing(now time.Time) {
	for c, until := range n.flushing {
		switch {
		case c.conn.Buffered() == 0:
			delete(n.flushing, c)
			c.end()
		case !now.Before(until):
			n.stats.Unread++
			c.drop()
		}
	}
}
