package emulator

import (
	"slices"
	"time"

	"eiderwinch"
	"eiderwinch/internal/fleet/share"
	"eiderwinch/internal/gatherer"
	"eiderwinch/internal/stats"
)

// node is one gatherer: the real core and the real decision module, with modelled connections.
type node struct {
	sim           *simulation
	number        int
	zone          int
	process       int  // number of the current process, by which delayed events recognise that it has ended
	down          bool // killed and not started again yet
	core          *gatherer.Core
	counters      *stats.Counters
	runTimer      event
	conns         map[string]*searcherConn
	pending       map[*gatherer.Attempt]*pendingAttempt
	inFlight      map[string]int       // number of attempts in flight by part
	answered      map[string]time.Time // when the first whole answer to a part was received, by part
	knownRevision map[string]int       // revision of the last update received about each searcher
	drainingSince map[string]time.Time // when it was notified that a searcher drains or is gone
	holder        *share.Holder        // nil if the fleet's limits are not divided
	notifiedShare share.Share          // the last share that the core was notified of
	shareTimer    event
	downAt        time.Time
}

// searcherConn is a gatherer's connection to a searcher.
type searcherConn struct {
	node     *node
	searcher *searcher
	open     bool
	dialing  bool
	waiting  []*pendingAttempt
}

// pendingAttempt is an attempt that the core has handed to the modelled network.
type pendingAttempt struct {
	attempt        *gatherer.Attempt
	conn           *searcherConn
	partID         string
	class          int
	idempotencyKey string
	firstOfCall    bool // the first attempt of a call takes the cost of the call
	ended          bool
	sent           bool
}

// start starts a gatherer process. It gets the current member list of discovery.
func (n *node) start() {
	n.process++
	n.down = false
	sim := n.sim
	n.counters = stats.New()
	n.conns, n.pending = make(map[string]*searcherConn), make(map[*gatherer.Attempt]*pendingAttempt)
	n.answered = make(map[string]time.Time)
	n.inFlight, n.knownRevision, n.drainingSince = make(map[string]int), make(map[string]int), make(map[string]time.Time)
	n.runTimer.Value = n.run
	moduleSettings := sim.settings(n.number, zoneName(n.zone), sim.rng.Uint64())
	n.core = gatherer.New(gatherer.Settings{
		Module: moduleSettings, Tick: tick, MaxOpen: sim.MaxOpen,
	}, eiderwinch.New(moduleSettings), n, n.counters, sim.log, sim.now)
	var list []gatherer.Member
	for _, s := range sim.searchers {
		n.knownRevision[s.id] = s.revision
		if s.up {
			state := eiderwinch.Ready
			if s.draining {
				state = eiderwinch.Draining
				n.drainingSince[s.id] = sim.now
			}
			list = append(list, s.member(state))
		}
	}
	n.core.UpdateMembers(sim.now, eiderwinch.Whole, list)
	if sim.Lease > 0 {
		n.startSharing(moduleSettings.Seed)
	}
	n.scheduleRun()
}

// peerDetectionDelay is how long the other gatherers still count a gatherer as alive after it has died. In the
// real protocol that takes some probe periods and a suspicion timeout, see package membership.
const peerDetectionDelay = 1500 * time.Millisecond

// startSharing makes a process that has just started take part in dividing the fleet's limits. A process must
// first wait until the leases of the gatherer's previous process have ended. A gatherer's first process has no
// previous one, so its start is dated back by that wait.
func (n *node) startSharing(seed uint64) {
	sim := n.sim
	settings := share.Settings{Slots: sim.Gatherers, Number: n.number, Lease: sim.Lease, Window: sim.ColdOverloadLimit, Seed: seed}
	startedAt := sim.now
	if n.process == 1 {
		startedAt = startedAt.Add(-settings.Wait())
	}
	h, err := share.New(settings, startedAt)
	if err != nil {
		sim.result.addBreach("%v", err)
		return
	}
	n.holder, n.notifiedShare = h, share.Share{Slots: 1}
	n.updateShare(n.process)
}

