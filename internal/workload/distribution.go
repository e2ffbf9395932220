package workload

import (
	"math"
	"time"
)

const (
	// Run times are counted in buckets, each bucketRatio times as long as the one
	// before.
	bucketCount    = 64
	shortestBucket = time.Millisecond
	bucketRatio    = 1.2
	// maxTotal is the number of counted run times at which all counts are halved, so
	// that they follow a change.
	maxTotal = 1000
	// assumedCount is the weight, in counted run times, of the distribution that is
	// assumed for a route with few responses.
	assumedCount = 20.0
	// assumedTail is the assumed share of requests that take far longer than the
	// mean, and assumedTailRatio how much longer.
	assumedTail      = 0.03
	assumedTailRatio = 7.0
	// runTimePrior and maxRunTimes are the weights of the assumed mean and of the
	// learned one, in observations.
	runTimePrior = 2
	maxRunTimes  = 18
	// minRemainingShare is the least remaining run time of a request, as a share of
	// the mean: that it ends at this moment is never certain.
	minRemainingShare = 0.05
)

// bucketStarts are the beginnings of the buckets in nanoseconds, and the end of the
// last one.
var bucketStarts = func() (starts [bucketCount + 1]float64) {
	for i := range starts {
		starts[i] = float64(shortestBucket) * math.Pow(bucketRatio, float64(i))
	}
	return starts
}()

// Distribution is the distribution of run times of a route.
type Distribution struct {
	mean   mean // nanoseconds
	counts [bucketCount]float64
	total  float64
	// longer and time are sums over the buckets from each one on: of the counts, and
	// of the counted times. They are computed on the first use after a change.
	longer, time [bucketCount + 1]float64
	summed       bool
}

// Mean returns the mean run time.
func (d *Distribution) Mean() time.Duration { return time.Duration(d.mean.value) }

// Learn adds a run time.
func (d *Distribution) Learn(took time.Duration) {
	d.mean.learn(float64(took), runTimePrior, maxRunTimes)
	if d.total >= maxTotal {
		for i := range d.counts {
			d.counts[i] /= 2
		}
		d.total /= 2
	}
	d.counts[min(int(bucketOf(took)), bucketCount-1)]++
	d.total++
	d.summed = false
}

// bucketOf returns the position of a run time in the buckets; its integer part is
// the index of the bucket.
func bucketOf(d time.Duration) float64 {
	if d <= shortestBucket {
		return 0
	}
	return math.Log(float64(d)/float64(shortestBucket)) / math.Log(bucketRatio)
}

func (d *Distribution) sum() {
	if d.summed {
		return
	}
	for i := bucketCount - 1; i >= 0; i-- {
		d.longer[i] = d.longer[i+1] + d.counts[i]
		d.time[i] = d.time[i+1] + d.counts[i]*middle(bucketStarts[i], bucketStarts[i+1])
	}
	d.summed = true
}

func middle(from, to float64) float64 { return (from + to) / 2 }

// after returns how many counted run times are longer than t, and the sum of what
// is left of them after t, in nanoseconds.
func (d *Distribution) after(t time.Duration) (count, left float64) {
	d.sum()
	at := min(bucketOf(t), bucketCount-1)
	bucket := int(at)
	rest := d.counts[bucket] * (1 - (at - float64(bucket)))
	count = d.longer[bucket+1] + rest
	end := max(bucketStarts[bucket+1], float64(t))
	left = d.time[bucket+1] - d.longer[bucket+1]*float64(t) + rest*(end-float64(t))/2
	return count, max(left, 0)
}

// assumedShare returns the assumed share of run times longer than t.
func (d *Distribution) assumedShare(t time.Duration) float64 {
	ratio := float64(t) / max(d.mean.value, 1)
	return (1-assumedTail)*math.Exp(-ratio*ratio) + assumedTail*math.Exp(-ratio/assumedTailRatio)
}

// assumedLeft returns the mean of what is left of all run times after t by the assumed
// distribution, in nanoseconds: the integral of assumedShare from t on.
func (d *Distribution) assumedLeft(t time.Duration) float64 {
	mean := max(d.mean.value, 1)
	ratio := float64(t) / mean
	body := (1 - assumedTail) * math.Sqrt(math.Pi) / 2 * math.Erfc(ratio)
	return mean * (body + assumedTail*assumedTailRatio*math.Exp(-ratio/assumedTailRatio))
}

// ShareLongerThan returns the share of requests that run longer than t.
func (d *Distribution) ShareLongerThan(t time.Duration) float64 {
	count, _ := d.after(t)
	return (count + assumedCount*d.assumedShare(t)) / (d.total + assumedCount)
}

// Remaining returns the mean remaining time of a request that has run for t.
func (d *Distribution) Remaining(t time.Duration) time.Duration {
	count, left := d.after(t)
	remaining := (left + assumedCount*d.assumedLeft(t)) / (count + assumedCount*d.assumedShare(t))
	if math.IsNaN(remaining) || math.IsInf(remaining, 0) {
		remaining = float64(t) // t is beyond all that can be told apart
	}
	return time.Duration(max(remaining, minRemainingShare*d.mean.value))
}
