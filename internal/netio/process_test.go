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

// A searcher that has started anew under its id and address has none of the connections of the process before:
// where that one's machine went without a word, they stay open and silent. What is out on them may have run.
func TestAConnectionIsNotUsedForTheProcessAfter(t *testing.T) {
	for name, out := range map[string]bool{"idle": false, "with a part out": true} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			r := start(t, again)
			w := testpeer.Get(t, r.d.Watches, "a watch")
			r.ask("search", "t1", time.Minute, 1)
			old := r.part()
			if !out {
				old.Answer("served", 1, "v")
				r.outcome()
			}
			r.until("a later start", func() bool { return time.Now().UnixMilli() > r.pool.searchers["s"].conns[0].openedAt.UnixMilli() })
			w.Send(testpeer.List(42, false, testpeer.Member("s", r.s.Addr, "Ready", time.Now().UnixMilli())))
			r.listed()
			if out {
				if got := r.outcome(); got.Status != eiderwinch.Reset {
					t.Errorf("what was out has ended as %v", got.Status)
				}
			} else {
				r.ask("search", "t2", time.Minute, 1)
			}
			p := r.part()
			if p.Conn == old.Conn {
				t.Error("the connection to the process before is used")
			}
			p.Answer("served", 1, "v")
			r.outcome()
			// Told once more, a start closes nothing.
			w.Send(testpeer.List(43, false, testpeer.Member("s", r.s.Addr, "Ready", time.Now().UnixMilli()-60_000)))
			r.listed()
			r.ask("search", "t3", time.Minute, 1)
			if r.part().Conn != p.Conn {
				t.Error("the connection to the new process is not used")
			}
		})
	}
}

// A call that waits for a connection to where its searcher was goes where it is now.
func TestACallThatWaitsFollowsItsSearcherToAnotherAddress(t *testing.T) {
	dialed := make(chan bool, 10)
	moved := testpeer.NewSearcher(t)
	r := start(t, func(r *rig) {
		again(r)
		r.beforeDial(r.s.Addr, func(ctx context.Context) error {
			dialed <- true
			<-ctx.Done() // its machine is gone
			return ctx.Err()
		})
	})
	r.ask("search", "t", time.Minute, 1)
	testpeer.Get(t, dialed, "a dial")
	testpeer.Get(t, r.d.Watches, "a watch").Send(testpeer.List(42, false, testpeer.Member("s", moved.Addr, "Ready", 0)))
	if p := testpeer.Get(t, moved.Parts, "the part"); p.ID != "t.0" {
		t.Errorf("have %s", p.ID)
	}
}

// A searcher may end an idle connection just before a turn that would write there: what crosses the end is a
// reset, which may have run.
func TestAConnectionWhoseEndIsNotReadIsNotUsed(t *testing.T) {
	r := start(t, again)
	client := r.ask("search", "t1", time.Minute, 1)
	old := r.part()
	old.Answer("served", 1, "v")
	client.Hear()
	r.outcome()
	r.onLoop(func() {
		old.Conn.Close()
		c := r.pool.searchers["s"].conns[0]
		r.wait("the end has come", func() bool { return remoteClosed(c.conn.Fd()) })
		r.clientTable.Oldest(limit.Idle).Owner.Traffic([]byte(testpeer.Query("search", "t2", time.Minute, 1)))
		r.turnNow()
	})
	p := r.part()
	if p.Conn == old.Conn {
		t.Error("it is used")
	}
	p.Answer("served", 1, "w")
	if got := r.outcome(); got.Status != eiderwinch.OK || got.Attempt != 0 {
		t.Errorf("have %v of attempt %d", got.Status, got.Attempt)
	}
}

// A call travels whole, as it costs its searcher work; what is beyond the parts that a connection carries waits
// unread there. It needs one connection, and the next call another.
func TestACallNeedsOneConnection(t *testing.T) {
	r := start(t, func(r *rig) { sendAll(r); r.cfg.Multiplex = 1 })
	r.ask("search", "t", time.Minute, 4)
	p := r.part()
	for range 3 {
		if q := r.part(); p.Conn != q.Conn || p.Call != q.Call {
			t.Error("the call is taken apart")
		}
	}
	r.onLoop(func() {
		if r.pool.connCount != 1 {
			t.Errorf("%d connections for a call", r.pool.connCount)
		}
	})
	r.ask("search", "u", time.Minute, 1)
	if r.part().Conn == p.Conn {
		t.Error("another call is on a connection that carries more than it may")
	}
}

