package main

import (
	"context"
	"fmt"
	"net/http"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"eiderwinch/internal/layout"
	"eiderwinch/internal/trial/ask"
	"eiderwinch/internal/trial/fake"
)

// Sizes and times of a run with troubled connections.
const (
	troubledQueries   = 48
	troubledStrikes   = 12 // connections that have trouble, one for each searcher on average
	troubledWaiting   = 2  // parts that wait beside an answer with trouble, at least
	quickPartDuration = 20 * time.Millisecond
	slowPartDuration  = 400 * time.Millisecond
	troubledSlots     = 16
	troubledTimeout   = 6 * time.Second // above the deadlines that clients state
)

// answersRead collects the answers to queries.
type answersRead struct {
	mu     sync.Mutex
	counts map[int]int // by HTTP status; 0: no answer
	wrong  []string    // values that no searcher made for their part
}

// add records an answer.
func (r *answersRead) add(trace string, a ask.Answer) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.counts[a.Status]++
	if a.Status == http.StatusOK && !valuesAreRight(trace, a.Pieces) {
		r.wrong = append(r.wrong, fmt.Sprintf("query %s: %q", trace, a.Pieces))
	}
}

// valuesAreRight reports whether the values of an answer are those that searchers made for the parts of its query, in the first or the
// second step.
func valuesAreRight(trace string, pieces []ask.Piece) bool {
	for _, p := range pieces {
		part := fmt.Sprintf("%s.%d", trace, p.Segment)
		if p.Value != fake.ValueOf(part) && p.Value != fake.ValueOf(part+".b") {
			return false
		}
	}
	return len(pieces) > 0
}

// drawQuery returns a query by a number: one of three classes, with two to four parts at different cells.
func drawQuery(trace string, i, segments int) ask.Query {
	q := ask.Query{Class: []string{"search", "reserve", "report"}[i%3], Trace: trace, Statement: "q", Expires: 4 * time.Second}
	if q.Class == "reserve" {
		q.IdempotencyKey = q.Trace
	}
	for k := range 2 + i%3 {
		q.Segments = append(q.Segments, (i+5*k)%segments)
	}
	return q
}

// askAll sends the queries at the same time, and waits for their answers.
func askAll(addr string, queries []ask.Query) *answersRead {
	results := &answersRead{counts: make(map[int]int)}
	var clients sync.WaitGroup
	for _, q := range queries {
		clients.Add(1)
		go func() {
			defer clients.Done()
			a, _ := ask.Do(context.Background(), &http.Client{Timeout: troubledTimeout}, addr, q) // without an answer, the status is 0
			results.add(q.Trace, a)
		}()
	}
	clients.Wait()
	return results
}

// identityDeployment starts a deployment whose values tell which part they are for. The parts of some segments are quick.
func identityDeployment(t *testing.T, options fake.DeploymentOptions) *fake.Deployment {
	t.Helper()
	options.Slots = troubledSlots
	options.Handler = func(*layout.Layout) fake.Handler {
		return fake.IdentityHandler{Duration: func(p fake.Part) time.Duration {
			if p.Shard < 4 {
				return quickPartDuration
			}
			return slowPartDuration
		}}
	}
	return startDeployment(t, options)
}

// programLog keeps the lines of a program's log.
type programLog struct {
	mu    sync.Mutex
	lines []string
}

// keepLog reads the program's log from now on, so that the program is not held up by it.
func (p *program) keepLog() *programLog {
	log := &programLog{}
	go func() {
		for line := range p.lines {
			log.mu.Lock()
			log.lines = append(log.lines, line)
			log.mu.Unlock()
		}
	}()
	return log
}

// linesWith returns the lines that contain a text.
func (l *programLog) linesWith(text string) (found []string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, line := range l.lines {
		if strings.Contains(line, text) {
			found = append(found, line)
		}
	}
	return found
}

// Guards against a part that is sent again after its whole answer, because of what became of the connection afterwards.
func TestAnsweredPartIsNotSentAgainAfterTroubleOnItsConnection(t *testing.T) {
	path := buildProgram(t)
	for name, trouble := range map[string]fake.Trouble{
		"none":                          {},
		"a reset 0.2 s later":           {Kind: fake.GoodThenRst, Delay: 200 * time.Millisecond},
		"an end 0.2 s later":            {Kind: fake.GoodThenEnd, Delay: 200 * time.Millisecond},
		"noise 0.2 s later":             {Kind: fake.GoodThenData, Delay: 200 * time.Millisecond},
		"a short answer, its rest late": {Kind: fake.ShortLength, Delay: 200 * time.Millisecond},
		"a short answer, then an end":   {Kind: fake.ShortThenEnd, Delay: 200 * time.Millisecond},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			var strikes atomic.Int64
			d := identityDeployment(t, fake.DeploymentOptions{Seed: 1, Trouble: func(p fake.Part, waiting int) fake.Trouble {
				if waiting < troubledWaiting || p.Shard >= 4 || strikes.Add(1) > troubledStrikes {
					return fake.Trouble{}
				}
				return trouble
			}})
			text, err := d.Config("n0", "127.0.0.1:0")
			if err != nil {
				t.Fatal(err)
			}
			p := launchWith(t, path, []string{"serve", "--log", "debug"}, string(text))
			_, after, _ := strings.Cut(p.waitForLog(t, "msg=serving"), "addr=")
			addr, _, _ := strings.Cut(after, " ")
			log := p.keepLog()
			var queries []ask.Query
			for i := range troubledQueries {
				queries = append(queries, drawQuery(fmt.Sprint("q-", i), i, d.Segments()))
			}
			results := askAll(addr, queries)
			answered, again := d.Audit.Counts()
			t.Logf("%d troubles, %d parts answered, %d sent again, %v", min(strikes.Load(), troubledStrikes), answered, again, results.counts)
			if strikes.Load() < 4 {
				t.Errorf("%d answers had others waiting beside them, want 4 at least", strikes.Load())
			}
			if violations := d.Audit.Violations(); len(violations) > 0 {
				part := strings.Fields(violations[0])[1]
				t.Errorf("sent again:\n%s\nlog of the first:\n%s", strings.Join(violations, "\n"), strings.Join(log.linesWith("part="+part+" "), "\n"))
			}
			if len(results.wrong) > 0 || results.counts[0] > 0 {
				t.Errorf("%d queries without an answer; wrong values: %v", results.counts[0], slices.Compact(results.wrong))
			}
		})
	}
}
