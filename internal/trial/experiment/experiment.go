// Package experiment executes the runs of an experiment on the emulator concurrently,
// stores each result as soon as its run has ended, and renders the results as tables
// and as a page of plots. It also renders the history of a test cluster as such a page.
package experiment

import (
	"bufio"
	"context"
	"encoding/csv"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"io/fs"
	"os"
	"slices"
	"strconv"
	"sync"

	"eiderwinch/internal/trial/emulator"
)

// Row counts the outcomes of the queries of one class in one run.
type Row struct {
	emulator.Point
	Class   string            `json:"class"`
	Asked   int               `json:"asked"`
	InTime  int               `json:"in_time"`
	Late    int               `json:"late"`
	Partial int               `json:"partial"`
	Refused int               `json:"refused"`
	Failed  int               `json:"failed"`
	P50     float64           `json:"p50_ms"` // in milliseconds
	P99     float64           `json:"p99_ms"` // in milliseconds
	Seconds []emulator.Second `json:"seconds"`
}

// Run is the stored result of one run. A file of results holds one line of JSON for each.
type Run struct {
	emulator.Point
	Rows           []Row    `json:"rows"`
	Load           [][]int  `json:"load,omitempty"`   // parts received by searcher and second; for the first seed only
	ColdCrashes    int      `json:"fallen"`           // crashes of cold searchers by overload
	Breaches       int      `json:"breaches"`         // number of broken rules
	BreachMessages []string `json:"faults,omitempty"` // messages of the first breaches
	Events         uint64   `json:"events"`
	Turns          uint64   `json:"turns"`
	Digest         string   `json:"digest"`
}

// maxLoadSearchers is the maximum number of searchers whose load is stored for a run.
const maxLoadSearchers = 300

func newRun(p emulator.Point, r *emulator.Result, withLoad bool) Run {
	out := Run{Point: p, ColdCrashes: r.ColdCrashes, Breaches: r.Breaches, BreachMessages: r.BreachMessages, Events: r.Events, Turns: r.Turns, Digest: r.Digest}
	for _, c := range r.Classes {
		out.Rows = append(out.Rows, Row{p, c.Name, c.Asked, c.InTime, c.Late, c.Partial, c.Refused, c.Failed,
			float64(c.P50.Microseconds()) / 1000, float64(c.P99.Microseconds()) / 1000, c.Seconds})
	}
	if withLoad {
		out.Load = r.Load[:min(len(r.Load), maxLoadSearchers)]
	}
	return out
}

// ErrBreach reports that runs of an experiment broke rules.
var ErrBreach = errors.New("rules were broken")

// RunAll executes those runs of an experiment whose results the file at path does not
// contain yet, with the given number of workers, and appends each result to the file.
// It calls done at the start and after each run with the number of finished runs and
// the number of all runs. It returns the results in the order of the points. The
// error is ErrBreach if rules were broken.
func RunAll(ctx context.Context, x *emulator.Experiment, path string, workers int, done func(finished, total int)) ([]Run, error) {
	runs, err := Load(path)
	if err != nil && !errors.Is(err, fs.ErrNotExist) {
		return nil, err
	}
	points := x.Points()
	runs = slices.DeleteFunc(runs, func(r Run) bool { return !slices.Contains(points, r.Point) })
	stored := make(map[emulator.Point]bool)
	for _, r := range runs {
		stored[r.Point] = true
	}
	// Rewrite the file, since a killed process may have left an incomplete last line.
	if err := Save(path, runs); err != nil {
		return nil, err
	}
	f, err := os.OpenFile(path, os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return nil, err
	}
	defer f.Close()
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	pending := make(chan emulator.Point)
	var group sync.WaitGroup
	var mu sync.Mutex // guards runs and f
	for range max(workers, 1) {
		group.Add(1)
		go func() {
			defer group.Done()
			for p := range pending {
				result, err := x.RunPoint(p)
				if err != nil {
					cancel(err)
					return
				}
				r := newRun(p, result, p.Seed == x.Seeds[0])
				mu.Lock()
				runs = append(runs, r)
				if err := json.NewEncoder(f).Encode(r); err != nil {
					cancel(err)
				}
				done(len(runs), len(points))
				mu.Unlock()
			}
		}()
	}
	done(len(runs), len(points))
feed:
	for _, p := range points {
		if stored[p] {
			continue
		}
		select {
		case pending <- p:
		case <-ctx.Done():
			break feed
		}
	}
	close(pending)
	group.Wait()
	if err := context.Cause(ctx); err != nil {
		return runs, err
	}
	sortRuns(runs, points)
	breaches := 0
	for _, r := range runs {
		breaches += r.Breaches
	}
	if breaches > 0 {
		return runs, fmt.Errorf("%w: %d times", ErrBreach, breaches)
	}
	return runs, nil
}

// sortRuns sorts runs by the order of their points.
func sortRuns(runs []Run, points []emulator.Point) {
	index := make(map[emulator.Point]int)
	for i, p := range points {
		index[p] = i
	}
	slices.SortFunc(runs, func(a, b Run) int { return index[a.Point] - index[b.Point] })
}

// maxLineBytes is the maximum length of a line of results.
const maxLineBytes = 256 << 20

// Load reads a file of results. It ignores a malformed last line, which a killed process
// may have left.
func Load(path string) ([]Run, error) {
	f, err := os.Open(path)
	if err != nil {
		return nil, err
	}
	defer f.Close()
	in := bufio.NewScanner(f)
	in.Buffer(nil, maxLineBytes)
	var runs []Run
	var malformed error
	for line := 1; in.Scan(); line++ {
		if malformed != nil {
			return nil, malformed // the malformed line is not the last one
		}
		var r Run
		if err := json.Unmarshal(in.Bytes(), &r); err != nil {
			malformed = fmt.Errorf("%s:%d: %w", path, line, err)
			continue
		}
		runs = append(runs, r)
	}
	return runs, in.Err()
}

// Save writes a file of results.
func Save(path string, runs []Run) (err error) {
	f, err := os.Create(path)
	if err != nil {
		return err
	}
	defer func() { err = errors.Join(err, f.Close()) }()
	e := json.NewEncoder(f)
	for _, r := range runs {
		if err := e.Encode(r); err != nil {
			return err
		}
	}
	return nil
}

// WriteCSV writes a table with a header and one line for each class of each run.
func WriteCSV(w io.Writer, runs []Run) error {
	out := csv.NewWriter(w)
	_ = out.Write([]string{"scenario", "value", "seed", "class", "asked", "in_time", "late", "partial", "refused", "failed", "p50_ms", "p99_ms"})
	for _, r := range runs {
		for _, c := range r.Rows {
			line := []string{r.Scenario, strconv.FormatFloat(r.Value, 'g', -1, 64), strconv.FormatUint(r.Seed, 10), c.Class}
			for _, n := range []int{c.Asked, c.InTime, c.Late, c.Partial, c.Refused, c.Failed} {
				line = append(line, strconv.Itoa(n))
			}
			_ = out.Write(append(line, strconv.FormatFloat(c.P50, 'f', 3, 64), strconv.FormatFloat(c.P99, 'f', 3, 64)))
		}
	}
	out.Flush()
	return out.Error()
}
