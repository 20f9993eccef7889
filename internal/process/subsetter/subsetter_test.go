package subsetter_test

import (
	"fmt"
	"net/netip"
	"slices"
	"testing"

	"github.com/foxtailwharf/foxtailwharf"
	"github.com/foxtailwharf/foxtailwharf/internal/process/subsetter"
)

// agents returns count agents, spread evenly over the given number of failure domains.
func agents(count, domains int) (list []foxtailwharf.Upstream) {
	for n := range count {
		list = append(list, foxtailwharf.Upstream{
			ID: fmt.Sprint("u", n), FailureDomain: fmt.Sprint("d", n%domains),
			Address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 1, byte(n / 200), byte(n%200 + 1)}), 80),
		})
	}
	return list
}

// TestChoose checks that the number of peers stays bounded for entries and for agents as fleets
// grow, and that most agents are chosen by entries of other failure domains if there are enough
// entries.
func TestChoose(t *testing.T) {
	tests := []struct {
		entries, agents, domains int
		maxAgents, maxEntries    int // limits for one entry and for one agent
	}{
		{8, 27, 3, 29, 8},
		{44, 99, 3, 68, 44},
		{100, 300, 3, 68, 60},
		{400, 3400, 7, 108, 60},
		{149, 156, 5, 36, 60},
		{149, 265, 5, 36, 60},
	}
	for _, tt := range tests {
		t.Run(fmt.Sprint(tt.entries, " entries"), func(t *testing.T) {
			all := agents(tt.agents, tt.domains)
			chosenBy, remoteBy := make(map[string]int), make(map[string]int)
			for n := range tt.entries {
				domain := fmt.Sprint("d", n%tt.domains)
				chosen := subsetter.Choose(fmt.Sprint("entry-", n), domain, all)
				if len(chosen) > tt.maxAgents {
					t.Errorf("an entry has %d agents, want %d at most", len(chosen), tt.maxAgents)
				}
				count(chosen, domain, chosenBy, remoteBy)
			}
			checkChosen(t, all, chosenBy, tt.maxEntries)
			if tt.entries >= tt.agents/4 && len(remoteBy) < tt.agents*9/10 {
				t.Errorf("%d of %d agents have entries of other failure domains", len(remoteBy), tt.agents)
			}
		})
	}
}

// count adds an entry's choice to the number of entries of each agent.
func count(chosen []foxtailwharf.Upstream, domain string, chosenBy, remoteBy map[string]int) {
	for _, a := range chosen {
		chosenBy[a.ID]++
		if a.FailureDomain != domain {
			remoteBy[a.ID]++
		}
	}
}

// checkChosen checks that each agent has at least one entry and at most limit entries.
func checkChosen(t *testing.T, all []foxtailwharf.Upstream, chosenBy map[string]int, limit int) {
	t.Helper()
	for _, a := range all {
		if have := chosenBy[a.ID]; have == 0 || have > limit {
			t.Errorf("agent %s has %d entries, want 1 to %d", a.ID, have, limit)
		}
	}
}

// TestChoiceIsStable checks that the removal of one agent changes the choice by one agent at most.
func TestChoiceIsStable(t *testing.T) {
	all := agents(99, 3)
	before := subsetter.Choose("entry-1", "d0", all)
	after := subsetter.Choose("entry-1", "d0", slices.Delete(slices.Clone(all), 5, 6))
	missing := 0
	for _, a := range before {
		if !slices.Contains(after, a) {
			missing++
		}
	}
	if missing > 1 {
		t.Errorf("%d agents dropped from the choice after the removal of one, want 1 at most", missing)
	}
}
