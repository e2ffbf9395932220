package main

import (
	"context"
	"errors"
	"time"
)

const (
	cutFor      = 5 * time.Second // as long as the kinds of the bench last by default
	laterRate   = 45              // requests a second of the route that is added later
	firstRate   = 30              // requests a second of the first route
	settleAfter = 5 * time.Second // more than connectivity_window_ms
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
			t, err := f.startTarget(ctx, "i-"+service+"-"+itoa(int64(i)), service, zone, 2, 100*time.Millisecond)
			if err != nil {
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
	first, later := newClients(f), newClients(f)
	load, stop := context.WithCancel(ctx)
	go first.keepSending(load, firstRate, "orders.example", "/orders/1")
	go later.keepSending(load, laterRate, "consents.example", "/consents/1")
	sleep(ctx, 8*time.Second)
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
	sleep(ctx, 40*time.Second)
	stop()
	first.wg.Wait()
	later.wg.Wait()
	for _, t := range cut {
		f.record.add("target %s: ran %d, refused %d, last heartbeat acknowledged %v", t.id, t.ran.Load(), t.refused.Load(), t.acknowledged.Load())
	}
	result := held
	for at := healed.Add(settleAfter); at.Before(healed.Add(38 * time.Second)); at = at.Add(4 * time.Second) {
		end := at.Add(4 * time.Second)
		sentFirst, servedFirst, _ := first.count(at, end)
		sentLater, servedLater, statuses := later.count(at, end)
		shareFirst, shareLater := float64(servedFirst)/float64(max(sentFirst, 1)), float64(servedLater)/float64(max(sentLater, 1))
		arrivals := 0
		for _, t := range cut {
			arrivals += t.arrivalsBetween(at, end)
		}
		breach := sentLater >= 20 && shareLater < shareFirst/4
		f.record.add("seen from %.1f s, %.1f s after the cut: first route %d of %d served; later route %d of %d served, statuses %v, %d arrivals at its six targets; CONFIG broken: %v",
			at.Sub(f.record.started).Seconds(), at.Sub(healed).Seconds(), servedFirst, sentFirst, servedLater, sentLater, statuses, arrivals, breach)
		if breach {
			result = broken
		}
	}
	return result, nil
}
