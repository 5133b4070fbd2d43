package membership

import (
	"math"
	"slices"
	"time"
)

// probeNext ends the current probe period and begins the next.
func (c *Core) probeNext() {
	if p := c.probe; p != nil && !p.answered {
		c.counts.Missed++
		// Helpers that do not respond at all suggest that this member is slow, rather than that the target has
		// failed. Helpers that are not alive themselves are not counted: if most of the fleet is gone, missing
		// responses do not mean that this member is slow.
		silent := len(p.helpers) - p.nacks
		for _, name := range p.helpers {
			if helper := c.peers[name]; helper == nil || helper.State != Alive {
				silent--
			}
		}
		if targetPeer := c.peers[p.target]; targetPeer == nil || targetPeer.State != Suspect { // otherwise another member has suspected it before
			c.adjustHealth(1 + max(silent, 0))
		}
		c.suspect(p.target, c.self.Name)
	} else if p != nil {
		c.adjustHealth(-1)
	}
	c.probe = nil
	c.schedule(c.scaleByHealth(c.jitter(c.settings.ProbeInterval)), c.probeNext)
	targetPeer := c.nextTarget()
	if targetPeer == nil || c.leaving {
		return
	}
	c.counts.Probes++
	c.seq++
	p := &probe{target: targetPeer.Name, seq: c.seq}
	c.probe = p
	m := message{Kind: ping, To: targetPeer.Name, Seq: p.seq}
	if targetPeer.State == Suspect { // so that the target learns that it is suspected, and can refute that
		m.Updates = append(m.Updates, c.updateAbout(targetPeer))
	}
	c.send(targetPeer.Addr, m)
	c.schedule(c.scaleByHealth(c.settings.ProbeTimeout), func() { c.requestIndirectProbes(p) })
}

// nextTarget returns the next member to probe. Each is probed once before any is probed again.
func (c *Core) nextTarget() *peer {
	for range 2 {
		for len(c.probeOrder) > 0 {
			name := c.probeOrder[0]
			c.probeOrder = c.probeOrder[1:]
			if p := c.peers[name]; p != nil && p.Active() {
				return p
			}
		}
		for _, m := range c.view.Members {
			if m.Name != c.self.Name {
				c.probeOrder = append(c.probeOrder, m.Name)
			}
		}
		c.rng.Shuffle(len(c.probeOrder), func(i, j int) { c.probeOrder[i], c.probeOrder[j] = c.probeOrder[j], c.probeOrder[i] })
	}
	return nil
}

// requestIndirectProbes asks others to probe a target that has not answered.
func (c *Core) requestIndirectProbes(p *probe) {
	targetPeer := c.peers[p.target]
	if c.probe != p || p.answered || targetPeer == nil {
		return
	}
	for _, helper := range c.pickPeers(c.settings.IndirectProbes, p.target) {
		p.helpers = append(p.helpers, helper.Name)
		c.send(helper.Addr, message{Kind: pingReq, To: helper.Name, Seq: p.seq, TargetAddr: targetPeer.Addr, TargetName: targetPeer.Name})
	}
}

// answerPing replies to a ping.
func (c *Core) answerPing(from string, m message) {
	if m.To != "" && m.To != c.self.Name {
		c.counts.Misdirected++
		return
	}
	c.send(from, message{Kind: ack, To: m.From, Seq: m.Seq})
}

// probeFor probes a member on behalf of another.
func (c *Core) probeFor(from string, m message) {
	if len(c.indirectProbes) >= maxIndirectProbes {
		return
	}
	c.counts.Helped++
	c.seq++
	seq, probe := c.seq, &indirectProbe{requester: from, seq: m.Seq}
	c.indirectProbes[seq] = probe
	c.send(m.TargetAddr, message{Kind: ping, To: m.TargetName, Seq: seq})
	c.schedule(c.settings.ProbeTimeout*4/5, func() {
		if !probe.answered {
			c.send(from, message{Kind: nack, To: m.From, Seq: probe.seq})
		}
	})
	c.schedule(c.settings.ProbeInterval, func() { delete(c.indirectProbes, seq) })
}

