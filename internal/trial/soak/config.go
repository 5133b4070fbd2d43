package soak

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"runtime"
	"slices"
	"strings"
	"sync"
	"time"

	"eiderwinch/internal/admin"
	"eiderwinch/internal/configuration/bundle"
	"eiderwinch/internal/configuration/change"
	"eiderwinch/internal/configuration/history"
	"eiderwinch/internal/configuration/manager"
	"eiderwinch/internal/daemon"
	"eiderwinch/internal/layout"
	"eiderwinch/internal/layout/layoutfile"
	"eiderwinch/internal/netio"
	"eiderwinch/internal/stats"
	"eiderwinch/internal/trial/fake"
)

// ConfigOptions configures RunConfig.
type ConfigOptions struct {
	WarmUp         time.Duration // load without changes at first, from which the regression guard learns what is typical
	Changes        int           // number of changes under load; every fourth change is bad
	Interval       time.Duration // between the starts of two changes, unless the first takes longer
	Rate           float64       // queries per second
	SequenceLength int           // number of changes in sequence at the end, without load
	Seed           uint64
	Dir            string    // for the configuration history and sockets
	Out            io.Writer // for progress messages
}

// ConfigReport is the result of RunConfig.
type ConfigReport struct {
	Report                                     // of the queries; Inconsistent also counts answers of a generation that was not in force
	Applied, Confirmed, Busy, Late int         // changes applied, confirmed, refused because another was in progress, refused for any other reason, such as being stale
	Bad, BadUndone, BadStayed      int         // bad changes applied, undone, ended in another way
	GoodUndone                     int         // good changes that could not be confirmed
	Generations                    int         // the generation in force at the end
	Recovery                       []float64   // seconds from applying a bad change until the former configuration was in force again
	Reasons                        []string    // why changes were undone
	SequenceUse                    ResourceUse `json:"Row"`
}

// ResourceUse holds the resources that the process uses after three tenths of a sequence of changes (Before) and after all
// of them (After). Growth in between shows what changes leave behind.
type ResourceUse struct {
	Changes                       int
	HeapBefore, HeapAfter         uint64 // bytes
	FilesBefore, FilesAfter       int    // open file descriptors
	RoutinesBefore, RoutinesAfter int
}

// WorstRecovery returns the maximum of Recovery.
func (r ConfigReport) WorstRecovery() float64 { return r.quantile(1) }

// MedianRecovery returns the median of Recovery.
func (r ConfigReport) MedianRecovery() float64 { return r.quantile(0.5) }

// quantile returns a quantile of Recovery, or 0 if it is empty.
func (r ConfigReport) quantile(q float64) float64 {
	s := slices.Sorted(slices.Values(r.Recovery))
	if len(s) == 0 {
		return 0
	}
	return s[int(q*float64(len(s)-1))]
}

// maxRecovery bounds how long a bad change may be in force.
const maxRecovery = 10 * time.Second

// Err returns an error if an invariant was violated.
func (r ConfigReport) Err() error {
	errs := []error{r.Report.Err()}
	if r.BadStayed > 0 || r.Bad != r.BadUndone || r.WorstRecovery() > maxRecovery.Seconds() {
		errs = append(errs, fmt.Errorf("%d bad changes: %d undone, %d not undone; the longest was in force for %.1f s, want at most %v", r.Bad, r.BadUndone, r.BadStayed, r.WorstRecovery(), maxRecovery))
	}
	if r.GoodUndone > 0 {
		errs = append(errs, fmt.Errorf("%d good changes were undone: %v", r.GoodUndone, r.Reasons))
	}
	return errors.Join(errs...)
}

// auditedNode is a gatherer that records its generations for the audit.
type auditedNode struct {
	*netio.Node
	run *configRun
}

// Apply applies a configuration. Before that it records that the generation may be in force, and afterwards that the
// earlier generations are no longer in force.
func (n *auditedNode) Apply(ctx context.Context, l netio.LiveSettings) error {
	r := n.run
	if l.Layout != nil {
		r.audit.addLayout(l.Layout)
	}
	r.mu.Lock()
	r.periods = append(r.periods, activePeriod{generation: l.Core.Generation, from: time.Now()})
	r.mu.Unlock()
	err := n.Node.Apply(ctx, l)
	now := time.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	for i := range r.periods[:len(r.periods)-1] {
		if r.periods[i].to.IsZero() {
			r.periods[i].to = now
		}
	}
	if l.Layout != nil {
		r.latestLayout.Store(l.Layout)
	}
	return err
}

// activePeriod is the time in which a generation may have been in force; to is zero while it is.
type activePeriod struct {
	generation uint64
	from, to   time.Time
}

