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
	name         string // unique: a fake that starts anew gets another name
	revision     int64
	members      map[string]catalog.Member
	changed      map[string]int64        // the revision of each member's last change
	requests     map[RequestID]time.Time // open ones, by the time of their start
	follower     *Follower
	readRevision int64 // the last revision that the gatherer has read here
	unread       bool  // the gatherer has read nothing here yet
	omitsLeaving bool  // its whole lists leave out searchers that leave
	wholeNext    bool  // the next update of an open watch is the whole list
}

func (d *fakeDiscovery) update(m catalog.Member) {
	d.revision++
	d.members[m.ID], d.changed[m.ID] = m, d.revision
}

// simulation runs one gatherer in virtual time, with its real core, MemberFilter and Followers. Its aggregator keeps
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

func (sim *simulation) Turn(_ time.Duration, events []eiderwinch.Event) (out []eiderwinch.Action) {
	for _, e := range events {
		if q, ok := e.(eiderwinch.Query); ok {
			for i, p := range q.Parts {
				out = append(out, eiderwinch.Send{Part: p.ID, Replica: sim.ids[(int(q.ID)+i)%len(sim.ids)]})
			}
		}
	}
	return out
}

func (sim *simulation) Call(now time.Time, attempts []*gatherer.Attempt) {
	for _, a := range attempts {
		sim.calls = append(sim.calls, pendingCall{a, now.Add(time.Duration(len(sim.calls)*37%250) * ms)})
	}
}

func (*simulation) Abandon(*gatherer.Attempt) {}
func (*simulation) CloseIdle(string)          {}

// DataUnread implements gatherer.Searchers.
func (*simulation) DataUnread(*gatherer.Attempt) bool { return false }

// DataBehind implements gatherer.Searchers.
func (*simulation) DataBehind(*gatherer.Attempt) bool { return false }
func (*simulation) Reply(gatherer.Reply)              {}
func (*simulation) Disconnected() bool                { return false }
func (*simulation) MayHold(int) bool                  { return true }
func (*simulation) Hold(int)                          {}

func (sim *simulation) apply(kind eiderwinch.ListKind, from int, u catalog.Update) {
	states := map[catalog.Phase]eiderwinch.State{
		catalog.Ready: eiderwinch.Ready, catalog.Terminating: eiderwinch.Draining, catalog.Gone: eiderwinch.Removed,
	}
	var list []gatherer.Member
	for _, m := range sim.memberFilter.Apply(sim.now, sim.discoveries[from].name, u) {
		list = append(list, gatherer.Member{ID: m.ID, State: states[m.Phase], Started: m.Started()})
	}
	sim.core.UpdateMembers(sim.now, kind, list)
}

// start starts the gatherer process with a known list.
func (sim *simulation) start(known catalog.Update) {
	sim.core = gatherer.New(gatherer.Settings{Tick: 5 * ms, Module: eiderwinch.Settings{
		Shards: 1, Classes: []eiderwinch.Class{{Name: "c", Aim: time.Second, Deadline: time.Second, WholeShare: 1, MinShare: 1}},
	}}, sim, sim, stats.New(), slog.New(slog.DiscardHandler), sim.now)
	sim.memberFilter, sim.calls, sim.moving, sim.silentSince = MemberFilter{}, nil, false, time.Time{}
	sim.follow(sim.current, known.Revision, false)
	sim.apply(eiderwinch.Stale, sim.current, known)
}

func (sim *simulation) follow(k int, revision int64, unread bool) {
	d := sim.discoveries[k]
	d.follower, d.requests, d.readRevision, d.unread = New(sim.settings, sim.now), make(map[RequestID]time.Time), revision, unread
}

// list returns the complete list, or the changes since a revision.
func (d *fakeDiscovery) list(from int64, complete bool) catalog.Update {
	u := catalog.Update{Revision: d.revision, Complete: complete}
	for id, m := range d.members {
		omitted := complete && (m.Phase == catalog.Gone || d.omitsLeaving && m.Phase != catalog.Ready)
		if (complete || d.changed[id] > from) && !omitted {
			u.Members = append(u.Members, m)
		}
	}
	return u
}

