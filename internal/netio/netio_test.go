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
	"eiderwinch/internal/gatherer"
	"eiderwinch/internal/limit"
	"eiderwinch/internal/stats"
	"eiderwinch/internal/trial/testpeer"
)

// rig is a node on loopback sockets between a searcher, discovery and clients. The searcher "s" is known from the start.
type rig struct {
	*Node
	t      *testing.T
	s      *testpeer.Searcher
	d      *testpeer.Discovery
	events chan eiderwinch.Event                        // all that the aggregator is told
	decide func(eiderwinch.Event) []eiderwinch.Action   // scripted decisions
	turn   func([]eiderwinch.Event) []eiderwinch.Action // the same for whole turns
	module *eiderwinch.Aggregator                       // the real ones, where there is no script
}

func (r *rig) Turn(now time.Duration, events []eiderwinch.Event) (out []eiderwinch.Action) {
	for _, e := range events {
		select {
		case r.events <- e:
		default: // a test that does not look
		}
		if r.decide != nil {
			out = append(out, r.decide(e)...)
		}
	}
	if r.decide == nil {
		out = r.module.Turn(now, events)
	}
	return out
}

// start makes a rig; set may change it before it runs.
func start(t *testing.T, set func(*rig)) *rig {
	t.Helper()
	r := &rig{t: t, s: testpeer.NewSearcher(t), d: testpeer.NewDiscovery(t), events: make(chan eiderwinch.Event, 1000)}
	module := eiderwinch.Settings{
		Tick: 5 * time.Millisecond, Shards: 4, Cells: 1, Reach: 1, Batch: 4, Brokers: 1, MaxAttempts: 4,
		MayCancel: true, RetryAdvice: true, MaxRetryAdvice: time.Second,
		Classes: []eiderwinch.Class{
			{Name: "search", Aim: time.Minute, Deadline: time.Minute, Worth: 1, Need: 1, Floor: 1, Partial: 1},
			{Name: "reserve", Aim: time.Minute, Deadline: time.Minute, Worth: 1, Need: 1, Floor: 1, Partial: 1,
				Effect: eiderwinch.Keyed, RepeatWindow: time.Second},
			{Name: "report", Aim: time.Minute, Deadline: time.Minute, Worth: 1, Need: 1, Floor: 1, Partial: 1, Fetch: 2},
		},
	}
	r.module = eiderwinch.New(module)
	r.Node = New(Config{
		Listen: "127.0.0.1:0", Discovery: r.d.Addr, Sockets: 1024, Multiplex: 32,
		ConnectTimeout: testpeer.Patience, ConnIdle: time.Minute, DrainGrace: 500 * time.Millisecond, AnswerSlack: 20 * time.Millisecond,
		Known: catalog.Update{Revision: 41, Members: []catalog.Member{
			{ID: "s", HostPort: r.s.Addr, Phase: catalog.Ready},
		}},
		Gatherer: gatherer.Settings{Module: module, Tick: module.Tick, MaxOpen: 20},
	}, r, stats.New(), slog.New(slog.DiscardHandler))
	r.acceptFor, r.serveFor = 0, 0
	if set != nil {
		set(r)
	}
	ended := make(chan error, 1)
	go func() { ended <- r.Run() }()
	testpeer.Get(t, r.Started(), "the start")
	t.Cleanup(func() {
		r.Drain()
		if err := testpeer.Get(t, ended, "the end"); err != nil {
			t.Error(err)
		}
	})
	return r
}

