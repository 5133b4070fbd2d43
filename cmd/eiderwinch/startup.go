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
	"eiderwinch/internal/configuration/manager"
	"eiderwinch/internal/configuration/signature"
	"eiderwinch/internal/daemon"
	"eiderwinch/internal/durable"
	"eiderwinch/internal/format/config"
	"eiderwinch/internal/format/settings"
	"eiderwinch/internal/netio"
)

// configFiles names the files of a gatherer's configuration.
type configFiles struct {
	platform, operators string
	layout              string // named by the operators' file or --layout; empty if there is none
}

// The files are read until two consecutive reads return the same, with readPause in between and at most readAttempts
// repetitions: a program that overwrites a file in place takes some milliseconds.
const (
	readAttempts = 10
	readPause    = 20 * time.Millisecond
)

// readSigned reads the files, and the signature in FILE.sig next to the operators' file FILE, if there is one.
func (f configFiles) readSigned() (b bundle.Bundle, sig string, err error) {
	if b, err = f.read(); err != nil {
		return b, "", err
	}
	text, err := durable.ReadFile(f.operators + ".sig")
	if errors.Is(err, fs.ErrNotExist) {
		return b, "", nil
	}
	return b, string(text), err
}

// signatureVerifier returns a function that verifies signatures with the keys of a file. The file is read for each
// verification, so that keys can change without a restart.
func signatureVerifier(path string) func(change.Hash, string) error {
	return func(hash change.Hash, sig string) error {
		keys, err := readKeys(path)
		if err != nil {
			return err
		}
		return keys.Verify(time.Now(), hash[:], sig)
	}
}

// readKeys reads a key file.
func readKeys(path string) (*signature.Keys, error) {
	text, err := durable.ReadFile(path)
	if err != nil {
		return nil, err
	}
	return signature.Read(path, bytes.NewReader(text))
}

// read reads the files until they stop changing, since one may be replaced while it is being read.
func (f configFiles) read() (bundle.Bundle, error) {
	return readUntilStable(f.readOnce, func() { time.Sleep(readPause) })
}

// readUntilStable calls read until two consecutive calls return the same.
func readUntilStable(read func() (bundle.Bundle, error), pause func()) (bundle.Bundle, error) {
	last, err := read()
	for range readAttempts {
		pause()
		next, nextErr := read()
		if err == nil && nextErr == nil && next.Hash() == last.Hash() {
			return next, nil
		}
		last, err = next, nextErr
	}
	if err != nil {
		return bundle.Bundle{}, err
	}
	return bundle.Bundle{}, errors.New("the configuration files kept changing while they were read")
}

// readOnce reads each file once.
func (f configFiles) readOnce() (b bundle.Bundle, err error) {
	var errs []error
	for path, text := range map[string]*[]byte{f.platform: &b.Platform, f.operators: &b.Operators} {
		contents, err := durable.ReadFile(path)
		*text, errs = contents, append(errs, err)
	}
	if err := errors.Join(errs...); err != nil {
		return bundle.Bundle{}, err
	}
	// The operators' file may name another layout than it did at the start.
	path := f.layout
	if ops, err := settings.Read(f.operators, bytes.NewReader(b.Operators)); err == nil && ops.Layout != "" {
		path = resolveRelative(f.operators, ops.Layout)
	}
	if path != "" {
		b.Layout, err = durable.ReadFile(path)
	}
	return b, err
}

// names returns the names by which error messages refer to the files.
func (f configFiles) names() bundle.Names {
	return bundle.Names{Platform: f.platform, Operators: f.operators, Layout: orDefault(f.layout, "layout")}
}

// orDefault returns s, or fallback if s is empty.
func orDefault(s, fallback string) string {
	if s == "" {
		return fallback
	}
	return s
}

// bootState is the configuration with which a gatherer with an operators' file starts.
type bootState struct {
	candidate  *bundle.Candidate
	files      change.Files // the files as they were read
	machine    *change.Machine
	history    *history.History // nil if changes are kept in memory only
	generation change.Generation
}

