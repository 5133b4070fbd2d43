package gatherer

import (
	"cmp"
	"context"
	"log/slog"
	"maps"
	"slices"
	"time"

	"eiderwinch"
	"eiderwinch/internal/querystats"
)

// weightTolerance is how far a sum of weights may be from its target, because weights are rounded.
const weightTolerance = 1e-4

// Result records a searcher's answer to an attempt: OK with a score and a value, or
// Failed or Full. Results of attempts that have ended are ignored.
func (c *Core) Result(now time.Time, a *Attempt, status eiderwinch.Status, score int64, value string) {
	if c.endAttempt(now, a, status, false) && status == eiderwinch.OK {
		a.part.addAnswer(&answer{attempt: a, state: finalAnswer, readAt: now, finalAt: now, score: score, value: value})
	}
}

// ProvisionalResult records an answer that was OK, as Result does, but may still turn out to be spoilt. Unless its query
// ends first, Confirm or Doubt follows.
func (c *Core) ProvisionalResult(now time.Time, a *Attempt, score int64, value string) {
	c.stats.Provisional++
	if c.endAttempt(now, a, eiderwinch.OK, true) {
		a.part.addAnswer(&answer{attempt: a, state: provisionalAnswer, readAt: now, score: score, value: value})
	}
}

// LateResult records an answer that was OK to an attempt that had ended before: it had timed out or was cancelled, and its
// searcher answered before it read that. The answer counts as any other does.
func (c *Core) LateResult(now time.Time, a *Attempt, provisional bool, score int64, value string) {
	p := a.part
	if p.removed || p.answers.of(a) != nil {
		return
	}
	x := &answer{attempt: a, state: finalAnswer, readAt: now, finalAt: now, score: score, value: value}
	if provisional {
		x.state, x.finalAt = provisionalAnswer, time.Time{}
	}
	c.stats.LateAnswers++
	c.logAttempt(a, answeredLate, "provisional", provisional, "took", now.Sub(a.decidedAt))
	p.addAnswer(x)
	c.addEvent(now, eiderwinch.LateAnswer{Part: p.id, Attempt: a.number, Provisional: provisional})
}

// Confirm makes a provisional answer final.
func (c *Core) Confirm(now time.Time, a *Attempt) {
	x := a.part.answers.of(a)
	if x == nil || x.state != provisionalAnswer {
		return
	}
	x.state, x.finalAt = finalAnswer, now
	c.logAttempt(a, answerConfirmed, "used", a.part.used == x)
	if !a.part.removed {
		c.addEvent(now, eiderwinch.Confirmed{Part: a.part.id, Attempt: a.number})
	}
}

// DoubtReason is why an answer is in doubt, as counters and the log name it.
type DoubtReason string

// The reasons.
const (
	ConnectionEnded DoubtReason = "ended"      // by the searcher
	ConnectionReset DoubtReason = "reset"      // by the searcher or the network
	ClosedHere      DoubtReason = "closed"     // by this gatherer
	InvalidData     DoubtReason = "invalid"    // data that is no answer to a part that waits
	IncompleteFrame DoubtReason = "incomplete" // a frame whose rest did not come in time
)

// Doubt takes back a provisional answer, because nothing can show any more whether it is good or spoilt. It must
// not be used then; and the part stays over, since a good answer has ended it. Once the query has its final answer, nothing
// can be taken back: Doubt returns false.
func (c *Core) Doubt(now time.Time, a *Attempt, reason DoubtReason) bool {
	p := a.part
	x := p.answers.of(a)
	if x == nil || x.state != provisionalAnswer {
		return false
	}
	if p.used == x {
		c.stats.RefutedLate++
		c.log.Warn("answer refuted after it was used", "trace", a.Trace, "shard", a.Shard, "searcher", a.Searcher, "since_answer", now.Sub(x.readAt))
	}
	x.state = doubtfulAnswer
	p.dropValue(x)
	return c.recordDoubt(now, x, reason)
}

// UnreadableAnswer ends an attempt that may have been answered in data of its connection that can't be read. The answer is in
// doubt, as in Doubt. An attempt that had timed out or was cancelled may have been answered so as well.
func (c *Core) UnreadableAnswer(now time.Time, a *Attempt) {
	a.closedHere = true
	c.endAttempt(now, a, eiderwinch.Reset, false)
	if a.part.answers.of(a) != nil {
		return
	}
	x := &answer{attempt: a, state: doubtfulAnswer, readAt: now}
	a.part.addAnswer(x)
	c.recordDoubt(now, x, InvalidData)
}

// recordDoubt counts and logs an answer in doubt, and tells the aggregator. It returns false if the answer is not wanted any more.
func (c *Core) recordDoubt(now time.Time, x *answer, reason DoubtReason) bool {
	p := x.attempt.part
	c.logAttempt(x.attempt, answerInDoubt, "reason", string(reason), "used", p.used == x, "query_open", !p.removed, "since_answer", now.Sub(x.readAt))
	if p.removed {
		return false
	}
	c.stats.InDoubt++
	c.stats.InDoubtBy[string(reason)]++
	c.addEvent(now, eiderwinch.InDoubt{Part: p.id, Attempt: x.attempt.number, ClosedByGatherer: reason == ClosedHere})
	return true
}

