package reshard

import (
	"errors"
	"fmt"
	"maps"
	"reflect"
	"slices"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"

	"eiderwinch/internal/layout"
	"eiderwinch/internal/trial/fixedseed"
)

func TestMain(m *testing.M) { fixedseed.Main(m) }

// harness is a coordinator with its log, and simulated gatherers and searchers.
type harness struct {
	t           rapid.TB
	coordinator *Coordinator
	firstLayout *layout.Layout
	base        Base // base of log
	fleet       layout.Fleet
	limits      Limits
	now         time.Time
	log         []Record
	lastEffects []Effect
	ended       map[JobID]Phase
	reports     map[string]GathererReport
	epochs      map[layout.Epoch]*layout.Layout
	dropped     []Target
	delayDrops  bool // searchers do not confirm drops at once
}

func newHarness(t rapid.TB, limits Limits) *harness {
	t.Helper()
	w := &harness{
		t: t, now: time.Unix(1_000_000, 0), limits: limits, ended: make(map[JobID]Phase), reports: make(map[string]GathererReport),
		epochs: make(map[layout.Epoch]*layout.Layout),
		fleet:  layout.Fleet{Replicas: 2, Zones: make(map[string]string)},
	}
	for i := range 8 {
		w.fleet.Zones[fmt.Sprint("s", i)] = fmt.Sprint("z", i%2)
	}
	var err error
	w.firstLayout, err = layout.First(
		layout.Segment{ID: 0, Keys: layout.Range{To: "d"}, Holders: []string{"s0", "s1"}},
		layout.Segment{ID: 1, Keys: layout.Range{From: "d", To: "m"}, Holders: []string{"s2", "s3"}},
		layout.Segment{ID: 2, Keys: layout.Range{From: "m"}, Holders: []string{"s0", "s3"}},
	)
	if err != nil {
		t.Fatal(err)
	}
	w.coordinator = New(w.now.Add(-time.Hour), w.firstLayout, w.fleet, limits)
	w.epochs[1] = w.firstLayout
	w.base = Base{Layout: w.firstLayout}
	return w
}

// step processes one event, appends its records to the log and checks its effects.
func (w *harness) step(e Event) Result {
	w.t.Helper()
	r := w.coordinator.Step(w.now, e)
	w.log = append(w.log, r.Records...)
	w.lastEffects = r.Effects
	for _, x := range r.Effects {
		w.checkEffect(x)
	}
	for _, x := range r.Effects {
		if d, ok := x.(Drop); ok && !w.delayDrops {
			w.step(Dropped(d))
		}
	}
	return r
}

func (w *harness) checkEffect(x Effect) {
	w.t.Helper()
	switch x := x.(type) {
	case Publish:
		e := x.Layout.Epoch()
		if old := w.epochs[e]; old == nil && w.epochs[e-1] == nil {
			w.t.Fatalf("epoch %d is published, but epoch %d was not", e, e-1)
		}
		if err := x.Layout.Check(w.fleet); err != nil {
			w.t.Fatalf("epoch %d: %v", e, err)
		}
		w.epochs[e] = x.Layout
	case Ended:
		if _, twice := w.ended[x.Job]; twice {
			w.t.Fatalf("change %d ended twice", x.Job)
		}
		w.ended[x.Job] = x.Phase
	case Drop:
		w.dropped = append(w.dropped, x.Target)
		// A searcher that may still receive parts for a segment must not drop it.
		for _, h := range w.reports {
			l := w.epochs[h.Oldest]
			if s := l.Segment(x.Target.Segment); s != nil && s.State == layout.Serving && slices.Contains(s.Holders, x.Target.Searcher) {
				w.t.Fatalf("%v is dropped while %s may send it parts in epoch %d", x.Target, h.Gatherer, h.Oldest)
			}
		}
	}
}

// report processes a gatherer's report.
func (w *harness) report(name string, epoch, oldest layout.Epoch) Result {
	w.t.Helper()
	h := GathererReport{name, epoch, oldest}
	w.reports[name] = h
	return w.step(h)
}

func (w *harness) status(id JobID) Status {
	w.t.Helper()
	for _, s := range w.coordinator.Jobs() {
		if s.Job == id {
			return s
		}
	}
	w.t.Fatalf("change %d is unknown", id)
	return Status{}
}

