package main

import (
	"errors"
	"fmt"
	"log/slog"
	"text/tabwriter"
	"time"

	"eiderwinch/internal/daemon"
	"eiderwinch/internal/format/config"
	"eiderwinch/internal/netio"
	"eiderwinch/internal/stats"
	"eiderwinch/internal/trial/load"
	"eiderwinch/internal/trial/standin"
)

// loopback is a stand-in deployment with a gatherer.
type loopback struct {
	world *standin.Deployment
	node  *netio.Node
	ended chan error
}

// startLoopback starts one.
func startLoopback(o standin.DeploymentOptions, log *slog.Logger) (l *loopback, err error) {
	world, err := standin.NewDeployment(o)
	if err != nil {
		return nil, err
	}
	defer func() {
		if err != nil { // l may be nil by now
			err = errors.Join(err, world.Close())
		}
	}()
	l = &loopback{world: world, ended: make(chan error, 1)}
	text, err := world.Config("demo", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	cfg, err := config.Parse(text)
	if err != nil {
		return nil, err
	}
	l.node = daemon.New(cfg, daemon.Options{}, stats.New(), log)
	go func() { l.ended <- l.node.Run() }()
	select {
	case <-l.node.Started():
		return l, nil
	case err := <-l.ended:
		return nil, err
	case <-time.After(demoStart):
		return nil, errors.New("the gatherer did not come up")
	}
}

// drain ends the gatherer once it has answered all; the rest is ended by close.
func (l *loopback) drain() error {
	l.node.Drain()
	return <-l.ended
}

type loadCommand struct {
	asJSON
	At       string        `placeholder:"ADDRESS" help:"A gatherer that runs; without it one is started on loopback with stand-ins round it."`
	Segments int           `default:"12" help:"Segments of the catalogue at --at."`
	Rate     float64       `default:"200" help:"Queries a second, at random times."`
	Duration time.Duration `default:"10s" help:"For so long."`
	Open     int           `default:"2000" help:"Queries open at once; those that would be more are not asked, and counted."`
	Seed     uint64        `default:"1" help:"For what is asked and when."`
}

// Validate is called by the parser.
func (c loadCommand) Validate() error {
	if !(c.Rate > 0) || c.Duration <= 0 || c.Segments < 6 || c.Open < 1 {
		return fmt.Errorf("--rate, --duration and --open must be above 0, --segments 6 or more")
	}
	return nil
}

// loadTimeout is above the longest deadline of a class, 12 s.
const loadTimeout = 15 * time.Second

// Run asks and prints how each class fared.
func (c loadCommand) Run(e environment) (err error) {
	ctx, stop := e.untilSignal()
	defer stop()
	o := load.Options{
		Addr: c.At, Rate: c.Rate, Duration: c.Duration, Segments: c.Segments, Classes: load.Usual(), Open: c.Open, Timeout: loadTimeout, Seed: c.Seed,
	}
	if c.At == "" {
		l, startErr := startLoopback(standin.DeploymentOptions{Seed: c.Seed}, slog.New(slog.DiscardHandler))
		if startErr != nil {
			return startErr
		}
		defer func() { err = errors.Join(err, l.drain(), l.world.Close()) }()
		o.Addr, o.Segments = l.node.Addr(), l.world.Segments()
	}
	reports, err := load.Run(ctx, o)
	if err != nil {
		return &exitError{exitConfig, err}
	}
	quantiles := []float64{0.5, 0.9, 0.99, 0.999, 1}
	if c.JSON {
		type row struct {
			*load.Report
			MS map[string]float64 `json:"ms"`
		}
		var rows []row
		for _, r := range reports {
			ms := make(map[string]float64)
			for _, q := range quantiles {
				ms[fmt.Sprintf("p%g", 100*q)] = float64(r.Quantile(q).Microseconds()) / 1000
			}
			rows = append(rows, row{r, ms})
		}
		return c.print(e.stdout, rows)
	}
	table := tabwriter.NewWriter(e.stdout, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(table, "class\tasked\twhole\tpartly\trefused\tfailed\tnot asked\tp50\tp90\tp99\tp99.9\tmost\tasked late by\t")
	for _, r := range reports {
		fmt.Fprintf(table, "%s\t%d\t%d\t%d\t%d\t%d\t%d\t", r.Class, r.Asked, r.Whole, r.Partial, r.Refused, r.Failed, r.Unasked)
		for _, q := range quantiles {
			fmt.Fprintf(table, "%v\t", r.Quantile(q).Round(100*time.Microsecond))
		}
		fmt.Fprintf(table, "%v\t\n", r.Behind.Round(100*time.Microsecond))
	}
	return table.Flush()
}
