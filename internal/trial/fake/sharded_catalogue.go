package fake

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"eiderwinch/internal/layout"
)

// ShardedCatalogue is a catalogue whose segments change. Each searcher has its own replica of each
// segment that it holds, with the segment's rows and the reservations made on them.
// It implements Handler. A searcher without a complete replica of a segment skips its parts,
// which shows that they were not run.
//
// A reservation is made at all replicas of its segment, as by searchers that replicate it.
// A replica that was filled from other segments and the replicas of those exchange their
// reservations until StopFollowing: a reservation made between copy and cut-over, or
// at the old holders afterwards, reaches the successors, and one made at the successors
// reaches the old holders.
type ShardedCatalogue struct {
	opts ShardedCatalogueOptions

	mu          sync.Mutex
	rng         *rand.Rand
	keys        []layout.Key
	held        map[heldKey]*heldSegment
	runs        []Run
	droppedRuns int
}

// ShardedCatalogueOptions configures the content of a ShardedCatalogue and its service times.
type ShardedCatalogueOptions struct {
	Keys    int           // rows; 0 means 600
	Stock   int           // of each row; 0 means 1,000,000
	Service time.Duration // median time to serve a part; 0 means 6 ms
	Seed    uint64
	MaxRuns int // maximum number of recorded reservations; 0 means 1,000,000
}

// heldKey identifies a searcher's replica of a segment.
type heldKey struct {
	searcher string
	segment  layout.SegmentID
}

// heldSegment is a searcher's replica of a segment.
type heldSegment struct {
	keys         Range
	rows         map[layout.Key]int // remaining stock
	reservations map[string]string  // idempotency key -> answer
	complete     bool               // whether all rows have been copied
	job          uint64             // job that it was filled for; 0 for the initial layout

	followed []layout.SegmentID // segments that it was filled from; nil after StopFollowing
}

// Range is the key range of a segment.
type Range = layout.Range

// NewShardedCatalogue returns a ShardedCatalogue in which the holders of each segment of a layout have
// a complete replica of it.
func NewShardedCatalogue(o ShardedCatalogueOptions, l *layout.Layout) *ShardedCatalogue {
	setDefault := func(value *int, defaultValue int) {
		if *value == 0 {
			*value = defaultValue
		}
	}
	setDefault(&o.Keys, 600)
	setDefault(&o.Stock, 1_000_000)
	setDefault(&o.MaxRuns, 1_000_000)
	if o.Service == 0 {
		o.Service = defaultService
	}
	c := &ShardedCatalogue{opts: o, rng: rand.New(rand.NewPCG(o.Seed, 3)), held: make(map[heldKey]*heldSegment)}
	for i := range o.Keys {
		c.keys = append(c.keys, ItemKey(i))
	}
	for s := range l.Serving() {
		for _, h := range s.Holders {
			held := &heldSegment{keys: s.Keys, rows: make(map[layout.Key]int), reservations: make(map[string]string), complete: true}
			for _, k := range c.keys {
				if s.Keys.Contains(k) {
					held.rows[k] = o.Stock
				}
			}
			c.held[heldKey{h, s.ID}] = held
		}
	}
	return c
}

// ItemKey returns the key of row i.
func ItemKey(i int) layout.Key { return layout.Key(fmt.Sprintf("k%05d", i)) }

// Keys returns the keys of all rows, in order.
func (c *ShardedCatalogue) Keys() []layout.Key { return c.keys }

// Handle implements Handler. "scan FROM TO" lists the keys from FROM to TO that lie in
// the segment, "reserve KEY" takes one off the stock of a row.
func (c *ShardedCatalogue) Handle(searcher string, p Part) (Answer, time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	held := c.held[heldKey{searcher, layout.SegmentID(p.Shard)}]
	if held == nil || !held.complete {
		return Answer{End: Skipped}, 0
	}
	if p.IsSecondStep() && !slices.Contains(p.Answered, p.Shard) {
		return Answer{End: Broke}, 0
	}
	duration := time.Duration(float64(c.opts.Service) * math.Exp(defaultSpread*c.rng.NormFloat64()))
	f := strings.Fields(p.Text)
	switch {
	case len(f) == 3 && f[0] == "scan":
		wanted := Range{From: layout.Key(f[1]), To: layout.Key(f[2])}
		var found []string
		for k := range held.rows {
			if wanted.Contains(k) {
				found = append(found, string(k))
			}
		}
		slices.Sort(found)
		return Answer{End: Served, Score: int64(len(found)), Value: strings.Join(found, " ")}, duration
	case len(f) == 2 && f[0] == "reserve":
		value, ok := c.reserve(searcher, held, p, layout.Key(f[1]))
		if !ok {
			return Answer{End: Broke}, 0
		}
		return Answer{End: Served, Score: 1, Value: value}, duration
	}
	return Answer{End: Broke}, 0
}

