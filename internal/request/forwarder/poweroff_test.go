package forwarder_test

import (
	"context"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"github.com/pkg/errors"

	"github.com/foxtailwharf/foxtailwharf"
	"github.com/foxtailwharf/foxtailwharf/internal/connection/dialer"
	"github.com/foxtailwharf/foxtailwharf/standin"
)

// poweredNetwork is the network of an entry, with upstream 2 on a machine of its own that can lose its power or be cut
// off. Connections to it are kept alive as those of package dialer are, by the network stacks of both sides.
type poweredNetwork struct {
	*standin.Host // of the entry
	memory        *standin.MemoryNetwork
	machine       *standin.Host // of upstream 2
	run           atomic.Int64  // of the machine
	isCut         atomic.Bool   // nothing gets to the machine
}

func newPoweredNetwork() *poweredNetwork {
	memory := standin.NewMemoryNetwork(time.Millisecond, 0)
	n := &poweredNetwork{memory: memory, Host: memory.Host("d", "r", 0)}
	n.machine = memory.Host(n.domain(), "r", 0)
	return n
}

// domain returns the failure domain of the machine in its present run.
func (n *poweredNetwork) domain() string {
	return "machine " + time.Duration(n.run.Load()).String()
}

// Listen opens a listener on the machine that has an address.
func (n *poweredNetwork) Listen(ctx context.Context, at netip.AddrPort) (net.Listener, error) {
	if at == address(2) {
		return n.machine.Listen(ctx, at)
	}
	return n.Host.Listen(ctx, at)
}

// Dial opens a connection from the entry.
func (n *poweredNetwork) Dial(ctx context.Context, at netip.AddrPort) (net.Conn, error) {
	conn, err := n.Host.Dial(ctx, at)
	if err != nil || at != address(2) {
		return conn, errors.Wrap(err, "poweredNetwork.Dial")
	}
	c := &probedConn{Conn: conn, n: n, run: n.run.Load()}
	c.timer = time.AfterFunc(time.Hour, c.probe)
	c.timer.Reset(dialer.KeepAlive().Idle)
	return c, nil
}

// setCut cuts the machine off, or ends that. What is sent meanwhile arrives afterwards.
func (n *poweredNetwork) setCut(isCut bool) {
	n.isCut.Store(isCut)
	n.memory.SetPartitioned("d", n.domain(), isCut)
}

// restart starts the machine after a loss of power. It knows nothing of its connections.
func (n *poweredNetwork) restart() {
	n.run.Add(1)
	n.machine = n.memory.Host(n.domain(), "r", 0)
	n.isCut.Store(false)
}

// probedConn is a connection with keep-alive probes.
type probedConn struct {
	net.Conn
	n   *poweredNetwork
	run int64 // of the machine, when the connection was opened

	mu         sync.Mutex
	timer      *time.Timer
	unanswered int
	err        error // with which the probes have ended the connection
}

func (c *probedConn) probe() {
	c.mu.Lock()
	defer c.mu.Unlock()
	config := dialer.KeepAlive()
	switch {
	case c.n.isCut.Load():
		if c.unanswered++; c.unanswered >= config.Count {
			c.err = syscall.ETIMEDOUT
		}
	case c.run != c.n.run.Load():
		c.err = syscall.ECONNRESET
	default:
		c.unanswered = 0
	}
	if c.err != nil {
		_ = c.SetReadDeadline(time.Unix(1, 0))
		return
	}
	c.timer.Reset(config.Interval)
}

// Read reads what has arrived. It fails once the probes have ended the connection.
func (c *probedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.err != nil {
		return 0, c.err
	}
	c.timer.Reset(dialer.KeepAlive().Idle)
	return n, err
}

// Close closes the connection.
func (c *probedConn) Close() error {
	c.timer.Stop()
	return c.Conn.Close()
}

// poweredBench is a bench whose upstream 2 is on a machine of its own.
type poweredBench struct {
	*bench
	n *poweredNetwork
}

// loseMachine makes the machine lose its power.
func (b *poweredBench) loseMachine() {
	b.n.setCut(true)
	b.servers[len(b.servers)-1].Close()
}

// restartMachine starts the machine again, with an upstream that gets none of the calls.
func (b *poweredBench) restartMachine() {
	b.n.restart()
	b.serve(address(2), http.NotFoundHandler())
}

