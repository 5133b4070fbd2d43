package netio

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"log/slog"
	"net"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"eiderwinch"
	"eiderwinch/internal/format/catalog"
	"eiderwinch/internal/gatherer"
	"eiderwinch/internal/trial/testpeer"
)

// logs keeps what is logged.
type logs struct {
	mu  sync.Mutex
	buf bytes.Buffer
}

func (l *logs) Write(b []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.buf.Write(b)
}

func (l *logs) count(part string) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return strings.Count(l.buf.String(), part)
}

// What discovery sends that can't be used is told once with what was found and wanted, is counted, is never served
// half and loses no drain; the watch is opened anew within the grace, however often.
func TestWhatDiscoverySendsThatCannotBeUsed(t *testing.T) {
	const good = `{"id":"new","host_port":"127.0.0.1:1","phase":"Ready"}`
	list := func(members string) func(*testpeer.Watch) {
		return func(w *testpeer.Watch) { w.Send(`{"revision":43,"complete":true,"members":[` + members + `]}`) }
	}
	for name, c := range map[string]struct {
		send func(*testpeer.Watch)
		want string // in the log
		bad  int    // lists counted
	}{
		"wrong JSON":        {func(w *testpeer.Watch) { w.Send(`{"revision":}`) }, "invalid character", 1},
		"no object":         {func(w *testpeer.Watch) { w.Send(`odd`) }, "want white space or an object", 0},
		"an unknown phase":  {list(good + `,{"id":"x","host_port":"h:1","phase":"Odd"}`), `unknown phase \"Odd\" of \"x\", want Ready, Terminating or Gone`, 1},
		"no phase":          {list(good + `,{"id":"x","host_port":"h:1"}`), "unknown phase", 1},
		"no host_port":      {list(good + `,{"id":"x","phase":"Ready"}`), `host_port of \"x\" is missing, want address:port`, 1},
		"no id":             {list(good + `,{"phase":"Ready"}`), "id is missing", 1},
		"beyond the bound":  {func(w *testpeer.Watch) { w.Send("{" + strings.Repeat(" ", minObjectLimit+1)) }, "too long", 0},
		"truncated":         {func(w *testpeer.Watch) { w.Send(`{"revision":43,"complete":true,"members":[` + good); w.Conn.Close() }, "EOF", 0},
		"an end":            {func(w *testpeer.Watch) { _, _ = io.WriteString(w.Conn, "0\r\n\r\n") }, errWatchEnded.Error(), 0},
		"no chunk":          {func(w *testpeer.Watch) { _, _ = io.WriteString(w.Conn, "zz\r\n") }, "malformed chunk size", 0},
		"a drain among odd": {list(`{"id":"other","phase":"Terminating"},{"id":"x","phase":"Odd"}`), "unknown phase", 1},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			out := new(logs)
			r := start(t, func(r *rig) {
				r.log = slog.New(slog.NewTextHandler(out, nil))
				r.cfg.Known.Members = append(r.cfg.Known.Members, catalog.Member{ID: "other", HostPort: "127.0.0.1:1", Phase: catalog.Ready})
			})
			w := testpeer.Get(t, r.d.Watches, "a watch")
			w.Send(testpeer.List(42, false, testpeer.Member("s", r.s.Addr, "Terminating", 0)))
			r.listed()
			for range 3 {
				sent := time.Now()
				c.send(w)
				if w = testpeer.Get(t, r.d.Watches, "another watch"); w.From != "42" || time.Since(sent) > r.cfg.DrainGrace {
					t.Errorf("opened anew from %s after %v", w.From, time.Since(sent))
				}
			}
			ready, listed, bad := make(chan bool, 1), make(chan bool, 1), make(chan int, 1)
			r.exec(func() {
				ready <- r.core.Ready("s") || name == "a drain among odd" && r.core.Ready("other")
				listed <- r.core.Listed("new")
				bad <- r.stats.ListsBad
			})
			if <-ready {
				t.Error("a drain is lost")
			}
			if <-listed {
				t.Error("half a list is served")
			}
			if got := <-bad; got != 3*c.bad {
				t.Errorf("%d lists counted as bad, want %d", got, 3*c.bad)
			}
			if n := out.count("request to discovery failed"); n != 1 || out.count(c.want) == 0 {
				t.Errorf("logged %d times: %s", n, out.buf.String())
			}
		})
	}
}

