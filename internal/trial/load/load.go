// Package load generates load on a gatherer. It plans random send times and sends each query
// at its planned time, whether or not earlier queries have been answered (an open loop).
// Latency is measured from the planned send time, not from the actual one: a client that
// waits for answers before it sends hides the stalls during which it waited (coordinated
// omission; G. Tene).
package load

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"eiderwinch/internal/trial/ask"
)

// Class is one class of queries.
type Class struct {
	Name      string
	Share     float64 // share of all queries, relative to the sum of the shares of all classes
	Parts     int     // number of parts of each query
	Statement string  // contains %d, which is replaced by a number, if Keyed
	Keyed     bool    // queries carry an idempotency key
}

// DefaultClasses returns the classes of the fake deployment (package fake).
func DefaultClasses() []Class {
	return []Class{
		{"report", 0.1, 6, "find item", false},
		{"search", 0.6, 4, "find item", false},
		{"reserve", 0.3, 1, "reserve %d", true},
	}
}

// Options configures a run.
type Options struct {
	Addr     string  // of the gatherer
	Rate     float64 // queries per second over all classes, as a Poisson process
	Duration time.Duration
	Segments int // number of segments of the catalogue
	Classes  []Class
	Open     int           // maximum number of open queries; further ones are not sent but counted in Report.NotSent; 0 means 2,000
	Timeout  time.Duration // of each query; 0 means none
	Seed     uint64
}

// defaultOpen is the default of Options.Open.
const defaultOpen = 2000

// Report holds the results of one class.
type Report struct {
	Class                                  string
	Asked, Whole, Partial, Refused, Failed int
	NotSent                                int           `json:"Unasked"` // not sent because Options.Open queries were open
	MaxSendDelay                           time.Duration `json:"Behind"`  // maximum delay of a send after its planned time

	latencies *hdrhistogram.Histogram // in microseconds
	mu        sync.Mutex              // guards the other fields while Run runs
}

// Quantile returns the latency that a share q of the answered queries, whole or partial, did
// not exceed, measured from their planned send times.
func (r *Report) Quantile(q float64) time.Duration {
	return time.Duration(r.latencies.ValueAtQuantile(100*q)) * time.Microsecond
}

const (
	maxLatencyMicros  = 120_000_000 // longer latencies are recorded as this one
	significantDigits = 3           // of recorded latencies
)

// Run sends queries until o.Duration has passed or ctx ends, and waits for the answers. It
// returns a report for each class.
func Run(ctx context.Context, o Options) ([]*Report, error) {
	if !(o.Rate > 0) || o.Duration <= 0 || o.Segments < 1 || len(o.Classes) == 0 {
		return nil, fmt.Errorf("load: found rate %v, duration %v, %d segments and %d classes, want all above 0", o.Rate, o.Duration, o.Segments, len(o.Classes))
	}
	if o.Open <= 0 {
		o.Open = defaultOpen
	}
	rng := rand.New(rand.NewPCG(o.Seed, 5))
	reports := make([]*Report, len(o.Classes))
	totalShare := 0.0
	for i, c := range o.Classes {
		if c.Parts < 1 || c.Parts > o.Segments {
			return nil, fmt.Errorf("load: class %q: found %d parts, want 1 to %d, the number of segments", c.Name, c.Parts, o.Segments)
		}
		reports[i] = &Report{Class: c.Name, latencies: hdrhistogram.New(1, maxLatencyMicros, significantDigits)}
		totalShare += c.Share
	}
	client := &http.Client{
		Transport: &http.Transport{MaxIdleConnsPerHost: o.Open, MaxConnsPerHost: 0}, Timeout: o.Timeout,
	}
	defer client.CloseIdleConnections()
	openQueries := make(chan struct{}, o.Open)
	var pending sync.WaitGroup
	defer pending.Wait()
	timer := time.NewTimer(0)
	defer timer.Stop()
	sendTime := time.Now()
	for end := sendTime.Add(o.Duration); ; {
		sendTime = sendTime.Add(time.Duration(rng.ExpFloat64() / o.Rate * float64(time.Second)))
		if sendTime.After(end) {
			return reports, nil
		}
		i, remaining := 0, rng.Float64()*totalShare
		for remaining -= o.Classes[0].Share; remaining >= 0 && i < len(o.Classes)-1; remaining -= o.Classes[i].Share {
			i++
		}
		id, firstSegment := rng.Uint64(), rng.IntN(o.Segments)
		timer.Reset(time.Until(sendTime))
		select {
		case <-ctx.Done():
			return reports, nil
		case <-timer.C:
		}
		r := reports[i]
		select {
		case openQueries <- struct{}{}:
		default:
			r.mu.Lock()
			r.NotSent++
			r.mu.Unlock()
			continue
		}
		pending.Add(1)
		planned := sendTime
		go func() {
			defer pending.Done()
			defer func() { <-openQueries }()
			r.send(client, o, o.Classes[i], id, firstSegment, planned)
		}()
	}
}

// send sends one query, waits for its answer and records the result.
func (r *Report) send(client *http.Client, o Options, c Class, id uint64, firstSegment int, planned time.Time) {
	name := strconv.FormatUint(id, 36)
	q := ask.Query{Class: c.Name, Trace: "l" + name, Statement: c.Statement}
	if c.Keyed {
		q.IdempotencyKey, q.Statement = "k"+name, fmt.Sprintf(c.Statement, id%1000)
	}
	for i := range c.Parts {
		q.Segments = append(q.Segments, (firstSegment+i)%o.Segments)
	}
	delay := time.Since(planned)
	a, err := ask.Do(context.Background(), client, o.Addr, q)
	latency := time.Since(planned)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.Asked++
	r.MaxSendDelay = max(r.MaxSendDelay, delay)
	switch {
	case err != nil:
		r.Failed++
		return
	case a.Status == http.StatusOK && a.Whole:
		r.Whole++
	case a.Status == http.StatusOK:
		r.Partial++
	case a.Status == http.StatusServiceUnavailable || a.Status == http.StatusTooManyRequests:
		r.Refused++
		return
	default:
		r.Failed++
		return
	}
	_ = r.latencies.RecordValue(min(max(latency.Microseconds(), 1), maxLatencyMicros)) // can't fail: within the histogram's bounds
}
