package main

import (
	"encoding/binary"
	"fmt"
	"hash/fnv"
	"io"
	"net"
	"strconv"
	"strings"
	"sync"
	"time"
)

// part is one part of a call, as a searcher reads it.
type part struct {
	id, fields, text string
	shard            int
}

// searcher is a sound searcher on loopback: it serves each part after workTime, with the value of valueOf.
type searcher struct {
	id     string
	cell   int
	record *record
	addr   string
	work   time.Duration

	// spoil is asked before each answer whether it leaves spoilt; waiting is the number of other parts that wait
	// on the connection. It may be nil.
	spoil func(p part, waiting int) bool

	listener net.Listener
	mu       sync.Mutex
	draining bool
	arrivals []arrival
	custody  *custody // which segments it holds, if a coordinator says so; else nil
	conns    map[net.Conn]bool
}

// arrival is a part that a searcher has received.
type arrival struct {
	at      time.Duration
	id      string
	notHeld bool // the searcher does not hold the shard
}

func newSearcher(r *record, id string, cell int, work time.Duration) (*searcher, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s := &searcher{id: id, cell: cell, record: r, addr: l.Addr().String(), work: work, listener: l, conns: make(map[net.Conn]bool)}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			s.mu.Lock()
			s.conns[c] = true
			s.mu.Unlock()
			go s.serve(c)
		}
	}()
	return s, nil
}

// drain makes the searcher turn away all that comes from now on.
func (s *searcher) drain() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.draining = true
}

// received returns the parts that came so far.
func (s *searcher) received() []arrival {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]arrival(nil), s.arrivals...)
}

// valueOf returns the value that every holder of a shard has for a part: 16 hex digits.
func valueOf(id, text string) string {
	h := fnv.New64a()
	io.WriteString(h, id+"|"+text)
	return fmt.Sprintf("%016x", h.Sum64())
}

// connState is a connection to a gatherer.
type connState struct {
	mu      sync.Mutex
	conn    net.Conn
	waiting map[string]bool // parts that wait for their answer
	spoilt  bool            // nothing more is written
}

func (s *searcher) serve(c net.Conn) {
	defer c.Close()
	state := &connState{conn: c, waiting: make(map[string]bool)}
	for {
		var head [4]byte
		if _, err := io.ReadFull(c, head[:]); err != nil {
			return
		}
		body := make([]byte, binary.BigEndian.Uint32(head[:]))
		if _, err := io.ReadFull(c, body); err != nil || len(body) == 0 {
			return
		}
		switch body[0] {
		case 'q':
			parts, err := parseCall(body[1:])
			if err != nil {
				s.record.log("searcher %s could not use a call: %v", s.id, err)
				state.write("e" + err.Error())
				return
			}
			s.take(state, parts)
		case 'c':
			state.mu.Lock()
			delete(state.waiting, string(body[1:]))
			state.mu.Unlock()
			s.record.log("searcher %s: %s given up", s.id, body[1:])
		case 'p':
			state.write("pserved")
		case 'l':
			state.write("l-")
		}
	}
}

// take takes the parts of a call.
func (s *searcher) take(state *connState, parts []part) {
	now := s.record.now()
	s.mu.Lock()
	draining := s.draining
	var strange []bool
	for _, p := range parts {
		notHeld := s.custody != nil && !s.custody.held[p.shard]
		strange = append(strange, notHeld)
		s.arrivals = append(s.arrivals, arrival{now, p.id, notHeld})
	}
	s.mu.Unlock()
	state.mu.Lock()
	for _, p := range parts {
		state.waiting[p.id] = true
	}
	state.mu.Unlock()
	for i, p := range parts {
		s.record.log("searcher %s got %s, %s, call of %d%s", s.id, p.id, p.fields, len(parts), map[bool]string{true: ", a shard that it does not hold"}[strange[i]])
		if draining || strange[i] {
			s.answer(state, p, "skipped", "0", "")
			continue
		}
		time.AfterFunc(s.work+time.Duration(i)*5*time.Millisecond, func() {
			s.answer(state, p, "served", strconv.Itoa(1000+p.shard), valueOf(p.id, p.text))
		})
	}
}

// answer answers a part, unless it was given up.
func (s *searcher) answer(state *connState, p part, end, score, value string) {
	state.mu.Lock()
	defer state.mu.Unlock()
	if !state.waiting[p.id] || state.spoilt {
		return
	}
	delete(state.waiting, p.id)
	body := fmt.Sprintf("a%s %s %s -\n%s", p.id, end, score, value)
	if s.spoil != nil && end == "served" && s.spoil(p, len(state.waiting)) {
		state.spoilt = true
		short := len(body) - len(value)/2
		s.record.log("searcher %s answers %s %s %q: spoilt, the frame's length is %d and not %d; %d other parts wait", s.id, p.id, end, value, short, len(body), len(state.waiting))
		frame := binary.BigEndian.AppendUint32(nil, uint32(short))
		state.conn.Write(append(frame, body...))
		return
	}
	s.record.log("searcher %s answers %s %s %q", s.id, p.id, end, value)
	writeFrame(state.conn, body)
}

func (c *connState) write(body string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.spoilt {
		writeFrame(c.conn, body)
	}
}

func writeFrame(c net.Conn, body string) {
	c.Write(append(binary.BigEndian.AppendUint32(nil, uint32(len(body))), body...))
}

// parseCall reads the parts of a call: lines "ID SHARD LIST LENGTH", each followed by so many bytes.
func parseCall(b []byte) (parts []part, err error) {
	for len(b) > 0 {
		line, rest, ok := strings.Cut(string(b), "\n")
		f := strings.Split(line, " ")
		if !ok || len(f) != 4 {
			return nil, fmt.Errorf("malformed line %.60q", line)
		}
		shard, err1 := strconv.Atoi(f[1])
		n, err2 := strconv.Atoi(f[3])
		if err1 != nil || err2 != nil || n < 0 || n > len(rest) {
			return nil, fmt.Errorf("malformed line %.60q", line)
		}
		parts = append(parts, part{id: f[0], shard: shard, fields: f[2], text: rest[:n]})
		b = []byte(rest[n:])
	}
	if len(parts) == 0 {
		return nil, fmt.Errorf("no parts")
	}
	return parts, nil
}
