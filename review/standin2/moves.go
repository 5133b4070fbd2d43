package main

import (
	"errors"
	"strings"
	"syscall"
	"time"
)

func init() { cases["moves"] = discoveryMovesTwice }

// configurationWait is after how long a new configuration counts: what discovery tells at its address counts as told then.
const configurationWait = 4 * time.Second

// discoveryMovesTwice gives the gatherer two new configurations, each of which moves discovery. Then searchers begin to
// drain.
func discoveryMovesTwice(t *trial) (held bool, err error) {
	d, err := newDeployment(t, false, plainHandler(t))
	if err != nil {
		return false, err
	}
	g, err := t.startWithHistory(d, d.config(d.discovery.addr(), d.discovery.whole()))
	if err != nil {
		return false, err
	}
	time.Sleep(1500 * time.Millisecond)
	stop := make(chan struct{})
	queries := t.load(d, 0, 50*time.Millisecond, stop)
	current := d.discovery
	move := func(name string) error {
		next, err := newDiscovery(t, name, d.members)
		if err != nil {
			return err
		}
		if _, err := t.writeConfig(d.config(next.addr(), next.whole())); err != nil {
			return err
		}
		if err := t.signal(g, syscall.SIGHUP); err != nil {
			return err
		}
		current.retire()
		current = next
		return nil
	}
	if err := move("B"); err != nil {
		return false, err
	}
	time.Sleep(8 * time.Second)
	if t.trouble {
		if err := move("C"); err != nil {
			return false, err
		}
	}
	time.Sleep(configurationWait)
	var leaving []*searcher
	for i := 0; i < 2*cellCount; i += cellCount { // one of three stays
		m := d.members[i]
		m.Phase = "Terminating"
		current.publish(m)
		t.note("%s begins to drain", m.ID)
		leaving = append(leaving, d.searchers[i])
	}
	told := time.Now()
	time.Sleep(8 * time.Second)
	close(stop)
	queries.Wait()
	if !g.running() {
		return false, errors.New("the gatherer has ended")
	}
	for _, line := range strings.Split(t.logText("gatherer"), "\n") {
		if strings.Contains(line, "configuration") || strings.Contains(line, "discovery") {
			t.note("gatherer's log: %s", line)
		}
	}
	parts := t.sentAfter(told.Add(drainGrace+slack), leaving...)
	t.note("%d parts came to searchers that drain, later than the grace", parts)
	return parts == 0, nil
}
