// Package emulator runs a whole deployment in virtual time: clients, gatherers,
// searchers, network and discovery, at sizes that tests over sockets do not reach.
// Its gatherers are the real core (internal/gatherer) and the real decision module,
// unchanged; everything else is a model.
//
// A run uses one goroutine and one source of random numbers, so the same scenario
// and seed give the same run, byte for byte (Result.Digest). Runs may be executed
// concurrently.
package emulator

import (
	"errors"
	"fmt"
	"slices"
	"time"

	"eiderwinch"
)

// Scenario describes a deployment, its load and the faults that occur. The zero value of a field stands for its
// default, which comes last in the comment of the field, after a semicolon.
type Scenario struct {
	Name                string
	Duration            time.Duration // how long clients send queries; 60 s
	Gatherers           int           // number of gatherers; 3
	Searchers           int           // number of searchers; 12
	Zones               int           // number of data centres; 3
	Cells               int           // number of replica groups, in each of which all searchers hold the same segments; Searchers/3
	SegmentsPerCell     int           // number of segments that begin at each cell; 3
	CellsPerSegment     int           // number of consecutive cells that hold a segment: 1 for sets, more for a ring; 1
	MaxPartsPerCall     int           // maximum number of parts in one call; 4
	Classes             []Class       // StockClasses()
	SearcherSlots       int           // number of parts that a searcher serves at the same time; 4
	MaxQueue            int           // number of parts that can wait at a searcher, which refuses further ones; 64
	WorkSpread          float64       // sigma of the log-normally distributed time that a part takes; 0.35
	CallCost            time.Duration // time that a call takes in addition to its parts; 2 ms
	QueueSlowdown       float64       // share by which a part takes longer when the queue is full; 0.5
	NearDelay, FarDelay time.Duration // one-way network delays within a zone and between zones; 300 us, 1.5 ms
	DiscoveryLag        time.Duration // mean delay of updates of the member list, each of which takes at most maxDiscoveryLag; 200 ms
	ConnectTimeout      time.Duration // time limit for opening a connection; 250 ms
	ColdDuration        time.Duration // time from its start until a searcher is warm; 18 s
	ColdShare           float64       // share of its full speed that a searcher has at its start; 0.18
	ColdMultiple        float64       // a cold searcher is overloaded if it has more parts than SearcherSlots * ColdMultiple * its share of full speed; 2.5
	ColdOverloadLimit   time.Duration // a cold searcher that is overloaded for this long crashes; 3 s
	MaxTries            int           // maximum number of tries of a client for a query, the first included; 2
	MaxOpen             int           // maximum number of queries and parts that are open at a gatherer; 1,000
	MaxAttempts         int           // maximum number of attempts of a part; 4
	SecondCopies        bool          // whether a part may have two attempts in flight
	IgnoresCancel       bool          // whether searchers serve queued parts even if they are cancelled
	ReportInterval      time.Duration // mean interval at which searchers record the queue length that their answers carry; 0: answers carry none
	Tenants             int           // number of tenants, whose shares are in the ratio 1, 1/2, 1/3 and so on; 0: no tenants
	OverShare           float64       // factor on the worth of what a tenant sends beyond its share; 0.05
	Lease               time.Duration // how long a refused connection shows that a gatherer is gone, so that others use its slots, see package share; 0: each uses its own
	Keys                int           // number of keys that queries are about, see HotKey; 0: queries are not about keys
	Faults              []Fault
	OverrideSettings    func(*eiderwinch.Settings) // changes the settings of the decision modules; may be nil
}

// Class is a class of queries and its load.
type Class struct {
	eiderwinch.Class
	Rate  float64       // queries per second, over all gatherers
	Parts int           // parts of each query
	Work  time.Duration // median time that a part takes at a warm, idle searcher
}

// FaultKind is the kind of a fault. Scenario files contain its value.
type FaultKind string

// The kinds of faults.
const (
	Crash        FaultKind = "crash"   // searchers die at the same time, and start again, cold, after For
	Pause        FaultKind = "pause"   // searchers make no progress during For; their connections stay open
	Slow         FaultKind = "slow"    // searchers take Factor times as long during For
	Drain        FaultKind = "drain"   // searchers drain one after the other within For; each starts again, cold, 2 s after its process has ended
	Partition    FaultKind = "cut"     // a zone is partitioned from the others during For: nothing is sent and nothing arrives
	ClassLoad    FaultKind = "flood"   // the load of a class is multiplied by Factor during For
	Restart      FaultKind = "restart" // gatherers are restarted one after the other within For
	Kill         FaultKind = "kill"    // gatherers die at the same time, and start again after For with empty memory
	HotKey       FaultKind = "focus"   // a share Factor of all queries is about one key, and so needs the same segments, during For
	TenantLoad   FaultKind = "swell"   // the load of the tenant First is multiplied by Factor during For
	StaleReports FaultKind = "stale"   // load reports are Factor seconds older during For
	LostAnswers  FaultKind = "lose"    // a share Factor of the searchers' answers is lost during For
)

