// Package selector decides which chunk an agent fetches next and from which source.
//
// Each chunk has one owner in each region, chosen by rendezvous hashing; the agents of the region
// that follow in hash order are its successors. The owner in the chunk's primary region fetches
// the chunk from the origin, the owners in the other regions fetch it from that owner, and all
// other agents fetch it from their neighbours, rarest chunk first. Owners fetch in chunk order
// within a sliding window, so that the first chunks reach the swarm early.
//
// The package does no I/O and reads no clock.
package selector

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/foxtailwharf/foxtailwharf"
)

const (
	// maxFetchesPerPeer is the number of chunks fetched from one neighbour at a time.
	maxFetchesPerPeer = 1
	// failureBackoff is the backoff after the first failure of a neighbour; it doubles with each
	// further one.
	failureBackoff = time.Second
	// originBackoff is the backoff after a failure of the origin. It does not grow, because there
	// is only one origin and all agents wait for its return.
	originBackoff = 400 * time.Millisecond
	// originFailureTTL is how long an agent reports a failure of the origin to its neighbours. It
	// is longer than originBackoff, so owners retry the origin before the report expires.
	originFailureTTL = time.Second
	// maxBackoff bounds the doubling of failureBackoff.
	maxBackoff = time.Minute
	// busyBackoff is the backoff after a source was busy or lacked a chunk.
	busyBackoff = 20 * time.Millisecond
	// maxLongPolls is the number of long polls to other owners at a time.
	maxLongPolls = 3
	// maxOriginFetches is the number of chunks fetched from the origin at a time.
	maxOriginFetches = 2
	// primaryAttempts is how often the primary owner of a chunk is asked for it before another
	// source is used.
	primaryAttempts = 2
	// inFlightCost is the cost of a fetch in flight from a neighbour, in chunks that were already
	// received from it.
	inFlightCost = 2
	// originWindow is the number of chunks by which the owners of one primary region may fetch ahead
	// of the chunks that have arrived.
	originWindow = 16
)

// Origin is the origin's name in Fetch.From.
const Origin = ""

// Config holds the settings of a Selector.
type Config struct {
	Self     foxtailwharf.Instance
	Manifest foxtailwharf.Manifest
	Policy   foxtailwharf.FetchPolicy
	// OriginRegion is the region of the origin, which is then the primary region of all chunks, so
	// that each chunk crosses to every other region once. If it is empty or has no agents, the
	// primary regions of the chunks are spread evenly over all regions.
	OriginRegion string
	// OriginChunkTime is how long the origin takes to send one chunk; 0 if unknown. If it is known
	// the window also moves with time, so that the origin is not idle while announcements of its
	// chunks are on their way.
	OriginChunkTime time.Duration
	// TakeoverTimeout is the time without progress after which the next agent in hash order takes
	// over from an owner that has not brought its chunk into the region; 0 for never.
	TakeoverTimeout time.Duration
	Random          *rand.Rand
}

// Fetch names a chunk to fetch and its source.
type Fetch struct {
	Chunk int
	From  string // name of an instance, or Origin
	// IsLongPoll says that the source may not have the chunk yet and is asked to hold the request
	// until it does.
	IsLongPoll bool
}

// Selector holds the state of fetching one version. It is not safe for concurrent use.
type Selector struct {
	c               Config
	has             []bool
	missing         int
	fetching        map[int]string // source of each chunk in flight
	peers           map[string]*peer
	replicas        []int // per chunk, the neighbours in this region that announced it
	backoffs        map[string]*backoff
	tried           map[int]map[string]bool // by chunk, the owners that were asked without success
	primaryMisses   map[int]int             // by chunk, Missing results from the primary owner
	holders         []foxtailwharf.Instance // agents that should have the version, this one included
	owners          []foxtailwharf.Instance // agents that may own chunks; nil for all holders
	regions         []string
	precedingOwners [][]string // per chunk, the agents of this region before this one in hash order
	primaryOwners   []string   // per chunk, the owner in its primary region
	started         time.Time
	lastProgress    time.Time      // when a chunk last arrived or the origin was last reported down
	originFailedAt  time.Time      // last failure of a fetch from the origin; zero for none
	inFlight        map[string]int // fetches in flight from each source
	received        map[string]int // chunks fetched from each source
	longPolls       int            // in flight
	shuffled        []int          // all chunks in random order, to break ties randomly
}

