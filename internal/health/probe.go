package health

import "time"

// WantsProbe reports whether the target should be probed now: a suspect, a target
// behind a path fault, an ejected target in trial, or a target without recent
// responses. requestsWait tells whether requests wait for a slot of the service.
func (t *Target) WantsProbe(requestsWait bool, now time.Time) bool {
	if t.probeInFlight || now.Before(t.nextProbe) {
		return false
	}
	switch t.State() {
	case Suspect, Avoided:
		return true
	case Trial:
		return !t.trialInFlight && (t.trials < minProbeTrials || t.lacksTrialRequest(requestsWait, now))
	case Healthy:
		return t.hasUnansweredWait || now.Sub(t.lastResponseAt) >= idleProbeInterval
	default:
		return false
	}
}

// lacksTrialRequest reports whether no request suits as a trial of the target. If
// requests wait, none of them does, since one that does becomes the trial at once.
func (t *Target) lacksTrialRequest(requestsWait bool, now time.Time) bool {
	limit := trialRequestWait
	if requestsWait {
		limit = busyTrialRequestWait
	}
	return now.Sub(t.trialSince) >= limit
}

// WantsReturnProbe reports whether a target without a probe path should get a
// probe as its trial, because no idempotent request has arrived for one.
func (t *Target) WantsReturnProbe(requestsWait bool, now time.Time) bool {
	idle := !t.probeInFlight && !t.trialInFlight && !now.Before(t.nextProbe)
	return t.state == Trial && idle && t.lacksTrialRequest(requestsWait, now)
}

// WantsPeerProbe reports whether another entry should probe the target: a suspect
// or a target behind a path fault that does not respond.
func (t *Target) WantsPeerProbe(now time.Time) bool {
	suspected := t.state == Suspect || t.state == Avoided
	return suspected && !t.lastWasResponse && now.Sub(t.peerProbeRequestedAt) >= peerProbeInterval
}

// PeerProbeRequested records that another entry was asked to probe the target.
func (t *Target) PeerProbeRequested(now time.Time) { t.peerProbeRequestedAt = now }

// PeerProbed records the result of another entry's probe.
func (t *Target) PeerProbed(ok bool, now time.Time) {
	if ok {
		t.lastPeerSuccess = now
	}
}

// BeginProbe records that a probe has started. In the trial state it is a trial.
func (t *Target) BeginProbe() {
	t.probeInFlight = true
	if t.state == Trial {
		t.trialInFlight = true
	}
}

// EndProbe records the result of a probe on a new connection. mayHaveWaited means
// that all slots were in use and probes of the service may need one: then a probe
// without a quick response may have waited for a slot and is no evidence. The
// results are those of EndTrial.
func (t *Target) EndProbe(e Evidence, mayHaveWaited bool, now time.Time) (returned, changed bool) {
	t.probeInFlight = false
	t.nextProbe = now
	t.evidenceAgedAt = now
	t.lastWasResponse = isResponse(e)
	if t.lastWasResponse {
		t.lastResponseAt = now
	}
	if t.state == Trial {
		return t.EndTrial(e, now)
	}
	if t.state == Ejected {
		return false, false
	}
	switch {
	case e == Good && t.reason == Failed:
		t.score = clampScore(t.score - goodProbeWeightWhenFailing)
	case e == Good:
		t.nextProbe = now.Add(probeInterval)
		t.score = clampScore(t.score - goodProbeWeight)
	case mayHaveWaited && e != Failed:
		// The probe may have waited for a slot behind stragglers.
		t.nextProbe = now.Add(probeInterval)
	default:
		t.reason = e
		t.score = clampScore(t.score + badProbeWeight)
	}
	return false, t.updateState(now)
}

// AbortProbe records that a probe ended without evidence.
func (t *Target) AbortProbe(now time.Time) {
	t.probeInFlight = false
	t.nextProbe = now.Add(probeInterval)
	if t.state == Trial {
		t.trialInFlight = false
	}
}
