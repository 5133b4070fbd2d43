// Command simhost runs aggregators for the simulator: one for each instance that its
// standard input names. The instances share no state.
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

// run reads batches of inputs and writes the reply to each batch until the input ends.
func run(input io.Reader, output io.Writer) error {
	r, w := wire.NewReader(input), wire.NewWriter(output)
	aggregators := make(map[string]*eiderwinch.Aggregator)
	for {
		b, err := r.Next()
		if err == io.EOF {
			return nil
		}
		if err != nil {
			return err
		}
		for _, in := range b.Inputs {
			if in.Halted {
				delete(aggregators, in.Instance)
			}
			if in.Init != nil {
				aggregators[in.Instance] = eiderwinch.New(*in.Init)
			}
			if a := aggregators[in.Instance]; a != nil {
				w.WriteActions(in.Instance, a.Turn(b.Clock, in.Events))
			}
		}
		if err := w.EndReply(); err != nil {
			return err
		}
	}
}
