package discovery

import (
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"

	"eiderwinch/internal/format/catalog"
)

// step is something that happens to the searcher s in a test of the MemberFilter.
type step string

const (
	wholeWith     step = "a whole list with s"
	wholeWithout  step = "a whole list without s"
	changeReady   step = "s is ready"
	changeLeaves  step = "s drains"
	olderList     step = "an older list with s"
	newStart      step = "s has started anew"
	emptyLine     step = "2 s, an empty line"
	silence       step = "7 s of silence"
	sourceWith    step = "a new source with s"
	sourceOld     step = "a new source with an earlier start of s"
	sourceWithout step = "a new source without s"
)

var steps = []step{wholeWith, wholeWithout, changeReady, changeLeaves, olderList, newStart, emptyLine, silence, sourceWith, sourceOld, sourceWithout}

// filterModel is the rule in plain terms: a searcher is ready only if the last word of the source in use is that it is
// ready, and each departure reported before is refuted or outdated.
type filterModel struct {
	word       *word // the last word on s; nil: it leaves
	departures []*reportedDeparture
	known      *word // the last accepted entry; nil while s leaves
	readySince time.Time
	source     int
	aliveSince time.Time
	lastAlive  time.Time
}

type word struct {
	source            int
	revision, started int64
}

type reportedDeparture struct {
	word
	at   time.Time
	over bool // refuted or outdated
}

func (m *filterModel) isReady() bool { return m.word != nil && m.allOver() }

func (m *filterModel) allOver() bool {
	return !slices.ContainsFunc(m.departures, func(d *reportedDeparture) bool { return !d.over })
}

func (m *filterModel) heard(now time.Time, source int) {
	if m.source != 0 && (source != m.source || now.Sub(m.lastAlive) >= silenceTimeout) {
		m.aliveSince = now
	}
	m.source, m.lastAlive = source, now
}

func (m *filterModel) saysReady(now time.Time, w word, first bool) {
	for _, d := range m.departures {
		refuted := w.started > d.started || w.source == d.source && w.revision > d.revision
		d.over = d.over || refuted || m.isOutdated(d, now)
	}
	earlierStart := m.known != nil && w.started < m.known.started && (w.source != m.known.source || w.revision <= m.known.revision)
	if m.word = &w; m.isReady() && !earlierStart {
		m.becomeReady(now, first)
	}
}

func (m *filterModel) becomeReady(now time.Time, first bool) {
	if m.known == nil && !first {
		m.readySince = now
	}
	m.known = m.word
}

func (m *filterModel) saysLeaving(now time.Time, w word, omitted bool) {
	wasReady := m.word != nil
	if omitted && !wasReady && m.allOver() {
		return // it has left long ago
	}
	hadListed := !omitted || wasReady && m.word.source == w.source
	if m.known != nil {
		w.started = m.known.started
	}
	m.word, m.known = nil, nil
	added := &reportedDeparture{word: w, at: now}
	for _, d := range m.departures { // the same departure, if no list may lag behind the time before it
		if hadListed && !d.over && d.source != w.source && d.started <= w.started && d.at.Sub(m.readySince) >= maxListAge {
			d.over = true
			if d.at.Before(added.at) {
				added.at = d.at
			}
		}
	}
	for _, d := range m.departures {
		if !d.over && d.source == w.source && d.started == w.started && !wasReady {
			return // the same departure once more
		}
	}
	m.departures = append(m.departures, added)
}

func (m *filterModel) isOutdated(d *reportedDeparture, at time.Time) bool {
	return at.Sub(d.at) >= maxListAge && at.Sub(m.aliveSince) >= maxListAge
}

func (m *filterModel) housekeep() {
	for _, d := range m.departures {
		d.over = d.over || m.isOutdated(d, m.lastAlive)
	}
	if m.isReady() && m.known == nil {
		m.becomeReady(m.lastAlive, false)
	}
}

// filterRun plays steps on a MemberFilter, as a node does, and on the model.
type filterRun struct {
	filter   MemberFilter
	model    filterModel
	now      time.Time
	source   int
	revision int64
	started  int64
	ready    bool // what the node takes s for
}

func newFilterRun() *filterRun {
	r := &filterRun{now: began, source: 1, revision: 40, started: 7}
	r.play(wholeWith)
	return r
}

// apply passes a list on; with s in it unless phase is empty.
func (r *filterRun) apply(complete bool, revision int64, phase catalog.Phase, started int64) {
	u := catalog.Update{Revision: revision, Complete: complete}
	if phase != "" {
		u.Members = append(u.Members, catalog.Member{ID: "s", HostPort: "h:1", Phase: phase, UpSinceMS: started})
	}
	if complete {
		u.Members = append(u.Members, catalog.Member{ID: "o", HostPort: "h:2", Phase: catalog.Ready})
		r.ready = false
	}
	for _, m := range r.filter.Apply(r.now, fmt.Sprint(r.source), u) {
		if m.ID == "s" {
			r.ready = m.Phase == catalog.Ready
		}
	}
	r.filter.Alive(r.now, fmt.Sprint(r.source))
	first := r.model.source == 0
	r.model.heard(r.now, r.source)
	if w := (word{r.source, revision, started}); phase == catalog.Ready {
		r.model.saysReady(r.now, w, first)
	} else {
		r.model.saysLeaving(r.now, w, phase == "")
	}
}

