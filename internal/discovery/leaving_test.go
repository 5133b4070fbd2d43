package discovery

import (
	"fmt"
	"log/slog"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"eiderwinch"
	"eiderwinch/internal/format/catalog"
	"eiderwinch/internal/gatherer"
	"eiderwinch/internal/stats"
)

// fakeDiscovery is a fake of discovery at one address, with the list and the revisions that it knows.
type fakeDiscovery struct {
	name         string // unique: a fake that is created again gets another one
	revision     int64
	members      map[string]catalog.Member
	changed      map[string]int64        // the revision of each member's last change
	requests     map[RequestID]time.Time // open ones, by the time of their start
	follower     *Follower
	readRevision int64 // the last revision that the gatherer has read here
	unread       bool  // the gatherer has read nothing here yet
}

func (a *fakeDiscovery) update(m catalog.Member) {
	a.revision++
	a.members[m.ID], a.changed[m.ID] = m, a.revision
}

// simulation is one gatherer in virtual time, with its real core, MemberFilter and Followers. Its decision module keeps
// sending parts to all searchers it has ever known. Each call waits up to 250 ms for a connection.
type simulation struct {
	t             *rapid.T
	settings      Settings
	now           time.Time
	core          *gatherer.Core
	memberFilter  MemberFilter
	discoveries   [2]*fakeDiscovery
	current       int  // the index of the discovery in use
	moving        bool // the list is requested from the other discovery, too
	silent        bool
	pendingDrains []string             // searchers that discovery reports as leaving once it is no longer silent
	notified      map[string]time.Time // since when the gatherer counts as notified that a searcher leaves
	left          map[string]time.Time // when searchers began to leave
	members       map[string]catalog.Member
	ids           []string
	calls         []pendingCall
	silentSince   time.Time       // when the watch in use fell silent; zero if it did not, or if another has received something
	lastReceived  time.Time       // when something was last received from the discovery in use
	delayed       []delayedUpdate // what a discovery learns later
	sent          int
	lastHeartbeat time.Time
}

type delayedUpdate struct {
	at        time.Time
	discovery *fakeDiscovery
	member    catalog.Member
}

type pendingCall struct {
	attempt *gatherer.Attempt
	at      time.Time // when a connection is available
}

func (w *simulation) Turn(_ time.Duration, events []eiderwinch.Event) (out []eiderwinch.Action) {
	for _, e := range events {
		if q, ok := e.(eiderwinch.Query); ok {
			for i, p := range q.Parts {
				out = append(out, eiderwinch.Send{Part: p.ID, Replica: w.ids[(int(q.ID)+i)%len(w.ids)]})
			}
		}
	}
	return out
}

func (w *simulation) Call(now time.Time, attempts []*gatherer.Attempt) {
	for _, a := range attempts {
		w.calls = append(w.calls, pendingCall{a, now.Add(time.Duration(len(w.calls)*37%250) * ms)})
	}
}

func (*simulation) Abandon(*gatherer.Attempt) {}
func (*simulation) CloseIdle(string)          {}
func (*simulation) Reply(gatherer.Reply)      {}
func (*simulation) Disconnected() bool        { return false }

func (w *simulation) apply(kind eiderwinch.ListKind, from int, u catalog.Update) {
	states := map[catalog.Phase]eiderwinch.State{
		catalog.Ready: eiderwinch.Ready, catalog.Terminating: eiderwinch.Draining, catalog.Gone: eiderwinch.Removed,
	}
	var list []gatherer.Member
	for _, m := range w.memberFilter.Apply(w.now, w.discoveries[from].name, u) {
		list = append(list, gatherer.Member{ID: m.ID, State: states[m.Phase], Started: m.Started()})
	}
	w.core.UpdateMembers(w.now, kind, list)
}

// start starts the gatherer process with a known list.
func (w *simulation) start(known catalog.Update) {
	w.core = gatherer.New(gatherer.Settings{Tick: 5 * ms, Module: eiderwinch.Settings{
		Shards: 1, Classes: []eiderwinch.Class{{Name: "c", Aim: time.Second, Deadline: time.Second, WholeShare: 1, MinShare: 1}},
	}}, w, w, stats.New(), slog.New(slog.DiscardHandler), w.now)
	w.memberFilter, w.calls, w.moving, w.silentSince = MemberFilter{}, nil, false, time.Time{}
	w.follow(w.current, known.Revision, false)
	w.apply(eiderwinch.Stale, w.current, known)
}

