package manager

import (
	"context"
	"errors"
	"fmt"
	"net"
	"slices"
	"sync"
	"time"

	"eiderwinch/internal/configuration/bundle"
	"eiderwinch/internal/layout"
	"eiderwinch/internal/netio"
)

// Limits of a dry run.
const (
	dialTimeout = time.Second
	maxDials    = 16 // concurrent dials; further ones wait
	// maxQueryBytes is the most memory that an open query or part takes, see docs/config.md.
	maxQueryBytes = 64 << 10
	maxFaults     = 50
)

// dryRun checks a configuration against the running system: the memory limit, whether
// discovery accepts connections, and whether each segment of the layout has a ready holder
// that does. It can't find every fault: a searcher may accept a connection and answer no
// query. The guard covers the rest.
func (m *Manager) dryRun(ctx context.Context, c *bundle.Candidate) error {
	faults := &faultList{}
	if open := c.File.LiveOverrides.Admission.Open; open > 0 && int64(open)*maxQueryBytes > c.Config.MemoryLimit {
		faults.add(fmt.Errorf("admission: found open=%d, want at most %d: each may take %d KiB, and limits.memory_mb is %d",
			open, c.Config.MemoryLimit/maxQueryBytes, maxQueryBytes>>10, c.Config.MemoryLimit>>20))
	}
	searchers, ok := m.opts.Node.Searchers(ctx)
	if !ok {
		return faults.err()
	}
	ready := make(map[string]netio.Searcher)
	for _, searcher := range searchers {
		if searcher.Ready {
			ready[searcher.ID] = searcher
		}
	}
	holdersToDial := make(map[string]bool)
	if c.Layout != nil {
		for segment := range c.Layout.Serving() {
			holders := slices.DeleteFunc(slices.Clone(segment.Holders), func(id string) bool { return ready[id].ID == "" })
			if len(holders) == 0 {
				faults.add(fmt.Errorf("segment %d: none of its holders %v is ready according to discovery", segment.ID, segment.Holders))
			}
			for _, id := range holders {
				holdersToDial[id] = true
			}
		}
	}
	type target struct{ name, addr string }
	targets := []target{{"discovery", m.opts.Node.DiscoveryAddress().Value}}
	for id := range holdersToDial {
		targets = append(targets, target{"searcher " + id, ready[id].Addr})
	}
	unreachable := &sync.Map{}
	var dials sync.WaitGroup
	semaphore := make(chan struct{}, maxDials)
	for _, t := range targets {
		dials.Add(1)
		semaphore <- struct{}{}
		go func() {
			defer dials.Done()
			defer func() { <-semaphore }()
			dialer := net.Dialer{Timeout: dialTimeout}
			conn, err := dialer.DialContext(ctx, "tcp", t.addr)
			if err != nil {
				unreachable.Store(t.name, err)
				return
			}
			_ = conn.Close()
		}()
	}
	dials.Wait()
	if err, failed := unreachable.Load("discovery"); failed {
		faults.add(fmt.Errorf("cannot connect to discovery: %w", err.(error)))
	}
	if c.Layout != nil {
		faults.addUnreachableSegments(c.Layout, ready, unreachable)
	}
	return faults.err()
}

// faultList collects at most maxFaults errors and counts the others.
type faultList struct {
	errs    []error
	omitted int
}

func (f *faultList) add(err error) {
	if len(f.errs) >= maxFaults {
		f.omitted++
		return
	}
	f.errs = append(f.errs, err)
}

func (f *faultList) err() error {
	if f.omitted > 0 {
		f.errs = append(f.errs, fmt.Errorf("and %d more faults", f.omitted))
	}
	return errors.Join(f.errs...)
}

// addUnreachableSegments adds a fault for each segment none of whose ready holders accepts
// a connection. A single unreachable holder is not a fault, because that happens every day.
func (f *faultList) addUnreachableSegments(l *layout.Layout, ready map[string]netio.Searcher, unreachable *sync.Map) {
	for s := range l.Serving() {
		reachable, readyCount := 0, 0
		for _, id := range s.Holders {
			if ready[id].ID == "" {
				continue
			}
			readyCount++
			if _, failed := unreachable.Load("searcher " + id); !failed {
				reachable++
			}
		}
		if readyCount > 0 && reachable == 0 {
			f.add(fmt.Errorf("segment %d: none of its holders %v accepts a connection", s.ID, s.Holders))
		}
	}
}
