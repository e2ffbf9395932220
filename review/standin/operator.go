package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"time"
)

// route is one route of the configuration that the operator sends.
type route struct {
	host, name, kind, prefix, service string
	objectiveMS, timeoutMS            int
	attempts, priority                int
}

// configuration renders a complete configuration in the form of the users' pages.
func configuration(version int, routes []route, services []string) []byte {
	hosts := map[string][]any{}
	var order []string
	for _, r := range routes {
		if _, ok := hosts[r.host]; !ok {
			order = append(order, r.host)
		}
		hosts[r.host] = append(hosts[r.host], map[string]any{
			"name": r.name, "type": r.kind, "target_latency_ms": r.objectiveMS, "priority": r.priority,
			"match":  map[string]any{"path_prefix": r.prefix},
			"action": map[string]any{"service": r.service, "timeout_ms": r.timeoutMS, "max_attempts": r.attempts},
		})
	}
	var listeners, clusters []any
	for _, host := range order {
		listeners = append(listeners, map[string]any{"host": host, "rules": hosts[host]})
	}
	for _, s := range services {
		clusters = append(clusters, map[string]any{"name": s, "health_path": "/health", "max_connections": 330, "protocol": "h1", "tls": false})
	}
	text, err := json.Marshal(map[string]any{
		"version":   fmt.Sprintf("%08x", version),
		"limits":    map[string]any{"max_header_bytes": 16384, "max_body_bytes": 67108864, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
		"listeners": listeners, "clusters": clusters,
	})
	if err != nil {
		panic(err)
	}
	return text
}

// callControl sends a call to one address of control and returns its status and
// body; status 0: no response within a second.
func callControl(address, call string, body []byte) (int, []byte) {
	client := &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	response, err := client.Post("http://"+address+"/rpc?call="+call, "application/json", bytes.NewReader(body))
	if err != nil {
		return 0, nil
	}
	defer response.Body.Close()
	text, err := io.ReadAll(response.Body)
	if err != nil {
		return 0, nil
	}
	return response.StatusCode, text
}

// controlAddresses returns the control addresses of the machines in the list.
func (f *fleet) controlAddresses() []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	var addresses []string
	for _, m := range f.controls {
		addresses = append(addresses, m.address(f.ports.control))
	}
	return addresses
}

// put sends a configuration, to one node after the other, until it is
// acknowledged, refused or the time is over. It returns how long that took.
func (f *fleet) put(version int, text []byte, limit time.Duration) (status int, took time.Duration) {
	started := time.Now()
	calls := map[int]int{}
	pause := 50 * time.Millisecond
	for i := 0; time.Since(started) < limit; i++ {
		addresses := f.controlAddresses()
		status, _ = callControl(addresses[i%len(addresses)], "config.put", text)
		calls[status]++
		if status == 200 {
			f.acknowledged(version)
		}
		if status == 200 || status == 400 {
			f.record.add("operator: put of version %d: status %d after %v; calls by status %v", version, status, time.Since(started).Round(time.Millisecond), calls)
			return status, time.Since(started)
		}
		time.Sleep(pause)
		pause = min(2*pause, time.Second)
	}
	f.record.add("operator: put of version %d: no acknowledgement in %v; calls by status %v", version, time.Since(started).Round(time.Millisecond), calls)
	return status, time.Since(started)
}

// get reads the configuration, from one node after the other, until one answers
// with 200 or the time is over. It returns the version, or -1 without an answer.
func (f *fleet) get(limit time.Duration) int {
	started := time.Now()
	calls := map[int]int{}
	for i := 0; time.Since(started) < limit; i++ {
		addresses := f.controlAddresses()
		status, text := callControl(addresses[i%len(addresses)], "config.get", nil)
		calls[status]++
		if status == 200 {
			var c struct {
				Version string `json:"version"`
			}
			version := -1
			if json.Unmarshal(text, &c) == nil {
				_, _ = fmt.Sscanf(c.Version, "%x", &version)
			}
			f.record.add("operator: get answers version %d after %v; calls by status %v", version, time.Since(started).Round(time.Millisecond), calls)
			return version
		}
		time.Sleep(100 * time.Millisecond)
	}
	f.record.add("operator: get has no answer in %v; calls by status %v", time.Since(started).Round(time.Millisecond), calls)
	return -1
}

func (f *fleet) acknowledged(version int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.newest = max(f.newest, version)
}

// judgeReadBack checks the rule on the configuration that is read back at the end:
// it comes, and is not older than the newest acknowledged version.
func (f *fleet) judgeReadBack() int {
	read := f.get(15 * time.Second)
	f.mu.Lock()
	newest := f.newest
	f.mu.Unlock()
	f.record.add("seen: newest acknowledged version: %d (0: none); read back: %d (-1: it did not come)", newest, read)
	if read < newest || read < 0 {
		return broken
	}
	return held
}
