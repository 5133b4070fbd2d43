package eiderwinch

import (
	"cmp"
	"fmt"
	"hash/fnv"
	"slices"
	"sort"
	"time"
)

// The state of an Aggregator and its updates. No decisions are made here.

// Aggregator makes the decisions for one gatherer. It is created with New.
type Aggregator struct {
	settings Settings
	now      time.Duration
	actions  []Action
	classes  []*class

	searchers     []*searcher // by ID
	searchersByID map[string]*searcher
	// replicasByShard are the searchers that hold each shard by the rule of Settings.Cells; nil until needed
	// after a change.
	replicasByShard    [][]*searcher
	searcherSetVersion int // number of changes of the set of searchers; see part.replicasVersion
	// busySearchers are the searchers with attempts in flight, by ID, and possibly some that had attempts in
	// flight until the last turn.
	busySearchers []*searcher
	candidates    []*searcher // searchers with pending parts in the last assignment, by ID
	someUnlisted  bool        // some searchers may not be listed

	queries     []*query // in order of arrival
	openQueries map[uint64]*query
	parts       map[uint64]*part // of open queries or with attempts in flight

	typicalLatency float64         // of a call of any class, in ns; 0 until one has ended
	wakeAt         time.Duration   // the earliest Wake requested; 0 if none
	arrivalTimes   []time.Duration // of queries and parts, for the retry budget
	retryTimes     []time.Duration // of attempts after the first, for the retry budget

	expectedRepeats     float64       // repeats still to expect from clients
	deadAfterIdle       float64       // time in ns without an answer after which connections may be dead
	deadConnEvidence    float64       // the evidence for deadAfterIdle, see deadConnThreshold
	disconnectAllowedAt time.Duration // when connections may be closed again
	secondCopyCredit    float64       // second copies that may be sent now

	// replicaGroups has one entry for each set of searchers with the same shards, or for each shard; see the
	// method replicaGroup.
	replicaGroups map[int]*replicaGroup

	stallDuration time.Duration // how long this aggregator itself stalled before this turn
	stallEndedAt  time.Duration // when it last recovered from a stall

	typicalWorth       float64                  // typical worth of a query for each of its parts
	tenantMix          []float64                // each tenant's share of the queries
	crashesBySignature map[string]time.Duration // when queries last crashed searchers, by query signature

	subscribed       bool          // a subscription is active or has been requested
	subscribeAt      time.Duration // when to subscribe again
	subscribeBackoff time.Duration
	slotShare        Share
}

func (a *Aggregator) emit(action Action) { a.actions = append(a.actions, action) }

func (a *Aggregator) logf(format string, args ...any) { a.emit(Log{fmt.Sprintf(format, args...)}) }

// ownSlots returns how many slots of the fleet's limits this aggregator may use now.
func (a *Aggregator) ownSlots() int {
	if a.now < a.slotShare.Until {
		return min(a.slotShare.Slots, a.settings.Gatherers)
	}
	return 1
}

// addSearcher adds a searcher that was not known.
func (a *Aggregator) addSearcher(id string) *searcher {
	s := new(searcher)
	a.searchersByID[id], a.someUnlisted = s, true
	index := sort.Search(len(a.searchers), func(i int) bool { return a.searchers[i].ID >= id })
	a.searchers = slices.Insert(a.searchers, index, s)
	return s
}

// markBusy adds a searcher that is sent an attempt to busySearchers.
func (a *Aggregator) markBusy(s *searcher) {
	if !s.busy {
		s.busy = true
		index := sort.Search(len(a.busySearchers), func(i int) bool { return a.busySearchers[i].ID >= s.ID })
		a.busySearchers = slices.Insert(a.busySearchers, index, s)
	}
}

// dropIdleSearchers removes the searchers that have no attempt in flight any more from busySearchers.
func (a *Aggregator) dropIdleSearchers() {
	a.busySearchers = slices.DeleteFunc(a.busySearchers, func(s *searcher) bool {
		s.busy = len(s.inFlight) > 0
		return !s.busy
	})
}

// indexPending adds each pending part to the searchers that hold it. In a large fleet most searchers hold
// none of them, so a turn must not visit all searchers.
func (a *Aggregator) indexPending(pending []*part) {
	for _, s := range a.candidates {
		s.pendingParts, s.hasCall = s.pendingParts[:0], false
	}
	a.candidates = a.candidates[:0]
	for _, p := range pending {
		for _, s := range a.replicasOf(p) {
			if len(s.pendingParts) == 0 {
				a.candidates = append(a.candidates, s)
			}
			s.pendingParts = append(s.pendingParts, p)
		}
	}
	slices.SortFunc(a.candidates, func(s, t *searcher) int { return cmp.Compare(s.ID, t.ID) })
}

