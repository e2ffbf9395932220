package main

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

const (
	memoryMB   = 284 // of an entry on the small sites
	memoryScan = 20 * time.Millisecond
)

// resident returns the resident memory of the process of a machine in bytes; 0: it has
// ended.
func (m *machine) resident() int64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/statm", m.cmd.Process.Pid))
	fields := strings.Fields(string(text))
	if err != nil || len(fields) < 2 {
		return 0
	}
	pages, _ := strconv.ParseInt(fields[1], 10, 64)
	return pages * int64(os.Getpagesize())
}

// memoryGuard kills a process that uses more than its memory and starts it again, as the
// platform does, until stopped is closed.
func (m *machine) memoryGuard(stopped <-chan struct{}, ends *atomic.Int64, most *atomic.Int64) {
	for {
		select {
		case <-stopped:
			return
		case <-time.After(memoryScan):
		}
		used := m.resident()
		for {
			seen := most.Load()
			if used <= seen || most.CompareAndSwap(seen, used) {
				break
			}
		}
		if used <= memoryMB<<20 {
			continue
		}
		m.fleet.rec.add("platform: %s uses %d MB of %d: killed", m.name, used>>20, memoryMB)
		ends.Add(1)
		m.kill()
		time.Sleep(restartDelay)
		m.start()
	}
}

// resolveNames has a few clients that no operator controls ask two entries, one after the
// other, where to connect, each time for another name.
func resolveNames(rec *record, trouble bool) int {
	const (
		host, service = "jepu9.example", "tiempos"
		entries       = 15 // with five core machines a tenth are two
		askers        = 8  // connections, to one entry at a time
		asking        = 40 * time.Second
		endsThatBreak = 3
	)
	f := newFleet(rec, smallCore)
	defer f.stop()
	fronts := f.addFronts(entries)
	for _, m := range append(f.addCore(), fronts...) {
		m.start()
	}
	t := startTarget(rec, 0, service, 0, 20*time.Millisecond, f.controlAddresses())
	defer t.stop()
	put := configuration(7, []string{service}, []route{{host: host, prefix: "/lepu270/", kind: "safe", service: service, timeoutMS: 4000, aimMS: 2500, maxAttempt: 2}})
	if status, text, err := callControl(f.controlAddresses(), "call=config.put", put, time.Now().Add(20*time.Second)); status != 200 {
		cannotRun(fmt.Errorf("config.put: %d %q %v", status, text, err))
	}
	time.Sleep(5 * time.Second)
	asked := fronts[:2] // a tenth of the machines in use, two at least
	stopped := make(chan struct{})
	var ends, most [2]atomic.Int64
	var questions, answers atomic.Int64
	var guards, clients sync.WaitGroup
	for i, m := range asked {
		guards.Go(func() { m.memoryGuard(stopped, &ends[i], &most[i]) })
	}
	for i, m := range asked {
		until := time.Now().Add(asking)
		enough := func() bool { return ends[i].Load() >= endsThatBreak || time.Now().After(until) }
		for n := range askers {
			clients.Go(func() {
				for q := 0; !enough(); {
					name := func() string {
						q++
						if trouble {
							return fmt.Sprintf("n%d-%d-%d.example", i, n, q)
						}
						return host
					}
					ask(m.address(f.ports.directory), name, enough, &questions, &answers)
					time.Sleep(50 * time.Millisecond)
				}
			})
		}
		clients.Wait()
	}
	close(stopped)
	guards.Wait()
	for i, m := range asked {
		rec.add("platform: %s ended %d times for want of memory; at most %d MB of %d", m.name, ends[i].Load(), most[i].Load()>>20, memoryMB)
	}
	rec.add("clients: %d questions, %d answers with addresses", questions.Load(), answers.Load())
	switch {
	case ends[0].Load() >= endsThatBreak && ends[1].Load() >= endsThatBreak:
		return broken
	case answers.Load() == 0:
		return noRun
	default:
		return held
	}
}

// ask sends questions on one connection, one after the other, until it ends.
func ask(address string, name func() string, enough func() bool, questions, answers *atomic.Int64) {
	c, err := net.DialTimeout("tcp4", address, time.Second)
	if err != nil {
		return
	}
	defer c.Close()
	reader := bufio.NewReader(c)
	for !enough() {
		_ = c.SetDeadline(time.Now().Add(time.Second))
		if _, err := fmt.Fprintf(c, "GET /resolve?name=%s HTTP/1.1\r\nHost: directory.example\r\n\r\n", name()); err != nil {
			return
		}
		questions.Add(1)
		response, err := http.ReadResponse(reader, nil)
		if err != nil {
			return
		}
		body := make([]byte, 64<<10)
		read, _ := response.Body.Read(body)
		for err == nil {
			_, err = response.Body.Read(body[read:])
		}
		_ = response.Body.Close()
		if response.StatusCode == 200 {
			answers.Add(1)
		}
	}
}
