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

// point is one state of the machine with all that is round it: what was written,
// what is on its way to the event loop and back, and what is in force there.
type point struct {
	m       *Machine
	log     []Record
	swaps   []Effect // not carried out yet, in their order
	acks    []Event  // not delivered yet, in any order
	inForce Generation
	ended   map[Tx]int
}

const mostTxs = 3

func (p *point) clone() *point {
	m := *p.m
	m.txs = make(map[Tx]*tx)
	for id, t := range p.m.txs {
		c := *t
		m.txs[id] = &c
	}
	m.order = slices.Clone(m.order)
	return &point{&m, slices.Clip(p.log), slices.Clone(p.swaps), slices.Clone(p.acks), p.inForce, maps.Clone(p.ended)}
}

// key names a state: two points of one key behave alike. Times are not in it; a
// due time is either to come or, by the event 'expire', over.
func (p *point) key() string {
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
	add(uint64(p.m.confirmed), uint64(p.m.lastGen), uint64(p.m.active), uint64(p.m.last), uint64(p.inForce))
	for id := Tx(1); id <= p.m.last; id++ {
		add(uint64(p.ended[id]))
		if t := p.m.txs[id]; t != nil {
			add(uint64(t.state), uint64(t.against), uint64(t.gen), flag(t.auto))
		}
	}
	for _, e := range p.swaps {
		switch e := e.(type) {
		case Swap:
			add('s', uint64(e.Tx), uint64(e.Gen))
		case Revert:
			add('r', uint64(e.Tx), uint64(e.Gen))
		}
	}
	acks := make([]string, 0, len(p.acks))
	for _, a := range p.acks {
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

var errSwap = errors.New("could not")

// move is one thing that can happen.
type move struct {
	name any
	do   func(*point)
}

// moves are all that can happen next.
func (p *point) moves() (out []move) {
	event := func(now time.Time, e Event) {
		out = append(out, move{e, func(p *point) { p.take(p.m.Step(now, e)) }})
	}
	if p.m.last < mostTxs {
		event(t0, Stage{Hash: Hash{byte(p.m.last) + 2}})
		event(t0, Stage{Hash: Hash{9}, Against: 99})
	}
	for id := Tx(1); id <= p.m.last; id++ {
		for _, auto := range []bool{false, true} {
			event(t0, Apply{Tx: id, Within: time.Minute, Auto: auto})
		}
		event(t0, Confirm{id})
		event(t0, Undo{id, ""})
		event(t0, Fell{id, ""})
	}
	event(t0.Add(48*time.Hour), Tick{})
	if len(p.swaps) > 0 {
		out = append(out, move{"carry out", func(p *point) { p.carryOut(nil) }}, move{"fail to", func(p *point) { p.carryOut(errSwap) }})
	}
	for i := range p.acks {
		out = append(out, move{p.acks[i], func(p *point) {
			e := p.acks[i]
			p.acks = slices.Delete(p.acks, i, i+1)
			p.take(p.m.Step(t0, e))
		}})
	}
	return append(out, move{"crash", func(p *point) { p.crash() }})
}

// take books what a step asks for.
func (p *point) take(r Result) {
	p.log = append(p.log, r.Records...)
	for _, e := range r.Effects {
		if e, ok := e.(Ended); ok {
			p.ended[e.Tx]++
			continue
		}
		p.swaps = append(p.swaps, e)
	}
}

// carryOut lets the event loop take the next effect. To revert can't fail: it is
// one pointer.
func (p *point) carryOut(err error) {
	e := p.swaps[0]
	p.swaps = p.swaps[1:]
	switch e := e.(type) {
	case Swap:
		if err == nil {
			p.inForce = e.Gen
		}
		p.acks = append(p.acks, Applied{e.Tx, err})
	case Revert:
		p.inForce = e.Gen
		p.acks = append(p.acks, Reverted{e.Tx})
	}
}

// crash loses all but what was written.
func (p *point) crash() {
	m, r, err := Recover(t0, Base{Gen: 1, Confirmed: 1, Hash: Hash{1}}, Limits{}, p.log)
	if err != nil {
		panic(err)
	}
	p.m, p.swaps, p.acks, p.inForce = m, nil, nil, m.confirmed
	p.take(r)
}

// wrong tells which invariant a state breaks; before is the state that it came
// from. What a crash would leave depends on the state alone, and is looked at where
// it is new.
func (p *point) wrong(before *point, isNew bool) string {
	active := 0
	gens := make(map[Generation]bool)
	allowed := []Generation{p.m.confirmed}
	for _, t := range p.m.txs {
		if t.state.Active() {
			active++
			allowed = append(allowed, t.gen)
		}
		if t.gen != 0 && gens[t.gen] {
			return fmt.Sprintf("generation %d was given out twice", t.gen)
		}
		gens[t.gen] = true
		if over := t.state.Over(); over != (p.ended[t.id] == 1) || p.ended[t.id] > 1 {
			return fmt.Sprintf("transaction %d is %v and ended %d times", t.id, t.state, p.ended[t.id])
		}
		if before == nil || before.m.txs[t.id] == nil {
			continue
		}
		switch was := before.m.txs[t.id].state; {
		case was.Over() && t.state != was:
			return fmt.Sprintf("transaction %d was %v and is %v", t.id, was, t.state)
		case was == Undoing && t.state == Confirmed:
			return fmt.Sprintf("transaction %d was confirmed while it was undone", t.id)
		case was != Confirmed && t.state == Confirmed && t.against != before.m.confirmed:
			return fmt.Sprintf("transaction %d was made against %d and confirmed after %d", t.id, t.against, before.m.confirmed)
		}
	}
	if active > 1 {
		return fmt.Sprintf("%d transactions are active", active)
	}
	// A swap that is under way may still be in force for a moment after its undo
	// has begun, but nothing else.
	if !slices.Contains(allowed, p.inForce) {
		return fmt.Sprintf("generation %d is in force, allowed are %v", p.inForce, allowed)
	}
	if active == 0 && len(p.swaps) > 0 {
		return "nothing is active, yet the event loop is to change something"
	}
	if !isNew {
		return ""
	}
	if c, _, err := Recover(t0, Base{Gen: 1, Confirmed: 1, Hash: Hash{1}}, Limits{}, p.log); err != nil || c.confirmed != p.m.confirmed {
		return fmt.Sprintf("after a crash generation %v would be confirmed, not %d: %v", c, p.m.confirmed, err)
	}
	return ""
}

// settles tells that a state comes to rest by itself: all that is on its way
// arrives, and time goes by.
func (p *point) settles() bool {
	for range 10 {
		for len(p.swaps) > 0 {
			p.carryOut(nil)
		}
		for len(p.acks) > 0 {
			e := p.acks[0]
			p.acks = p.acks[1:]
			p.take(p.m.Step(t0, e))
		}
		p.take(p.m.Step(t0.Add(48*time.Hour), Tick{}))
		if p.m.active == 0 && len(p.swaps)+len(p.acks) == 0 {
			return p.inForce == p.m.confirmed
		}
	}
	return false
}

// TestEveryReachableState walks through all states that three transactions can
// bring about with every event at every moment, failed swaps, acknowledgements in
// any order and a crash after each step, and holds each against the invariants of
// docs/config.md.
func TestEveryReachableState(t *testing.T) {
	start := &point{m: New(Hash{1}, Limits{}), inForce: 1, ended: make(map[Tx]int)}
	seen := map[string]bool{start.key(): true}
	queue := []*point{start}
	steps, deepest := 0, map[string]int{start.key(): 0}
	for len(queue) > 0 {
		p := queue[0]
		queue = queue[1:]
		depth := deepest[p.key()]
		for _, move := range p.moves() {
			next := p.clone()
			move.do(next)
			steps++
			key := next.key()
			if what := next.wrong(p, !seen[key]); what != "" {
				t.Fatalf("after %T %+v: %s\nrecords %+v", move.name, move.name, what, next.log)
			}
			if seen[key] {
				continue
			}
			seen[key], deepest[key] = true, depth+1
			if !next.clone().settles() {
				t.Fatalf("after %T %+v it does not come to rest: %x", move.name, move.name, key)
			}
			queue = append(queue, next)
		}
	}
	most := 0
	for _, d := range deepest {
		most = max(most, d)
	}
	t.Logf("%d states, %d steps, the farthest %d steps away", len(seen), steps, most)
	if len(seen) < 1000 {
		t.Errorf("%d states: the walk does not go anywhere", len(seen))
	}
}
