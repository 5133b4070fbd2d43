// Package asynclog keeps a log's reader from holding up the process: lines wait in a bounded queue for a
// goroutine that writes them, and are dropped and counted where the reader is too slow.
package asynclog

import (
	"fmt"
	"io"
	"sync/atomic"
	"time"
)

const (
	queued    = 4096                   // lines that wait
	flushTime = 500 * time.Millisecond // for what waits at the end
)

// Writer is an io.Writer that does not block. Make it with New.
type Writer struct {
	to      io.Writer
	lines   chan []byte
	stop    chan struct{}
	done    chan struct{}
	dropped atomic.Int64 // lines that found no room
	failed  atomic.Int64 // lines that could not be written
}

// New returns a Writer of lines to another, which is written to by one goroutine.
func New(to io.Writer) *Writer {
	w := &Writer{to: to, lines: make(chan []byte, queued), stop: make(chan struct{}), done: make(chan struct{})}
	go w.run()
	return w
}

// Write takes one line. It never fails: the log's troubles are not its writers'.
func (w *Writer) Write(line []byte) (int, error) {
	select {
	case w.lines <- append([]byte(nil), line...):
	default:
		w.dropped.Add(1)
	}
	return len(line), nil
}

// Lost is how many lines were dropped for want of room, and how many could not be written.
func (w *Writer) Lost() (dropped, failed int64) { return w.dropped.Load(), w.failed.Load() }

// Close writes what waits, for a while, and ends the goroutine.
func (w *Writer) Close() {
	close(w.stop)
	select {
	case <-w.done:
	case <-time.After(flushTime):
	}
}

func (w *Writer) run() {
	defer close(w.done)
	for told := int64(0); ; {
		select {
		case line := <-w.lines:
			w.write(line)
		case <-w.stop:
			for len(w.lines) > 0 {
				w.write(<-w.lines)
			}
			return
		}
		if dropped := w.dropped.Load(); dropped > told {
			w.write(fmt.Appendf(nil, "level=WARN msg=\"log lines dropped\" dropped=%d\n", dropped-told))
			told = dropped
		}
	}
}

func (w *Writer) write(line []byte) {
	if _, err := w.to.Write(line); err != nil {
		w.failed.Add(1)
	}
}
