package membership

import (
	"flag"
	"reflect"
	"slices"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// requireConverged waits for the fleet to converge, and fails if that takes longer than limit.
func (sim *simulation) requireConverged(what string, limit time.Duration) time.Duration {
	sim.t.Helper()
	took := sim.runUntil(limit, sim.converged)
	if took < 0 {
		sim.t.Errorf("%s: not converged after %v", what, limit)
		for _, n := range sim.order[:min(3, len(sim.order))] {
			sim.t.Logf("%s has %d of %d members", n.self.Name, len(n.View().Members), len(sim.order))
		}
	}
	return took
}

func splitInHalves(a, b string) bool { return (a < "addr-g0012") != (b < "addr-g0012") }

// For a longer run: go test -run ConvergesAfterFaults ./internal/fleet/membership -view.seeds 100 -timeout 1h
var (
	viewSeeds = flag.Uint64("view.seeds", 5, "seeds of each fault")
	viewFirst = flag.Uint64("view.first", 0, "the first seed")
)

// After each kind of fault, on 25 members and five seeds, the fleet converges in time, and no member is suspected that has
// nothing to do with the fault.
func TestTheFleetConvergesAfterFaults(t *testing.T) {
	const size = 25
	for what, c := range map[string]struct {
		fault func(*simulation) (suspected []string)
		limit time.Duration
	}{
		"a crash": {func(sim *simulation) []string { sim.kill(sim.order[7]); return []string{name(7)} }, 3 * time.Second},
		"a join":  {func(sim *simulation) []string { sim.startNode("new", "addr-new", "addr-"+name(3)); return nil }, time.Second},
		"an immediate restart": {func(sim *simulation) []string {
			sim.startNode(name(7), "addr-"+name(7), "addr-"+name(3))
			return nil
		}, time.Second},
		"an announced leave": {func(sim *simulation) []string {
			n := sim.order[7]
			sim.step(n, Leave{})
			sim.run(100 * ms)
			sim.kill(n)
			return []string{n.self.Name}
		}, 3 * time.Second},
		"a partition for a minute, healed": {func(sim *simulation) []string {
			sim.partitioned = splitInHalves
			sim.requireConverged("the halves", 20*time.Second)
			sim.run(40 * time.Second)
			sim.partitioned = func(string, string) bool { return false }
			return nil
		}, 5 * time.Second},
		"a pause for 8 s": {func(sim *simulation) []string {
			n := sim.order[7]
			sim.pause(n)
			sim.run(8 * time.Second)
			sim.resume(n)
			return nil
		}, 5 * time.Second},
		"seven in ten killed at once": {func(sim *simulation) (gone []string) {
			for range size * 7 / 10 {
				gone = append(gone, sim.order[0].self.Name)
				sim.kill(sim.order[0])
			}
			return gone
		}, 10 * time.Second},
		"all restarted within 5 s, without state": {func(sim *simulation) []string {
			for i := range size {
				sim.startNode(name(i), "addr-"+name(i), "addr-"+name(0), "addr-"+name(1))
				sim.run(200 * ms)
			}
			return nil
		}, 3 * time.Second},
		"thirty that join by one seed, which dies": {func(sim *simulation) []string {
			seed := sim.order[3]
			for i := range 30 {
				sim.startNode("new"+name(i), "addr-new"+name(i), seed.addr)
			}
			sim.run(50 * ms)
			sim.kill(seed)
			return []string{seed.self.Name}
		}, 5 * time.Second},
		"one that starts twelve times in a minute": {func(sim *simulation) []string {
			for range 12 {
				sim.startNode(name(7), "addr-"+name(7), "addr-"+name(3))
				sim.run(5 * time.Second)
			}
			return nil
		}, time.Second},
		"a clock that jumps back before a start": {func(sim *simulation) []string {
			sim.startNodeAs(Member{Name: name(7), Addr: "addr-" + name(7), Incarnation: Incarnation{Start: 5}}, "addr-"+name(3))
			return nil
		}, 5 * time.Second},
	} {
		t.Run(what, func(t *testing.T) {
			t.Parallel()
			var durations []time.Duration
			for seed := *viewFirst; seed < *viewFirst+*viewSeeds; seed++ {
				sim := newConvergedFleet(t, seed, size, LAN())
				expected := c.fault(sim)
				durations = append(durations, sim.requireConverged(what, c.limit))
				if what == "a partition for a minute, healed" || what == "a pause for 8 s" || strings.Contains(what, "twelve") || strings.Contains(what, "all") {
					continue // many members are suspected with good reason
				}
				sim.run(10 * time.Second)
				if d := sim.suspicions(expected...); len(d) > 0 {
					t.Errorf("seed %d: suspected without reason: %v", seed, d)
				}
			}
			slices.Sort(durations)
			t.Logf("%s: %d seeds, converged after %v (median), %v (worst)", what, len(durations), durations[len(durations)/2], durations[len(durations)-1])
		})
	}
}

// One direction of a link, or the link of one pair of members, may be broken: probes go around it through the others, and no
// member is lost.
func TestABrokenLinkIsBypassed(t *testing.T) {
	for what, broken := range map[string]func(from, to string) bool{
		"one way of one link": func(from, to string) bool { return from == "addr-g0003" && to == "addr-g0004" },
		"both ways of one link": func(from, to string) bool {
			return from == "addr-g0003" && to == "addr-g0004" || from == "addr-g0004" && to == "addr-g0003"
		},
		"one member reachable only from a few": func(from, to string) bool { return to == "addr-g0003" && from < "addr-g0002" },
	} {
		for seed := range uint64(3) {
			sim := newConvergedFleet(t, seed, 9, LAN())
			views := 0
			for _, n := range sim.order {
				views += n.viewChanges
			}
			sim.partitioned = broken
			sim.run(30 * time.Second)
			for _, n := range sim.order {
				views -= n.viewChanges
				if len(n.View().Members) != 9 {
					t.Errorf("%s, seed %d: %s has %d members", what, seed, n.self.Name, len(n.View().Members))
				}
			}
			if views != 0 {
				t.Errorf("%s, seed %d: %d views changed", what, seed, -views)
			}
		}
	}
}

// A member whose messages arrive but that receives none can't refute a suspicion: it is dropped, and comes back later.
func TestAMemberThatHearsNobodyIsDroppedAndComesBack(t *testing.T) {
	sim := newConvergedFleet(t, 1, 9, LAN())
	sim.partitioned = func(_, to string) bool { return to == "addr-g0003" }
	if sim.runUntil(10*time.Second, func() bool { return len(sim.order[0].View().Members) == 8 }) < 0 {
		t.Error("the member that hears nobody is still in the view")
	}
	sim.partitioned = func(string, string) bool { return false }
	sim.requireConverged("the member hears the others again", 5*time.Second)
}

// Lost datagrams cause suspicions, which are refuted before a member is dropped. If one datagram in five is lost, some
// members are dropped now and then; they come back.
func TestPacketLossDropsNobodyForLong(t *testing.T) {
	for _, loss := range []float64{0.01, 0.05, 0.2} {
		sim := newConvergedFleet(t, 7, 25, LAN())
		views := sim.order[0].viewChanges
		sim.loss = loss
		sim.run(60 * time.Second)
		suspected := 0
		for _, n := range sim.order {
			suspected += n.Counts().Suspected
		}
		t.Logf("loss %v: %d suspicions by 25 members in a minute, %d changes of one member's view", loss, suspected, sim.order[0].viewChanges-views)
		if n := sim.order[0]; n.viewChanges != views && loss < 0.2 {
			t.Errorf("loss %v: the view changed %d times", loss, n.viewChanges-views)
		}
		sim.requireConverged("the loss goes on", 10*time.Second)
	}
}

// Of two processes with one name, each at its own address, the newer one wins, and the older one warns and steps down.
func TestTheNewerOfTwoProcessesWithOneNameWins(t *testing.T) {
	for seed := range uint64(5) {
		sim := newConvergedFleet(t, seed, 9, LAN())
		older := sim.order[4]
		newer := sim.startNode(older.self.Name, "addr-elsewhere", "addr-"+name(0))
		if sim.runUntil(5*time.Second, func() bool { return older.steppedDown }) < 0 {
			t.Fatalf("seed %d: the older process does not step down", seed)
		}
		if !slices.ContainsFunc(older.warnings, func(s string) bool { return strings.Contains(s, "addr-elsewhere") }) {
			t.Errorf("the older process warns %q, want a warning that names addr-elsewhere", older.warnings)
		}
		sim.kill(older)
		sim.requireConverged("the newer process is a member", 3*time.Second)
		if newer.steppedDown {
			t.Error("the newer process has stepped down too")
		}
	}
	// An update about a newer process that no longer exists makes nobody step down.
	sim := newConvergedFleet(t, 9, 9, LAN())
	n := sim.order[4]
	sim.step(n, Received{"addr-" + name(0), message{Version: Version, Kind: gossip, From: name(0), Start: 1001, Updates: []update{
		{Member: Member{Name: n.self.Name, Addr: "addr-nowhere", Incarnation: Incarnation{Start: 1 << 40}}}}}.encode()})
	sim.run(3 * time.Second)
	if n.steppedDown || n.Self().Incarnation.Start <= 1<<40 {
		t.Errorf("stepped down %t, start %d", n.steppedDown, n.Self().Incarnation.Start)
	}
}

// A member that has been dead for long is forgotten by all, and no old update brings it back.
func TestDeadMembersAreForgotten(t *testing.T) {
	settings := LAN()
	settings.ForgetAfter, settings.SyncInterval = 20*time.Second, 5*time.Second
	sim := newConvergedFleet(t, 3, 9, settings)
	sim.kill(sim.order[4])
	sim.requireConverged("the crash", 3*time.Second)
	old := sim.order[0].updateAbout(sim.order[0].peers[name(4)])
	sim.run(15 * time.Second)
	late := sim.startNode("late", "addr-late", "addr-"+name(0)) // it must not learn of the dead member and pass that on
	sim.run(10 * time.Second)
	for _, n := range sim.order {
		if slices.ContainsFunc(n.Known(), func(m Member) bool { return m.Name == name(4) }) {
			t.Errorf("%s still knows the dead member", n.self.Name)
		}
	}
	old.State, old.Age = Alive, uint64(settings.ForgetAfter/time.Millisecond)
	sim.step(late, Received{"addr-" + name(1), message{Version: Version, Kind: gossip, From: name(1), Start: 1002, Updates: []update{old}}.encode()})
	if len(late.Known()) != len(sim.order) || late.Counts().Rumours == 0 {
		t.Errorf("an old update brought the dead member back: %v", late.Known())
	}
}

// Messages survive encoding and decoding. Versions that differ by 1 are accepted; other versions and malformed messages
// are rejected with an error that names what is wrong.
func TestMessagesAreEncodedAndChecked(t *testing.T) {
	m := message{Version: Version, Kind: ping, From: "a", Start: 7, Seq: 9, Updates: []update{{Member: Member{Name: "b", Addr: "x:1", State: Suspect}, By: "c", Age: 5}}}
	if got, err := decode(m.encode()); err != nil || !reflect.DeepEqual(got, m) {
		t.Errorf("have %+v, %v", got, err)
	}
	for _, c := range []struct {
		change func(*message)
		want   string
	}{
		{func(m *message) { m.Version = Version + 1 }, ""},
		{func(m *message) { m.Version = Version - 1 }, ""},
		{func(m *message) { m.Version = Version + 2 }, "have 3, want 0 to 2"},
		{func(m *message) { m.From = "" }, "name of 0 bytes"},
		{func(m *message) { m.Kind = 99 }, "unknown kind 99"},
		{func(m *message) { m.Updates[0].State = 9 }, "update 0"},
		{func(m *message) { m.Updates[0].Name = "" }, "update 0"},
	} {
		m := m
		m.Updates = slices.Clone(m.Updates)
		c.change(&m)
		if _, err := decode(m.encode()); c.want == "" && err != nil || c.want != "" && (err == nil || !strings.Contains(err.Error(), c.want)) {
			t.Errorf("have %v, want %q", err, c.want)
		}
	}
	sim := newConvergedFleet(t, 1, 2, LAN())
	unknownVersion := m
	unknownVersion.Version = 40
	sim.step(sim.order[0], Received{"addr-" + name(1), unknownVersion.encode()})
	sim.step(sim.order[0], Received{"addr-" + name(1), []byte("noise")})
	if n := sim.order[0].Counts(); n.Refused != 1 || n.Malformed != 1 || len(sim.order[0].warnings) != 1 {
		t.Errorf("have %+v, %q", n, sim.order[0].warnings)
	}
}

// The same seed and events give byte-identical effects. Whatever a member receives, it stays in its own view, the number of
// its view only grows, and the number of members that it knows is limited.
func TestRandomEventsKeepInvariants(t *testing.T) {
	settings := LAN()
	rapid.Check(t, func(t *rapid.T) {
		seed := rapid.Uint64().Draw(t, "seed")
		var cores [2]*Core
		for i := range cores {
			cores[i], _ = New(settings, Member{Name: "me", Addr: "me:1", Incarnation: Incarnation{Start: 100}}, seed, startTime)
		}
		now, number := startTime, uint64(0)
		for range rapid.IntRange(1, 60).Draw(t, "events") {
			var e Event = Wake{}
			switch rapid.IntRange(0, 4).Draw(t, "event") {
			case 0:
				m := message{Version: Version, Kind: kind(rapid.IntRange(1, 8).Draw(t, "kind")), From: rapid.SampledFrom([]string{"me", "a", "b", "c"}).Draw(t, "from"),
					Start: uint64(rapid.IntRange(99, 101).Draw(t, "start")), Seq: uint64(rapid.IntRange(0, 9).Draw(t, "seq")), TargetAddr: "c:1", TargetName: "c"}
				for range rapid.IntRange(0, 4).Draw(t, "updates") {
					m.Updates = append(m.Updates, update{Member: Member{Name: rapid.SampledFrom([]string{"me", "a", "b", "c"}).Draw(t, "name"), Addr: "x:1",
						State:       State(rapid.IntRange(0, 3).Draw(t, "state")),
						Incarnation: Incarnation{uint64(rapid.IntRange(99, 101).Draw(t, "start")), uint64(rapid.IntRange(0, 3).Draw(t, "seq"))}}, By: "b"})
				}
				e = Received{"a:1", m.encode()}
			case 1:
				e = Join{[]string{"a:1", "me:1"}}
			case 2:
				e = Describe{1, uint64(rapid.IntRange(0, 3).Draw(t, "epoch"))}
			case 3:
				e = Received{"b:1", rapid.SliceOfN(rapid.Byte(), 0, 40).Draw(t, "noise")}
			}
			now = now.Add(time.Duration(rapid.IntRange(0, 700).Draw(t, "ms")) * ms)
			a, b := cores[0].Step(now, e), cores[1].Step(now, e)
			if !reflect.DeepEqual(a, b) {
				t.Fatalf("the same events give %v and %v", a, b)
			}
			v := cores[0].View()
			if v.Number < number || !slices.ContainsFunc(v.Members, func(m Member) bool { return m.Name == "me" }) || len(cores[0].Known()) > 4 {
				t.Fatalf("view %+v, known %v", v, cores[0].Known())
			}
			number = v.Number
		}
	})
}

func FuzzDecode(f *testing.F) {
	f.Add(message{Version: Version, Kind: sync, From: "a", Updates: []update{{Member: Member{Name: "b"}}}}.encode())
	f.Fuzz(func(t *testing.T, b []byte) {
		c, _ := New(LAN(), Member{Name: "me", Addr: "me:1", Incarnation: Incarnation{Start: 100}}, 1, startTime)
		c.Step(startTime, Received{"x:1", b})
		c.Step(startTime.Add(time.Minute), Wake{})
	})
}

func TestInvalidSettingsAreRejected(t *testing.T) {
	for _, s := range []Settings{LAN(), WAN()} {
		if err := s.Check(); err != nil {
			t.Error(err)
		}
	}
	invalid := LAN()
	invalid.ProbeTimeout = invalid.ProbeInterval
	if err := invalid.Check(); err == nil || !strings.Contains(err.Error(), "ProbeTimeout") {
		t.Errorf("have %v", err)
	}
}

// Each safeguard is removed in turn by altering what is sent, which some of twenty runs must detect.
func TestRemovedSafeguardsAreDetected(t *testing.T) {
	change := func(f func(from string, u *update) (keep bool)) func(string, []byte) []byte {
		return func(from string, b []byte) []byte {
			m, err := decode(b)
			if err != nil {
				t.Fatal(err)
			}
			m.Updates = slices.DeleteFunc(m.Updates, func(u update) bool { return !f(from, &u) })
			for i := range m.Updates {
				f(from, &m.Updates[i])
			}
			return m.encode()
		}
	}
	for _, c := range []struct {
		name   string
		tamper func(string, []byte) []byte
		wrong  func(*simulation) bool
	}{
		{"refutation", change(func(from string, u *update) bool { return from != "addr-"+u.Name || u.Incarnation.Seq == 0 }), func(sim *simulation) bool {
			n := sim.order[7]
			sim.pause(n) // long enough to be suspected, not to be declared dead
			sim.run(600 * ms)
			sim.resume(n)
			sim.resetSuspected()
			sim.run(10 * time.Second)
			for _, o := range sim.order {
				if m, ok := o.member(n.self.Name); ok && m.State == Dead {
					return true
				}
			}
			return false
		}},
		{"forgetting", change(func(_ string, u *update) bool { u.Age = 0; return true }), func(sim *simulation) bool {
			return sim.deadMemberReturns(5 * time.Second)
		}},
	} {
		for _, removed := range []bool{false, true} {
			caught := 0
			const runs = 20
			for seed := range uint64(runs) {
				settings := LAN()
				settings.SyncInterval, settings.ForgetAfter = 2*time.Second, 8*time.Second
				sim := newConvergedFleet(t, seed, 9, settings)
				if removed {
					sim.tamper = c.tamper
				}
				if c.wrong(sim) {
					caught++
				}
			}
			t.Logf("%s, removed %t: detected in %d of %d runs", c.name, removed, caught, runs)
			if (caught > 0) != removed {
				t.Errorf("%s, removed %t: detected in %d of %d runs", c.name, removed, caught, runs)
			}
		}
	}
}

// deadMemberReturns pauses a member, kills another one after the given time, resumes the first once the others have
// forgotten both, and reports whether any other member then has the dead one in its view.
func (sim *simulation) deadMemberReturns(after time.Duration) bool {
	gone, paused := sim.order[7], sim.order[3]
	sim.pause(paused)
	sim.run(after)
	sim.kill(gone)
	sim.run(sim.settings.ForgetAfter * 3 / 2)
	sim.resume(paused)
	return sim.runUntil(5*time.Second, func() bool {
		return slices.ContainsFunc(sim.order, func(o *node) bool {
			m, ok := o.member(gone.self.Name)
			return o != paused && ok && m.Active()
		})
	}) >= 0
}

// Messages that waited at a paused member are as old as the pause: an update among them that seems fresh must not bring a
// dead member back. Before that was taken into account, it happened in one of twenty runs.
func TestMessagesQueuedDuringAPauseCountAsOld(t *testing.T) {
	for seed := range uint64(20) {
		settings := LAN()
		settings.SyncInterval, settings.ForgetAfter = 2*time.Second, 8*time.Second
		if newConvergedFleet(t, seed, 9, settings).deadMemberReturns(0) {
			t.Errorf("seed %d: a dead member came back", seed)
		}
	}
}

// member returns the member that a node knows by a name.
func (n *node) member(name string) (Member, bool) {
	for _, m := range n.Known() {
		if m.Name == name {
			return m, true
		}
	}
	return Member{}, false
}
