// Package stats counts what the program takes in, sends and answers.
package stats

import (
	"log/slog"
	"maps"
	"slices"
)

// Counters belongs to the loop that owns the gatherer; it has no locks.
type Counters struct {
	Taken     int // queries taken from clients
	Malformed int // requests answered with a 4xx or 5xx for their form

	Whole    int // answers marked whole
	Partial  int // other answers
	Refused  int // refusals, those at the limit included
	Full     int // refusals since as many were open as may be
	Failed   int // failures, overdue ones included
	Late     int // answers after their class's aim
	Unsent   int // refusals and failures of queries of which no part was ever sent, those for want of room aside
	Overdue  int // queries that the core had to end at their deadline
	CutShort int // those that it ended before, for the end of the process
	Gone     int // queries whose client left

	LeftUnread int // of Gone: found out as they were to be sent on, before the client's end was read

	Turns       int
	Calls       int // calls given to the searcher connections
	Sent        int // parts in them
	SecondSteps int
	Further     int // of Sent: attempts of a part after its first
	Copies      int // of Further: those sent while another attempt of the part was out
	Cold        int // of Sent: parts to searchers that had started less than the settings' cold time before
	NotSent     int // sends that the core did not let out
	OK          int // outcomes, by kind
	Errors      int
	Skipped     int
	TimedOut    int
	Unconnected int
	Reset       int
	Cancelled   int
	Reports     int // of OK, Errors and Skipped: answers with a load report that is used
	ReportsBad  int // those whose report can't be used

	Clients int            // connections that clients opened
	Reused  int            // requests on one that had carried another before
	Noticed int            // those told to end by an answer, since many were idle
	Trimmed int            // idle ones closed between requests, since many were
	Silent  int            // those closed since no request came
	Evicted map[string]int // those closed to make room for others, by rank
	Spared  int            // those not chosen for that, since something had come on them
	Crossed int            // of Evicted: those on which something had come that was not read, or whose answer had not left
	Unread  int            // those closed since their client did not read its answers

	Dialed     int // connections opened to searchers
	DialFails  int
	IdleClosed int // connections to searchers closed as idle
	Left       int // those that their searchers ended
	LeftOut    int // of Left: with parts out
	Beside     int // of Dialed and DialFails: dialed while another to the same searcher was open
	HalfOpen   int // those set aside since nothing came on them while a part was out
	Spoilt     int // those closed for what they carried
	HeldBack   int // those closed since a part was still in their buffer when its searcher was told to leave
	Outlived   int // those closed since their searcher has started anew since they came up
	GivenUp    int // those closed to give a part up, since they carried as many as they may
	EndUnread  int // those not used since their searcher had ended them, which was not read yet
	Watches    int // watches opened
	WatchFails int // those of them that failed or ended
	Updates    int // lists and changes received
	ListsBad   int // lists and changes that can't be used
	Twice      int // members that stood twice in a list
	NewsFirst  int // times that sends waited since news had come which was not read
	Doubted    int // members that an older list had back, which was not believed
	EmptyLists int // of Updates: whole lists without a single searcher, passed over

	Epochs      int // epochs of the layout taken up
	EpochsOld   int // those that were not newer than the one at hand
	EpochsAhead int // queries refused that named an epoch not known yet
	Translated  int // queries whose parts were translated to the epoch at hand

	Generations int // settings put in force
	ClassFull   int // refusals since as many of the class were open as may be; of Full

	SystemFails map[string]int // system calls on sockets that have failed and were tried again, by call and error
	WakeFails   int            // writes that wake the event loop
	PollRetries int            // registrations of sockets that were tried again
	Stalls      int            // connections left alone for a moment, since the system had no memory or buffers
	DialRetries int            // dials tried again, since they failed for a reason on this machine

	Reloads     int // configurations read again
	ReloadFails int // those that could not be used
}

// New returns counters that are all 0.
func New() *Counters { return &Counters{Evicted: make(map[string]int)} }

// LogValue implements slog.LogValuer.
func (c *Counters) LogValue() slog.Value {
	group := func(key string, pairs ...any) slog.Attr { return slog.Group(key, pairs...) }
	var evicted []any
	for _, rank := range slices.Sorted(maps.Keys(c.Evicted)) {
		evicted = append(evicted, rank, c.Evicted[rank])
	}
	system := []any{"wake_fails", c.WakeFails, "poll_retries", c.PollRetries, "stalls", c.Stalls, "dial_retries", c.DialRetries}
	for _, call := range slices.Sorted(maps.Keys(c.SystemFails)) {
		system = append(system, call, c.SystemFails[call])
	}
	return slog.GroupValue(
		group("system", system...),
		group("in", "taken", c.Taken, "malformed", c.Malformed),
		group("clients", "opened", c.Clients, "reused", c.Reused, "noticed", c.Noticed, "trimmed", c.Trimmed,
			"silent", c.Silent, "spared", c.Spared, "crossed", c.Crossed, "unread", c.Unread),
		group("evicted", evicted...),
		group("answered", "whole", c.Whole, "partial", c.Partial, "refused", c.Refused, "full", c.Full,
			"late", c.Late, "unsent", c.Unsent, "failed", c.Failed, "overdue", c.Overdue, "cut_short", c.CutShort, "gone", c.Gone, "left_unread", c.LeftUnread),
		group("sent", "turns", c.Turns, "calls", c.Calls, "parts", c.Sent, "further", c.Further, "copies", c.Copies, "cold", c.Cold, "second_steps", c.SecondSteps,
			"not_sent", c.NotSent, "dialed", c.Dialed, "dial_fails", c.DialFails,
			"idle_closed", c.IdleClosed, "left", c.Left, "left_out", c.LeftOut,
			"beside", c.Beside, "half_open", c.HalfOpen, "spoilt", c.Spoilt, "held_back", c.HeldBack,
			"outlived", c.Outlived, "end_unread", c.EndUnread, "given_up", c.GivenUp),
		group("outcomes", "ok", c.OK, "errors", c.Errors, "skipped", c.Skipped, "timed_out", c.TimedOut,
			"unconnected", c.Unconnected, "reset", c.Reset, "cancelled", c.Cancelled, "reports", c.Reports, "reports_bad", c.ReportsBad),
		group("discovery", "watches", c.Watches, "watch_fails", c.WatchFails, "updates", c.Updates, "empty_lists", c.EmptyLists,
			"lists_bad", c.ListsBad, "twice", c.Twice, "news_first", c.NewsFirst, "doubted", c.Doubted),
		group("layout", "epochs", c.Epochs, "epochs_old", c.EpochsOld, "epochs_ahead", c.EpochsAhead,
			"translated", c.Translated),
		group("config", "reloads", c.Reloads, "reload_fails", c.ReloadFails, "generations", c.Generations,
			"class_full", c.ClassFull),
	)
}
