package gatherer

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"eiderwinch"
	"eiderwinch/internal/trial/fixedseed"
)

func TestMain(m *testing.M) { fixedseed.Main(m) }

// partModel is the plain rule for one part: what its searchers have done, and what may follow.
type partModel struct {
	id       uint64
	attempts []*Attempt // handed to the connections, in any state
	sent     map[*Attempt]bool
	ended    map[*Attempt]bool
	answered map[*Attempt]bool // a whole answer was read, or may have been given
	doubtful map[string]bool   // values that must not be served
}

// modelRun plays drawn events against a core whose module decides whatever is drawn.
type modelRun struct {
	*harness
	t       *rapid.T
	parts   []*partModel
	handed  int // calls of the harness that the parts know
	replied int
}

// collect adds the attempts that the core has handed to the connections since.
func (r *modelRun) collect() {
	for ; r.handed < len(r.calls); r.handed++ {
		for _, a := range r.calls[r.handed] {
			i := slices.IndexFunc(r.parts, func(p *partModel) bool { return p.id == a.part.id })
			r.parts[i].attempts = append(r.parts[i].attempts, a)
		}
	}
}

// write writes an attempt that waits for its connection, if the core allows it.
func (r *modelRun) write(p *partModel, a *Attempt) {
	if p.sent[a] || p.ended[a] || !r.MaySend(r.at, a) {
		return
	}
	if len(p.answered) > 0 {
		r.t.Fatalf("part %d is sent after its answer", p.id)
	}
	p.sent[a] = true
}

// end ends an attempt that was sent, or answers one that may have timed out or been cancelled before.
func (r *modelRun) end(p *partModel, a *Attempt) {
	value := fmt.Sprintf("%d.%d", p.id, a.number)
	if !p.sent[a] || p.answered[a] {
		return
	}
	outcome := rapid.SampledFrom([]string{"ok", "provisional", "failed", "reset", "unreadable"}).Draw(r.t, "outcome")
	late := a.ended
	p.ended[a] = true
	switch {
	case outcome == "unreadable":
		r.UnreadableAnswer(r.at, a)
		p.answered[a], p.doubtful[value] = true, true
	case late && outcome != "failed" && outcome != "reset":
		r.LateResult(r.at, a, outcome == "provisional", 1, value)
		p.answered[a] = true
	case outcome == "ok":
		r.Result(r.at, a, eiderwinch.OK, 1, value)
		p.answered[a] = true
	case outcome == "provisional":
		r.ProvisionalResult(r.at, a, 1, value)
		p.answered[a] = true
	case outcome == "failed":
		r.Result(r.at, a, eiderwinch.Failed, 0, "")
	default:
		r.ConnectionBroken(r.at, a)
	}
}

// settle confirms a provisional answer or puts it in doubt.
func (r *modelRun) settle(p *partModel, a *Attempt) {
	if x := a.part.answers.of(a); x == nil || x.state != provisionalAnswer {
		return
	}
	if rapid.Bool().Draw(r.t, "confirmed") {
		r.Confirm(r.at, a)
		return
	}
	r.Doubt(r.at, a, ConnectionReset)
	p.doubtful[fmt.Sprintf("%d.%d", p.id, a.number)] = true
}

// turn lets time pass, with drawn decisions of the module in the first turn.
func (r *modelRun) turn(query uint64) {
	var actions []eiderwinch.Action
	for _, p := range r.parts {
		switch rapid.IntRange(0, 5).Draw(r.t, "decision") {
		case 0, 1, 2:
			actions = append(actions, eiderwinch.Send{Part: p.id, Replica: rapid.SampledFrom([]string{"a", "b"}).Draw(r.t, "searcher")})
		case 3:
			actions = append(actions, eiderwinch.Cancel{Part: p.id, Attempt: rapid.IntRange(0, 3).Draw(r.t, "attempt")})
		}
	}
	if rapid.IntRange(0, 29).Draw(r.t, "answers") == 29 {
		actions = append(actions, eiderwinch.Answer{Query: query, Whole: true})
	}
	r.addEvent(r.at, eiderwinch.Woken{})
	r.advance(5*ms, actions...)
	r.collect()
}

// checkReplies checks that there is one reply at most, without a value that was in doubt.
func (r *modelRun) checkReplies() {
	if len(r.replies) > 1 {
		r.t.Fatalf("%d replies", len(r.replies))
	}
	for ; r.replied < len(r.replies); r.replied++ {
		for _, v := range r.replies[r.replied].Values {
			for _, p := range r.parts {
				if p.doubtful[v.Value] {
					r.t.Fatalf("the value %s, which is in doubt, is served", v.Value)
				}
			}
		}
	}
}

// steps returns what can happen next: the core takes a turn, a call is written, an attempt ends, or an answer is confirmed or in doubt.
func (r *modelRun) steps(query uint64) []func() {
	steps := []func(){func() { r.turn(query) }}
	for _, p := range r.parts {
		for _, a := range p.attempts {
			switch x := a.part.answers.of(a); {
			case !p.sent[a] && !p.ended[a]:
				steps = append(steps, func() { r.write(p, a) })
			case x != nil && x.state == provisionalAnswer:
				steps = append(steps, func() { r.settle(p, a) })
			case p.sent[a] && !p.answered[a]:
				steps = append(steps, func() { r.end(p, a) })
			}
		}
	}
	return steps
}

// maxModelSteps is the most steps of one run.
const maxModelSteps = 60

// Whatever happens to attempts and whatever the module decides, in any order, nothing is sent for a part after its answer, and no value in
// doubt is served.
func TestAnsweredPartIsNotSentInAnyOrderOfEvents(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		h := newHarness(t)
		h.settings.Module.MaxAttempts, h.settings.Module.SecondCopies = 4, rapid.Bool().Draw(rt, "copies")
		h.settings.Module.Classes[1].RepeatWindow = time.Second
		r := &modelRun{harness: h, t: rt}
		query := h.submit(rapid.SampledFrom([]string{"search", "reserve", "half"}).Draw(rt, "class"), "t", 0, 1)
		for i := range 2 {
			r.parts = append(r.parts, &partModel{id: query + uint64(i) + 1, sent: make(map[*Attempt]bool), ended: make(map[*Attempt]bool),
				answered: make(map[*Attempt]bool), doubtful: make(map[string]bool)})
		}
		for range maxModelSteps {
			steps := r.steps(query)
			steps[rapid.IntRange(0, len(steps)-1).Draw(rt, "step")]()
			r.checkReplies()
		}
	})
}
