package netio

import (
	"errors"
	"fmt"
	"io"
	"strings"
	"syscall"
	"testing"
	"time"

	"eiderwinch/internal/limit"
	"eiderwinch/internal/memory"
	"eiderwinch/internal/trial/testpeer"
)

const healthRequest = "GET /_health HTTP/1.1\r\n\r\n"

// startBounded starts a node with the given bounds on client connections.
func startBounded(t *testing.T, soft, firm, hard int) *harness {
	return startHarness(t, func(h *harness) {
		b := limit.Defaults(h.cfg.MaxDescriptors)
		b.Soft, b.Firm, b.Hard = soft, firm, hard
		h.clientTable = limit.New[*clientConn](b)
		h.decide = nil
	})
}

// onLoop runs f on the event loop and waits for it.
func (h *harness) onLoop(f func()) {
	h.t.Helper()
	done := make(chan struct{})
	h.exec(func() { f(); close(done) })
	testpeer.Receive(h.t, done, "the loop")
}

// waitUntil waits until f, which runs on the event loop, returns true.
func (h *harness) waitUntil(what string, f func() bool) {
	h.t.Helper()
	for end := time.Now().Add(testpeer.Timeout); ; {
		done := false
		h.onLoop(func() { done = f() })
		if done {
			return
		}
		if time.Now().After(end) {
			h.t.Fatalf("timed out waiting: %s", what)
		}
	}
}

// exchange sends a request, and reports whether its answer closes the connection.
func exchange(t *testing.T, c *testpeer.Client, request string) (closes bool) {
	t.Helper()
	resp, _ := c.Send(request).ReadResponse()
	if resp.StatusCode != 200 {
		t.Errorf("have %s", resp.Status)
	}
	if resp.Close {
		c.ExpectClosed()
	}
	return resp.Close
}

// Clients that send one request and keep the connection must not hold the places that others need. Their answers
// tell them to close, so no close crosses a request.
func TestClientsThatAskOnceAndStayAreToldToClose(t *testing.T) {
	h := startBounded(t, 4, 8, 100)
	returning := testpeer.NewClient(t, h.Addr())
	exchange(t, returning, healthRequest)
	exchange(t, returning, healthRequest)
	stayed := 0
	for range 50 {
		if !exchange(t, testpeer.NewClient(t, h.Addr()), healthRequest) {
			stayed++
		}
	}
	if stayed != 3 {
		t.Errorf("%d stayed in addition to the returning client, want 3", stayed)
	}
	if exchange(t, returning, healthRequest) {
		t.Error("the returning client was told to close")
	}
	h.onLoop(func() {
		if h.stats.ClosedWithAnswer != 47 || h.stats.EvictedInUse+len(h.stats.Evicted) > 0 {
			t.Errorf("closed with an answer %d, evicted in use %d, evicted %v", h.stats.ClosedWithAnswer, h.stats.EvictedInUse, h.stats.Evicted)
		}
	})
}

// From the firm bound on, clients that have sent several requests are told to close as well.
func TestFromTheFirmBoundAllClientsAreToldToClose(t *testing.T) {
	h := startBounded(t, 2, 2, 100)
	a, b, c := testpeer.NewClient(t, h.Addr()), testpeer.NewClient(t, h.Addr()), testpeer.NewClient(t, h.Addr())
	c.Send(testpeer.Query("search", "t", time.Minute, 1)) // waits for its answer, so two others may be idle
	p := h.nextPart()
	exchange(t, a, healthRequest)
	exchange(t, b, healthRequest)
	p.Answer("served", 1, "v")
	if resp, body := c.ReadResponse(); !resp.Close || !strings.Contains(body, `"v"`) {
		t.Errorf("have %s %s, close %v", resp.Status, body, resp.Close)
	}
}

// During a drain clients can't open new connections, so none is told to close.
func TestADrainTellsNoClientToClose(t *testing.T) {
	h := startHarness(t, func(h *harness) {
		h.serveFor = time.Minute
		h.cfg.Clients.Soft, h.cfg.Clients.Firm = 1, 1
		h.clientTable = limit.New[*clientConn](h.cfg.Clients)
	})
	a, b := testpeer.NewClient(t, h.Addr()), testpeer.NewClient(t, h.Addr())
	b.Send(testpeer.Query("search", "t", time.Minute, 1))
	p := h.nextPart()
	exchange(t, a, healthRequest)
	h.Drain()
	h.onLoop(func() {})
	p.Answer("served", 1, "v")
	if resp, _ := b.ReadResponse(); resp.StatusCode != 200 || resp.Close {
		t.Errorf("have %s, close %v", resp.Status, resp.Close)
	}
	// But a client that only asks for health gives up its place.
	resp, _ := testpeer.NewClient(t, h.Addr()).Send(healthRequest).ReadResponse()
	if resp.StatusCode != 503 || !resp.Close {
		t.Errorf("health: %s, close %v", resp.Status, resp.Close)
	}
	h.onLoop(func() { h.serveUntil = time.Now() })
	a.ExpectClosed()
	b.ExpectClosed()
}

