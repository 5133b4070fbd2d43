package keeper

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

// Bounds of a dry run.
const (
	dialTime  = time.Second
	dialsMost = 16 // at once; the rest wait
	// queryBytes is what an open query or part takes at the most, see docs/config.md.
	queryBytes = 64 << 10
	faultsMost = 50
)

// dryRun tries a configuration on the world as it is. It can't catch everything:
// a searcher may answer a connection and no query. The guard is for the rest.
func (k *Keeper) dryRun(ctx context.Context, c *bundle.Candidate) error {
	faults := &faults{}
	if open := c.File.Live.Admission.Open; open > 0 && int64(open)*queryBytes > c.Config.Memory {
		faults.add(fmt.Errorf("admission: found open=%d, want at most %d: each may take %d KiB, and limits.memory_mb is %d",
			open, c.Config.Memory/queryBytes, queryBytes>>10, c.Config.Memory>>20))
	}
	list, ok := k.opts.Node.Searchers(ctx)
	if !ok {
		return faults.err()
	}
	ready := make(map[string]netio.Searcher)
	for _, s := range list {
		if s.Ready {
			ready[s.ID] = s
		}
	}
	wanted := make(map[string]bool)
	if c.Layout != nil {
		for s := range c.Layout.Serving() {
			holders := slices.DeleteFunc(slices.Clone(s.Holders), func(id string) bool { return ready[id].ID == "" })
			if len(holders) == 0 {
				faults.add(fmt.Errorf("segment %d: none of its holders %v is ready, as discovery has it", s.ID, s.Holders))
			}
			for _, id := range holders {
				wanted[id] = true
			}
		}
	}
	type target struct{ what, addr string }
	targets := []target{{"discovery", c.Config.Discovery}}
	for id := range wanted {
		targets = append(targets, target{"searcher " + id, ready[id].Addr})
	}
	dead := &sync.Map{}
	var dials sync.WaitGroup
	room := make(chan struct{}, dialsMost)
	for _, t := range targets {
		dials.Add(1)
		room <- struct{}{}
		go func() {
			defer dials.Done()
			defer func() { <-room }()
			dialer := net.Dialer{Timeout: dialTime}
			conn, err := dialer.DialContext(ctx, "tcp", t.addr)
			if err != nil {
				dead.Store(t.what, err)
				return
			}
			_ = conn.Close()
		}()
	}
	dials.Wait()
	if err, bad := dead.Load("discovery"); bad {
		faults.add(fmt.Errorf("discovery does not connect: %w", err.(error)))
	}
	if c.Layout != nil {
		faults.addHolders(c.Layout, ready, dead)
	}
	return faults.err()
}

// faults are bounded.
type faults struct {
	list []error
	more int
}

func (f *faults) add(err error) {
	if len(f.list) >= faultsMost {
		f.more++
		return
	}
	f.list = append(f.list, err)
}

func (f *faults) err() error {
	if f.more > 0 {
		f.list = append(f.list, fmt.Errorf("and %d faults more", f.more))
	}
	return errors.Join(f.list...)
}

// addHolders adds the segments none of whose ready holders can be connected to. A
// single holder that can't is no fault: that happens every day.
func (f *faults) addHolders(l *layout.Layout, ready map[string]netio.Searcher, dead *sync.Map) {
	for s := range l.Serving() {
		alive, known := 0, 0
		for _, id := range s.Holders {
			if ready[id].ID == "" {
				continue
			}
			known++
			if _, bad := dead.Load("searcher " + id); !bad {
				alive++
			}
		}
		if known > 0 && alive == 0 {
			f.add(fmt.Errorf("segment %d: none of its holders %v can be connected to", s.ID, s.Holders))
		}
	}
}
