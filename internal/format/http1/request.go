package http1

import (
	"errors"
	"strconv"
	"strings"
	"unsafe"

	"eiderwinch/internal/memory"
)

// Request is an HTTP request.
type Request struct {
	Method string
	Target string
	Header Header
	Body   []byte
	Close  bool // the connection must be closed after the response
}

// RequestParser parses the requests that arrive on one connection. What it holds between two calls of Feed is counted by
// Held, in bytes as allocated.
type RequestParser struct {
	// KeepField says which header fields of a request are kept while its body is incomplete and its head is long. Nil
	// keeps all.
	KeepField func(name string) bool
	// Reserve is asked before a buffer for a body is allocated, with the number of bytes. Nil allows each.
	Reserve func(bytes int) bool

	input          []byte   // received and not parsed
	borrowed       bool     // input belongs to the caller of Feed
	inputSize      int      // bytes allocated for input; 0 if it is borrowed
	searched       int      // bytes of input in which there is no end of a head
	req            *Request // the head is parsed, the body is incomplete; nil between requests
	headSize       int      // bytes allocated for the head of req
	body           bodyDecoder
	bodyInPlace    bool // the body of the request that Next has returned last is a part of what was fed in
	awaitsContinue bool // the client waits for "100 Continue" before it sends the body
}

// ErrNoRoom is returned by Next if Reserve has denied the buffer for a body. Next may be called again.
var ErrNoRoom = errors.New("no room for the body")

// Feed adds bytes that have arrived. The parser may use them in place: Retain has to be called before they are changed.
func (p *RequestParser) Feed(b []byte) {
	if len(p.input) == 0 {
		p.setInput(b, true)
		return
	}
	p.ownInput(len(b))
	p.input = append(p.input, b...)
}

// Retain copies the bytes that were fed in and not parsed, so that the caller may use their memory.
func (p *RequestParser) Retain() {
	if p.borrowed {
		p.ownInput(0)
	}
}

// ownInput makes input the parser's own, with room for more bytes.
func (p *RequestParser) ownInput(more int) {
	if !p.borrowed && cap(p.input)-len(p.input) >= more {
		return
	}
	owned := make([]byte, len(p.input), memory.BufferSize(len(p.input)+more))
	copy(owned, p.input)
	p.input, p.borrowed, p.inputSize = owned, false, cap(owned)
}

func (p *RequestParser) setInput(b []byte, borrowed bool) {
	p.input, p.borrowed = b, borrowed
	if len(b) == 0 {
		p.input, p.borrowed = nil, false
	}
	if p.borrowed || p.input == nil {
		p.inputSize = 0 // an open connection must not hold a buffer of the size of its longest request
	}
}

// Buffered returns the number of bytes that were fed in and not parsed yet.
func (p *RequestParser) Buffered() int { return len(p.input) }

// Held returns the number of bytes allocated for the incomplete request and for what was received behind it.
func (p *RequestParser) Held() int {
	held := p.inputSize
	if p.req != nil {
		held += p.headSize + cap(p.req.Body)
	}
	return held
}

// Growth returns by how much Held grows at most if a number of bytes is fed in and kept.
func (p *RequestParser) Growth(bytes int) int {
	if p.inBody() {
		return 0 // its buffer is reserved by Next
	}
	return max(memory.BufferSize(len(p.input)+bytes)-p.inputSize, 0)
}

// inBody reports whether the bytes that arrive next belong to a body whose buffer is allocated.
func (p *RequestParser) inBody() bool { return p.req != nil && p.req.Body != nil && len(p.input) == 0 }

// headReadSize is the number of bytes that Wanted returns if no body is being received: a usual request as a whole.
const headReadSize = 2 << 10

// Wanted returns how many bytes may be fed in next: those of the body that is being received, or those of a usual
// request.
func (p *RequestParser) Wanted() int {
	if p.inBody() && p.body.state == fixedLength {
		return int(p.body.remaining)
	}
	return headReadSize
}

// Progress returns how many bytes of the incomplete request have been received, and its length as far as it is known.
func (p *RequestParser) Progress() (received, length int) {
	if p.req == nil {
		return len(p.input), MaxHead
	}
	if p.body.state != fixedLength {
		return len(p.req.Body), MaxBody
	}
	received = len(p.req.Body) + len(p.input)
	return received, len(p.req.Body) + int(p.body.remaining)
}

// Idle reports whether no request has begun.
func (p *RequestParser) Idle() bool { return p.req == nil && len(p.input) == 0 }

