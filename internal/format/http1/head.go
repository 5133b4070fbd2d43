// Package http1 holds incremental parsers and encoders for the part of
// HTTP/1.1 that the program speaks. They do no I/O: bytes are fed in as they
// come, and whatever they hold is bounded.
package http1

import (
	"bytes"
	"errors"
	"fmt"
	"slices"
	"strconv"
	"strings"
)

// Bounds of what a parser holds.
const (
	MaxHead = 16 << 10 // start line and fields
	MaxBody = 64 << 10 // body of a request
)

// Error is a message that can't be taken, with the status that says so.
type Error struct {
	Status int
	Reason string
}

func (e *Error) Error() string { return fmt.Sprintf("%d: %s", e.Status, e.Reason) }

func bad(format string, args ...any) error {
	return &Error{Status: 400, Reason: fmt.Sprintf(format, args...)}
}

// Header holds the fields of a message, names in lower case.
type Header []Field

// Field is one field of a message.
type Field struct{ Name, Value string }

// Get returns the value of the first field of that name (in lower case).
func (h Header) Get(name string) string {
	for _, f := range h {
		if f.Name == name {
			return f.Value
		}
	}
	return ""
}

// Sole returns the value of the field of that name (in lower case), or nothing where it
// comes more than once with different values: no reader can tell which is meant.
func (h Header) Sole(name string) string {
	value, seen := "", false
	for _, f := range h {
		if f.Name != name {
			continue
		}
		if seen && f.Value != value {
			return ""
		}
		value, seen = f.Value, true
	}
	return value
}

// named tells whether there is a field of that name (in lower case).
func (h Header) named(name string) bool {
	return slices.ContainsFunc(h, func(f Field) bool { return f.Name == name })
}

// has tells whether a field that holds a list names an item.
func (h Header) has(name, item string) bool {
	for _, f := range h {
		if f.Name != name {
			continue
		}
		for _, s := range strings.Split(f.Value, ",") {
			if strings.EqualFold(strings.TrimSpace(s), item) {
				return true
			}
		}
	}
	return false
}

var errHeadTooLong = &Error{Status: 431, Reason: "the head is too long"}

// head is the start of a message: its first line, cut at blanks, and fields.
type head struct {
	start  []string
	header Header
}

// readHead takes a message's head off its bytes. It returns nil while the head
// has not ended yet.
func readHead(buf []byte) (h *head, rest []byte, err error) {
	end := bytes.Index(buf, []byte("\r\n\r\n"))
	switch {
	case end < 0 && len(buf) > MaxHead, end > MaxHead:
		return nil, buf, errHeadTooLong
	case end < 0:
		return nil, buf, nil
	}
	lines := strings.Split(string(buf[:end]), "\r\n")
	h = &head{start: strings.Split(lines[0], " ")}
	for _, line := range lines[1:] {
		name, value, ok := strings.Cut(line, ":")
		if !ok || !isToken(name) {
			return nil, buf, bad("malformed field %q", line)
		}
		value = strings.Trim(value, " \t")
		if strings.ContainsFunc(value, isControl) {
			return nil, buf, bad("malformed value of field %q", name)
		}
		h.header = append(h.header, Field{strings.ToLower(name), value})
	}
	return h, buf[end+4:], nil
}

// isControl tells a rune that no field's value may hold (RFC 9110, 5.5).
func isControl(r rune) bool { return r < ' ' && r != '\t' || r == 0x7f }

// isToken tells whether s is a token as field names and methods are.
func isToken(s string) bool {
	for i := range len(s) {
		c := s[i]
		alpha := 'a' <= c && c <= 'z' || 'A' <= c && c <= 'Z' || '0' <= c && c <= '9'
		if !alpha && !strings.ContainsRune("!#$%&'*+-.^_`|~", rune(c)) {
			return false
		}
	}
	return s != ""
}

