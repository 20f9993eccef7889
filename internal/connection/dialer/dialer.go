// Package dialer opens TCP connections and listeners, under mutual TLS where the
// settings name certificates.
package dialer

import (
	"context"
	"crypto/tls"
	"crypto/x509"
	"net"
	"net/http"
	"net/netip"
	"os"
	"time"

	"github.com/pkg/errors"

	"github.com/foxtailwharf/foxtailwharf"
)

// Times and limits of connections.
const (
	connectTimeout  = 500 * time.Millisecond
	keepAliveTime   = 5 * time.Second
	idleTimeout     = 30 * time.Second
	maxIdlePerPeer  = 256
	readHeaderLimit = 5 * time.Second
	maxHeaderBytes  = 64 << 10
)

// TCP is a foxtailwharf.Network over TCP.
type TCP struct {
	server *tls.Config // nil for plain TCP
	client *tls.Config
}

// New reads the certificates and returns the network. Where an authority is
// named both sides must show a certificate signed by it.
func New(t foxtailwharf.TLS) (n *TCP, err error) {
	if !t.IsSet() {
		return &TCP{}, nil
	}
	var certificate tls.Certificate
	if certificate, err = tls.LoadX509KeyPair(t.Certificate, t.Key); err != nil {
		return nil, errors.Wrap(err, "dialer.New")
	}
	server := &tls.Config{MinVersion: tls.VersionTLS13, Certificates: []tls.Certificate{certificate}}
	client := server.Clone()
	if t.Authority == "" {
		return &TCP{server: server, client: client}, nil
	}
	var text []byte
	if text, err = os.ReadFile(t.Authority); err != nil {
		return nil, errors.Wrap(err, "dialer.New")
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(text) {
		return nil, errors.Errorf("dialer.New: no certificate in %s", t.Authority)
	}
	server.ClientAuth = tls.RequireAndVerifyClientCert
	server.ClientCAs = pool
	client.RootCAs = pool
	return &TCP{server: server, client: client}, nil
}

// Listen opens a listener.
func (n *TCP) Listen(ctx context.Context, address netip.AddrPort) (net.Listener, error) {
	config := net.ListenConfig{KeepAlive: keepAliveTime}
	listener, err := config.Listen(ctx, "tcp", address.String())
	if err != nil {
		return nil, errors.Wrap(err, "TCP.Listen")
	}
	if n.server != nil {
		listener = tls.NewListener(listener, n.server)
	}
	return listener, nil
}

// Dial opens a connection.
func (n *TCP) Dial(ctx context.Context, address netip.AddrPort) (net.Conn, error) {
	d := net.Dialer{Timeout: connectTimeout, KeepAlive: keepAliveTime}
	if n.client == nil {
		return d.DialContext(ctx, "tcp", address.String())
	}
	config := n.client.Clone()
	config.ServerName = address.Addr().String()
	secure := tls.Dialer{NetDialer: &d, Config: config}
	return secure.DialContext(ctx, "tcp", address.String())
}

// Transport returns an HTTP transport over a network. With isOnce each request
// has a connection of its own, so that the transport cannot send it again when a
// reused connection breaks.
func Transport(network foxtailwharf.Network, isOnce bool) *http.Transport {
	return &http.Transport{
		DialContext: func(ctx context.Context, _, text string) (net.Conn, error) {
			address, err := netip.ParseAddrPort(text)
			if err != nil {
				return nil, errors.Wrap(err, "dialer.Transport")
			}
			return network.Dial(ctx, address)
		},
		DisableKeepAlives:   isOnce,
		DisableCompression:  true,
		MaxIdleConnsPerHost: maxIdlePerPeer,
		IdleConnTimeout:     idleTimeout,
	}
}

// Server returns an HTTP server whose header sizes and times are bounded.
func Server(handler http.Handler) *http.Server {
	return &http.Server{
		Handler:           handler,
		ReadHeaderTimeout: readHeaderLimit,
		IdleTimeout:       2 * idleTimeout,
		MaxHeaderBytes:    maxHeaderBytes,
	}
}
