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
	"github.com/foxtailwharf/foxtailwharf/internal/process/pauser"
	"github.com/foxtailwharf/foxtailwharf/internal/version/holder"
	"github.com/foxtailwharf/foxtailwharf/internal/version/selector"
	"github.com/foxtailwharf/foxtailwharf/internal/version/sourcer"
	"github.com/foxtailwharf/foxtailwharf/wire"
)

// heldManifest is a manifest that the agent has already.
type heldManifest []byte

// Manifest returns the text.
func (m heldManifest) Manifest(context.Context, string) ([]byte, error) {
	return m, nil
}

// Chunk is never asked of a held manifest.
func (m heldManifest) Chunk(context.Context, string) (io.ReadCloser, error) {
	return nil, sourcer.ErrMissing
}

// session fetches one version.
type session struct {
	f        *Fetcher
	version  string
	manifest foxtailwharf.Manifest
	cancel   context.CancelFunc
	finished chan result
	heard    chan struct{} // holds one
	ended    chan struct{} // closed when nothing more will be fetched
	running  int

	mu       sync.Mutex
	selector *selector.Selector
	tellers  map[string]*teller
	members  map[string]foxtailwharf.Instance // agents that should have the version, by name
}

// result is the end of a download.
type result struct {
	fetch selector.Fetch
	err   error
}

func newSession(f *Fetcher, version string, manifest foxtailwharf.Manifest, cancel context.CancelFunc) *session {
	now := time.Now()
	s := &session{
		f:        f,
		version:  version,
		manifest: manifest,
		cancel:   cancel,
		finished: make(chan result, f.c.Downloads),
		heard:    make(chan struct{}, 1),
		ended:    make(chan struct{}),
		tellers:  make(map[string]*teller),
		selector: selector.New(selector.Config{
			Self:         f.c.Self(),
			Manifest:     manifest,
			Policy:       f.c.Policy,
			OriginRegion: f.originRegion(),
			DrawTime:     f.drawTime(manifest),
			Patience:     f.c.Patience,
			Random:       rand.New(rand.NewPCG(f.c.Random.Uint64(), f.c.Random.Uint64())),
		}, now),
	}
	for i, chunk := range manifest.Chunks {
		if _, isHeld := f.c.Holder.Chunk(chunk.Digest); isHeld {
			s.selector.Have(now, i)
		}
	}
	return s
}

