package netio

import (
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net"
	"os"
	"strings"
	"testing"
	"time"

	"eiderwinch"
	"eiderwinch/internal/format/catalog"
	"eiderwinch/internal/format/http1"
	"eiderwinch/internal/gatherer"
	"eiderwinch/internal/limit"
	"eiderwinch/internal/stats"
	"eiderwinch/internal/trial/testpeer"
)

// harness is a node on loopback sockets between a searcher, discovery and clients. The searcher "s" is known from
// the start.
type harness struct {
	*Node
	t          testing.TB
	searcher   *testpeer.Searcher
	discovery  *testpeer.Discovery
	events     chan eiderwinch.Event                      // all events that the aggregator receives
	decide     func(eiderwinch.Event) []eiderwinch.Action // scripted decisions; nil: those of aggregator
	aggregator *eiderwinch.Aggregator
}

func (h *harness) Turn(now time.Duration, events []eiderwinch.Event) (out []eiderwinch.Action) {
	for _, e := range events {
		select {
		case h.events <- e:
		default: // the test does not read events
		}
		if h.decide != nil {
			out = append(out, h.decide(e)...)
		}
	}
	if h.decide == nil {
		out = h.aggregator.Turn(now, events)
	}
	return out
}

// startHarness starts a harness; set may change it before it runs.
func startHarness(t testing.TB, set func(*harness)) *harness {
	t.Helper()
	h := &harness{t: t, searcher: testpeer.NewSearcher(t), discovery: testpeer.NewDiscovery(t), events: make(chan eiderwinch.Event, 1000)}
	module := eiderwinch.Settings{
		Tick: 5 * time.Millisecond, Shards: 4, Cells: 1, ReplicasPerShard: 1, MaxBatch: 4, Gatherers: 1, MaxAttempts: 4,
		MayCancel: true, RetryAdvice: true, MaxRetryAdvice: time.Second,
		Classes: []eiderwinch.Class{
			{Name: "search", Aim: time.Minute, Deadline: time.Minute, Worth: 1, WholeShare: 1, MinShare: 1, PartialWorth: 1},
			{Name: "reserve", Aim: time.Minute, Deadline: time.Minute, Worth: 1, WholeShare: 1, MinShare: 1, PartialWorth: 1,
				Effect: eiderwinch.Keyed, RepeatWindow: time.Second},
			{Name: "report", Aim: time.Minute, Deadline: time.Minute, Worth: 1, WholeShare: 1, MinShare: 1, PartialWorth: 1, SecondStepParts: 2},
		},
	}
	h.aggregator = eiderwinch.New(module)
	h.Node = New(Config{
		Listen: "127.0.0.1:0", Discovery: h.discovery.Addr, MaxDescriptors: 1024, Multiplex: 32,
		ConnectTimeout: testpeer.Timeout, ConnIdle: time.Minute, DrainGrace: 500 * time.Millisecond, AnswerSlack: 20 * time.Millisecond,
		InitialMembers: catalog.Update{Revision: 41, Members: []catalog.Member{
			{ID: "s", HostPort: h.searcher.Addr, Phase: catalog.Ready},
		}},
		Gatherer: gatherer.Settings{Module: module, Tick: module.Tick, MaxOpen: 20},
	}, h, stats.New(), slog.New(slog.DiscardHandler))
	h.acceptFor, h.serveFor = 0, 0
	if set != nil {
		set(h)
	}
	ended := make(chan error, 1)
	go func() { ended <- h.Run() }()
	testpeer.Receive(t, h.Started(), "the start")
	t.Cleanup(func() {
		h.Drain()
		if err := testpeer.Receive(t, ended, "the end"); err != nil {
			t.Error(err)
		}
	})
	return h
}

// sendOnce scripts an aggregator that sends each part to "s" once, and answers when the last one has ended.
func sendOnce(h *harness) {
	left, owner := make(map[uint64]int), make(map[uint64]uint64)
	h.decide = func(e eiderwinch.Event) (out []eiderwinch.Action) {
		switch e := e.(type) {
		case eiderwinch.Query:
			left[e.ID] = len(e.Parts)
			for _, p := range e.Parts {
				owner[p.ID] = e.ID
				out = append(out, eiderwinch.Send{Part: p.ID, Replica: "s"})
			}
		case eiderwinch.Outcome:
			query := owner[e.Part]
			if left[query]--; left[query] == 0 {
				out = append(out, eiderwinch.Answer{Query: query, Whole: true})
			}
		}
		return out
	}
}

// onceSignalled returns the actions when the test has signalled, and until then one that asks to be woken again.
func onceSignalled(signal <-chan bool, actions ...eiderwinch.Action) []eiderwinch.Action {
	select {
	case <-signal:
		return actions
	default:
		return []eiderwinch.Action{eiderwinch.Wake{}}
	}
}

// neverConnect scripts dials that never succeed.
func neverConnect(h *harness) {
	h.dialContext = func(ctx context.Context, _, _ string) (net.Conn, error) {
		<-ctx.Done()
		return nil, ctx.Err()
	}
}

// beforeDial makes each dial to an address call first; if that returns an error, the dial fails with it.
func (h *harness) beforeDial(to string, first func(context.Context) error) {
	real := h.dialContext
	h.dialContext = func(ctx context.Context, network, addr string) (net.Conn, error) {
		if addr == to {
			if err := first(ctx); err != nil {
				return nil, err
			}
		}
		return real(ctx, network, addr)
	}
}

