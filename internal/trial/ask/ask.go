// Package ask sends queries to a gatherer over HTTP and reads the answers, as clients do. The
// demo, the soaks, the load command and the test cluster use it.
package ask

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"time"
)

// Query is a query to a gatherer. Its segments have equal weights.
type Query struct {
	Class, Trace   string
	IdempotencyKey string        // empty if none
	Expires        time.Duration // how long the client waits for the answer; not sent if 0
	Epoch          uint64        // epoch of the layout that the client knows; not sent if 0
	Segments       []int
	Statement      string
	User           string // key of the user that the query is about, sent as a cookie; empty if none
	Tenant         string // empty if none
}

// Answer is the outcome of a query. After an error it holds what was received before.
type Answer struct {
	Sent, Done time.Time // Done is zero if there was no response
	Status     int       // HTTP status; 0 if there was no response
	Whole      bool      // whether the answer is marked as whole
	Pieces     []Piece
	Epoch      uint64 // epoch of the layout that the query was answered in; 0 if not given
	Generation uint64 // generation of the configuration that the query was accepted under; 0 if not given
}

// Piece is the value of one segment, as one searcher answered it.
type Piece struct {
	Segment int    `json:"tablet"`
	Value   string `json:"cell"`
}

// Do sends a query to the gatherer at addr and reads the answer. A status other than
// 200 is not an error.
func Do(ctx context.Context, client *http.Client, addr string, q Query) (a Answer, err error) {
	type tablet struct {
		Tablet   int     `json:"tablet"`
		Fraction float64 `json:"fraction"`
	}
	body := struct {
		Tablets   []tablet `json:"tablets"`
		Statement string   `json:"statement"`
	}{Statement: q.Statement}
	for _, s := range q.Segments {
		body.Tablets = append(body.Tablets, tablet{s, 1 / float64(len(q.Segments))})
	}
	requestBody, err := json.Marshal(body)
	if err != nil {
		return a, err
	}
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+addr+"/"+q.Class, bytes.NewReader(requestBody))
	if err != nil {
		return a, err
	}
	r.Header.Set("X-Trace-Id", q.Trace)
	r.Header.Set("X-Qos", q.Class)
	if q.IdempotencyKey != "" {
		r.Header.Set("Idempotency-Key", q.IdempotencyKey)
	}
	if q.User != "" {
		r.AddCookie(&http.Cookie{Name: "user", Value: q.User})
	}
	if q.Tenant != "" {
		r.Header.Set("X-Customer", q.Tenant)
	}
	if q.Expires > 0 {
		r.Header.Set("X-Expires-In-Ms", strconv.FormatInt(q.Expires.Milliseconds(), 10))
	}
	if q.Epoch > 0 {
		r.Header.Set("X-Layout-Epoch", strconv.FormatUint(q.Epoch, 10))
	}
	a.Sent = time.Now()
	resp, err := client.Do(r)
	if err != nil {
		return a, err
	}
	defer resp.Body.Close()
	responseBody, err := io.ReadAll(resp.Body)
	a.Done, a.Status = time.Now(), resp.StatusCode
	a.Generation, _ = strconv.ParseUint(resp.Header.Get("X-Config-Generation"), 10, 64)
	a.Epoch, _ = strconv.ParseUint(resp.Header.Get("X-Layout-Epoch"), 10, 64)
	if err != nil || a.Status != http.StatusOK {
		return a, err
	}
	parsed := struct {
		Full   bool    `json:"full"`
		Pieces []Piece `json:"pieces"`
	}{}
	if err := json.Unmarshal(responseBody, &parsed); err != nil {
		return a, fmt.Errorf("parse the answer: %w", err)
	}
	a.Whole, a.Pieces = parsed.Full, parsed.Pieces
	return a, nil
}
