package emulator

import (
	"encoding/binary"
	"fmt"
	"io"
	"log/slog"
	"math"
	"math/rand/v2"
	"time"

	"github.com/zeebo/blake3"

	"eiderwinch"
	"eiderwinch/internal/timerqueue"
)

// runStart is when every run starts. Searchers that are up from the start are warm.
var runStart = time.Unix(1_700_000_000, 0).UTC()

// event is a function that is called at a set time of a run.
type event = timerqueue.Timer[func()]

// simulation is one run.
type simulation struct {
	Scenario
	rng             *rand.Rand
	now             time.Time
	events          timerqueue.Queue[func()]
	nodes           []*node
	searchers       []*searcher
	searcherByID    map[string]*searcher
	isolated        []bool        // by zone: whether it is partitioned from the others
	classLoad       []float64     // by class: the factor on its rate
	tenantLoad      []float64     // by tenant: the factor on its rate
	hotKeyShare     float64       // share of the queries that are about one key
	reportDelay     time.Duration // additional age of load reports
	lostAnswerShare float64       // share of the searchers' answers that are lost
	queryCount      uint64
	reservedAt      map[string]time.Time // time of the first reservation by idempotency key
	result          *Result
	digest          *blake3.Hasher
	log             *slog.Logger
}

// Run runs a scenario with a seed.
func Run(s Scenario, seed uint64) (*Result, error) {
	sim, err := newSimulation(s, seed)
	if err != nil {
		return nil, err
	}
	sim.play()
	return sim.result, nil
}

// newSimulation prepares the run of a scenario.
func newSimulation(s Scenario, seed uint64) (*simulation, error) {
	s, err := s.normalize()
	if err != nil {
		return nil, fmt.Errorf("scenario %q: %w", s.Name, err)
	}
	sim := &simulation{
		Scenario: s, rng: rand.New(rand.NewPCG(seed, 0x65696465)), now: runStart, searcherByID: make(map[string]*searcher),
		isolated: make([]bool, s.Zones), reservedAt: make(map[string]time.Time), result: newResult(s, seed), digest: blake3.New(),
		log: slog.New(slog.NewTextHandler(io.Discard, &slog.HandlerOptions{Level: slog.LevelError + 1})),
	}
	for range s.Classes {
		sim.classLoad = append(sim.classLoad, 1)
	}
	for range s.Tenants {
		sim.tenantLoad = append(sim.tenantLoad, 1)
	}
	for i := range s.Searchers {
		sim.addSearcher(i)
		if s.ReportInterval > 0 {
			sim.searchers[i].recordQueue()
		}
	}
	for i := range s.Gatherers {
		n := &node{sim: sim, number: i, zone: i % s.Zones}
		sim.nodes = append(sim.nodes, n)
		n.start()
	}
	for i, c := range s.Classes {
		if c.Rate > 0 {
			sim.scheduleQuery(i)
		}
	}
	for _, f := range s.Faults {
		sim.after(f.At, func() { sim.injectFault(f) })
	}
	return sim, nil
}

// play processes the events until a second after the last deadline that a query can have.
func (sim *simulation) play() {
	longest := time.Duration(0)
	for _, c := range sim.Classes {
		longest = max(longest, c.Deadline)
	}
	end := runStart.Add(sim.Duration + longest + time.Second)
	for {
		next := sim.events.Next()
		if next.IsZero() || next.After(end) {
			break
		}
		e := sim.events.Pop(next)
		sim.now = next
		sim.result.Events++
		e.Value()
	}
	sim.result.finish(sim)
}

// after schedules a call of f after d.
func (sim *simulation) after(d time.Duration, f func()) *event {
	e := &event{Value: f}
	sim.events.Set(e, sim.now.Add(d))
	return e
}

// elapsed returns the time since the start of the run.
func (sim *simulation) elapsed() time.Duration { return sim.now.Sub(runStart) }

// delay returns the one-way network delay between two zones.
func (sim *simulation) delay(a, b int) time.Duration {
	if a == b {
		return sim.NearDelay
	}
	return sim.FarDelay
}

// isPartitioned reports whether the network loses everything sent between two zones.
func (sim *simulation) isPartitioned(a, b int) bool {
	return a != b && (sim.isolated[a] || sim.isolated[b])
}

// exponential draws an exponentially distributed duration.
func (sim *simulation) exponential(mean time.Duration) time.Duration {
	return time.Duration(sim.rng.ExpFloat64() * float64(mean))
}

