package discovery

import (
	"cmp"
	"slices"
	"time"

	"eiderwinch/internal/format/catalog"
)

// maxListAge is how far a list may lag behind. After that time the gatherer counts as notified of
// every update, so a source that still lists a searcher as ready is not outdated.
const maxListAge = silentNotifyDelay

// maxDepartures bounds the departures that are kept of one searcher. There is one for each source
// that was followed within about maxListAge.
const maxDepartures = 4

// maxLeaving bounds the searchers that are kept as leaving. They are forgotten once their departures
// are outdated, but none becomes outdated while discovery keeps falling silent.
const maxLeaving = 8192

// departure is a report that a searcher leaves: an entry that says so, or a whole list that omits
// the searcher.
type departure struct {
	source   string
	revision int64
	started  int64     // start of the process that leaves, Unix ms
	since    time.Time // when the source first reported one of this process
	notified time.Time // when it first reported this one; later than since if the searcher was listed as ready in between
}

// isRefutedBy reports whether an entry that says that the searcher is ready is newer than the
// departure: it is about a later process, or its source orders the two by their revisions.
func (d departure) isRefutedBy(s serving) bool {
	return s.UpSinceMS > d.started || s.source == d.source && s.revision > d.revision
}

// isOutdated reports whether a source that sent something at a given time, and has not been silent since aliveSince,
// must know of the departure.
func (d departure) isOutdated(at, aliveSince time.Time) bool {
	return at.Sub(d.notified) >= maxListAge && at.Sub(aliveSince) >= maxListAge
}

// leaving is a searcher that was reported as leaving.
type leaving struct {
	departures []departure // those that are neither refuted nor outdated; one for each source
	rejected   *serving    // the last word of the source in use, if that is that the searcher is ready
	readySince time.Time   // when the searcher became ready before it left
}

// serving is a searcher that was reported as ready.
type serving struct {
	catalog.Member
	source     string
	revision   int64
	readySince time.Time // since when the searcher has been ready; zero: since before this process started
}

// MemberFilter records which searchers were reported as leaving, so that an older list does not
// make them ready again. It maintains one invariant:
//
//	A searcher is ready only if the last word of the source in use is that it is ready, and no
//	departure stands against that word.
//
// A departure, whichever source it is from, stands until it is refuted by a later start of the
// searcher or by a higher revision of a source that has reported it, or until it is maxListAge old and the source
// in use has not been silent for as long: revisions of different sources can't be compared. An entry that a departure stands against is rejected. It
// is kept, and void as soon as its source reports the searcher as leaving or omits it from a whole
// list.
//
// MemberFilter also records the latest start of each searcher. A list with an earlier start is
// older, and its network address may be that of the previous process, so an earlier start does not
// replace a later one, unless the same source reports it with a higher revision.
type MemberFilter struct {
	leaving  map[string]*leaving // by id
	serving  map[string]serving  // by id
	Rejected int                 // entries of lists that were not accepted

	Forgotten int // searchers forgotten because more than maxLeaving were leaving

	source     string    // the source in use
	aliveSince time.Time // since when it has not been silent
	lastAlive  time.Time // when it last sent anything
}

// Apply applies a list, or changes to one, and returns its members. Entries that it does not
// accept are corrected in the result; u is not modified. A source is one use of a discovery
// address: if an address is followed again later, it is another source.
func (f *MemberFilter) Apply(now time.Time, source string, u catalog.Update) []catalog.Member {
	if f.leaving == nil {
		f.leaving, f.serving = make(map[string]*leaving), make(map[string]serving)
	}
	if u.Complete && len(u.Members) > 0 { // an empty list is ignored, see gatherer.Core.UpdateMembers
		f.recordOmitted(now, source, u)
	}
	out := slices.Clone(u.Members)
	for i, m := range out {
		if m.Phase != catalog.Ready {
			f.recordDeparture(m.ID, departure{source: source, revision: u.Revision, started: m.UpSinceMS, since: now, notified: now}, true)
			continue
		}
		out[i] = f.applyReady(now, serving{Member: m, source: source, revision: u.Revision})
	}
	return out
}

// applyReady applies an entry that says that a searcher is ready, and returns the entry to use.
func (f *MemberFilter) applyReady(now time.Time, s serving) catalog.Member {
	if l := f.leaving[s.ID]; l != nil {
		aliveSince := f.aliveSinceIfHeard(now, s.source)
		l.departures = slices.DeleteFunc(l.departures, func(d departure) bool { return d.isRefutedBy(s) || d.isOutdated(now, aliveSince) })
		if len(l.departures) > 0 {
			f.Rejected++
			l.rejected = &s
			m := s.Member
			m.Phase = catalog.Terminating
			return m
		}
		delete(f.leaving, s.ID)
	}
	known, isReady := f.serving[s.ID]
	if s.readySince = known.readySince; !isReady && f.source != "" {
		s.readySince = now
	}
	if s.UpSinceMS < known.UpSinceMS && (s.source != known.source || s.revision <= known.revision) {
		f.Rejected++
		return known.Member
	}
	f.serving[s.ID] = s
	return s.Member
}

