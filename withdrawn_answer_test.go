package eiderwinch

import "testing"

// A part whose answer is withdrawn is sent again where its class allows a repeat, and its query is not answered before.
func TestWithdrawnAnswerIsReplaced(t *testing.T) {
	for class, name := range []string{"read", "keyed", "unsafe"} {
		d := startAggregator(t, testSettings())
		sent := actionsOf[Send](d.turn(newQuery(1, class, 0, 1)))
		d.checkEqual(name+": sends", len(sent), 2)
		actions := d.after(20*ms, okOutcome(10, 0, sent[0].Replica))
		d.checkEqual(name+": answers", len(actionsOf[Answer](actions)), 0)
		withdrawn := withStatus(okOutcome(10, 0, sent[0].Replica), Reset)
		actions = d.after(20*ms, withdrawn, withdrawn, okOutcome(11, 0, sent[1].Replica))
		d.checkEqual(name+": answers after the withdrawal", len(actionsOf[Answer](actions)), 0)
		if name == "unsafe" {
			d.checkEqual("unsafe: sent again", len(actionsOf[Send](actions)), 0)
			d.checkEqual("unsafe: failures", len(actionsOf[Fail](actions)), 1)
			continue
		}
		again := actionsOf[Send](actions)
		if len(again) != 1 || again[0].Part != 10 {
			t.Fatalf("%s: sent again: %v", name, again)
		}
		actions = d.after(20*ms, okOutcome(10, 1, again[0].Replica))
		d.checkEqual(name+": whole answers", actionsOf[Answer](actions), []Answer{{1, true}})
	}
}
