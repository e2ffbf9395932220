package health

import (
	"math"
	"sort"
	"time"
)

// State is the health state of a target.
type State string

// The health states.
const (
	Healthy State = "healthy"
	Suspect State = "suspect" // used only after healthy targets
	Avoided State = "avoided" // the path to it is faulty; used last
	Ejected State = "ejected" // gets no requests
	Trial   State = "trial"   // ejected, but gets one trial at a time
)

// Times of ejection, trials and probes.
const (
	FirstEjectionTime = 5 * time.Second
	MaxEjectionTime   = 2 * time.Minute
	probeInterval     = 200 * time.Millisecond // between probes of a suspect
	idleProbeInterval = 5 * time.Second
	trialRequestWait  = 5 * time.Second // time in trial without a request for it, after which probes are used instead
	// busyTrialRequestWait is the same while requests wait for a slot.
	busyTrialRequestWait = time.Second
	peerProbeInterval    = 2 * time.Second // between requests for a probe by another entry
	peerProbeValidity    = 3 * time.Second // of another entry's probe result

	// PeerProbeWait is how long an ejection waits for the result of another entry's
	// probe.
	PeerProbeWait = 500 * time.Millisecond
)

// Numbers of trials before a target returns.
const (
	minProbeTrials = 2 // trials by probe before requests are used, if the target can be probed
	requiredTrials = 4 // consecutive successful trials, probes included
	maxSlowTrials  = 1 // slow trials that do not count
)

// Target tracks the health of one target. The zero value is a healthy target
// without evidence.
type Target struct {
	state  State
	reason Evidence
	score  float64 // score of the ended windows

	waitScore             float64 // score of requests in flight without a response
	hasUnansweredWait     bool    // the target has sent no response since one of them was sent
	windowGood, windowBad int     // requests in the current window
	windowStart           time.Time
	baseline              Baseline
	ratios                likelihoodRatios // from baseline
	hasBaseline           bool             // baseline and ratios have been set

	badRate         float64 // moving average of the share of bad requests
	latencyLevel    float64 // moving median of ln(service time / expected time)
	samples         int
	goodResponses   int       // good responses to requests
	lastGoodAt      time.Time // time of the last of them
	lastResponseAt  time.Time // last response to a request or probe, good or bad
	lastWasResponse bool      // the last evidence was a response
	evidenceAgedAt  time.Time // last evidence, or last time at which the score was reduced for its age

	ejectedAt     time.Time
	ejectionTime  time.Duration
	trialAt       time.Time
	trialSince    time.Time
	lastTrialEnd  time.Time // last return or ejection by a trial; zero: none
	trials        int       // consecutive successful trials
	slowTrials    int       // slow ones among them
	trialInFlight bool

	probeInFlight        bool
	nextProbe            time.Time
	lastPeerSuccess      time.Time // last successful probe by another entry
	peerProbeRequestedAt time.Time
}

// State returns the health state. It is Healthy for the zero value.
func (t *Target) State() State {
	if t.state == "" {
		return Healthy
	}
	return t.state
}

// Reason returns the last bad evidence.
func (t *Target) Reason() Evidence { return t.reason }

// Score returns the strength of the evidence against the target, from 0 to
// maxScore.
func (t *Target) Score() float64 {
	return clampScore(t.endedScore() + max(t.waitScore-t.baseline.WaitScore, 0))
}

// endedScore returns the score of the requests that have ended.
func (t *Target) endedScore() float64 {
	r := ratiosWithoutBaseline
	if t.hasBaseline {
		r = t.ratios
	}
	return clampScore(t.score + windowScore(t.windowGood, t.windowBad, r))
}

// Baseline returns the summary of the other targets set by Advance.
func (t *Target) Baseline() Baseline { return t.baseline }

func (t *Target) isEjected() bool { return t.state == Ejected || t.state == Trial }

// Ejected reports whether the target is ejected, including in trial.
func (t *Target) Ejected() bool { return t.isEjected() }

// Observe records the evidence of a request. It reports whether the state changed.
func (t *Target) Observe(e Evidence, now time.Time) bool {
	t.recordSample(e, now)
	if t.isEjected() {
		return false
	}
	if e == Good {
		t.windowGood++
	} else {
		t.windowBad++
		t.reason = e
	}
	return t.updateState(now)
}

// Wait is a request in flight that has received nothing for longer than SlowAfter.
type Wait struct {
	Since  time.Time
	Weight float64 // see WaitWeight
}

// SetWaiting sets the requests in flight that have received nothing. It replaces
// the earlier ones, since a response refutes the evidence of a wait. At most
// maxBadPerWindow of them count, because a pause delays all of them. It reports
// whether the state changed.
func (t *Target) SetWaiting(waits []Wait, now time.Time) bool {
	sort.Slice(waits, func(i, j int) bool { return waits[i].Weight > waits[j].Weight })
	t.waitScore = 0
	t.hasUnansweredWait = false
	for _, w := range waits[:min(len(waits), maxBadPerWindow)] {
		t.waitScore += w.Weight
		if t.lastResponseAt.Before(w.Since) {
			t.lastWasResponse = false
			t.reason = Unreachable
			t.hasUnansweredWait = true
		}
	}
	if t.isEjected() {
		return false
	}
	return t.updateState(now)
}

