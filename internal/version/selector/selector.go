// Package selector decides which chunk an agent fetches next and from whom. For
// each chunk one sponsor of a primary region draws from the origin, the sponsors
// of the other regions draw from that one, and all others from their neighbours,
// rarest chunk first. Sponsors draw in the order of the chunks, a window at a time,
// so that the first chunks are in the swarm early. It does no I/O and holds no
// clock.
package selector

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/foxtailwharf/foxtailwharf"
)

// Constants of the choice.
const (
	// perPeer is the number of chunks fetched from one neighbour at a time.
	perPeer = 1
	// badTime is how long a source that failed is passed over; it doubles with each failure.
	badTime = time.Second
	// originBadTime is how long the origin is passed over after a failure. It does not
	// grow: there is one origin, and all wait for its return.
	originBadTime = 400 * time.Millisecond
	// originNews is how long a failure of the origin is told: sponsors try it again sooner.
	originNews = time.Second
	// maxBadTime bounds the doubling.
	maxBadTime = time.Minute
	// busyTime is how long a source that was busy is passed over.
	busyTime = 20 * time.Millisecond
	// maxSponsorWaits is the number of chunks that wait for another sponsor at a time.
	maxSponsorWaits = 3
	// maxOriginDraws is the number of chunks drawn from the origin at a time.
	maxOriginDraws = 2
	// primaryTries is how often the sponsor in the primary region is asked for a chunk.
	primaryTries = 2
	// busyCost weighs a running fetch against the chunks that a neighbour has already given.
	busyCost = 2
	// window is the number of chunks of one primary region that are on their way from
	// the origin at a time.
	window = 16
)

// Origin is the name of the origin among the sources.
const Origin = ""

// Config holds the settings of a Selector.
type Config struct {
	Self     foxtailwharf.Instance
	Manifest foxtailwharf.Manifest
	Policy   foxtailwharf.FetchPolicy
	// OriginRegion is where the origin stands; its region draws all chunks, so that each
	// crosses to the other regions once. Where it is empty the draws are spread evenly.
	OriginRegion string
	// DrawTime is how long the origin sends one chunk; 0 where it is not known. With it the
	// window moves by the clock as well, so that the origin is never idle while word of its
	// chunks travels.
	DrawTime time.Duration
	// Patience is the time after which the next in line takes over from a sponsor
	// that has not brought its chunk into the region.
	Patience time.Duration
	Random   *rand.Rand
}

// Fetch is one decision: which chunk from whom.
type Fetch struct {
	Chunk int
	From  string // name of an instance, or Origin
	// IsWait says that the source may not have the chunk yet and should be asked to
	// hold the request until it does.
	IsWait bool
}

// Selector holds the state of fetching one version.
type Selector struct {
	c         Config
	has       []bool
	missing   int
	fetching  map[int]string // source of each chunk being fetched
	peers     map[string]*peer
	near      []int // neighbours in the region that have each chunk
	bad       map[string]*fault
	asked     map[int]map[string]bool // sponsors that were asked for a chunk in vain
	inVain    map[int]int             // times that the sponsor in the primary region lacked a chunk
	holders   []foxtailwharf.Instance // agents that should have the version, this one included
	regions   []string
	better    [][]string // sponsors of each chunk in the region before this agent, first first
	primaries []string   // sponsor of each chunk in its primary region
	started   time.Time
	advanced  time.Time // when a chunk last arrived
	failed    time.Time // when the origin last failed this agent; zero for never
	perSource map[string]int
	taken     map[string]int // chunks that came from each neighbour
	waits     int
	order     []int // chunks in random order, against ties
}

type peer struct {
	instance foxtailwharf.Instance
	has      []bool
}

type fault struct {
	until time.Time
	count int
}

// New returns a selector that lacks all chunks.
func New(c Config, now time.Time) *Selector {
	count := len(c.Manifest.Chunks)
	s := &Selector{
		c:         c,
		has:       make([]bool, count),
		missing:   count,
		fetching:  make(map[int]string),
		peers:     make(map[string]*peer),
		near:      make([]int, count),
		bad:       make(map[string]*fault),
		asked:     make(map[int]map[string]bool),
		inVain:    make(map[int]int),
		perSource: make(map[string]int),
		taken:     make(map[string]int),
		started:   now,
		advanced:  now,
		order:     c.Random.Perm(count),
	}
	s.SetHolders([]foxtailwharf.Instance{c.Self})
	return s
}

