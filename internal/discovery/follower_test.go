package discovery

import (
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"eiderwinch/internal/format/catalog"
	"eiderwinch/internal/trial/fixedseed"
)

func TestMain(m *testing.M) { fixedseed.Main(m) }

const (
	ms    = time.Millisecond
	grace = 500 * ms
)

var began = time.Unix(1000, 0)

// fakeAgent is a fake of discovery that drives a Follower in virtual time. A request that is sent while it is
// silent is answered once it is no longer silent, or never if losesRequests is set.
type fakeAgent struct {
	follower      *Follower
	now           time.Time
	silent        bool // sends nothing
	refuses       bool // ends each request at once
	losesRequests bool
	delay         time.Duration           // of the dial and the answer
	open          map[RequestID]time.Time // requests, by the time of their start
	requested     []time.Time
	lastUpdate    time.Time // when the Follower last received anything
	lastHeartbeat time.Time
}

func newFakeAgent(gatherers int, seed uint64) *fakeAgent {
	return &fakeAgent{
		follower: New(Settings{Pushed: true, DrainGrace: grace, Gatherers: gatherers, Seed: seed}, began),
		now:      began, lastHeartbeat: began, open: make(map[RequestID]time.Time), delay: ms,
	}
}

// step advances by a millisecond.
func (a *fakeAgent) step() {
	a.now = a.now.Add(ms)
	heartbeat := a.now.Sub(a.lastHeartbeat) >= 2*time.Second
	if heartbeat {
		a.lastHeartbeat = a.now
	}
	for id, since := range a.open {
		switch i := a.follower.index(id); {
		case i < 0:
			delete(a.open, id)
		case a.silent:
		case a.follower.requests[i].lastReceived.IsZero() && a.now.Sub(since) >= a.delay, heartbeat && !a.follower.requests[i].lastReceived.IsZero():
			a.lastUpdate = a.now
			a.drop(a.follower.RecordUpdate(id, a.now))
		}
	}
	if a.now.Before(a.follower.Due()) {
		return
	}
	id, drop := a.follower.Run(a.now)
	a.drop(drop)
	if !a.follower.Due().After(a.now) {
		panic("Run is due again at once: the event loop would spin")
	}
	if id == 0 {
		return
	}
	a.requested = append(a.requested, a.now)
	switch {
	case a.refuses:
		a.follower.RequestEnded(id, a.now)
	case a.silent && a.losesRequests:
	default:
		a.open[id] = a.now
	}
}

func (a *fakeAgent) drop(ids []RequestID) {
	for _, id := range ids {
		delete(a.open, id)
	}
}

func (a *fakeAgent) run(d time.Duration) {
	for end := a.now.Add(d); a.now.Before(end); {
		a.step()
	}
}

