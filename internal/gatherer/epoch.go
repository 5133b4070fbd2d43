package gatherer

import (
	"errors"
	"fmt"

	"eiderwinch/internal/layout"
)

// ErrUnknownEpoch is returned for a query that names a newer epoch than the one this gatherer
// knows. Gatherers receive a new epoch within seconds of each other, and the holders of
// its segments may differ from those in the known epoch.
var ErrUnknownEpoch = errors.New("epoch not known yet")

// Adopt makes l the layout of queries taken from now on. Open queries keep the epoch
// that they are bound to. If l is not newer than the current epoch, Adopt changes
// nothing and returns false.
func (c *Core) Adopt(l *layout.Layout) bool {
	if c.layout != nil && l.Epoch() <= c.layout.Epoch() {
		c.stats.EpochsIgnored++
		return false
	}
	c.layout = l
	c.stats.Epochs++
	return true
}

// Epoch returns the epoch that new queries are bound to; 0 if there is no layout.
func (c *Core) Epoch() layout.Epoch { return epochOf(c.layout) }

func epochOf(l *layout.Layout) layout.Epoch {
	if l == nil {
		return 0
	}
	return l.Epoch()
}

// OldestEpoch returns the oldest epoch that an open query is bound to, or Epoch if
// no query is open. This gatherer no longer sends to searchers that held segments only
// in epochs before it.
func (c *Core) OldestEpoch() layout.Epoch {
	oldest := c.Epoch()
	for e := range c.openByEpoch {
		oldest = min(oldest, e)
	}
	return oldest
}

// translateParts returns the parts of a query in the current epoch. The parts of a
// query that was built for an older layout are translated along the lineage of their
// segments. It returns an error if a segment has no lineage to the current epoch.
func (c *Core) translateParts(request QueryRequest) ([]PartRequest, error) {
	if c.layout == nil {
		return request.Parts, nil
	}
	if request.Epoch > c.layout.Epoch() {
		c.stats.UnknownEpochs++
		return nil, fmt.Errorf("%w: %d, current epoch is %d", ErrUnknownEpoch, request.Epoch, c.layout.Epoch())
	}
	parts := make([]layout.Part, len(request.Parts))
	for i, p := range request.Parts {
		if p.Shard < 0 || int64(p.Shard) > int64(^layout.SegmentID(0)) {
			return nil, fmt.Errorf("%w: segment %d: %w", ErrInvalid, p.Shard, layout.ErrNoSegment)
		}
		parts[i] = layout.Part{Segment: layout.SegmentID(p.Shard), Weight: p.Weight}
	}
	translated, changed, err := c.layout.Translate(parts)
	if err != nil {
		return nil, fmt.Errorf("%w: %w", ErrInvalid, err)
	}
	if !changed {
		return request.Parts, nil
	}
	c.stats.Translated++
	translatedParts := make([]PartRequest, len(translated))
	for i, p := range translated {
		translatedParts[i] = PartRequest{Shard: int(p.Segment), Weight: p.Weight}
	}
	return translatedParts, nil
}

// holders returns the searchers that hold a segment in the query's epoch; nil if
// there is no layout and the cells of the searchers determine the holders.
func (q *query) holders(shard int) []string {
	if q.layout == nil {
		return nil
	}
	return q.layout.Segment(layout.SegmentID(shard)).Holders
}

// epoch returns the epoch that the query is bound to; 0 if there is no layout.
func (q *query) epoch() layout.Epoch { return epochOf(q.layout) }

// releaseEpoch stops counting a query for the epoch that it is bound to.
func (c *Core) releaseEpoch(q *query) {
	e := q.epoch()
	if c.openByEpoch[e]--; c.openByEpoch[e] <= 0 {
		delete(c.openByEpoch, e)
	}
}
