package selector_test

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/foxtailwharf/foxtailwharf"
	"github.com/foxtailwharf/foxtailwharf/internal/version/selector"
)

func init() {
	// A fixed seed makes runs reproducible; -rapid.seed overrides it.
	_ = flag.Set("rapid.seed", "1")
}

// swarm simulates agents that fetch a version from the origin and each other in rounds.
type swarm struct {
	now           time.Time
	instances     []foxtailwharf.Instance
	selectors     []*selector.Selector
	has           [][]bool
	longPolls     []longPoll
	originFetches int  // successful and failed ones, but not while the origin is down
	isDown        bool // whether the origin is down
	regions       int
	crossings     int // fetches between regions
}

// longPoll is a fetch that its source holds until it has the chunk.
type longPoll struct {
	agent int
	fetch selector.Fetch
	until time.Time
}

const (
	takeoverTimeout = 3 * time.Second
	holdTime        = 10 * time.Second
)

func newSwarm(t *rapid.T, chunks, count int) *swarm {
	s := &swarm{now: time.Unix(0, 0), regions: rapid.IntRange(1, 3).Draw(t, "regions")}
	manifest := foxtailwharf.Manifest{}
	for n := range chunks {
		manifest.Chunks = append(manifest.Chunks, foxtailwharf.Chunk{Digest: foxtailwharf.Digest([]byte{byte(n)}), Size: 1})
	}
	for n := range count {
		s.instances = append(s.instances, foxtailwharf.Instance{
			Name: fmt.Sprint("agent-", n), Incarnation: fmt.Sprint(n), Region: fmt.Sprint("r", n%s.regions), FailureDomain: fmt.Sprint("d", n%(2*s.regions)),
		})
	}
	for n, i := range s.instances {
		sel := selector.New(selector.Config{Self: i, Manifest: manifest, TakeoverTimeout: takeoverTimeout, Random: rand.New(rand.NewPCG(uint64(n), 1))}, s.now)
		sel.SetHolders(s.instances)
		s.selectors = append(s.selectors, sel)
		s.has = append(s.has, make([]bool, chunks))
	}
	return s
}

// runRound lets all agents announce their chunks to each other and then fetch. isDead says which
// agents are dead, and isFailing which fetches fail.
func (s *swarm) runRound(isDead func(n int) bool, isFailing func() bool) {
	s.now = s.now.Add(200 * time.Millisecond)
	for n := range s.selectors {
		for m := range s.instances {
			if m != n && !isDead(m) {
				s.announce(m, n)
			}
		}
	}
	polls := s.longPolls
	s.longPolls = nil
	for _, w := range polls {
		s.finish(w.agent, w.fetch, w.until, isDead, isFailing)
	}
	for n, sel := range s.selectors {
		if isDead(n) {
			continue
		}
		var fetches []selector.Fetch
		for len(fetches) < 6 {
			f, isFound := sel.Next(s.now)
			if !isFound {
				break
			}
			fetches = append(fetches, f)
		}
		for _, f := range fetches {
			s.finish(n, f, s.now.Add(holdTime), isDead, isFailing)
		}
	}
}

// announce passes the chunks of one agent to another, and a failure of the origin within a region.
func (s *swarm) announce(from, to int) {
	s.selectors[to].UpdatePeer(s.instances[from], append([]bool(nil), s.has[from]...))
	if s.instances[from].Region == s.instances[to].Region && s.selectors[from].HasOriginFailed(s.now) {
		s.selectors[to].NoteOriginFailed(s.now)
	}
}

// finish ends a fetch, or keeps it as a long poll while its source lacks the chunk.
func (s *swarm) finish(n int, f selector.Fetch, until time.Time, isDead func(n int) bool, isFailing func() bool) {
	if f.From == selector.Origin && s.isDown {
		s.selectors[n].Finish(s.now, f, selector.Failed)
		return
	}
	if f.From == selector.Origin {
		s.originFetches++
	}
	source := -1
	for m, i := range s.instances {
		if i.Name == f.From {
			source = m
		}
	}
	isLacking := source >= 0 && !isDead(source) && !s.has[source][f.Chunk]
	if isLacking && f.IsLongPoll && s.now.Before(until) {
		s.longPolls = append(s.longPolls, longPoll{agent: n, fetch: f, until: until})
		return
	}
	switch {
	case isFailing() || (source >= 0 && isDead(source)):
		s.selectors[n].Finish(s.now, f, selector.Failed)
		return
	case isLacking:
		s.selectors[n].Finish(s.now, f, selector.Missing)
		return
	}
	if source >= 0 && s.instances[source].Region != s.instances[n].Region {
		s.crossings++
	}
	s.has[n][f.Chunk] = true
	s.selectors[n].Finish(s.now, f, selector.Fetched)
}

