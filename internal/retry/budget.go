// Package retry decides whether and when a request is retried or hedged.
package retry

import "time"

// Limits of retries.
const (
	BudgetRatio            = 0.1 // retries added to the budget by each success
	maxBudget              = 100 // maximum number of available retries
	initialBudget          = 10  // retries available before the first success
	deadlineReserveDivisor = 10  // no retry in the last 1/10 of the time between arrival and deadline
)

// Budget limits retries to a ratio of successes. The zero value holds
// initialBudget retries. It is not safe for concurrent use.
type Budget struct {
	spent, earned float64
}

// RecordSuccess records a successful request, which adds BudgetRatio to the
// budget, up to maxBudget.
func (b *Budget) RecordSuccess() {
	b.earned += BudgetRatio
	if b.available() > maxBudget {
		b.earned -= b.available() - maxBudget
	}
}

// Take takes one retry from the budget. It reports whether one was available.
func (b *Budget) Take() bool {
	if b.available() < 1 {
		return false
	}
	b.spent++
	return true
}

func (b *Budget) available() float64 { return initialBudget + b.earned - b.spent }

// MayRetry reports whether now is early enough for a retry: before the last
// tenth of the time between arrival and deadline.
func MayRetry(now, arrived, deadline time.Time) bool {
	reserve := deadline.Sub(arrived) / deadlineReserveDivisor
	return now.Before(deadline.Add(-reserve))
}
