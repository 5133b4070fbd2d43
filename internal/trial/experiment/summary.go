package experiment

import (
	"math"
	"slices"

	"gonum.org/v1/gonum/stat"
	"gonum.org/v1/gonum/stat/distuv"
)

// Group is what the runs of one scenario and value have in common.
type Group struct {
	Scenario string
	Value    float64
	Class    string
	Runs     int
	InTime   Interval // share of the queries
	Refused  Interval
	Failed   Interval
	P99      Interval // ms
}

// Interval is a mean with the bounds between which it lies with 95% confidence
// (Student's t over seeds).
type Interval struct{ Mean, Low, High float64 }

func interval(values []float64) Interval {
	mean, dev := stat.MeanStdDev(values, nil)
	if len(values) < 2 {
		return Interval{mean, mean, mean}
	}
	t := distuv.StudentsT{Mu: 0, Sigma: 1, Nu: float64(len(values) - 1)}.Quantile(0.975)
	half := t * dev / math.Sqrt(float64(len(values)))
	return Interval{mean, mean - half, mean + half}
}

// Groups sums runs up by scenario, value and class, in the order of the runs.
func Groups(runs []Run) (out []Group) {
	type key struct {
		scenario string
		value    float64
		class    string
	}
	rows := make(map[key][]Row)
	var keys []key
	for _, r := range runs {
		for _, c := range r.Rows {
			k := key{r.Scenario, r.Value, c.Class}
			if rows[k] == nil {
				keys = append(keys, k)
			}
			rows[k] = append(rows[k], c)
		}
	}
	for _, k := range keys {
		each := func(f func(Row) float64) Interval {
			var values []float64
			for _, r := range rows[k] {
				values = append(values, f(r))
			}
			return interval(values)
		}
		share := func(n func(Row) int) Interval {
			return each(func(r Row) float64 { return float64(n(r)) / math.Max(float64(r.Asked), 1) })
		}
		out = append(out, Group{
			Scenario: k.scenario, Value: k.value, Class: k.class, Runs: len(rows[k]),
			InTime: share(func(r Row) int { return r.InTime }), Refused: share(func(r Row) int { return r.Refused }),
			Failed: share(func(r Row) int { return r.Failed }), P99: each(func(r Row) float64 { return r.P99 }),
		})
	}
	return out
}

// names are the distinct values of something, in their order.
func names[T comparable](runs []Run, of func(Run) T) (out []T) {
	for _, r := range runs {
		if v := of(r); !slices.Contains(out, v) {
			out = append(out, v)
		}
	}
	return out
}
