package manager

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"net/http"
	"net/http/httptest"
	"path/filepath"
	"strings"
	"sync"
	"testing"
	"time"

	"eiderwinch/internal/configuration/bundle"
	"eiderwinch/internal/configuration/change"
	"eiderwinch/internal/configuration/history"
	"eiderwinch/internal/daemon"
	"eiderwinch/internal/discovery"
	"eiderwinch/internal/netio"
	"eiderwinch/internal/querystats"
	"eiderwinch/internal/trial/testpeer"
)

// fakeNode is a Node that records the applied settings and returns what the test sets.
type fakeNode struct {
	mu        sync.Mutex
	applied   []netio.LiveSettings
	windows   []querystats.Window
	applyErr  error
	searchers []netio.Searcher
	discovery *discovery.AddressOwner
}

func (n *fakeNode) DiscoveryAddress() discovery.Address { return n.discovery.Address() }

func (n *fakeNode) State(_ context.Context, after int64) (netio.State, bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	var s netio.State
	for _, w := range n.windows {
		if w.Second > after {
			s.Service = append(s.Service, w)
		}
	}
	return s, true
}

func (n *fakeNode) Apply(_ context.Context, l netio.LiveSettings) error {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.applyErr != nil {
		return n.applyErr
	}
	n.applied = append(n.applied, l)
	return nil
}

func (n *fakeNode) Searchers(context.Context) ([]netio.Searcher, bool) { return n.searchers, true }

func (n *fakeNode) Generations(context.Context) ([]uint64, bool) {
	return []uint64{n.lastGeneration()}, true
}

func (n *fakeNode) lastGeneration() uint64 {
	n.mu.Lock()
	defer n.mu.Unlock()
	if len(n.applied) == 0 {
		return 1
	}
	return n.applied[len(n.applied)-1].Core.Generation
}

func (n *fakeNode) lastMultiplex() int {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.applied[len(n.applied)-1].Multiplex
}

const platform = `{"name":"n","listen":"127.0.0.1:0","discovery":%q,"limits":{"memory_mb":192,"sockets":1024},"known":{"revision":1,"members":[]},
	"settings":{"membership_mode":"pushed","domain":{"places":1,"in_a_row":1,"shards":4,"per_call":4},"policy_limits":{"max_open":1000,"attempts_cap":3},
	"classes":[{"name":"search","aim":1000000000,"deadline":4000000000,"effect":"safe","worth":1}]}}`

// operators returns an operators' file with the given elements.
func operators(elements string) []byte {
	return []byte(`<eiderwinch xmlns="urn:eiderwinch:operators:1">` + elements + `</eiderwinch>`)
}

// startManager starts the configuration manager of a fake node. Its discovery address
// accepts connections.
func startManager(t testing.TB, h History) (*Manager, *fakeNode) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	initial, err := bundle.Check(bundle.Bundle{Platform: fmt.Appendf(nil, platform, listener.Addr()), Operators: operators("")}, bundle.Names{Operators: "e.xml"})
	if err != nil {
		t.Fatal(err)
	}
	n := &fakeNode{discovery: discovery.NewAddressOwner(initial.Config.Discovery, time.Now())}
	ctx, stop := context.WithCancel(context.Background())
	m := Start(ctx, Options{
		Node: n, Initial: initial, AtStart: initial.Files(), Machine: change.New(initial.Hash, change.Limits{}), History: h, LiveSettings: daemon.LiveSettings, Logger: slog.New(slog.DiscardHandler),
		Names: bundle.Names{Operators: "e.xml"}, ReadFiles: func() (bundle.Bundle, string, error) { return initial.Bundle, "", nil },
	})
	t.Cleanup(func() {
		stop()
		_ = m.Wait()
		_ = listener.Close()
	})
	return m, n
}

// stateOf returns the state of a transaction.
func (m *Manager) stateOf(t *testing.T, tx change.Tx) string {
	t.Helper()
	s, err := m.Status(context.Background())
	if err != nil {
		t.Fatal(err)
	}
	for _, x := range s.Transactions {
		if x.Tx == tx {
			return x.State
		}
	}
	return "unknown"
}

// stage stages an operators' file with the given elements.
func stage(t *testing.T, m *Manager, elements string) change.Tx {
	t.Helper()
	s, err := m.Stage(context.Background(), bundle.Bundle{Operators: operators(elements)}, 0, "test", "")
	if err != nil {
		t.Fatal(err)
	}
	return s.Tx
}

