package eiderwinch

import (
	"testing"
	"time"
)

// provisional returns the outcome with a provisional answer.
func provisional(o Outcome) Outcome { o.Provisional = true; return o }

// A query must not be answered with a provisional value, which may be cut short, before it is confirmed, unless the wait would
// cost the query worth.
func TestProvisionalAnswerWaitsForItsConfirmation(t *testing.T) {
	const aim, left = 1000 * ms, 3000 * ms
	for name, c := range map[string]struct {
		answeredAt  time.Duration // when the provisional answer of the last part comes
		confirmedAt time.Duration // 0: never
		from, to    time.Duration // between which the query is answered
	}{
		"confirmed in the same turn": {20 * ms, 20 * ms, 20 * ms, 20 * ms},
		"confirmed later":            {20 * ms, 220 * ms, 220 * ms, 220 * ms},
		"never confirmed":            {20 * ms, 0, 800 * ms, aim - 100*ms},
		"never, shortly before":      {950 * ms, 0, 970 * ms, aim - 10*ms},
		"confirmed after the aim":    {1200 * ms, 1300 * ms, 1300 * ms, 1300 * ms},
		"never, and it comes late":   {1200 * ms, 0, left - 400*ms, left - 100*ms},
		"never, shortly before it":   {left - 50*ms, 0, left - 30*ms, left - 5*ms},
		"never, with no time left":   {left - 5*ms, 0, left - 5*ms, left - 5*ms},
	} {
		t.Run(name, func(t *testing.T) {
			s := testSettings()
			s.SecondCopies = false
			d := startAggregator(t, s)
			arrived := d.now
			sent := actionsOf[Send](d.turn(newQuery(1, 1, 0, 1))) // keyed: its late answers earn something
			d.after(10*ms, okOutcome(10, 0, sent[0].Replica))
			for d.now < arrived+left {
				var events []Event
				d.now += 5 * ms
				if d.now == arrived+c.answeredAt {
					events = append(events, provisional(okOutcome(11, 0, sent[1].Replica)))
				}
				if c.confirmedAt > 0 && d.now == arrived+c.confirmedAt {
					events = append(events, Confirmed{Part: 11})
				}
				answers := actionsOf[Answer](d.turn(events...))
				if len(answers) == 0 {
					continue
				}
				d.checkEqual("answers", answers, []Answer{{1, true}})
				if at := d.now - arrived; at < c.from || at > c.to {
					t.Errorf("answered after %v, want %v to %v", at, c.from, c.to)
				}
				return
			}
			t.Error("the query was not answered")
		})
	}
}

// A partial answer must not miss its aim because one of its parts is provisional.
func TestPartialAnswerKeepsItsAim(t *testing.T) {
	s := testSettings()
	s.Classes[3].LateWorth = 0.5
	d := startAggregator(t, s)
	arrived := d.now
	sent := actionsOf[Send](d.turn(newQuery(1, 3, 0, 1)))
	d.after(20*ms, provisional(okOutcome(10, 0, sent[0].Replica))) // the other part is never answered
	for d.now < arrived+1000*ms {
		if answers := actionsOf[Answer](d.after(5 * ms)); len(answers) > 0 {
			d.checkEqual("answers", answers, []Answer{{1, false}})
			return
		}
	}
	t.Error("the query was not answered by its aim")
}

// A second step names the shards that were answered, so the first step's answer must not rest on a provisional one either.
func TestSecondStepWaitsForConfirmation(t *testing.T) {
	s := testSettings()
	s.Classes[0].SecondStepParts = 1
	d := startAggregator(t, s)
	sent := actionsOf[Send](d.turn(newQuery(1, 0, 0, 1)))
	d.after(10*ms, okOutcome(10, 0, sent[0].Replica))
	d.checkEqual("answers before", len(actionsOf[Answer](d.after(10*ms, provisional(okOutcome(11, 0, sent[1].Replica))))), 0)
	d.checkEqual("answers before, later", len(actionsOf[Answer](d.after(100*ms))), 0)
	d.checkEqual("answers after", len(actionsOf[Answer](d.after(10*ms, Confirmed{Part: 11}))), 1)
}

