package gatherer

import (
	"strings"
	"testing"

	"eiderwinch"
	"eiderwinch/internal/memory"
)

func TestQueryWithoutRoomIsRefused(t *testing.T) {
	h := newHarness(t)
	h.noRoom = true
	if id := h.submit("search", "t", 0); id != 0 || len(h.replies) != 1 || h.replies[0].Kind != Refused || h.replies[0].RetryAfter == 0 {
		t.Errorf("have query %d, %+v", id, h.replies)
	}
	if h.OpenQueries() != 0 || h.stats.RefusedForMemory != 1 || len(h.turns) > 1 {
		t.Errorf("%d open, %d refused for memory, %d turns", h.OpenQueries(), h.stats.RefusedForMemory, len(h.turns))
	}
}

// The client is told what its query takes, from its text to the values of its parts.
func TestWhatAQueryTakesIsReported(t *testing.T) {
	h := newHarness(t)
	id := h.submit("report", "t", 0, 1, 2)
	base := querySize(len("text"), 3)
	h.checkEqual("held at first", h.held, base)
	h.advance(5*ms, eiderwinch.Send{Part: id + 1, Replica: "a"}, eiderwinch.Send{Part: id + 2, Replica: "a"}, eiderwinch.Send{Part: id + 3, Replica: "b"})
	var attempts []*Attempt
	for _, call := range h.calls {
		attempts = append(attempts, call...)
	}
	h.Result(h.at, attempts[0], eiderwinch.OK, 1, strings.Repeat("v", 5000))
	h.checkEqual("held with a value", h.held, base+memory.BufferSize(5000))
	h.Result(h.at, attempts[1], eiderwinch.OK, 1, "w")
	h.Result(h.at, attempts[2], eiderwinch.OK, 1, "w")
	h.advance(5*ms, eiderwinch.Answer{Query: id})
	h.checkEqual("held in the second step", h.held, querySize(len("text"), 2))
}

func TestDoubtfulValueIsNotHeld(t *testing.T) {
	h := newHarness(t)
	id := h.submit("search", "t", 0)
	base := h.held
	h.advance(5*ms, eiderwinch.Send{Part: id + 1, Replica: "a"})
	h.ProvisionalResult(h.at, h.calls[0][0], 1, strings.Repeat("v", 5000))
	h.checkEqual("held with the value", h.held, base+memory.BufferSize(5000))
	if !h.Doubt(h.at, h.calls[0][0], InvalidData) {
		t.Error("the value was not taken back")
	}
	h.checkEqual("held after that", h.held, base)
}

func TestQueryEndedEarlyGetsOneAnswer(t *testing.T) {
	for name, c := range map[string]struct {
		class string
		sent  bool
		want  ReplyKind
	}{
		"not sent":       {"reserve", false, Refused},
		"safe":           {"search", true, Refused},
		"may have run":   {"reserve", true, Failed},
		"partly, half":   {"half", true, Refused},
		"keyed, unsent":  {"reserve", false, Refused},
		"report, unsent": {"report", false, Refused},
	} {
		t.Run(name, func(t *testing.T) {
			h := newHarness(t)
			id := h.submit(c.class, "t", 0, 1)
			if c.sent {
				h.advance(5*ms, eiderwinch.Send{Part: id + 1, Replica: "a"})
			}
			h.EndEarly(h.at, id)
			h.EndEarly(h.at, id)
			h.advance(300 * ms)
			if len(h.replies) != 1 || h.replies[0].Kind != c.want || h.OpenQueries() != 0 {
				t.Errorf("have %+v, %d open; want kind %d", h.replies, h.OpenQueries(), c.want)
			}
		})
	}
}

// Guards against clients and values that are kept for as long as a searcher does not answer an abandoned attempt.
func TestEndedQueryKeepsNoClientAndNoValues(t *testing.T) {
	h := newHarness(t)
	h.settings.Module.MaxAttempts = 4
	id := h.submit("search", "t", 0)
	h.advance(5*ms, eiderwinch.Send{Part: id + 1, Replica: "a"}, eiderwinch.Wake{After: 5 * ms})
	abandoned := h.calls[0][0]
	h.advance(5*ms, eiderwinch.Cancel{Part: id + 1}, eiderwinch.Send{Part: id + 1, Replica: "b"})
	h.Result(h.at, h.calls[1][0], eiderwinch.OK, 1, "v")
	h.advance(5*ms, eiderwinch.Answer{Query: id, Whole: true})
	h.checkEqual("replies", h.replies, []Reply{{Whole: true, Values: []ShardValue{{0, "v"}}}})
	part := abandoned.part
	if part.query.client != nil || part.query.text != "" || part.answers.list[0].value != "" {
		t.Errorf("kept: client %v, text %q, value %q", part.query.client, part.query.text, part.answers.list[0].value)
	}
	h.LateResult(h.at, abandoned, false, 1, "late")
	h.checkEqual("late answers that count", h.stats.LateAnswers, 0)
}
