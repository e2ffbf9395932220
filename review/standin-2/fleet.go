package main

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
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

// zones of the small deployment, with one control member and one entry each.
var zones = []string{"norte-a", "centro-a", "sul-a"}

var regions = map[string]string{"norte-a": "norte", "centro-a": "centro", "sul-a": "sul"}

// Bounds of the small site files of our pages.
const (
	drainMS       = 2500
	graceS        = 6
	heartbeat     = 1500 * time.Millisecond
	configApplyMS = 2500
)

// Ports are the same on all machines; each machine has a loopback address of its own.
type ports struct{ control, front, ready, directory, peer int }

// process is a process of the project.
type process struct {
	name, role, ip, zone string
	settings             string
	cmd                  *exec.Cmd
	ended                chan struct{}
}

// fleet is the project's programs, started as the deploy file says.
type fleet struct {
	root, folder string
	net          int // second byte of the machines' addresses
	ports        ports
	rec          *record
	controls     []*process
	entries      []*process
	mu           sync.Mutex
	started      []*process // all, also those that have ended
	stopped      bool
}

// freePorts returns ports that are free on all the addresses.
func freePorts(ips []string) (ports, error) {
	for range 200 {
		base := 20000 + rand.IntN(9000)
		free := true
		for _, ip := range ips {
			for i := range 5 {
				l, err := net.Listen("tcp", net.JoinHostPort(ip, strconv.Itoa(base+i)))
				if err != nil {
					free = false
					continue
				}
				_ = l.Close()
			}
		}
		if free {
			return ports{base, base + 1, base + 2, base + 3, base + 4}, nil
		}
	}
	return ports{}, errors.New("no free ports")
}

func at(ip string, port int) string { return net.JoinHostPort(ip, strconv.Itoa(port)) }

// startAll starts three control members and three entries.
func (f *fleet) startAll() error {
	f.net = 10 + rand.IntN(200)
	var ips []string
	for i, zone := range zones {
		c := &process{name: "core-" + zone + "-1", role: "control", ip: fmt.Sprintf("127.%d.%d.1", f.net, i+1), zone: zone}
		e := &process{name: "front-" + zone + "-1", role: "entry", ip: fmt.Sprintf("127.%d.%d.2", f.net, i+1), zone: zone}
		f.controls, f.entries = append(f.controls, c), append(f.entries, e)
		ips = append(ips, c.ip, e.ip)
	}
	var err error
	if f.ports, err = freePorts(ips); err != nil {
		return err
	}
	for _, p := range append(append([]*process{}, f.controls...), f.entries...) {
		if err := f.start(p, true); err != nil {
			return err
		}
	}
	return nil
}

// settingsOf renders the settings of a process as the templates of the deploy folder do.
func (f *fleet) settingsOf(p *process, bootstrap bool) map[string]any {
	var seeds []string
	for _, c := range f.controls {
		seeds = append(seeds, at(c.ip, f.ports.control))
	}
	s := map[string]any{
		"name": p.name, "region": regions[p.zone], "data_centre": p.zone, "data_centres": regions,
		"peer_address": at(p.ip, f.ports.peer), "seeds": seeds, "seed_port": f.ports.peer, "grace": fmt.Sprint(graceS, "s"),
	}
	if p.role == "control" {
		s["control_address"] = at(p.ip, f.ports.control)
		s["data_folder"] = filepath.Join(f.folder, p.name)
		s["memory_mb"] = 280
		s["bootstrap"] = bootstrap
		return s
	}
	s["caller_address"] = at(p.ip, f.ports.front)
	s["ready_address"] = at(p.ip, f.ports.ready)
	s["directory_address"] = at(p.ip, f.ports.directory)
	s["memory_mb"] = 284
	s["link_mbps"] = 1000.0
	s["floor_share"] = 0.7
	s["retries"] = map[string]any{"ratio": 0.2, "slack": 56, "window": "10s"}
	s["address_ttl"] = "1s"
	return s
}

