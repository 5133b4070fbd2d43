package netio

import (
	"context"
	"errors"
	"fmt"
	"net"
	"strings"
	"syscall"
	"testing"
	"time"

	"eiderwinch"
	"eiderwinch/internal/format/catalog"
	"eiderwinch/internal/gatherer"
	"eiderwinch/internal/trial/testpeer"
)

const (
	largeStatement  = 60 << 10               // bytes, near the longest body that a client may send
	smallSendBuffer = 16 << 10               // bytes
	permissionEnds  = 500 * time.Millisecond // from the start of a test to when its unsent call might not be sent any more
)

// stalledHarness is a harness with a second searcher, "stalled", that reads a number of frames and then nothing until
// resume. The system accepts little of what is written to it.
type stalledHarness struct {
	*harness
	stalled *testpeer.Searcher
	resume  func()
}

func startStalledHarness(t *testing.T, framesRead int, set func(*harness)) *stalledHarness {
	t.Helper()
	stalled, resume := testpeer.NewStalledSearcher(t, framesRead)
	h := startHarness(t, func(h *harness) {
		h.cfg.InitialMembers.Members = append(h.cfg.InitialMembers.Members, catalog.Member{ID: "stalled", HostPort: stalled.Addr, Phase: catalog.Ready})
		limitSendBuffer(h, stalled.Addr)
		set(h)
	})
	return &stalledHarness{h, stalled, resume}
}

// limitSendBuffer gives connections to an address a small send buffer, and segments of a size that fits it.
func limitSendBuffer(h *harness, addr string) {
	limited := net.Dialer{Control: onSocket(func(fd int) error {
		return errors.Join(setSendBuffer(fd, smallSendBuffer), syscall.SetsockoptInt(fd, syscall.IPPROTO_TCP, syscall.TCP_MAXSEG, ethernetSegment))
	})}
	real := h.dialContext
	h.dialContext = func(ctx context.Context, network, to string) (net.Conn, error) {
		if to == addr {
			return limited.DialContext(ctx, network, to)
		}
		return real(ctx, network, to)
	}
}

// onSocket returns a function for the Control of a Dialer or ListenConfig that prepares a socket.
func onSocket(prepare func(fd int) error) func(network, address string, raw syscall.RawConn) error {
	return func(_, _ string, raw syscall.RawConn) (err error) {
		failed := raw.Control(func(fd uintptr) { err = prepare(int(fd)) })
		return errors.Join(failed, err)
	}
}

// sendLargeQuery sends a query of four parts, whose call takes 240 KiB.
func (h *stalledHarness) sendLargeQuery(class, trace string, expires time.Duration) *testpeer.Client {
	h.t.Helper()
	text := testpeer.QueryWithStatement(class, trace, expires, 4, strings.Repeat("x", largeStatement))
	return testpeer.NewClient(h.t, h.Addr()).Send(text)
}

// waitUntilHalfSent waits until a call to the stalled searcher is written in part.
func (h *stalledHarness) waitUntilHalfSent() {
	h.t.Helper()
	h.waitUntil("a call is written in part", func() bool {
		c := h.stalledConn()
		return c != nil && len(c.unsentCall()) > 0 && c.conn.Buffered() < 4*largeStatement
	})
}

// stalledConn returns the open connection to the stalled searcher; nil if there is none.
func (h *stalledHarness) stalledConn() *searcherConn {
	for _, c := range h.pool.searchers["stalled"].conns {
		if c.conn != nil {
			return c
		}
	}
	return nil
}

// checkNothingArrives lets the stalled searcher read on, and checks that its connection ends with no further part.
func (h *stalledHarness) checkNothingArrives() {
	h.t.Helper()
	h.resume()
	select {
	case p := <-h.stalled.Parts:
		h.t.Errorf("part %s arrives although it might not be sent any more", p.ID)
	case <-h.stalled.ClosedConns:
	case <-time.After(testpeer.Timeout):
		h.t.Error("the connection does not end")
	}
}

// sendAll scripts an aggregator that sends each part to a searcher, and again to another one if it was reset.
func sendAll(to, afterReset string) func(*harness) {
	return func(h *harness) {
		h.decide = func(e eiderwinch.Event) (out []eiderwinch.Action) {
			switch e := e.(type) {
			case eiderwinch.Query:
				for _, p := range e.Parts {
					out = append(out, eiderwinch.Send{Part: p.ID, Replica: to})
				}
			case eiderwinch.Outcome:
				if e.Status == eiderwinch.Reset {
					out = append(out, eiderwinch.Send{Part: e.Part, Replica: afterReset})
				}
			}
			return out
		}
	}
}

