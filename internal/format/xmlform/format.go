package xmlform

import (
	"encoding/xml"
	"fmt"
	"io"
	"slices"
	"strings"
)

// Format writes a file in its canonical format: one element on each line, two blanks
// of indentation for each level, attributes in the order of the form, and comments
// where they were. Formatting its output again changes nothing. A file with faults is
// not formatted.
func (f *Form) Format(name string, text []byte, w io.Writer) error {
	faults := &Faults{File: name}
	if f.Read(strings.NewReader(string(text)), faults); faults.Count() > 0 {
		return faults.Err()
	}
	d := xml.NewDecoder(strings.NewReader(string(text)))
	p := &printer{form: f}
	p.out.WriteString(xml.Header)
	for {
		t, err := d.Token()
		if err == io.EOF {
			break
		}
		if err != nil { // cannot happen: Read has parsed the same text above
			return fmt.Errorf("%s: %w", name, err)
		}
		switch t := t.(type) {
		case xml.StartElement:
			p.startElement(t)
		case xml.EndElement:
			p.endElement(t.Name.Local)
		case xml.Comment:
			p.beginLine()
			p.comment(string(t))
		}
	}
	p.out.WriteString("\n")
	_, err := io.WriteString(w, p.out.String())
	return err
}

// printer writes one file in the canonical format.
type printer struct {
	form    *Form
	out     strings.Builder
	depth   int
	tagOpen bool // the last start tag has not been closed yet
	started bool // a line has been written
}

// beginLine closes an open start tag and begins an indented line.
func (p *printer) beginLine() {
	if p.tagOpen {
		p.out.WriteString(">")
		p.tagOpen = false
	}
	if p.started {
		p.out.WriteString("\n")
	}
	p.started = true
	p.out.WriteString(strings.Repeat("  ", p.depth))
}

// comment writes a comment. The indentation of its lines after the first is kept.
func (p *printer) comment(text string) {
	lines := strings.Split(text, "\n")
	for i, s := range lines {
		s = strings.TrimRight(s, " \t\r")
		if i > 0 {
			p.out.WriteString("\n")
		} else {
			p.out.WriteString("<!--")
		}
		p.out.WriteString(s)
	}
	if last := lines[len(lines)-1]; strings.HasSuffix(last, " ") && strings.TrimSpace(last) != "" {
		p.out.WriteString(" ")
	}
	p.out.WriteString("-->")
}

// startElement writes a start tag without its closing bracket.
func (p *printer) startElement(t xml.StartElement) {
	p.beginLine()
	p.out.WriteString("<" + t.Name.Local)
	if p.depth == 0 {
		fmt.Fprintf(&p.out, ` xmlns="%s"`, escape(p.form.Namespace))
	}
	e := p.form.Elements[t.Name.Local]
	slices.SortStableFunc(t.Attr, func(a, b xml.Attr) int { return e.attributeIndex(a.Name.Local) - e.attributeIndex(b.Name.Local) })
	for _, a := range t.Attr {
		if a.Name.Space == "" && a.Name.Local != "xmlns" {
			fmt.Fprintf(&p.out, ` %s="%s"`, a.Name.Local, escape(a.Value))
		}
	}
	p.depth++
	p.tagOpen = true
}

// endElement writes an end tag, or closes the start tag of an empty element.
func (p *printer) endElement(name string) {
	p.depth--
	if p.tagOpen {
		p.out.WriteString("/>")
		p.tagOpen = false
		return
	}
	p.beginLine()
	p.out.WriteString("</" + name + ">")
}

// Diff returns the values in which two files differ, defaults included, one value per
// line. Elements of the same name are identified by their attribute "name" or "id".
func Diff(a, b *Node) []string { return diff(a.Name, a, b) }

// diff compares two elements whose path in both files is path.
func diff(path string, a, b *Node) (out []string) {
	for i, d := range a.definition.Attributes {
		before, after := a.values[i], b.values[i]
		if before.Text != after.Text {
			out = append(out, fmt.Sprintf("%s/@%s: %s to %s", path, d.Name, describe(before), describe(after)))
		}
	}
	afterNodes := childrenByKey(b)
	beforeNodes := childrenByKey(a)
	for _, key := range beforeNodes.keys {
		if o, ok := afterNodes.nodes[key]; ok {
			out = append(out, diff(path+"/"+key, beforeNodes.nodes[key], o)...)
		} else {
			out = append(out, path+"/"+key+": removed")
		}
	}
	for _, key := range afterNodes.keys {
		if beforeNodes.nodes[key] == nil {
			out = append(out, path+"/"+key+": added"+afterNodes.nodes[key].givenAttributes())
		}
	}
	return out
}

// describe returns a value for Diff, and whether it is the default.
func describe(v Value) string {
	switch {
	case v.Given:
		return fmt.Sprintf("%q", v.Text)
	case v.Text != "":
		return fmt.Sprintf("%q (default)", v.Text)
	}
	return "not given"
}

// givenAttributes returns an element's attributes as they are given in the file.
func (n *Node) givenAttributes() string {
	var b strings.Builder
	for i, d := range n.definition.Attributes {
		if n.values[i].Given {
			fmt.Fprintf(&b, " %s=%q", d.Name, n.values[i].Text)
		}
	}
	return b.String()
}

// keyedNodes holds nodes by their keys, and the keys in the order of the file.
type keyedNodes struct {
	keys  []string
	nodes map[string]*Node
}

// childrenByKey returns an element's children by their keys. A key is the child's name
// with the value of its attribute "name" or "id", and a number if that is not unique.
func childrenByKey(n *Node) keyedNodes {
	out := keyedNodes{nodes: make(map[string]*Node)}
	for _, c := range n.Children {
		key := c.Name
		for _, id := range []string{"name", "id"} {
			if i := c.definition.attributeIndex(id); i >= 0 {
				key = fmt.Sprintf("%s[%s]", c.Name, c.values[i].Text)
				break
			}
		}
		for base, i := key, 2; out.nodes[key] != nil; i++ {
			key = fmt.Sprintf("%s#%d", base, i)
		}
		out.keys = append(out.keys, key)
		out.nodes[key] = c
	}
	return out
}
