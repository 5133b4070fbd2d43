// Package admin is how operators and a coordinator talk to a running gatherer or
// coordinator: HTTP with JSON on a socket of the machine itself, a Unix socket or
// a loopback port. It is off unless the operators' file names a socket, and never
// on an address that others reach: it has no passwords.
package admin

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"io/fs"
	"net"
	"net/http"
	"os"
	"strings"
	"time"

	"eiderwinch/internal/durable"
)

// Bounds of what is taken. A layout of 10,000 segments with three holders each
// is some 2 MB.
const (
	maxBody    = 64 << 20
	maxHead    = 16 << 10
	headTime   = 2 * time.Second
	bodyTime   = 10 * time.Second
	idleTime   = 30 * time.Second
	closeTime  = 2 * time.Second
	socketMode = 0o600 // its owner alone
)

// Listen listens at an endpoint, "unix:PATH" or a loopback address and a port. A
// socket that a killed process has left is taken over; one that a living process
// serves is not.
func Listen(endpoint string) (net.Listener, error) {
	network, addr := split(endpoint)
	if network == "unix" {
		if err := clear(addr); err != nil {
			return nil, fmt.Errorf("admin socket %s: %w", endpoint, err)
		}
	} else if host, _, err := net.SplitHostPort(addr); err != nil || !net.ParseIP(host).IsLoopback() {
		return nil, fmt.Errorf("admin socket %s: want unix:PATH or a loopback address and a port", endpoint)
	}
	var l net.Listener
	err := durable.Within(durable.ReadTime, func() (err error) {
		l, err = net.Listen(network, addr)
		return err
	})
	if err == nil && network == "unix" {
		err = os.Chmod(addr, socketMode)
	}
	if err != nil {
		return nil, fmt.Errorf("admin socket %s: %w", endpoint, err)
	}
	return l, nil
}

func split(endpoint string) (network, addr string) {
	if path, ok := strings.CutPrefix(endpoint, "unix:"); ok {
		return "unix", path
	}
	return "tcp", endpoint
}

var errServed = errors.New("another process serves it")

// clear removes a socket that nobody serves.
func clear(path string) error {
	info, err := os.Lstat(path)
	if errors.Is(err, fs.ErrNotExist) {
		return nil
	}
	if err != nil {
		return err
	}
	if info.Mode()&fs.ModeSocket == 0 {
		return errors.New("there is a file that is no socket")
	}
	if c, err := net.DialTimeout("unix", path, headTime); err == nil {
		return errors.Join(errServed, c.Close())
	}
	return os.Remove(path)
}

// Server serves a handler until it is closed.
type Server struct {
	http http.Server
	addr string
	done chan error
}

// Serve serves a handler at an endpoint.
func Serve(endpoint string, h http.Handler) (*Server, error) {
	l, err := Listen(endpoint)
	if err != nil {
		return nil, err
	}
	s := &Server{
		http: http.Server{
			Handler: http.MaxBytesHandler(h, maxBody), MaxHeaderBytes: maxHead,
			ReadHeaderTimeout: headTime, ReadTimeout: bodyTime, WriteTimeout: bodyTime, IdleTimeout: idleTime,
		},
		addr: endpoint, done: make(chan error, 1),
	}
	if l.Addr().Network() != "unix" {
		s.addr = l.Addr().String()
	}
	go func() { s.done <- s.http.Serve(patientListener{l}) }()
	return s, nil
}

// patientListener bears failures of accept: a server that ends with the first would be gone for good.
type patientListener struct{ net.Listener }

// acceptWait is how long accept rests after a failure.
const acceptWait = 20 * time.Millisecond

// Accept implements net.Listener. It fails only once the listener is closed.
func (l patientListener) Accept() (net.Conn, error) {
	for {
		c, err := l.Listener.Accept()
		if err == nil || errors.Is(err, net.ErrClosed) {
			return c, err
		}
		time.Sleep(acceptWait)
	}
}

// Endpoint is where it serves, with the port that it was given.
func (s *Server) Endpoint() string { return s.addr }

// Close lets open requests end for a while, and then breaks them.
func (s *Server) Close() error {
	ctx, stop := context.WithTimeout(context.Background(), closeTime)
	defer stop()
	if err := s.http.Shutdown(ctx); err != nil {
		_ = s.http.Close()
	}
	if err := <-s.done; !errors.Is(err, http.ErrServerClosed) {
		return err
	}
	return nil
}

// Client talks to one endpoint.
type Client struct {
	endpoint string
	http     http.Client
}

// NewClient returns a client of an endpoint, whose calls take so long at the
// most. With wrap, which may be nil, tests come between.
func NewClient(endpoint string, timeout time.Duration, wrap func(http.RoundTripper) http.RoundTripper) *Client {
	network, addr := split(endpoint)
	var dialer net.Dialer
	var t http.RoundTripper = &http.Transport{
		DialContext: func(ctx context.Context, _, _ string) (net.Conn, error) {
			return dialer.DialContext(ctx, network, addr)
		},
		MaxIdleConnsPerHost: 1, IdleConnTimeout: idleTime / 2, MaxResponseHeaderBytes: maxHead,
	}
	if wrap != nil {
		t = wrap(t)
	}
	return &Client{endpoint: endpoint, http: http.Client{Transport: t, Timeout: timeout}}
}

// Close closes idle connections.
func (c *Client) Close() { c.http.CloseIdleConnections() }

// Error is an answer that tells of a fault.
type Error struct {
	Status int    `json:"-"`
	Text   string `json:"error"`
}

func (e *Error) Error() string { return e.Text }

// Do asks and reads the answer into out, which may be nil. The body is sent as
// it is where it is a []byte, else as JSON; nil sends none.
func (c *Client) Do(ctx context.Context, method, path string, in, out any) error {
	body, ok := in.([]byte)
	if !ok && in != nil {
		var err error
		if body, err = json.Marshal(in); err != nil {
			return err
		}
	}
	req, err := http.NewRequestWithContext(ctx, method, "http://admin"+path, bytes.NewReader(body))
	if err != nil {
		return err
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return fmt.Errorf("admin socket %s: %w", c.endpoint, err)
	}
	defer resp.Body.Close()
	text, err := io.ReadAll(io.LimitReader(resp.Body, maxBody))
	if err != nil {
		return fmt.Errorf("admin socket %s: %w", c.endpoint, err)
	}
	if resp.StatusCode >= 300 {
		e := &Error{Status: resp.StatusCode}
		if json.Unmarshal(text, e) != nil || e.Text == "" {
			e.Text = fmt.Sprintf("admin socket %s: %s", c.endpoint, resp.Status)
		}
		return e
	}
	if raw, ok := out.(*[]byte); ok {
		*raw = text
		return nil
	}
	if out == nil {
		return nil
	}
	if err := json.Unmarshal(text, out); err != nil {
		return fmt.Errorf("admin socket %s: answer: %w", c.endpoint, err)
	}
	return nil
}

// Answer writes an answer as JSON.
func Answer(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v) // where it fails, whoever asked has left
}

// Refuse answers with a fault.
func Refuse(w http.ResponseWriter, status int, err error) {
	Answer(w, status, &Error{Text: err.Error()})
}

// Read reads a request's JSON. Where it can't, it refuses the request and returns
// false.
func Read(w http.ResponseWriter, r *http.Request, v any) bool {
	d := json.NewDecoder(r.Body)
	d.DisallowUnknownFields()
	if err := d.Decode(v); err != nil {
		Refuse(w, http.StatusBadRequest, err)
		return false
	}
	return true
}
