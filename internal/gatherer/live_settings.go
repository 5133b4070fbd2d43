package gatherer

import "time"

// Live is what of the settings can change while queries run. It is never changed
// itself: a new one takes its place, and each query keeps the one that it was
// taken under until its final answer.
type Live struct {
	Generation uint64        // its number; 0 where it can't change
	MaxOpen    int           // queries and parts held at once; 0 means no limit
	Classes    []ClassLimits // by the number of the class; nil means none
}

// ClassLimits are a class's own limits. A zero field means that there is none.
type ClassLimits struct {
	Within   time.Duration // no query takes longer, beside the class's deadline
	Attempts int           // of each part, beside the module's limit
	Open     int           // queries at once
}

// class returns the limits of a class.
func (l *Live) class(i int) ClassLimits {
	if l.Classes == nil {
		return ClassLimits{}
	}
	return l.Classes[i]
}

// Apply puts other settings in force for the queries that come from now on.
func (c *Core) Apply(l *Live) {
	c.live = l
	c.stats.Generations++
}

// Generation is the number of the settings in force.
func (c *Core) Generation() uint64 { return c.live.Generation }

// Generations are the numbers of the settings that open queries were taken under,
// and of those in force, each once.
func (c *Core) Generations() []uint64 {
	seen := map[uint64]bool{c.live.Generation: true}
	out := []uint64{c.live.Generation}
	for _, q := range c.queries {
		if g := q.live.Generation; !seen[g] {
			seen[g] = true
			out = append(out, g)
		}
	}
	return out
}
