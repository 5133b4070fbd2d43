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

// ResponseParser parses one response and passes on its body as it arrives.
type ResponseParser struct {
	buf  []byte
	head *Response
	body bodyDecoder
}

// Feed adds bytes that have arrived and passes those of the body to emit. It
// returns the response once its head is complete, and nil before.
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

// Done reports whether the response has ended.
func (p *ResponseParser) Done() bool { return p.head != nil && p.body.state == done }

// EndsAtClose reports whether only the close of the connection ends the response. Such a response
// may be incomplete, because the connection may also have broken.
func (p *ResponseParser) EndsAtClose() bool { return p.head != nil && p.body.state == untilClosed }

// parseHead parses the head of the response, if it is complete, and prepares its body.
func (p *ResponseParser) parseHead() error {
	parsed, rest, err := readHead(p.buf, 0)
	if parsed == nil || err != nil {
		return err
	}
	startLine, header := parsed.startLine, parsed.header
	if len(startLine) < 2 || !strings.HasPrefix(startLine[0], "HTTP/1.") {
		return badMessage("malformed status line")
	}
	status, err := strconv.Atoi(startLine[1])
	if err != nil || status < 200 || status > 599 {
		return badMessage("malformed status %q", startLine[1])
	}
	if p.body, err = newBodyDecoder(header, true); err != nil {
		return err
	}
	p.head, p.buf = &Response{Status: status, Header: header}, rest
	return nil
}
