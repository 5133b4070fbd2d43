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

// logBuffer keeps what is logged.
type logBuffer struct {
	mu  sync.Mutex
	buf bytes.Buffer
}

func (l *logBuffer) Write(b []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.buf.Write(b)
}

func (l *logBuffer) count(part string) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return strings.Count(l.buf.String(), part)
}

// Invalid data from discovery is logged once, with what was found and wanted. It is counted, is not used in part, and
// does not undo an earlier report that a searcher is draining. The watch is reopened within the grace, however often
// that happens.
func TestInvalidDataFromDiscovery(t *testing.T) {
	const valid = `{"id":"new","host_port":"127.0.0.1:1","phase":"Ready"}`
	list := func(members string) func(*testpeer.Watch) {
		return func(w *testpeer.Watch) { w.Send(`{"revision":43,"complete":true,"members":[` + members + `]}`) }
	}
	for name, c := range map[string]struct {
		send      func(*testpeer.Watch)
		want      string // in the log
		malformed int    // lists counted
	}{
		"invalid JSON":                  {func(w *testpeer.Watch) { w.Send(`{"revision":}`) }, "invalid character", 1},
		"no object at all":              {func(w *testpeer.Watch) { w.Send(`odd`) }, "want white space or an object", 0},
		"an unknown phase":              {list(valid + `,{"id":"x","host_port":"h:1","phase":"Odd"}`), `unknown phase \"Odd\" of \"x\", want Ready, Terminating or Gone`, 1},
		"no phase":                      {list(valid + `,{"id":"x","host_port":"h:1"}`), "unknown phase", 1},
		"no host_port":                  {list(valid + `,{"id":"x","phase":"Ready"}`), `host_port of \"x\" is missing, want address:port`, 1},
		"no id":                         {list(valid + `,{"phase":"Ready"}`), "id is missing", 1},
		"longer than the limit":         {func(w *testpeer.Watch) { w.Send("{" + strings.Repeat(" ", minObjectLimit+1)) }, "too long", 0},
		"truncated":                     {func(w *testpeer.Watch) { w.Send(`{"revision":43,"complete":true,"members":[` + valid); w.Conn.Close() }, "EOF", 0},
		"the end of the body":           {func(w *testpeer.Watch) { _, _ = io.WriteString(w.Conn, "0\r\n\r\n") }, errWatchEnded.Error(), 0},
		"not a chunk size":              {func(w *testpeer.Watch) { _, _ = io.WriteString(w.Conn, "zz\r\n") }, "malformed chunk size", 0},
		"a drain among invalid members": {list(`{"id":"other","phase":"Terminating"},{"id":"x","phase":"Odd"}`), "unknown phase", 1},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			log := new(logBuffer)
			h := startHarness(t, func(h *harness) {
				h.log = slog.New(slog.NewTextHandler(log, nil))
				h.cfg.InitialMembers.Members = append(h.cfg.InitialMembers.Members, catalog.Member{ID: "other", HostPort: "127.0.0.1:1", Phase: catalog.Ready})
			})
			w := testpeer.Receive(t, h.discovery.Watches, "a watch")
			w.Send(testpeer.MemberList(42, false, testpeer.Member("s", h.searcher.Addr, "Terminating", 0)))
			h.nextListChange()
			stalls := testpeer.MeasureStalls(t)
			for range 3 {
				sent, stalledBefore := time.Now(), stalls.Total()
				c.send(w)
				w = testpeer.Receive(t, h.discovery.Watches, "another watch")
				took, stalled := time.Since(sent), stalls.Total()-stalledBefore
				if w.From != "42" || took-stalled > h.cfg.DrainGrace {
					t.Errorf("reopened from %s after %v, in %v of which this process did not run", w.From, took, stalled)
				}
			}
			ready, listed, malformed := make(chan bool, 1), make(chan bool, 1), make(chan int, 1)
			h.exec(func() {
				ready <- h.core.Ready("s") || name == "a drain among invalid members" && h.core.Ready("other")
				listed <- h.core.Listed("new")
				malformed <- h.stats.MalformedLists
			})
			if <-ready {
				t.Error("a draining searcher is ready again")
			}
			if <-listed {
				t.Error("part of a list was used")
			}
			if got := <-malformed; got != 3*c.malformed {
				t.Errorf("%d lists counted as malformed, want %d", got, 3*c.malformed)
			}
			if n := log.count("request to discovery failed"); n != 1 || log.count(c.want) == 0 {
				t.Errorf("logged %d times: %s", n, log.buf.String())
			}
		})
	}
}

