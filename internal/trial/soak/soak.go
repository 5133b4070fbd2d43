// Package soak runs fake deployments on loopback under load and audits every answer. Run splits, merges and moves
// segments while searchers and the coordinator are killed; RunConfig changes the configuration of a gatherer.
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
	"eiderwinch/internal/trial/fake"
)

// Options configures Run.
type Options struct {
	Rounds         int           // each has a window without changes and a window with changes; at least 1
	QuietDuration  time.Duration // length of a window without changes
	ChangeDuration time.Duration // length of a window with changes
	Interval       time.Duration // interval between changes
	Rate           float64       // queries per second
	Seed           uint64
	Dir            string    // for the coordinator's log and sockets
	Out            io.Writer // for progress messages
}

// Report is the result of a soak run.
type Report struct {
	Asked, Whole, Partial, Refused, Failed int
	Lost                                   int    // queries without an answer
	Inconsistent                           int    `json:"Mixed"` // answers that mix epochs, or are wrong in another way
	NotWhole                               int    // answers marked whole that lack a key
	DuplicateReservations                  int    `json:"Doubled"` // reservations made more than once
	SentAfterAnswer                        int    // parts sent after a searcher had answered them
	Taken, Ended                           int    // queries, by the gatherers' counters
	NotSent                                int    `json:"Held"` // queries not sent because too many were open
	Linearizable                           string // result of the check of the reservations, a porcupine.CheckResult
	Reserved, Repeated                     int    // reservations made at searchers, and repeats that they recognized

	Jobs                            reshard.Counts
	Splits, Merges, Moves           int // completed
	SearcherKills, CoordinatorKills int
	Orders, Missed, LateOrders      int          // orders of the coordinator to searchers: sent, failed, and ignored as outdated
	Slowed                          int          // how often copies of rows were slowed down in favour of queries
	Epochs                          layout.Epoch // epoch of the last layout
	Translated                      int          // queries whose parts a gatherer translated to its current epoch
	QuietP99, ChangeP99, Ratio      []float64    // of searches, in ms, by round
	Faults                          []string     // texts of the first violations of invariants
}

// MedianRatio returns the median over the rounds of the ratio of p99 with changes to p99 without.
func (r Report) MedianRatio() float64 {
	s := slices.Sorted(slices.Values(r.Ratio))
	if len(s) == 0 {
		return 0
	}
	return s[len(s)/2]
}

// Err returns an error if an invariant was violated.
func (r Report) Err() error {
	switch {
	case r.Lost+r.Inconsistent+r.NotWhole+r.DuplicateReservations+r.SentAfterAnswer > 0 || r.Taken != r.Ended || r.Linearizable != string(porcupine.Ok):
		return fmt.Errorf("%d queries lost, %d answers inconsistent, %d marked whole but incomplete, %d reservations made twice, %d parts sent after their answer, %d queries taken and %d ended, reservations linearizable: %s; %v",
			r.Lost, r.Inconsistent, r.NotWhole, r.DuplicateReservations, r.SentAfterAnswer, r.Taken, r.Ended, r.Linearizable, r.Faults)
	case r.Whole == 0:
		return errors.New("no query was answered whole")
	}
	return nil
}

// Parameters of the deployment, the load and the faults.
const (
	gathererCount   = 2
	replicaCount    = 3
	segmentCount    = 6                      // of the first layout
	maxOpen         = 500                    // open queries
	maxMessageDelay = 400 * time.Millisecond // maximum delay of a message between the coordinator and its peers
	delayRate       = 0.2                    // share of the messages that are delayed
	lossRate        = 0.1                    // share of the requests, and of the responses, that are lost
	downTime        = time.Second            // of a killed searcher
	retryPeriod     = 2 * time.Second        // a reservation is retried this long, which lies within its repeat window of 2.5 s
	queryTimeout    = 4 * time.Second
	initialStock    = 1_000_000
)

