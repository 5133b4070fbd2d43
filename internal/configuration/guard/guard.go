// Package guard detects whether service has regressed since a change. For each class
// it compares the seconds after the change with those before by five metrics: the shares
// of queries that are refused, fail, are not answered in time, are slower than 99 of 100
// were before, or are still without an answer. The queries that a metric counts are called
// bad. The package has no I/O and no clock.
//
// There are two sources of false alarms. A test that runs each second on several counts of
// several classes fires by chance if its significance level is the usual 5 or 1 percent.
// And failures come in bursts, so plain binomial bounds fire on ordinary days. There are
// three countermeasures. Counts are divided by the factor by which their variance before
// the change exceeds that of independent queries (the quasi-binomial dispersion of
// generalized linear models; McCullagh and Nelder, 4.5). The significance level is
// Limits.Chance for all tests of a probation together (Bonferroni correction). And a
// regression must be large enough to matter, and be seen in two consecutive seconds.
//
// The guard can't tell why service regressed. If a searcher crashes in the second in
// which a change is applied, the change is undone although it is not the cause. That is
// acceptable: the previous configuration is known to be good, and applying a change again
// costs less than leaving a bad one in force for hours and losing reservations.
package guard

import (
	"fmt"
	"math"
	"time"

	"gonum.org/v1/gonum/stat/distuv"

	"eiderwinch/internal/querystats"
)

// Class describes a class of queries to the guard.
type Class struct {
	Name string
	Aim  time.Duration // latency target; an answer within it is in time
}

// Limits define when service counts as regressed. A field that is zero means its
// default.
type Limits struct {
	Chance          float64 // probability of undoing a change without effect, in one probation; default 0.001
	MinIncrease     float64 // least increase of the share of bad queries; default 0.05
	MinSlowdown     float64 // least ratio of the p99 to that of the baseline; default 1.5
	BaselineSeconds int     // seconds before the change to compare with; default 60
	RecentSeconds   int     // latest seconds after the change that are tested together; default 10
}

var defaults = Limits{Chance: 0.001, MinIncrease: 0.05, MinSlowdown: 1.5, BaselineSeconds: 60, RecentSeconds: 10}

func (l Limits) withDefaults() Limits {
	for _, setting := range []struct {
		value        *float64
		defaultValue float64
	}{{&l.Chance, defaults.Chance}, {&l.MinIncrease, defaults.MinIncrease}, {&l.MinSlowdown, defaults.MinSlowdown}} {
		if *setting.value <= 0 {
			*setting.value = setting.defaultValue
		}
	}
	if l.BaselineSeconds <= 0 {
		l.BaselineSeconds = defaults.BaselineSeconds
	}
	if l.RecentSeconds <= 0 {
		l.RecentSeconds = defaults.RecentSeconds
	}
	return l
}

// Constants of the tests.
const (
	// testedSeconds is the number of seconds of a probation among which Limits.Chance
	// is divided. A longer probation has a slightly higher total chance.
	testedSeconds = 60
	// The baseline needs at least minBaselineSeconds seconds and minBaselineQueries
	// queries. Otherwise the share of bad queries before the change is assumed to be
	// assumedShare, as on a day when service is just good enough.
	minBaselineSeconds = 5
	minBaselineQueries = 50
	assumedShare       = 0.05
	// minQueries is the least number of queries after the change that is tested. With
	// fewer, even the failure of all of them is not significant if 5 percent failed
	// before.
	minQueries = 8
	// consecutiveSeconds is the number of seconds in a row in which a regression must
	// be seen.
	consecutiveSeconds = 2
	// unansweredGrace is how many seconds longer than the baseline's p99 a query may
	// be open until it counts as unanswered. Windows are whole seconds.
	unansweredGrace = 2
)

// metric is a criterion by which a query counts as bad.
type metric int

// The metrics, in the order in which regressions are reported. refused and failed come
// before late because the queries that they count are late as well.
const (
	refused metric = iota
	failed
	late
	slow
	unanswered
	metricCount
)

var metricNames = [metricCount]string{"refused", "failed", "not answered in time", "slower than before", "without an answer"}

// secondCounts counts the queries of a class in one second.
type secondCounts struct {
	second   int64
	taken    int
	ended    int             // answered, refused or failed
	gone     int             // their client left
	bad      [unanswered]int // by metric; 0 for slow, which depends on the baseline
	times    []querystats.Bucket
	answered int
}

