package answerstream

import (
	"encoding/binary"
	"fmt"
	"io"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"

	"eiderwinch/internal/trial/fixedseed"
)

func TestMain(m *testing.M) { fixedseed.Main(m) }

var began = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// encode returns a frame with the given length field, or with the true length if that is 0.
func encode(body string, length int) string {
	if length == 0 {
		length = len(body)
	}
	return string(binary.BigEndian.AppendUint32(nil, uint32(length))) + body
}

func body(id, value string) string { return "a" + id + " served 7 -\n" + value }

// receiver receives a stream in pieces, as a connection does, and keeps the answers.
type receiver struct {
	*Stream
	provisional map[string]string // values of provisional answers, by part
	used        map[string]string // values of final answers, by part
	err         error
}

func newReceiver(inFlight ...string) *receiver {
	r := &receiver{Stream: New(), provisional: make(map[string]string), used: make(map[string]string)}
	for _, id := range inFlight {
		r.Sent(id)
	}
	return r
}

func (r *receiver) confirm(id string) {
	if id != "" {
		r.used[id] = r.provisional[id]
		delete(r.provisional, id)
	}
}

func (r *receiver) receive(data string) {
	if r.err != nil {
		return
	}
	received, err := r.Receive(began, []byte(data))
	r.confirm(received.Confirmed)
	for _, a := range received.Answers {
		if a.Provisional {
			r.provisional[a.ID] = a.Value
		} else {
			r.used[a.ID] = a.Value
		}
	}
	if err != nil {
		r.fail(err)
	}
}

func (r *receiver) fail(err error) {
	r.err = err
	if id, ok := r.Doubtful(); ok {
		delete(r.provisional, id)
	}
}

// finish lets the time limits of incomplete frames pass.
func (r *receiver) finish() {
	if r.err == nil && len(r.Incomplete()) > 0 {
		r.fail(fmt.Errorf("incomplete frame"))
	}
}

// usable returns the value of a part's answer that may be used by the end of its query's time.
func (r *receiver) usable(id string) (value string, ok bool) {
	if value, ok = r.provisional[id]; ok {
		return value, true
	}
	value, ok = r.used[id]
	return value, ok
}

// A frame that is too short for its value must never lead to a value that no searcher made, wherever the data is cut
// into reads, however long the time between them is, and even if what lies behind looks like the start of a frame.
func TestShortFrameIsNotUsed(t *testing.T) {
	const a, b = "00000000000000aa.3", "00000000000000bb.4"
	values := map[string]string{"digits": "517db856ae880953"}
	for short := 1; short <= 16; short++ { // the bytes behind look like a frame of each type, whole or begun
		for _, letter := range "aelpz" {
			values[fmt.Sprintf("frame %c of %d", letter, short)] = strings.Repeat("v", 16-short) + ("\x00\x00\x00\x0b" + string(letter) + "0000000000000000")[:short]
		}
		if short > 4 {
			values[fmt.Sprintf("whole probe and %d", short)] = strings.Repeat("v", 16-short) + (encode("p", 0) + "\x00\x00\x00\x01p\x00\x00\x00\x01pppppp")[:short]
		}
	}
	for name, value := range values {
		for short := 1; short <= 16; short++ {
			stream := encode(body(a, value), len(body(a, value))-short)
			for cut := 1; cut <= len(stream); cut++ {
				r := newReceiver(a, b)
				r.receive(stream[:cut])
				if got, ok := r.used[a]; ok {
					t.Fatalf("%s, short by %d, cut at %d of %d: used %q before its rest has arrived", name, short, cut, len(stream), got)
				}
				r.receive(stream[cut:])
				r.finish()
				if got, ok := r.usable(a); ok {
					t.Fatalf("%s, short by %d, cut at %d of %d: usable %q", name, short, cut, len(stream), got)
				}
			}
		}
	}
}

// model is the plain rule: what a searcher has written on a connection, and which answers have to be used.
type model struct {
	truth    map[string]string // the values that the searcher made
	wanted   map[string]bool   // good answers that have to be used
	doubtful string            // a good answer that what follows puts in doubt; it may be used or not
	// ifCut is a good answer that is in doubt only if the data is cut between it and the end of the next part's ID.
	ifCut   string
	goodEnd int // offset behind the good answers
	stream  string
}

