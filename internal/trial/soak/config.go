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
	"eiderwinch/internal/configuration/keeper"
	"eiderwinch/internal/daemon"
	"eiderwinch/internal/layout"
	"eiderwinch/internal/layout/layoutfile"
	"eiderwinch/internal/netio"
	"eiderwinch/internal/stats"
	"eiderwinch/internal/trial/standin"
)

// ConfigOptions is how the configuration of a gatherer is changed under load.
type ConfigOptions struct {
	Warm    time.Duration // load without changes first, so that the guard knows what is usual
	Changes time.Duration
	Every   time.Duration // a change is asked for so often; each fourth is bad
	Rate    float64       // queries a second
	Row     int           // changes one after the other at the end, without load
	Seed    uint64
	Dir     string // for history and sockets
	Out     io.Writer
}

// ConfigReport is what was seen.
type ConfigReport struct {
	Report                             // of the queries; Mixed are those of a generation that was not in force
	Applied, Confirmed, Busy, Late int // changes put in force, confirmed, refused while another was under way, refused as stale
	Bad, BadUndone, BadStayed      int
	GoodUndone                     int
	Generations                    int
	Recovery                       []float64 // seconds from the apply of a bad change until the old one was in force again
	Reasons                        []string  // why bad changes were undone
	Row                            Row
}

// Row is what changes one after the other left behind.
type Row struct {
	Changes                       int
	HeapBefore, HeapAfter         uint64 // bytes
	FilesBefore, FilesAfter       int    // descriptors
	RoutinesBefore, RoutinesAfter int
}

// Worst and Median are of Recovery.
func (r ConfigReport) Worst() float64 { return r.at(1) }

// Median is the middle of Recovery.
func (r ConfigReport) Median() float64 { return r.at(0.5) }

func (r ConfigReport) at(q float64) float64 {
	s := slices.Sorted(slices.Values(r.Recovery))
	if len(s) == 0 {
		return 0
	}
	return s[int(q*float64(len(s)-1))]
}

// mostRecovery is how long a bad change may be in force.
const mostRecovery = 10 * time.Second

// Err is nil if all that must hold held.
func (r ConfigReport) Err() error {
	errs := []error{r.Report.Err()}
	if r.BadStayed > 0 || r.Bad != r.BadUndone || r.Worst() > mostRecovery.Seconds() {
		errs = append(errs, fmt.Errorf("%d bad changes, %d undone, %d confirmed, the worst in force for %.1f s", r.Bad, r.BadUndone, r.BadStayed, r.Worst()))
	}
	if r.GoodUndone > 0 {
		errs = append(errs, fmt.Errorf("%d good changes were undone: %v", r.GoodUndone, r.Reasons))
	}
	return errors.Join(errs...)
}

// watched is a gatherer whose generations the audit is told of.
type watched struct {
	*netio.Node
	run *configRun
}

// Apply tells the audit before and after.
func (w *watched) Apply(ctx context.Context, l netio.Live) error {
	r := w.run
	if l.Layout != nil {
		r.audit.publish(l.Layout)
	}
	r.mu.Lock()
	r.spans = append(r.spans, span{gen: l.Core.Generation, from: time.Now()})
	r.mu.Unlock()
	err := w.Node.Apply(ctx, l)
	now := time.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	for i := range r.spans[:len(r.spans)-1] {
		if r.spans[i].to.IsZero() {
			r.spans[i].to = now
		}
	}
	if l.Layout != nil {
		r.latest.Store(l.Layout)
	}
	return err
}

// span is when a generation may have been in force; to is zero while it is.
type span struct {
	gen      uint64
	from, to time.Time
}

// configRun is one run.
type configRun struct {
	run
	opts    ConfigOptions
	keeper  *keeper.Keeper
	client  *admin.Client
	base    string // the operators' file without what changes
	dead    string // a searcher that takes connections and answers nothing
	spans   []span
	out     *ConfigReport
	mu      sync.Mutex // of spans
	changes int
	bad     sync.WaitGroup // bad changes that are not over
}

