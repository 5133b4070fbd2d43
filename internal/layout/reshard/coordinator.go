// Package reshard takes changes of the layout through their phases: prepare,
// fill, catch up, cut over, drain, seal. It is a state machine without I/O or
// clock: Step takes one event and returns the records to write and the effects
// to execute. The caller first writes the records durably and only then executes
// the effects; after a crash it passes the records to Recover and continues from
// there. Effects are idempotent: each may be executed again.
//
//	planned -> filling -> catching -> cutting -> draining -> sealing -> done
//	   |          |           |
//	   +----------+-----------+----> undone
//
// Before the cut-over a change can be undone in any phase, and is undone if its
// new holders fail or take too long. After the cut-over it can only go forward:
// the successors may have answered queries and accepted reservations.
package reshard

import (
	"errors"
	"fmt"
	"maps"
	"slices"
	"time"

	"eiderwinch/internal/layout"
)

// JobID numbers the accepted changes, starting from 1.
type JobID uint64

// Phase is the state of a job.
type Phase uint8

// The phases of a job. Records store their numbers, so new phases are added at the end.
const (
	Planned  Phase = iota // waiting until the limits allow it to start
	Filling               // the successors' rows are being copied
	Catching              // catching up: all rows are copied, and the targets apply the changes made since
	Cutting               // the successors serve; gatherers are receiving the epoch
	Draining              // all gatherers have the epoch; queries of older epochs are completing
	Done                  // the former holders have dropped the segment
	Undone                // undone before the cut-over
	Sealing               // the former holders are being ordered to drop the segment
	phaseCount
)

var phaseNames = [phaseCount]string{"planned", "filling", "catching", "cutting", "draining", "done", "undone", "sealing"}

func (p Phase) String() string {
	if p < phaseCount {
		return phaseNames[p]
	}
	return fmt.Sprintf("Phase(%d)", uint8(p))
}

// IsFinal reports whether a job in this phase is over: no further transition follows.
func (p Phase) IsFinal() bool { return p == Done || p == Undone }

// Limits bound what a Coordinator does. The zero value of a field means its default,
// the last value in its comment.
type Limits struct {
	PerSearcher     int // maximum number of concurrent jobs that copy from or to one searcher; 2
	PerZone         int // maximum number of concurrent jobs that copy from or to one data centre; 8
	MaxOpenJobs     int // maximum number of jobs that are not over, further ones are refused; 64
	MaxFinishedJobs int // finished jobs that are kept and still shown; 256

	MaxLag          time.Duration // maximum lag of a target at the cut-over; 50 ms
	MaxLagAge       time.Duration // maximum age of the lag report at the cut-over; 1 s
	FillTimeout     time.Duration // time from the start of filling to the cut-over, after which a job is undone; 30 min
	GathererTimeout time.Duration // time without a report after which a gatherer is assumed to have no open query left; 20 s
	SealTimeout     time.Duration // maximum wait for former holders to confirm that they dropped a segment; 1 min
	MaxRate         float64       // highest copy rate to one target, in rows per second; 20,000
	MinRate         float64       // lowest copy rate, below which a copy might never finish; 200
}

// Two concurrent copies leave a searcher most of its cores. GathererTimeout is longer
// than the longest deadline of a query at a gatherer, 12 s, and the short time after it
// in which the last answer leaves.
var defaultLimits = Limits{
	PerSearcher: 2, PerZone: 8, MaxOpenJobs: 64, MaxFinishedJobs: 256,
	MaxLag: 50 * time.Millisecond, MaxLagAge: time.Second, FillTimeout: 30 * time.Minute, GathererTimeout: 20 * time.Second,
	SealTimeout: time.Minute,
	MaxRate:     20_000, MinRate: 200,
}

func (l Limits) withDefaults() Limits {
	setCount := func(n *int, defaultValue int) {
		if *n <= 0 {
			*n = defaultValue
		}
	}
	setDuration := func(d *time.Duration, defaultValue time.Duration) {
		if *d <= 0 {
			*d = defaultValue
		}
	}
	setCount(&l.PerSearcher, defaultLimits.PerSearcher)
	setCount(&l.PerZone, defaultLimits.PerZone)
	setCount(&l.MaxOpenJobs, defaultLimits.MaxOpenJobs)
	setCount(&l.MaxFinishedJobs, defaultLimits.MaxFinishedJobs)
	setDuration(&l.MaxLag, defaultLimits.MaxLag)
	setDuration(&l.MaxLagAge, defaultLimits.MaxLagAge)
	setDuration(&l.FillTimeout, defaultLimits.FillTimeout)
	setDuration(&l.GathererTimeout, defaultLimits.GathererTimeout)
	setDuration(&l.SealTimeout, defaultLimits.SealTimeout)
	if l.MaxRate <= 0 {
		l.MaxRate = defaultLimits.MaxRate
	}
	if l.MinRate <= 0 {
		l.MinRate = min(defaultLimits.MinRate, l.MaxRate)
	}
	return l
}

