package netio

import (
	"fmt"
	"math/rand/v2"
	"net"
	"strings"
	"testing"
	"time"

	"eiderwinch/internal/limit"
	"eiderwinch/internal/memory"
	"eiderwinch/internal/trial/testpeer"
)

// accountClient is a client that does what the test draws. It never waits.
type accountClient struct {
	net.Conn
	unsent string // of the request that it is sending
}

// accountActions are what a client may do next.
var accountActions = []func(c *accountClient, rng *rand.Rand, name string){
	func(c *accountClient, rng *rand.Rand, name string) { // begins a request
		text := strings.Repeat("x", rng.IntN(3)*rng.IntN(10_000))
		body := fmt.Sprintf(`{"tablets":[{"tablet":0,"fraction":1}],"statement":"%s"}`, text)
		c.unsent += fmt.Sprintf("POST /search HTTP/1.1\r\nX-Trace-Id: %s\r\nX-Qos: search\r\nContent-Length: %d\r\n\r\n%s", name, len(body), body)
	},
	func(c *accountClient, rng *rand.Rand, name string) { // begins a chunked request
		body := fmt.Sprintf(`{"tablets":[{"tablet":0,"fraction":1}],"statement":"%s"}`, strings.Repeat("y", rng.IntN(5000)))
		c.unsent += fmt.Sprintf("POST /search HTTP/1.1\r\nX-Trace-Id: %s\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\n\r\n", name, len(body), body)
	},
	func(c *accountClient, rng *rand.Rand, _ string) { // sends small requests, some of them unsound
		c.unsent += strings.Repeat([]string{healthRequest, "GET /x HTTP/1.1\r\n\r\n"}[rng.IntN(2)], 1+rng.IntN(30))
	},
	func(c *accountClient, rng *rand.Rand, _ string) { // sends a piece
		n := min(rng.IntN(5000), len(c.unsent))
		c.send(n)
	},
	func(c *accountClient, _ *rand.Rand, _ string) { c.send(len(c.unsent)) }, // sends all
	func(c *accountClient, _ *rand.Rand, _ string) { // reads what has come
		_ = c.SetReadDeadline(time.Now().Add(time.Millisecond))
		_, _ = c.Read(make([]byte, 256<<10))
	},
	func(c *accountClient, rng *rand.Rand, _ string) { // leaves
		if rng.IntN(2) == 0 {
			_ = c.Conn.(*net.TCPConn).SetLinger(0)
		}
		_ = c.Close()
	},
}

func (c *accountClient) send(n int) {
	_ = c.SetWriteDeadline(time.Now().Add(time.Millisecond))
	sent, _ := c.Write([]byte(c.unsent[:n]))
	c.unsent = c.unsent[sent:]
}

// checkAccount compares the account with what the connections hold.
func (h *harness) checkAccount(step string) {
	h.onLoop(func() {
		sums := make(map[memory.Kind]int)
		for _, stage := range limit.Stages() {
			h.clientTable.Each(stage, func(c *clientConn) {
				want := map[memory.Kind]int{
					memory.Connections: connectionSize,
					memory.Requests:    c.parser.Held() + c.deferredSize + cap(c.arrivals)*arrivalSize,
					memory.Answers:     c.conn.Held(),
					memory.Queries:     c.holder.Held(memory.Queries),
				}
				for k, bytes := range want {
					sums[k] += bytes
					if got := c.holder.Held(k); got != bytes {
						h.t.Errorf("%s: a connection in stage %v holds %d for %v, the account has %d", step, stage, bytes, k, got)
					}
				}
				if c.queryID == 0 && want[memory.Queries] > 0 {
					h.t.Errorf("%s: query %d takes %d bytes", step, c.queryID, want[memory.Queries])
				}
				if c.conn.ReadingPaused() && !c.busy && c.ReadLimit() > 0 {
					h.t.Errorf("%s: a connection in stage %v is not read although it might be", step, stage)
				}
			})
		}
		for _, k := range memory.Kinds() {
			if h.account.Held(k) != sums[k] {
				h.t.Errorf("%s: the account has %d for %v, the connections hold %d", step, h.account.Held(k), k, sums[k])
			}
		}
		if h.account.Excess() > 0 {
			h.t.Errorf("%s: an excess of %d", step, h.account.Excess())
		}
	})
}

// Whatever clients do and in which order, the account has just what their connections hold, never more than there is room
// for, no connection is forgotten in a pause, and nothing is left when they have gone.
func TestAccountMatchesWhatConnectionsHold(t *testing.T) {
	for seed := range uint64(8) {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			t.Parallel()
			rng := rand.New(rand.NewPCG(seed, 0))
			h := startHarness(t, func(h *harness) { h.account = memory.New(64<<10, 8) })
			go func() {
				values := rand.New(rand.NewPCG(seed, 1))
				for p := range h.searcher.Parts {
					p.Answer("served", 1, strings.Repeat("v", values.IntN(2)*values.IntN(60_000)))
				}
			}()
			clients := make([]*accountClient, 6)
			for step := range 1000 {
				i := rng.IntN(len(clients))
				if clients[i] == nil || rng.IntN(20) == 0 {
					if clients[i] != nil {
						_ = clients[i].Close()
					}
					conn, err := net.Dial("tcp", h.Addr())
					if err != nil {
						t.Fatal(err)
					}
					clients[i] = &accountClient{Conn: conn}
				}
				action := rng.IntN(len(accountActions))
				accountActions[action](clients[i], rng, fmt.Sprintf("t-%d-%d", seed, step))
				if step%10 == 0 {
					h.checkAccount(fmt.Sprintf("step %d, client %d, action %d", step, i, action))
				}
			}
			for _, c := range clients {
				if c != nil {
					_ = c.Close()
				}
			}
			h.onLoop(func() {
				t.Logf("%d taken, %d rejected, %d waited for room, %d refused for memory, %d shed, %d left unread",
					h.stats.Taken, h.stats.Malformed, h.stats.WaitedForRoom, h.stats.RefusedForMemory, h.stats.ShedForMemory, h.stats.LeftUnread)
			})
			h.waitUntil("all clients have gone", func() bool { return h.clientTable.Len() == 0 })
			h.onLoop(func() {
				if h.account.Total() != 0 || len(h.roomQueue)+len(h.flushing)+h.backlog.Len() > 0 || h.loop.UnreadConns() != 0 {
					t.Errorf("left: %d bytes, %d wait for room, %d are flushing, %d in the backlog, %d not read", h.account.Total(),
						len(h.roomQueue), len(h.flushing), h.backlog.Len(), h.loop.UnreadConns())
				}
			})
			testpeer.WaitUntil(t, "no query is open", func() bool {
				open := 0
				h.onLoop(func() { open = h.core.OpenQueries() })
				return open == 0
			})
		})
	}
}