// The gatherer counts as notified of an update from the moment the agent has it, whether a watch is open or
// not. Whatever ended the watch, the update must be received long before 500 ms have passed, in a fleet of any
// size: otherwise parts are sent to a searcher that leaves.
func TestUpdateArrivesWithinGrace(t *testing.T) {
	for _, gatherers := range []int{1, 80, 300, 350, 1024} {
		worst := make(map[string]time.Duration)
		for seed := range uint64(20) {
			outage := func(a *fakeAgent, fault *bool) { // all open requests are reset, and the agent has the fault for a while
				a.run(3 * time.Second)
				a.reset()
				*fault = true
				a.run(time.Duration(2900+37*seed) * ms)
				*fault = false
			}
			for name, c := range map[string]struct {
				fault   func(*fakeAgent)
				maxTime time.Duration // from when the gatherer counts as notified
			}{
				"a new process": {func(a *fakeAgent) {}, 5 * ms},
				"a reset": {func(a *fakeAgent) {
					a.run(3 * time.Second)
					a.reset()
				}, 5 * ms},
				"a reset at once after another": {func(a *fakeAgent) {
					a.run(3 * time.Second)
					a.reset()
					a.run(5 * ms)
					a.reset()
				}, maxAgentInterval + 5*ms},
				"an agent that returns and answers the waiting requests": {func(a *fakeAgent) { outage(a, &a.silent) }, maxAgentInterval + 5*ms},
				"an agent that returns and has lost the waiting requests": {func(a *fakeAgent) {
					a.losesRequests = true
					outage(a, &a.silent)
				}, maxAgentInterval + 5*ms},
				"an agent that refuses requests": {func(a *fakeAgent) { outage(a, &a.refuses) }, maxAgentInterval + 5*ms},
				"an agent that answers after 400 ms": {func(a *fakeAgent) {
					a.delay = 400 * ms
					a.run(3 * time.Second)
					a.reset()
				}, 410 * ms},
				"a watch that falls silent": {func(a *fakeAgent) {
					a.run(3 * time.Second)
					clear(a.open) // the Follower receives nothing more, and no error either
				}, silenceTimeout + 5*ms},
			} {
				a := newFakeAgent(gatherers, seed)
				c.fault(a)
				notified := a.now
				for !a.lastUpdate.After(notified) && a.now.Sub(notified) < 20*time.Second {
					a.step()
				}
				took := a.now.Sub(notified)
				worst[name] = max(worst[name], took)
				if took > c.maxTime {
					t.Errorf("%d gatherers, seed %d, %s: update received after %v, want %v", gatherers, seed, name, took, c.maxTime)
				}
			}
		}
		t.Logf("%d gatherers: %v", gatherers, worst)
	}
}

// reset ends all open requests.
func (a *fakeAgent) reset() {
	for id := range a.open {
		a.follower.RequestEnded(id, a.now)
	}
	clear(a.open)
}

// Several requests may be alive, each with its own time of the last data: Due uses the latest. With an
// earlier one Run would be due again at once, and the event loop would spin.
func TestDueWithTwoLiveWatches(t *testing.T) {
	f := New(Settings{Pushed: true, DrainGrace: grace, Seed: 1}, began)
	a, _ := f.Run(began)
	b, _ := f.Run(f.Due())
	if b == 0 {
		t.Fatal("no second request")
	}
	f.MarkAlive(b, began.Add(300*ms))
	f.MarkAlive(a, began.Add(400*ms))
	if due, want := f.Due(), began.Add(400*ms+silenceTimeout); !due.Equal(want) {
		t.Errorf("due after %v, want %v", due.Sub(began), want.Sub(began))
	}
}

// An agent that is unavailable for a minute receives 5 to 11 requests a second, of which only a few are open at
// once.
func TestRequestsAreBounded(t *testing.T) {
	for _, refuses := range []bool{false, true} {
		a := newFakeAgent(350, 1)
		a.silent, a.refuses = true, refuses
		maxOpen := 0
		for a.now.Sub(began) < time.Minute {
			a.step()
			maxOpen = max(maxOpen, len(a.follower.requests))
		}
		if n := len(a.requested); n > 60*11 || n < 60*5 || maxOpen > maxOpenRequests {
			t.Errorf("%d requests in a minute, %d open at once", n, maxOpen)
		}
		if slices.Equal(intervals(a.requested[:10]), intervals(firstRequests(2, refuses))) {
			t.Error("two gatherers send their requests at the same times")
		}
	}
}

// firstRequests returns the times of the first requests to an agent that is unavailable.
func firstRequests(seed uint64, refuses bool) []time.Time {
	a := newFakeAgent(350, seed)
	a.silent, a.refuses = true, refuses
	a.run(10 * time.Second)
	return a.requested[:10]
}

func intervals(at []time.Time) (out []time.Duration) {
	for i := 1; i < len(at); i++ {
		out = append(out, at[i].Sub(at[i-1]))
	}
	return out
}

