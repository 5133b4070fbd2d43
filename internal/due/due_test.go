package due

import (
	"cmp"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"eiderwinch/internal/trial/steady"
)

func TestMain(m *testing.M) { steady.Main(m) }

// TestQueueAgreesWithASearchThroughEverything sets, moves, stops and pops at random.
func TestQueueAgreesWithASearchThroughEverything(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var q Queue[int]
		base := time.Unix(1000, 0)
		timers := make([]*Timer[int], 12)
		for i := range timers {
			timers[i] = &Timer[int]{Value: i}
		}
		var model []int // values of those set, in the order in which they fall due
		at := make(map[int]time.Time)
		set := make(map[int]int)
		sets := 0
		sorted := func() {
			slices.SortFunc(model, func(a, b int) int { return cmp.Or(at[a].Compare(at[b]), cmp.Compare(set[a], set[b])) })
		}
		one := rapid.IntRange(0, len(timers)-1)
		t.Repeat(map[string]func(*rapid.T){
			"set": func(t *rapid.T) {
				i := one.Draw(t, "timer")
				at[i] = base.Add(time.Duration(rapid.IntRange(0, 5).Draw(t, "at")) * time.Second)
				sets++
				set[i] = sets
				q.Set(timers[i], at[i])
				if !slices.Contains(model, i) {
					model = append(model, i)
				}
				sorted()
			},
			"stop": func(t *rapid.T) {
				i := one.Draw(t, "timer")
				q.Stop(timers[i])
				model = slices.DeleteFunc(model, func(x int) bool { return x == i })
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
				if got == nil || got.Value != model[0] || got.Set() {
					t.Fatalf("have %+v, want %d", got, model[0])
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
				for i, x := range timers {
					if x.Set() != slices.Contains(model, i) {
						t.Fatalf("timer %d is set: %v", i, x.Set())
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
