package xmlform

import (
	"encoding/xml"
	"errors"
	"fmt"
	"io"
	"strings"
	"time"
)

// Fault is a fault at one place of a file.
type Fault struct {
	File, Element string
	Line          int
	Found, Wanted string
}

// Error returns the place of the fault, what was found and what is wanted.
func (f Fault) Error() string {
	return fmt.Sprintf("%s:%d: <%s>: found %s, want %s", f.File, f.Line, f.Element, f.Found, f.Wanted)
}

// MaxFaults is the most faults of one file that are reported. Further ones are only
// counted.
const MaxFaults = 50

// Faults collects the faults of one file.
type Faults struct {
	File    string
	list    []error
	omitted int // faults beyond MaxFaults
}

// Add records a fault.
func (f *Faults) Add(line int, element, found, wanted string) {
	if len(f.list) >= MaxFaults {
		f.omitted++
		return
	}
	f.list = append(f.list, Fault{File: f.File, Line: line, Element: element, Found: found, Wanted: wanted})
}

// Count returns the number of faults, including those that are only counted.
func (f *Faults) Count() int { return len(f.list) + f.omitted }

// Err joins the faults, each a Fault, in one error. It returns nil if there are none.
func (f *Faults) Err() error {
	list := f.list
	if f.omitted > 0 {
		list = append(list[:len(list):len(list)], fmt.Errorf("%s: and %d more faults", f.File, f.omitted))
	}
	return errors.Join(list...)
}

// Node is an element of a file.
type Node struct {
	Name     string
	Line     int
	Valid    bool // its own attributes are valid; its Children may not be
	Children []*Node

	definition Element
	values     []Value // by the index of the attribute in definition
}

// Value returns an attribute's value, or its default. The form must have the
// attribute.
func (n *Node) Value(name string) Value { return n.values[n.definition.attributeIndex(name)] }

// Text returns the text of an attribute of any kind.
func (n *Node) Text(name string) string { return n.Value(name).Text }

// Number returns the value of an attribute of kind Number or Count.
func (n *Node) Number(name string) uint64 { return n.Value(name).Number }

// Float returns the value of an attribute of kind Share or Factor.
func (n *Node) Float(name string) float64 { return n.Value(name).Float }

// Duration returns the value of an attribute of kind Duration.
func (n *Node) Duration(name string) time.Duration { return n.Value(name).Duration }

// Bool returns the value of an attribute of kind Bool.
func (n *Node) Bool(name string) bool { return n.Value(name).Bool }

// Given reports whether the file gives the attribute.
func (n *Node) Given(name string) bool { return n.Value(name).Given }

// Child returns the first child with a name, or nil if there is none.
func (n *Node) Child(name string) *Node {
	for _, c := range n.Children {
		if c.Name == name {
			return c
		}
	}
	return nil
}

// Read reads a file and adds its faults to faults. It returns the root, or nil if the
// root could not be read. A Node with Valid false is an element whose attributes have
// a fault.
func (f *Form) Read(r io.Reader, faults *Faults) *Node {
	x := &reader{form: f, faults: faults}
	x.readTokens(xml.NewDecoder(r))
	return x.root
}

// reader reads one file.
type reader struct {
	form   *Form
	faults *Faults
	root   *Node
	open   []*Node // the elements that are open, the root first
}

// readTokens reads all tokens of a file.
func (x *reader) readTokens(d *xml.Decoder) {
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
			x.faults.Add(line, x.openElement(), err.Error(), "well-formed XML")
			return
		}
		switch t := t.(type) {
		case xml.StartElement:
			if !x.startElement(line, t) {
				if err := d.Skip(); err != nil {
					x.faults.Add(line, t.Name.Local, err.Error(), "well-formed XML")
					return
				}
			}
		case xml.EndElement:
			x.endElement()
		case xml.CharData:
			if s := strings.TrimSpace(string(t)); s != "" {
				x.faults.Add(line, x.openElement(), fmt.Sprintf("text %.40q", s), "elements only")
			}
		case xml.Directive:
			x.faults.Add(line, x.openElement(), "a directive", "no directives: entities are not supported")
		}
	}
}

