package http1

import (
	"strconv"
	"strings"
	"unsafe"
)

// Request is an HTTP request.
type Request struct {
	Method string
	Target string
	Header Header
	Body   []byte
	Close  bool // the connection must be closed after the response
}

// RequestParser parses the requests that arrive on one connection.
type RequestParser struct {
	buf            []byte
	searched       int      // bytes of buf in which there is no end of a head
	req            *Request // the head is parsed, the body is incomplete; nil between requests
	body           bodyDecoder
	awaitsContinue bool // the client waits for "100 Continue" before it sends the body
}

// Feed adds bytes that have arrived.
func (p *RequestParser) Feed(b []byte) { p.buf = append(p.buf, b...) }

// Buffered returns the number of bytes that were fed in and not parsed yet.
func (p *RequestParser) Buffered() int { return len(p.buf) }

// Held returns the number of bytes allocated for the incomplete request and for what was received behind it.
func (p *RequestParser) Held() int {
	held := cap(p.buf)
	if p.req != nil {
		held += cap(p.req.Body) + cap(p.req.Header)*int(unsafe.Sizeof(Field{}))
	}
	return held
}

// Idle reports whether no request has begun.
func (p *RequestParser) Idle() bool { return p.req == nil && len(p.buf) == 0 }

// Next returns the next request, or nil while it is incomplete. After an error,
// which is an *Error, the connection cannot be read any further.
func (p *RequestParser) Next() (*Request, error) {
	if p.req == nil {
		if err := p.parseHead(); err != nil || p.req == nil {
			return nil, err
		}
	}
	rest, err := p.body.decode(p.buf, func(b []byte) error {
		if len(p.req.Body)+len(b) > MaxBody {
			return errBodyTooLong
		}
		p.req.Body = append(p.req.Body, b...)
		return nil
	})
	p.buf = rest // Feed reallocates it when it needs room
	if len(rest) == 0 {
		p.buf = nil // an open connection must not hold a buffer of the size of its longest request
	}
	if err != nil || p.body.state != done {
		return nil, err
	}
	r := p.req
	p.req, p.awaitsContinue = nil, false
	return r, nil
}

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
	for len(p.buf) >= 2 && p.buf[0] == '\r' && p.buf[1] == '\n' {
		p.buf, p.searched = p.buf[2:], 0 // blank lines before a request must be ignored
	}
	parsed, rest, err := readHead(p.buf, p.searched)
	if parsed == nil || err != nil {
		p.searched = len(p.buf)
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
	p.req, p.buf = r, rest
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
