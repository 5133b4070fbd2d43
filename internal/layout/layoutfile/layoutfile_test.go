package layoutfile

import (
	"bytes"
	"errors"
	"os"
	"reflect"
	"slices"
	"strings"
	"testing"

	"pgregory.net/rapid"

	"eiderwinch/internal/format/xmlform"
	"eiderwinch/internal/layout"
	"eiderwinch/internal/trial/fixedseed"
)

func TestMain(m *testing.M) { fixedseed.Main(m) }

const validFile = `<?xml version="1.0"?>
<layout xmlns="urn:eiderwinch:layout:1" epoch="7" next="6" replicas="2">
  <searcher id="a" zone="verona"/>
  <searcher id="b" zone="padova"/>
  <searcher id="c" zone="padova"/>
  <segment id="0" to="k"><holder searcher="a"/><holder searcher="b"/></segment>
  <segment id="4" from="k" to="p"><holder searcher="b"/><holder searcher="a"/><next searcher="a"/><next searcher="c"/></segment>
  <segment id="5" from="p"><holder searcher="a"/><holder searcher="c"/><prev searcher="b"/></segment>
  <was segment="1" since="3"><heir segment="4" share="0.25"/><heir segment="5" share="0.75"/></was>
</layout>
`

func TestRead(t *testing.T) {
	l, f, err := Read("l.xml", strings.NewReader(validFile))
	if err != nil {
		t.Fatal(err)
	}
	if err := l.Check(f); err != nil {
		t.Error(err)
	}
	s := l.Segment(4)
	if l.Epoch() != 7 || l.NextID() != 6 || l.Len() != 3 || f.Replicas != 2 || f.Zones["c"] != "padova" ||
		!slices.Equal(s.Holders, []string{"a", "b"}) || !slices.Equal(s.Next, []string{"a", "c"}) || s.State != layout.Serving {
		t.Errorf("have epoch %d, next %d, %+v", l.Epoch(), l.NextID(), s)
	}
	if parts, _, err := l.Translate([]layout.Part{{Segment: 1, Weight: 1}}); err != nil || len(parts) != 2 {
		t.Errorf("translation along the lineage: %v, %v", parts, err)
	}
}

// Each fault must be reported with its line, its element, what was found and what is
// wanted.
func TestReadReportsFaults(t *testing.T) {
	for _, c := range []struct{ old, new, want string }{
		{`epoch="7"`, `epoch="0"`, `l.xml:2: <layout>: found epoch="0", want a number of at least 1`},
		{`epoch="7"`, ``, `l.xml:2: <layout>: found no attribute epoch`},
		{`next="6"`, `next="5"`, `l.xml:1: <layout>: found segment 5: number is not assigned yet`},
		{`zone="verona"`, `zone=""`, `l.xml:3: <searcher>: found zone="", want a name`},
		{`zone="verona"`, `zone="ve rona"`, `l.xml:3: <searcher>`},
		{`<searcher id="b"`, `<searcher id="a"`, `l.xml:4: <searcher>: found searcher "a" twice`},
		{`id="4"`, `id="four"`, `l.xml:7: <segment>: found id="four", want a number from 0 to 4294967295`},
		{`id="4"`, `id="0"`, `l.xml:7: <segment>: found segment 0, already defined on line 6`},
		{`id="4"`, `id="4" size="3"`, `l.xml:7: <segment>: found attribute size`},
		{`id="4"`, `id="4" state="lost"`, `want preparing, serving or retiring`},
		{`from="k"`, `from="m"`, `keys that no serving segment holds`},
		{`share="0.25"`, `share="0"`, `l.xml:9: <heir>: found share="0", want a share above 0`},
		{`share="0.25"`, `share="NaN"`, `l.xml:9: <heir>`},
		{`<was segment="1" since="3">`, `<was segment="1" since="3">text`, `l.xml:9: <was>: found text "text", want elements only`},
		{`<holder searcher="a"/><holder searcher="c"/><prev`, `<prev`, `l.xml:8: <segment>: found no holder, want at least one`},
		{`<heir segment="4" share="0.25"/>`, `<holder searcher="a"/>`, `l.xml:9: <holder>: found holder in was, want one of heir`},
		{`urn:eiderwinch:layout:1`, `urn:other`, `l.xml:2: <layout>: found layout of "urn:other"`},
		{`</layout>`, ``, `want well-formed XML`},
		{`</layout>`, `</layout><layout xmlns="urn:eiderwinch:layout:1"/>`, `a second layout`},
		{validFile, ``, `found nothing, want the element layout`},
		{`<?xml version="1.0"?>`, `<!DOCTYPE layout [<!ENTITY a "b">]>`, `want no directives: entities are not supported`},
	} {
		text := strings.Replace(validFile, c.old, c.new, 1)
		_, _, err := Read("l.xml", strings.NewReader(text))
		if err == nil || !strings.Contains(err.Error(), c.want) {
			t.Errorf("%s for %.40s: have %v, want %s", c.new, c.old, err, c.want)
		}
	}
}

