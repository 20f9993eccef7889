package server_test

import (
	"context"
	"net"
	"net/http"
	"testing"
	"time"

	"go.uber.org/zap"

	"github.com/foxtailwharf/foxtailwharf/internal/connection/callerlimiter"
	"github.com/foxtailwharf/foxtailwharf/internal/connection/server"
	"github.com/foxtailwharf/foxtailwharf/internal/process/meter"
)

// lateListener is a listener whose process has no time to accept connections until a time.
type lateListener struct {
	*net.TCPListener
	until time.Time
}

func (l *lateListener) Accept() (net.Conn, error) {
	time.Sleep(time.Until(l.until))
	return l.TCPListener.Accept()
}

// TestWaitingConnectionsAreServed guards against requests on connections that were established before a shutdown closes the listener,
// and that the process has had no time to accept.
func TestWaitingConnectionsAreServed(t *testing.T) {
	for _, after := range []time.Duration{0, 20 * time.Millisecond, 200 * time.Millisecond} {
		t.Run(after.String()+" after the begin of the shutdown", func(t *testing.T) { checkWaitingConnection(t, after) })
	}
}

// checkWaitingConnection checks that a request is answered whose connection the process has no time to accept until some time after the
// begin of the shutdown.
func checkWaitingConnection(t *testing.T, after time.Duration) {
	t.Helper()
	const late = 300 * time.Millisecond
	inner, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	listener := &lateListener{TCPListener: inner.(*net.TCPListener), until: time.Now().Add(late + after)}
	h := &http.Server{Handler: http.HandlerFunc(func(http.ResponseWriter, *http.Request) {}), ReadHeaderTimeout: time.Second}
	limiter := callerlimiter.New(callerlimiter.Config{Meter: meter.New(), Log: zap.NewNop()})
	s := server.Start(server.Config{Listener: limiter.Limit(h, listener), HTTP: h, Drain: limiter.Drain, Log: zap.NewNop()})
	time.AfterFunc(late, func() {
		ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
		defer cancel()
		if err := s.Shutdown(ctx); err != nil {
			t.Error(err)
		}
	})
	response, err := http.Post("http://"+inner.Addr().String(), "text/plain", http.NoBody)
	if err != nil {
		t.Fatal(err)
	}
	_ = response.Body.Close()
	if response.StatusCode != http.StatusOK {
		t.Errorf("have %d, want 200", response.StatusCode)
	}
}