// recordDeparture records that a searcher leaves. hadListed is whether the source knew the searcher before.
func (f *MemberFilter) recordDeparture(id string, d departure, hadListed bool) {
	l := f.leaving[id]
	if l == nil {
		l = &leaving{readySince: f.serving[id].readySince}
		f.makeRoom()
		f.leaving[id] = l
	}
	delete(f.serving, id)
	wasRejected := l.rejected != nil
	if wasRejected && !(l.rejected.source == d.source && l.rejected.revision > d.revision) {
		l.rejected = nil
	}
	if hadListed {
		d = l.merge(d)
	}
	i := slices.IndexFunc(l.departures, func(x departure) bool { return x.source == d.source })
	if i < 0 {
		l.add(d)
		return
	}
	known := &l.departures[i]
	again := known.started == d.started && !wasRejected // the same departure is reported once more
	if !again && d.notified.After(known.notified) {
		known.notified = d.notified
	}
	known.started, known.revision = d.started, max(known.revision, d.revision)
}

// makeRoom forgets the searcher that has been leaving for longest if there is no room for another.
func (f *MemberFilter) makeRoom() {
	if len(f.leaving) < maxLeaving {
		return
	}
	oldest := ""
	for id, l := range f.leaving {
		if oldest == "" || l.firstNotified().Before(f.leaving[oldest].firstNotified()) {
			oldest = id
		}
	}
	delete(f.leaving, oldest)
	f.Forgotten++
}

// firstNotified returns when the first of the departures was reported; zero if there is none.
func (l *leaving) firstNotified() time.Time {
	if len(l.departures) == 0 {
		return time.Time{}
	}
	return l.departures[0].since
}

// merge replaces the departures that other sources have reported by d, which reports the same one: a list that lags
// can't report an earlier one if the searcher had been ready for longer than a list may lag. So the source of d
// refutes them all when it reports the searcher as ready again.
func (l *leaving) merge(d departure) departure {
	l.departures = slices.DeleteFunc(l.departures, func(x departure) bool {
		same := x.source != d.source && x.started <= d.started && x.since.Sub(l.readySince) >= maxListAge
		if same && x.notified.Before(d.notified) {
			d.notified = x.notified
		}
		return same
	})
	return d
}

// add adds a departure. If there are too many, the two oldest are replaced by one that stands as
// long as either.
func (l *leaving) add(d departure) {
	if l.departures = append(l.departures, d); len(l.departures) <= maxDepartures {
		return
	}
	first, second := l.departures[0], l.departures[1]
	second.started, second.since = max(first.started, second.started), first.since
	l.departures = slices.Delete(l.departures, 0, 1)
	l.departures[0] = second
}

// recordOmitted records the departure of the searchers that a complete list omits.
func (f *MemberFilter) recordOmitted(now time.Time, source string, u catalog.Update) {
	listed := make(map[string]bool, len(u.Members))
	for _, m := range u.Members {
		listed[m.ID] = true
	}
	for id, s := range f.serving {
		if !listed[id] {
			d := departure{source: source, revision: u.Revision, started: s.UpSinceMS, since: now, notified: now}
			if s.source == source {
				d.revision = max(d.revision, s.revision)
			}
			f.recordDeparture(id, d, s.source == source)
		}
	}
	for id, l := range f.leaving {
		if !listed[id] {
			hadListed := l.rejected != nil && l.rejected.source == source
			f.recordDeparture(id, departure{source: source, revision: u.Revision, started: l.lastStart(), since: now, notified: now}, hadListed)
		}
	}
}

// lastStart returns the latest start of the searcher that is known to leave.
func (l *leaving) lastStart() (started int64) {
	for _, d := range l.departures {
		started = max(started, d.started)
	}
	return started
}

// Alive records that the source in use has sent something, be it that nothing has changed.
func (f *MemberFilter) Alive(now time.Time, source string) {
	f.aliveSince = f.aliveSinceIfHeard(now, source)
	f.source, f.lastAlive = source, now
}

// aliveSinceIfHeard returns since when a source that sends something now has not been silent. The first source of a
// process counts as if it had never been.
func (f *MemberFilter) aliveSinceIfHeard(now time.Time, source string) time.Time {
	switch {
	case f.source == "":
		return time.Time{}
	case source != f.source, now.Sub(f.lastAlive) >= silenceTimeout:
		return now
	}
	return f.aliveSince
}

// Reinstated returns the searchers whose entries were rejected and are accepted now. It forgets
// the searchers that left so long ago that no list about them can be outdated. lastReceived is when
// the source in use last sent anything. A source that is silent learns nothing, so departures
// become outdated only while the source in use is not silent.
func (f *MemberFilter) Reinstated(lastReceived time.Time) (reinstated []catalog.Member) {
	for id, l := range f.leaving {
		l.departures = slices.DeleteFunc(l.departures, func(d departure) bool {
			return d.isOutdated(lastReceived, f.aliveSince)
		})
		if len(l.departures) > 0 {
			continue
		}
		if l.rejected != nil {
			reinstated = append(reinstated, l.rejected.Member)
			l.rejected.readySince = lastReceived
			f.serving[id] = *l.rejected
		}
		delete(f.leaving, id)
	}
	slices.SortFunc(reinstated, func(a, b catalog.Member) int { return cmp.Compare(a.ID, b.ID) })
	return reinstated
}
