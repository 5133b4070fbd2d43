package netio

import (
	"fmt"
	"testing"
	"time"

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
			for range 2 { // both are sent anew
				h.nextPart().Answer("served", 1, wholeValue)
			}
			want := fmt.Sprintf(`{"full":true,"pieces":[{"tablet":0,"cell":%q},{"tablet":1,"cell":%q}]}`, wholeValue, wholeValue)
			if resp, body := client.ReadResponse(); resp.StatusCode != 200 || body != want {
				t.Errorf("have %s %s", resp.Status, body)
			}
		})
	}
}

// Good answers are served though other parts wait on the connection, whether the next answer follows at once, later,
// in pieces or never.
func TestAnswerIsServedWhileOthersWait(t *testing.T) {
	for name, follow := range map[string]func(second testpeer.Part){
		"nothing follows":       func(testpeer.Part) {},
		"the connection ends":   func(second testpeer.Part) { second.Conn.Close() },
		"an answer follows":     func(second testpeer.Part) { second.Answer("served", 1, "w") },
		"half of one follows":   func(second testpeer.Part) { second.WriteRaw("\x00\x00\x00\x20a" + second.ID + " ") },
		"an unknown end":        func(second testpeer.Part) { second.Write("a" + second.ID + " eaten 1 -\nw") },
		"a length that is 3 GB": func(second testpeer.Part) { second.WriteRaw("\xb2\xd0\x5e\x00a" + second.ID + " served 1 -\nw") },
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			h := startHarness(t, nil)
			client := h.sendQuery("search", "t", time.Minute, 1)
			first := h.nextPart()
			h.sendQuery("search", "u", time.Minute, 1)
			second := h.nextPart()
			if first.Conn != second.Conn {
				t.Fatal("the parts are on different connections")
			}
			first.Answer("served", 1, wholeValue)
			follow(second)
			if resp, body := client.ReadResponse(); resp.StatusCode != 200 || body != fmt.Sprintf(`{"full":true,"pieces":[{"tablet":0,"cell":%q}]}`, wholeValue) {
				t.Errorf("have %s %s", resp.Status, body)
			}
		})
	}
}
