package mesher_test

import (
	"fmt"
	"net/netip"
	"slices"
	"testing"

	"github.com/foxtailwharf/foxtailwharf"
	"github.com/foxtailwharf/foxtailwharf/internal/process/mesher"
)

// agents returns so many agents over so many failure domains.
func agents(count, domains int) (list []foxtailwharf.Upstream) {
	for n := range count {
		list = append(list, foxtailwharf.Upstream{
			ID: fmt.Sprint("u", n), FailureDomain: fmt.Sprint("d", n%domains),
			Address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 1, byte(n / 200), byte(n%200 + 1)}), 80),
		})
	}
	return list
}

// TestChoose checks that both directions stay bounded while fleets grow, and that each agent
// is chosen by entries of other failure domains.
func TestChoose(t *testing.T) {
	tests := []struct {
		entries, agents, domains int
		wantEntry, wantAgent     int // messages go to so many at the most
	}{
		{8, 27, 3, 29, 8},
		{44, 99, 3, 68, 44},
		{100, 300, 3, 68, 60},
		{400, 3400, 7, 108, 60},
	}
	for _, tt := range tests {
		t.Run(fmt.Sprint(tt.entries, " entries"), func(t *testing.T) {
			all := agents(tt.agents, tt.domains)
			chosenBy, farBy := make(map[string]int), make(map[string]int)
			for n := range tt.entries {
				domain := fmt.Sprint("d", n%tt.domains)
				chosen := mesher.Choose(fmt.Sprint("entry-", n), domain, all)
				if len(chosen) > tt.wantEntry {
					t.Errorf("an entry has %d agents, want %d at the most", len(chosen), tt.wantEntry)
				}
				count(chosen, domain, chosenBy, farBy)
			}
			checkChosen(t, all, chosenBy, tt.wantAgent)
			if tt.entries >= tt.agents/4 && len(farBy) < tt.agents*9/10 {
				t.Errorf("%d of %d agents have entries of other failure domains", len(farBy), tt.agents)
			}
		})
	}
}

// count adds an entry's choice to the numbers of entries of each agent.
func count(chosen []foxtailwharf.Upstream, domain string, chosenBy, farBy map[string]int) {
	for _, a := range chosen {
		chosenBy[a.ID]++
		if a.FailureDomain != domain {
			farBy[a.ID]++
		}
	}
}

// checkChosen checks that each agent has entries, and not too many.
func checkChosen(t *testing.T, all []foxtailwharf.Upstream, chosenBy map[string]int, limit int) {
	t.Helper()
	for _, a := range all {
		if have := chosenBy[a.ID]; have == 0 || have > limit {
			t.Errorf("agent %s has %d entries, want 1 to %d", a.ID, have, limit)
		}
	}
}

// TestChoiceIsStable checks that an agent that leaves changes the choice by one.
func TestChoiceIsStable(t *testing.T) {
	all := agents(99, 3)
	before := mesher.Choose("entry-1", "d0", all)
	after := mesher.Choose("entry-1", "d0", slices.Delete(slices.Clone(all), 5, 6))
	missing := 0
	for _, a := range before {
		if !slices.Contains(after, a) {
			missing++
		}
	}
	if missing > 1 {
		t.Errorf("%d agents were dropped for one that left", missing)
	}
}
