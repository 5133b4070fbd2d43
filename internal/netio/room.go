package netio

import (
	"cmp"
	"net/http"
	"slices"
	"time"

	"eiderwinch/internal/format/http1"
	"eiderwinch/internal/limit"
	"eiderwinch/internal/memory"
)

const (
	// roomTimeout bounds how long a request waits for room while nothing of it is read. Then it is refused: the client has
	// time left to try elsewhere.
	roomTimeout = 500 * time.Millisecond
	// roomCheckInterval is how often waiting requests are checked.
	roomCheckInterval = 50 * time.Millisecond
)

// roomRequest is a connection's wait for room in the account of memory.
type roomRequest struct {
	since    time.Time // zero if it does not wait
	bytes    int
	progress limit.Progress // of the request that is being received
}

func (r *roomRequest) waits() bool { return !r.since.IsZero() }

// reserveBody reports whether there is room for the buffer of a body.
func (c *clientConn) reserveBody(bytes int) bool {
	if c.holder.MayGrow(memory.Requests, bytes) {
		return true
	}
	c.awaitRoom(bytes)
	return false
}

// awaitRoom makes the connection wait until there is room for more bytes. Nothing is read from it meanwhile.
func (c *clientConn) awaitRoom(bytes int) {
	c.room.bytes = bytes
	if !c.room.waits() {
		c.room.since = time.Now()
		c.node.stats.WaitedForRoom++
		c.node.roomQueue = append(c.node.roomQueue, c)
	}
}

// leaveRoomQueue ends the connection's wait for room.
func (c *clientConn) leaveRoomQueue() {
	if c.room.waits() {
		c.room.since = time.Time{}
		c.node.roomQueue = slices.DeleteFunc(c.node.roomQueue, func(x *clientConn) bool { return x == c })
	}
}

// grantRoom lets the requests go on that wait for room, in the order of their waits, as far as there is room.
func (n *Node) grantRoom() {
	for range len(n.roomQueue) { // one that waits again is at the end
		c := n.roomQueue[0]
		if !c.holder.MayGrow(memory.Requests, c.room.bytes) {
			return
		}
		c.leaveRoomQueue()
		c.serveInput()
		c.recordHeld()
	}
}

// checkRoom ends requests while others wait for room: first those that come in too slowly, the one that has sent least
// first, until there is room for the longest wait; then those that have waited for too long.
func (n *Node) checkRoom(now time.Time) {
	if len(n.roomQueue) == 0 {
		return
	}
	for _, c := range n.slowRequests(now) {
		if len(n.roomQueue) == 0 || n.roomQueue[0].holder.MayGrow(memory.Requests, n.roomQueue[0].room.bytes) {
			break
		}
		c.refuseForMemory()
	}
	n.grantRoom()
	for len(n.roomQueue) > 0 && now.Sub(n.roomQueue[0].room.since) >= roomTimeout {
		n.roomQueue[0].refuseForMemory()
	}
}

// slowRequests returns the connections whose requests take memory that others wait for and come in too slowly, those
// first of which the least share has come.
func (n *Node) slowRequests(now time.Time) (list []*clientConn) {
	share := make(map[*clientConn]float64)
	for _, stage := range [...]limit.Stage{limit.FirstRequest, limit.NextRequest} {
		n.clientTable.Each(stage, func(c *clientConn) {
			received, length := c.parser.Progress()
			slow := c.room.progress.Slow(now, received, length, n.cfg.Clients.RequestTimeout)
			if slow && c.holder.Pooled() > 0 && !c.room.waits() {
				share[c] = float64(received) / float64(max(length, 1))
				list = append(list, c)
			}
		})
	}
	slices.SortStableFunc(list, func(x, y *clientConn) int {
		return cmp.Compare(share[x], share[y])
	})
	return list
}

// refuseForMemory refuses the request that is being received because there is no room for it.
func (c *clientConn) refuseForMemory() {
	c.node.stats.RefusedForMemory++
	c.leaveRoomQueue()
	c.lastRequest = true
	c.closedFor(closedForMemory)
	c.respond(http.StatusServiceUnavailable, nil, c.node.retryFields()...)
}

// shedExcess ends what takes the most memory while clients hold more than there is room for. That happens when
// something has arrived that could not be put off, as the answers of searchers.
func (n *Node) shedExcess() {
	for n.account.Excess() > 0 {
		var costliest *clientConn
		for _, stage := range limit.Stages() {
			n.clientTable.Each(stage, func(c *clientConn) {
				if costliest == nil || c.holder.Pooled() > costliest.holder.Pooled() {
					costliest = c
				}
			})
		}
		if costliest == nil || costliest.holder.Pooled() == 0 {
			return
		}
		n.stats.ShedForMemory++
		costliest.shed()
	}
}

// shed frees the memory that the connection takes: it ends its query with an answer, refuses a request that was received,
// or closes the connection if its client does not read its answers.
func (c *clientConn) shed() {
	queryCostsMost := c.holder.Held(memory.Queries) >= c.holder.Held(memory.Answers)
	if queryCostsMost && c.queryID != 0 && c.node.core.EndEarly(time.Now(), c.queryID) {
		return
	}
	if !c.busy && !c.ending && c.holder.Held(memory.Requests) >= c.holder.Held(memory.Answers) {
		c.refuseForMemory()
		return
	}
	c.closeNow(closedForMemory)
}

// retryFields returns the header fields of a refusal that tell when to ask again, if clients are told that.
func (n *Node) retryFields() []http1.Field {
	m := n.cfg.Gatherer.Module
	if !m.RetryAdvice {
		return nil
	}
	return []http1.Field{retryAfter(min(roomTimeout, m.MaxRetryAdvice))}
}

// defaultMemoryLimit is the memory limit if Config gives none, in bytes.
const defaultMemoryLimit = 192 << 20

// newAccount returns the account of the clients' memory.
func newAccount(cfg Config) *memory.Account {
	capacity := cfg.ClientMemory
	if capacity == 0 {
		capacity = memory.Divide(cmp.Or(cfg.MemoryLimit, defaultMemoryLimit), memory.FilePages()).Clients
	}
	return memory.New(capacity, cfg.Clients.Hard+maxTransientExcess)
}
