package health

import (
	"fmt"
	"sort"
	"time"
)

// Candidate is a serving target in the decision on ejections.
type Candidate struct {
	Address string
	Slots   int
	Out     bool    // ejected now
	Wanted  bool    // the evidence is enough for an ejection
	Score   float64 // evidence against it
}

// FloorSlots returns the least healthy capacity of the announced slots,
// rounded up.
func FloorSlots(announced, percent int) int { return (announced*percent + 99) / 100 }

// Ejections returns the addresses that shall be ejected, in order of address.
// Healthy capacity stays at the floor or above: the least bad targets stay in,
// and ejected ones are taken back if the floor needs them. Without the
// ejection lease, none are ejected. A broken floor panics.
func Ejections(candidates []Candidate, percent int, lease bool) []string {
	if !lease {
		return nil
	}
	announced := 0
	for _, c := range candidates {
		announced += c.Slots
	}
	floor := FloorSlots(announced, percent)
	healthy := announced
	var out []string
	for _, c := range worstFirst(candidates) {
		if healthy-c.Slots >= floor {
			healthy -= c.Slots
			out = append(out, c.Address)
		}
	}
	if healthy < floor {
		panic(fmt.Sprintf("health: %d healthy slots are below the floor of %d, %d announced", healthy, floor, announced))
	}
	sort.Strings(out)
	return out
}

// worstFirst returns the targets that are or shall be out. Of equally bad
// ones, a target that is out stays out.
func worstFirst(candidates []Candidate) []Candidate {
	var bad []Candidate
	for _, c := range candidates {
		if c.Out || c.Wanted {
			bad = append(bad, c)
		}
	}
	sort.Slice(bad, func(i, j int) bool {
		a, b := bad[i], bad[j]
		if a.Score != b.Score {
			return a.Score > b.Score
		}
		if a.Out != b.Out {
			return a.Out
		}
		return a.Address < b.Address
	})
	return bad
}

// Eject takes the target out. The time out doubles with each relapse: an
// ejection within MaxTimeOut after the last return.
func (t *Target) Eject(now time.Time) {
	if t.timeOut == 0 || now.Sub(t.returnedAt) > MaxTimeOut {
		t.timeOut = FirstTimeOut
	} else {
		t.timeOut = min(2*t.timeOut, MaxTimeOut)
	}
	t.state = Ejected
	t.score = t.Score()
	t.good, t.bad = 0, 0
	t.retryAt = now.Add(t.timeOut)
	t.trialBusy = false
}

// Readmit ends an ejection without a trial, because the floor or the lack of
// the lease demands it. The evidence against the target stays, and an ejection
// that follows is not a relapse.
func (t *Target) Readmit(now time.Time) {
	t.state = Suspect
	t.returnedAt = time.Time{}
	t.timeOut = 0
	t.nextProbe = now
}

// Restart notes a new incarnation of the target. The evidence was about the
// old one; an ejected target may be tried at once.
func (t *Target) Restart(now time.Time) {
	t.score, t.good, t.bad, t.samples, t.badRate, t.level = 0, 0, 0, 0, 0, 0
	switch {
	case t.state == Ejected:
		t.retryAt = now
	case !t.out():
		t.state = Healthy
	}
}

// WantsTrial reports whether the next trial may be an idempotent request.
func (t *Target) WantsTrial(canProbe bool) bool {
	if t.state != Trial || t.trialBusy {
		return false
	}
	return !canProbe || t.trials >= probeTrials
}

// BeginTrial notes that a trial is under way.
func (t *Target) BeginTrial() { t.trialBusy = true }

// EndTrial takes in the end of a trial. A single slow trial may be a straggler
// and does not count. It reports whether the target returned
// (true, true), was ejected again (false, true) or goes on (false, false).
func (t *Target) EndTrial(e Evidence, now time.Time) (returned, changed bool) {
	t.trialBusy = false
	if t.state != Trial {
		return false, false
	}
	if e == Slow && t.slowTrials < slowTrialsAllowed {
		t.slowTrials++
		return false, false
	}
	if e != Good {
		t.reason = e
		t.score = maxScore
		t.returnedAt = now
		t.Eject(now)
		return false, true
	}
	t.trials++
	if t.trials < allTrials {
		return false, false
	}
	t.state = Healthy
	t.score = 0
	t.returnedAt = now
	return true, true
}

// EndLateTrial takes in a trial by a request that got no answer before its
// deadline. It may be a straggler and counts as slow if the target has answered
// a trial since its time out. The results are those of EndTrial.
func (t *Target) EndLateTrial(now time.Time) (returned, changed bool) {
	if t.trials > 0 {
		return t.EndTrial(Slow, now)
	}
	return t.EndTrial(Unreachable, now)
}

// AbortTrial notes that a trial ended without evidence.
func (t *Target) AbortTrial() { t.trialBusy = false }
