package gatherer

import (
	"hash/maphash"
	"time"

	"eiderwinch"
)

// Bounds of what is remembered of ended queries.
const (
	minUsedIDTime = time.Minute
	maxUsedIDs    = 8192 // beyond, the oldest are forgotten
)

// usedIDs remembers the trace ids of ended queries that may have run at a searcher. Clients give each request a new id,
// retries as well, so an id that comes again is at fault, and its parts would run twice.
type usedIDs struct {
	keep  time.Duration // how long an id is remembered
	seed  maphash.Seed
	known map[uint64]struct{}
	order []usedID // in the order in which they were added
}

// usedID is an id, by its hash.
type usedID struct {
	hash  uint64
	until time.Time
}

// newUsedIDs returns usedIDs that remember ids for as long as an attempt of their queries may be left at a searcher, or
// searchers may still know their idempotency keys.
func newUsedIDs(classes []eiderwinch.Class) usedIDs {
	keep := minUsedIDTime
	for _, class := range classes {
		keep = max(keep, class.Deadline+class.RepeatWindow)
	}
	return usedIDs{keep: keep, seed: maphash.MakeSeed(), known: make(map[uint64]struct{})}
}

// add remembers an id.
func (u *usedIDs) add(now time.Time, id string) {
	if u.contains(now, id) {
		return
	}
	u.forget(now, maxUsedIDs-1)
	hash := maphash.String(u.seed, id)
	u.known[hash] = struct{}{}
	u.order = append(u.order, usedID{hash, now.Add(u.keep)})
}

// contains reports whether an id is remembered.
func (u *usedIDs) contains(now time.Time, id string) bool {
	u.forget(now, maxUsedIDs)
	_, known := u.known[maphash.String(u.seed, id)]
	return known
}

// forget drops the ids whose time is over, and the oldest ones while there are more than most.
func (u *usedIDs) forget(now time.Time, most int) {
	dropped := 0
	for _, used := range u.order {
		if len(u.order)-dropped <= most && now.Before(used.until) {
			break
		}
		delete(u.known, used.hash)
		dropped++
	}
	u.order = u.order[dropped:]
}