func (w *harness) submit(c layout.Change) JobID {
	w.t.Helper()
	r := w.step(Submit{c})
	if r.Err != nil {
		w.t.Fatal(r.Err)
	}
	return r.Job
}

// fillAll reports all targets of a job as copied and without lag.
func (w *harness) fillAll(id JobID) {
	w.t.Helper()
	for _, t := range w.coordinator.jobs[id].targets {
		w.step(Copied{id, t})
		w.step(Lag{id, t, 0})
	}
}

func (w *harness) checkEqual(what string, have, want any) {
	w.t.Helper()
	if !reflect.DeepEqual(have, want) {
		w.t.Errorf("%s: have %v, want %v", what, have, want)
	}
}

func splitSegment1() layout.Change {
	return layout.Change{Kind: layout.Split, Segments: []layout.SegmentID{1}, At: "g", Share: 0.5, Holders: [][]string{{"s4", "s5"}, {"s6", "s7"}}}
}

func moveSegment2() layout.Change {
	return layout.Change{Kind: layout.Move, Segments: []layout.SegmentID{2}, Holders: [][]string{{"s0", "s5"}}}
}

func TestSplitRunsThroughAllPhases(t *testing.T) {
	w := newHarness(t, Limits{})
	w.report("g", 1, 1)
	id := w.submit(splitSegment1())
	w.checkEqual("phase after the submit", w.status(id).Phase, Filling)
	w.checkEqual("targets", w.status(id).Targets, 4)
	w.fillAll(id)
	w.checkEqual("phase before the gatherer has the epoch", w.status(id).Phase, Cutting)
	cut := w.coordinator.Layout().Epoch()
	w.report("g", cut, 1)
	w.checkEqual("phase while an old query is open", w.status(id).Phase, Draining)
	w.report("g", cut, cut)
	w.checkEqual("phase after the last old query", w.status(id).Phase, Done)
	w.checkEqual("the split segment is gone", w.coordinator.Layout().Segment(1) == nil, true)
	w.checkEqual("dropped segments", w.dropped, []Target{{1, "s2"}, {1, "s3"}})
}

func TestMoveCopiesOnlyToNewHolders(t *testing.T) {
	w := newHarness(t, Limits{})
	id := w.submit(moveSegment2())
	w.checkEqual("targets", w.coordinator.jobs[id].targets, []Target{{2, "s5"}})
	w.fillAll(id) // there are no gatherers to wait for
	w.checkEqual("done", w.status(id).Phase, Done)
	w.checkEqual("dropped", w.dropped, []Target{{2, "s3"}})
}

func TestChangeIsUndoneWhenTargetGoesDownBeforeCutOver(t *testing.T) {
	w := newHarness(t, Limits{})
	id := w.submit(splitSegment1())
	for _, t := range w.coordinator.jobs[id].targets {
		w.step(Copied{id, t})
	}
	w.checkEqual("copied", w.status(id).Phase, Catching)
	w.step(Down{"s6"})
	w.checkEqual("undone", w.status(id).Phase, Undone)
	w.checkEqual("the reason names the searcher", strings.Contains(w.status(id).Reason, "s6"), true)
	w.checkEqual("difference from the first layout", layout.Diff(w.firstLayout, w.coordinator.Layout()), []layout.Difference(nil))
	if r := w.step(Submit{splitSegment1()}); !errors.Is(r.Err, ErrHolderDown) {
		t.Errorf("a change to a searcher that is down: %v", r.Err)
	}
	w.step(Up{"s6", "z0"})
	w.submit(splitSegment1())
}

func TestCutOverRequiresRecentLagReport(t *testing.T) {
	w := newHarness(t, Limits{})
	id := w.submit(moveSegment2())
	target := w.coordinator.jobs[id].targets[0]
	w.step(Copied{id, target})
	w.step(Lag{id, target, time.Second})
	w.checkEqual("phase while too far behind", w.status(id).Phase, Catching)
	j := w.coordinator.jobs[id]
	j.lags[target] = lagReport{0, w.now}
	w.now = w.now.Add(1100 * time.Millisecond)
	w.step(Tick{})
	w.checkEqual("phase with an outdated lag report", w.status(id).Phase, Catching)
	w.step(Lag{id, target, 50 * time.Millisecond})
	w.checkEqual("phase with a recent report of a small lag", w.status(id).Phase, Done)
}

