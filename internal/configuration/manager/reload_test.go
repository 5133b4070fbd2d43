package manager

import (
	"context"
	"errors"
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
