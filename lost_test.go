package eiderwinch

import (
	"slices"
	"testing"
)

// held sends part 10 to a server, and then others until that server has one of them too. It returns
// the server, and the other part, the latest that was sent there.
func (c *script) held() (server string, later uint64) {
	c.a.classes[0].usual, c.a.usual = float64(50*ms), float64(50*ms)
	server = only[Send](c.turn(ask(1, 0, 0)))[0].Replica
	elsewhere := make(map[uint64]string)
	for id := uint64(2); later == 0; id++ {
		for _, x := range only[Send](c.after(5*ms, ask(id, 0, 0))) {
			if x.Replica == server {
				later = x.Part
			} else {
				elsewhere[x.Part] = x.Replica
			}
		}
	}
	for id, s := range elsewhere {
		c.turn(ok(id, 0, s))
	}
	return server, later
}

// A server that answers what it was sent later has lost the answer to a part, or its connection was cut:
// were the part to wait for its query's end, its server would get nothing new for as long.
func TestAPartThatLaterOnesOvertookIsTriedAgain(t *testing.T) {
	for _, copies := range []bool{false, true} {
		s := testSettings()
		s.SecondCopies = copies
		c := start(t, s)
		server, later := c.held()
		c.after(40*ms, ok(later, 0, server))
		var again []Send
		for until := c.now + 500*ms; len(again) == 0 && c.now < until; {
			for _, x := range only[Cancel](c.after(20 * ms)) {
				again = append(again, only[Send](c.after(5*ms, with(ok(x.Part, x.Attempt, server), Cancelled)))...)
			}
			if p := c.a.parts[10]; len(p.attempts) > 1 && len(again) == 0 {
				again = append(again, Send{Part: 10, Replica: p.attempts[1].server.ID})
			}
		}
		if len(again) != 1 || again[0].Part != 10 || again[0].Replica == server {
			t.Fatalf("copies allowed %v: tried again at %v, want one try on the other than %s", copies, again, server)
		}
		c.want("not while it may only be heavy", c.now-c.a.parts[10].attempts[0].sent >= 350*ms, true)
		c.after(40*ms, ok(10, 1, again[0].Replica))
		for range 2 {
			c.after(5*ms, with(ok(10, 0, server), Cancelled))
		}
		c.want("its server is free", c.a.byID[server].overdue || len(c.a.byID[server].out) > 0, false)
	}
}

// One lost answer must not keep what came after it on a connection that is dead from being taken back.
func TestALostAnswerDoesNotHideASilentServer(t *testing.T) {
	s := testSettings()
	s.SecondCopies = false
	c := start(t, s)
	server, later := c.held()
	c.a.byID[server].lastOK = c.a.parts[later].attempts[0].sent - ms // it was answering when part 10 was out
	var back []uint64
	for until := c.now + 600*ms; c.now < until; {
		for _, x := range only[Cancel](c.after(20 * ms)) {
			back = append(back, x.Part)
		}
	}
	slices.Sort(back)
	c.want("both are taken back", back, []uint64{10, later})
}

// A copy's answer ends what is out beside it, not only when the whole query ends: a place there is free.
func TestWhatIsOutBesideAnAnswerIsTakenBack(t *testing.T) {
	c := start(t, testSettings())
	c.a.copies = 1
	c.want("calls", len(only[Send](c.turn(ask(1, 1, 0, 2)))), 2) // keyed work is not taken back before that
	second := only[Send](c.after(300 * ms))
	c.want("copies", len(second), 1)
	part := second[0].Part
	c.want("cancels", only[Cancel](c.after(20*ms, ok(part, 1, second[0].Replica))), []Cancel{{part, 0}})
	c.want("again", len(only[Cancel](c.after(20*ms))), 0)
	c.want("the query goes on", c.a.open[1] != nil, true)
}