func TestRefusalReasons(t *testing.T) {
	w := newHarness(t, Limits{MaxOpenJobs: 2, PerSearcher: 1})
	w.report("g", 1, 1)
	id := w.submit(splitSegment1())
	for name, c := range map[string]struct {
		change layout.Change
		want   error
	}{
		"the same segment":      {splitSegment1(), layout.ErrConflict},
		"one of its successors": {layout.Change{Kind: layout.Move, Segments: []layout.SegmentID{3}, Holders: [][]string{{"s0", "s1"}}}, layout.ErrConflict},
		"an unknown segment":    {layout.Change{Kind: layout.Move, Segments: []layout.SegmentID{9}, Holders: [][]string{{"s0", "s1"}}}, layout.ErrUnknown},
		"too few replicas":      {layout.Change{Kind: layout.Move, Segments: []layout.SegmentID{2}, Holders: [][]string{{"s5"}}}, layout.ErrHolders},
		"one data centre":       {layout.Change{Kind: layout.Move, Segments: []layout.SegmentID{2}, Holders: [][]string{{"s3", "s5"}}}, layout.ErrZones},
		"an unknown searcher":   {layout.Change{Kind: layout.Move, Segments: []layout.SegmentID{2}, Holders: [][]string{{"s0", "q"}}}, layout.ErrUnknown},
	} {
		if r := w.step(Submit{c.change}); !errors.Is(r.Err, c.want) || r.Job != 0 || len(r.Records) > 0 {
			t.Errorf("%s: have %v, want %v", name, r.Err, c.want)
		}
	}
	second := w.submit(layout.Change{Kind: layout.Move, Segments: []layout.SegmentID{0}, Holders: [][]string{{"s0", "s5"}}})
	w.checkEqual("phase while s5 is being filled by another job", w.status(second).Phase, Planned)
	if r := w.step(Submit{moveSegment2()}); !errors.Is(r.Err, ErrBusy) {
		t.Errorf("third open job: %v", r.Err)
	}
	w.step(Abort{id, "by hand"})
	w.checkEqual("phase after the other job was aborted", w.status(second).Phase, Filling)
	if r := w.step(Abort{99, ""}); !errors.Is(r.Err, ErrUnknownJob) {
		t.Errorf("abort of an unknown job: %v", r.Err)
	}
	w.fillAll(second)
	if r := w.step(Abort{second, ""}); !errors.Is(r.Err, ErrTooLate) {
		t.Errorf("abort after the cut-over: %v", r.Err)
	}
	w.checkEqual("refused", w.coordinator.Counts().Refused, 7)
}

func TestChangeIsUndoneAfterFillTimeout(t *testing.T) {
	w := newHarness(t, Limits{FillTimeout: time.Minute})
	id := w.submit(splitSegment1())
	w.now = w.now.Add(time.Minute)
	w.step(Tick{})
	w.checkEqual("undone", w.status(id).Phase, Undone)
	w.checkEqual("counted", w.coordinator.Counts().Late, 1)
}

