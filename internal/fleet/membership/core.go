package membership

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"eiderwinch/internal/timerqueue"
)

// Event is an input of Step.
type Event interface{ event() }

// The events.
type (
	// Wake reports that the time returned by Due has come.
	Wake struct{}
	// Received is a message received from an address.
	Received struct {
		From string
		Data []byte
	}
	// Join names seeds: addresses at which other members may be.
	Join struct{ Seeds []string }
	// Describe sets what the gatherer itself serves from now on.
	Describe struct{ Generation, Epoch uint64 }
	// Leave reports that the gatherer is about to end.
	Leave struct{}
)

func (Wake) event()     {}
func (Received) event() {}
func (Join) event()     {}
func (Describe) event() {}
func (Leave) event()    {}

// Effect is what the caller of Step must carry out, in order.
type Effect interface{ effect() }

// The effects.
type (
	// Send sends a message: over a stream if Stream is set, because it may be longer than a datagram, otherwise as a
	// datagram.
	Send struct {
		To     string
		Data   []byte
		Stream bool
	}
	// ViewChanged reports a new membership view.
	ViewChanged struct{ View View }
	// MemberChanged reports a new member, or a member whose state has changed.
	MemberChanged struct {
		Member   Member
		Previous State
		New      bool // the member was not known before
	}
	// SteppedDown reports that a newer process has the member's name and answers at its address. The Core does nothing
	// from then on.
	SteppedDown struct{ Newer Member }
	// Warn reports something that operators should know.
	Warn struct{ Text string }
)

func (Send) effect()          {}
func (ViewChanged) effect()   {}
func (MemberChanged) effect() {}
func (SteppedDown) effect()   {}
func (Warn) effect()          {}

// peer is another member.
type peer struct {
	Member
	stateSince   time.Time                // when any member found out the state; Suspect: when this member learned of it
	lastReceived time.Time                // when any member last received a message from it directly; gives the age of updates about it
	accusers     map[string]struct{}      // Suspect: the members that suspect it
	timer        timerqueue.Timer[func()] // Suspect: when it is declared dead; Dead, Left: when it is forgotten
}

// Core is the state of one member. It belongs to one goroutine.
type Core struct {
	settings       Settings
	self           Member
	rng            *rand.Rand
	now            time.Time
	timers         timerqueue.Queue[func()]
	peers          map[string]*peer
	seeds          []string
	probeOrder     []string // members still to be probed in this round, in random order
	probe          *probe   // in progress; nil if there is none
	indirectProbes map[uint64]*indirectProbe
	seq            uint64
	localHealth    int // Lifeguard's local health: 0 is healthy, maxLocalHealth is the worst
	queue          []*queuedUpdate
	tokens         float64   // bytes of updates that may be sent
	tokensAt       time.Time // when tokens was last refilled
	view           View
	viewChanged    bool // the active members, or what they serve, have changed in this step
	contentDigest  uint64
	conflict       *nameConflict
	stallDuration  time.Duration // how long this member last did not run
	stallUntil     time.Time     // messages that arrive until then may have waited for stallDuration
	mismatches     int           // consecutive answers from members with other digests
	leaving        bool
	steppedDown    bool
	counts         Counts
	effects        []Effect

	gossipTimer timerqueue.Timer[func()]
}

// probe is a probe in progress.
type probe struct {
	target   string
	seq      uint64
	answered bool
	helpers  []string // members that were asked to probe the target
	nacks    int      // number of helpers that reported that the target has not answered
}

// indirectProbe is a probe made on behalf of another member.
type indirectProbe struct {
	requester string // its address
	seq       uint64 // of the requester's probe
	answered  bool
}

// nameConflict is another process that has the member's own name according to an update.
type nameConflict struct {
	member Member
	seq    uint64 // of the pings that find out whether the process exists
}

// maxLocalHealth is the worst local health. Waits are multiplied by the local health plus one.
const maxLocalHealth = 8

// New returns a member that knows no other. self.Incarnation.Start belongs to its process: it should be above that of
// all earlier processes of the name, as far as that can be known. If it is not, the member takes a higher one when an
// update shows it an earlier process.
func New(settings Settings, self Member, seed uint64, now time.Time) (*Core, error) {
	if err := settings.Check(); err != nil {
		return nil, err
	}
	if self.Name == "" || len(self.Name) > maxNameBytes || self.Addr == "" || len(self.Addr) > maxNameBytes || len(self.Zone) > maxNameBytes {
		return nil, fmt.Errorf("membership: member %q at %q, want a name and an address of at most %d bytes", self.Name, self.Addr, maxNameBytes)
	}
	self.State = Alive
	c := &Core{
		settings: settings, self: self, rng: rand.New(rand.NewPCG(seed, 0x76696577)), now: now, tokensAt: now,
		peers: make(map[string]*peer), indirectProbes: make(map[uint64]*indirectProbe), tokens: float64(settings.MaxUpdateBytesPerSecond),
	}
	c.gossipTimer.Value = c.gossip
	c.view = View{Number: 1, Members: []Member{self}, Digest: digest([]Member{self})}
	c.contentDigest = contentDigest(c.view.Members)
	c.schedule(c.jitter(settings.ProbeInterval), c.probeNext)
	c.schedule(c.jitter(settings.SyncInterval), c.syncNext)
	c.schedule(c.jitter(settings.ReconnectInterval), c.reconnectNext)
	return c, nil
}

