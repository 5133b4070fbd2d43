package reshard

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"eiderwinch/internal/layout"
)

// plannerHarness is a load spread over single-letter keys, and the layout that
// serves it.
type plannerHarness struct {
	layout *layout.Layout
	fleet  layout.Fleet
	rates  map[layout.Key]float64
}

func newPlannerHarness(t rapid.TB, rates map[layout.Key]float64) *plannerHarness {
	t.Helper()
	f := layout.Fleet{Replicas: 2, Zones: make(map[string]string)}
	for i := range 8 {
		f.Zones[fmt.Sprint("s", i)] = fmt.Sprint("z", i%2)
	}
	l, err := layout.First(layout.Segment{ID: 0, Keys: layout.Range{To: "m"}, Holders: []string{"s0", "s1"}},
		layout.Segment{ID: 1, Keys: layout.Range{From: "m"}, Holders: []string{"s0", "s3"}})
	if err != nil {
		t.Fatal(err)
	}
	return &plannerHarness{l, f, rates}
}

// loads returns the load of each segment, multiplied by a factor from noise.
func (x *plannerHarness) loads(noise func() float64) map[layout.SegmentID]Load {
	out := make(map[layout.SegmentID]Load)
	for s := range x.layout.Serving() {
		sum, half := 0.0, 0.0
		for k := layout.Key("a"); k <= "z"; k = layout.Key(k[0] + 1) {
			if s.Keys.Contains(k) {
				sum += x.rates[k]
			}
		}
		load := Load{PerSecond: sum * noise()}
		for k := layout.Key("a"); k <= "z"; k = layout.Key(k[0] + 1) {
			if s.Keys.Contains(k) {
				if half >= sum/2 && load.Median == "" {
					load.Median, load.Below = k, half/sum
				}
				half += x.rates[k]
			}
		}
		out[s.ID] = load
	}
	return out
}

// apply executes a proposed change at once, and returns its successors.
func (x *plannerHarness) apply(t rapid.TB, c layout.Change) []layout.SegmentID {
	t.Helper()
	next, successors, err := x.layout.Prepare(c)
	if err == nil {
		next, err = next.CutOver(c, successors)
	}
	if err == nil {
		next, err = next.Retire(c)
	}
	if err != nil {
		t.Fatalf("%v: %v", c, err)
	}
	if err := next.Check(x.fleet); err != nil {
		t.Fatalf("%v: %v", c, err)
	}
	x.layout = next
	return successors
}

func noNoise() float64 { return 1 }

func TestHotSegmentIsSplitAfterConsecutiveWindows(t *testing.T) {
	x := newPlannerHarness(t, map[layout.Key]float64{"a": 30, "c": 40, "f": 50, "p": 10})
	p, err := NewPlanner(PlannerLimits{})
	if err != nil {
		t.Fatal(err)
	}
	var got []Proposal
	for i := range 3 {
		if got = p.Window(time.Unix(int64(i), 0), x.layout, x.fleet, x.loads(noNoise)); i < 2 && slices.ContainsFunc(got, func(p Proposal) bool { return p.Change.Kind == layout.Split }) {
			t.Errorf("a split is proposed after %d windows, want 3: %v", i+1, got)
		}
	}
	if len(got) == 0 || got[0].Change.Kind != layout.Split || got[0].Change.At != "d" || !slices.Equal(got[0].Change.Holders[0], []string{"s0", "s1"}) {
		t.Fatalf("have %+v", got)
	}
	// A window below the threshold in between resets the count.
	p, _ = NewPlanner(PlannerLimits{})
	for i, factor := range []float64{1, 1, 0.1, 1, 1} {
		for _, g := range p.Window(time.Unix(int64(i), 0), x.layout, x.fleet, x.loads(func() float64 { return factor })) {
			if g.Change.Kind == layout.Split {
				t.Errorf("window %d: have %v, want no split", i, g)
			}
		}
	}
}

