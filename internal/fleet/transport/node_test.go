package transport

import (
	"fmt"
	"log/slog"
	"net"
	"slices"
	"strings"
	"testing"
	"time"

	"eiderwinch/internal/configuration/signature"
	"eiderwinch/internal/fleet/membership"
	"eiderwinch/internal/fleet/seal"
	"eiderwinch/internal/trial/fixedseed"
	"eiderwinch/internal/trial/testpeer"
)

func TestMain(m *testing.M) { fixedseed.Main(m) }

func testKeys(t testing.TB) *signature.Keys {
	k, err := signature.Read("keys.xml", strings.NewReader(testpeer.KeyFile("k")))
	if err != nil {
		t.Fatal(err)
	}
	return k
}

func listenNode(t testing.TB, i int, fleet string, seeds ...string) *Node {
	return listenNamed(t, fmt.Sprint("g", i), i, fleet, seeds...)
}

// listenNamed starts a process with a name. A process with a higher i is newer.
func listenNamed(t testing.TB, name string, i int, fleet string, seeds ...string) *Node {
	s, err := seal.New(testKeys(t), "k", fleet, uint64(i+1))
	if err != nil {
		t.Fatal(err)
	}
	n, err := Listen(Config{
		Self:     membership.Member{Name: name, Addr: "127.0.0.1:0", Incarnation: membership.Incarnation{Start: uint64(i + 1)}},
		Settings: membership.LAN(), Sealer: s, Seeds: seeds, Seed: uint64(i), Log: slog.New(slog.DiscardHandler),
	})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(n.Close)
	return n
}

// waitForMembers waits until the views of all nodes have the given number of members, and one digest.
func waitForMembers(t testing.TB, what string, nodes []*Node, want int) time.Duration {
	t.Helper()
	began := time.Now()
	testpeer.WaitUntil(t, fmt.Sprintf("%s: all views have %d members", what, want), func() bool {
		for _, n := range nodes {
			if v := n.View(); len(v.Members) != want || v.Digest != nodes[0].View().Digest {
				return false
			}
		}
		return true
	})
	return time.Since(began)
}

// Members find each other through a seed, learn what others serve, and notice a newer process, a crash and a leave.
func TestMembersFindEachOtherOverSockets(t *testing.T) {
	first := listenNode(t, 0, "f")
	nodes := []*Node{first}
	for i := 1; i < 5; i++ {
		nodes = append(nodes, listenNode(t, i, "f", first.Addr()))
	}
	t.Logf("all views have five members after %v", waitForMembers(t, "the start", nodes, 5))
	views := nodes[1].Watch()
	if v := <-views; len(v.Members) != 5 {
		t.Errorf("the first view is %+v, want five members", v)
	}
	nodes[2].Describe(3, 4)
	testpeer.WaitUntil(t, "others know what a member serves", func() bool {
		list, _, _ := nodes[1].KnownMembers()
		return slices.ContainsFunc(list, func(m membership.Member) bool { return m.Name == "g2" && m.Generation == 3 && m.Epoch == 4 })
	})
	newer := listenNamed(t, "g3", 50, "f", first.Addr())
	testpeer.WaitUntil(t, "the older of two processes with one name steps down", nodes[3].SteppedDown)
	if newer.SteppedDown() {
		t.Error("the newer process has stepped down, too")
	}
	nodes[3].Close()
	nodes[3] = newer
	waitForMembers(t, "a newer process with a known name", nodes, 5)
	nodes[4].Close()
	t.Logf("a crashed member is gone after %v", waitForMembers(t, "a crash", nodes[:4], 4))
	nodes[3].Leave()
	t.Logf("a member that left is gone after %v more", waitForMembers(t, "an announced leave", nodes[:3], 3))
	nodes[3].Close()
	if v := <-views; len(v.Members) > 4 {
		t.Errorf("the latest view is %+v, want at most four members", v)
	}
}

// Messages from strangers and other fleets, replays and noise change nothing, and are counted.
func TestMessagesFromNonMembersChangeNothing(t *testing.T) {
	n := listenNode(t, 0, "f")
	listenNode(t, 1, "another", n.Addr())
	s, err := seal.New(testKeys(t), "k", "f", 99)
	if err != nil {
		t.Fatal(err)
	}
	once, err := s.Seal(time.Now(), []byte("not a message"))
	if err != nil {
		t.Fatal(err)
	}
	udp, err := net.Dial("udp", n.Addr())
	if err != nil {
		t.Fatal(err)
	}
	defer udp.Close()
	for _, b := range []string{"noise", string(once), string(once), "", strings.Repeat("x", 60_000)} {
		_, _ = udp.Write([]byte(b))
	}
	for _, b := range []string{"\xff\xff\xff\xff", "\x00\x00\x00\x05nois", "\x00\x00\x00\x05noise", ""} {
		c, err := net.Dial("tcp", n.Addr())
		if err != nil {
			t.Fatal(err)
		}
		_, _ = c.Write([]byte(b))
		_ = c.Close()
	}
	testpeer.WaitUntil(t, "all of it is counted", func() bool {
		_, c, _ := n.KnownMembers()
		return c.Seal.Malformed >= 4 && c.Seal.Fleet > 0 && c.Seal.Replayed == 1 && c.View.Malformed == 1
	})
	if len(n.View().Members) != 1 {
		t.Errorf("have %d members, want 1", len(n.View().Members))
	}
}

func TestUnusableAddressesAreRejected(t *testing.T) {
	n := listenNode(t, 0, "f")
	for _, addr := range []string{"localhost:1", "127.0.0.1", n.Addr()} {
		if _, err := Listen(Config{Self: membership.Member{Name: "x", Addr: addr}, Settings: membership.LAN()}); err == nil || !strings.Contains(err.Error(), addr) {
			t.Errorf("listening on %s: have %v, want an error that names the address", addr, err)
		}
	}
}