// Guards against a reservation that is made twice: the frame of a repeat is written in part while its searcher stands
// still, and its rest must not leave after the repeat window.
func TestHalfSentRepeatIsNotCompletedAfterItsWindow(t *testing.T) {
	h := startStalledHarness(t, 0, func(h *harness) {
		sendAll("s", "stalled")(h)
		h.cfg.Gatherer.Module.Classes[1].RepeatWindow = permissionEnds
		h.rebuildCore()
	})
	h.sendLargeQuery("reserve", "t", time.Minute)
	var first testpeer.Part
	for range 4 {
		first = h.nextPart()
	}
	first.Conn.Close()
	h.waitUntilHalfSent()
	for range 4 {
		if got := h.nextOutcome(); got.Status != eiderwinch.Reset {
			t.Errorf("first attempts: have %v", got.Status)
		}
	}
	for range 4 { // while the searcher stands still
		if got := h.nextOutcome(); got.Status != eiderwinch.NoConnection || got.Took < permissionEnds/2 {
			t.Errorf("repeats: have %v after %v", got.Status, got.Took)
		}
	}
	h.checkNothingArrives()
}

// Guards against work for a client that has left: the rest of a frame that was written in part must not leave then.
func TestHalfSentCallIsNotCompletedAfterItsClientHasLeft(t *testing.T) {
	for _, class := range []string{"search", "reserve"} {
		t.Run(class, func(t *testing.T) {
			t.Parallel()
			h := startStalledHarness(t, 0, sendAll("stalled", "s"))
			client := h.sendLargeQuery(class, "t", time.Minute)
			h.waitUntilHalfSent()
			client.Close()
			for range 4 { // while the searcher stands still
				if got := h.nextOutcome(); got.Status != eiderwinch.NotSent {
					t.Errorf("have %v", got.Status)
				}
			}
			h.checkNothingArrives()
		})
	}
}

// Guards against the loss of what was sent whole: when a call behind it is given up, its answer still counts, above all that
// of an unsafe part, which must not be sent again.
func TestPartsSentWholeAreAnsweredThoughACallBehindThemIsGivenUp(t *testing.T) {
	h := startStalledHarness(t, 1, func(h *harness) {
		sendAll("stalled", "s")(h)
		h.cfg.Gatherer.Module.Classes[0].Effect = eiderwinch.Unsafe
		h.rebuildCore()
	})
	h.sendQuery("search", "whole", time.Minute, 1)
	whole := testpeer.Receive(t, h.stalled.Parts, "the part that is sent whole")
	behind := h.sendLargeQuery("search", "behind", time.Minute)
	h.waitUntilHalfSent()
	behind.Close()
	for range 4 {
		if got := h.nextOutcome(); got.Status != eiderwinch.NotSent {
			t.Errorf("the call that is given up: have %v", got.Status)
		}
	}
	whole.Answer("served", 1, "v")
	if got := h.nextOutcome(); got.Status != eiderwinch.OK {
		t.Errorf("the part that was sent whole: have %v", got.Status)
	}
	h.checkNothingArrives()
}

// Guards against blame by association: the other parts of a call that is given up for a client that has left have not run, and
// that says nothing about their searcher.
func TestOtherPartsOfACallThatIsGivenUpGoElsewhere(t *testing.T) {
	var queries int
	var parts []eiderwinch.Action
	h := startStalledHarness(t, 0, func(h *harness) {
		h.decide = func(e eiderwinch.Event) []eiderwinch.Action {
			switch e := e.(type) {
			case eiderwinch.Query:
				queries++
				for _, p := range e.Parts[:2] {
					parts = append(parts, eiderwinch.Send{Part: p.ID, Replica: "stalled"})
				}
				if queries == 2 { // the parts of both queries travel as one call
					return parts
				}
			case eiderwinch.Outcome:
				if e.Status == eiderwinch.NotSent {
					return []eiderwinch.Action{eiderwinch.Send{Part: e.Part, Replica: "s"}}
				}
			}
			return nil
		}
	})
	leaves := h.sendLargeQuery("search", "leaves", time.Minute)
	h.sendLargeQuery("search", "stays", time.Minute)
	h.waitUntilHalfSent()
	leaves.Close()
	for range 2 {
		if p := h.nextPart(); !strings.HasPrefix(p.ID, "stays.") {
			t.Errorf("part %s is sent elsewhere", p.ID)
		}
	}
	h.checkNothingArrives()
}

