package netio

import (
	"log/slog"
	"testing"
	"time"

	"eiderwinch"
	"eiderwinch/internal/gatherer"
	"eiderwinch/internal/trial/testpeer"
)

// A list that a process is given is older than itself: which searchers have started since it does not know.
// Each counts as started just now until discovery has spoken, or its agent stays silent.
func TestAGivenListDoesNotKnowWhoHasStartedSince(t *testing.T) {
	list := func(complete bool, id string, started int64) func(*rig, *testpeer.Watch) {
		return func(r *rig, w *testpeer.Watch) {
			w.Send(testpeer.List(42, complete, testpeer.Member(id, r.s.Addr, "Ready", started)))
		}
	}
	send := func(line string) func(*rig, *testpeer.Watch) {
		return func(_ *rig, w *testpeer.Watch) { w.Send(line) }
	}
	for name, c := range map[string]struct {
		say   func(*rig, *testpeer.Watch)
		word  bool // it tells who has started since
		since bool // the searcher has
	}{
		"an empty line":        {send(""), true, false},
		"changes to others":    {list(false, "x", 0), true, false},
		"the whole list":       {list(true, "s", 0), true, false},
		"a start":              {list(false, "s", 1000), true, true},
		"nothing for a grace":  {func(*rig, *testpeer.Watch) {}, false, false},
		"what can't be a list": {send(`{"revision":42,"members":[{"id":"y"}]}`), false, false},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			r := start(t, func(r *rig) {
				r.decide = func(eiderwinch.Event) []eiderwinch.Action { return nil }
				r.cfg.Gatherer.Module.ColdFor = time.Minute
				if c.word {
					r.cfg.DrainGrace = time.Minute // silence would be believed then
				}
				r.remake()
			})
			told := func() (started time.Duration) {
				for {
					if e, ok := testpeer.Get(t, r.events, "a list").(eiderwinch.ListChange); ok {
						for _, m := range e.Replicas {
							if m.ID == "s" {
								return m.Started
							}
						}
					}
				}
			}
			if at := time.Unix(0, int64(told())); time.Since(at) < 0 || time.Since(at) > testpeer.Patience {
				t.Errorf("at the start it is told to have started at %v, want now", at)
			}
			c.say(r, testpeer.Get(t, r.d.Watches, "a watch"))
			want := time.Duration(0)
			if c.since {
				want = time.Second // 1000 ms after 1970
			}
			if got := told(); got != want {
				t.Errorf("then it is told to have started at %v, want %v", got, want)
			}
		})
	}
}

// remake makes the core anew, of settings that have changed.
func (r *rig) remake() {
	r.core = gatherer.New(r.cfg.Gatherer, r, r.pool, r.stats, slog.New(slog.DiscardHandler), time.Now())
}
