package follow

import (
	"cmp"
	"slices"
	"time"

	"eiderwinch/internal/format/catalog"
)

// doubt is how long a searcher that was told to leave stays so where a list that may be
// older says otherwise: what one still says when all news counts is no old news.
const doubt = silentCounts

// leaving is a searcher that was told to leave.
type leaving struct {
	started  int64 // its start, Unix ms
	told     time.Time
	source   string // the address that said so
	revision int64
	doubted  *catalog.Member // what a list said that was not believed
}

// serving is a searcher that was told to be ready.
type serving struct {
	catalog.Member
	source   string // the address that said so
	revision int64
}

// Roster keeps which searchers were told to leave, so that no older list has them back:
// one of another address, whose revisions do not compare, or one whose revision is lower
// than that of the news. Such a list is believed once it can't be old any more.
//
// Who is left out of a whole list has left as surely as who is told to leave.
//
// It also keeps which process of a searcher is the latest: a list that knows of an earlier start alone is
// older, and its address may be that of the process before. A start that was told stays told.
type Roster struct {
	leaving map[string]*leaving
	serving map[string]serving // by id
	Doubted int                // members of lists that were not believed
}

// Take takes in a list, or changes to one, and returns its members as they are to be
// believed. Nothing in it is changed in place.
func (r *Roster) Take(now time.Time, source string, u catalog.Update) []catalog.Member {
	if r.leaving == nil {
		r.leaving, r.serving = make(map[string]*leaving), make(map[string]serving)
	}
	if u.Complete && len(u.Members) > 0 { // an empty one is no list, see gatherer.Core.List
		r.omitted(now, source, u)
	}
	out := slices.Clone(u.Members)
	for i, m := range out {
		old := r.leaving[m.ID]
		switch {
		case m.Phase != catalog.Ready:
			l := &leaving{started: m.UpSinceMS, told: now, source: source, revision: u.Revision}
			if old != nil && old.started == m.UpSinceMS {
				l.told = old.told
			}
			r.leaving[m.ID] = l
			delete(r.serving, m.ID)
		case old == nil:
			if known := r.serving[m.ID]; m.UpSinceMS < known.UpSinceMS && (source != known.source || u.Revision <= known.revision) {
				r.Doubted++
				out[i] = known.Member
				break
			}
			r.serving[m.ID] = serving{m, source, u.Revision}
		case m.UpSinceMS > old.started, source == old.source && u.Revision > old.revision, now.Sub(old.told) >= doubt:
			delete(r.leaving, m.ID)
			r.serving[m.ID] = serving{m, source, u.Revision}
		default:
			r.Doubted++
			held := m
			old.doubted = &held
			out[i].Phase = catalog.Terminating
		}
	}
	return out
}

// omitted books those as leaving that were ready and that a whole list leaves out.
func (r *Roster) omitted(now time.Time, source string, u catalog.Update) {
	named := make(map[string]bool, len(u.Members))
	for _, m := range u.Members {
		named[m.ID] = true
	}
	for id, s := range r.serving {
		if !named[id] {
			r.leaving[id] = &leaving{started: s.UpSinceMS, told: now, source: source, revision: u.Revision}
			delete(r.serving, id)
		}
	}
}

// Review returns the searchers that a list had back, which was not believed, and is now,
// and forgets those that left too long ago for any list to be in doubt. spoke is when the
// address in use said something last: one that is silent learns nothing, so what it said
// stays as old as it was.
func (r *Roster) Review(spoke time.Time) (back []catalog.Member) {
	for id, l := range r.leaving {
		if spoke.Sub(l.told) < doubt {
			continue
		}
		if l.doubted != nil {
			back = append(back, *l.doubted)
			r.serving[id] = serving{*l.doubted, l.source, l.revision}
		}
		delete(r.leaving, id)
	}
	slices.SortFunc(back, func(a, b catalog.Member) int { return cmp.Compare(a.ID, b.ID) })
	return back
}
