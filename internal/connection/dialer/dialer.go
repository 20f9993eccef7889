// Package dialer opens TCP connections and listeners, with TLS or mutual TLS if the settings name
// certificates. It also builds HTTP transports and servers on them.
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

const (
	connectTimeout = 500 * time.Millisecond
	// keepAliveInterval is the time without data after which a connection that was accepted is probed.
	keepAliveInterval = 5 * time.Second
	// probeInterval is the time without data after which a connection that was opened is probed, and the time between
	// two probes. It is in whole seconds.
	probeInterval = time.Second
	// maxUnansweredProbes is the number of probes in a row without an answer that end a connection.
	maxUnansweredProbes = 120
	idleTimeout         = 30 * time.Second
	maxIdlePerPeer      = 256
	readHeaderTimeout   = 5 * time.Second
	maxHeaderBytes      = 64 << 10
)

// TCP implements foxtailwharf.Network. The zero value uses plain TCP.
type TCP struct {
	server *tls.Config // nil for plain TCP
	client *tls.Config
}

// New reads the certificates and returns the network. If an authority is set, both sides must
// present a certificate signed by it. Without one, servers ask for no client certificate and
// clients trust the authorities of the system.
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
	var pem []byte
	if pem, err = os.ReadFile(t.Authority); err != nil {
		return nil, errors.Wrap(err, "dialer.New")
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(pem) {
		return nil, errors.Errorf("dialer.New: no certificate in %s", t.Authority)
	}
	server.ClientAuth = tls.RequireAndVerifyClientCert
	server.ClientCAs = pool
	client.RootCAs = pool
	return &TCP{server: server, client: client}, nil
}

// Listen opens a listener. The TLS handshake takes place on the first read or write of an accepted
// connection.
func (n *TCP) Listen(ctx context.Context, address netip.AddrPort) (net.Listener, error) {
	config := net.ListenConfig{KeepAlive: keepAliveInterval}
	listener, err := config.Listen(ctx, "tcp", address.String())
	if err != nil {
		return nil, errors.Wrap(err, "TCP.Listen")
	}
	if n.server != nil {
		listener = tls.NewListener(listener, n.server)
	}
	return listener, nil
}

// KeepAlive returns the keep-alive probes of the connections that Dial opens. They tell the end of a peer that could not
// close them, as it lost its power: once its machine is back, or another one has its address, that resets what it does not
// know. The network stack of a peer that is only silent answers them, and one that is cut off may leave most of them
// unanswered.
func KeepAlive() net.KeepAliveConfig {
	return net.KeepAliveConfig{Enable: true, Idle: probeInterval, Interval: probeInterval, Count: maxUnansweredProbes}
}

// Dial opens a connection and completes the TLS handshake. The certificate of the server must be
// valid for the IP address.
func (n *TCP) Dial(ctx context.Context, address netip.AddrPort) (net.Conn, error) {
	d := net.Dialer{Timeout: connectTimeout, KeepAliveConfig: KeepAlive()}
	if n.client == nil {
		return d.DialContext(ctx, "tcp", address.String())
	}
	config := n.client.Clone()
	config.ServerName = address.Addr().String()
	tlsDialer := tls.Dialer{NetDialer: &d, Config: config}
	return tlsDialer.DialContext(ctx, "tcp", address.String())
}

// Transport returns an HTTP transport over a network. URLs must have an IP address and a port. If
// isOnce is set, each request uses a new connection, as the transport may send a request again if a
// reused connection fails.
func Transport(network foxtailwharf.Network, isOnce bool) *http.Transport {
	return &http.Transport{
		DialContext: func(ctx context.Context, _, hostPort string) (net.Conn, error) {
			address, err := netip.ParseAddrPort(hostPort)
			if err != nil {
				return nil, errors.Wrap(err, "dialer.Transport")
			}
			return network.Dial(ctx, address)
		},
		DisableKeepAlives:      isOnce,
		DisableCompression:     true,
		MaxIdleConnsPerHost:    maxIdlePerPeer,
		IdleConnTimeout:        idleTimeout,
		MaxResponseHeaderBytes: maxHeaderBytes,
	}
}

// Server returns an HTTP server with limits on header size, on the time to send the header and on
// idle connections.
func Server(handler http.Handler) *http.Server {
	return &http.Server{
		Handler:           handler,
		ReadHeaderTimeout: readHeaderTimeout,
		IdleTimeout:       2 * idleTimeout,
		MaxHeaderBytes:    maxHeaderBytes,
	}
}
