// Package net puts a gatherer's view of its fleet (package view) on sockets: datagrams over
// UDP, and messages that may be longer than one over TCP, at the same address. One goroutine
// owns the view; all queues in front of it and behind it are bounded, and what does not fit
// is dropped and counted: the view bears loss, and no peer or log may hold it up.
package net

import (
	"context"
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"log/slog"
	stdnet "net"
	"net/netip"
	"sync"
	"syscall"
	"time"

	"eiderwinch/internal/fleet/seal"
	"eiderwinch/internal/fleet/share"
	"eiderwinch/internal/fleet/view"
)

const (
	queued       = 1024                 // messages that wait for the view
	streams      = 32                   // connections that are written to, and as many that are read
	longest      = 4 << 20              // bytes of a message over a stream: 4,096 members take a tenth
	datagram     = 1<<16 - 1            // bytes of the longest datagram
	streamFor    = 2 * time.Second      // for one message over a stream, its connection included
	writeFor     = 5 * time.Millisecond // for a datagram: one that waits longer is as good as lost
	bindAttempts = 20                   // to find a port that is free for both
	idleWake     = time.Hour            // where the view names no time
	leaveFor     = 300 * time.Millisecond
)

// Config is what a Node is told.
type Config struct {
	Self     view.Member // Addr may have port 0
	Settings view.Settings
	Sealer   *seal.Sealer
	Seeds    []string // addresses at which others may be
	Seed     uint64   // of all that is drawn by chance
	Slots    []string // by number, where the fleet's limits are divided: see package share
	Share    share.Settings
	// Advertise is where the others reach this member; empty: where it listens.
	Advertise string
	Log       *slog.Logger
}

// Counts are a Node's, beside those of its view and of its envelopes.
type Counts struct {
	View       view.Counts
	Share      share.Counts
	Seal       seal.Counts
	Datagrams  int // that have come
	Streams    int // messages over streams that have come
	QueueFull  int // messages that were dropped since the view was busy
	StreamFull int // messages that were not sent since too many streams were busy
	SendFails  int // datagrams and streams that could not be sent
	Unsealed   int // messages that could not be sealed: the key does not hold
}

// Node is one member on sockets.
type Node struct {
	cfg   Config
	core  *view.Core
	addr  string // where the others reach it
	ip    stdnet.IP
	udp   *stdnet.UDPConn
	tcp   *stdnet.TCPListener
	in    chan input
	do    chan func()
	out   chan struct{} // a place for each stream that is written to
	read  chan struct{} // and for each that is read
	ctx   context.Context
	stop  context.CancelFunc
	done  sync.WaitGroup
	ended chan struct{} // closed once nothing of the node runs any more

	shares *shares // nil: the fleet's limits are not divided

	// Of the loop.
	counts Counts

	mu    sync.Mutex // of what others read while the loop runs
	view  view.View
	over  bool // it has stepped down
	watch []chan view.View
	full  int // input that was dropped
	fails int // streams that failed
}

// input is what has come from an address.
type input struct {
	from   string // "" where it stands in the message
	data   []byte
	stream bool
	reply  chan<- []byte // stream: takes what is to be written back, and is closed then
}

// Listen starts a member. It runs until Close.
func Listen(cfg Config) (*Node, error) {
	n := &Node{
		cfg: cfg, in: make(chan input, queued), do: make(chan func()), out: make(chan struct{}, streams), read: make(chan struct{}, streams),
		ended: make(chan struct{}),
	}
	if err := n.bind(cfg.Self.Addr); err != nil {
		return nil, fmt.Errorf("fleet: listening on %s: %w", cfg.Self.Addr, err)
	}
	if cfg.Advertise != "" {
		n.addr = cfg.Advertise
	}
	self := cfg.Self
	self.Addr = n.addr
	var err error
	if n.core, err = view.New(cfg.Settings, self, cfg.Seed, time.Now()); err != nil {
		_, _ = n.udp.Close(), n.tcp.Close()
		return nil, err
	}
	n.view = n.core.View()
	if len(cfg.Slots) > 0 {
		if n.shares, err = newShares(n, cfg.Slots, cfg.Share); err != nil {
			_, _ = n.udp.Close(), n.tcp.Close()
			return nil, err
		}
		n.done.Add(1)
	}
	n.ctx, n.stop = context.WithCancel(context.Background())
	n.done.Add(3)
	go n.datagrams()
	go n.accept()
	go n.loop()
	if n.shares != nil {
		go n.shares.run()
	}
	go func() {
		n.done.Wait()
		close(n.ended)
	}()
	return n, nil
}

// bind takes one port for both protocols.
func (n *Node) bind(addr string) error {
	want, err := netip.ParseAddrPort(addr)
	if err != nil {
		return fmt.Errorf("want a numeric address and port: %w", err)
	}
	for range bindAttempts {
		if n.tcp, err = stdnet.ListenTCP("tcp", stdnet.TCPAddrFromAddrPort(want)); err != nil {
			return err
		}
		at := n.tcp.Addr().(*stdnet.TCPAddr).AddrPort()
		if n.udp, err = stdnet.ListenUDP("udp", stdnet.UDPAddrFromAddrPort(at)); err == nil {
			n.addr, n.ip = at.String(), at.Addr().AsSlice()
			return nil
		}
		_ = n.tcp.Close()
		if want.Port() != 0 {
			break
		}
	}
	return err
}

