// Package grouper lists machines by failure domain as the processes of a fleet tell each other, in an order
// that does not depend on the process, and computes digests by which they compare such lists.
package grouper

import (
	"cmp"
	"slices"
	"strings"

	"github.com/foxtailwharf/foxtailwharf"
	"github.com/foxtailwharf/foxtailwharf/wire"
)

// digestDigits is the length of a digest. It is enough to tell two lists apart.
const digestDigits = 12

// Bounds of a list of agents that has to fit a datagram of a few packets.
const (
	// MaxOwn is the number of machines of the receiver's failure domain.
	MaxOwn = 512
	// MaxOther is the number of machines of each other domain, and of the candidates of each domain.
	MaxOther = 64
)

// Bound returns the part of a list that a receiver in a failure domain gets: the first machines of its own domain, and the
// candidates of all others. All receivers get the same candidates.
func Bound(domains []wire.FleetDomain, receiver string) (bounded []wire.FleetDomain) {
	for _, domain := range domains {
		limit := MaxOther
		if domain.Name == receiver {
			limit = MaxOwn
		}
		bounded = append(bounded, wire.FleetDomain{Name: domain.Name, Members: first(domain.Members, limit)})
	}
	return bounded
}

// Candidates returns the machines that all receivers of a bounded list know, whatever their failure domain.
func Candidates(domains []wire.FleetDomain) (candidates []string) {
	for _, domain := range domains {
		candidates = append(candidates, first(domain.Members, MaxOther)...)
	}
	return candidates
}

// first returns the first machines by rendezvous hash, in the order of the list.
func first(members []string, limit int) []string {
	if len(members) <= limit {
		return members
	}
	type ranked struct {
		member string
		score  uint64
	}
	list := make([]ranked, 0, len(members))
	for _, member := range members {
		list = append(list, ranked{member, foxtailwharf.RendezvousScore("list", member)})
	}
	slices.SortFunc(list, func(a, b ranked) int { return cmp.Compare(b.score, a.score) })
	chosen := make([]string, 0, limit)
	for _, r := range list[:limit] {
		chosen = append(chosen, r.member)
	}
	slices.Sort(chosen)
	return chosen
}

// List sorts the failure domains by name and the machines within each.
func List(byName map[string][]string) (domains []wire.FleetDomain) {
	for name, members := range byName {
		slices.Sort(members)
		domains = append(domains, wire.FleetDomain{Name: name, Members: members})
	}
	slices.SortFunc(domains, func(a, b wire.FleetDomain) int { return strings.Compare(a.Name, b.Name) })
	return domains
}

// Digest identifies a list.
func Digest(domains []wire.FleetDomain) string {
	var text strings.Builder
	for _, domain := range domains {
		text.WriteString(domain.Name + " " + strings.Join(domain.Members, " ") + "\n")
	}
	return foxtailwharf.Digest([]byte(text.String()))[:digestDigits]
}
