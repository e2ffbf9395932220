package pool

import "time"

// The retries that a service may get in a window are a ratio of its requests, plus a
// slack. They are split so that the sum over all pools stays within them whatever pools
// take over from each other: a pool begins without credit, and earns it.
//
//   - What a pool may carry into a window is limited by its requests in the window
//     before, and by the slack.
//   - What it earns in the window is limited by its requests in it, and by the time that
//     passes.
//
// The shares of the ratio add up to less than 1. Those of the slack add up to less than
// a half: the other half is for pools of entries that reach no owner.
const (
	carriedRatioShare = 0.4
	earnedRatioShare  = 0.5
	carriedSlackShare = 0.35
	accruedSlackShare = 0.1 // in a window
)

// creditTolerance absorbs rounding errors of the sum of many parts of a retry.
const creditTolerance = 1e-6

// retryCredit is the credit for retries of one pool. Each retry takes 1. Nothing of it
// survives the pool: a pool that takes over cannot know what its predecessor has spent,
// and assumes that it was everything.
type retryCredit struct {
	ratio, slack float64
	window       time.Duration

	available  float64
	slackShare float64     // the part of the slack that this pool may use
	advancedAt time.Time   // when available was last brought up to date
	firsts     []time.Time // first attempts within the window
}

func newRetryCredit(s Settings, now time.Time) retryCredit {
	return retryCredit{ratio: s.RetryRatio, slack: s.RetrySlack, window: s.RetryWindow, slackShare: 1, advancedAt: now}
}

// advance brings the credit up to date.
func (c *retryCredit) advance(now time.Time) {
	if elapsed := now.Sub(c.advancedAt); elapsed > 0 {
		c.available += accruedSlackShare * c.slackShare * c.slack * elapsed.Seconds() / c.window.Seconds()
		c.advancedAt = now
	}
	c.firsts = dropBefore(c.firsts, now.Add(-c.window))
	c.available = min(c.available, c.limit())
}

// setSlackShare sets the part of the slack that the pool may use from now on. For the
// time since the last call the lower of both parts counts, since it is not known when
// the entry became the owner, or ceased to be.
func (c *retryCredit) setSlackShare(share float64, now time.Time) {
	c.slackShare = min(c.slackShare, share)
	c.advance(now)
	c.slackShare = share
}

// limit returns the highest credit that may be kept.
func (c *retryCredit) limit() float64 {
	return carriedSlackShare*c.slackShare*c.slack + carriedRatioShare*c.ratio*float64(len(c.firsts))
}

func (c *retryCredit) recordFirst(now time.Time) {
	c.advance(now)
	c.firsts = append(c.firsts, now)
	c.available = min(c.available+earnedRatioShare*c.ratio, c.limit())
}

// allows reports whether there is credit for one more retry.
func (c *retryCredit) allows(now time.Time) bool {
	c.advance(now)
	return c.available >= 1-creditTolerance
}

func (c *retryCredit) recordRetry(now time.Time) {
	c.advance(now)
	c.available--
}

// spentShare returns the used share of the credit that may be kept, at most 1.
func (c *retryCredit) spentShare(now time.Time) float64 {
	if !c.allows(now) {
		return 1
	}
	return 1 - min(c.available/c.limit(), 1)
}

func dropBefore(times []time.Time, limit time.Time) []time.Time {
	n := 0
	for n < len(times) && times[n].Before(limit) {
		n++
	}
	return times[n:]
}
