// Package fake provides fakes, on loopback, of the processes that a gatherer
// talks to: searchers that hold rows and remember reservations, and discovery.
// It is written from the protocol's description alone and shares no parser with
// the gatherer, so that a bug in one is not hidden by the same bug in the other.
// The demo, experiments and tests run against it.
package fake

import (
	"errors"
	"fmt"
	"net"
	"sync"
)

// Server accepts connections on loopback and serves each in a goroutine of its own.
type Server struct {
	listener net.Listener
	serve    func(net.Conn)

	mu      sync.Mutex
	conns   map[net.Conn]struct{}
	closed  bool
	running sync.WaitGroup // the accept loop and the connections' handlers
}

// maxConns is the maximum number of open connections of a Server. A searcher of the platform accepts 860 to 1,700.
const maxConns = 1700

// Listen starts a Server on a free loopback port. It runs serve in a goroutine of
// its own for each connection, which is closed when serve returns.
func Listen(serve func(net.Conn)) (*Server, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, fmt.Errorf("fake server: %w", err)
	}
	s := &Server{listener: l, serve: serve, conns: make(map[net.Conn]struct{})}
	s.running.Add(1)
	go s.accept()
	return s, nil
}

// Addr returns the address that s listens on.
func (s *Server) Addr() string { return s.listener.Addr().String() }

func (s *Server) accept() {
	defer s.running.Done()
	for {
		c, err := s.listener.Accept()
		if err != nil {
			return
		}
		if !s.register(c) {
			_ = c.Close()
			continue
		}
		go func() {
			defer s.running.Done()
			defer s.unregister(c)
			s.serve(c)
		}()
	}
}

// register adds an accepted connection. It returns false if s is closed or has
// maxConns connections.
func (s *Server) register(c net.Conn) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed || len(s.conns) >= maxConns {
		return false
	}
	s.conns[c] = struct{}{}
	s.running.Add(1)
	return true
}

// unregister closes a connection and removes it.
func (s *Server) unregister(c net.Conn) {
	_ = c.Close()
	s.mu.Lock()
	delete(s.conns, c)
	s.mu.Unlock()
}

// ResetConns resets all open connections.
func (s *Server) ResetConns() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.conns {
		if tcp, ok := c.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0)
		}
		_ = c.Close()
	}
}

// Close stops accepting connections, closes the open ones and waits until their
// handlers have returned.
func (s *Server) Close() error {
	s.mu.Lock()
	s.closed = true
	for c := range s.conns {
		_ = c.Close()
	}
	s.mu.Unlock()
	err := s.listener.Close()
	s.running.Wait()
	if errors.Is(err, net.ErrClosed) {
		return nil
	}
	return err
}
