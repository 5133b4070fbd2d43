// Package eiderwinch is the decision module of a gatherer. It decides which replica gets which part of a
// query, for how long, and when and how each query ends. Its settings, events and actions are in api.go.
//
// A gatherer creates one Aggregator with New and calls Turn with all events since the last call, in order.
// Each turn
//
//  1. handles the events: queries, of which only a share is admitted while the searchers are overloaded,
//     outcomes, updates of the member list;
//  2. updates the health of the searchers from their attempts in flight and from how calls ended;
//  3. completes the queries that are whole, are too late, can no longer succeed or crash searchers;
//  4. selects the parts to send: first attempts, retries, second copies;
//  5. assigns them to the fewest searchers that can take them, one call each;
//  6. requests a wake-up for the next time at which something is due.
//
// An Aggregator is deterministic, does no I/O and must be used by one goroutine only. Events with unknown
// IDs and repeated or late events are ignored.
package eiderwinch

import (
	"maps"
	"time"
)

// Parameters of the decisions. Times are derived from the settings and from observed latencies.
const (
	// weightSlack is how far weights may fall short of a share: they are rounded before they arrive.
	weightSlack = 1e-6

	// slowSmoothing is the weight of one sample in averages over all searchers: about twenty samples form an
	// average.
	slowSmoothing = 0.05
	// fastSmoothing is the weight of one call in a searcher's failure score and relative latency: two bad
	// calls outweigh all earlier ones.
	fastSmoothing = 0.3
	// lateFailureWeight is the weight of an overdue call against that of a failed one: ordinary stalls make
	// calls late.
	lateFailureWeight = 0.5
	// ejectionScore is the failure score from which a searcher is ejected: one failure or three late calls.
	ejectionScore = 0.28

	// overdueFactor is the number of typical latencies after which a part is overdue.
	overdueFactor = 2.5
	// overdueMinAimDivisor bounds the overdue time from below: a part is not overdue before this fraction
	// (1/4) of its class's aim.
	overdueMinAimDivisor = 4
	// overdueMaxAimDivisor bounds the overdue time from above: a part is overdue after this fraction (1/2) of
	// the aim, because a second copy needs the rest of it.
	overdueMaxAimDivisor = 2
	// overdueCapFactor is the number of typical latencies after which a part is overdue however long the aim
	// of its class is: few calls take half as long.
	overdueCapFactor = 8
	// secondCopyFactor is the number of typical latencies without any answer from a searcher after which a
	// second copy may be sent: the time of two calls.
	secondCopyFactor = 5
	// firstProbeFactor is the number of typical latencies after which an ejected searcher gets its first
	// probe attempt: most calls have ended by then.
	firstProbeFactor = 4

	// queueMargin is the difference, in parts, up to which two queues count as equal: reports are noisy and
	// late.
	queueMargin = 2
	// queueWeight is the weight of a part in a searcher's reported queue against that of a part in flight:
	// some of those in the queue are among those in flight.
	queueWeight = 0.5
	// reportLifetimeFactor is the number of typical latencies for which a report counts: after that other
	// parts wait.
	reportLifetimeFactor = 2

	// slowRelativeLatency is the relative latency from which a searcher counts as slow. It also bounds the
	// factor by which deadConnFactor grows for a slow searcher, whose calls take longer but do end.
	slowRelativeLatency = 1.5
	// deadConnFactor is the number of typical latencies without any answer after which a connection is
	// assumed to be dead.
	deadConnFactor = 4

	// deadConnThreshold is the number of calls lost on idle connections, less those answered, from which idle
	// connections are taken to be dead.
	deadConnThreshold = 2
	// quickCallAimDivisor sets the latency above which a window shrinks, as a fraction (1/4) of the aim.
	quickCallAimDivisor = 4
	// latencyMargin is the difference in relative latency up to which two searchers count as equal.
	latencyMargin = 0.3
	// admissionIncrease is added to the admission share by an answer that leaves all of its aim unused.
	admissionIncrease = 0.2
	// admissionDecrease is the fraction by which each late part reduces the admission share.
	admissionDecrease = 0.2
	// minAdmissionShare is the least admission share: only queries that start show when an overload is over.
	minAdmissionShare = 0.15
	// idleWakeTicks is the most ticks between turns: a longer gap means that this aggregator itself stalled.
	idleWakeTicks = 20
	// busyWakeTicks is the most ticks between turns while a query is open.
	busyWakeTicks = 4
	// coldOvercommit is how many times the capacity of a cold searcher is given out to the slots that may
	// send to it: most of them leave their part unused.
	coldOvercommit = 2
	// quickColdFactor multiplies the capacity of a cold searcher that answers as quickly as others: it has
	// cores to spare.
	quickColdFactor = 2
	// windowDecrease is the factor by which each slow call shrinks a window: three of them halve it.
	windowDecrease = 0.8
	// secondCopyRatio is the number of second copies for each first attempt: more would feed an overload.
	secondCopyRatio = 0.03
	// secondCopyRatioQuick replaces secondCopyRatio while calls end well within their aim: then there is
	// capacity for more copies.
	secondCopyRatioQuick = 0.1
	// maxSecondCopyCredit is the most second copies saved up, for when a searcher becomes silent.
	maxSecondCopyCredit = 10
	// repeatsPerGivenUpQuery is the number of clients' repeats to expect for each query given up.
	repeatsPerGivenUpQuery = 2
	// maxFirstTryVotes is how many tries are remembered to distinguish first tries from repeats, and how many
	// repeats are expected at most.
	maxFirstTryVotes = 20
	// initialWorkAimDivisor sets the assumed work of a part, as a fraction (1/8) of its aim, until calls have
	// been observed.
	initialWorkAimDivisor = 8
	// uncontendedQuantile is the share of one-part calls that are assumed to be served without much waiting.
	uncontendedQuantile = 0.3
	// confirmReserveAimDivisor sets how long before its aim a query stops waiting for provisional answers to
	// be confirmed, as a fraction (1/8) of the aim: turns may run late.
	confirmReserveAimDivisor = 8
	// minTimeLeftRatio is the least time left, as a share of the typical latency, with which a part is sent.
	minTimeLeftRatio = 0.5
)