func (r *filterRun) play(s step) {
	r.now = r.now.Add(100 * ms)
	r.revision++
	switch s {
	case wholeWith:
		r.apply(true, r.revision, catalog.Ready, r.started)
	case wholeWithout:
		r.apply(true, r.revision, "", r.started)
	case changeReady:
		r.apply(false, r.revision, catalog.Ready, r.started)
	case changeLeaves:
		r.apply(false, r.revision, catalog.Terminating, r.started)
	case olderList:
		r.apply(true, r.revision-10, catalog.Ready, r.started)
	case newStart:
		r.started++
		r.apply(false, r.revision, catalog.Ready, r.started)
	case emptyLine:
		r.now = r.now.Add(2 * time.Second)
		r.filter.Alive(r.now, fmt.Sprint(r.source))
		r.model.heard(r.now, r.source)
	case silence:
		r.now = r.now.Add(7 * time.Second)
	case sourceWith:
		r.source, r.revision = r.source+1, r.revision+30
		r.apply(true, r.revision, catalog.Ready, r.started)
	case sourceOld:
		r.source, r.revision = r.source+1, r.revision+30
		r.apply(true, r.revision, catalog.Ready, r.started-1)
	case sourceWithout:
		r.source, r.revision = r.source+1, r.revision-30
		r.apply(true, r.revision, "", r.started)
	}
	for _, m := range r.filter.Reinstated(r.model.lastAlive) {
		r.ready = r.ready || m.ID == "s"
	}
	r.model.housekeep()
}

func (r *filterRun) check(t interface{ Fatalf(string, ...any) }, played []step) {
	if want := r.model.isReady(); r.ready != want {
		var names []string
		for _, s := range played {
			names = append(names, string(s))
		}
		t.Fatalf("ready: have %v, want %v, after: %s", r.ready, want, strings.Join(names, "; "))
	}
}

// A searcher that a later whole list leaves out must not be made ready again by an entry that was rejected before.
func TestOmittedSearcherIsNotReinstated(t *testing.T) {
	for name, voids := range map[string]step{"omitted": wholeWithout, "drains": changeLeaves, "a third address omits it": sourceWithout} {
		r := newFilterRun()
		for _, s := range []step{changeLeaves, sourceWith, voids, emptyLine, emptyLine, emptyLine, emptyLine, emptyLine} {
			r.play(s)
			if r.ready {
				t.Errorf("%s: ready after: %s", name, s)
			}
		}
	}
}

// A searcher that truly returns is ready: at once if its own source says so, otherwise once the list can't be outdated.
func TestReturnedSearcherIsReady(t *testing.T) {
	upheld := []step{emptyLine, emptyLine, emptyLine, emptyLine}
	for name, played := range map[string][]step{
		"its source says so":          {changeLeaves, changeReady},
		"its source lists it":         {wholeWithout, wholeWith},
		"another source reports both": {changeLeaves, sourceWith, changeLeaves, changeReady},
		"another source omits it":     {changeLeaves, sourceWith, wholeWithout, wholeWith},
		"a new start":                 {changeLeaves, sourceWithout, newStart},
		"another source upholds it":   append([]step{changeLeaves, sourceWith}, upheld...),
		"not listed there at first":   append([]step{changeLeaves, sourceWithout, wholeWith}, upheld...),
		"upheld after a silence":      append([]step{changeLeaves, sourceWith, silence}, upheld...),
	} {
		r := newFilterRun()
		for _, s := range played {
			r.play(s)
		}
		if !r.ready {
			t.Errorf("%s: not ready", name)
		}
	}
}

// The filter follows the plain rule in all orders of up to four steps.
func TestFilterAgainstModelInAllOrders(t *testing.T) {
	const longest = 4
	var extend func(played []step)
	extend = func(played []step) {
		r := newFilterRun()
		for i, s := range played {
			r.play(s)
			r.check(t, played[:i+1])
		}
		if len(played) < longest {
			for _, s := range steps {
				extend(append(played[:len(played):len(played)], s))
			}
		}
	}
	extend(nil)
}

// The filter follows the plain rule in longer orders.
func TestFilterAgainstModel(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		r := newFilterRun()
		played := rapid.SliceOfN(rapid.SampledFrom(steps), 1, 40).Draw(t, "steps")
		for i, s := range played {
			r.play(s)
			r.check(t, played[:i+1])
		}
	})
}

// While discovery keeps falling silent, the searchers that left are bounded, and those that left last are kept.
func TestLeavingSearchersAreBounded(t *testing.T) {
	var filter MemberFilter
	now := began
	for i := range maxLeaving + 10 {
		now = now.Add(silenceTimeout)
		m := catalog.Member{ID: fmt.Sprint("s", i), HostPort: "h:1", Phase: catalog.Terminating}
		filter.Apply(now, "a", catalog.Update{Revision: int64(i), Members: []catalog.Member{m}})
		filter.Alive(now, "a")
		if got := filter.Reinstated(now); len(got) > 0 {
			t.Fatalf("reinstated %v", got)
		}
	}
	if len(filter.leaving) != maxLeaving || filter.Forgotten != 10 || filter.leaving["s9"] != nil || filter.leaving["s10"] == nil {
		t.Errorf("%d are kept, %d forgotten", len(filter.leaving), filter.Forgotten)
	}
}
