package netio

import (
	"context"
	"fmt"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"eiderwinch"
	"eiderwinch/internal/limit"
	"eiderwinch/internal/trial/testpeer"
)

// These tests force what comes between two lines of the program: each holds the loop, or a peer,
// until the other side has done what is rarely done just then. docs/acceptance.md has the table.

// wait spins on the loop until something is so that the system does by itself.
func (r *rig) wait(what string, is func() bool) {
	for end := time.Now().Add(testpeer.Patience); !is(); {
		if time.Now().After(end) {
			r.t.Errorf("%s: not so", what)
			return
		}
	}
}

// turnNow has the core take its turn before the loop reads anything more. It runs on the loop.
func (r *rig) turnNow() {
	r.wait("a turn is due", func() bool { return !time.Now().Before(r.core.Due()) })
	r.core.Run(time.Now())
}

// frameOf is a frame as a searcher sends it.
func frameOf(rest string) []byte { return append([]byte{0, 0, 0, byte(len(rest))}, rest...) }

// again scripts an aggregator that sends each part to "s", and once more where that brought nothing.
func again(r *rig) {
	owner := make(map[uint64]uint64)
	r.decide = func(e eiderwinch.Event) []eiderwinch.Action {
		switch e := e.(type) {
		case eiderwinch.Query:
			owner[e.Parts[0].ID] = e.ID
			return []eiderwinch.Action{eiderwinch.Send{Part: e.Parts[0].ID, Replica: "s"}}
		case eiderwinch.Outcome:
			switch {
			case e.Status == eiderwinch.OK:
				return []eiderwinch.Action{eiderwinch.Answer{Query: owner[e.Part], Whole: true}}
			case e.Attempt == 0:
				return []eiderwinch.Action{eiderwinch.Send{Part: e.Part, Replica: "s"}}
			}
		}
		return nil
	}
}

// nothingBefore asks one more query and holds that its part is the first to arrive.
func (r *rig) nothingBefore(trace string) {
	r.t.Helper()
	r.ask("search", trace, time.Minute, 1)
	if p := r.part(); p.ID != trace+".0" {
		r.t.Errorf("part %s has begun", p.ID)
	}
}

// A loop that is late finds the client's end only behind the turn. Nothing begins for who has left by then.
func TestNothingBeginsForAClientWhoseEndIsNotRead(t *testing.T) {
	end := func(c *testpeer.Client) { c.Close() }
	for name, c := range map[string]struct {
		before  string // what lies unread before the end
		leave   func(*testpeer.Client)
		further bool
	}{
		"an end":                      {"", end, false},
		"an end of its way only":      {"", (*testpeer.Client).CloseWrite, false},
		"an end behind unread bytes":  {testpeer.Query("search", "ahead", time.Minute, 1), end, false},
		"a reset":                     {"", (*testpeer.Client).Reset, false},
		"a reset behind unread bytes": {"POST /search", (*testpeer.Client).Reset, false},
		"a further attempt":           {"", end, true},
		"a further one, bytes unread": {testpeer.Query("search", "ahead", time.Minute, 1), end, true},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			r := start(t, again)
			client := testpeer.NewClient(t, r.Addr())
			if c.further {
				client.Say(testpeer.Query("search", "t", time.Minute, 1))
				r.part()
			} else {
				r.until("the connection", func() bool { return r.clientTable.Count(limit.Silent) == 1 })
			}
			r.onLoop(func() {
				stage := limit.Silent
				if c.further {
					stage = limit.Busy
				}
				own := r.clientTable.Oldest(stage).Owner
				if !c.further {
					own.Traffic([]byte(testpeer.Query("search", "t", time.Minute, 1)))
				}
				client.Say(c.before)
				c.leave(client)
				r.wait("the end has come", func() bool { return remoteClosed(own.conn.Fd()) })
				if c.further {
					r.pool.searchers["s"].conns[0].Traffic(frameOf("at.0 broke 0 -\n"))
				}
				r.turnNow()
			})
			r.until("the end is read", func() bool { return r.stats.Gone == 1 && r.stats.LeftUnread == 1 })
			r.nothingBefore("next")
		})
	}
}

