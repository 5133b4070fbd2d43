// Package eiderwinch makes the decisions of an aggregator: which replica gets which part of a query, for how
// long, and when and how each query ends. Its interface, settings, events and actions, is in api.go.
//
// A broker makes one Aggregator with New and calls Turn whenever something has happened, with all that has
// happened, in order. Each turn
//
//  1. takes in the events: queries, of which only a share may start when the servers are overloaded,
//     outcomes, news of the list;
//  2. judges the servers by what they have out and by how calls ended;
//  3. settles the queries that are whole, too late, without hope or deadly to servers;
//  4. gathers the parts to be sent: first tries, other tries, second copies;
//  5. gives them to the fewest servers that can take them, one call each;
//  6. asks to be woken when next something falls due.
//
// An Aggregator is deterministic, does no I/O and is for one goroutine only. Unknown ids and repeated or
// late events are ignored.
package eiderwinch

import (
	"cmp"
	"hash/fnv"
	"maps"
	"slices"
	"time"
)

// The constants. Times come from the settings and from what is observed; these are plain ratios.
const (
	slack = 1e-6 // weights may fall short of a share by so much: they are rounded on their way

	learn     = 0.05 // weight of one call in the fleet's usual time: some twenty calls make it
	learnOne  = 0.3  // weight of one call in a server's record: two bad calls outweigh its past
	lateBlame = 0.5  // an overdue call counts half a failed one: ordinary stalls make calls late
	asideAt   = 0.28 // record from which a server is set aside: one failure or three late calls

	overdueTimes = 2.5 // a part is overdue after so many usual times,
	overdueLeast = 4   // but not before this fraction (1/4) of its class's aim,
	overdueMost  = 2   // and at this fraction (1/2) at the latest: a second copy needs the rest
	overdueFar   = 8   // after so many usual times it is, however long the aim: few calls take half as long
	copyTimes    = 5   // after so many from a server without any answer a second copy may go: two calls' time
	trialTimes   = 4   // after so many a server set aside gets its first trial: most calls have ended then

	queueApart = 2   // queues that differ by more parts are not alike: reports are noisy and late
	queueShare = 0.5 // a part that waits there counts so much of one that is out: some are among those out
	queueTimes = 2   // a report counts for so many usual times: by then other parts wait

	deadSlow  = 1.5 // so many times that from a server known to be slow: its calls do end
	deadTimes = 4   // after so many usual times without any answer a connection is taken to be dead

	deadSure    = 2    // calls lost on idle connections, less those answered, that make it sure that they die
	targetShare = 4    // a window shrinks on calls longer than this fraction (1/4) of the aim
	paceApart   = 0.3  // servers whose calls differ by so much of the usual time are not alike
	easeUp      = 0.2  // an answer early by all its aim lets so much more start
	easeDown    = 0.2  // each late part lets so much less start
	shareLeast  = 0.15 // some must start: only they tell when the trouble is over
	pulse       = 20   // ticks between turns at most: a longer gap is this aggregator's own standing still
	look        = 4    // the same while a query is open
	turnsUsed   = 2    // a turn at a cold server mostly passes unused: so many shares are given out
	turnsQuick  = 2    // times as many at one that answers as quickly as others: it has cores to spare
	shrink      = 0.8  // by so much a call: a window halves in three
	copyShare   = 0.03 // second copies for each first try: more would feed an overload
	copyEasy    = 0.1  // the same while calls are well within their aim: then there is room for them
	copyMost    = 10   // second copies saved up at most, for when a server falls silent
	repeatsEach = 2    // repeats to be expected for each query given up
	firstVotes  = 20   // tries that are remembered when telling first tries from repeats
	firstWork   = 8    // a part's work is taken to be this fraction (1/8) of its aim until calls tell
	quickest    = 0.3  // the share of one-part calls that were served without much waiting
	quickShare  = 0.5  // a part with less than this share of the usual time left goes unsent
)

// New returns an Aggregator that knows nothing but its settings.
func New(s Settings) *Aggregator {
	a := &Aggregator{
		set:   s,
		byID:  make(map[string]*server),
		open:  make(map[uint64]*query),
		parts: make(map[uint64]*part),

		spots:   make(map[int]*spot),
		mix:     make([]float64, len(s.Tenants)),
		crashes: make(map[string]time.Duration),
	}
	a.set.Brokers, a.set.Batch, a.set.Cells = max(s.Brokers, 1), max(s.Batch, 1), max(s.Cells, 1)
	for _, c := range s.Classes {
		a.classes = append(a.classes, &class{Class: c, work: float64(c.Aim) / firstWork})
	}
	return a
}

