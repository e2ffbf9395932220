// Package retry decides on retries and hedges.
package retry

import "time"

// Limits of retries.
const (
	BudgetRatio     = 0.1 // retries for each success
	budgetMax       = 100 // retries that can be saved up
	budgetStart     = 10  // retries available before the first success
	deadlineReserve = 10  // no retry in the last 1/10 of the time to the deadline
)

// Budget limits retries to a ratio of successes. The zero value holds the
// start budget. It is not safe for concurrent use.
type Budget struct {
	spent, earned float64
}

// Success adds to the budget.
func (b *Budget) Success() {
	b.earned += BudgetRatio
	if b.available() > budgetMax {
		b.earned -= b.available() - budgetMax
	}
}

// Take uses one retry. It reports whether the budget allowed it.
func (b *Budget) Take() bool {
	if b.available() < 1 {
		return false
	}
	b.spent++
	return true
}

func (b *Budget) available() float64 { return budgetStart + b.earned - b.spent }

// InTime reports whether a retry at now is before the last tenth of the time
// between arrival and deadline.
func InTime(now, arrived, deadline time.Time) bool {
	reserve := deadline.Sub(arrived) / deadlineReserve
	return now.Before(deadline.Add(-reserve))
}
