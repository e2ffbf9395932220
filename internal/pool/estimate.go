package pool

import (
	"math"
	"time"
)

const (
	// spellTimes is the number of spell times that are weighed.
	spellTimes = 3
	// weightMemory is what an outcome keeps of its weight at the next one.
	weightMemory = 0.998
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

// spells are the times in which knowledge about a target fades. How long targets
// fail at a time differs between services, so the weights of the times are
// learned.
var spells = [spellTimes]time.Duration{2 * time.Second, 6 * time.Second, 18 * time.Second}

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

// estimate is the chance that a target is in a spell of failure, for each of
// the spell times that are weighed.
type estimate struct {
	bad     [spellTimes]float64
	at      time.Time
	seen    time.Time // last evidence; zero: none
	foreign bool      // the last evidence came from the pool of another region
}

// now returns the chances at a time: without evidence they return to the share
// of failing targets of the service, the sooner the shorter spells are.
func (e estimate) now(t time.Time, share float64) [spellTimes]float64 {
	var bad [spellTimes]float64
	age := max(t.Sub(e.at), 0)
	for k, spell := range spells {
		bad[k] = share
		if !e.at.IsZero() {
			bad[k] += (e.bad[k] - share) * math.Exp(-age.Seconds()/spell.Seconds())
		}
	}
	return bad
}

// observe takes in an outcome, and weighs the spell times by how well they
// foretold it.
func (e *estimate) observe(kind OutcomeKind, t time.Time, share float64, w *weights) {
	l, ok := likelihoods[kind]
	if !ok {
		return
	}
	var foretold [spellTimes]float64
	for k, prior := range e.now(t, share) {
		foretold[k] = prior*l.inSpell + (1-prior)*l.outside
		e.bad[k] = prior * l.inSpell / foretold[k]
	}
	w.learn(foretold)
	e.at = t
	e.seen = t
	e.foreign = false
}

// set takes the chance over from another pool.
func (e *estimate) set(bad float64, at time.Time) {
	*e = estimate{at: at, seen: at, foreign: true}
	for k := range e.bad {
		e.bad[k] = bad
	}
}

// failure is the chance that the next request on a target fails whose chance
// of a spell is bad.
func failure(bad float64) float64 {
	return bad*failsInSpell + (1-bad)*failsOutside
}

// weights says how far each spell time has foretold the outcomes of a service.
type weights struct {
	log [spellTimes]float64 // not normalised
}

func (w *weights) learn(foretold [spellTimes]float64) {
	best := math.Inf(-1)
	for k, p := range foretold {
		w.log[k] = weightMemory*w.log[k] + math.Log(p)
		best = max(best, w.log[k])
	}
	for k := range w.log {
		w.log[k] -= best
	}
}

// mean weighs the chances by the spell times.
func (w *weights) mean(bad [spellTimes]float64) float64 {
	sum, total := 0.0, 0.0
	for k, b := range bad {
		weight := math.Exp(w.log[k])
		sum += weight * b
		total += weight
	}
	return sum / total
}

// badShare learns which share of the targets of a service is in a spell.
type badShare struct {
	value float64
	at    time.Time
}

// update moves the share towards the mean of the estimates with recent
// evidence.
func (b *badShare) update(estimates []estimate, w *weights, t time.Time) {
	if b.at.IsZero() {
		b.value, b.at = startBadShare, t
		return
	}
	sum, count := 0.0, 0
	for _, e := range estimates {
		if !e.seen.IsZero() && t.Sub(e.seen) < recentTime {
			sum += w.mean(e.now(t, b.value))
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
