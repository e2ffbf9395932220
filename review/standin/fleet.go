package main

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Bounds and settings of a small deployment, as the users' pages state them.
const (
	grace          = "6s"
	catchUp        = 4 * time.Second
	heartbeatEvery = 1500 * time.Millisecond
	memoryMB       = 284
	maxTTL         = 5.0 // ttl_max_s
)

var zones = map[string]string{
	"norte-a": "norte", "centro-a": "centro", "sul-a": "sul",
	"norte-b": "norte", "centro-b": "centro", "sul-b": "sul",
}

// ports are the same on all machines, which differ in their address.
type ports struct{ front, ready, control, directory, peer int }

// machine is one machine with one process of the system.
type machine struct {
	name, role, ip, zone string
	dataFolder           string
	bootstrap            bool

	fleet *fleet
	mu    sync.Mutex
	cmd   *exec.Cmd
	ended chan struct{}
}

// fleet is the platform: it starts and ends the processes of the system.
type fleet struct {
	root   string // of the repository
	dir    string // temporary
	record *record
	ports  ports
	block  string // first three bytes of all addresses
	nextIP int

	mu       sync.Mutex
	machines []*machine
	controls []*machine // that run or shall run
	newest   int        // newest acknowledged version of the configuration
	entries  []*machine
}

// record is the log of a case.
type record struct {
	mu      sync.Mutex
	file    *os.File
	started time.Time
}

func (r *record) add(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.file, "%8.3f s  %s\n", time.Since(r.started).Seconds(), fmt.Sprintf(format, args...))
}

func newFleet(root string, rec *record) (*fleet, error) {
	dir, err := os.MkdirTemp("", "review-")
	if err != nil {
		return nil, err
	}
	f := &fleet{root: root, dir: dir, record: rec, nextIP: 1, block: fmt.Sprintf("127.%d.%d", 20+rand.IntN(200), 1+rand.IntN(250))}
	base := 20000 + rand.IntN(10000)
	f.ports = ports{front: base, ready: base + 1, control: base + 2, directory: base + 3, peer: base + 4}
	for p := base; p < base+5; p++ {
		l, err := net.Listen("tcp", fmt.Sprintf("%s.1:%d", f.block, p))
		if err != nil {
			return nil, err
		}
		_ = l.Close()
	}
	return f, nil
}

func (f *fleet) newIP() string {
	f.mu.Lock()
	defer f.mu.Unlock()
	ip := fmt.Sprintf("%s.%d", f.block, f.nextIP)
	f.nextIP++
	return ip
}

func (m *machine) address(port int) string { return fmt.Sprintf("%s:%d", m.ip, port) }

func (f *fleet) addControl(zone string, bootstrap bool) *machine {
	m := &machine{fleet: f, role: "control", ip: f.newIP(), zone: zone, bootstrap: bootstrap}
	m.name = "core-" + strings.ReplaceAll(m.ip, ".", "-")
	m.dataFolder = filepath.Join(f.dir, m.name, "data")
	f.mu.Lock()
	defer f.mu.Unlock()
	f.machines = append(f.machines, m)
	f.controls = append(f.controls, m)
	return m
}

func (f *fleet) addEntry(zone string) *machine {
	m := &machine{fleet: f, role: "entry", ip: f.newIP(), zone: zone}
	m.name = "front-" + strings.ReplaceAll(m.ip, ".", "-")
	f.mu.Lock()
	defer f.mu.Unlock()
	f.machines = append(f.machines, m)
	f.entries = append(f.entries, m)
	return m
}

// seeds returns the control addresses of three control machines.
func (f *fleet) seeds() []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	var seeds []string
	for _, m := range f.controls[:min(3, len(f.controls))] {
		seeds = append(seeds, m.address(f.ports.control))
	}
	return seeds
}

// removeControl takes a machine that is lost for good out of the list.
func (f *fleet) removeControl(lost *machine) {
	f.mu.Lock()
	defer f.mu.Unlock()
	var left []*machine
	for _, m := range f.controls {
		if m != lost {
			left = append(left, m)
		}
	}
	f.controls = left
}

