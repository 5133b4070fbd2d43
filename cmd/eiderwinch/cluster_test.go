package main

import (
	"flag"
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"
	"time"

	"eiderwinch/internal/fleet/share"
	"eiderwinch/internal/trial/rig"
	"eiderwinch/internal/trial/testpeer"
)

// A longer run, or one that failed again: go test -run FleetUnderFaults ./cmd/eiderwinch -rig.seed 7
// -rig.gatherers 9 -rig.for 10m, or with a plan of one's own in -rig.plan FILE.
var (
	clusterSeed      = flag.Uint64("rig.seed", 1, "the seed of the rig's faults")
	clusterGatherers = flag.Int("rig.gatherers", 5, "processes of the program")
	clusterFaultTime = flag.Duration("rig.for", 40*time.Second, "how long faults are played, about")
	clusterFaultSpan = flag.Duration("rig.span", 2*time.Second, "how long a fault lasts, about")
	clusterLease     = flag.Duration("rig.lease", share.DefaultLease, "of the slots; 0: limits are not divided")
	clusterPlan      = flag.String("rig.plan", "", "a file with the plan to be played")
	clusterDir       = flag.String("rig.dir", "", "where logs and the history are left")
)

// Several processes of the program under faults among them: no slot of the fleet's limits is used by two within a
// window, a cold searcher gets no more than the whole, every query has its answer, and the views settle.
func TestAFleetUnderFaults(t *testing.T) {
	dir := *clusterDir
	if dir == "" {
		dir = t.TempDir()
	}
	r, err := rig.New(rig.Config{
		Program: buildProgram(t), Dir: dir, Gatherers: *clusterGatherers, Seed: *clusterSeed, Keys: testpeer.KeyFile("k"), Lease: *clusterLease, Settle: 15 * time.Second,
	})
	if err != nil {
		t.Fatal(err)
	}
	defer func() {
		if err := r.Close(); err != nil {
			t.Error(err)
		}
	}()
	plan := rig.NewPlan(*clusterSeed, *clusterGatherers, *clusterFaultTime, *clusterFaultSpan)
	if *clusterPlan != "" {
		f, err := os.Open(*clusterPlan)
		if err != nil {
			t.Fatal(err)
		}
		defer f.Close()
		if plan, err = rig.ReadPlan(f, *clusterGatherers); err != nil {
			t.Fatal(err)
		}
	}
	x, err := r.Play(plan)
	if err != nil {
		t.Fatal(err)
	}
	t.Logf("seed %d, %d gatherers, %d faults", *clusterSeed, *clusterGatherers, x.Steps)
	for _, s := range x.Settled {
		slices.Sort(s.Times)
		t.Logf("%-8s %-7s %3d times, settled after %5d ms (median), %5d ms (worst)", s.Kind, s.When, len(s.Times),
			s.Times[len(s.Times)/2].Milliseconds(), s.Times[len(s.Times)-1].Milliseconds())
	}
	t.Logf("queries %+v", x.Queries)
	t.Logf("%d changes of views, %d of them without a fault; %d slots of gone ones held at most", x.Views, x.Quiet, x.Held)
	t.Logf("cold searcher: %d parts, %d in its fullest window, where %.0f are allowed", x.Parts, x.Most, x.Allowed)
	for _, f := range x.Faults {
		t.Error(f)
	}
	if q := x.Queries; q.Asked == 0 || q.Asked != q.Answered+q.Refused+q.Failed+q.Died+q.Lost || q.Cold == 0 {
		t.Errorf("%+v", q)
	}
	page := filepath.Join(dir, "fleet.html")
	if code, out, errs := runCommand(t, nil, "experiment", "fleet", filepath.Join(dir, "history.jsonl"), "--html", page); code != exitOK {
		t.Errorf("code %d, %s%s", code, out, errs)
	} else if text, err := os.ReadFile(page); err != nil || strings.Count(string(text), "<svg") != 3 {
		t.Errorf("the page: %v, %d bytes", err, len(text))
	}
	if t.Failed() {
		t.Log(fmt.Sprintf("again: go test -run FleetUnderFaults ./cmd/eiderwinch -rig.seed %d -rig.gatherers %d -rig.for %v", *clusterSeed, *clusterGatherers, *clusterFaultTime))
	}
}
