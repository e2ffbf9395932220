package main

import (
	"context"
	"errors"
	"time"
)

const (
	beforeCut = 6 * time.Second
	cutFor    = 5 * time.Second  // as long as the kinds of the bench last by default
	afterCut  = 70 * time.Second // of which the first, settle, is not judged
	settle    = 8 * time.Second  // twice connectivity_window_ms
	laterRate = 45.0             // requests a second of the route that is added later
	firstRate = 30.0             // requests a second of the first route
)

// serviceCut cuts the targets of one service off from all machines for some
// seconds. The service has a route that was added later.
func serviceCut(ctx context.Context, f *fleet, trouble bool) (int, error) {
	for _, zone := range []string{"norte-a", "centro-a", "sul-a", "norte-b", "centro-b"} {
		f.addControl(zone, true)
	}
	for _, zone := range []string{"norte-a", "centro-a", "sul-a"} {
		f.addEntry(zone)
	}
	if err := f.startAll(); err != nil {
		return cannotRun, err
	}
	services := []string{"registo", "licencas"}
	routes := []route{{host: "orders.example", name: "order", kind: "unsafe", prefix: "/orders/", service: "registo", objectiveMS: 800, timeoutMS: 2500, attempts: 2, priority: 1}}
	if status, _ := f.put(1, configuration(1, routes, services), 20*time.Second); status != 200 {
		return cannotRun, errors.New("the first configuration was not acknowledged")
	}
	var cut []*target
	for _, service := range services {
		for i, zone := range []string{"norte-a", "centro-a", "sul-a", "norte-b", "centro-b", "sul-b"} {
			t := f.newTarget("i-"+service+"-"+itoa(int64(i)), service, zone, 2, 100*time.Millisecond)
			if err := t.start(ctx); err != nil {
				return cannotRun, err
			}
			if service == "licencas" {
				cut = append(cut, t)
			}
		}
	}
	sleep(ctx, 4*time.Second)
	routes = append(routes, route{host: "consents.example", name: "consent", kind: "unsafe", prefix: "/consents/", service: "licencas", objectiveMS: 800, timeoutMS: 2500, attempts: 2, priority: 1})
	if status, _ := f.put(2, configuration(2, routes, services), 4*time.Second); status != 200 {
		return cannotRun, errors.New("the added route was not acknowledged")
	}
	sleep(ctx, 3*time.Second)
	first, later := newClients(f, "orders.example"), newClients(f, "consents.example")
	load, stop := context.WithCancel(ctx)
	defer stop()
	began := time.Now()
	go first.keepSending(load, firstRate, "/orders/1")
	go later.keepSending(load, laterRate, "/consents/1")
	sleep(ctx, beforeCut)
	cutAt := time.Now()
	if trouble {
		f.record.add("platform: the targets of licencas are cut off from all machines")
		for _, t := range cut {
			t.cutOff()
		}
	}
	sleep(ctx, cutFor)
	if trouble {
		for _, t := range cut {
			if err := t.join(); err != nil {
				return cannotRun, err
			}
		}
		f.record.add("platform: the cut has ended")
	}
	healed := time.Now()
	sleep(ctx, afterCut)
	stop()
	end := time.Now()
	first.wg.Wait()
	later.wg.Wait()
	for _, t := range cut {
		f.record.add("seen: target %s ran %d, rejected %d, last heartbeat acknowledged %v; %d requests arrived in the calm after the cut",
			t.id, t.ran.Load(), t.refused.Load(), t.acknowledged.Load(), t.arrivalsBetween(healed.Add(settle), end))
	}
	return f.judgeLaterRoute(first, later, [][2]time.Time{{began, cutAt}, {healed.Add(settle), end}}), nil
}

// judgeLaterRoute checks the rule over all calm spans together.
func (f *fleet) judgeLaterRoute(first, later *clients, calm [][2]time.Time) int {
	var sentFirst, servedFirst, sentLater, servedLater int
	for _, span := range calm {
		sent, served, _ := first.count(span[0], span[1])
		sentFirst, servedFirst = sentFirst+sent, servedFirst+served
		sent, served, statuses := later.count(span[0], span[1])
		sentLater, servedLater = sentLater+sent, servedLater+served
		f.record.add("seen from %.1f s to %.1f s, calm: %d of %d requests of the later route served, statuses %v",
			span[0].Sub(f.record.started).Seconds(), span[1].Sub(f.record.started).Seconds(), served, sent, statuses)
	}
	shareFirst, shareLater := float64(servedFirst)/float64(max(sentFirst, 1)), float64(servedLater)/float64(max(sentLater, 1))
	f.record.add("seen in all calm time: first route %d of %d served (%.3f), later route %d of %d (%.3f)", servedFirst, sentFirst, shareFirst, servedLater, sentLater, shareLater)
	if sentLater >= 20 && shareLater < shareFirst/4 {
		return broken
	}
	return held
}
