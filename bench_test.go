package eiderwinch

import (
	"fmt"
	"testing"
)

// BenchmarkTurn runs queries over 40% of the shards of a large ring. Each call is answered in the next turn.
func BenchmarkTurn(b *testing.B) {
	for _, searchers := range []int{15, 150} {
		b.Run(fmt.Sprint(searchers, " searchers"), func(b *testing.B) {
			s := testSettings()
			s.Cells, s.Shards, s.ReplicasPerShard, s.Gatherers = searchers, 2*searchers, 3, searchers/2
			d := &driver{aggregator: New(s), now: 100_000 * ms}
			var ids []string
			for i := range searchers {
				ids = append(ids, fmt.Sprintf("s%03d", i))
			}
			d.turn(ListChange{Kind: Whole, Replicas: replicaRing(ids...)})
			var shards []int
			for i := range 2 * searchers * 4 / 10 {
				shards = append(shards, i)
			}
			for i := range b.N {
				id := uint64(i + 1)
				q := newQuery(1000*id, 0, shards...)
				sends := actionsOf[Send](d.after(5*ms, q))
				var outcomes []Event
				for _, x := range sends {
					outcomes = append(outcomes, okOutcome(x.Part, 0, x.Replica))
				}
				d.after(50*ms, outcomes...)
			}
		})
	}
}

// BenchmarkTurnLargeFleet runs a turn with one query of nine parts, and one with its outcomes, for a fleet of
// replica groups of three searchers.
func BenchmarkTurnLargeFleet(b *testing.B) {
	for _, searchers := range []int{12, 350, 1024} {
		b.Run(fmt.Sprint(searchers, " searchers"), func(b *testing.B) {
			s := testSettings()
			s.Cells, s.Shards, s.ReplicasPerShard, s.Gatherers = searchers/3, searchers, 1, searchers
			d := &driver{aggregator: New(s), now: 100_000 * ms}
			list := ListChange{Kind: Whole}
			for i := range searchers {
				list.Replicas = append(list.Replicas,
					Replica{ID: fmt.Sprintf("s%04d", i), Cell: i % s.Cells, State: Ready})
			}
			d.turn(list)
			b.ReportAllocs()
			b.ResetTimer()
			for i := range b.N {
				id := uint64(i + 1)
				var shards []int
				for k := range 9 {
					shards = append(shards, (i*9+k)%s.Shards)
				}
				var outcomes []Event
				for _, x := range actionsOf[Send](d.after(5*ms, newQuery(1000*id, 0, shards...))) {
					outcomes = append(outcomes, okOutcome(x.Part, 0, x.Replica))
				}
				d.after(50*ms, outcomes...)
			}
		})
	}
}
