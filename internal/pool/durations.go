package pool

import (
	"math"
	"time"
)

const (
	initialDuration = 150 * time.Millisecond // assumed for a route without responses
	durationWeight  = 0.05                   // weight of a new duration in the moving average

	// Durations are counted in buckets, each bucketRatio times as long as the one
	// before.
	durationBuckets = 64
	shortestBucket  = time.Millisecond
	bucketRatio     = 1.2
	// maxDurationCount is the number of counted durations at which all counts are
	// halved, so that they follow a change.
	maxDurationCount = 1000
	// assumedCount is the weight, in counted durations, of the distribution that is
	// assumed for a route with few responses.
	assumedCount = 20.0
	// assumedTail is the assumed share of requests that take far longer than the
	// mean, and assumedTailRatio how much longer.
	assumedTail      = 0.03
	assumedTailRatio = 7.0

	// A response is overdue after hedgeRatio times the mean duration of its route,
	// or, while retries are plentiful, once only hedgeShare of the responses take
	// longer.
	hedgeRatio    = 4
	hedgeShare    = 0.07
	minHedgeDelay = 200 * time.Millisecond
)

// durations keeps the distribution of the durations of each route.
type durations struct {
	routes map[string]*routeDurations
}

// routeDurations is the distribution of the durations of the successful requests
// of a route.
type routeDurations struct {
	mean   time.Duration
	counts [durationBuckets]float64
	total  float64
}

func (d *durations) mean(route string) time.Duration {
	if r := d.routes[route]; r != nil {
		return r.mean
	}
	return initialDuration
}

func (d *durations) learn(route string, took time.Duration) {
	r := d.routes[route]
	if r == nil {
		r = &routeDurations{mean: initialDuration}
		d.routes[route] = r
	}
	r.mean += time.Duration(durationWeight * float64(took-r.mean))
	if r.total >= maxDurationCount {
		for i := range r.counts {
			r.counts[i] /= 2
		}
		r.total /= 2
	}
	r.counts[min(int(bucketOf(took)), durationBuckets-1)]++
	r.total++
}

// bucketOf returns the position of a duration in the buckets; its integer part is
// the index of the bucket.
func bucketOf(d time.Duration) float64 {
	if d <= shortestBucket {
		return 0
	}
	return math.Log(float64(d)/float64(shortestBucket)) / math.Log(bucketRatio)
}

// shareLongerThan returns the share of the successful requests of a route that
// take longer than the time.
func (d *durations) shareLongerThan(route string, t time.Duration) float64 {
	ratio := float64(t) / float64(d.mean(route))
	assumed := (1-assumedTail)*math.Exp(-ratio*ratio) + assumedTail*math.Exp(-ratio/assumedTailRatio)
	r := d.routes[route]
	if r == nil {
		return assumed
	}
	at := min(bucketOf(t), durationBuckets-1)
	bucket := int(at)
	longer := r.counts[bucket] * (1 - (at - float64(bucket)))
	for _, count := range r.counts[bucket+1:] {
		longer += count
	}
	return (longer + assumedCount*assumed) / (r.total + assumedCount)
}

// hedgeDelay returns the time after which a request should be hedged: when the
// response is overdue or, if retries are plentiful, unusually late.
func (d *durations) hedgeDelay(route string, plentiful bool) time.Duration {
	overdue := max(hedgeRatio*d.mean(route), minHedgeDelay)
	if !plentiful {
		return overdue
	}
	delay := max(d.mean(route), minHedgeDelay)
	for delay < overdue && d.shareLongerThan(route, delay) > hedgeShare {
		delay = time.Duration(bucketRatio * float64(delay))
	}
	return min(delay, overdue)
}
