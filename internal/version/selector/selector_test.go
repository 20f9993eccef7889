package selector_test

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/foxtailwharf/foxtailwharf"
	"github.com/foxtailwharf/foxtailwharf/internal/version/selector"
)

func init() {
	// A fixed seed gives the same verdict on every run; -rapid.seed overrides it.
	_ = flag.Set("rapid.seed", "1")
}

// swarm is a number of agents that fetch a version in rounds.
type swarm struct {
	now       time.Time
	instances []foxtailwharf.Instance
	selectors []*selector.Selector
	has       [][]bool
	waiting   []wait
	draws     int  // from the origin
	isDown    bool // the origin
	crossings int  // between regions
}

// wait is a fetch that its source holds until it has the chunk.
type wait struct {
	agent int
	fetch selector.Fetch
	until time.Time
}

const (
	patience = 3 * time.Second
	holdTime = 10 * time.Second
)

func newSwarm(t *rapid.T, chunks, count int) *swarm {
	s := &swarm{now: time.Unix(0, 0)}
	manifest := foxtailwharf.Manifest{}
	for n := range chunks {
		manifest.Chunks = append(manifest.Chunks, foxtailwharf.Chunk{Digest: foxtailwharf.Digest([]byte{byte(n)}), Size: 1})
	}
	regions := rapid.IntRange(1, 3).Draw(t, "regions")
	for n := range count {
		s.instances = append(s.instances, foxtailwharf.Instance{
			Name: fmt.Sprint("agent-", n), Incarnation: fmt.Sprint(n), Region: fmt.Sprint("r", n%regions), FailureDomain: fmt.Sprint("d", n%(2*regions)),
		})
	}
	for n, i := range s.instances {
		one := selector.New(selector.Config{Self: i, Manifest: manifest, Patience: patience, Random: rand.New(rand.NewPCG(uint64(n), 1))}, s.now)
		one.SetHolders(s.instances)
		s.selectors = append(s.selectors, one)
		s.has = append(s.has, make([]bool, chunks))
	}
	return s
}

// round has all agents tell each other what they have and fetch once. isDead and
// isBad say which agents are dead and which fetches fail.
func (s *swarm) round(isDead func(n int) bool, isBad func() bool) {
	s.now = s.now.Add(200 * time.Millisecond)
	for n := range s.selectors {
		for m := range s.instances {
			if m != n && !isDead(m) {
				s.tell(m, n)
			}
		}
	}
	held := s.waiting
	s.waiting = nil
	for _, w := range held {
		s.finish(w.agent, w.fetch, w.until, isDead, isBad)
	}
	for n, one := range s.selectors {
		if isDead(n) {
			continue
		}
		var fetches []selector.Fetch
		for len(fetches) < 6 {
			f, isFound := one.Next(s.now)
			if !isFound {
				break
			}
			fetches = append(fetches, f)
		}
		for _, f := range fetches {
			s.finish(n, f, s.now.Add(holdTime), isDead, isBad)
		}
	}
}

// tell has one agent hear what another has.
func (s *swarm) tell(from, to int) {
	s.selectors[to].Hear(s.instances[from], append([]bool(nil), s.has[from]...))
	if s.instances[from].Region == s.instances[to].Region && s.selectors[from].HasOriginFailed(s.now) {
		s.selectors[to].HearOriginFailed(s.now)
	}
}

