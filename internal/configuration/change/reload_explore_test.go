package change

import (
	"fmt"
	"os"
	"strconv"
	"testing"
	"time"

	"eiderwinch/internal/discovery"
)

// Bounds of the search of TestMoveOfDiscoveryInEveryShortOrder. Within them it visits every order of steps.
const (
	exploredAddresses    = 3
	exploredSubjects     = 3
	exploredSignals      = 3
	exploredTransactions = 2
	exploredKills        = 1
	exploredSteps        = 7 // from each of the states to begin with; EIDERWINCH_MODEL_DEPTH sets another number
)

// readerState is where the reload is that reads the files.
type readerState uint8

const (
	readerIdle    readerState = iota
	readerChecks              // the files were read
	readerDryRuns             // the files are to be applied
)

// process is a gatherer with its configuration files, a disk that keeps the records and a platform that moves discovery.
// Its decisions are made by the machine, the Reloads and the AddressOwner that the program runs.
type process struct {
	*model
	owner         *discovery.AddressOwner
	reloads       Reloads
	platform      byte // address in the platform's file
	operators     byte // subject in the operators' file
	halfWritten   bool // the operators' file can't be parsed
	running       bool
	followPending bool        // a signal is not handled yet
	filesPending  bool        // the platform's file was followed, the other files are to be read
	takeUpPending bool        // a change has ended while files wait
	reader        readerState // of the one reload that runs at a time
	read          Files       // by the reader
	takingUp      bool        // read has waited
	lost          bool        // files that waited were dropped for files that were refused
	waiting       Files       // valid while reloads.Waits
	word          byte        // address in the platform's file when it was last read
	submitted     Files       // by the last reload that was to apply its files
	applications  int         // how often submitted was applied
	signals       int
	kills         int
}

func newProcess() *process {
	p := &process{model: &model{machine: New(Hash{1}, Limits{}), inForce: 1, ended: make(map[Tx]int)}}
	p.start()
	return p
}

// files returns what a reload reads. The full hash of a configuration is that of its platform's file and its subject.
func (p *process) files() Files { return Files{Hash{p.platform + 1}, Hash{0, p.operators}} }

func fullHash(f Files) Hash { return Hash{f.Platform[0], f.Subject[1]} }

func subjectOf(h Hash) Hash { return Hash{0, h[1]} }

func address(n byte) string { return fmt.Sprint("address ", n) }

func (p *process) start() {
	p.running = true
	p.owner = discovery.NewAddressOwner(address(p.platform), t0)
	p.reloads = *NewReloads(p.files())
	p.word = p.platform
	p.followPending, p.filesPending, p.takeUpPending, p.takingUp, p.reader = false, false, false, false, readerIdle
	p.submitted, p.applications = Files{}, 0
}

func (p *process) clone() *process {
	c := *p
	c.model = p.model.clone()
	c.owner = discovery.NewAddressOwner(p.owner.Address().Value, t0)
	return &c
}

// key identifies a state: two processes with the same key behave in the same way.
func (p *process) key() string {
	b := []byte(p.model.key())
	for _, f := range []Files{p.reloads.last, p.read, p.waiting, p.submitted} {
		b = append(b, f.Platform[0], f.Subject[1])
	}
	for _, flag := range []bool{p.reloads.waits, p.halfWritten, p.running, p.followPending, p.filesPending, p.takeUpPending, p.takingUp} {
		b = strconv.AppendBool(b, flag)
	}
	b = append(b, p.platform, p.operators, byte(p.reader), p.word, byte(p.applications), byte(p.signals), byte(p.kills))
	for _, id := range p.machine.order {
		h := p.machine.txs[id].hash
		b = append(b, h[0], h[1])
	}
	b = append(b, p.machine.confirmedHash[0], p.machine.confirmedHash[1])
	return string(b) + p.owner.Address().Value
}

// processAction is one thing that can happen next.
type processAction struct {
	label string
	do    func(*process)
}

// actions returns everything that can happen next.
func (p *process) actions() (out []processAction) {
	add := func(label string, do func(*process)) { out = append(out, processAction{label, do}) }
	for n := range byte(exploredAddresses) {
		if n != p.platform {
			add(fmt.Sprint("platform's file names ", n), func(p *process) { p.platform = n })
		}
	}
	for n := range byte(exploredSubjects) {
		if n != p.operators || p.halfWritten {
			add(fmt.Sprint("operators' file replaced by ", n), func(p *process) { p.operators, p.halfWritten = n, false })
		}
	}
	if !p.halfWritten {
		add("operators' file half written", func(p *process) { p.halfWritten = true })
	}
	if !p.running {
		if !p.halfWritten {
			add("start", func(p *process) { p.crash(); p.start() })
		}
		return out
	}
	if p.kills < exploredKills {
		add("kill", func(p *process) { p.kills++; p.running = false })
	}
	if p.signals < exploredSignals {
		add("SIGHUP", func(p *process) { p.signals++; p.followPending = true })
	}
	if p.followPending {
		add("platform's file is read", (*process).follow)
	}
	if p.readerMayRun() {
		add("the reload goes on", func(p *process) { p.advanceReader(nil) })
		switch p.reader {
		case readerChecks:
			add("the signature does not fit", func(p *process) { p.advanceReader(errSwapFailed) })
		case readerDryRuns:
			add("the dry run fails", func(p *process) { p.advanceReader(errSwapFailed) })
		}
	}
	return append(out, p.transactionActions()...)
}

