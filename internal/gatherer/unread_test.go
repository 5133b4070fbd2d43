package gatherer

import (
	"testing"

	"eiderwinch"
)

// A gatherer that was held up reads a searcher's answer before it takes the attempt for timed out, but doesn't wait long.
func TestUnreadAnswerIsReadBeforeItsAttemptTimesOut(t *testing.T) {
	for name, answered := range map[string]bool{"the answer is read": true, "no answer is in the data": false} {
		t.Run(name, func(t *testing.T) {
			h := newHarness(t)
			id := h.submit("search", "t", 0)
			h.advance(5*ms, eiderwinch.Send{Part: id + 1, Replica: "a", TimeOut: 50 * ms})
			h.dataUnread = true
			h.advance(55 * ms)
			if got := h.outcomes(); len(got) > 0 {
				t.Errorf("have %v while data is unread", got)
			}
			want := eiderwinch.TimedOut
			if answered {
				h.Result(h.at, h.calls[0][0], eiderwinch.OK, 1, "v")
				want = eiderwinch.OK
			}
			h.advance((unreadGrace + 2) * 5 * ms)
			h.checkEqual("outcomes", h.outcomes(), []eiderwinch.Status{want})
		})
	}
}
