package eiderwinch

import (
	"testing"
	"time"
)

// The capacity of a cold searcher that a fleet may use must be the same whether all gatherers are present or only a
// few that were given the slots of the numbers before theirs. It must be less if some slots are nobody's.
func TestSlotShareCoversItsNumbers(t *testing.T) {
	coldCapacityOf := func(number, slots int, until time.Duration) (work time.Duration) {
		s := testSettings()
		s.Gatherers, s.GathererNumber = 12, number
		d := startAggregator(t, s)
		d.turn(Share{Slots: slots, Until: d.now + until})
		d.now += 10 * ms
		d.turn()
		cold := d.aggregator.searchersByID["a"]
		cold.Started = d.now - 3000*ms
		for d.aggregator.hasColdCapacity(cold, work+ms) {
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
	d := &driver{t: t}
	d.checkEqual("the total is above 0", total > 0, true)
	near := func(a, b time.Duration) bool { return (a - b).Abs() <= 12*ms } // each is rounded down to a ms
	d.checkEqual("the same total with all slots at three gatherers", near(totalOf(time.Second, map[int]int{2: 4, 7: 5, 10: 3}), total), true)
	d.checkEqual("the same total with all slots at one gatherer", near(totalOf(time.Second, map[int]int{5: 12}), total), true)
	d.checkEqual("the same total with more slots than there are at one gatherer", near(totalOf(time.Second, map[int]int{5: 99}), total), true)
	d.checkEqual("total without any slot", totalOf(time.Second, map[int]int{2: 0, 7: 0}), time.Duration(0))
	d.checkEqual("a lower total with three slots", totalOf(time.Second, map[int]int{2: 1, 7: 1, 10: 1}) < total, true)
	d.checkEqual("total after the share has expired",
		totalOf(5*ms, map[int]int{2: 4, 7: 5, 10: 0}), totalOf(time.Second, map[int]int{2: 1, 7: 1, 10: 1}))
}
