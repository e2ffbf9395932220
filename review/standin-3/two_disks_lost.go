package main

import (
	"fmt"
	"strings"
	"time"
)

// twoDisksLost has two of six machines of the core lose power, later a third one, and
// then two others their disks while these are down. All are back a second later. The
// deployment tolerates the loss of two machines with a disk; no more than two disks are
// lost.
func twoDisksLost(rec *record, trouble bool) int {
	const (
		core    = 6 // arvoredo-tpo-grown has core machines in six zones
		service = "licencas"
		host    = "hulo84.example"
		version = 7
		settle  = 8 * time.Second // after the first acknowledgement; connectivity_window_ms is 4,000
		down    = 6 * time.Second // between the losses; catch_up_s is 6
		// waitAfter is how long the operator reads after all machines are back.
		// recovery_s is 15.
		waitAfter = 45 * time.Second
	)
	f := newFleet(rec, core)
	defer f.stop()
	members, fronts := f.addCore(), f.addFronts(2)
	for _, m := range append(members, fronts...) {
		m.start()
	}
	t := startTarget(rec, 0, service, 0, 50*time.Millisecond, f.controlAddresses())
	defer t.stop()
	put := configuration(version, []string{service}, []route{{host: host, prefix: "/xapu221/", kind: "unsafe", service: service, timeoutMS: 5000, aimMS: 2500, maxAttempt: 2}})
	status, text, err := callControl(f.controlAddresses(), "call=config.put", put, time.Now().Add(20*time.Second))
	rec.add("operator: config.put %08x: status %d, %q, error %v", version, status, text, err)
	if status != 200 {
		return noRun
	}
	time.Sleep(settle)
	if trouble {
		powerless, diskless := members[3:6], members[0:2]
		powerless[1].kill()
		powerless[2].kill()
		time.Sleep(down)
		read(rec, f, "with two machines down", 5*time.Second)
		powerless[0].kill()
		time.Sleep(down)
		read(rec, f, "with three machines down", 5*time.Second)
		for _, m := range diskless {
			m.kill()
		}
		for _, m := range diskless {
			m.loseDisk()
		}
		time.Sleep(time.Second)
		for _, m := range append(diskless, powerless...) {
			m.start()
		}
	}
	back := time.Now()
	text, ok := read(rec, f, "after all machines are back", waitAfter)
	rec.add("operator: read %.1f s after all machines were back: %v", time.Since(back).Seconds(), ok)
	if !ok || !strings.Contains(text, fmt.Sprintf("%08x", version)) {
		status, text, err := callControl(f.controlAddresses(), "call=config.put", put, time.Now().Add(5*time.Second))
		rec.add("operator: the same config.put again: status %d, %q, error %v", status, text, err)
		return broken
	}
	return held
}

// read reads the configuration at any node until it comes.
func read(rec *record, f *fleet, when string, limit time.Duration) (string, bool) {
	status, text, err := callControl(f.controlAddresses(), "call=config.get", nil, time.Now().Add(limit))
	rec.add("operator: config.get %s: status %d, %.40q, error %v", when, status, text, err)
	return text, status == 200
}
