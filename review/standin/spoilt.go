package main

import (
	"fmt"
	"sync"
	"sync/atomic"
	"time"
)

func init() { scenarios["spoilt"] = playSpoilt }

// playSpoilt: counters ask in bursts, so that parts of several queries share calls and connections. Some answers of
// searchers leave with a length that does not fit: half of the value lies behind the frame. That happens only while
// other parts wait on the connection, and nothing more comes on it afterwards.
//
// Judged by the clients: each value of an answer is the value that the searchers have for that part.
func playSpoilt(p *play) (breaks []string, err error) {
	const (
		bursts     = 60
		burst      = 4
		every      = 200 * time.Millisecond
		spoilEvery = 20 // one answer in so many, of those that may be spoilt
	)
	d, err := newDeployment(p.record, 40*time.Millisecond)
	if err != nil {
		return nil, err
	}
	var may, spoilt atomic.Int64
	if p.trouble {
		for _, s := range d.searchers {
			s.spoil = func(_ part, waiting int) bool {
				if waiting == 0 || may.Add(1)%spoilEvery != 0 {
					return false
				}
				spoilt.Add(1)
				return true
			}
		}
	}
	known := d.whole(41)
	agent, err := newAgent(p.record, "A", known)
	if err != nil {
		return nil, err
	}
	g, err := p.startGatherer(agent.addr, known)
	if err != nil {
		return nil, err
	}
	time.Sleep(time.Second)
	var mu sync.Mutex
	var running sync.WaitGroup
	answers, values := 0, 0
	clients := make([]client, burst)
	for n := range bursts {
		first := n % (shards - 2)
		for i := range clients {
			c := &clients[i]
			c.addr = g.addr
			running.Add(1)
			go func() {
				defer running.Done()
				q := query{trace: newTrace(), class: "search", shards: []int{first, first + 1, first + 2}, text: fmt.Sprintf("c41e%04x", n*burst+i), timeout: 4 * time.Second}
				p.record.log("client %d asks %s, shards %v, text %s", i, q.trace, q.shards, q.text)
				a, err := c.ask(q, 500*time.Millisecond)
				if err != nil {
					p.record.log("client %d: %s got no answer: %v", i, q.trace, err)
					return
				}
				p.record.log("client %d: %s answered %s", i, q.trace, a.describe())
				mu.Lock()
				defer mu.Unlock()
				if a.status == 200 {
					answers++
				}
				for shard, v := range a.pieces {
					values++
					if want := valueOf(fmt.Sprintf("%s.%d", q.trace, shard), q.text); v != want {
						breaks = append(breaks, fmt.Sprintf("query %s was served for shard %d with the value %q; the searchers have %q for it", q.trace, shard, v, want))
					}
				}
			}()
		}
		running.Wait()
		time.Sleep(every)
	}
	p.record.log("%d queries, %d served with %d values; %d answers of searchers spoilt", bursts*burst, answers, values, spoilt.Load())
	switch {
	case !g.running():
		return nil, fmt.Errorf("the gatherer ended")
	case answers < bursts*burst/2:
		return nil, fmt.Errorf("only %d of %d queries were served", answers, bursts*burst)
	case p.trouble && spoilt.Load() == 0:
		return nil, fmt.Errorf("no answer was spoilt")
	}
	return breaks, nil
}