func TestChangeIsAppliedConfirmedAndShown(t *testing.T) {
	m, n := startManager(t, nil)
	ctx := context.Background()
	tx := stage(t, m, `<class name="search" open="7" attempts="2"/><pools multiplex="3"/>`)
	auto := false
	if err := m.Apply(ctx, tx, time.Minute, &auto); err != nil {
		t.Fatal(err)
	}
	testpeer.WaitUntil(t, "probation", func() bool { return m.stateOf(t, tx) == "probation" })
	if l := n.applied[0]; l.Core.Generation != 2 || l.Core.Classes[0].MaxOpen != 7 || l.Core.Classes[0].Attempts != 2 || l.Multiplex != 3 || l.Core.MaxOpen != 1000 {
		t.Errorf("applied %+v with %+v", l, l.Core)
	}
	other := stage(t, m, `<pools multiplex="4"/>`)
	if err := m.Apply(ctx, other, 0, nil); !errors.Is(err, change.ErrBusy) {
		t.Errorf("applying a second change: %v", err)
	}
	if err := m.Confirm(ctx, tx); err != nil {
		t.Fatal(err)
	}
	if err := m.Apply(ctx, other, 0, nil); !errors.Is(err, change.ErrStale) {
		t.Errorf("applying a change made against the previous generation: %v", err)
	}
	if b, err := m.Show(ctx, 2); err != nil || !strings.Contains(string(b.Operators), `multiplex="3"`) {
		t.Errorf("generation 2: %v, %s", err, b.Operators)
	}
	if _, err := m.Show(ctx, 9); err == nil {
		t.Error("generation 9 is shown")
	}
	if _, err := m.Stage(ctx, bundle.Bundle{Operators: operators(`<class name="search" within="5s" copies="2"/><class name="x"/>`)}, 0, "", ""); err == nil ||
		!strings.Contains(err.Error(), "copies=2") {
		t.Errorf("staging an invalid configuration: %v", err)
	}
	if _, err := m.Stage(ctx, bundle.Bundle{Operators: operators(`<class name="search" within="5s"/><admission open="900000"/>`)}, 0, "", ""); err == nil ||
		!strings.Contains(err.Error(), "at most the deadline of search, 4s") || !strings.Contains(err.Error(), "at most max_open, 1000") {
		t.Errorf("staging a configuration outside the platform's limits: %v", err)
	}
}

// A change after which most queries fail must be undone during its probation, with
// the regression as its reason.
func TestChangeIsUndoneAfterRegression(t *testing.T) {
	m, n := startManager(t, nil)
	second := time.Now().Unix() - 100
	add := func(failed int) {
		n.mu.Lock()
		defer n.mu.Unlock()
		second++
		n.windows = append(n.windows, querystats.Window{Second: second, Classes: []querystats.ClassCounts{{
			Name: "search", Taken: 100, Whole: 100 - failed, Failed: failed, Times: []querystats.Bucket{{Micros: 20_000, N: int64(100 - failed)}},
		}}})
	}
	for range 60 {
		add(0)
	}
	tx := stage(t, m, `<class name="search" within="20ms"/>`)
	if err := m.Apply(context.Background(), tx, time.Hour, nil); err != nil {
		t.Fatal(err)
	}
	testpeer.WaitUntil(t, "probation", func() bool { return m.stateOf(t, tx) == "probation" })
	add(60) // the second of the change itself
	add(60)
	add(60)
	testpeer.WaitUntil(t, "the undo", func() bool { return m.stateOf(t, tx) == "undone" })
	if n.lastGeneration() != 1 {
		t.Errorf("generation %d is in force", n.lastGeneration())
	}
	s, _ := m.Status(context.Background())
	if len(s.Regressions) == 0 || !strings.Contains(s.Transactions[0].Reason, "service fell: search: 60.0%") {
		t.Errorf("%+v", s)
	}
}

func TestFailedSwapIsUndone(t *testing.T) {
	m, n := startManager(t, nil)
	n.applyErr = netio.ErrNotServing
	tx := stage(t, m, `<pools multiplex="4"/>`)
	if err := m.Apply(context.Background(), tx, 0, nil); err != nil {
		t.Fatal(err)
	}
	testpeer.WaitUntil(t, "the undo", func() bool { return m.stateOf(t, tx) == "undone" })
}

// Runs many changes one after the other: none may be lost, and the candidates and
// transactions held in memory must stay bounded.
func TestThousandChangesInARow(t *testing.T) {
	h, err := history.Open(filepath.Join(t.TempDir(), "h.db"))
	if err != nil {
		t.Fatal(err)
	}
	defer h.Close()
	m, n := startManager(t, nil)
	b, _ := m.machine.Base()
	if err := h.SetBase(b, m.inForce.Bundle); err != nil {
		t.Fatal(err)
	}
	ctx := context.Background()
	changes := 1000
	if testing.Short() {
		changes = 50
	}
	for i := range changes {
		tx := stage(t, m, fmt.Sprintf(`<class name="search" open="%d"/>`, i+1))
		if err := m.Apply(ctx, tx, time.Minute, nil); err != nil {
			t.Fatal(err)
		}
		testpeer.WaitUntil(t, "probation", func() bool { return m.Confirm(ctx, tx) == nil })
	}
	if n.lastGeneration() != uint64(changes)+1 {
		t.Errorf("generation %d", n.lastGeneration())
	}
	_ = m.runInLoop(ctx, func() {
		if len(m.candidates) > maxKeptCandidates+2 || len(m.candidateOrder) != len(m.candidates) || len(m.machine.Txs()) > 256 {
			t.Errorf("%d candidates, %d entries in their order and %d transactions are held", len(m.candidates), len(m.candidateOrder), len(m.machine.Txs()))
		}
	})
}

