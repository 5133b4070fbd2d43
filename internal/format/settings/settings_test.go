package settings

import (
	"bytes"
	"os"
	"reflect"
	"strings"
	"testing"
	"time"

	"eiderwinch/internal/format/config"
)

// validFile is a file without faults, which the tests change in one place each.
const validFile = `<eiderwinch xmlns="urn:eiderwinch:operators:1">
  <admin endpoint="unix:/run/e/admin.sock"/>
  <layout file="layout.xml" follow="true"/>
  <coordinator endpoint="unix:/run/e/co.sock" log="changes.db" layout="layout.xml" poll="2s" rows="500">
    <gatherer name="g0" endpoint="unix:/run/e/admin.sock"/>
    <searcher name="s0" endpoint="127.0.0.1:7000"/>
    <searcher name="s1" endpoint="[::1]:7000"/>
  </coordinator>
  <fleet name="verona" listen="127.0.0.1:7300" keys="keys.xml" key="k" links="wan">
    <seed addr="127.0.0.1:7301"/>
    <slot number="1" addr="127.0.0.1:7300"/>
    <slot number="0" addr="127.0.0.1:7301"/>
  </fleet>
</eiderwinch>
`

func TestRead(t *testing.T) {
	f, err := Read("e.xml", strings.NewReader(validFile))
	if err != nil {
		t.Fatal(err)
	}
	c := f.Coordinator
	if f.Admin != "unix:/run/e/admin.sock" || f.Layout != "layout.xml" || !f.Follow || c == nil ||
		c.Log != "changes.db" || c.MeasuredClass != "search" || c.Poll != 2*time.Second || c.Timeout != 2*time.Second ||
		c.Limits.MaxRate != 500 || c.Limits.MinRate != 200 || c.Limits.PerSearcher != 2 || c.Limits.MaxLagAge != 4*time.Second ||
		len(c.Gatherers) != 1 || len(c.Searchers) != 2 || c.Searchers[1] != (AdminEndpoint{"s1", "[::1]:7000"}) {
		t.Errorf("have %+v with %+v", f, c)
	}
	if want := (&Fleet{Name: "verona", Listen: "127.0.0.1:7300", Keys: "keys.xml", Key: "k", WAN: true, Seeds: []string{"127.0.0.1:7301"},
		Slots: []string{"127.0.0.1:7301", "127.0.0.1:7300"}, Lease: time.Second, Line: 9}); !reflect.DeepEqual(f.Fleet, want) {
		t.Errorf("have %+v", f.Fleet)
	}
}

func TestFaults(t *testing.T) {
	for _, c := range []struct{ old, new, want string }{
		{`endpoint="unix:/run/e/admin.sock"/>` + "\n  <layout", `endpoint="10.0.0.1:80"/>` + "\n  <layout", `e.xml:2: <admin>: found endpoint="10.0.0.1:80", want unix:PATH`},
		{`  <admin endpoint="unix:/run/e/admin.sock"/>`, ``, `e.xml:3: <layout>: found follow without an admin socket`},
		{`file="layout.xml"`, `file=""`, `e.xml:3: <layout>: found file="", want the name of a file`},
		{`log="changes.db"`, `log=""`, `found log=""`},
		{`follow="true"`, `follow="yes"`, `want true or false`},
		{`rows="500"`, `rows="100"`, `found rows-least=200, want at most rows=100`},
		{`poll="2s"`, `poll="10s" timeout="15s"`, `want less than gatherer-lost=20s together`},
		{`poll="2s"`, `gatherer-lost="5s"`, `from 13s to 10m0s`},
		{`name="s1"`, `name="g0"`, `e.xml:7: <searcher>: found name "g0", which is on line 5 too`},
		{`<gatherer name="g0" endpoint="unix:/run/e/admin.sock"/>`, ``, `e.xml:4: <coordinator>: found no gatherer`},
		{`listen="127.0.0.1:7300"`, `listen="localhost:7300"`, `found listen="localhost:7300", want a numeric address`},
		{`listen="127.0.0.1:7300"`, `listen="0.0.0.0:7300"`, `that others can reach`},
		{`addr="127.0.0.1:7301"`, `addr="127.0.0.1"`, `<seed>: found addr="127.0.0.1"`},
		{`keys="keys.xml"`, `keys=""`, `<fleet>: found keys=""`},
		{`number="1"`, `number="2"`, `<fleet>: found 2 slots without number 1, want consecutive numbers from 0`},
		{`number="1"`, `number="0"`, `found a second slot 0, want each number once`},
		{`number="0" addr="127.0.0.1:7301"`, `number="0" addr="127.0.0.1:7300"`, `which is on line 11 too, want a different address for each slot`},
		{`listen="127.0.0.1:7300"`, `listen="127.0.0.1:7300" advertise="there"`, `found advertise="there"`},
		{`links="wan"`, `links="van"`, `want lan or wan`},
		{`</eiderwinch>`, `<admin endpoint="127.0.0.1:0"/></eiderwinch>`, `found a further admin in eiderwinch`},
	} {
		text := strings.Replace(validFile, c.old, c.new, 1)
		if _, err := Read("e.xml", strings.NewReader(text)); err == nil || !strings.Contains(err.Error(), c.want) {
			t.Errorf("%s for %s: have %v, want %s", c.new, c.old, err, c.want)
		}
	}
}

