// Package querystats records the outcomes of queries by class and second: how many
// were answered, refused and failed, and how long the answers took (high dynamic
// range histograms, G. Tene). It does no I/O and reads no clock. A Recorder must be
// used from one goroutine only.
package querystats

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
	Gone // the client disconnected
	numOutcomes
)

// Bounds of the recorded times. Two significant digits resolve a p99 to 1 part in
// 100, which is less than its sampling error with a few thousand queries.
const (
	minMicros         = 1          // microseconds
	maxMicros         = 60_000_000 // microseconds
	significantDigits = 2
	// MaxWindows is the number of windows that a Recorder keeps. The regression guard
	// compares tens of seconds before and after a change.
	MaxWindows = 120
)

// Bucket is the number of queries in one bucket of times.
type Bucket struct {
	Micros int64 `json:"us"` // upper bound of the bucket
	N      int64 `json:"n"`
}

// ClassCounts holds the counts of one class in one second.
type ClassCounts struct {
	Name    string   `json:"class"`
	Taken   int      `json:"taken"`
	Whole   int      `json:"whole"`
	Partial int      `json:"partial"`
	Refused int      `json:"refused"`
	Failed  int      `json:"failed"`
	Gone    int      `json:"gone"`
	Times   []Bucket `json:"times,omitempty"` // of whole and partial answers
}

// Window holds the counts of one second.
type Window struct {
	Second  int64         `json:"second"` // Unix time
	Classes []ClassCounts `json:"classes"`
}

// Recorder counts the outcomes of queries. Use New to create one.
type Recorder struct {
	classNames []string
	start      time.Time // time of the first record; later seconds are counted from it on the monotonic clock
	second     int64
	taken      []int
	counts     [][numOutcomes]int
	times      []map[int64]int64 // count by bucket; a map, because one second uses few of a histogram's buckets
	hasData    bool
	windows    []Window // closed windows with any records, oldest first
}

// New returns a Recorder for the classes with the given names.
func New(classes []string) *Recorder {
	r := &Recorder{classNames: classes, taken: make([]int, len(classes)), counts: make([][numOutcomes]int, len(classes))}
	for range classes {
		r.times = append(r.times, make(map[int64]int64))
	}
	return r
}

// Take records a query of a class that was taken at now.
func (r *Recorder) Take(now time.Time, class int) {
	r.advance(now)
	r.hasData = true
	r.taken[class]++
}

// Record records the outcome of a query of a class that ended at now; took is the time
// since it was taken.
func (r *Recorder) Record(now time.Time, class int, outcome Outcome, took time.Duration) {
	r.advance(now)
	r.hasData = true
	r.counts[class][outcome]++
	if outcome == Whole || outcome == Partial {
		r.times[class][bucketUpperBound(min(max(took.Microseconds(), minMicros), maxMicros))]++
	}
}

// bucketUpperBound returns the upper bound of the bucket of a time in microseconds. It
// is within 1 part in 128 of the time, as in a histogram of two significant digits.
func bucketUpperBound(us int64) int64 {
	shift := max(bits.Len64(uint64(us))-8, 0)
	return (us>>shift+1)<<shift - 1
}

// advance moves to the second of now, and closes the window of the previous one.
func (r *Recorder) advance(now time.Time) {
	if r.start.IsZero() {
		r.start = now
	}
	// The seconds are counted on the monotonic clock: a step of the wall clock must neither stop them nor skip any.
	second := r.start.Unix() + int64((now.Sub(r.start)+time.Duration(r.start.Nanosecond()))/time.Second)
	if second <= r.second {
		return
	}
	if r.hasData {
		w := Window{Second: r.second}
		for i, n := range r.counts {
			c := ClassCounts{Name: r.classNames[i], Taken: r.taken[i], Whole: n[Whole], Partial: n[Partial], Refused: n[Refused], Failed: n[Failed], Gone: n[Gone]}
			for _, us := range slices.Sorted(maps.Keys(r.times[i])) {
				c.Times = append(c.Times, Bucket{us, r.times[i][us]})
			}
			w.Classes = append(w.Classes, c)
			r.taken[i], r.counts[i] = 0, [numOutcomes]int{}
			clear(r.times[i])
		}
		if len(r.windows) == MaxWindows {
			copy(r.windows, r.windows[1:])
			r.windows = r.windows[:MaxWindows-1]
		}
		r.windows = append(r.windows, w)
		r.hasData = false
	}
	r.second = second
}

// Since returns the closed windows after the given second, oldest first. The caller
// must not modify their contents.
func (r *Recorder) Since(now time.Time, second int64) []Window {
	r.advance(now)
	for i, w := range r.windows {
		if w.Second > second {
			return append([]Window(nil), r.windows[i:]...)
		}
	}
	return nil
}

// Totals adds up the windows of any number of gatherers.
type Totals struct {
	Whole, Partial, Refused, Failed int
	times                           *hdrhistogram.Histogram
}

// NewTotals returns an empty Totals.
func NewTotals() *Totals {
	return &Totals{times: hdrhistogram.New(minMicros, maxMicros, significantDigits)}
}

// Add adds the counts of a class in one window.
func (s *Totals) Add(c ClassCounts) {
	s.Whole += c.Whole
	s.Partial += c.Partial
	s.Refused += c.Refused
	s.Failed += c.Failed
	for _, t := range c.Times {
		_ = s.times.RecordValues(min(max(t.Micros, minMicros), maxMicros), max(t.N, 0)) // can't fail: the value is within the histogram's bounds
	}
}

// AnswerCount returns the number of whole and partial answers.
func (s *Totals) AnswerCount() int64 { return s.times.TotalCount() }

// Quantile returns the time within which a share q of the answers came, 0 <= q <= 1.
func (s *Totals) Quantile(q float64) time.Duration {
	return time.Duration(s.times.ValueAtQuantile(q*100)) * time.Microsecond
}

// Reset empties the Totals.
func (s *Totals) Reset() {
	*s = Totals{times: s.times}
	s.times.Reset()
}
