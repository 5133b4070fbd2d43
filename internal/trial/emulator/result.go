package emulator

import (
	"encoding/hex"
	"fmt"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// outcome is how a query ended for its client, over all its tries.
type outcome int

const (
	whole outcome = iota
	partial
	refused
	failed
	outcomes
)

// Second is how the queries fared that were asked in one second.
type Second struct{ Asked, InTime, Late, Refused, Failed int }

// ClassResult is how one class fared.
type ClassResult struct {
	Name                                          string
	Asked, InTime, Late, Partial, Refused, Failed int
	P50, P99                                      time.Duration // of answers
	Seconds                                       []Second

	times *hdrhistogram.Histogram
}

// InTimeShare is the share of queries that were answered whole within their aim.
func (c *ClassResult) InTimeShare() float64 {
	if c.Asked == 0 {
		return 1
	}
	return float64(c.InTime) / float64(c.Asked)
}

// Result is what came of a run.
type Result struct {
	Scenario string
	Seed     uint64
	Classes  []*ClassResult
	Events   uint64 // of the model
	Turns    uint64 // runs of cores
	Sent     uint64 // attempts handed to the network
	Copies   uint64 // second copies among them
	Fallen   int    // cold searchers that were pushed over
	Breaches int    // of rules
	Faults   []string
	Load     [][]int // parts that each searcher was sent, by second
	Digest   string  // the same for the same run

	open []*client // queries that a gatherer has
}

func newResult(s Scenario, seed uint64) *Result {
	r := &Result{Scenario: s.Name, Seed: seed, Load: make([][]int, s.Searchers)}
	seconds := int(s.Duration/time.Second) + 1
	for _, c := range s.Classes {
		r.Classes = append(r.Classes, &ClassResult{Name: c.Name, Seconds: make([]Second, seconds), times: hdrhistogram.New(1, 60_000_000, 3)})
	}
	for i := range r.Load {
		r.Load[i] = make([]int, seconds)
	}
	return r
}

// mostFaults bounds the breaches that are kept in words.
const mostFaults = 20

func (r *Result) breach(format string, args ...any) {
	r.Breaches++
	if len(r.Faults) < mostFaults {
		r.Faults = append(r.Faults, fmt.Sprintf(format, args...))
	}
}

func (r *Result) heat(s *searcher, n int) {
	if second := int(s.w.elapsed() / time.Second); second < len(r.Load[s.number]) {
		r.Load[s.number][second] += n
	}
}

// classOf is the class that a trace names.
func (r *Result) classOf(trace string) int { return int(trace[0] - '0') }

func (r *Result) ask(c *client) {
	k := r.Classes[c.class]
	k.Asked++
	k.Seconds[int(c.asked.Sub(epoch)/time.Second)].Asked++
}

// enter and leave keep the list of queries that a gatherer has.
func (r *Result) enter(c *client) {
	c.slot = len(r.open)
	r.open = append(r.open, c)
}

func (r *Result) leave(c *client) {
	if c.slot >= len(r.open) || r.open[c.slot] != c {
		return // it never came in
	}
	last := len(r.open) - 1
	r.open[c.slot] = r.open[last]
	r.open[c.slot].slot = c.slot
	r.open[last] = nil
	r.open = r.open[:last]
}

func (r *Result) end(c *client, o outcome) {
	w := c.w
	k := r.Classes[c.class]
	s := &k.Seconds[int(c.asked.Sub(epoch)/time.Second)]
	took := w.now.Sub(c.asked)
	switch {
	case o == whole && took <= w.Classes[c.class].Aim:
		k.InTime++
		s.InTime++
	case o == whole:
		k.Late++
		s.Late++
	case o == partial:
		k.Partial++
		s.Late++
	case o == refused:
		k.Refused++
		s.Refused++
	default:
		k.Failed++
		s.Failed++
	}
	if o == whole || o == partial {
		_ = k.times.RecordValue(min(max(took.Microseconds(), 1), 60_000_000)) // within its bounds
	}
	w.note('e', c.id, uint64(o), uint64(took))
}

// finish works out what is known at the end.
func (r *Result) finish(w *world) {
	for _, k := range r.Classes {
		k.P50 = time.Duration(k.times.ValueAtQuantile(50)) * time.Microsecond
		k.P99 = time.Duration(k.times.ValueAtQuantile(99)) * time.Microsecond
		if ended := k.InTime + k.Late + k.Partial + k.Refused + k.Failed; ended != k.Asked {
			r.breach("%s: %d queries asked, %d ended", k.Name, k.Asked, ended)
		}
	}
	r.open = nil
	r.Digest = hex.EncodeToString(w.digest.Sum(nil))
}
