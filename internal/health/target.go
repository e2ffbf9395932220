package health

import (
	"math"
	"sort"
	"time"
)

// State is the health state of a target.
type State string

// The states.
const (
	Healthy State = "healthy"
	Suspect State = "suspect" // used after healthy targets
	Avoided State = "avoided" // the path to it is at fault; used last
	Ejected State = "ejected" // gets no work
	Trial   State = "trial"   // ejected, and gets one trial at a time
)

// Times of ejection and return.
const (
	FirstTimeOut = 5 * time.Second
	MaxTimeOut   = 2 * time.Minute
	probeRest    = 200 * time.Millisecond // between probes of a suspect
	idleProbe    = 5 * time.Second
	noRequests   = 5 * time.Second // after which a trial goes on with probes only
	peerInterval = 2 * time.Second // between probes of a target by a peer
	peerValidity = 3 * time.Second // how long the result of a peer's probe counts

	// PeerProbeWait is how long an ejection waits for the probe of a peer.
	PeerProbeWait = 500 * time.Millisecond
)

// Trials that must succeed, one after another, before a target returns.
const (
	probeTrials       = 2
	allTrials         = 4
	slowTrialsAllowed = 1
)

// Target is the health of one target. The zero value is a healthy target
// without evidence.
type Target struct {
	state  State
	reason Evidence
	score  float64 // score of the closed windows

	waiting      float64 // evidence of requests that have heard nothing yet
	waitsUnheard bool    // one of them, and nothing was heard since it was sent
	good, bad    int     // requests of the open window
	windowFrom   time.Time
	peers        Peers
	odds         odds // from peers
	compared     bool // peers are known

	badRate  float64 // moving average, for comparison
	level    float64 // moving median of ln(service time by expected time)
	samples  int
	goods    int       // good answers to requests
	goodAt   time.Time // last one
	heard    time.Time // last answer to a request or probe, good or bad
	answered bool      // the last evidence was an answer

	timeOut    time.Duration
	retryAt    time.Time
	trialSince time.Time
	returnedAt time.Time
	trials     int  // successful trials in a row
	slowTrials int  // slow ones among them
	trialBusy  bool // a trial is under way

	probing   bool
	nextProbe time.Time
	peerOK    time.Time // last good probe of a peer
	peerAsked time.Time
}

// State returns the state.
func (t *Target) State() State {
	if t.state == "" {
		return Healthy
	}
	return t.state
}

// Reason returns the last bad evidence.
func (t *Target) Reason() Evidence { return t.reason }

// Score returns how strong the evidence against the target is.
func (t *Target) Score() float64 {
	return clampScore(t.closedScore() + max(t.waiting-t.peers.Waiting, 0))
}

// closedScore is the score of the requests that have ended.
func (t *Target) closedScore() float64 {
	o := oddsWithoutPeers
	if t.compared {
		o = t.odds
	}
	return clampScore(t.score + windowScore(t.good, t.bad, o))
}

// Peers returns what the target is compared with.
func (t *Target) Peers() Peers { return t.peers }

func (t *Target) out() bool { return t.state == Ejected || t.state == Trial }

// Out reports whether the target is ejected.
func (t *Target) Out() bool { return t.out() }

// Observe takes in the evidence of a request. It reports whether the state
// changed.
func (t *Target) Observe(e Evidence, now time.Time) bool {
	t.noteSample(e, now)
	if t.out() {
		return false
	}
	if e == Good {
		t.good++
	} else {
		t.bad++
		t.reason = e
	}
	return t.updateSuspicion(now)
}

// Wait is a request in flight that has heard nothing for longer than SlowAfter.
type Wait struct {
	Since  time.Time
	Weight float64 // see WaitWeight
}

