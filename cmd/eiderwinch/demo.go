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
	"eiderwinch/internal/trial/standin"
)

// demoCommand starts stand-ins and a gatherer on loopback and asks queries.
type demoCommand struct {
	Queries int    `default:"60" help:"How many queries to ask, 1 to 10000."`
	Clients int    `default:"6" help:"How many ask at once, 1 to 200."`
	Seed    uint64 `default:"1" help:"For the catalogue and the queries: the same seed asks the same."`
	Layout  string `default:"sets" enum:"sets,ring" help:"Of the segments: ${enum}. Sets of searchers hold the same ones; in a ring the next searcher holds them as well."`
	Answers string `default:"whole" enum:"whole,partial" help:"What classes there are: ${enum}. Whole: searches, reservations and reports in two steps; partial: batches, and wide reports that may be answered from half, for tenants, with keys and second copies."`
	Verbose bool   `short:"v" help:"Show the gatherer's own log on standard error."`
}

// Validate is called by the parser.
func (d demoCommand) Validate() error {
	if d.Queries < 1 || d.Queries > 10_000 {
		return fmt.Errorf("--queries is %d, want 1 to 10000", d.Queries)
	}
	if d.Clients < 1 || d.Clients > 200 {
		return fmt.Errorf("--clients is %d, want 1 to 200", d.Clients)
	}
	return nil
}

// demoStart is how long the gatherer may take to come up.
const demoStart = 5 * time.Second

// Run is the demo. It ends by itself, or cleanly at a signal.
func (d demoCommand) Run(e environment) (err error) {
	ctx, stop := e.untilSignal()
	defer stop()
	log := slog.New(slog.DiscardHandler)
	if d.Verbose {
		log = slog.New(slog.NewTextHandler(e.stderr, nil))
	}
	l, err := startLoopback(standin.DeploymentOptions{Seed: d.Seed, Ring: d.Layout == "ring", Partial: d.partial()}, log)
	if err != nil {
		return err
	}
	world, node := l.world, l.node
	defer func() { err = errors.Join(err, world.Close()) }()
	fmt.Fprintf(e.stdout, "A gatherer on %s, discovery on %s, %d searchers in 3 zones that hold %d segments.\n\n",
		node.Addr(), world.Discovery.Addr(), len(world.Searchers), world.Segments())
	asker := newAsker(d, node.Addr(), world.Segments(), e.stdout)
	asker.run(ctx)
	if err := l.drain(); err != nil {
		return err
	}
	return asker.report(ctx, world)
}

// asked is one query of the demo and what came of it.
type asked struct {
	class, trace, key, statement string
	segments                     []int
	about, tenant                string

	status int
	full   bool
	values []string
	took   time.Duration
	err    error
}

// asker asks queries and keeps the books.
type asker struct {
	demoCommand
	addr   string
	client *http.Client
	out    io.Writer
	list   []*asked

	mu   sync.Mutex // of out and done
	done []*asked
}

func (d demoCommand) partial() bool { return d.Answers == "partial" }

// classes are those that it asks, and how often each of them is asked of seven times.
func (d demoCommand) classes() (names, mix []string) {
	if d.partial() {
		return []string{"report", "lookup"}, []string{"report", "report", "lookup", "lookup", "lookup", "lookup", "lookup"}
	}
	return []string{"report", "search", "reserve"}, []string{"report", "search", "search", "search", "search", "reserve", "reserve"}
}

