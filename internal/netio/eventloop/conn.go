package eventloop

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"syscall"
	"time"

	"github.com/panjf2000/gnet/v2/pkg/netpoll"
	"golang.org/x/sys/unix"
)

// interest is what the poller is to tell of a connection.
type interest int

const (
	nothing interest = iota
	reads
	readsAndWrites
)

// Conn is one connection. It belongs to the loop's goroutine.
type Conn struct {
	loop    *Loop
	fd      int // -1 once it is closed
	handler Handler
	out     bytes.Buffer // what the system has not taken yet
	have    interest     // that the poller knows of
	stalled bool         // left alone until a timer ends that
	stalls  int          // in a row
	tries   int          // of its registration
	closing bool         // it is to be closed in the next round
	muted   bool         // nothing is written any more
	closed  bool
}

// Enroll has the loop serve a connection that was opened elsewhere; its Opened tells of it. It may be called
// from any goroutine, and takes the connection over in any case.
func (l *Loop) Enroll(c net.Conn, h Handler) error {
	defer c.Close()
	fd, err := duplicate(c)
	if err != nil {
		return err
	}
	// Its other descriptor is closed before the loop knows this one: as long as there are two, the poller
	// would tell of it even after this one is closed.
	_ = c.Close()
	if err := l.Execute(func() { l.register(fd, h) }); err != nil {
		_ = unix.Close(fd)
		return err
	}
	return nil
}

// duplicateTries bounds the tries to take a connection over.
const duplicateTries = 6

func duplicate(c net.Conn) (fd int, err error) {
	s, ok := c.(syscall.Conn)
	if !ok {
		return -1, fmt.Errorf("a connection of type %T has no descriptor", c)
	}
	raw, err := s.SyscallConn()
	if err != nil {
		return -1, err
	}
	for try := range duplicateTries {
		failed := raw.Control(func(from uintptr) {
			fd, err = unix.FcntlInt(from, unix.F_DUPFD_CLOEXEC, 0)
		})
		if failed != nil {
			return -1, failed
		}
		if err == nil {
			return fd, nil
		}
		if !Transient(err) {
			break
		}
		time.Sleep(leastRetry << try)
	}
	return -1, os.NewSyscallError("fcntl", err)
}

func (l *Loop) register(fd int, h Handler) {
	c := &Conn{loop: l, fd: fd, handler: h}
	l.conns[fd] = c
	c.update()
	h.Opened(c)
}

// update has the poller know what is wanted of it. Where that fails it is tried again.
func (c *Conn) update() {
	want := c.wanted()
	if c.closed || want == c.have {
		return
	}
	if err := c.tell(want); err != nil {
		c.loop.count("epoll_ctl", err)
		c.loop.retry(c)
		return
	}
	c.have, c.tries = want, 0
}

func (c *Conn) wanted() interest {
	switch {
	case c.stalled:
		return nothing
	case c.out.Len() > 0 && !c.muted:
		return readsAndWrites
	}
	return reads
}

func (c *Conn) tell(want interest) error {
	poller, at := c.loop.poller, &netpoll.PollAttachment{FD: c.fd}
	switch {
	case want == nothing:
		return poller.Delete(c.fd)
	case c.have == nothing && want == reads:
		return poller.AddRead(at, false)
	case c.have == nothing:
		return poller.AddReadWrite(at, false)
	case want == reads:
		return poller.ModRead(at, false)
	}
	return poller.ModReadWrite(at, false)
}

// retry has a connection's registration tried again.
func (l *Loop) retry(c *Conn) {
	c.tries++
	l.counters.Retries++
	l.retries[c] = struct{}{}
	if !l.retrying {
		l.retrying = true
		l.after(c.tries, l.retryAll)
	}
}

func (l *Loop) retryAll() {
	l.retrying = false
	list := l.retries
	l.retries = make(map[*Conn]struct{})
	for c := range list {
		c.update()
	}
}

// ready deals with what the poller has told.
func (c *Conn) ready(events netpoll.IOEvent) {
	const fault = unix.EPOLLERR | unix.EPOLLHUP
	if events&(unix.EPOLLOUT|fault) != 0 && c.out.Len() > 0 {
		c.flush()
	}
	if events&(unix.EPOLLIN|unix.EPOLLPRI|unix.EPOLLRDHUP|fault) != 0 {
		c.read()
	}
}

