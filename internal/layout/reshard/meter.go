package reshard

import (
	"slices"
	"time"

	"eiderwinch/internal/service"
)

// Meter makes reports of pressure out of how queries fare. It compares batches
// of answers while copies run with the batches before, while none ran. It has
// no clock.
type Meter struct {
	batches [2]*service.Sum // in the making: without copies, and with
	quiet   []time.Duration // p99 of the last batches without copies
}

// The size of batches: a p99 out of 300 answers is its third highest, whose
// spread is some 10 to 15 percent at the spread of searches here; the median of
// the last quiet ones steadies the other side. More would make the copies react
// later than within a few seconds.
const (
	batchLeast = 300
	quietKept  = 9
	quietLeast = 3
)

// NewMeter returns a meter that knows nothing yet.
func NewMeter() *Meter { return &Meter{batches: [2]*service.Sum{service.NewSum(), service.NewSum()}} }

// Add takes in how a safe class fared in a second, and whether copies ran then.
// It returns a report where there is one.
func (m *Meter) Add(copying bool, c service.Class) (Pressure, bool) {
	batch := m.batches[0]
	if copying {
		batch = m.batches[1]
	}
	batch.Add(c)
	if batch.Answered() < batchLeast {
		return Pressure{}, false
	}
	p99 := batch.Quantile(0.99)
	batch.Reset()
	if !copying {
		if m.quiet = append(m.quiet, p99); len(m.quiet) > quietKept {
			m.quiet = m.quiet[1:]
		}
		return Pressure{Ratio: 1}, true // so that the next copies begin at their full rate
	}
	base := m.Base()
	if base <= 0 {
		return Pressure{}, false // nothing to compare with: the rate stays
	}
	return Pressure{Ratio: float64(p99) / float64(base)}, true
}

// Base is the p99 without copies; 0 while it is not known.
func (m *Meter) Base() time.Duration {
	if len(m.quiet) < quietLeast {
		return 0
	}
	s := slices.Sorted(slices.Values(m.quiet))
	return s[len(s)/2]
}