// addQuery adds a query and its parts.
func (a *Aggregator) addQuery(q *query) {
	a.openQueries[q.ID] = q
	a.queries = append(a.queries, q)
	a.recordForBudget(&a.arrivalTimes)
	a.addParts(q)
}

// addParts adds the parts of a query's current step.
func (a *Aggregator) addParts(q *query) {
	for _, p := range q.Parts {
		added := &part{Part: p, query: q}
		q.parts = append(q.parts, added)
		a.parts[p.ID] = added
		a.recordForBudget(&a.arrivalTimes)
	}
}

// recordForBudget records the current time for the retry budget. Without a budget it records nothing,
// since withinRetryBudget would never remove it.
func (a *Aggregator) recordForBudget(times *[]time.Duration) {
	if a.settings.RetryBudgetWindow > 0 {
		*times = append(*times, a.now)
	}
}

// removeParts ends the parts of a query's current step and removes those with no attempt in flight.
func (a *Aggregator) removeParts(q *query) {
	for _, p := range q.parts {
		p.ended = true
		if p.inFlight == 0 {
			delete(a.parts, p.ID)
		}
	}
}

// isLastReplica reports whether a searcher holds a shard for which no other searcher is listed and not
// ejected. Where holders come with the parts, the shards of open queries are checked.
func (a *Aggregator) isLastReplica(replica *searcher) bool {
	isLast := func(replicas []*searcher) bool {
		isHolder, hasOther := false, false
		for _, s := range replicas {
			isHolder = isHolder || s == replica
			hasOther = hasOther || s != replica && s.listed && !s.ejected
		}
		return isHolder && !hasOther
	}
	for shard := range a.settings.Shards {
		if isLast(a.shardReplicas(shard)) {
			return true
		}
	}
	for _, q := range a.queries {
		for _, p := range q.parts {
			if p.Holders != nil && isLast(a.replicasOf(p)) {
				return true
			}
		}
	}
	return false
}

// searcher is the state of one replica.
type searcher struct {
	Replica
	listed bool // ready, by the latest update

	inFlight             []*attempt    // in the order they were sent
	reportedQueue        float64       // parts of all aggregators that waited there, by its last report
	reportedAt           time.Duration // when that report came; 0 if none did
	relativeLatency      float64       // latency of its calls relative to the typical one
	callsInFlight        int
	window               float64 // most parts that this aggregator keeps in flight there
	failureScore         float64 // how badly its last calls went, from 0 to 1
	failureRecordedAt    time.Duration
	lastAnswerAt         time.Duration
	newestAnsweredSentAt time.Duration // when the most recently sent attempt that it has answered was sent

	hasOverduePart bool
	unreachable    bool          // the last attempt found no connection
	ejected        bool          // gets probe attempts only
	probeAt        time.Duration // when the next probe attempt may be sent
	probeBackoff   time.Duration

	coldWork []sentWork // work sent while it is cold

	busy         bool    // it is in Aggregator.busySearchers
	pendingParts []*part // pending parts of this turn that it holds
	hasCall      bool    // it is sent a call in this turn
}

// replicaGroup is the set of searchers that hold the same shards, or one shard where holders come with the
// parts.
type replicaGroup struct {
	admissionShare float64       // share of the parts that may start there
	credit         float64       // parts that may start
	typicalParts   float64       // typical number of a query's parts there
	lastQueryAt    time.Duration // when a query with parts there last arrived
	typicalGap     float64       // typical time in ns between such queries, measured while all may start
}

// reduceAdmission reduces the admission share by a fraction, down to minAdmissionShare.
func (g *replicaGroup) reduceAdmission(fraction float64) {
	g.admissionShare = max(g.admissionShare*(1-fraction), minAdmissionShare)
}

// replicaGroup returns the replica group of a part. Without Holders, shards whose numbers differ by a
// multiple of Settings.Cells have the same searchers.
func (a *Aggregator) replicaGroup(p Part) *replicaGroup {
	key := p.Shard
	if p.Holders == nil {
		key %= a.settings.Cells
	}
	if a.replicaGroups[key] == nil {
		a.replicaGroups[key] = &replicaGroup{admissionShare: 1}
	}
	return a.replicaGroups[key]
}

