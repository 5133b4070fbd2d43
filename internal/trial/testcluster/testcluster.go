// Package testcluster runs a test cluster on loopback: several processes of the built program, as a fleet of gatherers, with
// fake searchers and a fake discovery. It injects faults between the gatherers: relays partition, drop, delay, duplicate and
// throttle what they send each other, and processes are stopped, killed and restarted. It ends only processes that it
// has started. The history of a run is recorded from outside the gatherers: by the clients, by the searchers and by
// polls, so that the audit does not rely on the gatherers' own account alone.
//
// A plan of faults comes from a seed or a file. Runs take place in real time, so the same plan does not give exactly the
// same run. The audit checks what must hold in every run.
package testcluster

import (
	"bufio"
	"cmp"
	"context"
	"errors"
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"syscall"
	"time"

	"eiderwinch/internal/admin"
	"eiderwinch/internal/fleet/share"
	"eiderwinch/internal/trial/ask"
	"eiderwinch/internal/trial/fake"
	"eiderwinch/internal/trial/partaudit"
)

// Config configures a Cluster.
type Config struct {
	Program         string // path of the built program
	Dir             string // for files, logs and history.jsonl
	Gatherers       int
	Seed            uint64
	Keys            string        // text of a key file with a key named k
	Lease           time.Duration // lease of a slot, see package share; 0: limits are not divided
	ConvergeTimeout time.Duration // a fleet that has not converged this long after a fault counts as a violation
}

// Parameters of the searchers, the gatherers and the clients. One searcher, alone in its cell, restarts so often that it
// is always cold. How many parts it gets depends on how the fleet divides the limits at cold searchers.
const (
	coldDuration        = 10 * time.Second // how long a searcher is cold after a start
	coldRestartInterval = 7 * time.Second  // between restarts of the cold searcher; less than coldDuration
	limitWindow         = time.Second      // the span over which the limits at a cold searcher count
	fallMultiple        = 2.0
	startCapacity       = 0.2
	partDuration        = 20 * time.Millisecond // time that a searcher takes for a part
	// The decision module allows a cold searcher up to this multiple of the parts that one core can certainly serve:
	// twice as many because most gatherers don't use their shares, and twice that if it answers as quickly as others.
	coldGrantFactor = 4

	seedCount     = 3                     // number of seeds, which are the first gatherers
	seedKillDelay = 50 * time.Millisecond // from the start of the others, which join through the seed, to its kill

	aim           = time.Second
	deadline      = 2 * time.Second
	pollInterval  = 100 * time.Millisecond
	startTimeout  = 20 * time.Second
	answerTimeout = 20 * time.Second // a query without an answer by then is lost
)

// Cluster is a running test cluster.
type Cluster struct {
	cfg          Config
	network      *network
	discovery    *fake.Discovery
	searchers    []*searcher
	coldSearcher *searcher // one of searchers
	gatherers    []*gatherer
	audit        *partaudit.Audit
	history      *history
	historyFile  *os.File
	ctx          context.Context
	stop         context.CancelFunc
	goroutines   sync.WaitGroup
}

// gatherer is one member of the fleet. Its process changes with each restart.
type gatherer struct {
	cluster       *Cluster
	number        int
	operatorsFile string // path of the operators' file
	admin         *admin.Client

	mu            sync.Mutex
	cmd           *exec.Cmd     // nil: no process runs
	process       processID     // the current process, or the last one
	exited        chan struct{} // closed when the current process has ended
	stopped       bool          // the process is stopped by SIGSTOP
	interruptions int           // number of kills and signals so far
}

