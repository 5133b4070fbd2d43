package share

import (
	"fmt"
	"math/rand/v2"
	"time"
)

// simulation runs gatherers, the hosts of their addresses and the network between them, in steps of a millisecond. It
// audits which slots each uses, by one clock that none of them sees.
type simulation struct {
	settings    Settings
	minGap      time.Duration // least time between two processes' uses of a slot
	rng         *rand.Rand
	elapsed     time.Duration
	processes   []*process
	partitioned map[[2]int]bool
	lastUse     []slotUse // by slot
	violation   error
	slotsInUse  int  // at the last step
	noQuestions bool // gatherers ask no questions when they start
}

// slotUse is the last use of a slot.
type slotUse struct {
	by *process
	at time.Duration
}

// process is the process of a slot. If holder is nil, no process of the slot runs.
type process struct {
	slot      int
	holder    *Holder // nil: nothing listens at the slot's address
	paused    bool
	clockRate float64 // speed of its clock
	nextRun   time.Duration
	pending   []pendingDial
}

// pendingDial is a connection in progress, for a Dial or a question.
type pendingDial struct {
	dial                 Dial
	isQuestion           bool
	arrivesAt, returnsAt time.Duration
	arrived              bool
	reply                Reply
}

var startTime = time.Unix(1_000_000, 0)

func newSimulation(settings Settings, seed uint64) *simulation {
	sim := &simulation{
		settings: settings, minGap: settings.Window, rng: rand.New(rand.NewPCG(seed, 1)), partitioned: make(map[[2]int]bool),
		lastUse: make([]slotUse, settings.Slots), processes: make([]*process, settings.Slots),
	}
	for i := range settings.Slots {
		sim.start(i)
	}
	return sim
}

func (p *process) now(t time.Duration) time.Time {
	return startTime.Add(time.Duration(float64(t) * p.clockRate))
}

// start starts a process of a slot if none is running.
func (sim *simulation) start(slot int) {
	if p := sim.processes[slot]; p != nil && p.holder != nil {
		return
	}
	p := &process{slot: slot, clockRate: 1 + (sim.rng.Float64()-0.5)/driftDivisor}
	sim.processes[slot] = p
	settings := sim.settings
	settings.Number, settings.Seed = slot, sim.rng.Uint64()
	var err error
	if p.holder, err = New(settings, p.now(sim.elapsed)); err != nil {
		panic(err)
	}
}

func (sim *simulation) kill(slot int) { sim.processes[slot] = &process{slot: slot} }

func (sim *simulation) isPartitioned(a, b int) bool {
	return sim.partitioned[[2]int{a, b}] || sim.partitioned[[2]int{b, a}]
}

// noneAlive stands for the membership view. It does not notice partitions and reports that no member is alive, so that the
// simulation does not depend on the view.
func noneAlive(int) bool { return false }

// step advances the simulation by a millisecond.
func (sim *simulation) step() {
	sim.elapsed += time.Millisecond
	for _, p := range sim.processes {
		for i := range p.pending {
			if d := &p.pending[i]; !d.arrived && sim.elapsed >= d.arrivesAt {
				d.arrived = true
				switch to := sim.processes[d.dial.Slot]; {
				case sim.isPartitioned(p.slot, d.dial.Slot):
				case to.holder == nil:
					d.reply.Kind = Refused
				case d.isQuestion && !to.paused:
					d.reply = to.holder.Answer(to.now(sim.elapsed), p.slot)
				}
			}
		}
	}
	sim.slotsInUse = 0
	for _, p := range sim.processes {
		if p.holder == nil || p.paused {
			continue
		}
		now := p.now(sim.elapsed)
		var remaining []pendingDial
		for _, d := range p.pending {
			if !d.arrived || sim.elapsed < d.returnsAt {
				remaining = append(remaining, d)
				continue
			}
			if d.isQuestion {
				p.holder.QuestionEnded(now, d.reply)
			} else {
				p.holder.DialEnded(now, d.dial, d.reply.Kind == Refused)
			}
		}
		p.pending = remaining
		if sim.elapsed >= p.nextRun {
			p.nextRun = sim.elapsed + time.Duration(sim.rng.IntN(30))*time.Millisecond
			for _, dial := range p.holder.NextDials(now, noneAlive) {
				p.pending = append(p.pending, sim.schedule(pendingDial{dial: dial}))
			}
			if slot, ok := p.holder.NextQuestion(now); ok && !sim.noQuestions {
				p.pending = append(p.pending, sim.schedule(pendingDial{dial: Dial{Slot: slot}, isQuestion: true}))
			}
		}
		sim.audit(p, p.holder.Share(now))
	}
}

// schedule sets the random times at which a connection arrives and its outcome returns.
func (sim *simulation) schedule(d pendingDial) pendingDial {
	d.arrivesAt = sim.elapsed + time.Duration(1+sim.rng.IntN(4))*time.Millisecond
	d.returnsAt = d.arrivesAt + time.Duration(sim.rng.IntN(40))*time.Millisecond
	return d
}

// audit records which slots a process may use. What a process that has ended has used is not counted any more, as is the
// case when limits are not divided.
func (sim *simulation) audit(p *process, s Share) {
	for n := range s.Slots {
		slot := p.holder.slotBefore(n)
		sim.slotsInUse++
		last := &sim.lastUse[slot]
		if last.by != nil && last.by != p && last.by == sim.processes[last.by.slot] && sim.elapsed-last.at < sim.minGap && sim.violation == nil {
			sim.violation = fmt.Errorf("at %v slot %d is used by gatherer %d, and was used by gatherer %d at %v", sim.elapsed, slot, p.slot, last.by.slot, last.at)
		}
		*last = slotUse{p, sim.elapsed}
	}
}

func (sim *simulation) run(d time.Duration) {
	for end := sim.elapsed + d; sim.elapsed < end; {
		sim.step()
	}
}
