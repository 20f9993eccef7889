package selector

import (
	"slices"
	"time"

	"github.com/foxtailwharf/foxtailwharf"
)

// Next returns the next fetch to start now, or false if there is none. The fetch counts as in
// flight until Finish.
func (s *Selector) Next(now time.Time) (f Fetch, isFound bool) {
	if s.missing == 0 {
		return f, false
	}
	if s.c.Policy == foxtailwharf.FetchOriginOnly {
		f, isFound = s.nextFromOrigin(now)
	} else if f, isFound = s.nextOwned(now); !isFound {
		f, isFound = s.nextFromNeighbour(now)
	}
	if isFound {
		s.fetching[f.Chunk] = f.From
		s.inFlight[f.From]++
		if f.IsLongPoll {
			s.longPolls++
		}
	}
	return f, isFound
}

func (s *Selector) isNeeded(chunk int) bool {
	_, isFetching := s.fetching[chunk]
	return !s.has[chunk] && !isFetching
}

func (s *Selector) nextFromOrigin(now time.Time) (Fetch, bool) {
	if s.isBackingOff(now, Origin) || s.inFlight[Origin] >= maxOriginFetches {
		return Fetch{}, false
	}
	for _, chunk := range s.shuffled {
		if s.isNeeded(chunk) {
			return Fetch{Chunk: chunk, From: Origin}, true
		}
	}
	return Fetch{}, false
}

// nextFromNeighbour returns a fetch of the rarest chunk that an available neighbour has.
func (s *Selector) nextFromNeighbour(now time.Time) (best Fetch, isFound bool) {
	names := s.availablePeers(now)
	rarest := 0
	for _, chunk := range s.shuffled {
		count := s.replicas[chunk]
		if count == 0 || (isFound && count >= rarest) || !s.isNeeded(chunk) {
			continue
		}
		if from := s.choosePeer(chunk, names); from != "" {
			best, rarest, isFound = Fetch{Chunk: chunk, From: from}, count, true
		}
	}
	return best, isFound
}

// availablePeers returns the neighbours in this region that may be asked now, in random order.
func (s *Selector) availablePeers(now time.Time) []string {
	names := make([]string, 0, len(s.peers))
	for name, p := range s.peers {
		if p.instance.Region == s.c.Self.Region && s.inFlight[name] < maxFetchesPerPeer && !s.isBackingOff(now, name) {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	s.c.Random.Shuffle(len(names), func(i, j int) { names[i], names[j] = names[j], names[i] })
	return names
}

// choosePeer returns the neighbour to fetch a chunk from, empty for none. It prefers the neighbour
// with the fewest fetches in flight and the fewest chunks received from it, to spread uploads
// evenly.
func (s *Selector) choosePeer(chunk int, names []string) (from string) {
	bestCost := 0
	for _, name := range names {
		p := s.peers[name]
		if !p.has[chunk] {
			continue
		}
		cost := inFlightCost*s.inFlight[name] + s.received[name]
		if from == "" || cost < bestCost {
			from, bestCost = name, cost
		}
	}
	return from
}
