package reshard

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"eiderwinch/internal/layout"
)

// step is one Step in the making.
type step struct {
	c      *Coordinator
	now    time.Time
	result Result
}

func (s *step) do(e Effect) { s.result.Effects = append(s.result.Effects, e) }

// turn takes a job to a phase and records it.
func (s *step) turn(j *job, to Phase) {
	s.c.seq++
	r := Record{Seq: s.c.seq, Job: j.id, Phase: to, Reason: j.reason}
	if to == Planned {
		r.Change = j.change
	}
	j.phase = to
	s.result.Records = append(s.result.Records, r)
}

// submit takes a change on, or says why not. Whether it can be done is tried on
// the layout as it would be if all that is under way were done, as far as that
// can be told: a segment that another job holds is refused at once.
func (s *step) submit(change layout.Change) {
	c := s.c
	c.counts.Submitted++
	if err := c.admissible(change); err != nil {
		c.counts.Refused++
		s.result.Err = err
		return
	}
	c.last++
	j := newJob(c.last, change)
	c.jobs[j.id] = j
	c.order = append(c.order, j.id)
	s.result.Job = j.id
	s.turn(j, Planned)
}

func newJob(id JobID, change layout.Change) *job {
	return &job{id: id, change: change, copied: make(map[Target]bool), lag: make(map[Target]lag), dropped: make(map[Target]bool)}
}

func (c *Coordinator) admissible(change layout.Change) error {
	open := 0
	for _, j := range c.jobs {
		if j.phase.Over() {
			continue
		}
		open++
		for _, id := range change.Segments {
			if slices.Contains(j.change.Segments, id) || slices.Contains(j.heirs, id) {
				return fmt.Errorf("%v: segment %d: %w: change %d, %v, is %v", change.Kind, id, layout.ErrConflict, j.id, j.change, j.phase)
			}
		}
	}
	if open >= c.limits.Queued {
		return fmt.Errorf("%w: %d, at most %d", ErrBusy, open, c.limits.Queued)
	}
	return c.feasible(change)
}

// feasible tells whether a change can be done on the layout as it is, and leaves
// each segment its replicas.
func (c *Coordinator) feasible(change layout.Change) error {
	next, heirs, err := c.layout.Prepare(change)
	if err != nil {
		return err
	}
	for _, list := range change.Holders {
		for _, h := range list {
			if c.down[h] {
				return fmt.Errorf("%v: %w: %q", change.Kind, ErrGone, h)
			}
		}
	}
	if next, err = next.CutOver(change, heirs); err != nil {
		return err
	}
	before, after := c.layout.Check(c.fleet), next.Check(c.fleet)
	if after != nil && before == nil {
		return fmt.Errorf("%v: %w", change.Kind, after)
	}
	return nil
}

func (s *step) abort(e Abort) {
	j := s.c.jobs[e.Job]
	switch {
	case j == nil:
		s.result.Err = fmt.Errorf("change %d: %w", e.Job, ErrNoJob)
	case j.phase == Undone:
		return // it is what was wanted
	case j.phase >= Cutting:
		s.result.Err = fmt.Errorf("change %d is %v: %w", e.Job, j.phase, ErrTooLate)
	default:
		s.c.counts.Aborted++
		s.undo(j, e.Reason)
	}
}

// undo takes a job back that was not cut over.
func (s *step) undo(j *job, reason string) {
	j.reason = reason
	if j.phase != Planned {
		next, err := s.c.layout.Abort(j.change, j.heirs)
		if err != nil { // can't be: it was prepared, and not cut over
			panic(fmt.Sprintf("reshard: undoing change %d: %v", j.id, err))
		}
		s.turn(j, Undone)
		s.c.layout = next
		s.do(Stop{j.id})
		s.do(Publish{next})
		for _, t := range j.targets {
			s.do(Drop{t})
		}
	} else {
		s.turn(j, Undone)
	}
	s.c.counts.Undone++
	s.do(Ended{j.id, Undone, reason})
}

