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

// echo sends back what comes.
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
func (e *echo) Closed(reason error) { e.ended <- reason }

// serve runs a loop whose connections echo, and returns it with where connections tell of their ends.
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
	_ = c.SetDeadline(time.Now().Add(testpeer.Patience))
	return c
}

func TestALoopServesUntilItIsStopped(t *testing.T) {
	l, ended, done := serve(t)
	c := dial(t, l)
	sent := bytes.Repeat([]byte("0123456789abcdef"), 1<<16) // more than the system holds: it waits in the connection
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
		t.Error("other bytes have come back")
	}
	if err := l.Execute(l.Stop); err != nil {
		t.Error(err)
	}
	if err := testpeer.Get(t, done, "the end"); err != nil {
		t.Error(err)
	}
	if err := testpeer.Get(t, ended, "the connection's end"); err != nil {
		t.Errorf("closed for %v", err)
	}
	if err := l.Execute(func() { t.Error("run after the end") }); !errors.Is(err, ErrEnded) {
		t.Errorf("Execute after the end: %v", err)
	}
}

func TestWhatIsEnrolledAfterTheEndIsClosed(t *testing.T) {
	l, _, done := serve(t)
	peer, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer peer.Close()
	_ = l.Execute(l.Stop)
	testpeer.Get(t, done, "the end")
	c, err := net.Dial("tcp", peer.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	if err := l.Enroll(c, &echo{}); !errors.Is(err, ErrEnded) {
		t.Errorf("Enroll: %v", err)
	}
	far, err := peer.Accept()
	if err != nil {
		t.Fatal(err)
	}
	_ = far.SetDeadline(time.Now().Add(testpeer.Patience))
	if n, err := far.Read(make([]byte, 1)); n != 0 || errors.Is(err, os.ErrDeadlineExceeded) {
		t.Errorf("the other side reads %d, %v", n, err)
	}
}

// What a muted connection holds never leaves.
func TestAMutedConnectionWritesNothing(t *testing.T) {
	l, ended, _ := serve(t)
	peer, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer peer.Close()
	c, err := net.Dial("tcp", peer.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	far, err := peer.Accept()
	if err != nil {
		t.Fatal(err)
	}
	defer far.Close()
	h := &echo{ended: ended, opened: make(chan *Conn, 1)}
	if err := l.Enroll(c, h); err != nil {
		t.Fatal(err)
	}
	own := testpeer.Get(t, h.opened, "the connection")
	held := make(chan int, 1)
	_ = l.Execute(func() {
		own.Mute()
		_ = own.Write([]byte("held"))
		held <- own.Buffered()
		own.Close()
	})
	if n := testpeer.Get(t, held, "what is held"); n != len("held") {
		t.Errorf("%d bytes held", n)
	}
	_ = far.SetDeadline(time.Now().Add(testpeer.Patience))
	if n, _ := far.Read(make([]byte, 8)); n != 0 {
		t.Errorf("%d bytes have left", n)
	}
	_ = l.Execute(l.Stop)
}

func TestWhichErrorsPass(t *testing.T) {
	for err, want := range map[syscall.Errno]bool{
		unix.EINTR: true, unix.ENFILE: true, unix.EMFILE: true, unix.ENOBUFS: true, unix.ENOMEM: true,
		unix.EADDRNOTAVAIL: true, unix.ENETUNREACH: true,
		unix.ECONNREFUSED: false, unix.ECONNRESET: false, unix.ETIMEDOUT: false, unix.EHOSTUNREACH: false, unix.EINVAL: false,
	} {
		if Transient(&net.OpError{Op: "dial", Err: os.NewSyscallError("connect", err)}) != want {
			t.Errorf("%v: want %v", err, want)
		}
	}
	for _, err := range [...]error{unix.EMFILE, unix.ENFILE, unix.EPROTO, unix.ENETDOWN, unix.EPERM, unix.EOPNOTSUPP} {
		if broken(err) {
			t.Errorf("accept: %v ends the loop", err)
		}
	}
	if Transient(errors.New("malformed")) || !broken(unix.EBADF) {
		t.Error("what can't pass is taken to pass")
	}
}

func TestCountersOfFailuresAreBounded(t *testing.T) {
	var log bytes.Buffer
	l := &Loop{counters: newCounters(), opts: Options{Log: slog.New(slog.NewTextHandler(&log, nil))}}
	for i := range 3 * maxNames {
		l.count(fmt.Sprintf("call%d", i), unix.EIO)
	}
	l.count("call0", unix.EIO)
	if n := len(l.counters.Fails); n > maxNames+1 || l.counters.Fails["call0.EIO"] != 2 {
		t.Errorf("%d names, %d", n, l.counters.Fails["call0.EIO"])
	}
	if lines := strings.Count(log.String(), "\n"); lines > maxNames+1 {
		t.Errorf("%d lines of log", lines)
	}
}
