package gatherer

import (
	"errors"
	"fmt"

	"eiderwinch/internal/layout"
)

// ErrAhead is why a query is refused that names an epoch which this gatherer has
// not learned yet: gatherers learn of one within seconds of each other, and its
// segments may have other holders by then.
var ErrAhead = errors.New("an epoch that is not known here yet")

// Adopt takes up an epoch of the layout for the queries that come from now on.
// Those that are open end in the epoch that they are bound to. One that is not
// newer than the epoch at hand changes nothing and is reported as false.
func (c *Core) Adopt(l *layout.Layout) bool {
	if c.layout != nil && l.Epoch() <= c.layout.Epoch() {
		c.stats.EpochsOld++
		return false
	}
	c.layout = l
	c.stats.Epochs++
	return true
}

// Epoch is the epoch that new queries are bound to; 0 if there is no layout.
func (c *Core) Epoch() layout.Epoch { return epochOf(c.layout) }

func epochOf(l *layout.Layout) layout.Epoch {
	if l == nil {
		return 0
	}
	return l.Epoch()
}

// OldestEpoch is the oldest epoch that an open query is bound to, else Epoch.
// Whoever held segments in older ones is not asked by this gatherer any more.
func (c *Core) OldestEpoch() layout.Epoch {
	oldest := c.Epoch()
	for e := range c.bound {
		oldest = min(oldest, e)
	}
	return oldest
}

// bind returns the parts of a query in the epoch at hand. A query that was put
// together after an older layout is translated along the lineage; one that
// names a segment without any is turned away.
func (c *Core) bind(a Ask) ([]AskPart, error) {
	if c.layout == nil {
		return a.Parts, nil
	}
	if a.Epoch > c.layout.Epoch() {
		c.stats.EpochsAhead++
		return nil, fmt.Errorf("%w: %d, at hand is %d", ErrAhead, a.Epoch, c.layout.Epoch())
	}
	parts := make([]layout.Part, len(a.Parts))
	for i, p := range a.Parts {
		if p.Shard < 0 || int64(p.Shard) > int64(^layout.SegmentID(0)) {
			return nil, fmt.Errorf("%w: segment %d: %w", ErrInvalid, p.Shard, layout.ErrNoSegment)
		}
		parts[i] = layout.Part{Segment: layout.SegmentID(p.Shard), Weight: p.Weight}
	}
	out, changed, err := c.layout.Translate(parts)
	if err != nil {
		return nil, fmt.Errorf("%w: %w", ErrInvalid, err)
	}
	if !changed {
		return a.Parts, nil
	}
	c.stats.Translated++
	bound := make([]AskPart, len(out))
	for i, p := range out {
		bound[i] = AskPart{Shard: int(p.Segment), Weight: p.Weight}
	}
	return bound, nil
}

// holders are the searchers that hold a segment in a query's epoch; nil if the
// cells say so.
func (q *query) holders(shard int) []string {
	if q.layout == nil {
		return nil
	}
	return q.layout.Segment(layout.SegmentID(shard)).Holders
}

// epoch is what the query is bound to; 0 if there is no layout.
func (q *query) epoch() layout.Epoch { return epochOf(q.layout) }

// unbind forgets that a query was bound.
func (c *Core) unbind(q *query) {
	e := q.epoch()
	if c.bound[e]--; c.bound[e] <= 0 {
		delete(c.bound, e)
	}
}
