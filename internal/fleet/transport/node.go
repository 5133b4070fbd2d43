// Package transport runs a gatherer's membership view (package membership) over sockets: datagrams over UDP, and
// messages that may be longer than a datagram over TCP, at the same address. It decides nothing about members. One
// goroutine owns the membership.Core. All queues to and from it are bounded, and what does not fit is dropped and
// counted, because the protocol tolerates loss and no peer or log may block it.
package transport

import (
	"context"
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/netip"
	"sync"
	"syscall"
	"time"

	"eiderwinch/internal/fleet/membership"
	"eiderwinch/internal/fleet/seal"
	"eiderwinch/internal/fleet/share"
)

const (
	inboxSize        = 1024                   // messages waiting for the membership core
	maxStreams       = 32                     // streams being written, and as many being read
	maxMessageBytes  = 4 << 20                // of a message over a stream; 4,096 members take a tenth of it
	maxDatagramBytes = 1<<16 - 1              // of a UDP datagram
	streamTimeout    = 2 * time.Second        // for one message over a stream, including the connection
	datagramTimeout  = 5 * time.Millisecond   // for writing a datagram, which is of no use if it is delayed longer
	bindAttempts     = 20                     // to find a port that is free for both TCP and UDP
	idleInterval     = time.Hour              // wait if the membership core has no timer set
	leaveDelay       = 300 * time.Millisecond // for the announcement of a leave to be sent
)

// Config configures a Node.
type Config struct {
	Self     membership.Member // the port may be 0
	Settings membership.Settings
	Sealer   *seal.Sealer
	Seeds    []string // addresses at which other members may be
	Seed     uint64   // of all random numbers
	Slots    []string // addresses by slot number if the fleet's limits are divided; see package share
	Share    share.Settings
	// Advertise is the address at which other members reach this one. If empty, it is the listen address.
	Advertise string
	Log       *slog.Logger
}

// Counts are the counters of a Node, its membership core, its share of the limits and its envelopes. They are written
// as JSON under the names of the fields.
type Counts struct {
	View       membership.Counts
	Share      share.Counts
	Seal       seal.Counts
	Datagrams  int // received
	Streams    int // messages received over streams
	QueueFull  int // messages dropped because the membership core was busy
	StreamFull int // messages not sent because too many streams were in use
	SendFails  int // datagrams and streams that could not be sent
	Unsealed   int // messages that could not be sealed because the key is not valid
}

// Node is one fleet member on sockets.
type Node struct {
	cfg        Config
	core       *membership.Core
	addr       string // at which other members reach this one
	listenIP   net.IP
	udp        *net.UDPConn
	tcp        *net.TCPListener
	inbox      chan inbound
	commands   chan func()
	writeSlots chan struct{} // semaphore of streams being written
	readSlots  chan struct{} // semaphore of streams being read
	ctx        context.Context
	cancel     context.CancelFunc
	done       sync.WaitGroup
	ended      chan struct{} // closed once all goroutines of the node have ended

	slots *slotManager // nil if the fleet's limits are not divided

	counts Counts // belongs to the loop's goroutine

	mu            sync.Mutex // guards the fields below, which others read while the loop runs
	view          membership.View
	steppedDown   bool // a newer process has the member's name
	watchers      []chan membership.View
	droppedInputs int // messages dropped because the inbox was full
	streamFails   int // streams that could not be sent
}

// inbound is a message that was received from an address.
type inbound struct {
	from   string // for a stream, the address in the message replaces it
	data   []byte
	stream bool
	reply  chan<- []byte // for a stream: takes the reply, if there is one, and is then closed
}

