package main

import (
	"fmt"
	"time"
)

// quotedName adds a route to a service whose name holds a double quote.
func quotedName(rec *record, trouble bool) int {
	const (
		host     = "jepu9.example"
		first    = "tiempos"
		requests = 24 // on each route; the rule asks for 20
	)
	added := "viajes-2"
	if trouble {
		added = `viajes"2`
	}
	f := newFleet(rec, smallCore)
	defer f.stop()
	fronts := f.addFronts(2)
	for _, m := range append(f.addCore(), fronts...) {
		m.start()
	}
	for n := range 4 {
		t := startTarget(rec, n, []string{first, added}[n%2], n, 20*time.Millisecond, f.controlAddresses())
		defer t.stop()
	}
	routes := []route{
		{host: host, prefix: "/lepu270/", kind: "safe", service: first, timeoutMS: 4000, aimMS: 2500, maxAttempt: 2},
		{host: host, prefix: "/xapu221/", kind: "unsafe", service: added, timeoutMS: 5000, aimMS: 2500, maxAttempt: 2},
	}
	for version, put := range [][]byte{configuration(7, []string{first}, routes[:1]), configuration(8, []string{first, added}, routes)} {
		status, text, err := callControl(f.controlAddresses(), "call=config.put", put, time.Now().Add(20*time.Second))
		rec.add("operator: config.put %08x: status %d, %q, error %v", 7+version, status, text, err)
		if status != 200 {
			return noRun
		}
	}
	time.Sleep(8 * time.Second) // steady: config_apply_ms is 2,500, connectivity_window_ms 4,000
	addresses, err := resolve([]string{fronts[0].address(f.ports.directory), fronts[1].address(f.ports.directory)}, host, 0, time.Now().Add(10*time.Second))
	if err != nil {
		cannotRun(err)
	}
	served, attempts := map[string]int{}, 0
	for n := range requests {
		for _, r := range routes {
			attempts++
			id := fmt.Sprintf("9c41d07be2a3%04x", attempts)
			a := send(addresses[n%len(addresses)], 4*time.Second, piece{bytes: []byte(fmt.Sprintf(
				"GET %s2f HTTP/1.1\r\nHost: %s\r\nX-Sequoialane-Attempt-Id: %s\r\nX-Sequoialane-Deadline-Ms: 4000\r\n\r\n", r.prefix, host, id))})
			rec.add("client: GET %s2f, request %s: %v", r.prefix, id, a)
			if a.err == nil && a.status == 200 {
				served[r.prefix]++
			}
		}
	}
	rec.add("client: served %v of %d each", served, requests)
	switch {
	case served["/lepu270/"] == 0:
		return noRun
	case 4*served["/xapu221/"] < served["/lepu270/"]:
		return broken
	default:
		return held
	}
}
