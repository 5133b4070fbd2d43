package gatherer

import (
	"testing"
	"time"

	"eiderwinch"
)

// startKeyed starts a query of one keyed part, and returns the part's ID. Its repeat window is 100 ms, its deadline 300 ms.
func startKeyed(t *testing.T) (h *harness, part uint64) {
	h = newHarness(t)
	h.settings.Module.MaxAttempts = 4
	h.settings.Module.SecondCopies = true
	h.settings.Module.Classes[1].RepeatWindow = 100 * ms
	h.submit("reserve", "t", 0)
	for id := range h.parts {
		part = id
	}
	return h, part
}

// send starts an attempt.
func (h *harness) send(part uint64, searcher string) *Attempt {
	h.t.Helper()
	h.addEvent(h.at, eiderwinch.Woken{}) // so that there is a turn
	h.advance(5*ms, eiderwinch.Send{Part: part, Replica: searcher})
	return h.calls[len(h.calls)-1][0]
}

// Guards against a repeat that is barred too early: an attempt that was not sent whole is remembered by no searcher.
func TestRepeatWindowIsCountedFromTheFirstAttemptThatMayHaveRun(t *testing.T) {
	h, part := startKeyed(t)
	unsent := h.send(part, "a")
	h.advance(80 * ms)
	h.NotSent(h.at, unsent)
	mayHaveRun := h.send(part, "b")
	h.ConnectionBroken(h.at, mayHaveRun)
	repeat := h.send(part, "a")
	h.checkEqual("80 ms later", h.CompletionBar(h.at.Add(80*ms), repeat), SendAllowed)
	h.checkEqual("100 ms later", h.CompletionBar(h.at.Add(100*ms), repeat), RepeatWindowOver)
}

// Guards against a first attempt that arrives after its window because its frame was kept while a second one ran.
func TestKeptFirstAttemptIsBarredByASecondOne(t *testing.T) {
	h, part := startKeyed(t)
	kept := h.send(part, "a")
	h.checkEqual("alone", h.CompletionBar(h.at.Add(200*ms), kept), SendAllowed)
	copied := h.send(part, "b")
	h.checkEqual("beside a copy", h.CompletionBar(h.at.Add(200*ms), kept), RepeatWindowOver)
	h.NotSent(h.at, copied)
	h.checkEqual("beside a copy that was not sent", h.CompletionBar(h.at.Add(200*ms), kept), SendAllowed)
}

// Guards against a searcher that is told more time than its client has left.
func TestTimeToldBarsTheAttempt(t *testing.T) {
	for name, c := range map[string]struct {
		maySendSlowly  bool
		told, sendTime time.Duration
	}{
		"at once":      {false, 290 * ms, toldSlack},
		"maybe slowly": {true, 145 * ms, 145*ms + toldSlack},
	} {
		h, part := startKeyed(t)
		a := h.send(part, "a")
		now := a.Deadline.Add(-290 * ms)
		h.checkEqual(name+": told", a.TellWait(now, c.maySendSlowly), c.told)
		h.checkEqual(name+": in time", h.CompletionBar(now.Add(c.sendTime-ms), a), SendAllowed)
		h.checkEqual(name+": too late", h.CompletionBar(now.Add(c.sendTime), a), ToldTooMuch)
	}
}

// Guards against a call that is cut off in the middle by a drain: its first byte was in time.
func TestDrainBarsTheFirstByteOnly(t *testing.T) {
	h, part := startKeyed(t)
	a := h.send(part, "a")
	h.UpdateMembers(h.at, eiderwinch.Changes, []Member{{ID: "a", State: eiderwinch.Draining}})
	h.checkEqual("first byte", h.SendBar(h.at, a), SearcherNotReady)
	h.checkEqual("last byte", h.CompletionBar(h.at, a), SendAllowed)
	h.clientLeft = true
	h.checkEqual("last byte for a client that has left", h.CompletionBar(h.at, a), ResultUnwanted)
}

// Guards against a part that is sent to a searcher that drains because its call also waits for unread data.
func TestUnreadDataHidesNoDrain(t *testing.T) {
	h, part := startKeyed(t)
	h.send(part, "a")
	copied := h.send(part, "b")
	h.dataUnread = true
	h.checkEqual("unread data", h.SendBar(h.at, copied), AnswerUnread)
	h.UpdateMembers(h.at, eiderwinch.Changes, []Member{{ID: "b", State: eiderwinch.Draining}})
	h.checkEqual("first byte", h.SendBar(h.at, copied), SearcherNotReady)
	h.checkEqual("last byte", h.CompletionBar(h.at, copied), AnswerUnread)
}
