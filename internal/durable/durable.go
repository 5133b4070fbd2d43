// Package durable makes file access tolerate transient failures: a disk that is full or returns errors for a while,
// and a process that was killed while it created a file. It does not know what the files contain.
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
	bolterrors "go.etcd.io/bbolt/errors"

	"eiderwinch/internal/format/sealed"
)

const (
	minWait         = 10 * time.Millisecond // mean wait after the first failed try; doubled after each further one
	maxWait         = 500 * time.Millisecond
	logInterval     = 10 * time.Second // between log lines on a write that keeps failing
	temporarySuffix = ".new"           // appended to the name of a file that is being created
)

// ErrPermanent marks errors that retrying can't fix, because the data to be written is itself invalid.
var ErrPermanent = errors.New("permanent")

// Retry calls write until it succeeds, fails with a permanent error such as ErrPermanent, or ctx ends; in the last two
// cases it returns the last error. It blocks the goroutine that owns the data, so that nothing that depends on the
// write happens before it.
func Retry(ctx context.Context, log *slog.Logger, what string, write func() error) error {
	var firstFailure, lastLogged time.Time
	for wait, tries := minWait, 1; ; wait, tries = min(2*wait, maxWait), tries+1 {
		err := write()
		now := time.Now()
		if err == nil {
			if tries > 1 {
				log.Info("write succeeded after retries", "what", what, "fails", tries-1, "after", now.Sub(firstFailure))
			}
			return nil
		}
		if isPermanent(err) {
			return err
		}
		if tries == 1 {
			firstFailure = now
		}
		if now.Sub(lastLogged) >= logInterval {
			lastLogged = now
			log.Error("a write fails; it is tried again", "what", what, "fails", tries, "err", err)
		}
		select {
		case <-ctx.Done():
			return err
		case <-time.After(wait/2 + rand.N(wait)):
		}
	}
}

// isPermanent reports whether an error is caused by the data, or by a file that is no longer open for writing.
func isPermanent(err error) bool {
	for _, target := range [...]error{ErrPermanent, sealed.ErrDamaged, bolterrors.ErrDatabaseNotOpen, bolterrors.ErrDatabaseReadOnly} {
		if errors.Is(err, target) {
			return true
		}
	}
	return false
}

// StartTimeout bounds the time in which a starting process retries to write, and to open what it needs.
const StartTimeout = 20 * time.Second

// RetryAtStart calls Retry for at most StartTimeout. It is for processes that are starting.
func RetryAtStart(log *slog.Logger, what string, write func() error) error {
	ctx, stop := context.WithTimeout(context.Background(), StartTimeout)
	defer stop()
	return Retry(ctx, log, what, write)
}

// IsTransient reports whether reading or opening a file may succeed a little later: the error comes from the disk or
// from a shortage of system resources, not from the file's name or permissions.
func IsTransient(err error) bool {
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

// RetryTransient retries f while it fails with a transient error, for at most the given time. It returns the last error.
func RetryTransient(timeout time.Duration, f func() error) error {
	end := time.Now().Add(timeout)
	for wait := minWait; ; wait = min(2*wait, maxWait) {
		err := f()
		if err == nil || !IsTransient(err) || time.Now().Add(wait).After(end) {
			return err
		}
		time.Sleep(wait/2 + rand.N(wait))
	}
}

// ReadTimeout bounds the time in which ReadFile retries.
const ReadTimeout = 5 * time.Second

// ReadFile reads a file, and retries after transient errors.
func ReadFile(path string) (text []byte, err error) {
	err = RetryTransient(ReadTimeout, func() error {
		text, err = os.ReadFile(path)
		return err
	})
	return text, err
}

// OpenBolt opens a bbolt file, or creates one. A new file gets its name only when it is complete and on disk, so that
// a process that is killed meanwhile leaves no file that can't be opened.
func OpenBolt(path string, options *bbolt.Options) (*bbolt.DB, error) {
	_, err := os.Stat(path)
	if errors.Is(err, fs.ErrNotExist) {
		err = createBolt(path, options)
	}
	if err != nil {
		return nil, err
	}
	return bbolt.Open(path, 0o600, options)
}

func createBolt(path string, options *bbolt.Options) error {
	temporary := path + temporarySuffix
	if err := os.Remove(temporary); err != nil && !errors.Is(err, fs.ErrNotExist) {
		return err
	}
	db, err := bbolt.Open(temporary, 0o600, options)
	if err != nil {
		return err
	}
	if err := errors.Join(db.Sync(), db.Close()); err != nil {
		return err
	}
	// A link fails if another process has created the file meanwhile. A rename would replace that file.
	if err := os.Link(temporary, path); err != nil && !errors.Is(err, fs.ErrExist) {
		return err
	}
	if err := os.Remove(temporary); err != nil {
		return err
	}
	return syncDirectory(filepath.Dir(path))
}

func syncDirectory(path string) error {
	directory, err := os.Open(path)
	if err != nil {
		return err
	}
	if err := errors.Join(directory.Sync(), directory.Close()); err != nil {
		return fmt.Errorf("directory %s: %w", path, err)
	}
	return nil
}
