// Package discovery decides when a gatherer requests the member list from discovery, which
// of its requests is used, and which entries of a list are accepted. It does no I/O and
// reads no clock, and its types are not safe for concurrent use.
//
// A gatherer counts as notified that a searcher leaves even while it has no watch open: if
// the list comes from an agent on the gatherer's own machine, from the moment at which the
// agent has the update. Settings.DrainGrace later nothing may be sent to the searcher any more.
// So a Follower that has lost its watch sends the next request within a fraction of that
// grace, and does not wait until a request has failed: requests that hang stay open along
// with the next ones, and the first one that receives an update is used.
//
// If all gatherers request the list from one shared service (Settings.Pushed is false),
// each request costs that service work, and the gatherer counts as notified later. In that
// case the waits grow, see package backoff.
package discovery

import (
	"math/rand/v2"
	"slices"
	"time"

	"eiderwinch/internal/backoff"
)

const (
	// silenceTimeout is the time without any data after which a watch counts as silent:
	// discovery sends an empty line every 2 s. The gatherer counts as notified of an update
	// that a silent watch misses 6 s after the watch fell silent.
	silenceTimeout = 2500 * time.Millisecond

	// Requests to an agent follow each other after a fifth to two fifths of the grace, and at
	// most maxAgentInterval. The rest of the grace is for dialing, the answer and a busy event
	// loop.
	agentIntervalShare = 5
	maxAgentInterval   = 200 * time.Millisecond

	maxOpenRequests = 5 // the oldest request is given up for a further one

	// A shared service fails calls that have waited in its queue for queueTimeout; a request to
	// it is given up a second later.
	queueTimeout         = 2 * time.Second
	sharedRequestTimeout = queueTimeout + time.Second
	// silentNotifyDelay is the time from when a watch fell silent until the gatherer counts as
	// notified of an update that the watch has missed. It is also the time from when discovery
	// could be reached until the gatherer counts as notified of all that discovery knows, whatever
	// the result of earlier calls.
	silentNotifyDelay = 6 * time.Second
	// Maximum waits for the next call after one that was refused or has ended, and after one that
	// was given up. The next call may then take its whole queueTimeout; waitReserve is for the
	// network and the event loop.
	maxWaitAfterRefusal = silentNotifyDelay - queueTimeout - waitReserve
	maxWaitAfterGivenUp = maxWaitAfterRefusal - sharedRequestTimeout
	waitReserve         = 500 * time.Millisecond
)

// Settings configure a Follower.
type Settings struct {
	Pushed              bool          // an agent on this machine has the list, and requests to it cost nothing
	DrainGrace          time.Duration // how long attempts may still be sent to a searcher after the notification that it is leaving
	MaxTimeWithoutWatch time.Duration // not Pushed: the maximum time without a watch; 0 means that none is set
	Gatherers           int           // gatherers in the fleet
	Seed                uint64
}

// RequestID identifies one request to discovery, which has a connection of its own.
type RequestID uint64

// request is an open request.
type request struct {
	id           RequestID
	opened       time.Time
	lastReceived time.Time // when it last showed that it is alive; zero if it has not yet
}

// Follower decides when the member list is requested from discovery at one address.
type Follower struct {
	settings    Settings
	rng         *rand.Rand
	backoff     *backoff.Backoff
	requests    []request // oldest first
	lastID      RequestID
	nextRequest time.Time // when to send the next request, if no watch is alive
	lostSince   time.Time // since when no watch is alive; zero while one is
}

// New returns a Follower that sends its first request at once. Its random waits are
// determined by the seed.
func New(settings Settings, now time.Time) *Follower {
	return &Follower{
		settings: settings, rng: rand.New(rand.NewPCG(settings.Seed, 0x666f6c6c)),
		backoff:     backoff.New(settings.Seed, settings.Gatherers),
		nextRequest: now, lostSince: now,
	}
}

// hasLiveWatch reports whether a watch is open that has not fallen silent.
func (f *Follower) hasLiveWatch(now time.Time) bool {
	return slices.ContainsFunc(f.requests, func(r request) bool {
		return !r.lastReceived.IsZero() && now.Sub(r.lastReceived) < silenceTimeout
	})
}

// expires returns when a request is given up if nothing more is received on it. A watch
// that has fallen silent is kept for a while, because it may receive something again before
// another one is established.
func (f *Follower) expires(r request) time.Time {
	switch {
	case !r.lastReceived.IsZero():
		return r.lastReceived.Add(2 * silenceTimeout)
	case f.settings.Pushed:
		return r.opened.Add(silenceTimeout)
	}
	return r.opened.Add(sharedRequestTimeout)
}

