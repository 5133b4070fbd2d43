package testcluster

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/netip"
	"sync"
	"time"
)

// Link describes the network from one gatherer to another. The zero value is a link without faults.
type Link struct {
	Partitioned             bool          // nothing passes
	LossRate, DuplicateRate float64       // shares of the datagrams and streams that are lost, or delivered twice
	Delay                   time.Duration // of each message
	Jitter                  time.Duration // upper bound of a random further delay, which reorders messages
	BytesPerSecond          int           // messages beyond it are lost; 0: unlimited
}

// Addresses and bounds of a network's relays.
const (
	port           = 7300
	maxStreamBytes = 4 << 20         // maximum length of a stream; the gatherers accept as much
	streamTimeout  = 3 * time.Second // of a relayed stream
	firstOctet     = 64              // the second octet of a test cluster's loopback addresses is from here to lastOctet
	lastOctet      = 191
	maxGatherers   = 200
)

// network relays what gatherers send each other, so that faults can be injected. Each gatherer listens at an address of
// its own, by which a relay identifies the sender; the other gatherers know it by the address of its relay.
//
// A gatherer checks whether the host of another gatherer's slot refuses connections. For this check each ordered pair of
// gatherers has a slot listener. The listener is closed, so that connections are refused, only while the other gatherer's
// process is down and no partition separates the pair. Across a partition connections are accepted, but no data is
// returned.
type network struct {
	octet     int          // second octet of its loopback addresses
	size      int          // number of gatherers
	octetLock net.Listener // reserves octet, so that other test clusters on this machine use others

	mu            sync.Mutex
	rng           *rand.Rand
	links         [][]Link         // by sender and receiver
	traffic       [][]traffic      // by sender and receiver
	down          []bool           // by gatherer: no process runs
	slotListeners [][]net.Listener // by connecting gatherer and slot; nil: connections are refused
	closed        bool

	relays     []*relay
	goroutines sync.WaitGroup
}

// traffic counts the bytes sent over a link in the current second.
type traffic struct {
	since time.Time
	bytes int
}

// relay forwards what the other gatherers send to one gatherer.
type relay struct {
	network *network
	to      int // the gatherer that it forwards to
	udp     *net.UDPConn
	tcp     *net.TCPListener
	replies []*net.UDPConn // by sender: receives what the gatherer answers to it
}

// newNetwork starts the relays of a number of gatherers, none of which runs yet. The seed decides which messages
// links drop, duplicate and delay.
func newNetwork(gatherers int, seed uint64) (*network, error) {
	if gatherers < 1 || gatherers > maxGatherers {
		return nil, fmt.Errorf("test cluster: %d gatherers, want 1 to %d", gatherers, maxGatherers)
	}
	n := &network{size: gatherers, rng: rand.New(rand.NewPCG(seed, 0x6e6574)), down: make([]bool, gatherers)}
	var err error
	for n.octet = firstOctet; n.octet <= lastOctet; n.octet++ { // other test clusters may run at the same time
		if n.octetLock, err = net.Listen("tcp", fmt.Sprintf("127.%d.255.1:%d", n.octet, port)); err == nil {
			break
		}
	}
	if err != nil {
		return nil, fmt.Errorf("test cluster: no loopback addresses left: %w", err)
	}
	for range gatherers {
		n.links, n.traffic, n.slotListeners = append(n.links, make([]Link, gatherers)), append(n.traffic, make([]traffic, gatherers)), append(n.slotListeners, make([]net.Listener, gatherers))
	}
	for i := range gatherers {
		n.down[i] = true
		r, err := n.newRelay(i)
		if err != nil {
			n.close()
			return nil, fmt.Errorf("test cluster: %w", err)
		}
		n.relays = append(n.relays, r)
	}
	return n, nil
}

// listenAddr returns the address at which a gatherer itself listens.
func (n *network) listenAddr(i int) string { return fmt.Sprintf("127.%d.0.%d:%d", n.octet, i+1, port) }

// slotAddr returns the address to which gatherer i connects to check whether the host of slot j refuses connections.
func (n *network) slotAddr(i, j int) string {
	return fmt.Sprintf("127.%d.%d.%d:%d", n.octet, i+1, j+1, port)
}

