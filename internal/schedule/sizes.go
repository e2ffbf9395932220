package schedule

import (
	"math"
	"time"
)

// Parameters of the size estimates.
const (
	longRatio          = 4       // a request is long from this many times the 25th percentile of all requests
	minSamples         = 5       // requests from which a route and plan has its own estimate
	quantileStep       = 0.05    // in units of ln(time); the estimates adapt to a change within about 50 requests
	maxSizes           = 100_000 // maximum number of routes and plans with an estimate
	sizeRetention      = time.Hour
	defaultServiceTime = 50 * time.Millisecond // assumed before the first response
)

// Size is the expected service time and slot time of a request.
type Size struct {
	Class  Class
	Median time.Duration // median of the service time
	P90    time.Duration // 90th percentile of the service time
	Mean   time.Duration // mean slot time
}

type sizeKey struct{ route, plan string }

type sizeEntry struct {
	samples     int
	median, p90 float64 // ln(seconds)
	mean        float64 // seconds
	lastUsed    time.Time
}

// Sizes estimates the service times of the requests of a service by route and
// plan.
type Sizes struct {
	entries map[sizeKey]*sizeEntry
	all     sizeEntry
	p25     float64 // 25th percentile of all requests, ln(seconds)
	tail    Tail
}

func NewSizes() *Sizes { return &Sizes{entries: map[sizeKey]*sizeEntry{}} }

// Learn records the service time of a complete response.
func (s *Sizes) Learn(route, plan string, took time.Duration, now time.Time) {
	x := math.Log(max(took.Seconds(), 1e-6))
	if s.all.samples > 0 {
		s.tail.Add(took.Seconds() / s.Expect(route, plan).Median.Seconds())
	}
	s.p25 = quantile(s.p25, x, 0.25, s.all.samples)
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

// RecordSlotTime records the time that an attempt held its slot, whatever its
// outcome.
func (s *Sizes) RecordSlotTime(route, plan string, held time.Duration) {
	for _, e := range []*sizeEntry{&s.all, s.entries[sizeKey{route, plan}], s.entries[sizeKey{route, ""}]} {
		if e != nil && e.samples > 0 {
			e.mean += (held.Seconds() - e.mean) * max(1.0/64, 1/float64(e.samples))
		}
	}
}

func (e *sizeEntry) learn(x float64, now time.Time) {
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

// Expect returns the expected size of requests of the route and plan. With fewer
// than minSamples requests it returns that of the route, and if these are too few
// as well, that of the service.
func (s *Sizes) Expect(route, plan string) Size {
	e := &s.all
	for _, key := range []sizeKey{{route, plan}, {route, ""}} {
		if found, ok := s.entries[key]; ok && found.samples >= minSamples {
			e = found
			break
		}
	}
	if e.samples == 0 {
		return Size{Short, defaultServiceTime, defaultServiceTime, defaultServiceTime}
	}
	size := Size{
		Median: seconds(math.Exp(e.median)),
		P90:    seconds(math.Exp(max(e.p90, e.median))),
		Mean:   seconds(e.mean),
	}
	if e.median > s.p25+math.Log(longRatio) {
		size.Class = Long
	}
	return size
}

// ExceedProbability returns the probability that the service time of a request
// exceeds ratio times its expected time.
func (s *Sizes) ExceedProbability(ratio float64) float64 { return s.tail.ExceedProbability(ratio) }

// Mean returns the mean slot time of all requests.
func (s *Sizes) Mean() time.Duration {
	if s.all.samples == 0 {
		return defaultServiceTime
	}
	return seconds(s.all.mean)
}

// Prune removes routes and plans that have not been used within sizeRetention.
func (s *Sizes) Prune(now time.Time) {
	for key, e := range s.entries {
		if now.Sub(e.lastUsed) > sizeRetention {
			delete(s.entries, key)
		}
	}
}

func seconds(f float64) time.Duration { return time.Duration(f * float64(time.Second)) }

// LearnRoute records a service time that is not of a caller's request, such as
// that of a probe. It counts for the route only, not for the service.
func (s *Sizes) LearnRoute(route string, took time.Duration, now time.Time) {
	key := sizeKey{route, ""}
	e, ok := s.entries[key]
	if !ok {
		e = &sizeEntry{}
		s.entries[key] = e
	}
	e.learn(math.Log(max(took.Seconds(), 1e-6)), now)
}

// ExpectRoute returns the size of the route, without a fallback. It is zero if
// there are fewer than minSamples.
func (s *Sizes) ExpectRoute(route string) Size {
	e, ok := s.entries[sizeKey{route, ""}]
	if !ok || e.samples < minSamples {
		return Size{}
	}
	return Size{Median: seconds(math.Exp(e.median)), P90: seconds(math.Exp(e.p90))}
}
