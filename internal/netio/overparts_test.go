package netio

import (
	"net"
	"testing"
	"time"

	"eiderwinch"
	"eiderwinch/internal/format/catalog"
	"eiderwinch/internal/format/frame"
	"eiderwinch/internal/gatherer"
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

// sendAgainThen scripts an aggregator that sends the part of a query to "s" and, once the test signals, to "o" as well; with cancels,
// the first attempt is cancelled before. It answers when the part is answered, and sends the part to "s" if it was reset.
func sendAgainThen(h *harness, signal <-chan bool, cancels bool) {
	var query, part uint64
	h.decide = func(e eiderwinch.Event) []eiderwinch.Action {
		answer := []eiderwinch.Action{eiderwinch.Answer{Query: query, Whole: true}}
		switch e := e.(type) {
		case eiderwinch.Query:
			query, part = e.ID, e.Parts[0].ID
			return []eiderwinch.Action{eiderwinch.Send{Part: part, Replica: "s"}, eiderwinch.Wake{}}
		case eiderwinch.Woken:
			again := []eiderwinch.Action{eiderwinch.Cancel{Part: part}, eiderwinch.Send{Part: part, Replica: "o"}}
			if !cancels {
				again = again[1:]
			}
			return onceSignalled(signal, again...)
		case eiderwinch.LateAnswer:
			return answer
		case eiderwinch.Outcome:
			switch e.Status {
			case eiderwinch.OK:
				return answer
			case eiderwinch.Reset:
				return []eiderwinch.Action{eiderwinch.Send{Part: part, Replica: "s"}}
			}
		}
		return nil
	}
}

// WIRE, outcomes: "attempt_end [...] done_flag = true: this part is over (its answer is in [...])". Guards against a part that is sent after a
// late answer: its searcher answered before it read the cancel.
func TestQueuedRetryIsNotSentAfterALateAnswer(t *testing.T) {
	var other *testpeer.Searcher
	sendNow, dialed, release := make(chan bool, 1), make(chan bool, 10), make(chan bool)
	h := startHarness(t, func(h *harness) {
		other = withOther(t, h)
		sendAgainThen(h, sendNow, true)
		h.beforeDial(other.Addr, waitFor(dialed, release))
	})
	client := h.sendQuery("search", "t", time.Minute, 1)
	first := h.nextPart()
	sendNow <- true
	testpeer.Receive(t, dialed, "a dial for the retry")
	first.Answer("served", 1, wholeValue)
	if resp, body := client.ReadResponse(); resp.StatusCode != 200 || body != wholeBody {
		t.Errorf("have %s %s, want the late value", resp.Status, body)
	}
	close(release)
	h.waitUntil("the connection is up", func() bool { return len(h.pool.searchers["o"].queue) == 0 })
	time.Sleep(sentAgainWithin)
	if len(other.Parts) > 0 {
		t.Errorf("part %s is sent after its answer", (<-other.Parts).ID)
	}
}

// Guards against a third attempt after a late answer to the first one, which ended while the second was in flight.
func TestPartIsNotSentAgainAfterALateAnswer(t *testing.T) {
	var other *testpeer.Searcher
	sendNow := make(chan bool, 1)
	h := startHarness(t, func(h *harness) {
		other = withOther(t, h)
		sendAgainThen(h, sendNow, true)
		withoutAnswer := h.decide
		h.decide = func(e eiderwinch.Event) []eiderwinch.Action {
			if _, late := e.(eiderwinch.LateAnswer); late {
				return nil // so that the query is still open when the second attempt is reset
			}
			return withoutAnswer(e)
		}
	})
	h.sendQuery("search", "t", time.Minute, 1)
	first := h.nextPart()
	sendNow <- true
	second := testpeer.Receive(t, other.Parts, "the retry")
	first.Answer("served", 1, wholeValue)
	h.waitUntil("the late answer is read", func() bool { return h.stats.LateAnswers == 1 })
	second.Conn.Close()
	if outcome := h.nextOutcome(); outcome.Status != eiderwinch.Cancelled {
		t.Errorf("have %+v", outcome)
	}
	if outcome := h.nextOutcome(); outcome.Status != eiderwinch.Reset {
		t.Errorf("have %+v", outcome)
	}
	if outcome := h.nextOutcome(); outcome.Status != eiderwinch.NotSent || len(h.searcher.Parts) > 0 {
		t.Errorf("have %+v and %d parts, want the third attempt not sent", outcome, len(h.searcher.Parts))
	}
}

// PROTOCOL: "the connection breaks or ends after that | reset, for all parts that are out on it"; a part whose answer has arrived is not out.
// Guards against an answer that is dropped unread because the gatherer closes its connection, or because a write to it fails.
func TestUnreadAnswerIsReadBeforeItsConnectionIsClosed(t *testing.T) {
	for name, end := range map[string]func(h *harness, p testpeer.Part, c *searcherConn){
		"closed here": func(_ *harness, _ testpeer.Part, c *searcherConn) { c.close() },
		"its searcher restarts": func(h *harness, _ testpeer.Part, _ *searcherConn) {
			h.pool.updateSearcher(time.Now(), "s", "", time.Now().Add(time.Second))
		},
		"a write fails": func(h *harness, p testpeer.Part, c *searcherConn) {
			_ = p.Conn.(*net.TCPConn).SetLinger(0)
			p.Conn.Close()
			h.spinUntil("the reset is received", func() bool { return remoteClosed(c.conn.FD()) })
			c.write(frame.AppendCancel(nil, "x.0"))
		},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			h := startHarness(t, sendOnce)
			client := h.sendQuery("search", "t", time.Minute, 1)
			p := h.nextPart()
			h.onLoop(func() {
				c := h.pool.searchers["s"].conns[0]
				p.Answer("served", 1, wholeValue)
				h.spinUntil("the answer is received", func() bool { return pendingBytes(c.conn.FD()) > 0 })
				end(h, p, c)
			})
			if outcome := h.nextOutcome(); outcome.Status != eiderwinch.OK {
				t.Errorf("have %+v", outcome)
			}
			if resp, body := client.ReadResponse(); resp.StatusCode != 200 || body != wholeBody {
				t.Errorf("have %s %s", resp.Status, body)
			}
		})
	}
}