// Turn takes in what has happened until now and returns what is to be done, in order.
func (a *Aggregator) Turn(now time.Duration, events []Event) []Action {
	a.now, a.actions = now, nil
	a.missed = 0 // a wake that is long due tells of this aggregator's own stall, not of the servers
	if late := now - a.wakeAt; a.wakeAt > 0 && late > pulse*a.set.Tick {
		a.missed, a.stalled = late, now
	}
	for _, e := range events {
		switch e := e.(type) {
		case Query:
			a.takeQuery(e)
		case SecondStep:
			a.takeStep(e)
		case Outcome:
			a.takeOutcome(e)
		case Gone:
			if q := a.open[e.Query]; q != nil {
				a.close(q)
			}
		case ListChange:
			a.takeList(e)
		}
	}
	maps.DeleteFunc(a.crashes, func(_ string, at time.Duration) bool { return now-at >= a.set.ColdFor })
	if a.set.AskForList && !a.asked && a.now >= a.askAt {
		a.asked = true
		a.do(Subscribe{})
	}
	a.judge()
	a.settle()
	a.plan(a.gather())
	a.sweep()
	a.wake()
	return a.actions
}

// takeQuery books a query. First tries of a class all have the same time left; one with another is a client's
// repeat, has all that is left of the deadline, and its aim has been running since the first try. It guards
// against work for repeats that can earn nothing any more.
func (a *Aggregator) takeQuery(e Query) {
	if a.open[e.ID] != nil || e.Class < 0 || e.Class >= len(a.classes) {
		return
	}
	c := a.classes[e.Class]
	q := &query{Query: e, class: c, came: a.now, end: a.now + e.Left, goal: a.now + c.Aim}
	if waited := c.first - e.Left; a.missed > 0 && waited > 0 && waited <= a.missed {
		q.goal -= waited // it came while this aggregator stood still
	} else if !c.firstTry(e.Left, 2*a.set.Tick) && a.repeated(e) {
		q.goal -= max(c.Deadline-e.Left, 0)
	}
	q.goal -= 2 * a.set.Tick // an answer is a turn late and has a way to go
	if c.LateWorth <= 0 {
		q.end = min(q.end, q.goal)
	}
	q.goal = min(q.goal, q.end)
	q.need, q.floor, q.last = c.Need, c.Floor, q.goal
	if c.Fetch > 0 {
		q.goal -= a.overdueAfter(c) // the second step takes a call
	}
	slices.SortStableFunc(q.Parts, func(x, y Part) int { return cmp.Compare(y.Weight, x.Weight) })
	q.shed = !a.admit(q)
	a.book(q)
}

// trim sets the weight that a query aims for and returns how many of its parts make it, the heaviest first:
// under load a query that may be answered in part does without parts that earn less than what is shed does.
func (a *Aggregator) trim(q *query) int {
	c := q.class
	q.want = q.need
	share := a.shareOf(q)
	if share >= 1 || q.floor >= q.need {
		return len(q.Parts)
	}
	w, earns := 0.0, a.worthOf(q)*float64(len(q.Parts))*c.Partial/c.Need
	for i, p := range q.Parts {
		if w >= q.floor && earns*p.Weight < (1-share)*a.worth {
			q.want = min(w, q.need)
			return i
		}
		w += p.Weight
	}
	return len(q.Parts)
}

// takeStep enters the parts of a query's second step, all of which a whole answer needs.
func (a *Aggregator) takeStep(e SecondStep) {
	q := a.open[e.Query]
	if q == nil || q.step != stepAsked {
		return
	}
	q.step, q.Parts, q.parts, q.in, q.goal = stepSecond, e.Parts, nil, 0, q.last
	if q.floor >= q.need {
		q.floor = 1
	}
	q.need, q.want = 1, 1
	a.bookParts(q)
}

