package soak

import (
	"context"
	"io"
	"testing"
	"time"

	"eiderwinch/internal/layout"
	"eiderwinch/internal/trial/ask"
)

// TestChangesUnderLoad is a short run of what `eiderwinch layout soak` runs: splits, merges and moves under load, with
// kills of searchers and the coordinator, must not lose, mix, truncate or duplicate anything.
func TestChangesUnderLoad(t *testing.T) {
	t.Parallel()
	r, err := Run(context.Background(), Options{
		Rounds: 1, QuietDuration: 3 * time.Second, ChangeDuration: 12 * time.Second, Interval: time.Second, Rate: 80, Seed: 1,
		Dir: t.TempDir(), Out: io.Discard,
	})
	if err != nil {
		t.Fatal(err)
	}
	if err := r.Err(); err != nil {
		t.Error(err)
	}
	if r.Splits+r.Merges+r.Moves == 0 || r.Translated == 0 || r.CoordinatorKills != 1 || r.SearcherKills != 2 {
		t.Errorf("the run lacks changes or kills that it has to cover: %+v", r)
	}
	t.Logf("%+v", r)
}

// logWriter writes to a test's log.
type logWriter struct{ t *testing.T }

// Write implements io.Writer.
func (w logWriter) Write(text []byte) (int, error) {
	w.t.Log(string(text))
	return len(text), nil
}

// TestConfigurationChangesUnderLoad is a short run of what `eiderwinch config soak` runs: good changes must be confirmed
// and bad ones undone in time, and each answer must be of one configuration that was in force.
func TestConfigurationChangesUnderLoad(t *testing.T) {
	t.Parallel()
	r, err := RunConfig(context.Background(), ConfigOptions{
		WarmUp: 6 * time.Second, Changes: 16, Interval: time.Second, Rate: 100, SequenceLength: 30, Seed: 1, Dir: t.TempDir(), Out: logWriter{t},
	})
	if err != nil {
		t.Fatal(err)
	}
	if err := r.Err(); err != nil {
		t.Error(err)
	}
	if r.Bad == 0 || r.Confirmed == 0 || r.Generations < 3 {
		t.Errorf("the run lacks changes that it has to cover: %+v", r)
	}
	t.Logf("%+v", r)
}

// The audit must detect answers that lack a key, repeat a segment, take a key from the wrong segment, or belong to a
// segment or epoch that was never published.
func TestAuditDetectsWrongAnswers(t *testing.T) {
	l, err := layout.First(
		layout.Segment{ID: 0, Keys: layout.Range{To: "k2"}, Holders: []string{"a"}},
		layout.Segment{ID: 1, Keys: layout.Range{From: "k2"}, Holders: []string{"a"}})
	if err != nil {
		t.Fatal(err)
	}
	for name, c := range map[string]struct {
		epoch  layout.Epoch
		pieces []ask.Piece
		count  func(*Report) int
	}{
		"a correct answer":   {1, []ask.Piece{{Segment: 0, Value: "k1"}, {Segment: 1, Value: "k2 k3"}}, func(r *Report) int { return r.Whole - r.Inconsistent - r.NotWhole }},
		"a key is missing":   {1, []ask.Piece{{Segment: 0, Value: "k1"}, {Segment: 1, Value: "k2"}}, func(r *Report) int { return r.NotWhole }},
		"a segment twice":    {1, []ask.Piece{{Segment: 0, Value: "k1"}, {Segment: 0, Value: "k1"}, {Segment: 1, Value: "k2 k3"}}, func(r *Report) int { return r.Inconsistent }},
		"a key from another": {1, []ask.Piece{{Segment: 0, Value: "k1 k2"}, {Segment: 1, Value: "k3"}}, func(r *Report) int { return r.Inconsistent }},
		"a former segment":   {1, []ask.Piece{{Segment: 0, Value: "k1"}, {Segment: 7, Value: "k2 k3"}}, func(r *Report) int { return r.Inconsistent }},
		"an unknown epoch":   {2, []ask.Piece{{Segment: 0, Value: "k1"}, {Segment: 1, Value: "k2 k3"}}, func(r *Report) int { return r.Inconsistent }},
	} {
		r := new(Report)
		a := &audit{epochs: map[layout.Epoch]*layout.Layout{1: l}, keys: []layout.Key{"k1", "k2", "k3"}, report: r}
		a.check(&query{class: "search", status: 200, whole: true, epoch: c.epoch, pieces: c.pieces}, "")
		if c.count(r) != 1 {
			t.Errorf("%s: got report %+v", name, r)
		}
	}
}

// The audit must accept histories of reservations that are linearizable, also with unanswered ones, and reject others.
func TestAuditDetectsNonLinearizableReservations(t *testing.T) {
	now := time.Unix(1000, 0)
	at := func(ms int) time.Time { return now.Add(time.Duration(ms) * time.Millisecond) }
	for name, c := range map[string]struct {
		record func(*audit)
		want   string
	}{
		"one after the other": {func(a *audit) {
			a.recordReservation(0, "k", at(0), at(1), 9)
			a.recordReservation(0, "k", at(2), at(3), 8)
		}, "Ok"},
		"at the same time": {func(a *audit) {
			a.recordReservation(0, "k", at(0), at(5), 8)
			a.recordReservation(0, "k", at(1), at(3), 9)
		}, "Ok"},
		"in the wrong order": {func(a *audit) {
			a.recordReservation(0, "k", at(0), at(1), 8)
			a.recordReservation(0, "k", at(2), at(3), 9)
		}, "Illegal"},
		"made twice": {func(a *audit) {
			a.recordReservation(0, "k", at(0), at(1), 9)
			a.recordReservation(0, "k", at(2), at(3), 7)
		}, "Illegal"},
		"one without answer": {func(a *audit) {
			a.recordReservation(0, "k", at(0), at(1), -1)
			a.recordReservation(0, "k", at(2), at(3), 8)
		}, "Ok"},
		"one not made": {func(a *audit) {
			a.recordReservation(0, "k", at(0), at(1), -1)
			a.recordReservation(0, "k", at(2), at(3), 9)
		}, "Ok"},
	} {
		a := &audit{report: new(Report), start: now}
		c.record(a)
		if got := string(a.checkReservations(10, at(10))); got != c.want {
			t.Errorf("%s: %s, want %s", name, got, c.want)
		}
	}
}