// configRun is the state of one run of RunConfig.
type configRun struct {
	run
	options           ConfigOptions
	manager           *manager.Manager
	client            *admin.Client
	operatorsFormat   string // format of the operators' file; its verb stands for the elements that change
	hungSearcher      string // a searcher that accepts connections and never answers
	periods           []activePeriod
	report            *ConfigReport
	mu                sync.Mutex     // guards periods
	changeCount       int            // changes proposed so far
	pendingBadChanges sync.WaitGroup // bad changes whose outcome is still awaited
}

// RunConfig changes the configuration of a gatherer under load as the options say, or until ctx ends, and reports what
// the audit found.
func RunConfig(ctx context.Context, o ConfigOptions) (report ConfigReport, err error) {
	r := &configRun{options: o, report: &report}
	r.run = run{
		Options: Options{Rate: o.Rate, Seed: o.Seed, Dir: o.Dir, Out: o.Out},
		rng:     &lockedRand{source: rand.New(rand.NewPCG(o.Seed, 4))}, report: &report.Report,
		assignmentServers: make(map[string]*fake.AssignmentServer),
	}
	r.searchLatencies.Store(newLatencyWindow())
	ctx, stop := context.WithCancel(ctx)
	defer stop()
	end, err := r.launch(ctx)
	if err != nil {
		return report, errors.Join(err, end())
	}
	r.extraCheck = r.checkGeneration
	loadCtx, stopLoad := context.WithCancel(ctx)
	var loadDone sync.WaitGroup
	loadDone.Add(1)
	go func() { defer loadDone.Done(); r.generateLoad(loadCtx) }()
	sleep(ctx, o.WarmUp)
	for ; r.changeCount < o.Changes && ctx.Err() == nil; r.changeCount++ {
		next := time.Now().Add(o.Interval)
		r.submitChange(ctx)
		sleep(ctx, time.Until(next))
	}
	r.pendingBadChanges.Wait() // before the load stops: without load the guard can't detect a regression
	stopLoad()
	loadDone.Wait()
	r.queries.Wait()
	sequenceErr := r.runSequence(ctx)
	s, statusErr := r.status(context.Background())
	report.Confirmed, report.Generations = s.Counts.Confirmed, int(s.InForce)
	err = errors.Join(sequenceErr, statusErr, end())
	c := r.nodes[0].counters
	report.Taken = c.Taken
	report.Ended = c.Whole + c.Partial + c.Refused + c.Failed + c.ClientsDisconnected
	report.Translated = c.Translated
	report.NotSent = int(r.unsentQueries.Load())
	report.DuplicateReservations = len(r.store.DuplicateReservations())
	report.Reserved, report.Repeated = r.store.ReservationCounts()
	r.checkParts()
	report.Linearizable = string(r.audit.checkReservations(initialStock, time.Now()))
	return report, err
}

// launch starts the deployment and the gatherer. end stops what was started, also after an error.
func (r *configRun) launch(ctx context.Context) (end func() error, err error) {
	var closers []func() error
	end = func() error {
		var errs []error
		for _, f := range slices.Backward(closers) {
			errs = append(errs, f())
		}
		return errors.Join(errs...)
	}
	if err := r.deploy(); err != nil {
		return end, err
	}
	closers = append(closers, func() error { return r.run.close() })
	hungListener, err := r.addHungSearcher()
	if err != nil {
		return end, err
	}
	closers = append(closers, hungListener.Close)
	platform, err := r.deployment.Config("g0", "127.0.0.1:0")
	if err != nil {
		return end, err
	}
	r.operatorsFormat = `<eiderwinch xmlns="urn:eiderwinch:operators:1">%s<guard probation="60s"/></eiderwinch>`
	var text bytes.Buffer
	if err := layoutfile.Write(&text, r.deployment.InitialLayout(), r.fleet); err != nil {
		return end, err
	}
	initial, err := bundle.Check(bundle.Bundle{Platform: platform, Operators: fmt.Appendf(nil, r.operatorsFormat, ""), Layout: text.Bytes()}, bundle.Names{})
	if err != nil {
		return end, err
	}
	log := slog.New(slog.DiscardHandler)
	initialLive := daemon.LiveSettings(initial, 1)
	n := &node{counters: stats.New(), ended: make(chan error, 1)}
	n.Node = daemon.New(initial.Config, daemon.Options{Layout: initial.Layout, LiveSettings: &initialLive, Record: true}, n.counters, log)
	r.periods = []activePeriod{{generation: 1, from: time.Now()}}
	if err := r.serve(n); err != nil {
		return end, err
	}
	configHistory, err := history.Open(filepath.Join(r.Dir, "history.db"))
	if err != nil {
		return end, err
	}
	closers = append(closers, configHistory.Close)
	machine := change.New(initial.Hash, change.Limits{})
	baseGeneration, _ := machine.Base()
	if err := configHistory.SetBase(baseGeneration, initial.Bundle); err != nil {
		return end, err
	}
	ctx, stop := context.WithCancel(ctx)
	r.manager = manager.Start(ctx, manager.Options{Node: &auditedNode{n.Node, r}, Initial: initial, Machine: machine, History: configHistory, LiveSettings: daemon.LiveSettings, Logger: log})
	closers = append(closers, func() error { stop(); return r.manager.Wait() })
	gatherer := &admin.Gatherer{Name: "g0", Node: n.Node, RegisterConfigHandlers: r.manager.RegisterHandlers}
	socket, err := admin.Serve("unix:"+filepath.Join(r.Dir, "admin.sock"), gatherer.Handler())
	if err != nil {
		return end, err
	}
	closers = append(closers, socket.Close)
	r.client = admin.NewClient(socket.Endpoint(), 10*time.Second, nil)
	closers = append(closers, func() error { r.client.Close(); return nil })
	return end, nil
}

