package netio

import (
	"runtime/debug"
	"runtime/metrics"
	"time"

	"eiderwinch/internal/memory"
)

// Bursts after which memory is given back to the system.
const (
	heldBurst      = 512 << 10 // bytes held by clients
	allocatedBurst = 8 << 20   // bytes allocated in one housekeepingInterval, far more than usual clients cause
)

// trimmer gives memory back to the system after a burst of clients. Without it, the process would keep the size of the
// burst until the next collection, which is minutes away if nothing is allocated.
type trimmer struct {
	held, allocated memory.Burst
	allocations     []metrics.Sample
	before          uint64 // bytes allocated until the last check
	trims           int
}

func newTrimmer() trimmer {
	return trimmer{
		held: memory.Burst{Least: heldBurst}, allocated: memory.Burst{Least: allocatedBurst},
		allocations: []metrics.Sample{{Name: "/gc/heap/allocs:bytes"}},
	}
}

// check gives memory back if a burst is over. heldBytes is what clients hold now.
func (t *trimmer) check(now time.Time, heldBytes int) {
	metrics.Read(t.allocations)
	total := t.allocations[0].Value.Uint64()
	allocated := int64(total - t.before)
	t.before = total
	heldOver := t.held.Over(now, int64(heldBytes))
	if allocatedOver := t.allocated.Over(now, allocated); heldOver || allocatedOver {
		t.trims++
		go debug.FreeOSMemory() // it collects first, which takes some milliseconds
	}
}