// admit tells that a query may start by the share of parts that are to start at each of its spots; ease sets
// those shares by how a query that was started ended: they grow with an early answer, by the square of how
// early, since barely early ones tell of full servers, and shrink with a late end, where its late parts were.
// They are shares of the usual rate, not of what is asked, so bursts and clients' repeats start no more. They
// guard against all aggregators together starting more than the servers can end when each server looks idle
// to each; against the jam after a burst or outage too. They are kept by spot, since at a large fleet few
// servers in trouble would else have the queries shed that do not need them.
func (a *Aggregator) admit(q *query) bool {
	parts := float64(max(len(q.Parts), 1))
	asked := float64(max(a.trim(q), 1))
	worth := a.worthOf(q)
	if q.goal-a.now < time.Duration(q.class.whole) {
		worth *= q.class.LateWorth // most likely late
	}
	worth *= a.inShare(q.Tenant - 1)
	a.worth = blend(a.worth, worth, learn)
	worth *= parts / asked / max(a.worth, slack)
	spots, start := a.spotsOf(q), true
	cost := func(s *spot) float64 { return spots[s] / max(worth, s.share) }
	for s, n := range spots {
		since := 1.0 // in usual gaps between queries; each counts where those are not known yet
		if s.gap > 0 {
			since = float64(a.now-s.took) / s.gap
		}
		if s.share >= 1 && s.took > 0 {
			s.gap = blend(s.gap, float64(a.now-s.took), learn)
		}
		s.took, s.width = a.now, blend(s.width, n, learn)
		s.credit = min(s.credit+s.share*s.width*since, 2*max(cost(s), s.width))
		start = start && (s.share >= 1 || s.credit >= cost(s))
	}
	for s := range spots {
		if start && s.share < 1 {
			s.credit -= cost(s)
		}
	}
	return start
}

// worthOf is what a part of a query earns for its work, all answered in time. Where worth counts by work
// that is its class's: by the query one of wide queries would seem worth least, though it earns most.
func (a *Aggregator) worthOf(q *query) float64 {
	if a.set.WorthByWork {
		return q.class.Worth
	}
	return q.class.Worth / float64(max(len(q.Parts), 1))
}

// inShare is what a tenant's query is worth if the others send here what they usually do, and it the rest.
// Who is no known tenant has no share, or it would be served on that of others.
func (a *Aggregator) inShare(tenant int) float64 {
	if len(a.mix) == 0 {
		return 1
	} else if tenant < 0 || tenant >= len(a.mix) {
		return a.set.OverShare
	}
	for i := range a.mix {
		a.mix[i] *= 1 - learn
	}
	a.mix[tenant] += learn
	share, mix := a.set.Tenants[tenant].Share, a.mix[tenant]
	in := min(share*(1-mix)/max((1-share)*mix, slack), 1)
	return in + (1-in)*a.set.OverShare
}

func (a *Aggregator) ease(q *query) {
	if q.came <= a.stalled {
		return
	}
	if early := 1 - float64(a.now-q.came)/float64(q.class.Aim); early > 0 && q.in >= q.want-slack {
		for s := range a.spotsOf(q) {
			s.share = min(s.share+easeUp*early*early, 1)
		}
		return
	}
	if q.class.easy() {
		return // not load: other calls are quick
	}
	for _, p := range q.parts {
		if !p.in && len(p.attempts) > 0 {
			a.spot(p.Part).ease(easeDown)
		}
	}
}

// easy tells that calls for a class take well under its aim: what is late then is not for load.
func (c *class) easy() bool { return c.usual > 0 && c.usual < float64(c.Aim)/targetShare }

// repeated tells whether a try that does not look like a first one is a client's repeat, not just impatience:
// by its mark where clients mark repeats, else by whether queries given up here account for it.
func (a *Aggregator) repeated(e Query) bool {
	if a.set.MarksRepeats {
		return e.Repeat
	}
	if a.repeats < 1 {
		return false
	}
	a.repeats--
	return true
}

// firstTry tells whether a try with so much time left looks like a first one: whether it has as much as most
// tries had, by a running majority vote.
func (c *class) firstTry(left, about time.Duration) bool {
	if (left - c.first).Abs() <= about {
		c.votes = min(c.votes+1, firstVotes)
		return true
	}
	c.votes--
	if c.votes > 0 {
		return false
	}
	c.first, c.votes = left, 1
	return true
}

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

// blame and praise keep a server's record, once for each call: the parts of a call share its fate. A server
// whose record is bad is set aside: only trials go there, at growing intervals, until one goes well. It
// guards against servers that fail, fail fast (and so look idle), crawl or keep silent. It could do harm when
// all servers are in trouble alike: hence no shard's last server is set aside, unless it can't be reached.
func (a *Aggregator) blame(s *server, t *attempt, weight float64) {
	if t.sent < s.judged {
		return
	}
	s.judged = a.now
	s.record += learnOne * (weight - s.record*weight)
	if s.aside {
		s.backoff = min(2*s.backoff, max(a.set.ColdFor, s.backoff))
		s.trialAt = a.now + s.backoff
	} else if s.record >= asideAt && (s.down || !a.last(s)) {
		s.aside = true
		s.backoff = a.soon(t.part.query.class.Aim/2, trialTimes)
		s.trialAt = a.now + s.backoff
		a.logf("server %s set aside", s.ID)
	}
}