// An answer of discovery that brings no list, such as one with another status than 200 or an object that never ends,
// fails its request: the reason is logged, and another request follows.
func TestAnswersOfDiscoveryWithoutAList(t *testing.T) {
	for name, c := range map[string]struct{ head, body, want string }{
		"a status":                {"HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n", "", "status 503, want 200"},
		"not HTTP":                {"SSH-2.0\r\n\r\n", "", "malformed status line"},
		"an object without end":   {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", "1\r\n{\r\n", "no data received in time"},
		"a head and nothing else": {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", "", "no data received in time"},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			asked, ended := make(chan time.Time, 1000), make(chan struct{})
			t.Cleanup(func() { close(ended) })
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
						defer conn.Close()
						fmt.Fprint(conn, c.head, c.body)
						for c.body != "" { // white space in an incomplete object does not show that the watch is alive
							time.Sleep(50 * time.Millisecond)
							if _, err := fmt.Fprint(conn, "1\r\n \r\n"); err != nil {
								return
							}
						}
						<-ended // conn stays open until then: the garbage collector closes a connection that nothing refers to
					}()
				}
			}()
			log := new(logBuffer)
			startHarness(t, func(h *harness) {
				h.log = slog.New(slog.NewTextHandler(log, nil))
				h.watch = newWatch(h.Node, l.Addr().String(), 41)
			})
			first, again := testpeer.Receive(t, asked, "a request"), testpeer.Receive(t, asked, "another")
			maxWait := 500 * time.Millisecond
			if c.want == "no data received in time" {
				maxWait = 3 * time.Second
			}
			if took := again.Sub(first); took > maxWait {
				t.Errorf("the next request came after %v", took)
			}
			testpeer.WaitUntil(t, "logged: "+c.want, func() bool { return log.count(c.want) > 0 })
		})
	}
}

// discardClient is a client that ignores its answers.
type discardClient struct{}

func (discardClient) Reply(gatherer.Reply) {}
func (discardClient) Disconnected() bool   { return false }
func (discardClient) MayHold(int) bool     { return true }
func (discardClient) Hold(int)             {}

// Updates that were received and not read are handled before anything is sent. The loop may have been blocked for
// longer than the grace, and the task that would send may precede the update in the same round of the loop.
func TestReceivedUpdatesAreReadBeforeAnythingIsSent(t *testing.T) {
	for name, c := range map[string]struct{ waiting bool }{"a call that waited for its connection": {true}, "a turn": {false}} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			releaseDial := make(chan bool)
			h := startHarness(t, func(h *harness) {
				sendOnce(h)
				h.beforeDial(h.searcher.Addr, func(context.Context) error {
					if c.waiting {
						<-releaseDial
					}
					return nil
				})
			})
			watch := testpeer.Receive(t, h.discovery.Watches, "a watch")
			watch.Send(testpeer.MemberList(42, false, testpeer.Member("s", h.searcher.Addr, "Ready", 0)))
			h.nextListChange()
			if c.waiting {
				h.sendQuery("search", "t", time.Minute, 1)
				time.Sleep(50 * time.Millisecond) // the call waits
			} else { // a connection is open
				h.sendQuery("search", "t0", time.Minute, 1)
				h.nextPart().Answer("served", 1, "v")
				h.nextOutcome()
			}
			resume := make(chan bool)
			h.exec(func() {
				<-resume
				if !c.waiting { // the query is decided before the loop reads on
					_, _ = h.core.Take(time.Now(), gatherer.QueryRequest{Trace: "t", Class: "search", Parts: []gatherer.PartRequest{{Weight: 1}}}, discardClient{})
					h.runDue()
				}
			})
			watch.Send(testpeer.MemberList(43, false, testpeer.Member("s", h.searcher.Addr, "Terminating", 0)))
			close(releaseDial)
			time.Sleep(100 * time.Millisecond) // all of it is received
			close(resume)
			h.nextListChange()
			if got := h.nextOutcome(); got.Status != eiderwinch.NoConnection && got.Status != eiderwinch.NotSent {
				t.Errorf("have %v", got.Status)
			}
			if len(h.searcher.Parts) > 0 {
				t.Error("the part was sent")
			}
		})
	}
}