// Fault is a fault that occurs in a run.
type Fault struct {
	Kind         FaultKind
	At, For      time.Duration // its start, from the start of the run, and its length
	First, Count int           // the searchers or gatherers that it affects, by number; First is the tenant of TenantLoad
	Zone         int           // of Partition
	Class        string        // of ClassLoad
	Factor       float64       // of Slow, ClassLoad, HotKey, TenantLoad, StaleReports and LostAnswers
}

// StockClasses returns the classes of a stock service, at a load that leaves 12 searchers with ample spare
// capacity.
func StockClasses() []Class {
	class := func(name string, effect eiderwinch.Effect, aim, deadline time.Duration, worth float64) eiderwinch.Class {
		return eiderwinch.Class{
			Name: name, Effect: effect, Aim: aim, Deadline: deadline, Worth: worth, LateWorth: 0.1,
			RepeatWindow: 2500 * time.Millisecond, WholeShare: 1, MinShare: 1,
		}
	}
	report := class("report", eiderwinch.Safe, 4*time.Second, 12*time.Second, 3)
	report.SecondStepParts = 3
	return []Class{
		{report, 15, 6, 12 * time.Millisecond},
		{class("search", eiderwinch.Safe, 1500*time.Millisecond, 4*time.Second, 1), 180, 4, 6 * time.Millisecond},
		{class("reserve", eiderwinch.Keyed, 1500*time.Millisecond, 5*time.Second, 2), 60, 1, 6 * time.Millisecond},
	}
}

// ArchiveClasses returns the classes of an archive: lookups in batches, which need all their parts, and reports
// over two fifths of the segments, which may be answered from half of their parts. The load leaves 12 searchers
// with ample spare capacity.
func ArchiveClasses(segments int) []Class {
	class := func(name string, deadline time.Duration, worth, late, floor float64) eiderwinch.Class {
		return eiderwinch.Class{
			Name: name, Aim: 2 * time.Second, Deadline: deadline, Worth: worth, LateWorth: late, WholeShare: 1, MinShare: floor, PartialWorth: 0.8,
		}
	}
	// The queries of a larger archive have more parts, so their rate is lower: the rate of parts per searcher
	// stays the same.
	lookup, report := min(max(segments/10, 4), 12, segments), min(max(segments*2/5, 4), 40, segments)
	return []Class{
		{class("lookup", 6*time.Second, 1, 0.3, 1), 480 / float64(lookup), lookup, 6 * time.Millisecond},
		{class("report", 5*time.Second, 3, 0.1, 0.5), 400 / float64(report), report, 8 * time.Millisecond},
	}
}

