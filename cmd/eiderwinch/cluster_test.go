package main

import (
	"flag"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"
	"time"

	"eiderwinch/internal/fleet/share"
	"eiderwinch/internal/trial/testcluster"
	"eiderwinch/internal/trial/testpeer"
)

// Flags of TestAFleetUnderFaults, for longer runs or to repeat a failed run:
// go test -run FleetUnderFaults ./cmd/eiderwinch -rig.seed 7 -rig.gatherers 9 -rig.for 10m, or with another plan of
// faults in -rig.plan FILE.
var (
	clusterSeed      = flag.Uint64("rig.seed", 1, "seed of the faults")
	clusterGatherers = flag.Int("rig.gatherers", 5, "number of gatherer processes")
	clusterFaultTime = flag.Duration("rig.for", 40*time.Second, "approximate time with faults")
	clusterFaultSpan = flag.Duration("rig.span", 2*time.Second, "approximate length of a fault")
	clusterLease     = flag.Duration("rig.lease", share.DefaultLease, "lease of the slots; with 0 the limits are not divided")
	clusterPlan      = flag.String("rig.plan", "", "file with the plan of faults to run")
	clusterDir       = flag.String("rig.dir", "", "folder for logs and the history")
)

// Several processes of the program run as one fleet, while processes and the network between them fail. No slot of the
// fleet's limits may be used by two processes within a window, a cold searcher must get no more than the limit of the
// whole fleet, each query must get its answer, and the views must converge.
func TestAFleetUnderFaults(t *testing.T) {
	dir := *clusterDir
	if dir == "" {
		dir = t.TempDir()
	}
	cluster, err := testcluster.New(testcluster.Config{
		Program: buildProgram(t), Dir: dir, Gatherers: *clusterGatherers, Seed: *clusterSeed, Keys: testpeer.KeyFile("k"), Lease: *clusterLease, ConvergeTimeout: 15 * time.Second,
	})
	if err != nil {
		t.Fatal(err)
	}
	defer func() {
		if err := cluster.Close(); err != nil {
			t.Error(err)
		}
	}()
	plan := testcluster.NewPlan(*clusterSeed, *clusterGatherers, *clusterFaultTime, *clusterFaultSpan)
	if *clusterPlan != "" {
		f, err := os.Open(*clusterPlan)
		if err != nil {
			t.Fatal(err)
		}
		defer f.Close()
		if plan, err = testcluster.ReadPlan(f, *clusterGatherers); err != nil {
			t.Fatal(err)
		}
	}
	report, err := cluster.Play(plan)
	if err != nil {
		t.Fatal(err)
	}
	t.Logf("seed %d, %d gatherers, %d faults", *clusterSeed, *clusterGatherers, report.Steps)
	for _, s := range report.Convergence {
		slices.Sort(s.Times)
		t.Logf("%-8s %-7s %3d times, converged after %5d ms (median), %5d ms (worst)", s.Kind, s.When, len(s.Times),
			s.Times[len(s.Times)/2].Milliseconds(), s.Times[len(s.Times)-1].Milliseconds())
	}
	t.Logf("queries %+v", report.Queries)
	t.Logf("%d changes of views, %d of them without a fault; at most %d slots of gone gatherers held", report.ViewChanges, report.QuietViewChanges, report.MaxHeldSlots)
	t.Logf("cold searcher: %d parts, %d in its fullest window, where %.0f are allowed", report.ColdParts, report.MaxColdParts, report.AllowedColdParts)
	for _, f := range report.Violations {
		t.Error(f)
	}
	if q := report.Queries; q.Asked == 0 || q.Asked != q.Answered+q.Refused+q.Failed+q.Interrupted+q.Lost || q.AnsweredCold == 0 {
		t.Errorf("%+v", q)
	}
	page := filepath.Join(dir, "fleet.html")
	if code, out, errs := runCommand(t, nil, "experiment", "fleet", filepath.Join(dir, "history.jsonl"), "--html", page); code != exitOK {
		t.Errorf("code %d, %s%s", code, out, errs)
	} else if text, err := os.ReadFile(page); err != nil || strings.Count(string(text), "<svg") != 3 {
		t.Errorf("fleet page: %v, %d bytes", err, len(text))
	}
	if t.Failed() {
		t.Logf("to repeat: go test -run FleetUnderFaults ./cmd/eiderwinch -rig.seed %d -rig.gatherers %d -rig.for %v", *clusterSeed, *clusterGatherers, *clusterFaultTime)
	}
}