// stepDiscovery makes one discovery answer its open requests, and its Follower send the requests that are due.
func (sim *simulation) stepDiscovery(k int, heartbeat bool) {
	d := sim.discoveries[k]
	for id, since := range d.requests {
		if d.follower.index(id) < 0 {
			delete(d.requests, id)
			continue
		}
		watching := !d.follower.requests[d.follower.index(id)].lastReceived.IsZero()
		if sim.silent || sim.now.Sub(since) < ms || watching && !heartbeat && d.revision <= d.readRevision {
			continue
		}
		news := d.revision > d.readRevision
		complete := d.unread || d.readRevision == 0 || d.wholeNext && news
		d.wholeNext = d.wholeNext && (d.unread || !news)
		d.unread = false
		if u := d.list(d.readRevision, complete); complete {
			sim.apply(eiderwinch.Whole, k, u)
		} else if len(u.Members) > 0 {
			sim.apply(eiderwinch.Changes, k, u)
		}
		d.readRevision = d.revision
		for _, other := range d.follower.RecordUpdate(id, sim.now) {
			delete(d.requests, other)
		}
		sim.silentSince, sim.lastReceived = time.Time{}, sim.now
		sim.memberFilter.Alive(sim.now, d.name)
		if k != sim.current {
			sim.current, sim.moving = k, false
		}
	}
	if !sim.now.Before(d.follower.Due()) {
		id, drop := d.follower.Run(sim.now)
		for _, other := range drop {
			delete(d.requests, other)
		}
		if id != 0 {
			d.requests[id] = sim.now
		}
	}
}

// step advances by a millisecond: discovery sends, the gatherer's loop reads that, then sends parts.
func (sim *simulation) step() {
	sim.now = sim.now.Add(ms)
	heartbeat := sim.now.Sub(sim.lastHeartbeat) >= 2*time.Second
	if heartbeat {
		sim.lastHeartbeat = sim.now
	}
	sim.delayed = slices.DeleteFunc(sim.delayed, func(d delayedUpdate) bool {
		due := !sim.silent && !sim.now.Before(d.at) // while it is silent it learns nothing
		if due {
			d.discovery.update(d.member)
		}
		return due
	})
	sim.stepDiscovery(sim.current, heartbeat)
	if sim.moving {
		sim.stepDiscovery(1-sim.current, heartbeat)
	}
	if sim.now.UnixMilli()%250 == 0 {
		var reinstated catalog.Update
		reinstated.Members = sim.memberFilter.Reinstated(sim.lastReceived)
		for _, m := range reinstated.Members {
			sim.core.UpdateMembers(sim.now, eiderwinch.Changes, []gatherer.Member{{ID: m.ID, State: eiderwinch.Ready, Started: m.Started()}})
		}
	}
	if sim.now.UnixMilli()%20 == 0 {
		_, _ = sim.core.Take(sim.now, gatherer.QueryRequest{Trace: sim.now.String(), Class: "c", Parts: []gatherer.PartRequest{{Weight: 1}}}, sim)
	}
	sim.core.Run(sim.now)
	waiting := sim.calls[:0]
	for _, c := range sim.calls {
		switch {
		case sim.now.Before(c.at):
			waiting = append(waiting, c)
		case !sim.core.MaySend(sim.now, c.attempt):
			sim.core.NotSent(sim.now, c.attempt)
		default:
			sim.sent++
			if notified, ok := sim.notified[c.attempt.Searcher]; ok && sim.now.Sub(notified) > grace && !sim.unlearned(c.attempt.Searcher) {
				sim.t.Fatalf("a part was sent to %s %v after the gatherer was notified that it leaves", c.attempt.Searcher, sim.now.Sub(notified))
			}
			sim.core.Result(sim.now, c.attempt, eiderwinch.OK, 1, "v")
		}
	}
	sim.calls = waiting
}

// unlearned reports whether discovery has not learned that a searcher leaves before it fell silent.
func (sim *simulation) unlearned(id string) bool {
	return sim.silent && slices.ContainsFunc(sim.delayed, func(d delayedUpdate) bool { return d.member.ID == id })
}

func (sim *simulation) run(d time.Duration) {
	for end := sim.now.Add(d); sim.now.Before(end); {
		sim.step()
	}
}

// drain makes a searcher leave. notified is the earliest time at which the gatherer counts as notified of that.
func (sim *simulation) drain(id string, notified time.Time) {
	if sim.silent {
		sim.pendingDrains = append(sim.pendingDrains, id)
		return
	}
	m := sim.members[id]
	m.Phase = catalog.Terminating
	sim.members[id], sim.left[id] = m, sim.now
	for k, d := range sim.discoveries {
		if k == sim.current || sim.moving {
			d.update(m)
		}
	}
	if !sim.silentSince.IsZero() && sim.silentSince.Add(silentNotifyDelay).After(notified) {
		notified = sim.silentSince.Add(silentNotifyDelay)
	}
	if _, ok := sim.notified[id]; !ok {
		sim.notified[id] = notified
	}
}

