package main

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net/http"
	"os"
	"strconv"
	"text/tabwriter"
	"time"

	"eiderwinch/internal/admin"
	"eiderwinch/internal/format/settings"
	"eiderwinch/internal/layout/coordinator"
	"eiderwinch/internal/layout/reshard"
)

// coordinateCommand runs a coordinator.
type coordinateCommand struct {
	File string `arg:"" help:"An operators' file that conforms to deploy/eiderwinch.xsd, with the element coordinator."`
}

// Run runs the coordinator until a signal ends it. Changes under way continue when it is started again.
func (c coordinateCommand) Run(e environment) error {
	log := slog.New(slog.NewTextHandler(e.stderr, nil))
	ops, err := readOperatorsFile(c.File)
	if err != nil {
		return err
	}
	cfg := ops.Coordinator
	if cfg == nil {
		return &exitError{exitConfig, fmt.Errorf("%s: found no element coordinator, want one", c.File)}
	}
	first, fleet, err := readValidLayout(cfg.Layout)
	if err != nil {
		return err
	}
	toProcesses := func(list []settings.AdminEndpoint) (out []coordinator.Process) {
		for _, p := range list {
			out = append(out, coordinator.Process(p))
		}
		return out
	}
	ctx, stop := e.untilSignal()
	defer stop()
	run, err := coordinator.Start(ctx, coordinator.Options{
		LogPath: cfg.Log, InitialLayout: first, Fleet: fleet, Limits: cfg.Limits, MeasuredClass: cfg.MeasuredClass, PollInterval: cfg.Poll, Timeout: cfg.Timeout,
		Gatherers: toProcesses(cfg.Gatherers), Searchers: toProcesses(cfg.Searchers), Logger: log,
	})
	if err != nil {
		return &exitError{exitConfig, err}
	}
	socket, err := admin.Serve(cfg.Listen, run.Handler())
	if err != nil {
		stop()
		return errors.Join(err, run.Wait())
	}
	log.Info("coordinating", "endpoint", socket.Endpoint(), "log", cfg.Log)
	err = run.Wait()
	return errors.Join(err, socket.Close())
}

// coordinatorTarget holds the flags by which a command reaches a running coordinator.
type coordinatorTarget struct {
	adminSocket
	Timeout time.Duration `default:"5s" help:"How long to wait for an answer."`
}

// client returns a client of the coordinator.
func (c coordinatorTarget) client() (*admin.Client, error) {
	return c.open(c.Timeout, "coordinator", func(f *settings.File) string {
		if f.Coordinator == nil {
			return ""
		}
		return f.Coordinator.Listen
	})
}

type layoutStatus struct {
	outputFormat
	coordinatorTarget
	Layout bool `help:"Print the layout in force instead, as a layout file."`
}

// Run prints the coordinator's status, or the layout in force.
func (c layoutStatus) Run(e environment) error {
	client, err := c.client()
	if err != nil {
		return err
	}
	defer client.Close()
	ctx := context.Background()
	if c.Layout {
		var text []byte
		if err := client.Do(ctx, http.MethodGet, "/v1/layout", nil, &text); err != nil {
			return err
		}
		_, err := e.stdout.Write(text)
		return err
	}
	var s admin.CoordinatorStatus
	if err := client.Do(ctx, http.MethodGet, "/v1/status", nil, &s); err != nil {
		return err
	}
	if c.JSON {
		return c.print(e.stdout, s)
	}
	return printStatus(e.stdout, s)
}

// printStatus prints a coordinator's status as text.
func printStatus(w io.Writer, s admin.CoordinatorStatus) error {
	fmt.Fprintf(w, "epoch %d, %d segments, term %d, copies at up to %.0f rows a second", s.Epoch, s.Segments, s.Term, s.RowsPerSecond)
	if s.P99WithoutCopiesMS > 0 {
		fmt.Fprintf(w, ", p99 without copies %.1f ms", s.P99WithoutCopiesMS)
	}
	n := s.Counts
	fmt.Fprintf(w, "\nchanges: %d asked, %d refused, %d started, %d cut over, %d done, %d undone (%d too late, %d for a dead holder, %d aborted)\n",
		n.Submitted, n.Refused, n.Started, n.CutOver, n.Done, n.Undone, n.Late, n.HolderDown, n.Aborted)
	table := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(table, "job\tchange\tsegments\tphase\theirs\tfilled\treason")
	for _, j := range s.Jobs {
		fmt.Fprintf(table, "%d\t%s\t%v\t%s\t%v\t%d of %d\t%s\n", j.Job, j.Kind, j.Segments, j.Phase, j.Successors, j.Copied, j.Targets, j.Reason)
	}
	if err := table.Flush(); err != nil {
		return err
	}
	for _, g := range s.Gatherers {
		if !g.Up {
			fmt.Fprintf(w, "gatherer %s does not answer\n", g.Name)
		} else if g.Epoch != s.Epoch {
			fmt.Fprintf(w, "gatherer %s is at epoch %d\n", g.Name, g.Epoch)
		}
	}
	for _, p := range s.Searchers {
		if !p.Up {
			fmt.Fprintf(w, "searcher %s does not answer\n", p.Name)
		}
	}
	return nil
}

