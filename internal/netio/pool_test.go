package netio

import (
	"context"
	"fmt"
	"net"
	"strings"
	"testing"
	"time"

	"eiderwinch"
	"eiderwinch/internal/format/catalog"
	"eiderwinch/internal/limit"
	"eiderwinch/internal/trial/testpeer"
)

// Connections to the previous process of a searcher that has restarted under its id and address are closed: if the
// machine of that process failed without closing them, they stay open and silent. Parts in flight on them may have
// run.
func TestAConnectionIsNotUsedForARestartedSearcher(t *testing.T) {
	for name, inFlight := range map[string]bool{"idle": false, "with a part in flight": true} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			h := startHarness(t, retryOnce)
			w := testpeer.Receive(t, h.discovery.Watches, "a watch")
			h.sendQuery("search", "t1", time.Minute, 1)
			old := h.nextPart()
			if !inFlight {
				old.Answer("served", 1, "v")
				h.nextOutcome()
			}
			h.waitUntil("the clock is past the opening of the connection", func() bool { return time.Now().UnixMilli() > h.pool.searchers["s"].conns[0].openedAt.UnixMilli() })
			w.Send(testpeer.MemberList(42, false, testpeer.Member("s", h.searcher.Addr, "Ready", time.Now().UnixMilli())))
			h.nextListChange()
			if inFlight {
				if got := h.nextOutcome(); got.Status != eiderwinch.Reset {
					t.Errorf("the part in flight ended as %v", got.Status)
				}
			} else {
				h.sendQuery("search", "t2", time.Minute, 1)
			}
			p := h.nextPart()
			if p.Conn == old.Conn {
				t.Error("the connection to the previous process is used")
			}
			p.Answer("served", 1, "v")
			h.nextOutcome()
			// A start that was already reported closes nothing.
			w.Send(testpeer.MemberList(43, false, testpeer.Member("s", h.searcher.Addr, "Ready", time.Now().UnixMilli()-60_000)))
			h.nextListChange()
			h.sendQuery("search", "t3", time.Minute, 1)
			if h.nextPart().Conn != p.Conn {
				t.Error("the connection to the new process is not used")
			}
		})
	}
}

// A call that waits for a connection to a searcher's previous address is sent to the current one.
func TestACallThatWaitsFollowsItsSearcherToAnotherAddress(t *testing.T) {
	dialed := make(chan bool, 10)
	moved := testpeer.NewSearcher(t)
	h := startHarness(t, func(h *harness) {
		retryOnce(h)
		h.beforeDial(h.searcher.Addr, func(ctx context.Context) error {
			dialed <- true
			<-ctx.Done() // that machine is gone
			return ctx.Err()
		})
	})
	h.sendQuery("search", "t", time.Minute, 1)
	testpeer.Receive(t, dialed, "a dial")
	testpeer.Receive(t, h.discovery.Watches, "a watch").Send(testpeer.MemberList(42, false, testpeer.Member("s", moved.Addr, "Ready", 0)))
	if p := testpeer.Receive(t, moved.Parts, "the part"); p.ID != "t.0" {
		t.Errorf("have %s", p.ID)
	}
}

// A searcher may close an idle connection just before a turn that would write to it. A frame that crosses the
// close is answered by a reset, and the part may have run.
func TestAConnectionWhoseEndIsUnreadIsNotUsed(t *testing.T) {
	h := startHarness(t, retryOnce)
	client := h.sendQuery("search", "t1", time.Minute, 1)
	old := h.nextPart()
	old.Answer("served", 1, "v")
	client.ReadResponse()
	h.nextOutcome()
	h.onLoop(func() {
		old.Conn.Close()
		c := h.pool.searchers["s"].conns[0]
		h.spinUntil("the end is received", func() bool { return remoteClosed(c.conn.FD()) })
		h.clientTable.Oldest(limit.Idle).Owner.Traffic([]byte(testpeer.Query("search", "t2", time.Minute, 1)))
		h.runTurn()
	})
	p := h.nextPart()
	if p.Conn == old.Conn {
		t.Error("the closed connection is used")
	}
	p.Answer("served", 1, "w")
	if got := h.nextOutcome(); got.Status != eiderwinch.OK || got.Attempt != 0 {
		t.Errorf("have %v for attempt %d", got.Status, got.Attempt)
	}
}

