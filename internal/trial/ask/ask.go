// Package ask asks a gatherer one query over HTTP and reads its answer, as branch
// counters do. The demo, the soaks and the load tool ask through it.
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

// Query is what is asked. Its segments have equal weights.
type Query struct {
	Class, Trace string
	Key          string        // idempotency key; empty: none
	Expires      time.Duration // how long its client waits; 0: it does not say
	Epoch        uint64        // of the layout that its client knows; 0: it does not say
	Segments     []int
	Statement    string
	About        string // the key that it is about; empty: none
	Tenant       string // whose it is; empty: nobody's
}

// Answer is what came of it. Where there is an error, it holds what was known by then.
type Answer struct {
	Sent, Done time.Time // Done is zero where there was no answer
	Status     int       // 0 where there was none
	Full       bool
	Pieces     []Piece
	Epoch      uint64 // that it was answered in; 0: it does not say
	Generation uint64 // of the settings that it was taken under; 0: it does not say
}

// Piece is one searcher's value.
type Piece struct {
	Tablet int    `json:"tablet"`
	Cell   string `json:"cell"`
}

// Do asks a gatherer at an address. An answer other than 200 is no error.
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
	text, err := json.Marshal(body)
	if err != nil {
		return a, err
	}
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+addr+"/"+q.Class, bytes.NewReader(text))
	if err != nil {
		return a, err
	}
	r.Header.Set("X-Trace-Id", q.Trace)
	r.Header.Set("X-Qos", q.Class)
	if q.Key != "" {
		r.Header.Set("Idempotency-Key", q.Key)
	}
	if q.About != "" {
		r.AddCookie(&http.Cookie{Name: "user", Value: q.About})
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
	answer, err := io.ReadAll(resp.Body)
	a.Done, a.Status = time.Now(), resp.StatusCode
	a.Generation, _ = strconv.ParseUint(resp.Header.Get("X-Config-Generation"), 10, 64)
	a.Epoch, _ = strconv.ParseUint(resp.Header.Get("X-Layout-Epoch"), 10, 64)
	if err != nil || a.Status != http.StatusOK {
		return a, err
	}
	got := struct {
		Full   bool    `json:"full"`
		Pieces []Piece `json:"pieces"`
	}{}
	if err := json.Unmarshal(answer, &got); err != nil {
		return a, fmt.Errorf("the answer can't be read: %w", err)
	}
	a.Full, a.Pieces = got.Full, got.Pieces
	return a, nil
}
