package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"text/tabwriter"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"eiderwinch/internal/trial/ask"
	"eiderwinch/internal/trial/fake"
)

// demoCommand starts a fake deployment and a gatherer on loopback and sends queries to it.
type demoCommand struct {
	Queries int    `default:"60" help:"Number of queries, 1 to 10000."`
	Clients int    `default:"6" help:"Number of concurrent clients, 1 to 200."`
	Seed    uint64 `default:"1" help:"Seed of the catalogue and the queries; the same seed gives the same queries."`
	Layout  string `default:"sets" enum:"sets,ring" help:"How segments are laid out: ${enum}. sets: groups of searchers hold the same segments; ring: each segment is also held by the next searcher."`
	Answers string `default:"whole" enum:"whole,partial" help:"Which classes there are: ${enum}. whole: searches, reservations and reports in two steps; partial: batches, and wide reports that may be answered from half of their parts, with tenants, keys and second copies."`
	Verbose bool   `short:"v" help:"Show the gatherer's own log on standard error."`
}

// Validate checks the flags; the parser calls it.
func (d demoCommand) Validate() error {
	if d.Queries < 1 || d.Queries > 10_000 {
		return fmt.Errorf("--queries is %d, want 1 to 10000", d.Queries)
	}
	if d.Clients < 1 || d.Clients > 200 {
		return fmt.Errorf("--clients is %d, want 1 to 200", d.Clients)
	}
	return nil
}

// startTimeout bounds the time that the gatherer takes to start serving.
const startTimeout = 5 * time.Second

// Run runs the demo until all queries have been answered or a signal arrives, then drains the gatherer.
func (d demoCommand) Run(e environment) (err error) {
	ctx, stop := e.untilSignal()
	defer stop()
	log := slog.New(slog.DiscardHandler)
	if d.Verbose {
		log = slog.New(slog.NewTextHandler(e.stderr, nil))
	}
	l, err := startLoopback(fake.DeploymentOptions{Seed: d.Seed, Ring: d.Layout == "ring", Partial: d.partial()}, log)
	if err != nil {
		return err
	}
	deployment, node := l.deployment, l.node
	defer func() { err = errors.Join(err, deployment.Close()) }()
	fmt.Fprintf(e.stdout, "A gatherer on %s, discovery on %s, %d searchers in 3 zones that hold %d segments.\n\n",
		node.Addr(), deployment.Discovery.Addr(), len(deployment.Searchers), deployment.Segments())
	client := newDemoClient(d, node.Addr(), deployment.Segments(), e.stdout)
	client.run(ctx)
	if err := l.drain(); err != nil {
		return err
	}
	return client.report(ctx, deployment)
}

// demoQuery is one query of the demo and its result.
type demoQuery struct {
	class, trace, key, statement string
	segments                     []int
	user, tenant                 string

	status int
	whole  bool
	values []string
	took   time.Duration
	err    error
}

// demoClient sends the queries and records their results.
type demoClient struct {
	demoCommand
	addr    string
	client  *http.Client
	out     io.Writer
	queries []*demoQuery

	mu   sync.Mutex // guards out and done
	done []*demoQuery
}

func (d demoCommand) partial() bool { return d.Answers == "partial" }

// classes returns the classes of the queries, and a list to draw classes from, in which each occurs by its weight.
func (d demoCommand) classes() (names, weighted []string) {
	if d.partial() {
		return []string{"report", "lookup"}, []string{"report", "report", "lookup", "lookup", "lookup", "lookup", "lookup"}
	}
	return []string{"report", "search", "reserve"}, []string{"report", "search", "search", "search", "search", "reserve", "reserve"}
}

func newDemoClient(d demoCommand, addr string, segments int, out io.Writer) *demoClient {
	c := &demoClient{demoCommand: d, addr: addr, out: out, client: &http.Client{
		Transport: &http.Transport{MaxIdleConnsPerHost: d.Clients, MaxConnsPerHost: d.Clients},
	}}
	rng := rand.New(rand.NewPCG(d.Seed, 2))
	classes, mix := d.classes()
	for i := range d.Queries {
		// The first queries take each class once, so that a short demo shows all of them. The others follow the weighted
		// mix that clients send.
		class := classes[i%len(classes)]
		if i >= len(classes) {
			class = mix[rng.IntN(len(mix))]
		}
		q := &demoQuery{class: class, trace: fmt.Sprintf("demo-%d-%d", d.Seed, i)}
		parts := map[string]int{"report": 4, "search": 3 + rng.IntN(2), "reserve": 1, "lookup": 4}[class]
		if d.partial() {
			if class == "report" {
				parts = segments * 2 / 5
			}
			q.user, q.tenant = fmt.Sprintf("%016x", rng.Uint64()), fake.Tenants[rng.IntN(len(fake.Tenants))]
		}
		first := rng.IntN(segments)
		for j := range min(parts, segments) {
			q.segments = append(q.segments, (first+j)%segments)
		}
		switch class {
		case "report":
			q.statement = "total"
		case "search", "lookup":
			q.statement = "find fullest"
		default:
			q.statement, q.key = "reserve one", fmt.Sprintf("key-%d-%d", d.Seed, i)
		}
		c.queries = append(c.queries, q)
	}
	return c
}

