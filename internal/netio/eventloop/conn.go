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

// interest is the set of events of a connection that the poller reports.
type interest int

const (
	noEvents interest = iota
	readEvents
	readWriteEvents
)

// Conn is one connection. It may be used on the loop's goroutine only.
type Conn struct {
	loop           *Loop
	fd             int // -1 once it is closed
	handler        Handler
	unsent         bytes.Buffer // bytes given to Write that the system has not accepted yet
	registered     interest     // what it is registered for with the poller
	paused         bool         // nothing is read or written until a timer resumes it
	pauses         int          // in a row, see pause
	registerFails  int          // failed registrations with the poller, in a row
	closing        bool         // it will be closed in the next round
	writingStopped bool         // by StopWriting: nothing more is written
	closed         bool
}

// Enroll adds a connection that was opened elsewhere to the loop, which calls h.Opened. It may be called from
// any goroutine, and takes ownership of the connection even if it returns an error.
func (l *Loop) Enroll(c net.Conn, h Handler) error {
	defer c.Close()
	fd, err := duplicate(c)
	if err != nil {
		return err
	}
	// The original descriptor is closed before the loop registers the duplicate: as long as both are open, the
	// poller would report events of the connection even after the duplicate is closed.
	_ = c.Close()
	if err := l.Execute(func() { l.addConn(fd, h) }); err != nil {
		_ = unix.Close(fd)
		return err
	}
	return nil
}

// maxDuplicateTries bounds the attempts to duplicate a connection's descriptor.
const maxDuplicateTries = 6

func duplicate(c net.Conn) (fd int, err error) {
	s, ok := c.(syscall.Conn)
	if !ok {
		return -1, fmt.Errorf("connection of type %T has no file descriptor", c)
	}
	raw, err := s.SyscallConn()
	if err != nil {
		return -1, err
	}
	for try := range maxDuplicateTries {
		failed := raw.Control(func(from uintptr) {
			fd, err = unix.FcntlInt(from, unix.F_DUPFD_CLOEXEC, 0)
		})
		if failed != nil {
			return -1, failed
		}
		if err == nil {
			return fd, nil
		}
		if !IsTransient(err) {
			break
		}
		time.Sleep(minRetryWait << try)
	}
	return -1, os.NewSyscallError("fcntl", err)
}

func (l *Loop) addConn(fd int, h Handler) {
	c := &Conn{loop: l, fd: fd, handler: h}
	l.conns[fd] = c
	c.updateInterest()
	h.Opened(c)
}

// updateInterest registers the connection with the poller for the events that are wanted now. A registration
// that fails is retried.
func (c *Conn) updateInterest() {
	want := c.wantedInterest()
	if c.closed || want == c.registered {
		return
	}
	if err := c.register(want); err != nil {
		c.loop.countFailure("epoll_ctl", err)
		c.loop.retryRegistration(c)
		return
	}
	c.registered, c.registerFails = want, 0
}

func (c *Conn) wantedInterest() interest {
	switch {
	case c.paused:
		return noEvents
	case c.unsent.Len() > 0 && !c.writingStopped:
		return readWriteEvents
	}
	return readEvents
}

func (c *Conn) register(want interest) error {
	poller, attachment := c.loop.poller, &netpoll.PollAttachment{FD: c.fd}
	switch {
	case want == noEvents:
		return poller.Delete(c.fd)
	case c.registered == noEvents && want == readEvents:
		return poller.AddRead(attachment, false)
	case c.registered == noEvents:
		return poller.AddReadWrite(attachment, false)
	case want == readEvents:
		return poller.ModRead(attachment, false)
	}
	return poller.ModReadWrite(attachment, false)
}

// retryRegistration schedules a further attempt to register a connection with the poller.
func (l *Loop) retryRegistration(c *Conn) {
	c.registerFails++
	l.counters.RegistrationRetries++
	l.unregistered[c] = struct{}{}
	if !l.retryScheduled {
		l.retryScheduled = true
		l.retryAfter(c.registerFails, l.retryRegistrations)
	}
}

func (l *Loop) retryRegistrations() {
	l.retryScheduled = false
	conns := l.unregistered
	l.unregistered = make(map[*Conn]struct{})
	for c := range conns {
		c.updateInterest()
	}
}

// handleEvents handles the events that the poller has reported.
func (c *Conn) handleEvents(events netpoll.IOEvent) {
	const failed = unix.EPOLLERR | unix.EPOLLHUP
	if events&(unix.EPOLLOUT|failed) != 0 && c.unsent.Len() > 0 {
		c.flush()
	}
	if events&(unix.EPOLLIN|unix.EPOLLPRI|unix.EPOLLRDHUP|failed) != 0 {
		c.read()
	}
}

