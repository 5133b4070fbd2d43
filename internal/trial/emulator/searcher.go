package emulator

import (
	"fmt"
	"slices"
	"time"

	"eiderwinch"
	"eiderwinch/internal/gatherer"
)

// searcher models a searcher: slots, a queue, parts that take longer as the queue grows, a cold start,
// pauses and drains.
type searcher struct {
	sim      *simulation
	id       string
	number   int
	zone     int
	cell     int
	revision int // of the last update that discovery has sent about it

	up              bool
	draining        bool
	process         int       // number of the current process, by which delayed events recognise that it has ended
	startedAt       time.Time // zero if it was up at the start of the run
	slowdown        float64   // factor on the time that a part takes
	pausedUntil     time.Time
	busy            int // number of slots in use
	waiting         []*pendingAttempt
	reportedQueues  []float64 // the last recorded queue lengths, the newest last
	overloadedSince time.Time // since when it has had more parts than a cold searcher can take; zero if it has not
	conns           []*searcherConn
}

func (sim *simulation) addSearcher(i int) {
	// Replicas of one cell are in different zones.
	s := &searcher{sim: sim, id: fmt.Sprintf("s-%04d", i), number: i, cell: i % sim.Cells, zone: i / sim.Cells % sim.Zones, up: true, slowdown: 1}
	sim.searchers = append(sim.searchers, s)
	sim.searcherByID[s.id] = s
}

func (s *searcher) member(state eiderwinch.State) gatherer.Member {
	return gatherer.Member{ID: s.id, Zone: zoneName(s.zone), Cell: s.cell, State: state, Started: s.startedAt}
}

func zoneName(z int) string { return fmt.Sprintf("z%d", z) }

// speedShare returns the share of its full speed that the searcher has. It is below 1 while it is cold.
func (s *searcher) speedShare() float64 {
	if s.startedAt.IsZero() {
		return 1
	}
	age := s.sim.now.Sub(s.startedAt)
	if age >= s.sim.ColdDuration {
		return 1
	}
	return s.sim.ColdShare + (1-s.sim.ColdShare)*age.Seconds()/s.sim.ColdDuration.Seconds()
}

// receive serves, queues or refuses a part that has arrived.
func (s *searcher) receive(p *pendingAttempt) {
	s.sim.result.countPart(s, 1)
	switch {
	case s.draining || len(s.waiting) >= s.sim.MaxQueue:
		s.answer(p, eiderwinch.Full)
		return
	case s.busy >= s.sim.SearcherSlots:
		s.waiting = append(s.waiting, p)
	default:
		s.serve(p)
	}
	s.checkOverload()
}

// checkOverload crashes a cold searcher that has been overloaded for too long.
func (s *searcher) checkOverload() {
	limit := s.sim.ColdMultiple * float64(s.sim.SearcherSlots) * s.speedShare()
	if s.speedShare() == 1 || float64(s.busy+len(s.waiting)) <= limit {
		s.overloadedSince = time.Time{}
		return
	}
	if s.overloadedSince.IsZero() {
		s.overloadedSince = s.sim.now
	} else if s.sim.now.Sub(s.overloadedSince) >= s.sim.ColdOverloadLimit {
		s.overloadedSince = time.Time{}
		s.sim.result.ColdCrashes++
		s.crash(4 * time.Second)
	}
}

// serve starts to work on a part.
func (s *searcher) serve(p *pendingAttempt) {
	s.busy++
	process := s.process
	duration := float64(s.sim.Classes[p.class].Work) * s.sim.logNormal() * s.slowdown / s.speedShare()
	duration *= 1 + s.sim.QueueSlowdown*float64(len(s.waiting))/float64(s.sim.MaxQueue)
	if p.firstOfCall {
		duration += float64(s.sim.CallCost)
	}
	s.sim.after(time.Duration(duration), func() { s.finish(p, process) })
}

// finish answers a part and starts on those that wait. If the searcher is paused, this happens when the pause ends.
func (s *searcher) finish(p *pendingAttempt, process int) {
	if s.process != process {
		return // the process has died since
	}
	if s.sim.now.Before(s.pausedUntil) {
		s.sim.after(s.pausedUntil.Sub(s.sim.now), func() { s.finish(p, process) })
		return
	}
	s.busy--
	s.recordEffect(p)
	s.answer(p, eiderwinch.OK)
	for s.busy < s.sim.SearcherSlots && len(s.waiting) > 0 {
		next := s.waiting[0]
		s.waiting = s.waiting[1:]
		s.serve(next)
	}
	s.checkOverload()
}