func (c *Conn) read() {
	if c.closed || c.stalled {
		return
	}
	n, err := interrupted(func() (int, error) { return unix.Read(c.fd, c.loop.buffer) }, func() { c.loop.count("read", unix.EINTR) })
	switch {
	case err == nil && n > 0:
		c.stalls = 0
		c.handler.Traffic(c.loop.buffer[:n])
	case err == nil:
		c.CloseNow(io.EOF)
	case err == unix.EAGAIN, err == unix.EINTR: // the poller tells of it again
	case stalls(err):
		c.stall("read", err)
	default:
		c.CloseNow(os.NewSyscallError("read", err))
	}
}

// interrupted makes a call until it is not interrupted any more, within a bound.
func interrupted(call func() (int, error), count func()) (n int, err error) {
	for range interruptTries {
		if n, err = call(); err != unix.EINTR {
			return n, err
		}
		count()
	}
	return n, err
}

// stall leaves a connection alone for a moment, in which nothing is read or written.
func (c *Conn) stall(call string, err error) {
	c.loop.count(call, err)
	c.loop.counters.Stalls++
	if c.stalls++; c.stalls > mostStalls {
		c.CloseNow(os.NewSyscallError(call, err))
		return
	}
	c.stalled = true
	c.update()
	c.loop.after(c.stalls, func() {
		c.stalled = false
		if c.out.Len() > 0 {
			c.flush()
		}
		c.update()
	})
}

// ErrClosed is why nothing is written any more.
var ErrClosed = errors.New("the connection is closed")

// Write sends bytes, or keeps those that the system does not take yet; see Buffered. Where it returns an error
// the connection has ended, and the handler has been told.
func (c *Conn) Write(b []byte) error {
	if c.closed {
		return ErrClosed
	}
	if c.out.Len() > 0 || c.stalled || c.muted {
		c.out.Write(b)
		return nil
	}
	n, err := c.send(b)
	if err != nil {
		return err
	}
	if n < len(b) {
		c.out.Write(b[n:])
		c.update()
	}
	return nil
}

// flush sends what is kept.
func (c *Conn) flush() {
	if c.closed || c.stalled || c.muted {
		return
	}
	n, err := c.send(c.out.Bytes())
	if err != nil {
		return
	}
	c.out.Next(n)
	c.update()
}

// send gives bytes to the system and returns how many it has taken. Where it returns an error the connection
// has ended.
func (c *Conn) send(b []byte) (sent int, err error) {
	for sent < len(b) {
		n, err := interrupted(func() (int, error) { return unix.Write(c.fd, b[sent:]) }, func() { c.loop.count("write", unix.EINTR) })
		switch {
		case err == nil:
			sent += n
			c.stalls = 0
		case err == unix.EAGAIN, err == unix.EINTR:
			return sent, nil
		case stalls(err):
			if c.stall("write", err); c.closed {
				return sent, os.NewSyscallError("write", err)
			}
			return sent, nil
		default:
			err = os.NewSyscallError("write", err)
			c.CloseNow(err)
			return sent, err
		}
	}
	return sent, nil
}

// Buffered is how many bytes were given to Write that the system has not taken yet.
func (c *Conn) Buffered() int { return c.out.Len() }

// Mute has nothing written any more: what the system has not taken by now never leaves, and stays Buffered.
func (c *Conn) Mute() {
	c.muted = true
	c.update()
}

// Fd is the descriptor; -1 once the connection is closed.
func (c *Conn) Fd() int { return c.fd }

// Close closes the connection in the loop's next round.
func (c *Conn) Close() {
	if !c.closed && !c.closing {
		c.closing = true
		_ = c.loop.Execute(func() { c.CloseNow(nil) })
	}
}

// CloseNow closes the connection at once, for a reason. What is kept of writes is dropped.
func (c *Conn) CloseNow(reason error) {
	if c.closed {
		return
	}
	c.closed = true
	delete(c.loop.conns, c.fd)
	delete(c.loop.retries, c)
	c.handler.Closed(reason)
	if c.have != nothing {
		_ = c.loop.poller.Delete(c.fd) // the close takes it off as well
	}
	_ = unix.Close(c.fd) // after EINTR too, the descriptor is free
	c.fd = -1
}
