package memory

import (
	"fmt"
	"math/rand/v2"
	"os"
	"strconv"
	"testing"
)

// Sizes of the model: two holders fit into the pool with a large request each, three don't.
const (
	modelHolders  = 3
	modelCapacity = 2 * modelHolders * 10 // 10 guaranteed to each, and a pool of 30
	smallRequest  = 8
	largeRequest  = 22
	queryBytes    = 12
	valueBytes    = 25
	answerBytes   = 18
)

// modelHolder is a holder as the model sees it: what it holds by kind, and its state.
type modelHolder struct {
	open   bool
	held   [numKinds]int
	parked bool // a reservation was denied
}

// model is an account whose sums are taken anew each time.
type model struct {
	holders [modelHolders]modelHolder
}

func (m *model) pooled(except int) (bytes int) {
	for i, h := range m.holders {
		if i != except {
			bytes += max(h.total()-modelCapacity/2/modelHolders, 0)
		}
	}
	return bytes
}

func (h modelHolder) total() (bytes int) {
	for _, held := range h.held {
		bytes += held
	}
	return bytes
}

// allows reports whether holder i may hold more bytes of a kind.
func (m *model) allows(i int, k Kind, bytes int) bool {
	const guaranteed, pool = modelCapacity / 2 / modelHolders, modelCapacity / 2
	after := m.holders[i].total() + bytes
	if after <= guaranteed {
		return true
	}
	limit := pool
	if k == Requests {
		limit -= pool / queryShare
	}
	return m.pooled(i)+after-guaranteed <= limit
}

// operation is something that happens to a connection. It is done to the account and to the model, and returns an error if
// they differ in what they allow.
type operation struct {
	name string
	do   func(h *Holder, m *model, i int) error
}

// reserve is a read of more bytes. Without room the connection is parked.
func reserve(bytes int) func(*Holder, *model, int) error {
	return func(h *Holder, m *model, i int) error {
		if !m.holders[i].open {
			return nil
		}
		want := m.allows(i, Requests, bytes)
		if got := h.Reserve(Requests, bytes); got != want {
			return fmt.Errorf("reserve %d: have %v, want %v", bytes, got, want)
		}
		if m.holders[i].parked = !want; want {
			m.holders[i].held[Requests] += bytes
		}
		return nil
	}
}

// set records bytes of a kind in both.
func set(h *Holder, m *model, i int, k Kind, bytes int) {
	h.Set(k, bytes)
	if m.holders[i].open {
		m.holders[i].held[k] = bytes
	}
}

// operations are all that happens to a connection.
var operations = []operation{
	{"read a little", reserve(smallRequest)},
	{"read much", reserve(largeRequest)},
	{"take the query", func(h *Holder, m *model, i int) error {
		size := queryBytes - m.holders[i].held[Requests]
		if !m.holders[i].open || h.MayGrow(Queries, size) != m.allows(i, Queries, size) {
			if m.holders[i].open {
				return fmt.Errorf("a query of %d bytes: have %v", size, h.MayGrow(Queries, size))
			}
			return nil
		}
		if m.allows(i, Queries, size) {
			set(h, m, i, Requests, 0)
			set(h, m, i, Queries, queryBytes)
		}
		return nil
	}},
	{"receive values", func(h *Holder, m *model, i int) error {
		if m.holders[i].held[Queries] > 0 {
			set(h, m, i, Queries, queryBytes+valueBytes)
		}
		return nil
	}},
	{"answer, read", func(h *Holder, m *model, i int) error { set(h, m, i, Queries, 0); return nil }},
	{"answer, unread", func(h *Holder, m *model, i int) error {
		set(h, m, i, Queries, 0)
		set(h, m, i, Answers, answerBytes)
		return nil
	}},
	{"flush", func(h *Holder, m *model, i int) error { set(h, m, i, Answers, 0); return nil }},
	{"close", func(h *Holder, m *model, i int) error {
		h.Close()
		m.holders[i] = modelHolder{}
		return nil
	}},
	{"open", func(h *Holder, m *model, i int) error {
		if !m.holders[i].open {
			m.holders[i].open = true
		}
		return nil
	}},
}

