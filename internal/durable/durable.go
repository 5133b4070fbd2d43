// Package durable has writes to disk, and the files behind them, bear failures that pass: a disk that is full
// or returns errors for a while, and a process that was killed while it made a file.
package durable

import (
	"context"
	"errors"
	"fmt"
	"io/fs"
	"log/slog"
	"math/rand/v2"
	"os"
	"path/filepath"
	"syscall"
	"time"

	"go.etcd.io/bbolt"

	"eiderwinch/internal/format/sealed"
)

// Waits between tries.
const (
	leastWait  = 10 * time.Millisecond
	mostWait   = 500 * time.Millisecond
	tellAgain  = 10 * time.Second // how often a write that keeps failing is logged
	unfinished = ".new"           // behind the name of a file that is being made
)

// ErrPermanent is part of errors that trying again can't help: what is to be written is itself at fault.
var ErrPermanent = errors.New("permanent")

// Retry calls write until it succeeds, fails with ErrPermanent, or ctx ends; then it returns the last error.
// It is for the goroutine that owns what is written: nothing that depends on the write happens meanwhile.
func Retry(ctx context.Context, log *slog.Logger, what string, write func() error) error {
	var began, told time.Time
	for wait, fails := leastWait, 1; ; wait, fails = min(2*wait, mostWait), fails+1 {
		err := write()
		now := time.Now()
		if err == nil {
			if fails > 1 {
				log.Info("written at last", "what", what, "fails", fails-1, "after", now.Sub(began))
			}
			return nil
		}
		if permanent(err) {
			return err
		}
		if fails == 1 {
			began = now
		}
		if now.Sub(told) >= tellAgain {
			told = now
			log.Error("a write fails; it is tried again", "what", what, "fails", fails, "err", err)
		}
		select {
		case <-ctx.Done():
			return err
		case <-time.After(wait/2 + rand.N(wait)):
		}
	}
}

// permanent tells whether an error is of what is written, or of a file that is not open for writing any more.
func permanent(err error) bool {
	for _, at := range [...]error{ErrPermanent, sealed.ErrDamaged, bbolt.ErrDatabaseNotOpen, bbolt.ErrDatabaseReadOnly} {
		if errors.Is(err, at) {
			return true
		}
	}
	return false
}

// StartTime is how long a process that starts tries to write and to open what it needs.
const StartTime = 20 * time.Second

// AtStart is Retry for a process that starts.
func AtStart(log *slog.Logger, what string, write func() error) error {
	ctx, stop := context.WithTimeout(context.Background(), StartTime)
	defer stop()
	return Retry(ctx, log, what, write)
}

// Transient tells whether a file may be read or opened a little later: an error of the disk or of the system's
// means, and none of the file's name or rights.
func Transient(err error) bool {
	var number syscall.Errno
	if !errors.As(err, &number) {
		return false
	}
	switch number {
	case syscall.EINTR, syscall.EAGAIN, syscall.EIO, syscall.ENOSPC, syscall.EDQUOT, syscall.ENOMEM,
		syscall.ENOBUFS, syscall.EMFILE, syscall.ENFILE, syscall.EBUSY, syscall.ESTALE, syscall.ETIMEDOUT:
		return true
	}
	return false
}

// Within calls f again while it fails with an error that Transient names, for so long at the most.
func Within(most time.Duration, f func() error) error {
	end := time.Now().Add(most)
	for wait := leastWait; ; wait = min(2*wait, mostWait) {
		err := f()
		if err == nil || !Transient(err) || time.Now().Add(wait).After(end) {
			return err
		}
		time.Sleep(wait/2 + rand.N(wait))
	}
}

// ReadTime is how long a file is tried to be read.
const ReadTime = 5 * time.Second

// ReadFile reads a file, again where the disk or the system fails for a while.
func ReadFile(path string) (text []byte, err error) {
	err = Within(ReadTime, func() error {
		text, err = os.ReadFile(path)
		return err
	})
	return text, err
}

// OpenBolt opens a bbolt file, or makes one. A new file gets its name once it is whole and on disk, so that a
// process killed meanwhile leaves none that can't be opened.
func OpenBolt(path string, options *bbolt.Options) (*bbolt.DB, error) {
	_, err := os.Stat(path)
	if errors.Is(err, fs.ErrNotExist) {
		err = makeBolt(path, options)
	}
	if err != nil {
		return nil, err
	}
	return bbolt.Open(path, 0o600, options)
}

func makeBolt(path string, options *bbolt.Options) error {
	fresh := path + unfinished
	if err := os.Remove(fresh); err != nil && !errors.Is(err, fs.ErrNotExist) {
		return err
	}
	db, err := bbolt.Open(fresh, 0o600, options)
	if err != nil {
		return err
	}
	if err := errors.Join(db.Sync(), db.Close()); err != nil {
		return err
	}
	// A link fails where another process has made the file meanwhile, which a rename would replace.
	if err := os.Link(fresh, path); err != nil && !errors.Is(err, fs.ErrExist) {
		return err
	}
	if err := os.Remove(fresh); err != nil {
		return err
	}
	return syncFolder(filepath.Dir(path))
}

func syncFolder(path string) error {
	folder, err := os.Open(path)
	if err != nil {
		return err
	}
	if err := errors.Join(folder.Sync(), folder.Close()); err != nil {
		return fmt.Errorf("folder %s: %w", path, err)
	}
	return nil
}