// A layout must be refused if a segment has no ready holder that accepts a connection,
// and only such segments may be reported.
func TestDryRunReportsSegmentsWithoutReachableHolder(t *testing.T) {
	m, n := startManager(t, nil)
	reachable, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer reachable.Close()
	unreachable, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	unreachable.Close()
	n.searchers = []netio.Searcher{{ID: "a", Addr: reachable.Addr().String(), Ready: true}, {ID: "b", Addr: unreachable.Addr().String(), Ready: true}, {ID: "c", Addr: reachable.Addr().String()}}
	text := `<layout xmlns="urn:eiderwinch:layout:1" epoch="1" next="3" replicas="1"><searcher id="a" zone="x"/><searcher id="b" zone="x"/><searcher id="c" zone="x"/>
		<segment id="0" to="d"><holder searcher="a"/><holder searcher="b"/></segment><segment id="1" from="d" to="k"><holder searcher="b"/></segment>
		<segment id="2" from="k"><holder searcher="c"/></segment></layout>`
	_, err = m.Stage(context.Background(), bundle.Bundle{Layout: []byte(text)}, 0, "", "")
	if err == nil || !strings.Contains(err.Error(), "segment 1: none of its holders [b] accepts a connection") ||
		!strings.Contains(err.Error(), "segment 2: none of its holders [c] is ready") || strings.Contains(err.Error(), "segment 0") {
		t.Errorf("have %v", err)
	}
}

// FuzzAdmin checks that the admin endpoints respond to any request with well-formed JSON
// and never with status 500.
func FuzzAdmin(f *testing.F) {
	for _, s := range []struct{ method, path, body string }{
		{"POST", "/v1/config", `{"operators":"PGVpZGVyd2luY2gvPg==","note":"x"}`}, {"GET", "/v1/config", ""},
		{"POST", "/v1/config/1/apply", `{"within_ms":1000,"auto":true}`}, {"POST", "/v1/config/1/confirm", ""},
		{"POST", "/v1/config/1/undo", `{"reason":"x"}`}, {"GET", "/v1/config/generations/1", ""}, {"POST", "/v1/config/reload", ""},
	} {
		f.Add(s.method, s.path, s.body)
	}
	m, _ := startManager(f, nil)
	mux := http.NewServeMux()
	m.RegisterHandlers(mux)
	f.Fuzz(func(t *testing.T, method, path, body string) {
		r, err := http.NewRequest(method, "http://admin/", bytes.NewReader([]byte(body)))
		if err != nil || !strings.HasPrefix(path, "/") {
			return
		}
		if r.URL.Path = path; len(path) > 1000 {
			return
		}
		w := httptest.NewRecorder()
		mux.ServeHTTP(w, r)
		if w.Header().Get("Content-Type") == "application/json" && !json.Valid(w.Body.Bytes()) || w.Code < 200 || w.Code == 500 {
			t.Errorf("%s %q %q: %d %s", method, path, body, w.Code, w.Body)
		}
	})
}

// Each layout given to the node must have a higher epoch than the one before, whatever
// epoch its file gives, also after an undo: the node silently ignores a layout with a lower
// epoch.
func TestEachAppliedLayoutHasNewerEpoch(t *testing.T) {
	text := func(epoch int, holder string) []byte {
		return fmt.Appendf(nil, `<layout xmlns="urn:eiderwinch:layout:1" epoch="%d" next="1" replicas="1"><searcher id="a" zone="x"/><searcher id="b" zone="x"/><segment id="0"><holder searcher=%q/></segment></layout>`, epoch, holder)
	}
	candidate := func(epoch int, holder string) *bundle.Candidate {
		c, err := bundle.Check(bundle.Bundle{Platform: fmt.Appendf(nil, platform, "127.0.0.1:1"), Operators: operators(""), Layout: text(epoch, holder)}, bundle.Names{})
		if err != nil {
			t.Fatal(err)
		}
		return c
	}
	first := candidate(1, "a")
	m := &Manager{opts: Options{LiveSettings: daemon.LiveSettings}, layout: first.Layout, layoutText: first.Bundle.Layout}
	for i, c := range []struct {
		to     *bundle.Candidate
		epoch  uint64
		holder string
	}{
		{candidate(2, "b"), 2, "b"}, {first, 3, "a"}, // applied and undone
		{candidate(2, "b"), 4, "b"}, {first, 5, "a"}, // the same file again
		{candidate(9, "b"), 9, "b"},
	} {
		l := m.liveSettings(c.to, 2).Layout
		if l == nil || uint64(l.Epoch()) != c.epoch || l.Segment(0).Holders[0] != c.holder {
			t.Fatalf("change %d: have %v, want epoch %d at %s", i+1, l, c.epoch, c.holder)
		}
	}
	if l := m.liveSettings(candidate(9, "b"), 3).Layout; l != nil {
		t.Errorf("the layout in force is given to the node again, as epoch %d", l.Epoch())
	}
	m = &Manager{opts: Options{LiveSettings: daemon.LiveSettings}}
	if l := m.liveSettings(first, 2).Layout; l != nil {
		t.Error("a layout that takes effect at the next start only is put in force")
	}
}