// New starts a test cluster and its clients.
func New(cfg Config) (c *Cluster, err error) {
	c = &Cluster{cfg: cfg, audit: partaudit.New()}
	c.ctx, c.stop = context.WithCancel(context.Background())
	defer func() {
		if err != nil {
			err = errors.Join(err, c.Close())
		}
	}()
	if c.historyFile, err = os.Create(filepath.Join(cfg.Dir, "history.jsonl")); err != nil {
		return c, err
	}
	c.history = newHistory(c.historyFile)
	if c.network, err = newNetwork(cfg.Gatherers, cfg.Seed); err != nil {
		return c, err
	}
	if c.discovery, err = fake.NewDiscovery(); err != nil {
		return c, err
	}
	for i := range 3 { // the last is the cold searcher, alone in its cell
		s, err := newSearcher(fmt.Sprint("s-0", i), i/2, partDuration, c.audit)
		if err != nil {
			return c, err
		}
		c.searchers = append(c.searchers, s)
		c.discovery.Publish(s.member(i == 2))
	}
	c.coldSearcher = c.searchers[2]
	if err := os.WriteFile(filepath.Join(cfg.Dir, "keys.xml"), []byte(cfg.Keys), 0o600); err != nil {
		return c, err
	}
	for i := range cfg.Gatherers {
		g := &gatherer{cluster: c, number: i}
		if err := g.writeFiles(); err != nil {
			return c, err
		}
		c.gatherers = append(c.gatherers, g)
	}
	if err := c.forEach(c.gatherers, (*gatherer).start); err != nil {
		return c, err
	}
	c.spawn(func() { c.repeat(coldRestartInterval, func() { c.discovery.Publish(c.coldSearcher.member(true)) }) })
	for _, g := range c.gatherers {
		c.spawn(func() { c.repeat(pollInterval, g.poll) })
		for k := range 4 {
			c.spawn(func() { g.runClient(k) })
		}
	}
	return c, nil
}

// spawn runs a function in a goroutine that Close waits for.
func (c *Cluster) spawn(f func()) {
	c.goroutines.Add(1)
	go func() {
		defer c.goroutines.Done()
		f()
	}()
}

// repeat calls a function periodically until the test cluster stops.
func (c *Cluster) repeat(d time.Duration, f func()) {
	for c.sleep(d) {
		f()
	}
}

// sleep waits for d, and reports whether the test cluster still runs then.
func (c *Cluster) sleep(d time.Duration) bool {
	select {
	case <-c.ctx.Done():
		return false
	case <-time.After(d):
		return true
	}
}

// forEach calls a function for all gatherers of a list at once, and waits for them.
func (c *Cluster) forEach(list []*gatherer, f func(*gatherer) error) error {
	errs := make([]error, len(list))
	var done sync.WaitGroup
	for i, g := range list {
		done.Add(1)
		go func() {
			defer done.Done()
			errs[i] = f(g)
		}()
	}
	done.Wait()
	return errors.Join(errs...)
}

// writeFiles writes the gatherer's configuration files.
func (g *gatherer) writeFiles() error {
	network, dir := g.cluster.network, g.cluster.cfg.Dir
	g.operatorsFile = filepath.Join(dir, fmt.Sprintf("g%d.xml", g.number))
	endpoint := fmt.Sprintf("unix:%s/g%d", dir, g.number)
	g.admin = admin.NewClient(endpoint, time.Second, nil)
	var text strings.Builder
	fmt.Fprintf(&text, `<eiderwinch xmlns="urn:eiderwinch:operators:1"><admin endpoint=%q/><fleet name="rig" listen=%q advertise=%q keys="keys.xml" key="k" lease=%q>`,
		endpoint, network.listenAddr(g.number), network.relays[g.number].tcp.Addr(), cmp.Or(g.cluster.cfg.Lease, share.DefaultLease))
	for i := range min(seedCount, network.size) {
		fmt.Fprintf(&text, "<seed addr=%q/>", network.relays[i].tcp.Addr())
	}
	for j := range network.size {
		addr := network.slotAddr(g.number, j)
		if j == g.number {
			addr = network.listenAddr(j)
		}
		if g.cluster.cfg.Lease > 0 {
			fmt.Fprintf(&text, "<slot number=\"%d\" addr=%q/>", j, addr)
		}
	}
	text.WriteString("</fleet></eiderwinch>")
	known := g.cluster.discovery.List()
	config := fmt.Sprintf(`{"name":"g%d","listen":%q,"discovery":%q,"limits":{"memory_mb":128,"sockets":256},"known":%s,"settings":{`+
		`"membership_mode":"pushed","tick":5000000,"balancers":%d,"my_number":%d,"domain":{"places":2,"in_a_row":1,"shards":2,"per_call":4,"call_cost":1000000},`+
		`"classes":[{"name":"search","aim":%d,"deadline":%d,"effect":"safe","worth":1}],"policy_limits":{"cancel":true,"attempts_cap":4},`+
		`"rules":{"cold":%d,"start_capacity":%v,"fall_multiple":%v,"overload_for":%d}}}`,
		g.number, network.queryAddr(g.number), g.cluster.discovery.Addr(), known, network.size, g.number, aim, deadline, coldDuration, startCapacity, fallMultiple, limitWindow)
	return errors.Join(os.WriteFile(g.operatorsFile, []byte(text.String()), 0o600), os.WriteFile(g.configFile(), []byte(config), 0o600))
}

