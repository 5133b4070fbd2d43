// Package stats holds the counters of what a gatherer receives, sends and answers, and logs them under fixed keys. Times
// are measured by package querystats.
package stats

import (
	"log/slog"
	"maps"
	"slices"
	"strings"
	"time"
)

// Counters are the counters of one gatherer. They may be used only on the event loop that
// owns the gatherer; there are no locks.
type Counters struct {
	Taken     int // queries accepted from clients
	Malformed int // requests rejected with a 4xx or 5xx status because they were not valid queries

	Rejected map[string]int // of Malformed, by the text of the status

	RejectedSendsBy map[string]int // of RejectedSends, by reason

	InDoubtBy map[string]int // of InDoubt, by reason

	GivenUpCalls map[string]int // of KeptCalls: given up before their last byte was sent, because a part might not be sent any more, by reason

	Whole               int // answers marked whole
	Partial             int // other answers
	Refused             int // refusals, including those in RefusedAtLimit
	RefusedAtLimit      int // refusals because the maximum number of queries and parts was open
	Failed              int // failures, including those in DeadlineExceeded
	Late                int // answers given after the aim of their class
	Held                int // answers, and first steps, that waited for a provisional answer to be confirmed, with HeldFor and LongestHeld
	Unconfirmed         int // answers, and first steps, from a provisional answer that nothing had confirmed when their time was up
	EndedUnsent         int // refusals and failures of queries of which no part was ever sent, except those in RefusedAtLimit
	DeadlineExceeded    int // queries that the core had to end at their deadline
	CutShort            int // queries that the core ended before their deadline because the process was ending
	ClientsDisconnected int // queries whose client disconnected

	DisconnectedUnread int // of ClientsDisconnected: found disconnected when parts were about to be sent, before the end of the connection was read

	Turns            int
	Calls            int // calls given to the searcher connections
	Sent             int // parts in these calls
	SecondSteps      int
	Retries          int // of Sent: attempts of a part after its first
	SecondCopies     int // of Retries: sent while another attempt of the part was in flight
	SentToCold       int // of Sent: parts to searchers that had started less than the configured cold time before
	RejectedSends    int // sends that the core rejected
	KeptCalls        int // of Calls: calls whose frame the system did not accept whole at once
	OK               int // outcomes of attempts, by kind
	Errors           int
	Skipped          int
	TimedOut         int
	ExpiredUnread    int // times that an attempt was given more time because data of its searcher was not read yet
	Unconnected      int
	Reset            int
	Cancelled        int
	Provisional      int // of OK: answers while other parts waited on their connection and nothing behind them confirmed them yet
	LateAnswers      int // answers to attempts that had timed out or were cancelled before, to parts that were still wanted
	InDoubt          int // answers that nothing can show to be good or spoilt any more, before their query had its final answer
	RefutedLate      int // of Provisional: answers that were refuted after they had been used
	Reports          int // of OK, Errors and Skipped: answers with a load report that is used
	MalformedReports int // of OK, Errors and Skipped: answers with a load report that can't be used

	Clients          int            // connections opened by clients
	Reused           int            // requests on a client connection that had carried another before
	ClosedWithAnswer int            // client connections that ended with an answer because many were idle
	ClosedIdle       int            // client connections closed between requests because many were idle
	ClosedSilent     int            // client connections closed because no request arrived
	Evicted          map[string]int // client connections closed to make room for others, by rank
	NotClosed        int            // times that a client connection was left open because it had unread bytes or an unsent answer
	EvictedInUse     int            // of Evicted: connections that had unread bytes or an unsent answer
	LeftUnread       int            // client connections whose client was found to have left while nothing was read from them
	WaitedForRoom    int            // times that a request waited, unread, for room in the memory of clients
	RefusedForMemory int            // requests and queries refused because there was no room for them
	ShedForMemory    int            // queries ended and connections closed because there was no room for what had arrived
	ClosedUnread     int            // client connections closed because the client did not read its answers
	ClosedClients    map[string]int // client connections that have ended, by reason

	HeldBytes map[string]int // bytes held now, by kind

	Dialed                   int // connections opened to searchers
	DialFails                int // failed attempts to open one
	IdleClosed               int // connections to searchers closed because they were idle
	ClosedBySearcher         int // connections closed by their searcher
	ClosedBySearcherInFlight int // of ClosedBySearcher: with attempts in flight
	ParallelDials            int // of Dialed and DialFails: dialed while another connection to the same searcher was open
	HalfOpen                 int // connections to searchers considered half-open because nothing was received while an attempt was in flight
	MalformedConns           int // connections to searchers closed because of a malformed response
	StoppedForDrain          int // connections no longer written to because a part was still in their buffer when their searcher was reported as draining or removed
	ConnsToRestartedSearcher int // connections closed because their searcher has restarted since they were opened
	ClosedToAbandon          int // connections closed to abandon an attempt, because they carried the maximum number of attempts or had unsent data
	StoppedForMemory         int // connections no longer written to because unsent frames to searchers took too much memory
	SkippedClosed            int // times that a connection was not used because its searcher had closed it, although the close had not been read yet
	Watches                  int // watches opened
	WatchFails               int // watches that failed or ended
	Updates                  int // member lists and changes received
	MalformedLists           int // member lists and changes that can't be used
	DuplicateMembers         int // members that were listed twice in a list
	DelayedForUpdates        int // times that sends were delayed because an update had arrived that was not read yet
	RejectedMembers          int // entries of ready members that were rejected because they came from an older list
	ReinstatedMembers        int // of RejectedMembers: made ready later, once their list could not be outdated any more
	ForgottenMembers         int // leaving searchers forgotten too early, because too many were leaving
	EmptyLists               int // of Updates: complete lists without a single searcher, which were ignored

	Epochs        int // epochs of the layout adopted
	EpochsIgnored int // epochs of the layout ignored because they were not newer than the current one
	UnknownEpochs int // queries refused because they named an epoch that is not known yet
	Translated    int // queries whose parts were translated to the current epoch

	Generations         int // generations of settings put in force
	RefusedAtClassLimit int // of RefusedAtLimit: refusals because the maximum number of queries of the class was open

	SystemFails map[string]int // failed and retried system calls on sockets, by call and error
	WakeFails   int            // failed writes to wake the event loop
	PollRetries int            // retries of registrations of sockets with the poller
	Stalls      int            // times that a connection was paused because the system had no memory or buffers
	DialRetries int            // dials retried after failing for a reason on this machine

	LongestEvents map[string]time.Duration // longest time that the event loop took for one event, by kind of connection
	HeldFor       time.Duration            // how long all of Held have waited together
	LongestHeld   time.Duration            // longest time that one of them has waited

	LongestRound time.Duration // longest time that the event loop took for all connections in turn while requests waited
	LongestDelay time.Duration // longest time that due work waited for the event loop

	Reloads     int // configurations reloaded
	ReloadFails int // configurations that could not be used
}

