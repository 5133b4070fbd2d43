package main

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io/fs"
	"log/slog"
	"slices"
	"time"

	"eiderwinch/internal/configuration/bundle"
	"eiderwinch/internal/configuration/change"
	"eiderwinch/internal/configuration/history"
	"eiderwinch/internal/configuration/keeper"
	"eiderwinch/internal/configuration/signature"
	"eiderwinch/internal/daemon"
	"eiderwinch/internal/durable"
	"eiderwinch/internal/format/config"
	"eiderwinch/internal/format/settings"
	"eiderwinch/internal/netio"
)

// files are the files of a gatherer's configuration.
type files struct {
	platform, operators string
	layout              string // as the operators' file or --layout names it
}

// How often files are read until they are the same twice, and how long in between.
// Whoever replaces a file by writing into it takes some milliseconds.
const (
	readTries = 10
	readPause = 20 * time.Millisecond
)

// signed reads the files, and the signature that lies beside the operators' file
// as FILE.sig where there is one.
func (f files) signed() (b bundle.Bundle, sig string, err error) {
	if b, err = f.read(); err != nil {
		return b, "", err
	}
	text, err := durable.ReadFile(f.operators + ".sig")
	if errors.Is(err, fs.ErrNotExist) {
		return b, "", nil
	}
	return b, string(text), err
}

// verifier checks signatures with the keys of a file, which is read each time: keys
// change without a restart.
func verifier(path string) func(change.Hash, string) error {
	return func(hash change.Hash, sig string) error {
		keys, err := readKeys(path)
		if err != nil {
			return err
		}
		return keys.Verify(time.Now(), hash[:], sig)
	}
}

func readKeys(path string) (*signature.Keys, error) {
	text, err := durable.ReadFile(path)
	if err != nil {
		return nil, err
	}
	return signature.Read(path, bytes.NewReader(text))
}

// read reads the files until nothing changes any more: one may be replaced while
// it is being read.
func (f files) read() (bundle.Bundle, error) {
	return stable(f.readOnce, func() { time.Sleep(readPause) })
}

// stable reads until two readings one after the other are the same.
func stable(read func() (bundle.Bundle, error), pause func()) (bundle.Bundle, error) {
	last, err := read()
	for range readTries {
		pause()
		b, again := read()
		if err == nil && again == nil && b.Hash() == last.Hash() {
			return b, nil
		}
		last, err = b, again
	}
	if err != nil {
		return bundle.Bundle{}, err
	}
	return bundle.Bundle{}, errors.New("the configuration is being replaced while it is read")
}

func (f files) readOnce() (b bundle.Bundle, err error) {
	var errs []error
	for path, text := range map[string]*[]byte{f.platform: &b.Platform, f.operators: &b.Operators} {
		read, err := durable.ReadFile(path)
		*text, errs = read, append(errs, err)
	}
	if err := errors.Join(errs...); err != nil {
		return bundle.Bundle{}, err
	}
	// The operators' file may name another layout by now.
	path := f.layout
	if ops, err := settings.Read(f.operators, bytes.NewReader(b.Operators)); err == nil && ops.Layout != "" {
		path = beside(f.operators, ops.Layout)
	}
	if path != "" {
		b.Layout, err = durable.ReadFile(path)
	}
	return b, err
}

func (f files) names() bundle.Names {
	return bundle.Names{Platform: f.platform, Operators: f.operators, Layout: cmpOr(f.layout, "layout")}
}

func cmpOr(s, or string) string {
	if s == "" {
		return or
	}
	return s
}

// booted is what a gatherer with an operators' file starts with.
type booted struct {
	candidate *bundle.Candidate
	machine   *change.Machine
	history   *history.History // nil: in memory
	gen       change.Generation
}

