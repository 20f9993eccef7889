package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"syscall"
	"testing"
	"time"
)

// fleetEntry is the process of an entry whose store does not answer.
type fleetEntry struct {
	command *exec.Cmd
	log     string // path
	ready   string // URL of the readiness check
}

// startFleetEntry starts an entry and waits until its readiness check gets an answer.
func startFleetEntry(t *testing.T) *fleetEntry {
	t.Helper()
	folder := t.TempDir()
	p := &fleetEntry{log: filepath.Join(folder, "log")}
	first, ready := freePort(t), freePort(t)
	settings := fmt.Sprintf("Name: one\nFailureDomain: d0\nRegion: d0\nAddress: 127.0.0.1\nPorts: [%d, %d]\nStore: 127.0.0.1:1\nRegions: {d0: d0}\n"+
		"Seeds: [\"127.0.0.1:%d\"]\nLinkMegabits: 1000\nDrain: 8s\nKeyLife: 5s\nSwitch: 8s\nRepeatExtra: 100\nCallers: 127.0.0.1:%d\nReady: 127.0.0.1:%d\n",
		first, first+9, first, freePort(t), ready)
	p.ready = fmt.Sprintf("http://127.0.0.1:%d/", ready)
	file := filepath.Join(folder, "settings.yaml")
	if err := os.WriteFile(file, []byte(settings), 0o600); err != nil {
		t.Fatal(err)
	}
	log, err := os.Create(p.log)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = log.Close() })
	p.command = exec.Command(binary, "fleet", "entry", "--settings", file)
	p.command.Stdout, p.command.Stderr = log, log
	if err := p.command.Start(); err != nil {
		t.Fatal(err)
	}
	for until := time.Now().Add(waitTimeout); !p.isAnswering(); time.Sleep(10 * time.Millisecond) {
		if time.Now().After(until) {
			t.Fatalf("no answer of the readiness check after %s", waitTimeout)
		}
	}
	return p
}

// freePort returns a port that was free a moment ago.
func freePort(t *testing.T) int {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = listener.Close() }()
	return listener.Addr().(*net.TCPAddr).Port
}

// isAnswering reports whether the readiness check gets an answer.
func (p *fleetEntry) isAnswering() bool {
	response, err := http.Get(p.ready)
	if err != nil {
		return false
	}
	_, _ = io.Copy(io.Discard, response.Body)
	return response.Body.Close() == nil
}

// TestHangupDuringShutdown guards against SIGHUP that ends an entry at once, with all calls in progress, while it
// shuts down after SIGTERM.
func TestHangupDuringShutdown(t *testing.T) {
	p := startFleetEntry(t)
	if err := p.command.Process.Signal(syscall.SIGHUP); err != nil {
		t.Fatal(err)
	}
	if err := p.command.Process.Signal(syscall.SIGTERM); err != nil {
		t.Fatal(err)
	}
	for range 10 {
		time.Sleep(100 * time.Millisecond)
		_ = p.command.Process.Signal(syscall.SIGHUP)
	}
	if !p.isAnswering() {
		t.Error("the entry has ended within a second of SIGTERM, while it still takes calls")
	}
	if err := p.command.Wait(); err != nil {
		text, _ := os.ReadFile(p.log)
		t.Errorf("%v, want a graceful shutdown\n%s", err, text)
	}
}
