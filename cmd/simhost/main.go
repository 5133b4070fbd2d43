// Command simhost hosts aggregators for the simulator: one for each instance
// named on its standard input, with nothing shared between them.
package main

import (
	"fmt"
	"io"
	"os"

	"eiderwinch"
	"eiderwinch/internal/format/wire"
)

func main() {
	if err := run(os.Stdin, os.Stdout); err != nil {
		fmt.Fprintln(os.Stderr, "simhost:", err)
		os.Exit(1)
	}
}

// run answers batches until the input ends.
func run(in io.Reader, out io.Writer) error {
	r, w := wire.NewReader(in), wire.NewWriter(out)
	hosted := make(map[string]*eiderwinch.Aggregator)
	for {
		b, err := r.Next()
		if err == io.EOF {
			return nil
		}
		if err != nil {
			return err
		}
		for _, n := range b.News {
			if n.Halted {
				delete(hosted, n.Instance)
			}
			if n.Init != nil {
				hosted[n.Instance] = eiderwinch.New(*n.Init)
			}
			if a := hosted[n.Instance]; a != nil {
				w.Actions(n.Instance, a.Turn(b.Clock, n.Events))
			}
		}
		if err := w.End(); err != nil {
			return err
		}
	}
}
