package eiderwinch

import (
	"fmt"
	"testing"
	"time"
)

func TestNoSecondCopiesWhereDisabled(t *testing.T) {
	s := testSettings()
	s.SecondCopies, s.MaxAttempts = false, 3
	d := startAggregator(t, s)
	attempts := make(map[uint64]int)
	for _, x := range actionsOf[Send](d.turn(newQuery(1, 0, 0, 1, 2, 3))) {
		attempts[x.Part]++
	}
	for d.aggregator.openQueries[1] != nil {
		for _, x := range actionsOf[Send](d.after(20 * ms)) {
			if attempts[x.Part]++; attempts[x.Part] > 1 {
				t.Fatalf("part %d has two attempts in flight", x.Part)
			}
		}
	}
}

func TestNoRetryAdviceWhereDisabled(t *testing.T) {
	for _, allowed := range []bool{true, false} {
		s := testSettings()
		s.RetryAdvice = allowed
		d := startAggregator(t, s)
		d.aggregator.typicalLatency = float64(50 * ms)
		q := newQuery(1, 0, 0)
		q.Left = 40 * ms // too late for a call
		for _, r := range actionsOf[Refuse](d.turn(q)) {
			d.checkEqual(fmt.Sprint("advice when allowed is ", allowed), r.RetryAfter > 0, allowed)
		}
	}
}

// TestAllSearchersColdAtOnce counts what two aggregators send to four searchers that all start at once. Within any
// ColdOverloadWindow it must be no more than coldOvercommit x ColdMultiple of what one core of a cold searcher can
// serve.
func TestAllSearchersColdAtOnce(t *testing.T) {
	sent := make(map[string][]time.Duration)
	for number := range 2 {
		s := testSettings()
		s.GathererNumber = number
		d := &driver{t: t, aggregator: New(s), now: 100_000 * ms}
		list := replicaRing("a", "b", "c", "d")
		for i := range list {
			list[i].Started = d.now
		}
		d.turn(ListChange{Kind: Whole, Replicas: list})
		var unanswered []Send
		for i := range uint64(28) { // every call is answered after 140 ms: a part takes 125 ms of work or less
			var events []Event
			for _, x := range unanswered {
				events = append(events, okOutcome(x.Part, 0, x.Replica))
			}
			events = append(events, newQuery(i+1, 0, int(i%4), int((i+1)%4)))
			unanswered = actionsOf[Send](d.after(140*ms, events...))
			for _, x := range unanswered {
				sent[x.Replica] = append(sent[x.Replica], d.now)
			}
		}
	}
	for id, times := range sent {
		for _, from := range times {
			n := 0
			for _, at := range times {
				if at >= from && at < from+2000*ms {
					n++
				}
			}
			// A part counts 125 ms, a call 50 ms; a searcher with one core warms from 0.2 to 0.52 in these 4 s.
			capacity := 0.52 * 2 * 2000 * float64(ms)
			if work := float64(n) * float64(125*ms); work > coldOvercommit*capacity {
				t.Fatalf("%s got %d parts within two seconds, with work of %v; want at most %v", id, n,
					time.Duration(work), time.Duration(coldOvercommit*capacity))
			}
		}
	}
	if len(sent) == 0 {
		t.Error("no part was sent")
	}
}

func TestDrainingSearcherGetsNoNewWork(t *testing.T) {
	d := startAggregator(t, testSettings())
	draining := replicaRing("a", "b", "c", "d")[1:2]
	draining[0].State = Draining
	d.turn(ListChange{Kind: Changes, Replicas: draining})
	for i := range uint64(20) {
		for _, x := range actionsOf[Send](d.after(20*ms, newQuery(i+1, 0, 0, 1))) {
			if x.Replica == "b" {
				t.Fatal("a draining searcher was sent work")
			}
		}
	}
}
