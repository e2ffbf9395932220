package health

import "time"

// WantsProbe reports whether the target should be probed now: a suspect, an
// ejected target in its trial, or a target without other evidence.
func (t *Target) WantsProbe(now time.Time) bool {
	if t.probing || now.Before(t.nextProbe) {
		return false
	}
	switch t.State() {
	case Suspect, Avoided:
		return true
	case Trial:
		return !t.trialBusy && (t.trials < probeTrials || now.Sub(t.trialSince) >= noRequests)
	case Healthy:
		return t.waitsUnheard || now.Sub(t.heard) >= idleProbe
	default:
		return false
	}
}

// WantsReturnProbe reports whether a target without a probe path should get a
// trial without a request, because no idempotent request came for its trial.
func (t *Target) WantsReturnProbe(now time.Time) bool {
	idle := !t.probing && !t.trialBusy && !now.Before(t.nextProbe)
	return t.state == Trial && idle && now.Sub(t.trialSince) >= noRequests
}

// WantsPeerProbe reports whether another entry should probe the target: a
// suspect, or a target at the end of a path at fault, that does not answer.
func (t *Target) WantsPeerProbe(now time.Time) bool {
	doubted := t.state == Suspect || t.state == Avoided
	return doubted && !t.answered && now.Sub(t.peerAsked) >= peerInterval
}

// PeerAsked notes that another entry was asked to probe.
func (t *Target) PeerAsked(now time.Time) { t.peerAsked = now }

// PeerProbed takes in the result of another entry's probe.
func (t *Target) PeerProbed(ok bool, now time.Time) {
	if ok {
		t.peerOK = now
	}
}

// BeginProbe notes that a probe is under way.
func (t *Target) BeginProbe() {
	t.probing = true
	if t.state == Trial {
		t.trialBusy = true
	}
}

// EndProbe takes in the result of a probe on a fresh connection. Busy means
// that all slots were in use and probes of the service may need one: a probe
// that got no quick answer may have waited and says nothing. The results are those of EndTrial.
func (t *Target) EndProbe(e Evidence, busy bool, now time.Time) (returned, changed bool) {
	t.probing = false
	t.nextProbe = now
	t.answered = isAnswer(e)
	if t.answered {
		t.heard = now
	}
	if t.state == Trial {
		return t.EndTrial(e, now)
	}
	if t.state == Ejected {
		return false, false
	}
	switch {
	case e == Good && t.reason == Failed:
		t.score = clampScore(t.score - weakProbeWeight)
	case e == Good:
		t.nextProbe = now.Add(probeRest)
		t.score = clampScore(t.score - goodProbeWeight)
	case busy && e != Failed:
		// The probe may have waited behind stragglers in the slots.
		t.nextProbe = now.Add(probeRest)
	default:
		t.reason = e
		t.score = clampScore(t.score + badProbeWeight)
	}
	return false, t.updateSuspicion(now)
}

// DropProbe notes that a probe ended without evidence.
func (t *Target) DropProbe(now time.Time) {
	t.probing = false
	t.nextProbe = now.Add(probeRest)
	if t.state == Trial {
		t.trialBusy = false
	}
}
