// Package faults makes system calls of a child process fail. It traces the process with ptrace(2), so that
// a built program is tested unchanged, the Go runtime's own calls included.
package faults

import (
	"errors"
	"fmt"
	"syscall"
	"time"
)

// Target restricts a fault to calls on one kind of descriptor, which is the call's first argument.
type Target string

// The kinds of descriptors. Any also holds for calls without one.
const (
	Any     Target = ""
	Socket  Target = "socket:"
	EventFD Target = "anon_inode:[eventfd]"
	File    Target = "/"
)

// Fault says which calls fail, and how.
type Fault struct {
	Call   string        // name of the system call, see calls
	Errno  syscall.Errno // 0: the call is made, but moves one byte at the most
	Target Target
	Path   string        // File: the path ends in this
	Rate   float64       // share of the calls that fail; 0 means all of them
	After  time.Duration // since the start of the process
	For    time.Duration // from then on; 0 means until its end
	Most   int           // calls that fail at the most; 0 means no bound
}

// Plan is what happens to one process. The seed decides which calls fail where a rate is given.
type Plan struct {
	Seed   uint64
	Faults []Fault
}

// numbers are the system calls that can be made to fail, on amd64.
var numbers = map[string]uint64{
	"read": 0, "write": 1, "close": 3, "poll": 7, "ioctl": 16, "pread64": 17, "pwrite64": 18, "writev": 20,
	"socket": 41, "connect": 42, "shutdown": 48, "bind": 49, "listen": 50, "getsockopt": 55, "fcntl": 72,
	"fsync": 74, "fdatasync": 75, "ftruncate": 77, "epoll_wait": 232, "epoll_ctl": 233, "openat": 257,
	"epoll_pwait": 281, "accept4": 288, "eventfd2": 290, "epoll_create1": 291,
}

// firstIsDescriptor tells whether the first argument of a call is a descriptor.
func firstIsDescriptor(call uint64) bool {
	switch call {
	case numbers["poll"], numbers["socket"], numbers["openat"], numbers["eventfd2"], numbers["epoll_create1"]:
		return false
	}
	return true
}

var errPlan = errors.New("invalid fault plan")

func (p Plan) check() error {
	for i, f := range p.Faults {
		if _, ok := numbers[f.Call]; !ok {
			return fmt.Errorf("%w: faults[%d].Call: found %q, want a known system call", errPlan, i, f.Call)
		}
		if f.Rate < 0 || f.Rate > 1 {
			return fmt.Errorf("%w: faults[%d].Rate: found %v, want 0 to 1", errPlan, i, f.Rate)
		}
	}
	return nil
}
