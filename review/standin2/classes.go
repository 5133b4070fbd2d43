package main

import (
	"fmt"
	"slices"
	"strings"
	"sync"
	"syscall"
	"time"
)

func init() { cases["classes"] = classRemoved }

// classRemoved gives the gatherer a new configuration without one of its classes, under load.
func classRemoved(t *trial) (held bool, err error) {
	d, err := newDeployment(t, false, plainHandler(t))
	if err != nil {
		return false, err
	}
	g, err := t.startWithHistory(d, d.config(d.discovery.addr(), d.discovery.whole()))
	if err != nil {
		return false, err
	}
	time.Sleep(1500 * time.Millisecond)
	var queries sync.WaitGroup
	var mu sync.Mutex
	unanswered := 0
	ask := func(class, key string, shards ...int) {
		queries.Add(1)
		go func() {
			defer queries.Done()
			if a := t.ask(d.listen, class, shards, "c41e77d0", key, 4*time.Second); a.status == 0 {
				mu.Lock()
				defer mu.Unlock()
				unanswered++
			}
		}()
	}
	round := func(n int) {
		ask("search", "", n%shardCount, (n+1)%shardCount, (n+2)%shardCount)
		ask("reserve", fmt.Sprintf("key%d", n), n%shardCount)
		time.Sleep(50 * time.Millisecond)
	}
	for n := range 20 {
		round(n)
	}
	if t.trouble {
		config := d.config(d.discovery.addr(), d.discovery.whole())
		settings, domain := config["settings"].(object), config["settings"].(object)["domain"].(object)
		settings["classes"] = slices.Delete(settings["classes"].([]object), 2, 3)
		domain["class_fetch"], domain["class_partial"] = []int{3, 0}, []float64{0.9, 0.9}
		domain["floor_by_class"], domain["whole_at"] = []float64{1, 1}, []float64{1, 1}
		if _, err := t.writeConfig(config); err != nil {
			return false, err
		}
		if err := t.signal(g, syscall.SIGHUP); err != nil {
			return false, err
		}
	}
	for n := 20; n < 60 && g.running(); n++ {
		round(n)
	}
	queries.Wait()
	time.Sleep(100 * time.Millisecond)
	for _, line := range strings.Split(t.logText("gatherer"), "\n") {
		if strings.Contains(line, "configuration") || strings.Contains(line, "panic") || strings.Contains(line, "eiderwinch/internal") {
			t.note("gatherer's log: %s", line)
		}
	}
	t.note("the gatherer runs: %v; %d queries were not answered", g.running(), unanswered)
	return g.running() && unanswered == 0, nil
}
