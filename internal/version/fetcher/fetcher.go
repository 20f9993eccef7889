// Package fetcher downloads the chunks of the wanted version into an agent's holder. It asks the
// selector what to fetch and from where, runs the downloads, and announces the held chunks to
// neighbours.
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
	"github.com/foxtailwharf/foxtailwharf/internal/process/sleeper"
	"github.com/foxtailwharf/foxtailwharf/internal/version/downloader"
	"github.com/foxtailwharf/foxtailwharf/internal/version/holder"
	"github.com/foxtailwharf/foxtailwharf/wire"
)

// MethodHave is the messenger method by which agents announce to each other which chunks they have.
const MethodHave = "Have"

const (
	// defaultDownloads is the default of Config.Downloads.
	defaultDownloads = 12
	// pollInterval is the longest time between two checks for chunks to fetch.
	pollInterval = 100 * time.Millisecond
	// minAnnounceInterval is the pause after a triggered announcement to a neighbour.
	minAnnounceInterval = 200 * time.Millisecond
	// maxAnnounceInterval is the longest time between two announcements to a neighbour.
	maxAnnounceInterval = time.Second
	// manifestRetryPause is the pause after no source had the manifest.
	manifestRetryPause = 500 * time.Millisecond
	// manifestPeers is the number of agents that are asked for a manifest before the origin.
	manifestPeers = 2
)

// Config holds the settings of a Fetcher.
type Config struct {
	Self func() foxtailwharf.Instance
	// Holders returns the agents that should have the version.
	Holders func() []foxtailwharf.Instance
	// Owners returns the agents that may bring chunks into their regions, which all agents have to know; nil for all
	// holders.
	Owners func() []foxtailwharf.Instance
	Holder *holder.Holder
	Client *messenger.Client
	HTTP   *http.Client
	Origin foxtailwharf.Origin
	Policy foxtailwharf.FetchPolicy
	// OriginRegion returns the region of the origin; nil or an empty result if it is unknown.
	OriginRegion func() string
	// OriginRate returns the sending rate of the origin in bytes per second; nil or 0 if it is
	// unknown.
	OriginRate func() int64
	Neighbours int // agents to exchange chunks with
	// Downloads is the number of chunks fetched at a time; 0 for the default of 12.
	Downloads       int
	TakeoverTimeout time.Duration // time without progress after which a chunk's next owner takes over
	LongPollTimeout time.Duration // time for which the source of a long poll is asked to hold it
	StallTimeout    time.Duration // time without a received byte after which a download is aborted
	// DownloadLimit returns the number of downloads that may run now, bounded by Downloads;
	// nil for all.
	DownloadLimit func() int
	Random        *rand.Rand
	Log           *zap.Logger
}

// Fetcher fetches one version at a time. It is safe for concurrent use.
type Fetcher struct {
	c           Config
	done        chan struct{}
	wake        chan struct{} // capacity 1
	originBytes atomic.Int64  // received from the origin
	mismatches  atomic.Int64  // chunks that were received whole and differ from the manifest

	mu      sync.Mutex
	want    string
	session *session
}

// New returns a fetcher without a wanted version that has not started.
func New(c Config) *Fetcher {
	if c.Downloads == 0 {
		c.Downloads = defaultDownloads
	}
	if c.DownloadLimit == nil {
		c.DownloadLimit = func() int { return c.Downloads }
	}
	return &Fetcher{c: c, done: make(chan struct{}), wake: make(chan struct{}, 1)}
}

// Start runs the fetcher in the background until ctx is done.
func (f *Fetcher) Start(ctx context.Context) {
	go f.run(ctx)
}

// Done returns a channel that is closed when the fetcher has stopped after Start.
func (f *Fetcher) Done() <-chan struct{} {
	return f.done
}

// Register registers the handler of MethodHave with a server.
func (f *Fetcher) Register(s *messenger.Server) {
	messenger.Register(s, MethodHave, f.handleHave)
}

// Drawn returns the number of chunk bytes received from the origin so far.
func (f *Fetcher) Drawn() int64 {
	return f.originBytes.Load()
}

// Mismatches returns the number of chunks so far that were received whole and differ from the manifest: either they or the manifest
// are corrupt.
func (f *Fetcher) Mismatches() int64 {
	return f.mismatches.Load()
}

// Want sets the version to fetch, named by the digest of its manifest; empty for none. Downloads
// of another version are cancelled, but their chunks stay in the holder.
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

// run fetches the wanted versions one after another.
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

// fetch fetches one version until it is complete or no longer wanted.
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

// manifest reads the manifest from other agents or the origin. It retries until it succeeds or the
// version is no longer wanted.
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
			f.c.Log.Warn("weights: received a corrupt manifest", zap.Error(err))
		}
		sleeper.Sleep(ctx, manifestRetryPause)
		f.mu.Lock()
		isWanted := f.want == version
		f.mu.Unlock()
		if !isWanted {
			return m, errors.New("Fetcher.manifest: the version is no longer wanted")
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
		sources = append(sources, downloader.New(f.c.HTTP, i.Address))
	}
	return append(sources, f.c.Origin)
}

func (f *Fetcher) originRegion() string {
	if f.c.OriginRegion == nil {
		return ""
	}
	return f.c.OriginRegion()
}

// originChunkTime returns how long the origin takes to send one chunk; 0 if its rate is unknown.
func (f *Fetcher) originChunkTime(m foxtailwharf.Manifest) time.Duration {
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

// neighbours returns the agents to exchange chunks with: half from this agent's failure domain and
// half from the rest of its region, as far as there are enough of each. The choice follows scores
// of pairs, which makes it mutual in most cases. Agents that chose this one, but not vice versa,
// become known by their announcements.
func (f *Fetcher) neighbours() []foxtailwharf.Instance {
	self := f.c.Self()
	var local, remote []foxtailwharf.Instance
	for _, i := range f.others() {
		switch {
		case i.FailureDomain == self.FailureDomain:
			local = append(local, i)
		case i.Region == self.Region:
			remote = append(remote, i)
		}
	}
	sortByPair(local, self.Name)
	sortByPair(remote, self.Name)
	half := f.c.Neighbours / 2
	localCount := min(len(local), max(half, f.c.Neighbours-len(remote)))
	remoteCount := min(len(remote), f.c.Neighbours-localCount)
	return append(local[:localCount:localCount], remote[:remoteCount]...)
}

// sortByPair sorts instances by the rendezvous score of their pair with self, highest first.
func sortByPair(instances []foxtailwharf.Instance, self string) {
	score := func(i foxtailwharf.Instance) uint64 {
		return foxtailwharf.RendezvousScore(min(self, i.Name), max(self, i.Name))
	}
	slices.SortFunc(instances, func(a, b foxtailwharf.Instance) int {
		if score(a) > score(b) {
			return -1
		}
		return 1
	})
}

// handleHave processes a neighbour's announcement and replies with this agent's chunks.
func (f *Fetcher) handleHave(_ context.Context, announced wire.Have) (wire.Have, error) {
	f.mu.Lock()
	s := f.session
	f.mu.Unlock()
	reply := wire.Have{Name: f.c.Self().Name, Version: announced.Version, Chunks: f.c.Holder.Bitmap(announced.Version)}
	if s != nil && s.version == announced.Version {
		s.applyHave(announced)
		reply.HasOriginFailed = s.hasOriginFailed()
	}
	return reply, nil
}
