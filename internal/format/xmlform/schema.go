package xmlform

import (
	"encoding/xml"
	"fmt"
	"io"
	"strings"
)

// Schema writes the form as an XML Schema (W3C, XML Schema 1.0). The reader rejects
// everything that the schema rejects. It also rejects what the schema cannot express:
// durations out of bounds, missing required elements where others may be repeated, and
// what the package that uses the form checks itself.
func (f *Form) Schema(w io.Writer) error {
	var b strings.Builder
	b.WriteString(xml.Header)
	fmt.Fprintf(&b, "<!-- %s -->\n", f.Doc)
	fmt.Fprintf(&b, "<xs:schema xmlns:xs=\"http://www.w3.org/2001/XMLSchema\" xmlns=%q\n           targetNamespace=%q elementFormDefault=\"qualified\">\n",
		f.Namespace, f.Namespace)
	for _, name := range f.Order {
		e := f.Elements[name]
		fmt.Fprintf(&b, "  <xs:element name=%q>\n", name)
		if e.Doc != "" {
			fmt.Fprintf(&b, "    <xs:annotation><xs:documentation>%s</xs:documentation></xs:annotation>\n", escape(e.Doc))
		}
		b.WriteString("    <xs:complexType>\n")
		e.writeChildren(&b)
		for _, a := range e.Attributes {
			a.writeSchema(&b)
		}
		b.WriteString("    </xs:complexType>\n  </xs:element>\n")
	}
	b.WriteString("</xs:schema>\n")
	_, err := io.WriteString(w, b.String())
	return err
}

// writeChildren writes the children that an element may have, in any order: each at most
// once if all children are limited to one, otherwise each any number of times.
func (e Element) writeChildren(b *strings.Builder) {
	if len(e.Children) == 0 {
		return
	}
	allSingle, minChildren := true, 0
	for _, c := range e.Children {
		allSingle = allSingle && c.Max == 1
		minChildren = max(minChildren, min(c.Min, 1))
	}
	if allSingle {
		b.WriteString("      <xs:all>\n")
		for _, c := range e.Children {
			fmt.Fprintf(b, "        <xs:element ref=%q minOccurs=\"%d\"/>\n", c.Name, c.Min)
		}
		b.WriteString("      </xs:all>\n")
		return
	}
	fmt.Fprintf(b, "      <xs:choice minOccurs=\"%d\" maxOccurs=\"unbounded\">\n", minChildren)
	for _, c := range e.Children {
		fmt.Fprintf(b, "        <xs:element ref=%q/>\n", c.Name)
	}
	b.WriteString("      </xs:choice>\n")
}

// writeSchema writes an attribute.
func (a Attribute) writeSchema(b *strings.Builder) {
	fmt.Fprintf(b, "      <xs:attribute name=%q", a.Name)
	if a.Required {
		b.WriteString(` use="required"`)
	}
	if a.Default != "" {
		fmt.Fprintf(b, " default=%q", escape(a.Default))
	}
	doc := a.Doc
	if a.Unit != "" {
		doc += " (" + a.Unit + ")"
	}
	fmt.Fprintf(b, ">\n        <xs:annotation><xs:documentation>%s</xs:documentation></xs:annotation>\n", escape(doc))
	base, facets := a.facets()
	fmt.Fprintf(b, "        <xs:simpleType><xs:restriction base=%q>%s</xs:restriction></xs:simpleType>\n      </xs:attribute>\n", base, facets)
}

// facets returns the base type of an attribute in the schema and the facets that
// restrict it.
func (a Attribute) facets() (base, facets string) {
	bounded := a.Min != 0 || a.Max != 0
	bounds := func(lower, upper string) string {
		if bounded {
			lower, upper = fmt.Sprint(a.Min), fmt.Sprint(a.Max)
		}
		out := ""
		if lower != "" {
			out = fmt.Sprintf("<xs:minInclusive value=%q/>", lower)
		}
		if upper != "" {
			out += fmt.Sprintf("<xs:maxInclusive value=%q/>", upper)
		}
		return out
	}
	switch a.Kind {
	case Name:
		return "xs:string", `<xs:pattern value="\S+"/>`
	case Number:
		return "xs:unsignedInt", bounds("", "")
	case Count:
		return "xs:long", bounds("1", "")
	case Share:
		return "xs:double", `<xs:minExclusive value="0"/><xs:maxInclusive value="1"/>`
	case Factor:
		return "xs:double", bounds("0", "")
	case Duration:
		return "xs:string", `<xs:pattern value="0|([0-9]+(\.[0-9]*)?(ns|us|µs|ms|s|m|h))+"/>`
	case Choice:
		for _, v := range a.Values {
			facets += fmt.Sprintf("<xs:enumeration value=%q/>", escape(v))
		}
		return "xs:string", facets
	case Bool:
		return "xs:boolean", `<xs:pattern value="true|false"/>`
	case Address:
		return "xs:string", `<xs:pattern value="\S+:[0-9]+"/>`
	case Endpoint:
		return "xs:string", `<xs:pattern value="unix:.+|\S+:[0-9]+"/>`
	}
	return "xs:string", ""
}

// escape returns s escaped as XML text.
func escape(s string) string {
	var b strings.Builder
	_ = xml.EscapeText(&b, []byte(s)) // a write to a strings.Builder never fails
	return b.String()
}

// Explain writes an explanation of an element, or of an attribute if name is
// "element/attribute": doc text, kind, unit, default and bounds. An empty name lists
// all elements.
func (f *Form) Explain(w io.Writer, name string) error {
	if name == "" {
		for _, n := range f.Order {
			fmt.Fprintf(w, "%-14s %s\n", n, f.Elements[n].Doc)
		}
		return nil
	}
	element, attribute, oneAttribute := strings.Cut(name, "/")
	e, ok := f.Elements[element]
	if !ok {
		return fmt.Errorf("no element %q, want one of %s", element, strings.Join(f.Order, ", "))
	}
	if oneAttribute && e.attributeIndex(attribute) < 0 {
		var names []string
		for _, a := range e.Attributes {
			names = append(names, a.Name)
		}
		return fmt.Errorf("no attribute %q in %s, want one of %s", attribute, element, strings.Join(names, ", "))
	}
	if !oneAttribute {
		fmt.Fprintf(w, "%s: %s\n", element, e.Doc)
	}
	for _, a := range e.Attributes {
		if oneAttribute && a.Name != attribute {
			continue
		}
		fmt.Fprintf(w, "  %s: %s\n    %s", a.Name, a.Doc, a.wanted())
		if a.Unit != "" {
			fmt.Fprintf(w, ", in %s", a.Unit)
		}
		switch {
		case a.Required:
			fmt.Fprint(w, "; must be given")
		case a.Default != "":
			fmt.Fprintf(w, "; %s where it is not given", a.Default)
		}
		fmt.Fprintln(w)
	}
	if !oneAttribute && len(e.Children) > 0 {
		fmt.Fprintf(w, "  holds: %s\n", strings.Join(e.childNames(), ", "))
	}
	return nil
}
