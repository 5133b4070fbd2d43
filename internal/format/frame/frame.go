// Package frame provides an incremental parser and encoders for the frames that
// gatherers and searchers exchange. A frame is a length (4 bytes, big-endian), a letter
// that gives its type, and a payload; the length counts the letter and the payload. The
// package does no I/O.
package frame

import (
	"bytes"
	"encoding/binary"
	"errors"
	"fmt"
	"strconv"
	"strings"
	"time"
	"unicode/utf8"
)

// The letters that give the type of a frame.
const (
	Call   = 'q' // from a gatherer: the parts of one call
	Cancel = 'c' // from a gatherer: the ID of a part to cancel
	Probe  = 'p' // in both directions
	Load   = 'l' // in both directions
	Answer = 'a' // from a searcher: the answer to one part
	Error  = 'e' // from a searcher: the preceding frame could not be used
)

// searcherLetters holds the letters of the frames that a searcher sends.
const searcherLetters = string(Answer) + string(Error) + string(Probe) + string(Load)

// MaxLength is the largest valid length of a frame. A value longer than the largest
// body (64 KiB) cannot be passed on, and the line before the value is short.
const MaxLength = 68 << 10

// retainedCapacity is the largest buffer, in bytes, that an empty parser keeps.
const retainedCapacity = 4 << 10

// lengthSize is the size of the length at the start of a frame, in bytes.
const lengthSize = 4

// Frame is one frame: its type and its payload, which is valid only until the
// next use of the parser.
type Frame struct {
	Type    byte
	Payload []byte
}

// Parser parses the frames that arrive from a searcher on one connection.
type Parser struct {
	buf      []byte
	consumed int // bytes of buf that belong to frames already returned
}

// Feed adds bytes that have arrived.
func (p *Parser) Feed(b []byte) {
	p.buf = append(p.buf[:0], p.buf[p.consumed:]...)
	p.consumed = 0
	p.buf = append(p.buf, b...)
}

// Buffered returns the number of bytes that belong to no frame returned yet.
func (p *Parser) Buffered() int { return len(p.buf) - p.consumed }

// Unparsed returns the bytes that belong to no frame returned yet. They are valid until the next use of the parser.
func (p *Parser) Unparsed() []byte { return p.buf[p.consumed:] }

// Next returns the next frame; ok is false while it is incomplete. After an error
// the connection cannot be read any further. An invalid length or letter is an error as
// soon as its first bytes show it, because the rest of the frame may never arrive.
func (p *Parser) Next() (f Frame, ok bool, err error) {
	b := p.buf[p.consumed:]
	if len(b) == 0 && cap(p.buf) > retainedCapacity {
		p.buf, p.consumed = nil, 0
	}
	if len(b) == 0 {
		return Frame{}, false, nil
	}
	var length [lengthSize]byte // the bytes that have not arrived are 0 at least
	known := copy(length[:], b)
	n := binary.BigEndian.Uint32(length[:])
	if n < 1 && known == lengthSize || n > MaxLength {
		return Frame{}, false, fmt.Errorf("frame length %d, of which %d bytes have arrived, want at least 1 and at most 68 KiB", n, known)
	}
	if known < lengthSize {
		return Frame{}, false, nil
	}
	if len(b) > lengthSize && !strings.ContainsRune(searcherLetters, rune(b[lengthSize])) {
		return Frame{}, false, fmt.Errorf("unknown frame letter %q, want a, e, l or p", b[lengthSize])
	}
	if uint32(len(b)-lengthSize) < n {
		return Frame{}, false, nil
	}
	end := lengthSize + int(n)
	p.consumed += end
	return Frame{Type: b[lengthSize], Payload: b[lengthSize+1 : end]}, true, nil
}

// Part is one part of a call.
type Part struct {
	ID      string
	Shard   int
	Options PartOptions
	Text    string // what the searcher is asked
}

// PartOptions holds the optional fields of a part, which are sent before its text.
type PartOptions struct {
	Wait  time.Duration // how long the gatherer waits for the answer
	Key   string        // the idempotency key; empty in classes that have none
	From  []int         // second step: the shards whose answers the first step has; nil in the first step
	Whole bool          // second step: whether the first step was whole
}

// append appends the options as NAME=VALUE pairs separated by commas. The wait is at least 1 ms.
func (o PartOptions) append(dst []byte) []byte {
	dst = append(dst, "d="...)
	dst = strconv.AppendInt(dst, max(o.Wait.Milliseconds(), 1), 10)
	if o.Key != "" {
		dst = append(dst, ",k="...)
		dst = append(dst, o.Key...)
	}
	if o.From == nil {
		return dst
	}
	dst = append(dst, ",from="...)
	for i, shard := range o.From {
		if i > 0 {
			dst = append(dst, '+')
		}
		dst = strconv.AppendInt(dst, int64(shard), 10)
	}
	if o.Whole {
		return append(dst, ",whole=1"...)
	}
	return append(dst, ",whole=0"...)
}

// AppendCall appends a frame with the parts of one call.
func AppendCall(dst []byte, parts []Part) []byte {
	return appendFrame(dst, Call, func(dst []byte) []byte {
		for _, p := range parts {
			dst = append(dst, p.ID...)
			dst = append(dst, ' ')
			dst = strconv.AppendInt(dst, int64(p.Shard), 10)
			dst = append(dst, ' ')
			dst = p.Options.append(dst)
			dst = append(dst, ' ')
			dst = strconv.AppendInt(dst, int64(len(p.Text)), 10)
			dst = append(dst, '\n')
			dst = append(dst, p.Text...)
		}
		return dst
	})
}

