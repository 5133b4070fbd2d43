package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"sort"
	"strconv"
	"sync"
	"time"
)

// member is an entry of discovery's list.
type member struct {
	ID       string  `json:"id"`
	HostPort string  `json:"host_port"`
	Locality string  `json:"locality"`
	Flavor   string  `json:"flavor"`
	Cell     int     `json:"cell"`
	Phase    string  `json:"phase"`
	Size     float64 `json:"size"`
	UpSince  int64   `json:"up_since_ms"`
}

type memberList struct {
	Revision int64    `json:"revision"`
	Complete bool     `json:"complete"`
	Members  []member `json:"members"`
}

// discovery is the agent of discovery on the gatherer's machine, as the protocol page has it.
type discovery struct {
	trial    *trial
	name     string
	listener net.Listener

	mu       sync.Mutex
	revision int64
	members  map[string]member
	changed  map[string]int64
	news     chan struct{}
	conns    map[net.Conn]bool
}

func newDiscovery(t *trial, name string, members []member) (*discovery, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	d := &discovery{
		trial: t, name: name, listener: l, revision: 40, members: make(map[string]member), changed: make(map[string]int64),
		news: make(chan struct{}), conns: make(map[net.Conn]bool),
	}
	d.publish(members...)
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			d.mu.Lock()
			d.conns[c] = true
			d.mu.Unlock()
			go d.serve(c)
		}
	}()
	return d, nil
}

func (d *discovery) addr() string { return d.listener.Addr().String() }

// publish changes members of the list.
func (d *discovery) publish(members ...member) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.revision++
	for _, m := range members {
		d.members[m.ID], d.changed[m.ID] = m, d.revision
	}
	close(d.news)
	d.news = make(chan struct{})
}

// retire makes the address that a new configuration has replaced refuse new connections, and
// close the open ones after 1.5 s.
func (d *discovery) retire() {
	_ = d.listener.Close()
	d.trial.note("discovery %s accepts no connections any more", d.name)
	time.AfterFunc(1500*time.Millisecond, func() {
		d.mu.Lock()
		defer d.mu.Unlock()
		d.trial.note("discovery %s closes %d connections", d.name, len(d.conns))
		for c := range d.conns {
			_ = c.Close()
		}
	})
}

// list returns what has changed since a revision, or the whole list.
func (d *discovery) list(since int64, complete bool) memberList {
	l := memberList{Revision: d.revision, Complete: complete, Members: []member{}}
	for id, m := range d.members {
		if complete && m.Phase != "Gone" || !complete && d.changed[id] > since {
			l.Members = append(l.Members, m)
		}
	}
	sort.Slice(l.Members, func(i, j int) bool { return l.Members[i].ID < l.Members[j].ID })
	return l
}

// whole returns the whole list, as JSON.
func (d *discovery) whole() json.RawMessage {
	d.mu.Lock()
	defer d.mu.Unlock()
	text, _ := json.Marshal(d.list(0, true))
	return text
}

func (d *discovery) serve(c net.Conn) {
	defer func() {
		d.mu.Lock()
		delete(d.conns, c)
		d.mu.Unlock()
		_ = c.Close()
	}()
	in := bufio.NewReader(c)
	for {
		r, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		if r.URL.Query().Get("watch") == "1" {
			from, _ := strconv.ParseInt(r.URL.Query().Get("from"), 10, 64)
			d.trial.note("discovery %s: watch from %d", d.name, from)
			d.watch(c, from)
			return
		}
		d.trial.note("discovery %s: whole list", d.name)
		text := d.whole()
		fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(text), text)
	}
}

func (d *discovery) watch(c net.Conn, from int64) {
	if _, err := fmt.Fprint(c, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"); err != nil {
		return
	}
	for first := true; ; first = false {
		d.mu.Lock()
		text, _ := json.Marshal(d.list(from, false))
		revision, news := d.revision, d.news
		d.mu.Unlock()
		if revision <= from && !first {
			text = nil
		}
		if _, err := fmt.Fprintf(c, "%x\r\n%s\n\r\n", len(text)+1, text); err != nil {
			return
		}
		from = revision
		select {
		case <-news:
		case <-time.After(2 * time.Second):
		}
	}
}