type layoutApply struct {
	outputFormat
	coordinatorTarget
	Changes string        `arg:"" help:"A file of changes as printed by layout plan --json; - reads standard input."`
	Wait    time.Duration `placeholder:"TIME" help:"How long to wait for all changes to end; fails if any of them is not done by then."`
}

// maxChangesBytes bounds the size of a file of changes.
const maxChangesBytes = 1 << 20

// Run submits the changes and prints the result of each.
func (c layoutApply) Run(e environment) error {
	client, err := c.client()
	if err != nil {
		return err
	}
	defer client.Close()
	in := e.stdin
	if c.Changes != "-" {
		f, err := os.Open(c.Changes)
		if err != nil {
			return &exitError{exitConfig, err}
		}
		defer f.Close()
		in = f
	}
	text, err := io.ReadAll(io.LimitReader(in, maxChangesBytes))
	if err != nil {
		return err
	}
	var s admin.Submission
	d := json.NewDecoder(bytes.NewReader(text))
	d.DisallowUnknownFields()
	if err := d.Decode(&s); err != nil {
		return &exitError{exitConfig, fmt.Errorf("%s: %w; want changes as printed by layout plan --json", c.Changes, err)}
	}
	if len(s.Changes) == 0 {
		fmt.Fprintln(e.stdout, "nothing to change")
		return nil
	}
	var results []admin.ChangeResult
	if err := client.Do(context.Background(), http.MethodPost, "/v1/changes", s, &results); err != nil {
		return err
	}
	var errs []error
	for i, result := range results {
		if result.Error != "" {
			errs = append(errs, fmt.Errorf("change %d was refused: %s", i+1, result.Error))
		} else if !c.JSON {
			fmt.Fprintf(e.stdout, "change %d: %s %v is job %d\n", i+1, s.Changes[i].Kind, s.Changes[i].Segments, result.Job)
		}
	}
	if c.JSON {
		errs = append(errs, c.print(e.stdout, results))
	}
	if c.Wait > 0 {
		errs = append(errs, c.await(e, client, results))
	}
	return errors.Join(errs...)
}

// statusInterval is the interval between requests for the status while changes are awaited.
const statusInterval = 100 * time.Millisecond

// await waits until the accepted changes are over, c.Wait has passed or a signal arrives.
func (c layoutApply) await(e environment, client *admin.Client, results []admin.ChangeResult) error {
	signalled, stop := e.untilSignal()
	defer stop()
	ctx, end := context.WithTimeout(signalled, c.Wait)
	defer end()
	waiting := make(map[reshard.JobID]bool)
	for _, result := range results {
		if result.Error == "" {
			waiting[result.Job] = true
		}
	}
	var errs []error
	tick := time.NewTicker(statusInterval)
	defer tick.Stop()
	for len(waiting) > 0 {
		var s admin.CoordinatorStatus
		// After an error the next tick tries again, because the coordinator may be restarting.
		if err := client.Do(ctx, http.MethodGet, "/v1/status", nil, &s); err == nil {
			for _, j := range s.Jobs {
				if !waiting[j.Job] || !j.Over {
					continue
				}
				delete(waiting, j.Job)
				if j.Phase != reshard.Done.String() {
					errs = append(errs, fmt.Errorf("job %d is %s: %s", j.Job, j.Phase, j.Reason))
				} else if !c.JSON {
					fmt.Fprintf(e.stdout, "job %d is done\n", j.Job)
				}
			}
		}
		if len(waiting) == 0 {
			break
		}
		select {
		case <-ctx.Done():
			return errors.Join(append(errs, fmt.Errorf("stopped waiting: %d changes are not over", len(waiting)))...)
		case <-tick.C:
		}
	}
	return errors.Join(errs...)
}

type layoutAbort struct {
	coordinatorTarget
	Job    uint64 `arg:"" help:"The job's number, see layout status."`
	Reason string `default:"by hand" help:"A reason that is shown with the change."`
}

// Run asks the coordinator to abort the job.
func (c layoutAbort) Run(e environment) error {
	client, err := c.client()
	if err != nil {
		return err
	}
	defer client.Close()
	path := "/v1/changes/" + strconv.FormatUint(c.Job, 10) + "/abort"
	if err := client.Do(context.Background(), http.MethodPost, path, admin.AbortRequest{Reason: c.Reason}, nil); err != nil {
		return err
	}
	fmt.Fprintf(e.stdout, "job %d is undone\n", c.Job)
	return nil
}
