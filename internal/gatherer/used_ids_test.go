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

func TestUsedIDsAreBounded(t *testing.T) {
	u, now := newUsedIDs([]eiderwinch.Class{{Deadline: time.Minute, RepeatWindow: time.Second}}), time.Unix(0, 0)
	for i := range 3 * maxUsedIDs {
		u.add(now, fmt.Sprint(i))
		u.add(now, fmt.Sprint(i))
	}
	if len(u.order) != maxUsedIDs || len(u.known) != maxUsedIDs {
		t.Errorf("%d ids in order, %d known, want %d", len(u.order), len(u.known), maxUsedIDs)
	}
	if u.contains(now, "0") || !u.contains(now, fmt.Sprint(3*maxUsedIDs-1)) {
		t.Error("want the newest ids to be remembered")
	}
	if u.contains(now.Add(time.Minute+time.Second), fmt.Sprint(3*maxUsedIDs-1)) || len(u.known) != 0 {
		t.Error("want no ids to be remembered after their time")
	}
}
