// Package follow decides when discovery is asked for the list of searchers, which of the
// asks counts, and what of the list may be believed. It does no I/O and reads no clock;
// what belongs to one gatherer belongs to one goroutine.
//
// News of a searcher that leaves counts as told while no watch is open, too: what an agent
// on the gatherer's own machine has counts at once, and nothing may be sent there after
// Settings.Grace. So a Follower that has lost its watch asks again within a part of that
// grace, and does not wait until an ask has failed: asks that hang stay open beside the
// next ones, and the first that brings something counts.
//
// Where lists are asked of one service by all gatherers (not Settings.Pushed), asks cost
// that service work, and news counts later. There waits grow, see package backoff.
package follow

import (
	"math/rand/v2"
	"slices"
	"time"

	"eiderwinch/internal/backoff"
)

const (
	// silence is how long a watch may bring nothing: an empty line comes every 2 s. What a
	// silent one misses counts as told 6 s after it fell silent.
	silence = 2500 * time.Millisecond

	// Asks to an agent follow each other after a fifth to two fifths of the grace: the rest
	// of it is for the dial, the answer and a loop that is busy.
	paceShare   = 5
	paceLongest = 200 * time.Millisecond

	mostAsks = 5 // that may be open at once; the oldest is given up for the next

	// A shared service fails calls that have waited for their turn for callWait; an ask there
	// is given up a second later.
	callWait  = 2 * time.Second
	shareLife = callWait + time.Second
	// silentCounts is when what a silent watch has missed counts as told, and how late what
	// discovery has to tell counts as told at the latest: so long after it could be reached,
	// whatever became of the calls before.
	silentCounts = 6 * time.Second
	// The next call may wait so long after one that was refused or has ended, and after one that
	// was given up: it may then take its whole callWait, and the rest is for the way and the loop.
	refusedWait = silentCounts - callWait - spareTime
	givenUpWait = refusedWait - shareLife
	spareTime   = 500 * time.Millisecond
)

// Settings are what a Follower keeps to.
type Settings struct {
	Pushed  bool          // an agent on this machine has the list, and answers at no cost
	Grace   time.Duration // after the news that a searcher leaves, until which it may be sent something
	Within  time.Duration // not Pushed: the longest time to go without a watch; 0 means that none is named
	Clients int           // gatherers of the fleet
	Seed    uint64
}

// Ask names one connection to discovery.
type Ask uint64

// ask is one that is open.
type ask struct {
	id     Ask
	opened time.Time
	heard  time.Time // when it last showed that it is alive; zero while it has not
}

// Follower follows discovery at one address.
type Follower struct {
	set  Settings
	rng  *rand.Rand
	wait *backoff.Backoff
	asks []ask // by age
	last Ask
	next time.Time // when to ask again, where no watch is alive
	lost time.Time // since when none is; zero while one is
}

// New returns a Follower that wants to ask at once. Its times come from the seed alone.
func New(set Settings, now time.Time) *Follower {
	return &Follower{
		set: set, rng: rand.New(rand.NewPCG(set.Seed, 0x666f6c6c)), wait: backoff.New(set.Seed, set.Clients),
		next: now, lost: now,
	}
}

// alive tells that a watch is open that has not fallen silent.
func (f *Follower) alive(now time.Time) bool {
	return slices.ContainsFunc(f.asks, func(a ask) bool { return !a.heard.IsZero() && now.Sub(a.heard) < silence })
}

// until is when an ask is given up, if it stays as it is. A watch that has fallen silent
// is kept for a while: it may speak again before another is up.
func (f *Follower) until(a ask) time.Time {
	switch {
	case !a.heard.IsZero():
		return a.heard.Add(2 * silence)
	case f.set.Pushed:
		return a.opened.Add(silence)
	}
	return a.opened.Add(shareLife)
}

// Due is when Run is wanted next.
func (f *Follower) Due() time.Time {
	due := f.next
	if f.lost.IsZero() { // the watch heard last falls silent
		due = time.Time{}
		for _, a := range f.asks {
			if t := a.heard.Add(silence); t.After(due) {
				due = t
			}
		}
	}
	for _, a := range f.asks {
		if t := f.until(a); t.Before(due) {
			due = t
		}
	}
	return due
}

// Run says what is to be done: which asks are to be closed and, where another is to be
// opened, its name. That one is open from now on, until Lost or a later Run says otherwise.
func (f *Follower) Run(now time.Time) (open Ask, drop []Ask) {
	f.asks = slices.DeleteFunc(f.asks, func(a ask) bool {
		over := !now.Before(f.until(a))
		if over {
			drop = append(drop, a.id)
		}
		return over
	})
	if f.alive(now) {
		return 0, drop
	}
	if f.lost.IsZero() {
		f.lost = now
		if !f.set.Pushed {
			f.next = now.Add(f.wait.NextWithin(silentCounts - silence - callWait))
		}
	}
	if now.Before(f.next) {
		return 0, drop
	}
	if len(f.asks) >= mostAsks {
		drop = append(drop, f.asks[0].id)
		f.asks = slices.Delete(f.asks, 0, 1)
	}
	f.last++
	f.asks = append(f.asks, ask{id: f.last, opened: now})
	f.next = now.Add(f.pace())
	return f.last, drop
}

// pace is how long after one ask the next may follow.
func (f *Follower) pace() time.Duration {
	if !f.set.Pushed {
		return shareLife + f.wait.NextWithin(givenUpWait)
	}
	most := min(max(2*f.set.Grace/paceShare, time.Millisecond), paceLongest)
	return most/2 + time.Duration(f.rng.Int64N(int64(most/2)+1))
}

// Heard tells that an ask has shown that it is alive. No further one is opened then; those
// that are stay, until one brings more.
func (f *Follower) Heard(id Ask, now time.Time) {
	if i := f.find(id); i >= 0 {
		f.asks[i].heard = now
		f.lost = time.Time{}
	}
}

// Brought tells that an ask has brought news, or the empty line that says there is none. It
// is followed from then on; it returns all others, which are to be closed.
func (f *Follower) Brought(id Ask, now time.Time) (drop []Ask) {
	i := f.find(id)
	if i < 0 {
		return nil
	}
	f.Heard(id, now)
	a := f.asks[i]
	for _, other := range f.asks {
		if other.id != id {
			drop = append(drop, other.id)
		}
	}
	f.asks = append(f.asks[:0], a)
	f.wait.Reset()
	return drop
}

// Lost tells that an ask could not be opened, or has ended.
func (f *Follower) Lost(id Ask, now time.Time) {
	i := f.find(id)
	if i < 0 {
		return
	}
	alive := !f.asks[i].heard.IsZero()
	f.asks = slices.Delete(f.asks, i, i+1)
	if alive && f.lost.IsZero() && !f.alive(now) {
		f.lost = now
		if !f.set.Pushed {
			f.next = now.Add(f.wait.NextWithin(f.within()))
		}
	}
	if !f.set.Pushed && len(f.asks) == 0 && !alive {
		f.next = now.Add(f.wait.NextWithin(f.within())) // the service has answered that it can't, or can't be reached
	}
}

// within is how long the next call to a shared service may wait after one that has ended.
func (f *Follower) within() time.Duration {
	if f.set.Within > 0 {
		return min(f.set.Within/2, refusedWait)
	}
	return refusedWait
}

func (f *Follower) find(id Ask) int {
	return slices.IndexFunc(f.asks, func(a ask) bool { return a.id == id })
}