// An answer of discovery may state no length. Its list is complete with its last brace, so a reset of the connection
// after that is no error. If the list were not accepted then, a reload would never take effect.
func TestAWholeListWithoutALength(t *testing.T) {
	asked := make(chan string, 100)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	h := startHarness(t, nil)
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
					fmt.Fprint(conn, testpeer.MemberList(7, true, testpeer.Member("s", h.searcher.Addr, "Ready", 0)))
					_ = conn.(*net.TCPConn).SetLinger(0)
					conn.Close()
					return
				}
				_, _ = io.Copy(io.Discard, conn)
			}()
		}
	}()
	testpeer.Receive(t, h.discovery.Watches, "a watch")
	h.FollowDiscovery(l.Addr().String())
	if got := h.nextListChange(); got.Kind != eiderwinch.Whole || len(got.Replicas) != 1 {
		t.Errorf("have %+v", got)
	}
	for _, want := range []string{listPath, watchPath + "7"} {
		if got := testpeer.Receive(t, asked, want); got != want {
			t.Errorf("asked for %s, want %s", got, want)
		}
	}
}

// A searcher that a whole list leaves out is gone, even if it still answers. Calls that wait for a connection to
// it are not sent.
func TestASearcherLeftOutOfAWholeListIsSentNothing(t *testing.T) {
	releaseDials, dialed := make(chan bool), make(chan bool, 10)
	h := startHarness(t, func(h *harness) {
		retryOnce(h)
		h.holdDials(dialed, releaseDials)
	})
	w := testpeer.Receive(t, h.discovery.Watches, "a watch")
	h.sendQuery("search", "t", time.Minute, 1)
	testpeer.Receive(t, dialed, "a dial")
	w.Send(testpeer.MemberList(42, true, testpeer.Member("other", "127.0.0.1:1", "Ready", 0)))
	h.nextListChange()
	close(releaseDials)
	if got := h.nextOutcome(); got.Status != eiderwinch.NoConnection {
		t.Errorf("have %v", got.Status)
	}
	h.sendQuery("search", "u", time.Minute, 1)
	if got := h.nextOutcome(); got.Status != eiderwinch.NotSent || len(h.searcher.Parts) > 0 {
		t.Errorf("have %v, %d parts sent", got.Status, len(h.searcher.Parts))
	}
}

// Due work waits for unread updates, and final answers must not be late because of that. However long the drain grace
// is, endless updates delay answers by no more than the answer slack.
func TestEndlessUpdatesDelayNoAnswers(t *testing.T) {
	for grace, maxDelay := range map[time.Duration]time.Duration{
		50 * time.Millisecond: 10 * time.Millisecond, 500 * time.Millisecond: 20 * time.Millisecond, 2 * time.Second: 20 * time.Millisecond,
	} {
		t.Run(grace.String(), func(t *testing.T) {
			t.Parallel()
			h := startHarness(t, func(h *harness) { h.cfg.DrainGrace = grace })
			watch := testpeer.Receive(t, h.discovery.Watches, "a watch")
			watch.Send("")
			h.waitUntil("the watch is read", func() bool { return len(h.watch.subscriptions) == 1 && !h.deferForUpdates(time.Now()) })
			h.onLoop(func() {
				watch.Send("")
				now := time.Now()
				h.spinUntil("an update is received", func() bool { return h.deferForUpdates(now) })
				deferred := func(rounds int, after time.Duration) bool {
					h.wakeups = h.deferredAtWakeup + rounds
					return h.deferForUpdates(now.Add(after))
				}
				if !deferred(minDeferWakeups-1, time.Hour) || !deferred(minDeferWakeups, maxDelay-1) || deferred(minDeferWakeups, maxDelay) {
					t.Errorf("deferred: %v, %v and %v, want until round %d and for %v", deferred(minDeferWakeups-1, time.Hour), deferred(minDeferWakeups, maxDelay-1),
						deferred(minDeferWakeups, maxDelay), minDeferWakeups, maxDelay)
				}
			})
		})
	}
}

