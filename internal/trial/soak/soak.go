// Package soak runs a deployment on loopback whose segments are split, merged
// and moved while queries run and searchers and the coordinator are killed, and
// audits every answer.
package soak

import (
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"maps"
	"math/rand/v2"
	"net/http"
	"path/filepath"
	"slices"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/anishathalye/porcupine"

	"eiderwinch/internal/admin"
	"eiderwinch/internal/daemon"
	"eiderwinch/internal/format/config"
	"eiderwinch/internal/layout"
	"eiderwinch/internal/layout/coordinator"
	"eiderwinch/internal/layout/reshard"
	"eiderwinch/internal/netio"
	"eiderwinch/internal/stats"
	"eiderwinch/internal/trial/ask"
	"eiderwinch/internal/trial/standin"
)

// Options is what is run.
type Options struct {
	Rounds  int           // each a quiet window and one with changes; at least 1
	Quiet   time.Duration // length of a quiet window
	Changes time.Duration // length of one with changes
	Every   time.Duration // a change is asked for so often
	Rate    float64       // queries a second
	Seed    uint64
	Dir     string    // for the coordinator's log
	Out     io.Writer // progress
}

// Report is what was seen.
type Report struct {
	Asked, Whole, Partial, Refused, Failed int
	Lost                                   int // queries without any answer
	Mixed                                  int // answers not of one epoch
	NotWhole                               int // marked whole, but not
	Doubled                                int // reservations made more than once
	Taken, Ended                           int // by the gatherers' counters
	Held                                   int // queries not asked since too many were open
	Linearizable                           string
	Reserved, Repeated                     int // reservations run at searchers, and known there already

	Jobs                            reshard.Counts
	Splits, Merges, Moves           int // done
	SearcherKills, CoordinatorKills int
	Orders, Missed, LateOrders      int // of the coordinator to searchers: given, failed, and passed over as older
	Slowed                          int // times copies were slowed down for queries
	Epochs                          layout.Epoch
	Translated                      int
	QuietP99, ChangeP99, Ratio      []float64 // of searches, in ms, by round
	Faults                          []string
}

// MedianRatio is the median over the rounds of p99 with changes over p99 without.
func (r Report) MedianRatio() float64 {
	s := slices.Sorted(slices.Values(r.Ratio))
	if len(s) == 0 {
		return 0
	}
	return s[len(s)/2]
}

// Err is nil if all that must hold held.
func (r Report) Err() error {
	switch {
	case r.Lost+r.Mixed+r.NotWhole+r.Doubled > 0 || r.Taken != r.Ended || r.Linearizable != string(porcupine.Ok):
		return fmt.Errorf("%d lost, %d mixed, %d not whole, %d doubled, %d taken and %d ended, reservations: %s; %v",
			r.Lost, r.Mixed, r.NotWhole, r.Doubled, r.Taken, r.Ended, r.Linearizable, r.Faults)
	case r.Whole == 0:
		return errors.New("nothing was answered")
	}
	return nil
}

const (
	gatherers = 2
	replicas  = 3
	segments  = 6                      // at the start
	mostOpen  = 500                    // queries of ours at once
	learnMost = 400 * time.Millisecond // what the coordinator and its peers say is so late at the most
	delayed   = 0.2                    // share of that which is late
	missed    = 0.1                    // share of questions, and of answers, which get lost
	downFor   = time.Second            // a killed searcher
	tryFor    = 2 * time.Second        // a reservation is tried again within its window of 2.5 s
	queryTime = 4 * time.Second
	stock     = 1_000_000
)

// run is one soak.
type run struct {
	Options
	rng        *lockedRand
	world      *standin.Deployment
	ids        []string // of searchers, those of one zone in a row
	fleet      layout.Fleet
	store      *standin.Warehouse
	nodes      []*node
	audit      *audit
	client     *http.Client
	latest     atomic.Pointer[layout.Layout] // as it was published last
	known      atomic.Pointer[layout.Layout] // as clients know it, seconds late
	co         atomic.Pointer[coordinator.Coordinator]
	stopCo     context.CancelFunc
	report     *Report
	judge      func(*query) string // what is wrong with an answer beside what the audit sees; may be nil
	kinds      map[reshard.JobID]layout.ChangeKind
	mu         sync.Mutex // of report's counts of changes and kills, and kinds
	custodians map[string]*standin.Custodian
	search     atomic.Pointer[window]
	queries    sync.WaitGroup
	open       atomic.Int64
	held       atomic.Int64
	traces     atomic.Int64
}

