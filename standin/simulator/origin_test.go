package simulator_test

import (
	"fmt"
	"net/netip"
	"slices"
	"testing"
	"time"

	"github.com/foxtailwharf/foxtailwharf"
	"github.com/foxtailwharf/foxtailwharf/standin/simulator"
)

// TestAgentsAreToldOneOrigin checks that all entries tell all agents of a service the same origin at any
// time if several services have one: that of the service itself, otherwise the first by name.
func TestAgentsAreToldOneOrigin(t *testing.T) {
	t.Parallel()
	own := netip.MustParseAddrPort("10.9.8.1:80")
	others := []netip.AddrPort{netip.MustParseAddrPort("10.9.7.1:80"), netip.MustParseAddrPort("10.9.7.2:80"), netip.MustParseAddrPort("10.9.7.3:80")}
	tests := []struct {
		name string
		own  netip.AddrPort
		want netip.AddrPort
	}{
		{"others", netip.AddrPort{}, others[0]},
		{"own and others", own, own},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			run(t, simulator.Config{Entries: 4, Engines: 3, Slots: 4, Events: 3}, 0, func(h *harness) {
				c := h.Configuration(2, simulator.Key)
				engines := c.Services[simulator.Service]
				engines.Origin, engines.OriginDomain = tt.own, "d1"
				c.Services[simulator.Service] = engines
				for n, address := range others {
					name := fmt.Sprint("a", n)
					c.Services[name] = foxtailwharf.CallService{Name: name, Origin: address, OriginDomain: "d2"}
				}
				h.Store.PutConfiguration(c)
				time.Sleep(5 * time.Second)
				h.Origin.TakeAddresses()
				time.Sleep(10 * time.Second)
				if have := h.Origin.TakeAddresses(); !slices.Equal(have, []netip.AddrPort{tt.want}) {
					t.Errorf("the agents were told the origins %v, want only %s", have, tt.want)
				}
			})
		})
	}
}