// partsByGroup counts the parts of a query's current step by replica group.
func (a *Aggregator) partsByGroup(q *query) map[*replicaGroup]float64 {
	counts := make(map[*replicaGroup]float64)
	for _, p := range q.Parts {
		counts[a.replicaGroup(p)]++
	}
	return counts
}

// admissionShare returns the least admission share among a query's replica groups.
func (a *Aggregator) admissionShare(q *query) float64 {
	share := 1.0
	for _, p := range q.Parts {
		share = min(share, a.replicaGroup(p).admissionShare)
	}
	return share
}

// sentWork is work sent to a cold searcher.
type sentWork struct {
	sentAt time.Duration
	work   time.Duration
}

// attempt is one try of a part at one searcher.
type attempt struct {
	part         *part
	number       int
	searcher     *searcher
	sentAt       time.Duration
	ended        bool
	neverRan     bool          // it is certain that it never ran
	aloneInCall  bool          // it is the only one in its call
	onNewConn    bool          // the searcher's idle connections were closed before it was sent
	searcherIdle time.Duration // time from the searcher's last answer until it was sent
	connReset    bool          // its connection broke, and not because the gatherer closed it

	cancelled bool // a Cancel was issued; its part may still be needed
	answer    answerState
}

// noResponseSince reports whether the searcher has answered nothing since the attempt was sent.
func (t *attempt) noResponseSince() bool { return t.searcher.lastAnswerAt <= t.sentAt }

// part is the state of a part of a query.
type part struct {
	Part
	query      *query
	answeredBy *attempt // the attempt whose answer is used, see chooseAnswer; nil if there is none
	attempts   []*attempt
	inFlight   int  // number of attempts in flight
	ended      bool // its query, or the step of the query that it belongs to, has ended

	replicas        []*searcher // the known searchers among Holders, by ID
	replicasVersion int         // 1 + Aggregator.searcherSetVersion when replicas was built; 0 if it was not
}

// attemptsAt reports whether an attempt of the part is in flight at a searcher, and whether one has ended
// there.
func (p *part) attemptsAt(s *searcher) (inFlight, ended bool) {
	for _, attempt := range p.attempts {
		if attempt.searcher == s {
			inFlight = inFlight || !attempt.ended
			ended = ended || attempt.ended
		}
	}
	return inFlight, ended
}

// step is the step that a query has reached.
type step int

const (
	stepFirst          step = iota
	stepAwaitingSecond      // the first answer was given, the second step's parts have not arrived
	stepSecond              // the second step's parts have arrived
)

// query is the state of a query.
type query struct {
	Query
	class          *class
	arrivedAt      time.Duration
	aimAt          time.Duration // an answer of the current step until then earns the full worth
	endAt          time.Duration // an answer until then earns something
	finalAimAt     time.Duration // aimAt of the last step
	wantedWeight   float64       // weight that is requested: less than neededWeight if the query was trimmed
	neededWeight   float64       // weight that makes the current step whole
	floorWeight    float64       // least weight that the query may be answered from
	parts          []*part       // of the current step
	answeredWeight float64       // weight of the answered parts
	lastAnswerAt   time.Duration // when the last of them was answered
	confirmBy      time.Duration // end of the wait for confirmations, see awaitsConfirmation; 0 without one

	step           step
	firstStepWhole bool // the answer of the first step was whole

	startedAt    time.Duration // when its first part was sent; 0 if none was
	worthDensity float64       // worth per part and second of the aim
	ended        bool
	mayStart     bool // all its parts may be sent
	shed         bool // not admitted
}

// connResets counts a query's attempts in flight, and the searchers whose connection broke during one of
// its attempts.
func (q *query) connResets() (inFlight, searchers int) {
	var seen []*searcher
	for _, p := range q.parts {
		inFlight += p.inFlight
		for _, t := range p.attempts {
			if t.connReset && !slices.Contains(seen, t.searcher) {
				seen = append(seen, t.searcher)
			}
		}
	}
	return inFlight, len(seen)
}

// class is a class with what has been observed of its queries.
type class struct {
	Class
	firstTryTimeLeft time.Duration // time left that first tries have
	firstTryVotes    int           // votes for firstTryTimeLeft, see isFirstTry
	typicalLatency   float64       // of calls with this class's parts, in ns
	partWork         float64       // upper estimate of the work of a part, in ns
	typicalQueryTime float64       // typical time of a query in ns, from its first call on
}

// hasQuickCalls reports whether calls for the class take well under its aim: then load is not the reason
// for late parts.
func (c *class) hasQuickCalls() bool {
	return c.typicalLatency > 0 && c.typicalLatency < float64(c.Aim)/quickCallAimDivisor
}

