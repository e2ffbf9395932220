package pool

import (
	"cmp"
	"math"
	"slices"
	"time"
)

const (
	// maxReportedCosts bounds the routes in a report, and what is taken from one.
	maxReportedCosts = 16
	// minReportedCount is the number of observations from which the cost of a route is
	// reported.
	minReportedCount = 20
	// reportedChange is the relative change of a cost from which it is reported again,
	// and costRepeatTime the time after which it is in any case: a report may be lost,
	// and its receiver may be replaced.
	reportedChange = 0.25
	costRepeatTime = time.Minute
)

// RouteMean is the mean cost of the requests of a route in a report.
type RouteMean struct {
	Route     string `json:"r" cbor:"1,keyasint"`
	RunTimeMS int64  `json:"t" cbor:"2,keyasint"`
	Bytes     int64  `json:"b" cbor:"3,keyasint"` // of the response, with the heads
}

// reportedCost is the cost of a route as last reported.
type reportedCost struct {
	RouteMean
	at time.Time
}

// isCurrent reports whether m need not be reported.
func (c reportedCost) isCurrent(m RouteMean, now time.Time) bool {
	isNear := func(a, b int64) bool { return math.Abs(float64(a-b)) <= reportedChange*float64(b) }
	return now.Sub(c.at) < costRepeatTime && isNear(m.RunTimeMS, c.RunTimeMS) && isNear(m.Bytes, c.Bytes)
}

// reportCosts returns the costs of the most used routes that the other regions do not
// know yet.
func (p *Pool) reportCosts(now time.Time) []RouteMean {
	var means []RouteMean
	for name, r := range p.work.Routes() {
		if r.Observations() >= minReportedCount {
			means = append(means, RouteMean{Route: name, RunTimeMS: r.Mean().Milliseconds(), Bytes: int64(r.Bytes())})
		}
	}
	slices.SortFunc(means, func(a, b RouteMean) int {
		routes := p.work.Routes()
		return cmp.Or(cmp.Compare(routes[b.Route].Observations(), routes[a.Route].Observations()), cmp.Compare(a.Route, b.Route))
	})
	means = means[:min(len(means), maxReportedCosts)]
	reported := map[string]reportedCost{}
	var changed []RouteMean
	for _, m := range means {
		last, known := p.reportedCosts[m.Route]
		if !known || !last.isCurrent(m, now) {
			changed = append(changed, m)
			last = reportedCost{RouteMean: m, at: now}
		}
		reported[m.Route] = last
	}
	p.reportedCosts = reported
	return changed
}

// mergeCosts takes over the costs of routes of which this pool has no observations.
func (p *Pool) mergeCosts(means []RouteMean) {
	for _, m := range means[:min(len(means), maxReportedCosts)] {
		milliseconds := min(max(m.RunTimeMS, 0), maxLeaseTime.Milliseconds())
		p.work.Assume(m.Route, time.Duration(milliseconds)*time.Millisecond, float64(m.Bytes))
	}
}
