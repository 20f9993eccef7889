// Package downloader is an HTTP client for manifests and chunks. It reads from the origin or from
// another agent, since both serve the same two paths.
package downloader

import (
	"context"
	"io"
	"net/http"
	"net/netip"
	"strconv"
	"time"

	"github.com/pkg/errors"

	"github.com/foxtailwharf/foxtailwharf"
	"github.com/foxtailwharf/foxtailwharf/internal/connection/bodyreader"
	"github.com/foxtailwharf/foxtailwharf/internal/connection/dialer"
)

// Path prefixes of manifests and chunks, followed by a digest.
const (
	PathManifests = "/manifests/"
	PathChunks    = "/chunks/"

	maxManifestBytes = 16 << 20
)

// ErrBusy means that all upload slots of the source are in use; the caller should try another
// source.
var ErrBusy = errors.New("source is busy")

// ErrMissing means that the source does not have the requested manifest or chunk.
var ErrMissing = errors.New("source does not have the requested manifest or chunk")

// Source is the client of one address. It implements foxtailwharf.Origin.
type Source struct {
	client  *http.Client
	address netip.AddrPort
}

// Client returns an HTTP client for New; all sources can share it.
func Client(network foxtailwharf.Network) *http.Client {
	return &http.Client{Transport: dialer.Transport(network, false)}
}

// New returns a source that sends its requests to address.
func New(client *http.Client, address netip.AddrPort) Source {
	return Source{client: client, address: address}
}

// Manifest reads an encoded manifest. The caller has to verify its digest.
func (s Source) Manifest(ctx context.Context, digest string) (data []byte, err error) {
	var body io.ReadCloser
	if body, err = s.get(ctx, PathManifests+digest, 0); err != nil {
		return nil, err
	}
	defer func() { _ = body.Close() }()
	if data, err = bodyreader.ReadAll(body, maxManifestBytes); err != nil {
		return nil, errors.Wrap(err, "Source.Manifest")
	}
	return data, nil
}

// Chunk requests a chunk. The caller has to close the body and verify its digest.
func (s Source) Chunk(ctx context.Context, digest string) (io.ReadCloser, error) {
	return s.get(ctx, PathChunks+digest, 0)
}

// AwaitChunk is like Chunk for a chunk that the source may not have yet. It asks the source to hold
// the request for up to wait, in whole seconds, until it has the chunk.
func (s Source) AwaitChunk(ctx context.Context, digest string, wait time.Duration) (io.ReadCloser, error) {
	return s.get(ctx, PathChunks+digest, wait)
}

func (s Source) get(ctx context.Context, path string, wait time.Duration) (io.ReadCloser, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+s.address.String()+path, nil)
	if err != nil {
		return nil, errors.Wrap(err, "Source.get")
	}
	if wait > 0 {
		request.Header.Set("Prefer", "wait="+strconv.Itoa(int(wait.Seconds())))
	}
	response, err := s.client.Do(request)
	if err != nil {
		return nil, errors.Wrap(err, "Source.get")
	}
	switch response.StatusCode {
	case http.StatusOK:
		return response.Body, nil
	case http.StatusNotFound:
		err = ErrMissing
	case http.StatusServiceUnavailable:
		err = ErrBusy
	default:
		err = errors.Errorf("Source.get: status %d from %s", response.StatusCode, s.address)
	}
	_ = response.Body.Close()
	return nil, err
}
