package http1

import (
	"bufio"
	"errors"
	"io"
	"net/http"
	"reflect"
	"strings"
	"testing"
)

// parse feeds text in pieces of n bytes to a RequestParser and returns the requests in it.
func parse(text string, n int) (out []*Request, err error) {
	var p RequestParser
	for len(text) > 0 {
		n = min(n, len(text))
		p.Feed([]byte(text[:n]))
		text = text[n:]
		for {
			r, err := p.Next()
			if err != nil {
				return out, err
			}
			if r == nil {
				break
			}
			out = append(out, r)
		}
	}
	return out, nil
}

const post = "POST /a HTTP/1.1\r\nHost: b\r\n"

func TestRequests(t *testing.T) {
	for name, c := range map[string]struct {
		text   string
		bodies []string // of the requests in the text
	}{
		"without a body":       {"GET /_health HTTP/1.1\r\nHost: b\r\n\r\n", []string{""}},
		"with a length":        {post + "Content-Length: 3\r\n\r\nabc", []string{"abc"}},
		"two on a connection":  {post + "Content-Length: 1\r\n\r\na" + post + "Content-Length: 1\r\n\r\nb", []string{"a", "b"}},
		"chunked":              {post + "Transfer-Encoding: chunked\r\n\r\n1\r\na\r\n2;x=y\r\nbc\r\n0\r\n\r\n", []string{"abc"}},
		"chunked with trailer": {post + "Transfer-Encoding: Chunked\r\n\r\n1\r\na\r\n0\r\nX: y\r\n\r\n", []string{"a"}},
		"chunked, then more":   {post + "Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n" + post + "\r\n", []string{"", ""}},
		"after a blank line":   {"\r\n" + post + "\r\n", []string{""}},
		"same length twice":    {post + "Content-Length: 1\r\nContent-Length: 1\r\n\r\na", []string{"a"}},
		"truncated body":       {post + "Content-Length: 9\r\n\r\nabc", nil},
		"with the longest body": {post + "Content-Length: 65536\r\n\r\n" + strings.Repeat("x", MaxBody),
			[]string{strings.Repeat("x", MaxBody)}},
	} {
		for _, n := range []int{1, 7, len(c.text)} {
			var bodies []string
			got, err := parse(c.text, n)
			for _, r := range got {
				bodies = append(bodies, string(r.Body))
			}
			if err != nil || !reflect.DeepEqual(bodies, c.bodies) {
				t.Errorf("%s in pieces of %d: have %q, %v", name, n, bodies, err)
			}
		}
	}
}

