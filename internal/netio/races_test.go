package netio

import (
	"context"
	"fmt"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"eiderwinch"
	"eiderwinch/internal/limit"
	"eiderwinch/internal/trial/testpeer"
)

// These tests force rare orders of events: each one blocks the loop, or the other side, until an event has happened
// that rarely happens at that point. docs/acceptance.md has the table.

// spinUntil spins on the loop until the system has brought a condition about.
func (h *harness) spinUntil(what string, condition func() bool) {
	for end := time.Now().Add(testpeer.Timeout); !condition(); {
		if time.Now().After(end) {
			h.t.Errorf("timed out waiting: %s", what)
			return
		}
	}
}

// runTurn makes the core take its turn before the loop reads anything more. It runs on the loop.
func (h *harness) runTurn() {
	h.spinUntil("a turn is due", func() bool { return !time.Now().Before(h.core.NextRun()) })
	h.core.Run(time.Now())
}

// encodeFrame returns a frame as a searcher sends it.
func encodeFrame(body string) []byte { return append([]byte{0, 0, 0, byte(len(body))}, body...) }

// retryOnce scripts an aggregator that sends each part to "s", and a second time if the first attempt fails.
func retryOnce(h *harness) {
	owner := make(map[uint64]uint64)
	h.decide = func(e eiderwinch.Event) []eiderwinch.Action {
		switch e := e.(type) {
		case eiderwinch.Query:
			owner[e.Parts[0].ID] = e.ID
			return []eiderwinch.Action{eiderwinch.Send{Part: e.Parts[0].ID, Replica: "s"}}
		case eiderwinch.Outcome:
			switch {
			case e.Status == eiderwinch.OK:
				return []eiderwinch.Action{eiderwinch.Answer{Query: owner[e.Part], Whole: true}}
			case e.Attempt == 0:
				return []eiderwinch.Action{eiderwinch.Send{Part: e.Part, Replica: "s"}}
			}
		}
		return nil
	}
}

// expectNextPart sends one more query and checks that its part is the next one to arrive.
func (h *harness) expectNextPart(trace string) {
	h.t.Helper()
	h.sendQuery("search", trace, time.Minute, 1)
	if p := h.nextPart(); p.ID != trace+".0" {
		h.t.Errorf("part %s was sent", p.ID)
	}
}

// A loop that is late reads the end of a client's connection only after the turn. No attempt may be started for a
// client that has left by then.
func TestNoAttemptBeginsForAClientWhoseEndIsUnread(t *testing.T) {
	end := func(c *testpeer.Client) { c.Close() }
	for name, c := range map[string]struct {
		unread string // data that is unread before the end
		leave  func(*testpeer.Client)
		retry  bool
	}{
		"an end":                          {"", end, false},
		"an end of its sending side only": {"", (*testpeer.Client).CloseWrite, false},
		"an end behind unread bytes":      {testpeer.Query("search", "ahead", time.Minute, 1), end, false},
		"a reset":                         {"", (*testpeer.Client).Reset, false},
		"a reset behind unread bytes":     {"POST /search", (*testpeer.Client).Reset, false},
		"a second attempt":                {"", end, true},
		"a second one, bytes unread":      {testpeer.Query("search", "ahead", time.Minute, 1), end, true},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			h := startHarness(t, retryOnce)
			client := testpeer.NewClient(t, h.Addr())
			if c.retry {
				client.Send(testpeer.Query("search", "t", time.Minute, 1))
				h.nextPart()
			} else {
				h.waitUntil("the connection is accepted", func() bool { return h.clientTable.Count(limit.Silent) == 1 })
			}
			h.onLoop(func() {
				stage := limit.Silent
				if c.retry {
					stage = limit.Busy
				}
				owner := h.clientTable.Oldest(stage).Owner
				if !c.retry {
					owner.Traffic([]byte(testpeer.Query("search", "t", time.Minute, 1)))
				}
				client.Send(c.unread)
				c.leave(client)
				h.spinUntil("the end is received", func() bool { return remoteClosed(owner.conn.FD()) })
				if c.retry {
					h.pool.searchers["s"].conns[0].Traffic(encodeFrame("at.0 broke 0 -\n"))
				}
				h.runTurn()
			})
			h.waitUntil("the end is read", func() bool { return h.stats.ClientsDisconnected == 1 && h.stats.DisconnectedUnread == 1 })
			h.expectNextPart("next")
		})
	}
}