// holdDials reports each dial to the searcher on dialed, and holds it until release is closed.
func (h *harness) holdDials(dialed chan<- bool, release <-chan bool) {
	h.beforeDial(h.searcher.Addr, waitFor(dialed, release))
}

// waitFor returns a function for beforeDial that reports each dial on dialed, and holds it until release is closed.
func waitFor(dialed chan<- bool, release <-chan bool) func(context.Context) error {
	return func(context.Context) error {
		dialed <- true
		<-release
		return nil
	}
}

// nextOutcome returns the next outcome that the aggregator receives.
func (h *harness) nextOutcome() eiderwinch.Outcome {
	h.t.Helper()
	for {
		if o, ok := testpeer.Receive(h.t, h.events, "an outcome").(eiderwinch.Outcome); ok {
			return o
		}
	}
}

// nextListChange returns the next change of the member list that the aggregator receives.
func (h *harness) nextListChange() eiderwinch.ListChange {
	h.t.Helper()
	for {
		e, ok := testpeer.Receive(h.t, h.events, "a list").(eiderwinch.ListChange)
		if ok && e.Kind != eiderwinch.Stale {
			return e
		}
	}
}

func (h *harness) sendQuery(class, trace string, expires time.Duration, parts int) *testpeer.Client {
	h.t.Helper()
	return testpeer.NewClient(h.t, h.Addr()).Send(testpeer.Query(class, trace, expires, parts))
}

func (h *harness) nextPart() testpeer.Part {
	h.t.Helper()
	return testpeer.Receive(h.t, h.searcher.Parts, "a part")
}

func TestAQueryIsServed(t *testing.T) {
	h := startHarness(t, nil)
	c := h.sendQuery("reserve", "t1", time.Minute, 2)
	p, q := h.nextPart(), h.nextPart()
	if p.ID != "t1.0" || q.ID != "t1.1" || p.Text != "text" || p.Call != q.Call || !strings.HasSuffix(p.Fields, ",k=k") {
		t.Errorf("have %+v and %+v", p, q)
	}
	q.Answer("served", 1, `b"<`)
	p.Answer("served", 1, "a")
	resp, body := c.ReadResponse()
	if resp.StatusCode != 200 || body != `{"full":true,"pieces":[{"tablet":0,"cell":"a"},{"tablet":1,"cell":"b\"\u003c"}]}` {
		t.Errorf("have %s %s", resp.Status, body)
	}
	c.Send(testpeer.Query("search", "t2", time.Minute, 1)) // the connections stay open
	p = h.nextPart()
	p.Answer("served", 1, "c")
	if resp, _ := c.ReadResponse(); resp.StatusCode != 200 || p.Call != 1 {
		t.Errorf("the second query on the same connections: %s, call %d", resp.Status, p.Call)
	}
}

// Rule 1: each query that was taken gets one final answer before its time is over.
func TestNoQueryIsLost(t *testing.T) {
	doNothing := func(*harness) {}
	for name, c := range map[string]struct {
		set   func(*harness)
		class string
		do    func(*harness)
		want  int
	}{
		"a silent searcher":                  {nil, "search", doNothing, 503},
		"a part that may have run":           {nil, "reserve", func(h *harness) { h.nextPart() }, 502},
		"no connection":                      {neverConnect, "search", doNothing, 503},
		"an aggregator that decides nothing": {func(h *harness) { h.decide = func(eiderwinch.Event) []eiderwinch.Action { return nil } }, "search", doNothing, 504},
		"connections that break":             {nil, "reserve", func(h *harness) { h.nextPart().Conn.Close() }, 200},
		"an answer after a break":            {nil, "search", func(h *harness) { h.nextPart().Conn.Close() }, 200},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			h := startHarness(t, c.set)
			expires := 700 * time.Millisecond
			if c.want == 200 {
				expires = time.Minute
			}
			client := h.sendQuery(c.class, "t", expires, 1)
			c.do(h)
			if c.want == 200 {
				h.nextPart().Answer("served", 1, "v") // of the second attempt
			}
			resp, _ := client.ReadResponse()
			if resp.StatusCode != c.want || c.want == 503 && resp.Header.Get("Retry-After") == "" {
				t.Errorf("have %s, %v", resp.Status, resp.Header)
			}
		})
	}
}

