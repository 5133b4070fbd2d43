package discovery

import (
	"cmp"
	"slices"
	"time"

	"eiderwinch/internal/format/catalog"
)

// maxListAge is how far a list may lag behind. A searcher that was reported as leaving is
// considered leaving for this long, even if a list that may be older says otherwise. After
// that time the gatherer counts as notified of every update, so a list that still says
// otherwise is not outdated.
const maxListAge = silentNotifyDelay

// leaving is a searcher that was reported as leaving.
type leaving struct {
	started  int64     // its start, Unix ms
	notified time.Time // when it was first reported as leaving
	source   string    // the discovery address that reported it
	revision int64
	rejected *catalog.Member // the entry of a later list that was not accepted; nil if none
}

// serving is a searcher that was reported as ready.
type serving struct {
	catalog.Member
	source   string // the discovery address that reported it
	revision int64
}

// MemberFilter records which searchers were reported as leaving, so that an older list does
// not make them ready again. A list may be older if it comes from another discovery address,
// because revisions of different addresses can't be compared, or if its revision is not
// higher than that of the update. Such a list is accepted once it can't be outdated any more.
//
// A searcher that a complete list omits counts as leaving too.
//
// MemberFilter also records the latest start of each searcher. A list with an earlier start is
// older, and its network address may be that of the previous process, so an earlier start
// does not replace a later one, unless the same discovery address reports it with a higher
// revision.
type MemberFilter struct {
	leaving  map[string]*leaving // by id
	serving  map[string]serving  // by id
	Rejected int                 // entries of lists that were not accepted
}

// Apply applies a list, or changes to one, and returns its members. Entries that it does not
// accept are corrected in the result; u is not modified.
func (f *MemberFilter) Apply(now time.Time, source string, u catalog.Update) []catalog.Member {
	if f.leaving == nil {
		f.leaving, f.serving = make(map[string]*leaving), make(map[string]serving)
	}
	if u.Complete && len(u.Members) > 0 { // an empty list is ignored, see gatherer.Core.UpdateMembers
		f.recordOmitted(now, source, u)
	}
	out := slices.Clone(u.Members)
	for i, m := range out {
		old := f.leaving[m.ID]
		switch {
		case m.Phase != catalog.Ready:
			l := &leaving{started: m.UpSinceMS, notified: now, source: source, revision: u.Revision}
			if old != nil && old.started == m.UpSinceMS {
				l.notified = old.notified
			}
			f.leaving[m.ID] = l
			delete(f.serving, m.ID)
		case old == nil:
			if known := f.serving[m.ID]; m.UpSinceMS < known.UpSinceMS && (source != known.source || u.Revision <= known.revision) {
				f.Rejected++
				out[i] = known.Member
				break
			}
			f.serving[m.ID] = serving{m, source, u.Revision}
		case m.UpSinceMS > old.started, source == old.source && u.Revision > old.revision, now.Sub(old.notified) >= maxListAge:
			delete(f.leaving, m.ID)
			f.serving[m.ID] = serving{m, source, u.Revision}
		default:
			f.Rejected++
			entry := m
			old.rejected = &entry
			out[i].Phase = catalog.Terminating
		}
	}
	return out
}

// recordOmitted records as leaving the searchers that were ready and that a complete list
// omits.
func (f *MemberFilter) recordOmitted(now time.Time, source string, u catalog.Update) {
	listed := make(map[string]bool, len(u.Members))
	for _, m := range u.Members {
		listed[m.ID] = true
	}
	for id, s := range f.serving {
		if !listed[id] {
			f.leaving[id] = &leaving{started: s.UpSinceMS, notified: now, source: source, revision: u.Revision}
			delete(f.serving, id)
		}
	}
}

// Reinstated returns the searchers that a list reported as ready again, if that list was not
// accepted before and is now. It forgets the searchers that left so long ago that no list
// about them can be outdated. lastReceived is when the discovery address in use last sent
// anything: an address that is silent may have learned nothing since, so a list does not become
// acceptable while it is silent.
func (f *MemberFilter) Reinstated(lastReceived time.Time) (reinstated []catalog.Member) {
	for id, l := range f.leaving {
		if lastReceived.Sub(l.notified) < maxListAge {
			continue
		}
		if l.rejected != nil {
			reinstated = append(reinstated, *l.rejected)
			f.serving[id] = serving{*l.rejected, l.source, l.revision}
		}
		delete(f.leaving, id)
	}
	slices.SortFunc(reinstated, func(a, b catalog.Member) int { return cmp.Compare(a.ID, b.ID) })
	return reinstated
}