// run sends all queries, c.Clients at a time, until ctx ends.
func (c *demoClient) run(ctx context.Context) {
	next := make(chan *demoQuery)
	var all sync.WaitGroup
	for range c.Clients {
		all.Add(1)
		go func() {
			defer all.Done()
			for q := range next {
				c.ask(ctx, q)
			}
		}()
	}
	for _, q := range c.queries {
		select {
		case next <- q:
			continue
		case <-ctx.Done():
		}
		break
	}
	close(next)
	all.Wait()
	c.client.CloseIdleConnections()
}

// ask sends one query, records it and prints its result.
func (c *demoClient) ask(ctx context.Context, q *demoQuery) {
	q.err = c.post(ctx, q)
	c.mu.Lock()
	defer c.mu.Unlock()
	if ctx.Err() != nil {
		return // the signal may have cancelled the query, so its result is not counted
	}
	c.done = append(c.done, q)
	outcome := "not served"
	switch {
	case q.err != nil:
		outcome = q.err.Error()
	case q.status == http.StatusOK && q.whole:
		outcome = "whole"
	case q.status == http.StatusOK:
		outcome = "partial"
	}
	fmt.Fprintf(c.out, "%-8s %d %-6s %6.1f ms  segments %s: %s\n", q.class, q.status, outcome,
		float64(q.took.Microseconds())/1000, strings.Trim(fmt.Sprint(q.segments), "[]"), strings.Join(q.values, "; "))
}

// post sends one query and reads its answer.
func (c *demoClient) post(ctx context.Context, q *demoQuery) error {
	answer, err := ask.Do(ctx, c.client, c.addr, ask.Query{
		Class: q.class, Trace: q.trace, IdempotencyKey: q.key, Expires: 4 * time.Second, Segments: q.segments, Statement: q.statement,
		User: q.user, Tenant: q.tenant,
	})
	if answer.Status != 0 {
		q.took, q.status = answer.Done.Sub(answer.Sent), answer.Status
	}
	q.whole = answer.Whole
	for _, p := range answer.Pieces {
		q.values = append(q.values, p.Value)
	}
	return err
}

// maxLatencyMS is the longest latency that the histograms hold; no class waits for longer.
const maxLatencyMS = 20_000

// report prints the summary, and returns an error if a query was not answered whole.
func (c *demoClient) report(ctx context.Context, deployment *fake.Deployment) error {
	fmt.Fprintln(c.out)
	table := tabwriter.NewWriter(c.out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(table, "class\tasked\twhole\tp50 ms\tp99 ms")
	whole := 0
	classes, _ := c.classes()
	for _, class := range classes {
		latencies := hdrhistogram.New(1, maxLatencyMS*1000, 3) // microseconds, to three digits
		asked, answeredWhole := 0, 0
		for _, q := range c.done {
			if q.class != class {
				continue
			}
			if asked++; q.status == http.StatusOK && q.whole {
				answeredWhole++
				_ = latencies.RecordValue(min(q.took.Microseconds(), maxLatencyMS*1000))
			}
		}
		whole += answeredWhole
		fmt.Fprintf(table, "%s\t%d\t%d\t%.1f\t%.1f\n", class, asked, answeredWhole,
			float64(latencies.ValueAtQuantile(50))/1000, float64(latencies.ValueAtQuantile(99))/1000)
	}
	if err := table.Flush(); err != nil {
		return err
	}
	calls, parts := 0, 0
	for _, s := range deployment.Searchers {
		n := s.Counts()
		calls, parts = calls+n.Calls, parts+n.Parts
	}
	duplicates := deployment.Catalogue.DuplicateReservations()
	fmt.Fprintf(c.out, "\n%d of %d answered whole; %d parts in %d calls; %d reservations made twice.\n",
		whole, len(c.queries), parts, calls, len(duplicates))
	switch {
	case len(duplicates) > 0:
		return fmt.Errorf("items reserved more than once: %s", strings.Join(duplicates, ", "))
	case ctx.Err() != nil:
		fmt.Fprintf(c.out, "Ended early, after %d.\n", len(c.done))
	case whole < len(c.queries):
		return fmt.Errorf("%d of %d queries were not answered whole", len(c.queries)-whole, len(c.queries))
	}
	return nil
}
