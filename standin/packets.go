package standin

import (
	"context"
	"net"
	"net/netip"
	"os"
	"sync"
	"time"

	"github.com/pkg/errors"
)

// maxDatagramBytes is the size of the largest datagram of UDP over IPv4.
const maxDatagramBytes = 65507

// maxQueuedDatagrams is the number of datagrams queued at a socket; further ones are lost.
const maxQueuedDatagrams = 256

// memorySocket is a net.PacketConn on a MemoryNetwork.
type memorySocket struct {
	host     *Host
	address  netip.AddrPort
	incoming chan datagram
	closed   chan struct{}
	once     sync.Once
}

// datagram is a queued datagram and its sender.
type datagram struct {
	from netip.AddrPort
	data []byte
}

// ListenPacket opens a datagram socket. It fails if the address is in use.
func (h *Host) ListenPacket(_ context.Context, address netip.AddrPort) (net.PacketConn, error) {
	h.network.mu.Lock()
	defer h.network.mu.Unlock()
	if _, isUsed := h.network.sockets[address]; isUsed {
		return nil, errors.Errorf("Host.ListenPacket: %s is in use", address)
	}
	s := &memorySocket{host: h, address: address, incoming: make(chan datagram, maxQueuedDatagrams), closed: make(chan struct{})}
	h.network.sockets[address] = s
	return s, nil
}

// ReadFrom waits for a datagram. It fails with net.ErrClosed once the socket is closed.
func (s *memorySocket) ReadFrom(p []byte) (int, net.Addr, error) {
	select {
	case d := <-s.incoming:
		return copy(p, d.data), net.UDPAddrFromAddrPort(d.from), nil
	case <-s.closed:
		return 0, nil, net.ErrClosed
	}
}

// WriteTo sends a datagram. As with UDP, it reports success even if the datagram is lost: if no
// socket is open at the address, if this host is killed, across a partition, or if the target's
// queue is full.
func (s *memorySocket) WriteTo(p []byte, to net.Addr) (int, error) {
	udp, isUDP := to.(*net.UDPAddr)
	if !isUDP {
		return 0, errors.Errorf("memorySocket.WriteTo: %s is not a UDP address", to)
	}
	if len(p) > maxDatagramBytes {
		return 0, errors.Errorf("memorySocket.WriteTo: a datagram of %d bytes is too long", len(p))
	}
	n := s.host.network
	n.mu.Lock()
	target := n.sockets[udp.AddrPort()]
	n.mu.Unlock()
	if target == nil || s.host.killed() {
		return len(p), nil
	}
	if isPartitioned, _ := n.isPartitioned(s.host.domain, target.host.domain); isPartitioned {
		return len(p), nil
	}
	arrival, isCarried := n.carryDatagram(s.host, target.host, len(p)+datagramHeaderBytes)
	if !isCarried {
		return len(p), nil
	}
	d := datagram{from: s.address, data: append([]byte(nil), p...)}
	time.AfterFunc(time.Until(arrival), func() {
		select {
		case target.incoming <- d:
		default:
		}
	})
	return len(p), nil
}

// carryDatagram reserves the links between two hosts for a datagram and returns when it arrives, or false if
// one of them drops it.
func (n *MemoryNetwork) carryDatagram(from, to *Host, bytes int) (time.Time, bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	now := time.Now()
	links := []*link{from.up, to.down}
	if from.region != to.region {
		n.regionDatagrams += int64(bytes)
		if n.rate > 0 {
			links = append(links, n.regionLink(from.region, to.region))
		}
	}
	arrival := now
	for _, l := range links {
		through, isCarried := l.carry(now, bytes)
		if !isCarried {
			return now, false
		}
		arrival = later(arrival, through)
	}
	return arrival.Add(n.latency), true
}

// Close closes the socket and frees its address.
func (s *memorySocket) Close() error {
	s.host.network.mu.Lock()
	defer s.host.network.mu.Unlock()
	if s.host.network.sockets[s.address] == s {
		delete(s.host.network.sockets, s.address)
	}
	s.once.Do(func() { close(s.closed) })
	return nil
}

// LocalAddr returns the address that the socket was opened with.
func (s *memorySocket) LocalAddr() net.Addr {
	return net.UDPAddrFromAddrPort(s.address)
}

// SetDeadline fails: deadlines are not supported, since the system sets none on datagram sockets.
func (s *memorySocket) SetDeadline(time.Time) error { return os.ErrNoDeadline }

// SetReadDeadline fails, as SetDeadline does.
func (s *memorySocket) SetReadDeadline(time.Time) error { return os.ErrNoDeadline }

// SetWriteDeadline fails, as SetDeadline does.
func (s *memorySocket) SetWriteDeadline(time.Time) error { return os.ErrNoDeadline }
