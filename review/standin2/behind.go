package main

import (
	"errors"
	"strings"
	"syscall"
	"time"
)

func init() { cases["behind"] = newDiscoveryBehind }

// listBehind is by how much the list at the new address runs further behind; the pages name 4.2 to 9.4 s.
const listBehind = 9200 * time.Millisecond

// newDiscoveryBehind has two searchers drain. Then discovery moves to an address whose list runs behind: it still names
// them as ready for some seconds.
func newDiscoveryBehind(t *trial) (held bool, err error) {
	d, err := newDeployment(t, false, plainHandler(t))
	if err != nil {
		return false, err
	}
	next, err := newDiscovery(t, "B", d.members)
	if err != nil {
		return false, err
	}
	g, err := t.startGatherer(d, d.config(d.discovery.addr(), d.discovery.whole()), "exec bin/eiderwinch")
	if err != nil {
		return false, err
	}
	stop := make(chan struct{})
	queries := t.load(d, 0, 50*time.Millisecond, stop)
	time.Sleep(8 * time.Second)

	var leaving []*searcher
	for i := 0; i < 2*cellCount; i += cellCount { // one of three stays
		m := d.members[i]
		m.Phase = "Terminating"
		d.members[i] = m
		leaving = append(leaving, d.searchers[i])
	}
	told := time.Now()
	d.discovery.publish(d.members[0], d.members[cellCount])
	t.note("%s and %s begin to drain, discovery A tells so", leaving[0].id, leaving[1].id)
	tellAt := told
	if t.trouble {
		tellAt = told.Add(listBehind)
	}
	tell := time.AfterFunc(time.Until(tellAt), func() {
		next.publish(d.members[0], d.members[cellCount])
		t.note("discovery B learns that they drain")
	})
	defer tell.Stop()
	time.Sleep(500 * time.Millisecond)
	if _, err := t.writeConfig(d.config(next.addr(), next.whole())); err != nil {
		return false, err
	}
	if err := t.signal(g, syscall.SIGHUP); err != nil {
		return false, err
	}
	d.discovery.retire()
	time.Sleep(12 * time.Second)
	close(stop)
	queries.Wait()
	if !g.running() {
		return false, errors.New("the gatherer has ended")
	}
	for _, line := range strings.Split(t.logText("gatherer"), "\n") {
		if strings.Contains(line, "discovery") {
			t.note("gatherer's log: %s", line)
		}
	}
	parts := t.sentAfter(told.Add(drainGrace+slack), leaving...)
	t.note("%d parts came to searchers that drain, later than the grace", parts)
	return parts == 0, nil
}
