package main

import (
	"fmt"
	"time"
)

// encodedPath sends requests whose path holds an encoded slash. The longest prefix that
// begins the path is that of the first service; the decoded path begins with the longer
// prefix of the second one.
func encodedPath(rec *record, trouble bool) int {
	const (
		host     = "jepu9.example"
		reads    = "tiempos"
		ledger   = "viajes"
		requests = 12
	)
	f := newFleet(rec, smallCore)
	defer f.stop()
	fronts := f.addFronts(2)
	for _, m := range append(f.addCore(), fronts...) {
		m.start()
	}
	first := startTarget(rec, 0, reads, 0, 20*time.Millisecond, f.controlAddresses())
	defer first.stop()
	second := startTarget(rec, 1, ledger, 1, 20*time.Millisecond, f.controlAddresses())
	defer second.stop()
	put := configuration(7, []string{reads, ledger}, []route{
		{host: host, prefix: "/lepu270/", kind: "safe", service: reads, timeoutMS: 4000, aimMS: 2500, maxAttempt: 2},
		{host: host, prefix: "/lepu270/2f/", kind: "unsafe", service: ledger, timeoutMS: 5000, aimMS: 2500, maxAttempt: 2},
	})
	if status, text, err := callControl(f.controlAddresses(), "call=config.put", put, time.Now().Add(20*time.Second)); status != 200 {
		cannotRun(fmt.Errorf("config.put: %d %q %v", status, text, err))
	}
	path := "/lepu270/2f-7"
	if trouble {
		path = "/lepu270/2f%2F7"
	}
	addresses, err := resolve([]string{fronts[0].address(f.ports.directory), fronts[1].address(f.ports.directory)}, host, 0, time.Now().Add(10*time.Second))
	if err != nil {
		cannotRun(err)
	}
	time.Sleep(3 * time.Second) // config_apply_ms is 2,500
	served, foreign := 0, 0
	for n := range requests {
		id := fmt.Sprintf("9c41d07be2a35f%02x", n)
		a := send(addresses[n%len(addresses)], 4*time.Second, piece{bytes: []byte(fmt.Sprintf(
			"GET %s HTTP/1.1\r\nHost: %s\r\nX-Sequoialane-Attempt-Id: %s\r\nX-Sequoialane-Deadline-Ms: 4000\r\n\r\n", path, host, id))})
		rec.add("client: GET %s, request %s: %v", path, id, a)
		served += len(first.runsOf(id))
		foreign += len(second.runsOf(id))
	}
	rec.add("targets: %d runs by %s, to which the configuration sends them; %d by %s, to which it doesn't", served, reads, foreign, ledger)
	switch {
	case foreign > 0:
		return broken
	case served > 0:
		return held
	default:
		return noRun
	}
}
