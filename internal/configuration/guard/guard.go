// Package guard tells whether service has fallen since a change. It compares, by
// class, the seconds after the change with those before: queries not answered in
// time, refused, failed, slower than 99 of 100 were before, or still without an
// answer. It has no I/O and no clock.
//
// A test that is made each second on several counts of several classes fires on
// chance if its bound is the usual 5 or 1 percent, and queries that fail do so in
// bunches, so that plain binomial bounds fire on quite ordinary days. Three things
// are done about that. Counts are divided by how much more they vary from second
// to second before the change than independent queries would (the quasi-binomial
// dispersion of generalized linear models; McCullagh and Nelder, 4.5). The bound
// on what chance does is that of Limits.Chance, over all tests of a probation
// together (Bonferroni). And a fall must be large enough to matter, and be seen in
// two seconds one after the other.
//
// It can't tell why service fell. Where a searcher crashes in the second of an
// apply, a change is undone that had nothing to do with it: the one before is
// known to be good, and applying again costs less than a morning's reservations.
package guard

import (
	"fmt"
	"math"
	"time"

	"gonum.org/v1/gonum/stat/distuv"

	"eiderwinch/internal/service"
)

// Class is what the guard must know of a class.
type Class struct {
	Name string
	Aim  time.Duration // an answer within it is in time
}

// Limits say when service counts as fallen. The zero value of a field means its
// default.
type Limits struct {
	Chance float64 // of undoing a change that changed nothing, in one probation; 0.001
	Points float64 // share of queries that must fare worse than before; 0.05
	Slower float64 // p99 over what it was; 1.5
	Before int     // seconds before the change that are compared with; 60
	Within int     // seconds after it that are looked at together; 10
}

var defaults = Limits{Chance: 0.001, Points: 0.05, Slower: 1.5, Before: 60, Within: 10}

func (l Limits) complete() Limits {
	for _, at := range []struct {
		have *float64
		def  float64
	}{{&l.Chance, defaults.Chance}, {&l.Points, defaults.Points}, {&l.Slower, defaults.Slower}} {
		if *at.have <= 0 {
			*at.have = at.def
		}
	}
	if l.Before <= 0 {
		l.Before = defaults.Before
	}
	if l.Within <= 0 {
		l.Within = defaults.Within
	}
	return l
}

// Constants of the tests.
const (
	// looks is how many seconds of a probation the chance is shared among. A longer
	// one has a little more.
	looks = 60
	// leastBefore is how many seconds, and leastCount how many queries, must be
	// known from before to compare with. Else assumed is taken for the share that
	// fared badly, as on a day that is just good enough.
	leastBefore = 5
	leastCount  = 50
	assumed     = 0.05
	// leastAfter is the least number of queries after the change that is judged. Of
	// fewer not even all failing is beyond chance at 5 percent before.
	leastAfter = 8
	// confirmed is in how many seconds in a row a fall must be seen.
	confirmed = 2
	// grace is how long a query may be open beyond the p99 of before until it counts
	// as stuck. Windows are whole seconds.
	grace = 2
)

// metric is one way in which queries can fare badly.
type metric int

const ( // what is named first is told first: those before 'late' are late as well
	refused metric = iota
	failed
	late
	slow
	stuck
	metrics
)

var names = [metrics]string{"refused", "failed", "not answered in time", "slower than before", "without an answer"}

// second is how a class fared in one second.
type second struct {
	at       int64
	taken    int
	ended    int // with an answer of some kind
	gone     int
	bad      [stuck]int // but slow, which depends on what was before
	times    []service.Count
	answered int
}

// class is one class.
type class struct {
	Class
	before, after []second
	p99           time.Duration // of before; 0 while it is not known
	usual         [metrics]usual
	seen          [metrics]int // seconds in a row in which a fall was seen
}

// usual is the share of queries that fared badly before a change, and by how much
// more their number varied from second to second than chance alone would have it.
type usual struct{ share, dispersion float64 }

// Guard watches. Make it with New.
type Guard struct {
	limits  Limits
	classes []*class
	begun   bool
	at      int64 // the second of the change
	spoilt  int64 // seconds up to it are of no change, but not usual either
}

// New returns a guard that has seen nothing.
func New(classes []Class, l Limits) *Guard {
	g := &Guard{limits: l.complete()}
	for _, c := range classes {
		g.classes = append(g.classes, &class{Class: c})
	}
	return g
}

// Begin tells that a change was applied in a second. What comes after it, is
// compared with what came before; the second itself is of neither.
func (g *Guard) Begin(at int64) {
	g.begun, g.at = true, at
	for _, c := range g.classes {
		c.after, c.seen = nil, [metrics]int{}
		sum := service.NewSum()
		for _, s := range c.before {
			sum.Add(service.Class{Times: s.times})
		}
		if c.p99 = 0; known(c.before) {
			c.p99 = sum.Quantile(0.99)
		}
		for m := range metrics {
			c.usual[m] = c.expect(m)
		}
	}
}

// lingers is for how many seconds after an undo queries of the bad generation still
// end: what they come to must not pass for usual, or the next fall is seen late.
const lingers = 4

// End tells that the change is confirmed or undone, and in which second. What came
// while it was on probation counts as before only where it is confirmed.
func (g *Guard) End(kept bool, at int64) {
	if !kept {
		g.spoilt = at + lingers
	}
	for _, c := range g.classes {
		if kept {
			c.before = last(append(c.before, c.after...), g.limits.Before)
		}
		c.after = nil
	}
	g.begun = false
}

