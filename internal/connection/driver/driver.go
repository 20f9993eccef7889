// Package driver is the HTTP client of an agent for its upstream, which is a model engine or a plain
// service.
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

// Headers, paths and limits of the engine's API.
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

// Config holds the dependencies of a Driver.
type Config struct {
	Network  foxtailwharf.Network
	Upstream netip.AddrPort
}

// Driver implements foxtailwharf.Engine over HTTP.
type Driver struct {
	c          Config
	repeatable *http.Client
	once       *http.Client // uses a new connection for each request
}

// New returns a driver for one upstream. It connects on the first request.
func New(c Config) *Driver {
	return &Driver{
		c:          c,
		repeatable: &http.Client{Transport: dialer.Transport(c.Network, false), CheckRedirect: returnRedirect},
		once:       &http.Client{Transport: dialer.Transport(c.Network, true), CheckRedirect: returnRedirect},
	}
}

// returnRedirect returns redirects to the caller instead of following them.
func returnRedirect(*http.Request, []*http.Request) error {
	return http.ErrUseLastResponse
}

func (d *Driver) url(path string) string {
	return "http://" + d.c.Upstream.String() + path
}

// Stage uploads the complete weights of a version. size is their number of bytes.
func (d *Driver) Stage(ctx context.Context, version string, size int64, weights io.Reader) error {
	request, err := http.NewRequestWithContext(ctx, http.MethodPut, d.url(PathVersions+version), weights)
	if err != nil {
		return errors.Wrap(err, "Driver.Stage")
	}
	request.ContentLength = size
	return d.sendOrder("Driver.Stage", request)
}

// Activate orders the engine to serve a staged version in a role, and waits for at most 30 s. The
// engine may refuse an order with an old fence.
func (d *Driver) Activate(ctx context.Context, fence uint64, version, role string) error {
	ctx, cancel := context.WithTimeout(ctx, activateTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodPut, d.url(PathActive+version), nil)
	if err != nil {
		return errors.Wrap(err, "Driver.Activate")
	}
	request.Header.Set(HeaderFence, strconv.FormatUint(fence, 10))
	request.Header.Set(HeaderRole, role)
	return d.sendOrder("Driver.Activate", request)
}

// sendOrder sends an order to the engine. Orders are idempotent, so the transport may repeat them.
// name is the prefix of errors.
func (d *Driver) sendOrder(name string, request *http.Request) error {
	response, err := d.repeatable.Do(request)
	if err != nil {
		return errors.Wrap(err, name)
	}
	defer func() { _ = response.Body.Close() }()
	text, _ := io.ReadAll(io.LimitReader(response.Body, maxReportBytes))
	if response.StatusCode/100 != 2 {
		return errors.Errorf("%s: engine refused the order with status %d: %s", name, response.StatusCode, bytes.TrimSpace(text))
	}
	return nil
}

// Report returns the state that the engine reports. It times out after 1 s.
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
	if response.StatusCode/100 != 2 {
		return report, errors.Errorf("Driver.Report: engine answered with status %d", response.StatusCode)
	}
	if err = json.NewDecoder(io.LimitReader(response.Body, maxReportBytes)).Decode(&report); err != nil {
		return foxtailwharf.EngineReport{}, errors.Wrap(err, "Driver.Report")
	}
	return report, nil
}

// Do sends a call and returns the response, whose body the caller must close. Its errors, and those
// of reading the body other than io.EOF, are of type *foxtailwharf.EngineError.
func (d *Driver) Do(ctx context.Context, call foxtailwharf.EngineCall) (answer foxtailwharf.EngineAnswer, err error) {
	var isConnected atomic.Bool
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { isConnected.Store(true) }}
	request, err := d.request(httptrace.WithClientTrace(ctx, trace), call)
	if err != nil {
		return answer, &foxtailwharf.EngineError{IsNotRun: true, Err: err}
	}
	client := d.repeatable
	if call.IsAtMostOnce {
		client = d.once
	}
	response, err := client.Do(request) //nolint:bodyclose // The body is returned, and the caller closes it.
	if err != nil {
		return answer, &foxtailwharf.EngineError{IsNotRun: !isConnected.Load(), IsDead: isDeath(ctx, err), Err: err}
	}
	return foxtailwharf.EngineAnswer{
		Status:      response.StatusCode,
		ContentType: response.Header.Get("Content-Type"),
		Version:     response.Header.Get(HeaderVersion),
		Body:        &responseBody{ReadCloser: response.Body, ctx: ctx},
	}, nil
}

// request builds the HTTP request. It does not set GetBody, so that net/http cannot send a body
// again.
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

// isDeath reports whether an error indicates that the upstream has died, rather than a timeout or a
// cancellation by the caller.
func isDeath(ctx context.Context, err error) bool {
	var timeout interface{ Timeout() bool }
	isTimeout := errors.As(err, &timeout) && timeout.Timeout()
	return ctx.Err() == nil && !isTimeout
}

// responseBody returns read errors as *foxtailwharf.EngineError.
type responseBody struct {
	io.ReadCloser
	ctx context.Context
}

// Read returns io.EOF only if the body is complete.
func (b *responseBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if err != nil && !errors.Is(err, io.EOF) {
		return n, &foxtailwharf.EngineError{IsDead: isDeath(b.ctx, err), Err: err}
	}
	return n, err
}

// Close closes idle connections to the upstream. It does not end calls in progress.
func (d *Driver) Close() {
	d.repeatable.CloseIdleConnections()
	d.once.CloseIdleConnections()
}
