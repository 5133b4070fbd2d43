// Package http1 provides incremental parsers and encoders for the subset of
// HTTP/1.1 that the program uses. They do no I/O: bytes are fed in as they
// arrive, and the amount of data that a parser holds is bounded.
package http1

import (
	"bytes"
	"errors"
	"fmt"
	"slices"
	"strconv"
	"strings"
)

// Limits of what a parser holds.
const (
	MaxHead   = 16 << 10 // bytes of the start line and the header fields
	MaxFields = 100      // header fields: each takes far more memory than its shortest form has bytes
	MaxBody   = 64 << 10 // bytes of the body of a request
)

// Error reports that a message was rejected. Status is the status code of the response to it.
type Error struct {
	Status int
	Reason string
}

func (e *Error) Error() string { return fmt.Sprintf("%d: %s", e.Status, e.Reason) }

// badMessage returns an Error with status 400.
func badMessage(format string, args ...any) error {
	return &Error{Status: 400, Reason: fmt.Sprintf(format, args...)}
}

// Header holds the header fields of a message, with their names in lower case.
type Header []Field

// Field is one header field.
type Field struct{ Name, Value string }

// Get returns the value of the first field with the given name (in lower case), or "".
func (h Header) Get(name string) string {
	for _, f := range h {
		if f.Name == name {
			return f.Value
		}
	}
	return ""
}