// updateShare determines which slots the process holds, and schedules itself again as long as the process lives.
func (n *node) updateShare(process int) {
	sim := n.sim
	if n.process != process || n.down {
		return
	}
	alive := func(slot int) bool {
		other := sim.nodes[slot]
		return !other.down || sim.now.Sub(other.downAt) < peerDetectionDelay
	}
	if len(sim.nodes) == sim.Gatherers {
		// connect opens a connection to the gatherer of a slot, which runs onArrival. onReply then handles the
		// outcome at n: the reply, a refusal, or no answer.
		connect := func(slot int, onArrival func(*node) share.Reply, onReply func(share.Reply)) {
			other, reply := sim.nodes[slot], share.Reply{}
			delay, partitioned := sim.delay(n.zone, other.zone), sim.isPartitioned(n.zone, other.zone)
			sim.after(delay, func() {
				switch {
				case partitioned:
					delay = sim.Lease / 2
				case other.down:
					reply.Kind = share.Refused
				default:
					reply = onArrival(other)
				}
				sim.after(delay, func() {
					if n.process == process && !n.down {
						onReply(reply)
						n.updateShare(process)
					}
				})
			})
		}
		for _, dial := range n.holder.NextDials(sim.now, alive) {
			connect(dial.Slot, func(*node) share.Reply { return share.Reply{} },
				func(r share.Reply) { n.holder.DialEnded(sim.now, dial, r.Kind == share.Refused) })
		}
		if slot, ok := n.holder.NextQuestion(sim.now); ok {
			connect(slot, func(other *node) share.Reply { return other.holder.Answer(sim.now, n.number) },
				func(r share.Reply) { n.holder.QuestionEnded(sim.now, r) })
		}
	}
	if s := n.holder.Share(sim.now); s != n.notifiedShare {
		n.notifiedShare = s
		n.core.SetShare(sim.now, s.Slots, s.Until)
		n.scheduleRun()
	}
	n.shareTimer.Value = func() { n.updateShare(process) }
	sim.events.Set(&n.shareTimer, n.holder.Due(sim.now))
}

// kill ends the process. Its open queries get no answer, and it accepts nothing until it is started again.
func (n *node) kill() {
	n.closeConnections()
	n.process++
	n.down, n.downAt = true, n.sim.now
	n.sim.events.Stop(&n.runTimer)
}

// restart ends the process and starts a new one at once. Open queries get no answer: their clients see their
// connections break.
func (n *node) restart() {
	n.closeConnections()
	n.start()
}

// closeConnections closes the connections to the searchers and those of the clients with open queries.
func (n *node) closeConnections() {
	for _, conn := range n.conns {
		conn.open = false
	}
	for _, c := range slices.Clone(n.sim.result.open) { // a copy, since each client removes itself
		if c.node == n && !c.ended {
			c.gathererDied()
		}
	}
}

// scheduleRun sets the timer to the time of the core's next run.
func (n *node) scheduleRun() {
	if at := n.core.NextRun(); at.IsZero() {
		n.sim.events.Stop(&n.runTimer)
	} else if !n.runTimer.IsSet() || !n.runTimer.At().Equal(at) {
		n.sim.events.Set(&n.runTimer, at)
	}
}

func (n *node) run() {
	n.core.Run(n.sim.now)
	n.sim.result.Turns++
	n.scheduleRun()
}

// handleUpdate passes an update about a searcher to the core, unless a newer one has arrived before it.
func (n *node) handleUpdate(s *searcher, revision int, state eiderwinch.State) {
	if n.down || revision <= n.knownRevision[s.id] {
		return
	}
	n.knownRevision[s.id] = revision
	if state == eiderwinch.Ready {
		delete(n.drainingSince, s.id)
	} else if _, known := n.drainingSince[s.id]; !known {
		n.drainingSince[s.id] = n.sim.now
	}
	n.core.UpdateMembers(n.sim.now, eiderwinch.Changes, []gatherer.Member{s.member(state)})
	n.scheduleRun()
}

