package netio

import (
	"fmt"
	"net"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"eiderwinch"
	"eiderwinch/internal/format/catalog"
	"eiderwinch/internal/trial/fake"
	"eiderwinch/internal/trial/testpeer"
)

// Times of the trial with holders that stand still.
const (
	holdersWindow  = 2 * time.Second         // repeat window of reservations
	holdersExpiry  = 3500 * time.Millisecond // time that clients wait
	holdersPatient = time.Second             // when some clients leave
	lostSlack      = 100 * time.Millisecond  // the latest that an attempt may begin after its client has left
	toldSlack      = 150 * time.Millisecond  // what a searcher may be told beyond the time left
	windowSlack    = 50 * time.Millisecond   // of a repeat, for the time from its last byte's write to its arrival
)

// holders are searchers that hold the same shards. Some of them stand still for a while; what one makes of a reservation is known
// to all for holdersWindow. Those that stood still check the rules for each part that arrives: what they read was written after they
// went on, or shortly before. The other one reads all the time, and how late that is depends on the machine.
type holders struct {
	mu         sync.Mutex
	made       map[string]time.Time // reservations, by part
	clients    map[string]*heldClient
	violations map[string]int
	resumed    chan struct{}
	lostOnce   atomic.Bool // the first answers were lost
}

// heldClient is what the holders know of the client of a query.
type heldClient struct {
	began time.Time
	left  time.Time // zero if it has not left
}

// makes records the reservation of a part, and reports whether it was made too long ago to be recognized.
func (s *holders) makes(now time.Time, p fake.Part) (tooLate bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if made, again := s.made[p.ID]; again {
		return now.Sub(made) > holdersWindow+windowSlack
	}
	s.made[p.ID] = now
	return false
}

// check checks a part whose last byte has arrived.
func (s *holders) check(now time.Time, p fake.Part, tooLate bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	trace, _, _ := strings.Cut(p.ID, ".")
	client := s.clients[trace]
	if !client.left.IsZero() && now.Sub(client.left) > lostSlack {
		s.violations["lost"]++
	}
	var told int64
	_, _ = fmt.Sscanf(p.Fields, "d=%d", &told)
	if time.Duration(told)*time.Millisecond > holdersExpiry-now.Sub(client.began)+toldSlack {
		s.violations["told"]++
	}
	if tooLate && strings.HasPrefix(trace, "reserve") {
		s.violations["duplicate"]++
	}
}

// serve serves a connection to a holder. One that stalls reads nothing until resumed is closed; the other one's first answers are
// lost with their connection.
func (s *holders) serve(c net.Conn, stalls bool) {
	defer c.Close()
	if stalls {
		_ = c.(*net.TCPConn).SetReadBuffer(slowReceiveBuffer)
		<-s.resumed
	}
	for {
		letter, payload, err := fake.ReadFrame(c)
		if err != nil {
			return
		}
		if letter != 'q' {
			continue
		}
		now := time.Now()
		parts, err := fake.ParseCall(payload)
		if err != nil {
			return
		}
		for _, p := range parts {
			if tooLate := s.makes(now, p); stalls {
				s.check(now, p, tooLate)
			}
		}
		if !stalls && !s.lostOnce.Swap(true) {
			return
		}
		for _, p := range parts {
			fake.WriteFrame(c, fmt.Sprintf("a%s served 1 -\nv", p.ID))
		}
	}
}

// Guards against all that may go on from a frame which is kept while its searcher stands still: repeats after their window, work
// for clients that have left, times told that are over. The decisions are the aggregator's own.
func TestHoldersThatStandStillBreakNoRule(t *testing.T) {
	for _, class := range []string{"reserve", "search"} {
		for _, stall := range []time.Duration{1400 * time.Millisecond, 2300 * time.Millisecond, 3200 * time.Millisecond} {
			t.Run(fmt.Sprintf("%s/%v", class, stall), func(t *testing.T) {
				t.Parallel()
				s := &holders{
					made: make(map[string]time.Time), clients: make(map[string]*heldClient), violations: make(map[string]int),
					resumed: make(chan struct{}),
				}
				h := startHolders(t, s)
				time.AfterFunc(stall, func() { close(s.resumed) })
				var clients sync.WaitGroup
				for i := range 12 {
					clients.Add(1)
					go func() {
						defer clients.Done()
						s.ask(t, h, fmt.Sprint(class, i), class, i%2 == 0)
					}()
				}
				clients.Wait()
				s.mu.Lock()
				defer s.mu.Unlock()
				h.onLoop(func() {
					t.Logf("kept %d, given up %v", h.stats.KeptCalls, h.stats.GivenUpCalls)
				})
				if len(s.violations) > 0 {
					t.Errorf("attempts that break a rule: %v", s.violations)
				}
			})
		}
	}
}

// ask sends a query, and leaves or waits for its answer.
func (s *holders) ask(t *testing.T, h *harness, trace, class string, leaves bool) {
	client := testpeer.NewClient(t, h.Addr())
	state := &heldClient{began: time.Now()}
	s.mu.Lock()
	s.clients[trace] = state
	s.mu.Unlock()
	text := testpeer.QueryWithStatement(class, trace, holdersExpiry, 4, strings.Repeat("x", largeStatement))
	client.Send(strings.Replace(text, "Idempotency-Key: k", "Idempotency-Key: "+trace, 1))
	if leaves {
		time.Sleep(holdersPatient)
		client.Close()
		s.mu.Lock()
		state.left = time.Now()
		s.mu.Unlock()
		time.Sleep(holdersExpiry) // what is sent for it meanwhile is seen
		return
	}
	if resp, _ := client.ReadResponse(); time.Since(state.began) > holdersExpiry+h.cfg.AnswerSlack+lostSlack {
		t.Errorf("%s: %s after %v", trace, resp.Status, time.Since(state.began))
	}
}

// startHolders starts a harness with three holders of all shards, two of which stand still.
func startHolders(t *testing.T, s *holders) *harness {
	return startHarness(t, func(h *harness) {
		h.cfg.InitialMembers.Members = nil
		for i := range 3 {
			server, err := fake.Listen(func(c net.Conn) { s.serve(c, i > 0) })
			if err != nil {
				t.Fatal(err)
			}
			t.Cleanup(func() { _ = server.Close() })
			limitSendBuffer(h, server.Addr())
			h.cfg.InitialMembers.Members = append(h.cfg.InitialMembers.Members, catalog.Member{ID: fmt.Sprint("h", i), HostPort: server.Addr(), Phase: catalog.Ready, Size: 1})
		}
		module := &h.cfg.Gatherer.Module
		h.cfg.Gatherer.MaxOpen = 140
		for i := range module.Classes[:2] {
			module.Classes[i].Aim, module.Classes[i].Deadline, module.Classes[i].LateWorth = 1500*time.Millisecond, 4*time.Second, 0.3
		}
		module.Classes[1].RepeatWindow = holdersWindow
		h.aggregator = eiderwinch.New(*module)
		h.rebuildCore()
	})
}
