package eventloop

import (
	"fmt"
	"net"
	"os"

	"github.com/panjf2000/gnet/v2/pkg/netpoll"
	"golang.org/x/sys/unix"
)

// backlog is how many connections the system may hold that were not accepted yet; it cuts that to its own bound.
const backlog = 4096

// listener is a listening socket.
type listener struct {
	fd    int
	addr  string
	fails int // calls of accept in a row that have failed
}

// open binds the socket. Another process may still listen there: one that drains.
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
	return "", fmt.Errorf("the listener's address is a %T, want one of IPv4 or IPv6", at)
}

// accept takes one connection; the poller tells of further ones in its next round. Where accept fails for a
// moment the listener rests: what waits there stays in the system's queue.
func (l *Loop) accept() {
	fd, _, err := unix.Accept4(l.listener.fd, unix.SOCK_NONBLOCK|unix.SOCK_CLOEXEC)
	switch {
	case err == nil:
		if l.listener.fails > 0 {
			l.opts.Log.Info("connections are accepted again", "fails", l.listener.fails)
			l.listener.fails = 0
		}
		l.register(fd, l.opts.Accepted())
	case err == unix.EAGAIN:
	case err == unix.EINTR, err == unix.ECONNABORTED:
		l.count("accept4", err) // the next one in the queue can be taken at once
	case broken(err):
		l.opts.Log.Error("the listener is broken", "err", os.NewSyscallError("accept4", err))
		l.fail(os.NewSyscallError("accept4", err))
	default:
		l.count("accept4", err)
		l.restListener()
	}
}

// restListener takes the listener off the poller for a while.
func (l *Loop) restListener() {
	l.listener.fails++
	if err := l.poller.Delete(l.listener.fd); err != nil {
		l.count("epoll_ctl", err)
		return // the poller tells of it again at once
	}
	l.after(l.listener.fails, l.watchListener)
}

func (l *Loop) watchListener() {
	err := l.poller.AddRead(&netpoll.PollAttachment{FD: l.listener.fd}, false)
	if err != nil {
		l.count("epoll_ctl", err)
		l.counters.Retries++
		l.after(l.listener.fails, l.watchListener)
	}
}
