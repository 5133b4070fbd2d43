package main

import (
	"fmt"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

func init() { scenarios["drain"] = playDrain }

// playDrain: discovery's agent A tells that a searcher drains. Then a new configuration moves discovery to agent B,
// which has been sent the drain a little later than A: its whole list still names the searcher as ready. Some 1.5 s
// later B learns of it, and the first object of its watch is the whole list, which leaves the searcher out. Nobody
// names the searcher as ready again.
//
// Without the disruption there is no new configuration: A stays, and tells that the searcher is gone.
//
// Judged at the searcher: no part comes later than the grace and 50 ms after both agents have told.
func playDrain(p *play) (breaks []string, err error) {
	const (
		grace   = 550 * time.Millisecond // rules.drain_grace, and 50 ms more on sockets
		leaving = 4                      // the searcher that drains
	)
	d, err := newDeployment(p.record, 40*time.Millisecond)
	if err != nil {
		return nil, err
	}
	x := d.searchers[leaving]
	before := d.whole(41)
	drained := append([]member(nil), d.members...)
	drained[leaving].Phase = "Terminating"
	terminating := list{42, false, []member{drained[leaving]}}
	gone := drained[leaving]
	gone.Phase = "Gone"
	var rest []member
	for i, m := range d.members {
		if i != leaving {
			rest = append(rest, m)
		}
	}
	without := list{43, true, rest}
	a, err := newAgent(p.record, "A", before)
	if err != nil {
		return nil, err
	}
	b, err := newAgent(p.record, "B", before)
	if err != nil {
		return nil, err
	}
	g, err := p.startGatherer(a.addr, before)
	if err != nil {
		return nil, err
	}

	var stop atomic.Bool
	var running sync.WaitGroup
	var asked, answered atomic.Int64
	for i := range 6 {
		running.Add(1)
		go func() {
			defer running.Done()
			c := client{addr: g.addr}
			defer c.end()
			for n := i; !stop.Load(); n++ {
				first := n % (shards - 2)
				q := query{trace: newTrace(), class: "search", shards: []int{first, first + 1, first + 2}, text: "c41e77d0", timeout: 4 * time.Second}
				if n%4 == 0 {
					q.class, q.shards, q.timeout, q.key = "reserve", []int{first}, 5*time.Second, newTrace()+newTrace()
				}
				asked.Add(1)
				p.record.log("client %d asks %s, %s, shards %v", i, q.trace, q.class, q.shards)
				answer, err := c.ask(q, 500*time.Millisecond)
				if err != nil {
					p.record.log("client %d: %s got no answer: %v", i, q.trace, err)
				} else {
					answered.Add(1)
					p.record.log("client %d: %s answered %s", i, q.trace, answer.describe())
				}
				time.Sleep(120 * time.Millisecond)
			}
		}()
	}
	until := func(at time.Duration) { time.Sleep(at - p.record.now()) }
	start := p.record.now()
	until(start + 3*time.Second)
	x.drain()
	p.record.log("searcher %s drains", x.id)
	a.tell(change{entries: terminating, whole: list{42, true, drained}})
	told := p.record.now()
	if p.trouble {
		until(start + 3500*time.Millisecond)
		if err := writeConfig(g.configPath, config(g.addr, b.addr, before, p.starts)); err != nil {
			return nil, err
		}
		p.record.log("platform: new configuration, discovery %s; SIGHUP", b.addr)
		g.signal(syscall.SIGHUP)
		a.stopListening()
		until(start + 5*time.Second)
		a.closeAll()
		b.tell(change{entries: terminating, whole: without, wholeAsFirst: true})
	} else {
		until(start + 5*time.Second)
		a.tell(change{entries: list{43, false, []member{gone}}, whole: without})
	}
	toldAll := p.record.now()
	until(start + 20*time.Second)
	stop.Store(true)
	running.Wait()
	late := 0
	for _, r := range x.received() {
		if r.at > toldAll+grace {
			late++
			if late <= 10 {
				breaks = append(breaks, fmt.Sprintf("part %s came to %s at %.3f s, %.3f s after A told that it drains and %.3f s after all agents had told", r.id, x.id, r.at.Seconds(), (r.at-told).Seconds(), (r.at-toldAll).Seconds()))
			}
		}
	}
	p.record.log("%d queries, %d answered; %d parts came to %s later than allowed", asked.Load(), answered.Load(), late, x.id)
	if !g.running() {
		return nil, fmt.Errorf("the gatherer ended")
	}
	if answered.Load() < asked.Load()/2 {
		return nil, fmt.Errorf("only %d of %d queries were answered", answered.Load(), asked.Load())
	}
	return breaks, nil
}