type peer struct {
	instance foxtailwharf.Instance
	has      []bool
}

type backoff struct {
	until    time.Time
	failures int
}

// New returns a selector without any chunks. c.Self is the only agent until SetHolders is called.
func New(c Config, now time.Time) *Selector {
	count := len(c.Manifest.Chunks)
	s := &Selector{
		c:             c,
		has:           make([]bool, count),
		missing:       count,
		fetching:      make(map[int]string),
		peers:         make(map[string]*peer),
		replicas:      make([]int, count),
		backoffs:      make(map[string]*backoff),
		tried:         make(map[int]map[string]bool),
		primaryMisses: make(map[int]int),
		inFlight:      make(map[string]int),
		received:      make(map[string]int),
		started:       now,
		lastProgress:  now,
		shuffled:      c.Random.Perm(count),
	}
	s.SetHolders([]foxtailwharf.Instance{c.Self})
	return s
}

// SetHolders sets the agents that should have the version. c.Self is added if it is missing.
func (s *Selector) SetHolders(holders []foxtailwharf.Instance) {
	if !slices.ContainsFunc(holders, func(i foxtailwharf.Instance) bool { return i.Name == s.c.Self.Name }) {
		holders = append(slices.Clone(holders), s.c.Self)
	}
	if areSame(holders, s.holders) {
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
	s.rankOwners()
}

// SetOwners sets the agents that may own chunks, which are known to all agents; none for all holders. An agent that is not
// one of them takes over from them only when all have failed.
func (s *Selector) SetOwners(owners []foxtailwharf.Instance) {
	if areSame(owners, s.owners) {
		return
	}
	s.owners = owners
	s.rankOwners()
}

func areSame(a, b []foxtailwharf.Instance) bool {
	return slices.EqualFunc(a, b, func(a, b foxtailwharf.Instance) bool { return a.Name == b.Name && a.Region == b.Region })
}

// rankOwners computes the owners of each chunk, once per list of holders and owners.
func (s *Selector) rankOwners() {
	s.precedingOwners = make([][]string, len(s.has))
	s.primaryOwners = make([]string, len(s.has))
	owners := s.owners
	if len(owners) == 0 {
		owners = s.holders
	}
	isOwner := slices.ContainsFunc(owners, func(i foxtailwharf.Instance) bool { return i.Name == s.c.Self.Name })
	for chunk := range s.has {
		own := s.score(chunk, s.c.Self.Name)
		var best uint64
		for _, i := range owners {
			score := s.score(chunk, i.Name)
			if i.Region == s.c.Self.Region && (score > own || !isOwner) {
				s.precedingOwners[chunk] = append(s.precedingOwners[chunk], i.Name)
			}
			if i.Region == s.primaryRegion(chunk) && score >= best {
				s.primaryOwners[chunk], best = i.Name, score
			}
		}
		slices.SortFunc(s.precedingOwners[chunk], func(a, b string) int {
			return cmp.Compare(s.score(chunk, b), s.score(chunk, a))
		})
	}
}

// UpdatePeer replaces what is known of a neighbour by the chunks that it announced. The selector
// keeps and modifies has.
func (s *Selector) UpdatePeer(i foxtailwharf.Instance, has []bool) {
	s.RemovePeer(i.Name)
	s.peers[i.Name] = &peer{instance: i, has: has}
	s.addReplicas(i.Name, 1)
}

// RemovePeer drops a neighbour and its announced chunks.
func (s *Selector) RemovePeer(name string) {
	s.addReplicas(name, -1)
	delete(s.peers, name)
}

// addReplicas adds a neighbour's chunks to the replica counts (sign 1) or subtracts them (sign -1).
func (s *Selector) addReplicas(name string, sign int) {
	p, isKnown := s.peers[name]
	if !isKnown || p.instance.Region != s.c.Self.Region {
		return
	}
	for chunk, has := range p.has {
		if has {
			s.replicas[chunk] += sign
		}
	}
}

// Missing returns the number of chunks that are not held yet, including those in flight.
func (s *Selector) Missing() int {
	return s.missing
}

// MarkHeld marks a chunk as held, which counts as progress unless it was held before.
func (s *Selector) MarkHeld(now time.Time, chunk int) {
	if !s.has[chunk] {
		s.has[chunk] = true
		s.missing--
		s.lastProgress = now
	}
}

// Result is the outcome of a fetch.
type Result int

// Results that Finish accepts.
const (
	Fetched Result = iota // the chunk arrived and was verified
	Busy                  // all upload slots of the source are in use
	Missing               // the source does not have the chunk
	Failed                // the source was unreachable, stalled or sent a corrupt chunk
)

// Finish records the outcome of a fetch that Next returned.
func (s *Selector) Finish(now time.Time, f Fetch, result Result) {
	delete(s.fetching, f.Chunk)
	s.inFlight[f.From]--
	if f.IsLongPoll {
		s.longPolls--
	}
	switch result {
	case Fetched:
		s.MarkHeld(now, f.Chunk)
		s.received[f.From]++
		delete(s.backoffs, f.From)
	case Busy:
		s.backOff(now, f.From, busyBackoff, false)
	case Missing:
		s.noteMissing(f)
		s.withdraw(f)
		if !f.IsLongPoll {
			s.backOff(now, f.From, busyBackoff, false)
		}
	case Failed:
		s.markTried(f)
		if f.From == Origin {
			s.backOffOrigin(now)
			return
		}
		// A live neighbour announces its chunks again within a second. The announcements of a
		// dead one would otherwise be tried chunk by chunk, with growing backoff.
		s.RemovePeer(f.From)
		s.backOff(now, f.From, failureBackoff, true)
	}
}

// backOffOrigin starts the origin's backoff after a failure. Failed requests to other owners say
// nothing about these owners while the origin is down, so they are forgotten and the takeover
// timeout restarts. Otherwise every agent would take over from every owner and fetch many copies
// at once when the origin returns.
func (s *Selector) backOffOrigin(now time.Time) {
	s.backOff(now, Origin, originBackoff, false)
	s.originFailedAt = now
	s.NoteOriginFailed(now)
}

// NoteOriginFailed records that the origin is down, as another agent reported: it restarts the
// takeover timeout and forgets failed requests to owners.
func (s *Selector) NoteOriginFailed(now time.Time) {
	s.lastProgress = now
	clear(s.tried)
	clear(s.primaryMisses)
}

// HasOriginFailed reports whether a fetch of this agent from the origin failed within the last
// second.
func (s *Selector) HasOriginFailed(now time.Time) bool {
	return !s.originFailedAt.IsZero() && now.Sub(s.originFailedAt) < originFailureTTL
}

// noteMissing records that a source lacks a chunk. A primary owner of another region is asked again a
// few times. It has answered, so it probably lacks the chunk because the origin is down. Without
// the repeats each region would go to the origin by itself, all at the moment when it returns.
func (s *Selector) noteMissing(f Fetch) {
	if f.IsLongPoll && f.From == s.primaryOwners[f.Chunk] && s.primaryRegion(f.Chunk) != s.c.Self.Region {
		s.primaryMisses[f.Chunk]++
		if s.primaryMisses[f.Chunk] < primaryAttempts {
			return
		}
	}
	s.markTried(f)
}

// markTried records that a long poll to an owner failed.
func (s *Selector) markTried(f Fetch) {
	if !f.IsLongPoll {
		return
	}
	if s.tried[f.Chunk] == nil {
		s.tried[f.Chunk] = make(map[string]bool)
	}
	s.tried[f.Chunk][f.From] = true
}

// withdraw drops a neighbour's announcement of a chunk until it is announced again. Otherwise the
// announcement of a dead neighbour would keep owners from bringing the chunk into the region.
func (s *Selector) withdraw(f Fetch) {
	p, isKnown := s.peers[f.From]
	if !isKnown || !p.has[f.Chunk] {
		return
	}
	p.has[f.Chunk] = false
	if p.instance.Region == s.c.Self.Region {
		s.replicas[f.Chunk]--
	}
}

// backOff excludes a source for a while. With isFault the pause doubles with each earlier failure
// of the source.
func (s *Selector) backOff(now time.Time, source string, pause time.Duration, isFault bool) {
	f, isKnown := s.backoffs[source]
	if !isKnown {
		f = &backoff{}
		s.backoffs[source] = f
	}
	if isFault {
		pause = min(pause<<min(f.failures, 6), maxBackoff)
		f.failures++
	}
	f.until = now.Add(pause)
}

func (s *Selector) isBackingOff(now time.Time, source string) bool {
	f, isKnown := s.backoffs[source]
	return isKnown && f.until.After(now)
}