// openElement returns the name of the innermost open element for messages.
func (x *reader) openElement() string {
	if len(x.open) == 0 {
		return x.form.Root
	}
	return x.open[len(x.open)-1].Name
}

// startElement adds an element to its parent and reports whether to read its
// children.
func (x *reader) startElement(line int, t xml.StartElement) bool {
	name, form := t.Name.Local, x.form
	if len(x.open) == 0 {
		switch {
		case name != form.Root || t.Name.Space != form.Namespace:
			x.faults.Add(line, name, fmt.Sprintf("%s of %q", name, t.Name.Space), fmt.Sprintf("%s of %q", form.Root, form.Namespace))
			return false
		case x.root != nil:
			x.faults.Add(line, name, "a second "+name, "one")
			return false
		}
	} else if parent := x.open[len(x.open)-1]; len(x.open) >= form.Depth || t.Name.Space != form.Namespace || !parent.definition.allows(name) {
		x.faults.Add(line, name, fmt.Sprintf("%s in %s", name, parent.Name), "one of "+strings.Join(parent.definition.childNames(), ", "))
		return false
	}
	node := &Node{Name: name, Line: line, definition: form.Elements[name]}
	node.Valid = x.readAttributes(node, t.Attr)
	if len(x.open) == 0 {
		x.root = node
	} else {
		parent := x.open[len(x.open)-1]
		parent.Children = append(parent.Children, node)
	}
	x.open = append(x.open, node)
	return true
}

// endElement closes an element and checks how many children of each name it has.
func (x *reader) endElement() {
	n := x.open[len(x.open)-1]
	x.open = x.open[:len(x.open)-1]
	for _, c := range n.definition.Children {
		count := 0
		for _, child := range n.Children {
			if child.Name != c.Name {
				continue
			}
			if count++; c.Max > 0 && count == c.Max+1 {
				x.faults.Add(child.Line, c.Name, fmt.Sprintf("a further %s in %s", c.Name, n.Name), fmt.Sprintf("at most %d", c.Max))
			}
		}
		if count < c.Min {
			found := "no " + c.Name
			if count > 0 {
				found = fmt.Sprintf("%d of %s", count, c.Name)
			}
			least := "one"
			if c.Min > 1 {
				least = fmt.Sprint(c.Min)
			}
			x.faults.Add(n.Line, n.Name, found, "at least "+least)
		}
	}
}

// allows reports whether an element of that name may be a child of e.
func (e Element) allows(child string) bool {
	for _, c := range e.Children {
		if c.Name == child {
			return true
		}
	}
	return false
}

// childNames returns the names of the children that e may have.
func (e Element) childNames() (out []string) {
	for _, c := range e.Children {
		out = append(out, c.Name)
	}
	return out
}

// schemaInstance is the namespace of xsi:schemaLocation, which files may carry.
const schemaInstance = "http://www.w3.org/2001/XMLSchema-instance"

// readAttributes reads an element's attributes and reports whether they are valid.
func (x *reader) readAttributes(n *Node, attrs []xml.Attr) bool {
	before := x.faults.Count()
	n.values = make([]Value, len(n.definition.Attributes))
	for _, a := range attrs {
		if a.Name.Space == "xmlns" || a.Name.Local == "xmlns" || a.Name.Space == schemaInstance {
			continue
		}
		i := n.definition.attributeIndex(a.Name.Local)
		if i < 0 || a.Name.Space != "" {
			x.faults.Add(n.Line, n.Name, "attribute "+a.Name.Local, "an attribute that the element has")
			continue
		}
		if n.values[i].Given {
			x.faults.Add(n.Line, n.Name, "attribute "+a.Name.Local+" twice", "each attribute once")
		}
		d := n.definition.Attributes[i]
		v, ok := d.read(a.Value)
		if !ok {
			x.faults.Add(n.Line, n.Name, fmt.Sprintf("%s=%.40q", d.Name, a.Value), d.wanted())
		}
		v.Given = true
		n.values[i] = v
	}
	for i, d := range n.definition.Attributes {
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
