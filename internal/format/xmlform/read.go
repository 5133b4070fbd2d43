package xmlform

import (
	"encoding/xml"
	"errors"
	"fmt"
	"io"
	"strings"
	"time"
)

// Fault is one fault of a file.
type Fault struct {
	File, Element string
	Line          int
	Found, Wanted string
}

func (f Fault) Error() string {
	return fmt.Sprintf("%s:%d: <%s>: found %s, want %s", f.File, f.Line, f.Element, f.Found, f.Wanted)
}

// MostFaults bounds what is told of one file; the rest is counted.
const MostFaults = 50

// Faults collects the faults of one file.
type Faults struct {
	File string
	list []error
	more int
}

// Add adds a fault.
func (f *Faults) Add(line int, element, found, wanted string) {
	if len(f.list) >= MostFaults {
		f.more++
		return
	}
	f.list = append(f.list, Fault{File: f.File, Line: line, Element: element, Found: found, Wanted: wanted})
}

// Count is how many there are.
func (f *Faults) Count() int { return len(f.list) + f.more }

// Err joins them, each a Fault; nil if there are none.
func (f *Faults) Err() error {
	list := f.list
	if f.more > 0 {
		list = append(list[:len(list):len(list)], fmt.Errorf("%s: and %d faults more", f.File, f.more))
	}
	return errors.Join(list...)
}

// Node is an element of a file.
type Node struct {
	Name     string
	Line     int
	Sound    bool // its own attributes are in order; Children may not be
	Children []*Node

	def    Element
	values []Value // by the number of the attribute
}

// Value returns an attribute's value, or its default. The attribute must be in
// the form.
func (n *Node) Value(name string) Value { return n.values[n.def.attribute(name)] }

// Text, Number and so on are an attribute's value of that kind.
func (n *Node) Text(name string) string        { return n.Value(name).Text }
func (n *Node) Number(name string) uint64      { return n.Value(name).Number }
func (n *Node) Float(name string) float64      { return n.Value(name).Float }
func (n *Node) Span(name string) time.Duration { return n.Value(name).Span }
func (n *Node) Flag(name string) bool          { return n.Value(name).Flag }
func (n *Node) Given(name string) bool         { return n.Value(name).Given }

// Child is the first child of a name; nil if there is none.
func (n *Node) Child(name string) *Node {
	for _, c := range n.Children {
		if c.Name == name {
			return c
		}
	}
	return nil
}

// Read reads a file. What is wrong with it is added to faults; the node is nil
// where not even the root could be read. A node that is not sound stands for an
// element that is there but has a fault.
func (f *Form) Read(r io.Reader, faults *Faults) *Node {
	x := &reader{form: f, faults: faults}
	x.tokens(xml.NewDecoder(r))
	return x.root
}

// reader reads one file.
type reader struct {
	form   *Form
	faults *Faults
	root   *Node
	open   []*Node
}

func (x *reader) tokens(d *xml.Decoder) {
	for {
		line, _ := d.InputPos()
		t, err := d.Token()
		if err == io.EOF {
			if x.root == nil && x.faults.Count() == 0 {
				x.faults.Add(line, x.form.Root, "nothing", "the element "+x.form.Root)
			}
			return
		}
		if err != nil {
			var syntax *xml.SyntaxError
			if errors.As(err, &syntax) {
				line = syntax.Line
			}
			x.faults.Add(line, x.in(), err.Error(), "well-formed XML")
			return
		}
		switch t := t.(type) {
		case xml.StartElement:
			if !x.start(line, t) {
				if err := d.Skip(); err != nil {
					x.faults.Add(line, t.Name.Local, err.Error(), "well-formed XML")
					return
				}
			}
		case xml.EndElement:
			x.end()
		case xml.CharData:
			if s := strings.TrimSpace(string(t)); s != "" {
				x.faults.Add(line, x.in(), fmt.Sprintf("text %.40q", s), "elements only")
			}
		case xml.Directive:
			x.faults.Add(line, x.in(), "a directive", "none: no entities are read")
		}
	}
}

