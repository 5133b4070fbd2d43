package gatherer

import (
	"slices"
	"time"

	"eiderwinch/internal/memory"
)

// answerState is what is known of an answer that was read whole.
type answerState int

const (
	doubtfulAnswer    answerState = iota + 1 // it may be spoilt, and nothing can show that any more
	provisionalAnswer                        // it may still turn out to be spoilt
	finalAnswer
)

// answer is an answer to a part that was read whole, or may have been given.
type answer struct {
	attempt *Attempt
	state   answerState
	readAt  time.Time
	finalAt time.Time // when it became final; zero before
	score   int64
	value   string
}

// partAnswers holds the answers to a part. It alone decides whether the part is over: once it has an answer, nothing more
// may be sent for the part, be it that the answer can't be used.
type partAnswers struct {
	list []*answer // by the time they were read; one for each attempt at most
}

// of returns the answer to an attempt, or nil.
func (p *partAnswers) of(a *Attempt) *answer {
	if i := slices.IndexFunc(p.list, func(x *answer) bool { return x.attempt == a }); i >= 0 {
		return p.list[i]
	}
	return nil
}

// best returns the answer that is to be used: the first final one or, without any, the first provisional one; nil if there
// is none.
func (p *partAnswers) best() (best *answer) {
	for _, x := range p.list {
		if x.state >= provisionalAnswer && (best == nil || x.state > best.state) {
			best = x
		}
	}
	return best
}

// firstReadAt returns when the first answer that may be used was read; zero if there is none.
func (p *partAnswers) firstReadAt() time.Time {
	for _, x := range p.list {
		if x.state >= provisionalAnswer {
			return x.readAt
		}
	}
	return time.Time{}
}

// forgetValues forgets the values, which nobody needs any more once the part's query or step has ended.
func (p *partAnswers) forgetValues() {
	for _, x := range p.list {
		x.value = ""
	}
}

// overBar returns why nothing more may be sent for a part because it is over. Each path to a send asks it.
func (p *part) overBar() SendBar {
	switch {
	case p.removed:
		return ResultUnwanted
	case len(p.answers.list) > 0:
		return PartAnswered
	}
	return SendAllowed
}

// addAnswer records an answer that was read whole. The answers to a removed part are not needed any more.
func (p *part) addAnswer(x *answer) {
	if p.removed {
		return
	}
	p.answers.list = append(p.answers.list, x)
	p.query.hold(memory.BufferSize(len(x.value)))
}

// dropValue forgets the value of an answer that must not be used.
func (p *part) dropValue(x *answer) {
	if !p.removed {
		p.query.hold(-memory.BufferSize(len(x.value)))
	}
	x.value = ""
}
