package forwarder_test

import (
	"context"
	"net"
	"net/netip"
	"sync"
	"testing"
	"time"

	"github.com/pkg/errors"
)

// loopback is a network of TCP listeners on the loopback interface, each at a port of its own in place of
// the address that it is asked for.
type loopback struct {
	mu    sync.Mutex
	ports map[netip.AddrPort]string
}

// Listen opens a listener for an address.
func (l *loopback) Listen(ctx context.Context, address netip.AddrPort) (net.Listener, error) {
	listener, err := (&net.ListenConfig{}).Listen(ctx, "tcp", "127.0.0.1:0")
	if err != nil {
		return nil, errors.Wrap(err, "loopback.Listen")
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.ports[address] = listener.Addr().String()
	return listener, nil
}

// Dial connects to the listener for an address.
func (l *loopback) Dial(ctx context.Context, address netip.AddrPort) (net.Conn, error) {
	l.mu.Lock()
	port := l.ports[address]
	l.mu.Unlock()
	return (&net.Dialer{}).DialContext(ctx, "tcp", port)
}

// slowMachine is a pause of the process that is no silence of an upstream. TCP has no fake time.
const slowMachine = 20 * time.Second

// allowSlowMachine gives the routes goals, pauses and timeouts that a slow machine keeps.
func (b *bench) allowSlowMachine() {
	for i := range b.view.Configuration.Routes {
		r := &b.view.Configuration.Routes[i]
		r.Goal, r.Gap, r.Timeout = slowMachine, slowMachine, 3*slowMachine
	}
}

// runTCP runs a scenario with connections of TCP.
func runTCP(t *testing.T, scenario func(b *bench)) {
	t.Helper()
	b := newBench(t, &loopback{ports: make(map[netip.AddrPort]string)})
	b.allowSlowMachine()
	b.update()
	scenario(b)
	b.close()
}

// networks are the ways to run a scenario.
var networks = map[string]func(t *testing.T, scenario func(b *bench)){"memory": run, "TCP": runTCP}
