package main

import (
	"context"
	"fmt"
	"io"
	"math"
	"time"

	"eiderwinch/internal/trial/soak"
)

// configSoak changes the configuration of a loopback deployment under load.
type configSoak struct {
	outputFormat
	Warm    time.Duration `default:"20s" help:"Length of the initial load without changes."`
	Changes time.Duration `default:"2m" help:"Length of the period with changes, if none takes longer than --every."`
	Every   time.Duration `default:"2s" help:"Interval between changes; every fourth change is bad."`
	Rate    float64       `default:"500" help:"Queries per second."`
	Row     int           `default:"1000" help:"Number of changes made one after the other at the end, to measure what they leave behind."`
	Seed    uint64        `default:"1" help:"Seed of the queries and changes."`
}

// Validate checks the flags; the parser calls it.
func (c configSoak) Validate() error {
	if c.Warm <= 0 || c.Changes <= 0 || c.Every <= 0 || !(c.Rate > 0) {
		return fmt.Errorf("--warm, --changes, --every and --rate must be above 0")
	}
	return nil
}

// Run runs the soak to its end or until a signal arrives.
func (c configSoak) Run(e environment) error {
	return runSoak(e, c.outputFormat, func(ctx context.Context, dir string, progress io.Writer) (soak.ConfigReport, error) {
		return soak.RunConfig(ctx, soak.ConfigOptions{
			WarmUp: c.Warm, Changes: int(math.Ceil(c.Changes.Seconds() / c.Every.Seconds())), Interval: c.Every, Rate: c.Rate, SequenceLength: c.Row, Seed: c.Seed, Dir: dir, Out: progress,
		})
	}, configRows)
}

// configRows formats a report of a configuration soak.
func configRows(r soak.ConfigReport) []reportRow {
	rows := []reportRow{
		{"queries asked, not asked because too many were open", fmt.Sprint(r.Asked, r.NotSent)},
		{"answered whole, answered partially, refused, failed", fmt.Sprint(r.Whole, r.Partial, r.Refused, r.Failed)},
		{"taken, ended according to the gatherer's records", fmt.Sprint(r.Taken, r.Ended)},
		{"lost, of a generation not in force, marked whole but incomplete, reserved twice", fmt.Sprint(r.Lost, r.Inconsistent, r.NotWhole, r.DuplicateReservations)},
		{"reservations linearizable", r.Linearizable},
		{"changes applied, confirmed, refused while one was under way, stale", fmt.Sprint(r.Applied, r.Confirmed, r.Busy, r.Late)},
		{"bad changes, of these undone, of these kept; good changes undone", fmt.Sprint(r.Bad, r.BadUndone, r.BadStayed, r.GoodUndone)},
		{"seconds from a bad change until the old configuration was in force: median, worst", fmt.Sprintf("%.2f %.2f", r.MedianRecovery(), r.WorstRecovery())},
		{"changes in a row; heap in KiB, descriptors and goroutines after three tenths of them, and after all of them",
			fmt.Sprint(r.SequenceUse.Changes, ";", r.SequenceUse.HeapBefore>>10, r.SequenceUse.FilesBefore, r.SequenceUse.RoutinesBefore, ",", r.SequenceUse.HeapAfter>>10, r.SequenceUse.FilesAfter, r.SequenceUse.RoutinesAfter)},
	}
	for _, reason := range r.Reasons {
		rows = append(rows, reportRow{"undone", reason})
	}
	return rows
}
