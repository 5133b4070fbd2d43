package netio

import (
	"errors"
	"io"
	"strings"
	"syscall"
	"testing"
	"time"

	"eiderwinch/internal/limit"
	"eiderwinch/internal/trial/testpeer"
)

const health = "GET /_health HTTP/1.1\r\n\r\n"

// bounded starts a node whose client connections are bounded so.
func bounded(t *testing.T, soft, firm, hard int) *rig {
	return start(t, func(r *rig) {
		b := limit.Defaults(r.cfg.Sockets)
		b.Soft, b.Firm, b.Hard = soft, firm, hard
		r.clientTable = limit.New[*clientConn](b)
		r.decide = nil
	})
}

// onLoop runs f on the event loop and waits for it.
func (r *rig) onLoop(f func()) {
	r.t.Helper()
	done := make(chan struct{})
	r.exec(func() { f(); close(done) })
	testpeer.Get(r.t, done, "the loop")
}

// until waits for what the loop must come to.
func (r *rig) until(what string, f func() bool) {
	r.t.Helper()
	for end := time.Now().Add(testpeer.Patience); ; {
		done := false
		r.onLoop(func() { done = f() })
		if done {
			return
		}
		if time.Now().After(end) {
			r.t.Fatalf("%s did not come", what)
		}
	}
}

// heard says text and tells whether the answer ends the connection.
func heard(t *testing.T, c *testpeer.Client, text string) (ends bool) {
	t.Helper()
	resp, _ := c.Say(text).Hear()
	if resp.StatusCode != 200 {
		t.Errorf("have %s", resp.Status)
	}
	if resp.Close {
		c.Closed()
	}
	return resp.Close
}

// Clients that ask once and stay must not hold the places that others need:
// their answers say so, and no close crosses a request.
func TestACrowdThatAsksOnceAndStaysIsToldToGo(t *testing.T) {
	r := bounded(t, 4, 8, 100)
	usual := testpeer.NewClient(t, r.Addr())
	heard(t, usual, health)
	heard(t, usual, health)
	stayed := 0
	for range 50 {
		if !heard(t, testpeer.NewClient(t, r.Addr()), health) {
			stayed++
		}
	}
	if stayed != 3 {
		t.Errorf("%d stayed beside the usual one, want 3", stayed)
	}
	if heard(t, usual, health) {
		t.Error("the one that came back before was told to go")
	}
	r.onLoop(func() {
		if r.stats.Noticed != 47 || r.stats.Crossed+len(r.stats.Evicted) > 0 {
			t.Errorf("noticed %d, crossed %d, evicted %v", r.stats.Noticed, r.stats.Crossed, r.stats.Evicted)
		}
	})
}

// From the firm bound on, the ones that came back are told as well.
func TestFromTheFirmBoundOnAllAreTold(t *testing.T) {
	r := bounded(t, 2, 2, 100)
	a, b, c := testpeer.NewClient(t, r.Addr()), testpeer.NewClient(t, r.Addr()), testpeer.NewClient(t, r.Addr())
	c.Say(testpeer.Query("search", "t", time.Minute, 1)) // waits for its answer, so two may be idle beside it
	p := r.part()
	heard(t, a, health)
	heard(t, b, health)
	p.Answer("served", 1, "v")
	if resp, body := c.Hear(); !resp.Close || !strings.Contains(body, `"v"`) {
		t.Errorf("have %s %s, close %v", resp.Status, body, resp.Close)
	}
}

// In a drain no client can open a new connection, so none is told to.
func TestADrainGivesNoNotice(t *testing.T) {
	r := start(t, func(r *rig) {
		r.serveFor = time.Minute
		r.cfg.Clients.Soft, r.cfg.Clients.Firm = 1, 1
		r.clientTable = limit.New[*clientConn](r.cfg.Clients)
	})
	a, b := testpeer.NewClient(t, r.Addr()), testpeer.NewClient(t, r.Addr())
	b.Say(testpeer.Query("search", "t", time.Minute, 1))
	p := r.part()
	heard(t, a, health)
	r.Drain()
	r.onLoop(func() {})
	p.Answer("served", 1, "v")
	if resp, _ := b.Hear(); resp.StatusCode != 200 || resp.Close {
		t.Errorf("have %s, close %v", resp.Status, resp.Close)
	}
	// But who only asks whether it is healthy gives its place back.
	resp, _ := testpeer.NewClient(t, r.Addr()).Say(health).Hear()
	if resp.StatusCode != 503 || !resp.Close {
		t.Errorf("health: %s, close %v", resp.Status, resp.Close)
	}
	r.onLoop(func() { r.serveUntil = time.Now() })
	a.Closed()
	b.Closed()
}

