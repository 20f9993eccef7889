package standin

import (
	"context"
	"net"
	"net/netip"
	"sync"
	"time"

	"github.com/pkg/errors"
)

// Limits of the in-memory network.
const (
	// maxInterleavedBytes is the size of a write up to which it uses capacity of the link but does
	// not queue behind bulk transfers, since packets of many flows share a link in turn. Tests
	// that limit link rates use larger chunks of weights.
	maxInterleavedBytes = 12 << 10
	// dialTimeout is the time after which a dial across a partition fails.
	dialTimeout = 500 * time.Millisecond
	// maxSegmentBytes is the size of the parts into which a write is split.
	maxSegmentBytes = 64 << 10
	// maxDatagramDelay is the queue of a link, as a time, from which on it drops datagrams.
	maxDatagramDelay = 100 * time.Millisecond
)

// MemoryNetwork is an in-memory network with limited link rates, latency and partitions. It
// works under the fake time of testing/synctest.
type MemoryNetwork struct {
	mu                sync.Mutex
	listeners         map[netip.AddrPort]*memoryListener
	sockets           map[netip.AddrPort]*memorySocket
	regionLinks       map[[2]string]*link
	regionDatagrams   int64 // bytes of datagrams between regions, with their headers
	partitions        map[[2]string]bool
	partitionsChanged chan struct{}
	latency           time.Duration
	rate              int64 // of a link between regions, in bytes per second; 0 for no limit
}

// NewMemoryNetwork returns a network with a one-way latency and a rate in bytes per second of
// each link between two regions; a rate of 0 means no limit.
func NewMemoryNetwork(latency time.Duration, regionRate int64) *MemoryNetwork {
	return &MemoryNetwork{
		listeners:         make(map[netip.AddrPort]*memoryListener),
		sockets:           make(map[netip.AddrPort]*memorySocket),
		regionLinks:       make(map[[2]string]*link),
		partitions:        make(map[[2]string]bool),
		partitionsChanged: make(chan struct{}),
		latency:           latency,
		rate:              regionRate,
	}
}

// link is one direction of a link with limited rate. The network's lock guards it.
type link struct {
	rate      int64
	busyUntil time.Time
	bytes     int64
}

// reserve uses the capacity of the link for a number of bytes and returns when they are through.
// Small writes use capacity, too, but are through at once.
func (l *link) reserve(now time.Time, bytes int) time.Time {
	l.bytes += int64(bytes)
	if l.rate == 0 {
		return now
	}
	if l.busyUntil.Before(now) {
		l.busyUntil = now
	}
	l.busyUntil = l.busyUntil.Add(time.Duration(int64(bytes) * int64(time.Second) / l.rate))
	if bytes <= maxInterleavedBytes {
		return now
	}
	return l.busyUntil
}

// carry reserves the capacity of the link for a datagram and returns when it is through, or false if the
// link's queue is too long for it.
func (l *link) carry(now time.Time, bytes int) (time.Time, bool) {
	if l.rate == 0 {
		return now, true
	}
	if l.busyUntil.Sub(now) > maxDatagramDelay {
		return now, false
	}
	l.busyUntil = later(now, l.busyUntil).Add(time.Duration(int64(bytes) * int64(time.Second) / l.rate))
	return l.busyUntil, true
}

// Host is a machine on a MemoryNetwork. It implements foxtailwharf.Network.
type Host struct {
	network *MemoryNetwork
	domain  string
	region  string
	up      *link
	down    *link

	mu       sync.Mutex
	conns    map[*memoryConn]bool
	isKilled bool
}

// Host adds a machine to the network. The rate of its link is in bytes per second in each
// direction; 0 means no limit.
func (n *MemoryNetwork) Host(domain, region string, rate int64) *Host {
	return &Host{
		network: n,
		domain:  domain,
		region:  region,
		up:      &link{rate: rate},
		down:    &link{rate: rate},
		conns:   make(map[*memoryConn]bool),
	}
}

// SetRate sets the rate of the machine's link, in bytes per second in each direction.
func (h *Host) SetRate(rate int64) {
	h.network.mu.Lock()
	defer h.network.mu.Unlock()
	h.up.rate, h.down.rate = rate, rate
}

// Traffic returns the bytes written to connections from and to the machine. Datagrams are not
// counted.
func (h *Host) Traffic() (out, in int64) {
	h.network.mu.Lock()
	defer h.network.mu.Unlock()
	return h.up.bytes, h.down.bytes
}

// RegionTraffic returns the bytes written to connections from one region to another.
func (n *MemoryNetwork) RegionTraffic(from, to string) int64 {
	n.mu.Lock()
	defer n.mu.Unlock()
	if l, isUsed := n.regionLinks[[2]string{from, to}]; isUsed {
		return l.bytes
	}
	return 0
}

// datagramHeaderBytes is the size of the headers of IPv4 and UDP.
const datagramHeaderBytes = 28

// RegionDatagrams returns the bytes of all datagrams between regions, with their headers.
func (n *MemoryNetwork) RegionDatagrams() int64 {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.regionDatagrams
}