// Requests cost a shared service work, and all gatherers lose it at the same time: their next requests are spread
// over the backoff windows, but all are sent before the gatherers count as notified of what they missed.
func TestRequestsToSharedServiceAreSpread(t *testing.T) {
	const gatherers, within = 300, 10 * time.Second
	var at []time.Duration
	for seed := range uint64(gatherers) {
		f := New(Settings{DrainGrace: grace, MaxTimeWithoutWatch: within, Gatherers: gatherers, Seed: seed}, began)
		id, _ := f.Run(began)
		f.RecordUpdate(id, began)
		f.RequestEnded(id, began)
		at = append(at, f.Due().Sub(began))
	}
	slices.Sort(at)
	if at[0] < 100*ms || at[gatherers-1] > within/2 || at[gatherers*3/4]-at[gatherers/4] < time.Second {
		t.Errorf("next requests after %v to %v, quartiles %v and %v", at[0], at[gatherers-1], at[gatherers/4], at[gatherers*3/4])
	}
	silent := New(Settings{DrainGrace: grace, MaxTimeWithoutWatch: within, Gatherers: gatherers, Seed: 1}, began)
	id, _ := silent.Run(began)
	silent.RecordUpdate(id, began)
	silent.Run(silent.Due())
	if due := silent.Due().Sub(began); due < silenceTimeout || due+queueTimeout > silentNotifyDelay {
		t.Errorf("the request after a silent watch is sent after %v", due)
	}
}

// Whatever the result of earlier calls, a gatherer counts as notified of a change 6 s after a shared service had it
// and could be reached. The next call must begin early enough to wait in the service's queue for all of queueTimeout.
func TestSharedServiceIsCalledBeforeNotificationCounts(t *testing.T) {
	for _, gatherers := range []int{1, 3, 300, 1024} {
		for name, c := range map[string]struct {
			fail func(f *Follower, id RequestID, now time.Time) (reached time.Time) // of a call that begins now
		}{
			"refused": {func(f *Follower, id RequestID, now time.Time) time.Time { f.RequestEnded(id, now); return now }},
			"failed after its time in the queue": {func(f *Follower, id RequestID, now time.Time) time.Time {
				f.RequestEnded(id, now.Add(queueTimeout))
				return now.Add(queueTimeout)
			}},
			"given up": {func(_ *Follower, _ RequestID, now time.Time) time.Time { return now }},
			"a watch that ends": {func(f *Follower, id RequestID, now time.Time) time.Time {
				f.RecordUpdate(id, now)
				f.RequestEnded(id, now)
				return now
			}},
		} {
			worst := time.Duration(0)
			for seed := range uint64(60) {
				within := []time.Duration{0, 10 * time.Second, 40 * time.Second}[seed%3]
				f := New(Settings{DrainGrace: grace, MaxTimeWithoutWatch: within, Gatherers: gatherers, Seed: seed}, began)
				reached := began // when the service could first be reached after the call before
				for range 12 {
					now := f.Due()
					id, _ := f.Run(now)
					for id == 0 {
						now = f.Due()
						id, _ = f.Run(now)
					}
					worst = max(worst, now.Add(queueTimeout).Sub(reached))
					reached = c.fail(f, id, now)
				}
			}
			if worst >= silentNotifyDelay {
				t.Errorf("%d gatherers, %s: update received after %v in the worst case", gatherers, name, worst)
			}
		}
	}
}

