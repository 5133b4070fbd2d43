package reshard

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"eiderwinch/internal/layout"
)

// field is a load spread over single-letter keys, and the layout that it falls on.
type field struct {
	l     *layout.Layout
	f     layout.Fleet
	rates map[layout.Key]float64
}

func newField(t rapid.TB, rates map[layout.Key]float64) *field {
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
	return &field{l, f, rates}
}

// loads is what each segment is asked, times a factor of its own.
func (x *field) loads(noise func() float64) map[layout.SegmentID]Load {
	out := make(map[layout.SegmentID]Load)
	for s := range x.l.Serving() {
		sum, half := 0.0, 0.0
		for k := layout.Key("a"); k <= "z"; k = layout.Key(k[0] + 1) {
			if s.Keys.Holds(k) {
				sum += x.rates[k]
			}
		}
		load := Load{PerSecond: sum * noise()}
		for k := layout.Key("a"); k <= "z"; k = layout.Key(k[0] + 1) {
			if s.Keys.Holds(k) {
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

// apply makes a proposed change at once, and returns its heirs.
func (x *field) apply(t rapid.TB, c layout.Change) []layout.SegmentID {
	t.Helper()
	next, heirs, err := x.l.Prepare(c)
	if err == nil {
		next, err = next.CutOver(c, heirs)
	}
	if err == nil {
		next, err = next.Retire(c)
	}
	if err != nil {
		t.Fatalf("%v: %v", c, err)
	}
	if err := next.Check(x.f); err != nil {
		t.Fatalf("%v: %v", c, err)
	}
	x.l = next
	return heirs
}

func still() float64 { return 1 }

func TestAHotSegmentIsSplitAfterSomeWindows(t *testing.T) {
	x := newField(t, map[layout.Key]float64{"a": 30, "c": 40, "f": 50, "p": 10})
	p, err := NewPlanner(PlannerLimits{})
	if err != nil {
		t.Fatal(err)
	}
	var got []Proposal
	for i := range 3 {
		if got = p.Window(time.Unix(int64(i), 0), x.l, x.f, x.loads(still)); i < 2 && slices.ContainsFunc(got, func(p Proposal) bool { return p.Change.Kind == layout.Split }) {
			t.Errorf("split after %d windows: %v", i+1, got)
		}
	}
	if len(got) == 0 || got[0].Change.Kind != layout.Split || got[0].Change.At != "d" || !slices.Equal(got[0].Change.Holders[0], []string{"s0", "s1"}) {
		t.Fatalf("have %+v", got)
	}
	// A window in between that says otherwise begins the count anew.
	p, _ = NewPlanner(PlannerLimits{})
	for i, factor := range []float64{1, 1, 0.1, 1, 1} {
		for _, g := range p.Window(time.Unix(int64(i), 0), x.l, x.f, x.loads(func() float64 { return factor })) {
			if g.Change.Kind == layout.Split {
				t.Errorf("window %d: %v", i, g)
			}
		}
	}
}

func TestOneHotKeyIsNotSplit(t *testing.T) {
	x := newField(t, map[layout.Key]float64{"a": 500})
	p, _ := NewPlanner(PlannerLimits{Windows: 1})
	for _, g := range p.Window(time.Unix(0, 0), x.l, x.f, x.loads(still)) {
		if g.Change.Kind == layout.Split {
			t.Errorf("have %v", g)
		}
	}
}

func TestWhatHasJustChangedRests(t *testing.T) {
	x := newField(t, map[layout.Key]float64{"a": 300, "b": 300, "c": 300, "d": 300})
	p, _ := NewPlanner(PlannerLimits{Windows: 1, Rest: time.Minute})
	now := time.Unix(0, 0)
	first := p.Window(now, x.l, x.f, x.loads(still))[0].Change
	p.Changed(now, first, x.apply(t, first))
	for _, g := range p.Window(now.Add(59*time.Second), x.l, x.f, x.loads(still)) {
		if g.Change.Kind == layout.Split {
			t.Errorf("have %v", g)
		}
	}
	if got := p.Window(now.Add(time.Minute), x.l, x.f, x.loads(still)); len(got) == 0 || got[0].Change.Kind != layout.Split {
		t.Errorf("after its rest: %v", got)
	}
}

func TestLimitsThatWouldGoBackAndForthAreRefused(t *testing.T) {
	for _, l := range []PlannerLimits{{Over: 1, Under: 0.9}, {Under: -1}, {Uneven: 1}, {Uneven: 0.5}, {Target: -1}, {Windows: -1}, {Most: -1}, {Rest: -1}} {
		if _, err := NewPlanner(l); err == nil {
			t.Errorf("%+v was taken", l)
		}
	}
}

// TestAPlannerComesToAnEnd gives it any load, with noise that stays within the
// hysteresis, and applies whatever it proposes.
func TestAPlannerComesToAnEnd(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		rates := make(map[layout.Key]float64)
		for k := layout.Key("a"); k <= "z"; k = layout.Key(k[0] + 1) {
			rates[k] = rapid.Float64Range(0, 80).Draw(t, string(k))
		}
		x := newField(t, rates)
		p, err := NewPlanner(PlannerLimits{Windows: 2, Rest: time.Second})
		if err != nil {
			t.Fatal(err)
		}
		wobble := rapid.Float64Range(0.95, 1.05)
		now, quiet := time.Unix(0, 0), 0
		type birth struct {
			kind  layout.ChangeKind
			epoch layout.Epoch
		}
		born := make(map[layout.SegmentID]birth)
		const most = 400
		for i := 0; quiet < 10; i++ {
			if i == most {
				t.Fatalf("it still changes after %d windows, at epoch %d", most, x.l.Epoch())
			}
			now = now.Add(time.Second)
			out := p.Window(now, x.l, x.f, x.loads(func() float64 { return wobble.Draw(t, "noise") }))
			if quiet++; len(out) > 0 {
				quiet = 0
			}
			for _, g := range out {
				ids := g.Change.Segments
				switch b := born[ids[0]]; {
				case g.Change.Kind == layout.Merge && b.epoch > 0 && b.kind == layout.Split && b == born[ids[1]]:
					t.Fatalf("%d came of one split and are to be merged: %s", ids, g.Why)
				case g.Change.Kind == layout.Split && b.epoch > 0 && b.kind == layout.Merge:
					t.Fatalf("%d came of a merge and is to be split: %s", ids, g.Why)
				}
				heirs := x.apply(t, g.Change)
				for _, id := range heirs {
					born[id] = birth{g.Change.Kind, x.l.Epoch()}
				}
				p.Changed(now, g.Change, heirs)
			}
		}
	})
}