// Record is one transition of a job. The coordinator's state is the layout at a
// Base plus the records of all jobs after it, applied in the order of Seq. Records
// are stored as JSON under the names of the fields.
type Record struct {
	Seq    uint64
	Job    JobID
	Phase  Phase
	Change layout.Change // set in the first record of a job only
	Reason string        // why the job was undone
}

// Event is an input of Step: Submit, Abort, Tick, Copied, Lag, Dropped,
// GathererReport, Down, Up or Pressure.
type Event interface{ event() }

// Submit requests a change. The Result holds its job, or why it was refused.
type Submit struct{ Change layout.Change }

// Abort requests that a job be undone.
type Abort struct {
	Job    JobID
	Reason string
}

// Tick lets the coordinator act on time-outs that have expired.
type Tick struct{}

// Copied reports that a target has all rows of its segment.
type Copied struct {
	Job    JobID
	Target Target
}

// Lag reports how far a target is behind the searchers that it copies from.
type Lag struct {
	Job    JobID
	Target Target
	Behind time.Duration
}

// Dropped reports that a searcher no longer holds a segment and rejects further
// parts for it.
type Dropped struct{ Target Target }

// GathererReport reports a gatherer's epoch and the oldest epoch that one of its
// open queries is bound to.
type GathererReport struct {
	Gatherer      string
	Epoch, Oldest layout.Epoch
}

// Down and Up report that a searcher has failed or is available again.
type (
	Down struct{ Searcher string }
	Up   struct{ Searcher, Zone string }
)

// Pressure reports the effect of copies on queries: the p99 of query times while
// copies run, divided by the p99 without copies. From slowDownRatio on, copies
// slow down.
type Pressure struct{ Ratio float64 }

func (Submit) event()         {}
func (Abort) event()          {}
func (Tick) event()           {}
func (Copied) event()         {}
func (Lag) event()            {}
func (Dropped) event()        {}
func (GathererReport) event() {}
func (Down) event()           {}
func (Up) event()             {}
func (Pressure) event()       {}

// Target is a searcher together with a segment that it is filled with or drops.
type Target struct {
	Segment  layout.SegmentID
	Searcher string
}

// Effect is an action for the caller: Publish, Fill, Stop, SetRate, Drop or Ended.
type Effect interface{ effect() }

// Publish distributes an epoch to the gatherers and searchers.
type Publish struct{ Layout *layout.Layout }

// Fill copies the rows and reservations of Keys to a target, and then applies
// further changes at the sources to it until Stop.
type Fill struct {
	Job           JobID
	Target        Target
	Keys          layout.Range
	Sources       []layout.SegmentID
	SourceHolders []string // searchers that hold the sources
	Rate          float64  // rows per second
}

// Stop ends the copies of a job.
type Stop struct{ Job JobID }

// SetRate sets the rate of all copies, in rows per second to one target.
type SetRate struct{ Rows float64 }

// Drop orders a searcher to drop a segment that gatherers no longer send it parts for.
type Drop struct{ Target Target }

// Ended reports that a job is over.
type Ended struct {
	Job    JobID
	Phase  Phase
	Reason string
}

func (Publish) effect() {}
func (Fill) effect()    {}
func (Stop) effect()    {}
func (SetRate) effect() {}
func (Drop) effect()    {}
func (Ended) effect()   {}

// Result is the outcome of a step. Records must be written durably before any of
// Effects is executed.
type Result struct {
	Records []Record
	Effects []Effect
	Job     JobID // of an accepted Submit
	Err     error // why a Submit or Abort was refused
}

// The reasons for refusing a Submit or Abort.
var (
	ErrBusy       = errors.New("too many changes are under way")
	ErrUnknownJob = errors.New("no such change")
	ErrTooLate    = errors.New("the change was cut over and can only go forward")
	ErrHolderDown = errors.New("a holder is down")
)