// A call that waits for its connection is not sent when that comes up after its client has left: also where
// the settings allow no cancel, and the aggregator takes nothing back.
func TestACallWhoseClientHasLeftIsNotSentWhenItsConnectionComesUp(t *testing.T) {
	up, dialed := make(chan bool), make(chan bool, 10)
	r := start(t, func(r *rig) {
		again(r)
		r.holdDials(dialed, up)
	})
	client := r.ask("search", "t", time.Minute, 1)
	testpeer.Get(t, dialed, "a dial")
	client.Close()
	r.until("the client is gone", func() bool { return r.stats.Gone == 1 })
	close(up)
	r.until("the connection is up", func() bool { return r.stats.Dialed == 1 })
	if got := r.outcome(); got.Status != eiderwinch.NotSent {
		t.Errorf("have %v: that is no word on the searcher", got.Status)
	}
	r.nothingBefore("next")
}

// Clients count from when they sent a request, also where it waits behind another on its connection.
func TestARequestThatWaitsBehindAnotherHasLessTime(t *testing.T) {
	for name, c := range map[string]struct {
		waited time.Duration
		most   int // ms that its searcher may be told; 0: it is not sent
	}{
		"some of its time":    {20 * time.Second, 40_000},
		"all of it":           {time.Minute, 0},
		"all of it, long ago": {time.Minute + time.Second, 0},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			r := start(t, nil)
			client := testpeer.NewClient(t, r.Addr())
			client.Say(testpeer.Query("search", "first", time.Minute, 1))
			first := r.part()
			client.Say(testpeer.Query("search", "behind", time.Minute, 1))
			r.until("it has come", func() bool { return r.clientTable.Oldest(limit.Busy).Owner.parser.Buffered() > 0 })
			r.onLoop(func() {
				for i := range r.clientTable.Oldest(limit.Busy).Owner.arrivals {
					m := &r.clientTable.Oldest(limit.Busy).Owner.arrivals[i]
					m.receivedAt = m.receivedAt.Add(-c.waited)
				}
			})
			first.Answer("served", 1, "v")
			client.Hear()
			if c.most == 0 {
				if resp, _ := client.Hear(); resp.StatusCode != http.StatusServiceUnavailable || len(r.s.Parts) > 0 {
					t.Errorf("have %s, %d parts", resp.Status, len(r.s.Parts))
				}
				return
			}
			var wait int
			p := r.part()
			if _, err := fmt.Sscanf(p.List, "d=%d", &wait); err != nil || wait > c.most {
				t.Errorf("told %s, want %d at most", p.List, c.most)
			}
			p.Answer("served", 1, "v")
			client.Hear()
		})
	}
}

// Marks of when bytes came are bounded, and a client that writes in many small pieces keeps its time.
func TestMarksOfWhatHasComeAreBounded(t *testing.T) {
	r := start(t, nil)
	client := testpeer.NewClient(t, r.Addr())
	r.until("the connection", func() bool { return r.clientTable.Count(limit.Silent) == 1 })
	r.onLoop(func() {
		own := r.clientTable.Oldest(limit.Silent).Owner
		feed := func(trace string) {
			for _, b := range []byte(testpeer.Query("search", trace, time.Minute, 1)) {
				for i := range own.arrivals {
					own.arrivals[i].receivedAt = own.arrivals[i].receivedAt.Add(-time.Second)
				}
				own.Traffic([]byte{b})
			}
		}
		feed("slow")
		feed("behind")
		if len(own.arrivals) > maxArrivals || own.arrivals[len(own.arrivals)-1].endByte != own.received {
			t.Errorf("%d marks, the last for %d bytes of %d", len(own.arrivals), own.arrivals[len(own.arrivals)-1].endByte, own.received)
		}
	})
	for {
		if e, ok := testpeer.Get(t, r.events, "the query").(eiderwinch.Query); ok {
			if e.Left < time.Minute/2 { // each of its bytes was taken for a second older than the next
				t.Errorf("a request that came in pieces has %v left", e.Left)
			}
			break
		}
	}
	r.part().Answer("served", 1, "v")
	client.Hear()
}

