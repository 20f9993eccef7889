package receiver

import (
	"time"

	"github.com/foxtailwharf/foxtailwharf/internal/request/admitter"
	"github.com/foxtailwharf/foxtailwharf/internal/request/isolator"
	"github.com/foxtailwharf/foxtailwharf/wire"
)

// sharedState gives the gossiper access to the state that entries exchange in addition to
// instances and documents.
type sharedState struct {
	r *Receiver
}

// Usage returns the demand of each flow at this entry, for other entries.
func (s *sharedState) Usage() (usage []wire.Usage) {
	s.r.mu.Lock()
	defer s.r.mu.Unlock()
	for _, u := range s.r.admitter.Usage(time.Now()) {
		usage = append(usage, wire.Usage{Flow: u.Flow, Rate: u.Rate})
	}
	return usage
}

// MergeUsage records the demand that another entry reported, and updates the number of entries.
func (s *sharedState) MergeUsage(peer string, usage []wire.Usage) {
	received := make([]admitter.Usage, 0, len(usage))
	for _, u := range usage {
		received = append(received, admitter.Usage{Flow: u.Flow, Rate: u.Rate})
	}
	count := s.r.gossiper.EntryCount()
	s.r.mu.Lock()
	defer s.r.mu.Unlock()
	s.r.admitter.SetEntries(count)
	s.r.admitter.UpdatePeer(time.Now(), peer, received)
}

// Evidence returns what is held against requests that crash upstreams, and the bans, for other entries.
func (s *sharedState) Evidence() wire.FleetWarning {
	return isolator.ToWire(s.r.relayer.Evidence())
}

// MergeEvidence merges the evidence of another entry, and its bans.
func (s *sharedState) MergeEvidence(w wire.FleetWarning) {
	s.r.relayer.MergeEvidence(isolator.FromWire(w))
}