// A frame that the system does not accept waits in a buffer, and would be sent long after its searcher began to
// leave. It is dropped, whether the searcher is reported as draining or left out of a whole list.
func TestABufferedFrameIsNotSentToALeavingSearcher(t *testing.T) {
	for name, list := range map[string]func(*harness) string{
		"reported as draining": func(h *harness) string {
			return testpeer.MemberList(42, false, testpeer.Member("s", h.searcher.Addr, "Terminating", 0))
		},
		"reported as draining at another address": func(*harness) string {
			return testpeer.MemberList(42, false, testpeer.Member("s", "127.0.0.1:1", "Terminating", 0))
		},
		"left out of a whole list": func(*harness) string {
			return testpeer.MemberList(42, true, testpeer.Member("other", "127.0.0.1:1", "Ready", 0))
		},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			h := startHarness(t, sendOnce)
			w := testpeer.Receive(t, h.discovery.Watches, "a watch")
			h.sendQuery("search", "t", time.Minute, 1)
			h.nextPart()
			h.onLoop(func() {
				c := h.pool.searchers["s"].conns[0]
				_ = setSendBuffer(c.conn.FD(), 1)
				for c.conn.Buffered() == 0 { // the searcher of this test does not read that fast
					c.write([]byte("\x00\x01\x00\x01c" + strings.Repeat("x", 1<<16)))
				}
				c.inFlight[0].firstByte = c.written // as if the part's frame were behind these bytes
				c.inFlight[0].endByte = c.written + 1
				w.Send(list(h))
				h.spinUntil("the list is received", func() bool { return h.deferForUpdates(time.Now()) })
			})
			if got := h.nextOutcome(); got.Status != eiderwinch.NoConnection {
				t.Errorf("have %v", got.Status)
			}
			h.onLoop(func() {
				if h.stats.StoppedForDrain != 1 {
					t.Errorf("%d connections closed with unsent parts, want 1", h.stats.StoppedForDrain)
				}
			})
		})
	}
}

// The list of another address may know only an earlier process of a searcher. The later process stays as cold as
// it is, and parts are sent to its address.
func TestAnOlderListDoesNotBringBackThePreviousProcess(t *testing.T) {
	h, newDiscovery, restartedSearcher := startHarness(t, sendOnce), testpeer.NewDiscovery(t), testpeer.NewSearcher(t)
	old := testpeer.Receive(t, h.discovery.Watches, "a watch")
	started := time.Now().UnixMilli()
	old.Send(testpeer.MemberList(42, false, testpeer.Member("s", restartedSearcher.Addr, "Ready", started)))
	reported := h.nextListChange().Replicas[0].Started
	h.FollowDiscovery(newDiscovery.Addr)
	newDiscovery.SetList(testpeer.MemberList(7, true, testpeer.Member("s", h.searcher.Addr, "Ready", started-1000)))
	if got := h.nextListChange(); got.Kind != eiderwinch.Whole || got.Replicas[0].Started != reported {
		t.Errorf("have %+v, want the start at %v", got, reported)
	}
	client := h.sendQuery("search", "t", time.Minute, 1)
	testpeer.Receive(t, restartedSearcher.Parts, "a part").Answer("served", 1, "v")
	if resp, _ := client.ReadResponse(); resp.StatusCode != 200 {
		t.Errorf("have %s", resp.Status)
	}
}

// A watch that can't be opened because there are no free descriptors is opened once there are some, and the loop goes
// on.
func TestAWatchIsOpenedOnceThereAreDescriptors(t *testing.T) {
	var refused atomic.Int32
	h := startHarness(t, func(h *harness) {
		h.beforeDial(h.discovery.Addr, func(context.Context) error {
			if refused.Add(1) <= 3 {
				return &net.OpError{Op: "dial", Err: syscall.EMFILE}
			}
			return nil
		})
	})
	testpeer.Receive(t, h.discovery.Watches, "a watch")
	h.onLoop(func() {
		if got := h.stats.DialRetries; got != 3 || h.stats.WatchFails != 0 {
			t.Errorf("%d dials retried, %d watches failed; want 3 and 0", got, h.stats.WatchFails)
		}
	})
}

