package netio

import (
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"eiderwinch"
	"eiderwinch/internal/trial/testpeer"
)

// wholeValue is the value of all parts here.
const wholeValue = "517db856ae880953"

// end is how a connection ends behind a spoilt answer: closed by the searcher, or left open.
type end bool

const (
	leftOpen end = false
	closed   end = true
)

// answerShort answers a part with a frame that is too short for its value, and waits before what lies behind the frame.
func answerShort(p testpeer.Part, short int, wait time.Duration) {
	body := fmt.Sprintf("a%s served 1 -\n%s", p.ID, wholeValue)
	frameEnd := len(body) - short
	p.WriteRaw(string([]byte{0, 0, 0, byte(frameEnd)}) + body[:frameEnd])
	time.Sleep(wait)
	p.WriteRaw(body[frameEnd:])
}

// expectGivenUp checks that the query of a part in doubt is answered with a status other than 200, and that the part is not sent
// again. WIRE, rule 1: "A `hand_off` for a part that is over [...] breaks the rule"; data behind an answer may be the rest of it, or
// a spoilt answer to a part that waits, so the answer may have been good.
func (h *harness) expectGivenUp(client *testpeer.Client, p testpeer.Part, status int) {
	h.t.Helper()
	if resp, body := client.ReadResponse(); resp.StatusCode != status {
		h.t.Errorf("have %s %s, want status %d", resp.Status, body, status)
	}
	h.onLoop(func() {
		if h.stats.InDoubt != 1 {
			h.t.Errorf("%d answers in doubt, want 1", h.stats.InDoubt)
		}
	})
	time.Sleep(sentAgainWithin)
	for len(h.searcher.Parts) > 0 {
		if again := h.nextPart(); again.ID == p.ID {
			h.t.Errorf("part %s is sent again", p.ID)
		}
	}
}

// sentAgainWithin is how long after the end of its query a test waits for a part that is sent again by mistake.
const sentAgainWithin = 50 * time.Millisecond

// A client must not be served a value whose end lies behind a frame that is too short, while another part waits on the
// connection: not if it is read at once, nor if it comes later and the query is still open.
func TestShortAnswerIsNotServed(t *testing.T) {
	for name, c := range map[string]struct {
		short int
		wait  time.Duration
		then  end
	}{
		"half of the value, in one read":     {8, 0, leftOpen},
		"all of the value, in one read":      {16, 0, leftOpen},
		"the last digit, in one read":        {1, 0, leftOpen},
		"the last digit, and the end":        {1, 0, closed},
		"half of the value, 3 ms later":      {8, 3 * time.Millisecond, leftOpen},
		"half of the value, 60 ms later":     {8, 60 * time.Millisecond, leftOpen},
		"the last 2 digits, 60 ms later":     {2, 60 * time.Millisecond, leftOpen},
		"the last 2 digits, then, and ended": {2, 60 * time.Millisecond, closed},
		"all of the value, 60 ms later":      {16, 60 * time.Millisecond, leftOpen},
		"the last 4 digits, 12 ms later":     {4, 12 * time.Millisecond, leftOpen},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			h := startHarness(t, func(h *harness) { h.decide, h.cfg.ConnectTimeout = nil, 300*time.Millisecond })
			client := h.sendQuery("search", "t", time.Minute, 2)
			first, second := h.nextPart(), h.nextPart()
			if first.Conn != second.Conn {
				t.Fatal("the parts are on different connections")
			}
			answerShort(first, c.short, c.wait)
			if c.then == closed {
				first.Conn.Close()
			}
			h.expectGivenUp(client, first, http.StatusServiceUnavailable)
		})
	}
}

// statusInDoubt is how a query with a part in doubt is answered, by class: refused if it may be repeated, else failed.
var statusInDoubt = map[string]int{"search": http.StatusServiceUnavailable, "reserve": http.StatusBadGateway}

// A client must not be served a shortened value whose rest comes later than any time that the gatherer would wait for it, while a
// part of another query waits on the connection.
func TestLateRestOfAShortAnswerIsNotServed(t *testing.T) {
	for _, class := range []string{"search", "reserve"} {
		for _, wait := range []time.Duration{0, 15 * time.Millisecond, 40 * time.Millisecond, 100 * time.Millisecond, 200 * time.Millisecond} {
			for _, short := range []int{1, 6, 10} {
				t.Run(fmt.Sprintf("%s, %v, %d", class, wait, short), func(t *testing.T) {
					t.Parallel()
					h, client, first, _ := startTwoQueries(t, class, time.Minute)
					answerShort(first, short, wait)
					h.expectGivenUp(client, first, statusInDoubt[class])
				})
			}
		}
	}
}

// A client must not be served a shortened value because the connection ends before the rest of its answer has come. Nothing
// can confirm an answer any more beside which other parts waited, and it may have been good, so it isn't asked for again either.
func TestAnswerBeforeTheEndOfItsConnectionIsInDoubt(t *testing.T) {
	for name, short := range map[string]int{"short": 6, "good": 0} {
		for _, wait := range []time.Duration{0, 5 * time.Millisecond, 40 * time.Millisecond} {
			for _, class := range []string{"search", "reserve"} {
				t.Run(fmt.Sprintf("%s, %s, %v", name, class, wait), func(t *testing.T) {
					t.Parallel()
					h, client, first, second := startTwoQueries(t, class, time.Minute)
					body := fmt.Sprintf("a%s served 1 -\n%s", first.ID, wholeValue)
					first.Write(body[:len(body)-short])
					time.Sleep(wait)
					second.Conn.Close()
					h.expectGivenUp(client, first, statusInDoubt[class])
				})
			}
		}
	}
}