// SetHolders tells which agents should have the version.
func (s *Selector) SetHolders(holders []foxtailwharf.Instance) {
	if !slices.ContainsFunc(holders, func(i foxtailwharf.Instance) bool { return i.Name == s.c.Self.Name }) {
		holders = append(slices.Clone(holders), s.c.Self)
	}
	if slices.EqualFunc(holders, s.holders, func(a, b foxtailwharf.Instance) bool { return a.Name == b.Name && a.Region == b.Region }) {
		return
	}
	s.holders = holders
	s.regions = nil
	for _, i := range s.holders {
		if !slices.Contains(s.regions, i.Region) {
			s.regions = append(s.regions, i.Region)
		}
	}
	slices.Sort(s.regions)
	s.rankSponsors()
}

// rankSponsors works out each chunk's sponsors once for a list of holders.
func (s *Selector) rankSponsors() {
	s.better = make([][]string, len(s.has))
	s.primaries = make([]string, len(s.has))
	for chunk := range s.has {
		own := s.score(chunk, s.c.Self.Name)
		var best uint64
		for _, i := range s.holders {
			score := s.score(chunk, i.Name)
			if i.Region == s.c.Self.Region && score > own {
				s.better[chunk] = append(s.better[chunk], i.Name)
			}
			if i.Region == s.primaryRegion(chunk) && score >= best {
				s.primaries[chunk], best = i.Name, score
			}
		}
		slices.SortFunc(s.better[chunk], func(a, b string) int {
			return cmp.Compare(s.score(chunk, b), s.score(chunk, a))
		})
	}
}

// Hear takes in which chunks a neighbour has.
func (s *Selector) Hear(i foxtailwharf.Instance, has []bool) {
	s.Forget(i.Name)
	s.peers[i.Name] = &peer{instance: i, has: has}
	s.count(i.Name, 1)
}

// Forget drops a neighbour.
func (s *Selector) Forget(name string) {
	s.count(name, -1)
	delete(s.peers, name)
}

// count adds a neighbour's chunks to the numbers of those near, or takes them out.
func (s *Selector) count(name string, sign int) {
	p, isKnown := s.peers[name]
	if !isKnown || p.instance.Region != s.c.Self.Region {
		return
	}
	for chunk, has := range p.has {
		if has {
			s.near[chunk] += sign
		}
	}
}

// Missing returns how many chunks are missing.
func (s *Selector) Missing() int {
	return s.missing
}

// Have marks a chunk as held.
func (s *Selector) Have(now time.Time, chunk int) {
	if !s.has[chunk] {
		s.has[chunk] = true
		s.missing--
		s.advanced = now
	}
}

// Result is how a fetch ended.
type Result int

// The results.
const (
	Fetched Result = iota // and verified
	Busy                  // the source has all its uploads in use
	Missing               // the source does not have the chunk
	Failed                // the source could not be reached, stalled or sent something else
)

// Finish notes the end of a fetch.
func (s *Selector) Finish(now time.Time, f Fetch, result Result) {
	delete(s.fetching, f.Chunk)
	s.perSource[f.From]--
	if f.IsWait {
		s.waits--
	}
	switch result {
	case Fetched:
		s.Have(now, f.Chunk)
		s.taken[f.From]++
		delete(s.bad, f.From)
	case Busy:
		s.pass(now, f.From, busyTime, false)
	case Missing:
		s.noteMissing(f)
		s.unmark(f)
		if !f.IsWait {
			s.pass(now, f.From, busyTime, false)
		}
	case Failed:
		s.noteAsked(f)
		if f.From == Origin {
			s.originFailed(now)
			return
		}
		// A neighbour that lives announces again within a second; those of a dead one
		// would have to be tried chunk by chunk, with growing pauses.
		s.Forget(f.From)
		s.pass(now, f.From, badTime, true)
	}
}

// originFailed passes the origin over for a moment. What was asked of sponsors in vain says
// nothing of them then, and their time begins anew: else all agents would take over from all
// sponsors, and draw many copies at once when the origin is back.
func (s *Selector) originFailed(now time.Time) {
	s.pass(now, Origin, originBadTime, false)
	s.failed = now
	s.HearOriginFailed(now)
}

// HearOriginFailed takes in that the origin has failed another agent a moment ago.
func (s *Selector) HearOriginFailed(now time.Time) {
	s.advanced = now
	clear(s.asked)
	clear(s.inVain)
}

// HasOriginFailed reports whether the origin has failed this agent a moment ago.
func (s *Selector) HasOriginFailed(now time.Time) bool {
	return !s.failed.IsZero() && now.Sub(s.failed) < originNews
}

