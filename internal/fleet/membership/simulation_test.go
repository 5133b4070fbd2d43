package membership

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"eiderwinch/internal/timerqueue"
	"eiderwinch/internal/trial/fixedseed"
)

func TestMain(m *testing.M) { fixedseed.Main(m) }

const ms = time.Millisecond

var startTime = time.Unix(1000, 0)

// node is one process in a simulation.
type node struct {
	*Core
	addr        string
	wake        timerqueue.Timer[func()]
	paused      bool
	deferred    []Event // received while it was paused
	down        bool
	viewChanges int
	suspected   []string // members that it found suspect or dead
	steppedDown bool
	warnings    []string
}

// simulation runs a fleet in virtual time.
type simulation struct {
	t           testing.TB
	rng         *rand.Rand
	now         time.Time
	events      timerqueue.Queue[func()]
	nodes       map[string]*node // by address
	order       []*node
	settings    Settings
	loss        float64
	partitioned func(from, to string) bool

	tamper func(from string, b []byte) []byte // alters messages as they are sent; nil: no change

	sent      int
	bytes     int
	lastStart uint64
}

func newSimulation(t testing.TB, seed uint64, settings Settings) *simulation {
	return &simulation{
		t: t, rng: rand.New(rand.NewPCG(seed, 1)), now: startTime, nodes: make(map[string]*node), settings: settings,
		partitioned: func(string, string) bool { return false }, lastStart: 1000,
	}
}

// startNode starts a process with a name at an address, which knows some seeds.
func (sim *simulation) startNode(name, addr string, seeds ...string) *node {
	sim.lastStart++
	return sim.startNodeAs(Member{Name: name, Addr: addr, Incarnation: Incarnation{Start: sim.lastStart}}, seeds...)
}

func (sim *simulation) startNodeAs(m Member, seeds ...string) *node {
	core, err := New(sim.settings, m, sim.rng.Uint64(), sim.now)
	if err != nil {
		sim.t.Fatal(err)
	}
	n := &node{Core: core, addr: m.Addr}
	n.wake.Value = func() { sim.step(n, Wake{}) }
	if old := sim.nodes[m.Addr]; old != nil {
		sim.kill(old)
	}
	sim.nodes[m.Addr] = n
	sim.order = append(sim.order, n)
	sim.step(n, Join{seeds})
	return n
}

func (sim *simulation) kill(n *node) {
	n.down = true
	sim.events.Stop(&n.wake)
	if sim.nodes[n.addr] == n {
		delete(sim.nodes, n.addr)
	}
	for i, other := range sim.order {
		if other == n {
			sim.order = append(sim.order[:i], sim.order[i+1:]...)
			break
		}
	}
}

func (sim *simulation) step(n *node, e Event) {
	if n.down {
		return
	}
	if n.paused {
		if _, ok := e.(Wake); !ok && len(n.deferred) < 10_000 {
			n.deferred = append(n.deferred, e)
		}
		return
	}
	for _, x := range n.Step(sim.now, e) {
		switch x := x.(type) {
		case Send:
			sim.send(n.addr, x)
		case ViewChanged:
			n.viewChanges++
		case MemberChanged:
			if x.Member.State != Alive && !x.New {
				n.suspected = append(n.suspected, x.Member.Name)
			}
		case SteppedDown:
			n.steppedDown = true
		case Warn:
			n.warnings = append(n.warnings, x.Text)
		}
	}
	if d := n.Due(); !d.IsZero() {
		sim.events.Set(&n.wake, d)
	}
}

func (sim *simulation) send(from string, x Send) {
	if sim.tamper != nil {
		x.Data = sim.tamper(from, x.Data)
	}
	sim.sent++
	sim.bytes += len(x.Data)
	if sim.partitioned(from, x.To) || !x.Stream && sim.rng.Float64() < sim.loss {
		return
	}
	delay := ms + time.Duration(sim.rng.Int64N(int64(2*ms)))
	if x.Stream {
		delay *= 3 // a connection has to be opened first
	}
	sim.events.Set(&timerqueue.Timer[func()]{Value: func() {
		if n := sim.nodes[x.To]; n != nil && !sim.partitioned(from, x.To) {
			sim.step(n, Received{from, x.Data})
		}
	}}, sim.now.Add(delay))
}

func (sim *simulation) pause(n *node) { n.paused = true }

func (sim *simulation) resume(n *node) {
	n.paused = false
	for _, e := range n.deferred {
		sim.step(n, e)
	}
	n.deferred = nil
	sim.step(n, Wake{})
}

// run advances the simulation by d.
func (sim *simulation) run(d time.Duration) { sim.runUntil(d, func() bool { return false }) }

// runUntil advances the simulation until a condition holds, which it checks every 10 ms. It returns how long that took, or
// -1 if the condition did not hold within limit.
func (sim *simulation) runUntil(limit time.Duration, condition func() bool) time.Duration {
	from, nextCheck := sim.now, sim.now.Add(10*ms)
	for end := sim.now.Add(limit); sim.now.Before(end); {
		next := sim.events.Next()
		if next.IsZero() || next.After(nextCheck) {
			sim.now, nextCheck = nextCheck, nextCheck.Add(10*ms)
			if condition() {
				return sim.now.Sub(from)
			}
			continue
		}
		sim.now = next
		sim.events.Pop(next).Value()
	}
	return -1
}

// converged reports whether all running nodes that reach each other have the same active members, namely those nodes.
func (sim *simulation) converged() bool {
	for _, n := range sim.order {
		if n.steppedDown {
			continue
		}
		want := 0
		for _, o := range sim.order {
			if !o.steppedDown && (o == n || !sim.partitioned(n.addr, o.addr) && !sim.partitioned(o.addr, n.addr)) {
				want++
			}
		}
		if n.View().Digest != sim.firstReachable(n).View().Digest || len(n.View().Members) != want {
			return false
		}
	}
	return true
}

// firstReachable returns the first node that n reaches.
func (sim *simulation) firstReachable(n *node) *node {
	for _, o := range sim.order {
		if !o.steppedDown && (o == n || !sim.partitioned(n.addr, o.addr) && !sim.partitioned(o.addr, n.addr)) {
			return o
		}
	}
	return n
}

// newConvergedFleet starts size nodes, and waits until they have converged.
func newConvergedFleet(t testing.TB, seed uint64, size int, settings Settings) *simulation {
	sim := newSimulation(t, seed, settings)
	for i := range size {
		sim.startNode(name(i), "addr-"+name(i), "addr-"+name(0), "addr-"+name(1))
	}
	if sim.runUntil(20*time.Second, sim.converged) < 0 {
		t.Fatalf("seed %d: %d nodes do not converge", seed, size)
	}
	sim.resetSuspected()
	return sim
}

func name(i int) string { return fmt.Sprintf("g%04d", i) }

func (sim *simulation) resetSuspected() {
	for _, n := range sim.order {
		n.suspected = nil
	}
}

// suspicions lists the members that any node has found suspect or dead, other than those named.
func (sim *simulation) suspicions(except ...string) (list []string) {
	for _, n := range sim.order {
	next:
		for _, d := range n.suspected {
			for _, b := range except {
				if d == b {
					continue next
				}
			}
			list = append(list, n.self.Name+" suspects "+d)
		}
	}
	return list
}
