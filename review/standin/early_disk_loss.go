package main

import (
	"context"
	"os"
	"time"
)

// diskLossAfter is when the machine loses its disk, after the first one started.
const diskLossAfter = 800 * time.Millisecond

// earlyDiskLoss loses the disk of one control machine soon after the first start.
func earlyDiskLoss(ctx context.Context, f *fleet, trouble bool) (int, error) {
	for _, zone := range []string{"norte-a", "centro-a", "sul-a", "norte-b", "centro-b"} {
		f.addControl(zone, true)
	}
	for _, zone := range []string{"norte-a", "centro-a", "sul-a"} {
		f.addEntry(zone)
	}
	started := time.Now()
	if err := f.startAll(); err != nil {
		return cannotRun, err
	}
	sleep(ctx, diskLossAfter-time.Since(started))
	if trouble {
		lost := f.controls[0]
		lost.kill()
		_ = os.RemoveAll(lost.dataFolder)
		f.record.add("platform: %s has lost its disk", lost.name)
		sleep(ctx, time.Second)
		lost.bootstrap = false
		if err := lost.start(); err != nil {
			return cannotRun, err
		}
	}
	f.record.add("platform: all machines run, nothing else is done to them from here")
	routes := []route{{host: "orders.example", name: "lookup", kind: "safe", prefix: "/orders/", service: "registo", objectiveMS: 800, timeoutMS: 2000, attempts: 2}}
	f.put(1, configuration(1, routes, []string{"registo"}), 80*time.Second)
	result := f.judgeReadBack()
	sleep(ctx, 2*time.Second)
	ready := 0
	for _, m := range f.entries {
		if m.ready() {
			ready++
		}
	}
	f.record.add("seen: entries that say they are ready: %d of %d", ready, len(f.entries))
	return result, nil
}
