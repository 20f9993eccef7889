package distributor_test

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"sync"
	"testing"
	"time"

	"go.uber.org/zap"

	"github.com/foxtailwharf/foxtailwharf"
	"github.com/foxtailwharf/foxtailwharf/internal/connection/dialer"
	"github.com/foxtailwharf/foxtailwharf/internal/connection/notifier"
	"github.com/foxtailwharf/foxtailwharf/internal/process/clocker"
	"github.com/foxtailwharf/foxtailwharf/internal/process/distributor"
	"github.com/foxtailwharf/foxtailwharf/standin"
)

// tcpEntry is an entry that listens on loopback, with one plain upstream.
type tcpEntry struct {
	*distributor.Distributor
	callers  netip.AddrPort
	ready    netip.AddrPort
	upstream *httptest.Server
}

// freeAddress returns an address of loopback at which nothing listens.
func freeAddress(t *testing.T) netip.AddrPort {
	t.Helper()
	listener, err := (&net.ListenConfig{}).Listen(t.Context(), "tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = listener.Close() }()
	return netip.MustParseAddrPort(listener.Addr().String())
}

// answerCall answers a call with its ID, after a time.
func answerCall(w http.ResponseWriter, r *http.Request) {
	if _, err := io.Copy(io.Discard, r.Body); err != nil {
		return
	}
	time.Sleep(20 * time.Millisecond)
	w.Header().Set(standin.HeaderCall, r.Header.Get(standin.HeaderCall))
	w.Header().Set(standin.HeaderSigned, "u")
	_, _ = io.WriteString(w, r.Header.Get(standin.HeaderCall))
}

func startTCPEntry(t *testing.T) *tcpEntry {
	t.Helper()
	e := &tcpEntry{callers: freeAddress(t), ready: freeAddress(t), upstream: httptest.NewServer(http.HandlerFunc(answerCall))}
	t.Cleanup(e.upstream.Close)
	store := standin.NewFleetStore()
	store.PutConfiguration(foxtailwharf.Configuration{
		Version:  1,
		Services: map[string]foxtailwharf.CallService{"plain": {Name: "plain", MaxConnections: 200}},
		Routes: []foxtailwharf.CallRoute{{
			Name: "plain", Host: "h", Prefix: "/", Kind: foxtailwharf.CallOnce, Timeout: 5 * time.Second, Goal: time.Second, Attempts: 2,
			Targets: []foxtailwharf.CallTarget{{Service: "plain", Weight: 1}},
		}},
	})
	address := netip.MustParseAddrPort(e.upstream.Listener.Addr().String())
	store.PutUpstream(foxtailwharf.Upstream{ID: "u", Service: "plain", Address: address, FailureDomain: "d", Born: time.Now()})
	s := foxtailwharf.FleetSettings{Name: "entry", FailureDomain: "d", Region: "r", Address: netip.MustParseAddr("127.0.0.1")}
	s.Ports = []uint16{freeAddress(t).Port(), freeAddress(t).Port()}
	s.Callers, s.Ready = e.callers, e.ready
	s.Defaults()
	e.Distributor = distributor.New(distributor.Config{
		Settings: s, Store: store.View("entry"), Dialect: standin.Dialect{}, Network: &dialer.TCP{}, PacketListener: notifier.UDP{},
		Clock: clocker.Boot, Log: zap.NewNop(), Seed: 1,
	})
	if err := e.Start(context.WithoutCancel(t.Context())); err != nil {
		t.Fatal(err)
	}
	for limit := time.Now().Add(10 * time.Second); !e.isReady(t); time.Sleep(20 * time.Millisecond) {
		if time.Now().After(limit) {
			t.Fatal("the entry is not ready")
		}
	}
	return e
}

func (e *tcpEntry) isReady(t *testing.T) bool {
	t.Helper()
	request, err := http.NewRequestWithContext(t.Context(), http.MethodGet, "http://"+e.ready.String()+"/", nil)
	if err != nil {
		t.Fatal(err)
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return false
	}
	return response.Body.Close() == nil && response.StatusCode == http.StatusOK
}

// call sends a call and checks its answer.
func (e *tcpEntry) call(t *testing.T, client *http.Client, id string) error {
	request, err := http.NewRequestWithContext(t.Context(), http.MethodPost, "http://"+e.callers.String()+"/", strings.NewReader(id))
	if err != nil {
		return err
	}
	request.Host = "h"
	request.Header.Set(standin.HeaderCall, id)
	response, err := client.Do(request)
	if err != nil {
		return err
	}
	text, err := io.ReadAll(response.Body)
	if closeErr := response.Body.Close(); err == nil {
		err = closeErr
	}
	if err == nil && (response.StatusCode != http.StatusOK || string(text) != id) {
		err = fmt.Errorf("status %d, %q", response.StatusCode, text)
	}
	return err
}

// TestCallsInMomentOfStopOverTCP guards against calls that are cut off because they reach the kernel in the moment
// when their entry is told to stop or soon after it, on new connections and on those that
// have waited for a call.
func TestCallsInMomentOfStopOverTCP(t *testing.T) {
	const (
		connections = 60
		between     = 200 * time.Microsecond // the first calls after the signal
		length      = time.Second            // of the calls after the signal
	)
	e := startTCPEntry(t)
	var warm, callers sync.WaitGroup
	warm.Add(connections)
	signal := make(chan struct{})
	for n := range connections {
		isKept := n%2 == 0
		callers.Go(func() {
			transport := &http.Transport{DisableKeepAlives: !isKept}
			defer transport.CloseIdleConnections()
			client := &http.Client{Transport: transport, Timeout: 10 * time.Second}
			err := e.call(t, client, fmt.Sprintf("warm-%d", n))
			warm.Done()
			<-signal
			time.Sleep(time.Duration(n) * between)
			for m, until := 0, time.Now().Add(length); err == nil && time.Now().Before(until); m++ {
				err = e.call(t, client, fmt.Sprintf("call-%d-%d", n, m))
			}
			if err != nil {
				t.Errorf("connection %d, kept %t: %v", n, isKept, err)
			}
		})
	}
	warm.Wait()
	close(signal)
	time.Sleep(connections / 2 * between)
	ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
	defer cancel()
	if err := e.Stop(ctx); err != nil {
		t.Error(err)
	}
	callers.Wait()
	if e.isReady(t) {
		t.Error("the entry is ready after its stop")
	}
}