// finish ends one fetch, unless its source holds it.
func (s *swarm) finish(n int, f selector.Fetch, until time.Time, isDead func(n int) bool, isBad func() bool) {
	if f.From == selector.Origin && s.isDown {
		s.selectors[n].Finish(s.now, f, selector.Failed)
		return
	}
	if f.From == selector.Origin {
		s.draws++
	}
	source := -1
	for m, i := range s.instances {
		if i.Name == f.From {
			source = m
		}
	}
	isLacking := source >= 0 && !isDead(source) && !s.has[source][f.Chunk]
	if isLacking && f.IsWait && s.now.Before(until) {
		s.waiting = append(s.waiting, wait{agent: n, fetch: f, until: until})
		return
	}
	switch {
	case isBad() || (source >= 0 && isDead(source)):
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
	for n, one := range s.selectors {
		if !isDead(n) {
			missing += one.Missing()
		}
	}
	return missing
}

// TestOneDraw fetches without faults: each chunk is drawn from the origin once and
// crosses to each other region once.
func TestOneDraw(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		chunks, count := rapid.IntRange(1, 30).Draw(t, "chunks"), rapid.IntRange(3, 12).Draw(t, "agents")
		s := newSwarm(t, chunks, count)
		never := func(int) bool { return false }
		for rounds := 0; s.missing(never) > 0; rounds++ {
			s.round(never, func() bool { return false })
			if rounds > 400 {
				t.Fatalf("%d chunks are missing after %d rounds", s.missing(never), rounds)
			}
		}
		if s.draws != chunks {
			t.Errorf("%d chunks were drawn %d times", chunks, s.draws)
		}
	})
}

// TestFaults lets agents die and fetches fail: the living get all chunks.
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
			s.round(isDead, func() bool { return random.IntN(5) == 0 })
			if rounds > 2000 {
				t.Fatalf("%d chunks are missing after %d rounds", s.missing(isDead), rounds)
			}
		}
	})
}

// BenchmarkNext chooses among 200 chunks with 24 neighbours and 670 agents in all.
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
	s := selector.New(selector.Config{Self: all[0], Manifest: manifest, Patience: time.Minute, Random: rand.New(rand.NewPCG(1, 1))}, now)
	s.SetHolders(all)
	for n := range 24 {
		has := make([]bool, 200)
		for chunk := range has {
			has[chunk] = (chunk+n)%3 > 0
		}
		s.Hear(all[3*n+3], has)
	}
	for b.Loop() {
		if f, isFound := s.Next(now); isFound {
			s.Finish(now, f, selector.Busy)
			now = now.Add(time.Second)
		}
	}
}

// TestWindowMovesByTheClock has a sponsor that hears of no chunk: it draws its later chunks
// when the origin should have sent those before them, and not sooner.
func TestWindowMovesByTheClock(t *testing.T) {
	const chunks, agents, drawTime = 60, 6, 50 * time.Millisecond
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
		Self: all[0], Manifest: manifest, OriginRegion: "r", Patience: time.Minute, DrawTime: drawTime, Random: rand.New(rand.NewPCG(1, 1)),
	}, start)
	s.SetHolders(all)
	drawn := 0
	for now := start; now.Before(start.Add(chunks * drawTime)); now = now.Add(drawTime / 2) {
		for f, isFound := s.Next(now); isFound; f, isFound = s.Next(now) {
			if ahead := f.Chunk - int(now.Sub(start)/drawTime); ahead > 20 {
				t.Errorf("chunk %d is drawn %d chunks before its time", f.Chunk, ahead)
			}
			drawn++
			s.Finish(now, f, selector.Fetched)
		}
	}
	if drawn < chunks/agents/2 {
		t.Errorf("%d chunks were drawn by one of %d sponsors of %d", drawn, agents, chunks)
	}
}

// TestOriginReturns takes the origin away for a while, in which nothing advances: when it is
// back the agents draw little more than one copy, as if it had never been gone.
func TestOriginReturns(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const chunks, agents = 24, 9
		s := newSwarm(t, chunks, agents)
		s.isDown = true
		never := func(int) bool { return false }
		for range rapid.IntRange(5, 60).Draw(t, "rounds of 0.2 s") {
			s.round(never, func() bool { return false })
		}
		s.isDown = false
		rounds := 0
		for ; rounds < 200 && s.missing(never) > 0; rounds++ {
			s.round(never, func() bool { return false })
		}
		if s.missing(never) > 0 {
			t.Fatalf("%d chunks are missing after %d rounds", s.missing(never), rounds)
		}
		if limit := chunks * 13 / 10; s.draws > limit {
			t.Fatalf("%d chunks were drawn for %d, want %d at the most", s.draws, chunks, limit)
		}
	})
}
