package main

import (
	"context"
	"errors"
	"os"
	"time"
)

// coreReplaced loses one control machine for good after the other. An empty
// machine comes a second after each loss, at another address, and the next loss
// follows once the new one has had the time to catch up.
func coreReplaced(ctx context.Context, f *fleet, trouble bool) (int, error) {
	for _, zone := range []string{"norte-a", "centro-a", "sul-a", "norte-b", "centro-b"} {
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
	version := 1
	if status, _ := f.put(version, configuration(version, routes, services), 20*time.Second); status != 200 {
		return cannotRun, errors.New("the first configuration was not acknowledged")
	}
	sleep(ctx, 4*time.Second) // all five machines have joined
	const losses = 4
	for i := 0; i < losses; i++ {
		lost := f.leader()
		if lost == nil {
			f.record.add("platform: no control machine leads before loss %d", i+1)
			break
		}
		if trouble {
			f.record.add("platform: loss %d: %s is gone for good", i+1, lost.name)
			lost.kill()
			_ = os.RemoveAll(lost.dataFolder)
			f.removeControl(lost)
		}
		sleep(ctx, time.Second)
		if trouble {
			if err := f.addControl(lost.zone, false).start(); err != nil {
				return cannotRun, err
			}
		}
		sleep(ctx, catchUp+500*time.Millisecond)
		if i < losses-1 {
			version++
			go func(v int) { f.put(v, configuration(v, routes, services), 4*time.Second) }(version)
		}
	}
	// All machines run, undisturbed, for the rest of the case.
	f.record.add("platform: five control machines run, nothing else is done to them from here")
	version++
	f.put(version, configuration(version, routes, services), 40*time.Second)
	return f.judgeReadBack(), nil
}

// startAll starts all machines, within 0.3 s.
func (f *fleet) startAll() error {
	for _, m := range f.machines {
		if err := m.start(); err != nil {
			return err
		}
		time.Sleep(15 * time.Millisecond)
	}
	return nil
}
