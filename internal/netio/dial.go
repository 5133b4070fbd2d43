package netio

import (
	"context"
	"math/rand/v2"
	"net"
	"time"

	"eiderwinch/internal/netio/eventloop"
)

// waitShare is the part of the shortest aim (1/3) that a call may wait for a connection: a
// handshake takes far less, and a call that has waited in vain surely has not run, so that it
// can still be answered in time elsewhere. A zone that is cut off says nothing: without this,
// each gatherer would find out at each of its searchers by a query that is late.
const waitShare = 3

// connectWait is how long a call waits for a connection. Its dial goes on for ConnectTimeout.
func (n *Node) connectWait() time.Duration {
	wait := n.cfg.ConnectTimeout
	for _, c := range n.cfg.Gatherer.Module.Classes {
		wait = min(wait, c.Aim/waitShare)
	}
	return wait
}

// dialer opens a connection.
type dialer func(ctx context.Context, network, addr string) (net.Conn, error)

// dial opens a connection for h, whose Opened or failed is called on the loop.
// net.Dialer does the waiting in a goroutine of its own.
func (n *Node) dial(addr string, timeout time.Duration, h eventloop.Handler, failed func(error)) {
	go func() {
		ctx, cancel := context.WithTimeout(n.ctx, timeout)
		defer cancel()
		if err := n.reach(ctx, addr, h); err != nil {
			n.exec(func() { failed(err) })
		}
	}()
}

// Waits between the tries of a dial that fails for a reason on this machine.
const (
	dialWait     = 2 * time.Millisecond
	dialMostWait = 50 * time.Millisecond
)

// reach dials until the connection is up and the loop has it, ctx ends or the peer is at fault. What fails on
// this machine, as for want of descriptors, buffers or ports, says nothing of the peer, and would fail in the
// same way for any other.
func (n *Node) reach(ctx context.Context, addr string, h eventloop.Handler) error {
	for wait := dialWait; ; wait = min(2*wait, dialMostWait) {
		c, err := n.dialer(ctx, "tcp", addr)
		if err == nil {
			err = n.loop.Enroll(c, h)
		}
		if err == nil || !eventloop.Transient(err) {
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
