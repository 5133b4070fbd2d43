package hostile

import (
	"errors"
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// resetTimeout bounds how long a reset takes to arrive over loopback, on a machine whose processors are all busy.
const resetTimeout = time.Second

// WasUnread reports whether a connection, from which err was read, was closed by the other side before it had read all that
// was sent to it: the system answers data that arrives after the close with a reset.
func WasUnread(c net.Conn, err error) bool {
	if errors.Is(err, syscall.ECONNRESET) || errors.Is(err, syscall.EPIPE) {
		return true
	}
	tcp, ok := c.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := tcp.SyscallConn()
	if err != nil {
		return false
	}
	reset := false
	for end := time.Now().Add(resetTimeout); !reset && time.Now().Before(end); time.Sleep(time.Millisecond) {
		_ = raw.Control(func(fd uintptr) {
			polled := []unix.PollFd{{Fd: int32(fd)}}
			_, pollErr := unix.Poll(polled, 0)
			reset = pollErr == nil && polled[0].Revents&unix.POLLERR != 0
		})
	}
	return reset
}