// New returns an Aggregator with the given settings. It knows no searchers until the first ListChange.
func New(s Settings) *Aggregator {
	a := &Aggregator{
		settings:      s,
		searchersByID: make(map[string]*searcher),
		openQueries:   make(map[uint64]*query),
		parts:         make(map[uint64]*part),

		replicaGroups:      make(map[int]*replicaGroup),
		tenantMix:          make([]float64, len(s.Tenants)),
		crashesBySignature: make(map[string]time.Duration),
	}
	a.settings.Gatherers, a.settings.MaxBatch, a.settings.Cells =
		max(s.Gatherers, 1), max(s.MaxBatch, 1), max(s.Cells, 1)
	for _, c := range s.Classes {
		a.classes = append(a.classes, &class{Class: c, partWork: float64(c.Aim) / initialWorkAimDivisor})
	}
	return a
}

// Turn handles the events that have happened until now and returns the actions to take, in order.
func (a *Aggregator) Turn(now time.Duration, events []Event) []Action {
	a.now, a.actions = now, nil
	a.stallDuration = 0 // a wake that is long overdue shows a stall of this aggregator, not of the searchers
	if late := now - a.wakeAt; a.wakeAt > 0 && late > idleWakeTicks*a.settings.Tick {
		a.stallDuration, a.stallEndedAt = late, now
	}
	for _, event := range events {
		switch event := event.(type) {
		case Query:
			a.handleQuery(event)
		case SecondStep:
			a.handleSecondStep(event)
		case Outcome:
			a.handleOutcome(event)
		case Confirmed:
			a.handleConfirmed(event)
		case LateAnswer:
			a.handleLateAnswer(event)
		case InDoubt:
			a.handleInDoubt(event)
		case Gone:
			if q := a.openQueries[event.Query]; q != nil {
				a.closeQuery(q)
			}
		case ListChange:
			a.handleListChange(event)
		case Share:
			a.slotShare = event
		}
	}
	maps.DeleteFunc(a.crashesBySignature, func(_ string, at time.Duration) bool {
		return now-at >= a.settings.ColdDuration
	})
	if a.settings.SubscribeToList && !a.subscribed && a.now >= a.subscribeAt {
		a.subscribed = true
		a.emit(Subscribe{})
	}
	a.updateHealth()
	a.completeQueries()
	a.assign(a.selectParts())
	a.removeEnded()
	a.requestWake()
	return a.actions
}

// requestWake requests a turn at the next aim or end of a query, when the wait for a confirmation ends, and
// every few ticks while any query is open.
func (a *Aggregator) requestWake() {
	next := a.now + idleWakeTicks*a.settings.Tick
	for _, q := range a.queries {
		next = min(next, a.now+busyWakeTicks*a.settings.Tick)
		for _, t := range []time.Duration{q.aimAt, q.endAt, q.confirmBy} {
			if t > a.now {
				next = min(next, t)
			}
		}
	}
	if a.wakeAt <= a.now || a.wakeAt > next {
		a.wakeAt = next
		a.emit(Wake{next - a.now})
	}
}
