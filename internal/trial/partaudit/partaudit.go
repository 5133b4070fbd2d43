// Package partaudit checks that nothing is sent for a part after its whole good answer has been given. The searchers of
// trials tell it what they receive and answer, so it does not rely on the gatherer's own account.
package partaudit

import (
	"fmt"
	"sync"
	"time"
)

// Slack is how long after its answer a part may still arrive: it may have been sent before the answer was read.
const Slack = 100 * time.Millisecond

// maxViolations bounds the violations whose texts are kept.
const maxViolations = 20

// Audit records the parts that were answered. Its methods are safe for concurrent use, and do nothing if it is nil.
type Audit struct {
	mu         sync.Mutex
	answers    map[string]answer // the first whole good answer by part
	sentAgain  int
	violations []string
}

// answer is a whole good answer to a part.
type answer struct {
	searcher string
	at       time.Time
}

// New returns an Audit that knows no parts.
func New() *Audit { return &Audit{answers: make(map[string]answer)} }

// Answered records that a searcher has written a whole good answer to a part.
func (a *Audit) Answered(part, searcher string, at time.Time) {
	if a == nil {
		return
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	if _, known := a.answers[part]; !known {
		a.answers[part] = answer{searcher, at}
	}
}

// Received records that the last byte of a part's frame has arrived at a searcher. It counts a violation if the part was
// answered more than Slack before.
func (a *Audit) Received(part, searcher string, at time.Time) {
	if a == nil {
		return
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	first, known := a.answers[part]
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
	return len(a.answers), a.sentAgain
}

// Violations returns the texts of the first violations.
func (a *Audit) Violations() []string {
	a.mu.Lock()
	defer a.mu.Unlock()
	return append([]string(nil), a.violations...)
}