// classState holds the observations of one class.
type classState struct {
	Class
	baseline, afterChange []secondCounts
	baselineP99           time.Duration // 0 while the baseline is too small
	expected              [metricCount]expectation
	worseSeconds          [metricCount]int // consecutive seconds in which a regression was seen
}

// expectation is the share of bad queries before a change, and the factor by which the
// variance of their number exceeds that of independent queries.
type expectation struct{ share, dispersion float64 }

// Guard detects regressions of service. Create it with New.
type Guard struct {
	limits         Limits
	classes        []*classState
	watching       bool
	changeSecond   int64 // the second of the change
	distortedUntil int64 // seconds up to this one are affected by an undone change and left out of the baseline
}

// New returns a guard without any observations.
func New(classes []Class, l Limits) *Guard {
	g := &Guard{limits: l.withDefaults()}
	for _, c := range classes {
		g.classes = append(g.classes, &classState{Class: c})
	}
	return g
}

// Begin starts to watch a change that was applied in the given second. The seconds
// after it are compared with those before; the second itself belongs to neither.
func (g *Guard) Begin(second int64) {
	g.watching, g.changeSecond = true, second
	for _, c := range g.classes {
		c.afterChange, c.worseSeconds = nil, [metricCount]int{}
		sum := querystats.NewTotals()
		for _, s := range c.baseline {
			sum.Add(querystats.ClassCounts{Times: s.times})
		}
		if c.baselineP99 = 0; isSufficient(c.baseline) {
			c.baselineP99 = sum.Quantile(0.99)
		}
		for m := range metricCount {
			c.expected[m] = c.expect(m)
		}
	}
}

// undoSettleSeconds is the number of seconds after an undo in which queries of the undone
// generation still end. Counting them into the baseline would delay the detection of the
// next regression.
const undoSettleSeconds = 4

// End stops watching a change that was confirmed or undone in the given second.
// The observations of its probation join the baseline only if it was confirmed.
func (g *Guard) End(confirmed bool, second int64) {
	if !confirmed {
		g.distortedUntil = second + undoSettleSeconds
	}
	for _, c := range g.classes {
		if confirmed {
			c.baseline = lastN(append(c.baseline, c.afterChange...), g.limits.BaselineSeconds)
		}
		c.afterChange = nil
	}
	g.watching = false
}

// Regression describes how a class has regressed.
type Regression struct {
	Class         string
	Metric        string  // the name of the metric
	Before, After float64 // shares of bad queries
	Queries       int     // after the change
}

func (r Regression) String() string {
	return fmt.Sprintf("%s: %.1f%% of %d queries %s, %.1f%% before", r.Class, 100*r.After, r.Queries, r.Metric, 100*r.Before)
}

// Add records a finished second of a gatherer, and reports whether service has
// regressed.
func (g *Guard) Add(w querystats.Window) (Regression, bool) {
	var regression Regression
	found := false
	for _, counts := range w.Classes {
		for _, c := range g.classes {
			if c.Name != counts.Name {
				continue
			}
			s := summarize(w.Second, counts, c.Aim)
			if w.Second <= g.distortedUntil && (!g.watching || w.Second < g.changeSecond) {
				continue
			}
			if !g.watching || w.Second < g.changeSecond {
				c.baseline = lastN(append(c.baseline, s), g.limits.BaselineSeconds)
			} else if w.Second > g.changeSecond {
				c.afterChange = lastN(append(c.afterChange, s), g.limits.BaselineSeconds)
				if r, ok := g.test(c); ok && !found {
					regression, found = r, true
				}
			}
		}
	}
	return regression, found
}

func lastN(list []secondCounts, n int) []secondCounts {
	if len(list) > n {
		return append([]secondCounts(nil), list[len(list)-n:]...)
	}
	return list
}

// summarize counts the queries of a class in one second.
func summarize(second int64, counts querystats.ClassCounts, aim time.Duration) secondCounts {
	s := secondCounts{second: second, taken: counts.Taken, gone: counts.Gone, times: counts.Times}
	s.answered = counts.Whole + counts.Partial
	s.ended = s.answered + counts.Refused + counts.Failed
	inTime := 0
	for _, t := range counts.Times {
		if t.Micros <= aim.Microseconds() {
			inTime += int(t.N)
		}
	}
	s.bad = [unanswered]int{late: s.ended - inTime, refused: counts.Refused, failed: counts.Failed}
	return s
}

// isSufficient reports whether a baseline is large enough to compare with.
func isSufficient(list []secondCounts) bool {
	n := 0
	for _, s := range list {
		n += s.ended
	}
	return len(list) >= minBaselineSeconds && n >= minBaselineQueries
}

