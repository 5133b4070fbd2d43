package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"time"
)

// answer is what a client got for a query.
type answer struct {
	status int // 0: no answer
	body   string
	took   time.Duration
	err    error
}

var httpClient = &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 64}}

// ask sends one query with one part for each shard, and waits for its answer.
func (t *trial) ask(addr, class string, shards []int, statement, key string, wait time.Duration) answer {
	type part struct {
		Tablet   int     `json:"tablet"`
		Fraction float64 `json:"fraction"`
	}
	body := struct {
		Tablets   []part `json:"tablets"`
		Statement string `json:"statement"`
	}{Statement: statement}
	for _, s := range shards {
		body.Tablets = append(body.Tablets, part{s, 1 / float64(len(shards))})
	}
	text, err := json.Marshal(body)
	if err != nil {
		return answer{err: err}
	}
	r, err := http.NewRequest(http.MethodPost, "http://"+addr+"/"+class, bytes.NewReader(text))
	if err != nil {
		return answer{err: err}
	}
	trace := fmt.Sprintf("%016x", rand.Uint64())
	r.Header.Set("X-Trace-Id", trace)
	r.Header.Set("X-Qos", class)
	r.Header.Set("X-Expires-In-Ms", strconv.FormatInt(wait.Milliseconds(), 10))
	if key != "" {
		r.Header.Set("Idempotency-Key", key)
	}
	began := time.Now()
	t.note("client: %s %s, shards %v, key %q, %d bytes", class, trace, shards, key, len(text))
	response, err := httpClient.Do(r)
	a := answer{err: err}
	if err == nil {
		var b []byte
		b, a.err = io.ReadAll(response.Body)
		_ = response.Body.Close()
		a.status, a.body = response.StatusCode, string(b)
	}
	a.took = time.Since(began)
	t.note("client: %s got %d after %v: %.120s", trace, a.status, a.took.Round(time.Millisecond), a.body)
	return a
}
