// Package membership maintains what one gatherer believes about the other gatherers of its fleet: which of them are
// there, which are not, and what each serves. It does no I/O, reads no clock and starts no goroutine: Step takes an
// event and returns effects, which are byte-identical for the same seed and events.
//
// Failures are detected as in SWIM (Das, Gupta, Motivala: "SWIM: Scalable Weakly-consistent Infection-style Process
// Group Membership Protocol", 2002): each member probes one other member per period, indirectly through some others
// if it does not answer, and declares it suspect before it declares it dead, so that a live member can refute that.
// The timeouts follow Lifeguard (Dadgar, Phillips, Currey: "Lifeguard: Local Health Awareness for More Accurate
// Failure Detection", 2018): a member that has reason to believe that it is slow itself waits longer, and a
// suspicion lasts shorter the more members confirm it.
//
// Members do not agree on a common view. What a membership view may be used for, and what not, is in docs/fleet-view.md.
package membership

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// State is what is believed about a member.
type State uint8

// The states. Of two updates about one incarnation, the one with the later state takes precedence.
const (
	Alive State = iota
	Suspect
	Dead
	Left // the member has announced it itself
)

func (s State) String() string {
	if int(s) < len(stateNames) {
		return stateNames[s]
	}
	return fmt.Sprintf("state %d", s)
}

var stateNames = [...]string{"alive", "suspect", "dead", "left"}

// Incarnation orders the updates about one name. Start belongs to a process: a later process of the name has a higher
// one. Seq grows each time that process refutes that it is suspect or dead.
type Incarnation struct {
	Start uint64 `cbor:"1,keyasint"`
	Seq   uint64 `cbor:"2,keyasint,omitempty"`
}

// Compare returns a value below 0 if a is older than b, 0 if they are equal, and a value above 0 otherwise.
func (a Incarnation) Compare(b Incarnation) int {
	return cmp.Or(cmp.Compare(a.Start, b.Start), cmp.Compare(a.Seq, b.Seq))
}

// Member is one gatherer as known by another.
type Member struct {
	Name        string      `cbor:"1,keyasint"`
	Incarnation Incarnation `cbor:"2,keyasint"`
	State       State       `cbor:"3,keyasint,omitempty"`
	Addr        string      `cbor:"4,keyasint"`
	Zone        string      `cbor:"5,keyasint,omitempty"`
	Generation  uint64      `cbor:"6,keyasint,omitempty"` // of its configuration
	Epoch       uint64      `cbor:"7,keyasint,omitempty"` // of its layout
}

// Active reports whether the member belongs to the membership view. A suspect one does.
func (m Member) Active() bool { return m.State == Alive || m.State == Suspect }

// View is a membership view: the active members, as one gatherer knows them. Two gatherers with the same Digest have
// the same active processes. Number is local to the gatherer and grows with each change of its view.
type View struct {
	Number  uint64
	Digest  uint64
	Members []Member // the active members by name, including the gatherer itself
}

// digest identifies the processes, independent of their states and of what they serve.
func digest(members []Member) uint64 {
	h := xxhash.New()
	var b []byte
	for _, m := range members {
		b = fmt.Appendf(b[:0], "%s\x00%d\x00", m.Name, m.Incarnation.Start)
		_, _ = h.Write(b) // never fails
	}
	return h.Sum64()
}

// contentDigest also covers what the active members serve, and their addresses.
func contentDigest(members []Member) uint64 {
	h := xxhash.New()
	var b []byte
	for _, m := range members {
		b = fmt.Appendf(b[:0], "%s\x00%d\x00%d\x00%d\x00%s\x00", m.Name, m.Incarnation.Start, m.Generation, m.Epoch, m.Addr)
		_, _ = h.Write(b)
	}
	return h.Sum64()
}

func byName(a, b Member) int { return cmp.Compare(a.Name, b.Name) }

// Settings configure the members of a fleet. All members should have the same.
type Settings struct {
	// ProbeInterval is how often a member probes another, and ProbeTimeout how long it waits for the direct answer.
	// Raising ProbeInterval delays the detection of failures in proportion, and costs less: a member sends and
	// receives two datagrams per interval, in a fleet of any size. Raising ProbeTimeout causes fewer indirect probes
	// on a slow network; it must be well below ProbeInterval.
	ProbeInterval, ProbeTimeout time.Duration
	// IndirectProbes is how many others are asked to probe a member that has not answered. More of these helpers find
	// more ways around a broken link, and cost two datagrams each.
	IndirectProbes int
	// SuspicionMultiplier is the minimum duration of a suspicion, in probe intervals times the logarithm of the
	// fleet's size. MaxSuspicionFactor is the factor by which a suspicion that nobody confirms lasts longer. Raising
	// them gives slow members more time to refute, and delays the detection of failures.
	SuspicionMultiplier, MaxSuspicionFactor int
	// GossipInterval is how often updates are passed on, to Fanout other members each time. Each update is sent
	// RetransmitMultiplier times the logarithm of the fleet's size. Raising RetransmitMultiplier reaches more members
	// despite lost datagrams, at proportional cost.
	GossipInterval       time.Duration
	Fanout               int
	RetransmitMultiplier int
	// SyncInterval is how often the full state is exchanged with one other member while the received digests match;
	// after several mismatches in a row it is exchanged at once. ReconnectInterval is how often a member that is
	// believed dead, or a seed, is contacted: that is how two halves of a partitioned fleet find each other again, and
	// how soon.
	SyncInterval, ReconnectInterval time.Duration
	// ForgetAfter is how long a member that is gone is remembered. Updates about it that are older than half of that
	// are not believed, so none can bring it back.
	ForgetAfter time.Duration
	// MaxUpdateBytesPerSecond limits the updates that each member sends; messages that keep probes working are not
	// limited. MaxPacketSize limits the size of a datagram in bytes, because a fragmented one is lost more often.
	MaxUpdateBytesPerSecond, MaxPacketSize int
	// MaxMembers limits the number of known members, including those that are gone.
	MaxMembers int
}