// RunConfig runs load and changes to their end, or until ctx ends.
func RunConfig(ctx context.Context, o ConfigOptions) (report ConfigReport, err error) {
	r := &configRun{opts: o, out: &report}
	r.run = run{
		Options: Options{Rate: o.Rate, Seed: o.Seed, Dir: o.Dir, Out: o.Out},
		rng:     &lockedRand{r: rand.New(rand.NewPCG(o.Seed, 4))}, report: &report.Report,
		custodians: make(map[string]*standin.Custodian),
	}
	r.search.Store(newWindow())
	ctx, stop := context.WithCancel(ctx)
	defer stop()
	end, err := r.begin(ctx)
	if err != nil {
		return report, errors.Join(err, end())
	}
	r.judge = r.generation
	loaded, unload := context.WithCancel(ctx)
	var loads sync.WaitGroup
	loads.Add(1)
	go func() { defer loads.Done(); r.load(loaded) }()
	sleep(ctx, o.Warm)
	for begun := time.Now(); time.Since(begun) < o.Changes && ctx.Err() == nil; r.changes++ {
		next := time.Now().Add(o.Every)
		r.change(ctx)
		sleep(ctx, time.Until(next))
	}
	r.bad.Wait() // without load the guard has nothing to go by
	unload()
	loads.Wait()
	r.queries.Wait()
	rowErr := r.row(ctx)
	s, statusErr := r.status(context.Background())
	report.Confirmed, report.Generations = s.Counts.Confirmed, int(s.InForce)
	err = errors.Join(rowErr, statusErr, end())
	c := r.nodes[0].counters
	report.Taken = c.Taken
	report.Ended = c.Whole + c.Partial + c.Refused + c.Failed + c.Gone
	report.Translated = c.Translated
	report.Held = int(r.held.Load())
	report.Doubled = len(r.store.Doubled())
	report.Reserved, report.Repeated = r.store.Ran()
	report.Linearizable = string(r.audit.linearizable(stock, time.Now()))
	return report, err
}

// begin starts all parties; end ends them.
func (r *configRun) begin(ctx context.Context) (end func() error, err error) {
	var ends []func() error
	end = func() error {
		var errs []error
		for _, f := range slices.Backward(ends) {
			errs = append(errs, f())
		}
		return errors.Join(errs...)
	}
	if err := r.deploy(); err != nil {
		return end, err
	}
	ends = append(ends, func() error { return r.run.close() })
	hung, err := r.hang()
	if err != nil {
		return end, err
	}
	ends = append(ends, hung.Close)
	platform, err := r.world.Config("g0", "127.0.0.1:0")
	if err != nil {
		return end, err
	}
	r.base = `<eiderwinch xmlns="urn:eiderwinch:operators:1">%s<guard probation="60s"/></eiderwinch>`
	var text bytes.Buffer
	if err := layoutfile.Write(&text, r.world.First(), r.fleet); err != nil {
		return end, err
	}
	boot, err := bundle.Check(bundle.Bundle{Platform: platform, Operators: fmt.Appendf(nil, r.base, ""), Layout: text.Bytes()}, bundle.Names{})
	if err != nil {
		return end, err
	}
	log := slog.New(slog.DiscardHandler)
	live := daemon.Live(boot, 1)
	n := &node{counters: stats.New(), ended: make(chan error, 1)}
	n.Node = daemon.New(boot.Config, daemon.Options{Layout: boot.Layout, Live: &live, Record: true}, n.counters, log)
	r.spans = []span{{gen: 1, from: time.Now()}}
	if err := r.serve(n); err != nil {
		return end, err
	}
	h, err := history.Open(filepath.Join(r.Dir, "history.db"))
	if err != nil {
		return end, err
	}
	ends = append(ends, h.Close)
	m := change.New(boot.Hash, change.Limits{})
	base, _ := m.Base()
	if err := h.Begin(base, boot.Bundle); err != nil {
		return end, err
	}
	ctx, stop := context.WithCancel(ctx)
	r.keeper = keeper.Start(ctx, keeper.Options{Node: &watched{n.Node, r}, Boot: boot, Machine: m, History: h, Live: daemon.Live, Logger: log})
	ends = append(ends, func() error { stop(); return r.keeper.Wait() })
	g := &admin.Gatherer{Name: "g0", Node: n.Node, Keeper: r.keeper.Handle}
	socket, err := admin.Serve("unix:"+filepath.Join(r.Dir, "admin.sock"), g.Handler())
	if err != nil {
		return end, err
	}
	ends = append(ends, socket.Close)
	r.client = admin.NewClient(socket.Endpoint(), 10*time.Second, nil)
	ends = append(ends, func() error { r.client.Close(); return nil })
	return end, nil
}

