package schedule

import "math"

// Parameters of the histogram of service times.
const (
	tailBuckets            = 32
	tailBucketsPerDoubling = 3       // logarithmic buckets
	nearTailBuckets        = 2       // a factor of 1.6 in the ratio
	tailWindow             = 100_000 // responses after which earlier ones count half
)

// Tail is a histogram of the ratio of service time to expected time, for ratios
// from 1 to 2^10.
type Tail struct {
	counts [tailBuckets]float64
	total  float64
}

// Add records the ratio of a complete response.
func (t *Tail) Add(ratio float64) {
	t.counts[tailBucket(ratio)]++
	t.total++
	if t.total < tailWindow {
		return
	}
	t.total = 0
	for i := range t.counts {
		t.counts[i] /= 2
		t.total += t.counts[i]
	}
}

// ExceedProbability returns the probability that a response exceeds the ratio.
// Half a response is added to the responses above it. If there are none above
// or within nearTailBuckets below the ratio, a tenth of a response is assumed
// instead.
func (t *Tail) ExceedProbability(ratio float64) float64 {
	bucket := tailBucket(ratio)
	above := 0.0
	for _, count := range t.counts[bucket:] {
		above += count
	}
	near := above
	for _, count := range t.counts[max(bucket-nearTailBuckets, 0):bucket] {
		near += count
	}
	if near == 0 {
		return min(0.1/(t.total+1), 1)
	}
	return min((above+0.5)/(t.total+1), 1)
}

func tailBucket(ratio float64) int {
	if ratio <= 1 {
		return 0
	}
	return min(int(math.Log2(ratio)*tailBucketsPerDoubling), tailBuckets-1)
}
