package main

import (
	"fmt"
	"strings"
	"time"
)

// versionZero begins with a configuration of version 00000000.
func versionZero(rec *record, trouble bool) int {
	const (
		host     = "jepu9.example"
		service  = "tiempos"
		requests = 20
		waiting  = 20 * time.Second // config_apply_ms is 2,500, recovery_s 15
	)
	version := 1
	if trouble {
		version = 0
	}
	f := newFleet(rec, smallCore)
	defer f.stop()
	fronts := f.addFronts(2)
	for _, m := range append(f.addCore(), fronts...) {
		m.start()
	}
	t := startTarget(rec, 0, service, 0, 20*time.Millisecond, f.controlAddresses())
	defer t.stop()
	put := configuration(version, []string{service}, []route{{host: host, prefix: "/lepu270/", kind: "safe", service: service, timeoutMS: 4000, aimMS: 2500, maxAttempt: 2}})
	status, text, err := callControl(f.controlAddresses(), "call=config.put", put, time.Now().Add(20*time.Second))
	rec.add("operator: config.put %08x: status %d, %q, error %v", version, status, text, err)
	if status != 200 {
		return noRun
	}
	time.Sleep(waiting)
	text, _ = read(rec, f, "20 s later", 5*time.Second)
	if !strings.Contains(text, fmt.Sprintf("%08x", version)) {
		rec.add("operator: the configuration read isn't the one that was acknowledged")
		return broken
	}
	directory := []string{fronts[0].address(f.ports.directory), fronts[1].address(f.ports.directory)}
	addresses, err := resolve(directory, host, 0, time.Now().Add(5*time.Second))
	rec.add("client: resolve: %v, error %v", addresses, err)
	if err != nil {
		// As a client that has kept an earlier answer.
		addresses = []string{fronts[0].address(f.ports.front), fronts[1].address(f.ports.front)}
	}
	served := 0
	for n := range requests {
		id := fmt.Sprintf("9c41d07be2a35f%02x", n)
		a := send(addresses[n%len(addresses)], 4*time.Second, piece{bytes: []byte(fmt.Sprintf(
			"GET /lepu270/2f HTTP/1.1\r\nHost: %s\r\nX-Sequoialane-Attempt-Id: %s\r\nX-Sequoialane-Deadline-Ms: 4000\r\n\r\n", host, id))})
		rec.add("client: GET /lepu270/2f, request %s: %v", id, a)
		if a.err == nil && a.status == 200 {
			served++
		}
	}
	rec.add("client: %d of %d requests served", served, requests)
	if served == 0 {
		return broken
	}
	return held
}