// Rule 2: a part that is reported as never run has certainly not run, and a part has one attempt in flight at a
// time.
func TestWhatProvesThatAPartNeverRan(t *testing.T) {
	for name, c := range map[string]struct {
		set  func(*harness)
		do   func(*harness)
		want eiderwinch.Status
	}{
		"served":            {nil, func(h *harness) { h.nextPart().Answer("served", 1, "v") }, eiderwinch.OK},
		"broke":             {nil, func(h *harness) { h.nextPart().Answer("broke", 0, "") }, eiderwinch.Failed},
		"skipped":           {nil, func(h *harness) { h.nextPart().Answer("skipped", 0, "") }, eiderwinch.Full},
		"closed":            {nil, func(h *harness) { h.nextPart().Conn.Close() }, eiderwinch.Reset},
		"invalid frame":     {nil, func(h *harness) { h.nextPart().Write("z") }, eiderwinch.Reset},
		"invalid answer":    {nil, func(h *harness) { h.nextPart().Write("at.0 served") }, eiderwinch.Reset},
		"error frame":       {nil, func(h *harness) { p := h.nextPart(); p.Write("ewords"); p.Conn.Close() }, eiderwinch.Reset},
		"unknown id":        {nil, func(h *harness) { h.nextPart().Answer("other", 0, "") }, eiderwinch.Reset},
		"another's id":      {nil, func(h *harness) { h.nextPart().Write("ax.0 served 1 -\nv") }, eiderwinch.Reset},
		"unsolicited probe": {nil, func(h *harness) { h.nextPart().Write("p") }, eiderwinch.Reset},
		"unknown type":      {nil, func(h *harness) { h.nextPart().WriteRaw("\x00\x00\x00\x09z") }, eiderwinch.Reset},
		"frame of 3 GB":     {nil, func(h *harness) { h.nextPart().WriteRaw("\xb2\xd0\x5e\x00") }, eiderwinch.Reset},
		"incomplete frame": {func(h *harness) { h.cfg.ConnectTimeout = 300 * time.Millisecond }, func(h *harness) {
			h.nextPart().WriteRaw("\x00\x00\x00\x09at.0")
		}, eiderwinch.Reset},
		"malformed report": {nil, func(h *harness) { h.nextPart().Write("at.0 served 1 x y =\xff\nv") }, eiderwinch.OK},
		"refused dial": {func(h *harness) {
			h.dialContext = func(context.Context, string, string) (net.Conn, error) { return nil, errors.New("refused") }
		}, func(*harness) {}, eiderwinch.NoConnection},
		"dial that hangs": {func(h *harness) { neverConnect(h); h.cfg.ConnectTimeout = time.Millisecond }, func(*harness) {}, eiderwinch.NoConnection},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			h := startHarness(t, func(h *harness) {
				sendOnce(h)
				if c.set != nil {
					c.set(h)
				}
			})
			h.sendQuery("search", "t", time.Minute, 1)
			c.do(h)
			if got := h.nextOutcome(); got.Status != c.want {
				t.Errorf("have %v, want %v", got.Status, c.want)
			}
		})
	}
}

// Data behind a valid answer, with nothing in flight, harms neither that answer nor the next query.
func TestSurplusDataBehindAnAnswer(t *testing.T) {
	for name, extra := range map[string]string{
		"duplicate": "\x00\x00\x00\x11at.0 served 1 -\nv", "other id": "\x00\x00\x00\x11ax.0 served 1 -\nv",
		"random bytes": "\xff\xfe noise", "half a frame": "\x00\x00\x00\x11a", "probe": "\x00\x00\x00\x01p",
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			h := startHarness(t, func(h *harness) { h.decide = nil })
			c := h.sendQuery("search", "t", time.Minute, 1)
			h.nextPart().WriteRaw("\x00\x00\x00\x11at.0 served 1 -\nv" + extra)
			if resp, body := c.ReadResponse(); !strings.Contains(body, `"v"`) {
				t.Errorf("have %s %s", resp.Status, body)
			}
			c.Send(testpeer.Query("search", "u", time.Minute, 1))
			h.nextPart().Answer("served", 1, "w")
			if resp, body := c.ReadResponse(); !strings.Contains(body, `"w"`) {
				t.Errorf("the next query: %s %s", resp.Status, body)
			}
		})
	}
}

// A frame written while the searcher closes an idle connection is answered by a reset, and the part may have run.
func TestAConnectionIdleForTooLongIsNotUsed(t *testing.T) {
	h := startHarness(t, nil)
	c := h.sendQuery("search", "t", time.Minute, 1)
	old := h.nextPart()
	old.Answer("served", 1, "v")
	c.ReadResponse()
	h.exec(func() {
		c := h.pool.searchers["s"].conns[0]
		c.idleSince = c.idleSince.Add(-h.pool.maxIdle())
	})
	c.Send(testpeer.Query("search", "u", time.Minute, 1))
	if p := h.nextPart(); p.Conn == old.Conn {
		t.Error("the idle connection is used")
	}
}

// Data in a connection's buffer has not reached the kernel: if the connection breaks before that, the part has
// never run.
func TestAFrameInTheBufferWasNotSent(t *testing.T) {
	h := startHarness(t, sendOnce)
	h.sendQuery("search", "t", time.Minute, 1)
	h.nextPart()
	done := make(chan int, 1)
	h.exec(func() {
		c := h.pool.searchers["s"].conns[0]
		_ = setSendBuffer(c.conn.FD(), 1)
		for c.conn.Buffered() == 0 { // the searcher of this test does not read that fast
			c.write([]byte("\x00\x01\x00\x01c" + strings.Repeat("x", 1<<16)))
		}
		c.inFlight[0].endByte = c.written // as if the part's frame were behind these bytes
		done <- c.conn.Buffered()
		c.close()
	})
	if testpeer.Receive(t, done, "the buffer") == 0 {
		t.Fatal("nothing is buffered")
	}
	if got := h.nextOutcome(); got.Status != eiderwinch.NoConnection {
		t.Errorf("have %v", got.Status)
	}
}