// Listen starts a member. It runs until Close is called.
func Listen(cfg Config) (*Node, error) {
	n := &Node{
		cfg: cfg, inbox: make(chan inbound, inboxSize), commands: make(chan func()), writeSlots: make(chan struct{}, maxStreams),
		readSlots: make(chan struct{}, maxStreams), ended: make(chan struct{}),
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
	if n.core, err = membership.New(cfg.Settings, self, cfg.Seed, time.Now()); err != nil {
		_, _ = n.udp.Close(), n.tcp.Close()
		return nil, err
	}
	n.view = n.core.View()
	if len(cfg.Slots) > 0 {
		if n.slots, err = newSlotManager(n, cfg.Slots, cfg.Share); err != nil {
			_, _ = n.udp.Close(), n.tcp.Close()
			return nil, err
		}
		n.done.Add(1)
	}
	n.ctx, n.cancel = context.WithCancel(context.Background())
	n.done.Add(3)
	go n.readDatagrams()
	go n.acceptStreams()
	go n.loop()
	if n.slots != nil {
		go n.slots.run()
	}
	go func() {
		n.done.Wait()
		close(n.ended)
	}()
	return n, nil
}

// bind listens on one port for both TCP and UDP.
func (n *Node) bind(addr string) error {
	want, err := netip.ParseAddrPort(addr)
	if err != nil {
		return fmt.Errorf("want a numeric address and port: %w", err)
	}
	for range bindAttempts {
		if n.tcp, err = net.ListenTCP("tcp", net.TCPAddrFromAddrPort(want)); err != nil {
			return err
		}
		bound := n.tcp.Addr().(*net.TCPAddr).AddrPort()
		if n.udp, err = net.ListenUDP("udp", net.UDPAddrFromAddrPort(bound)); err == nil {
			n.addr, n.listenIP = bound.String(), bound.Addr().AsSlice()
			return nil
		}
		_ = n.tcp.Close()
		if want.Port() != 0 {
			break
		}
	}
	return err
}

// Addr returns the address at which other members reach this one: the advertised one, or else the listen address.
func (n *Node) Addr() string { return n.addr }

// View returns the latest membership view. It is safe for concurrent use.
func (n *Node) View() membership.View {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.view
}

// SteppedDown reports whether a newer process has the member's name, so that this one no longer takes part.
func (n *Node) SteppedDown() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.steppedDown
}

// Watch returns a channel that receives the current membership view, then each new one. A slow reader misses intermediate
// views, never the latest. The channel is closed when the node ends.
func (n *Node) Watch() <-chan membership.View {
	ch := make(chan membership.View, 1)
	n.mu.Lock()
	defer n.mu.Unlock()
	ch <- n.view
	n.watchers = append(n.watchers, ch)
	return ch
}

// Describe announces the configuration generation and the layout epoch that the gatherer serves from now on.
func (n *Node) Describe(generation, epoch uint64) {
	n.post(func() { n.step(membership.Describe{Generation: generation, Epoch: epoch}) })
}

// KnownMembers returns all known members, including those that are gone, and the counters. ok is false once the node
// has ended.
func (n *Node) KnownMembers() (list []membership.Member, c Counts, ok bool) {
	ok = n.call(func() {
		list, c = n.core.Known(), n.counts
		c.View, c.Seal = n.core.Counts(), n.cfg.Sealer.Counts()
		n.mu.Lock()
		c.QueueFull += n.droppedInputs
		c.SendFails += n.streamFails
		n.mu.Unlock()
		if n.slots != nil {
			_, c.Share = n.slots.state()
		}
	})
	if !ok {
		return nil, Counts{}, false
	}
	return list, c, true
}

// post has the loop run f. It does nothing once the node has ended.
func (n *Node) post(f func()) {
	select {
	case n.commands <- f:
	case <-n.ctx.Done():
	}
}