// A complete list reports a searcher as leaving by omitting it; an older list must not make it ready again either.
func TestOlderListDoesNotReinstateOmittedSearcher(t *testing.T) {
	ready := func(id string, started int64) catalog.Member {
		return catalog.Member{ID: id, HostPort: "h:1", Phase: catalog.Ready, UpSinceMS: started}
	}
	list := func(revision int64, complete bool, m ...catalog.Member) catalog.Update {
		return catalog.Update{Revision: revision, Complete: complete, Members: m}
	}
	for name, c := range map[string]struct {
		source string
		after  time.Duration
		u      catalog.Update
		want   catalog.Phase
	}{
		"a lower revision":             {"a", 0, list(41, true, ready("s", 7), ready("o", 1)), catalog.Terminating},
		"another address":              {"b", 0, list(99, true, ready("s", 7), ready("o", 1)), catalog.Terminating},
		"changes from there":           {"b", 0, list(99, false, ready("s", 7)), catalog.Terminating},
		"a higher revision: it serves": {"a", 0, list(43, true, ready("s", 7)), catalog.Ready},
		"a later start":                {"b", 0, list(1, true, ready("s", 8)), catalog.Ready},
		"too late for an old list":     {"b", maxListAge, list(1, true, ready("s", 7)), catalog.Ready},
	} {
		var filter MemberFilter
		filter.Apply(began, "a", list(41, true, ready("s", 7), ready("o", 1)))
		filter.Apply(began, "a", list(42, true, ready("o", 1)))
		if got := filter.Apply(began.Add(c.after), c.source, c.u); got[0].Phase != c.want {
			t.Errorf("%s: have %s, want %s", name, got[0].Phase, c.want)
		}
	}
	var filter MemberFilter
	filter.Apply(began, "a", list(41, true, ready("s", 7)))
	filter.Apply(began, "a", list(42, true)) // as from a discovery that has lost its state
	if got := filter.Apply(began, "b", list(1, true, ready("s", 7))); got[0].Phase != catalog.Ready {
		t.Errorf("after an empty list: have %s", got[0].Phase)
	}
	for i := range int64(100) { // new searchers with new ids: those that left must not be kept forever
		filter.Apply(began.Add(time.Duration(i)*time.Second), "b", list(2+i, true, ready(string(rune('a'+i)), 1)))
		filter.Reinstated(began.Add(time.Duration(i) * time.Second))
	}
	if len(filter.serving) != 1 || len(filter.leaving) > 10 {
		t.Errorf("%d ready and %d leaving searchers are kept", len(filter.serving), len(filter.leaving))
	}
}

// A list with an earlier start of a searcher is older and may name the address of the previous process, so its
// entry is replaced by the known one.
func TestLatestStartIsKept(t *testing.T) {
	ready := func(started int64, addr string) catalog.Member {
		return catalog.Member{ID: "s", HostPort: addr, Phase: catalog.Ready, UpSinceMS: started}
	}
	for name, c := range map[string]struct {
		source   string
		revision int64
		after    time.Duration
		started  int64
		want     int64
	}{
		"a lower revision":                     {"a", 41, 0, 7, 8},
		"the same revision":                    {"a", 42, 0, 7, 8},
		"another address":                      {"b", 99, 0, 7, 8},
		"another address, long after":          {"b", 99, 10 * maxListAge, 7, 8},
		"started long ago":                     {"b", 99, 0, 0, 8},
		"a higher revision: a clock went back": {"a", 43, 0, 7, 7},
		"a later start, from any address":      {"b", 1, 0, 9, 9},
	} {
		var filter MemberFilter
		filter.Apply(began, "a", catalog.Update{Revision: 42, Members: []catalog.Member{ready(8, "new:1")}})
		addr := "old:1"
		got := filter.Apply(began.Add(c.after), c.source, catalog.Update{Revision: c.revision, Members: []catalog.Member{ready(c.started, addr)}})[0]
		if c.want == 8 {
			addr = "new:1"
		}
		if got != ready(c.want, addr) || (filter.Rejected == 1) != (c.want == 8) {
			t.Errorf("%s: have %+v, rejected %d", name, got, filter.Rejected)
		}
	}
}

