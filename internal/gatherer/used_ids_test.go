package gatherer

import (
	"errors"
	"fmt"
	"testing"
	"time"

	"eiderwinch"
)

// An id whose query may have run is not taken again, however that query has ended, until a minute later.
func TestIDOfQueryThatMayHaveRunIsRejected(t *testing.T) {
	for name, end := range map[string]func(h *harness, id uint64){
		"its client has left": func(h *harness, id uint64) { h.ClientDisconnected(h.at, id) },
		"it was answered": func(h *harness, id uint64) {
			h.Result(h.at, h.calls[0][0], eiderwinch.OK, 1, "v")
			h.advance(5*ms, eiderwinch.Answer{Query: id, Whole: true})
		},
		"it has failed":         func(h *harness, id uint64) { h.advance(5*ms, eiderwinch.Fail{Query: id}); h.advance(400 * ms) },
		"it was refused":        func(h *harness, id uint64) { h.EndEarly(h.at, id) },
		"its deadline has come": func(h *harness, _ uint64) { h.advance(400 * ms) },
	} {
		t.Run(name, func(t *testing.T) {
			h := newHarness(t)
			id := h.submit("reserve", "t", 0)
			h.advance(5*ms, eiderwinch.Send{Part: id + 1, Replica: "a"})
			end(h, id)
			if h.OpenQueries() != 0 {
				t.Fatal("the query is open")
			}
			request := QueryRequest{Trace: "t", Class: "search", Parts: []PartRequest{{0, 1}}}
			if _, err := h.Take(h.at, request, h); !errors.Is(err, ErrDuplicate) {
				t.Errorf("the same id at once: %v, want %v", err, ErrDuplicate)
			}
			if _, err := h.Take(h.at.Add(minUsedIDTime+time.Second), request, h); err != nil {
				t.Errorf("the same id much later: %v", err)
			}
		})
	}
}

// A query that was refused before anything was sent may be asked again under its id.
func TestIDOfQueryThatHasNotRunIsTakenAgain(t *testing.T) {
	h := newHarness(t)
	h.EndEarly(h.at, h.submit("reserve", "t", 0))
	if id := h.submit("reserve", "t", 0); id == 0 {
		t.Error("the id was not taken again")
	}
}

// The newest ids are remembered, however many have come, and each for its time.
func TestNewestUsedIDsAreRemembered(t *testing.T) {
	now := time.Unix(0, 0)
	u := newUsedIDs([]eiderwinch.Class{{Deadline: time.Minute, RepeatWindow: time.Second}})
	const ids = 10 * usedIDSets * usedIDsPerSet
	for i := range ids {
		now = now.Add(time.Microsecond)
		u.add(now, fmt.Sprint(i))
	}
	remembered := func(at time.Time, from, to int) (n int) {
		for i := from; i < to; i++ {
			if u.contains(at, fmt.Sprint(i)) {
				n++
			}
		}
		return n
	}
	const newest = usedIDSets // one for each set in the mean
	if n := remembered(now, ids-newest, ids); n < newest*99/100 {
		t.Errorf("%d of the newest %d ids are remembered", n, newest)
	}
	if n := remembered(now.Add(time.Minute), ids-newest, ids); n < newest*99/100 {
		t.Errorf("%d of %d ids are remembered for the deadline and the repeat window", n, newest)
	}
	if n := remembered(now.Add(time.Minute+time.Second), 0, ids); n != 0 {
		t.Errorf("%d ids are remembered longer", n)
	}
}
