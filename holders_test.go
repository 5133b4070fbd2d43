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
	d := startAggregator(t, testSettings())
	d.checkEqual("sends", sentReplicas(d.turn(queryWithHolders(1, 0, []string{"c"}, []string{"c", "d"}))), []string{"c", "c"})
	// Another query names other holders for the same shard: each query keeps its own.
	d.checkEqual("sends of a query with other holders", sentReplicas(d.turn(queryWithHolders(2, 0, []string{"b"}))), []string{"b"})
	d.checkEqual("sent to a holder by the cells", slices.Contains([]string{"a", "d"}, sentReplicas(d.turn(newQuery(3, 0, 0)))[0]), true)
}

func TestRetriesGoToThePartsHolders(t *testing.T) {
	d := startAggregator(t, testSettings())
	first := sentReplicas(d.turn(queryWithHolders(1, 0, []string{"a", "b"})))[0]
	next := d.after(5*ms, withStatus(okOutcome(10, 0, first), NoConnection))
	other := map[string]string{"a": "b", "b": "a"}[first]
	d.checkEqual("the next attempt", sentReplicas(next), []string{other})
}

func TestUnlistedHolderIsUsedOnceListed(t *testing.T) {
	d := startAggregator(t, testSettings())
	d.checkEqual("sends to an unknown holder", sentReplicas(d.turn(queryWithHolders(1, 0, []string{"new"}))), []string(nil))
	added := ListChange{Kind: Changes, Replicas: []Replica{{ID: "new", Cell: 9, State: Ready}}}
	d.checkEqual("sends once it is listed", sentReplicas(d.after(5*ms, added)), []string{"new"})
	removed := ListChange{Kind: Changes, Replicas: []Replica{{ID: "new", Cell: 9, State: Removed}}}
	d.after(5*ms, removed, withStatus(okOutcome(10, 0, "new"), NoConnection))
	d.checkEqual("sends once it is removed", sentReplicas(d.after(50*ms)), []string(nil))
}

func TestOnlyHolderOfRequestedShardIsLastReplica(t *testing.T) {
	d := startAggregator(t, testSettings())
	d.turn(queryWithHolders(1, 0, []string{"c"}), queryWithHolders(2, 0, []string{"a", "b"}))
	d.checkEqual("c is a last replica", d.aggregator.isLastReplica(d.aggregator.searchersByID["c"]), true)
	d.checkEqual("a is a last replica", d.aggregator.isLastReplica(d.aggregator.searchersByID["a"]), false)
}
