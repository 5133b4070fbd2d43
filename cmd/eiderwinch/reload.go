package main

import (
	"errors"
	"log/slog"
	"slices"
	"sync"
	"time"

	"eiderwinch/internal/configuration/manager"
	"eiderwinch/internal/durable"
	"eiderwinch/internal/format/config"
	"eiderwinch/internal/netio"
)

// A reload is retried for reloadTimeout while reading fails with transient errors. A file that can be read but is invalid
// may be half written, so it is read again for contentTimeout.
const (
	reloadTimeout        = time.Minute
	contentTimeout       = time.Second
	contentRetryInterval = 50 * time.Millisecond
)

// platformReloader reads the platform's configuration file again and follows discovery to the address in it. It is the
// only one that moves discovery, with an operators' file and without one.
type platformReloader struct {
	getenv  func(string) string
	started *config.Config // the configuration at the start
	node    *netio.Node
	log     *slog.Logger
	managed bool // the settings change by transactions

	mu       sync.Mutex // guards the fields below; not held while the file is read, since a read may hang
	begun    uint64     // number of the read that has begun last
	followed uint64     // number of the read that was followed last
}

// reload reads the file until it is valid, reading fails with a transient error, or contentTimeout has passed. An invalid
// file changes nothing.
func (r *platformReloader) reload() error {
	for end := time.Now().Add(contentTimeout); ; time.Sleep(contentRetryInterval) {
		err := r.readOnce()
		if err == nil || durable.IsTransient(err) || time.Now().After(end) {
			return err
		}
	}
}

// readOnce reads the file once and follows discovery to its address.
func (r *platformReloader) readOnce() error {
	number := r.begin()
	next, err := config.Reload(r.getenv)
	if err != nil {
		return err
	}
	if r.follow(number, next.Discovery) {
		r.report(next)
	}
	return nil
}

// begin returns the number of a read that is about to begin.
func (r *platformReloader) begin() uint64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.begun++
	return r.begun
}

// follow follows discovery to the address that a read has found, unless a read that began later was followed already.
func (r *platformReloader) follow(number uint64, discovery string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if number < r.followed {
		return false
	}
	r.followed = number
	r.node.FollowDiscovery(discovery)
	return true
}

// report logs what becomes of a file that was followed.
func (r *platformReloader) report(next *config.Config) {
	keys := r.started.PendingRestart(next)
	message := "configuration reloaded"
	if r.managed {
		keys = slices.DeleteFunc(keys, func(key string) bool { return key == config.SettingsKey })
		message = "platform's file read again"
	}
	if len(keys) > 0 {
		r.log.Warn("these keys take effect at the next start", "keys", keys)
	}
	r.log.Info(message, "discovery", next.Discovery)
}

// retryReload repeats a reload while it fails with transient errors.
func retryReload(node *netio.Node, log *slog.Logger, reload func() error) {
	if err := durable.RetryTransient(reloadTimeout, reload); err != nil {
		reportReload(node, log, err)
	}
}

// reportReload logs why a reload has failed or has to wait, and counts it if it has failed.
func reportReload(node *netio.Node, log *slog.Logger, err error) {
	if errors.Is(err, manager.ErrWaits) {
		log.Warn("configuration not reloaded yet", "err", err)
		return
	}
	log.Error("configuration not reloaded, the old one stays", "err", err)
	node.ReloadFailed()
}