// TestSuccessorsFollowUntilFormerHoldersDropSegment guards against reservations that
// are lost because an isolated gatherer still sends parts to the former holders after
// the coordinator has stopped waiting for it. The successors must apply changes from
// the former holders until each has dropped the segment, also across a restart of the
// coordinator.
func TestSuccessorsFollowUntilFormerHoldersDropSegment(t *testing.T) {
	w := newHarness(t, Limits{})
	w.delayDrops = true
	id := w.submit(splitSegment1())
	w.fillAll(id)
	w.checkEqual("phase without old queries", w.status(id).Phase, Sealing)
	w.checkEqual("stopped", slices.Contains(w.lastEffects, Effect(Stop{id})), false)
	w.step(Dropped{Target{1, "s2"}})
	w.checkEqual("phase while one holder remains", w.status(id).Phase, Sealing)
	c, effects, err := Recover(w.now, w.base, w.fleet, w.limits, w.log)
	if err != nil {
		t.Fatal(err)
	}
	w.coordinator = c
	var fills []string
	for _, x := range effects {
		if f, ok := x.(Fill); ok {
			fills = append(fills, fmt.Sprint(f.Target.Segment, " ", f.SourceHolders))
		}
	}
	w.checkEqual("the fills copy from the former holders", fills, []string{"3 [s2 s3]", "3 [s2 s3]", "4 [s2 s3]", "4 [s2 s3]"})
	w.step(Dropped{Target{1, "s2"}})
	w.step(Dropped{Target{1, "s3"}})
	w.checkEqual("phase after all drops", w.status(id).Phase, Done)
	w.checkEqual("stopped", slices.Contains(w.lastEffects, Effect(Stop{id})), true)

	id = w.submit(moveSegment2())
	w.fillAll(id)
	w.now = w.now.Add(defaultLimits.GathererTimeout) // a recovered coordinator waits for gatherers first
	w.step(Tick{})
	w.now = w.now.Add(defaultLimits.SealTimeout)
	w.step(Tick{})
	w.checkEqual("phase after the seal time-out", w.status(id).Phase, Done)
	w.checkEqual("counted", w.coordinator.Counts().Unsealed, 1)
}

// TestLostGathererExpires guards against a gatherer that stops reporting and thereby
// keeps a change open for ever. After Limits.GathererTimeout its queries are over.
func TestLostGathererExpires(t *testing.T) {
	w := newHarness(t, Limits{})
	w.report("g", 1, 1)
	id := w.submit(moveSegment2())
	w.fillAll(id)
	w.now = w.now.Add(defaultLimits.GathererTimeout - time.Millisecond)
	w.step(Tick{})
	w.checkEqual("phase while it may have open queries", w.status(id).Phase, Cutting)
	delete(w.reports, "g")
	w.now = w.now.Add(time.Millisecond)
	w.step(Tick{})
	w.checkEqual("phase after it has expired", w.status(id).Phase, Done)
	w.checkEqual("counted", w.coordinator.Counts().GatherersLost, 1)
}

// TestRecoveredCoordinatorWaitsForGatherers guards against a recovered coordinator
// that takes the absence of reports for the absence of gatherers, and drops segments
// that open queries need.
func TestRecoveredCoordinatorWaitsForGatherers(t *testing.T) {
	w := newHarness(t, Limits{})
	w.report("g", 1, 1)
	id := w.submit(moveSegment2())
	w.fillAll(id)
	var err error
	if w.coordinator, _, err = Recover(w.now, w.base, w.fleet, w.limits, w.log); err != nil {
		t.Fatal(err)
	}
	w.step(Tick{})
	w.checkEqual("phase without any report", w.status(id).Phase, Cutting)
	cut := w.coordinator.Layout().Epoch()
	w.report("g", cut, 1)
	w.now = w.now.Add(defaultLimits.GathererTimeout)
	w.report("g", cut, 1)
	w.checkEqual("phase while a gatherer has an old query", w.status(id).Phase, Draining)
	w.report("g", cut, cut)
	w.checkEqual("phase after that query has ended", w.status(id).Phase, Done)
}

func TestCopyRateFollowsPressure(t *testing.T) {
	w := newHarness(t, Limits{MaxRate: 1000, MinRate: 100})
	var rates []float64
	for _, ratio := range []float64{1.2, 1.2, 1.2, 1.2, 1.3, 1.0, 1.14} {
		for _, x := range w.step(Pressure{ratio}).Effects {
			rates = append(rates, x.(SetRate).Rows)
		}
	}
	w.checkEqual("rates", rates, []float64{500, 250, 125, 100, 200, 300})
}

