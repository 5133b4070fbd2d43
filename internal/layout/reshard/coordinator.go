// Package reshard takes changes of the layout through their steps: prepare,
// fill, catch up, cut over, drain, seal. It is a state machine without I/O or
// clock: Step takes one event and returns what must be written and what must be
// done then. The caller writes the records first, durably, and only then carries
// out the effects; after a crash it hands the records to Recover and goes on
// from there. Every effect may be carried out again.
//
//	planned -> filling -> catching -> cutting -> draining -> sealing -> done
//	   |          |           |
//	   +----------+-----------+----> undone
//
// Until the cut-over a change can be undone at any step, and is where its new
// holders fail or take too long. From the cut-over on it can only go forward:
// queries may have been answered by the heirs, and reservations made there.
package reshard

import (
	"errors"
	"fmt"
	"maps"
	"slices"
	"time"

	"eiderwinch/internal/layout"
)

// JobID numbers the changes that were taken on, from 1.
type JobID uint64

// Phase is how far a job is.
type Phase uint8

// The phases of a job.
const (
	Planned  Phase = iota // waits until the limits leave room
	Filling               // the heirs' rows are being copied
	Catching              // copied; what has changed since is being followed
	Cutting               // the heirs serve; gatherers are learning the epoch
	Draining              // all know it; the last older queries are ending
	Done                  // the old holders have forgotten it
	Undone                // taken back before the cut-over
	Sealing               // the old holders are being told to forget it
	phases
)

var phaseNames = [phases]string{"planned", "filling", "catching", "cutting", "draining", "done", "undone", "sealing"}

func (p Phase) String() string {
	if p < phases {
		return phaseNames[p]
	}
	return fmt.Sprintf("Phase(%d)", uint8(p))
}

// Over tells that nothing more happens to the job.
func (p Phase) Over() bool { return p == Done || p == Undone }

// Limits bound what a Coordinator does. The zero value of a field means its default.
type Limits struct {
	PerSearcher int // jobs that copy from or to one searcher at once; 2
	PerZone     int // jobs that copy from or to one data centre at once; 8
	Queued      int // jobs that are not over; 64. More are refused
	Kept        int // jobs that are over and still shown; 256

	LagMost   time.Duration // the heirs may be so far behind at the cut-over; 50 ms
	LagFresh  time.Duration // and must have said so within that; 1 s
	FillMost  time.Duration // a job is undone that has not been cut over so long after its start; 30 min
	Gatherer  time.Duration // a gatherer not heard of for so long has no open query left; 20 s
	SealMost  time.Duration // an old holder that has not said that it forgot is waited for so long; 1 min
	RateMost  float64       // rows a second to one new holder; 20,000
	RateLeast float64       // the copy is never slower: it would never end; 200
}

// Defaults of Limits. Two copies at once leave a searcher most of its cores;
// a gatherer's longest deadline is 12 s, and its last answer leaves soon after.
var defaults = Limits{
	PerSearcher: 2, PerZone: 8, Queued: 64, Kept: 256,
	LagMost: 50 * time.Millisecond, LagFresh: time.Second, FillMost: 30 * time.Minute, Gatherer: 20 * time.Second,
	SealMost: time.Minute,
	RateMost: 20_000, RateLeast: 200,
}

func (l Limits) complete() Limits {
	count := func(n *int, def int) {
		if *n <= 0 {
			*n = def
		}
	}
	span := func(d *time.Duration, def time.Duration) {
		if *d <= 0 {
			*d = def
		}
	}
	count(&l.PerSearcher, defaults.PerSearcher)
	count(&l.PerZone, defaults.PerZone)
	count(&l.Queued, defaults.Queued)
	count(&l.Kept, defaults.Kept)
	span(&l.LagMost, defaults.LagMost)
	span(&l.LagFresh, defaults.LagFresh)
	span(&l.FillMost, defaults.FillMost)
	span(&l.Gatherer, defaults.Gatherer)
	span(&l.SealMost, defaults.SealMost)
	if l.RateMost <= 0 {
		l.RateMost = defaults.RateMost
	}
	if l.RateLeast <= 0 {
		l.RateLeast = min(defaults.RateLeast, l.RateMost)
	}
	return l
}

