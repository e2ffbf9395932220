package health

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	_ "github.com/sequoialane/sequoialane/internal/fixedseed"
)

var t0 = time.Date(2025, 3, 1, 8, 0, 0, 0, time.UTC)

// Guards against ejections that take healthy capacity below the floor, for random
// evidence, with and without the ejection lease.
func TestEjectionsKeepTheFloor(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var candidates []Candidate
		announced := 0
		for i := range rapid.IntRange(0, 30).Draw(t, "targets") {
			c := Candidate{
				Address:     fmt.Sprint(i),
				Slots:       rapid.IntRange(1, 9).Draw(t, "slots"),
				Ejected:     rapid.Bool().Draw(t, "out"),
				ShouldEject: rapid.Bool().Draw(t, "wanted"),
				Score:       rapid.Float64Range(0, 20).Draw(t, "score"),
			}
			announced += c.Slots
			candidates = append(candidates, c)
		}
		percent := rapid.IntRange(0, 100).Draw(t, "percent")
		lease := rapid.Bool().Draw(t, "lease")
		ejected := Ejections(candidates, percent, lease)
		if !lease {
			assert.Empty(t, ejected)
		}
		healthy := announced
		for _, c := range candidates {
			if contains(ejected, c.Address) {
				healthy -= c.Slots
				assert.True(t, c.Ejected || c.ShouldEject)
			}
		}
		assert.GreaterOrEqual(t, healthy*100, announced*percent)
	})
}

func contains(list []string, s string) bool {
	for _, x := range list {
		if x == s {
			return true
		}
	}
	return false
}

// Guards against ejecting targets with lower scores before those with higher ones.
func TestHighestScoresAreEjectedFirst(t *testing.T) {
	candidates := []Candidate{
		{Address: "a", Slots: 2, ShouldEject: true, Score: 17},
		{Address: "b", Slots: 2, ShouldEject: true, Score: 20},
		{Address: "c", Slots: 2, Ejected: true, Score: 16},
	}
	assert.Equal(t, []string{"b"}, Ejections(candidates, 50, true))
}

// Guards against a flapping target that returns each time after the first ejection
// time, and against a return after fewer trials than required.
func TestEjectionTimeDoublesForRepeatedEjections(t *testing.T) {
	target := &Target{}
	now := t0
	for i, want := range []time.Duration{5, 10, 20, 40, 80, 120, 120} {
		target.Eject(now)
		assert.False(t, target.Advance(Baseline{}, now.Add(want*time.Second-1)), "ejection %d", i)
		now = now.Add(want * time.Second)
		assert.True(t, target.Advance(Baseline{}, now), "ejection %d", i)
		for range requiredTrials - 1 {
			returned, _ := target.EndTrial(Good, now)
			assert.False(t, returned)
		}
		returned, _ := target.EndTrial(Good, now)
		assert.True(t, returned)
	}
	now = now.Add(MaxEjectionTime + 1)
	target.Eject(now)
	assert.True(t, target.Advance(Baseline{}, now.Add(FirstEjectionTime)), "after a long healthy time")
}

// Guards against counting stragglers that were sent together and end one after
// another as consecutive bad requests.
func TestGoodResponsesRefuteSlowOnes(t *testing.T) {
	target := &Target{}
	for range 20 {
		target.ObserveSlow(minRefutingResponses, t0)
		target.Advance(Baseline{}, t0.Add(WindowLength))
	}
	assert.Equal(t, Healthy, target.State())

	later := t0.Add(time.Minute)
	assert.Equal(t, t0, target.WaitingSince(t0, minRefutingResponses-1))
	for range minRefutingResponses {
		target.Observe(Good, later)
	}
	assert.Equal(t, later, target.WaitingSince(t0, 0), "a request without a response, sent before")
}

// Guards against ejecting a target again because of one straggler among its trials.
func TestOneSlowTrialIsTolerated(t *testing.T) {
	target := &Target{}
	target.Eject(t0)
	target.Advance(Baseline{}, t0.Add(FirstEjectionTime))
	target.EndTrial(Slow, t0)
	assert.Equal(t, Trial, target.State())
	target.EndTrial(Slow, t0)
	assert.Equal(t, Ejected, target.State())
}