// New returns counters that are all 0.
func New() *Counters {
	return &Counters{
		Evicted: make(map[string]int), Rejected: make(map[string]int), GivenUpCalls: make(map[string]int), RejectedSendsBy: make(map[string]int), InDoubtBy: make(map[string]int), ClosedClients: make(map[string]int), HeldBytes: make(map[string]int),
	}
}

// sortedPairs returns the keys and values of a map, in the order of the keys.
func sortedPairs[V any](values map[string]V) (pairs []any) {
	for _, key := range slices.Sorted(maps.Keys(values)) {
		pairs = append(pairs, strings.ToLower(strings.ReplaceAll(key, " ", "_")), values[key])
	}
	return pairs
}

// LogValue implements slog.LogValuer.
func (c *Counters) LogValue() slog.Value {
	group := func(key string, pairs ...any) slog.Attr { return slog.Group(key, pairs...) }
	system := []any{"wake_fails", c.WakeFails, "poll_retries", c.PollRetries, "stalls", c.Stalls, "dial_retries", c.DialRetries}
	for _, call := range slices.Sorted(maps.Keys(c.SystemFails)) { // names of calls and errors stay as the system spells them
		system = append(system, call, c.SystemFails[call])
	}
	return slog.GroupValue(
		group("system", system...),
		group("in", "taken", c.Taken, "malformed", c.Malformed),
		group("clients", "opened", c.Clients, "reused", c.Reused, "noticed", c.ClosedWithAnswer, "trimmed", c.ClosedIdle,
			"silent", c.ClosedSilent, "spared", c.NotClosed, "crossed", c.EvictedInUse, "unread", c.ClosedUnread, "left_unread", c.LeftUnread, "waited", c.WaitedForRoom, "no_room", c.RefusedForMemory, "shed", c.ShedForMemory),
		group("evicted", sortedPairs(c.Evicted)...),
		group("closed", sortedPairs(c.ClosedClients)...),
		group("rejected", sortedPairs(c.Rejected)...),
		group("held", sortedPairs(c.HeldBytes)...),
		group("longest", append(sortedPairs(c.LongestEvents), "round", c.LongestRound, "delay", c.LongestDelay, "held", c.LongestHeld)...),
		group("answered", "whole", c.Whole, "partial", c.Partial, "refused", c.Refused, "full", c.RefusedAtLimit,
			"late", c.Late, "held", c.Held, "held_for", c.HeldFor, "unconfirmed", c.Unconfirmed, "unsent", c.EndedUnsent, "failed", c.Failed, "overdue", c.DeadlineExceeded, "cut_short", c.CutShort, "gone", c.ClientsDisconnected, "left_unread", c.DisconnectedUnread),
		group("sent", "turns", c.Turns, "calls", c.Calls, "parts", c.Sent, "further", c.Retries, "copies", c.SecondCopies, "cold", c.SentToCold, "second_steps", c.SecondSteps,
			"not_sent", c.RejectedSends, "kept", c.KeptCalls, "dialed", c.Dialed, "dial_fails", c.DialFails,
			"idle_closed", c.IdleClosed, "left", c.ClosedBySearcher, "left_out", c.ClosedBySearcherInFlight,
			"beside", c.ParallelDials, "half_open", c.HalfOpen, "spoilt", c.MalformedConns, "held_back", c.StoppedForDrain,
			"outlived", c.ConnsToRestartedSearcher, "end_unread", c.SkippedClosed, "given_up", c.ClosedToAbandon, "no_room", c.StoppedForMemory),
		group("unsent", sortedPairs(c.GivenUpCalls)...),
		group("not_sent", sortedPairs(c.RejectedSendsBy)...),
		group("in_doubt", sortedPairs(c.InDoubtBy)...),
		group("outcomes", "ok", c.OK, "errors", c.Errors, "skipped", c.Skipped, "timed_out", c.TimedOut, "unread", c.ExpiredUnread,
			"unconnected", c.Unconnected, "reset", c.Reset, "cancelled", c.Cancelled, "provisional", c.Provisional, "late", c.LateAnswers, "in_doubt", c.InDoubt, "refuted_late", c.RefutedLate,
			"reports", c.Reports, "reports_bad", c.MalformedReports),
		group("discovery", "watches", c.Watches, "watch_fails", c.WatchFails, "updates", c.Updates, "empty_lists", c.EmptyLists,
			"lists_bad", c.MalformedLists, "twice", c.DuplicateMembers, "news_first", c.DelayedForUpdates, "doubted", c.RejectedMembers, "reinstated", c.ReinstatedMembers, "forgotten", c.ForgottenMembers),
		group("layout", "epochs", c.Epochs, "epochs_old", c.EpochsIgnored, "epochs_ahead", c.UnknownEpochs,
			"translated", c.Translated),
		group("config", "reloads", c.Reloads, "reload_fails", c.ReloadFails, "generations", c.Generations,
			"class_full", c.RefusedAtClassLimit),
	)
}