// sendAll scripts an aggregator that sends each part to "s" once, and answers when the last has ended.
func sendAll(r *rig) {
	left, owner := make(map[uint64]int), make(map[uint64]uint64)
	r.decide = func(e eiderwinch.Event) (out []eiderwinch.Action) {
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

// hang scripts connections that never come up.
func hang(r *rig) {
	r.dialContext = func(ctx context.Context, _, _ string) (net.Conn, error) {
		<-ctx.Done()
		return nil, ctx.Err()
	}
}

// beforeDial has each dial to an address do something first; where that returns an error, the dial ends with it.
func (r *rig) beforeDial(to string, first func(context.Context) error) {
	real := r.dialContext
	r.dialContext = func(ctx context.Context, network, addr string) (net.Conn, error) {
		if addr == to {
			if err := first(ctx); err != nil {
				return nil, err
			}
		}
		return real(ctx, network, addr)
	}
}

// holdDials tells of each dial to the searcher, and holds it until up is closed.
func (r *rig) holdDials(dialed chan<- bool, up <-chan bool) {
	r.beforeDial(r.s.Addr, func(context.Context) error {
		dialed <- true
		<-up
		return nil
	})
}

// outcome returns the next outcome that the aggregator is told.
func (r *rig) outcome() eiderwinch.Outcome {
	r.t.Helper()
	for {
		if o, ok := testpeer.Get(r.t, r.events, "an outcome").(eiderwinch.Outcome); ok {
			return o
		}
	}
}

// listed waits until the aggregator has been told a change of the list.
func (r *rig) listed() eiderwinch.ListChange {
	r.t.Helper()
	for {
		e, ok := testpeer.Get(r.t, r.events, "a list").(eiderwinch.ListChange)
		if ok && e.Kind != eiderwinch.Stale {
			return e
		}
	}
}

func (r *rig) ask(class, trace string, expires time.Duration, parts int) *testpeer.Client {
	r.t.Helper()
	return testpeer.NewClient(r.t, r.Addr()).Say(testpeer.Query(class, trace, expires, parts))
}

func (r *rig) part() testpeer.Part {
	r.t.Helper()
	return testpeer.Get(r.t, r.s.Parts, "a part")
}

func TestAQueryIsServed(t *testing.T) {
	r := start(t, nil)
	c := r.ask("reserve", "t1", time.Minute, 2)
	p, q := r.part(), r.part()
	if p.ID != "t1.0" || q.ID != "t1.1" || p.Text != "text" || p.Call != q.Call || !strings.HasSuffix(p.List, ",k=k") {
		t.Errorf("have %+v and %+v", p, q)
	}
	q.Answer("served", 1, `b"<`)
	p.Answer("served", 1, "a")
	resp, body := c.Hear()
	if resp.StatusCode != 200 || body != `{"full":true,"pieces":[{"tablet":0,"cell":"a"},{"tablet":1,"cell":"b\"\u003c"}]}` {
		t.Errorf("have %s %s", resp.Status, body)
	}
	c.Say(testpeer.Query("search", "t2", time.Minute, 1)) // the connections stay
	p = r.part()
	p.Answer("served", 1, "c")
	if resp, _ := c.Hear(); resp.StatusCode != 200 || p.Call != 1 {
		t.Errorf("on the same connections: %s, call %d", resp.Status, p.Call)
	}
}

// Rule 1: what was taken gets one final answer before its time is over.
func TestNoQueryIsLost(t *testing.T) {
	silent := func(*rig) {}
	for name, c := range map[string]struct {
		set   func(*rig)
		class string
		do    func(*rig)
		want  int
	}{
		"a silent searcher":        {nil, "search", silent, 503},
		"one that may have run":    {nil, "reserve", func(r *rig) { r.part() }, 502},
		"no connection":            {hang, "search", silent, 503},
		"nothing decides":          {func(r *rig) { r.decide = func(eiderwinch.Event) []eiderwinch.Action { return nil } }, "search", silent, 504},
		"connections that break":   {nil, "reserve", func(r *rig) { r.part().Conn.Close() }, 200},
		"an answer in spite of it": {nil, "search", func(r *rig) { r.part().Conn.Close() }, 200},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			r := start(t, c.set)
			expires := 700 * time.Millisecond
			if c.want == 200 {
				expires = time.Minute
			}
			client := r.ask(c.class, "t", expires, 1)
			c.do(r)
			if c.want == 200 {
				r.part().Answer("served", 1, "v") // the attempt after
			}
			resp, _ := client.Hear()
			if resp.StatusCode != c.want || c.want == 503 && resp.Header.Get("Retry-After") == "" {
				t.Errorf("have %s, %v", resp.Status, resp.Header)
			}
		})
	}
}

