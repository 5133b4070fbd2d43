package transport

import (
	"fmt"
	"log/slog"
	"testing"
	"time"

	"eiderwinch/internal/fleet/membership"
	"eiderwinch/internal/fleet/seal"
	"eiderwinch/internal/fleet/share"
	"eiderwinch/internal/trial/testpeer"
)

// Members on sockets use the slots of members that have ended, and of no others.
func TestSlotsOfEndedMembersAreTakenOver(t *testing.T) {
	const slots = 4
	var addrs []string
	for i := range slots {
		n := listenNode(t, i, "slots") // only to find a free port
		addrs = append(addrs, n.Addr())
		n.Close()
	}
	start := func(i, run int) *Node {
		s, err := seal.New(testKeys(t), "k", "slots", uint64(10*run+i+1))
		if err != nil {
			t.Fatal(err)
		}
		n, err := Listen(Config{
			Self:     membership.Member{Name: fmt.Sprint("g", i), Addr: addrs[i], Incarnation: membership.Incarnation{Start: uint64(10*run + i + 1)}},
			Settings: membership.LAN(), Sealer: s, Seeds: addrs[:1], Seed: uint64(i), Log: slog.New(slog.DiscardHandler), Slots: addrs,
			Share: share.Settings{Slots: slots, Number: i, Lease: 300 * time.Millisecond, Window: 200 * time.Millisecond},
		})
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(n.Close)
		return n
	}
	var nodes []*Node
	for i := range slots {
		nodes = append(nodes, start(i, 0))
	}
	waitForSlots := func(what string, want ...int) {
		t.Helper()
		testpeer.WaitUntil(t, what, func() bool {
			for i, n := range nodes {
				if s, _ := n.Share(); n.ctx.Err() == nil && s.Slots != want[i] {
					return false
				}
			}
			return true
		})
	}
	if s, ok := nodes[0].Share(); !ok || s.Slots > 1 || time.Until(s.Until) > time.Second {
		t.Errorf("directly after its start a member may use %+v, want at most one slot, until at most a second later", s)
	}
	waitForSlots("all have their own", 1, 1, 1, 1)
	nodes[1].Close()
	nodes[2].Close()
	waitForSlots("the last has the slots of the ended ones before it", 1, 0, 0, 3)
	nodes[2] = start(2, 1)
	waitForSlots("a restarted member has its own slot, and the one before it", 1, 0, 2, 1)
	var last share.Share
	nodes[2].Close()
	for s := range nodes[2].WatchShare() {
		last = s
	}
	if last.Slots != 2 {
		t.Errorf("the last share was %+v, want 2 slots", last)
	}
}