type node struct {
	*netio.Node
	counters *stats.Counters
	admin    *admin.Server
	ended    chan error
}

// window is a histogram of search times in microseconds.
type window struct {
	mu sync.Mutex
	h  *hdrhistogram.Histogram
}

func newWindow() *window { return &window{h: hdrhistogram.New(1, 20_000_000, 3)} }

func (w *window) record(d time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	_ = w.h.RecordValue(d.Microseconds())
}

func (w *window) p99() float64 {
	w.mu.Lock()
	defer w.mu.Unlock()
	return float64(w.h.ValueAtQuantile(99)) / 1000
}

// lockedRand is a source for many goroutines.
type lockedRand struct {
	mu sync.Mutex
	r  *rand.Rand
}

func (l *lockedRand) float() float64 { l.mu.Lock(); defer l.mu.Unlock(); return l.r.Float64() }
func (l *lockedRand) intn(n int) int { l.mu.Lock(); defer l.mu.Unlock(); return l.r.IntN(n) }
func (l *lockedRand) exp() float64   { l.mu.Lock(); defer l.mu.Unlock(); return l.r.ExpFloat64() }

// Run runs a soak to its end, or until ctx ends.
func Run(ctx context.Context, o Options) (report Report, err error) {
	r := &run{
		Options: o, rng: &lockedRand{r: rand.New(rand.NewPCG(o.Seed, 4))}, report: &report,
		custodians: make(map[string]*standin.Custodian), kinds: make(map[reshard.JobID]layout.ChangeKind),
	}
	ctx, stop := context.WithCancel(ctx)
	defer stop()
	if err := r.start(); err != nil {
		return report, errors.Join(err, r.close())
	}
	for round := range max(o.Rounds, 1) {
		quiet, change := newWindow(), newWindow()
		r.search.Store(quiet)
		r.pass(ctx, o.Quiet, false)
		r.search.Store(change)
		r.pass(ctx, o.Changes, true)
		report.QuietP99, report.ChangeP99 = append(report.QuietP99, quiet.p99()), append(report.ChangeP99, change.p99())
		report.Ratio = append(report.Ratio, change.p99()/quiet.p99())
		fmt.Fprintf(o.Out, "round %d: p99 of searches %.1f ms without changes, %.1f ms with; epoch %d\n",
			round+1, quiet.p99(), change.p99(), r.latest.Load().Epoch())
		if ctx.Err() != nil {
			break
		}
	}
	stop()
	r.queries.Wait()
	report.Held = int(r.held.Load())
	err = r.close()
	for _, n := range r.nodes {
		c := n.counters
		report.Taken += c.Taken
		report.Ended += c.Whole + c.Partial + c.Refused + c.Failed + c.Gone
		report.Translated += c.Translated
	}
	report.Doubled = len(r.store.Doubled())
	report.Reserved, report.Repeated = r.store.Ran()
	report.Linearizable = string(r.audit.linearizable(stock, time.Now()))
	report.Epochs = r.latest.Load().Epoch()
	return report, err
}

func (r *run) start() error {
	if err := r.deploy(); err != nil {
		return err
	}
	for i := range gatherers {
		text, err := r.world.Config("g"+strconv.Itoa(i), "127.0.0.1:0")
		if err != nil {
			return err
		}
		cfg, err := config.Parse(text)
		if err != nil {
			return err
		}
		n := &node{counters: stats.New(), ended: make(chan error, 1)}
		n.Node = daemon.New(cfg, daemon.Options{Layout: r.world.First(), Record: true}, n.counters, slog.New(slog.DiscardHandler))
		if err := r.serve(n); err != nil {
			return err
		}
		file := filepath.Join(r.Dir, cfg.Name)
		g := &admin.Gatherer{Name: cfg.Name, Node: n.Node, Layout: file + ".xml"}
		if n.admin, err = admin.Serve("unix:"+file+".sock", g.Handler()); err != nil {
			return err
		}
	}
	return r.coordinate()
}

// serve starts a gatherer.
func (r *run) serve(n *node) error {
	go func() { n.ended <- n.Node.Run() }()
	select {
	case <-n.Started():
	case err := <-n.ended:
		return err
	}
	r.nodes = append(r.nodes, n)
	return nil
}

