package migrate

import (
	"context"
	"errors"
	"path/filepath"
	"sync"
	"testing"
	"time"

	"go.etcd.io/bbolt"

	"eiderwinch/internal/layout"
	"eiderwinch/internal/layout/reshard"
	"eiderwinch/internal/layout/reshardlog"
)

// peers book what they are told, and answer as a searcher would that copies at once.
type peers struct {
	d *Driver // set before anything is submitted

	mu    sync.Mutex
	terms []uint64
	did   []string
	epoch layout.Epoch
}

func (p *peers) book(s string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.did = append(p.did, s)
}

func (p *peers) Begin(_ string, term uint64) { p.terms = append(p.terms, term) }
func (p *peers) Publish(l *layout.Layout) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.epoch = l.Epoch()
}
func (p *peers) Fill(f reshard.Fill) {
	p.book("fill " + f.Target.Searcher)
	go func() {
		p.d.Tell(reshard.Copied{Job: f.Job, Target: f.Target})
		p.d.Tell(reshard.Lag{Job: f.Job, Target: f.Target})
	}()
}
func (p *peers) Stop(reshard.JobID) { p.book("stop") }
func (p *peers) Rate(float64)       { p.book("rate") }
func (p *peers) Drop(t reshard.Target) {
	p.book("drop " + t.Searcher)
	go p.d.Tell(reshard.Dropped{Target: t})
}

var fleet = layout.Fleet{Zones: map[string]string{"a": "x", "b": "x"}, Replicas: 1}

// limits let a coordinator that was just started retire at once.
var limits = reshard.Limits{Gatherer: time.Nanosecond}

func move(to string) layout.Change {
	return layout.Change{Kind: layout.Move, Segments: []layout.SegmentID{0}, Holders: [][]string{{to}}}
}

func start(t *testing.T, path string) (*Driver, *peers, func(), <-chan reshard.Ended) {
	t.Helper()
	first, err := layout.First(layout.Segment{ID: 0, Keys: layout.All, Holders: []string{"a"}})
	if err != nil {
		t.Fatal(err)
	}
	ended := make(chan reshard.Ended, 10)
	ctx, stop := context.WithCancel(context.Background())
	p := &peers{}
	p.d, err = Start(ctx, Options{Path: path, First: first, Fleet: fleet, Limits: limits, Ended: func(e reshard.Ended) { ended <- e }}, p)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(stop)
	return p.d, p, stop, ended
}

func TestAChangeIsCarriedOutAndOutlivesTheDriver(t *testing.T) {
	path := filepath.Join(t.TempDir(), "log")
	d, p, stop, ended := start(t, path)
	id, err := d.Submit(move("b"))
	if err != nil {
		t.Fatal(err)
	}
	if e := <-ended; e.Job != id || e.Phase != reshard.Done {
		t.Errorf("it ended as %+v", e)
	}
	if _, err := d.Submit(move("q")); !errors.Is(err, layout.ErrUnknown) {
		t.Errorf("a move to nowhere: %v", err)
	}
	if err := d.Abort(9, ""); !errors.Is(err, reshard.ErrNoJob) {
		t.Errorf("an abort of nothing: %v", err)
	}
	stop()
	if err := d.Wait(); err != nil {
		t.Error(err)
	}
	if _, err := d.Submit(move("a")); !errors.Is(err, ErrEnded) {
		t.Errorf("after its end: %v", err)
	}
	if err := d.Look(func(*reshard.Coordinator) {}); !errors.Is(err, ErrEnded) {
		t.Errorf("after its end: %v", err)
	}
	d.Tell(reshard.Tick{}) // must not hang
	p.mu.Lock()
	if want := []string{"fill b", "drop a", "stop"}; len(p.did) != 3 || p.did[0] != want[0] || p.did[1] != want[1] || p.did[2] != want[2] {
		t.Errorf("did %v, want %v", p.did, want)
	}
	epoch := p.epoch
	p.mu.Unlock()

	again, q, _, ended := start(t, path)
	if q.terms[0] != 2 || p.terms[0] != 1 {
		t.Errorf("terms %v, then %v", p.terms, q.terms)
	}
	err = again.Look(func(c *reshard.Coordinator) {
		if c.Layout().Epoch() != epoch || c.Layout().Segment(0).Holders[0] != "b" {
			t.Errorf("epoch %d, want %d", c.Layout().Epoch(), epoch)
		}
	})
	if err != nil {
		t.Fatal(err)
	}
	if _, err := again.Submit(move("a")); err != nil {
		t.Fatal(err)
	}
	if e := <-ended; e.Phase != reshard.Done {
		t.Errorf("it ended as %+v", e)
	}
}

// What can't be written must not be done.
func TestADriverEndsWithItsLog(t *testing.T) {
	path := filepath.Join(t.TempDir(), "log")
	d, p, _, _ := start(t, path)
	if err := d.Look(func(*reshard.Coordinator) { _ = d.log.Close() }); err != nil {
		t.Fatal(err)
	}
	if _, err := d.Submit(move("b")); !errors.Is(err, ErrEnded) {
		t.Errorf("it was taken: %v", err)
	}
	if err := d.Wait(); !errors.Is(err, bbolt.ErrDatabaseNotOpen) {
		t.Errorf("it ended with %v", err)
	}
	if len(p.did) > 0 {
		t.Errorf("it did %v", p.did)
	}
}

func TestTwoDriversCantShareALog(t *testing.T) {
	path := filepath.Join(t.TempDir(), "log")
	start(t, path)
	if l, err := reshardlog.Open(path); err == nil {
		l.Close()
		t.Error("a second one opened it")
	}
}
