package eiderwinch

import "testing"

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
