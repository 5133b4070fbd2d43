package frame

import (
	"reflect"
	"strings"
	"testing"
	"time"
)

func TestAppendCallAndCancel(t *testing.T) {
	got := string(AppendCall(nil, []Part{
		{ID: "t.3", Shard: 3, Options: PartOptions{Wait: 240 * time.Millisecond, Key: "k1"}, Text: "c4"},
		{ID: "t.9.b", Shard: 9, Options: PartOptions{Wait: 1, From: []int{3, 9}, Whole: true}, Text: ""},
		{ID: "t.3.b", Shard: 3, Options: PartOptions{Wait: time.Millisecond, From: []int{3}}, Text: "a\nb"},
	}))
	rest := "qt.3 3 d=240,k=k1 2\nc4t.9.b 9 d=1,from=3+9,whole=1 0\nt.3.b 3 d=1,from=3,whole=0 3\na\nb"
	if want := "\x00\x00\x00" + string(rune(len(rest))) + rest; got != want {
		t.Errorf("have %q\nwant %q", got, want)
	}
	if got := string(AppendCancel(nil, "t.3")); got != "\x00\x00\x00\x04ct.3" {
		t.Errorf("cancel %q", got)
	}
}

// Frames must be the same however the network splits them, and an invalid length or letter
// must be an error before the rest of the frame arrives, which it may never do.
func TestParserReturnsWholeFrames(t *testing.T) {
	text := "\x00\x00\x00\x04et.3\x00\x00\x00\x01p\x00\x00\x00\x03axy"
	for n := 1; n <= len(text); n++ {
		var p Parser
		var got []string
		for rest := text; len(rest) > 0; {
			k := min(n, len(rest))
			p.Feed([]byte(rest[:k]))
			rest = rest[k:]
			for {
				f, ok, err := p.Next()
				if err != nil {
					t.Fatal(err)
				}
				if !ok {
					break
				}
				got = append(got, string(f.Type)+string(f.Payload))
			}
		}
		if !reflect.DeepEqual(got, []string{"et.3", "p", "axy"}) {
			t.Errorf("in pieces of %d: %q", n, got)
		}
	}
	for _, text := range []string{
		"\x00\x00\x00\x00", "\xff\x00\x00\x01", "\x00\x01\x10\x01", // invalid lengths, before any letter
		"3", "\x01", "\x00\x02", "\x00\x01\x11", // the same, which the first bytes show
		"\x00\x00\x00\x09z", "\x00\x00\x00\x09q", // invalid letters, before the frame is complete
	} {
		var p Parser
		p.Feed([]byte(text))
		if _, _, err := p.Next(); err == nil {
			t.Errorf("%q is not a valid frame, but was accepted", text)
		}
	}
	for _, text := range []string{"\x00", "\x00\x01", "\x00\x01\x10", "\x00\x00\x00"} {
		var p Parser
		p.Feed([]byte(text))
		if _, ok, err := p.Next(); ok || err != nil {
			t.Errorf("%q may begin a valid frame: %v, %v", text, ok, err)
		}
	}
}

func TestParseAnswer(t *testing.T) {
	for text, want := range map[string]Result{
		"t.3 served 184 inflight=7,util=0.61\nv": {"t.3", Served, 184, "v", Report{}},
		"t.3.b served 0 -\n":                     {"t.3.b", Served, 0, "", Report{}},
		"t.3 served -7 -\na\nb":                  {"t.3", Served, -7, "a\nb", Report{}},
		"t.3 served 1 a  b =\xff\nv":             {"t.3", Served, 1, "v", Report{}}, // a malformed report
		"t.3 served 1 \nv":                       {"t.3", Served, 1, "v", Report{}},
		"t.3 served 1 rps=31.5,waiting=7\nv":     {"t.3", Served, 1, "v", Report{Present: true, Waiting: 7}},
		"t.3 skipped 0 waiting=0\n":              {"t.3", Skipped, 0, "", Report{Present: true}},
		"t.3 broke - -\n":                        {"t.3", Failed, 0, "", Report{}},
		"t.3 skipped 0 -\nv":                     {"t.3", Skipped, 0, "", Report{}},
	} {
		if got, err := ParseAnswer([]byte(text)); err != nil || got != want {
			t.Errorf("%q: have %+v, %v", text, got, err)
		}
	}
	for _, text := range []string{
		"", "t.3 served 1 -", "t.3 served 1\nv", " served 1 -\nv", "t.3 odd 1 -\nv", "t.3 served x -\nv",
		"t.3 served 1 -\n\xff",
	} {
		if got, err := ParseAnswer([]byte(text)); err == nil {
			t.Errorf("%q was accepted as %+v", text, got)
		}
	}
}

// A report that is missing, has unknown fields or an invalid queue length must not be used.
func TestParseReport(t *testing.T) {
	for text, want := range map[string]Report{
		"": {}, "-": {}, "qps=31": {}, "load=3,waiting": {Malformed: true}, "Waiting=3": {}, "waitings=3,new=x": {},
		"waiting=3":               {Present: true, Waiting: 3},
		"qps=31,waiting=2.5,x=y=": {Present: true, Waiting: 2.5},
		"waiting=3,waiting=x":     {Present: true, Waiting: 3}, // the first one counts
		"waiting=x":               {Malformed: true}, "waiting=": {Malformed: true}, "waiting=-1": {Malformed: true},
		"waiting=NaN": {Malformed: true}, "waiting=+Inf": {Malformed: true}, "waiting=1e7": {Malformed: true},
		",,,": {}, "=": {}, "waiting=3=4": {Malformed: true}, strings.Repeat("a=1,", 1000): {},
	} {
		if got := ParseReport(text); got != want {
			t.Errorf("%.30q: have %+v, want %+v", text, got, want)
		}
	}
}

func FuzzParser(f *testing.F) {
	f.Add("\x00\x00\x00\x10at.3 served 1 -\nv")
	f.Fuzz(func(t *testing.T, text string) {
		var p Parser
		p.Feed([]byte(text))
		for {
			fr, ok, err := p.Next()
			if err != nil || !ok {
				return
			}
			if r, err := ParseAnswer(fr.Payload); err == nil && (r.ID == "" || strings.Contains(r.ID, " ")) {
				t.Errorf("%q has id %q", fr.Payload, r.ID)
			}
		}
	})
}