// addHungSearcher adds a searcher that discovery lists as ready and that accepts connections, but never answers.
func (r *configRun) addHungSearcher() (net.Listener, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				_, _ = io.Copy(io.Discard, c)
				_ = c.Close()
			}()
		}
	}()
	r.hungSearcher = "s-hung"
	r.fleet.Zones[r.hungSearcher] = "verona"
	r.deployment.Discovery.Publish(fake.Member{ID: r.hungSearcher, Addr: l.Addr().String(), Zone: "verona", Kind: "std", Phase: fake.Ready, Size: 1})
	return l, nil
}

// checkGeneration checks that the generation of an answer was in force. It returns a description of a violation, or "".
func (r *configRun) checkGeneration(q *query) string {
	r.mu.Lock()
	defer r.mu.Unlock()
	if q.generation == 0 {
		return "the answer has no generation"
	}
	for _, p := range r.periods {
		if p.generation == q.generation && !p.from.After(q.received) && (p.to.IsZero() || !p.to.Before(q.sent)) {
			return ""
		}
	}
	return fmt.Sprintf("generation %d was not in force at any time between the query and its answer", q.generation)
}

// call sends a request to the gatherer's configuration endpoint.
func (r *configRun) call(ctx context.Context, method, path string, in, out any) error {
	return r.client.Do(ctx, method, "/v1/config"+path, in, out)
}

// status returns the status of the configuration manager.
func (r *configRun) status(ctx context.Context) (s manager.Status, err error) {
	return s, r.call(ctx, http.MethodGet, "", nil, &s)
}

// proposal returns the next change. Every fourth change is bad. The bad changes are, in rotation: a segment whose only
// holder never answers, a time limit of 10 ms for searches, at most one open search, and at most three admitted queries.
func (r *configRun) proposal() (p manager.StageRequest, bad bool) {
	i := r.changeCount
	elements := ""
	switch {
	case i%4 != 3:
		elements = []string{`<log level="warn"/><class name="search" open="%d"/>`, `<pools multiplex="%d"/>`, `<admission open="%d"/>`, `<class name="report" within="%ds" attempts="3"/>`}[i%5%4]
		elements = fmt.Sprintf(elements, map[int]int{0: 500 + i, 1: 8 + i%20, 2: 900 + i%90, 3: 8 + i%4}[i%5%4])
	case i%16 == 3:
		bad = true
		// The holder is listed and accepts connections, so that no check rejects the layout.
		l := r.latestLayout.Load()
		segment := slices.Collect(l.Serving())[r.rng.intn(len(slices.Collect(l.Serving())))]
		var text bytes.Buffer
		next, err := layout.Restore(l.Epoch()+1, l.NextID(), withHolders(l, segment.ID, []string{r.hungSearcher}), nil)
		if err == nil {
			fleet := r.fleet
			fleet.Replicas = 1
			err = layoutfile.Write(&text, next, fleet)
		}
		if err != nil {
			panic(err) // can't happen: derived from a layout that is in force
		}
		p.Bundle.Layout = text.Bytes()
	case i%16 == 7:
		bad, elements = true, `<class name="search" within="10ms"/>`
	case i%16 == 11:
		bad, elements = true, `<class name="search" open="1"/>`
	default:
		bad, elements = true, `<admission open="3"/>`
	}
	p.Operators = fmt.Appendf(nil, r.operatorsFormat, elements)
	p.Note = fmt.Sprint("change ", i)
	return p, bad
}