// TestRecoveryAfterCrashAtAnyStep guards against state that a crash loses or changes.
// It makes random changes and faults, kills the coordinator after random steps, and
// checks its effects and invariants.
func TestRecoveryAfterCrashAtAnyStep(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newHarness(t, Limits{PerSearcher: rapid.IntRange(1, 3).Draw(t, "per searcher"), MaxOpenJobs: 6, FillTimeout: time.Minute})
		names := make([]string, 0, len(w.fleet.Zones))
		for i := range len(w.fleet.Zones) {
			names = append(names, fmt.Sprint("s", i))
		}
		holders := rapid.Custom(func(t *rapid.T) []string {
			even, odd := rapid.IntRange(0, 3).Draw(t, "even"), rapid.IntRange(0, 3).Draw(t, "odd")
			return []string{names[2*even], names[2*odd+1]}
		})
		searcher := rapid.SampledFrom(names)
		submit := func(t *rapid.T, c layout.Change) {
			if r := w.step(Submit{c}); (r.Err == nil) == (r.Job == 0) {
				t.Fatalf("job %d and error %v", r.Job, r.Err)
			}
		}
		open := func(t *rapid.T) *job {
			var list []*job
			for _, id := range w.coordinator.jobOrder {
				if j := w.coordinator.jobs[id]; !j.phase.IsFinal() {
					list = append(list, j)
				}
			}
			if len(list) == 0 {
				t.Skip("no job is open")
			}
			return rapid.SampledFrom(list).Draw(t, "change")
		}
		target := func(t *rapid.T) (JobID, Target) {
			j := open(t)
			if len(j.targets) == 0 {
				t.Skip("the job has no targets")
			}
			return j.id, rapid.SampledFrom(j.targets).Draw(t, "target")
		}
		t.Repeat(map[string]func(*rapid.T){
			"split": func(t *rapid.T) {
				s := rapid.SampledFrom(slices.Collect(w.coordinator.layout.Serving())).Draw(t, "segment")
				at := layout.Key(rapid.StringMatching("[a-p]{1,3}").Draw(t, "at"))
				submit(t, layout.Change{Kind: layout.Split, Segments: []layout.SegmentID{s.ID}, At: at, Share: 0.4,
					Holders: [][]string{holders.Draw(t, "lower"), holders.Draw(t, "upper")}})
			},
			"merge": func(t *rapid.T) {
				list := slices.Collect(w.coordinator.layout.Serving())
				if len(list) < 2 {
					t.Skip("only one segment")
				}
				i := rapid.IntRange(0, len(list)-2).Draw(t, "first")
				submit(t, layout.Change{Kind: layout.Merge, Segments: []layout.SegmentID{list[i].ID, list[i+1].ID}, Holders: [][]string{holders.Draw(t, "holders")}})
			},
			"move": func(t *rapid.T) {
				s := rapid.SampledFrom(slices.Collect(w.coordinator.layout.Serving())).Draw(t, "segment")
				submit(t, layout.Change{Kind: layout.Move, Segments: []layout.SegmentID{s.ID}, Holders: [][]string{holders.Draw(t, "holders")}})
			},
			"abort": func(t *rapid.T) {
				j := open(t)
				before := j.phase
				if r := w.step(Abort{j.id, "test"}); (r.Err != nil) != (before >= Cutting) {
					t.Fatalf("abort while %v: %v", before, r.Err)
				}
			},
			"copied": func(t *rapid.T) { id, at := target(t); w.step(Copied{id, at}) },
			"lag": func(t *rapid.T) {
				id, at := target(t)
				w.step(Lag{id, at, time.Duration(rapid.IntRange(0, 60).Draw(t, "ms")) * time.Millisecond})
			},
			"fill": func(t *rapid.T) { // all targets at once, otherwise few changes reach a cut-over
				if j := open(t); j.phase == Filling {
					w.fillAll(j.id)
				}
			},
			"slow drops": func(t *rapid.T) { w.delayDrops = rapid.Bool().Draw(t, "delay") },
			"dropped": func(t *rapid.T) {
				if j := open(t); len(j.formerHolders) > 0 {
					w.step(Dropped{rapid.SampledFrom(j.formerHolders).Draw(t, "target")})
				}
			},
			"down": func(t *rapid.T) { w.step(Down{searcher.Draw(t, "searcher")}) },
			"up":   func(t *rapid.T) { w.step(Up{Searcher: searcher.Draw(t, "searcher")}) },
			"gatherer reports": func(t *rapid.T) {
				name := rapid.SampledFrom([]string{"g1", "g2", "g3"}).Draw(t, "gatherer")
				old := w.reports[name]
				epoch := layout.Epoch(rapid.IntRange(int(max(old.Epoch, 1)), int(w.coordinator.layout.Epoch())).Draw(t, "epoch"))
				oldest := layout.Epoch(rapid.IntRange(int(max(old.Oldest, 1)), int(epoch)).Draw(t, "oldest"))
				w.report(name, epoch, oldest)
			},
			"all gatherers report": func(*rapid.T) {
				for _, name := range slices.Sorted(maps.Keys(w.reports)) {
					w.report(name, w.coordinator.layout.Epoch(), w.coordinator.layout.Epoch())
				}
			},
			"wait": func(t *rapid.T) {
				w.now = w.now.Add(time.Duration(rapid.IntRange(1, 15_000).Draw(t, "ms")) * time.Millisecond)
				for _, name := range slices.Sorted(maps.Keys(w.reports)) { // they keep reporting
					w.report(name, w.reports[name].Epoch, w.reports[name].Oldest)
				}
				w.step(Tick{})
			},
			"compact": func(t *rapid.T) {
				if b, ok := w.coordinator.Base(); ok {
					w.base, w.log = b, nil
				}
			},
			"crash": func(t *rapid.T) {
				before, jobs := w.coordinator.layout, w.coordinator.Jobs()
				c, effects, err := Recover(w.now, w.base, w.fleet, w.limits, w.log)
				if err != nil {
					t.Fatal(err)
				}
				if d := layout.Diff(before, c.layout); len(d) > 0 || before.Epoch() != c.layout.Epoch() || before.NextID() != c.layout.NextID() {
					t.Fatalf("epoch %d differs from what it was, %d: %v", c.layout.Epoch(), before.Epoch(), d)
				}
				recovered := c.Jobs() // jobs that ended before the base are no longer known
				if open := slices.IndexFunc(jobs, func(s Status) bool { return !s.Phase.IsFinal() }); open >= 0 && len(recovered) < len(jobs)-open {
					t.Fatalf("%d jobs remain of %d", len(recovered), len(jobs))
				}
				jobs = jobs[len(jobs)-len(recovered):]
				for i, s := range recovered {
					earlier := jobs[i]
					s.Copied, earlier.Copied = 0, 0 // the progress of copies is not recorded
					if !reflect.DeepEqual(s, earlier) {
						t.Fatalf("%+v was %+v", s, earlier)
					}
				}
				for s := range w.coordinator.down {
					c.down[s] = true // discovery reports it again
				}
				w.coordinator = c
				for _, x := range effects {
					w.checkEffect(x)
				}
			},
			"": func(t *rapid.T) {
				busy := make(map[string]int)
				for _, j := range w.coordinator.jobs {
					if _, reported := w.ended[j.id]; j.phase.IsFinal() != reported {
						t.Fatalf("change %d is %v, but was reported as ended in %v", j.id, j.phase, w.ended[j.id])
					}
					if j.phase == Filling || j.phase == Catching {
						for _, s := range w.coordinator.involvedSearchers(j) {
							busy[s]++
						}
					}
				}
				for s, n := range busy {
					if n > w.coordinator.limits.PerSearcher {
						t.Fatalf("searcher %s takes part in %d copies, want at most %d", s, n, w.coordinator.limits.PerSearcher)
					}
				}
			},
		})
	})
}

func TestInvalidRecordSequencesAreRejected(t *testing.T) {
	w := newHarness(t, Limits{})
	w.fillAll(w.submit(splitSegment1()))
	for name, log := range map[string][]Record{
		"a gap":             slices.Delete(slices.Clone(w.log), 1, 2),
		"a repeated record": slices.Insert(slices.Clone(w.log), 1, w.log[0]),
		"no first record":   {{Seq: 1, Job: 1, Phase: Filling}},
		"a skipped phase":   {w.log[0], {Seq: 2, Job: 1, Phase: Cutting}},
		"an invalid change": {{Seq: 1, Job: 1, Phase: Planned}, {Seq: 2, Job: 1, Phase: Filling}},
	} {
		if _, _, err := Recover(w.now, w.base, w.fleet, Limits{}, log); err == nil {
			t.Errorf("%s: accepted, want an error", name)
		}
	}
}
