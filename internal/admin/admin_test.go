package admin

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"eiderwinch/internal/layout"
	"eiderwinch/internal/netio"
)

// fakeNode records the epoch that it adopted, and the contents of the layout file at that
// time.
type fakeNode struct {
	epoch       layout.Epoch
	file        string
	fileAtAdopt string
	ended       bool
}

func (n *fakeNode) State(context.Context, int64) (netio.State, bool) {
	return netio.State{Epoch: n.epoch, OldestEpoch: 1}, !n.ended
}

func (n *fakeNode) Adopt(l *layout.Layout) {
	n.epoch = l.Epoch()
	text, _ := os.ReadFile(n.file)
	n.fileAtAdopt = string(text)
}

func layoutXML(epoch int) string {
	return fmt.Sprintf(`<layout xmlns="urn:eiderwinch:layout:1" epoch="%d" next="1" replicas="1"><searcher id="s" zone="x"/><segment id="0"><holder searcher="s"/></segment></layout>`, epoch)
}

// If an epoch were adopted before it is on disk, a gatherer killed in between would
// restart with an older one. Older epochs and faulty layouts must be refused.
func TestEpochIsOnDiskBeforeItIsAdopted(t *testing.T) {
	dir := t.TempDir()
	n := &fakeNode{epoch: 3, file: filepath.Join(dir, "layout.xml")}
	g := &Gatherer{Name: "g", Node: n, LayoutPath: n.file}
	s, err := Serve("unix:"+filepath.Join(dir, "s"), g.Handler())
	if err != nil {
		t.Fatal(err)
	}
	defer s.Close()
	c := NewClient(s.Endpoint(), time.Minute, nil)
	defer c.Close()
	ctx := context.Background()
	put := func(text string) (GathererState, error) {
		var got GathererState
		err := c.Do(ctx, http.MethodPut, "/v1/layout", []byte(text), &got)
		return got, err
	}
	if got, err := put(layoutXML(5)); err != nil || got.Epoch != 5 || n.epoch != 5 || n.fileAtAdopt != layoutXML(5) {
		t.Errorf("have %+v, %v; on disk was %q", got, err, n.fileAtAdopt)
	}
	status := func(err error) int {
		var e *Error
		errors.As(err, &e)
		if e == nil {
			return 0
		}
		return e.Status
	}
	if _, err := put(layoutXML(4)); status(err) != http.StatusConflict || !strings.Contains(err.Error(), "found epoch 4, want 5 or a later one") {
		t.Errorf("an older epoch: %v", err)
	}
	if _, err := put(layoutXML(5)); err != nil {
		t.Errorf("the same epoch again: %v", err)
	}
	if _, err := put(strings.Replace(layoutXML(6), `searcher="s"`, `searcher="q"`, 1)); status(err) != http.StatusUnprocessableEntity {
		t.Errorf("a layout with an unknown searcher: %v", err)
	}
	g.LayoutPath = filepath.Join(dir, "none", "layout.xml")
	if _, err := put(layoutXML(6)); status(err) != http.StatusInternalServerError || n.epoch != 5 {
		t.Errorf("a layout file that can't be written: %v, epoch %d", err, n.epoch)
	}
	g.LayoutPath = ""
	if _, err := put(layoutXML(7)); status(err) != http.StatusForbidden {
		t.Errorf("a gatherer that accepts no epochs: %v", err)
	}
	var state GathererState
	if err := c.Do(ctx, http.MethodGet, "/v1/state?after=x", nil, &state); status(err) != http.StatusBadRequest {
		t.Errorf("a malformed second: %v", err)
	}
	if err := c.Do(ctx, http.MethodGet, "/v1/state?after=3", nil, &state); err != nil || state.Name != "g" || state.Epoch != 5 {
		t.Errorf("state %+v, %v", state, err)
	}
	n.ended = true
	if err := c.Do(ctx, http.MethodGet, "/v1/state", nil, &state); status(err) != http.StatusServiceUnavailable {
		t.Errorf("a gatherer that has ended: %v", err)
	}
	if left, _ := filepath.Glob(filepath.Join(dir, ".layout*")); len(left) > 0 {
		t.Errorf("left behind: %v", left)
	}
}

// A socket left by a killed process must not prevent a start; a socket in use, another
// kind of file and an address that is not loopback must be refused.
func TestListen(t *testing.T) {
	path := filepath.Join(t.TempDir(), "s")
	s, err := Serve("unix:"+path, http.NotFoundHandler())
	if err != nil {
		t.Fatal(err)
	}
	if info, err := os.Stat(path); err != nil || info.Mode().Perm() != socketMode {
		t.Errorf("the socket's mode is not owner-only: %v, %v", info.Mode(), err)
	}
	if _, err := Listen("unix:" + path); !errors.Is(err, errInUse) {
		t.Errorf("listening on a socket in use: %v", err)
	}
	if err := s.Close(); err != nil {
		t.Error(err)
	}
	// A killed process leaves its socket file behind.
	l, err := Listen("unix:" + path)
	if err != nil {
		t.Fatal(err)
	}
	l.(interface{ SetUnlinkOnClose(bool) }).SetUnlinkOnClose(false)
	l.Close()
	if l, err = Listen("unix:" + path); err != nil {
		t.Fatalf("listening on a left-over socket: %v", err)
	}
	l.Close()
	if err := os.WriteFile(path, nil, 0o600); err != nil {
		t.Fatal(err)
	}
	for _, endpoint := range []string{"unix:" + path, "0.0.0.0:0", "example:80"} {
		if l, err := Listen(endpoint); err == nil {
			l.Close()
			t.Errorf("listened at %s", endpoint)
		}
	}
}
