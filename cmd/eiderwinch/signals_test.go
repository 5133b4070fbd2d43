package main

import (
	"bytes"
	"fmt"
	"os"
	"path/filepath"
	"syscall"
	"testing"

	"eiderwinch/internal/trial/testpeer"
)

// A reload reads files, and these may be slow. An end must wait for none, however many reloads were asked for
// before it: a signal that finds no place is lost, and the kill comes all the same.
func TestShutdownIsNotDelayedByReloads(t *testing.T) {
	s, d := testpeer.NewSearcher(t), testpeer.NewDiscovery(t)
	p := launch(t, buildProgram(t), fmt.Sprintf(configText, d.Addr, testpeer.Member("s", s.Addr, "Ready", 0), settingsText))
	p.waitForLog(t, "msg=serving")
	if err := os.Remove(p.file); err != nil {
		t.Fatal(err)
	}
	if err := syscall.Mkfifo(p.file, 0o600); err != nil {
		t.Fatal(err)
	}
	_ = p.Process.Signal(syscall.SIGHUP)
	var writer *os.File
	testpeer.Until(t, "the file is being read", func() (ok bool) {
		var err error
		writer, err = os.OpenFile(p.file, os.O_WRONLY|syscall.O_NONBLOCK, 0) // only beside a reader
		return err == nil
	})
	defer writer.Close() // nothing is written, so that the reload goes on
	for range 20 {
		_ = p.Process.Signal(syscall.SIGHUP)
		_ = p.Process.Signal(syscall.SIGUSR1)
		p.waitForLog(t, "msg=counters") // the signal has been taken
	}
	_ = p.Process.Signal(syscall.SIGTERM)
	p.waitForLog(t, "msg=draining")
	_ = p.Process.Signal(syscall.SIGTERM) // once more changes nothing
	for range p.lines {
	}
	if err := p.Wait(); err != nil {
		t.Errorf("it ended with %v", err)
	}
}

// Signals that come before the loop runs wait for it.
func TestSignalsBeforeStartAreHandled(t *testing.T) {
	d := testpeer.NewDiscovery(t)
	file := filepath.Join(t.TempDir(), "config.json")
	if err := os.WriteFile(file, []byte(fmt.Sprintf(configText, d.Addr, "", settingsText)), 0o600); err != nil {
		t.Fatal(err)
	}
	var out, log bytes.Buffer
	e := environment{stdout: &out, stderr: &log, getenv: func(name string) string {
		if name == "LB_CONFIG" {
			return file
		}
		return ""
	}}
	signals := func(s os.Signal) <-chan os.Signal {
		c := make(chan os.Signal, 1)
		c <- s
		return c
	}
	e.signals, e.reloads, e.reports = signals(syscall.SIGTERM), signals(syscall.SIGHUP), signals(syscall.SIGUSR1)
	done := make(chan int, 1)
	go func() { done <- run(nil, e) }()
	if code := testpeer.Get(t, done, "the end"); code != exitOK || !bytes.Contains(log.Bytes(), []byte("msg=draining")) {
		t.Errorf("it ended with %d: %s", code, log.String())
	}
}
