package main

import (
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

func init() { scenarios["epoch"] = playEpoch }

// playEpoch: a gatherer follows a coordinator, and keeps the changes of its configuration on disk. An operator moves
// a segment to other searchers. Once the move is done, and the former holders have forgotten the segment, the
// gatherer is killed and started again.
//
// Judged at the searchers: no part comes to one that does not hold its segment, since it was told to forget it and has
// said that it did. Answers that bear an older epoch than one told before are counted in the record.
func playEpoch(p *play) (breaks []string, err error) {
	const moved = 4 // the segment that is moved from cell 0 to cell 1
	d, err := newDeployment(p.record, 20*time.Millisecond)
	if err != nil {
		return nil, err
	}
	var layout, peers strings.Builder
	fmt.Fprintf(&layout, "<layout xmlns=\"urn:eiderwinch:layout:1\" epoch=\"1\" next=\"%d\" replicas=\"3\">\n", shards)
	for i, s := range d.searchers {
		fmt.Fprintf(&layout, "  <searcher id=%q zone=%q/>\n", s.id, d.members[i].Locality)
		if err := s.obey([]int{s.cell, s.cell + cells, s.cell + 2*cells}); err != nil {
			return nil, err
		}
		fmt.Fprintf(&peers, "    <searcher name=%q endpoint=%q/>\n", s.id, s.custody.addr)
	}
	for i := range shards {
		keys := ""
		if i > 0 {
			keys += fmt.Sprintf(" from=\"k%05d\"", i*100)
		}
		if i < shards-1 {
			keys += fmt.Sprintf(" to=\"k%05d\"", (i+1)*100)
		}
		fmt.Fprintf(&layout, "  <segment id=\"%d\"%s>", i, keys)
		for _, s := range d.searchers {
			if s.cell == i%cells {
				fmt.Fprintf(&layout, "<holder searcher=%q/>", s.id)
			}
		}
		fmt.Fprintf(&layout, "</segment>\n")
	}
	layout.WriteString("</layout>\n")
	gathererAdmin, err := freeAddr()
	if err != nil {
		return nil, err
	}
	coordinatorAdmin, err := freeAddr()
	if err != nil {
		return nil, err
	}
	operators := fmt.Sprintf(`<eiderwinch xmlns="urn:eiderwinch:operators:1">
  <admin endpoint=%q/>
  <layout file="layout.xml" follow="true"/>
  <history file="history.db"/>
  <coordinator endpoint=%q log="changes.db" layout="first.xml">
    <gatherer name="n0" endpoint=%q/>
%s  </coordinator>
</eiderwinch>
`, gathererAdmin, coordinatorAdmin, gathererAdmin, peers.String())
	file := filepath.Join(p.dir, "eiderwinch.xml")
	for name, text := range map[string]string{"layout.xml": layout.String(), "first.xml": layout.String(), "eiderwinch.xml": operators} {
		if err := os.WriteFile(filepath.Join(p.dir, name), []byte(text), 0o600); err != nil {
			return nil, err
		}
	}
	known := d.whole(41)
	agent, err := newAgent(p.record, "A", known)
	if err != nil {
		return nil, err
	}
	p.arguments = " serve --file " + file
	g, err := p.startGatherer(agent.addr, known)
	if err != nil {
		return nil, err
	}
	if err := p.startProcess("coordinator", "exec bin/eiderwinch coordinate "+file); err != nil {
		return nil, err
	}

	var mu sync.Mutex
	var highest uint64 // epoch that an answer bore
	older := 0         // answers in an older epoch than one told before
	var down atomic.Bool
	var stop atomic.Bool
	var running sync.WaitGroup
	var answered atomic.Int64
	for i := range 4 {
		running.Add(1)
		go func() {
			defer running.Done()
			c := client{addr: g.addr}
			defer c.end()
			for n := i; !stop.Load(); n++ {
				q := query{trace: newTrace(), class: "search", shards: []int{moved + 3, moved + 4, moved + 5}, text: "c41e77d0", timeout: 4 * time.Second}
				if n%2 == 0 {
					q.class, q.shards, q.key = "reserve", []int{moved}, newTrace()+newTrace()
				}
				mu.Lock()
				before := highest
				mu.Unlock()
				a, err := c.ask(q, 500*time.Millisecond)
				if err != nil {
					if !down.Load() {
						p.record.log("client %d: %s got no answer: %v", i, q.trace, err)
					}
					time.Sleep(2 * time.Millisecond)
					continue
				}
				answered.Add(1)
				p.record.log("client %d: %s, %s, answered in epoch %d: %s", i, q.trace, q.class, a.epoch, a.describe())
				mu.Lock()
				if a.epoch != 0 && a.epoch < before {
					older++
					p.record.log("query %s was answered in epoch %d; the gatherer had told epoch %d before it was asked", q.trace, a.epoch, before)
				}
				highest = max(highest, a.epoch)
				mu.Unlock()
				time.Sleep(20 * time.Millisecond)
			}
		}()
	}
	time.Sleep(2 * time.Second)
	var holders []string
	for _, s := range d.searchers {
		if s.cell == (moved+1)%cells {
			holders = append(holders, strconv.Quote(s.id))
		}
	}
	changes := filepath.Join(p.dir, "changes.json")
	text := fmt.Sprintf(`{"changes": [{"change": "move", "segments": [%d], "holders": [[%s]]}]}`, moved, strings.Join(holders, ", "))
	if err := os.WriteFile(changes, []byte(text), 0o600); err != nil {
		return nil, err
	}
	p.record.log("operator: layout apply %s", text)
	apply := exec.Command("bin/eiderwinch", "layout", "apply", "--file", file, "--wait", "60s", changes)
	apply.Dir = p.root
	out, err := apply.CombinedOutput()
	p.record.log("operator: %s", strings.TrimSpace(string(out)))
	if err != nil {
		return nil, fmt.Errorf("layout apply: %w: %s", err, out)
	}
	time.Sleep(time.Second)
	mu.Lock()
	early := older
	mu.Unlock()
	strange := func() (list []string) {
		for _, s := range d.searchers {
			for _, r := range s.received() {
				if r.notHeld {
					list = append(list, fmt.Sprintf("part %s came to %s at %.3f s, which does not hold its segment", r.id, s.id, r.at.Seconds()))
				}
			}
		}
		return list
	}
	if early > 0 || len(strange()) > 0 {
		return nil, fmt.Errorf("broken before the disruption: %d answers in an older epoch, %v", early, strange())
	}
	p.record.log("epoch %d is told; segment %d has moved", highest, moved)
	if p.trouble {
		down.Store(true)
		p.record.log("platform: SIGKILL to the gatherer, and it is started again")
		g.cmd.Process.Kill()
		<-g.exited
		if err := p.restartGatherer(g, agent.addr, known); err != nil {
			return nil, err
		}
		down.Store(false)
	}
	time.Sleep(5 * time.Second)
	stop.Store(true)
	running.Wait()
	breaks = strange()
	p.record.log("%d queries answered, %d of them in an older epoch than one told before; the highest epoch is %d", answered.Load(), older, highest)
	if !g.running() {
		return nil, fmt.Errorf("the gatherer ended")
	}
	if highest < 2 || answered.Load() < 100 {
		return nil, fmt.Errorf("%d queries were answered, in epoch %d at most", answered.Load(), highest)
	}
	return breaks, nil
}

// epochOf returns the layout's epoch that an answer bears; 0 if it bears none.
func epochOf(h http.Header) uint64 {
	n, _ := strconv.ParseUint(h.Get("X-Layout-Epoch"), 10, 64)
	return n
}
