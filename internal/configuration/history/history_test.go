package history

import (
	"bytes"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"testing"
	"time"

	"go.etcd.io/bbolt"

	"eiderwinch/internal/configuration/bundle"
	"eiderwinch/internal/configuration/change"
	"eiderwinch/internal/format/sealed"
)

func newBundle(i int) bundle.Bundle {
	return bundle.Bundle{Platform: []byte("{}"), Operators: bytes.Repeat(fmt.Appendf(nil, "<e n=%d/>", i), 100)}
}

func openHistory(t *testing.T, path string) *History {
	t.Helper()
	h, err := Open(path)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = h.Close() })
	return h
}

// applyChanges stages, applies and confirms one change for each number in [from, to),
// and compacts the history as the configuration manager does.
func applyChanges(t *testing.T, h *History, m *change.Machine, from, to int) {
	t.Helper()
	for i := from; i < to; i++ {
		b := newBundle(i)
		var tx change.Tx
		for _, e := range []func() change.Event{
			func() change.Event { return change.Stage{Hash: b.Hash()} },
			func() change.Event { return change.Apply{Tx: tx, Probation: time.Minute} },
			func() change.Event { return change.Applied{Tx: tx} },
			func() change.Event { return change.Confirm{Tx: tx} },
		} {
			r := m.Step(time.Unix(int64(i), 0), e())
			if r.Tx != 0 {
				tx = r.Tx
			}
			if err := errors.Join(r.Err, h.Append(r.Records, &b)); err != nil {
				t.Fatal(err)
			}
		}
		if h.NeedsCompaction() {
			base, _ := m.Base()
			if err := h.SetBase(base, b); err != nil {
				t.Fatal(err)
			}
		}
	}
}

func TestLoadReturnsWhatWasWritten(t *testing.T) {
	path := filepath.Join(t.TempDir(), "h.db")
	h := openHistory(t, path)
	if _, _, err := h.Load(); !errors.Is(err, ErrEmpty) {
		t.Errorf("Load of a new history: %v", err)
	}
	m := change.New(newBundle(0).Hash(), change.Limits{})
	base, _ := m.Base()
	if err := h.SetBase(base, newBundle(0)); err != nil {
		t.Fatal(err)
	}
	applyChanges(t, h, m, 1, 4)
	if err := h.Close(); err != nil {
		t.Fatal(err)
	}
	h = openHistory(t, path)
	b, records, err := h.Load()
	if err != nil || len(records) != 12 {
		t.Fatalf("%d records, %v", len(records), err)
	}
	again, _, err := change.Recover(time.Unix(9, 0), b, change.Limits{}, records)
	if err != nil {
		t.Fatal(err)
	}
	gen, hash := again.Confirmed()
	got, err := h.Text(hash)
	if err != nil || gen != 4 || string(got.Operators) != string(newBundle(3).Operators) {
		t.Errorf("generation %d: %v", gen, err)
	}
	if _, err := h.Text(change.Hash{9}); !errors.Is(err, ErrNoText) {
		t.Errorf("Text of an unknown hash: %v", err)
	}
	applyChanges(t, h, again, 4, 6) // appending continues after recovery
}

// Without compaction, a long-running gatherer's history would grow without bound.
func TestSizeIsBounded(t *testing.T) {
	path := filepath.Join(t.TempDir(), "h.db")
	h := openHistory(t, path)
	m := change.New(newBundle(0).Hash(), change.Limits{})
	base, _ := m.Base()
	if err := h.SetBase(base, newBundle(0)); err != nil {
		t.Fatal(err)
	}
	h.db.NoSync = true // this test checks the size, not durability
	applyChanges(t, h, m, 1, 1200)
	texts := 0
	_ = h.db.View(func(tx *bbolt.Tx) error {
		texts = tx.Bucket(bucketTexts).Stats().KeyN
		return nil
	})
	if h.recordsSinceBase > maxRecords/2+4 || texts > maxKeptTexts+maxRecords/2/4+1 {
		t.Errorf("%d records, %d texts", h.recordsSinceBase, texts)
	}
	if info, err := os.Stat(path); err != nil || info.Size() > 8<<20 {
		t.Errorf("%v bytes, %v", info.Size(), err)
	}
}

