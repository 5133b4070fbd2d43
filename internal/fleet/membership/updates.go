package membership

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// queuedUpdate is an update that is being passed on.
type queuedUpdate struct {
	update
	ageAt     time.Time // time for which Age holds
	maxBytes  int       // upper limit of its encoded size, whatever its age when it is sent
	sendsLeft int       // number of times that it is still to be sent
}

// ageBytes is the number of bytes by which an encoded update may grow as its age grows.
const ageBytes = 8

func ageMillis(now, since time.Time) uint64 { return uint64(max(now.Sub(since), 0) / time.Millisecond) }

// updateAbout returns the update to send about a member. The age of an active member counts from when a message was
// last received from it, even if it has become suspect since: a member that has forgotten it must not count it as
// active again because of the suspicion.
func (c *Core) updateAbout(p *peer) update {
	since := p.stateSince
	if p.Active() {
		since = p.lastReceived
	}
	return update{Member: p.Member, Age: ageMillis(c.now, since)}
}

// queueUpdate queues an update to be passed on. It replaces an older update about the member.
func (c *Core) queueUpdate(u update) {
	c.queue = slices.DeleteFunc(c.queue, func(q *queuedUpdate) bool { return q.Name == u.Name })
	c.queue = append(c.queue, &queuedUpdate{u, c.now, u.size() + ageBytes, c.settings.RetransmitMultiplier * int(math.Ceil(c.logSize()))})
	if !c.gossipTimer.IsSet() {
		c.timers.Set(&c.gossipTimer, c.now.Add(c.jitter(c.settings.GossipInterval)))
	}
}

// takeUpdates returns queued updates that fit into room bytes together with those already included, the least sent
// ones first. Updates that have been sent often enough leave the queue.
func (c *Core) takeUpdates(room int, included []update) (out []update) {
	c.tokens = min(c.tokens+c.now.Sub(c.tokensAt).Seconds()*float64(c.settings.MaxUpdateBytesPerSecond), float64(c.settings.MaxUpdateBytesPerSecond))
	c.tokensAt = c.now
	for _, u := range included {
		room -= u.size()
	}
	slices.SortStableFunc(c.queue, func(a, b *queuedUpdate) int { return cmp.Compare(b.sendsLeft, a.sendsLeft) })
	for _, q := range c.queue {
		if q.maxBytes > room || slices.ContainsFunc(included, func(u update) bool { return u.Name == q.Name }) {
			continue
		}
		if float64(q.maxBytes) > c.tokens {
			c.counts.Throttled++
			break
		}
		room -= q.maxBytes
		c.tokens -= float64(q.maxBytes)
		q.sendsLeft--
		u := q.update
		u.Age += ageMillis(c.now, q.ageAt)
		out = append(out, u)
	}
	c.queue = slices.DeleteFunc(c.queue, func(q *queuedUpdate) bool { return q.sendsLeft <= 0 })
	return out
}

// gossip passes updates on to some other members.
func (c *Core) gossip() {
	for _, p := range c.pickPeers(c.settings.Fanout) {
		if len(c.queue) == 0 {
			return
		}
		c.send(p.Addr, message{Kind: gossip, To: p.Name})
	}
	if len(c.queue) > 0 {
		c.timers.Set(&c.gossipTimer, c.now.Add(c.jitter(c.settings.GossipInterval)))
	}
}

// sendSync sends the full state.
func (c *Core) sendSync(to, name string, k kind) {
	m := message{Kind: k, To: name, Updates: []update{{Member: c.self}}}
	for _, p := range c.peers {
		u := c.updateAbout(p)
		if !p.Active() && u.age() > c.settings.ForgetAfter/2 {
			continue // a member that has forgotten it must not learn of it again
		}
		m.Updates = append(m.Updates, u)
	}
	slices.SortFunc(m.Updates[1:], func(a, b update) int { return byName(a.Member, b.Member) })
	c.send(to, m)
}