// run is the state of one soak run.
type run struct {
	Options
	rng               *lockedRand
	deployment        *fake.Deployment
	searcherIDs       []string // grouped by zone
	fleet             layout.Fleet
	store             *fake.ShardedCatalogue
	nodes             []*node
	audit             *audit
	client            *http.Client
	latestLayout      atomic.Pointer[layout.Layout] // the layout that was published last
	clientLayout      atomic.Pointer[layout.Layout] // the layout that clients know, up to two seconds older
	coordinator       atomic.Pointer[coordinator.Coordinator]
	cancelCoordinator context.CancelFunc
	report            *Report
	extraCheck        func(*query) string // additional check that describes a violation by an answer, or returns ""; may be nil
	jobKinds          map[reshard.JobID]layout.ChangeKind
	mu                sync.Mutex // guards jobKinds and the report's counts of changes and kills
	assignmentServers map[string]*fake.AssignmentServer
	searchLatencies   atomic.Pointer[latencyWindow]
	queries           sync.WaitGroup
	openQueries       atomic.Int64
	unsentQueries     atomic.Int64
	traceCount        atomic.Int64
}

// node is a gatherer of the deployment.
type node struct {
	*netio.Node
	counters *stats.Counters
	admin    *admin.Server
	ended    chan error
}

// latencyWindow is a histogram of the latencies of searches, in microseconds.
type latencyWindow struct {
	mu        sync.Mutex
	histogram *hdrhistogram.Histogram
}

func newLatencyWindow() *latencyWindow {
	return &latencyWindow{histogram: hdrhistogram.New(1, 20_000_000, 3)}
}

func (w *latencyWindow) record(d time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	_ = w.histogram.RecordValue(d.Microseconds())
}

// p99 returns the 99th percentile in milliseconds.
func (w *latencyWindow) p99() float64 {
	w.mu.Lock()
	defer w.mu.Unlock()
	return float64(w.histogram.ValueAtQuantile(99)) / 1000
}

// lockedRand is a source of random numbers for several goroutines.
type lockedRand struct {
	mu     sync.Mutex
	source *rand.Rand
}

func (l *lockedRand) float() float64 { l.mu.Lock(); defer l.mu.Unlock(); return l.source.Float64() }
func (l *lockedRand) intn(n int) int { l.mu.Lock(); defer l.mu.Unlock(); return l.source.IntN(n) }
func (l *lockedRand) exp() float64   { l.mu.Lock(); defer l.mu.Unlock(); return l.source.ExpFloat64() }

// Run changes layouts under load as the options say, or until ctx ends, and reports what the audit found.
func Run(ctx context.Context, o Options) (report Report, err error) {
	r := &run{
		Options: o, rng: &lockedRand{source: rand.New(rand.NewPCG(o.Seed, 4))}, report: &report,
		assignmentServers: make(map[string]*fake.AssignmentServer), jobKinds: make(map[reshard.JobID]layout.ChangeKind),
	}
	ctx, stop := context.WithCancel(ctx)
	defer stop()
	if err := r.start(); err != nil {
		return report, errors.Join(err, r.close())
	}
	for round := range max(o.Rounds, 1) {
		quiet, change := newLatencyWindow(), newLatencyWindow()
		r.searchLatencies.Store(quiet)
		r.runWindow(ctx, o.QuietDuration, false)
		r.searchLatencies.Store(change)
		r.runWindow(ctx, o.ChangeDuration, true)
		report.QuietP99, report.ChangeP99 = append(report.QuietP99, quiet.p99()), append(report.ChangeP99, change.p99())
		report.Ratio = append(report.Ratio, change.p99()/quiet.p99())
		fmt.Fprintf(o.Out, "round %d: p99 of searches %.1f ms without changes, %.1f ms with; epoch %d\n",
			round+1, quiet.p99(), change.p99(), r.latestLayout.Load().Epoch())
		if ctx.Err() != nil {
			break
		}
	}
	stop()
	r.queries.Wait()
	report.NotSent = int(r.unsentQueries.Load())
	err = r.close()
	for _, n := range r.nodes {
		c := n.counters
		report.Taken += c.Taken
		report.Ended += c.Whole + c.Partial + c.Refused + c.Failed + c.ClientsDisconnected
		report.Translated += c.Translated
	}
	report.DuplicateReservations = len(r.store.DuplicateReservations())
	report.Reserved, report.Repeated = r.store.ReservationCounts()
	r.checkParts()
	report.Linearizable = string(r.audit.checkReservations(initialStock, time.Now()))
	report.Epochs = r.latestLayout.Load().Epoch()
	return report, err
}