// Guards against an ejection for single stragglers or pauses, and against keeping
// a target that is always slow or fails half of its requests.
func TestEjectionEvidence(t *testing.T) {
	cases := []struct {
		desc        string
		bad, good   int // alternating, in one window of each step
		base        float64
		steps       int
		shouldEject bool
	}{
		{"one straggler", 1, 0, 0.01, 1, false},
		{"one pause that delays all slots", 40, 0, 0.01, 1, false},
		{"two pauses", 40, 0, 0.01, 2, false},
		{"always slow", 1, 0, 0.01, 5, true},
		{"half of the requests fail", 2, 2, 0.01, 5, true},
		{"as bad as the other targets", 1, 2, 0.35, 50, false},
		{"one in a hundred", 1, 99, 0.01, 50, false},
	}
	for _, tc := range cases {
		t.Run(tc.desc, func(t *testing.T) {
			target := &Target{}
			now := t0
			for range tc.steps {
				for range tc.good {
					target.Observe(Good, now)
				}
				for range tc.bad {
					target.Observe(Slow, now)
				}
				now = now.Add(WindowLength)
				target.Advance(Baseline{BadRate: tc.base}, now)
			}
			assert.Equal(t, tc.shouldEject, target.ShouldEject())
		})
	}
}

// Guards against an ejection for a path fault, which using the other targets of
// the region that is cut off would not remedy.
func TestPathFaultRequiresResponseToOtherEntry(t *testing.T) {
	target := &Target{}
	target.SetWaiting([]Wait{{Since: t0, Weight: 9}}, t0)
	assert.False(t, target.PathFault(t0))
	target.PeerProbed(false, t0)
	assert.False(t, target.PathFault(t0))
	target.PeerProbed(true, t0)
	assert.True(t, target.PathFault(t0))
	assert.False(t, target.PathFault(t0.Add(peerProbeValidity)))
	target.Observe(Failed, t0)
	assert.False(t, target.PathFault(t0), "the target responds")
}

// Guards against attributing load that slows all targets to one of them.
func TestSlowLimitFollowsAllTargets(t *testing.T) {
	const expected = 50 * time.Millisecond
	assert.Equal(t, 200*time.Millisecond, SlowAfter(expected, Baseline{LatencyLevel: 1}))
	assert.Equal(t, time.Second, SlowAfter(expected, Baseline{LatencyLevel: 5}))
}

// Guards against an ejection while no target responds, against one for a pause of
// less than a second, and against keeping a target that does not respond.
func TestWaitingRequestsCountAsEvidence(t *testing.T) {
	unresponsive := func() *Target {
		target := &Target{}
		target.SetWaiting([]Wait{{t0, WaitWeight(time.Second, 40, 1e-5)}, {t0, WaitWeight(time.Second, 40, 1e-5)}, {t0, WaitWeight(time.Second, 40, 1e-5)}}, t0)
		return target
	}
	assert.True(t, unresponsive().ShouldEject())

	responded := unresponsive()
	responded.SetWaiting(nil, t0)
	assert.Zero(t, responded.Score())

	all := unresponsive()
	all.Advance(Baseline{WaitScore: 18}, t0)
	assert.Zero(t, all.Score())

	stragglers := &Target{}
	stragglers.SetWaiting([]Wait{{t0, WaitWeight(time.Second, 20, 0.003)}, {t0, WaitWeight(time.Second, 20, 0.003)}}, t0)
	assert.False(t, stragglers.ShouldEject())
	assert.Equal(t, Suspect, stragglers.State())
	paused := &Target{}
	early := WaitWeight(maxPauseTime-1, 1000, 1e-9)
	paused.SetWaiting([]Wait{{t0, early}, {t0, early}, {t0, early}}, t0)
	assert.False(t, paused.ShouldEject())
	assert.Equal(t, float64(maxWaitWeight), WaitWeight(fullWaitTime, fullWaitRatio, 0.5))
}

