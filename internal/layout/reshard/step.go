package reshard

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"eiderwinch/internal/layout"
)

// step collects the result of one call of Coordinator.Step.
type step struct {
	coordinator *Coordinator
	now         time.Time
	result      Result
}

func (s *step) emit(e Effect) { s.result.Effects = append(s.result.Effects, e) }

// enterPhase takes a job to a phase and records the transition.
func (s *step) enterPhase(j *job, to Phase) {
	s.coordinator.lastSeq++
	r := Record{Seq: s.coordinator.lastSeq, Job: j.id, Phase: to, Reason: j.reason}
	if to == Planned {
		r.Change = j.change
	}
	j.phase = to
	s.result.Records = append(s.result.Records, r)
}

// submit accepts a change, or refuses it with the reason. A change of a segment that
// another open job changes or creates is refused. All else is checked against the
// current layout, and again when the job starts.
func (s *step) submit(change layout.Change) {
	c := s.coordinator
	c.counts.Submitted++
	if err := c.checkAdmissible(change); err != nil {
		c.counts.Refused++
		s.result.Err = err
		return
	}
	c.lastJob++
	j := newJob(c.lastJob, change)
	c.jobs[j.id] = j
	c.jobOrder = append(c.jobOrder, j.id)
	s.result.Job = j.id
	s.enterPhase(j, Planned)
}

func newJob(id JobID, change layout.Change) *job {
	return &job{id: id, change: change, copied: make(map[Target]bool), lags: make(map[Target]lagReport), dropped: make(map[Target]bool)}
}

func (c *Coordinator) checkAdmissible(change layout.Change) error {
	open := 0
	for _, j := range c.jobs {
		if j.phase.IsFinal() {
			continue
		}
		open++
		for _, id := range change.Segments {
			if slices.Contains(j.change.Segments, id) || slices.Contains(j.successors, id) {
				return fmt.Errorf("%v: segment %d: %w: change %d, %v, is %v", change.Kind, id, layout.ErrConflict, j.id, j.change, j.phase)
			}
		}
	}
	if open >= c.limits.MaxOpenJobs {
		return fmt.Errorf("%w: found %d, want fewer than %d", ErrBusy, open, c.limits.MaxOpenJobs)
	}
	return c.checkFeasible(change)
}

// checkFeasible returns an error if a change cannot be made on the current layout,
// names a holder that is down, or would break a layout that passes its check now,
// for example by leaving a segment too few replicas.
func (c *Coordinator) checkFeasible(change layout.Change) error {
	next, successors, err := c.layout.Prepare(change)
	if err != nil {
		return err
	}
	for _, list := range change.Holders {
		for _, h := range list {
			if c.down[h] {
				return fmt.Errorf("%v: %w: %q", change.Kind, ErrHolderDown, h)
			}
		}
	}
	if next, err = next.CutOver(change, successors); err != nil {
		return err
	}
	before, after := c.layout.Check(c.fleet), next.Check(c.fleet)
	if after != nil && before == nil {
		return fmt.Errorf("%v: %w", change.Kind, after)
	}
	return nil
}

func (s *step) abort(e Abort) {
	j := s.coordinator.jobs[e.Job]
	switch {
	case j == nil:
		s.result.Err = fmt.Errorf("change %d: %w", e.Job, ErrUnknownJob)
	case j.phase == Undone:
		return // the job is already in the requested state
	case j.phase >= Cutting:
		s.result.Err = fmt.Errorf("change %d is %v: %w", e.Job, j.phase, ErrTooLate)
	default:
		s.coordinator.counts.Aborted++
		s.undo(j, e.Reason)
	}
}

// undo undoes a job that was not cut over.
func (s *step) undo(j *job, reason string) {
	j.reason = reason
	if j.phase != Planned {
		next, err := s.coordinator.layout.Abort(j.change, j.successors)
		if err != nil { // impossible: the change was prepared, and not cut over
			panic(fmt.Sprintf("reshard: undoing change %d: %v", j.id, err))
		}
		s.enterPhase(j, Undone)
		s.coordinator.layout = next
		s.emit(Stop{j.id})
		s.emit(Publish{next})
		for _, t := range j.targets {
			s.emit(Drop{t})
		}
	} else {
		s.enterPhase(j, Undone)
	}
	s.coordinator.counts.Undone++
	s.emit(Ended{j.id, Undone, reason})
}

// advance takes every job as far as possible, in order of acceptance.
func (s *step) advance() {
	for _, id := range slices.Clone(s.coordinator.jobOrder) {
		j := s.coordinator.jobs[id]
		for advanced := true; advanced && !j.phase.IsFinal(); {
			advanced = s.advanceJob(j)
		}
	}
	s.coordinator.evictFinishedJobs()
}

