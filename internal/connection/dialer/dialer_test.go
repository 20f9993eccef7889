package dialer_test

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"io"
	"math/big"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/foxtailwharf/foxtailwharf"
	"github.com/foxtailwharf/foxtailwharf/internal/connection/dialer"
)

// authority is a certificate authority for processes on 127.0.0.1.
type authority struct {
	t           *testing.T
	directory   string
	key         *ecdsa.PrivateKey
	certificate *x509.Certificate
}

func newAuthority(t *testing.T, name string) *authority {
	t.Helper()
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		t.Fatal(err)
	}
	a := &authority{t: t, directory: t.TempDir(), key: key}
	a.certificate = &x509.Certificate{
		SerialNumber: big.NewInt(1), Subject: pkix.Name{CommonName: name}, NotAfter: time.Now().Add(time.Hour),
		IsCA: true, BasicConstraintsValid: true, KeyUsage: x509.KeyUsageCertSign,
	}
	a.write("ca", a.certificate, key)
	return a
}

// write signs a certificate and writes it and its key to files.
func (a *authority) write(name string, certificate *x509.Certificate, key *ecdsa.PrivateKey) {
	a.t.Helper()
	der, err := x509.CreateCertificate(rand.Reader, certificate, a.certificate, &key.PublicKey, a.key)
	if err != nil {
		a.t.Fatal(err)
	}
	private, err := x509.MarshalECPrivateKey(key)
	if err != nil {
		a.t.Fatal(err)
	}
	for file, block := range map[string]*pem.Block{name + ".pem": {Type: "CERTIFICATE", Bytes: der}, name + ".key": {Type: "EC PRIVATE KEY", Bytes: private}} {
		if err := os.WriteFile(filepath.Join(a.directory, file), pem.EncodeToMemory(block), 0o600); err != nil {
			a.t.Fatal(err)
		}
	}
}

// network returns the network of a process with a certificate of this authority that trusts
// certificates of the given one.
func (a *authority) network(trusted *authority) *dialer.TCP {
	a.t.Helper()
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		a.t.Fatal(err)
	}
	a.write("process", &x509.Certificate{
		SerialNumber: big.NewInt(2), NotAfter: time.Now().Add(time.Hour), IPAddresses: []net.IP{net.IPv4(127, 0, 0, 1)},
		ExtKeyUsage: []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth},
	}, key)
	n, err := dialer.New(foxtailwharf.TLS{
		Certificate: filepath.Join(a.directory, "process.pem"),
		Key:         filepath.Join(a.directory, "process.key"),
		Authority:   filepath.Join(trusted.directory, "ca.pem"),
	})
	if err != nil {
		a.t.Fatal(err)
	}
	return n
}

// TestMutualTLS checks that a message arrives only if both sides have a certificate of the authority
// that the other side trusts.
func TestMutualTLS(t *testing.T) {
	ours, theirs := newAuthority(t, "ours"), newAuthority(t, "theirs")
	plain, err := dialer.New(foxtailwharf.TLS{})
	if err != nil {
		t.Fatal(err)
	}
	tests := []struct {
		name   string
		client foxtailwharf.Network
		want   bool
	}{
		{"same authority", ours.network(ours), true},
		{"client certificate of another authority", theirs.network(ours), false},
		{"client that trusts another authority", ours.network(theirs), false},
		{"client without TLS", plain, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			listener, err := ours.network(ours).Listen(t.Context(), netip.MustParseAddrPort("127.0.0.1:0"))
			if err != nil {
				t.Fatal(err)
			}
			served := make(chan bool, 1)
			go serveOne(listener, served)
			if conn, err := tt.client.Dial(t.Context(), netip.MustParseAddrPort(listener.Addr().String())); err == nil {
				_, _ = io.WriteString(conn, "hello") // serveOne reports whether it arrived
				_ = conn.Close()
			}
			if got := <-served; got != tt.want {
				t.Errorf("message arrived: %t, want %t", got, tt.want)
			}
			_ = listener.Close()
		})
	}
}

// serveOne accepts one connection and reports whether the message arrived on it.
func serveOne(listener net.Listener, served chan<- bool) {
	conn, err := listener.Accept()
	if err != nil {
		served <- false
		return
	}
	text, err := io.ReadAll(conn)
	_ = conn.Close()
	served <- err == nil && string(text) == "hello"
}

func TestNewErrors(t *testing.T) {
	if _, err := dialer.New(foxtailwharf.TLS{Certificate: "missing.pem", Key: "missing.key"}); err == nil {
		t.Error("New succeeded with missing files")
	}
}

// TestLongHead checks that a response whose head does not end within a bound is an error.
func TestLongHead(t *testing.T) {
	const headBytes = 1 << 20
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("X-Long", strings.Repeat("x", headBytes))
	}))
	defer server.Close()
	request, err := http.NewRequestWithContext(t.Context(), http.MethodGet, server.URL, nil)
	if err != nil {
		t.Fatal(err)
	}
	response, err := dialer.Transport(&dialer.TCP{}, true).RoundTrip(request)
	if err == nil {
		_ = response.Body.Close()
		t.Errorf("a head of %d bytes was accepted", headBytes)
	}
}