// Record is one transition of a job. The records of all jobs in the order of
// Seq, on top of the layout that they began with, are the coordinator's state.
type Record struct {
	Seq    uint64
	Job    JobID
	Phase  Phase
	Change layout.Change // of the first record of a job
	Reason string        // why it was undone
}

// Event is something that has happened: Submit, Abort, Tick, Copied, Lag,
// Dropped, Heard, Down, Up or Pressure.
type Event interface{ event() }

// Submit asks for a change. Result is what became of it.
type Submit struct{ Change layout.Change }

// Abort asks for a job to be undone.
type Abort struct {
	Job    JobID
	Reason string
}

// Tick tells that time has gone by.
type Tick struct{}

// Copied tells that all rows of a target are there.
type Copied struct {
	Job    JobID
	Target Target
}

// Lag tells how far a target is behind those that it follows.
type Lag struct {
	Job    JobID
	Target Target
	Behind time.Duration
}

// Dropped tells that a searcher does not hold a segment any more: whoever still
// asks it for that is turned away.
type Dropped struct{ Target Target }

// Heard tells what a gatherer knows: its epoch, and the oldest epoch that an
// open query of it is bound to.
type Heard struct {
	Gatherer      string
	Epoch, Oldest layout.Epoch
}

// Down and Up tell of searchers.
type (
	Down struct{ Searcher string }
	Up   struct{ Searcher, Zone string }
)

// Pressure tells how queries fare: the p99 of their times while copies run over
// what it is without. From Over on copies slow down.
type Pressure struct{ Ratio float64 }

func (Submit) event()   {}
func (Abort) event()    {}
func (Tick) event()     {}
func (Copied) event()   {}
func (Lag) event()      {}
func (Dropped) event()  {}
func (Heard) event()    {}
func (Down) event()     {}
func (Up) event()       {}
func (Pressure) event() {}

// Target is a searcher that is being filled with a segment.
type Target struct {
	Segment  layout.SegmentID
	Searcher string
}

// Effect is something to be done: Publish, Fill, Stop, Rate, Drop or Ended.
type Effect interface{ effect() }

// Publish brings an epoch to the gatherers and searchers.
type Publish struct{ Layout *layout.Layout }

// Fill copies the rows and reservations of Keys to a target, and then keeps it
// up with what changes at the sources until Stop.
type Fill struct {
	Job     JobID
	Target  Target
	Keys    layout.Range
	Sources []layout.SegmentID
	From    []string // searchers that hold the sources
	Rate    float64  // rows a second
}

// Stop ends the copies of a job.
type Stop struct{ Job JobID }

// Rate sets the speed of all copies, in rows a second to one target.
type Rate struct{ Rows float64 }

// Drop lets a searcher forget a segment that nobody asks it for any more.
type Drop struct{ Target Target }

// Ended tells that a job is over.
type Ended struct {
	Job    JobID
	Phase  Phase
	Reason string
}

func (Publish) effect() {}
func (Fill) effect()    {}
func (Stop) effect()    {}
func (Rate) effect()    {}
func (Drop) effect()    {}
func (Ended) effect()   {}

// Result is what a step asks for. Records are to be written durably before any
// of Effects is carried out.
type Result struct {
	Records []Record
	Effects []Effect
	Job     JobID // of a Submit that was taken on
	Err     error // why a Submit or Abort was refused
}

// The reasons for a refusal.
var (
	ErrBusy    = errors.New("too many changes are under way")
	ErrNoJob   = errors.New("no such change")
	ErrTooLate = errors.New("the change was cut over and can only go forward")
	ErrGone    = errors.New("a holder is down")
)

