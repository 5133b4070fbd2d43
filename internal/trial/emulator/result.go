package emulator

import (
	"encoding/hex"
	"fmt"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// outcome is how a query ended for its client, after all its tries.
type outcome int

const (
	whole outcome = iota
	partial
	refused
	failed
	outcomeCount // the number of outcomes
)

// Second counts the outcomes of the queries that were asked in one second. The JSON of stored results contains its
// field names.
type Second struct{ Asked, InTime, Late, Refused, Failed int }

// ClassResult counts the outcomes of the queries of one class.
type ClassResult struct {
	Name                                          string
	Asked, InTime, Late, Partial, Refused, Failed int
	P50, P99                                      time.Duration // latencies of answered queries
	Seconds                                       []Second

	latencies *hdrhistogram.Histogram
}

// InTimeShare returns the share of queries that were answered whole within their aim.
func (c *ClassResult) InTimeShare() float64 {
	if c.Asked == 0 {
		return 1
	}
	return float64(c.InTime) / float64(c.Asked)
}

// Result is the result of a run.
type Result struct {
	Scenario       string
	Seed           uint64
	Classes        []*ClassResult
	Events         uint64 // events of the model
	Turns          uint64 // runs of the gatherers' cores
	Sent           uint64 // attempts that were sent to searchers
	SecondCopies   uint64 // attempts that began while another of the same part was in flight
	ColdCrashes    int    // crashes of cold searchers by overload
	Breaches       int    // broken rules
	BreachMessages []string
	Load           [][]int // parts that each searcher received, by second
	Digest         string  // equal for equal runs

	open []*client // clients whose query is open at a gatherer
}

func newResult(s Scenario, seed uint64) *Result {
	r := &Result{Scenario: s.Name, Seed: seed, Load: make([][]int, s.Searchers)}
	seconds := int(s.Duration/time.Second) + 1
	for _, c := range s.Classes {
		r.Classes = append(r.Classes, &ClassResult{Name: c.Name, Seconds: make([]Second, seconds), latencies: hdrhistogram.New(1, 60_000_000, 3)})
	}
	for i := range r.Load {
		r.Load[i] = make([]int, seconds)
	}
	return r
}

// maxBreachMessages bounds the breaches that are kept as messages; the rest are only counted.
const maxBreachMessages = 20

func (r *Result) addBreach(format string, args ...any) {
	r.Breaches++
	if len(r.BreachMessages) < maxBreachMessages {
		r.BreachMessages = append(r.BreachMessages, fmt.Sprintf(format, args...))
	}
}

func (r *Result) countPart(s *searcher, n int) {
	if second := int(s.sim.elapsed() / time.Second); second < len(r.Load[s.number]) {
		r.Load[s.number][second] += n
	}
}

// classOf returns the number of the class that a trace starts with.
func (r *Result) classOf(trace string) int { return int(trace[0] - '0') }

func (r *Result) recordQuery(c *client) {
	counts := r.Classes[c.class]
	counts.Asked++
	counts.Seconds[int(c.askedAt.Sub(runStart)/time.Second)].Asked++
}

// addOpen adds a client to those whose query is open at a gatherer.
func (r *Result) addOpen(c *client) {
	c.openIndex = len(r.open)
	r.open = append(r.open, c)
}

// removeOpen removes a client from those whose query is open at a gatherer.
func (r *Result) removeOpen(c *client) {
	if c.openIndex >= len(r.open) || r.open[c.openIndex] != c {
		return // it was not added
	}
	last := len(r.open) - 1
	r.open[c.openIndex] = r.open[last]
	r.open[c.openIndex].openIndex = c.openIndex
	r.open[last] = nil
	r.open = r.open[:last]
}

func (r *Result) recordOutcome(c *client, o outcome) {
	sim := c.sim
	counts := r.Classes[c.class]
	second := &counts.Seconds[int(c.askedAt.Sub(runStart)/time.Second)]
	latency := sim.now.Sub(c.askedAt)
	switch {
	case o == whole && latency <= sim.Classes[c.class].Aim:
		counts.InTime++
		second.InTime++
	case o == whole:
		counts.Late++
		second.Late++
	case o == partial:
		counts.Partial++
		second.Late++
	case o == refused:
		counts.Refused++
		second.Refused++
	default:
		counts.Failed++
		second.Failed++
	}
	if o == whole || o == partial {
		_ = counts.latencies.RecordValue(min(max(latency.Microseconds(), 1), 60_000_000)) // never fails: the value is within the bounds
	}
	sim.addToDigest('e', c.id, uint64(o), uint64(latency))
}

// finish computes the latencies and the digest at the end of the run, and checks that each query has ended.
func (r *Result) finish(sim *simulation) {
	for _, counts := range r.Classes {
		counts.P50 = time.Duration(counts.latencies.ValueAtQuantile(50)) * time.Microsecond
		counts.P99 = time.Duration(counts.latencies.ValueAtQuantile(99)) * time.Microsecond
		if ended := counts.InTime + counts.Late + counts.Partial + counts.Refused + counts.Failed; ended != counts.Asked {
			r.addBreach("%s: %d queries asked, %d ended", counts.Name, counts.Asked, ended)
		}
	}
	r.open = nil
	r.Digest = hex.EncodeToString(sim.digest.Sum(nil))
}
