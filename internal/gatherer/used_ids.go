package gatherer

import (
	"hash/maphash"
	"time"

	"eiderwinch"
)

const (
	minUsedIDTime = time.Minute // for which an id is remembered
	usedIDSets    = 2048        // a power of two
	usedIDsPerSet = 4
)

// usedIDs remembers the trace ids of ended queries that may have run at a searcher. Clients give each request a new id,
// retries as well, so an id that comes again is at fault, and its parts would run twice. It is a set-associative table of
// hashes, whose size never changes: if more ids are remembered than there is room for, the oldest of a set is forgotten.
type usedIDs struct {
	keep time.Duration
	seed maphash.Seed
	sets [][usedIDsPerSet]usedID
}

// usedID is an id that is remembered; the zero value is none.
type usedID struct {
	hash  uint64
	until int64 // Unix time in nanoseconds
}

// newUsedIDs returns usedIDs that remember ids for as long as an attempt of their queries may be left at a searcher, or
// searchers may still know their idempotency keys.
func newUsedIDs(classes []eiderwinch.Class) usedIDs {
	keep := minUsedIDTime
	for _, class := range classes {
		keep = max(keep, class.Deadline+class.RepeatWindow)
	}
	return usedIDs{keep: keep, seed: maphash.MakeSeed(), sets: make([][usedIDsPerSet]usedID, usedIDSets)}
}

// find returns the set of an id and its hash.
func (u *usedIDs) find(id string) (set *[usedIDsPerSet]usedID, hash uint64) {
	hash = maphash.String(u.seed, id)
	return &u.sets[hash%usedIDSets], hash
}

// add remembers an id. It takes the place of the id in its set whose time is over first.
func (u *usedIDs) add(now time.Time, id string) {
	set, hash := u.find(id)
	oldest := 0
	for i := range set {
		if set[i].until < set[oldest].until {
			oldest = i
		}
	}
	set[oldest] = usedID{hash, now.Add(u.keep).UnixNano()}
}

// contains reports whether an id is remembered.
func (u *usedIDs) contains(now time.Time, id string) bool {
	set, hash := u.find(id)
	for _, used := range set {
		if used.hash == hash && now.UnixNano() < used.until {
			return true
		}
	}
	return false
}
