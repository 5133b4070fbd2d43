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

// audit judges answers by what must be true of them, whatever the gatherers
// think. It knows every epoch that was published.
type audit struct {
	mu     sync.Mutex
	epochs map[layout.Epoch]*layout.Layout
	keys   []layout.Key
	report *Report
	ops    []porcupine.Operation // reservations
	start  time.Time
}

// mostFaults bounds the faults that are kept in words.
const mostFaults = 20

func (a *audit) fault(count *int, format string, args ...any) {
	*count++
	if len(a.report.Faults) < mostFaults {
		a.report.Faults = append(a.report.Faults, fmt.Sprintf(format, args...))
	}
}

func (a *audit) publish(l *layout.Layout) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.epochs[l.Epoch()] = l
}

// query is one that was asked, and what came back.
type query struct {
	class    string
	trace    string
	segments []layout.SegmentID
	known    layout.Epoch // that the client knew
	keys     layout.Range // what a scan asks for
	id       string       // its idempotency key

	sent, done time.Time
	status     int
	full       bool
	epoch      layout.Epoch
	generation uint64 // of the settings; 0 where they can't change
	pieces     []ask.Piece
	err        error
}

// judge looks at one answer, of which something else may be known to be wrong.
func (a *audit) judge(q *query, wrong string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	r := a.report
	r.Asked++
	switch {
	case wrong != "":
		a.fault(&r.Mixed, "%s %s: %s", q.class, q.trace, wrong)
		return
	case q.err != nil:
		a.fault(&r.Lost, "%s %s: %v", q.class, q.trace, q.err)
		return
	case q.status == 503 || q.status == 429:
		r.Refused++
		return
	case q.status != 200:
		r.Failed++
		return
	case !q.full:
		r.Partial++
		return
	}
	r.Whole++
	l := a.epochs[q.epoch]
	if l == nil {
		a.fault(&r.Mixed, "%s %s: epoch %d was never published", q.class, q.trace, q.epoch)
		return
	}
	seen := make(map[layout.SegmentID]bool)
	for _, p := range q.pieces {
		id := layout.SegmentID(p.Tablet)
		if s := l.Segment(id); s == nil || s.State != layout.Serving || seen[id] {
			a.fault(&r.Mixed, "%s %s: segment %d does not serve in epoch %d, or stands there twice", q.class, q.trace, id, q.epoch)
			return
		}
		seen[id] = true
	}
	if q.class == "search" {
		a.scan(q, l)
	}
}

// scan checks that a whole answer has every key once, each from the segment that
// holds it in the answer's epoch.
func (a *audit) scan(q *query, l *layout.Layout) {
	r := a.report
	got := make(map[layout.Key]bool)
	for _, p := range q.pieces {
		for _, k := range strings.Fields(p.Cell) {
			key := layout.Key(k)
			if l.Find(key).ID != layout.SegmentID(p.Tablet) {
				a.fault(&r.Mixed, "search %s: key %s comes from segment %d, but epoch %d has it in %d",
					q.trace, k, p.Tablet, q.epoch, l.Find(key).ID)
				return
			}
			if got[key] {
				a.fault(&r.Mixed, "search %s: key %s comes twice", q.trace, k)
				return
			}
			got[key] = true
		}
	}
	for _, k := range a.keys {
		if q.keys.Holds(k) && !got[k] {
			a.fault(&r.NotWhole, "search %s in epoch %d: marked whole, but key %s is missing", q.trace, q.epoch, k)
			return
		}
	}
}

// left is what a reservation's answer says is left of its row; -1 if that is not
// known. Where its segment was split all heirs are asked, and one has the row.
func (q *query) left() int {
	if q.err != nil || q.status != 200 {
		return -1
	}
	var said []string
	for _, p := range q.pieces {
		if p.Cell != "" {
			said = append(said, p.Cell)
		}
	}
	if len(said) != 1 {
		return -1
	}
	n, err := strconv.Atoi(said[0])
	if err != nil {
		return -1
	}
	return n
}

// reserved books a reservation with all its tries: from the first one's start to
// the last one's end. One without an answer may have been made, at any time.
func (a *audit) reserved(client int, item layout.Key, began, ended time.Time, left int) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.ops = append(a.ops, porcupine.Operation{
		ClientId: client, Input: item, Output: left, Call: began.Sub(a.start).Nanoseconds(), Return: ended.Sub(a.start).Nanoseconds(),
	})
}

// linearizeFor is how long the check of reservations may take.
const linearizeFor = 30 * time.Second

// linearizable tells whether the reservations of each row could have been made
// one after the other: each takes one off, and says how many are left.
func (a *audit) linearizable(stock int, end time.Time) porcupine.CheckResult {
	a.mu.Lock()
	ops := slices.Clone(a.ops)
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
			left := state.(int) - 1
			switch output.(int) {
			case -1:
				return []any{state, left}
			case left:
				return []any{left}
			}
			return nil
		},
		Equal: func(a, b any) bool { return a == b },
	}
	return porcupine.CheckOperationsTimeout(model.ToModel(), ops, linearizeFor)
}