// draw draws the stream of a searcher that has the parts ids; the last ones of them are not answered. It ends with a
// spoilt answer while others wait, or with surplus data if none waits.
func draw(t *rapid.T, ids []string) model {
	m := model{truth: make(map[string]string), wanted: make(map[string]bool)}
	answered := rapid.IntRange(0, len(ids)).Draw(t, "answered")
	for _, id := range ids {
		m.truth[id] = rapid.StringMatching(`[0-9a-f]{0,40}`).Draw(t, "value")
	}
	for _, id := range ids[:answered] {
		m.stream += encode(body(id, m.truth[id]), 0)
		m.wanted[id] = true
	}
	m.goodEnd = len(m.stream)
	if answered == len(ids) {
		m.stream += rapid.SampledFrom([]string{"", "\xff\xfe noise", "\x00", "\x00\x00\x00\x11a", encode("p", 0), encode(body(ids[answered-1], "x"), 0)}).Draw(t, "surplus")
		return m
	}
	if answered == len(ids)-1 {
		return m // the last part waits without an answer
	}
	id := ids[answered]
	good := body(id, m.truth[id])
	last := ""
	if answered > 0 {
		last = ids[answered-1]
	}
	switch form := rapid.SampledFrom([]string{"none", "short", "long", "noise", "huge", "id", "letter", "end", "line"}).Draw(t, "form"); form {
	case "none":
	case "short":
		m.stream += encode(good, max(len(good)-rapid.IntRange(1, max(len(m.truth[id]), 1)).Draw(t, "short"), 1))
	case "long":
		m.stream += encode(good, len(good)+rapid.IntRange(1, 200).Draw(t, "long"))
	case "huge":
		m.stream += encode(good, 3_000_000_000)
		m.ifCut = last
	case "noise":
		m.stream += rapid.StringMatching(`[!-~]{1,60}`).Draw(t, "noise")
		m.doubtful = last
	case "id":
		m.stream += encode(body("ffffffffffffffff.9", m.truth[id]), 0)
		m.doubtful = last
	case "letter":
		m.stream += encode("z"+good[1:], 0)
		m.ifCut = last
	case "end":
		m.stream += encode(strings.Replace(good, "served", "eaten", 1), 0)
	case "line":
		m.stream += encode(strings.Replace(good, "\n", " ", 1), 0)
	}
	return m
}

// Whatever a searcher sends and however it is cut into reads, only values that it made are used, and all good
// answers are, but for one that unreadable data follows while other parts wait.
func TestStreamAgainstModel(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var ids []string
		for i := range rapid.IntRange(1, 6).Draw(t, "parts") {
			ids = append(ids, fmt.Sprintf("%016x.%d", 0x9e3779b97f4a7c15*uint64(i+1), i))
		}
		r := newReceiver()
		if rapid.Bool().Draw(t, "abandons") { // a part that was given up before; its answer may come late
			r.Sent("0000000000000001.0")
			r.Abandon("0000000000000001.0")
		}
		for _, id := range ids {
			r.Sent(id)
		}
		m := draw(t, ids)
		nameEnd := m.goodEnd + len("1234a") + len(ids[0]+" ")
		for start := 0; start < len(m.stream); {
			end := rapid.IntRange(start+1, len(m.stream)).Draw(t, "cut")
			r.receive(m.stream[start:end])
			if start = end; m.goodEnd < end && end < nameEnd && m.ifCut != "" {
				m.doubtful = m.ifCut
			}
		}
		r.finish()
		for _, id := range ids {
			value, ok := r.usable(id)
			if !ok {
				continue
			}
			if !m.wanted[id] || value != m.truth[id] {
				t.Fatalf("part %s is answered with %q, the searcher made %q, error %v", id, value, m.truth[id], r.err)
			}
		}
		for id := range m.wanted {
			if _, ok := r.usable(id); !ok && id != m.doubtful {
				t.Fatalf("the good answer of part %s is not used, error %v", id, r.err)
			}
		}
	})
}

