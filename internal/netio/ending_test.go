package netio

import (
	"errors"
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

// Half a request at the end of a drain is refused: were it cut off without a word, its rest would be a request
// that nobody answers. The process does not wait for it until it is killed.
func TestHalfARequestIsRefusedBeforeTheKill(t *testing.T) {
	for name, first := range map[string]string{"the first": "", "a further one": health} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			r := start(t, func(r *rig) { r.serveFor = time.Minute })
			client := testpeer.NewClient(t, r.Addr())
			if first != "" {
				heard(t, client, first)
			}
			client.Say("POST /search HTTP/1.1\r\nContent-Length: 10\r\n\r\n")
			r.until("half a request", func() bool { return r.clientTable.Count(limit.First)+r.clientTable.Count(limit.Further) == 1 })
			r.Drain()
			r.onLoop(func() { // all its time is over but what is left for answers
				r.serveUntil = time.Now()
				r.killAt = time.Now().Add(answerMargin)
				r.drained(time.Now())
			})
			client.Say("0123456789")
			if resp, _ := client.Hear(); resp.StatusCode != http.StatusServiceUnavailable || !resp.Close {
				t.Errorf("have %s, close %v", resp.Status, resp.Close)
			}
		})
	}
}

// A close over bytes that were not read resets the connection, and the last answer on it may go with it. So a
// process that drains waits for clients that it has told to go, for as long as it surely lives.
func TestADrainWaitsForClientsToReadTheirLastAnswer(t *testing.T) {
	r := start(t, nil)
	client := testpeer.NewClient(t, r.Addr()).Say("nonsense\r\n\r\n")
	r.until("the answer", func() bool { return r.clientTable.Count(limit.Ending) == 1 })
	r.Drain()
	r.onLoop(func() {
		client.Say("more of it")
		if now := time.Now(); r.drained(now) || !r.drained(r.killAt) {
			t.Errorf("drained: %v before the kill, %v at it", r.drained(now), r.drained(r.killAt))
		}
	})
	if resp, _ := client.Hear(); resp.StatusCode != http.StatusBadRequest {
		t.Errorf("have %s", resp.Status)
	}
	client.Closed()
}

// A process may come up while the one before still holds its address. One that can't listen at all must not
// stay: it would serve nobody.
func TestAListenerThatCannotBeOpenedAtFirstIsTriedAgain(t *testing.T) {
	t.Parallel()
	other, err := net.Listen("tcp", "127.0.0.1:0") // without SO_REUSEPORT
	if err != nil {
		t.Fatal(err)
	}
	run := func(addr string) (*Node, <-chan error) {
		n := New(Config{Listen: addr, Discovery: "127.0.0.1:1", Sockets: 1024, Gatherer: gatherer.Settings{Tick: time.Millisecond}},
			&rig{decide: func(eiderwinch.Event) []eiderwinch.Action { return nil }}, stats.New(), slog.New(slog.DiscardHandler))
		done := make(chan error, 1)
		go func() { done <- n.Run() }()
		return n, done
	}
	n, done := run(other.Addr().String())
	select {
	case <-n.Started():
		t.Error("it has started beside another listener")
	case err := <-done:
		t.Errorf("it has given up: %v", err)
	case <-time.After(100 * time.Millisecond):
	}
	other.Close()
	testpeer.Get(t, n.Started(), "the start")
	n.acceptFor, n.serveFor = 0, 0
	n.Drain()
	if err := testpeer.Get(t, done, "the end"); err != nil {
		t.Error(err)
	}
	if _, done := run("192.0.2.1:1"); !errors.Is(testpeer.Get(t, done, "the end of one without an address"), unix.EADDRNOTAVAIL) {
		t.Error("it ended for another reason")
	}
}

// A request is taken once it is written to a connection that the machine has accepted, also where the loop has not.
func TestADrainServesWhoWasNotAcceptedYet(t *testing.T) {
	r := start(t, nil)
	r.until("the own connection is over", func() bool { return r.clientTable.Held() == 0 })
	var client *testpeer.Client
	r.onLoop(func() {
		now := time.Now()
		r.draining, r.drainUntil, r.serveUntil, r.killAt = true, now, now, now.Add(time.Minute)
		if !r.drained(now) {
			t.Error("something is left to do")
		}
		client = testpeer.NewClient(t, r.Addr()).Say(testpeer.Query("search", "t", time.Minute, 1))
		r.wait("it has connected", func() bool { return readable(r.loop.ListenerFd()) })
		if r.drained(now) || !r.drained(r.killAt) {
			t.Error("who has connected is left behind, or holds up the end for good")
		}
	})
	r.part().Answer("served", 1, "v")
	if resp, _ := client.Hear(); resp.StatusCode != http.StatusOK {
		t.Errorf("have %s", resp.Status)
	}
}

