package main

import (
	"bytes"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"runtime"
	"strings"
	"text/tabwriter"

	"github.com/schollz/progressbar/v3"

	"eiderwinch/internal/admin"
	"eiderwinch/internal/trial/emulator"
	"eiderwinch/internal/trial/experiment"
	"eiderwinch/internal/trial/testcluster"
)

// experimentCommands run deployments in virtual time.
type experimentCommands struct {
	Run    experimentRun    `cmd:"" help:"Run the scenarios of a file on the emulator, over seeds and swept values, and print the results by class."`
	Report experimentReport `cmd:"" help:"Write one page of plots from an experiment's results."`
	Fleet  experimentFleet  `cmd:"" help:"Write one page of plots from the history of a fleet of processes under faults."`
}

type experimentRun struct {
	outputFormat
	File    string `arg:"" help:"An experiment that conforms to deploy/scenario.xsd."`
	Out     string `placeholder:"FILE" help:"Where the results are written, one run per line; runs that already have a result are not repeated. FILE.csv gets a table. Default: the experiment's name with .results."`
	Workers int    `help:"Number of concurrent runs; 0 means one per core."`
}

// results returns the path of the results.
func (c experimentRun) results() string {
	if c.Out != "" {
		return c.Out
	}
	return strings.TrimSuffix(c.File, filepath.Ext(c.File)) + ".results"
}

// Run executes the runs that have no result yet. A signal ends it; the next call continues with the remaining runs.
func (c experimentRun) Run(e environment) error {
	x, err := readForm(c.File, emulator.ReadExperiment)
	if err != nil {
		return err
	}
	if c.Workers <= 0 {
		c.Workers = runtime.GOMAXPROCS(0)
	}
	ctx, stop := e.untilSignal()
	defer stop()
	bar := progressbar.NewOptions(len(x.Points()), progressbar.OptionSetWriter(e.stderr), progressbar.OptionSetDescription("runs"),
		progressbar.OptionShowCount(), progressbar.OptionClearOnFinish())
	runs, err := experiment.RunAll(ctx, x, c.results(), c.Workers, func(done, _ int) { _ = bar.Set(done) })
	if err != nil && !errors.Is(err, experiment.ErrBreach) {
		return err
	}
	var table bytes.Buffer
	if csvErr := experiment.WriteCSV(&table, runs); csvErr != nil {
		return csvErr
	}
	if writeErr := admin.WriteFileAtomic(c.results()+".csv", table.Bytes()); writeErr != nil {
		return writeErr
	}
	groups := experiment.Groups(runs)
	if c.JSON {
		return errors.Join(c.print(e.stdout, groups), err)
	}
	t := tabwriter.NewWriter(e.stdout, 0, 0, 2, ' ', 0)
	fmt.Fprintf(t, "scenario\t%s\tclass\truns\tin time\trefused\tfailed\tp99 ms\n", x.SweptAttribute)
	for _, g := range groups {
		fmt.Fprintf(t, "%s\t%g\t%s\t%d\t%.2f%% (%.2f to %.2f)\t%.2f%%\t%.2f%%\t%.0f\n", g.Scenario, g.Value, g.Class, g.Runs,
			100*g.InTime.Mean, 100*g.InTime.Low, 100*g.InTime.High, 100*g.Refused.Mean, 100*g.Failed.Mean, g.P99.Mean)
	}
	return errors.Join(t.Flush(), err)
}

type experimentReport struct {
	File string `arg:"" help:"The experiment's file."`
	Out  string `placeholder:"FILE" help:"Where the results are; see run."`
	HTML string `placeholder:"FILE" help:"Where the page is written. Default: the experiment's name with .html."`
}

// Run writes the page.
func (c experimentReport) Run(e environment) error {
	x, err := readForm(c.File, emulator.ReadExperiment)
	if err != nil {
		return err
	}
	runs, err := experiment.Load(experimentRun{File: c.File, Out: c.Out}.results())
	if err != nil {
		return err
	}
	if len(runs) == 0 {
		return fmt.Errorf("found no results of %s, want a run with eiderwinch experiment run first", c.File)
	}
	name := strings.TrimSuffix(c.File, filepath.Ext(c.File))
	if c.HTML == "" {
		c.HTML = name + ".html"
	}
	var b bytes.Buffer
	if err := experiment.Report(&b, filepath.Base(name), x.SweptAttribute, runs); err != nil {
		return err
	}
	if err := admin.WriteFileAtomic(c.HTML, b.Bytes()); err != nil {
		return err
	}
	fmt.Fprintf(e.stdout, "%s: %d runs, %d KiB\n", c.HTML, len(runs), b.Len()>>10)
	return nil
}

type experimentFleet struct {
	File string `arg:"" help:"A history.jsonl written by the test of a fleet under faults."`
	HTML string `placeholder:"FILE" help:"Where the page is written. Default: the history's name with .html."`
}

// Run writes the page.
func (c experimentFleet) Run(e environment) error {
	f, err := os.Open(c.File)
	if err != nil {
		return &exitError{exitConfig, err}
	}
	defer f.Close()
	history, err := testcluster.ReadHistory(f)
	if err != nil {
		return &exitError{exitConfig, fmt.Errorf("%s: %w", c.File, err)}
	}
	name := strings.TrimSuffix(c.File, filepath.Ext(c.File))
	if c.HTML == "" {
		c.HTML = name + ".html"
	}
	var b bytes.Buffer
	if err := experiment.FleetReport(&b, filepath.Base(name), history); err != nil {
		return err
	}
	if err := admin.WriteFileAtomic(c.HTML, b.Bytes()); err != nil {
		return err
	}
	fmt.Fprintf(e.stdout, "%s: %d lines, %d KiB\n", c.HTML, len(history), b.Len()>>10)
	return nil
}
