package membership

import (
	"errors"
	"fmt"
	"time"

	"github.com/fxamacker/cbor/v2"
)

// Version is the version of the messages. One that differs by 1 is understood: fields are numbered, receivers skip
// fields that they do not know, and no field changes its meaning.
const Version = 1

// kind is the kind of a message.
type kind uint8

const (
	ping      kind = iota + 1 // answered by ack
	ack                       // Seq is the ping's
	pingReq                   // asks for a ping of TargetAddr; the answer is passed on as ack, a missing one is reported as nack
	nack                      // reports that the helper is alive, but the target has not answered it
	gossip                    // updates only
	sync                      // the full state; answered by syncReply
	syncReply                 // the full state
	refusal                   // the version was not understood
)

// message is a message between members, encoded as CBOR (RFC 8949) with numbered fields.
type message struct {
	Version       int      `cbor:"0,keyasint"`
	Kind          kind     `cbor:"1,keyasint"`
	From          string   `cbor:"2,keyasint"`           // name of the sender
	Start         uint64   `cbor:"3,keyasint"`           // of the sender's process
	To            string   `cbor:"4,keyasint,omitempty"` // name of the intended receiver; "" if it is not known
	Seq           uint64   `cbor:"5,keyasint,omitempty"`
	TargetAddr    string   `cbor:"6,keyasint,omitempty"` // pingReq: the address to probe
	TargetName    string   `cbor:"7,keyasint,omitempty"` // pingReq: the name of the member there
	Digest        uint64   `cbor:"8,keyasint,omitempty"` // of the sender's membership view
	Updates       []update `cbor:"9,keyasint,omitempty"`
	ContentDigest uint64   `cbor:"10,keyasint,omitempty"` // of what the members of that view serve, and where
}

// update reports what its sender believes about a member.
type update struct {
	Member
	By  string `cbor:"16,keyasint,omitempty"` // Suspect: the member that suspects it
	Age uint64 `cbor:"17,keyasint,omitempty"` // milliseconds since the state was found out, or since a message was last received from the member
}

var (
	errKind    = errors.New("unknown kind")
	errVersion = errors.New("unsupported version")
)

// encMode encodes messages deterministically: the same message always gives the same bytes.
var encMode = func() cbor.EncMode {
	m, err := cbor.CoreDetEncOptions().EncMode()
	if err != nil {
		panic(err) // the options are predefined by the library
	}
	return m
}()

// decMode limits what is decoded: a stranger's datagram must not take more memory than its size.
var decMode = func() cbor.DecMode {
	m, err := cbor.DecOptions{MaxNestedLevels: 8, MaxArrayElements: 1 << 13, MaxMapPairs: 64, IndefLength: cbor.IndefLengthForbidden}.DecMode()
	if err != nil {
		panic(err)
	}
	return m
}()

func (m message) encode() []byte {
	b, err := encMode.Marshal(m)
	if err != nil {
		panic(err) // can't fail: only numbers and text
	}
	return b
}

// decode reads and validates a message. Its errors name the invalid field or part.
func decode(b []byte) (message, error) {
	var m message
	if err := decMode.Unmarshal(b, &m); err != nil {
		return message{}, fmt.Errorf("membership: malformed message: %w", err)
	}
	if d := m.Version - Version; d < -1 || d > 1 {
		return m, fmt.Errorf("membership: %w: have %d, want %d to %d", errVersion, m.Version, Version-1, Version+1)
	}
	if m.From == "" || len(m.From) > maxNameBytes {
		return m, fmt.Errorf("membership: malformed message: sender's name of %d bytes, want 1 to %d", len(m.From), maxNameBytes)
	}
	if m.Kind < ping || m.Kind > refusal {
		return m, fmt.Errorf("membership: %w %d", errKind, m.Kind)
	}
	for i, u := range m.Updates {
		if u.Name == "" || len(u.Name) > maxNameBytes || len(u.Addr) > maxNameBytes || len(u.Zone) > maxNameBytes || u.State > Left {
			return m, fmt.Errorf("membership: malformed message: update %d is invalid", i)
		}
	}
	return m, nil
}

// maxNameBytes limits the length of names, zones and addresses.
const maxNameBytes = 128

func (u update) age() time.Duration { return time.Duration(min(u.Age, 1<<40)) * time.Millisecond }

// size returns the encoded size of an update.
func (u update) size() int {
	b, err := encMode.Marshal(u)
	if err != nil {
		panic(err)
	}
	return len(b)
}
