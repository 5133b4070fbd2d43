// Package daemon builds a gatherer from its configuration, for all commands and
// tests that run one. It connects the gatherer's parts and converts settings for them;
// it neither reads files nor runs the gatherer.
package daemon

import (
	"cmp"
	"log/slog"
	"time"

	"eiderwinch"
	"eiderwinch/internal/configuration/bundle"
	"eiderwinch/internal/configuration/change"
	"eiderwinch/internal/format/config"
	"eiderwinch/internal/gatherer"
	"eiderwinch/internal/layout"
	"eiderwinch/internal/netio"
	"eiderwinch/internal/querystats"
	"eiderwinch/internal/stats"
)

// Options configure a gatherer beyond its configuration file.
type Options struct {
	Layout       *layout.Layout      // nil: the platform's cells determine which searchers hold which shards
	LiveSettings *netio.LiveSettings // the settings that can change while the gatherer runs; nil: those of the configuration
	Record       bool                // record the results of queries, for the admin socket
	NoShareUntil time.Time           // until when no slot of the fleet's limits may be used; zero: the gatherer's own slot may be used from the start
	ClientMemory int                 // bytes that clients may make the gatherer hold; 0 selects a share of the memory limit
	ReportEvery  time.Duration       // interval at which the counters are logged; 0 means only on request
}

// New returns a gatherer, which is started with its Run method.
func New(cfg *config.Config, o Options, counters *stats.Counters, log *slog.Logger) *netio.Node {
	limits := cfg.Settings.Limits
	var recorder *querystats.Recorder
	if o.Record {
		var names []string
		for _, c := range cfg.Settings.Module.Classes {
			names = append(names, c.Name)
		}
		recorder = querystats.New(names)
	}
	live := netio.LiveSettings{Multiplex: limits.Multiplex, ConnectTimeout: limits.ConnectTimeout, ConnIdle: limits.ConnIdle}
	if o.LiveSettings != nil {
		live = *o.LiveSettings
	}
	return netio.New(netio.Config{
		Listen: cfg.Listen, Discovery: cfg.Discovery, InitialMembers: cfg.KnownMembers, MemoryLimit: cfg.MemoryLimit, ClientMemory: o.ClientMemory, MaxDescriptors: cfg.SocketLimit,
		ReportEvery: o.ReportEvery, Multiplex: live.Multiplex, ConnectTimeout: live.ConnectTimeout, ConnIdle: live.ConnIdle,
		DrainGrace: limits.DrainGrace, AnswerSlack: limits.AnswerSlack, NoShareUntil: o.NoShareUntil,
		Gatherer: gatherer.Settings{
			Module: cfg.Settings.Module, Tick: limits.Tick, MaxOpen: limits.MaxOpen,
			Layout: o.Layout, LiveSettings: live.Core, Recorder: recorder,
		},
	}, eiderwinch.New(cfg.Settings.Module), counters, log)
}

// LiveSettings returns the live settings of a candidate, for the given generation. Values in
// c.File.LiveOverrides that are not zero override the limits in c.Config.
func LiveSettings(c *bundle.Candidate, gen change.Generation) netio.LiveSettings {
	limits, overrides := c.Config.Settings.Limits, c.File.LiveOverrides
	core := &gatherer.LiveSettings{Generation: uint64(gen), MaxOpen: cmp.Or(overrides.Admission.Open, limits.MaxOpen)}
	core.Classes = make([]gatherer.ClassLimits, len(c.Config.Settings.Module.Classes))
	for i, k := range c.Config.Settings.Module.Classes {
		for _, o := range overrides.Classes {
			if o.Name == k.Name {
				core.Classes[i] = gatherer.ClassLimits{MaxDuration: o.Timeout, Attempts: o.Attempts, MaxOpen: o.Open}
			}
		}
	}
	return netio.LiveSettings{
		Core: core, Multiplex: cmp.Or(overrides.Pools.Multiplex, limits.Multiplex),
		ConnectTimeout: cmp.Or(overrides.Pools.ConnectTimeout, limits.ConnectTimeout), ConnIdle: cmp.Or(overrides.Pools.Idle, limits.ConnIdle),
		Layout: c.Layout,
	}
}
