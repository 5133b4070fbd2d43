package main

import (
	"fmt"
	"log/slog"
	"runtime/debug"
	"syscall"

	"eiderwinch/internal/config"
	"eiderwinch/internal/daemon"
	"eiderwinch/internal/layout"
	"eiderwinch/internal/netio"
	"eiderwinch/internal/stats"
)

// serveCommand is one real gatherer. The environment tells it where its
// configuration is, see package config.
type serveCommand struct {
	Layout string `placeholder:"FILE" help:"A layout after deploy/layout.xsd: queries are bound to its epochs. SIGHUP reads it again. Without one the platform's cells say who holds what."`
}

// Run serves until a signal ends it.
func (c serveCommand) Run(e environment) error {
	log := slog.New(slog.NewTextHandler(e.stderr, nil))
	cfg, err := config.Load(e.getenv)
	if err != nil {
		return &exitError{exitConfig, fmt.Errorf("configuration: %w", err)}
	}
	var first *layout.Layout
	if c.Layout != "" {
		if first, _, err = soundLayout(c.Layout); err != nil {
			return err
		}
	}
	debug.SetMemoryLimit(cfg.Memory / 4 * 3) // the rest is for stacks, the runtime and the kernel's part
	log = log.With("node", cfg.Name)
	counters := stats.New()
	node := daemon.New(cfg, first, counters, log)
	go func() {
		<-node.Started()
		for s := range e.signals {
			switch s {
			case syscall.SIGUSR1:
				node.Report()
			case syscall.SIGHUP:
				reload(e, cfg, node, log)
				c.reloadLayout(node, log)
			default:
				node.Drain()
			}
		}
	}()
	err = node.Run()
	log.Info("counters", "counters", counters)
	if err != nil {
		return &exitError{exitServe, err}
	}
	return nil
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

// reload reads the configuration again. One that is at fault changes nothing.
func reload(e environment, cfg *config.Config, node *netio.Node, log *slog.Logger) {
	next, err := config.Reload(e.getenv)
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
