package netio

import (
	"syscall"

	"golang.org/x/sys/unix"
)

// lookTries bounds the tries of a look at a socket that is interrupted.
const lookTries = 100

// pending is how many bytes have come on a connection that were not read yet; 0
// where the system does not tell.
func pending(fd int) int {
	for range lookTries {
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

// peerClosed tells that the peer has ended a connection, also where that lies behind bytes that were
// not read yet; false where the system does not tell.
func peerClosed(fd int) bool {
	return poll(fd, unix.POLLRDHUP)&(unix.POLLRDHUP|unix.POLLHUP|unix.POLLERR) != 0
}

// readable tells that something has come on a descriptor: on a listener a connection.
func readable(fd int) bool { return poll(fd, unix.POLLIN)&unix.POLLIN != 0 }

// poll tells, without waiting, which of some events there are on a descriptor.
func poll(fd int, events int16) int16 {
	p := []unix.PollFd{{Fd: int32(fd), Events: events}}
	for range lookTries {
		n, err := unix.Poll(p, 0)
		switch {
		case err == nil && n == 0:
			return 0
		case err == nil:
			return p[0].Revents
		case err != unix.EINTR && err != unix.ENOMEM:
			return 0
		}
	}
	return 0
}

// shutWrite ends the way out of a connection; the peer can still be read.
func shutWrite(fd int) { _ = syscall.Shutdown(fd, syscall.SHUT_WR) }