// Connections idle for long are closed only where many are, the longest first.
func TestIdleConnectionsAreTrimmedWhereThereAreMany(t *testing.T) {
	r := bounded(t, 3, 100, 100)
	before := time.Now() // none is idle since then or earlier
	clients := make([]*testpeer.Client, 3)
	for i := range clients {
		clients[i] = testpeer.NewClient(t, r.Addr())
		clients[i].Say(testpeer.Query("search", string(rune('a'+i)), time.Minute, 1))
	}
	for range clients {
		r.part().Answer("served", 1, "v")
	}
	for _, c := range clients {
		c.Hear()
	}
	heard(t, clients[0], health) // it came back
	r.onLoop(func() {
		r.checkClients(before.Add(r.clientTable.Bounds().KeptFor))
		if r.stats.Trimmed != 0 {
			t.Error("one was trimmed that had not been idle for long")
		}
		r.checkClients(time.Now().Add(r.clientTable.Bounds().KeptFor))
		if r.stats.Trimmed != 1 || r.clientTable.Count(limit.Idle) != 2 {
			t.Errorf("%d were trimmed, %d are idle", r.stats.Trimmed, r.clientTable.Count(limit.Idle))
		}
	})
	if heard(t, clients[0], health) {
		t.Error("the one that came back was chosen")
	}
}

// What crosses a close without a word is not read: its client sends it once more. A request that
// has come is never cut off, by whichever way connections between requests are closed.
func TestWhatCrossesACloseIsNotRead(t *testing.T) {
	for name, shut := range map[string]func(*rig){
		"trimmed": func(r *rig) { r.checkClients(time.Now().Add(r.clientTable.Bounds().KeptFor)) },
		"drained": func(r *rig) { r.closeIdleClients() },
		"silent":  func(r *rig) { r.checkClients(time.Now().Add(r.clientTable.Bounds().Request)) },
	} {
		r := bounded(t, 1, 100, 100)
		a := testpeer.NewClient(t, r.Addr())
		stage := limit.Silent
		if name != "silent" {
			heard(t, a, health)
			stage = limit.Idle
		}
		r.until("the connection", func() bool { return r.clientTable.Count(stage) == 1 })
		r.onLoop(func() {
			c := r.clientTable.Oldest(stage).Owner
			a.Say(health)
			for end := time.Now().Add(testpeer.Patience); pendingBytes(c.conn.Fd()) == 0 && time.Now().Before(end); {
			}
			shut(r)
			if r.stats.Spared != 1 || c.ending {
				t.Errorf("%s: spared %d, ending %v", name, r.stats.Spared, c.ending)
			}
		})
		if resp, _ := a.Hear(); resp.StatusCode != 200 {
			t.Errorf("%s: have %s", name, resp.Status)
		}
		b := testpeer.NewClient(t, r.Addr())
		r.until("a new one", func() bool { return r.clientTable.Count(limit.Silent) == 1 })
		r.onLoop(func() {
			c := r.clientTable.Oldest(limit.Silent).Owner
			if !c.closeIfUnused() { // nothing has come
				t.Errorf("%s: not closed", name)
			}
			c.Traffic([]byte(testpeer.Query("search", "x", time.Minute, 1)))
			if r.stats.Taken != 0 {
				t.Errorf("%s: a request was taken after the close", name)
			}
		})
		b.Closed()
	}
}

// A connection on which something has come that was not read yet keeps its place.
func TestARequestThatHasComeIsNotCutOff(t *testing.T) {
	r := bounded(t, 100, 100, 3)
	a, b := testpeer.NewClient(t, r.Addr()), testpeer.NewClient(t, r.Addr())
	heard(t, a, health)
	heard(t, b, health)
	r.onLoop(func() {
		oldest := r.clientTable.Oldest(limit.Idle).Owner
		a.Say(health)
		for end := time.Now().Add(testpeer.Patience); pendingBytes(oldest.conn.Fd()) == 0 && time.Now().Before(end); {
		}
		var more [2]limit.Seat[*clientConn]
		for i := range more {
			r.clientTable.Enter(time.Now(), &more[i])
			r.clientTable.Move(time.Now(), &more[i], limit.Busy)
		}
		r.evictOthers(newClientConn(r.Node))
		for i := range more {
			r.clientTable.Leave(&more[i])
		}
		if r.stats.Spared != 1 || r.stats.Evicted["once_new"] != 1 || r.stats.Crossed != 0 {
			t.Errorf("spared %d, evicted %v, crossed %d", r.stats.Spared, r.stats.Evicted, r.stats.Crossed)
		}
	})
	if resp, _ := a.Hear(); resp.StatusCode != 200 {
		t.Errorf("have %s", resp.Status)
	}
	b.Closed()
}

// A request may be read between the choice of a connection that has to make room and its close. It is served,
// and another one makes room.
func TestAConnectionThatIsToMakeRoomMayComeToUse(t *testing.T) {
	r := bounded(t, 100, 100, 2)
	a := testpeer.NewClient(t, r.Addr())
	heard(t, a, health)
	b := testpeer.NewClient(t, r.Addr())
	r.until("both", func() bool { return r.clientTable.Count(limit.Idle) == 1 && r.clientTable.Count(limit.Silent) == 1 })
	newest := newClientConn(r.Node)
	r.onLoop(func() {
		chosen := r.clientTable.Oldest(limit.Idle).Owner
		r.clientTable.Enter(time.Now(), &newest.seat)
		r.clientTable.Move(time.Now(), &newest.seat, limit.Busy)
		r.evict(newest)
		chosen.Traffic([]byte(testpeer.Query("search", "t", time.Minute, 1)))
	})
	r.part().Answer("served", 1, "v")
	if resp, _ := a.Hear(); resp.StatusCode != 200 {
		t.Errorf("have %s", resp.Status)
	}
	b.Closed()
	r.onLoop(func() { r.clientTable.Leave(&newest.seat) })
}

