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
	rejected *catalog.Member // the entry of a later list that was not believed; nil if none
}

// serving is a searcher that was reported as ready.
type serving struct {
	catalog.Member
	source   string // the discovery address that reported it
	revision int64
}

// MemberFilter keeps which searchers were reported as leaving, so that an older list does not
// make them ready again. A list may be older if it comes from another discovery address,
// because revisions of different addresses can't be compared, or if its revision is not
// higher than that of the update. Such a list is believed once it can't be outdated any more.
//
// A searcher that a complete list omits counts as leaving too.
//
// MemberFilter also keeps the latest start of each searcher. A list with an earlier start is
// older, and its network address may be that of the previous process, so an earlier start
// does not replace a later one, unless the same discovery address reports it with a higher
// revision.
type MemberFilter struct {
	leaving  map[string]*leaving // by id
	serving  map[string]serving  // by id
	Rejected int                 // entries of lists that were not believed
}

// Apply applies a list, or changes to one, and returns its members with the entries that
// are not believed corrected. It does not modify u.
func (r *MemberFilter) Apply(now time.Time, source string, u catalog.Update) []catalog.Member {
	if r.leaving == nil {
		r.leaving, r.serving = make(map[string]*leaving), make(map[string]serving)
	}
	if u.Complete && len(u.Members) > 0 { // an empty list is ignored, see gatherer.Core.UpdateMembers
		r.recordOmitted(now, source, u)
	}
	out := slices.Clone(u.Members)
	for i, m := range out {
		old := r.leaving[m.ID]
		switch {
		case m.Phase != catalog.Ready:
			l := &leaving{started: m.UpSinceMS, notified: now, source: source, revision: u.Revision}
			if old != nil && old.started == m.UpSinceMS {
				l.notified = old.notified
			}
			r.leaving[m.ID] = l
			delete(r.serving, m.ID)
		case old == nil:
			if known := r.serving[m.ID]; m.UpSinceMS < known.UpSinceMS && (source != known.source || u.Revision <= known.revision) {
				r.Rejected++
				out[i] = known.Member
				break
			}
			r.serving[m.ID] = serving{m, source, u.Revision}
		case m.UpSinceMS > old.started, source == old.source && u.Revision > old.revision, now.Sub(old.notified) >= maxListAge:
			delete(r.leaving, m.ID)
			r.serving[m.ID] = serving{m, source, u.Revision}
		default:
			r.Rejected++
			entry := m
			old.rejected = &entry
			out[i].Phase = catalog.Terminating
		}
	}
	return out
}

// recordOmitted records as leaving the searchers that were ready and that a complete list
// omits.
func (r *MemberFilter) recordOmitted(now time.Time, source string, u catalog.Update) {
	listed := make(map[string]bool, len(u.Members))
	for _, m := range u.Members {
		listed[m.ID] = true
	}
	for id, s := range r.serving {
		if !listed[id] {
			r.leaving[id] = &leaving{started: s.UpSinceMS, notified: now, source: source, revision: u.Revision}
			delete(r.serving, id)
		}
	}
}

// Reinstated returns the searchers that a list reported as ready again, if that list was not
// believed before and is now. It forgets the searchers that left so long ago that no list
// about them can be outdated. lastReceived is when the discovery address in use last sent
// anything: a silent address may have learned nothing since, so the time of its silence does
// not make its lists more credible.
func (r *MemberFilter) Reinstated(lastReceived time.Time) (reinstated []catalog.Member) {
	for id, l := range r.leaving {
		if lastReceived.Sub(l.notified) < maxListAge {
			continue
		}
		if l.rejected != nil {
			reinstated = append(reinstated, *l.rejected)
			r.serving[id] = serving{*l.rejected, l.source, l.revision}
		}
		delete(r.leaving, id)
	}
	slices.SortFunc(reinstated, func(a, b catalog.Member) int { return cmp.Compare(a.ID, b.ID) })
	return reinstated
}