// deploy starts searchers, discovery and the audit.
func (r *run) deploy() error {
	world, err := standin.NewDeployment(standin.DeploymentOptions{Seed: r.Seed, Work: func(first *layout.Layout) standin.Work {
		r.store = standin.NewWarehouse(standin.WarehouseOptions{Seed: r.Seed, Stock: stock}, first)
		return r.store
	}, Layout: func(ids []string, zones []string) *layout.Layout {
		var list []layout.Segment
		for i := range segments {
			s := layout.Segment{ID: layout.SegmentID(i), Keys: layout.Range{From: standin.ItemKey(i * 100), To: standin.ItemKey((i + 1) * 100)}}
			for z := range replicas { // the searchers of one zone stand in a row
				s.Holders = append(s.Holders, ids[z*len(ids)/replicas+i%(len(ids)/replicas)])
			}
			list = append(list, s)
		}
		list[0].Keys.From, list[segments-1].Keys.To = "", ""
		first, err := layout.First(list...)
		if err != nil {
			panic(err) // it is written down above
		}
		return first
	}})
	if err != nil {
		return err
	}
	r.world, r.fleet = world, world.Fleet(replicas)
	r.ids = slices.Sorted(maps.Keys(r.fleet.Zones))
	first := world.First()
	r.latest.Store(first)
	r.known.Store(first)
	r.audit = &audit{epochs: map[layout.Epoch]*layout.Layout{1: first}, keys: r.store.Keys(), report: r.report, start: time.Now()}
	for _, id := range r.ids {
		c := standin.NewCustodian(id, r.store, filepath.Join(r.Dir, id+".sock"))
		r.custodians[id] = c
		if err := c.Open(); err != nil {
			return err
		}
	}
	r.client = &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 100}}
	return nil
}

// coordinate starts the coordinator, the first time or after a kill.
func (r *run) coordinate() error {
	var gatherers, searchers []coordinator.Peer
	for i, n := range r.nodes {
		gatherers = append(gatherers, coordinator.Peer{Name: "g" + strconv.Itoa(i), Endpoint: n.admin.Endpoint()})
	}
	for _, id := range r.ids {
		searchers = append(searchers, coordinator.Peer{Name: id, Endpoint: r.custodians[id].Endpoint()})
	}
	ctx, stop := context.WithCancel(context.Background())
	c, err := coordinator.Start(ctx, coordinator.Options{
		Log: filepath.Join(r.Dir, "changes.db"), First: r.world.First(), Fleet: r.fleet,
		Limits:    reshard.Limits{Gatherer: 3 * time.Second},
		Gatherers: gatherers, Searchers: searchers, Measure: "search", Timeout: time.Second,
		Wrap:      func(t http.RoundTripper) http.RoundTripper { return &flaky{t, r.rng} },
		Published: r.publish, Ended: r.ended, Logger: slog.New(slog.DiscardHandler),
	})
	if err != nil {
		stop()
		return err
	}
	r.stopCo = stop
	r.co.Store(c)
	return nil
}

// flaky loses and delays what the coordinator and its peers say to each other.
type flaky struct {
	http.RoundTripper
	rng *lockedRand
}

var errLost = errors.New("lost on its way")

func (f *flaky) RoundTrip(r *http.Request) (*http.Response, error) {
	delay := time.Duration(f.rng.float() * float64(learnMost))
	if f.rng.float() >= delayed {
		delay = 0
	}
	if !sleep(r.Context(), delay) {
		return nil, r.Context().Err()
	}
	if f.rng.float() < missed { // the question
		return nil, errLost
	}
	resp, err := f.RoundTripper.RoundTrip(r)
	if err == nil && f.rng.float() < missed { // the answer
		return nil, errors.Join(errLost, resp.Body.Close())
	}
	return resp, err
}

// endCoordinator ends it where it stands.
func (r *run) endCoordinator() error {
	c := r.co.Load()
	if c == nil {
		return nil
	}
	if s, err := c.Status(); err == nil {
		r.report.Slowed += s.Counts.Slowed
		r.report.Orders += s.Custody.Orders
		r.report.Missed += s.Custody.Misses
	}
	r.stopCo()
	return c.Wait()
}