// Guards against a part that is sent again though its answer has arrived: a gatherer that was held up decides before it reads.
func TestRetryWaitsUntilAnUnreadAnswerIsRead(t *testing.T) {
	for name, copies := range map[string]bool{"after a cancel": false, "a second copy": true} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			var other *testpeer.Searcher
			sendNow := make(chan bool, 1)
			h := startHarness(t, func(h *harness) {
				other = withOther(t, h)
				sendAgainThen(h, sendNow, !copies)
				if copies {
					allowSecondCopies(h)
				}
			})
			h.onLoop(func() { h.pool.dialFor("o") })
			h.waitUntil("a connection to the other searcher is up", func() bool { return h.pool.hasOpenConn("o") })
			client := h.sendQuery("search", "t", time.Minute, 1)
			p := h.nextPart()
			h.onLoop(func() {
				c := h.pool.searchers["s"].conns[0]
				p.Answer("served", 1, wholeValue)
				h.spinUntil("the answer is received", func() bool { return pendingBytes(c.conn.FD()) > 0 })
				sendNow <- true
				for len(sendNow) > 0 {
					h.runTurn()
				}
			})
			if resp, body := client.ReadResponse(); resp.StatusCode != 200 || body != wholeBody {
				t.Errorf("have %s %s", resp.Status, body)
			}
			time.Sleep(sentAgainWithin)
			if len(other.Parts) > 0 {
				t.Errorf("part %s is sent after its answer has arrived", (<-other.Parts).ID)
			}
		})
	}
}

// WIRE, rule 1, speaks of a part whose "end [was] told", however little else of its connection can be read. Guards against a part that is
// sent again though its whole answer stands behind data that can't be read, or inside a value that is too long.
func TestPartWithAnAnswerInUnreadableDataIsNotSentAgain(t *testing.T) {
	answerTo := func(p testpeer.Part) string { return string(encodeFrame("a" + p.ID + " served 1 -\n" + wholeValue)) }
	for name, send := range map[string]func(first, second testpeer.Part){
		"behind noise": func(first, second testpeer.Part) { first.WriteRaw("\xff\xff no frame" + answerTo(second)) },
		"behind noise, later": func(first, second testpeer.Part) {
			first.WriteRaw("\xff\xff no frame")
			first.WriteRaw(answerTo(second))
		},
		"in a value":              func(first, second testpeer.Part) { first.Write("a" + first.ID + " served 1 -\nv" + answerTo(second)) },
		"behind an unknown frame": func(first, second testpeer.Part) { first.Write("zzz"); first.WriteRaw(answerTo(second)) },
		"in an incomplete frame": func(first, second testpeer.Part) {
			first.WriteRaw("\x00\x00\x10\x00a" + first.ID + " served 1 -\nv" + answerTo(second))
		},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			h, client, first, second := startTwoQueries(t, "search", time.Minute)
			h.onLoop(func() { send(first, second) }) // so that all of it is read at once
			again := h.nextPart()
			if again.ID != first.ID {
				t.Errorf("part %s is sent again, want %s, which was not answered", again.ID, first.ID)
			}
			again.Answer("served", 1, wholeValue)
			if resp, body := client.ReadResponse(); resp.StatusCode != 200 || body != wholeBody {
				t.Errorf("have %s %s", resp.Status, body)
			}
			time.Sleep(sentAgainWithin)
			if len(h.searcher.Parts) > 0 {
				t.Errorf("part %s is sent again after its answer", h.nextPart().ID)
			}
		})
	}
}

// dialFor opens a connection to a searcher.
func (p *pool) dialFor(id string) {
	s := p.searchers[id]
	s.queue = append(s.queue, &pendingCall{attempts: make([]*gatherer.Attempt, 1)})
	p.dial(time.Now(), s)
	s.queue = nil
}

// hasOpenConn reports whether a connection to a searcher is up.
func (p *pool) hasOpenConn(id string) bool {
	s := p.searchers[id]
	return len(s.conns) > 0 && s.conns[0].conn != nil
}