// Rule 2: frames carry no attempt number, so the answer to an earlier attempt must not be taken for that to a new
// one. It counts for its own: "this part is over (its answer is in, [...])", WIRE, `attempt_end`.
func TestALateAnswerDoesNotCountForANewAttempt(t *testing.T) {
	retryNow := make(chan bool, 1)
	h := startHarness(t, func(h *harness) {
		h.beforeDial(h.searcher.Addr, func(context.Context) error {
			time.Sleep(50 * time.Millisecond) // many turns, so that a retry which doesn't wait for the first attempt comes before it
			return nil
		})
		var part, query uint64
		h.decide = func(e eiderwinch.Event) []eiderwinch.Action {
			switch e := e.(type) {
			case eiderwinch.Query:
				query, part = e.ID, e.Parts[0].ID
				return []eiderwinch.Action{eiderwinch.Send{Part: part, Replica: "s"}, eiderwinch.Wake{}}
			case eiderwinch.Woken:
				return onceSignalled(retryNow, eiderwinch.Cancel{Part: part}, eiderwinch.Send{Part: part, Replica: "s"})
			case eiderwinch.Outcome:
				if e.Attempt == 1 {
					return []eiderwinch.Action{eiderwinch.Answer{Query: query, Whole: true}}
				}
			}
			return nil
		}
	})
	c := h.sendQuery("search", "t", time.Minute, 1)
	old := h.nextPart()
	retryNow <- true
	retry := h.nextPart()
	if id := testpeer.Receive(t, h.searcher.Cancels, "a cancel"); id != "t.0" || old.Conn == retry.Conn {
		t.Errorf("cancelled %q; the new attempt uses the connection of the old one: %v", id, old.Conn == retry.Conn)
	}
	old.Answer("served", 1, "old")
	for {
		late, ok := testpeer.Receive(t, h.events, "the late answer").(eiderwinch.LateAnswer)
		if ok && late.Attempt == 0 && !late.Provisional {
			break
		} else if ok {
			t.Fatalf("have %+v", late)
		}
	}
	retry.Answer("served", 1, "new")
	if got := h.nextOutcome(); got.Status != eiderwinch.OK || got.Attempt != 1 {
		t.Errorf("have %+v, want the answer to the new attempt", got)
	}
	if _, body := c.ReadResponse(); !strings.Contains(body, `"old"`) {
		t.Errorf("have %s, want the answer that came first", body)
	}
}

// A part sent on a connection that is cut off hangs until its query ends, so such a connection must not be used
// again and again.
func TestAHalfOpenConnectionIsNotUsedAgain(t *testing.T) {
	h := startHarness(t, func(h *harness) {
		h.halfOpenAfter = 0
		h.decide = func(e eiderwinch.Event) []eiderwinch.Action {
			if e, ok := e.(eiderwinch.Query); ok {
				return []eiderwinch.Action{eiderwinch.Send{Part: e.Parts[0].ID, Replica: "s", TimeOut: 300 * time.Millisecond}}
			}
			return nil
		}
	})
	h.sendQuery("search", "t1", time.Minute, 1)
	halfOpen := h.nextPart()
	testpeer.Receive(t, h.searcher.Cancels, "a cancel")
	h.sendQuery("search", "t2", time.Minute, 1)
	if p := h.nextPart(); p.Conn == halfOpen.Conn {
		t.Error("the half-open connection is used")
	}
}

// A connection may be cut off just after it has answered another part. It counts as half-open by how long it has
// been silent with an attempt in flight, relative to how long calls take, even if it has answered since that
// attempt was sent.
func TestAConnectionThatFallsSilentAfterAnAnswerIsNotUsedAgain(t *testing.T) {
	h := startHarness(t, func(h *harness) {
		h.decide = func(e eiderwinch.Event) []eiderwinch.Action {
			if e, ok := e.(eiderwinch.Query); ok {
				return []eiderwinch.Action{eiderwinch.Send{Part: e.Parts[0].ID, Replica: "s", TimeOut: time.Minute}}
			}
			return nil
		}
	})
	h.sendQuery("search", "t1", time.Minute, 1)
	h.nextPart()
	h.sendQuery("search", "t2", time.Minute, 1)
	second := h.nextPart()
	second.Answer("served", 1, "v")
	h.nextOutcome()
	time.Sleep(100 * time.Millisecond) // many times as long as calls take
	h.sendQuery("search", "t3", time.Minute, 1)
	if p := h.nextPart(); p.Conn == second.Conn {
		t.Error("the silent connection is used")
	}
}

// A partitioned zone does not refuse connections. A call must not wait for one longer than its aim allows.
func TestACallWaitsForAConnectionNoLongerThanItsAimBears(t *testing.T) {
	h := startHarness(t, func(h *harness) {
		sendOnce(h)
		neverConnect(h)
		classes := h.cfg.Gatherer.Module.Classes
		classes[0].Aim = 150 * time.Millisecond
	})
	h.sendQuery("search", "t", time.Minute, 1)
	if o := h.nextOutcome(); o.Status != eiderwinch.NoConnection || o.Took < 50*time.Millisecond || o.Took > h.cfg.ConnectTimeout/2 {
		t.Errorf("have %v after %v, of a limit of %v", o.Status, o.Took, h.cfg.ConnectTimeout)
	}
}

// The aggregator has connections closed because of what it saw at other searchers. In a large fleet that would
// cost a handshake for every call, so a connection that answers stays open, and one that is half-open is closed.
func TestOnlyHalfOpenConnectionsAreClosedOnDemand(t *testing.T) {
	h := startHarness(t, func(h *harness) {
		h.halfOpenAfter = 0
		h.decide = func(e eiderwinch.Event) []eiderwinch.Action {
			if e, ok := e.(eiderwinch.Query); ok {
				return []eiderwinch.Action{
					eiderwinch.Disconnect{Replica: "s"},
					eiderwinch.Send{Part: e.Parts[0].ID, Replica: "s", TimeOut: 300 * time.Millisecond},
				}
			}
			return nil
		}
	})
	h.sendQuery("search", "t1", time.Minute, 1)
	first := h.nextPart()
	first.Answer("served", 1, "v")
	h.nextOutcome()
	h.sendQuery("search", "t2", time.Minute, 1)
	second := h.nextPart()
	if second.Conn != first.Conn {
		t.Error("a connection that answers was closed")
	}
	testpeer.Receive(t, h.searcher.Cancels, "a cancel")
	h.sendQuery("search", "t3", time.Minute, 1)
	if h.nextPart().Conn == second.Conn {
		t.Error("the half-open connection is used")
	}
}