// A connection that carries as many parts as it may is not read on, so the frame that gives a part up would lie
// there unread while the part goes to another searcher, as a second copy. Only a close gives it up then.
func TestAPartThatGoesAgainIsGivenUpForSure(t *testing.T) {
	for name, c := range map[string]struct {
		multiplex int
		beside    bool // another part is out on the connection
		closes    bool
	}{
		"it carries one of one": {1, false, true},
		"two of two":            {2, true, true},
		"one of two":            {2, false, false},
		"two of three":          {3, true, false},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			other := testpeer.NewSearcher(t)
			now := make(chan bool, 1)
			r := start(t, func(r *rig) {
				r.cfg.Multiplex = c.multiplex
				r.cfg.Known.Members = append(r.cfg.Known.Members, catalog.Member{ID: "o", HostPort: other.Addr, Phase: catalog.Ready})
				var first uint64
				r.decide = func(e eiderwinch.Event) []eiderwinch.Action {
					switch e := e.(type) {
					case eiderwinch.Query:
						if first == 0 {
							first = e.Parts[0].ID
						}
						return []eiderwinch.Action{eiderwinch.Send{Part: e.Parts[0].ID, Replica: "s"}, eiderwinch.Wake{}}
					case eiderwinch.Woken:
						select {
						case <-now:
							return []eiderwinch.Action{eiderwinch.Cancel{Part: first}}
						default:
							return []eiderwinch.Action{eiderwinch.Wake{}}
						}
					case eiderwinch.Outcome:
						if e.Status == eiderwinch.Cancelled {
							return []eiderwinch.Action{eiderwinch.Send{Part: e.Part, Replica: "o"}}
						}
					}
					return nil
				}
			})
			r.ask("search", "t", time.Minute, 1)
			p := r.part()
			if c.beside {
				r.ask("search", "u", time.Minute, 1)
				if r.part().Conn != p.Conn {
					t.Error("there is room for the other part")
				}
			}
			now <- true
			if testpeer.Get(t, other.Parts, "the part elsewhere").ID != p.ID {
				t.Error("another part has come")
			}
			if !c.closes {
				if id := testpeer.Get(t, r.s.Cancels, "a cancel"); id != p.ID || len(r.s.Ends) > 0 {
					t.Errorf("cancelled %s, %d ends", id, len(r.s.Ends))
				}
				return
			}
			testpeer.Get(t, r.s.Ends, "the end of the connection")
			if len(r.s.Cancels) > 0 {
				t.Error("a cancel as well")
			}
			if c.beside {
				r.outcome()
				if o := r.outcome(); o.Status != eiderwinch.Reset {
					t.Errorf("the other part has ended as %v", o.Status)
				}
			}
		})
	}
}

// Once nobody waits for a part, its connection stays; what is said there is read when an answer has made room.
func TestAFullConnectionStaysWhereItsPartsAreOver(t *testing.T) {
	r := start(t, func(r *rig) { r.decide, r.cfg.Multiplex = nil, 1 })
	client := r.ask("search", "t", time.Minute, 1)
	p := r.part()
	client.Close()
	if id := testpeer.Get(t, r.s.Cancels, "a cancel"); id != p.ID {
		t.Errorf("cancelled %s", id)
	}
	r.ask("search", "u", time.Minute, 1)
	q := r.part()
	if q.Conn == p.Conn {
		t.Error("a part is behind what is not read")
	}
	p.Answer("served", 1, "late")
	r.until("the answer is read", func() bool {
		return r.pool.searchers["s"].conns[0].lastAnswered == "" && len(r.pool.searchers["s"].conns[0].unreadCancels) == 0
	})
	r.ask("search", "v", time.Minute, 1)
	if r.part().Conn != p.Conn {
		t.Error("the connection that has room again is not used")
	}
}

