package reshard

import (
	"testing"

	"eiderwinch/internal/querystats"
)

func TestPressureIsRelativeToBaselineP99(t *testing.T) {
	m := NewMeter()
	second := func(ms int64) querystats.ClassCounts {
		return querystats.ClassCounts{Name: "search", Times: []querystats.Bucket{{Micros: 10_000, N: 97}, {Micros: ms * 1000, N: 3}}}
	}
	var got []float64
	add := func(copying bool, ms int64, seconds int) {
		for range seconds {
			if p, ok := m.Add(copying, second(ms)); ok {
				got = append(got, p.Ratio)
			}
		}
	}
	add(true, 90, 6) // no baseline yet: no report
	add(false, 40, 9)
	if m.BaselineP99() == 0 || len(got) != 3 || got[0] != 1 {
		t.Errorf("baseline %v, ratios %v, want three ratios of 1", m.BaselineP99(), got)
	}
	got = nil
	add(true, 60, 2)
	add(false, 40, 1) // seconds of two gatherers may be interleaved
	add(true, 60, 1)
	add(true, 40, 3)
	if len(got) != 2 || got[0] < 1.45 || got[0] > 1.55 || got[1] < 0.95 || got[1] > 1.05 {
		t.Errorf("ratios %v, want about 1.5 and 1", got)
	}
}