// allowTimeouts gives the routes a timeout.
func (b *poweredBench) allowTimeouts(timeout time.Duration) {
	for i := range b.view.Configuration.Routes {
		b.view.Configuration.Routes[i].Timeout = timeout
	}
}

// disturbance is what comes while a call is at upstream 2.
type disturbance struct {
	begin  func(b *poweredBench)
	length time.Duration
	end    func(b *poweredBench)
	// learn is what the entry learns from the list, with the end or else with the begin.
	learn      func(b *poweredBench)
	learnsLate bool
}

// disturbedAt is how long after a call a disturbance begins.
const disturbedAt = 500 * time.Millisecond

func (d *disturbance) run(b *poweredBench) {
	time.Sleep(disturbedAt)
	d.begin(b)
	if !d.learnsLate {
		d.learn(b)
	}
	time.Sleep(d.length)
	d.end(b)
	if d.learnsLate {
		d.learn(b)
	}
}

// listOther lists an upstream of another service at the address of upstream 2.
func (b *poweredBench) listOther(born time.Time) {
	other := upstreamAt(2)
	other.ID, other.Service, other.Born = "other", "t", born
	b.view.Upstreams = []foxtailwharf.Upstream{other}
	b.update()
}

// TestCallsWaitForLostUpstream guards against calls that wait for their deadline though their upstream has lost its power and
// its machine is back; and against ones that are ended while it runs, since a record is false or it is silent or cut off.
func TestCallsWaitForLostUpstream(t *testing.T) {
	const silence, long, thinking, timeout = 2 * time.Second, 6300 * time.Millisecond, 3 * time.Second, 30 * time.Second
	born := time.UnixMilli(1_000_000)
	nothing := func(*poweredBench) {}
	younger := func(b *poweredBench) { b.list(born.Add(time.Minute)) }
	other := func(b *poweredBench) { b.listOther(born.Add(time.Minute)) }
	lose, restart := (*poweredBench).loseMachine, (*poweredBench).restartMachine
	cut, heal := func(b *poweredBench) { b.n.setCut(true) }, func(b *poweredBench) { b.n.setCut(false) }
	tests := []struct {
		name    string
		d       disturbance
		isEnded bool
	}{
		{"back with a younger record", disturbance{lose, silence, restart, younger, true}, true},
		{"back after a long time", disturbance{lose, long, restart, younger, true}, true},
		{"back, the list is old", disturbance{lose, silence, restart, nothing, true}, true},
		{"its address is used again", disturbance{lose, silence, restart, other, true}, true},
		{"false younger record", disturbance{nothing, silence, nothing, younger, false}, false},
		{"false record at its address", disturbance{nothing, silence, nothing, other, false}, false},
		{"cut off", disturbance{cut, silence, heal, nothing, false}, false},
		{"cut off, false younger record", disturbance{cut, silence, heal, younger, false}, false},
		{"cut off, false record at its address", disturbance{cut, silence, heal, other, false}, false},
		{"cut off for long, false younger record", disturbance{cut, long, heal, younger, false}, false},
	}
	for _, tt := range tests {
		for _, path := range []string{"/book/1", "/tale/1"} {
			t.Run(tt.name+path, func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					n := newPoweredNetwork()
					b := &poweredBench{bench: newBench(t, n), n: n}
					b.upstream(2, func(w http.ResponseWriter, r *http.Request) {
						sayNothing(r, thinking)
						text(http.StatusOK, "id: 1\ndata: x\n\n")(w, r)
					})
					b.allowTimeouts(timeout)
					b.list(born)
					started := time.Now()
					var disturbed sync.WaitGroup
					disturbed.Go(func() { tt.d.run(b) })
					a := b.call(path, nil)
					since := time.Since(started) - disturbedAt - tt.d.length
					switch {
					case tt.isEnded && (a.status != http.StatusBadGateway || since < 0 || since > 1100*time.Millisecond):
						t.Errorf("have %d, %s after the machine was back, want 502 within about a second", a.status, since)
					case !tt.isEnded && (a.status != http.StatusOK || a.err != nil || strings.Count(a.body, "data:") != 1):
						t.Errorf("have %d %q, %v, want the whole answer", a.status, a.body, a.err)
					}
					disturbed.Wait()
					time.Sleep(time.Second)
					b.close()
				})
			})
		}
	}
}
