package testcluster

import (
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"slices"
	"time"
)

// Kind is a kind of fault. Plans and histories contain its value.
type Kind string

// The kinds of faults among gatherers.
const (
	Kill            Kind = "kill"    // one is killed, and restarted after For
	KillMost        Kind = "most"    // seven in ten are killed at once, and restarted after For
	Restart         Kind = "restart" // all are killed and restarted one by one, within For
	Flap            Kind = "flap"    // one is killed and restarted repeatedly, for For
	Join            Kind = "join"    // all but the three seeds are killed and restarted at once, while a seed is killed for For
	Stop            Kind = "stop"    // one is stopped (SIGSTOP) for For and continues with an outdated view
	PartitionHalves Kind = "halves"  // a partition of the fleet into two halves, for For
	PartitionOneWay Kind = "oneway"  // nothing passes from one gatherer to another, for For; the other direction works
	PartitionPair   Kind = "hermit"  // a partition between the two gatherers of one pair, for For
	Loss            Kind = "loss"    // a fifth of all messages is lost, for For
	Disorder        Kind = "unruly"  // messages are delayed, reordered and duplicated, for For
	Throttle        Kind = "thin"    // each direction of each pair carries 8 KB a second, for For
)

// kinds returns all kinds of faults.
func kinds() []Kind {
	return []Kind{Kill, KillMost, Restart, Flap, Join, Stop, PartitionHalves, PartitionOneWay, PartitionPair, Loss, Disorder, Throttle}
}

// Step is one fault of a plan. The next step begins once the fleet has converged again.
type Step struct {
	Kind  Kind          `json:"kind"`
	First int           `json:"first"` // the first gatherer affected; further ones follow by number
	For   time.Duration `json:"for_ns"`
}

// NewPlan draws a plan of about the given length from a seed: each kind once in a random order, then again. A fault
// lasts from half to one and a half times faultDuration, a partition into halves six times as long.
func NewPlan(seed uint64, gatherers int, length, faultDuration time.Duration) (steps []Step) {
	rng := rand.New(rand.NewPCG(seed, 0x706c616e))
	kinds := kinds()
	const stepOverhead = 2 * time.Second // approximate time that a step takes in addition to its fault
	for at := time.Duration(0); ; {
		rng.Shuffle(len(kinds), func(i, j int) { kinds[i], kinds[j] = kinds[j], kinds[i] })
		for _, k := range kinds {
			s := Step{k, rng.IntN(gatherers), faultDuration/2 + time.Duration(rng.Int64N(int64(faultDuration)))}
			if k == PartitionHalves {
				s.For *= 6
			}
			if at += s.For + stepOverhead; at > length {
				return steps
			}
			steps = append(steps, s)
		}
	}
}

// ReadPlan reads a plan from JSON: a list of steps.
func ReadPlan(r io.Reader, gatherers int) (steps []Step, err error) {
	d := json.NewDecoder(r)
	d.DisallowUnknownFields()
	if err := d.Decode(&steps); err != nil {
		return nil, fmt.Errorf("test cluster: plan: %w", err)
	}
	known := kinds()
	for i, s := range steps {
		if !slices.Contains(known, s.Kind) || s.First < 0 || s.First >= gatherers || s.For <= 0 || s.For > time.Hour {
			return nil, fmt.Errorf("test cluster: plan: step %d: found %+v, want a kind of %v, a gatherer of %d and a time up to 1h", i, s, known, gatherers)
		}
	}
	return steps, nil
}