// Next returns the next request, or nil while it is incomplete. Its body may be a part of what was fed in. After an
// *Error the connection cannot be read any further.
func (p *RequestParser) Next() (*Request, error) {
	if p.req == nil {
		if err := p.parseHead(); err != nil || p.req == nil {
			return nil, err
		}
	}
	if p.body.state == fixedLength && p.req.Body == nil && int64(len(p.input)) >= p.body.remaining {
		length := int(p.body.remaining)
		if length > 0 {
			p.req.Body = p.input[:length:length]
		}
		p.body.state, p.bodyInPlace = done, length > 0
		p.setInput(p.input[length:], p.borrowed)
		return p.takeRequest(), nil
	}
	p.bodyInPlace = false
	if err := p.allocateBody(); err != nil {
		return nil, err
	}
	rest, err := p.body.decode(p.input, func(b []byte) error {
		if len(p.req.Body)+len(b) > MaxBody {
			return errBodyTooLong
		}
		p.req.Body = append(p.req.Body, b...)
		return nil
	})
	p.setInput(rest, p.borrowed)
	if err != nil || p.body.state != done {
		return nil, err
	}
	return p.takeRequest(), nil
}

// Detach makes the request that Next has returned last independent of what was fed in, so that it can be served later, and
// returns the number of bytes that it takes.
func (p *RequestParser) Detach(r *Request) (bytes int) {
	if p.bodyInPlace {
		r.Body, p.bodyInPlace = append(make([]byte, 0, memory.BufferSize(len(r.Body))), r.Body...), false
	}
	return p.compactHead(r) + cap(r.Body)
}

// takeRequest returns the complete request and begins the next one.
func (p *RequestParser) takeRequest() *Request {
	r := p.req
	p.req, p.headSize, p.awaitsContinue = nil, 0, false
	return r
}

// allocateBody sees to it that the body has room for what is decoded next: a body of known length is allocated once.
func (p *RequestParser) allocateBody() error {
	length := len(p.req.Body)
	wanted := length + int(p.body.remaining)
	if p.body.state != fixedLength {
		wanted = min(length+len(p.input), MaxBody)
	}
	if wanted <= cap(p.req.Body) {
		return nil
	}
	p.headSize = p.compactHead(p.req)
	size := memory.BufferSize(wanted)
	if p.Reserve != nil && !p.Reserve(size) {
		return ErrNoRoom
	}
	p.req.Body = append(make([]byte, 0, size), p.req.Body...)
	return nil
}

// longHead is the size in bytes from which a head is compacted.
const longHead = 512

// compactHead drops what nobody needs of a long head, and returns the number of bytes that the head takes. All strings of
// a head share the memory of its text, whose size is at most the sum of theirs and of what stands between them.
func (p *RequestParser) compactHead(r *Request) (bytes int) {
	text, kept := len(r.Method)+len(r.Target), 0
	all := text
	for _, field := range r.Header {
		all += len(field.Name) + len(field.Value) + fieldOverhead
		if p.KeepField == nil || p.KeepField(field.Name) {
			text += len(field.Value)
			kept++
		}
	}
	if all += cap(r.Header) * fieldSize; all <= longHead || p.KeepField == nil {
		return all
	}
	header := make(Header, 0, kept)
	for _, field := range r.Header {
		if p.KeepField(field.Name) {
			header = append(header, Field{field.Name, strings.Clone(field.Value)})
		}
	}
	r.Method, r.Target, r.Header = strings.Clone(r.Method), strings.Clone(r.Target), header
	return text + kept*fieldSize
}

// fieldOverhead is the number of bytes of a field beside its name and value: a colon, white space and the line end.
const fieldOverhead = 8

// fieldSize is the memory that a header field takes beside its text.
const fieldSize = int(unsafe.Sizeof(Field{}))

// TakeContinue reports whether the client waits for "100 Continue" before it sends the body.
// It returns true at most once for each request.
func (p *RequestParser) TakeContinue() bool {
	awaitsContinue := p.awaitsContinue
	p.awaitsContinue = false
	return awaitsContinue
}

var errBodyTooLong = &Error{Status: 413, Reason: "the body is too long"}

