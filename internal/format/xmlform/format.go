package xmlform

import (
	"encoding/xml"
	"fmt"
	"io"
	"slices"
	"strings"
)

// Format writes a file in its one form: one element a line, two blanks for each
// level, attributes in the order of the form, comments where they were. What it
// writes it writes the same again. A file with faults is not formatted.
func (f *Form) Format(name string, text []byte, w io.Writer) error {
	faults := &Faults{File: name}
	if f.Read(strings.NewReader(string(text)), faults); faults.Count() > 0 {
		return faults.Err()
	}
	d := xml.NewDecoder(strings.NewReader(string(text)))
	p := &printer{form: f}
	p.b.WriteString(xml.Header)
	for {
		t, err := d.Token()
		if err == io.EOF {
			break
		}
		if err != nil { // can't be: it was read above
			return fmt.Errorf("%s: %w", name, err)
		}
		switch t := t.(type) {
		case xml.StartElement:
			p.start(t)
		case xml.EndElement:
			p.end(t.Name.Local)
		case xml.Comment:
			p.line()
			p.comment(string(t))
		}
	}
	p.b.WriteString("\n")
	_, err := io.WriteString(w, p.b.String())
	return err
}

// printer writes one file.
type printer struct {
	form  *Form
	b     strings.Builder
	depth int
	open  bool // the last start tag has no end yet
	begun bool
}

// line begins a line, and ends an open start tag.
func (p *printer) line() {
	if p.open {
		p.b.WriteString(">")
		p.open = false
	}
	if p.begun {
		p.b.WriteString("\n")
	}
	p.begun = true
	p.b.WriteString(strings.Repeat("  ", p.depth))
}

// comment writes a comment; each of its further lines is as deep as it is written.
func (p *printer) comment(text string) {
	lines := strings.Split(text, "\n")
	for i, s := range lines {
		s = strings.TrimRight(s, " \t\r")
		if i > 0 {
			p.b.WriteString("\n")
		} else {
			p.b.WriteString("<!--")
		}
		p.b.WriteString(s)
	}
	if last := lines[len(lines)-1]; strings.HasSuffix(last, " ") && strings.TrimSpace(last) != "" {
		p.b.WriteString(" ")
	}
	p.b.WriteString("-->")
}

func (p *printer) start(t xml.StartElement) {
	p.line()
	p.b.WriteString("<" + t.Name.Local)
	if p.depth == 0 {
		fmt.Fprintf(&p.b, ` xmlns="%s"`, escape(p.form.Namespace))
	}
	e := p.form.Elements[t.Name.Local]
	slices.SortStableFunc(t.Attr, func(a, b xml.Attr) int { return e.attribute(a.Name.Local) - e.attribute(b.Name.Local) })
	for _, a := range t.Attr {
		if a.Name.Space == "" && a.Name.Local != "xmlns" {
			fmt.Fprintf(&p.b, ` %s="%s"`, a.Name.Local, escape(a.Value))
		}
	}
	p.depth++
	p.open = true
}

func (p *printer) end(name string) {
	p.depth--
	if p.open {
		p.b.WriteString("/>")
		p.open = false
		return
	}
	p.line()
	p.b.WriteString("</" + name + ">")
}

// Diff says in which values two files differ, defaults included, one a line.
// Elements of one name are told apart by their attribute "name" or "id".
func Diff(a, b *Node) []string { return diff(a.Name, a, b) }

func diff(path string, a, b *Node) (out []string) {
	for i, d := range a.def.Attributes {
		have, want := a.values[i], b.values[i]
		if have.Text != want.Text {
			out = append(out, fmt.Sprintf("%s/@%s: %s to %s", path, d.Name, shown(have), shown(want)))
		}
	}
	others := keyed(b)
	mine := keyed(a)
	for _, key := range mine.keys {
		if o, ok := others.nodes[key]; ok {
			out = append(out, diff(path+"/"+key, mine.nodes[key], o)...)
		} else {
			out = append(out, path+"/"+key+": taken out")
		}
	}
	for _, key := range others.keys {
		if mine.nodes[key] == nil {
			out = append(out, path+"/"+key+": added"+others.nodes[key].given())
		}
	}
	return out
}

func shown(v Value) string {
	switch {
	case v.Given:
		return fmt.Sprintf("%q", v.Text)
	case v.Text != "":
		return fmt.Sprintf("%q by default", v.Text)
	}
	return "not given"
}

// given are an element's attributes as they stand in the file.
func (n *Node) given() string {
	var b strings.Builder
	for i, d := range n.def.Attributes {
		if n.values[i].Given {
			fmt.Fprintf(&b, " %s=%q", d.Name, n.values[i].Text)
		}
	}
	return b.String()
}

type keyedNodes struct {
	keys  []string
	nodes map[string]*Node
}

// keyed are an element's children by what tells them apart.
func keyed(n *Node) keyedNodes {
	out := keyedNodes{nodes: make(map[string]*Node)}
	for _, c := range n.Children {
		key := c.Name
		for _, id := range []string{"name", "id"} {
			if i := c.def.attribute(id); i >= 0 {
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