// All faults of a file must be reported together, up to the limit; the rest is counted.
func TestReadReportsAllFaultsAtOnce(t *testing.T) {
	text := strings.NewReplacer(`epoch="7"`, `epoch="x"`, `zone="verona"`, ``, `id="5"`, `id="-5"`, `share="0.75"`, `share="7"`).Replace(validFile)
	_, _, err := Read("l.xml", strings.NewReader(text))
	for _, want := range []string{"l.xml:2:", "l.xml:3:", "l.xml:8:", "l.xml:9:"} {
		if err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("%s is missing in %v", want, err)
		}
	}
	var f Fault
	if !errors.As(err, &f) || f.Line != 2 || f.Element != "layout" {
		t.Errorf("have %+v", f)
	}
	manyFaults := strings.Replace(validFile, "</layout>", strings.Repeat("<unknown/>\n", 200)+"</layout>", 1)
	_, _, err = Read("l.xml", strings.NewReader(manyFaults))
	if n := strings.Count(err.Error(), "\n"); n != xmlform.MaxFaults || !strings.Contains(err.Error(), "150 more faults") {
		t.Errorf("%d lines: %.200v", n, err)
	}
}

// The schema is generated from the form, by go run ./cmd/eiderwinch schema layout, and
// must be generated again when the form changes.
func TestSchemaMatchesForm(t *testing.T) {
	form := Form()
	if err := form.Check(); err != nil {
		t.Error(err)
	}
	text, err := os.ReadFile("../../../deploy/layout.xsd")
	if err != nil {
		t.Fatal(err)
	}
	var b bytes.Buffer
	if err := form.Schema(&b); err != nil || b.String() != string(text) {
		t.Errorf("deploy/layout.xsd does not match the form: %v", err)
	}
}

// lineages returns the lineages of a layout as values that can be compared.
func lineages(l *layout.Layout) (out []layout.Lineage) {
	for n := range l.Lineages() {
		out = append(out, *n)
	}
	return out
}

// checkSame fails the test if a layout differs from the one that was read back.
func checkSame(t interface{ Fatalf(string, ...any) }, l, again *layout.Layout) {
	if d := layout.Diff(l, again); len(d) > 0 || l.Epoch() != again.Epoch() || l.NextID() != again.NextID() || !reflect.DeepEqual(lineages(l), lineages(again)) {
		t.Fatalf("epoch %d became %d: %v", l.Epoch(), again.Epoch(), d)
	}
}

// TestReadReturnsWhatWasWritten writes and reads a layout after random changes, with
// keys that need escaping in XML.
func TestReadReturnsWhatWasWritten(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		l, f, err := Read("l.xml", strings.NewReader(validFile))
		if err != nil {
			t.Fatal(err)
		}
		for range rapid.IntRange(1, 8).Draw(t, "changes") {
			s := rapid.SampledFrom(slices.Collect(l.Serving())).Draw(t, "segment")
			at := layout.Key(rapid.StringMatching(`[ -~äß"<&]{1,4}`).Draw(t, "at"))
			c := layout.Change{Kind: layout.Split, Segments: []layout.SegmentID{s.ID}, At: at, Share: rapid.Float64Range(0.001, 0.999).Draw(t, "share"),
				Holders: [][]string{{"a", "b"}, {"a", "c"}}}
			next, successors, err := l.Prepare(c)
			if err != nil {
				continue
			}
			if rapid.Bool().Draw(t, "cut over") {
				if next, err = next.CutOver(c, successors); err != nil {
					t.Fatal(err)
				}
			}
			l = next
		}
		var b bytes.Buffer
		if err := Write(&b, l, f); err != nil {
			t.Fatal(err)
		}
		again, fleetAgain, err := Read("l.xml", bytes.NewReader(b.Bytes()))
		if err != nil {
			t.Fatalf("%v in\n%s", err, b.String())
		}
		checkSame(t, l, again)
		if !reflect.DeepEqual(f, fleetAgain) {
			t.Fatalf("the fleet %+v became %+v", f, fleetAgain)
		}
	})
}

// Write must reject a key that XML cannot represent, as Read would return another key
// or fail.
func TestWriteRejectsKeysThatXMLCannotRepresent(t *testing.T) {
	for _, k := range []layout.Key{"\x00", "a\x1f", "\xff", "\uffff"} {
		l, err := layout.First(layout.Segment{ID: 0, Keys: layout.Range{To: k}}, layout.Segment{ID: 1, Keys: layout.Range{From: k}})
		if err != nil {
			t.Fatal(err)
		}
		if err := Write(new(bytes.Buffer), l, layout.Fleet{}); err == nil {
			t.Errorf("key %q was written", k)
		}
	}
}

// FuzzRead checks that any file that Read accepts is the same after writing and reading
// it again.
func FuzzRead(f *testing.F) {
	f.Add(validFile)
	f.Add("<layout")
	f.Add(`<layout xmlns="urn:eiderwinch:layout:1" epoch="1" next="1" replicas="1"><segment id="0"><holder searcher="a"/></segment></layout>`)
	f.Fuzz(func(t *testing.T, text string) {
		l, fleet, err := Read("l.xml", strings.NewReader(text))
		if err != nil {
			return
		}
		var b bytes.Buffer
		if err := Write(&b, l, fleet); err != nil {
			t.Fatal(err)
		}
		again, _, err := Read("l.xml", &b)
		if err != nil {
			t.Fatal(err)
		}
		checkSame(t, l, again)
	})
}
