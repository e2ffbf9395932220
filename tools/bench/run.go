package main

import (
	"sync"
	"time"

	"github.com/sequoialane/sequoialane/tools/bench/fleet"
	"github.com/sequoialane/sequoialane/tools/bench/loopback"
	"github.com/sequoialane/sequoialane/tools/bench/scenario"
	"github.com/sequoialane/sequoialane/tools/bench/virtual"
)

var (
	faultKinds = []fleet.FaultKind{fleet.Slow, fleet.HalfErrors, fleet.Silent, fleet.Flapping, fleet.OneWay}
	policies   = []string{ours, "no_ejection", "round_robin", "least", "power_of_two", "ideal_queue"}
)

// service is a service under load. A probe takes about 25 ms, so the usual
// request is taken to be as long.
type service struct {
	spec       fleet.Spec
	short      time.Duration
	idempotent float64
	loads      []float64 // of detection
}

var services = []service{
	{scenario.Consents, 25 * time.Millisecond, 0.2, []float64{0.3, 0.6, 0.85}},
	{scenario.Arrivals, 25 * time.Millisecond, 1, []float64{0.6}},
}

// pool runs jobs with a bound on how many run at once, and keeps the order of
// their results.
type pool struct {
	slots chan struct{}
	wait  sync.WaitGroup
}

func newPool(size int) *pool { return &pool{slots: make(chan struct{}, size)} }

func collect[T any](p *pool, results *[]T, job func() T) {
	index := len(*results)
	var none T
	*results = append(*results, none)
	p.wait.Add(1)
	go func() {
		defer p.wait.Done()
		p.slots <- struct{}{}
		result := job()
		<-p.slots
		p.store(func() { (*results)[index] = result })
	}()
}

var storeLock sync.Mutex

func (p *pool) store(f func()) {
	storeLock.Lock()
	defer storeLock.Unlock()
	f()
}

func run(inVirtualTime, overLoopback bool, parallel int) *Report {
	report := &Report{}
	if inVirtualTime {
		report.Virtual = runVirtual(parallel)
	}
	if overLoopback {
		report.Loopback = runLoopback()
	}
	return report
}

func runVirtual(parallel int) Results {
	var r Results
	p := newPool(parallel)
	p.store(func() {
		for _, s := range services {
			addDetections(p, &r, virtual.Run, s, 13, 10*time.Second, 6*time.Second)
		}
		for seed := range uint64(3) {
			addQuiet(p, &r, virtual.Run, services[0], 10*time.Minute, seed)
		}
		for _, s := range services {
			for _, name := range policies {
				addCrest(p, &r, virtual.Run, s, name, 4)
			}
			for _, name := range policies {
				addBlocking(p, &r, virtual.Run, s, 40*time.Second, name)
			}
		}
	})
	p.wait.Wait()
	return r
}

// runLoopback measures consents only, in groups of runs, so that the load on
// the machine stays small.
func runLoopback() Results {
	var r Results
	s := services[0]
	s.loads = []float64{0.6}
	group := func(add func(p *pool)) {
		p := newPool(len(faultKinds))
		p.store(func() { add(p) })
		p.wait.Wait()
	}
	group(func(p *pool) { addDetections(p, &r, loopback.Run, s, 4, 8*time.Second, 4*time.Second) })
	group(func(p *pool) {
		addQuiet(p, &r, loopback.Run, s, time.Minute, 1)
		addBlocking(p, &r, loopback.Run, s, 15*time.Second, ours)
	})
	group(func(p *pool) {
		addBlocking(p, &r, loopback.Run, s, 15*time.Second, "power_of_two")
		addBlocking(p, &r, loopback.Run, s, 15*time.Second, "ideal_queue")
	})
	for _, names := range [][]string{policies[:3], policies[3:]} {
		group(func(p *pool) {
			for _, name := range names {
				addCrest(p, &r, loopback.Run, s, name, 1)
			}
		})
	}
	return r
}

func addDetections(p *pool, r *Results, engine scenario.Engine, s service, count int, length, gap time.Duration) {
	for _, load := range s.loads {
		for _, kind := range faultKinds {
			c := scenario.DetectionCase{
				Spec: s.spec, Short: s.short, Idempotent: s.idempotent, Load: load, Kind: kind,
				Count: count, Length: length, Gap: gap,
			}
			collect(p, &r.Detections, func() scenario.Detection {
				return c.Run(engine, scenario.Policies()[ours](), 1)
			})
		}
	}
}

func addQuiet(p *pool, r *Results, engine scenario.Engine, s service, length time.Duration, seed uint64) {
	collect(p, &r.Quiets, func() scenario.Quiet {
		return scenario.RunQuiet(engine, s.spec, s.short, s.idempotent, length, scenario.Policies()[ours](), seed)
	})
}

func addCrest(p *pool, r *Results, engine scenario.Engine, s service, name string, seeds uint64) {
	collect(p, &r.Crests, func() scenario.Crest {
		return scenario.RunCrest(engine, s.spec, s.short, s.idempotent, name, seeds)
	})
}

func addBlocking(p *pool, r *Results, engine scenario.Engine, s service, length time.Duration, name string) {
	for _, stragglers := range []float64{0, 0.01} {
		collect(p, &r.Blockings, func() scenario.Blocking {
			return scenario.RunBlocking(engine, s.spec, s.short, s.idempotent, stragglers, length, name, 1)
		})
	}
}