// advance takes every job as far as it can go, the one that came first before the others.
func (s *step) advance() {
	for _, id := range slices.Clone(s.c.order) {
		j := s.c.jobs[id]
		for moved := true; moved && !j.phase.Over(); {
			moved = s.move(j)
		}
	}
	s.c.forgetJobs()
}

// move takes a job one phase on if it is time, and tells whether it did.
func (s *step) move(j *job) bool {
	c := s.c
	if j.phase < Cutting && j.phase > Planned {
		if dead := c.dead(j); dead != "" {
			c.counts.HolderDown++
			s.undo(j, fmt.Sprintf("searcher %s, which was being filled, is down", dead))
			return true
		}
		if s.now.Sub(j.began) >= c.limits.FillMost {
			c.counts.Late++
			s.undo(j, fmt.Sprintf("not cut over within %v", c.limits.FillMost))
			return true
		}
	}
	switch j.phase {
	case Planned:
		return s.begin(j)
	case Filling:
		if len(j.copied) < len(j.targets) {
			return false
		}
		s.turn(j, Catching)
		return true
	case Catching:
		return s.cutOver(j)
	case Cutting:
		if !c.all(s.now, func(g gatherer) bool { return g.epoch >= j.cut }) {
			return false
		}
		s.turn(j, Draining)
		return true
	case Draining:
		if !c.all(s.now, func(g gatherer) bool { return g.oldest >= j.cut }) {
			return false
		}
		s.seal(j)
		return true
	default:
		late := s.now.Sub(j.sealed) >= c.limits.SealMost
		if len(j.dropped) < len(j.former) && !late {
			return false
		}
		c.counts.Unsealed += len(j.former) - len(j.dropped)
		s.turn(j, Done)
		c.counts.Done++
		s.do(Stop{j.id})
		s.do(Ended{j.id, Done, ""})
		return true
	}
}

// dead returns a searcher that a job fills and that is down; empty if there is none.
func (c *Coordinator) dead(j *job) string {
	for _, t := range j.targets {
		if c.down[t.Searcher] {
			return t.Searcher
		}
	}
	return ""
}

// all tells that something is true of each gatherer that may have open queries.
// One that was only just started cannot tell: those that it has not heard of yet
// may have some.
func (c *Coordinator) all(now time.Time, is func(gatherer) bool) bool {
	if now.Before(c.settled) {
		return false
	}
	maps.DeleteFunc(c.gatherers, func(_ string, g gatherer) bool {
		lost := now.Sub(g.at) >= c.limits.Gatherer
		if lost {
			c.counts.GatherersLost++
		}
		return lost
	})
	for _, g := range c.gatherers {
		if !is(g) {
			return false
		}
	}
	return true
}

// begin starts a job's copies, if the limits leave room.
func (s *step) begin(j *job) bool {
	c := s.c
	if err := c.feasible(j.change); err != nil {
		s.undo(j, "no longer possible: "+err.Error())
		return true
	}
	if !c.room(j) {
		return false
	}
	next, heirs, err := c.layout.Prepare(j.change)
	if err != nil { // can't be: feasible has done the same
		panic(fmt.Sprintf("reshard: preparing change %d: %v", j.id, err))
	}
	s.turn(j, Filling)
	c.prepared(j, next, heirs, s.now)
	c.counts.Started++
	s.do(Publish{next})
	s.fill(j)
	return true
}

// prepared books that a job's heirs are in the layout.
func (c *Coordinator) prepared(j *job, next *layout.Layout, heirs []layout.SegmentID, now time.Time) {
	c.layout, j.heirs, j.began = next, heirs, now
	j.from = c.sources(j)
	if j.change.Kind == layout.Move {
		s := next.Segment(j.change.Segments[0])
		for _, h := range s.Next {
			if !slices.Contains(s.Holders, h) { // those that stay have the rows
				j.targets = append(j.targets, Target{s.ID, h})
			}
		}
		return
	}
	for _, id := range heirs {
		for _, h := range next.Segment(id).Holders {
			j.targets = append(j.targets, Target{id, h})
		}
	}
}