func (w *simulation) follow(k int, revision int64, unread bool) {
	a := w.discoveries[k]
	a.follower, a.requests, a.readRevision, a.unread = New(w.settings, w.now), make(map[RequestID]time.Time), revision, unread
}

// list returns the complete list, or the changes since a revision.
func (a *fakeDiscovery) list(from int64, complete bool) catalog.Update {
	u := catalog.Update{Revision: a.revision, Complete: complete}
	for id, m := range a.members {
		if (complete || a.changed[id] > from) && !(complete && m.Phase == catalog.Gone) {
			u.Members = append(u.Members, m)
		}
	}
	return u
}

// stepDiscovery makes one discovery answer its open requests, and its Follower send the requests that are due.
func (w *simulation) stepDiscovery(k int, heartbeat bool) {
	a := w.discoveries[k]
	for id, since := range a.requests {
		if a.follower.index(id) < 0 {
			delete(a.requests, id)
			continue
		}
		watching := !a.follower.requests[a.follower.index(id)].lastReceived.IsZero()
		if w.silent || w.now.Sub(since) < ms || watching && !heartbeat && a.revision <= a.readRevision {
			continue
		}
		complete := a.unread || a.readRevision == 0
		a.unread = false
		if u := a.list(a.readRevision, complete); complete {
			w.apply(eiderwinch.Whole, k, u)
		} else if len(u.Members) > 0 {
			w.apply(eiderwinch.Changes, k, u)
		}
		a.readRevision = a.revision
		for _, other := range a.follower.RecordUpdate(id, w.now) {
			delete(a.requests, other)
		}
		w.silentSince, w.lastReceived = time.Time{}, w.now
		if k != w.current {
			w.current, w.moving = k, false
		}
	}
	if !w.now.Before(a.follower.Due()) {
		id, drop := a.follower.Run(w.now)
		for _, other := range drop {
			delete(a.requests, other)
		}
		if id != 0 {
			a.requests[id] = w.now
		}
	}
}

// step advances by a millisecond: discovery sends, the gatherer's loop reads that, then sends parts.
func (w *simulation) step() {
	w.now = w.now.Add(ms)
	heartbeat := w.now.Sub(w.lastHeartbeat) >= 2*time.Second
	if heartbeat {
		w.lastHeartbeat = w.now
	}
	w.delayed = slices.DeleteFunc(w.delayed, func(d delayedUpdate) bool {
		due := !w.now.Before(d.at)
		if due {
			d.discovery.update(d.member)
		}
		return due
	})
	w.stepDiscovery(w.current, heartbeat)
	if w.moving {
		w.stepDiscovery(1-w.current, heartbeat)
	}
	if w.now.UnixMilli()%250 == 0 {
		var reinstated catalog.Update
		reinstated.Members = w.memberFilter.Reinstated(w.lastReceived)
		for _, m := range reinstated.Members {
			w.core.UpdateMembers(w.now, eiderwinch.Changes, []gatherer.Member{{ID: m.ID, State: eiderwinch.Ready, Started: m.Started()}})
		}
	}
	if w.now.UnixMilli()%20 == 0 {
		_, _ = w.core.Take(w.now, gatherer.QueryRequest{Trace: w.now.String(), Class: "c", Parts: []gatherer.PartRequest{{Weight: 1}}}, w)
	}
	w.core.Run(w.now)
	waiting := w.calls[:0]
	for _, c := range w.calls {
		switch {
		case w.now.Before(c.at):
			waiting = append(waiting, c)
		case !w.core.MaySend(w.now, c.attempt):
			w.core.NotSent(w.now, c.attempt)
		default:
			w.sent++
			if notified, ok := w.notified[c.attempt.Searcher]; ok && w.now.Sub(notified) > grace {
				w.t.Fatalf("a part was sent to %s %v after the gatherer was notified that it leaves", c.attempt.Searcher, w.now.Sub(notified))
			}
			w.core.Result(w.now, c.attempt, eiderwinch.OK, 1, "v")
		}
	}
	w.calls = waiting
}

func (w *simulation) run(d time.Duration) {
	for end := w.now.Add(d); w.now.Before(end); {
		w.step()
	}
}

// drain makes a searcher leave. notified is the earliest time at which the gatherer counts as notified of that.
func (w *simulation) drain(id string, notified time.Time) {
	if w.silent {
		w.pendingDrains = append(w.pendingDrains, id)
		return
	}
	m := w.members[id]
	m.Phase = catalog.Terminating
	w.members[id], w.left[id] = m, w.now
	for k, a := range w.discoveries {
		if k == w.current || w.moving {
			a.update(m)
		}
	}
	if !w.silentSince.IsZero() && w.silentSince.Add(silentNotifyDelay).After(notified) {
		notified = w.silentSince.Add(silentNotifyDelay)
	}
	if _, ok := w.notified[id]; !ok {
		w.notified[id] = notified
	}
}

