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

// fakeNode holds what it was told to adopt, and what the file held then.
type fakeNode struct {
	epoch layout.Epoch
	file  string
	kept  string
	ended bool
}

func (n *fakeNode) State(context.Context, int64) (netio.State, bool) {
	return netio.State{Epoch: n.epoch, Oldest: 1}, !n.ended
}

func (n *fakeNode) Adopt(l *layout.Layout) {
	n.epoch = l.Epoch()
	text, _ := os.ReadFile(n.file)
	n.kept = string(text)
}

func text(epoch int) string {
	return fmt.Sprintf(`<layout xmlns="urn:eiderwinch:layout:1" epoch="%d" next="1" replicas="1"><searcher id="s" zone="x"/><segment id="0"><holder searcher="s"/></segment></layout>`, epoch)
}

func TestAnEpochIsOnDiskBeforeItIsTakenUp(t *testing.T) {
	dir := t.TempDir()
	n := &fakeNode{epoch: 3, file: filepath.Join(dir, "layout.xml")}
	g := &Gatherer{Name: "g", Node: n, Layout: n.file}
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
	if got, err := put(text(5)); err != nil || got.Epoch != 5 || n.epoch != 5 || n.kept != text(5) {
		t.Errorf("have %+v, %v; on disk was %q", got, err, n.kept)
	}
	status := func(err error) int {
		var e *Error
		errors.As(err, &e)
		if e == nil {
			return 0
		}
		return e.Status
	}
	if _, err := put(text(4)); status(err) != http.StatusConflict || !strings.Contains(err.Error(), "found epoch 4, want one after 5") {
		t.Errorf("an older epoch: %v", err)
	}
	if _, err := put(text(5)); err != nil {
		t.Errorf("the same again: %v", err)
	}
	if _, err := put(strings.Replace(text(6), `searcher="s"`, `searcher="q"`, 1)); status(err) != http.StatusUnprocessableEntity {
		t.Errorf("one on another fleet: %v", err)
	}
	g.Layout = filepath.Join(dir, "none", "layout.xml")
	if _, err := put(text(6)); status(err) != http.StatusInternalServerError || n.epoch != 5 {
		t.Errorf("one that can't be kept: %v, epoch %d", err, n.epoch)
	}
	g.Layout = ""
	if _, err := put(text(7)); status(err) != http.StatusForbidden {
		t.Errorf("where none are taken: %v", err)
	}
	var state GathererState
	if err := c.Do(ctx, http.MethodGet, "/v1/state?after=x", nil, &state); status(err) != http.StatusBadRequest {
		t.Errorf("an odd second: %v", err)
	}
	if err := c.Do(ctx, http.MethodGet, "/v1/state?after=3", nil, &state); err != nil || state.Name != "g" || state.Epoch != 5 {
		t.Errorf("state %+v, %v", state, err)
	}
	n.ended = true
	if err := c.Do(ctx, http.MethodGet, "/v1/state", nil, &state); status(err) != http.StatusServiceUnavailable {
		t.Errorf("one that has ended: %v", err)
	}
	if left, _ := filepath.Glob(filepath.Join(dir, ".layout*")); len(left) > 0 {
		t.Errorf("left behind: %v", left)
	}
}

func TestWhereItListens(t *testing.T) {
	path := filepath.Join(t.TempDir(), "s")
	s, err := Serve("unix:"+path, http.NotFoundHandler())
	if err != nil {
		t.Fatal(err)
	}
	if info, err := os.Stat(path); err != nil || info.Mode().Perm() != socketMode {
		t.Errorf("others may use it: %v, %v", info.Mode(), err)
	}
	if _, err := Listen("unix:" + path); !errors.Is(err, errServed) {
		t.Errorf("one that is served: %v", err)
	}
	if err := s.Close(); err != nil {
		t.Error(err)
	}
	// What a killed process leaves.
	l, err := Listen("unix:" + path)
	if err != nil {
		t.Fatal(err)
	}
	l.(interface{ SetUnlinkOnClose(bool) }).SetUnlinkOnClose(false)
	l.Close()
	if l, err = Listen("unix:" + path); err != nil {
		t.Fatalf("one that is left over: %v", err)
	}
	l.Close()
	if err := os.WriteFile(path, nil, 0o600); err != nil {
		t.Fatal(err)
	}
	for _, bad := range []string{"unix:" + path, "0.0.0.0:0", "example:80"} {
		if l, err := Listen(bad); err == nil {
			l.Close()
			t.Errorf("it listens at %s", bad)
		}
	}
}