// removeFromSearcher removes an attempt from its searcher's attempts in flight. The call ends with its last
// attempt.
func (a *Aggregator) removeFromSearcher(attempt *attempt) {
	s := attempt.searcher
	lastOfCall := true
	for i := len(s.inFlight) - 1; i >= 0; i-- {
		if s.inFlight[i] == attempt {
			s.inFlight = append(s.inFlight[:i], s.inFlight[i+1:]...)
		} else if s.inFlight[i].sentAt == attempt.sentAt {
			lastOfCall = false
		}
	}
	if lastOfCall {
		s.callsInFlight--
	}
}

// smooth moves an exponentially weighted average towards a sample. An average of 0 has no samples yet.
func smooth(average, sample, weight float64) float64 {
	if average == 0 {
		return sample
	}
	return average + weight*(sample-average)
}

// estimatedWork returns the estimated work of a part, by its class; of a nil part, that of the class with
// the most work.
func (a *Aggregator) estimatedWork(p *part) time.Duration {
	if p != nil {
		return time.Duration(p.query.class.partWork)
	}
	maxWork := 0.0
	for _, c := range a.classes {
		maxWork = max(maxWork, c.partWork)
	}
	return time.Duration(maxWork)
}

// replicasOf returns the searchers that hold a part's shard, by ID.
func (a *Aggregator) replicasOf(p *part) []*searcher {
	if p.Holders == nil {
		return a.shardReplicas(p.Shard)
	}
	if p.replicasVersion != a.searcherSetVersion+1 {
		p.replicas, p.replicasVersion = p.replicas[:0], a.searcherSetVersion+1
		for _, id := range p.Holders {
			if s := a.searchersByID[id]; s != nil {
				p.replicas = append(p.replicas, s)
			}
		}
		slices.SortFunc(p.replicas, func(s, t *searcher) int { return cmp.Compare(s.ID, t.ID) })
	}
	return p.replicas
}

// invalidateReplicas discards the cached holders of shards. It is called when searchers come or go.
func (a *Aggregator) invalidateReplicas() {
	a.replicasByShard = nil
	a.searcherSetVersion++
}

// shardReplicas returns the searchers that hold a shard by the rule of Settings.Cells, by ID.
func (a *Aggregator) shardReplicas(shard int) []*searcher {
	if shard < 0 || shard >= a.settings.Shards {
		return nil
	}
	if a.replicasByShard == nil {
		a.replicasByShard = make([][]*searcher, a.settings.Shards)
		for _, s := range a.searchers {
			for shard := range a.replicasByShard {
				distance := (s.Cell - shard) % a.settings.Cells
				if (distance+a.settings.Cells)%a.settings.Cells < a.settings.ReplicasPerShard {
					a.replicasByShard[shard] = append(a.replicasByShard[shard], s)
				}
			}
		}
	}
	return a.replicasByShard[shard]
}

// removeEnded removes ended queries, departed searchers and expired records of the retry budget.
func (a *Aggregator) removeEnded() {
	kept := a.queries[:0]
	for _, q := range a.queries {
		if !q.ended {
			kept = append(kept, q)
		}
	}
	clear(a.queries[len(kept):])
	a.queries = kept
	if a.someUnlisted {
		a.removeDeparted()
	}
	a.withinRetryBudget(0)
}

// removeDeparted removes the searchers that have left for good.
func (a *Aggregator) removeDeparted() {
	a.someUnlisted = false
	before := len(a.searchers)
	kept := a.searchers[:0]
	for _, s := range a.searchers {
		if isRemovable(s) {
			delete(a.searchersByID, s.ID)
			continue
		}
		kept = append(kept, s)
		a.someUnlisted = a.someUnlisted || !s.listed
	}
	clear(a.searchers[len(kept):])
	a.searchers = kept
	if len(kept) < before {
		a.invalidateReplicas()
	}
}

// stableHash returns the hash by which the searchers are ordered for a key. The order is pseudo-random, and
// the same at all aggregators.
func stableHash(key, id string) uint64 {
	h := fnv.New64a()
	h.Write([]byte(key + "\x00" + id))
	return h.Sum64()
}

// isRemovable reports whether a searcher has left for good: it is not listed, has no attempt in flight
// and is not draining. The state of a draining one must be kept.
func isRemovable(s *searcher) bool { return !s.listed && len(s.inFlight) == 0 && s.State != Draining }
