package change

import (
	"errors"
	"testing"
	"time"
)

var t0 = time.Unix(1_000_000, 0)

// world is a machine, what it has written, and what is in force.
type world struct {
	t       *testing.T
	m       *Machine
	now     time.Time
	log     []Record
	effects []Effect
}

func newWorld(t *testing.T) *world {
	return &world{t: t, m: New(Hash{1}, Limits{}), now: t0}
}

func (w *world) step(e Event) Result {
	w.t.Helper()
	r := w.m.Step(w.now, e)
	w.log = append(w.log, r.Records...)
	w.effects = r.Effects
	return r
}

func (w *world) ok(e Event) Tx {
	w.t.Helper()
	r := w.step(e)
	if r.Err != nil {
		w.t.Fatalf("%+v: %v", e, r.Err)
	}
	return r.Tx
}

func (w *world) refused(e Event, want error) {
	w.t.Helper()
	if r := w.step(e); !errors.Is(r.Err, want) || len(r.Records)+len(r.Effects) > 0 {
		w.t.Errorf("%+v: %v with %v, want %v", e, r.Err, r.Effects, want)
	}
}

func (w *world) is(id Tx, want State) {
	w.t.Helper()
	for _, s := range w.m.Txs() {
		if s.Tx == id && s.State != want {
			w.t.Errorf("transaction %d is %v (%s), want %v", id, s.State, s.Reason, want)
		}
	}
}

// probation brings a configuration up to its probation.
func (w *world) probation(h Hash, auto bool) Tx {
	w.t.Helper()
	id := w.ok(Stage{Hash: h})
	w.ok(Apply{Tx: id, Within: time.Minute, Auto: auto})
	if s, ok := w.effects[0].(Swap); !ok || s.Hash != h || s.Tx != id {
		w.t.Fatalf("effects %v", w.effects)
	}
	w.ok(Applied{Tx: id})
	w.is(id, Probation)
	return id
}

func TestAChangeIsConfirmed(t *testing.T) {
	w := newWorld(t)
	id := w.probation(Hash{2}, false)
	if g, _ := w.m.Confirmed(); g != 1 {
		t.Errorf("generation %d before it is confirmed", g)
	}
	w.ok(Confirm{id})
	if g, h := w.m.Confirmed(); g != 2 || h != (Hash{2}) {
		t.Errorf("generation %d", g)
	}
	w.refused(Undo{Tx: id}, ErrState)
	w.refused(Confirm{id}, ErrState)
}

func TestWhatIsNotConfirmedIsUndone(t *testing.T) {
	w := newWorld(t)
	id := w.probation(Hash{2}, false)
	w.now = w.now.Add(time.Minute - 1)
	w.ok(Tick{})
	w.is(id, Probation)
	w.now = w.now.Add(1)
	w.ok(Tick{})
	if r, ok := w.effects[0].(Revert); !ok || r.Gen != 1 || r.Hash != (Hash{1}) {
		t.Errorf("effects %v", w.effects)
	}
	w.refused(Confirm{id}, ErrState) // too late: the undo has begun
	w.ok(Reverted{id})
	w.is(id, Undone)
	// The number is not used again.
	if next := w.probation(Hash{3}, true); next != 2 {
		t.Errorf("transaction %d", next)
	}
	w.now = w.now.Add(time.Minute)
	w.ok(Tick{})
	if g, _ := w.m.Confirmed(); g != 3 {
		t.Errorf("generation %d, want 3: it was to be confirmed by itself", g)
	}
}

func TestTheGuardUndoes(t *testing.T) {
	w := newWorld(t)
	id := w.probation(Hash{2}, true)
	w.ok(Fell{id, "search: 40% failed"})
	w.is(id, Undoing)
	w.ok(Fell{id, "once more"})
	w.ok(Reverted{id})
	if s := w.m.Txs()[0]; s.Reason != "search: 40% failed" || w.m.Counts().Fell != 1 {
		t.Errorf("%+v, %+v", s, w.m.Counts())
	}
}