// advanceJob takes a job to its next phase if the conditions hold, and reports
// whether it did.
func (s *step) advanceJob(j *job) bool {
	c := s.coordinator
	if j.phase < Cutting && j.phase > Planned {
		if down := c.downTarget(j); down != "" {
			c.counts.HolderDown++
			s.undo(j, fmt.Sprintf("searcher %s, which was being filled, is down", down))
			return true
		}
		if s.now.Sub(j.fillingSince) >= c.limits.FillTimeout {
			c.counts.Late++
			s.undo(j, fmt.Sprintf("not cut over within %v", c.limits.FillTimeout))
			return true
		}
	}
	switch j.phase {
	case Planned:
		return s.startFilling(j)
	case Filling:
		if len(j.copied) < len(j.targets) {
			return false
		}
		s.enterPhase(j, Catching)
		return true
	case Catching:
		return s.cutOver(j)
	case Cutting:
		if !c.allGatherers(s.now, func(g gathererState) bool { return g.epoch >= j.cutOverEpoch }) {
			return false
		}
		s.enterPhase(j, Draining)
		return true
	case Draining:
		if !c.allGatherers(s.now, func(g gathererState) bool { return g.oldest >= j.cutOverEpoch }) {
			return false
		}
		s.startSealing(j)
		return true
	default:
		timedOut := s.now.Sub(j.sealingSince) >= c.limits.SealTimeout
		if len(j.dropped) < len(j.formerHolders) && !timedOut {
			return false
		}
		c.counts.Unsealed += len(j.formerHolders) - len(j.dropped)
		s.enterPhase(j, Done)
		c.counts.Done++
		s.emit(Stop{j.id})
		s.emit(Ended{j.id, Done, ""})
		return true
	}
}

// downTarget returns a searcher that is down while a job fills it, or "" if there is
// none.
func (c *Coordinator) downTarget(j *job) string {
	for _, t := range j.targets {
		if c.down[t.Searcher] {
			return t.Searcher
		}
	}
	return ""
}

// allGatherers reports whether a condition holds for each gatherer that may have
// open queries. A coordinator that has just started always reports false: gatherers
// that have not reported yet may have open queries.
func (c *Coordinator) allGatherers(now time.Time, predicate func(gathererState) bool) bool {
	if now.Before(c.gatherersKnownAt) {
		return false
	}
	maps.DeleteFunc(c.gatherers, func(_ string, g gathererState) bool {
		expired := now.Sub(g.reportedAt) >= c.limits.GathererTimeout
		if expired {
			c.counts.GatherersLost++
		}
		return expired
	})
	for _, g := range c.gatherers {
		if !predicate(g) {
			return false
		}
	}
	return true
}

// startFilling prepares a job's successors and starts its copies if the limits allow
// it, and reports whether the job has left Planned.
func (s *step) startFilling(j *job) bool {
	c := s.coordinator
	if err := c.checkFeasible(j.change); err != nil {
		s.undo(j, "no longer possible: "+err.Error())
		return true
	}
	if !c.hasCapacity(j) {
		return false
	}
	next, successors, err := c.layout.Prepare(j.change)
	if err != nil { // impossible: checkFeasible has done the same
		panic(fmt.Sprintf("reshard: preparing change %d: %v", j.id, err))
	}
	s.enterPhase(j, Filling)
	c.recordPrepared(j, next, successors, s.now)
	c.counts.Started++
	s.emit(Publish{next})
	s.emitFills(j)
	return true
}

// recordPrepared records that a job's successors are in the layout, and which
// searchers must be filled.
func (c *Coordinator) recordPrepared(j *job, next *layout.Layout, successors []layout.SegmentID, now time.Time) {
	c.layout, j.successors, j.fillingSince = next, successors, now
	j.sourceHolders = c.sourceHolders(j)
	if j.change.Kind == layout.Move {
		s := next.Segment(j.change.Segments[0])
		for _, h := range s.Next {
			if !slices.Contains(s.Holders, h) { // the remaining holders already have the rows
				j.targets = append(j.targets, Target{s.ID, h})
			}
		}
		return
	}
	for _, id := range successors {
		for _, h := range next.Segment(id).Holders {
			j.targets = append(j.targets, Target{id, h})
		}
	}
}

// emitFills starts or restarts the copies of a job.
func (s *step) emitFills(j *job) {
	for _, t := range j.targets {
		keys := s.coordinator.layout.Segment(t.Segment).Keys
		s.emit(Fill{j.id, t, keys, j.change.Segments, j.sourceHolders, s.coordinator.copyRate})
	}
}

