package netio

import (
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"golang.org/x/sys/unix"

	"eiderwinch"
	"eiderwinch/internal/gatherer"
	"eiderwinch/internal/limit"
	"eiderwinch/internal/stats"
	"eiderwinch/internal/trial/testpeer"
)

// An incomplete request at the end of a drain is refused. If its connection were closed without an answer, the
// rest of the request would reach nobody. The process does not wait for that rest until it is killed.
func TestAnIncompleteRequestIsRefusedBeforeTheKill(t *testing.T) {
	for name, first := range map[string]string{"the first": "", "a further one": healthRequest} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			h := startHarness(t, func(h *harness) { h.serveFor = time.Minute })
			client := testpeer.NewClient(t, h.Addr())
			if first != "" {
				exchange(t, client, first)
			}
			client.Send("POST /search HTTP/1.1\r\nContent-Length: 10\r\n\r\n")
			h.waitUntil("the request has begun", func() bool {
				return h.clientTable.Count(limit.FirstRequest)+h.clientTable.Count(limit.NextRequest) == 1
			})
			h.Drain()
			h.onLoop(func() { // only the time reserved for answers is left
				h.serveUntil = time.Now()
				h.killAt = time.Now().Add(answerMargin)
				h.drained(time.Now())
			})
			client.Send("0123456789")
			if resp, _ := client.ReadResponse(); resp.StatusCode != http.StatusServiceUnavailable || !resp.Close {
				t.Errorf("have %s, close %v", resp.Status, resp.Close)
			}
		})
	}
}

// A close while received data is unread resets the connection, and the last answer may be lost. So a draining
// process waits for clients that were told to close, for as long as it is certain not to be killed.
func TestADrainWaitsForClientsToReadTheirLastAnswer(t *testing.T) {
	h := startHarness(t, nil)
	client := testpeer.NewClient(t, h.Addr()).Send("nonsense\r\n\r\n")
	h.waitUntil("the answer is written", func() bool { return h.clientTable.Count(limit.Closing) == 1 })
	h.Drain()
	h.onLoop(func() {
		client.Send("more of it")
		if now := time.Now(); h.drained(now) || !h.drained(h.killAt) {
			t.Errorf("drained: %v before the kill, %v at it", h.drained(now), h.drained(h.killAt))
		}
	})
	if resp, _ := client.ReadResponse(); resp.StatusCode != http.StatusBadRequest {
		t.Errorf("have %s", resp.Status)
	}
	client.ExpectClosed()
}

// A process may start while the previous one still holds its address. A process that can't listen at all must exit,
// because it would serve nobody.
func TestOpeningTheListenerIsRetried(t *testing.T) {
	t.Parallel()
	other, err := net.Listen("tcp", "127.0.0.1:0") // without SO_REUSEPORT
	if err != nil {
		t.Fatal(err)
	}
	run := func(addr string) (*Node, <-chan error) {
		n := New(Config{Listen: addr, Discovery: "127.0.0.1:1", MaxDescriptors: 1024, Gatherer: gatherer.Settings{Tick: time.Millisecond}},
			&harness{decide: func(eiderwinch.Event) []eiderwinch.Action { return nil }}, stats.New(), slog.New(slog.DiscardHandler))
		done := make(chan error, 1)
		go func() { done <- n.Run() }()
		return n, done
	}
	n, done := run(other.Addr().String())
	select {
	case <-n.Started():
		t.Error("the node started although another listener holds its address")
	case err := <-done:
		t.Errorf("the node gave up: %v", err)
	case <-time.After(100 * time.Millisecond):
	}
	other.Close()
	testpeer.Receive(t, n.Started(), "the start")
	n.acceptFor, n.serveFor = 0, 0
	n.Drain()
	if err := testpeer.Receive(t, done, "the end"); err != nil {
		t.Error(err)
	}
	if _, done := run("192.0.2.1:1"); !errors.Is(testpeer.Receive(t, done, "the end of a node without an address"), unix.EADDRNOTAVAIL) {
		t.Error("the node without an address ended for another reason")
	}
}

// A request counts as taken once it is written to a connection that the system has accepted, even if the loop has
// not accepted it yet.
func TestADrainServesClientsNotAcceptedYet(t *testing.T) {
	h := startHarness(t, nil)
	h.waitUntil("no client is connected", func() bool { return h.clientTable.Len() == 0 })
	var client *testpeer.Client
	h.onLoop(func() {
		now := time.Now()
		h.draining, h.drainUntil, h.serveUntil, h.killAt = true, now, now, now.Add(time.Minute)
		if !h.drained(now) {
			t.Error("the node without clients has not drained")
		}
		client = testpeer.NewClient(t, h.Addr()).Send(testpeer.Query("search", "t", time.Minute, 1))
		h.spinUntil("the client is connected", func() bool { return readable(h.loop.ListenerFD()) })
		if h.drained(now) || !h.drained(h.killAt) {
			t.Error("the connected client is abandoned, or delays the end without limit")
		}
	})
	h.nextPart().Answer("served", 1, "v")
	if resp, _ := client.ReadResponse(); resp.StatusCode != http.StatusOK {
		t.Errorf("have %s", resp.Status)
	}
}

