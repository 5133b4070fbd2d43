// Package xmlform reads, formats, compares and documents XML files whose form is given by
// a table: the elements, the attributes of each, and their kinds, defaults, bounds and doc
// texts. The reader, the schemas under deploy/ and the explanations for operators are all
// derived from that one table.
//
// All faults of a file are reported together, each with its line, its element, what
// was found and what is wanted. The package opens no files of its own.
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

// Kind is the type of an attribute's value.
type Kind uint8

// Kinds of values.
const (
	Text     Kind = iota // any text
	Name                 // a non-empty text without blanks
	Number               // an integer from 0 to 2^32-1, or within Min and Max
	Count                // an integer from 1 to 2^63-1, or within Min and Max
	Share                // above 0, at most 1
	Factor               // a number within Min and Max
	Duration             // a duration with its unit: 250ms, 30s, 1m30s
	Choice               // one of Values
	Bool                 // true or false
	Address              // a numeric address and a port
	Endpoint             // unix:PATH, or a loopback address and a port
	kindCount
)

// Attribute is an attribute that an element may or must carry.
type Attribute struct {
	Name     string
	Kind     Kind
	Required bool
	Default  string   // as written in a file; empty means that there is none
	Values   []string // of a Choice
	// Min and Max bound numbers, and durations in seconds. If both are 0, the bounds
	// of the kind apply.
	Min, Max float64
	Unit     string // unit of a number, shown to operators
	Doc      string // explanation, shown to operators
}

// Child is an element that may occur in another one.
type Child struct {
	Name string
	Min  int // least number of occurrences
	Max  int // greatest number of occurrences; 0 means no limit
}

// Element describes an element by the attributes and children that it may have.
type Element struct {
	Attributes []Attribute
	Children   []Child
	Doc        string
}

// Form describes one kind of file.
type Form struct {
	Namespace string
	Root      string
	Depth     int // greatest nesting depth of elements
	Doc       string
	Order     []string // order of the elements in the schema
	Elements  map[string]Element
}

// Value is an attribute's value: its text, and the field that fits the attribute's kind.
type Value struct {
	Given    bool // it was given in the file; otherwise the default applies
	Text     string
	Number   uint64
	Float    float64
	Duration time.Duration
	Bool     bool
}

// wanted returns a description of the valid values for messages.
func (a Attribute) wanted() string {
	bounds := func(lower, upper string) string {
		if a.Min == 0 && a.Max == 0 {
			return fmt.Sprintf("from %s to %s", lower, upper)
		}
		return fmt.Sprintf("from %v to %v", a.Min, a.Max)
	}
	switch a.Kind {
	case Name:
		return "a name without blanks"
	case Number:
		return "a number " + bounds("0", "4294967295")
	case Count:
		if a.Min == 0 && a.Max == 0 {
			return "a number of at least 1"
		}
		return "a number " + bounds("", "")
	case Share:
		return "a share above 0 and at most 1"
	case Factor:
		return "a number " + bounds("0", "any")
	case Duration:
		return "a time with its unit, such as 250ms" + a.durationBounds()
	case Choice:
		if n := len(a.Values); n > 1 {
			return strings.Join(a.Values[:n-1], ", ") + " or " + a.Values[n-1]
		}
		return strings.Join(a.Values, "")
	case Bool:
		return "true or false"
	case Address:
		return "a numeric address and a port, such as 127.0.0.1:7070"
	case Endpoint:
		return "unix:PATH with a path of at most 100 bytes, or a loopback address and a port"
	}
	return "text"
}

// durationBounds returns the bounds of a duration for messages.
func (a Attribute) durationBounds() string {
	if a.Min == 0 && a.Max == 0 {
		return ""
	}
	return fmt.Sprintf(", from %v to %v", seconds(a.Min), seconds(a.Max))
}

// seconds converts a number of seconds to a duration.
func seconds(s float64) time.Duration { return time.Duration(math.Round(s * 1e9)) }

// read parses a value and reports whether it is of the attribute's kind and within
// its bounds.
func (a Attribute) read(s string) (v Value, ok bool) {
	v.Text = s
	bounded := a.Min != 0 || a.Max != 0
	within := func(x float64) bool { return !bounded || x >= a.Min && x <= a.Max }
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
	case Duration:
		v.Duration, err = time.ParseDuration(s)
		return v, err == nil && v.Duration >= 0 && strings.IndexFunc(s, isNotDurationRune) < 0 && within(v.Duration.Seconds())
	case Choice:
		return v, slices.Contains(a.Values, s)
	case Bool:
		v.Bool = s == "true"
		return v, v.Bool || s == "false"
	case Address:
		return v, parseNumericAddress(s) != nil
	case Endpoint:
		if path, ok := strings.CutPrefix(s, "unix:"); ok {
			return v, path != "" && len(path) <= maxSocketPath
		}
		ip := parseNumericAddress(s)
		return v, ip != nil && ip.IsLoopback()
	}
	return v, true
}

// maxSocketPath bounds the path of a Unix socket in bytes. The kernel accepts up to
// 107 bytes.
const maxSocketPath = 100

// parseNumericAddress returns the IP address of a numeric address and port, or nil if
// s is not one.
func parseNumericAddress(s string) net.IP {
	host, port, err := net.SplitHostPort(s)
	if err != nil {
		return nil
	}
	if _, err := strconv.ParseUint(port, 10, 16); err != nil {
		return nil
	}
	return net.ParseIP(host)
}

// isNotDurationRune reports whether r is not allowed in a duration. As in the schema,
// digits, dots and the letters of units are allowed, but no sign.
func isNotDurationRune(r rune) bool { return !strings.ContainsRune("0123456789.nuµmsh", r) }

// attributeIndex returns the index of the attribute with a name, or -1 if there is
// none.
func (e Element) attributeIndex(name string) int {
	return slices.IndexFunc(e.Attributes, func(a Attribute) bool { return a.Name == name })
}

// Check returns an error if the form itself is invalid: unknown children, attributes
// without a doc text, defaults that are not valid values, or elements that are missing
// in Order.
func (f *Form) Check() error {
	for name, e := range f.Elements {
		if !slices.Contains(f.Order, name) {
			return fmt.Errorf("element %s is missing in Order", name)
		}
		for _, c := range e.Children {
			if _, ok := f.Elements[c.Name]; !ok {
				return fmt.Errorf("%s: unknown child %s", name, c.Name)
			}
		}
		for _, a := range e.Attributes {
			if a.Doc == "" {
				return fmt.Errorf("%s: attribute %s has no doc text", name, a.Name)
			}
			if a.Default == "" {
				continue
			}
			if _, ok := a.read(a.Default); !ok || a.Required {
				return fmt.Errorf("%s: attribute %s has the invalid default %q", name, a.Name, a.Default)
			}
		}
	}
	if len(f.Order) != len(f.Elements) {
		return fmt.Errorf("found %d elements, but %d in Order", len(f.Elements), len(f.Order))
	}
	return nil
}