// sourceHolders returns the searchers that hold the segments that a job copies.
func (c *Coordinator) sourceHolders(j *job) (out []string) {
	for _, id := range j.change.Segments {
		if seg := c.layout.Segment(id); seg != nil {
			for _, h := range seg.Holders {
				if !slices.Contains(out, h) {
					out = append(out, h)
				}
			}
		}
	}
	return out
}

// involvedSearchers returns the searchers that a job copies from or to.
func (c *Coordinator) involvedSearchers(j *job) []string {
	out := c.sourceHolders(j)
	for _, list := range j.change.Holders {
		for _, h := range list {
			if !slices.Contains(out, h) {
				out = append(out, h)
			}
		}
	}
	return out
}

// hasCapacity reports whether a job can start copying within the limits for each
// searcher and data centre.
func (c *Coordinator) hasCapacity(j *job) bool {
	searchers, zones := make(map[string]int), make(map[string]int)
	count := func(j *job) {
		seen := make(map[string]bool)
		for _, h := range c.involvedSearchers(j) {
			searchers[h]++
			seen[c.fleet.Zones[h]] = true
		}
		for z := range seen {
			zones[z]++
		}
	}
	for _, other := range c.jobs {
		if other.phase == Filling || other.phase == Catching {
			count(other)
		}
	}
	count(j)
	for _, h := range c.involvedSearchers(j) {
		if searchers[h] > c.limits.PerSearcher || zones[c.fleet.Zones[h]] > c.limits.PerZone {
			return false
		}
	}
	return true
}

// cutOver creates the epoch in which the successors serve, if each target has recently
// reported a lag within the limit. It reports whether it did.
func (s *step) cutOver(j *job) bool {
	c := s.coordinator
	for _, t := range j.targets {
		l, ok := j.lags[t]
		if !ok || l.behind > c.limits.MaxLag || s.now.Sub(l.receivedAt) > c.limits.MaxLagAge {
			return false
		}
	}
	next, err := c.layout.CutOver(j.change, j.successors)
	if err != nil { // impossible: the change was prepared, and no other job changes its segments
		panic(fmt.Sprintf("reshard: cutting over change %d: %v", j.id, err))
	}
	s.enterPhase(j, Cutting)
	c.layout, j.cutOverEpoch = next, next.Epoch()
	c.counts.CutOver++
	s.emit(Publish{next})
	return true
}

// startSealing orders the former holders to drop the segments that were moved away,
// because no reporting gatherer sends them parts any more. An isolated gatherer may
// still do so with an older epoch, and a reservation made at a former holder must not
// be lost. The successors therefore continue to apply changes from each former holder
// until it has confirmed the drop; from then on it rejects such parts without running
// them.
func (s *step) startSealing(j *job) {
	c := s.coordinator
	formerHolders := c.formerHolders(j)
	next, err := c.layout.Retire(j.change)
	if err != nil { // impossible: the change was cut over
		panic(fmt.Sprintf("reshard: retiring change %d: %v", j.id, err))
	}
	s.enterPhase(j, Sealing)
	c.layout, j.formerHolders, j.sealingSince = next, formerHolders, s.now
	s.emit(Publish{next})
	for _, t := range formerHolders {
		s.emit(Drop{t})
	}
}

// formerHolders returns the holders that a job takes segments away from.
func (c *Coordinator) formerHolders(j *job) (out []Target) {
	for _, id := range j.change.Segments {
		seg := c.layout.Segment(id)
		list := seg.Holders
		if j.change.Kind == layout.Move {
			list = seg.Prev
		}
		for _, h := range list {
			out = append(out, Target{id, h})
		}
	}
	return out
}

// evictFinishedJobs removes the oldest finished jobs beyond Limits.MaxFinishedJobs.
func (c *Coordinator) evictFinishedJobs() {
	finished := 0
	for _, j := range c.jobs {
		if j.phase.IsFinal() {
			finished++
		}
	}
	c.jobOrder = slices.DeleteFunc(c.jobOrder, func(id JobID) bool {
		if finished <= c.limits.MaxFinishedJobs || !c.jobs[id].phase.IsFinal() {
			return false
		}
		finished--
		delete(c.jobs, id)
		return true
	})
}

// The copy rate is adjusted by additive increase and multiplicative decrease, as in
// TCP (Chiu and Jain, 1989): it is halved by each report at or above slowDownRatio,
// and raised by a tenth of the maximum by each report below.
const (
	slowDownRatio        = 1.15 // p99 with copies / p99 without copies; the ratio must not exceed 1.25
	rateDecreaseFactor   = 0.5
	rateIncreaseFraction = 0.1
)