// The durations of a drain follow from the settings: whatever the deadlines, it ends before the kill.
func TestTheTimesOfADrainFitAnyDeadline(t *testing.T) {
	for _, c := range []struct{ deadline, serve, kill time.Duration }{
		{100 * time.Millisecond, 600 * time.Millisecond, 800 * time.Millisecond},
		{500 * time.Millisecond, 700 * time.Millisecond, 1200 * time.Millisecond},
		{time.Second, 700 * time.Millisecond, 1700 * time.Millisecond},
		{2 * time.Second, 1700 * time.Millisecond, 2700 * time.Millisecond},
		{12 * time.Second, 2700 * time.Millisecond, 3700 * time.Millisecond},
	} {
		var cfg Config
		cfg.Gatherer.Module.Classes = []eiderwinch.Class{{Deadline: c.deadline}, {Deadline: c.deadline / 2}}
		if serve, kill := cfg.serveFor(), cfg.killAfter(); serve != c.serve || kill != c.kill {
			t.Errorf("deadline %v: served for %v and killed after %v, want %v and %v", c.deadline, serve, kill, c.serve, c.kill)
		}
	}
}

// Queries taken before a drain may have more time left than the process. They are answered before the process may
// be killed, and refused if a repeat does no harm.
func TestADrainAnswersQueriesThatWouldOutliveTheProcess(t *testing.T) {
	neverDecide := func(h *harness) { h.decide = func(eiderwinch.Event) []eiderwinch.Action { return nil } }
	for name, c := range map[string]struct {
		set          func(*harness)
		class        string
		sent, during bool
		want         int
	}{
		"safe, sent to a searcher that hangs":  {sendOnce, "search", true, false, http.StatusServiceUnavailable},
		"keyed, sent to a searcher that hangs": {sendOnce, "reserve", true, false, http.StatusBadGateway},
		"keyed, never sent":                    {neverDecide, "reserve", false, false, http.StatusServiceUnavailable},
		"safe, taken in the drain":             {sendOnce, "search", true, true, http.StatusServiceUnavailable},
		"half of it is answered, which is enough": {func(h *harness) {
			h.cfg.Gatherer.Module.Classes[0].MinShare = 0.5
			h.rebuildCore()
			sendOnce(h)
		}, "search", true, false, http.StatusOK},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			h := startHarness(t, func(h *harness) {
				c.set(h)
				h.acceptFor = time.Minute // so that queries that come during the drain get no shorter time
			})
			if c.during {
				h.Drain()
			}
			parts := 1
			if c.want == http.StatusOK {
				parts = 2
			}
			client := h.sendQuery(c.class, "t", time.Minute, parts)
			if c.sent {
				for range parts - 1 {
					h.nextPart().Answer("served", 1, "v")
				}
				h.nextPart()
			} else {
				testpeer.Receive(t, h.events, "the list")
				testpeer.Receive(t, h.events, "the query")
			}
			h.Drain()
			resp, _ := client.ReadResponse()
			if resp.StatusCode != c.want || (resp.Header.Get("Retry-After") != "") != (c.want == http.StatusServiceUnavailable) {
				t.Errorf("have %s %v", resp.Status, resp.Header)
			}
			h.onLoop(func() {
				h.drainUntil = time.Now()
				if h.stats.CutShort != 1 || h.stats.DeadlineExceeded != 0 {
					t.Errorf("cut short %d, deadline exceeded %d", h.stats.CutShort, h.stats.DeadlineExceeded)
				}
			})
		})
	}
}

// A partly written answer is written to its end, even past the time of the kill, which may come late.
func TestADrainFlushesAnswers(t *testing.T) {
	h := startHarness(t, nil)
	client := testpeer.NewClient(t, h.Addr())
	client.SetReadBuffer(16 << 10)
	client.Send(testpeer.Query("search", "t", time.Minute, 4))
	parts := []testpeer.Part{h.nextPart(), h.nextPart(), h.nextPart(), h.nextPart()}
	h.onLoop(func() { _ = setSendBuffer(h.clientTable.Oldest(limit.Busy).Owner.conn.FD(), 16<<10) })
	h.Drain()
	h.onLoop(func() { h.serveUntil, h.killAt = time.Now(), time.Now() })
	value := strings.Repeat("v", 60_000)
	for _, p := range parts {
		p.Answer("served", 1, value)
	}
	h.waitUntil("an answer is in the buffer", func() bool { return len(h.flushing) == 1 })
	h.onLoop(func() {
		if h.drained(time.Now()) {
			t.Error("the node ends before the answer is written")
		}
	})
	if resp, body := client.ReadResponse(); resp.StatusCode != http.StatusOK || strings.Count(body, value) != 4 {
		t.Errorf("have %s and %d bytes", resp.Status, len(body))
	}
	client.ExpectClosed()
}