// A call that waits for its connection is not sent if its client has left by the time the connection is up, not even if
// the settings allow no cancel, so that the aggregator cancels nothing.
func TestACallWhoseClientHasLeftIsNotSentWhenItsConnectionComesUp(t *testing.T) {
	releaseDials, dialed := make(chan bool), make(chan bool, 10)
	h := startHarness(t, func(h *harness) {
		retryOnce(h)
		h.holdDials(dialed, releaseDials)
	})
	client := h.sendQuery("search", "t", time.Minute, 1)
	testpeer.Receive(t, dialed, "a dial")
	client.Close()
	h.waitUntil("the client is gone", func() bool { return h.stats.ClientsDisconnected == 1 })
	close(releaseDials)
	h.waitUntil("the connection is up", func() bool { return h.stats.Dialed == 1 })
	if got := h.nextOutcome(); got.Status != eiderwinch.NotSent {
		t.Errorf("have %v, which says something about the searcher", got.Status)
	}
	h.expectNextPart("next")
}

// Clients count their time from when they sent a request, even if it waits behind another one on its connection.
func TestARequestThatWaitsBehindAnotherHasLessTime(t *testing.T) {
	for name, c := range map[string]struct {
		waited time.Duration
		maxMS  int // most milliseconds that its searcher may be given; 0: the part is not sent
	}{
		"some of its time":    {20 * time.Second, 40_000},
		"all of it":           {time.Minute, 0},
		"all of it, long ago": {time.Minute + time.Second, 0},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			h := startHarness(t, nil)
			client := testpeer.NewClient(t, h.Addr())
			client.Send(testpeer.Query("search", "first", time.Minute, 1))
			first := h.nextPart()
			client.Send(testpeer.Query("search", "behind", time.Minute, 1))
			h.waitUntil("the second request is received", func() bool { return h.clientTable.Oldest(limit.Busy).Owner.parser.Buffered() > 0 })
			h.onLoop(func() {
				for i := range h.clientTable.Oldest(limit.Busy).Owner.arrivals {
					m := &h.clientTable.Oldest(limit.Busy).Owner.arrivals[i]
					m.receivedAt = m.receivedAt.Add(-c.waited)
				}
			})
			first.Answer("served", 1, "v")
			client.ReadResponse()
			if c.maxMS == 0 {
				if resp, _ := client.ReadResponse(); resp.StatusCode != http.StatusServiceUnavailable || len(h.searcher.Parts) > 0 {
					t.Errorf("have %s, %d parts", resp.Status, len(h.searcher.Parts))
				}
				return
			}
			var wait int
			p := h.nextPart()
			if _, err := fmt.Sscanf(p.Fields, "d=%d", &wait); err != nil || wait > c.maxMS {
				t.Errorf("the searcher is given %s, want at most %d", p.Fields, c.maxMS)
			}
			p.Answer("served", 1, "v")
			client.ReadResponse()
		})
	}
}

// The number of recorded arrival times is bounded, and a client that writes in many small pieces does not lose
// time.
func TestArrivalTimesAreBounded(t *testing.T) {
	h := startHarness(t, nil)
	client := testpeer.NewClient(t, h.Addr())
	h.waitUntil("the connection is accepted", func() bool { return h.clientTable.Count(limit.Silent) == 1 })
	h.onLoop(func() {
		owner := h.clientTable.Oldest(limit.Silent).Owner
		feed := func(trace string) {
			for _, b := range []byte(testpeer.Query("search", trace, time.Minute, 1)) {
				for i := range owner.arrivals {
					owner.arrivals[i].receivedAt = owner.arrivals[i].receivedAt.Add(-time.Second)
				}
				owner.Traffic([]byte{b})
			}
		}
		feed("slow")
		feed("behind")
		if len(owner.arrivals) > maxArrivals || owner.arrivals[len(owner.arrivals)-1].endByte != owner.received {
			t.Errorf("%d arrival times, the last for %d bytes of %d", len(owner.arrivals), owner.arrivals[len(owner.arrivals)-1].endByte, owner.received)
		}
	})
	for {
		if e, ok := testpeer.Receive(t, h.events, "the query").(eiderwinch.Query); ok {
			if e.Left < time.Minute/2 { // each of its bytes was made a second older than the next one
				t.Errorf("a request received in pieces has %v left", e.Left)
			}
			break
		}
	}
	h.nextPart().Answer("served", 1, "v")
	client.ReadResponse()
}

