package main

import (
	"bytes"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

// rig holds the processes and stand-ins of one case.
type rig struct {
	hasTrouble bool
	net        int // second octet of all loopback addresses
	basePort   int
	temp       string // settings and logs of the processes
	begun      time.Time
	store      *store

	mu        sync.Mutex
	record    *os.File
	processes []*process
	servers   []*http.Server
	isClosed  bool
}

// Offsets of the ports from the base port. They are the same on all machines.
const (
	peersOffset = iota
	peersLastOffset
	callersOffset = iota + 18
	readyOffset
	metricsOffset
	appOffset
	storeOffset
)

// Third octets of the addresses of the machines.
const (
	subnetFront  = 1
	subnetSide   = 2
	subnetPlain  = 3
	subnetShared = 4
)

// zones are the failure domains of the deployment; each is a region of its own.
var zones = []string{"zone-a", "zone-b", "zone-c"}

func newRig(dir string) (*rig, error) {
	record, err := os.Create(filepath.Join(dir, "record.txt"))
	if err != nil {
		return nil, err
	}
	temp, err := os.MkdirTemp("", "review-")
	if err != nil {
		return nil, err
	}
	r := &rig{hasTrouble: os.Getenv("TROUBLE") != "0", temp: temp, begun: time.Now(), record: record, store: newStore()}
	r.log("begun, with the disruption: %t", r.hasTrouble)
	for try := range 50 {
		r.net, r.basePort = 20+(os.Getpid()+try)%200, 21000+(os.Getpid()*37+try*101)%20000
		if r.isFree() {
			return r, r.serve(r.storeAddress(), r.store)
		}
	}
	return nil, fmt.Errorf("no free ports")
}

// isFree reports whether nobody listens on the first addresses of the rig.
func (r *rig) isFree() bool {
	for _, subnet := range []int{subnetFront, subnetSide, subnetPlain, subnetShared} {
		for offset := range storeOffset + 1 {
			l, err := net.Listen("tcp", fmt.Sprintf("%s:%d", r.ip(subnet, 0), r.basePort+offset))
			if err != nil {
				return false
			}
			_ = l.Close()
		}
	}
	return true
}

func (r *rig) ip(subnet, n int) string {
	return fmt.Sprintf("127.%d.%d.%d", r.net, subnet, n+1)
}

func (r *rig) address(subnet, n, offset int) string {
	return fmt.Sprintf("%s:%d", r.ip(subnet, n), r.basePort+offset)
}

func (r *rig) storeAddress() string {
	return r.address(subnetShared, 0, storeOffset)
}

// log writes a line with the time since the begin of the case to the record.
func (r *rig) log(format string, values ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.isClosed {
		return
	}
	_, _ = fmt.Fprintf(r.record, "%8.3f  %s\n", time.Since(r.begun).Seconds(), fmt.Sprintf(format, values...))
}

// serve starts a stand-in.
func (r *rig) serve(address string, handler http.Handler) error {
	_, err := r.serveAs(address, handler)
	return err
}

// serveAs starts a stand-in and returns its server, so that it can be closed.
func (r *rig) serveAs(address string, handler http.Handler) (*http.Server, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	s := &http.Server{Handler: handler, ReadHeaderTimeout: time.Minute}
	r.mu.Lock()
	r.servers = append(r.servers, s)
	r.mu.Unlock()
	h := &standin{server: s, listener: listener}
	go h.run()
	return s, nil
}

// standin is an HTTP server that runs until it is closed.
type standin struct {
	server   *http.Server
	listener net.Listener
}

func (s *standin) run() {
	// Serve always returns an error; its only cause here is that the server is closed.
	_ = s.server.Serve(s.listener)
}

// close ends all processes and stand-ins.
func (r *rig) close() {
	r.mu.Lock()
	processes, servers := r.processes, r.servers
	r.isClosed = true
	r.mu.Unlock()
	for _, p := range processes {
		p.kill()
	}
	for _, s := range servers {
		_ = s.Close()
	}
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(r.temp)
	}
	_ = r.record.Close()
}

func (r *rig) hasEnded() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.isClosed
}

// process is an entry or an agent.
type process struct {
	r        *rig
	role     string
	name     string
	settings string // path

	mu     sync.Mutex
	cmd    *exec.Cmd
	ended  chan struct{}
	starts int
}

// commands are those of the roles in deploy/system.toml.
var commands = map[string]string{"entry": "target/foxtailwharf fleet entry", "agent": "target/foxtailwharf fleet agent"}

// settingsText renders the template deploy/fleet.yaml with the bounds of the small installations.
const settingsText = `Name: "%s"
FailureDomain: "%s"
Region: "%s"
Address: "%s"
Ports: [%d,%d]
Store: "%s"
Regions: {"zone-a":"zone-a","zone-b":"zone-b","zone-c":"zone-c"}
%sSeeds: [%s]
Metrics: "%s"
IsFirstStart: true
LinkMegabits: 1000
Drain: 8s
KeyLife: 5000ms
Switch: 8000ms
RepeatRatio: 0.2
RepeatWindow: 10s
RepeatExtra: 104
`

