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
		count, from, err := n.c.Socket.ReadFrom(buffer)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			n.c.Log.Debug("notices: cannot read a datagram", zap.Error(err))
			time.Sleep(readRetryDelay)
			continue
		}
		if address, isUDP := from.(*net.UDPAddr); isUDP {
			n.receive(address.AddrPort(), buffer[:count])
		}
	}
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

// typicalBytes is the initial capacity of the buffer for a datagram.
const typicalBytes = 256

// header returns the header of the next datagram to a receiver.
func (n *Notifier) header(to netip.AddrPort) []byte {
	n.mu.Lock()
	n.sent[to]++
	sequence := n.sent[to]
	n.mu.Unlock()
	header := binary.BigEndian.AppendUint64(make([]byte, 0, typicalBytes), uint64(sequence))
	return binary.BigEndian.AppendUint64(header, uint64(n.c.Clock()))
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
	for _, to := range receivers {
		if _, err := n.c.Socket.WriteTo(append(n.header(to), data...), net.UDPAddrFromAddrPort(to)); err != nil {
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
