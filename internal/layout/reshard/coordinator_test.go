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
	"eiderwinch/internal/trial/steady"
)

func TestMain(m *testing.M) { steady.Main(m) }

// world is a coordinator with its log, and the gatherers and searchers round it.
type world struct {
	t      rapid.TB
	c      *Coordinator
	first  *layout.Layout
	base   Base // where log begins
	fleet  layout.Fleet
	limits Limits
	now    time.Time
	log    []Record
	last   []Effect
	ended  map[JobID]Phase
	heard  map[string]Heard
	epochs map[layout.Epoch]*layout.Layout
	drops  []Target
	keep   bool // searchers do not forget at once
}

func newWorld(t rapid.TB, limits Limits) *world {
	t.Helper()
	w := &world{
		t: t, now: time.Unix(1_000_000, 0), limits: limits, ended: make(map[JobID]Phase), heard: make(map[string]Heard),
		epochs: make(map[layout.Epoch]*layout.Layout),
		fleet:  layout.Fleet{Replicas: 2, Zones: make(map[string]string)},
	}
	for i := range 8 {
		w.fleet.Zones[fmt.Sprint("s", i)] = fmt.Sprint("z", i%2)
	}
	var err error
	w.first, err = layout.First(
		layout.Segment{ID: 0, Keys: layout.Range{To: "d"}, Holders: []string{"s0", "s1"}},
		layout.Segment{ID: 1, Keys: layout.Range{From: "d", To: "m"}, Holders: []string{"s2", "s3"}},
		layout.Segment{ID: 2, Keys: layout.Range{From: "m"}, Holders: []string{"s0", "s3"}},
	)
	if err != nil {
		t.Fatal(err)
	}
	w.c = New(w.now.Add(-time.Hour), w.first, w.fleet, limits)
	w.epochs[1] = w.first
	w.base = Base{Layout: w.first}
	return w
}

// step takes one event, writes its records and looks at its effects.
func (w *world) step(e Event) Result {
	w.t.Helper()
	r := w.c.Step(w.now, e)
	w.log = append(w.log, r.Records...)
	w.last = r.Effects
	for _, x := range r.Effects {
		w.see(x)
	}
	for _, x := range r.Effects {
		if d, ok := x.(Drop); ok && !w.keep {
			w.step(Dropped{d.Target})
		}
	}
	return r
}

