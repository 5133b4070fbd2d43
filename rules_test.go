package eiderwinch

import (
	"fmt"
	"testing"
	"time"
)

// The rules at the edges of what settings allow.

func TestNeverTwoAttemptsAtOnceWhereNotAllowed(t *testing.T) {
	s := testSettings()
	s.SecondCopies, s.MaxAttempts = false, 3
	c := start(t, s)
	out := make(map[uint64]int)
	for _, x := range only[Send](c.turn(ask(1, 0, 0, 1, 2, 3))) {
		out[x.Part]++
	}
	for c.a.open[1] != nil {
		for _, x := range only[Send](c.after(20 * ms)) {
			if out[x.Part]++; out[x.Part] > 1 {
				t.Fatalf("part %d has two attempts out", x.Part)
			}
		}
	}
}

func TestNoAdviceWhereNotAllowed(t *testing.T) {
	for _, allowed := range []bool{true, false} {
		s := testSettings()
		s.RetryAdvice = allowed
		c := start(t, s)
		c.a.usual = float64(50 * ms)
		q := ask(1, 0, 0)
		q.Left = 40 * ms // too late for a call
		for _, r := range only[Refuse](c.turn(q)) {
			c.want(fmt.Sprint("advice when allowed is ", allowed), r.RetryAfter > 0, allowed)
		}
	}
}

// TestWholeFleetColdAtOnce counts what two aggregators send to four servers that all start at once: for no
// window of ColdOverloads more than turnsUsed times ColdMultiple of what one core of a cold server can do.
func TestWholeFleetColdAtOnce(t *testing.T) {
	sent := make(map[string][]time.Duration)
	for number := range 2 {
		s := testSettings()
		s.Number = number
		c := &script{t: t, a: New(s), now: 100_000 * ms}
		list := ring("a", "b", "c", "d")
		for i := range list {
			list[i].Started = c.now
		}
		c.turn(ListChange{Kind: Whole, Replicas: list})
		var due []Send
		for i := range uint64(28) { // every call is answered after 140 ms: a part is 125 ms of work or less
			var events []Event
			for _, x := range due {
				events = append(events, ok(x.Part, 0, x.Replica))
			}
			events = append(events, ask(i+1, 0, int(i%4), int((i+1)%4)))
			due = only[Send](c.after(140*ms, events...))
			for _, x := range due {
				sent[x.Replica] = append(sent[x.Replica], c.now)
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
			// A part counts 125 ms, a call 50 ms; a server of one core warms from 0.2 to 0.52 in these 4 s.
			able := 0.52 * 2 * 2000 * float64(ms)
			if work := float64(n) * float64(125*ms); work > turnsUsed*able {
				t.Fatalf("%s got %d parts within two seconds", id, n)
			}
		}
	}
	if len(sent) == 0 {
		t.Error("nothing was sent at all")
	}
}

func TestLongerGraceStopsNewWorkAtOnceAllTheSame(t *testing.T) {
	c := start(t, testSettings())
	drained := ring("a", "b", "c", "d")[1:2]
	drained[0].State = Draining
	c.turn(ListChange{Kind: Changes, Replicas: drained})
	for i := range uint64(20) {
		for _, x := range only[Send](c.after(20*ms, ask(i+1, 0, 0, 1))) {
			if x.Replica == "b" {
				t.Fatal("work for a draining server")
			}
		}
	}
}
