package fleettest

import (
	"fmt"
	"sync"
	"time"

	"github.com/google/uuid"

	"github.com/sequoialane/sequoialane/internal/localfleet"
	"github.com/sequoialane/sequoialane/internal/plan"
)

const (
	watchPeriod    = 40 * time.Millisecond
	operatorPeriod = 300 * time.Millisecond
	operatorRetry  = 100 * time.Millisecond
	operatorPlan   = "operated"
	maxWeight      = 1000
)

// versionWatcher polls the catalog version of each entry and records decreases.
type versionWatcher struct {
	stop chan struct{}
	wg   sync.WaitGroup

	mu        sync.Mutex
	reads     int
	decreases []string
}

func watchVersions(f *localfleet.Fleet) *versionWatcher {
	w := &versionWatcher{stop: make(chan struct{})}
	for _, e := range f.Entries {
		w.wg.Go(func() { w.watch(f, e) })
	}
	return w
}

func (w *versionWatcher) watch(f *localfleet.Fleet, e *localfleet.Entry) {
	highest := map[uint64]uint64{} // by incarnation, that is, for each run of the process
	for {
		select {
		case <-w.stop:
			return
		case <-time.After(watchPeriod):
		}
		status, err := f.Status(e)
		if err != nil {
			continue
		}
		run := status.Self.Incarnation
		w.mu.Lock()
		w.reads++
		if status.CatalogVersion < highest[run] {
			w.decreases = append(w.decreases, fmt.Sprintf("%s: from %d to %d", e.Name, highest[run], status.CatalogVersion))
		}
		w.mu.Unlock()
		highest[run] = max(highest[run], status.CatalogVersion)
	}
}

func (w *versionWatcher) finish() {
	close(w.stop)
	w.wg.Wait()
}

// changePair is a pair of competing changes with the same base version.
type changePair struct {
	base    uint64
	weights [2]int
	results [2]plan.Result
}

// operators submit pairs of competing changes until stopped. Each change is sent
// to one control member after another until its result is known.
type operators struct {
	fleet *localfleet.Fleet
	stop  chan struct{} // closed to submit no more pairs
	abort chan struct{} // closed to abandon changes whose result is unknown
	done  chan struct{}
	pairs []changePair
}

func startOperators(f *localfleet.Fleet) *operators {
	o := &operators{fleet: f, stop: make(chan struct{}), abort: make(chan struct{}), done: make(chan struct{})}
	go o.run()
	return o
}

func (o *operators) run() {
	defer close(o.done)
	for n := 0; ; n++ {
		select {
		case <-o.stop:
			return
		case <-time.After(operatorPeriod):
		}
		base, err := o.fleet.Version(o.fleet.Controls[n%len(o.fleet.Controls)])
		if err != nil {
			continue
		}
		r, known := o.submitBoth(base, n)
		if !known {
			return
		}
		o.pairs = append(o.pairs, r)
	}
}

func (o *operators) submitBoth(base uint64, n int) (changePair, bool) {
	r := changePair{base: base}
	var known [2]bool
	_, hash := localfleet.Token(operatorPlan)
	var wg sync.WaitGroup
	for k := range r.results {
		r.weights[k] = 1 + (2*n+k)%maxWeight
		ch := plan.Change{
			ID: uuid.NewString(), BaseVersion: base,
			SetPlans: []plan.Plan{{ID: operatorPlan, Weight: r.weights[k], TokenSHA256: []string{hash}, HomeRegion: "north"}},
		}
		wg.Go(func() { r.results[k], known[k] = o.submit(ch, n+k) })
	}
	wg.Wait()
	return r, known[0] && known[1]
}

func (o *operators) submit(ch plan.Change, first int) (plan.Result, bool) {
	for n := first; ; n++ {
		result, err := o.fleet.Submit(o.fleet.Controls[n%len(o.fleet.Controls)], ch)
		if err == nil {
			return result, true
		}
		select {
		case <-o.abort:
			return result, false
		case <-time.After(operatorRetry):
		}
	}
}