func (w *world) see(x Effect) {
	w.t.Helper()
	switch x := x.(type) {
	case Publish:
		e := x.Layout.Epoch()
		if old := w.epochs[e]; old == nil && w.epochs[e-1] == nil {
			w.t.Fatalf("epoch %d is published, but %d never was", e, e-1)
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
		w.drops = append(w.drops, x.Target)
		// Nobody who may still be asked for it may lose it.
		for _, h := range w.heard {
			l := w.epochs[h.Oldest]
			if s := l.Segment(x.Target.Segment); s != nil && s.State == layout.Serving && slices.Contains(s.Holders, x.Target.Searcher) {
				w.t.Fatalf("%v is dropped while %s asks it in epoch %d", x.Target, h.Gatherer, h.Oldest)
			}
		}
	}
}

// hear lets a gatherer tell what it knows.
func (w *world) hear(name string, epoch, oldest layout.Epoch) Result {
	w.t.Helper()
	h := Heard{name, epoch, oldest}
	w.heard[name] = h
	return w.step(h)
}

func (w *world) job(id JobID) Status {
	w.t.Helper()
	for _, s := range w.c.Jobs() {
		if s.Job == id {
			return s
		}
	}
	w.t.Fatalf("change %d is not known", id)
	return Status{}
}

func (w *world) submit(c layout.Change) JobID {
	w.t.Helper()
	r := w.step(Submit{c})
	if r.Err != nil {
		w.t.Fatal(r.Err)
	}
	return r.Job
}

// filled lets all targets of a job report that they are copied and close.
func (w *world) filled(id JobID) {
	w.t.Helper()
	for _, t := range w.c.jobs[id].targets {
		w.step(Copied{id, t})
		w.step(Lag{id, t, 0})
	}
}

func (w *world) want(what string, have, want any) {
	w.t.Helper()
	if !reflect.DeepEqual(have, want) {
		w.t.Errorf("%s: have %v, want %v", what, have, want)
	}
}

func splitOne() layout.Change {
	return layout.Change{Kind: layout.Split, Segments: []layout.SegmentID{1}, At: "g", Share: 0.5, Holders: [][]string{{"s4", "s5"}, {"s6", "s7"}}}
}

func moveTwo() layout.Change {
	return layout.Change{Kind: layout.Move, Segments: []layout.SegmentID{2}, Holders: [][]string{{"s0", "s5"}}}
}

func TestASplitGoesThroughItsSteps(t *testing.T) {
	w := newWorld(t, Limits{})
	w.hear("g", 1, 1)
	id := w.submit(splitOne())
	w.want("it begins at once", w.job(id).Phase, Filling)
	w.want("targets", w.job(id).Of, 4)
	w.filled(id)
	w.want("cut over, but not known", w.job(id).Phase, Cutting)
	cut := w.c.Layout().Epoch()
	w.hear("g", cut, 1)
	w.want("known, an old query is open", w.job(id).Phase, Draining)
	w.hear("g", cut, cut)
	w.want("the last old query has ended", w.job(id).Phase, Done)
	w.want("the parent is gone", w.c.Layout().Segment(1) == nil, true)
	w.want("who may forget it", w.drops, []Target{{1, "s2"}, {1, "s3"}})
}

func TestAMoveCopiesOnlyToWhoIsNew(t *testing.T) {
	w := newWorld(t, Limits{})
	id := w.submit(moveTwo())
	w.want("targets", w.c.jobs[id].targets, []Target{{2, "s5"}})
	w.filled(id) // there is no gatherer to wait for
	w.want("done", w.job(id).Phase, Done)
	w.want("dropped", w.drops, []Target{{2, "s3"}})
}

func TestANewHolderThatDiesBeforeTheCutOverUndoesIt(t *testing.T) {
	w := newWorld(t, Limits{})
	id := w.submit(splitOne())
	for _, t := range w.c.jobs[id].targets {
		w.step(Copied{id, t})
	}
	w.want("copied", w.job(id).Phase, Catching)
	w.step(Down{"s6"})
	w.want("undone", w.job(id).Phase, Undone)
	w.want("it says why", strings.Contains(w.job(id).Reason, "s6"), true)
	w.want("nothing is left of it", layout.Diff(w.first, w.c.Layout()), []layout.Difference(nil))
	if r := w.step(Submit{splitOne()}); !errors.Is(r.Err, ErrGone) {
		t.Errorf("a change to a searcher that is down: %v", r.Err)
	}
	w.step(Up{"s6", "z0"})
	w.submit(splitOne())
}

func TestACutOverWaitsForFreshNewsOfTheLag(t *testing.T) {
	w := newWorld(t, Limits{})
	id := w.submit(moveTwo())
	target := w.c.jobs[id].targets[0]
	w.step(Copied{id, target})
	w.step(Lag{id, target, time.Second})
	w.want("too far behind", w.job(id).Phase, Catching)
	j := w.c.jobs[id]
	j.lag[target] = lag{0, w.now}
	w.now = w.now.Add(1100 * time.Millisecond)
	w.step(Tick{})
	w.want("what it said is old", w.job(id).Phase, Catching)
	w.step(Lag{id, target, 50 * time.Millisecond})
	w.want("close and fresh", w.job(id).Phase, Done)
}

func TestRefusalsSayWhy(t *testing.T) {
	w := newWorld(t, Limits{Queued: 2, PerSearcher: 1})
	w.hear("g", 1, 1)
	id := w.submit(splitOne())
	for name, c := range map[string]struct {
		change layout.Change
		want   error
	}{
		"the same segment":    {splitOne(), layout.ErrConflict},
		"one of its heirs":    {layout.Change{Kind: layout.Move, Segments: []layout.SegmentID{3}, Holders: [][]string{{"s0", "s1"}}}, layout.ErrConflict},
		"one that is not":     {layout.Change{Kind: layout.Move, Segments: []layout.SegmentID{9}, Holders: [][]string{{"s0", "s1"}}}, layout.ErrUnknown},
		"too few replicas":    {layout.Change{Kind: layout.Move, Segments: []layout.SegmentID{2}, Holders: [][]string{{"s5"}}}, layout.ErrHolders},
		"one data centre":     {layout.Change{Kind: layout.Move, Segments: []layout.SegmentID{2}, Holders: [][]string{{"s3", "s5"}}}, layout.ErrZones},
		"an unknown searcher": {layout.Change{Kind: layout.Move, Segments: []layout.SegmentID{2}, Holders: [][]string{{"s0", "q"}}}, layout.ErrUnknown},
	} {
		if r := w.step(Submit{c.change}); !errors.Is(r.Err, c.want) || r.Job != 0 || len(r.Records) > 0 {
			t.Errorf("%s: have %v, want %v", name, r.Err, c.want)
		}
	}
	second := w.submit(layout.Change{Kind: layout.Move, Segments: []layout.SegmentID{0}, Holders: [][]string{{"s0", "s5"}}})
	w.want("s5 is being filled already", w.job(second).Phase, Planned)
	if r := w.step(Submit{moveTwo()}); !errors.Is(r.Err, ErrBusy) {
		t.Errorf("a third: %v", r.Err)
	}
	w.step(Abort{id, "by hand"})
	w.want("its room is free", w.job(second).Phase, Filling)
	if r := w.step(Abort{99, ""}); !errors.Is(r.Err, ErrNoJob) {
		t.Errorf("an abort of nothing: %v", r.Err)
	}
	w.filled(second)
	if r := w.step(Abort{second, ""}); !errors.Is(r.Err, ErrTooLate) {
		t.Errorf("an abort after the cut-over: %v", r.Err)
	}
	w.want("refused", w.c.Counts().Refused, 7)
}

func TestAChangeThatTakesTooLongIsUndone(t *testing.T) {
	w := newWorld(t, Limits{FillMost: time.Minute})
	id := w.submit(splitOne())
	w.now = w.now.Add(time.Minute)
	w.step(Tick{})
	w.want("undone", w.job(id).Phase, Undone)
	w.want("counted", w.c.Counts().Late, 1)
}

// A gatherer that is cut off may ask the old holders for longer than it is waited
// for. The heirs follow these until each has forgotten the segment, also where the
// coordinator was started again in between.
func TestTheHeirsFollowUntilTheOldHoldersHaveForgotten(t *testing.T) {
	w := newWorld(t, Limits{})
	w.keep = true
	id := w.submit(splitOne())
	w.filled(id)
	w.want("nobody asks them any more", w.job(id).Phase, Sealing)
	w.want("stopped", slices.Contains(w.last, Effect(Stop{id})), false)
	w.step(Dropped{Target{1, "s2"}})
	w.want("one holds it still", w.job(id).Phase, Sealing)
	c, effects, err := Recover(w.now, w.base, w.fleet, w.limits, w.log)
	if err != nil {
		t.Fatal(err)
	}
	w.c = c
	var fills []string
	for _, x := range effects {
		if f, ok := x.(Fill); ok {
			fills = append(fills, fmt.Sprint(f.Target.Segment, " ", f.From))
		}
	}
	w.want("they follow those of before", fills, []string{"3 [s2 s3]", "3 [s2 s3]", "4 [s2 s3]", "4 [s2 s3]"})
	w.step(Dropped{Target{1, "s2"}})
	w.step(Dropped{Target{1, "s3"}})
	w.want("all have forgotten", w.job(id).Phase, Done)
	w.want("stopped", slices.Contains(w.last, Effect(Stop{id})), true)

	id = w.submit(moveTwo())
	w.filled(id)
	w.now = w.now.Add(defaults.Gatherer) // those after a start
	w.step(Tick{})
	w.now = w.now.Add(defaults.SealMost)
	w.step(Tick{})
	w.want("one that never answers is not waited for for ever", w.job(id).Phase, Done)
	w.want("counted", w.c.Counts().Unsealed, 1)
}

// A gatherer that is not heard of must not keep a change open for ever; its
// queries are over by then.
func TestALostGathererIsWaitedForOnlySoLong(t *testing.T) {
	w := newWorld(t, Limits{})
	w.hear("g", 1, 1)
	id := w.submit(moveTwo())
	w.filled(id)
	w.now = w.now.Add(defaults.Gatherer - time.Millisecond)
	w.step(Tick{})
	w.want("it may still have queries", w.job(id).Phase, Cutting)
	delete(w.heard, "g")
	w.now = w.now.Add(time.Millisecond)
	w.step(Tick{})
	w.want("not any more", w.job(id).Phase, Done)
	w.want("counted", w.c.Counts().GatherersLost, 1)
}

// A coordinator that was just started has not heard of any gatherer, which does
// not mean that there is none.
func TestAfterAStartGatherersAreWaitedFor(t *testing.T) {
	w := newWorld(t, Limits{})
	w.hear("g", 1, 1)
	id := w.submit(moveTwo())
	w.filled(id)
	var err error
	if w.c, _, err = Recover(w.now, w.base, w.fleet, w.limits, w.log); err != nil {
		t.Fatal(err)
	}
	w.step(Tick{})
	w.want("nobody was heard of", w.job(id).Phase, Cutting)
	cut := w.c.Layout().Epoch()
	w.hear("g", cut, 1)
	w.now = w.now.Add(defaults.Gatherer)
	w.hear("g", cut, 1)
	w.want("one has an old query", w.job(id).Phase, Draining)
	w.hear("g", cut, cut)
	w.want("it has ended", w.job(id).Phase, Done)
}

func TestCopiesYieldToQueries(t *testing.T) {
	w := newWorld(t, Limits{RateMost: 1000, RateLeast: 100})
	var rates []float64
	for _, ratio := range []float64{1.2, 1.2, 1.2, 1.2, 1.3, 1.0, 1.14} {
		for _, x := range w.step(Pressure{ratio}).Effects {
			rates = append(rates, x.(Rate).Rows)
		}
	}
	w.want("rates", rates, []float64{500, 250, 125, 100, 200, 300})
}

// TestAnyCrashIsOvercome makes random changes and faults, kills the coordinator
// after any step, and holds what it does against the rules.
func TestAnyCrashIsOvercome(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld(t, Limits{PerSearcher: rapid.IntRange(1, 3).Draw(t, "per searcher"), Queued: 6, FillMost: time.Minute})
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
			for _, id := range w.c.order {
				if j := w.c.jobs[id]; !j.phase.Over() {
					list = append(list, j)
				}
			}
			if len(list) == 0 {
				t.Skip("nothing is under way")
			}
			return rapid.SampledFrom(list).Draw(t, "change")
		}
		target := func(t *rapid.T) (JobID, Target) {
			j := open(t)
			if len(j.targets) == 0 {
				t.Skip("nothing is filled")
			}
			return j.id, rapid.SampledFrom(j.targets).Draw(t, "target")
		}
		t.Repeat(map[string]func(*rapid.T){
			"split": func(t *rapid.T) {
				s := rapid.SampledFrom(slices.Collect(w.c.layout.Serving())).Draw(t, "segment")
				at := layout.Key(rapid.StringMatching("[a-p]{1,3}").Draw(t, "at"))
				submit(t, layout.Change{Kind: layout.Split, Segments: []layout.SegmentID{s.ID}, At: at, Share: 0.4,
					Holders: [][]string{holders.Draw(t, "lower"), holders.Draw(t, "upper")}})
			},
			"merge": func(t *rapid.T) {
				list := slices.Collect(w.c.layout.Serving())
				if len(list) < 2 {
					t.Skip("one is left")
				}
				i := rapid.IntRange(0, len(list)-2).Draw(t, "first")
				submit(t, layout.Change{Kind: layout.Merge, Segments: []layout.SegmentID{list[i].ID, list[i+1].ID}, Holders: [][]string{holders.Draw(t, "holders")}})
			},
			"move": func(t *rapid.T) {
				s := rapid.SampledFrom(slices.Collect(w.c.layout.Serving())).Draw(t, "segment")
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
			"fill": func(t *rapid.T) { // all at once: else few changes get as far as a cut-over
				if j := open(t); j.phase == Filling {
					w.filled(j.id)
				}
			},
			"slow to forget": func(t *rapid.T) { w.keep = rapid.Bool().Draw(t, "keep") },
			"dropped": func(t *rapid.T) {
				if j := open(t); len(j.former) > 0 {
					w.step(Dropped{rapid.SampledFrom(j.former).Draw(t, "target")})
				}
			},
			"down": func(t *rapid.T) { w.step(Down{searcher.Draw(t, "searcher")}) },
			"up":   func(t *rapid.T) { w.step(Up{Searcher: searcher.Draw(t, "searcher")}) },
			"heard": func(t *rapid.T) {
				name := rapid.SampledFrom([]string{"g1", "g2", "g3"}).Draw(t, "gatherer")
				old := w.heard[name]
				epoch := layout.Epoch(rapid.IntRange(int(max(old.Epoch, 1)), int(w.c.layout.Epoch())).Draw(t, "epoch"))
				oldest := layout.Epoch(rapid.IntRange(int(max(old.Oldest, 1)), int(epoch)).Draw(t, "oldest"))
				w.hear(name, epoch, oldest)
			},
			"all hear": func(*rapid.T) {
				for _, name := range slices.Sorted(maps.Keys(w.heard)) {
					w.hear(name, w.c.layout.Epoch(), w.c.layout.Epoch())
				}
			},
			"wait": func(t *rapid.T) {
				w.now = w.now.Add(time.Duration(rapid.IntRange(1, 15_000).Draw(t, "ms")) * time.Millisecond)
				for _, name := range slices.Sorted(maps.Keys(w.heard)) { // they go on saying what they know
					w.hear(name, w.heard[name].Epoch, w.heard[name].Oldest)
				}
				w.step(Tick{})
			},
			"compact": func(t *rapid.T) {
				if b, ok := w.c.Base(); ok {
					w.base, w.log = b, nil
				}
			},
			"crash": func(t *rapid.T) {
				before, jobs := w.c.layout, w.c.Jobs()
				c, effects, err := Recover(w.now, w.base, w.fleet, w.limits, w.log)
				if err != nil {
					t.Fatal(err)
				}
				if d := layout.Diff(before, c.layout); len(d) > 0 || before.Epoch() != c.layout.Epoch() || before.NextID() != c.layout.NextID() {
					t.Fatalf("epoch %d differs from what it was, %d: %v", c.layout.Epoch(), before.Epoch(), d)
				}
				left := c.Jobs() // those that were over before the base are not known any more
				if open := slices.IndexFunc(jobs, func(s Status) bool { return !s.Phase.Over() }); open >= 0 && len(left) < len(jobs)-open {
					t.Fatalf("%d changes are left of %d", len(left), len(jobs))
				}
				jobs = jobs[len(jobs)-len(left):]
				for i, s := range left {
					was := jobs[i]
					s.Copied, was.Copied = 0, 0 // how far the copies are is not written
					if !reflect.DeepEqual(s, was) {
						t.Fatalf("%+v was %+v", s, was)
					}
				}
				for s := range w.c.down {
					c.down[s] = true // the list of searchers comes anew
				}
				w.c = c
				for _, x := range effects {
					w.see(x)
				}
			},
			"": func(t *rapid.T) {
				busy := make(map[string]int)
				for _, j := range w.c.jobs {
					if _, told := w.ended[j.id]; j.phase.Over() != told {
						t.Fatalf("change %d is %v, and told to have ended as %v", j.id, j.phase, w.ended[j.id])
					}
					if j.phase == Filling || j.phase == Catching {
						for _, s := range w.c.touched(j) {
							busy[s]++
						}
					}
				}
				for s, n := range busy {
					if n > w.c.limits.PerSearcher {
						t.Fatalf("%s takes part in %d copies, at most %d", s, n, w.c.limits.PerSearcher)
					}
				}
			},
		})
	})
}

func TestRecordsOutOfOrderAreRefused(t *testing.T) {
	w := newWorld(t, Limits{})
	w.filled(w.submit(splitOne()))
	for name, log := range map[string][]Record{
		"a gap":         slices.Delete(slices.Clone(w.log), 1, 2),
		"twice":         slices.Insert(slices.Clone(w.log), 1, w.log[0]),
		"no beginning":  {{Seq: 1, Job: 1, Phase: Filling}},
		"a leap":        {w.log[0], {Seq: 2, Job: 1, Phase: Cutting}},
		"an odd change": {{Seq: 1, Job: 1, Phase: Planned}, {Seq: 2, Job: 1, Phase: Filling}},
	} {
		if _, _, err := Recover(w.now, w.base, w.fleet, Limits{}, log); err == nil {
			t.Errorf("%s was taken", name)
		}
	}
}
