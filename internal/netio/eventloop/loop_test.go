package eventloop

import (
	"bytes"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"os"
	"strings"
	"syscall"
	"testing"
	"time"

	"golang.org/x/sys/unix"

	"eiderwinch/internal/trial/testpeer"
)

// echo is a Handler that sends back the bytes it receives.
type echo struct {
	conn   *Conn
	ended  chan error
	opened chan *Conn
}

func (e *echo) Opened(c *Conn) {
	e.conn = c
	if e.opened != nil {
		e.opened <- c
	}
}
func (e *echo) Traffic(b []byte)    { _ = e.conn.Write(b) }
func (e *echo) ReadLimit() int      { return ReadBufferSize }
func (e *echo) MayFlush() bool      { return true }
func (e *echo) Flushed()            {}
func (e *echo) Closed(reason error) { e.ended <- reason }
func (e *echo) Kind() string        { return "echo" }

// serve runs a loop whose connections echo. It returns the loop, the channel of the reasons with which its
// connections are closed, and the channel of Run's result.
func serve(t *testing.T) (l *Loop, ended chan error, done chan error) {
	t.Helper()
	ended, done = make(chan error, 16), make(chan error, 1)
	l, err := Open("127.0.0.1:0", Options{Accepted: func() Handler { return &echo{ended: ended} }, Log: slog.New(slog.DiscardHandler)})
	if err != nil {
		t.Fatal(err)
	}
	go func() { done <- l.Run() }()
	return l, ended, done
}

func dial(t *testing.T, l *Loop) net.Conn {
	t.Helper()
	c, err := net.Dial("tcp", l.Addr())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = c.Close() })
	_ = c.SetDeadline(time.Now().Add(testpeer.Timeout))
	return c
}

func TestLoopServesUntilStopped(t *testing.T) {
	l, ended, done := serve(t)
	c := dial(t, l)
	sent := bytes.Repeat([]byte("0123456789abcdef"), 1<<16) // more than the system buffers: the rest waits in the Conn
	go func() { _, _ = c.Write(sent) }()
	got := make([]byte, len(sent))
	for n := 0; n < len(got); {
		k, err := c.Read(got[n:])
		if err != nil {
			t.Fatal(err)
		}
		n += k
	}
	if !bytes.Equal(sent, got) {
		t.Error("the echoed bytes differ from those sent")
	}
	if err := l.Execute(l.Stop); err != nil {
		t.Error(err)
	}
	if err := testpeer.Receive(t, done, "the end"); err != nil {
		t.Error(err)
	}
	if err := testpeer.Receive(t, ended, "the connection's end"); err != nil {
		t.Errorf("connection closed with reason %v, want nil", err)
	}
	if err := l.Execute(func() { t.Error("function run after the loop has ended") }); !errors.Is(err, ErrEnded) {
		t.Errorf("Execute after the end: %v", err)
	}
}

