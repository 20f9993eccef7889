// Package fetcher brings the chunks of a wanted version to an agent: it asks the
// selector what to fetch, runs the downloads, and tells its neighbours what it
// has.
package fetcher

import (
	"context"
	"math/rand/v2"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"go.uber.org/zap"

	"github.com/foxtailwharf/foxtailwharf"
	"github.com/foxtailwharf/foxtailwharf/internal/connection/messenger"
	"github.com/foxtailwharf/foxtailwharf/internal/process/pauser"
	"github.com/foxtailwharf/foxtailwharf/internal/version/holder"
	"github.com/foxtailwharf/foxtailwharf/internal/version/sourcer"
	"github.com/foxtailwharf/foxtailwharf/wire"
)

// MethodHave is the method by which agents tell each other what they have.
const MethodHave = "Have"

// Constants of fetching.
const (
	// defaultDownloads is the number of chunks fetched at a time.
	defaultDownloads = 12
	// tick is the longest time between two looks at what could be fetched.
	tick = 100 * time.Millisecond
	// tellInterval is the least time between two tellings to one neighbour.
	tellInterval = 200 * time.Millisecond
	// refreshInterval is the longest time between two tellings to one neighbour.
	refreshInterval = time.Second
	// manifestPause is the pause after no source had the manifest.
	manifestPause = 500 * time.Millisecond
	// manifestPeers is the number of agents asked for a manifest before the origin.
	manifestPeers = 2
)

// Config holds the settings of a Fetcher.
type Config struct {
	Self func() foxtailwharf.Instance
	// Holders returns the agents that should have the version.
	Holders func() []foxtailwharf.Instance
	Holder  *holder.Holder
	Client  *messenger.Client
	HTTP    *http.Client
	Origin  foxtailwharf.Origin
	Policy  foxtailwharf.FetchPolicy
	// OriginRegion returns where the origin stands; nil where it is not known.
	OriginRegion func() string
	// OriginRate returns what the origin sends, in bytes a second; nil or 0 where it is not
	// known.
	OriginRate func() int64
	Neighbours int
	// Downloads is the number of chunks fetched at a time; 0 for the default.
	Downloads int
	Patience  time.Duration // time without progress after which the next sponsor takes over
	Wait      time.Duration // time for which a sponsor is asked to hold a request
	Stall     time.Duration // time without a byte after which a download is given up
	// Allowed returns how many of Downloads may run now.
	Allowed func() int
	Random  *rand.Rand
	Log     *zap.Logger
}

// Fetcher fetches one version at a time.
type Fetcher struct {
	c     Config
	done  chan struct{}
	wake  chan struct{} // holds one
	drawn atomic.Int64  // bytes drawn from the origin

	mu      sync.Mutex
	want    string
	session *session
}

// New returns a fetcher that wants nothing.
func New(c Config) *Fetcher {
	if c.Downloads == 0 {
		c.Downloads = defaultDownloads
	}
	if c.Allowed == nil {
		c.Allowed = func() int { return c.Downloads }
	}
	return &Fetcher{c: c, done: make(chan struct{}), wake: make(chan struct{}, 1)}
}

// Start begins the duty; it ends with the context.
func (f *Fetcher) Start(ctx context.Context) {
	go f.run(ctx)
}

// Done is closed when the duty has ended.
func (f *Fetcher) Done() <-chan struct{} {
	return f.done
}

// Register makes a server answer what this agent has.
func (f *Fetcher) Register(s *messenger.Server) {
	messenger.Register(s, MethodHave, f.have)
}

// Drawn returns the bytes drawn from the origin so far.
func (f *Fetcher) Drawn() int64 {
	return f.drawn.Load()
}

// Want sets the version to fetch; empty for none. The chunks end up in the holder.
func (f *Fetcher) Want(version string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.want == version {
		return
	}
	f.want = version
	if f.session != nil {
		f.session.cancel()
		f.session = nil
	}
	f.signal()
}

func (f *Fetcher) signal() {
	select {
	case f.wake <- struct{}{}:
	default:
	}
}

// run serves one wanted version after another.
func (f *Fetcher) run(ctx context.Context) {
	defer close(f.done)
	for ctx.Err() == nil {
		select {
		case <-f.wake:
		case <-ctx.Done():
			return
		}
		f.mu.Lock()
		version := f.want
		f.mu.Unlock()
		if version != "" {
			f.fetch(ctx, version)
		}
	}
}