// Addr is where the member listens.
func (n *Node) Addr() string { return n.addr }

// View is the latest. It may be called from any goroutine.
func (n *Node) View() view.View {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.view
}

// Over tells that a newer process bears the own name, so that this one takes no part any more.
func (n *Node) Over() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.over
}

// Watch returns a channel of views: the one at hand, then each new one. A reader that is slow
// misses those between, never the latest. It ends with the node.
func (n *Node) Watch() <-chan view.View {
	ch := make(chan view.View, 1)
	n.mu.Lock()
	defer n.mu.Unlock()
	ch <- n.view
	n.watch = append(n.watch, ch)
	return ch
}

// Describe tells the others what the gatherer serves from now on.
func (n *Node) Describe(generation, epoch uint64) {
	n.run(func() { n.step(view.Describe{Generation: generation, Epoch: epoch}) })
}

// Known returns all members that are known, and the counts so far; ok is false once the node has ended.
func (n *Node) Known() (list []view.Member, c Counts, ok bool) {
	ok = n.wait(func() {
		list, c = n.core.Known(), n.counts
		c.View, c.Seal = n.core.Counts(), n.cfg.Sealer.Counts()
		n.mu.Lock()
		c.QueueFull += n.full
		c.SendFails += n.fails
		n.mu.Unlock()
		if n.shares != nil {
			_, c.Share = n.shares.state()
		}
	})
	if !ok {
		return nil, Counts{}, false
	}
	return list, c, true
}

// run has the loop do something; nothing is done once it has ended.
func (n *Node) run(f func()) {
	select {
	case n.do <- f:
	case <-n.ctx.Done():
	}
}

// wait has the loop do something and waits for that; false where the node has ended. Not for the loop.
func (n *Node) wait(f func()) bool {
	done := make(chan struct{})
	n.run(func() {
		f()
		close(done)
	})
	select {
	case <-done:
		return true
	case <-n.ctx.Done():
		return false
	}
}

// Leave tells the others that the member is about to end, and gives that time to go out.
func (n *Node) Leave() {
	n.run(func() { n.step(view.Leave{}) })
	select {
	case <-time.After(leaveFor):
	case <-n.ctx.Done():
	}
}

// Close ends the member without a word, as a crash would. It waits for all that it has started.
func (n *Node) Close() {
	n.stop()
	_, _ = n.udp.Close(), n.tcp.Close()
	<-n.ended
}

// loop owns the view.
func (n *Node) loop() {
	defer n.done.Done()
	timer := time.NewTimer(0)
	defer timer.Stop()
	n.step(view.Join{Seeds: n.cfg.Seeds})
	for {
		wait := idleWake
		if due := n.core.Due(); !due.IsZero() {
			wait = max(time.Until(due), 0)
		}
		timer.Reset(wait)
		select {
		case <-n.ctx.Done():
			n.mu.Lock()
			for _, ch := range n.watch {
				close(ch)
			}
			n.watch = nil
			n.mu.Unlock()
			return
		case f := <-n.do:
			f()
		case m := <-n.in:
			n.receive(m)
		case <-timer.C:
			n.step(view.Wake{})
		}
	}
}

// receive opens a message and hands it to the view.
func (n *Node) receive(m input) {
	if m.stream {
		n.counts.Streams++
		defer close(m.reply)
	} else {
		n.counts.Datagrams++
	}
	data, err := n.cfg.Sealer.Open(time.Now(), m.data)
	if err != nil {
		n.cfg.Log.Debug("message of the fleet dropped", "from", m.from, "err", err)
		return
	}
	if m.stream { // its connection comes from another port than the sender listens on
		if len(data) == 0 || len(data) < 1+int(data[0]) {
			return
		}
		if data[0] == 0 {
			if reply := n.shares.answer(data[1:]); reply != nil {
				if sealed, err := n.cfg.Sealer.Seal(time.Now(), reply); err == nil {
					m.reply <- sealed
				}
			}
			return
		}
		m.from, data = string(data[1:1+int(data[0])]), data[1+int(data[0]):]
	}
	n.step(view.Received{From: m.from, Data: data})
}

// step takes the view a step on and does what it wants done.
func (n *Node) step(e view.Event) {
	for _, x := range n.core.Step(time.Now(), e) {
		switch x := x.(type) {
		case view.Send:
			n.send(x)
		case view.Changed:
			n.changed(x.View)
		case view.Found:
			n.cfg.Log.Info("member", "name", x.Member.Name, "state", x.Member.State, "was", x.Was, "addr", x.Member.Addr, "new", x.New)
		case view.SteppedDown:
			n.mu.Lock()
			n.over = true
			n.mu.Unlock()
		case view.Warn:
			n.cfg.Log.Warn(x.Text)
		}
	}
}