func TestMalformedRequests(t *testing.T) {
	for text, want := range map[string]int{
		"POST /a\r\n\r\n":                                                               400,
		"POST a HTTP/1.1\r\n\r\n":                                                       400,
		"P(ST /a HTTP/1.1\r\n\r\n":                                                      400,
		"POST /a HTTP/2.0\r\n\r\n":                                                      505,
		post + "no colon\r\n\r\n":                                                       400,
		post + "A : b\r\n\r\n":                                                          400,
		post + " folded: b\r\n\r\n":                                                     400,
		post + "A: b\nC: d\r\n\r\n":                                                     400,
		post + "Content-Length: -1\r\n\r\n":                                             400,
		post + "Content-Length: 1x\r\n\r\n":                                             400,
		post + "Content-Length: 1\r\nContent-Length: 2\r\n\r\n":                         400,
		post + "Content-Length: 1\r\nTransfer-Encoding: chunked\r\n\r\n":                400, // smuggling
		post + "Host: c\r\n\r\n":                                                        400,
		post + "A: b\x01\r\n\r\n":                                                       400,
		"POST /a%2 HTTP/1.1\r\n\r\n":                                                    400,
		"POST /a\nb HTTP/1.1\r\n\r\n":                                                   400,
		"POST /a HTTP/1.0\r\nTransfer-Encoding: chunked\r\n\r\n":                        400,
		post + "Transfer-Encoding: chunked\r\n\r\n1;x\n\r\na\r\n":                       400,
		post + "Transfer-Encoding: chunked\r\n\r\n0\r\nno colon\r\n\r\n":                400,
		post + "Transfer-Encoding: chunked\r\nTrailer: Content-Length\r\n\r\n0\r\n\r\n": 400,
		post + "Transfer-Encoding: chunked\r\n\r\n" + strings.Repeat("1;"+strings.Repeat("x", 200)+"\r\na\r\n", 200): 400,
		post + "Content-Length: 1\r\nTransfer-Encoding: gzip\r\n\r\n":                                                400, // whatever the transfer coding
		post + "Transfer-Encoding: gzip, chunked\r\nContent-Length: 1\r\n\r\n":                                       400,
		post + "Transfer-Encoding: gzip\r\n\r\n":                                                                     501,
		post + "Transfer-Encoding: gzip, chunked\r\n\r\n":                                                            501,
		post + "Content-Length: 65537\r\n\r\n":                                                                       413,
		post + "Transfer-Encoding: chunked\r\n\r\nx\r\n":                                                             400,
		post + "Transfer-Encoding: chunked\r\n\r\n1\r\nab\r\n":                                                       400,
		post + "Transfer-Encoding: chunked\r\n\r\n" + strings.Repeat("1", 300):                                       400,
		post + "Transfer-Encoding: chunked\r\n\r\n10001\r\n" + strings.Repeat("x", MaxBody+1):                        413,
		post + "Transfer-Encoding: chunked\r\n\r\n0\r\n" + strings.Repeat("X: yyyyyy\r\n", 2000):                     431,
		post + strings.Repeat("X: yyyyyy\r\n", 2000):                                                                 431,
		post + strings.Repeat("a:\r\n", MaxFields) + "\r\n":                                                          431,
		post + "X: " + strings.Repeat("y", MaxHead+1):                                                                431,
	} {
		_, err := parse(text, 4096)
		var e *Error
		if !errors.As(err, &e) || e.Status != want {
			t.Errorf("%.90q: have %v, want %d", text, err, want)
		}
	}
}

// A head with as many fields as it may have is accepted, and the error about a long line quotes a part of it only.
func TestHeadAtTheLimitOfFields(t *testing.T) {
	list, err := parse("GET / HTTP/1.1\r\n"+strings.Repeat("a:\r\n", MaxFields)+"\r\n", 7)
	if err != nil || len(list) != 1 || len(list[0].Header) != MaxFields {
		t.Errorf("have %d requests, %v; want one with %d fields", len(list), err, MaxFields)
	}
	if _, err := parse(post+strings.Repeat("x", 8000)+"\r\n\r\n", 4096); err == nil || len(err.Error()) > 100 {
		t.Errorf("have %v, want a short error", err)
	}
}

func TestConnectionAndExpect(t *testing.T) {
	for head, want := range map[string]bool{
		"HTTP/1.1": false, "HTTP/1.1\r\nConnection: x, Close": true,
		"HTTP/1.0": true, "HTTP/1.0\r\nConnection: keep-alive": false,
	} {
		if got, err := parse("GET / "+head+"\r\n\r\n", 99); err != nil || got[0].Close != want {
			t.Errorf("%q: close is %v, %v", head, !want, err)
		}
	}
	var p RequestParser
	p.Feed([]byte(post + "Expect: 100-Continue\r\nContent-Length: 1\r\n\r\n"))
	if r, err := p.Next(); r != nil || err != nil || !p.TakeContinue() || p.TakeContinue() {
		t.Errorf("100 Continue: want it asked for exactly once; have request %v, error %v", r, err)
	}
}

