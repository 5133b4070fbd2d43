// Command standin plays one case of the review: it starts gatherers with the commands of the deploy file, takes
// the part of their clients, searchers, discovery and platform on loopback, and judges what these can see.
//
// The exit code is 0 if the rule held, 1 if it was broken, and 2 if the case could not run.
package main

import (
	"flag"
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
	"time"
)

// caseTimeout bounds a case; run.sh may take 120 s.
const caseTimeout = 110 * time.Second

// scenario is one case. It returns the breaks of the rule that it has seen.
type scenario func(p *play) (breaks []string, err error)

// scenarios holds the cases by name; the file of each adds it.
var scenarios = make(map[string]scenario)

// play is a case that runs.
type play struct {
	root    string // of the repository
	dir     string // temporary, for configuration files
	trouble bool   // the disruption takes place
	record  *record

	arguments string // behind the deploy file's line run
	starts    int    // of gatherers
}

func main() {
	name := flag.String("case", "", "the case to play")
	root := flag.String("root", ".", "the repository's folder")
	out := flag.String("record", "record.txt", "the file to write the record to")
	flag.Parse()
	os.Exit(run(*name, *root, *out))
}

func run(name, root, out string) int {
	s, ok := scenarios[name]
	if !ok {
		fmt.Fprintf(os.Stderr, "standin: unknown case %q\n", name)
		return 2
	}
	r, err := newRecord(out)
	if err != nil {
		fmt.Fprintln(os.Stderr, "standin:", err)
		return 2
	}
	defer r.close()
	dir, err := os.MkdirTemp("", "review-")
	if err != nil {
		fmt.Fprintln(os.Stderr, "standin:", err)
		return 2
	}
	defer os.RemoveAll(dir)
	if root, err = filepath.Abs(root); err != nil {
		fmt.Fprintln(os.Stderr, "standin:", err)
		return 2
	}
	p := &play{root: root, dir: dir, trouble: os.Getenv("TROUBLE") != "0", record: r}
	r.log("case %s, disruption %v", name, p.trouble)
	stop := make(chan os.Signal, 1)
	signal.Notify(stop, syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP)
	go func() {
		select {
		case s := <-stop:
			r.log("ended by %v", s)
		case <-time.After(caseTimeout):
			r.log("the case took too long")
		}
		r.close()
		killStarted()
		os.RemoveAll(dir)
		os.Exit(2)
	}()
	breaks, err := s(p)
	killStarted()
	if err != nil {
		r.log("could not run: %v", err)
		fmt.Fprintln(os.Stderr, "standin: could not run:", err)
		return 2
	}
	for _, b := range breaks {
		r.log("BROKEN: %s", b)
	}
	if len(breaks) > 0 {
		r.log("verdict: the rule was broken, %d times", len(breaks))
		fmt.Printf("%s: the rule was broken, %d times; the first: %s\n", name, len(breaks), breaks[0])
		return 1
	}
	r.log("verdict: the rule held")
	fmt.Printf("%s: the rule held\n", name)
	return 0
}