// AppendCancel appends a frame that cancels a part.
func AppendCancel(dst []byte, id string) []byte {
	return appendFrame(dst, Cancel, func(dst []byte) []byte { return append(dst, id...) })
}

// appendFrame appends a frame whose payload is written by appendPayload.
func appendFrame(dst []byte, letter byte, appendPayload func([]byte) []byte) []byte {
	start := len(dst)
	dst = append(dst, 0, 0, 0, 0, letter)
	dst = appendPayload(dst)
	binary.BigEndian.PutUint32(dst[start:], uint32(len(dst)-start-lengthSize))
	return dst
}

// PartOutcome is how a searcher ended a part.
type PartOutcome int

// The ways a searcher can end a part.
const (
	Served  PartOutcome = iota
	Failed              // the part failed and may have run
	Skipped             // the part never ran
)

// endNames maps the names of ends in an Answer frame.
var endNames = map[string]PartOutcome{"served": Served, "broke": Failed, "skipped": Skipped}

// Result is a searcher's answer to one part.
type Result struct {
	ID     string
	End    PartOutcome
	Score  int64
	Value  string
	Report Report
}

// Report holds the fields of a load report that are used.
type Report struct {
	Present   bool    // a usable report was received
	Malformed bool    // a malformed report was received
	Waiting   float64 // parts of all gatherers that wait at the searcher, from 0 to maxQueueLength
}

// maxQueueLength is the longest queue, in parts, that is accepted as plausible.
const maxQueueLength = 1e6

// queueField is the name of the queue length in a report, as in settings.stats.fields.
const queueField = "waiting"

// ParseReport parses a load report: NAME=VALUE pairs separated by commas, or "-" for none.
// Unknown fields are ignored. A report without the queue length counts as no report; one
// whose queue length is not a number or out of range is malformed. The answer that carries the
// report is accepted in both cases.
func ParseReport(text string) Report {
	for text != "" && text != "-" {
		var pair string
		pair, text, _ = strings.Cut(text, ",")
		name, value, _ := strings.Cut(pair, "=")
		if name != queueField {
			continue
		}
		v, err := strconv.ParseFloat(value, 64)
		if err != nil || !(v >= 0 && v <= maxQueueLength) {
			return Report{Malformed: true}
		}
		return Report{Present: true, Waiting: v}
	}
	return Report{}
}

// maxIDLength bounds the IDs, in bytes, that AnswerID finds.
const maxIDLength = 1 << 10

// AnswerID returns the part ID in the Answer frame that data begins with; ok is false if data ends before
// the end of the ID. It checks neither the length nor the letter of the frame.
func AnswerID(data []byte) (id string, ok bool) {
	const headSize = lengthSize + 1 // the length and the letter
	if len(data) < headSize {
		return "", false
	}
	rest := data[headSize:]
	before, _, ok := bytes.Cut(rest[:min(len(rest), maxIDLength+1)], []byte(" "))
	if !ok {
		return "", false
	}
	return string(before), true
}

// ContainsAnswer reports whether a value contains the start of an Answer frame for a part: a valid length,
// the letter, the ID and a space.
func ContainsAnswer(value, id string) bool {
	for {
		before, after, ok := strings.Cut(value, string(Answer)+id+" ")
		if !ok {
			return false
		}
		if len(before) >= lengthSize {
			n := binary.BigEndian.Uint32([]byte(before[len(before)-lengthSize:]))
			if n >= 1 && n <= MaxLength {
				return true
			}
		}
		value = after
	}
}

// ContainsWholeAnswer reports whether a whole and valid Answer frame that serves a part stands anywhere in data.
func ContainsWholeAnswer(data []byte, id string) bool {
	head := []byte(string(Answer) + id + " ")
	for start := 0; ; start++ {
		found := bytes.Index(data[start:], head)
		if found < 0 {
			return false
		}
		start += found
		if start < lengthSize {
			continue
		}
		length := int64(binary.BigEndian.Uint32(data[start-lengthSize:]))
		if length < int64(len(head)) || length > int64(len(data)-start) {
			continue
		}
		if r, err := ParseAnswer(data[start+1 : start+int(length)]); err == nil && r.End == Served {
			return true
		}
	}
}

var errMalformedAnswer = errors.New("malformed answer")

// ParseAnswer parses the payload of an Answer frame. A score, and a value that is valid
// UTF-8, are required only for a served part. The load report is the rest of the line,
// whatever it contains: a malformed one does not invalidate the answer, see ParseReport.
func ParseAnswer(payload []byte) (Result, error) {
	line, value, ok := bytes.Cut(payload, []byte("\n"))
	fields := strings.SplitN(string(line), " ", 4)
	if !ok || len(fields) != 4 || fields[0] == "" {
		return Result{}, errMalformedAnswer
	}
	end, ok := endNames[fields[1]]
	if !ok {
		return Result{}, fmt.Errorf("%w: unknown end %q, want served, broke or skipped", errMalformedAnswer, fields[1])
	}
	r := Result{ID: fields[0], End: end, Report: ParseReport(fields[3])}
	if end != Served {
		return r, nil
	}
	score, err := strconv.ParseInt(fields[2], 10, 64)
	if err != nil {
		return Result{}, fmt.Errorf("%w: score %q, want an integer", errMalformedAnswer, fields[2])
	}
	if !utf8.Valid(value) {
		return Result{}, fmt.Errorf("%w: value is not valid UTF-8", errMalformedAnswer)
	}
	r.Score, r.Value = score, string(value)
	return r, nil
}
