package xmlform

import (
	"encoding/xml"
	"fmt"
	"regexp"
	"slices"
	"strconv"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"

	"eiderwinch/internal/trial/fixedseed"
)

func TestMain(m *testing.M) { fixedseed.Main(m) }

// testForm returns a form with an attribute of each kind.
func testForm() *Form {
	var list []Attribute
	for k := range kindCount {
		list = append(list, Attribute{Name: fmt.Sprint("k", k), Kind: k, Values: []string{"up", "down"}, Doc: "one of its kind"})
	}
	list = append(list,
		Attribute{Name: "few", Kind: Count, Min: 2, Max: 5, Default: "3", Doc: "bounded"},
		Attribute{Name: "soon", Kind: Duration, Min: 0.1, Max: 2, Default: "250ms", Doc: "bounded", Unit: "a time"},
		Attribute{Name: "times", Kind: Factor, Min: 1, Max: 10, Required: true, Doc: "bounded"},
	)
	return &Form{
		Namespace: "urn:test", Root: "root", Depth: 2, Doc: "A form.", Order: []string{"root", "leaf", "pair"},
		Elements: map[string]Element{
			"root": {Doc: "all", Children: []Child{{"leaf", 0, 1}, {"pair", 2, 3}}},
			"leaf": {Doc: "one", Attributes: list},
			"pair": {Doc: "some"},
		},
	}
}

func readText(f *Form, text string) (*Node, error) {
	faults := &Faults{File: "f.xml"}
	n := f.Read(strings.NewReader(text), faults)
	return n, faults.Err()
}

func TestValuesAndDefaults(t *testing.T) {
	n, err := readText(testForm(), `<root xmlns="urn:test"><pair/><leaf times="2.5" few="5"/><pair/></root>`)
	if err != nil {
		t.Fatal(err)
	}
	leaf := n.Child("leaf")
	if leaf.Number("few") != 5 || !leaf.Given("few") || leaf.Duration("soon") != 250*time.Millisecond || leaf.Given("soon") ||
		leaf.Float("times") != 2.5 || leaf.Line != 1 || n.Child("none") != nil {
		t.Errorf("have %+v", leaf)
	}
	if err := testForm().Check(); err != nil {
		t.Error(err)
	}
}

func TestFaults(t *testing.T) {
	for text, want := range map[string]string{
		`<pair/><pair/><leaf times="0.5"/>`:               `f.xml:1: <leaf>: found times="0.5", want a number from 1 to 10`,
		`<pair/><pair/><leaf times="NaN"/>`:               `found times="NaN"`,
		`<pair/><pair/><leaf/>`:                           `<leaf>: found no attribute times, want a number from 1 to 10`,
		`<pair/><pair/><leaf times="1" few="6"/>`:         `found few="6", want a number from 2 to 5`,
		`<pair/><pair/><leaf times="1" soon="3s"/>`:       `found soon="3s", want a time with its unit, such as 250ms, from 100ms to 2s`,
		`<pair/><pair/><leaf times="1" soon="250"/>`:      `found soon="250"`,
		`<pair/><pair/><leaf times="1" soon="-1s"/>`:      `found soon="-1s"`,
		`<pair/><pair/><leaf times="1" k7="left"/>`:       `found k7="left", want up or down`,
		`<pair/><pair/><leaf times="1" k8="1"/>`:          `found k8="1", want true or false`,
		`<pair/><pair/><leaf times="1" k9="host:1"/>`:     `found k9="host:1", want a numeric address`,
		`<pair/><pair/><leaf times="1" k10="9.9.9.9:1"/>`: `found k10="9.9.9.9:1", want unix:PATH`,
		`<pair/><pair/><leaf times="1" k10="unix:"/>`:     `found k10="unix:"`,
		`<pair/>`:                      `<root>: found 1 of pair, want at least 2`,
		`<pair/><pair/><pair/><pair/>`: `<pair>: found a further pair in root, want at most 3`,
		`<pair/><pair/><pair><leaf times="1"/></pair>`: `found leaf in pair`,
	} {
		if _, err := readText(testForm(), `<root xmlns="urn:test">`+text+`</root>`); err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("%s: have %v, want %s", text, err, want)
		}
	}
}

// rule is an attribute in a schema, with the restrictions that these schemas use.
type rule struct {
	Name        string `xml:"name,attr"`
	Use         string `xml:"use,attr"`
	Restriction struct {
		Base         string  `xml:"base,attr"`
		Enumerations []facet `xml:"enumeration"`
		Patterns     []facet `xml:"pattern"`
		MinInclusive []facet `xml:"minInclusive"`
		MaxInclusive []facet `xml:"maxInclusive"`
		MinExclusive []facet `xml:"minExclusive"`
	} `xml:"simpleType>restriction"`
}

type facet struct {
	Value string `xml:"value,attr"`
}

