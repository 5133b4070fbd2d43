package netio

import (
	"syscall"

	"golang.org/x/sys/unix"
)

// maxSyscallTries bounds the tries of a system call that is interrupted or fails for lack of memory.
const maxSyscallTries = 100

// pendingBytes returns the number of bytes that were received on a connection and not read yet; 0 if the system
// call fails.
func pendingBytes(fd int) int {
	for range maxSyscallTries {
		n, err := unix.IoctlGetInt(fd, unix.TIOCINQ)
		if err == nil {
			return n
		}
		if err != unix.EINTR && err != unix.ENOMEM {
			break
		}
	}
	return 0
}

// remoteClosed reports whether the remote side has ended a connection, even if bytes that were not read yet
// precede the end. It returns false if the system call fails.
func remoteClosed(fd int) bool {
	return pollEvents(fd, unix.POLLRDHUP)&closedEvents != 0
}

// closedEvents are the events of a connection whose remote side has ended it.
const closedEvents = unix.POLLRDHUP | unix.POLLHUP | unix.POLLERR

// readable reports whether a descriptor has data to read or, for a listener, a connection to accept.
func readable(fd int) bool { return pollEvents(fd, unix.POLLIN)&unix.POLLIN != 0 }

// pollEvents returns which of the given events are pending on a descriptor, without waiting.
func pollEvents(fd int, events int16) int16 {
	p := []unix.PollFd{{Fd: int32(fd), Events: events}}
	if !poll(p) {
		return 0
	}
	return p[0].Revents
}

// poll sets the pending events of descriptors, without waiting. It returns false if the system call fails.
func poll(p []unix.PollFd) bool {
	for range maxSyscallTries {
		_, err := unix.Poll(p, 0)
		if err == nil {
			return true
		}
		if err != unix.EINTR && err != unix.ENOMEM {
			break
		}
	}
	return false
}

// shutdownWrite shuts down the sending side of a connection; data from the remote side can still be read.
func shutdownWrite(fd int) { _ = syscall.Shutdown(fd, syscall.SHUT_WR) }
