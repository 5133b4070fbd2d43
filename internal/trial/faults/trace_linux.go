package faults

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"os"
	"os/exec"
	"os/signal"
	"runtime"
	"strconv"
	"strings"
	"syscall"
	"time"
)

// planVariable is the environment variable that passes a Plan in JSON to the tracer.
const planVariable = "EIDERWINCH_FAULT_PLAN"

// Setting of the environment for a tracer that is built with the race detector. Without it the tracer would sleep for a
// second between the end of the traced program and its own exit.
const (
	raceVariable = "GORACE"
	noExitDelay  = "atexit_sleep_ms=0"
)

// Options of ptrace(2) and wait4(2) that package syscall lacks for use here, and the tracer's own codes.
const (
	traceSysGood     = 0x1                    // PTRACE_O_TRACESYSGOOD
	traceClone       = 0x8                    // PTRACE_O_TRACECLONE
	exitKill         = 0x100000               // PTRACE_O_EXITKILL
	syscallStop      = syscall.SIGTRAP | 0x80 // signal of a stop at a system call, with PTRACE_O_TRACESYSGOOD
	noSyscall        = ^uint64(0)             // call number that makes the kernel skip the call
	waitAll          = 0x40000000             // __WALL: wait for threads as well
	exitTracerFailed = 125                    // exit code if the tracer itself fails
)

// Command returns a command that runs a program under a plan. It starts the calling binary again as the tracer, so that
// binary must call Main before anything else.
func Command(plan Plan, path string, args ...string) (*exec.Cmd, error) {
	if err := plan.validate(); err != nil {
		return nil, err
	}
	text, err := json.Marshal(plan)
	if err != nil {
		return nil, err
	}
	self, err := os.Executable()
	if err != nil {
		return nil, err
	}
	cmd := exec.Command(self, append([]string{path}, args...)...)
	cmd.Env = append(os.Environ(), planVariable+"="+string(text), raceVariable+"="+os.Getenv(raceVariable)+" "+noExitDelay)
	return cmd, nil
}

// Main returns at once unless this process was started by Command. In that case it runs the tracer and exits with the
// exit code of the program.
func Main() {
	text := os.Getenv(planVariable)
	if text == "" {
		return
	}
	_ = os.Unsetenv(planVariable)
	var plan Plan
	if err := json.Unmarshal([]byte(text), &plan); err != nil {
		fmt.Fprintln(os.Stderr, "faults:", err)
		os.Exit(exitTracerFailed)
	}
	code, err := trace(plan, os.Args[1:])
	if err != nil {
		fmt.Fprintln(os.Stderr, "faults:", err)
	}
	os.Exit(code)
}

// thread is one thread of the traced process.
type thread struct {
	inCall         bool    // between the entry to a system call and the exit from it
	injectedResult *int64  // result of a call that the kernel skips; nil if it is made
	originalCount  *uint64 // original third argument of a call that was shortened to one byte; nil if it was not
}

// tracer traces one process. Its methods must all run on the same operating system thread, as ptrace(2) requires.
type tracer struct {
	plan        Plan
	pid         int
	started     time.Time
	rng         *rand.Rand
	faultCounts []int           // by fault of the plan: number of calls it was applied to so far
	threads     map[int]*thread // by thread id
}

// trace runs a program under a plan and returns its exit code. It forwards signals to the program.
func trace(plan Plan, argv []string) (int, error) {
	runtime.LockOSThread()
	signals := make(chan os.Signal, 16)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGHUP, syscall.SIGUSR1, syscall.SIGINT)
	cmd := exec.Command(argv[0], argv[1:]...)
	cmd.Stdin, cmd.Stdout, cmd.Stderr = os.Stdin, os.Stdout, os.Stderr
	cmd.SysProcAttr = &syscall.SysProcAttr{Ptrace: true, Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		return exitTracerFailed, err
	}
	t := &tracer{
		plan: plan, pid: cmd.Process.Pid, rng: rand.New(rand.NewPCG(plan.Seed, 0)),
		faultCounts: make([]int, len(plan.Faults)), threads: make(map[int]*thread),
	}
	var status syscall.WaitStatus
	if _, err := syscall.Wait4(t.pid, &status, waitAll, nil); err != nil {
		return exitTracerFailed, err
	}
	if err := syscall.PtraceSetOptions(t.pid, traceSysGood|traceClone|exitKill); err != nil {
		return exitTracerFailed, err
	}
	t.started = time.Now()
	go func() {
		for s := range signals {
			_ = syscall.Kill(t.pid, s.(syscall.Signal))
		}
	}()
	if err := syscall.PtraceSyscall(t.pid, 0); err != nil {
		return exitTracerFailed, err
	}
	return t.run()
}

