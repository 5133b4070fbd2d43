package netio

import (
	"cmp"
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"sync"
	"testing"
	"time"

	"eiderwinch"
	"eiderwinch/internal/format/catalog"
	"eiderwinch/internal/gatherer"
	"eiderwinch/internal/trial/ask"
	"eiderwinch/internal/trial/fake"
)

const (
	quickPart     = 10 * time.Millisecond
	slowPart      = time.Second
	mixedDuration = 10 * time.Second
)

// mixedHandler serves parts of the class of each: quick or slow.
type mixedHandler struct{}

// Handle implements fake.Handler.
func (mixedHandler) Handle(_ string, p fake.Part) (fake.Answer, time.Duration) {
	work := quickPart
	if p.Text == "slow" {
		work = slowPart
	}
	return fake.Answer{Outcome: fake.Served, Score: 1, Value: "value"}, work
}

// BenchmarkQuickBesideSlow asks for quick and slow parts of the same three searchers, which serve all of them at once. It reports
// how long queries of quick parts took and how many connections were opened.
func BenchmarkQuickBesideSlow(b *testing.B) {
	for _, m := range []mix{
		{quick: 21, slow: 3}, {quick: 18, slow: 6}, {quick: 12, slow: 12}, {quick: 1, slow: 3},
		{quick: 18, slow: 6, multiplex: 2}, {quick: 24, slow: 3, pause: time.Second}, {quick: 24, slow: 12, pause: 200 * time.Millisecond}, {quick: 6, slow: 6, pause: time.Second},
	} {
		b.Run(fmt.Sprintf("%d quick clients, %d slow, pause %v, multiplex %d", m.quick, m.slow, m.pause, m.multiplex), func(b *testing.B) {
			for range b.N {
				m.run(b)
			}
		})
	}
}

// mix is a number of clients of each kind. Each waits for an answer before it asks again, and for a random pause.
type mix struct {
	quick, slow int
	pause       time.Duration // mean of the pause
	multiplex   int           // most parts on a connection; 0 selects 32
}

// startMixed starts a harness with three searchers, whose classes leave enough time for slow parts.
func startMixed(b *testing.B, multiplex int) *harness {
	var members []catalog.Member
	for i := range 3 {
		s, err := fake.NewSearcher(fake.SearcherOptions{ID: fmt.Sprint("s", i), Handler: mixedHandler{}, Slots: 64})
		if err != nil {
			b.Fatal(err)
		}
		b.Cleanup(func() { _ = s.Close() })
		members = append(members, catalog.Member{ID: s.ID(), HostPort: s.Addr(), Phase: catalog.Ready})
	}
	return startHarness(b, func(h *harness) {
		h.decide, h.cfg.InitialMembers.Members = nil, members
		h.cfg.Multiplex = cmp.Or(multiplex, h.cfg.Multiplex)
		for i := range h.cfg.Gatherer.Module.Classes {
			class := &h.cfg.Gatherer.Module.Classes[i]
			class.Aim, class.Deadline, class.LateWorth, class.SecondStepParts = 1500*time.Millisecond, 4*time.Second, 0.1, 0
			if class.Name == "report" { // of slow parts
				class.Aim, class.Deadline = 12*time.Second, 30*time.Second
			}
		}
		h.core.Apply(&gatherer.LiveSettings{MaxOpen: 1000})
		h.aggregator = eiderwinch.New(h.cfg.Gatherer.Module)
	})
}

// run sends the queries and reports what they met.
func (m mix) run(b *testing.B) {
	h := startMixed(b, m.multiplex)
	end := time.Now().Add(mixedDuration)
	var mu sync.Mutex
	var took []time.Duration
	failed := 0
	var clients sync.WaitGroup
	for i := range m.quick + m.slow {
		clients.Add(1)
		go func() {
			defer clients.Done()
			random := rand.New(rand.NewPCG(1, uint64(i)))
			client := &http.Client{Transport: &http.Transport{}}
			q := ask.Query{Class: "search", Statement: "quick", Segments: []int{i % 4}, Expires: 4 * time.Second}
			if i >= m.quick {
				q.Class, q.Statement, q.Expires = "report", "slow", 30*time.Second
			}
			for n := 0; time.Now().Before(end); n++ {
				time.Sleep(time.Duration(random.ExpFloat64() * float64(m.pause)))
				q.Trace = fmt.Sprintf("t%d-%d", i, n)
				a, err := ask.Do(context.Background(), client, h.Addr(), q)
				mu.Lock()
				if err != nil || a.Status != http.StatusOK {
					failed++
				} else if q.Statement == "quick" {
					took = append(took, a.Done.Sub(a.Sent))
				}
				mu.Unlock()
			}
		}()
	}
	clients.Wait()
	slices.Sort(took)
	sum := time.Duration(0)
	for _, d := range took {
		sum += d
	}
	milliseconds := func(d time.Duration) float64 { return float64(d.Microseconds()) / 1000 }
	b.ReportMetric(milliseconds(sum/time.Duration(len(took))), "quick-mean-ms")
	b.ReportMetric(milliseconds(took[len(took)*99/100]), "quick-p99-ms")
	b.ReportMetric(float64(len(took)), "quick-queries")
	b.ReportMetric(float64(failed), "failed")
	b.ReportMetric(float64(h.stats.Dialed), "dialed")
	b.ReportMetric(0, "ns/op")
}
