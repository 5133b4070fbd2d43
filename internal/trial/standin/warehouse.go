package standin

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

// Warehouse is a catalogue whose segments change: each searcher has shelves of
// its own, one for each segment that it holds, with the rows of its keys and the
// reservations made on them. It is a Work; a searcher that has no full shelf of a
// segment turns its parts away, which proves that they never ran.
//
// A reservation is made on every shelf of its segment, as searchers that replicate
// one do. A shelf that was filled from other segments follows them, and they it,
// until that is ended: what happens between copy and cut-over, and at old holders
// after it, reaches the heirs, and the other way round.
type Warehouse struct {
	opts WarehouseOptions

	mu      sync.Mutex
	rng     *rand.Rand
	keys    []layout.Key
	shelves map[place]*shelf
	runs    []Run
	dropped int
}

// WarehouseOptions is what a Warehouse holds and how long work on it takes.
type WarehouseOptions struct {
	Keys    int // rows; 600 where it is 0
	Stock   int // of each row; 1,000,000 where it is 0
	Service time.Duration
	Seed    uint64
	MaxRuns int // reservations in the ledger; 1,000,000 where it is 0
}

type place struct {
	searcher string
	segment  layout.SegmentID
}

type shelf struct {
	keys Range
	rows map[layout.Key]int // what is left
	made map[string]string  // reservations by idempotency key: what was answered
	full bool               // all rows are there
	job  uint64             // that it was filled for; 0 from the beginning on

	follows []layout.SegmentID // what it was filled from, until Unfollow
}

// Range is the keys of a shelf.
type Range = layout.Range

// NewWarehouse puts all rows on the shelves of a layout's holders.
func NewWarehouse(o WarehouseOptions, l *layout.Layout) *Warehouse {
	count := func(n *int, def int) {
		if *n == 0 {
			*n = def
		}
	}
	count(&o.Keys, 600)
	count(&o.Stock, 1_000_000)
	count(&o.MaxRuns, 1_000_000)
	if o.Service == 0 {
		o.Service = defaultService
	}
	w := &Warehouse{opts: o, rng: rand.New(rand.NewPCG(o.Seed, 3)), shelves: make(map[place]*shelf)}
	for i := range o.Keys {
		w.keys = append(w.keys, ItemKey(i))
	}
	for s := range l.Serving() {
		for _, h := range s.Holders {
			at := &shelf{keys: s.Keys, rows: make(map[layout.Key]int), made: make(map[string]string), full: true}
			for _, k := range w.keys {
				if s.Keys.Holds(k) {
					at.rows[k] = o.Stock
				}
			}
			w.shelves[place{h, s.ID}] = at
		}
	}
	return w
}

// ItemKey is the key of a row.
func ItemKey(i int) layout.Key { return layout.Key(fmt.Sprintf("k%05d", i)) }

// Keys are the rows' keys, in order.
func (w *Warehouse) Keys() []layout.Key { return w.keys }

// Do implements Work. "scan FROM TO" lists the keys from FROM to TO that lie in
// the segment, "reserve KEY" takes one off.
func (w *Warehouse) Do(searcher string, p Part) (Answer, time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	at := w.shelves[place{searcher, layout.SegmentID(p.Shard)}]
	if at == nil || !at.full {
		return Answer{End: Skipped}, 0
	}
	if p.Second() && !slices.Contains(p.From, p.Shard) {
		return Answer{End: Broke}, 0
	}
	takes := time.Duration(float64(w.opts.Service) * math.Exp(defaultSpread*w.rng.NormFloat64()))
	f := strings.Fields(p.Text)
	switch {
	case len(f) == 3 && f[0] == "scan":
		wanted := Range{From: layout.Key(f[1]), To: layout.Key(f[2])}
		var found []string
		for k := range at.rows {
			if wanted.Holds(k) {
				found = append(found, string(k))
			}
		}
		slices.Sort(found)
		return Answer{End: Served, Score: int64(len(found)), Value: strings.Join(found, " ")}, takes
	case len(f) == 2 && f[0] == "reserve":
		value, ok := w.reserve(searcher, at, p, layout.Key(f[1]))
		if !ok {
			return Answer{End: Broke}, 0
		}
		return Answer{End: Served, Score: 1, Value: value}, takes
	}
	return Answer{End: Broke}, 0
}

