package foxtailwharf

import "github.com/pkg/errors"

// Rank is the priority class of a request.
type Rank string

// Ranks, most urgent first.
const (
	RankUrgent  Rank = "Urgent"
	RankChat    Rank = "Chat"
	RankSummary Rank = "Summary"
)

// Ranks lists all ranks, most urgent first.
func Ranks() []Rank {
	return []Rank{RankUrgent, RankChat, RankSummary}
}

// Index returns the index of r in Ranks, where 0 is the most urgent. For an unknown rank it returns
// the number of ranks.
func (r Rank) Index() int {
	switch r {
	case RankUrgent:
		return 0
	case RankChat:
		return 1
	case RankSummary:
		return 2
	default:
		return 3
	}
}

// Validate returns an error if the rank is unknown.
func (r Rank) Validate() error {
	if r.Index() >= len(Ranks()) {
		return errors.Errorf("unknown rank %q: must be Urgent, Chat or Summary", string(r))
	}
	return nil
}
