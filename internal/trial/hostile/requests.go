package hostile

import (
	"fmt"
	"strings"
	"time"
)

// Sizes of requests, in bytes.
const (
	largestHead = 16 << 10
	largestBody = 64 << 10
	largeText   = 60 << 10
)

// UsualWait is how long the clients wait for an answer, in their requests.
const UsualWait = 657 * time.Millisecond

const healthRequest = "GET /_health HTTP/1.1\r\nHost: b\r\n\r\n"

// request returns a query as HTTP. Fields are further header fields, each ended by a line end.
func request(class, trace, fields, body string) string {
	return requestHead(class, trace, fields, len(body)) + body
}

// requestHead returns the head of a query with a body of the given length in bytes.
func requestHead(class, trace, fields string, length int) string {
	return fmt.Sprintf("POST /%s HTTP/1.1\r\nHost: b\r\nX-Trace-Id: %s\r\nX-Qos: %s\r\nX-Expires-In-Ms: %d\r\n%sContent-Length: %d\r\n\r\n",
		class, trace, class, UsualWait.Milliseconds(), fields, length)
}

// queryBody returns the body of a query for some segments from first on, with a text of at least the given length.
func queryBody(first, parts, segments, textLength int) string {
	var tablets []string
	for i := range parts {
		tablets = append(tablets, fmt.Sprintf(`{"tablet":%d,"fraction":%.4f}`, (first+i)%segments, 1/float64(parts)))
	}
	text := "find fullest" // letters and spaces alone, which JSON needs no escapes for
	if pad := textLength - len(text); pad > 0 {
		text += " " + strings.Repeat("x", pad)
	}
	return `{"tablets":[` + strings.Join(tablets, ",") + `],"statement":"` + text + `"}`
}

// largeBody returns the body of a sound query of nearly the largest size for four segments.
func largeBody(segments int) string { return queryBody(0, 4, segments, largeText) }

// largeBodyForAll returns the body of a sound query of nearly the largest size for all segments.
func largeBodyForAll(segments int) string { return queryBody(0, segments, segments, largeText) }

// wideBody returns a body of the largest size that consists of parts.
func wideBody(int) string {
	const tablet = `{"tablet":1,"fraction":0},`
	return `{"tablets":[` + strings.Repeat(tablet, (largestBody-100)/len(tablet)) + `{"tablet":1,"fraction":1}],"statement":"x"}`
}

// nestedBody returns a body of opening brackets.
func nestedBody(int) string { return strings.Repeat("[", 9000) + strings.Repeat(`{"a":`, 10000) }