// queryAddr returns the address at which a gatherer takes queries.
func (n *network) queryAddr(i int) string { return fmt.Sprintf("127.%d.254.%d:%d", n.octet, i+1, port) }

// sender returns the gatherer that has an address, or -1 if none has it.
func (n *network) sender(a netip.Addr) int {
	b := a.Unmap().As4()
	if i := int(b[3]) - 1; int(b[1]) == n.octet && b[2] == 0 && i >= 0 && i < n.size {
		return i
	}
	return -1
}

// newRelay starts the relay of a gatherer.
func (n *network) newRelay(to int) (*relay, error) {
	r := &relay{network: n, to: to, replies: make([]*net.UDPConn, n.size)}
	addr := netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, byte(n.octet), 253, byte(to + 1)}), port)
	var err error
	if r.udp, err = net.ListenUDP("udp4", net.UDPAddrFromAddrPort(addr)); err != nil {
		return nil, err
	}
	if r.tcp, err = net.ListenTCP("tcp4", net.TCPAddrFromAddrPort(addr)); err != nil {
		return nil, err
	}
	for i := range n.size {
		if r.replies[i], err = net.ListenUDP("udp4", &net.UDPAddr{IP: net.IPv4(127, byte(n.octet), 252, byte(to+1))}); err != nil {
			return nil, err
		}
		n.goroutines.Add(1)
		go r.relayReplies(i)
	}
	n.goroutines.Add(2)
	go r.relayDatagrams()
	go r.relayStreams()
	return r, nil
}

// forward delivers a message from one gatherer to another with the faults of their link: once, twice, late or not at all.
func (n *network) forward(from, to, bytes int, deliver func()) {
	n.mu.Lock()
	l, t := n.links[from][to], &n.traffic[from][to]
	if now := time.Now(); now.Sub(t.since) > time.Second {
		*t = traffic{since: now}
	}
	t.bytes += bytes
	times := 1
	switch {
	case n.closed || l.Partitioned || n.rng.Float64() < l.LossRate || l.BytesPerSecond > 0 && t.bytes > l.BytesPerSecond:
		times = 0
	case n.rng.Float64() < l.DuplicateRate:
		times = 2
	}
	var delays []time.Duration
	for range times {
		delays = append(delays, l.Delay+time.Duration(n.rng.Float64()*float64(l.Jitter)))
	}
	n.mu.Unlock()
	for _, d := range delays {
		if d == 0 {
			deliver()
		} else {
			time.AfterFunc(d, deliver)
		}
	}
}

// relayDatagrams forwards the datagrams that other gatherers send to this one.
func (r *relay) relayDatagrams() {
	defer r.network.goroutines.Done()
	receiverAddr := netip.MustParseAddrPort(r.network.listenAddr(r.to))
	for buf := make([]byte, 1<<16); ; {
		n, addr, err := r.udp.ReadFromUDPAddrPort(buf)
		if err != nil {
			return
		}
		if from := r.network.sender(addr.Addr()); from >= 0 {
			data := append([]byte(nil), buf[:n]...)
			r.network.forward(from, r.to, n, func() { _, _ = r.replies[from].WriteToUDPAddrPort(data, receiverAddr) })
		}
	}
}

// relayReplies forwards what the gatherer replies to datagrams that one of the others sent through this relay.
func (r *relay) relayReplies(to int) {
	defer r.network.goroutines.Done()
	receiverAddr := netip.MustParseAddrPort(r.network.listenAddr(to))
	for buf := make([]byte, 1<<16); ; {
		n, _, err := r.replies[to].ReadFromUDPAddrPort(buf)
		if err != nil {
			return
		}
		data := append([]byte(nil), buf[:n]...)
		r.network.forward(r.to, to, n, func() { _, _ = r.udp.WriteToUDPAddrPort(data, receiverAddr) })
	}
}