// NotSent ends an attempt that was never written, so it certainly was not executed. The outcome
// is NoConnection, which counts against the searcher, only if the result was still wanted.
func (c *Core) NotSent(now time.Time, a *Attempt) {
	if !a.ended && a.unwanted() {
		c.TakenBack(now, a)
		return
	}
	c.endAttempt(now, a, eiderwinch.NoConnection, false)
}

// TakenBack ends an attempt that was never written whole, so it certainly was not executed, for a reason that does not count
// against its searcher.
func (c *Core) TakenBack(now time.Time, a *Attempt) { c.endAttempt(now, a, eiderwinch.NotSent, false) }

// ConnectionBroken ends an attempt whose connection broke after the attempt may have arrived.
func (c *Core) ConnectionBroken(now time.Time, a *Attempt) {
	c.endAttempt(now, a, eiderwinch.Reset, false)
}

// ConnectionClosed ends an attempt whose connection was closed here because of another attempt, after it may have arrived.
func (c *Core) ConnectionClosed(now time.Time, a *Attempt) {
	a.closedHere = true
	c.endAttempt(now, a, eiderwinch.Reset, false)
}

// answer sends a client its answer or, if the class has a second step, starts that
// step after the first. The answer contains only values that were received, and it is
// marked whole only if the core's own records agree.
func (c *Core) answer(action eiderwinch.Answer) {
	q := c.queries[action.Query]
	if q == nil {
		return
	}
	class := c.settings.Module.Classes[q.class]
	answered, weight, ok := c.answerable(q)
	whole := action.Whole && weight >= class.WholeShare-weightTolerance
	if q.secondStep {
		whole = action.Whole && q.firstStepWhole && len(answered) == len(q.parts)
	}
	if !ok {
		c.log.Error("answer from too few parts", "trace", q.trace, "weight", weight)
		c.complete(q, Reply{Kind: Failed})
		return
	}
	c.useAnswers(answered)
	if class.SecondStepParts > 0 && !q.secondStep {
		c.startSecondStep(q, answered, min(class.SecondStepParts, len(answered)), whole)
		return
	}
	reply := Reply{Kind: Answered, Whole: whole}
	for _, p := range answered {
		reply.Values = append(reply.Values, ShardValue{Shard: p.shard, Value: p.used.value})
	}
	c.complete(q, reply)
}

// useAnswers records that the answers of parts are used for a query's answer or second step, and counts whether these had to
// wait for a confirmation.
func (c *Core) useAnswers(answered []*part) {
	var lastAnswered, lastFinal time.Time
	unconfirmed := false
	for _, p := range answered {
		p.used = p.answers.best()
		finalAt := p.used.finalAt
		if finalAt.IsZero() {
			unconfirmed, finalAt = true, c.now
		}
		lastAnswered, lastFinal = later(lastAnswered, p.answers.firstReadAt()), later(lastFinal, finalAt)
	}
	if unconfirmed {
		c.stats.Unconfirmed++
	}
	if held := lastFinal.Sub(lastAnswered); held > 0 {
		c.stats.Held++
		c.stats.HeldFor += held
		c.stats.LongestHeld = max(c.stats.LongestHeld, held)
	}
}

// later returns the later of two times.
func later(x, y time.Time) time.Time {
	if x.Before(y) {
		return y
	}
	return x
}

// answerable returns the answered parts of a query's current step that may be used, their weight, and whether that weight
// is enough for an answer.
func (c *Core) answerable(q *query) (answered []*part, weight float64, ok bool) {
	class := c.settings.Module.Classes[q.class]
	minWeight := class.MinShare
	if q.secondStep && class.MinShare >= class.WholeShare {
		minWeight = 1
	}
	answered, weight = c.usableParts(q)
	return answered, weight, len(answered) > 0 && weight >= minWeight-weightTolerance
}

// startSecondStep replaces a query's parts by n new ones, at the shards with the highest scores.
func (c *Core) startSecondStep(q *query, answered []*part, n int, whole bool) {
	c.stats.SecondSteps++
	q.secondStep, q.firstStepWhole = true, whole
	for _, p := range answered {
		q.firstStepShards = append(q.firstStepShards, p.shard)
	}
	slices.Sort(q.firstStepShards)
	slices.SortStableFunc(answered, func(x, y *part) int {
		return cmp.Or(cmp.Compare(y.used.score, x.used.score), cmp.Compare(x.shard, y.shard))
	})
	c.removeParts(q)
	event := eiderwinch.SecondStep{Query: q.id}
	for _, p := range answered[:n] {
		added := c.addPart(q, p.shard, 1/float64(n), true)
		event.Parts = append(event.Parts, added.modulePart())
	}
	q.hold(querySize(len(q.text), len(q.parts)) - q.size)
	c.addEvent(c.now, event)
}

// refuse carries out a Refuse action.
func (c *Core) refuse(action eiderwinch.Refuse) {
	if q := c.queries[action.Query]; q != nil {
		c.complete(q, Reply{Kind: Refused, RetryAfter: action.RetryAfter})
	}
}

