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
	policies   = []string{ownerPolicy, "no_ejection", "round_robin", "least", "power_of_two", "ideal_queue"}
)

// service is a service under load. A probe takes about 25 ms, which is taken as
// the median service time.
type service struct {
	spec            fleet.Spec
	serviceTime     time.Duration
	idempotentShare float64
	detectionLoads  []float64 // load factors of the detection runs
}

var services = []service{
	{scenario.Consents, 25 * time.Millisecond, 0.2, []float64{0.3, 0.6, 0.85}},
	{scenario.Arrivals, 25 * time.Millisecond, 1, []float64{0.6}},
}

// pool runs jobs concurrently, up to a limit. Results are stored in the order in
// which the jobs are submitted.
type pool struct {
	semaphore chan struct{}
	wg        sync.WaitGroup
}

func newPool(size int) *pool { return &pool{semaphore: make(chan struct{}, size)} }

// submit starts a job and appends its result to results. It must be called within
// withLock, since finished jobs write to results.
func submit[T any](p *pool, results *[]T, job func() T) {
	index := len(*results)
	var zero T
	*results = append(*results, zero)
	p.wg.Add(1)
	go func() {
		defer p.wg.Done()
		p.semaphore <- struct{}{}
		result := job()
		<-p.semaphore
		p.withLock(func() { (*results)[index] = result })
	}()
}

var resultsLock sync.Mutex

func (p *pool) withLock(f func()) {
	resultsLock.Lock()
	defer resultsLock.Unlock()
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
	p.withLock(func() {
		for _, s := range services {
			addDetections(p, &r, virtual.Run, s, 13, 10*time.Second, 6*time.Second)
		}
		for seed := range uint64(3) {
			addFaultFree(p, &r, virtual.Run, services[0], 10*time.Minute, seed)
		}
		for _, s := range services {
			for _, name := range policies {
				addOverload(p, &r, virtual.Run, s, name, 4)
			}
			for _, name := range policies {
				addBlocking(p, &r, virtual.Run, s, 40*time.Second, name)
			}
		}
	})
	p.wg.Wait()
	return r
}

// runLoopback measures the service consents only and splits the runs into groups,
// to limit the load on the machine.
func runLoopback() Results {
	var r Results
	s := services[0]
	s.detectionLoads = []float64{0.6}
	runGroup := func(add func(p *pool)) {
		p := newPool(len(faultKinds))
		p.withLock(func() { add(p) })
		p.wg.Wait()
	}
	runGroup(func(p *pool) { addDetections(p, &r, loopback.Run, s, 4, 8*time.Second, 4*time.Second) })
	runGroup(func(p *pool) {
		addFaultFree(p, &r, loopback.Run, s, time.Minute, 1)
		addBlocking(p, &r, loopback.Run, s, 15*time.Second, ownerPolicy)
	})
	runGroup(func(p *pool) {
		addBlocking(p, &r, loopback.Run, s, 15*time.Second, "power_of_two")
		addBlocking(p, &r, loopback.Run, s, 15*time.Second, "ideal_queue")
	})
	for _, names := range [][]string{policies[:3], policies[3:]} {
		runGroup(func(p *pool) {
			for _, name := range names {
				addOverload(p, &r, loopback.Run, s, name, 1)
			}
		})
	}
	return r
}

func addDetections(p *pool, r *Results, engine scenario.Engine, s service, count int, length, gap time.Duration) {
	for _, load := range s.detectionLoads {
		for _, kind := range faultKinds {
			c := scenario.DetectionCase{
				Spec: s.spec, ServiceTime: s.serviceTime, IdempotentShare: s.idempotentShare, Load: load, Kind: kind,
				Count: count, Length: length, Gap: gap,
			}
			submit(p, &r.Detections, func() scenario.Detection {
				return c.Run(engine, scenario.Policies()[ownerPolicy](), 1)
			})
		}
	}
}

func addFaultFree(p *pool, r *Results, engine scenario.Engine, s service, length time.Duration, seed uint64) {
	submit(p, &r.FaultFree, func() scenario.FaultFree {
		return scenario.RunFaultFree(engine, s.spec, s.serviceTime, s.idempotentShare, length, scenario.Policies()[ownerPolicy](), seed)
	})
}

func addOverload(p *pool, r *Results, engine scenario.Engine, s service, policyName string, seeds uint64) {
	submit(p, &r.Overloads, func() scenario.Overload {
		return scenario.RunOverload(engine, s.spec, s.serviceTime, s.idempotentShare, policyName, seeds)
	})
}

func addBlocking(p *pool, r *Results, engine scenario.Engine, s service, length time.Duration, policyName string) {
	for _, stragglerShare := range []float64{0, 0.01} {
		submit(p, &r.Blockings, func() scenario.HeadOfLineBlocking {
			return scenario.RunBlocking(engine, s.spec, s.serviceTime, s.idempotentShare, stragglerShare, length, policyName, 1)
		})
	}
}
