package schedule

import "math"

// Parameters of the distribution of service times.
const (
	tailBuckets   = 32
	tailPerDouble = 3       // buckets for each doubling of the ratio
	tailNear      = 2       // buckets, a factor of 1.6
	tailWindow    = 100_000 // answers after which older ones count half
)

// Tail is the distribution of service time by expected time, for ratios from 1
// to 2^10.
type Tail struct {
	counts [tailBuckets]float64
	total  float64
}

// Add takes in the ratio of a whole answer.
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

// Beyond returns the probability that a service time exceeds the ratio. Where
// no answer is near the ratio, it is a tenth of an answer of those seen, and
// half an answer elsewhere.
func (t *Tail) Beyond(ratio float64) float64 {
	bucket := tailBucket(ratio)
	above := 0.0
	for _, count := range t.counts[bucket:] {
		above += count
	}
	near := above
	for _, count := range t.counts[max(bucket-tailNear, 0):bucket] {
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
	return min(int(math.Log2(ratio)*tailPerDouble), tailBuckets-1)
}
