// Package faults makes system calls of a child process fail. It traces the process with ptrace(2), so that a built
// program is tested unchanged and the system calls of the Go runtime can fail as well.
package faults

import (
	"errors"
	"fmt"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// Target restricts a fault to calls whose first argument is a descriptor of one kind. Its value is a prefix of the
// target of the descriptor's link in /proc/PID/fd.
type Target string

// The kinds of descriptors. Calls whose first argument is not a descriptor match each of them.
const (
	Any     Target = ""
	Socket  Target = "socket:"
	EventFD Target = "anon_inode:[eventfd]"
	File    Target = "/"
)

// Fault describes which system calls fail, and how.
type Fault struct {
	Call        string        // name of the system call, a key of syscallNumbers
	Errno       syscall.Errno // 0: the call is made, but transfers at most one byte
	Target      Target
	Path        string        // suffix of the path of the file, for File
	Rate        float64       // share of the calls that fail; 0: all
	After       time.Duration // start of the fault, from the start of the process
	For         time.Duration // length of the fault; 0: until the process ends
	MaxFailures int           `json:"Most"` // maximum number of calls that fail; 0: unlimited
}

// Plan lists the faults of one process. If a fault has a rate, the seed decides which calls fail. For each call the first
// fault that applies is used.
type Plan struct {
	Seed   uint64
	Faults []Fault
}

// pollNumber is the number of the call that unix.Poll makes, on each architecture.
const pollNumber = unix.SYS_PPOLL

// syscallNumbers holds the system calls that can be made to fail, with their numbers. A call that the architecture
// lacks has the number of the call that takes its place.
var syscallNumbers = map[string]uint64{
	"read": unix.SYS_READ, "write": unix.SYS_WRITE, "close": unix.SYS_CLOSE, "poll": pollNumber, "ioctl": unix.SYS_IOCTL,
	"pread64": unix.SYS_PREAD64, "pwrite64": unix.SYS_PWRITE64, "writev": unix.SYS_WRITEV, "socket": unix.SYS_SOCKET,
	"connect": unix.SYS_CONNECT, "shutdown": unix.SYS_SHUTDOWN, "bind": unix.SYS_BIND, "listen": unix.SYS_LISTEN,
	"getsockopt": unix.SYS_GETSOCKOPT, "fcntl": unix.SYS_FCNTL, "fsync": unix.SYS_FSYNC, "fdatasync": unix.SYS_FDATASYNC,
	"ftruncate": unix.SYS_FTRUNCATE, "epoll_wait": epollWaitNumber, "epoll_ctl": unix.SYS_EPOLL_CTL, "openat": unix.SYS_OPENAT,
	"epoll_pwait": unix.SYS_EPOLL_PWAIT, "accept4": unix.SYS_ACCEPT4, "eventfd2": unix.SYS_EVENTFD2,
	"epoll_create1": unix.SYS_EPOLL_CREATE1,
}

// takesDescriptor reports whether the first argument of a system call is a descriptor.
func takesDescriptor(call uint64) bool {
	switch call {
	case syscallNumbers["poll"], syscallNumbers["socket"], syscallNumbers["openat"], syscallNumbers["eventfd2"], syscallNumbers["epoll_create1"]:
		return false
	}
	return true
}

var errInvalidPlan = errors.New("invalid fault plan")

// validate checks the names of the calls and the rates.
func (p Plan) validate() error {
	for i, f := range p.Faults {
		if _, ok := syscallNumbers[f.Call]; !ok {
			return fmt.Errorf("%w: faults[%d].Call: found %q, want a known system call", errInvalidPlan, i, f.Call)
		}
		if f.Rate < 0 || f.Rate > 1 {
			return fmt.Errorf("%w: faults[%d].Rate: found %v, want 0 to 1", errInvalidPlan, i, f.Rate)
		}
	}
	return nil
}
