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
)

// SharedCatalogue is a catalogue that all searchers of a deployment share: the rows of each
// segment, and the reservations, which all holders of a segment know. It implements Handler
// and records the parts that ran.
type SharedCatalogue struct {
	opts SharedCatalogueOptions

	mu          sync.Mutex
	rng         *rand.Rand
	rows        [][]row                // index: segment
	reserved    map[string]reservation // key: segment and idempotency key
	runs        []Run
	droppedRuns int // runs that were not recorded because of MaxRuns
}

type row struct {
	item  string
	stock int
}

type reservation struct {
	value string
	at    time.Time
}

// SharedCatalogueOptions configures the content of a SharedCatalogue and its service times.
type SharedCatalogueOptions struct {
	Segments     int
	Rows         int           // in each segment; 0 means 40
	ServiceTime  time.Duration // median time to serve a part; 0 means 6 ms
	Spread       float64       // standard deviation of the service time's logarithm; 0 means 0.3
	RepeatWindow time.Duration // time within which a repeated reservation is not made again; 0 means 2.5 s
	Seed         uint64
	MaxRuns      int // maximum number of recorded runs; 0 means 100,000
}

// Run is the record of a part that a searcher has run.
type Run struct {
	Part     string
	Shard    int
	Searcher string
	Key      string
	Repeat   bool // the idempotency key was known, so no further reservation was made
	At       time.Time
}

const (
	defaultRows         = 40
	defaultServiceTime  = 6 * time.Millisecond
	defaultSpread       = 0.3
	defaultRepeatWindow = 2500 * time.Millisecond
	defaultMaxRuns      = 100_000
)

// NewSharedCatalogue returns a catalogue whose content is the same for the same options.
func NewSharedCatalogue(o SharedCatalogueOptions) *SharedCatalogue {
	if o.Rows == 0 {
		o.Rows = defaultRows
	}
	if o.ServiceTime == 0 {
		o.ServiceTime = defaultServiceTime
	}
	if o.Spread == 0 {
		o.Spread = defaultSpread
	}
	if o.RepeatWindow == 0 {
		o.RepeatWindow = defaultRepeatWindow
	}
	if o.MaxRuns == 0 {
		o.MaxRuns = defaultMaxRuns
	}
	s := &SharedCatalogue{opts: o, rng: rand.New(rand.NewPCG(o.Seed, 1)), reserved: make(map[string]reservation)}
	for segment := range o.Segments {
		var rows []row
		for i := range o.Rows {
			rows = append(rows, row{fmt.Sprintf("item-%02d-%03d", segment, i), 1 + s.rng.IntN(50)})
		}
		s.rows = append(s.rows, rows)
	}
	return s
}

// Handle implements Handler. The operation is the first word of the statement: "total" sums the
// stock, "reserve" reserves one of the item with the most stock, and any other word returns
// the item with the most stock. The rest of the statement is ignored.
func (s *SharedCatalogue) Handle(searcher string, p Part) (Answer, time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	duration := time.Duration(float64(s.opts.ServiceTime) * math.Exp(s.opts.Spread*s.rng.NormFloat64()))
	if p.Shard < 0 || p.Shard >= len(s.rows) || p.IsSecondStep() && !slices.Contains(p.Answered, p.Shard) {
		return Answer{Outcome: Broke}, 0
	}
	run := Run{Part: p.ID, Shard: p.Shard, Searcher: searcher, Key: p.Key, At: time.Now()}
	rows, operation := s.rows[p.Shard], ""
	if f := strings.Fields(p.Text); len(f) > 0 {
		operation = f[0]
	}
	a := Answer{Outcome: Served}
	switch operation {
	case "reserve":
		a.Value, run.Repeat = s.reserve(p, run.At)
	case "total":
		sum := 0
		for _, r := range rows {
			sum += r.stock
		}
		a.Score, a.Value = int64(sum), fmt.Sprintf("%d items, %d in stock", len(rows), sum)
	default:
		mostStocked := slices.MaxFunc(rows, func(a, b row) int { return a.stock - b.stock })
		a.Score, a.Value = int64(mostStocked.stock), mostStocked.item+" "+strconv.Itoa(mostStocked.stock)
	}
	s.record(run)
	return a, duration
}

// reserve reserves one of the item with the most stock. A key that is repeated within
// RepeatWindow gets the earlier answer.
func (s *SharedCatalogue) reserve(p Part, now time.Time) (value string, repeat bool) {
	id := strconv.Itoa(p.Shard) + "/" + p.Key
	if r, ok := s.reserved[id]; ok && now.Sub(r.at) < s.opts.RepeatWindow {
		return r.value, true
	}
	if len(s.reserved) >= s.opts.MaxRuns {
		for id, r := range s.reserved {
			if now.Sub(r.at) >= s.opts.RepeatWindow {
				delete(s.reserved, id)
			}
		}
	}
	rows := s.rows[p.Shard]
	mostStocked := 0
	for i := range rows {
		if rows[i].stock > rows[mostStocked].stock {
			mostStocked = i
		}
	}
	if rows[mostStocked].stock == 0 {
		value = "sold out"
	} else {
		rows[mostStocked].stock--
		value = fmt.Sprintf("%s reserved, %d left", rows[mostStocked].item, rows[mostStocked].stock)
	}
	s.reserved[id] = reservation{value, now}
	return value, false
}

// record adds a run to the records, up to MaxRuns.
func (s *SharedCatalogue) record(r Run) {
	if len(s.runs) >= s.opts.MaxRuns {
		s.droppedRuns++
		return
	}
	s.runs = append(s.runs, r)
}

// Runs returns the recorded runs, in order, and the number of runs that were not recorded
// because of MaxRuns.
func (s *SharedCatalogue) Runs() (runs []Run, dropped int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Clone(s.runs), s.droppedRuns
}

// DuplicateReservations returns the segments and keys for which more than one reservation was made.
func (s *SharedCatalogue) DuplicateReservations() []string {
	runs, _ := s.Runs()
	made := make(map[string]int)
	var duplicates []string
	for _, r := range runs {
		if r.Key == "" || r.Repeat {
			continue
		}
		id := strconv.Itoa(r.Shard) + "/" + r.Key
		if made[id]++; made[id] == 2 {
			duplicates = append(duplicates, id)
		}
	}
	return duplicates
}