// Rule 2: what is told to have never run surely has not, and a part has one attempt out at a time.
func TestWhatProvesThatAPartNeverRan(t *testing.T) {
	for name, c := range map[string]struct {
		set  func(*rig)
		do   func(*rig)
		want eiderwinch.Status
	}{
		"served":        {nil, func(r *rig) { r.part().Answer("served", 1, "v") }, eiderwinch.OK},
		"broke":         {nil, func(r *rig) { r.part().Answer("broke", 0, "") }, eiderwinch.Failed},
		"skipped":       {nil, func(r *rig) { r.part().Answer("skipped", 0, "") }, eiderwinch.Full},
		"closed":        {nil, func(r *rig) { r.part().Conn.Close() }, eiderwinch.Reset},
		"bad frame":     {nil, func(r *rig) { r.part().Write("z") }, eiderwinch.Reset},
		"bad answer":    {nil, func(r *rig) { r.part().Write("at.0 served") }, eiderwinch.Reset},
		"error frame":   {nil, func(r *rig) { p := r.part(); p.Write("ewords"); p.Conn.Close() }, eiderwinch.Reset},
		"unknown id":    {nil, func(r *rig) { r.part().Answer("other", 0, "") }, eiderwinch.Reset},
		"another's id":  {nil, func(r *rig) { r.part().Write("ax.0 served 1 -\nv") }, eiderwinch.Reset},
		"unasked probe": {nil, func(r *rig) { r.part().Write("p") }, eiderwinch.Reset},
		"odd letter":    {nil, func(r *rig) { r.part().Raw("\x00\x00\x00\x09z") }, eiderwinch.Reset},
		"3 GB to come":  {nil, func(r *rig) { r.part().Raw("\xb2\xd0\x5e\x00") }, eiderwinch.Reset},
		"never ends": {func(r *rig) { r.cfg.ConnectTimeout = 300 * time.Millisecond }, func(r *rig) {
			r.part().Raw("\x00\x00\x00\x09at.0")
		}, eiderwinch.Reset},
		"report of noise": {nil, func(r *rig) { r.part().Write("at.0 served 1 x y =\xff\nv") }, eiderwinch.OK},
		"refused": {func(r *rig) {
			r.dialContext = func(context.Context, string, string) (net.Conn, error) { return nil, errors.New("refused") }
		}, func(*rig) {}, eiderwinch.NoConnection},
		"never up": {func(r *rig) { hang(r); r.cfg.ConnectTimeout = time.Millisecond }, func(*rig) {}, eiderwinch.NoConnection},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			r := start(t, func(r *rig) {
				sendAll(r)
				if c.set != nil {
					c.set(r)
				}
			})
			r.ask("search", "t", time.Minute, 1)
			c.do(r)
			if got := r.outcome(); got.Status != c.want {
				t.Errorf("have %v, want %v", got.Status, c.want)
			}
		})
	}
}

// What comes behind a good answer, with nothing out, spoils neither that nor what is asked next.
func TestMoreThanBelongsToAnAnswer(t *testing.T) {
	for name, extra := range map[string]string{
		"second copy": "\x00\x00\x00\x11at.0 served 1 -\nv", "other id": "\x00\x00\x00\x11ax.0 served 1 -\nv",
		"noise": "\xff\xfe noise", "half a frame": "\x00\x00\x00\x11a", "probe": "\x00\x00\x00\x01p",
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			r := start(t, func(r *rig) { r.decide = nil })
			c := r.ask("search", "t", time.Minute, 1)
			r.part().Raw("\x00\x00\x00\x11at.0 served 1 -\nv" + extra)
			if resp, body := c.Hear(); !strings.Contains(body, `"v"`) {
				t.Errorf("have %s %s", resp.Status, body)
			}
			c.Say(testpeer.Query("search", "u", time.Minute, 1))
			r.part().Answer("served", 1, "w")
			if resp, body := c.Hear(); !strings.Contains(body, `"w"`) {
				t.Errorf("the next: %s %s", resp.Status, body)
			}
		})
	}
}

// What is written as the searcher closes an idle connection is a reset, which may have run.
func TestAConnectionIdleForTooLongIsNotUsed(t *testing.T) {
	r := start(t, nil)
	c := r.ask("search", "t", time.Minute, 1)
	old := r.part()
	old.Answer("served", 1, "v")
	c.Hear()
	r.exec(func() {
		c := r.pool.searchers["s"].conns[0]
		c.idleSince = c.idleSince.Add(-r.pool.maxIdle())
	})
	c.Say(testpeer.Query("search", "u", time.Minute, 1))
	if p := r.part(); p.Conn == old.Conn {
		t.Error("it is used")
	}
}

// What a connection buffers has not reached the kernel: a break before that is "never ran".
func TestAFrameInTheBufferHasNotLeft(t *testing.T) {
	r := start(t, sendAll)
	r.ask("search", "t", time.Minute, 1)
	r.part()
	done := make(chan int, 1)
	r.exec(func() {
		c := r.pool.searchers["s"].conns[0]
		_ = setSendBuffer(c.conn.Fd(), 1)
		for c.conn.Buffered() == 0 { // the searcher of this test does not read so fast
			c.write([]byte("\x00\x01\x00\x01c" + strings.Repeat("x", 1<<16)))
		}
		c.inFlight[0].endByte = c.written // as if the part's frame were behind these
		done <- c.conn.Buffered()
		c.close()
	})
	if testpeer.Get(t, done, "the buffer") == 0 {
		t.Fatal("nothing is buffered")
	}
	if got := r.outcome(); got.Status != eiderwinch.NoConnection {
		t.Errorf("have %v", got.Status)
	}
}

