package main

import (
	"syscall"
	"time"
)

const (
	// killAfter is when the processes of the core are killed, after the start of the
	// first one.
	killAfter = 700 * time.Millisecond
	// waitAfter is how long the operator and a client try after the processes are back.
	// recovery_s is 15.
	waitAfter = 60 * time.Second
)

// coreKilledEarly kills all processes of the core soon after the first start of the
// whole system. They are back within a second, with their disks. Then an operator sends
// the first configuration until it is accepted, and a client sends a request.
func coreKilledEarly(rec *record, trouble bool) int {
	f := newFleet(rec, smallCore)
	defer f.stop()
	core, fronts := f.addCore(), f.addFronts(2)
	started := time.Now()
	for _, m := range append(core, fronts...) {
		m.start()
	}
	const service, host = "viajes", "hulo84.example"
	t := startTarget(rec, 0, service, 0, 50*time.Millisecond, f.controlAddresses())
	defer t.stop()
	if trouble {
		time.Sleep(time.Until(started.Add(killAfter)))
		for _, m := range core {
			m.signal(syscall.SIGKILL)
		}
		for _, m := range core {
			if !m.wait(time.Second) {
				return noRun
			}
		}
		time.Sleep(restartDelay)
		for _, m := range core {
			m.start()
		}
	}
	back := time.Now()
	until := back.Add(waitAfter)
	put := configuration(7, []string{service}, []route{{host: host, prefix: "/xapu221/", kind: "unsafe", service: service, timeoutMS: 5000, aimMS: 2500, maxAttempt: 2}})
	status, text, err := callControl(f.controlAddresses(), "call=config.put", put, until)
	rec.add("operator: config.put 00000007 %.1f s after the core was back: status %d, %q, error %v", time.Since(back).Seconds(), status, text, err)
	if status != 200 {
		status, text, err = callControl(f.controlAddresses(), "call=config.get", nil, time.Now().Add(8*time.Second))
		rec.add("operator: config.get: status %d, %q, error %v", status, text, err)
		addresses, err := resolve([]string{fronts[0].address(f.ports.directory), fronts[1].address(f.ports.directory)}, host, 0, time.Now().Add(2*time.Second))
		rec.add("client: resolve: %v, error %v", addresses, err)
		return broken
	}
	for time.Now().Before(until) {
		addresses, err := resolve([]string{fronts[0].address(f.ports.directory), fronts[1].address(f.ports.directory)}, host, 0, until)
		if err != nil {
			rec.add("client: resolve: %v", err)
			return broken
		}
		a := send(addresses[0], 5*time.Second, piece{bytes: []byte("POST /xapu221/2f HTTP/1.1\r\nHost: " + host + "\r\nX-Sequoialane-Attempt-Id: 9c41d07be2a35f68\r\nX-Sequoialane-Deadline-Ms: 5000\r\nContent-Length: 2\r\n\r\nok")})
		rec.add("client: %v", a)
		if a.status == 200 {
			return held
		}
		time.Sleep(time.Second)
	}
	return broken
}
