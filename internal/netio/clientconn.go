package netio

import (
	"encoding/json"
	"errors"
	"net/http"
	"strconv"
	"strings"
	"time"
	"unsafe"

	"eiderwinch/internal/format/http1"
	"eiderwinch/internal/gatherer"
	"eiderwinch/internal/limit"
	"eiderwinch/internal/memory"
	"eiderwinch/internal/netio/eventloop"
)

const (
	maxDiscarded     = 64 << 20         // bytes discarded of a request that was answered before its end; bodies of 60 MB occur
	maxUnreadAnswers = 1 << 20          // bytes of answers that a client has not read
	maxArrivals      = 32               // arrival times kept of data that waits behind an unanswered request
	flushTimeout     = 10 * time.Second // for a client to read its answers while some can't be sent: 64 KiB at 6 KiB/s
	flushStall       = time.Second      // without progress, after which a draining node does not wait for its answers to be read
	connectionSize   = 1 << 10          // bytes that the records of a connection take
	healthPath       = "/_health"

	epochHeader       = "x-layout-epoch"      // of requests and answers, if there is a layout
	generationHeader  = "x-config-generation" // of answers, if the configuration can change
	unknownEpochRetry = time.Second           // gatherers learn of an epoch within seconds of each other
)

// clientConn is the connection of a client. Its requests are answered one at a time.
type clientConn struct {
	node         *Node
	conn         *eventloop.Conn
	parser       http1.RequestParser
	entry        limit.Entry[*clientConn]
	holder       memory.Holder // what the client makes the node hold
	room         roomRequest
	received     uint64         // bytes given to the parser
	arrivals     []arrival      // of data that belongs to no request passed on yet
	pausedAt     time.Time      // when reading was paused; zero if it is not
	pausedUntil  uint64         // offset behind the data that had arrived while reading was paused
	pausedSince  time.Time      // when that pause began
	discarded    int            // bytes thrown away while ending
	queryID      uint64         // the open query; 0 if there is none
	deferred     *http1.Request // complete, and waits for its turn
	deferredSize int            // bytes that it takes
	queued       bool           // it waits for a turn, see Node.backlog
	unsound      bool           // its last request was unsound
	incomplete   bool           // the parser needs more data for the next request
	busy         bool           // a request waits for its answer
	lastRequest  bool           // the connection ends with the current request
	ending       bool           // the connection is about to be closed
	closeReason  closeReason
}

// arrivalSize is the memory that an arrival takes, in bytes.
const arrivalSize = int(unsafe.Sizeof(arrival{}))

// arrival records when data of a client was received.
type arrival struct {
	endByte    uint64 // offset behind its last byte in the data received
	receivedAt time.Time
}

func newClientConn(n *Node) *clientConn {
	c := &clientConn{node: n}
	c.parser.KeepField, c.parser.Reserve = keepField, c.reserveBody
	c.entry.Owner = c
	return c
}

// Kind implements eventloop.Handler.
func (c *clientConn) Kind() string { return "client" }

// Opened implements eventloop.Handler.
func (c *clientConn) Opened(conn *eventloop.Conn) {
	node := c.node
	c.conn = conn
	node.stats.Clients++
	node.clientTable.Add(time.Now(), &c.entry)
	node.account.Open(&c.holder)
	c.holder.Set(memory.Connections, connectionSize)
	if node.excessClients() > 0 {
		node.evict(c)
	}
}

// Closed implements eventloop.Handler.
func (c *clientConn) Closed(reason error) {
	c.releaseEntry()
	c.ending = true
	c.recordClose(reason)
	if c.queryID != 0 {
		c.node.log.Debug("client left while its query was open", "query", c.queryID, "reason", reason)
		c.node.core.ClientDisconnected(time.Now(), c.queryID)
		c.queryID = 0
	}
}

// Traffic implements eventloop.Handler.
func (c *clientConn) Traffic(data []byte) {
	if c.ending {
		// Closing at once would reset the connection, and the client could lose the error answer.
		if c.discarded += len(data); c.discarded > maxDiscarded {
			c.drop(closedForLength)
		}
		return
	}
	c.recordArrival(time.Now(), len(data))
	c.parser.Feed(data)
	c.incomplete = false
	c.serveInput()
	c.parser.Retain()
	c.recordHeld()
}