// Rule 2: frames bear no attempt's number, so an old attempt's answer must not be taken for a new one's.
func TestALateAnswerDoesNotCountForANewAttempt(t *testing.T) {
	r := start(t, func(r *rig) {
		var part, query uint64
		r.decide = func(e eiderwinch.Event) []eiderwinch.Action {
			switch e := e.(type) {
			case eiderwinch.Query:
				query, part = e.ID, e.Parts[0].ID
				return []eiderwinch.Action{eiderwinch.Send{Part: part, Replica: "s"}, eiderwinch.Wake{}}
			case eiderwinch.Woken:
				return []eiderwinch.Action{eiderwinch.Cancel{Part: part}, eiderwinch.Send{Part: part, Replica: "s"}}
			case eiderwinch.Outcome:
				if e.Attempt == 1 {
					return []eiderwinch.Action{eiderwinch.Answer{Query: query, Whole: true}}
				}
			}
			return nil
		}
	})
	c := r.ask("search", "t", time.Minute, 1)
	old, again := r.part(), r.part()
	if id := testpeer.Get(t, r.s.Cancels, "a cancel"); id != "t.0" || old.Conn == again.Conn {
		t.Errorf("cancelled %q; the new attempt is on the old one's connection: %v", id, old.Conn == again.Conn)
	}
	old.Answer("served", 1, "old")
	again.Answer("served", 1, "new")
	if _, body := c.Hear(); !strings.Contains(body, `"new"`) {
		t.Errorf("have %s", body)
	}
}

// What is sent on a connection that is cut off hangs until its query ends, so that one must not be used again and again.
func TestAHalfOpenConnectionIsNotUsedAgain(t *testing.T) {
	r := start(t, func(r *rig) {
		r.halfOpenAfter = 0
		r.decide = func(e eiderwinch.Event) []eiderwinch.Action {
			if e, ok := e.(eiderwinch.Query); ok {
				return []eiderwinch.Action{eiderwinch.Send{Part: e.Parts[0].ID, Replica: "s", TimeOut: 300 * time.Millisecond}}
			}
			return nil
		}
	})
	r.ask("search", "t1", time.Minute, 1)
	halfOpen := r.part()
	testpeer.Get(t, r.s.Cancels, "a cancel")
	r.ask("search", "t2", time.Minute, 1)
	if p := r.part(); p.Conn == halfOpen.Conn {
		t.Error("the half-open connection is used")
	}
}

// A connection may be cut off just after it has answered something else: what counts is how long it has
// been silent with something out, beside how long calls take, and not whether it has ever answered since.
func TestAConnectionThatFallsSilentAfterAnAnswerIsNotUsedAgain(t *testing.T) {
	r := start(t, func(r *rig) {
		r.decide = func(e eiderwinch.Event) []eiderwinch.Action {
			if e, ok := e.(eiderwinch.Query); ok {
				return []eiderwinch.Action{eiderwinch.Send{Part: e.Parts[0].ID, Replica: "s", TimeOut: time.Minute}}
			}
			return nil
		}
	})
	r.ask("search", "t1", time.Minute, 1)
	r.part()
	r.ask("search", "t2", time.Minute, 1)
	second := r.part()
	second.Answer("served", 1, "v")
	r.outcome()
	time.Sleep(100 * time.Millisecond) // many times as long as calls take
	r.ask("search", "t3", time.Minute, 1)
	if p := r.part(); p.Conn == second.Conn {
		t.Error("the silent connection is used")
	}
}

// A zone that is cut off says nothing: a call must not wait there for longer than its aim bears.
func TestACallWaitsForAConnectionNoLongerThanItsAimBears(t *testing.T) {
	r := start(t, func(r *rig) {
		sendAll(r)
		hang(r)
		classes := r.cfg.Gatherer.Module.Classes
		classes[0].Aim = 150 * time.Millisecond
	})
	r.ask("search", "t", time.Minute, 1)
	if o := r.outcome(); o.Status != eiderwinch.NoConnection || o.Took < 50*time.Millisecond || o.Took > r.cfg.ConnectTimeout/2 {
		t.Errorf("have %v after %v, of a limit of %v", o.Status, o.Took, r.cfg.ConnectTimeout)
	}
}

