// Package asynclog writes log lines without blocking the process on a slow reader of the log: lines wait in a
// bounded queue for a goroutine that writes them. When the queue is full, lines are dropped and counted.
package asynclog

import (
	"fmt"
	"io"
	"sync/atomic"
	"time"
)

const (
	queueCapacity = 4096                   // lines
	closeTimeout  = 500 * time.Millisecond // for writing the queued lines in Close
)

// Writer is an io.Writer that does not block. Create it with New.
type Writer struct {
	output   io.Writer
	lines    chan []byte
	stop     chan struct{}
	done     chan struct{}
	dropped  atomic.Int64 // lines dropped because the queue was full
	failed   atomic.Int64 // lines that could not be written
	reported int64        // of the dropped lines, those that were logged; used by run alone
}

// New returns a Writer that writes lines to output from a single goroutine.
func New(output io.Writer) *Writer {
	w := newWriter(output)
	go w.run()
	return w
}

// newWriter returns a Writer whose goroutine is not started.
func newWriter(output io.Writer) *Writer {
	return &Writer{output: output, lines: make(chan []byte, queueCapacity), stop: make(chan struct{}), done: make(chan struct{})}
}

// Write queues one line. It never fails: problems of the log must not affect the code that logs.
func (w *Writer) Write(line []byte) (int, error) {
	select {
	case w.lines <- append([]byte(nil), line...):
	default:
		w.dropped.Add(1)
	}
	return len(line), nil
}

// Lost returns the number of lines dropped because the queue was full, and of those that could not be written.
func (w *Writer) Lost() (dropped, failed int64) { return w.dropped.Load(), w.failed.Load() }

// Close writes the queued lines and logs how many were dropped, for at most closeTimeout, and ends the goroutine.
func (w *Writer) Close() {
	close(w.stop)
	select {
	case <-w.done:
	case <-time.After(closeTimeout):
	}
}

func (w *Writer) run() {
	defer close(w.done)
	for {
		select {
		case line := <-w.lines:
			w.write(line)
		case <-w.stop:
			for len(w.lines) > 0 {
				w.write(<-w.lines)
			}
			w.reportDropped()
			return
		}
		w.reportDropped()
	}
}

// reportDropped logs how many lines were dropped since the last report.
func (w *Writer) reportDropped() {
	if dropped := w.dropped.Load(); dropped > w.reported {
		w.write(fmt.Appendf(nil, "level=WARN msg=\"log lines dropped\" dropped=%d\n", dropped-w.reported))
		w.reported = dropped
	}
}

func (w *Writer) write(line []byte) {
	if _, err := w.output.Write(line); err != nil {
		w.failed.Add(1)
	}
}
