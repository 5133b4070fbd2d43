package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"sync"
	"time"
)

// member is an entry of the member list.
type member struct {
	ID        string  `json:"id"`
	HostPort  string  `json:"host_port"`
	Locality  string  `json:"locality"`
	Flavor    string  `json:"flavor"`
	Cell      int     `json:"cell"`
	Phase     string  `json:"phase"`
	Size      float64 `json:"size"`
	UpSinceMS int64   `json:"up_since_ms"`
}

// list is one object of discovery.
type list struct {
	Revision int64    `json:"revision"`
	Complete bool     `json:"complete"`
	Members  []member `json:"members"`
}

func (l list) text() []byte {
	text, err := json.Marshal(l)
	if err != nil {
		panic(err)
	}
	return text
}

// heartbeat is the time between the empty lines of a watch.
const heartbeat = 2 * time.Second

// agent is discovery's agent on a gatherer's machine. It serves the whole list and watches, whose first object is
// either the whole list or, while the watch's revision is the current one, the next thing that is told.
type agent struct {
	name   string
	addr   string
	record *record

	listener net.Listener
	mu       sync.Mutex
	whole    list
	changes  []change
	conns    map[net.Conn]bool
	news     chan struct{} // closed and replaced at each change
}

// change is an update: the changed entries, or the whole list to be sent in their place where it is the first
// object of a watch.
type change struct {
	entries      list
	whole        list
	wholeAsFirst bool
}

func newAgent(r *record, name string, whole list) (*agent, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	a := &agent{name: name, addr: l.Addr().String(), record: r, listener: l, whole: whole, conns: make(map[net.Conn]bool), news: make(chan struct{})}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			a.mu.Lock()
			a.conns[c] = true
			a.mu.Unlock()
			go a.serve(c)
		}
	}()
	return a, nil
}

// tell makes known a change, and the whole list after it.
func (a *agent) tell(c change) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.whole = c.whole
	a.changes = append(a.changes, c)
	close(a.news)
	a.news = make(chan struct{})
}

// stopListening refuses new connections; closeAll closes the open ones.
func (a *agent) stopListening() { a.listener.Close() }

func (a *agent) closeAll() {
	a.mu.Lock()
	defer a.mu.Unlock()
	for c := range a.conns {
		c.Close()
	}
}

func (a *agent) serve(c net.Conn) {
	defer c.Close()
	in := bufio.NewReader(c)
	for {
		r, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		if r.URL.Path != "/catalog/members" {
			fmt.Fprint(c, "HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n")
			continue
		}
		if r.URL.Query().Get("watch") == "1" {
			var from int64
			fmt.Sscan(r.URL.Query().Get("from"), &from)
			a.watch(c, from)
			return
		}
		a.mu.Lock()
		whole := a.whole
		a.mu.Unlock()
		a.record.log("agent %s sends the whole list, revision %d: %s", a.name, whole.Revision, phases(whole))
		text := whole.text()
		fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n%s", len(text), text)
	}
}

// watch serves one watch.
func (a *agent) watch(c net.Conn, from int64) {
	fmt.Fprint(c, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
	line := func(text []byte) bool {
		_, err := fmt.Fprintf(c, "%x\r\n%s\n\r\n", len(text)+1, text)
		return err == nil
	}
	a.record.log("agent %s: a watch from %d opens", a.name, from)
	a.mu.Lock()
	next, whole := len(a.changes), a.whole
	a.mu.Unlock()
	first := true
	if from != whole.Revision {
		a.record.log("agent %s sends on its watch the whole list, revision %d: %s", a.name, whole.Revision, phases(whole))
		if !line(whole.text()) {
			return
		}
		first = false
	} else if !line(nil) {
		return
	}
	t := time.NewTicker(heartbeat)
	defer t.Stop()
	for {
		a.mu.Lock()
		pending, news := a.changes[next:], a.news
		a.mu.Unlock()
		for _, u := range pending {
			next++
			l := u.entries
			if first && u.wholeAsFirst {
				l = u.whole
			}
			first = false
			a.record.log("agent %s sends on its watch revision %d, complete %v: %s", a.name, l.Revision, l.Complete, phases(l))
			if !line(l.text()) {
				return
			}
		}
		select {
		case <-news:
		case <-t.C:
			if !line(nil) {
				return
			}
		}
	}
}

// phases describes a list in short.
func phases(l list) string {
	text := ""
	for _, m := range l.Members {
		text += " " + m.ID + "=" + m.Phase
	}
	return text[min(1, len(text)):]
}