// Data read after the sending side was shut down is not taken as a request, because it could not be answered.
func TestNoQueryIsTakenOnceTheSendingSideIsShut(t *testing.T) {
	h := startHarness(t, nil)
	client := testpeer.NewClient(t, h.Addr())
	exchange(t, client, "GET /_health HTTP/1.1\r\n\r\n")
	h.waitUntil("the connection is idle", func() bool { return h.clientTable.Count(limit.Idle) == 1 })
	h.onLoop(func() { h.clientTable.Oldest(limit.Idle).Owner.closeGracefully() })
	client.Send(testpeer.Query("search", "t", time.Minute, 1))
	h.waitUntil("the query is read", func() bool { return h.clientTable.Oldest(limit.Closing).Owner.discarded > 0 })
	h.onLoop(func() {
		if h.stats.Taken != 0 {
			t.Error("the query is taken")
		}
	})
	client.ExpectClosed()
}

// setSendBuffer sets how many written bytes the system buffers for a connection.
func setSendBuffer(fd, bytes int) error {
	return unix.SetsockoptInt(fd, unix.SOL_SOCKET, unix.SO_SNDBUF, bytes)
}

// Clients that send without end, or never read, do not keep a draining node from its end before the kill.
func TestADrainEndsBesideClientsThatGoOn(t *testing.T) {
	h := startHarness(t, nil)
	flooding, unread := testpeer.NewClient(t, h.Addr()), testpeer.NewClient(t, h.Addr())
	go func() { _, _ = io.Copy(io.Discard, flooding) }()
	requests := []byte(strings.Repeat("GET /_health HTTP/1.1\r\n\r\n", 200))
	for _, c := range []*testpeer.Client{flooding, unread} {
		go func() {
			for {
				if _, err := c.Write(requests); err != nil {
					return
				}
			}
		}()
	}
	h.waitUntil("a client does not read", func() bool { return len(h.flushing) > 0 })
	h.onLoop(func() {
		for _, f := range h.flushing {
			f.progressAt = f.progressAt.Add(-flushStall)
		}
	})
	h.Drain()
	const untilKill = 600 * time.Millisecond
	began := time.Now()
	h.onLoop(func() { h.drainUntil, h.serveUntil, h.killAt = began, began, began.Add(untilKill) })
	select {
	case <-h.ctx.Done():
	case <-time.After(untilKill):
		t.Errorf("the node still runs after %v", untilKill)
	}
}

// A request that was read whole or in part gets an answer, also right before the kill.
func TestWhatWasReadIsAnsweredBeforeADrainIsForcedToEnd(t *testing.T) {
	h := startHarness(t, nil)
	partial, waiting := testpeer.NewClient(t, h.Addr()), testpeer.NewClient(t, h.Addr())
	partial.Send("POST /search HTTP/1.1\r\nX-Trace-Id: t\r\n")
	h.waitUntil("a part of a request is read", func() bool { return h.clientTable.Count(limit.FirstRequest) == 1 })
	body := `{"tablets":[{"tablet":0,"fraction":1}],"statement":"` + strings.Repeat("x", 2*maxInlineBody) + `"}`
	text := fmt.Sprintf("POST /search HTTP/1.1\r\nX-Trace-Id: u\r\nX-Qos: search\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
	h.waitUntil("the connection is accepted", func() bool { return h.clientTable.Count(limit.Silent) == 1 })
	h.onLoop(func() {
		h.clientTable.Oldest(limit.Silent).Owner.Traffic([]byte(text))
		if h.backlog.Len() != 1 {
			t.Fatal("the request does not wait for its turn")
		}
		now := time.Now()
		h.draining, h.drainUntil, h.serveUntil, h.killAt = true, now, now, now.Add(answerMargin-drainCheckInterval)
		if h.drained(now) {
			t.Error("the node ends before it has answered what it has read")
		}
	})
	for name, c := range map[string]*testpeer.Client{"in part": partial, "whole": waiting} {
		if resp, _ := c.ReadResponse(); resp.StatusCode != http.StatusServiceUnavailable {
			t.Errorf("a request read %s: %s", name, resp.Status)
		}
	}
}
