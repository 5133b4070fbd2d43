package gatherer

import (
	"cmp"
	"context"
	"log/slog"
	"maps"
	"slices"
	"time"

	"eiderwinch"
	"eiderwinch/internal/service"
)

// slack is how far sums of weights may fall short: they are rounded on their way.
const slack = 1e-4

// Result tells that a searcher has answered an attempt: OK with a value, else
// Failed or Full. Results of attempts that are over are passed over.
func (c *Core) Result(now time.Time, a *Attempt, s eiderwinch.Status, score int64, value string) {
	if c.end(now, a, s) && s == eiderwinch.OK && !a.part.over && !a.part.in {
		a.part.in, a.part.score, a.part.value = true, score, value
	}
}

// Unsent tells that an attempt never left: it surely has not run. That says something of its
// searcher only where somebody still waited for it.
func (c *Core) Unsent(now time.Time, a *Attempt) {
	status := eiderwinch.NoConnection
	if !a.over && a.unwanted() {
		status = eiderwinch.NotSent
	}
	c.end(now, a, status)
}

// Broken tells that an attempt's connection broke when it may have arrived.
func (c *Core) Broken(now time.Time, a *Attempt) { c.end(now, a, eiderwinch.Reset) }

// answer gives a client its answer or, where the class has a second step,
// starts that with the first. Only values that are in are given, and only what
// is whole by the core's own books is marked so.
func (c *Core) answer(x eiderwinch.Answer) {
	q := c.queries[x.Query]
	if q == nil {
		return
	}
	class := c.set.Module.Classes[q.class]
	in, weight, ok := c.answerable(q)
	whole := x.Whole && weight >= class.Need-slack
	if q.second {
		whole = x.Whole && q.firstWhole && len(in) == len(q.parts)
	}
	if !ok {
		c.log.Error("answer from too little", "trace", q.trace, "weight", weight)
		c.conclude(q, Reply{Verdict: Failed})
		return
	}
	if class.Fetch > 0 && !q.second {
		c.secondStep(q, in, min(class.Fetch, len(in)), whole)
		return
	}
	r := Reply{Verdict: Answered, Whole: whole}
	for _, p := range in {
		r.Pieces = append(r.Pieces, Piece{Shard: p.shard, Value: p.value})
	}
	c.conclude(q, r)
}

// answerable returns the parts of a query's present step that are in, their weight, and whether that is
// enough to be given.
func (c *Core) answerable(q *query) (in []*part, weight float64, ok bool) {
	class := c.set.Module.Classes[q.class]
	least := class.Floor
	if q.second && class.Floor >= class.Need {
		least = 1
	}
	in, weight = q.in()
	return in, weight, len(in) > 0 && weight >= least-slack
}

// secondStep replaces a query's parts by n at the shards with the highest scores.
func (c *Core) secondStep(q *query, in []*part, n int, whole bool) {
	c.stats.SecondSteps++
	q.second, q.firstWhole = true, whole
	for _, p := range in {
		q.from = append(q.from, p.shard)
	}
	slices.Sort(q.from)
	slices.SortStableFunc(in, func(x, y *part) int {
		return cmp.Or(cmp.Compare(y.score, x.score), cmp.Compare(x.shard, y.shard))
	})
	c.dropParts(q)
	event := eiderwinch.SecondStep{Query: q.id}
	for _, p := range in[:n] {
		s := c.bookPart(q, p.shard, 1/float64(n), true)
		event.Parts = append(event.Parts, s.told())
	}
	c.tell(c.now, event)
}

func (c *Core) refuse(x eiderwinch.Refuse) {
	if q := c.queries[x.Query]; q != nil {
		c.conclude(q, Reply{Verdict: Refused, RetryAfter: x.RetryAfter})
	}
}

func (c *Core) fail(x eiderwinch.Fail) {
	if q := c.queries[x.Query]; q != nil {
		c.conclude(q, Reply{Verdict: Failed})
	}
}