// SetWaiting takes in the requests in flight that have heard nothing. It
// replaces what was set before, since an answer refutes the evidence. No more
// than windowBad of them count, because a pause delays all of them. It reports
// whether the state changed.
func (t *Target) SetWaiting(waits []Wait, now time.Time) bool {
	sort.Slice(waits, func(i, j int) bool { return waits[i].Weight > waits[j].Weight })
	t.waiting = 0
	t.waitsUnheard = false
	for _, w := range waits[:min(len(waits), windowBad)] {
		t.waiting += w.Weight
		if t.heard.Before(w.Since) {
			t.answered = false
			t.reason = Unreachable
			t.waitsUnheard = true
		}
	}
	if t.out() {
		return false
	}
	return t.updateSuspicion(now)
}

// Unanswered takes in that a request ended without having heard anything. It
// reports whether the state changed.
func (t *Target) Unanswered(weight float64, now time.Time) bool {
	t.noteSample(Unreachable, now)
	if t.out() {
		return false
	}
	t.reason = Unreachable
	t.score = clampScore(t.score + weight)
	return t.updateSuspicion(now)
}

// Goods returns the number of good answers so far.
func (t *Target) Goods() int { return t.goods }

// WaitingSince returns the time from which a request that has heard nothing
// says something about the target: when it was sent, or the last good answer if
// the target gave several since the given number.
func (t *Target) WaitingSince(sent time.Time, goodsBefore int) time.Time {
	if t.goods-goodsBefore < refutingGoods {
		return sent
	}
	return t.goodAt
}

// ObserveSlow is Observe for a slow request, during which the target gave good
// answers to others. Slow requests end after the good ones that were sent with
// them, so that a few stragglers at once would look like a row of bad requests.
func (t *Target) ObserveSlow(goods int, now time.Time) bool {
	if goods < refutingGoods {
		return t.Observe(Slow, now)
	}
	t.noteSample(Slow, now)
	return false
}

// Latency takes in the service time of a whole answer by its expected time.
func (t *Target) Latency(ratio float64) {
	const step = 0.1
	x := math.Log(max(ratio, 0.01))
	if t.samples <= 1 {
		t.level = x
		return
	}
	if x > t.level {
		t.level += step
	} else {
		t.level -= step
	}
}

func (t *Target) noteSample(e Evidence, now time.Time) {
	const weight = 1.0 / 32
	t.samples++
	value := 1.0
	if e == Good {
		value = 0
		t.goods++
		t.goodAt = now
	}
	t.badRate += (value - t.badRate) * max(weight, 1/float64(t.samples))
	t.answered = isAnswer(e)
	if t.answered {
		t.heard = now
	}
}

func isAnswer(e Evidence) bool { return e != Unreachable }

func (t *Target) updateSuspicion(now time.Time) bool {
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

// Advance closes the window when its time has passed and takes in what the
// other targets do. It reports whether the state changed.
func (t *Target) Advance(peers Peers, now time.Time) bool {
	t.peers = peers
	t.odds = oddsOf(peers.BadRate)
	t.compared = true
	if now.Sub(t.windowFrom) >= WindowLength {
		t.score = t.closedScore()
		t.good, t.bad = 0, 0
		t.windowFrom = now
	}
	if t.state == Ejected && !now.Before(t.retryAt) {
		t.state = Trial
		t.trialSince = now
		t.trials = 0
		t.slowTrials = 0
		t.trialBusy = false
		return true
	}
	if t.out() {
		return false
	}
	return t.updateSuspicion(now)
}

// Condemned reports whether the evidence is enough for an ejection.
func (t *Target) Condemned() bool { return !t.out() && t.Score() >= ejectScore }

// PathFault reports whether the evidence is a lack of answers while a peer
// gets answers from the target.
func (t *Target) PathFault(now time.Time) bool {
	return !t.answered && !t.peerOK.IsZero() && now.Sub(t.peerOK) < peerValidity
}

// AwaitsPeer reports whether the result of a peer's probe may still come and
// tell a fault of the path from a fault of the target.
func (t *Target) AwaitsPeer(now time.Time) bool {
	return !t.answered && !t.peerAsked.IsZero() && now.Sub(t.peerAsked) < PeerProbeWait
}

// Avoid orders the target last because the path to it is at fault.
func (t *Target) Avoid() { t.state = Avoided }
