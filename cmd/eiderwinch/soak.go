package main

import (
	"context"
	"fmt"
	"io"
	"os"
	"text/tabwriter"
	"time"

	"eiderwinch/internal/trial/soak"
)

// layoutSoak changes the layout of a loopback deployment under load.
type layoutSoak struct {
	outputFormat
	Rounds  int           `default:"3" help:"Number of rounds, each a window without changes and a window with changes."`
	Quiet   time.Duration `default:"30s" help:"Length of a window without changes."`
	Changes time.Duration `default:"60s" help:"Length of a window with changes."`
	Every   time.Duration `default:"10s" help:"Interval between splits, merges and moves."`
	Rate    float64       `default:"120" help:"Queries per second."`
	Seed    uint64        `default:"1" help:"Seed of the queries, changes and kills."`
}

// Validate checks the flags; the parser calls it.
func (c layoutSoak) Validate() error {
	if c.Rounds < 1 || c.Quiet <= 0 || c.Changes <= 0 || c.Every <= 0 || !(c.Rate > 0) {
		return fmt.Errorf("--rounds, --quiet, --changes, --every and --rate must be above 0")
	}
	return nil
}

// Run runs the soak to its end or until a signal arrives.
func (c layoutSoak) Run(e environment) error {
	return runSoak(e, c.outputFormat, func(ctx context.Context, dir string, progress io.Writer) (soak.Report, error) {
		return soak.Run(ctx, soak.Options{
			Rounds: c.Rounds, QuietDuration: c.Quiet, ChangeDuration: c.Changes, Interval: c.Every, Rate: c.Rate, Seed: c.Seed, Dir: dir, Out: progress,
		})
	}, layoutRows)
}

// reportRow is one line of a report in text form.
type reportRow struct {
	label string
	value any
}

// runSoak runs a soak to its end or until a signal arrives, prints its report and returns the report's error.
func runSoak[R interface{ Err() error }](e environment, as outputFormat, run func(ctx context.Context, dir string, progress io.Writer) (R, error), rows func(R) []reportRow) error {
	ctx, stop := e.untilSignal()
	defer stop()
	dir, err := os.MkdirTemp("", "eiderwinch-soak-")
	if err != nil {
		return err
	}
	defer os.RemoveAll(dir)
	progress := e.stdout
	if as.JSON {
		progress = e.stderr
	}
	r, err := run(ctx, dir, progress)
	if err != nil {
		return err
	}
	if as.JSON {
		if err := as.print(e.stdout, r); err != nil {
			return err
		}
		return r.Err()
	}
	table := tabwriter.NewWriter(e.stdout, 0, 0, 2, ' ', 0)
	for _, row := range rows(r) {
		fmt.Fprintf(table, "%s\t%v\n", row.label, row.value)
	}
	if err := table.Flush(); err != nil {
		return err
	}
	return r.Err()
}

// layoutRows formats a report of a layout soak.
func layoutRows(r soak.Report) []reportRow {
	return []reportRow{
		{"queries asked", r.Asked},
		{"answered whole, answered partially, refused, failed", fmt.Sprint(r.Whole, r.Partial, r.Refused, r.Failed)},
		{"taken, ended according to the gatherers' records", fmt.Sprint(r.Taken, r.Ended)},
		{"lost, mixed, marked whole but incomplete, reserved twice", fmt.Sprint(r.Lost, r.Inconsistent, r.NotWhole, r.DuplicateReservations)},
		{"reservations linearizable", r.Linearizable},
		{"reservations run, of these repeats", fmt.Sprint(r.Reserved, r.Repeated)},
		{"splits, merges, moves done", fmt.Sprint(r.Splits, r.Merges, r.Moves)},
		{"changes asked, refused, undone", fmt.Sprint(r.Jobs.Submitted, r.Jobs.Refused, r.Jobs.Undone)},
		{"searchers, coordinators killed", fmt.Sprint(r.SearcherKills, r.CoordinatorKills)},
		{"orders to searchers, failed, ignored as older", fmt.Sprint(r.Orders, r.Missed, r.LateOrders)},
		{"times copies were slowed down", r.Slowed},
		{"epochs, queries translated", fmt.Sprint(r.Epochs, r.Translated)},
		{"p99 of searches, ratio with changes to without", fmt.Sprintf("%.2f (rounds %.2f)", r.MedianRatio(), r.Ratio)},
	}
}
