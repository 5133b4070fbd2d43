// Package catalog parses the member lists that discovery sends. It does no I/O. Package discovery decides which entries
// of a list to trust.
package catalog

import (
	"encoding/json"
	"errors"
	"fmt"
	"slices"
	"strings"
	"time"
)

// Phase is the state of a searcher in a member list.
type Phase string

// The phases of a searcher. Gone occurs only in changes.
const (
	Ready       Phase = "Ready"
	Terminating Phase = "Terminating"
	Gone        Phase = "Gone"
)

// Member is one searcher of a member list.
type Member struct {
	ID        string  `json:"id"`
	HostPort  string  `json:"host_port"`
	Locality  string  `json:"locality"`
	Flavor    string  `json:"flavor"`
	Cell      int     `json:"cell"`
	Phase     Phase   `json:"phase"`
	Size      float64 `json:"size"`
	UpSinceMS int64   `json:"up_since_ms"`
}

// Started returns the time at which the searcher last started. The zero time means that it
// started long ago.
func (m Member) Started() time.Time {
	if m.UpSinceMS == 0 {
		return time.Time{}
	}
	return time.UnixMilli(m.UpSinceMS)
}

// Update is a whole member list or, if it is not Complete, changes to one.
type Update struct {
	Revision int64    `json:"revision"`
	Complete bool     `json:"complete"`
	Members  []Member `json:"members"`

	Duplicates int `json:"-"` // number of members left out because another one has the same ID
}

// Validate returns an error that describes the first invalid member of an update, or nil.
func (u Update) Validate() error {
	for i, m := range u.Members {
		switch {
		case m.ID == "":
			return fmt.Errorf("members[%d]: id is missing", i)
		case m.Phase != Ready && m.Phase != Terminating && m.Phase != Gone:
			return fmt.Errorf("members[%d]: unknown phase %.80q of %.80q, want %s, %s or %s", i, m.Phase, m.ID, Ready, Terminating, Gone)
		case m.HostPort == "" && m.Phase == Ready:
			return fmt.Errorf("members[%d]: host_port of %.80q is missing, want address:port", i, m.ID)
		}
	}
	return nil
}

// Leaving returns changes that hold only the members to which nothing new may be sent. They
// may be applied even if the rest of the update is invalid: they can only stop sends to a
// searcher.
func (u Update) Leaving() Update {
	u.Complete = false
	u.Members = slices.DeleteFunc(slices.Clone(u.Members), func(m Member) bool {
		return m.ID == "" || m.Phase != Terminating && m.Phase != Gone
	})
	return u
}

// RemoveDuplicates removes duplicate members from an update. When two entries with the same ID differ,
// neither is more credible, so it keeps the one by which nothing may be sent to the searcher, or else the
// one that started later.
func (u *Update) RemoveDuplicates() {
	indexes := make(map[string]int, len(u.Members))
	members := u.Members[:0]
	for _, m := range u.Members {
		i, duplicate := indexes[m.ID]
		if !duplicate {
			indexes[m.ID] = len(members)
			members = append(members, m)
			continue
		}
		u.Duplicates++
		if previous := members[i]; previous.Phase == Ready && (m.Phase != Ready || m.UpSinceMS > previous.UpSinceMS) {
			members[i] = m
		}
	}
	u.Members = members
}

// Parse parses one update. If it returns an error, nothing but the result of Leaving may be used
// of the update.
func Parse(text []byte) (Update, error) {
	var u Update
	if err := json.Unmarshal(text, &u); err != nil {
		return Update{}, fmt.Errorf("catalog: %w in %.80q", err, text)
	}
	err := u.Validate()
	if u.RemoveDuplicates(); err != nil {
		return u, fmt.Errorf("catalog: %w", err)
	}
	return u, nil
}

// MaxObjectSize is the default for ObjectSplitter.MaxSize in bytes: four times the size of an indented
// list of 1,024 searchers with long names.
const MaxObjectSize = 4 << 20

// ErrTooLong is returned for an object that exceeds the size limit.
var ErrTooLong = errors.New("catalog: the object is too long")

// ObjectSplitter splits the data of a watch into JSON objects, however the data is split into reads
// and indented. The zero value is ready to use.
type ObjectSplitter struct {
	MaxSize  int    // largest size of an object in bytes; 0 means MaxObjectSize
	buf      []byte // the start of an incomplete object
	depth    int    // of nested objects and arrays
	inString bool   // inside a string
	escaped  bool   // after a backslash in a string
}

// InObject reports whether an object has begun and not ended.
func (o *ObjectSplitter) InObject() bool { return o.depth > 0 }

// Feed adds bytes and passes each complete object to emit, which must not retain it. Only
// white space is allowed between objects.
func (o *ObjectSplitter) Feed(b []byte, emit func([]byte) error) error {
	maxSize := o.MaxSize
	if maxSize == 0 {
		maxSize = MaxObjectSize
	}
	start := 0 // index in b at which the current object, or the rest of it, starts
	for i, c := range b {
		switch {
		case o.escaped:
			o.escaped = false
		case o.inString:
			o.escaped, o.inString = c == '\\', c != '"'
		case o.depth == 0 && strings.IndexByte(" \t\r\n", c) >= 0:
		case o.depth == 0 && c != '{':
			return fmt.Errorf("catalog: %q between objects, want white space or an object", c)
		case c == '"':
			o.inString = true
		case c == '{', c == '[':
			if o.depth == 0 {
				start = i
			}
			o.depth++
		case c == '}', c == ']':
			if o.depth--; o.depth > 0 {
				break
			}
			text := b[start : i+1]
			if len(o.buf) > 0 {
				text = append(o.buf, text...)
			}
			o.buf = nil // frees the memory: changes do not need a buffer of the size of a whole list
			if len(text) > maxSize {
				return fmt.Errorf("%w: %d bytes, want %d at most", ErrTooLong, len(text), maxSize)
			}
			if err := emit(text); err != nil {
				return err
			}
		}
	}
	if o.depth > 0 {
		if o.buf = append(o.buf, b[start:]...); len(o.buf) > maxSize {
			return fmt.Errorf("%w: more than %d bytes and still incomplete", ErrTooLong, maxSize)
		}
	}
	return nil
}