// Rule 3: a call that waits for a connection past its searcher's drain grace is not sent when the connection comes
// up.
func TestNothingIsSentPastADrainsGrace(t *testing.T) {
	dialed, releaseDials := make(chan bool, 1), make(chan bool)
	h := startHarness(t, func(h *harness) {
		sendOnce(h)
		h.holdDials(dialed, releaseDials)
	})
	watch := testpeer.Receive(t, h.discovery.Watches, "a watch")
	h.sendQuery("search", "t", time.Minute, 1)
	testpeer.Receive(t, dialed, "a dial")
	watch.Send(testpeer.MemberList(42, false, testpeer.Member("s", h.searcher.Addr, "Terminating", 0)))
	h.nextListChange()
	close(releaseDials)
	if got := h.nextOutcome(); got.Status != eiderwinch.NoConnection {
		t.Errorf("have %v", got.Status)
	}
	if len(h.searcher.Parts) > 0 {
		t.Error("the part was sent")
	}
}

// Rule 4: a searcher that started shortly before this process must be reported as cold, so that the aggregator
// starts slowly there.
func TestTheStartOfASearcherIsReported(t *testing.T) {
	h := startHarness(t, nil)
	up := time.Now().Add(-time.Second)
	watch := testpeer.Receive(t, h.discovery.Watches, "a watch")
	watch.Send(testpeer.MemberList(42, true, testpeer.Member("s", h.searcher.Addr, "Ready", up.UnixMilli())))
	l := h.nextListChange()
	if got := l.Replicas[0].Started; l.Kind != eiderwinch.Whole || got != time.Duration(up.UnixMilli())*time.Millisecond {
		t.Errorf("started at %v, want the Unix time %v", got, up)
	}
}

// Rule 5: answers hold only what searchers returned, and a second step states truthfully which parts of the first step
// were answered.
func TestAnswersHoldOnlyWhatSearchersGave(t *testing.T) {
	h := startHarness(t, nil)
	c := h.sendQuery("report", "t", time.Minute, 3)
	for range 3 {
		p := h.nextPart()
		p.Answer("served", []int{20, 10, 30}[p.Shard], "first")
	}
	for range 2 {
		p := h.nextPart()
		if p.ID != fmt.Sprintf("t.%d.b", p.Shard) || p.Shard == 1 || !strings.HasSuffix(p.Fields, ",from=0+1+2,whole=1") {
			t.Errorf("have %+v", p)
		}
		p.Answer("served", 0, fmt.Sprint("second", p.Shard))
	}
	if _, body := c.ReadResponse(); body != `{"full":true,"pieces":[{"tablet":2,"cell":"second2"},{"tablet":0,"cell":"second0"}]}` {
		t.Errorf("have %s", body)
	}
	c = h.sendQuery("search", "u", 500*time.Millisecond, 2)
	p, q := h.nextPart(), h.nextPart()
	p.Answer("served", 1, "v")
	q.Answer("broke", 0, "no value")
	if resp, body := c.ReadResponse(); resp.StatusCode == 200 {
		t.Errorf("answered from half of the parts: %s", body)
	}
}

func TestRequestsThatAreNotQueries(t *testing.T) {
	h := startHarness(t, nil)
	valid := testpeer.Query("search", "t", time.Minute, 1)
	edit := func(old, new string) string { return strings.Replace(valid, old, new, 1) }
	for text, want := range map[string]int{
		"GET /_health HTTP/1.1\r\n\r\n":                   200,
		"GET /search HTTP/1.1\r\n\r\n":                    405,
		"nonsense\r\n\r\n":                                400,
		edit("/search", "/other"):                         400,
		strings.ReplaceAll(valid, "search", "other"):      404,
		edit("X-Trace-Id: t", "X-Trace-Id: t t"):          400,
		edit("X-Trace-Id: t\r\n", ""):                     400,
		edit("60000", "-1"):                               400,
		edit(`"tablets"`, `"tablest"`):                    400,
		edit(`"tablet":0`, `"tablet":9`):                  400,
		edit(`"tablet":0`, `"tabled":0`):                  400,
		edit(`"fraction":1`, `"fraction":0.5`):            400,
		edit(`"statement":"text"`, `"statement":     7`):  400,
		edit("Content-Length: ", "Content-Length: 99999"): 413,
		edit(`{"tab`, `[[[[[`):                            400,
	} {
		c := testpeer.NewClient(t, h.Addr()).Send(text)
		if resp, body := c.ReadResponse(); resp.StatusCode != want {
			t.Errorf("%q: have %s %s, want %d", text, resp.Status, body, want)
		}
	}
}