// parseHead parses the head of a request, if it is complete, and prepares its body.
func (p *RequestParser) parseHead() error {
	for len(p.input) >= 2 && p.input[0] == '\r' && p.input[1] == '\n' { // blank lines before a request must be ignored
		p.setInput(p.input[2:], p.borrowed)
		p.searched = 0
	}
	parsed, rest, err := readHead(p.input, p.searched)
	if parsed == nil || err != nil {
		p.searched = len(p.input)
		return err
	}
	p.searched = 0
	startLine, header := parsed.startLine, parsed.header
	if len(startLine) != 3 || !isToken(startLine[0]) || !strings.HasPrefix(startLine[1], "/") {
		return badMessage("malformed request line")
	}
	if startLine[2] != "HTTP/1.1" && startLine[2] != "HTTP/1.0" {
		return &Error{Status: 505, Reason: "unsupported HTTP version, want HTTP/1.1 or HTTP/1.0"}
	}
	if !isTarget(startLine[1]) {
		return badMessage("malformed target")
	}
	hosts := 0
	for _, field := range header {
		if field.Name == "host" {
			hosts++
		}
		if field.Name == "transfer-encoding" && startLine[2] == "HTTP/1.0" { // parsers differ on its meaning there
			return badMessage("transfer-encoding in HTTP/1.0")
		}
	}
	if hosts > 1 { // implementations disagree on which one counts (RFC 9112, 3.2)
		return badMessage("found %d host fields, want at most 1", hosts)
	}
	r := &Request{Method: startLine[0], Target: startLine[1], Header: header, Close: header.listContains("connection", "close")}
	r.Close = r.Close || startLine[2] == "HTTP/1.0" && !header.listContains("connection", "keep-alive")
	if p.body, err = newBodyDecoder(header, false); err != nil {
		return err
	}
	if p.body.state == fixedLength && p.body.remaining > MaxBody {
		return errBodyTooLong
	}
	p.awaitsContinue = p.body.state != fixedLength || p.body.remaining > 0
	p.awaitsContinue = p.awaitsContinue && strings.EqualFold(header.Get("expect"), "100-continue")
	p.headSize = len(p.input) - len(rest) + cap(header)*fieldSize
	p.req = r
	p.setInput(rest, p.borrowed)
	return nil
}

// isTarget reports whether s is a target that all parsers accept: one without control
// characters or spaces, and with complete escapes in its path.
func isTarget(s string) bool {
	path, _, _ := strings.Cut(s, "?")
	for i := range len(s) {
		if s[i] <= ' ' || s[i] == 0x7f {
			return false
		}
		if s[i] == '%' && i < len(path) && (i+2 >= len(path) || !isHex(path[i+1]) || !isHex(path[i+2])) {
			return false
		}
	}
	return true
}

func isHex(c byte) bool {
	return '0' <= c && c <= '9' || 'a' <= c && c <= 'f' || 'A' <= c && c <= 'F'
}

// AppendRequest appends a request without a body.
func AppendRequest(dst []byte, method, target, host string) []byte {
	dst = append(dst, method...)
	dst = append(dst, ' ')
	dst = append(dst, target...)
	dst = append(dst, " HTTP/1.1\r\nHost: "...)
	dst = append(dst, host...)
	return append(dst, "\r\n\r\n"...)
}

var reasonPhrases = map[int]string{
	200: "OK", 400: "Bad Request", 404: "Not Found", 405: "Method Not Allowed", 408: "Request Timeout", 409: "Conflict",
	413: "Content Too Large", 431: "Request Header Fields Too Large", 501: "Not Implemented",
	502: "Bad Gateway", 503: "Service Unavailable", 504: "Gateway Timeout", 505: "HTTP Version Not Supported",
}

// AppendContinue appends the interim response to Expect: 100-continue.
func AppendContinue(dst []byte) []byte { return append(dst, "HTTP/1.1 100 Continue\r\n\r\n"...) }

// AppendResponse appends a response. The fields are added as given; closeConn announces
// that the connection will be closed.
func AppendResponse(dst []byte, status int, body []byte, closeConn bool, fields ...Field) []byte {
	dst = append(dst, "HTTP/1.1 "...)
	dst = strconv.AppendInt(dst, int64(status), 10)
	dst = append(dst, ' ')
	dst = append(dst, reasonPhrases[status]...)
	for _, f := range fields {
		dst = append(dst, "\r\n"...)
		dst = append(dst, f.Name...)
		dst = append(dst, ": "...)
		dst = append(dst, f.Value...)
	}
	if closeConn {
		dst = append(dst, "\r\nConnection: close"...)
	}
	dst = append(dst, "\r\nContent-Length: "...)
	dst = strconv.AppendInt(dst, int64(len(body)), 10)
	dst = append(dst, "\r\n\r\n"...)
	return append(dst, body...)
}