// LAN returns settings for gatherers in one region: links of some milliseconds, little loss.
func LAN() Settings {
	return Settings{
		ProbeInterval: 200 * time.Millisecond, ProbeTimeout: 80 * time.Millisecond, IndirectProbes: 3,
		SuspicionMultiplier: 4, MaxSuspicionFactor: 6,
		GossipInterval: 50 * time.Millisecond, Fanout: 3, RetransmitMultiplier: 4,
		SyncInterval: time.Minute, ReconnectInterval: time.Second, ForgetAfter: 10 * time.Minute,
		MaxUpdateBytesPerSecond: 128 << 10, MaxPacketSize: 1400, MaxMembers: 4096,
	}
}

// WAN returns settings for links of a hundred milliseconds and some loss: failures are detected later.
func WAN() Settings {
	s := LAN()
	s.ProbeInterval, s.ProbeTimeout, s.GossipInterval = time.Second, 400*time.Millisecond, 200*time.Millisecond
	s.SuspicionMultiplier, s.ReconnectInterval = 5, 5*time.Second
	return s
}

// Check returns an error that describes the first invalid setting, if there is one.
func (s Settings) Check() error {
	for _, c := range []struct {
		name string
		bad  bool
		want string
	}{
		{"ProbeInterval", s.ProbeInterval < time.Millisecond, "at least a millisecond"},
		{"ProbeTimeout", s.ProbeTimeout <= 0 || 2*s.ProbeTimeout > s.ProbeInterval,
			"above 0 and at most half of ProbeInterval: the indirect probes need the rest"},
		{"IndirectProbes", s.IndirectProbes < 0 || s.IndirectProbes > 16, "0 to 16"},
		{"SuspicionMultiplier", s.SuspicionMultiplier < 1, "at least 1"},
		{"MaxSuspicionFactor", s.MaxSuspicionFactor < 1, "at least 1"},
		{"GossipInterval", s.GossipInterval < time.Millisecond, "at least a millisecond"},
		{"Fanout", s.Fanout < 1, "at least 1"},
		{"RetransmitMultiplier", s.RetransmitMultiplier < 1, "at least 1"},
		{"SyncInterval", s.SyncInterval < s.ProbeInterval, "at least ProbeInterval"},
		{"ReconnectInterval", s.ReconnectInterval < s.ProbeInterval, "at least ProbeInterval"},
		{"ForgetAfter", s.ForgetAfter < 4*s.SyncInterval, "at least four times SyncInterval: gossip must have ended by half of it"},
		{"MaxUpdateBytesPerSecond", s.MaxUpdateBytesPerSecond < 4096, "at least 4096"},
		{"MaxPacketSize", s.MaxPacketSize < 512 || s.MaxPacketSize > 1<<16-512, "512 to 65024"},
		{"MaxMembers", s.MaxMembers < 1024, "at least 1024"},
	} {
		if c.bad {
			return fmt.Errorf("membership: invalid %s, want %s", c.name, c.want)
		}
	}
	return nil
}

// Counts are the counters of a Core, for operators. They are written as JSON under the names of the fields.
type Counts struct {
	Sent, SentBytes     int // messages of all kinds
	Received            int
	Malformed, Refused  int // messages that can't be read; messages whose version this member or the receiver does not understand
	Misdirected         int // probes meant for another process
	Probes, Missed      int // probes begun; those that nobody answered
	Helped              int // probes made for other members
	Suspected, Mistaken int // members that this one suspected first; suspicions of other members that were refuted
	Contradicted        int // times that this member had to refute an update about itself
	Throttled           int // times that updates had to wait because of MaxUpdateBytesPerSecond
	Full                int // members not added because MaxMembers are known
	Rumours             int // updates that were too old to be believed
}

// activeMembers returns the active members by name.
func activeMembers(self Member, peers map[string]*peer) []Member {
	list := []Member{self}
	for _, p := range peers {
		if p.Active() {
			list = append(list, p.Member)
		}
	}
	slices.SortFunc(list, byName)
	return list
}