// The aggregator has connections closed by what it saw of other searchers. Of a large fleet that costs
// a handshake for every call, so one that answers stays open, and one that is half-open does not.
func TestOnlyHalfOpenConnectionsAreClosedOnDemand(t *testing.T) {
	r := start(t, func(r *rig) {
		r.halfOpenAfter = 0
		r.decide = func(e eiderwinch.Event) []eiderwinch.Action {
			if e, ok := e.(eiderwinch.Query); ok {
				return []eiderwinch.Action{
					eiderwinch.Disconnect{Replica: "s"},
					eiderwinch.Send{Part: e.Parts[0].ID, Replica: "s", TimeOut: 300 * time.Millisecond},
				}
			}
			return nil
		}
	})
	r.ask("search", "t1", time.Minute, 1)
	first := r.part()
	first.Answer("served", 1, "v")
	r.outcome()
	r.ask("search", "t2", time.Minute, 1)
	second := r.part()
	if second.Conn != first.Conn {
		t.Error("a connection that answers was closed")
	}
	testpeer.Get(t, r.s.Cancels, "a cancel")
	r.ask("search", "t3", time.Minute, 1)
	if r.part().Conn == second.Conn {
		t.Error("the half-open connection is used")
	}
}

// Rule 3: a call that waits for a connection past its searcher's grace is not sent when that comes up.
func TestNothingIsSentPastADrainsGrace(t *testing.T) {
	dialed, up := make(chan bool, 1), make(chan bool)
	r := start(t, func(r *rig) {
		sendAll(r)
		r.holdDials(dialed, up)
	})
	watch := testpeer.Get(t, r.d.Watches, "a watch")
	r.ask("search", "t", time.Minute, 1)
	testpeer.Get(t, dialed, "a dial")
	watch.Send(testpeer.List(42, false, testpeer.Member("s", r.s.Addr, "Terminating", 0)))
	r.listed()
	close(up)
	if got := r.outcome(); got.Status != eiderwinch.NoConnection {
		t.Errorf("have %v", got.Status)
	}
	if len(r.s.Parts) > 0 {
		t.Error("the part was sent")
	}
}

// Rule 4: a searcher that came up shortly before this process must be told as cold: the module goes slow there.
func TestAColdSearcherIsTold(t *testing.T) {
	r := start(t, nil)
	up := time.Now().Add(-time.Second)
	watch := testpeer.Get(t, r.d.Watches, "a watch")
	watch.Send(testpeer.List(42, true, testpeer.Member("s", r.s.Addr, "Ready", up.UnixMilli())))
	l := r.listed()
	if got := l.Replicas[0].Started; l.Kind != eiderwinch.Whole || got != time.Duration(up.UnixMilli())*time.Millisecond {
		t.Errorf("started at %v, want the Unix time %v", got, up)
	}
}

// Rule 5: nothing is answered but what searchers gave, in a second step that tells the truth about the first.
func TestAnswersAreHonest(t *testing.T) {
	r := start(t, nil)
	c := r.ask("report", "t", time.Minute, 3)
	for range 3 {
		p := r.part()
		p.Answer("served", []int{20, 10, 30}[p.Shard], "first")
	}
	for range 2 {
		p := r.part()
		if p.ID != fmt.Sprintf("t.%d.b", p.Shard) || p.Shard == 1 || !strings.HasSuffix(p.List, ",from=0+1+2,whole=1") {
			t.Errorf("have %+v", p)
		}
		p.Answer("served", 0, fmt.Sprint("second", p.Shard))
	}
	if _, body := c.Hear(); body != `{"full":true,"pieces":[{"tablet":2,"cell":"second2"},{"tablet":0,"cell":"second0"}]}` {
		t.Errorf("have %s", body)
	}
	c = r.ask("search", "u", 500*time.Millisecond, 2)
	p, q := r.part(), r.part()
	p.Answer("served", 1, "v")
	q.Answer("broke", 0, "no value")
	if resp, body := c.Hear(); resp.StatusCode == 200 {
		t.Errorf("from half: %s", body)
	}
}

func TestRequestsThatAreNoQueries(t *testing.T) {
	r := start(t, nil)
	good := testpeer.Query("search", "t", time.Minute, 1)
	edit := func(old, new string) string { return strings.Replace(good, old, new, 1) }
	for text, want := range map[string]int{
		"GET /_health HTTP/1.1\r\n\r\n":                   200,
		"GET /search HTTP/1.1\r\n\r\n":                    405,
		"nonsense\r\n\r\n":                                400,
		edit("/search", "/other"):                         400,
		strings.ReplaceAll(good, "search", "other"):       404,
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
		c := testpeer.NewClient(t, r.Addr()).Say(text)
		if resp, body := c.Hear(); resp.StatusCode != want {
			t.Errorf("%q: have %s %s, want %d", text, resp.Status, body, want)
		}
	}
}

