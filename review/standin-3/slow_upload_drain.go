package main

import (
	"fmt"
	"strings"
	"syscall"
	"time"
)

// slowUploadDrain sends an upload whose last bytes arrive more than 3 s after the SIGTERM
// of its entry.
func slowUploadDrain(rec *record, trouble bool) int {
	const (
		service, host = "cargas", "hulo84.example"
		request       = "5b1c07ce21a34d68"
		length        = 60000                  // bytes of the body
		pieces        = 60                     // in which it is sent
		pause         = 100 * time.Millisecond // between them
		termAfter     = 1700 * time.Millisecond
		work          = 2 * time.Second
		deadline      = 12 * time.Second
	)
	f := newFleet(rec, smallCore)
	defer f.stop()
	fronts := f.addFronts(2)
	for _, m := range append(f.addCore(), fronts...) {
		m.start()
	}
	var targets []*target
	for n := range 3 {
		t := startTarget(rec, n, service, n, work, f.controlAddresses())
		defer t.stop()
		targets = append(targets, t)
	}
	put := configuration(7, []string{service}, []route{{host: host, prefix: "/xapu221/", kind: "upload", service: service, timeoutMS: 12000, aimMS: 2500, maxAttempt: 2}})
	if status, text, err := callControl(f.controlAddresses(), "call=config.put", put, time.Now().Add(20*time.Second)); status != 200 {
		cannotRun(fmt.Errorf("config.put: %d %q %v", status, text, err))
	}
	directory := []string{fronts[0].address(f.ports.directory), fronts[1].address(f.ports.directory)}
	addresses, err := resolve(directory, host, 0, time.Now().Add(10*time.Second))
	if err != nil {
		cannotRun(err)
	}
	time.Sleep(8 * time.Second) // connectivity_window_ms and twice more, all calm
	var entry *machine
	for _, m := range fronts {
		if m.address(f.ports.front) == addresses[0] {
			entry = m
		}
	}
	if entry == nil {
		cannotRun(fmt.Errorf("unknown address %s", addresses[0]))
	}
	upload := []piece{{bytes: []byte(fmt.Sprintf("POST /xapu221/2f HTTP/1.1\r\nHost: %s\r\nX-Sequoialane-Attempt-Id: %s\r\nX-Sequoialane-Deadline-Ms: %d\r\nContent-Length: %d\r\n\r\n",
		host, request, deadline.Milliseconds(), length))}}
	for range pieces {
		upload = append(upload, piece{after: pause, bytes: []byte(strings.Repeat("p", length/pieces))})
	}
	rec.add("client: begins upload %s to %s: %d bytes in %v", request, entry.name, length, pieces*pause)
	var told time.Time
	answered := make(chan answer, 1)
	go func() { answered <- send(addresses[0], deadline, upload...) }()
	time.Sleep(termAfter)
	if trouble {
		told = time.Now()
		entry.signal(syscall.SIGTERM)
	}
	a := <-answered
	rec.add("client: upload %s: %v", request, a)
	if trouble {
		rec.add("client: last byte sent %.3f s, end seen %.3f s after the SIGTERM", a.sent.Sub(told).Seconds(), a.ended.Sub(told).Seconds())
	}
	time.Sleep(work)
	runs := 0
	for _, t := range targets {
		runs += len(t.runsOf(request))
	}
	rec.add("targets: %d runs of %s", runs, request)
	switch {
	case a.err == nil:
		return held // any complete answer
	case trouble && runs > 0:
		return broken
	default:
		return noRun
	}
}