// A frame that is too long swallows the start of the next answer, or all of it.
func TestLongFrameThatSwallowsAnAnswerIsNotUsed(t *testing.T) {
	const a, b, c = "00000000000000aa.3", "00000000000000bb.4", "00000000000000cc.5"
	next := encode(body(b, "517db856ae880953"), 0)
	for long := 1; long <= len(next); long++ {
		for cut := 1; cut < len(next); cut++ {
			for _, abandoned := range []bool{false, true} {
				r := newReceiver(a, b, c)
				if abandoned { // its searcher may answer before it reads the cancel
					r.Abandon(b)
				}
				stream := encode(body(a, "v"), len(body(a, "v"))+long) + next
				r.receive(stream[:len(stream)-cut])
				r.receive(stream[len(stream)-cut:])
				r.finish()
				if got, ok := r.usable(a); ok {
					t.Fatalf("long by %d, cut %d before the end, the next one abandoned %v: used %q", long, cut, abandoned, got)
				}
			}
		}
	}
}

// An answer is provisional while other parts wait and nothing behind it confirms it.
func TestProvisionalAnswer(t *testing.T) {
	const a, b, c = "00000000000000aa.3", "00000000000000bb.4", "00000000000000cc.5"
	answer := encode(body(a, "v"), 0)
	next := encode(body(b, "w"), 0)[:25] // as much as names the part
	for name, k := range map[string]struct {
		then func(r *receiver)
		want string // "used", "provisional" or "in doubt"
	}{
		"nothing follows":               {func(*receiver) {}, "provisional"},
		"the next answer begins":        {func(r *receiver) { r.receive(next) }, "used"},
		"another call is sent":          {func(r *receiver) { r.Sent(c) }, "provisional"},
		"the other is not sent whole":   {func(r *receiver) { r.confirm(r.NotSent(b)) }, "used"},
		"one of two is not sent whole":  {func(r *receiver) { r.Sent(c); r.confirm(r.NotSent(b)) }, "provisional"},
		"the other is cancelled":        {func(r *receiver) { r.Abandon(b) }, "provisional"},
		"a cancelled part is answered":  {func(r *receiver) { r.Abandon(b); r.receive(next) }, "used"},
		"the connection ends":           {func(r *receiver) { r.fail(io.EOF) }, "in doubt"},
		"it ends behind other data":     {func(r *receiver) { r.receive("\x00"); r.fail(io.EOF) }, "in doubt"},
		"it ends behind the next begun": {func(r *receiver) { r.receive(next); r.fail(io.EOF) }, "used"},
		"it ends with nothing waiting":  {func(r *receiver) { r.confirm(r.NotSent(b)); r.fail(io.EOF) }, "used"},
		"data follows that is no frame": {func(r *receiver) { r.receive("9532") }, "in doubt"},
	} {
		r := newReceiver(a, b)
		r.receive(answer)
		if _, ok := r.provisional[a]; !ok || len(r.used) > 0 {
			t.Errorf("%s: at first provisional %v, used %v", name, r.provisional, r.used)
		}
		k.then(r)
		got := "in doubt"
		if _, ok := r.used[a]; ok {
			got = "used"
		} else if _, ok := r.provisional[a]; ok {
			got = "provisional"
		}
		if got != k.want {
			t.Errorf("%s: %s, want %s", name, got, k.want)
		}
	}
}

// An abandoned part counts as waiting until an answer shows that the searcher has read its cancel.
func TestAbandonedPartWaitsUntilItsCancelIsRead(t *testing.T) {
	const a, b, c = "00000000000000aa.3", "00000000000000bb.4", "00000000000000cc.5"
	r := newReceiver(a, b)
	r.Abandon(a)
	r.receive(encode(body(b, "v"), 0) + "noise")
	if r.finish(); len(r.used)+len(r.provisional) != 0 {
		t.Errorf("the searcher may not have read the cancel: used %v", r.used)
	}
	r = newReceiver(a, b)
	r.Abandon(a)
	r.Sent(c)
	r.receive(encode(body(c, "v"), 0) + encode(body(b, "w"), 0) + "noise")
	if r.finish(); r.used[c] != "v" || r.used[b] != "w" {
		t.Errorf("the searcher has read the cancel: used %v", r.used)
	}
}