// wholeBody is the answer to a query of one part.
var wholeBody = fmt.Sprintf(`{"full":true,"pieces":[{"tablet":0,"cell":%q}]}`, wholeValue)

// startTwoQueries starts a harness whose classes have the given aim, and sends it two queries of one part each. Both
// parts are on one connection. It returns the client of the first query.
func startTwoQueries(t *testing.T, class string, aim time.Duration) (h *harness, client *testpeer.Client, first, second testpeer.Part) {
	h = startHarness(t, func(h *harness) {
		h.cfg.ConnectTimeout = 300 * time.Millisecond // which is the time limit of incomplete frames as well
		classes := h.cfg.Gatherer.Module.Classes
		for i := range classes {
			classes[i].Aim, classes[i].LateWorth = aim, 0.5
		}
		h.aggregator = eiderwinch.New(h.cfg.Gatherer.Module)
	})
	client = h.sendQuery(class, "t", time.Minute, 1)
	first = h.nextPart()
	h.sendQuery(class, "u", time.Minute, 1)
	second = h.nextPart()
	if first.Conn != second.Conn {
		t.Fatal("the parts are on different connections")
	}
	return h, client, first, second
}

// Good answers are served within their aim though other parts wait on the connection, whether the next answer follows at
// once, later, in pieces or never.
func TestAnswerIsServedWhileOthersWait(t *testing.T) {
	const aim = time.Second
	for name, follow := range map[string]func(second testpeer.Part){
		"nothing follows":       func(testpeer.Part) {},
		"an answer follows":     func(second testpeer.Part) { second.Answer("served", 1, "w") },
		"half of one follows":   func(second testpeer.Part) { second.WriteRaw("\x00\x00\x00\x20a" + second.ID + " ") },
		"an unknown end":        func(second testpeer.Part) { second.Write("a" + second.ID + " eaten 1 -\nw") },
		"a length that is 3 GB": func(second testpeer.Part) { second.WriteRaw("\xb2\xd0\x5e\x00a" + second.ID + " served 1 -\nw") },
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			began := time.Now()
			_, client, first, second := startTwoQueries(t, "search", aim)
			first.Answer("served", 1, wholeValue)
			follow(second)
			resp, body := client.ReadResponse()
			if took := time.Since(began); resp.StatusCode != 200 || body != wholeBody || took > aim {
				t.Errorf("have %s %s after %v", resp.Status, body, took)
			}
		})
	}
}

// A gatherer that was held up until the end of its wait reads what has arrived behind an answer before it uses the answer.
func TestUnreadRestOfAShortAnswerIsReadFirst(t *testing.T) {
	const aim = 400 * time.Millisecond
	h, client, first, _ := startTwoQueries(t, "search", aim)
	heldUp := make(chan bool)
	body := fmt.Sprintf("a%s served 1 -\n%s", first.ID, wholeValue)
	first.WriteRaw(string([]byte{0, 0, 0, byte(len(body) - 6)}) + body[:len(body)-6])
	if outcome := h.nextOutcome(); !outcome.Provisional {
		t.Fatalf("have %+v", outcome)
	}
	h.exec(func() {
		close(heldUp)
		time.Sleep(aim)
		h.runDue() // due work may come before the loop's next reads
	})
	<-heldUp
	first.WriteRaw(body[len(body)-6:])
	h.expectGivenUp(client, first, http.StatusServiceUnavailable)
}

// A query must not fail because the answer that confirms one of its parts has arrived and was not read yet.
func TestUnreadConfirmationFailsNoQuery(t *testing.T) {
	h, client, first, second := startTwoQueries(t, "reserve", time.Minute)
	first.Answer("served", 1, wholeValue)
	if outcome := h.nextOutcome(); !outcome.Provisional {
		t.Fatalf("have %+v", outcome)
	}
	h.exec(func() {
		second.Answer("served", 1, wholeValue)
		for pendingBytes(h.pool.searchers["s"].conns[0].conn.FD()) == 0 {
			time.Sleep(time.Millisecond)
		}
		h.core.EndEarly(time.Now(), 1)
	})
	want := strings.Replace(wholeBody, `"full":true`, `"full":false`, 1) // as each query that is ended early
	if resp, body := client.ReadResponse(); resp.StatusCode != 200 || body != want {
		t.Errorf("have %s %s", resp.Status, body)
	}
}

// What ended the connection of a part tells whether its searcher may have crashed.
func TestWhoHasClosedAConnection(t *testing.T) {
	for name, c := range map[string]struct {
		end  func(first, second testpeer.Part)
		want bool // the gatherer
	}{
		"the searcher":                  {func(first, _ testpeer.Part) { first.Conn.Close() }, false},
		"the gatherer, for a bad frame": {func(first, _ testpeer.Part) { first.Write("z") }, true},
		"the gatherer, for half of one": {func(first, _ testpeer.Part) { first.WriteRaw("\x00\x00\x00\x20a") }, true},
		"the searcher, with an error":   {func(first, _ testpeer.Part) { first.Write("ewords"); first.Conn.Close() }, false},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			h, _, first, second := startTwoQueries(t, "search", time.Minute)
			c.end(first, second)
			for range 2 {
				if outcome := h.nextOutcome(); outcome.Status != eiderwinch.Reset || outcome.ClosedByGatherer != c.want {
					t.Errorf("have %+v", outcome)
				}
			}
		})
	}
}
