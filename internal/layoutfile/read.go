// Package layoutfile reads and writes layouts as operators keep them: XML after
// deploy/layout.xsd. All faults of a file are told in one go, each with its line,
// its element, what was found and what is wanted. It does no I/O of its own.
package layoutfile

import (
	"encoding/xml"
	"errors"
	"fmt"
	"io"
	"slices"
	"strconv"
	"strings"

	"eiderwinch/internal/layout"
)

// Namespace names the form of these files.
const Namespace = "urn:eiderwinch:layout:1"

// Fault is one fault of a file.
type Fault struct {
	File, Element string
	Line          int
	Found, Wanted string
}

func (f Fault) Error() string {
	return fmt.Sprintf("%s:%d: <%s>: found %s, want %s", f.File, f.Line, f.Element, f.Found, f.Wanted)
}

// mostFaults bounds what is told of one file; the rest is counted.
const mostFaults = 50

// maxDepth is how deep elements lie in each other at the most.
const maxDepth = 3

// kind is how an attribute's value is read.
type kind int

const (
	text   kind = iota // any
	name               // not empty, no blanks
	number             // 0 to 2^32-1
	count              // from 1 on
	share              // above 0, at most 1
	state              // a state's name
)

var wanted = [...]string{
	"text", "a name without blanks", "a number from 0 to 4294967295", "a number from 1 on", "a share above 0 and at most 1",
	"preparing, serving or retiring",
}

// attribute is what an element may or must carry.
type attribute struct {
	name     string
	kind     kind
	required bool
}

// element is what may stand in a file: the same as in deploy/layout.xsd, which
// a test holds against this table.
type element struct {
	attributes []attribute
	children   []string
	needs      string // the child that must stand there at least once
}

var elements = map[string]element{
	"layout": {[]attribute{{"epoch", count, true}, {"next", number, true}, {"replicas", count, true}},
		[]string{"searcher", "segment", "was"}, "segment"},
	"searcher": {[]attribute{{"id", name, true}, {"zone", name, true}}, nil, ""},
	"segment": {[]attribute{{"id", number, true}, {"from", text, false}, {"to", text, false}, {"state", state, false}},
		[]string{"holder", "next", "prev", "of"}, "holder"},
	"holder": {[]attribute{{"searcher", name, true}}, nil, ""},
	"next":   {[]attribute{{"searcher", name, true}}, nil, ""},
	"prev":   {[]attribute{{"searcher", name, true}}, nil, ""},
	"of":     {[]attribute{{"segment", number, true}}, nil, ""},
	"was":    {[]attribute{{"segment", number, true}, {"since", count, true}}, []string{"heir"}, "heir"},
	"heir":   {[]attribute{{"segment", number, true}, {"share", share, true}}, nil, ""},
}

// node is an element that is open.
type node struct {
	name  string
	line  int
	needs string // the child that is still missing
}

// reader reads one file.
type reader struct {
	file   string
	faults []error
	more   int
	open   []node

	epoch    uint64
	next     uint64
	fleet    layout.Fleet
	segments []layout.Segment
	lines    []layout.Line
	lineOf   map[layout.SegmentID]int // where segments stand
	wasAt    map[layout.SegmentID]int
}

// Read reads a file, whose name is for messages only. The error joins all its
// faults, each a Fault.
func Read(file string, r io.Reader) (*layout.Layout, layout.Fleet, error) {
	x := &reader{
		file: file, fleet: layout.Fleet{Zones: make(map[string]string)},
		lineOf: make(map[layout.SegmentID]int), wasAt: make(map[layout.SegmentID]int),
	}
	x.tokens(xml.NewDecoder(r))
	if len(x.faults) > 0 {
		return nil, layout.Fleet{}, x.err()
	}
	l, err := layout.Restore(layout.Epoch(x.epoch), layout.SegmentID(x.next), x.segments, x.lines)
	if err != nil {
		x.fault(1, "layout", err.Error(), "a layout in which each key has one serving segment")
		return nil, layout.Fleet{}, x.err()
	}
	return l, x.fleet, nil
}

