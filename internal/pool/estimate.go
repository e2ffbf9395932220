package pool

import (
	"math"
	"time"
)

const (
	// decayTimeCount is the number of decay times between which the estimate is
	// weighted.
	decayTimeCount = 3
	// weightDecay is the factor by which the log weight of earlier outcomes shrinks
	// with each new outcome.
	weightDecay = 0.998
	// failingFailureRate and healthyFailureRate are the shares of requests that fail
	// on a target in the failing state and in the healthy state.
	failingFailureRate = 0.8
	healthyFailureRate = 0.015

	initialFailingShare = 0.15
	minFailingShare     = 0.02
	maxFailingShare     = 0.35
	failingShareTime    = 15 * time.Second // time constant of the moving average of the share of failing targets
	recentEvidenceAge   = 3 * time.Second  // estimates without evidence in this time do not count for the share of failing targets
)

// decayTimes are the time constants with which the estimate of a target returns
// to the service average. How long a target stays in the failing state differs
// between services, so the weights of the decay times are learned.
var decayTimes = [decayTimeCount]time.Duration{2 * time.Second, 6 * time.Second, 18 * time.Second}

// likelihood holds the probability of an outcome in the failing state and in the
// healthy state.
type likelihood struct{ whenFailing, whenHealthy float64 }

// likelihoods lists the outcomes that are evidence about the target.
var likelihoods = map[OutcomeKind]likelihood{
	OK:              {1 - failingFailureRate, 1 - healthyFailureRate},
	Failed:          {0.5, 0.013},
	Reset:           {0.7, 0.004},
	Timeout:         {0.5, 0.004},
	InvalidResponse: {0.2, 0.02},
	ConnectFailed:   {0.6, 0.0005},
	Shed:            {0.3, 0.1},
}

// estimate is the probability that a target is in the failing state, for each
// decay time.
type estimate struct {
	failing    [decayTimeCount]float64
	at         time.Time
	evidenceAt time.Time // last evidence; zero: none
	remote     bool      // the last evidence came from the pool of another region
}

// probabilitiesAt returns the probabilities at time t. Without new evidence each
// decays to share, the share of failing targets of the service. It does so the
// sooner, the shorter targets stay in the failing state.
func (e estimate) probabilitiesAt(t time.Time, share float64) [decayTimeCount]float64 {
	var probabilities [decayTimeCount]float64
	age := max(t.Sub(e.at), 0)
	for k, decayTime := range decayTimes {
		probabilities[k] = share
		if !e.at.IsZero() {
			probabilities[k] += (e.failing[k] - share) * math.Exp(-age.Seconds()/decayTime.Seconds())
		}
	}
	return probabilities
}

// observe updates the estimate with an outcome (Bayes' rule), and the weights of
// the decay times by how well each predicted it.
func (e *estimate) observe(kind OutcomeKind, t time.Time, share float64, w *decayWeights) {
	l, ok := likelihoods[kind]
	if !ok {
		return
	}
	var predicted [decayTimeCount]float64
	for k, prior := range e.probabilitiesAt(t, share) {
		predicted[k] = prior*l.whenFailing + (1-prior)*l.whenHealthy
		e.failing[k] = prior * l.whenFailing / predicted[k]
	}
	w.learn(predicted)
	e.at = t
	e.evidenceAt = t
	e.remote = false
}

// setRemote replaces the estimate by one reported by the pool of another region.
func (e *estimate) setRemote(failing float64, at time.Time) {
	*e = estimate{at: at, evidenceAt: at, remote: true}
	for k := range e.failing {
		e.failing[k] = failing
	}
}

// failureProbability returns the probability that the next request fails on a
// target that is in the failing state with the given probability.
func failureProbability(failing float64) float64 {
	return failing*failingFailureRate + (1-failing)*healthyFailureRate
}

// decayWeights weights the decay times by how well each has predicted the
// outcomes of a service.
type decayWeights struct {
	logWeights [decayTimeCount]float64 // not normalised
}

func (w *decayWeights) learn(predicted [decayTimeCount]float64) {
	best := math.Inf(-1)
	for k, p := range predicted {
		w.logWeights[k] = weightDecay*w.logWeights[k] + math.Log(p)
		best = max(best, w.logWeights[k])
	}
	for k := range w.logWeights {
		w.logWeights[k] -= best
	}
}

// mean returns the weighted mean of the probabilities of the decay times.
func (w *decayWeights) mean(probabilities [decayTimeCount]float64) float64 {
	sum, total := 0.0, 0.0
	for k, p := range probabilities {
		weight := math.Exp(w.logWeights[k])
		sum += weight * p
		total += weight
	}
	return sum / total
}

// failingShare estimates the share of the targets of a service in the failing
// state.
type failingShare struct {
	value float64
	at    time.Time
}

// update moves the share towards the mean of the estimates that rest on recent
// evidence.
func (b *failingShare) update(estimates []estimate, w *decayWeights, t time.Time) {
	if b.at.IsZero() {
		b.value, b.at = initialFailingShare, t
		return
	}
	sum, count := 0.0, 0
	for _, e := range estimates {
		if !e.evidenceAt.IsZero() && t.Sub(e.evidenceAt) < recentEvidenceAge {
			sum += w.mean(e.probabilitiesAt(t, b.value))
			count++
		}
	}
	step := 1 - math.Exp(-t.Sub(b.at).Seconds()/failingShareTime.Seconds())
	b.at = t
	if count > 0 {
		b.value += step * (sum/float64(count) - b.value)
	}
	b.value = min(max(b.value, minFailingShare), maxFailingShare)
}
