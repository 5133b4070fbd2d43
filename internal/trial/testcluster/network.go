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
	LossRate, DuplicateRate float64       // shares of the datagrams and streams lost, or delivered twice
	Delay                   time.Duration // of each message
	Jitter                  time.Duration // upper bound of a random further delay, which reorders messages
	BytesPerSecond          int           // what exceeds it is lost; 0: unlimited
}

// Addresses and bounds of a network's relays.
const (
	port           = 7300
	maxStreamBytes = 4 << 20         // bytes of a stream, as much as the gatherers accept
	streamTimeout  = 3 * time.Second // of a relayed stream
	firstOctet     = 64              // to lastOctet: second bytes of the loopback addresses of test clusters
	lastOctet      = 191
	maxGatherers   = 200
)

// network relays what gatherers send each other, so that faults can be injected. Each gatherer listens at an address of
// its own, by which a relay identifies the sender; the other gatherers know it by the address of its relay.
//
// A gatherer checks whether the host of another's slot refuses connections. For this each ordered pair of gatherers has
// a slot listener. It is closed, so that connections are refused, only while the other gatherer's process is down and no
// partition separates the pair: across a partition connections are accepted, but nothing comes back.
type network struct {
	octet     int
	size      int          // number of gatherers
	octetLock net.Listener // reserves octet among the test clusters of this machine

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

// newNetwork starts the relays of n gatherers, none of which runs yet. The seed decides which datagrams links drop,
// duplicate and delay.
func newNetwork(n int, seed uint64) (*network, error) {
	if n < 1 || n > maxGatherers {
		return nil, fmt.Errorf("rig: %d gatherers, want 1 to %d", n, maxGatherers)
	}
	w := &network{size: n, rng: rand.New(rand.NewPCG(seed, 0x6e6574)), down: make([]bool, n)}
	var err error
	for w.octet = firstOctet; w.octet <= lastOctet; w.octet++ { // other test clusters may run at the same time
		if w.octetLock, err = net.Listen("tcp", fmt.Sprintf("127.%d.255.1:%d", w.octet, port)); err == nil {
			break
		}
	}
	if err != nil {
		return nil, fmt.Errorf("rig: no loopback addresses left: %w", err)
	}
	for range n {
		w.links, w.traffic, w.slotListeners = append(w.links, make([]Link, n)), append(w.traffic, make([]traffic, n)), append(w.slotListeners, make([]net.Listener, n))
	}
	for i := range n {
		w.down[i] = true
		r, err := w.newRelay(i)
		if err != nil {
			w.close()
			return nil, fmt.Errorf("rig: %w", err)
		}
		w.relays = append(w.relays, r)
	}
	return w, nil
}

// listenAddr returns the address at which a gatherer itself listens.
func (w *network) listenAddr(i int) string { return fmt.Sprintf("127.%d.0.%d:%d", w.octet, i+1, port) }

// slotAddr returns the address to which gatherer i connects to check whether the host of slot j refuses connections.
func (w *network) slotAddr(i, j int) string {
	return fmt.Sprintf("127.%d.%d.%d:%d", w.octet, i+1, j+1, port)
}

// queryAddr returns the address at which a gatherer takes queries.
func (w *network) queryAddr(i int) string { return fmt.Sprintf("127.%d.254.%d:%d", w.octet, i+1, port) }

// sender returns the gatherer that has an address, or -1 if none has it.
func (w *network) sender(a netip.Addr) int {
	b := a.Unmap().As4()
	if i := int(b[3]) - 1; int(b[1]) == w.octet && b[2] == 0 && i >= 0 && i < w.size {
		return i
	}
	return -1
}

// newRelay starts the relay of a gatherer.
func (w *network) newRelay(to int) (*relay, error) {
	r := &relay{network: w, to: to, replies: make([]*net.UDPConn, w.size)}
	addr := netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, byte(w.octet), 253, byte(to + 1)}), port)
	var err error
	if r.udp, err = net.ListenUDP("udp4", net.UDPAddrFromAddrPort(addr)); err != nil {
		return nil, err
	}
	if r.tcp, err = net.ListenTCP("tcp4", net.TCPAddrFromAddrPort(addr)); err != nil {
		return nil, err
	}
	for i := range w.size {
		if r.replies[i], err = net.ListenUDP("udp4", &net.UDPAddr{IP: net.IPv4(127, byte(w.octet), 252, byte(to+1))}); err != nil {
			return nil, err
		}
		w.goroutines.Add(1)
		go r.relayReplies(i)
	}
	w.goroutines.Add(2)
	go r.relayDatagrams()
	go r.relayStreams()
	return r, nil
}

