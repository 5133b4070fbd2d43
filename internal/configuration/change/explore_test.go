package change

import (
	"errors"
	"fmt"
	"maps"
	"slices"
	"strings"
	"testing"
	"time"
)

// model is one state of the machine together with its environment: the written
// records, the effects and acknowledgements on the way to the event loop and back, and
// the generation in force there.
type model struct {
	machine *Machine
	records []Record
	effects []Effect // not carried out yet, in order
	acks    []Event  // not delivered yet, in any order
	inForce Generation
	ended   map[Tx]int
}

const maxTransactions = 3

func (m *model) clone() *model {
	machine := *m.machine
	machine.txs = make(map[Tx]*transaction)
	for id, t := range m.machine.txs {
		c := *t
		machine.txs[id] = &c
	}
	machine.order = slices.Clone(machine.order)
	return &model{&machine, slices.Clip(m.records), slices.Clone(m.effects), slices.Clone(m.acks), m.inForce, maps.Clone(m.ended)}
}

// key identifies a state: two models with the same key behave in the same way. It
// contains no times: a deadline is either in the future or, after the Tick 48 hours
// later, has passed.
func (m *model) key() string {
	b := make([]byte, 0, 128)
	add := func(list ...uint64) {
		for _, n := range list {
			b = append(b, byte(n)) // all numbers here are small
		}
	}
	flag := func(f bool) uint64 {
		if f {
			return 1
		}
		return 0
	}
	add(uint64(m.machine.confirmed), uint64(m.machine.lastGeneration), uint64(m.machine.active), uint64(m.machine.lastTx), uint64(m.inForce))
	for id := Tx(1); id <= m.machine.lastTx; id++ {
		add(uint64(m.ended[id]))
		if t := m.machine.txs[id]; t != nil {
			add(uint64(t.state), uint64(t.against), uint64(t.generation), flag(t.autoConfirm))
		}
	}
	for _, e := range m.effects {
		switch e := e.(type) {
		case Swap:
			add('s', uint64(e.Tx), uint64(e.Generation))
		case Revert:
			add('r', uint64(e.Tx), uint64(e.Generation))
		}
	}
	acks := make([]string, 0, len(m.acks))
	for _, a := range m.acks {
		switch a := a.(type) {
		case Applied:
			acks = append(acks, string([]byte{'a', byte(a.Tx), byte(flag(a.Err != nil))}))
		case Reverted:
			acks = append(acks, string([]byte{'v', byte(a.Tx), 0}))
		}
	}
	slices.Sort(acks)
	return string(b) + strings.Join(acks, "")
}

var errSwapFailed = errors.New("swap failed")

// action is one thing that can happen next in a state.
type action struct {
	label any // an Event or a string
	do    func(*model)
}

// actions returns everything that can happen next.
func (m *model) actions() (out []action) {
	event := func(now time.Time, e Event) {
		out = append(out, action{e, func(m *model) { m.apply(m.machine.Step(now, e)) }})
	}
	if m.machine.lastTx < maxTransactions {
		event(t0, Stage{Hash: Hash{byte(m.machine.lastTx) + 2}})
		event(t0, Stage{Hash: Hash{9}, Against: 99})
	}
	for id := Tx(1); id <= m.machine.lastTx; id++ {
		for _, auto := range []bool{false, true} {
			event(t0, Apply{Tx: id, Probation: time.Minute, AutoConfirm: auto})
		}
		event(t0, Confirm{id})
		event(t0, Undo{id, ""})
		event(t0, Regressed{id, ""})
	}
	event(t0.Add(48*time.Hour), Tick{})
	if len(m.effects) > 0 {
		out = append(out, action{"carry out", func(m *model) { m.carryOut(nil) }}, action{"fail to carry out", func(m *model) { m.carryOut(errSwapFailed) }})
	}
	for i := range m.acks {
		out = append(out, action{m.acks[i], func(m *model) {
			e := m.acks[i]
			m.acks = slices.Delete(m.acks, i, i+1)
			m.apply(m.machine.Step(t0, e))
		}})
	}
	return append(out, action{"crash", func(m *model) { m.crash() }})
}

// apply stores the records of a step, queues its effects and counts the transactions it ended.
func (m *model) apply(r Result) {
	m.records = append(m.records, r.Records...)
	for _, e := range r.Effects {
		if e, ok := e.(Ended); ok {
			m.ended[e.Tx]++
			continue
		}
		m.effects = append(m.effects, e)
	}
}

// carryOut has the event loop carry out the next effect. A revert can't fail, since it
// only replaces one pointer.
func (m *model) carryOut(err error) {
	e := m.effects[0]
	m.effects = m.effects[1:]
	switch e := e.(type) {
	case Swap:
		if err == nil {
			m.inForce = e.Generation
		}
		m.acks = append(m.acks, Applied{e.Tx, err})
	case Revert:
		m.inForce = e.Generation
		m.acks = append(m.acks, Reverted{e.Tx})
	}
}