// A query with a provisional answer asks for a turn when it stops to wait, and its wait is no sign of busy searchers.
func TestWaitForConfirmationIsNoLoad(t *testing.T) {
	d := startAggregator(t, testSettings())
	sent := actionsOf[Send](d.turn(newQuery(1, 0, 0)))
	d.after(10*ms, provisional(okOutcome(10, 0, sent[0].Replica)))
	q := d.aggregator.openQueries[1]
	d.now = q.confirmBy - 7*ms
	wake := actionsOf[Wake](d.turn())
	if len(wake) != 1 || wake[0].After != 7*ms {
		t.Errorf("have %v, want a turn in 7 ms", wake)
	}
	d.checkEqual("answers", len(actionsOf[Answer](d.after(7*ms))), 1)
	d.checkEqual("typical time of a query", q.class.typicalQueryTime, float64(10*ms))
}

// WIRE, rule 1: "A `hand_off` for a part that is over (its query ended by the instance itself, or either's end
// told in an earlier batch) breaks the rule". Guards against a part that is sent again though its answer, which is
// in doubt, may have been good, and against a query that waits for it in vain.
func TestPartInDoubtIsNotSentAgain(t *testing.T) {
	for class, name := range []string{"read", "keyed", "unsafe"} {
		d := startAggregator(t, testSettings())
		sent := actionsOf[Send](d.turn(newQuery(1, class, 0, 1)))
		d.checkEqual(name+": sends", len(sent), 2)
		actions := d.after(20*ms, provisional(okOutcome(10, 0, sent[0].Replica)))
		d.checkEqual(name+": answers", len(actionsOf[Answer](actions)), 0)
		actions = d.after(20*ms, InDoubt{Part: 10}, InDoubt{Part: 10}, okOutcome(11, 0, sent[1].Replica))
		d.checkEqual(name+": answers with a part in doubt", len(actionsOf[Answer](actions)), 0)
		d.checkEqual(name+": sent again", len(actionsOf[Send](actions)), 0)
		d.checkEqual(name+": refused at once", len(actionsOf[Refuse](actions)) == 1, name == "read")
		d.checkEqual(name+": failed at once", len(actionsOf[Fail](actions)) == 1, name != "read")
	}
}

// A query that may be answered in part goes on without a part in doubt, and sends only the others again.
func TestPartialQueryGoesOnWithoutAPartInDoubt(t *testing.T) {
	s := testSettings()
	s.SecondCopies = false
	d := startAggregator(t, s)
	sent := actionsOf[Send](d.turn(newQuery(1, 3, 0, 1)))
	d.after(20*ms, provisional(okOutcome(10, 0, sent[0].Replica)))
	actions := d.after(20*ms, InDoubt{Part: 10}, withStatus(okOutcome(11, 0, sent[1].Replica), Reset))
	again := actionsOf[Send](actions)
	if len(again) != 1 || again[0].Part != 11 {
		t.Fatalf("sent again: %v, want part 11 alone", again)
	}
	actions = d.after(20*ms, okOutcome(11, 1, again[0].Replica))
	d.checkEqual("answers", actionsOf[Answer](actions), []Answer{{1, false}})
}

// A query must not be failed as one that crashes searchers because the gatherer has closed the connections of its parts, for
// another part's spoilt answer.
func TestConnectionClosedByGathererIsNoCrash(t *testing.T) {
	for name, closedByGatherer := range map[string]bool{"by the gatherer": true, "by the searchers": false} {
		s := testSettings()
		s.SecondCopies = false
		d := startAggregator(t, s)
		sent := actionsOf[Send](d.turn(newQuery(1, 1, 0)))
		for attempt := range 2 {
			reset := withStatus(okOutcome(10, attempt, sent[0].Replica), Reset)
			reset.ClosedByGatherer = closedByGatherer
			if sent = actionsOf[Send](d.after(20*ms, reset)); len(sent) == 0 {
				break
			}
		}
		d.checkEqual(name+": sent a third time", len(sent) == 1, closedByGatherer)
	}
}