// in is the element that is open, for messages.
func (x *reader) in() string {
	if len(x.open) == 0 {
		return x.form.Root
	}
	return x.open[len(x.open)-1].Name
}

// start takes in an element, and tells whether its children are to be read.
func (x *reader) start(line int, t xml.StartElement) bool {
	n, f := t.Name.Local, x.form
	if len(x.open) == 0 {
		switch {
		case n != f.Root || t.Name.Space != f.Namespace:
			x.faults.Add(line, n, fmt.Sprintf("%s of %q", n, t.Name.Space), fmt.Sprintf("%s of %q", f.Root, f.Namespace))
			return false
		case x.root != nil:
			x.faults.Add(line, n, "a second "+n, "one")
			return false
		}
	} else if up := x.open[len(x.open)-1]; len(x.open) >= f.Depth || t.Name.Space != f.Namespace || !up.def.allows(n) {
		x.faults.Add(line, n, fmt.Sprintf("%s in %s", n, up.Name), "one of "+strings.Join(up.def.names(), ", "))
		return false
	}
	node := &Node{Name: n, Line: line, def: f.Elements[n]}
	node.Sound = x.values(node, t.Attr)
	if len(x.open) == 0 {
		x.root = node
	} else {
		up := x.open[len(x.open)-1]
		up.Children = append(up.Children, node)
	}
	x.open = append(x.open, node)
	return true
}

// end checks how many children of each name an element has.
func (x *reader) end() {
	n := x.open[len(x.open)-1]
	x.open = x.open[:len(x.open)-1]
	for _, c := range n.def.Children {
		have := 0
		for _, child := range n.Children {
			if child.Name != c.Name {
				continue
			}
			if have++; c.Most > 0 && have == c.Most+1 {
				x.faults.Add(child.Line, c.Name, fmt.Sprintf("a further %s in %s", c.Name, n.Name), fmt.Sprintf("at most %d", c.Most))
			}
		}
		if have < c.Least {
			found := "no " + c.Name
			if have > 0 {
				found = fmt.Sprintf("%d of %s", have, c.Name)
			}
			least := "one"
			if c.Least > 1 {
				least = fmt.Sprint(c.Least)
			}
			x.faults.Add(n.Line, n.Name, found, "at least "+least)
		}
	}
}

func (e Element) allows(child string) bool {
	for _, c := range e.Children {
		if c.Name == child {
			return true
		}
	}
	return false
}

func (e Element) names() (out []string) {
	for _, c := range e.Children {
		out = append(out, c.Name)
	}
	return out
}

// instance is the namespace of xsi:schemaLocation, which files may carry.
const instance = "http://www.w3.org/2001/XMLSchema-instance"

// values reads an element's attributes, and tells whether they are in order.
func (x *reader) values(n *Node, attrs []xml.Attr) bool {
	before := x.faults.Count()
	n.values = make([]Value, len(n.def.Attributes))
	for _, a := range attrs {
		if a.Name.Space == "xmlns" || a.Name.Local == "xmlns" || a.Name.Space == instance {
			continue
		}
		i := n.def.attribute(a.Name.Local)
		if i < 0 || a.Name.Space != "" {
			x.faults.Add(n.Line, n.Name, "attribute "+a.Name.Local, "no attribute of that name")
			continue
		}
		if n.values[i].Given {
			x.faults.Add(n.Line, n.Name, "attribute "+a.Name.Local+" twice", "one")
		}
		d := n.def.Attributes[i]
		v, ok := d.read(a.Value)
		if !ok {
			x.faults.Add(n.Line, n.Name, fmt.Sprintf("%s=%.40q", d.Name, a.Value), d.wanted())
		}
		v.Given = true
		n.values[i] = v
	}
	for i, d := range n.def.Attributes {
		switch {
		case n.values[i].Given:
		case d.Required:
			x.faults.Add(n.Line, n.Name, "no attribute "+d.Name, d.wanted())
		case d.Default != "":
			n.values[i], _ = d.read(d.Default)
		}
	}
	return x.faults.Count() == before
}
