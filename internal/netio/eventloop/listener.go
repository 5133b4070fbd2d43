package eventloop

import (
	"fmt"
	"net"
	"os"

	"github.com/panjf2000/gnet/v2/pkg/netpoll"
	"golang.org/x/sys/unix"
)

// backlog is the maximum number of connections that wait to be accepted; the system reduces it to its own limit.
const backlog = 4096

// listener is a listening socket.
type listener struct {
	fd    int
	addr  string
	fails int // failed calls of accept, in a row
}

// open binds the socket and listens. A draining process may still listen at the same address, so the port is
// opened for reuse.
func (s *listener) open(address string) error {
	at, err := net.ResolveTCPAddr("tcp", address)
	if err != nil {
		return err
	}
	family, to := sockaddr(at)
	if s.fd, err = unix.Socket(family, unix.SOCK_STREAM|unix.SOCK_NONBLOCK|unix.SOCK_CLOEXEC, unix.IPPROTO_TCP); err != nil {
		s.fd = -1
		return os.NewSyscallError("socket", err)
	}
	for _, option := range [...]struct{ level, name int }{
		{unix.SOL_SOCKET, unix.SO_REUSEADDR}, {unix.SOL_SOCKET, unix.SO_REUSEPORT}, {unix.IPPROTO_TCP, unix.TCP_NODELAY},
	} {
		if err := unix.SetsockoptInt(s.fd, option.level, option.name, 1); err != nil {
			return os.NewSyscallError("setsockopt", err)
		}
	}
	if err := unix.Bind(s.fd, to); err != nil {
		return os.NewSyscallError("bind", err)
	}
	if err := unix.Listen(s.fd, backlog); err != nil {
		return os.NewSyscallError("listen", err)
	}
	bound, err := unix.Getsockname(s.fd)
	if err != nil {
		return os.NewSyscallError("getsockname", err)
	}
	s.addr, err = hostPort(bound)
	return err
}

func (s *listener) close() {
	if s.fd >= 0 {
		_ = unix.Close(s.fd)
		s.fd = -1
	}
}

func sockaddr(at *net.TCPAddr) (family int, to unix.Sockaddr) {
	if ip := at.IP.To4(); ip != nil || at.IP == nil {
		to := &unix.SockaddrInet4{Port: at.Port}
		copy(to.Addr[:], ip)
		return unix.AF_INET, to
	}
	to6 := &unix.SockaddrInet6{Port: at.Port}
	copy(to6.Addr[:], at.IP.To16())
	return unix.AF_INET6, to6
}

func hostPort(at unix.Sockaddr) (string, error) {
	switch at := at.(type) {
	case *unix.SockaddrInet4:
		return (&net.TCPAddr{IP: at.Addr[:], Port: at.Port}).String(), nil
	case *unix.SockaddrInet6:
		return (&net.TCPAddr{IP: at.Addr[:], Port: at.Port}).String(), nil
	}
	return "", fmt.Errorf("listener address: found type %T, want an IPv4 or IPv6 address", at)
}

// acceptBatch is the most connections that are accepted in one round of the loop. If only one was, a new client would
// wait for as many rounds as there are connections in front of it.
const acceptBatch = 64

// acceptSome accepts connections, as long as Options.MayAccept allows further ones; the poller reports the rest in its next
// round.
func (l *Loop) acceptSome() {
	for range acceptBatch {
		if !l.accept() || l.stopped || l.opts.MayAccept != nil && !l.opts.MayAccept() {
			return
		}
	}
}

// accept accepts one connection, and reports whether there may be another one to accept at once. If accept fails for a
// temporary reason, the listener is paused; waiting connections stay in the system's queue.
func (l *Loop) accept() (more bool) {
	fd, _, err := unix.Accept4(l.listener.fd, unix.SOCK_NONBLOCK|unix.SOCK_CLOEXEC)
	switch {
	case err == nil:
		if l.listener.fails > 0 {
			l.opts.Log.Info("accepting connections again", "fails", l.listener.fails)
			l.listener.fails = 0
		}
		l.addConn(fd, l.opts.Accepted())
		return true
	case err == unix.EAGAIN:
	case err == unix.EINTR, err == unix.ECONNABORTED:
		l.countFailure("accept4", err) // the next connection in the queue can be accepted at once
		return true
	case isListenerBroken(err):
		l.opts.Log.Error("the listener has failed permanently", "err", os.NewSyscallError("accept4", err))
		l.fail(os.NewSyscallError("accept4", err))
	default:
		l.countFailure("accept4", err)
		l.pauseListener()
	}
	return false
}

// pauseListener removes the listener from the poller for a short time.
func (l *Loop) pauseListener() {
	l.listener.fails++
	if err := l.poller.Delete(l.listener.fd); err != nil {
		l.countFailure("epoll_ctl", err)
		return // still registered, so the poller reports the listener again at once
	}
	l.retryAfter(l.listener.fails, l.resumeListener)
}

func (l *Loop) resumeListener() {
	err := l.poller.AddRead(&netpoll.PollAttachment{FD: l.listener.fd}, false)
	if err != nil {
		l.countFailure("epoll_ctl", err)
		l.counters.RegistrationRetries++
		l.retryAfter(l.listener.fails, l.resumeListener)
	}
}
