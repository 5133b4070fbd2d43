package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/http"
	"sync"
	"time"
)

func init() { cases["spoilt"] = spoiltInPieces }

const (
	madeValue     = "5be2a07c19f04d63" // what searchers make for each part
	spoiltMissing = 6                  // bytes by which the length of a spoilt answer is too short
	quickPart     = 10 * time.Millisecond
	slowPart      = 300 * time.Millisecond
	spoiltClients = 12
)

// spoiler spoils answers on connections on which other parts wait.
type spoiler struct {
	*trial
	mu      sync.Mutex
	armed   bool
	waiting map[net.Conn]int // parts that are not answered
	chosen  map[net.Conn]bool
}

// handle answers a part. The first of those that wait on a connection is answered before the others.
func (s *spoiler) handle(p arrival) reply {
	r := reply{end: "served", value: madeValue}
	s.mu.Lock()
	armed, first := s.armed, !s.chosen[p.conn]
	if armed {
		s.waiting[p.conn]++
		s.chosen[p.conn] = true
	}
	s.mu.Unlock()
	switch {
	case !armed:
		time.Sleep(quickPart)
		return r
	case first:
		time.Sleep(2 * quickPart)
	default:
		time.Sleep(slowPart)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.waiting[p.conn]--
	if s.trouble && first && s.waiting[p.conn] > 0 {
		r.short = spoiltMissing
		s.note("%s spoils its answer to %s, its length is %d too short; %d other parts wait on the connection", p.searcher, p.id, r.short, s.waiting[p.conn])
	}
	return r
}

// spoiltInPieces has reservations asked. Of those that arrive on one connection, the first gets a spoilt answer, in
// two pieces, while the others wait on that connection.
func spoiltInPieces(t *trial) (held bool, err error) {
	s := &spoiler{trial: t, waiting: make(map[net.Conn]int), chosen: make(map[net.Conn]bool)}
	d, err := newDeployment(t, false, s.handle)
	if err != nil {
		return false, err
	}
	g, err := t.startGatherer(d, d.config(d.discovery.addr(), d.discovery.whole()), "exec bin/eiderwinch")
	if err != nil {
		return false, err
	}
	time.Sleep(500 * time.Millisecond)
	for i := range 2 * shardCount { // the gatherer gets to know how long calls take
		if a := t.ask(d.listen, "reserve", []int{i % shardCount}, "c41e77d0", fmt.Sprintf("early%d", i), 4*time.Second); a.status != http.StatusOK {
			return false, errors.New("a query before the trouble was not answered")
		}
	}
	s.mu.Lock()
	s.armed = true
	s.mu.Unlock()
	var clients sync.WaitGroup
	answers := make([]answer, spoiltClients)
	for i := range answers {
		clients.Add(1)
		go func() {
			defer clients.Done()
			answers[i] = t.ask(d.listen, "reserve", []int{0}, "c41e77d0", fmt.Sprintf("marked%d", i), 5*time.Second)
		}()
	}
	clients.Wait()
	if !g.running() {
		return false, errors.New("the gatherer has ended")
	}
	wrong, served := 0, 0
	for _, a := range answers {
		var body struct {
			Pieces []struct {
				Cell string `json:"cell"`
			} `json:"pieces"`
		}
		if a.status != http.StatusOK {
			continue
		}
		if err := json.Unmarshal([]byte(a.body), &body); err != nil {
			return false, err
		}
		for _, piece := range body.Pieces {
			served++
			if piece.Cell != madeValue {
				wrong++
				t.note("a client was served %q, which no searcher made", piece.Cell)
			}
		}
	}
	t.note("%d values served, %d of them wrong", served, wrong)
	if served == 0 {
		return false, errors.New("nothing was served")
	}
	return wrong == 0, nil
}