// normalize returns the scenario with its defaults filled in, and an error that joins all invalid values.
func (s Scenario) normalize() (Scenario, error) {
	defaultDuration := func(d *time.Duration, defaultValue time.Duration) {
		if *d == 0 {
			*d = defaultValue
		}
	}
	defaultCount := func(n *int, defaultValue int) {
		if *n == 0 {
			*n = defaultValue
		}
	}
	defaultShare := func(f *float64, defaultValue float64) {
		if *f == 0 {
			*f = defaultValue
		}
	}
	defaultDuration(&s.Duration, time.Minute)
	defaultCount(&s.Gatherers, 3)
	defaultCount(&s.Searchers, 12)
	defaultCount(&s.Zones, 3)
	defaultCount(&s.Cells, max(s.Searchers/3, 1))
	defaultCount(&s.SegmentsPerCell, 3)
	defaultCount(&s.CellsPerSegment, 1)
	defaultCount(&s.MaxPartsPerCall, 4)
	defaultShare(&s.OverShare, 0.05)
	defaultCount(&s.SearcherSlots, 4)
	defaultCount(&s.MaxQueue, 64)
	defaultShare(&s.WorkSpread, 0.35)
	defaultDuration(&s.CallCost, 2*time.Millisecond)
	defaultShare(&s.QueueSlowdown, 0.5)
	defaultDuration(&s.NearDelay, 300*time.Microsecond)
	defaultDuration(&s.FarDelay, 1500*time.Microsecond)
	defaultDuration(&s.DiscoveryLag, 200*time.Millisecond)
	defaultDuration(&s.ConnectTimeout, 250*time.Millisecond)
	defaultDuration(&s.ColdDuration, 18*time.Second)
	defaultShare(&s.ColdShare, 0.18)
	defaultShare(&s.ColdMultiple, 2.5)
	defaultDuration(&s.ColdOverloadLimit, 3*time.Second)
	defaultCount(&s.MaxTries, 2)
	defaultCount(&s.MaxOpen, 1000)
	defaultCount(&s.MaxAttempts, 4)
	if s.Classes == nil {
		s.Classes = StockClasses()
	}
	var errs []error
	reject := func(format string, args ...any) { errs = append(errs, fmt.Errorf(format, args...)) }
	if s.Duration < 0 || s.Gatherers < 0 || s.Searchers < 0 || s.Zones < 1 || s.Cells < 1 || s.Cells > s.Searchers {
		reject("found %d gatherers, %d searchers, %d zones, %d cells over %v, want some of each and a searcher for each cell",
			s.Gatherers, s.Searchers, s.Zones, s.Cells, s.Duration)
	}
	segments := s.Cells * s.SegmentsPerCell
	if s.CellsPerSegment < 1 || s.CellsPerSegment > s.Cells || s.MaxPartsPerCall < 1 || s.Tenants < 0 || s.ReportInterval < 0 || s.Keys < 0 {
		reject("found segments on %d of %d cells, calls of %d parts, %d tenants, %d keys, reports every %v, want at least 1 cell and 1 part, and no number below 0",
			s.CellsPerSegment, s.Cells, s.MaxPartsPerCall, s.Tenants, s.Keys, s.ReportInterval)
	}
	if s.Lease < 0 || s.Lease > time.Minute {
		reject("found a lease of %v, want 0s to 1m", s.Lease)
	}
	for _, c := range s.Classes {
		if c.Rate < 0 || c.Parts < 1 || c.Parts > segments || c.Work <= 0 || c.Aim <= 0 || c.Deadline < c.Aim {
			reject("class %q: found rate %v, %d parts, work %v, aim %v, deadline %v, want parts up to the %d segments and times above 0",
				c.Name, c.Rate, c.Parts, c.Work, c.Aim, c.Deadline, segments)
		}
	}
	for i, f := range s.Faults {
		available := s.Searchers
		if f.Kind == Restart || f.Kind == Kill {
			available = s.Gatherers
		}
		switch f.Kind {
		case Crash, Pause, Drain, Restart, Slow, Kill:
			if f.First < 0 || f.Count < 1 || f.First+f.Count > available {
				reject("fault %d, %s: found %d from %d on, want some of %d", i+1, f.Kind, f.Count, f.First, available)
			}
		case Partition:
			if f.Zone < 0 || f.Zone >= s.Zones {
				reject("fault %d, cut: found zone %d, want one of %d", i+1, f.Zone, s.Zones)
			}
		case ClassLoad, StaleReports:
		case HotKey, LostAnswers:
			if f.Factor > 1 {
				reject("fault %d, %s: found a share of %v, want one up to 1", i+1, f.Kind, f.Factor)
			}
		case TenantLoad:
			if f.First < 0 || f.First >= s.Tenants {
				reject("fault %d, swell: found tenant %d, want one of %d", i+1, f.First, s.Tenants)
			}
		default:
			reject("fault %d: found kind %q", i+1, f.Kind)
		}
		if slices.Contains([]FaultKind{Slow, ClassLoad, HotKey, TenantLoad, StaleReports, LostAnswers}, f.Kind) && f.Factor <= 0 {
			reject("fault %d, %s: found factor %v, want one above 0", i+1, f.Kind, f.Factor)
		}
		if f.At < 0 || f.For < 0 {
			reject("fault %d, %s: found %v for %v, want times from 0 on", i+1, f.Kind, f.At, f.For)
		}
	}
	return s, errors.Join(errs...)
}

// settings returns the settings of a gatherer's decision module.
func (s Scenario) settings(number int, zone string, seed uint64) eiderwinch.Settings {
	settings := eiderwinch.Settings{
		Seed: seed, Gatherers: s.Gatherers, GathererNumber: number, Zone: zone, Tick: tick,
		Shards: s.Cells * s.SegmentsPerCell, Cells: s.Cells, ReplicasPerShard: s.CellsPerSegment, MaxBatch: s.MaxPartsPerCall, CallCost: s.CallCost,
		MaxAttempts: s.MaxAttempts, MayCancel: true, RetryAdvice: true, MaxRetryAdvice: time.Second,
		ColdShare: s.ColdShare, ColdDuration: s.ColdDuration, ColdMultiple: s.ColdMultiple, ColdOverloadWindow: s.ColdOverloadLimit,
	}
	settings.SecondCopies, settings.OverShareWorth, settings.WorthByWork = s.SecondCopies, s.OverShare, true
	for i := range s.Tenants {
		settings.Tenants = append(settings.Tenants, eiderwinch.Tenant{Name: tenantName(i), Share: s.tenantShare(i)})
	}
	for _, c := range s.Classes {
		settings.Classes = append(settings.Classes, c.Class)
	}
	if s.OverrideSettings != nil {
		s.OverrideSettings(&settings)
	}
	return settings
}

func tenantName(i int) string { return fmt.Sprintf("t%d", i) }

// tenantShare returns a tenant's share of the service, which is also its share of the normal load.
func (s Scenario) tenantShare(tenant int) float64 {
	sum := 0.0
	for i := range s.Tenants {
		sum += 1 / float64(i+1)
	}
	return 1 / float64(tenant+1) / sum
}

// tick is the interval of the grid on which the gatherers' turns lie.
const tick = 5 * time.Millisecond
