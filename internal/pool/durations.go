package pool

import (
	"time"

	"github.com/sequoialane/sequoialane/internal/workload"
)

const (
	initialDuration = workload.InitialRunTime // assumed for a service without responses

	// A response is overdue after hedgeRatio times the mean duration of its route,
	// or, while retries are plentiful, once only hedgeShare of the responses take
	// longer.
	hedgeRatio     = 4
	hedgeShare     = 0.07
	hedgeStepRatio = 1.2 // between the delays that are compared with hedgeShare
	minHedgeDelay  = 200 * time.Millisecond
)

// routeDurations is the distribution of the run times of the successful requests of
// a route.
type routeDurations = workload.Route

// durations gives the distributions of the run times by route. They are those of
// the model of the pool.
type durations struct {
	routes  map[string]*routeDurations
	service *routeDurations // expected of a route without responses; nil: initialDuration
}

func (d *durations) of(route string) *routeDurations {
	switch r := d.routes[route]; {
	case r != nil:
		return r
	case d.service != nil:
		return workload.NewRoute(d.service.Mean(), d.service.Bytes())
	default:
		return workload.NewRoute(initialDuration, workload.InitialBytes)
	}
}

func (d *durations) mean(route string) time.Duration { return d.of(route).Mean() }

func (d *durations) learn(route string, took time.Duration) {
	if d.routes[route] == nil {
		d.routes[route] = d.of(route)
	}
	d.routes[route].Learn(took)
}

// shareLongerThan returns the share of the successful requests of a route that
// take longer than the time.
func (d *durations) shareLongerThan(route string, t time.Duration) float64 {
	return d.of(route).ShareLongerThan(t)
}

// hedgeDelay returns the time after which a request should be hedged: when the
// response is overdue or, if retries are plentiful, unusually late.
func (d *durations) hedgeDelay(route string, plentiful bool) time.Duration {
	return d.hedgeDelayOf(route, 1, plentiful)
}

// hedgeDelayOf returns the delay of a request whose run time is expected to be
// factor times that of its route.
func (d *durations) hedgeDelayOf(route string, factor float64, plentiful bool) time.Duration {
	r := d.of(route)
	mean := scale(r.Mean(), factor)
	overdue := max(hedgeRatio*mean, minHedgeDelay)
	if !plentiful {
		return overdue
	}
	delay := max(mean, minHedgeDelay)
	for delay < overdue && r.ShareLongerThan(scale(delay, 1/factor)) > hedgeShare {
		delay = scale(delay, hedgeStepRatio)
	}
	return min(delay, overdue)
}

func scale(d time.Duration, factor float64) time.Duration {
	return time.Duration(factor * float64(d))
}
