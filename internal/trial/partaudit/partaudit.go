// Package partaudit checks that nothing is sent for a part after its whole good answer has been given. The searchers of
// trials tell it what they receive and answer, so it does not rely on the gatherer's own account.
package partaudit

import (
	"fmt"
	"slices"
	"sync"
	"time"
)

// Slack is how long after its answer a part may still arrive: it may have been sent before the answer was read.
const Slack = 100 * time.Millisecond

// maxViolations bounds the violations whose texts are kept.
const maxViolations = 20

// remembered is for how long an answer is remembered at least: longer than any query is open.
const remembered = time.Minute

// Audit records the parts that were answered. Its methods are safe for concurrent use.
type Audit struct {
	mu         sync.Mutex
	recent     map[string]answer // the first whole good answer by part, of those since rotatedAt
	older      map[string]answer // the same, of the time before; forgotten when recent becomes older
	rotatedAt  time.Time
	answered   int
	sentAgain  int
	violations []string
}

// answer is a whole good answer to a part.
type answer struct {
	searcher string
	at       time.Time
}

// New returns an Audit that knows no parts.
func New() *Audit { return &Audit{recent: make(map[string]answer)} }

// firstAnswer returns the first answer to a part that is remembered. The caller holds mu.
func (a *Audit) firstAnswer(part string) (first answer, known bool) {
	if first, known = a.older[part]; !known {
		first, known = a.recent[part]
	}
	return first, known
}

// Answered records that a searcher has written a whole good answer to a part.
func (a *Audit) Answered(part, searcher string, at time.Time) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if _, known := a.firstAnswer(part); known {
		return
	}
	a.answered++
	if at.Sub(a.rotatedAt) > remembered {
		a.older, a.recent, a.rotatedAt = a.recent, make(map[string]answer), at
	}
	a.recent[part] = answer{searcher, at}
}

// Received records that the last byte of a part's frame has arrived at a searcher. It counts a violation if the part was
// answered more than Slack before.
func (a *Audit) Received(part, searcher string, at time.Time) {
	a.mu.Lock()
	defer a.mu.Unlock()
	first, known := a.firstAnswer(part)
	if !known || at.Sub(first.at) <= Slack {
		return
	}
	a.sentAgain++
	if len(a.violations) < maxViolations {
		a.violations = append(a.violations, fmt.Sprintf("part %s arrived at %s %v after %s had answered it", part, searcher, at.Sub(first.at), first.searcher))
	}
}

// Counts returns the number of parts that were answered, and how often one of them was sent again.
func (a *Audit) Counts() (answered, sentAgain int) {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.answered, a.sentAgain
}

// Violations returns the texts of the first violations.
func (a *Audit) Violations() []string {
	a.mu.Lock()
	defer a.mu.Unlock()
	return slices.Clone(a.violations)
}
