// Package driver speaks to an upstream: a model engine or a plain service over
// HTTP.
package driver

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptrace"
	"net/netip"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"github.com/foxtailwharf/foxtailwharf"
	"github.com/foxtailwharf/foxtailwharf/internal/connection/dialer"
)

// The engine's protocol.
const (
	HeaderVersion = "Model-Version"
	HeaderFence   = "Fence"
	HeaderRole    = "Model-Role"
	PathVersions  = "/admin/versions/"
	PathActive    = "/admin/active/"
	PathReport    = "/admin/report"

	reportTimeout   = time.Second
	activateTimeout = 30 * time.Second
	maxReportBytes  = 64 << 10
)

// Config holds the settings of a Driver.
type Config struct {
	Network  foxtailwharf.Network
	Upstream netip.AddrPort
}

// Driver is a foxtailwharf.Engine over HTTP.
type Driver struct {
	c          Config
	repeatable *http.Client
	once       *http.Client
}

// New returns a driver of one upstream.
func New(c Config) *Driver {
	return &Driver{
		c:          c,
		repeatable: &http.Client{Transport: dialer.Transport(c.Network, false), CheckRedirect: keepRedirect},
		once:       &http.Client{Transport: dialer.Transport(c.Network, true), CheckRedirect: keepRedirect},
	}
}

// keepRedirect hands a redirect on to the caller instead of following it.
func keepRedirect(*http.Request, []*http.Request) error {
	return http.ErrUseLastResponse
}

func (d *Driver) url(path string) string {
	return "http://" + d.c.Upstream.String() + path
}

// Stage uploads whole weights.
func (d *Driver) Stage(ctx context.Context, version string, size int64, weights io.Reader) error {
	request, err := http.NewRequestWithContext(ctx, http.MethodPut, d.url(PathVersions+version), weights)
	if err != nil {
		return errors.Wrap(err, "Driver.Stage")
	}
	request.ContentLength = size
	return d.order("Driver.Stage", request)
}

// Activate makes the engine serve a staged version.
func (d *Driver) Activate(ctx context.Context, fence uint64, version, role string) error {
	ctx, cancel := context.WithTimeout(ctx, activateTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodPut, d.url(PathActive+version), nil)
	if err != nil {
		return errors.Wrap(err, "Driver.Activate")
	}
	request.Header.Set(HeaderFence, strconv.FormatUint(fence, 10))
	request.Header.Set(HeaderRole, role)
	return d.order("Driver.Activate", request)
}

// order sends an order to the engine; orders are idempotent.
func (d *Driver) order(name string, request *http.Request) error {
	response, err := d.repeatable.Do(request)
	if err != nil {
		return errors.Wrap(err, name)
	}
	defer func() { _ = response.Body.Close() }()
	text, _ := io.ReadAll(io.LimitReader(response.Body, maxReportBytes))
	if response.StatusCode/100 != 2 {
		return errors.Errorf("%s: the engine refused with status %d: %s", name, response.StatusCode, bytes.TrimSpace(text))
	}
	return nil
}

// Report asks the engine what it serves.
func (d *Driver) Report(ctx context.Context) (report foxtailwharf.EngineReport, err error) {
	ctx, cancel := context.WithTimeout(ctx, reportTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, d.url(PathReport), nil)
	if err != nil {
		return report, errors.Wrap(err, "Driver.Report")
	}
	response, err := d.repeatable.Do(request)
	if err != nil {
		return report, errors.Wrap(err, "Driver.Report")
	}
	defer func() { _ = response.Body.Close() }()
	if err = json.NewDecoder(io.LimitReader(response.Body, maxReportBytes)).Decode(&report); err != nil {
		return report, errors.Wrap(err, "Driver.Report")
	}
	return report, nil
}

// Do sends a call. Its error is always a *foxtailwharf.EngineError.
func (d *Driver) Do(ctx context.Context, call foxtailwharf.EngineCall) (answer foxtailwharf.EngineAnswer, err error) {
	var isConnected atomic.Bool
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { isConnected.Store(true) }}
	request, err := d.request(httptrace.WithClientTrace(ctx, trace), call)
	if err != nil {
		return answer, &foxtailwharf.EngineError{IsNotRun: true, Err: err}
	}
	client := d.repeatable
	if call.IsOnce {
		client = d.once
	}
	response, err := client.Do(request) //nolint:bodyclose // The body goes on with the answer, and its reader closes it.
	if err != nil {
		return answer, &foxtailwharf.EngineError{IsNotRun: !isConnected.Load(), IsDead: isDeath(ctx, err), Err: err}
	}
	return foxtailwharf.EngineAnswer{
		Status:      response.StatusCode,
		ContentType: response.Header.Get("Content-Type"),
		Version:     response.Header.Get(HeaderVersion),
		Body:        &body{ReadCloser: response.Body, ctx: ctx},
	}, nil
}

// request builds the HTTP request. Its body has no GetBody, so that net/http has
// nothing to send again.
func (d *Driver) request(ctx context.Context, call foxtailwharf.EngineCall) (*http.Request, error) {
	request, err := http.NewRequestWithContext(ctx, call.Method, d.url(call.Path), io.NopCloser(bytes.NewReader(call.Body)))
	if err != nil {
		return nil, errors.Wrap(err, "Driver.request")
	}
	request.ContentLength = int64(len(call.Body))
	if len(call.Body) == 0 {
		request.Body = http.NoBody
	}
	setHeader(request, "Content-Type", call.ContentType)
	setHeader(request, "Accept", call.Accept)
	setHeader(request, "Last-Event-ID", call.ResumeAfter)
	setHeader(request, "Idempotency-Key", call.CallerKey)
	return request, nil
}

func setHeader(request *http.Request, name, value string) {
	if value != "" {
		request.Header.Set(name, value)
	}
}

// isDeath reports whether an error looks like the upstream's end rather than a
// timeout or the caller's own cancellation.
func isDeath(ctx context.Context, err error) bool {
	var timeout interface{ Timeout() bool }
	isTimeout := errors.As(err, &timeout) && timeout.Timeout()
	return ctx.Err() == nil && !isTimeout
}

// body turns read errors into EngineErrors.
type body struct {
	io.ReadCloser
	ctx context.Context
}

// Read reads the answer's body.
func (b *body) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if err != nil && !errors.Is(err, io.EOF) {
		return n, &foxtailwharf.EngineError{IsDead: isDeath(b.ctx, err), Err: err}
	}
	return n, err
}

// Close closes idle connections to the upstream.
func (d *Driver) Close() {
	d.repeatable.CloseIdleConnections()
	d.once.CloseIdleConnections()
}
