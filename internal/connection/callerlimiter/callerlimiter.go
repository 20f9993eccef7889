// Package callerlimiter limits how long callers' connections may be idle and how long and how large
// the heads of their requests may be. The limits may change while connections are open.
package callerlimiter

import (
	"context"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"go.uber.org/zap"

	"github.com/foxtailwharf/foxtailwharf"
	"github.com/foxtailwharf/foxtailwharf/internal/process/meter"
)

// serverTimeout is a limit for net/http that no connection reaches within the limits of this package.
const serverTimeout = foxtailwharf.MaxIdleTimeout + foxtailwharf.MaxHeaderTimeout

// Config holds the dependencies of a Limiter.
type Config struct {
	Meter *meter.Meter
	Log   *zap.Logger
}

// Limiter applies one set of limits to the connections of a server. It is safe for concurrent use.
type Limiter struct {
	c      Config
	limits atomic.Pointer[Limits]

	drainedAt atomic.Pointer[time.Time] // begin of Drain; nil before
	drained   chan struct{}             // closed once Drain has begun and no connection is open
	end       sync.Once                 // closes drained

	mu    sync.Mutex // also held while the limits change
	conns map[*conn]bool
}

// New returns a limiter with the limits that apply where the operators set none.
func New(c Config) *Limiter {
	l := &Limiter{c: c, conns: make(map[*conn]bool), drained: make(chan struct{})}
	l.limits.Store(&Limits{Current: foxtailwharf.CallLimits{}.Bounded()})
	return l
}

// Set changes the limits, also for connections that are open.
func (l *Limiter) Set(next foxtailwharf.CallLimits) {
	next = next.Bounded()
	for _, c := range l.change(next) {
		c.renew()
	}
}

// change changes the limits and returns the connections to which the change matters.
func (l *Limiter) change(next foxtailwharf.CallLimits) []*conn {
	l.mu.Lock()
	defer l.mu.Unlock()
	limits := l.limits.Load()
	if next == limits.Current {
		return nil
	}
	l.c.Log.Info("callers: limits changed", zap.Int("HeaderBytes", next.HeaderBytes), zap.Int64("BodyBytes", next.BodyBytes),
		zap.Duration("HeaderTimeout", next.HeaderTimeout), zap.Duration("IdleTimeout", next.IdleTimeout))
	changed := limits.Changed(next, time.Now())
	l.limits.Store(&changed)
	return l.open()
}

// open returns the connections that are open. The lock must be held.
func (l *Limiter) open() []*conn {
	conns := make([]*conn, 0, len(l.conns))
	for c := range l.conns {
		conns = append(conns, c)
	}
	return conns
}

func (l *Limiter) add(c *conn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.conns[c] = true
}

func (l *Limiter) remove(c *conn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.conns, c)
	if l.drainedAt.Load() != nil {
		l.endDrain()
	}
}

// Limit sets up a server that has not started, and returns the listener on which it has to serve.
func (l *Limiter) Limit(h *http.Server, inner net.Listener) net.Listener {
	h.ReadHeaderTimeout, h.IdleTimeout = serverTimeout, serverTimeout
	h.MaxHeaderBytes = foxtailwharf.MaxHeaderBytes
	h.Handler = &handler{next: h.Handler}
	h.ConnContext = func(ctx context.Context, c net.Conn) context.Context {
		return context.WithValue(ctx, connKey{}, c)
	}
	h.ConnState = func(c net.Conn, state http.ConnState) {
		if limited, isLimited := c.(*conn); isLimited && state == http.StateIdle {
			limited.answered()
		}
	}
	return &listener{Listener: inner, limiter: l}
}

// listener limits the connections that it accepts.
type listener struct {
	net.Listener
	limiter *Limiter
}

// Accept waits for a connection.
func (l *listener) Accept() (net.Conn, error) {
	inner, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	now := time.Now()
	c := &conn{Conn: inner, limiter: l.limiter, since: now, accepted: now}
	l.limiter.add(c)
	c.renew()
	return c, nil
}

// SetDeadline sets the deadline of Accept if the inner listener has one.
func (l *listener) SetDeadline(t time.Time) error {
	inner, hasDeadline := l.Listener.(interface{ SetDeadline(t time.Time) error })
	if !hasDeadline {
		return errors.New("callerlimiter: listener has no deadline")
	}
	return errors.Wrap(inner.SetDeadline(t), "listener.SetDeadline")
}

// connKey is the key of a request's connection in its context.
type connKey struct{}

// handler tells a connection that its request is being served.
type handler struct {
	next http.Handler
}

// ServeHTTP serves a request.
func (h *handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if c, isLimited := r.Context().Value(connKey{}).(*conn); isLimited {
		c.begin(r.ContentLength)
	}
	h.next.ServeHTTP(w, r)
}