// The key and the tenant of a query decide how it is treated, and come from clients. An invalid value counts as
// absent or gets a clear 4xx status: it never causes a crash, or use of another client's key or share.
func TestInvalidKeysAndTenants(t *testing.T) {
	h := startHarness(t, func(h *harness) {
		h.cfg.Gatherer.Module.Tenants = []eiderwinch.Tenant{{Name: "north", Share: 0.5}, {Name: "south", Share: 0.5}}
		h.core = gatherer.New(h.cfg.Gatherer, h, h.pool, stats.New(), slog.New(slog.DiscardHandler), time.Now())
	})
	type want struct {
		status int
		key    string
		tenant int
	}
	token := `"tablet":0,"token":"00ab"`
	n := 0
	for _, c := range []struct {
		name, fields, tablet string
		want                 want
	}{
		{"a key", "Cookie: user=7f3a9c21e0b4d655\r\nX-Customer: south\r\n", "", want{200, "7f3a9c21e0b4d655", 2}},
		{"a key among other cookies", "Cookie: a=b; user=7f; x\r\n", "", want{200, "7f", 0}},
		{"a token", "", token, want{200, "00ab", 0}},
		{"a key and a token", "Cookie: user=7f\r\n", token, want{200, "7f", 0}},
		{"the same key three times", "Cookie: user=7f; user=7f\r\nCookie: user=7f\r\n", "", want{200, "7f", 0}},
		{"two keys that differ", "Cookie: user=7f; user=80\r\n", "", want{200, "", 0}},
		{"two cookies that differ", "Cookie: user=7f\r\nCookie: user=80\r\n", "", want{200, "", 0}},
		{"an empty key", "Cookie: user=\r\n", "", want{200, "", 0}},
		{"no value", "Cookie: user\r\n", "", want{200, "", 0}},
		{"another name", "Cookie: users=7f; User=7f\r\n", "", want{200, "", 0}},
		{"not a key", "Cookie: user=a,b\r\n", "", want{200, "", 0}},
		{"bytes that are not text", "Cookie: user=\xff\xfe\r\n", "", want{200, "", 0}},
		{"a key that is too long", "Cookie: user=" + strings.Repeat("a", 4096) + "\r\n", "", want{200, "", 0}},
		{"a key of 60 KB", "Cookie: user=" + strings.Repeat("a", 60<<10) + "\r\n", "", want{431, "", 0}},
		{"a control character", "Cookie: user=a\x01\r\n", "", want{400, "", 0}},
		{"a token that is too long", "", `"tablet":0,"token":"` + strings.Repeat("t", 500) + `"`, want{200, "", 0}},
		{"a token that is not text", "", `"tablet":0,"token":7`, want{400, "", 0}},
		{"an unknown tenant", "X-Customer: east\r\n", "", want{200, "", 0}},
		{"a tenant in another case", "X-Customer: NORTH\r\n", "", want{200, "", 0}},
		{"a tenant twice", "X-Customer: north\r\nX-Customer: north\r\n", "", want{200, "", 1}},
		{"two tenants", "X-Customer: north\r\nX-Customer: south\r\n", "", want{200, "", 0}},
	} {
		n++
		q := testpeer.Query("search", fmt.Sprint("t", n), time.Minute, 1)
		if c.tablet != "" {
			length := len(q) - strings.Index(q, "\r\n\r\n") - 4
			q = strings.Replace(q, `"tablet":0`, c.tablet, 1)
			q = strings.Replace(q, fmt.Sprint("Content-Length: ", length), fmt.Sprint("Content-Length: ", length+len(c.tablet)-len(`"tablet":0`)), 1)
		}
		q = strings.Replace(q, "X-Trace-Id", c.fields+"X-Trace-Id", 1)
		client := testpeer.NewClient(t, h.Addr()).Send(q)
		if c.want.status == 200 {
			p := h.nextPart()
			p.Write("a" + p.ID + " served 1 waiting=3,new=x\nv")
		}
		resp, body := client.ReadResponse()
		if resp.StatusCode != c.want.status {
			t.Errorf("%s: have %s %s, want %d", c.name, resp.Status, body, c.want.status)
		}
		if c.want.status != 200 {
			continue
		}
		for {
			if e, ok := testpeer.Receive(t, h.events, "the query").(eiderwinch.Query); ok {
				if have := (want{200, e.Key, e.Tenant}); have != c.want {
					t.Errorf("%s: have %+v, want %+v", c.name, have, c.want)
				}
				break
			}
		}
		if o := h.nextOutcome(); o.Load == nil || o.Load.Waiting != 3 {
			t.Errorf("%s: load %+v", c.name, o.Load)
		}
	}
}

// A client that sends no complete request gets an error or a close; one that has sent a request may keep its
// connection.
func TestIncompleteRequests(t *testing.T) {
	h := startHarness(t, nil)
	kept := testpeer.NewClient(t, h.Addr()).Send("GET /_health HTTP/1.1\r\n\r\n")
	kept.ReadResponse()
	silent := testpeer.NewClient(t, h.Addr())
	half := testpeer.NewClient(t, h.Addr()).Send("POST /search HTTP/1.1\r\nContent-Le")
	began := time.Now()
	if resp, _ := half.ReadResponse(); resp.StatusCode != 408 || !resp.Close {
		t.Errorf("the incomplete request: %s", resp.Status)
	}
	silent.ExpectClosed()
	if took := time.Since(began); took < h.clientTable.Bounds().RequestTimeout/2 {
		t.Errorf("closed after %v", took)
	}
	if resp, _ := kept.Send("GET /_health HTTP/1.1\r\n\r\n").ReadResponse(); resp.StatusCode != 200 {
		t.Errorf("the kept connection: %s", resp.Status)
	}
}

