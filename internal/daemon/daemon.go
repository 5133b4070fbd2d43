// Package daemon puts a gatherer together as its configuration says, for every
// command and test that runs one.
package daemon

import (
	"log/slog"

	"eiderwinch"
	"eiderwinch/internal/config"
	"eiderwinch/internal/gatherer"
	"eiderwinch/internal/layout"
	"eiderwinch/internal/netio"
	"eiderwinch/internal/stats"
)

// New returns a gatherer that is to be started with its Run. The layout may be
// nil: then the platform's cells say who holds what.
func New(cfg *config.Config, l *layout.Layout, counters *stats.Counters, log *slog.Logger) *netio.Node {
	limits := cfg.Settings.Limits
	return netio.New(netio.Config{
		Listen: cfg.Listen, Discovery: cfg.Discovery, Known: cfg.Known, Sockets: cfg.Sockets,
		Multiplex: limits.Multiplex, ConnectTimeout: limits.ConnectTimeout, ConnIdle: limits.ConnIdle,
		Gatherer: gatherer.Settings{
			Module: cfg.Settings.Module, Tick: limits.Tick, MaxOpen: limits.MaxOpen, DrainGrace: limits.DrainGrace, Layout: l,
		},
	}, eiderwinch.New(cfg.Settings.Module), counters, log)
}
