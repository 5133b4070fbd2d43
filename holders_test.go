package eiderwinch

import (
	"slices"
	"testing"
)

// queryWithHolders returns a query for parts that name the holders of their shards.
func queryWithHolders(id uint64, class int, holders ...[]string) Query {
	q := newQuery(id, class, make([]int, len(holders))...)
	for i := range q.Parts {
		q.Parts[i].Shard, q.Parts[i].Holders = 1000+i, holders[i]
	}
	return q
}

// sentReplicas returns the replicas of the Sends, in order.
func sentReplicas(actions []Action) (out []string) {
	for _, x := range actionsOf[Send](actions) {
		out = append(out, x.Replica)
	}
	return out
}

func TestHoldersOfAPartOverrideCells(t *testing.T) {
	c := startAggregator(t, testSettings())
	c.want("sends", sentReplicas(c.turn(queryWithHolders(1, 0, []string{"c"}, []string{"c", "d"}))), []string{"c", "c"})
	// Another query names other holders for the same shard: each query keeps its own.
	c.want("another epoch", sentReplicas(c.turn(queryWithHolders(2, 0, []string{"b"}))), []string{"b"})
	c.want("by the cells", slices.Contains([]string{"a", "d"}, sentReplicas(c.turn(newQuery(3, 0, 0)))[0]), true)
}

func TestRetriesGoToThePartsHolders(t *testing.T) {
	c := startAggregator(t, testSettings())
	first := sentReplicas(c.turn(queryWithHolders(1, 0, []string{"a", "b"})))[0]
	next := c.after(5*ms, withStatus(okOutcome(10, 0, first), NoConnection))
	other := map[string]string{"a": "b", "b": "a"}[first]
	c.want("the next attempt", sentReplicas(next), []string{other})
}

func TestUnlistedHolderIsUsedOnceListed(t *testing.T) {
	c := startAggregator(t, testSettings())
	c.want("sends to one unknown", sentReplicas(c.turn(queryWithHolders(1, 0, []string{"new"}))), []string(nil))
	added := ListChange{Kind: Changes, Replicas: []Replica{{ID: "new", Cell: 9, State: Ready}}}
	c.want("once it is listed", sentReplicas(c.after(5*ms, added)), []string{"new"})
	removed := ListChange{Kind: Changes, Replicas: []Replica{{ID: "new", Cell: 9, State: Removed}}}
	c.after(5*ms, removed, withStatus(okOutcome(10, 0, "new"), NoConnection))
	c.want("sends to one gone", sentReplicas(c.after(50*ms)), []string(nil))
}

func TestOnlyHolderOfRequestedShardIsLastReplica(t *testing.T) {
	c := startAggregator(t, testSettings())
	c.turn(queryWithHolders(1, 0, []string{"c"}), queryWithHolders(2, 0, []string{"a", "b"}))
	c.want("c is the last", c.aggregator.isLastReplica(c.aggregator.searchersByID["c"]), true)
	c.want("a is not", c.aggregator.isLastReplica(c.aggregator.searchersByID["a"]), false)
}
