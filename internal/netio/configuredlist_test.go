package netio

import (
	"log/slog"
	"testing"
	"time"

	"eiderwinch"
	"eiderwinch/internal/gatherer"
	"eiderwinch/internal/trial/testpeer"
)

// The member list of the configuration is older than the process, so it does not know which searchers have started
// since. Each one counts as started just now until discovery has sent something, or its agent stays silent.
func TestTheConfiguredListDoesNotKnowLaterStarts(t *testing.T) {
	list := func(complete bool, id string, started int64) func(*harness, *testpeer.Watch) {
		return func(h *harness, w *testpeer.Watch) {
			w.Send(testpeer.MemberList(42, complete, testpeer.Member(id, h.searcher.Addr, "Ready", started)))
		}
	}
	send := func(line string) func(*harness, *testpeer.Watch) {
		return func(_ *harness, w *testpeer.Watch) { w.Send(line) }
	}
	for name, c := range map[string]struct {
		announce  func(*harness, *testpeer.Watch)
		reports   bool // the data says who has started since
		restarted bool // the searcher has
	}{
		"an empty line":         {send(""), true, false},
		"changes to others":     {list(false, "x", 0), true, false},
		"the whole list":        {list(true, "s", 0), true, false},
		"a start":               {list(false, "s", 1000), true, true},
		"silence for the grace": {func(*harness, *testpeer.Watch) {}, false, false},
		"an invalid list":       {send(`{"revision":42,"members":[{"id":"y"}]}`), false, false},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			h := startHarness(t, func(h *harness) {
				h.decide = func(eiderwinch.Event) []eiderwinch.Action { return nil }
				h.cfg.Gatherer.Module.ColdDuration = time.Minute
				if c.reports {
					h.cfg.DrainGrace = time.Minute // the list must not be confirmed because of silence
				}
				h.rebuildCore()
			})
			nextStart := func() (started time.Duration) {
				for {
					if e, ok := testpeer.Receive(t, h.events, "a list").(eiderwinch.ListChange); ok {
						for _, m := range e.Replicas {
							if m.ID == "s" {
								return m.Started
							}
						}
					}
				}
			}
			if at := time.Unix(0, int64(nextStart())); time.Since(at) < 0 || time.Since(at) > testpeer.Timeout {
				t.Errorf("at first its reported start is %v, want now", at)
			}
			c.announce(h, testpeer.Receive(t, h.discovery.Watches, "a watch"))
			want := time.Duration(0)
			if c.restarted {
				want = time.Second // 1000 ms after 1970
			}
			if got := nextStart(); got != want {
				t.Errorf("then its reported start is %v, want %v", got, want)
			}
		})
	}
}

// rebuildCore replaces the core by one with the changed settings.
func (h *harness) rebuildCore() {
	h.core = gatherer.New(h.cfg.Gatherer, h, h.pool, h.stats, slog.New(slog.DiscardHandler), time.Now())
}