// hang lists a searcher that is ready as discovery has it, takes connections, and
// answers nothing.
func (r *configRun) hang() (net.Listener, error) {
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
	r.dead = "s-hung"
	r.fleet.Zones[r.dead] = "verona"
	r.world.Discovery.Tell(standin.Member{ID: r.dead, Addr: l.Addr().String(), Zone: "verona", Kind: "std", Phase: standin.Ready, Size: 1})
	return l, nil
}

// generation tells what is wrong with the generation of an answer.
func (r *configRun) generation(q *query) string {
	r.mu.Lock()
	defer r.mu.Unlock()
	if q.generation == 0 {
		return "it tells no generation"
	}
	for _, s := range r.spans {
		if s.gen == q.generation && !s.from.After(q.done) && (s.to.IsZero() || !s.to.Before(q.sent)) {
			return ""
		}
	}
	return fmt.Sprintf("generation %d was not in force from when it was asked until its answer", q.generation)
}

func (r *configRun) do(ctx context.Context, method, path string, in, out any) error {
	return r.client.Do(ctx, method, "/v1/config"+path, in, out)
}

func (r *configRun) status(ctx context.Context) (s keeper.Status, err error) {
	return s, r.do(ctx, http.MethodGet, "", nil, &s)
}

// good and bad are what changes are made of.
func (r *configRun) proposal() (p keeper.Proposal, bad bool) {
	i := r.changes
	inner := ""
	switch {
	case i%4 != 3:
		inner = []string{`<log level="warn"/><class name="search" open="%d"/>`, `<pools multiplex="%d"/>`, `<admission open="%d"/>`, `<class name="report" within="%ds" attempts="3"/>`}[i%5%4]
		inner = fmt.Sprintf(inner, map[int]int{0: 500 + i, 1: 8 + i%20, 2: 900 + i%90, 3: 8 + i%4}[i%5%4])
	case i%16 == 3:
		bad = true
		// Holders that are listed and take connections: no check sees it.
		l := r.latest.Load()
		segment := slices.Collect(l.Serving())[r.rng.intn(len(slices.Collect(l.Serving())))]
		var text bytes.Buffer
		next, err := layout.Restore(l.Epoch()+1, l.NextID(), withHolders(l, segment.ID, []string{r.dead}), nil)
		if err == nil {
			fleet := r.fleet
			fleet.Replicas = 1
			err = layoutfile.Write(&text, next, fleet)
		}
		if err != nil {
			panic(err) // it is made of one that is in force
		}
		p.Bundle.Layout = text.Bytes()
	case i%16 == 7:
		bad, inner = true, `<class name="search" within="10ms"/>`
	case i%16 == 11:
		bad, inner = true, `<class name="search" open="1"/>`
	default:
		bad, inner = true, `<admission open="3"/>`
	}
	p.Operators = fmt.Appendf(nil, r.base, inner)
	p.Note = fmt.Sprint("change ", i)
	return p, bad
}

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