// A call is sent whole, because each call costs its searcher work. Parts beyond the limit of a connection wait
// unread there. A call needs one connection, and the next call another one.
func TestACallNeedsOneConnection(t *testing.T) {
	h := startHarness(t, func(h *harness) { sendOnce(h); h.cfg.Multiplex = 1 })
	h.sendQuery("search", "t", time.Minute, 4)
	p := h.nextPart()
	for range 3 {
		if q := h.nextPart(); p.Conn != q.Conn || p.Call != q.Call {
			t.Error("the call is split")
		}
	}
	h.onLoop(func() {
		if h.pool.connCount != 1 {
			t.Errorf("%d connections for a call", h.pool.connCount)
		}
	})
	h.sendQuery("search", "u", time.Minute, 1)
	if h.nextPart().Conn == p.Conn {
		t.Error("another call is sent on a connection above its limit")
	}
}

// The searcher does not read on from a connection that carries as many parts as it may. A cancel frame would stay
// unread while the part is sent to another searcher, and two copies could run. Only closing the connection cancels
// the part then.
func TestARetriedPartIsCancelledForCertain(t *testing.T) {
	for name, c := range map[string]struct {
		multiplex     int
		otherInFlight bool // another part is in flight on the connection
		closes        bool
	}{
		"it carries one of one": {1, false, true},
		"two of two":            {2, true, true},
		"one of two":            {2, false, false},
		"two of three":          {3, true, false},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			other := testpeer.NewSearcher(t)
			cancelNow := make(chan bool, 1)
			h := startHarness(t, func(h *harness) {
				h.cfg.Multiplex = c.multiplex
				h.cfg.InitialMembers.Members = append(h.cfg.InitialMembers.Members, catalog.Member{ID: "o", HostPort: other.Addr, Phase: catalog.Ready})
				var first uint64
				h.decide = func(e eiderwinch.Event) []eiderwinch.Action {
					switch e := e.(type) {
					case eiderwinch.Query:
						if first == 0 {
							first = e.Parts[0].ID
						}
						return []eiderwinch.Action{eiderwinch.Send{Part: e.Parts[0].ID, Replica: "s"}, eiderwinch.Wake{}}
					case eiderwinch.Woken:
						return onceSignalled(cancelNow, eiderwinch.Cancel{Part: first})
					case eiderwinch.Outcome:
						if e.Status == eiderwinch.Cancelled {
							return []eiderwinch.Action{eiderwinch.Send{Part: e.Part, Replica: "o"}}
						}
					}
					return nil
				}
			})
			h.sendQuery("search", "t", time.Minute, 1)
			p := h.nextPart()
			if c.otherInFlight {
				h.sendQuery("search", "u", time.Minute, 1)
				if h.nextPart().Conn != p.Conn {
					t.Error("the other part is on another connection")
				}
			}
			cancelNow <- true
			if testpeer.Receive(t, other.Parts, "the part elsewhere").ID != p.ID {
				t.Error("another part was sent")
			}
			if !c.closes {
				if id := testpeer.Receive(t, h.searcher.Cancels, "a cancel"); id != p.ID || len(h.searcher.ClosedConns) > 0 {
					t.Errorf("cancelled %s, %d ends", id, len(h.searcher.ClosedConns))
				}
				return
			}
			testpeer.Receive(t, h.searcher.ClosedConns, "the end of the connection")
			if len(h.searcher.Cancels) > 0 {
				t.Error("a cancel frame was sent as well")
			}
			if c.otherInFlight {
				h.nextOutcome()
				if o := h.nextOutcome(); o.Status != eiderwinch.Reset {
					t.Errorf("the other part ended as %v", o.Status)
				}
			}
		})
	}
}

// If nobody waits for a part any more, its connection stays open. The cancel frame is read when an answer has made room.
func TestAFullConnectionStaysOpenOnceItsPartsAreOver(t *testing.T) {
	h := startHarness(t, func(h *harness) { h.decide, h.cfg.Multiplex = nil, 1 })
	client := h.sendQuery("search", "t", time.Minute, 1)
	p := h.nextPart()
	client.Close()
	if id := testpeer.Receive(t, h.searcher.Cancels, "a cancel"); id != p.ID {
		t.Errorf("cancelled %s", id)
	}
	h.sendQuery("search", "u", time.Minute, 1)
	q := h.nextPart()
	if q.Conn == p.Conn {
		t.Error("a part is sent behind an unread frame")
	}
	p.Answer("served", 1, "late")
	h.waitUntil("the answer is read", func() bool {
		conn := h.pool.searchers["s"].conns[0]
		lastAnswered, _, _ := conn.answers.LastAnswered()
		return lastAnswered == p.ID && len(conn.unreadCancels) == 0 && conn.answers.Abandoned() == 0
	})
	h.sendQuery("search", "v", time.Minute, 1)
	if h.nextPart().Conn != p.Conn {
		t.Error("the connection that has room again is not used")
	}
}

