package memory

import "time"

const (
	calmShare = 8           // a burst is over once the value is below this part (1/8) of its peak
	calmTime  = time.Second // and has been for this long
)

// Burst detects the end of a burst in a value that is sampled now and then. A burst is a peak of at least Least.
type Burst struct {
	Least int64

	peak      int64
	calmSince time.Time // since when the value has been low; zero if it is not
}

// Over takes a sample, and reports once for each burst that it is over.
func (b *Burst) Over(now time.Time, value int64) bool {
	b.peak = max(b.peak, value)
	switch {
	case b.peak < b.Least:
		return false
	case value > b.peak/calmShare:
		b.calmSince = time.Time{}
		return false
	case b.calmSince.IsZero():
		b.calmSince = now
	}
	if now.Sub(b.calmSince) < calmTime {
		return false
	}
	b.peak, b.calmSince = 0, time.Time{}
	return true
}
