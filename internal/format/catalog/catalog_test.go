package catalog

import (
	"reflect"
	"strings"
	"testing"
	"time"
)

func TestParse(t *testing.T) {
	u, err := Parse([]byte(`{"revision":43,"complete":true,"more":1,"members":[{"id":"s","host_port":"h:1",
		"locality":"a","flavor":"m2","cell":3,"phase":"Terminating","size":1.5,"up_since_ms":7000},
		{"id":"g","phase":"Gone"}]}`))
	want := Update{43, true, []Member{{"s", "h:1", "a", "m2", 3, Terminating, 1.5, 7000}, {ID: "g", Phase: Gone}}}
	if err != nil || !reflect.DeepEqual(u, want) {
		t.Errorf("have %+v, %v", u, err)
	}
	if !u.Members[0].Started().Equal(time.Unix(7, 0)) || !u.Members[1].Started().IsZero() {
		t.Errorf("started %v and %v", u.Members[0].Started(), u.Members[1].Started())
	}
	for text, want := range map[string]string{
		`{`:                               "catalog",
		`{"members":[{"phase":"Ready"}]}`: "members[0]: id",
		`{"members":[{"id":"s"}]}`:        "members[0]: unknown phase",
		`{"members":[{"id":"s","phase":"Ready"}]}`: "members[0]: host_port",
		`{"revision":"x"}`:                         "revision",
	} {
		if _, err := Parse([]byte(text)); err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("%s: have %v, want %q", text, err, want)
		}
	}
}

func TestLines(t *testing.T) {
	const text = "{a}\n\n \r\n{b}\r\n{c"
	for n := 1; n <= len(text); n++ {
		var l Lines
		var got []string
		for rest := text; len(rest) > 0; {
			k := min(n, len(rest))
			err := l.Feed([]byte(rest[:k]), func(b []byte) error { got = append(got, string(b)); return nil })
			if err != nil {
				t.Fatal(err)
			}
			rest = rest[k:]
		}
		if !reflect.DeepEqual(got, []string{"{a}", "{b}"}) {
			t.Errorf("in pieces of %d: %q", n, got)
		}
	}
	var l Lines
	if l.Feed(make([]byte, MaxLine+1), nil) == nil {
		t.Error("a line without an end is held for ever")
	}
}

func FuzzParse(f *testing.F) {
	f.Add([]byte(`{"revision":1,"members":[{"id":"s","phase":"Gone"}]}`))
	f.Fuzz(func(t *testing.T, b []byte) {
		if u, err := Parse(b); err == nil && u.Check() != nil {
			t.Errorf("%q is taken, but %v", b, u.Check())
		}
	})
}
