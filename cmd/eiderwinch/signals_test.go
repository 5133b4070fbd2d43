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

// A reload reads files, which may be slow. A shutdown must not wait for reloads, however many were requested before it.
// If they filled the channel of SIGTERM, that signal would be lost, and the process would be killed without draining.
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
	testpeer.WaitUntil(t, "the file is being read", func() (ok bool) {
		var err error
		writer, err = os.OpenFile(p.file, os.O_WRONLY|syscall.O_NONBLOCK, 0) // succeeds only while a reader has it open
		return err == nil
	})
	defer writer.Close() // nothing is written, so that the reload does not finish
	for range 20 {
		_ = p.Process.Signal(syscall.SIGHUP)
		_ = p.Process.Signal(syscall.SIGUSR1)
		p.waitForLog(t, "msg=counters") // the signal has been handled
	}
	_ = p.Process.Signal(syscall.SIGTERM)
	p.waitForLog(t, "msg=draining")
	_ = p.Process.Signal(syscall.SIGTERM) // a second one changes nothing
	for range p.lines {
	}
	if err := p.Wait(); err != nil {
		t.Errorf("the program ended with %v", err)
	}
}

// Signals that arrive before the event loop runs are handled once it runs.
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
	if code := testpeer.Receive(t, done, "the end"); code != exitOK || !bytes.Contains(log.Bytes(), []byte("msg=draining")) {
		t.Errorf("the program ended with %d: %s", code, log.String())
	}
}
