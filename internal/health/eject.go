package health

import (
	"fmt"
	"sort"
	"time"
)

// Candidate is a serving target that Ejections decides on.
type Candidate struct {
	Address     string
	Slots       int
	Ejected     bool    // currently ejected
	ShouldEject bool    // the evidence suffices for an ejection
	Score       float64 // evidence against it
}

// FloorSlots returns the number of slots that must stay healthy: floorPercent of
// the announced slots, rounded up.
func FloorSlots(announced, floorPercent int) int { return (announced*floorPercent + 99) / 100 }

// Ejections returns the addresses of the targets to eject, sorted. Healthy
// capacity stays at the floor or above: targets with the highest scores are
// ejected first, and ejected ones return if the floor requires it. Without the
// ejection lease, none are ejected. It panics if the floor is violated.
func Ejections(candidates []Candidate, floorPercent int, holdsLease bool) []string {
	if !holdsLease {
		return nil
	}
	announced := 0
	for _, c := range candidates {
		announced += c.Slots
	}
	floor := FloorSlots(announced, floorPercent)
	healthy := announced
	var ejected []string
	for _, c := range ejectionOrder(candidates) {
		if healthy-c.Slots >= floor {
			healthy -= c.Slots
			ejected = append(ejected, c.Address)
		}
	}
	if healthy < floor {
		panic(fmt.Sprintf("health: %d healthy slots are below the floor of %d, %d announced", healthy, floor, announced))
	}
	sort.Strings(ejected)
	return ejected
}

// ejectionOrder returns the targets that are ejected or should be, by descending
// score. Of targets with equal scores, those already ejected come first.
func ejectionOrder(candidates []Candidate) []Candidate {
	var ordered []Candidate
	for _, c := range candidates {
		if c.Ejected || c.ShouldEject {
			ordered = append(ordered, c)
		}
	}
	sort.Slice(ordered, func(i, j int) bool {
		a, b := ordered[i], ordered[j]
		if a.Score != b.Score {
			return a.Score > b.Score
		}
		if a.Ejected != b.Ejected {
			return a.Ejected
		}
		return a.Address < b.Address
	})
	return ordered
}

// Eject ejects the target. The ejection time doubles if the last trial ended at
// most MaxEjectionTime ago.
func (t *Target) Eject(now time.Time) {
	if t.ejectionTime == 0 || now.Sub(t.lastTrialEnd) > MaxEjectionTime {
		t.ejectionTime = FirstEjectionTime
	} else {
		t.ejectionTime = min(2*t.ejectionTime, MaxEjectionTime)
	}
	t.state = Ejected
	t.score = t.Score()
	t.windowGood, t.windowBad = 0, 0
	t.ejectedAt = now
	t.trialAt = now.Add(t.ejectionTime)
	t.trialInFlight = false
}

// Readmit ends an ejection without a trial, because the floor requires it or the
// owner does not hold the ejection lease. The evidence against the target stays,
// and the next ejection starts with FirstEjectionTime.
func (t *Target) Readmit(now time.Time) {
	t.state = Suspect
	t.lastTrialEnd = time.Time{}
	t.ejectionTime = 0
	t.nextProbe = now
}

// Restart records a new incarnation of the target. It discards the evidence, which
// was about the previous one. An ejected target may be tried at once.
func (t *Target) Restart(now time.Time) {
	t.score, t.windowGood, t.windowBad, t.samples, t.badRate, t.latencyLevel = 0, 0, 0, 0, 0, 0
	switch {
	case t.state == Ejected:
		t.trialAt = now
	case !t.isEjected():
		t.state = Healthy
	}
}

// RenewLease records that the target announces itself after its lease has expired.
// What was seen meanwhile may have concerned the path to it: it takes new evidence to
// eject it, and an ejected target may be tried at once.
func (t *Target) RenewLease(now time.Time) {
	if t.isEjected() {
		t.trialAt = now
		return
	}
	t.score = min(t.score, suspectScore)
	t.windowGood, t.windowBad = 0, 0
}

// AdvanceTrial makes the trials of an ejected target start FirstEjectionTime after
// the ejection at the latest. It is called while requests wait for a slot: the fault
// may have ended, and the longer ejections of repeated faults are for times in which
// the other targets suffice.
func (t *Target) AdvanceTrial() {
	if latest := t.ejectedAt.Add(FirstEjectionTime); t.state == Ejected && latest.Before(t.trialAt) {
		t.trialAt = latest
	}
}

// WantsTrial reports whether the target should get an idempotent request as its
// next trial. If probes are possible, the first trials are probes.
func (t *Target) WantsTrial(canProbe bool) bool {
	if t.state != Trial || t.trialInFlight {
		return false
	}
	return !canProbe || t.trials >= minProbeTrials
}

// BeginTrial records that a trial has started.
func (t *Target) BeginTrial() { t.trialInFlight = true }

// EndTrial records the result of a trial. A single slow trial may be a straggler
// and does not count. It reports whether the target returned
// (true, true), was ejected again (false, true) or stays in trial (false, false).
func (t *Target) EndTrial(e Evidence, now time.Time) (returned, changed bool) {
	t.trialInFlight = false
	if t.state != Trial {
		return false, false
	}
	if e == Slow && t.slowTrials < maxSlowTrials {
		t.slowTrials++
		return false, false
	}
	if e != Good {
		t.reason = e
		t.score = maxScore
		t.lastTrialEnd = now
		t.Eject(now)
		return false, true
	}
	t.trials++
	if t.trials < requiredTrials {
		return false, false
	}
	t.state = Healthy
	t.score = 0
	t.lastTrialEnd = now
	return true, true
}

// EndLateTrial records a trial by a request that got no response before its
// deadline. It may be a straggler, so it counts as slow if a trial has succeeded
// since the ejection, and as unreachable otherwise. The results are those of
// EndTrial.
func (t *Target) EndLateTrial(now time.Time) (returned, changed bool) {
	if t.trials > 0 {
		return t.EndTrial(Slow, now)
	}
	return t.EndTrial(Unreachable, now)
}

// AbortTrial records that a trial ended without evidence.
func (t *Target) AbortTrial() { t.trialInFlight = false }
