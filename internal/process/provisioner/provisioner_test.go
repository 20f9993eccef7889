package provisioner_test

import (
	"context"
	"net/netip"
	"testing"
	"testing/synctest"
	"time"

	"go.uber.org/zap"

	"github.com/foxtailwharf/foxtailwharf"
	"github.com/foxtailwharf/foxtailwharf/internal/process/provisioner"
	"github.com/foxtailwharf/foxtailwharf/standin"
	"github.com/foxtailwharf/foxtailwharf/standin/simulator"
)

// TestFailedStartLeavesNothingOpen has one address of an agent be in use at a time. The agent must not
// start, and must start at the same addresses as soon as that one is free.
func TestFailedStartLeavesNothingOpen(t *testing.T) {
	s := foxtailwharf.FleetSettings{Name: "agent", FailureDomain: "d", Region: "r", Address: netip.MustParseAddr("10.0.0.1"), Ports: []uint16{7700, 7709}, Service: "m"}
	s.Upstream = netip.MustParseAddrPort("10.0.0.1:8090")
	s.Metrics = netip.MustParseAddrPort("10.0.0.1:8082")
	s.Defaults()
	used := map[string]netip.AddrPort{"peers": s.PeerAddress(s.Address), "metrics": s.Metrics}
	for name, address := range used {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				host := standin.NewMemoryNetwork(time.Millisecond, 0).Host("d", "r", 0)
				start := func() (*provisioner.Provisioner, error) {
					p := provisioner.New(provisioner.Config{
						Settings: s, Slot: standin.NewSlotEngine(standin.SlotEngineConfig{ID: "e", Slots: 1}), Origin: &simulator.Origin{},
						Network: host, PacketListener: host, Clock: func() time.Duration { return 0 }, Log: zap.NewNop(), Seed: 1,
					})
					return p, p.Start(context.Background())
				}
				other, err := host.Listen(t.Context(), address)
				if err != nil {
					t.Fatal(err)
				}
				if _, err := start(); err == nil {
					t.Fatal("the agent started although an address is in use")
				}
				if err := other.Close(); err != nil {
					t.Fatal(err)
				}
				p, err := start()
				if err != nil {
					t.Fatalf("the second start failed: %v", err)
				}
				if err := p.Stop(t.Context()); err != nil {
					t.Error(err)
				}
				time.Sleep(time.Minute)
			})
		})
	}
}
