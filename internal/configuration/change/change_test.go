package change

import (
	"errors"
	"testing"
	"time"
)

var t0 = time.Unix(1_000_000, 0)

// harness drives a Machine and keeps the records and the effects that it returns.
type harness struct {
	t       *testing.T
	machine *Machine
	now     time.Time
	records []Record
	effects []Effect
}

func newHarness(t *testing.T) *harness {
	return &harness{t: t, machine: New(Hash{1}, Limits{}), now: t0}
}

func (h *harness) step(e Event) Result {
	h.t.Helper()
	r := h.machine.Step(h.now, e)
	h.records = append(h.records, r.Records...)
	h.effects = r.Effects
	return r
}

// accept handles an event that must be accepted, and returns its transaction.
func (h *harness) accept(e Event) Tx {
	h.t.Helper()
	r := h.step(e)
	if r.Err != nil {
		h.t.Fatalf("%+v: %v", e, r.Err)
	}
	return r.Tx
}

// checkRefused handles an event that must be refused with the wanted error and without
// records or effects.
func (h *harness) checkRefused(e Event, want error) {
	h.t.Helper()
	if r := h.step(e); !errors.Is(r.Err, want) || len(r.Records)+len(r.Effects) > 0 {
		h.t.Errorf("%+v: %v with %v, want %v", e, r.Err, r.Effects, want)
	}
}

func (h *harness) checkState(id Tx, want State) {
	h.t.Helper()
	for _, s := range h.machine.Txs() {
		if s.Tx == id && s.State != want {
			h.t.Errorf("transaction %d is %v (%s), want %v", id, s.State, s.Reason, want)
		}
	}
}

// startProbation stages and applies a configuration, so that it is on probation.
func (h *harness) startProbation(hash Hash, auto bool) Tx {
	h.t.Helper()
	id := h.accept(Stage{Hash: hash})
	h.accept(Apply{Tx: id, Probation: time.Minute, AutoConfirm: auto})
	if s, ok := h.effects[0].(Swap); !ok || s.Hash != hash || s.Tx != id {
		h.t.Fatalf("effects %v", h.effects)
	}
	h.accept(Applied{Tx: id})
	h.checkState(id, Probation)
	return id
}

func TestConfirmedChangeStaysInForce(t *testing.T) {
	h := newHarness(t)
	id := h.startProbation(Hash{2}, false)
	if g, _ := h.machine.Confirmed(); g != 1 {
		t.Errorf("generation %d before it is confirmed", g)
	}
	h.accept(Confirm{id})
	if g, hash := h.machine.Confirmed(); g != 2 || hash != (Hash{2}) {
		t.Errorf("generation %d", g)
	}
	h.checkRefused(Undo{Tx: id}, ErrWrongState)
	h.checkRefused(Confirm{id}, ErrWrongState)
}

func TestUnconfirmedChangeIsUndone(t *testing.T) {
	h := newHarness(t)
	id := h.startProbation(Hash{2}, false)
	h.now = h.now.Add(time.Minute - 1)
	h.accept(Tick{})
	h.checkState(id, Probation)
	h.now = h.now.Add(1)
	h.accept(Tick{})
	if r, ok := h.effects[0].(Revert); !ok || r.Generation != 1 || r.Hash != (Hash{1}) {
		t.Errorf("effects %v", h.effects)
	}
	h.checkRefused(Confirm{id}, ErrWrongState) // too late: the undo has begun
	h.accept(Reverted{id})
	h.checkState(id, Undone)
	// The generation number is not reused.
	if next := h.startProbation(Hash{3}, true); next != 2 {
		t.Errorf("transaction %d", next)
	}
	h.now = h.now.Add(time.Minute)
	h.accept(Tick{})
	if g, _ := h.machine.Confirmed(); g != 3 {
		t.Errorf("generation %d, want 3: it should be confirmed automatically", g)
	}
}

func TestRegressionUndoesAChange(t *testing.T) {
	h := newHarness(t)
	id := h.startProbation(Hash{2}, true)
	h.accept(Regressed{id, "search: 40% failed"})
	h.checkState(id, Undoing)
	h.accept(Regressed{id, "once more"})
	h.accept(Reverted{id})
	if s := h.machine.Txs()[0]; s.Reason != "search: 40% failed" || h.machine.Counts().Fell != 1 {
		t.Errorf("%+v, %+v", s, h.machine.Counts())
	}
}

