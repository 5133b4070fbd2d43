package http1

import (
	"strconv"
	"strings"
)

// Response is the head of a response.
type Response struct {
	Status int
	Header Header
}

// ResponseParser parses one response and hands out its body as it comes.
type ResponseParser struct {
	buf  []byte
	head *Response
	body body
}

// Feed takes in bytes that have come and passes those of the body to emit. It
// returns the response once its head is in, nil before.
func (p *ResponseParser) Feed(b []byte, emit func([]byte) error) (*Response, error) {
	p.buf = append(p.buf, b...)
	if p.head == nil {
		if err := p.parseHead(); err != nil || p.head == nil {
			return nil, err
		}
	}
	rest, err := p.body.decode(p.buf, emit)
	p.buf = rest
	return p.head, err
}

// Done tells that the response has ended.
func (p *ResponseParser) Done() bool { return p.head != nil && p.body.state == done }

// Endless tells that the response has no end but that of its connection, which may also break.
func (p *ResponseParser) Endless() bool { return p.head != nil && p.body.state == endless }

func (p *ResponseParser) parseHead() error {
	read, rest, err := readHead(p.buf)
	if read == nil || err != nil {
		return err
	}
	f, h := read.start, read.header
	if len(f) < 2 || !strings.HasPrefix(f[0], "HTTP/1.") {
		return bad("malformed status line")
	}
	status, err := strconv.Atoi(f[1])
	if err != nil || status < 200 || status > 599 {
		return bad("malformed status %q", f[1])
	}
	if p.body, err = bodyOf(h, true); err != nil {
		return err
	}
	p.head, p.buf = &Response{Status: status, Header: h}, rest
	return nil
}