// What a query is about and whose it is decide how it is treated, and come from clients. What can't be
// believed counts as absent or gets a clear 4xx: never a crash, never another's key or share.
func TestKeysAndTenantsThatCannotBeBelieved(t *testing.T) {
	r := start(t, func(r *rig) {
		r.cfg.Gatherer.Module.Tenants = []eiderwinch.Tenant{{Name: "north", Share: 0.5}, {Name: "south", Share: 0.5}}
		r.core = gatherer.New(r.cfg.Gatherer, r, r.pool, stats.New(), slog.New(slog.DiscardHandler), time.Now())
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
		{"among others", "Cookie: a=b; user=7f; x\r\n", "", want{200, "7f", 0}},
		{"a token", "", token, want{200, "00ab", 0}},
		{"both", "Cookie: user=7f\r\n", token, want{200, "7f", 0}},
		{"the same twice", "Cookie: user=7f; user=7f\r\nCookie: user=7f\r\n", "", want{200, "7f", 0}},
		{"two that differ", "Cookie: user=7f; user=80\r\n", "", want{200, "", 0}},
		{"two cookies that differ", "Cookie: user=7f\r\nCookie: user=80\r\n", "", want{200, "", 0}},
		{"an empty one", "Cookie: user=\r\n", "", want{200, "", 0}},
		{"no value", "Cookie: user\r\n", "", want{200, "", 0}},
		{"another name", "Cookie: users=7f; User=7f\r\n", "", want{200, "", 0}},
		{"not a key", "Cookie: user=a,b\r\n", "", want{200, "", 0}},
		{"bytes that are no text", "Cookie: user=\xff\xfe\r\n", "", want{200, "", 0}},
		{"one that is too long", "Cookie: user=" + strings.Repeat("a", 4096) + "\r\n", "", want{200, "", 0}},
		{"one of 60 KB", "Cookie: user=" + strings.Repeat("a", 60<<10) + "\r\n", "", want{431, "", 0}},
		{"a control sign", "Cookie: user=a\x01\r\n", "", want{400, "", 0}},
		{"a token that is none", "", `"tablet":0,"token":"` + strings.Repeat("t", 500) + `"`, want{200, "", 0}},
		{"a token that is no text", "", `"tablet":0,"token":7`, want{400, "", 0}},
		{"an unknown tenant", "X-Customer: east\r\n", "", want{200, "", 0}},
		{"in other letters", "X-Customer: NORTH\r\n", "", want{200, "", 0}},
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
		client := testpeer.NewClient(t, r.Addr()).Say(q)
		if c.want.status == 200 {
			p := r.part()
			p.Write("a" + p.ID + " served 1 waiting=3,new=x\nv")
		}
		resp, body := client.Hear()
		if resp.StatusCode != c.want.status {
			t.Errorf("%s: have %s %s, want %d", c.name, resp.Status, body, c.want.status)
		}
		if c.want.status != 200 {
			continue
		}
		for {
			if e, ok := testpeer.Get(t, r.events, "the query").(eiderwinch.Query); ok {
				if have := (want{200, e.Key, e.Tenant}); have != c.want {
					t.Errorf("%s: have %+v, want %+v", c.name, have, c.want)
				}
				break
			}
		}
		if o := r.outcome(); o.Load == nil || o.Load.Waiting != 3 {
			t.Errorf("%s: load %+v", c.name, o.Load)
		}
	}
}

// A client that sends no whole request is owed an error or a close; one that has asked may keep its connection.
func TestRequestsThatDoNotComeInWhole(t *testing.T) {
	r := start(t, nil)
	kept := testpeer.NewClient(t, r.Addr()).Say("GET /_health HTTP/1.1\r\n\r\n")
	kept.Hear()
	silent := testpeer.NewClient(t, r.Addr())
	half := testpeer.NewClient(t, r.Addr()).Say("POST /search HTTP/1.1\r\nContent-Le")
	began := time.Now()
	if resp, _ := half.Hear(); resp.StatusCode != 408 || !resp.Close {
		t.Errorf("half a request: %s", resp.Status)
	}
	silent.Closed()
	if took := time.Since(began); took < r.clientTable.Bounds().Request/2 {
		t.Errorf("given up after %v", took)
	}
	if resp, _ := kept.Say("GET /_health HTTP/1.1\r\n\r\n").Hear(); resp.StatusCode != 200 {
		t.Errorf("the kept one: %s", resp.Status)
	}
}

// The error must be readable though the rest of the request is still coming.
func TestARefusedBodyIsReadAndThrownAway(t *testing.T) {
	r := start(t, nil)
	c := testpeer.NewClient(t, r.Addr()).Say("POST /search HTTP/1.1\r\nContent-Length: 60000000\r\n\r\n")
	piece := strings.Repeat("x", 1<<20)
	for range 57 {
		c.Say(piece)
	}
	if resp, _ := c.Hear(); resp.StatusCode != 413 || !resp.Close {
		t.Errorf("have %s", resp.Status)
	}
}

func TestClientsThatLeaveOrRunAhead(t *testing.T) {
	r := start(t, nil)
	c := r.ask("search", "t", time.Minute, 1)
	p := r.part()
	c.Close()
	if id := testpeer.Get(t, r.s.Cancels, "a cancel"); id != p.ID {
		t.Errorf("cancelled %q", id)
	}
	c = testpeer.NewClient(t, r.Addr()).Say(testpeer.Query("search", "u", time.Minute, 1) + "GET /_health HTTP/1.1\r\nConnection: close\r\n\r\n")
	r.part().Answer("served", 1, "v")
	if resp, body := c.Hear(); !strings.Contains(body, `"v"`) {
		t.Errorf("have %s %s", resp.Status, body)
	}
	if resp, _ := c.Hear(); resp.StatusCode != 200 || !resp.Close {
		t.Errorf("the one ahead: %s", resp.Status)
	}
	c.Closed()
}

// Kept connections are served on in a drain, but nothing is left open when the kill may come.
func TestADrainServesKeptConnectionsAndAnswersBeforeTheKill(t *testing.T) {
	r := start(t, func(r *rig) {
		r.serveFor = time.Minute
		r.cfg.Gatherer.Module.Classes[0].Deadline = time.Millisecond // longest is the others' minute, counted as 3 s
	})
	if got := r.cfg.killAfter(); got != maxCountedDeadline+killDelay {
		t.Errorf("killed after %v", got)
	}
	c := testpeer.NewClient(t, r.Addr()).Say("GET /_health HTTP/1.1\r\n\r\n")
	c.Hear()
	r.Drain()
	draining := make(chan bool, 1)
	r.exec(func() { draining <- r.draining })
	testpeer.Get(t, draining, "the drain")
	c.Say(testpeer.Query("report", "t", time.Minute, 1))
	p := r.part()
	var wait int
	if _, err := fmt.Sscanf(p.List, "d=%d", &wait); err != nil || wait >= 3700 {
		t.Errorf("the part may take until after the kill: %s", p.List)
	}
	p.Answer("broke", 0, "")
	r.part().Answer("served", 1, "v")
	r.part().Answer("served", 1, "w")
	if resp, body := c.Hear(); resp.StatusCode != 200 || resp.Close {
		t.Errorf("have %s %s", resp.Status, body)
	}
	r.exec(func() { r.serveUntil = time.Now() })
	c.Closed()
}

func TestFullNodeRefusesAtOnce(t *testing.T) {
	r := start(t, func(r *rig) { r.decide = func(eiderwinch.Event) []eiderwinch.Action { return nil } })
	for i := range 4 {
		r.ask("search", fmt.Sprint("t", i), time.Second, 4)
		testpeer.Get(t, r.events, "a query")
	}
	c := r.ask("search", "u", time.Hour, 4)
	if resp, _ := c.Hear(); resp.StatusCode != 503 || resp.Header.Get("Retry-After") != "0.500" {
		t.Errorf("have %s %v", resp.Status, resp.Header)
	}
}

func TestWatchIsReopenedFromTheLastRevision(t *testing.T) {
	for name, end := range map[string]func(*testpeer.Watch){
		"ended":   func(w *testpeer.Watch) { w.Conn.Close() },
		"silent":  func(*testpeer.Watch) {},
		"garbage": func(w *testpeer.Watch) { w.Send("{") },
		"done":    func(w *testpeer.Watch) { _, _ = io.WriteString(w.Conn, "0\r\n\r\n") },
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			r := start(t, nil)
			w := testpeer.Get(t, r.d.Watches, "a watch")
			w.Send(testpeer.List(42, false, testpeer.Member("s", r.s.Addr, "Ready", 0)))
			if got := r.listed(); w.From != "41" || got.Kind != eiderwinch.Changes {
				t.Errorf("watched from %s, brought %+v", w.From, got)
			}
			end(w)
			if w := testpeer.Get(t, r.d.Watches, "another watch"); w.From != "42" {
				t.Errorf("reopened from %s", w.From)
			}
		})
	}
}

