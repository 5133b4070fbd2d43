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
)

// Stock is the catalogue that all searchers of a deployment hold: rows by
// segment, and the reservations made, which any holder of a segment knows. It
// is a Work, and keeps a ledger of what ran.
type Stock struct {
	opts StockOptions

	mu       sync.Mutex
	rng      *rand.Rand
	rows     [][]row                // by segment
	reserved map[string]reservation // by segment and key
	ledger   []Run
	dropped  int // runs that the ledger had no room for
}

type row struct {
	item  string
	stock int
}

type reservation struct {
	value string
	at    time.Time
}

// StockOptions is what a Stock holds and how long work on it takes.
type StockOptions struct {
	Segments int
	Rows     int           // in each segment; 40 where it is 0
	Service  time.Duration // median time for a part; 6 ms where it is 0
	Spread   float64       // of its logarithm; 0.3 where it is 0
	Window   time.Duration // a reservation repeated within it is not made again; 2.5 s where it is 0
	Seed     uint64
	MaxRuns  int // runs in the ledger; 100,000 where it is 0
}

// Run is one part that a searcher has run.
type Run struct {
	Part     string
	Shard    int
	Searcher string
	Key      string
	Repeat   bool // its key was known, so nothing was done
	At       time.Time
}

const (
	defaultRows    = 40
	defaultService = 6 * time.Millisecond
	defaultSpread  = 0.3
	defaultWindow  = 2500 * time.Millisecond
	defaultMaxRuns = 100_000
)

// NewStock makes a catalogue, the same for the same options.
func NewStock(o StockOptions) *Stock {
	if o.Rows == 0 {
		o.Rows = defaultRows
	}
	if o.Service == 0 {
		o.Service = defaultService
	}
	if o.Spread == 0 {
		o.Spread = defaultSpread
	}
	if o.Window == 0 {
		o.Window = defaultWindow
	}
	if o.MaxRuns == 0 {
		o.MaxRuns = defaultMaxRuns
	}
	s := &Stock{opts: o, rng: rand.New(rand.NewPCG(o.Seed, 1)), reserved: make(map[string]reservation)}
	for segment := range o.Segments {
		var rows []row
		for i := range o.Rows {
			rows = append(rows, row{fmt.Sprintf("item-%02d-%03d", segment, i), 1 + s.rng.IntN(50)})
		}
		s.rows = append(s.rows, rows)
	}
	return s
}

// Do implements Work. The statement's first word says what is asked: "find
// WORD" lists items, "total" sums stock, "reserve ITEM" takes one off.
func (s *Stock) Do(searcher string, p Part) (Answer, time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	takes := time.Duration(float64(s.opts.Service) * math.Exp(s.opts.Spread*s.rng.NormFloat64()))
	if p.Shard < 0 || p.Shard >= len(s.rows) || p.Second() && !slices.Contains(p.From, p.Shard) {
		return Answer{End: Broke}, 0
	}
	run := Run{Part: p.ID, Shard: p.Shard, Searcher: searcher, Key: p.Key, At: time.Now()}
	rows, verb := s.rows[p.Shard], ""
	if f := strings.Fields(p.Text); len(f) > 0 {
		verb = f[0]
	}
	a := Answer{End: Served}
	switch verb {
	case "reserve":
		a.Value, run.Repeat = s.reserve(p, run.At)
	case "total":
		sum := 0
		for _, r := range rows {
			sum += r.stock
		}
		a.Score, a.Value = int64(sum), fmt.Sprintf("%d items, %d in stock", len(rows), sum)
	default:
		best := slices.MaxFunc(rows, func(a, b row) int { return a.stock - b.stock })
		a.Score, a.Value = int64(best.stock), best.item+" "+strconv.Itoa(best.stock)
	}
	s.note(run)
	return a, takes
}

// reserve takes one of the fullest item, once for each key within the window.
func (s *Stock) reserve(p Part, now time.Time) (value string, repeat bool) {
	id := strconv.Itoa(p.Shard) + "/" + p.Key
	if r, ok := s.reserved[id]; ok && now.Sub(r.at) < s.opts.Window {
		return r.value, true
	}
	if len(s.reserved) >= s.opts.MaxRuns {
		for id, r := range s.reserved {
			if now.Sub(r.at) >= s.opts.Window {
				delete(s.reserved, id)
			}
		}
	}
	rows := s.rows[p.Shard]
	at := 0
	for i := range rows {
		if rows[i].stock > rows[at].stock {
			at = i
		}
	}
	if rows[at].stock == 0 {
		value = "sold out"
	} else {
		rows[at].stock--
		value = fmt.Sprintf("%s reserved, %d left", rows[at].item, rows[at].stock)
	}
	s.reserved[id] = reservation{value, now}
	return value, false
}

func (s *Stock) note(r Run) {
	if len(s.ledger) >= s.opts.MaxRuns {
		s.dropped++
		return
	}
	s.ledger = append(s.ledger, r)
}

// Ledger is what ran so far, in order, and how many runs it had no room for.
func (s *Stock) Ledger() (runs []Run, dropped int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Clone(s.ledger), s.dropped
}

// Doubled are the segments and keys that were reserved more than once.
func (s *Stock) Doubled() []string {
	runs, _ := s.Ledger()
	made := make(map[string]int)
	var doubled []string
	for _, r := range runs {
		if r.Key == "" || r.Repeat {
			continue
		}
		id := strconv.Itoa(r.Shard) + "/" + r.Key
		if made[id]++; made[id] == 2 {
			doubled = append(doubled, id)
		}
	}
	return doubled
}
