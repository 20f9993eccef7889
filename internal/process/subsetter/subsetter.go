// Package subsetter selects the subset of agents with which an entry exchanges messages: those of
// its own failure domain, and a few of each other domain for calls that find no free slot nearby.
// Without it, in large fleets, each entry and each agent would message all others many times
// a second. The subset depends only on the list of agents and differs between entries, so that
// all agents have entries of other domains. The package does no I/O and reads no clock.
package subsetter

import (
	"cmp"
	"slices"

	"github.com/foxtailwharf/foxtailwharf"
)

// Sizes of the subset.
const (
	// minLocal and maxLocal bound the agents of the own failure domain, of which an entry chooses
	// one in localFraction. It sends them its share of the domain's calls and has to find free slots
	// among this many. The fewer entries share an engine, the larger is each
	// one's share of its free slots; but each agent needs an entry.
	minLocal      = 16
	maxLocal      = 48
	localFraction = 10
	// allRemote is how many agents of all other failure domains an entry chooses together while
	// domains are small, spread evenly, and one in remoteFraction of each large domain. They have
	// slots for a few seconds of an entry's calls if its own domain loses all engines.
	allRemote      = 20
	remoteFraction = 50
	maxRemote      = 10 // of each domain
)

// Choose returns the subset for the entry named self in a failure domain, sorted by ID.
func Choose(self, domain string, agents []foxtailwharf.Upstream) (chosen []foxtailwharf.Upstream) {
	byDomain := make(map[string][]foxtailwharf.Upstream)
	for _, a := range agents {
		byDomain[a.FailureDomain] = append(byDomain[a.FailureDomain], a)
	}
	evenRemote := allRemote / max(len(byDomain)-1, 1)
	for name, list := range byDomain {
		limit := min(max(evenRemote, len(list)/remoteFraction), maxRemote)
		if name == domain {
			limit = min(max(len(list)/localFraction, minLocal), maxLocal)
		}
		slices.SortFunc(list, func(a, b foxtailwharf.Upstream) int {
			return cmp.Compare(score(self, b), score(self, a))
		})
		chosen = append(chosen, list[:min(limit, len(list))]...)
	}
	slices.SortFunc(chosen, func(a, b foxtailwharf.Upstream) int { return cmp.Compare(a.ID, b.ID) })
	return chosen
}

// score is the rendezvous score of an agent for an entry. It is computed from the machine's address,
// so that a restarted engine keeps it.
func score(self string, a foxtailwharf.Upstream) uint64 {
	return foxtailwharf.RendezvousScore(self, a.Address.Addr().String())
}