// boot reads the files, and the history if there is one. The history takes precedence, because the configuration in
// the files may never have been confirmed.
func boot(f configFiles, cfg *config.Config, log *slog.Logger) (*bootState, error) {
	b, err := f.read()
	if err != nil {
		return nil, &exitError{exitConfig, err}
	}
	c, err := bundle.Check(b, f.names())
	if err != nil {
		return nil, &exitError{exitConfig, err}
	}
	state := &bootState{candidate: c, files: c.Files(), generation: 1}
	defer func() {
		// The platform takes precedence, as it does without an operators' file.
		state.candidate.Config.TakePlatformValues(cfg)
	}()
	path := c.File.History
	if path == "" {
		log.Warn("configuration changes are kept in memory only: no history file is configured")
		state.machine = change.New(c.Hash, change.Limits{})
		return state, nil
	}
	var h *history.History
	err = durable.RetryTransient(durable.StartTimeout, func() error {
		h, err = history.Open(resolveRelative(f.operators, path))
		return err
	})
	if err != nil {
		return nil, &exitError{exitFailure, err}
	}
	if err := state.recoverHistory(h, f, log); err != nil {
		return nil, &exitError{exitFailure, errors.Join(err, h.Close())}
	}
	state.history = h
	return state, nil
}

// recoverHistory continues from a history: it undoes changes that were not confirmed, and uses the last confirmed
// configuration.
func (b *bootState) recoverHistory(h *history.History, f configFiles, log *slog.Logger) error {
	write := func(records []change.Record) error {
		return durable.RetryAtStart(log, "records of configuration changes", func() error { return h.Append(records, nil) })
	}
	base, records, err := h.Load()
	if errors.Is(err, history.ErrEmpty) {
		b.machine = change.New(b.candidate.Hash, change.Limits{})
		base, _ := b.machine.Base()
		return durable.RetryAtStart(log, "new history", func() error { return h.SetBase(base, b.candidate.Bundle) })
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
			log.Warn("interrupted configuration change undone", "transaction", uint64(r.Tx), "reason", r.Reason)
		}
	}
	// Only the text of a staged configuration is recorded. It would have to be checked again before it could be
	// applied, so the change is undone.
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
	if b.generation, hash = m.Confirmed(); hash == b.candidate.Hash {
		return nil
	}
	text, err := h.Text(hash)
	if err != nil {
		return err
	}
	if b.candidate, err = bundle.Check(text, f.names()); err != nil {
		return err
	}
	if b.candidate.Files().Subject != b.files.Subject {
		log.Warn("the files differ from the last confirmed configuration, which stays in force: reload to apply them",
			"generation", uint64(b.generation), "hash", fmt.Sprintf("%x", hash[:8]))
	}
	return nil
}

// initialLive returns the live settings that the gatherer starts with.
func (b *bootState) initialLive() *netio.LiveSettings {
	l := daemon.LiveSettings(b.candidate, b.generation)
	return &l
}

// startManager starts the manager of a gatherer's configuration.
func (b *bootState) startManager(ctx context.Context, f configFiles, node *netio.Node, platform *platformReloader, level *slog.LevelVar, log *slog.Logger) *manager.Manager {
	o := manager.Options{
		Node:           node,
		Initial:        b.candidate,
		AtStart:        b.files,
		Machine:        b.machine,
		Names:          f.names(),
		FollowPlatform: platform.reload,
		ReadFiles:      f.readSigned,
		LiveSettings:   daemon.LiveSettings,
		ReloadFailed:   func(err error) { reportReload(node, log, err) },
		Applied:        func(c *bundle.Candidate) { level.Set(logLevel(c)) },
		Logger:         log,
	}
	if b.history != nil {
		o.History = b.history
	}
	if path := b.candidate.File.Signing; path != "" {
		o.Verify = signatureVerifier(resolveRelative(f.operators, path))
	}
	return manager.Start(ctx, o)
}

// logLevel returns the log level that a configuration names, or info if it names none.
func logLevel(c *bundle.Candidate) slog.Level {
	names := []string{"debug", "info", "warn", "error"}
	levels := []slog.Level{slog.LevelDebug, slog.LevelInfo, slog.LevelWarn, slog.LevelError}
	if i := slices.Index(names, c.File.LiveOverrides.Log); i >= 0 {
		return levels[i]
	}
	return slog.LevelInfo
}