// forward delivers a message between two gatherers as the link between them allows: once, twice, late or not at all.
func (w *network) forward(from, to, bytes int, deliver func()) {
	w.mu.Lock()
	l, t := w.links[from][to], &w.traffic[from][to]
	if now := time.Now(); now.Sub(t.since) > time.Second {
		*t = traffic{since: now}
	}
	t.bytes += bytes
	times := 1
	switch {
	case w.closed || l.Partitioned || w.rng.Float64() < l.LossRate || l.BytesPerSecond > 0 && t.bytes > l.BytesPerSecond:
		times = 0
	case w.rng.Float64() < l.DuplicateRate:
		times = 2
	}
	var delays []time.Duration
	for range times {
		delays = append(delays, l.Delay+time.Duration(w.rng.Float64()*float64(l.Jitter)))
	}
	w.mu.Unlock()
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
	own := netip.MustParseAddrPort(r.network.listenAddr(r.to))
	for buf := make([]byte, 1<<16); ; {
		n, addr, err := r.udp.ReadFromUDPAddrPort(buf)
		if err != nil {
			return
		}
		if from := r.network.sender(addr.Addr()); from >= 0 {
			data := append([]byte(nil), buf[:n]...)
			r.network.forward(from, r.to, n, func() { _, _ = r.replies[from].WriteToUDPAddrPort(data, own) })
		}
	}
}

// relayReplies forwards what the gatherer replies to datagrams that one of the others sent through this relay.
func (r *relay) relayReplies(to int) {
	defer r.network.goroutines.Done()
	own := netip.MustParseAddrPort(r.network.listenAddr(to))
	for buf := make([]byte, 1<<16); ; {
		n, _, err := r.replies[to].ReadFromUDPAddrPort(buf)
		if err != nil {
			return
		}
		data := append([]byte(nil), buf[:n]...)
		r.network.forward(r.to, to, n, func() { _, _ = r.udp.WriteToUDPAddrPort(data, own) })
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
				to, err := net.DialTimeout("tcp", r.network.listenAddr(r.to), streamTimeout)
				if err != nil {
					return
				}
				defer to.Close()
				_ = to.SetDeadline(time.Now().Add(streamTimeout))
				_, _ = to.Write(data)
			})
		}()
	}
}

// setLinks replaces the links for which change returns true, and updates the slot listeners accordingly.
func (w *network) setLinks(change func(from, to int) (Link, bool)) error {
	w.mu.Lock()
	for i := range w.size {
		for j := range w.size {
			if l, ok := change(i, j); ok && i != j {
				w.links[i][j] = l
			}
		}
	}
	w.mu.Unlock()
	return w.updateSlotListeners()
}

// setRunning records that a gatherer's process is about to start, or has certainly ended.
func (w *network) setRunning(i int, running bool) error {
	w.mu.Lock()
	w.down[i] = !running
	w.mu.Unlock()
	return w.updateSlotListeners()
}

// updateSlotListeners opens and closes the slot listeners to match the links and the gatherers that run.
func (w *network) updateSlotListeners() error {
	w.mu.Lock()
	defer w.mu.Unlock()
	for i := range w.size {
		for j := range w.size {
			refused := w.down[j] && !w.links[i][j].Partitioned && !w.links[j][i].Partitioned
			switch l := w.slotListeners[i][j]; {
			case i == j || w.closed:
			case refused && l != nil:
				_ = l.Close()
				w.slotListeners[i][j] = nil
			case !refused && l == nil:
				l, err := net.Listen("tcp", w.slotAddr(i, j))
				if err != nil {
					return fmt.Errorf("rig: %w", err)
				}
				w.slotListeners[i][j] = l
				w.goroutines.Add(1)
				go w.serveSlot(l, i, j)
			}
		}
	}
	return nil
}

// serveSlot accepts the connections of one gatherer to another's slot. They are forwarded to the other gatherer, unless
// a partition separates the two: then they only stay open.
func (w *network) serveSlot(l net.Listener, from, to int) {
	defer w.goroutines.Done()
	for {
		c, err := l.Accept()
		if err != nil {
			return
		}
		w.goroutines.Add(1)
		go func() {
			defer w.goroutines.Done()
			defer c.Close()
			_ = c.SetDeadline(time.Now().Add(streamTimeout))
			w.mu.Lock()
			partitioned := w.links[from][to].Partitioned || w.links[to][from].Partitioned
			w.mu.Unlock()
			if partitioned {
				_, _ = io.Copy(io.Discard, c)
				return
			}
			upstream, err := net.DialTimeout("tcp", w.listenAddr(to), streamTimeout)
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
func (w *network) close() {
	w.mu.Lock()
	w.closed = true
	for _, row := range w.slotListeners {
		for _, l := range row {
			if l != nil {
				_ = l.Close()
			}
		}
	}
	w.mu.Unlock()
	for _, r := range w.relays {
		_, _ = r.udp.Close(), r.tcp.Close()
		for _, conn := range r.replies {
			_ = conn.Close()
		}
	}
	_ = w.octetLock.Close()
	w.goroutines.Wait()
}