// A connection that has come up holds two descriptors until the loop has taken it over. If it were counted as one,
// a loop that is held up by a turn would have no descriptors left to accept with, and end.
func TestConnectionsThatComeUpWhileTheLoopIsBusyAreCounted(t *testing.T) {
	const searchers, queries, descriptors = 40, 12, 40 // 12 clients and 20 for searchers are within seven eighths
	releaseDials := make(chan bool)
	h := startHarness(t, func(h *harness) {
		h.cfg.MaxDescriptors = reservedDescriptors + descriptors
		real := h.dialContext
		h.dialContext = func(ctx context.Context, network, addr string) (net.Conn, error) {
			if addr == h.discovery.Addr {
				return real(ctx, network, addr)
			}
			<-releaseDials
			return real(ctx, network, addr)
		}
		for i := range searchers {
			h.cfg.InitialMembers.Members = append(h.cfg.InitialMembers.Members, catalog.Member{ID: fmt.Sprint("s", i), HostPort: h.searcher.Addr, Phase: catalog.Ready})
		}
		n := 0
		h.decide = func(e eiderwinch.Event) []eiderwinch.Action {
			if e, ok := e.(eiderwinch.Query); ok {
				n++
				return []eiderwinch.Action{eiderwinch.Send{Part: e.Parts[0].ID, Replica: fmt.Sprint("s", n%searchers)}}
			}
			return nil
		}
		h.cfg.Gatherer.MaxOpen = 2 * queries
		h.rebuildCore()
	})
	for i := range queries {
		h.sendQuery("search", fmt.Sprint("t", i), time.Minute, 1)
	}
	h.waitUntil("all parts are sent to the pool", func() bool { return h.stats.Sent == queries })
	h.onLoop(func() {
		if n, clients := h.pool.connCount, h.clientTable.Len(); n < 5 || 2*n > descriptors/2 || 2*n+clients > descriptors*7/8 {
			t.Errorf("%d connections are being opened, which may hold %d descriptors of %d, besides %d clients", n, 2*n, descriptors, clients)
		}
	})
	close(releaseDials)
	h.waitUntil("no connection is being opened", func() bool { return h.pool.dialing == 0 && h.stats.Dialed >= 5 })
}

// A call that finds no free descriptor for its connection is sent once there is one. A connection to any searcher can
// free it: one that has come up, or one that has become idle and is closed for the call.
func TestACallThatWaitsForDescriptorsIsSent(t *testing.T) {
	const searchers, descriptors = 24, 40 // 20 for searchers
	h := startHarness(t, func(h *harness) {
		h.cfg.MaxDescriptors = reservedDescriptors + descriptors
		for i := range searchers {
			h.cfg.InitialMembers.Members = append(h.cfg.InitialMembers.Members, catalog.Member{ID: fmt.Sprint("s", i), HostPort: h.searcher.Addr, Phase: catalog.Ready})
		}
		n := 0
		h.decide = func(e eiderwinch.Event) (out []eiderwinch.Action) {
			if e, ok := e.(eiderwinch.Query); ok {
				for _, p := range e.Parts {
					out = append(out, eiderwinch.Send{Part: p.ID, Replica: fmt.Sprint("s", n)})
					n++
				}
			}
			return out
		}
		h.cfg.Gatherer.MaxOpen = 100
		h.rebuildCore()
	})
	for i := range searchers / 4 {
		h.sendQuery("search", fmt.Sprint("t", i), time.Minute, 4)
	}
	for range searchers { // ten are dialed at first, 19 are up in the end, and the last five need descriptors of others
		h.nextPart().Answer("served", 1, "v")
	}
	h.onLoop(func() {
		if h.stats.Sent != searchers || h.stats.Unconnected > 0 {
			t.Errorf("%d parts, %d not sent because there was no connection", h.stats.Sent, h.stats.Unconnected)
		}
	})
}

