// Package notifier exchanges short messages between the processes of the system as UDP datagrams.
// Lost datagrams are not sent again; the next message takes the place of a lost one. Each datagram
// begins with a sequence number per receiver and the time of its sender's clock, from which the
// receiver detects loss and queueing delay.
package notifier

import (
	"context"
	"encoding/binary"
	"encoding/json"
	"net"
	"net/netip"
	"sync"
	"time"

	"github.com/pkg/errors"
	"go.uber.org/zap"

	"github.com/foxtailwharf/foxtailwharf/internal/connection/delayestimator"
)

// maxDatagramBytes is the size of the largest datagram that is received.
const maxDatagramBytes = 60 << 10

// readRetryDelay is the delay after a failed read. Reads fail if, for example, a peer's port is
// closed.
const readRetryDelay = time.Millisecond

// PacketListener opens datagram sockets. Tests use simulated networks instead of UDP.
type PacketListener interface {
	ListenPacket(ctx context.Context, address netip.AddrPort) (net.PacketConn, error)
}

// Config holds the dependencies of a Notifier.
type Config struct {
	Socket net.PacketConn // closed by Close
	// Clock returns the time that is sent with each datagram.
	Clock func() time.Duration
	// OnMessage is called for each received datagram. It must not keep data after it returns.
	OnMessage func(from netip.AddrPort, stamp delayestimator.Stamp, data []byte)
	// OnSent is called for each message that is sent, with the bytes of its datagrams; nil for nothing.
	OnSent func(kind Kind, bytes int)
	Log    *zap.Logger
}

// Kind is a kind of message in the metrics.
type Kind struct {
	Name string
	// IsFar is set if the receivers are in other regions.
	IsFar bool
}

// Counter returns the name of the counter of the bytes that are sent in messages of this kind.
func (k Kind) Counter() string {
	if k.IsFar {
		return "SentBytes." + k.Name + ".OtherRegions"
	}
	return "SentBytes." + k.Name + ".OwnRegion"
}

// Notifier sends and receives datagrams on one socket. Send is safe for concurrent use.
type Notifier struct {
	c    Config
	done chan struct{}

	mu   sync.Mutex
	sent map[netip.AddrPort]int64 // datagrams sent, by receiver
}

// New returns a notifier that has not started.
func New(c Config) *Notifier {
	return &Notifier{c: c, done: make(chan struct{}), sent: make(map[netip.AddrPort]int64)}
}

// Start receives datagrams in the background until Close is called.
func (n *Notifier) Start() {
	go n.run()
}

// Close closes the socket and waits until the last datagram is handled. It blocks if Start was not
// called.
func (n *Notifier) Close() {
	_ = n.c.Socket.Close()
	<-n.done
}

func (n *Notifier) run() {
	defer close(n.done)
	buffer := make([]byte, maxDatagramBytes)
	for {
		count, from, err := n.read(buffer)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			n.c.Log.Debug("notices: cannot read a datagram", zap.Error(err))
			time.Sleep(readRetryDelay)
			continue
		}
		if from.IsValid() {
			n.receive(from, buffer[:count])
		}
	}
}

// udpSocket is a socket whose addresses need no memory of their own, as net.UDPConn.
type udpSocket interface {
	ReadFromUDPAddrPort(data []byte) (int, netip.AddrPort, error)
	WriteToUDPAddrPort(data []byte, to netip.AddrPort) (int, error)
}

// read reads a datagram. The address is invalid if the sender has none of UDP.
func (n *Notifier) read(buffer []byte) (count int, from netip.AddrPort, err error) {
	if socket, isUDP := n.c.Socket.(udpSocket); isUDP {
		return socket.ReadFromUDPAddrPort(buffer)
	}
	count, source, err := n.c.Socket.ReadFrom(buffer)
	if address, isUDP := source.(*net.UDPAddr); isUDP {
		from = address.AddrPort()
	}
	return count, from, err
}

// write writes a datagram.
func (n *Notifier) write(data []byte, to netip.AddrPort) (err error) {
	if socket, isUDP := n.c.Socket.(udpSocket); isUDP {
		_, err = socket.WriteToUDPAddrPort(data, to)
		return err
	}
	_, err = n.c.Socket.WriteTo(data, net.UDPAddrFromAddrPort(to))
	return err
}

// receive decodes the header of a datagram and passes the rest to OnMessage.
func (n *Notifier) receive(source netip.AddrPort, data []byte) {
	if len(data) < headerBytes {
		n.c.Log.Debug("notices: datagram is shorter than its header", zap.Stringer("From", source))
		return
	}
	stamp := delayestimator.Stamp{
		Sequence: int64(binary.BigEndian.Uint64(data)),
		Sent:     time.Duration(binary.BigEndian.Uint64(data[8:])),
	}
	n.c.OnMessage(netip.AddrPortFrom(source.Addr().Unmap(), source.Port()), stamp, data[headerBytes:])
}

// headerBytes is the length of a datagram's header: a sequence number and a time of 8 bytes each.
const headerBytes = 16

// putHeader writes the header of the next datagram to a receiver to the begin of a datagram.
func (n *Notifier) putHeader(datagram []byte, to netip.AddrPort) {
	n.mu.Lock()
	n.sent[to]++
	sequence := n.sent[to]
	n.mu.Unlock()
	binary.BigEndian.PutUint64(datagram, uint64(sequence))
	binary.BigEndian.PutUint64(datagram[8:], uint64(n.c.Clock()))
}

// Send sends a message as JSON to each receiver. It is encoded once. A failure to send is only
// logged, as the datagram could be lost in the network as well.
func (n *Notifier) Send(kind Kind, message any, receivers ...netip.AddrPort) {
	data, err := json.Marshal(message)
	if err != nil {
		n.c.Log.Error("notices: cannot encode a message", zap.Error(err))
		return
	}
	if n.c.OnSent != nil {
		n.c.OnSent(kind, len(receivers)*(headerBytes+len(data)))
	}
	datagram := append(make([]byte, headerBytes, headerBytes+len(data)), data...)
	for _, to := range receivers {
		n.putHeader(datagram, to)
		if err := n.write(datagram, to); err != nil {
			n.c.Log.Debug("notices: cannot send a message", zap.Stringer("To", to), zap.Error(err))
		}
	}
}

var _ PacketListener = (*UDP)(nil)

// UDP implements PacketListener with the sockets of the operating system.
type UDP struct{}

// ListenPacket opens an IPv4 UDP socket on an address.
func (UDP) ListenPacket(ctx context.Context, address netip.AddrPort) (net.PacketConn, error) {
	var config net.ListenConfig
	socket, err := config.ListenPacket(ctx, "udp4", address.String())
	return socket, errors.Wrap(err, "UDP.ListenPacket")
}
