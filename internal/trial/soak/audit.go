package soak

import (
	"fmt"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/anishathalye/porcupine"

	"eiderwinch/internal/layout"
	"eiderwinch/internal/trial/ask"
)

// audit checks answers against invariants, without relying on the gatherers. It knows every epoch that was published.
type audit struct {
	mu           sync.Mutex
	epochs       map[layout.Epoch]*layout.Layout
	keys         []layout.Key // of all rows
	report       *Report
	reservations []porcupine.Operation
	start        time.Time
}

// maxViolations bounds the violations whose texts are kept.
const maxViolations = 20

// recordViolationLocked counts a violation and keeps its text. The caller holds mu.
func (a *audit) recordViolationLocked(count *int, format string, args ...any) {
	*count++
	if len(a.report.Faults) < maxViolations {
		a.report.Faults = append(a.report.Faults, fmt.Sprintf(format, args...))
	}
}

// addLayout adds a layout to the published ones.
func (a *audit) addLayout(l *layout.Layout) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.epochs[l.Epoch()] = l
}

// query is a query that was sent, with its answer.
type query struct {
	class          string
	trace          string
	segments       []layout.SegmentID
	knownEpoch     layout.Epoch // of the layout that the client knew
	keyRange       layout.Range // of a scan
	idempotencyKey string

	sent, received time.Time
	status         int
	whole          bool
	epoch          layout.Epoch
	generation     uint64 // of the configuration; 0 if it can't change
	pieces         []ask.Piece
	err            error
}

// check audits one answer. violation describes a violation that another check found, or is empty.
func (a *audit) check(q *query, violation string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	r := a.report
	r.Asked++
	switch {
	case violation != "":
		a.recordViolationLocked(&r.Inconsistent, "%s %s: %s", q.class, q.trace, violation)
		return
	case q.err != nil:
		a.recordViolationLocked(&r.Lost, "%s %s: %v", q.class, q.trace, q.err)
		return
	case q.status == 503 || q.status == 429:
		r.Refused++
		return
	case q.status != 200:
		r.Failed++
		return
	case !q.whole:
		r.Partial++
		return
	}
	r.Whole++
	l := a.epochs[q.epoch]
	if l == nil {
		a.recordViolationLocked(&r.Inconsistent, "%s %s: epoch %d was never published", q.class, q.trace, q.epoch)
		return
	}
	seen := make(map[layout.SegmentID]bool)
	for _, p := range q.pieces {
		id := layout.SegmentID(p.Segment)
		if s := l.Segment(id); s == nil || s.State != layout.Serving || seen[id] {
			a.recordViolationLocked(&r.Inconsistent, "%s %s: segment %d does not serve in epoch %d, or it answered twice", q.class, q.trace, id, q.epoch)
			return
		}
		seen[id] = true
	}
	if q.class == "search" {
		a.checkScan(q, l)
	}
}

// checkScan checks that a whole answer has every key exactly once, each from the segment that holds it in the answer's
// epoch.
func (a *audit) checkScan(q *query, l *layout.Layout) {
	r := a.report
	found := make(map[layout.Key]bool)
	for _, p := range q.pieces {
		for _, k := range strings.Fields(p.Value) {
			key := layout.Key(k)
			if l.Find(key).ID != layout.SegmentID(p.Segment) {
				a.recordViolationLocked(&r.Inconsistent, "search %s: key %s comes from segment %d, but in epoch %d it belongs to segment %d",
					q.trace, k, p.Segment, q.epoch, l.Find(key).ID)
				return
			}
			if found[key] {
				a.recordViolationLocked(&r.Inconsistent, "search %s: key %s occurs twice", q.trace, k)
				return
			}
			found[key] = true
		}
	}
	for _, k := range a.keys {
		if q.keyRange.Contains(k) && !found[k] {
			a.recordViolationLocked(&r.NotWhole, "search %s in epoch %d: marked whole, but key %s is missing", q.trace, q.epoch, k)
			return
		}
	}
}

// remaining returns the stock of the row after a reservation, as its answer says, or -1 if that is unknown. If the row's
// segment was split, all its successors are queried, and one of them has the row.
func (q *query) remaining() int {
	if q.err != nil || q.status != 200 {
		return -1
	}
	var values []string
	for _, p := range q.pieces {
		if p.Value != "" {
			values = append(values, p.Value)
		}
	}
	if len(values) != 1 {
		return -1
	}
	n, err := strconv.Atoi(values[0])
	if err != nil {
		return -1
	}
	return n
}

// recordReservation records a reservation with all its retries, from the start of the first query to the end of the last.
// A reservation without an answer (remaining is -1) may have been made at any time, or not at all.
func (a *audit) recordReservation(client int, item layout.Key, started, ended time.Time, remaining int) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.reservations = append(a.reservations, porcupine.Operation{
		ClientId: client, Input: item, Output: remaining, Call: started.Sub(a.start).Nanoseconds(), Return: ended.Sub(a.start).Nanoseconds(),
	})
}

// linearizeTimeout bounds the duration of the check of reservations.
const linearizeTimeout = 30 * time.Second

// checkReservations checks whether the reservations of each row are linearizable: each takes one from the stock and
// returns what remains.
func (a *audit) checkReservations(stock int, end time.Time) porcupine.CheckResult {
	a.mu.Lock()
	ops := slices.Clone(a.reservations)
	a.mu.Unlock()
	for i := range ops {
		if ops[i].Output == -1 {
			ops[i].Return = end.Sub(a.start).Nanoseconds()
		}
	}
	model := porcupine.NondeterministicModel{
		Partition: func(history []porcupine.Operation) [][]porcupine.Operation {
			byKey := make(map[layout.Key][]porcupine.Operation)
			for _, op := range history {
				byKey[op.Input.(layout.Key)] = append(byKey[op.Input.(layout.Key)], op)
			}
			var parts [][]porcupine.Operation
			for _, part := range byKey {
				parts = append(parts, part)
			}
			return parts
		},
		Init: func() []any { return []any{stock} },
		Step: func(state, _, output any) []any {
			remaining := state.(int) - 1
			switch output.(int) {
			case -1:
				return []any{state, remaining}
			case remaining:
				return []any{remaining}
			}
			return nil
		},
		Equal: func(a, b any) bool { return a == b },
	}
	return porcupine.CheckOperationsTimeout(model.ToModel(), ops, linearizeTimeout)
}

// checkParts adds the parts that were sent after their answer to the report.
func (r *run) checkParts() {
	_, r.report.SentAfterAnswer = r.deployment.Audit.Counts()
	violations := r.deployment.Audit.Violations()
	r.report.Faults = append(r.report.Faults, violations[:min(len(violations), maxViolations-min(len(r.report.Faults), maxViolations))]...)
}