func (n *Node) changed(v view.View) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.view = v
	for _, ch := range n.watch {
		select {
		case <-ch: // the one before was not read
		default:
		}
		ch <- v
	}
}

// send seals and sends a message.
func (n *Node) send(x view.Send) {
	data := x.Data
	if x.Whole {
		data = append(append([]byte{byte(len(n.addr))}, n.addr...), data...)
	}
	sealed, err := n.cfg.Sealer.Seal(time.Now(), data)
	if err != nil {
		if n.counts.Unsealed++; n.counts.Unsealed == 1 {
			n.cfg.Log.Error("messages of the fleet can't be sealed", "err", err)
		}
		return
	}
	if x.Whole {
		n.stream(x.To, sealed)
		return
	}
	to, err := netip.ParseAddrPort(x.To)
	if err == nil {
		_ = n.udp.SetWriteDeadline(time.Now().Add(writeFor))
		_, err = n.udp.WriteToUDPAddrPort(sealed, to)
	}
	if err != nil {
		n.counts.SendFails++
	}
}

// stream sends a message over a connection of its own, in a goroutine of its own.
func (n *Node) stream(to string, sealed []byte) {
	select {
	case n.out <- struct{}{}:
	default:
		n.counts.StreamFull++
		return
	}
	n.done.Add(1)
	go func() {
		defer n.done.Done()
		defer func() { <-n.out }()
		if err := n.write(to, sealed); err != nil && !errors.Is(err, context.Canceled) {
			n.mu.Lock()
			n.fails++
			n.mu.Unlock()
		}
	}()
}

func (n *Node) write(to string, sealed []byte) error {
	ctx, cancel := context.WithTimeout(n.ctx, streamFor)
	defer cancel()
	c, err := n.dialer().DialContext(ctx, "tcp", to)
	if err != nil {
		return err
	}
	defer c.Close()
	_ = c.SetDeadline(time.Now().Add(streamFor))
	_, err = c.Write(framed(sealed))
	return err
}

// framed puts a message's length before it, and readStream reads one.
func framed(b []byte) []byte { return append(binary.BigEndian.AppendUint32(nil, uint32(len(b))), b...) }

var errTooLong = errors.New("fleet: a message that is too long")

func readStream(c io.Reader) ([]byte, error) {
	var head [4]byte
	if _, err := io.ReadFull(c, head[:]); err != nil {
		return nil, err
	}
	size := int64(binary.BigEndian.Uint32(head[:]))
	if size > longest {
		return nil, errTooLong
	}
	data, err := io.ReadAll(io.LimitReader(c, size)) // grows with what comes, not with what is announced
	if err == nil && int64(len(data)) < size {
		err = io.ErrUnexpectedEOF
	}
	return data, err
}

// dialer opens connections from the address that the member listens at: so the others can tell
// whose they are on a machine with several.
func (n *Node) dialer() *stdnet.Dialer { return &stdnet.Dialer{LocalAddr: &stdnet.TCPAddr{IP: n.ip}} }

// put hands a message to the loop, or drops it.
func (n *Node) put(m input) bool {
	select {
	case n.in <- m:
		return true
	default:
		n.mu.Lock()
		n.full++
		n.mu.Unlock()
		return false
	}
}

// datagrams reads what comes over UDP.
func (n *Node) datagrams() {
	defer n.done.Done()
	buf := make([]byte, datagram)
	for {
		k, from, err := n.udp.ReadFromUDPAddrPort(buf)
		if err != nil {
			if n.ctx.Err() != nil {
				return
			}
			if !errors.Is(err, syscall.ECONNREFUSED) { // else an ICMP error of what was sent to a port that nobody listens on
				n.rest()
			}
			continue
		}
		n.put(input{from: netip.AddrPortFrom(from.Addr().Unmap(), from.Port()).String(), data: append([]byte(nil), buf[:k]...)})
	}
}

// rest waits after a call that has failed.
func (n *Node) rest() {
	select {
	case <-time.After(writeFor):
	case <-n.ctx.Done():
	}
}

// accept takes connections, each for one message.
func (n *Node) accept() {
	defer n.done.Done()
	for {
		c, err := n.tcp.Accept()
		if err != nil {
			if n.ctx.Err() != nil {
				return
			}
			n.rest() // out of descriptors, most likely
			continue
		}
		select {
		case n.read <- struct{}{}:
		default:
			_ = c.Close()
			continue
		}
		n.done.Add(1)
		go func() {
			defer n.done.Done()
			defer func() { <-n.read }()
			defer c.Close()
			_ = c.SetDeadline(time.Now().Add(streamFor))
			data, err := readStream(c)
			if err != nil {
				return
			}
			reply := make(chan []byte, 1)
			if !n.put(input{from: c.RemoteAddr().String(), data: data, stream: true, reply: reply}) {
				return
			}
			select {
			case b := <-reply: // nil where there is none
				if b != nil {
					_, _ = c.Write(framed(b))
				}
			case <-n.ctx.Done():
			}
		}()
	}
}
