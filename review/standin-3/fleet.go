package main

import (
	"encoding/json"
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"
)

// zones of the deployment, as in paradaviva-gw.
var zones = []struct{ name, region string }{
	{"sanjose-a", "valle-central"},
	{"puntarenas-a", "pacifico"},
	{"limon-a", "caribe"},
	{"heredia-b", "valle-central"},
	{"liberia-b", "pacifico"},
	{"guapiles-b", "caribe"},
}

const (
	graceSeconds = 6
	restartDelay = 300 * time.Millisecond
	maxSeeds     = 3
)

// fleet starts and ends the processes of the project, as the platform does: each machine
// has a loopback address of its own, and all use the same ports.
type fleet struct {
	rec     *record
	dir     string
	program string
	core    int // machines that serve control, one in each of the first zones
	ports   struct{ control, peer, front, ready, directory int }

	mu       sync.Mutex
	machines []*machine
}

type machine struct {
	fleet  *fleet
	name   string
	role   string
	ip     string
	zone   int
	core   bool
	starts int

	mu   sync.Mutex
	cmd  *exec.Cmd
	done chan struct{}
}

// newFleet returns a fleet with that many core machines.
func newFleet(rec *record, core int) *fleet {
	dir, err := os.MkdirTemp("", "sequoialane-review-")
	if err != nil {
		cannotRun(err)
	}
	program, err := filepath.Abs("target/sequoialane-platform")
	if err != nil {
		cannotRun(err)
	}
	if _, err := os.Stat(program); err != nil {
		cannotRun(err)
	}
	f := &fleet{rec: rec, dir: dir, program: program, core: core}
	f.ports.control, f.ports.peer, f.ports.front = freePort(), freePort(), freePort()
	f.ports.ready, f.ports.directory = freePort(), freePort()
	stopOnExit(f)
	return f
}

// freePort returns a port that is free on all loopback addresses now.
func freePort() int {
	l, err := net.Listen("tcp4", "0.0.0.0:0")
	if err != nil {
		cannotRun(err)
	}
	defer l.Close()
	return l.Addr().(*net.TCPAddr).Port
}

// ip returns the loopback address of the n-th machine.
func ip(n int) string { return fmt.Sprintf("127.77.%d.%d", n/200, n%200+1) }

func (f *fleet) seeds() []string {
	var seeds []string
	for i := range maxSeeds {
		seeds = append(seeds, fmt.Sprintf("%s:%d", ip(i), f.ports.control))
	}
	return seeds
}

func (f *fleet) controlAddresses() []string {
	var addresses []string
	for i := range f.core {
		addresses = append(addresses, fmt.Sprintf("%s:%d", ip(i), f.ports.control))
	}
	return addresses
}

// addCore adds the core machines, one in each of the first zones.
func (f *fleet) addCore() []*machine {
	var added []*machine
	for i := range f.core {
		added = append(added, f.add(&machine{name: "core-" + zones[i].name + "-1", role: "control", ip: ip(i), zone: i, core: true}))
	}
	return added
}

// addFronts adds n front machines, spread over the zones.
func (f *fleet) addFronts(n int) []*machine {
	var added []*machine
	for i := range n {
		z := i % len(zones)
		added = append(added, f.add(&machine{name: fmt.Sprintf("front-%s-%d", zones[z].name, i/len(zones)+1), role: "entry", ip: ip(20 + i), zone: z}))
	}
	return added
}

func (f *fleet) add(m *machine) *machine {
	m.fleet = f
	f.mu.Lock()
	defer f.mu.Unlock()
	f.machines = append(f.machines, m)
	return m
}

func (m *machine) address(port int) string { return fmt.Sprintf("%s:%d", m.ip, port) }