// noteMissing notes that a source lacks a chunk. The sponsor in the primary region is asked
// again a few times: it answers, so that what is missing is most likely the origin, and all
// regions would draw at once when that is back.
func (s *Selector) noteMissing(f Fetch) {
	if f.IsWait && f.From == s.primaries[f.Chunk] && s.primaryRegion(f.Chunk) != s.c.Self.Region {
		s.inVain[f.Chunk]++
		if s.inVain[f.Chunk] < primaryTries {
			return
		}
	}
	s.noteAsked(f)
}

// noteAsked notes that a sponsor was waited for in vain.
func (s *Selector) noteAsked(f Fetch) {
	if !f.IsWait {
		return
	}
	if s.asked[f.Chunk] == nil {
		s.asked[f.Chunk] = make(map[string]bool)
	}
	s.asked[f.Chunk][f.From] = true
}

// unmark drops a neighbour's announcement of a chunk, until it announces it again: a
// dead neighbour's announcement would keep sponsors from bringing the chunk in.
func (s *Selector) unmark(f Fetch) {
	p, isKnown := s.peers[f.From]
	if !isKnown || !p.has[f.Chunk] {
		return
	}
	p.has[f.Chunk] = false
	if p.instance.Region == s.c.Self.Region {
		s.near[f.Chunk]--
	}
}

// pass leaves a source out for a while.
func (s *Selector) pass(now time.Time, source string, pause time.Duration, isFault bool) {
	f, isKnown := s.bad[source]
	if !isKnown {
		f = &fault{}
		s.bad[source] = f
	}
	if isFault {
		pause = min(pause<<min(f.count, 6), maxBadTime)
		f.count++
	}
	f.until = now.Add(pause)
}

func (s *Selector) isBad(now time.Time, source string) bool {
	f, isKnown := s.bad[source]
	return isKnown && f.until.After(now)
}

// Next returns what to fetch now, or false. The fetch counts as running until
// Finish.
func (s *Selector) Next(now time.Time) (f Fetch, isFound bool) {
	if s.missing == 0 {
		return f, false
	}
	if s.c.Policy == foxtailwharf.FetchOriginOnly {
		f, isFound = s.fromOrigin(now)
	} else if f, isFound = s.asSponsor(now); !isFound {
		f, isFound = s.fromNeighbour(now)
	}
	if isFound {
		s.fetching[f.Chunk] = f.From
		s.perSource[f.From]++
		if f.IsWait {
			s.waits++
		}
	}
	return f, isFound
}

func (s *Selector) isOpen(chunk int) bool {
	_, isFetching := s.fetching[chunk]
	return !s.has[chunk] && !isFetching
}

func (s *Selector) fromOrigin(now time.Time) (Fetch, bool) {
	if s.isBad(now, Origin) || s.perSource[Origin] >= maxOriginDraws {
		return Fetch{}, false
	}
	for _, chunk := range s.order {
		if s.isOpen(chunk) {
			return Fetch{Chunk: chunk, From: Origin}, true
		}
	}
	return Fetch{}, false
}

// fromNeighbour returns the rarest chunk that a neighbour with room has.
func (s *Selector) fromNeighbour(now time.Time) (best Fetch, isFound bool) {
	names := s.usable(now)
	rarest := 0
	for _, chunk := range s.order {
		count := s.near[chunk]
		if count == 0 || (isFound && count >= rarest) || !s.isOpen(chunk) {
			continue
		}
		if from := s.choose(chunk, names); from != "" {
			best, rarest, isFound = Fetch{Chunk: chunk, From: from}, count, true
		}
	}
	return best, isFound
}

// usable returns the neighbours that may be asked, in random order.
func (s *Selector) usable(now time.Time) []string {
	names := make([]string, 0, len(s.peers))
	for name, p := range s.peers {
		if p.instance.Region == s.c.Self.Region && s.perSource[name] < perPeer && !s.isBad(now, name) {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	s.c.Random.Shuffle(len(names), func(i, j int) { names[i], names[j] = names[j], names[i] })
	return names
}

// choose returns the neighbour to ask for a chunk, empty for none: the one with the
// least to do for this agent that has given the least, so that uploads spread evenly.
func (s *Selector) choose(chunk int, names []string) (from string) {
	bestCost := 0
	for _, name := range names {
		p := s.peers[name]
		if !p.has[chunk] {
			continue
		}
		cost := busyCost*s.perSource[name] + s.taken[name]
		if from == "" || cost < bestCost {
			from, bestCost = name, cost
		}
	}
	return from
}