// fetch brings one version, until it is whole or no longer wanted.
func (f *Fetcher) fetch(ctx context.Context, version string) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	manifest, err := f.manifest(ctx, version)
	if err != nil {
		return
	}
	s := newSession(f, version, manifest, cancel)
	f.mu.Lock()
	isWanted := f.want == version
	if isWanted {
		f.session = s
	}
	f.mu.Unlock()
	if isWanted {
		s.run(ctx)
	}
}

// manifest reads the manifest from other agents or the origin, until it has it or
// the version is no longer wanted.
func (f *Fetcher) manifest(ctx context.Context, version string) (m foxtailwharf.Manifest, err error) {
	for ctx.Err() == nil {
		for _, source := range f.manifestSources(version) {
			var text []byte
			if text, err = source.Manifest(ctx, version); err != nil {
				continue
			}
			if m, err = f.c.Holder.AddManifest(version, text); err == nil {
				return m, nil
			}
			f.c.Log.Warn("weights: A manifest was corrupt.", zap.Error(err))
		}
		pauser.Sleep(ctx, manifestPause)
		f.mu.Lock()
		isWanted := f.want == version
		f.mu.Unlock()
		if !isWanted {
			return m, errors.New("Fetcher.manifest: no longer wanted")
		}
	}
	return m, ctx.Err()
}

func (f *Fetcher) manifestSources(version string) (sources []foxtailwharf.Origin) {
	if text, isHeld := f.c.Holder.Manifest(version); isHeld {
		return []foxtailwharf.Origin{heldManifest(text)}
	}
	holders := f.others()
	f.c.Random.Shuffle(len(holders), func(i, j int) { holders[i], holders[j] = holders[j], holders[i] })
	for _, i := range holders[:min(manifestPeers, len(holders))] {
		sources = append(sources, sourcer.New(f.c.HTTP, i.Address))
	}
	return append(sources, f.c.Origin)
}

func (f *Fetcher) originRegion() string {
	if f.c.OriginRegion == nil {
		return ""
	}
	return f.c.OriginRegion()
}

// drawTime returns how long the origin sends one chunk; 0 where its rate is not known.
func (f *Fetcher) drawTime(m foxtailwharf.Manifest) time.Duration {
	if f.c.OriginRate == nil || len(m.Chunks) == 0 {
		return 0
	}
	rate := f.c.OriginRate()
	if rate <= 0 {
		return 0
	}
	return time.Duration(m.Chunks[0].Size * int64(time.Second) / rate)
}

// others returns the other agents that should have the version.
func (f *Fetcher) others() []foxtailwharf.Instance {
	self := f.c.Self()
	return slices.DeleteFunc(slices.Clone(f.c.Holders()), func(i foxtailwharf.Instance) bool {
		return i.Name == self.Name || i.IsLeaving
	})
}

// neighbours returns the agents of the own region to exchange chunks with: half
// from the own failure domain. Scores of pairs make the choice mutual as far as
// it goes; those who chose this agent are added when they tell what they have.
func (f *Fetcher) neighbours() []foxtailwharf.Instance {
	self := f.c.Self()
	var near, far []foxtailwharf.Instance
	for _, i := range f.others() {
		switch {
		case i.FailureDomain == self.FailureDomain:
			near = append(near, i)
		case i.Region == self.Region:
			far = append(far, i)
		}
	}
	sortByPair(near, self.Name)
	sortByPair(far, self.Name)
	half := f.c.Neighbours / 2
	nearCount := min(len(near), max(half, f.c.Neighbours-len(far)))
	farCount := min(len(far), f.c.Neighbours-nearCount)
	return append(near[:nearCount:nearCount], far[:farCount]...)
}

func sortByPair(instances []foxtailwharf.Instance, self string) {
	score := func(i foxtailwharf.Instance) uint64 {
		return foxtailwharf.Score(min(self, i.Name), max(self, i.Name))
	}
	slices.SortFunc(instances, func(a, b foxtailwharf.Instance) int {
		if score(a) > score(b) {
			return -1
		}
		return 1
	})
}

// have answers a neighbour with what this agent has.
func (f *Fetcher) have(_ context.Context, told wire.Have) (wire.Have, error) {
	f.mu.Lock()
	s := f.session
	f.mu.Unlock()
	reply := wire.Have{Name: f.c.Self().Name, Version: told.Version, Chunks: f.c.Holder.Bitmap(told.Version)}
	if s != nil && s.version == told.Version {
		s.hear(told)
		reply.HasOriginFailed = s.hasOriginFailed()
	}
	return reply, nil
}