// configFile returns the path of the gatherer's configuration file.
func (g *gatherer) configFile() string {
	return filepath.Join(g.cluster.cfg.Dir, fmt.Sprintf("g%d.json", g.number))
}

// start starts a process unless one runs, and waits until it serves.
func (g *gatherer) start() error {
	g.mu.Lock()
	if g.cmd != nil {
		g.mu.Unlock()
		return nil
	}
	if err := g.cluster.network.setRunning(g.number, true); err != nil {
		g.mu.Unlock()
		return err
	}
	g.process = processID{g.number, g.process.Start + 1}
	g.cmd = exec.Command(g.cluster.cfg.Program, "serve", "--file", g.operatorsFile)
	g.cmd.Env = append(os.Environ(), "LB_CONFIG="+g.configFile(), "LB_LISTEN=", "LB_DISCOVERY=", "LB_NAME=")
	out, err := g.cmd.StderrPipe()
	if err == nil {
		err = g.cmd.Start()
	}
	if err != nil {
		g.cmd = nil
		g.mu.Unlock()
		return err
	}
	serving, exited, cmd, process := make(chan struct{}), make(chan struct{}), g.cmd, g.process
	g.exited, g.stopped = exited, false
	g.mu.Unlock()
	g.cluster.history.recordText(process.String(), "starts")
	go func() {
		defer close(exited)
		log, err := os.Create(filepath.Join(g.cluster.cfg.Dir, process.String()+".log"))
		if err != nil {
			log = nil
		}
		starting := true
		for s := bufio.NewScanner(out); s.Scan(); {
			_, _ = fmt.Fprintln(log, s.Text()) // a write to a nil file does nothing
			if starting && strings.Contains(s.Text(), "msg=serving") {
				starting = false
				close(serving)
			}
		}
		_, _ = log.Close(), cmd.Wait()
	}()
	select {
	case <-serving:
		return nil
	case <-exited:
		return fmt.Errorf("test cluster: %v exited before it served, see its log", process)
	case <-time.After(startTimeout):
		return fmt.Errorf("test cluster: %v did not serve within %v", process, startTimeout)
	}
}

// kill kills the process, if one runs. The network refuses connections to it only after the process has ended.
func (g *gatherer) kill() error {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.cmd == nil {
		return nil
	}
	g.interruptions++
	_ = g.cmd.Process.Kill()
	<-g.exited
	g.cmd, g.stopped = nil, false
	g.cluster.history.recordEnd(g.process)
	return g.cluster.network.setRunning(g.number, false)
}

// signal sends a signal to the process, if one runs.
func (g *gatherer) signal(s syscall.Signal) error {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.cmd == nil {
		return nil
	}
	g.interruptions++
	g.stopped = s == syscall.SIGSTOP
	g.cluster.history.recordText(g.process.String(), "%v", s)
	return g.cmd.Process.Signal(s)
}

// running returns the current process, or the last one, and the number of interruptions so far. ok reports whether the
// process runs and is not stopped.
func (g *gatherer) running() (process processID, interruptions int, ok bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.process, g.interruptions, g.cmd != nil && !g.stopped
}