// Guards against the loss of what was sent whole: an attempt of a call behind it is cancelled so that its part can go elsewhere.
func TestPartsSentWholeAreAnsweredThoughACallBehindThemIsCancelled(t *testing.T) {
	var cancelled uint64
	h := startStalledHarness(t, 1, func(h *harness) {
		h.decide = func(e eiderwinch.Event) (out []eiderwinch.Action) {
			switch e := e.(type) {
			case eiderwinch.Query:
				cancelled = e.Parts[0].ID
				for _, p := range e.Parts {
					out = append(out, eiderwinch.Send{Part: p.ID, Replica: "stalled"})
				}
			case eiderwinch.Share: // the test's signal
				out = append(out, eiderwinch.Cancel{Part: cancelled})
			case eiderwinch.Outcome:
				if e.Status == eiderwinch.Cancelled || e.Status == eiderwinch.NotSent {
					out = append(out, eiderwinch.Send{Part: e.Part, Replica: "s"})
				}
			}
			return out
		}
	})
	h.sendQuery("search", "whole", time.Minute, 1)
	whole := testpeer.Receive(t, h.stalled.Parts, "the part that is sent whole")
	h.sendLargeQuery("search", "behind", time.Minute)
	h.waitUntilHalfSent()
	h.SetShare(0, time.Now())
	for range 4 { // one was cancelled, the others were in its frame
		if p := h.nextPart(); !strings.HasPrefix(p.ID, "behind.") {
			t.Errorf("part %s is sent elsewhere", p.ID)
		}
		h.nextOutcome()
	}
	whole.Answer("served", 1, "v")
	if got := h.nextOutcome(); got.Status != eiderwinch.OK {
		t.Errorf("the part that was sent whole: have %v", got.Status)
	}
	h.checkNothingArrives()
}

// holdBehindPadding makes the last attempt in flight on a connection look as if no byte of its frame were sent.
func (h *harness) holdBehindPadding(c *searcherConn) {
	_ = setSendBuffer(c.conn.FD(), 1)
	for c.conn.Buffered() == 0 { // the searcher of these tests does not read that fast
		c.write([]byte("\x00\x01\x00\x01c" + strings.Repeat("x", 1<<16)))
	}
	last := &c.inFlight[len(c.inFlight)-1]
	last.firstByte, last.endByte = c.written, c.written+1
}

// Guards against the loss of what was sent whole: a call behind it is given up because its searcher begins to leave.
func TestPartsSentWholeToALeavingSearcherAreAnswered(t *testing.T) {
	h := startHarness(t, sendOnce)
	watch := testpeer.Receive(t, h.discovery.Watches, "a watch")
	h.sendQuery("search", "whole", time.Minute, 1)
	whole := h.nextPart()
	h.sendQuery("search", "behind", time.Minute, 1)
	h.nextPart()
	h.onLoop(func() { h.holdBehindPadding(h.pool.searchers["s"].conns[0]) })
	watch.Send(testpeer.MemberList(42, false, testpeer.Member("s", h.searcher.Addr, "Terminating", 0)))
	if got := h.nextOutcome(); got.Status != eiderwinch.NoConnection {
		t.Errorf("the part that was not sent: have %v", got.Status)
	}
	whole.Answer("served", 1, "v")
	if got := h.nextOutcome(); got.Status != eiderwinch.OK {
		t.Errorf("the part that was sent whole: have %v", got.Status)
	}
}

// stated returns the time that a part tells its searcher.
func stated(t *testing.T, p testpeer.Part) time.Duration {
	t.Helper()
	var ms int64
	if _, err := fmt.Sscanf(p.Fields, "d=%d", &ms); err != nil {
		t.Fatalf("part %s states %q: %v", p.ID, p.Fields, err)
	}
	return time.Duration(ms) * time.Millisecond
}

// Guards against a searcher that is told more time than its client has left: the frame that tells it is written in part, and is
// completed much later or not at all.
func TestHalfSentCallTellsNoMoreThanIsLeft(t *testing.T) {
	const expires, slack = 4 * time.Second, 150 * time.Millisecond
	for name, c := range map[string]struct {
		resumeAfter time.Duration
		arrives     bool
	}{
		"the searcher reads on soon": {expires / 8, true}, "it reads on late": {expires * 3 / 4, false},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			h := startStalledHarness(t, 0, sendAll("stalled", "s"))
			began := time.Now()
			h.sendLargeQuery("reserve", "t", expires)
			h.waitUntilHalfSent()
			time.Sleep(time.Until(began.Add(c.resumeAfter)))
			if !c.arrives {
				h.checkNothingArrives()
				if got := h.nextOutcome(); got.Status != eiderwinch.NoConnection {
					t.Errorf("have %v", got.Status)
				}
				return
			}
			h.resume()
			for range 4 {
				p := testpeer.Receive(t, h.stalled.Parts, "a part")
				if left := expires - time.Since(began); stated(t, p) > left+slack {
					t.Errorf("part %s states %v, %v is left", p.ID, stated(t, p), left)
				}
			}
		})
	}
}