// Long idle connections are closed only if there are many of them, the longest idle first.
func TestIdleConnectionsAreClosedWhereThereAreMany(t *testing.T) {
	h := startBounded(t, 3, 100, 100)
	before := time.Now() // all clients become idle after this time
	clients := make([]*testpeer.Client, 3)
	for i := range clients {
		clients[i] = testpeer.NewClient(t, h.Addr())
		clients[i].Send(testpeer.Query("search", string(rune('a'+i)), time.Minute, 1))
	}
	for range clients {
		h.nextPart().Answer("served", 1, "v")
	}
	for _, c := range clients {
		c.ReadResponse()
	}
	exchange(t, clients[0], healthRequest) // this client sends a second request
	h.onLoop(func() {
		h.checkClients(before.Add(h.clientTable.Bounds().IdleGrace))
		if h.stats.ClosedIdle != 0 {
			t.Error("a connection was closed that had not been idle for long")
		}
		h.checkClients(time.Now().Add(h.clientTable.Bounds().IdleGrace))
		if h.stats.ClosedIdle != 1 || h.clientTable.Count(limit.Idle) != 2 {
			t.Errorf("%d were closed, %d are idle", h.stats.ClosedIdle, h.clientTable.Count(limit.Idle))
		}
	})
	if exchange(t, clients[0], healthRequest) {
		t.Error("the client with two requests was chosen")
	}
}

// A request that crosses an unannounced close is not read, and its client sends it again. A request that was
// received is never cut off, in whichever way connections between requests are closed.
func TestARequestThatCrossesACloseIsNotRead(t *testing.T) {
	for name, closeConns := range map[string]func(*harness){
		"trimmed": func(h *harness) { h.checkClients(time.Now().Add(h.clientTable.Bounds().IdleGrace)) },
		"drained": func(h *harness) { h.closeIdleClients() },
		"silent":  func(h *harness) { h.checkClients(time.Now().Add(h.clientTable.Bounds().RequestTimeout)) },
	} {
		h := startBounded(t, 1, 100, 100)
		a := testpeer.NewClient(t, h.Addr())
		stage := limit.Silent
		if name != "silent" {
			exchange(t, a, healthRequest)
			stage = limit.Idle
		}
		h.waitUntil("the connection is accepted", func() bool { return h.clientTable.Count(stage) == 1 })
		h.onLoop(func() {
			c := h.clientTable.Oldest(stage).Owner
			a.Send(healthRequest)
			for end := time.Now().Add(testpeer.Timeout); pendingBytes(c.conn.FD()) == 0 && time.Now().Before(end); {
			}
			closeConns(h)
			if h.stats.NotClosed != 1 || c.ending {
				t.Errorf("%s: not closed %d, ending %v", name, h.stats.NotClosed, c.ending)
			}
		})
		if resp, _ := a.ReadResponse(); resp.StatusCode != 200 {
			t.Errorf("%s: have %s", name, resp.Status)
		}
		b := testpeer.NewClient(t, h.Addr())
		h.waitUntil("the new connection is accepted", func() bool { return h.clientTable.Count(limit.Silent) == 1 })
		h.onLoop(func() {
			c := h.clientTable.Oldest(limit.Silent).Owner
			if !c.closeIfUnused(closedIdle) { // nothing was received
				t.Errorf("%s: not closed", name)
			}
			c.Traffic([]byte(testpeer.Query("search", "x", time.Minute, 1)))
			if h.stats.Taken != 0 {
				t.Errorf("%s: a request was taken after the close", name)
			}
		})
		b.ExpectClosed()
	}
}

