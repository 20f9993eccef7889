// Package notifier carries short messages between the system's own processes as
// datagrams: a lost one is made up for by the next. Each begins with its number among those to
// its receiver and its sender's clock, from which the receiver sees what is lost and what waits.
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

	"github.com/foxtailwharf/foxtailwharf/internal/connection/gauger"
)

// maxBytes is the largest datagram.
const maxBytes = 60 << 10

// readPause is the pause after a read that failed, as it does where a peer's port is
// closed.
const readPause = time.Millisecond

// Packets opens a socket for datagrams.
type Packets interface {
	ListenPacket(ctx context.Context, address netip.AddrPort) (net.PacketConn, error)
}

// Config holds the settings of a Notifier.
type Config struct {
	Socket net.PacketConn
	// Clock is the sender's.
	Clock func() time.Duration
	// OnMessage is told each datagram.
	OnMessage func(from netip.AddrPort, stamp gauger.Stamp, data []byte)
	Log       *zap.Logger
}

// Notifier sends and hears datagrams on one socket.
type Notifier struct {
	c    Config
	done chan struct{}

	mu   sync.Mutex
	sent map[netip.AddrPort]int64 // datagrams by receiver
}

// New returns a notifier that has not started.
func New(c Config) *Notifier {
	return &Notifier{c: c, done: make(chan struct{}), sent: make(map[netip.AddrPort]int64)}
}

// Start begins to hear; it ends with Close.
func (n *Notifier) Start() {
	go n.run()
}

// Close closes the socket and waits for the end.
func (n *Notifier) Close() {
	_ = n.c.Socket.Close()
	<-n.done
}

func (n *Notifier) run() {
	defer close(n.done)
	buffer := make([]byte, maxBytes)
	for {
		count, from, err := n.c.Socket.ReadFrom(buffer)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			n.c.Log.Debug("notices: A read failed.", zap.Error(err))
			time.Sleep(readPause)
			continue
		}
		if address, isUDP := from.(*net.UDPAddr); isUDP {
			n.hear(address.AddrPort(), buffer[:count])
		}
	}
}

// hear reads the head of a datagram and passes the rest on.
func (n *Notifier) hear(source netip.AddrPort, data []byte) {
	if len(data) < headBytes {
		n.c.Log.Debug("notices: A datagram is too short.", zap.Stringer("From", source))
		return
	}
	stamp := gauger.Stamp{
		Sequence: int64(binary.BigEndian.Uint64(data)),
		Sent:     time.Duration(binary.BigEndian.Uint64(data[8:])),
	}
	n.c.OnMessage(netip.AddrPortFrom(source.Addr().Unmap(), source.Port()), stamp, data[headBytes:])
}

// headBytes is the length of a datagram's head: two numbers of eight bytes.
const headBytes = 16

// head returns the head of the next datagram to a receiver.
func (n *Notifier) head(to netip.AddrPort) []byte {
	n.mu.Lock()
	n.sent[to]++
	sequence := n.sent[to]
	n.mu.Unlock()
	head := binary.BigEndian.AppendUint64(make([]byte, 0, headBytes), uint64(sequence))
	return binary.BigEndian.AppendUint64(head, uint64(n.c.Clock()))
}

// Send sends a message as JSON. A datagram that cannot be sent is lost, as it could be
// on the way.
func (n *Notifier) Send(to netip.AddrPort, message any) {
	data, err := json.Marshal(message)
	if err != nil {
		n.c.Log.Error("notices: A message cannot be written.", zap.Error(err))
		return
	}
	if _, err := n.c.Socket.WriteTo(append(n.head(to), data...), net.UDPAddrFromAddrPort(to)); err != nil {
		n.c.Log.Debug("notices: A message was not sent.", zap.Stringer("To", to), zap.Error(err))
	}
}

var _ Packets = (*UDP)(nil)

// UDP opens sockets of the system.
type UDP struct{}

// ListenPacket opens a socket.
func (UDP) ListenPacket(ctx context.Context, address netip.AddrPort) (net.PacketConn, error) {
	var config net.ListenConfig
	socket, err := config.ListenPacket(ctx, "udp4", address.String())
	return socket, errors.Wrap(err, "UDP.ListenPacket")
}
