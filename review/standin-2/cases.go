package main

import (
	"errors"
	"net/http"
	"sync"
	"time"
)

const host = "hulo84.example"

var errNoMember = errors.New("no member takes the announcement")

// lossShare is the share of the answers that each target loses, for lossTime.
const (
	lossShare = 0.4
	lossTime  = 4 * time.Second
)

// hashShare maps an id to a number from 0 to 1.
func hashShare(id string) float64 {
	h := uint32(2166136261)
	for i := range len(id) {
		h = (h ^ uint32(id[i])) * 16777619
	}
	return float64(h%1000) / 1000
}

// volley sends requests, one each gap, in turn to the addresses, and waits for them.
func (c *caseRun) volley(addresses []string, n int, gap time.Duration, method string, uri func(i int) string) []answer {
	list := make([]answer, n)
	var wg sync.WaitGroup
	for i := range n {
		wg.Add(1)
		go func() {
			defer wg.Done()
			list[i] = send(c.rec, addresses[i%len(addresses)], host, method, uri(i), "", 4*time.Second)
		}()
		time.Sleep(gap)
	}
	wg.Wait()
	return list
}

// escapedSlash: an unsafe route, and below it a safe one. The paths of the requests
// begin with the prefix of the unsafe route only: their next slash is escaped.
func escapedSlash(c *caseRun) (int, error) {
	text := config(7, host, []rule{
		{"consent", "unsafe", "/licencas/", "licencas", 2500},
		{"lookup", "safe", "/licencas/estado/", "licencas", 2500},
	}, "licencas")
	targets, err := c.begin(text, "licencas", 3)
	if err != nil {
		return notRun, err
	}
	addresses, err := c.addresses(host)
	if err != nil {
		return notRun, err
	}
	if c.trouble {
		for _, t := range targets[:len(targets)*6/10] {
			t.fail(lossShare, losesIt, lossTime)
		}
	}
	list := c.volley(addresses, 80, 50*time.Millisecond, http.MethodPost, func(int) string { return "/licencas/estado%2F2026" })
	time.Sleep(time.Second)
	result, lost := held, 0
	for _, a := range list {
		if n := len(c.runs.byID()[a.id]); n > 1 {
			c.rec.say("TWICE: request %s on the unsafe route has run %d times", a.id, n)
			result = broken
		}
		if a.status != 200 {
			lost++
		}
	}
	c.rec.say("%d requests, %d without a success", len(list), lost)
	return result, nil
}

const (
	// longWork makes the other targets full, so that clients need this one.
	longWork = 200 * time.Millisecond
	// servesOn is how long a draining target serves after its acknowledgement: drain_ms
	// and a little longer.
	servesOn = drainMS*time.Millisecond + 3*time.Second
)

// bornBack: the clock of a target's machine is two seconds ahead when it starts, and
// right again when it restarts under its id.
func bornBack(c *caseRun) (int, error) {
	text := config(7, host, []rule{{"consent", "unsafe", "/licencas/", "licencas", 2500}}, "licencas")
	targets, err := c.begin(text, "licencas", 1)
	if err != nil {
		return notRun, err
	}
	for _, t := range targets {
		t.work = longWork
	}
	ahead := time.Duration(0)
	if c.trouble {
		ahead = 2 * time.Second
	}
	first, err := newTarget(c.fleet, c.rec, c.runs, "i-again", "licencas", zones[0], "127.0.0.1:0", time.Now().Add(ahead).UnixMilli())
	if err != nil {
		return notRun, err
	}
	if !first.announce("ready") {
		return notRun, errNoMember
	}
	time.Sleep(time.Second)
	c.rec.add("target i-again crashes and starts again under its id")
	first.crash()
	time.Sleep(200 * time.Millisecond)
	again, err := newTarget(c.fleet, c.rec, c.runs, "i-again", "licencas", zones[0], first.address, time.Now().UnixMilli())
	if err != nil {
		return notRun, err
	}
	if !again.announce("ready") {
		return notRun, errNoMember
	}
	again.work = longWork
	go again.beat()
	addresses, err := c.addresses(host)
	if err != nil {
		return notRun, err
	}
	uri := func(int) string { return "/licencas/2f" }
	c.volley(addresses, 120, 40*time.Millisecond, http.MethodPost, uri)
	if !again.announce("draining") {
		return notRun, errNoMember
	}
	acknowledged := time.Now()
	exited := make(chan struct{})
	go func() {
		defer close(exited)
		time.Sleep(servesOn)
		again.leave()
		c.rec.add("target i-again exits")
		again.crash()
	}()
	list := c.volley(addresses, 160, 40*time.Millisecond, http.MethodPost, uri)
	<-exited
	time.Sleep(time.Second)
	result, late := held, 0
	for _, a := range list {
		for _, r := range c.runs.byID()[a.id] {
			if r.target == again.id && a.status != http.StatusOK {
				c.rec.say("request %s was at work at target %s when it exited, and got %d", a.id, again.id, a.status)
			}
		}
	}
	c.runs.mu.Lock()
	defer c.runs.mu.Unlock()
	for _, r := range c.runs.list {
		if r.target == again.id && r.arrived.Sub(acknowledged) > drainMS*time.Millisecond {
			late++
		}
	}
	if late > 0 {
		c.rec.say("DRAIN: %d requests reached target %s later than %d ms after the acknowledgement that it is draining", late, again.id, drainMS)
		result = broken
	}
	return result, nil
}
