package durable

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"log/slog"
	"os"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"go.etcd.io/bbolt"
)

func TestRetryUntilTheWriteSucceeds(t *testing.T) {
	var log bytes.Buffer
	tries := 0
	err := Retry(context.Background(), slog.New(slog.NewTextHandler(&log, nil)), "records", func() error {
		if tries++; tries < 4 {
			return fmt.Errorf("commit: %w", syscall.ENOSPC)
		}
		return nil
	})
	if err != nil || tries != 4 {
		t.Errorf("%d tries, %v", tries, err)
	}
	if text := log.String(); strings.Count(text, "a write fails") != 1 || !strings.Contains(text, "fails=3") {
		t.Errorf("logged: %s", text)
	}
}

func TestRetryEndsOnPermanentErrorsAndTimeouts(t *testing.T) {
	log := slog.New(slog.DiscardHandler)
	tries := 0
	permanent := fmt.Errorf("too long: %w", ErrPermanent)
	if err := Retry(context.Background(), log, "", func() error { tries++; return permanent }); err != permanent || tries != 1 {
		t.Errorf("%d tries, %v", tries, err)
	}
	ctx, stop := context.WithTimeout(context.Background(), 50*time.Millisecond)
	defer stop()
	if err := Retry(ctx, log, "", func() error { return syscall.EIO }); !errors.Is(err, syscall.EIO) {
		t.Errorf("ended with %v", err)
	}
}

// Guards against a process that cannot start because an earlier one was killed while it created its database file: the
// incomplete file is created again.
func TestIncompleteNewFileIsCreatedAgain(t *testing.T) {
	path := filepath.Join(t.TempDir(), "log")
	if err := os.WriteFile(path+temporarySuffix, []byte("half a page"), 0o600); err != nil {
		t.Fatal(err)
	}
	for range 2 { // created, then opened again
		db, err := OpenBolt(path, &bbolt.Options{Timeout: time.Second})
		if err != nil {
			t.Fatal(err)
		}
		if err := db.Close(); err != nil {
			t.Error(err)
		}
	}
	if left, _ := filepath.Glob(path + "?*"); len(left) > 0 {
		t.Errorf("left behind: %v", left)
	}
}

func TestErrorsOfNamesAndPermissionsAreNotTransient(t *testing.T) {
	for err, want := range map[error]bool{
		syscall.EIO: true, syscall.ENOSPC: true, syscall.EMFILE: true, syscall.ENOENT: false, syscall.EACCES: false,
		errors.New("malformed"): false,
	} {
		if IsTransient(&os.PathError{Op: "open", Path: "p", Err: err}) != want {
			t.Errorf("%v: want %v", err, want)
		}
	}
}