func (s *swarm) missing(isDead func(n int) bool) (missing int) {
	for n, sel := range s.selectors {
		if !isDead(n) {
			missing += sel.Missing()
		}
	}
	return missing
}

// TestOneOriginFetch checks that without faults each chunk is fetched from the origin exactly
// once, and into each other region exactly once.
func TestOneOriginFetch(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		chunks, count := rapid.IntRange(1, 30).Draw(t, "chunks"), rapid.IntRange(3, 12).Draw(t, "agents")
		s := newSwarm(t, chunks, count)
		never := func(int) bool { return false }
		for rounds := 0; s.missing(never) > 0; rounds++ {
			s.runRound(never, func() bool { return false })
			if rounds > 400 {
				t.Fatalf("%d chunks are missing after %d rounds", s.missing(never), rounds)
			}
		}
		if s.originFetches != chunks {
			t.Errorf("%d chunks took %d fetches from the origin", chunks, s.originFetches)
		}
		if want := chunks * (s.regions - 1); s.crossings != want {
			t.Errorf("%d chunks crossed between %d regions %d times, want %d", chunks, s.regions, s.crossings, want)
		}
	})
}

// TestFaults checks that the surviving agents get all chunks although agents die and fetches fail.
func TestFaults(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := newSwarm(t, rapid.IntRange(1, 20).Draw(t, "chunks"), 8)
		dead := rapid.SliceOfNDistinct(rapid.IntRange(0, 7), 0, 4, rapid.ID).Draw(t, "dead")
		from := rapid.IntRange(0, 20).Draw(t, "from")
		random := rand.New(rand.NewPCG(uint64(rapid.IntRange(0, 1000).Draw(t, "seed")), 1))
		rounds := 0
		isDead := func(n int) bool {
			for _, d := range dead {
				if d == n && rounds >= from {
					return true
				}
			}
			return false
		}
		for ; s.missing(isDead) > 0; rounds++ {
			s.runRound(isDead, func() bool { return random.IntN(5) == 0 })
			if rounds > 2000 {
				t.Fatalf("%d chunks are missing after %d rounds", s.missing(isDead), rounds)
			}
		}
	})
}

// BenchmarkNext measures Next with 200 chunks, 24 neighbours and 670 agents in total.
func BenchmarkNext(b *testing.B) {
	manifest := foxtailwharf.Manifest{}
	for n := range 200 {
		manifest.Chunks = append(manifest.Chunks, foxtailwharf.Chunk{Digest: foxtailwharf.Digest([]byte{byte(n)}), Size: 1})
	}
	var all []foxtailwharf.Instance
	for n := range 670 {
		all = append(all, foxtailwharf.Instance{Name: fmt.Sprint("agent-", n), Region: fmt.Sprint("r", n%3), FailureDomain: fmt.Sprint("d", n%7)})
	}
	now := time.Unix(0, 0)
	s := selector.New(selector.Config{Self: all[0], Manifest: manifest, TakeoverTimeout: time.Minute, Random: rand.New(rand.NewPCG(1, 1))}, now)
	s.SetHolders(all)
	for n := range 24 {
		has := make([]bool, 200)
		for chunk := range has {
			has[chunk] = (chunk+n)%3 > 0
		}
		s.UpdatePeer(all[3*n+3], has)
	}
	for b.Loop() {
		if f, isFound := s.Next(now); isFound {
			s.Finish(now, f, selector.Busy)
			now = now.Add(time.Second)
		}
	}
}

