package main

import (
	"context"
	"fmt"
	"io"
	"time"

	"eiderwinch/internal/trial/soak"
)

// configSoak changes the configuration of a loopback deployment under load.
type configSoak struct {
	asJSON
	Warm    time.Duration `default:"20s" help:"Load without changes first."`
	Changes time.Duration `default:"2m" help:"Length of the time with changes."`
	Every   time.Duration `default:"2s" help:"A change is asked for so often; each fourth is bad."`
	Rate    float64       `default:"500" help:"Queries a second."`
	Row     int           `default:"1000" help:"Changes one after the other at the end, to see what they leave behind."`
	Seed    uint64        `default:"1" help:"For what is asked and changed."`
}

// Validate is called by the parser.
func (c configSoak) Validate() error {
	if c.Warm <= 0 || c.Changes <= 0 || c.Every <= 0 || !(c.Rate > 0) {
		return fmt.Errorf("--warm, --changes, --every and --rate must be above 0")
	}
	return nil
}

// Run runs it to its end, or until a signal.
func (c configSoak) Run(e environment) error {
	return runSoak(e, c.asJSON, func(ctx context.Context, dir string, progress io.Writer) (soak.ConfigReport, error) {
		return soak.RunConfig(ctx, soak.ConfigOptions{
			Warm: c.Warm, Changes: c.Changes, Every: c.Every, Rate: c.Rate, Row: c.Row, Seed: c.Seed, Dir: dir, Out: progress,
		})
	}, configRows)
}

func configRows(r soak.ConfigReport) []row {
	rows := []row{
		{"queries asked, held back since too many were open", fmt.Sprint(r.Asked, r.Held)},
		{"answered whole, partly, refused, failed", fmt.Sprint(r.Whole, r.Partial, r.Refused, r.Failed)},
		{"taken, ended by the gatherer's books", fmt.Sprint(r.Taken, r.Ended)},
		{"lost, of a generation not in force, marked whole but not, reserved twice", fmt.Sprint(r.Lost, r.Mixed, r.NotWhole, r.Doubled)},
		{"reservations one after the other", r.Linearizable},
		{"changes applied, confirmed, refused while one was under way, stale", fmt.Sprint(r.Applied, r.Confirmed, r.Busy, r.Late)},
		{"bad changes, undone, stayed; good ones undone", fmt.Sprint(r.Bad, r.BadUndone, r.BadStayed, r.GoodUndone)},
		{"seconds from a bad change until the old was in force: median, worst", fmt.Sprintf("%.2f %.2f", r.Median(), r.Worst())},
		{"changes in a row; heap in KiB, descriptors, goroutines after three tenths of them, and after all",
			fmt.Sprint(r.Row.Changes, ";", r.Row.HeapBefore>>10, r.Row.FilesBefore, r.Row.RoutinesBefore, ",", r.Row.HeapAfter>>10, r.Row.FilesAfter, r.Row.RoutinesAfter)},
	}
	for _, reason := range r.Reasons {
		rows = append(rows, row{"undone", reason})
	}
	return rows
}