// A list that is older than the update by which a searcher leaves must not make it ready again: parts would be
// sent to it.
func TestOlderListDoesNotReinstateLeavingSearcher(t *testing.T) {
	member := func(phase catalog.Phase, started int64) catalog.Member {
		return catalog.Member{ID: "s", HostPort: "h:1", Phase: phase, UpSinceMS: started}
	}
	list := func(revision int64, m ...catalog.Member) catalog.Update {
		return catalog.Update{Revision: revision, Members: m}
	}
	for name, c := range map[string]struct {
		source string
		after  time.Duration
		u      catalog.Update
		want   catalog.Phase
	}{
		"a lower revision":                      {"a", 0, list(41, member(catalog.Ready, 7)), catalog.Terminating},
		"the same revision":                     {"a", 0, list(42, member(catalog.Ready, 7)), catalog.Terminating},
		"another address":                       {"b", 0, list(99, member(catalog.Ready, 7)), catalog.Terminating},
		"another address, an older start":       {"b", 0, list(99, member(catalog.Ready, 6)), catalog.Terminating},
		"a higher revision: no longer draining": {"a", 0, list(43, member(catalog.Ready, 7)), catalog.Ready},
		"a later start":                         {"b", 0, list(1, member(catalog.Ready, 8)), catalog.Ready},
		"too late for an old list":              {"b", maxListAge, list(1, member(catalog.Ready, 7)), catalog.Ready},
		"gone":                                  {"b", 0, list(1, member(catalog.Gone, 7)), catalog.Gone},
	} {
		var filter MemberFilter
		filter.Apply(began, "a", list(42, member(catalog.Terminating, 7)))
		if got := filter.Apply(began.Add(c.after), c.source, c.u); got[0].Phase != c.want {
			t.Errorf("%s: have %s, want %s", name, got[0].Phase, c.want)
		}
	}
	var filter MemberFilter
	filter.Apply(began, "a", list(42, member(catalog.Terminating, 7)))
	filter.Apply(began, "b", list(1, member(catalog.Ready, 7)))
	if got := filter.Reinstated(began.Add(maxListAge - ms)); len(got) > 0 {
		t.Errorf("reinstated too soon: %+v", got)
	}
	if got := filter.Reinstated(began.Add(maxListAge)); len(got) != 1 || got[0].Phase != catalog.Ready || len(filter.leaving) > 0 {
		t.Errorf("not reinstated: %+v, %d leaving searchers are kept", got, len(filter.leaving))
	}
}

// Under any order of resets, silences, outages, refusals and stalls, an update of the agent is received before the
// grace is over. The grace begins when the agent has the update, when the agent returns or when a stall ends, whichever
// is last; for a watch that fell silent it begins 6 s later.
func TestUpdateArrivesWithinGraceUnderRandomFaults(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		a := newFakeAgent(rapid.SampledFrom([]int{1, 350}).Draw(t, "gatherers"), rapid.Uint64().Draw(t, "seed"))
		a.losesRequests = rapid.Bool().Draw(t, "loses requests")
		for range rapid.IntRange(1, 12).Draw(t, "faults") {
			notified := a.now
			switch rapid.SampledFrom([]string{"reset", "silence", "outage", "refusals", "stall"}).Draw(t, "fault") {
			case "reset":
				a.reset()
			case "silence":
				clear(a.open)
				notified = notified.Add(silentNotifyDelay)
			case "outage":
				a.silent = true
				a.run(time.Duration(rapid.IntRange(1, 9000).Draw(t, "ms")) * ms)
				a.silent = false
				notified = a.now
				if a.now.Sub(a.lastHeartbeat) < silenceTimeout { // the watch may have ended without an error
					notified = notified.Add(silentNotifyDelay)
				}
			case "refusals":
				a.refuses = true
				a.reset()
				a.run(time.Duration(rapid.IntRange(1, 9000).Draw(t, "ms")) * ms)
				a.refuses = false
				notified = a.now
			case "stall":
				a.now = a.now.Add(time.Duration(rapid.IntRange(1, 9000).Draw(t, "ms")) * ms)
				notified = a.now
				a.reset()
			}
			faultEnd := a.now
			for !a.lastUpdate.After(faultEnd) {
				if a.step(); a.now.Sub(notified) > grace-maxAgentInterval {
					t.Fatalf("update not received %v after the gatherer counts as notified", a.now.Sub(notified))
				}
			}
			a.run(time.Duration(rapid.IntRange(0, 3000).Draw(t, "pause")) * ms)
		}
	})
}