// Guards against calls that tell less than is left though nothing holds them up.
func TestSmallCallTellsAllThatIsLeft(t *testing.T) {
	h := startHarness(t, sendOnce)
	for i := range 200 { // more than promptBytes in all
		client := h.sendQuery("search", fmt.Sprint("t", i), time.Minute, 1)
		p := h.nextPart()
		if stated(t, p) < time.Minute-testpeer.Timeout {
			t.Fatalf("part %s states %v of a minute", p.ID, stated(t, p))
		}
		p.Answer("served", 1, "v")
		client.ReadResponse()
		client.Close()
	}
}

// Guards against a call that begins after its searcher's drain grace: the loop was held up, and finds the connection writable
// before it reads that the searcher leaves.
func TestKeptCallDoesNotBeginBeforeUpdatesAreRead(t *testing.T) {
	h := startHarness(t, sendOnce)
	watch := testpeer.Receive(t, h.discovery.Watches, "a watch")
	h.sendQuery("search", "t", time.Minute, 1)
	h.nextPart()
	h.onLoop(func() {
		c := h.pool.searchers["s"].conns[0]
		if !c.MayFlush() {
			t.Error("a connection without an unsent call may not be written")
		}
		h.holdBehindPadding(c)
		if !c.MayFlush() {
			t.Error("the call may not begin although there is no update")
		}
		watch.Send(testpeer.MemberList(42, false, testpeer.Member("s", h.searcher.Addr, "Terminating", 0)))
		h.spinUntil("the update is received", func() bool { return h.deferForUpdates(time.Now()) })
		if c.MayFlush() {
			t.Error("the call may begin before the update is read")
		}
	})
	if got := h.nextOutcome(); got.Status != eiderwinch.NoConnection {
		t.Errorf("have %v", got.Status)
	}
}

// Guards against unsent frames that take all memory, and against the loss of what was sent whole when they are bounded.
func TestUnsentFramesToSearchersAreBounded(t *testing.T) {
	const maxUnsent = 100 << 10
	h := startStalledHarness(t, 1, func(h *harness) {
		sendAll("stalled", "s")(h)
		h.pool.maxUnsent = maxUnsent
	})
	h.sendQuery("search", "whole", time.Minute, 1)
	whole := testpeer.Receive(t, h.stalled.Parts, "the part that is sent whole")
	h.sendLargeQuery("search", "behind", time.Minute)
	for range 4 {
		if got := h.nextOutcome(); got.Status != eiderwinch.NoConnection {
			t.Errorf("the call that takes too much: have %v", got.Status)
		}
	}
	h.onLoop(func() {
		c := h.stalledConn()
		if c == nil {
			t.Error("the connection is closed")
			return
		}
		if held := c.conn.Held(); held > 0 || h.stats.StoppedForMemory != 1 {
			t.Errorf("%d bytes are held, %d connections were stopped; want 0 and 1", held, h.stats.StoppedForMemory)
		}
	})
	whole.Answer("served", 1, "v")
	if got := h.nextOutcome(); got.Status != eiderwinch.OK {
		t.Errorf("the part that was sent whole: have %v", got.Status)
	}
	h.checkNothingArrives()
}

// Guards against the bound on unsent frames being passed by frames that are not a call's.
func TestUnsentCancelsToSearchersAreBounded(t *testing.T) {
	const maxUnsent = 100 << 10
	h := startHarness(t, func(h *harness) {
		sendOnce(h)
		h.pool.maxUnsent = maxUnsent
	})
	h.sendQuery("search", "t", time.Minute, 1)
	p := h.nextPart()
	h.onLoop(func() {
		c := h.pool.searchers["s"].conns[0]
		_ = setSendBuffer(c.conn.FD(), 1)
		for !c.retired { // the searcher of this test does not read that fast
			c.write([]byte("\x00\x01\x00\x01c" + strings.Repeat("x", 1<<16)))
			if held := c.conn.Held(); held > 2*maxUnsent {
				t.Fatalf("%d bytes are unsent", held)
			}
		}
		if h.stats.StoppedForMemory != 1 {
			t.Errorf("%d connections were stopped for memory, want 1", h.stats.StoppedForMemory)
		}
	})
	p.Answer("served", 1, "v")
	if got := h.nextOutcome(); got.Status != eiderwinch.OK {
		t.Errorf("the part that was sent whole: have %v", got.Status)
	}
}

// Guards against sound searchers that are ejected because clients leave or this machine is short of buffers.
func TestCallsThatAreGivenUpBlameOnlySlowSearchers(t *testing.T) {
	for bar, blamed := range map[gatherer.SendBar]bool{
		gatherer.ResultUnwanted: false, gatherer.AttemptOver: false, gatherer.ToldTooMuch: true, gatherer.RepeatWindowOver: true,
	} {
		if blamesSearcher(bar, false) != blamed || blamesSearcher(bar, true) {
			t.Errorf("%v: blamed %v, %v in a shortage; want %v and false", bar, blamesSearcher(bar, false), blamesSearcher(bar, true), blamed)
		}
	}
}
