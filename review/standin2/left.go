package main

import (
	"errors"
	"fmt"
	"net"
	"strings"
	"sync"
	"time"
)

func init() { cases["left"] = clientsLeft }

const (
	leftHang    = 4 * time.Second // how long searchers stand still; the pages name 6 s
	leftAfter   = time.Second     // when the clients leave, counted from when they ask
	leftMargin  = 100 * time.Millisecond
	leftClients = 12
)

// clientsLeft has reservations asked while two of the three holders of their shards stand still. The clients leave after
// a second.
func clientsLeft(t *trial) (held bool, err error) {
	d, err := newDeployment(t, true, plainHandler(t))
	if err != nil {
		return false, err
	}
	g, err := t.startGatherer(d, d.config(d.discovery.addr(), d.discovery.whole()), "exec bin/eiderwinch")
	if err != nil {
		return false, err
	}
	time.Sleep(500 * time.Millisecond)
	for i := range 2 * shardCount { // the gatherer gets to know how long calls take
		if a := t.ask(d.listen, "reserve", []int{i % shardCount}, "c41e77d0", fmt.Sprintf("early%d", i), 4*time.Second); a.status != 200 {
			return false, errors.New("a query before the trouble was not answered")
		}
	}
	halted := []*searcher{d.searchers[cellCount], d.searchers[2*cellCount]}
	if t.trouble {
		for _, s := range halted {
			s.hang()
		}
	}
	asked := time.Now()
	httpClient.Timeout = leftAfter
	var clients sync.WaitGroup
	statement := strings.Repeat("c41e77d0", statementLength/8)
	for i := range leftClients {
		clients.Add(1)
		go func() {
			defer clients.Done()
			t.ask(d.listen, "reserve", []int{i % 3 * cellCount}, statement, fmt.Sprintf("marked%d", i), 5*time.Second)
		}()
	}
	clients.Wait()
	httpClient.CloseIdleConnections()
	left := time.Now()
	t.note("all clients have left or were answered")
	time.Sleep(leftMargin + slack)
	written := make(map[net.Conn]int)
	for _, s := range halted {
		bytes, err := s.written()
		if err != nil {
			return false, err
		}
		for c, n := range bytes {
			written[c] = n
			t.note("%s has been written %d bytes on connection %v", s.id, n, c.RemoteAddr())
		}
	}
	if t.trouble {
		time.Sleep(time.Until(asked.Add(leftHang)))
		for _, s := range halted {
			s.goOn()
		}
	}
	time.Sleep(time.Second)
	if !g.running() {
		return false, errors.New("the gatherer has ended")
	}
	late := 0
	for _, s := range halted {
		for _, p := range s.received() {
			if p.at.After(left) && p.endByte > written[p.conn] {
				t.note("%s came to %s %v after its client had left; the last byte of its frame is byte %d, written %v after the client had left: %d",
					p.id, s.id, p.at.Sub(left).Round(time.Millisecond), p.endByte, leftMargin+slack, written[p.conn])
				late++
			}
		}
	}
	t.note("%d attempts began after their clients had left", late)
	return late == 0, nil
}
