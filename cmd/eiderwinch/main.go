// Command eiderwinch is one real gatherer: it takes queries from clients,
// sends their parts to searchers and answers. The environment tells it where
// its configuration is, see package config.
package main

import (
	"fmt"
	"log/slog"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"

	"eiderwinch"
	"eiderwinch/internal/config"
	"eiderwinch/internal/gatherer"
	"eiderwinch/internal/netio"
	"eiderwinch/internal/stats"
)

// Exit codes.
const (
	exitOK     = 0
	exitServe  = 1 // it could not serve
	exitConfig = 2 // the configuration is at fault
)

func main() { os.Exit(run()) }

func run() int {
	// Before all else: until then SIGHUP would end the process.
	signals := make(chan os.Signal, 8)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP, syscall.SIGUSR1)
	log := slog.New(slog.NewTextHandler(os.Stderr, nil))
	cfg, err := config.Load(os.Getenv)
	if err != nil {
		fmt.Fprintln(os.Stderr, "eiderwinch: configuration:", err)
		return exitConfig
	}
	debug.SetMemoryLimit(cfg.Memory / 4 * 3) // the rest is for stacks, the runtime and the kernel's part
	log = log.With("node", cfg.Name)
	counters := stats.New()
	limits := cfg.Settings.Limits
	node := netio.New(netio.Config{
		Listen: cfg.Listen, Discovery: cfg.Discovery, Known: cfg.Known, Sockets: cfg.Sockets,
		Multiplex: limits.Multiplex, ConnectTimeout: limits.ConnectTimeout, ConnIdle: limits.ConnIdle,
		Gatherer: gatherer.Settings{
			Module: cfg.Settings.Module, Tick: limits.Tick, MaxOpen: limits.MaxOpen, DrainGrace: limits.DrainGrace,
		},
	}, eiderwinch.New(cfg.Settings.Module), counters, log)

	go func() {
		<-node.Started()
		for s := range signals {
			switch s {
			case syscall.SIGUSR1:
				node.Report()
			case syscall.SIGHUP:
				reload(cfg, node, log)
			default:
				node.Drain()
			}
		}
	}()
	err = node.Run()
	log.Info("counters", "counters", counters)
	if err != nil {
		log.Error("can't serve", "err", err)
		return exitServe
	}
	return exitOK
}

// reload reads the configuration again. One that is at fault changes nothing.
func reload(cfg *config.Config, node *netio.Node, log *slog.Logger) {
	next, err := config.Reload(os.Getenv)
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