// change asks for the next change. Good ones are confirmed after a second, bad
// ones are left to the guard.
func (r *configRun) change(ctx context.Context) {
	p, bad := r.proposal()
	var s keeper.Staged
	if err := r.do(ctx, http.MethodPost, "", p, &s); err != nil {
		fmt.Fprintln(r.Out, "not staged:", err)
		return
	}
	path := fmt.Sprintf("/%d/", s.Tx)
	begun := time.Now()
	if err := r.do(ctx, http.MethodPost, path+"apply", keeper.Application{}, nil); err != nil {
		if strings.Contains(err.Error(), "under way") {
			r.out.Busy++
		} else {
			r.out.Late++
		}
		_ = r.do(ctx, http.MethodPost, path+"undo", keeper.Withdrawal{Reason: "refused"}, nil)
		return
	}
	r.out.Applied++
	if !bad {
		sleep(ctx, min(time.Second, r.opts.Every/2))
		if err := r.do(ctx, http.MethodPost, path+"confirm", nil, nil); err != nil {
			r.out.GoodUndone++
			r.reason(ctx, s.Tx)
		}
		return
	}
	r.out.Bad++
	r.bad.Add(1)
	go func() {
		defer r.bad.Done()
		for ctx.Err() == nil {
			time.Sleep(20 * time.Millisecond)
			st, err := r.status(ctx)
			if err != nil {
				continue
			}
			for _, t := range st.Transactions {
				if t.Tx != s.Tx || !t.Over {
					continue
				}
				if t.State == change.Undone.String() {
					r.mu.Lock()
					r.out.BadUndone++
					r.out.Recovery = append(r.out.Recovery, time.Since(begun).Seconds())
					r.out.Reasons = append(r.out.Reasons, t.Reason)
					r.mu.Unlock()
				} else {
					r.out.BadStayed++
				}
				return
			}
		}
	}()
}

// row makes changes one after the other and looks at what they leave behind.
func (r *configRun) row(ctx context.Context) error {
	if r.opts.Row == 0 {
		return nil
	}
	wait := func(what string, done func() bool) error {
		for end := time.Now().Add(mostRecovery); !done(); time.Sleep(time.Millisecond) {
			if time.Now().After(end) || ctx.Err() != nil {
				return fmt.Errorf("%s did not come about", what)
			}
		}
		return nil
	}
	look := func() (heap uint64, files, routines int) {
		r.run.client.CloseIdleConnections()
		runtime.GC()
		var m runtime.MemStats
		runtime.ReadMemStats(&m)
		list, _ := os.ReadDir("/proc/self/fd") // where there is none it stays at 0
		return m.HeapAlloc, len(list), runtime.NumGoroutine()
	}
	one := func(i int) error {
		var s keeper.Staged
		p := keeper.Proposal{Bundle: bundle.Bundle{Operators: fmt.Appendf(nil, r.base, fmt.Sprintf(`<class name="search" open="%d"/>`, 1000+i))}}
		if err := r.do(ctx, http.MethodPost, "", p, &s); err != nil {
			return err
		}
		path := fmt.Sprintf("/%d/", s.Tx)
		if err := r.do(ctx, http.MethodPost, path+"apply", keeper.Application{}, nil); err != nil {
			return err
		}
		return wait("a confirm", func() bool { return r.do(ctx, http.MethodPost, path+"confirm", nil, nil) == nil })
	}
	row := &r.out.Row
	for i := range r.opts.Row {
		if i == r.opts.Row*3/10 { // from here on all that is kept is full
			row.HeapBefore, row.FilesBefore, row.RoutinesBefore = look()
		}
		if err := one(i); err != nil {
			return fmt.Errorf("change %d in a row: %w", i, err)
		}
		row.Changes++
	}
	row.HeapAfter, row.FilesAfter, row.RoutinesAfter = look()
	return nil
}

// reason keeps why a transaction was undone.
func (r *configRun) reason(ctx context.Context, tx change.Tx) {
	s, _ := r.status(ctx)
	for _, t := range s.Transactions {
		if t.Tx == tx {
			r.out.Reasons = append(r.out.Reasons, "good: "+t.Reason)
		}
	}
}
