// Package storer is the HTTP client of the platform: its object API and its list of instances.
package storer

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"
	"net/netip"
	"net/url"
	"strconv"
	"time"

	"github.com/pkg/errors"

	"github.com/foxtailwharf/foxtailwharf"
	"github.com/foxtailwharf/foxtailwharf/internal/connection/bodyreader"
	"github.com/foxtailwharf/foxtailwharf/internal/connection/dialer"
)

// Paths and limits of the platform's API.
const (
	PathObjects   = "/objects/"
	PathInstances = "/instances"

	// maxResponseBytes bounds the size of one response.
	maxResponseBytes = 16 << 20
	// maxWatchTime is the longest time that the store holds a watch without changes.
	maxWatchTime = 30 * time.Second
)

// Changes is the store's response to a watch.
type Changes struct {
	Objects []foxtailwharf.Object
	Version uint64
}

// ListedInstance is one element of the platform's list of instances.
type ListedInstance struct {
	Name          string
	Role          string
	Address       string
	FailureDomain string
	Region        string
	Service       string
	IsLeaving     bool
}

// Config holds the settings and dependencies of a Platform.
type Config struct {
	Network foxtailwharf.Network
	Address netip.AddrPort
	Timeout time.Duration // of each call; for a watch it is added to the time that the store may hold it
}

// Platform implements foxtailwharf.ObjectStore and foxtailwharf.InstanceLister.
type Platform struct {
	c      Config
	client *http.Client
}

// New returns a client that connects on first use.
func New(c Config) *Platform {
	return &Platform{c: c, client: &http.Client{Transport: dialer.Transport(c.Network, false)}}
}

func (p *Platform) url(kind, name string) string {
	path := "http://" + p.c.Address.String() + PathObjects + url.PathEscape(kind)
	if name == "" {
		return path
	}
	return path + "/" + url.PathEscape(name)
}

// Get reads an object. It fails with ErrNotFound if there is none.
func (p *Platform) Get(ctx context.Context, kind, name string) (o foxtailwharf.Object, err error) {
	ctx, cancel := context.WithTimeout(ctx, p.c.Timeout)
	defer cancel()
	return o, p.call(ctx, http.MethodGet, p.url(kind, name), nil, nil, &o)
}

// Create writes a new object. It fails with ErrConflict if the object exists.
func (p *Platform) Create(ctx context.Context, o foxtailwharf.Object) (foxtailwharf.Object, error) {
	return p.write(ctx, o, http.Header{"If-None-Match": {"*"}})
}

// Update replaces an object. It fails with ErrConflict unless the stored version is the object's.
func (p *Platform) Update(ctx context.Context, o foxtailwharf.Object) (foxtailwharf.Object, error) {
	return p.write(ctx, o, http.Header{"If-Match": {strconv.FormatUint(o.Version, 10)}})
}

func (p *Platform) write(ctx context.Context, o foxtailwharf.Object, header http.Header) (written foxtailwharf.Object, err error) {
	ctx, cancel := context.WithTimeout(ctx, p.c.Timeout)
	defer cancel()
	return written, p.call(ctx, http.MethodPut, p.url(o.Kind, o.Name), header, o.Value, &written)
}

// Changes waits for objects of a kind that were written after a version, and returns them with the
// version up to which they are complete.
func (p *Platform) Changes(ctx context.Context, kind string, after uint64) ([]foxtailwharf.Object, uint64, error) {
	ctx, cancel := context.WithTimeout(ctx, maxWatchTime+p.c.Timeout)
	defer cancel()
	var changes Changes
	if err := p.call(ctx, http.MethodGet, p.url(kind, "")+"?after="+strconv.FormatUint(after, 10), nil, nil, &changes); err != nil {
		return nil, after, err
	}
	return changes.Objects, changes.Version, nil
}

// Instances reads the platform's list of instances. Elements without a valid address are skipped.
func (p *Platform) Instances(ctx context.Context) (instances []foxtailwharf.Instance, err error) {
	ctx, cancel := context.WithTimeout(ctx, p.c.Timeout)
	defer cancel()
	var rows []ListedInstance
	if err = p.call(ctx, http.MethodGet, "http://"+p.c.Address.String()+PathInstances, nil, nil, &rows); err != nil {
		return nil, err
	}
	for _, row := range rows {
		address, err := netip.ParseAddrPort(row.Address)
		if err != nil {
			continue
		}
		instances = append(instances, foxtailwharf.Instance{
			Name:          row.Name,
			Role:          foxtailwharf.Role(row.Role),
			Address:       address,
			FailureDomain: row.FailureDomain,
			Region:        row.Region,
			Service:       row.Service,
			IsLeaving:     row.IsLeaving,
		})
	}
	return instances, nil
}

// call sends a request and decodes the JSON response. If the request may or may not have taken
// effect, the error is foxtailwharf.ErrUnavailable.
func (p *Platform) call(ctx context.Context, method, target string, header http.Header, body []byte, result any) error {
	request, err := http.NewRequestWithContext(ctx, method, target, bytes.NewReader(body))
	if err != nil {
		return errors.Wrap(err, "Platform.call")
	}
	for name, values := range header {
		request.Header[name] = values
	}
	response, err := p.client.Do(request)
	if err != nil {
		return errors.Wrap(foxtailwharf.ErrUnavailable, err.Error())
	}
	defer func() { _ = response.Body.Close() }()
	data, err := bodyreader.ReadAll(response.Body, maxResponseBytes)
	if err != nil {
		return errors.Wrap(foxtailwharf.ErrUnavailable, err.Error())
	}
	switch {
	case response.StatusCode == http.StatusNotFound:
		return foxtailwharf.ErrNotFound
	case response.StatusCode == http.StatusPreconditionFailed:
		return foxtailwharf.ErrConflict
	case response.StatusCode/100 != 2:
		return errors.Wrapf(foxtailwharf.ErrUnavailable, "status %d", response.StatusCode)
	}
	if err := json.Unmarshal(data, result); err != nil {
		return errors.Wrap(foxtailwharf.ErrUnavailable, err.Error())
	}
	return nil
}

// Close closes idle connections. It does not end calls in progress.
func (p *Platform) Close() {
	p.client.CloseIdleConnections()
}