// crash loses everything but the written records, and recovers from them.
func (m *model) crash() {
	machine, r, err := Recover(t0, Base{Gen: 1, Confirmed: 1, Hash: Hash{1}}, Limits{}, m.records)
	if err != nil {
		panic(err)
	}
	m.machine, m.effects, m.acks, m.inForce = machine, nil, nil, machine.confirmed
	m.apply(r)
}

// violation describes an invariant that the state breaks, or returns the empty string.
// before is the state that it was reached from. The outcome of a crash depends on the
// state alone, so it is checked only for new states.
func (m *model) violation(before *model, isNew bool) string {
	active := 0
	seen := make(map[Generation]bool)
	allowed := []Generation{m.machine.confirmed}
	for _, t := range m.machine.txs {
		if t.state.Active() {
			active++
			allowed = append(allowed, t.generation)
		}
		if t.generation != 0 && seen[t.generation] {
			return fmt.Sprintf("generation %d was assigned twice", t.generation)
		}
		seen[t.generation] = true
		if final := t.state.IsFinal(); final != (m.ended[t.id] == 1) || m.ended[t.id] > 1 {
			return fmt.Sprintf("transaction %d is %v and ended %d times", t.id, t.state, m.ended[t.id])
		}
		if before == nil || before.machine.txs[t.id] == nil {
			continue
		}
		switch previous := before.machine.txs[t.id].state; {
		case previous.IsFinal() && t.state != previous:
			return fmt.Sprintf("transaction %d was %v and is %v", t.id, previous, t.state)
		case previous == Undoing && t.state == Confirmed:
			return fmt.Sprintf("transaction %d was confirmed while it was being undone", t.id)
		case previous != Confirmed && t.state == Confirmed && t.against != before.machine.confirmed:
			return fmt.Sprintf("transaction %d was made against %d and confirmed after %d", t.id, t.against, before.machine.confirmed)
		}
	}
	if active > 1 {
		return fmt.Sprintf("%d transactions are active", active)
	}
	// A generation whose swap was in progress may still be in force shortly after its
	// undo has begun. No other generation may be.
	if !slices.Contains(allowed, m.inForce) {
		return fmt.Sprintf("generation %d is in force, allowed are %v", m.inForce, allowed)
	}
	if active == 0 && len(m.effects) > 0 {
		return "no transaction is active, but effects are pending"
	}
	if !isNew {
		return ""
	}
	if recovered, _, err := Recover(t0, Base{Gen: 1, Confirmed: 1, Hash: Hash{1}}, Limits{}, m.records); err != nil || recovered.confirmed != m.machine.confirmed {
		return fmt.Sprintf("after a crash generation %v would be confirmed, not %d: %v", recovered, m.machine.confirmed, err)
	}
	return ""
}

// settles reports whether, after all pending effects and acknowledgements are delivered
// and time passes, no transaction is active and the confirmed generation is in force.
func (m *model) settles() bool {
	for range 10 {
		for len(m.effects) > 0 {
			m.carryOut(nil)
		}
		for len(m.acks) > 0 {
			e := m.acks[0]
			m.acks = m.acks[1:]
			m.apply(m.machine.Step(t0, e))
		}
		m.apply(m.machine.Step(t0.Add(48*time.Hour), Tick{}))
		if m.machine.active == 0 && len(m.effects)+len(m.acks) == 0 {
			return m.inForce == m.machine.confirmed
		}
	}
	return false
}

// TestEveryReachableState guards against event orders that put a wrong generation in
// force, end a transaction twice or leave one active for ever. It visits all states that
// three transactions can reach with every event at every moment, failed swaps,
// acknowledgements in any order and a crash after each step, and checks each state
// against the invariants of docs/config.md.
func TestEveryReachableState(t *testing.T) {
	start := &model{machine: New(Hash{1}, Limits{}), inForce: 1, ended: make(map[Tx]int)}
	seen := map[string]bool{start.key(): true}
	queue := []*model{start}
	steps, depths := 0, map[string]int{start.key(): 0}
	for len(queue) > 0 {
		m := queue[0]
		queue = queue[1:]
		depth := depths[m.key()]
		for _, action := range m.actions() {
			next := m.clone()
			action.do(next)
			steps++
			key := next.key()
			if broken := next.violation(m, !seen[key]); broken != "" {
				t.Fatalf("after %T %+v: %s\nrecords %+v", action.label, action.label, broken, next.records)
			}
			if seen[key] {
				continue
			}
			seen[key], depths[key] = true, depth+1
			if !next.clone().settles() {
				t.Fatalf("after %T %+v the state does not settle: %x", action.label, action.label, key)
			}
			queue = append(queue, next)
		}
	}
	deepest := 0
	for _, d := range depths {
		deepest = max(deepest, d)
	}
	t.Logf("%d states, %d steps, the deepest after %d steps", len(seen), steps, deepest)
	if len(seen) < 1000 {
		t.Errorf("%d states: the search reaches too few", len(seen))
	}
}