// start starts the deployment, the gatherers and the coordinator.
func (r *run) start() error {
	if err := r.deploy(); err != nil {
		return err
	}
	for i := range gathererCount {
		text, err := r.deployment.Config("g"+strconv.Itoa(i), "127.0.0.1:0")
		if err != nil {
			return err
		}
		cfg, err := config.Parse(text)
		if err != nil {
			return err
		}
		n := &node{counters: stats.New(), ended: make(chan error, 1)}
		n.Node = daemon.New(cfg, daemon.Options{Layout: r.deployment.InitialLayout(), Record: true}, n.counters, slog.New(slog.DiscardHandler))
		if err := r.serve(n); err != nil {
			return err
		}
		file := filepath.Join(r.Dir, cfg.Name)
		g := &admin.Gatherer{Name: cfg.Name, Node: n.Node, LayoutPath: file + ".xml"}
		if n.admin, err = admin.Serve("unix:"+file+".sock", g.Handler()); err != nil {
			return err
		}
	}
	return r.startCoordinator()
}

// serve starts a gatherer and waits until it serves.
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

// deploy starts the searchers, discovery and the audit.
func (r *run) deploy() error {
	deployment, err := fake.NewDeployment(fake.DeploymentOptions{Seed: r.Seed, Handler: func(first *layout.Layout) fake.Handler {
		r.store = fake.NewShardedCatalogue(fake.ShardedCatalogueOptions{Seed: r.Seed, Stock: initialStock}, first)
		return r.store
	}, Layout: func(ids []string, zones []string) *layout.Layout {
		var list []layout.Segment
		for i := range segmentCount {
			s := layout.Segment{ID: layout.SegmentID(i), Keys: layout.Range{From: fake.ItemKey(i * 100), To: fake.ItemKey((i + 1) * 100)}}
			for z := range replicaCount { // ids is grouped by zone
				s.Holders = append(s.Holders, ids[z*len(ids)/replicaCount+i%(len(ids)/replicaCount)])
			}
			list = append(list, s)
		}
		list[0].Keys.From, list[segmentCount-1].Keys.To = "", ""
		first, err := layout.First(list...)
		if err != nil {
			panic(err) // can't happen: the segments above are fixed
		}
		return first
	}})
	if err != nil {
		return err
	}
	r.deployment, r.fleet = deployment, deployment.Fleet(replicaCount)
	r.searcherIDs = slices.Sorted(maps.Keys(r.fleet.Zones))
	first := deployment.InitialLayout()
	r.latestLayout.Store(first)
	r.clientLayout.Store(first)
	r.audit = &audit{epochs: map[layout.Epoch]*layout.Layout{1: first}, keys: r.store.Keys(), report: r.report, start: time.Now()}
	for _, id := range r.searcherIDs {
		server := fake.NewAssignmentServer(id, r.store, filepath.Join(r.Dir, id+".sock"))
		r.assignmentServers[id] = server
		if err := server.Open(); err != nil {
			return err
		}
	}
	r.client = &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 100}}
	return nil
}

