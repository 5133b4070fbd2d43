package testcluster

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"slices"
	"sync"
	"time"

	"eiderwinch/internal/admin"
)

// processID identifies one process of a gatherer by the gatherer's number and the count of its starts so far.
type processID struct{ Gatherer, Start int }

func (id processID) String() string { return fmt.Sprintf("g%d-%d", id.Gatherer, id.Start) }

// processOf returns the process to which a client sent the query with the given trace. Both numbers are -1 if the trace
// is not one of the test cluster's.
func processOf(trace string) processID {
	var id processID
	if _, err := fmt.Sscanf(trace, "g%d-%d-", &id.Gatherer, &id.Start); err != nil {
		return processID{-1, -1}
	}
	return id
}

// Entry is one line of a history file.
type Entry struct {
	MS   int64  `json:"ms"`  // since the start of the test cluster
	Who  string `json:"who"` // a process as gNUMBER-START, "rig" or "audit"
	What string `json:"what,omitempty"`

	// The state that a process reported when it was polled. It is written on each change, and else once a second.
	Counted int    `json:"counted,omitempty"`
	Digest  string `json:"digest,omitempty"`
	Slots   int    `json:"slots,omitempty"`
	Bytes   int    `json:"bytes,omitempty"` // sent to the other gatherers so far

	// How long the fleet took to converge after a fault, or until the wait timed out.
	Kind   Kind   `json:"kind,omitempty"`
	When   string `json:"when,omitempty"`
	TookMS int64  `json:"took_ms,omitempty"`
}

// ReadHistory reads a history file: one JSON object per line.
func ReadHistory(r io.Reader) (entries []Entry, err error) {
	scanner := bufio.NewScanner(r)
	for line := 1; scanner.Scan(); line++ {
		var entry Entry
		if err := json.Unmarshal(scanner.Bytes(), &entry); err != nil {
			return nil, fmt.Errorf("history: line %d: %w", line, err)
		}
		entries = append(entries, entry)
	}
	return entries, scanner.Err()
}

// slotUse records that a process has used a slot, or may have used it, until a time.
type slotUse struct {
	process processID
	until   time.Time
}

// history records what clients, searchers and polls of the gatherers observe in a run. It is the basis of the audit.
type history struct {
	mu           sync.Mutex
	started      time.Time
	out          io.Writer
	lastEntries  map[int]Entry     // by gatherer: the last entry that was written with its state
	slotUses     map[int][]slotUse // by slot
	violations   []string
	viewChanges  int // observed changes of a gatherer's view
	maxHeldSlots int // maximum number of slots that gatherers other than their owners used at once, as polls report it

	Queries
}

// Queries counts the queries that clients sent, by how they ended.
type Queries struct {
	Asked, Answered, Refused, Failed int
	Interrupted                      int // no answer, and their gatherer was killed or stopped meanwhile
	Lost                             int // no answer although their gatherer ran without interruption
	AnsweredCold                     int // those of Answered that need the cold searcher
}

// maxViolations bounds the violations that are kept.
const maxViolations = 50

func newHistory(out io.Writer) *history {
	return &history{started: time.Now(), out: out, lastEntries: make(map[int]Entry), slotUses: make(map[int][]slotUse)}
}

// recordTextLocked writes an entry with a text. The caller holds mu.
func (h *history) recordTextLocked(who, format string, args ...any) {
	h.recordEntryLocked(Entry{Who: who, What: fmt.Sprintf(format, args...)})
}

// recordEntryLocked writes an entry with the current time. The caller holds mu.
func (h *history) recordEntryLocked(e Entry) {
	e.MS = time.Since(h.started).Milliseconds()
	if b, err := json.Marshal(e); err == nil {
		_, _ = h.out.Write(append(b, '\n'))
	}
}

// recordText writes an entry with a text.
func (h *history) recordText(who, format string, args ...any) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.recordTextLocked(who, format, args...)
}

// recordViolationLocked records a violation of a rule that must hold in every run. The caller holds mu.
func (h *history) recordViolationLocked(format string, args ...any) {
	text := fmt.Sprintf(format, args...)
	h.recordTextLocked("audit", "%s", text)
	if len(h.violations) < maxViolations {
		h.violations = append(h.violations, text)
	}
}

// recordState records and audits the state of the fleet that a process reported. It held at some time between asked
// and now.
func (h *history) recordState(process processID, slots int, state admin.FleetState, asked, now time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	last := h.lastEntries[process.Gatherer]
	e := Entry{MS: now.Sub(h.started).Milliseconds(), Who: process.String(), Counted: state.Counted, Digest: state.Digest, Bytes: state.Counts.View.SentBytes}
	if state.Share != nil {
		e.Slots = state.Share.Slots
	}
	changed := last.Who != e.Who || last.Digest != e.Digest
	if changed {
		h.viewChanges++
	}
	if changed || last.Slots != e.Slots || e.MS-last.MS >= 1000 {
		h.lastEntries[process.Gatherer] = e
		h.recordEntryLocked(e)
	}
	if state.Share == nil {
		return
	}
	for n := range state.Share.Slots {
		slot := (process.Gatherer - n + slots) % slots
		uses := slices.DeleteFunc(h.slotUses[slot], func(u slotUse) bool { return u.process == process || now.Sub(u.until) > limitWindow })
		for _, u := range uses {
			// Uses by earlier processes of the same gatherer are allowed: a restarted process does not know what they
			// used. Other gatherers must know.
			if u.process.Gatherer != process.Gatherer {
				h.recordViolationLocked("slot %d is used by %v, but %v used it, or may have, until %v before", slot, process, u.process, now.Sub(u.until))
			}
		}
		until := asked
		if state.Share.Until.After(until) {
			until = state.Share.Until
		}
		h.slotUses[slot] = append(uses, slotUse{process, until})
	}
	held := 0
	for slot, uses := range h.slotUses {
		if slices.ContainsFunc(uses, func(u slotUse) bool { return u.process.Gatherer != slot && u.until.After(now) }) {
			held++
		}
	}
	h.maxHeldSlots = max(h.maxHeldSlots, held)
}

// recordEnd records that a process has ended, so that it uses no slot any more.
func (h *history) recordEnd(process processID) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.recordTextLocked(process.String(), "ended")
	for slot := range h.slotUses {
		h.slotUses[slot] = slices.DeleteFunc(h.slotUses[slot], func(u slotUse) bool { return u.process == process })
	}
}