// settings renders what the templates of the deploy file give.
func (m *machine) settings() map[string]any {
	p := m.fleet.ports
	s := map[string]any{
		"name": m.name, "region": zones[m.zone], "data_centre": m.zone, "data_centres": zones,
		"peer_address": m.address(p.peer), "seeds": m.fleet.seeds(), "seed_port": p.peer, "grace": grace,
	}
	if m.role == "control" {
		s["control_address"] = m.address(p.control)
		s["data_folder"] = m.dataFolder
		s["bootstrap"] = m.bootstrap
		return s
	}
	s["caller_address"] = m.address(p.front)
	s["ready_address"] = m.address(p.ready)
	s["directory_address"] = m.address(p.directory)
	s["memory_mb"] = memoryMB
	s["link_mbps"] = 1000.0
	s["floor_share"] = 0.7
	s["retries"] = map[string]any{"ratio": 0.2, "slack": 56, "window": "10s"}
	s["address_ttl"] = "1s"
	return s
}

// start starts the process of the machine with the command of the deploy file.
func (m *machine) start() error {
	dir := filepath.Join(m.fleet.dir, m.name)
	if err := os.MkdirAll(dir, 0o755); err != nil {
		return err
	}
	if m.dataFolder != "" {
		if err := os.MkdirAll(m.dataFolder, 0o755); err != nil {
			return err
		}
	}
	text, err := json.MarshalIndent(m.settings(), "", "  ")
	if err != nil {
		return err
	}
	file := filepath.Join(dir, "local.toml")
	if err := os.WriteFile(file, text, 0o644); err != nil {
		return err
	}
	log, err := os.OpenFile(filepath.Join(dir, "log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return err
	}
	cmd := exec.Command("target/sequoialane-platform", m.role)
	cmd.Dir = m.fleet.root
	cmd.Env = append([]string{"SEQUOIALANE_CONFIG=" + file}, keep("PATH", "HOME", "LANG")...)
	cmd.Stdout, cmd.Stderr = log, log
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		return err
	}
	ended := make(chan struct{})
	m.mu.Lock()
	m.cmd, m.ended = cmd, ended
	m.mu.Unlock()
	m.fleet.record.add("platform: starts %s (%s, %s, bootstrap %v), seeds %v", m.name, m.role, m.zone, m.bootstrap, m.fleet.seeds())
	go func() {
		err := cmd.Wait()
		_ = log.Close()
		m.fleet.record.add("platform: process of %s has ended (%v)", m.name, err)
		close(ended)
	}()
	return nil
}

func keep(names ...string) []string {
	var kept []string
	for _, name := range names {
		if value, ok := os.LookupEnv(name); ok {
			kept = append(kept, name+"="+value)
		}
	}
	return kept
}

func (m *machine) signal(s syscall.Signal) {
	m.mu.Lock()
	cmd := m.cmd
	m.mu.Unlock()
	if cmd != nil && m.running() {
		m.fleet.record.add("platform: signal %v to %s", s, m.name)
		_ = cmd.Process.Signal(s)
	}
}

func (m *machine) running() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.ended == nil {
		return false
	}
	select {
	case <-m.ended:
		return false
	default:
		return true
	}
}

// kill ends the process at once and waits until it has ended.
func (m *machine) kill() {
	m.signal(syscall.SIGKILL)
	m.mu.Lock()
	ended := m.ended
	m.mu.Unlock()
	if ended != nil {
		<-ended
	}
}

func (m *machine) pid() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.cmd == nil {
		return 0
	}
	return m.cmd.Process.Pid
}

// stopAll ends all processes and removes the temporary folder.
func (f *fleet) stopAll() {
	f.mu.Lock()
	machines := append([]*machine(nil), f.machines...)
	f.mu.Unlock()
	for _, m := range machines {
		m.kill()
	}
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(f.dir)
	}
}

// ready reports whether the entry answers its readiness check with 200.
func (m *machine) ready() bool {
	client := &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	response, err := client.Get("http://" + m.address(m.fleet.ports.ready) + "/ready")
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// leader returns the control machine that leads at the moment, or nil. It asks the
// machines on their own port, and is used only to choose the machine of a
// disruption.
func (f *fleet) leader() *machine {
	f.mu.Lock()
	controls := append([]*machine(nil), f.controls...)
	f.mu.Unlock()
	client := &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	for _, m := range controls {
		if !m.running() {
			continue
		}
		response, err := client.Get("http://" + m.address(f.ports.peer) + "/fleet/v1/group")
		if err != nil {
			continue
		}
		var s struct {
			Role string `json:"role"`
		}
		err = json.NewDecoder(response.Body).Decode(&s)
		_ = response.Body.Close()
		if err == nil && s.Role == "leader" {
			return m
		}
	}
	return nil
}