// receive processes a message.
func (c *Core) receive(received Received) {
	c.counts.Received++
	m, err := decode(received.Data)
	switch {
	case err == nil:
	case m.Version != 0 && m.Kind != refusal && m.From != "":
		c.counts.Refused++
		c.warn("%v, from %.128q at %s", err, m.From, received.From)
		c.send(received.From, message{Kind: refusal, To: m.From})
		return
	default:
		c.counts.Malformed++
		return
	}
	if m.From == c.self.Name && m.Start == c.self.Incarnation.Start {
		return // its own message came back
	}
	if p := c.peers[m.From]; p != nil && p.Incarnation.Start == m.Start {
		p.recordReceived(c.now.Add(-c.queueDelay()))
	}
	for _, u := range m.Updates {
		u.Age += uint64(c.queueDelay() / time.Millisecond)
		c.applyUpdate(u)
	}
	if c.steppedDown {
		return
	}
	switch m.Kind {
	case ping:
		c.answerPing(received.From, m)
	case ack:
		c.handleAck(m)
	case pingReq:
		c.probeFor(received.From, m)
	case nack:
		if c.probe != nil && c.probe.seq == m.Seq {
			c.probe.nacks++
		}
	case sync:
		if m.To == "" || m.To == c.self.Name {
			c.sendSync(received.From, m.From, syncReply)
		}
	case refusal:
		c.counts.Refused++
		c.warn("%.128q at %s does not understand version %d", m.From, received.From, Version)
	}
	if m.Kind == ack {
		c.compareDigests(received.From, m)
	}
	if p := c.peers[m.From]; m.Kind != sync && m.Kind != syncReply && m.From != c.self.Name && (p == nil || !p.Active() && p.State != Left) {
		// The sender is alive and does not know that it is believed dead here, or it is not known here at all.
		c.sendSync(received.From, m.From, sync)
	}
}

// queueDelay returns how long a message that arrives now may have waited: as long as this member did not run, if it
// resumed just before.
func (c *Core) queueDelay() time.Duration {
	if c.now.Before(c.stallUntil) {
		return c.stallDuration
	}
	return 0
}

// recordReceived records the time at which a message was received from a member.
func (p *peer) recordReceived(at time.Time) {
	if at.After(p.lastReceived) {
		p.lastReceived = at
	}
}

// maxMismatches is how many consecutive answers may come from members with other digests before the full state is
// exchanged with one of them: updates may have been lost on all paths.
const maxMismatches = 3

// compareDigests records whether another member has the same view with the same contents, and requests the full state
// after too many mismatches.
func (c *Core) compareDigests(from string, m message) {
	if m.Digest == c.view.Digest && m.ContentDigest == c.contentDigest || len(c.queue) > 0 {
		c.mismatches = 0
		return
	}
	if c.mismatches++; c.mismatches >= maxMismatches {
		c.mismatches = 0
		c.sendSync(from, m.From, sync)
	}
}

// applyUpdate processes an update about a member.
func (c *Core) applyUpdate(u update) {
	if c.steppedDown {
		return
	}
	if u.Name == c.self.Name {
		c.applySelfUpdate(u)
		return
	}
	p := c.peers[u.Name]
	if p == nil {
		c.addMember(u)
		return
	}
	received := c.now.Add(-u.age())
	switch order := u.Incarnation.Compare(p.Incarnation); {
	case order < 0:
		return
	case order > 0:
		if u.State == Alive && p.State == Suspect {
			c.counts.Mistaken++
		}
	case u.State < p.State:
		if u.State == Alive && p.Active() {
			p.recordReceived(received) // another member has received a message from it more recently
		}
		return
	case u.State == p.State:
		if u.State == Suspect && u.By != "" {
			c.suspect(u.Name, u.By)
		}
		if u.State == Alive {
			p.recordReceived(received)
		}
		if p.Generation == u.Generation && p.Epoch == u.Epoch && p.Addr == u.Addr {
			return
		}
	}
	if u.State == Suspect && p.State == Alive && u.Incarnation == p.Incarnation {
		c.suspect(u.Name, cmp.Or(u.By, u.Name))
		return
	}
	previous := p.Member
	c.viewChanged = c.viewChanged || previous.Incarnation.Start != u.Incarnation.Start ||
		previous.Generation != u.Generation || previous.Epoch != u.Epoch || previous.Addr != u.Addr
	p.Member = u.Member
	p.State = previous.State
	p.lastReceived = received
	if u.State == Suspect {
		c.setState(p, Alive)
		c.suspect(u.Name, cmp.Or(u.By, u.Name))
		return
	}
	c.setState(p, u.State)
	p.stateSince = received
	c.queueUpdate(u)
}

