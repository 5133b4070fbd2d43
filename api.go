package eiderwinch

import "time"

// Effect is what a repeat of a part does at its shard.
type Effect int

// The effects of a class.
const (
	Safe   Effect = iota // parts may be repeated freely
	Keyed                // repeats are dropped for Class.RepeatWindow
	Unsafe               // no part may run twice
)

// Class describes a class of queries.
type Class struct {
	Name            string
	Aim             time.Duration // latency target: an answer within it earns Worth
	Deadline        time.Duration // how long the client waits in total, over all its tries
	Worth           float64       // what a whole answer in time earns
	LateWorth       float64       // the share of Worth that an answer earns after Aim
	Effect          Effect
	RepeatWindow    time.Duration // Keyed: how long repeats are dropped, from the first that may have run
	WholeShare      float64       // share of the parts' weight that makes an answer whole
	MinShare        float64       // least share that a query may be answered from
	PartialWorth    float64       // an answer under WholeShare earns PartialWorth x share / WholeShare
	SecondStepParts int           // parts of the second step; 0 if there is only one step
}

// Tenant is one of the parties that share a service.
type Tenant struct {
	Name  string
	Share float64 // its share of the service
}

// Settings configures an Aggregator. The zero value of a limit or rule means that it does not apply, except
// where noted.
type Settings struct {
	Seed             uint64 // the only source of randomness
	Gatherers        int    // number of gatherers that share the searchers, this one included
	GathererNumber   int    // this gatherer's number among them, from 0
	Zone             string // the zone of this gatherer
	Tick             time.Duration
	Classes          []Class // Query.Class is an index into it
	Shards           int
	Cells            int // shard s is held by cells (s+j) mod Cells, for j from 0 to ReplicasPerShard-1
	ReplicasPerShard int
	MaxBatch         int           // most parts in one call
	CallCost         time.Duration // work of a call in addition to that of its parts
	WarmKeys         bool          // a replica does less work for a key that it has had recently
	CrossZoneCosts   bool          // attempts that cross zones have a cost
	SubscribeToList  bool          // the member list arrives only after a Subscribe
	Tenants          []Tenant      // that share the service; Query.Tenant is an index into it plus 1
	OverShareWorth   float64       // share of its worth that a query beyond its tenant's share keeps
	WorthByWork      bool          // a query's worth grows with its work; else all of a class have the same

	MaxAttempts    int  // of one part; 0 means no limit
	MayCancel      bool // attempts may be cancelled
	MarksRepeats   bool // clients mark their repeats, see Query.Repeat
	SecondCopies   bool // a part may have two attempts in flight
	RetryAdvice    bool // clients are told when to retry
	MaxRetryAdvice time.Duration

	SubscribeWithin    time.Duration // SubscribeToList: the longest time to go without a subscription
	RetryBudgetRatio   float64       // retries allowed for each query and part that arrives
	RetryBudgetFree    float64       // retries allowed in addition
	RetryBudgetWindow  time.Duration // the time over which arrivals and retries count; 0 means no budget
	ColdShare          float64       // least share of its capacity that a replica has just after its start
	ColdDuration       time.Duration // how long after its start a replica is cold
	ColdMultiple       float64       // a cold replica fails if sent more than this multiple of its capacity
	ColdOverloadWindow time.Duration // the time over which that load is measured
}

// Event is something that has happened: Query, SecondStep, Outcome, Confirmed, Gone, ListChange, Share or
// Woken.
type Event interface{ event() }

// Query is a new query with all its parts. IDs are unique among queries and parts.
type Query struct {
	ID     uint64
	Class  int
	Key    string        // what it is about; may be empty
	Left   time.Duration // until the client gives up this try
	Repeat bool          // marked as a repeat by the client
	Tenant int           // its tenant, see Settings.Tenants; 0 if it has none
	Parts  []Part

	// Attempts bounds the attempts of each part, in addition to Settings.MaxAttempts; 0 means no further
	// bound.
	Attempts int
}

// Part is the piece of a query that one shard answers.
type Part struct {
	ID     uint64
	Shard  int
	Weight float64 // the weights of a query's parts sum to 1

	// Holders are the IDs of the replicas that hold the shard for this query. They need not be in the member
	// list. Nil means the replicas given by Settings.Cells. The slice is not modified. Each query keeps its
	// own holders, whichever other queries give for the same shard.
	Holders []string
}

// SecondStep contains the parts of a query's second step, which follows the first Answer if
// Class.SecondStepParts is above 0. The query's aim and deadline stay the same, and one more final answer
// is due. It is whole only if the first answer was whole and all of these parts are answered. If MinShare
// is below WholeShare, MinShare is also the least share of these parts that the query may be answered
// from; otherwise all of them are needed.
type SecondStep struct {
	Query uint64
	Parts []Part
}

// Status is how an attempt ended.
type Status int

// The ways an attempt can end. Full, NoConnection and NotSent prove that it never ran.
const (
	OK           Status = iota
	Failed              // the replica returned an error
	Full                // the replica turned it away without running it
	TimedOut            // no answer in time
	NoConnection        // no connection was established in time
	Reset               // the connection broke
	Cancelled           // by Cancel
	NotSent             // the gatherer did not send it, for example because the part had ended
)

