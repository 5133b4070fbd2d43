package discovery

import (
	"sync"
	"time"
)

// AddressSource says what has named the address of discovery.
type AddressSource uint8

// The sources of the address.
const (
	SourceStart  AddressSource = iota // the environment and the platform's file when the process started
	SourceReload                      // the platform's file, read again while the process runs
)

func (s AddressSource) String() string {
	if s == SourceReload {
		return "reload"
	}
	return "start"
}

// Address is the address at which discovery is asked.
type Address struct {
	Value  string
	Source AddressSource
	Since  time.Time // when it was named first
}

// AddressOwner holds the address at which discovery is asked. The platform alone decides it: the address is named when
// the process starts, and replaced by Move once the platform's file was read again. Everything else only reads it, so a
// change of the configuration can neither delay nor undo a move. Unlike the other types of this package, an
// AddressOwner is safe for concurrent use.
type AddressOwner struct {
	mu      sync.Mutex
	address Address
}

// NewAddressOwner returns the owner of the address that was named at the start.
func NewAddressOwner(value string, now time.Time) *AddressOwner {
	return &AddressOwner{address: Address{Value: value, Source: SourceStart, Since: now}}
}

// Move records the address that the platform's file names now. It reports whether it differs from the one before.
func (o *AddressOwner) Move(value string, now time.Time) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.address.Value == value {
		return false
	}
	o.address = Address{Value: value, Source: SourceReload, Since: now}
	return true
}

// Address returns the address that was named last.
func (o *AddressOwner) Address() Address {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.address
}
