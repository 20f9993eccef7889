package dialer_test

import (
	"crypto/tls"
	"net"
	"net/netip"
	"syscall"
	"testing"

	"github.com/foxtailwharf/foxtailwharf"
	"github.com/foxtailwharf/foxtailwharf/internal/connection/dialer"
)

// TestKeepAlive guards against connections that learn late that the peer's machine has lost its power and is back: the first
// probe must come after a second, and so must each further one; and against the end of ones that are cut off for a minute.
func TestKeepAlive(t *testing.T) {
	ours := newAuthority(t, "ours")
	plain, err := dialer.New(foxtailwharf.TLS{})
	if err != nil {
		t.Fatal(err)
	}
	for name, network := range map[string]foxtailwharf.Network{"plain": plain, "TLS": ours.network(ours)} {
		listener, err := network.Listen(t.Context(), netip.MustParseAddrPort("127.0.0.1:0"))
		if err != nil {
			t.Fatal(err)
		}
		served := make(chan bool, 1)
		go serveOne(listener, served)
		conn, err := network.Dial(t.Context(), netip.MustParseAddrPort(listener.Addr().String()))
		if err != nil {
			t.Fatal(err)
		}
		isOn, idle, interval, count := probes(t, conn)
		if isOn == 0 || idle != 1 || interval != 1 || count < 60 {
			t.Errorf("%s: have probes %d: after %d s, then each %d s, %d of them; want them after a second, each second, for a minute or more", name, isOn, idle, interval, count)
		}
		_ = conn.Close()
		<-served
		_ = listener.Close()
	}
}

// probes returns the settings of a connection's keep-alive probes, as the network stack has them.
func probes(t *testing.T, conn net.Conn) (isOn, idle, interval, count int) {
	t.Helper()
	if encrypted, isTLS := conn.(*tls.Conn); isTLS {
		conn = encrypted.NetConn()
	}
	raw, err := conn.(*net.TCPConn).SyscallConn()
	if err != nil {
		t.Fatal(err)
	}
	read := func(level, option int) (value int) {
		if controlErr := raw.Control(func(fd uintptr) { value, err = syscall.GetsockoptInt(int(fd), level, option) }); controlErr != nil || err != nil {
			t.Fatal(controlErr, err)
		}
		return value
	}
	return read(syscall.SOL_SOCKET, syscall.SO_KEEPALIVE), read(syscall.IPPROTO_TCP, syscall.TCP_KEEPIDLE),
		read(syscall.IPPROTO_TCP, syscall.TCP_KEEPINTVL), read(syscall.IPPROTO_TCP, syscall.TCP_KEEPCNT)
}
