// Package xmlform reads XML files whose form is a table: which elements there
// are, which attributes each carries, of what kind, with which default and
// bounds, and what it is for. All that is said of a form comes from that one
// table: the reader, the schema under deploy/, and the explanations for people.
//
// All faults of a file are told in one go, each with its line, its element, what
// was found and what is wanted. The package does no I/O of its own.
package xmlform

import (
	"fmt"
	"math"
	"net"
	"slices"
	"strconv"
	"strings"
	"time"
)

// Kind is how an attribute's value is read.
type Kind uint8

// The kinds of values.
const (
	Text     Kind = iota // any text
	Name                 // not empty, no blanks
	Number               // a whole number from 0 to 2^32-1, or within Least and Most
	Count                // a whole number from 1 to 2^63-1, or within Least and Most
	Share                // above 0, at most 1
	Factor               // a number within Least and Most
	Span                 // a time with its unit: 250ms, 30s, 1m30s
	Choice               // one of Values
	Flag                 // true or false
	Address              // a numeric address and a port
	Endpoint             // unix:PATH, or a loopback address and a port
	kinds
)

// Attribute is what an element may or must carry.
type Attribute struct {
	Name     string
	Kind     Kind
	Required bool
	Default  string   // in the form of a file; empty means that there is none
	Values   []string // of a Choice
	// Least and Most bound numbers, and times in seconds. Both 0: the kind's own bounds.
	Least, Most float64
	Unit        string // of a number, for people
	Doc         string // what it means
}

// Child is an element that may stand in another.
type Child struct {
	Name  string
	Least int
	Most  int // 0: any number
}

// Element is what may stand in a file.
type Element struct {
	Attributes []Attribute
	Children   []Child
	Doc        string
}

// Form is the form of a kind of file.
type Form struct {
	Namespace string
	Root      string
	Depth     int // how deep elements lie in each other at the most
	Doc       string
	Order     []string // of the elements in the schema
	Elements  map[string]Element
}

// Value is an attribute's value.
type Value struct {
	Given  bool // it stands in the file; else it is the default
	Text   string
	Number uint64
	Float  float64
	Span   time.Duration
	Flag   bool
}

// wanted says what a value must be, for people.
func (a Attribute) wanted() string {
	bound := func(least, most string) string {
		if a.Least == 0 && a.Most == 0 {
			return fmt.Sprintf("from %s to %s", least, most)
		}
		return fmt.Sprintf("from %v to %v", a.Least, a.Most)
	}
	switch a.Kind {
	case Name:
		return "a name without blanks"
	case Number:
		return "a number " + bound("0", "4294967295")
	case Count:
		if a.Least == 0 && a.Most == 0 {
			return "a number from 1 on"
		}
		return "a number " + bound("", "")
	case Share:
		return "a share above 0 and at most 1"
	case Factor:
		return "a number " + bound("0", "any")
	case Span:
		return "a time with its unit, such as 250ms" + a.spans()
	case Choice:
		if n := len(a.Values); n > 1 {
			return strings.Join(a.Values[:n-1], ", ") + " or " + a.Values[n-1]
		}
		return strings.Join(a.Values, "")
	case Flag:
		return "true or false"
	case Address:
		return "a numeric address and a port, such as 127.0.0.1:7070"
	case Endpoint:
		return "unix:PATH with a path of at most 100 bytes, or a loopback address and a port"
	}
	return "text"
}

// spans are the bounds of a time.
func (a Attribute) spans() string {
	if a.Least == 0 && a.Most == 0 {
		return ""
	}
	return fmt.Sprintf(", from %v to %v", seconds(a.Least), seconds(a.Most))
}

func seconds(s float64) time.Duration { return time.Duration(math.Round(s * 1e9)) }

// read reads a value, and tells whether it is of the kind and within the bounds.
func (a Attribute) read(s string) (v Value, ok bool) {
	v.Text = s
	bounded := a.Least != 0 || a.Most != 0
	within := func(x float64) bool { return !bounded || x >= a.Least && x <= a.Most }
	var err error
	switch a.Kind {
	case Name:
		return v, s != "" && !strings.ContainsAny(s, " \t\r\n")
	case Number:
		v.Number, err = strconv.ParseUint(s, 10, 32)
		return v, err == nil && within(float64(v.Number))
	case Count:
		v.Number, err = strconv.ParseUint(s, 10, 63)
		return v, err == nil && v.Number > 0 && within(float64(v.Number))
	case Share:
		v.Float, err = strconv.ParseFloat(s, 64)
		return v, err == nil && v.Float > 0 && v.Float <= 1
	case Factor:
		v.Float, err = strconv.ParseFloat(s, 64)
		return v, err == nil && v.Float >= 0 && !math.IsInf(v.Float, 0) && within(v.Float)
	case Span:
		v.Span, err = time.ParseDuration(s)
		return v, err == nil && v.Span >= 0 && strings.IndexFunc(s, notSpan) < 0 && within(v.Span.Seconds())
	case Choice:
		return v, slices.Contains(a.Values, s)
	case Flag:
		v.Flag = s == "true"
		return v, v.Flag || s == "false"
	case Address:
		return v, numeric(s) != nil
	case Endpoint:
		if path, ok := strings.CutPrefix(s, "unix:"); ok {
			return v, path != "" && len(path) <= mostPath
		}
		ip := numeric(s)
		return v, ip != nil && ip.IsLoopback()
	}
	return v, true
}

// mostPath bounds a socket's path: the kernel takes 107 bytes.
const mostPath = 100

// numeric is the address of a numeric address and a port; nil if it is none.
func numeric(s string) net.IP {
	host, port, err := net.SplitHostPort(s)
	if err != nil {
		return nil
	}
	if _, err := strconv.ParseUint(port, 10, 16); err != nil {
		return nil
	}
	return net.ParseIP(host)
}

// notSpan tells a rune that the schema does not allow in a time: it knows digits,
// a dot and units, but no sign.
func notSpan(r rune) bool { return !strings.ContainsRune("0123456789.nuµmsh", r) }

// attribute finds an attribute by name.
func (e Element) attribute(name string) int {
	return slices.IndexFunc(e.Attributes, func(a Attribute) bool { return a.Name == name })
}

// Check tells what is wrong with a form itself: unknown children, defaults that
// could not be read, elements that nothing reaches.
func (f *Form) Check() error {
	for name, e := range f.Elements {
		if !slices.Contains(f.Order, name) {
			return fmt.Errorf("element %s is not in the order", name)
		}
		for _, c := range e.Children {
			if _, ok := f.Elements[c.Name]; !ok {
				return fmt.Errorf("%s: unknown child %s", name, c.Name)
			}
		}
		for _, a := range e.Attributes {
			if a.Doc == "" {
				return fmt.Errorf("%s: attribute %s is not explained", name, a.Name)
			}
			if a.Default == "" {
				continue
			}
			if _, ok := a.read(a.Default); !ok || a.Required {
				return fmt.Errorf("%s: attribute %s has the default %q, which it can't have", name, a.Name, a.Default)
			}
		}
	}
	if len(f.Order) != len(f.Elements) {
		return fmt.Errorf("%d elements, %d in the order", len(f.Elements), len(f.Order))
	}
	return nil
}