// recordEffect records the reservation that a part of a keyed class has made. A repeat after the class's repeat
// window counts as a breach: the searchers no longer recognise the key then, and make the reservation again.
func (s *searcher) recordEffect(p *pendingAttempt) {
	c := s.sim.Classes[p.class]
	if c.Effect != eiderwinch.Keyed {
		return
	}
	first, repeated := s.sim.reservedAt[p.idempotencyKey]
	switch {
	case !repeated:
		s.sim.reservedAt[p.idempotencyKey] = s.sim.now
	case s.sim.now.Sub(first) > c.RepeatWindow:
		s.sim.result.addBreach("reservation %s was made twice, %v apart", p.idempotencyKey, s.sim.now.Sub(first))
	}
}

// answer sends an answer to the gatherer. The answer is lost if the connection has been closed when it arrives.
func (s *searcher) answer(p *pendingAttempt, status eiderwinch.Status) {
	if s.sim.lostAnswerShare > 0 && s.sim.rng.Float64() < s.sim.lostAnswerShare {
		return // the part has run, but its answer is lost
	}
	conn := p.conn
	load := s.reportedLoad()
	s.sim.after(s.sim.delay(s.zone, conn.node.zone), func() {
		if !conn.open || s.sim.isPartitioned(s.zone, conn.node.zone) {
			return
		}
		conn.node.handleResult(p, status, load)
	})
}

// holds reports whether the searcher holds a segment. It holds those that begin at its cell, and those
// that begin at the CellsPerSegment-1 cells before it.
func (s *searcher) holds(segment int) bool {
	cells := s.sim.Cells
	return ((s.cell-segment)%cells+cells)%cells < s.sim.CellsPerSegment
}

// maxReportedQueues is the number of recorded queue lengths that are kept.
const maxReportedQueues = 64

// recordQueue records the queue length for load reports, and schedules its next call after a random time.
func (s *searcher) recordQueue() {
	if len(s.reportedQueues) == maxReportedQueues {
		s.reportedQueues = s.reportedQueues[1:]
	}
	s.reportedQueues = append(s.reportedQueues, float64(len(s.waiting)))
	s.sim.after(s.sim.ReportInterval/2+s.sim.exponential(s.sim.ReportInterval/2), s.recordQueue)
}

// reportedLoad returns the load report of an answer: the last recorded queue length, or an older one during
// a fault StaleReports. It is nil if answers carry no report.
func (s *searcher) reportedLoad() *eiderwinch.Load {
	if len(s.reportedQueues) == 0 {
		return nil
	}
	back := int(s.sim.reportDelay / max(s.sim.ReportInterval, time.Millisecond))
	return &eiderwinch.Load{Waiting: s.reportedQueues[max(len(s.reportedQueues)-1-back, 0)]}
}

// cancel removes a part from the queue. A part that is being served is not interrupted.
func (s *searcher) cancel(p *pendingAttempt) {
	if s.sim.IgnoresCancel {
		return
	}
	s.waiting = slices.DeleteFunc(s.waiting, func(x *pendingAttempt) bool { return x == p })
}

// crash ends the process, which breaks its connections. A new one starts, cold, after downtime.
func (s *searcher) crash(downtime time.Duration) {
	if !s.up {
		return
	}
	s.stop()
	s.sim.announce(s, eiderwinch.Removed)
	s.sim.after(downtime, s.start)
}

func (s *searcher) stop() {
	s.up, s.draining = false, false
	s.process++
	s.busy, s.waiting = 0, nil
	conns := s.conns
	s.conns = nil
	for _, conn := range conns {
		s.sim.after(s.sim.delay(s.zone, conn.node.zone), func() {
			if !s.sim.isPartitioned(s.zone, conn.node.zone) {
				conn.remoteClosed()
			}
		})
	}
}

func (s *searcher) start() {
	if s.up {
		return
	}
	s.up, s.startedAt, s.slowdown = true, s.sim.now, 1
	s.sim.announce(s, eiderwinch.Ready)
}

// drain announces that the searcher is draining, and ends its process after the given time or a second, whichever
// is longer. A new process starts, cold, 2 s later.
func (s *searcher) drain(duration time.Duration) {
	if !s.up || s.draining {
		return
	}
	s.draining = true
	s.sim.announce(s, eiderwinch.Draining)
	s.sim.after(max(duration, time.Second), func() {
		if s.up && s.draining {
			s.crash(2 * time.Second)
		}
	})
}
