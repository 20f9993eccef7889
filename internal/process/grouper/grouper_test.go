package grouper_test

import (
	"encoding/json"
	"fmt"
	"slices"
	"testing"

	"github.com/foxtailwharf/foxtailwharf/internal/process/grouper"
	"github.com/foxtailwharf/foxtailwharf/wire"
)

// maxNoticeBytes bounds a notice with the list of agents: each packet of a datagram that is lost loses all of it.
const maxNoticeBytes = 16 << 10

// agents returns the list of a number of agents, spread evenly over failure domains.
func agents(count, domains int) []wire.FleetDomain {
	byName := make(map[string][]string)
	for n := range count {
		name := fmt.Sprintf("zone-%d", n%domains)
		byName[name] = append(byName[name], fmt.Sprintf("10.%d.%d.%d", 101+n%domains, 100+n/200, 1+n%200))
	}
	return grouper.List(byName)
}

// TestBound checks that a list stays short however large the fleet is, that all agents of a small one are in it, and
// that all receivers know the same candidates.
func TestBound(t *testing.T) {
	tests := []struct {
		agents, domains int
		isWhole         bool
	}{
		{16, 3, true},
		{265, 5, true},
		{1500, 5, false},
		{3400, 7, false},
		{3400, 1, false},
	}
	for _, tt := range tests {
		t.Run(fmt.Sprint(tt.agents, " agents in ", tt.domains), func(t *testing.T) {
			all := agents(tt.agents, tt.domains)
			want := grouper.Candidates(all)
			longest := 0
			for _, receiver := range all {
				bounded := grouper.Bound(all, receiver.Name)
				text, err := json.Marshal(wire.FleetNotice{Digest: grouper.Digest(all), Domains: bounded})
				if err != nil {
					t.Fatal(err)
				}
				longest = max(longest, len(text))
				if len(text) > maxNoticeBytes {
					t.Errorf("%s gets %d bytes, want at most %d", receiver.Name, len(text), maxNoticeBytes)
				}
				if have := grouper.Candidates(bounded); !slices.Equal(have, want) {
					t.Errorf("%s knows %d candidates that are not the same as those of the whole list, %d", receiver.Name, len(have), len(want))
				}
				if isWhole := grouper.Digest(bounded) == grouper.Digest(all); isWhole != tt.isWhole {
					t.Errorf("%s gets the whole list: %t, want %t", receiver.Name, isWhole, tt.isWhole)
				}
			}
			t.Logf("%d bytes", longest)
		})
	}
}
