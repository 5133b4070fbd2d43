package standin

import (
	"bufio"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"
)

// Member is a searcher as discovery lists it.
type Member struct {
	ID      string  `json:"id"`
	Addr    string  `json:"host_port"`
	Zone    string  `json:"locality"`
	Kind    string  `json:"flavor"`
	Cell    int     `json:"cell"`
	Phase   string  `json:"phase"`
	Size    float64 `json:"size"`
	UpSince int64   `json:"up_since_ms"`
}

// The phases of a Member.
const (
	Ready       = "Ready"
	Terminating = "Terminating"
	Gone        = "Gone"
)

// Discovery is a loopback discovery. Its methods may be called from any goroutine.
type Discovery struct {
	srv  *Server
	stop chan struct{}

	mu       sync.Mutex
	members  map[string]entry
	revision int64
	news     chan struct{} // closed at the next change
}

type entry struct {
	Member
	revision int64 // of its last change
}

// heartbeat is how often a watch without changes carries an empty line.
const heartbeat = 2 * time.Second

// NewDiscovery starts a Discovery that lists nobody.
func NewDiscovery() (*Discovery, error) {
	d := &Discovery{members: make(map[string]entry), news: make(chan struct{}), stop: make(chan struct{})}
	var err error
	if d.srv, err = Listen(d.serve); err != nil {
		return nil, err
	}
	return d, nil
}

// Addr is where it listens.
func (d *Discovery) Addr() string { return d.srv.Addr() }

// Close ends it.
func (d *Discovery) Close() error {
	d.mu.Lock()
	select {
	case <-d.stop:
	default:
		close(d.stop)
	}
	d.mu.Unlock()
	return d.srv.Close()
}

// Tell publishes changes as one revision.
func (d *Discovery) Tell(members ...Member) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.revision++
	for _, m := range members {
		d.members[m.ID] = entry{m, d.revision}
	}
	close(d.news)
	d.news = make(chan struct{})
}

// List is the whole list as JSON, in the form of the platform's discovery.
func (d *Discovery) List() []byte {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.since(0, true)
}

// since returns what has changed after a revision. The caller holds mu.
func (d *Discovery) since(revision int64, complete bool) []byte {
	list := []Member{}
	for _, e := range d.members {
		if e.revision > revision && (!complete || e.Phase != Gone) {
			list = append(list, e.Member)
		}
	}
	slices.SortFunc(list, func(a, b Member) int {
		if a.ID < b.ID {
			return -1
		}
		return 1
	})
	text, err := json.Marshal(struct {
		Revision int64    `json:"revision"`
		Complete bool     `json:"complete"`
		Members  []Member `json:"members"`
	}{d.revision, complete, list})
	if err != nil {
		panic(err) // numbers and text can be marshalled
	}
	return text
}

func (d *Discovery) serve(c net.Conn) {
	in := bufio.NewReader(c)
	for {
		r, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		switch {
		case r.URL.Path != "/catalog/members":
			fmt.Fprint(c, "HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n")
		case r.URL.Query().Get("watch") == "1":
			from, _ := strconv.ParseInt(r.URL.Query().Get("from"), 10, 64)
			d.watch(c, from)
			return
		default:
			list := d.List()
			fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n%s", len(list), list)
		}
	}
}

// watch writes one line a change until the connection or d ends.
func (d *Discovery) watch(c net.Conn, from int64) {
	if _, err := fmt.Fprint(c, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"); err != nil {
		return
	}
	line := func(text []byte) error {
		_, err := fmt.Fprintf(c, "%x\r\n%s\n\r\n", len(text)+1, text)
		return err
	}
	tick := time.NewTicker(heartbeat)
	defer tick.Stop()
	for first := true; ; first = false {
		d.mu.Lock()
		text, revision, news := d.since(from, first && from == 0), d.revision, d.news
		d.mu.Unlock()
		if first || revision > from {
			if line(text) != nil {
				return
			}
			from = revision
		}
		select {
		case <-news:
		case <-tick.C:
			if line(nil) != nil {
				return
			}
		case <-d.stop:
			return
		}
	}
}