// withHolders returns the segments of a layout, with the holders of segment id replaced.
func withHolders(l *layout.Layout, id layout.SegmentID, holders []string) (out []layout.Segment) {
	for s := range l.Segments() {
		c := *s
		if c.ID == id {
			c.Holders = holders
		}
		out = append(out, c)
	}
	return out
}

// submitChange stages and applies the next change. A good change is confirmed after at most a second, a bad
// change is left for the guard to undo.
func (r *configRun) submitChange(ctx context.Context) {
	p, bad := r.proposal()
	var s manager.StageResult
	if err := r.call(ctx, http.MethodPost, "", p, &s); err != nil {
		fmt.Fprintln(r.Out, "change was not staged:", err)
		return
	}
	path := fmt.Sprintf("/%d/", s.Tx)
	applied := time.Now()
	if err := r.call(ctx, http.MethodPost, path+"apply", manager.ApplyRequest{}, nil); err != nil {
		if strings.Contains(err.Error(), "under way") {
			r.report.Busy++
		} else {
			r.report.Late++
		}
		_ = r.call(ctx, http.MethodPost, path+"undo", manager.UndoRequest{Reason: "refused"}, nil)
		return
	}
	r.report.Applied++
	if !bad {
		sleep(ctx, min(time.Second, r.options.Interval/2))
		if err := r.call(ctx, http.MethodPost, path+"confirm", nil, nil); err != nil {
			r.report.GoodUndone++
			r.recordReason(ctx, s.Tx)
		}
		return
	}
	r.report.Bad++
	r.pendingBadChanges.Add(1)
	go func() {
		defer r.pendingBadChanges.Done()
		for ctx.Err() == nil {
			time.Sleep(20 * time.Millisecond)
			status, err := r.status(ctx)
			if err != nil {
				continue
			}
			for _, t := range status.Transactions {
				if t.Tx != s.Tx || !t.Over {
					continue
				}
				if t.State == change.Undone.String() {
					r.mu.Lock()
					r.report.BadUndone++
					r.report.Recovery = append(r.report.Recovery, time.Since(applied).Seconds())
					r.report.Reasons = append(r.report.Reasons, t.Reason)
					r.mu.Unlock()
				} else {
					r.report.BadStayed++
				}
				return
			}
		}
	}()
}

// runSequence applies and confirms changes one after the other, and measures the heap, descriptors and goroutines that
// they leave behind.
func (r *configRun) runSequence(ctx context.Context) error {
	if r.options.SequenceLength == 0 {
		return nil
	}
	wait := func(what string, done func() bool) error {
		for end := time.Now().Add(maxRecovery); !done(); time.Sleep(time.Millisecond) {
			if time.Now().After(end) || ctx.Err() != nil {
				return fmt.Errorf("timed out waiting for %s", what)
			}
		}
		return nil
	}
	measure := func() (heap uint64, files, goroutines int) {
		r.run.client.CloseIdleConnections()
		runtime.GC()
		var m runtime.MemStats
		runtime.ReadMemStats(&m)
		list, _ := os.ReadDir("/proc/self/fd") // empty on systems without it
		return m.HeapAlloc, len(list), runtime.NumGoroutine()
	}
	applyOne := func(i int) error {
		var s manager.StageResult
		p := manager.StageRequest{Bundle: bundle.Bundle{Operators: fmt.Appendf(nil, r.operatorsFormat, fmt.Sprintf(`<class name="search" open="%d"/>`, 1000+i))}}
		if err := r.call(ctx, http.MethodPost, "", p, &s); err != nil {
			return err
		}
		path := fmt.Sprintf("/%d/", s.Tx)
		if err := r.call(ctx, http.MethodPost, path+"apply", manager.ApplyRequest{}, nil); err != nil {
			return err
		}
		return wait("a confirmation", func() bool { return r.call(ctx, http.MethodPost, path+"confirm", nil, nil) == nil })
	}
	use := &r.report.SequenceUse
	for i := range r.options.SequenceLength {
		if i == r.options.SequenceLength*3/10 { // bounded histories are full from here on
			use.HeapBefore, use.FilesBefore, use.RoutinesBefore = measure()
		}
		if err := applyOne(i); err != nil {
			return fmt.Errorf("change %d of the sequence: %w", i, err)
		}
		use.Changes++
	}
	use.HeapAfter, use.FilesAfter, use.RoutinesAfter = measure()
	return nil
}

// recordReason records why the transaction of a good change was undone.
func (r *configRun) recordReason(ctx context.Context, tx change.Tx) {
	s, _ := r.status(ctx)
	for _, t := range s.Transactions {
		if t.Tx == tx {
			r.report.Reasons = append(r.report.Reasons, "good: "+t.Reason)
		}
	}
}