// Under any order of lists, resets, lost watches, silences, moves to another discovery address, starts from an old list
// and stalls, no part is sent to a searcher later than 500 ms after the gatherer counts as notified that the
// searcher leaves.
func TestNothingIsSentToLeavingSearcher(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		sim := &simulation{t: t, now: began, lastHeartbeat: began, notified: make(map[string]time.Time), members: make(map[string]catalog.Member), left: make(map[string]time.Time), settings: Settings{
			Pushed: true, DrainGrace: grace, Gatherers: rapid.SampledFrom([]int{1, 350}).Draw(t, "gatherers"), Seed: rapid.Uint64().Draw(t, "seed"),
		}}
		for k := range sim.discoveries {
			sim.discoveries[k] = &fakeDiscovery{name: fmt.Sprint(k), members: make(map[string]catalog.Member), changed: make(map[string]int64)}
		}
		join := func() string {
			id := fmt.Sprint("s", len(sim.ids))
			sim.ids = append(sim.ids, id)
			sim.members[id] = catalog.Member{ID: id, HostPort: "h:1", Phase: catalog.Ready, UpSinceMS: sim.now.UnixMilli()}
			for _, d := range sim.discoveries {
				d.update(sim.members[id])
			}
			return id
		}
		join()
		join()
		sim.start(sim.discoveries[0].list(0, true))
		sim.run(50 * ms)
		for range rapid.IntRange(1, 5).Draw(t, "events") {
			id := join()
			sim.run(time.Duration(rapid.IntRange(0, 400).Draw(t, "before")) * ms)
			notified := sim.now
			switch rapid.SampledFrom([]string{"no fault", "reset", "lost watch", "silence", "move", "restart", "stall", "older list"}).Draw(t, "event") {
			case "reset":
				d := sim.discoveries[sim.current]
				for requestID := range d.requests {
					d.follower.RequestEnded(requestID, sim.now)
				}
				clear(d.requests)
			case "lost watch": // the gatherer counts as notified of what an open watch misses 6 s later
				sim.run(300 * ms) // previous updates are received
				clear(sim.discoveries[sim.current].requests)
				sim.silentSince = sim.now
			case "silence":
				sim.run(300 * ms) // previous updates are received
				sim.silent = true
				sim.run(time.Duration(rapid.IntRange(2600, 5000).Draw(t, "ms")) * ms)
				sim.silent = false
				notified = sim.now
				for _, d := range sim.delayed { // what it gets at its return counts at once
					if known, ok := sim.notified[d.member.ID]; ok && d.at.Before(sim.now) && known.Before(sim.now) {
						sim.notified[d.member.ID] = sim.now
					}
				}
			case "move": // the gatherer counts as notified of what the new address knows 4 s later; its revisions are its own
				other := sim.discoveries[1-sim.current]
				other.name += "'"
				other.members, other.changed = make(map[string]catalog.Member), make(map[string]int64)
				other.omitsLeaving = rapid.Bool().Draw(t, "omits")
				other.wholeNext = rapid.Bool().Draw(t, "whole list next")
				lag := time.Duration(rapid.IntRange(0, 5500).Draw(t, "lag")) * ms // how far the new address lags behind
				sim.run(300 * ms)                                                 // previous updates are received: they would be missed if an address that lags this far were left at once
				notified = sim.now
				for _, id := range sim.ids {
					m := sim.members[id]
					if left, ok := sim.left[id]; ok && sim.now.Sub(left) < lag {
						sim.delayed = append(sim.delayed, delayedUpdate{left.Add(lag), other, m})
						m.Phase = catalog.Ready
					}
					other.update(m)
				}
				sim.follow(1-sim.current, 0, true)
				sim.moving = true
				notified = notified.Add(4 * time.Second)
			case "restart":
				known := sim.discoveries[sim.current].list(0, true)
				sim.drain(id, notified)
				for _, d := range sim.delayed { // the new process knows only what this address reports
					sim.notified[d.member.ID] = d.at
				}
				sim.start(known)
			case "stall": // the event loop is blocked, then reads before it sends
				sim.drain(id, notified)
				sim.now = sim.now.Add(time.Duration(rapid.IntRange(1, 3000).Draw(t, "ms")) * ms)
			case "older list":
				old := sim.discoveries[sim.current].list(0, true)
				sim.drain(id, notified)
				sim.run(300 * ms)
				sim.apply(eiderwinch.Whole, sim.current, old)
			}
			sim.drain(id, notified)
			sim.run(time.Duration(rapid.IntRange(0, 3000).Draw(t, "after")) * ms)
		}
		if sim.sent == 0 {
			t.Fatal("nothing was sent: the test proves nothing")
		}
	})
}