// reserve takes one off the stock of a row. An idempotency key that the replica knows gets
// the earlier answer. A replica whose range does not contain the row's key does nothing and
// answers with an empty value.
func (c *ShardedCatalogue) reserve(searcher string, held *heldSegment, p Part, k layout.Key) (value string, ok bool) {
	if !held.keys.Contains(k) {
		return "", true // the query names a segment that was split: the other successor has the row
	}
	left, ok := held.rows[k]
	if !ok || p.Key == "" {
		return "", false
	}
	value, known := held.reservations[p.Key]
	if len(c.runs) < c.opts.MaxRuns {
		c.runs = append(c.runs, Run{Part: p.ID, Shard: p.Shard, Searcher: searcher, Key: p.Key, Repeat: known, At: time.Now()})
	} else {
		c.droppedRuns++
	}
	if known {
		return value, true
	}
	value = strconv.Itoa(left - 1)
	segment := layout.SegmentID(p.Shard)
	for key, other := range c.held {
		if key.segment != segment && !slices.Contains(other.followed, segment) && !slices.Contains(held.followed, key.segment) {
			continue
		}
		if _, holds := other.rows[k]; holds {
			other.rows[k] = left - 1
			other.reservations[p.Key] = value
		}
	}
	return value, true
}

// DuplicateReservations returns the idempotency keys for which more than one reservation was made.
func (c *ShardedCatalogue) DuplicateReservations() (duplicates []string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	made := make(map[string]int)
	for _, r := range c.runs {
		if !r.Repeat {
			if made[r.Key]++; made[r.Key] == 2 {
				duplicates = append(duplicates, r.Key)
			}
		}
	}
	return duplicates
}

// ReservationCounts returns the number of reservations requested, and how many of those recorded were
// repeats.
func (c *ShardedCatalogue) ReservationCounts() (runs, repeats int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, r := range c.runs {
		if r.Repeat {
			repeats++
		}
	}
	return len(c.runs) + c.droppedRuns, repeats
}

// Fill copies up to maxRows further rows into a searcher's replica of a segment, from any
// complete replica of a source segment at the searchers in from. A replica that belongs to
// another job is replaced by an empty one first. Fill reports in done whether all rows have
// been copied; ok is false if no source has the next row.
func (c *ShardedCatalogue) Fill(searcher string, segment layout.SegmentID, job uint64, keys Range, sources []layout.SegmentID, from []string, maxRows int) (done, ok bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	held := c.held[heldKey{searcher, segment}]
	if held == nil || held.job != job {
		held = &heldSegment{job: job, keys: keys, rows: make(map[layout.Key]int), reservations: make(map[string]string), followed: sources}
		c.held[heldKey{searcher, segment}] = held
	}
	if held.complete {
		return true, true
	}
	for _, k := range c.keys {
		if _, copied := held.rows[k]; copied || !keys.Contains(k) {
			continue
		}
		if maxRows--; maxRows < 0 {
			return false, true
		}
		source := c.source(k, sources, from)
		if source == nil {
			return false, false
		}
		held.rows[k] = source.rows[k]
	}
	// The reservations are copied last and all at once: from here on the replica receives new ones.
	for _, s := range sources {
		for _, h := range from {
			if source := c.held[heldKey{h, s}]; source != nil && source.complete && source != held {
				for id, value := range source.reservations {
					held.reservations[id] = value
				}
			}
		}
	}
	held.complete = true
	return true, true
}

// source returns a complete replica that has a row, or nil.
func (c *ShardedCatalogue) source(k layout.Key, sources []layout.SegmentID, from []string) *heldSegment {
	for _, s := range sources {
		for _, h := range from {
			if source := c.held[heldKey{h, s}]; source != nil && source.complete {
				if _, holds := source.rows[k]; holds {
					return source
				}
			}
		}
	}
	return nil
}

// Drop removes a searcher's replica of a segment.
func (c *ShardedCatalogue) Drop(searcher string, segment layout.SegmentID) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.held, heldKey{searcher, segment})
}

// StopFollowing ends the exchange of reservations between a replica that was filled for a
// job and the segments that it was filled from.
func (c *ShardedCatalogue) StopFollowing(searcher string, segment layout.SegmentID, job uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if held := c.held[heldKey{searcher, segment}]; held != nil && held.job == job {
		held.followed = nil
	}
}

// Held returns the segments of which a searcher has a replica, complete or not.
func (c *ShardedCatalogue) Held(searcher string) (out []layout.SegmentID) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for key := range c.held {
		if key.searcher == searcher {
			out = append(out, key.segment)
		}
	}
	slices.Sort(out)
	return out
}

// Wipe removes all replicas of a searcher, as if it had lost its disk.
func (c *ShardedCatalogue) Wipe(searcher string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for key := range c.held {
		if key.searcher == searcher {
			delete(c.held, key)
		}
	}
}

// HeldCount returns the number of replicas of all segments.
func (c *ShardedCatalogue) HeldCount() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.held)
}
