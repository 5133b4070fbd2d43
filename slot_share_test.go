package eiderwinch

import (
	"testing"
	"time"
)

// The capacity of a cold searcher that a fleet may use must be the same whether all gatherers are present or a few
// that were given the numbers of those before them. It must be less by the numbers that nobody has.
func TestSlotShareCoversItsNumbers(t *testing.T) {
	coldCapacityOf := func(number, slots int, until time.Duration) (work time.Duration) {
		s := testSettings()
		s.Gatherers, s.GathererNumber = 12, number
		c := startAggregator(t, s)
		c.turn(Share{Slots: slots, Until: c.now + until})
		c.now += 10 * ms
		c.turn()
		cold := c.aggregator.searchersByID["a"]
		cold.Started = c.now - 3000*ms
		for c.aggregator.hasColdCapacity(cold, work+ms) {
			work += ms
		}
		return work
	}
	totalOf := func(until time.Duration, slots map[int]int) (all time.Duration) {
		for number, n := range slots {
			all += coldCapacityOf(number, n, until)
		}
		return all
	}
	each := make(map[int]int)
	for i := range 12 {
		each[i] = 1
	}
	total := totalOf(time.Second, each)
	c := &driver{t: t}
	c.want("something", total > 0, true)
	near := func(a, b time.Duration) bool { return (a - b).Abs() <= 12*ms } // each is rounded down to a ms
	c.want("three that hold all", near(totalOf(time.Second, map[int]int{2: 4, 7: 5, 10: 3}), total), true)
	c.want("one that holds all", near(totalOf(time.Second, map[int]int{5: 12}), total), true)
	c.want("one that is given more than there are", near(totalOf(time.Second, map[int]int{5: 99}), total), true)
	c.want("none", totalOf(time.Second, map[int]int{2: 0, 7: 0}), time.Duration(0))
	c.want("three without the others' are below", totalOf(time.Second, map[int]int{2: 1, 7: 1, 10: 1}) < total, true)
	c.want("after the share has expired",
		totalOf(5*ms, map[int]int{2: 4, 7: 5, 10: 0}), totalOf(time.Second, map[int]int{2: 1, 7: 1, 10: 1}))
}