// run downloads until nothing is missing or the context ends. Neighbours are told
// until the end of the session.
func (s *session) run(ctx context.Context) {
	telling, stop := context.WithCancel(ctx)
	defer s.endTellers(stop)
	var members time.Time
	for s.missing() > 0 && ctx.Err() == nil {
		if now := time.Now(); now.Sub(members) > time.Second {
			members = now
			s.meet(telling)
		}
		s.start(ctx)
		s.wait(ctx)
	}
	for s.running > 0 {
		s.finish(<-s.finished)
	}
	s.tellAll()
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

// meet brings the selector's members up to date and begins to tell new neighbours.
func (s *session) meet(ctx context.Context) {
	holders := s.f.c.Holders()
	s.mu.Lock()
	s.selector.SetHolders(holders)
	s.members = make(map[string]foxtailwharf.Instance, len(holders))
	for _, i := range holders {
		s.members[i.Name] = i
	}
	s.mu.Unlock()
	if s.f.c.Policy == foxtailwharf.FetchOriginOnly {
		return
	}
	for _, i := range s.f.neighbours() {
		s.addTeller(ctx, i)
	}
}

func (s *session) addTeller(ctx context.Context, i foxtailwharf.Instance) {
	s.mu.Lock()
	defer s.mu.Unlock()
	known, isKnown := s.tellers[i.Name]
	if isKnown && known.to.Incarnation == i.Incarnation {
		return
	}
	t := &teller{s: s, to: i, due: make(chan struct{}, 1), done: make(chan struct{})}
	s.tellers[i.Name] = t
	t.signal()
	go t.run(ctx)
}

// start begins as many downloads as may run.
func (s *session) start(ctx context.Context) {
	limit := min(s.f.c.Allowed(), s.f.c.Downloads)
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

// wait blocks until something may have changed.
func (s *session) wait(ctx context.Context) {
	timer := time.NewTimer(tick)
	defer timer.Stop()
	select {
	case r := <-s.finished:
		s.finish(r)
	case <-s.heard:
	case <-timer.C:
	case <-ctx.Done():
	}
}

// finish works in the end of a download.
func (s *session) finish(r result) {
	s.running--
	how := resultOf(r.err)
	if how == selector.Failed {
		s.f.c.Log.Debug("weights: A download failed.", zap.Int("Chunk", r.fetch.Chunk), zap.String("From", r.fetch.From), zap.Error(r.err))
	}
	s.mu.Lock()
	s.selector.Finish(time.Now(), r.fetch, how)
	s.mu.Unlock()
	if r.err == nil {
		s.tellAll()
	}
}

func resultOf(err error) selector.Result {
	switch {
	case err == nil:
		return selector.Fetched
	case errors.Is(err, sourcer.ErrBusy):
		return selector.Busy
	case errors.Is(err, sourcer.ErrMissing):
		return selector.Missing
	default:
		return selector.Failed
	}
}

// tellAll makes all tellers tell soon.
func (s *session) tellAll() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, t := range s.tellers {
		t.signal()
	}
}

// endTellers lets the last word go out and ends the tellers.
func (s *session) endTellers(stop context.CancelFunc) {
	s.mu.Lock()
	tellers := make([]*teller, 0, len(s.tellers))
	for _, t := range s.tellers {
		tellers = append(tellers, t)
	}
	s.mu.Unlock()
	close(s.ended)
	for _, t := range tellers {
		<-t.done
	}
	stop()
}

// hear takes in what a neighbour has.
func (s *session) hear(told wire.Have) {
	has, err := holder.ParseBitmap(told.Chunks, len(s.manifest.Chunks))
	if err != nil || told.Chunks == "" {
		return
	}
	s.mu.Lock()
	if i, isMember := s.members[told.Name]; isMember {
		s.selector.Hear(i, has)
		if told.HasOriginFailed {
			s.selector.HearOriginFailed(time.Now())
		}
	}
	s.mu.Unlock()
	select {
	case s.heard <- struct{}{}:
	default:
	}
}

// teller tells one neighbour what this agent has, and hears what it has.
type teller struct {
	s    *session
	to   foxtailwharf.Instance
	due  chan struct{} // holds one
	done chan struct{}
}

func (t *teller) signal() {
	select {
	case t.due <- struct{}{}:
	default:
	}
}

func (t *teller) run(ctx context.Context) {
	defer close(t.done)
	refresh := time.NewTicker(refreshInterval)
	defer refresh.Stop()
	for {
		select {
		case <-t.due:
			t.tell(ctx)
			pauser.Sleep(ctx, tellInterval)
		case <-refresh.C:
			// A neighbour's last word may have been lost.
			t.tell(ctx)
		case <-t.s.ended:
			t.tellLast(ctx)
			return
		}
	}
}

// tellLast sends what became due before the end of the session.
func (t *teller) tellLast(ctx context.Context) {
	select {
	case <-t.due:
		t.tell(ctx)
	default:
	}
}

func (t *teller) tell(ctx context.Context) {
	have := wire.Have{
		Name: t.s.f.c.Self().Name, Version: t.s.version, Chunks: t.s.f.c.Holder.Bitmap(t.s.version),
		HasOriginFailed: t.s.hasOriginFailed(),
	}
	reply, err := messenger.Call[wire.Have](ctx, t.s.f.c.Client, t.to.Address, MethodHave, have)
	if err != nil {
		t.s.mu.Lock()
		t.s.selector.Forget(t.to.Name)
		t.s.mu.Unlock()
		return
	}
	t.s.hear(reply)
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
	patience := d.s.f.c.Stall
	if d.fetch.IsWait {
		patience += d.s.f.c.Wait
	}
	stall := time.AfterFunc(patience, cancel)
	defer stall.Stop()
	body, err := d.open(ctx, chunk)
	if err != nil {
		return err
	}
	defer func() { _ = body.Close() }()
	reader := &progressReader{Reader: io.LimitReader(body, chunk.Size+1), stall: stall, patience: d.s.f.c.Stall}
	data, err := io.ReadAll(reader)
	if d.fetch.From == selector.Origin {
		d.s.f.drawn.Add(int64(len(data)))
	}
	if err != nil {
		return errors.Wrap(err, "download.get")
	}
	return d.s.f.c.Holder.Put(chunk, data)
}

// open asks the source for the chunk.
func (d *download) open(ctx context.Context, chunk foxtailwharf.Chunk) (io.ReadCloser, error) {
	if d.fetch.From == selector.Origin {
		return d.s.f.c.Origin.Chunk(ctx, chunk.Digest)
	}
	d.s.mu.Lock()
	from, isMember := d.s.members[d.fetch.From]
	d.s.mu.Unlock()
	if !isMember {
		return nil, sourcer.ErrMissing
	}
	source := sourcer.New(d.s.f.c.HTTP, from.Address)
	if d.fetch.IsWait {
		return source.AwaitChunk(ctx, chunk.Digest, d.s.f.c.Wait)
	}
	return source.Chunk(ctx, chunk.Digest)
}

// progressReader puts off the end of a download with each byte that arrives.
type progressReader struct {
	io.Reader
	stall    *time.Timer
	patience time.Duration
}

// Read reads from the source.
func (r *progressReader) Read(p []byte) (int, error) {
	n, err := r.Reader.Read(p)
	if n > 0 {
		r.stall.Reset(r.patience)
	}
	return n, err
}
