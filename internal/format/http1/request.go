package http1

import (
	"strconv"
	"strings"
)

// Request is one request.
type Request struct {
	Method string
	Target string
	Header Header
	Body   []byte
	Close  bool // the client wants the connection closed after the answer
}

// RequestParser parses the requests that come on one connection.
type RequestParser struct {
	buf  []byte
	req  *Request // its head is parsed, its body is coming
	body body
	asks bool // the client waits for "100 Continue"
}

// Feed adds bytes that have come.
func (p *RequestParser) Feed(b []byte) { p.buf = append(p.buf, b...) }

// Buffered is how many bytes are held that belong to no request passed on yet.
func (p *RequestParser) Buffered() int { return len(p.buf) }

// Idle tells that no request has begun.
func (p *RequestParser) Idle() bool { return p.req == nil && len(p.buf) == 0 }

// Next returns the next request, or nil until it is whole. After an error,
// which is an *Error, the connection can't be read any further.
func (p *RequestParser) Next() (*Request, error) {
	if p.req == nil {
		if err := p.head(); err != nil || p.req == nil {
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
	p.buf = rest // Feed moves it when it needs room
	if len(rest) == 0 {
		p.buf = nil // a connection that stays open must not keep the room of its longest request
	}
	if err != nil || p.body.state != done {
		return nil, err
	}
	r := p.req
	p.req, p.asks = nil, false
	return r, nil
}

// Continue tells, once for a request, that its client waits for "100 Continue".
func (p *RequestParser) Continue() bool {
	asks := p.asks
	p.asks = false
	return asks
}

var errBodyTooLong = &Error{Status: 413, Reason: "the body is too long"}

func (p *RequestParser) head() error {
	for len(p.buf) >= 2 && p.buf[0] == '\r' && p.buf[1] == '\n' {
		p.buf = p.buf[2:] // blank lines before a request are to be passed over
	}
	read, rest, err := readHead(p.buf)
	if read == nil || err != nil {
		return err
	}
	f, h := read.start, read.header
	if len(f) != 3 || !isToken(f[0]) || !strings.HasPrefix(f[1], "/") {
		return bad("malformed request line")
	}
	if f[2] != "HTTP/1.1" && f[2] != "HTTP/1.0" {
		return &Error{Status: 505, Reason: "unknown version"}
	}
	if !isTarget(f[1]) {
		return bad("malformed target")
	}
	hosts := 0
	for _, x := range h {
		if x.Name == "host" {
			hosts++
		}
		if x.Name == "transfer-encoding" && f[2] == "HTTP/1.0" { // readers differ on what it means there
			return bad("transfer-encoding in HTTP/1.0")
		}
	}
	if hosts > 1 { // whichever a peer believes (RFC 9112, 3.2)
		return bad("%d host fields", hosts)
	}
	r := &Request{Method: f[0], Target: f[1], Header: h, Close: h.has("connection", "close")}
	r.Close = r.Close || f[2] == "HTTP/1.0" && !h.has("connection", "keep-alive")
	if p.body, err = bodyOf(h, false); err != nil {
		return err
	}
	if p.body.state == plain && p.body.left > MaxBody {
		return errBodyTooLong
	}
	p.asks = p.body.state != plain || p.body.left > 0
	p.asks = p.asks && strings.EqualFold(h.Get("expect"), "100-continue")
	p.req, p.buf = r, rest
	return nil
}

// isTarget tells whether a target can be read by all: no controls, and whole
// escapes in its path.
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

var reasons = map[int]string{
	200: "OK", 400: "Bad Request", 404: "Not Found", 405: "Method Not Allowed", 408: "Request Timeout", 409: "Conflict",
	413: "Content Too Large", 431: "Request Header Fields Too Large", 501: "Not Implemented",
	502: "Bad Gateway", 503: "Service Unavailable", 504: "Gateway Timeout", 505: "HTTP Version Not Supported",
}

// AppendContinue appends the interim answer to Expect: 100-continue.
func AppendContinue(dst []byte) []byte { return append(dst, "HTTP/1.1 100 Continue\r\n\r\n"...) }

// AppendResponse appends a response. Fields are added as they are given.
func AppendResponse(dst []byte, status int, body []byte, end bool, fields ...Field) []byte {
	dst = append(dst, "HTTP/1.1 "...)
	dst = strconv.AppendInt(dst, int64(status), 10)
	dst = append(dst, ' ')
	dst = append(dst, reasons[status]...)
	for _, f := range fields {
		dst = append(dst, "\r\n"...)
		dst = append(dst, f.Name...)
		dst = append(dst, ": "...)
		dst = append(dst, f.Value...)
	}
	if end {
		dst = append(dst, "\r\nConnection: close"...)
	}
	dst = append(dst, "\r\nContent-Length: "...)
	dst = strconv.AppendInt(dst, int64(len(body)), 10)
	dst = append(dst, "\r\n\r\n"...)
	return append(dst, body...)
}
