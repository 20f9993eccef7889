package distributor_test

import (
	"context"
	"net/netip"
	"testing"
	"testing/synctest"
	"time"

	"go.uber.org/zap"

	"github.com/foxtailwharf/foxtailwharf"
	"github.com/foxtailwharf/foxtailwharf/internal/process/distributor"
	"github.com/foxtailwharf/foxtailwharf/standin"
)

// TestFailedStartLeavesNothingOpen has one address of an entry be in use at a time. The entry must not
// start, and must start at the same addresses as soon as that one is free.
func TestFailedStartLeavesNothingOpen(t *testing.T) {
	s := foxtailwharf.FleetSettings{Name: "entry", FailureDomain: "d", Region: "r", Address: netip.MustParseAddr("10.0.0.1"), Ports: []uint16{7700, 7709}}
	s.Callers = netip.MustParseAddrPort("10.0.0.1:8080")
	s.Ready = netip.MustParseAddrPort("10.0.0.1:8081")
	s.Metrics = netip.MustParseAddrPort("10.0.0.1:8082")
	s.Defaults()
	used := map[string]netip.AddrPort{"peers": s.PeerAddress(s.Address), "callers": s.Callers, "ready": s.Ready, "metrics": s.Metrics}
	for name, address := range used {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				host := standin.NewMemoryNetwork(time.Millisecond, 0).Host("d", "r", 0)
				store := standin.NewFleetStore()
				start := func() (*distributor.Distributor, error) {
					d := distributor.New(distributor.Config{
						Settings: s, Store: store.View("entry"), Dialect: standin.Dialect{}, Network: host, PacketListener: host,
						Clock: func() time.Duration { return 0 }, Log: zap.NewNop(), Seed: 1,
					})
					return d, d.Start(context.Background())
				}
				other, err := host.Listen(t.Context(), address)
				if err != nil {
					t.Fatal(err)
				}
				if _, err := start(); err == nil {
					t.Fatal("the entry started although an address is in use")
				}
				if err := other.Close(); err != nil {
					t.Fatal(err)
				}
				d, err := start()
				if err != nil {
					t.Fatalf("the second start failed: %v", err)
				}
				if err := d.Stop(t.Context()); err != nil {
					t.Error(err)
				}
				time.Sleep(time.Minute)
			})
		})
	}
}
