package schedule

import (
	"math"
	"time"

	"golang.org/x/time/rate"
)

// Rates limits the request rate of each plan with a token bucket. The burst is the
// number of requests allowed in one second.
type Rates struct {
	plans map[string]*planRate
}

type planRate struct {
	limiter  *rate.Limiter
	lastUsed time.Time
}

const rateRetention = time.Minute

// NewRates returns a Rates that has seen no plan yet.
func NewRates() *Rates { return &Rates{plans: map[string]*planRate{}} }

// Allow reports whether the plan may send a request now, and if not, the time
// after which it may. A rate of 0 means no limit.
func (r *Rates) Allow(plan string, perSecond float64, now time.Time) (ok bool, retryAfter time.Duration) {
	if perSecond <= 0 {
		return true, 0
	}
	burst := max(int(math.Ceil(perSecond)), 1)
	p, known := r.plans[plan]
	if !known {
		p = &planRate{limiter: rate.NewLimiter(rate.Limit(perSecond), burst)}
		r.plans[plan] = p
	}
	p.lastUsed = now
	if p.limiter.Limit() != rate.Limit(perSecond) {
		p.limiter.SetLimitAt(now, rate.Limit(perSecond))
		p.limiter.SetBurstAt(now, burst)
	}
	if p.limiter.AllowN(now, 1) {
		return true, 0
	}
	missing := 1 - p.limiter.TokensAt(now)
	return false, max(time.Duration(missing/perSecond*float64(time.Second)), time.Millisecond)
}

// Prune removes plans that have not sent a request within rateRetention.
func (r *Rates) Prune(now time.Time) {
	for plan, p := range r.plans {
		if now.Sub(p.lastUsed) > rateRetention {
			delete(r.plans, plan)
		}
	}
}