func TestResponses(t *testing.T) {
	const ok = "HTTP/1.1 200 OK\r\n"
	for text, want := range map[string]string{
		ok + "Content-Length: 2\r\n\r\nab":                           "200 ab done",
		ok + "Transfer-Encoding: chunked\r\n\r\n2\r\nab\r\n":         "200 ab",
		ok + "Transfer-Encoding: chunked\r\n\r\n1\r\na\r\n0\r\n\r\n": "200 a done",
		ok + "\r\nab":                           "200 ab",
		"HTTP/1.1 503 No\r\n\r\n":               "503 ",
		"HTTP/1.1 200\r\n\r\n":                  "200 ",
		"HTTP/1.1 20 OK\r\n\r\n":                "error",
		"ICY 200 OK\r\n\r\n":                    "error",
		ok + "Content-Length: x\r\n\r\n":        "error",
		ok + strings.Repeat("X: yyy\r\n", 4000): "error",
	} {
		var p ResponseParser
		var got strings.Builder
		var head *Response
		var err error
		for i := 0; i < len(text) && err == nil; i++ {
			head, err = p.Feed([]byte(text[i:i+1]), func(b []byte) error { got.Write(b); return nil })
		}
		have := "error"
		if err == nil && head != nil {
			have = strings.Split(text, " ")[1][:3] + " " + got.String()
			if p.Done() {
				have += " done"
			}
		}
		if have != want {
			t.Errorf("%q: have %q, %v; want %q", text, have, err, want)
		}
	}
}

func TestAppend(t *testing.T) {
	got := string(AppendResponse(nil, 503, []byte("ab"), true, Field{"Retry-After", "0.250"}))
	if got != "HTTP/1.1 503 Service Unavailable\r\nRetry-After: 0.250\r\nConnection: close\r\nContent-Length: 2\r\n\r\nab" {
		t.Errorf("response %q", got)
	}
	if got := string(AppendRequest(nil, "GET", "/x", "h:1")); got != "GET /x HTTP/1.1\r\nHost: h:1\r\n\r\n" {
		t.Errorf("request %q", got)
	}
}

// FuzzAgainstStandardLibrary compares the parser with net/http: every request that this
// parser accepts, net/http must accept too, with the same body. A request that two parsers
// understand differently allows request smuggling.
func FuzzAgainstStandardLibrary(f *testing.F) {
	for _, s := range []string{
		post + "Content-Length: 3\r\n\r\nabc",
		post + "Transfer-Encoding: chunked\r\n\r\n1;a=b\r\na\r\n2 \r\nbc\r\n0\r\nX: y\r\n\r\n",
		post + "Host: c\r\n\r\n", "GET /%41?%zz HTTP/1.0\r\nConnection: keep-alive\r\n\r\n",
		post + "Transfer-Encoding: chunked\r\nTrailer: X\r\n\r\n1;x\n\r\na\r\n0\r\n\r\n",
	} {
		f.Add(s)
	}
	f.Fuzz(func(t *testing.T, text string) {
		list, _ := parse(text, len(text)+1)
		if len(list) == 0 {
			return
		}
		ours := list[0]
		for strings.HasPrefix(text, "\r\n") {
			text = text[2:] // net/http accepts no blank lines before a request
		}
		theirs, err := http.ReadRequest(bufio.NewReaderSize(strings.NewReader(text), 1<<20))
		if err != nil {
			t.Fatalf("%q: net/http rejects it: %v", text, err)
		}
		body, err := io.ReadAll(theirs.Body)
		if err != nil || string(body) != string(ours.Body) || theirs.Method != ours.Method || theirs.RequestURI != ours.Target {
			t.Fatalf("%q: ours %s %s with %q, theirs %s %s with %q, %v", text, ours.Method, ours.Target, ours.Body, theirs.Method, theirs.RequestURI, body, err)
		}
	})
}

// FuzzRequests checks that the parser keeps to its limits and returns the same requests
// however the bytes are split.
func FuzzRequests(f *testing.F) {
	f.Add(post + "Content-Length: 3\r\n\r\nabc" + post + "Transfer-Encoding: chunked\r\n\r\n1\r\na\r\n0\r\n\r\n")
	f.Fuzz(func(t *testing.T, text string) {
		whole, err := parse(text, len(text))
		for _, r := range whole {
			if len(r.Body) > MaxBody {
				t.Errorf("a body of %d bytes", len(r.Body))
			}
		}
		if split, splitErr := parse(text, 3); (err == nil) == (splitErr == nil) && !reflect.DeepEqual(whole, split) {
			t.Errorf("%q: whole %v, split %v", text, whole, split)
		}
	})
}