func (a *Aggregator) praise(s *server, t *attempt) {
	s.record *= 1 - learnOne/2
	if s.aside && t.sent >= s.trialAt {
		s.aside = false
		s.record = min(s.record, asideAt/2)
		s.window = 1
		a.logf("server %s taken back", s.ID)
	}
}

// overdueAfter is how long a part of a class may be out before something is taken to be wrong.
func (a *Aggregator) overdueAfter(c *class) time.Duration { return a.patience(c, overdueTimes) }

// patience is so many usual times of a class's calls, within what its aim bears.
func (a *Aggregator) patience(c *class, times float64) time.Duration {
	least := a.soon(c.Aim/overdueLeast, overdueFar)
	return min(max(time.Duration(c.usual*times), least), c.Aim/overdueMost)
}

// soon cuts a wait that an aim sets: else a server would miss fifty short calls for one, and the others jam.
func (a *Aggregator) soon(aim time.Duration, times float64) time.Duration {
	return min(aim, max(time.Duration(times*cmp.Or(a.usual, float64(aim))), 2*a.set.Tick))
}

func (a *Aggregator) tooLong(t *attempt) bool {
	return a.now-t.sent >= a.overdueAfter(t.part.query.class)
}

// silent tells that an attempt is not likely to be answered. A server that answers what it was sent before
// is slow or crowded and will come to it; a second copy would be work on top, which a cancel need not stop,
// just when there is too much of it.
func (a *Aggregator) silent(t *attempt) bool {
	return a.waited(t) >= a.patience(t.part.query.class, copyTimes) && (t.server.lastOK <= t.sent || a.far(t))
}

// waited is for how long nothing has told that an attempt will be answered: since its server's last answer,
// or since it was sent if that was later, or if a later one was answered, which has overtaken it.
func (a *Aggregator) waited(t *attempt) time.Duration {
	if t.sent < t.server.newest {
		return a.now - t.sent
	}
	return a.now - max(t.sent, t.server.lastOK)
}

// far tells that this is for so long that few calls take half as long: heavy parts are overtaken, too.
func (a *Aggregator) far(t *attempt) bool {
	return float64(a.waited(t)) >= overdueFar*t.part.query.class.usual
}

// judge marks the servers that hold a part for too long; they get nothing new until its outcome is in.
func (a *Aggregator) judge() {
	for _, s := range a.working {
		s.overdue = slices.ContainsFunc(s.out, a.tooLong)
		a.freeDead(s)
	}
	a.rest()
}