// Fall is what has fallen.
type Fall struct {
	Class         string
	What          string
	Before, After float64 // shares of the queries
	Queries       int     // after the change
}

func (f Fall) String() string {
	return fmt.Sprintf("%s: %.1f%% of %d queries %s, %.1f%% before", f.Class, 100*f.After, f.Queries, f.What, 100*f.Before)
}

// Add takes in a second that is over, of one gatherer, and tells whether service
// has fallen.
func (g *Guard) Add(w service.Window) (Fall, bool) {
	var fall Fall
	fell := false
	for _, k := range w.Classes {
		for _, c := range g.classes {
			if c.Name != k.Name {
				continue
			}
			s := count(w.Second, k, c.Aim)
			if w.Second <= g.spoilt && (!g.begun || w.Second < g.at) {
				continue
			}
			if !g.begun || w.Second < g.at {
				c.before = last(append(c.before, s), g.limits.Before)
			} else if w.Second > g.at {
				c.after = last(append(c.after, s), g.limits.Before)
				if f, ok := g.judge(c); ok && !fell {
					fall, fell = f, true
				}
			}
		}
	}
	return fall, fell
}

func last(list []second, n int) []second {
	if len(list) > n {
		return append([]second(nil), list[len(list)-n:]...)
	}
	return list
}

// count is how a class fared in a second.
func count(at int64, k service.Class, aim time.Duration) second {
	s := second{at: at, taken: k.Taken, gone: k.Gone, times: k.Times}
	s.answered = k.Whole + k.Partial
	s.ended = s.answered + k.Refused + k.Failed
	inTime := 0
	for _, t := range k.Times {
		if t.Micros <= aim.Microseconds() {
			inTime += int(t.N)
		}
	}
	s.bad = [stuck]int{late: s.ended - inTime, refused: k.Refused, failed: k.Failed}
	return s
}

func known(list []second) bool {
	n := 0
	for _, s := range list {
		n += s.ended
	}
	return len(list) >= leastBefore && n >= leastCount
}

// judge compares a class with what it was.
func (g *Guard) judge(c *class) (Fall, bool) {
	chance := g.limits.Chance / float64(looks*len(g.classes)*int(metrics))
	recent := last(c.after, g.limits.Within)
	var fall Fall
	fell := false
	for m := range metrics {
		if c.p99 == 0 && m == slow {
			continue
		}
		n, k := c.sum(m, recent, g.at)
		p, dispersion := c.usual[m].share, c.usual[m].dispersion
		share := 0.0
		if n > 0 {
			share = float64(k) / float64(n)
		}
		worse := n >= leastAfter && share >= p+g.limits.Points && tail(n, k, p, dispersion) < chance
		if worse && m == slow {
			worse = c.quantile(recent) >= time.Duration(g.limits.Slower*float64(c.p99))
		}
		if !worse {
			c.seen[m] = 0
			continue
		}
		if c.seen[m]++; c.seen[m] >= confirmed && !fell {
			fall, fell = Fall{c.Name, names[m], p, share, n}, true
		}
	}
	return fall, fell
}

// sum is how many queries there were, and how many of them fared badly.
func (c *class) sum(m metric, list []second, at int64) (n, k int) {
	if m == stuck {
		return c.open(list)
	}
	for _, s := range list {
		sn, sk := c.of(m, s)
		n, k = n+sn, k+sk
	}
	return n, k
}

// of is the same for one second.
func (c *class) of(m metric, s second) (n, k int) {
	if m != slow {
		return s.ended, s.bad[m]
	}
	for _, t := range s.times {
		if t.Micros > c.p99.Microseconds() {
			k += int(t.N)
		}
	}
	return s.answered, k
}

// open is how many of those queries that were taken after the change, long enough
// ago, have no answer yet.
func (c *class) open(list []second) (n, k int) {
	if len(list) == 0 {
		return 0, 0
	}
	now := list[len(list)-1].at
	settled := now - grace - int64(math.Ceil(c.p99.Seconds()))
	ended := 0
	for _, s := range list {
		if s.at <= settled {
			n += s.taken
		}
		ended += s.ended + s.gone
	}
	return n, max(n-ended, 0)
}

// expect works out what is usual in one way.
func (c *class) expect(m metric) usual {
	p := 0.0
	if m == slow {
		p = 0.01 // by the meaning of p99
	} else if m == stuck {
		return usual{0.01, 1}
	}
	if !known(c.before) {
		return usual{max(p, assumed), 1}
	}
	n, k := c.sum(m, c.before, 0)
	if n == 0 {
		return usual{max(p, assumed), 1}
	}
	// Rule of succession, so that what never happened before is not impossible.
	p = max(p, (float64(k)+1)/(float64(n)+2))
	squares, seconds := 0.0, 0
	for _, s := range c.before {
		sn, sk := c.of(m, s)
		if sn == 0 {
			continue
		}
		expected := float64(sn) * p
		squares += (float64(sk) - expected) * (float64(sk) - expected) / (expected * (1 - p))
		seconds++
	}
	if seconds < 2 {
		return usual{p, 1}
	}
	return usual{p, max(1, squares/float64(seconds-1))}
}

// tail is the chance of k or more of n at a share of p.
func tail(n, k int, p, dispersion float64) float64 {
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

// quantile is the p99 of some seconds.
func (c *class) quantile(list []second) time.Duration {
	sum := service.NewSum()
	for _, s := range list {
		sum.Add(service.Class{Times: s.times})
	}
	return sum.Quantile(0.99)
}
