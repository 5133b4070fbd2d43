package main

import (
	"errors"
	"fmt"
	"syscall"
	"time"
)

func init() { cases["known"] = knownListAfterRestart }

// knownListAfterRestart replaces the searchers of a cell. Then the gatherer is killed and started again, with the list
// that it had last, while discovery is down.
func knownListAfterRestart(t *trial) (held bool, err error) {
	d, err := newDeployment(t, false, plainHandler(t))
	if err != nil {
		return false, err
	}
	g, err := t.startWithHistory(d, d.config(d.discovery.addr(), d.discovery.whole()))
	if err != nil {
		return false, err
	}
	time.Sleep(500 * time.Millisecond)
	stop := make(chan struct{})
	queries := t.load(d, 0, 50*time.Millisecond, stop)
	time.Sleep(2 * time.Second)

	var leaving []*searcher
	for i := 0; i < searcherCount; i += cellCount { // the searchers of cell 0 are replaced
		old := d.members[i]
		old.Phase = "Terminating"
		next, err := newSearcher(t, fmt.Sprintf("s-%02d", searcherCount+i), false, plainHandler(t))
		if err != nil {
			return false, err
		}
		d.discovery.publish(old, member{
			ID: next.id, HostPort: next.addr(), Locality: old.Locality, Flavor: "std", Cell: 0, Phase: "Ready", Size: 1,
			UpSince: time.Now().Add(-time.Minute).UnixMilli(),
		})
		t.note("%s begins to drain, %s serves instead of it", old.ID, next.id)
		leaving = append(leaving, d.searchers[i])
	}
	told := time.Now()
	time.Sleep(2 * time.Second)
	if t.trouble {
		if err := t.signal(g, syscall.SIGKILL); err != nil {
			return false, err
		}
		<-g.done
		known := d.discovery.whole()
		t.note("the list that the gatherer had last: %s", known)
		d.discovery.setSilent(true)
		told = time.Now()
		if g, err = t.startWithHistory(d, d.config(d.discovery.addr(), known)); err != nil {
			return false, err
		}
	}
	time.Sleep(4 * time.Second)
	close(stop)
	queries.Wait()
	if !g.running() {
		return false, errors.New("the gatherer has ended")
	}
	parts := t.sentAfter(told.Add(drainGrace+slack), leaving...)
	t.note("%d parts came to searchers that drain, later than the grace", parts)
	return parts == 0, nil
}
