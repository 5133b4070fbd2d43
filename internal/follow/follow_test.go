package follow

import (
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"eiderwinch/internal/format/catalog"
	"eiderwinch/internal/trial/steady"
)

func TestMain(m *testing.M) { steady.Main(m) }

const (
	ms    = time.Millisecond
	grace = 500 * ms
)

var began = time.Unix(1000, 0)

// agent is discovery as a Follower in virtual time sees it. An ask that reaches it while it is silent hangs for
// good where forgets is set, else it is answered at the return.
type agent struct {
	f       *Follower
	now     time.Time
	silent  bool // says nothing
	refuses bool // ends what is opened
	forgets bool
	delay   time.Duration // of the dial and the answer
	open    map[Ask]time.Time
	asked   []time.Time
	news    time.Time // when anything came last
	beat    time.Time
}

func newAgent(clients int, seed uint64) *agent {
	return &agent{
		f:   New(Settings{Pushed: true, Grace: grace, Clients: clients, Seed: seed}, began),
		now: began, beat: began, open: make(map[Ask]time.Time), delay: ms,
	}
}

// step goes on by a millisecond.
func (a *agent) step() {
	a.now = a.now.Add(ms)
	beat := a.now.Sub(a.beat) >= 2*time.Second
	if beat {
		a.beat = a.now
	}
	for id, since := range a.open {
		switch f := a.f.find(id); {
		case f < 0:
			delete(a.open, id)
		case a.silent:
		case a.f.asks[f].heard.IsZero() && a.now.Sub(since) >= a.delay, beat && !a.f.asks[f].heard.IsZero():
			a.news = a.now
			a.drop(a.f.Brought(id, a.now))
		}
	}
	if a.now.Before(a.f.Due()) {
		return
	}
	id, drop := a.f.Run(a.now)
	a.drop(drop)
	if !a.f.Due().After(a.now) {
		panic("Run is wanted again at once: the loop would spin")
	}
	if id == 0 {
		return
	}
	a.asked = append(a.asked, a.now)
	switch {
	case a.refuses:
		a.f.Lost(id, a.now)
	case a.silent && a.forgets:
	default:
		a.open[id] = a.now
	}
}

func (a *agent) drop(ids []Ask) {
	for _, id := range ids {
		delete(a.open, id)
	}
}

func (a *agent) run(d time.Duration) {
	for end := a.now.Add(d); a.now.Before(end); {
		a.step()
	}
}

// What the agent has counts from the moment it has it, whether a watch is open or not. Whatever ended the
// watch, news must be in long before 500 ms have passed, in a fleet of any size.
func TestNewsIsInWithinTheGrace(t *testing.T) {
	for _, clients := range []int{1, 80, 300, 350, 1024} {
		worst := make(map[string]time.Duration)
		for seed := range uint64(20) {
			away := func(a *agent, how *bool) { // all that is open is reset, and the agent is away for a while
				a.run(3 * time.Second)
				a.reset()
				*how = true
				a.run(time.Duration(2900+37*seed) * ms)
				*how = false
			}
			for name, c := range map[string]struct {
				fault func(*agent)
				most  time.Duration // from when the news counts
			}{
				"a new process": {func(a *agent) {}, 5 * ms},
				"a reset": {func(a *agent) {
					a.run(3 * time.Second)
					a.reset()
				}, 5 * ms},
				"a reset at once after another": {func(a *agent) {
					a.run(3 * time.Second)
					a.reset()
					a.run(5 * ms)
					a.reset()
				}, paceLongest + 5*ms},
				"an agent that returns and answers what waits": {func(a *agent) { away(a, &a.silent) }, paceLongest + 5*ms},
				"one that has forgotten what waits": {func(a *agent) {
					a.forgets = true
					away(a, &a.silent)
				}, paceLongest + 5*ms},
				"one that refuses": {func(a *agent) { away(a, &a.refuses) }, paceLongest + 5*ms},
				"one that answers after 400 ms": {func(a *agent) {
					a.delay = 400 * ms
					a.run(3 * time.Second)
					a.reset()
				}, 410 * ms},
				"a watch that falls silent": {func(a *agent) {
					a.run(3 * time.Second)
					clear(a.open) // it hears nothing any more, but is not told
				}, silence + 5*ms},
			} {
				a := newAgent(clients, seed)
				c.fault(a)
				counts := a.now
				for !a.news.After(counts) && a.now.Sub(counts) < 20*time.Second {
					a.step()
				}
				took := a.now.Sub(counts)
				worst[name] = max(worst[name], took)
				if took > c.most {
					t.Errorf("%d gatherers, seed %d, %s: in after %v, want %v", clients, seed, name, took, c.most)
				}
			}
		}
		t.Logf("%d gatherers: %v", clients, worst)
	}
}