// add prepares a process on machine n of a role's class. seeds is the number of entries that the settings name.
func (r *rig) add(role string, n, seeds int) (*process, error) {
	subnet, extra := subnetFront, fmt.Sprintf("Callers: %q\nReady: %q\n", r.address(subnetFront, n, callersOffset), r.address(subnetFront, n, readyOffset))
	if role == "agent" {
		subnet, extra = subnetSide, fmt.Sprintf("Upstream: %q\nService: \"llm\"\n", r.address(subnetSide, n, appOffset))
	}
	var list []string
	for seed := range seeds {
		list = append(list, strconv.Quote(r.address(subnetFront, seed, peersOffset)))
	}
	name, zone := fmt.Sprintf("%s-%d", role, n+1), zones[n%len(zones)]
	text := fmt.Sprintf(settingsText, name, zone, zone, r.ip(subnet, n), r.basePort+peersOffset, r.basePort+peersLastOffset+8,
		r.storeAddress(), extra, strings.Join(list, ","), r.address(subnet, n, metricsOffset))
	p := &process{r: r, role: role, name: name, settings: filepath.Join(r.temp, name+".yaml")}
	if err := os.WriteFile(p.settings, []byte(text), 0o600); err != nil {
		return nil, err
	}
	r.mu.Lock()
	r.processes = append(r.processes, p)
	r.mu.Unlock()
	return p, nil
}

func (p *process) start() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.r.hasEnded() {
		return errors.New("the case has ended")
	}
	p.starts++
	if p.starts == 2 {
		if err := p.endFirstStart(); err != nil {
			return err
		}
	}
	log, err := os.Create(filepath.Join(p.r.temp, fmt.Sprintf("%s-%d.log", p.name, p.starts)))
	if err != nil {
		return err
	}
	words := strings.Fields(commands[p.role])
	p.cmd = exec.Command(words[0], words[1:]...)
	p.cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "FOXTAILWHARF_CONFIG=" + p.settings}
	p.cmd.Stdout, p.cmd.Stderr = log, log
	if err := p.cmd.Start(); err != nil {
		_ = log.Close()
		return err
	}
	p.ended = make(chan struct{})
	w := &waiter{cmd: p.cmd, log: log, ended: p.ended}
	go w.run()
	p.r.log("%s started, process %d", p.name, p.cmd.Process.Pid)
	return nil
}

// endFirstStart says in the settings that the system doesn't start for the first time any more.
func (p *process) endFirstStart() error {
	text, err := os.ReadFile(p.settings)
	if err != nil {
		return err
	}
	return os.WriteFile(p.settings, bytes.Replace(text, []byte("IsFirstStart: true"), []byte("IsFirstStart: false"), 1), 0o600)
}

// waiter waits for the end of a process.
type waiter struct {
	cmd   *exec.Cmd
	log   *os.File
	ended chan struct{}
}

func (w *waiter) run() {
	_ = w.cmd.Wait()
	_ = w.log.Close()
	close(w.ended)
}

// signal sends a signal to the process, unless it has ended.
func (p *process) signal(s syscall.Signal) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cmd != nil && p.cmd.Process != nil {
		_ = p.cmd.Process.Signal(s)
	}
}

// stop stops the process as the platform does, and waits for its end.
func (p *process) stop() {
	p.signal(syscall.SIGTERM)
	select {
	case <-p.ended:
	case <-time.After(8 * time.Second):
		p.kill()
	}
	p.r.log("%s has ended after SIGTERM", p.name)
}

// kill ends the process at once.
func (p *process) kill() {
	p.mu.Lock()
	ended := p.ended
	p.mu.Unlock()
	if ended == nil {
		return
	}
	p.signal(syscall.SIGKILL)
	<-ended
}

// memory returns the resident memory of the process in bytes; 0 if it has ended.
func (p *process) memory() int64 {
	p.mu.Lock()
	pid := p.cmd.Process.Pid
	p.mu.Unlock()
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0
	}
	for line := range bytes.Lines(text) {
		if fields := strings.Fields(string(line)); len(fields) > 1 && fields[0] == "VmRSS:" {
			kib, _ := strconv.ParseInt(fields[1], 10, 64)
			return kib << 10
		}
	}
	return 0
}

// isReady asks an entry as the platform does.
func (r *rig) isReady(n int) bool {
	client := http.Client{Timeout: time.Second}
	response, err := client.Get("http://" + r.address(subnetFront, n, readyOffset) + "/api/ready")
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// startEntries starts entries, one in each zone by turns, and waits until they are ready.
func (r *rig) startEntries(count int) error {
	for n := range count {
		p, err := r.add("entry", n, min(count, 3))
		if err != nil {
			return err
		}
		if err := p.start(); err != nil {
			return err
		}
	}
	for n := range count {
		if err := r.awaitReady(n); err != nil {
			return err
		}
	}
	return nil
}

// awaitReady waits until an entry is ready.
func (r *rig) awaitReady(n int) error {
	for until := time.Now().Add(15 * time.Second); time.Now().Before(until); time.Sleep(50 * time.Millisecond) {
		if r.isReady(n) {
			return nil
		}
	}
	return fmt.Errorf("entry %d does not get ready", n+1)
}
