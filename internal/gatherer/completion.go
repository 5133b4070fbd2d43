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