func (r *run) ended(e reshard.Ended) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if e.Phase != reshard.Done {
		r.report.Jobs.Undone++
		return
	}
	r.report.Jobs.Done++
	switch r.kinds[e.Job] {
	case layout.Split:
		r.report.Splits++
	case layout.Merge:
		r.report.Merges++
	default:
		r.report.Moves++
	}
}

// publish is told of each epoch before any gatherer is.
func (r *run) publish(l *layout.Layout) {
	if l.Epoch() < r.latest.Load().Epoch() {
		return
	}
	r.audit.publish(l)
	r.latest.Store(l)
	time.AfterFunc(time.Duration(r.rng.float()*2*float64(time.Second)), func() { r.known.Store(l) })
}

// pass lets a window go by: queries run, one searcher is killed, and with
// changes these are asked for and the coordinator is killed as well.
func (r *run) pass(ctx context.Context, length time.Duration, changes bool) {
	ctx, stop := context.WithTimeout(ctx, length)
	defer stop()
	var all sync.WaitGroup
	do := func(f func(context.Context)) {
		all.Add(1)
		go func() { defer all.Done(); f(ctx) }()
	}
	do(r.load)
	do(func(ctx context.Context) { r.killSearcher(ctx, length/3) })
	if changes {
		do(r.change)
		do(func(ctx context.Context) { r.killCoordinator(ctx, length/2) })
	}
	all.Wait()
}

func sleep(ctx context.Context, d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-t.C:
		return true
	}
}

// killSearcher kills one, which comes back with its shelves.
func (r *run) killSearcher(ctx context.Context, after time.Duration) {
	if !sleep(ctx, after) {
		return
	}
	i := r.rng.intn(len(r.ids))
	id := r.ids[i]
	if err := errors.Join(r.custodians[id].Close(), r.world.Kill(i)); err != nil {
		fmt.Fprintln(r.Out, "a searcher was not killed cleanly:", err)
	}
	r.mu.Lock()
	r.report.SearcherKills++
	r.mu.Unlock()
	time.Sleep(downFor) // it comes back though the window is over
	if err := errors.Join(r.world.Restart(i), r.custodians[id].Open()); err != nil {
		fmt.Fprintln(r.Out, "a searcher did not come back:", err)
	}
}

// killCoordinator ends the coordinator where it stands and starts another from its log.
func (r *run) killCoordinator(ctx context.Context, after time.Duration) {
	if !sleep(ctx, after) {
		return
	}
	if err := r.endCoordinator(); err != nil {
		fmt.Fprintln(r.Out, "the coordinator had ended:", err)
	}
	r.report.CoordinatorKills++
	if err := r.coordinate(); err != nil {
		fmt.Fprintln(r.Out, "the coordinator did not come up:", err)
	}
}

// change asks for one change after the other.
func (r *run) change(ctx context.Context) {
	for i := 0; ; i++ {
		if c, ok := r.choose(layout.ChangeKind(i % 3)); ok {
			id, err := r.co.Load().Submit(c)
			r.mu.Lock()
			r.report.Jobs.Submitted++
			if err != nil {
				r.report.Jobs.Refused++
			} else {
				r.kinds[id] = c.Kind
			}
			r.mu.Unlock()
		}
		if !sleep(ctx, r.Every) {
			return
		}
	}
}

// choose makes up a change of the layout as it is.
func (r *run) choose(k layout.ChangeKind) (layout.Change, bool) {
	l := r.latest.Load()
	list := slices.Collect(l.Serving())
	i := r.rng.intn(len(list))
	switch k {
	case layout.Split:
		var keys []layout.Key
		for _, key := range r.store.Keys() {
			if list[i].Keys.Holds(key) {
				keys = append(keys, key)
			}
		}
		if len(keys) < 4 || len(list) > 2*segments {
			return layout.Change{}, false
		}
		return layout.Change{Kind: k, Segments: []layout.SegmentID{list[i].ID}, At: keys[len(keys)/2], Share: 0.5, Holders: [][]string{r.holders(), r.holders()}}, true
	case layout.Merge:
		if len(list) < segments/2 || i == 0 {
			return layout.Change{}, false
		}
		return layout.Change{Kind: k, Segments: []layout.SegmentID{list[i-1].ID, list[i].ID}, Holders: [][]string{r.holders()}}, true
	default:
		return layout.Change{Kind: k, Segments: []layout.SegmentID{list[i].ID}, Holders: [][]string{r.holders()}}, true
	}
}