// call has the loop run f and waits for it. It returns false if the node has ended. The loop itself must not use it.
func (n *Node) call(f func()) bool {
	done := make(chan struct{})
	n.post(func() {
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

// Leave announces that the member is about to end, and waits for that message to go out.
func (n *Node) Leave() {
	n.post(func() { n.step(membership.Leave{}) })
	select {
	case <-time.After(leaveDelay):
	case <-n.ctx.Done():
	}
}

// Close ends the member without notifying the others, as a crash would. It waits for all goroutines of the node.
func (n *Node) Close() {
	n.cancel()
	_, _ = n.udp.Close(), n.tcp.Close()
	<-n.ended
}

// loop owns the membership core and feeds it all events.
func (n *Node) loop() {
	defer n.done.Done()
	timer := time.NewTimer(0)
	defer timer.Stop()
	n.step(membership.Join{Seeds: n.cfg.Seeds})
	for {
		wait := idleInterval
		if due := n.core.Due(); !due.IsZero() {
			wait = max(time.Until(due), 0)
		}
		timer.Reset(wait)
		select {
		case <-n.ctx.Done():
			n.mu.Lock()
			for _, ch := range n.watchers {
				close(ch)
			}
			n.watchers = nil
			n.mu.Unlock()
			return
		case f := <-n.commands:
			f()
		case message := <-n.inbox:
			n.receive(message)
		case <-timer.C:
			n.step(membership.Wake{})
		}
	}
}

// receive opens a message and passes it to the membership core.
func (n *Node) receive(message inbound) {
	if message.stream {
		n.counts.Streams++
		defer close(message.reply)
	} else {
		n.counts.Datagrams++
	}
	data, err := n.cfg.Sealer.Open(time.Now(), message.data)
	if err != nil {
		n.cfg.Log.Debug("fleet message dropped", "from", message.from, "err", err)
		return
	}
	if message.stream { // the connection comes from another port than the sender listens on
		if len(data) == 0 || len(data) < 1+int(data[0]) {
			return
		}
		if data[0] == 0 {
			if reply := n.slots.answerQuestion(data[1:]); reply != nil {
				if sealed, err := n.cfg.Sealer.Seal(time.Now(), reply); err == nil {
					message.reply <- sealed
				}
			}
			return
		}
		message.from, data = string(data[1:1+int(data[0])]), data[1+int(data[0]):]
	}
	n.step(membership.Received{From: message.from, Data: data})
}

// step passes an event to the membership core and carries out the effects.
func (n *Node) step(e membership.Event) {
	for _, x := range n.core.Step(time.Now(), e) {
		switch x := x.(type) {
		case membership.Send:
			n.send(x)
		case membership.ViewChanged:
			n.publishView(x.View)
		case membership.MemberChanged:
			n.cfg.Log.Info("member", "name", x.Member.Name, "state", x.Member.State, "was", x.Previous, "addr", x.Member.Addr, "new", x.New)
		case membership.SteppedDown:
			n.mu.Lock()
			n.steppedDown = true
			n.mu.Unlock()
		case membership.Warn:
			n.cfg.Log.Warn(x.Text)
		}
	}
}

// publishView makes a membership view the latest one and sends it to the watchers.
func (n *Node) publishView(v membership.View) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.view = v
	for _, ch := range n.watchers {
		select {
		case <-ch: // discards the previous view if it was not read
		default:
		}
		ch <- v
	}
}

// send seals and sends a message.
func (n *Node) send(x membership.Send) {
	data := x.Data
	if x.Stream {
		data = append(append([]byte{byte(len(n.addr))}, n.addr...), data...)
	}
	sealed, err := n.cfg.Sealer.Seal(time.Now(), data)
	if err != nil {
		if n.counts.Unsealed++; n.counts.Unsealed == 1 {
			n.cfg.Log.Error("cannot seal fleet messages", "err", err)
		}
		return
	}
	if x.Stream {
		n.sendStream(x.To, sealed)
		return
	}
	to, err := netip.ParseAddrPort(x.To)
	if err == nil {
		_ = n.udp.SetWriteDeadline(time.Now().Add(datagramTimeout))
		_, err = n.udp.WriteToUDPAddrPort(sealed, to)
	}
	if err != nil {
		n.counts.SendFails++
	}
}

// sendStream sends a message over a connection of its own, in a goroutine of its own.
func (n *Node) sendStream(to string, sealed []byte) {
	select {
	case n.writeSlots <- struct{}{}:
	default:
		n.counts.StreamFull++
		return
	}
	n.done.Add(1)
	go func() {
		defer n.done.Done()
		defer func() { <-n.writeSlots }()
		if err := n.writeStream(to, sealed); err != nil && !errors.Is(err, context.Canceled) {
			n.mu.Lock()
			n.streamFails++
			n.mu.Unlock()
		}
	}()
}

func (n *Node) writeStream(to string, sealed []byte) error {
	ctx, cancel := context.WithTimeout(n.ctx, streamTimeout)
	defer cancel()
	conn, err := n.dialer().DialContext(ctx, "tcp", to)
	if err != nil {
		return err
	}
	defer conn.Close()
	_ = conn.SetDeadline(time.Now().Add(streamTimeout))
	_, err = conn.Write(frame(sealed))
	return err
}

// frame prepends the length of a message to it, as 4 bytes, big-endian.
func frame(b []byte) []byte { return append(binary.BigEndian.AppendUint32(nil, uint32(len(b))), b...) }

var errTooLong = errors.New("fleet: message too long")

// readFrame reads a message that frame has encoded.
func readFrame(conn io.Reader) ([]byte, error) {
	var head [4]byte
	if _, err := io.ReadFull(conn, head[:]); err != nil {
		return nil, err
	}
	size := int64(binary.BigEndian.Uint32(head[:]))
	if size > maxMessageBytes {
		return nil, errTooLong
	}
	data, err := io.ReadAll(io.LimitReader(conn, size)) // the buffer grows with the data received, not with the announced size
	if err == nil && int64(len(data)) < size {
		err = io.ErrUnexpectedEOF
	}
	return data, err
}

// dialer returns a dialer for connections from the member's listen address, so that others can tell several members on
// one machine apart.
func (n *Node) dialer() *net.Dialer {
	return &net.Dialer{LocalAddr: &net.TCPAddr{IP: n.listenIP}}
}

// enqueue hands a message to the loop, or drops it if the inbox is full.
func (n *Node) enqueue(message inbound) bool {
	select {
	case n.inbox <- message:
		return true
	default:
		n.mu.Lock()
		n.droppedInputs++
		n.mu.Unlock()
		return false
	}
}

// readDatagrams reads what arrives over UDP.
func (n *Node) readDatagrams() {
	defer n.done.Done()
	buf := make([]byte, maxDatagramBytes)
	for {
		size, from, err := n.udp.ReadFromUDPAddrPort(buf)
		if err != nil {
			if n.ctx.Err() != nil {
				return
			}
			if !errors.Is(err, syscall.ECONNREFUSED) { // ECONNREFUSED is the ICMP error for a datagram sent to a port without a listener
				n.backOff()
			}
			continue
		}
		n.enqueue(inbound{from: netip.AddrPortFrom(from.Addr().Unmap(), from.Port()).String(), data: append([]byte(nil), buf[:size]...)})
	}
}

// backOff waits briefly after a failed call.
func (n *Node) backOff() {
	select {
	case <-time.After(datagramTimeout):
	case <-n.ctx.Done():
	}
}

// acceptStreams accepts connections, each of which carries one message.
func (n *Node) acceptStreams() {
	defer n.done.Done()
	for {
		conn, err := n.tcp.Accept()
		if err != nil {
			if n.ctx.Err() != nil {
				return
			}
			n.backOff() // most likely out of file descriptors
			continue
		}
		select {
		case n.readSlots <- struct{}{}:
		default:
			_ = conn.Close()
			continue
		}
		n.done.Add(1)
		go func() {
			defer n.done.Done()
			defer func() { <-n.readSlots }()
			defer conn.Close()
			_ = conn.SetDeadline(time.Now().Add(streamTimeout))
			data, err := readFrame(conn)
			if err != nil {
				return
			}
			reply := make(chan []byte, 1)
			if !n.enqueue(inbound{from: conn.RemoteAddr().String(), data: data, stream: true, reply: reply}) {
				return
			}
			select {
			case b := <-reply: // nil if there is no reply
				if b != nil {
					_, _ = conn.Write(frame(b))
				}
			case <-n.ctx.Done():
			}
		}()
	}
}
