// Package sourcer reads manifests and chunks over HTTP, from the origin or from
// another agent: both offer the same two paths.
package sourcer

import (
	"context"
	"io"
	"net/http"
	"net/netip"
	"strconv"
	"time"

	"github.com/pkg/errors"

	"github.com/foxtailwharf/foxtailwharf"
	"github.com/foxtailwharf/foxtailwharf/internal/connection/dialer"
)

// Paths of manifests and chunks, followed by a digest.
const (
	PathManifests = "/manifests/"
	PathChunks    = "/chunks/"

	maxManifestBytes = 16 << 20
)

// ErrBusy means that the source has all its uploads in use; try another.
var ErrBusy = errors.New("source busy")

// ErrMissing means that the source does not have what was asked for.
var ErrMissing = errors.New("source does not have it")

// Source is a foxtailwharf.Origin at one address.
type Source struct {
	client  *http.Client
	address netip.AddrPort
}

// Client returns the HTTP client that sources share.
func Client(network foxtailwharf.Network) *http.Client {
	return &http.Client{Transport: dialer.Transport(network, false)}
}

// New returns the source at an address.
func New(client *http.Client, address netip.AddrPort) Source {
	return Source{client: client, address: address}
}

// Manifest reads the bytes of a manifest, which the reader has to verify.
func (s Source) Manifest(ctx context.Context, digest string) (data []byte, err error) {
	var body io.ReadCloser
	if body, err = s.get(ctx, PathManifests+digest, 0); err != nil {
		return nil, err
	}
	defer func() { _ = body.Close() }()
	if data, err = io.ReadAll(io.LimitReader(body, maxManifestBytes)); err != nil {
		return nil, errors.Wrap(err, "Source.Manifest")
	}
	return data, nil
}

// Chunk opens a chunk, which the reader has to verify.
func (s Source) Chunk(ctx context.Context, digest string) (io.ReadCloser, error) {
	return s.get(ctx, PathChunks+digest, 0)
}

// AwaitChunk opens a chunk that the source may not have yet, and asks it to wait.
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
