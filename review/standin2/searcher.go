package main

import (
	"bytes"
	"context"
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"net"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

// arrival is a part whose last byte has reached a searcher.
type arrival struct {
	at       time.Time
	searcher string
	id       string
	shard    int
	key      string
	conn     net.Conn
	endByte  int // offset behind the last byte of its frame in what the connection has carried
}

// reply is how a searcher answers a part.
type reply struct {
	end, value string
	after      time.Duration
	reset      bool // the connection is reset instead

	// If above 0, the answer is spoilt: its length is this many bytes too short. These are written after pieceGap.
	short int
}

// pieceGap is the time between two pieces of a message: that for which a system holds back a second small write until the
// first is acknowledged, where TCP_NODELAY is not set.
const pieceGap = 40 * time.Millisecond

// searcher is a searcher on loopback that reads frames and answers parts, as the protocol
// page says.
type searcher struct {
	trial    *trial
	id       string
	listener net.Listener
	handle   func(arrival) reply

	mu       sync.Mutex
	hung     chan struct{} // closed when the searcher goes on; nil while it does not hang
	arrivals []arrival
	conns    map[net.Conn]int // bytes read from each connection
}

// The sockets of a searcher with small buffers: segments of the size that an Ethernet link has, where loopback's own have
// 64 KiB, and a receive buffer in proportion for the 1,700 connections that a searcher may hold.
const (
	ethernetSegment = 1460
	receiveBuffer   = 8 << 10
)

// newSearcher starts a searcher.
func newSearcher(t *trial, id string, smallBuffers bool, handle func(arrival) reply) (*searcher, error) {
	config := net.ListenConfig{}
	if smallBuffers {
		config.Control = func(_, _ string, c syscall.RawConn) (err error) {
			controlErr := c.Control(func(fd uintptr) {
				err = errors.Join(
					syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, syscall.TCP_MAXSEG, ethernetSegment),
					syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, receiveBuffer),
				)
			})
			if controlErr != nil {
				return controlErr
			}
			return err
		}
	}
	l, err := config.Listen(context.Background(), "tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s := &searcher{trial: t, id: id, listener: l, handle: handle, conns: make(map[net.Conn]int)}
	go s.accept()
	return s, nil
}

func (s *searcher) addr() string { return s.listener.Addr().String() }

func (s *searcher) accept() {
	for {
		c, err := s.listener.Accept()
		if err != nil {
			return
		}
		s.mu.Lock()
		s.conns[c] = 0
		s.mu.Unlock()
		go s.serve(c)
	}
}

func resetConn(c net.Conn) {
	if tcp, ok := c.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = c.Close()
}

// hang makes the searcher stand still: it reads and writes nothing until goOn.
func (s *searcher) hang() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.hung = make(chan struct{})
	s.trial.note("%s hangs", s.id)
}

// goOn ends a hang.
func (s *searcher) goOn() {
	s.mu.Lock()
	defer s.mu.Unlock()
	close(s.hung)
	s.hung = nil
	s.trial.note("%s goes on", s.id)
}

// standStill waits while the searcher hangs.
func (s *searcher) standStill() {
	s.mu.Lock()
	hung := s.hung
	s.mu.Unlock()
	if hung != nil {
		<-hung
	}
}

// received returns the parts that have arrived.
func (s *searcher) received() []arrival {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]arrival(nil), s.arrivals...)
}

// readFull is io.ReadFull for a searcher that may hang: it looks before each small read.
func (s *searcher) readFull(c net.Conn, b []byte) error {
	for len(b) > 0 {
		s.standStill()
		_ = c.SetReadDeadline(time.Now().Add(20 * time.Millisecond))
		n, err := c.Read(b[:min(len(b), 4096)])
		b = b[n:]
		s.mu.Lock()
		s.conns[c] += n
		s.mu.Unlock()
		if err != nil && !isTimeout(err) {
			return err
		}
	}
	return nil
}

func isTimeout(err error) bool {
	e, ok := err.(net.Error)
	return ok && e.Timeout()
}

func (s *searcher) serve(c net.Conn) {
	defer func() {
		s.mu.Lock()
		delete(s.conns, c)
		s.mu.Unlock()
		_ = c.Close()
	}()
	var write sync.Mutex
	for {
		var size [4]byte
		if s.readFull(c, size[:]) != nil {
			return
		}
		n := binary.BigEndian.Uint32(size[:])
		if n == 0 || n > 8<<20 {
			return
		}
		body := make([]byte, n)
		if s.readFull(c, body) != nil {
			return
		}
		at := time.Now()
		s.mu.Lock()
		endByte := s.conns[c]
		s.mu.Unlock()
		switch body[0] {
		case 'q':
			list, err := parseCall(body[1:])
			if err != nil {
				s.trial.note("%s can't read a call: %v", s.id, err)
				return
			}
			for _, p := range list {
				p.at, p.searcher, p.conn, p.endByte = at, s.id, c, endByte
				s.mu.Lock()
				s.arrivals = append(s.arrivals, p)
				s.mu.Unlock()
				go s.answer(c, &write, p)
			}
		case 'p':
			writeFrame(c, &write, "pserved")
		case 'l':
			writeFrame(c, &write, "l-")
		}
	}
}

func (s *searcher) answer(c net.Conn, write *sync.Mutex, p arrival) {
	r := s.handle(p)
	time.Sleep(r.after)
	if r.reset {
		resetConn(c)
		return
	}
	s.standStill()
	body := fmt.Sprintf("a%s %s 1 -\n%s", p.id, r.end, r.value)
	writeFrame(c, write, body[:len(body)-r.short])
	if r.short > 0 {
		time.Sleep(pieceGap)
		s.trial.note("%s writes the rest of its answer to %s", s.id, p.id)
		_, _ = c.Write([]byte(body[len(body)-r.short:]))
	}
}

func writeFrame(w io.Writer, mu *sync.Mutex, body string) {
	mu.Lock()
	defer mu.Unlock()
	_, _ = w.Write(append(binary.BigEndian.AppendUint32(nil, uint32(len(body))), body...))
}

// parseCall parses the parts of a call: lines "ID SHARD LIST LENGTH", each with a text
// behind it.
func parseCall(b []byte) (list []arrival, err error) {
	for len(b) > 0 {
		line, rest, ok := bytes.Cut(b, []byte("\n"))
		f := strings.Split(string(line), " ")
		if !ok || len(f) != 4 {
			return nil, fmt.Errorf("line %.80q", line)
		}
		p := arrival{id: f[0]}
		if p.shard, err = strconv.Atoi(f[1]); err != nil {
			return nil, err
		}
		for _, field := range strings.Split(f[2], ",") {
			if name, value, _ := strings.Cut(field, "="); name == "k" {
				p.key = value
			}
		}
		n, err := strconv.Atoi(f[3])
		if err != nil || n < 0 || n > len(rest) {
			return nil, fmt.Errorf("length %q", f[3])
		}
		b = rest[n:]
		list = append(list, p)
	}
	return list, nil
}