// job is one change under way.
type job struct {
	id      JobID
	change  layout.Change
	phase   Phase
	heirs   []layout.SegmentID
	began   time.Time // of Filling
	cut     layout.Epoch
	copied  map[Target]bool
	lag     map[Target]lag
	targets []Target
	from    []string // searchers that held the sources at its beginning
	former  []Target // of Sealing: those who are to forget
	dropped map[Target]bool
	sealed  time.Time // of Sealing
	reason  string
}

type lag struct {
	behind time.Duration
	at     time.Time
}

// gatherer is what is known of one.
type gatherer struct {
	epoch, oldest layout.Epoch
	at            time.Time
}

// Coordinator is the state machine. Make it with New or Recover.
type Coordinator struct {
	limits    Limits
	fleet     layout.Fleet
	layout    *layout.Layout
	jobs      map[JobID]*job
	order     []JobID // of jobs that are not forgotten
	seq       uint64
	last      JobID
	down      map[string]bool
	gatherers map[string]gatherer
	settled   time.Time // from then on every gatherer that there is has been heard of
	rate      float64
	counts    Counts
}

// Counts are what a Coordinator has done and turned away.
type Counts struct {
	Submitted, Refused, Started, CutOver, Done, Undone int
	Late, HolderDown, Aborted                          int // why they were undone
	Unsealed                                           int // old holders that never said that they forgot
	GatherersLost                                      int // not heard of for too long while a job waited for them
	Slowed                                             int // times the copies were slowed down
}

// New returns a coordinator of a layout on a fleet, with nothing under way. Until
// it has run for Limits.Gatherer it does not know which gatherers there are, and
// retires nothing.
func New(now time.Time, l *layout.Layout, f layout.Fleet, limits Limits) *Coordinator {
	limits = limits.complete()
	zones := maps.Clone(f.Zones)
	if zones == nil {
		zones = make(map[string]string)
	}
	return &Coordinator{
		limits: limits, fleet: layout.Fleet{Zones: zones, Replicas: f.Replicas}, layout: l,
		jobs: make(map[JobID]*job), down: make(map[string]bool), gatherers: make(map[string]gatherer),
		settled: now.Add(limits.Gatherer), rate: limits.RateMost,
	}
}

// Layout is the epoch in force.
func (c *Coordinator) Layout() *layout.Layout { return c.layout }

// Counts are what was done so far.
func (c *Coordinator) Counts() Counts { return c.counts }

// Status is a job as it is shown.
type Status struct {
	Job    JobID
	Change layout.Change
	Phase  Phase
	Heirs  []layout.SegmentID
	Copied int // of Targets
	Of     int
	Reason string
}

// Jobs are those under way and the last that are over, in the order they came.
func (c *Coordinator) Jobs() []Status {
	var out []Status
	for _, id := range c.order {
		j := c.jobs[id]
		out = append(out, Status{id, j.change, j.phase, j.heirs, len(j.copied), len(j.targets), j.reason})
	}
	return out
}

// Step takes in one event.
func (c *Coordinator) Step(now time.Time, e Event) Result {
	s := &step{c: c, now: now}
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
		if j := c.jobs[e.Job]; j != nil && !j.phase.Over() && slices.Contains(j.targets, e.Target) {
			j.lag[e.Target] = lag{e.Behind, now}
		}
	case Dropped:
		for _, j := range c.jobs {
			if j.phase == Sealing && slices.Contains(j.former, e.Target) {
				j.dropped[e.Target] = true
			}
		}
	case Heard:
		// News may overtake each other: what a gatherer knew once it does not forget.
		g := c.gatherers[e.Gatherer]
		c.gatherers[e.Gatherer] = gatherer{max(g.epoch, e.Epoch), max(g.oldest, e.Oldest), now}
	case Down:
		c.down[e.Searcher] = true
	case Up:
		delete(c.down, e.Searcher)
		if e.Zone != "" {
			c.fleet.Zones[e.Searcher] = e.Zone
		}
	case Pressure:
		s.pressure(e.Ratio)
	}
	s.advance()
	return s.result
}