// maxIndirectProbes limits the probes made for others at the same time.
const maxIndirectProbes = 256

// handleAck processes the answer to a probe.
func (c *Core) handleAck(m message) {
	switch indirect := c.indirectProbes[m.Seq]; {
	case c.conflict != nil && c.conflict.seq == m.Seq:
		if m.From == c.self.Name && m.Start == c.conflict.member.Incarnation.Start {
			c.stepDown()
		}
	case indirect != nil:
		if !indirect.answered {
			indirect.answered = true
			c.send(indirect.requester, message{Kind: ack, Seq: indirect.seq})
		}
	case c.probe != nil && c.probe.seq == m.Seq:
		c.probe.answered = true
		if p := c.peers[c.probe.target]; p != nil {
			p.recordReceived(c.now.Add(-c.queueDelay()))
		}
	}
}

// suspect records that the member by suspects the named member.
func (c *Core) suspect(name, by string) {
	p := c.peers[name]
	if p == nil || !p.Active() {
		return
	}
	if p.State == Suspect {
		if _, known := p.accusers[by]; known || len(p.accusers) > c.expectedConfirmations() {
			return
		}
		if _, own := p.accusers[c.self.Name]; own && by != c.self.Name {
			c.adjustHealth(-1) // another member suspects it too, so the cause was not that this member is slow
		}
		p.accusers[by] = struct{}{}
		c.queueUpdate(update{Member: p.Member, By: by, Age: ageMillis(c.now, p.lastReceived)})
		c.timers.Set(&p.timer, p.stateSince.Add(c.suspicionTimeout(len(p.accusers)-1)))
		return
	}
	if by == c.self.Name {
		c.counts.Suspected++
	}
	c.setState(p, Suspect)
	p.accusers = map[string]struct{}{by: {}}
	p.timer.Value = func() { c.setState(p, Dead); c.queueUpdate(c.updateAbout(p)) }
	c.timers.Set(&p.timer, c.now.Add(c.suspicionTimeout(0)))
	u := c.updateAbout(p)
	u.By = by
	c.queueUpdate(u)
}

// expectedConfirmations returns how many other members must confirm a suspicion for its timeout to be the shortest.
func (c *Core) expectedConfirmations() int { return max(min(3, c.size()-2), 0) }

// suspicionTimeout returns how long a suspicion lasts if the given number of other members confirm it.
func (c *Core) suspicionTimeout(confirmations int) time.Duration {
	shortest := c.settings.ProbeInterval * time.Duration(c.settings.SuspicionMultiplier)
	shortest = time.Duration(float64(shortest) * c.logSize())
	expected := c.expectedConfirmations()
	if expected == 0 {
		return shortest
	}
	longest := shortest * time.Duration(c.settings.MaxSuspicionFactor)
	fraction := math.Log(float64(confirmations)+1) / math.Log(float64(expected)+1)
	return max(longest-time.Duration(fraction*float64(longest-shortest)), shortest)
}

// reconnectNext contacts a member that is believed dead, or a seed whose address no active member has.
func (c *Core) reconnectNext() {
	c.schedule(c.jitter(c.settings.ReconnectInterval), c.reconnectNext)
	if c.leaving {
		return
	}
	var targets []string
	activeAddrs := map[string]bool{c.self.Addr: true}
	for _, p := range c.peers {
		if p.State == Dead {
			targets = append(targets, p.Addr)
		}
		if p.Active() {
			activeAddrs[p.Addr] = true
		}
	}
	for _, seed := range c.seeds {
		if !activeAddrs[seed] {
			targets = append(targets, seed)
		}
	}
	if len(targets) > 0 {
		slices.Sort(targets) // map order is random, but the choice must depend on the seed alone
		c.sendSync(targets[c.rng.IntN(len(targets))], "", sync)
	}
}

// syncNext exchanges the full state with one other member.
func (c *Core) syncNext() {
	c.schedule(c.jitter(c.settings.SyncInterval), c.syncNext)
	if p := c.pickPeers(1); len(p) > 0 && !c.leaving {
		c.sendSync(p[0].Addr, p[0].Name, sync)
	}
}
