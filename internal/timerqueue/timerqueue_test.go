package timerqueue

import (
	"cmp"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"eiderwinch/internal/trial/fixedseed"
)

func TestMain(m *testing.M) { fixedseed.Main(m) }

// TestQueueMatchesModel sets, moves, stops and pops timers at random, and compares the
// queue with a sorted list.
func TestQueueMatchesModel(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var q Queue[int]
		base := time.Unix(1000, 0)
		timers := make([]*Timer[int], 12)
		for i := range timers {
			timers[i] = &Timer[int]{Value: i}
		}
		var model []int // values of the timers that are set, in the order in which they are due
		at := make(map[int]time.Time)
		setOrder := make(map[int]int)
		sequence := 0
		sortModel := func() {
			slices.SortFunc(model, func(a, b int) int { return cmp.Or(at[a].Compare(at[b]), cmp.Compare(setOrder[a], setOrder[b])) })
		}
		anyTimer := rapid.IntRange(0, len(timers)-1)
		t.Repeat(map[string]func(*rapid.T){
			"set": func(t *rapid.T) {
				i := anyTimer.Draw(t, "timer")
				at[i] = base.Add(time.Duration(rapid.IntRange(0, 5).Draw(t, "at")) * time.Second)
				sequence++
				setOrder[i] = sequence
				q.Set(timers[i], at[i])
				if !slices.Contains(model, i) {
					model = append(model, i)
				}
				sortModel()
			},
			"stop": func(t *rapid.T) {
				i := anyTimer.Draw(t, "timer")
				q.Stop(timers[i])
				model = slices.DeleteFunc(model, func(timer int) bool { return timer == i })
			},
			"pop": func(t *rapid.T) {
				now := base.Add(time.Duration(rapid.IntRange(0, 5).Draw(t, "now")) * time.Second)
				got := q.Pop(now)
				if len(model) == 0 || at[model[0]].After(now) {
					if got != nil {
						t.Fatalf("timer %d is not due", got.Value)
					}
					return
				}
				if got == nil || got.Value != model[0] || got.IsSet() {
					t.Fatalf("got %+v, want timer %d", got, model[0])
				}
				model = model[1:]
			},
			"": func(t *rapid.T) {
				want := time.Time{}
				if len(model) > 0 {
					want = at[model[0]]
				}
				if q.Len() != len(model) || !q.Next().Equal(want) {
					t.Fatalf("%d timers, the next at %v; want %d at %v", q.Len(), q.Next(), len(model), want)
				}
				for i, timer := range timers {
					if timer.IsSet() != slices.Contains(model, i) {
						t.Fatalf("timer %d is set: %v", i, timer.IsSet())
					}
				}
			},
		})
	})
}

func BenchmarkSetAndStop(b *testing.B) {
	var q Queue[int]
	base := time.Unix(1000, 0)
	for i := range 10_000 {
		q.Set(&Timer[int]{}, base.Add(time.Duration(i*7919%10_000)*time.Millisecond))
	}
	t := &Timer[int]{}
	b.ReportAllocs()
	for i := range b.N {
		q.Set(t, base.Add(time.Duration(i*7919%10_000)*time.Millisecond))
		_ = q.Next()
		q.Stop(t)
	}
}
