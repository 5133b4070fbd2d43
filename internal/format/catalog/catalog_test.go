package catalog

import (
	"encoding/json"
	"fmt"
	"reflect"
	"slices"
	"strconv"
	"strings"
	"testing"
	"time"
)

func TestParse(t *testing.T) {
	u, err := Parse([]byte(`{"revision":43,"complete":true,"more":1,"members":[{"id":"s","host_port":"h:1",
		"locality":"a","flavor":"m2","cell":3,"phase":"Terminating","size":1.5,"up_since_ms":7000},
		{"id":"g","phase":"Gone"}]}`))
	want := Update{Revision: 43, Complete: true, Members: []Member{{"s", "h:1", "a", "m2", 3, Terminating, 1.5, 7000}, {ID: "g", Phase: Gone}}}
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

// Lists may be indented over several lines, and the network may split them anywhere. Each object
// must be found whole.
func TestObjects(t *testing.T) {
	const text = "\n{\"a\": [\n  {\"b\": \"}\\\"{\\\\\"}\n]}\n\n \r\n{}{\"c\":1}\r\n\n{\"d"
	want := []string{"{\"a\": [\n  {\"b\": \"}\\\"{\\\\\"}\n]}", "{}", "{\"c\":1}"}
	for n := 1; n <= len(text); n++ {
		var o ObjectSplitter
		var got []string
		for rest := text; len(rest) > 0; {
			k := min(n, len(rest))
			err := o.Feed([]byte(rest[:k]), func(b []byte) error { got = append(got, string(b)); return nil })
			if err != nil {
				t.Fatal(err)
			}
			rest = rest[k:]
		}
		if !slices.Equal(got, want) || !o.InObject() {
			t.Errorf("in pieces of %d: %q", n, got)
		}
	}
	for text, want := range map[string]string{"x{}": "between", "{}]": "between", "{\"a\":\"" + strings.Repeat("x", 100): "too long",
		"{" + strings.Repeat(" ", 64) + "}": "too long"} {
		o := ObjectSplitter{MaxSize: 64}
		if err := o.Feed([]byte(text), func([]byte) error { return nil }); err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("%.20q: have %v, want %q", text, err, want)
		}
	}
}

// If two entries of one member contradict each other, the one by which nothing may be sent to the searcher
// must be kept, whatever their order. Of an invalid update, only such entries may be used.
func TestLeavingMembersAreKept(t *testing.T) {
	ready, leaving := `{"id":"s","host_port":"h:1","phase":"Ready"}`, `{"id":"s","phase":"Terminating"}`
	for _, text := range []string{ready + "," + leaving, leaving + "," + ready} {
		u, err := Parse([]byte(`{"revision":1,"complete":true,"members":[` + text + `,{"id":"t","phase":"Gone"}]}`))
		if err != nil || len(u.Members) != 2 || u.Members[0].Phase != Terminating || u.Duplicates != 1 {
			t.Errorf("%s: have %+v, %v", text, u, err)
		}
	}
	u, err := Parse([]byte(`{"revision":1,"complete":true,"members":[` + leaving + `,{"id":"x","phase":"Odd"},{"id":"y","phase":"Ready"}]}`))
	if got := u.Leaving(); err == nil || got.Complete || len(got.Members) != 1 || got.Members[0].ID != "s" {
		t.Errorf("have %+v, %v", got, err)
	}
}

func BenchmarkWholeList(b *testing.B) {
	for _, n := range []int{12, 350, 1024} {
		text := indentedList(n)
		b.Run(strconv.Itoa(n), func(b *testing.B) {
			b.ReportAllocs()
			b.SetBytes(int64(len(text)))
			for range b.N {
				var o ObjectSplitter
				if err := o.Feed(text, func(b []byte) error { _, err := Parse(b); return err }); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}

// indentedList returns an indented member list of n searchers.
func indentedList(n int) []byte {
	u := Update{Revision: 1, Complete: true}
	for i := range n {
		u.Members = append(u.Members, Member{ID: fmt.Sprintf("s-%08x", i), HostPort: "127.0.0.1:8443", Locality: "zone-a", Flavor: "std", Cell: i / 3, Phase: Ready, Size: 1})
	}
	text, err := json.MarshalIndent(u, "", "    ")
	if err != nil {
		panic(err)
	}
	return text
}

func FuzzParse(f *testing.F) {
	f.Add([]byte(`{"revision":1,"members":[{"id":"s","phase":"Gone"}]}`))
	f.Fuzz(func(t *testing.T, b []byte) {
		if u, err := Parse(b); err == nil && u.Validate() != nil {
			t.Errorf("%q is accepted, but %v", b, u.Validate())
		}
	})
}
