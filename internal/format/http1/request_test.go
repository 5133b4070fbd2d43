package http1

import (
	"errors"
	"fmt"
	"strings"
	"testing"

	"eiderwinch/internal/memory"
)

// feedPieces feeds text in pieces as a connection does, whose read buffer is used again, and returns the most that the
// parser held and the body of the request.
func feedPieces(t *testing.T, p *RequestParser, text string, piece int) (held int, body string) {
	t.Helper()
	buffer := make([]byte, piece)
	for len(text) > 0 {
		n := copy(buffer, text)
		text = text[n:]
		p.Feed(buffer[:n])
		r, err := p.Next()
		if err != nil {
			t.Fatal(err)
		}
		if r != nil {
			body = string(r.Body)
		}
		p.Retain()
		clear(buffer)
		held = max(held, p.Held())
	}
	return held, body
}

// However its bytes are cut, a request takes little more memory than it has bytes.
func TestRequestInPiecesTakesItsSizeOnce(t *testing.T) {
	want := strings.Repeat("0123456789", MaxBody/10)
	for _, size := range []int{1, 700, 1500, 2048, 40000, 70000} {
		p := RequestParser{KeepField: func(string) bool { return false }}
		held, body := feedPieces(t, &p, fmt.Sprintf("%sContent-Length: %d\r\n\r\n%s", post, len(want), want), size)
		if most := memory.BufferSize(len(want)) + memory.BufferSize(size) + 2*longHead; held > most || body != want {
			t.Errorf("in pieces of %d: held %d bytes, want at most %d; body of %d bytes", size, held, most, len(body))
		}
		if p.Held() != 0 {
			t.Errorf("in pieces of %d: %d bytes are held after the request", size, p.Held())
		}
	}
}

func TestChunkedBodyGrowsWithItsData(t *testing.T) {
	var text strings.Builder
	text.WriteString(post + "Transfer-Encoding: chunked\r\n\r\n")
	for range 500 {
		text.WriteString("4\r\nabcd\r\n")
	}
	p := RequestParser{}
	held, body := feedPieces(t, &p, text.String()+"0\r\n\r\n", 100)
	if body != strings.Repeat("abcd", 500) || held > 4096+1024 {
		t.Errorf("held %d bytes, body of %d bytes", held, len(body))
	}
}

// Of a long head whose body is incomplete only the fields that are used are kept.
func TestLongHeadIsCompacted(t *testing.T) {
	p := RequestParser{KeepField: func(name string) bool { return name == "x-trace-id" }}
	head := post + "X-Trace-Id: t\r\nX-Long: " + strings.Repeat("y", 10000) + "\r\nContent-Length: 3\r\n\r\n"
	if held, _ := feedPieces(t, &p, head+"a", len(head)+1); held > 1024 {
		t.Errorf("%d bytes are held", held)
	}
	p.Feed([]byte("bc"))
	if r, err := p.Next(); err != nil || r.Header.Get("x-trace-id") != "t" || string(r.Body) != "abc" || r.Target != "/a" {
		t.Errorf("have %+v, %v", r, err)
	}
}

// A body for which there is no room waits, and is received whole once there is room.
func TestBodyWaitsForRoom(t *testing.T) {
	asked, room := 0, false
	p := RequestParser{Reserve: func(bytes int) bool { asked = bytes; return room }}
	p.Feed([]byte(post + "Content-Length: 3000\r\n\r\n" + strings.Repeat("a", 1000)))
	p.Retain()
	for range 3 {
		if _, err := p.Next(); !errors.Is(err, ErrNoRoom) || asked != memory.BufferSize(3000) {
			t.Fatalf("have %v, asked for %d bytes", err, asked)
		}
	}
	room = true
	if r, err := p.Next(); r != nil || err != nil || p.Wanted() != 2000 {
		t.Fatalf("have %v, %v, %d bytes wanted", r, err, p.Wanted())
	}
	p.Feed([]byte(strings.Repeat("b", 2000)))
	if r, err := p.Next(); err != nil || string(r.Body) != strings.Repeat("a", 1000)+strings.Repeat("b", 2000) {
		t.Errorf("have %v, %v", r, err)
	}
}
