// Package notifier carries short messages between the system's own processes as
// datagrams: a lost one is made up for by the next.
package notifier

import (
	"context"
	"encoding/json"
	"net"
	"net/netip"
	"time"

	"github.com/pkg/errors"
	"go.uber.org/zap"
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
	// Heard is told each datagram.
	Heard func(from netip.AddrPort, data []byte)
	Log   *zap.Logger
}

// Notifier sends and hears datagrams on one socket.
type Notifier struct {
	c    Config
	done chan struct{}
}

// New returns a notifier that has not started.
func New(c Config) *Notifier {
	return &Notifier{c: c, done: make(chan struct{})}
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
			source := address.AddrPort()
			n.c.Heard(netip.AddrPortFrom(source.Addr().Unmap(), source.Port()), buffer[:count])
		}
	}
}

// Send sends a message as JSON. A datagram that cannot be sent is lost, as it could be
// on the way.
func (n *Notifier) Send(to netip.AddrPort, message any) {
	data, err := json.Marshal(message)
	if err != nil {
		n.c.Log.Error("notices: A message cannot be written.", zap.Error(err))
		return
	}
	if _, err := n.c.Socket.WriteTo(data, net.UDPAddrFromAddrPort(to)); err != nil {
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