// Each connection that has come up holds two descriptors until the loop has taken it over. Were they counted as
// one, a loop that is held up by a turn would have none left to accept with, and end.
func TestConnectionsThatComeUpWhileTheLoopIsBusyAreCounted(t *testing.T) {
	const searchers, queries, descriptors = 40, 12, 40 // 12 clients and 20 for searchers are within seven eighths
	up := make(chan bool)
	r := start(t, func(r *rig) {
		r.cfg.Sockets = reservedDescriptors + descriptors
		real := r.dialContext
		r.dialContext = func(ctx context.Context, network, addr string) (net.Conn, error) {
			if addr == r.d.Addr {
				return real(ctx, network, addr)
			}
			<-up
			return real(ctx, network, addr)
		}
		for i := range searchers {
			r.cfg.Known.Members = append(r.cfg.Known.Members, catalog.Member{ID: fmt.Sprint("s", i), HostPort: r.s.Addr, Phase: catalog.Ready})
		}
		n := 0
		r.decide = func(e eiderwinch.Event) []eiderwinch.Action {
			if e, ok := e.(eiderwinch.Query); ok {
				n++
				return []eiderwinch.Action{eiderwinch.Send{Part: e.Parts[0].ID, Replica: fmt.Sprint("s", n%searchers)}}
			}
			return nil
		}
		r.cfg.Gatherer.MaxOpen = 2 * queries
		r.remake()
	})
	for i := range queries {
		r.ask("search", fmt.Sprint("t", i), time.Minute, 1)
	}
	r.until("all are asked", func() bool { return r.stats.Sent == queries })
	r.onLoop(func() {
		if n, held := r.pool.connCount, r.clientTable.Held(); n < 5 || 2*n > descriptors/2 || 2*n+held > descriptors*7/8 {
			t.Errorf("%d connections are being opened, which may hold %d descriptors of %d, beside %d clients", n, 2*n, descriptors, held)
		}
	})
	close(up)
	r.until("none is counted as being opened", func() bool { return r.pool.dialing == 0 && r.stats.Dialed >= 5 })
}

// A call that finds no descriptor for its connection gets one once there is room, whichever searcher's connection has
// made it: one that has come up, or one that has come to rest and is closed for it.
func TestACallThatWaitsForDescriptorsIsSent(t *testing.T) {
	const searchers, descriptors = 24, 40 // 20 for searchers
	r := start(t, func(r *rig) {
		r.cfg.Sockets = reservedDescriptors + descriptors
		for i := range searchers {
			r.cfg.Known.Members = append(r.cfg.Known.Members, catalog.Member{ID: fmt.Sprint("s", i), HostPort: r.s.Addr, Phase: catalog.Ready})
		}
		n := 0
		r.decide = func(e eiderwinch.Event) (out []eiderwinch.Action) {
			if e, ok := e.(eiderwinch.Query); ok {
				for _, p := range e.Parts {
					out = append(out, eiderwinch.Send{Part: p.ID, Replica: fmt.Sprint("s", n)})
					n++
				}
			}
			return out
		}
		r.cfg.Gatherer.MaxOpen = 100
		r.remake()
	})
	for i := range searchers / 4 {
		r.ask("search", fmt.Sprint("t", i), time.Minute, 4)
	}
	for range searchers { // ten are dialed at first, 19 are up in the end, and the last five need those of others
		r.part().Answer("served", 1, "v")
	}
	r.onLoop(func() {
		if r.stats.Sent != searchers || r.stats.Unconnected > 0 {
			t.Errorf("%d parts, %d not sent for want of a connection", r.stats.Sent, r.stats.Unconnected)
		}
	})
}

