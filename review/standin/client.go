package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"time"
)

// query is a request of a client.
type query struct {
	trace   string
	class   string
	shards  []int
	text    string
	timeout time.Duration
	key     string // idempotency key, in a keyed class
}

var traces atomic.Uint64

// newTrace returns a trace id that was not used before.
func newTrace() string { return fmt.Sprintf("%016x", traces.Add(1)*0x9e3779b97f4a7c15) }

// bytes returns the request.
func (q query) bytes() []byte {
	type tablet struct {
		Tablet   int     `json:"tablet"`
		Fraction float64 `json:"fraction"`
	}
	var b struct {
		Tablets   []tablet `json:"tablets"`
		Statement string   `json:"statement"`
	}
	for _, s := range q.shards {
		b.Tablets = append(b.Tablets, tablet{s, 1 / float64(len(q.shards))})
	}
	b.Statement = q.text
	body, err := json.Marshal(b)
	if err != nil {
		panic(err)
	}
	key := ""
	if q.key != "" {
		key = "Idempotency-Key: " + q.key + "\r\n"
	}
	return fmt.Appendf(nil, "POST /%s HTTP/1.1\r\nHost: backend.local\r\nX-Trace-Id: %s\r\nX-Qos: %s\r\nX-Expires-In-Ms: %d\r\n%sContent-Length: %d\r\n\r\n%s",
		q.class, q.trace, q.class, q.timeout.Milliseconds(), key, len(body), body)
}

// answer is a gatherer's answer.
type answer struct {
	status int
	full   bool
	pieces map[int]string // value by shard
	close  bool
	epoch  uint64 // of the layout, if the answer bears one
}

// readAnswer reads one answer.
func readAnswer(in *bufio.Reader) (a answer, err error) {
	r, err := http.ReadResponse(in, nil)
	if err != nil {
		return a, err
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return a, err
	}
	a.status, a.close, a.epoch = r.StatusCode, r.Close, epochOf(r.Header)
	if a.status != http.StatusOK {
		return a, nil
	}
	var b struct {
		Full   bool `json:"full"`
		Pieces []struct {
			Tablet int    `json:"tablet"`
			Cell   string `json:"cell"`
		} `json:"pieces"`
	}
	if err := json.Unmarshal(body, &b); err != nil {
		return a, fmt.Errorf("the answer's body: %w", err)
	}
	a.full, a.pieces = b.Full, make(map[int]string)
	for _, p := range b.Pieces {
		a.pieces[p.Tablet] = p.Cell
	}
	return a, nil
}

// client is a client with one connection, on which it sends one request at a time.
type client struct {
	addr string
	conn net.Conn
	in   *bufio.Reader
}

// ask sends a query and waits for its answer, up to grace past the query's time.
func (c *client) ask(q query, grace time.Duration) (a answer, err error) {
	if c.conn == nil {
		if c.conn, err = net.DialTimeout("tcp", c.addr, time.Second); err != nil {
			return a, err
		}
		c.in = bufio.NewReader(c.conn)
	}
	c.conn.SetDeadline(time.Now().Add(q.timeout + grace))
	if _, err = c.conn.Write(q.bytes()); err == nil {
		a, err = readAnswer(c.in)
	}
	if err != nil || a.close {
		c.conn.Close()
		c.conn = nil
	}
	return a, err
}

func (c *client) end() {
	if c.conn != nil {
		c.conn.Close()
		c.conn = nil
	}
}

// describe describes an answer in short.
func (a answer) describe() string {
	var values []string
	for s, v := range a.pieces {
		values = append(values, fmt.Sprintf("%d=%q", s, v))
	}
	return fmt.Sprintf("%d full=%v %s", a.status, a.full, strings.Join(values, " "))
}
