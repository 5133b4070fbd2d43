package asynclog

import (
	"bytes"
	"errors"
	"strings"
	"testing"
	"time"
)

// reader takes lines as a test lets it.
type reader struct {
	bytes.Buffer
	open chan struct{}
	err  error
}

func (r *reader) Write(b []byte) (int, error) {
	<-r.open
	if r.err != nil {
		return 0, r.err
	}
	return r.Buffer.Write(b)
}

func TestAReaderThatStandsStillHoldsUpNobody(t *testing.T) {
	r := &reader{open: make(chan struct{})}
	w := New(r)
	const lines = queued + 100
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
		t.Errorf("%d dropped, want those that found no room", dropped)
	}
	close(r.open)
	w.Close()
	if got := strings.Count(r.String(), "line\n"); got != lines-int(dropped) {
		t.Errorf("%d lines written, want %d", got, lines-int(dropped))
	}
	if !strings.Contains(r.String(), "log lines dropped") {
		t.Error("the loss is not told")
	}
}

func TestALogThatCannotBeWrittenIsCounted(t *testing.T) {
	r := &reader{open: make(chan struct{}), err: errors.New("broken pipe")}
	close(r.open)
	w := New(r)
	_, _ = w.Write([]byte("line\n"))
	w.Close()
	if _, failed := w.Lost(); failed != 1 {
		t.Errorf("%d failed, want 1", failed)
	}
}