// freeDead takes back safe work that a server is not likely to answer while calls are usually far faster, if
// it may be sent again, another quick server can take it, its spot is not overloaded, and some calls were
// lost on idle connections or calls are quick: from dead connections, hung servers, lost answers. It harms
// work that would end and feeds jams, and a large fleet does it all at once: hence late, with room only.
// Keyed work stays: a server that stands still may do it when the repeat elsewhere is past its window.
func (a *Aggregator) freeDead(s *server) {
	if !s.overdue || !a.set.MayCancel {
		return
	}
	other := func(o *server) bool { return o != s && a.sound(o) && o.pace < deadSlow }
	patience := deadTimes * min(max(s.pace, 1), deadSlow) // a slow one takes its time for each
	sure := !a.set.SecondCopies                           // else copies go, and a cancel may stop nothing
	for _, t := range s.out {
		c, silent := t.part.query.class, s.lastOK <= t.sent
		if c.Effect == Safe && !t.recalled && c.usual > 0 && float64(a.waited(t)) >= patience*c.usual &&
			(a.dead >= 1 && silent || c.easy() && (sure && silent || a.far(t))) && a.mayAgain(t.part) &&
			a.spot(t.part.Part).share >= 1 && slices.ContainsFunc(a.holding(t.part), other) {
			t.recalled = true
			a.do(Cancel{t.part.ID, t.number})
		}
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

// close forgets a query and takes back what it still has out.
func (a *Aggregator) close(q *query) {
	q.ended = true
	delete(a.open, q.ID)
	a.withdraw(q)
}

func (a *Aggregator) withdraw(q *query) {
	a.forgetParts(q)
	for _, p := range q.parts {
		a.recall(p)
	}
}

// recall takes back what a part has out.
func (a *Aggregator) recall(p *part) {
	for _, t := range p.attempts {
		if a.set.MayCancel && !t.over && !t.recalled {
			t.recalled = true
			a.do(Cancel{p.ID, t.number})
		}
	}
}

// settle ends the queries that are whole, and those whose time or hope is gone.
func (a *Aggregator) settle() {
	for _, q := range a.queries {
		reach := a.reach(q)
		switch {
		case q.ended || q.step == stepAsked && a.now < q.end:
		case q.step != stepAsked && q.in >= q.want-slack && !a.stepLate(q):
			a.answer(q, q.in >= q.need-slack && (q.step == stepFirst || q.whole))
		case q.shed || a.now >= q.end || reach < q.floor-slack,
			q.in >= q.floor-slack && (a.now >= q.goal || reach <= q.in+slack):
			a.giveUp(q)
		case a.deadly(q):
			a.crashes[a.kin(q)] = a.now
			q.goal = a.now // so that the client is told to stay away for long
			a.giveUp(q)
		}
	}
}

// stepLate tells that a first answer would leave its second step no time: the query would be lost.
func (a *Aggregator) stepLate(q *query) bool {
	return q.step == stepFirst && q.class.Fetch > 0 && (a.now >= q.end || a.late(q))
}

// answer ends a query, or its first step where there is a second: the same query then waits for more parts.
func (a *Aggregator) answer(q *query, whole bool) {
	if q.step == stepFirst && q.class.Fetch > 0 {
		a.withdraw(q)
		q.step, q.whole = stepAsked, whole
	} else {
		a.close(q)
		if q.in >= q.want-slack {
			q.class.whole = blend(q.class.whole, float64(a.now-q.started), learn)
			a.ease(q)
		}
	}
	a.do(Answer{q.ID, whole})
}

// reach is the weight of a query's parts that are in or may still come.
func (a *Aggregator) reach(q *query) float64 {
	reach := q.in
	for _, p := range q.parts {
		if !p.in && (p.open > 0 || a.mayTry(p)) {
			reach += p.Weight
		}
	}
	return reach
}

// kin names the queries that are likely to do to servers what this one does: by its key, else its class.
func (a *Aggregator) kin(q *query) string { return cmp.Or(q.Key, q.class.Name) }

// suspect tells that a query may crash the servers that begin it: one of its kin did so lately.
func (a *Aggregator) suspect(q *query) bool { return a.crashes[a.kin(q)] > 0 }

// deadly tells that a query has crashed the servers that began it: each call of it that has ended was reset,
// on two servers, or on one if it was suspect. Others' queries caught in it have answers elsewhere.
func (a *Aggregator) deadly(q *query) bool {
	out, crashed := q.crashed()
	return q.in == 0 && out == 0 && (crashed > 1 || crashed > 0 && a.suspect(q))
}

// scouting tells that a query may send one part only, and whether it may now: it is suspect or was reset and
// has no answer yet. It spares servers that it would crash; where connections break for other reasons it
// costs a call's time.
func (a *Aggregator) scouting(q *query) (scout, now bool) {
	if q.in > 0 {
		return false, true
	}
	out, crashed := q.crashed()
	return crashed > 0 || a.suspect(q), out == 0
}

// giveUp ends a query with what is in if that may be answered, else by a refusal where a repeat is harmless.
func (a *Aggregator) giveUp(q *query) {
	if q.going {
		a.ease(q)
	}
	if q.step != stepAsked && q.in > 0 && q.in >= q.floor-slack && !a.stepLate(q) {
		a.answer(q, false)
		return
	}
	a.close(q)
	if a.now > q.came {
		a.repeats = min(a.repeats+repeatsEach, firstVotes)
	}
	if q.class.Effect != Safe && (q.step != stepFirst || slices.ContainsFunc(q.parts, mayHaveRun)) {
		a.do(Fail{q.ID})
		return
	}
	r := Refuse{Query: q.ID}
	if a.set.RetryAdvice && a.now < q.goal {
		r.RetryAfter = min(time.Duration(a.usual), a.set.MaxRetryAdvice)
	} else if a.set.RetryAdvice {
		r.RetryAfter = a.set.MaxRetryAdvice // nothing is gained by coming back soon
	}
	a.do(r)
}

// late tells that a part has too little time left for a call.
func (a *Aggregator) late(q *query) bool {
	least := max(time.Duration(quickShare*q.class.usual), a.set.CallCost)
	if q.started == 0 {
		least = max(least, min(time.Duration(q.class.whole), q.class.Aim/overdueMost))
	}
	return q.end-a.now < least
}

// mayTry tells that a part may get a first try or another one now.
func (a *Aggregator) mayTry(p *part) bool {
	free := p.open == 0 || a.set.SecondCopies
	return !p.in && !a.late(p.query) && (len(p.attempts) == 0 || free && a.mayAgain(p))
}

// mayAgain tells that a part may get another try by the rules, once none is out.
func (a *Aggregator) mayAgain(p *part) bool {
	q, most := p.query, a.set.MaxAttempts
	if q.Attempts > 0 && (most == 0 || q.Attempts < most) {
		most = q.Attempts
	}
	if most > 0 && len(p.attempts) >= most {
		return false
	}
	return q.class.Effect == Safe || !mayHaveRun(p) ||
		q.class.Effect == Keyed && a.now+a.set.Tick < p.attempts[0].sent+q.class.RepeatWindow
}

// mayHaveRun tells that not every attempt of a part is proved never to have run.
func mayHaveRun(p *part) bool {
	return slices.ContainsFunc(p.attempts, func(t *attempt) bool { return !t.never })
}

// needsTry tells that a part should get an attempt: it has none out, or those out are on servers that are
// silent or set aside.
func (a *Aggregator) needsTry(p *part) bool {
	for _, t := range p.attempts {
		if !t.over && !t.server.aside && !a.silent(t) {
			return false
		}
	}
	return true
}

// gather returns the parts to be sent, those first that are worth most for their work and the time they have:
// what is wanted later can wait.
func (a *Aggregator) gather() []*part {
	var pending []*part
	for _, q := range a.queries {
		if q.ended || q.step == stepAsked {
			continue
		}
		q.going = q.going || a.startable(q)
		scout, free := a.scouting(q)
		w := a.promised(q)
		for _, p := range q.parts {
			if q.want < q.need && w >= q.want-slack {
				break // trimmed
			}
			if (q.going || a.orphan(p)) && a.mayTry(p) && a.needsTry(p) && (!scout || free) {
				pending = append(pending, p)
				w += p.Weight
				free = !scout
			}
		}
		q.density = a.worthOf(q) / q.class.Aim.Seconds()
	}
	dearer := func(x, y *part) int { return cmp.Compare(y.query.density, x.query.density) }
	slices.SortStableFunc(pending, dearer)
	return pending
}

// startable tells that enough of a query's parts for an answer, if only in part where that may be, have a
// sound server with room. It spares work for nothing in outages of whole shards; the query waits.
func (a *Aggregator) startable(q *query) bool {
	able := 0.0
	for _, p := range q.parts {
		for _, s := range a.holding(p) {
			if a.sound(s) && len(s.out) < int(s.window) {
				able += p.Weight
				break
			}
		}
	}
	return able >= q.floor-slack
}

// orphan tells that a part's shard has no sound server: it goes first, as a trial; its query's rest waits.
func (a *Aggregator) orphan(p *part) bool {
	return !slices.ContainsFunc(a.holding(p), a.sound)
}

// plan gives the pending parts to the fewest servers: again and again it takes the server that covers most of
// them and sends it one call.
func (a *Aggregator) plan(pending []*part) {
	a.note(pending)
	for {
		var best *server
		var cover []*part
		for _, s := range a.noted {
			if s.called || !s.listed {
				continue
			}
			c := a.cover(s)
			if len(c) == 0 || len(c) < len(cover) {
				continue
			}
			if best == nil || len(c) > len(cover) || a.before(s, best, c[0]) {
				best, cover = s, c
			}
		}
		if best == nil {
			return
		}
		best.called = true
		best.calls++
		fresh := a.renew(best)
		for _, p := range cover {
			a.send(best, p, len(cover) == 1, fresh)
		}
	}
}

// before breaks a tie in cover: fewest calls out, then the clearly shorter queue by a fresh report, the own
// zone where crossing costs, then the quicker where they clearly differ (crowded and slow servers are left
// before they are late), then the server that other aggregators would also choose for this key, where keys
// warm servers.
func (a *Aggregator) before(s, t *server, p *part) bool {
	if s.calls != t.calls {
		return s.calls < t.calls
	}
	if d := s.queue - t.queue; a.fresh(s) && a.fresh(t) && (d < -queueApart || d > queueApart) {
		return d < 0
	}
	if a.set.CrossZoneCosts && (s.Zone == a.set.Zone) != (t.Zone == a.set.Zone) {
		return s.Zone == a.set.Zone
	}
	if d := s.pace - t.pace; d < -paceApart || d > paceApart {
		return d < 0
	}
	return hash(p.query.Key, s.ID) < hash(p.query.Key, t.ID)
}

// hash orders servers alike at all aggregators, and otherwise by chance.
func hash(key, id string) uint64 {
	h := fnv.New64a()
	h.Write([]byte(key + "\x00" + id))
	return h.Sum64()
}

// cover returns the pending parts that a server would get: as many as its window and the batch limit allow,
// and of each query no more than make it whole. An idle server may get a full call, which costs little more
// than a small one, a busy one none that its window would cut, and second copies only if it has one part out.
func (a *Aggregator) cover(s *server) []*part {
	room := min(int(s.window)-len(s.out), a.set.Batch)
	if len(s.out) == 0 {
		room = a.set.Batch
	}
	if s.aside {
		room = min(room, 1)
	}
	var c []*part
	wanted := make(map[*query]float64)
	extra := 0
	var work time.Duration
	for _, p := range s.pending {
		if len(c) >= room && (room <= 0 || len(c) >= a.set.Batch || s.aside) {
			break
		}
		if p.open > 0 && p.attempts[len(p.attempts)-1].sent == a.now || !a.eligible(s, p) {
			continue
		}
		w, ok := wanted[p.query]
		if !ok {
			w = a.promised(p.query)
		}
		if w >= p.query.want-slack && p.open == 0 {
			continue
		}
		if len(p.attempts) > 0 {
			loaded := len(s.out) > 1 || a.spot(p.Part).share < 1 && !p.query.class.easy()
			barred := p.open > 0 && (loaded || a.copies < float64(extra+1))
			if barred || !a.budget(extra+1) {
				continue
			}
			extra++
		}
		cost := a.workOf(p)
		if len(c) == 0 {
			cost += a.set.CallCost
		}
		if !a.coldRoom(s, work+cost) {
			break
		}
		work += cost
		if len(c) >= room {
			return nil // it would be cut: better wait for the rest than pay for two calls
		}
		wanted[p.query] = w + p.Weight
		c = append(c, p)
	}
	return c
}

// promised is the weight of a query's parts that are in or out without doubt.
func (a *Aggregator) promised(q *query) float64 {
	w := 0.0
	for _, p := range q.parts {
		if p.in || p.open > 0 && !a.needsTry(p) {
			w += p.Weight
		}
	}
	return w
}

// sound tells that a server may be given a part by its state alone.
func (a *Aggregator) sound(s *server) bool { return s.listed && !s.overdue && !s.aside }

// load is a server's parts with one more, or part of its queue if it has reported a long one of late, which
// others have filled; times what its calls take beyond the usual: twice it is chance.
func (a *Aggregator) load(s *server) float64 {
	n := float64(len(s.out) + 1)
	if a.fresh(s) {
		n = max(n, queueShare*s.queue)
	}
	return n * max(s.pace-1, 1)
}

// fresh tells that a server's report still says something: what waited then has not all been served since.
func (a *Aggregator) fresh(s *server) bool {
	return s.heard > 0 && float64(a.now-s.heard) < queueTimes*a.usual
}

// eligible tells that a server may get a part: no attempt of it is out there, no sound server that has not
// had it is left if this one has, and at most one more of our parts is out here than on the shard's least
// busy sound server, those of a slow one counted by its pace: so wide queries needn't wait for slow servers;
// it could do harm when one call's time misleads. One that is not sound gets a part only as a trial or where
// the shard has no sound one. Coming back to a server guards against failures that strike calls, not servers.
func (a *Aggregator) eligible(s *server, p *part) bool {
	out, had := p.at(s)
	if out {
		return false
	}
	least, sound := a.load(s), false
	for _, o := range a.holding(p) {
		if !a.sound(o) || !a.coldRoom(o, a.set.CallCost) {
			continue
		}
		if oOut, oHad := p.at(o); had && !oOut && !oHad {
			return false
		}
		least, sound = min(least, a.load(o)), true
	}
	if a.sound(s) {
		return a.load(s) <= least+1
	}
	if !sound {
		return !s.aside || len(s.out) == 0 && (!s.down || a.now >= s.trialAt)
	}
	return s.aside && len(s.out) == 0 && a.now >= s.trialAt && p.query.class.Effect != Unsafe
}

// budget tells that so many more further attempts are within the budget now.
func (a *Aggregator) budget(more int) bool {
	if a.set.BudgetWindow <= 0 {
		return true
	}
	from := a.now - a.set.BudgetWindow
	for len(a.taken) > 0 && a.taken[0] <= from {
		a.taken = a.taken[1:]
	}
	for len(a.further) > 0 && a.further[0] < from-a.set.Tick {
		a.further = a.further[1:]
	}
	return float64(len(a.further)+more) <= a.set.BudgetFree+a.set.BudgetRatio*float64(len(a.taken))
}

// coldRoom tells that a server is warm, or that this aggregator's share of what a cold one can surely do, on
// one core at least, has room for more work. Among many aggregators an equal share is less than one call:
// then they take turns, by their numbers, as many at a time as can each send one. It guards a server just
// started against all aggregators together; were all turns used, those of one core could be pushed over.
func (a *Aggregator) coldRoom(s *server, more time.Duration) bool {
	age := a.now - s.Started
	if s.Started <= 0 || a.set.ColdFor <= 0 || age >= a.set.ColdFor {
		s.cold = nil
		return true
	}
	for len(s.cold) > 0 && s.cold[0].at <= a.now-a.set.ColdOverloads {
		s.cold = s.cold[1:]
	}
	for _, x := range s.cold {
		more += x.work
	}
	share := a.set.ColdShare + (1-a.set.ColdShare)*max(float64(age), 0)/float64(a.set.ColdFor)
	able := share * a.set.ColdMultiple * float64(a.set.ColdOverloads) * turnsUsed
	if s.lastOK > s.Started && a.now-s.lastOK < a.set.ColdOverloads && s.pace < 1+paceApart {
		able *= turnsQuick
	}
	call := float64(a.set.CallCost + a.workOf(nil))
	at := min(max(int(able/call), 1), a.set.Brokers) // aggregators whose turn it is
	turn := a.set.Number + int(hash("", s.ID)%uint64(a.set.Brokers))
	turn += at * int(max(age, 0)/max(a.set.ColdOverloads, 1))
	return turn%a.set.Brokers < at && float64(more) <= able/float64(at)
}

// send starts one attempt, which may be alone in its call.
func (a *Aggregator) send(s *server, p *part, alone, fresh bool) {
	switch {
	case len(p.attempts) == 0:
		share := copyShare
		if p.query.class.easy() {
			share = copyEasy
		}
		a.copies = min(a.copies+share, copyMost)
	case p.open > 0:
		a.copies--
		fallthrough
	default:
		a.tally(&a.further)
	}
	if p.query.started == 0 {
		p.query.started = a.now
	}
	t := &attempt{part: p, number: len(p.attempts), server: s, sent: a.now, alone: alone, fresh: fresh}
	if s.lastOK > 0 {
		t.idle = a.now - s.lastOK
	}
	p.attempts = append(p.attempts, t)
	p.open++
	work := a.workOf(p)
	if len(s.out) == 0 || s.out[len(s.out)-1].sent != a.now {
		work += a.set.CallCost
	}
	a.starts(s)
	s.out = append(s.out, t)
	if s.Started > 0 && a.now-s.Started < a.set.ColdFor {
		s.cold = append(s.cold, spent{a.now, work})
	}
	if s.aside {
		s.trialAt = a.now
	}
	a.do(Send{p.ID, s.ID, p.query.end - a.now})
}

// wake asks for a turn when next a query ends, and every few ticks while any is open.
func (a *Aggregator) wake() {
	next := a.now + pulse*a.set.Tick
	if len(a.queries) > 0 {
		next = a.now + look*a.set.Tick
	}
	for _, q := range a.queries {
		for _, t := range []time.Duration{q.goal, q.end} {
			if t > a.now {
				next = min(next, t)
			}
		}
	}
	if a.wakeAt <= a.now || a.wakeAt > next {
		a.wakeAt = next
		a.do(Wake{next - a.now})
	}
}

// forgettable tells that a server is gone for good: nothing is out there, and no drain to be kept.
func forgettable(s *server) bool { return !s.listed && len(s.out) == 0 && s.State != Draining }
