package main

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"
	"time"

	"eiderwinch/internal/admin"
	"eiderwinch/internal/asynclog"
	"eiderwinch/internal/daemon"
	"eiderwinch/internal/durable"
	fleetnet "eiderwinch/internal/fleet/net"
	"eiderwinch/internal/format/config"
	"eiderwinch/internal/netio"
	"eiderwinch/internal/stats"
)

// serveCommand is one real gatherer. The environment tells it where its
// configuration is, see package config.
type serveCommand struct {
	File   string        `placeholder:"FILE" help:"An operators' file after deploy/eiderwinch.xsd: an admin socket, own limits, changes as transactions. Without one all that is off."`
	Layout string        `placeholder:"FILE" help:"A layout after deploy/layout.xsd: queries are bound to its epochs. SIGHUP reads it again. Without one the platform's cells say who holds what."`
	Log    slog.Level    `default:"info" placeholder:"LEVEL" help:"Log from this level on: debug, info, warn or error. debug tells of each part when it was decided and left, and of each searcher when it was told to leave. An operators' file's own level goes before it."`
	Report time.Duration `placeholder:"SPAN" help:"Log the counters so often, as 1s; to a quarter of a second. Without it they are logged on SIGUSR1 and at the end."`
}

// Run serves until a signal ends it.
func (c serveCommand) Run(e environment) error {
	signal.Ignore(syscall.SIGPIPE) // a reader of the log that goes must not take the gatherer along
	level := new(slog.LevelVar)
	level.Set(c.Log)
	lines := asynclog.New(e.stderr) // the event loop logs: whoever reads slowly must not hold it up
	defer lines.Close()
	log := slog.New(slog.NewTextHandler(lines, &slog.HandlerOptions{Level: level}))
	cfg, err := config.Load(e.getenv)
	if err != nil {
		return &exitError{exitConfig, fmt.Errorf("configuration: %w", err)}
	}
	debug.SetMemoryLimit(cfg.Memory / 4 * 3) // the rest is for stacks, the runtime and the kernel's part
	log = log.With("node", cfg.Name)
	if c.File != "" {
		return c.kept(e, cfg, level, log)
	}
	options := daemon.Options{Report: c.Report}
	if c.Layout != "" {
		if options.Layout, _, err = soundLayout(c.Layout); err != nil {
			return err
		}
	}
	counters := stats.New()
	node := daemon.New(cfg, options, counters, log)
	return runNode(e, node, counters, log, func() {
		reload(e, cfg, node, log)
		c.reloadLayout(node, log)
	})
}

// runNode runs a gatherer, and calls reload at SIGHUP. A reload reads files, which may take its
// time: it must hold up neither an end nor a report, so each kind of signal has a goroutine.
func runNode(e environment, node *netio.Node, counters *stats.Counters, log *slog.Logger, reload func()) error {
	follow := func(signals <-chan os.Signal, do func()) {
		<-node.Started() // what came before waits for it
		for range signals {
			do()
		}
	}
	go follow(e.signals, node.Drain)
	go follow(e.reloads, reload)
	go follow(e.reports, node.Report)
	err := node.Run()
	log.Info("counters", "counters", counters)
	if err != nil {
		return &exitError{exitServe, err}
	}
	return nil
}

// kept runs a gatherer with an operators' file: what it is told changes as
// transactions only, at SIGHUP as well.
func (c serveCommand) kept(e environment, cfg *config.Config, level *slog.LevelVar, log *slog.Logger) (err error) {
	ops, err := readOps(c.File)
	if err != nil {
		return err
	}
	f := files{platform: e.getenv("LB_CONFIG"), operators: c.File, layout: c.Layout}
	if ops.Layout != "" {
		if c.Layout != "" {
			return &exitError{exitConfig, fmt.Errorf("a layout is named by --layout and by %s, want one", c.File)}
		}
		f.layout = ops.Layout
	}
	b, err := boot(f, cfg, log)
	if err != nil {
		return err
	}
	level.Set(logLevel(b.candidate))
	var fleet *fleetnet.Node
	if ops.Fleet != nil {
		if fleet, err = joinFleet(ops.Fleet, c.File, cfg, log); err != nil {
			return &exitError{exitServe, err}
		}
		defer func() {
			fleet.Leave()
			fleet.Close()
		}()
	}
	counters := stats.New()
	options := daemon.Options{Layout: b.candidate.Layout, Live: b.live(), Record: true, Report: c.Report}
	share, divided := fleet.Share()
	options.Share = share.Until
	node := daemon.New(b.candidate.Config, options, counters, log)
	ctx, stop := context.WithCancel(context.Background())
	k := b.keep(ctx, f, node, level, log)
	defer func() {
		stop()
		err = errors.Join(err, k.Wait())
		if b.history != nil {
			err = errors.Join(err, b.history.Close())
		}
	}()
	shares := &sharing{fleet: fleet, node: node}
	if fleet != nil {
		go describe(ctx, fleet, node, cfg.Settings.Module.Seed)
	}
	if divided {
		go shares.run()
	}
	if ops.Admin != "" {
		g := &admin.Gatherer{Name: cfg.Name, Node: node, Keeper: k.Handle, Fleet: fleet, Leave: shares.leave}
		if ops.Follow {
			g.Layout = ops.Layout
		}
		socket, err := admin.Serve(ops.Admin, g.Handler())
		if err != nil {
			return &exitError{exitServe, err}
		}
		log.Info("admin socket", "endpoint", socket.Endpoint())
		defer func() {
			if err := socket.Close(); err != nil {
				log.Error("closing the admin socket", "err", err)
			}
		}()
	}
	return runNode(e, node, counters, log, func() {
		go func() {
			if err := durable.Within(reloadTime, func() error { return k.Reload(ctx) }); err != nil {
				log.Error("configuration not reloaded, the old one stays", "err", err)
				node.ReloadFailed()
			}
		}()
	})
}

// reloadLayout reads the layout again. One that is at fault, or not newer than the
// one in force, changes nothing.
func (c serveCommand) reloadLayout(node *netio.Node, log *slog.Logger) {
	if c.Layout == "" {
		return
	}
	l, _, err := soundLayout(c.Layout)
	if err != nil {
		log.Error("layout not reloaded, the old one stays", "err", err)
		return
	}
	node.Adopt(l)
}

// How long a configuration that was asked to be read again is tried: where the disk fails, and where what it
// holds can't be used, since it may be in the middle of being written.
const (
	reloadTime  = time.Minute
	contentTime = time.Second
	contentWait = 50 * time.Millisecond
)

// reloadOnce reads the configuration until it can be used or can't be read.
func reloadOnce(e environment) (*config.Config, error) {
	for end := time.Now().Add(contentTime); ; time.Sleep(contentWait) {
		next, err := config.Reload(e.getenv)
		if err == nil || durable.Transient(err) || time.Now().After(end) {
			return next, err
		}
	}
}

// reload reads the configuration again. One that is at fault changes nothing.
func reload(e environment, cfg *config.Config, node *netio.Node, log *slog.Logger) {
	var next *config.Config
	err := durable.Within(reloadTime, func() (err error) {
		next, err = reloadOnce(e)
		return err
	})
	if err != nil {
		log.Error("configuration not reloaded, the old one stays", "err", err)
		node.ReloadFailed()
		return
	}
	if keys := cfg.Pending(next); len(keys) > 0 {
		log.Warn("these keys take effect at the next start", "keys", keys)
	}
	log.Info("configuration reloaded", "discovery", next.Discovery)
	node.Reload(next.Discovery)
}