// An answer other than 200, and an object that never ends, bring no news either.
func TestAnswersOfDiscoveryThatAreNoList(t *testing.T) {
	for name, c := range map[string]struct{ head, body, want string }{
		"a status":                {"HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n", "", "status 503, want 200"},
		"no HTTP":                 {"SSH-2.0\r\n\r\n", "", "malformed status line"},
		"an object without end":   {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", "1\r\n{\r\n", "no data received in time"},
		"a head and nothing else": {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", "", "no data received in time"},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			asked := make(chan time.Time, 1000)
			l, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				t.Fatal(err)
			}
			defer l.Close()
			go func() {
				for {
					conn, err := l.Accept()
					if err != nil {
						return
					}
					asked <- time.Now()
					go func() {
						fmt.Fprint(conn, c.head, c.body)
						for c.body != "" { // an object that goes on is no sign of life
							time.Sleep(50 * time.Millisecond)
							if _, err := fmt.Fprint(conn, "1\r\n \r\n"); err != nil {
								return
							}
						}
					}()
				}
			}()
			out := new(logs)
			start(t, func(r *rig) {
				r.log = slog.New(slog.NewTextHandler(out, nil))
				r.watch = newWatch(r.Node, l.Addr().String(), 41)
			})
			first, again := testpeer.Get(t, asked, "an ask"), testpeer.Get(t, asked, "another")
			most := 500 * time.Millisecond
			if c.want == "no data received in time" {
				most = 3 * time.Second
			}
			if took := again.Sub(first); took > most {
				t.Errorf("asked again after %v", took)
			}
			testpeer.Until(t, "logged: "+c.want, func() bool { return out.count(c.want) > 0 })
		})
	}
}

type noClient struct{}

func (noClient) Reply(gatherer.Reply) {}
func (noClient) Left() bool           { return false }

// News that has come and was not read goes before what is to be sent: the loop may have stood still for longer than
// the grace, and the task that would send may be before the news in its round.
func TestNewsThatHasComeIsReadBeforeAnythingIsSent(t *testing.T) {
	for name, c := range map[string]struct{ waiting bool }{"a call that waited for its connection": {true}, "a turn": {false}} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			up := make(chan bool)
			r := start(t, func(r *rig) {
				sendAll(r)
				r.beforeDial(r.s.Addr, func(context.Context) error {
					if c.waiting {
						<-up
					}
					return nil
				})
			})
			watch := testpeer.Get(t, r.d.Watches, "a watch")
			watch.Send(testpeer.List(42, false, testpeer.Member("s", r.s.Addr, "Ready", 0)))
			r.listed()
			if c.waiting {
				r.ask("search", "t", time.Minute, 1)
				time.Sleep(50 * time.Millisecond) // the call waits
			} else { // a connection is open
				r.ask("search", "t0", time.Minute, 1)
				r.part().Answer("served", 1, "v")
				r.outcome()
			}
			stood := make(chan bool)
			r.exec(func() {
				<-stood
				if !c.waiting { // the query is decided before the loop reads on
					_, _ = r.core.Take(time.Now(), gatherer.Ask{Trace: "t", Class: "search", Parts: []gatherer.AskPart{{Weight: 1}}}, noClient{})
					r.runDue()
				}
			})
			watch.Send(testpeer.List(43, false, testpeer.Member("s", r.s.Addr, "Terminating", 0)))
			close(up)
			time.Sleep(100 * time.Millisecond) // all of it has come
			close(stood)
			r.listed()
			if got := r.outcome(); got.Status != eiderwinch.NoConnection && got.Status != eiderwinch.NotSent {
				t.Errorf("have %v", got.Status)
			}
			if len(r.s.Parts) > 0 {
				t.Error("the part was sent")
			}
		})
	}
}