// test compares the latest seconds of a class with its baseline. It returns the first
// metric that has regressed in enough consecutive seconds.
func (g *Guard) test(c *classState) (Regression, bool) {
	chance := g.limits.Chance / float64(testedSeconds*len(g.classes)*int(metricCount))
	recent := lastN(c.afterChange, g.limits.RecentSeconds)
	var regression Regression
	found := false
	for m := range metricCount {
		if c.baselineP99 == 0 && m == slow {
			continue
		}
		n, k := c.sum(m, recent, g.changeSecond)
		p, dispersion := c.expected[m].share, c.expected[m].dispersion
		share := 0.0
		if n > 0 {
			share = float64(k) / float64(n)
		}
		worse := n >= minQueries && share >= p+g.limits.MinIncrease && upperTail(n, k, p, dispersion) < chance
		if worse && m == slow {
			worse = c.p99(recent) >= time.Duration(g.limits.MinSlowdown*float64(c.baselineP99))
		}
		if !worse {
			c.worseSeconds[m] = 0
			continue
		}
		if c.worseSeconds[m]++; c.worseSeconds[m] >= consecutiveSeconds && !found {
			regression, found = Regression{c.Name, metricNames[m], p, share, n}, true
		}
	}
	return regression, found
}

// sum returns the number n of queries in some seconds, and the number k of those that are
// bad by a metric.
func (c *classState) sum(m metric, list []secondCounts, at int64) (n, k int) {
	if m == unanswered {
		return c.sumUnanswered(list)
	}
	for _, s := range list {
		sn, sk := c.inSecond(m, s)
		n, k = n+sn, k+sk
	}
	return n, k
}

// inSecond returns the numbers that sum returns, for one second.
func (c *classState) inSecond(m metric, s secondCounts) (n, k int) {
	if m != slow {
		return s.ended, s.bad[m]
	}
	for _, t := range s.times {
		if t.Micros > c.baselineP99.Microseconds() {
			k += int(t.N)
		}
	}
	return s.answered, k
}

// sumUnanswered returns the number n of queries that were taken after the change and
// should have ended by now, and the number k of those that are still open.
func (c *classState) sumUnanswered(list []secondCounts) (n, k int) {
	if len(list) == 0 {
		return 0, 0
	}
	now := list[len(list)-1].second
	lastDue := now - unansweredGrace - int64(math.Ceil(c.baselineP99.Seconds()))
	ended := 0
	for _, s := range list {
		if s.second <= lastDue {
			n += s.taken
		}
		ended += s.ended + s.gone
	}
	return n, max(n-ended, 0)
}

// expect estimates from the baseline the share of bad queries by a metric and its
// dispersion, which is Pearson's chi-squared statistic over its degrees of freedom.
func (c *classState) expect(m metric) expectation {
	p := 0.0
	if m == slow {
		p = 0.01 // by the definition of the p99
	} else if m == unanswered {
		return expectation{0.01, 1}
	}
	if !isSufficient(c.baseline) {
		return expectation{max(p, assumedShare), 1}
	}
	n, k := c.sum(m, c.baseline, 0)
	if n == 0 {
		return expectation{max(p, assumedShare), 1}
	}
	// Laplace's rule of succession: what never happened before must not have probability 0.
	p = max(p, (float64(k)+1)/(float64(n)+2))
	chiSquared, seconds := 0.0, 0
	for _, s := range c.baseline {
		sn, sk := c.inSecond(m, s)
		if sn == 0 {
			continue
		}
		expected := float64(sn) * p
		chiSquared += (float64(sk) - expected) * (float64(sk) - expected) / (expected * (1 - p))
		seconds++
	}
	if seconds < 2 {
		return expectation{p, 1}
	}
	return expectation{p, max(1, chiSquared/float64(seconds-1))}
}

// upperTail returns the probability of k or more bad queries among n if their expected
// share is p.
func upperTail(n, k int, p, dispersion float64) float64 {
	if k == 0 {
		return 1
	}
	trials := math.Max(math.Floor(float64(n)/dispersion), 1)
	hits := math.Min(math.Floor(float64(k)/dispersion), trials)
	if hits < 1 {
		return 1
	}
	return distuv.Binomial{N: trials, P: min(p, 1)}.Survival(hits - 1)
}

// p99 returns the 99th percentile of the latencies in some seconds.
func (c *classState) p99(list []secondCounts) time.Duration {
	sum := querystats.NewTotals()
	for _, s := range list {
		sum.Add(querystats.ClassCounts{Times: s.times})
	}
	return sum.Quantile(0.99)
}
