// Package frame holds an incremental parser and encoders for the frames that
// gatherers and searchers exchange. It does no I/O.
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

// The letters of frames.
const (
	Call   = 'q' // from a gatherer: the parts of one call
	Cancel = 'c' // from a gatherer: the id of a part that is given up
	Probe  = 'p' // both ways
	Load   = 'l' // both ways
	Answer = 'a' // from a searcher: the answer to one part
	Error  = 'e' // from a searcher: the frame before could not be used
)

// fromSearcher holds the letters that a searcher sends.
const fromSearcher = string(Answer) + string(Error) + string(Probe) + string(Load)

// MaxFrame bounds a frame's length: no value can be passed on that is longer
// than a body may be (64 KiB), and the line before it is short.
const MaxFrame = 68 << 10

// keep is how much room a parser holds on to while it is empty.
const keep = 4 << 10

const lengthSize = 4

// Frame is one frame. Rest is valid until the parser's next use.
type Frame struct {
	Letter byte
	Rest   []byte
}

// Parser parses the frames that come from a searcher on one connection.
type Parser struct {
	buf  []byte
	used int
}

// Feed adds bytes that have come.
func (p *Parser) Feed(b []byte) {
	p.buf = append(p.buf[:0], p.buf[p.used:]...)
	p.used = 0
	p.buf = append(p.buf, b...)
}

// Buffered is how many bytes are held of a frame that has begun.
func (p *Parser) Buffered() int { return len(p.buf) - p.used }

// Next returns the next frame; ok is false until it is whole. After an error
// the connection can't be read any further. A length or letter that can't be
// is an error as soon as it is read: what it announces may never come.
func (p *Parser) Next() (f Frame, ok bool, err error) {
	b := p.buf[p.used:]
	if len(b) == 0 && cap(p.buf) > keep {
		p.buf, p.used = nil, 0
	}
	if len(b) < lengthSize {
		return Frame{}, false, nil
	}
	n := binary.BigEndian.Uint32(b)
	if n < 1 || n > MaxFrame {
		return Frame{}, false, fmt.Errorf("frame of length %d", n)
	}
	if len(b) > lengthSize && !strings.ContainsRune(fromSearcher, rune(b[lengthSize])) {
		return Frame{}, false, fmt.Errorf("unknown letter %q", b[lengthSize])
	}
	if uint32(len(b)-lengthSize) < n {
		return Frame{}, false, nil
	}
	end := lengthSize + int(n)
	p.used += end
	return Frame{Letter: b[lengthSize], Rest: b[lengthSize+1 : end]}, true, nil
}

// Part is one part of a call.
type Part struct {
	ID    string
	Shard int
	List  List
	Text  string
}

// List is what a part carries beside its text.
type List struct {
	Wait  time.Duration // how long the gatherer will wait
	Key   string        // the idempotency key; empty in classes without
	From  []int         // second step: the shards that were in; nil in the first step
	Whole bool          // second step: the first step was whole
}

func (l List) append(dst []byte) []byte {
	dst = append(dst, "d="...)
	dst = strconv.AppendInt(dst, max(l.Wait.Milliseconds(), 1), 10)
	if l.Key != "" {
		dst = append(dst, ",k="...)
		dst = append(dst, l.Key...)
	}
	if l.From == nil {
		return dst
	}
	dst = append(dst, ",from="...)
	for i, shard := range l.From {
		if i > 0 {
			dst = append(dst, '+')
		}
		dst = strconv.AppendInt(dst, int64(shard), 10)
	}
	if l.Whole {
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
			dst = p.List.append(dst)
			dst = append(dst, ' ')
			dst = strconv.AppendInt(dst, int64(len(p.Text)), 10)
			dst = append(dst, '\n')
			dst = append(dst, p.Text...)
		}
		return dst
	})
}

// AppendCancel appends a frame that gives up a part.
func AppendCancel(dst []byte, id string) []byte {
	return appendFrame(dst, Cancel, func(dst []byte) []byte { return append(dst, id...) })
}

func appendFrame(dst []byte, letter byte, rest func([]byte) []byte) []byte {
	at := len(dst)
	dst = append(dst, 0, 0, 0, 0, letter)
	dst = rest(dst)
	binary.BigEndian.PutUint32(dst[at:], uint32(len(dst)-at-lengthSize))
	return dst
}

// End says how a searcher ended a part.
type End int

// The ways a searcher can end a part.
const (
	Served  End = iota
	Broke       // it may have run
	Skipped     // it never ran
)

var ends = map[string]End{"served": Served, "broke": Broke, "skipped": Skipped}

// Result is a searcher's answer to one part.
type Result struct {
	ID     string
	End    End
	Score  int64
	Value  string
	Report Report
}

// Report is what of a load report is used.
type Report struct {
	Given   bool    // a usable one came
	Spoilt  bool    // one came that can't be used
	Waiting float64 // parts that wait at the searcher, of all gatherers: 0 to maxWaiting
}

// maxWaiting bounds what is believed of a queue, in parts.
const maxWaiting = 1e6

// waitingField names the queue's length in a report, as in settings.stats.fields.
const waitingField = "waiting"

// ParseReport reads a load report, NAME=VALUE pairs set apart by commas, or "-" for none.
// Fields that are not known are passed over. A report without the queue is no report; one
// whose queue is no number or can't be is spoilt. Neither spoils the answer it came with.
func ParseReport(text string) Report {
	for text != "" && text != "-" {
		var pair string
		pair, text, _ = strings.Cut(text, ",")
		name, value, _ := strings.Cut(pair, "=")
		if name != waitingField {
			continue
		}
		v, err := strconv.ParseFloat(value, 64)
		if err != nil || !(v >= 0 && v <= maxWaiting) {
			return Report{Spoilt: true}
		}
		return Report{Given: true, Waiting: v}
	}
	return Report{}
}

var errResult = errors.New("malformed answer")

// ParseAnswer reads the rest of an Answer frame. Only a served part must have
// a score and a value of valid text. The load report is the rest of the line
// whatever it holds: an unreadable one spoils nothing, see ParseReport.
func ParseAnswer(rest []byte) (Result, error) {
	line, value, ok := bytes.Cut(rest, []byte("\n"))
	f := strings.SplitN(string(line), " ", 4)
	if !ok || len(f) != 4 || f[0] == "" {
		return Result{}, errResult
	}
	end, ok := ends[f[1]]
	if !ok {
		return Result{}, fmt.Errorf("%w: unknown end %q", errResult, f[1])
	}
	r := Result{ID: f[0], End: end, Report: ParseReport(f[3])}
	if end != Served {
		return r, nil
	}
	score, err := strconv.ParseInt(f[2], 10, 64)
	if err != nil {
		return Result{}, fmt.Errorf("%w: score %q", errResult, f[2])
	}
	if !utf8.Valid(value) {
		return Result{}, fmt.Errorf("%w: the value is no text", errResult)
	}
	r.Score, r.Value = score, string(value)
	return r, nil
}