// An answer of discovery may have no length: its list is whole when its last brace has come, and the end behind
// it may be a reset, which says nothing. Without that a reload would never move.
func TestAWholeListWithoutALength(t *testing.T) {
	asked := make(chan string, 100)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	r := start(t, nil)
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				b := make([]byte, 1000)
				n, _ := conn.Read(b)
				target := strings.Split(string(b[:n])+"  ", " ")[1]
				asked <- target
				fmt.Fprint(conn, "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n")
				if target == listPath {
					fmt.Fprint(conn, testpeer.List(7, true, testpeer.Member("s", r.s.Addr, "Ready", 0)))
					_ = conn.(*net.TCPConn).SetLinger(0)
					conn.Close()
					return
				}
				_, _ = io.Copy(io.Discard, conn)
			}()
		}
	}()
	testpeer.Get(t, r.d.Watches, "a watch")
	r.Reload(l.Addr().String())
	if got := r.listed(); got.Kind != eiderwinch.Whole || len(got.Replicas) != 1 {
		t.Errorf("have %+v", got)
	}
	for _, want := range []string{listPath, watchPath + "7"} {
		if got := testpeer.Get(t, asked, want); got != want {
			t.Errorf("asked for %s, want %s", got, want)
		}
	}
}

// Who is left out of a whole list is gone, also where it still answers; what waits for a connection there is kept back.
func TestWhoIsLeftOutOfAWholeListIsSentNothing(t *testing.T) {
	up, dialed := make(chan bool), make(chan bool, 10)
	r := start(t, func(r *rig) {
		again(r)
		r.holdDials(dialed, up)
	})
	w := testpeer.Get(t, r.d.Watches, "a watch")
	r.ask("search", "t", time.Minute, 1)
	testpeer.Get(t, dialed, "a dial")
	w.Send(testpeer.List(42, true, testpeer.Member("other", "127.0.0.1:1", "Ready", 0)))
	r.listed()
	close(up)
	if got := r.outcome(); got.Status != eiderwinch.NoConnection {
		t.Errorf("have %v", got.Status)
	}
	r.ask("search", "u", time.Minute, 1)
	if got := r.outcome(); got.Status != eiderwinch.NotSent || len(r.s.Parts) > 0 {
		t.Errorf("have %v, %d parts sent", got.Status, len(r.s.Parts))
	}
}

// What is due waits for news, but final answers must not: however long a grace the settings name, news that comes without
// end holds them up for no longer than they may be late.
func TestNewsWithoutEndHoldsUpNoAnswers(t *testing.T) {
	for grace, most := range map[time.Duration]time.Duration{
		50 * time.Millisecond: 10 * time.Millisecond, 500 * time.Millisecond: 20 * time.Millisecond, 2 * time.Second: 20 * time.Millisecond,
	} {
		t.Run(grace.String(), func(t *testing.T) {
			t.Parallel()
			r := start(t, func(r *rig) { r.cfg.DrainGrace = grace })
			watch := testpeer.Get(t, r.d.Watches, "a watch")
			watch.Send("")
			r.until("the watch is read", func() bool { return len(r.watch.subscriptions) == 1 && !r.deferForUpdates(time.Now()) })
			r.onLoop(func() {
				watch.Send("")
				now := time.Now()
				r.wait("news has come", func() bool { return r.deferForUpdates(now) })
				held := func(rounds int, after time.Duration) bool {
					r.wakeups = r.deferredAtWakeup + rounds
					return r.deferForUpdates(now.Add(after))
				}
				if !held(minDeferWakeups-1, time.Hour) || !held(minDeferWakeups, most-1) || held(minDeferWakeups, most) {
					t.Errorf("held by %v, %v and %v, want until round %d and for %v", held(minDeferWakeups-1, time.Hour), held(minDeferWakeups, most-1),
						held(minDeferWakeups, most), minDeferWakeups, most)
				}
			})
		})
	}
}