// Unambiguous returns the value of the field with the given name (in lower case). It returns ""
// if the field occurs more than once with different values, because it is not clear which
// one applies.
func (h Header) Unambiguous(name string) string {
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

// hasField reports whether there is a field with the given name (in lower case).
func (h Header) hasField(name string) bool {
	return slices.ContainsFunc(h, func(f Field) bool { return f.Name == name })
}

// listContains reports whether a field whose value is a comma-separated list contains the
// item. Upper and lower case are not distinguished.
func (h Header) listContains(name, item string) bool {
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

var errTooManyFields = &Error{Status: 431, Reason: "the head has too many fields"}

// head is the start of a message: its start line, split at spaces, and its header fields.
type head struct {
	startLine []string
	header    Header
}

const (
	lineEnd = "\r\n"
	headEnd = lineEnd + lineEnd
)

// usualFields is the number of header fields for which there is room at first.
const usualFields = 12

// readHead parses the head of a message and returns the bytes after it. It returns a nil
// head while the head is incomplete. The bytes before the offset searched hold no end of a head.
func readHead(buf []byte, searched int) (h *head, rest []byte, err error) {
	from := max(searched-len(headEnd)+1, 0)
	end := bytes.Index(buf[from:], []byte(headEnd))
	if end >= 0 {
		end += from
	}
	switch {
	case end < 0 && len(buf) > MaxHead, end > MaxHead:
		return nil, buf, errHeadTooLong
	case end < 0:
		return nil, buf, nil
	}
	text := string(buf[:end])
	startLine, lines, _ := strings.Cut(text, lineEnd)
	if strings.Count(lines, lineEnd) >= MaxFields {
		return nil, buf, errTooManyFields
	}
	h = &head{startLine: strings.SplitN(startLine, " ", 4)}
	if len(text) > len(startLine) { // the start line does not end the head
		if h.header, err = parseFields(lines); err != nil {
			return nil, buf, err
		}
	}
	return h, buf[end+len(headEnd):], nil
}

// parseFields parses the lines of header fields.
func parseFields(lines string) (Header, error) {
	header := make(Header, 0, usualFields)
	for more := true; more; {
		var line string
		line, lines, more = strings.Cut(lines, lineEnd)
		name, value, ok := strings.Cut(line, ":")
		if !ok || !isToken(name) {
			return nil, badMessage("malformed field %.*q", quotedLength, line)
		}
		value = strings.Trim(value, " \t")
		if strings.ContainsFunc(value, isControl) {
			return nil, badMessage("malformed value of field %.*q", quotedLength, name)
		}
		header = append(header, Field{lowerName(name), value})
	}
	return header, nil
}

// quotedLength bounds what an error quotes of a message, in characters.
const quotedLength = 60

// knownNames are the names of fields that most messages have. They need no memory of their own.
var knownNames = [...]string{
	"host", "content-length", "x-trace-id", "x-qos", "x-expires-in-ms", "idempotency-key", "cookie", "x-customer", "x-second-try",
	"connection", "transfer-encoding", "content-type", "user-agent", "accept", "accept-encoding", "expect", "trailer",
}

// lowerName returns the name of a field in lower case.
func lowerName(name string) string {
	for _, known := range knownNames {
		if len(known) == len(name) && strings.EqualFold(known, name) {
			return known
		}
	}
	return strings.ToLower(name)
}

// isControl reports whether a rune is a control character, which field values must not
// contain (RFC 9110, 5.5).
func isControl(r rune) bool { return r < ' ' && r != '\t' || r == 0x7f }

// tokenBytes are the bytes that a token may hold.
var tokenBytes = func() (allowed [256]bool) {
	const letters = "abcdefghijklmnopqrstuvwxyz"
	for _, c := range letters + strings.ToUpper(letters) + "0123456789!#$%&'*+-.^_`|~" {
		allowed[c] = true
	}
	return allowed
}()

// isToken reports whether s is a token, the form of field names and methods.
func isToken(s string) bool {
	for i := range len(s) {
		if !tokenBytes[s[i]] {
			return false
		}
	}
	return s != ""
}

// newBodyDecoder returns the decoder for the body that a head announces. If the head
// gives neither a length nor chunked coding, the body is empty or, with endsAtClose, lasts
// until the connection closes.
func newBodyDecoder(h Header, endsAtClose bool) (bodyDecoder, error) {
	length, seen := int64(0), false
	chunked := false
	if h.hasField("content-length") && h.hasField("transfer-encoding") { // request smuggling: implementations disagree on which one counts
		return bodyDecoder{}, badMessage("both content-length and transfer-encoding")
	}
	for _, f := range h {
		switch f.Name {
		case "content-length":
			n, err := parseLength(f.Value)
			if err != nil || seen && n != length {
				return bodyDecoder{}, badMessage("malformed content-length")
			}
			length, seen = n, true
		case "transfer-encoding":
			if chunked || !strings.EqualFold(f.Value, "chunked") {
				return bodyDecoder{}, &Error{Status: 501, Reason: "transfer-encoding other than chunked"}
			}
			chunked = true
		}
	}
	for _, name := range [...]string{"transfer-encoding", "content-length", "trailer"} {
		if chunked && h.listContains("trailer", name) { // must not be sent in a trailer (RFC 9110, 6.5.1)
			return bodyDecoder{}, badMessage("trailer announces %s", name)
		}
	}
	switch {
	case chunked:
		return bodyDecoder{state: chunkSize}, nil
	case seen:
		return bodyDecoder{state: fixedLength, remaining: length}, nil
	case endsAtClose:
		return bodyDecoder{state: untilClosed}, nil
	}
	return bodyDecoder{state: fixedLength}, nil
}

// parseLength parses a content-length: digits only, without a sign.
func parseLength(s string) (int64, error) {
	for i := range len(s) {
		if s[i] < '0' || s[i] > '9' {
			return 0, errors.New("not a length")
		}
	}
	return strconv.ParseInt(s, 10, 63)
}

// bodyState is what a bodyDecoder reads next.
type bodyState int

const (
	fixedLength bodyState = iota // the remaining bytes of the body
	untilClosed                  // all bytes until the connection closes
	chunkSize                    // a line with the size of a chunk
	chunkData                    // the remaining bytes of a chunk
	chunkEnd                     // the line end after a chunk
	trailer                      // a line of the trailer
	done                         // nothing: the body has ended
)

// bodyDecoder decodes the body of a message.
type bodyDecoder struct {
	state        bodyState
	remaining    int64 // bytes of the body or chunk
	trailerBytes int   // bytes of trailer received so far
	overhead     int64 // bytes of chunk lines beyond the allowance, see maxOverhead
}

const (
	maxChunkLine = 256
	// maxOverhead bounds the bytes of chunk lines, extensions included, beyond an allowance:
	// freeOverhead plus twice the size of the data for each chunk. Without it, a body of
	// one-byte chunks, each with an extension, would cost its reader hundreds of times its
	// length.
	maxOverhead  = 16 << 10
	freeOverhead = 16
)

// decode passes the decoded part of src to emit, and returns the bytes that it has not
// consumed.
func (b *bodyDecoder) decode(src []byte, emit func([]byte) error) (rest []byte, err error) {
	for {
		switch b.state {
		case fixedLength, chunkData:
			n := min(b.remaining, int64(len(src)))
			if n > 0 {
				if err := emit(src[:n]); err != nil {
					return src, err
				}
			}
			src, b.remaining = src[n:], b.remaining-n
			if b.remaining > 0 {
				return src, nil
			}
			if b.state == fixedLength {
				b.state = done
			} else {
				b.state = chunkEnd
			}
		case untilClosed:
			if len(src) > 0 {
				err = emit(src)
			}
			return nil, err
		case chunkSize, chunkEnd, trailer:
			line, after, ok := bytes.Cut(src, []byte("\r\n"))
			if !ok {
				if len(src) > maxChunkLine {
					return src, badMessage("a line of the chunked body is too long")
				}
				return src, nil
			}
			src = after
			if err := b.decodeLine(line); err != nil {
				return src, err
			}
		case done:
			return src, nil
		}
	}
}

// decodeLine handles a line between or after chunks.
func (b *bodyDecoder) decodeLine(line []byte) error {
	switch b.state {
	case chunkEnd:
		if len(line) > 0 {
			return badMessage("a chunk is longer than its size")
		}
		b.state = chunkSize
	case chunkSize:
		size, extension, _ := bytes.Cut(line, []byte(";"))
		if bytes.ContainsAny(extension, "\r\n\x00") { // another parser may end the line there
			return badMessage("malformed chunk extension")
		}
		n, err := strconv.ParseUint(string(bytes.TrimRight(size, " \t")), 16, 31)
		if err != nil {
			return badMessage("malformed chunk size")
		}
		if b.overhead = max(b.overhead+int64(len(line))+2-freeOverhead-2*int64(n), 0); b.overhead > maxOverhead {
			return badMessage("the lines between chunks are too long for the data in the chunks")
		}
		b.remaining, b.state = int64(n), chunkData
		if n == 0 {
			b.state = trailer
		}
	case trailer:
		if b.trailerBytes += len(line); b.trailerBytes > MaxHead {
			return errHeadTooLong
		}
		if len(line) == 0 {
			b.state = done
			return nil
		}
		name, value, ok := strings.Cut(string(line), ":")
		if !ok || !isToken(name) || strings.ContainsFunc(value, isControl) {
			return badMessage("malformed trailer %.*q", quotedLength, line)
		}
	}
	return nil
}