// A connection that is enrolled after the loop has ended must be closed: otherwise its descriptor leaks.
func TestConnEnrolledAfterLoopEndIsClosed(t *testing.T) {
	l, _, done := serve(t)
	peer, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer peer.Close()
	_ = l.Execute(l.Stop)
	testpeer.Receive(t, done, "the end")
	c, err := net.Dial("tcp", peer.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	if err := l.Enroll(c, &echo{}); !errors.Is(err, ErrEnded) {
		t.Errorf("Enroll: %v", err)
	}
	remote, err := peer.Accept()
	if err != nil {
		t.Fatal(err)
	}
	_ = remote.SetDeadline(time.Now().Add(testpeer.Timeout))
	if n, err := remote.Read(make([]byte, 1)); n != 0 || errors.Is(err, os.ErrDeadlineExceeded) {
		t.Errorf("the peer read %d bytes, error %v, want a closed connection", n, err)
	}
}

// enroll adds a connection to a loop, and returns its other end.
func enroll(t *testing.T, l *Loop, h Handler) (remote net.Conn) {
	t.Helper()
	peer, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { peer.Close() })
	c, err := net.Dial("tcp", peer.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	if remote, err = peer.Accept(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { remote.Close() })
	if err := l.Enroll(c, h); err != nil {
		t.Fatal(err)
	}
	return remote
}

// Guards against a part that is sent twice: bytes that left just before a reset, in the same flush, must not count as unsent.
func TestBytesSentBeforeAResetAreNotBuffered(t *testing.T) {
	const kept, accepted = 1000, 600
	l, _, _ := serve(t)
	h := &atEnd{opened: make(chan *Conn, 1), buffered: make(chan int, 1)}
	enroll(t, l, h)
	h.conn = testpeer.Receive(t, h.opened, "the connection")
	_ = l.Execute(func() {
		results := []struct {
			n   int
			err error
		}{{0, unix.EAGAIN}, {accepted, nil}, {0, unix.ECONNRESET}}
		l.write = func(int, []byte) (int, error) {
			next := results[0]
			results = results[1:]
			return next.n, next.err
		}
		_ = h.conn.Write(make([]byte, kept))
		h.conn.flush()
		l.write = unix.Write
	})
	if n := testpeer.Receive(t, h.buffered, "the end"); n != kept-accepted {
		t.Errorf("%d bytes count as unsent, want %d", n, kept-accepted)
	}
	_ = l.Execute(l.Stop)
}

// atEnd is a Handler that reports how many bytes are buffered when the connection ends.
type atEnd struct {
	echo
	opened   chan *Conn
	buffered chan int
}

func (a *atEnd) Opened(c *Conn) { a.opened <- c }
func (a *atEnd) Closed(error)   { a.buffered <- a.conn.Buffered() }

// Bytes that are buffered in a connection after StopWriting are never sent.
func TestNothingIsWrittenAfterStopWriting(t *testing.T) {
	l, ended, _ := serve(t)
	h := &echo{ended: ended, opened: make(chan *Conn, 1)}
	remote := enroll(t, l, h)
	conn := testpeer.Receive(t, h.opened, "the connection")
	buffered := make(chan int, 1)
	_ = l.Execute(func() {
		conn.StopWriting()
		_ = conn.Write([]byte("held"))
		buffered <- conn.Buffered()
		conn.Close()
	})
	if n := testpeer.Receive(t, buffered, "the number of buffered bytes"); n != len("held") {
		t.Errorf("%d bytes buffered", n)
	}
	_ = remote.SetDeadline(time.Now().Add(testpeer.Timeout))
	if n, _ := remote.Read(make([]byte, 8)); n != 0 {
		t.Errorf("%d bytes were sent", n)
	}
	_ = l.Execute(l.Stop)
}

// gate is a Handler that decides whether bytes that had to wait may be sent.
type gate struct {
	echo
	open bool
}

func (g *gate) MayFlush() bool { return g.open }

// Guards against bytes that leave without a question after a shortage of buffers: whatever made them wait, the handler is asked.
func TestBytesThatHadToWaitAreSentIfTheHandlerAllows(t *testing.T) {
	l, ended, _ := serve(t)
	h := &gate{echo: echo{ended: ended, opened: make(chan *Conn, 1)}}
	enroll(t, l, h)
	conn := testpeer.Receive(t, h.opened, "the connection")
	left := make(chan int, 2)
	_ = l.Execute(func() {
		conn.pause("write", unix.ENOBUFS)
		_ = conn.Write([]byte("kept"))
		conn.paused = false // as when the pause is over
		conn.flush()
		left <- conn.Buffered()
		if !conn.Stalled() {
			t.Error("the shortage does not show")
		}
		h.open = true
		conn.flush()
		left <- conn.Buffered()
		if conn.Stalled() {
			t.Error("the shortage shows after a write")
		}
	})
	if n := testpeer.Receive(t, left, "what is left"); n != len("kept") {
		t.Errorf("%d bytes wait that might not be sent", n)
	}
	if n := testpeer.Receive(t, left, "what is left"); n != 0 {
		t.Errorf("%d bytes wait that may be sent", n)
	}
	_ = l.Execute(l.Stop)
}

func TestTransientErrors(t *testing.T) {
	for err, want := range map[syscall.Errno]bool{
		unix.EINTR: true, unix.ENFILE: true, unix.EMFILE: true, unix.ENOBUFS: true, unix.ENOMEM: true,
		unix.EADDRNOTAVAIL: true, unix.ENETUNREACH: true,
		unix.ECONNREFUSED: false, unix.ECONNRESET: false, unix.ETIMEDOUT: false, unix.EHOSTUNREACH: false, unix.EINVAL: false,
	} {
		if IsTransient(&net.OpError{Op: "dial", Err: os.NewSyscallError("connect", err)}) != want {
			t.Errorf("%v: want %v", err, want)
		}
	}
	for _, err := range [...]error{unix.EMFILE, unix.ENFILE, unix.EPROTO, unix.ENETDOWN, unix.EPERM, unix.EOPNOTSUPP} {
		if isListenerBroken(err) {
			t.Errorf("accept: %v is treated as an error that ends the loop", err)
		}
	}
	if IsTransient(errors.New("malformed")) || !isListenerBroken(unix.EBADF) {
		t.Error("a permanent error is treated as a temporary one")
	}
}

// Neither the failure counters nor the log may grow without bound, whatever calls fail.
func TestFailureCountersAreBounded(t *testing.T) {
	var log bytes.Buffer
	l := &Loop{counters: newCounters(), opts: Options{Log: slog.New(slog.NewTextHandler(&log, nil))}}
	for i := range 3 * maxFailNames {
		l.countFailure(fmt.Sprintf("call%d", i), unix.EIO)
	}
	l.countFailure("call0", unix.EIO)
	if n := len(l.counters.Failures); n > maxFailNames+1 || l.counters.Failures["call0.EIO"] != 2 {
		t.Errorf("%d names; call0.EIO counted %d times", n, l.counters.Failures["call0.EIO"])
	}
	if lines := strings.Count(log.String(), "\n"); lines > maxFailNames+1 {
		t.Errorf("%d lines logged", lines)
	}
}
