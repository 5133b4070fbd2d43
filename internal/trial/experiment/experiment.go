// Package experiment plays the runs of an experiment side by side, writes each down
// as soon as it is over, and makes tables and one page of plots of them.
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

// Row is how one class fared in one run.
type Row struct {
	emulator.Point
	Class   string            `json:"class"`
	Asked   int               `json:"asked"`
	InTime  int               `json:"in_time"`
	Late    int               `json:"late"`
	Partial int               `json:"partial"`
	Refused int               `json:"refused"`
	Failed  int               `json:"failed"`
	P50     float64           `json:"p50_ms"`
	P99     float64           `json:"p99_ms"`
	Seconds []emulator.Second `json:"seconds"`
}

// Run is one run as it is written down, one line of JSON each.
type Run struct {
	emulator.Point
	Rows     []Row    `json:"rows"`
	Load     [][]int  `json:"load,omitempty"` // by searcher and second, of the first seed only
	Fallen   int      `json:"fallen"`
	Breaches int      `json:"breaches"`
	Faults   []string `json:"faults,omitempty"`
	Events   uint64   `json:"events"`
	Turns    uint64   `json:"turns"`
	Digest   string   `json:"digest"`
}

// mostLoad bounds the searchers whose load is kept.
const mostLoad = 300

func newRun(p emulator.Point, r *emulator.Result, first bool) Run {
	out := Run{Point: p, Fallen: r.Fallen, Breaches: r.Breaches, Faults: r.Faults, Events: r.Events, Turns: r.Turns, Digest: r.Digest}
	for _, c := range r.Classes {
		out.Rows = append(out.Rows, Row{p, c.Name, c.Asked, c.InTime, c.Late, c.Partial, c.Refused, c.Failed,
			float64(c.P50.Microseconds()) / 1000, float64(c.P99.Microseconds()) / 1000, c.Seconds})
	}
	if first {
		out.Load = r.Load[:min(len(r.Load), mostLoad)]
	}
	return out
}

// ErrBreach is why an experiment is no success: rules were broken.
var ErrBreach = errors.New("rules were broken")

// Play plays all runs of an experiment that the file at path does not hold yet, so
// many side by side, and adds each to it. done is told after each how many are over.
func Play(ctx context.Context, x *emulator.Experiment, path string, workers int, done func(over, of int)) ([]Run, error) {
	runs, err := Load(path)
	if err != nil && !errors.Is(err, fs.ErrNotExist) {
		return nil, err
	}
	points := x.Points()
	runs = slices.DeleteFunc(runs, func(r Run) bool { return !slices.Contains(points, r.Point) })
	have := make(map[emulator.Point]bool)
	for _, r := range runs {
		have[r.Point] = true
	}
	// What was cut short by a kill is written anew, without its last line.
	if err := Save(path, runs); err != nil {
		return nil, err
	}
	f, err := os.OpenFile(path, os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return nil, err
	}
	defer f.Close()
	ctx, stop := context.WithCancelCause(ctx)
	defer stop(nil)
	todo := make(chan emulator.Point)
	var all sync.WaitGroup
	var mu sync.Mutex // of runs and f
	for range max(workers, 1) {
		all.Add(1)
		go func() {
			defer all.Done()
			for p := range todo {
				result, err := x.Play(p)
				if err != nil {
					stop(err)
					return
				}
				r := newRun(p, result, p.Seed == x.Seeds[0])
				mu.Lock()
				runs = append(runs, r)
				if err := json.NewEncoder(f).Encode(r); err != nil {
					stop(err)
				}
				done(len(runs), len(points))
				mu.Unlock()
			}
		}()
	}
	done(len(runs), len(points))
feed:
	for _, p := range points {
		if have[p] {
			continue
		}
		select {
		case todo <- p:
		case <-ctx.Done():
			break feed
		}
	}
	close(todo)
	all.Wait()
	if err := context.Cause(ctx); err != nil {
		return runs, err
	}
	order(runs, points)
	breaches := 0
	for _, r := range runs {
		breaches += r.Breaches
	}
	if breaches > 0 {
		return runs, fmt.Errorf("%w: %d times", ErrBreach, breaches)
	}
	return runs, nil
}

func order(runs []Run, points []emulator.Point) {
	at := make(map[emulator.Point]int)
	for i, p := range points {
		at[p] = i
	}
	slices.SortFunc(runs, func(a, b Run) int { return at[a.Point] - at[b.Point] })
}

// mostLine bounds a line of results.
const mostLine = 256 << 20

// Load reads results. A last line that is cut short, as a kill leaves it, is passed
// over.
func Load(path string) ([]Run, error) {
	f, err := os.Open(path)
	if err != nil {
		return nil, err
	}
	defer f.Close()
	in := bufio.NewScanner(f)
	in.Buffer(nil, mostLine)
	var runs []Run
	var cut error
	for line := 1; in.Scan(); line++ {
		if cut != nil {
			return nil, cut // it was not the last one
		}
		var r Run
		if err := json.Unmarshal(in.Bytes(), &r); err != nil {
			cut = fmt.Errorf("%s:%d: %w", path, line, err)
			continue
		}
		runs = append(runs, r)
	}
	return runs, in.Err()
}

// Save writes results.
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

// WriteCSV writes one line for each class of each run.
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
