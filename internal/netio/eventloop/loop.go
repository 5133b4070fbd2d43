// Package eventloop serves the sockets of a process on one goroutine. gnet's poller (netpoll) waits until
// they are ready; this package accepts, reads, writes and wakes the loop itself.
//
// gnet's own loop is not used: it ends when accept fails with most errors, closes a connection whose read or
// write is interrupted or whose registration fails, and is never woken again once a write to its eventfd has
// failed. Nothing of that can be made good by its caller. Here a call that fails for a moment is tried again,
// and only what can't pass ends a connection or the loop: see errors.go.
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

// Handler is told what happens to one connection, on the loop.
type Handler interface {
	// Opened is called once the connection is served.
	Opened(*Conn)
	// Traffic is called with bytes that have come. They hold until it returns.
	Traffic([]byte)
	// Closed is called when the connection ends, by whichever side, with the reason; nil where it was closed
	// here. It may be called within Conn.Write. The descriptor is closed once it returns.
	Closed(error)
}

// Options is how a loop works.
type Options struct {
	Accepted func() Handler // returns the handler of a new connection
	After    func()         // called after each event and each round of functions; may be nil
	Log      *slog.Logger
	Seed     uint64 // of the jitter of retries
}

// Times and bounds.
const (
	readBuffer     = 64 << 10
	leastRetry     = time.Millisecond // before the first further try of what failed for a moment; twice as long each time
	mostRetry      = 64 * time.Millisecond
	interruptTries = 64 // tries in a row of a call that is interrupted
	mostStalls     = 64 // failures in a row after which a connection is taken for broken: some 3 s
	repollWait     = time.Millisecond
	mostRepolls    = 1000 // failures of the wait in a row after which the loop ends
)

// ErrEnded is why nothing is taken any more.
var ErrEnded = errors.New("the event loop has ended")

// Loop serves a listener and connections. Its fields belong to its goroutine, but for those below mu.
type Loop struct {
	opts     Options
	poller   *netpoll.Poller
	wakeFD   int
	listener listener
	conns    map[int]*Conn
	retries  map[*Conn]struct{} // whose registration is to be tried again
	retrying bool               // a timer for that runs
	buffer   []byte
	random   *rand.Rand
	stopped  bool
	counters Counters
	fault    error // why the loop has ended by itself

	mu       sync.Mutex
	tasks    []func()
	signaled bool // the eventfd was written to, or will be
	ended    bool
	lost     int // writes to the eventfd that failed
}

// Open makes a loop that listens at an address. Run serves.
func Open(address string, o Options) (*Loop, error) {
	l := &Loop{
		opts: o, wakeFD: -1, conns: make(map[int]*Conn), retries: make(map[*Conn]struct{}),
		buffer: make([]byte, readBuffer), random: rand.New(rand.NewPCG(o.Seed, 0)), counters: newCounters(),
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

// Addr is the address listened on.
func (l *Loop) Addr() string { return l.listener.addr }

// ListenerFd is the descriptor of the listener, for the loop's goroutine.
func (l *Loop) ListenerFd() int { return l.listener.fd }

// Counters counts what the loop had to bear. For the loop's goroutine.
func (l *Loop) Counters() Counters {
	c := l.counters
	c.Fails = maps.Clone(c.Fails)
	l.mu.Lock()
	c.WakeFails = l.lost
	l.mu.Unlock()
	return c
}

// Run serves until Stop, and returns why it could not go on; nil after Stop.
func (l *Loop) Run() error {
	for fails := 0; !l.stopped; {
		told := false
		err := l.poller.Polling(func(fd int, events netpoll.IOEvent, _ netpoll.IOFlags) error {
			told = true
			l.handle(fd, events)
			if l.stopped {
				return gneterrors.ErrEngineShutdown
			}
			return nil
		})
		if l.stopped {
			break
		}
		if told {
			fails = 0
		}
		if fails++; fails > mostRepolls {
			l.fail(err)
			break
		}
		l.count("epoll_wait", err)
		time.Sleep(repollWait)
	}
	l.end()
	return l.fault
}

// Stop ends the loop once the event in hand has been dealt with. For the loop's goroutine.
func (l *Loop) Stop() { l.stopped = true }

// fail ends the loop for an error that can't pass.
func (l *Loop) fail(err error) {
	l.fault = err
	l.stopped = true
}

func (l *Loop) end() {
	l.mu.Lock()
	l.ended = true
	tasks := l.tasks
	l.tasks = nil
	l.mu.Unlock()
	for _, task := range tasks {
		task() // a connection that was handed over may be among them
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

func (l *Loop) handle(fd int, events netpoll.IOEvent) {
	switch {
	case fd == l.wakeFD:
		l.runTasks()
	case fd == l.listener.fd:
		l.accept()
	default:
		if c := l.conns[fd]; c != nil {
			c.ready(events)
		}
	}
	if l.opts.After != nil && !l.stopped {
		l.opts.After()
	}
}

// Execute has f run on the loop. It may be called from any goroutine; the error is ErrEnded.
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

// signal wakes the loop. A write that fails is tried again until it succeeds: without it the loop would sleep
// on. It is called with mu held.
func (l *Loop) signal() {
	one := [8]byte{1} // the system's byte order does not matter: anything but 0 wakes
	for range interruptTries {
		if l.wakeFD < 0 {
			return
		}
		_, err := unix.Write(l.wakeFD, one[:])
		if err == nil || err == unix.EAGAIN { // EAGAIN: its counter is full, so it is readable
			return
		}
		l.lost++
		if err != unix.EINTR {
			break
		}
	}
	time.AfterFunc(leastRetry, func() {
		l.mu.Lock()
		defer l.mu.Unlock()
		l.signal()
	})
}

// runTasks runs what Execute was given.
func (l *Loop) runTasks() {
	var count [8]byte
	if _, err := unix.Read(l.wakeFD, count[:]); err != nil && err != unix.EAGAIN {
		l.count("eventfd", err) // it stays readable, so that the loop comes here again
	}
	l.mu.Lock()
	tasks := l.tasks
	l.tasks, l.signaled = nil, false
	l.mu.Unlock()
	for _, task := range tasks {
		task()
	}
}

// after runs f on the loop after a wait for a further try: twice as long for each try before, with jitter.
func (l *Loop) after(tries int, f func()) {
	wait := min(leastRetry<<min(tries, 10), mostRetry)
	wait = wait/2 + time.Duration(l.random.Int64N(int64(wait)))
	time.AfterFunc(wait, func() { _ = l.Execute(f) })
}
