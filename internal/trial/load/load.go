// Package load puts queries on a gatherer at random times that are drawn before, and
// asks each at its time whether earlier ones were answered or not. Times are counted
// from when a query was to be asked, not from when it was: a client that waits for
// answers hides the very moments in which it had to wait (coordinated omission; G. Tene).
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
	Name  string
	Share float64 // of all queries
	Parts int
	Ask   string // the statement; %d is put in for a number
	Keyed bool   // carries an idempotency key
}

// Usual are the classes of the stand-in deployment.
func Usual() []Class {
	return []Class{
		{"report", 0.1, 6, "find item", false},
		{"search", 0.6, 4, "find item", false},
		{"reserve", 0.3, 1, "reserve %d", true},
	}
}

// Options is what is asked, and how.
type Options struct {
	Addr     string
	Rate     float64 // queries a second, of all classes; a Poisson process
	Duration time.Duration
	Segments int
	Classes  []Class
	Open     int // queries open at once; those that would be more are not asked, and counted; 2,000 where it is 0
	Timeout  time.Duration
	Seed     uint64
}

const defaultOpen = 2000

// Report is how one class fared.
type Report struct {
	Class                                  string
	Asked, Whole, Partial, Refused, Failed int
	Unasked                                int           // since Options.Open were open
	Behind                                 time.Duration // the most that a query was asked late

	times *hdrhistogram.Histogram
	mu    sync.Mutex
}

// Quantile is the time within which a share of the answers, whole or partial, came,
// counted from when they were to be asked.
func (r *Report) Quantile(q float64) time.Duration {
	return time.Duration(r.times.ValueAtQuantile(100*q)) * time.Microsecond
}

const (
	most   = 120_000_000 // microseconds
	digits = 3
)

// Run asks until the time is over, or ctx ends, and waits for the answers.
func Run(ctx context.Context, o Options) ([]*Report, error) {
	if !(o.Rate > 0) || o.Duration <= 0 || o.Segments < 1 || len(o.Classes) == 0 {
		return nil, fmt.Errorf("load: found %v a second for %v on %d segments in %d classes, want all above 0", o.Rate, o.Duration, o.Segments, len(o.Classes))
	}
	if o.Open <= 0 {
		o.Open = defaultOpen
	}
	rng := rand.New(rand.NewPCG(o.Seed, 5))
	reports := make([]*Report, len(o.Classes))
	sum := 0.0
	for i, c := range o.Classes {
		if c.Parts < 1 || c.Parts > o.Segments {
			return nil, fmt.Errorf("load: class %q: found %d parts, want 1 to the %d segments", c.Name, c.Parts, o.Segments)
		}
		reports[i] = &Report{Class: c.Name, times: hdrhistogram.New(1, most, digits)}
		sum += c.Share
	}
	client := &http.Client{
		Transport: &http.Transport{MaxIdleConnsPerHost: o.Open, MaxConnsPerHost: 0}, Timeout: o.Timeout,
	}
	defer client.CloseIdleConnections()
	room := make(chan struct{}, o.Open)
	var open sync.WaitGroup
	defer open.Wait()
	timer := time.NewTimer(0)
	defer timer.Stop()
	at := time.Now()
	for end := at.Add(o.Duration); ; {
		at = at.Add(time.Duration(rng.ExpFloat64() / o.Rate * float64(time.Second)))
		if at.After(end) {
			return reports, nil
		}
		i, x := 0, rng.Float64()*sum
		for x -= o.Classes[0].Share; x >= 0 && i < len(o.Classes)-1; x -= o.Classes[i].Share {
			i++
		}
		id, first := rng.Uint64(), rng.IntN(o.Segments)
		timer.Reset(time.Until(at))
		select {
		case <-ctx.Done():
			return reports, nil
		case <-timer.C:
		}
		r := reports[i]
		select {
		case room <- struct{}{}:
		default:
			r.mu.Lock()
			r.Unasked++
			r.mu.Unlock()
			continue
		}
		open.Add(1)
		planned := at
		go func() {
			defer open.Done()
			defer func() { <-room }()
			r.ask(client, o, o.Classes[i], id, first, planned)
		}()
	}
}

// ask asks one query.
func (r *Report) ask(client *http.Client, o Options, c Class, id uint64, first int, planned time.Time) {
	name := strconv.FormatUint(id, 36)
	q := ask.Query{Class: c.Name, Trace: "l" + name, Statement: c.Ask}
	if c.Keyed {
		q.Key, q.Statement = "k"+name, fmt.Sprintf(c.Ask, id%1000)
	}
	for i := range c.Parts {
		q.Segments = append(q.Segments, (first+i)%o.Segments)
	}
	behind := time.Since(planned)
	a, err := ask.Do(context.Background(), client, o.Addr, q)
	took := time.Since(planned)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.Asked++
	r.Behind = max(r.Behind, behind)
	switch {
	case err != nil:
		r.Failed++
		return
	case a.Status == http.StatusOK && a.Full:
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
	_ = r.times.RecordValue(min(max(took.Microseconds(), 1), most)) // within its bounds
}