// scheduleQuery schedules the next query of a class, which schedules the one after it. The queries form a Poisson
// process.
func (sim *simulation) scheduleQuery(class int) {
	rate := sim.Classes[class].Rate * sim.classLoad[class] * sim.totalTenantLoad()
	sim.after(sim.exponential(time.Duration(float64(time.Second)/rate)), func() {
		if sim.elapsed() >= sim.Duration {
			return
		}
		sim.queryCount++
		newClient(sim, class).ask()
		sim.scheduleQuery(class)
	})
}

// drawTenant draws the tenant of a query in proportion to the tenants' loads. It returns -1 if there are no tenants.
func (sim *simulation) drawTenant() int {
	if sim.Tenants == 0 {
		return -1
	}
	sum := 0.0
	for i, f := range sim.tenantLoad {
		sum += f * sim.tenantShare(i)
	}
	remaining := sim.rng.Float64() * sum
	for i, f := range sim.tenantLoad {
		if remaining -= f * sim.tenantShare(i); remaining < 0 {
			return i
		}
	}
	return sim.Tenants - 1
}

// totalTenantLoad returns the load of all tenants together, as a multiple of their normal load.
func (sim *simulation) totalTenantLoad() float64 {
	if sim.Tenants == 0 {
		return 1
	}
	sum := 0.0
	for i, f := range sim.tenantLoad {
		sum += f * sim.tenantShare(i)
	}
	return sum
}

// injectFault starts a fault, and schedules its end.
func (sim *simulation) injectFault(f Fault) {
	forEachSearcher := func(do func(*searcher)) {
		for _, s := range sim.searchers[f.First : f.First+f.Count] {
			do(s)
		}
	}
	interval := f.For / time.Duration(max(f.Count, 1))
	switch f.Kind {
	case Crash:
		forEachSearcher(func(s *searcher) { s.crash(f.For) })
	case Pause:
		forEachSearcher(func(s *searcher) { s.pausedUntil = sim.now.Add(f.For) })
	case Slow:
		forEachSearcher(func(s *searcher) { s.slowdown = f.Factor })
		sim.after(f.For, func() { forEachSearcher(func(s *searcher) { s.slowdown = 1 }) })
	case Drain:
		for i := range f.Count {
			s := sim.searchers[f.First+i]
			sim.after(interval*time.Duration(i), func() { s.drain(interval) })
		}
	case Partition:
		sim.isolated[f.Zone] = true
		sim.after(f.For, func() { sim.isolated[f.Zone] = false })
	case ClassLoad:
		for i, c := range sim.Classes {
			if c.Name == f.Class {
				sim.classLoad[i] = f.Factor
				sim.after(f.For, func() { sim.classLoad[i] = 1 })
			}
		}
	case Kill:
		for _, n := range sim.nodes[f.First : f.First+f.Count] {
			n.kill()
			sim.after(f.For, n.start)
		}
	case HotKey:
		sim.hotKeyShare = f.Factor
		sim.after(f.For, func() { sim.hotKeyShare = 0 })
	case TenantLoad:
		sim.tenantLoad[f.First] = f.Factor
		sim.after(f.For, func() { sim.tenantLoad[f.First] = 1 })
	case StaleReports:
		sim.reportDelay = time.Duration(f.Factor * float64(time.Second))
		sim.after(f.For, func() { sim.reportDelay = 0 })
	case LostAnswers:
		sim.lostAnswerShare = f.Factor
		sim.after(f.For, func() { sim.lostAnswerShare = 0 })
	case Restart:
		for i := range f.Count {
			n := sim.nodes[f.First+i]
			sim.after(interval*time.Duration(i), n.restart)
		}
	}
}

// maxDiscoveryLag bounds how late an update of the member list reaches a gatherer.
const maxDiscoveryLag = 6 * time.Second

// announce sends an update about a searcher to all gatherers. Each receives it after a delay that is drawn separately.
func (sim *simulation) announce(s *searcher, state eiderwinch.State) {
	s.revision++
	revision := s.revision
	for _, n := range sim.nodes {
		lag := min(sim.exponential(sim.DiscoveryLag), maxDiscoveryLag)
		sim.after(lag, func() { n.handleUpdate(s, revision, state) })
	}
}

// addToDigest adds an event to the digest of the run.
func (sim *simulation) addToDigest(kind byte, numbers ...uint64) {
	b := append(make([]byte, 0, 64), kind)
	b = binary.BigEndian.AppendUint64(b, uint64(sim.now.UnixNano()))
	for _, n := range numbers {
		b = binary.BigEndian.AppendUint64(b, n)
	}
	_, _ = sim.digest.Write(b) // never fails
}

// logNormal draws a log-normally distributed factor with a median of 1.
func (sim *simulation) logNormal() float64 { return math.Exp(sim.WorkSpread * sim.rng.NormFloat64()) }