// relayStreams forwards the streams that other gatherers send to this one. Each is read whole before it is forwarded.
func (r *relay) relayStreams() {
	defer r.network.goroutines.Done()
	for {
		c, err := r.tcp.AcceptTCP()
		if err != nil {
			return
		}
		r.network.goroutines.Add(1)
		go func() {
			defer r.network.goroutines.Done()
			defer c.Close()
			_ = c.SetDeadline(time.Now().Add(streamTimeout))
			data, err := io.ReadAll(io.LimitReader(c, maxStreamBytes))
			from := r.network.sender(c.RemoteAddr().(*net.TCPAddr).AddrPort().Addr())
			if err != nil || from < 0 {
				return
			}
			r.network.forward(from, r.to, len(data), func() {
				upstream, err := net.DialTimeout("tcp", r.network.listenAddr(r.to), streamTimeout)
				if err != nil {
					return
				}
				defer upstream.Close()
				_ = upstream.SetDeadline(time.Now().Add(streamTimeout))
				_, _ = upstream.Write(data)
			})
		}()
	}
}

// setLinks replaces the links for which change returns true, and updates the slot listeners accordingly.
func (n *network) setLinks(change func(from, to int) (Link, bool)) error {
	n.mu.Lock()
	for i := range n.size {
		for j := range n.size {
			if l, ok := change(i, j); ok && i != j {
				n.links[i][j] = l
			}
		}
	}
	n.mu.Unlock()
	return n.updateSlotListeners()
}

// setRunning records that a gatherer's process is about to start, or that it has ended.
func (n *network) setRunning(i int, running bool) error {
	n.mu.Lock()
	n.down[i] = !running
	n.mu.Unlock()
	return n.updateSlotListeners()
}

// updateSlotListeners opens and closes the slot listeners to match the links and the gatherers that run.
func (n *network) updateSlotListeners() error {
	n.mu.Lock()
	defer n.mu.Unlock()
	for i := range n.size {
		for j := range n.size {
			refused := n.down[j] && !n.links[i][j].Partitioned && !n.links[j][i].Partitioned
			switch l := n.slotListeners[i][j]; {
			case i == j || n.closed:
			case refused && l != nil:
				_ = l.Close()
				n.slotListeners[i][j] = nil
			case !refused && l == nil:
				l, err := net.Listen("tcp", n.slotAddr(i, j))
				if err != nil {
					return fmt.Errorf("test cluster: %w", err)
				}
				n.slotListeners[i][j] = l
				n.goroutines.Add(1)
				go n.serveSlot(l, i, j)
			}
		}
	}
	return nil
}

// serveSlot accepts the connections of one gatherer to another's slot and forwards them to the other gatherer. While a
// partition separates the two, nothing is forwarded and the connections only stay open.
func (n *network) serveSlot(l net.Listener, from, to int) {
	defer n.goroutines.Done()
	for {
		c, err := l.Accept()
		if err != nil {
			return
		}
		n.goroutines.Add(1)
		go func() {
			defer n.goroutines.Done()
			defer c.Close()
			_ = c.SetDeadline(time.Now().Add(streamTimeout))
			n.mu.Lock()
			partitioned := n.links[from][to].Partitioned || n.links[to][from].Partitioned
			n.mu.Unlock()
			if partitioned {
				_, _ = io.Copy(io.Discard, c)
				return
			}
			upstream, err := net.DialTimeout("tcp", n.listenAddr(to), streamTimeout)
			if err != nil {
				return
			}
			defer upstream.Close()
			_ = upstream.SetDeadline(time.Now().Add(streamTimeout))
			go func() {
				_, _ = io.Copy(upstream, c)
				_ = upstream.(*net.TCPConn).CloseWrite()
			}()
			_, _ = io.Copy(c, upstream)
		}()
	}
}

// close ends all relays and waits for their goroutines.
func (n *network) close() {
	n.mu.Lock()
	n.closed = true
	for _, row := range n.slotListeners {
		for _, l := range row {
			if l != nil {
				_ = l.Close()
			}
		}
	}
	n.mu.Unlock()
	for _, r := range n.relays {
		_, _ = r.udp.Close(), r.tcp.Close()
		for _, conn := range r.replies {
			_ = conn.Close()
		}
	}
	_ = n.octetLock.Close()
	n.goroutines.Wait()
}
