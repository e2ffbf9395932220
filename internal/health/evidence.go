// Package health decides from the evidence of real requests and probes which
// targets of a service are at fault. Its types work on values only and are
// not safe for concurrent use.
package health

import (
	"math"
	"time"
)

// Evidence is what one attempt or probe says about its target.
type Evidence int

// The kinds of evidence.
const (
	Good        Evidence = iota
	Slow                 // much slower than requests of its size on the other targets
	Failed               // a whole answer that is an error, or a wrong or truncated one
	Unreachable          // no connection or no answer
)

// String returns the reason that the evidence gives for an ejection.
func (e Evidence) String() string {
	switch e {
	case Slow:
		return "slow"
	case Failed:
		return "failing"
	case Unreachable:
		return "unreachable"
	default:
		return "good"
	}
}

// Parameters of the test. A target is judged by the log-likelihood ratio of
// "half of its requests go wrong" against "as many go wrong as on the other
// targets", summed up and never below zero (CUSUM).
const (
	faultRate   = 0.5  // share of bad requests on a target at fault
	minBaseRate = 0.02 // stragglers alone make 1% of requests bad
	maxBaseRate = 0.3  // above it, the targets cannot be told apart

	// WindowLength is the time within which evidence is taken as correlated:
	// one pause of a process delays all requests in its slots.
	WindowLength = 200 * time.Millisecond
	windowBad    = 2 // bad requests of a window that count

	suspectScore = 5  // two bad requests in a row
	ejectScore   = 16 // five bad requests in a row: 1 in 10^8 with 2% bad
	maxScore     = 20 // bounds the time to recover

	maxWaitWeight   = 9                       // two requests that hear nothing can be enough
	waitAllowance   = 2.5                     // a target is looked at all the time, and stragglers fill more of it than their number
	silenceRatio    = 64                      // a request that waits this many times its expected time
	silenceTime     = 1500 * time.Millisecond // and this long counts in full, even if few answers are known
	pauseTime       = time.Second             // a shorter wait may be a pause of the process
	pauseWeight     = 4                       // bound of its evidence: two of them ask for probes
	badProbeWeight  = 6
	goodProbeWeight = 2   // probes may be answered while requests are not
	weakProbeWeight = 0.7 // a target that fails half of its requests answers half of its probes
)

// odds are the log-likelihood ratios of one bad and one good request.
type odds struct{ bad, good float64 }

// oddsOf returns the odds, given the share of bad requests on other targets.
func oddsOf(base float64) odds {
	base = max(base, minBaseRate)
	if base >= maxBaseRate {
		return odds{}
	}
	return odds{bad: math.Log(faultRate / base), good: math.Log((1 - faultRate) / (1 - base))}
}

var oddsWithoutPeers = oddsOf(0)

// windowScore returns the log-likelihood ratio of the evidence of one window.
// If more than windowBad requests were bad, the counts are scaled down to that
// number, since they may have one cause.
func windowScore(good, bad int, o odds) float64 {
	g, b := float64(good), float64(bad)
	if bad > windowBad {
		g *= windowBad / b
		b = windowBad
	}
	return b*o.bad + g*o.good
}

// refutingGoods is the number of good answers that outweigh a slow one.
const refutingGoods = 5

// WaitWeight returns the evidence of a request that has heard nothing for the
// time, which is the ratio of its expected time, given the probability that a
// request on a healthy target takes that long.
func WaitWeight(waited time.Duration, ratio, beyond float64) float64 {
	if waited >= silenceTime && ratio >= silenceRatio {
		return maxWaitWeight
	}
	limit := float64(maxWaitWeight)
	if waited < pauseTime {
		limit = pauseWeight
	}
	return min(max(-math.Log(beyond)-waitAllowance, 0), limit)
}

func clampScore(score float64) float64 { return min(max(score, 0), maxScore) }
