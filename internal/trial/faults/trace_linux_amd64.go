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

// planVariable holds the JSON of a Plan for a tracer.
const planVariable = "EIDERWINCH_FAULT_PLAN"

// A tracer built with the race detector would sleep for a second at its exit, after the program's.
const (
	raceVariable = "GORACE"
	exitAtOnce   = "atexit_sleep_ms=0"
)

const (
	traceSysGood = 0x1      // PTRACE_O_TRACESYSGOOD
	traceClone   = 0x8      // PTRACE_O_TRACECLONE
	exitKill     = 0x100000 // PTRACE_O_EXITKILL
	syscallStop  = syscall.SIGTRAP | 0x80
	noCall       = ^uint64(0)
	waitAll      = 0x40000000 // __WALL: threads as well
	exitTracer   = 125
)

// Command returns a command that runs a program under a plan. The calling binary must call Main first thing.
func Command(plan Plan, path string, args ...string) (*exec.Cmd, error) {
	if err := plan.check(); err != nil {
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
	cmd.Env = append(os.Environ(), planVariable+"="+string(text), raceVariable+"="+os.Getenv(raceVariable)+" "+exitAtOnce)
	return cmd, nil
}

// Main runs the tracer and exits with the program's code where this process was started by Command. Else
// it returns at once.
func Main() {
	text := os.Getenv(planVariable)
	if text == "" {
		return
	}
	_ = os.Unsetenv(planVariable)
	var plan Plan
	if err := json.Unmarshal([]byte(text), &plan); err != nil {
		fmt.Fprintln(os.Stderr, "faults:", err)
		os.Exit(exitTracer)
	}
	code, err := trace(plan, os.Args[1:])
	if err != nil {
		fmt.Fprintln(os.Stderr, "faults:", err)
	}
	os.Exit(code)
}

// thread is one thread of the traced process.
type thread struct {
	inCall bool
	result *int64  // of a call that is not made
	count  *uint64 // third argument of a call that was shortened, as it was
}

// tracer traces one process. It belongs to one operating system thread.
type tracer struct {
	plan     Plan
	process  int
	started  time.Time
	random   *rand.Rand
	injected []int // by fault
	threads  map[int]*thread
}

func trace(plan Plan, argv []string) (int, error) {
	runtime.LockOSThread()
	signals := make(chan os.Signal, 16)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGHUP, syscall.SIGUSR1, syscall.SIGINT)
	cmd := exec.Command(argv[0], argv[1:]...)
	cmd.Stdin, cmd.Stdout, cmd.Stderr = os.Stdin, os.Stdout, os.Stderr
	cmd.SysProcAttr = &syscall.SysProcAttr{Ptrace: true, Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		return exitTracer, err
	}
	t := &tracer{
		plan: plan, process: cmd.Process.Pid, random: rand.New(rand.NewPCG(plan.Seed, 0)),
		injected: make([]int, len(plan.Faults)), threads: make(map[int]*thread),
	}
	var status syscall.WaitStatus
	if _, err := syscall.Wait4(t.process, &status, waitAll, nil); err != nil {
		return exitTracer, err
	}
	if err := syscall.PtraceSetOptions(t.process, traceSysGood|traceClone|exitKill); err != nil {
		return exitTracer, err
	}
	t.started = time.Now()
	go func() {
		for s := range signals {
			_ = syscall.Kill(t.process, s.(syscall.Signal))
		}
	}()
	if err := syscall.PtraceSyscall(t.process, 0); err != nil {
		return exitTracer, err
	}
	return t.follow()
}

// follow runs the process until its end, and returns its exit code.
func (t *tracer) follow() (int, error) {
	for {
		var status syscall.WaitStatus
		id, err := syscall.Wait4(-1, &status, waitAll, nil)
		if err == syscall.EINTR {
			continue
		}
		if err != nil {
			return exitTracer, err
		}
		if status.Exited() || status.Signaled() {
			delete(t.threads, id)
			if id == t.process {
				t.report()
				if status.Signaled() {
					return 128 + int(status.Signal()), nil
				}
				return status.ExitStatus(), nil
			}
			continue
		}
		deliver := t.stopped(id, status)
		_ = syscall.PtraceSyscall(id, deliver) // fails where the thread was killed meanwhile
	}
}

// stopped deals with a thread that has stopped, and returns the signal to deliver to it.
func (t *tracer) stopped(id int, status syscall.WaitStatus) int {
	known := t.threads[id]
	if known == nil {
		known = &thread{}
		t.threads[id] = known
	}
	switch s := status.StopSignal(); s {
	case syscallStop:
		t.syscall(id, known)
	case syscall.SIGTRAP, syscall.SIGSTOP: // of ptrace itself
	default:
		return int(s)
	}
	return 0
}

// syscall is called at the entry of each system call and at its exit.
func (t *tracer) syscall(id int, at *thread) {
	at.inCall = !at.inCall
	if at.inCall {
		t.entry(id, at)
		return
	}
	if at.result == nil && at.count == nil {
		return
	}
	var regs syscall.PtraceRegs
	if syscall.PtraceGetRegs(id, &regs) != nil {
		return
	}
	if at.result != nil {
		regs.Rax = uint64(*at.result)
	}
	if at.count != nil {
		regs.Rdx = *at.count
	}
	at.result, at.count = nil, nil
	_ = syscall.PtraceSetRegs(id, &regs)
}

func (t *tracer) entry(id int, at *thread) {
	var regs syscall.PtraceRegs
	if syscall.PtraceGetRegs(id, &regs) != nil {
		return
	}
	fault := t.choose(&regs)
	switch {
	case fault == nil:
		return
	case fault.Errno == 0 && regs.Rdx <= 1:
		return
	case fault.Errno == 0:
		count := regs.Rdx
		at.count, regs.Rdx = &count, 1
	default:
		result := -int64(fault.Errno)
		at.result, regs.Orig_rax = &result, noCall
	}
	_ = syscall.PtraceSetRegs(id, &regs)
}

// choose returns the fault that strikes a call; nil if none does.
func (t *tracer) choose(regs *syscall.PtraceRegs) *Fault {
	since := time.Since(t.started)
	for i := range t.plan.Faults {
		f := &t.plan.Faults[i]
		switch {
		case numbers[f.Call] != regs.Orig_rax,
			since < f.After, f.For > 0 && since > f.After+f.For,
			f.Most > 0 && t.injected[i] >= f.Most,
			f.Rate > 0 && t.random.Float64() >= f.Rate,
			!t.meets(f, regs):
			continue
		}
		t.injected[i]++
		return f
	}
	return nil
}

// meets tells whether a call is on a descriptor of the fault's kind.
func (t *tracer) meets(f *Fault, regs *syscall.PtraceRegs) bool {
	if f.Target == Any || !firstIsDescriptor(regs.Orig_rax) {
		return true
	}
	to, err := os.Readlink("/proc/" + strconv.Itoa(t.process) + "/fd/" + strconv.Itoa(int(int32(regs.Rdi))))
	return err == nil && strings.HasPrefix(to, string(f.Target)) && strings.HasSuffix(to, f.Path)
}

// report tells on standard error how often each fault has struck.
func (t *tracer) report() {
	for i, f := range t.plan.Faults {
		fmt.Fprintf(os.Stderr, "faults: %s %s %d: %d times\n", f.Call, f.Target, f.Errno, t.injected[i])
	}
}
