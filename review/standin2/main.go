// Command standin2 plays the cases review/6 to review/10. It starts the project's own
// programs as processes and is itself every other side of them: searchers, discovery,
// the platform and the clients, all on loopback.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"sync"
	"syscall"
	"time"
)

// Exit codes of a case.
const (
	ruleHeld   = 0
	ruleBroken = 1
	notRun     = 2
)

// cases are the cases by number. Each returns whether the rule held, or an error if the
// case could not run.
var cases = map[string]func(*trial) (held bool, err error){}

// trial is one run of a case.
type trial struct {
	root    string // the project's folder
	dir     string // a temporary folder
	trouble bool   // false: the same without the disruption

	began     time.Time
	mu        sync.Mutex
	record    *os.File
	processes []*process
}

// note writes a line to record.txt.
func (t *trial) note(format string, args ...any) {
	t.mu.Lock()
	defer t.mu.Unlock()
	fmt.Fprintf(t.record, "%8.3f ", time.Since(t.began).Seconds())
	fmt.Fprintf(t.record, format+"\n", args...)
}

func main() {
	if len(os.Args) != 4 {
		fmt.Fprintln(os.Stderr, "usage: standin2 CASE ROOT FOLDER")
		os.Exit(notRun)
	}
	os.Exit(run(os.Args[1], os.Args[2], os.Args[3]))
}

func run(name, root, folder string) int {
	play := cases[name]
	if play == nil {
		fmt.Fprintln(os.Stderr, "no such case:", name)
		return notRun
	}
	dir, err := os.MkdirTemp("", "review-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return notRun
	}
	defer os.RemoveAll(dir)
	record, err := os.Create(filepath.Join(folder, "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return notRun
	}
	defer record.Close()
	t := &trial{root: root, dir: dir, trouble: os.Getenv("TROUBLE") != "0", began: time.Now(), record: record}
	defer t.endProcesses()
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	go func() {
		<-signals
		t.endProcesses()
		os.Exit(notRun)
	}()
	t.note("case %s, trouble %v", name, t.trouble)
	held, err := play(t)
	switch {
	case err != nil:
		t.note("the case could not run: %v", err)
		fmt.Println("could not run:", err)
		return notRun
	case held:
		t.note("the rule held")
		fmt.Println("the rule held")
		return ruleHeld
	}
	t.note("the rule was broken")
	fmt.Println("the rule was broken")
	return ruleBroken
}
