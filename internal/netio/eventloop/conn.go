package eventloop

import (
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"syscall"
	"time"

	"github.com/panjf2000/gnet/v2/pkg/netpoll"
	"golang.org/x/sys/unix"

	"eiderwinch/internal/memory"
)

// interest is the set of events of a connection that the poller reports.
type interest int

const (
	noEvents interest = iota
	readEvents
	writeEvents
	readWriteEvents
)

// Conn is one connection. It may be used on the loop's goroutine only.
type Conn struct {
	loop           *Loop
	fd             int // -1 once it is closed
	handler        Handler
	unsent         []byte   // bytes given to Write that the system has not accepted yet
	unsentSize     int      // bytes allocated for unsent
	dropped        int      // bytes given to Write that are never sent, see StopWriting
	registered     interest // what it is registered for with the poller
	paused         bool     // nothing is read or written until a timer resumes it
	readingPaused  bool     // nothing is read until ResumeReading
	pauses         int      // in a row, see pause
	registerFails  int      // failed registrations with the poller, in a row
	closing        bool     // it will be closed in the next round
	writingStopped bool     // by StopWriting: nothing more is written
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
	case len(c.unsent) > 0 && c.readingPaused:
		return writeEvents
	case len(c.unsent) > 0:
		return readWriteEvents
	case c.readingPaused:
		return noEvents
	}
	return readEvents
}