// If both the address in use and that of a reload are silent, the first one to send an update is used, and the
// move takes place once the new address has sent its list.
func TestAReloadWhileBothAddressesAreSilent(t *testing.T) {
	h, newDiscovery := startHarness(t, nil), testpeer.NewDiscovery(t)
	old := testpeer.Receive(t, h.discovery.Watches, "a watch")
	h.FollowDiscovery(newDiscovery.Addr)
	h.waitUntil("the old watch is silent", func() bool { return time.Until(h.watch.follower.Due()) < time.Second })
	old.Send(testpeer.MemberList(42, false, testpeer.Member("s", h.searcher.Addr, "Terminating", 0)))
	if got := h.nextListChange(); got.Replicas[0].State != eiderwinch.Draining {
		t.Errorf("the update from the old address is %+v", got)
	}
	newDiscovery.SetList(testpeer.MemberList(7, true, testpeer.Member("s", h.searcher.Addr, "Ready", 0), testpeer.Member("x", "127.0.0.1:1", "Ready", 0)))
	if got := h.nextListChange(); got.Kind != eiderwinch.Whole || got.Replicas[0].State != eiderwinch.Draining || len(got.Replicas) != 2 {
		t.Errorf("the list from the new address is %+v", got)
	}
	testpeer.Receive(t, newDiscovery.Watches, "a watch at the new address")
}

// After a reload, a list of the new address that is older than a drain lists the searcher as ready. A later whole list
// that leaves it out voids that entry: the searcher must not become ready when the older list would have been accepted.
func TestOmittedSearcherStaysOutAfterReload(t *testing.T) {
	t.Parallel()
	h, newDiscovery := startHarness(t, nil), testpeer.NewDiscovery(t)
	s, other := testpeer.Member("s", h.searcher.Addr, "Ready", 0), testpeer.Member("o", "127.0.0.1:1", "Ready", 0)
	testpeer.Receive(t, h.discovery.Watches, "a watch").Send(testpeer.MemberList(42, false, testpeer.Member("s", h.searcher.Addr, "Terminating", 0)))
	h.waitUntil("the drain is known", func() bool { return !h.core.Ready("s") })
	h.FollowDiscovery(newDiscovery.Addr)
	newDiscovery.SetList(testpeer.MemberList(41, true, s, other))
	w := testpeer.Receive(t, newDiscovery.Watches, "the new watch")
	h.waitUntil("the older list was rejected", func() bool { return h.stats.RejectedMembers == 1 })
	w.Send(testpeer.MemberList(43, true, other))
	ready := false
	for end := time.Now().Add(8 * time.Second); !ready && time.Now().Before(end); time.Sleep(500 * time.Millisecond) {
		w.Send("")
		h.onLoop(func() { ready = h.core.Ready("s") || h.stats.ReinstatedMembers > 0 })
	}
	if ready {
		t.Error("the searcher is ready again")
	}
}

// The revisions of an address that is followed again can't be compared with those from before.
func TestAddressThatIsFollowedAgainIsAnotherSource(t *testing.T) {
	h, newDiscovery := startHarness(t, nil), testpeer.NewDiscovery(t)
	s := func(phase string) string { return testpeer.Member("s", h.searcher.Addr, phase, 0) }
	other := testpeer.Member("o", "127.0.0.1:1", "Ready", 0)
	testpeer.Receive(t, h.discovery.Watches, "a watch").Send(testpeer.MemberList(42, false, s("Terminating")))
	h.waitUntil("the drain is known", func() bool { return !h.core.Ready("s") })
	h.discovery.SetList(testpeer.MemberList(50, true, s("Ready"), other)) // another process at the first address, which lags behind
	newDiscovery.SetList(testpeer.MemberList(7, true, other))
	h.FollowDiscovery(newDiscovery.Addr)
	testpeer.Receive(t, newDiscovery.Watches, "the new watch")
	h.FollowDiscovery(h.discovery.Addr)
	testpeer.Receive(t, h.discovery.Watches, "the third watch")
	h.onLoop(func() {
		if h.core.Ready("s") || h.stats.RejectedMembers != 1 {
			t.Errorf("ready: %v, %d entries rejected", h.core.Ready("s"), h.stats.RejectedMembers)
		}
	})
}
