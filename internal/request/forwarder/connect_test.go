package forwarder_test

import (
	"context"
	"net"
	"net/http"
	"net/netip"
	"testing"
	"testing/synctest"
	"time"

	"github.com/pkg/errors"

	"github.com/foxtailwharf/foxtailwharf"
	"github.com/foxtailwharf/foxtailwharf/standin"
)

// unconnected is a network on which upstreams take no connections until a time.
type unconnected struct {
	foxtailwharf.Network
	until     time.Time
	isRefused bool // they refuse them
}

// Dial connects to an upstream, or waits in vain.
func (n *unconnected) Dial(ctx context.Context, to netip.AddrPort) (net.Conn, error) {
	if time.Now().Before(n.until) && to != address(1) {
		if n.isRefused {
			return nil, errors.New("connection refused")
		}
		select {
		case <-time.After(time.Until(n.until)):
		case <-ctx.Done():
			return nil, ctx.Err()
		}
	}
	return n.Network.Dial(ctx, to)
}

// TestUpstreamTakesNoConnections guards against calls that are refused at once, since all upstreams take no
// connections for a moment.
func TestUpstreamTakesNoConnections(t *testing.T) {
	tests := []struct {
		name      string
		upstreams int
		silence   time.Duration
		isRefused bool
		status    int
		within    time.Duration
	}{
		{"one", 1, 1200 * time.Millisecond, false, http.StatusOK, 1700 * time.Millisecond},
		{"two", 2, 1200 * time.Millisecond, false, http.StatusOK, 1700 * time.Millisecond},
		{"one, for good", 1, time.Hour, false, http.StatusServiceUnavailable, 2500 * time.Millisecond},
		{"two, for good", 2, time.Hour, false, http.StatusServiceUnavailable, 3500 * time.Millisecond},
		{"refused", 2, time.Hour, true, http.StatusServiceUnavailable, 50 * time.Millisecond},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			for _, path := range []string{"/book/1", "/chat/1", "/look/1"} {
				synctest.Test(t, func(t *testing.T) {
					b := newBench(t, &unconnected{Network: newMemoryNetwork(), until: time.Now().Add(tt.silence), isRefused: tt.isRefused})
					defer b.close()
					for n := range tt.upstreams {
						b.upstream(2+n, events(1, 3, false))
					}
					started := time.Now()
					a := b.call(path, func(r *http.Request) { r.Header.Set(standin.HeaderTimeout, "5000") })
					t.Logf("%s %d %v runs %d", path, a.status, time.Since(started), b.ran(a))
					if took := time.Since(started); a.status != tt.status || took > tt.within {
						t.Errorf("%s: have %d %q after %s, want %d within %s", path, a.status, a.body, took, tt.status, tt.within)
					}
					b.checkNext(path, tt.status)
				})
			}
		})
	}
}

// checkNext checks that the next call is served, or refused without a wait for upstreams that have taken no
// connections for long.
func (b *bench) checkNext(path string, status int) {
	started := time.Now()
	a := b.call(path, nil)
	if took := time.Since(started); a.status != status || took > time.Second {
		b.t.Errorf("%s, next call: have %d after %s, want %d within 1s", path, a.status, took, status)
	}
}
