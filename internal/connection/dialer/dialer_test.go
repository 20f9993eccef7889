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
	"net/netip"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/foxtailwharf/foxtailwharf"
	"github.com/foxtailwharf/foxtailwharf/internal/connection/dialer"
)

// authority signs certificates for 127.0.0.1.
type authority struct {
	t           *testing.T
	folder      string
	key         *ecdsa.PrivateKey
	certificate *x509.Certificate
}

func newAuthority(t *testing.T, name string) *authority {
	t.Helper()
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		t.Fatal(err)
	}
	a := &authority{t: t, folder: t.TempDir(), key: key}
	a.certificate = &x509.Certificate{
		SerialNumber: big.NewInt(1), Subject: pkix.Name{CommonName: name}, NotAfter: time.Now().Add(time.Hour),
		IsCA: true, BasicConstraintsValid: true, KeyUsage: x509.KeyUsageCertSign,
	}
	a.write("ca", a.certificate, key)
	return a
}

// write signs a certificate and writes it and its key.
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
		if err := os.WriteFile(filepath.Join(a.folder, file), pem.EncodeToMemory(block), 0o600); err != nil {
			a.t.Fatal(err)
		}
	}
}

// network returns the network of a process with a certificate of this authority, which
// believes the given one.
func (a *authority) network(believed *authority) *dialer.TCP {
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
		Certificate: filepath.Join(a.folder, "process.pem"),
		Key:         filepath.Join(a.folder, "process.key"),
		Authority:   filepath.Join(believed.folder, "ca.pem"),
	})
	if err != nil {
		a.t.Fatal(err)
	}
	return n
}

// TestMutualTLS lets only processes with a certificate of the same authority talk.
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
		{"a process of ours", ours.network(ours), true},
		{"a stranger that believes us", theirs.network(ours), false},
		{"a process that does not believe us", ours.network(theirs), false},
		{"no certificate at all", plain, false},
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
				_, _ = io.WriteString(conn, "hello") // the other end says whether it came
				_ = conn.Close()
			}
			if got := <-served; got != tt.want {
				t.Errorf("the message came through: %t, want %t", got, tt.want)
			}
			_ = listener.Close()
		})
	}
}

// serveOne reports whether one connection brought the message.
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

func TestNewFaults(t *testing.T) {
	if _, err := dialer.New(foxtailwharf.TLS{Certificate: "missing.pem", Key: "missing.key"}); err == nil {
		t.Error("missing files are no error")
	}
}
