package netio

import (
	"context"
	"math/rand/v2"
	"net"
	"time"

	"eiderwinch/internal/netio/eventloop"
)

// connectWaitShare is the fraction of the shortest aim (1/3) that a call may wait for a connection. A handshake
// takes far less, and a call that was given up while waiting has certainly not run, so it can still be answered in
// time elsewhere. A partitioned zone does not refuse connections: without this limit, each gatherer would detect
// the partition separately for each searcher in that zone, each time by a late query.
const connectWaitShare = 3

// connectWait returns how long a call waits for a connection. The dial itself goes on for up to ConnectTimeout.
func (n *Node) connectWait() time.Duration {
	wait := n.cfg.ConnectTimeout
	for _, c := range n.cfg.Gatherer.Module.Classes {
		wait = min(wait, c.Aim/connectWaitShare)
	}
	return wait
}

// dialFunc opens a connection, as net.Dialer.DialContext does.
type dialFunc func(ctx context.Context, network, addr string) (net.Conn, error)

// dial opens a connection for h in a goroutine of its own. Either h.Opened or failed is then called on the loop.
func (n *Node) dial(addr string, timeout time.Duration, h eventloop.Handler, failed func(error)) {
	go func() {
		ctx, cancel := context.WithTimeout(n.ctx, timeout)
		defer cancel()
		if err := n.dialWithRetry(ctx, addr, h); err != nil {
			n.exec(func() { failed(err) })
		}
	}()
}

// Waits between tries of a dial that fails for a local reason: the first, doubled each time up to the longest.
const (
	dialRetryWait    = 2 * time.Millisecond
	dialMaxRetryWait = 50 * time.Millisecond
)

// dialWithRetry dials until the connection is open and registered with the loop, ctx ends, or the dial fails for a
// reason that is not local. A local failure, such as a lack of descriptors, buffers or ports, says nothing about
// the remote side, and a dial to any other address would fail in the same way.
func (n *Node) dialWithRetry(ctx context.Context, addr string, h eventloop.Handler) error {
	for wait := dialRetryWait; ; wait = min(2*wait, dialMaxRetryWait) {
		c, err := n.dialContext(ctx, "tcp", addr)
		if err == nil {
			err = n.loop.Enroll(c, h)
		}
		if err == nil || !eventloop.IsTransient(err) {
			return err
		}
		n.exec(func() { n.stats.DialRetries++ })
		select {
		case <-ctx.Done():
			return err
		case <-time.After(wait/2 + rand.N(wait)):
		}
	}
}
