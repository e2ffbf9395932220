package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"time"
)

// route of a configuration.
type route struct {
	host, prefix, kind, service  string
	timeoutMS, aimMS, maxAttempt int
}

// configuration returns a complete configuration.
func configuration(version int, services []string, routes []route) []byte {
	rules := map[string][]any{}
	var hosts []string
	for i, r := range routes {
		if rules[r.host] == nil {
			hosts = append(hosts, r.host)
		}
		rules[r.host] = append(rules[r.host], map[string]any{
			"name": fmt.Sprintf("r-%d", i), "type": r.kind, "target_latency_ms": r.aimMS, "priority": 1,
			"match":  map[string]any{"path_prefix": r.prefix},
			"action": map[string]any{"service": r.service, "timeout_ms": r.timeoutMS, "max_attempts": r.maxAttempt},
		})
	}
	var listeners []any
	for _, host := range hosts {
		listeners = append(listeners, map[string]any{"host": host, "rules": rules[host]})
	}
	var clusters []any
	for _, s := range services {
		clusters = append(clusters, map[string]any{"name": s, "health_path": "/health", "max_connections": 390, "protocol": "h1", "tls": false})
	}
	text, err := json.Marshal(map[string]any{
		"version":   fmt.Sprintf("%08x", version),
		"limits":    map[string]any{"max_header_bytes": 16384, "max_body_bytes": 67108864, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
		"listeners": listeners, "clusters": clusters,
	})
	if err != nil {
		cannotRun(err)
	}
	return text
}

// callControl sends a call to the nodes that serve control, one after the other, as
// operators and targets do: a second for each, moving on after a failure, with increasing
// backoff. It returns the status and body of the first response that ends the call.
func callControl(nodes []string, query string, body []byte, until time.Time) (int, string, error) {
	client := &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	pause := 50 * time.Millisecond
	last := fmt.Errorf("no time")
	for n := 0; time.Now().Before(until); n++ {
		response, err := client.Post("http://"+nodes[n%len(nodes)]+"/rpc?"+query, "application/json", bytes.NewReader(body))
		if err != nil {
			last = err
		} else {
			text, err := io.ReadAll(response.Body)
			_ = response.Body.Close()
			switch {
			case err != nil:
				last = err
			case response.StatusCode == 200, response.StatusCode/100 == 4 && response.StatusCode != 408 && response.StatusCode != 429:
				return response.StatusCode, string(text), nil
			default:
				last = fmt.Errorf("status %d: %.200s", response.StatusCode, text)
			}
		}
		time.Sleep(pause)
		pause = min(2*pause, time.Second)
	}
	return 0, "", last
}