// holders are one searcher of each zone.
func (r *run) holders() (out []string) {
	n := len(r.ids) / replicas
	for z := range replicas {
		out = append(out, r.ids[z*n+r.rng.intn(n)])
	}
	return out
}

// load asks queries at random times, whether answers come or not.
func (r *run) load(ctx context.Context) {
	for i := 0; sleep(ctx, time.Duration(r.rng.exp()/r.Options.Rate*float64(time.Second))); i++ {
		if r.open.Load() >= mostOpen {
			r.held.Add(1)
			continue
		}
		r.open.Add(1)
		r.queries.Add(1)
		go func() {
			defer r.queries.Done()
			defer r.open.Add(-1)
			switch x := r.rng.float(); {
			case x < 0.6:
				r.scan("search", 3)
			case x < 0.7:
				r.scan("report", 4)
			default:
				r.reserve()
			}
		}()
	}
}

func (r *run) trace() string { return "q" + strconv.FormatInt(r.traces.Add(1), 10) }

// scan asks for the keys of some neighbours, as the client knows them.
func (r *run) scan(class string, most int) {
	l := r.known.Load()
	list := slices.Collect(l.Serving())
	i := r.rng.intn(len(list))
	list = list[i:min(i+most, len(list))]
	q := &query{class: class, trace: r.trace(), known: l.Epoch(), keys: layout.Range{From: list[0].Keys.From, To: list[len(list)-1].Keys.To}}
	for _, s := range list {
		q.segments = append(q.segments, s.ID)
	}
	from, to := q.keys.From, q.keys.To
	if from == "" {
		from = "a"
	}
	if to == "" {
		to = "z"
	}
	r.post(q, fmt.Sprintf("scan %s %s", from, to))
	if class == "search" && q.status == http.StatusOK {
		r.search.Load().record(q.done.Sub(q.sent))
	}
	r.look(q)
}

// reserve takes one of a row, with the same key again where it is not told that
// it has, as long as that is harmless.
func (r *run) reserve() {
	keys := r.store.Keys()
	item := keys[r.rng.intn(len(keys))]
	id := "r" + r.trace()
	began := time.Now()
	for {
		l := r.known.Load()
		q := &query{class: "reserve", trace: r.trace(), known: l.Epoch(), id: id, segments: []layout.SegmentID{l.Find(item).ID}}
		r.post(q, "reserve "+string(item))
		r.look(q)
		if left := q.left(); left >= 0 || time.Since(began) >= tryFor {
			r.audit.reserved(0, item, began, time.Now(), left)
			return
		}
		time.Sleep(100 * time.Millisecond)
	}
}

// look judges an answer.
func (r *run) look(q *query) {
	what := ""
	if r.judge != nil && q.err == nil {
		what = r.judge(q)
	}
	r.audit.judge(q, what)
}

// post asks one query and reads its answer.
func (r *run) post(q *query, statement string) {
	var segments []int
	for _, s := range q.segments {
		segments = append(segments, int(s))
	}
	node := r.nodes[r.rng.intn(len(r.nodes))]
	a, err := ask.Do(context.Background(), r.client, node.Addr(), ask.Query{
		Class: q.class, Trace: q.trace, Key: q.id, Expires: queryTime, Epoch: uint64(q.known), Segments: segments, Statement: statement,
	})
	q.sent, q.done, q.status, q.err = a.Sent, a.Done, a.Status, err
	q.full, q.pieces, q.generation = a.Full, a.Pieces, a.Generation
	if a.Status == http.StatusOK {
		q.epoch = layout.Epoch(a.Epoch)
	}
}

// close ends all parties.
func (r *run) close() error {
	errs := []error{r.endCoordinator()}
	for _, c := range r.custodians {
		errs = append(errs, c.Close())
		r.report.LateOrders += c.Late()
	}
	if r.client != nil {
		r.client.CloseIdleConnections()
	}
	for _, n := range r.nodes {
		if n.admin != nil {
			errs = append(errs, n.admin.Close())
		}
		n.Drain()
		errs = append(errs, <-n.ended)
	}
	if r.world != nil {
		errs = append(errs, r.world.Close())
	}
	return errors.Join(errs...)
}
