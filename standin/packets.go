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

// datagramsHeld is the number of datagrams that wait at a socket; more are lost.
const datagramsHeld = 256

// fabricSocket is a net.PacketConn on a fabric.
type fabricSocket struct {
	host     *Host
	address  netip.AddrPort
	incoming chan datagram
	closed   chan struct{}
	once     sync.Once
}

// datagram is a message on its way.
type datagram struct {
	from netip.AddrPort
	data []byte
}

// ListenPacket opens a socket for datagrams.
func (h *Host) ListenPacket(_ context.Context, address netip.AddrPort) (net.PacketConn, error) {
	h.fabric.mu.Lock()
	defer h.fabric.mu.Unlock()
	if _, isUsed := h.fabric.sockets[address]; isUsed {
		return nil, errors.Errorf("Host.ListenPacket: %s is in use", address)
	}
	s := &fabricSocket{host: h, address: address, incoming: make(chan datagram, datagramsHeld), closed: make(chan struct{})}
	h.fabric.sockets[address] = s
	return s, nil
}

// ReadFrom waits for a datagram.
func (s *fabricSocket) ReadFrom(p []byte) (int, net.Addr, error) {
	select {
	case d := <-s.incoming:
		return copy(p, d.data), net.UDPAddrFromAddrPort(d.from), nil
	case <-s.closed:
		return 0, nil, net.ErrClosed
	}
}

// WriteTo sends a datagram. It is lost where nobody listens, at a cut, and where too many
// wait.
func (s *fabricSocket) WriteTo(p []byte, to net.Addr) (int, error) {
	udp, isUDP := to.(*net.UDPAddr)
	if !isUDP {
		return 0, errors.Errorf("fabricSocket.WriteTo: %s is no address for datagrams", to)
	}
	f := s.host.fabric
	f.mu.Lock()
	target := f.sockets[udp.AddrPort()]
	f.mu.Unlock()
	if target == nil || s.host.dead() {
		return len(p), nil
	}
	if isCut, _ := f.isCut(s.host.domain, target.host.domain); isCut {
		return len(p), nil
	}
	d := datagram{from: s.address, data: append([]byte(nil), p...)}
	time.AfterFunc(f.latency, func() {
		select {
		case target.incoming <- d:
		default:
		}
	})
	return len(p), nil
}

// Close ends the socket.
func (s *fabricSocket) Close() error {
	s.host.fabric.mu.Lock()
	defer s.host.fabric.mu.Unlock()
	if s.host.fabric.sockets[s.address] == s {
		delete(s.host.fabric.sockets, s.address)
	}
	s.once.Do(func() { close(s.closed) })
	return nil
}

// LocalAddr returns the socket's address.
func (s *fabricSocket) LocalAddr() net.Addr {
	return net.UDPAddrFromAddrPort(s.address)
}

// SetDeadline is not supported: no part of the system uses it.
func (s *fabricSocket) SetDeadline(time.Time) error { return os.ErrNoDeadline }

// SetReadDeadline is not supported.
func (s *fabricSocket) SetReadDeadline(time.Time) error { return os.ErrNoDeadline }

// SetWriteDeadline is not supported.
func (s *fabricSocket) SetWriteDeadline(time.Time) error { return os.ErrNoDeadline }
