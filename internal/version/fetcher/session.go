package fetcher

import (
	"context"
	"io"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/pkg/errors"
	"go.uber.org/zap"

	"github.com/foxtailwharf/foxtailwharf"
	"github.com/foxtailwharf/foxtailwharf/internal/connection/messenger"
	"github.com/foxtailwharf/foxtailwharf/internal/process/sleeper"
	"github.com/foxtailwharf/foxtailwharf/internal/version/downloader"
	"github.com/foxtailwharf/foxtailwharf/internal/version/holder"
	"github.com/foxtailwharf/foxtailwharf/internal/version/selector"
	"github.com/foxtailwharf/foxtailwharf/wire"
)

// heldManifest is the text of a manifest that the agent already holds, as a foxtailwharf.Origin.
type heldManifest []byte

// Manifest returns the held text, whatever the digest.
func (m heldManifest) Manifest(context.Context, string) ([]byte, error) {
	return m, nil
}

// Chunk returns downloader.ErrMissing, since there are no chunks here.
func (m heldManifest) Chunk(context.Context, string) (io.ReadCloser, error) {
	return nil, downloader.ErrMissing
}

// session fetches one version.
type session struct {
	f        *Fetcher
	version  string
	manifest foxtailwharf.Manifest
	cancel   context.CancelFunc
	finished chan result
	changed  chan struct{} // signals a processed announcement; capacity 1
	ended    chan struct{} // closed when no more chunks will be fetched
	running  int           // downloads in flight

	mu         sync.Mutex
	selector   *selector.Selector
	announcers map[string]*announcer
	members    map[string]foxtailwharf.Instance // agents that should have the version, by name
}

// result is the outcome of a download.
type result struct {
	fetch selector.Fetch
	err   error
}

func newSession(f *Fetcher, version string, manifest foxtailwharf.Manifest, cancel context.CancelFunc) *session {
	now := time.Now()
	s := &session{
		f:          f,
		version:    version,
		manifest:   manifest,
		cancel:     cancel,
		finished:   make(chan result, f.c.Downloads),
		changed:    make(chan struct{}, 1),
		ended:      make(chan struct{}),
		announcers: make(map[string]*announcer),
		selector: selector.New(selector.Config{
			Self:            f.c.Self(),
			Manifest:        manifest,
			Policy:          f.c.Policy,
			OriginRegion:    f.originRegion(),
			OriginChunkTime: f.originChunkTime(manifest),
			TakeoverTimeout: f.c.TakeoverTimeout,
			Random:          rand.New(rand.NewPCG(f.c.Random.Uint64(), f.c.Random.Uint64())),
		}, now),
	}
	for i, chunk := range manifest.Chunks {
		if _, isHeld := f.c.Holder.Chunk(chunk.Digest); isHeld {
			s.selector.MarkHeld(now, i)
		}
	}
	return s
}

// run downloads until no chunk is missing or ctx is done. Neighbours receive announcements until
// the session ends.
func (s *session) run(ctx context.Context) {
	announcing, stop := context.WithCancel(ctx)
	defer s.stopAnnouncers(stop)
	var members time.Time
	for s.missing() > 0 && ctx.Err() == nil {
		if now := time.Now(); now.Sub(members) > time.Second {
			members = now
			s.updateMembers(announcing)
		}
		s.start(ctx)
		s.wait(ctx)
	}
	for s.running > 0 {
		s.finish(<-s.finished)
	}
	s.announceAll()
}

func (s *session) missing() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.selector.Missing()
}

func (s *session) hasOriginFailed() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.selector.HasOriginFailed(time.Now())
}

// updateMembers passes the current holders to the selector and starts announcers for new
// neighbours.
func (s *session) updateMembers(ctx context.Context) {
	holders := s.f.c.Holders()
	s.mu.Lock()
	s.selector.SetHolders(holders)
	if s.f.c.Owners != nil {
		s.selector.SetOwners(s.f.c.Owners())
	}
	s.members = make(map[string]foxtailwharf.Instance, len(holders))
	for _, i := range holders {
		s.members[i.Name] = i
	}
	s.mu.Unlock()
	if s.f.c.Policy == foxtailwharf.FetchOriginOnly {
		return
	}
	for _, i := range s.f.neighbours() {
		s.addAnnouncer(ctx, i)
	}
}