// A connection with received data that was not read yet keeps its place.
func TestAReceivedRequestIsNotCutOff(t *testing.T) {
	h := startBounded(t, 100, 100, 3)
	a, b := testpeer.NewClient(t, h.Addr()), testpeer.NewClient(t, h.Addr())
	exchange(t, a, healthRequest)
	exchange(t, b, healthRequest)
	h.onLoop(func() {
		oldest := h.clientTable.Oldest(limit.Idle).Owner
		a.Send(healthRequest)
		for end := time.Now().Add(testpeer.Timeout); pendingBytes(oldest.conn.FD()) == 0 && time.Now().Before(end); {
		}
		var more [2]limit.Entry[*clientConn]
		for i := range more {
			h.clientTable.Add(time.Now(), &more[i])
			h.clientTable.SetStage(time.Now(), &more[i], limit.Busy)
		}
		h.evictOthers(newClientConn(h.Node))
		for i := range more {
			h.clientTable.Remove(&more[i])
		}
		if h.stats.NotClosed != 1 || h.stats.Evicted["once_new"] != 1 || h.stats.EvictedInUse != 0 {
			t.Errorf("not closed %d, evicted %v, evicted in use %d", h.stats.NotClosed, h.stats.Evicted, h.stats.EvictedInUse)
		}
	})
	if resp, _ := a.ReadResponse(); resp.StatusCode != 200 {
		t.Errorf("have %s", resp.Status)
	}
	b.ExpectClosed()
}

// A request may be read after its connection was chosen for eviction and before it is closed. It is served, and
// another connection is evicted.
func TestAConnectionChosenForEvictionMayComeIntoUse(t *testing.T) {
	h := startBounded(t, 100, 100, 2)
	a := testpeer.NewClient(t, h.Addr())
	exchange(t, a, healthRequest)
	b := testpeer.NewClient(t, h.Addr())
	h.waitUntil("both", func() bool { return h.clientTable.Count(limit.Idle) == 1 && h.clientTable.Count(limit.Silent) == 1 })
	newest := newClientConn(h.Node)
	h.onLoop(func() {
		chosen := h.clientTable.Oldest(limit.Idle).Owner
		h.clientTable.Add(time.Now(), &newest.entry)
		h.clientTable.SetStage(time.Now(), &newest.entry, limit.Busy)
		h.evict(newest)
		chosen.Traffic([]byte(testpeer.Query("search", "t", time.Minute, 1)))
	})
	h.nextPart().Answer("served", 1, "v")
	if resp, _ := a.ReadResponse(); resp.StatusCode != 200 {
		t.Errorf("have %s", resp.Status)
	}
	b.ExpectClosed()
	h.onLoop(func() { h.clientTable.Remove(&newest.entry) })
}

// If all other connections are in use, the new one is closed at once, so that nothing on it is read.
func TestANewConnectionWithoutRoomIsNotRead(t *testing.T) {
	h := startBounded(t, 100, 100, 1)
	a := testpeer.NewClient(t, h.Addr()).Send(testpeer.Query("search", "t", time.Minute, 1))
	p := h.nextPart()
	var b *testpeer.Client
	h.onLoop(func() { b = testpeer.NewClient(t, h.Addr()).Send(healthRequest) })
	if b, err := io.ReadAll(b); len(b) > 0 || !errors.Is(err, syscall.ECONNRESET) {
		t.Errorf("have %q, %v, want a reset: the connection was read", b, err)
	}
	p.Answer("served", 1, "v")
	if resp, _ := a.ReadResponse(); resp.StatusCode != 200 {
		t.Errorf("have %s", resp.Status)
	}
	h.onLoop(func() {
		if h.stats.Evicted["newest"] != 1 || h.clientTable.Len() != 1 {
			t.Errorf("evicted %v, %d held", h.stats.Evicted, h.clientTable.Len())
		}
	})
}

// A request received behind the current one is answered although its connection is to end, because many are idle
// or at the end of a drain.
func TestARequestBehindTheLastAnswerIsServed(t *testing.T) {
	for name, c := range map[string]struct{ drain, unread bool }{
		"many idle ones, read": {false, false}, "many idle ones, unread": {false, true},
		"a drain, read": {true, false}, "a drain, unread": {true, true},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			h := startBounded(t, 1, 1, 100)
			if !c.drain {
				exchange(t, testpeer.NewClient(t, h.Addr()), healthRequest)
			}
			client := testpeer.NewClient(t, h.Addr()).Send(testpeer.Query("search", "t", time.Minute, 1))
			first := h.nextPart()
			next := testpeer.Query("search", "u", time.Minute, 1)
			h.onLoop(func() {
				owner := h.clientTable.Oldest(limit.Busy).Owner
				if c.drain {
					now := time.Now()
					h.draining, h.drainUntil, h.serveUntil, h.killAt = true, now, now, now.Add(time.Minute)
				}
				if c.unread {
					client.Send(next)
					h.spinUntil("the request is received", func() bool { return pendingBytes(owner.conn.FD()) == len(next) })
				} else {
					owner.Traffic([]byte(next))
				}
				h.pool.searchers["s"].conns[0].Traffic(encodeFrame("at.0 served 1 -\nv"))
				h.runTurn()
			})
			if resp, _ := client.ReadResponse(); resp.Close {
				t.Error("the connection ends although another request was received")
			}
			first.Conn.Close()
			h.nextPart().Answer("served", 1, "w")
			if resp, body := client.ReadResponse(); resp.StatusCode != 200 || !strings.Contains(body, `"w"`) || !resp.Close {
				t.Errorf("have %s %s, close %v", resp.Status, body, resp.Close)
			}
		})
	}
}

