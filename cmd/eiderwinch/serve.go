package main

import (
	"fmt"
	"log/slog"
	"runtime/debug"
	"syscall"

	"eiderwinch"
	"eiderwinch/internal/config"
	"eiderwinch/internal/gatherer"
	"eiderwinch/internal/netio"
	"eiderwinch/internal/stats"
)

// serveCommand is one real gatherer. The environment tells it where its
// configuration is, see package config.
type serveCommand struct{}

// newNode puts a gatherer together as a configuration says.
func newNode(cfg *config.Config, counters *stats.Counters, log *slog.Logger) *netio.Node {
	limits := cfg.Settings.Limits
	return netio.New(netio.Config{
		Listen: cfg.Listen, Discovery: cfg.Discovery, Known: cfg.Known, Sockets: cfg.Sockets,
		Multiplex: limits.Multiplex, ConnectTimeout: limits.ConnectTimeout, ConnIdle: limits.ConnIdle,
		Gatherer: gatherer.Settings{
			Module: cfg.Settings.Module, Tick: limits.Tick, MaxOpen: limits.MaxOpen, DrainGrace: limits.DrainGrace,
		},
	}, eiderwinch.New(cfg.Settings.Module), counters, log)
}

// Run serves until a signal ends it.
func (serveCommand) Run(e environment) error {
	log := slog.New(slog.NewTextHandler(e.stderr, nil))
	cfg, err := config.Load(e.getenv)
	if err != nil {
		return &exitError{exitConfig, fmt.Errorf("configuration: %w", err)}
	}
	debug.SetMemoryLimit(cfg.Memory / 4 * 3) // the rest is for stacks, the runtime and the kernel's part
	log = log.With("node", cfg.Name)
	counters := stats.New()
	node := newNode(cfg, counters, log)
	go func() {
		<-node.Started()
		for s := range e.signals {
			switch s {
			case syscall.SIGUSR1:
				node.Report()
			case syscall.SIGHUP:
				reload(e, cfg, node, log)
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