// transactionActions returns what operators, the guard, time and the event loop can do.
func (p *process) transactionActions() (out []processAction) {
	event := func(now time.Time, e Event) {
		out = append(out, processAction{fmt.Sprintf("%T%+v", e, e), func(p *process) { p.step(now, e) }})
	}
	if p.machine.lastTx < exploredTransactions {
		event(t0, Stage{Hash: Hash{1, exploredSubjects - 1}})
	}
	for id := Tx(1); id <= p.machine.lastTx; id++ {
		event(t0, Apply{Tx: id, Probation: time.Minute, AutoConfirm: true})
		event(t0, Confirm{id})
		event(t0, Undo{id, ""})
	}
	event(t0.Add(48*time.Hour), Tick{})
	if len(p.effects) > 0 {
		out = append(out, processAction{"swap", func(p *process) { p.carryOut(nil) }}, processAction{"failed swap", func(p *process) { p.carryOut(errSwapFailed) }})
	}
	for i := range p.acks {
		out = append(out, processAction{"acknowledgement", func(p *process) { p.acknowledge(i) }})
	}
	return out
}

// step passes an event to the machine, as the manager does: the end of a change takes up the files that wait.
func (p *process) step(now time.Time, e Event) {
	r := p.machine.Step(now, e)
	p.apply(r)
	for _, e := range r.Effects {
		if e, ok := e.(Ended); ok && e.State != Discarded && p.reloads.Waits() {
			p.takeUpPending = true
		}
	}
}

func (p *process) acknowledge(i int) {
	e := p.acks[i]
	p.acks = append(p.acks[:i:i], p.acks[i+1:]...)
	p.step(t0, e)
}

// follow is the part of a reload that concerns the platform's file.
func (p *process) follow() {
	p.followPending, p.filesPending = false, true
	p.owner.Move(address(p.platform), t0)
	p.word = p.platform
}

func (p *process) readerMayRun() bool {
	return p.reader != readerIdle || p.filesPending || p.takeUpPending
}

// advanceReader carries out the next step of the reload that runs, or begins one. failure is that of the signature or of
// the dry run.
func (p *process) advanceReader(failure error) {
	switch {
	case p.reader == readerChecks:
		p.decide(failure)
	case p.reader == readerDryRuns:
		p.applyFiles(failure)
	case p.takeUpPending:
		if p.takeUpPending = false; p.reloads.Waits() {
			p.reader, p.read, p.takingUp = readerChecks, p.waiting, true
		}
	default:
		if p.filesPending = false; !p.halfWritten {
			p.reader, p.read, p.takingUp = readerChecks, p.files(), false
		}
	}
}

func (p *process) decide(unsigned error) {
	p.reader = readerIdle
	var d ReloadDecision
	if p.takingUp {
		if unsigned != nil {
			p.reloads.Forget()
			return
		}
		d = p.reloads.Decide(p.read.Subject, p.situation())
	} else {
		last, waited := p.reloads.last, p.reloads.Waits()
		d = p.reloads.Read(p.read, unsigned == nil, p.situation())
		if platformOnly := p.read.Subject == last.Subject && p.read.Platform != last.Platform; !platformOnly && d != ReloadUnsigned {
			p.submitted, p.applications = p.read, 0
		}
		if d == ReloadUnsigned || d == ReloadPlatformOnly {
			p.lost = waited && !p.reloads.Waits()
		}
	}
	p.note(d)
	if d == ReloadApply {
		p.reader = readerDryRuns
	}
}

func (p *process) note(d ReloadDecision) {
	if d == ReloadWait {
		p.waiting = p.read
	}
}

func (p *process) situation() Situation {
	s := Situation{Confirmed: subjectOf(p.machine.confirmedHash)}
	if t, ok := p.machine.Active(); ok {
		s.Busy, s.Active = true, subjectOf(t.Hash)
	}
	return s
}

func (p *process) applyFiles(dryRun error) {
	p.reader = readerIdle
	if dryRun != nil {
		return
	}
	d := p.reloads.Decide(p.read.Subject, p.situation())
	p.note(d)
	if d != ReloadApply {
		return
	}
	r := p.machine.Step(t0, Stage{Hash: fullHash(p.read)})
	p.apply(r)
	if r.Err != nil {
		return
	}
	p.step(t0, Apply{Tx: r.Tx, Probation: time.Minute, AutoConfirm: true})
	p.applications++
}