// A keyed part that may have run is retried within its window only. A retry that the aggregator decides in time
// may wait for a connection until the window is over.
func TestAKeyedPartThatHasWaitedPastItsWindowIsNotSent(t *testing.T) {
	const window = 200 * time.Millisecond
	for name, c := range map[string]struct {
		end  func(testpeer.Part)
		want bool // the second attempt is sent
	}{
		"it may have run": {func(p testpeer.Part) { p.Conn.Close() }, false},
		"it never ran":    {func(p testpeer.Part) { p.Answer("skipped", 0, ""); p.Conn.Close() }, true},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			var dials atomic.Int32
			h := startHarness(t, func(h *harness) {
				retryOnce(h)
				h.cfg.Gatherer.Module.Classes[1].RepeatWindow = window
				h.beforeDial(h.searcher.Addr, func(context.Context) error {
					if dials.Add(1) == 2 {
						time.Sleep(window) // the first attempt was sent before this dial began
					}
					return nil
				})
			})
			h.sendQuery("reserve", "t", time.Minute, 1)
			first := h.nextPart()
			// The answer may arrive before the end of the connection is noticed, so the connection is closed to
			// new calls.
			h.onLoop(func() { h.pool.searchers["s"].conns[0].retired = true })
			c.end(first)
			h.nextOutcome()
			if !c.want {
				if got := h.nextOutcome(); got.Status != eiderwinch.NoConnection || len(h.searcher.Parts) > 0 {
					t.Errorf("have %v, %d parts sent", got.Status, len(h.searcher.Parts))
				}
				return
			}
			h.nextPart()
		})
	}
}

// A client may leave between the two steps of its query. The second step is not started then.
func TestNoSecondStepBeginsForAClientWhoseEndIsUnread(t *testing.T) {
	h := startHarness(t, func(h *harness) {
		var query uint64
		h.decide = func(e eiderwinch.Event) []eiderwinch.Action {
			switch e := e.(type) {
			case eiderwinch.Query:
				query = e.ID
				return []eiderwinch.Action{eiderwinch.Send{Part: e.Parts[0].ID, Replica: "s"}}
			case eiderwinch.Outcome:
				if e.Status == eiderwinch.OK {
					return []eiderwinch.Action{eiderwinch.Answer{Query: query, Whole: true}}
				}
			case eiderwinch.SecondStep:
				return []eiderwinch.Action{eiderwinch.Send{Part: e.Parts[0].ID, Replica: "s"}}
			}
			return nil
		}
	})
	client := h.sendQuery("report", "t", time.Minute, 1)
	h.nextPart()
	h.onLoop(func() {
		owner := h.clientTable.Oldest(limit.Busy).Owner
		client.Close()
		h.spinUntil("the end is received", func() bool { return remoteClosed(owner.conn.FD()) })
		h.pool.searchers["s"].conns[0].Traffic(encodeFrame("at.0 served 1 -\nv"))
		h.runTurn()
		h.runTurn()
	})
	h.waitUntil("the end is read", func() bool { return h.stats.ClientsDisconnected == 1 && h.stats.DisconnectedUnread == 1 })
	h.expectNextPart("next")
}

// The time that a searcher is given is what is left to the client when the call is written, not when it was
// decided.
func TestACallCarriesTheTimeLeftWhenItIsWritten(t *testing.T) {
	const dialDelay = 300 * time.Millisecond
	h := startHarness(t, func(h *harness) {
		retryOnce(h)
		h.beforeDial(h.searcher.Addr, func(context.Context) error {
			time.Sleep(dialDelay) // the query came before this dial began
			return nil
		})
	})
	h.sendQuery("search", "t", 10*time.Second, 1)
	var stated int64
	p := h.nextPart()
	if _, err := fmt.Sscanf(p.Fields, "d=%d", &stated); err != nil || stated > (10*time.Second-dialDelay).Milliseconds() {
		t.Errorf("the searcher is given %s after %v of 10 s", p.Fields, dialDelay)
	}
}
