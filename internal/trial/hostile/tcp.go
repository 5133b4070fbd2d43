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

// sinceData returns how long ago the system received the last data on a TCP connection, or 0 if it can't tell. A process
// that is short of processors reads an answer long after it has arrived.
func sinceData(c net.Conn) (since time.Duration) {
	tcp, ok := c.(*net.TCPConn)
	if !ok {
		return 0
	}
	raw, err := tcp.SyscallConn()
	if err != nil {
		return 0
	}
	_ = raw.Control(func(fd uintptr) {
		if info, err := unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO); err == nil {
			since = time.Duration(info.Last_data_recv) * time.Millisecond
		}
	})
	return since
}