// Due returns when Run is to be called next.
func (f *Follower) Due() time.Time {
	due := f.nextRequest
	if f.lostSince.IsZero() { // due when the watch that received something last falls silent
		due = time.Time{}
		for _, r := range f.requests {
			if t := r.lastReceived.Add(silenceTimeout); t.After(due) {
				due = t
			}
		}
	}
	for _, r := range f.requests {
		if t := f.expires(r); t.Before(due) {
			due = t
		}
	}
	return due
}

// Run returns the ID of a request that the caller must send now, or 0 if it must send none,
// and the IDs of those that it must close. The new request counts as open until RequestEnded
// or a later Run ends it.
func (f *Follower) Run(now time.Time) (open RequestID, drop []RequestID) {
	f.requests = slices.DeleteFunc(f.requests, func(r request) bool {
		expired := !now.Before(f.expires(r))
		if expired {
			drop = append(drop, r.id)
		}
		return expired
	})
	if f.hasLiveWatch(now) {
		return 0, drop
	}
	if f.lostSince.IsZero() {
		f.lostSince = now
		if !f.settings.Pushed {
			f.nextRequest = now.Add(f.backoff.NextWithin(silentNotifyDelay - silenceTimeout - queueTimeout))
		}
	}
	if now.Before(f.nextRequest) {
		return 0, drop
	}
	if len(f.requests) >= maxOpenRequests {
		drop = append(drop, f.requests[0].id)
		f.requests = slices.Delete(f.requests, 0, 1)
	}
	f.lastID++
	f.requests = append(f.requests, request{id: f.lastID, opened: now})
	f.nextRequest = now.Add(f.requestInterval())
	return f.lastID, drop
}

// requestInterval returns how long after a request the next one may follow.
func (f *Follower) requestInterval() time.Duration {
	if !f.settings.Pushed {
		return sharedRequestTimeout + f.backoff.NextWithin(maxWaitAfterGivenUp)
	}
	longest := min(max(2*f.settings.DrainGrace/agentIntervalShare, time.Millisecond), maxAgentInterval)
	return longest/2 + time.Duration(f.rng.Int64N(int64(longest/2)+1))
}

// MarkAlive records that a request has shown that it is alive. No further request is sent then;
// the open ones stay open until one of them receives an update.
func (f *Follower) MarkAlive(id RequestID, now time.Time) {
	if i := f.index(id); i >= 0 {
		f.requests[i].lastReceived = now
		f.lostSince = time.Time{}
	}
}

// RecordUpdate records that a request has received an update, or the empty line that says that
// there is none. That request is the watch from then on. RecordUpdate returns the IDs of all
// others, which the caller must close.
func (f *Follower) RecordUpdate(id RequestID, now time.Time) (drop []RequestID) {
	i := f.index(id)
	if i < 0 {
		return nil
	}
	f.MarkAlive(id, now)
	r := f.requests[i]
	for _, other := range f.requests {
		if other.id != id {
			drop = append(drop, other.id)
		}
	}
	f.requests = append(f.requests[:0], r)
	f.backoff.Reset()
	return drop
}

// RequestEnded records that a request could not be opened or has ended.
func (f *Follower) RequestEnded(id RequestID, now time.Time) {
	i := f.index(id)
	if i < 0 {
		return
	}
	alive := !f.requests[i].lastReceived.IsZero()
	f.requests = slices.Delete(f.requests, i, i+1)
	if alive && f.lostSince.IsZero() && !f.hasLiveWatch(now) {
		f.lostSince = now
		if !f.settings.Pushed {
			f.nextRequest = now.Add(f.backoff.NextWithin(f.maxWait()))
		}
	}
	if !f.settings.Pushed && len(f.requests) == 0 && !alive {
		f.nextRequest = now.Add(f.backoff.NextWithin(f.maxWait())) // the service has refused the call, or can't be reached
	}
}

// maxWait returns the maximum wait for the next call to a shared service after one that was
// refused or has ended.
func (f *Follower) maxWait() time.Duration {
	if f.settings.MaxTimeWithoutWatch > 0 {
		return min(f.settings.MaxTimeWithoutWatch/2, maxWaitAfterRefusal)
	}
	return maxWaitAfterRefusal
}

func (f *Follower) index(id RequestID) int {
	return slices.IndexFunc(f.requests, func(r request) bool { return r.id == id })
}