// Self returns the member itself.
func (c *Core) Self() Member { return c.self }

// View returns the active members as of the last step.
func (c *Core) View() View { return c.view }

// Counts returns the counters.
func (c *Core) Counts() Counts { return c.counts }

// LocalHealth returns 0 if the member has no reason to believe that it is slow itself, and at most 8.
func (c *Core) LocalHealth() int { return c.localHealth }

// Known returns all known members by name, including those that are gone.
func (c *Core) Known() []Member {
	list := []Member{c.self}
	for _, p := range c.peers {
		list = append(list, p.Member)
	}
	slices.SortFunc(list, byName)
	return list
}

// Due returns when Wake is needed next, or zero if it is not.
func (c *Core) Due() time.Time { return c.timers.Next() }

// Step processes an event. now must not go back between calls.
func (c *Core) Step(now time.Time, e Event) []Effect {
	c.effects = nil
	if c.steppedDown {
		return nil
	}
	// The timers wake the member at least about every ReconnectInterval. If the gap is more than twice that, the
	// member itself did not run, and the messages that waited meanwhile are older than their ages say.
	if gap := now.Sub(c.now); gap > 2*c.settings.ReconnectInterval {
		c.stallDuration, c.stallUntil = gap, now.Add(c.settings.ProbeInterval)
	}
	c.now = now
	switch e := e.(type) {
	case Received:
		c.receive(e)
	case Join:
		for _, s := range e.Seeds {
			if s != c.self.Addr && !slices.Contains(c.seeds, s) {
				c.seeds = append(c.seeds, s)
				c.sendSync(s, "", sync)
			}
		}
	case Describe:
		if c.self.Generation != e.Generation || c.self.Epoch != e.Epoch {
			c.self.Generation, c.self.Epoch = e.Generation, e.Epoch
			c.announceSelf()
		}
	case Leave:
		c.leaving, c.self.State = true, Left
		c.queueUpdate(update{Member: c.self})
		c.gossip()
	}
	for t := c.timers.Pop(now); t != nil && !c.steppedDown; t = c.timers.Pop(now) {
		t.Value()
	}
	if c.viewChanged && !c.steppedDown {
		c.viewChanged = false
		members := activeMembers(c.self, c.peers)
		c.contentDigest = contentDigest(members)
		if d := digest(members); d != c.view.Digest {
			c.view = View{Number: c.view.Number + 1, Digest: d, Members: members}
			c.emit(ViewChanged{c.view})
		} else {
			c.view.Members = members
		}
	}
	return c.effects
}

func (c *Core) emit(e Effect) { c.effects = append(c.effects, e) }

func (c *Core) warn(format string, args ...any) { c.emit(Warn{fmt.Sprintf(format, args...)}) }

func (c *Core) schedule(d time.Duration, f func()) {
	c.timers.Set(&timerqueue.Timer[func()]{Value: f}, c.now.Add(d))
}

// jitter returns a random duration between three quarters and five quarters of d.
func (c *Core) jitter(d time.Duration) time.Duration {
	return d*3/4 + time.Duration(c.rng.Int64N(int64(d/2)+1))
}

// scaleByHealth lengthens a wait by how slow the member itself is.
func (c *Core) scaleByHealth(d time.Duration) time.Duration {
	return d * time.Duration(c.localHealth+1)
}

// adjustHealth makes the local health worse by delta, or better if delta is negative.
func (c *Core) adjustHealth(delta int) {
	c.localHealth = min(max(c.localHealth+delta, 0), maxLocalHealth)
}

// size returns the number of active members.
func (c *Core) size() int { return len(c.view.Members) }

// logSize returns the decimal logarithm of the fleet's size, but at least 1.
func (c *Core) logSize() float64 { return max(math.Log10(float64(c.size()+1)), 1) }

// send sends a message with as many updates as fit.
func (c *Core) send(to string, m message) {
	m.Version, m.From, m.Start, m.Digest = Version, c.self.Name, c.self.Incarnation.Start, c.view.Digest
	m.ContentDigest = c.contentDigest
	stream := m.Kind == sync || m.Kind == syncReply
	if !stream && m.Kind != refusal {
		m.Updates = append(m.Updates, c.takeUpdates(c.settings.MaxPacketSize-messageOverhead, m.Updates)...)
	}
	b := m.encode()
	c.counts.Sent++
	c.counts.SentBytes += len(b)
	c.emit(Send{To: to, Data: b, Stream: stream})
}

// messageOverhead is the maximum size of a message without updates: two names and an address of maxNameBytes, and
// numbers.
const messageOverhead = 3*maxNameBytes + 64

// announceSelf queues an update about the member itself.
func (c *Core) announceSelf() {
	c.viewChanged = true
	c.queueUpdate(update{Member: c.self})
}

// pickPeers returns up to n active members other than those named: alive ones in random order, then suspect ones.
func (c *Core) pickPeers(n int, except ...string) []*peer {
	var alive, suspects []*peer
	for _, m := range c.view.Members {
		switch p := c.peers[m.Name]; {
		case p == nil || slices.Contains(except, m.Name):
		case p.State == Alive:
			alive = append(alive, p)
		case p.State == Suspect:
			suspects = append(suspects, p)
		}
	}
	c.rng.Shuffle(len(alive), func(i, j int) { alive[i], alive[j] = alive[j], alive[i] })
	alive = append(alive, suspects...)
	return alive[:min(n, len(alive))]
}
