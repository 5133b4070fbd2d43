package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"syscall"
	"time"
)

func init() { cases["layout"] = layoutAfterRestart }

// custody is what the searchers hold. Each has an endpoint for the coordinator's orders, as
// docs/operate-layout.md has it. Rows are copied at once, there are none.
type custody struct {
	trial   *trial
	mu      sync.Mutex
	held    map[string][]int // segments by searcher
	strange []arrival        // parts that came to a searcher that does not hold their segment
}

func (c *custody) holds(searcher string, segment int) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return slices.Contains(c.held[searcher], segment)
}

// handle answers a part: one of a segment that the searcher does not hold is turned away.
func (c *custody) handle(p arrival) reply {
	if c.holds(p.searcher, p.shard) {
		c.trial.note("%s answers %s", p.searcher, p.id)
		return reply{end: "served", value: p.searcher, after: 5 * time.Millisecond}
	}
	c.trial.note("%s turns %s away: it does not hold segment %d", p.searcher, p.id, p.shard)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.strange = append(c.strange, p)
	return reply{end: "skipped"}
}

// serve serves the orders to one searcher, and returns its endpoint.
func (c *custody) serve(searcher string) (endpoint string, err error) {
	type fill struct {
		Job     uint64 `json:"job"`
		Segment int    `json:"segment"`
	}
	type progress struct {
		fill
		Copied bool  `json:"copied"`
		Behind int64 `json:"behind_ms"`
	}
	type order struct {
		Log    string `json:"log"`
		Term   uint64 `json:"term"`
		Number uint64 `json:"number"`
		Drops  []int  `json:"drops"`
		Fills  []fill `json:"fills"`
	}
	type report struct {
		Log    string     `json:"log"`
		Term   uint64     `json:"term"`
		Number uint64     `json:"number"`
		Held   []int      `json:"held"`
		Fills  []progress `json:"fills"`
	}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	var last order
	mux := http.NewServeMux()
	mux.HandleFunc("PUT /v1/custody", func(w http.ResponseWriter, r *http.Request) {
		var o order
		if err := json.NewDecoder(r.Body).Decode(&o); err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		c.mu.Lock()
		defer c.mu.Unlock()
		if (last.Log == "" || last.Log == o.Log) && (o.Term > last.Term || o.Term == last.Term && o.Number > last.Number) {
			for _, segment := range o.Drops {
				c.trial.note("%s drops segment %d", searcher, segment)
				c.held[searcher] = slices.DeleteFunc(c.held[searcher], func(held int) bool { return held == segment })
			}
			for _, f := range o.Fills {
				if !slices.Contains(c.held[searcher], f.Segment) {
					c.trial.note("%s is filled with segment %d", searcher, f.Segment)
					c.held[searcher] = append(c.held[searcher], f.Segment)
				}
			}
			last = o
		}
		out := report{Log: last.Log, Term: last.Term, Number: last.Number, Held: c.held[searcher]}
		for _, f := range last.Fills {
			out.Fills = append(out.Fills, progress{fill: f, Copied: true})
		}
		_ = json.NewEncoder(w).Encode(out)
	})
	go func() { _ = http.Serve(l, mux) }()
	return l.Addr().String(), nil
}

// segmentCount is the number of segments of the layout; segment n has the searchers of cell n.
const segmentCount = cellCount

// layoutXML returns the first layout as a file.
func (d *deployment) layoutXML() string {
	var b strings.Builder
	fmt.Fprintf(&b, "<layout xmlns=\"urn:eiderwinch:layout:1\" epoch=\"1\" next=\"%d\" replicas=\"3\">\n", segmentCount)
	for _, m := range d.members {
		fmt.Fprintf(&b, "  <searcher id=%q zone=%q/>\n", m.ID, m.Locality)
	}
	for n := range segmentCount {
		bounds := ""
		if n > 0 {
			bounds += fmt.Sprintf(" from=\"k%d\"", n)
		}
		if n < segmentCount-1 {
			bounds += fmt.Sprintf(" to=\"k%d\"", n+1)
		}
		fmt.Fprintf(&b, "  <segment id=\"%d\"%s>", n, bounds)
		for _, m := range d.members {
			if m.Cell == n {
				fmt.Fprintf(&b, "<holder searcher=%q/>", m.ID)
			}
		}
		b.WriteString("</segment>\n")
	}
	b.WriteString("</layout>\n")
	return b.String()
}