// startCoordinator starts the coordinator, for the first time or after a kill.
func (r *run) startCoordinator() error {
	var gatherers, searchers []coordinator.Process
	for i, n := range r.nodes {
		gatherers = append(gatherers, coordinator.Process{Name: "g" + strconv.Itoa(i), Endpoint: n.admin.Endpoint()})
	}
	for _, id := range r.searcherIDs {
		searchers = append(searchers, coordinator.Process{Name: id, Endpoint: r.assignmentServers[id].Endpoint()})
	}
	ctx, stop := context.WithCancel(context.Background())
	c, err := coordinator.Start(ctx, coordinator.Options{
		LogPath: filepath.Join(r.Dir, "changes.db"), InitialLayout: r.deployment.InitialLayout(), Fleet: r.fleet,
		Limits:    reshard.Limits{GathererTimeout: 3 * time.Second},
		Gatherers: gatherers, Searchers: searchers, MeasuredClass: "search", Timeout: time.Second,
		Wrap:      func(t http.RoundTripper) http.RoundTripper { return &lossyTransport{t, r.rng} },
		OnPublish: r.onPublished, OnEnded: r.recordJob, Logger: slog.New(slog.DiscardHandler),
	})
	if err != nil {
		stop()
		return err
	}
	r.cancelCoordinator = stop
	r.coordinator.Store(c)
	return nil
}

// lossyTransport delays and drops messages between the coordinator and its peers.
type lossyTransport struct {
	http.RoundTripper
	rng *lockedRand
}

var errDropped = errors.New("message dropped by the test's transport")

func (t *lossyTransport) RoundTrip(r *http.Request) (*http.Response, error) {
	delay := time.Duration(t.rng.float() * float64(maxMessageDelay))
	if t.rng.float() >= delayRate {
		delay = 0
	}
	if !sleep(r.Context(), delay) {
		return nil, r.Context().Err()
	}
	if t.rng.float() < lossRate { // the request
		return nil, errDropped
	}
	resp, err := t.RoundTripper.RoundTrip(r)
	if err == nil && t.rng.float() < lossRate { // the response
		return nil, errors.Join(errDropped, resp.Body.Close())
	}
	return resp, err
}

// stopCoordinator stops the coordinator at once, in the middle of whatever it does, and adds its counts to the report.
func (r *run) stopCoordinator() error {
	c := r.coordinator.Load()
	if c == nil {
		return nil
	}
	if s, err := c.Status(); err == nil {
		r.report.Slowed += s.Counts.Slowed
		r.report.Orders += s.Custody.Orders
		r.report.Missed += s.Custody.Misses
	}
	r.cancelCoordinator()
	return c.Wait()
}

// recordJob counts a job that has ended.
func (r *run) recordJob(e reshard.Ended) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if e.Phase != reshard.Done {
		r.report.Jobs.Undone++
		return
	}
	r.report.Jobs.Done++
	switch r.jobKinds[e.Job] {
	case layout.Split:
		r.report.Splits++
	case layout.Merge:
		r.report.Merges++
	default:
		r.report.Moves++
	}
}

// onPublished is called with each new layout before any gatherer gets it. Clients get it up to two seconds later.
func (r *run) onPublished(l *layout.Layout) {
	if l.Epoch() < r.latestLayout.Load().Epoch() {
		return
	}
	r.audit.addLayout(l)
	r.latestLayout.Store(l)
	time.AfterFunc(time.Duration(r.rng.float()*2*float64(time.Second)), func() { r.clientLayout.Store(l) })
}

// runWindow runs load for one window and kills one searcher meanwhile. With changes, it also submits changes and kills
// the coordinator.
func (r *run) runWindow(ctx context.Context, length time.Duration, changes bool) {
	ctx, stop := context.WithTimeout(ctx, length)
	defer stop()
	var tasks sync.WaitGroup
	spawn := func(f func(context.Context)) {
		tasks.Add(1)
		go func() { defer tasks.Done(); f(ctx) }()
	}
	spawn(r.generateLoad)
	spawn(func(ctx context.Context) { r.killSearcher(ctx, length/3) })
	if changes {
		spawn(r.submitChanges)
		spawn(func(ctx context.Context) { r.killCoordinator(ctx, length/2) })
	}
	tasks.Wait()
}

