// Package admin implements the admin socket, over which operators and a coordinator
// control a running gatherer or coordinator: JSON over HTTP on a Unix socket or a
// loopback port. It is off unless the operators' file names a socket. It never
// listens on an address that other machines can reach, because it has no
// authentication.
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

// Limits of requests. A layout of 10,000 segments with three holders each is about
// 2 MB.
const (
	maxBodyBytes   = 64 << 20
	maxHeaderBytes = 16 << 10
	headerTimeout  = 2 * time.Second
	bodyTimeout    = 10 * time.Second
	idleTimeout    = 30 * time.Second
	closeTimeout   = 2 * time.Second
	socketMode     = 0o600 // access for the owner only
)

// Listen listens at an endpoint, "unix:PATH" or a loopback address and a port. It
// replaces a socket left behind by a killed process, but not one that a running
// process serves.
func Listen(endpoint string) (net.Listener, error) {
	network, addr := splitEndpoint(endpoint)
	if network == "unix" {
		if err := removeStaleSocket(addr); err != nil {
			return nil, fmt.Errorf("admin socket %s: %w", endpoint, err)
		}
	} else if host, _, err := net.SplitHostPort(addr); err != nil || !net.ParseIP(host).IsLoopback() {
		return nil, fmt.Errorf("admin socket %s: want unix:PATH or a loopback address and a port", endpoint)
	}
	var l net.Listener
	err := durable.RetryTransient(durable.ReadTimeout, func() (err error) {
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

func splitEndpoint(endpoint string) (network, addr string) {
	if path, ok := strings.CutPrefix(endpoint, "unix:"); ok {
		return "unix", path
	}
	return "tcp", endpoint
}

var errInUse = errors.New("another process listens on it")

// removeStaleSocket removes a socket that no process serves.
func removeStaleSocket(path string) error {
	info, err := os.Lstat(path)
	if errors.Is(err, fs.ErrNotExist) {
		return nil
	}
	if err != nil {
		return err
	}
	if info.Mode()&fs.ModeSocket == 0 {
		return errors.New("the path exists and is not a socket")
	}
	if c, err := net.DialTimeout("unix", path, headerTimeout); err == nil {
		return errors.Join(errInUse, c.Close())
	}
	return os.Remove(path)
}

// Server is an HTTP server at an endpoint.
type Server struct {
	http http.Server
	addr string
	done chan error
}

// Serve starts a server for a handler at an endpoint.
func Serve(endpoint string, h http.Handler) (*Server, error) {
	l, err := Listen(endpoint)
	if err != nil {
		return nil, err
	}
	s := &Server{
		http: http.Server{
			Handler: http.MaxBytesHandler(h, maxBodyBytes), MaxHeaderBytes: maxHeaderBytes,
			ReadHeaderTimeout: headerTimeout, ReadTimeout: bodyTimeout, WriteTimeout: bodyTimeout, IdleTimeout: idleTimeout,
		},
		addr: endpoint, done: make(chan error, 1),
	}
	if l.Addr().Network() != "unix" {
		s.addr = l.Addr().String()
	}
	go func() { s.done <- s.http.Serve(retryListener{l}) }()
	return s, nil
}

// retryListener retries accept after a failure, because http.Server.Serve would end for
// good at the first one that is not temporary.
type retryListener struct{ net.Listener }

// acceptRetryDelay is the pause after a failed accept.
const acceptRetryDelay = 20 * time.Millisecond

// Accept implements net.Listener. It fails only once the listener is closed.
func (l retryListener) Accept() (net.Conn, error) {
	for {
		c, err := l.Listener.Accept()
		if err == nil || errors.Is(err, net.ErrClosed) {
			return c, err
		}
		time.Sleep(acceptRetryDelay)
	}
}

// Endpoint returns the endpoint that the server listens on, with the actual port.
func (s *Server) Endpoint() string { return s.addr }

// Close waits up to closeTimeout for open requests to end, then aborts them.
func (s *Server) Close() error {
	ctx, stop := context.WithTimeout(context.Background(), closeTimeout)
	defer stop()
	if err := s.http.Shutdown(ctx); err != nil {
		_ = s.http.Close()
	}
	if err := <-s.done; !errors.Is(err, http.ErrServerClosed) {
		return err
	}
	return nil
}

// Client is a client of one admin socket.
type Client struct {
	endpoint string
	http     http.Client
}

// NewClient returns a client of an endpoint whose requests end after timeout. With
// wrap, which may be nil, tests intercept requests.
func NewClient(endpoint string, timeout time.Duration, wrap func(http.RoundTripper) http.RoundTripper) *Client {
	network, addr := splitEndpoint(endpoint)
	var dialer net.Dialer
	var t http.RoundTripper = &http.Transport{
		DialContext: func(ctx context.Context, _, _ string) (net.Conn, error) {
			return dialer.DialContext(ctx, network, addr)
		},
		MaxIdleConnsPerHost: 1, IdleConnTimeout: idleTimeout / 2, MaxResponseHeaderBytes: maxHeaderBytes,
	}
	if wrap != nil {
		t = wrap(t)
	}
	return &Client{endpoint: endpoint, http: http.Client{Transport: t, Timeout: timeout}}
}

// Close closes idle connections.
func (c *Client) Close() { c.http.CloseIdleConnections() }

// Error is an error response.
type Error struct {
	Status int    `json:"-"`
	Text   string `json:"error"`
}

func (e *Error) Error() string { return e.Text }

// Do sends a request and decodes the response into out, which may be nil; a *[]byte
// gets the response as it is. If in is a []byte, it is sent as it is, else as JSON;
// nil sends no body.
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
	text, err := io.ReadAll(io.LimitReader(resp.Body, maxBodyBytes))
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
		return fmt.Errorf("admin socket %s: invalid response: %w", c.endpoint, err)
	}
	return nil
}

// WriteJSON writes a response as JSON.
func WriteJSON(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v) // fails only if the client has disconnected
}

// WriteError writes an error response.
func WriteError(w http.ResponseWriter, status int, err error) {
	WriteJSON(w, status, &Error{Text: err.Error()})
}

// ReadJSON decodes a request's JSON into v. If that fails, it refuses the request and
// returns false.
func ReadJSON(w http.ResponseWriter, r *http.Request, v any) bool {
	d := json.NewDecoder(r.Body)
	d.DisallowUnknownFields()
	if err := d.Decode(v); err != nil {
		WriteError(w, http.StatusBadRequest, err)
		return false
	}
	return true
}