// fetchState asks the gatherer for its state of the fleet, and records it. ok is false if there is no answer, or if the
// process may have changed meanwhile.
func (g *gatherer) fetchState() (state admin.FleetState, ok bool) {
	process, _, ok := g.running()
	asked := time.Now()
	if !ok || g.admin.Do(g.cluster.ctx, http.MethodGet, "/v1/fleet", nil, &state) != nil {
		return state, false
	}
	now := time.Now()
	if processNow, _, ok := g.running(); !ok || processNow != process {
		return state, false
	}
	g.cluster.history.recordState(process, g.cluster.network.size, state, asked, now)
	return state, true
}

// poll records the gatherer's state.
func (g *gatherer) poll() { g.fetchState() }

// runClient runs one of the gatherer's clients, which sends one query after another. Clients with an odd number ask the cold
// searcher.
func (g *gatherer) runClient(number int) {
	client := &http.Client{Timeout: answerTimeout, Transport: &http.Transport{MaxIdleConnsPerHost: 1}}
	defer client.CloseIdleConnections()
	var connected processID // the process that the client is connected to
	// A fleet of more than five gets no more queries than one of five: the number of searchers is the same.
	interval := time.Duration(10+5*number) * time.Millisecond * time.Duration(max(g.cluster.network.size, 5)) / 5
	for i := 0; g.cluster.sleep(interval); i++ {
		process, interruptions, ok := g.running()
		if !ok {
			continue
		}
		if connected != process { // the old connection ended with its process
			client.CloseIdleConnections()
			connected = process
		}
		shard := number % 2
		answer, err := ask.Do(g.cluster.ctx, client, g.cluster.network.queryAddr(g.number), ask.Query{
			Class: "search", Trace: fmt.Sprintf("%v-%d-%d", process, number, i), Expires: deadline, Segments: []int{shard}, Statement: "q",
		})
		switch {
		case g.cluster.ctx.Err() != nil:
			return
		case errors.Is(err, syscall.ECONNREFUSED): // the gatherer doesn't listen yet, so it got no query
			continue
		}
		processNow, interruptionsNow, _ := g.running()
		g.cluster.history.recordAnswer(answer.Status, shard == 1, processNow != process || interruptions != interruptionsNow, err)
	}
}

// recordAnswer counts a query by how it has ended. interrupted tells whether its gatherer was killed or stopped meanwhile.
func (h *history) recordAnswer(status int, cold, interrupted bool, err error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.Asked++
	switch {
	case err != nil && interrupted:
		h.Interrupted++
	case err != nil:
		h.Lost++
		h.recordViolationLocked("query without an answer: %v", err)
	case status == http.StatusOK:
		h.Answered++
		if cold {
			h.AnsweredCold++
		}
	case status == http.StatusServiceUnavailable || status == http.StatusTooManyRequests:
		h.Refused++
	default:
		h.Failed++
	}
}

// waitConverged waits until the membership views of all running gatherers agree and count as many gatherers as run, and
// returns how long that took.
func (c *Cluster) waitConverged() (time.Duration, error) {
	started := time.Now()
	for {
		runningCount, converged, digest := 0, true, ""
		var states []admin.FleetState
		for _, g := range c.gatherers {
			if _, _, ok := g.running(); !ok {
				continue
			}
			runningCount++
			s, ok := g.fetchState()
			converged = converged && ok && (digest == "" || s.Digest == digest)
			digest = s.Digest
			states = append(states, s)
		}
		for _, s := range states {
			converged = converged && s.Counted == runningCount
		}
		took := time.Since(started)
		if converged {
			return took, nil
		}
		if took > c.cfg.ConvergeTimeout {
			return took, fmt.Errorf("fleet not converged after %v: %d gatherers run", took, runningCount)
		}
		if !c.sleep(20 * time.Millisecond) {
			return took, c.ctx.Err()
		}
	}
}