// Under any order of lists, resets, silences, moves to another discovery address with SIGHUP, starts from an old
// list and stalls, no part is sent to a searcher later than 500 ms after the gatherer counts as notified that the
// searcher leaves.
func TestNothingIsSentToLeavingSearcher(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := &simulation{t: t, now: began, lastHeartbeat: began, notified: make(map[string]time.Time), members: make(map[string]catalog.Member), left: make(map[string]time.Time), settings: Settings{
			Pushed: true, DrainGrace: grace, Gatherers: rapid.SampledFrom([]int{1, 350}).Draw(t, "gatherers"), Seed: rapid.Uint64().Draw(t, "seed"),
		}}
		for k := range w.discoveries {
			w.discoveries[k] = &fakeDiscovery{name: fmt.Sprint(k), members: make(map[string]catalog.Member), changed: make(map[string]int64)}
		}
		join := func() string {
			id := fmt.Sprint("s", len(w.ids))
			w.ids = append(w.ids, id)
			w.members[id] = catalog.Member{ID: id, HostPort: "h:1", Phase: catalog.Ready, UpSinceMS: w.now.UnixMilli()}
			for _, a := range w.discoveries {
				a.update(w.members[id])
			}
			return id
		}
		join()
		join()
		w.start(w.discoveries[0].list(0, true))
		w.run(50 * ms)
		for range rapid.IntRange(1, 5).Draw(t, "events") {
			id := join()
			w.run(time.Duration(rapid.IntRange(0, 400).Draw(t, "before")) * ms)
			notified := w.now
			switch rapid.SampledFrom([]string{"news", "reset", "deaf", "silence", "move", "restart", "stall", "older list"}).Draw(t, "event") {
			case "reset":
				a := w.discoveries[w.current]
				for requestID := range a.requests {
					a.follower.RequestEnded(requestID, w.now)
				}
				clear(a.requests)
			case "deaf": // the gatherer counts as notified of what an open watch misses 6 s later
				w.run(300 * ms) // previous updates are received
				clear(w.discoveries[w.current].requests)
				w.silentSince = w.now
			case "silence":
				w.run(300 * ms) // previous updates are received
				w.silent = true
				w.run(time.Duration(rapid.IntRange(2600, 5000).Draw(t, "ms")) * ms)
				w.silent = false
				notified = w.now
			case "move": // the gatherer counts as notified of what the new address knows 4 s later; its revisions are its own
				other := w.discoveries[1-w.current]
				other.name += "'"
				other.members, other.changed = make(map[string]catalog.Member), make(map[string]int64)
				lag := time.Duration(rapid.IntRange(0, 5500).Draw(t, "lag")) * ms // how far the new address lags behind
				w.run(300 * ms)                                                   // previous updates are received: they would be missed if an address that lags this far were left at once
				notified = w.now
				for _, id := range w.ids {
					m := w.members[id]
					if left, ok := w.left[id]; ok && w.now.Sub(left) < lag {
						w.delayed = append(w.delayed, delayedUpdate{left.Add(lag), other, m})
						m.Phase = catalog.Ready
					}
					other.update(m)
				}
				w.follow(1-w.current, 0, true)
				w.moving = true
				notified = notified.Add(4 * time.Second)
			case "restart":
				known := w.discoveries[w.current].list(0, true)
				w.drain(id, notified)
				for _, d := range w.delayed { // the new process knows only what this address reports
					w.notified[d.member.ID] = d.at
				}
				w.start(known)
			case "stall": // the event loop is blocked, then reads before it sends
				w.drain(id, notified)
				w.now = w.now.Add(time.Duration(rapid.IntRange(1, 3000).Draw(t, "ms")) * ms)
			case "older list":
				old := w.discoveries[w.current].list(0, true)
				w.drain(id, notified)
				w.run(300 * ms)
				w.apply(eiderwinch.Whole, w.current, old)
			}
			w.drain(id, notified)
			w.run(time.Duration(rapid.IntRange(0, 3000).Draw(t, "after")) * ms)
		}
		if w.sent == 0 {
			t.Fatal("nothing was sent: the test proves nothing")
		}
	})
}