// A second copy must not be cancelled for a provisional answer: its answer replaces one that may be cut short.
func TestSecondCopyStaysUntilTheAnswerIsConfirmed(t *testing.T) {
	for name, c := range map[string]struct {
		events   func(copyAt string) []Event
		answered bool
	}{
		"neither is confirmed":       {func(at string) []Event { return []Event{provisional(okOutcome(10, 1, at))} }, false},
		"the first is confirmed":     {func(string) []Event { return []Event{Confirmed{Part: 10}} }, true},
		"the copy's answer is final": {func(at string) []Event { return []Event{okOutcome(10, 1, at)} }, true},
		"the copy's is confirmed":    {func(at string) []Event { return []Event{provisional(okOutcome(10, 1, at)), Confirmed{10, 1}} }, true},
		"the copy fails":             {func(at string) []Event { return []Event{withStatus(okOutcome(10, 1, at), Failed)} }, false},
		"the first is in doubt then": {func(at string) []Event { return []Event{InDoubt{Part: 10}, okOutcome(10, 1, at)} }, true},
	} {
		d := startAggregator(t, testSettings())
		d.aggregator.secondCopyCredit = maxSecondCopyCredit
		sent := actionsOf[Send](d.turn(newQuery(1, 0, 0)))
		first := sent[0]
		for sent = nil; len(sent) == 0; {
			sent = actionsOf[Send](d.after(5 * ms))
		}
		actions := d.after(5*ms, provisional(okOutcome(10, 0, first.Replica)))
		d.checkEqual(name+": cancelled at first", len(actionsOf[Cancel](actions)), 0)
		actions = d.after(5*ms, c.events(sent[0].Replica)...)
		d.checkEqual(name+": answered", len(actionsOf[Answer](actions)) == 1, c.answered)
	}
}

// An answer that comes after its attempt was given up ends its part: the retry in flight is cancelled, and the part
// is not sent again, whatever becomes of that.
func TestLateAnswerEndsItsPart(t *testing.T) {
	for name, status := range map[string]Status{"timed out": TimedOut, "cancelled": Cancelled} {
		s := testSettings()
		s.SecondCopies = false
		d := startAggregator(t, s)
		sent := actionsOf[Send](d.turn(newQuery(1, 0, 0, 1)))
		again := actionsOf[Send](d.after(20*ms, withStatus(okOutcome(10, 0, sent[0].Replica), status)))
		if len(again) != 1 || again[0].Part != 10 {
			t.Fatalf("%s: sent again: %v", name, again)
		}
		actions := d.after(5*ms, LateAnswer{Part: 10, Attempt: 0})
		d.checkEqual(name+": cancels", actionsOf[Cancel](actions), []Cancel{{10, 1}})
		actions = d.after(5*ms, withStatus(okOutcome(10, 1, again[0].Replica), Reset))
		d.checkEqual(name+": sent a third time", len(actionsOf[Send](actions)), 0)
		actions = d.after(5*ms, okOutcome(11, 0, sent[1].Replica))
		d.checkEqual(name+": answers", actionsOf[Answer](actions), []Answer{{1, true}})
	}
}

// Guards against a searcher that is ejected because the gatherer itself has closed the connection of its answer.
func TestDoubtByAnOwnCloseBlamesNoSearcher(t *testing.T) {
	for name, closedHere := range map[string]bool{"closed here": true, "ended by the searcher": false} {
		d := startAggregator(t, testSettings())
		sent := actionsOf[Send](d.turn(newQuery(1, 0, 0, 1)))
		d.after(20*ms, provisional(okOutcome(10, 0, sent[0].Replica)))
		d.after(5*ms, InDoubt{Part: 10, ClosedByGatherer: closedHere})
		d.checkEqual(name+": ejected", d.aggregator.searchersByID[sent[0].Replica].ejected, !closedHere)
	}
}