// settings renders what the templates of the deploy file render. bootstrap is true only
// at the first start of the whole system.
func (m *machine) settings(bootstrap bool) []byte {
	f := m.fleet
	places := map[string]string{}
	for _, z := range zones {
		places[z.name] = z.region
	}
	s := map[string]any{
		"name": m.name, "region": zones[m.zone].region, "data_centre": zones[m.zone].name, "data_centres": places,
		"peer_address": m.address(f.ports.peer), "seeds": f.seeds(), "seed_port": f.ports.peer,
		"grace": fmt.Sprintf("%ds", graceSeconds),
	}
	if m.core {
		s["control_address"] = m.address(f.ports.control)
		s["data_folder"] = filepath.Join(f.dir, m.name, "data")
		s["memory_mb"] = 280
		s["bootstrap"] = bootstrap
	} else {
		s["caller_address"] = m.address(f.ports.front)
		s["ready_address"] = m.address(f.ports.ready)
		s["directory_address"] = m.address(f.ports.directory)
		s["memory_mb"] = 284
		s["link_mbps"] = 1000.0
		s["floor_share"] = 0.7
		s["retries"] = map[string]any{"ratio": 0.2, "slack": 62, "window": "10s"}
		s["address_ttl"] = "1s"
	}
	text, err := json.MarshalIndent(s, "", "  ")
	if err != nil {
		cannotRun(err)
	}
	return text
}

// start starts the process of the machine.
func (m *machine) start() {
	m.mu.Lock()
	defer m.mu.Unlock()
	first := m.starts == 0
	m.starts++
	folder := filepath.Join(m.fleet.dir, m.name)
	if err := os.MkdirAll(folder, 0o700); err != nil {
		cannotRun(err)
	}
	file := filepath.Join(folder, "settings.json")
	if err := os.WriteFile(file, m.settings(first), 0o600); err != nil {
		cannotRun(err)
	}
	log, err := os.OpenFile(filepath.Join(folder, "log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		cannotRun(err)
	}
	defer log.Close()
	cmd := exec.Command(m.fleet.program, m.role)
	cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + folder, "SEQUOIALANE_CONFIG=" + file}
	cmd.Stdout, cmd.Stderr = log, log
	if err := cmd.Start(); err != nil {
		cannotRun(err)
	}
	done := make(chan struct{})
	m.cmd, m.done = cmd, done
	go func() {
		_ = cmd.Wait()
		close(done)
	}()
	m.fleet.rec.add("platform: %s started, bootstrap %v", m.name, first && m.core)
}

// signal sends a signal to the process.
func (m *machine) signal(s syscall.Signal) {
	m.mu.Lock()
	defer m.mu.Unlock()
	_ = m.cmd.Process.Signal(s)
	m.fleet.rec.add("platform: %v to %s", s, m.name)
}

// loseDisk empties the disk of a machine whose process has ended.
func (m *machine) loseDisk() {
	if err := os.RemoveAll(filepath.Join(m.fleet.dir, m.name, "data")); err != nil {
		cannotRun(err)
	}
	m.fleet.rec.add("platform: the disk of %s is lost", m.name)
}

// kill ends the process at once, as a loss of power does.
func (m *machine) kill() {
	m.signal(syscall.SIGKILL)
	if !m.wait(5 * time.Second) {
		cannotRun(fmt.Errorf("%s does not end", m.name))
	}
}

// wait waits until the process has ended. It reports false after the time.
func (m *machine) wait(limit time.Duration) bool {
	m.mu.Lock()
	done := m.done
	m.mu.Unlock()
	select {
	case <-done:
		return true
	case <-time.After(limit):
		return false
	}
}

// stop ends all processes and removes their files.
func (f *fleet) stop() {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, m := range f.machines {
		if m.cmd != nil {
			_ = m.cmd.Process.Kill()
		}
	}
	for _, m := range f.machines {
		if m.cmd != nil {
			m.wait(5 * time.Second)
		}
	}
	if keep := os.Getenv("KEEP"); keep == "" {
		_ = os.RemoveAll(f.dir)
	} else {
		fmt.Println("files kept in", f.dir)
	}
}