// The error answer must be readable while the rest of the request is still arriving.
func TestARefusedBodyIsDiscarded(t *testing.T) {
	h := startHarness(t, nil)
	c := testpeer.NewClient(t, h.Addr()).Send("POST /search HTTP/1.1\r\nContent-Length: 60000000\r\n\r\n")
	piece := strings.Repeat("x", 1<<20)
	for range 57 {
		c.Send(piece)
	}
	if resp, _ := c.ReadResponse(); resp.StatusCode != 413 || !resp.Close {
		t.Errorf("have %s", resp.Status)
	}
}

func TestClientsThatLeaveOrPipeline(t *testing.T) {
	h := startHarness(t, nil)
	c := h.sendQuery("search", "t", time.Minute, 1)
	p := h.nextPart()
	c.Close()
	if id := testpeer.Receive(t, h.searcher.Cancels, "a cancel"); id != p.ID {
		t.Errorf("cancelled %q", id)
	}
	c = testpeer.NewClient(t, h.Addr()).Send(testpeer.Query("search", "u", time.Minute, 1) + "GET /_health HTTP/1.1\r\nConnection: close\r\n\r\n")
	h.nextPart().Answer("served", 1, "v")
	if resp, body := c.ReadResponse(); !strings.Contains(body, `"v"`) {
		t.Errorf("have %s %s", resp.Status, body)
	}
	if resp, _ := c.ReadResponse(); resp.StatusCode != 200 || !resp.Close {
		t.Errorf("the pipelined request: %s", resp.Status)
	}
	c.ExpectClosed()
}

// Kept connections are served during a drain, but nothing is left open when the kill may come.
func TestADrainServesKeptConnectionsAndAnswersBeforeTheKill(t *testing.T) {
	h := startHarness(t, func(h *harness) {
		h.serveFor = time.Minute
		h.cfg.Gatherer.Module.Classes[0].Deadline = time.Millisecond // the longest is the others' minute, counted as 3 s
	})
	if got := h.cfg.killAfter(); got != maxCountedDeadline+killDelay {
		t.Errorf("killed after %v", got)
	}
	c := testpeer.NewClient(t, h.Addr()).Send("GET /_health HTTP/1.1\r\n\r\n")
	c.ReadResponse()
	h.Drain()
	draining := make(chan bool, 1)
	h.exec(func() { draining <- h.draining })
	testpeer.Receive(t, draining, "the drain")
	c.Send(testpeer.Query("report", "t", time.Minute, 1))
	p := h.nextPart()
	var wait int
	if _, err := fmt.Sscanf(p.Fields, "d=%d", &wait); err != nil || wait >= 3700 {
		t.Errorf("the part may take until after the kill: %s", p.Fields)
	}
	p.Answer("broke", 0, "")
	h.nextPart().Answer("served", 1, "v")
	h.nextPart().Answer("served", 1, "w")
	if resp, body := c.ReadResponse(); resp.StatusCode != 200 || resp.Close {
		t.Errorf("have %s %s", resp.Status, body)
	}
	h.exec(func() { h.serveUntil = time.Now() })
	c.ExpectClosed()
}

func TestFullNodeRefusesAtOnce(t *testing.T) {
	h := startHarness(t, func(h *harness) { h.decide = func(eiderwinch.Event) []eiderwinch.Action { return nil } })
	for i := range 4 {
		h.sendQuery("search", fmt.Sprint("t", i), time.Second, 4)
		testpeer.Receive(t, h.events, "a query")
	}
	c := h.sendQuery("search", "u", time.Hour, 4)
	if resp, _ := c.ReadResponse(); resp.StatusCode != 503 || resp.Header.Get("Retry-After") != "0.500" {
		t.Errorf("have %s %v", resp.Status, resp.Header)
	}
}

func TestWatchIsReopenedFromTheLastRevision(t *testing.T) {
	for name, end := range map[string]func(*testpeer.Watch){
		"ended":   func(w *testpeer.Watch) { w.Conn.Close() },
		"silent":  func(*testpeer.Watch) {},
		"invalid": func(w *testpeer.Watch) { w.Send("{") },
		"done":    func(w *testpeer.Watch) { _, _ = io.WriteString(w.Conn, "0\r\n\r\n") },
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			h := startHarness(t, nil)
			w := testpeer.Receive(t, h.discovery.Watches, "a watch")
			w.Send(testpeer.MemberList(42, false, testpeer.Member("s", h.searcher.Addr, "Ready", 0)))
			if got := h.nextListChange(); w.From != "41" || got.Kind != eiderwinch.Changes {
				t.Errorf("watched from %s, received %+v", w.From, got)
			}
			end(w)
			if w := testpeer.Receive(t, h.discovery.Watches, "another watch"); w.From != "42" {
				t.Errorf("reopened from %s", w.From)
			}
		})
	}
}