func (c *Conn) register(want interest) error {
	poller, attachment := c.loop.poller, &netpoll.PollAttachment{FD: c.fd}
	switch {
	case want == noEvents:
		return poller.Delete(c.fd)
	case want == writeEvents && c.registered != noEvents: // the poller can't change to it
		if err := poller.Delete(c.fd); err != nil {
			return err
		}
		c.registered = noEvents
		return poller.AddWrite(attachment, false)
	case want == writeEvents:
		return poller.AddWrite(attachment, false)
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
	if events&(unix.EPOLLOUT|failed) != 0 && len(c.unsent) > 0 {
		c.flush()
	}
	if events&failed != 0 && c.readingPaused { // whatever was received: nobody waits for an answer any more
		c.CloseNow(os.NewSyscallError("read", unix.ECONNRESET))
		return
	}
	if events&(unix.EPOLLIN|unix.EPOLLPRI|unix.EPOLLRDHUP|failed) != 0 {
		c.read()
	}
}

func (c *Conn) read() {
	if c.closed || c.paused || c.readingPaused {
		return
	}
	limit := min(c.handler.ReadLimit(), len(c.loop.buffer))
	if limit <= 0 {
		c.pauseReading()
		return
	}
	n, err := retryInterrupted(func() (int, error) { return unix.Read(c.fd, c.loop.buffer[:limit]) }, func() { c.loop.countFailure("read", unix.EINTR) })
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

// pauseReading stops reading until ResumeReading.
func (c *Conn) pauseReading() {
	c.readingPaused = true
	c.loop.unread++
	c.updateInterest()
}

// ResumeReading continues reading after ReadLimit has returned 0. Further calls do nothing.
func (c *Conn) ResumeReading() {
	if c.readingPaused && !c.closed {
		c.readingPaused = false
		c.loop.unread--
		c.updateInterest()
	}
}

// ReadingPaused reports whether nothing is read until ResumeReading.
func (c *Conn) ReadingPaused() bool { return c.readingPaused && !c.closed }

// restBufferSize is how many bytes ReadRest reads at once.
const restBufferSize = 16 << 10

// ReadRest reads what was received and not read yet, up to limit bytes, and passes it on in pieces. It is for Handler.Closed:
// the system drops what is unread when the descriptor is closed. A piece is valid until receive returns.
func (c *Conn) ReadRest(limit int, receive func(piece []byte)) {
	buffer := make([]byte, min(limit, restBufferSize)) // the loop's own buffer may be in use: a write can close a connection at any time
	for tries := 0; limit > 0 && tries < maxInterruptTries; {
		n, err := unix.Read(c.fd, buffer[:min(limit, len(buffer))])
		switch {
		case err == unix.EINTR || isMemoryShortage(err):
			c.loop.countFailure("read", err)
			tries++
		case err != nil || n <= 0:
			return
		default:
			limit -= n
			receive(buffer[:n])
		}
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
		if len(c.unsent) > 0 {
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
	switch {
	case c.writingStopped:
		c.dropped += len(b)
		return nil
	case len(c.unsent) > 0 || c.paused:
		c.keepUnsent(b)
		return nil
	case c.loop.corked == c && len(c.loop.output)+len(b) <= maxGathered:
		c.loop.output = append(c.loop.output, b...)
		return nil
	case c.loop.corked == c:
		if err := c.sendGathered(); err != nil {
			return err
		}
		if c.Blocked() {
			c.keepUnsent(b)
			return nil
		}
	}
	return c.sendOrKeep(b)
}

// sendOrKeep sends bytes, and keeps those that the system does not accept yet.
func (c *Conn) sendOrKeep(b []byte) error {
	n, err := c.send(b)
	if err != nil {
		return err
	}
	if n < len(b) {
		c.keepUnsent(b[n:])
		c.updateInterest()
	}
	return nil
}

// keepUnsent appends to the bytes that the system has not accepted yet.
func (c *Conn) keepUnsent(b []byte) {
	grown := memory.Grow(c.unsent, len(b))
	if cap(grown) != cap(c.unsent) {
		c.unsentSize = cap(grown)
	}
	c.unsent = append(grown, b...)
}

// maxGathered is the most bytes that are gathered for one system call.
const maxGathered = 16 << 10

// Cork makes Write gather bytes until Uncork, so that several small writes take one system call. At most one connection
// of a loop may be corked at a time.
func (c *Conn) Cork() { c.loop.corked = c }

// Uncork sends what was gathered since Cork. If it returns an error, the connection is closed.
func (c *Conn) Uncork() error {
	err := c.sendGathered()
	c.loop.corked = nil
	return err
}

// sendGathered sends what was gathered, and goes on gathering.
func (c *Conn) sendGathered() error {
	if c.loop.corked != c || len(c.loop.output) == 0 || c.closed {
		return nil
	}
	gathered := c.loop.output
	c.loop.output = c.loop.output[:0]
	return c.sendOrKeep(gathered)
}

// flush sends the buffered bytes.
func (c *Conn) flush() {
	if c.closed || c.paused || c.writingStopped || !c.handler.MayFlush() {
		return
	}
	for more := true; more && len(c.unsent) > 0; {
		var n int
		n, more, _ = c.writeOnce(c.unsent)
		c.unsent = c.unsent[n:] // before the next write: if that closes the connection, Buffered must not count these bytes
	}
	if c.closed {
		return
	}
	if len(c.unsent) == 0 {
		c.unsent, c.unsentSize = nil, 0 // an open connection must not hold a buffer of the size of its longest answer
	}
	c.updateInterest()
	if len(c.unsent) == 0 {
		c.handler.Flushed()
	}
}

// send passes bytes to the system and returns how many it has accepted. If it returns an error, the connection
// is closed.
func (c *Conn) send(b []byte) (sent int, err error) {
	for more := true; more && sent < len(b); {
		var n int
		n, more, err = c.writeOnce(b[sent:])
		sent += n
	}
	return sent, err
}

// writeOnce passes bytes to the system in one call and returns how many it has accepted. more is false if it accepts no more at
// present. If writeOnce returns an error, the connection is closed.
func (c *Conn) writeOnce(b []byte) (n int, more bool, err error) {
	n, err = retryInterrupted(func() (int, error) { return c.loop.write(c.fd, b) }, func() { c.loop.countFailure("write", unix.EINTR) })
	switch {
	case err == nil:
		c.pauses = 0
		return n, true, nil
	case err == unix.EAGAIN, err == unix.EINTR:
		return 0, false, nil
	case isMemoryShortage(err):
		if c.pause("write", err); !c.closed {
			return 0, false, nil
		}
		return 0, false, os.NewSyscallError("write", err)
	}
	err = os.NewSyscallError("write", err)
	c.CloseNow(err)
	return 0, false, err
}

// Buffered returns the number of bytes given to Write that the system has not accepted yet.
func (c *Conn) Buffered() int {
	if c.loop.corked == c {
		return len(c.unsent) + c.dropped + len(c.loop.output)
	}
	return len(c.unsent) + c.dropped
}

// Blocked reports whether the system does not accept what was given to Write.
func (c *Conn) Blocked() bool { return len(c.unsent)+c.dropped > 0 }

// Stalled reports whether the last system call on the connection failed because this machine was short of memory or buffers.
func (c *Conn) Stalled() bool { return c.pauses > 0 }

// Held returns the size of the buffer for the bytes given to Write that the system has not accepted yet.
func (c *Conn) Held() int { return c.unsentSize }

// StopWriting stops all writing: bytes that the system has not accepted by now are never sent, and stay Buffered.
func (c *Conn) StopWriting() {
	c.writingStopped = true
	c.dropped += len(c.unsent)
	c.unsent, c.unsentSize = nil, 0
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
	if c.readingPaused {
		c.loop.unread--
	}
	if c.loop.corked == c {
		c.loop.corked, c.loop.output = nil, c.loop.output[:0]
	}
	delete(c.loop.conns, c.fd)
	delete(c.loop.unregistered, c)
	c.handler.Closed(reason)
	if c.registered != noEvents {
		_ = c.loop.poller.Delete(c.fd) // closing the descriptor removes it as well
	}
	_ = unix.Close(c.fd) // the descriptor is released even if this fails with EINTR
	c.fd = -1
}