func (x *reader) err() error {
	if x.more > 0 {
		x.faults = append(x.faults, fmt.Errorf("%s: and %d faults more", x.file, x.more))
	}
	return errors.Join(x.faults...)
}

func (x *reader) fault(line int, element, found, wanted string) {
	if len(x.faults) >= mostFaults {
		x.more++
		return
	}
	x.faults = append(x.faults, Fault{File: x.file, Line: line, Element: element, Found: found, Wanted: wanted})
}

func (x *reader) tokens(d *xml.Decoder) {
	for {
		line, _ := d.InputPos()
		t, err := d.Token()
		if err == io.EOF {
			if x.epoch == 0 && len(x.faults) == 0 {
				x.fault(line, "layout", "nothing", "the element layout")
			}
			return
		}
		if err != nil {
			var syntax *xml.SyntaxError
			if errors.As(err, &syntax) {
				line = syntax.Line
			}
			x.fault(line, x.in(), err.Error(), "well-formed XML")
			return
		}
		switch t := t.(type) {
		case xml.StartElement:
			if !x.start(line, t) {
				if err := d.Skip(); err != nil {
					x.fault(line, t.Name.Local, err.Error(), "well-formed XML")
					return
				}
			}
		case xml.EndElement:
			last := x.open[len(x.open)-1]
			x.open = x.open[:len(x.open)-1]
			if last.needs != "" {
				x.fault(last.line, last.name, "no "+last.needs, "at least one")
			}
		case xml.CharData:
			if s := strings.TrimSpace(string(t)); s != "" {
				x.fault(line, x.in(), fmt.Sprintf("text %.40q", s), "elements only")
			}
		case xml.Directive:
			x.fault(line, x.in(), "a directive", "none: no entities are read")
		}
	}
}

// in is the element that is open, for messages.
func (x *reader) in() string {
	if len(x.open) == 0 {
		return "layout"
	}
	return x.open[len(x.open)-1].name
}

// start takes in an element, and tells whether its children are to be read.
func (x *reader) start(line int, t xml.StartElement) bool {
	n := t.Name.Local
	def, known := elements[n]
	switch {
	case len(x.open) == 0 && (n != "layout" || t.Name.Space != Namespace):
		x.fault(line, n, fmt.Sprintf("%s of %q", n, t.Name.Space), fmt.Sprintf("layout of %q", Namespace))
		return false
	case len(x.open) == 0 && x.epoch != 0:
		x.fault(line, n, "a second layout", "one")
		return false
	case len(x.open) >= maxDepth || len(x.open) > 0 && (!known || t.Name.Space != Namespace || !slices.Contains(elements[x.in()].children, n)):
		x.fault(line, n, fmt.Sprintf("%s in %s", n, x.in()), "one of "+strings.Join(elements[x.in()].children, ", "))
		return false
	}
	v, ok := x.values(line, n, def, t.Attr)
	if len(x.open) > 0 {
		if up := &x.open[len(x.open)-1]; up.needs == n {
			up.needs = ""
		}
	}
	x.open = append(x.open, node{n, line, def.needs})
	if ok {
		x.take(line, n, v)
	} else if n == "segment" || n == "was" { // so that its children have a place
		x.take(line, n, values{})
	}
	return true
}

// values are the attributes of an element.
type values struct {
	text    map[string]string
	numbers map[string]uint64
	share   float64
	state   layout.State
}