// rejects reports whether a schema processor would reject a value.
func (r rule) rejects(s string) bool {
	x := r.Restriction
	for _, p := range x.Patterns {
		if !regexp.MustCompile(`^(?:` + p.Value + `)$`).MatchString(s) {
			return true
		}
	}
	if len(x.Enumerations) > 0 && !slices.Contains(x.Enumerations, facet{s}) {
		return true
	}
	switch x.Base {
	case "xs:unsignedInt":
		if _, err := strconv.ParseUint(strings.TrimSpace(s), 10, 32); err != nil {
			return true
		}
	case "xs:long":
		if _, err := strconv.ParseInt(strings.TrimSpace(s), 10, 64); err != nil {
			return true
		}
	case "xs:double":
		if !regexp.MustCompile(`^\s*([+-]?([0-9]+(\.[0-9]*)?|\.[0-9]+)([Ee][+-]?[0-9]+)?|-?INF|NaN)\s*$`).MatchString(s) {
			return true
		}
	default:
		return false
	}
	v, err := strconv.ParseFloat(strings.TrimSpace(s), 64)
	violates := func(list []facet, outside func(bound float64) bool) bool {
		return slices.ContainsFunc(list, func(f facet) bool { bound, _ := strconv.ParseFloat(f.Value, 64); return outside(bound) })
	}
	return err != nil || violates(x.MinInclusive, func(b float64) bool { return !(v >= b) }) ||
		violates(x.MaxInclusive, func(b float64) bool { return !(v <= b) }) || violates(x.MinExclusive, func(b float64) bool { return !(v > b) })
}

// If the reader accepted what the schema rejects, a file that a gatherer takes would
// fail in an editor or another tool that checks it against the schema.
func TestReaderRejectsWhatTheSchemaRejects(t *testing.T) {
	var b strings.Builder
	if err := testForm().Schema(&b); err != nil {
		t.Fatal(err)
	}
	var schema struct {
		Elements []struct {
			Name  string `xml:"name,attr"`
			Rules []rule `xml:"complexType>attribute"`
		} `xml:"element"`
	}
	if err := xml.Unmarshal([]byte(b.String()), &schema); err != nil {
		t.Fatal(err)
	}
	rules := schema.Elements[1].Rules
	if len(schema.Elements) != 3 || len(rules) != len(testForm().Elements["leaf"].Attributes) {
		t.Fatalf("the schema does not match the form: %s", b.String())
	}
	rejected := 0
	rapid.Check(t, func(t *rapid.T) {
		i := rapid.IntRange(0, len(rules)-1).Draw(t, "attribute")
		s := rapid.OneOf(
			rapid.StringMatching(`[0-9.+\-eE]{0,6}`), rapid.StringMatching(`[0-9]{1,4}(\.[0-9])?(ns|us|ms|s|m|h|d|)`),
			rapid.SampledFrom([]string{"up", "down", "true", "false", "TRUE", "0x1p2", "1_0", "Inf", "INF", "nan", "NaN", "", " 5", "5 ", "unix:/a", "127.0.0.1:1", "[::1]:70000"}),
			rapid.String(),
		).Draw(t, "value")
		a := testForm().Elements["leaf"].Attributes[i]
		if !rules[i].rejects(s) {
			return
		}
		rejected++
		if _, ok := a.read(s); ok {
			t.Fatalf("the reader accepts %s=%q, but the schema rejects it: %+v", a.Name, s, rules[i])
		}
	})
	if rejected == 0 {
		t.Error("the schema rejected nothing")
	}
}

func TestExplain(t *testing.T) {
	var b strings.Builder
	if err := testForm().Explain(&b, "leaf/soon"); err != nil {
		t.Fatal(err)
	}
	if want := "  soon: bounded\n    a time with its unit, such as 250ms, from 100ms to 2s, in a time; 250ms where it is not given\n"; b.String() != want {
		t.Errorf("have %q", b.String())
	}
	for _, bad := range []string{"no", "leaf/no"} {
		if err := testForm().Explain(&b, bad); err == nil {
			t.Errorf("%s was explained", bad)
		}
	}
}

func TestFormatKeepsCommentsAndIsStable(t *testing.T) {
	text := `<!-- first --><root xmlns="urn:test"><pair/>
	<!-- two
	  lines -->
	<leaf times="1" few="4"/>   <pair></pair></root><!--last-->`
	var once, twice strings.Builder
	if err := testForm().Format("f.xml", []byte(text), &once); err != nil {
		t.Fatal(err)
	}
	want := xml.Header + `<!-- first -->
<root xmlns="urn:test">
  <pair/>
  <!-- two
	  lines -->
  <leaf few="4" times="1"/>
  <pair/>
</root>
<!--last-->
`
	if once.String() != want {
		t.Errorf("have %s", once.String())
	}
	if err := testForm().Format("f.xml", []byte(once.String()), &twice); err != nil || twice.String() != once.String() {
		t.Errorf("formatted twice: %v, %s", err, twice.String())
	}
	if err := testForm().Format("f.xml", []byte(`<root xmlns="urn:test"/>`), &twice); err == nil {
		t.Error("a file with faults was formatted")
	}
}

func TestDiffIncludesDefaults(t *testing.T) {
	a, err := readText(testForm(), `<root xmlns="urn:test"><pair/><pair/><leaf times="1" few="3"/></root>`)
	if err != nil {
		t.Fatal(err)
	}
	b, err := readText(testForm(), `<root xmlns="urn:test"><pair/><pair/><pair/><leaf times="2" soon="1s"/></root>`)
	if err != nil {
		t.Fatal(err)
	}
	want := []string{`root/leaf/@soon: "250ms" (default) to "1s"`, `root/leaf/@times: "1" to "2"`, `root/pair#3: added`}
	if got := Diff(a, b); !slices.Equal(got, want) {
		t.Errorf("have %q", got)
	}
	if got := Diff(a, a); len(got) > 0 {
		t.Errorf("a file differs from itself: %q", got)
	}
}
