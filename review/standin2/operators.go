package main

import (
	"errors"
	"path/filepath"
	"sync"
	"time"
)

// operatorsHead begins an operators' file.
const operatorsHead = "<eiderwinch xmlns=\"urn:eiderwinch:operators:1\">\n"

// plainHandler answers each part at once.
func plainHandler(t *trial) func(arrival) reply {
	return func(p arrival) reply {
		t.note("%s answers %s", p.searcher, p.id)
		return reply{end: "served", value: p.searcher, after: 5 * time.Millisecond}
	}
}

// startWithHistory starts a gatherer with an operators' file that has a history.
func (t *trial) startWithHistory(d *deployment, config object) (*process, error) {
	operators, err := t.writeFile("eiderwinch.xml", operatorsHead+"  <admin endpoint=\"unix:"+filepath.Join(t.dir, "admin.sock")+"\"/>\n  <history file=\"history.db\"/>\n</eiderwinch>\n")
	if err != nil {
		return nil, err
	}
	return t.startGatherer(d, config, "exec bin/eiderwinch serve --file "+operators)
}

// startGatherer writes a configuration, starts a gatherer and waits until it is ready. If another process has taken the
// address meanwhile, it tries again with another one.
func (t *trial) startGatherer(d *deployment, config object, command string) (g *process, err error) {
	for range 3 {
		if d.listen, err = freeAddr(); err != nil {
			return nil, err
		}
		config["listen"] = d.listen
		path, err := t.writeConfig(config)
		if err != nil {
			return nil, err
		}
		if g, err = t.start("gatherer", command, "LB_CONFIG="+path); err != nil {
			return nil, err
		}
		if err = t.awaitReady(g, d.listen); err == nil {
			return g, nil
		}
		t.note("%v", err)
	}
	return nil, errors.New("the gatherer did not get ready")
}

// load asks a search of all shards of a cell every interval until stop is closed.
func (t *trial) load(d *deployment, cell int, interval time.Duration, stop <-chan struct{}) *sync.WaitGroup {
	var queries sync.WaitGroup
	queries.Add(1)
	go func() {
		defer queries.Done()
		tick := time.NewTicker(interval)
		defer tick.Stop()
		for {
			select {
			case <-stop:
				return
			case <-tick.C:
			}
			queries.Add(1)
			go func() {
				defer queries.Done()
				t.ask(d.listen, "search", []int{cell, cell + cellCount, cell + 2*cellCount}, "c41e77d0", "", 4*time.Second)
			}()
		}
	}()
	return &queries
}

// sentAfter counts the parts that came to searchers after a time.
func (t *trial) sentAfter(at time.Time, list ...*searcher) (parts int) {
	for _, s := range list {
		for _, p := range s.received() {
			if p.at.After(at) {
				if parts == 0 {
					t.note("the first: %s came to %s %v after it might", p.id, s.id, p.at.Sub(at).Round(time.Millisecond))
				}
				parts++
			}
		}
	}
	return parts
}

// slack is what the protocol page adds to every time limit, and what a gatherer may be held up for.
const slack = 50*time.Millisecond + 150*time.Millisecond