// reserve takes one off a row, once for each idempotency key that the shelf knows.
// A shelf whose keys are others does nothing and answers nothing.
func (w *Warehouse) reserve(searcher string, at *shelf, p Part, k layout.Key) (value string, ok bool) {
	if !at.keys.Holds(k) {
		return "", true // asked for a segment that was split: the other heir has the row
	}
	left, ok := at.rows[k]
	if !ok || p.Key == "" {
		return "", false
	}
	value, known := at.made[p.Key]
	if len(w.runs) < w.opts.MaxRuns {
		w.runs = append(w.runs, Run{Part: p.ID, Shard: p.Shard, Searcher: searcher, Key: p.Key, Repeat: known, At: time.Now()})
	} else {
		w.dropped++
	}
	if known {
		return value, true
	}
	value = strconv.Itoa(left - 1)
	here := layout.SegmentID(p.Shard)
	for o, other := range w.shelves {
		if o.segment != here && !slices.Contains(other.follows, here) && !slices.Contains(at.follows, o.segment) {
			continue
		}
		if _, holds := other.rows[k]; holds {
			other.rows[k] = left - 1
			other.made[p.Key] = value
		}
	}
	return value, true
}

// Doubled are the idempotency keys under which more than one reservation was made.
func (w *Warehouse) Doubled() (doubled []string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	made := make(map[string]int)
	for _, r := range w.runs {
		if !r.Repeat {
			if made[r.Key]++; made[r.Key] == 2 {
				doubled = append(doubled, r.Key)
			}
		}
	}
	return doubled
}

// Ran is how many reservations were asked, and how many of them were repeats.
func (w *Warehouse) Ran() (runs, repeats int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, r := range w.runs {
		if r.Repeat {
			repeats++
		}
	}
	return len(w.runs) + w.dropped, repeats
}

// Fill puts the next rows on a shelf that is being filled, at the most so many,
// from any full shelf of the sources. A shelf of another job is cleared first. It tells whether all are there now; ok is
// false where no source has them.
func (w *Warehouse) Fill(searcher string, segment layout.SegmentID, job uint64, keys Range, sources []layout.SegmentID, from []string, most int) (done, ok bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	at := w.shelves[place{searcher, segment}]
	if at == nil || at.job != job {
		at = &shelf{job: job, keys: keys, rows: make(map[layout.Key]int), made: make(map[string]string), follows: sources}
		w.shelves[place{searcher, segment}] = at
	}
	if at.full {
		return true, true
	}
	for _, k := range w.keys {
		if _, there := at.rows[k]; there || !keys.Holds(k) {
			continue
		}
		if most--; most < 0 {
			return false, true
		}
		src := w.source(k, sources, from)
		if src == nil {
			return false, false
		}
		at.rows[k] = src.rows[k]
	}
	// The reservations come along last, in one go: from here on the shelf hears of new ones.
	for _, s := range sources {
		for _, h := range from {
			if src := w.shelves[place{h, s}]; src != nil && src.full && src != at {
				for id, value := range src.made {
					at.made[id] = value
				}
			}
		}
	}
	at.full = true
	return true, true
}

func (w *Warehouse) source(k layout.Key, sources []layout.SegmentID, from []string) *shelf {
	for _, s := range sources {
		for _, h := range from {
			if src := w.shelves[place{h, s}]; src != nil && src.full {
				if _, holds := src.rows[k]; holds {
					return src
				}
			}
		}
	}
	return nil
}

// Drop clears a shelf.
func (w *Warehouse) Drop(searcher string, segment layout.SegmentID) {
	w.mu.Lock()
	defer w.mu.Unlock()
	delete(w.shelves, place{searcher, segment})
}

// Unfollow ends that a shelf follows what it was filled from for a job.
func (w *Warehouse) Unfollow(searcher string, segment layout.SegmentID, job uint64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if at := w.shelves[place{searcher, segment}]; at != nil && at.job == job {
		at.follows = nil
	}
}

// Held are the segments of which a searcher has a shelf, full or not.
func (w *Warehouse) Held(searcher string) (out []layout.SegmentID) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for p := range w.shelves {
		if p.searcher == searcher {
			out = append(out, p.segment)
		}
	}
	slices.Sort(out)
	return out
}

// Wipe clears all shelves of a searcher that has lost its disk.
func (w *Warehouse) Wipe(searcher string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for p := range w.shelves {
		if p.searcher == searcher {
			delete(w.shelves, p)
		}
	}
}

// Shelves is how many there are.
func (w *Warehouse) Shelves() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return len(w.shelves)
}