// Clients and connections to searchers share the descriptors. Searchers get a quarter in any case, and half if
// clients leave that; what they hold is not available to clients.
func TestClientsAndSearchersShareTheDescriptors(t *testing.T) {
	h := startHarness(t, func(h *harness) {
		h.cfg.MaxDescriptors = reservedDescriptors + 400
		h.clientTable = limit.New[*clientConn](limit.Defaults(400))
	})
	h.waitUntil("no client is connected", func() bool { return h.clientTable.Len() == 0 })
	for _, c := range []struct{ clients, searcherConns, searcherLimit, excess int }{
		{0, 0, 200, -250}, {100, 0, 200, -150}, {200, 100, 150, -50}, {250, 100, 100, 0}, {251, 100, 100, 1}, {150, 200, 200, 0}, {151, 200, 199, 1},
	} {
		h.onLoop(func() {
			held := make([]limit.Entry[*clientConn], c.clients)
			for i := range held {
				h.clientTable.Add(time.Now(), &held[i])
			}
			h.pool.connCount = c.searcherConns
			if searcherLimit, excess := h.pool.descriptorLimit(), h.excessClients(); searcherLimit != c.searcherLimit || excess != c.excess {
				t.Errorf("%d clients and %d connections to searchers: at most %d of these, %d clients too many; want %d and %d",
					c.clients, c.searcherConns, searcherLimit, excess, c.searcherLimit, c.excess)
			}
			h.pool.connCount = 0
			for i := range held {
				h.clientTable.Remove(&held[i])
			}
		})
	}
}

// A connection that comes up after its call was given up does not send that call, and serves the next one.
func TestAConnectionThatComesUpTooLateServesTheNextCall(t *testing.T) {
	releaseDials := make(chan bool)
	h := startHarness(t, func(h *harness) {
		h.cfg.Gatherer.Module.Classes[0].Aim = 150 * time.Millisecond // a call waits for a third of it
		h.decide = func(e eiderwinch.Event) []eiderwinch.Action {
			if e, ok := e.(eiderwinch.Query); ok {
				return []eiderwinch.Action{eiderwinch.Send{Part: e.Parts[0].ID, Replica: "s"}}
			}
			return nil
		}
		h.beforeDial(h.searcher.Addr, func(context.Context) error {
			<-releaseDials
			return nil
		})
	})
	h.sendQuery("search", "t", time.Minute, 1)
	if got := h.nextOutcome(); got.Status != eiderwinch.NoConnection {
		t.Errorf("have %v", got.Status)
	}
	close(releaseDials)
	h.waitUntil("the connection is up", func() bool { return h.stats.Dialed == 1 })
	h.expectNextPart("next")
	h.onLoop(func() {
		if h.stats.Dialed+h.stats.DialFails+h.pool.dialing != 1 {
			t.Error("another connection was opened")
		}
	})
}

// An answer counts even if the end of its connection follows in the same read, and the next query uses another
// connection.
func TestAnAnswerCountsThoughItsConnectionEndsBehindIt(t *testing.T) {
	for name, end := range map[string]func(net.Conn){
		"closed": func(c net.Conn) { c.Close() },
		"reset":  func(c net.Conn) { _ = c.(*net.TCPConn).SetLinger(0); c.Close() },
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			h := startHarness(t, retryOnce)
			client := h.sendQuery("search", "t", time.Minute, 1)
			p := h.nextPart()
			h.onLoop(func() {
				fd := h.pool.searchers["s"].conns[0].conn.FD()
				p.Answer("served", 1, "v")
				h.spinUntil("the answer is received", func() bool { return pendingBytes(fd) > 0 })
				end(p.Conn)
				h.spinUntil("the end is received", func() bool { return remoteClosed(fd) })
			})
			if resp, body := client.ReadResponse(); resp.StatusCode != 200 || h.nextOutcome().Status != eiderwinch.OK {
				t.Errorf("have %s %s", resp.Status, body)
			}
			client.Send(testpeer.Query("search", "u", time.Minute, 1))
			if h.nextPart().Conn == p.Conn {
				t.Error("the connection that has ended is used")
			}
		})
	}
}

// An answer may arrive one byte at a time.
func TestAnAnswerInPieces(t *testing.T) {
	h := startHarness(t, retryOnce)
	client := h.sendQuery("search", "t", time.Minute, 1)
	p := h.nextPart()
	for _, b := range encodeFrame("at.0 served 1 -\nvalue") {
		p.WriteRaw(string(rune(b)))
		h.onLoop(func() {})
	}
	if resp, body := client.ReadResponse(); resp.StatusCode != 200 || !strings.Contains(body, `"value"`) {
		t.Errorf("have %s %s", resp.Status, body)
	}
}
