package reshardlog

import (
	"bytes"
	"errors"
	"os"
	"path/filepath"
	"reflect"
	"testing"
	"time"

	"go.etcd.io/bbolt"

	"eiderwinch/internal/layout"
	"eiderwinch/internal/layout/reshard"
)

var fleet = layout.Fleet{Replicas: 1, Zones: map[string]string{"a": "x", "b": "x", "c": "x"}}

func openNew(t *testing.T, path string) (*Log, *layout.Layout) {
	t.Helper()
	first, err := layout.First(layout.Segment{ID: 0, Keys: layout.All, Holders: []string{"a"}})
	if err != nil {
		t.Fatal(err)
	}
	l, err := Open(path)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.Close() })
	if _, _, _, err := l.Load(); !errors.Is(err, ErrEmpty) {
		t.Errorf("a new log: %v", err)
	}
	if err := l.SetBase(reshard.Base{Layout: first}, fleet); err != nil {
		t.Fatal(err)
	}
	return l, first
}

var change = layout.Change{Kind: layout.Split, Segments: []layout.SegmentID{0}, At: "k", Share: 0.25, Holders: [][]string{{"a"}, {"b"}}}

// splitEvents returns the events that take a split through all its phases.
func splitEvents() []reshard.Event {
	lower, upper := reshard.Target{Segment: 1, Searcher: "a"}, reshard.Target{Segment: 2, Searcher: "b"}
	return []reshard.Event{
		reshard.Submit{Change: change},
		reshard.GathererReport{Gatherer: "g", Epoch: 1, Oldest: 1},
		reshard.Copied{Job: 1, Target: lower}, reshard.Copied{Job: 1, Target: upper},
		reshard.Lag{Job: 1, Target: lower}, reshard.Lag{Job: 1, Target: upper},
		reshard.GathererReport{Gatherer: "g", Epoch: 3, Oldest: 1},
		reshard.GathererReport{Gatherer: "g", Epoch: 4, Oldest: 4},
		reshard.Dropped{Target: formerHolder},
	}
}

// formerHolder is the holder of the segment that is split.
var formerHolder = reshard.Target{Segment: 0, Searcher: "a"}

// TestRecoveryFromDiskAfterEachEvent guards against records that are missing or
// unusable after a kill. It closes the log after each event in turn, recovers from
// disk, and completes the change from there.
func TestRecoveryFromDiskAfterEachEvent(t *testing.T) {
	now := time.Unix(1_000_000, 0)
	for kill := range len(splitEvents()) {
		path := filepath.Join(t.TempDir(), "changes.db")
		l, first := openNew(t, path)
		c := reshard.New(now.Add(-time.Hour), first, fleet, reshard.Limits{})
		for i, e := range splitEvents() {
			if err := l.Append(c.Step(now, e).Records); err != nil {
				t.Fatal(err)
			}
			if i != kill {
				continue
			}
			before := c.Layout()
			if err := l.Close(); err != nil {
				t.Fatal(err)
			}
			var err error
			if l, err = Open(path); err != nil {
				t.Fatal(err)
			}
			t.Cleanup(func() { l.Close() })
			b, f, records, err := l.Load()
			if err != nil || !reflect.DeepEqual(f, fleet) {
				t.Fatalf("fleet %+v, %v", f, err)
			}
			var effects []reshard.Effect
			if c, effects, err = reshard.Recover(now, b, f, reshard.Limits{}, records); err != nil {
				t.Fatal(err)
			}
			if d := layout.Diff(before, c.Layout()); len(d) > 0 || c.Layout().Epoch() != before.Epoch() || len(effects) == 0 {
				t.Errorf("killed after event %d: epoch %d was %d, %v", i, c.Layout().Epoch(), before.Epoch(), d)
			}
			// Gatherers and searchers report again what they reported before the kill.
			for _, e := range splitEvents()[1 : i+1] {
				if err := l.Append(c.Step(now, e).Records); err != nil {
					t.Fatal(err)
				}
			}
		}
		// A recovered coordinator waits until it knows which gatherers exist.
		later := now.Add(time.Minute)
		for _, e := range []reshard.Event{reshard.GathererReport{Gatherer: "g", Epoch: 4, Oldest: 4}, reshard.Dropped{Target: formerHolder}} {
			if err := l.Append(c.Step(later, e).Records); err != nil {
				t.Fatal(err)
			}
		}
		if s := c.Jobs()[0]; s.Phase != reshard.Done || c.Layout().Len() != 2 {
			t.Errorf("killed after event %d: the change ends in phase %v", kill, s.Phase)
		}
	}
}