// reset ends all that is open.
func (a *agent) reset() {
	for id := range a.open {
		a.f.Lost(id, a.now)
	}
	clear(a.open)
}

// Several asks may show that they are alive, at times of their own: none of them has the loop spin.
func TestTwoWatchesThatLive(t *testing.T) {
	f := New(Settings{Pushed: true, Grace: grace, Seed: 1}, began)
	a, _ := f.Run(began)
	b, _ := f.Run(f.Due())
	if b == 0 {
		t.Fatal("no second ask")
	}
	f.Heard(b, began.Add(300*ms))
	f.Heard(a, began.Add(400*ms))
	if due, want := f.Due(), began.Add(400*ms+silence); !due.Equal(want) {
		t.Errorf("wanted after %v, want %v", due.Sub(began), want.Sub(began))
	}
}

// An agent that is away for a minute is asked some times a second, and no more than a few asks hang.
func TestAsksAreBounded(t *testing.T) {
	for _, refuses := range []bool{false, true} {
		a := newAgent(350, 1)
		a.silent, a.refuses = true, refuses
		most := 0
		for a.now.Sub(began) < time.Minute {
			a.step()
			most = max(most, len(a.f.asks))
		}
		if n := len(a.asked); n > 60*11 || n < 60*5 || most > mostAsks {
			t.Errorf("%d asks in a minute, %d open at once", n, most)
		}
		if slices.Equal(gaps(a.asked[:10]), gaps(newRun(2, refuses))) {
			t.Error("two gatherers ask in step")
		}
	}
}

func newRun(seed uint64, refuses bool) []time.Time {
	a := newAgent(350, seed)
	a.silent, a.refuses = true, refuses
	a.run(10 * time.Second)
	return a.asked[:10]
}

func gaps(at []time.Time) (out []time.Duration) {
	for i := 1; i < len(at); i++ {
		out = append(out, at[i].Sub(at[i-1]))
	}
	return out
}

// Where one service has the lists, asks cost it work: they spread over the fleet's windows, but end before what was
// missed counts.
func TestASharedServiceIsNotAskedByAllAtOnce(t *testing.T) {
	const clients, within = 300, 10 * time.Second
	var at []time.Duration
	for seed := range uint64(clients) {
		f := New(Settings{Grace: grace, Within: within, Clients: clients, Seed: seed}, began)
		id, _ := f.Run(began)
		f.Brought(id, began)
		f.Lost(id, began)
		at = append(at, f.Due().Sub(began))
	}
	slices.Sort(at)
	if at[0] < 100*ms || at[clients-1] > within/2 || at[clients*3/4]-at[clients/4] < time.Second {
		t.Errorf("asked again after %v to %v, quartiles %v and %v", at[0], at[clients-1], at[clients/4], at[clients*3/4])
	}
	silent := New(Settings{Grace: grace, Within: within, Clients: clients, Seed: 1}, began)
	id, _ := silent.Run(began)
	silent.Brought(id, began)
	silent.Run(silent.Due())
	if due := silent.Due().Sub(began); due < silence || due+callWait > silentCounts {
		t.Errorf("a silent watch is opened anew after %v", due)
	}
}

