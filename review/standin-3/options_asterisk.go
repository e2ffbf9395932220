package main

import (
	"fmt"
	"time"
)

// optionsAsterisk sends requests whose target is "*". No prefix begins it, since every
// prefix begins with a slash.
func optionsAsterisk(rec *record, trouble bool) int {
	const (
		host     = "jepu9.example"
		service  = "tiempos"
		requests = 12
	)
	f := newFleet(rec, smallCore)
	defer f.stop()
	fronts := f.addFronts(2)
	for _, m := range append(f.addCore(), fronts...) {
		m.start()
	}
	t := startTarget(rec, 0, service, 0, 20*time.Millisecond, f.controlAddresses())
	defer t.stop()
	put := configuration(7, []string{service}, []route{{host: host, prefix: "/", kind: "safe", service: service, timeoutMS: 4000, aimMS: 2500, maxAttempt: 2}})
	if status, text, err := callControl(f.controlAddresses(), "call=config.put", put, time.Now().Add(20*time.Second)); status != 200 {
		cannotRun(fmt.Errorf("config.put: %d %q %v", status, text, err))
	}
	addresses, err := resolve([]string{fronts[0].address(f.ports.directory), fronts[1].address(f.ports.directory)}, host, 0, time.Now().Add(10*time.Second))
	if err != nil {
		cannotRun(err)
	}
	time.Sleep(3 * time.Second) // config_apply_ms is 2,500
	path := "/2f"
	if trouble {
		path = "*"
	}
	unsigned, answers := 0, 0
	for n := range requests {
		id := fmt.Sprintf("9c41d07be2a35f%02x", n)
		a := send(addresses[n%len(addresses)], 4*time.Second, piece{bytes: []byte(fmt.Sprintf(
			"OPTIONS %s HTTP/1.1\r\nHost: %s\r\nX-Sequoialane-Attempt-Id: %s\r\nX-Sequoialane-Deadline-Ms: 4000\r\n\r\n", path, host, id))})
		rec.add("client: OPTIONS %s, request %s: %v; it ran %d times", path, id, a, len(t.runsOf(id)))
		if a.err == nil {
			answers++
			if a.status/100 == 2 && a.signature == "" {
				unsigned++
			}
		}
	}
	rec.add("client: %d answers, %d of them a success without the signature of a target", answers, unsigned)
	switch {
	case unsigned > 0:
		return broken
	case answers == requests:
		return held
	default:
		return noRun
	}
}