// Kill closes the machine's connections, listeners and sockets, and makes its further dials fail.
func (h *Host) Kill() {
	h.mu.Lock()
	h.isKilled = true
	conns := make([]*memoryConn, 0, len(h.conns))
	for c := range h.conns {
		conns = append(conns, c)
	}
	h.mu.Unlock()
	for _, c := range conns {
		_ = c.Close()
		_ = c.peer.Close()
	}
	h.network.mu.Lock()
	defer h.network.mu.Unlock()
	for address, s := range h.network.sockets {
		if s.host == h {
			delete(h.network.sockets, address)
			s.once.Do(func() { close(s.closed) })
		}
	}
	for address, l := range h.network.listeners {
		if l.host == h {
			delete(h.network.listeners, address)
			l.closeOnce()
		}
	}
}

// SetPartitioned partitions two failure domains from each other, or ends the partition.
func (n *MemoryNetwork) SetPartitioned(a, b string, isPartitioned bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.partitions[[2]string{a, b}] = isPartitioned
	n.partitions[[2]string{b, a}] = isPartitioned
	close(n.partitionsChanged)
	n.partitionsChanged = make(chan struct{})
}

func (n *MemoryNetwork) isPartitioned(a, b string) (bool, <-chan struct{}) {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.partitions[[2]string{a, b}], n.partitionsChanged
}

// Listen opens a listener. It fails if the address is in use.
func (h *Host) Listen(_ context.Context, address netip.AddrPort) (net.Listener, error) {
	h.network.mu.Lock()
	defer h.network.mu.Unlock()
	if _, isUsed := h.network.listeners[address]; isUsed {
		return nil, errors.Errorf("Host.Listen: %s is in use", address)
	}
	l := &memoryListener{host: h, address: address, incoming: make(chan net.Conn, 64), closed: make(chan struct{})}
	h.network.listeners[address] = l
	return l, nil
}

// Dial opens a connection. It fails at once if nothing listens at the address, and after
// dialTimeout if a partition is in between.
func (h *Host) Dial(ctx context.Context, address netip.AddrPort) (net.Conn, error) {
	h.network.mu.Lock()
	l, isOpen := h.network.listeners[address]
	h.network.mu.Unlock()
	if !isOpen || h.killed() {
		return nil, errors.Errorf("Host.Dial: %s refused the connection", address)
	}
	if isPartitioned, _ := h.network.isPartitioned(h.domain, l.host.domain); isPartitioned {
		ctx, cancel := context.WithTimeout(ctx, dialTimeout)
		defer cancel()
		<-ctx.Done()
		return nil, errors.Errorf("Host.Dial: %s does not answer", address)
	}
	local, remote := connect(h, l.host, address)
	select {
	case l.incoming <- remote:
		return local, nil
	case <-l.closed:
		return nil, errors.Errorf("Host.Dial: %s refused the connection", address)
	case <-ctx.Done():
		return nil, errors.Wrap(ctx.Err(), "Host.Dial")
	}
}

func (h *Host) killed() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.isKilled
}

// transfer reserves the links between two hosts for a write and returns when it arrives.
func (n *MemoryNetwork) transfer(from, to *Host, bytes int) time.Time {
	n.mu.Lock()
	defer n.mu.Unlock()
	now := time.Now()
	arrival := later(from.up.reserve(now, bytes), to.down.reserve(now, bytes))
	if from.region != to.region {
		arrival = later(arrival, n.regionLink(from.region, to.region).reserve(now, bytes))
	}
	return arrival.Add(n.latency)
}

// regionLink returns the link from one region to another. The lock must be held.
func (n *MemoryNetwork) regionLink(from, to string) *link {
	key := [2]string{from, to}
	l, isUsed := n.regionLinks[key]
	if !isUsed {
		l = &link{rate: n.rate}
		n.regionLinks[key] = l
	}
	return l
}

// Transfer blocks while a number of bytes goes from another machine to this one.
func (h *Host) Transfer(from *Host, bytes int) {
	time.Sleep(time.Until(h.network.transfer(from, h, bytes)))
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// memoryListener is a net.Listener on a MemoryNetwork.
type memoryListener struct {
	host     *Host
	address  netip.AddrPort
	incoming chan net.Conn
	closed   chan struct{}
	once     sync.Once
}

// Accept waits for a connection. It fails with net.ErrClosed once the listener is closed.
func (l *memoryListener) Accept() (net.Conn, error) {
	select {
	case c := <-l.incoming:
		return c, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

// Close closes the listener and frees its address.
func (l *memoryListener) Close() error {
	l.host.network.mu.Lock()
	defer l.host.network.mu.Unlock()
	if l.host.network.listeners[l.address] == l {
		delete(l.host.network.listeners, l.address)
	}
	l.closeOnce()
	return nil
}

func (l *memoryListener) closeOnce() {
	l.once.Do(func() { close(l.closed) })
}

// Addr returns the address that the listener was opened with.
func (l *memoryListener) Addr() net.Addr {
	return net.TCPAddrFromAddrPort(l.address)
}