// Call implements gatherer.Searchers.
func (n *node) Call(now time.Time, attempts []*gatherer.Attempt) {
	s := n.sim.searcherByID[attempts[0].Searcher]
	conn := n.conns[s.id]
	if conn == nil || !conn.open && !conn.dialing {
		conn = &searcherConn{node: n, searcher: s}
		n.conns[s.id] = conn
		conn.dial()
	}
	for i, a := range attempts {
		p := &pendingAttempt{attempt: a, conn: conn, partID: a.PartID(), class: n.sim.result.classOf(a.Trace), idempotencyKey: a.Key, firstOfCall: i == 0}
		n.pending[a] = p
		n.inFlight[p.partID]++
		switch inFlight := n.inFlight[p.partID]; {
		case inFlight == 2 && !n.sim.SecondCopies:
			n.sim.result.addBreach("part %s has two attempts in flight", p.partID)
		case inFlight == 2:
			n.sim.result.SecondCopies++
		case inFlight > 2:
			n.sim.result.addBreach("part %s has %d attempts in flight", p.partID, inFlight)
		}
		if !s.holds(a.Shard) {
			n.sim.result.addBreach("part %s was sent to %s, which does not hold its shard", p.partID, s.id)
		}
		if conn.open {
			conn.send(p)
		} else {
			conn.waiting = append(conn.waiting, p)
		}
	}
}

// endAttempt removes an attempt from those in flight. It returns false if the attempt had ended already.
func (n *node) endAttempt(p *pendingAttempt) bool {
	if p.ended {
		return false
	}
	p.ended = true
	delete(n.pending, p.attempt)
	if n.inFlight[p.partID]--; n.inFlight[p.partID] == 0 {
		delete(n.inFlight, p.partID)
	}
	return true
}

// Abandon implements gatherer.Searchers.
func (n *node) Abandon(a *gatherer.Attempt) {
	p := n.pending[a]
	if p == nil || !n.endAttempt(p) || !p.sent {
		return
	}
	conn := p.conn
	n.sim.after(n.sim.delay(n.zone, conn.searcher.zone), func() {
		if conn.open && !n.sim.isPartitioned(n.zone, conn.searcher.zone) {
			conn.searcher.cancel(p)
		}
	})
}

// DataUnread implements gatherer.Searchers: in virtual time all data is read as it arrives.
func (*node) DataUnread(*gatherer.Attempt) bool { return false }

// DataBehind implements gatherer.Searchers: answers are never provisional.
func (*node) DataBehind(*gatherer.Attempt) bool { return false }

// CloseIdle implements gatherer.Searchers.
func (n *node) CloseIdle(searcher string) {
	conn := n.conns[searcher]
	if conn == nil || !conn.open {
		return
	}
	for _, p := range n.pending {
		if p.conn == conn {
			return
		}
	}
	conn.open = false
	delete(n.conns, searcher)
}

// handleResult passes a searcher's answer to the core.
func (n *node) handleResult(p *pendingAttempt, status eiderwinch.Status, load *eiderwinch.Load) {
	n.recordAnswer(p, status)
	if !n.endAttempt(p) {
		if status == eiderwinch.OK {
			n.core.LateResult(n.sim.now, p.attempt, false, int64(p.attempt.Shard), "v")
			n.scheduleRun()
		}
		return
	}
	p.attempt.Load = load
	n.core.Result(n.sim.now, p.attempt, status, int64(p.attempt.Shard), "v")
	n.scheduleRun()
}

// answersRemembered is how many answered parts a node remembers at most.
const answersRemembered = 1 << 14