// ReadLimit implements eventloop.Handler. Nothing is read behind a request that waits for its answer once some of the
// next one is there, nor while there is no room for more.
func (c *clientConn) ReadLimit() int {
	if c.ending {
		return eventloop.ReadBufferSize
	}
	wanted := c.parser.Wanted()
	switch growth := c.parser.Growth(wanted); {
	case c.room.waits(), c.queued, c.conn.Blocked(), c.busy && (c.parser.Buffered() > 0 || !c.holder.MayGrow(memory.Requests, growth)):
		wanted = 0
	case !c.holder.MayGrow(memory.Requests, growth):
		c.awaitRoom(growth)
		wanted = 0
	}
	if wanted == 0 && c.pausedAt.IsZero() {
		c.pausedAt = time.Now()
	}
	return wanted
}

// MayFlush implements eventloop.Handler.
func (c *clientConn) MayFlush() bool { return true }

// Flushed implements eventloop.Handler.
func (c *clientConn) Flushed() {
	c.enqueue()
	c.recordHeld()
}

// recordHeld brings the account up to date, and reads on if reading was paused and need not be any more.
func (c *clientConn) recordHeld() {
	if c.ending {
		c.parser, c.deferred, c.deferredSize = http1.RequestParser{}, nil, 0
	}
	c.holder.Set(memory.Requests, c.parser.Held()+c.deferredSize+cap(c.arrivals)*arrivalSize)
	c.holder.Set(memory.Answers, c.conn.Held())
	c.watchFlush()
	if c.conn.ReadingPaused() && c.ReadLimit() > 0 {
		c.resumeReading()
	}
}

// watchFlush sets the time limit for the client to read its answers, if some of them can't be sent.
func (c *clientConn) watchFlush() {
	flushing := c.node.flushing
	_, watched := flushing[c]
	switch {
	case !c.entry.InTable():
	case c.conn.Blocked() && !watched:
		flushing[c] = newFlush(time.Now(), c.conn.Buffered())
	case watched && !c.conn.Blocked() && !c.ending:
		delete(flushing, c)
	}
}

// resumeReading reads on after a pause. What has arrived meanwhile counts as received when the pause began.
func (c *clientConn) resumeReading() {
	if !c.pausedAt.IsZero() {
		c.pausedUntil, c.pausedSince = c.received+uint64(pendingBytes(c.conn.FD())), c.pausedAt
		c.pausedAt = time.Time{}
	}
	c.conn.ResumeReading()
}

// recordArrival records when data was received. While no request waits for its answer, all data of the incomplete
// request counts as received with its last bytes. Behind a request that waits for its answer, pieces beyond
// maxArrivals count as received with the last piece that has an entry: the time of such a request may end early,
// never late.
func (c *clientConn) recordArrival(now time.Time, bytes int) {
	c.received += uint64(bytes)
	if !c.busy {
		c.arrivals = c.arrivals[:0]
	}
	if c.received <= c.pausedUntil {
		now = c.pausedSince
	}
	if n := len(c.arrivals); n == maxArrivals {
		c.arrivals[n-1].endByte = c.received
		return
	}
	c.arrivals = append(c.arrivals, arrival{c.received, now})
}

// sinceArrival returns how long ago the last byte of the request was received that the parser has just returned. A
// client counts its time from when it sent the request, even if that has waited here behind another one.
func (c *clientConn) sinceArrival(now time.Time) time.Duration {
	end := c.received - uint64(c.parser.Buffered())
	for len(c.arrivals) > 0 && c.arrivals[0].endByte < end {
		c.arrivals = c.arrivals[1:]
	}
	if len(c.arrivals) == 0 {
		return 0
	}
	at := c.arrivals[0].receivedAt
	if c.arrivals[0].endByte == end {
		c.arrivals = c.arrivals[1:]
	}
	return now.Sub(at)
}

// MayHold implements gatherer.Client. The request that the query came in is not needed any more.
func (c *clientConn) MayHold(bytes int) bool {
	return c.holder.MayGrow(memory.Queries, bytes-c.holder.Held(memory.Requests))
}

// Hold implements gatherer.Client.
func (c *clientConn) Hold(bytes int) { c.holder.Set(memory.Queries, bytes) }

// Disconnected implements gatherer.Client.
func (c *clientConn) Disconnected() bool { return c.ending || remoteClosed(c.conn.FD()) }

// awaitRequest updates the connection's stage when there is no complete request.
func (c *clientConn) awaitRequest() {
	stage := c.entry.Stage()
	if c.parser.Idle() {
		c.arrivals = nil // a connection that stays open must not keep the memory
	}
	switch {
	case c.ending:
	case stage == limit.Silent:
		c.setStage(limit.FirstRequest)
	case stage == limit.Idle && !c.parser.Idle():
		c.setStage(limit.NextRequest)
	case stage == limit.NextRequest && c.parser.Idle(): // only blank lines were received
		c.setStage(limit.Idle)
	}
}

