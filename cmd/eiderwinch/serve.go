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
	"eiderwinch/internal/fleet/transport"
	"eiderwinch/internal/format/config"
	"eiderwinch/internal/memory"
	"eiderwinch/internal/netio"
	"eiderwinch/internal/stats"
)

// serveCommand runs one gatherer. The environment names its configuration file, see package config.
type serveCommand struct {
	File   string        `placeholder:"FILE" help:"An operators' file that conforms to deploy/eiderwinch.xsd. It configures the admin socket, further limits and transactional changes, which are all off without it."`
	Layout string        `placeholder:"FILE" help:"A layout that conforms to deploy/layout.xsd, whose epochs queries are bound to. SIGHUP reads it again. Without one, the cells in the platform's configuration determine which searcher holds which segments."`
	Log    slog.Level    `default:"info" placeholder:"LEVEL" help:"Minimum log level: debug, info, warn or error. debug logs when each part was decided and sent, and when each searcher was reported as leaving. The level in an operators' file takes precedence."`
	Report time.Duration `placeholder:"SPAN" help:"Interval at which the counters are logged, such as 1s, in steps of a quarter of a second. Without it, they are logged on SIGUSR1 and at the end."`
}

// Run serves until a signal ends it.
func (c serveCommand) Run(e environment) error {
	signal.Ignore(syscall.SIGPIPE) // otherwise a log reader that closes the pipe would end the gatherer
	level := new(slog.LevelVar)
	level.Set(c.Log)
	lines := asynclog.New(e.stderr) // the event loop logs, and a slow log reader must not block it
	defer lines.Close()
	log := slog.New(slog.NewTextHandler(lines, &slog.HandlerOptions{Level: level}))
	cfg, err := config.Load(e.getenv)
	if err != nil {
		return &exitError{exitConfig, fmt.Errorf("configuration: %w", err)}
	}
	limits := memory.Divide(cfg.MemoryLimit, memory.FilePages())
	debug.SetMemoryLimit(limits.Runtime)
	log = log.With("node", cfg.Name)
	if c.File != "" {
		return c.serveWithOperatorsFile(e, cfg, limits, level, log)
	}
	options := daemon.Options{ReportEvery: c.Report, ClientMemory: limits.Clients}
	if c.Layout != "" {
		if options.Layout, _, err = readValidLayout(c.Layout); err != nil {
			return err
		}
	}
	counters := stats.New()
	node := daemon.New(cfg, options, counters, log)
	platform := &platformReloader{getenv: e.getenv, started: cfg, node: node, log: log}
	return runNode(e, node, counters, log, func() {
		retryReload(node, log, platform.reload)
		c.reloadLayout(node, log)
	})
}

// runNode runs a gatherer, and calls reload on SIGHUP. A reload reads files and may be slow. It must not delay a shutdown
// or a report, so each kind of signal has its own goroutine.
func runNode(e environment, node *netio.Node, counters *stats.Counters, log *slog.Logger, reload func()) error {
	handle := func(signals <-chan os.Signal, do func()) {
		<-node.Started() // signals that arrived earlier are handled after the start
		for range signals {
			do()
		}
	}
	go handle(e.signals, node.Drain)
	go handle(e.reloads, reload)
	go handle(e.reports, node.Report)
	err := node.Run()
	log.Info("counters", "counters", counters)
	if err != nil {
		return &exitError{exitFailure, err}
	}
	return nil
}

// serveWithOperatorsFile runs a gatherer with an operators' file. Its configuration changes only by transactions, on
// SIGHUP too. The address of discovery is the platform's and takes no part in them.
func (c serveCommand) serveWithOperatorsFile(e environment, cfg *config.Config, limits memory.Limits, level *slog.LevelVar, log *slog.Logger) (err error) {
	ops, err := readOperatorsFile(c.File)
	if err != nil {
		return err
	}
	f := configFiles{platform: e.getenv("LB_CONFIG"), operators: c.File, layout: c.Layout}
	if ops.Layout != "" {
		if c.Layout != "" {
			return &exitError{exitConfig, fmt.Errorf("found a layout in both --layout and %s, want it in only one of them", c.File)}
		}
		f.layout = ops.Layout
	}
	b, err := boot(f, cfg, log)
	if err != nil {
		return err
	}
	level.Set(logLevel(b.candidate))
	var fleet *transport.Node
	if ops.Fleet != nil {
		if fleet, err = joinFleet(ops.Fleet, c.File, cfg, log); err != nil {
			return &exitError{exitFailure, err}
		}
		defer func() {
			fleet.Leave()
			fleet.Close()
		}()
	}
	counters := stats.New()
	options := daemon.Options{Layout: b.candidate.Layout, LiveSettings: b.initialLive(), Record: true, ReportEvery: c.Report, ClientMemory: limits.Clients}
	share, divided := fleet.Share()
	options.NoShareUntil = share.Until
	node := daemon.New(b.candidate.Config, options, counters, log)
	ctx, stop := context.WithCancel(context.Background())
	platform := &platformReloader{getenv: e.getenv, started: cfg, node: node, log: log, managed: true}
	configManager := b.startManager(ctx, f, node, platform, level, log)
	defer func() {
		stop()
		err = errors.Join(err, configManager.Wait())
		if b.history != nil {
			err = errors.Join(err, b.history.Close())
		}
	}()
	forwarder := &shareForwarder{fleet: fleet, node: node}
	if fleet != nil {
		go publishState(ctx, fleet, node, cfg.Settings.Module.Seed)
	}
	if divided {
		go forwarder.run()
	}
	if ops.Admin != "" {
		g := &admin.Gatherer{Name: cfg.Name, Node: node, RegisterConfigHandlers: configManager.RegisterHandlers, Fleet: fleet, Leave: forwarder.leave}
		if ops.Follow {
			g.LayoutPath = ops.Layout
		}
		socket, err := admin.Serve(ops.Admin, g.Handler())
		if err != nil {
			return &exitError{exitFailure, err}
		}
		log.Info("admin socket listening", "endpoint", socket.Endpoint())
		defer func() {
			if err := socket.Close(); err != nil {
				log.Error("admin socket not closed cleanly", "err", err)
			}
		}()
	}
	return runNode(e, node, counters, log, func() {
		go retryReload(node, log, func() error { return configManager.Reload(ctx) })
	})
}

// reloadLayout reads the layout again. A layout that is invalid, or not newer than the one in force, changes nothing.
func (c serveCommand) reloadLayout(node *netio.Node, log *slog.Logger) {
	if c.Layout == "" {
		return
	}
	l, _, err := readValidLayout(c.Layout)
	if err != nil {
		log.Error("layout not reloaded, the old one stays", "err", err)
		return
	}
	node.Adopt(l)
}