func (c *Conn) read() {
	if c.closed || c.paused {
		return
	}
	n, err := retryInterrupted(func() (int, error) { return unix.Read(c.fd, c.loop.buffer) }, func() { c.loop.countFailure("read", unix.EINTR) })
	switch {
	case err == nil && n > 0:
		c.pauses = 0
		c.handler.Traffic(c.loop.buffer[:n])
	case err == nil:
		c.CloseNow(io.EOF)
	case err == unix.EAGAIN, err == unix.EINTR: // the poller reports it again
	case isMemoryShortage(err):
		c.pause("read", err)
	default:
		c.CloseNow(os.NewSyscallError("read", err))
	}
}

// retryInterrupted repeats a system call while it fails with EINTR, up to maxInterruptTries times. It calls
// interrupted for each of these failures.
func retryInterrupted(call func() (int, error), interrupted func()) (n int, err error) {
	for range maxInterruptTries {
		if n, err = call(); err != unix.EINTR {
			return n, err
		}
		interrupted()
	}
	return n, err
}

// pause stops reading and writing on the connection for a short time after a system call that failed with err.
// After maxPauses in a row the connection is closed.
func (c *Conn) pause(call string, err error) {
	c.loop.countFailure(call, err)
	c.loop.counters.Pauses++
	if c.pauses++; c.pauses > maxPauses {
		c.CloseNow(os.NewSyscallError(call, err))
		return
	}
	c.paused = true
	c.updateInterest()
	c.loop.retryAfter(c.pauses, func() {
		c.paused = false
		if c.unsent.Len() > 0 {
			c.flush()
		}
		c.updateInterest()
	})
}

// ErrClosed is returned by Write after the connection is closed.
var ErrClosed = errors.New("the connection is closed")

// Write sends bytes, and buffers those that the system does not accept yet; see Buffered. If it returns an
// error, the connection is closed and the handler's Closed has been called.
func (c *Conn) Write(b []byte) error {
	if c.closed {
		return ErrClosed
	}
	if c.unsent.Len() > 0 || c.paused || c.writingStopped {
		c.unsent.Write(b)
		return nil
	}
	n, err := c.send(b)
	if err != nil {
		return err
	}
	if n < len(b) {
		c.unsent.Write(b[n:])
		c.updateInterest()
	}
	return nil
}

// flush sends the buffered bytes.
func (c *Conn) flush() {
	if c.closed || c.paused || c.writingStopped {
		return
	}
	n, err := c.send(c.unsent.Bytes())
	if err != nil {
		return
	}
	c.unsent.Next(n)
	c.updateInterest()
}

// send passes bytes to the system and returns how many it has accepted. If it returns an error, the connection
// is closed.
func (c *Conn) send(b []byte) (sent int, err error) {
	for sent < len(b) {
		n, err := retryInterrupted(func() (int, error) { return unix.Write(c.fd, b[sent:]) }, func() { c.loop.countFailure("write", unix.EINTR) })
		switch {
		case err == nil:
			sent += n
			c.pauses = 0
		case err == unix.EAGAIN, err == unix.EINTR:
			return sent, nil
		case isMemoryShortage(err):
			if c.pause("write", err); c.closed {
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

// Buffered returns the number of bytes given to Write that the system has not accepted yet.
func (c *Conn) Buffered() int { return c.unsent.Len() }

// Held returns the size of the buffer for the bytes given to Write that the system has not accepted yet.
func (c *Conn) Held() int { return c.unsent.Cap() }

// StopWriting stops all writing: bytes that the system has not accepted by now are never sent, and stay Buffered.
func (c *Conn) StopWriting() {
	c.writingStopped = true
	c.updateInterest()
}

// FD returns the file descriptor; -1 once the connection is closed.
func (c *Conn) FD() int { return c.fd }

// Close closes the connection in the loop's next round.
func (c *Conn) Close() {
	if !c.closed && !c.closing {
		c.closing = true
		_ = c.loop.Execute(func() { c.CloseNow(nil) })
	}
}

// CloseNow closes the connection at once and passes reason to the handler's Closed. Buffered bytes are dropped.
func (c *Conn) CloseNow(reason error) {
	if c.closed {
		return
	}
	c.closed = true
	delete(c.loop.conns, c.fd)
	delete(c.loop.unregistered, c)
	c.handler.Closed(reason)
	if c.registered != noEvents {
		_ = c.loop.poller.Delete(c.fd) // closing the descriptor removes it as well
	}
	_ = unix.Close(c.fd) // the descriptor is released even if this fails with EINTR
	c.fd = -1
}
