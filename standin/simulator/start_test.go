package simulator_test

import (
	"context"
	"net/netip"
	"testing"
	"testing/synctest"
	"time"

	"go.uber.org/zap"

	"github.com/foxtailwharf/foxtailwharf"
	"github.com/foxtailwharf/foxtailwharf/internal/process/distributor"
	"github.com/foxtailwharf/foxtailwharf/internal/process/provisioner"
	"github.com/foxtailwharf/foxtailwharf/standin"
	"github.com/foxtailwharf/foxtailwharf/standin/simulator"
)

// daemon is an entry or an agent.
type daemon interface {
	Start(ctx context.Context) error
	Stop(ctx context.Context) error
}

// startSettings returns the settings of an entry or an agent with all its addresses.
func startSettings() foxtailwharf.FleetSettings {
	s := foxtailwharf.FleetSettings{Name: "daemon", FailureDomain: "d", Region: "r", Address: netip.MustParseAddr("10.0.0.1"), Ports: []uint16{peersPort, peersPort + 9}, Service: "m"}
	s.Callers = netip.AddrPortFrom(s.Address, 8080)
	s.Ready = netip.AddrPortFrom(s.Address, 8081)
	s.Metrics = netip.AddrPortFrom(s.Address, 8082)
	s.Upstream = netip.AddrPortFrom(s.Address, 8090)
	s.Defaults()
	return s
}

const peersPort = 7700

func noTime() time.Duration { return 0 }

func newEntry(host *standin.Host) daemon {
	return distributor.New(distributor.Config{
		Settings: startSettings(), Store: standin.NewFleetStore().View("entry"), Dialect: standin.Dialect{}, Network: host, PacketListener: host,
		Clock: noTime, Log: zap.NewNop(), Seed: 1,
	})
}

func newAgent(host *standin.Host) daemon {
	return provisioner.New(provisioner.Config{
		Settings: startSettings(), Slot: standin.NewSlotEngine(standin.SlotEngineConfig{ID: "e", Slots: 1}), Origin: &simulator.Origin{},
		Network: host, PacketListener: host, Clock: noTime, Log: zap.NewNop(), Seed: 1,
	})
}

// TestFailedStartLeavesNothingOpen has one address of an entry or an agent be in use at a time. It must not start,
// and must start at the same addresses as soon as that one is free.
func TestFailedStartLeavesNothingOpen(t *testing.T) {
	s := startSettings()
	tests := []struct {
		name    string
		daemon  func(host *standin.Host) daemon
		address netip.AddrPort
	}{
		{"peers of an entry", newEntry, s.PeerAddress(s.Address)},
		{"callers of an entry", newEntry, s.Callers},
		{"readiness of an entry", newEntry, s.Ready},
		{"metrics of an entry", newEntry, s.Metrics},
		{"peers of an agent", newAgent, s.PeerAddress(s.Address)},
		{"metrics of an agent", newAgent, s.Metrics},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { startTwice(t, tt.daemon, tt.address) })
		})
	}
}

// startTwice starts a daemon while an address is in use, and again when it is free.
func startTwice(t *testing.T, newDaemon func(host *standin.Host) daemon, used netip.AddrPort) {
	host := standin.NewMemoryNetwork(time.Millisecond, 0).Host("d", "r", 0)
	other, err := host.Listen(t.Context(), used)
	if err != nil {
		t.Fatal(err)
	}
	if err := newDaemon(host).Start(context.Background()); err == nil {
		t.Fatal("it started although an address is in use")
	}
	if err := other.Close(); err != nil {
		t.Fatal(err)
	}
	d := newDaemon(host)
	if err := d.Start(context.Background()); err != nil {
		t.Fatalf("the second start failed: %v", err)
	}
	if err := d.Stop(t.Context()); err != nil {
		t.Error(err)
	}
	time.Sleep(time.Minute)
}