func newAsker(d demoCommand, addr string, segments int, out io.Writer) *asker {
	a := &asker{demoCommand: d, addr: addr, out: out, client: &http.Client{
		Transport: &http.Transport{MaxIdleConnsPerHost: d.Clients, MaxConnsPerHost: d.Clients},
	}}
	rng := rand.New(rand.NewPCG(d.Seed, 2))
	classes, mix := d.classes()
	for i := range d.Queries {
		// One class after the other first, so that a short demo shows all; then as branches ask.
		class := classes[i%len(classes)]
		if i >= len(classes) {
			class = mix[rng.IntN(len(mix))]
		}
		q := &asked{class: class, trace: fmt.Sprintf("demo-%d-%d", d.Seed, i)}
		parts := map[string]int{"report": 4, "search": 3 + rng.IntN(2), "reserve": 1, "lookup": 4}[class]
		if d.partial() {
			if class == "report" {
				parts = segments * 2 / 5
			}
			q.about, q.tenant = fmt.Sprintf("%016x", rng.Uint64()), standin.Tenants[rng.IntN(len(standin.Tenants))]
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
		a.list = append(a.list, q)
	}
	return a
}

// run asks all, d.Clients at a time, until ctx ends.
func (a *asker) run(ctx context.Context) {
	next := make(chan *asked)
	var all sync.WaitGroup
	for range a.Clients {
		all.Add(1)
		go func() {
			defer all.Done()
			for q := range next {
				a.ask(ctx, q)
			}
		}()
	}
	for _, q := range a.list {
		select {
		case next <- q:
			continue
		case <-ctx.Done():
		}
		break
	}
	close(next)
	all.Wait()
	a.client.CloseIdleConnections()
}

func (a *asker) ask(ctx context.Context, q *asked) {
	q.err = a.post(ctx, q)
	a.mu.Lock()
	defer a.mu.Unlock()
	if ctx.Err() != nil {
		return // it was broken off; nothing is to be said of it
	}
	a.done = append(a.done, q)
	what := "not served"
	switch {
	case q.err != nil:
		what = q.err.Error()
	case q.status == http.StatusOK && q.full:
		what = "whole"
	case q.status == http.StatusOK:
		what = "partial"
	}
	fmt.Fprintf(a.out, "%-8s %d %-6s %6.1f ms  segments %s: %s\n", q.class, q.status, what,
		float64(q.took.Microseconds())/1000, strings.Trim(fmt.Sprint(q.segments), "[]"), strings.Join(q.values, "; "))
}

// post asks one query and reads its answer.
func (a *asker) post(ctx context.Context, q *asked) error {
	got, err := ask.Do(ctx, a.client, a.addr, ask.Query{
		Class: q.class, Trace: q.trace, Key: q.key, Expires: 4 * time.Second, Segments: q.segments, Statement: q.statement,
		About: q.about, Tenant: q.tenant,
	})
	if got.Status != 0 {
		q.took, q.status = got.Done.Sub(got.Sent), got.Status
	}
	q.full = got.Full
	for _, p := range got.Pieces {
		q.values = append(q.values, p.Cell)
	}
	return err
}

// mostMS is the longest time that the histograms hold: no class waits for longer.
const mostMS = 20_000

// report prints the summary, and returns an error if not all was answered whole.
func (a *asker) report(ctx context.Context, world *standin.Deployment) error {
	fmt.Fprintln(a.out)
	table := tabwriter.NewWriter(a.out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(table, "class\tasked\twhole\tp50 ms\tp99 ms")
	whole := 0
	classes, _ := a.classes()
	for _, class := range classes {
		times := hdrhistogram.New(1, mostMS*1000, 3) // microseconds, to three digits
		count, full := 0, 0
		for _, q := range a.done {
			if q.class != class {
				continue
			}
			if count++; q.status == http.StatusOK && q.full {
				full++
				_ = times.RecordValue(min(q.took.Microseconds(), mostMS*1000))
			}
		}
		whole += full
		fmt.Fprintf(table, "%s\t%d\t%d\t%.1f\t%.1f\n", class, count, full,
			float64(times.ValueAtQuantile(50))/1000, float64(times.ValueAtQuantile(99))/1000)
	}
	if err := table.Flush(); err != nil {
		return err
	}
	calls, parts := 0, 0
	for _, s := range world.Searchers {
		n := s.Counts()
		calls, parts = calls+n.Calls, parts+n.Parts
	}
	doubled := world.Stock.Doubled()
	fmt.Fprintf(a.out, "\n%d of %d answered whole; %d parts in %d calls; %d reservations made twice.\n",
		whole, len(a.list), parts, calls, len(doubled))
	switch {
	case len(doubled) > 0:
		return fmt.Errorf("reserved more than once: %s", strings.Join(doubled, ", "))
	case ctx.Err() != nil:
		fmt.Fprintf(a.out, "Ended early, after %d.\n", len(a.done))
	case whole < len(a.list):
		return fmt.Errorf("%d of %d were not answered whole", len(a.list)-whole, len(a.list))
	}
	return nil
}
