package eiderwinch

import (
	"testing"
	"time"
)

// Where worth grows with work, a wide query of a dear class earns most for its work. Reckoned by the
// query, as where all of a class are worth the same, it is the first to be shed.
func TestUnderLoadTheDearestForTheirWorkStart(t *testing.T) {
	wide := func(byWork bool) (n int) {
		s := testSettings()
		s.Classes[1].Worth, s.Classes[1].Effect = 3, Safe
		s.WorthByWork = byWork
		c := start(t, s)
		for i := range uint64(120) {
			q := ask(i+1, 0, int(i%4))
			if i%4 == 0 {
				q = ask(i+1, 1, 0, 1, 2, 3)
			}
			if i == 40 {
				setShare(c.a, 0.4, -1)
			}
			for _, x := range only[Send](c.after(20*ms, q)) {
				if i >= 40 && q.Class == 1 {
					n++
				}
				c.turn(ok(x.Part, 0, x.Replica))
				if i >= 40 {
					setShare(c.a, 0.4, -1)
				}
			}
		}
		return n / 4
	}
	work, query := wide(true), wide(false)
	c := &script{t: t}
	c.want("of twenty wide ones, by work", work >= 12, true)
	c.want("by the query", query <= 10, true)
	t.Logf("%d of 20 by work, %d by the query", work, query)
}

// Other aggregators' parts are seen by reports alone. Of two servers that cover the same and have the
// same calls out the one with the shorter queue is chosen, for as long as the reports say something.
func TestAFreshReportOfALongQueueSendsPartsElsewhere(t *testing.T) {
	chosen := func(queues [2]float64, later time.Duration) string {
		c := start(t, testSettings())
		c.turn(ask(1, 0, 0, 0)) // both holders are asked, one after the other
		for _, id := range []uint64{10, 11} {
			if p := c.a.parts[id]; p != nil && len(p.attempts) == 0 {
				t.Fatal("a part was not sent")
			}
		}
		for i, s := range []string{"a", "b"} {
			server := c.a.byID[s]
			server.queue, server.heard, server.lastOK, server.pace = queues[i], c.now, c.now, 1
			server.out, server.calls = nil, 0
		}
		c.a.usual = float64(100 * ms)
		c.now += later
		return only[Send](c.turn(ask(2, 0, 0)))[0].Replica
	}
	c := &script{t: t}
	c.want("the shorter queue", chosen([2]float64{0, 9}, 5*ms), "a")
	c.want("the other way round", chosen([2]float64{9, 0}, 5*ms), "b")
	c.want("old reports say nothing", chosen([2]float64{0, 9}, 300*ms), chosen([2]float64{9, 0}, 300*ms))
	c.want("nor do queues that hardly differ", chosen([2]float64{0, 1}, 5*ms), chosen([2]float64{1, 0}, 5*ms))
}

// A server that reports a long queue counts as busy in the balance bound, though nothing of this
// aggregator is out there.
func TestAReportedQueueCountsAsLoad(t *testing.T) {
	c := start(t, testSettings())
	c.a.usual = float64(100 * ms)
	c.turn(ask(1, 0, 0))
	first := c.a.parts[10].attempts[0].server
	o := ok(10, 0, first.ID)
	o.Load = &Load{Waiting: 40}
	c.after(5*ms, o)
	c.want("queue", first.queue, 40.0)
	c.want("load", c.a.load(first) > 10, true)
	c.want("shard 0 goes to its other holder", sentTo(c.after(5*ms, ask(2, 0, 0)))[first.ID], 0)
	o = ok(20, 0, "")
	o.Replica = c.a.parts[20].attempts[0].server.ID
	c.after(5*ms, o) // without a report: the last one stands until it is old
	c.want("load of one that never reported", c.a.load(c.a.byID[o.Replica]), 1.0)
}

// Who names no known tenant must not be served on the shares of those that are known.
func TestAnUnknownTenantHasNoShare(t *testing.T) {
	s := testSettings()
	s.Tenants, s.OverShare = []Tenant{{"small", 0.2}, {"large", 0.8}}, 0.1
	a := New(s)
	c := &script{t: t}
	c.want("unknown", a.inShare(-1), 0.1)
	c.want("beyond the last", a.inShare(2), 0.1)
	c.want("where there are none", New(testSettings()).inShare(-1), 1.0)
}

// A server that answers others will come to a part as well: a second copy would only be work on top.
// Of one that answers nothing any more the part gets a copy in time.
func TestSecondCopiesGoOnlyForSilentServers(t *testing.T) {
	copies := func(answers bool) (n int) {
		c := start(t, testSettings())
		for i := range uint64(20) { // calls take 50 ms
			for _, x := range only[Send](c.turn(ask(100+i, 0, int(i%4)))) {
				c.after(50*ms, ok(x.Part, 0, x.Replica))
			}
		}
		c.a.copies = copyMost
		c.turn(ask(1, 0, 0))
		p := c.a.parts[10]
		id := p.attempts[0].server.ID
		for i := range uint64(80) { // 400 ms, eight times as long, below half of the aim
			if answers && i%10 == 5 {
				c.a.byID[id].lastOK = c.now
			}
			c.after(5 * ms)
		}
		return len(p.attempts) - 1
	}
	c := &script{t: t}
	c.want("of a silent one", copies(false), 1)
	c.want("of one that answers", copies(true), 0)
}
