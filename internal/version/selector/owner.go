package selector

import (
	"slices"
	"time"

	"github.com/foxtailwharf/foxtailwharf"
)

// nextOwned returns a fetch of a chunk that this agent has to bring into its region, as owner or
// as the successor of owners that made no progress.
func (s *Selector) nextOwned(now time.Time) (Fetch, bool) {
	takeovers := 0
	if s.c.TakeoverTimeout > 0 {
		takeovers = int(now.Sub(s.lastProgress) / s.c.TakeoverTimeout)
	}
	for chunk := range s.has {
		isResponsible := s.isNeeded(chunk) && s.replicas[chunk] == 0 && len(s.precedingOwners[chunk]) <= takeovers
		if !isResponsible || (takeovers == 0 && !s.isInWindow(now, chunk)) {
			continue
		}
		if f, isFound := s.ownerFetch(now, chunk); isFound {
			return f, true
		}
	}
	return Fetch{}, false
}

// isInWindow reports whether an owner may fetch a chunk: the chunk one window before it, of the
// same primary region, has arrived in this region, or should have arrived by now.
func (s *Selector) isInWindow(now time.Time, chunk int) bool {
	before := chunk - originWindow*s.primaryRegions()
	if before < 0 || s.has[before] || s.replicas[before] > 0 {
		return true
	}
	return s.c.OriginChunkTime > 0 && now.Sub(s.started) >= time.Duration(before+1)*s.c.OriginChunkTime
}

// primaryRegions returns the number of regions that fetch chunks from the origin.
func (s *Selector) primaryRegions() int {
	if slices.Contains(s.regions, s.c.OriginRegion) {
		return 1
	}
	return len(s.regions)
}

func (s *Selector) score(chunk int, name string) uint64 {
	return foxtailwharf.RendezvousScore(s.c.Manifest.Chunks[chunk].Digest, name)
}

// ownerFetch chooses the source of a chunk that this agent brings into its region. A successor
// first asks the owners before it, and an agent outside the primary region asks the primary
// owner. The origin is used once all of these were tried without success.
func (s *Selector) ownerFetch(now time.Time, chunk int) (Fetch, bool) {
	owners := s.precedingOwners[chunk]
	if s.primaryRegion(chunk) != s.c.Self.Region {
		owners = append(slices.Clone(owners), s.primaryOwners[chunk])
	}
	for _, owner := range owners {
		if !s.tried[chunk][owner] {
			return Fetch{Chunk: chunk, From: owner, IsLongPoll: true}, s.longPolls < maxLongPolls
		}
	}
	if s.isBackingOff(now, Origin) || s.inFlight[Origin] >= maxOriginFetches {
		return Fetch{}, false
	}
	return Fetch{Chunk: chunk, From: Origin}, true
}

// primaryRegion returns the region that fetches a chunk from the origin: the origin's region if it
// has agents, or else one of all regions in turn.
func (s *Selector) primaryRegion(chunk int) string {
	if slices.Contains(s.regions, s.c.OriginRegion) {
		return s.c.OriginRegion
	}
	return s.regions[chunk%len(s.regions)]
}
