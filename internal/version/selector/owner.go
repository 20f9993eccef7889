package selector

import (
	"slices"
	"time"

	"github.com/foxtailwharf/foxtailwharf"
)

// asSponsor returns a chunk that this agent has to bring into its region.
func (s *Selector) asSponsor(now time.Time) (Fetch, bool) {
	turn := 0
	if s.c.Patience > 0 {
		turn = int(now.Sub(s.advanced) / s.c.Patience)
	}
	for chunk := range s.has {
		isMine := s.isOpen(chunk) && s.near[chunk] == 0 && len(s.better[chunk]) <= turn
		if !isMine || (turn == 0 && !s.isInWindow(now, chunk)) {
			continue
		}
		if f, isFound := s.draw(now, chunk); isFound {
			return f, true
		}
	}
	return Fetch{}, false
}

// isInWindow reports whether a chunk's turn to be drawn has come: the one a window
// before it, of the same primary region, has arrived somewhere near, or should have.
func (s *Selector) isInWindow(now time.Time, chunk int) bool {
	before := chunk - window*s.primaryRegions()
	if before < 0 || s.has[before] || s.near[before] > 0 {
		return true
	}
	return s.c.DrawTime > 0 && now.Sub(s.started) >= time.Duration(before+1)*s.c.DrawTime
}

// primaryRegions returns in how many regions chunks are drawn from the origin.
func (s *Selector) primaryRegions() int {
	if slices.Contains(s.regions, s.c.OriginRegion) {
		return 1
	}
	return len(s.regions)
}

func (s *Selector) score(chunk int, name string) uint64 {
	return foxtailwharf.Score(s.c.Manifest.Chunks[chunk].Digest, name)
}

// draw decides from where a sponsor gets its chunk. It waits for the sponsors before
// it, if it is a successor, and for the one of the primary region; the origin comes
// when those were asked in vain.
func (s *Selector) draw(now time.Time, chunk int) (Fetch, bool) {
	sponsors := s.better[chunk]
	if s.primaryRegion(chunk) != s.c.Self.Region {
		sponsors = append(slices.Clone(sponsors), s.primaries[chunk])
	}
	for _, sponsor := range sponsors {
		if !s.asked[chunk][sponsor] {
			return Fetch{Chunk: chunk, From: sponsor, IsWait: true}, s.waits < maxSponsorWaits
		}
	}
	if s.isBad(now, Origin) || s.perSource[Origin] >= maxOriginDraws {
		return Fetch{}, false
	}
	return Fetch{Chunk: chunk, From: Origin}, true
}

// primaryRegion is the origin's region, or else spreads the chunks evenly over the regions.
func (s *Selector) primaryRegion(chunk int) string {
	if slices.Contains(s.regions, s.c.OriginRegion) {
		return s.c.OriginRegion
	}
	return s.regions[chunk%len(s.regions)]
}