// Where all others are in use, the new connection goes: at once, so that nothing on it is read.
func TestANewConnectionWithoutRoomIsNotRead(t *testing.T) {
	r := bounded(t, 100, 100, 1)
	a := testpeer.NewClient(t, r.Addr()).Say(testpeer.Query("search", "t", time.Minute, 1))
	p := r.part()
	var b *testpeer.Client
	r.onLoop(func() { b = testpeer.NewClient(t, r.Addr()).Say(health) })
	if b, err := io.ReadAll(b); len(b) > 0 || !errors.Is(err, syscall.ECONNRESET) {
		t.Errorf("have %q, %v: it was read", b, err)
	}
	p.Answer("served", 1, "v")
	if resp, _ := a.Hear(); resp.StatusCode != 200 {
		t.Errorf("have %s", resp.Status)
	}
	r.onLoop(func() {
		if r.stats.Evicted["newest"] != 1 || r.clientTable.Held() != 1 {
			t.Errorf("evicted %v, %d held", r.stats.Evicted, r.clientTable.Held())
		}
	})
}

// A request that has come behind the one in hand is answered, though its connection is to end: for many idle
// ones, or at the end of a drain.
func TestARequestBehindTheLastAnswerIsServed(t *testing.T) {
	for name, c := range map[string]struct{ drain, unread bool }{
		"many idle ones, read": {false, false}, "many idle ones, unread": {false, true},
		"a drain, read": {true, false}, "a drain, unread": {true, true},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			r := bounded(t, 1, 1, 100)
			if !c.drain {
				heard(t, testpeer.NewClient(t, r.Addr()), health)
			}
			client := testpeer.NewClient(t, r.Addr()).Say(testpeer.Query("search", "t", time.Minute, 1))
			first := r.part()
			next := testpeer.Query("search", "u", time.Minute, 1)
			r.onLoop(func() {
				own := r.clientTable.Oldest(limit.Busy).Owner
				if c.drain {
					now := time.Now()
					r.draining, r.drainUntil, r.serveUntil, r.killAt = true, now, now, now.Add(time.Minute)
				}
				if c.unread {
					client.Say(next)
					r.wait("it has come", func() bool { return pendingBytes(own.conn.Fd()) == len(next) })
				} else {
					own.Traffic([]byte(next))
				}
				r.pool.searchers["s"].conns[0].Traffic(frameOf("at.0 served 1 -\nv"))
				r.turnNow()
			})
			if resp, _ := client.Hear(); resp.Close {
				t.Error("the connection ends over it")
			}
			first.Conn.Close()
			r.part().Answer("served", 1, "w")
			if resp, body := client.Hear(); resp.StatusCode != 200 || !strings.Contains(body, `"w"`) || !resp.Close {
				t.Errorf("have %s %s, close %v", resp.Status, body, resp.Close)
			}
		})
	}
}

// An answer that ends a connection reaches a client that reads slowly, and one
// that never reads does not hold its place for good.
func TestALastAnswerIsReadSlowlyOrGivenUp(t *testing.T) {
	r := start(t, nil)
	value := strings.Repeat("v", 60_000)
	slow := func(trace string) *testpeer.Client {
		c := testpeer.NewClient(t, r.Addr())
		c.ReadAhead(16 << 10)
		c.Say(testpeer.Query("search", trace, time.Minute, 4))
		parts := []testpeer.Part{r.part(), r.part(), r.part(), r.part()}
		r.onLoop(func() {
			own := r.clientTable.Oldest(limit.Busy).Owner
			own.lastRequest = true
			_ = setSendBuffer(own.conn.Fd(), 16<<10)
		})
		for _, p := range parts {
			p.Answer("served", 1, value)
		}
		r.until("an answer in the buffer", func() bool { return len(r.flushing) == 1 })
		return c
	}
	c := slow("t")
	r.onLoop(func() {
		r.checkClients(time.Now())
		if len(r.flushing) != 1 || r.clientTable.Count(limit.Busy) != 1 {
			t.Error("its place was given away before the answer had left")
		}
	})
	resp, body := c.Hear()
	if resp.StatusCode != 200 || strings.Count(body, value) != 4 {
		t.Errorf("have %s and %d bytes", resp.Status, len(body))
	}
	c.Closed()
	slow("u")
	r.onLoop(func() {
		r.checkClients(time.Now().Add(flushTimeout))
		if len(r.flushing) != 0 || r.clientTable.Held() != 0 || r.stats.Unread != 1 {
			t.Errorf("%d are flushing, %d held, %d unread", len(r.flushing), r.clientTable.Held(), r.stats.Unread)
		}
	})
}