func (x *reader) values(line int, n string, def element, attrs []xml.Attr) (values, bool) {
	v := values{text: make(map[string]string), numbers: make(map[string]uint64), state: layout.Serving}
	before := len(x.faults) + x.more
	seen := make(map[string]bool)
	for _, a := range attrs {
		if a.Name.Space == "xmlns" || a.Name.Local == "xmlns" || a.Name.Space == "http://www.w3.org/2001/XMLSchema-instance" {
			continue
		}
		i := slices.IndexFunc(def.attributes, func(d attribute) bool { return d.name == a.Name.Local && a.Name.Space == "" })
		if i < 0 {
			x.fault(line, n, "attribute "+a.Name.Local, "no attribute of that name")
			continue
		}
		if seen[a.Name.Local] {
			x.fault(line, n, "attribute "+a.Name.Local+" twice", "one")
		}
		seen[a.Name.Local] = true
		d := def.attributes[i]
		if !v.read(d, a.Value) {
			x.fault(line, n, fmt.Sprintf("%s=%.40q", d.name, a.Value), wanted[d.kind])
		}
	}
	for _, d := range def.attributes {
		if d.required && !seen[d.name] {
			x.fault(line, n, "no attribute "+d.name, wanted[d.kind])
		}
	}
	return v, len(x.faults)+x.more == before
}

// read reads one attribute's value.
func (v *values) read(d attribute, s string) bool {
	var err error
	switch d.kind {
	case text:
		v.text[d.name] = s
	case name:
		v.text[d.name] = s
		return s != "" && !strings.ContainsAny(s, " \t\r\n")
	case number:
		v.numbers[d.name], err = strconv.ParseUint(s, 10, 32)
	case count:
		v.numbers[d.name], err = strconv.ParseUint(s, 10, 63)
		return err == nil && v.numbers[d.name] > 0
	case share:
		v.share, err = strconv.ParseFloat(s, 64)
		return err == nil && v.share > 0 && v.share <= 1
	case state:
		v.state, err = layout.ParseState(s)
	}
	return err == nil
}

// take books an element.
func (x *reader) take(line int, n string, v values) {
	id := layout.SegmentID(v.numbers["id"])
	of := layout.SegmentID(v.numbers["segment"])
	var last *layout.Segment
	if len(x.segments) > 0 {
		last = &x.segments[len(x.segments)-1]
	}
	switch n {
	case "layout":
		x.epoch, x.next = v.numbers["epoch"], v.numbers["next"]
		x.fleet.Replicas = int(min(v.numbers["replicas"], 1<<16))
	case "searcher":
		if _, twice := x.fleet.Zones[v.text["id"]]; twice {
			x.fault(line, n, fmt.Sprintf("searcher %q twice", v.text["id"]), "one")
		}
		x.fleet.Zones[v.text["id"]] = v.text["zone"]
	case "segment":
		if at, twice := x.lineOf[id]; twice && v.text != nil {
			x.fault(line, n, fmt.Sprintf("segment %d, which stands in line %d too", id, at), "a number of its own")
		}
		if v.text != nil {
			x.lineOf[id] = line
		}
		x.segments = append(x.segments, layout.Segment{
			ID: id, Keys: layout.Range{From: layout.Key(v.text["from"]), To: layout.Key(v.text["to"])}, State: v.state,
		})
	case "holder":
		last.Holders = append(last.Holders, v.text["searcher"])
	case "next":
		last.Next = append(last.Next, v.text["searcher"])
	case "prev":
		last.Prev = append(last.Prev, v.text["searcher"])
	case "of":
		last.Of = append(last.Of, of)
	case "was":
		if at, twice := x.wasAt[of]; twice && v.text != nil {
			x.fault(line, n, fmt.Sprintf("segment %d, which stands in line %d too", of, at), "a number of its own")
		}
		if v.text != nil {
			x.wasAt[of] = line
		}
		x.lines = append(x.lines, layout.Line{From: of, Since: layout.Epoch(v.numbers["since"])})
	case "heir":
		was := &x.lines[len(x.lines)-1]
		was.Heirs = append(was.Heirs, layout.Share{To: of, Weight: v.share})
	}
}
