package migrate

import (
	"context"
	"errors"
	"path/filepath"
	"sync"
	"testing"
	"time"

	bolterrors "go.etcd.io/bbolt/errors"

	"eiderwinch/internal/layout"
	"eiderwinch/internal/layout/reshard"
	"eiderwinch/internal/layout/reshardlog"
)

// fakeExecutor records the calls, and reports like searchers that copy and drop segments at once.
type fakeExecutor struct {
	driver *Driver // set before anything is submitted

	mu      sync.Mutex
	terms   []uint64
	actions []string
	epoch   layout.Epoch
}

func (p *fakeExecutor) record(s string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.actions = append(p.actions, s)
}

func (p *fakeExecutor) StartTerm(_ string, term uint64) { p.terms = append(p.terms, term) }
func (p *fakeExecutor) Publish(l *layout.Layout) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.epoch = l.Epoch()
}
func (p *fakeExecutor) Fill(f reshard.Fill) {
	p.record("fill " + f.Target.Searcher)
	go func() {
		p.driver.Notify(reshard.Copied{Job: f.Job, Target: f.Target})
		p.driver.Notify(reshard.Lag{Job: f.Job, Target: f.Target})
	}()
}
func (p *fakeExecutor) Stop(reshard.JobID) { p.record("stop") }
func (p *fakeExecutor) SetRate(float64)    { p.record("rate") }
func (p *fakeExecutor) Drop(t reshard.Target) {
	p.record("drop " + t.Searcher)
	go p.driver.Notify(reshard.Dropped{Target: t})
}

var fleet = layout.Fleet{Zones: map[string]string{"a": "x", "b": "x"}, Replicas: 1}

// limits lets a coordinator that has just started seal without waiting for gatherers.
var limits = reshard.Limits{GathererTimeout: time.Nanosecond}

func moveTo(to string) layout.Change {
	return layout.Change{Kind: layout.Move, Segments: []layout.SegmentID{0}, Holders: [][]string{{to}}}
}

func startDriver(t *testing.T, path string) (*Driver, *fakeExecutor, func(), <-chan reshard.Ended) {
	t.Helper()
	first, err := layout.First(layout.Segment{ID: 0, Keys: layout.All, Holders: []string{"a"}})
	if err != nil {
		t.Fatal(err)
	}
	ended := make(chan reshard.Ended, 10)
	ctx, stop := context.WithCancel(context.Background())
	p := &fakeExecutor{}
	p.driver, err = Start(ctx, Options{Path: path, First: first, Fleet: fleet, Limits: limits, OnEnded: func(e reshard.Ended) { ended <- e }}, p)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(stop)
	return p.driver, p, stop, ended
}

func TestChangeIsExecutedAndSurvivesRestart(t *testing.T) {
	path := filepath.Join(t.TempDir(), "log")
	d, p, stop, ended := startDriver(t, path)
	id, err := d.Submit(moveTo("b"))
	if err != nil {
		t.Fatal(err)
	}
	if e := <-ended; e.Job != id || e.Phase != reshard.Done {
		t.Errorf("ended with %+v", e)
	}
	if _, err := d.Submit(moveTo("q")); !errors.Is(err, layout.ErrUnknown) {
		t.Errorf("move to an unknown searcher: %v", err)
	}
	if err := d.Abort(9, ""); !errors.Is(err, reshard.ErrUnknownJob) {
		t.Errorf("abort of an unknown job: %v", err)
	}
	stop()
	if err := d.Wait(); err != nil {
		t.Error(err)
	}
	if _, err := d.Submit(moveTo("a")); !errors.Is(err, ErrEnded) {
		t.Errorf("after the driver has ended: %v", err)
	}
	if err := d.Inspect(func(*reshard.Coordinator) {}); !errors.Is(err, ErrEnded) {
		t.Errorf("after the driver has ended: %v", err)
	}
	d.Notify(reshard.Tick{}) // must not hang
	p.mu.Lock()
	if want := []string{"fill b", "drop a", "stop"}; len(p.actions) != 3 || p.actions[0] != want[0] || p.actions[1] != want[1] || p.actions[2] != want[2] {
		t.Errorf("executed %v, want %v", p.actions, want)
	}
	epoch := p.epoch
	p.mu.Unlock()

	again, q, _, ended := startDriver(t, path)
	if q.terms[0] != 2 || p.terms[0] != 1 {
		t.Errorf("terms %v, then %v", p.terms, q.terms)
	}
	err = again.Inspect(func(c *reshard.Coordinator) {
		if c.Layout().Epoch() != epoch || c.Layout().Segment(0).Holders[0] != "b" {
			t.Errorf("epoch %d, want %d", c.Layout().Epoch(), epoch)
		}
	})
	if err != nil {
		t.Fatal(err)
	}
	if _, err := again.Submit(moveTo("a")); err != nil {
		t.Fatal(err)
	}
	if e := <-ended; e.Phase != reshard.Done {
		t.Errorf("ended with %+v", e)
	}
}

// TestDriverEndsWhenLogCannotBeWritten guards against effects that are executed
// although their records could not be written.
func TestDriverEndsWhenLogCannotBeWritten(t *testing.T) {
	path := filepath.Join(t.TempDir(), "log")
	d, p, _, _ := startDriver(t, path)
	if err := d.Inspect(func(*reshard.Coordinator) { _ = d.log.Close() }); err != nil {
		t.Fatal(err)
	}
	if _, err := d.Submit(moveTo("b")); !errors.Is(err, ErrEnded) {
		t.Errorf("submit without a log: %v", err)
	}
	if err := d.Wait(); !errors.Is(err, bolterrors.ErrDatabaseNotOpen) {
		t.Errorf("ended with %v", err)
	}
	if len(p.actions) > 0 {
		t.Errorf("executed %v", p.actions)
	}
}

func TestLogIsLockedAgainstSecondDriver(t *testing.T) {
	path := filepath.Join(t.TempDir(), "log")
	startDriver(t, path)
	if l, err := reshardlog.Open(path); err == nil {
		l.Close()
		t.Error("the log was opened twice")
	}
}
