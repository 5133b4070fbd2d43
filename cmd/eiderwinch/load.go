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
	"eiderwinch/internal/trial/fake"
	"eiderwinch/internal/trial/load"
)

// loopbackDeployment is a fake deployment on loopback with a gatherer.
type loopbackDeployment struct {
	deployment *fake.Deployment
	node       *netio.Node
	ended      chan error
}

// startLoopback starts a fake deployment and a gatherer, and waits until the gatherer serves.
func startLoopback(o fake.DeploymentOptions, log *slog.Logger) (l *loopbackDeployment, err error) {
	deployment, err := fake.NewDeployment(o)
	if err != nil {
		return nil, err
	}
	defer func() {
		if err != nil { // l may be nil here
			err = errors.Join(err, deployment.Close())
		}
	}()
	l = &loopbackDeployment{deployment: deployment, ended: make(chan error, 1)}
	text, err := deployment.Config("demo", "127.0.0.1:0")
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
	case <-time.After(startTimeout):
		return nil, fmt.Errorf("the gatherer did not start within %v", startTimeout)
	}
}

// drain ends the gatherer once it has answered all queries. The rest of the deployment runs until it is closed.
func (l *loopbackDeployment) drain() error {
	l.node.Drain()
	return <-l.ended
}

// loadCommand sends queries to a gatherer at a fixed mean rate.
type loadCommand struct {
	outputFormat
	At       string        `placeholder:"ADDRESS" help:"Address of a running gatherer; without it a gatherer and a fake deployment are started on loopback."`
	Segments int           `default:"12" help:"Number of segments of the catalogue at --at."`
	Rate     float64       `default:"200" help:"Queries per second, sent at random times."`
	Duration time.Duration `default:"10s" help:"Length of the load."`
	Open     int           `default:"2000" help:"Maximum number of open queries; those beyond it are not sent but counted."`
	Seed     uint64        `default:"1" help:"Seed of the queries and their times."`
}

// Validate checks the flags; the parser calls it.
func (c loadCommand) Validate() error {
	if !(c.Rate > 0) || c.Duration <= 0 || c.Segments < 6 || c.Open < 1 {
		return fmt.Errorf("--rate, --duration and --open must be above 0, --segments 6 or more")
	}
	return nil
}

// loadTimeout bounds the wait for an answer. It is above the longest deadline of a class, 12 s.
const loadTimeout = 15 * time.Second

// Run sends the queries and prints the results of each class.
func (c loadCommand) Run(e environment) (err error) {
	ctx, stop := e.untilSignal()
	defer stop()
	o := load.Options{
		Addr: c.At, Rate: c.Rate, Duration: c.Duration, Segments: c.Segments, Classes: load.DefaultClasses(), Open: c.Open, Timeout: loadTimeout, Seed: c.Seed,
	}
	if c.At == "" {
		l, startErr := startLoopback(fake.DeploymentOptions{Seed: c.Seed}, slog.New(slog.DiscardHandler))
		if startErr != nil {
			return startErr
		}
		defer func() { err = errors.Join(err, l.drain(), l.deployment.Close()) }()
		o.Addr, o.Segments = l.node.Addr(), l.deployment.Segments()
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
	fmt.Fprintln(table, "class\tasked\twhole\tpartial\trefused\tfailed\tnot asked\tp50\tp90\tp99\tp99.9\tmax\tasked late by\t")
	for _, r := range reports {
		fmt.Fprintf(table, "%s\t%d\t%d\t%d\t%d\t%d\t%d\t", r.Class, r.Asked, r.Whole, r.Partial, r.Refused, r.Failed, r.NotSent)
		for _, q := range quantiles {
			fmt.Fprintf(table, "%v\t", r.Quantile(q).Round(100*time.Microsecond))
		}
		fmt.Fprintf(table, "%v\t\n", r.MaxSendDelay.Round(100*time.Microsecond))
	}
	return table.Flush()
}