// The old address goes on telling until the new one has brought its list, and its revisions mean nothing there.
func TestReloadFollowsDiscoveryToItsNewAddress(t *testing.T) {
	r, moved, skipped := start(t, nil), testpeer.NewDiscovery(t), testpeer.NewDiscovery(t)
	old := testpeer.Get(t, r.d.Watches, "a watch")
	client := r.ask("search", "t", time.Minute, 1)
	part := r.part()
	r.Reload(skipped.Addr)
	r.Reload(moved.Addr) // before the first has told anything
	r.Reload(moved.Addr)
	old.Send(testpeer.List(42, false, testpeer.Member("x", "127.0.0.1:1", "Ready", 0)))
	if got := r.listed(); got.Kind != eiderwinch.Changes || got.Replicas[0].ID != "x" {
		t.Errorf("the old watch brought %+v", got)
	}
	moved.Tell(testpeer.List(7, true, testpeer.Member("s", r.s.Addr, "Ready", 0)))
	if got := r.listed(); got.Kind != eiderwinch.Whole || len(got.Replicas) != 1 {
		t.Errorf("the new watch brought %+v", got)
	}
	w := testpeer.Get(t, moved.Watches, "the new watch")
	if w.From != "7" {
		t.Errorf("watched from %s", w.From)
	}
	if _, err := io.Copy(io.Discard, old.Conn); err != nil {
		t.Errorf("the old watch stays open: %v", err)
	}
	part.Answer("served", 1, "v")
	if resp, _ := client.Hear(); resp.StatusCode != 200 {
		t.Errorf("the open query: %s", resp.Status)
	}
	w.Conn.Close()
	if w := testpeer.Get(t, moved.Watches, "another watch"); w.From != "7" || len(moved.Watches)+len(r.d.Watches) > 0 {
		t.Errorf("reopened from %s, and %d more", w.From, len(moved.Watches)+len(r.d.Watches))
	}
}

