package netio

import (
	"fmt"
	"log/slog"
	"net"
	"os"
	"syscall"

	"golang.org/x/sys/unix"
)

// boundAddr returns the address that a listening descriptor is bound to, and
// closes the descriptor.
func boundAddr(fd int) (string, error) {
	f := os.NewFile(uintptr(fd), "listener")
	defer f.Close()
	l, err := net.FileListener(f)
	if err != nil {
		return "", err
	}
	defer l.Close()
	return l.Addr().String(), nil
}

// pending is how many bytes have come on a connection that were not read yet; 0
// where the system does not tell.
func pending(fd int) int {
	n, err := unix.IoctlGetInt(fd, unix.TIOCINQ)
	if err != nil {
		return 0
	}
	return n
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
	if n, err := unix.Poll(p, 0); err != nil || n == 0 {
		return 0
	}
	return p[0].Revents
}

// shut ends both ways of a connection that is about to be closed.
func shut(fd int) { _ = syscall.Shutdown(fd, syscall.SHUT_RDWR) }

// shutWrite ends the way out of a connection; the peer can still be read.
func shutWrite(fd int) { _ = syscall.Shutdown(fd, syscall.SHUT_WR) }

// logger passes gnet's messages on.
type logger struct{ log *slog.Logger }

func (l logger) Debugf(format string, args ...any) { l.log.Debug(fmt.Sprintf(format, args...)) }
func (l logger) Infof(format string, args ...any)  { l.log.Debug(fmt.Sprintf(format, args...)) }
func (l logger) Warnf(format string, args ...any)  { l.log.Warn(fmt.Sprintf(format, args...)) }
func (l logger) Errorf(format string, args ...any) { l.log.Error(fmt.Sprintf(format, args...)) }
func (l logger) Fatalf(format string, args ...any) { l.log.Error(fmt.Sprintf(format, args...)) }
