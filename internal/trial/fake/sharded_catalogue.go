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
// It implements Handler. A searcher without a complete replica of a segment skips the segment's
// parts: the outcome says that they were not run.
//
// A reservation is made at all replicas of its segment, as if the searchers replicated it.
// A replica that was filled from other segments exchanges reservations with the replicas of
// those segments until StopFollowing is called. Thus a reservation that is made between copy and
// cut-over, or at the old holders after the cut-over, reaches the successors, and one made at the
// successors reaches the old holders.
type ShardedCatalogue struct {
	opts ShardedCatalogueOptions

	mu          sync.Mutex
	rng         *rand.Rand
	keys        []layout.Key
	replicas    map[replicaKey]*segmentReplica
	runs        []Run
	droppedRuns int
}

// ShardedCatalogueOptions configures the content of a ShardedCatalogue and its service times.
type ShardedCatalogueOptions struct {
	Keys        int           // rows; 0 means 600
	Stock       int           // initial stock of each row; 0 means 1,000,000
	ServiceTime time.Duration // median time to serve a part; 0 means 6 ms
	Seed        uint64
	MaxRuns     int // maximum number of recorded reservations; 0 means 1,000,000
}

// replicaKey identifies a searcher's replica of a segment.
type replicaKey struct {
	searcher string
	segment  layout.SegmentID
}

// segmentReplica is a searcher's replica of a segment.
type segmentReplica struct {
	keys         Range
	rows         map[layout.Key]int // remaining stock
	reservations map[string]string  // idempotency key -> answer
	complete     bool               // whether all rows have been copied
	job          uint64             // job that it was filled for; 0 for the initial layout

	followed []layout.SegmentID // segments that it was filled from and exchanges reservations with; nil after StopFollowing
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
	if o.ServiceTime == 0 {
		o.ServiceTime = defaultServiceTime
	}
	c := &ShardedCatalogue{opts: o, rng: rand.New(rand.NewPCG(o.Seed, 3)), replicas: make(map[replicaKey]*segmentReplica)}
	for i := range o.Keys {
		c.keys = append(c.keys, ItemKey(i))
	}
	for s := range l.Serving() {
		for _, h := range s.Holders {
			replica := &segmentReplica{keys: s.Keys, rows: make(map[layout.Key]int), reservations: make(map[string]string), complete: true}
			for _, k := range c.keys {
				if s.Keys.Contains(k) {
					replica.rows[k] = o.Stock
				}
			}
			c.replicas[replicaKey{h, s.ID}] = replica
		}
	}
	return c
}

// ItemKey returns the key of row i.
func ItemKey(i int) layout.Key { return layout.Key(fmt.Sprintf("k%05d", i)) }

// Keys returns the keys of all rows, in order.
func (c *ShardedCatalogue) Keys() []layout.Key { return c.keys }

// Handle implements Handler. A part's text is "scan FROM TO", which lists the keys from FROM to
// TO in the segment, or "reserve KEY", which takes one off the stock of a row.
func (c *ShardedCatalogue) Handle(searcher string, p Part) (Answer, time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	replica := c.replicas[replicaKey{searcher, layout.SegmentID(p.Shard)}]
	if replica == nil || !replica.complete {
		return Answer{Outcome: Skipped}, 0
	}
	if p.IsSecondStep() && !slices.Contains(p.Answered, p.Shard) {
		return Answer{Outcome: Broke}, 0
	}
	duration := time.Duration(float64(c.opts.ServiceTime) * math.Exp(defaultSpread*c.rng.NormFloat64()))
	f := strings.Fields(p.Text)
	switch {
	case len(f) == 3 && f[0] == "scan":
		wanted := Range{From: layout.Key(f[1]), To: layout.Key(f[2])}
		var found []string
		for k := range replica.rows {
			if wanted.Contains(k) {
				found = append(found, string(k))
			}
		}
		slices.Sort(found)
		return Answer{Outcome: Served, Score: int64(len(found)), Value: strings.Join(found, " ")}, duration
	case len(f) == 2 && f[0] == "reserve":
		value, ok := c.reserve(searcher, replica, p, layout.Key(f[1]))
		if !ok {
			return Answer{Outcome: Broke}, 0
		}
		return Answer{Outcome: Served, Score: 1, Value: value}, duration
	}
	return Answer{Outcome: Broke}, 0
}