// sleep waits for d or until ctx ends, and reports whether it waited for all of d.
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

// killSearcher kills one searcher and restarts it. The searcher keeps its rows.
func (r *run) killSearcher(ctx context.Context, after time.Duration) {
	if !sleep(ctx, after) {
		return
	}
	i := r.rng.intn(len(r.searcherIDs))
	id := r.searcherIDs[i]
	if err := errors.Join(r.assignmentServers[id].Close(), r.deployment.Kill(i)); err != nil {
		fmt.Fprintln(r.Out, "searcher was not killed cleanly:", err)
	}
	r.mu.Lock()
	r.report.SearcherKills++
	r.mu.Unlock()
	time.Sleep(downTime) // not bound to ctx: the searcher is restarted even if the window has ended
	if err := errors.Join(r.deployment.Restart(i), r.assignmentServers[id].Open()); err != nil {
		fmt.Fprintln(r.Out, "searcher did not restart:", err)
	}
}

// killCoordinator stops the coordinator at once and starts another from its log.
func (r *run) killCoordinator(ctx context.Context, after time.Duration) {
	if !sleep(ctx, after) {
		return
	}
	if err := r.stopCoordinator(); err != nil {
		fmt.Fprintln(r.Out, "coordinator ended with an error:", err)
	}
	r.report.CoordinatorKills++
	if err := r.startCoordinator(); err != nil {
		fmt.Fprintln(r.Out, "coordinator did not start:", err)
	}
}

// submitChanges submits changes periodically until ctx ends.
func (r *run) submitChanges(ctx context.Context) {
	for i := 0; ; i++ {
		if c, ok := r.drawChange(layout.ChangeKind(i % 3)); ok {
			id, err := r.coordinator.Load().Submit(c)
			r.mu.Lock()
			r.report.Jobs.Submitted++
			if err != nil {
				r.report.Jobs.Refused++
			} else {
				r.jobKinds[id] = c.Kind
			}
			r.mu.Unlock()
		}
		if !sleep(ctx, r.Interval) {
			return
		}
	}
}

// drawChange returns a random change of the given kind to the latest layout. It reports false if the layout doesn't
// allow one.
func (r *run) drawChange(k layout.ChangeKind) (layout.Change, bool) {
	l := r.latestLayout.Load()
	list := slices.Collect(l.Serving())
	i := r.rng.intn(len(list))
	switch k {
	case layout.Split:
		var keys []layout.Key
		for _, key := range r.store.Keys() {
			if list[i].Keys.Contains(key) {
				keys = append(keys, key)
			}
		}
		if len(keys) < 4 || len(list) > 2*segmentCount {
			return layout.Change{}, false
		}
		return layout.Change{Kind: k, Segments: []layout.SegmentID{list[i].ID}, At: keys[len(keys)/2], Share: 0.5, Holders: [][]string{r.drawHolders(), r.drawHolders()}}, true
	case layout.Merge:
		if len(list) < segmentCount/2 || i == 0 {
			return layout.Change{}, false
		}
		return layout.Change{Kind: k, Segments: []layout.SegmentID{list[i-1].ID, list[i].ID}, Holders: [][]string{r.drawHolders()}}, true
	default:
		return layout.Change{Kind: k, Segments: []layout.SegmentID{list[i].ID}, Holders: [][]string{r.drawHolders()}}, true
	}
}

// drawHolders returns one random searcher of each zone.
func (r *run) drawHolders() (out []string) {
	n := len(r.searcherIDs) / replicaCount
	for z := range replicaCount {
		out = append(out, r.searcherIDs[z*n+r.rng.intn(n)])
	}
	return out
}