func TestSingleHotKeyIsNotSplit(t *testing.T) {
	x := newPlannerHarness(t, map[layout.Key]float64{"a": 500})
	p, _ := NewPlanner(PlannerLimits{Windows: 1})
	for _, g := range p.Window(time.Unix(0, 0), x.layout, x.fleet, x.loads(noNoise)) {
		if g.Change.Kind == layout.Split {
			t.Errorf("have %v, want no split", g)
		}
	}
}

func TestChangedSegmentsObserveCooldown(t *testing.T) {
	x := newPlannerHarness(t, map[layout.Key]float64{"a": 300, "b": 300, "c": 300, "d": 300})
	p, _ := NewPlanner(PlannerLimits{Windows: 1, Cooldown: time.Minute})
	now := time.Unix(0, 0)
	first := p.Window(now, x.layout, x.fleet, x.loads(noNoise))[0].Change
	p.RecordChange(now, first, x.apply(t, first))
	for _, g := range p.Window(now.Add(59*time.Second), x.layout, x.fleet, x.loads(noNoise)) {
		if g.Change.Kind == layout.Split {
			t.Errorf("within the cooldown: have %v, want no split", g)
		}
	}
	if got := p.Window(now.Add(time.Minute), x.layout, x.fleet, x.loads(noNoise)); len(got) == 0 || got[0].Change.Kind != layout.Split {
		t.Errorf("after the cooldown: have %v, want a split", got)
	}
}

func TestOscillatingLimitsAreRejected(t *testing.T) {
	for _, l := range []PlannerLimits{{SplitRatio: 1, MergeRatio: 0.9}, {MergeRatio: -1}, {MoveRatio: 1}, {MoveRatio: 0.5}, {Target: -1}, {Windows: -1}, {MaxProposals: -1}, {Cooldown: -1}} {
		if _, err := NewPlanner(l); err == nil {
			t.Errorf("%+v was accepted", l)
		}
	}
}

// TestPlannerConverges guards against oscillation, in which changes are reversed
// because load varies or a change itself has shifted it. It applies every proposal
// for a random load, with noise within the hysteresis.
func TestPlannerConverges(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		rates := make(map[layout.Key]float64)
		for k := layout.Key("a"); k <= "z"; k = layout.Key(k[0] + 1) {
			rates[k] = rapid.Float64Range(0, 80).Draw(t, string(k))
		}
		x := newPlannerHarness(t, rates)
		p, err := NewPlanner(PlannerLimits{Windows: 2, Cooldown: time.Second})
		if err != nil {
			t.Fatal(err)
		}
		noise := rapid.Float64Range(0.95, 1.05)
		now, quiet := time.Unix(0, 0), 0
		type origin struct {
			kind  layout.ChangeKind
			epoch layout.Epoch
		}
		origins := make(map[layout.SegmentID]origin)
		const maxWindows = 400
		for i := 0; quiet < 10; i++ {
			if i == maxWindows {
				t.Fatalf("still proposes changes after %d windows, at epoch %d", maxWindows, x.layout.Epoch())
			}
			now = now.Add(time.Second)
			out := p.Window(now, x.layout, x.fleet, x.loads(func() float64 { return noise.Draw(t, "noise") }))
			if quiet++; len(out) > 0 {
				quiet = 0
			}
			for _, g := range out {
				ids := g.Change.Segments
				switch b := origins[ids[0]]; {
				case g.Change.Kind == layout.Merge && b.epoch > 0 && b.kind == layout.Split && b == origins[ids[1]]:
					t.Fatalf("segments %d come from one split, and their merge is proposed: %s", ids, g.Reason)
				case g.Change.Kind == layout.Split && b.epoch > 0 && b.kind == layout.Merge:
					t.Fatalf("segment %d comes from a merge, and its split is proposed: %s", ids, g.Reason)
				}
				successors := x.apply(t, g.Change)
				for _, id := range successors {
					origins[id] = origin{g.Change.Kind, x.layout.Epoch()}
				}
				p.RecordChange(now, g.Change, successors)
			}
		}
	})
}
