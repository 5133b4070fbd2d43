package eventloop

import (
	"errors"
	"os"
	"syscall"

	"golang.org/x/sys/unix"
)

// Transient tells whether a system call has failed for a reason on this machine that passes by itself: want
// of memory, buffers, descriptors or ports, an interruption, or a network that is away for a moment. It says
// nothing of the peer. What else fails is final for the connection concerned.
func Transient(err error) bool {
	var number syscall.Errno
	if !errors.As(err, &number) {
		return false
	}
	switch number {
	case unix.EINTR, unix.EAGAIN, unix.ENOMEM, unix.ENOBUFS, unix.EMFILE, unix.ENFILE, unix.ENOSPC,
		unix.EADDRNOTAVAIL, unix.ENETUNREACH, unix.ENETDOWN:
		return true
	}
	return false
}

// stalls tells whether a read or a write that failed may succeed on the same connection a little later.
func stalls(err error) bool {
	return err == unix.ENOMEM || err == unix.ENOBUFS
}

// broken tells whether accept can never succeed again: the listener itself is at fault.
func broken(err error) bool {
	switch err {
	case unix.EBADF, unix.EINVAL, unix.ENOTSOCK, unix.EFAULT, unix.ENOSYS:
		return true
	}
	return false
}

// Counters counts the system calls that have failed and were borne.
type Counters struct {
	Fails     map[string]int // by call and error, as "accept4.ENFILE"
	WakeFails int            // writes that wake the loop
	Retries   int            // registrations with the poller that were tried again
	Stalls    int            // connections that were left alone for a moment
}

// maxNames bounds Counters.Fails; further names are counted as "other".
const maxNames = 64

func newCounters() Counters { return Counters{Fails: make(map[string]int)} }

// count books a call that has failed.
func (l *Loop) count(call string, err error) {
	name := call
	var number syscall.Errno
	if errors.As(err, &number) {
		name += "." + unix.ErrnoName(number)
	}
	if _, known := l.counters.Fails[name]; !known && len(l.counters.Fails) >= maxNames {
		name = "other"
	}
	l.counters.Fails[name]++
	if l.counters.Fails[name] == 1 && l.opts.Log != nil {
		l.opts.Log.Warn("a system call fails; it is tried again", "call", call, "err", os.NewSyscallError(call, err))
	}
}
