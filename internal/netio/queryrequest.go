package netio

import (
	"encoding/json"
	"fmt"
	"strconv"
	"strings"
	"time"

	"eiderwinch/internal/format/http1"
	"eiderwinch/internal/gatherer"
	"eiderwinch/internal/layout"
)

// usedFields are the header fields that queries and the rules of HTTP need.
var usedFields = map[string]bool{
	"x-trace-id": true, "x-qos": true, "idempotency-key": true, "x-second-try": true, "x-customer": true, "x-expires-in-ms": true,
	"cookie": true, epochHeader: true,
}

// keepField reports whether a header field is needed once its head has been parsed.
func keepField(name string) bool { return usedFields[name] }

// queryBody is the body of a query.
type queryBody[T any] struct {
	Tablets   T       `json:"tablets"`
	Statement *string `json:"statement"`
}

// tablet is one part in the body of a query.
type tablet struct {
	Tablet   *int     `json:"tablet"`
	Fraction *float64 `json:"fraction"`
	Token    string   `json:"token"`
}

// parseBody reads the parts and the text of a query. maxParts is as for parseTablets; a short body can't have so many parts
// that it matters.
func parseBody(text []byte, maxParts int) (tablets []tablet, statement string, err error) {
	var short queryBody[[]tablet]
	var long queryBody[json.RawMessage]
	if len(text) <= maxInlineBody {
		err = json.Unmarshal(text, &short)
	} else {
		err = json.Unmarshal(text, &long)
		short.Statement = long.Statement
	}
	if err != nil {
		return nil, "", fmt.Errorf("%w: %w", gatherer.ErrInvalid, err)
	}
	if short.Statement == nil {
		return nil, "", fmt.Errorf("%w: statement is missing", gatherer.ErrInvalid)
	}
	if len(text) > maxInlineBody {
		if short.Tablets, err = parseTablets(long.Tablets, maxParts); err != nil {
			return nil, "", err
		}
	}
	return short.Tablets, *short.Statement, nil
}

// parseTablets reads the parts of a query. More than maxParts are rejected before they are read: each takes far more
// memory and time than its bytes. 0 means no such limit.
func parseTablets(text json.RawMessage, maxParts int) (list []tablet, err error) {
	if len(text) == 0 {
		return nil, nil
	}
	if n := countElements(text); maxParts > 0 && n > maxParts {
		return nil, fmt.Errorf("%w: found %d parts, want at most %d", gatherer.ErrInvalid, n, maxParts)
	}
	if err := json.Unmarshal(text, &list); err != nil {
		return nil, fmt.Errorf("%w: %w", gatherer.ErrInvalid, err)
	}
	return list, nil
}

// countElements returns the number of elements of a valid JSON array, or 1 for another value.
func countElements(text []byte) int {
	depth, count, inString, empty := 0, 1, false, true
	for i := 0; i < len(text); i++ {
		c := text[i]
		switch {
		case inString && c == '\\':
			i++
		case c == '"':
			inString, empty = !inString, false
		case inString, c == ' ', c == '\t', c == '\n', c == '\r':
		case c == '[' || c == '{':
			depth++
			empty = empty && depth == 1
		case c == ']' || c == '}':
			depth--
		case c == ',' && depth == 1:
			count++
		default:
			empty = false
		}
	}
	if empty {
		return 0
	}
	return count
}

// maxParts returns how many parts a query may have: without a layout, each shard occurs once at most. With a layout, a
// query may use the segments of an older epoch, whose number is not known here: then it returns 0.
func (n *Node) maxParts() int {
	if n.core.Epoch() != 0 {
		return 0
	}
	return n.cfg.Gatherer.Module.Shards
}

// parseQuery reads a query from a request. maxParts is as for parseTablets.
func parseQuery(path string, r *http1.Request, maxParts int) (gatherer.QueryRequest, error) {
	query := gatherer.QueryRequest{
		Trace:          r.Header.Get("x-trace-id"),
		Class:          r.Header.Get("x-qos"),
		IdempotencyKey: r.Header.Get("idempotency-key"),
		Repeat:         r.Header.Get("x-second-try") == "1",
		Tenant:         r.Header.Unambiguous("x-customer"),
		SubjectKey:     cookieKey(r.Header),
	}
	first, _, _ := strings.Cut(strings.TrimPrefix(path, "/"), "/")
	if query.Class == "" {
		query.Class = first
	}
	if first != query.Class {
		return query, fmt.Errorf("%w: the path does not begin with the class %q", gatherer.ErrInvalid, query.Class)
	}
	if !isValidName(query.Trace) || query.IdempotencyKey != "" && !isValidName(query.IdempotencyKey) {
		return query, fmt.Errorf("%w: malformed trace id or idempotency key", gatherer.ErrInvalid)
	}
	if s := r.Header.Get("x-expires-in-ms"); s != "" {
		ms, err := strconv.ParseUint(s, 10, 31)
		if err != nil || ms == 0 {
			return query, fmt.Errorf("%w: X-Expires-In-Ms is %q, want milliseconds from 1 on", gatherer.ErrInvalid, s)
		}
		query.Timeout = time.Duration(ms) * time.Millisecond
	}
	if s := r.Header.Get(epochHeader); s != "" {
		epoch, err := strconv.ParseUint(s, 10, 64)
		if err != nil || epoch == 0 {
			return query, fmt.Errorf("%w: %s is %q, want a number from 1 on", gatherer.ErrInvalid, epochHeader, s)
		}
		query.Epoch = layout.Epoch(epoch)
	}
	tablets, text, err := parseBody(r.Body, maxParts)
	if err != nil {
		return query, err
	}
	query.Text = text
	for i, t := range tablets {
		if t.Tablet == nil || t.Fraction == nil {
			return query, fmt.Errorf("%w: tablets[%d] lacks tablet or fraction", gatherer.ErrInvalid, i)
		}
		if i == 0 && query.SubjectKey == "" && isValidKey(t.Token) {
			query.SubjectKey = t.Token // the token stands for the key and this part's shard
		}
		query.Parts = append(query.Parts, gatherer.PartRequest{Shard: *t.Tablet, Weight: *t.Fraction})
	}
	return query, nil
}

// keyCookie is the cookie with the key of a query, where queries have one: what the query is about.
const keyCookie = "user"

// cookieKey returns the key of a query from its cookies. It returns none if a value can't be a key, since a query
// without a key is served all the same, or if two keys differ, since neither can be trusted.
func cookieKey(h http1.Header) string {
	key := ""
	for _, f := range h {
		if f.Name != "cookie" {
			continue
		}
		for pair := range strings.SplitSeq(f.Value, ";") {
			name, value, _ := strings.Cut(strings.TrimSpace(pair), "=")
			switch {
			case name != keyCookie:
			case !isValidKey(value), key != "" && key != value:
				return ""
			default:
				key = value
			}
		}
	}
	return key
}

// maxKeyLength bounds a key: clients send 16 hex digits.
const maxKeyLength = 64

// isValidKey reports whether s can be the key of a query.
func isValidKey(s string) bool { return len(s) <= maxKeyLength && isValidName(s) }

const maxNameLength = 128

// isValidName reports whether s can be part of a frame to a searcher: it holds no blanks and none of the
// characters that separate the frame's fields.
func isValidName(s string) bool {
	for i := range len(s) {
		if s[i] <= ' ' || s[i] > '~' || s[i] == ',' || s[i] == '=' || s[i] == '+' {
			return false
		}
	}
	return s != "" && len(s) <= maxNameLength
}