// Guards against an ejected target that stays idle beside waiting requests, none of
// which suits as its trial: probes take the place of the request sooner then.
func TestProbesReplaceTrialRequestsWhileRequestsWait(t *testing.T) {
	var target Target
	now := time.Unix(1, 0)
	target.Eject(now)
	now = now.Add(FirstEjectionTime)
	target.Advance(Baseline{}, now)
	for range minProbeTrials {
		require.True(t, target.WantsProbe(true, now))
		target.BeginProbe()
		target.EndProbe(Good, false, now)
	}
	assert.False(t, target.WantsProbe(true, now), "a request may suit as the next trial")
	now = now.Add(busyTrialRequestWait)
	assert.False(t, target.WantsProbe(false, now))
	assert.True(t, target.WantsProbe(true, now))
	assert.True(t, target.WantsProbe(false, now.Add(trialRequestWait)))
}

// Guards against a target that is ejected, just after its lease was renewed, for
// what was seen while it was cut off. While most targets fail, few good responses
// do not outweigh that.
func TestRenewedLeaseTakesNewEvidenceToEject(t *testing.T) {
	var target Target
	now := time.Unix(1, 0)
	mostFail := Baseline{BadRate: 0.9}
	for range 10 {
		target.Advance(Baseline{}, now)
		target.Observe(Unreachable, now)
		now = now.Add(WindowLength)
	}
	require.True(t, target.ShouldEject())
	target.Advance(mostFail, now)
	for range 5 {
		target.Observe(Good, now)
	}
	require.True(t, target.ShouldEject())
	target.RenewLease(now)
	assert.False(t, target.ShouldEject())
	assert.Equal(t, Suspect, target.State())
	target.Eject(now)
	target.RenewLease(now)
	target.Advance(mostFail, now)
	assert.Equal(t, Trial, target.State(), "an ejected target is tried at once")
}

// Guards against a target that responds well again after most targets have failed,
// and is ejected for what was seen before as soon as the others are back: while most
// targets failed, good responses did not count.
func TestGoodResponsesCountWhileMostTargetsFail(t *testing.T) {
	var target Target
	now := time.Unix(1, 0)
	for range 10 {
		target.Advance(Baseline{}, now)
		target.Observe(Unreachable, now)
		now = now.Add(WindowLength)
	}
	require.True(t, target.ShouldEject())
	for range 10 {
		target.Advance(Baseline{BadRate: 0.9}, now)
		for range 6 {
			target.Observe(Good, now)
		}
		now = now.Add(WindowLength)
	}
	target.Advance(Baseline{}, now)
	assert.False(t, target.ShouldEject())
	assert.Equal(t, Healthy, target.State())
}

// Guards against a target that is held ejected for minutes after its fault has
// ended, while requests wait for a slot: the ejection time doubles with each failed
// trial.
func TestEjectionIsShortWhileRequestsWait(t *testing.T) {
	var target Target
	now := time.Unix(1, 0)
	for range 5 {
		target.Eject(now)
		now = now.Add(MaxEjectionTime)
		target.Advance(Baseline{}, now)
		require.Equal(t, Trial, target.State())
		target.BeginTrial()
		target.EndTrial(Unreachable, now)
	}
	require.Equal(t, Ejected, target.State())
	target.Advance(Baseline{}, now.Add(FirstEjectionTime))
	assert.Equal(t, Ejected, target.State(), "no request waits")
	target.AdvanceTrial()
	target.Advance(Baseline{}, now.Add(FirstEjectionTime-time.Millisecond))
	assert.Equal(t, Ejected, target.State())
	target.Advance(Baseline{}, now.Add(FirstEjectionTime))
	assert.Equal(t, Trial, target.State())
}

// Guards against an ejection for one error after others that lie minutes back, and
// against evidence that is forgotten while new evidence arrives.
func TestEvidenceAges(t *testing.T) {
	for _, c := range []struct {
		desc  string
		pause time.Duration // between bad requests
		eject bool
	}{
		{"in a row", 4 * time.Second, true},
		{"minutes apart", 2 * time.Minute, false},
	} {
		t.Run(c.desc, func(t *testing.T) {
			var target Target
			now := t0
			for range 6 {
				target.Observe(Failed, now)
				for end := now.Add(c.pause); now.Before(end); now = now.Add(WindowLength) {
					target.Advance(Baseline{}, now)
				}
			}
			assert.Equal(t, c.eject, target.ShouldEject())
		})
	}
}
