package schedule

import (
	"math"
	"time"
)

// Parameters of the time estimates.
const (
	longRatio          = 4       // a request is long from this many times the 25th percentile of all requests
	minSamples         = 5       // requests from which a route and plan has its own estimate
	quantileStep       = 0.05    // in units of ln(time); the estimates adapt to a change within about 50 requests
	maxEstimates       = 100_000 // maximum number of routes and plans with an estimate
	estimateRetention  = time.Hour
	defaultServiceTime = 50 * time.Millisecond // assumed before the first response
)

// TimeEstimate is the expected service time and slot time of a request.
type TimeEstimate struct {
	Class  Class
	Median time.Duration // median of the service time
	P90    time.Duration // 90th percentile of the service time
	Mean   time.Duration // mean slot time
}

type estimateKey struct{ route, plan string }

type estimateEntry struct {
	samples     int
	median, p90 float64 // ln(seconds)
	mean        float64 // seconds
	lastUsed    time.Time
}

// TimeEstimates estimates the service times and slot times of the requests of a
// service by route and plan.
type TimeEstimates struct {
	entries map[estimateKey]*estimateEntry
	all     estimateEntry
	p25     float64 // 25th percentile of all requests, ln(seconds)
	tail    Tail
}

// NewTimeEstimates returns estimates without samples.
func NewTimeEstimates() *TimeEstimates {
	return &TimeEstimates{entries: map[estimateKey]*estimateEntry{}}
}

// Learn records the service time of a complete response.
func (s *TimeEstimates) Learn(route, plan string, took time.Duration, now time.Time) {
	x := math.Log(max(took.Seconds(), 1e-6))
	if s.all.samples > 0 {
		s.tail.Add(took.Seconds() / s.Expect(route, plan).Median.Seconds())
	}
	s.p25 = quantile(s.p25, x, 0.25, s.all.samples)
	s.all.learn(x, now)
	for _, key := range []estimateKey{{route, plan}, {route, ""}} {
		e, ok := s.entries[key]
		if !ok && len(s.entries) < maxEstimates {
			e = &estimateEntry{}
			s.entries[key] = e
			ok = true
		}
		if ok {
			e.learn(x, now)
		}
	}
}

// RecordSlotTime records the time that an attempt held its slot, whatever its
// outcome.
func (s *TimeEstimates) RecordSlotTime(route, plan string, held time.Duration) {
	for _, e := range []*estimateEntry{&s.all, s.entries[estimateKey{route, plan}], s.entries[estimateKey{route, ""}]} {
		if e != nil && e.samples > 0 {
			e.mean += (held.Seconds() - e.mean) * max(1.0/64, 1/float64(e.samples))
		}
	}
}

func (e *estimateEntry) learn(x float64, now time.Time) {
	e.median = quantile(e.median, x, 0.5, e.samples)
	e.p90 = quantile(e.p90, x, 0.9, e.samples)
	if e.samples == 0 {
		e.mean = math.Exp(x)
	}
	e.samples++
	e.lastUsed = now
}

// quantile returns the estimate of quantile q after sample x (stochastic
// approximation). n is the number of earlier samples.
func quantile(estimate, x, q float64, n int) float64 {
	if n == 0 {
		return x
	}
	step := max(quantileStep, 1/float64(n+1))
	if x > estimate {
		return estimate + 2*step*q
	}
	return estimate - 2*step*(1-q)
}

// Expect returns the estimate for requests of the route and plan. With fewer than
// minSamples requests it returns that of the route, and if these are too few as
// well, that of the service.
func (s *TimeEstimates) Expect(route, plan string) TimeEstimate {
	e := &s.all
	for _, key := range []estimateKey{{route, plan}, {route, ""}} {
		if found, ok := s.entries[key]; ok && found.samples >= minSamples {
			e = found
			break
		}
	}
	if e.samples == 0 {
		return TimeEstimate{Short, defaultServiceTime, defaultServiceTime, defaultServiceTime}
	}
	estimate := TimeEstimate{
		Median: seconds(math.Exp(e.median)),
		P90:    seconds(math.Exp(max(e.p90, e.median))),
		Mean:   seconds(e.mean),
	}
	if e.median > s.p25+math.Log(longRatio) {
		estimate.Class = Long
	}
	return estimate
}

// ExceedProbability returns the probability that the service time of a request
// exceeds ratio times its expected time.
func (s *TimeEstimates) ExceedProbability(ratio float64) float64 {
	return s.tail.ExceedProbability(ratio)
}

// Mean returns the mean slot time of all requests.
func (s *TimeEstimates) Mean() time.Duration {
	if s.all.samples == 0 {
		return defaultServiceTime
	}
	return seconds(s.all.mean)
}

// Prune removes routes and plans that have not been used within estimateRetention.
func (s *TimeEstimates) Prune(now time.Time) {
	for key, e := range s.entries {
		if now.Sub(e.lastUsed) > estimateRetention {
			delete(s.entries, key)
		}
	}
}

func seconds(f float64) time.Duration { return time.Duration(f * float64(time.Second)) }

// LearnRoute records a service time that is not of a caller's request, such as
// that of a probe. It counts for the route only, not for the service.
func (s *TimeEstimates) LearnRoute(route string, took time.Duration, now time.Time) {
	key := estimateKey{route, ""}
	e, ok := s.entries[key]
	if !ok {
		e = &estimateEntry{}
		s.entries[key] = e
	}
	e.learn(math.Log(max(took.Seconds(), 1e-6)), now)
}

// ExpectRoute returns the estimate for the route, without a fallback. It is zero
// if there are fewer than minSamples.
func (s *TimeEstimates) ExpectRoute(route string) TimeEstimate {
	e, ok := s.entries[estimateKey{route, ""}]
	if !ok || e.samples < minSamples {
		return TimeEstimate{}
	}
	return TimeEstimate{Median: seconds(math.Exp(e.median)), P90: seconds(math.Exp(e.p90))}
}