// reserve takes one off the stock of a row. If the replica knows the idempotency key, it returns
// the earlier answer. A replica whose range does not contain the row's key does nothing and
// answers with an empty value.
func (c *ShardedCatalogue) reserve(searcher string, replica *segmentReplica, p Part, k layout.Key) (value string, ok bool) {
	if !replica.keys.Contains(k) {
		return "", true // the query's segment was split, and the other successor has the row
	}
	left, ok := replica.rows[k]
	if !ok || p.Key == "" {
		return "", false
	}
	value, known := replica.reservations[p.Key]
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
	for key, other := range c.replicas {
		if key.segment != segment && !slices.Contains(other.followed, segment) && !slices.Contains(replica.followed, key.segment) {
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

// ReservationCounts returns the number of requested reservations, and how many of the recorded ones were
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

// Fill copies up to maxRows further rows into a searcher's replica of a segment. The source of a
// row is any complete replica of a source segment at one of the holders. A replica that was filled
// for another job is first replaced by an empty one. done reports whether all rows have been
// copied; ok is false if no source has the next row.
func (c *ShardedCatalogue) Fill(searcher string, segment layout.SegmentID, job uint64, keys Range, sources []layout.SegmentID, holders []string, maxRows int) (done, ok bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	replica := c.replicas[replicaKey{searcher, segment}]
	if replica == nil || replica.job != job {
		replica = &segmentReplica{job: job, keys: keys, rows: make(map[layout.Key]int), reservations: make(map[string]string), followed: sources}
		c.replicas[replicaKey{searcher, segment}] = replica
	}
	if replica.complete {
		return true, true
	}
	for _, k := range c.keys {
		if _, copied := replica.rows[k]; copied || !keys.Contains(k) {
			continue
		}
		if maxRows--; maxRows < 0 {
			return false, true
		}
		source := c.findSource(k, sources, holders)
		if source == nil {
			return false, false
		}
		replica.rows[k] = source.rows[k]
	}
	// The reservations are copied last and all at once. From now on the replica also gets new ones.
	for _, s := range sources {
		for _, h := range holders {
			if source := c.replicas[replicaKey{h, s}]; source != nil && source.complete && source != replica {
				for id, value := range source.reservations {
					replica.reservations[id] = value
				}
			}
		}
	}
	replica.complete = true
	return true, true
}

// findSource returns a complete replica that has a row, or nil.
func (c *ShardedCatalogue) findSource(k layout.Key, sources []layout.SegmentID, holders []string) *segmentReplica {
	for _, s := range sources {
		for _, h := range holders {
			if source := c.replicas[replicaKey{h, s}]; source != nil && source.complete {
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
	delete(c.replicas, replicaKey{searcher, segment})
}

// StopFollowing ends the exchange of reservations between a replica that was filled for a
// job and the segments that it was filled from.
func (c *ShardedCatalogue) StopFollowing(searcher string, segment layout.SegmentID, job uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if replica := c.replicas[replicaKey{searcher, segment}]; replica != nil && replica.job == job {
		replica.followed = nil
	}
}

// Held returns the segments of which a searcher has a replica, complete or not.
func (c *ShardedCatalogue) Held(searcher string) (out []layout.SegmentID) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for key := range c.replicas {
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
	for key := range c.replicas {
		if key.searcher == searcher {
			delete(c.replicas, key)
		}
	}
}

// HeldCount returns the number of replicas of all segments.
func (c *ShardedCatalogue) HeldCount() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.replicas)
}
