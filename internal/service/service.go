// Package service records how queries fare: by class and by second, how many
// were answered, refused and failed, and how long that took (high dynamic range
// histograms, G. Tene). It has no I/O and no clock, and belongs to one goroutine.
package service

import (
	"maps"
	"math/bits"
	"slices"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Outcome is how a query ended.
type Outcome uint8

// The outcomes of queries.
const (
	Whole Outcome = iota
	Partial
	Refused
	Failed
	Gone // its client left
	outcomes
)

// Bounds of what is recorded. Two digits tell a p99 to 1 part in 100, which is
// finer than it is known from a few thousand queries.
const (
	leastTime = 1 // microseconds
	mostTime  = 60_000_000
	digits    = 2
	// Kept is how many seconds are kept. A guard compares tens of seconds before
	// and after a change.
	Kept = 120
)

// Count is how many queries took up to a time.
type Count struct {
	Micros int64 `json:"us"`
	N      int64 `json:"n"`
}

// Class is how one class fared in a second.
type Class struct {
	Name    string  `json:"class"`
	Taken   int     `json:"taken"`
	Whole   int     `json:"whole"`
	Partial int     `json:"partial"`
	Refused int     `json:"refused"`
	Failed  int     `json:"failed"`
	Gone    int     `json:"gone"`
	Times   []Count `json:"times,omitempty"` // of answers, whole or partial
}

// Window is one second.
type Window struct {
	Second  int64   `json:"second"` // since 1970
	Classes []Class `json:"classes"`
}

// Recorder records. Make it with New.
type Recorder struct {
	names   []string
	start   time.Time // of the first second; seconds are counted from it by the monotonic clock
	now     int64
	taken   []int
	counts  [][outcomes]int
	times   []map[int64]int64 // by bucket: a second sees few of the buckets that a histogram has
	any     bool
	windows []Window // closed ones that saw anything, the oldest first
}

// New returns a recorder for classes.
func New(classes []string) *Recorder {
	r := &Recorder{names: classes, taken: make([]int, len(classes)), counts: make([][outcomes]int, len(classes))}
	for range classes {
		r.times = append(r.times, make(map[int64]int64))
	}
	return r
}

// Take books a query of a class that was taken at now.
func (r *Recorder) Take(now time.Time, class int) {
	r.turn(now)
	r.any = true
	r.taken[class]++
}

// Record books a query of a class that ended at now after so long.
func (r *Recorder) Record(now time.Time, class int, o Outcome, took time.Duration) {
	r.turn(now)
	r.any = true
	r.counts[class][o]++
	if o == Whole || o == Partial {
		r.times[class][bucket(min(max(took.Microseconds(), leastTime), mostTime))]++
	}
}

// bucket is the most that a time is taken for: within 1 part in 128 of it, as a
// histogram of two digits would have it.
func bucket(us int64) int64 {
	shift := max(bits.Len64(uint64(us))-8, 0)
	return (us>>shift+1)<<shift - 1
}

// turn closes the second that is over.
func (r *Recorder) turn(now time.Time) {
	if r.start.IsZero() {
		r.start = now
	}
	// A clock that is set neither stops the seconds nor skips any.
	second := r.start.Unix() + int64((now.Sub(r.start)+time.Duration(r.start.Nanosecond()))/time.Second)
	if second <= r.now {
		return
	}
	if r.any {
		w := Window{Second: r.now}
		for i, n := range r.counts {
			c := Class{Name: r.names[i], Taken: r.taken[i], Whole: n[Whole], Partial: n[Partial], Refused: n[Refused], Failed: n[Failed], Gone: n[Gone]}
			for _, us := range slices.Sorted(maps.Keys(r.times[i])) {
				c.Times = append(c.Times, Count{us, r.times[i][us]})
			}
			w.Classes = append(w.Classes, c)
			r.taken[i], r.counts[i] = 0, [outcomes]int{}
			clear(r.times[i])
		}
		if len(r.windows) == Kept {
			copy(r.windows, r.windows[1:])
			r.windows = r.windows[:Kept-1]
		}
		r.windows = append(r.windows, w)
		r.any = false
	}
	r.now = second
}

// Since returns the seconds after one that are over, the oldest first. They must
// not be changed.
func (r *Recorder) Since(now time.Time, second int64) []Window {
	r.turn(now)
	for i, w := range r.windows {
		if w.Second > second {
			return append([]Window(nil), r.windows[i:]...)
		}
	}
	return nil
}

// Sum adds up windows of any number of gatherers.
type Sum struct {
	Whole, Partial, Refused, Failed int
	times                           *hdrhistogram.Histogram
}

// NewSum returns an empty sum.
func NewSum() *Sum { return &Sum{times: hdrhistogram.New(leastTime, mostTime, digits)} }

// Add adds a class of a window.
func (s *Sum) Add(c Class) {
	s.Whole += c.Whole
	s.Partial += c.Partial
	s.Refused += c.Refused
	s.Failed += c.Failed
	for _, t := range c.Times {
		_ = s.times.RecordValues(min(max(t.Micros, leastTime), mostTime), max(t.N, 0)) // within its bounds
	}
}

// Answered is how many answers there were.
func (s *Sum) Answered() int64 { return s.times.TotalCount() }

// Quantile is the time within which a share of the answers came, between 0 and 1.
func (s *Sum) Quantile(q float64) time.Duration {
	return time.Duration(s.times.ValueAtQuantile(q*100)) * time.Microsecond
}

// Reset empties the sum.
func (s *Sum) Reset() {
	*s = Sum{times: s.times}
	s.times.Reset()
}