// addMember processes an update about a member that was not known.
func (c *Core) addMember(u update) {
	if u.age() > c.settings.ForgetAfter/2 {
		c.counts.Rumours++
		return
	}
	if len(c.peers)+1 >= c.settings.MaxMembers {
		c.counts.Full++
		return
	}
	p := &peer{Member: u.Member, lastReceived: c.now.Add(-u.age()), stateSince: c.now.Add(-u.age())}
	p.State = Alive
	c.peers[u.Name] = p
	if u.State == Suspect {
		c.viewChanged = true
		c.emit(MemberChanged{Member: p.Member, New: true})
		c.suspect(u.Name, cmp.Or(u.By, u.Name))
		return
	}
	p.State = u.State
	c.resetTimer(p)
	if p.Active() {
		c.viewChanged = true
	}
	c.emit(MemberChanged{Member: p.Member, New: true})
	if len(c.probeOrder) > 0 || p.Active() { // it is probed in this round, at a random position
		c.probeOrder = slices.Insert(c.probeOrder, c.rng.IntN(len(c.probeOrder)+1), u.Name)
	}
	c.queueUpdate(u)
}

// setState records a new state of a member.
func (c *Core) setState(p *peer, state State) {
	previous := p.State
	if previous == state && p.timer.IsSet() == (state != Alive) {
		return
	}
	p.State, p.stateSince = state, c.now
	c.resetTimer(p)
	if previous != state {
		c.viewChanged = c.viewChanged || (previous <= Suspect) != (state <= Suspect)
		c.emit(MemberChanged{Member: p.Member, Previous: previous})
	}
}

// resetTimer stops or sets a member's timer according to its state.
func (c *Core) resetTimer(p *peer) {
	p.accusers = nil
	switch p.State {
	case Alive:
		c.timers.Stop(&p.timer)
	case Dead, Left:
		name := p.Name
		p.timer.Value = func() { delete(c.peers, name) }
		c.timers.Set(&p.timer, p.stateSince.Add(c.settings.ForgetAfter))
	}
}

// applySelfUpdate processes an update about the member itself.
func (c *Core) applySelfUpdate(u update) {
	own := c.self.Incarnation
	switch {
	case u.Incarnation.Start < own.Start:
	case u.Incarnation.Start == own.Start:
		if u.State == Alive || u.Incarnation.Seq < own.Seq || c.leaving {
			return
		}
		c.counts.Contradicted++
		c.adjustHealth(1)
		c.self.Incarnation.Seq = u.Incarnation.Seq + 1
		c.announceSelf()
	case u.Addr == c.self.Addr || u.State == Dead || u.State == Left:
		// The update is about an earlier process, whose clock was ahead: no other process can be at this member's
		// address, and one that is gone does not compete for the name.
		c.supersede(u.Incarnation)
	case c.conflict == nil || c.conflict.member.Incarnation.Start < u.Incarnation.Start:
		// The update is about another process, which may no longer exist: ping it to find out.
		c.seq++
		conflict := &nameConflict{member: u.Member, seq: c.seq}
		c.conflict = conflict
		for i := range conflictPings {
			c.schedule(time.Duration(i)*c.settings.ProbeInterval, func() {
				if c.conflict == conflict {
					c.send(u.Addr, message{Kind: ping, To: c.self.Name, Seq: conflict.seq})
				}
			})
		}
		c.schedule(conflictPings*c.settings.ProbeInterval, func() {
			if c.conflict == conflict {
				c.conflict = nil
				c.supersede(u.Incarnation)
			}
		})
	}
}

// supersede makes the member newer than a process of its name that no longer exists.
func (c *Core) supersede(other Incarnation) {
	c.self.Incarnation = Incarnation{Start: other.Start + 1}
	c.announceSelf()
}

// conflictPings is the number of pings to another process with the member's name that find out whether it exists.
const conflictPings = 5

// stepDown ends the member because a newer process has its name.
func (c *Core) stepDown() {
	c.steppedDown = true
	c.warn("a newer process has the name %q, at %s (start %d, own %d): this one no longer takes part",
		c.self.Name, c.conflict.member.Addr, c.conflict.member.Incarnation.Start, c.self.Incarnation.Start)
	c.emit(SteppedDown{c.conflict.member})
}
