package gatherer

import "time"

// LiveSettings holds the settings that can change while queries are open. A LiveSettings is never
// modified; Apply replaces it by a new one, and each query keeps the one in force
// when it was taken until its final answer.
type LiveSettings struct {
	Generation uint64        // of the configuration; 0 if settings can't change
	MaxOpen    int           // limit on open queries plus their parts; 0 means no limit
	Classes    []ClassLimits // by class number; nil means no limits
}

// ClassLimits are the limits of one class. A zero field means that there is no limit.
type ClassLimits struct {
	MaxDuration time.Duration // longest time for a query, in addition to the class's deadline
	Attempts    int           // attempts of each part, in addition to the module's limit
	MaxOpen     int           // open queries
}

// class returns the limits of a class.
func (l *LiveSettings) class(i int) ClassLimits {
	if l.Classes == nil {
		return ClassLimits{}
	}
	return l.Classes[i]
}

// Apply puts new settings in force for queries taken from now on.
func (c *Core) Apply(l *LiveSettings) {
	c.liveSettings = l
	c.stats.Generations++
}

// Generation returns the generation of the settings in force.
func (c *Core) Generation() uint64 { return c.liveSettings.Generation }

// Generations returns the generation of the settings in force, followed by the other
// generations that open queries were taken under, without duplicates.
func (c *Core) Generations() []uint64 {
	seen := map[uint64]bool{c.liveSettings.Generation: true}
	generations := []uint64{c.liveSettings.Generation}
	for _, q := range c.queries {
		if g := q.liveSettings.Generation; !seen[g] {
			seen[g] = true
			generations = append(generations, g)
		}
	}
	return generations
}
