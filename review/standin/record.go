package main

import (
	"bufio"
	"fmt"
	"os"
	"sync"
	"time"
)

// record is the file that holds what was sent, answered and run, with the time since the start of the case.
type record struct {
	start time.Time

	mu     sync.Mutex
	file   *os.File
	out    *bufio.Writer
	closed bool
}

func newRecord(path string) (*record, error) {
	f, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &record{start: time.Now(), file: f, out: bufio.NewWriter(f)}, nil
}

// now returns the time since the start of the case.
func (r *record) now() time.Duration { return time.Since(r.start) }

// log writes one line.
func (r *record) log(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.closed {
		fmt.Fprintf(r.out, "%9.4f %s\n", r.now().Seconds(), fmt.Sprintf(format, args...))
	}
}

func (r *record) close() {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.closed {
		r.closed = true
		r.out.Flush()
		r.file.Close()
	}
}
