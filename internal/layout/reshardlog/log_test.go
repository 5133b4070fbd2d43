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

func begin(t *testing.T, path string) (*Log, *layout.Layout) {
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
	if err := l.Begin(reshard.Base{Layout: first}, fleet); err != nil {
		t.Fatal(err)
	}
	return l, first
}

var change = layout.Change{Kind: layout.Split, Segments: []layout.SegmentID{0}, At: "k", Share: 0.25, Holders: [][]string{{"a"}, {"b"}}}

// steps takes a change through all its steps.
func steps() []reshard.Event {
	lower, upper := reshard.Target{Segment: 1, Searcher: "a"}, reshard.Target{Segment: 2, Searcher: "b"}
	return []reshard.Event{
		reshard.Submit{Change: change},
		reshard.Heard{Gatherer: "g", Epoch: 1, Oldest: 1},
		reshard.Copied{Job: 1, Target: lower}, reshard.Copied{Job: 1, Target: upper},
		reshard.Lag{Job: 1, Target: lower}, reshard.Lag{Job: 1, Target: upper},
		reshard.Heard{Gatherer: "g", Epoch: 3, Oldest: 1},
		reshard.Heard{Gatherer: "g", Epoch: 4, Oldest: 4},
		reshard.Dropped{Target: old},
	}
}

// old is who held the segment that is split.
var old = reshard.Target{Segment: 0, Searcher: "a"}

// TestACoordinatorKilledAtAnyStepGoesOn kills it after each event in turn, reads
// the log from disk, and takes the change to its end from there.
func TestACoordinatorKilledAtAnyStepGoesOn(t *testing.T) {
	now := time.Unix(1_000_000, 0)
	for kill := range len(steps()) {
		path := filepath.Join(t.TempDir(), "changes.db")
		l, first := begin(t, path)
		c := reshard.New(now.Add(-time.Hour), first, fleet, reshard.Limits{})
		for i, e := range steps() {
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
			// What was told to the one before is told again.
			for _, e := range steps()[1 : i+1] {
				if err := l.Append(c.Step(now, e).Records); err != nil {
					t.Fatal(err)
				}
			}
		}
		// One that was started anew waits until it knows which gatherers there are.
		later := now.Add(time.Minute)
		for _, e := range []reshard.Event{reshard.Heard{Gatherer: "g", Epoch: 4, Oldest: 4}, reshard.Dropped{Target: old}} {
			if err := l.Append(c.Step(later, e).Records); err != nil {
				t.Fatal(err)
			}
		}
		if s := c.Jobs()[0]; s.Phase != reshard.Done || c.Layout().Len() != 2 {
			t.Errorf("killed after event %d: the change ends as %v", kill, s.Phase)
		}
	}
}

func TestALogIsCompacted(t *testing.T) {
	now := time.Unix(1_000_000, 0)
	path := filepath.Join(t.TempDir(), "changes.db")
	l, first := begin(t, path)
	c := reshard.New(now.Add(-time.Hour), first, fleet, reshard.Limits{})
	for i, e := range steps() {
		if err := l.Append(c.Step(now, e).Records); err != nil {
			t.Fatal(err)
		}
		if _, ok := c.Base(); ok != (i == len(steps())-1) {
			t.Errorf("after event %d: a base is %v", i, ok)
		}
	}
	b, _ := c.Base()
	if err := l.Begin(b, fleet); err != nil {
		t.Fatal(err)
	}
	got, _, records, err := l.Load()
	if err != nil || len(records) != 0 || got.Seq != b.Seq || got.Job != 1 || got.Layout.Epoch() != c.Layout().Epoch() {
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

func TestWhatIsDamagedIsNotUsed(t *testing.T) {
	now := time.Unix(1_000_000, 0)
	for name, spoil := range map[string]func(*bbolt.Tx) error{
		"a flipped bit": func(tx *bbolt.Tx) error {
			k, v := tx.Bucket(bucketRecords).Cursor().First()
			v = bytes.Clone(v)
			v[3] ^= 4
			return tx.Bucket(bucketRecords).Put(bytes.Clone(k), v)
		},
		"a record short": func(tx *bbolt.Tx) error {
			k, _ := tx.Bucket(bucketRecords).Cursor().First()
			return tx.Bucket(bucketRecords).Delete(bytes.Clone(k))
		},
		"a base cut off": func(tx *bbolt.Tx) error {
			v := tx.Bucket(bucketMeta).Get(keyBase)
			return tx.Bucket(bucketMeta).Put(keyBase, bytes.Clone(v[:len(v)/2]))
		},
		"no place": func(tx *bbolt.Tx) error { return tx.Bucket(bucketMeta).Delete(keyAt) },
	} {
		path := filepath.Join(t.TempDir(), "changes.db")
		l, first := begin(t, path)
		c := reshard.New(now.Add(-time.Hour), first, fleet, reshard.Limits{})
		if err := l.Append(c.Step(now, reshard.Submit{Change: change}).Records); err != nil {
			t.Fatal(err)
		}
		if err := l.db.Update(spoil); err != nil {
			t.Fatal(err)
		}
		if _, _, records, err := l.Load(); !errors.Is(err, ErrDamaged) || records != nil {
			t.Errorf("%s: %v", name, err)
		}
	}
}

func TestLogsThatCannotBeOpened(t *testing.T) {
	path := filepath.Join(t.TempDir(), "changes.db")
	l, _ := begin(t, path)
	if err := l.Append([]reshard.Record{{Seq: 2}}); err == nil {
		t.Error("a record was left out and nobody minded")
	}
	if err := l.Append(make([]reshard.Record, maxSince+1)); !errors.Is(err, ErrLong) {
		t.Errorf("too long: %v", err)
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
		t.Error("a file that is no log was opened")
	}
}