// The deployed operators' file has no elements, so every feature is off on the platform.
// The schema next to it must be the one generated from the form.
func TestDeployedFiles(t *testing.T) {
	text, err := os.ReadFile("../../../deploy/eiderwinch.xml")
	if err != nil {
		t.Fatal(err)
	}
	if f, err := Read("eiderwinch.xml", bytes.NewReader(text)); err != nil || !reflect.DeepEqual(f, &File{Guard: Guard{Probation: 30 * time.Second, Auto: true}}) {
		t.Errorf("have %+v, %v", f, err)
	}
	form := Form()
	if err := form.Check(); err != nil {
		t.Error(err)
	}
	schema, err := os.ReadFile("../../../deploy/eiderwinch.xsd")
	if err != nil {
		t.Fatal(err)
	}
	var b bytes.Buffer
	if err := form.Schema(&b); err != nil || b.String() != string(schema) {
		t.Errorf("deploy/eiderwinch.xsd does not match the form (%v): generate it with eiderwinch config schema operators", err)
	}
}

// FuzzRead checks that the reader either returns an error or a file that can be
// formatted, that the formatted text reads as the same file, and that formatting it
// again changes nothing.
func FuzzRead(f *testing.F) {
	f.Add(validFile)
	f.Add(`<eiderwinch xmlns="urn:eiderwinch:operators:1"><class name="a" within="1s" open="3"/><guard slower="2"/></eiderwinch>`)
	f.Add("<eiderwinch")
	f.Fuzz(func(t *testing.T, text string) {
		file, err := Read("e.xml", strings.NewReader(text))
		if err != nil {
			return
		}
		var once, twice bytes.Buffer
		if err := Form().Format("e.xml", []byte(text), &once); err != nil {
			t.Fatal(err)
		}
		again, err := Read("e.xml", bytes.NewReader(once.Bytes()))
		if err != nil {
			t.Fatalf("cannot read the formatted file: %v\n%s", err, once.String())
		}
		for _, f := range []*File{file, again} { // line numbers may differ
			f.LiveOverrides.Pools.Line, f.LiveOverrides.Admission.Line = 0, 0
			if f.Fleet != nil {
				f.Fleet.Line = 0
			}
			for i := range f.LiveOverrides.Classes {
				f.LiveOverrides.Classes[i].Line = 0
			}
		}
		if !reflect.DeepEqual(file, again) {
			t.Fatalf("the formatted file differs: %+v became %+v", file, again)
		}
		if err := Form().Format("e.xml", once.Bytes(), &twice); err != nil || twice.String() != once.String() {
			t.Fatalf("formatted twice: %v\n%s\n%s", err, once.String(), twice.String())
		}
	})
}

// If the slots of a file do not match the platform's settings, two gatherers can use the
// same slot.
func TestSlotsMustMatchThePlatform(t *testing.T) {
	f, err := Read("e.xml", strings.NewReader(validFile))
	if err != nil {
		t.Fatal(err)
	}
	for _, c := range []struct {
		gatherers, number int
		want              string
	}{
		{2, 1, ""},
		{3, 1, "e.xml:9: <fleet>: found 2 slots, want 3, the platform's balancers"},
		{2, 0, `found slot 0, which is this gatherer's, at "127.0.0.1:7301", want "127.0.0.1:7300", its listen address`},
	} {
		var s config.Settings
		s.Module.Gatherers, s.Module.GathererNumber = c.gatherers, c.number
		if err := f.CheckPlatform("e.xml", s); (err == nil) != (c.want == "") || err != nil && !strings.Contains(err.Error(), c.want) {
			t.Errorf("%d gatherers, number %d: %v, want %q", c.gatherers, c.number, err, c.want)
		}
	}
}