func TestCompaction(t *testing.T) {
	now := time.Unix(1_000_000, 0)
	path := filepath.Join(t.TempDir(), "changes.db")
	l, first := openNew(t, path)
	c := reshard.New(now.Add(-time.Hour), first, fleet, reshard.Limits{})
	for i, e := range splitEvents() {
		if err := l.Append(c.Step(now, e).Records); err != nil {
			t.Fatal(err)
		}
		if _, ok := c.Base(); ok != (i == len(splitEvents())-1) {
			t.Errorf("after event %d: a base is %v", i, ok)
		}
	}
	b, _ := c.Base()
	if err := l.SetBase(b, fleet); err != nil {
		t.Fatal(err)
	}
	got, _, records, err := l.Load()
	if err != nil || len(records) != 0 || got.Seq != b.Seq || got.LastJob != 1 || got.Layout.Epoch() != c.Layout().Epoch() {
		t.Errorf("have %+v, %d records, %v", got, len(records), err)
	}
	again, _, err := reshard.Recover(now, got, fleet, reshard.Limits{}, records)
	if err != nil {
		t.Fatal(err)
	}
	r := again.Step(now, reshard.Submit{Change: layout.Change{Kind: layout.Move, Segments: []layout.SegmentID{1}, Holders: [][]string{{"c"}}}})
	if r.Err != nil || r.Job != 2 {
		t.Errorf("the next change: %d, %v", r.Job, r.Err)
	}
	if err := l.Append(r.Records); err != nil {
		t.Error(err)
	}
}

func TestDamagedLogIsRejected(t *testing.T) {
	now := time.Unix(1_000_000, 0)
	for name, damage := range map[string]func(*bbolt.Tx) error{
		"a flipped bit": func(tx *bbolt.Tx) error {
			k, v := tx.Bucket(bucketRecords).Cursor().First()
			v = bytes.Clone(v)
			v[3] ^= 4
			return tx.Bucket(bucketRecords).Put(bytes.Clone(k), v)
		},
		"a missing record": func(tx *bbolt.Tx) error {
			k, _ := tx.Bucket(bucketRecords).Cursor().First()
			return tx.Bucket(bucketRecords).Delete(bytes.Clone(k))
		},
		"a truncated base": func(tx *bbolt.Tx) error {
			v := tx.Bucket(bucketMeta).Get(keyBase)
			return tx.Bucket(bucketMeta).Put(keyBase, bytes.Clone(v[:len(v)/2]))
		},
		"no position": func(tx *bbolt.Tx) error { return tx.Bucket(bucketMeta).Delete(keyPosition) },
	} {
		path := filepath.Join(t.TempDir(), "changes.db")
		l, first := openNew(t, path)
		c := reshard.New(now.Add(-time.Hour), first, fleet, reshard.Limits{})
		if err := l.Append(c.Step(now, reshard.Submit{Change: change}).Records); err != nil {
			t.Fatal(err)
		}
		if err := l.db.Update(damage); err != nil {
			t.Fatal(err)
		}
		if _, _, records, err := l.Load(); !errors.Is(err, ErrDamaged) || records != nil {
			t.Errorf("%s: %v", name, err)
		}
	}
}

func TestInvalidAppendsAndFilesAreRejected(t *testing.T) {
	path := filepath.Join(t.TempDir(), "changes.db")
	l, _ := openNew(t, path)
	if err := l.Append([]reshard.Record{{Seq: 2}}); err == nil {
		t.Error("a gap in the record numbers was accepted")
	}
	if err := l.Append(make([]reshard.Record, maxRecords+1)); !errors.Is(err, ErrFull) {
		t.Errorf("more than maxRecords: %v", err)
	}
	if err := l.db.Update(func(tx *bbolt.Tx) error { return tx.Bucket(bucketMeta).Put(keyVersion, []byte{9}) }); err != nil {
		t.Fatal(err)
	}
	l.Close()
	if _, err := Open(path); !errors.Is(err, ErrVersion) {
		t.Errorf("another version: %v", err)
	}
	if err := os.WriteFile(path, []byte("not a database at all"), 0o600); err != nil {
		t.Fatal(err)
	}
	if _, err := Open(path); err == nil {
		t.Error("a file that is not a database was opened")
	}
}