// A keyed part that may have run goes again within its window only. What the aggregator decides in time may
// wait for a connection until it is too late.
func TestAKeyedPartThatHasWaitedPastItsWindowIsNotSent(t *testing.T) {
	const window = 200 * time.Millisecond
	for name, c := range map[string]struct {
		end  func(testpeer.Part)
		want bool // the second attempt is sent
	}{
		"it may have run": {func(p testpeer.Part) { p.Conn.Close() }, false},
		"it never ran":    {func(p testpeer.Part) { p.Answer("skipped", 0, ""); p.Conn.Close() }, true},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			var dials atomic.Int32
			r := start(t, func(r *rig) {
				again(r)
				r.cfg.Gatherer.Module.Classes[1].RepeatWindow = window
				r.beforeDial(r.s.Addr, func(context.Context) error {
					if dials.Add(1) == 2 {
						time.Sleep(window) // the first was sent before this dial began
					}
					return nil
				})
			})
			r.ask("reserve", "t", time.Minute, 1)
			first := r.part()
			// What is answered may find the connection open still: it is closed to new calls.
			r.onLoop(func() { r.pool.searchers["s"].conns[0].retired = true })
			c.end(first)
			r.outcome()
			if !c.want {
				if got := r.outcome(); got.Status != eiderwinch.NoConnection || len(r.s.Parts) > 0 {
					t.Errorf("have %v, %d parts sent", got.Status, len(r.s.Parts))
				}
				return
			}
			r.part()
		})
	}
}

// A client may leave between the two steps of its query: the second one is not begun.
func TestNoSecondStepBeginsForAClientWhoseEndIsNotRead(t *testing.T) {
	r := start(t, func(r *rig) {
		var query uint64
		r.decide = func(e eiderwinch.Event) []eiderwinch.Action {
			switch e := e.(type) {
			case eiderwinch.Query:
				query = e.ID
				return []eiderwinch.Action{eiderwinch.Send{Part: e.Parts[0].ID, Replica: "s"}}
			case eiderwinch.Outcome:
				if e.Status == eiderwinch.OK {
					return []eiderwinch.Action{eiderwinch.Answer{Query: query, Whole: true}}
				}
			case eiderwinch.SecondStep:
				return []eiderwinch.Action{eiderwinch.Send{Part: e.Parts[0].ID, Replica: "s"}}
			}
			return nil
		}
	})
	client := r.ask("report", "t", time.Minute, 1)
	r.part()
	r.onLoop(func() {
		own := r.clientTable.Oldest(limit.Busy).Owner
		client.Close()
		r.wait("the end has come", func() bool { return remoteClosed(own.conn.Fd()) })
		r.pool.searchers["s"].conns[0].Traffic(frameOf("at.0 served 1 -\nv"))
		r.turnNow()
		r.turnNow()
	})
	r.until("the end is read", func() bool { return r.stats.Gone == 1 && r.stats.LeftUnread == 1 })
	r.nothingBefore("next")
}

// What a searcher is told to wait is what is left to the client when the call is written, not when it was decided.
func TestACallThatHasWaitedForItsConnectionTellsWhatIsLeft(t *testing.T) {
	const waits = 300 * time.Millisecond
	r := start(t, func(r *rig) {
		again(r)
		r.beforeDial(r.s.Addr, func(context.Context) error {
			time.Sleep(waits) // the query came before this dial began
			return nil
		})
	})
	r.ask("search", "t", 10*time.Second, 1)
	var told int64
	p := r.part()
	if _, err := fmt.Sscanf(p.List, "d=%d", &told); err != nil || told > (10*time.Second-waits).Milliseconds() {
		t.Errorf("told %s after %v of 10 s", p.List, waits)
	}
}