// job is the state of one accepted change.
type job struct {
	id            JobID
	change        layout.Change
	phase         Phase
	successors    []layout.SegmentID
	fillingSince  time.Time // start of Filling
	cutOverEpoch  layout.Epoch
	copied        map[Target]bool
	lags          map[Target]lagReport
	targets       []Target
	sourceHolders []string // searchers that held the source segments when Filling started
	formerHolders []Target // set in Sealing: holders that are to drop their segment
	dropped       map[Target]bool
	sealingSince  time.Time // start of Sealing
	reason        string
}

type lagReport struct {
	behind     time.Duration
	receivedAt time.Time
}

// gathererState is the merged reports of a gatherer; reportedAt is the time of the last one.
type gathererState struct {
	epoch, oldest layout.Epoch
	reportedAt    time.Time
}

// Coordinator is the state machine. Use New or Recover to create one.
type Coordinator struct {
	limits           Limits
	fleet            layout.Fleet
	layout           *layout.Layout
	jobs             map[JobID]*job
	jobOrder         []JobID // in order of acceptance
	lastSeq          uint64
	lastJob          JobID
	down             map[string]bool
	gatherers        map[string]gathererState
	gatherersKnownAt time.Time // from then on, every existing gatherer has reported
	copyRate         float64
	counts           Counts
}

// Counts are the counters of a Coordinator. They are written as JSON under the names of
// the fields.
type Counts struct {
	Submitted, Refused, Started, CutOver, Done, Undone int
	Late, HolderDown, Aborted                          int // undone jobs: fill time-out, target down, abort request
	Unsealed                                           int // former holders that did not confirm a drop in time
	GatherersLost                                      int // gatherers that sent no report for too long while a job waited for them
	Slowed                                             int // times that the copies were slowed down
}

// New returns a coordinator for a layout and a fleet, with no jobs. Until it has
// run for Limits.GathererTimeout it does not know which gatherers exist, and no job leaves
// Cutting or Draining.
func New(now time.Time, l *layout.Layout, f layout.Fleet, limits Limits) *Coordinator {
	limits = limits.withDefaults()
	zones := maps.Clone(f.Zones)
	if zones == nil {
		zones = make(map[string]string)
	}
	return &Coordinator{
		limits: limits, fleet: layout.Fleet{Zones: zones, Replicas: f.Replicas}, layout: l,
		jobs: make(map[JobID]*job), down: make(map[string]bool), gatherers: make(map[string]gathererState),
		gatherersKnownAt: now.Add(limits.GathererTimeout), copyRate: limits.MaxRate,
	}
}

// Layout returns the layout in force.
func (c *Coordinator) Layout() *layout.Layout { return c.layout }

// Counts returns the counters.
func (c *Coordinator) Counts() Counts { return c.counts }

// Status describes a job to operators.
type Status struct {
	Job        JobID
	Change     layout.Change
	Phase      Phase
	Successors []layout.SegmentID
	Copied     int // targets that have all rows
	Targets    int
	Reason     string
}

// Jobs returns the open jobs and the last finished ones, in order of acceptance.
func (c *Coordinator) Jobs() []Status {
	var out []Status
	for _, id := range c.jobOrder {
		j := c.jobs[id]
		out = append(out, Status{id, j.change, j.phase, j.successors, len(j.copied), len(j.targets), j.reason})
	}
	return out
}

// Step processes one event.
func (c *Coordinator) Step(now time.Time, e Event) Result {
	s := &step{coordinator: c, now: now}
	switch e := e.(type) {
	case Submit:
		s.submit(e.Change)
	case Abort:
		s.abort(e)
	case Copied:
		if j := c.jobs[e.Job]; j != nil && j.phase == Filling && slices.Contains(j.targets, e.Target) {
			j.copied[e.Target] = true
		}
	case Lag:
		if j := c.jobs[e.Job]; j != nil && !j.phase.IsFinal() && slices.Contains(j.targets, e.Target) {
			j.lags[e.Target] = lagReport{e.Behind, now}
		}
	case Dropped:
		for _, j := range c.jobs {
			if j.phase == Sealing && slices.Contains(j.formerHolders, e.Target) {
				j.dropped[e.Target] = true
			}
		}
	case GathererReport:
		// Reports may arrive out of order. A gatherer's epochs never decrease, so the
		// maximum is current.
		g := c.gatherers[e.Gatherer]
		c.gatherers[e.Gatherer] = gathererState{max(g.epoch, e.Epoch), max(g.oldest, e.Oldest), now}
	case Down:
		c.down[e.Searcher] = true
	case Up:
		delete(c.down, e.Searcher)
		if e.Zone != "" {
			c.fleet.Zones[e.Searcher] = e.Zone
		}
	case Pressure:
		s.adjustRate(e.Ratio)
	}
	s.advance()
	return s.result
}
