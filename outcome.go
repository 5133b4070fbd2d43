package eiderwinch

// What outcomes say of servers, and the news of the list.

// takeOutcome books how an attempt ended.
func (a *Aggregator) takeOutcome(e Outcome) {
	p := a.parts[e.Part]
	if p == nil || e.Attempt < 0 || e.Attempt >= len(p.attempts) || p.attempts[e.Attempt].over {
		return
	}
	t := p.attempts[e.Attempt]
	t.over = true
	p.open--
	a.release(t)
	a.learn(t, e)
	t.never = e.Status == Full || e.Status == NoConnection || e.Status == NotSent
	if e.Status == OK && !p.in && !p.over {
		if p.open > 0 && t.number > 0 {
			a.copies = min(a.copies+1, copyMost) // it paid: another may
		}
		p.in = true
		p.query.in += p.Weight
		a.recall(p)
	}
	if p.over && p.open == 0 {
		delete(a.parts, p.ID)
	}
}

// learn draws on an outcome for the usual times, the server's window and its record.
func (a *Aggregator) learn(t *attempt, e Outcome) {
	s, c := t.server, t.part.query.class
	if e.Load != nil {
		s.queue, s.heard = e.Load.Waiting, a.now
	}
	took := float64(a.now - t.sent)
	if e.Took > 0 {
		took = min(took, float64(e.Took))
	}
	pace := blend(s.pace, took/max(a.usual, 1), learnOne)
	if a.usual == 0 {
		pace = s.pace
	}
	switch e.Status {
	case OK:
		s.lastOK, s.newest, s.down = a.now, max(s.newest, t.sent), false
		if t.fresh {
			a.dead = max(a.dead-learn*learn, 0) // so it is forgotten in time
		} else if float64(t.idle) >= a.stale {
			a.dead = max(a.dead-learnOne, 0)
		}
		if t.alone {
			step := quickest // towards the time that so many calls stay under
			if took < c.work {
				step -= 1
			}
			c.work *= 1 + learn*step
		}
		s.pace = pace
		a.usual = blend(a.usual, took, learn)
		c.usual = blend(c.usual, took, learn)
		if took > float64(c.Aim)/targetShare {
			a.narrow(s, t)
		} else if float64(len(s.out)+1) >= s.window/2 {
			s.window = min(s.window+1/s.window, float64(2*a.set.Batch))
		}
		if took > float64(a.overdueAfter(c)) {
			a.blame(s, t, lateBlame)
		} else {
			a.praise(s, t)
		}
	case Failed, Reset, NoConnection:
		if e.Status == Reset {
			t.reset = true
			a.lost(t, e)
		}
		if e.Status == NoConnection {
			s.down, a.closeAt = true, a.now+a.set.ColdFor
		}
		a.blame(s, t, 1)
	case TimedOut, Full, Cancelled:
		if e.Status == Full {
			a.spot(t.part.Part).ease(easeDown / 4)
		}
		a.lost(t, e)
		s.pace = max(s.pace, pace) // it would have taken longer
		if e.Status != Cancelled {
			a.narrow(s, t)
		}
		if e.Status != Cancelled || took > float64(a.overdueAfter(c)) {
			a.blame(s, t, lateBlame)
		}
	}
}

// lost counts calls that were lost and after how long without an answer from their server; once more are lost
// than answered, renew closes a server's connections before a call if it has brought no answer for as long: a
// guard against connections that die while idle, of which an aggregator has many where its calls are rare.
// Hung servers mislead it: that costs handshakes. None are closed for a while after one was not to be had.
func (a *Aggregator) lost(t *attempt, e Outcome) {
	idled := t.idle > 0 && !t.fresh && e.Status != Full && (e.Status == Reset || t.server.overdue)
	if !idled || t.sent < t.server.judged {
		return
	}
	if a.dead == 0 || float64(t.idle) < a.stale {
		a.stale = float64(t.idle)
	}
	a.dead = min(a.dead+1, 2*deadSure)
}

func (a *Aggregator) renew(s *server) bool {
	idle := float64(a.now - s.lastOK)
	if a.dead < deadSure || s.lastOK == 0 || idle < a.stale || len(s.out) > 0 || a.now < a.closeAt {
		return false
	}
	a.do(Disconnect{s.ID})
	return true
}

// narrow shrinks a server's window, once a call.
func (a *Aggregator) narrow(s *server, t *attempt) {
	if t.sent >= s.judged {
		s.window = max(s.window*shrink, 1)
	}
}

// takeList follows the list of servers.
func (a *Aggregator) takeList(e ListChange) {
	if e.Kind == NoList {
		a.asked = false
		a.askWait = max(2*a.askWait, 20*a.set.Tick)
		if a.set.AskWithin > 0 {
			a.askWait = min(a.askWait, a.set.AskWithin/8)
		}
		a.askAt = a.now + a.askWait
		return
	}
	a.askWait, a.left = 0, true
	a.forgetHolders()
	if e.Kind != Changes {
		for _, s := range a.servers {
			s.listed, s.State = false, Removed // those that are in it are entered below
		}
	}
	for _, r := range e.Replicas {
		s := a.byID[r.ID]
		if s == nil {
			s = a.enter(r.ID)
			s.window = float64(a.set.Batch)
		} else if r.Started > s.Started { // a new process: nothing that was known of the old one holds
			s.record, s.aside, s.down, s.window, s.pace, s.heard = 0, false, false, 1, 0, 0
		}
		s.Replica = r
		s.listed = r.State == Ready
	}
}
