package configsync

import "time"

// singleEntryStartDelay is how long an entry that knows no other entry waits for
// the membership to report one before it serves with the copy from its disk.
const singleEntryStartDelay = 10 * time.Second

// StartState is the state of an entry that has not served yet.
type StartState struct {
	Held         uint64    // version of the copy
	HighestKnown uint64    // highest version known to exist, from control or from entries
	ControlTried bool      // every control member was tried since the start
	StartedAt    time.Time // when the follower started
}

// Ready reports whether an entry that has not served yet may start to serve. It
// is a pure function. Version 0 is accepted only from control: while control is
// unavailable, entries at version 0 may have lost their copies, and serving
// the empty catalog would reject the requests of every plan.
func Ready(v View, state StartState) bool {
	if state.Held < state.HighestKnown {
		return false
	}
	if v.inContactWithControl() {
		return true
	}
	if !state.ControlTried || state.Held == 0 || !v.inContactWithMajority() {
		return false
	}
	if v.OtherEntries == 0 {
		return v.Now.Sub(state.StartedAt) >= singleEntryStartDelay
	}
	return true
}