// The times of a drain come from the settings: whatever the deadlines, all is over before the kill.
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

// What was taken before a drain may have longer to go than the process: it is answered before the kill may come, by a refusal
// where a repeat does no harm.
func TestADrainAnswersWhatWouldOutliveTheProcess(t *testing.T) {
	nothing := func(r *rig) { r.decide = func(eiderwinch.Event) []eiderwinch.Action { return nil } }
	for name, c := range map[string]struct {
		set          func(*rig)
		class        string
		sent, during bool
		want         int
	}{
		"safe, sent to a searcher that hangs":  {sendAll, "search", true, false, http.StatusServiceUnavailable},
		"keyed, sent to a searcher that hangs": {sendAll, "reserve", true, false, http.StatusBadGateway},
		"keyed, never sent":                    {nothing, "reserve", false, false, http.StatusServiceUnavailable},
		"safe, taken in the drain":             {sendAll, "search", true, true, http.StatusServiceUnavailable},
		"half of it is in, which may be given": {func(r *rig) {
			r.cfg.Gatherer.Module.Classes[0].Floor = 0.5
			r.remake()
			sendAll(r)
		}, "search", true, false, http.StatusOK},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			r := start(t, func(r *rig) {
				c.set(r)
				r.acceptFor = time.Minute // no shorter time is told to what comes in the drain
			})
			if c.during {
				r.Drain()
			}
			parts := 1
			if c.want == http.StatusOK {
				parts = 2
			}
			client := r.ask(c.class, "t", time.Minute, parts)
			if c.sent {
				for range parts - 1 {
					r.part().Answer("served", 1, "v")
				}
				r.part()
			} else {
				testpeer.Get(t, r.events, "the list")
				testpeer.Get(t, r.events, "the query")
			}
			r.Drain()
			resp, _ := client.Hear()
			if resp.StatusCode != c.want || (resp.Header.Get("Retry-After") != "") != (c.want == http.StatusServiceUnavailable) {
				t.Errorf("have %s %v", resp.Status, resp.Header)
			}
			r.onLoop(func() {
				r.drainUntil = time.Now()
				if r.stats.CutShort != 1 || r.stats.Overdue != 0 {
					t.Errorf("cut short %d, overdue %d", r.stats.CutShort, r.stats.Overdue)
				}
			})
		})
	}
}

// An answer that is half flushed is flushed to its end, also past the moment of the kill: that may come late.
func TestADrainFlushesAnswers(t *testing.T) {
	r := start(t, nil)
	client := testpeer.NewClient(t, r.Addr())
	client.ReadAhead(16 << 10)
	client.Say(testpeer.Query("search", "t", time.Minute, 4))
	parts := []testpeer.Part{r.part(), r.part(), r.part(), r.part()}
	r.onLoop(func() { _ = setSendBuffer(r.clientTable.Oldest(limit.Busy).Owner.conn.Fd(), 16<<10) })
	r.Drain()
	r.onLoop(func() { r.serveUntil, r.killAt = time.Now(), time.Now() })
	value := strings.Repeat("v", 60_000)
	for _, p := range parts {
		p.Answer("served", 1, value)
	}
	r.until("an answer in the buffer", func() bool { return len(r.flushing) == 1 })
	r.onLoop(func() {
		if r.drained(time.Now()) {
			t.Error("it ends over half an answer")
		}
	})
	if resp, body := client.Hear(); resp.StatusCode != http.StatusOK || strings.Count(body, value) != 4 {
		t.Errorf("have %s and %d bytes", resp.Status, len(body))
	}
	client.Closed()
}

// What is read once the way out is shut is no request: sent on, it would be answered by nobody.
func TestNothingIsTakenOnceTheWayOutIsShut(t *testing.T) {
	r := start(t, nil)
	client := testpeer.NewClient(t, r.Addr())
	heard(t, client, "GET /_health HTTP/1.1\r\n\r\n")
	r.until("it rests", func() bool { return r.clientTable.Count(limit.Idle) == 1 })
	r.onLoop(func() { r.clientTable.Oldest(limit.Idle).Owner.closeGracefully() })
	client.Say(testpeer.Query("search", "t", time.Minute, 1))
	r.until("it is read", func() bool { return r.clientTable.Oldest(limit.Ending).Owner.discarded > 0 })
	r.onLoop(func() {
		if r.stats.Taken != 0 {
			t.Error("it is taken")
		}
	})
	client.Closed()
}

// setSendBuffer sets how many bytes the system holds of what was written.
func setSendBuffer(fd, bytes int) error {
	return unix.SetsockoptInt(fd, unix.SOL_SOCKET, unix.SO_SNDBUF, bytes)
}