// fill starts, or starts again, the copies of a job.
func (s *step) fill(j *job) {
	for _, t := range j.targets {
		keys := s.c.layout.Segment(t.Segment).Keys
		s.do(Fill{j.id, t, keys, j.change.Segments, j.from, s.c.rate})
	}
}

// sources are the searchers that hold what a job copies.
func (c *Coordinator) sources(j *job) (out []string) {
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

// touched are the searchers that a job copies from or to.
func (c *Coordinator) touched(j *job) []string {
	out := c.sources(j)
	for _, list := range j.change.Holders {
		for _, h := range list {
			if !slices.Contains(out, h) {
				out = append(out, h)
			}
		}
	}
	return out
}

// room tells that a job's copies keep to the limits.
func (c *Coordinator) room(j *job) bool {
	searchers, zones := make(map[string]int), make(map[string]int)
	add := func(j *job) {
		seen := make(map[string]bool)
		for _, h := range c.touched(j) {
			searchers[h]++
			seen[c.fleet.Zones[h]] = true
		}
		for z := range seen {
			zones[z]++
		}
	}
	for _, o := range c.jobs {
		if o.phase == Filling || o.phase == Catching {
			add(o)
		}
	}
	add(j)
	for _, h := range c.touched(j) {
		if searchers[h] > c.limits.PerSearcher || zones[c.fleet.Zones[h]] > c.limits.PerZone {
			return false
		}
	}
	return true
}

// cutOver makes the epoch in which the heirs serve, once each of them has said
// lately that it is close enough.
func (s *step) cutOver(j *job) bool {
	c := s.c
	for _, t := range j.targets {
		l, ok := j.lag[t]
		if !ok || l.behind > c.limits.LagMost || s.now.Sub(l.at) > c.limits.LagFresh {
			return false
		}
	}
	next, err := c.layout.CutOver(j.change, j.heirs)
	if err != nil { // can't be: it was prepared, and no other change holds its segments
		panic(fmt.Sprintf("reshard: cutting over change %d: %v", j.id, err))
	}
	s.turn(j, Cutting)
	c.layout, j.cut = next, next.Epoch()
	c.counts.CutOver++
	s.do(Publish{next})
	return true
}

// seal lets the old holders forget what was moved away from them: no gatherer
// that is heard of asks them any more. One that is cut off may still do so, with
// an older epoch. Until each of them has said that it forgot, and so turns such
// parts away unrun, the heirs go on following: a reservation made there in
// between would be lost otherwise.
func (s *step) seal(j *job) {
	c := s.c
	former := c.former(j)
	next, err := c.layout.Retire(j.change)
	if err != nil { // can't be: it was cut over
		panic(fmt.Sprintf("reshard: retiring change %d: %v", j.id, err))
	}
	s.turn(j, Sealing)
	c.layout, j.former, j.sealed = next, former, s.now
	s.do(Publish{next})
	for _, t := range former {
		s.do(Drop{t})
	}
}

// former are those that held what a job has moved away.
func (c *Coordinator) former(j *job) (out []Target) {
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

// forgetJobs drops the oldest jobs that are over beyond those that are kept.
func (c *Coordinator) forgetJobs() {
	over := 0
	for _, j := range c.jobs {
		if j.phase.Over() {
			over++
		}
	}
	c.order = slices.DeleteFunc(c.order, func(id JobID) bool {
		if over <= c.limits.Kept || !c.jobs[id].phase.Over() {
			return false
		}
		over--
		delete(c.jobs, id)
		return true
	})
}

// How the copies yield to queries: half as fast at each report of pressure, a
// tenth of the most faster at each without, as TCP does (Chiu and Jain, 1989).
const (
	pressureAt = 1.15 // p99 over what it is without copies; 1.25 must not be passed
	slower     = 0.5
	faster     = 0.1
)

func (s *step) pressure(ratio float64) {
	c := s.c
	rate := c.rate
	if ratio >= pressureAt {
		rate *= slower
		c.counts.Slowed++
	} else {
		rate += faster * c.limits.RateMost
	}
	rate = min(max(rate, c.limits.RateLeast), c.limits.RateMost)
	if rate != c.rate {
		c.rate = rate
		s.do(Rate{rate})
	}
}

// Base is where records begin: the layout as it was when nothing was under way.
type Base struct {
	Layout *layout.Layout
	Seq    uint64 // of the last record before
	Job    JobID  // the last that was given out
}

// Base is where later records can begin, so that those so far need not be kept.
// There is none while a job is under way.
func (c *Coordinator) Base() (Base, bool) {
	for _, j := range c.jobs {
		if !j.phase.Over() {
			return Base{}, false
		}
	}
	return Base{c.layout, c.seq, c.last}, true
}

// Recover makes a coordinator from what one before has written: the base that
// its records begin at, and these in order. It returns the effects of all jobs
// that are not over, which may have been carried out before or not. Copies begin
// anew; a job whose cut-over was written goes on from there.
func Recover(now time.Time, b Base, f layout.Fleet, limits Limits, records []Record) (*Coordinator, []Effect, error) {
	c := New(now, b.Layout, f, limits)
	c.seq, c.last = b.Seq, b.Job
	for i, r := range records {
		if err := c.replay(now, r); err != nil {
			return nil, nil, fmt.Errorf("record %d (number %d): %w", i, r.Seq, err)
		}
	}
	s := &step{c: c, now: now}
	s.do(Publish{c.layout})
	for _, id := range c.order {
		switch j := c.jobs[id]; j.phase {
		case Filling, Catching, Cutting, Draining, Sealing:
			// Followers of a job that is cut over are needed until it is done:
			// reservations of older epochs must reach the heirs.
			s.fill(j)
			for _, t := range j.former {
				s.do(Drop{t})
			}
		case Done, Undone:
			s.do(Stop{id})
		}
	}
	c.forgetJobs()
	return c, s.result.Effects, nil
}

// replay takes in one record.
func (c *Coordinator) replay(now time.Time, r Record) error {
	if r.Seq != c.seq+1 {
		return fmt.Errorf("follows number %d", c.seq)
	}
	c.seq = r.Seq
	j := c.jobs[r.Job]
	if (j == nil) != (r.Phase == Planned) {
		return fmt.Errorf("change %d turns %v: %w", r.Job, r.Phase, ErrNoJob)
	}
	if j == nil {
		j = newJob(r.Job, r.Change)
		c.jobs[r.Job], c.last = j, max(c.last, r.Job)
		c.order = append(c.order, r.Job)
		return nil
	}
	if !j.phase.leads(r.Phase) {
		return fmt.Errorf("change %d turns %v, but is %v", r.Job, r.Phase, j.phase)
	}
	next, err := c.layout, error(nil)
	switch r.Phase {
	case Filling:
		var heirs []layout.SegmentID
		if next, heirs, err = c.layout.Prepare(j.change); err == nil {
			c.prepared(j, next, heirs, now)
		}
	case Catching:
		for _, t := range j.targets {
			j.copied[t] = true
		}
	case Cutting:
		if next, err = c.layout.CutOver(j.change, j.heirs); err == nil {
			j.cut = next.Epoch()
		}
	case Sealing:
		j.former, j.sealed = c.former(j), now
		next, err = c.layout.Retire(j.change)
	case Undone:
		if j.phase != Planned {
			next, err = c.layout.Abort(j.change, j.heirs)
		}
	}
	if err != nil {
		return fmt.Errorf("change %d turns %v: %w", r.Job, r.Phase, err)
	}
	c.layout, j.phase, j.reason = next, r.Phase, r.Reason
	return nil
}

// leads tells that a phase can come right after p.
func (p Phase) leads(to Phase) bool {
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