// statusNames are the names of the statuses in logs.
var statusNames = map[Status]string{
	OK: "ok", Failed: "failed", Full: "full", TimedOut: "timed out",
	NoConnection: "no connection", Reset: "reset", Cancelled: "cancelled", NotSent: "not sent",
}

// String returns the status's name in logs.
func (s Status) String() string { return statusNames[s] }

// Outcome ends one attempt. Each Send is followed by exactly one.
type Outcome struct {
	Part    uint64
	Attempt int // counted from 0 in the order of the part's Sends
	Replica string
	Status  Status
	Took    time.Duration // from the Send until the end
	Load    *Load         // as the replica reported it with its answer; nil if it did not

	// Provisional is whether an answer that is OK may still turn out to be spoilt. Either Confirmed or
	// InDoubt follows, if the part's query is open for that long.
	Provisional bool
	// ClosedByGatherer is whether a Reset is of a connection that the gatherer itself has closed because of
	// another part: it does not show that the replica has crashed.
	ClosedByGatherer bool
}

// Confirmed makes the answer of an attempt final whose Outcome was provisional.
type Confirmed struct {
	Part    uint64
	Attempt int
}

// LateAnswer reports that an attempt was answered well after its Outcome, which was TimedOut or Cancelled.
// The part is over, and the answer counts like any other. Provisional is as in an Outcome.
type LateAnswer struct {
	Part        uint64
	Attempt     int
	Provisional bool
}

// InDoubt reports that a replica may have answered a part, and that nothing can show any more whether the
// answer is good. It must not be used, and the part must not be sent again: the first would be wrong if the
// answer was spoilt, the second if it was good. Only the answer to another attempt in flight can still count.
type InDoubt struct {
	Part    uint64
	Attempt int

	// ClosedByGatherer is whether the gatherer itself has closed the connection because of another part: the
	// replica is not to blame then.
	ClosedByGatherer bool
}

// Load is what a replica reports of itself. It may be seconds old and is somewhat noisy.
type Load struct {
	Waiting float64 // parts that wait to be served, from all gatherers; 0 or more
}

// Gone reports that a query's client has left: no answer is due for it any more.
type Gone struct{ Query uint64 }

// State is a replica's state in the member list.
type State int

// The states of a replica. Removed occurs in changes only.
const (
	Removed State = iota
	Ready
	Draining
)

// Replica is an entry of the member list.
type Replica struct {
	ID      string
	Zone    string
	Cell    int // determines the shards it holds, see Settings.Cells
	State   State
	Started time.Duration // clock time of its last start; 0 means long ago
}

// ListKind is the kind of a ListChange.
type ListKind int

// The kinds of a ListChange.
const (
	Changes ListKind = iota // the changed entries only
	Whole                   // the whole list
	Stale                   // the whole list as it was some time ago
	NoList                  // the request failed or the subscription broke; no entries
)

// ListChange is an update of the member list.
type ListChange struct {
	Kind     ListKind
	Replicas []Replica
}

// Share sets how many slots of the fleet's limits this aggregator may use until clock time Until. The
// limits are divided into Settings.Gatherers slots, which are numbered like the gatherers. Slots is the
// number of slots: that of this gatherer's own number and those of the numbers right before it; 0 means
// none. Before the first Share and after Until, the aggregator uses its own slot only. The sender ensures
// that no two aggregators use the same slot.
type Share struct {
	Slots int
	Until time.Duration
}

// Woken reports that the time of a Wake has come. A Woken that is no longer needed does no harm.
type Woken struct{}

func (Query) event()      {}
func (SecondStep) event() {}
func (Outcome) event()    {}
func (LateAnswer) event() {}
func (InDoubt) event()    {}
func (Confirmed) event()  {}
func (Gone) event()       {}
func (ListChange) event() {}
func (Share) event()      {}
func (Woken) event()      {}

// Action is something for the gatherer to do: Send, Cancel, Answer, Refuse, Fail, Disconnect, Subscribe, Wake
// or Log.
type Action interface{ action() }

// Send starts an attempt of a part. All Sends of one turn to one replica travel as one call of at most
// Settings.MaxBatch parts.
type Send struct {
	Part    uint64
	Replica string
	TimeOut time.Duration
}

// Cancel abandons one attempt. Its Outcome still follows.
type Cancel struct {
	Part    uint64
	Attempt int
}

// Answer is a final answer from the answered parts, except for a query's first one if
// Class.SecondStepParts is above 0: that one starts the second step, and a SecondStep follows in the next
// turn.
type Answer struct {
	Query uint64
	Whole bool
}

// Refuse is a final answer: the query was not served, and a retry does no harm.
type Refuse struct {
	Query      uint64
	RetryAfter time.Duration // 0 means no advice
}

// Fail is a final answer that makes no promise: the query may or may not have run.
type Fail struct{ Query uint64 }

// Subscribe asks discovery for the changes of the member list from now on.
type Subscribe struct{}

// Disconnect closes the idle connections to a replica, so that the next call opens a new one.
type Disconnect struct{ Replica string }

// Wake requests a Woken event in a later turn, After from now.
type Wake struct{ After time.Duration }

// Log is a log line for the operators.
type Log struct{ Text string }

func (Send) action()       {}
func (Cancel) action()     {}
func (Answer) action()     {}
func (Refuse) action()     {}
func (Fail) action()       {}
func (Subscribe) action()  {}
func (Wake) action()       {}
func (Log) action()        {}
func (Disconnect) action() {}