// start starts a process with the command of the deploy file.
func (f *fleet) start(p *process, bootstrap bool) error {
	text, err := json.MarshalIndent(f.settingsOf(p, bootstrap), "", "  ")
	if err != nil {
		return err
	}
	p.settings = filepath.Join(f.folder, p.name+".settings")
	if err := os.WriteFile(p.settings, text, 0o600); err != nil {
		return err
	}
	if p.role == "control" {
		if err := os.MkdirAll(filepath.Join(f.folder, p.name), 0o700); err != nil {
			return err
		}
	}
	out, err := os.OpenFile(filepath.Join(f.folder, p.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer out.Close()
	p.cmd = exec.Command(filepath.Join(f.root, "target", "sequoialane-platform"), p.role)
	p.cmd.Dir = f.root
	p.cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + f.folder, "LANG=C", "SEQUOIALANE_CONFIG=" + p.settings}
	p.cmd.Stdout, p.cmd.Stderr = out, out
	p.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.stopped {
		return errors.New("the fleet is stopped")
	}
	if err := p.cmd.Start(); err != nil {
		return err
	}
	p.ended = make(chan struct{})
	f.started = append(f.started, p)
	go func(cmd *exec.Cmd, ended chan struct{}) {
		_ = cmd.Wait()
		close(ended)
	}(p.cmd, p.ended)
	f.rec.add("started %s %s at %s, process %d", p.role, p.name, p.ip, p.cmd.Process.Pid)
	return nil
}

// stop ends all processes.
func (f *fleet) stop() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.stopped = true
	for _, p := range f.started {
		_ = p.cmd.Process.Kill()
		<-p.ended
	}
}

var plain = &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}

// call posts a call to a control member.
func (f *fleet) call(member *process, query string, body []byte) (int, []byte, error) {
	r, err := plain.Post("http://"+at(member.ip, f.ports.control)+"/rpc?"+query, "application/json", bytes.NewReader(body))
	if err != nil {
		return 0, nil, err
	}
	defer r.Body.Close()
	answer, err := io.ReadAll(r.Body)
	return r.StatusCode, answer, err
}

// put sends a configuration to the members in turn until one acknowledges it.
func (f *fleet) put(body string, within time.Duration) error {
	for end, i := time.Now().Add(within), 0; time.Now().Before(end); i++ {
		status, answer, err := f.call(f.controls[i%len(f.controls)], "call=config.put", []byte(body))
		switch {
		case err == nil && status == http.StatusOK:
			f.rec.add("operator: the configuration is acknowledged")
			return nil
		case err == nil && status/100 == 4 && status != 408 && status != 429:
			return fmt.Errorf("the configuration is refused with %d: %s", status, answer)
		}
		time.Sleep(200 * time.Millisecond)
	}
	return errors.New("no member acknowledged the configuration")
}

// awaitReady waits until all entries are ready.
func (f *fleet) awaitReady(within time.Duration) error {
	for end := time.Now().Add(within); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
		ready := 0
		for _, e := range f.entries {
			if r, err := plain.Get("http://" + at(e.ip, f.ports.ready) + "/ready"); err == nil {
				_ = r.Body.Close()
				if r.StatusCode == http.StatusOK {
					ready++
				}
			}
		}
		if ready == len(f.entries) {
			return nil
		}
	}
	return errors.New("the entries are not ready in time")
}

// resolve asks the directory of an entry where to connect.
func (f *fleet) resolve(e *process, host string) ([]string, error) {
	r, err := plain.Get("http://" + at(e.ip, f.ports.directory) + "/resolve?name=" + host + "&region=" + regions[e.zone] + "&zone=" + e.zone)
	if err != nil {
		return nil, err
	}
	defer r.Body.Close()
	var answer struct{ Addresses []string }
	if err := json.NewDecoder(r.Body).Decode(&answer); err != nil || len(answer.Addresses) == 0 {
		return nil, errors.New("the directory gives no address")
	}
	return answer.Addresses, nil
}

// rule is a route of a configuration.
type rule struct {
	name, kind, prefix, service string
	timeoutMS                   int
}

// config returns the text of a configuration with one host.
func config(version int, host string, rules []rule, services ...string) string {
	var routes, clusters []string
	for _, r := range rules {
		routes = append(routes, fmt.Sprintf(`{"name":%q,"type":%q,"target_latency_ms":800,"priority":1,"match":{"path_prefix":%q},"action":{"service":%q,"timeout_ms":%d,"max_attempts":2}}`,
			r.name, r.kind, r.prefix, r.service, r.timeoutMS))
	}
	for _, s := range services {
		clusters = append(clusters, fmt.Sprintf(`{"name":%q,"health_path":"/health","max_connections":330,"protocol":"h1","tls":false}`, s))
	}
	return fmt.Sprintf(`{"version":"%08x","limits":{"max_header_bytes":16384,"max_body_bytes":67108864,"header_timeout_ms":3000,"idle_timeout_ms":15000},"listeners":[{"host":%q,"rules":[%s]}],"clusters":[%s]}`,
		version, host, strings.Join(routes, ","), strings.Join(clusters, ","))
}
