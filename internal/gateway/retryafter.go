package gateway

import (
	"math/rand/v2"
	"time"
)

// retryAfterSpread is the share of a Retry-After by which it is extended at random, so
// that requests that were rejected together do not return together.
const retryAfterSpread = 0.5

// spreadRetryAfter extends a Retry-After by a random part of retryAfterSpread. It never shortens
// it, since a request that returns sooner would be rejected again.
func spreadRetryAfter(d time.Duration) time.Duration {
	return d + time.Duration(retryAfterSpread*rand.Float64()*float64(d))
}
