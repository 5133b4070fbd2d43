// Package eventloop serves the sockets of a process on one goroutine. gnet's poller (netpoll) waits until they
// are ready; this package itself accepts connections, reads, writes and wakes the loop.
//
// gnet's own loop is not used: it ends when accept fails with most errors, closes a connection whose read or
// write is interrupted or whose registration fails, and is never woken again once a write to its eventfd has
// failed. Its caller can't recover from any of that. In this package, system calls that fail temporarily are
// retried, and only permanent errors end a connection or the loop: see errors.go.
package eventloop

import (
	"errors"
	"log/slog"
	"maps"
	"math/rand/v2"
	"sync"
	"time"

	gneterrors "github.com/panjf2000/gnet/v2/pkg/errors"
	"github.com/panjf2000/gnet/v2/pkg/netpoll"
	"golang.org/x/sys/unix"
)

// Handler receives the events of one connection. Its methods are called on the loop's goroutine.
type Handler interface {
	// Opened is called once the connection is served.
	Opened(*Conn)
	// ReadLimit returns how many bytes may be read now. If it is 0, nothing is read until Conn.ResumeReading is called,
	// so that the remote side has to wait.
	ReadLimit() int
	// Traffic is called with received bytes, which are valid until it returns.
	Traffic([]byte)
	// MayFlush is called before bytes given to Write that had to wait are passed to the system. If it returns false, they
	// wait on: until the connection is writable in a later round, or for good if the handler has called StopWriting.
	MayFlush() bool
	// Flushed is called when the system has accepted all bytes given to Write, after some of them had to wait.
	Flushed()
	// Closed is called when either side closes the connection. The error is the reason; it is nil if this
	// process closed the connection without an error. Closed may be called within Conn.Write. The descriptor
	// is closed once Closed returns.
	Closed(error)
	// Kind names the kind of connection in the counters.
	Kind() string
}

// Options configures a Loop.
type Options struct {
	Accepted   func() Handler // returns the handler of a new connection
	MayAccept  func() bool    // whether a further connection may be accepted in the same round; nil allows it
	AfterEvent func()         // called after each event and each round of functions; may be nil
	Log        *slog.Logger
	Seed       uint64 // of the jitter of retries
}

// ReadBufferSize is the most bytes that are read at once.
const ReadBufferSize = 64 << 10

// Times and bounds.
const (
	minRetryWait      = time.Millisecond // before the first retry after a temporary failure; doubled each time
	maxRetryWait      = 64 * time.Millisecond
	maxInterruptTries = 64 // attempts in a row of a system call that is interrupted
	maxPauses         = 64 // pauses in a row, which take about 3 s, after which a connection counts as broken
	pollRetryWait     = time.Millisecond
	maxPollFails      = 1000 // failures of the poller in a row after which the loop ends
)

// ErrEnded is returned by Execute and Enroll after the loop has ended.
var ErrEnded = errors.New("the event loop has ended")

// Loop serves a listener and connections. The fields above mu may be used on its goroutine only.
type Loop struct {
	opts           Options
	poller         *netpoll.Poller
	wakeFD         int
	listener       listener
	conns          map[int]*Conn
	unregistered   map[*Conn]struct{} // connections whose registration with the poller is to be retried
	retryScheduled bool               // the timer of these retries runs
	buffer         []byte
	write          func(fd int, b []byte) (int, error) // unix.Write, or what a test puts in its place
	corked         *Conn                               // the connection whose writes are gathered in output; nil if there is none
	output         []byte                              // see Conn.Cork
	unread         int                                 // connections whose reading is paused by their handlers
	random         *rand.Rand
	stopped        bool
	counters       Counters
	err            error // why the loop has ended without Stop

	mu        sync.Mutex
	tasks     []func()
	signaled  bool // the eventfd was written to, or will be
	ended     bool
	wakeFails int // failed writes to the eventfd
}

// Open returns a Loop that listens at an address. Run serves it.
func Open(address string, o Options) (*Loop, error) {
	l := &Loop{
		opts: o, wakeFD: -1, conns: make(map[int]*Conn), unregistered: make(map[*Conn]struct{}),
		buffer: make([]byte, ReadBufferSize), write: unix.Write, random: rand.New(rand.NewPCG(o.Seed, 0)), counters: newCounters(),
	}
	l.listener.fd = -1
	if err := l.open(address); err != nil {
		l.release()
		return nil, err
	}
	return l, nil
}

func (l *Loop) open(address string) (err error) {
	if l.poller, err = netpoll.OpenPoller(); err != nil {
		return err
	}
	if l.wakeFD, err = unix.Eventfd(0, unix.EFD_NONBLOCK|unix.EFD_CLOEXEC); err != nil {
		return err
	}
	if err = l.poller.AddRead(&netpoll.PollAttachment{FD: l.wakeFD}, false); err != nil {
		return err
	}
	if err = l.listener.open(address); err != nil {
		return err
	}
	return l.poller.AddRead(&netpoll.PollAttachment{FD: l.listener.fd}, false)
}

// Addr returns the address that the loop listens on.
func (l *Loop) Addr() string { return l.listener.addr }