// Whatever became of the calls before, a change counts 6 s after a shared service had it and could be reached.
// It may then need its whole time for the call that brings it.
func TestASharedServiceIsAskedAgainBeforeItsNewsCounts(t *testing.T) {
	for _, clients := range []int{1, 3, 300, 1024} {
		for name, c := range map[string]struct {
			fail func(f *Follower, id Ask, now time.Time) (reached time.Time) // of a call that began now
		}{
			"refused": {func(f *Follower, id Ask, now time.Time) time.Time { f.Lost(id, now); return now }},
			"failed after its wait": {func(f *Follower, id Ask, now time.Time) time.Time {
				f.Lost(id, now.Add(callWait))
				return now.Add(callWait)
			}},
			"given up": {func(_ *Follower, _ Ask, now time.Time) time.Time { return now }},
			"a watch that ends": {func(f *Follower, id Ask, now time.Time) time.Time {
				f.Brought(id, now)
				f.Lost(id, now)
				return now
			}},
		} {
			worst := time.Duration(0)
			for seed := range uint64(60) {
				within := []time.Duration{0, 10 * time.Second, 40 * time.Second}[seed%3]
				f := New(Settings{Grace: grace, Within: within, Clients: clients, Seed: seed}, began)
				reached := began // since the call before failed
				for range 12 {
					now := f.Due()
					id, _ := f.Run(now)
					for id == 0 {
						now = f.Due()
						id, _ = f.Run(now)
					}
					worst = max(worst, now.Add(callWait).Sub(reached))
					reached = c.fail(f, id, now)
				}
			}
			if worst >= silentCounts {
				t.Errorf("%d gatherers, %s: in after %v at the worst", clients, name, worst)
			}
		}
	}
}

// A whole list tells of who leaves by leaving them out; an older list must not have them back either.
func TestAnOlderListDoesNotHaveBackWhoWasLeftOut(t *testing.T) {
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
		"a new start":                  {"b", 0, list(1, true, ready("s", 8)), catalog.Ready},
		"no list is so old":            {"b", doubt, list(1, true, ready("s", 7)), catalog.Ready},
	} {
		var r Roster
		r.Take(began, "a", list(41, true, ready("s", 7), ready("o", 1)))
		r.Take(began, "a", list(42, true, ready("o", 1)))
		if got := r.Take(began.Add(c.after), c.source, c.u); got[0].Phase != c.want {
			t.Errorf("%s: have %s, want %s", name, got[0].Phase, c.want)
		}
	}
	var r Roster
	r.Take(began, "a", list(41, true, ready("s", 7)))
	r.Take(began, "a", list(42, true)) // discovery that has lost its memory
	if got := r.Take(began, "b", list(1, true, ready("s", 7))); got[0].Phase != catalog.Ready {
		t.Errorf("after an empty list: have %s", got[0].Phase)
	}
	for i := range int64(100) { // new ones come under new ids all day
		r.Take(began.Add(time.Duration(i)*time.Second), "b", list(2+i, true, ready(string(rune('a'+i)), 1)))
		r.Review(began.Add(time.Duration(i) * time.Second))
	}
	if len(r.serving) != 1 || len(r.leaving) > 10 {
		t.Errorf("%d and %d are held", len(r.serving), len(r.leaving))
	}
}

func TestAStartThatWasToldStaysTold(t *testing.T) {
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
		"a lower revision":                   {"a", 41, 0, 7, 8},
		"the same revision":                  {"a", 42, 0, 7, 8},
		"another address":                    {"b", 99, 0, 7, 8},
		"another address, long after":        {"b", 99, 10 * doubt, 7, 8},
		"started long ago":                   {"b", 99, 0, 0, 8},
		"a higher revision: a clock went":    {"a", 43, 0, 7, 7},
		"a later start, from wherever it is": {"b", 1, 0, 9, 9},
	} {
		var r Roster
		r.Take(began, "a", catalog.Update{Revision: 42, Members: []catalog.Member{ready(8, "new:1")}})
		addr := "old:1"
		got := r.Take(began.Add(c.after), c.source, catalog.Update{Revision: c.revision, Members: []catalog.Member{ready(c.started, addr)}})[0]
		if c.want == 8 {
			addr = "new:1"
		}
		if got != ready(c.want, addr) || (r.Doubted == 1) != (c.want == 8) {
			t.Errorf("%s: have %+v, doubted %d", name, got, r.Doubted)
		}
	}
}