// A changed byte, a missing record or a text under another hash must be reported, not
// recovered as a valid configuration.
func TestDamageIsDetected(t *testing.T) {
	for name, corrupt := range map[string]func(*bbolt.Tx) error{
		"a record": func(tx *bbolt.Tx) error {
			b := tx.Bucket(bucketRecords)
			key, value := b.Cursor().First()
			value = bytes.Clone(value)
			value[3] ^= 1
			return b.Put(key, value)
		},
		"a gap": func(tx *bbolt.Tx) error {
			b := tx.Bucket(bucketRecords)
			key, _ := b.Cursor().First()
			return b.Delete(key)
		},
		"the base": func(tx *bbolt.Tx) error { return tx.Bucket(bucketMeta).Put(keyBase, []byte("{}1234")) },
	} {
		h := openHistory(t, filepath.Join(t.TempDir(), "h.db"))
		m := change.New(newBundle(0).Hash(), change.Limits{})
		base, _ := m.Base()
		if err := h.SetBase(base, newBundle(0)); err != nil {
			t.Fatal(err)
		}
		applyChanges(t, h, m, 1, 3)
		if err := h.db.Update(corrupt); err != nil {
			t.Fatal(err)
		}
		if _, _, err := h.Load(); !errors.Is(err, sealed.ErrDamaged) {
			t.Errorf("%s: %v", name, err)
		}
	}
	h := openHistory(t, filepath.Join(t.TempDir(), "h.db"))
	b := newBundle(1)
	hash := b.Hash()
	if err := h.Append([]change.Record{{Seq: 1, Tx: 1, State: change.Staged, Hash: hash}}, &b); err != nil {
		t.Fatal(err)
	}
	other := newBundle(2).Hash()
	_ = h.db.Update(func(tx *bbolt.Tx) error { // stores a text under another's hash
		compressed, _ := sealed.Open(hash[:], tx.Bucket(bucketTexts).Get(hash[:]))
		return tx.Bucket(bucketTexts).Put(other[:], sealed.Seal(other[:], compressed))
	})
	if _, err := h.Text(other); !errors.Is(err, sealed.ErrDamaged) {
		t.Errorf("a text under another hash: %v", err)
	}
}

// A process killed after any step of a change must recover the last confirmed
// generation and its text, and leave no transaction active. The first change is
// confirmed at step 3; the second one regresses and is undone.
func TestKilledProcessRecoversLastConfirmedGeneration(t *testing.T) {
	for lastStep := range 9 {
		path := filepath.Join(t.TempDir(), "h.db")
		h := openHistory(t, path)
		m := change.New(newBundle(0).Hash(), change.Limits{})
		base, _ := m.Base()
		if err := h.SetBase(base, newBundle(0)); err != nil {
			t.Fatal(err)
		}
		good, bad := newBundle(1), newBundle(2)
		confirmed := change.Generation(1)
		for i, e := range []change.Event{
			change.Stage{Hash: good.Hash()}, change.Apply{Tx: 1, Probation: time.Minute}, change.Applied{Tx: 1}, change.Confirm{Tx: 1},
			change.Stage{Hash: bad.Hash()}, change.Apply{Tx: 2, Probation: time.Minute}, change.Applied{Tx: 2},
			change.Regressed{Tx: 2, Reason: "service fell"}, change.Reverted{Tx: 2},
		} {
			r := m.Step(time.Unix(1, 0), e)
			b := good
			if i >= 4 {
				b = bad
			}
			if err := errors.Join(r.Err, h.Append(r.Records, &b)); err != nil {
				t.Fatal(err)
			}
			if i == 3 {
				confirmed = 2
			}
			if i == lastStep {
				break
			}
		}
		if err := h.Close(); err != nil {
			t.Fatal(err)
		}
		h = openHistory(t, path)
		b, records, err := h.Load()
		if err != nil {
			t.Fatal(err)
		}
		again, result, err := change.Recover(time.Unix(2, 0), b, change.Limits{}, records)
		if err != nil {
			t.Fatal(err)
		}
		if err := h.Append(result.Records, nil); err != nil {
			t.Fatal(err)
		}
		gen, hash := again.Confirmed()
		if _, err := h.Text(hash); err != nil || gen != confirmed {
			t.Errorf("killed after step %d: generation %d, want %d; its text: %v", lastStep, gen, confirmed, err)
		}
		for _, s := range again.Txs() {
			if s.State.Active() {
				t.Errorf("killed after step %d: transaction %d is %v", lastStep, s.Tx, s.State)
			}
		}
	}
}