// ListenerFD returns the descriptor of the listener. It may be called on the loop's goroutine only.
func (l *Loop) ListenerFD() int { return l.listener.fd }

// UnreadConns returns the number of connections whose reading is paused, see Handler.ReadLimit. The poller reports nothing
// about such a connection unless bytes wait to be sent on it. It may be called on the loop's goroutine only.
func (l *Loop) UnreadConns() int { return l.unread }

// Counters returns the counts of failed system calls. It may be called on the loop's goroutine only.
func (l *Loop) Counters() Counters {
	c := l.counters
	c.Failures = maps.Clone(c.Failures)
	c.LongestEvents = maps.Clone(c.LongestEvents)
	l.mu.Lock()
	c.WakeFails = l.wakeFails
	l.mu.Unlock()
	return c
}

// Run serves until Stop. It returns nil after Stop, or the error because of which the loop could not continue.
func (l *Loop) Run() error {
	for fails := 0; !l.stopped; {
		handled := false
		err := l.poller.Polling(func(fd int, events netpoll.IOEvent, _ netpoll.IOFlags) error {
			handled = true
			l.handle(fd, events)
			if l.stopped {
				return gneterrors.ErrEngineShutdown
			}
			return nil
		})
		if l.stopped {
			break
		}
		if handled {
			fails = 0
		}
		if fails++; fails > maxPollFails {
			l.fail(err)
			break
		}
		l.countFailure("epoll_wait", err)
		time.Sleep(pollRetryWait)
	}
	l.shutdown()
	return l.err
}

// Stop ends the loop once the current event has been handled. It may be called on the loop's goroutine only.
func (l *Loop) Stop() { l.stopped = true }

// fail ends the loop because of a permanent error.
func (l *Loop) fail(err error) {
	l.err = err
	l.stopped = true
}

func (l *Loop) shutdown() {
	l.mu.Lock()
	l.ended = true
	tasks := l.tasks
	l.tasks = nil
	l.mu.Unlock()
	for _, task := range tasks {
		task() // tasks of Enroll add connections, which are closed below
	}
	for _, c := range l.conns {
		c.CloseNow(nil)
	}
	l.release()
}

func (l *Loop) release() {
	l.mu.Lock()
	l.ended = true
	if l.wakeFD >= 0 {
		_ = unix.Close(l.wakeFD)
		l.wakeFD = -1
	}
	l.mu.Unlock()
	l.listener.close()
	if l.poller != nil {
		_ = l.poller.Close()
	}
}

// Kinds of events that belong to no connection, for the counters.
const (
	taskEvent   = "tasks"
	acceptEvent = "accept"
)

func (l *Loop) handle(fd int, events netpoll.IOEvent) {
	began, kind := time.Now(), taskEvent
	switch {
	case fd == l.wakeFD:
		l.runTasks()
	case fd == l.listener.fd:
		kind = acceptEvent
		l.acceptSome()
	default:
		if c := l.conns[fd]; c != nil {
			kind = c.handler.Kind()
			c.handleEvents(events)
		}
	}
	l.counters.recordEvent(kind, time.Since(began))
	if l.opts.AfterEvent != nil && !l.stopped {
		l.opts.AfterEvent()
	}
}

// Execute runs f on the loop's goroutine, in a later round. It may be called from any goroutine. It returns
// ErrEnded if the loop has ended.
func (l *Loop) Execute(f func()) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.ended {
		return ErrEnded
	}
	l.tasks = append(l.tasks, f)
	if !l.signaled {
		l.signaled = true
		l.signal()
	}
	return nil
}

// signal wakes the loop. A failed write is retried until it succeeds, because the loop would not wake without
// it. The caller holds mu.
func (l *Loop) signal() {
	one := [8]byte{1} // the byte order does not matter: any value but 0 wakes the loop
	for range maxInterruptTries {
		if l.wakeFD < 0 {
			return
		}
		_, err := unix.Write(l.wakeFD, one[:])
		if err == nil || err == unix.EAGAIN { // EAGAIN: the eventfd's counter is full, so it is readable
			return
		}
		l.wakeFails++
		if err != unix.EINTR {
			break
		}
	}
	time.AfterFunc(minRetryWait, func() {
		l.mu.Lock()
		defer l.mu.Unlock()
		l.signal()
	})
}

// runTasks runs the functions that were passed to Execute.
func (l *Loop) runTasks() {
	var count [8]byte
	if _, err := unix.Read(l.wakeFD, count[:]); err != nil && err != unix.EAGAIN {
		l.countFailure("eventfd", err) // the eventfd stays readable, so the loop runs this again
	}
	l.mu.Lock()
	tasks := l.tasks
	l.tasks, l.signaled = nil, false
	l.mu.Unlock()
	for _, task := range tasks {
		task()
	}
}

// retryAfter runs f on the loop after a wait that doubles with the number of failures, with jitter.
func (l *Loop) retryAfter(fails int, f func()) {
	wait := min(minRetryWait<<min(fails, 10), maxRetryWait)
	wait = wait/2 + time.Duration(l.random.Int64N(int64(wait)))
	time.AfterFunc(wait, func() { _ = l.Execute(f) })
}
