package netio

import (
	"testing"
	"time"

	"eiderwinch"
	"eiderwinch/internal/format/catalog"
	"eiderwinch/internal/trial/testpeer"
)

// withOther adds a searcher "o" to those of a harness.
func withOther(t *testing.T, h *harness) *testpeer.Searcher {
	other := testpeer.NewSearcher(t)
	h.cfg.InitialMembers.Members = append(h.cfg.InitialMembers.Members, catalog.Member{ID: "o", HostPort: other.Addr, Phase: catalog.Ready})
	return other
}

// sendTo scripts an aggregator that sends each part of the first query to some searchers, and those of others to "s".
func sendTo(h *harness, searchers ...string) {
	first := true
	h.decide = func(e eiderwinch.Event) (out []eiderwinch.Action) {
		query, ok := e.(eiderwinch.Query)
		if !ok {
			return nil
		}
		if !first {
			searchers = []string{"s"}
		}
		first = false
		for _, searcher := range searchers {
			for _, p := range query.Parts {
				out = append(out, eiderwinch.Send{Part: p.ID, Replica: searcher})
			}
		}
		return out
	}
}

// allowSecondCopies makes the core send a part that is in flight to a second searcher.
func allowSecondCopies(h *harness) {
	h.cfg.Gatherer.Module.SecondCopies = true
	h.rebuildCore()
}

// Guards against a second copy that leaves the queue after its part was answered.
func TestQueuedCopyIsNotSentAfterAnAnswer(t *testing.T) {
	var other *testpeer.Searcher
	dialed, release := make(chan bool, 10), make(chan bool)
	h := startHarness(t, func(h *harness) {
		other = withOther(t, h)
		sendTo(h, "s", "o")
		allowSecondCopies(h)
		h.beforeDial(other.Addr, waitFor(dialed, release))
	})
	h.sendQuery("search", "t", time.Minute, 1)
	first := h.nextPart()
	testpeer.Receive(t, dialed, "a dial for the copy")
	h.sendQuery("search", "u", time.Minute, 1)
	h.nextPart()
	first.Answer("served", 1, "v")
	if outcome := h.nextOutcome(); !outcome.Provisional {
		t.Fatalf("have %+v, want a provisional answer, since another part waits", outcome)
	}
	close(release)
	if outcome := h.nextOutcome(); outcome.Status != eiderwinch.NotSent || outcome.Attempt != 1 || len(other.Parts) > 0 {
		t.Errorf("have %+v and %d parts, want the copy not sent", outcome, len(other.Parts))
	}
}

// Guards against a second copy whose frame is completed after its part was answered.
func TestHalfSentCopyIsNotCompletedAfterAnAnswer(t *testing.T) {
	h := startStalledHarness(t, 0, func(h *harness) {
		sendTo(h, "s", "stalled")
		allowSecondCopies(h)
	})
	h.sendLargeQuery("search", "t", time.Minute)
	first := h.nextPart()
	h.waitUntilHalfSent()
	first.Answer("served", 1, "v")
	h.checkNothingArrives()
}