// fail carries out a Fail action.
func (c *Core) fail(action eiderwinch.Fail) {
	if q := c.queries[action.Query]; q != nil {
		c.complete(q, Reply{Kind: Failed})
	}
}

// endOverdueQueries ends the queries that the aggregator has not ended in time, so that
// every query gets a final answer even if the decisions are wrong. It also ends those
// that EndBy cuts short.
func (c *Core) endOverdueQueries() {
	for t := c.backstops.Pop(c.now); t != nil; t = c.backstops.Pop(c.now) {
		q := t.Value
		if c.now.Before(q.deadline) {
			c.endEarly(q)
			continue
		}
		c.log.Error("query not ended by its deadline", "trace", q.trace)
		c.stats.DeadlineExceeded++
		c.addEvent(c.now, eiderwinch.Gone{Query: q.id})
		c.complete(q, Reply{Kind: Failed, Overdue: true})
	}
}

// EndBy makes the core end all queries by the given time, open ones as well as later ones. The process may
// exit after that time, and clients would wait for answers that never come.
func (c *Core) EndBy(at time.Time) {
	c.endBy = at
	for _, id := range slices.Sorted(maps.Keys(c.queries)) {
		if q := c.queries[id]; at.Before(q.backstopTimer.At()) {
			c.backstops.Set(&q.backstopTimer, at)
		}
	}
}

// EndEarly ends an open query before its deadline because of a shortage on this machine. It returns false if the query is
// not open.
func (c *Core) EndEarly(now time.Time, id uint64) bool {
	q := c.queries[id]
	if q == nil {
		return false
	}
	c.now = now
	c.endEarly(q)
	return true
}

// endEarly ends a query before its deadline: with an answer from the parts received so far if they are enough,
// else with a refusal if the client may safely ask again, else with a failure.
func (c *Core) endEarly(q *query) {
	c.stats.CutShort++
	c.addEvent(c.now, eiderwinch.Gone{Query: q.id})
	class := c.settings.Module.Classes[q.class]
	switch _, _, ok := c.answerable(q); {
	case ok && (q.secondStep || class.SecondStepParts == 0): // not before the second step where there is one
		c.answer(eiderwinch.Answer{Query: q.id})
	case !q.sent || class.Effect == eiderwinch.Safe:
		c.complete(q, Reply{Kind: Refused, RetryAfter: c.retryAdvice()})
	default:
		c.complete(q, Reply{Kind: Failed})
	}
}

// complete sends a query's final answer and removes the query.
func (c *Core) complete(q *query, reply Reply) {
	switch {
	case reply.Kind == Refused:
		c.stats.Refused++
	case reply.Kind == Failed:
		c.stats.Failed++
	case reply.Whole:
		c.stats.Whole++
	default:
		c.stats.Partial++
	}
	took := c.now.Sub(q.takenAt)
	if reply.Kind != Answered && !q.sent {
		c.stats.EndedUnsent++
	} else if reply.Kind == Answered && took > c.settings.Module.Classes[q.class].Aim {
		c.stats.Late++
	}
	c.recordOutcome(c.now, q.class, reply, took)
	c.logCompletion(q, reply, took)
	client := q.client
	c.removeQuery(c.now, q)
	reply.Epoch, reply.Generation = q.epoch(), q.liveSettings.Generation
	client.Reply(reply)
}

// replyKindNames are the names of reply kinds in the log.
var replyKindNames = map[ReplyKind]string{Answered: "answered", Refused: "refused", Failed: "failed"}

// logCompletion logs how a query ended and the state of its parts at that time.
func (c *Core) logCompletion(q *query, reply Reply, took time.Duration) {
	if !c.log.Enabled(context.Background(), slog.LevelDebug) {
		return
	}
	answered, unconfirmed, inFlight, attempts := 0, 0, 0, 0
	for _, p := range q.parts {
		if p.answers.best() != nil {
			answered++
		}
		if p.used != nil && p.used.state == provisionalAnswer {
			unconfirmed++
		}
		inFlight += len(p.inFlight)
		attempts += p.attempts
	}
	c.log.Debug("query ended", "trace", q.trace, "verdict", replyKindNames[reply.Kind], "whole", reply.Whole, "overdue", reply.Overdue, "took", took,
		"left", q.deadline.Sub(c.now), "sent", q.sent, "parts", len(q.parts), "parts_in", answered, "unconfirmed", unconfirmed, "attempts_out", inFlight, "attempts", attempts)
}

// recordOutcome records how a query ended if Settings.Recorder is set.
func (c *Core) recordOutcome(now time.Time, class int, reply Reply, took time.Duration) {
	if c.settings.Recorder == nil {
		return
	}
	outcome := querystats.Partial
	switch {
	case reply.Kind == Refused:
		outcome = querystats.Refused
	case reply.Kind == Failed:
		outcome = querystats.Failed
	case reply.Whole:
		outcome = querystats.Whole
	}
	c.settings.Recorder.Record(now, class, outcome, took)
}
