package faults

import (
	"fmt"
	"os"
	"os/exec"
	"strings"
	"syscall"
	"testing"

	"golang.org/x/sys/unix"
)

// programVariable makes the test binary run as the traced program.
const programVariable = "EIDERWINCH_TRACED_PROGRAM"

func TestMain(m *testing.M) {
	Main()
	if os.Getenv(programVariable) != "" {
		runTracedProgram()
		return
	}
	os.Exit(m.Run())
}

// runTracedProgram makes each call twice and prints what it returned.
func runTracedProgram() {
	var fds [2]int
	if err := unix.Pipe(fds[:]); err != nil {
		fmt.Println(err)
		return
	}
	buffer := make([]byte, 8)
	for range 2 {
		n, err := unix.Write(fds[1], []byte("abcd"))
		fmt.Println("write", n, err)
	}
	for range 2 {
		n, err := unix.Read(fds[0], buffer)
		fmt.Println("read", n, err)
	}
	for range 2 {
		fmt.Println("fsync", unix.Fsync(fds[0]))
	}
	polled := []unix.PollFd{{Fd: int32(fds[0]), Events: unix.POLLIN}}
	for range 2 {
		n, err := unix.Poll(polled, 0)
		fmt.Println("poll", n, err)
	}
}

// traceTestProgram runs the traced program under faults and returns its lines.
func traceTestProgram(t *testing.T, list ...Fault) []string {
	t.Helper()
	t.Setenv(programVariable, "1")
	self, err := os.Executable()
	if err != nil {
		t.Fatal(err)
	}
	cmd, err := Command(Plan{Seed: 1, Faults: list}, self)
	if err != nil {
		t.Fatal(err)
	}
	output, err := cmd.Output()
	if err != nil {
		t.Fatalf("%v: %s", err, err.(*exec.ExitError).Stderr)
	}
	return strings.Split(strings.TrimSpace(string(output)), "\n")
}

// pipeTarget is the kind of the descriptors of a pipe.
const pipeTarget Target = "pipe:"

func TestFailedCallIsSkippedAndShortCallTransfersOneByte(t *testing.T) {
	got := traceTestProgram(t,
		Fault{Call: "write", Errno: syscall.ENOSPC, Target: pipeTarget, MaxFailures: 1},
		Fault{Call: "read", Target: pipeTarget, MaxFailures: 1},
		Fault{Call: "fsync", Errno: syscall.EIO, MaxFailures: 1},
		Fault{Call: "poll", Errno: syscall.EINTR, MaxFailures: 1},
	)
	want := []string{
		"write -1 no space left on device", "write 4 <nil>", // the first write left nothing in the pipe
		"read 1 <nil>", "read 3 <nil>",
		"fsync input/output error", "fsync invalid argument", // a pipe has nothing to sync
		"poll -1 interrupted system call", "poll 0 <nil>",
	}
	if strings.Join(got, "\n") != strings.Join(want, "\n") {
		t.Errorf("found %q, want %q", got, want)
	}
}

func TestUnknownCallIsRejected(t *testing.T) {
	if _, err := Command(Plan{Faults: []Fault{{Call: "unknown"}}}, "true"); err == nil {
		t.Error("found no error, want one that names the call")
	}
}
