package hostile

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"os"
	"os/exec"
	"os/signal"
	"runtime"
	"strconv"
	"syscall"
	"time"
)

// attackVariable is the environment variable that passes an attack in JSON to a process that runs it.
const attackVariable = "EIDERWINCH_ATTACK"

// processorShare is the part (1/2) of the processors that a process with an attack uses.
const processorShare = 2

// timedAttack is an attack with its length.
type timedAttack struct {
	Attack
	Duration time.Duration
}

// Main returns at once unless this process was started by Start. In that case it runs the attack, writes the report to
// standard output and exits.
func Main() {
	text := os.Getenv(attackVariable)
	if text == "" {
		return
	}
	var a timedAttack
	if err := json.Unmarshal([]byte(text), &a); err != nil {
		fmt.Fprintln(os.Stderr, "hostile:", err)
		os.Exit(1)
	}
	ctx, cancel := context.WithTimeout(context.Background(), a.Duration)
	defer cancel()
	ctx, stop := signal.NotifyContext(ctx, syscall.SIGTERM)
	defer stop()
	if err := json.NewEncoder(os.Stdout).Encode(a.Run(ctx)); err != nil {
		fmt.Fprintln(os.Stderr, "hostile:", err)
		os.Exit(1)
	}
	os.Exit(0)
}

// Process is a process that runs an attack.
type Process struct {
	cmd    *exec.Cmd
	output bytes.Buffer
}

// Start runs an attack in a process of its own, so that it does not delay the clients of the caller. It starts the calling
// binary again, which must call Main before anything else.
func (a Attack) Start(duration time.Duration) (*Process, error) {
	text, err := json.Marshal(timedAttack{a, duration})
	if err != nil {
		return nil, err
	}
	self, err := os.Executable()
	if err != nil {
		return nil, err
	}
	p := &Process{cmd: exec.Command(self)}
	processors := max(runtime.NumCPU()/processorShare, 1)
	p.cmd.Env = append(os.Environ(), attackVariable+"="+string(text), "GOMAXPROCS="+strconv.Itoa(processors))
	p.cmd.Stdout, p.cmd.Stderr = &p.output, os.Stderr
	p.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	return p, p.cmd.Start()
}

// Stop ends the attack early and returns its report.
func (p *Process) Stop() (Report, error) {
	_ = p.cmd.Process.Signal(syscall.SIGTERM)
	return p.Wait()
}

// Wait waits for the end of the attack and returns its report.
func (p *Process) Wait() (r Report, err error) {
	if err := p.cmd.Wait(); err != nil {
		return r, fmt.Errorf("attack: %w", err)
	}
	return r, json.Unmarshal(p.output.Bytes(), &r)
}
