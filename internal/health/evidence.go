// Package health detects faulty targets of a service from the evidence of
// requests and probes, and manages their ejection and return. Its types do no I/O
// and are not safe for concurrent use.
package health

import (
	"math"
	"time"
)

// Evidence classifies the result of one attempt or probe.
type Evidence int

// The kinds of evidence.
const (
	Good        Evidence = iota
	Slow                 // much slower than requests of the same size on the other targets
	Failed               // a complete error response, or a wrong or truncated response
	Unreachable          // no connection or no response
)

// String returns the ejection reason for the evidence.
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

// Parameters of the fault detection. It is a CUSUM test: the score of a target is
// the sum, never below zero, of the log-likelihood ratios of "half of its requests
// are bad" to "as many are bad as on the other targets".
const (
	faultRate   = 0.5  // share of bad requests on a faulty target
	minBaseRate = 0.02 // stragglers alone make 1% of requests bad
	maxBaseRate = 0.3  // from here on, faulty targets cannot be told from the others

	// WindowLength is the time within which evidence is treated as correlated: one
	// pause of a process delays all requests in its slots.
	WindowLength    = 200 * time.Millisecond
	maxBadPerWindow = 2 // at most this many bad requests of a window count

	suspectScore = 5  // about two consecutive bad requests
	ejectScore   = 16 // about five consecutive bad requests: 1 in 10^8 if 2% are bad
	maxScore     = 20 // limits the time to recover

	maxWaitWeight = 9 // so that two requests without a response can suffice for an ejection
	// waitAllowance is subtracted from the score of a wait, since waits are checked
	// continuously, and stragglers are in flight for a larger share of the time than
	// their number suggests.
	waitAllowance = 2.5
	// A wait of at least fullWaitTime and fullWaitRatio times the expected time gets
	// maxWaitWeight, even if few responses are known.
	fullWaitRatio = 64
	fullWaitTime  = 1500 * time.Millisecond
	// A wait shorter than maxPauseTime may be caused by a pause of the process, so it
	// gets at most maxPauseWeight. Two of them make the target a suspect, which is
	// probed.
	maxPauseTime   = time.Second
	maxPauseWeight = 4

	evidenceAgeInterval = 15 * time.Second // without evidence, after which the score is reduced by one

	badProbeWeight             = 6
	goodProbeWeight            = 2   // low, since a target may respond to probes while it does not respond to requests
	goodProbeWeightWhenFailing = 0.7 // lower, since a target that fails half of its requests responds to half of its probes
)

// likelihoodRatios holds the log-likelihood ratios of one bad and one good request.
type likelihoodRatios struct{ bad, good float64 }

// likelihoodRatiosFor returns the ratios for the share of bad requests on the other
// targets. If that share is maxBaseRate or more, a bad request is no evidence, while
// good ones still reduce the score: the fault of all targets may have ended.
func likelihoodRatiosFor(base float64) likelihoodRatios {
	limited := min(max(base, minBaseRate), maxBaseRate)
	ratios := likelihoodRatios{bad: math.Log(faultRate / limited), good: math.Log((1 - faultRate) / (1 - limited))}
	if base >= maxBaseRate {
		ratios.bad = 0
	}
	return ratios
}

var ratiosWithoutBaseline = likelihoodRatiosFor(0)

// windowScore returns the log-likelihood ratio of the evidence of one window. If
// more than maxBadPerWindow requests were bad, the counts are scaled down to that
// number, since they may have a common cause.
func windowScore(good, bad int, r likelihoodRatios) float64 {
	g, b := float64(good), float64(bad)
	if bad > maxBadPerWindow {
		g *= maxBadPerWindow / b
		b = maxBadPerWindow
	}
	return b*r.bad + g*r.good
}

// minRefutingResponses is the number of good responses to other requests that
// outweigh a slow one.
const minRefutingResponses = 5

// WaitWeight returns the score of a request that has waited for the given time
// without a response. ratio is the wait divided by the expected time, and beyond
// the probability that a request on a healthy target takes that long.
func WaitWeight(waited time.Duration, ratio, beyond float64) float64 {
	if waited >= fullWaitTime && ratio >= fullWaitRatio {
		return maxWaitWeight
	}
	limit := float64(maxWaitWeight)
	if waited < maxPauseTime {
		limit = maxPauseWeight
	}
	return min(max(-math.Log(beyond)-waitAllowance, 0), limit)
}

func clampScore(score float64) float64 { return min(max(score, 0), maxScore) }
