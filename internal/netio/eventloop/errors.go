package eventloop

import (
	"errors"
	"os"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// IsTransient reports whether a system call has failed for a temporary reason on this machine: a shortage of
// memory, buffers, descriptors or ports, an interruption, or a network that is unavailable for a moment. It
// says nothing about the remote side. All other errors are final for the connection concerned.
func IsTransient(err error) bool {
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

// isMemoryShortage reports whether a read or a write failed because the system has no memory or buffers, so that
// it may succeed on the same connection a little later.
func isMemoryShortage(err error) bool {
	return err == unix.ENOMEM || err == unix.ENOBUFS
}

// isListenerBroken reports whether accept failed with an error of the listener itself, so that it can never
// succeed again.
func isListenerBroken(err error) bool {
	switch err {
	case unix.EBADF, unix.EINVAL, unix.ENOTSOCK, unix.EFAULT, unix.ENOSYS:
		return true
	}
	return false
}

// Counters counts the system calls that have failed without ending the loop.
type Counters struct {
	Failures            map[string]int // by call and error, such as "accept4.ENFILE"
	WakeFails           int            // failed writes to wake the loop
	RegistrationRetries int            // retries of registrations with the poller
	Pauses              int            // times that a connection was paused because the system had no memory or buffers

	// LongestEvents holds the longest time that the loop took for one event, by the kind of its connection. The loop
	// serves nobody else meanwhile.
	LongestEvents map[string]time.Duration
}

// recordEvent records how long an event took.
func (c *Counters) recordEvent(kind string, took time.Duration) {
	if took > c.LongestEvents[kind] {
		c.LongestEvents[kind] = took
	}
}

// maxFailNames bounds the keys of Counters.Failures; further ones are counted as "other".
const maxFailNames = 64

func newCounters() Counters {
	return Counters{Failures: make(map[string]int), LongestEvents: make(map[string]time.Duration)}
}

// countFailure counts a system call that has failed, and logs the first failure of each call and error.
func (l *Loop) countFailure(call string, err error) {
	name := call
	var number syscall.Errno
	if errors.As(err, &number) {
		name += "." + unix.ErrnoName(number)
	}
	if _, known := l.counters.Failures[name]; !known && len(l.counters.Failures) >= maxFailNames {
		name = "other"
	}
	l.counters.Failures[name]++
	if l.counters.Failures[name] == 1 && l.opts.Log != nil {
		l.opts.Log.Warn("a system call failed; it is retried", "call", call, "err", os.NewSyscallError(call, err))
	}
}
