package netio

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"eiderwinch"
	"eiderwinch/internal/format/catalog"
	"eiderwinch/internal/trial/fake"
	"eiderwinch/internal/trial/testpeer"
)

// Searchers that read slowly: each reads a piece at a time on each of its connections. Their sockets are as in a fleet in which
// each holds many connections.
const (
	slowPiece         = 4 << 10 // bytes read at a time
	slowReceiveBuffer = 8 << 10 // bytes
	ethernetSegment   = 1460    // bytes
	slowCells         = 4
	slowSearcherCount = 12
)

// slowReader reads a piece at a time, and waits before each.
type slowReader struct {
	from  io.Reader
	every time.Duration
}

// Read implements io.Reader.
func (r slowReader) Read(b []byte) (int, error) {
	time.Sleep(r.every)
	return r.from.Read(b[:min(len(b), slowPiece)])
}

// slowSearchers are searchers that answer each part at once, but read slowly.
type slowSearchers struct{ every time.Duration }

// start starts one, and returns its address.
func (s *slowSearchers) start(t *testing.T) string {
	t.Helper()
	config := net.ListenConfig{Control: onSocket(func(fd int) error {
		return errors.Join(
			syscall.SetsockoptInt(fd, syscall.IPPROTO_TCP, syscall.TCP_MAXSEG, ethernetSegment),
			syscall.SetsockoptInt(fd, syscall.SOL_SOCKET, syscall.SO_RCVBUF, slowReceiveBuffer),
		)
	})}
	l, err := config.Listen(context.Background(), "tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go s.serve(c)
		}
	}()
	return l.Addr().String()
}

func (s *slowSearchers) serve(c net.Conn) {
	defer c.Close()
	for {
		letter, payload, err := fake.ReadFrame(slowReader{c, s.every})
		if err != nil {
			return
		}
		if letter != 'q' {
			continue
		}
		parts, err := fake.ParseCall(payload)
		if err != nil {
			return
		}
		for _, p := range parts {
			fake.WriteFrame(c, fmt.Sprintf("a%s served 1 -\nv", p.ID))
		}
	}
}

// Guards against a mend that gives up whatever is slow: searchers that read slowly, but read, serve all queries.
// EIDERWINCH_SLOW_READS adds the slower ones, whose figures are printed.
func TestSlowSearchersServeLargeQueries(t *testing.T) {
	pauses := []time.Duration{time.Millisecond, 8 * time.Millisecond}
	if os.Getenv("EIDERWINCH_SLOW_READS") != "" {
		pauses = []time.Duration{time.Millisecond, 4 * time.Millisecond, 8 * time.Millisecond, 16 * time.Millisecond, 32 * time.Millisecond}
	}
	for _, class := range []string{"search", "reserve"} {
		for _, pause := range pauses {
			t.Run(fmt.Sprintf("%s/%v", class, pause), func(t *testing.T) {
				const clients, rounds, parts = 8, 3, 3
				h := startSlowHarness(t, pause)
				var served, failed atomic.Int32
				var took atomic.Int64
				var all sync.WaitGroup
				for client := range clients {
					all.Add(1)
					go func() {
						defer all.Done()
						for round := range rounds {
							began := time.Now()
							id := fmt.Sprintf("%d-%d", client, round)
							text := testpeer.QueryWithStatement(class, id, 3500*time.Millisecond, parts, strings.Repeat("x", largeStatement))
							text = strings.Replace(text, "Idempotency-Key: k", "Idempotency-Key: "+id, 1)
							if resp, _ := testpeer.NewClient(t, h.Addr()).Send(text).ReadResponse(); resp.StatusCode == 200 {
								served.Add(1)
								took.Add(int64(time.Since(began)))
							} else {
								failed.Add(1)
							}
						}
					}()
				}
				all.Wait()
				mean := time.Duration(took.Load() / max(int64(served.Load()), 1))
				t.Logf("%d of %d served, mean %v", served.Load(), clients*rounds, mean.Round(time.Millisecond))
				if failed.Load() > 0 {
					t.Errorf("%d of %d not served", failed.Load(), clients*rounds)
				}
			})
		}
	}
}

// startSlowHarness starts a harness whose searchers read slowly, with the aggregator's own decisions.
func startSlowHarness(t *testing.T, pause time.Duration) *harness {
	searchers := &slowSearchers{every: pause}
	return startHarness(t, func(h *harness) {
		h.cfg.InitialMembers.Members = nil
		for i := range slowSearcherCount {
			h.cfg.InitialMembers.Members = append(h.cfg.InitialMembers.Members, catalog.Member{
				ID: fmt.Sprint("slow", i), HostPort: searchers.start(t), Cell: i % slowCells, Phase: catalog.Ready, Size: 1,
			})
		}
		module := &h.cfg.Gatherer.Module
		module.Cells, module.Shards = slowCells, 12
		h.cfg.Gatherer.MaxOpen = 140
		search, reserve := &module.Classes[0], &module.Classes[1]
		search.Aim, search.Deadline, search.LateWorth = 1500*time.Millisecond, 4*time.Second, 0.1
		reserve.Aim, reserve.Deadline, reserve.LateWorth, reserve.RepeatWindow = 1500*time.Millisecond, 5*time.Second, 0.3, 2500*time.Millisecond
		h.aggregator = eiderwinch.New(*module)
		h.rebuildCore()
	})
}
