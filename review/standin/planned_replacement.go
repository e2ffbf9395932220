package main

import (
	"context"
	"errors"
	"os"
	"syscall"
	"time"
)

// plannedReplacement replaces one of three control machines as planned: the new
// one starts first, then the old one gets SIGTERM. Much later another control
// machine is lost for good, and an empty one comes in its place.
func plannedReplacement(ctx context.Context, f *fleet, trouble bool) (int, error) {
	for _, zone := range []string{"norte-a", "centro-a", "sul-a"} {
		f.addControl(zone, true)
	}
	for _, zone := range []string{"norte-a", "centro-a", "sul-a"} {
		f.addEntry(zone)
	}
	if err := f.startAll(); err != nil {
		return cannotRun, err
	}
	routes := []route{{host: "orders.example", name: "lookup", kind: "safe", prefix: "/orders/", service: "registo", objectiveMS: 800, timeoutMS: 2000, attempts: 2}}
	services := []string{"registo"}
	if status, _ := f.put(1, configuration(1, routes, services), 20*time.Second); status != 200 {
		return cannotRun, errors.New("the first configuration was not acknowledged")
	}
	sleep(ctx, 4*time.Second)
	old := f.controls[0]
	if trouble {
		f.record.add("platform: planned replacement of %s", old.name)
		if err := f.addControl(old.zone, false).start(); err != nil {
			return cannotRun, err
		}
	}
	sleep(ctx, catchUp+time.Second)
	if trouble {
		f.removeControl(old)
		old.signal(syscall.SIGTERM)
		<-old.ended
		_ = os.RemoveAll(old.dataFolder)
	}
	sleep(ctx, 20*time.Second)
	status, _ := f.put(2, configuration(2, routes, services), 10*time.Second)
	if status != 200 {
		f.record.add("platform: the change after the replacement was not acknowledged")
	}
	if trouble {
		lost := f.controls[0]
		f.record.add("platform: %s is gone for good", lost.name)
		lost.kill()
		_ = os.RemoveAll(lost.dataFolder)
		f.removeControl(lost)
		sleep(ctx, time.Second)
		if err := f.addControl(lost.zone, false).start(); err != nil {
			return cannotRun, err
		}
	}
	sleep(ctx, catchUp+time.Second)
	f.record.add("platform: three control machines run, nothing else is done to them from here")
	f.put(3, configuration(3, routes, services), 40*time.Second)
	return f.judgeReadBack(), nil
}
