package testcluster

import (
	"bytes"
	"reflect"
	"strings"
	"testing"
	"time"

	"eiderwinch/internal/admin"
)

func TestHistoryRoundTrip(t *testing.T) {
	var b bytes.Buffer
	h := newHistory(&b)
	h.recordText("rig", "%s of %d", PartitionHalves, 2)
	h.recordEntryLocked(Entry{Who: "rig", What: "settled", Kind: PartitionHalves, When: "over", TookMS: 12})
	list, err := ReadHistory(bytes.NewReader(b.Bytes()))
	for i := range list {
		list[i].MS = 0
	}
	if want := []Entry{{Who: "rig", What: "halves of 2"}, {Who: "rig", What: "settled", Kind: PartitionHalves, When: "over", TookMS: 12}}; err != nil || !reflect.DeepEqual(list, want) {
		t.Errorf("got %+v, %v", list, err)
	}
	if _, err := ReadHistory(strings.NewReader("{}\nno\n")); err == nil || !strings.Contains(err.Error(), "line 2") {
		t.Errorf("got %v, want an error that names line 2", err)
	}
}

// The audit must report a slot that two gatherers use at once or within one window, for example after a partition, but
// not a slot whose former user has ended.
func TestAuditDetectsTwoUsersOfOneSlot(t *testing.T) {
	now := time.Now()
	share := func(slots int, until time.Time) admin.FleetState {
		return admin.FleetState{Share: &admin.FleetShare{Slots: slots, Until: until}}
	}
	for _, c := range []struct {
		name       string
		record     func(h *history)
		violations int
	}{
		{"each uses its own slot", func(h *history) {
			h.recordState(processID{0, 1}, 3, share(1, time.Time{}), now, now)
			h.recordState(processID{1, 1}, 3, share(1, time.Time{}), now, now)
		}, 0},
		{"a slot that another may still use", func(h *history) {
			h.recordState(processID{2, 1}, 3, share(3, now.Add(time.Second)), now, now)
			h.recordState(processID{1, 2}, 3, share(1, time.Time{}), now, now.Add(100*time.Millisecond))
		}, 1},
		{"a window after another's use has ended", func(h *history) {
			h.recordState(processID{2, 1}, 3, share(2, now.Add(time.Second)), now, now)
			h.recordState(processID{1, 2}, 3, share(1, time.Time{}), now, now.Add(time.Second+limitWindow+time.Millisecond))
		}, 0},
		{"half a window after another's use has ended", func(h *history) {
			h.recordState(processID{2, 1}, 3, share(2, now.Add(time.Second)), now, now)
			h.recordState(processID{1, 2}, 3, share(1, time.Time{}), now, now.Add(time.Second+limitWindow/2))
		}, 1},
		{"the former user has ended", func(h *history) {
			h.recordState(processID{2, 1}, 3, share(2, now.Add(time.Second)), now, now)
			h.recordEnd(processID{2, 1})
			h.recordState(processID{1, 2}, 3, share(1, time.Time{}), now, now)
		}, 0},
	} {
		h := newHistory(new(bytes.Buffer))
		if c.record(h); len(h.violations) != c.violations {
			t.Errorf("%s: got violations %v, want %d", c.name, h.violations, c.violations)
		}
	}
}

// A plan with an invalid step must be rejected with an error that names it, and a seed must always give the same plan.
func TestPlans(t *testing.T) {
	for _, c := range []struct {
		text string
		want string
	}{
		{`[{"kind":"kill","first":2,"for_ns":1000000000}]`, ""},
		{`[{"kind":"burn","first":2,"for_ns":1000000000}]`, "step 0"},
		{`[{"kind":"kill","first":5,"for_ns":1}]`, "a gatherer of 5"},
		{`[{"kind":"kill","for":1}]`, "unknown field"},
	} {
		_, err := ReadPlan(strings.NewReader(c.text), 5)
		if (err == nil) != (c.want == "") || err != nil && !strings.Contains(err.Error(), c.want) {
			t.Errorf("%s: got error %v", c.text, err)
		}
	}
	a, b := NewPlan(7, 9, 10*time.Minute, 8*time.Second), NewPlan(7, 9, 10*time.Minute, 8*time.Second)
	if len(a) < 30 || !reflect.DeepEqual(a, b) || reflect.DeepEqual(a, NewPlan(8, 9, 10*time.Minute, 8*time.Second)) {
		t.Errorf("%d steps: %+v", len(a), a)
	}
}
