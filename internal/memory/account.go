// Package memory divides the memory of a process, and keeps account of the bytes that a gatherer's clients make it hold.
// Only FilePages does I/O. An Account is not safe for concurrent use.
//
// Each client connection is a Holder. A part of the account's capacity is guaranteed to the holders, the same for each,
// and the rest is a pool for those that need more:
//
//	sum over all holders of max(held - guaranteed, 0) <= pool
//
// So a client with small requests always finds room, however much others hold. Growth that can be put off, as reading
// more of a request, asks with Reserve. Growth that can't, as an answer that has arrived, is recorded with Set; if the
// pool does not suffice for it, Excess tells by how much, and the caller has to end some holder's requests.
package memory

// Kind is what bytes are held for.
type Kind int

// The kinds.
const (
	Connections Kind = iota // the records of a connection
	Requests                // what was received of requests that are not being served yet
	Queries                 // the text of an open query, the frames of its parts and their values
	Answers                 // answers that the system has not accepted yet
	numKinds
)

var kindNames = [numKinds]string{"connections", "requests", "queries", "answers"}

// String returns the name of the kind, which is a metric key.
func (k Kind) String() string {
	if k < 0 || k >= numKinds {
		return "unknown"
	}
	return kindNames[k]
}

// Kinds returns all kinds.
func Kinds() []Kind { return []Kind{Connections, Requests, Queries, Answers} }

// Account is the account of all holders.
type Account struct {
	capacity   int
	guaranteed int // bytes that each holder may hold, whatever the others do
	pool       int // bytes that all holders together may hold beyond these
	pooled     int // bytes that they do hold beyond these
	held       [numKinds]int
	peak       int // the largest sum of held so far
}

// New returns an Account with the given capacity in bytes for up to the given number of holders.
func New(capacity, holders int) *Account {
	guaranteed := min(capacity/2/max(holders, 1), maxGuaranteed)
	return &Account{capacity: capacity, guaranteed: guaranteed, pool: capacity - guaranteed*holders}
}

// maxGuaranteed is the most bytes that are guaranteed to each holder: enough for a request with the longest body.
const maxGuaranteed = 96 << 10

// Capacity returns the number of bytes that all holders may hold together.
func (a *Account) Capacity() int { return a.capacity }

// Guaranteed returns the number of bytes that each holder may hold, whatever the others do.
func (a *Account) Guaranteed() int { return a.guaranteed }

// Held returns how many bytes are held for a kind.
func (a *Account) Held(k Kind) int { return a.held[k] }

// Total returns how many bytes are held.
func (a *Account) Total() (bytes int) {
	for _, held := range a.held {
		bytes += held
	}
	return bytes
}

// Peak returns the largest number of bytes that was held at one time.
func (a *Account) Peak() int { return a.peak }

// Room returns how many bytes are left in the pool; it is negative while there is an excess.
func (a *Account) Room() int { return a.pool - a.pooled }

// Excess returns by how many bytes the holders exceed the pool.
func (a *Account) Excess() int { return max(-a.Room(), 0) }

// Holder is one holder of an Account. The zero value holds nothing and belongs to no account; see Open.
type Holder struct {
	account *Account // nil before Open and after Close
	held    [numKinds]int
}

// Open makes h a holder of an account.
func (a *Account) Open(h *Holder) { *h = Holder{account: a} }

// Close releases all that the holder holds. Further calls do nothing.
func (h *Holder) Close() {
	for k := range h.held {
		h.Set(Kind(k), 0)
	}
	h.account = nil
}

// Held returns how many bytes the holder holds for a kind.
func (h *Holder) Held(k Kind) int { return h.held[k] }

// Total returns how many bytes the holder holds.
func (h *Holder) Total() (bytes int) {
	for _, held := range h.held {
		bytes += held
	}
	return bytes
}

// Pooled returns how many bytes the holder holds beyond those that are guaranteed to it.
func (h *Holder) Pooled() int {
	if h.account == nil {
		return 0
	}
	return h.account.beyondGuaranteed(h.Total())
}

func (a *Account) beyondGuaranteed(bytes int) int { return max(bytes-a.guaranteed, 0) }

// Set records that the holder holds a number of bytes for a kind, whether or not there is room.
func (h *Holder) Set(k Kind, bytes int) {
	a := h.account
	if a == nil || bytes == h.held[k] {
		return
	}
	before := h.Pooled()
	a.held[k] += bytes - h.held[k]
	h.held[k] = bytes
	a.pooled += h.Pooled() - before
	a.peak = max(a.peak, a.Total())
}

// queryShare is the part (1/4) of the pool that requests may not take while they are received: a request that has come
// whole is worth more than one that may never do.
const queryShare = 4

// MayGrow reports whether there is room for the holder to hold more bytes for a kind. It is always true within what is
// guaranteed.
func (h *Holder) MayGrow(k Kind, bytes int) bool {
	a := h.account
	if a == nil {
		return false
	}
	room := a.Room()
	if k == Requests {
		room -= a.pool / queryShare
	}
	total := h.Total() + bytes
	grows := a.beyondGuaranteed(total) - h.Pooled()
	return total <= a.guaranteed || grows <= room
}

// Reserve records that the holder holds more bytes for a kind, if there is room for them.
func (h *Holder) Reserve(k Kind, bytes int) bool {
	if !h.MayGrow(k, bytes) {
		return false
	}
	h.Set(k, h.held[k]+bytes)
	return true
}