// writeFile writes a file of the trial's folder.
func (t *trial) writeFile(name, text string) (path string, err error) {
	path = filepath.Join(t.dir, name)
	return path, os.WriteFile(path, []byte(text), 0o600)
}

// layoutAfterRestart moves a segment to other searchers, by a coordinator. Then the gatherer is killed and started
// again, and queries for the segment are asked.
func layoutAfterRestart(t *trial) (held bool, err error) {
	c := &custody{trial: t, held: make(map[string][]int)}
	d, err := newDeployment(t, false, c.handle)
	if err != nil {
		return false, err
	}
	for _, m := range d.members {
		c.held[m.ID] = []int{m.Cell}
	}
	admin, err := freeAddr()
	if err != nil {
		return false, err
	}
	coordinator, err := freeAddr()
	if err != nil {
		return false, err
	}
	operators, err := t.writeFile("eiderwinch.xml", operatorsHead+"  <admin endpoint=\""+admin+"\"/>\n  <history file=\"history.db\"/>\n"+
		"  <layout file=\"layout.xml\" follow=\"true\"/>\n</eiderwinch>\n")
	if err != nil {
		return false, err
	}
	text := operatorsHead + "  <coordinator endpoint=\"" + coordinator + "\" log=\"changes.db\" layout=\"first.xml\">\n    <gatherer name=\"n0\" endpoint=\"" + admin + "\"/>\n"
	for _, m := range d.members {
		endpoint, err := c.serve(m.ID)
		if err != nil {
			return false, err
		}
		text += fmt.Sprintf("    <searcher name=%q endpoint=%q/>\n", m.ID, endpoint)
	}
	coordinate, err := t.writeFile("coordinator.xml", text+"  </coordinator>\n</eiderwinch>\n")
	if err != nil {
		return false, err
	}
	for _, name := range []string{"layout.xml", "first.xml"} {
		if _, err := t.writeFile(name, d.layoutXML()); err != nil {
			return false, err
		}
	}
	const changes = `{"changes": [{"change": "move", "segments": [0], "holders": [["s-01", "s-05", "s-09"]]}]}`
	move, err := t.writeFile("changes.json", changes)
	if err != nil {
		return false, err
	}
	run := func() (*process, error) {
		path, err := t.writeConfig(d.config(d.discovery.addr(), d.discovery.whole()))
		if err != nil {
			return nil, err
		}
		g, err := t.start("gatherer", "exec bin/eiderwinch serve --file "+operators, "LB_CONFIG="+path)
		if err != nil {
			return nil, err
		}
		return g, t.awaitReady(g, d.listen)
	}
	g, err := run()
	if err != nil {
		return false, err
	}
	if _, err := t.start("coordinator", "exec bin/eiderwinch coordinate "+coordinate); err != nil {
		return false, err
	}
	time.Sleep(time.Second)
	apply := exec.Command("/bin/sh", "-c", "exec bin/eiderwinch layout apply --at "+coordinator+" --wait 60s "+move)
	apply.Dir = t.root
	out, err := apply.CombinedOutput()
	t.note("layout apply: %s", out)
	if err != nil {
		return false, fmt.Errorf("the segment was not moved: %w: %s", err, out)
	}
	if a := t.ask(d.listen, "search", []int{0}, "c41e77d0", "", 4*time.Second); a.status != http.StatusOK {
		return false, errors.New("the segment was not served after its move")
	}
	if t.trouble {
		if err := t.signal(g, syscall.SIGKILL); err != nil {
			return false, err
		}
		<-g.done
		if g, err = run(); err != nil {
			return false, err
		}
	}
	for range 20 {
		t.ask(d.listen, "search", []int{0}, "c41e77d0", "", 4*time.Second)
		time.Sleep(20 * time.Millisecond)
	}
	if !g.running() {
		return false, errors.New("the gatherer has ended")
	}
	for _, line := range strings.Split(t.logText("gatherer"), "\n") {
		if strings.Contains(line, "layout") || strings.Contains(line, "differ") {
			t.note("gatherer's log: %s", line)
		}
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	t.note("%d parts came to searchers that do not hold their segment", len(c.strange))
	return len(c.strange) == 0, nil
}