// evict closes the costliest holders until there is no excess, as the node does.
func evict(a *Account, holders []*Holder, m *model) error {
	for a.Excess() > 0 {
		costliest := 0
		for i := range holders {
			if holders[i].Pooled() > holders[costliest].Pooled() {
				costliest = i
			}
		}
		if holders[costliest].Pooled() == 0 {
			return fmt.Errorf("an excess of %d without a holder that has it", a.Excess())
		}
		holders[costliest].Close()
		m.holders[costliest] = modelHolder{}
	}
	return nil
}

// play does a sequence of operations and returns where account and model differ. Number n stands for operation
// n / modelHolders of holder n % modelHolders.
func play(sequence []int) error {
	a := New(modelCapacity, modelHolders)
	var m model
	var holders []*Holder
	for range modelHolders {
		holders = append(holders, &Holder{})
	}
	for step, n := range sequence {
		op, i := operations[n/modelHolders], n%modelHolders
		wasOpen := m.holders[i].open
		err := op.do(holders[i], &m, i)
		if !wasOpen && m.holders[i].open {
			a.Open(holders[i])
		}
		if err == nil {
			err = evict(a, holders, &m)
		}
		if err == nil {
			err = compare(a, holders, &m)
		}
		if err != nil {
			return fmt.Errorf("step %d (%s of holder %d): %w", step, op.name, i, err)
		}
	}
	return nil
}

// compare compares all sums of an account with those of the model.
func compare(a *Account, holders []*Holder, m *model) error {
	var held [numKinds]int
	total := 0
	for i := range holders {
		for k, bytes := range m.holders[i].held {
			held[k] += bytes
			total += bytes
			if got := holders[i].Held(Kind(k)); got != bytes {
				return fmt.Errorf("holder %d holds %d for %v, want %d", i, got, Kind(k), bytes)
			}
		}
	}
	for _, k := range Kinds() {
		if a.Held(k) != held[k] {
			return fmt.Errorf("%d held for %v, want %d", a.Held(k), k, held[k])
		}
	}
	if room := modelCapacity/2 - m.pooled(-1); a.Room() != room || a.Total() != total || room < 0 {
		return fmt.Errorf("room %d, total %d, want %d and %d", a.Room(), a.Total(), room, total)
	}
	if total > modelCapacity {
		return fmt.Errorf("%d held, capacity %d", total, modelCapacity)
	}
	return nil
}

// modelDepthVariable is the environment variable for a longer enumeration by hand.
const modelDepthVariable = "EIDERWINCH_MODEL_DEPTH"

// All orders of a few operations, after all holders have been opened, and longer orders that are drawn.
func TestAccountAgainstModel(t *testing.T) {
	depth := 4
	if s := os.Getenv(modelDepthVariable); s != "" {
		var err error
		if depth, err = strconv.Atoi(s); err != nil {
			t.Fatal(err)
		}
	}
	choices := len(operations) * modelHolders
	sequence := make([]int, modelHolders+depth)
	for i := range modelHolders {
		sequence[i] = (len(operations)-1)*modelHolders + i
	}
	count := 0
	var enumerate func(at int)
	enumerate = func(at int) {
		if at == len(sequence) {
			count++
			if err := play(sequence); err != nil {
				t.Fatalf("%v: %v", sequence, err)
			}
			return
		}
		for n := range choices {
			sequence[at] = n
			enumerate(at + 1)
		}
	}
	enumerate(modelHolders)
	for seed := range uint64(20_000) {
		rng := rand.New(rand.NewPCG(seed, 0))
		drawn := append([]int(nil), sequence[:modelHolders]...)
		for range 60 {
			drawn = append(drawn, rng.IntN(choices))
		}
		if err := play(drawn); err != nil {
			t.Fatalf("seed %d: %v", seed, err)
		}
	}
	t.Logf("%d orders of %d operations", count, depth)
}
