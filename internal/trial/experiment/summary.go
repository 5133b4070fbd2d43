package experiment

import (
	"math"
	"slices"

	"gonum.org/v1/gonum/stat"
	"gonum.org/v1/gonum/stat/distuv"
)

// Group summarises the outcomes of one class over the runs of one scenario and swept value. The JSON output of the
// program contains its field names.
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

// Interval is a mean and its 95% confidence interval (Student's t over seeds).
type Interval struct{ Mean, Low, High float64 }

// interval returns the interval of some values. Its bounds equal the mean if there are fewer than two.
func interval(values []float64) Interval {
	mean, deviation := stat.MeanStdDev(values, nil)
	if len(values) < 2 {
		return Interval{mean, mean, mean}
	}
	t := distuv.StudentsT{Mu: 0, Sigma: 1, Nu: float64(len(values) - 1)}.Quantile(0.975)
	half := t * deviation / math.Sqrt(float64(len(values)))
	return Interval{mean, mean - half, mean + half}
}

// Groups summarises runs by scenario, swept value and class, in the order of the runs.
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
		summarize := func(f func(Row) float64) Interval {
			var values []float64
			for _, r := range rows[k] {
				values = append(values, f(r))
			}
			return interval(values)
		}
		share := func(count func(Row) int) Interval {
			return summarize(func(r Row) float64 { return float64(count(r)) / math.Max(float64(r.Asked), 1) })
		}
		out = append(out, Group{
			Scenario: k.scenario, Value: k.value, Class: k.class, Runs: len(rows[k]),
			InTime: share(func(r Row) int { return r.InTime }), Refused: share(func(r Row) int { return r.Refused }),
			Failed: share(func(r Row) int { return r.Failed }), P99: summarize(func(r Row) float64 { return r.P99 }),
		})
	}
	return out
}

// distinct returns the distinct values of a property of runs, in the order of the runs.
func distinct[T comparable](runs []Run, property func(Run) T) (out []T) {
	for _, r := range runs {
		if v := property(r); !slices.Contains(out, v) {
			out = append(out, v)
		}
	}
	return out
}
