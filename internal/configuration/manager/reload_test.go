package manager

import (
	"context"
	"errors"
	"fmt"
	"strings"
	"testing"
	"time"

	"eiderwinch/internal/configuration/bundle"
	"eiderwinch/internal/configuration/change"
	"eiderwinch/internal/trial/testpeer"
)

// reload reloads an operators' file with the given elements.
func (m *Manager) reload(elements string) error {
	m.opts.ReadFiles = func() (bundle.Bundle, string, error) {
		return bundle.Bundle{Platform: m.opts.Initial.Platform, Operators: operators(elements)}, "", nil
	}
	return m.Reload(context.Background())
}

// Guards against files of a reload that are lost because another change was under way when they were read.
func TestFilesThatArriveDuringAChangeAreAppliedWhenItHasEnded(t *testing.T) {
	ctx := context.Background()
	const first, second, third = `<pools multiplex="2"/>`, `<pools multiplex="3"/>`, `<pools multiplex="4"/>`
	for name, end := range map[string]func(*Manager) error{
		"confirmed":     func(m *Manager) error { return m.Confirm(ctx, 1) },
		"undone":        func(m *Manager) error { return m.Undo(ctx, 1, "by hand") },
		"not confirmed": func(*Manager) error { return nil },
	} {
		t.Run(name, func(t *testing.T) {
			m, n := startManager(t, nil)
			probation := time.Minute
			if name == "not confirmed" {
				probation = time.Second
			}
			tx, auto := stage(t, m, first), false
			if err := m.Apply(ctx, tx, probation, &auto); err != nil {
				t.Fatal(err)
			}
			for _, elements := range []string{second, third} {
				if err := m.reload(elements); !errors.Is(err, ErrWaits) || !errors.Is(err, change.ErrBusy) {
					t.Errorf("reload of %s: %v", elements, err)
				}
			}
			if s, _ := m.Status(ctx); s.Waiting == nil || !strings.Contains(s.Waiting.Reason, "transaction 1 is") {
				t.Errorf("waiting: %+v", s.Waiting)
			}
			testpeer.WaitUntil(t, "probation", func() bool { return m.stateOf(t, tx) != "applying" })
			if err := end(m); err != nil {
				t.Fatal(err)
			}
			testpeer.WaitUntil(t, "the files that wait are applied", func() bool { return m.stateOf(t, 2) == "probation" })
			s, _ := m.Status(ctx)
			if n.lastMultiplex() != 4 || len(s.Transactions) != 2 || s.Waiting != nil {
				t.Errorf("multiplex %d, %+v", n.lastMultiplex(), s)
			}
		})
	}
}

// Guards against a text that is applied again after its undo, because it was reloaded while it was on probation.
func TestUndoneTextIsNotAppliedAgain(t *testing.T) {
	m, _ := startManager(t, nil)
	for range 2 {
		if err := m.reload(`<pools multiplex="2"/>`); err != nil {
			t.Fatal(err)
		}
		testpeer.WaitUntil(t, "probation", func() bool { return m.stateOf(t, 1) == "probation" })
	}
	if err := m.Undo(context.Background(), 1, "by hand"); err != nil {
		t.Fatal(err)
	}
	testpeer.WaitUntil(t, "the undo", func() bool { return m.stateOf(t, 1) == "undone" })
	time.Sleep(3 * clockInterval)
	if s, _ := m.Status(context.Background()); len(s.Transactions) != 1 || s.Waiting != nil {
		t.Errorf("%+v", s)
	}
}

// Guards against a staged platform's file that moves discovery, which the platform alone does.
func TestStagedAddressOfDiscoveryTakesNoEffect(t *testing.T) {
	m, n := startManager(t, nil)
	ctx := context.Background()
	before := n.DiscoveryAddress()
	for _, c := range []struct {
		b       bundle.Bundle
		ignored int
	}{
		{bundle.Bundle{Platform: fmt.Appendf(nil, platform, "127.0.0.1:1"), Operators: operators(`<pools multiplex="2"/>`)}, 1},
		{bundle.Bundle{Operators: operators(`<pools multiplex="3"/>`)}, 0}, // with the platform's file of the first
	} {
		s, err := m.Stage(ctx, c.b, 0, "", "")
		if err != nil || len(s.Ignored) != c.ignored {
			t.Fatalf("staged: %+v, %v; want %d values ignored", s, err, c.ignored)
		}
		if err := m.Apply(ctx, s.Tx, time.Minute, nil); err != nil {
			t.Fatal(err)
		}
		testpeer.WaitUntil(t, "probation", func() bool { return m.Confirm(ctx, s.Tx) == nil })
	}
	if now := n.DiscoveryAddress(); now != before {
		t.Errorf("discovery is asked at %+v, want %+v", now, before)
	}
	n.discovery.Move("127.0.0.1:1", time.Now())
	if _, err := m.Stage(ctx, bundle.Bundle{Operators: operators("")}, 0, "", ""); err == nil || !strings.Contains(err.Error(), "cannot connect to discovery") {
		t.Errorf("the dry run dials another address than the one in force: %v", err)
	}
}