// Close ends all processes and goroutines of the test cluster.
func (c *Cluster) Close() error {
	c.stop()
	err := c.forEach(c.gatherers, (*gatherer).kill)
	c.goroutines.Wait()
	if c.network != nil {
		c.network.close()
	}
	if c.discovery != nil {
		err = errors.Join(err, c.discovery.Close())
	}
	for _, s := range c.searchers {
		err = errors.Join(err, s.server.Close())
	}
	for _, g := range c.gatherers {
		g.admin.Close()
	}
	if c.historyFile != nil {
		err = errors.Join(err, c.historyFile.Close())
	}
	return err
}

// Convergence holds how long the fleet took to converge after faults of one kind.
type Convergence struct {
	Kind  Kind
	When  string // "struck": after the fault began; "over": after it ended
	Times []time.Duration
}

// Report is the result of a run.
type Report struct {
	Queries
	Steps            int
	Convergence      []Convergence
	ViewChanges      int // observed changes of a gatherer's view
	QuietViewChanges int // those of ViewChanges that occurred without a fault, in a fleet that had converged
	MaxHeldSlots     int // maximum number of slots of absent gatherers that others used at once
	// ColdParts counts the parts that the cold searcher received, MaxColdParts those in the limitWindow with the most.
	// AllowedColdParts is how many the decision module's rule allows the whole fleet in that window.
	ColdParts, MaxColdParts int
	AllowedColdParts        float64
	Violations              []string
}

// addTime adds a time that the fleet took to converge.
func (r *Report) addTime(kind Kind, when string, took time.Duration) {
	i := slices.IndexFunc(r.Convergence, func(s Convergence) bool { return s.Kind == kind && s.When == when })
	if i < 0 {
		i = len(r.Convergence)
		r.Convergence = append(r.Convergence, Convergence{Kind: kind, When: when})
	}
	r.Convergence[i].Times = append(r.Convergence[i].Times, took)
}

// quietPeriod is how long the fleet is observed without a fault before each step.
const quietPeriod = 500 * time.Millisecond

// Play injects the faults of a plan, one after the other. Before each it waits until the fleet has converged after the
// previous one, for up to Config.ConvergeTimeout. The test cluster stops at the end.
func (c *Cluster) Play(plan []Step) (*Report, error) {
	report := &Report{}
	waitConverged := func(k Kind, when string) {
		took, err := c.waitConverged()
		report.addTime(k, when, took)
		c.history.mu.Lock()
		defer c.history.mu.Unlock()
		c.history.recordEntryLocked(Entry{Who: "rig", What: "settled", Kind: k, When: when, TookMS: took.Milliseconds()})
		if err != nil {
			c.history.recordViolationLocked("%s %s: %v", k, when, err)
		}
	}
	waitConverged("start", "over")
	for _, step := range plan {
		before := c.history.viewChangeCount()
		c.sleep(quietPeriod)
		report.QuietViewChanges += c.history.viewChangeCount() - before
		report.Steps++
		c.history.recordText("rig", "%s of %d for %v", step.Kind, step.First, step.For)
		if err := c.inject(step, func() { waitConverged(step.Kind, "struck") }); err != nil {
			return report, err
		}
		c.history.recordText("rig", "%s is over", step.Kind)
		waitConverged(step.Kind, "over")
	}
	c.stop()
	c.goroutines.Wait()
	c.summarize(report)
	return report, nil
}

// viewChangeCount returns how many changes of views were observed so far.
func (h *history) viewChangeCount() int {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.viewChanges
}

