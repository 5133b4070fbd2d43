package asynclog

import (
	"bytes"
	"errors"
	"strings"
	"testing"
	"time"
)

// slowOutput blocks each write until open is closed, and then fails with err if it is set.
type slowOutput struct {
	bytes.Buffer
	open chan struct{}
	err  error
}

func (o *slowOutput) Write(b []byte) (int, error) {
	<-o.open
	if o.err != nil {
		return 0, o.err
	}
	return o.Buffer.Write(b)
}

// Guards against a process that blocks because nobody reads its log, as on a full pipe.
func TestStalledReaderDoesNotBlockWrites(t *testing.T) {
	output := &slowOutput{open: make(chan struct{})}
	w := New(output)
	const lines = queueCapacity + 100
	began := time.Now()
	for range lines {
		if _, err := w.Write([]byte("line\n")); err != nil {
			t.Fatal(err)
		}
	}
	if took := time.Since(began); took > 5*time.Second {
		t.Errorf("%d lines took %v", lines, took)
	}
	dropped, _ := w.Lost()
	if dropped < 99 || dropped > 100 {
		t.Errorf("%d dropped, want those beyond the queue", dropped)
	}
	close(output.open)
	w.Close()
	if got := strings.Count(output.String(), "line\n"); got != lines-int(dropped) {
		t.Errorf("%d lines written, want %d", got, lines-int(dropped))
	}
	if !strings.Contains(output.String(), "log lines dropped") {
		t.Error("the loss is not logged")
	}
}

// Guards against an end that hides lost lines: the goroutine finds the end before it has taken a line.
func TestLossIsLoggedAtTheEnd(t *testing.T) {
	output := &slowOutput{open: make(chan struct{})}
	close(output.open)
	w := newWriter(output)
	for range queueCapacity + 1 {
		_, _ = w.Write([]byte("line\n"))
	}
	close(w.stop)
	for len(w.lines) > 0 { // with none left, the goroutine takes the stop for sure
		<-w.lines
	}
	w.run()
	if !strings.Contains(output.String(), "log lines dropped\" dropped=1\n") {
		t.Errorf("the log is %q, want the loss of one line", output.String())
	}
}

func TestFailedWritesAreCounted(t *testing.T) {
	output := &slowOutput{open: make(chan struct{}), err: errors.New("broken pipe")}
	close(output.open)
	w := New(output)
	_, _ = w.Write([]byte("line\n"))
	w.Close()
	if _, failed := w.Lost(); failed != 1 {
		t.Errorf("%d failed, want 1", failed)
	}
}
