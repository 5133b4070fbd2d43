package fake

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

// Member is an entry of the member list that discovery serves.
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

// The values of Member.Phase.
const (
	Ready       = "Ready"
	Terminating = "Terminating"
	Gone        = "Gone"
)

// Discovery is a fake discovery service on loopback. Its methods are safe for concurrent use.
type Discovery struct {
	server *Server
	closed chan struct{} // closed by Close

	mu         sync.Mutex
	members    map[string]listedMember
	revision   int64
	changed    chan struct{} // closed and replaced at each change
	resumed    chan struct{} // closed by ResumeResponses; nil if responses are not paused
	mutedUpTo  int64         // number of the last watch that is muted, as are all before it
	watchCount int64         // number of watches opened so far, and number of the last one
	indent     bool          // whether lists are written over several lines
}

type listedMember struct {
	Member
	revision int64 // at the member's last change
}

// heartbeatInterval is the time between the empty lines that a watch without changes
// receives.
const heartbeatInterval = 2 * time.Second

// NewDiscovery starts a Discovery with an empty member list.
func NewDiscovery() (*Discovery, error) {
	d := &Discovery{members: make(map[string]listedMember), changed: make(chan struct{}), closed: make(chan struct{})}
	var err error
	if d.server, err = Listen(d.serve); err != nil {
		return nil, err
	}
	return d, nil
}

// Addr returns the address that d listens on.
func (d *Discovery) Addr() string { return d.server.Addr() }

// Close stops d and closes its connections. It may be called more than once.
func (d *Discovery) Close() error {
	d.mu.Lock()
	select {
	case <-d.closed:
	default:
		close(d.closed)
	}
	d.mu.Unlock()
	return d.server.Close()
}

// Publish adds or replaces members of the list in one revision and notifies the open
// watches.
func (d *Discovery) Publish(members ...Member) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.revision++
	for _, m := range members {
		d.members[m.ID] = listedMember{m, d.revision}
	}
	close(d.changed)
	d.changed = make(chan struct{})
}

// ResetConns resets all connections.
func (d *Discovery) ResetConns() { d.server.ResetConns() }

// PauseResponses stops all responses until ResumeResponses is called: requests get no answer, and open
// watches receive nothing.
func (d *Discovery) PauseResponses() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.resumed = make(chan struct{})
}

// ResumeResponses resumes responses after PauseResponses.
func (d *Discovery) ResumeResponses() {
	d.mu.Lock()
	defer d.mu.Unlock()
	close(d.resumed)
	d.resumed = nil
}

// MuteOpenWatches stops sending to the watches that are open now. They stay open but no longer
// receive updates or heartbeats.
func (d *Discovery) MuteOpenWatches() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.mutedUpTo = d.watchCount
}

// Indent makes discovery write lists as indented JSON over several lines from now on.
func (d *Discovery) Indent() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.indent = true
}

// awaitResumed waits until responses are no longer paused. It returns false if d is
// closed first.
func (d *Discovery) awaitResumed() bool {
	d.mu.Lock()
	resumed := d.resumed
	d.mu.Unlock()
	if resumed == nil {
		return true
	}
	select {
	case <-resumed:
		return true
	case <-d.closed:
		return false
	}
}

// List returns the whole member list as JSON, in the format of the platform's discovery.
func (d *Discovery) List() []byte {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.since(0, true)
}

// since returns the members that have changed after a revision, as JSON. complete says
// whether it is sent as a whole list, which omits the members that are gone. The caller
// holds mu.
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
	u := struct {
		Revision int64    `json:"revision"`
		Complete bool     `json:"complete"`
		Members  []Member `json:"members"`
	}{d.revision, complete, list}
	text, err := json.Marshal(u)
	if d.indent {
		text, err = json.MarshalIndent(u, "", "    ")
	}
	if err != nil {
		panic(err) // can't happen: numbers and strings can always be marshalled
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
		if !d.awaitResumed() {
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

// watch writes a line with the changes after revision from, or the whole list if from is 0, and
// then one for each change, until the connection or d is closed. In between it writes empty lines
// as heartbeats.
func (d *Discovery) watch(c net.Conn, from int64) {
	if _, err := fmt.Fprint(c, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"); err != nil {
		return
	}
	writeLine := func(text []byte) error {
		_, err := fmt.Fprintf(c, "%x\r\n%s\n\r\n", len(text)+1, text)
		return err
	}
	d.mu.Lock()
	d.watchCount++
	number := d.watchCount
	d.mu.Unlock()
	heartbeat := time.NewTicker(heartbeatInterval)
	defer heartbeat.Stop()
	for first := true; ; first = false {
		d.mu.Lock()
		text, revision, changed := d.since(from, first && from == 0), d.revision, d.changed
		muted := number <= d.mutedUpTo
		d.mu.Unlock()
		if muted {
			<-d.closed
			return
		}
		if first || revision > from {
			if writeLine(text) != nil {
				return
			}
			from = revision
		}
		select {
		case <-changed:
			if !d.awaitResumed() {
				return
			}
		case <-heartbeat.C:
			if !d.awaitResumed() || writeLine(nil) != nil {
				return
			}
		case <-d.closed:
			return
		}
	}
}
