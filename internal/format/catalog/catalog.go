// Package catalog reads the member lists that discovery sends. It does no I/O.
package catalog

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"time"
)

// Phase is a searcher's state in a list.
type Phase string

// The phases of a searcher; Gone stands in changes only.
const (
	Ready       Phase = "Ready"
	Terminating Phase = "Terminating"
	Gone        Phase = "Gone"
)

// Member is one searcher.
type Member struct {
	ID        string  `json:"id"`
	HostPort  string  `json:"host_port"`
	Locality  string  `json:"locality"`
	Flavor    string  `json:"flavor"`
	Cell      int     `json:"cell"`
	Phase     Phase   `json:"phase"`
	Size      float64 `json:"size"`
	UpSinceMS int64   `json:"up_since_ms"`
}

// Started is when the searcher last started; zero means long ago.
func (m Member) Started() time.Time {
	if m.UpSinceMS == 0 {
		return time.Time{}
	}
	return time.UnixMilli(m.UpSinceMS)
}

// Update is a list or, where it is not Complete, the changes to one.
type Update struct {
	Revision int64    `json:"revision"`
	Complete bool     `json:"complete"`
	Members  []Member `json:"members"`
}

// Check tells what is wrong with an update, if anything.
func (u Update) Check() error {
	for i, m := range u.Members {
		switch {
		case m.ID == "":
			return fmt.Errorf("members[%d]: id is missing", i)
		case m.Phase != Ready && m.Phase != Terminating && m.Phase != Gone:
			return fmt.Errorf("members[%d]: unknown phase %q", i, m.Phase)
		case m.HostPort == "" && m.Phase == Ready:
			return fmt.Errorf("members[%d]: host_port is missing", i)
		}
	}
	return nil
}

// Parse reads one update.
func Parse(line []byte) (Update, error) {
	var u Update
	if err := json.Unmarshal(line, &u); err != nil {
		return Update{}, fmt.Errorf("catalog: %w", err)
	}
	if err := u.Check(); err != nil {
		return Update{}, fmt.Errorf("catalog: %w", err)
	}
	return u, nil
}

// MaxLine bounds a line of a watch.
const MaxLine = 1 << 20

var errLine = errors.New("catalog: the line is too long")

// Lines splits what comes on a watch into lines.
type Lines struct{ buf []byte }

// Feed takes in bytes and passes each whole line that is not empty to emit.
func (l *Lines) Feed(b []byte, emit func([]byte) error) error {
	l.buf = append(l.buf, b...)
	rest := l.buf
	for {
		line, after, ok := bytes.Cut(rest, []byte("\n"))
		if !ok {
			break
		}
		rest = after
		if line = bytes.TrimSpace(line); len(line) == 0 {
			continue
		}
		if err := emit(line); err != nil {
			return err
		}
	}
	if l.buf = append(l.buf[:0], rest...); len(rest) == 0 {
		l.buf = nil // the room of a whole list is not needed for changes
	}
	if len(l.buf) > MaxLine {
		return errLine
	}
	return nil
}