// generateLoad sends queries at random times, whether or not earlier ones have been answered (an open loop).
func (r *run) generateLoad(ctx context.Context) {
	for i := 0; sleep(ctx, time.Duration(r.rng.exp()/r.Options.Rate*float64(time.Second))); i++ {
		if r.openQueries.Load() >= maxOpen {
			r.unsentQueries.Add(1)
			continue
		}
		r.openQueries.Add(1)
		r.queries.Add(1)
		go func() {
			defer r.queries.Done()
			defer r.openQueries.Add(-1)
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

// nextTrace returns a unique trace id for a query.
func (r *run) nextTrace() string { return "q" + strconv.FormatInt(r.traceCount.Add(1), 10) }

// scan queries the keys of up to maxSegments neighbouring segments of the layout that clients know.
func (r *run) scan(class string, maxSegments int) {
	l := r.clientLayout.Load()
	list := slices.Collect(l.Serving())
	i := r.rng.intn(len(list))
	list = list[i:min(i+maxSegments, len(list))]
	q := &query{class: class, trace: r.nextTrace(), knownEpoch: l.Epoch(), keyRange: layout.Range{From: list[0].Keys.From, To: list[len(list)-1].Keys.To}}
	for _, s := range list {
		q.segments = append(q.segments, s.ID)
	}
	from, to := q.keyRange.From, q.keyRange.To
	if from == "" {
		from = "a"
	}
	if to == "" {
		to = "z"
	}
	r.send(q, fmt.Sprintf("scan %s %s", from, to))
	if class == "search" && q.status == http.StatusOK {
		r.searchLatencies.Load().record(q.received.Sub(q.sent))
	}
	r.check(q)
}

// reserve reserves one from the stock of a random row. It retries with the same idempotency key until an answer
// confirms the reservation or retryPeriod has passed. A later retry could reserve twice.
func (r *run) reserve() {
	keys := r.store.Keys()
	key := keys[r.rng.intn(len(keys))]
	id := "r" + r.nextTrace()
	started := time.Now()
	for {
		l := r.clientLayout.Load()
		q := &query{class: "reserve", trace: r.nextTrace(), knownEpoch: l.Epoch(), idempotencyKey: id, segments: []layout.SegmentID{l.Find(key).ID}}
		r.send(q, "reserve "+string(key))
		r.check(q)
		if remaining := q.remaining(); remaining >= 0 || time.Since(started) >= retryPeriod {
			r.audit.recordReservation(0, key, started, time.Now(), remaining)
			return
		}
		time.Sleep(100 * time.Millisecond)
	}
}

// check audits an answer.
func (r *run) check(q *query) {
	violation := ""
	if r.extraCheck != nil && q.err == nil {
		violation = r.extraCheck(q)
	}
	r.audit.check(q, violation)
}

// send sends one query and stores its answer in it.
func (r *run) send(q *query, statement string) {
	var segments []int
	for _, s := range q.segments {
		segments = append(segments, int(s))
	}
	node := r.nodes[r.rng.intn(len(r.nodes))]
	answer, err := ask.Do(context.Background(), r.client, node.Addr(), ask.Query{
		Class: q.class, Trace: q.trace, IdempotencyKey: q.idempotencyKey, Expires: queryTimeout, Epoch: uint64(q.knownEpoch), Segments: segments, Statement: statement,
	})
	q.sent, q.received, q.status, q.err = answer.Sent, answer.Done, answer.Status, err
	q.whole, q.pieces, q.generation = answer.Whole, answer.Pieces, answer.Generation
	if answer.Status == http.StatusOK {
		q.epoch = layout.Epoch(answer.Epoch)
	}
}

// close stops the whole deployment.
func (r *run) close() error {
	errs := []error{r.stopCoordinator()}
	for _, server := range r.assignmentServers {
		errs = append(errs, server.Close())
		r.report.LateOrders += server.StaleOrders()
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
	if r.deployment != nil {
		errs = append(errs, r.deployment.Close())
	}
	return errors.Join(errs...)
}