func TestConnectionsToSearchers(t *testing.T) {
	r := start(t, func(r *rig) { sendAll(r); r.cfg.Multiplex, r.cfg.ConnIdle = 1, time.Millisecond })
	c := r.ask("search", "t", time.Minute, 1)
	p := r.part()
	r.ask("search", "u", time.Minute, 1)
	if q := r.part(); q.Conn == p.Conn {
		t.Error("two parts on a connection that carries one")
	}
	p.Answer("served", 1, "v")
	c.Hear()
	testpeer.Get(t, r.s.Ends, "the end of the idle connection") // before the searcher's machine ends it
}

func TestAnswersNobodyReadsAreBounded(t *testing.T) {
	r := start(t, nil)
	c := testpeer.NewClient(t, r.Addr())
	many := strings.Repeat("GET /_health HTTP/1.1\r\n\r\n", 1000)
	for {
		if _, err := io.WriteString(c, many); errors.Is(err, os.ErrDeadlineExceeded) {
			t.Fatal("it is served for ever")
		} else if err != nil {
			return // it was closed: more answers than a client may leave unread
		}
	}
}

func TestAQueryIsAnsweredThoughItsClientRunsFarAhead(t *testing.T) {
	r := start(t, nil)
	c := r.ask("search", "t", time.Minute, 1)
	p := r.part()
	c.Say(strings.Repeat("x", 4*maxPipelined))
	p.Answer("served", 1, "v")
	if resp, body := c.Hear(); resp.StatusCode != 200 || !resp.Close {
		t.Errorf("have %s %s", resp.Status, body)
	}
}

func TestDescriptorsAreBounded(t *testing.T) {
	r := start(t, func(r *rig) {
		b := limit.Defaults(r.cfg.Sockets)
		b.Soft, b.Firm, b.Hard = 100, 100, 8
		r.clientTable = limit.New[*clientConn](b)
	})
	health := func(c *testpeer.Client) {
		t.Helper()
		if resp, _ := c.Say("GET /_health HTTP/1.1\r\n\r\n").Hear(); resp.StatusCode != 200 {
			t.Errorf("have %s", resp.Status)
		}
	}
	open := func(n int, text string) (out []*testpeer.Client) {
		for range n {
			out = append(out, testpeer.NewClient(t, r.Addr()).Say(text))
		}
		return out
	}
	kept := open(4, "")
	for _, c := range kept {
		health(c)
	}
	fresh := open(8, "")
	for _, c := range kept {
		c.Closed() // idle ones make room for new ones,
	}
	for _, c := range fresh {
		health(c) // which may be about to ask
	}
	half := open(8, "POST / HTTP/1.1\r\nExpect: 100-continue\r\nContent-Length: 9\r\n\r\n")
	for _, c := range half {
		if resp, _ := c.Hear(); resp.StatusCode != 100 {
			t.Errorf("have %s", resp.Status)
		}
	}
	health(testpeer.NewClient(t, r.Addr()))
	half[0].Closed() // where there are none but these, the oldest that is not whole goes
}