func (c *clientConn) setStage(to limit.Stage) { c.node.clientTable.SetStage(time.Now(), &c.entry, to) }

// serve handles one request.
func (c *clientConn) serve(r *http1.Request) {
	c.busy, c.lastRequest = true, r.Close
	if c.entry.Answered() > 0 {
		c.node.stats.Reused++
	}
	c.setStage(limit.Busy)
	path, _, _ := strings.Cut(r.Target, "?")
	switch {
	case path == healthPath && (r.Method == "GET" || r.Method == "HEAD"):
		status := http.StatusOK
		if c.node.draining {
			status = http.StatusServiceUnavailable
			// Clients of kept connections need the place, because they can open no new connection.
			c.lastRequest = c.lastRequest || c.entry.Answered() == 0 && !c.hasMoreInput()
		}
		c.respond(status, nil)
	case r.Method != "POST":
		c.reject(http.StatusMethodNotAllowed, "want a query, sent with POST", false)
	default:
		c.submit(path, r)
	}
}

// submit gives a query to the core.
func (c *clientConn) submit(path string, r *http1.Request) {
	if c.node.pastAnswers(time.Now()) {
		c.respond(http.StatusServiceUnavailable, nil)
		return
	}
	query, err := parseQuery(path, r, c.node.maxParts())
	if err == nil {
		now := time.Now()
		query.Waited = c.sinceArrival(now)
		query.Timeout = c.node.capTimeout(now, query.Timeout, query.Waited)
		var id uint64
		id, err = c.node.core.Take(now, query, c)
		if id != 0 {
			c.queryID, c.unsound = id, false
			return
		}
	}
	switch {
	case err == nil: // refused; Reply has been called
	case errors.Is(err, gatherer.ErrUnknownEpoch):
		fields := []http1.Field{{Name: "Content-Type", Value: "text/plain"}}
		if m := c.node.cfg.Gatherer.Module; m.RetryAdvice {
			fields = append(fields, retryAfter(min(unknownEpochRetry, m.MaxRetryAdvice)))
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

// capTimeout shortens the time-out of a query that arrives late in a drain, so that the query is answered before the
// process may be killed. waited is how much of the time-out is already over.
func (n *Node) capTimeout(now time.Time, timeout, waited time.Duration) time.Duration {
	if !n.draining || now.Before(n.drainUntil) {
		return timeout
	}
	left := max(n.answerDeadline().Sub(now), n.cfg.Gatherer.Tick) + waited
	if timeout == 0 {
		return left
	}
	return min(timeout, left)
}

// answerBody is the body of an answer.
type answerBody struct {
	Full   bool    `json:"full"`
	Pieces []piece `json:"pieces"`
}

// piece is the answer to one part: its shard and its value.
type piece struct {
	Tablet int    `json:"tablet"`
	Cell   string `json:"cell"`
}

// Reply implements gatherer.Client.
func (c *clientConn) Reply(r gatherer.Reply) {
	c.queryID = 0
	var fields []http1.Field
	if r.Generation != 0 {
		fields = append(fields, http1.Field{Name: generationHeader, Value: strconv.FormatUint(r.Generation, 10)})
	}
	switch {
	case r.Kind == gatherer.Answered:
		b := answerBody{Full: r.Whole, Pieces: []piece{}}
		for _, p := range r.Values {
			b.Pieces = append(b.Pieces, piece{Tablet: p.Shard, Cell: p.Value})
		}
		text, err := json.Marshal(b)
		if err != nil { // can't happen: it holds numbers and text only
			c.reject(http.StatusInternalServerError, err.Error(), false)
			return
		}
		fields = append(fields, http1.Field{Name: "Content-Type", Value: "application/json"})
		if r.Epoch != 0 {
			fields = append(fields, http1.Field{Name: epochHeader, Value: strconv.FormatUint(uint64(r.Epoch), 10)})
		}
		c.respond(http.StatusOK, text, fields...)
	case r.Kind == gatherer.Refused && r.RetryAfter > 0:
		c.respond(http.StatusServiceUnavailable, nil, append(fields, retryAfter(r.RetryAfter))...)
	case r.Kind == gatherer.Refused:
		c.respond(http.StatusServiceUnavailable, nil, fields...)
	case r.Overdue:
		c.respond(http.StatusGatewayTimeout, nil, fields...)
	default:
		c.respond(http.StatusBadGateway, nil, fields...)
	}
	c.enqueue()
	c.recordHeld()
}

// retryAfter returns the header with the time after which a client may try again.
func retryAfter(wait time.Duration) http1.Field {
	return http1.Field{Name: "Retry-After", Value: strconv.FormatFloat(wait.Seconds(), 'f', 3, 64)}
}

// reject answers a request that is not a valid query. closes is set if nothing that follows it can be read.
func (c *clientConn) reject(status int, reason string, closes bool) {
	c.unsound = true
	c.node.stats.Malformed++
	c.node.stats.Rejected[http.StatusText(status)]++
	c.lastRequest = c.lastRequest || closes
	c.respond(status, []byte(reason+"\n"), http1.Field{Name: "Content-Type", Value: "text/plain"})
}

// hasMoreInput reports whether data was received behind the current request. If the connection ended with the
// answer to this one, the next request, which may be complete, would get no answer.
func (c *clientConn) hasMoreInput() bool { return !c.parser.Idle() || pendingBytes(c.conn.FD()) > 0 }

// endsWithAnswer reports whether the connection is to end with the answer that is about to be given, although the
// client has not asked for that. The answer announces it to the client, so no request crosses the close.
func (c *clientConn) endsWithAnswer(now time.Time) bool {
	if c.node.draining { // the client could open no new connection: this one is kept for as long as there is time
		return !now.Before(c.node.serveUntil) && (c.node.pastAnswers(now) || !c.hasMoreInput())
	}
	return c.node.clientTable.ShouldClose(&c.entry) && !c.hasMoreInput()
}

// respond writes an answer and closes the connection if it was the last one.
func (c *clientConn) respond(status int, body []byte, fields ...http1.Field) {
	closes := c.lastRequest
	if !closes && c.endsWithAnswer(time.Now()) {
		closes = true
		if !c.node.draining {
			c.node.stats.ClosedWithAnswer++
		}
	}
	c.busy = false
	c.setStage(limit.Busy) // so that an incomplete request counts as answered too
	c.setStage(limit.Idle)
	c.write(http1.AppendResponse(nil, status, body, closes, fields...))
	switch {
	case c.ending: // the write has failed
	case c.conn.Buffered() > maxUnreadAnswers:
		c.node.stats.ClosedUnread++
		c.drop(closedForUnreadAnswers)
	case closes:
		c.closeGracefully()
	}
}

func (c *clientConn) write(data []byte) {
	if !c.ending {
		_ = c.conn.Write(data) // if it fails, Closed has been called
	}
}

// closeGracefully closes the connection in such a way that the client can still read its answer: a close while
// received data is unread would reset the connection, and the answer could be lost.
func (c *clientConn) closeGracefully() {
	c.ending = true
	_ = c.conn.Uncork() // if it fails, Closed has been called
	c.leaveBacklog()
	c.recordHeld()
	c.resumeReading() // what the client still sends is discarded
	if c.conn.Buffered() > 0 {
		c.setStage(limit.Busy) // until the answer is written
		return
	}
	c.setStage(limit.Closing)
	shutdownWrite(c.conn.FD())
}

// drop closes the connection without waiting for anything.
func (c *clientConn) drop(why closeReason) {
	c.ending = true
	c.closedFor(why)
	c.releaseEntry()
	c.conn.Close()
}

// releaseEntry removes the connection from the table of clients.
func (c *clientConn) releaseEntry() {
	c.node.clientTable.Remove(&c.entry)
	delete(c.node.flushing, c)
	c.leaveRoomQueue()
	c.leaveBacklog()
	c.holder.Close()
}

// hasPendingData reports whether received data was not read yet or an answer is not fully written: to close the
// connection would harm its client.
func (c *clientConn) hasPendingData() bool {
	return c.queued || c.conn.Buffered() > 0 || pendingBytes(c.conn.FD()) > 0
}

// closeIfUnused closes a connection that is between requests, although no answer has announced the close to its
// client. It does nothing if received data was not read yet or an answer is not fully written, and reports whether it
// has closed the connection. Both directions are closed at once: a client repeats a request that crosses the close and
// was not read. If only the sending side were shut down and the rest discarded, a request could be read that nobody
// answers.
func (c *clientConn) closeIfUnused(why closeReason) bool {
	if c.hasPendingData() {
		c.node.stats.NotClosed++
		return false
	}
	c.closeNow(why)
	return true
}

// closeNow closes the connection at once. eventloop.Conn.Close would wait for the loop's next round, which may read
// from the connection first.
func (c *clientConn) closeNow(why closeReason) {
	c.ending = true
	c.closedFor(why)
	c.releaseEntry()
	c.conn.CloseNow(nil)
}