// An answer that ends a connection reaches a client that reads slowly. A client that never reads does not hold its
// place forever.
func TestALastAnswerIsReadSlowlyOrGivenUp(t *testing.T) {
	h := startHarness(t, nil)
	value := strings.Repeat("v", 60_000)
	slow := func(trace string) *testpeer.Client {
		c := testpeer.NewClient(t, h.Addr())
		c.SetReadBuffer(16 << 10)
		c.Send(testpeer.Query("search", trace, time.Minute, 4))
		parts := []testpeer.Part{h.nextPart(), h.nextPart(), h.nextPart(), h.nextPart()}
		h.onLoop(func() {
			owner := h.clientTable.Oldest(limit.Busy).Owner
			owner.lastRequest = true
			_ = setSendBuffer(owner.conn.FD(), 16<<10)
		})
		for _, p := range parts {
			p.Answer("served", 1, value)
		}
		h.waitUntil("an answer is in the buffer", func() bool { return len(h.flushing) == 1 })
		return c
	}
	c := slow("t")
	h.onLoop(func() {
		h.checkClients(time.Now())
		if len(h.flushing) != 1 || h.clientTable.Count(limit.Busy) != 1 {
			t.Error("the client's place was given away before the answer was sent")
		}
	})
	resp, body := c.ReadResponse()
	if resp.StatusCode != 200 || strings.Count(body, value) != 4 {
		t.Errorf("have %s and %d bytes", resp.Status, len(body))
	}
	c.ExpectClosed()
	slow("u")
	h.onLoop(func() {
		h.checkClients(time.Now().Add(flushTimeout))
		if len(h.flushing) != 0 || h.clientTable.Len() != 0 || h.stats.ClosedUnread != 1 {
			t.Errorf("%d are flushing, %d held, %d unread", len(h.flushing), h.clientTable.Len(), h.stats.ClosedUnread)
		}
	})
}

// The values of searchers count as held by the client whose query they answer. If there is no room for them, that query is
// ended with an answer, and the others go on.
func TestValuesWithoutRoomEndTheCostliestQuery(t *testing.T) {
	h := startHarness(t, func(h *harness) { h.account = memory.New(64<<10, 8) })
	large := h.sendQuery("search", "large", time.Minute, 2)
	first, second := h.nextPart(), h.nextPart()
	small := h.sendQuery("search", "small", time.Minute, 1)
	third := h.nextPart()
	first.Answer("served", 1, strings.Repeat("v", 60_000))
	second.Answer("served", 1, strings.Repeat("v", 60_000))
	if resp, _ := large.ReadResponse(); resp.StatusCode != 503 {
		t.Errorf("the query with large values: %s", resp.Status)
	}
	third.Answer("served", 1, "v")
	if resp, _ := small.ReadResponse(); resp.StatusCode != 200 {
		t.Errorf("the other query: %s", resp.Status)
	}
	h.onLoop(func() {
		if h.account.Excess() > 0 || h.account.Held(memory.Queries) > 0 || h.stats.ShedForMemory != 1 {
			t.Errorf("excess %d, held by queries %d, shed %d", h.account.Excess(), h.account.Held(memory.Queries), h.stats.ShedForMemory)
		}
	})
}

// A request that was read whole and waits for its turn is refused, not cut off, if there is no room for it any more.
func TestRequestThatWaitsForItsTurnIsRefusedWithoutRoom(t *testing.T) {
	h := startHarness(t, nil)
	client := testpeer.NewClient(t, h.Addr())
	body := `{"tablets":[{"tablet":0,"fraction":1}],"statement":"` + strings.Repeat("x", 2*maxInlineBody) + `"}`
	text := fmt.Sprintf("POST /search HTTP/1.1\r\nX-Trace-Id: t\r\nX-Qos: search\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
	h.waitUntil("the connection is accepted", func() bool { return h.clientTable.Count(limit.Silent) == 1 })
	h.onLoop(func() {
		owner := h.clientTable.Oldest(limit.Silent).Owner
		owner.Traffic([]byte(text))
		if owner.deferred == nil {
			t.Fatal("the request does not wait for its turn")
		}
		owner.shed()
	})
	if resp, _ := client.ReadResponse(); resp.StatusCode != 503 || !resp.Close {
		t.Errorf("have %s", resp.Status)
	}
}