// bodyOf makes the decoder for the body that a head announces. Where it names
// neither a length nor chunks, the body is empty or, with untilClose, lasts
// until the connection ends.
func bodyOf(h Header, untilClose bool) (body, error) {
	length, seen := int64(0), false
	chunked := false
	if h.named("content-length") && h.named("transfer-encoding") { // whichever a peer believes, the other is smuggled in
		return body{}, bad("both content-length and transfer-encoding")
	}
	for _, f := range h {
		switch f.Name {
		case "content-length":
			n, err := parseLength(f.Value)
			if err != nil || seen && n != length {
				return body{}, bad("malformed content-length")
			}
			length, seen = n, true
		case "transfer-encoding":
			if chunked || !strings.EqualFold(f.Value, "chunked") {
				return body{}, &Error{Status: 501, Reason: "transfer-encoding other than chunked"}
			}
			chunked = true
		}
	}
	for _, name := range [...]string{"transfer-encoding", "content-length", "trailer"} {
		if chunked && h.has("trailer", name) { // they must not come behind the body (RFC 9110, 6.5.1)
			return body{}, bad("trailer announces %s", name)
		}
	}
	switch {
	case chunked:
		return body{state: chunkSize}, nil
	case seen:
		return body{state: plain, left: length}, nil
	case untilClose:
		return body{state: endless}, nil
	}
	return body{state: plain}, nil
}

func parseLength(s string) (int64, error) {
	for i := range len(s) {
		if s[i] < '0' || s[i] > '9' {
			return 0, errors.New("not a length")
		}
	}
	return strconv.ParseInt(s, 10, 63)
}

type bodyState int

const (
	plain     bodyState = iota // left more bytes
	endless                    // all bytes there are
	chunkSize                  // at a line with a chunk's size
	chunkData                  // left more bytes of a chunk
	chunkEnd                   // at the line end behind a chunk
	trailer                    // at a line of the trailer
	done
)

// body decodes a message's body.
type body struct {
	state    bodyState
	left     int64
	trailing int   // bytes of trailer so far
	excess   int64 // bytes of chunk lines beyond what chunks of that size need
}

const (
	maxChunkLine = 256
	// maxExcess bounds what chunk lines and their extensions may take beyond
	// chunkCost and twice the data: a body of single bytes with an extension each
	// would cost its reader hundreds of times its length.
	maxExcess = 16 << 10
	chunkCost = 16
)

// decode passes on what it can of src to emit, and returns what it has not used.
func (b *body) decode(src []byte, emit func([]byte) error) (rest []byte, err error) {
	for {
		switch b.state {
		case plain, chunkData:
			n := min(b.left, int64(len(src)))
			if n > 0 {
				if err := emit(src[:n]); err != nil {
					return src, err
				}
			}
			src, b.left = src[n:], b.left-n
			if b.left > 0 {
				return src, nil
			}
			if b.state == plain {
				b.state = done
			} else {
				b.state = chunkEnd
			}
		case endless:
			if len(src) > 0 {
				err = emit(src)
			}
			return nil, err
		case chunkSize, chunkEnd, trailer:
			line, after, ok := bytes.Cut(src, []byte("\r\n"))
			if !ok {
				if len(src) > maxChunkLine {
					return src, bad("a line of the chunked body is too long")
				}
				return src, nil
			}
			src = after
			if err := b.line(line); err != nil {
				return src, err
			}
		case done:
			return src, nil
		}
	}
}

// line takes in a line between or behind chunks.
func (b *body) line(line []byte) error {
	switch b.state {
	case chunkEnd:
		if len(line) > 0 {
			return bad("a chunk is longer than its size")
		}
		b.state = chunkSize
	case chunkSize:
		size, extension, _ := bytes.Cut(line, []byte(";"))
		if bytes.ContainsAny(extension, "\r\n\x00") { // another reader may end the line there
			return bad("malformed chunk extension")
		}
		n, err := strconv.ParseUint(string(bytes.TrimRight(size, " \t")), 16, 31)
		if err != nil {
			return bad("malformed chunk size")
		}
		if b.excess = max(b.excess+int64(len(line))+2-chunkCost-2*int64(n), 0); b.excess > maxExcess {
			return bad("the chunked body is mostly not data")
		}
		b.left, b.state = int64(n), chunkData
		if n == 0 {
			b.state = trailer
		}
	case trailer:
		if b.trailing += len(line); b.trailing > MaxHead {
			return errHeadTooLong
		}
		if len(line) == 0 {
			b.state = done
			return nil
		}
		name, value, ok := strings.Cut(string(line), ":")
		if !ok || !isToken(name) || strings.ContainsFunc(value, isControl) {
			return bad("malformed trailer %q", line)
		}
	}
	return nil
}
