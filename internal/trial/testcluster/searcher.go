package testcluster

import (
	"fmt"
	"net"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"eiderwinch/internal/trial/fake"
	"eiderwinch/internal/trial/partaudit"
)

// searcher is a fake searcher that answers each part after a fixed time and records which process sent it.
type searcher struct {
	server       *fake.Server
	id           string
	cell         int
	partDuration time.Duration
	audit        *partaudit.Audit

	mu      sync.Mutex
	started time.Time // its last start; zero if it has been warm from the beginning
	parts   []arrival
}

// arrival is a part that the searcher received.
type arrival struct {
	at            time.Time
	sender        processID
	searcherStart time.Time // the searcher's last start before it
}

// newSearcher starts a searcher in a cell. It answers each part after the given time.
func newSearcher(id string, cell int, partDuration time.Duration, audit *partaudit.Audit) (*searcher, error) {
	searcher := &searcher{id: id, cell: cell, partDuration: partDuration, audit: audit}
	var err error
	searcher.server, err = fake.Listen(searcher.serve)
	return searcher, err
}

// serve answers the calls on a connection until it is closed.
func (s *searcher) serve(c net.Conn) {
	var ended atomic.Bool // the gatherer has closed the connection, which gives up all parts on it
	defer ended.Store(true)
	for {
		letter, payload, err := fake.ReadFrame(c)
		if err != nil {
			return
		}
		if letter == 'c' { // a cancel: ignored, since a part takes only a short time
			continue
		}
		parts, err := fake.ParseCall(payload)
		if err != nil {
			return
		}
		now := time.Now()
		for _, p := range parts {
			trace, _, _ := strings.Cut(p.ID, ".")
			s.mu.Lock()
			s.parts = append(s.parts, arrival{now, processOf(trace), s.started})
			s.mu.Unlock()
			s.audit.Received(p.ID, s.id, now)
			time.AfterFunc(s.partDuration, func() { s.answer(c, p, &ended) })
		}
	}
}

// answer answers a part. Its cancel is not read before: a gatherer cancels a part after a much longer time than it takes.
func (s *searcher) answer(c net.Conn, p fake.Part, ended *atomic.Bool) {
	if ended.Load() {
		return
	}
	fake.WriteFrame(c, fmt.Sprintf("a%s served 1 -\nv", p.ID))
	s.audit.Answered(p.ID, s.id, time.Now())
}

// member returns the searcher's entry of the member list. If restarted is set, the searcher counts as just started.
func (s *searcher) member(restarted bool) fake.Member {
	s.mu.Lock()
	defer s.mu.Unlock()
	if restarted {
		s.started = time.Now()
	}
	m := fake.Member{ID: s.id, Addr: s.server.Addr(), Zone: "a", Cell: s.cell, Phase: fake.Ready, Size: 1}
	if !s.started.IsZero() {
		m.UpSince = s.started.UnixMilli()
	}
	return m
}
