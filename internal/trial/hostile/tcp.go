package hostile

import (
	"errors"
	"net"
	"strings"
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

// Times since the system received something on a connection. A process that is short of processors reads an answer, or the
// end of the connection, long after it has arrived.
func sinceData(info *unix.TCPInfo) time.Duration {
	return time.Duration(info.Last_data_recv) * time.Millisecond
}
func sinceSegment(info *unix.TCPInfo) time.Duration {
	return time.Duration(info.Last_ack_recv) * time.Millisecond
}

// arrivedAt returns when the system received what was last read from a TCP connection, or the current time if it can't tell.
// since is the time to use: data of an answer, or any segment for an end, which carries no data.
func arrivedAt(c net.Conn, since func(*unix.TCPInfo) time.Duration) time.Time {
	at := time.Now()
	control(c, func(fd int) {
		if info, err := unix.GetsockoptTCPInfo(fd, unix.IPPROTO_TCP, unix.TCP_INFO); err == nil {
			at = at.Add(-since(info))
		}
	})
	return at
}

// peekSize is how much of the unread data of a connection is searched for an error, in bytes: some answers to small requests.
const peekSize = 2 << 10

// unreadEnd reports whether an error or the end of the connection was received that is not read yet, and when it arrived at
// the latest. The unread data may begin within an answer: a reader takes what fits into its buffer.
func unreadEnd(c net.Conn) (at time.Time, received bool) {
	unread := make([]byte, peekSize)
	n, err := -1, error(nil)
	control(c, func(fd int) {
		n, _, err = unix.Recvfrom(fd, unread, unix.MSG_PEEK|unix.MSG_DONTWAIT)
	})
	switch text := string(unread[:max(n, 0)]); {
	case err != nil || n < 0:
		return at, false
	case n == 0:
		return arrivedAt(c, sinceSegment), true
	case strings.Contains(text, "HTTP/1.1 4") || strings.Contains(text, "HTTP/1.1 5"):
		return arrivedAt(c, sinceData), true
	}
	return at, false
}

// control calls use with the descriptor of a TCP connection.
func control(c net.Conn, use func(fd int)) {
	tcp, ok := c.(*net.TCPConn)
	if !ok {
		return
	}
	raw, err := tcp.SyscallConn()
	if err != nil {
		return
	}
	_ = raw.Control(func(fd uintptr) { use(int(fd)) })
}
