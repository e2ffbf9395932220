package main

import (
	"context"
	"encoding/json"
	"errors"
	"time"
)

const (
	floorShare = 0.7
	perSecond  = 70 // requests of all clients
)

// forgedBeat plays another writer, which sends a heartbeat without the field
// "version" for the addresses of three of six sound targets.
func forgedBeat(ctx context.Context, f *fleet, trouble bool) (int, error) {
	for _, zone := range []string{"norte-a", "centro-a", "sul-a", "norte-b", "centro-b"} {
		f.addControl(zone, true)
	}
	for _, zone := range []string{"norte-a", "centro-a", "sul-a"} {
		f.addEntry(zone)
	}
	if err := f.startAll(); err != nil {
		return cannotRun, err
	}
	routes := []route{{host: "consents.example", name: "consent", kind: "unsafe", prefix: "/consents/", service: "licencas", objectiveMS: 800, timeoutMS: 2500, attempts: 2, priority: 1}}
	if status, _ := f.put(1, configuration(1, routes, []string{"licencas"}), 20*time.Second); status != 200 {
		return cannotRun, errors.New("the first configuration was not acknowledged")
	}
	var targets []*target
	for i, zone := range []string{"norte-a", "centro-a", "sul-a", "norte-b", "centro-b", "sul-b"} {
		t := f.newTarget("i-sound-"+itoa(int64(i)), "licencas", zone, 2, 100*time.Millisecond)
		if err := t.start(ctx); err != nil {
			return cannotRun, err
		}
		targets = append(targets, t)
	}
	sleep(ctx, 4*time.Second)
	c := newClients(f, "consents.example")
	load, stop := context.WithCancel(ctx)
	defer stop()
	go c.keepSending(load, perSecond, "/consents/1")
	sleep(ctx, 8*time.Second)
	before := time.Now()
	sent, served, statuses := c.count(before.Add(-4*time.Second), before)
	f.record.add("seen before: %d of %d requests served, statuses %v", served, sent, statuses)
	for i, t := range targets[3:] {
		beat := t.announcement("ready")
		beat["born"] = time.Now().UnixMilli()
		delete(beat["info"].(map[string]any), "version")
		text, _ := json.Marshal(beat)
		if !trouble {
			f.record.add("other writer: sends nothing")
			continue
		}
		status, _ := callControl(f.controlAddresses()[i], "instances.heartbeat&of=i-other-"+itoa(int64(i)), text)
		f.record.add("other writer: heartbeat %s: status %d", text, status)
	}
	sleep(ctx, 30*time.Second)
	stop()
	c.wg.Wait()
	return f.judgeFloor(c, targets, before.Add(4*time.Second), before.Add(28*time.Second)), nil
}

// judgeFloor checks the rule FLOOR on each span of two seconds.
func (f *fleet) judgeFloor(c *clients, targets []*target, from, to time.Time) int {
	result := held
	for at := from; at.Before(to); at = at.Add(2 * time.Second) {
		used := 0
		var arrivals []int
		for _, t := range targets {
			n := t.arrivalsBetween(at, at.Add(2*time.Second))
			arrivals = append(arrivals, n)
			if n > 0 {
				used++
			}
		}
		sent, served, statuses := c.count(at, at.Add(2*time.Second))
		share, unserved := float64(used)/float64(len(targets)), 1-float64(served)/float64(max(sent, 1))
		breach := used > 0 && share < floorShare && unserved > 0.1 && unserved < 0.5
		f.record.add("seen from %.1f s: arrivals at the six sound targets %v; %d of %d requests served, statuses %v; FLOOR broken: %v",
			at.Sub(f.record.started).Seconds(), arrivals, served, sent, statuses, breach)
		if breach {
			result = broken
		}
	}
	for _, t := range targets {
		f.record.add("target %s at %s: ran %d, full %d, misdirected %d, last heartbeat acknowledged %v", t.id, t.address, t.ran.Load(), t.refused.Load(), t.misdirected.Load(), t.acknowledged.Load())
	}
	return result
}