func TestSecondApplyIsRefusedUntilTheFirstIsFinished(t *testing.T) {
	h := newHarness(t)
	first := h.startProbation(Hash{2}, false)
	second := h.accept(Stage{Hash: Hash{3}})
	apply := Apply{Tx: second, Probation: time.Minute}
	h.checkRefused(apply, ErrBusy)
	h.accept(Undo{first, "by hand"})
	h.checkRefused(apply, ErrBusy) // also while it is being undone
	h.accept(Reverted{first})
	h.accept(apply)
	h.accept(Applied{Tx: second})
	h.accept(Confirm{second})
	h.checkRefused(Stage{Hash: Hash{4}, Against: 1}, ErrStale)
	h.checkRefused(Stage{Hash: Hash{3}}, ErrUnchanged)
}

func TestStagedChangeIsStaleAfterAnotherIsConfirmed(t *testing.T) {
	h := newHarness(t)
	first, second := h.accept(Stage{Hash: Hash{2}}), h.accept(Stage{Hash: Hash{3}})
	h.accept(Apply{Tx: first, Probation: time.Minute})
	h.accept(Applied{Tx: first})
	h.accept(Confirm{first})
	h.checkRefused(Apply{Tx: second, Probation: time.Minute}, ErrStale)
	h.accept(Undo{second, "stale"})
	h.checkState(second, Discarded)
}

func TestLimitsAndFailedOrOverdueApplies(t *testing.T) {
	h := newHarness(t)
	id := h.accept(Stage{Hash: Hash{2}})
	h.checkRefused(Apply{Tx: id, Probation: time.Millisecond}, ErrProbation)
	h.checkRefused(Apply{Tx: id, Probation: 48 * time.Hour}, ErrProbation)
	h.checkRefused(Apply{Tx: 9, Probation: time.Minute}, ErrNoTx)
	h.checkRefused(Confirm{id}, ErrWrongState)
	for range defaults.MaxStaged - 1 {
		h.accept(Stage{Hash: Hash{3}})
	}
	h.checkRefused(Stage{Hash: Hash{3}}, ErrFull)
	h.accept(Apply{Tx: id, Probation: time.Minute})
	h.accept(Applied{id, errors.New("no descriptors")})
	h.checkState(id, Undoing)
	h.accept(Reverted{id})
	overdue := Tx(2)
	h.accept(Apply{Tx: overdue, Probation: time.Minute})
	h.now = h.now.Add(defaults.ApplyTimeout)
	h.accept(Tick{})
	h.checkState(overdue, Undoing)
	h.accept(Applied{Tx: overdue}) // arrives after the timeout
	h.checkState(overdue, Undoing)
}

func TestOldestFinishedTransactionsAreDropped(t *testing.T) {
	h := newHarness(t)
	for i := range 1000 {
		h.accept(Confirm{h.startProbation(Hash{byte(i), byte(i >> 8), 7}, false)})
	}
	if n := len(h.machine.Txs()); n != defaults.MaxFinished {
		t.Errorf("%d finished transactions are kept", n)
	}
	if b, ok := h.machine.Base(); !ok || b.Confirmed != 1001 || b.Seq != 4000 {
		t.Errorf("base %+v, %v", b, ok)
	}
}

func TestRecordsOutOfOrderAreRefused(t *testing.T) {
	h := newHarness(t)
	h.accept(Confirm{h.startProbation(Hash{2}, false)})
	base := Base{Gen: 1, Confirmed: 1, Hash: Hash{1}}
	if m, r, err := Recover(t0, base, Limits{}, h.records); err != nil || m.confirmed != 2 || len(r.Records) > 0 {
		t.Errorf("%v, %v", r, err)
	}
	for name, records := range map[string][]Record{
		"a missing record":  {h.records[0], h.records[2]},
		"no first record":   h.records[1:],
		"a skipped state":   {h.records[0], {Seq: 2, Tx: 1, State: Confirmed}},
		"an old generation": {h.records[0], {Seq: 2, Tx: 1, State: Applying, Gen: 1}},
		"two active transactions": {h.records[0], {Seq: 2, Tx: 2, State: Staged}, {Seq: 3, Tx: 1, State: Applying, Gen: 2},
			{Seq: 4, Tx: 2, State: Applying, Gen: 3}},
	} {
		if _, _, err := Recover(t0, base, Limits{}, records); err == nil {
			t.Errorf("%s was accepted", name)
		}
	}
}