func TestASecondChangeIsRefusedUntilTheFirstIsOver(t *testing.T) {
	w := newWorld(t)
	first := w.probation(Hash{2}, false)
	second := w.ok(Stage{Hash: Hash{3}})
	apply := Apply{Tx: second, Within: time.Minute}
	w.refused(apply, ErrBusy)
	w.ok(Undo{first, "by hand"})
	w.refused(apply, ErrBusy) // while it is being undone, too
	w.ok(Reverted{first})
	w.ok(apply)
	w.ok(Applied{Tx: second})
	w.ok(Confirm{second})
	w.refused(Stage{Hash: Hash{4}, Against: 1}, ErrStale)
	w.refused(Stage{Hash: Hash{3}}, ErrNothing)
}

func TestWhatWasStagedBeforeAnotherWasConfirmedIsStale(t *testing.T) {
	w := newWorld(t)
	first, second := w.ok(Stage{Hash: Hash{2}}), w.ok(Stage{Hash: Hash{3}})
	w.ok(Apply{Tx: first, Within: time.Minute})
	w.ok(Applied{Tx: first})
	w.ok(Confirm{first})
	w.refused(Apply{Tx: second, Within: time.Minute}, ErrStale)
	w.ok(Undo{second, "stale"})
	w.is(second, Discarded)
}

func TestBoundsAndFailures(t *testing.T) {
	w := newWorld(t)
	id := w.ok(Stage{Hash: Hash{2}})
	w.refused(Apply{Tx: id, Within: time.Millisecond}, ErrWithin)
	w.refused(Apply{Tx: id, Within: 48 * time.Hour}, ErrWithin)
	w.refused(Apply{Tx: 9, Within: time.Minute}, ErrNoTx)
	w.refused(Confirm{id}, ErrState)
	for range defaults.Staged - 1 {
		w.ok(Stage{Hash: Hash{3}})
	}
	w.refused(Stage{Hash: Hash{3}}, ErrFull)
	w.ok(Apply{Tx: id, Within: time.Minute})
	w.ok(Applied{id, errors.New("no descriptors")})
	w.is(id, Undoing)
	w.ok(Reverted{id})
	hung := Tx(2)
	w.ok(Apply{Tx: hung, Within: time.Minute})
	w.now = w.now.Add(defaults.ApplyMost)
	w.ok(Tick{})
	w.is(hung, Undoing)
	w.ok(Applied{Tx: hung}) // comes after all
	w.is(hung, Undoing)
}

func TestWhatIsOverIsForgottenInTime(t *testing.T) {
	w := newWorld(t)
	for i := range 1000 {
		w.ok(Confirm{w.probation(Hash{byte(i), byte(i >> 8), 7}, false)})
	}
	if n := len(w.m.Txs()); n != defaults.Kept {
		t.Errorf("%d are kept", n)
	}
	if b, ok := w.m.Base(); !ok || b.Confirmed != 1001 || b.Seq != 4000 {
		t.Errorf("base %+v, %v", b, ok)
	}
}

func TestRecordsOutOfOrderAreRefused(t *testing.T) {
	w := newWorld(t)
	w.ok(Confirm{w.probation(Hash{2}, false)})
	base := Base{Gen: 1, Confirmed: 1, Hash: Hash{1}}
	if m, r, err := Recover(t0, base, Limits{}, w.log); err != nil || m.confirmed != 2 || len(r.Records) > 0 {
		t.Errorf("%v, %v", r, err)
	}
	for name, log := range map[string][]Record{
		"a gap":             {w.log[0], w.log[2]},
		"no beginning":      w.log[1:],
		"a leap":            {w.log[0], {Seq: 2, Tx: 1, State: Confirmed}},
		"an old generation": {w.log[0], {Seq: 2, Tx: 1, State: Applying, Gen: 1}},
		"two at once": {w.log[0], {Seq: 2, Tx: 2, State: Staged}, {Seq: 3, Tx: 1, State: Applying, Gen: 2},
			{Seq: 4, Tx: 2, State: Applying, Gen: 3}},
	} {
		if _, _, err := Recover(t0, base, Limits{}, log); err == nil {
			t.Errorf("%s was taken", name)
		}
	}
}