// endOverdue ends what the aggregator has not ended in time: no query goes
// without a final answer, whatever goes wrong with the decisions.
func (c *Core) endOverdue() {
	for t := c.overdue.Pop(c.now); t != nil; t = c.overdue.Pop(c.now) {
		q := t.Value
		if c.now.Before(q.deadline) {
			c.cutShort(q)
			continue
		}
		c.log.Error("query not ended by its deadline", "trace", q.trace)
		c.stats.Overdue++
		c.tell(c.now, eiderwinch.Gone{Query: q.id})
		c.conclude(q, Reply{Verdict: Failed, Overdue: true})
	}
}

// EndBy has all queries ended by then, those that are open and those that are still to come: the process
// may be gone afterwards, and its clients would wait for nobody.
func (c *Core) EndBy(at time.Time) {
	c.endBy = at
	for _, id := range slices.Sorted(maps.Keys(c.queries)) {
		if q := c.queries[id]; at.Before(q.timer.At()) {
			c.overdue.Set(&q.timer, at)
		}
	}
}

// cutShort ends a query before its time, with what is in where that may be given, else by a refusal where a
// repeat does no harm.
func (c *Core) cutShort(q *query) {
	c.stats.CutShort++
	c.tell(c.now, eiderwinch.Gone{Query: q.id})
	class := c.set.Module.Classes[q.class]
	switch _, _, ok := c.answerable(q); {
	case ok && (q.second || class.Fetch == 0): // else there is a step to come
		c.answer(eiderwinch.Answer{Query: q.id})
	case !q.sent || class.Effect == eiderwinch.Safe:
		c.conclude(q, Reply{Verdict: Refused, RetryAfter: c.advice()})
	default:
		c.conclude(q, Reply{Verdict: Failed})
	}
}

// conclude gives a query's final answer.
func (c *Core) conclude(q *query, r Reply) {
	switch {
	case r.Verdict == Refused:
		c.stats.Refused++
	case r.Verdict == Failed:
		c.stats.Failed++
	case r.Whole:
		c.stats.Whole++
	default:
		c.stats.Partial++
	}
	took := c.now.Sub(q.taken)
	if r.Verdict != Answered && !q.sent {
		c.stats.Unsent++
	} else if r.Verdict == Answered && took > c.set.Module.Classes[q.class].Aim {
		c.stats.Late++
	}
	c.record(c.now, q.class, r, took)
	c.trace(q, r, took)
	c.close(q)
	r.Epoch, r.Generation = q.epoch(), q.live.Generation
	q.client.Reply(r)
}

// verdicts are the names of verdicts in the log.
var verdicts = map[Verdict]string{Answered: "answered", Refused: "refused", Failed: "failed"}

// trace logs how a query ended, and what had become of its parts by then.
func (c *Core) trace(q *query, r Reply, took time.Duration) {
	if !c.log.Enabled(context.Background(), slog.LevelDebug) {
		return
	}
	in, out, tries := 0, 0, 0
	for _, p := range q.parts {
		if p.in {
			in++
		}
		out += len(p.out)
		tries += p.tries
	}
	c.log.Debug("query ended", "trace", q.trace, "verdict", verdicts[r.Verdict], "whole", r.Whole, "overdue", r.Overdue, "took", took,
		"left", q.deadline.Sub(c.now), "sent", q.sent, "parts", len(q.parts), "parts_in", in, "attempts_out", out, "attempts", tries)
}

// record books how a query fared, where that is recorded.
func (c *Core) record(now time.Time, class int, r Reply, took time.Duration) {
	if c.set.Service == nil {
		return
	}
	o := service.Partial
	switch {
	case r.Verdict == Refused:
		o = service.Refused
	case r.Verdict == Failed:
		o = service.Failed
	case r.Whole:
		o = service.Whole
	}
	c.set.Service.Record(now, class, o, took)
}