// boot reads the files, and the history where there is one: that has the last
// word, since what the files hold may never have been confirmed.
func boot(f files, cfg *config.Config, log *slog.Logger) (*booted, error) {
	b, err := f.read()
	if err != nil {
		return nil, &exitError{exitConfig, err}
	}
	c, err := bundle.Check(b, f.names())
	if err != nil {
		return nil, &exitError{exitConfig, err}
	}
	out := &booted{candidate: c, gen: 1}
	defer func() {
		// What the environment says wins, as without an operators' file.
		out.candidate.Config.Name, out.candidate.Config.Listen, out.candidate.Config.Discovery = cfg.Name, cfg.Listen, cfg.Discovery
		out.candidate.Config.Sockets, out.candidate.Config.Memory = cfg.Sockets, cfg.Memory
		out.candidate.Config.Settings.Module.Seed = cfg.Settings.Module.Seed
	}()
	path := c.File.History
	if path == "" {
		log.Warn("changes of the configuration are in memory only: there is no history file")
		out.machine = change.New(c.Hash, change.Limits{})
		return out, nil
	}
	var h *history.History
	err = durable.Within(durable.StartTime, func() error {
		h, err = history.Open(beside(f.operators, path))
		return err
	})
	if err != nil {
		return nil, &exitError{exitServe, err}
	}
	if err := out.recover(h, f, log); err != nil {
		return nil, &exitError{exitServe, errors.Join(err, h.Close())}
	}
	out.history = h
	return out, nil
}

// recover goes on from a history.
func (b *booted) recover(h *history.History, f files, log *slog.Logger) error {
	write := func(records []change.Record) error {
		return durable.AtStart(log, "records of configuration changes", func() error { return h.Append(records, nil) })
	}
	base, records, err := h.Load()
	if errors.Is(err, history.ErrEmpty) {
		b.machine = change.New(b.candidate.Hash, change.Limits{})
		base, _ := b.machine.Base()
		return durable.AtStart(log, "new history", func() error { return h.Begin(base, b.candidate.Bundle) })
	}
	if err != nil {
		return err
	}
	m, result, err := change.Recover(time.Now(), base, change.Limits{}, records)
	if err != nil {
		return err
	}
	if err := write(result.Records); err != nil {
		return err
	}
	for _, r := range result.Records {
		if r.State == change.Undone {
			log.Warn("a configuration change was cut short, and is undone", "transaction", uint64(r.Tx), "reason", r.Reason)
		}
	}
	// What was staged is known by its text only, and checked anew where it is applied.
	for _, t := range m.Txs() {
		if t.State == change.Staged {
			r := m.Step(time.Now(), change.Undo{Tx: t.Tx, Reason: "the process ended"})
			if err := write(r.Records); err != nil {
				return err
			}
		}
	}
	b.machine = m
	var hash change.Hash
	if b.gen, hash = m.Confirmed(); hash == b.candidate.Hash {
		return nil
	}
	log.Warn("the files differ from the last confirmed configuration, which stays in force: reload to apply them",
		"generation", uint64(b.gen), "hash", fmt.Sprintf("%x", hash[:8]), "files", fmt.Sprintf("%x", b.candidate.Hash[:8]))
	text, err := h.Text(hash)
	if err != nil {
		return err
	}
	b.candidate, err = bundle.Check(text, f.names())
	return err
}

// live is what the gatherer begins with.
func (b *booted) live() *netio.Live {
	l := daemon.Live(b.candidate, b.gen)
	return &l
}

// keep starts the keeper of a gatherer's configuration.
func (b *booted) keep(ctx context.Context, f files, node *netio.Node, level *slog.LevelVar, log *slog.Logger) *keeper.Keeper {
	o := keeper.Options{
		Node: node, Boot: b.candidate, Machine: b.machine, Names: f.names(), Read: f.signed, Live: daemon.Live, Logger: log,
		Applied: func(c *bundle.Candidate) { level.Set(logLevel(c)) },
	}
	if b.history != nil {
		o.History = b.history
	}
	if path := b.candidate.File.Signing; path != "" {
		o.Verify = verifier(beside(f.operators, path))
	}
	return keeper.Start(ctx, o)
}

// logLevel is the level that a configuration names.
func logLevel(c *bundle.Candidate) slog.Level {
	names := []string{"debug", "info", "warn", "error"}
	levels := []slog.Level{slog.LevelDebug, slog.LevelInfo, slog.LevelWarn, slog.LevelError}
	if i := slices.Index(names, c.File.Live.Log); i >= 0 {
		return levels[i]
	}
	return slog.LevelInfo
}