// addAnnouncer starts an announcer for a neighbour unless one runs for the same incarnation.
func (s *session) addAnnouncer(ctx context.Context, i foxtailwharf.Instance) {
	s.mu.Lock()
	defer s.mu.Unlock()
	current, isKnown := s.announcers[i.Name]
	if isKnown && current.to.Incarnation == i.Incarnation {
		return
	}
	a := &announcer{s: s, to: i, due: make(chan struct{}, 1), done: make(chan struct{})}
	s.announcers[i.Name] = a
	a.signal()
	go a.run(ctx)
}

// start starts as many downloads as may run now.
func (s *session) start(ctx context.Context) {
	limit := min(s.f.c.DownloadLimit(), s.f.c.Downloads)
	for s.running < limit {
		s.mu.Lock()
		fetch, isFound := s.selector.Next(time.Now())
		s.mu.Unlock()
		if !isFound {
			return
		}
		s.running++
		d := &download{s: s, fetch: fetch}
		go d.run(ctx)
	}
}

// wait blocks until a download ends, an announcement arrives, pollInterval passes or ctx is done.
func (s *session) wait(ctx context.Context) {
	timer := time.NewTimer(pollInterval)
	defer timer.Stop()
	select {
	case r := <-s.finished:
		s.finish(r)
	case <-s.changed:
	case <-timer.C:
	case <-ctx.Done():
	}
}

// finish records the outcome of a download.
func (s *session) finish(r result) {
	s.running--
	outcome := resultOf(r.err)
	if outcome == selector.Failed {
		s.f.c.Log.Debug("weights: chunk download failed", zap.Int("Chunk", r.fetch.Chunk), zap.String("From", r.fetch.From), zap.Error(r.err))
	}
	s.mu.Lock()
	s.selector.Finish(time.Now(), r.fetch, outcome)
	s.mu.Unlock()
	if r.err == nil {
		s.announceAll()
	}
}

func resultOf(err error) selector.Result {
	switch {
	case err == nil:
		return selector.Fetched
	case errors.Is(err, downloader.ErrBusy):
		return selector.Busy
	case errors.Is(err, downloader.ErrMissing):
		return selector.Missing
	default:
		return selector.Failed
	}
}

// announceAll triggers an announcement to every neighbour.
func (s *session) announceAll() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, a := range s.announcers {
		a.signal()
	}
}

// stopAnnouncers waits until pending announcements are sent, then stops the announcers.
func (s *session) stopAnnouncers(stop context.CancelFunc) {
	s.mu.Lock()
	announcers := make([]*announcer, 0, len(s.announcers))
	for _, a := range s.announcers {
		announcers = append(announcers, a)
	}
	s.mu.Unlock()
	close(s.ended)
	for _, a := range announcers {
		<-a.done
	}
	stop()
}

// applyHave passes a neighbour's announcement to the selector. Malformed announcements, and those
// of agents that should not have the version, are ignored.
func (s *session) applyHave(announced wire.Have) {
	has, err := holder.ParseBitmap(announced.Chunks, len(s.manifest.Chunks))
	if err != nil || announced.Chunks == "" {
		return
	}
	s.mu.Lock()
	if i, isMember := s.members[announced.Name]; isMember {
		s.selector.UpdatePeer(i, has)
		if announced.HasOriginFailed {
			s.selector.NoteOriginFailed(time.Now())
		}
	}
	s.mu.Unlock()
	select {
	case s.changed <- struct{}{}:
	default:
	}
}

// announcer announces this agent's chunks to one neighbour and processes the replies.
type announcer struct {
	s    *session
	to   foxtailwharf.Instance
	due  chan struct{} // signals a triggered announcement; capacity 1
	done chan struct{}
}