// run resumes the process at each of its stops until it ends, and returns its exit code, or 128 plus the number of the
// signal that ended it.
func (t *tracer) run() (int, error) {
	for {
		var status syscall.WaitStatus
		id, err := syscall.Wait4(-1, &status, waitAll, nil)
		if err == syscall.EINTR {
			continue
		}
		if err != nil {
			return exitTracerFailed, err
		}
		if status.Exited() || status.Signaled() {
			delete(t.threads, id)
			if id == t.pid {
				t.report()
				if status.Signaled() {
					return 128 + int(status.Signal()), nil
				}
				return status.ExitStatus(), nil
			}
			continue
		}
		sig := t.handleStop(id, status)
		_ = syscall.PtraceSyscall(id, sig) // fails if the thread was killed meanwhile
	}
}

// handleStop handles the stop of a thread, and returns the signal to deliver to it.
func (t *tracer) handleStop(id int, status syscall.WaitStatus) int {
	stopped := t.threads[id]
	if stopped == nil {
		stopped = &thread{}
		t.threads[id] = stopped
	}
	switch s := status.StopSignal(); s {
	case syscallStop:
		t.handleSyscall(id, stopped)
	case syscall.SIGTRAP, syscall.SIGSTOP: // caused by ptrace itself
	default:
		return int(s)
	}
	return 0
}

// handleSyscall handles the entry to a system call or the exit from it. At the exit it sets the result of a call that
// was skipped, and restores the argument of one that was shortened.
func (t *tracer) handleSyscall(id int, stopped *thread) {
	stopped.inCall = !stopped.inCall
	if stopped.inCall {
		t.handleEntry(id, stopped)
		return
	}
	if stopped.injectedResult == nil && stopped.originalCount == nil {
		return
	}
	regs, err := readRegisters(id)
	if err != nil {
		return
	}
	if stopped.injectedResult != nil {
		regs.setResult(*stopped.injectedResult)
	}
	if stopped.originalCount != nil {
		regs.setThirdArgument(*stopped.originalCount)
	}
	stopped.injectedResult, stopped.originalCount = nil, nil
	_ = regs.store(id)
}

// handleEntry applies a fault, if one is chosen, to a system call that is about to be made.
func (t *tracer) handleEntry(id int, stopped *thread) {
	regs, err := readRegisters(id)
	if err != nil {
		return
	}
	fault := t.chooseFault(regs)
	switch {
	case fault == nil:
		return
	case fault.Errno == 0 && regs.thirdArgument() <= 1:
		return
	case fault.Errno == 0:
		count := regs.thirdArgument()
		stopped.originalCount = &count
		regs.setThirdArgument(1)
		_ = regs.store(id)
	default:
		result := -int64(fault.Errno)
		stopped.injectedResult = &result
		_ = regs.skipCall(id)
	}
}

// chooseFault returns the fault to apply to a system call, or nil.
func (t *tracer) chooseFault(regs *registers) *Fault {
	elapsed := time.Since(t.started)
	for i := range t.plan.Faults {
		f := &t.plan.Faults[i]
		switch {
		case syscallNumbers[f.Call] != regs.callNumber(),
			elapsed < f.After, f.For > 0 && elapsed > f.After+f.For,
			f.MaxFailures > 0 && t.faultCounts[i] >= f.MaxFailures,
			f.Rate > 0 && t.rng.Float64() >= f.Rate,
			!t.matchesTarget(f, regs):
			continue
		}
		t.faultCounts[i]++
		return f
	}
	return nil
}

// matchesTarget reports whether the descriptor of a system call is of the fault's kind and path. It is true if the kind
// is Any, and for calls without a descriptor.
func (t *tracer) matchesTarget(f *Fault, regs *registers) bool {
	if f.Target == Any || !takesDescriptor(regs.callNumber()) {
		return true
	}
	target, err := os.Readlink("/proc/" + strconv.Itoa(t.pid) + "/fd/" + strconv.Itoa(int(int32(regs.firstArgument()))))
	return err == nil && strings.HasPrefix(target, string(f.Target)) && strings.HasSuffix(target, f.Path)
}

// report writes to standard error how often each fault was applied.
func (t *tracer) report() {
	for i, f := range t.plan.Faults {
		fmt.Fprintf(os.Stderr, "faults: %s %s %d: %d times\n", f.Call, f.Target, f.Errno, t.faultCounts[i])
	}
}