// ObserveNoResponse records that a request ended without any response. It reports
// whether the state changed.
func (t *Target) ObserveNoResponse(weight float64, now time.Time) bool {
	t.recordSample(Unreachable, now)
	if t.isEjected() {
		return false
	}
	t.reason = Unreachable
	t.score = clampScore(t.score + weight)
	return t.updateState(now)
}

// GoodResponses returns the number of good responses so far.
func (t *Target) GoodResponses() int { return t.goodResponses }

// WaitingSince returns the time from which the wait of a request without a
// response counts as evidence: when it was sent, or the last good response if
// there were at least minRefutingResponses since goodResponsesBefore.
func (t *Target) WaitingSince(sent time.Time, goodResponsesBefore int) time.Time {
	if t.goodResponses-goodResponsesBefore < minRefutingResponses {
		return sent
	}
	return t.lastGoodAt
}

// ObserveSlow records a slow request during which the target gave the given number
// of good responses to others; with enough of them the request does not count as
// bad. Slow requests end after the good ones that were sent with them, so a few
// simultaneous stragglers would look like consecutive bad requests. It reports
// whether the state changed.
func (t *Target) ObserveSlow(goodResponses int, now time.Time) bool {
	if goodResponses < minRefutingResponses {
		return t.Observe(Slow, now)
	}
	t.recordSample(Slow, now)
	return false
}

// ObserveLatency records the ratio of service time to expected time of a complete
// response.
func (t *Target) ObserveLatency(ratio float64) {
	const step = 0.1
	x := math.Log(max(ratio, 0.01))
	if t.samples <= 1 {
		t.latencyLevel = x
		return
	}
	if x > t.latencyLevel {
		t.latencyLevel += step
	} else {
		t.latencyLevel -= step
	}
}

func (t *Target) recordSample(e Evidence, now time.Time) {
	const weight = 1.0 / 32
	t.samples++
	value := 1.0
	if e == Good {
		value = 0
		t.goodResponses++
		t.lastGoodAt = now
	}
	t.badRate += (value - t.badRate) * max(weight, 1/float64(t.samples))
	t.evidenceAgedAt = now
	t.lastWasResponse = isResponse(e)
	if t.lastWasResponse {
		t.lastResponseAt = now
	}
}

func isResponse(e Evidence) bool { return e != Unreachable }

func (t *Target) updateState(now time.Time) bool {
	score := t.Score()
	switch {
	case t.State() == Healthy && score >= suspectScore:
		t.state = Suspect
		t.nextProbe = now
		return true
	case t.state == Suspect && score < 1:
		t.state = Healthy
		return true
	case t.state == Avoided && score < 1:
		t.state = Healthy
		return true
	}
	return false
}

// Advance sets the summary of the other targets, ends the window when WindowLength
// has passed, and starts the trials when the ejection time has passed. It reports
// whether the state changed.
func (t *Target) Advance(baseline Baseline, now time.Time) bool {
	t.baseline = baseline
	t.ratios = likelihoodRatiosFor(baseline.BadRate)
	t.hasBaseline = true
	if now.Sub(t.windowStart) >= WindowLength {
		t.score = t.endedScore()
		t.windowGood, t.windowBad = 0, 0
		t.windowStart = now
	}
	t.ageEvidence(now)
	if t.state == Ejected && !now.Before(t.trialAt) {
		t.state = Trial
		t.trialSince = now
		t.trials = 0
		t.slowTrials = 0
		t.trialInFlight = false
		return true
	}
	if t.isEjected() {
		return false
	}
	return t.updateState(now)
}

// ageEvidence reduces the score by one for each evidenceAgeInterval without evidence.
// A suspect gets no requests while the others suffice, so that no response could
// ever refute what was seen.
func (t *Target) ageEvidence(now time.Time) {
	if t.isEjected() || now.Sub(t.evidenceAgedAt) < evidenceAgeInterval {
		return
	}
	t.evidenceAgedAt = now
	t.score = clampScore(t.score - 1)
}

// ShouldEject reports whether the evidence suffices for an ejection.
func (t *Target) ShouldEject() bool { return !t.isEjected() && t.Score() >= ejectScore }

// PathFault reports whether the target does not respond to this process while it
// responds to another entry.
func (t *Target) PathFault(now time.Time) bool {
	return !t.lastWasResponse && !t.lastPeerSuccess.IsZero() && now.Sub(t.lastPeerSuccess) < peerProbeValidity
}

// AwaitsPeerProbe reports whether another entry's probe is pending whose result
// can distinguish a path fault from a target fault.
func (t *Target) AwaitsPeerProbe(now time.Time) bool {
	return !t.lastWasResponse && !t.peerProbeRequestedAt.IsZero() && now.Sub(t.peerProbeRequestedAt) < PeerProbeWait
}

// MarkPathFault marks the path to the target as faulty, so that the target is
// used last.
func (t *Target) MarkPathFault() { t.state = Avoided }