// TestWindowMovesWithTime checks that an owner that receives no announcements fetches its later
// chunks once the origin should have sent those before them, and not sooner.
func TestWindowMovesWithTime(t *testing.T) {
	const chunks, agents, chunkTime = 60, 6, 50 * time.Millisecond
	start := time.Unix(0, 0)
	var all []foxtailwharf.Instance
	for n := range agents {
		all = append(all, foxtailwharf.Instance{Name: fmt.Sprint("agent-", n), Region: "r", FailureDomain: "d"})
	}
	manifest := foxtailwharf.Manifest{}
	for n := range chunks {
		manifest.Chunks = append(manifest.Chunks, foxtailwharf.Chunk{Digest: foxtailwharf.Digest([]byte{byte(n)}), Size: 1})
	}
	s := selector.New(selector.Config{
		Self: all[0], Manifest: manifest, OriginRegion: "r", TakeoverTimeout: time.Minute, OriginChunkTime: chunkTime, Random: rand.New(rand.NewPCG(1, 1)),
	}, start)
	s.SetHolders(all)
	fetched := 0
	for now := start; now.Before(start.Add(chunks * chunkTime)); now = now.Add(chunkTime / 2) {
		for f, isFound := s.Next(now); isFound; f, isFound = s.Next(now) {
			if ahead := f.Chunk - int(now.Sub(start)/chunkTime); ahead > 20 {
				t.Errorf("chunk %d is fetched %d chunks ahead of the origin's rate", f.Chunk, ahead)
			}
			fetched++
			s.Finish(now, f, selector.Fetched)
		}
	}
	if fetched < chunks/agents/2 {
		t.Errorf("%d chunks were fetched by one of %d owners of %d", fetched, agents, chunks)
	}
}

// TestOriginReturns checks that after an outage of the origin the agents fetch little more than one
// copy from it (at most 1.3). Without the restart of the takeover timeout the agents
// would fetch many copies at once when the origin returns.
func TestOriginReturns(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const chunks, agents = 24, 9
		s := newSwarm(t, chunks, agents)
		s.isDown = true
		never := func(int) bool { return false }
		for range rapid.IntRange(5, 60).Draw(t, "rounds of 0.2 s") {
			s.runRound(never, func() bool { return false })
		}
		s.isDown = false
		rounds := 0
		for ; rounds < 200 && s.missing(never) > 0; rounds++ {
			s.runRound(never, func() bool { return false })
		}
		if s.missing(never) > 0 {
			t.Fatalf("%d chunks are missing after %d rounds", s.missing(never), rounds)
		}
		if limit := chunks * 13 / 10; s.originFetches > limit {
			t.Fatalf("%d fetches from the origin for %d chunks, want at most %d", s.originFetches, chunks, limit)
		}
	})
}

// TestOwnersOfLargeFleet checks that one copy is fetched from the origin although agents of a large fleet know only a part of
// the others: those of their own failure domain and the owners.
func TestOwnersOfLargeFleet(t *testing.T) {
	const chunks, domains, perDomain, ownersPerDomain = 16, 3, 100, 16
	now := time.Unix(0, 0)
	manifest := foxtailwharf.Manifest{}
	for n := range chunks {
		manifest.Chunks = append(manifest.Chunks, foxtailwharf.Chunk{Digest: foxtailwharf.Digest([]byte{byte(n)}), Size: 1})
	}
	var all, owners []foxtailwharf.Instance
	for n := range domains * perDomain {
		all = append(all, foxtailwharf.Instance{Name: fmt.Sprint("agent-", n), Region: "r", FailureDomain: fmt.Sprint("d", n%domains)})
	}
	owners = all[:domains*ownersPerDomain]
	fromOrigin := 0
	for _, self := range all {
		s := selector.New(selector.Config{Self: self, Manifest: manifest, OriginRegion: "r", TakeoverTimeout: time.Minute, Random: rand.New(rand.NewPCG(1, 1))}, now)
		known := slices.Clone(owners)
		for _, other := range all[len(owners):] {
			if other.FailureDomain == self.FailureDomain {
				known = append(known, other)
			}
		}
		s.SetHolders(known)
		s.SetOwners(owners)
		for f, isFound := s.Next(now); isFound; f, isFound = s.Next(now) {
			if f.From == selector.Origin {
				fromOrigin++
			}
			s.Finish(now, f, selector.Fetched)
		}
	}
	if fromOrigin != chunks {
		t.Errorf("%d chunks are fetched from the origin, want each of %d once", fromOrigin, chunks)
	}
}