// inject injects a fault and ends it. It calls waitConverged during a fault in which the fleet is expected to converge.
func (c *Cluster) inject(step Step, waitConverged func()) error {
	n := len(c.gatherers)
	member := func(i int) *gatherer { return c.gatherers[(step.First+i)%n] }
	members := func(count int) (list []*gatherer) {
		for i := range count {
			list = append(list, member(i))
		}
		return list
	}
	wait := func(begun time.Time) { c.sleep(max(time.Until(begun.Add(step.For)), 0)) }
	begun := time.Now()
	withLinks := func(link Link, affected func(i, j int) bool) error {
		err := c.network.setLinks(func(i, j int) (Link, bool) { return link, affected(i, j) })
		wait(begun)
		return errors.Join(err, c.network.setLinks(func(int, int) (Link, bool) { return Link{}, true }))
	}
	all := func(int, int) bool { return true }
	position := func(i int) int { return (i - step.First + n) % n }
	switch step.Kind {
	case Kill, KillMost:
		targets := members(1)
		if step.Kind == KillMost {
			targets = members(n * 7 / 10)
		}
		err := c.forEach(targets, (*gatherer).kill)
		waitConverged()
		wait(begun)
		return errors.Join(err, c.forEach(targets, (*gatherer).start))
	case Restart, Flap:
		times, target := n, member
		if step.Kind == Flap {
			times, target = max(int(step.For/time.Second), 2), func(int) *gatherer { return member(0) }
		}
		var errs []error
		for i := range times {
			errs = append(errs, target(i).kill(), target(i).start())
			c.sleep(max(time.Until(begun.Add(step.For/time.Duration(times)*time.Duration(i+1))), 0))
		}
		return errors.Join(errs...)
	case Join:
		seed, others := c.gatherers[0], c.gatherers[min(seedCount, n-1):]
		errs := []error{c.forEach(others, (*gatherer).kill)}
		started := make(chan error, 1)
		go func() { started <- c.forEach(others, (*gatherer).start) }()
		c.sleep(seedKillDelay)
		errs = append(errs, seed.kill(), <-started)
		wait(begun)
		return errors.Join(append(errs, seed.start())...)
	case Stop:
		err := member(0).signal(syscall.SIGSTOP)
		waitConverged()
		wait(begun)
		return errors.Join(err, member(0).signal(syscall.SIGCONT))
	case PartitionHalves:
		return withLinks(Link{Partitioned: true}, func(i, j int) bool { return (position(i) < n/2) != (position(j) < n/2) })
	case PartitionOneWay:
		return withLinks(Link{Partitioned: true}, func(i, j int) bool { return position(i) == 0 && position(j) == 1 })
	case PartitionPair:
		return withLinks(Link{Partitioned: true}, func(i, j int) bool { return position(i)+position(j) == 1 })
	case Loss:
		return withLinks(Link{LossRate: 0.2}, all)
	case Disorder:
		return withLinks(Link{Delay: 2 * time.Millisecond, Jitter: 15 * time.Millisecond, DuplicateRate: 0.1}, all)
	case Throttle:
		return withLinks(Link{BytesPerSecond: 8 << 10}, all)
	}
	return fmt.Errorf("test cluster: unknown fault %q", step.Kind)
}

// summarize audits the parts that the cold searcher received, and fills in the report.
func (c *Cluster) summarize(report *Report) {
	h := c.history
	h.mu.Lock()
	defer h.mu.Unlock()
	c.coldSearcher.mu.Lock()
	parts := c.coldSearcher.parts
	c.coldSearcher.mu.Unlock()
	for i, p := range parts {
		if p.sender.Gatherer < 0 || p.sender.Gatherer >= len(c.gatherers) {
			h.recordViolationLocked("the cold searcher got a part of a query that no client sent")
			continue
		}
		n, lastArrival := 0, p.at
		for _, q := range parts[i:] {
			if q.at.Sub(p.at) >= limitWindow || q.searcherStart != p.searcherStart {
				break
			}
			n, lastArrival = n+1, q.at
		}
		age := float64(lastArrival.Sub(p.searcherStart)) / float64(coldDuration)
		allowed := (startCapacity + (1-startCapacity)*min(age, 1)) * fallMultiple * coldGrantFactor * float64(limitWindow) / float64(partDuration)
		if n > report.MaxColdParts {
			report.MaxColdParts, report.AllowedColdParts = n, allowed
		}
		if float64(n) > 2*allowed { // a window may overlap two turns
			h.recordViolationLocked("the cold searcher got %d parts in %v, want %.0f at most in a turn", n, limitWindow, allowed)
		}
	}
	for _, violation := range c.audit.Violations() {
		h.recordViolationLocked("%s", violation)
	}
	report.ColdParts, report.Queries, report.ViewChanges, report.MaxHeldSlots, report.Violations = len(parts), h.Queries, h.viewChanges, h.maxHeldSlots, h.violations
}