// A frame that the system takes no more of waits in a buffer, and would leave long after its searcher has: it is
// thrown away, whether its searcher is told to leave or left out of a whole list.
func TestAFrameThatWaitsDoesNotLeaveForWhoHasLeft(t *testing.T) {
	for name, list := range map[string]func(*rig) string{
		"told to leave": func(r *rig) string {
			return testpeer.List(42, false, testpeer.Member("s", r.s.Addr, "Terminating", 0))
		},
		"told to leave elsewhere": func(*rig) string {
			return testpeer.List(42, false, testpeer.Member("s", "127.0.0.1:1", "Terminating", 0))
		},
		"left out of a whole list": func(*rig) string {
			return testpeer.List(42, true, testpeer.Member("other", "127.0.0.1:1", "Ready", 0))
		},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			r := start(t, sendAll)
			w := testpeer.Get(t, r.d.Watches, "a watch")
			r.ask("search", "t", time.Minute, 1)
			r.part()
			r.onLoop(func() {
				c := r.pool.searchers["s"].conns[0]
				_ = setSendBuffer(c.conn.Fd(), 1)
				for c.conn.Buffered() == 0 { // the searcher of this test does not read so fast
					c.write([]byte("\x00\x01\x00\x01c" + strings.Repeat("x", 1<<16)))
				}
				c.inFlight[0].firstByte = c.written // as if the part's frame were behind these
				c.inFlight[0].endByte = c.written + 1
				w.Send(list(r))
				r.wait("the list has come", func() bool { return r.deferForUpdates(time.Now()) })
			})
			if got := r.outcome(); got.Status != eiderwinch.NoConnection {
				t.Errorf("have %v", got.Status)
			}
			r.onLoop(func() {
				if r.stats.HeldBack != 1 {
					t.Errorf("%d held back", r.stats.HeldBack)
				}
			})
		})
	}
}

// A list of another address may know of an earlier process of a searcher alone. The later one stays as cold as it is, and
// what is sent goes to where it is.
func TestAnOlderListDoesNotHaveBackTheProcessBefore(t *testing.T) {
	r, moved, later := start(t, sendAll), testpeer.NewDiscovery(t), testpeer.NewSearcher(t)
	old := testpeer.Get(t, r.d.Watches, "a watch")
	started := time.Now().UnixMilli()
	old.Send(testpeer.List(42, false, testpeer.Member("s", later.Addr, "Ready", started)))
	told := r.listed().Replicas[0].Started
	r.Reload(moved.Addr)
	moved.Tell(testpeer.List(7, true, testpeer.Member("s", r.s.Addr, "Ready", started-1000)))
	if got := r.listed(); got.Kind != eiderwinch.Whole || got.Replicas[0].Started != told {
		t.Errorf("have %+v, want the start at %v", got, told)
	}
	client := r.ask("search", "t", time.Minute, 1)
	testpeer.Get(t, later.Parts, "a part").Answer("served", 1, "v")
	if resp, _ := client.Hear(); resp.StatusCode != 200 {
		t.Errorf("have %s", resp.Status)
	}
}

// A watch that can't be opened for want of descriptors is opened when there are some, and the loop goes on.
func TestAWatchIsOpenedOnceThereAreDescriptors(t *testing.T) {
	var refused atomic.Int32
	r := start(t, func(r *rig) {
		r.beforeDial(r.d.Addr, func(context.Context) error {
			if refused.Add(1) <= 3 {
				return &net.OpError{Op: "dial", Err: syscall.EMFILE}
			}
			return nil
		})
	})
	testpeer.Get(t, r.d.Watches, "a watch")
	r.onLoop(func() {
		if got := r.stats.DialRetries; got != 3 || r.stats.WatchFails != 0 {
			t.Errorf("%d dials tried again, %d watches failed; want 3 and 0", got, r.stats.WatchFails)
		}
	})
}

// Where both the address in use and that of a reload are silent, whichever speaks first is heard, and the move is
// made once the new one has.
func TestAReloadWhileBothAddressesAreSilent(t *testing.T) {
	r, moved := start(t, nil), testpeer.NewDiscovery(t)
	old := testpeer.Get(t, r.d.Watches, "a watch")
	r.Reload(moved.Addr)
	r.until("the old watch is silent", func() bool { return r.watch.follower.Due().Sub(time.Now()) < time.Second })
	old.Send(testpeer.List(42, false, testpeer.Member("s", r.s.Addr, "Terminating", 0)))
	if got := r.listed(); got.Replicas[0].State != eiderwinch.Draining {
		t.Errorf("the old one's news is %+v", got)
	}
	moved.Tell(testpeer.List(7, true, testpeer.Member("s", r.s.Addr, "Ready", 0), testpeer.Member("x", "127.0.0.1:1", "Ready", 0)))
	if got := r.listed(); got.Kind != eiderwinch.Whole || got.Replicas[0].State != eiderwinch.Draining || len(got.Replicas) != 2 {
		t.Errorf("the new one's list is %+v", got)
	}
	testpeer.Get(t, moved.Watches, "a watch there")
}
