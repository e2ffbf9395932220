package pool

import (
	"math"
	"time"
)

const (
	// spellTime is the time in which knowledge about a target fades: spells of
	// failure last some seconds.
	spellTime = 7 * time.Second
	// failsInSpell and failsOutside are the shares of requests that a target
	// fails in a spell of failure and outside of one.
	failsInSpell = 0.8
	failsOutside = 0.015

	startBadShare = 0.15
	minBadShare   = 0.02
	maxBadShare   = 0.35
	badShareTime  = 15 * time.Second // over which the share of failing targets is learned
	recentTime    = 3 * time.Second  // evidence that counts for it
)

// likelihood holds the chance of an outcome in a spell and outside of one.
type likelihood struct{ inSpell, outside float64 }

// likelihoods of the outcomes that say something about the target.
var likelihoods = map[OutcomeKind]likelihood{
	OK:            {1 - failsInSpell, 1 - failsOutside},
	Failed:        {0.5, 0.013},
	Reset:         {0.7, 0.004},
	NoAnswer:      {0.5, 0.004},
	Broken:        {0.2, 0.02},
	ConnectFailed: {0.6, 0.0005},
	Shed:          {0.3, 0.1},
}

// estimate is the chance that a target is in a spell of failure.
type estimate struct {
	bad     float64
	at      time.Time
	seen    time.Time // last evidence; zero: none
	foreign bool      // the last evidence came from the pool of another region
}

// now returns the chance at a time: without evidence it returns to the share of
// failing targets of the service.
func (e estimate) now(t time.Time, share float64) float64 {
	if e.at.IsZero() {
		return share
	}
	age := t.Sub(e.at)
	if age <= 0 {
		return e.bad
	}
	return share + (e.bad-share)*math.Exp(-age.Seconds()/spellTime.Seconds())
}

// observe takes in an outcome.
func (e *estimate) observe(kind OutcomeKind, t time.Time, share float64) {
	l, ok := likelihoods[kind]
	if !ok {
		return
	}
	prior := e.now(t, share)
	e.bad = prior * l.inSpell / (prior*l.inSpell + (1-prior)*l.outside)
	e.at = t
	e.seen = t
	e.foreign = false
}

// failure is the chance that the next request on the target fails.
func (e estimate) failure(t time.Time, share float64) float64 {
	bad := e.now(t, share)
	return bad*failsInSpell + (1-bad)*failsOutside
}

// badShare learns which share of the targets of a service is in a spell.
type badShare struct {
	value float64
	at    time.Time
}

// update moves the share towards the mean of the estimates with recent
// evidence.
func (b *badShare) update(estimates []estimate, t time.Time) {
	if b.at.IsZero() {
		b.value, b.at = startBadShare, t
		return
	}
	sum, count := 0.0, 0
	for _, e := range estimates {
		if !e.seen.IsZero() && t.Sub(e.seen) < recentTime {
			sum += e.now(t, b.value)
			count++
		}
	}
	step := 1 - math.Exp(-t.Sub(b.at).Seconds()/badShareTime.Seconds())
	b.at = t
	if count > 0 {
		b.value += step * (sum/float64(count) - b.value)
	}
	b.value = min(max(b.value, minBadShare), maxBadShare)
}
