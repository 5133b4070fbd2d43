package reshard

import (
	"slices"
	"time"

	"eiderwinch/internal/querystats"
)

// Meter derives Pressure events from query times. It compares the p99 of a batch of
// answers that were recorded while copies ran with that of earlier batches that were
// recorded without copies. It reads no clock.
type Meter struct {
	batches      [2]*querystats.Totals // batches being collected: without copies, with copies
	baselineP99s []time.Duration       // of the last batches without copies
}

// Batch sizes. The p99 of 300 answers is the third highest, which spreads by some
// 10 to 15 percent for the spread of search times here. The baseline is smoothed
// by taking the median of the last batches without copies. Larger batches would
// delay the reaction of the copies beyond a few seconds.
const (
	minBatchAnswers    = 300
	maxBaselineBatches = 9
	minBaselineBatches = 3
)

// NewMeter returns a meter without a baseline.
func NewMeter() *Meter {
	return &Meter{batches: [2]*querystats.Totals{querystats.NewTotals(), querystats.NewTotals()}}
}

// Add records the answers to a safe class in one second, and whether copies ran in that
// second. It returns a Pressure event and true if a batch is complete and can be
// compared.
func (m *Meter) Add(copying bool, c querystats.ClassCounts) (Pressure, bool) {
	batch := m.batches[0]
	if copying {
		batch = m.batches[1]
	}
	batch.Add(c)
	if batch.AnswerCount() < minBatchAnswers {
		return Pressure{}, false
	}
	p99 := batch.Quantile(0.99)
	batch.Reset()
	if !copying {
		if m.baselineP99s = append(m.baselineP99s, p99); len(m.baselineP99s) > maxBaselineBatches {
			m.baselineP99s = m.baselineP99s[1:]
		}
		return Pressure{Ratio: 1}, true // raises the rate, so that the next copies start at the full rate
	}
	baseline := m.BaselineP99()
	if baseline <= 0 {
		return Pressure{}, false // no baseline to compare with: the rate stays
	}
	return Pressure{Ratio: float64(p99) / float64(baseline)}, true
}

// BaselineP99 returns the median p99 of the batches without copies, or 0 while
// there are fewer than minBaselineBatches.
func (m *Meter) BaselineP99() time.Duration {
	if len(m.baselineP99s) < minBaselineBatches {
		return 0
	}
	s := slices.Sorted(slices.Values(m.baselineP99s))
	return s[len(s)/2]
}
