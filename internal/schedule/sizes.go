package schedule

import (
	"math"
	"time"
)

// Parameters of the learned sizes.
const (
	longRatio      = 4       // a long request takes this many times the time of the short ones
	minSamples     = 5       // requests before a route and plan has a size of its own
	quantileStep   = 0.05    // in units of ln(time); the estimates follow a change within about 50 requests
	maxSizes       = 100_000 // remembered routes and plans
	sizeRetention  = time.Hour
	defaultService = 50 * time.Millisecond // before the first answer
)

// Size is what is expected of a request.
type Size struct {
	Class   Class
	Typical time.Duration // median of the service time
	High    time.Duration // 90th percentile of the service time
	Mean    time.Duration // mean slot time
}

type sizeKey struct{ route, plan string }

type sizeEntry struct {
	n           int
	median, p90 float64 // ln(seconds)
	mean        float64 // seconds
	used        time.Time
}

// Sizes learns the service times of the requests of a service for each route
// and plan.
type Sizes struct {
	entries map[sizeKey]*sizeEntry
	all     sizeEntry
	small   float64 // 25th percentile of all requests, ln(seconds)
	tail    Tail
}

// NewSizes returns sizes that have learned nothing.
func NewSizes() *Sizes { return &Sizes{entries: map[sizeKey]*sizeEntry{}} }

// Learn takes in the service time of a whole answer.
func (s *Sizes) Learn(route, plan string, took time.Duration, now time.Time) {
	x := math.Log(max(took.Seconds(), 1e-6))
	if s.all.n > 0 {
		s.tail.Add(took.Seconds() / s.Expect(route, plan).Typical.Seconds())
	}
	s.small = quantile(s.small, x, 0.25, s.all.n)
	s.all.learn(x, now)
	for _, key := range []sizeKey{{route, plan}, {route, ""}} {
		e, ok := s.entries[key]
		if !ok && len(s.entries) < maxSizes {
			e = &sizeEntry{}
			s.entries[key] = e
			ok = true
		}
		if ok {
			e.learn(x, now)
		}
	}
}

// Occupied takes in the time that an attempt held its slot, whatever its end.
func (s *Sizes) Occupied(route, plan string, held time.Duration) {
	for _, e := range []*sizeEntry{&s.all, s.entries[sizeKey{route, plan}], s.entries[sizeKey{route, ""}]} {
		if e != nil && e.n > 0 {
			e.mean += (held.Seconds() - e.mean) * max(1.0/64, 1/float64(e.n))
		}
	}
}

func (e *sizeEntry) learn(x float64, now time.Time) {
	e.median = quantile(e.median, x, 0.5, e.n)
	e.p90 = quantile(e.p90, x, 0.9, e.n)
	if e.n == 0 {
		e.mean = math.Exp(x)
	}
	e.n++
	e.used = now
}

// quantile moves the estimate of a quantile towards the sample.
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

// Expect returns the size of requests of the route and plan: of the route, if
// the plan has sent too few, and of the service, if the route has had too few.
func (s *Sizes) Expect(route, plan string) Size {
	e := &s.all
	for _, key := range []sizeKey{{route, plan}, {route, ""}} {
		if found, ok := s.entries[key]; ok && found.n >= minSamples {
			e = found
			break
		}
	}
	if e.n == 0 {
		return Size{Short, defaultService, defaultService, defaultService}
	}
	size := Size{
		Typical: seconds(math.Exp(e.median)),
		High:    seconds(math.Exp(max(e.p90, e.median))),
		Mean:    seconds(e.mean),
	}
	if e.median > s.small+math.Log(longRatio) {
		size.Class = Long
	}
	return size
}

// Beyond returns the probability that a service time exceeds the expected time
// by the ratio.
func (s *Sizes) Beyond(ratio float64) float64 { return s.tail.Beyond(ratio) }

// Mean returns the mean slot time of all requests.
func (s *Sizes) Mean() time.Duration {
	if s.all.n == 0 {
		return defaultService
	}
	return seconds(s.all.mean)
}

// Prune forgets routes and plans that have not been used for an hour.
func (s *Sizes) Prune(now time.Time) {
	for key, e := range s.entries {
		if now.Sub(e.used) > sizeRetention {
			delete(s.entries, key)
		}
	}
}

func seconds(f float64) time.Duration { return time.Duration(f * float64(time.Second)) }

// LearnExactly takes in a service time that is no request of a caller.
func (s *Sizes) LearnExactly(route string, took time.Duration, now time.Time) {
	key := sizeKey{route, ""}
	e, ok := s.entries[key]
	if !ok {
		e = &sizeEntry{}
		s.entries[key] = e
	}
	e.learn(math.Log(max(took.Seconds(), 1e-6)), now)
}

// ExpectExactly returns what LearnExactly has learned, or zero.
func (s *Sizes) ExpectExactly(route string) Size {
	e, ok := s.entries[sizeKey{route, ""}]
	if !ok || e.n < minSamples {
		return Size{}
	}
	return Size{Typical: seconds(math.Exp(e.median)), High: seconds(math.Exp(e.p90))}
}