func TestAnOlderListDoesNotHaveALeavingSearcherBack(t *testing.T) {
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
		"a lower revision":                     {"a", 0, list(41, member(catalog.Ready, 7)), catalog.Terminating},
		"the same revision":                    {"a", 0, list(42, member(catalog.Ready, 7)), catalog.Terminating},
		"another address":                      {"b", 0, list(99, member(catalog.Ready, 7)), catalog.Terminating},
		"another address, an older start":      {"b", 0, list(99, member(catalog.Ready, 6)), catalog.Terminating},
		"a higher revision: it drains no more": {"a", 0, list(43, member(catalog.Ready, 7)), catalog.Ready},
		"a new start":                          {"b", 0, list(1, member(catalog.Ready, 8)), catalog.Ready},
		"no list is so old":                    {"b", doubt, list(1, member(catalog.Ready, 7)), catalog.Ready},
		"gone":                                 {"b", 0, list(1, member(catalog.Gone, 7)), catalog.Gone},
	} {
		var r Roster
		r.Take(began, "a", list(42, member(catalog.Terminating, 7)))
		if got := r.Take(began.Add(c.after), c.source, c.u); got[0].Phase != c.want {
			t.Errorf("%s: have %s, want %s", name, got[0].Phase, c.want)
		}
	}
	var r Roster
	r.Take(began, "a", list(42, member(catalog.Terminating, 7)))
	r.Take(began, "b", list(1, member(catalog.Ready, 7)))
	if got := r.Review(began.Add(doubt - ms)); len(got) > 0 {
		t.Errorf("back too soon: %+v", got)
	}
	if got := r.Review(began.Add(doubt)); len(got) != 1 || got[0].Phase != catalog.Ready || len(r.leaving) > 0 {
		t.Errorf("not had back: %+v, %d held", got, len(r.leaving))
	}
}

// Any order of resets, silences, refusals, slow answers and stalls: what the agent has is in before the grace is
// over, counted from the later of the moment it had it, its return and the end of a stall, but for watches that fell
// silent, whose news counts 6 s later.
func TestNewsIsInWithinTheGraceWhateverHappens(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		a := newAgent(rapid.SampledFrom([]int{1, 350}).Draw(t, "gatherers"), rapid.Uint64().Draw(t, "seed"))
		a.forgets = rapid.Bool().Draw(t, "forgets")
		for range rapid.IntRange(1, 12).Draw(t, "faults") {
			counts := a.now
			switch rapid.SampledFrom([]string{"reset", "silence", "outage", "refusals", "stall"}).Draw(t, "fault") {
			case "reset":
				a.reset()
			case "silence":
				clear(a.open)
				counts = counts.Add(silentCounts)
			case "outage":
				a.silent = true
				a.run(time.Duration(rapid.IntRange(1, 9000).Draw(t, "ms")) * ms)
				a.silent = false
				counts = a.now
				if a.now.Sub(a.beat) < silence { // the watch may have been broken unseen
					counts = counts.Add(silentCounts)
				}
			case "refusals":
				a.refuses = true
				a.reset()
				a.run(time.Duration(rapid.IntRange(1, 9000).Draw(t, "ms")) * ms)
				a.refuses = false
				counts = a.now
			case "stall":
				a.now = a.now.Add(time.Duration(rapid.IntRange(1, 9000).Draw(t, "ms")) * ms)
				counts = a.now
				a.reset()
			}
			began := a.now
			for !a.news.After(began) {
				if a.step(); a.now.Sub(counts) > grace-paceLongest {
					t.Fatalf("not in %v after it counts", a.now.Sub(counts))
				}
			}
			a.run(time.Duration(rapid.IntRange(0, 3000).Draw(t, "calm")) * ms)
		}
	})
}