// The old address is used until the new one has sent its list. Revisions of the old address mean nothing to the
// new one.
func TestReloadFollowsDiscoveryToItsNewAddress(t *testing.T) {
	h, newDiscovery, skippedDiscovery := startHarness(t, nil), testpeer.NewDiscovery(t), testpeer.NewDiscovery(t)
	old := testpeer.Receive(t, h.discovery.Watches, "a watch")
	client := h.sendQuery("search", "t", time.Minute, 1)
	part := h.nextPart()
	h.FollowDiscovery(skippedDiscovery.Addr)
	h.FollowDiscovery(newDiscovery.Addr) // before the first one has sent anything
	h.FollowDiscovery(newDiscovery.Addr)
	old.Send(testpeer.MemberList(42, false, testpeer.Member("x", "127.0.0.1:1", "Ready", 0)))
	if got := h.nextListChange(); got.Kind != eiderwinch.Changes || got.Replicas[0].ID != "x" {
		t.Errorf("the old watch received %+v", got)
	}
	newDiscovery.SetList(testpeer.MemberList(7, true, testpeer.Member("s", h.searcher.Addr, "Ready", 0)))
	if got := h.nextListChange(); got.Kind != eiderwinch.Whole || len(got.Replicas) != 1 {
		t.Errorf("the new watch received %+v", got)
	}
	w := testpeer.Receive(t, newDiscovery.Watches, "the new watch")
	if w.From != "7" {
		t.Errorf("watched from %s", w.From)
	}
	if _, err := io.Copy(io.Discard, old.Conn); err != nil {
		t.Errorf("the old watch stays open: %v", err)
	}
	part.Answer("served", 1, "v")
	if resp, _ := client.ReadResponse(); resp.StatusCode != 200 {
		t.Errorf("the open query: %s", resp.Status)
	}
	w.Conn.Close()
	if w := testpeer.Receive(t, newDiscovery.Watches, "another watch"); w.From != "7" || len(newDiscovery.Watches)+len(h.discovery.Watches) > 0 {
		t.Errorf("reopened from %s, and %d more", w.From, len(newDiscovery.Watches)+len(h.discovery.Watches))
	}
}

// Guards against a move of discovery that is dropped because the event loop does not run yet.
func TestMoveOfDiscoveryBeforeTheStartIsFollowed(t *testing.T) {
	moved := testpeer.NewDiscovery(t)
	h := startHarness(t, func(h *harness) { h.FollowDiscovery(moved.Addr) })
	moved.SetList(testpeer.MemberList(7, true, testpeer.Member("s", h.searcher.Addr, "Ready", 0)))
	testpeer.Receive(t, moved.Watches, "a watch at the new address")
}

func TestConnectionsToSearchers(t *testing.T) {
	h := startHarness(t, func(h *harness) { sendOnce(h); h.cfg.Multiplex, h.cfg.ConnIdle = 1, time.Millisecond })
	c := h.sendQuery("search", "t", time.Minute, 1)
	p := h.nextPart()
	h.sendQuery("search", "u", time.Minute, 1)
	if q := h.nextPart(); q.Conn == p.Conn {
		t.Error("two parts on a connection that carries one")
	}
	p.Answer("served", 1, "v")
	c.ReadResponse()
	testpeer.Receive(t, h.searcher.ClosedConns, "the end of the idle connection") // before the searcher closes it
}

func TestUnreadAnswersAreBounded(t *testing.T) {
	h := startHarness(t, nil)
	c := testpeer.NewClient(t, h.Addr())
	requests := strings.Repeat("GET /_health HTTP/1.1\r\n\r\n", 1000)
	for {
		if _, err := io.WriteString(c, requests); errors.Is(err, os.ErrDeadlineExceeded) {
			t.Fatal("a client that reads no answers is served without limit")
		} else if err != nil {
			return // closed, because more answers than a client may leave unread were waiting
		}
	}
}

func TestAQueryIsAnsweredThoughItsClientPipelinesTooMuch(t *testing.T) {
	h := startHarness(t, nil)
	c := h.sendQuery("search", "t", time.Minute, 1)
	p := h.nextPart()
	c.Send(strings.Repeat("x", 4*(http1.MaxHead+http1.MaxBody)))
	h.waitUntil("what stands behind the query is received", func() bool { return h.loop.UnreadConns() == 1 })
	h.onLoop(func() {
		if held := h.clientTable.Oldest(limit.Busy).Owner.holder.Total(); held > connectionSize+4<<10 {
			t.Errorf("%d bytes are held behind an open query", held)
		}
	})
	p.Answer("served", 1, "v")
	if resp, body := c.ReadResponse(); resp.StatusCode != 200 || !strings.Contains(body, `"v"`) {
		t.Errorf("have %s %s", resp.Status, body)
	}
	if resp, _ := c.ReadResponse(); resp.StatusCode != 431 || !resp.Close {
		t.Errorf("what stands behind the query: %s", resp.Status)
	}
}

func TestDescriptorsAreBounded(t *testing.T) {
	h := startHarness(t, func(h *harness) {
		b := limit.Defaults(h.cfg.MaxDescriptors)
		b.Soft, b.Firm, b.Hard = 100, 100, 8
		h.clientTable = limit.New[*clientConn](b)
	})
	health := func(c *testpeer.Client) {
		t.Helper()
		if resp, _ := c.Send("GET /_health HTTP/1.1\r\n\r\n").ReadResponse(); resp.StatusCode != 200 {
			t.Errorf("have %s", resp.Status)
		}
	}
	open := func(n int, text string) (out []*testpeer.Client) {
		for range n {
			out = append(out, testpeer.NewClient(t, h.Addr()).Send(text))
		}
		return out
	}
	kept := open(4, "")
	for _, c := range kept {
		health(c)
	}
	fresh := open(8, "")
	for _, c := range kept {
		c.ExpectClosed() // idle connections make room for new ones
	}
	for _, c := range fresh {
		health(c) // the new connections are kept: they may be about to send a request
	}
	half := open(8, "POST / HTTP/1.1\r\nExpect: 100-continue\r\nContent-Length: 9\r\n\r\n")
	for _, c := range half {
		if resp, _ := c.ReadResponse(); resp.StatusCode != 100 {
			t.Errorf("have %s", resp.Status)
		}
	}
	health(testpeer.NewClient(t, h.Addr()))
	half[0].ExpectClosed() // if there are no others, the oldest incomplete request is closed
}
