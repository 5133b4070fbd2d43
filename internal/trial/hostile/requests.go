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
	return fmt.Sprintf("POST /%s HTTP/1.1\r\nHost: b\r\nX-Trace-Id: %s\r\nX-Qos: %s\r\nX-Expires-In-Ms: %d\r\n%sContent-Length: %d\r\n\r\n%s",
		class, trace, class, UsualWait.Milliseconds(), fields, len(body), body)
}

// queryBody returns the body of a query for some segments from first on, with a text of at least the given length.
func queryBody(first, parts, segments, textLength int) string {
	var tablets []string
	for i := range parts {
		tablets = append(tablets, fmt.Sprintf(`{"tablet":%d,"fraction":%.4f}`, (first+i)%segments, 1/float64(parts)))
	}
	text := "find fullest"
	if pad := textLength - len(text); pad > 0 {
		text += " " + strings.Repeat("x", pad)
	}
	return fmt.Sprintf(`{"tablets":[%s],"statement":%q}`, strings.Join(tablets, ","), text)
}