// The clients that there are and the searchers that are called share the descriptors: a quarter is the searchers' in any
// case, half of them where clients leave it, and what they have clients do not get.
func TestClientsAndSearchersShareTheDescriptors(t *testing.T) {
	r := start(t, func(r *rig) {
		r.cfg.Sockets = reservedDescriptors + 400
		r.clientTable = limit.New[*clientConn](limit.Defaults(400))
	})
	r.until("the own connection is over", func() bool { return r.clientTable.Held() == 0 })
	for _, c := range []struct{ held, links, most, excess int }{
		{0, 0, 200, -250}, {100, 0, 200, -150}, {200, 100, 150, -50}, {250, 100, 100, 0}, {251, 100, 100, 1}, {150, 200, 200, 0}, {151, 200, 199, 1},
	} {
		r.onLoop(func() {
			held := make([]limit.Seat[*clientConn], c.held)
			for i := range held {
				r.clientTable.Enter(time.Now(), &held[i])
			}
			r.pool.connCount = c.links
			if most, excess := r.pool.descriptorLimit(), r.excessClients(); most != c.most || excess != c.excess {
				t.Errorf("%d clients and %d connections to searchers: at most %d of these, %d clients too many; want %d and %d",
					c.held, c.links, most, excess, c.most, c.excess)
			}
			r.pool.connCount = 0
			for i := range held {
				r.clientTable.Leave(&held[i])
			}
		})
	}
}

// A connection that comes up after its call was given up brings that call no attempt, and serves the next.
func TestAConnectionThatComesUpTooLateServesTheNextCall(t *testing.T) {
	up := make(chan bool)
	r := start(t, func(r *rig) {
		r.cfg.Gatherer.Module.Classes[0].Aim = 150 * time.Millisecond // a call waits for a third of it
		r.decide = func(e eiderwinch.Event) []eiderwinch.Action {
			if e, ok := e.(eiderwinch.Query); ok {
				return []eiderwinch.Action{eiderwinch.Send{Part: e.Parts[0].ID, Replica: "s"}}
			}
			return nil
		}
		r.beforeDial(r.s.Addr, func(context.Context) error {
			<-up
			return nil
		})
	})
	r.ask("search", "t", time.Minute, 1)
	if got := r.outcome(); got.Status != eiderwinch.NoConnection {
		t.Errorf("have %v", got.Status)
	}
	close(up)
	r.until("it is up", func() bool { return r.stats.Dialed == 1 })
	r.nothingBefore("next")
	r.onLoop(func() {
		if r.stats.Dialed+r.stats.DialFails+r.pool.dialing != 1 {
			t.Error("another one was opened")
		}
	})
}

// Of what comes in one read, an answer counts though the end of its connection is right behind it, and what is
// asked next goes elsewhere.
func TestAnAnswerCountsThoughItsConnectionEndsBehindIt(t *testing.T) {
	for name, end := range map[string]func(net.Conn){
		"closed": func(c net.Conn) { c.Close() },
		"reset":  func(c net.Conn) { _ = c.(*net.TCPConn).SetLinger(0); c.Close() },
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			r := start(t, again)
			client := r.ask("search", "t", time.Minute, 1)
			p := r.part()
			r.onLoop(func() {
				fd := r.pool.searchers["s"].conns[0].conn.Fd()
				p.Answer("served", 1, "v")
				r.wait("the answer has come", func() bool { return pendingBytes(fd) > 0 })
				end(p.Conn)
				r.wait("the end has come", func() bool { return remoteClosed(fd) })
			})
			if resp, body := client.Hear(); resp.StatusCode != 200 || r.outcome().Status != eiderwinch.OK {
				t.Errorf("have %s %s", resp.Status, body)
			}
			client.Say(testpeer.Query("search", "u", time.Minute, 1))
			if r.part().Conn == p.Conn {
				t.Error("the connection that has ended is used")
			}
		})
	}
}

// An answer may come in pieces of a byte each.
func TestAnAnswerInPieces(t *testing.T) {
	r := start(t, again)
	client := r.ask("search", "t", time.Minute, 1)
	p := r.part()
	for _, b := range frameOf("at.0 served 1 -\nvalue") {
		p.Raw(string(rune(b)))
		r.onLoop(func() {})
	}
	if resp, body := client.Hear(); resp.StatusCode != 200 || !strings.Contains(body, `"value"`) {
		t.Errorf("have %s %s", resp.Status, body)
	}
}