// recordAnswer records that a part was answered: nothing may be sent for it from now on.
func (n *node) recordAnswer(p *pendingAttempt, status eiderwinch.Status) {
	if _, known := n.answered[p.partID]; known || status != eiderwinch.OK {
		return
	}
	if len(n.answered) == answersRemembered {
		clear(n.answered)
	}
	n.answered[p.partID] = n.sim.now
}

// dial opens the connection. It fails after a round trip if the searcher's process is dead, since its host
// refuses the connection, and after ConnectTimeout if the zones are partitioned, since nothing answers.
func (c *searcherConn) dial() {
	sim, n := c.node.sim, c.node
	c.dialing = true
	process := n.process
	delay := sim.delay(n.zone, c.searcher.zone)
	if sim.isPartitioned(n.zone, c.searcher.zone) {
		sim.after(sim.ConnectTimeout, func() { c.dialFailed(process) })
		return
	}
	sim.after(2*delay, func() {
		if n.process != process {
			return
		}
		if !c.searcher.up || sim.isPartitioned(n.zone, c.searcher.zone) {
			c.dialFailed(process)
			return
		}
		c.dialing, c.open = false, true
		c.searcher.conns = append(slices.DeleteFunc(c.searcher.conns, func(x *searcherConn) bool { return !x.open }), c)
		waiting := c.waiting
		c.waiting = nil
		for _, p := range waiting {
			if p.ended {
				continue
			}
			if n.core.MaySend(sim.now, p.attempt) {
				c.send(p)
			} else if n.endAttempt(p) {
				n.core.NotSent(sim.now, p.attempt)
			}
		}
		n.scheduleRun()
	})
}

// dialFailed reports the attempts that wait for the connection to the core as not sent, which means that the
// searcher has not run them.
func (c *searcherConn) dialFailed(process int) {
	n := c.node
	if n.process != process {
		return
	}
	c.dialing = false
	if n.conns[c.searcher.id] == c {
		delete(n.conns, c.searcher.id)
	}
	for _, p := range c.waiting {
		if n.endAttempt(p) {
			n.core.NotSent(n.sim.now, p.attempt)
		}
	}
	c.waiting = nil
	n.scheduleRun()
}

// maxSendAfterDrain is how long a gatherer may still send parts to a searcher after it was notified of its drain.
const maxSendAfterDrain = 500 * time.Millisecond

// send sends an attempt to the searcher.
func (c *searcherConn) send(p *pendingAttempt) {
	sim, n := c.node.sim, c.node
	p.sent = true
	sim.result.Sent++
	if at, answered := n.answered[p.partID]; answered {
		sim.result.addBreach("part %s was sent to %s %v after its answer", p.partID, c.searcher.id, sim.now.Sub(at))
	}
	if at, draining := n.drainingSince[c.searcher.id]; draining && sim.now.Sub(at) > maxSendAfterDrain {
		sim.result.addBreach("part %s was sent to %s %v after notice of its drain", p.partID, c.searcher.id, sim.now.Sub(at))
	}
	process := c.searcher.process
	sim.after(sim.delay(n.zone, c.searcher.zone), func() {
		if !c.open || c.searcher.process != process || sim.isPartitioned(n.zone, c.searcher.zone) {
			return // lost: the attempt ends when its gatherer detects that the connection broke, or by its timeout
		}
		c.searcher.receive(p)
	})
}

// remoteClosed handles the end of the connection by the searcher: it reports all attempts on it as failed.
func (c *searcherConn) remoteClosed() {
	if !c.open {
		return
	}
	c.open = false
	n := c.node
	if n.conns[c.searcher.id] == c {
		delete(n.conns, c.searcher.id)
	}
	var lost []*pendingAttempt
	for _, p := range n.pending {
		if p.conn == c {
			lost = append(lost, p)
		}
	}
	sortAttempts(lost) // the map is iterated in random order, but a run must be deterministic
	for _, p := range lost {
		if n.endAttempt(p) {
			n.core.ConnectionBroken(n.sim.now, p.attempt)
		}
	}
	n.scheduleRun()
}
