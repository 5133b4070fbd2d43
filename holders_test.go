package eiderwinch

import (
	"slices"
	"testing"
)

// heldBy asks for parts of shards whose holders come with them.
func heldBy(id uint64, class int, holders ...[]string) Query {
	q := ask(id, class, make([]int, len(holders))...)
	for i := range q.Parts {
		q.Parts[i].Shard, q.Parts[i].Holders = 1000+i, holders[i]
	}
	return q
}

func targets(actions []Action) (out []string) {
	for _, x := range only[Send](actions) {
		out = append(out, x.Replica)
	}
	return out
}

func TestHoldersThatComeWithAPartCountNotTheCells(t *testing.T) {
	c := start(t, testSettings())
	c.want("sends", targets(c.turn(heldBy(1, 0, []string{"c"}, []string{"c", "d"}))), []string{"c", "c"})
	// Another query has other holders for the same shard: each keeps its own.
	c.want("another epoch", targets(c.turn(heldBy(2, 0, []string{"b"}))), []string{"b"})
	c.want("by the cells", slices.Contains([]string{"a", "d"}, targets(c.turn(ask(3, 0, 0)))[0]), true)
}

func TestFurtherAttemptsStayWithAPartsHolders(t *testing.T) {
	c := start(t, testSettings())
	first := targets(c.turn(heldBy(1, 0, []string{"a", "b"})))[0]
	next := c.after(5*ms, with(ok(10, 0, first), NoConnection))
	other := map[string]string{"a": "b", "b": "a"}[first]
	c.want("the next attempt", targets(next), []string{other})
}

func TestAHolderThatIsNotListedYetIsUsedOnceItIs(t *testing.T) {
	c := start(t, testSettings())
	c.want("sends to one unknown", targets(c.turn(heldBy(1, 0, []string{"new"}))), []string(nil))
	news := ListChange{Kind: Changes, Replicas: []Replica{{ID: "new", Cell: 9, State: Ready}}}
	c.want("once it is listed", targets(c.after(5*ms, news)), []string{"new"})
	gone := ListChange{Kind: Changes, Replicas: []Replica{{ID: "new", Cell: 9, State: Removed}}}
	c.after(5*ms, gone, with(ok(10, 0, "new"), NoConnection))
	c.want("sends to one gone", targets(c.after(50*ms)), []string(nil))
}

func TestTheOnlyHolderOfAShardAskedForIsKept(t *testing.T) {
	c := start(t, testSettings())
	c.turn(heldBy(1, 0, []string{"c"}), heldBy(2, 0, []string{"a", "b"}))
	c.want("c is the last", c.a.last(c.a.byID["c"]), true)
	c.want("a is not", c.a.last(c.a.byID["a"]), false)
}
