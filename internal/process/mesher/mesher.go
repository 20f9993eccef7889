// Package mesher chooses the agents with which an entry exchanges messages: those of its own
// failure domain, and a few of each other one for calls that find no room near. It answers
// fleets in which each entry and each agent would otherwise tell all others many times a
// second. The choice is the same as long as the list is, and differs from entry to entry, so
// that all agents have entries of other domains. It does no I/O and holds no clock.
package mesher

import (
	"cmp"
	"slices"

	"github.com/foxtailwharf/foxtailwharf"
)

// Numbers of agents.
const (
	// maxNear bounds the agents of the own failure domain. An entry that sends them its part
	// of the domain's calls, some twenty a second, finds free places among them.
	maxNear = 48
	// maxFar is the number of agents of each other failure domain: places for a few seconds
	// of an entry's calls should its own domain lose all engines.
	maxFar = 10
)

// Choose returns the agents of an entry in a failure domain.
func Choose(self, domain string, agents []foxtailwharf.Upstream) (chosen []foxtailwharf.Upstream) {
	byDomain := make(map[string][]foxtailwharf.Upstream)
	for _, a := range agents {
		byDomain[a.FailureDomain] = append(byDomain[a.FailureDomain], a)
	}
	for name, list := range byDomain {
		limit := maxFar
		if name == domain {
			limit = maxNear
		}
		slices.SortFunc(list, func(a, b foxtailwharf.Upstream) int {
			return cmp.Compare(score(self, b), score(self, a))
		})
		chosen = append(chosen, list[:min(limit, len(list))]...)
	}
	slices.SortFunc(chosen, func(a, b foxtailwharf.Upstream) int { return cmp.Compare(a.ID, b.ID) })
	return chosen
}

// score ranks an agent for an entry, by the machine: an engine that starts anew keeps it.
func score(self string, a foxtailwharf.Upstream) uint64 {
	return foxtailwharf.Score(self, a.Address.Addr().String())
}