// violation describes an invariant that a state breaks, or returns the empty string.
func (p *process) violation(before *process, isNew bool) string {
	if broken := p.model.violation(before.model, isNew); broken != "" {
		return broken
	}
	if !p.running {
		return ""
	}
	if asked := p.owner.Address().Value; asked != address(p.word) {
		return fmt.Sprintf("%s is asked, the platform's file named %s when it was read", asked, address(p.word))
	}
	if p.reloads.Waits() && !p.situation().Busy && !p.takeUpPending && p.reader == readerIdle {
		return "files wait for nothing"
	}
	if p.lost {
		return "files that waited are lost to files that were refused"
	}
	if p.applications > 1 {
		return fmt.Sprintf("files were applied %d times", p.applications)
	}
	return ""
}

// settle delivers everything that is on its way and lets time pass.
func (p *process) settle() string {
	waiting := p.waiting
	waits := p.reloads.Waits() && p.reader == readerIdle && !p.followPending && !p.filesPending
	if now := p.situation(); now.Busy && now.Active == waiting.Subject {
		waits = false // the same text was staged meanwhile, and may be undone
	}
	for range 20 {
		if p.followPending {
			p.follow()
		}
		for p.readerMayRun() {
			p.advanceReader(nil)
		}
		for len(p.effects) > 0 {
			p.carryOut(nil)
		}
		for len(p.acks) > 0 {
			p.acknowledge(0)
		}
		p.step(t0.Add(48*time.Hour), Tick{})
	}
	switch {
	case p.readerMayRun() || p.machine.active != 0 || p.reloads.Waits():
		return "does not settle"
	case p.inForce != p.machine.confirmed:
		return fmt.Sprintf("generation %d is in force, %d is confirmed", p.inForce, p.machine.confirmed)
	case p.owner.Address().Value != address(p.word):
		return fmt.Sprintf("settles with %s asked, want %s", p.owner.Address().Value, address(p.word))
	case waits && subjectOf(p.machine.confirmedHash) != waiting.Subject:
		return fmt.Sprintf("files of subject %d waited, but %d is confirmed", waiting.Subject[1], p.machine.confirmedHash[1])
	}
	return ""
}

// reload replaces the operators' file, sends SIGHUP and carries the reload out as far as it goes at once.
func (p *process) reload(subject byte) {
	p.operators, p.followPending = subject, true
	p.follow()
	for p.readerMayRun() {
		p.advanceReader(nil)
	}
}

// deliver lets the event loop carry out what is on its way.
func (p *process) deliver() {
	for len(p.effects) > 0 {
		p.carryOut(nil)
	}
	for len(p.acks) > 0 {
		p.acknowledge(0)
	}
}

// startingPoints returns states that the search begins with, so that short orders of steps go far: the start, a change on
// probation that was staged or reloaded, one with files that wait for its end, and one that was undone.
func startingPoints() []*process {
	staged := newProcess()
	staged.step(t0, Stage{Hash: Hash{1, exploredSubjects - 1}})
	staged.step(t0, Apply{Tx: 1, Probation: time.Minute, AutoConfirm: true})
	staged.deliver()
	reloaded := newProcess()
	reloaded.reload(1)
	reloaded.deliver()
	waiting := reloaded.clone()
	waiting.reload(2)
	undone := reloaded.clone()
	undone.step(t0, Undo{1, ""})
	undone.deliver()
	return []*process{newProcess(), staged, reloaded, waiting, undone}
}

// TestMoveOfDiscoveryInEveryShortOrder guards against an order of signals, files, changes, kills and starts in which
// discovery is asked at another address than the platform has named, or a reload is lost or applied twice.
func TestMoveOfDiscoveryInEveryShortOrder(t *testing.T) {
	depth := exploredSteps
	if n, err := strconv.Atoi(os.Getenv("EIDERWINCH_MODEL_DEPTH")); err == nil {
		depth = n
	}
	level, steps := startingPoints(), 0
	seen := make(map[string]bool)
	for _, p := range level {
		seen[p.key()] = true
	}
	for range depth {
		var next []*process
		for _, p := range level {
			for _, action := range p.actions() {
				after := p.clone()
				action.do(after)
				steps++
				key := after.key()
				isNew := !seen[key]
				if broken := after.violation(p, isNew); broken != "" {
					t.Fatalf("%s, after %s: %s", p.describe(), action.label, broken)
				}
				if !isNew {
					continue
				}
				seen[key] = true
				if settled := after.clone(); settled.running {
					if broken := settled.settle(); broken != "" {
						t.Fatalf("%s, after %s: %s", p.describe(), action.label, broken)
					}
				}
				next = append(next, after)
			}
		}
		level = next
	}
	t.Logf("%d states, %d steps, all orders of %d", len(seen), steps, depth)
	if len(seen) < 1000 {
		t.Errorf("%d states: the search reaches too few", len(seen))
	}
}

func (p *process) describe() string {
	return fmt.Sprintf("%+v with %+v, owner at %s, records %+v", *p, p.machine.Txs(), p.owner.Address().Value, p.records)
}
