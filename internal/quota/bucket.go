package quota

import (
	"math"
	"time"
)

// Bucket is a token bucket. The level is brought up to date by each method from the
// time that it is given, which must not decrease.
type Bucket struct {
	rate     float64 // tokens per second
	capacity float64
	level    float64
	spare    float64 // the least room that there has been
	updated  time.Duration
}

// NewBucket returns a bucket with the given level.
func NewBucket(rate, capacity, level float64, now time.Duration) Bucket {
	level = min(level, capacity)
	return Bucket{rate: rate, capacity: capacity, level: level, spare: capacity - level, updated: now}
}

// SetLimit replaces rate and capacity. The level is reduced to the new capacity.
func (b *Bucket) SetLimit(rate, capacity float64, now time.Duration) {
	b.refill(now, 0)
	b.rate, b.capacity = rate, capacity
	b.level = min(b.level, capacity)
}

// refill brings the level up to date. outside is the number of tokens that were taken
// but may still be used; they take up room in the bucket, so that the tokens in and
// outside of it never exceed its capacity.
func (b *Bucket) refill(now time.Duration, outside float64) {
	b.level += b.rate * max(now-b.updated, 0).Seconds()
	b.updated = max(now, b.updated)
	b.setLevel(b.level, outside)
}

func (b *Bucket) setLevel(level, outside float64) {
	b.level = max(0, min(level, b.capacity-outside))
	b.spare = max(0, min(b.spare, b.capacity-outside-b.level))
}

// AddInitial adds n tokens that the bucket could have had from the beginning. Those that
// would have found no room meanwhile are left out, so that the level is the one that the
// bucket would have now.
func (b *Bucket) AddInitial(n float64) {
	n = max(0, min(n, b.spare))
	b.level += n
	b.spare -= n
}

// Level returns the number of tokens.
func (b *Bucket) Level() float64 { return b.level }

// Take removes up to n tokens, whole ones only, and returns how many.
func (b *Bucket) Take(n int) int {
	taken := max(0, min(n, int(math.Floor(b.level+roundingError))))
	b.level = max(0, b.level-float64(taken))
	return taken
}

// roundingError is added before a level is rounded down, so that a token that is
// complete but for the rounding of sums counts.
const roundingError = 1e-9

// Give adds n tokens, as far as there is room besides those outside.
func (b *Bucket) Give(n int, outside float64) {
	b.setLevel(b.level+float64(n), outside)
}

// Until returns the time until the bucket holds n tokens, if none is taken meanwhile.
// It is at most maxRetryAfter.
func (b *Bucket) Until(n float64) time.Duration {
	missing := n - b.level
	switch {
	case missing <= 0:
		return 0
	case b.rate <= 0:
		return maxRetryAfter
	}
	return time.Duration(min(missing/b.rate, maxRetryAfter.Seconds()) * float64(time.Second))
}