func (a *announcer) signal() {
	select {
	case a.due <- struct{}{}:
	default:
	}
}

func (a *announcer) run(ctx context.Context) {
	defer close(a.done)
	refresh := time.NewTicker(maxAnnounceInterval)
	defer refresh.Stop()
	for {
		select {
		case <-a.due:
			a.announce(ctx)
			sleeper.Sleep(ctx, minAnnounceInterval)
		case <-refresh.C:
			// The neighbour's last announcement may have been lost.
			a.announce(ctx)
		case <-a.s.ended:
			a.announceLast(ctx)
			return
		}
	}
}

// announceLast sends the announcement that was triggered before the session ended, if any.
func (a *announcer) announceLast(ctx context.Context) {
	select {
	case <-a.due:
		a.announce(ctx)
	default:
	}
}

func (a *announcer) announce(ctx context.Context) {
	have := wire.Have{
		Name: a.s.f.c.Self().Name, Version: a.s.version, Chunks: a.s.f.c.Holder.Bitmap(a.s.version),
		HasOriginFailed: a.s.hasOriginFailed(),
	}
	reply, err := messenger.Call[wire.Have](ctx, a.s.f.c.Client, a.to.Address, MethodHave, have)
	if err != nil {
		a.s.mu.Lock()
		a.s.selector.RemovePeer(a.to.Name)
		a.s.mu.Unlock()
		return
	}
	a.s.applyHave(reply)
}

// download fetches one chunk.
type download struct {
	s     *session
	fetch selector.Fetch
}

func (d *download) run(ctx context.Context) {
	d.s.finished <- result{fetch: d.fetch, err: d.get(ctx)}
}

func (d *download) get(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	chunk := d.s.manifest.Chunks[d.fetch.Chunk]
	timeout := d.s.f.c.StallTimeout
	if d.fetch.IsLongPoll {
		timeout += d.s.f.c.LongPollTimeout
	}
	stall := time.AfterFunc(timeout, cancel)
	defer stall.Stop()
	body, err := d.open(ctx, chunk)
	if err != nil {
		return err
	}
	defer func() { _ = body.Close() }()
	reader := &progressReader{Reader: io.LimitReader(body, chunk.Size+1), stall: stall, timeout: d.s.f.c.StallTimeout}
	data, err := io.ReadAll(reader)
	if d.fetch.From == selector.Origin {
		d.s.f.originBytes.Add(int64(len(data)))
	}
	if err != nil {
		return errors.Wrap(err, "download.get")
	}
	if err := d.s.f.c.Holder.Put(chunk, data); err != nil {
		d.s.f.mismatches.Add(1)
		return errors.Wrap(err, "download.get")
	}
	return nil
}

// open requests the chunk from its source.
func (d *download) open(ctx context.Context, chunk foxtailwharf.Chunk) (io.ReadCloser, error) {
	if d.fetch.From == selector.Origin {
		return d.s.f.c.Origin.Chunk(ctx, chunk.Digest)
	}
	d.s.mu.Lock()
	from, isMember := d.s.members[d.fetch.From]
	d.s.mu.Unlock()
	if !isMember {
		return nil, downloader.ErrMissing
	}
	source := downloader.New(d.s.f.c.HTTP, from.Address)
	if d.fetch.IsLongPoll {
		return source.AwaitChunk(ctx, chunk.Digest, d.s.f.c.LongPollTimeout)
	}
	return source.Chunk(ctx, chunk.Digest)
}

// progressReader restarts the stall timer of a download whenever bytes arrive.
type progressReader struct {
	io.Reader
	stall   *time.Timer
	timeout time.Duration
}

// Read reads from the underlying reader and restarts the timer if it returned any bytes.
func (r *progressReader) Read(p []byte) (int, error) {
	n, err := r.Reader.Read(p)
	if n > 0 {
		r.stall.Reset(r.timeout)
	}
	return n, err
}