func (s *step) adjustRate(ratio float64) {
	c := s.coordinator
	rate := c.copyRate
	if ratio >= slowDownRatio {
		rate *= rateDecreaseFactor
		c.counts.Slowed++
	} else {
		rate += rateIncreaseFraction * c.limits.MaxRate
	}
	rate = min(max(rate, c.limits.MinRate), c.limits.MaxRate)
	if rate != c.copyRate {
		c.copyRate = rate
		s.emit(SetRate{rate})
	}
}

// Base is the state that records start from: the layout at a time with no open job.
type Base struct {
	Layout  *layout.Layout
	Seq     uint64 // of the last record before the base
	LastJob JobID  // the last number that was assigned
}

// Base returns a base for later records, so that the records before it can be
// discarded. It returns false while a job is open.
func (c *Coordinator) Base() (Base, bool) {
	for _, j := range c.jobs {
		if !j.phase.IsFinal() {
			return Base{}, false
		}
	}
	return Base{c.layout, c.lastSeq, c.lastJob}, true
}

// Recover restores a coordinator from a base and from the records that an earlier
// coordinator has written since, in order. It returns the effects of all open jobs,
// which may or may not have been executed before. Copies restart; a job whose cut-over
// was recorded continues from there.
func Recover(now time.Time, b Base, f layout.Fleet, limits Limits, records []Record) (*Coordinator, []Effect, error) {
	c := New(now, b.Layout, f, limits)
	c.lastSeq, c.lastJob = b.Seq, b.LastJob
	for i, r := range records {
		if err := c.replay(now, r); err != nil {
			return nil, nil, fmt.Errorf("record %d (number %d): %w", i, r.Seq, err)
		}
	}
	s := &step{coordinator: c, now: now}
	s.emit(Publish{c.layout})
	for _, id := range c.jobOrder {
		switch j := c.jobs[id]; j.phase {
		case Filling, Catching, Cutting, Draining, Sealing:
			// After the cut-over the successors must still receive reservations made
			// in older epochs, so copies run until the job is done.
			s.emitFills(j)
			for _, t := range j.formerHolders {
				s.emit(Drop{t})
			}
		case Done, Undone:
			s.emit(Stop{id})
		}
	}
	c.evictFinishedJobs()
	return c, s.result.Effects, nil
}

// replay applies one record.
func (c *Coordinator) replay(now time.Time, r Record) error {
	if r.Seq != c.lastSeq+1 {
		return fmt.Errorf("out of sequence: the record before it is number %d", c.lastSeq)
	}
	c.lastSeq = r.Seq
	j := c.jobs[r.Job]
	if (j == nil) != (r.Phase == Planned) {
		return fmt.Errorf("change %d enters phase %v: %w", r.Job, r.Phase, ErrUnknownJob)
	}
	if j == nil {
		j = newJob(r.Job, r.Change)
		c.jobs[r.Job], c.lastJob = j, max(c.lastJob, r.Job)
		c.jobOrder = append(c.jobOrder, r.Job)
		return nil
	}
	if !j.phase.canPrecede(r.Phase) {
		return fmt.Errorf("change %d cannot enter phase %v from phase %v", r.Job, r.Phase, j.phase)
	}
	next, err := c.layout, error(nil)
	switch r.Phase {
	case Filling:
		var successors []layout.SegmentID
		if next, successors, err = c.layout.Prepare(j.change); err == nil {
			c.recordPrepared(j, next, successors, now)
		}
	case Catching:
		for _, t := range j.targets {
			j.copied[t] = true
		}
	case Cutting:
		if next, err = c.layout.CutOver(j.change, j.successors); err == nil {
			j.cutOverEpoch = next.Epoch()
		}
	case Sealing:
		j.formerHolders, j.sealingSince = c.formerHolders(j), now
		next, err = c.layout.Retire(j.change)
	case Undone:
		if j.phase != Planned {
			next, err = c.layout.Abort(j.change, j.successors)
		}
	}
	if err != nil {
		return fmt.Errorf("change %d enters phase %v: %w", r.Job, r.Phase, err)
	}
	c.layout, j.phase, j.reason = next, r.Phase, r.Reason
	return nil
}

// canPrecede reports whether a job in phase p can directly enter phase to.
func (p Phase) canPrecede(to Phase) bool {
	switch p {
	case Planned:
		return to == Filling || to == Undone
	case Filling:
		return to == Catching || to == Undone
	case Catching:
		return to == Cutting || to == Undone
	case Cutting:
		return to == Draining
	case Draining:
		return to == Sealing
	case Sealing:
		return to == Done
	}
	return false
}
